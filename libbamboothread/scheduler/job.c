#include "libbamboothread/scheduler/job.h"

#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/scheduler/job_parts.h"

/* Part of a ticket's validity left for the start order to reach the worker, in
   microseconds. */
#define TICKET_MARGIN_US (200 * 1000)

/* Most occurrences of one job. */
#define OCCURRENCES_MAX 100000
/* Times and the span of all times are at most this far from 1970, in milliseconds. */
#define TIME_MAX_MS (G_MAXINT64 / 4)

/**
 * bts_job_id_is_valid() - whether a caller may give a job this id
 * @id: the id
 *
 * Ids are numbers in the scheduler, so two that differ only in case would be the same job.
 */
gboolean
bts_job_id_is_valid (const char *id)
{
  for (const char *c = id; *c != '\0'; c++)
    if (!g_ascii_isxdigit (*c) || g_ascii_isupper (*c))
      return FALSE;
  return strlen (id) == BTS_JOB_ID_LEN;
}

/* Whether all times of a recurring job can be counted in milliseconds. */
static gboolean
has_valid_times (const Bts__Accepted *accepted)
{
  gint64 length_ms;
  return accepted->interval_ms >= 0 && accepted->first_due_ms >= -TIME_MAX_MS
         && accepted->first_due_ms <= TIME_MAX_MS
         && !__builtin_mul_overflow (accepted->interval_ms, (gint64)accepted->repeat, &length_ms)
         && length_ms <= TIME_MAX_MS;
}

/**
 * bts_accepted_check() - check a job before it is accepted or folded
 * @accepted: the job
 * @error: %BT_ERROR_INVALID with the reason
 *
 * Return: whether the job has a valid id, a policy, valid steps, and numbers of occurrences and
 * tasks within their limits.
 */
gboolean
bts_accepted_check (const Bts__Accepted *accepted, GError **error)
{
  const char *reason = NULL;
  guint64 tasks = 0;
  if (strlen (accepted->id) != BTS_JOB_ID_LEN || accepted->policy == NULL)
    reason = "the id does not have 16 digits, or the policy is missing";
  for (const char *c = accepted->id; reason == NULL && *c != '\0'; c++)
    if (!g_ascii_isxdigit (*c))
      reason = "the id has a character that is not a hexadecimal digit";
  if (reason == NULL && (accepted->n_steps == 0 || accepted->repeat > OCCURRENCES_MAX))
    reason = "the job has no steps or too many occurrences";
  if (reason == NULL && accepted->repeat > 0 && !has_valid_times (accepted))
    reason = "the job's times are out of range";
  for (gsize i = 0; reason == NULL && i < accepted->n_steps; i++)
    {
      const Bts__Step *step = accepted->steps[i];
      tasks += step->count;
      if (step->count == 0)
        reason = "a step has no tasks";
      for (gsize j = 0; reason == NULL && j < step->n_after; j++)
        if (step->after[j] >= i)
          reason = "a step depends on itself or on a later step";
    }
  if (reason == NULL && tasks > BTS_TASKS_MAX)
    reason = "the job has too many tasks";
  if (reason != NULL)
    g_set_error_literal (error, BT_ERROR, BT_ERROR_INVALID, reason);
  return reason == NULL;
}

/**
 * bts_job_new() - create a job from its record
 * @accepted: the record, checked; the job takes ownership
 * @offset: offset of the record in the journal
 * @now_us: the time of folding, in microseconds
 */
bts_job_t *
bts_job_new (Bts__Accepted *accepted, gint64 offset, gint64 now_us)
{
  bts_job_t *job = g_new0 (bts_job_t, 1);
  job->accepted = accepted;
  job->service = g_intern_string (accepted->policy->service);
  job->offset = offset;
  job->folded_us = now_us;
  job->snapshot_us = now_us;
  job->snapshot_offset = offset;
  job->occurrences = g_ptr_array_new ();
  job->done = bts_ranges_new ();
  for (gsize i = 0; i < accepted->n_steps; i++)
    job->n_tasks += accepted->steps[i]->count;
  return job;
}

