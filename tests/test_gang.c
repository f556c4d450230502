#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* Gangs start all at once or not at all, get their turn, and hold nothing up for long. */

#define STEP_US (20 * BT_USEC_PER_MSEC)

#define ROUTE(work, work_class, idempotent)                                                        \
  "{\"name\":\"" work "\",\"callers\":[\"*\"],\"work\":\"" work                                    \
  "\",\"team\":\"t\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":" idempotent    \
  ",\"queue_limit\":5000}"

#define ROUTES                                                                                     \
  "[" ROUTE ("gang", "batch", "true") "," ROUTE ("other", "batch", "true") "," ROUTE (             \
      "once", "batch",                                                                             \
      "false") "," ROUTE ("small", "batch",                                                        \
                          "true") "," ROUTE ("long", "batch",                                      \
                                             "true") "," ROUTE ("quick", "urgent", "true") "]"

static const scene_config_t base
    = { .data_centres = 1, .vms = 4, .cpus = 16, .daemons = 1, .routes = ROUTES };

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

static gint64
slots_used (scene_t *scene)
{
  gint64 n = 0;
  for (guint i = 0; i < scene->world->hosts->len; i++)
    n += ((bt_host_t *)scene->world->hosts->pdata[i])->model.used.v[BT_RESOURCE_SLOTS];
  return n;
}

/* Small work that keeps coming in fills every hole; a gang has to start all the same. */
static const struct
{
  gint64 tasks;
  gint64 mcpus;
  gint64 small_ms;
  gint64 within_s;
} turn_cases[] = {
  { 4, 16000, 2000, 20 },
  { 8, 8000, 2000, 20 },
  { 4, 12000, 5000, 30 },
  { 32, 2000, 1000, 20 },
};

START_TEST (a_gang_gets_its_turn)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 40; i++)
    submit (scene, "small", BT_KIND_BATCH, 1, 2000, turn_cases[_i].small_ms);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  submit (scene, "gang", BT_KIND_GANG, turn_cases[_i].tasks, turn_cases[_i].mcpus, 3000);
  gint64 waited = 0;
  while (scene_starts (scene, "gang") == 0 && waited < 60 * BT_USEC_PER_SEC)
    {
      for (guint i = 0; i < 4; i++)
        submit (scene, "small", BT_KIND_BATCH, 1, 2000, turn_cases[_i].small_ms);
      bt_world_run (scene->world, 200 * BT_USEC_PER_MSEC);
      waited += 200 * BT_USEC_PER_MSEC;
    }
  ck_assert_int_le (waited, turn_cases[_i].within_s * BT_USEC_PER_SEC);
  bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
  ck_assert_uint_eq (scene_starts (scene, "gang"), turn_cases[_i].tasks);
  scene_free (scene);
}
END_TEST

/* Two gangs that do not fit together: one runs, then the other; neither holds a part. */
static const struct
{
  gint64 tasks[2];
  gint64 mcpus[2];
  gint64 filler;
} pair_cases[] = {
  { { 4, 4 }, { 12000, 12000 }, 8 },
  { { 4, 3 }, { 16000, 9000 }, 8 },
  { { 3, 20 }, { 10000, 3000 }, 8 },
  { { 16, 4 }, { 4000, 16000 }, 8 },
  /* There is room for a part of each. */
  { { 4, 4 }, { 12000, 13000 }, 1 },
};

START_TEST (two_gangs_do_not_hold_each_other_up)
{
  scene_t *scene = scene_new (&base);
  submit (scene, "small", BT_KIND_BATCH, pair_cases[_i].filler, 8000, 3000);
  bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
  static const char *const works[] = { "gang", "other" };
  for (guint i = 0; i < 2; i++)
    submit (scene, works[i], BT_KIND_GANG, pair_cases[_i].tasks[i], pair_cases[_i].mcpus[i], 4000);
  for (guint step = 0; step < 1500; step++)
    {
      bt_world_run (scene->world, STEP_US);
      if (step % 50 != 49)
        continue;
      for (guint i = 0; i < 2; i++)
        {
          guint started = scene_starts (scene, works[i]);
          ck_assert (started == 0 || started == pair_cases[_i].tasks[i]);
        }
    }
  for (guint i = 0; i < 2; i++)
    ck_assert_uint_eq (scene_starts (scene, works[i]), pair_cases[_i].tasks[i]);
  scene_free (scene);
}
END_TEST

