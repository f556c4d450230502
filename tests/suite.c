#include "tests/suite.h"

#include <stdio.h>
#include <stdlib.h>

#include "libbamboothread/base/log.h"

int
suite_run (const char *name, TCase *tests)
{
  bt_log_set_level (BT_LOG_ERROR);
  Suite *suite = suite_create (name);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  int run = srunner_ntests_run (runner);
  printf ("counts: %d passed, %d failed\n", run - failed, failed);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
