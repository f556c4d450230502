#ifndef BTS_HANDOVER_H
#define BTS_HANDOVER_H

#include "libbamboothread/scheduler/sched.h"

/*
 * What an owner that resigns tells the next one about tasks that last and that it doesn't know to
 * run. The next owner then waits for the leases of those workers only on which such a task may run,
 * and not of all that don't answer it. Otherwise a worker that leaves shortly before each change of
 * the owner would keep these tasks from being started for as long as owners follow each other.
 */

Bts__Resigned *bts_handover_new (const bts_sched_t *sched);
gboolean bts_handover_is_idle (const bts_sched_t *sched, const bts_task_t *task);

#endif
