#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Recovery of the state that earlier owners left, from the journal and from the
 * workers' lists of attempts.
 */

/**
 * bt_recover_allows_placement() - whether a queued job may be placed now
 * @core: the core
 * @job: the job
 *
 * A job that an earlier owner may have started waits until all attempts of earlier
 * owners are known or surely over and the journal has been read up to this owner's
 * term. While the journal is not available, idempotent jobs don't wait for it. A job
 * also waits while its request or its pool is unknown or its retry is not due.
 *
 * Return: TRUE if it may.
 */
gboolean
bt_recover_allows_placement (const bt_core_t *core, const bt_job_t *job)
{
  if (job->request == NULL || job->pool == NULL || core->now < job->not_before)
    return FALSE;
  if (!job->may_have_run)
    return TRUE;
  if (!core->owner.settled)
    return FALSE;
  return core->journal.caught_up || (!core->journal.available && job->idempotent);
}

/**
 * bt_recover_on_tables() - set the routes of jobs from newer tables
 * @core: the core
 *
 * A job may be read from the journal before the tables that define its route.
 */
void
bt_recover_on_tables (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      if (job->request == NULL || job->route == NULL || job->pool != NULL)
        continue;
      const bt_route_t *route = bt_tables_find_route (core->tables.tables, job->route);
      if (route == NULL)
        continue;
      gboolean queued = job->queue_link.data != NULL;
      bt_queue_remove (core, job);
      bt_job_set_route (job, route);
      if (queued)
        bt_queue_push (core, job);
    }
}

/**
 * bt_recover_on_become_leader() - queue the open jobs when this daemon becomes the owner
 * @core: the core
 */
void
bt_recover_on_become_leader (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      if (job->state == BT_JOB_ENDED)
        continue;
      job->may_have_run = TRUE;
      if (job->state == BT_JOB_OPEN && job->request != NULL && job->n_waiting > 0)
        bt_queue_push (core, job);
    }
}

/* Removes the attempts of this daemon. One whose record is in the log is added anew as
 * an attempt of an earlier owner, unless its job has ended. */
static void
remove_attempts (bt_core_t *core)
{
  g_autoptr (GPtrArray) removed = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase != BT_PHASE_ADOPTED)
      g_ptr_array_add (removed, attempt);
  for (guint i = 0; i < removed->len; i++)
    {
      attempt = removed->pdata[i];
      gboolean ended = attempt->job->state == BT_JOB_ENDED;
      if (attempt->phase == BT_PHASE_SENT && attempt->worker != NULL)
        bt_owner_fence (core, attempt->worker);
      if (attempt->recorded && attempt->phase != BT_PHASE_RECORDING && !ended)
        {
          GRefString *id = g_ref_string_acquire (attempt->id);
          GRefString *worker = g_ref_string_acquire (attempt->worker_name);
          bt_job_t *job = attempt->job;
          guint task = attempt->task;
          bt_attempt_remove (core, attempt, BT_TASK_WAITING);
          bt_attempt_new (core, job, task, id, worker)->recorded = TRUE;
          g_ref_string_release (id);
          g_ref_string_release (worker);
          continue;
        }
      bt_attempt_remove (core, attempt, ended ? BT_TASK_ENDED : BT_TASK_WAITING);
    }
}

/* Whether a job can be given back as never started. While its acceptance is in flight to
 * the log, it can't be: the next owner may find the job there and start it. */
static gboolean
never_sent (const bt_job_t *job)
{
  if (job->state == BT_JOB_RECORDING)
    return FALSE;
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].n_attempts > 0)
      return FALSE;
  return !job->may_have_run;
}

/**
 * bt_recover_on_step_down() - drop attempts and jobs when this daemon is no longer the owner
 * @core: the core
 *
 * Jobs that have not ended are removed if no record of them was read back from the
 * log. The daemons whose callers wait for those of them that certainly never started
 * are told to send them again. Attempts that may run are left to the next owner.
 */
