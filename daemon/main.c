#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/daemon.h"
#include "libbamboothread/base/log.h"

#define EXIT_USAGE 2

static bt_settings_t *
load_settings (const char *file)
{
  bt_report_t report;
  bt_report_init (&report);
  bt_settings_t *settings = bt_settings_load (file, &report);
  g_autofree char *text = bt_report_to_text (&report, file);
  fputs (text, stderr);
  bt_report_clear (&report);
  return settings;
}

static int
run (const char *file, gboolean check_only)
{
  bt_settings_t *settings = load_settings (file);
  if (settings == NULL)
    return EXIT_USAGE;
  int result = EXIT_SUCCESS;
  bt_log_set_ident ("bamboothreadd");
  bt_log_set_level ((bt_log_level_t)(settings->log_level + BT_LOG_ERROR));
  g_autoptr (GError) error = NULL;
  bt_daemon_t *daemon = check_only ? NULL : bt_daemon_new (settings, &error);
  if (daemon != NULL)
    {
      bt_daemon_run (daemon);
      bt_daemon_free (daemon);
    }
  else if (error != NULL)
    {
      bt_log (BT_LOG_ERROR, "start-failed", "cause=\"%s\"", error->message);
      result = EXIT_FAILURE;
    }
  bt_settings_free (settings);
  return result;
}

int
main (int argc, const char **argv)
{
  int version = 0;
  int check = 0;
  struct poptOption options[] = {
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL },
    { "check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothreadd", argc, argv, options, 0);
  poptSetOtherOptionHelp (popt, "[OPTION...] SETTINGS-FILE");
  int parsed = poptGetNextOpt (popt);
  const char *file = poptGetArg (popt);
  int result = EXIT_SUCCESS;
  if (parsed < -1)
    {
      fprintf (stderr, "bamboothreadd: %s: %s\n", poptBadOption (popt, 0), poptStrerror (parsed));
      result = EXIT_USAGE;
    }
  else if (version)
    printf ("bamboothreadd %s\n", BT_VERSION);
  else if (file == NULL || poptPeekArg (popt) != NULL)
    {
      poptPrintUsage (popt, stderr, 0);
      result = EXIT_USAGE;
    }
  else
    result = run (file, check != 0);
  poptFreeContext (popt);
  return result;
}
