#ifndef BTS_JOB_H
#define BTS_JOB_H

#include <glib.h>

#include "libbamboothread/scheduler/ranges.h"
#include "proto/record.pb-c.h"

/*
 * The state of jobs. A job has steps, a step has tasks of one kind. A job runs once or at
 * intervals; each time is an occurrence, and a step of an occurrence is a stage.
 */

/* Length of a job's id in hexadecimal digits; the caller chooses the id. */
#define BTS_JOB_ID_LEN 16
/* Most tasks in one occurrence of a job; a job with more is refused as malformed. */
#define BTS_TASKS_MAX 4096
/* Tasks of a stage that are allocated together. */
#define BTS_TASK_BLOCK 64
/* Crash points with which a task is given up; see crash.h. */
#define BTS_CRASH_POINTS_MAX 4

typedef struct bts_job_t bts_job_t;
typedef struct bts_stage_t bts_stage_t;
typedef struct bts_run_t bts_run_t;
typedef struct bts_account_t bts_account_t;

/**
 * struct bts_blame_t - a worker that has crashed under a task
 * @worker: its id; empty if it isn't known, as in records of older versions
 * @address: its address; the next worker there is taken for the same
 * @points: points of the task for it; 0 if the task had outlived its start
 */
typedef struct
{
  char *worker;
  char *address;
  guint points;
} bts_blame_t;

/**
 * enum bts_run_outcome_t - how a run ended
 * @BTS_OUTCOME_DONE: it completed its work
 * @BTS_OUTCOME_FAILED: it failed; counts against the attempts of its task or gang
 * @BTS_OUTCOME_STOPPED: the owner ordered it to stop
 * @BTS_OUTCOME_LEASE_EXPIRED: the worker's lease expired
 * @BTS_OUTCOME_GANG_ENDED: another member of its gang ended
 * @BTS_OUTCOME_GANG_INCOMPLETE: the rest of its gang didn't start in time
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
 * enum bts_job_state_t - state of a job, as reported to callers
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
 * struct bts_ticket_t - permission of the advice service to run a stage on one worker
 * @worker: number of the worker
 * @ticket: what start orders have to carry
 * @received_us: when it came; 0 once the worker has refused it
 */
typedef struct
{
  guint worker;
  char *ticket;
  gint64 received_us;
} bts_ticket_t;

/**
 * struct bts_advice_t - answers of the advice service for one stage
 * @asked: one bit for each worker number, set if the service has answered about it
 * @allowed: bts_ticket_t of the workers that the stage may use, in the order of the answers
 */
typedef struct
{
  GByteArray *asked;
  GArray *allowed;
} bts_advice_t;

/**
 * struct bts_task_t - a task, the unit of placement on workers
 * @index: its number in its step
 * @done: whether an end with outcome "done" is in the journal
 * @fails: number of ends with outcome "failed" in the journal
 * @ended_run: the highest number of a run whose end is in the journal; 0 for none
 * @ended_offset: offset of the record with the newest end; 0 if that was read from a snapshot
 * @last_run: the highest run number known to have been used; 0 for none
 * @lost_run: the highest number of a run that this owner gave up, for instance when its
 *   worker's lease expired; an end of that run that is listed later counts only if it is done
 * @checkpoint: newest checkpoint, or NULL
 * @run: its current run under this owner, or NULL
 * @pending_end_run: the highest number of a run that has ended and whose end isn't in the
 *   journal yet; 0 for none
 * @done_pending: whether the end of one of its runs with outcome "done" has been listed and isn't
 * in the journal yet
 * @avoid_worker: worker on which it failed last, or NULL
 * @crash_run: the highest number of a run after whose start its worker is known to have crashed
 * @crash_blames: bts_blame_t of the workers that have crashed in a row, each of them once; NULL if
 *   none have
 * @crash_points: points for such crashes in a row, the sum of those of @crash_blames; see blame.h
 * @n_crashes: crashes in a row, several ones of a worker among them
 * @crash_again_ms: Unix time before which it isn't started again on these workers
 * @crash_again_us: the same on the clock of this process; set by the owner
 * @crash_suspected: its last run was lost right after its start, and whether the worker has crashed
 *   isn't known yet
 * @crash_wait_us: it isn't started before this time, unless that becomes known
 * @crash_blocked_us: since when no worker was found on which nothing else is just starting; 0 if
 * none was needed since its last start
 */
