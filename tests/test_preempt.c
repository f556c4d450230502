#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/fleet.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* Who makes room for whom, in which order, and who never does. */

#define ROUTE(work, team, work_class, idempotent)                                                  \
  "{\"name\":\"" work "\",\"callers\":[\"*\"],\"work\":\"" work "\",\"team\":\"" team              \
  "\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":" idempotent                   \
  ",\"deadline_ms\":60000,\"packing\":1,\"waiting\":0}"

#define ROUTES                                                                                     \
  "[" ROUTE ("quick", "a", "urgent", "true") "," ROUTE ("build", "b", "batch", "true") "," ROUTE ( \
      "bill", "b", "batch",                                                                        \
      "false") "," ROUTE ("serve", "b", "service",                                                 \
                          "true") "," ROUTE ("spare", "b", "best-effort",                          \
                                             "true") "," ROUTE ("own", "a", "batch",               \
                                                                "true") "," ROUTE ("idle", "a",    \
                                                                                   "best-effort",  \
                                                                                   "true") "]"

#define HALVES                                                                                     \
  "[{\"team\":\"a\",\"cpus\":16,\"memory_mb\":131072},{\"team\":\"b\",\"cpus\":16,"                \
  "\"memory_mb\":131072}]"
#define ALL_FOR_B                                                                                  \
  "[{\"team\":\"a\",\"cpus\":4,\"memory_mb\":131072},{\"team\":\"b\",\"cpus\":32,"                 \
  "\"memory_mb\":262144}]"
#define NONE_FOR_A                                                                                 \
  "[{\"team\":\"a\",\"cpus\":0,\"memory_mb\":0},{\"team\":\"b\",\"cpus\":32,"                      \
  "\"memory_mb\":262144}]"

static const char *const fleet_routes
    = "{\"name\":\"quick\",\"callers\":[\"*\"],\"work\":\"quick\",\"team\":\"a\",\"class\":"
      "\"urgent\",\"pool\":\"p\",\"idempotent\":true},{\"name\":\"build\",\"callers\":[\"*\"],"
      "\"work\":\"build\",\"team\":\"b\",\"class\":\"batch\",\"pool\":\"p\",\"idempotent\":true}";

static scene_t *
open_scene (const char *quotas)
{
  scene_config_t config = { .data_centres = 1, .vms = 2, .cpus = 16, .routes = ROUTES };
  config.quotas = quotas;
  return scene_new (&config);
}

static bt_core_t *
core_of (scene_t *scene)
{
  return bt_world_leader (scene->world, "dc1")->core;
}

static void
submit (scene_t *scene, const char *work, bt_kind_t kind, gint64 tasks, gint64 mcpus, gint64 run_ms)
{
  scene_submit (scene, "dc1-d1", "c", work, kind, tasks, mcpus, run_ms);
}

/* Both VMs are full of the one work; then a task of the other comes. */
static const struct
{
  const char *name;
  const char *quotas;
  const char *there;
  bt_kind_t kind;
  const char *comes;
  gint64 within_ms;
  guint preempted;
} cases[] = {
  { "urgent before batch", ALL_FOR_B, "build", BT_KIND_BATCH, "quick", 2000, 1 },
  { "urgent before best effort", ALL_FOR_B, "spare", BT_KIND_BATCH, "quick", 2000, 1 },
  { "never what may not run again", ALL_FOR_B, "bill", BT_KIND_BATCH, "quick", 0, 0 },
  { "never a request", ALL_FOR_B, "build", BT_KIND_REQUEST, "quick", 0, 0 },
  { "never a gang", ALL_FOR_B, "build", BT_KIND_GANG, "quick", 0, 0 },
  { "never a service within its quota", ALL_FOR_B, "serve", BT_KIND_SERVICE, "quick", 0, 0 },
  { "a service that borrows", HALVES, "serve", BT_KIND_SERVICE, "quick", 8300, 1 },
  { "batch takes back what is borrowed", HALVES, "build", BT_KIND_BATCH, "own", 8300, 1 },
  { "batch takes nothing else", ALL_FOR_B, "build", BT_KIND_BATCH, "own", 0, 0 },
  { "batch before best effort", ALL_FOR_B, "spare", BT_KIND_BATCH, "own", 2000, 1 },
  { "best effort takes nothing", HALVES, "spare", BT_KIND_BATCH, "idle", 0, 0 },
  { "nobody over its quota", NONE_FOR_A, "build", BT_KIND_BATCH, "quick", 0, 0 },
};

