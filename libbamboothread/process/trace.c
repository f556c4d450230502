#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * A bounded ring of decisions, for bamboothreadctl explain.
 */

#define TRACE_ENTRIES 8192

/**
 * bt_trace_init() - an empty ring
 * @core: the core
 */
void
bt_trace_init (bt_core_t *core)
{
  core->trace.ring = g_new0 (bt_trace_entry_t, TRACE_ENTRIES);
}

static void
entry_clear (bt_trace_entry_t *entry)
{
  g_clear_pointer (&entry->job, g_ref_string_release);
  g_clear_pointer (&entry->table_line, g_free);
  g_clear_pointer (&entry->detail, g_free);
}

/**
 * bt_trace_clear() - free the ring
 * @core: the core
 */
void
bt_trace_clear (bt_core_t *core)
{
  for (gsize i = 0; i < TRACE_ENTRIES; i++)
    entry_clear (&core->trace.ring[i]);
  g_free (core->trace.ring);
}

static void
add (bt_core_t *core, const char *job, const char *action, char *line, char *detail)
{
  bt_trace_entry_t *entry = &core->trace.ring[core->trace.n_added++ % TRACE_ENTRIES];
  entry_clear (entry);
  entry->detail = detail;
  entry->decided_at = core->now;
  entry->job = g_ref_string_new (job);
  entry->action = action;
  entry->table_line = line;
  entry->tables_version = core->tables.version;
}

/**
 * bt_trace_add() - record a decision that a route caused
 * @core: the core
 * @job: id of the job that it concerns
 * @action: what was decided, a static string
 * @route: the route's name, or NULL if no route matched or the tables no longer have it
 * @format: printf-style cause, in words
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
  add (core, job, action, line, detail);
}

/**
 * bt_trace_add_pool() - record a decision that a pool caused
 * @core: the core
 * @job: id of the job that it concerns
 * @action: what was decided, a static string
 * @pool: the pool's name
 * @format: printf-style cause, in words
 */
void
bt_trace_add_pool (bt_core_t *core, const char *job, const char *action, const char *pool,
                   const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  add (core, job, action, g_strconcat ("pool ", pool, NULL), detail);
}

/**
 * bt_trace_to_json() - the decisions about a job that the ring still holds
 * @core: the core
 * @job: the job's id
 *
 * Return: a new JSON array, oldest first.
 */
JsonNode *
bt_trace_to_json (const bt_core_t *core, const char *job)
{
  JsonArray *array = json_array_new ();
  for (gsize i = 0; i < TRACE_ENTRIES; i++)
    {
      const bt_trace_entry_t *entry = &core->trace.ring[(core->trace.n_added + i) % TRACE_ENTRIES];
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
