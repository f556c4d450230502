#include "libbamboothread/scheduler/ledger.h"

#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/scheduler/blame.h"
#include "libbamboothread/scheduler/early_ends.h"
#include "libbamboothread/scheduler/job_parts.h"

/* Name for the owner of a term whose claim was deleted before this process could read it. */
#define OWNER_UNKNOWN ""

/**
 * struct bts_ledger_t - the folded journal
 * @jobs: job id to bts_job_t
 * @bars: ids of jobs that were cancelled while the journal didn't hold them
 * @early_ends: ends of jobs that aren't known yet
 * @held: ids of the workers on which the owner holds leases
 * @term: the current term; 0 before the first claim
 * @owner: name of the process that claimed @term, or OWNER_UNKNOWN; NULL before the first claim
 *   and after a resignation
 * @owner_stopped: there is no owner, and the last one renews no leases any more
 * @standing_us: when the newest complete snapshot of the owner of @term was folded; 0 if none was
 * @claim_offset: offset of the claim or resignation that last changed @term or @owner; if the
 *   claim was deleted, of the first record of the term that was read
 * @replaying: whether the records being read may be of any age
 * @read_from: offset from which on all records were folded
 * @next_offset: offset after the newest record folded
 * @complete: whether the state is that of all records, also of those that were deleted before
 *   this process could read them
 * @missing: number of records that were skipped and not made up for by those read since
 * @owner_missing: the same number of the owner, as it says
 * @interference: the newest that an owner has recorded of interference, or NULL
 * @interference_term: term of that owner
 */
struct bts_ledger_t
{
  const bts_ledger_ops_t *ops;
  void *context;
  GHashTable *jobs;
  bts_bars_t *bars;
  bts_early_ends_t *early_ends;
  GHashTable *held;
  guint64 term;
  char *owner;
  gboolean owner_stopped;
  gint64 standing_us;
  gint64 claim_offset;
  gboolean replaying;
  gint64 read_from;
  gint64 next_offset;
  gboolean complete;
  guint64 missing;
  guint64 owner_missing;
  Bts__Interference *interference;
  guint64 interference_term;
};

/**
 * bts_ledger_new() - create an empty ledger
 * @ops: callbacks; must outlive the ledger
 * @context: passed to @ops
 */
bts_ledger_t *
bts_ledger_new (const bts_ledger_ops_t *ops, void *context)
{
  bts_ledger_t *ledger = g_new0 (bts_ledger_t, 1);
  ledger->ops = ops;
  ledger->context = context;
  ledger->complete = TRUE;
  ledger->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)bts_job_free);
  ledger->bars = bts_bars_new ();
  ledger->early_ends = bts_early_ends_new ();
  ledger->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return ledger;
}

void
bts_ledger_free (bts_ledger_t *ledger)
{
  g_hash_table_unref (ledger->jobs);
  bts_bars_free (ledger->bars);
  bts_early_ends_free (ledger->early_ends);
  g_hash_table_unref (ledger->held);
  g_free (ledger->owner);
  if (ledger->interference != NULL)
    bts__interference__free_unpacked (ledger->interference, NULL);
  g_free (ledger);
}

/**
 * bts_ledger_set_replaying() - set whether the records to come may be of any age
 * @ledger: the ledger
 * @replaying: whether they may; if so, the age of jobs' snapshots counts as unknown
 */
void
bts_ledger_set_replaying (bts_ledger_t *ledger, gboolean replaying)
{
  ledger->replaying = replaying;
}

/**
 * bts_ledger_skip() - records were deleted before they could be folded
 * @ledger: the ledger
 * @first: offset of the first record that is kept
 *
 * The ledger is incomplete until a heartbeat says that the records from @first on hold all jobs.
 */
void
bts_ledger_skip (bts_ledger_t *ledger, gint64 first)
{
  ledger->missing += (guint64)(first - ledger->next_offset);
  ledger->read_from = first;
  ledger->next_offset = first;
  ledger->complete = FALSE;
}

/**
 * bts_ledger_is_complete() - whether the ledger holds what all records say
 * @ledger: the ledger
 *
 * Return: FALSE if records were skipped, so that jobs and ends may be missing.
 */
