#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Snapshots of jobs whose state changes all the time, or is large. A log that deletes records after
 * its retention must hold the newest state of each job when all processes start anew.
 */

#define KEEP_MS 20000
/* Power is away for this long; with the longest time between two snapshots of a job it stays below
   the retention. */
#define OUTAGE_MS 9500
/* An append of processes in another region than the log. */
#define FAR_APPEND_US (25 * 1000)

/* Ends of urgent tasks are listed at once. */
static const sim_policy_t urgent = { "main", 0, 3, 3000 };

static sim_t *
sim_with_retention (guint n_nodes, guint n_workers)
{
  sim_t *sim = sim_new (n_nodes, n_workers, 1);
  sim->keep_ms = KEEP_MS;
  sim->append_us = FAR_APPEND_US;
  sim_restart (sim);
  sim_run_ms (sim, 3000);
  ck_assert_int_ge (sim_owner (sim), 0);
  return sim;
}

/* Deletes the records that are older than the retention. */
static void
trim_log (sim_t *sim)
{
  gint64 now_us = bt_clock_now (&sim->clock);
  while (sim->log_first < (gint64)sim->log->len
         && now_us - g_array_index (sim->log_us, gint64, sim->log_first) > (gint64)KEEP_MS * 1000)
    sim->log_first++;
}

static void
lose_power (sim_t *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_kill (sim, i);
  sim_run_ms (sim, OUTAGE_MS);
  trim_log (sim);
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_start (sim, i);
}

static void
expect_known (sim_t *sim, const char *when)
{
  for (guint node = 0; node < sim->nodes->len; node++)
    for (guint i = 0; i < sim->jobs->len; i++)
      {
        const sim_job_t *job = sim->jobs->pdata[i];
        bts_job_state_t state;
        ck_assert_msg (job->accepted_us != 0
                           && bts_node_query (sim_node (sim, node)->node, job->id, &state)
                                  != BTS_ANSWER_NOT_FOUND,
                       "%s: job %s is unknown at process %u", when, job->id, node);
      }
}

/* Most steps of a job. They have no order among them, and their tasks take different times, so that
   a task ends at any moment. */
#define STEPS_MAX 300
#define TASK_MS_MIN 200
#define TASK_MS_SPAN 400

static void
set_steps (sim_step_t *steps, guint n, guint tasks, gboolean saves)
{
  for (guint i = 0; i < n; i++)
    steps[i] = (sim_step_t){ .count = tasks,
                             .cpu = 10600,
                             .memory = 1000,
                             .ms = TASK_MS_MIN + i * 137 % TASK_MS_SPAN,
                             .saves = saves };
}

static const sim_policy_t recurring
    = { .service = "main", .priority = 0, .attempts = 3, .repeat = 8, .interval_ms = 2000 };

/**
 * Jobs with tasks that end all the time.
 * @policy: their route
 * @n_steps: number of their steps
 * @tasks: tasks of each step
 * @jobs: how many jobs at once
 * @fails: every tenth worker fails what it runs
 * @second_ms: time from the start of the processes to the next loss of power; 0 for none
 */
static const struct
{
  const char *name;
  const sim_policy_t *policy;
  guint n_steps;
  guint tasks;
  guint jobs;
  gboolean fails;
  gint64 second_ms;
} busy_jobs[] = {
  { "one job", &urgent, 300, 13, 1, FALSE, 0 },
  { "three jobs", &urgent, 300, 6, 3, FALSE, 0 },
  { "recurring", &recurring, 150, 4, 1, FALSE, 0 },
  { "ends that fail", &urgent, 300, 13, 1, TRUE, 0 },
  { "power lost again", &urgent, 300, 9, 2, FALSE, 2500 },
  { "power lost again at once", &urgent, 300, 9, 2, FALSE, 1200 },
};

/* Guards against jobs that the log deletes since their snapshots wait for a moment without an end
   on its way into the journal: callers are told that an accepted job is unknown. */
START_TEST (busy_job_outlives_a_loss_of_power)
{
  sim_t *sim = sim_with_retention (2, 35);
  for (guint i = 0; i < 3 && busy_jobs[_i].fails; i++)
    sim_worker (sim, i * 10)->fails = TRUE;
  sim_step_t steps[STEPS_MAX];
  set_steps (steps, busy_jobs[_i].n_steps, busy_jobs[_i].tasks, busy_jobs[_i].fails);
  for (guint i = 0; i < busy_jobs[_i].jobs; i++)
    sim_submit (sim, 0, busy_jobs[_i].policy, steps, busy_jobs[_i].n_steps);
  /* Up to the moment just before the log is written again at the latest. */
  sim_run_ms (sim, 12700);
  lose_power (sim);
  sim_run_ms (sim, busy_jobs[_i].second_ms);
  if (busy_jobs[_i].second_ms > 0)
    lose_power (sim);
  sim_run_ms (sim, 8000);
  expect_known (sim, busy_jobs[_i].name);
  sim_run_ms (sim, 40000);
  if (!busy_jobs[_i].fails)
    ck_assert_uint_eq (sim_count_state (sim, BTS_JOB_COMPLETED), sim->jobs->len);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("job_snapshot");
  tcase_set_timeout (tests, 240);
  tcase_add_loop_test (tests, busy_job_outlives_a_loss_of_power, 0, G_N_ELEMENTS (busy_jobs));
  return suite_run ("job_snapshot", tests);
}
