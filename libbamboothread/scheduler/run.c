#include "libbamboothread/scheduler/sched_private.h"
#include "libbamboothread/scheduler/quota.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/place.h"

/*
 * Runs of tasks on workers, from the start order until the run is known to be
 * over. An order without a reply may have been carried out, or may be carried
 * out later; it is retried until the worker replies. A run that is no longer wanted is
 * stopped by its number; after that the worker also refuses a delayed start
 * order for it.
 */

/* Start orders without a reply after which a run is stopped instead. */
#define START_ATTEMPTS_MAX 5
/* Time between two stop orders for a run, in microseconds. */
#define STOP_RETRY_US (400 * 1000)
/* Longest time for which orders are sent in one go, in microseconds. */
#define SENDING_MAX_US (8 * 1000)
/* Time for which a worker that was full or busy gets no new tasks, in microseconds; its
   next listing shows what takes its resources. */
#define NO_ROOM_BACKOFF_US (300 * 1000)
#define BUSY_BACKOFF_US (1000 * 1000)
/* Time before a stage whose start order was refused as invalid is placed again, in
   microseconds. */
#define INVALID_BACKOFF_US (2000 * 1000)

/* All members of a gang resume from one checkpoint; that of any member is valid for all. */
static const char *
initial_checkpoint (const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (!bts_stage_step (stage)->gang)
    return task->checkpoint;
  const bts_task_t *member;
  for (guint i = 0; (member = bts_stage_next_task (stage, &i)) != NULL;)
    if (member->checkpoint != NULL)
      return member->checkpoint;
  return NULL;
}

/* Charges a run to its tenant. The task is looked up, since it isn't given if it has another run.
 */
static void
charge_tenant (bts_sched_t *sched, bts_run_t *run)
{
  const bts_task_t *task = run->task != NULL ? run->task : bts_sched_find_task (sched, run->name);
  if (task == NULL)
    return;
  const Bts__Step *step = bts_stage_step (task->stage);
  bts_account_t *account = task->stage->job->account;
  run->account = account != NULL ? account : bts_usage_nobody (sched->usage);
  run->service = run->worker->service;
  run->charged = bts_usage_demand (step);
  run->usage_kind = bts_quota_kind (task->stage);
  bts_usage_charge (run->account, run->service, &run->charged, run->usage_kind);
}

/**
 * bts_run_new() - add a run to a worker and charge its resources to the worker and its tenant
 * @sched: the scheduler
 * @task: the task, whose current run this becomes; NULL if the job isn't known or the task has
 *   another run
 * @name: the task's name
 * @number: number of the run
 * @demand: the resources that it takes
 * @worker: the worker
 */
bts_run_t *
bts_run_new (bts_sched_t *sched, bts_task_t *task, const char *name, guint number,
             const bts_resources_t *demand, bts_worker_t *worker)
{
  bts_run_t *run = g_new0 (bts_run_t, 1);
  run->serial = ++sched->serial;
  run->task = task;
  run->name = g_strdup (name);
  run->number = number;
  run->resources = *demand;
  run->created_us = bts_sched_now (sched);
  run->startup_end_us = G_MAXINT64;
  if (task != NULL)
    {
      run->checkpoint = g_strdup (initial_checkpoint (task));
      task->run = run;
      task->stage->job->n_runs++;
    }
  bts_worker_add_run (worker, run);
  charge_tenant (sched, run);
  bts_interference_on_run_added (sched->fleet->interference, run, run->created_us);
  g_hash_table_insert (sched->runs, &run->serial, run);
  return run;
}

void
bts_run_free (bts_run_t *run)
{
  g_free (run->name);
  g_free (run->checkpoint);
  g_free (run->presence_ms);
  g_free (run);
}

/**
 * bts_run_remove() - remove a run and release its resources
 * @sched: the scheduler
 * @run: a run that is over, was refused or was never ordered; freed
 */
