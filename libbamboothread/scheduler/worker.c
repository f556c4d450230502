#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/poll.h"

/*
 * Hold orders to workers. A hold renews a worker's lease; its reply lists the
 * runs on the worker and those that have ended there. Also gives up the runs
 * of a worker whose lease has certainly expired.
 */

/* How long a worker may delay its reply to a hold while a task that may crash it is just starting,
   in milliseconds: nothing else starts there until the worker has replied after that. */
#define HOLD_WAIT_SUSPECT_MS 50
/* Time to the next hold while ends are being journaled, in microseconds: the worker
   would list the same ends again at once. */
#define HOLD_JOURNALING_US (250 * 1000)
/* Time to the next hold after one without a reply, in microseconds; multiplied by the
   failures in a row, up to 8. */
#define HOLD_RETRY_US (150 * 1000)
/* Replies of one incarnation of a worker arrive out of order by less than this, in
   microseconds. */
#define REPLY_REORDER_MAX_US (50 * 1000)
/* Time for which holds still go to a worker that has left the registry, in
   microseconds: above the longest lease. */
#define UNREGISTERED_HOLD_US (20 * BT_USEC_PER_SEC)

static void
listed_run_free (gpointer data)
{
  bts_listed_run_t *row = data;
  g_free (row->name);
  g_free (row->checkpoint);
  g_free (row);
}

void
bts_listed_end_free (gpointer data)
{
  bts_listed_end_t *row = data;
  g_free (row->name);
  g_free (row->checkpoint);
  g_free (row);
}

bts_listing_t *
bts_listing_new (void)
{
  bts_listing_t *listing = g_new0 (bts_listing_t, 1);
  listing->running = g_ptr_array_new_with_free_func (listed_run_free);
  listing->finished = g_ptr_array_new_with_free_func (bts_listed_end_free);
  return listing;
}

void
bts_listing_free (bts_listing_t *listing)
{
  if (listing == NULL)
    return;
  g_ptr_array_unref (listing->running);
  g_ptr_array_unref (listing->finished);
  g_free (listing);
}

static void
mark_all_lost (bts_sched_t *sched, bts_worker_t *worker, const char *cause)
{
  while (worker->runs->len > 0)
    bts_run_mark_worker_lost (sched, worker->runs->pdata[worker->runs->len - 1], cause);
}

/**
 * bts_worker_mark_lost() - give up all runs of a worker and reset it
 * @sched: the scheduler
 * @worker: a worker whose known incarnation is over
 * @cause: how that is known, for the log
 */
void
bts_worker_mark_lost (bts_sched_t *sched, bts_worker_t *worker, const char *cause)
{
  bt_log (BT_LOG_NOTICE, "worker-gone", "worker=%s cause=%s runs=%u", worker->entry->id, cause,
          worker->runs->len);
  mark_all_lost (sched, worker, cause);
  bts_crash_on_worker_ended (sched, worker);
  bts_worker_reset (worker);
  worker->started_ms = worker->entry->started_ms;
  worker->hold_next_us = bts_sched_now (sched) + HOLD_RETRY_US;
}

/**
 * bts_worker_mark_replaced() - give up a worker whose address now belongs to another
 * @sched: the scheduler
 * @worker: the worker
 */
void
bts_worker_mark_replaced (bts_sched_t *sched, bts_worker_t *worker)
{
  bts_worker_mark_lost (sched, worker, "replaced");
  worker->replaced = TRUE;
}

static bts_poll_state_t
poll_state (const bts_sched_t *sched, const bts_worker_t *worker)
{
  bts_poll_state_t state = { 0 };
  state.lacks_room = bts_sched_lacks_room (sched, worker->service);
  state.n_workers = g_hash_table_size (sched->fleet->workers);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->task == NULL)
        continue;
      state.has_urgent |= bts_stage_policy (run->task->stage)->priority == 0;
      state.has_long_running |= bts_stage_step (run->task->stage)->long_running;
    }
  return state;
}

/* A worker that has left a hold unanswered is asked to reply at once, so that several more tries
   fit into its lease. */
static guint
hold_wait_ms (const bts_sched_t *sched, const bts_worker_t *worker)
{
  if (!worker->synced || worker->ends_in_flight > 0 || worker->hold_failures > 0)
    return 0;
  if (bts_crash_has_starting_suspect (worker))
    return HOLD_WAIT_SUSPECT_MS;
  bts_poll_state_t state = poll_state (sched, worker);
  return bts_poll_wait_ms (&state);
}

