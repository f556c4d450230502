#include "libbamboothread/scheduler/ledger.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/* Owner of a term whose claim was not read. */
#define OWNER_UNKNOWN ""

/**
 * struct bts_ledger_t - the fold of the journal
 * @jobs: id to bts_job_t
 * @held: ids of the workers that the owner holds
 * @term: term of the newest claim; 0 before any
 * @owner: node of that claim, or NULL after it resigned
 * @claim_offset: where that claim stands
 * @replaying: records are read that may be of any age
 */
struct bts_ledger_t
{
  const bts_ledger_ops_t *ops;
  void *context;
  GHashTable *jobs;
  GHashTable *held;
  guint64 term;
  char *owner;
  gint64 claim_offset;
  gboolean replaying;
};

/**
 * bts_ledger_new() - an empty ledger
 * @ops: who is told of what it folds; lives as long as the ledger
 * @context: handed to @ops
 */
bts_ledger_t *
bts_ledger_new (const bts_ledger_ops_t *ops, void *context)
{
  bts_ledger_t *ledger = g_new0 (bts_ledger_t, 1);
  ledger->ops = ops;
  ledger->context = context;
  ledger->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)bts_job_free);
  ledger->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return ledger;
}

void
bts_ledger_free (bts_ledger_t *ledger)
{
  g_hash_table_unref (ledger->jobs);
  g_hash_table_unref (ledger->held);
  g_free (ledger->owner);
  g_free (ledger);
}

/**
 * bts_ledger_set_replaying() - say whether records may be of any age
 * @ledger: the ledger
 * @replaying: whether they may; tickets in them count as too old then
 */
void
bts_ledger_set_replaying (bts_ledger_t *ledger, gboolean replaying)
{
  ledger->replaying = replaying;
}

/**
 * bts_ledger_job() - a job by its id
 * @ledger: the ledger
 * @id: the id
 *
 * Return: the job, or NULL if none is known.
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
 * bts_ledger_owner() - who schedules
 * @ledger: the ledger
 *
 * Return: the node that claimed the present term, or NULL if none holds it.
 */
const char *
bts_ledger_owner (const bts_ledger_t *ledger)
{
  return ledger->owner;
}

/**
 * bts_ledger_is_worker_held() - whether the journal tells that a worker is held
 * @ledger: the ledger
 * @worker: its id
 */
gboolean
bts_ledger_is_worker_held (const bts_ledger_t *ledger, const char *worker)
{
  return g_hash_table_contains (ledger->held, worker);
}

gint64
bts_ledger_claim_offset (const bts_ledger_t *ledger)
{
  return ledger->claim_offset;
}

