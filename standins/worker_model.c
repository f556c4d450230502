#include "standins/worker_model.h"

#include <string.h>

#define USED_LAG_MS 2000

static gint64
now_ms (const bt_worker_model_t *model)
{
  return bt_clock_now (model->clock) / BT_USEC_PER_MSEC;
}

static void
attempt_free (gpointer data)
{
  bt_model_attempt_t *attempt = data;
  g_ref_string_release (attempt->report.attempt);
  g_ref_string_release (attempt->report.job);
  g_clear_pointer (&attempt->report.answer, g_ref_string_release);
  g_free (attempt);
}

/**
 * bt_worker_model_init() - an idle worker
 * @model: the worker
 * @name: its name
 * @clock: its clock
 * @capacity: what it has
 * @boot: differs at each start; epochs begin above it
 */
void
bt_worker_model_init (bt_worker_model_t *model, const char *name, const bt_clock_t *clock,
                      const bt_resources_t *capacity, gint64 boot)
{
  memset (model, 0, sizeof *model);
  model->name = g_ref_string_new (name);
  model->clock = clock;
  model->capacity = *capacity;
  model->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, attempt_free);
  bt_worker_model_reboot (model, boot);
}

/**
 * bt_worker_model_clear() - free what the worker holds
 * @model: the worker
 */
void
bt_worker_model_clear (bt_worker_model_t *model)
{
  g_hash_table_unref (model->attempts);
  g_clear_pointer (&model->owner, g_ref_string_release);
  g_ref_string_release (model->name);
}

/**
 * bt_worker_model_reboot() - the worker starts anew and knows nothing
 * @model: the worker
 * @boot: larger than before
 */
void
bt_worker_model_reboot (bt_worker_model_t *model, gint64 boot)
{
  g_hash_table_remove_all (model->attempts);
  memset (&model->used, 0, sizeof model->used);
  g_clear_pointer (&model->owner, g_ref_string_release);
  model->boot = boot;
  model->epoch = boot << 20;
  model->lease_until_ms = 0;
  model->tasks_until_ms = 0;
}

static void
end_attempt (bt_worker_model_t *model, bt_model_attempt_t *attempt, bt_attempt_state_t state)
{
  attempt->report.state = state;
  bt_resources_subtract (&model->used, &attempt->need);
  if (model->ended != NULL)
    model->ended (model->context, &attempt->report);
}

static void
expire_tasks (bt_worker_model_t *model, gint64 now)
{
  GHashTableIter iter;
  bt_model_attempt_t *attempt;
  g_hash_table_iter_init (&iter, model->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      if (attempt->report.state != BT_ATTEMPT_RUNNING)
        continue;
      if (attempt->ends_at_ms <= MIN (now, model->tasks_until_ms))
        end_attempt (model, attempt, attempt->fails ? BT_ATTEMPT_FAILED : BT_ATTEMPT_DONE);
      else if (model->tasks_until_ms <= now)
        end_attempt (model, attempt, BT_ATTEMPT_STOPPED);
    }
}

/**
 * bt_worker_model_tick() - end what is due, and all tasks once their lease is over
 * @model: the worker
 */
void
bt_worker_model_tick (bt_worker_model_t *model)
{
  expire_tasks (model, now_ms (model));
}

static bt_attempt_report_t *
copy_report (const bt_model_attempt_t *attempt, gint64 now)
{
  bt_attempt_report_t *copy = bt_schema_copy (&bt_attempt_report_schema, &attempt->report);
  gboolean seen = now - attempt->started_at_ms >= USED_LAG_MS;
  copy->used_mcpus = seen ? copy->mcpus : 0;
  copy->used_memory_mb = seen ? copy->memory_mb : 0;
  if (copy->state == BT_ATTEMPT_RUNNING)
    g_clear_pointer (&copy->answer, g_ref_string_release);
  return copy;
}

