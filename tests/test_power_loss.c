#include "libbamboothread/scheduler/rounds.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * All processes lose power at once and start again while workers are about to leave. What has ended
 * on them meanwhile is known to nobody else, and goes with them.
 */

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
  tcase_add_test (tests, leaving_worker_among_hundreds);
  tcase_add_test (tests, worker_that_leaves_first_is_asked_first);
  return suite_run ("power_loss", tests);
}
