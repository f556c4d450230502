#ifndef BTS_JOB_COVER_H
#define BTS_JOB_COVER_H

#include "libbamboothread/scheduler/job.h"

/*
 * Whether a snapshot of a job holds all that is known of it. Its owner may have lacked records that
 * are before it in the log. What the owner had still to read when it wrote the snapshot isn't
 * missing: that is in records after those that it had seen.
 */

gboolean bts_job_is_covered (const bts_job_t *job, const Bts__Kept *snapshot);
bts_ranges_t *bts_kept_read_done (const Bts__Kept *snapshot);

#endif
