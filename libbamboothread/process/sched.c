#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Jobs of the data centre whose workers this daemon owns: admission, placement,
 * outcome and removal.
 */

/* Time between two checks for expired jobs. */
#define EXPIRY_INTERVAL_US (100 * BT_USEC_PER_MSEC)
/* Time between two removals of ended jobs. */
#define CLEANUP_INTERVAL_US (1 * BT_USEC_PER_SEC)
/* How long a job for which has_short_retention() holds is kept after its end. */
#define SHORT_RETENTION_US (30 * BT_USEC_PER_SEC)
/* Retry-After for a request that matches no route. */
#define RETRY_AFTER_MS 1000

static gboolean
attempts_need_record (const bt_job_t *job)
{
  gboolean gang = job->request != NULL && job->request->kind == BT_KIND_GANG;
  return !job->idempotent || gang;
}

/**
 * bt_sched_init() - initialise the tables of jobs and attempts
 * @core: the core
 */
void
bt_sched_init (bt_core_t *core)
{
  core->sched.jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bt_job_free);
  core->sched.attempts = g_hash_table_new (g_str_hash, g_str_equal);
}

/**
 * bt_sched_clear() - free all jobs and attempts
 * @core: the core
 */
void
bt_sched_clear (bt_core_t *core)
{
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      bt_queue_remove (core, job);
      for (guint i = 0; i < job->n_tasks; i++)
        if (job->tasks[i].attempt != NULL)
          bt_attempt_remove (core, job->tasks[i].attempt, BT_TASK_ENDED);
    }
  g_hash_table_unref (core->sched.jobs);
  g_hash_table_unref (core->sched.attempts);
}

static void
send_outcome (bt_core_t *core, const char *member, const char *job, const bt_outcome_t *outcome)
{
  if (strcmp (member, core->name) == 0)
    {
      bt_outcome_t local_outcome = *outcome;
      local_outcome.lead_since = core->owner.lead_since;
      bt_entry_on_outcome (core, core->name, job, &local_outcome);
      return;
    }
  Bt__Outcome message = BT__OUTCOME__INIT;
  message.job = (char *)job;
  message.status = outcome->status;
  message.reason = outcome->reason;
  message.retry_after_ms = outcome->retry_after_ms;
  message.lead_since_us = (guint64)core->owner.lead_since;
  message.detail = outcome->detail != NULL ? (char *)outcome->detail : (char *)"";
  if (outcome->answer != NULL)
    {
      gsize len;
      message.answer.data = (guint8 *)g_bytes_get_data (outcome->answer, &len);
      message.answer.len = len;
    }
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_OUTCOME;
  envelope.outcome = &message;
  bt_core_send_to_member (core, member, &envelope);
}

/**
 * bt_sched_notify_waiters() - send a job's status to the daemons whose callers wait for it
 * @core: the core
 * @job: the job, ended or accepted
 */
void
bt_sched_notify_waiters (bt_core_t *core, bt_job_t *job)
{
  bt_outcome_t outcome = { .status = job->status, .reason = job->reason };
  outcome.answer = job->answer;
  outcome.detail = job->detail;
  if (job->state != BT_JOB_ENDED)
    outcome.status = job->recorded ? BT_STATUS_ACCEPTED : BT_STATUS_HELD;
  else if (job->status == BT_STATUS_NOT_RUN)
    outcome.retry_after_ms = bt_admit_retry_after_ms (core, job);
  for (guint i = 0; i < job->waiters->len; i++)
    send_outcome (core, job->waiters->pdata[i], job->id, &outcome);
  g_ptr_array_set_size (job->waiters, 0);
}

/**
 * bt_sched_record_abandoned() - append a record that an attempt never started
 * @core: the core
 * @attempt: the attempt, whose record the log holds or will hold
 */
