#include "libbamboothread/scheduler/forwarder.h"

#include "libbamboothread/base/log.h"

/* Appends that take this long show that the log is slow, in microseconds. Normally they take
   6 to 25 ms. */
#define SLOW_APPEND_US (60 * 1000)
/* How long the latency of an append of this process shows the state of the log, in
   microseconds. */
#define APPEND_SAMPLE_VALID_US (2 * G_USEC_PER_SEC)
/* Timeout for the owner's reply to a forwarded job, in milliseconds: covers two appends to a
   slow log and leaves enough of the caller's timeout for an append by this process. */
#define REPLY_TIMEOUT_MS 1500
/* Part of the caller's timeout that is left when the owner is given up while the log is slow, in
   milliseconds: the job is then not appended by this process, whose append would take longer, and
   make all others wait as well. */
#define SLOW_REPLY_MARGIN_MS 300

/* How long no further job is forwarded after the owner has left one unanswered, by a process that
   can't read the journal, in microseconds. */
#define FAILURE_VALID_US (1000 * 1000)

/**
 * struct bts_forwarder_t - jobs forwarded to the owner
 * @in_flight: exchange to the Bts__Forward that carries its job, while there is no reply
 * @failed_us: when a job was last left without a reply; 0 if one was answered since
 * @last_append_us: latency of the newest append of this process
 * @last_append_done_us: when that append completed
 * @owner_append_us: latency of the owner's newest append, as reported in its heartbeats
 */
struct bts_forwarder_t
{
  const bts_forwarder_ops_t *ops;
  void *context;
  GHashTable *in_flight;
  gint64 failed_us;
  gint64 last_append_us;
  gint64 last_append_done_us;
  gint64 owner_append_us;
};

static void
forward_free (gpointer data)
{
  bts__forward__free_unpacked (data, NULL);
}

/**
 * bts_forwarder_new() - create a forwarder with no jobs in flight
 * @ops: callbacks for messages, answers and appends of this process
 * @context: passed to @ops
 */
bts_forwarder_t *
bts_forwarder_new (const bts_forwarder_ops_t *ops, void *context)
{
  bts_forwarder_t *forwarder = g_new0 (bts_forwarder_t, 1);
  forwarder->ops = ops;
  forwarder->context = context;
  forwarder->in_flight = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, forward_free);
  return forwarder;
}

void
bts_forwarder_free (bts_forwarder_t *forwarder)
{
  g_hash_table_unref (forwarder->in_flight);
  g_free (forwarder);
}

/**
 * bts_forwarder_on_append() - an append of this process completed, or got no answer
 * @forwarder: the forwarder
 * @result: its result
 * @took_us: its latency
 * @now_us: current time
 */
void
bts_forwarder_on_append (bts_forwarder_t *forwarder, bts_append_result_t result, gint64 took_us,
                         gint64 now_us)
{
  forwarder->last_append_us = result == BTS_APPEND_STORED ? took_us : MAX (took_us, SLOW_APPEND_US);
  forwarder->last_append_done_us = now_us;
}

/**
 * bts_forwarder_set_owner_append_ms() - record the append latency that the owner reports
 * @forwarder: the forwarder
 * @append_ms: latency of the owner's newest append, in milliseconds; 0 if it isn't known, as from a
 *   replay, whose heartbeats tell of an earlier time
 */
void
bts_forwarder_set_owner_append_ms (bts_forwarder_t *forwarder, guint append_ms)
{
  forwarder->owner_append_us = (gint64)append_ms * 1000;
}

/**
 * bts_forwarder_last_append_us() - latency of the newest append of this process
 * @forwarder: the forwarder
 */
gint64
bts_forwarder_last_append_us (const bts_forwarder_t *forwarder)
{
  return forwarder->last_append_us;
}

/**
 * bts_forwarder_is_log_slow() - whether the log is slow
 * @forwarder: the forwarder
 * @now_us: current time
 *
 * Return: whether the owner's newest append was slow, or that of this process if it is recent.
 */
gboolean
bts_forwarder_is_log_slow (const bts_forwarder_t *forwarder, gint64 now_us)
{
  return forwarder->owner_append_us >= SLOW_APPEND_US
         || (forwarder->last_append_us >= SLOW_APPEND_US
             && now_us - forwarder->last_append_done_us < APPEND_SAMPLE_VALID_US);
}

/**
 * bts_forwarder_count_in_flight() - number of forwarded jobs without a reply
 * @forwarder: the forwarder
 */