static void
send_hold (bts_sched_t *sched, bts_worker_t *worker, gint64 now_us)
{
  bts_hold_order_t order = { 0 };
  order.fence = sched->term;
  order.deadline_ms = bts_sched_renew_lease (sched, worker);
  /* A worker that has restarted under its id numbers its ends from 1 again. An ack is
     therefore sent only for ends not acknowledged yet, and none while holds fail. */
  worker->hold_ack = worker->journaled_seq > worker->acked_seq && worker->hold_failures == 0
                         ? worker->journaled_seq
                         : 0;
  order.ack_seq = worker->hold_ack;
  order.wait_ms = hold_wait_ms (sched, worker);
  worker->hold_in_flight = TRUE;
  bt_metrics_count (BT_COUNT_HOLD_ORDERS_SENT);
  worker->hold_sent_us = now_us;
  worker->hold_due_us = now_us + (gint64)order.wait_ms * 1000;
  sched->ops->hold (sched->context, worker, &order);
}

/* Whether a run may have started on a later incarnation of the worker, one that this process
   hasn't noticed yet: its start order is in flight, or was confirmed by a reply whose clock was
   not ahead of the newest known, as after a restart. The next listing will tell. A confirmation
   counts for the longest lease, since no incarnation grants a longer one. */
static gboolean
may_be_in_next_incarnation (const bts_sched_t *sched, const bts_run_t *run, gint64 now_us)
{
  gint64 lease_max_us = bts_lease_max_us (sched->config.hold_max_ms);
  return (run->start_in_flight && !run->unsent)
         || (run->confirmed_us > run->worker->clock_at_us + REPLY_REORDER_MAX_US
             && now_us < run->confirmed_us + lease_max_us + BTS_LEASE_MARGIN_US);
}

/* Gives up the runs of a worker whose lease has certainly expired, except those that may have
   started on its next incarnation: for them, the worker is asked for its lists at once. */
static void
mark_expired_lost (bts_sched_t *sched, bts_worker_t *worker, gint64 now_us)
{
  for (guint i = 0; i < worker->runs->len;)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (may_be_in_next_incarnation (sched, run, now_us))
        {
          worker->hold_next_us = MIN (worker->hold_next_us, now_us);
          i++;
          continue;
        }
      bts_run_mark_worker_lost (sched, run, "lease-over");
      i = 0;
    }
}

/**
 * bts_worker_tick() - expire runs, retry stops and send the next hold, where due
 * @sched: the scheduler
 * @worker: the worker
 */
void
bts_worker_tick (bts_sched_t *sched, bts_worker_t *worker)
{
  gint64 now_us = bts_sched_now (sched);
  if (worker->runs->len > 0 && worker->clock_at_us != 0
      && bts_sched_confirmed_us (sched) > bts_worker_lease_expiry_us (worker))
    mark_expired_lost (sched, worker, now_us);
  bts_worker_repeat_orders (sched, worker);
  if (worker->replaced
      || (!worker->registered && worker->runs->len == 0
          && !bts_sched_may_have_unlisted_runs (sched, worker)
          && now_us > bts_worker_lease_expiry_us (worker) && worker->hold_failures > 0))
    bts_heartbeat_add_released (sched, worker);
  if (worker->replaced)
    return;
  if (!worker->registered && worker->runs->len == 0 && worker->synced
      && now_us - worker->unregistered_us > UNREGISTERED_HOLD_US)
    return;
  if (!worker->hold_in_flight && now_us >= worker->hold_next_us)
    send_hold (sched, worker, now_us);
}

/**
 * bts_sched_find_task() - look up a task by its name
 * @sched: the scheduler
 * @name: the name, as in a worker's lists
 *
 * Return: the task, or NULL if its job isn't known or has no such task.
 */
bts_task_t *
bts_sched_find_task (const bts_sched_t *sched, const char *name)
{
  char id[BTS_JOB_ID_LEN + 1];
  guint occurrence;
  guint step;
  guint index;
  if (!bts_task_name_parse (name, id, &occurrence, &step, &index))
    return NULL;
  bts_job_t *job = bts_ledger_job (sched->ledger, id);
  bts_stage_t *stage = job == NULL ? NULL : bts_job_stage (job, occurrence, step);
  return stage == NULL || index >= stage->n_tasks ? NULL : bts_stage_task (stage, index);
}