void
bts_run_remove (bts_sched_t *sched, bts_run_t *run)
{
  if (run->task != NULL)
    run->task->stage->job->n_runs--;
  if (run->task != NULL && run->task->run == run)
    run->task->run = NULL;
  bts_interference_on_run_removed (sched->fleet->interference, run, bts_sched_now (sched));
  bts_worker_remove_run (run->worker, run);
  bts_usage_release (run->account, run->service, &run->charged, run->usage_kind);
  run->worker->freed_pass = sched->pass_number;
  g_hash_table_remove (sched->runs, &run->serial);
  bts_run_free (run);
  sched->dirty = TRUE;
}

static void
add_order (bts_sched_t *sched, const bts_run_t *run, bts_order_kind_t kind)
{
  const bts_stage_t *stage = run->task == NULL ? NULL : run->task->stage;
  const bts_order_t order
      = { run->worker->entry->id, kind, stage == NULL ? 0 : bts_stage_policy (stage)->priority,
          stage == NULL ? NULL : stage->job, run->serial };
  bts_outbox_add (sched->outbox, &order);
}

static void
order_start (bts_sched_t *sched, bts_run_t *run)
{
  run->start_in_flight = TRUE;
  run->stop_retry_us = 0;
  add_order (sched, run, BTS_ORDER_START);
}

/* Whether a start may be sent now that its turn has come. A later owner may have started the task
   meanwhile, or the worker may have restarted as its lease is over. */
static gboolean
may_send_start (const bts_sched_t *sched, const bts_run_t *run)
{
  return run->state == BTS_RUN_STARTING && run->task != NULL && !bts_sched_is_journal_stale (sched)
         && bts_sched_now (sched) <= bts_worker_lease_expiry_us (run->worker);
}

static gboolean
send_start (bts_sched_t *sched, bts_run_t *run)
{
  if (!may_send_start (sched, run))
    {
      run->start_in_flight = FALSE;
      run->worker->may_repeat = TRUE;
      return FALSE;
    }
  const bts_ticket_t *ticket = bts_stage_ticket (run->task->stage, run->worker->number);
  bts_start_order_t order = { 0 };
  order.fence = sched->term;
  order.deadline_ms = bts_sched_renew_lease (sched, run->worker);
  order.ticket = ticket == NULL ? NULL : ticket->ticket;
  if (run->unsent)
    {
      run->unsent = FALSE;
      bt_metrics_observe (BT_HIST_ORDER_QUEUE_MS, (bts_sched_now (sched) - run->created_us) / 1000);
      run->created_us = bts_sched_now (sched);
    }
  sched->ops->start (sched->context, run, &order);
  return TRUE;
}

static gboolean
send_stop (const bts_sched_t *sched, const bts_run_t *run)
{
  sched->ops->stop (sched->context, run, sched->term);
  return TRUE;
}

/**
 * bts_run_send_order() - send an order whose turn in the outbox has come
 * @context: the scheduler
 * @kind: the order
 * @serial: serial number of the run
 *
 * Return: FALSE if the order isn't sent: the run is over, or a start has to wait, or isn't wanted.
 */
gboolean
bts_run_send_order (void *context, bts_order_kind_t kind, guint64 serial)
{
  bts_sched_t *sched = context;
  bts_run_t *run = g_hash_table_lookup (sched->runs, &serial);
  if (run == NULL)
    return FALSE;
  return kind == BTS_ORDER_START ? send_start (sched, run) : send_stop (sched, run);
}

/**
 * bts_sched_send_orders() - send the orders to workers whose turn has come
 * @sched: a leading scheduler
 *
 * Ends after some time, as a pass does, so that replies and jobs that have come in don't wait.
 */
void
bts_sched_send_orders (bts_sched_t *sched)
{
  gint64 began_us = bts_sched_now (sched);
  sched->is_sending_behind = FALSE;
  while (!sched->is_sending_behind && bts_outbox_send_next (sched->outbox))
    sched->is_sending_behind = bts_sched_now (sched) - began_us >= SENDING_MAX_US;
}

/**
 * bts_run_start() - order a worker to start a run
 * @sched: the scheduler
 * @run: a new run
 */
void
bts_run_start (bts_sched_t *sched, bts_run_t *run)
{
  run->state = BTS_RUN_STARTING;
  run->unsent = TRUE;
  bt_metrics_count (BT_COUNT_START_ORDERS);
  bt_log (BT_LOG_INFO, "start", "task=%s run=%u worker=%s term=%" G_GUINT64_FORMAT, run->name,
          run->number, run->worker->entry->id, sched->term);
  order_start (sched, run);
}

