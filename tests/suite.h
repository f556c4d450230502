#ifndef BT_TESTS_SUITE_H
#define BT_TESTS_SUITE_H

#include <check.h>

/* Runs a test case and prints the counts that CI adds up. */
int suite_run (const char *name, TCase *tests);

#endif
