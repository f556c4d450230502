#include "tests/scene.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

static void
append_vms (GString *json, const scene_config_t *config)
{
  guint port = 0;
  for (guint d = 1; d <= config->data_centres; d++)
    {
      guint n = config->vms_in[d - 1] > 0 ? config->vms_in[d - 1] : config->vms;
      for (guint i = 1; i <= n; i++)
        {
          port++;
          g_string_append_printf (json,
                                  "%s{\"name\":\"vm%u-%u\",\"address\":\"10.0.%u.%u:80\","
                                  "\"data_centre\":\"dc%u\",\"rack\":\"dc%u-r%u\",\"cpus\":%u,"
                                  "\"memory_mb\":131072,\"gpus\":%u}",
                                  port > 1 ? "," : "", d, i, port / 250, port % 250 + 1, d, d,
                                  i / 5, config->cpus, config->gpus);
        }
    }
}

bt_tables_t *
scene_tables (const scene_config_t *config)
{
  g_autoptr (GString) json = g_string_new ("{\"routes\":");
  g_string_append (json, config->routes);
  g_string_append_printf (json,
                          ",\"pools\":[{\"name\":\"pool\",\"slots\":%u,\"connections\":64,"
                          "\"urgent_reserve_percent\":%u,\"drain_ms\":%u,"
                          "\"quotas\":%s,\"vms\":[",
                          config->slots > 0 ? config->slots : 8, config->reserve,
                          config->drain_ms > 0 ? config->drain_ms : 120000,
                          config->quotas != NULL ? config->quotas : "[]");
  append_vms (json, config);
  g_string_append (json, "]}]}");
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (json->str, json->len, &report);
  ck_assert_msg (tables != NULL, "tables: %s", json->str);
  bt_report_clear (&report);
  return tables;
}

static void
count (GHashTable *table, const char *name, gint change)
{
  gint n = GPOINTER_TO_INT (g_hash_table_lookup (table, name)) + change;
  g_hash_table_replace (table, g_strdup (name), GINT_TO_POINTER (n));
}

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  scene_t *scene = context;
  scene_answer_t *answer = g_hash_table_lookup (scene->answers, &exchange);
  if (answer == NULL)
    {
      answer = g_new0 (scene_answer_t, 1);
      answer->exchange = exchange;
      g_hash_table_insert (scene->answers, &answer->exchange, answer);
    }
  answer->answers++;
  answer->status = outcome->status;
  answer->reason = outcome->reason;
  answer->retry_after_ms = outcome->retry_after_ms;
  g_strlcpy (answer->job, job, sizeof answer->job);
  g_strlcpy (answer->detail, outcome->detail != NULL ? outcome->detail : "", sizeof answer->detail);
}

/* The payload is "WORK REQUESTED_AT EXCHANGE". */
static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  scene_t *scene = context;
  char work[64];
  gint64 at = 0;
  guint64 exchange = 0;
  if (request->payload == NULL
      || sscanf (request->payload, "%63s %" G_GINT64_FORMAT " %" G_GUINT64_FORMAT, work, &at,
                 &exchange)
             != 3)
    return;
  g_autofree char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, exchange);
  count (scene->by_exchange, number, 1);
  count (scene->running, number, 1);
  scene->overlaps += scene_running (scene, number) > 1;
  g_hash_table_replace (scene->exchanges, g_strdup (request->attempt), g_strdup (number));
  count (scene->starts, work, 1);
  count (scene->running, work, 1);
  g_hash_table_replace (scene->started_ids, g_strdup (request->attempt), g_strdup (work));
  GArray *waits = g_hash_table_lookup (scene->waits, work);
  if (waits == NULL)
    {
      waits = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_hash_table_insert (scene->waits, g_strdup (work), waits);
    }
  gint64 wait = scene->world->clock.now_us - at;
  g_array_append_val (waits, wait);
}

static void
on_ended (void *context, bt_host_t *host, const bt_attempt_report_t *report)
{
  scene_t *scene = context;
  const char *work = g_hash_table_lookup (scene->started_ids, report->attempt);
  if (work == NULL)
    return;
  count (scene->running, work, -1);
  count (scene->running, g_hash_table_lookup (scene->exchanges, report->attempt), -1);
}

static void
on_queried (void *context, bt_node_t *node, guint64 exchange, gboolean known, GBytes *body)
{
  scene_t *scene = context;
  g_clear_pointer (&scene->query, g_free);
  gsize len = 0;
  const char *data = body != NULL ? g_bytes_get_data (body, &len) : NULL;
  scene->query = g_strndup (data != NULL ? data : "", len);
}

static const bt_world_observer_t observer
    = { .answered = on_answered, .started = on_started, .ended = on_ended, .queried = on_queried };

