#ifndef BT_CLI_COMMANDS_H
#define BT_CLI_COMMANDS_H

#include <glib.h>

#define CTL_EXIT_FAILED 1
#define CTL_EXIT_USAGE 2

/**
 * struct ctl_options_t - options that commands share
 * @daemon: IP:port of a daemon's HTTP interface
 * @log: IP:port of the platform's log
 * @base: version that an edit was made from, or -1 if --base was not given, which is
 *   allowed only for the first version
 * @author: name of the editor
 * @agent: IP:port of an agent's metrics listener, or NULL
 * @host: host name of a caller's request, or NULL
 * @path: path of a caller's request, or NULL
 * @key: key of a caller, or NULL
 * @raw: whether to print JSON replies as received
 */
typedef struct
{
  const char *daemon;
  const char *log;
  gint64 base;
  const char *author;
  const char *agent;
  const char *host;
  const char *path;
  const char *key;
  gboolean raw;
} ctl_options_t;

/**
 * struct ctl_command_t - a command of the tool
 * @name: its name, one or two words
 * @args_help: placeholders of its arguments for the help text
 * @n_args: number of its arguments
 * @help: what it does, for the help text
 * @run: runs it and returns the exit status
 */
typedef struct
{
  const char *name;
  const char *args_help;
  int n_args;
  const char *help;
  int (*run) (const ctl_options_t *options, const char **args);
} ctl_command_t;

int ctl_submit (const ctl_options_t *options, const char **args);
int ctl_status (const ctl_options_t *options, const char **args);
int ctl_cancel (const ctl_options_t *options, const char **args);
int ctl_list (const ctl_options_t *options, const char **args);
int ctl_explain (const ctl_options_t *options, const char **args);
int ctl_why_waiting (const ctl_options_t *options, const char **args);
int ctl_dump (const ctl_options_t *options, const char **args);
int ctl_counters (const ctl_options_t *options, const char **args);
int ctl_where (const ctl_options_t *options, const char **args);
int ctl_tables_check (const ctl_options_t *options, const char **args);
int ctl_tables_show (const ctl_options_t *options, const char **args);
int ctl_tables_diff (const ctl_options_t *options, const char **args);
int ctl_tables_edit (const ctl_options_t *options, const char **args);
int ctl_tables_history (const ctl_options_t *options, const char **args);

#endif