gboolean
bts_ledger_is_complete (const bts_ledger_t *ledger)
{
  return ledger->complete;
}

/**
 * bts_ledger_missing() - number of records that this process lacks
 * @ledger: the ledger
 *
 * Return: how many were skipped since this process last knew all jobs of an owner, and those that
 * that owner lacked.
 */
guint64
bts_ledger_missing (const bts_ledger_t *ledger)
{
  return ledger->missing;
}

/**
 * bts_ledger_is_owner_behind() - whether the owner lacks more records than this process
 * @ledger: the ledger
 */
gboolean
bts_ledger_is_owner_behind (const bts_ledger_t *ledger)
{
  return ledger->owner != NULL && ledger->owner_missing > ledger->missing;
}

/**
 * bts_ledger_set_complete() - take the ledger for complete
 * @ledger: the ledger of an owner: processes that know more would have claimed its term
 */
void
bts_ledger_set_complete (bts_ledger_t *ledger)
{
  ledger->complete = TRUE;
}

/**
 * bts_ledger_read_from() - offset from which on all records were folded
 * @ledger: the ledger
 *
 * Return: the offset; if it isn't 0, the records before it have been deleted.
 */
gint64
bts_ledger_read_from (const bts_ledger_t *ledger)
{
  return ledger->read_from;
}

/**
 * bts_ledger_oldest_needed() - offset of the oldest record that a reader needs to know all jobs
 *   and barred ids
 * @ledger: the ledger
 */
gint64
bts_ledger_oldest_needed (const bts_ledger_t *ledger)
{
  gint64 oldest = bts_bars_oldest_needed (ledger->bars, ledger->next_offset);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    oldest = MIN (oldest, ((const bts_job_t *)value)->snapshot_offset);
  return oldest;
}

/**
 * bts_ledger_next_offset() - offset after the newest record folded
 * @ledger: the ledger
 */
gint64
bts_ledger_next_offset (const bts_ledger_t *ledger)
{
  return ledger->next_offset;
}

/**
 * bts_ledger_stamp() - note in a job that has come in what this process had read by then
 * @ledger: the ledger
 * @job: the job
 */
void
bts_ledger_stamp (const bts_ledger_t *ledger, Bts__Accepted *job)
{
  const bts_bar_t *bar = bts_bars_find (ledger->bars, g_ascii_strtoull (job->id, NULL, 16));
  job->seen = (guint64)ledger->next_offset;
  job->barred_by = bar == NULL ? 0 : (guint64)bar->offset + 1;
}

bts_bars_t *
bts_ledger_bars (const bts_ledger_t *ledger)
{
  return ledger->bars;
}

/**
 * bts_ledger_job() - look up a job
 * @ledger: the ledger
 * @id: id of the job
 *
 * Return: the job, or NULL if there is none with that id.
 */
bts_job_t *
bts_ledger_job (const bts_ledger_t *ledger, const char *id)
{
  return g_hash_table_lookup (ledger->jobs, id);
}

GHashTable *
bts_ledger_jobs (const bts_ledger_t *ledger)
{
  return ledger->jobs;
}

guint64
bts_ledger_term (const bts_ledger_t *ledger)
{
  return ledger->term;
}

/**
 * bts_ledger_owner() - the process that owns the workers
 * @ledger: the ledger
 *
 * Return: the process that claimed the current term, "" if its claim could not be read, or
 * NULL if there is no owner.
 */
const char *
bts_ledger_owner (const bts_ledger_t *ledger)
{
  return ledger->owner;
}

/**
 * bts_ledger_count_held() - number of workers on which the owner has recorded a lease
 * @ledger: the ledger
 */
guint
bts_ledger_count_held (const bts_ledger_t *ledger)
{
  return g_hash_table_size (ledger->held);
}

/**
 * bts_ledger_is_worker_held() - whether the owner has recorded a lease on a worker
 * @ledger: the ledger
 * @worker: id of the worker
 */
gboolean
bts_ledger_is_worker_held (const bts_ledger_t *ledger, const char *worker)
{
  return g_hash_table_contains (ledger->held, worker);
}

/**
 * bts_ledger_is_owner_stopped() - whether the owner has resigned and renews no leases any more
 * @ledger: the ledger
 */
