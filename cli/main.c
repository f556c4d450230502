#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/commands.h"

#define DAEMON_DEFAULT "127.0.0.1:8080"
#define LOG_DEFAULT "127.0.0.1:8070"

static const ctl_command_t commands[] = {
  { "submit", "FILE", 1, "submit the request in FILE and print its outcome", ctl_submit },
  { "status", "JOB", 1, "print a job", ctl_status },
  { "cancel", "JOB", 1, "cancel a job", ctl_cancel },
  { "list", "", 0, "list the jobs of the daemon's data centre", ctl_list },
  { "explain", "JOB", 1, "print each decision about a job and its table line", ctl_explain },
  { "why-waiting", "JOB", 1, "print why a job is waiting", ctl_why_waiting },
  { "dump", "ADDRESS", 1, "print the state of a daemon", ctl_dump },
  { "counters", "ADDRESS", 1, "print the counters of a daemon", ctl_counters },
  { "where", "FILE", 1, "print where an agent would place the job in FILE, and why", ctl_where },
  { "tables check", "FILE", 1, "check the tables in FILE, offline", ctl_tables_check },
  { "tables show", "", 0, "print the tables in force", ctl_tables_show },
  { "tables diff", "FILE", 1, "print what FILE would change", ctl_tables_diff },
  { "tables edit", "FILE", 1, "publish FILE, which was made from version --base", ctl_tables_edit },
  { "tables history", "", 0, "print the edits of the tables and their authors",
    ctl_tables_history },
};

static void
print_commands (FILE *out)
{
  fprintf (out, "Commands:\n");
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-16s %-8s %s\n", commands[i].name, commands[i].args_help, commands[i].help);
}

static const ctl_command_t *
find_command (const char **words, int *n_words)
{
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_auto (GStrv) parts = g_strsplit (commands[i].name, " ", 0);
      int n = 0;
      while (parts[n] != NULL && words[n] != NULL && strcmp (parts[n], words[n]) == 0)
        n++;
      if (parts[n] != NULL)
        continue;
      *n_words = n;
      return &commands[i];
    }
  return NULL;
}

static int
run (const ctl_options_t *options, const char **words)
{
  int n_words = 0;
  const ctl_command_t *command = words != NULL ? find_command (words, &n_words) : NULL;
  int n_args = words != NULL ? (int)g_strv_length ((char **)words) - n_words : 0;
  if (command == NULL || n_args != command->n_args)
    {
      fprintf (stderr, "bamboothreadctl: expected a command and its arguments\n");
      print_commands (stderr);
      return CTL_EXIT_USAGE;
    }
  return command->run (options, words + n_words);
}

int
main (int argc, const char **argv)
{
  char *daemon = NULL;
  char *log = NULL;
  char *author = NULL;
  char *agent = NULL;
  char *host = NULL;
  char *path = NULL;
  char *key = NULL;
  long long base = -1;
  int raw = 0;
  int version = 0;
  int help = 0;
  struct poptOption options[] = {
    { "daemon", 'd', POPT_ARG_STRING, &daemon, 0, "HTTP interface of a daemon", "IP:PORT" },
    { "log", 'l', POPT_ARG_STRING, &log, 0, "the platform's log", "IP:PORT" },
    { "base", 'b', POPT_ARG_LONGLONG, &base, 0, "version that an edit is based on", "N" },
    { "author", 'a', POPT_ARG_STRING, &author, 0, "author of an edit", "NAME" },
    { "agent", 'A', POPT_ARG_STRING, &agent, 0, "metrics listener of an agent", "IP:PORT" },
    { "host", 'H', POPT_ARG_STRING, &host, 0, "host name of a caller's request", "HOST" },
    { "path", 'p', POPT_ARG_STRING, &path, 0, "path of a caller's request", "PATH" },
    { "key", 'k', POPT_ARG_STRING, &key, 0, "key of the caller", "KEY" },
    { "raw", 'r', POPT_ARG_NONE, &raw, 0, "print JSON replies as received", NULL },
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL },
    { "help", '?', POPT_ARG_NONE, &help, 0, "print this help and exit", NULL },
    POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothreadctl", argc, argv, options, 0);
  poptSetOtherOptionHelp (popt, "[OPTION...] COMMAND [ARGUMENT...]");
  int parsed = poptGetNextOpt (popt);
  ctl_options_t shared = { .base = base, .raw = raw != 0 };
  shared.daemon = daemon != NULL ? daemon : DAEMON_DEFAULT;
  shared.log = log != NULL ? log : LOG_DEFAULT;
  shared.author = author != NULL ? author : g_get_user_name ();
  shared.agent = agent;
  shared.host = host;
  shared.path = path;
  shared.key = key;
  int result = EXIT_SUCCESS;
  if (parsed < -1)
    {
      fprintf (stderr, "bamboothreadctl: %s: %s\n", poptBadOption (popt, 0), poptStrerror (parsed));
      result = CTL_EXIT_USAGE;
    }
  else if (version)
    printf ("bamboothreadctl %s\n", BT_VERSION);
  else if (help)
    {
      poptPrintHelp (popt, stdout, 0);
      print_commands (stdout);
    }
  else
    result = run (&shared, poptGetArgs (popt));
  poptFreeContext (popt);
  free (daemon);
  free (log);
  free (author);
  free (agent);
  free (host);
  free (path);
  free (key);
  return result;
}