void
bt_sched_record_abandoned (bt_core_t *core, const bt_attempt_t *attempt)
{
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ABANDONED, attempt->job->id);
  record->attempt = g_ref_string_acquire (attempt->id);
  record->task = attempt->task;
  bt_journal_append (core, record);
}

static void
stop_tasks (bt_core_t *core, bt_job_t *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    {
      bt_attempt_t *attempt = job->tasks[i].attempt;
      if (attempt == NULL)
        continue;
      if (attempt->phase == BT_PHASE_RECORDING)
        {
          bt_sched_record_abandoned (core, attempt);
          bt_attempt_remove (core, attempt, BT_TASK_WAITING);
        }
      else
        bt_stop_attempt (core, attempt, BT_STOP_STOP);
    }
}

/**
 * bt_sched_end_job() - end a job, stop its tasks and notify those who wait for it
 * @core: the core
 * @job: the job; nothing happens if it has ended before
 * @status: its outcome, which may be BT_STATUS_UNKNOWN
 * @reason: why it ended
 * @answer: the whole answer, or NULL
 * @detail: the cause in words, or NULL
 */
void
bt_sched_end_job (bt_core_t *core, bt_job_t *job, bt_status_t status, bt_reason_t reason,
                  GBytes *answer, const char *detail)
{
  if (job->state == BT_JOB_ENDED)
    return;
  bt_queue_remove (core, job);
  job->state = BT_JOB_ENDED;
  job->ended_at = core->now;
  job->status = status;
  job->reason = reason;
  job->answer = answer != NULL ? g_bytes_ref (answer) : NULL;
  job->detail = g_strdup (detail);
  stop_tasks (core, job);
  bt_trace_add (core, job->id, "ended", job->route, "%s, %s", bt_status_names[status],
                bt_reason_names[reason]);
  if (bt_job_end_needs_record (job))
    {
      bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ENDED, job->id);
      record->status = status;
      record->reason = reason;
      bt_journal_append (core, record);
    }
  bt_sched_notify_waiters (core, job);
}

static const bt_task_t *
find_failed_task (const bt_job_t *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].failed)
      return &job->tasks[i];
  return NULL;
}

/**
 * bt_sched_end_job_if_complete() - end a job if all its tasks have ended or one failed for good
 * @core: the core
 * @job: the job; not ended while it has no request (known from workers' reports only), since its
 *   number of tasks is unknown then
 */
void
bt_sched_end_job_if_complete (bt_core_t *core, bt_job_t *job)
{
  if (job->state != BT_JOB_OPEN || job->request == NULL)
    return;
  const bt_task_t *failed = find_failed_task (job);
  if (failed != NULL)
    {
      bt_sched_end_job (core, job, BT_STATUS_FAILED, BT_REASON_TASK_FAILED, failed->answer,
                        "a task failed on its worker");
      return;
    }
  if (job->n_ended < job->n_tasks)
    return;
  g_autoptr (GBytes) answer = bt_job_answer (job);
  bt_sched_end_job (core, job, BT_STATUS_DONE, BT_REASON_NONE, answer, NULL);
}

/* Whether this daemon can prove that no earlier owner ran the request: none was asked, or its
 * attempts are recorded and the journal has been read up to this owner's term. */
static gboolean
is_proven_not_run (const bt_core_t *core, gboolean resent, gboolean attempts_recorded)
{
  return !resent || (attempts_recorded && core->journal.caught_up);
}

static void
refuse (bt_core_t *core, const char *member, const char *id, gboolean certain, const char *route,
        const bt_admission_t *verdict)
{
  bt_outcome_t outcome = { .status = certain ? BT_STATUS_NOT_RUN : BT_STATUS_UNKNOWN };
  outcome.reason = verdict->reason;
  outcome.retry_after_ms = verdict->retry_after_ms;
  g_autofree char *text
      = g_strdup_printf ("route %s: %s", route != NULL ? route : "(none)", verdict->detail);
  outcome.detail = text;
  bt_trace_add (core, id, "refused", route, "%s: %s", bt_reason_names[verdict->reason],
                verdict->detail);
  send_outcome (core, member, id, &outcome);
}