/* Adds a listed run that this owner doesn't know. It goes on if its task still needs a run, as
   after a change of the owner; otherwise it is stopped. */
static void
add_unknown_run (bts_sched_t *sched, bts_worker_t *worker, const bts_listed_run_t *row)
{
  bts_task_t *task = bts_sched_find_task (sched, row->name);
  gboolean wanted = task != NULL && !task->done && row->number > task->pending_end_run
                    && task->run == NULL && row->number > task->ended_run
                    && row->number > task->lost_run && !bts_job_has_ended (task->stage->job);
  gboolean becomes_current = task != NULL && task->run == NULL;
  bts_resources_t demand = { 0 };
  if (task != NULL)
    demand = bts_place_demand (bts_stage_step (task->stage));
  bts_run_t *run
      = bts_run_new (sched, becomes_current ? task : NULL, row->name, row->number, &demand, worker);
  run->state = BTS_RUN_RUNNING;
  run->has_begun = TRUE;
  run->confirmed_us = bts_sched_now (sched);
  run->startup_end_us = 0;
  bt_metrics_count (BT_COUNT_UNKNOWN_RUNS_LISTED);
  if (task != NULL)
    task->last_run = MAX (task->last_run, row->number);
  bt_log (BT_LOG_INFO, "found", "task=%s run=%u worker=%s wanted=%d", row->name, row->number,
          worker->entry->id, wanted);
  if (!wanted)
    bts_run_stop (sched, run);
  /* Also one that isn't wanted: an earlier owner may have ended before it could say so. */
  if (task != NULL)
    bts_heartbeat_add_begun (sched, task->stage->job);
  if (wanted && sched->settled)
    bts_gang_stop_if_incomplete (sched, task->stage);
}

/* Records in all known runs of a listed task that the task was listed. Returns the listed run, or
   NULL if it isn't known. */
static bts_run_t *
mark_listed (bts_worker_t *worker, const bts_listed_run_t *row)
{
  bts_run_t *found = NULL;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (strcmp (run->name, row->name) != 0)
        continue;
      run->task_listed_us = worker->hold_sent_us;
      if (run->number == row->number)
        found = run;
    }
  return found;
}

static void
process_listed_run (bts_sched_t *sched, bts_worker_t *worker, const bts_listed_run_t *row)
{
  bts_run_t *run = mark_listed (worker, row);
  if (run == NULL)
    {
      add_unknown_run (sched, worker, row);
      return;
    }
  bts_crash_on_run_confirmed (run, bts_sched_now (sched));
  bts_run_mark_begun (sched, run, bts_sched_now (sched));
  if (run->state == BTS_RUN_STARTING)
    run->state = BTS_RUN_RUNNING;
  if (run->state == BTS_RUN_RUNNING)
    run->confirmed_us = MAX (run->confirmed_us, worker->hold_sent_us);
  if (run->task != NULL)
    bts_task_set_checkpoint (run->task, row->checkpoint);
}

/* Whether the end of a run that isn't the current one of its task counts: that of an earlier
   owner's run which isn't recorded, or of one that was given up. Work that is done needn't be done
   again, whatever became of its run; any other end is as good as the run's loss. */
static gboolean
end_counts (const bts_task_t *task, const bts_listed_end_t *row)
{
  if (task == NULL || row->number <= task->pending_end_run || row->number <= task->ended_run)
    return FALSE;
  if (row->outcome == BTS_OUTCOME_DONE && !bts_stage_step (task->stage)->long_running)
    return !task->done;
  return task->run == NULL && row->number > task->lost_run && row->number >= task->last_run;
}

static void
record_outcome (bts_worker_t *worker, bts_task_t *task, bts_run_outcome_t outcome)
{
  if (outcome == BTS_OUTCOME_DONE)
    worker->consecutive_failures = 0;
  if (outcome != BTS_OUTCOME_FAILED)
    return;
  worker->consecutive_failures++;
  g_free (task->avoid_worker);
  task->avoid_worker = g_strdup (worker->entry->id);
}

/* Takes a task for done before its end is journaled, so that the next stage needn't wait
   for the journal. */
static void
mark_done_pending (bts_sched_t *sched, bts_task_t *task)
{
  const Bts__Step *step = bts_stage_step (task->stage);
  if (step->gang || step->long_running || task->done)
    return;
  task->done_pending = TRUE;
  if (bts_stage_has_ended (task->stage))
    bts_sched_enqueue_next (sched, task->stage);
}

