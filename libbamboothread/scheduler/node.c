#include "libbamboothread/scheduler/node.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* Appends whose outcome only the fold tells carry this token. */
#define TOKEN_NONE 0
/* How long entries may still come back after the list could not be read, in
   microseconds; the platform says about two seconds. */
#define ENTRIES_GRACE_US (2500 * 1000)
/* The store was away if the journal wasn't read to its end for so long, in
   microseconds: waiting reads answer within 1 s. */
#define AWAY_US (2500 * 1000)
/* A process that wasn't run for so long, in microseconds, may have missed cancellations
   and a change of the owner; it looks at what is due every 10 to 50 ms. */
#define PAUSE_US (400 * 1000)
/* Time between two signs of a process, in microseconds; members.c takes one that misses
   two of them as gone. A slow log is left alone for one of them. */
#define HELLO_US (4 * BT_USEC_PER_SEC)
#define HELLO_SLOW_US (8 * BT_USEC_PER_SEC)
/* Time for the reply to a question, in milliseconds: the owner asks elsewhere long
   before, and a connection that has gone silent is closed by it. */
#define ASK_TIMEOUT_MS 3500
/* Exchanges of the gate that stand for messages of other processes. */
#define FORWARDED (G_GUINT64_CONSTANT (1) << 63)
/* A process is weak if another one has so many times its share of a processor. */
#define WEAK_FACTOR 2
/* A weak owner hands on when it has led for so long, in microseconds, and nothing of
   the owner before it is unknown. */
#define YIELD_US (1500 * 1000)
/* It does so only while its own beats come back: others could not claim else. */
#define YIELD_SIGN_US (300 * 1000)
/* Time between two sweeps of jobs that ended long ago, in microseconds. */
#define FORGET_US (5 * BT_USEC_PER_SEC)

/**
 * struct bts_node_t - one process
 * @owner_new: the owner has changed since it was last looked at what is due
 * @deposed: a worker knows a later owner; to be acted on at the next tick
 * @tick_us: when it was last looked at what is due
 * @paused_us: when this process last woke after it had stood still; 0 once it has
 *   read the journal since
 * @replaying: the journal has not been read to its end yet
 * @hello_us: when this process last said that it is there
 * @entries_away: the list of entries could not be read since it was read last
 * @entries_back_us: when the store was last found back after it was away
 */
struct bts_node_t
{
  bts_node_config_t config;
  char *name;
  char *address;
  const bt_clock_t *clock;
  const bts_node_ops_t *ops;
  void *context;
  bts_ledger_t *ledger;
  bts_fleet_t fleet;
  bts_members_t *members;
  bts_sched_t *sched;
  bts_requests_t *requests;
  bts_advice_client_t *advice_client;
  bts_spec_reader_t *spec_reader;
  bts_election_t election;
  bts_tables_t *tables;
  bts_forwarder_t *forwarder;
  gboolean owner_new;
  gboolean deposed;
  gboolean resigned;
  gint64 tick_us;
  gint64 paused_us;
  gboolean replaying;
  gint64 hello_us;
  gboolean entries_away;
  gint64 entries_back_us;
  gint64 forgot_us;
};

static gint64
node_now (const bts_node_t *node)
{
  return bt_clock_now (node->clock);
}

static void
append (bts_node_t *node, guint64 token, const Bts__Record *record)
{
  g_autoptr (GBytes) bytes = bts_message_pack (&record->base);
  node->ops->append (node->context, token, bytes);
}

/* What the ledger tells. */

static void
on_accepted (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_requests_on_job (node->requests, job);
  if (bts_sched_is_leading (node->sched))
    bts_spec_reader_on_job (node->spec_reader, job);
  bts_sched_on_job_accepted (node->sched, job);
}

static void
on_cancelled (void *context, bts_job_t *job)
{
  bt_log (BT_LOG_INFO, "cancelled", "job=%s", bts_job_id (job));
}

static void
on_ended (void *context, bts_task_t *task, guint run, bts_run_outcome_t how)
{
  bts_node_t *node = context;
  bts_sched_on_run_ended (node->sched, task, run, how);
}

static void
on_over (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_requests_on_job (node->requests, job);
  bts_sched_on_job_ended (node->sched, job);
}

