#include <stdio.h>
#include <stdlib.h>

#include "cli/client.h"
#include "cli/commands.h"

/*
 * Asks an agent where a job would go, without submitting it.
 */

#define EXPLAIN_PREFIX "/explain"
/* Whatever comes in is printed, so a reply may lack any member. */
#define NOT_SAID "-"

static const char *
get_string (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, NOT_SAID);
}

static gint64
get_int (JsonObject *object, const char *name)
{
  return json_object_get_int_member_with_default (object, name, 0);
}

static gboolean
get_bool (JsonObject *object, const char *name)
{
  return json_object_get_boolean_member_with_default (object, name, FALSE);
}

static JsonNode *
get_node (JsonObject *object, const char *name, JsonNodeType type)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && json_node_get_node_type (node) == type ? node : NULL;
}

static JsonObject *
get_object (JsonObject *object, const char *name)
{
  JsonNode *node = get_node (object, name, JSON_NODE_OBJECT);
  return node == NULL ? NULL : json_node_get_object (node);
}

static JsonArray *
get_array (JsonObject *object, const char *name)
{
  JsonNode *node = get_node (object, name, JSON_NODE_ARRAY);
  return node == NULL ? NULL : json_node_get_array (node);
}

static void
print_process (JsonObject *json)
{
  printf ("agent    %s%s, tables version %" G_GINT64_FORMAT "\n", get_string (json, "agent"),
          get_bool (json, "leading") ? " (the owner)" : "", get_int (json, "tables"));
  JsonObject *route = get_object (json, "route");
  if (route != NULL)
    printf ("route    %s, service %s, priority %" G_GINT64_FORMAT
            ", objective %g x the critical path + %" G_GINT64_FORMAT " ms%s\n",
            get_string (route, "name"), get_string (route, "service"), get_int (route, "priority"),
            json_object_get_double_member_with_default (route, "stretch", 0),
            get_int (route, "objective-ms"), get_bool (route, "public") ? ", public" : "");
  if (json_object_has_member (json, "tenant"))
    printf ("tenant   %s\n", get_string (json, "tenant"));
  printf ("answer   %" G_GINT64_FORMAT ", %s\n", get_int (json, "status"),
          get_string (json, "reason"));
  if (json_object_has_member (json, "intake"))
    printf ("intake   %s\n", get_string (json, "intake"));
}

static void
print_resource (JsonObject *quota, const char *name)
{
  JsonObject *cap = get_object (quota, "cap");
  JsonObject *used = get_object (quota, "used");
  JsonObject *headroom = get_object (quota, "headroom");
  if (cap == NULL || used == NULL || headroom == NULL)
    return;
  if (get_int (cap, name) == 0)
    printf ("quota    %s: %" G_GINT64_FORMAT " used, no cap\n", name, get_int (used, name));
  else
    printf ("quota    %s: %" G_GINT64_FORMAT " used of %" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
            " left\n",
            name, get_int (used, name), get_int (cap, name), get_int (headroom, name));
}

static void
print_quota (JsonObject *quota)
{
  print_resource (quota, "cpu");
  print_resource (quota, "mem-mb");
  print_resource (quota, "gpu");
  printf ("share    weight %g, share of the pool by weight %g%s\n",
          json_object_get_double_member_with_default (quota, "weight", 0),
          json_object_get_double_member_with_default (quota, "weighted-share", 0),
          get_bool (quota, "in-excess") ? ", the job is in excess" : "");
}

static void
print_against (JsonObject *against)
{
  printf ("    %" G_GINT64_FORMAT " %s:", get_int (against, "workers"),
          get_string (against, "reason"));
  JsonArray *examples = get_array (against, "examples");
  for (guint i = 0; examples != NULL && i < json_array_get_length (examples); i++)
    printf (" %s", json_array_get_string_element (examples, i));
  printf ("\n");
}