/* Takes the message over, so that the job keeps it without a copy. */
static gboolean
fold_accepted (bts_ledger_t *ledger, Bts__Accepted **accepted, gint64 offset, gint64 now_us,
               GError **error)
{
  if (*accepted == NULL || !bts_accepted_check (*accepted, error))
    return FALSE;
  if (g_hash_table_contains (ledger->jobs, (*accepted)->id))
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
close_job (bts_ledger_t *ledger, bts_job_t *job, gint64 now_us)
{
  if (job->ended_us != 0)
    return;
  job->ended_us = now_us;
  ledger->ops->job_ended (ledger->context, job);
  bts_job_free_start_data (job);
}

static void
fold_cancelled (bts_ledger_t *ledger, const Bts__Cancelled *cancelled, gint64 now_us)
{
  bts_job_t *job = bts_ledger_job (ledger, cancelled->id);
  if (job == NULL || bts_job_has_ended (job))
    return;
  job->cancelled = TRUE;
  ledger->ops->job_cancelled (ledger->context, job);
  close_job (ledger, job, now_us);
}

/* Every term begins with a claim, so that a record of a later term than the one known
   shows that the claim was deleted before this process could read it. */
static void
adopt_term (bts_ledger_t *ledger, guint64 term, const char *owner, gint64 offset)
{
  ledger->term = term;
  g_free (ledger->owner);
  ledger->owner = g_strdup (owner);
  ledger->claim_offset = offset;
  ledger->ops->owner_changed (ledger->context);
}

static void
fold_claim (bts_ledger_t *ledger, const Bts__Claim *claim, gint64 offset)
{
  if (claim->term <= ledger->term)
    return;
  ledger->ops->node_seen (ledger->context, claim->node);
  adopt_term (ledger, claim->term, claim->node, offset);
}

static void
fold_resigned (bts_ledger_t *ledger, const Bts__Resigned *resigned, gint64 offset)
{
  if (resigned->term > ledger->term || (resigned->term == ledger->term && ledger->owner != NULL))
    adopt_term (ledger, resigned->term, NULL, offset);
}

/* All members of a gang end together: one done end stands for all, one failed
   end of a run counts once. */
static void
end_gang (bts_stage_t *stage, guint run, bts_run_outcome_t how)
{
  if (how == BTS_OUTCOME_DONE)
    for (guint i = 0; i < stage->n_tasks; i++)
      stage->tasks[i].done = TRUE;
  if (how == BTS_OUTCOME_DONE)
    stage->n_done = stage->n_tasks;
  if (how == BTS_OUTCOME_FAILED && run > stage->gang_failed_run)
    {
      stage->gang_failed_run = run;
      stage->gang_fails++;
    }
}

static void
end_task (bts_task_t *task, bts_run_outcome_t how)
{
  if (how == BTS_OUTCOME_DONE)
    {
      task->done = TRUE;
      task->stage->n_done++;
    }
  if (how == BTS_OUTCOME_FAILED)
    task->fails++;
}

static guint
count_failed (const bts_task_t *task)
{
  return bts_stage_step (task->stage)->gang ? task->stage->gang_fails : task->fails;
}

static void
fold_end (bts_ledger_t *ledger, const Bts__End *end, gint64 now_us)
{
  char id[BTS_JOB_ID_LEN + 1];
  bts_job_id_from_number (end->job, id);
  bts_job_t *job = bts_ledger_job (ledger, id);
  bts_stage_t *stage = job == NULL ? NULL : bts_job_stage (job, end->occurrence, end->step);
  if (stage == NULL || end->index >= stage->n_tasks || end->how > BTS_OUTCOME_GANG_INCOMPLETE)
    return;
  bts_task_t *task = &stage->tasks[end->index];
  if (end->run <= task->ended_run)
    return;
  task->ended_run = end->run;
  task->last_run = MAX (task->last_run, end->run);
  const Bts__Step *step = bts_stage_step (stage);
  bts_run_outcome_t how = (bts_run_outcome_t)end->how;
  guint had = stage->n_done;
  bts_task_set_checkpoint (task, end->saved);
  if (!task->done && !step->long_running)
    {
      if (step->gang)
        end_gang (stage, end->run, how);
      else
        end_task (task, how);
    }
  job->begun = TRUE;
  bts_occurrence_t *occurrence = bts_job_occurrence (job, end->occurrence);
  occurrence->n_done += stage->n_done - had;
  if (stage->n_done != had && occurrence->n_done == job->n_tasks)
    job->n_occurrences_done++;
  if (!step->long_running && !task->done
      && count_failed (task) >= job->accepted->policy->attempts_max)
    job->failed = TRUE;
  ledger->ops->run_ended (ledger->context, task, end->run, how);
  if (bts_job_has_ended (job))
    close_job (ledger, job, now_us);
}

static void
add_held (bts_ledger_t *ledger, Bts__Held *const *held, gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (g_hash_table_add (ledger->held, g_strdup (held[i]->worker)))
      ledger->ops->worker_held (ledger->context, held[i]);
}

static void
fold_beat (bts_ledger_t *ledger, const Bts__Beat *beat, gint64 offset, gint64 now_us)
{
  if (beat->term > ledger->term)
    adopt_term (ledger, beat->term, OWNER_UNKNOWN, offset);
  if (beat->term != ledger->term || ledger->owner == NULL)
    return;
  for (gsize i = 0; i < beat->n_begun; i++)
    {
      char id[BTS_JOB_ID_LEN + 1];
      bts_job_id_from_number (beat->begun[i], id);
      bts_job_t *job = bts_ledger_job (ledger, id);
      if (job != NULL)
        job->begun = TRUE;
    }
  add_held (ledger, beat->held, beat->n_held);
  for (gsize i = 0; i < beat->n_released; i++)
    if (g_hash_table_remove (ledger->held, beat->released[i]))
      ledger->ops->worker_released (ledger->context, beat->released[i]);
  for (gsize i = 0; i < beat->n_ends; i++)
    fold_end (ledger, beat->ends[i], now_us);
  ledger->ops->heartbeat (ledger->context, beat->number, beat->append_ms);
}

static void
merge_task (bts_task_t *task, const Bts__TaskState *state)
{
  bts_stage_t *stage = task->stage;
  bts_job_t *job = stage->job;
  if (state->ended_run > task->ended_run)
    bts_task_set_checkpoint (task, state->saved);
  task->ended_run = MAX (task->ended_run, state->ended_run);
  task->last_run = MAX (task->last_run, state->ended_run);
  task->fails = MAX (task->fails, state->fails);
  stage->gang_fails = MAX (stage->gang_fails, state->gang_fails);
  stage->gang_failed_run = MAX (stage->gang_failed_run, state->gang_failed_run);
  if (!state->done || task->done)
    return;
  bts_occurrence_t *occurrence = bts_job_occurrence (job, stage->occurrence);
  task->done = TRUE;
  stage->n_done++;
  if (++occurrence->n_done == job->n_tasks)
    job->n_occurrences_done++;
}

/* A kept job has its spec with it: the log of specs may have deleted it. */
static void
take_spec (bts_job_t *job, Bts__Accepted *kept)
{
  if (job->accepted->spec.len > 0)
    return;
  job->accepted->spec = kept->spec;
  kept->spec.data = NULL;
  kept->spec.len = 0;
}

/* Only adds to what is known, so that one that is older than other records does no harm. */
static gboolean
fold_kept (bts_ledger_t *ledger, Bts__Kept *kept, gint64 offset, gint64 now_us, GError **error)
{
  if (kept->accepted == NULL)
    {
      g_set_error_literal (error, BT_ERROR, BT_ERROR_INVALID, "a kept job without its record");
      return FALSE;
    }
  g_autofree char *id = g_strdup (kept->accepted->id);
  if (!fold_accepted (ledger, &kept->accepted, offset, now_us, error))
    return FALSE;
  bts_job_t *job = bts_ledger_job (ledger, id);
  if (kept->accepted != NULL && !bts_job_has_ended (job))
    take_spec (job, kept->accepted);
  job->snapshot_us = ledger->replaying ? 0 : now_us;
  if (bts_job_has_ended (job))
    return TRUE;
  job->begun = job->begun || kept->begun;
  for (gsize i = 0; i < kept->n_tasks; i++)
    {
      const Bts__TaskState *state = kept->tasks[i];
      bts_stage_t *stage = bts_job_stage (job, state->occurrence, state->step);
      if (stage != NULL && state->index < stage->n_tasks)
        merge_task (&stage->tasks[state->index], state);
    }
  job->cancelled = job->cancelled || kept->cancelled;
  job->failed = job->failed || kept->failed;
  if (bts_job_has_ended (job))
    close_job (ledger, job, now_us);
  return TRUE;
}

static void
fold_standing (bts_ledger_t *ledger, const Bts__Standing *standing, gint64 offset)
{
  if (standing->term < ledger->term)
    return;
  add_held (ledger, standing->held, standing->n_held);
  if (standing->term > ledger->term)
    adopt_term (ledger, standing->term, standing->node, offset);
  else if (g_strcmp0 (ledger->owner, OWNER_UNKNOWN) == 0)
    {
      g_free (ledger->owner);
      ledger->owner = g_strdup (standing->node);
    }
}

/* Whether a record, by its first byte, only counts for seconds: signs of the past need
   not even be unpacked. */
static gboolean
is_short_lived (guint8 tag)
{
  return tag >> 3 == BTS__RECORD__KIND_HELLO;
}

/**
 * bts_ledger_fold() - take up the next record of the journal
 * @ledger: the ledger
 * @offset: the record's offset
 * @data: its bytes, @len of them
 * @len: number of bytes
 * @now_us: the time, in microseconds
 * @error: %BT_ERROR_INVALID if it is no record of ours; nothing has changed then
 *
 * Return: whether the record could be read. One that no longer counts, because
 * of its term or because it was folded before, is read and has no effect.
 */
gboolean
bts_ledger_fold (bts_ledger_t *ledger, gint64 offset, const guint8 *data, gsize len, gint64 now_us,
                 GError **error)
{
  if (ledger->replaying && len > 0 && is_short_lived (data[0]))
    return TRUE;
  Bts__Record *record = bts__record__unpack (NULL, len, data);
  if (record == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "record %" G_GINT64_FORMAT " can't be read",
                   offset);
      return FALSE;
    }
  gboolean ok = TRUE;
  switch (record->kind_case)
    {
    case BTS__RECORD__KIND_ACCEPTED:
      ok = fold_accepted (ledger, &record->accepted, offset, now_us, error);
      break;
    case BTS__RECORD__KIND_CANCELLED:
      fold_cancelled (ledger, record->cancelled, now_us);
      break;
    case BTS__RECORD__KIND_CLAIM:
      fold_claim (ledger, record->claim, offset);
      break;
    case BTS__RECORD__KIND_RESIGNED:
      fold_resigned (ledger, record->resigned, offset);
      break;
    case BTS__RECORD__KIND_BEAT:
      fold_beat (ledger, record->beat, offset, now_us);
      break;
    case BTS__RECORD__KIND_KEPT:
      ok = fold_kept (ledger, record->kept, offset, now_us, error);
      break;
    case BTS__RECORD__KIND_STANDING:
      fold_standing (ledger, record->standing, offset);
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
 * bts_ledger_count_pending() - jobs of a route of which nothing has started
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
 * bts_ledger_remove_ended() - drop jobs that ended long ago
 * @ledger: the ledger
 * @before_us: jobs that ended before this time go
 */
void
bts_ledger_remove_ended (bts_ledger_t *ledger, gint64 before_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      if (job->ended_us == 0 || job->ended_us >= before_us)
        continue;
      ledger->ops->job_removed (ledger->context, job);
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * bts_message_pack() - the bytes of a record or a message
 * @message: its base
 */
GBytes *
bts_message_pack (const ProtobufCMessage *message)
{
  gsize len = protobuf_c_message_get_packed_size (message);
  guint8 *data = g_malloc (MAX (len, 1));
  protobuf_c_message_pack (message, data);
  return g_bytes_new_take (data, len);
}
