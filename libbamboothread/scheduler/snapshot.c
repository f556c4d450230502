#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

/*
 * Snapshots of jobs and of the owner. The log deletes records after its retention
 * time. Before that the owner appends the state of each job (a Kept record) and
 * of itself with the workers that it holds (a Standing record) again, so that a
 * process that starts later still reads them. A snapshot changes nothing in a
 * process that has folded the earlier records.
 */

/* Snapshots of a job in one retention time of the log: a reader that starts at the oldest record
   kept finds at least two of each job. */
#define SNAPSHOTS_PER_RETENTION 3
/* Jobs whose last snapshot has an unknown age are due once the snapshot interval divided by
   this has passed in the owner's term. */
#define UNKNOWN_AGE_DIVISOR 10
/* Most job snapshots per check; spreads them over time. */
#define JOBS_PER_CHECK_MAX 20
/* Time after which a snapshot that wasn't read back is appended again, in microseconds. */
#define SNAPSHOT_RETRY_US (1000 * 1000)
/* Time between two checks for snapshots that are due, in microseconds. */
#define CHECK_INTERVAL_US (200 * 1000)

static void
add_task_state (GPtrArray *states, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (task->ended_run == 0 && !task->done && stage->gang_fails == 0)
    return;
  Bts__TaskState *state = g_new0 (Bts__TaskState, 1);
  bts__task_state__init (state);
  state->occurrence = stage->occurrence;
  state->step = stage->step;
  state->index = task->index;
  state->done = task->done;
  state->fails = task->fails;
  state->ended_run = task->ended_run;
  state->saved = task->checkpoint == NULL ? (char *)"" : task->checkpoint;
  state->gang_fails = stage->gang_fails;
  state->gang_failed_run = stage->gang_failed_run;
  g_ptr_array_add (states, state);
}

static void
append_job_snapshot (bts_sched_t *sched, const bts_job_t *job)
{
  g_autoptr (GPtrArray) states = g_ptr_array_new_with_free_func (g_free);
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const bts_occurrence_t *occurrence = job->occurrences->pdata[k];
      for (gsize i = 0; occurrence != NULL && i < job->accepted->n_steps; i++)
        for (guint t = 0; t < occurrence->stages[i].n_tasks; t++)
          add_task_state (states, &occurrence->stages[i].tasks[t]);
    }
  Bts__Kept kept = BTS__KEPT__INIT;
  kept.accepted = job->accepted;
  kept.begun = job->begun;
  kept.cancelled = job->cancelled;
  kept.failed = job->failed;
  kept.n_tasks = states->len;
  kept.tasks = (Bts__TaskState **)states->pdata;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_KEPT;
  record.kept = &kept;
  sched->ops->append (sched->context, &record);
}

static void
add_held_worker (GPtrArray *held, const bts_worker_t *worker)
{
  Bts__Held *message = g_new0 (Bts__Held, 1);
  bts__held__init (message);
  message->worker = worker->entry->id;
  message->address = worker->entry->address;
  message->service = worker->entry->service;
  g_ptr_array_add (held, message);
}

static void
append_owner_snapshot (bts_sched_t *sched)
{
  g_autoptr (GPtrArray) held = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (bts_ledger_is_worker_held (sched->ledger, ((bts_worker_t *)value)->entry->id))
      add_held_worker (held, value);
  Bts__Standing standing = BTS__STANDING__INIT;
  standing.term = sched->term;
  standing.node = (char *)bts_ledger_owner (sched->ledger);
  standing.n_held = held->len;
  standing.held = (Bts__Held **)held->pdata;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_STANDING;
  record.standing = &standing;
  sched->ops->append (sched->context, &record);
}

/**
 * bts_snapshot_tick() - append the snapshots that are due
 * @sched: a leading scheduler
 */
void
bts_snapshot_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  gint64 interval_us = (gint64)sched->config.retention_ms * 1000 / SNAPSHOTS_PER_RETENTION;
  if (sched->config.retention_ms == 0 || now_us - sched->snapshot_checked_us < CHECK_INTERVAL_US)
    return;
  sched->snapshot_checked_us = now_us;
  if (sched->standing_written_us < sched->term_began_us
      || now_us - sched->standing_written_us >= interval_us)
    {
      sched->standing_written_us = now_us;
      append_owner_snapshot (sched);
    }
  /* The newest snapshot of a job that was read in a replay may be of any age. The owner appends one
     early in its term, since owners may replace each other before a full interval has passed. */
  gint64 assumed_us = sched->term_began_us - interval_us + interval_us / UNKNOWN_AGE_DIVISOR;
  guint n_appended = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (n_appended < JOBS_PER_CHECK_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      gint64 last_us = job->snapshot_us == 0 ? assumed_us : job->snapshot_us;
      if (now_us - last_us < interval_us || now_us - job->snapshot_sent_us < SNAPSHOT_RETRY_US)
        continue;
      job->snapshot_sent_us = now_us;
      append_job_snapshot (sched, job);
      n_appended++;
    }
}
