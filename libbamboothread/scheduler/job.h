#ifndef BTS_JOB_H
#define BTS_JOB_H

#include <glib.h>

#include "proto/record.pb-c.h"

/*
 * Jobs as the journal tells them: steps of tasks, run once or at intervals.
 */

/* Letters of a job's id, as its caller chose it. */
#define BTS_JOB_ID_LEN 16
/* Most tasks in one occurrence of a job; a wider one is refused as malformed. */
#define BTS_TASKS_MAX 4096

typedef struct bts_job_t bts_job_t;
typedef struct bts_stage_t bts_stage_t;
typedef struct bts_run_t bts_run_t;

/**
 * enum bts_run_outcome_t - how a run ended
 * @BTS_OUTCOME_DONE: its work is complete
 * @BTS_OUTCOME_FAILED: counts against the attempts of its task or gang
 * @BTS_OUTCOME_STOPPED: on the owner's order
 * @BTS_OUTCOME_LEASE_EXPIRED: the worker's lease ran out
 * @BTS_OUTCOME_GANG_ENDED: another member of its gang ended
 * @BTS_OUTCOME_GANG_INCOMPLETE: the rest of its gang did not come in time
 */
typedef enum
{
  BTS_OUTCOME_DONE,
  BTS_OUTCOME_FAILED,
  BTS_OUTCOME_STOPPED,
  BTS_OUTCOME_LEASE_EXPIRED,
  BTS_OUTCOME_GANG_ENDED,
  BTS_OUTCOME_GANG_INCOMPLETE,
} bts_run_outcome_t;

/**
 * enum bts_job_state_t - what a caller is told of a job
 */
typedef enum
{
  BTS_JOB_PENDING,
  BTS_JOB_RUNNING,
  BTS_JOB_COMPLETED,
  BTS_JOB_FAILED,
  BTS_JOB_CANCELLED,
} bts_job_state_t;

/**
 * struct bts_ticket_t - what the advice service said of a worker for a stage
 * @ticket: leave to start there, or NULL if it was denied
 * @received_us: when it came; 0 once the worker has refused it
 */
typedef struct
{
  char *ticket;
  gint64 received_us;
} bts_ticket_t;

/**
 * struct bts_task_t - one unit that takes room on a worker
 * @index: its number in its step
 * @done: an end of kind done is in the journal
 * @fails: ends of kind failed in the journal
 * @ended_run: the highest run whose end is in the journal; 0 for none
 * @last_run: the highest run number known to have been used; 0 for none
 * @lost_run: the highest run that this owner gave up because its worker's lease
 *   ran out; an end of it that shows up later doesn't count
 * @checkpoint: newest checkpoint, or NULL
 * @run: the owner's present run of it, or NULL
 * @pending_end_run: the highest run that has ended while the journal doesn't hold that end
 *   yet; 0 if there is none
 * @done_pending: that end is one of @n_listed of its stage
 * @avoid_worker: worker on which it failed last, or NULL
 */
typedef struct
{
  bts_stage_t *stage;
  guint index;
  gboolean done;
  guint fails;
  guint ended_run;
  guint last_run;
  guint lost_run;
  char *checkpoint;
  bts_run_t *run;
  guint pending_end_run;
  gboolean done_pending;
  char *avoid_worker;
} bts_task_t;

/**
 * struct bts_stage_t - one step of one occurrence
 * @tasks: its tasks, @n_tasks of them
 * @n_done: tasks with a journaled end of kind done
 * @n_done_pending: tasks whose end of kind done is on its way into the journal
 * @gang_fails: failed runs of the whole gang
 * @gang_failed_run: the run that @gang_fails counted last
 * @advice: id of a worker that was asked about to bts_ticket_t; NULL before the first answer
 * @next_extend_us: no look for further workers to ask about before
 * @advice_asked_us: when advice was asked for; 0 if none is on its way
 * @advice_node: the process that was asked, or NULL
 * @advice_deadline_us: when it is asked for again
 * @prefetch_us: when advice is asked for ahead of its turn; 0 if it isn't
 * @queued: the stage stands in the owner's queue
 * @obsolete_us: when its job is of no use any more
 * @latest_start_us: when it should be over for its job to meet its objective
 * @band: part of the queue that it stands in
 * @backoff_until_us: no attempt to place it before
 * @no_room_since_us: since when tasks of it found no room; 0 if all did
 * @next_preempt_us: no room is made for it before
 */
