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

/* What disturbs the processes while the state of a job is larger than a record. */
typedef enum
{
  ROLLING_RESTART,
  POWER_LOST,
  PARTS_LOST,
  OWNERS_KILLED,
} trouble_t;

/* Short tasks of each time of a wide job, which take so little that all of them run at once. */
#define WIDE 2000
#define WIDE_TIMES 14

static const sim_policy_t wide_recurring = {
  .service = "main", .priority = 0, .attempts = 100, .repeat = WIDE_TIMES, .interval_ms = 1000
};

/**
 * Jobs whose state outgrows a record: of each time of them the short tasks have ended, and one runs
 * for long.
 * @jobs: how many at once
 * @steps: number of the steps that have the short tasks; those of one step make a range
 * @saves: tasks have checkpoints
 * @fails: every third worker fails what it runs
 */
static const struct
{
  const char *name;
  trouble_t trouble;
  guint jobs;
  guint steps;
  gboolean saves;
  gboolean fails;
} wide_jobs[] = {
  { "rolling restart", ROLLING_RESTART, 1, 1, FALSE, FALSE },
  { "two jobs, rolling restart", ROLLING_RESTART, 2, 1, FALSE, FALSE },
  { "checkpoints and failures, power lost", POWER_LOST, 1, 1, TRUE, TRUE },
  { "many steps, rolling restart", ROLLING_RESTART, 1, WIDE, FALSE, FALSE },
  { "many steps, parts lost", PARTS_LOST, 1, WIDE, FALSE, FALSE },
  { "many steps, owners killed", OWNERS_KILLED, 1, WIDE, FALSE, FALSE },
};

static void
disturb (sim_t *sim, trouble_t trouble)
{
  if (trouble == POWER_LOST)
    {
      lose_power (sim);
      return;
    }
  if (trouble == PARTS_LOST)
    {
      sim->lost_snapshots = 1;
      sim_run_ms (sim, 8000);
      ck_assert_uint_eq (sim->lost_snapshots, 0);
    }
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      guint node = trouble == OWNERS_KILLED ? (guint)sim_owner (sim) : i;
      sim_kill (sim, node);
      sim_run_ms (sim, 700);
      sim_start (sim, node);
      sim_run_ms (sim, 2500);
    }
}

/* Guards against a snapshot that outgrows the largest record and is refused again and again, until
   the log has deleted what is known of the job (review/13). */
START_TEST (wide_job_outlives_its_owners)
{
  sim_t *sim = sim_with_retention (2, 14);
  for (guint i = 0; i < 14 && wide_jobs[_i].fails; i += 3)
    sim_worker (sim, i)->fails = TRUE;
  guint n_steps = wide_jobs[_i].steps;
  g_autofree sim_step_t *steps = g_new0 (sim_step_t, n_steps + 1);
  for (guint i = 0; i < n_steps; i++)
    steps[i] = (sim_step_t){
      .count = WIDE / n_steps, .cpu = 5, .memory = 5, .ms = 200, .saves = wide_jobs[_i].saves
    };
  steps[n_steps] = (sim_step_t){ .count = 1, .cpu = 1000, .memory = 100, .ms = 60000, .after = 1 };
  for (guint i = 0; i < wide_jobs[_i].jobs; i++)
    sim_submit (sim, 0, &wide_recurring, steps, n_steps + 1);
  sim_run_ms (sim, 2 * KEEP_MS);
  disturb (sim, wide_jobs[_i].trouble);
  sim_run_ms (sim, 8000);
  trim_log (sim);
  sim_restart (sim);
  sim_run_ms (sim, 6000);
  expect_known (sim, wide_jobs[_i].name);
  sim_run_ms (sim, 70000);
  if (!wide_jobs[_i].fails)
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
  tcase_add_loop_test (tests, wide_job_outlives_its_owners, 0, G_N_ELEMENTS (wide_jobs));
  tcase_add_loop_test (tests, busy_job_outlives_a_loss_of_power, 0, G_N_ELEMENTS (busy_jobs));
  return suite_run ("job_snapshot", tests);
}