static void
process_listed_end (bts_sched_t *sched, bts_worker_t *worker, const bts_listed_end_t *row)
{
  if (row->seq <= worker->last_listed_seq)
    return;
  worker->last_listed_seq = row->seq;
  bt_metrics_count (row->outcome == BTS_OUTCOME_DONE     ? BT_COUNT_ENDS_DONE
                    : row->outcome == BTS_OUTCOME_FAILED ? BT_COUNT_ENDS_FAILED
                                                         : BT_COUNT_ENDS_OTHER);
  worker->ends_in_flight++;
  bts_run_t *run = bts_worker_find_run (worker, row->name, row->number);
  gboolean is_current = run != NULL && run->task != NULL;
  bts_task_t *task = is_current ? run->task : bts_sched_find_task (sched, row->name);
  gboolean counts = is_current || end_counts (task, row);
  bt_log (BT_LOG_INFO, "end",
          "task=%s run=%u worker=%s how=%d number=%" G_GUINT64_FORMAT " counts=%d", row->name,
          row->number, worker->entry->id, row->outcome, row->seq, counts);
  gint64 duration_ms = !is_current || run->unanswered_starts > 0 || run->checkpoint != NULL
                           ? -1
                           : (bts_sched_now (sched) - run->created_us) / 1000;
  if (counts && duration_ms >= 0 && row->outcome == BTS_OUTCOME_DONE)
    bts_interference_on_run_done (sched->fleet->interference, run, bts_sched_now (sched));
  if (run != NULL)
    {
      bts_run_mark_begun (sched, run, bts_sched_now (sched));
      if (row->outcome == BTS_OUTCOME_STOPPED)
        bts_run_mark_stopped (run);
      bts_run_remove (sched, run);
    }
  if (counts)
    {
      task->pending_end_run = MAX (task->pending_end_run, row->number);
      task->last_run = MAX (task->last_run, row->number);
      bts_task_set_checkpoint (task, row->checkpoint);
      record_outcome (worker, task, row->outcome);
      if (row->outcome == BTS_OUTCOME_DONE && duration_ms >= 0
          && bts_worker_has_current_entry (worker))
        bts_speed_add_sample (sched->speed, worker, bts_stage_policy (task->stage)->route,
                              duration_ms, bts_stage_step (task->stage)->estimate_ms);
    }
  bts_heartbeat_add_end (sched, worker, row, counts ? task : NULL);
  if (!counts || row->outcome != BTS_OUTCOME_DONE)
    return;
  mark_done_pending (sched, task);
  /* Another run of the task has replaced the one that is done. */
  if (task->run != NULL)
    bts_run_stop_with_gang (sched, task->run);
}

/* Gives up runs that the worker lists neither as running nor as ended, if the hold was
   sent after the worker had confirmed the last order for them. */
static void
mark_unlisted_lost (bts_sched_t *sched, bts_worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len;)
    {
      bts_run_t *run = worker->runs->pdata[i];
      gboolean order_answered
          = run->state == BTS_RUN_STOPPING ? run->stop_acked : !run->start_in_flight;
      if (order_answered && run->confirmed_us != 0 && run->confirmed_us < worker->hold_sent_us
          && run->task_listed_us != worker->hold_sent_us)
        {
          bts_run_mark_lost (sched, run, "not-listed");
          i = 0;
        }
      else
        i++;
    }
}

static void
handle_hold_failure (bts_sched_t *sched, bts_worker_t *worker, bts_reply_t reply)
{
  gint64 now_us = bts_sched_now (sched);
  if (reply == BTS_REPLY_FENCED)
    {
      sched->ops->fenced (sched->context);
      return;
    }
  if (reply == BTS_REPLY_WRONG_WORKER)
    {
      bts_worker_mark_replaced (sched, worker);
      return;
    }
  bt_metrics_count (BT_COUNT_HOLD_ORDERS_FAILED);
  if (worker->hold_failures++ == 0)
    {
      bt_log (BT_LOG_NOTICE, "worker-silent", "worker=%s reply=%d runs=%u", worker->entry->id,
              reply, worker->runs->len);
      bts_crash_on_worker_silent (sched, worker);
      bts_worker_withdraw_starts (sched, worker);
    }
  worker->silent_us = now_us;
  worker->hold_next_us = now_us + HOLD_RETRY_US * MIN (worker->hold_failures, 8);
}