/* While a gang waits for one long task, short work goes on in the room kept for it. */
static const struct
{
  const char *work;
  gint64 run_ms;
  gboolean runs;
} backfill_cases[] = {
  { "small", 1000, TRUE },
  { "long", 60000, FALSE },
  { "quick", 60000, TRUE },
};

START_TEST (short_work_fills_the_wait_of_a_gang)
{
  scene_t *scene = scene_new (&base);
  submit (scene, "other", BT_KIND_BATCH, 1, 16000, 20000);
  bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
  submit (scene, "gang", BT_KIND_GANG, 4, 16000, 1000);
  bt_world_run (scene->world, 4 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (g_hash_table_size (core_of (scene)->gang.reservations), 1);
  submit (scene, backfill_cases[_i].work, BT_KIND_BATCH, 3, 8000, backfill_cases[_i].run_ms);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, backfill_cases[_i].work),
                     backfill_cases[_i].runs ? 3 : 0);
  bt_world_run (scene->world, 18 * BT_USEC_PER_SEC);
  gboolean urgent = backfill_cases[_i].runs && backfill_cases[_i].run_ms > 20000;
  ck_assert_uint_eq (scene_starts (scene, "gang"), urgent ? 0 : 4);
  scene_free (scene);
}
END_TEST

/* A reservation ends when its time is over, or when nobody waits for it. */
START_TEST (a_reservation_ends)
{
  scene_t *scene = scene_new (&base);
  submit (scene, "other", BT_KIND_BATCH, 1, 16000, 10000);
  bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
  guint64 exchange = scene_submit (scene, "dc1-d1", "c", "gang", BT_KIND_GANG, 4, 16000, 1000);
  bt_world_run (scene->world, 4 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (g_hash_table_size (core_of (scene)->gang.reservations), 1);
  if (_i == 0)
    scene_ask (scene, "dc1-d1", BT_QUERY_CANCEL, scene_answer (scene, exchange)->job);
  else
    {
      /* The task that it waits for runs on for far longer than it had declared. */
      GHashTableIter iter;
      bt_model_attempt_t *attempt;
      for (guint i = 0; i < scene->world->hosts->len; i++)
        {
          bt_host_t *host = scene->world->hosts->pdata[i];
          g_hash_table_iter_init (&iter, host->model.attempts);
          while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
            attempt->ends_at_ms += 3600000;
        }
      bt_world_run (scene->world, 30 * BT_USEC_PER_SEC);
    }
  submit (scene, "long", BT_KIND_BATCH, 6, 8000, 600000);
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (g_hash_table_size (core_of (scene)->gang.reservations), 0);
  ck_assert_uint_eq (scene_running (scene, "long"), 6);
  scene_free (scene);
}
END_TEST

/* A VM of a running gang dies: it restarts whole if it may run again, else it is given up. */
static const struct
{
  const char *work;
  guint starts;
  bt_status_t status;
} loss_cases[] = {
  { "gang", 6, BT_STATUS_DONE },
  { "once", 3, BT_STATUS_UNKNOWN },
};

START_TEST (a_gang_that_loses_a_task)
{
  scene_t *scene = scene_new (&base);
  guint64 exchange
      = scene_submit (scene, "dc1-d1", "c", loss_cases[_i].work, BT_KIND_GANG, 3, 16000, 15000);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, loss_cases[_i].work), 3);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    {
      bt_host_t *host = scene->world->hosts->pdata[i];
      if (host->model.used.v[BT_RESOURCE_SLOTS] == 0)
        continue;
      bt_world_host_kill (scene->world, host);
      break;
    }
  bt_world_run (scene->world, 45 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, loss_cases[_i].work), loss_cases[_i].starts);
  const bt_job_t *job
      = g_hash_table_lookup (core_of (scene)->sched.jobs, scene_answer (scene, exchange)->job);
  ck_assert_int_eq (job->status, loss_cases[_i].status);
  ck_assert_int_eq (slots_used (scene), 0);
  scene_free (scene);
}
END_TEST

