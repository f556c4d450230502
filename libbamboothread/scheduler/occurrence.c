#include "libbamboothread/scheduler/job.h"

#include "libbamboothread/scheduler/crash.h"

/*
 * The occurrences of a job. Only those that are being worked on are kept as objects, in ascending
 * order. Of those that are done long ago only the numbers are kept, as ranges.
 */

static bts_occurrence_t *
occurrence_new (bts_job_t *job, guint number)
{
  const Bts__Accepted *accepted = job->accepted;
  bts_occurrence_t *occurrence = g_new0 (bts_occurrence_t, 1);
  occurrence->number = number;
  occurrence->stages = g_new0 (bts_stage_t, accepted->n_steps);
  for (gsize i = 0; i < accepted->n_steps; i++)
    {
      bts_stage_t *stage = &occurrence->stages[i];
      stage->job = job;
      stage->occurrence = number;
      stage->step = (guint)i;
      stage->n_tasks = accepted->steps[i]->count;
    }
  return occurrence;
}

static void
occurrence_free (bts_occurrence_t *occurrence, gsize n_steps)
{
  for (gsize i = 0; i < n_steps; i++)
    {
      bts_stage_t *stage = &occurrence->stages[i];
      bts_stage_clear_tasks (stage);
      bts_stage_clear_advice (stage);
      g_free (stage->advice_node);
    }
  g_free (occurrence->stages);
  g_free (occurrence);
}