struct bts_stage_t
{
  bts_job_t *job;
  guint occurrence;
  guint step;
  guint n_tasks;
  guint n_done;
  guint n_done_pending;
  bts_task_t *tasks;
  guint gang_fails;
  guint gang_failed_run;
  GHashTable *advice;
  gint64 next_extend_us;
  gint64 advice_asked_us;
  char *advice_node;
  gint64 advice_deadline_us;
  gint64 prefetch_us;
  gboolean queued;
  gint64 latest_start_us;
  gint64 obsolete_us;
  guint band;
  gint64 backoff_until_us;
  gint64 no_room_since_us;
  gint64 next_preempt_us;
};

/**
 * struct bts_occurrence_t - one time that a job's steps run
 */
typedef struct
{
  bts_stage_t *stages;
  guint n_done;
} bts_occurrence_t;

/**
 * struct bts_job_t - a job that the journal holds
 * @accepted: the record that created it, without its spec once the job is over
 * @service: the service of its policy, interned
 * @offset: of that record
 * @folded_us: when this process folded that record
 * @snapshot_us: when this process last folded a record that tells all of the job; 0 if
 *   that was one of the past
 * @snapshot_sent_us: when the owner last wrote such a record
 * @ended_us: when this process saw the job end; 0 before
 * @occurrences: bts_occurrence_t by number; NULL where none has begun
 * @n_tasks: tasks in one occurrence
 * @n_occurrences_done: occurrences whose tasks have all ended done
 * @begun: a task has been started, as the owner told
 * @begun_reported: the owner is to tell or has told that it has begun
 */
struct bts_job_t
{
  Bts__Accepted *accepted;
  const char *service;
  gint64 offset;
  gint64 folded_us;
  gint64 snapshot_us;
  gint64 snapshot_sent_us;
  gint64 ended_us;
  GPtrArray *occurrences;
  guint n_tasks;
  guint n_occurrences_done;
  gboolean begun;
  gboolean begun_reported;
  gboolean cancelled;
  gboolean failed;
};

bts_job_t *bts_job_new (Bts__Accepted *accepted, gint64 offset, gint64 now_us);
void bts_job_free (bts_job_t *job);
const char *bts_job_id (const bts_job_t *job);
guint64 bts_job_number (const bts_job_t *job);
void bts_job_id_from_number (guint64 number, char id[BTS_JOB_ID_LEN + 1]);
gboolean bts_job_has_spec (const bts_job_t *job);
bts_job_state_t bts_job_state (const bts_job_t *job);
const char *bts_job_state_name (bts_job_state_t state);
gboolean bts_job_has_ended (const bts_job_t *job);
gboolean bts_job_is_long_running (const bts_job_t *job);
guint bts_job_count_occurrences (const bts_job_t *job);
gint64 bts_job_due_ms (const bts_job_t *job, guint occurrence);
bts_occurrence_t *bts_job_ensure_occurrence (bts_job_t *job, guint occurrence);
bts_occurrence_t *bts_job_occurrence (const bts_job_t *job, guint occurrence);
bts_stage_t *bts_job_stage (bts_job_t *job, guint occurrence, guint step);
void bts_job_free_start_data (bts_job_t *job);

bts_ticket_t *bts_stage_ticket (const bts_stage_t *stage, const char *worker);
const char *bts_stage_valid_ticket (const bts_stage_t *stage, const char *worker, gint64 now_us);
void bts_stage_record_advice (bts_stage_t *stage, const char *worker, const char *ticket,
                              gint64 now_us);
const Bts__Step *bts_stage_step (const bts_stage_t *stage);
const Bts__Policy *bts_stage_policy (const bts_stage_t *stage);
gboolean bts_stage_is_ready (const bts_stage_t *stage);
gboolean bts_stage_is_done (const bts_stage_t *stage);
void bts_task_set_checkpoint (bts_task_t *task, const char *saved);
char *bts_task_name (const bts_task_t *task);
gboolean bts_task_name_parse (const char *name, char id[BTS_JOB_ID_LEN + 1], guint *occurrence,
                              guint *step, guint *index);

gboolean bts_accepted_check (const Bts__Accepted *accepted, GError **error);

#endif
