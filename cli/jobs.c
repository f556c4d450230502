#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/client.h"
#include "cli/commands.h"

/*
 * Commands for jobs and for the state of a daemon.
 */

static int
print_body (const ctl_options_t *options, GBytes *body, guint status)
{
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  g_autoptr (JsonNode) node = options->raw ? NULL : bt_json_parse (data, len, NULL);
  if (node != NULL)
    {
      g_autoptr (GBytes) pretty = bt_json_to_bytes (node, TRUE);
      data = g_bytes_get_data (pretty, &len);
      fwrite (data, 1, len, stdout);
    }
  else
    fwrite (data, 1, len, stdout);
  fputc ('\n', stdout);
  return SOUP_STATUS_IS_SUCCESSFUL (status) ? EXIT_SUCCESS : CTL_EXIT_FAILED;
}

static GBytes *
call_daemon (const ctl_options_t *options, const char *method, const char *path, GBytes *body,
             guint *status)
{
  g_autoptr (GError) error = NULL;
  GBytes *reply = ctl_call (method, options->daemon, path, body, status, &error);
  if (reply == NULL)
    fprintf (stderr, "bamboothreadctl: %s\n", error->message);
  return reply;
}

static int
call_and_print (const ctl_options_t *options, const char *method, const char *path, GBytes *body)
{
  guint status = 0;
  g_autoptr (GBytes) reply = call_daemon (options, method, path, body, &status);
  if (reply == NULL)
    return CTL_EXIT_FAILED;
  return print_body (options, reply, status);
}

/**
 * ctl_submit() - submit the request in a file and print its outcome
 * @options: options
 * @args: the file
 *
 * Return: exit status.
 */
int
ctl_submit (const ctl_options_t *options, const char **args)
{
  g_autoptr (GError) error = NULL;
  char *data;
  gsize len;
  if (!g_file_get_contents (args[0], &data, &len, &error))
    {
      fprintf (stderr, "bamboothreadctl: %s\n", error->message);
      return CTL_EXIT_FAILED;
    }
  g_autoptr (GBytes) body = g_bytes_new_take (data, len);
  return call_and_print (options, "POST", "/v1/jobs", body);
}

/**
 * ctl_status() - print a job
 * @options: options
 * @args: the job's id
 *
 * Return: exit status.
 */
int
ctl_status (const ctl_options_t *options, const char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", args[0]);
  return call_and_print (options, "GET", path, NULL);
}

/**
 * ctl_cancel() - cancel a job
 * @options: options
 * @args: the job's id
 *
 * Return: exit status.
 */
int
ctl_cancel (const ctl_options_t *options, const char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", args[0]);
  return call_and_print (options, "DELETE", path, NULL);
}

/**
 * ctl_list() - list the jobs of the daemon's data centre
 * @options: options
 * @args: none
 *
 * Return: exit status.
 */
int
ctl_list (const ctl_options_t *options, const char **args)
{
  return call_and_print (options, "GET", "/v1/jobs", NULL);
}

static int
print_decisions (JsonNode *node)
{
  JsonArray *array = JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
  guint n = array != NULL ? json_array_get_length (array) : 0;
  for (guint i = 0; i < n; i++)
    {
      JsonObject *item = json_array_get_object_element (array, i);
      printf ("%8.3f s ago  %-12s %s (tables version %" G_GINT64_FORMAT ", line %s)\n",
              (double)json_object_get_int_member (item, "ago_ms") / 1000,
              json_object_get_string_member (item, "action"),
              json_object_get_string_member (item, "detail"),
              json_object_get_int_member (item, "version"),
              json_object_get_string_member (item, "line"));
    }
  if (n == 0)
    printf ("the daemon has no decisions about this job in memory\n");
  return n > 0 ? EXIT_SUCCESS : CTL_EXIT_FAILED;
}

/**
 * ctl_explain() - print each decision about a job with the line of the tables behind it
 * @options: options
 * @args: the job's id
 *
 * Return: exit status.
 */
int
ctl_explain (const ctl_options_t *options, const char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s/explain", args[0]);
  guint status = 0;
  g_autoptr (GBytes) body = call_daemon (options, "GET", path, NULL, &status);
  if (body == NULL)
    return CTL_EXIT_FAILED;
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  g_autoptr (JsonNode) node = bt_json_parse (data, len, NULL);
  if (options->raw || node == NULL || !SOUP_STATUS_IS_SUCCESSFUL (status))
    return print_body (options, body, status);
  return print_decisions (node);
}

static int
print_causes (JsonNode *node)
{
  JsonObject *json = JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  JsonArray *causes = json != NULL && json_object_has_member (json, "causes")
                          ? json_object_get_array_member (json, "causes")
                          : NULL;
  if (causes == NULL)
    return CTL_EXIT_FAILED;
  printf ("%s, %.3f s after its request, tables version %" G_GINT64_FORMAT "\n",
          json_object_get_boolean_member (json, "waiting") ? "waits" : "does not wait",
          (double)json_object_get_int_member (json, "since_ms") / 1000,
          json_object_get_int_member (json, "version"));
  for (guint i = 0; i < json_array_get_length (causes); i++)
    {
      JsonObject *cause = json_array_get_object_element (causes, i);
      printf ("- %s (line %s)\n  what has to change: %s\n",
              json_object_get_string_member (cause, "text"),
              json_object_get_string_member (cause, "line"),
              json_object_get_string_member (cause, "change"));
    }
  return EXIT_SUCCESS;
}

/**
 * ctl_why_waiting() - print why a job is waiting
 * @options: options
 * @args: the job's id
 *
 * Return: exit status.
 */
int
ctl_why_waiting (const ctl_options_t *options, const char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s/why-waiting", args[0]);
  guint status = 0;
  g_autoptr (GBytes) body = call_daemon (options, "GET", path, NULL, &status);
  if (body == NULL)
    return CTL_EXIT_FAILED;
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  g_autoptr (JsonNode) node = bt_json_parse (data, len, NULL);
  if (options->raw || node == NULL || !SOUP_STATUS_IS_SUCCESSFUL (status))
    return print_body (options, body, status);
  return print_causes (node);
}

static int
get_from_address (const ctl_options_t *options, const char *address, const char *path)
{
  ctl_options_t other = *options;
  other.daemon = address;
  return call_and_print (&other, "GET", path, NULL);
}

/**
 * ctl_dump() - print the state of a daemon
 * @options: options
 * @args: IP:port of the daemon's HTTP interface
 *
 * Return: exit status.
 */
int
ctl_dump (const ctl_options_t *options, const char **args)
{
  return get_from_address (options, args[0], "/v1/dump");
}

/**
 * ctl_counters() - print the counters of a daemon
 * @options: options
 * @args: IP:port of the daemon's HTTP interface
 *
 * Return: exit status.
 */
int
ctl_counters (const ctl_options_t *options, const char **args)
{
  return get_from_address (options, args[0], "/v1/counters");
}
