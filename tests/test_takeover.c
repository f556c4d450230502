#include <string.h>

#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/*
 * Faults that tools/rotation found with real processes, as small worlds.
 */

#define SETTLE_US (15 * BT_USEC_PER_SEC)

typedef struct
{
  guint answers;
  char job[256];
  GString *body;
} seen_t;

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  seen_t *seen = context;
  seen->answers++;
  g_strlcpy (seen->job, job, sizeof seen->job);
}

static void
on_queried (void *context, bt_node_t *node, guint64 exchange, gboolean known, GBytes *body)
{
  seen_t *seen = context;
  gsize len = 0;
  const char *data = known ? g_bytes_get_data (body, &len) : "";
  g_string_truncate (seen->body, 0);
  g_string_append_len (seen->body, data, (gssize)len);
}

static const bt_world_observer_t observer = { .answered = on_answered, .queried = on_queried };

static bt_world_t *
new_world (seen_t *seen, guint workers)
{
  bt_tables_t *tables = bt_cell_tables (1, workers);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  memset (seen, 0, sizeof *seen);
  seen->body = g_string_new (NULL);
  bt_world_t *world = bt_world_new (&config, &observer, seen);
  bt_tables_free (tables);
  bt_world_run (world, SETTLE_US);
  return world;
}

static void
free_world (bt_world_t *world, seen_t *seen)
{
  bt_world_free (world);
  g_string_free (seen->body, TRUE);
}

static bt_request_t *
new_request (const char *caller, bt_kind_t kind, gint64 tasks, gint64 cpus)
{
  bt_request_t *request = g_new0 (bt_request_t, 1);
  request->caller = g_ref_string_new (caller);
  request->work = g_ref_string_new ("work");
  request->kind = kind;
  request->tasks = tasks;
  request->mcpus = cpus * 1000;
  request->memory_mb = 256;
  request->connections = 1;
  request->run_ms = 100;
  request->payload = g_ref_string_new ("x");
  return request;
}

static void
submit (bt_world_t *world, bt_node_t *node, bt_request_t *request)
{
  bt_world_submit (world, node, request);
  bt_schema_free (&bt_request_schema, request);
}

/*
 * The new owner has all workers' lists before it has read all that the former
 * one recorded. When the owner leaves, after the submission:
 */
static const gint64 leave_after_ms[]
    = { 20, 160, 180, 200, 320, 340, 360, 400, 440, 480, 520, 560, 600, 640, 680, 720, 800 };

START_TEST (recorded_job_ends_after_takeover)
{
  seen_t seen;
  bt_world_t *world = new_world (&seen, 3);
  world->log_delay_us = 150 * BT_USEC_PER_MSEC;
  bt_node_t *owner = bt_world_leader (world, "dc1");
  submit (world, owner, new_request ("batch", BT_KIND_BATCH, 2, 1));
  bt_world_run (world, leave_after_ms[_i] * BT_USEC_PER_MSEC);
  bt_core_leave (owner->core);
  bt_world_run (world, 60 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (seen.answers, 1);
  if (seen.job[0] != '\0')
    {
      bt_world_query (world, bt_world_leader (world, "dc1"), BT_QUERY_STATUS, seen.job);
      bt_world_run (world, BT_USEC_PER_SEC);
      ck_assert_msg (strstr (seen.body->str, "\"running\"") == NULL
                         && strstr (seen.body->str, "\"waiting\"") == NULL,
                     "not ended: %s", seen.body->str);
    }
  free_world (world, &seen);
}
END_TEST

/* Each gang's first task fits, and neither's second. */
START_TEST (gangs_that_half_fit_do_not_wake_each_other)
{
  seen_t seen;
  bt_world_t *world = new_world (&seen, 2);
  bt_node_t *owner = bt_world_leader (world, "dc1");
  submit (world, owner, new_request ("service", BT_KIND_SERVICE, 1, 20));
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  submit (world, owner, new_request ("batch", BT_KIND_GANG, 2, 20));
  submit (world, owner, new_request ("best-effort", BT_KIND_GANG, 2, 20));
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (seen.answers, 3);
  free_world (world, &seen);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("takeover");
  tcase_set_timeout (tests, 20);
  tcase_add_loop_test (tests, recorded_job_ends_after_takeover, 0, G_N_ELEMENTS (leave_after_ms));
  tcase_add_test (tests, gangs_that_half_fit_do_not_wake_each_other);
  return suite_run ("takeover", tests);
}