gboolean
bts_ledger_is_owner_stopped (const bts_ledger_t *ledger)
{
  return ledger->owner_stopped;
}

/**
 * bts_ledger_interference() - what an owner has last recorded of interference
 * @ledger: the ledger
 * @term: is set to the term of that owner
 *
 * Return: the record, or NULL if there is none.
 */
const Bts__Interference *
bts_ledger_interference (const bts_ledger_t *ledger, guint64 *term)
{
  *term = ledger->interference_term;
  return ledger->interference;
}

/**
 * bts_ledger_standing_us() - when the newest complete snapshot of the owner was folded
 * @ledger: the ledger
 *
 * Return: the time; 0 if none was in the current term.
 */
gint64
bts_ledger_standing_us (const bts_ledger_t *ledger)
{
  return ledger->standing_us;
}

gint64
bts_ledger_claim_offset (const bts_ledger_t *ledger)
{
  return ledger->claim_offset;
}

/* Adds a job, unless it is known or barred. The job then takes over the message without copying it,
   and the caller's pointer to the message is set to NULL. */
static gboolean
fold_accepted (bts_ledger_t *ledger, Bts__Accepted **accepted, gint64 offset, gint64 now_us,
               GError **error)
{
  if (*accepted == NULL || !bts_accepted_check (*accepted, error))
    return FALSE;
  if (g_hash_table_contains (ledger->jobs, (*accepted)->id)
      || bts_bars_block (ledger->bars, *accepted))
    return TRUE;
  bts_job_t *job = bts_job_new (*accepted, offset, now_us);
  *accepted = NULL;
  if (ledger->replaying)
    job->snapshot_us = 0;
  g_hash_table_insert (ledger->jobs, job->accepted->id, job);
  ledger->ops->job_accepted (ledger->context, job);
  return TRUE;
}

static void
end_job (bts_ledger_t *ledger, bts_job_t *job, gint64 now_us)
{
  if (job->ended_us != 0)
    return;
  job->ended_us = now_us;
  ledger->ops->job_ended (ledger->context, job);
  bts_job_free_start_data (job);
}

static void
fold_cancelled (bts_ledger_t *ledger, const Bts__Cancelled *cancelled, gint64 offset, gint64 now_us)
{
  bts_job_t *job = bts_ledger_job (ledger, cancelled->id);
  if (bts_bars_is_outdated (ledger->bars, cancelled, job == NULL ? NULL : job->accepted))
    return;
  if (job == NULL)
    bts_bars_add (ledger->bars, cancelled, offset, now_us);
  if (job == NULL || bts_job_has_ended (job))
    return;
  job->cancelled = TRUE;
  ledger->ops->job_cancelled (ledger->context, job);
  end_job (ledger, job, now_us);
}

/* Sets the current term and its owner. Every term begins with a claim, so any other record
   of a later term shows that the claim was deleted before this process could read it. */
static void
set_term (bts_ledger_t *ledger, guint64 term, const char *owner, gboolean stopped, gint64 offset)
{
  ledger->term = term;
  g_free (ledger->owner);
  ledger->owner = g_strdup (owner);
  ledger->owner_stopped = stopped;
  ledger->standing_us = 0;
  ledger->claim_offset = offset;
  ledger->ops->owner_changed (ledger->context);
}

/* An owner may know more than this process, which was complete in the eyes of an earlier owner
   and has dropped what that one didn't know. */
static void
set_owner_missing (bts_ledger_t *ledger, guint64 missing)
{
  ledger->owner_missing = missing;
  if (ledger->missing <= missing || !ledger->complete)
    return;
  ledger->complete = FALSE;
  ledger->read_from = ledger->next_offset;
}

static void
fold_claim (bts_ledger_t *ledger, const Bts__Claim *claim, gint64 offset)
{
  if (claim->term <= ledger->term)
    return;
  ledger->ops->node_seen (ledger->context, claim->node);
  set_owner_missing (ledger, claim->missing);
  set_term (ledger, claim->term, claim->node, FALSE, offset);
}

