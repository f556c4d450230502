#include "libbamboothread/process/core_private.h"

/*
 * Orders to workers to stop, checkpoint or throttle attempts. The orders of a
 * tick are batched by worker and mode. An order to stop or checkpoint is
 * repeated until the worker reports the end of the attempt.
 */

/* Interval at which an order is repeated while the attempt has not ended. */
#define STOP_RETRY_US (1 * BT_USEC_PER_SEC)
/* Time that an attempt has for its checkpoint before it is stopped without one. */
#define CHECKPOINT_TIMEOUT_US (10 * BT_USEC_PER_SEC)
/* Maximum number of attempts in one stop request. */
#define ATTEMPTS_PER_MESSAGE_MAX 1024

/**
 * bt_stop_attempt() - order a worker to stop, checkpoint or throttle an attempt
 * @core: the core
 * @attempt: the attempt
 * @mode: what to do; replaces any earlier order for the attempt
 *
 * The order is sent with the next tick, or once the attempt is running if it is not yet. The
 * attempt keeps its resources on the worker until the worker reports its end.
 */
void
bt_stop_attempt (bt_core_t *core, bt_attempt_t *attempt, bt_stop_mode_t mode)
{
  if (mode == BT_STOP_THROTTLE)
    attempt->throttled = TRUE;
  else
    {
      if (!attempt->stopping)
        attempt->stop_since = core->now;
      attempt->stopping = TRUE;
    }
  attempt->stop_mode = mode;
  gboolean reachable = attempt->worker != NULL && attempt->phase == BT_PHASE_RUNNING;
  attempt->stop_retry_at = reachable ? core->now + STOP_RETRY_US : core->now;
  if (reachable)
    g_ptr_array_add (attempt->worker->stops_to_send, g_ref_string_acquire (attempt->id));
}

static void
send_stop_request (bt_core_t *core, bt_worker_t *worker, GPtrArray *attempts, bt_stop_mode_t mode)
{
  if (attempts->len == 0)
    return;
  bt_stop_request_t request = { .epoch = worker->epoch, .mode = (gint)mode };
  request.owner = g_ref_string_new (core->owner_id);
  request.attempts = attempts;
  core->counters.stops_sent++;
  core->ops.worker_stop (core->context, worker->name, worker->address, &request);
  g_ref_string_release (request.owner);
  g_ptr_array_set_size (attempts, 0);
}

static void
send_due_orders (bt_core_t *core, bt_worker_t *worker)
{
  if (worker->stops_to_send->len == 0 || worker->epoch == 0)
    return;
  for (gint mode = BT_STOP_STOP; mode <= BT_STOP_THROTTLE; mode++)
    {
      g_autoptr (GPtrArray) ids = g_ptr_array_new ();
      for (guint i = 0; i < worker->stops_to_send->len; i++)
        {
          const bt_attempt_t *attempt
              = g_hash_table_lookup (worker->attempts, worker->stops_to_send->pdata[i]);
          if (attempt == NULL || (gint)attempt->stop_mode != mode)
            continue;
          g_ptr_array_add (ids, attempt->id);
          if (ids->len == ATTEMPTS_PER_MESSAGE_MAX)
            send_stop_request (core, worker, ids, (bt_stop_mode_t)mode);
        }
      send_stop_request (core, worker, ids, (bt_stop_mode_t)mode);
    }
  g_ptr_array_set_size (worker->stops_to_send, 0);
}

static void
repeat_due_orders (bt_core_t *core, bt_worker_t *worker)
{
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      if (!attempt->stopping || core->now < attempt->stop_retry_at)
        continue;
      gboolean checkpoint_timed_out = core->now - attempt->stop_since >= CHECKPOINT_TIMEOUT_US;
      bt_stop_attempt (core, attempt, checkpoint_timed_out ? BT_STOP_STOP : attempt->stop_mode);
    }
}

/**
 * bt_stop_tick() - send new orders, and repeat those whose attempts have not ended
 * @core: the core
 */
void
bt_stop_tick (bt_core_t *core)
{
  if (!core->owner.leading)
    return;
  gboolean repeating = core->now >= core->stop.next_repeat;
  if (repeating)
    core->stop.next_repeat = core->now + STOP_RETRY_US / 4;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (repeating)
        repeat_due_orders (core, worker);
      send_due_orders (core, worker);
    }
}
