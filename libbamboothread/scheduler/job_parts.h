#ifndef BTS_JOB_PARTS_H
#define BTS_JOB_PARTS_H

#include "libbamboothread/scheduler/job.h"

/*
 * The parts of a job's snapshot that a reader has found. The job is known from a snapshot once all
 * of its parts were read, each of which held all that was known of its tasks by then. What is known
 * later is in later records. A part that gets lost is written again with all others.
 *
 * A reader that learns of the job from a part lacks the earlier state of the tasks of other parts,
 * and one that learns of it from a snapshot which is older than the records that it has read lacks
 * what was in between. Ends have to wait for a part with that state, as they add to it.
 */

void bts_job_parts_begin (bts_job_t *job);
gboolean bts_job_parts_add (bts_job_t *job, const Bts__Kept *part, gint64 read_from);
gboolean bts_job_parts_has_state (const bts_job_t *job, guint occurrence, guint step, guint index);
void bts_job_parts_free (bts_job_parts_t *parts);

#endif
