#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Handles what workers report about attempts, and updates their tasks and jobs.
 */

/* Shortest and longest backoff before a failed task is retried. */
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 30000
/* Doublings after which the backoff is at its maximum. */
#define BACKOFF_MAX_DOUBLINGS 9

static gint64
backoff_us (bt_core_t *core, guint failures)
{
  gint64 ms = BACKOFF_FIRST_MS << MIN (failures, BACKOFF_MAX_DOUBLINGS);
  ms = MIN (ms, BACKOFF_MAX_MS);
  return g_rand_int_range (core->rand, (gint32)ms / 2, (gint32)ms + 1) * BT_USEC_PER_MSEC;
}

static void
record_task_end (bt_core_t *core, const bt_attempt_t *attempt, bt_status_t status,
                 const char *answer)
{
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_TASK_ENDED, attempt->job->id);
  record->task = attempt->task;
  record->attempt = g_ref_string_acquire (attempt->id);
  record->worker = g_ref_string_acquire (attempt->worker_name);
  record->status = status;
  record->answer = answer != NULL ? g_ref_string_new (answer) : NULL;
  bt_journal_append (core, record);
}

static GBytes *
decode_answer (const char *base64)
{
  if (base64 == NULL)
    return NULL;
  gsize len;
  guchar *data = g_base64_decode (base64, &len);
  return g_bytes_new_take (data, len);
}

static void
record_or_ack_end (bt_core_t *core, bt_worker_t *worker, const bt_attempt_t *attempt,
                   bt_status_t status, const char *answer)
{
  if (bt_job_end_needs_record (attempt->job))
    record_task_end (core, attempt, status, answer);
  else
    bt_owner_ack (core, worker, attempt->id);
}

static void
on_task_done (bt_core_t *core, bt_worker_t *worker, bt_attempt_t *attempt,
              const bt_attempt_report_t *report)
{
  bt_job_t *job = attempt->job;
  bt_task_t *task = &job->tasks[attempt->task];
  record_or_ack_end (core, worker, attempt, BT_STATUS_DONE, report->answer);
  bt_estimate_on_attempt_ended (core, attempt);
  bt_health_on_attempt_ended (core, worker, attempt, FALSE);
  g_clear_pointer (&task->answer, g_bytes_unref);
  task->answer = decode_answer (report->answer);
  bt_attempt_remove (core, attempt, BT_TASK_ENDED);
  bt_sched_end_job_if_complete (core, job);
}

static gboolean
may_retry (const bt_job_t *job)
{
  if (job->state != BT_JOB_OPEN || !job->idempotent || job->request == NULL)
    return FALSE;
  return job->request->kind == BT_KIND_SERVICE || job->n_failures <= job->max_retries;
}

static void
on_task_failed (bt_core_t *core, bt_worker_t *worker, bt_attempt_t *attempt,
                const bt_attempt_report_t *report)
{
  bt_job_t *job = attempt->job;
  bt_health_on_attempt_ended (core, worker, attempt, TRUE);
  job->n_failures++;
  gboolean retry = may_retry (job);
  /* A retry of a short request that can't begin before the deadline isn't waited for: the caller
     learns at once that it has failed, and an owner that takes over meanwhile couldn't know. */
  gint64 wait_us = backoff_us (core, job->n_failures);
  gboolean in_time = job->durable || core->now + wait_us < job->deadline_at;
  gboolean has_token = retry && in_time && bt_estimate_take_retry_token (core, job->route);
  if (!has_token)
    wait_us = backoff_us (core, BACKOFF_MAX_DOUBLINGS);
  if (in_time && (has_token || (retry && job->durable)))
    {
      bt_trace_add (core, job->id, "retry", job->route, "task %u failed on %s, failure %u%s",
                    attempt->task, worker->name, job->n_failures,
                    has_token ? ""
                              : "; the route's retry budget is spent, so the backoff is longest");
      bt_owner_ack (core, worker, attempt->id);
      bt_attempt_remove (core, attempt, BT_TASK_WAITING);
      job->not_before = core->now + wait_us;
      bt_sched_requeue (core, job);
      return;
    }
  record_or_ack_end (core, worker, attempt, BT_STATUS_FAILED, report->answer);
  bt_attempt_remove (core, attempt, BT_TASK_ENDED);
  g_autoptr (GBytes) answer = decode_answer (report->answer);
  g_autofree char *detail
      = g_strdup_printf ("a task failed, last on %s; failures %u, on %u workers%s", worker->name,
                         job->n_failures, job->failed_on != NULL ? job->failed_on->len : 1,
                         !retry     ? ""
                         : !in_time ? "; the next try would come after the deadline"
                                    : "; the route's retry budget is spent");
  bt_sched_end_job (core, job, BT_STATUS_FAILED,
                    retry && in_time ? BT_REASON_RETRIES_SPENT : BT_REASON_TASK_FAILED, answer,
                    detail);
}