/**
 * bts_job_new_ended() - create a job of which only its end is known
 * @id: its id
 * @offset: offset of the record that says so
 * @now_us: the time of folding, in microseconds
 *
 * Return: a job without steps; bts_job_set_ended() gives it its state.
 */
bts_job_t *
bts_job_new_ended (const char *id, gint64 offset, gint64 now_us)
{
  Bts__Accepted *accepted = malloc (sizeof *accepted);
  bts__accepted__init (accepted);
  accepted->id = strdup (id);
  accepted->policy = malloc (sizeof *accepted->policy);
  bts__policy__init (accepted->policy);
  return bts_job_new (accepted, offset, now_us);
}

/**
 * bts_job_set_ended() - set the state that an ended job has according to a snapshot
 * @job: the job
 * @state: completed, failed or cancelled
 */
void
bts_job_set_ended (bts_job_t *job, bts_job_state_t state)
{
  job->completed = job->completed || state == BTS_JOB_COMPLETED;
  job->failed = job->failed || state == BTS_JOB_FAILED;
  job->cancelled = job->cancelled || state == BTS_JOB_CANCELLED;
}

static void
ticket_clear (gpointer data)
{
  g_free (((bts_ticket_t *)data)->ticket);
}

static void
advice_free (bts_advice_t *advice)
{
  g_byte_array_unref (advice->asked);
  g_array_unref (advice->allowed);
  g_free (advice);
}

/**
 * bts_stage_clear_advice() - forget what the advice service has answered for a stage
 * @stage: the stage
 */
void
bts_stage_clear_advice (bts_stage_t *stage)
{
  g_clear_pointer (&stage->advice, advice_free);
}

/**
 * bts_job_free() - free a job that no run refers to
 * @job: the job
 */
void
bts_job_free (bts_job_t *job)
{
  bts_job_clear_occurrences (job);
  g_ptr_array_unref (job->occurrences);
  bts_ranges_free (job->done);
  bts_job_parts_free (job->parts);
  g_free (job->paths_ms);
  bts__accepted__free_unpacked (job->accepted, NULL);
  g_free (job);
}

const char *
bts_job_id (const bts_job_t *job)
{
  return job->accepted->id;
}

/**
 * bts_job_number() - a job's id as a number, which is shorter in records
 * @job: the job
 */
guint64
bts_job_number (const bts_job_t *job)
{
  return g_ascii_strtoull (job->accepted->id, NULL, 16);
}

/**
 * bts_job_id_from_number() - inverse of bts_job_number()
 * @number: the number
 * @id: set to the id
 */
void
bts_job_id_from_number (guint64 number, char id[BTS_JOB_ID_LEN + 1])
{
  g_snprintf (id, BTS_JOB_ID_LEN + 1, "%016" G_GINT64_MODIFIER "x", number);
}

/**
 * bts_job_has_spec() - whether the job's spec is in its record or has been read
 * @job: the job
 */
gboolean
bts_job_has_spec (const bts_job_t *job)
{
  return job->accepted->spec_at == 0 || job->accepted->spec.len > 0;
}

/**
 * bts_job_count_occurrences() - number of times that a job's steps run
 * @job: the job
 */
guint
bts_job_count_occurrences (const bts_job_t *job)
{
  return MAX (job->accepted->repeat, 1);
}

/**
 * bts_job_due_ms() - scheduled time of an occurrence
 * @job: the job
 * @occurrence: its number
 *
 * Return: Unix time in milliseconds; 0 for a job that runs once, without delay.
 */
gint64
bts_job_due_ms (const bts_job_t *job, guint occurrence)
{
  if (job->accepted->repeat == 0)
    return 0;
  return job->accepted->first_due_ms + (gint64)occurrence * job->accepted->interval_ms;
}

/**
 * bts_job_count_due() - number of occurrences that are due
 * @job: the job
 * @unix_ms: Unix time in milliseconds
 */