typedef struct
{
  bts_stage_t *stage;
  guint index;
  gboolean done;
  guint fails;
  guint ended_run;
  gint64 ended_offset;
  guint last_run;
  guint lost_run;
  char *checkpoint;
  bts_run_t *run;
  guint pending_end_run;
  gboolean done_pending;
  char *avoid_worker;
  guint crash_run;
  GPtrArray *crash_blames;
  guint crash_points;
  guint n_crashes;
  gint64 crash_again_ms;
  gint64 crash_again_us;
  gboolean crash_suspected;
  gint64 crash_wait_us;
  gint64 crash_blocked_us;
} bts_task_t;

/**
 * struct bts_reservation_t - whether room and quota are kept for a stage
 * @is_unfit: at the last attempt, the workers that will have room weren't enough for it
 * @free_since_us: since when room that is kept for it has been free; 0 if none is
 * @is_part_free: that is less than its gang needs
 * @paused_until_us: none is kept before this time, as it wasn't used when it was free
 * @n_pauses: how often that was so in a row while it was unfit
 * @is_impossible: its tasks find no room even when all tasks have ended that don't last
 * @checked_us: when that was last examined
 */
typedef struct
{
  gboolean is_unfit;
  gint64 free_since_us;
  gboolean is_part_free;
  gint64 paused_until_us;
  guint n_pauses;
  gboolean is_impossible;
  gint64 checked_us;
} bts_reservation_t;

/**
 * struct bts_stage_t - one step of one occurrence
 * @blocks: its tasks in blocks, see stage_tasks.c; NULL while nothing has happened to any of them
 * @n_done: tasks with outcome "done" in the journal; changed only by bts_task_set_done()
 * @gang_fails: failed runs of the whole gang
 * @gang_failed_run: the newest run counted in @gang_fails
 * @advice: what the advice service has answered; NULL before the first answer
 * @next_extend_us: no request about further workers before this time
 * @advice_asked_us: when advice was requested; 0 if no request is in flight
 * @advice_node: the process that was last asked to call the advice service, or NULL
 * @advice_wanted_us: since when a request for advice has been waiting for a process that can call
 * the service; 0 if none is. Kept across terms, so that the wait doesn't begin anew with each owner
 * @advice_scope: which workers that request is about, by request_scope_t of advice.c
 * @prefetch_us: when to request advice ahead of the stage's start; 0 if that isn't planned
 * @prefetching: whether that is planned
 * @queued: whether the stage is in the owner's queue
 * @tried_pass: last pass over the queue in which placement was attempted and left tasks pending
 * @quota_since_us: since when it waits for its tenant's quota; 0 if it doesn't
 * @waiting_since_us: when this owner queued it, or a worker last began a task of it; 0 if it isn't
 *   queued
 * @turn: most tasks of it that start in this pass; 0 for no limit
 * @next_shared: the next stage of its tenant while a band of the queue is ordered
 * @retry_us: when that is to be repeated although no room has appeared
 * @reserving: that pass reserved workers for it
 * @reservation: see there
 * @obsolete_us: when the job's result is assumed to be of no use any more
 * @latest_start_us: estimate of the latest start with which the job meets its objective
 * @band: its priority band in the queue
 * @backoff_until_us: no placement before this time
 * @lacks_room: the last attempt to place it left tasks that are ready without room
 * @no_room_since_us: since when tasks of it have found no room; 0 if none wait for room
 * @next_preempt_us: no preemption for it before this time
 */
