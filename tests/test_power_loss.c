#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/rounds.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * All processes lose power at once and start again while workers are about to leave. What has ended
 * on them meanwhile is known to nobody else, and goes with them.
 */

#define SLOW_APPEND_US (120 * 1000)
#define FAST_APPEND_US 2000

static const sim_policy_t batch = { "main", 2, 3, 3000 };

static sim_job_t *
submit_task (sim_t *sim, const char *label)
{
  const sim_step_t step = { .count = 1, .cpu = 2000, .memory = 1000, .ms = 1500, .label = label };
  sim_job_t *job = sim_submit (sim, 0, &batch, &step, 1);
  sim_run_ms (sim, 500);
  ck_assert_uint_eq (sim->starts, 1);
  return job;
}

static sim_worker_t *
find_busy_worker (const sim_t *sim)
{
  for (guint i = 0; i < sim->workers->len; i++)
    {
      sim_worker_t *worker = sim->workers->pdata[i];
      if (worker->runs->len > 0)
        return worker;
    }
  ck_abort_msg ("nothing runs");
}

/* All processes are down while the only task ends. */
static void
lose_power (sim_t *sim, sim_worker_t *worker)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_kill (sim, i);
  sim_run_ms (sim, 2000);
  ck_assert_uint_eq (worker->runs->len, 0);
  ck_assert_uint_eq (worker->finished->len, 1);
  worker->draining = TRUE;
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_start (sim, i);
}

static void
expect_one_run (sim_t *sim, const sim_job_t *job)
{
  sim_run_ms (sim, 15000);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  ck_assert_msg (sim->starts == 1, "the task was started %u times", sim->starts);
  sim_check (sim);
  sim_free (sim);
}

/* Owners that have died before, so that the last one is another process, and time from the start of
   the processes to the exit of the worker. */
static const struct
{
  guint n_died;
  guint leave_ms;
} losses[] = {
  { 0, 300 },
  { 2, 1000 },
  { 6, 2000 },
};

/* Guards against claims that are put off since the log is taken to be slow: it was before the power
   went, as the last heartbeats in the journal say, and isn't any more. */
START_TEST (claims_after_a_log_that_was_slow)
{
  sim_t *sim = sim_new (16, 12, 1);
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < losses[_i].n_died; i++)
    {
      guint owner = (guint)sim_owner (sim);
      sim_kill (sim, owner);
      sim_run_ms (sim, 2000);
      sim_start (sim, owner);
      sim_run_ms (sim, 4000);
    }
  sim_job_t *job = submit_task (sim, NULL);
  sim_worker_t *worker = find_busy_worker (sim);
  sim->append_us = SLOW_APPEND_US;
  sim_run_ms (sim, 700);
  sim->append_us = FAST_APPEND_US;
  lose_power (sim, worker);
  sim_run_ms (sim, losses[_i].leave_ms);
  sim_crash (sim, worker);
  expect_one_run (sim, job);
}
END_TEST

#define MANY_WORKERS 400
/* Time from the next owner's beginning to the exit of the worker. */
#define LISTED_MS 60

/* Guards against a leaving worker whose turn to be asked for its lists comes after those of
   hundreds that stay, and after its exit. */
START_TEST (leaving_worker_among_hundreds)
{
  sim_t *sim = sim_new (4, MANY_WORKERS, 1);
  sim_run_ms (sim, 6000);
  /* The rack of the last worker alone. */
  sim_job_t *job = submit_task (sim, "r133");
  sim_worker_t *worker = sim_worker (sim, MANY_WORKERS - 1);
  ck_assert_ptr_eq (find_busy_worker (sim), worker);
  sim_run_ms (sim, 300);
  lose_power (sim, worker);
  for (guint i = 0; i < 3000 && sim_owner (sim) < 0; i++)
    sim_run_ms (sim, 1);
  ck_assert_int_ge (sim_owner (sim), 0);
  sim_run_ms (sim, LISTED_MS);
  sim_crash (sim, worker);
  expect_one_run (sim, job);
}
END_TEST

/* Most claims while each append takes a tenth of a second, as in slow_log_and_a_dead_owner of
   test_cluster.c. */
#define SLOW_CLAIMS_MAX 6

/* Guards against claims of all processes at once where the log is still slow after they have
   started: each is an append that the next owner's heartbeats wait for. */
START_TEST (claims_at_a_log_that_is_slow)
{
  sim_t *sim = sim_new (30, 12, (guint32)_i + 1);
  sim_run_ms (sim, 6000);
  sim->append_serial = TRUE;
  sim->append_us = 100 * 1000;
  sim_run_ms (sim, 2000);
  guint64 n_claims = bt_metrics_get_count (BT_COUNT_CLAIMS);
  sim_restart (sim);
  for (guint i = 0; i < 100 && sim_owner (sim) < 0; i++)
    sim_run_ms (sim, 100);
  ck_assert_int_ge (sim_owner (sim), 0);
  sim_run_ms (sim, 3000);
  ck_assert_uint_le (bt_metrics_get_count (BT_COUNT_CLAIMS) - n_claims, SLOW_CLAIMS_MAX);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Workers that haven't listed their runs, by number, and the order in which they are asked. */
static const struct
{
  gboolean draining;
  gint64 remaining_ms;
  guint turn;
} leaving[] = {
  { FALSE, 0, 4 }, { TRUE, 9000, 2 }, { TRUE, 1500, 1 }, { FALSE, 0, 5 },
  { TRUE, 0, 0 },  { TRUE, 9000, 3 }, { FALSE, 0, 6 },
};

static void
note_turn (void *context, bts_worker_t *worker)
{
  g_ptr_array_add (context, worker);
}

/* Guards against workers that stay, or leave later, being asked for their lists before one that is
   about to leave. */
START_TEST (worker_that_leaves_first_is_asked_first)
{
  bts_worker_t workers[G_N_ELEMENTS (leaving)] = { 0 };
  bts_worker_entry_t entries[G_N_ELEMENTS (leaving)] = { 0 };
  g_autoptr (GPtrArray) numbered = g_ptr_array_new ();
  g_autoptr (GPtrArray) turns = g_ptr_array_new ();
  for (guint i = 0; i < G_N_ELEMENTS (leaving); i++)
    {
      entries[i].draining = leaving[i].draining;
      entries[i].remaining_ms = leaving[i].remaining_ms;
      workers[i].number = i;
      workers[i].entry = &entries[i];
      g_ptr_array_add (numbered, &workers[i]);
    }
  bts_rounds_t rounds = { 0 };
  bts_rounds_tick (&rounds, numbered, note_turn, turns);
  ck_assert_uint_eq (turns->len, G_N_ELEMENTS (leaving));
  for (guint i = 0; i < G_N_ELEMENTS (leaving); i++)
    ck_assert_ptr_eq (turns->pdata[leaving[i].turn], &workers[i]);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("power_loss");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, claims_after_a_log_that_was_slow, 0, G_N_ELEMENTS (losses));
  tcase_add_test (tests, leaving_worker_among_hundreds);
  tcase_add_loop_test (tests, claims_at_a_log_that_is_slow, 0, 3);
  tcase_add_test (tests, worker_that_leaves_first_is_asked_first);
  return suite_run ("power_loss", tests);
}
