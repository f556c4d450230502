#include "tests/fuzz/run.h"
#include "tests/suite.h"

/* The fixed seeds of the fuzzer; tools/fuzz plays more. */

#define SEED_FIRST 1
#define SEED_LAST 40
/* The first seed by which a job that is taken back though it may be recorded is caught. */
#define SEED_TAKEN_BACK 211
/* The seed by which a failed request whose next try would come after its deadline is caught when
   its owner leaves. */
#define SEED_LAST_TRY_TOO_LATE 2010

START_TEST (seed_violates_nothing)
{
  fuzz_schedule_t *schedule = fuzz_schedule_new ((guint32)_i);
  fuzz_result_t result = { 0 };
  fuzz_run (schedule, FALSE, &result);
  ck_assert_msg (result.violated == ORACLE_NONE, "seed %d: %s: %s; tools/fuzz --replay-seed %d", _i,
                 oracle_invariant_names[result.violated], result.what, _i);
  fuzz_result_clear (&result);
  fuzz_schedule_free (schedule);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("fuzz");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, seed_violates_nothing, SEED_FIRST, SEED_LAST + 1);
  tcase_add_loop_test (tests, seed_violates_nothing, SEED_TAKEN_BACK, SEED_TAKEN_BACK + 1);
  tcase_add_loop_test (tests, seed_violates_nothing, SEED_LAST_TRY_TOO_LATE,
                       SEED_LAST_TRY_TOO_LATE + 1);
  return suite_run ("fuzz", tests);
}
