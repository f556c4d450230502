#ifndef BTS_HANDOVER_H
#define BTS_HANDOVER_H

#include "libbamboothread/scheduler/sched.h"

/*
 * What an owner that resigns tells the next one about workers that don't answer, or that are about
 * to leave: what may run on them, and until when. The next owner then waits for these tasks only,
 * and for the rest of the leases. Otherwise each owner would wait for a whole lease before it
 * starts any task of an earlier term, and in vain if owners follow each other faster.
 */

Bts__Resigned *bts_handover_new (const bts_sched_t *sched);

#endif
