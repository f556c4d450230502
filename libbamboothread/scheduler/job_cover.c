#include "libbamboothread/scheduler/job_cover.h"

static gint
compare_places (const Bts__TaskState *state, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (state->occurrence != stage->occurrence)
    return state->occurrence < stage->occurrence ? -1 : 1;
  if (state->step != stage->step)
    return state->step < stage->step ? -1 : 1;
  return state->index < task->index ? -1 : state->index > task->index;
}

/* Whether the record at an offset is one that the owner had still to read. */
static gboolean
is_unseen (const Bts__Kept *snapshot, gint64 offset)
{
  return snapshot->seen != 0 && offset >= (gint64)snapshot->seen;
}

/* Whether a snapshot holds all that is known of a task. Its states are in the order of the tasks;
   @next is moved on to that of the task. */
static gboolean
covers_task (const Bts__Kept *snapshot, gsize *next, const bts_task_t *task)
{
  if (is_unseen (snapshot, task->ended_offset))
    return TRUE;
  while (*next < snapshot->n_tasks && compare_places (snapshot->tasks[*next], task) < 0)
    (*next)++;
  if (*next == snapshot->n_tasks || compare_places (snapshot->tasks[*next], task) > 0)
    return task->ended_run == 0 && !task->done;
  const Bts__TaskState *state = snapshot->tasks[*next];
  return state->ended_run >= task->ended_run && (state->done || !task->done);
}

static gboolean
is_occurrence_done (const bts_job_t *job, guint number)
{
  return bts_ranges_contains (job->done, number, number);
}

/**
 * bts_kept_read_done() - the occurrences that are done according to a snapshot
 * @snapshot: the snapshot
 */
bts_ranges_t *
bts_kept_read_done (const Bts__Kept *snapshot)
{
  bts_ranges_t *done = bts_ranges_new ();
  for (gsize i = 0; i < snapshot->n_done; i++)
    if (snapshot->done[i]->first <= snapshot->done[i]->last)
      bts_ranges_add (done, snapshot->done[i]->first, snapshot->done[i]->last);
  return done;
}

/* Whether an occurrence became done in a record that the owner had still to read. */
static gboolean
is_done_unseen (const Bts__Kept *snapshot, const bts_job_t *job, guint number)
{
  const bts_occurrence_t *occurrence = bts_job_occurrence (job, number);
  return occurrence != NULL && is_unseen (snapshot, occurrence->done_offset);
}

/* Whether a snapshot says of all occurrences that are done that they are. */
static gboolean
covers_done (const Bts__Kept *snapshot, const bts_job_t *job)
{
  g_autoptr (bts_ranges_t) said = bts_kept_read_done (snapshot);
  guint n;
  const bts_range_t *done = bts_ranges_list (job->done, &n);
  for (guint i = 0; i < n; i++)
    {
      guint number = bts_ranges_next_missing (said, done[i].first);
      while (number <= done[i].last && is_done_unseen (snapshot, job, number))
        number = bts_ranges_next_missing (said, number + 1);
      if (number <= done[i].last)
        return FALSE;
    }
  return TRUE;
}

/* Whether a snapshot says that a job has ended as it has. */
static gboolean
covers_end (const Bts__Kept *snapshot, const bts_job_t *job)
{
  g_autoptr (bts_ranges_t) said = bts_kept_read_done (snapshot);
  switch (bts_job_state (job))
    {
    case BTS_JOB_COMPLETED:
      return bts_ranges_count (said) == bts_job_count_occurrences (job);
    case BTS_JOB_FAILED:
      return snapshot->failed;
    default:
      return snapshot->cancelled;
    }
}

/**
 * bts_job_is_covered() - whether a snapshot holds all that is known of a job
 * @job: the job
 * @snapshot: the snapshot; what is in records that its owner had still to read may be missing
 */
gboolean
bts_job_is_covered (const bts_job_t *job, const Bts__Kept *snapshot)
{
  if (bts_job_has_ended (job))
    return covers_end (snapshot, job);
  if (!covers_done (snapshot, job))
    return FALSE;
  gsize next = 0;
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    if (!is_occurrence_done (job, task->stage->occurrence) && !covers_task (snapshot, &next, task))
      return FALSE;
  return TRUE;
}