static void
on_owner (void *context)
{
  bts_node_t *node = context;
  gint64 now_us = node_now (node);
  const char *owner = bts_ledger_owner (node->ledger);
  bt_log (BT_LOG_NOTICE, "owner", "term=%" G_GUINT64_FORMAT " owner=%s",
          bts_ledger_term (node->ledger), owner == NULL ? "none" : owner);
  bts_election_on_owner (&node->election, node->ledger, now_us);
  bts_sched_end_term (node->sched);
  node->owner_new = TRUE;
}

static void
on_beat (void *context, guint64 number, guint append_ms)
{
  bts_node_t *node = context;
  bts_forwarder_set_owner_append_ms (node->forwarder, append_ms);
  bts_election_on_heartbeat (&node->election, node_now (node));
  bts_sched_on_heartbeat (node->sched, number);
}

static void
on_seen (void *context, const char *name)
{
  bts_node_t *node = context;
  /* Signs that are read again may be of processes that are long gone. */
  if (!node->replaying)
    bts_members_mark_seen (node->members, name, node_now (node));
}

static void
on_hello (void *context, const Bts__Hello *hello)
{
  bts_node_t *node = context;
  bts_members_update (node->members, hello, node_now (node));
}

static void
on_held (void *context, const Bts__Held *held)
{
  bts_node_t *node = context;
  bts_fleet_add_held (&node->fleet, held, node_now (node));
}

static void
on_released (void *context, const char *id)
{
  bts_node_t *node = context;
  bts_worker_t *worker = bts_fleet_find_worker (&node->fleet, id);
  if (worker != NULL && !worker->registered && !bts_sched_is_leading (node->sched))
    bts_fleet_remove (&node->fleet, id);
}

static void
on_forgotten (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_sched_on_job_removed (node->sched, job);
}

static const bts_ledger_ops_t ledger_ops
    = { on_accepted, on_cancelled, on_ended, on_over,     on_owner,    on_beat,
        on_seen,     on_hello,     on_held,  on_released, on_forgotten };

/* What the scheduler sends. */

static void
sched_hold (void *context, const bts_worker_t *worker, const bts_hold_order_t *order)
{
  bts_node_t *node = context;
  node->ops->hold (node->context, worker, order);
}

static void
sched_start (void *context, const bts_run_t *run, const bts_start_order_t *order)
{
  bts_node_t *node = context;
  node->ops->start (node->context, run, order);
}

static void
sched_stop (void *context, const bts_run_t *run, guint64 fence)
{
  bts_node_t *node = context;
  node->ops->stop (node->context, run, fence);
}

static void
sched_append (void *context, const Bts__Record *record)
{
  append (context, TOKEN_NONE, record);
}

/* Messages to other processes and replies to theirs. */

static void
send_message (void *context, const char *address, const Bts__Message *message, guint timeout_ms)
{
  bts_node_t *node = context;
  g_autoptr (GBytes) bytes = bts_message_pack (&message->base);
  node->ops->send (node->context, address, bytes, timeout_ms);
}

static void
send_reply (bts_node_t *node, guint64 exchange, const Bts__Reply *reply)
{
  g_autoptr (GBytes) bytes = bts_message_pack (&reply->base);
  node->ops->reply (node->context, exchange, bytes);
}

static void
sched_advise (void *context, const char *name, const char *address, const Bts__Ask *ask)
{
  bts_node_t *node = context;
  if (strcmp (name, node->name) == 0)
    {
      bts_advice_client_enqueue (node->advice_client, 0, ask);
      return;
    }
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_ASK;
  message.ask = (Bts__Ask *)ask;
  send_message (node, address, &message, ASK_TIMEOUT_MS);
}

static void
sched_deposed (void *context)
{
  bts_node_t *node = context;
  node->deposed = TRUE;
}

static gint64
sched_now_unix_ms (void *context)
{
  bts_node_t *node = context;
  return node->ops->now_unix_ms (node->context);
}

static const bts_sched_ops_t sched_ops
    = { sched_hold,   sched_start,   sched_stop,       sched_append,
        sched_advise, sched_deposed, sched_now_unix_ms };

/* What the gate and the adviser send. */

