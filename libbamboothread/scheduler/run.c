#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/place.h"

/*
 * One run of a task on a worker: from the order to start it until it is known
 * to be over. An order without an answer may have been carried out, or may be
 * later; it is repeated until the worker answers, and a run that isn't wanted
 * any more is stopped by its number, which keeps a late start out as well.
 */

/* Orders to start a run that get no answer before it is stopped instead. */
#define START_TRIES 5
/* Time between two orders to stop a run, in microseconds. */
#define STOP_RETRY_US (400 * 1000)
/* Time for which a worker that was full or refused gets no new tasks, in microseconds;
   its next listing shows what takes the room. */
#define REST_ROOM_US (300 * 1000)
#define REST_BUSY_US (1000 * 1000)
/* Time before a stage whose start was refused for its form is tried again. */
#define REST_INVALID_US (2000 * 1000)

/* The members of a gang go on from one checkpoint; that of any member is valid for all. */
static const char *
checkpoint (const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (!bts_stage_step (stage)->gang)
    return task->checkpoint;
  for (guint i = 0; i < stage->n_tasks; i++)
    if (stage->tasks[i].checkpoint != NULL)
      return stage->tasks[i].checkpoint;
  return NULL;
}

/**
 * bts_run_new() - count a run as on a worker
 * @sched: the scheduler
 * @task: the task, or NULL if its job isn't known
 * @name: its name
 * @number: number of the run
 * @room: what it takes of the worker
 * @worker: the worker
 */
bts_run_t *
bts_run_new (bts_sched_t *sched, bts_task_t *task, const char *name, guint number,
             const bts_resources_t *room, bts_worker_t *worker)
{
  bts_run_t *run = g_new0 (bts_run_t, 1);
  run->serial = ++sched->serial;
  run->task = task;
  run->name = g_strdup (name);
  run->number = number;
  run->resources = *room;
  run->created_us = bts_sched_now (sched);
  if (task != NULL)
    {
      run->checkpoint = g_strdup (checkpoint (task));
      task->run = run;
    }
  bts_worker_add_run (worker, run);
  g_hash_table_insert (sched->runs, &run->serial, run);
  return run;
}

void
bts_run_free (bts_run_t *run)
{
  g_free (run->name);
  g_free (run->checkpoint);
  g_free (run);
}

/**
 * bts_run_remove() - a run is over, or was never ordered
 * @sched: the scheduler
 * @run: the run; freed
 */
void
bts_run_remove (bts_sched_t *sched, bts_run_t *run)
{
  if (run->task != NULL && run->task->run == run)
    run->task->run = NULL;
  bts_worker_remove_run (run->worker, run);
  g_hash_table_remove (sched->runs, &run->serial);
  bts_run_free (run);
  sched->dirty = TRUE;
}

static void
order_start (bts_sched_t *sched, bts_run_t *run)
{
  const bts_stage_t *stage = run->task->stage;
  const bts_ticket_t *ticket = bts_stage_ticket (stage, run->worker->entry->id);
  bts_start_order_t order = { 0 };
  order.fence = sched->term;
  order.deadline_ms = bts_sched_renew_lease (sched, run->worker);
  order.ticket = ticket == NULL ? NULL : ticket->ticket;
  run->start_in_flight = TRUE;
  run->stop_retry_us = 0;
  sched->ops->start (sched->context, run, &order);
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
  bt_metrics_count (BT_COUNT_STARTS);
  bt_log (BT_LOG_INFO, "start", "task=%s run=%u worker=%s term=%" G_GUINT64_FORMAT, run->name,
          run->number, run->worker->entry->id, sched->term);
  order_start (sched, run);
}

static void
order_stop (bts_sched_t *sched, bts_run_t *run)
{
  run->stop_in_flight = TRUE;
  run->stop_retry_us = 0;
  sched->ops->stop (sched->context, run, sched->term);
}

/**
 * bts_run_stop() - have a run stopped
 * @sched: the scheduler
 * @run: the run
 */
void
bts_run_stop (bts_sched_t *sched, bts_run_t *run)
{
  if (run->state == BTS_RUN_STOPPING)
    return;
  run->state = BTS_RUN_STOPPING;
  bt_metrics_count (BT_COUNT_STOPS);
  run->confirmed_us = 0;
  bt_log (BT_LOG_INFO, "stop", "task=%s run=%u worker=%s", run->name, run->number,
          run->worker->entry->id);
  order_stop (sched, run);
}

/**
 * bts_gang_stop() - stop what is left of a gang's run
 * @sched: the scheduler
 * @stage: the gang
 */
void
bts_gang_stop (bts_sched_t *sched, bts_stage_t *stage)
{
  for (guint i = 0; i < stage->n_tasks; i++)
    if (stage->tasks[i].run != NULL)
      bts_run_stop (sched, stage->tasks[i].run);
}

/* Drops a run and has its task, or its whole gang, placed anew. */
static void
queue_again (bts_sched_t *sched, bts_run_t *run)
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
 * bts_run_mark_lost() - a run is over and no end of it will count
 * @sched: the scheduler
 * @run: the run; freed
 * @cause: how that is known
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
  queue_again (sched, run);
}

/* An order that was surely not carried out. */
static void
refused (bts_sched_t *sched, bts_run_t *run, const char *cause)
{
  bt_metrics_count (BT_COUNT_STARTS_REFUSED);
  bt_log (BT_LOG_INFO, "refused", "task=%s run=%u worker=%s cause=%s", run->name, run->number,
          run->worker->entry->id, cause);
  queue_again (sched, run);
}