START_TEST (who_makes_room)
{
  scene_t *scene = open_scene (cases[_i].quotas);
  gboolean request = cases[_i].kind == BT_KIND_REQUEST;
  for (guint i = 0; i < (request ? 8 : 1); i++)
    submit (scene, cases[_i].there, cases[_i].kind, request ? 1 : 8, 4000, 100000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, cases[_i].there), 8);
  submit (scene, cases[_i].comes, BT_KIND_BATCH, 1, 4000, 1000);
  gint64 wait_ms = cases[_i].within_ms > 0 ? cases[_i].within_ms : 20000;
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC / 2);
  ck_assert (cases[_i].within_ms == 2000 || scene_starts (scene, cases[_i].comes) == 0);
  bt_world_run (scene->world, wait_ms * BT_USEC_PER_MSEC - 3 * BT_USEC_PER_SEC / 2);
  ck_assert_uint_eq (scene_starts (scene, cases[_i].comes), cases[_i].within_ms > 0 ? 1 : 0);
  ck_assert_uint_eq (core_of (scene)->counters.tasks_preempted, cases[_i].preempted);
  bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
  ck_assert_uint_le (scene_running (scene, cases[_i].there), 8);
  ck_assert_uint_eq (scene_starts (scene, cases[_i].there), 8 + cases[_i].preempted);
  scene_free (scene);
}
END_TEST

/* Two works are there; the first one gives way. */
static const struct
{
  const char *name;
  const char *quotas;
  const char *first;
  gint64 first_age_s;
  const char *second;
  gint64 second_age_s;
  gboolean apart;
} order_cases[] = {
  { "the less urgent", ALL_FOR_B, "spare", 20, "build", 1, FALSE },
  { "the less urgent, on another VM", ALL_FOR_B, "spare", 20, "build", 1, TRUE },
  { "the one with less work to lose", ALL_FOR_B, "build", 1, "build", 20, FALSE },
};

static gint64
oldest_start_ms (scene_t *scene, const char *work, gboolean newest)
{
  gint64 found = newest ? 0 : G_MAXINT64;
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core_of (scene)->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (strcmp (attempt->job->route, work) == 0)
      found = newest ? MAX (found, attempt->sent_at) : MIN (found, attempt->sent_at);
  return found;
}

