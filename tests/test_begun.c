#include <string.h>

#include "libbamboothread/base/metrics.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * What is recorded of a start has to wait for the worker's answer: whether a job has begun, how
 * long its steps wait, and how many starts and stops there were.
 */

#define PROCESSES 3
#define WORKERS 6
#define N_JOBS 6
/* The rack of one worker is changed to this, so that jobs can ask for it alone. */
#define RACK "r-alone"
/* Processes may show what was accepted or begun this much later, in milliseconds. */
#define VISIBLE_MS 3000

static const sim_policy_t batch = { "main", 2, 3, 3000 };

typedef void (*trouble_t) (sim_t *sim, sim_worker_t *worker, gboolean on);

static void
refuses (sim_t *sim, sim_worker_t *worker, gboolean on)
{
  worker->refuses = on;
}

/* Orders don't arrive; leases go on as holds do. */
static void
is_dark (sim_t *sim, sim_worker_t *worker, gboolean on)
{
  worker->dark = on;
}

/* Orders are carried out, and nobody hears of it. */
static void
is_mute (sim_t *sim, sim_worker_t *worker, gboolean on)
{
  worker->mute = on;
}

static void
carries_out_late (sim_t *sim, sim_worker_t *worker, gboolean on)
{
  worker->late_us = on ? 4000 * 1000 : 0;
}

/**
 * Cases of a worker that doesn't start tasks at once.
 * @kill_ms: interval at which owners are killed; 0 for never
 * @leave: owners hand over instead
 */
static const struct
{
  const char *name;
  trouble_t trouble;
  gint64 kill_ms;
  gboolean leave;
} cases[] = {
  { "the worker rejects starts", refuses, 0, FALSE },
  { "the worker rejects starts and owners are killed", refuses, 2500, FALSE },
  { "the worker rejects starts and owners hand over", refuses, 2500, TRUE },
  { "the worker gets no orders", is_dark, 0, FALSE },
  { "the worker gets no orders and owners are killed", is_dark, 2500, FALSE },
  { "the worker's answers are lost", is_mute, 0, FALSE },
  { "the worker's answers are lost and owners are killed", is_mute, 2500, FALSE },
  { "the worker carries orders out late", carries_out_late, 0, FALSE },
  { "the worker carries orders out late and owners are killed", carries_out_late, 2500, FALSE },
};

static gboolean
has_started (const sim_t *sim, const sim_job_t *job)
{
  g_autofree char *task = g_strdup_printf ("%s.0.0.0", job->id);
  return g_hash_table_contains (sim->started, task);
}

static guint
count_not_started (const sim_t *sim, const GPtrArray *jobs)
{
  guint n = 0;
  for (guint i = 0; i < jobs->len; i++)
    n += !has_started (sim, jobs->pdata[i]);
  return n;
}

/* No process says of a job that it has begun before a worker has begun it. */
static void
check_states (const sim_t *sim, const GPtrArray *jobs, const char *name)
{
  for (guint n = 0; n < sim->nodes->len; n++)
    {
      const bts_node_t *node = ((const sim_node_t *)sim->nodes->pdata[n])->node;
      if (node == NULL)
        continue;
      guint pending = bts_node_count_pending (node, "route");
      ck_assert_msg (pending >= count_not_started (sim, jobs), "%s: node %u counts %u of %u", name,
                     n, pending, count_not_started (sim, jobs));
      for (guint i = 0; i < jobs->len; i++)
        {
          const sim_job_t *job = jobs->pdata[i];
          bts_job_state_t state;
          ck_assert_msg (bts_node_query (node, job->id, &state) != BTS_ANSWER_OK
                             || state != BTS_JOB_RUNNING || has_started (sim, job),
                         "%s: node %u says that job %u runs", name, n, i);
        }
    }
}

static void
change_owner (sim_t *sim, gboolean leave)
{
  gint owner = sim_owner (sim);
  if (owner < 0)
    return;
  if (leave)
    {
      sim_leave (sim, (guint)owner);
      sim_run_ms (sim, 300);
    }
  sim_kill (sim, (guint)owner);
  sim_start (sim, (guint)owner);
}