static gboolean
is_listed (const bts_listing_t *listing, const bts_run_t *run)
{
  for (guint i = 0; i < listing->running->len; i++)
    {
      const bts_listed_run_t *row = listing->running->pdata[i];
      if (row->number == run->number && strcmp (row->name, run->name) == 0)
        return TRUE;
    }
  for (guint i = 0; i < listing->finished->len; i++)
    {
      const bts_listed_end_t *row = listing->finished->pdata[i];
      if (row->number == run->number && strcmp (row->name, run->name) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Handles a worker that has restarted under its id. Orders in flight may have reached the
   new incarnation, so only runs without an order in flight that it doesn't list are lost. */
static void
handle_restart (bts_sched_t *sched, bts_worker_t *worker, const bts_listing_t *listing)
{
  bt_log (BT_LOG_NOTICE, "worker-reborn", "worker=%s runs=%u listed=%u", worker->entry->id,
          worker->runs->len, listing->running->len);
  for (guint i = 0; i < worker->runs->len;)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (run->start_in_flight || run->stop_in_flight || is_listed (listing, run))
        {
          i++;
          continue;
        }
      bts_run_mark_worker_lost (sched, run, "restarted");
      i = 0;
    }
  bts_crash_on_worker_ended (sched, worker);
  bts_resources_t used = worker->used;
  bts_worker_reset (worker);
  worker->used = used;
  /* Orders in flight request lease deadlines on the clock of the earlier incarnation, which the new
     one cuts to the longest lease that it grants. */
  worker->lease_deadline_ms = listing->clock_ms + sched->config.hold_max_ms;
}

/**
 * bts_sched_on_hold_reply() - handle the result of a hold order
 * @sched: the scheduler
 * @id: id of the worker
 * @generation: the worker's generation when the hold was sent
 * @reply: the result
 * @listing: the worker's lists if @reply is %BTS_REPLY_OK
 */
void
bts_sched_on_hold_reply (bts_sched_t *sched, const char *id, guint generation, bts_reply_t reply,
                         const bts_listing_t *listing)
{
  bts_worker_t *worker = sched->term == 0 ? NULL : bts_fleet_find_worker (sched->fleet, id);
  if (worker == NULL || worker->generation != generation)
    return;
  worker->hold_in_flight = FALSE;
  if (reply != BTS_REPLY_OK)
    {
      handle_hold_failure (sched, worker, reply);
      return;
    }
  gint64 now_us = bts_sched_now (sched);
  if (listing->started_ms != 0 && worker->started_ms != 0
      && listing->started_ms != worker->started_ms)
    handle_restart (sched, worker, listing);
  else
    bts_crash_on_worker_alive (sched, worker, listing->started_ms);
  worker->started_ms = listing->started_ms;
  worker->hold_failures = 0;
  worker->acked_seq = MAX (worker->acked_seq, worker->hold_ack);
  bts_worker_on_reply (worker, listing->clock_ms, now_us);
  /* The latest deadline of a lease that the worker may have granted to an earlier owner. */
  if (worker->lease_deadline_ms == 0)
    worker->lease_deadline_ms = listing->clock_ms + bts_sched_max_earlier_lease_ms (sched, worker);
  for (guint i = 0; i < listing->finished->len; i++)
    process_listed_end (sched, worker, listing->finished->pdata[i]);
  for (guint i = 0; i < listing->running->len; i++)
    process_listed_run (sched, worker, listing->running->pdata[i]);
  worker->partly_listed = listing->is_partial;
  if (!listing->is_partial)
    mark_unlisted_lost (sched, worker);
  bts_poll_state_t state = poll_state (sched, worker);
  gboolean may_pause
      = worker->synced && !listing->is_partial && !bts_crash_has_starting_suspect (worker);
  gint64 pause_us = may_pause ? bts_poll_pause_us (&state) : 0;
  worker->pause_until_us = now_us + pause_us;
  if (pause_us > 0)
    bt_metrics_count (BT_COUNT_HOLD_ORDERS_PAUSED);
  worker->hold_next_us = MAX (worker->ends_in_flight > 0 ? now_us + HOLD_JOURNALING_US : now_us,
                              worker->pause_until_us);
  sched->dirty = sched->dirty || !worker->synced;
  worker->synced = worker->synced || !listing->is_partial;
  bts_heartbeat_add_held (sched, worker);
}
