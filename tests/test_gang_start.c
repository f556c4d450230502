#include "tests/sim.h"
#include "tests/suite.h"

/* Starts of gangs of which one member's worker leaves its orders unanswered. */

static const sim_policy_t batch = { "main", 1, 4, 3000 };
static const sim_step_t whole_workers[]
    = { { .count = 4, .cpu = 20000, .memory = 20000, .gpus = 8, .ms = 1500, .gang = TRUE } };

/**
 * struct case - what becomes of the calls to one worker
 * @dark: they aren't carried out
 * @mute: they are carried out and get no answer
 * @late_ms: start orders are carried out so much later and get no answer
 * @for_ms: how long that lasts, from just before the gang starts
 */
static const struct
{
  const char *name;
  gboolean dark;
  gboolean mute;
  gint64 late_ms;
  gint64 for_ms;
} cases[] = {
  { "dark", TRUE, FALSE, 0, 6000 },
  { "dark_for_long", TRUE, FALSE, 0, 20000 },
  { "dark_until_its_start_is_given_up", TRUE, FALSE, 0, 1300 },
  { "mute", FALSE, TRUE, 0, 6000 },
  { "late", FALSE, FALSE, 2000, 6000 },
  { "later_than_its_stop", FALSE, FALSE, 4000, 6000 },
};

/* Guards against members that wait in vain: the start of another member was given up, and they were
   stopped only once the lease of its worker was over (GANG on arb-sched-grown). */
START_TEST (gang_is_stopped_with_a_start_that_is_given_up)
{
  sim_t *sim = sim_new (3, 4, (guint32)_i + 1);
  sim_run_ms (sim, 3000);
  sim_worker_t *worker = sim_worker (sim, 1);
  worker->dark = cases[_i].dark;
  worker->mute = cases[_i].mute;
  worker->late_us = cases[_i].late_ms * 1000;
  const sim_job_t *job = sim_submit (sim, 0, &batch, whole_workers, G_N_ELEMENTS (whole_workers));
  sim_run_ms (sim, cases[_i].for_ms);
  worker->dark = FALSE;
  worker->mute = FALSE;
  worker->late_us = 0;
  sim_run_ms (sim, 15000);
  ck_assert_msg (sim->alone == 0, "%s: %u members ran alone", cases[_i].name, sim->alone);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("gang_start");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, gang_is_stopped_with_a_start_that_is_given_up, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("gang_start", tests);
}