static GPtrArray *
submit_to_one_worker (sim_t *sim)
{
  static const sim_step_t steps[]
      = { { .count = 2, .cpu = 500, .memory = 256, .ms = 30000, .label = RACK } };
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < N_JOBS; i++)
    g_ptr_array_add (jobs, sim_submit (sim, i % PROCESSES, &batch, steps, 1));
  return jobs;
}

static sim_worker_t *
set_apart (sim_t *sim)
{
  sim_worker_t *worker = sim_worker (sim, 0);
  g_free (worker->rack);
  worker->rack = g_strdup (RACK);
  sim_reborn (sim, worker);
  return worker;
}

/* Guards against jobs that are said to run while no worker has ever begun them: pending-count was 0
   while all of them waited. */
START_TEST (job_has_begun_when_a_worker_says_so)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, (guint32)_i + 1);
  sim_worker_t *worker = set_apart (sim);
  sim_run_ms (sim, 4000);
  cases[_i].trouble (sim, worker, TRUE);
  GPtrArray *jobs = submit_to_one_worker (sim);
  sim_run_ms (sim, 500);
  for (gint64 ms = 0; ms < 6500; ms += 100)
    {
      if (cases[_i].kill_ms > 0 && ms > 0 && ms % cases[_i].kill_ms == 0)
        change_owner (sim, cases[_i].leave);
      sim_run_ms (sim, 100);
      check_states (sim, jobs, cases[_i].name);
    }
  cases[_i].trouble (sim, worker, FALSE);
  sim_run_ms (sim, 10000);
  ck_assert_uint_eq (count_not_started (sim, jobs), 0);
  for (guint i = 0; i < jobs->len; i++)
    for (guint n = 0; n < PROCESSES; n++)
      {
        bts_job_state_t state = BTS_JOB_PENDING;
        bts_node_query (sim_node (sim, n)->node, ((const sim_job_t *)jobs->pdata[i])->id, &state);
        ck_assert_msg (state == BTS_JOB_RUNNING, "%s: job %u is %s", cases[_i].name, i,
                       bts_job_state_name (state));
      }
  g_ptr_array_unref (jobs);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a job that runs and is shown as pending for good, as the owner was killed before
   it could say so. */
START_TEST (next_owner_says_what_has_begun)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, (guint32)_i + 1);
  set_apart (sim);
  sim_run_ms (sim, 4000);
  GPtrArray *jobs = submit_to_one_worker (sim);
  for (guint ms = 0; ms < 1000 && count_not_started (sim, jobs) > 0; ms++)
    sim_run_ms (sim, 1);
  sim_run_ms (sim, _i * 4);
  guint owner = (guint)sim_owner (sim);
  sim_kill (sim, owner);
  sim_run_ms (sim, 300);
  sim_start (sim, owner);
  sim_run_ms (sim, VISIBLE_MS);
  for (guint i = 0; i < jobs->len; i++)
    ck_assert_int_eq (sim_state (sim, jobs->pdata[i]), BTS_JOB_RUNNING);
  g_ptr_array_unref (jobs);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against counts of starts that were rejected, and against a wait that begins anew with each
   order: a step that waited for seconds was never reported. */
