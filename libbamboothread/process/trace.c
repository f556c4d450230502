#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * A ring buffer of the latest scheduling decisions about jobs, shown by bamboothreadctl explain.
 */

#define TRACE_ENTRIES_MAX 8192

/**
 * bt_trace_init() - initialise an empty ring buffer
 * @core: the core
 */
void
bt_trace_init (bt_core_t *core)
{
  core->trace.ring = g_new0 (bt_trace_entry_t, TRACE_ENTRIES_MAX);
}

static void
entry_clear (bt_trace_entry_t *entry)
{
  g_clear_pointer (&entry->job, g_ref_string_release);
  g_clear_pointer (&entry->table_line, g_free);
  g_clear_pointer (&entry->detail, g_free);
}

/**
 * bt_trace_clear() - free the ring buffer
 * @core: the core
 */
void
bt_trace_clear (bt_core_t *core)
{
  for (gsize i = 0; i < TRACE_ENTRIES_MAX; i++)
    entry_clear (&core->trace.ring[i]);
  g_free (core->trace.ring);
}

static void
add_entry (bt_core_t *core, const char *job, const char *action, char *line, char *detail)
{
  bt_trace_entry_t *entry = &core->trace.ring[core->trace.n_added++ % TRACE_ENTRIES_MAX];
  entry_clear (entry);
  entry->detail = detail;
  entry->decided_at = core->now;
  entry->job = g_ref_string_new (job);
  entry->action = action;
  entry->table_line = line;
  entry->tables_version = core->tables.version;
}

/**
 * bt_trace_add() - record a decision whose cause is a route
 * @core: the core
 * @job: id of the job
 * @action: what was decided, a static string
 * @route: name of the route, or NULL if no route matched or the tables no longer have it
 * @format: printf-style reason as text
 */
void
bt_trace_add (bt_core_t *core, const char *job, const char *action, const char *route,
              const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  char *line = route != NULL ? g_strconcat ("route ", route, NULL) : g_strdup ("no route");
  add_entry (core, job, action, line, detail);
}

/**
 * bt_trace_add_pool() - record a decision whose cause is a pool, not a route
 * @core: the core
 * @job: id of the job
 * @action: what was decided, a static string
 * @pool: name of the pool
 * @format: printf-style reason as text
 */
void
bt_trace_add_pool (bt_core_t *core, const char *job, const char *action, const char *pool,
                   const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  add_entry (core, job, action, g_strconcat ("pool ", pool, NULL), detail);
}

/**
 * bt_trace_to_json() - the decisions about a job that the ring buffer still holds
 * @core: the core
 * @job: id of the job
 *
 * Return: a new JSON array, oldest first.
 */
JsonNode *
bt_trace_to_json (const bt_core_t *core, const char *job)
{
  JsonArray *array = json_array_new ();
  for (gsize i = 0; i < TRACE_ENTRIES_MAX; i++)
    {
      const bt_trace_entry_t *entry
          = &core->trace.ring[(core->trace.n_added + i) % TRACE_ENTRIES_MAX];
      if (entry->job == NULL || strcmp (entry->job, job) != 0)
        continue;
      JsonObject *item = json_object_new ();
      json_object_set_int_member (item, "ago_ms",
                                  (core->now - entry->decided_at) / BT_USEC_PER_MSEC);
      json_object_set_string_member (item, "action", entry->action);
      json_object_set_string_member (item, "line", entry->table_line);
      json_object_set_int_member (item, "version", entry->tables_version);
      json_object_set_string_member (item, "detail", entry->detail);
      json_array_add_object_element (array, item);
    }
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}
