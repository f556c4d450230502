#include "libbamboothread/scheduler/job_snapshot.h"

#include "libbamboothread/scheduler/blame.h"

/* Most bytes of states of tasks in one record, beside the job itself. */
#define PART_BYTES (64 * 1024)
/* Bytes left for the other fields of a record. */
#define MARGIN_BYTES 512

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

/**
 * struct part_t - what one record holds
 * @from: the part is about the tasks from here on
 * @states: Bts__TaskState
 * @done_tasks: Bts__TaskRange
 * @done: Bts__Range of occurrences that are done
 * @bytes: size of all these
 */
typedef struct
{
  Bts__Place from;
  GPtrArray *states;
  GPtrArray *done_tasks;
  GPtrArray *done;
  gsize bytes;
} part_t;

/**
 * struct writer_t - the parts of a snapshot
 * @parts: part_t in the order of the tasks
 * @part_bytes: most bytes of each
 * @ranges: tasks that are done are written as ranges
 * @next_done: index of the next range of occurrences that are done
 */
typedef struct
{
  const bts_job_t *job;
  GPtrArray *parts;
  gsize part_bytes;
  gboolean ranges;
  guint next_done;
} writer_t;

static void
part_free (gpointer data)
{
  part_t *part = data;
  g_ptr_array_unref (part->states);
  g_ptr_array_unref (part->done_tasks);
  g_ptr_array_unref (part->done);
  g_free (part);
}

static void
add_part (writer_t *writer, guint occurrence, guint step, guint index)
{
  part_t *part = g_new0 (part_t, 1);
  bts__place__init (&part->from);
  part->from.occurrence = occurrence;
  part->from.step = step;
  part->from.index = index;
  part->states = g_ptr_array_new_with_free_func (task_state_free);
  part->done_tasks = g_ptr_array_new_with_free_func (g_free);
  part->done = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (writer->parts, part);
}

/* The part for an item of a task, or of the first task of an occurrence. */
static part_t *
ensure_part (writer_t *writer, guint occurrence, guint step, guint index, gsize bytes)
{
  const part_t *last = writer->parts->pdata[writer->parts->len - 1];
  if (last->bytes > 0 && last->bytes + bytes > writer->part_bytes)
    add_part (writer, occurrence, step, index);
  part_t *part = writer->parts->pdata[writer->parts->len - 1];
  part->bytes += bytes;
  return part;
}

static gsize
field_bytes (const ProtobufCMessage *message)
{
  /* The tag of a field, and the length of its value. */
  return 2 + 3 + protobuf_c_message_get_packed_size (message);
}

/* Adds the occurrences that are done before another one. */
static void
add_done_before (writer_t *writer, guint64 occurrence)
{
  guint n;
  const bts_range_t *done = bts_ranges_list (writer->job->done, &n);
  for (; writer->next_done < n && done[writer->next_done].first < occurrence; writer->next_done++)
    {
      Bts__Range *message = g_new0 (Bts__Range, 1);
      bts__range__init (message);
      message->first = done[writer->next_done].first;
      message->last = done[writer->next_done].last;
      part_t *part = ensure_part (writer, message->first, 0, 0, field_bytes (&message->base));
      g_ptr_array_add (part->done, message);
    }
}

/* Whether a range of tasks goes on with a task. */
static gboolean
extend_range (const part_t *part, const bts_task_t *task)
{
  if (part->done_tasks->len == 0)
    return FALSE;
  Bts__TaskRange *range = part->done_tasks->pdata[part->done_tasks->len - 1];
  if (range->occurrence != task->stage->occurrence || range->step != task->stage->step
      || range->last + 1 != task->index)
    return FALSE;
  range->last = task->index;
  return TRUE;
}