scene_t *
scene_new (const scene_config_t *config)
{
  scene_t *scene = g_new0 (scene_t, 1);
  scene->tables = scene_tables (config);
  scene->answers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  scene->starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scene->running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scene->started_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  scene->waits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  scene->by_exchange = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scene->exchanges = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  bt_world_config_t world;
  bt_world_config_init (&world);
  world.tables = scene->tables;
  world.daemons = config->daemons > 0 ? config->daemons : 1;
  world.seed = config->seed > 0 ? config->seed : 1;
  scene->world = bt_world_new (&world, &observer, scene);
  bt_world_run (scene->world, 5 * BT_USEC_PER_SEC);
  return scene;
}

void
scene_free (scene_t *scene)
{
  bt_world_free (scene->world);
  bt_tables_free (scene->tables);
  g_hash_table_unref (scene->answers);
  g_hash_table_unref (scene->starts);
  g_hash_table_unref (scene->running);
  g_hash_table_unref (scene->started_ids);
  g_hash_table_unref (scene->by_exchange);
  g_hash_table_unref (scene->exchanges);
  g_hash_table_unref (scene->waits);
  g_free (scene->query);
  g_free (scene);
}

bt_request_t *
scene_request (const char *caller, const char *work, bt_kind_t kind, gint64 tasks, gint64 mcpus,
               gint64 run_ms)
{
  g_autofree char *json = g_strdup_printf (
      "{\"caller\":\"%s\",\"work\":\"%s\",\"kind\":\"%s\",\"tasks\":%" G_GINT64_FORMAT
      ",\"mcpus\":%" G_GINT64_FORMAT ",\"memory_mb\":64,\"connections\":0,"
      "\"run_ms\":%" G_GINT64_FORMAT ",\"payload\":\"%s 0 0\"}",
      caller, work, bt_kind_names[kind], tasks, mcpus, run_ms, work);
  bt_request_t *request = bt_schema_parse (&bt_request_schema, json, strlen (json), NULL);
  ck_assert_ptr_nonnull (request);
  return request;
}

guint64
scene_submit (scene_t *scene, const char *node, const char *caller, const char *work,
              bt_kind_t kind, gint64 tasks, gint64 mcpus, gint64 run_ms)
{
  bt_request_t *request = scene_request (caller, work, kind, tasks, mcpus, run_ms);
  g_autofree char *payload
      = g_strdup_printf ("%s %" G_GINT64_FORMAT " %" G_GUINT64_FORMAT, work,
                         scene->world->clock.now_us, scene->world->exchange_counter + 1);
  g_ref_string_release (request->payload);
  request->payload = g_ref_string_new (payload);
  g_autofree char *key = g_strdup_printf ("%" G_GUINT64_FORMAT, scene->world->exchange_counter + 1);
  if (scene->keyed)
    request->key = g_ref_string_new (key);
  guint64 exchange = bt_world_submit (scene->world, bt_world_node (scene->world, node), request);
  bt_schema_free (&bt_request_schema, request);
  return exchange;
}

const scene_answer_t *
scene_answer (const scene_t *scene, guint64 exchange)
{
  return g_hash_table_lookup (scene->answers, &exchange);
}

const char *
scene_ask (scene_t *scene, const char *node, bt_query_t what, const char *argument)
{
  bt_world_query (scene->world, bt_world_node (scene->world, node), what, argument);
  bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
  return scene->query;
}

guint
scene_starts (const scene_t *scene, const char *work)
{
  return (guint)GPOINTER_TO_INT (g_hash_table_lookup (scene->starts, work));
}

guint
scene_running (const scene_t *scene, const char *work)
{
  return (guint)GPOINTER_TO_INT (g_hash_table_lookup (scene->running, work));
}

guint
scene_starts_at (const scene_t *scene, guint64 exchange)
{
  g_autofree char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, exchange);
  return (guint)GPOINTER_TO_INT (g_hash_table_lookup (scene->by_exchange, number));
}

static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

gint64
scene_wait_at (const scene_t *scene, const char *work, double part)
{
  GArray *waits = g_hash_table_lookup (scene->waits, work);
  if (waits == NULL)
    return -1;
  g_array_sort (waits, compare_waits);
  return g_array_index (waits, gint64, (guint)(part * (waits->len - 1)));
}

gint64
scene_wait_max (const scene_t *scene, const char *work)
{
  return scene_wait_at (scene, work, 1);
}

guint
scene_refused (const scene_t *scene, bt_reason_t reason)
{
  guint n = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    if (answer->status == BT_STATUS_NOT_RUN && answer->reason == reason)
      n++;
  return n;
}