void
bt_recover_on_step_down (bt_core_t *core)
{
  remove_attempts (core);
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      bt_queue_remove (core, job);
      if (job->state == BT_JOB_ENDED || job->recorded || job->n_placed > 0)
        continue;
      if (never_sent (job))
        {
          job->status = BT_STATUS_RETRY;
          job->state = BT_JOB_ENDED;
          bt_sched_notify_waiters (core, job);
        }
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * bt_recover_drop_recorded_jobs() - drop all jobs that are known from the journal
 * @core: the core, which is not the owner
 *
 * Called when records were deleted before this daemon had read them, so that its
 * state may be stale. The remaining records hold all that is still valid.
 */
void
bt_recover_drop_recorded_jobs (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      if (!job->recorded)
        continue;
      bt_queue_remove (core, job);
      for (guint i = 0; i < job->n_tasks; i++)
        if (job->tasks[i].attempt != NULL)
          bt_attempt_remove (core, job->tasks[i].attempt, BT_TASK_WAITING);
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * bt_recover_on_settled() - give up attempts of earlier owners that no worker has listed
 * @core: the core
 *
 * Called when all attempts of earlier owners are known or surely over, and again
 * when the journal is caught up, since until then records of further attempts may
 * follow.
 */
void
bt_recover_on_settled (bt_core_t *core)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase == BT_PHASE_ADOPTED && attempt->worker == NULL)
      g_ptr_array_add (lost, attempt);
  for (guint i = 0; i < lost->len; i++)
    bt_sched_mark_attempt_lost (core, lost->pdata[i], FALSE);
  bt_sched_run_pass (core);
}

/**
 * bt_recover_on_worker_expired() - give up the attempts on a worker, which are surely over
 * @core: the core
 * @worker: a worker whose lease lapsed or whose VM was replaced, and whose task lease has surely
 *   ended
 *
 * An attempt whose record is still being appended is kept, as its start was not sent.
 */
void
bt_recover_on_worker_expired (bt_core_t *core, bt_worker_t *worker)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase != BT_PHASE_RECORDING)
      g_ptr_array_add (lost, attempt);
  if (lost->len > 0)
    bt_log (BT_LOG_WARNING, "attempts-given-up", "worker=%s attempts=%u", worker->name, lost->len);
  for (guint i = 0; i < lost->len; i++)
    bt_sched_mark_attempt_lost (core, lost->pdata[i], FALSE);
}

/* Whether an attempt that is missing in a worker's list is surely not on the worker. If the
 * request for the list claimed a new epoch, the worker refuses all starts sent before it;
 * otherwise the worker must have confirmed the attempt, and its start must have been sent
 * before the list was requested. */
static gboolean
surely_absent (const bt_worker_t *worker, const bt_attempt_t *attempt, gint64 sent_at)
{
  if (attempt->phase == BT_PHASE_RECORDING)
    return FALSE;
  if (worker->sent_claim)
    return TRUE;
  return attempt->phase == BT_PHASE_RUNNING && attempt->sent_at < sent_at;
}

/**
 * bt_recover_import_attempts() - apply a worker's full list of attempts
 * @core: the core
 * @worker: the worker
 * @reply: its reply
 * @sent_at: when the request for it was sent, in microseconds
 * @rebooted: whether the worker has restarted, and so knows no earlier attempts
 */
void
bt_recover_import_attempts (bt_core_t *core, bt_worker_t *worker, const bt_lease_reply_t *reply,
                            gint64 sent_at, gboolean rebooted)
{
  g_autoptr (GHashTable) reported = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < reply->attempts->len; i++)
    {
      const bt_attempt_report_t *report = reply->attempts->pdata[i];
      g_hash_table_add (reported, report->attempt);
      bt_sched_on_attempt_report (core, worker, report);
    }
  g_autoptr (GPtrArray) absent = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (!g_hash_table_contains (reported, attempt->id) && surely_absent (worker, attempt, sent_at))
      g_ptr_array_add (absent, attempt);
  worker->synced = TRUE;
  for (guint i = 0; i < absent->len; i++)
    {
      attempt = absent->pdata[i];
      gboolean surely_not_run
          = !rebooted && (attempt->phase == BT_PHASE_SENT || attempt->phase == BT_PHASE_UNCERTAIN);
      bt_sched_mark_attempt_lost (core, attempt, surely_not_run);
    }
}