static void
record_accepted (bt_core_t *core, const bt_job_t *job)
{
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ACCEPTED, job->id);
  record->request = bt_schema_copy (&bt_request_schema, job->request);
  record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
  bt_journal_append (core, record);
}

static void
admit (bt_core_t *core, const char *member, const char *id, const bt_request_t *request,
       const bt_route_t *route, gboolean resent, gint64 age_us)
{
  bt_job_t *job = bt_job_new (core, id);
  job->submitted_at = core->now - age_us;
  job->may_have_run = resent;
  bt_job_set_request (job, request, route);
  bt_job_add_waiter (job, member);
  bt_trace_add (core, id, "admitted", route->name, "pool %s, class %s", route->pool,
                bt_class_names[route->work_class]);
  if (!job->durable)
    {
      bt_queue_push (core, job);
      return;
    }
  gboolean hold = !core->journal.available && route->on_log_outage == BT_LOG_OUTAGE_HOLD;
  job->state = hold ? BT_JOB_OPEN : BT_JOB_RECORDING;
  record_accepted (core, job);
  if (!hold)
    return;
  bt_queue_push (core, job);
  bt_sched_notify_waiters (core, job);
}

static void
submit_known_job (bt_core_t *core, const char *member, bt_job_t *job, const bt_request_t *request)
{
  if (job->request == NULL)
    bt_job_set_request (
        job, request, bt_tables_match_route (core->tables.tables, request->caller, request->work));
  bt_job_add_waiter (job, member);
  bt_sched_end_job_if_complete (core, job);
  if (job->state == BT_JOB_ENDED || (job->state == BT_JOB_OPEN && job->durable))
    bt_sched_notify_waiters (core, job);
  else if (job->state == BT_JOB_OPEN && job->n_waiting > 0)
    bt_queue_push (core, job);
}

/**
 * bt_sched_submit() - handle a request for the workers of this data centre
 * @core: the core
 * @member: name of the daemon whose caller asks
 * @id: the job's id; a known id means a copy of the same request
 * @request: the request
 * @resent: whether an earlier owner was asked and may have run it
 * @age_us: time since the caller asked, in microseconds
 * @lead_since: start of the leadership of this daemon that the request was sent to
 *
 * A request that was sent to an earlier leadership is answered with BT_STATUS_RETRY: it
 * may be a late copy of one that was answered then. So is every request while this
 * daemon is shutting down.
 */
void
bt_sched_submit (bt_core_t *core, const char *member, const char *id, const bt_request_t *request,
                 gboolean resent, gint64 age_us, gint64 lead_since)
{
  gboolean same_leadership = core->owner.leading && lead_since == core->owner.lead_since;
  if (!same_leadership || core->leaving)
    {
      bt_outcome_t outcome = { .status = BT_STATUS_RETRY, .reason = BT_REASON_NO_OWNER };
      send_outcome (core, member, id, &outcome);
      return;
    }
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, id);
  if (job != NULL)
    {
      submit_known_job (core, member, job, request);
      return;
    }
  gboolean recently_elected = core->now < core->owner.lead_since + core->config.retention_us;
  resent = resent || (request->key != NULL && recently_elected);
  const bt_route_t *route
      = bt_tables_match_route (core->tables.tables, request->caller, request->work);
  if (route == NULL)
    {
      bt_admission_t no_route = { .reason = BT_REASON_NO_ROUTE, .retry_after_ms = RETRY_AFTER_MS };
      no_route.detail = (char *)"no line matches";
      refuse (core, member, id, !resent, NULL, &no_route);
      return;
    }
  gboolean attempts_recorded = bt_request_is_durable (request) || !route->idempotent;
  bt_admission_t verdict;
  if (bt_admit_was_refused (core, id))
    bt_admit_refuse_duplicate (&verdict);
  else
    bt_admit_check (core, route, request, age_us, &verdict);
  if (verdict.reason != BT_REASON_NONE)
    {
      gboolean certain = is_proven_not_run (core, resent, attempts_recorded);
      bt_admit_note_refused (core, id, request);
      refuse (core, member, id, certain, route->name, &verdict);
      g_free (verdict.detail);
      return;
    }
  admit (core, member, id, request, route, resent, age_us);
  bt_sched_run_pass (core);
}

