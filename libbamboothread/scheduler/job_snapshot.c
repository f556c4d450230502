#include "libbamboothread/scheduler/job_snapshot.h"

#include "libbamboothread/scheduler/blame.h"

static Bts__Crash *
crash_new (const bts_task_t *task, guint points)
{
  Bts__Crash *crash = malloc (sizeof *crash);
  bts__crash__init (crash);
  crash->run = malloc (sizeof *crash->run);
  bts__run__init (crash->run);
  crash->run->run = task->crash_run;
  bts_blames_write (task, crash);
  crash->points = points;
  return crash;
}

static gboolean
has_state (const bts_task_t *task)
{
  return task->ended_run != 0 || task->done || task->stage->gang_fails != 0
         || task->crash_points != 0;
}

static Bts__TaskState *
task_state_new (const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
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
  state->crash_run = task->crash_run;
  /* Only a record of the crash itself gives a task up. */
  state->crash_points = MIN (task->crash_points, BTS_CRASH_POINTS_MAX - 1);
  if (task->crash_points > 0)
    state->crash = crash_new (task, state->crash_points);
  return state;
}

static void
task_state_free (gpointer data)
{
  Bts__TaskState *state = data;
  if (state->crash != NULL)
    bts__crash__free_unpacked (state->crash, NULL);
  g_free (state);
}

static gboolean
is_occurrence_done (const bts_job_t *job, guint number)
{
  return bts_ranges_contains (job->done, number, number);
}

/* Adds the states of the tasks of occurrences that aren't done. */
static void
add_task_states (GPtrArray *states, const bts_job_t *job)
{
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    if (has_state (task) && !is_occurrence_done (job, task->stage->occurrence))
      g_ptr_array_add (states, task_state_new (task));
}

static void
add_done_ranges (GPtrArray *messages, const bts_job_t *job)
{
  guint n;
  const bts_range_t *done = bts_ranges_list (job->done, &n);
  for (guint i = 0; i < n; i++)
    {
      Bts__Range *message = g_new0 (Bts__Range, 1);
      bts__range__init (message);
      message->first = done[i].first;
      message->last = done[i].last;
      g_ptr_array_add (messages, message);
    }
}

/**
 * bts_job_snapshot_write() - append the snapshot of a job
 * @snapshot: what is to be written
 * @append: appends a record
 * @context: passed to @append
 */
void
bts_job_snapshot_write (const bts_job_snapshot_t *snapshot, bts_job_snapshot_append_f append,
                        void *context)
{
  const bts_job_t *job = snapshot->job;
  g_autoptr (GPtrArray) states = g_ptr_array_new_with_free_func (task_state_free);
  add_task_states (states, job);
  g_autoptr (GPtrArray) done = g_ptr_array_new_with_free_func (g_free);
  add_done_ranges (done, job);
  Bts__Kept kept = BTS__KEPT__INIT;
  kept.term = snapshot->term;
  kept.seen = (guint64)snapshot->seen;
  kept.accepted = job->accepted;
  kept.begun = job->begun || job->begun_reported;
  kept.cancelled = job->cancelled;
  kept.failed = job->failed;
  kept.n_tasks = states->len;
  kept.tasks = (Bts__TaskState **)states->pdata;
  kept.n_done = done->len;
  kept.done = (Bts__Range **)done->pdata;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_KEPT;
  record.kept = &kept;
  append (context, &record);
}