guint
bts_job_count_due (const bts_job_t *job, gint64 unix_ms)
{
  const Bts__Accepted *accepted = job->accepted;
  if (accepted->repeat == 0)
    return 1;
  if (unix_ms < accepted->first_due_ms)
    return 0;
  gint64 n_later = accepted->interval_ms == 0
                       ? G_MAXUINT32
                       : (unix_ms - accepted->first_due_ms) / accepted->interval_ms;
  return (guint)MIN (n_later, (gint64)accepted->repeat - 1) + 1;
}

/**
 * bts_job_is_long_running() - whether a step of the job runs until the job is cancelled
 * @job: the job
 */
gboolean
bts_job_is_long_running (const bts_job_t *job)
{
  for (gsize i = 0; i < job->accepted->n_steps; i++)
    if (job->accepted->steps[i]->long_running)
      return TRUE;
  return FALSE;
}

static gboolean
is_completed (const bts_job_t *job)
{
  return job->completed || bts_ranges_count (job->done) == bts_job_count_occurrences (job);
}

/**
 * bts_job_has_ended() - whether the job is completed, failed or cancelled
 * @job: the job
 */
gboolean
bts_job_has_ended (const bts_job_t *job)
{
  return job->cancelled || job->failed || is_completed (job);
}

/**
 * bts_job_state() - state of a job, as reported to callers
 * @job: the job
 */
bts_job_state_t
bts_job_state (const bts_job_t *job)
{
  if (is_completed (job))
    return BTS_JOB_COMPLETED;
  if (job->cancelled)
    return BTS_JOB_CANCELLED;
  if (job->failed)
    return BTS_JOB_FAILED;
  return job->begun ? BTS_JOB_RUNNING : BTS_JOB_PENDING;
}

const char *
bts_job_state_name (bts_job_state_t state)
{
  static const char *const names[] = { "pending", "running", "completed", "failed", "cancelled" };
  return names[state];
}

/**
 * bts_job_free_start_data() - free what is only needed to start tasks
 * @job: a job that has ended
 */
void
bts_job_free_start_data (bts_job_t *job)
{
  ProtobufCBinaryData *spec = &job->accepted->spec;
  g_clear_pointer (&spec->data, free);
  spec->len = 0;
  g_clear_pointer (&job->parts, bts_job_parts_free);
  bts_stage_walk_t walk = { 0 };
  bts_stage_t *stage;
  while ((stage = bts_job_next_stage (job, &walk)) != NULL)
    bts_stage_clear_advice (stage);
}

/**
 * bts_job_free_steps() - free the steps of a job, and all occurrences
 * @job: a job that has ended; nothing may refer to its tasks
 *
 * Of the job only its id, its policy and its state are left.
 */
void
bts_job_free_steps (bts_job_t *job)
{
  Bts__Accepted *accepted = job->accepted;
  bts_job_clear_occurrences (job);
  job->completed = is_completed (job);
  for (gsize i = 0; i < accepted->n_steps; i++)
    bts__step__free_unpacked (accepted->steps[i], NULL);
  g_clear_pointer (&accepted->steps, free);
  accepted->n_steps = 0;
  g_clear_pointer (&job->paths_ms, g_free);
  job->n_tasks = 0;
}

/**
 * bts_stage_begin_advice() - record that the advice service has answered for a stage
 * @stage: the stage
 */
void
bts_stage_begin_advice (bts_stage_t *stage)
{
  if (stage->advice != NULL)
    return;
  stage->advice = g_new0 (bts_advice_t, 1);
  stage->advice->asked = g_byte_array_new ();
  stage->advice->allowed = g_array_new (FALSE, FALSE, sizeof (bts_ticket_t));
  g_array_set_clear_func (stage->advice->allowed, ticket_clear);
}