static void
send_start (bt_core_t *core, bt_attempt_t *attempt)
{
  bt_job_t *job = attempt->job;
  core->now = bt_clock_now (core->clock);
  if (!bt_owner_may_start (core, attempt->worker))
    {
      bt_sched_mark_attempt_lost (core, attempt, TRUE);
      return;
    }
  attempt->phase = BT_PHASE_SENT;
  attempt->sent_at = core->now;
  if (job->started_at == 0)
    job->started_at = core->now;
  bt_start_request_t request = { .epoch = attempt->worker->epoch, .task = attempt->task };
  request.owner = g_ref_string_new (core->owner_id);
  request.attempt = attempt->id;
  request.job = job->id;
  request.mcpus = attempt->need.v[BT_RESOURCE_MCPUS];
  request.memory_mb = attempt->need.v[BT_RESOURCE_MEMORY_MB];
  request.gpus = attempt->need.v[BT_RESOURCE_GPUS];
  request.connections = attempt->need.v[BT_RESOURCE_CONNECTIONS];
  request.run_ms = job->request->run_ms;
  request.service = job->request->kind == BT_KIND_SERVICE;
  request.wait = job->request->kind == BT_KIND_REQUEST;
  request.payload = job->request->payload;
  core->counters.starts_sent++;
  bt_estimate_on_task_started (core, job);
  bt_trace_add (core, job->id, "started", job->route,
                "task %u on %s (pool %s) after %" G_GINT64_FORMAT " ms", attempt->task,
                attempt->worker->name, attempt->worker->pool,
                (core->now - job->submitted_at) / BT_USEC_PER_MSEC);
  core->ops.worker_start (core->context, attempt->worker->name, attempt->worker->address, &request);
  g_ref_string_release (request.owner);
}

/**
 * bt_sched_on_attempt_recorded() - send the start of an attempt whose record is in the log
 * @core: the core
 * @attempt: an attempt that was being recorded
 */
void
bt_sched_on_attempt_recorded (bt_core_t *core, bt_attempt_t *attempt)
{
  if (attempt->phase == BT_PHASE_RECORDING)
    send_start (core, attempt);
}

/**
 * bt_sched_begin_attempt() - assign a task to a worker, and record the attempt if required
 * @core: the core
 * @job: the job
 * @task: index of the waiting task
 * @worker: a worker with enough free resources
 */
void
bt_sched_begin_attempt (bt_core_t *core, bt_job_t *job, guint task, bt_worker_t *worker)
{
  bt_attempt_t *attempt = bt_attempt_new (core, job, task, NULL, worker->name);
  bt_attempt_bind (attempt, worker, &job->need);
  attempt->phase = BT_PHASE_RECORDING;
  if (!attempts_need_record (job))
    return;
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ATTEMPT, job->id);
  record->attempt = g_ref_string_acquire (attempt->id);
  record->worker = g_ref_string_acquire (worker->name);
  record->task = task;
  record->route = g_ref_string_acquire (job->route);
  if (!job->durable)
    record->request = bt_schema_copy (&bt_request_schema, job->request);
  bt_journal_append (core, record);
}

static gint
find_waiting_task (const bt_job_t *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == BT_TASK_WAITING)
      return (gint)i;
  return -1;
}