START_TEST (which_victim_goes_first)
{
  scene_t *scene = open_scene (order_cases[_i].quotas);
  gboolean second_older = order_cases[_i].second_age_s > order_cases[_i].first_age_s;
  const char *older = second_older ? order_cases[_i].second : order_cases[_i].first;
  const char *newer = second_older ? order_cases[_i].first : order_cases[_i].second;
  guint n = order_cases[_i].apart ? 4 : 2;
  if (!order_cases[_i].apart)
    submit (scene, "bill", BT_KIND_BATCH, 4, 4000, 200000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  for (guint i = 0; i < n; i++)
    submit (scene, older, BT_KIND_BATCH, 1, 4000, 100000);
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  gint64 older_start = oldest_start_ms (scene, older, FALSE);
  for (guint i = 0; i < n; i++)
    submit (scene, newer, BT_KIND_BATCH, 1, 4000, 100000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  guint before = scene_running (scene, order_cases[_i].first);
  submit (scene, "quick", BT_KIND_BATCH, 1, 4000, 50000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, "quick"), 1);
  ck_assert_uint_eq (scene_running (scene, order_cases[_i].first), before - 1);
  if (second_older)
    ck_assert_int_eq (oldest_start_ms (scene, older, FALSE), older_start);
  scene_free (scene);
}
END_TEST

/* A worker that does not answer gets all three orders, each after its time; but none for requests.
 */
START_TEST (throttle_then_checkpoint_then_stop)
{
  const guint64 ordered = _i == 0 ? 1 : 0;
  g_autofree char *pool = bt_fleet_pool ("p", "", 0, 1, 1, "\"cpus\": 8, \"memory_mb\": 8192");
  bt_tables_t *tables = bt_fleet_tables (fleet_routes, pool);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  bt_resources_t need = { { 4000, 64, 0, 1, 0 } };
  bt_worker_t *worker = bt_owner_find_worker (fleet.core, "p-0");
  bt_quota_tick (fleet.core);
  for (guint i = 0; i < 2; i++)
    {
      bt_job_t *victim = bt_fleet_job (&fleet, "build", &need, 1);
      victim->request->kind = _i == 0 ? BT_KIND_BATCH : BT_KIND_REQUEST;
      bt_fleet_run (&fleet, victim, 0, worker);
    }
  bt_job_t *job = bt_fleet_job (&fleet, "quick", &need, 1);
  bt_queue_push (fleet.core, job);
  guint64 seen[3][3] = { { 0 } };
  static const gint64 times_ms[3] = { 700, 500, 2100 };
  for (guint stage = 0; stage < 3; stage++)
    {
      for (gint64 ms = 0; ms < times_ms[stage]; ms += 50)
        {
          bt_clock_advance (&fleet.clock, 50 * BT_USEC_PER_MSEC);
          fleet.core->now = bt_clock_now (&fleet.clock);
          bt_preempt_tick (fleet.core);
          bt_sched_tick (fleet.core);
        }
      memcpy (seen[stage], fleet.stopped_by, sizeof seen[stage]);
    }
  ck_assert_uint_eq (seen[0][BT_STOP_THROTTLE], ordered);
  ck_assert_uint_eq (seen[0][BT_STOP_CHECKPOINT], 0);
  ck_assert_uint_ge (seen[1][BT_STOP_CHECKPOINT], ordered);
  ck_assert_uint_eq (seen[1][BT_STOP_STOP], 0);
  ck_assert_uint_ge (seen[2][BT_STOP_STOP], ordered);
  ck_assert_uint_eq (fleet.core->counters.tasks_preempted, ordered);
  ck_assert_uint_eq (fleet.stopped > 0, ordered);
  ck_assert_uint_eq (job->n_placed, 0);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

/* What an earlier owner started is as old as this owner's reign, not as the clock. */
START_TEST (work_of_an_earlier_owner_has_an_age)
{
  g_autofree char *pool = bt_fleet_pool ("p", "", 0, 1, 1, "\"cpus\": 8, \"memory_mb\": 8192");
  bt_tables_t *tables = bt_fleet_tables (fleet_routes, pool);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  bt_core_t *core = fleet.core;
  bt_resources_t need = { { 4000, 64, 0, 1, 0 } };
  bt_worker_t *worker = bt_owner_find_worker (core, "p-0");
  core->owner.lead_since = core->now - 2 * BT_USEC_PER_SEC;
  bt_attempt_t *own = bt_fleet_run (&fleet, bt_fleet_job (&fleet, "build", &need, 1), 0, worker);
  bt_attempt_t *earlier
      = bt_fleet_run (&fleet, bt_fleet_job (&fleet, "build", &need, 1), 0, worker);
  own->sent_at = core->now - 100 * BT_USEC_PER_SEC;
  earlier->sent_at = 0;
  bt_job_t *job = bt_fleet_job (&fleet, "quick", &need, 1);
  bt_queue_push (core, job);
  bt_clock_advance (&fleet.clock, BT_USEC_PER_SEC);
  core->now = bt_clock_now (&fleet.clock);
  bt_quota_tick (core);
  bt_preempt_try (core, job);
  ck_assert (earlier->throttled);
  ck_assert (!own->throttled);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

/* Room that comes by itself while the victims are throttled costs them no work. */
START_TEST (no_checkpoint_if_room_comes_by_itself)
{
  scene_t *scene = open_scene (ALL_FOR_B);
  submit (scene, "build", BT_KIND_BATCH, 7, 4000, 100000);
  submit (scene, "own", BT_KIND_REQUEST, 1, 4000, 1750);
  bt_world_run (scene->world, 1000 * BT_USEC_PER_MSEC);
  ck_assert_uint_eq (scene_running (scene, "own"), 1);
  submit (scene, "quick", BT_KIND_BATCH, 1, 4000, 1000);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, "quick"), 1);
  ck_assert_uint_eq (core_of (scene)->counters.tasks_preempted, 0);
  ck_assert_uint_eq (scene_starts (scene, "build"), 7);
  scene_free (scene);
}
END_TEST

/* Batch that had to make room does not take the place of best effort in turn. */
START_TEST (no_cascade_follows)
{
  scene_t *scene = open_scene ("[{\"team\":\"a\",\"cpus\":16,\"memory_mb\":131072},"
                               "{\"team\":\"b\",\"cpus\":32,\"memory_mb\":262144}]");
  for (guint i = 0; i < 4; i++)
    submit (scene, "bill", BT_KIND_BATCH, 1, 4000, 8000 + 1000 * i);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  submit (scene, "build", BT_KIND_BATCH, 1, 16000, 100000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  submit (scene, "quick", BT_KIND_BATCH, 1, 16000, 60000);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, "quick"), 1);
  ck_assert_uint_eq (scene_running (scene, "build"), 0);
  submit (scene, "spare", BT_KIND_BATCH, 4, 4000, 100000);
  bt_world_run (scene->world, 15 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "spare"), 4);
  ck_assert_uint_eq (core_of (scene)->counters.tasks_preempted, 1);
  scene_free (scene);
}
END_TEST

