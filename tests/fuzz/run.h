#ifndef BT_FUZZ_RUN_H
#define BT_FUZZ_RUN_H

#include "tests/fuzz/oracle.h"
#include "tests/fuzz/schedule.h"

/**
 * struct fuzz_result_t - what came of one or more runs
 * @violated: what the last run violated
 * @what: a description, or NULL
 * @kinds: actions by kind that took place
 * @counters: counters of all daemons, summed up when each ended
 */
typedef struct
{
  oracle_invariant_t violated;
  char *what;
  guint64 runs;
  guint64 steps;
  guint64 kinds[FUZZ_N_KINDS];
  oracle_stats_t stats;
  bt_counters_t counters;
} fuzz_result_t;

void fuzz_run (const fuzz_schedule_t *schedule, gboolean verbose, fuzz_result_t *result);
void fuzz_result_clear (fuzz_result_t *result);
char *fuzz_result_text (const fuzz_result_t *result);

#endif