static void
on_task_stopped (bt_core_t *core, bt_worker_t *worker, bt_attempt_t *attempt)
{
  bt_owner_ack (core, worker, attempt->id);
  bt_sched_mark_attempt_lost (core, attempt, FALSE);
}

static void
apply_end (bt_core_t *core, bt_worker_t *worker, bt_attempt_t *attempt,
           const bt_attempt_report_t *report)
{
  const bt_job_t *job = attempt->job;
  gboolean service = job->request != NULL && job->request->kind == BT_KIND_SERVICE;
  if (report->state == BT_ATTEMPT_DONE && !service)
    on_task_done (core, worker, attempt, report);
  else if (report->state == BT_ATTEMPT_DONE || report->state == BT_ATTEMPT_FAILED)
    on_task_failed (core, worker, attempt, report);
  else
    on_task_stopped (core, worker, attempt);
}

static void
get_reported_resources (const bt_attempt_report_t *report, bt_resources_t *need)
{
  need->v[BT_RESOURCE_MCPUS] = report->mcpus;
  need->v[BT_RESOURCE_MEMORY_MB] = report->memory_mb;
  need->v[BT_RESOURCE_GPUS] = report->gpus;
  need->v[BT_RESOURCE_SLOTS] = 1;
  need->v[BT_RESOURCE_CONNECTIONS] = report->connections;
}

/* Makes a cancelled job for an attempt that its task does not need, so that it can be stopped. */
static bt_attempt_t *
new_surplus_attempt (bt_core_t *core, const char *id, const char *worker_name)
{
  bt_job_t *job = bt_job_new (core, id);
  job->state = BT_JOB_ENDED;
  job->status = BT_STATUS_CANCELLED;
  job->ended_at = core->now;
  bt_job_ensure_tasks (job, 1);
  bt_attempt_t *attempt = bt_attempt_new (core, job, 0, id, worker_name);
  attempt->phase = BT_PHASE_RUNNING;
  return attempt;
}

/**
 * bt_sched_stop_surplus_attempt() - stop an attempt whose task or job has ended without it
 * @core: the core
 * @attempt: the attempt, freed
 *
 * If it may run, an attempt of the same id, of a job of its own, takes its place and holds its
 * resources on the worker until it is known to have ended.
 */
void
bt_sched_stop_surplus_attempt (bt_core_t *core, bt_attempt_t *attempt)
{
  if (attempt->worker == NULL || attempt->phase == BT_PHASE_RECORDING)
    {
      if (attempt->phase == BT_PHASE_RECORDING)
        bt_sched_record_abandoned (core, attempt);
      bt_attempt_remove (core, attempt, BT_TASK_ENDED);
      return;
    }
  g_autoptr (GRefString) id = g_ref_string_acquire (attempt->id);
  bt_worker_t *worker = attempt->worker;
  bt_resources_t need = attempt->need;
  bt_attempt_phase_t phase = attempt->phase;
  gint64 sent_at = attempt->sent_at;
  bt_attempt_remove (core, attempt, BT_TASK_ENDED);
  bt_attempt_t *surplus = new_surplus_attempt (core, id, worker->name);
  bt_attempt_bind (surplus, worker, &need);
  surplus->phase = phase;
  surplus->sent_at = sent_at;
  bt_stop_attempt (core, surplus, BT_STOP_STOP);
}

static gboolean
is_task_taken (const bt_job_t *job, guint task)
{
  if (job->state == BT_JOB_ENDED)
    return TRUE;
  if (task >= job->n_tasks)
    return FALSE;
  return job->tasks[task].state == BT_TASK_ENDED
         || (job->tasks[task].attempt != NULL
             && job->tasks[task].attempt->phase != BT_PHASE_ADOPTED);
}

/* Finds or creates the attempt that a worker reports. Returns NULL for an unknown attempt that has
 * ended and whose task has ended or has another attempt that this owner began or imported; the end
 * is acknowledged if it needs no record, is recorded, or the attempt was stopped. */