static void
print_step (JsonObject *step)
{
  printf ("step %" G_GINT64_FORMAT "   %" G_GINT64_FORMAT " tasks%s, band %s, %" G_GINT64_FORMAT
          " stages ahead in it, %" G_GINT64_FORMAT " in earlier ones\n",
          get_int (step, "step"), get_int (step, "tasks"),
          get_bool (step, "gang") ? " (a gang)" : "", get_string (step, "band"),
          get_int (step, "ahead-in-band"), get_int (step, "ahead-in-earlier-bands"));
  printf ("  cap admits %" G_GINT64_FORMAT "; %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
          " workers can take a task, %" G_GINT64_FORMAT " tasks fit%s\n",
          get_int (step, "admitted-by-cap"), get_int (step, "candidates"),
          get_int (step, "workers"), get_int (step, "fitting"),
          get_bool (step, "advice-needed") ? "; advice is needed" : "");
  JsonArray *against = get_array (step, "against");
  for (guint i = 0; against != NULL && i < json_array_get_length (against); i++)
    print_against (json_array_get_object_element (against, i));
  printf ("  start: %s", get_string (step, "start"));
  if (json_object_has_member (step, "start-in-ms"))
    printf (" in %" G_GINT64_FORMAT " ms", get_int (step, "start-in-ms"));
  printf (" (%s)\n", get_string (step, "start-reason"));
}

static void
print_explanation (JsonObject *json)
{
  print_process (json);
  if (!get_bool (json, "leading"))
    printf ("owner    %s; ask its agent for the placement\n", get_string (json, "owner"));
  JsonObject *quota = get_object (json, "quota");
  if (quota != NULL)
    print_quota (quota);
  JsonArray *steps = get_array (json, "steps");
  for (guint i = 0; steps != NULL && i < json_array_get_length (steps); i++)
    print_step (json_array_get_object_element (steps, i));
  if (json_object_has_member (json, "steps-left-out"))
    printf ("%" G_GINT64_FORMAT " more steps are not explained\n",
            get_int (json, "steps-left-out"));
}

static int
print_reply (const ctl_options_t *options, GBytes *reply, guint status)
{
  gsize len;
  const char *data = g_bytes_get_data (reply, &len);
  if (status != SOUP_STATUS_OK)
    {
      fprintf (stderr, "bamboothreadctl: %s answered with status %u\n", options->agent, status);
      return CTL_EXIT_FAILED;
    }
  g_autoptr (JsonNode) node = bt_json_parse (data, len, NULL);
  if (options->raw || node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    printf ("%.*s\n", (int)len, data);
  else
    print_explanation (json_node_get_object (node));
  return EXIT_SUCCESS;
}

/**
 * ctl_where() - print where the job in a file would go, without submitting it
 * @options: options; the agent, the host and the path are needed
 * @args: the file
 *
 * Return: exit status; also 0 if the job would be refused.
 */
int
ctl_where (const ctl_options_t *options, const char **args)
{
  if (options->agent == NULL || options->host == NULL || options->path == NULL)
    {
      fprintf (stderr, "bamboothreadctl: where needs --agent, --host and --path\n");
      return CTL_EXIT_USAGE;
    }
  g_autoptr (GError) error = NULL;
  char *data;
  gsize len;
  if (!g_file_get_contents (args[0], &data, &len, &error))
    {
      fprintf (stderr, "bamboothreadctl: %s\n", error->message);
      return CTL_EXIT_FAILED;
    }
  g_autoptr (GBytes) body = g_bytes_new_take (data, len);
  g_autofree char *path = g_strconcat (EXPLAIN_PREFIX, options->path, NULL);
  const char *headers[] = { "Host", options->host, "Credential", options->key, NULL };
  guint status = 0;
  g_autoptr (GBytes) reply
      = ctl_call_with_headers ("POST", options->agent, path, headers, body, &status, &error);
  if (reply != NULL)
    return print_reply (options, reply, status);
  fprintf (stderr, "bamboothreadctl: %s\n", error->message);
  return CTL_EXIT_FAILED;
}