static void
no_ticket (bts_run_t *run)
{
  bts_ticket_t *ticket
      = run->task == NULL ? NULL : bts_stage_ticket (run->task->stage, run->worker->entry->id);
  if (ticket != NULL)
    ticket->received_us = 0;
}

static void
started (bts_sched_t *sched, bts_run_t *run, gint64 now_us)
{
  run->confirmed_us = now_us;
  if (run->state == BTS_RUN_STARTING)
    run->state = BTS_RUN_RUNNING;
}

/* No answer: the order may have been carried out or may be still. */
static void
start_unanswered (bts_sched_t *sched, bts_run_t *run)
{
  run->unanswered_starts++;
  if (run->state != BTS_RUN_STARTING)
    return;
  /* Nothing is sent to a worker whose lease is over: it may have started anew. */
  if (bts_sched_now (sched) > bts_worker_lease_expiry_us (run->worker))
    {
      bts_run_mark_lost (sched, run, "lease-over");
      return;
    }
  if (run->unanswered_starts < START_TRIES)
    {
      bt_metrics_count (BT_COUNT_STARTS_REPEATED);
      order_start (sched, run);
    }
  else
    bts_run_stop (sched, run);
}

/**
 * bts_sched_on_start_reply() - what became of an order to start
 * @sched: the scheduler
 * @serial: of the run
 * @reply: what became of it
 * @clock_ms: the worker's clock; 0 if it didn't tell
 */
void
bts_sched_on_start_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply, gint64 clock_ms)
{
  bts_run_t *run = sched->term == 0 ? NULL : g_hash_table_lookup (sched->runs, &serial);
  if (run == NULL)
    return;
  gint64 now_us = bts_sched_now (sched);
  bts_worker_t *worker = run->worker;
  run->start_in_flight = FALSE;
  if (clock_ms > 0)
    bts_worker_on_reply (worker, clock_ms, now_us);
  /* A refusal says nothing of earlier orders without an answer. */
  gboolean sure = run->unanswered_starts == 0 && run->state == BTS_RUN_STARTING;
  switch (reply)
    {
    case BTS_REPLY_OK:
      started (sched, run, now_us);
      break;
    case BTS_REPLY_NO_ANSWER:
      start_unanswered (sched, run);
      break;
    case BTS_REPLY_FENCED:
      sched->ops->fenced (sched->context);
      break;
    case BTS_REPLY_WRONG_WORKER:
      bts_worker_mark_replaced (sched, worker);
      break;
    case BTS_REPLY_STALE_RUN:
      if (sure)
        refused (sched, run, "old");
      else
        started (sched, run, now_us);
      break;
    default:
      if (reply == BTS_REPLY_NO_ROOM)
        worker->backoff_until_us = now_us + REST_ROOM_US;
      if (reply == BTS_REPLY_BUSY)
        worker->backoff_until_us = now_us + REST_BUSY_US;
      if (reply == BTS_REPLY_BAD_TICKET)
        no_ticket (run);
      if (reply == BTS_REPLY_INVALID && run->task != NULL)
        run->task->stage->backoff_until_us = now_us + REST_INVALID_US;
      if (sure)
        refused (sched, run,
                 reply == BTS_REPLY_NO_ROOM         ? "room"
                 : reply == BTS_REPLY_BAD_TICKET    ? "ticket"
                 : reply == BTS_REPLY_LEASE_EXPIRED ? "late"
                 : reply == BTS_REPLY_BUSY          ? "busy"
                                                    : "invalid");
      else
        bts_run_stop (sched, run);
      break;
    }
}

/**
 * bts_sched_on_stop_reply() - what became of an order to stop
 * @sched: the scheduler
 * @serial: of the run
 * @reply: what became of it
 * @clock_ms: the worker's clock; 0 if it didn't tell
 */
void
bts_sched_on_stop_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply, gint64 clock_ms)
{
  bts_run_t *run = sched->term == 0 ? NULL : g_hash_table_lookup (sched->runs, &serial);
  if (run == NULL)
    return;
  gint64 now_us = bts_sched_now (sched);
  run->stop_in_flight = FALSE;
  if (clock_ms > 0)
    bts_worker_on_reply (run->worker, clock_ms, now_us);
  if (reply == BTS_REPLY_OK)
    {
      run->stop_acked = TRUE;
      run->confirmed_us = now_us;
      /* The listing that shows the end isn't to wait for another one. */
      run->worker->hold_next_us = MIN (run->worker->hold_next_us, now_us);
    }
  else if (reply == BTS_REPLY_FENCED)
    sched->ops->fenced (sched->context);
  else if (reply == BTS_REPLY_WRONG_WORKER)
    bts_worker_mark_replaced (sched, run->worker);
  else
    run->stop_retry_us = now_us + STOP_RETRY_US;
}

/**
 * bts_run_tick() - repeat the order of a run if it is due
 * @sched: the scheduler
 * @run: the run
 */
void
bts_run_tick (bts_sched_t *sched, bts_run_t *run)
{
  if (run->stop_retry_us == 0 || run->stop_retry_us > bts_sched_now (sched))
    return;
  if (run->state == BTS_RUN_STOPPING && !run->stop_in_flight && !run->stop_acked)
    order_stop (sched, run);
}