START_TEST (rejected_starts_count_as_waiting)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_worker_t *worker = set_apart (sim);
  sim_run_ms (sim, 4000);
  worker->refuses = TRUE;
  guint64 starts = bt_metrics_get_count (BT_COUNT_STARTS);
  guint64 refused = bt_metrics_get_count (BT_COUNT_STARTS_REFUSED);
  GPtrArray *jobs = submit_to_one_worker (sim);
  sim_run_ms (sim, 6000);
  ck_assert_uint_eq (bt_metrics_get_count (BT_COUNT_STARTS) - starts, 0);
  ck_assert_uint_gt (bt_metrics_get_count (BT_COUNT_STARTS_REFUSED) - refused, N_JOBS);
  bts_sched_view_t view;
  ck_assert (bts_sched_view (bts_node_sched (sim_node (sim, (guint)sim_owner (sim))->node), &view));
  guint n_long = 0;
  for (guint i = 0; i < view.queue->len; i++)
    {
      const bts_stage_t *stage = view.queue->pdata[i];
      n_long += stage->waiting_since_us != 0
                && bt_clock_now (&sim->clock) - stage->waiting_since_us > 5000 * 1000;
    }
  ck_assert_uint_eq (n_long, N_JOBS);
  worker->refuses = FALSE;
  sim_run_ms (sim, 3000);
  ck_assert_uint_eq (bt_metrics_get_count (BT_COUNT_STARTS) - starts, 2 * N_JOBS);
  g_ptr_array_unref (jobs);
  sim_free (sim);
}
END_TEST

/* Guards against counts of stops that have not been carried out. */
START_TEST (stops_are_counted_when_runs_have_stopped)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_worker_t *worker = set_apart (sim);
  sim_run_ms (sim, 4000);
  GPtrArray *jobs = submit_to_one_worker (sim);
  sim_run_ms (sim, 1000);
  guint64 stops = bt_metrics_get_count (BT_COUNT_STOPS);
  worker->dark = TRUE;
  sim_cancel (sim, 0, jobs->pdata[0]);
  sim_run_ms (sim, 1000);
  ck_assert_uint_eq (bt_metrics_get_count (BT_COUNT_STOPS) - stops, 0);
  worker->dark = FALSE;
  sim_run_ms (sim, 2500);
  ck_assert_uint_eq (bt_metrics_get_count (BT_COUNT_STOPS) - stops, 2);
  g_ptr_array_unref (jobs);
  sim_free (sim);
}
END_TEST

/* Index of the newest record from @from on that is a complete snapshot of an owner, or -1. */
static gint64
find_owner_snapshot (const sim_t *sim, guint from)
{
  gint64 found = -1;
  for (guint i = from; i < sim->log->len; i++)
    {
      gsize len;
      const guint8 *data = g_bytes_get_data (sim->log->pdata[i], &len);
      Bts__Record *record = bts__record__unpack (NULL, len, data);
      if (record->kind_case == BTS__RECORD__KIND_STANDING && record->standing->n_held == WORKERS)
        found = i;
      bts__record__free_unpacked (record, NULL);
    }
  return found;
}

/* Guards against an owner whose workers aren't known to processes that start later, as its snapshot
   was rejected by the store and counted as written. */
START_TEST (rejected_snapshot_of_the_owner_is_repeated)
{
  static const gint64 interval_ms = 20000 / 3;
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim->keep_ms = 20000;
  sim_restart (sim);
  sim_run_ms (sim, 9000);
  gint64 last = find_owner_snapshot (sim, 0);
  ck_assert_int_ge (last, 0);
  gint64 age_ms = (bt_clock_now (&sim->clock) - g_array_index (sim->log_us, gint64, last)) / 1000;
  /* The next one is due at a check each 200 ms. */
  sim_run_ms (sim, interval_ms - age_ms - 100);
  guint before = sim->log->len;
  sim->store_refuses = TRUE;
  sim_run_ms (sim, 450);
  sim->store_refuses = FALSE;
  sim_run_ms (sim, 2000);
  ck_assert_int_ge (find_owner_snapshot (sim, before), 0);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("begun");
  tcase_add_loop_test (tests, job_has_begun_when_a_worker_says_so, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, next_owner_says_what_has_begun, 0, 12);
  tcase_add_test (tests, rejected_starts_count_as_waiting);
  tcase_add_test (tests, stops_are_counted_when_runs_have_stopped);
  tcase_add_test (tests, rejected_snapshot_of_the_owner_is_repeated);
  tcase_set_timeout (tests, 60);
  return suite_run ("begun", tests);
}