static void
order_stop (bts_sched_t *sched, bts_run_t *run)
{
  run->stop_in_flight = TRUE;
  run->stop_retry_us = 0;
  add_order (sched, run, BTS_ORDER_STOP);
}

/**
 * bts_run_stop() - order a worker to stop a run
 * @sched: the scheduler
 * @run: the run; nothing happens if it is being stopped already
 *
 * One whose start was never sent is dropped at the next tick, without an order.
 */
void
bts_run_stop (bts_sched_t *sched, bts_run_t *run)
{
  if (run->state == BTS_RUN_STOPPING)
    return;
  run->state = BTS_RUN_STOPPING;
  bt_metrics_count (BT_COUNT_STOP_ORDERS);
  run->confirmed_us = 0;
  bt_log (BT_LOG_INFO, "stop", "task=%s run=%u worker=%s", run->name, run->number,
          run->worker->entry->id);
  if (run->unsent)
    run->worker->may_repeat = TRUE;
  else
    order_stop (sched, run);
}

/**
 * bts_gang_stop() - stop all runs of a gang
 * @sched: the scheduler
 * @stage: the gang
 */
void
bts_gang_stop (bts_sched_t *sched, bts_stage_t *stage)
{
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    if (task->run != NULL)
      bts_run_stop (sched, task->run);
}

static gboolean
is_gang_member (const bts_run_t *run)
{
  return run->task != NULL && bts_stage_step (run->task->stage)->gang;
}

/**
 * bts_run_stop_with_gang() - stop a run, and the runs of all other members of its gang
 * @sched: the scheduler
 * @run: the run
 */
void
bts_run_stop_with_gang (bts_sched_t *sched, bts_run_t *run)
{
  if (is_gang_member (run))
    bts_gang_stop (sched, run->task->stage);
  else
    bts_run_stop (sched, run);
}

/**
 * bts_gang_stop_if_incomplete() - stop a gang of which some members run and others don't
 * @sched: a scheduler that knows all runs of earlier owners
 * @stage: a stage; ignored unless it is a gang
 */
void
bts_gang_stop_if_incomplete (bts_sched_t *sched, bts_stage_t *stage)
{
  if (bts_stage_step (stage)->gang && bts_stage_count_pending (stage) > 0)
    bts_gang_stop (sched, stage);
}

/**
 * bts_gangs_stop_incomplete() - stop the gangs of which an earlier owner has started a part
 * @sched: a scheduler that knows all runs of earlier owners
 *
 * The others of such a gang never come, and it can be started anew only as a whole.
 */
void
bts_gangs_stop_incomplete (bts_sched_t *sched)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_run_t *run = value;
      if (run->task != NULL)
        bts_gang_stop_if_incomplete (sched, run->task->stage);
    }
}

/* Removes a run and queues its task, or its whole gang, again. */
static void
requeue (bts_sched_t *sched, bts_run_t *run)
{
  bts_task_t *task = run->task;
  bts_run_remove (sched, run);
  if (task == NULL)
    return;
  if (bts_stage_step (task->stage)->gang)
    bts_gang_stop (sched, task->stage);
  bts_sched_enqueue (sched, task->stage);
}

/**
 * bts_run_mark_lost() - give a run up and queue its task again
 * @sched: the scheduler
 * @run: the run; freed. An end of it that is listed later is ignored.
 * @cause: how it is known to be over, for the log
 */
void
bts_run_mark_lost (bts_sched_t *sched, bts_run_t *run, const char *cause)
{
  bts_task_t *task = run->task;
  bt_log (BT_LOG_INFO, "lost", "task=%s run=%u worker=%s cause=%s", run->name, run->number,
          run->worker->entry->id, cause);
  bt_metrics_count (BT_COUNT_RUNS_LOST);
  if (task != NULL)
    task->lost_run = MAX (task->lost_run, run->number);
  requeue (sched, run);
}

