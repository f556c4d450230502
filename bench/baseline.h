#ifndef BT_BENCH_BASELINE_H
#define BT_BENCH_BASELINE_H

#include "bench/result.h"

/*
 * Plain policies on a list of workers of the benchmark's own, as a measure for
 * the real one. They see the whole fleet at once and every message is free.
 */

/**
 * enum bench_baseline_t - the policies
 * @BENCH_FIRST_FIT: the oldest job that fits, on the first worker that fits
 * @BENCH_RANDOM_FIT: the same, on a random worker that fits
 * @BENCH_FIFO: the oldest job only, on the first worker that fits
 * @BENCH_NO_ADMISSION: first fit, and nothing is refused or given up
 */
typedef enum
{
  BENCH_FIRST_FIT,
  BENCH_RANDOM_FIT,
  BENCH_FIFO,
  BENCH_NO_ADMISSION,
  BENCH_N_BASELINES,
} bench_baseline_t;

extern const char *const bench_baseline_names[];

bench_result_t *bench_baseline_run (bench_baseline_t policy, const bench_workload_t *workload,
                                    const bt_tables_t *tables, bench_scenario_t scenario,
                                    gint64 flood_at_us);

#endif
