#ifndef BTS_RUN_SLOTS_H
#define BTS_RUN_SLOTS_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * How many runs a worker may have, however little they take: each of them takes memory on the
 * owner and is in every list of the worker. The slots are shared by dynamic thresholds: a job, and
 * a customer, may have so many times as many runs on a worker as it has free slots, so that slots
 * are left for others however many jobs fill it. Some are left for jobs of which nothing runs.
 */

/* Most runs on a worker. */
#define BTS_RUNS_MAX 1024
/* Most of them whose tasks last. */
#define BTS_LASTING_RUNS_MAX 512

guint bts_run_slots_count (const bts_worker_t *worker, const bts_stage_t *stage, guint n_leaving,
                           guint n_max);

#endif