static bts_task_t *
find_task (const bts_ledger_t *ledger, const Bts__Run *run)
{
  char id[BTS_JOB_ID_LEN + 1];
  bts_job_id_from_number (run->job, id);
  bts_job_t *job = bts_ledger_job (ledger, id);
  bts_stage_t *stage = job == NULL ? NULL : bts_job_stage (job, run->occurrence, run->step);
  return stage == NULL || run->index >= stage->n_tasks ? NULL : bts_stage_task (stage, run->index);
}

/* Takes over what an owner has learned of interference, and sets the caller's pointer to NULL.
   Appends of one owner may land in another order than they were sent. */
static void
take_interference (bts_ledger_t *ledger, guint64 term, Bts__Interference **learned)
{
  if (*learned == NULL
      || (ledger->interference != NULL && term == ledger->interference_term
          && (*learned)->number <= ledger->interference->number))
    return;
  if (ledger->interference != NULL)
    bts__interference__free_unpacked (ledger->interference, NULL);
  ledger->interference = *learned;
  ledger->interference_term = term;
  *learned = NULL;
}

static void
fold_resigned (bts_ledger_t *ledger, Bts__Resigned *resigned, gint64 offset)
{
  if (resigned->term < ledger->term || (resigned->term == ledger->term && ledger->owner == NULL))
    return;
  take_interference (ledger, resigned->term, &resigned->interference);
  for (gsize i = 0; i < resigned->n_remnants; i++)
    ledger->ops->worker_remnant (ledger->context, resigned->term, resigned->remnants[i]);
  set_term (ledger, resigned->term, NULL, resigned->stopped, offset);
}

/* All members of a gang end together: one end with outcome "done" completes all of them,
   and the failures of one run's members count once. */
static void
apply_gang_end (bts_stage_t *stage, guint run, bts_run_outcome_t outcome)
{
  if (outcome == BTS_OUTCOME_DONE)
    for (guint i = 0; i < stage->n_tasks; i++)
      bts_task_set_done (bts_stage_task (stage, i));
  if (outcome == BTS_OUTCOME_FAILED && run > stage->gang_failed_run)
    {
      stage->gang_failed_run = run;
      stage->gang_fails++;
    }
}

static void
apply_task_end (bts_task_t *task, bts_run_outcome_t outcome)
{
  if (outcome == BTS_OUTCOME_DONE)
    bts_task_set_done (task);
  if (outcome == BTS_OUTCOME_FAILED)
    task->fails++;
}

static guint
count_failures (const bts_task_t *task)
{
  return bts_stage_step (task->stage)->gang ? task->stage->gang_fails : task->fails;
}

/* Records which record the newest state of a task is in, and whether its occurrence is done since.
 */
static void
note_offset (bts_task_t *task, bts_run_outcome_t outcome, gint64 offset)
{
  bts_stage_t *stage = task->stage;
  task->ended_offset = offset;
  if (outcome == BTS_OUTCOME_DONE && bts_stage_step (stage)->gang)
    for (guint i = 0; i < stage->n_tasks; i++)
      bts_stage_task (stage, i)->ended_offset = offset;
  bts_occurrence_t *occurrence = bts_job_occurrence (stage->job, stage->occurrence);
  if (occurrence->n_done == stage->job->n_tasks && occurrence->done_offset == 0)
    occurrence->done_offset = offset;
}

static void
fold_end (bts_ledger_t *ledger, const Bts__End *end, gint64 offset, gint64 now_us)
{
  char id[BTS_JOB_ID_LEN + 1];
  bts_job_id_from_number (end->job, id);
  bts_job_t *job = bts_ledger_job (ledger, id);
  bts_stage_t *stage = job == NULL ? NULL : bts_job_stage (job, end->occurrence, end->step);
  if (stage == NULL || end->index >= stage->n_tasks || end->how > BTS_OUTCOME_GANG_INCOMPLETE)
    return;
  bts_task_t *task = bts_stage_task (stage, end->index);
  if (end->run <= task->ended_run)
    return;
  task->ended_run = end->run;
  task->last_run = MAX (task->last_run, end->run);
  const Bts__Step *step = bts_stage_step (stage);
  bts_run_outcome_t outcome = (bts_run_outcome_t)end->how;
  bts_task_set_checkpoint (task, end->saved);
  if (!task->done && !step->long_running)
    {
      if (step->gang)
        apply_gang_end (stage, end->run, outcome);
      else
        apply_task_end (task, outcome);
    }
  note_offset (task, outcome, offset);
  job->begun = TRUE;
  if (!step->long_running && !task->done
      && count_failures (task) >= job->accepted->policy->attempts_max)
    job->failed = TRUE;
  ledger->ops->run_ended (ledger->context, task, end->run, outcome);
  if (bts_job_has_ended (job))
    end_job (ledger, job, now_us);
}