static void
gate_append (void *context, guint64 token, const Bts__Record *record)
{
  append (context, token, record);
}

static void
gate_answer (void *context, guint64 exchange, bts_answer_t answer)
{
  bts_node_t *node = context;
  if ((exchange & FORWARDED) == 0)
    {
      node->ops->answer (node->context, exchange, answer);
      return;
    }
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_ANSWER;
  reply.answer = answer;
  send_reply (node, exchange & ~FORWARDED, &reply);
}

/* Whether so many entries are there that a log that turns slow would take their appends
   for seconds before they know. */
static gboolean
is_crowded (const bts_node_t *node)
{
  return bts_members_count (node->members) > node->config.max_direct_appenders;
}

/* Where the owner takes messages, if that is another process. */
static const char *
owner_address (const bts_node_t *node)
{
  const char *owner = bts_ledger_owner (node->ledger);
  if (owner == NULL || bts_election_is_owner (&node->election, node->ledger))
    return NULL;
  const bts_member_t *member = bts_members_find (node->members, owner);
  return member == NULL ? NULL : member->address;
}

static gboolean
gate_pass_on (void *context, guint64 exchange, Bts__Accepted *job, gint64 patience_us)
{
  bts_node_t *node = context;
  const char *address = (exchange & FORWARDED) != 0 ? NULL : owner_address (node);
  if (address == NULL)
    return FALSE;
  bts_forwarder_forward (node->forwarder, address, exchange, job, patience_us, node_now (node));
  return TRUE;
}

static void
gate_append_spec (void *context, guint64 token, const Bts__Spec *spec)
{
  bts_node_t *node = context;
  g_autoptr (GBytes) bytes = bts_message_pack (&spec->base);
  node->ops->append_spec (node->context, token, bytes);
}

static const bts_requests_ops_t gate_ops
    = { gate_append, gate_append_spec, gate_pass_on, gate_answer };

static void
relay_answer (void *context, guint64 exchange, bts_answer_t answer)
{
  bts_node_t *node = context;
  node->ops->answer (node->context, exchange, answer);
}

static void
relay_append (void *context, guint64 exchange, Bts__Accepted *job, gint64 patience_us)
{
  bts_node_t *node = context;
  bts_requests_submit (node->requests, exchange, job, TRUE, patience_us, node_now (node));
}

static const bts_forwarder_ops_t relay_ops = { send_message, relay_answer, relay_append };

static void
specs_read (void *context, gint64 from)
{
  bts_node_t *node = context;
  node->ops->read_specs (node->context, from);
}

static const bts_spec_reader_ops_t specs_ops = { specs_read };

static void
adviser_ask (void *context, const bts_advice_request_t *question)
{
  bts_node_t *node = context;
  node->ops->advise (node->context, question);
}

/* Tells whoever asked what the advice service answered; NULL if there is no answer. */
static void
tell_advice (bts_node_t *node, const bts_advice_request_t *question, const Bts__Advice *advice)
{
  if (question->exchange == 0)
    {
      Bts__Ask ask = BTS__ASK__INIT;
      ask.node = question->node;
      ask.job = question->job;
      ask.occurrence = question->occurrence;
      ask.step = question->step;
      ask.n_workers = question->workers->len;
      ask.workers = (char **)question->workers->pdata;
      bts_sched_on_advice (node->sched, &ask, advice);
      return;
    }
  if (advice == NULL)
    {
      node->ops->reply (node->context, question->exchange, NULL);
      return;
    }
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_ADVICE;
  reply.advice = (Bts__Advice *)advice;
  send_reply (node, question->exchange, &reply);
}

static void
adviser_given_up (void *context, const bts_advice_request_t *question)
{
  tell_advice (context, question, NULL);
}

static const bts_advice_client_ops_t adviser_ops = { adviser_ask, adviser_given_up };

/**
 * bts_node_new() - a process that knows nothing yet
 * @config: how it is to work; copied
 * @clock: its clock
 * @ops: where its messages go
 * @context: handed to @ops
 */