static bt_attempt_t *
find_or_add_attempt (bt_core_t *core, bt_worker_t *worker, const bt_attempt_report_t *report)
{
  bt_attempt_t *attempt = g_hash_table_lookup (core->sched.attempts, report->attempt);
  if (attempt == NULL)
    {
      bt_job_t *job = g_hash_table_lookup (core->sched.jobs, report->job);
      guint task = (guint)report->task;
      gboolean taken = job != NULL && is_task_taken (job, task);
      if (taken && report->state != BT_ATTEMPT_RUNNING)
        {
          gboolean may_ack = !bt_job_end_needs_record (job) || job->end_recorded
                             || (task < job->n_tasks && job->tasks[task].end_recorded)
                             || report->state == BT_ATTEMPT_STOPPED;
          if (may_ack)
            bt_owner_ack (core, worker, report->attempt);
          return NULL;
        }
      core->counters.attempts_imported++;
      if (taken)
        {
          attempt = new_surplus_attempt (core, report->attempt, worker->name);
          bt_stop_attempt (core, attempt, BT_STOP_STOP);
        }
      else
        {
          if (job == NULL)
            job = bt_job_new (core, report->job);
          bt_job_ensure_tasks (job, task + 1);
          if (job->tasks[task].attempt != NULL)
            bt_attempt_remove (core, job->tasks[task].attempt, BT_TASK_WAITING);
          attempt = bt_attempt_new (core, job, task, report->attempt, worker->name);
          attempt->recorded = job->recorded;
        }
    }
  if (attempt->worker == NULL)
    {
      bt_resources_t need;
      get_reported_resources (report, &need);
      bt_attempt_bind (attempt, worker, &need);
    }
  return attempt;
}

/**
 * bt_sched_on_attempt_report() - handle a worker's report of an attempt
 * @core: the core
 * @worker: the worker
 * @report: its report
 *
 * Workers report ends again until they are acknowledged, so the end of an attempt that
 * is unknown, or whose job's request is unknown, is ignored until the journal has been
 * read up to this owner's term.
 */
void
bt_sched_on_attempt_report (bt_core_t *core, bt_worker_t *worker, const bt_attempt_report_t *report)
{
  const bt_attempt_t *existing = g_hash_table_lookup (core->sched.attempts, report->attempt);
  gboolean known = existing != NULL && existing->job->request != NULL;
  if (!known && report->state != BT_ATTEMPT_RUNNING && !core->journal.caught_up)
    return;
  bt_attempt_t *attempt = find_or_add_attempt (core, worker, report);
  if (attempt == NULL)
    return;
  if (report->state != BT_ATTEMPT_RUNNING)
    {
      apply_end (core, worker, attempt, report);
      return;
    }
  attempt->phase = BT_PHASE_RUNNING;
  bt_estimate_on_usage_report (core, attempt, report);
  if (attempt->job->n_waiting == 0)
    bt_queue_remove (core, attempt->job);
  if (attempt->job->state == BT_JOB_ENDED && !attempt->stopping)
    bt_stop_attempt (core, attempt, BT_STOP_STOP);
}

/**
 * bt_sched_on_start_reply() - handle a worker's reply to a start request
 * @core: the core
 * @worker_name: the worker's name
 * @attempt_id: the attempt's id
 * @reply: its answer, or NULL if none came
 *
 * A reply for an unknown attempt is dropped and counted.
 */
void
bt_sched_on_start_reply (bt_core_t *core, const char *worker_name, const char *attempt_id,
                         const bt_start_reply_t *reply)
{
  bt_attempt_t *attempt = g_hash_table_lookup (core->sched.attempts, attempt_id);
  bt_worker_t *worker = bt_owner_find_worker (core, worker_name);
  if (attempt == NULL || worker == NULL || attempt->worker != worker)
    {
      core->counters.answers_dropped_late++;
      return;
    }
  if (reply == NULL)
    {
      core->counters.starts_uncertain++;
      attempt->phase = BT_PHASE_UNCERTAIN;
      bt_owner_fence (core, worker);
      return;
    }
  if (reply->verdict == BT_START_STARTED || reply->verdict == BT_START_ENDED)
    {
      if (reply->report != NULL && strcmp (reply->report->attempt, attempt_id) == 0)
        bt_sched_on_attempt_report (core, worker, reply->report);
      else if (reply->verdict == BT_START_STARTED)
        attempt->phase = BT_PHASE_RUNNING;
      else
        core->counters.messages_malformed++;
      return;
    }
  core->counters.starts_refused++;
  if (reply->verdict == BT_START_LEAVING)
    bt_drain_on_worker_report (worker, TRUE);
  else
    bt_owner_fence (core, worker);
  bt_sched_mark_attempt_lost (core, attempt, TRUE);
}

/**
 * bt_sched_on_stop_reply() - handle a worker's reply to a stop request
 * @core: the core
 * @worker_name: the worker's name
 * @reply: its answer, or NULL if none came
 */
void
bt_sched_on_stop_reply (bt_core_t *core, const char *worker_name, const bt_stop_reply_t *reply)
{
  bt_worker_t *worker = bt_owner_find_worker (core, worker_name);
  if (worker == NULL || reply == NULL || !reply->accepted)
    return;
  for (guint i = 0; i < reply->attempts->len; i++)
    bt_sched_on_attempt_report (core, worker, reply->attempts->pdata[i]);
}