/* A task that crashes its workers is given up, and its job with it. */
static void
fold_crash (bts_ledger_t *ledger, const Bts__Crash *crash, gint64 now_us)
{
  bts_task_t *task = crash->run == NULL ? NULL : find_task (ledger, crash->run);
  if (task == NULL || bts_job_has_ended (task->stage->job))
    return;
  bts_blames_read (task, crash);
  if (task->done || crash->points < BTS_CRASH_POINTS_MAX)
    return;
  task->stage->job->failed = TRUE;
  end_job (ledger, task->stage->job, now_us);
}

static void
fold_silent (bts_ledger_t *ledger, const Bts__Silent *silent)
{
  for (gsize i = 0; i < silent->n_starting; i++)
    {
      const bts_task_t *task = find_task (ledger, silent->starting[i]);
      if (task != NULL && !bts_job_has_ended (task->stage->job))
        ledger->ops->worker_silent (ledger->context, silent, task, silent->starting[i]);
    }
}

static void
add_held_workers (bts_ledger_t *ledger, Bts__Held *const *held, gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (g_hash_table_add (ledger->held, g_strdup (held[i]->worker)))
      ledger->ops->worker_held (ledger->context, held[i]);
}

/* Removes the jobs that haven't ended as far as this process knows, and that the owner doesn't
   know: they have ended long ago, in records that were skipped. */
static void
remove_outdated_jobs (bts_ledger_t *ledger, gint64 oldest_needed)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      if (bts_job_has_ended (job) || job->snapshot_offset >= oldest_needed)
        continue;
      ledger->ops->job_removed (ledger->context, job);
      g_hash_table_iter_remove (&iter);
    }
}

/* The owner says which records hold all jobs, unless this process may know more. */
static void
check_complete (bts_ledger_t *ledger, gint64 oldest_needed)
{
  if (ledger->complete || bts_ledger_is_owner_behind (ledger) || oldest_needed < ledger->read_from)
    return;
  ledger->complete = TRUE;
  ledger->missing = ledger->owner_missing;
  remove_outdated_jobs (ledger, oldest_needed);
}

/* Whether an end can be folded: its job and the earlier state of its task are known. */
static gboolean
is_end_due (const bts_ledger_t *ledger, const Bts__End *end)
{
  char id[BTS_JOB_ID_LEN + 1];
  bts_job_id_from_number (end->job, id);
  const bts_job_t *job = bts_ledger_job (ledger, id);
  return job != NULL && bts_job_parts_has_state (job, end->occurrence, end->step, end->index);
}

/* Keeps the ends that can't be folded yet. The heartbeat then lacks them. */
static void
keep_early_ends (bts_ledger_t *ledger, Bts__Beat *heartbeat, gint64 offset, gint64 now_us)
{
  gsize n_left = 0;
  for (gsize i = 0; i < heartbeat->n_ends; i++)
    {
      Bts__End *end = heartbeat->ends[i];
      if (is_end_due (ledger, end))
        heartbeat->ends[n_left++] = end;
      else
        bts_early_ends_add (ledger->early_ends, end, offset, now_us);
    }
  heartbeat->n_ends = n_left;
}

static void
fold_early_ends (bts_ledger_t *ledger, const bts_job_t *job, gint64 now_us)
{
  g_autoptr (GPtrArray) ends = bts_early_ends_take (ledger->early_ends, bts_job_number (job));
  for (guint i = 0; ends != NULL && i < ends->len; i++)
    {
      bts_early_end_t *early = ends->pdata[i];
      if (is_end_due (ledger, early->end))
        fold_end (ledger, early->end, early->offset, now_us);
      else
        bts_early_ends_add (ledger->early_ends, g_steal_pointer (&early->end), early->offset,
                            now_us);
    }
}