static bt_job_t *
get_or_add_job (bt_core_t *core, const bt_record_t *record)
{
  if (record->job == NULL)
    return NULL;
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, record->job);
  if (job == NULL)
    job = bt_job_new (core, record->job);
  if (job->request == NULL && record->request != NULL)
    {
      const bt_route_t *route = record->route != NULL
                                    ? bt_tables_find_route (core->tables.tables, record->route)
                                    : NULL;
      bt_job_set_request (job, record->request, route);
      if (route == NULL && record->route != NULL)
        job->route = g_ref_string_acquire (record->route);
    }
  return job;
}

static void
fold_accepted (bt_core_t *core, const bt_record_t *record)
{
  bt_job_t *job = get_or_add_job (core, record);
  if (job == NULL)
    return;
  job->recorded = TRUE;
  if (job->state == BT_JOB_ENDED)
    return;
  job->state = BT_JOB_OPEN;
  if (!core->owner.leading)
    return;
  if (strcmp (record->owner, core->owner_id) != 0)
    job->may_have_run = TRUE;
  bt_sched_notify_waiters (core, job);
  bt_sched_end_job_if_complete (core, job);
  if (job->n_waiting > 0)
    bt_queue_push (core, job);
  bt_sched_run_pass (core);
}

static void
fold_attempt (bt_core_t *core, const bt_record_t *record, gboolean valid_term)
{
  if (record->attempt == NULL || record->worker == NULL)
    return;
  bt_attempt_t *attempt = g_hash_table_lookup (core->sched.attempts, record->attempt);
  if (!valid_term)
    {
      core->counters.records_void++;
      if (attempt != NULL && attempt->phase == BT_PHASE_RECORDING)
        bt_sched_mark_attempt_lost (core, attempt, TRUE);
      return;
    }
  bt_job_t *job = get_or_add_job (core, record);
  if (job == NULL)
    return;
  job->recorded = TRUE;
  if (attempt != NULL)
    {
      attempt->recorded = TRUE;
      bt_sched_on_attempt_recorded (core, attempt);
      return;
    }
  guint task = (guint)record->task;
  bt_job_ensure_tasks (job, task + 1);
  bt_attempt_t *previous = job->tasks[task].attempt;
  if (job->state == BT_JOB_ENDED || job->tasks[task].state == BT_TASK_ENDED)
    return;
  if (previous != NULL && previous->phase != BT_PHASE_ADOPTED)
    return;
  if (previous != NULL)
    bt_attempt_remove (core, previous, BT_TASK_WAITING);
  bt_attempt_new (core, job, task, record->attempt, record->worker)->recorded = TRUE;
  if (job->n_waiting == 0)
    bt_queue_remove (core, job);
}

static void
fold_abandoned (bt_core_t *core, const bt_record_t *record)
{
  bt_attempt_t *attempt = record->attempt != NULL
                              ? g_hash_table_lookup (core->sched.attempts, record->attempt)
                              : NULL;
  if (attempt == NULL || attempt->phase != BT_PHASE_ADOPTED)
    return;
  bt_job_t *job = attempt->job;
  bt_attempt_remove (core, attempt, BT_TASK_WAITING);
  if (core->owner.leading && job->state == BT_JOB_OPEN && job->request != NULL)
    bt_queue_push (core, job);
}

