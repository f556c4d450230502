#ifndef BTS_CRASH_H
#define BTS_CRASH_H

#include "libbamboothread/scheduler/sched.h"

/*
 * Tasks in a crash loop: those that crash the workers that start them. A run that is lost with its
 * worker isn't an attempt that failed, as workers crash for many reasons. But a task gets points
 * for each worker in a row that has crashed right after it had started the task, once for a worker.
 * With BTS_CRASH_POINTS_MAX points it is given up, and its job has failed. After the first crash
 * the task is a suspect: it starts only where nothing else is just starting, so that the next crash
 * tells it from the tasks that were beside it. The points are dropped once a run of it has outlived
 * its start, also from the journal. A worker that crashes under different tasks is
 * suspect itself; see probation.h.
 */

/* Points for a crash under a run that the worker had confirmed, and for one under a run whose start
   order got no reply: the worker may have crashed before it got the order. A worker that has
   crashed without the task before gives the latter in any case. */
#define BTS_CRASH_POINTS_CONFIRMED 2
#define BTS_CRASH_POINTS_UNCONFIRMED 1

gboolean bts_crash_is_confirmed (const bts_run_t *run);
void bts_crash_begin_term (bts_sched_t *sched);
void bts_crash_on_worker_silent (bts_sched_t *sched, bts_worker_t *worker);
void bts_crash_on_run_confirmed (bts_run_t *run, gint64 now_us);
void bts_crash_on_run_lost (const bts_sched_t *sched, const bts_run_t *run);
void bts_crash_on_worker_ended (bts_sched_t *sched, bts_worker_t *worker);
void bts_crash_on_worker_alive (bts_sched_t *sched, bts_worker_t *worker, gint64 started_ms);
gboolean bts_crash_is_suspect (const bts_task_t *task);
gboolean bts_crash_is_blamed (const bts_worker_t *worker, const bts_task_t *task);
gboolean bts_crash_is_waiting (const bts_task_t *task, gint64 now_us);
gboolean bts_crash_has_starting_suspect (const bts_worker_t *worker);
gboolean bts_crash_may_start (const bts_worker_t *worker, const bts_task_t *task, gint64 now_us);
void bts_crash_on_placed (bts_task_t *task, gboolean found, gint64 now_us);
void bts_crash_clear (bts_task_t *task);

#endif