static void
fill_attempts (const bt_worker_model_t *model, bt_lease_reply_t *reply)
{
  gint64 now = now_ms (model);
  GHashTableIter iter;
  bt_model_attempt_t *attempt;
  g_hash_table_iter_init (&iter, model->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (reply->full || attempt->report.state != BT_ATTEMPT_RUNNING)
      g_ptr_array_add (reply->attempts, copy_report (attempt, now));
}

static void
forget_acked (bt_worker_model_t *model, const GPtrArray *ack)
{
  for (guint i = 0; i < ack->len; i++)
    {
      bt_model_attempt_t *attempt = g_hash_table_lookup (model->attempts, ack->pdata[i]);
      if (attempt != NULL && attempt->report.state != BT_ATTEMPT_RUNNING)
        g_hash_table_remove (model->attempts, ack->pdata[i]);
    }
}

static gboolean
held_by (const bt_worker_model_t *model, const char *owner)
{
  return model->owner != NULL && strcmp (model->owner, owner) == 0;
}

static gboolean
claim (bt_worker_model_t *model, const bt_lease_request_t *request, gint64 now)
{
  if (model->owner != NULL && !held_by (model, request->owner) && model->lease_until_ms > now)
    return FALSE;
  g_clear_pointer (&model->owner, g_ref_string_release);
  model->owner = g_ref_string_new (request->owner);
  model->epoch++;
  model->lease_until_ms = now + request->ttl_ms;
  return TRUE;
}

/*
 * The owner's lease counts from now. That of tasks counts from the last clock
 * that the owner has seen, so that a late renewal does not prolong it.
 */
static gboolean
renew (bt_worker_model_t *model, const bt_lease_request_t *request, gint64 now)
{
  if (!held_by (model, request->owner) || request->epoch != model->epoch)
    return FALSE;
  gint64 base = MIN (request->last_clock_ms, now);
  model->lease_until_ms = MAX (model->lease_until_ms, now + request->ttl_ms);
  if (request->task_ttl_ms > 0)
    model->tasks_until_ms = MAX (model->tasks_until_ms, base + request->task_ttl_ms);
  return TRUE;
}

/**
 * bt_worker_model_lease() - a claim or renewal
 * @model: the worker
 * @request: what is asked
 *
 * Return: the reply, to be freed.
 */
bt_lease_reply_t *
bt_worker_model_lease (bt_worker_model_t *model, const bt_lease_request_t *request)
{
  gint64 now = now_ms (model);
  expire_tasks (model, now);
  bt_lease_reply_t *reply = g_new0 (bt_lease_reply_t, 1);
  reply->attempts = g_ptr_array_new ();
  reply->granted = request->epoch == 0 ? claim (model, request, now) : renew (model, request, now);
  reply->epoch = model->epoch;
  reply->clock_ms = now;
  reply->boot = model->boot;
  reply->leaving = model->leaving;
  if (!reply->granted)
    {
      reply->remaining_ms = MAX (0, model->lease_until_ms - now);
      return reply;
    }
  reply->full = request->full;
  forget_acked (model, request->ack);
  fill_attempts (model, reply);
  return reply;
}

static gboolean
owner_valid (const bt_worker_model_t *model, const char *owner, gint64 epoch, gint64 now)
{
  return held_by (model, owner) && epoch == model->epoch && model->lease_until_ms > now;
}

static GRefString *
make_answer (const bt_worker_model_t *model, const bt_start_request_t *request)
{
  g_autofree char *text
      = g_strdup_printf ("worker=%s attempt=%s echo=%s", model->name, request->attempt,
                         request->payload != NULL ? request->payload : "");
  g_autofree char *base64 = g_base64_encode ((const guchar *)text, strlen (text));
  return g_ref_string_new (base64);
}

static void
run_attempt (bt_worker_model_t *model, const bt_start_request_t *request,
             const bt_resources_t *need, gint64 now)
{
  bt_model_attempt_t *attempt = g_new0 (bt_model_attempt_t, 1);
  attempt->report.attempt = g_ref_string_acquire (request->attempt);
  attempt->report.job = g_ref_string_acquire (request->job);
  attempt->report.task = request->task;
  attempt->report.mcpus = request->mcpus;
  attempt->report.memory_mb = request->memory_mb;
  attempt->report.gpus = request->gpus;
  attempt->report.connections = request->connections;
  attempt->report.answer = make_answer (model, request);
  attempt->started_at_ms = now;
  attempt->service = request->service;
  attempt->ends_at_ms = request->service ? G_MAXINT64 : now + request->run_ms;
  attempt->fails = model->fail_all
                   || (request->payload != NULL && g_str_has_prefix (request->payload, "fail"));
  if (model->instant || (attempt->fails && model->fail_all))
    attempt->ends_at_ms = now;
  attempt->need = *need;
  bt_resources_add (&model->used, need);
  model->starts++;
  g_hash_table_insert (model->attempts, attempt->report.attempt, attempt);
}

/**
 * bt_worker_model_start() - start an attempt
 * @model: the worker
 * @request: what to start; an attempt that it knows is not started again
 *
 * Return: the reply, to be freed.
 */
bt_start_reply_t *
bt_worker_model_start (bt_worker_model_t *model, const bt_start_request_t *request)
{
  gint64 now = now_ms (model);
  expire_tasks (model, now);
  bt_start_reply_t *reply = g_new0 (bt_start_reply_t, 1);
  bt_resources_t need
      = { { request->mcpus, request->memory_mb, request->gpus, 1, request->connections } };
  bt_resources_t room = model->capacity;
  bt_resources_subtract (&room, &model->used);
  if (!owner_valid (model, request->owner, request->epoch, now) || model->tasks_until_ms <= now)
    {
      reply->verdict = BT_START_STALE;
      return reply;
    }
  if (g_hash_table_contains (model->attempts, request->attempt))
    {
      reply->verdict = BT_START_STARTED;
      return reply;
    }
  if (model->leaving && !model->permissive)
    {
      reply->verdict = BT_START_LEAVING;
      return reply;
    }
  if (!bt_resources_fit (&need, &room) && !model->permissive)
    {
      reply->verdict = BT_START_FULL;
      return reply;
    }
  run_attempt (model, request, &need, now);
  reply->verdict = BT_START_STARTED;
  return reply;
}

/**
 * bt_worker_model_stop() - stop, checkpoint or throttle attempts
 * @model: the worker
 * @request: which, and how
 *
 * Return: the reply, to be freed.
 */
bt_stop_reply_t *
bt_worker_model_stop (bt_worker_model_t *model, const bt_stop_request_t *request)
{
  gint64 now = now_ms (model);
  expire_tasks (model, now);
  bt_stop_reply_t *reply = g_new0 (bt_stop_reply_t, 1);
  reply->attempts = g_ptr_array_new ();
  reply->accepted = owner_valid (model, request->owner, request->epoch, now);
  for (guint i = 0; reply->accepted && i < request->attempts->len; i++)
    {
      bt_model_attempt_t *attempt
          = g_hash_table_lookup (model->attempts, request->attempts->pdata[i]);
      if (attempt == NULL)
        continue;
      gboolean running = attempt->report.state == BT_ATTEMPT_RUNNING;
      if (running && request->mode == BT_STOP_STOP)
        end_attempt (model, attempt, BT_ATTEMPT_STOPPED);
      else if (running && request->mode == BT_STOP_CHECKPOINT)
        end_attempt (model, attempt, BT_ATTEMPT_CHECKPOINTED);
      else if (running && attempt->ends_at_ms < G_MAXINT64)
        attempt->ends_at_ms += attempt->ends_at_ms - now;
      g_ptr_array_add (reply->attempts, copy_report (attempt, now));
    }
  return reply;
}

/**
 * bt_worker_model_release() - an owner gives the worker up
 * @model: the worker
 * @request: its lease
 *
 * Return: TRUE if the lease was its own and is now free; tasks run on.
 */
gboolean
bt_worker_model_release (bt_worker_model_t *model, const bt_release_request_t *request)
{
  expire_tasks (model, now_ms (model));
  if (!held_by (model, request->owner) || request->epoch != model->epoch)
    return FALSE;
  model->lease_until_ms = 0;
  g_clear_pointer (&model->owner, g_ref_string_release);
  return TRUE;
}

/**
 * bt_worker_model_attempt() - find an attempt
 * @model: the worker
 * @id: the attempt's id
 *
 * Return: the attempt, or NULL.
 */
const bt_model_attempt_t *
bt_worker_model_attempt (const bt_worker_model_t *model, const char *id)
{
  return g_hash_table_lookup (model->attempts, id);
}
