#ifndef BTS_START_H
#define BTS_START_H

#include "libbamboothread/scheduler/sched.h"

gboolean bts_start_has_to_wait (const bts_sched_t *sched, const bts_task_t *task, gint64 now_us);
guint bts_start_count_ready (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us);
gboolean bts_start_can_place (const bts_stage_t *stage, guint n_ready);
guint bts_start_stage (bts_sched_t *sched, bts_stage_t *stage, guint n_ready);
gboolean bts_start_is_unconfirmed (const bts_stage_t *stage);

#endif
