#include "tests/sim.h"
#include "tests/suite.h"

/* The size of heartbeats, which follows from what runs on workers. */

#define WORKERS 40
#define TASKS_PER_WORKER 700
/* However many workers fall silent at once, a heartbeat takes a part of the largest record. */
#define RECORD_MAX (SIM_RECORD_BYTES / 4)

static const sim_policy_t batch = { .service = "main", .priority = 1, .route = "batch" };

/* Guards against a heartbeat that outgrows the largest record, as many workers fall silent at once
   just after they have started many tasks: it would be refused each time, and the owner with it. */
START_TEST (heartbeat_fits_into_a_record)
{
  sim_t *sim = sim_new (2, WORKERS, 1);
  sim_run_ms (sim, 3000);
  const sim_step_t step = { .count = TASKS_PER_WORKER * 5, .cpu = 40, .memory = 80, .ms = 30000 };
  for (guint i = 0; i < WORKERS / 5; i++)
    sim_submit (sim, 0, &batch, &step, 1);
  guint last = 0;
  for (guint ms = 0; ms < 5000 && (last == 0 || sim->starts < WORKERS * TASKS_PER_WORKER); ms += 10)
    {
      sim_run_ms (sim, 10);
      last = sim->starts;
    }
  ck_assert_uint_gt (last, WORKERS * TASKS_PER_WORKER * 3 / 4);
  for (guint i = 0; i < WORKERS; i++)
    sim_worker (sim, i)->dark = TRUE;
  gint owner = sim_owner (sim);
  sim_run_ms (sim, 4000);
  ck_assert_int_eq (sim_owner (sim), owner);
  for (guint i = 0; i < WORKERS; i++)
    sim_worker (sim, i)->dark = FALSE;
  sim_run_ms (sim, 3000);
  gsize largest = 0;
  for (guint i = 0; i < sim->log->len; i++)
    largest = MAX (largest, g_bytes_get_size (sim->log->pdata[i]));
  ck_assert_uint_le (largest, RECORD_MAX);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("heartbeat_size");
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, heartbeat_fits_into_a_record);
  return suite_run ("heartbeat_size", tests);
}