/**
 * bt_sched_unplaced_status() - status of a job that ends while none of its tasks is placed
 * @core: the core
 * @job: the job; it may have had attempts before
 *
 * Return: BT_STATUS_NOT_RUN or BT_STATUS_FAILED if that is certain, else BT_STATUS_UNKNOWN.
 */
bt_status_t
bt_sched_unplaced_status (const bt_core_t *core, const bt_job_t *job)
{
  guint n_attempts = 0;
  for (guint i = 0; i < job->n_tasks; i++)
    n_attempts += job->tasks[i].n_attempts;
  if (n_attempts == 0 && is_proven_not_run (core, job->may_have_run, attempts_need_record (job)))
    return BT_STATUS_NOT_RUN;
  return n_attempts > 0 && n_attempts == job->n_failures ? BT_STATUS_FAILED : BT_STATUS_UNKNOWN;
}

static void
end_if_expired (bt_core_t *core, bt_job_t *job)
{
  if (job->state != BT_JOB_OPEN || job->n_placed > 0 || core->now < job->deadline_at)
    return;
  bt_sched_end_job (core, job, bt_sched_unplaced_status (core, job), BT_REASON_DEADLINE, NULL,
                    "its deadline passed while it waited");
}

static gboolean
place_task (bt_core_t *core, bt_job_t *job)
{
  gint task = find_waiting_task (job);
  if (task < 0)
    return TRUE;
  bt_worker_t *worker = bt_place_find (core, job, (guint)task);
  if (worker == NULL)
    return FALSE;
  bt_sched_begin_attempt (core, job, (guint)task, worker);
  if (!attempts_need_record (job))
    send_start (core, job->tasks[task].attempt);
  return job->tasks[task].state != BT_TASK_WAITING;
}

static gboolean
place_job (bt_core_t *core, bt_job_t *job)
{
  if (attempts_need_record (job) && !core->journal.caught_up)
    return FALSE;
  if (job->request->kind == BT_KIND_GANG)
    return bt_gang_place (core, job);
  return place_task (core, job);
}

/**
 * bt_sched_run_pass() - place queued jobs, in queue order
 * @core: the core
 */
void
bt_sched_run_pass (bt_core_t *core)
{
  if (!core->owner.leading)
    return;
  bt_job_t *job;
  while ((job = bt_queue_next (core)) != NULL)
    {
      end_if_expired (core, job);
      gboolean placed = job->state == BT_JOB_OPEN && place_job (core, job);
      if (!placed && job->state == BT_JOB_OPEN)
        bt_preempt_try (core, job);
      bt_queue_report_placement (core, job, placed);
    }
}

/**
 * bt_sched_requeue() - queue a job again that has a waiting task
 * @core: the core
 * @job: the job; if it is a gang, its other tasks are stopped first
 */
void
bt_sched_requeue (bt_core_t *core, bt_job_t *job)
{
  if (job->state != BT_JOB_OPEN || job->request == NULL)
    return;
  if (job->request->kind == BT_KIND_GANG && job->n_placed > 0)
    stop_tasks (core, job);
  bt_queue_push (core, job);
}

static void
remove_unknown_job (bt_core_t *core, bt_job_t *job)
{
  if (job->request == NULL && !job->recorded && job->n_placed == 0)
    g_hash_table_remove (core->sched.jobs, job->id);
}

/**
 * bt_sched_mark_attempt_lost() - give up an attempt that ended without a result
 * @core: the core
 * @attempt: the attempt, freed
 * @surely_not_run: whether it certainly never started
 *
 * The task of an open job is requeued if it never started or the job is idempotent; else the
 * job ends as unknown.
 */