/* Drops a run whose start was never sent, and queues its task again. */
static void
withdraw_start (bts_sched_t *sched, bts_run_t *run, const char *cause)
{
  bt_metrics_count (BT_COUNT_STARTS_WITHDRAWN);
  bt_log (BT_LOG_INFO, "start-withdrawn", "task=%s run=%u worker=%s cause=%s", run->name,
          run->number, run->worker->entry->id, cause);
  requeue (sched, run);
}

/**
 * bts_worker_withdraw_starts() - drop the runs on a silent worker whose starts were never sent
 * @sched: the scheduler
 * @worker: the worker; others may have room for these tasks
 */
void
bts_worker_withdraw_starts (bts_sched_t *sched, bts_worker_t *worker)
{
  for (guint i = worker->runs->len; i > 0; i--)
    {
      bts_run_t *run = worker->runs->pdata[i - 1];
      if (run->unsent)
        withdraw_start (sched, run, "silent");
    }
}

/**
 * bts_run_mark_worker_lost() - give a run up because its worker may have crashed
 * @sched: the scheduler
 * @run: the run; freed
 * @cause: how it is known to be over, for the log
 */
void
bts_run_mark_worker_lost (bts_sched_t *sched, bts_run_t *run, const char *cause)
{
  if (run->unsent)
    {
      withdraw_start (sched, run, cause);
      return;
    }
  bts_crash_on_run_lost (sched, run);
  bts_run_mark_lost (sched, run, cause);
}

/* Removes a run that the worker has refused and never started, and queues its task again. */
static void
handle_refusal (bts_sched_t *sched, bts_run_t *run, const char *cause)
{
  bt_metrics_count (BT_COUNT_STARTS_REFUSED);
  bt_log (BT_LOG_INFO, "refused", "task=%s run=%u worker=%s cause=%s", run->name, run->number,
          run->worker->entry->id, cause);
  requeue (sched, run);
}

static void
invalidate_ticket (bts_run_t *run)
{
  bts_ticket_t *ticket
      = run->task == NULL ? NULL : bts_stage_ticket (run->task->stage, run->worker->number);
  if (ticket != NULL)
    ticket->received_us = 0;
}

/* Records that a job has begun, now that a worker has said so. */
static void
note_begun (bts_sched_t *sched, const bts_run_t *run, gint64 now_us)
{
  bts_job_t *job = run->task->stage->job;
  if (job->begun || job->begun_reported)
    return;
  gint64 waited_ms = (now_us - job->folded_us) / 1000;
  bt_metrics_observe (BT_HIST_FIRST_START_MS, waited_ms);
  bt_log (BT_LOG_INFO, "begun", "job=%s task=%s run=%u worker=%s waited_ms=%" G_GINT64_FORMAT,
          bts_job_id (job), run->name, run->number, run->worker->entry->id, waited_ms);
  bts_heartbeat_add_begun (sched, job);
}

/**
 * bts_run_mark_begun() - record that a worker has begun a run that this owner has ordered
 * @sched: the scheduler
 * @run: the run, which the worker has confirmed or listed; nothing happens if that is known
 * @now_us: the current time
 */
void
bts_run_mark_begun (bts_sched_t *sched, bts_run_t *run, gint64 now_us)
{
  /* An order of an earlier owner may have begun a run of the same number. */
  run->unsent = FALSE;
  if (run->has_begun)
    return;
  run->has_begun = TRUE;
  bt_metrics_count (BT_COUNT_STARTS);
  if (run->task == NULL || run->task->run != run)
    return;
  bts_stage_t *stage = run->task->stage;
  stage->waiting_since_us = stage->queued ? now_us : 0;
  stage->no_room_since_us = stage->queued ? stage->no_room_since_us : 0;
  stage->reservation.free_since_us = 0;
  note_begun (sched, run, now_us);
}

static void
confirm_run (bts_run_t *run, gint64 now_us)
{
  run->confirmed_us = now_us;
  bts_crash_on_run_confirmed (run, now_us);
  if (run->state == BTS_RUN_STARTING)
    run->state = BTS_RUN_RUNNING;
}

/**
 * bts_run_mark_stopped() - record that a stop order for a run was carried out
 * @run: the run, which its worker lists as stopped
 */