static void
fold_heartbeat (bts_ledger_t *ledger, Bts__Beat *heartbeat, gint64 offset, gint64 now_us)
{
  if (heartbeat->term > ledger->term)
    set_term (ledger, heartbeat->term, OWNER_UNKNOWN, FALSE, offset);
  if (heartbeat->term != ledger->term || ledger->owner == NULL)
    return;
  for (gsize i = 0; i < heartbeat->n_begun; i++)
    {
      char id[BTS_JOB_ID_LEN + 1];
      bts_job_id_from_number (heartbeat->begun[i], id);
      bts_job_t *job = bts_ledger_job (ledger, id);
      if (job != NULL)
        job->begun = TRUE;
    }
  add_held_workers (ledger, heartbeat->held, heartbeat->n_held);
  for (gsize i = 0; i < heartbeat->n_released; i++)
    if (g_hash_table_remove (ledger->held, heartbeat->released[i]))
      ledger->ops->worker_released (ledger->context, heartbeat->released[i]);
  keep_early_ends (ledger, heartbeat, offset, now_us);
  for (gsize i = 0; i < heartbeat->n_ends; i++)
    fold_end (ledger, heartbeat->ends[i], offset, now_us);
  for (gsize i = 0; i < heartbeat->n_crashes; i++)
    fold_crash (ledger, heartbeat->crashes[i], now_us);
  for (gsize i = 0; i < heartbeat->n_silent; i++)
    fold_silent (ledger, heartbeat->silent[i]);
  set_owner_missing (ledger, heartbeat->missing);
  check_complete (ledger, (gint64)heartbeat->oldest_needed);
  ledger->ops->heartbeat (ledger->context, heartbeat);
}

static void
merge_task (bts_task_t *task, const Bts__TaskState *state)
{
  bts_stage_t *stage = task->stage;
  if (state->ended_run > task->ended_run)
    bts_task_set_checkpoint (task, state->saved);
  task->ended_run = MAX (task->ended_run, state->ended_run);
  task->last_run = MAX (task->last_run, state->ended_run);
  task->fails = MAX (task->fails, state->fails);
  Bts__Run crash_run = BTS__RUN__INIT;
  crash_run.run = state->crash_run;
  Bts__Crash crash = BTS__CRASH__INIT;
  crash.run = &crash_run;
  crash.points = state->crash_points;
  bts_blames_read (task, state->crash != NULL && state->crash->run != NULL ? state->crash : &crash);
  stage->gang_fails = MAX (stage->gang_fails, state->gang_fails);
  stage->gang_failed_run = MAX (stage->gang_failed_run, state->gang_failed_run);
  if (state->done)
    bts_task_set_done (task);
}

static void
set_tasks_done (bts_job_t *job, const Bts__TaskRange *range)
{
  bts_stage_t *stage = bts_job_stage (job, range->occurrence, range->step);
  for (guint64 i = range->first; stage != NULL && i <= range->last && i < stage->n_tasks; i++)
    bts_task_set_done (bts_stage_task (stage, (guint)i));
}

/* Takes a missing spec from a job's snapshot: the log of specs may have deleted it. */
static void
move_spec (bts_job_t *job, Bts__Accepted *snapshot)
{
  if (job->accepted->spec.len > 0)
    return;
  job->accepted->spec = snapshot->spec;
  snapshot->spec.data = NULL;
  snapshot->spec.len = 0;
}

static void
set_snapshot_read (const bts_ledger_t *ledger, bts_job_t *job, gint64 offset, gint64 now_us)
{
  job->snapshot_us = ledger->replaying ? 0 : now_us;
  job->snapshot_offset = offset;
}

/* An earlier owner may not have read the ends of a later term. Processes of older versions write
   no term. */
static gboolean
is_outdated (const bts_ledger_t *ledger, guint64 term)
{
  return term != 0 && term < ledger->term;
}

/* Only adds to the known state, so a snapshot that is older than records folded before does no
   harm. */