/* Whatever goes wrong around its start, a gang that may run once starts no task twice. */
typedef enum
{
  LEADER_KILLED,
  APPEND_ANSWERS_LOST,
  MESSAGES_LOST,
  LOG_DOWN,
  ALL_RESTARTED,
  N_TROUBLES,
} trouble_t;

/* The log goes down right after the gang was accepted; then its owner and all VMs are replaced. */
static void
restart_all (scene_t *scene, bt_node_t *leader)
{
  bt_world_log_set_down (scene->world, TRUE);
  bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
  bt_world_kill (scene->world, leader);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    bt_world_host_kill (scene->world, scene->world->hosts->pdata[i]);
}

static gboolean
answered (bt_world_t *world, void *context)
{
  return g_hash_table_size (((scene_t *)context)->answers) > 0;
}

START_TEST (a_gang_starts_at_most_once)
{
  scene_config_t config = base;
  config.daemons = 2;
  config.seed = (guint32)(_i / N_TROUBLES) + 1;
  scene_t *scene = scene_new (&config);
  bt_node_t *leader = bt_world_leader (scene->world, "dc1");
  const char *entry = strcmp (leader->name, "dc1-d1") == 0 ? "dc1-d2" : "dc1-d1";
  scene_submit (scene, entry, "c", "once", BT_KIND_GANG, 8, 4000, 5000);
  if (_i % N_TROUBLES == ALL_RESTARTED)
    bt_world_run_until (scene->world, BT_USEC_PER_SEC, answered, scene);
  else
    bt_world_run (scene->world, (config.seed * 7) * BT_USEC_PER_MSEC);
  switch (_i % N_TROUBLES)
    {
    case LEADER_KILLED:
      bt_world_kill (scene->world, leader);
      break;
    case APPEND_ANSWERS_LOST:
      scene->world->lose_append_answers = 3;
      break;
    case MESSAGES_LOST:
      scene->world->loss_percent = 30;
      break;
    case LOG_DOWN:
      bt_world_log_set_down (scene->world, TRUE);
      break;
    default:
      restart_all (scene, leader);
      break;
    }
  bt_world_run (scene->world, 5 * BT_USEC_PER_SEC);
  bt_world_heal (scene->world);
  bt_world_run (scene->world, 40 * BT_USEC_PER_SEC);
  ck_assert_uint_le (scene_starts (scene, "once"), 8);
  ck_assert_int_eq (slots_used (scene), 0);
  scene_free (scene);
}
END_TEST

/* A gang that was tried but never placed is told truthfully that it was not run. */
START_TEST (a_gang_that_never_fitted_was_not_run)
{
  scene_t *scene = scene_new (&base);
  submit (scene, "other", BT_KIND_BATCH, 1, 16000, 600000);
  bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
  bt_request_t *request = scene_request ("c", "once", BT_KIND_GANG, 4, 16000, 1000);
  request->deadline_ms = 6000;
  guint64 exchange
      = bt_world_submit (scene->world, bt_world_node (scene->world, "dc1-d1"), request);
  bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
  const bt_job_t *job
      = g_hash_table_lookup (core_of (scene)->sched.jobs, scene_answer (scene, exchange)->job);
  ck_assert_int_eq (job->status, BT_STATUS_NOT_RUN);
  ck_assert_int_eq (job->reason, BT_REASON_DEADLINE);
  bt_schema_free (&bt_request_schema, request);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("gang");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, a_gang_gets_its_turn, 0, G_N_ELEMENTS (turn_cases));
  tcase_add_loop_test (tests, two_gangs_do_not_hold_each_other_up, 0, G_N_ELEMENTS (pair_cases));
  tcase_add_loop_test (tests, short_work_fills_the_wait_of_a_gang, 0,
                       G_N_ELEMENTS (backfill_cases));
  tcase_add_loop_test (tests, a_reservation_ends, 0, 2);
  tcase_add_loop_test (tests, a_gang_that_loses_a_task, 0, G_N_ELEMENTS (loss_cases));
  tcase_add_loop_test (tests, a_gang_starts_at_most_once, 0, 6 * N_TROUBLES);
  tcase_add_test (tests, a_gang_that_never_fitted_was_not_run);
  return suite_run ("gang", tests);
}
