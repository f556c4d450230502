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
/* Time within which the other work is to be done: twice what it takes on idle workers, and the time
   for which room may be free before it is given back. */
#define OTHERS_MS 12000
#define NOBODY_HAS "label-that-no-worker-has"

static const sim_policy_t service = { "main", 1, 4, 2500 };
static const sim_policy_t urgent = { "main", 0, 3, 300 };
static const sim_policy_t batch = { "main", 2, 3, 3000 };

/**
 * struct case_t - a submission that can't use the room that is kept for it
 * @policy: its route
 * @step: what it asks for
 * @before: what runs before it comes; none if its count is 0
 * @advised: it needs advice, and the service stops answering once it has answered about it
 * @other: a step of the other work
 * @n_others: how many jobs of it come, one each half second
 * @others_ms: time within which they are to be done
 */
typedef struct
{
  const char *name;
  const sim_policy_t *policy;
  sim_step_t step;
  sim_step_t before;
  gboolean advised;
  sim_step_t other;
  guint n_others;
} case_t;

static const case_t cases[] = {
  { "lasting tasks of which each worker has as many as it may",
    &service,
    { .count = 2 * WORKERS, .cpu = 15000, .memory = 15000, .lasts = TRUE, .per_worker = 1 },
    { 0 },
    FALSE,
    { .count = 6, .cpu = 6600, .memory = 9400, .ms = 1000 },
    6 },
  { "tasks of which each worker has as many as it may",
    &service,
    { .count = 2 * WORKERS, .cpu = 15000, .memory = 15000, .ms = 60000, .per_worker = 1 },
    { 0 },
    FALSE,
    { .count = 6, .cpu = 6600, .memory = 9400, .ms = 1000 },
    6 },
  { "gang that is wider than the pool",
    &urgent,
    { .count = WORKERS + 1, .cpu = 20000, .memory = 1000, .ms = 20000, .gang = TRUE },
    { 0 },
    FALSE,
    { .count = 4, .cpu = 20000, .memory = 1000, .ms = 1000 },
    6 },
  { "gang that is wider than what lasting tasks leave",
    &urgent,
    { .count = WORKERS - 2, .cpu = 20000, .memory = 1000, .ms = 20000, .gang = TRUE },
    { .count = 3, .cpu = 20000, .memory = 1000, .lasts = TRUE, .per_worker = 1 },
    FALSE,
    { .count = 2, .cpu = 20000, .memory = 1000, .ms = 1000 },
    6 },
  { "gang of which a worker takes one task at most",
    &urgent,
    { .count = 2 * WORKERS,
      .cpu = 8000,
      .memory = 1000,
      .ms = 20000,
      .gang = TRUE,
      .per_worker = 1 },
    { 0 },
    FALSE,
    { .count = 4, .cpu = 20000, .memory = 1000, .ms = 1000 },
    6 },
  { "filling tasks beside tasks with a latency target",
    &urgent,
    { .count = 3, .cpu = 1000, .memory = 30000, .ms = 20000, .fills = TRUE },
    { .count = WORKERS,
      .cpu = 1000,
      .memory = 1000,
      .lasts = TRUE,
      .target_ms = 50,
      .per_worker = 1 },
    FALSE,
    { .count = 4, .cpu = 1000, .memory = 40000, .ms = 1000 },
    6 },
  { "large tasks without tickets",
    &urgent,
    { .count = WORKERS, .cpu = 20000, .memory = 1000, .ms = 20000 },
    { .count = WORKERS, .cpu = 20000, .memory = 1000, .ms = 4000 },
    TRUE,
    { .count = 4, .cpu = 20000, .memory = 1000, .ms = 1000 },
    6 },
};

/* Guards against workers that stay idle while other work waits. */
START_TEST (room_is_kept_only_for_work_that_can_use_it)
{
  const case_t *how = &cases[_i];
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  if (how->before.count > 0)
    sim_submit (sim, 0, how->before.lasts ? &service : &batch, &how->before, 1);
  sim_run_ms (sim, 1500);
  sim->advised = how->advised;
  sim_submit (sim, 1, how->policy, &how->step, 1);
  sim_run_ms (sim, 1500);
  sim->advised = FALSE;
  if (how->advised)
    sim->advice_extra_us = 60 * BT_USEC_PER_SEC;
  GPtrArray *others = g_ptr_array_new ();
  for (guint i = 0; i < how->n_others; i++)
    {
      g_ptr_array_add (others, sim_submit (sim, i % PROCESSES, &batch, &how->other, 1));
      sim_run_ms (sim, 500);
    }
  sim_run_ms (sim, OTHERS_MS);
  for (guint i = 0; i < others->len; i++)
    ck_assert_msg (sim_state (sim, others->pdata[i]) == BTS_JOB_COMPLETED, "%s: job %u is %s",
                   how->name, i, bts_job_state_name (sim_state (sim, others->pdata[i])));
  g_ptr_array_unref (others);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

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

/* Guards against quota that is kept free for a gang that no worker can run. */
START_TEST (quota_is_kept_only_for_work_that_can_use_it)
{
  static const sim_step_t gang[] = {
    { .count = 2, .cpu = 10000, .memory = 100, .ms = 1000, .gang = TRUE, .label = NOBODY_HAS },
  };
  static const sim_step_t one[] = { { .count = 1, .cpu = 10000, .memory = 100, .ms = 1000 } };
  static const bts_resources_t cap = { 20000, 0, 0 };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_set_tenant (sim, "press", &cap, 100);
  sim_publish_tables (sim);
  sim->tenant = "press";
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < 30; i++)
    sim_submit (sim, i % PROCESSES, &batch, one, 1);
  sim_submit (sim, 1, &service, gang, 1);
  sim_run_ms (sim, 18000);
  ck_assert_uint_eq (sim_count_state (sim, BTS_JOB_COMPLETED), 30);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("idle_room");
  tcase_add_loop_test (tests, room_is_kept_only_for_work_that_can_use_it, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, nothing_is_stopped_for_work_that_cannot_start, 0,
                       G_N_ELEMENTS (stops));
  tcase_add_test (tests, quota_is_kept_only_for_work_that_can_use_it);
  tcase_set_timeout (tests, 60);
  return suite_run ("idle_room", tests);
}
