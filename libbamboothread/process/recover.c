#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * How an owner comes to know what earlier owners did: from the journal, and
 * from the workers' own lists.
 */

/**
 * bt_recover_allows_placement() - whether a queued job may be placed now
 * @core: the core
 * @job: the job
 *
 * A job that an earlier owner may have started waits until all that this owner
 * started is known or over.
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
 * bt_recover_on_tables() - newer tables are in force
 * @core: the core
 *
 * The journal may tell of a job before the tables tell of its route.
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
      const bt_route_t *route = bt_tables_route (core->tables.tables, job->route);
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
 * bt_recover_on_become_leader() - this daemon has become the owner
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

static void
drop_attempts (bt_core_t *core)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase != BT_PHASE_ADOPTED)
      g_ptr_array_add (gone, attempt);
  for (guint i = 0; i < gone->len; i++)
    {
      attempt = gone->pdata[i];
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

/* A job whose acceptance is on the way to the log may be found there by the next owner. */
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
 * bt_recover_on_step_down() - this daemon is no longer the owner
 * @core: the core
 *
 * What it had not started goes back to the entries; what runs is left to the
 * next owner.
 */
void
bt_recover_on_step_down (bt_core_t *core)
{
  drop_attempts (core);
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
 * bt_recover_drop_recorded_jobs() - drop all jobs that are known from the log
 * @core: the core, not the owner
 *
 * Records have expired before this daemon read them, so that what it knows may
 * be out of date; what is still true stands in the records that are kept.
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
 * bt_recover_on_settled() - all that earlier owners started is known or over
 * @core: the core
 *
 * While the journal is not caught up, records of further attempts may follow,
 * so this is done again once it is.
 */
void
bt_recover_on_settled (bt_core_t *core)
{
  g_autoptr (GPtrArray) over = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase == BT_PHASE_ADOPTED && attempt->worker == NULL)
      g_ptr_array_add (over, attempt);
  for (guint i = 0; i < over->len; i++)
    bt_sched_mark_attempt_lost (core, over->pdata[i], FALSE);
  bt_sched_run_pass (core);
}

/**
 * bt_recover_on_worker_expired() - whatever ran on a worker has surely ended
 * @core: the core
 * @worker: a worker that doesn't answer
 */
void
bt_recover_on_worker_expired (bt_core_t *core, bt_worker_t *worker)
{
  g_autoptr (GPtrArray) over = g_ptr_array_new ();
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->phase != BT_PHASE_RECORDING)
      g_ptr_array_add (over, attempt);
  if (over->len > 0)
    bt_log (BT_LOG_WARNING, "attempts-given-up", "worker=%s attempts=%u", worker->name, over->len);
  for (guint i = 0; i < over->len; i++)
    bt_sched_mark_attempt_lost (core, over->pdata[i], FALSE);
}

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
 * bt_recover_import_attempts() - take in a worker's full list of attempts
 * @core: the core
 * @worker: the worker
 * @reply: its reply
 * @sent_at: when the request for it was sent, in microseconds
 * @rebooted: whether the worker has started anew, and so knows no attempts
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
      gboolean never
          = !rebooted && (attempt->phase == BT_PHASE_SENT || attempt->phase == BT_PHASE_UNCERTAIN);
      bt_sched_mark_attempt_lost (core, attempt, never);
    }
}

static bt_job_t *
job_of (bt_core_t *core, const bt_record_t *record)
{
  if (record->job == NULL)
    return NULL;
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, record->job);
  if (job == NULL)
    job = bt_job_new (core, record->job);
  if (job->request == NULL && record->request != NULL)
    {
      const bt_route_t *route
          = record->route != NULL ? bt_tables_route (core->tables.tables, record->route) : NULL;
      bt_job_set_request (job, record->request, route);
      if (route == NULL && record->route != NULL)
        job->route = g_ref_string_acquire (record->route);
    }
  return job;
}

static void
fold_accepted (bt_core_t *core, const bt_record_t *record)
{
  bt_job_t *job = job_of (core, record);
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
fold_attempt (bt_core_t *core, const bt_record_t *record, gboolean valid)
{
  if (record->attempt == NULL || record->worker == NULL)
    return;
  bt_attempt_t *own = g_hash_table_lookup (core->sched.attempts, record->attempt);
  if (!valid)
    {
      core->counters.records_void++;
      if (own != NULL && own->phase == BT_PHASE_RECORDING)
        bt_sched_mark_attempt_lost (core, own, TRUE);
      return;
    }
  bt_job_t *job = job_of (core, record);
  if (job == NULL)
    return;
  job->recorded = TRUE;
  if (own != NULL)
    {
      own->recorded = TRUE;
      bt_sched_on_attempt_recorded (core, own);
      return;
    }
  guint task = (guint)record->task;
  bt_job_ensure_tasks (job, task + 1);
  bt_attempt_t *before = job->tasks[task].attempt;
  if (job->state == BT_JOB_ENDED || job->tasks[task].state == BT_TASK_ENDED)
    return;
  if (before != NULL && before->phase != BT_PHASE_ADOPTED)
    return;
  if (before != NULL)
    bt_attempt_remove (core, before, BT_TASK_WAITING);
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
ack_task (bt_core_t *core, const bt_record_t *record)
{
  bt_worker_t *worker = record->worker != NULL ? bt_owner_find_worker (core, record->worker) : NULL;
  if (worker != NULL && record->attempt != NULL)
    bt_owner_ack (core, worker, record->attempt);
}

static void
fold_task_ended (bt_core_t *core, const bt_record_t *record)
{
  bt_job_t *job = job_of (core, record);
  if (job == NULL)
    return;
  guint task_index = (guint)record->task;
  bt_job_ensure_tasks (job, task_index + 1);
  bt_task_t *task = &job->tasks[task_index];
  task->end_recorded = TRUE;
  job->recorded = TRUE;
  ack_task (core, record);
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
  bt_job_t *job = job_of (core, record);
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
record_again (bt_core_t *core)
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

/* An earlier owner may have recorded the ends of all tasks, but not that of the job. */
static void
finish_ended (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    bt_sched_end_job_if_complete (core, job);
}

/**
 * bt_recover_fold() - take in a record of the journal
 * @core: the core
 * @record: the record, seen for the first time
 * @valid_term: whether its writer owned the data centre at that point of the log
 */
void
bt_recover_fold (bt_core_t *core, const bt_record_t *record, gboolean valid_term)
{
  switch ((bt_record_type_t)record->type)
    {
    case BT_RECORD_LEAD:
      record_again (core);
      finish_ended (core);
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
        bt_job_t *job = job_of (core, record);
        if (job != NULL)
          job->cancelled = TRUE;
        break;
      }
    }
}
