#ifndef BTS_EVACUATE_H
#define BTS_EVACUATE_H

#include "libbamboothread/scheduler/sched.h"

/*
 * Evacuation: long-running tasks move off workers that drain before these leave.
 */

typedef struct bts_evacuation_t bts_evacuation_t;

bts_evacuation_t *bts_evacuation_new (void);
void bts_evacuation_free (bts_evacuation_t *evacuation);
void bts_evacuation_clear (bts_evacuation_t *evacuation);

void bts_evacuate_on_entry (bts_worker_t *worker, bts_entry_change_t change, gint64 now_us);
void bts_evacuate_tick (bts_sched_t *sched);
void bts_evacuate_request (bts_sched_t *sched, gint64 now_us);
bts_worker_t *bts_evacuate_target (const bts_sched_t *sched, const bts_task_t *task,
                                   const char *name, gint64 now_us);
void bts_evacuate_reserve (bts_sched_t *sched, gint64 now_us);

#endif