static void
ack_recorded_end (bt_core_t *core, const bt_record_t *record)
{
  bt_worker_t *worker = record->worker != NULL ? bt_owner_find_worker (core, record->worker) : NULL;
  if (worker != NULL && record->attempt != NULL)
    bt_owner_ack (core, worker, record->attempt);
}

static void
fold_task_ended (bt_core_t *core, const bt_record_t *record)
{
  bt_job_t *job = get_or_add_job (core, record);
  if (job == NULL)
    return;
  guint task_index = (guint)record->task;
  bt_job_ensure_tasks (job, task_index + 1);
  bt_task_t *task = &job->tasks[task_index];
  task->end_recorded = TRUE;
  job->recorded = TRUE;
  ack_recorded_end (core, record);
  if (task->state == BT_TASK_ENDED)
    return;
  if (task->attempt == NULL)
    bt_attempt_new (core, job, task_index, record->attempt, record->worker);
  if (g_strcmp0 (task->attempt->id, record->attempt) == 0)
    bt_attempt_remove (core, task->attempt, BT_TASK_ENDED);
  else
    bt_sched_stop_surplus_attempt (core, task->attempt);
  task->failed = record->status == BT_STATUS_FAILED;
  if (record->answer != NULL)
    {
      gsize len;
      guchar *data = g_base64_decode (record->answer, &len);
      task->answer = g_bytes_new_take (data, len);
    }
  if (core->owner.leading && core->journal.caught_up)
    bt_sched_end_job_if_complete (core, job);
}

static void
fold_ended (bt_core_t *core, const bt_record_t *record)
{
  bt_job_t *job = get_or_add_job (core, record);
  if (job == NULL)
    return;
  job->end_recorded = TRUE;
  job->recorded = TRUE;
  if (job->state == BT_JOB_ENDED)
    return;
  bt_queue_remove (core, job);
  job->state = BT_JOB_ENDED;
  job->ended_at = core->now;
  job->status = record->status;
  job->reason = record->reason;
  if (job->status == BT_STATUS_DONE || job->n_tasks == 1)
    job->answer = bt_job_answer (job);
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].attempt != NULL)
      bt_sched_stop_surplus_attempt (core, job->tasks[i].attempt);
  bt_sched_notify_waiters (core, job);
}

static void
record_accepted_again (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      if (!job->durable || job->recorded || job->state == BT_JOB_ENDED || job->request == NULL)
        continue;
      bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ACCEPTED, job->id);
      record->request = bt_schema_copy (&bt_request_schema, job->request);
      record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
      bt_journal_append (core, record);
    }
}

/* An earlier owner may have recorded the ends of all tasks but not the end of the job. */
static void
end_complete_jobs (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    bt_sched_end_job_if_complete (core, job);
}

/**
 * bt_recover_fold() - apply a record of the journal
 * @core: the core
 * @record: the record, seen for the first time
 * @valid_term: whether its writer owned the data centre at that point of the log
 */
void
bt_recover_fold (bt_core_t *core, const bt_record_t *record, gboolean valid_term)
{
  switch ((bt_record_type_t)record->type)
    {
    case BT_RECORD_BECAME_LEADER:
      record_accepted_again (core);
      end_complete_jobs (core);
      if (core->owner.settled)
        bt_recover_on_settled (core);
      bt_sched_run_pass (core);
      break;
    case BT_RECORD_ACCEPTED:
      if (valid_term)
        fold_accepted (core, record);
      else
        core->counters.records_void++;
      break;
    case BT_RECORD_ATTEMPT:
      fold_attempt (core, record, valid_term);
      break;
    case BT_RECORD_ABANDONED:
      fold_abandoned (core, record);
      break;
    case BT_RECORD_TASK_ENDED:
      fold_task_ended (core, record);
      break;
    case BT_RECORD_ENDED:
      fold_ended (core, record);
      break;
    case BT_RECORD_CANCEL:
      {
        bt_job_t *job = get_or_add_job (core, record);
        if (job != NULL)
          job->cancelled = TRUE;
        break;
      }
    }
}
