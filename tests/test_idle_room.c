#include <string.h>

#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Room that is kept for work which can't use it. In each case a submission that can't be done, or
 * not now, comes first, and other work finds workers that are idle.
 */

#define PROCESSES 3
#define WORKERS 7
/* Capacity of a worker. */
#define CPU 32000
#define MEMORY 64000
static const sim_policy_t service = { "main", 1, 4, 2500 };
static const sim_policy_t batch = { "main", 2, 3, 3000 };

/**
 * Work that must not be stopped for a submission that can't use its room.
 * @first: runs before the batch; @steps has what can't start
 */
static const struct
{
  const char *name;
  sim_step_t before;
  sim_step_t step;
} stops[] = {
  { "lasting tasks of which each worker has as many as it may",
    { 0 },
    { .count = 2 * WORKERS, .cpu = 2000, .memory = 1000, .lasts = TRUE, .per_worker = 1 } },
  { "lasting filling tasks beside tasks with a latency target",
    { .count = WORKERS,
      .cpu = 1000,
      .memory = 1000,
      .lasts = TRUE,
      .target_ms = 50,
      .per_worker = 1 },
    { .count = 2, .cpu = 1000, .memory = 30000, .lasts = TRUE, .fills = TRUE } },
};

/* Guards against runs that are stopped again and again for a stage that can't start in their place.
 */
START_TEST (nothing_is_stopped_for_work_that_cannot_start)
{
  static const sim_step_t filling[]
      = { { .count = 10 * WORKERS, .cpu = 3000, .memory = 6000, .ms = 6000 } };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  if (stops[_i].before.count > 0)
    sim_submit (sim, 0, &service, &stops[_i].before, 1);
  sim_run_ms (sim, 1000);
  sim_submit (sim, 0, &service, &stops[_i].step, 1);
  sim_run_ms (sim, 1000);
  guint before = sim->starts;
  const sim_job_t *job = sim_submit (sim, 1, &batch, filling, 1);
  sim_run_ms (sim, 16000);
  ck_assert_msg (sim_state (sim, job) == BTS_JOB_COMPLETED, "%s", stops[_i].name);
  ck_assert_msg (sim->starts - before == filling[0].count, "%s: %u starts of %u tasks",
                 stops[_i].name, sim->starts - before, filling[0].count);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("idle_room");
  tcase_add_loop_test (tests, nothing_is_stopped_for_work_that_cannot_start, 0,
                       G_N_ELEMENTS (stops));
  tcase_set_timeout (tests, 60);
  return suite_run ("idle_room", tests);
}
