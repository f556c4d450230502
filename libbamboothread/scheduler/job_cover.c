#include "libbamboothread/scheduler/job_cover.h"

/**
 * struct cursor_t - the next items of a snapshot, which are in the order of the tasks
 * @state: index of a state of a task
 * @range: index of a range of tasks that are done
 */
typedef struct
{
  gsize state;
  gsize range;
} cursor_t;

static gint
compare_numbers (guint64 left, guint64 right)
{
  return left < right ? -1 : left > right;
}

/* Orders the place of a task against another one. */
static gint
compare_place (guint occurrence, guint step, guint index, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  gint order = compare_numbers (occurrence, stage->occurrence);
  if (order == 0)
    order = compare_numbers (step, stage->step);
  return order != 0 ? order : compare_numbers (index, task->index);
}

static gint
compare_state (const Bts__TaskState *state, const bts_task_t *task)
{
  return compare_place (state->occurrence, state->step, state->index, task);
}

/* Whether a part of a snapshot is about a task. */
static gboolean
is_in_part (const Bts__Kept *snapshot, const bts_task_t *task)
{
  const Bts__Place *from = snapshot->from;
  const Bts__Place *until = snapshot->until;
  return (from == NULL || compare_place (from->occurrence, from->step, from->index, task) <= 0)
         && (until == NULL
             || compare_place (until->occurrence, until->step, until->index, task) > 0);
}

/* Whether it is about an occurrence, that is, its first task. */
static gboolean
is_occurrence_in_part (const Bts__Kept *snapshot, guint number)
{
  bts_stage_t stage = { .occurrence = number };
  const bts_task_t first = { .stage = &stage };
  return is_in_part (snapshot, &first);
}

/* Whether the record at an offset is one that the owner had still to read. */
static gboolean
is_unseen (const Bts__Kept *snapshot, gint64 offset)
{
  return snapshot->seen != 0 && offset >= (gint64)snapshot->seen;
}

/* Whether a range of tasks that are done holds a task; moves the cursor on to it. */
static gboolean
is_in_range (const Bts__Kept *snapshot, cursor_t *next, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  for (; next->range < snapshot->n_done_tasks; next->range++)
    {
      const Bts__TaskRange *range = snapshot->done_tasks[next->range];
      if (compare_place (range->occurrence, range->step, range->last, task) >= 0)
        return range->occurrence == stage->occurrence && range->step == stage->step
               && range->first <= task->index;
    }
  return FALSE;
}

/* Whether a snapshot holds all that is known of a task. The cursor is moved on to it. */
static gboolean
covers_task (const Bts__Kept *snapshot, cursor_t *next, const bts_task_t *task)
{
  if (is_unseen (snapshot, task->ended_offset) || is_in_range (snapshot, next, task))
    return TRUE;
  while (next->state < snapshot->n_tasks && compare_state (snapshot->tasks[next->state], task) < 0)
    next->state++;
  if (next->state == snapshot->n_tasks || compare_state (snapshot->tasks[next->state], task) > 0)
    return task->ended_run == 0 && !task->done;
  const Bts__TaskState *state = snapshot->tasks[next->state];
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

/* Whether nothing is missing of an occurrence that is done and that a snapshot doesn't name. */
static gboolean
may_lack_done (const Bts__Kept *snapshot, const bts_job_t *job, guint number)
{
  return !is_occurrence_in_part (snapshot, number) || is_done_unseen (snapshot, job, number);
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
      while (number <= done[i].last && may_lack_done (snapshot, job, number))
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
 * @snapshot: the snapshot, or a part of one, and all that is known of its tasks; what is in records
 * that its owner had still to read may be missing
 */
gboolean
bts_job_is_covered (const bts_job_t *job, const Bts__Kept *snapshot)
{
  if (bts_job_has_ended (job))
    return covers_end (snapshot, job);
  if (!covers_done (snapshot, job))
    return FALSE;
  cursor_t next = { 0 };
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    if (!is_occurrence_done (job, task->stage->occurrence) && is_in_part (snapshot, task)
        && !covers_task (snapshot, &next, task))
      return FALSE;
  return TRUE;
}
