#include "libbamboothread/scheduler/forwarder.h"

#include "libbamboothread/base/log.h"

/* An append that takes so long, in microseconds, shows that the log is slow. Usual are 6
   to 25 ms. */
#define SLOW_US (60 * 1000)
/* For so long the time of an append shows how the log is, in microseconds. */
#define APPENDED_US (2 * G_USEC_PER_SEC)
/* Time for the owner's answer to a job, in milliseconds: two appends of a slow log, and
   enough is left of a caller's patience to append it here. */
#define ANSWER_TIMEOUT_MS 1500

/**
 * struct bts_forwarder_t - jobs on their way through the owner
 * @handed: exchange to the Bts__Forward by which its job was handed over, while there is
 *   no answer
 * @append_us: time that the newest append of this process took
 * @appended_us: when that was answered
 * @owner_append_us: time that the owner's newest append took, as its beats tell
 */
struct bts_forwarder_t
{
  const bts_forwarder_ops_t *ops;
  void *context;
  GHashTable *handed;
  gint64 append_us;
  gint64 appended_us;
  gint64 owner_append_us;
};

static void
forward_free (gpointer data)
{
  bts__forward__free_unpacked (data, NULL);
}

/**
 * bts_forwarder_new() - a relay that has handed over nothing
 * @ops: where jobs and answers go
 * @context: handed to @ops
 */
bts_forwarder_t *
bts_forwarder_new (const bts_forwarder_ops_t *ops, void *context)
{
  bts_forwarder_t *relay = g_new0 (bts_forwarder_t, 1);
  relay->ops = ops;
  relay->context = context;
  relay->handed = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, forward_free);
  return relay;
}

void
bts_forwarder_free (bts_forwarder_t *relay)
{
  g_hash_table_unref (relay->handed);
  g_free (relay);
}

/**
 * bts_forwarder_on_append() - an append of this process was answered, or not
 * @relay: the relay
 * @stored: what became of it
 * @took_us: how long that took
 * @now_us: the time
 */
void
bts_forwarder_on_append (bts_forwarder_t *relay, bts_append_result_t stored, gint64 took_us,
                         gint64 now_us)
{
  relay->append_us = stored == BTS_APPEND_STORED ? took_us : MAX (took_us, SLOW_US);
  relay->appended_us = now_us;
}

/**
 * bts_forwarder_set_owner_append_ms() - the owner has told how long its appends take
 * @relay: the relay
 * @append_ms: time of its newest one, in milliseconds
 */
void
bts_forwarder_set_owner_append_ms (bts_forwarder_t *relay, guint append_ms)
{
  relay->owner_append_us = (gint64)append_ms * 1000;
}

/**
 * bts_forwarder_last_append_us() - how long the newest append of this process took
 * @relay: the relay
 */
gint64
bts_forwarder_last_append_us (const bts_forwarder_t *relay)
{
  return relay->append_us;
}

/**
 * bts_forwarder_is_log_slow() - whether the owner's appends, or one from here of late, took long
 * @relay: the relay
 * @now_us: the time
 */
gboolean
bts_forwarder_is_log_slow (const bts_forwarder_t *relay, gint64 now_us)
{
  return relay->owner_append_us >= SLOW_US
         || (relay->append_us >= SLOW_US && now_us - relay->appended_us < APPENDED_US);
}

/**
 * bts_forwarder_count_in_flight() - how many jobs the owner has been handed and not answered
 * @relay: the relay
 */
guint
bts_forwarder_count_in_flight (const bts_forwarder_t *relay)
{
  return g_hash_table_size (relay->handed);
}

/**
 * bts_forwarder_forward() - hand a job to the owner
 * @relay: the relay
 * @address: where the owner takes messages
 * @exchange: names the caller's request
 * @job: the job; the relay takes it
 * @patience_us: how long the caller waits
 * @now_us: the time
 */
void
bts_forwarder_forward (bts_forwarder_t *relay, const char *address, guint64 exchange,
                       Bts__Accepted *job, gint64 patience_us, gint64 now_us)
{
  Bts__Forward *forward = malloc (sizeof *forward);
  bts__forward__init (forward);
  forward->job = job;
  forward->patience_ms = (guint32)(MAX (patience_us, 0) / 1000);
  forward->exchange = exchange;
  forward->sent_us = now_us;
  g_hash_table_replace (relay->handed, &forward->exchange, forward);
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_FORWARD;
  message.forward = forward;
  relay->ops->send (relay->context, address, &message, ANSWER_TIMEOUT_MS);
}

static void
append_here (bts_forwarder_t *relay, Bts__Forward *forward, gint64 now_us)
{
  gint64 left_us = (gint64)forward->patience_ms * 1000 - (now_us - forward->sent_us);
  Bts__Accepted *job = forward->job;
  forward->job = NULL;
  relay->ops->append (relay->context, forward->exchange, job, left_us);
  forward_free (forward);
}

/**
 * bts_forwarder_on_reply() - what became of a job that was handed over
 * @relay: the relay
 * @sent: what was sent
 * @reply: the owner's reply, or NULL if there is none
 * @now_us: the time
 *
 * Without an answer the entry appends the job itself: a record that is there twice
 * counts once.
 */
void
bts_forwarder_on_reply (bts_forwarder_t *relay, const Bts__Forward *sent, const Bts__Reply *reply,
                        gint64 now_us)
{
  gpointer value;
  if (!g_hash_table_steal_extended (relay->handed, &sent->exchange, NULL, &value))
    return;
  Bts__Forward *forward = value;
  gboolean answered = reply != NULL && reply->kind_case == BTS__REPLY__KIND_ANSWER
                      && reply->answer <= BTS_ANSWER_NOT_FOUND;
  bt_log (BT_LOG_INFO, "forwarded", "job=%s answered=%d took_ms=%" G_GINT64_FORMAT,
          forward->job->id, answered, (now_us - forward->sent_us) / 1000);
  if (!answered)
    {
      append_here (relay, forward, now_us);
      return;
    }
  relay->ops->answer (relay->context, forward->exchange, (bts_answer_t)reply->answer);
  forward_free (forward);
}

/**
 * bts_forwarder_append_unanswered() - append what the owner has not answered
 * @relay: the relay
 * @now_us: the time
 *
 * Jobs that an earlier owner was handed may have been lost with it.
 */
void
bts_forwarder_append_unanswered (bts_forwarder_t *relay, gint64 now_us)
{
  g_autoptr (GPtrArray) forwards = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, relay->handed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (forwards, value);
  g_hash_table_steal_all (relay->handed);
  for (guint i = 0; i < forwards->len; i++)
    append_here (relay, forwards->pdata[i], now_us);
}