bts_node_t *
bts_node_new (const bts_node_config_t *config, const bt_clock_t *clock, const bts_node_ops_t *ops,
              void *context)
{
  bts_node_t *node = g_new0 (bts_node_t, 1);
  node->config = *config;
  node->name = g_strdup (config->name);
  node->address = g_strdup (config->address);
  node->clock = clock;
  node->ops = ops;
  node->context = context;
  node->ledger = bts_ledger_new (&ledger_ops, node);
  bts_fleet_init (&node->fleet);
  node->members = bts_members_new ();
  node->forwarder = bts_forwarder_new (&relay_ops, node);
  node->sched = bts_sched_new (&config->sched, clock, node->ledger, &node->fleet, node->members,
                               &sched_ops, node);
  node->requests = bts_requests_new (node->ledger, &gate_ops, node);
  node->spec_reader = bts_spec_reader_new (node->ledger, &specs_ops, node);
  node->advice_client = bts_advice_client_new (node->ledger, &adviser_ops, node);
  bts_election_init (&node->election, config->name);
  node->replaying = TRUE;
  bts_ledger_set_replaying (node->ledger, TRUE);
  return node;
}

void
bts_node_free (bts_node_t *node)
{
  bts_sched_free (node->sched);
  bts_requests_free (node->requests);
  bts_advice_client_free (node->advice_client);
  bts_spec_reader_free (node->spec_reader);
  bts_ledger_free (node->ledger);
  bts_fleet_clear (&node->fleet);
  bts_election_clear (&node->election);
  bts_tables_free (node->tables);
  bts_members_free (node->members);
  bts_forwarder_free (node->forwarder);
  g_free (node->name);
  g_free (node->address);
  g_free (node);
}

bts_sched_t *
bts_node_sched (const bts_node_t *node)
{
  return node->sched;
}

const bts_tables_t *
bts_node_tables (const bts_node_t *node)
{
  return node->tables;
}

/**
 * bts_node_on_record() - the next record of the journal
 * @node: the process
 * @offset: of the record
 * @data: its bytes, @len of them
 * @len: number of bytes
 */
void
bts_node_on_record (bts_node_t *node, gint64 offset, const guint8 *data, gsize len)
{
  g_autoptr (GError) error = NULL;
  bt_metrics_count (BT_COUNT_RECORDS);
  if (!bts_ledger_fold (node->ledger, offset, data, len, node_now (node), &error))
    bt_log (BT_LOG_ERROR, "record-unreadable", "offset=%" G_GINT64_FORMAT " cause=\"%s\"", offset,
            error->message);
}

static void
begin_if_owner (bts_node_t *node)
{
  if (!bts_election_is_owner (&node->election, node->ledger) || bts_sched_is_leading (node->sched)
      || node->resigned || node->deposed)
    return;
  gint64 lease_us = bts_lease_max_us (bts_sched_lease_ms (node->sched));
  bts_sched_begin_term (node->sched, bts_ledger_term (node->ledger),
                        bts_election_old_leases_expiry_us (
                            &node->election, lease_us + BTS_LEASE_MARGIN_US, node_now (node)));
  bts_spec_reader_start (node->spec_reader, node_now (node));
}

/**
 * bts_node_on_spec() - the next record of the log of specs
 * @node: the process
 * @offset: of the record
 * @data: its bytes, @len of them
 * @len: number of bytes
 */
void
bts_node_on_spec (bts_node_t *node, gint64 offset, const guint8 *data, gsize len)
{
  g_autoptr (GError) error = NULL;
  if (!bts_spec_reader_on_record (node->spec_reader, offset, data, len, &error))
    bt_log (BT_LOG_ERROR, "spec-unreadable", "offset=%" G_GINT64_FORMAT " cause=\"%s\"", offset,
            error->message);
  bts_sched_mark_dirty (node->sched);
}

/**
 * bts_node_on_spec_append() - what became of a record for the log of specs
 * @node: the process
 * @token: as given with it
 * @stored: what became of it
 * @offset: where it stands if it is stored
 */
void
bts_node_on_spec_append (bts_node_t *node, guint64 token, bts_append_result_t stored, gint64 offset)
{
  bts_requests_on_spec_append (node->requests, token, stored, offset, node_now (node));
}