static void
mark_asked (bts_advice_t *advice, guint worker)
{
  guint byte = worker / 8;
  if (advice->asked->len <= byte)
    {
      guint old_len = advice->asked->len;
      g_byte_array_set_size (advice->asked, byte + 1);
      memset (advice->asked->data + old_len, 0, byte + 1 - old_len);
    }
  advice->asked->data[byte] |= (guint8)(1 << worker % 8);
}

/**
 * bts_stage_record_denied() - record that a stage may not run on a worker
 * @stage: a stage for which the advice service has answered
 * @worker: number of the worker
 */
void
bts_stage_record_denied (bts_stage_t *stage, guint worker)
{
  mark_asked (stage->advice, worker);
  bts_ticket_t *ticket = bts_stage_ticket (stage, worker);
  if (ticket != NULL)
    g_array_remove_index (stage->advice->allowed,
                          (guint)(ticket - (bts_ticket_t *)(void *)stage->advice->allowed->data));
}

/**
 * bts_stage_record_allowed() - record that a stage may run on a worker
 * @stage: a stage for which the advice service has answered
 * @worker: number of the worker
 * @ticket: ticket that start orders have to carry
 * @now_us: the time
 */
void
bts_stage_record_allowed (bts_stage_t *stage, guint worker, const char *ticket, gint64 now_us)
{
  mark_asked (stage->advice, worker);
  bts_ticket_t *known = bts_stage_ticket (stage, worker);
  if (known == NULL)
    {
      bts_ticket_t added = { .worker = worker };
      g_array_append_val (stage->advice->allowed, added);
      known
          = &g_array_index (stage->advice->allowed, bts_ticket_t, stage->advice->allowed->len - 1);
    }
  g_free (known->ticket);
  known->ticket = g_strdup (ticket);
  known->received_us = now_us;
}

/**
 * bts_stage_was_asked() - whether the advice service has answered about a worker
 * @stage: the stage
 * @worker: number of the worker
 */
gboolean
bts_stage_was_asked (const bts_stage_t *stage, guint worker)
{
  const bts_advice_t *advice = stage->advice;
  return advice != NULL && worker / 8 < advice->asked->len
         && (advice->asked->data[worker / 8] & 1 << worker % 8) != 0;
}

/**
 * bts_stage_ticket() - the advice service's permission for a worker
 * @stage: the stage
 * @worker: number of the worker
 *
 * Return: the ticket, or NULL if the worker wasn't asked about or was denied.
 */
bts_ticket_t *
bts_stage_ticket (const bts_stage_t *stage, guint worker)
{
  if (!bts_stage_was_asked (stage, worker))
    return NULL;
  for (guint i = 0; i < stage->advice->allowed->len; i++)
    {
      bts_ticket_t *ticket = &g_array_index (stage->advice->allowed, bts_ticket_t, i);
      if (ticket->worker == worker)
        return ticket;
    }
  return NULL;
}

/**
 * bts_stage_valid_ticket() - the ticket to start tasks of a stage on a worker
 * @stage: the stage
 * @worker: number of the worker
 * @now_us: the current time
 *
 * Return: the ticket, or NULL if there is none or it would expire before a start order arrives.
 */
const char *
bts_stage_valid_ticket (const bts_stage_t *stage, guint worker, gint64 now_us)
{
  const bts_ticket_t *ticket = bts_stage_ticket (stage, worker);
  gint64 valid_us = (gint64)bts_stage_policy (stage)->advice_validity_ms * 1000 - TICKET_MARGIN_US;
  if (ticket == NULL || ticket->received_us == 0 || now_us - ticket->received_us >= valid_us)
    return NULL;
  return ticket->ticket;
}

const Bts__Step *
bts_stage_step (const bts_stage_t *stage)
{
  return stage->job->accepted->steps[stage->step];
}

const Bts__Policy *
bts_stage_policy (const bts_stage_t *stage)
{
  return stage->job->accepted->policy;
}

/**
 * bts_stage_is_done() - whether all tasks of a stage are done according to the journal
 * @stage: the stage
 */
