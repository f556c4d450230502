#include "tests/sim.h"
#include "tests/suite.h"

/* Ends of runs that were given up since their worker didn't reply, and that it lists later. */

static const sim_policy_t batch = { "main", 1, 4, 3000 };
/* Each takes a whole worker. */
static const sim_step_t task[]
    = { { .count = 1, .cpu = 20000, .memory = 20000, .gpus = 8, .ms = 1500 } };
static const sim_step_t lasting[]
    = { { .count = 1, .cpu = 20000, .memory = 20000, .gpus = 8, .lasts = TRUE } };
static const sim_step_t gang[]
    = { { .count = 2, .cpu = 20000, .memory = 20000, .gpus = 8, .ms = 1500, .gang = TRUE } };
static const sim_step_t two_steps[]
    = { { .count = 1, .cpu = 20000, .memory = 20000, .gpus = 8, .ms = 1500 },
        { .count = 1, .cpu = 1000, .memory = 1000, .ms = 300, .after = 1 } };

/**
 * struct case - a run whose end is listed late
 * @steps: steps of its job
 * @n_workers: number of workers
 * @is_full: lasting tasks take all workers but those of the run, so that it can't start again at
 * once
 * @silent_ms: how long its workers don't reply, from 0.5 s after the start on
 * @kills_owner: the owner is killed when the run has been given up
 * @starts_max: most starts of the job's tasks
 */
static const struct
{
  const char *name;
  const sim_step_t *steps;
  guint n_steps;
  guint n_workers;
  gboolean is_full;
  gint64 silent_ms;
  gboolean kills_owner;
  guint starts_max;
} cases[] = {
  { "no_room_meanwhile", task, 1, 2, TRUE, 6000, FALSE, 1 },
  { "started_again_and_stuck", task, 1, 2, FALSE, 6000, FALSE, 2 },
  { "started_again_by_the_next_owner", task, 1, 2, FALSE, 8000, TRUE, 2 },
  { "gang_with_no_room", gang, 1, 3, TRUE, 6000, FALSE, 2 },
  { "gang_started_again_and_stuck", gang, 1, 4, FALSE, 6000, FALSE, 4 },
  { "next_step_follows", two_steps, 2, 2, TRUE, 6000, FALSE, 2 },
};

/* Silences the workers on which a job runs, and lets all others make no progress where it may be
   started again. */
static void
silence (sim_t *sim, const sim_job_t *job, gboolean stalls_others)
{
  for (guint w = 0; w < sim->workers->len; w++)
    {
      sim_worker_t *worker = sim_worker (sim, w);
      gboolean runs_job = FALSE;
      for (guint i = 0; i < worker->runs->len; i++)
        runs_job |= g_str_has_prefix (((sim_run_t *)worker->runs->pdata[i])->name, job->id);
      worker->dark = runs_job;
      worker->stalls = stalls_others && !runs_job;
    }
}

/* Guards against work that is done again though it is known to be done: the end of a run that had
   been given up was ignored (TWICE on pwani-billing-grown). */
START_TEST (work_of_a_run_that_was_given_up_counts)
{
  sim_t *sim = sim_new (3, cases[_i].n_workers, (guint32)_i + 1);
  sim_run_ms (sim, 3000);
  const sim_job_t *job = sim_submit (sim, 0, &batch, cases[_i].steps, cases[_i].n_steps);
  sim_run_ms (sim, 300);
  for (guint i = 0; cases[_i].is_full && i + cases[_i].steps[0].count < cases[_i].n_workers; i++)
    sim_submit (sim, 0, &batch, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 200);
  guint starts = sim->starts;
  guint running = sim_running (sim, job->id);
  ck_assert_uint_eq (running, cases[_i].steps[0].count);
  silence (sim, job, !cases[_i].is_full);
  sim_run_ms (sim, cases[_i].silent_ms / 2 + 1000);
  if (cases[_i].kills_owner)
    sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, cases[_i].silent_ms / 2 - 1000);
  for (guint w = 0; w < sim->workers->len; w++)
    sim_worker (sim, w)->dark = FALSE;
  sim_run_ms (sim, 3000);
  ck_assert_msg (sim_state (sim, job) == BTS_JOB_COMPLETED, "%s: the job isn't completed",
                 cases[_i].name);
  ck_assert_uint_eq (sim_running (sim, job->id), 0);
  ck_assert_uint_le (sim->starts - starts + running, cases[_i].starts_max);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("late_end");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, work_of_a_run_that_was_given_up_counts, 0, G_N_ELEMENTS (cases));
  return suite_run ("late_end", tests);
}