/**
 * bts_node_on_caught_up() - the journal was read to its end
 * @node: the process
 * @sent_us: when that read was sent
 *
 * Only now a claim of this process is acted on: records before the end may hold
 * a later one.
 */
void
bts_node_on_caught_up (bts_node_t *node, gint64 sent_us)
{
  gint64 now_us = node_now (node);
  if (now_us - node->election.caught_up_us > AWAY_US)
    node->entries_back_us = now_us;
  bts_election_on_caught_up (&node->election, now_us);
  node->replaying = FALSE;
  if (sent_us > node->paused_us)
    node->paused_us = 0;
  bts_sched_set_journal_stale (node->sched, node->paused_us != 0);
  bts_ledger_set_replaying (node->ledger, FALSE);
  bts_requests_on_caught_up (node->requests, sent_us, now_us);
  begin_if_owner (node);
}

/**
 * bts_node_on_skipped() - records were deleted before they could be read
 * @node: the process
 * @from: the first of them
 * @first: the first one that is kept
 */
void
bts_node_on_skipped (bts_node_t *node, gint64 from, gint64 first)
{
  /* A process that starts begins with what the log still keeps. */
  bt_log (node->replaying ? BT_LOG_NOTICE : BT_LOG_ERROR, "journal-skipped",
          "from=%" G_GINT64_FORMAT " first=%" G_GINT64_FORMAT, from, first);
}

/**
 * bts_node_on_append() - what became of a record
 * @node: the process
 * @token: as given with it
 * @stored: what became of it
 * @took_us: time from the call to its answer
 */
void
bts_node_on_append (bts_node_t *node, guint64 token, bts_append_result_t stored, gint64 took_us)
{
  bt_metrics_count (stored == BTS_APPEND_STORED    ? BT_COUNT_APPEND_STORED
                    : stored == BTS_APPEND_REFUSED ? BT_COUNT_APPEND_REFUSED
                                                   : BT_COUNT_APPEND_UNKNOWN);
  if (stored == BTS_APPEND_STORED)
    bt_metrics_observe (BT_HIST_APPEND_MS, took_us / 1000);
  if (stored == BTS_APPEND_STORED)
    bts_election_on_append (&node->election, took_us);
  bts_forwarder_on_append (node->forwarder, stored, took_us, node_now (node));
  bts_sched_set_append_ms (node->sched,
                           (guint)(bts_forwarder_last_append_us (node->forwarder) / 1000));
  if (token != TOKEN_NONE)
    bts_requests_on_append (node->requests, token, stored, node_now (node));
}

/**
 * bts_node_on_advice() - the advice service has answered, or not
 * @node: the process
 * @question: what was asked
 * @advice: the answer; NULL if there is none
 */
void
bts_node_on_advice (bts_node_t *node, const bts_advice_request_t *question,
                    const Bts__Advice *advice)
{
  if (advice != NULL)
    {
      bt_log (BT_LOG_INFO, "advice", "job=%s occurrence=%u step=%u asked=%u allowed=%zu",
              question->job, question->occurrence, question->step, question->workers->len,
              advice->n_allowed);
      tell_advice (node, question, advice);
    }
  bts_advice_client_on_reply (node->advice_client, question, advice != NULL);
}

static gboolean
take_ask (bts_node_t *node, guint64 exchange, const Bts__Ask *ask)
{
  if (ask->n_workers == 0 || ask->n_workers > BTS_ADVICE_MAX_WORKERS || *ask->job == '\0')
    return FALSE;
  bts_advice_client_enqueue (node->advice_client, exchange, ask);
  return TRUE;
}

static gboolean
take_forward (bts_node_t *node, guint64 exchange, Bts__Forward *forward)
{
  g_autoptr (GError) error = NULL;
  if (forward->job == NULL || !bts_accepted_check (forward->job, &error))
    return FALSE;
  /* The entry appends the job itself if there is no owner here any more. */
  if (!bts_sched_is_leading (node->sched))
    {
      node->ops->reply (node->context, exchange, NULL);
      return TRUE;
    }
  Bts__Accepted *job = forward->job;
  forward->job = NULL;
  bts_requests_submit (node->requests, exchange | FORWARDED, job, FALSE,
                       (gint64)forward->patience_ms * 1000, node_now (node));
  return TRUE;
}