static gboolean
fold_job_snapshot (bts_ledger_t *ledger, Bts__Kept *snapshot, gint64 offset, gint64 now_us,
                   GError **error)
{
  if (snapshot->accepted == NULL)
    {
      g_set_error_literal (error, BT_ERROR, BT_ERROR_INVALID,
                           "a snapshot of a job lacks its Accepted record");
      return FALSE;
    }
  g_autofree char *id = g_strdup (snapshot->accepted->id);
  gboolean is_new = bts_ledger_job (ledger, id) == NULL;
  if (!fold_accepted (ledger, &snapshot->accepted, offset, now_us, error))
    return FALSE;
  bts_job_t *job = bts_ledger_job (ledger, id);
  if (job == NULL)
    return TRUE;
  if (snapshot->accepted != NULL && !bts_job_has_ended (job))
    move_spec (job, snapshot->accepted);
  if (is_new && snapshot->seen != 0)
    {
      job->snapshot_offset = (gint64)snapshot->seen;
      bts_job_parts_begin (job);
    }
  if (bts_job_parts_add (job, snapshot, ledger->read_from))
    set_snapshot_read (ledger, job, snapshot->seen == 0 ? offset : (gint64)snapshot->seen, now_us);
  if (bts_job_has_ended (job))
    return TRUE;
  job->begun = job->begun || snapshot->begun;
  for (gsize i = 0; i < snapshot->n_done; i++)
    bts_job_set_done_range (job, snapshot->done[i]->first, snapshot->done[i]->last);
  for (gsize i = 0; i < snapshot->n_done_tasks; i++)
    set_tasks_done (job, snapshot->done_tasks[i]);
  for (gsize i = 0; i < snapshot->n_tasks; i++)
    {
      const Bts__TaskState *state = snapshot->tasks[i];
      bts_stage_t *stage = bts_job_stage (job, state->occurrence, state->step);
      if (stage != NULL && state->index < stage->n_tasks)
        merge_task (bts_stage_task (stage, state->index), state);
    }
  job->cancelled = job->cancelled || snapshot->cancelled;
  job->failed = job->failed || snapshot->failed;
  fold_early_ends (ledger, job, now_us);
  if (bts_job_has_ended (job))
    end_job (ledger, job, now_us);
  return TRUE;
}

static void
fold_ended_jobs (bts_ledger_t *ledger, const guint64 *numbers, gsize n, bts_job_state_t state,
                 gint64 offset, gint64 now_us)
{
  for (gsize i = 0; i < n; i++)
    {
      char id[BTS_JOB_ID_LEN + 1];
      bts_job_id_from_number (numbers[i], id);
      bts_job_t *job = bts_ledger_job (ledger, id);
      if (job == NULL)
        {
          job = bts_job_new_ended (id, offset, now_us);
          g_hash_table_insert (ledger->jobs, job->accepted->id, job);
        }
      set_snapshot_read (ledger, job, offset, now_us);
      if (!bts_job_has_ended (job))
        bts_job_set_ended (job, state);
      end_job (ledger, job, now_us);
    }
}

static void
fold_ended_snapshot (bts_ledger_t *ledger, const Bts__Ended *ended, gint64 offset, gint64 now_us)
{
  fold_ended_jobs (ledger, ended->completed, ended->n_completed, BTS_JOB_COMPLETED, offset, now_us);
  fold_ended_jobs (ledger, ended->failed, ended->n_failed, BTS_JOB_FAILED, offset, now_us);
  fold_ended_jobs (ledger, ended->cancelled, ended->n_cancelled, BTS_JOB_CANCELLED, offset, now_us);
}

static void
fold_owner_snapshot (bts_ledger_t *ledger, Bts__Standing *snapshot, gint64 offset, gint64 now_us)
{
  if (snapshot->term < ledger->term)
    return;
  take_interference (ledger, snapshot->term, &snapshot->interference);
  add_held_workers (ledger, snapshot->held, snapshot->n_held);
  if (snapshot->term > ledger->term)
    set_term (ledger, snapshot->term, snapshot->node, FALSE, offset);
  else if (g_strcmp0 (ledger->owner, OWNER_UNKNOWN) == 0)
    {
      g_free (ledger->owner);
      ledger->owner = g_strdup (snapshot->node);
    }
  if (snapshot->complete)
    ledger->standing_us = now_us;
}