gboolean
bts_stage_is_done (const bts_stage_t *stage)
{
  return stage->n_done == stage->n_tasks;
}

/**
 * bts_stage_has_ended() - whether all tasks of a stage have ended with outcome "done"
 * @stage: the stage
 *
 * Ends that aren't in the journal yet count: the tasks have ended, and no later owner can
 * undo that. Several ends of one task may be on their way into the journal, so the tasks are looked
 * at instead of counting ends.
 */
gboolean
bts_stage_has_ended (const bts_stage_t *stage)
{
  if (bts_stage_is_done (stage))
    return TRUE;
  guint n_ended = 0;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    n_ended += task->done || task->done_pending;
  return n_ended == stage->n_tasks;
}

/**
 * bts_stage_is_ready() - whether all stages that a stage depends on have ended
 * @stage: the stage
 */
gboolean
bts_stage_is_ready (const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  const bts_occurrence_t *occurrence = bts_job_occurrence (stage->job, stage->occurrence);
  for (gsize i = 0; i < step->n_after; i++)
    if (!bts_stage_has_ended (&occurrence->stages[step->after[i]]))
      return FALSE;
  return TRUE;
}

/**
 * bts_task_set_done() - record that a task is done according to the journal
 * @task: the task; nothing happens if it is done already
 *
 * The only place that counts tasks and occurrences that are done, so that each of them counts once.
 */
void
bts_task_set_done (bts_task_t *task)
{
  if (task->done)
    return;
  bts_stage_t *stage = task->stage;
  bts_occurrence_t *occurrence = bts_job_occurrence (stage->job, stage->occurrence);
  task->done = TRUE;
  stage->n_done++;
  if (++occurrence->n_done == stage->job->n_tasks)
    bts_ranges_add (stage->job->done, occurrence->number, occurrence->number);
}

/**
 * bts_task_set_checkpoint() - set the newest checkpoint of a task
 * @task: the task
 * @checkpoint: the checkpoint; NULL or empty keeps the last one
 */
void
bts_task_set_checkpoint (bts_task_t *task, const char *checkpoint)
{
  if (checkpoint == NULL || *checkpoint == '\0' || g_strcmp0 (checkpoint, task->checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/**
 * bts_task_is_pending() - whether a task is to be started, as far as this owner knows
 * @task: the task
 */
gboolean
bts_task_is_pending (const bts_task_t *task)
{
  return !task->done && task->run == NULL && task->pending_end_run == 0;
}

/**
 * bts_stage_count_pending() - number of tasks of a stage that are to be started
 * @stage: the stage
 */
guint
bts_stage_count_pending (const bts_stage_t *stage)
{
  guint n_pending = stage->n_tasks;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    n_pending -= !bts_task_is_pending (task);
  return n_pending;
}

/**
 * bts_task_name() - the name of a task in messages to workers
 * @task: the task
 */
char *
bts_task_name (const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  return g_strdup_printf ("%s.%u.%u.%u", bts_job_id (stage->job), stage->occurrence, stage->step,
                          task->index);
}

/**
 * bts_task_name_parse() - parse a task's name
 * @name: the name
 * @id: set to the job's id
 * @occurrence: set to the number of the occurrence
 * @step: set to the number of the step
 * @index: set to the number of the task in its step
 *
 * Return: whether @name is a task's name.
 */
gboolean
bts_task_name_parse (const char *name, char id[BTS_JOB_ID_LEN + 1], guint *occurrence, guint *step,
                     guint *index)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 5);
  if (g_strv_length (parts) != 4 || strlen (parts[0]) != BTS_JOB_ID_LEN)
    return FALSE;
  memcpy (id, parts[0], BTS_JOB_ID_LEN + 1);
  guint *numbers[] = { occurrence, step, index };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      guint64 value;
      if (!g_ascii_string_to_unsigned (parts[i + 1], 10, 0, G_MAXUINT32, &value, NULL))
        return FALSE;
      *numbers[i] = (guint)value;
    }
  return TRUE;
}