/**
 * bts_node_on_message() - a message of another process
 * @node: the process
 * @exchange: names the message for its reply
 * @data: the message, @len bytes
 * @len: number of bytes
 *
 * Return: FALSE if it can't be read.
 */
gboolean
bts_node_on_message (bts_node_t *node, guint64 exchange, const guint8 *data, gsize len)
{
  Bts__Message *message = bts__message__unpack (NULL, len, data);
  if (message == NULL)
    return FALSE;
  gboolean usable = FALSE;
  if (message->kind_case == BTS__MESSAGE__KIND_ASK)
    usable = take_ask (node, exchange, message->ask);
  else if (message->kind_case == BTS__MESSAGE__KIND_FORWARD)
    usable = take_forward (node, exchange, message->forward);
  bts__message__free_unpacked (message, NULL);
  return usable;
}

static void
on_asked (bts_node_t *node, const Bts__Ask *ask, const Bts__Reply *reply)
{
  const Bts__Advice *advice
      = reply != NULL && reply->kind_case == BTS__REPLY__KIND_ADVICE ? reply->advice : NULL;
  if (advice == NULL)
    bt_log (BT_LOG_NOTICE, "advice-missing", "job=%s step=%u", ask->job, ask->step);
  bts_sched_on_advice (node->sched, ask, advice);
}

/**
 * bts_node_on_reply() - what became of a message to another process
 * @node: the process
 * @sent: the message
 * @data: the reply, @len bytes; NULL if there is none
 * @len: number of bytes
 */
void
bts_node_on_reply (bts_node_t *node, GBytes *sent, const guint8 *data, gsize len)
{
  gsize sent_len;
  const guint8 *sent_data = g_bytes_get_data (sent, &sent_len);
  Bts__Message *message = bts__message__unpack (NULL, sent_len, sent_data);
  Bts__Reply *reply = data == NULL ? NULL : bts__reply__unpack (NULL, len, data);
  if (message->kind_case == BTS__MESSAGE__KIND_ASK)
    on_asked (node, message->ask, reply);
  else
    bts_forwarder_on_reply (node->forwarder, message->forward, reply, node_now (node));
  bts__message__free_unpacked (message, NULL);
  if (reply != NULL)
    bts__reply__free_unpacked (reply, NULL);
}

/**
 * bts_node_on_tables() - a version of the tables was read
 * @node: the process
 * @manifest: the version; the process takes it. Versions go up only.
 */
void
bts_node_on_tables (bts_node_t *node, bts_tables_t *manifest)
{
  if (node->tables != NULL && manifest->version <= node->tables->version)
    {
      bts_tables_free (manifest);
      return;
    }
  bt_log (BT_LOG_NOTICE, "tables", "version=%" G_GINT64_FORMAT " routes=%u", manifest->version,
          manifest->routes->len);
  bts_tables_free (node->tables);
  node->tables = manifest;
}

/**
 * bts_node_on_entry() - what a worker says of itself
 * @node: the process
 * @entry: the entry; the process takes it
 */
void
bts_node_on_entry (bts_node_t *node, bts_worker_entry_t *entry)
{
  g_autofree char *id = g_strdup (entry->id);
  const bts_worker_t *known = bts_fleet_find_worker (&node->fleet, id);
  gboolean drained = known != NULL && known->entry->draining;
  bts_entry_change_t change = bts_fleet_update_entry (&node->fleet, entry);
  if (change == BTS_ENTRY_RESTARTED || (entry->draining && !drained))
    bt_log (BT_LOG_INFO, "entry",
            "worker=%s draining=%d remaining_ms=%" G_GINT64_FORMAT " reborn=%d", id,
            entry->draining, entry->remaining_ms, change == BTS_ENTRY_RESTARTED);
  bts_sched_on_worker_entry (node->sched, id, change);
}

/**
 * bts_node_on_entries() - all entries have been read
 * @node: the process
 * @ids: the workers that have one; NULL if they could not be read
 */