void
bts_run_mark_stopped (const bts_run_t *run)
{
  if (run->state != BTS_RUN_STOPPING)
    return;
  bt_metrics_count (BT_COUNT_STOPS);
  if (run->stop_reason == BTS_STOP_PREEMPTED)
    bt_metrics_count (BT_COUNT_PREEMPTED);
  if (run->stop_reason == BTS_STOP_EVACUATED)
    bt_metrics_count (BT_COUNT_EVACUATED);
}

/* Stops a run whose start isn't confirmed: the order may have been carried out, or may be carried
   out later. The other members of its gang are stopped with it, as they would wait for it in vain.
 */
static void
give_up_start (bts_sched_t *sched, bts_run_t *run)
{
  if (run->state == BTS_RUN_STOPPING)
    return;
  bt_log (BT_LOG_NOTICE, "start-given-up", "task=%s run=%u worker=%s attempts=%u gang=%d",
          run->name, run->number, run->worker->entry->id, run->unanswered_starts,
          is_gang_member (run));
  bts_run_stop_with_gang (sched, run);
}

/* Repeats a start order that got no reply, or gives the start up after several of them. While a
   later owner may have started the task, the order waits. */
static void
repeat_start (bts_sched_t *sched, bts_run_t *run)
{
  if (run->state != BTS_RUN_STARTING || bts_sched_is_journal_stale (sched))
    return;
  gint64 expiry_us = bts_worker_lease_expiry_us (run->worker);
  if (bts_sched_confirmed_us (sched) > expiry_us)
    bts_run_mark_worker_lost (sched, run, "lease-over");
  /* No start order goes to a worker whose lease has expired: it may have restarted. */
  else if (bts_sched_now (sched) <= expiry_us && run->unanswered_starts < START_ATTEMPTS_MAX)
    {
      if (!run->unsent)
        bt_metrics_count (BT_COUNT_STARTS_REPEATED);
      order_start (sched, run);
    }
  else
    give_up_start (sched, run);
}

/**
 * bts_sched_on_start_reply() - handle the result of a start order
 * @sched: the scheduler
 * @serial: serial of the run
 * @reply: the result
 * @clock_ms: the worker's clock; 0 if the reply didn't have it
 */
void
bts_sched_on_start_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply, gint64 clock_ms)
{
  bts_outbox_on_reply (sched->outbox, BTS_ORDER_START, serial, reply != BTS_REPLY_NO_ANSWER);
  bts_run_t *run = sched->term == 0 ? NULL : g_hash_table_lookup (sched->runs, &serial);
  if (run == NULL)
    return;
  gint64 now_us = bts_sched_now (sched);
  bts_worker_t *worker = run->worker;
  run->start_in_flight = FALSE;
  if (clock_ms > 0 && reply != BTS_REPLY_WRONG_WORKER)
    bts_worker_on_reply (worker, clock_ms, now_us);
  /* An earlier order without a reply may still have started the run. */
  gboolean refusal_is_final = run->unanswered_starts == 0 && run->state == BTS_RUN_STARTING;
  switch (reply)
    {
    case BTS_REPLY_OK:
      confirm_run (run, now_us);
      bts_run_mark_begun (sched, run, now_us);
      break;
    case BTS_REPLY_NO_ANSWER:
      run->unanswered_starts++;
      worker->may_repeat = TRUE;
      repeat_start (sched, run);
      break;
    case BTS_REPLY_FENCED:
      sched->ops->fenced (sched->context);
      break;
    case BTS_REPLY_WRONG_WORKER:
      bts_worker_mark_replaced (sched, worker);
      break;
    case BTS_REPLY_STALE_RUN:
      if (refusal_is_final)
        handle_refusal (sched, run, "old");
      else
        confirm_run (run, now_us);
      break;
    default:
      if (reply == BTS_REPLY_NO_ROOM)
        worker->backoff_until_us = now_us + NO_ROOM_BACKOFF_US;
      if (reply == BTS_REPLY_BUSY)
        worker->backoff_until_us = now_us + BUSY_BACKOFF_US;
      if (reply == BTS_REPLY_BAD_TICKET)
        invalidate_ticket (run);
      if (reply == BTS_REPLY_INVALID && run->task != NULL)
        run->task->stage->backoff_until_us = now_us + INVALID_BACKOFF_US;
      if (refusal_is_final)
        handle_refusal (sched, run,
                        reply == BTS_REPLY_NO_ROOM         ? "room"
                        : reply == BTS_REPLY_BAD_TICKET    ? "ticket"
                        : reply == BTS_REPLY_LEASE_EXPIRED ? "late"
                        : reply == BTS_REPLY_BUSY          ? "busy"
                                                           : "invalid");
      else
        give_up_start (sched, run);
      break;
    }
}

