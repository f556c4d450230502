#ifndef BTS_JOB_SNAPSHOT_H
#define BTS_JOB_SNAPSHOT_H

#include "libbamboothread/scheduler/job.h"

/*
 * The snapshot of a job that hasn't ended: Kept records with the state of its tasks as of a point
 * in the journal. Ends that are on their way into the journal land after that point, so that a
 * snapshot can be written at any moment. Each record is about some tasks in a row, so that none of
 * them outgrows what the log takes, however many tasks have ended; see job_parts.h.
 */

/* Bytes of a record that a job has to leave for what happens to it. */
#define BTS_JOB_SNAPSHOT_MIN_BYTES (4 * 1024)

/**
 * typedef bts_job_snapshot_append_f - appends a record to the journal
 * @context: as given to bts_job_snapshot_write()
 * @record: the record; valid during the call
 */
typedef void (*bts_job_snapshot_append_f) (void *context, const Bts__Record *record);

/**
 * struct bts_job_snapshot_t - what is to be written
 * @job: the job, which hasn't ended
 * @term: term of the owner that writes it
 * @seen: offset after the newest record that the owner has folded
 * @record_bytes: most bytes of a record
 */
typedef struct
{
  const bts_job_t *job;
  guint64 term;
  gint64 seen;
  gsize record_bytes;
} bts_job_snapshot_t;

void bts_job_snapshot_write (const bts_job_snapshot_t *snapshot, bts_job_snapshot_append_f append,
                             void *context);

#endif
