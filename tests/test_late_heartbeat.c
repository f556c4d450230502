#include "tests/sim.h"
#include "tests/suite.h"

/* Heartbeats that take longer to come back from the journal than until the next one is sent. */

static const sim_policy_t service = { .service = "main", .priority = 1, .route = "service" };
static const sim_policy_t batch = { .service = "main", .priority = 2, .route = "batch" };
static const sim_step_t lasting = { .count = 4, .cpu = 1000, .memory = 1000, .lasts = TRUE };
static const sim_step_t small = { .count = 40, .cpu = 1000, .memory = 1000, .ms = 300 };

/**
 * struct case_t - a slow log
 * @append_ms: time of an append; from the half of it on it holds the record
 * @ms: how long it is slow
 */
static const struct
{
  const char *name;
  gint64 append_ms;
  guint ms;
} cases[] = {
  { "a little longer than until the next one", 750, 20000 },
  { "twice that", 1500, 20000 },
  { "many times that", 4000, 30000 },
};

/* Guards against an owner that never learns that it still is the owner, as each heartbeat counts
   only until the next one is sent: it lets the leases of its workers expire, and all work on them
   ends. */
START_TEST (heartbeats_count_when_they_are_late)
{
  sim_t *sim = sim_new (1, 4, (guint32)_i + 1);
  sim_run_ms (sim, 3000);
  sim_job_t *service_job = sim_submit (sim, 0, &service, &lasting, 1);
  sim_run_ms (sim, 3000);
  ck_assert_uint_eq (sim_running (sim, service_job->id), 4);
  sim_job_t *job = sim_submit (sim, 0, &batch, &small, 1);
  sim_run_ms (sim, 100);
  gint64 slow_us = bt_clock_now (&sim->clock);
  sim->append_us = cases[_i].append_ms * 1000;
  for (guint ms = 0; ms < cases[_i].ms; ms += 100)
    {
      sim_run_ms (sim, 100);
      for (guint i = 0; i < sim->workers->len; i++)
        ck_assert_msg (sim_worker (sim, i)->lapsed_us < slow_us, "%s: the lease of %s has expired",
                       cases[_i].name, sim_worker (sim, i)->id);
    }
  ck_assert_uint_eq (sim_running (sim, service_job->id), 4);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("late_heartbeat");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, heartbeats_count_when_they_are_late, 0, G_N_ELEMENTS (cases));
  return suite_run ("late_heartbeat", tests);
}