/* Of the tasks on a VM only those are stopped that have to be. */
START_TEST (no_more_victims_than_needed)
{
  scene_t *scene = open_scene (ALL_FOR_B);
  submit (scene, "bill", BT_KIND_BATCH, 4, 4000, 100000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  submit (scene, "spare", BT_KIND_BATCH, 2, 1000, 100000);
  submit (scene, "build", BT_KIND_BATCH, 3, 4000, 100000);
  submit (scene, "bill", BT_KIND_BATCH, 1, 2000, 100000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  submit (scene, "quick", BT_KIND_BATCH, 1, 3500, 60000);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, "quick"), 1);
  ck_assert_uint_eq (core_of (scene)->counters.tasks_preempted, 1);
  ck_assert_uint_eq (scene_running (scene, "spare"), 2);
  scene_free (scene);
}
END_TEST

/* Urgent work within its quota starts in time, and stops no more than ten tasks a second. */
START_TEST (a_flood_preempts_at_a_bounded_rate)
{
  scene_config_t config = { .data_centres = 1, .vms = 20, .cpus = 16, .routes = ROUTES };
  config.quotas = "[{\"team\":\"a\",\"cpus\":320,\"memory_mb\":2621440},"
                  "{\"team\":\"b\",\"cpus\":320,\"memory_mb\":2621440}]";
  scene_t *scene = scene_new (&config);
  for (guint i = 0; i < 80; i++)
    submit (scene, "build", BT_KIND_BATCH, 1, 4000, 600000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "build"), 80);
  for (guint i = 0; i < 60; i++)
    submit (scene, "quick", BT_KIND_BATCH, 1, 4000, 60000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_le (core_of (scene)->counters.tasks_preempted, 20);
  ck_assert_uint_gt (core_of (scene)->counters.tasks_preempted, 0);
  bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, "quick"), 60);
  ck_assert_int_le (scene_wait_max (scene, "quick"), 8300 * BT_USEC_PER_MSEC);
  scene_free (scene);
}
END_TEST

START_TEST (a_job_is_preempted_a_few_times_at_most)
{
  scene_t *scene = open_scene (ALL_FOR_B);
  submit (scene, "build", BT_KIND_BATCH, 8, 4000, 600000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  for (guint i = 0; i < 12; i++)
    {
      submit (scene, "quick", BT_KIND_BATCH, 1, 4000, 500);
      bt_world_run (scene->world, 4 * BT_USEC_PER_SEC);
    }
  ck_assert_uint_eq (core_of (scene)->counters.tasks_preempted, 3);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("preempt");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, who_makes_room, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, which_victim_goes_first, 0, G_N_ELEMENTS (order_cases));
  tcase_add_loop_test (tests, throttle_then_checkpoint_then_stop, 0, 2);
  tcase_add_test (tests, work_of_an_earlier_owner_has_an_age);
  tcase_add_test (tests, no_checkpoint_if_room_comes_by_itself);
  tcase_add_test (tests, no_cascade_follows);
  tcase_add_test (tests, no_more_victims_than_needed);
  tcase_add_test (tests, a_flood_preempts_at_a_bounded_rate);
  tcase_add_test (tests, a_job_is_preempted_a_few_times_at_most);
  return suite_run ("preempt", tests);
}
