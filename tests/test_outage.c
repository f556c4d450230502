#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/* What callers are told of durable work while the log is down, and that it is true. */

#define WORKERS 4
#define DAEMONS 3

typedef struct
{
  bt_world_t *world;
  guint answers;
  bt_status_t status;
  bt_reason_t reason;
  guint starts;
  char job[192];
} scene_t;

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  ((scene_t *)context)->starts++;
}

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  scene_t *scene = context;
  scene->answers++;
  scene->status = outcome->status;
  scene->reason = outcome->reason;
  g_strlcpy (scene->job, job, sizeof scene->job);
}

static const bt_world_observer_t observer = { .answered = on_answered, .started = on_started };

static void
scene_open (scene_t *scene, bt_log_outage_policy_t policy)
{
  memset (scene, 0, sizeof *scene);
  bt_tables_t *tables = bt_cell_tables (1, WORKERS);
  bt_route_t *route = tables->routes->pdata[BT_CLASS_SERVICE];
  route->on_log_outage = policy;
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = DAEMONS;
  scene->world = bt_world_new (&config, &observer, scene);
  bt_tables_free (tables);
  bt_world_run (scene->world, 5 * BT_USEC_PER_SEC);
}

static void
submit_service (scene_t *scene)
{
  static const char text[] = "{\"caller\":\"service\",\"work\":\"w\",\"kind\":\"service\","
                             "\"tasks\":2,\"mcpus\":100}";
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  bt_node_t *leader = bt_world_leader (scene->world, "dc1");
  ck_assert_ptr_nonnull (leader);
  bt_node_t *entry = scene->world->nodes->pdata[scene->world->nodes->pdata[0] == leader];
  bt_world_submit (scene->world, entry, request);
  bt_schema_free (&bt_request_schema, request);
}

static guint
running (const scene_t *scene)
{
  guint n = 0;
  for (guint i = 0; i < scene->world->hosts->len; i++)
    {
      const bt_host_t *host = scene->world->hosts->pdata[i];
      GHashTableIter iter;
      const bt_model_attempt_t *attempt;
      g_hash_table_iter_init (&iter, host->model.attempts);
      while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
        n += attempt->report.state == BT_ATTEMPT_RUNNING;
    }
  return n;
}

/*
 * The policy, how long the log has been down at the request, whether the owner
 * dies before the log is back, what the caller is told, and how many tasks run at
 * the end, when all daemons have been replaced.
 */
static const struct
{
  bt_log_outage_policy_t policy;
  gint64 down_before_s;
  gint64 down_after_s;
  gboolean owner_dies;
  bt_status_t status;
  bt_reason_t reason;
  guint running;
} outage_cases[] = {
  { BT_LOG_OUTAGE_REFUSE, 5, 10, FALSE, BT_STATUS_NOT_RUN, BT_REASON_LOG_UNAVAILABLE, 0 },
  { BT_LOG_OUTAGE_REFUSE, 5, 3600, FALSE, BT_STATUS_NOT_RUN, BT_REASON_LOG_UNAVAILABLE, 0 },
  { BT_LOG_OUTAGE_REFUSE, 5, 10, TRUE, BT_STATUS_NOT_RUN, BT_REASON_LOG_UNAVAILABLE, 0 },
  { BT_LOG_OUTAGE_HOLD, 5, 10, FALSE, BT_STATUS_HELD, BT_REASON_NONE, 2 },
  { BT_LOG_OUTAGE_HOLD, 5, 3600, FALSE, BT_STATUS_HELD, BT_REASON_NONE, 2 },
};

START_TEST (callers_are_told_the_truth)
{
  scene_t scene;
  scene_open (&scene, outage_cases[_i].policy);
  bt_world_log_set_down (scene.world, TRUE);
  bt_world_run (scene.world, outage_cases[_i].down_before_s * BT_USEC_PER_SEC);
  submit_service (&scene);
  bt_world_run (scene.world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene.answers, 1);
  ck_assert_int_eq (scene.status, outage_cases[_i].status);
  ck_assert_int_eq (scene.reason, outage_cases[_i].reason);
  if (outage_cases[_i].owner_dies)
    bt_world_kill (scene.world, bt_world_leader (scene.world, "dc1"));
  bt_world_run (scene.world, outage_cases[_i].down_after_s * BT_USEC_PER_SEC);
  bt_world_log_set_down (scene.world, FALSE);
  bt_world_run (scene.world, 10 * BT_USEC_PER_SEC);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    bt_world_kill (scene.world, scene.world->nodes->pdata[i]);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    bt_world_start (scene.world, scene.world->nodes->pdata[i]);
  bt_world_run (scene.world, 30 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (running (&scene), outage_cases[_i].running);
  ck_assert_uint_eq (scene.starts, outage_cases[_i].running);
  ck_assert_uint_eq (scene.answers, 1);
  bt_world_free (scene.world);
}
END_TEST

/* The log goes down just as the request comes, and the owner may die over it; the
 * next one can't know whether the former one's record lies in the log. */
static const struct
{
  gint64 down_s;
  gboolean owner_dies;
  bt_status_t status;
} crossing_cases[] = {
  { 8, FALSE, BT_STATUS_ACCEPTED },
  { 8, TRUE, BT_STATUS_UNKNOWN },
  { 40, FALSE, BT_STATUS_UNKNOWN },
  { 40, TRUE, BT_STATUS_UNKNOWN },
};

START_TEST (an_outage_that_crosses_a_request)
{
  scene_t scene;
  scene_open (&scene, BT_LOG_OUTAGE_REFUSE);
  submit_service (&scene);
  bt_world_log_set_down (scene.world, TRUE);
  bt_world_run (scene.world, 500 * BT_USEC_PER_MSEC);
  if (crossing_cases[_i].owner_dies)
    bt_world_kill (scene.world, bt_world_leader (scene.world, "dc1"));
  bt_world_run (scene.world, crossing_cases[_i].down_s * BT_USEC_PER_SEC);
  bt_world_log_set_down (scene.world, FALSE);
  bt_world_run (scene.world, 30 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene.answers, 1);
  ck_assert_msg (scene.status == crossing_cases[_i].status, "told %s, reason %s",
                 bt_status_names[scene.status], bt_reason_names[scene.reason]);
  /* It was accepted or may run: it runs once, or not at all if nobody has it. */
  ck_assert_uint_le (scene.starts, 2);
  if (scene.status == BT_STATUS_ACCEPTED)
    ck_assert_uint_eq (running (&scene), 2);
  bt_world_free (scene.world);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("outage");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, callers_are_told_the_truth, 0, G_N_ELEMENTS (outage_cases));
  tcase_add_loop_test (tests, an_outage_that_crosses_a_request, 0, G_N_ELEMENTS (crossing_cases));
  return suite_run ("outage", tests);
}