static void
add_done_task (writer_t *writer, const bts_task_t *task)
{
  if (extend_range (writer->parts->pdata[writer->parts->len - 1], task))
    return;
  const bts_stage_t *stage = task->stage;
  Bts__TaskRange *range = g_new0 (Bts__TaskRange, 1);
  bts__task_range__init (range);
  range->occurrence = stage->occurrence;
  range->step = stage->step;
  range->first = task->index;
  /* The last number may become longer. */
  range->last = stage->n_tasks - 1;
  gsize bytes = field_bytes (&range->base);
  range->last = task->index;
  part_t *part = ensure_part (writer, stage->occurrence, stage->step, task->index, bytes);
  g_ptr_array_add (part->done_tasks, range);
}

static void
add_task (writer_t *writer, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (!has_state (task) || is_occurrence_done (writer->job, stage->occurrence))
    return;
  if (task->done && writer->ranges)
    {
      add_done_task (writer, task);
      return;
    }
  Bts__TaskState *state = task_state_new (task);
  part_t *part = ensure_part (writer, stage->occurrence, stage->step, task->index,
                              field_bytes (&state->base));
  g_ptr_array_add (part->states, state);
}

static void
add_all (writer_t *writer)
{
  g_ptr_array_set_size (writer->parts, 0);
  add_part (writer, 0, 0, 0);
  writer->next_done = 0;
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (writer->job, &walk)) != NULL)
    {
      add_done_before (writer, task->stage->occurrence);
      add_task (writer, task);
    }
  add_done_before (writer, G_MAXUINT64);
}

/* Finds the parts. A snapshot that fits into one record names each task by itself, which older
   versions can read. */
static void
find_parts (writer_t *writer)
{
  writer->ranges = FALSE;
  add_all (writer);
  if (writer->parts->len == 1)
    return;
  writer->ranges = TRUE;
  add_all (writer);
}

static void
append_part (const bts_job_snapshot_t *snapshot, const writer_t *writer, guint i,
             bts_job_snapshot_append_f append, void *context)
{
  const bts_job_t *job = snapshot->job;
  part_t *part = writer->parts->pdata[i];
  Bts__Kept kept = BTS__KEPT__INIT;
  kept.term = snapshot->term;
  kept.seen = (guint64)snapshot->seen;
  kept.accepted = job->accepted;
  kept.begun = job->begun || job->begun_reported;
  kept.cancelled = job->cancelled;
  kept.failed = job->failed;
  kept.n_tasks = part->states->len;
  kept.tasks = (Bts__TaskState **)part->states->pdata;
  kept.n_done_tasks = part->done_tasks->len;
  kept.done_tasks = (Bts__TaskRange **)part->done_tasks->pdata;
  kept.n_done = part->done->len;
  kept.done = (Bts__Range **)part->done->pdata;
  if (writer->parts->len > 1)
    {
      kept.part = i;
      kept.n_parts = writer->parts->len;
      kept.from = &part->from;
      if (i + 1 < writer->parts->len)
        kept.until = &((part_t *)writer->parts->pdata[i + 1])->from;
    }
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_KEPT;
  record.kept = &kept;
  append (context, &record);
}

/**
 * bts_job_snapshot_write() - append the snapshot of a job
 * @snapshot: what is to be written
 * @append: appends a record
 * @context: passed to @append
 *
 * Each record holds the job itself, so that it can be folded without the others.
 */
void
bts_job_snapshot_write (const bts_job_snapshot_t *snapshot, bts_job_snapshot_append_f append,
                        void *context)
{
  gsize job_bytes = protobuf_c_message_get_packed_size (&snapshot->job->accepted->base);
  gsize left = snapshot->record_bytes - MIN (snapshot->record_bytes, job_bytes + MARGIN_BYTES);
  writer_t writer = { .job = snapshot->job, .part_bytes = MIN (left, PART_BYTES) };
  writer.parts = g_ptr_array_new_with_free_func (part_free);
  find_parts (&writer);
  for (guint i = 0; i < writer.parts->len; i++)
    append_part (snapshot, &writer, i, append, context);
  g_ptr_array_unref (writer.parts);
}
