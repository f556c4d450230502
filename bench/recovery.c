#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"

/*
 * Measures how long a daemon takes that starts with nothing, while no other
 * is left, until it owns the workers and knows all open jobs and tasks; and the
 * bytes that it reads for that from the log and from the workers' lists. Time
 * is simulated; processor time is that of the daemon's own code and its codec.
 */

#define TASKS_PER_WORKER 7
#define TASKS_PER_BATCH 8
#define TASKS_PER_SERVICE 2
/* One task of so many is a service's. */
#define SERVICE_SHARE 5
#define SUBMIT_BURST 50
#define LONG_MS 100000000LL
#define LIMIT_US (600LL * BT_USEC_PER_SEC)

static void
submit (bt_world_t *world, const char *caller, const char *kind, guint tasks)
{
  g_autofree char *payload = g_strnfill (200, 'x');
  g_autofree char *text = g_strdup_printf (
      "{\"caller\":\"%s\",\"work\":\"w\",\"kind\":\"%s\",\"tasks\":%u,\"run_ms\":%lld,"
      "\"mcpus\":1000,\"memory_mb\":512,\"payload\":\"%s\"}",
      caller, kind, tasks, LONG_MS, payload);
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  bt_world_submit (world, world->nodes->pdata[0], request);
  bt_schema_free (&bt_request_schema, request);
}

static guint
running (const bt_world_t *world)
{
  guint n = 0;
  for (guint i = 0; i < world->hosts->len; i++)
    n += g_hash_table_size (((bt_host_t *)world->hosts->pdata[i])->model.attempts);
  return n;
}

static guint
fill (bt_world_t *world, guint tasks)
{
  guint services = tasks / SERVICE_SHARE / TASKS_PER_SERVICE;
  guint batches = (tasks - services * TASKS_PER_SERVICE) / TASKS_PER_BATCH;
  for (guint i = 0; i < services + batches; i++)
    {
      if (i < services)
        submit (world, "service", "service", TASKS_PER_SERVICE);
      else
        submit (world, "batch", "batch", TASKS_PER_BATCH);
      if (i % SUBMIT_BURST == 0)
        bt_world_run (world, BT_USEC_PER_SEC / 2);
    }
  guint wanted = services * TASKS_PER_SERVICE + batches * TASKS_PER_BATCH;
  for (guint i = 0; i < 600 && running (world) < wanted; i++)
    bt_world_run (world, BT_USEC_PER_SEC);
  return wanted;
}

static guint64
log_bytes (bt_world_t *world)
{
  guint64 bytes = 0;
  const bt_log_stream_t *stream = g_hash_table_lookup (world->log.streams, "jobs.dc1");
  for (guint i = 0; i < stream->records->len; i++)
    bytes += g_bytes_get_size (stream->records->pdata[i]);
  return bytes;
}

static guint64
list_bytes (const bt_world_t *world)
{
  guint64 bytes = 0;
  for (guint i = 0; i < world->hosts->len; i++)
    {
      const bt_host_t *host = world->hosts->pdata[i];
      GHashTableIter iter;
      const bt_model_attempt_t *attempt;
      g_hash_table_iter_init (&iter, host->model.attempts);
      while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
        {
          g_autoptr (GBytes) text
              = bt_schema_to_bytes (&bt_attempt_report_schema, &attempt->report);
          bytes += g_bytes_get_size (text);
        }
    }
  return bytes;
}

static guint
bound_attempts (const bt_core_t *core)
{
  guint n = 0;
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    n += attempt->worker != NULL && attempt->phase == BT_PHASE_RUNNING;
  return n;
}

static double
cpu_seconds (void)
{
  return (double)clock () / CLOCKS_PER_SEC;
}

static void
measure (guint tasks)
{
  bt_tables_t *tables = bt_cell_tables (1, tasks / TASKS_PER_WORKER + 2);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = 1;
  bt_world_t *world = bt_world_new (&config, NULL, NULL);
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  guint wanted = fill (world, tasks);
  bt_node_t *node = world->nodes->pdata[0];
  bt_world_kill (world, node);
  guint records = (guint)bt_log_model_next (&world->log, "jobs.dc1");
  guint64 from_log = log_bytes (world);
  guint64 from_lists = list_bytes (world);
  gint64 started_at = world->clock.now_us;
  double cpu = cpu_seconds ();
  bt_world_start (world, node);
  gint64 led_at = 0;
  while (world->clock.now_us < started_at + LIMIT_US)
    {
      bt_world_run (world, 20 * BT_USEC_PER_MSEC);
      const bt_core_t *core = node->core;
      if (led_at == 0 && bt_core_is_leading (core))
        led_at = world->clock.now_us;
      if (core->owner.settled && core->journal.caught_up && bound_attempts (core) >= wanted)
        break;
    }
  printf ("%8u %8u %8u %8u %10" G_GUINT64_FORMAT " %10" G_GUINT64_FORMAT " %9.2f %9.2f %9.2f\n",
          wanted, bound_attempts (node->core), world->hosts->len, records, from_log, from_lists,
          (double)(led_at - started_at) / BT_USEC_PER_SEC,
          (double)(world->clock.now_us - started_at) / BT_USEC_PER_SEC, cpu_seconds () - cpu);
  bt_world_free (world);
  bt_tables_free (tables);
}

int
main (void)
{
  static const guint sizes[] = { 100, 1000, 4000, 16000 };
  bt_log_set_level (BT_LOG_ERROR);
  printf ("%8s %8s %8s %8s %10s %10s %9s %9s %9s\n", "tasks", "found", "workers", "records",
          "log-bytes", "list-bytes", "owner-s", "all-s", "cpu-s");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i]);
  return EXIT_SUCCESS;
}