struct bts_stage_t
{
  bts_job_t *job;
  guint occurrence;
  guint step;
  guint n_tasks;
  guint n_done;
  bts_task_t **blocks;
  guint gang_fails;
  guint gang_failed_run;
  bts_advice_t *advice;
  gint64 next_extend_us;
  gint64 advice_asked_us;
  char *advice_node;
  gint64 advice_wanted_us;
  guint advice_scope;
  gint64 prefetch_us;
  gboolean prefetching;
  gboolean queued;
  guint64 tried_pass;
  gint64 quota_since_us;
  gint64 waiting_since_us;
  guint turn;
  bts_stage_t *next_shared;
  gint64 retry_us;
  gboolean reserving;
  bts_reservation_t reservation;
  gint64 latest_start_us;
  gint64 obsolete_us;
  guint band;
  gint64 backoff_until_us;
  gboolean lacks_room;
  gint64 no_room_since_us;
  gint64 next_preempt_us;
};

/**
 * struct bts_occurrence_t - one execution of a job's steps
 * @number: its number, from 0
 * @stages: its stages, by step
 * @n_done: tasks of all stages that are done; changed only by bts_task_set_done()
 * @done_offset: offset of the record with the end that made it done; 0 if that was read from a
 *   snapshot
 * @done_us: when bts_job_remove_done() first saw that it is done; 0 before
 */
typedef struct
{
  guint number;
  bts_stage_t *stages;
  guint n_done;
  gint64 done_offset;
  gint64 done_us;
} bts_occurrence_t;

/**
 * struct bts_stage_walk_t - walk over the stages of a job
 * @occurrence: index of the next occurrence
 * @step: the next step
 */
typedef struct
{
  guint occurrence;
  gsize step;
} bts_stage_walk_t;

/**
 * struct bts_task_walk_t - walk over the tasks of a job
 * @stages: walk over its stages
 * @stage: the stage that is being visited, or NULL
 * @task: number of its next task
 */
typedef struct
{
  bts_stage_walk_t stages;
  bts_stage_t *stage;
  guint task;
} bts_task_walk_t;

typedef struct bts_job_parts_t bts_job_parts_t;

/**
 * struct bts_job_t - a job of the journal
 * @accepted: the record that created it, without the spec once the job has ended
 * @service: the service of its policy, interned
 * @account: usage of its tenant; NULL if it belongs to none
 * @in_excess: it was submitted in excess of its tenant's weight
 * @offset: offset of @accepted
 * @folded_us: when this process folded @accepted
 * @snapshot_us: when this process last folded a record that holds the whole job; 0 if
 *   that was in a replay, so that the record's age is unknown
 * @snapshot_offset: who has read the journal from this offset on knows the whole job
 * @snapshot_sent_us: when this process, as the owner, last appended a snapshot of the job
 * @parts: what was read of a snapshot in several parts, see job_parts.h; NULL if none is incomplete
 * @ended_us: when this process saw the job end; 0 before
 * @occurrences: bts_occurrence_t in ascending order, without those that haven't been created or
 *   were removed; see occurrence.c
 * @done: numbers of the occurrences whose tasks are all done
 * @next_occurrence: the first one that this owner hasn't opened; see recurrence.c
 * @opened_us: when it last opened one
 * @n_tasks: number of tasks in one occurrence
 * @n_runs: runs of its tasks that this owner knows
 * @paths_ms: by step, estimated time of what follows, see order.c; NULL until an owner needs it
 * @waiting_bytes: memory that it takes while it waits, see job_budget.c
 * @begun: whether a task was started, according to the journal
 * @begun_reported: whether the owner has queued or sent a heartbeat item that the job has begun
 * @completed: whether a snapshot says that all its tasks are done
 * @cancelled: whether it was cancelled
 * @failed: whether a task or gang has failed as often as the job's policy allows, or was given up
 *   because workers crash under it
 */