void
bt_sched_mark_attempt_lost (bt_core_t *core, bt_attempt_t *attempt, gboolean surely_not_run)
{
  bt_job_t *job = attempt->job;
  bt_trace_add (core, job->id, surely_not_run ? "not-started" : "lost", job->route, "task %u on %s",
                attempt->task, attempt->worker_name);
  core->counters.attempts_lost++;
  if (surely_not_run && attempt->recorded)
    bt_sched_record_abandoned (core, attempt);
  gboolean may_rerun = surely_not_run || job->idempotent;
  gboolean is_open = job->state == BT_JOB_OPEN;
  bt_attempt_remove (core, attempt, may_rerun && is_open ? BT_TASK_WAITING : BT_TASK_ENDED);
  if (job->request == NULL && !job->recorded)
    remove_unknown_job (core, job);
  else if (may_rerun)
    bt_sched_requeue (core, job);
  else
    bt_sched_end_job (core, job, BT_STATUS_UNKNOWN, BT_REASON_OWNER_LOST, NULL,
                      "the task may have run; its worker was lost");
}

/**
 * bt_sched_cancel() - cancel a job at its caller's request
 * @core: the core
 * @job: the job
 */
void
bt_sched_cancel (bt_core_t *core, bt_job_t *job)
{
  if (job->state == BT_JOB_ENDED || job->cancelled)
    return;
  job->cancelled = TRUE;
  if (bt_job_end_needs_record (job))
    bt_journal_append (core, bt_journal_record_new (core, BT_RECORD_CANCEL, job->id));
  bt_sched_end_job (core, job, BT_STATUS_CANCELLED, BT_REASON_CANCELLED, NULL,
                    "cancelled by its caller");
}

/**
 * bt_sched_on_caller_gone() - end a request that still waits, if it is not durable and no other
 *   daemon awaits it
 * @core: the core
 * @member: the daemon whose caller closed its connection
 * @id: the job's id
 */
void
bt_sched_on_caller_gone (bt_core_t *core, const char *member, const char *id)
{
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, id);
  if (job == NULL || job->durable || job->n_placed > 0 || job->state != BT_JOB_OPEN)
    return;
  for (guint i = 0; i < job->waiters->len; i++)
    if (strcmp (job->waiters->pdata[i], member) != 0)
      return;
  bt_sched_end_job (core, job, bt_sched_unplaced_status (core, job), BT_REASON_CALLER_GONE, NULL,
                    "its caller went away while it waited");
}

/*
 * An idempotent short request without a key or a record is kept only to detect resent
 * messages. A copy that arrives even later runs a second time, which is allowed.
 */
static gboolean
has_short_retention (const bt_job_t *job)
{
  return job->request != NULL && job->request->kind == BT_KIND_REQUEST && job->request->key == NULL
         && job->idempotent && !bt_job_end_needs_record (job);
}

static gboolean
can_be_removed (const bt_core_t *core, const bt_job_t *job)
{
  if (job->state != BT_JOB_ENDED || job->n_placed > 0 || job->waiters->len > 0)
    return FALSE;
  if (bt_job_end_needs_record (job) && !job->end_recorded)
    return FALSE;
  gint64 retention_us = core->config.retention_us;
  if (has_short_retention (job))
    retention_us = MIN (retention_us, SHORT_RETENTION_US);
  return core->now - job->ended_at > retention_us;
}

static void
expire_and_clean_up (bt_core_t *core)
{
  bt_queue_expire (core, end_if_expired);
  if (core->now < core->sched.next_cleanup)
    return;
  core->sched.next_cleanup = core->now + CLEANUP_INTERVAL_US;
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    if (can_be_removed (core, job))
      g_hash_table_iter_remove (&iter);
}

/**
 * bt_sched_tick() - place jobs, send stop orders, expire waiting jobs and remove ended ones
 * @core: the core
 */
void
bt_sched_tick (bt_core_t *core)
{
  bt_quota_tick (core);
  bt_queue_tick (core);
  bt_sched_run_pass (core);
  bt_stop_tick (core);
  if (core->now < core->sched.next_sweep)
    return;
  core->sched.next_sweep = core->now + EXPIRY_INTERVAL_US;
  expire_and_clean_up (core);
}
