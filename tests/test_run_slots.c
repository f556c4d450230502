#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Runs of a worker, of which it has a bounded number however little they take: those of one
 * customer must leave some for other jobs while resources are free.
 */

#define PROCESSES 3
#define WORKERS 3
/* Time until no more of the small tasks start. */
#define FILL_MS 15000
#define SMALL 5
#define SMALL_MS 300000
/* Longest time that a job may have nothing running while a task's turn has come and most room is
   free. */
#define IDLE_MAX_MS 3000

static const sim_policy_t bulk = { .service = "main", .priority = 2, .route = "bulk" };
static const sim_policy_t bulk_times
    = { .service = "main", .priority = 2, .repeat = 40, .interval_ms = 300, .route = "bulk" };
static const sim_policy_t same = { .service = "main", .priority = 2, .route = "bulk" };
static const sim_policy_t equal = { .service = "main", .priority = 2, .route = "other" };
static const sim_policy_t urgent = { .service = "main", .priority = 0, .route = "urgent" };

/**
 * struct case_t - jobs of many small tasks, and then other jobs
 * @bulk: policy of the first jobs
 * @small: their step
 * @n_bulk: their number
 * @policy: policy of the other jobs
 * @step: their step
 * @n_others: their number
 * @tenants: the first ones and the others belong to two tenants
 */
typedef struct
{
  const char *name;
  const sim_policy_t *bulk;
  sim_step_t small;
  guint n_bulk;
  const sim_policy_t *policy;
  sim_step_t step;
  guint n_others;
  gboolean tenants;
} case_t;

#define SMALL_STEP(n)                                                                              \
  {                                                                                                \
    .count = (n), .cpu = SMALL, .memory = SMALL, .ms = SMALL_MS                                    \
  }
#define SMALL_LASTING(n)                                                                           \
  {                                                                                                \
    .count = (n), .cpu = SMALL, .memory = SMALL, .lasts = TRUE                                     \
  }
#define USUAL                                                                                      \
  {                                                                                                \
    .count = 2, .cpu = 3000, .memory = 3100, .ms = 900                                             \
  }
#define USUAL_GANG                                                                                 \
  {                                                                                                \
    .count = 20, .cpu = 3000, .memory = 3100, .ms = 900, .gang = TRUE                              \
  }
#define USUAL_LASTING                                                                              \
  {                                                                                                \
    .count = 3, .cpu = 500, .memory = 500, .lasts = TRUE, .per_worker = 1                          \
  }

static const case_t cases[] = {
  { "one job, more urgent ones", &bulk, SMALL_STEP (3600), 1, &urgent, USUAL, 10, FALSE },
  { "one job, others of equal priority", &bulk, SMALL_STEP (3600), 1, &equal, USUAL, 10, FALSE },
  { "one job, others of its route", &bulk, SMALL_STEP (3600), 1, &same, USUAL, 10, FALSE },
  { "eight jobs, others of equal priority", &bulk, SMALL_STEP (900), 8, &equal, USUAL, 10, FALSE },
  { "eight jobs, others of their route", &bulk, SMALL_STEP (900), 8, &same, USUAL, 10, FALSE },
  { "eight jobs of one tenant", &bulk, SMALL_STEP (900), 8, &bulk, USUAL, 10, TRUE },
  { "times of one job", &bulk_times, SMALL_STEP (100), 1, &equal, USUAL, 10, FALSE },
  { "one job, gangs", &bulk, SMALL_STEP (3600), 1, &equal, USUAL_GANG, 2, FALSE },
  { "eight jobs, gangs of their route", &bulk, SMALL_STEP (900), 8, &same, USUAL_GANG, 2, FALSE },
  { "tasks that last", &bulk, SMALL_LASTING (1700), 1, &equal, USUAL_LASTING, 2, FALSE },
  { "jobs that last, others of their route", &bulk, SMALL_LASTING (400), 5, &same, USUAL_LASTING, 2,
    FALSE },
  { "tasks that last, others that don't", &bulk, SMALL_LASTING (1700), 2, &same, USUAL, 10, FALSE },
};

static void
submit_all (sim_t *sim, const case_t *played, gboolean others)
{
  const bts_resources_t no_cap = { 0 };
  const char *tenant = others ? "south" : "north";
  if (played->tenants)
    sim_set_tenant (sim, tenant, &no_cap, 1.0);
  sim->tenant = played->tenants ? tenant : NULL;
  sim_run_ms (sim, 5000);
  for (guint i = 0; i < (others ? played->n_others : played->n_bulk); i++)
    sim_submit (sim, 0, others ? played->policy : played->bulk,
                others ? &played->step : &played->small, 1);
}

static gboolean
has_begun (sim_t *sim, const sim_job_t *job)
{
  bts_job_state_t state = sim_state (sim, job);
  return state == BTS_JOB_COMPLETED || sim_running (sim, job->id) > 0;
}

/* Guards against jobs that never begin beside many small tasks, with most of the room free (LOST,
   review/12). */
START_TEST (small_tasks_leave_runs_for_other_jobs)
{
  const case_t *played = &cases[_i];
  sim_t *sim = sim_new (PROCESSES, WORKERS, (guint32)_i + 1);
  sim_run_ms (sim, 3000);
  submit_all (sim, played, FALSE);
  sim_run_ms (sim, FILL_MS);
  submit_all (sim, played, TRUE);
  for (guint i = 0; i < played->n_others; i++)
    {
      sim_job_t *job = sim->jobs->pdata[played->n_bulk + i];
      guint waited_ms = 0;
      while (!has_begun (sim, job) && waited_ms < IDLE_MAX_MS)
        {
          sim_run_ms (sim, 50);
          waited_ms += 50;
        }
      ck_assert_msg (has_begun (sim, job), "%s: job %u of the others hasn't begun", played->name,
                     i);
    }
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a bound that binds where resources do: jobs of the usual size fill the workers. */
START_TEST (usual_tasks_are_bounded_by_resources)
{
  static const sim_step_t step = { .count = 30, .cpu = 3000, .memory = 3100, .ms = 60000 };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  sim_submit (sim, 0, &bulk, &step, 1);
  sim_run_ms (sim, 3000);
  ck_assert_uint_eq (sim_running (sim, ""), 30);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("run_slots");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, small_tasks_leave_runs_for_other_jobs, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, usual_tasks_are_bounded_by_resources);
  return suite_run ("run_slots", tests);
}