void
bts_node_on_entries (bts_node_t *node, GHashTable *ids)
{
  gint64 now_us = node_now (node);
  if (node->entries_away && ids != NULL)
    node->entries_back_us = now_us;
  node->entries_away = ids == NULL;
  if (ids == NULL || now_us - node->entries_back_us < ENTRIES_GRACE_US)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->fleet.workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_worker_t *worker = value;
      if (!worker->registered || g_hash_table_contains (ids, worker->entry->id))
        continue;
      worker->registered = FALSE;
      worker->unregistered_us = now_us;
      bt_log (BT_LOG_INFO, "unlisted", "worker=%s runs=%u", worker->entry->id, worker->runs->len);
    }
}

/**
 * bts_node_update_gauges() - set the gauges of this process
 * @node: the process
 */
void
bts_node_update_gauges (const bts_node_t *node)
{
  bt_metrics_set (BT_GAUGE_TERM, (gint64)bts_ledger_term (node->ledger));
  bt_metrics_set (BT_GAUGE_JOBS, g_hash_table_size (bts_ledger_jobs (node->ledger)));
  bt_metrics_set (BT_GAUGE_TABLES_VERSION, node->tables == NULL ? 0 : node->tables->version);
  bt_metrics_set (BT_GAUGE_JOURNAL_AGE_MS, (node_now (node) - node->election.caught_up_us) / 1000);
  bts_sched_update_gauges (node->sched);
}

/**
 * bts_node_submit() - a caller hands in a job
 * @node: the process
 * @exchange: names the caller's request
 * @job: the job, checked; the process takes it
 * @patience_us: how long the caller waits
 */
void
bts_node_submit (bts_node_t *node, guint64 exchange, Bts__Accepted *job, gint64 patience_us)
{
  /* The log works on one append at a time: a slow one takes few of them, and those of
     the owner carry the jobs of all entries. The owner may also reach the store where
     this process doesn't. */
  gboolean direct = bts_requests_is_journal_fresh (node->requests, node_now (node))
                    && !bts_forwarder_is_log_slow (node->forwarder, node_now (node))
                    && !is_crowded (node);
  const char *address = direct ? NULL : owner_address (node);
  if (address != NULL && bts_ledger_job (node->ledger, job->id) == NULL)
    bts_forwarder_forward (node->forwarder, address, exchange, job, patience_us, node_now (node));
  else
    bts_requests_submit (node->requests, exchange, job, FALSE, patience_us, node_now (node));
}

void
bts_node_cancel (bts_node_t *node, guint64 exchange, const char *id, gint64 patience_us)
{
  bts_requests_cancel (node->requests, exchange, id, patience_us, node_now (node));
}

bts_answer_t
bts_node_query (const bts_node_t *node, const char *id, bts_job_state_t *state)
{
  return bts_requests_query (node->requests, id, node_now (node), state);
}

guint
bts_node_count_pending (const bts_node_t *node, const char *route)
{
  return bts_ledger_count_pending (node->ledger, route);
}

guint
bts_node_retry_after_s (const bts_node_t *node)
{
  return bts_requests_retry_after_s (node->requests, node_now (node));
}

/**
 * bts_node_ready() - whether new callers are to be sent here
 * @node: the process
 */
gboolean
bts_node_ready (const bts_node_t *node)
{
  return node->tables != NULL && !node->election.leaving
         && bts_requests_is_journal_fresh (node->requests, node_now (node));
}

/**
 * bts_node_leave() - hand the workers on and take no new callers
 * @node: the process
 */
void
bts_node_leave (bts_node_t *node)
{
  node->election.leaving = TRUE;
}

/**
 * bts_node_idle() - whether no caller waits for an answer
 * @node: the process
 */
gboolean
bts_node_idle (const bts_node_t *node)
{
  return bts_requests_count_in_flight (node->requests) == 0
         && bts_forwarder_count_in_flight (node->forwarder) == 0;
}

gboolean
bts_node_leading (const bts_node_t *node)
{
  return bts_sched_is_leading (node->sched);
}

static void
claim (bts_node_t *node)
{
  Bts__Claim claim = BTS__CLAIM__INIT;
  claim.term = bts_ledger_term (node->ledger) + 1;
  claim.node = node->name;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_CLAIM;
  record.claim = &claim;
  bt_metrics_count (BT_COUNT_CLAIMS);
  bt_log (BT_LOG_NOTICE, "claim", "term=%" G_GUINT64_FORMAT, claim.term);
  append (node, TOKEN_NONE, &record);
}

