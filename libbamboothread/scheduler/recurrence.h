#ifndef BTS_RECURRENCE_H
#define BTS_RECURRENCE_H

#include "libbamboothread/scheduler/job.h"

/*
 * Which occurrences of a recurring job the owner works on. A job may have any number of occurrences
 * that are due, and each takes memory from when it is opened, so only a few that run nothing are
 * open at a time.
 */

typedef void (*bts_recurrence_open_t) (void *context, bts_job_t *job, guint number);

void bts_recurrence_open_due (bts_job_t *job, guint n_due, gboolean has_memory, gint64 now_us,
                              bts_recurrence_open_t open, void *context);
guint bts_recurrence_waiting_max (const Bts__Accepted *accepted);
guint bts_recurrence_count_waiting (const bts_job_t *job, guint n_due);

#endif