/**
 * bts_ledger_fold() - fold the next record of the journal
 * @ledger: the ledger
 * @offset: offset of the record
 * @data: the record
 * @len: length of @data in bytes
 * @now_us: the time, in microseconds
 * @error: %BT_ERROR_INVALID if the record is malformed; nothing has changed then
 *
 * Return: whether the record is well-formed. A well-formed record of an earlier term, or one that
 * was folded before, changes neither the state of jobs nor the owner.
 */
gboolean
bts_ledger_fold (bts_ledger_t *ledger, gint64 offset, const guint8 *data, gsize len, gint64 now_us,
                 GError **error)
{
  ledger->next_offset = offset + 1;
  Bts__Record *record = bts__record__unpack (NULL, len, data);
  if (record == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID,
                   "record at offset %" G_GINT64_FORMAT " is malformed", offset);
      return FALSE;
    }
  gboolean ok = TRUE;
  switch (record->kind_case)
    {
    case BTS__RECORD__KIND_ACCEPTED:
      ok = fold_accepted (ledger, &record->accepted, offset, now_us, error);
      break;
    case BTS__RECORD__KIND_CANCELLED:
      fold_cancelled (ledger, record->cancelled, offset, now_us);
      break;
    case BTS__RECORD__KIND_CLAIM:
      fold_claim (ledger, record->claim, offset);
      break;
    case BTS__RECORD__KIND_RESIGNED:
      fold_resigned (ledger, record->resigned, offset);
      break;
    case BTS__RECORD__KIND_BEAT:
      fold_heartbeat (ledger, record->beat, offset, now_us);
      break;
    case BTS__RECORD__KIND_KEPT:
      if (!is_outdated (ledger, record->kept->term))
        ok = fold_job_snapshot (ledger, record->kept, offset, now_us, error);
      break;
    case BTS__RECORD__KIND_ENDED:
      fold_ended_snapshot (ledger, record->ended, offset, now_us);
      break;
    case BTS__RECORD__KIND_BARS:
      bts_bars_fold_snapshot (ledger->bars, record->bars, offset, now_us);
      break;
    case BTS__RECORD__KIND_STANDING:
      fold_owner_snapshot (ledger, record->standing, offset, now_us);
      break;
    case BTS__RECORD__KIND_HELLO:
      ledger->ops->node_hello (ledger->context, record->hello);
      break;
    default:
      break;
    }
  bts__record__free_unpacked (record, NULL);
  return ok;
}

/**
 * bts_ledger_count_pending() - count the jobs of a route that have neither begun nor ended
 * @ledger: the ledger
 * @route: name of the route
 */
guint
bts_ledger_count_pending (const bts_ledger_t *ledger, const char *route)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_job_t *job = value;
      if (!job->begun && !bts_job_has_ended (job)
          && strcmp (job->accepted->policy->route, route) == 0)
        count++;
    }
  return count;
}

/**
 * bts_ledger_remove_ended() - remove the jobs that ended before some time
 * @ledger: the ledger
 * @ended_before_us: the time, in microseconds
 */
void
bts_ledger_remove_ended (bts_ledger_t *ledger, gint64 ended_before_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      if (job->ended_us == 0 || job->ended_us >= ended_before_us)
        continue;
      ledger->ops->job_removed (ledger->context, job);
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * bts_ledger_compact() - free what is held of tasks that were over some time ago
 * @ledger: the ledger
 * @keep_us: how long that is kept, in microseconds
 * @now_us: the time, in microseconds
 *
 * Of occurrences that are done their numbers are left, and of jobs that have ended their states.
 */
void
bts_ledger_compact (bts_ledger_t *ledger, gint64 keep_us, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      if (job->ended_us == 0)
        bts_job_remove_done (job, now_us, keep_us);
      else if (job->accepted->n_steps > 0 && now_us - job->ended_us >= keep_us)
        {
          ledger->ops->job_removed (ledger->context, job);
          bts_job_free_steps (job);
        }
    }
}

/**
 * bts_message_pack() - serialize a record or a message
 * @message: the message, as the base type of all messages
 */
GBytes *
bts_message_pack (const ProtobufCMessage *message)
{
  gsize len = protobuf_c_message_get_packed_size (message);
  guint8 *data = g_malloc (MAX (len, 1));
  protobuf_c_message_pack (message, data);
  return g_bytes_new_take (data, len);
}