/**
 * bts_sched_on_stop_reply() - handle the result of a stop order
 * @sched: the scheduler
 * @serial: serial of the run
 * @reply: the result
 * @clock_ms: the worker's clock; 0 if the reply didn't have it
 */
void
bts_sched_on_stop_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply, gint64 clock_ms)
{
  bts_outbox_on_reply (sched->outbox, BTS_ORDER_STOP, serial, reply != BTS_REPLY_NO_ANSWER);
  bts_run_t *run = sched->term == 0 ? NULL : g_hash_table_lookup (sched->runs, &serial);
  if (run == NULL)
    return;
  gint64 now_us = bts_sched_now (sched);
  run->stop_in_flight = FALSE;
  if (clock_ms > 0 && reply != BTS_REPLY_WRONG_WORKER)
    bts_worker_on_reply (run->worker, clock_ms, now_us);
  if (reply == BTS_REPLY_OK)
    {
      run->stop_acked = TRUE;
      run->confirmed_us = now_us;
      /* Asks for the listing with the run's end at once. */
      run->worker->hold_next_us = MIN (run->worker->hold_next_us, now_us);
    }
  else if (reply == BTS_REPLY_FENCED)
    sched->ops->fenced (sched->context);
  else if (reply == BTS_REPLY_WRONG_WORKER)
    bts_worker_mark_replaced (sched, run->worker);
  else
    {
      bt_metrics_count (BT_COUNT_STOPS_UNANSWERED);
      run->stop_retry_us = now_us + STOP_RETRY_US;
      run->worker->may_repeat = TRUE;
    }
}

/* Whether a start order, or the first one, has to be sent again or has to wait for that. */
static gboolean
needs_start (const bts_run_t *run)
{
  return run->state == BTS_RUN_STARTING && (run->unanswered_starts > 0 || run->unsent);
}

/* Repeats the order of a run if that is due. */
static void
repeat_order (bts_sched_t *sched, bts_run_t *run, gint64 now_us)
{
  if (run->state == BTS_RUN_STOPPING && run->unsent)
    withdraw_start (sched, run, "stopped");
  else if (needs_start (run) && !run->start_in_flight)
    repeat_start (sched, run);
  else if (run->state == BTS_RUN_STOPPING && !run->stop_in_flight && !run->stop_acked
           && run->stop_retry_us != 0 && run->stop_retry_us <= now_us)
    order_stop (sched, run);
}

static gboolean
may_repeat_order (const bts_run_t *run)
{
  return run->stop_retry_us != 0 || needs_start (run)
         || (run->state == BTS_RUN_STOPPING && run->unsent);
}

/**
 * bts_worker_repeat_orders() - repeat the orders for runs on a worker that are due
 * @sched: the scheduler
 * @worker: the worker
 *
 * Costs nothing for a worker that has replied to all orders: an owner has tens of thousands of
 * runs.
 */
void
bts_worker_repeat_orders (bts_sched_t *sched, bts_worker_t *worker)
{
  if (!worker->may_repeat)
    return;
  gint64 now_us = bts_sched_now (sched);
  worker->may_repeat = FALSE;
  for (guint i = 0; i < worker->runs->len; i++)
    worker->may_repeat = may_repeat_order (worker->runs->pdata[i]) || worker->may_repeat;
  /* From the end, as runs may be removed. */
  for (guint i = worker->runs->len; i > 0; i--)
    if (i <= worker->runs->len)
      repeat_order (sched, worker->runs->pdata[i - 1], now_us);
}
