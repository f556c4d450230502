#include "libbamboothread/process/core_private.h"

/*
 * Orders to workers to stop, checkpoint or throttle attempts: one message for
 * each worker and way, however many attempts it names, repeated until the
 * worker reports their end.
 */

/* Pause before an order that shows no effect is repeated. */
#define REPEAT_US (1 * BT_USEC_PER_SEC)
/* Time for a checkpoint before the attempt is stopped without one. */
#define CHECKPOINT_US (10 * BT_USEC_PER_SEC)
/* Attempts that one message names at most. */
#define MESSAGE_MAX 1024

/**
 * bt_stop_attempt() - order an attempt to be stopped, checkpointed or throttled
 * @core: the core
 * @attempt: the attempt
 * @mode: how; a stop replaces any earlier order
 *
 * The attempt holds its share of the worker until the worker reports its end.
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
  attempt->stop_retry_at = reachable ? core->now + REPEAT_US : core->now;
  if (reachable)
    g_ptr_array_add (attempt->worker->stops_to_send, g_ref_string_acquire (attempt->id));
}

static void
send (bt_core_t *core, bt_worker_t *worker, GPtrArray *attempts, bt_stop_mode_t mode)
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
flush (bt_core_t *core, bt_worker_t *worker)
{
  if (worker->stops_to_send->len == 0 || worker->epoch == 0)
    return;
  for (gint mode = BT_STOP_STOP; mode <= BT_STOP_THROTTLE; mode++)
    {
      g_autoptr (GPtrArray) named = g_ptr_array_new ();
      for (guint i = 0; i < worker->stops_to_send->len; i++)
        {
          const bt_attempt_t *attempt
              = g_hash_table_lookup (worker->attempts, worker->stops_to_send->pdata[i]);
          if (attempt == NULL || (gint)attempt->stop_mode != mode)
            continue;
          g_ptr_array_add (named, attempt->id);
          if (named->len == MESSAGE_MAX)
            send (core, worker, named, (bt_stop_mode_t)mode);
        }
      send (core, worker, named, (bt_stop_mode_t)mode);
    }
  g_ptr_array_set_size (worker->stops_to_send, 0);
}

static void
repeat (bt_core_t *core, bt_worker_t *worker)
{
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      if (!attempt->stopping || core->now < attempt->stop_retry_at)
        continue;
      gboolean late = core->now - attempt->stop_since >= CHECKPOINT_US;
      bt_stop_attempt (core, attempt, late ? BT_STOP_STOP : attempt->stop_mode);
    }
}

/**
 * bt_stop_tick() - send the orders to stop, and those again that had no effect
 * @core: the core
 */
void
bt_stop_tick (bt_core_t *core)
{
  if (!core->owner.leading)
    return;
  gboolean repeating = core->now >= core->stop.next_repeat;
  if (repeating)
    core->stop.next_repeat = core->now + REPEAT_US / 4;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (repeating)
        repeat (core, worker);
      flush (core, worker);
    }
}