guint
bts_forwarder_count_in_flight (const bts_forwarder_t *forwarder)
{
  return g_hash_table_size (forwarder->in_flight);
}

/**
 * bts_forwarder_has_failed() - whether the owner has recently left a job unanswered
 * @forwarder: the forwarder
 * @now_us: current time
 */
gboolean
bts_forwarder_has_failed (const bts_forwarder_t *forwarder, gint64 now_us)
{
  return forwarder->failed_us != 0 && now_us - forwarder->failed_us < FAILURE_VALID_US;
}

/**
 * bts_forwarder_forward() - forward a job to the owner
 * @forwarder: the forwarder
 * @address: the owner's address for messages
 * @exchange: identifies the caller's request
 * @job: the job; ownership is taken
 * @timeout_us: how long the caller waits
 * @is_log_slow: whether an append by this process would take long
 * @now_us: current time
 */
void
bts_forwarder_forward (bts_forwarder_t *forwarder, const char *address, guint64 exchange,
                       Bts__Accepted *job, gint64 timeout_us, gboolean is_log_slow, gint64 now_us)
{
  Bts__Forward *forward = malloc (sizeof *forward);
  bts__forward__init (forward);
  forward->job = job;
  forward->patience_ms = (guint32)(MAX (timeout_us, 0) / 1000);
  forward->exchange = exchange;
  forward->sent_us = now_us;
  g_hash_table_replace (forwarder->in_flight, &forward->exchange, forward);
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_FORWARD;
  message.forward = forward;
  gint64 slow_ms = timeout_us / 1000 - SLOW_REPLY_MARGIN_MS;
  guint timeout_ms = is_log_slow ? (guint)MAX (slow_ms, REPLY_TIMEOUT_MS) : REPLY_TIMEOUT_MS;
  forwarder->ops->send (forwarder->context, address, &message, timeout_ms);
}

static void
append_directly (bts_forwarder_t *forwarder, Bts__Forward *forward, gboolean maybe_stored,
                 gint64 now_us)
{
  gint64 remaining_us = (gint64)forward->patience_ms * 1000 - (now_us - forward->sent_us);
  Bts__Accepted *job = forward->job;
  forward->job = NULL;
  forwarder->ops->append (forwarder->context, forward->exchange, job, maybe_stored, remaining_us);
  forward_free (forward);
}

/**
 * bts_forwarder_on_reply() - the owner replied to a forwarded job, or didn't
 * @forwarder: the forwarder
 * @sent: the message that was sent
 * @was_delivered: whether the owner may have received it
 * @reply: the owner's reply, or NULL if there is none
 * @now_us: current time
 *
 * Without an answer, this process appends the job itself. If the owner has appended it, too, the
 * duplicate record has no effect. A job that was never sent can still be refused.
 */
void
bts_forwarder_on_reply (bts_forwarder_t *forwarder, const Bts__Forward *sent,
                        gboolean was_delivered, const Bts__Reply *reply, gint64 now_us)
{
  gpointer value;
  if (!g_hash_table_steal_extended (forwarder->in_flight, &sent->exchange, NULL, &value))
    return;
  Bts__Forward *forward = value;
  gboolean answered = reply != NULL && reply->kind_case == BTS__REPLY__KIND_ANSWER
                      && reply->answer <= BTS_ANSWER_NOT_FOUND;
  bt_log (BT_LOG_INFO, "forwarded", "job=%s answered=%d took_ms=%" G_GINT64_FORMAT,
          forward->job->id, answered, (now_us - forward->sent_us) / 1000);
  forwarder->failed_us = answered ? 0 : now_us;
  if (!answered)
    {
      append_directly (forwarder, forward, was_delivered, now_us);
      return;
    }
  forwarder->ops->answer (forwarder->context, forward->exchange, (bts_answer_t)reply->answer);
  forward_free (forward);
}

/**
 * bts_forwarder_append_unanswered() - append the unanswered jobs from this process
 * @forwarder: the forwarder
 * @now_us: current time
 *
 * Called when the owner has changed: jobs forwarded to an earlier owner may be lost.
 */
void
bts_forwarder_append_unanswered (bts_forwarder_t *forwarder, gint64 now_us)
{
  g_autoptr (GPtrArray) forwards = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, forwarder->in_flight);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (forwards, value);
  g_hash_table_steal_all (forwarder->in_flight);
  for (guint i = 0; i < forwards->len; i++)
    append_directly (forwarder, forwards->pdata[i], TRUE, now_us);
}