/* Index of the first live occurrence whose number is @number or higher. */
static guint
find_occurrence (const bts_job_t *job, guint number)
{
  guint low = 0;
  guint high = job->occurrences->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (((const bts_occurrence_t *)job->occurrences->pdata[middle])->number < number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/**
 * bts_job_occurrence() - look up an occurrence
 * @job: the job
 * @number: its number
 *
 * Return: the occurrence, or NULL if it hasn't been created, or was removed after it was done.
 */
bts_occurrence_t *
bts_job_occurrence (const bts_job_t *job, guint number)
{
  guint i = find_occurrence (job, number);
  bts_occurrence_t *found = i < job->occurrences->len ? job->occurrences->pdata[i] : NULL;
  return found != NULL && found->number == number ? found : NULL;
}

/**
 * bts_job_ensure_occurrence() - look up an occurrence, or create it
 * @job: the job
 * @number: its number, below bts_job_count_occurrences(); if it is done, it must still be there
 */
bts_occurrence_t *
bts_job_ensure_occurrence (bts_job_t *job, guint number)
{
  bts_occurrence_t *occurrence = bts_job_occurrence (job, number);
  if (occurrence == NULL)
    {
      occurrence = occurrence_new (job, number);
      g_ptr_array_insert (job->occurrences, (gint)find_occurrence (job, number), occurrence);
    }
  return occurrence;
}

/**
 * bts_job_stage() - the stage of a step and occurrence; creates the occurrence if needed
 * @job: the job
 * @number: number of the occurrence
 * @step: number of the step
 *
 * Return: the stage, or NULL if the job has no such step or occurrence, or the occurrence was
 * removed after it was done.
 */
bts_stage_t *
bts_job_stage (bts_job_t *job, guint number, guint step)
{
  if (number >= bts_job_count_occurrences (job) || step >= job->accepted->n_steps)
    return NULL;
  if (bts_ranges_contains (job->done, number, number) && bts_job_occurrence (job, number) == NULL)
    return NULL;
  return &bts_job_ensure_occurrence (job, number)->stages[step];
}

/**
 * bts_job_next_stage() - walk the stages of the occurrences that are being worked on
 * @job: the job, whose occurrences must not change during the walk
 * @walk: state of the walk, zeroed at first
 *
 * Return: the next stage in the order of occurrences and steps, or NULL at the end.
 */
bts_stage_t *
bts_job_next_stage (const bts_job_t *job, bts_stage_walk_t *walk)
{
  if (walk->step == job->accepted->n_steps)
    {
      walk->occurrence++;
      walk->step = 0;
    }
  if (walk->occurrence >= job->occurrences->len || job->accepted->n_steps == 0)
    return NULL;
  bts_occurrence_t *occurrence = job->occurrences->pdata[walk->occurrence];
  return &occurrence->stages[walk->step++];
}

/**
 * bts_job_next_task() - walk the tasks to which something may have happened
 * @job: the job, whose occurrences must not change during the walk
 * @walk: state of the walk, zeroed at first
 *
 * Return: the next task in the order of occurrences, steps and numbers, or NULL at the end.
 */
bts_task_t *
bts_job_next_task (const bts_job_t *job, bts_task_walk_t *walk)
{
  bts_task_t *task = NULL;
  while (task == NULL)
    {
      if (walk->stage == NULL)
        {
          walk->stage = bts_job_next_stage (job, &walk->stages);
          walk->task = 0;
        }
      if (walk->stage == NULL)
        return NULL;
      task = bts_stage_next_task (walk->stage, &walk->task);
      if (task == NULL)
        walk->stage = NULL;
    }
  return task;
}

/**
 * bts_job_set_done_range() - record that occurrences are done according to a snapshot
 * @job: the job
 * @first: number of the first of them
 * @last: number of the last of them; ranges that the job doesn't have are passed over
 */
void
bts_job_set_done_range (bts_job_t *job, guint first, guint last)
{
  if (first > last || last >= bts_job_count_occurrences (job))
    return;
  for (guint i = find_occurrence (job, first); i < job->occurrences->len; i++)
    {
      bts_occurrence_t *occurrence = job->occurrences->pdata[i];
      if (occurrence->number > last)
        break;
      for (gsize step = 0; step < job->accepted->n_steps; step++)
        for (guint t = 0; t < occurrence->stages[step].n_tasks; t++)
          bts_task_set_done (bts_stage_task (&occurrence->stages[step], t));
    }
  bts_ranges_add (job->done, first, last);
}

static gboolean
is_occurrence_done (const bts_job_t *job, const bts_occurrence_t *occurrence)
{
  return bts_ranges_contains (job->done, occurrence->number, occurrence->number);
}

/* Whether the owner may still refer to an occurrence, apart from runs. */
static gboolean
is_referenced (const bts_job_t *job, const bts_occurrence_t *occurrence)
{
  for (gsize i = 0; i < job->accepted->n_steps; i++)
    {
      const bts_stage_t *stage = &occurrence->stages[i];
      if (stage->queued || stage->prefetching)
        return TRUE;
      const bts_task_t *task;
      for (guint t = 0; (task = bts_stage_next_task (stage, &t)) != NULL;)
        if (task->run != NULL || task->pending_end_run != 0)
          return TRUE;
    }
  return FALSE;
}

/**
 * bts_job_remove_done() - remove the occurrences that have been done for some time
 * @job: the job
 * @now_us: the current time
 * @keep_us: how long occurrences are kept after this function has first seen that they are done
 */
void
bts_job_remove_done (bts_job_t *job, gint64 now_us, gint64 keep_us)
{
  guint n_kept = 0;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      bts_occurrence_t *occurrence = job->occurrences->pdata[i];
      gboolean done = is_occurrence_done (job, occurrence);
      if (done && occurrence->done_us == 0)
        occurrence->done_us = now_us;
      if (!done || now_us - occurrence->done_us < keep_us || is_referenced (job, occurrence))
        job->occurrences->pdata[n_kept++] = occurrence;
      else
        occurrence_free (occurrence, job->accepted->n_steps);
    }
  g_ptr_array_set_size (job->occurrences, (gint)n_kept);
}

/**
 * bts_job_clear_occurrences() - free all occurrences of a job
 * @job: the job; nothing may refer to them
 */
void
bts_job_clear_occurrences (bts_job_t *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    occurrence_free (job->occurrences->pdata[i], job->accepted->n_steps);
  g_ptr_array_set_size (job->occurrences, 0);
}

/**
 * bts_job_clear_owner_state() - forget what the owner of a term alone knows of a job
 * @job: the job
 */
void
bts_job_clear_owner_state (bts_job_t *job)
{
  bts_stage_walk_t stages = { 0 };
  bts_stage_t *stage;
  while ((stage = bts_job_next_stage (job, &stages)) != NULL)
    {
      stage->queued = FALSE;
      stage->waiting_since_us = 0;
      stage->retry_us = 0;
      stage->quota_since_us = 0;
      stage->reserving = FALSE;
      stage->reservation = (bts_reservation_t){ 0 };
      stage->lacks_room = FALSE;
      stage->advice_asked_us = 0;
      stage->prefetch_us = 0;
      stage->prefetching = FALSE;
      stage->backoff_until_us = 0;
    }
  bts_task_walk_t tasks = { 0 };
  bts_task_t *task;
  while ((task = bts_job_next_task (job, &tasks)) != NULL)
    {
      task->run = NULL;
      task->pending_end_run = 0;
      /* A later owner may have kept a run that this one gave up. */
      task->lost_run = 0;
      task->done_pending = FALSE;
      bts_crash_clear (task);
    }
  job->n_runs = 0;
  job->next_occurrence = 0;
  job->opened_us = 0;
  job->begun_reported = FALSE;
}