struct bts_job_t
{
  Bts__Accepted *accepted;
  const char *service;
  bts_account_t *account;
  gboolean in_excess;
  gint64 offset;
  gint64 folded_us;
  gint64 snapshot_us;
  gint64 snapshot_offset;
  gint64 snapshot_sent_us;
  bts_job_parts_t *parts;
  gint64 ended_us;
  GPtrArray *occurrences;
  bts_ranges_t *done;
  guint next_occurrence;
  gint64 opened_us;
  guint n_tasks;
  guint n_runs;
  gint64 *paths_ms;
  gsize waiting_bytes;
  gboolean begun;
  gboolean begun_reported;
  gboolean completed;
  gboolean cancelled;
  gboolean failed;
};

bts_job_t *bts_job_new (Bts__Accepted *accepted, gint64 offset, gint64 now_us);
bts_job_t *bts_job_new_ended (const char *id, gint64 offset, gint64 now_us);
void bts_job_set_ended (bts_job_t *job, bts_job_state_t state);
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
guint bts_job_count_due (const bts_job_t *job, gint64 unix_ms);
bts_occurrence_t *bts_job_ensure_occurrence (bts_job_t *job, guint number);
bts_occurrence_t *bts_job_occurrence (const bts_job_t *job, guint number);
bts_stage_t *bts_job_stage (bts_job_t *job, guint number, guint step);
bts_stage_t *bts_job_next_stage (const bts_job_t *job, bts_stage_walk_t *walk);
bts_task_t *bts_job_next_task (const bts_job_t *job, bts_task_walk_t *walk);
void bts_job_set_done_range (bts_job_t *job, guint first, guint last);
void bts_job_remove_done (bts_job_t *job, gint64 now_us, gint64 keep_us);
void bts_job_clear_occurrences (bts_job_t *job);
void bts_job_clear_owner_state (bts_job_t *job);
void bts_job_free_start_data (bts_job_t *job);
void bts_job_free_steps (bts_job_t *job);

bts_task_t *bts_stage_task (bts_stage_t *stage, guint index);
const bts_task_t *bts_stage_view_task (const bts_stage_t *stage, guint index,
                                       bts_task_t *untouched);
bts_task_t *bts_stage_next_task (const bts_stage_t *stage, guint *next);
void bts_stage_trim_tasks (bts_stage_t *stage);
void bts_stage_clear_tasks (bts_stage_t *stage);
gsize bts_stage_tasks_bytes (const bts_stage_t *stage);

void bts_stage_begin_advice (bts_stage_t *stage);
void bts_stage_clear_advice (bts_stage_t *stage);
void bts_stage_record_denied (bts_stage_t *stage, guint worker);
void bts_stage_record_allowed (bts_stage_t *stage, guint worker, const char *ticket, gint64 now_us);
gboolean bts_stage_was_asked (const bts_stage_t *stage, guint worker);
bts_ticket_t *bts_stage_ticket (const bts_stage_t *stage, guint worker);
const char *bts_stage_valid_ticket (const bts_stage_t *stage, guint worker, gint64 now_us);
const Bts__Step *bts_stage_step (const bts_stage_t *stage);
const Bts__Policy *bts_stage_policy (const bts_stage_t *stage);
gboolean bts_stage_is_ready (const bts_stage_t *stage);
gboolean bts_stage_is_done (const bts_stage_t *stage);
guint bts_stage_count_pending (const bts_stage_t *stage);
gboolean bts_stage_has_ended (const bts_stage_t *stage);
void bts_task_set_done (bts_task_t *task);
void bts_task_set_checkpoint (bts_task_t *task, const char *checkpoint);
gboolean bts_task_is_pending (const bts_task_t *task);
char *bts_task_name (const bts_task_t *task);
gboolean bts_task_name_parse (const char *name, char id[BTS_JOB_ID_LEN + 1], guint *occurrence,
                              guint *step, guint *index);

gboolean bts_job_id_is_valid (const char *id);
gboolean bts_accepted_check (const Bts__Accepted *accepted, GError **error);

#endif
