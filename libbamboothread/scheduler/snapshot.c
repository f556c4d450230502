#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

/*
 * The log deletes records after some time. The owner writes each job, and what it
 * holds, once more before that, so that a process that starts later still finds
 * them. Records that others have folded already change nothing there.
 */

/* Records are written again after this part of the time that the log keeps them: a
   reader that begins anywhere finds two of each job. */
#define KEEP_PART 3
/* Part of that time after which an owner writes jobs of which it doesn't know the age. */
#define UNKNOWN_PART 10
/* Jobs written in one look at what is due; spreads them over time. */
#define JOBS_MAX 20
/* Time after which a record that hasn't come back is written again, in microseconds. */
#define RETRY_US (1000 * 1000)
/* Time between two looks at what is due, in microseconds. */
#define LOOK_US (200 * 1000)

static void
add_task (GPtrArray *states, const bts_task_t *task)
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
write_job (bts_sched_t *sched, const bts_job_t *job)
{
  g_autoptr (GPtrArray) states = g_ptr_array_new_with_free_func (g_free);
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const bts_occurrence_t *occurrence = job->occurrences->pdata[k];
      for (gsize i = 0; occurrence != NULL && i < job->accepted->n_steps; i++)
        for (guint t = 0; t < occurrence->stages[i].n_tasks; t++)
          add_task (states, &occurrence->stages[i].tasks[t]);
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
add_worker (GPtrArray *held, const bts_worker_t *worker)
{
  Bts__Held *one = g_new0 (Bts__Held, 1);
  bts__held__init (one);
  one->worker = worker->entry->id;
  one->address = worker->entry->address;
  one->service = worker->entry->service;
  g_ptr_array_add (held, one);
}

static void
write_standing (bts_sched_t *sched)
{
  g_autoptr (GPtrArray) held = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (bts_ledger_is_worker_held (sched->ledger, ((bts_worker_t *)value)->entry->id))
      add_worker (held, value);
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
 * bts_snapshot_tick() - write once more what the log will delete
 * @sched: a leading scheduler
 */
void
bts_snapshot_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  gint64 age_us = (gint64)sched->config.retention_ms * 1000 / KEEP_PART;
  if (sched->config.retention_ms == 0 || now_us - sched->snapshot_checked_us < LOOK_US)
    return;
  sched->snapshot_checked_us = now_us;
  if (sched->standing_written_us < sched->term_began_us
      || now_us - sched->standing_written_us >= age_us)
    {
      sched->standing_written_us = now_us;
      write_standing (sched);
    }
  /* What was read again may be of any age, and owners may follow each other quickly. */
  gint64 unknown_us = sched->term_began_us - age_us + age_us / UNKNOWN_PART;
  guint written = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (written < JOBS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      gint64 kept_us = job->snapshot_us == 0 ? unknown_us : job->snapshot_us;
      if (now_us - kept_us < age_us || now_us - job->snapshot_sent_us < RETRY_US)
        continue;
      job->snapshot_sent_us = now_us;
      write_job (sched, job);
      written++;
    }
}