static void
resign (bts_node_t *node)
{
  Bts__Resigned resigned = BTS__RESIGNED__INIT;
  resigned.term = bts_ledger_term (node->ledger);
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_RESIGNED;
  record.resigned = &resigned;
  bt_log (BT_LOG_NOTICE, "resign", "term=%" G_GUINT64_FORMAT, resigned.term);
  append (node, TOKEN_NONE, &record);
  node->resigned = TRUE;
}

static void
say_hello (bts_node_t *node, gint64 now_us)
{
  Bts__Hello hello = BTS__HELLO__INIT;
  hello.node = node->name;
  hello.address = node->address == NULL ? (char *)protobuf_c_empty_string : node->address;
  hello.cpu_millis = node->config.cpu_millis;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_HELLO;
  record.hello = &hello;
  append (node, TOKEN_NONE, &record);
  node->hello_us = now_us;
}

/* Whether a process on a much larger VM is there. */
static gboolean
is_weak (const bts_node_t *node, gint64 now_us)
{
  return bts_members_max_cpu_millis (node->members, now_us)
         >= (guint64)node->config.cpu_millis * WEAK_FACTOR;
}

/* Hands the workers on to a process on a larger VM. It ends its term at once, so that
   it grants no lease that the next owner doesn't reckon with. */
static void
yield_if_weak (bts_node_t *node, gint64 now_us)
{
  if (!bts_sched_is_leading (node->sched) || node->election.leaving
      || now_us - node->election.heard_us > YIELD_SIGN_US
      || !bts_sched_is_settled (node->sched, YIELD_US) || !is_weak (node, now_us))
    return;
  resign (node);
  node->resigned = FALSE;
  node->deposed = TRUE;
  bts_sched_end_term (node->sched);
}

/**
 * bts_node_tick() - do what is due
 * @node: the process
 */
void
bts_node_tick (bts_node_t *node)
{
  gint64 now_us = node_now (node);
  if (node->tick_us != 0 && now_us - node->tick_us > PAUSE_US)
    {
      bt_log (BT_LOG_WARNING, "paused", "for_ms=%" G_GINT64_FORMAT,
              (now_us - node->tick_us) / 1000);
      node->paused_us = now_us;
      bts_sched_set_journal_stale (node->sched, TRUE);
    }
  node->tick_us = now_us;
  if (node->owner_new && !node->replaying)
    bts_forwarder_append_unanswered (node->forwarder, now_us);
  node->owner_new = FALSE;
  if (node->deposed)
    {
      if (bts_sched_is_leading (node->sched))
        {
          bt_metrics_count (BT_COUNT_DEPOSED);
          bt_log (BT_LOG_WARNING, "deposed", "term=%" G_GUINT64_FORMAT,
                  bts_ledger_term (node->ledger));
        }
      bts_sched_end_term (node->sched);
    }
  node->deposed = node->deposed && bts_election_is_owner (&node->election, node->ledger);
  if (node->election.leaving && !node->resigned && bts_sched_is_leading (node->sched))
    resign (node);
  yield_if_weak (node, now_us);
  if (bts_election_is_claim_due (&node->election, node->ledger, is_weak (node, now_us), now_us))
    claim (node);
  gint64 hello_us = bts_forwarder_is_log_slow (node->forwarder, now_us) ? HELLO_SLOW_US : HELLO_US;
  if (!node->replaying && !node->election.leaving
      && bts_requests_is_journal_fresh (node->requests, now_us)
      && (node->hello_us == 0 || now_us - node->hello_us >= hello_us))
    say_hello (node, now_us);
  if (bts_sched_is_leading (node->sched))
    bts_spec_reader_tick (node->spec_reader, now_us);
  else
    bts_spec_reader_stop (node->spec_reader);
  bts_sched_tick (node->sched);
  bts_requests_tick (node->requests, now_us);
  if (now_us - node->forgot_us < FORGET_US)
    return;
  node->forgot_us = now_us;
  bts_ledger_remove_ended (node->ledger, now_us - (gint64)node->config.status_retention_ms * 1000);
}
