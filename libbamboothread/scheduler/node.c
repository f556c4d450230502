#include "libbamboothread/scheduler/node.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/advice_exchange.h"
#include "libbamboothread/scheduler/claim.h"
#include "libbamboothread/scheduler/handover.h"
#include "libbamboothread/scheduler/job_budget.h"
#include "libbamboothread/scheduler/journal_relay.h"
#include "libbamboothread/scheduler/usage.h"

/* Token of records that belong to no client request. Nothing waits for the result of their
   append: they take effect when they are read back. */
#define TOKEN_NONE 0
/* After an outage of the registry, entries may take this long to reappear in it, in
   microseconds; the platform specifies about two seconds. */
#define ENTRIES_GRACE_US (2500 * 1000)
/* The store was unavailable if the journal wasn't read to its end for this long, in
   microseconds: its long-polling reads return within 1 s. */
#define STORE_OUTAGE_US (2500 * 1000)
/* Interval between Hello records of a process, in microseconds; members.c considers a
   process gone that misses two of them. With a slow log, every other one is left out. */
#define HELLO_INTERVAL_US (4 * BT_USEC_PER_SEC)
#define HELLO_SLOW_LOG_INTERVAL_US (8 * BT_USEC_PER_SEC)
/* Bit that marks the exchange of a client request that another process has forwarded. */
#define FORWARDED_EXCHANGE (G_GUINT64_CONSTANT (1) << 63)
/* How long an owner that has skipped records starts nothing, in microseconds: a process that lacks
   fewer of them claims the next term in this time. */
#define INCOMPLETE_OWNER_US (3 * BT_USEC_PER_SEC)
/* An owner on a small VM hands over once it has led for this long, in microseconds, and knows
   what has become of all runs of earlier owners. */
#define HANDOVER_MIN_TERM_US (1500 * 1000)
/* An owner resigns only if a heartbeat of its own was read back this recently, in
   microseconds: otherwise the log may be unavailable, and no other process could claim the next
   term. */
#define RESIGN_HEARTBEAT_MAX_AGE_US (300 * 1000)
/* A resignation that hasn't been read back after this long is repeated, in microseconds: others
   claim after the election timeout otherwise, and can't know what the owner knew. */
#define RESIGN_RETRY_US (300 * 1000)

/**
 * struct bts_node_t - one process
 * @owner_changed: the owner has changed since the last tick
 * @was_log_slow: the log was slow at the last tick
 * @fenced: a worker knows an owner of a later term, or the process has resigned; it steps
 *   down at the next tick and leads no more before the journal shows another owner
 * @resignation: the record with which the process has resigned, until it is read back; or NULL
 * @resigned_us: when that was last appended
 * @last_tick_us: when the last tick was; 0 before the first
 * @resumed_us: when the process last resumed after a stall; 0 once it has read the journal to
 *   its end after that
 * @incomplete_since_us: since when this process leads without knowing all jobs; 0 if it doesn't
 * @replaying: the journal has not been read to its end yet
 * @last_hello_us: when the process last appended a Hello record; 0 for never
 * @entries_unreadable: the last read of the registry failed
 * @store_recovered_us: when the journal or the registry last became readable again
 * @last_cleanup_us: when ended jobs were last removed
 */
struct bts_node_t
{
  bts_node_config_t config;
  char *name;
  char *address;
  char *region;
  const bt_clock_t *clock;
  const bts_node_ops_t *ops;
  void *context;
  bts_ledger_t *ledger;
  bts_fleet_t fleet;
  bts_members_t *members;
  bts_sched_t *sched;
  bts_requests_t *requests;
  bts_advice_exchange_t *advice;
  bts_journal_relay_t *relay;
  bts_spec_reader_t *spec_reader;
  bts_election_t election;
  bts_tables_t *tables;
  bts_freshness_t freshness;
  bts_forwarder_t *forwarder;
  bts_intake_t intake;
  bts_job_budget_t *budget;
  gboolean owner_changed;
  gboolean was_log_slow;
  gboolean fenced;
  GBytes *resignation;
  gint64 resigned_us;
  gint64 last_tick_us;
  gint64 resumed_us;
  gint64 incomplete_since_us;
  gboolean replaying;
  gint64 last_hello_us;
  gboolean entries_unreadable;
  gint64 store_recovered_us;
  gint64 last_cleanup_us;
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

/* Callbacks of the ledger. */

static void
on_job_accepted (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_job_budget_on_job (node->budget, job);
  bts_requests_on_job (node->requests, job);
  if (bts_sched_is_leading (node->sched))
    bts_spec_reader_on_job (node->spec_reader, job);
  bts_sched_on_job_accepted (node->sched, job);
}

static void
on_job_cancelled (void *context, bts_job_t *job)
{
  const bts_node_t *node = context;
  if (bts_sched_is_leading (node->sched))
    bt_log (BT_LOG_INFO, "cancelled", "job=%s", bts_job_id (job));
}

static void
on_run_ended (void *context, bts_task_t *task, guint run, bts_run_outcome_t outcome)
{
  bts_node_t *node = context;
  bts_sched_on_run_ended (node->sched, task, run, outcome);
}

static void
on_job_ended (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_requests_on_job (node->requests, job);
  bts_sched_on_job_ended (node->sched, job);
}

static void
on_owner_changed (void *context)
{
  bts_node_t *node = context;
  gint64 now_us = node_now (node);
  const char *owner = bts_ledger_owner (node->ledger);
  bt_log (BT_LOG_NOTICE, "owner", "term=%" G_GUINT64_FORMAT " owner=%s",
          bts_ledger_term (node->ledger), owner == NULL ? "none" : owner);
  bts_election_on_owner (&node->election, node->ledger, now_us);
  bts_job_budget_set_owner_bytes (node->budget, 0);
  bts_sched_end_term (node->sched);
  node->owner_changed = TRUE;
}

static void
on_heartbeat (void *context, const Bts__Beat *heartbeat)
{
  bts_node_t *node = context;
  bts_job_budget_set_owner_bytes (node->budget, (gsize)heartbeat->job_kb * 1000);
  bts_forwarder_set_owner_append_ms (node->forwarder, node->replaying ? 0 : heartbeat->append_ms);
  bts_election_on_heartbeat (&node->election, heartbeat->earlier_renewals_ms, node_now (node));
  bts_sched_on_heartbeat (node->sched, heartbeat->number);
}

static void
on_node_seen (void *context, const char *name)
{
  bts_node_t *node = context;
  /* Replayed records may be of processes that are long gone. */
  if (!node->replaying)
    bts_members_mark_seen (node->members, name, node_now (node));
}

static void
on_node_hello (void *context, const Bts__Hello *hello)
{
  bts_node_t *node = context;
  bts_members_update (node->members, hello, node->replaying ? 0 : node_now (node));
  bts_election_on_hello (&node->election, hello->node, node_now (node));
}

static void
on_worker_held (void *context, const Bts__Held *held)
{
  bts_node_t *node = context;
  bts_fleet_add_held (&node->fleet, held, node_now (node));
  bts_fleet_find_worker (&node->fleet, held->worker)->held = TRUE;
  bts_sched_mark_dirty (node->sched);
}

static void
on_worker_released (void *context, const char *id)
{
  bts_node_t *node = context;
  bts_worker_t *worker = bts_fleet_find_worker (&node->fleet, id);
  if (worker == NULL)
    return;
  worker->held = FALSE;
  if (!worker->registered && !bts_sched_is_leading (node->sched))
    bts_fleet_remove (&node->fleet, id);
}

static void
on_worker_silent (void *context, const Bts__Silent *silent, const bts_task_t *task,
                  const Bts__Run *run)
{
  const bts_node_t *node = context;
  bts_worker_t *worker = bts_fleet_find_worker (&node->fleet, silent->worker);
  /* The owner knows more than its records, and a record that is replayed may be of any age. */
  if (worker == NULL || node->replaying || bts_sched_is_leading (node->sched))
    return;
  g_autofree char *name = bts_task_name (task);
  bts_lost_run_t lost
      = { name, run->run, run->confirmed, silent->started_ms, node_now (node), FALSE };
  bts_worker_add_lost_run (worker, &lost);
}

static void
on_worker_remnant (void *context, guint64 term, const Bts__Remnant *remnant)
{
  bts_node_t *node = context;
  bts_worker_t *worker = bts_fleet_find_worker (&node->fleet, remnant->worker);
  if (worker != NULL)
    bts_worker_set_remnant (worker, remnant, term, node_now (node));
}

static void
on_job_removed (void *context, bts_job_t *job)
{
  bts_node_t *node = context;
  bts_sched_on_job_removed (node->sched, job);
}

static const bts_ledger_ops_t ledger_ops
    = { on_job_accepted,  on_job_cancelled,  on_run_ended,  on_job_ended,   on_owner_changed,
        on_heartbeat,     on_node_seen,      on_node_hello, on_worker_held, on_worker_released,
        on_worker_silent, on_worker_remnant, on_job_removed };

/* Callbacks through which the scheduler sends orders, appends records and requests advice. */

static void
sched_send_hold (void *context, const bts_worker_t *worker, const bts_hold_order_t *order)
{
  bts_node_t *node = context;
  node->ops->hold (node->context, worker, order);
}

static void
sched_send_start (void *context, const bts_run_t *run, const bts_start_order_t *order)
{
  bts_node_t *node = context;
  node->ops->start (node->context, run, order);
}

static void
sched_send_stop (void *context, const bts_run_t *run, guint64 fence)
{
  bts_node_t *node = context;
  node->ops->stop (node->context, run, fence);
}

static void
sched_append (void *context, const Bts__Record *record)
{
  append (context, TOKEN_NONE, record);
}

static void
sched_append_snapshot (void *context, const Bts__Record *record)
{
  bts_node_t *node = context;
  g_autoptr (GBytes) bytes = bts_message_pack (&record->base);
  node->ops->append_snapshot (node->context, bytes);
}

static gsize
sched_snapshot_backlog (void *context)
{
  const bts_node_t *node = context;
  return node->ops->snapshot_backlog (node->context);
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
send_reply (void *context, guint64 exchange, const Bts__Reply *reply)
{
  bts_node_t *node = context;
  g_autoptr (GBytes) bytes = reply == NULL ? NULL : bts_message_pack (&reply->base);
  node->ops->reply (node->context, exchange, bytes);
}

static void
sched_request_advice (void *context, const char *name, const char *address, const Bts__Ask *ask)
{
  bts_node_t *node = context;
  bts_advice_exchange_request (node->advice, name, address, ask);
}

static void
sched_fenced (void *context)
{
  bts_node_t *node = context;
  node->fenced = TRUE;
}

static gint64
sched_now_unix_ms (void *context)
{
  bts_node_t *node = context;
  return node->ops->now_unix_ms (node->context);
}

static const bts_sched_ops_t sched_ops
    = { sched_send_hold,      sched_send_start,      sched_send_stop,
        sched_append,         sched_append_snapshot, sched_snapshot_backlog,
        sched_request_advice, sched_fenced,          sched_now_unix_ms };

/* Callbacks of the client requests, the forwarder, the spec reader and the requests for advice. */

static void
requests_append (void *context, guint64 token, const Bts__Record *record)
{
  append (context, token, record);
}

static void
answer_caller (bts_node_t *node, guint64 exchange, bts_answer_t answer)
{
  bts_job_budget_on_answer (node->budget, exchange, answer == BTS_ANSWER_OK);
  node->ops->answer (node->context, exchange, answer);
}

static void
requests_answer (void *context, guint64 exchange, bts_answer_t answer)
{
  bts_node_t *node = context;
  if ((exchange & FORWARDED_EXCHANGE) == 0)
    {
      answer_caller (node, exchange, answer);
      return;
    }
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_ANSWER;
  reply.answer = answer;
  send_reply (node, exchange & ~FORWARDED_EXCHANGE, &reply);
}

static gboolean
is_log_slow (const bts_node_t *node, gint64 now_us)
{
  return bts_intake_is_log_slow (&node->intake, now_us);
}

static void
set_log_slow (bts_node_t *node, gboolean is_slow)
{
  if (is_slow != node->was_log_slow)
    bt_log (BT_LOG_NOTICE, is_slow ? "log-slow" : "log-fast", "append_ms=%" G_GINT64_FORMAT,
            bts_forwarder_last_append_us (node->forwarder) / 1000);
  node->was_log_slow = is_slow;
  bt_metrics_set (BT_GAUGE_LOG_SLOW, is_slow);
  bts_requests_set_log_slow (node->requests, is_slow);
}

static gboolean
requests_forward (void *context, guint64 exchange, Bts__Accepted *job, gint64 timeout_us)
{
  bts_node_t *node = context;
  const char *address
      = (exchange & FORWARDED_EXCHANGE) != 0 ? NULL : bts_intake_owner_address (&node->intake);
  if (address == NULL)
    return FALSE;
  bts_forwarder_forward (node->forwarder, address, exchange, job, timeout_us,
                         is_log_slow (node, node_now (node)), node_now (node));
  return TRUE;
}

static void
requests_append_spec (void *context, guint64 token, const Bts__Spec *spec)
{
  bts_node_t *node = context;
  g_autoptr (GBytes) bytes = bts_message_pack (&spec->base);
  node->ops->append_spec (node->context, token, bytes);
}

static const bts_requests_ops_t requests_ops
    = { requests_append, requests_append_spec, requests_forward, requests_answer };

static void
forwarder_answer (void *context, guint64 exchange, bts_answer_t answer)
{
  answer_caller (context, exchange, answer);
}

static void
forwarder_append (void *context, guint64 exchange, Bts__Accepted *job, gboolean maybe_stored,
                  gint64 timeout_us)
{
  bts_node_t *node = context;
  bts_requests_submit (node->requests, exchange, job, maybe_stored, timeout_us, node_now (node));
}

static const bts_forwarder_ops_t forwarder_ops
    = { send_message, forwarder_answer, forwarder_append };

static void
spec_reader_follow (void *context, gint64 from)
{
  bts_node_t *node = context;
  node->ops->read_specs (node->context, from);
}

static const bts_spec_reader_ops_t spec_reader_ops = { spec_reader_follow };

static void
advice_call (void *context, const bts_advice_request_t *request)
{
  bts_node_t *node = context;
  node->ops->request_advice (node->context, request);
}

static void
advice_answered (void *context, const Bts__Ask *ask, const Bts__Advice *advice)
{
  const bts_node_t *node = context;
  bts_sched_on_advice (node->sched, ask, advice);
}

static void
advice_transferred (void *context, const Bts__Advice *advice)
{
  const bts_node_t *node = context;
  bts_sched_on_advice_transferred (node->sched, advice);
}

static const bts_advice_exchange_ops_t advice_ops
    = { advice_call, send_message, send_reply, advice_answered, advice_transferred };

static void
relay_done (void *context, const bts_relay_read_t *read)
{
  bts_node_t *node = context;
  node->ops->relay_read (node->context, read);
}

static const bts_journal_relay_ops_t relay_ops = { send_message, send_reply, relay_done };

/**
 * bts_node_new() - create a process that hasn't read the journal yet
 * @config: its configuration; copied
 * @clock: its clock
 * @ops: callbacks for outgoing messages
 * @context: passed to @ops
 */
bts_node_t *
bts_node_new (const bts_node_config_t *config, const bt_clock_t *clock, const bts_node_ops_t *ops,
              void *context)
{
  bts_node_t *node = g_new0 (bts_node_t, 1);
  node->config = *config;
  node->config.cpu_millis
      = bts_election_capacity_millis (config->cpu_millis, config->bandwidth_kbps);
  node->name = g_strdup (config->name);
  node->address = g_strdup (config->address);
  node->region = g_strdup (config->region == NULL ? "" : config->region);
  node->clock = clock;
  node->ops = ops;
  node->context = context;
  node->ledger = bts_ledger_new (&ledger_ops, node);
  bts_fleet_init (&node->fleet);
  node->members = bts_members_new ();
  node->forwarder = bts_forwarder_new (&forwarder_ops, node);
  node->sched = bts_sched_new (&config->sched, clock, node->ledger, &node->fleet, node->members,
                               &sched_ops, node);
  node->requests = bts_requests_new (node->ledger, &requests_ops, node);
  node->spec_reader = bts_spec_reader_new (node->ledger, &spec_reader_ops, node);
  const bts_advice_exchange_config_t advice
      = { node->name, node->region, clock, node->ledger, node->members };
  node->advice = bts_advice_exchange_new (&advice, &advice_ops, node);
  const bts_journal_relay_config_t relay
      = { node->name, node->region, clock, node->members, node->ledger };
  node->relay = bts_journal_relay_new (&relay, &relay_ops, node);
  node->budget = bts_job_budget_new (config->job_memory_bytes);
  bts_election_init (&node->election, config->name);
  bts_freshness_init (&node->freshness, config->tables_max_age_ms);
  node->intake = (bts_intake_t){ node->ledger,    node->members,   node->requests,
                                 node->forwarder, &node->election, config->max_direct_appenders };
  node->replaying = TRUE;
  bts_ledger_set_replaying (node->ledger, TRUE);
  return node;
}

void
bts_node_free (bts_node_t *node)
{
  bts_sched_free (node->sched);
  bts_requests_free (node->requests);
  bts_advice_exchange_free (node->advice);
  bts_journal_relay_free (node->relay);
  bts_spec_reader_free (node->spec_reader);
  bts_ledger_free (node->ledger);
  bts_job_budget_free (node->budget);
  bts_fleet_clear (&node->fleet);
  bts_election_clear (&node->election);
  bts_tables_free (node->tables);
  bts_members_free (node->members);
  bts_forwarder_free (node->forwarder);
  g_clear_pointer (&node->resignation, g_bytes_unref);
  g_free (node->name);
  g_free (node->address);
  g_free (node->region);
  g_free (node);
}

bts_journal_relay_t *
bts_node_relay (const bts_node_t *node)
{
  return node->relay;
}

bts_sched_t *
bts_node_sched (const bts_node_t *node)
{
  return node->sched;
}

/**
 * bts_node_tables() - the tables with which requests of callers are handled
 * @node: the process
 *
 * Return: the newest version; NULL until the tables were read to their end in this lifetime.
 */
const bts_tables_t *
bts_node_tables (const bts_node_t *node)
{
  return bts_freshness_is_known (&node->freshness) ? node->tables : NULL;
}

bts_freshness_t *
bts_node_freshness (bts_node_t *node)
{
  return &node->freshness;
}

bts_access_t
bts_node_check_access (const bts_node_t *node, const bts_route_t *route, const char *key,
                       const bts_tenant_t **tenant)
{
  return bts_access_check (&node->freshness, node->tables, route, key, node_now (node), tenant);
}

/**
 * bts_node_on_record() - fold the next record of the journal
 * @node: the process
 * @offset: offset of the record
 * @data: the record, @len bytes
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
begin_term_if_owner (bts_node_t *node)
{
  if (!bts_election_is_owner (&node->election, node->ledger) || bts_sched_is_leading (node->sched)
      || node->fenced)
    return;
  gint64 lease_us = bts_lease_max_us (bts_sched_lease_ms (node->sched));
  bts_sched_begin_term (node->sched, bts_ledger_term (node->ledger),
                        bts_election_old_leases_expiry_us (
                            &node->election, lease_us + BTS_LEASE_MARGIN_US, node_now (node)));
  bts_spec_reader_start (node->spec_reader, node_now (node));
}

/**
 * bts_node_on_spec() - handle the next record of the log of specs
 * @node: the process
 * @offset: offset of the record
 * @data: the record, @len bytes
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
 * bts_node_on_spec_append() - an append to the log of specs completed
 * @node: the process
 * @token: token of the append
 * @result: its result
 * @offset: offset of the record if it was stored
 */
void
bts_node_on_spec_append (bts_node_t *node, guint64 token, bts_append_result_t result, gint64 offset)
{
  bts_requests_on_spec_append (node->requests, token, result, offset, node_now (node));
}

/**
 * bts_node_on_readable() - the journal could be read again after reads of it have failed
 * @node: the process
 */
void
bts_node_on_readable (bts_node_t *node)
{
  bts_election_on_readable (&node->election, node_now (node));
  bts_sched_on_readable (node->sched);
}

/* An owner that has skipped records is taken to know all once those that lack fewer could have
   claimed the next term. */
static void
check_owner_complete (bts_node_t *node, gint64 now_us)
{
  gboolean complete = bts_ledger_is_complete (node->ledger);
  if (complete || !bts_sched_is_leading (node->sched))
    node->incomplete_since_us = 0;
  else if (node->incomplete_since_us == 0)
    node->incomplete_since_us = now_us;
  else if (now_us - node->incomplete_since_us >= INCOMPLETE_OWNER_US)
    bts_ledger_set_complete (node->ledger);
}

/**
 * bts_node_on_caught_up() - the journal was read to its end
 * @node: the process
 * @sent_us: when that read was sent
 * @as_of_us: when its reply had arrived: now, or before if another process has relayed it
 * @latency_us: time that it took, see bts_election_on_caught_up()
 *
 * A claim of this process takes effect only here: before, the records not read yet may contain
 * a later claim.
 */
void
bts_node_on_caught_up (bts_node_t *node, gint64 sent_us, gint64 as_of_us, gint64 latency_us)
{
  gint64 now_us = node_now (node);
  if (now_us - node->election.caught_up_us > STORE_OUTAGE_US)
    node->store_recovered_us = now_us;
  bts_election_on_caught_up (&node->election, latency_us, as_of_us);
  node->replaying = FALSE;
  bts_journal_relay_on_replayed (node->relay);
  if (sent_us > node->resumed_us)
    node->resumed_us = 0;
  bts_sched_set_journal_stale (node->sched, node->resumed_us != 0);
  bts_ledger_set_replaying (node->ledger, FALSE);
  bts_requests_on_caught_up (node->requests, sent_us, as_of_us, now_us);
  check_owner_complete (node, now_us);
  begin_term_if_owner (node);
}

/**
 * bts_node_on_skipped() - records were deleted before they could be read
 * @node: the process
 * @from: offset of the first deleted record
 * @first: offset of the first record that is kept
 */
void
bts_node_on_skipped (bts_node_t *node, gint64 from, gint64 first)
{
  /* A process that starts up begins with the oldest record that the log still keeps. */
  bt_log (node->replaying ? BT_LOG_NOTICE : BT_LOG_ERROR, "journal-skipped",
          "from=%" G_GINT64_FORMAT " first=%" G_GINT64_FORMAT, from, first);
  bts_ledger_skip (node->ledger, first);
}

/**
 * bts_node_on_append() - an append to the journal completed
 * @node: the process
 * @token: token of the append
 * @result: its result
 * @took_us: time from the call to its answer
 */
void
bts_node_on_append (bts_node_t *node, guint64 token, bts_append_result_t result, gint64 took_us)
{
  bt_metrics_count (result == BTS_APPEND_STORED    ? BT_COUNT_APPEND_STORED
                    : result == BTS_APPEND_REFUSED ? BT_COUNT_APPEND_REFUSED
                                                   : BT_COUNT_APPEND_UNKNOWN);
  if (result == BTS_APPEND_STORED)
    bt_metrics_observe (BT_HIST_APPEND_MS, took_us / 1000);
  if (result == BTS_APPEND_STORED)
    bts_election_on_append (&node->election, took_us);
  bts_forwarder_on_append (node->forwarder, result, took_us, node_now (node));
  bts_sched_set_append_ms (node->sched,
                           (guint)(bts_forwarder_last_append_us (node->forwarder) / 1000));
  if (token != TOKEN_NONE)
    bts_requests_on_append (node->requests, token, result, node_now (node));
}

/**
 * bts_node_on_advice() - the advice service answered a request, or didn't
 * @node: the process
 * @request: the request
 * @advice: the answer; NULL if there is none
 */
void
bts_node_on_advice (bts_node_t *node, const bts_advice_request_t *request,
                    const Bts__Advice *advice)
{
  bts_advice_exchange_on_call_done (node->advice, request, advice);
}

static gboolean
handle_forward (bts_node_t *node, guint64 exchange, Bts__Forward *forward)
{
  g_autoptr (GError) error = NULL;
  if (forward->job == NULL || !bts_accepted_check (forward->job, &error))
    return FALSE;
  /* Only the owner takes forwarded jobs. Without a reply, the sender appends the job itself. */
  if (!bts_sched_is_leading (node->sched))
    {
      node->ops->reply (node->context, exchange, NULL);
      return TRUE;
    }
  Bts__Accepted *job = g_steal_pointer (&forward->job);
  bts_requests_submit (node->requests, exchange | FORWARDED_EXCHANGE, job, FALSE,
                       (gint64)forward->patience_ms * 1000, node_now (node));
  return TRUE;
}

/**
 * bts_node_on_message() - handle a message of another process
 * @node: the process
 * @exchange: identifies the message for its reply
 * @data: the message, @len bytes
 * @len: number of bytes
 *
 * Return: FALSE if the message is invalid.
 */
gboolean
bts_node_on_message (bts_node_t *node, guint64 exchange, const guint8 *data, gsize len)
{
  Bts__Message *message = bts__message__unpack (NULL, len, data);
  if (message == NULL)
    return FALSE;
  gboolean usable = message->kind_case != BTS__MESSAGE__KIND__NOT_SET;
  if (message->kind_case == BTS__MESSAGE__KIND_ASK)
    usable = bts_advice_exchange_on_request (node->advice, exchange, message->ask);
  else if (message->kind_case == BTS__MESSAGE__KIND_FORWARD)
    usable = handle_forward (node, exchange, message->forward);
  else if (message->kind_case == BTS__MESSAGE__KIND_READ)
    bts_journal_relay_on_request (node->relay, exchange, message->read);
  else if (message->kind_case == BTS__MESSAGE__KIND_TRANSFER)
    bts_advice_exchange_on_transfer (node->advice, exchange, message->transfer);
  bts__message__free_unpacked (message, NULL);
  return usable;
}

/**
 * bts_node_on_reply() - another process replied to a message, or didn't
 * @node: the process
 * @sent: the message that was sent
 * @was_delivered: whether the other process may have received it
 * @data: the reply, @len bytes; NULL if there is none
 * @len: number of bytes
 */
void
bts_node_on_reply (bts_node_t *node, GBytes *sent, gboolean was_delivered, const guint8 *data,
                   gsize len)
{
  gsize sent_len;
  const guint8 *sent_data = g_bytes_get_data (sent, &sent_len);
  Bts__Message *message = bts__message__unpack (NULL, sent_len, sent_data);
  Bts__Reply *reply = data == NULL ? NULL : bts__reply__unpack (NULL, len, data);
  if (message->kind_case == BTS__MESSAGE__KIND_ASK)
    bts_advice_exchange_on_reply (node->advice, message->ask, reply);
  else if (message->kind_case == BTS__MESSAGE__KIND_READ)
    bts_journal_relay_on_reply (node->relay, message->read, reply);
  else if (message->kind_case == BTS__MESSAGE__KIND_TRANSFER)
    bts_advice_exchange_on_transfer_reply (node->advice, reply);
  else
    bts_forwarder_on_reply (node->forwarder, message->forward, was_delivered, reply,
                            node_now (node));
  bts__message__free_unpacked (message, NULL);
  if (reply != NULL)
    bts__reply__free_unpacked (reply, NULL);
}

/**
 * bts_node_on_tables() - a version of the tables was read
 * @node: the process
 * @tables: the version; ownership is taken. It is ignored unless newer than the current one.
 */
void
bts_node_on_tables (bts_node_t *node, bts_tables_t *tables)
{
  if (node->tables != NULL && tables->version <= node->tables->version)
    {
      bts_tables_free (tables);
      return;
    }
  bt_log (BT_LOG_NOTICE, "tables", "version=%" G_GINT64_FORMAT " routes=%u", tables->version,
          tables->routes->len);
  bts_tables_free (node->tables);
  node->tables = tables;
  bts_sched_set_tenants (node->sched, tables->tenants, tables->version);
}

/**
 * bts_node_on_entry() - an entry of the registry was read
 * @node: the process
 * @entry: the worker's entry; ownership is taken
 */
void
bts_node_on_entry (bts_node_t *node, bts_worker_entry_t *entry)
{
  g_autofree char *id = g_strdup (entry->id);
  const bts_worker_t *known = bts_fleet_find_worker (&node->fleet, id);
  gboolean was_draining = known != NULL && known->entry->draining;
  bts_entry_change_t change = bts_fleet_update_entry (&node->fleet, entry);
  if (change == BTS_ENTRY_RESTARTED || (entry->draining && !was_draining))
    bt_log (BT_LOG_INFO, "entry",
            "worker=%s draining=%d remaining_ms=%" G_GINT64_FORMAT " reborn=%d", id,
            entry->draining, entry->remaining_ms, change == BTS_ENTRY_RESTARTED);
  bts_sched_on_worker_entry (node->sched, id, change);
}

/**
 * bts_node_is_registered() - whether a worker is known and in the registry
 * @node: the process
 * @worker: id of the worker
 */
gboolean
bts_node_is_registered (const bts_node_t *node, const char *worker)
{
  const bts_worker_t *known = bts_fleet_find_worker (&node->fleet, worker);
  return known != NULL && known->registered;
}

/**
 * bts_node_on_entries() - a read of all entries of the registry completed
 * @node: the process
 * @ids: the workers that have an entry; NULL if the read failed
 */
void
bts_node_on_entries (bts_node_t *node, GHashTable *ids)
{
  gint64 now_us = node_now (node);
  if (node->entries_unreadable && ids != NULL)
    node->store_recovered_us = now_us;
  node->entries_unreadable = ids == NULL;
  bts_sched_on_entries (node->sched, ids != NULL);
  if (ids == NULL || now_us - node->store_recovered_us < ENTRIES_GRACE_US)
    return;
  bts_fleet_unregister_missing (&node->fleet, ids, now_us);
}

/**
 * bts_node_update_gauges() - set the metrics gauges of this process
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

/* Rejects a job that can never start since its tenant's cap is too small. Returns whether it is. */
static gboolean
reject_unfit (bts_node_t *node, guint64 exchange, Bts__Accepted *job)
{
  if (bts_ledger_job (node->ledger, job->id) != NULL || !bts_usage_is_unfit (job))
    return FALSE;
  bts__accepted__free_unpacked (job, NULL);
  node->ops->answer (node->context, exchange, BTS_ANSWER_UNAVAILABLE);
  return TRUE;
}

/* Rejects a job for which there is no memory. Returns whether there isn't. */
static gboolean
reject_large (bts_node_t *node, guint64 exchange, Bts__Accepted *job)
{
  gsize least = bts_members_min_job_memory (node->members, node_now (node));
  if (bts_ledger_job (node->ledger, job->id) != NULL
      || bts_job_budget_admit (node->budget, exchange, job, least,
                               bts_members_count (node->members)))
    return FALSE;
  bts__accepted__free_unpacked (job, NULL);
  node->ops->answer (node->context, exchange, BTS_ANSWER_NO_MEMORY);
  return TRUE;
}

/**
 * bts_node_submit() - submit a job
 * @node: the process
 * @exchange: identifies the caller's request
 * @job: the validated job; ownership is taken
 * @timeout_us: how long the caller waits
 */
void
bts_node_submit (bts_node_t *node, guint64 exchange, Bts__Accepted *job, gint64 timeout_us)
{
  if (reject_unfit (node, exchange, job) || reject_large (node, exchange, job))
    return;
  if (job->policy->tenant[0] != '\0')
    job->submitted_ms = node->ops->now_unix_ms (node->context);
  bts_ledger_stamp (node->ledger, job);
  const char *address = bts_intake_choose (&node->intake, job->id, node_now (node));
  if (address != NULL)
    bts_forwarder_forward (node->forwarder, address, exchange, job, timeout_us,
                           is_log_slow (node, node_now (node)), node_now (node));
  else
    bts_requests_submit (node->requests, exchange, job, FALSE, timeout_us, node_now (node));
}

/**
 * bts_node_explain() - explain where a job would go, without submitting it
 * @node: the process
 * @request: the caller's request
 *
 * Return: a JSON object, see bts_explain().
 */
char *
bts_node_explain (const bts_node_t *node, const bts_explain_request_t *request)
{
  const bts_explain_view_t view
      = { bts_node_tables (node), &node->freshness,
          &node->intake,          node->sched,
          node_now (node),        node->ops->now_unix_ms (node->context) };
  return bts_explain (&view, request);
}

void
bts_node_cancel (bts_node_t *node, guint64 exchange, const char *id, gint64 timeout_us)
{
  bts_requests_cancel (node->requests, exchange, id, timeout_us, node_now (node));
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
 * bts_node_is_ready() - whether new callers should be sent to this process
 * @node: the process
 */
gboolean
bts_node_is_ready (const bts_node_t *node)
{
  return bts_freshness_is_usable (&node->freshness, node->tables, node_now (node))
         && !node->election.leaving
         && bts_requests_knows_all_jobs (node->requests, node_now (node));
}

/**
 * bts_node_leave() - prepare to shut down
 * @node: the process
 *
 * From now on, the process reports that it isn't ready and claims no term; if it is the owner, it
 * resigns as soon as the log takes its heartbeats.
 */
void
bts_node_leave (bts_node_t *node)
{
  node->election.leaving = TRUE;
  bts_journal_relay_leave (node->relay);
}

/**
 * bts_node_is_idle() - whether no caller waits for an answer
 * @node: the process
 */
gboolean
bts_node_is_idle (const bts_node_t *node)
{
  return bts_requests_count_in_flight (node->requests) == 0
         && bts_forwarder_count_in_flight (node->forwarder) == 0;
}

gboolean
bts_node_is_leading (const bts_node_t *node)
{
  return bts_sched_is_leading (node->sched);
}

/**
 * bts_node_needs_entries() - whether this process has to read the registry of workers
 * @node: the process
 *
 * Only the owner uses the entries. Those that are ready to replace it read them too, so that they
 * know the workers if the store fails right after a takeover. That all processes read all entries
 * would cost the store and the links the product of both numbers.
 */
gboolean
bts_node_needs_entries (const bts_node_t *node)
{
  return bts_node_is_leading (node)
         || bts_members_is_standby (node->members, node->name, node_now (node));
}

static void
append_claim (bts_node_t *node)
{
  Bts__Claim claim = BTS__CLAIM__INIT;
  claim.term = bts_election_next_term (node->ledger);
  claim.node = node->name;
  claim.missing = bts_ledger_missing (node->ledger);
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_CLAIM;
  record.claim = &claim;
  bt_metrics_count (BT_COUNT_CLAIMS);
  bt_log (BT_LOG_NOTICE, "claim", "term=%" G_GUINT64_FORMAT, claim.term);
  append (node, TOKEN_NONE, &record);
}

static void
append_resignation (bts_node_t *node)
{
  node->ops->append (node->context, TOKEN_NONE, node->resignation);
  node->resigned_us = node_now (node);
}

/* Ends the term at once, so that no lease is granted that the next owner doesn't account for, and
   says so in the journal. */
static void
resign (bts_node_t *node)
{
  Bts__Resigned *resigned = bts_handover_new (node->sched);
  bts_sched_end_term (node->sched);
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_RESIGNED;
  record.resigned = resigned;
  bt_log (BT_LOG_NOTICE, "resign", "term=%" G_GUINT64_FORMAT " remnants=%zu", resigned->term,
          resigned->n_remnants);
  g_clear_pointer (&node->resignation, g_bytes_unref);
  node->resignation = bts_message_pack (&record.base);
  bts__resigned__free_unpacked (resigned, NULL);
  node->fenced = TRUE;
  append_resignation (node);
}

/* Appends the resignation once more if it may have been lost. */
static void
repeat_resignation (bts_node_t *node, gint64 now_us)
{
  if (node->resignation == NULL)
    return;
  if (!bts_election_is_owner (&node->election, node->ledger))
    g_clear_pointer (&node->resignation, g_bytes_unref);
  else if (now_us - node->resigned_us >= RESIGN_RETRY_US)
    append_resignation (node);
}

static void
append_hello (bts_node_t *node, gint64 now_us)
{
  Bts__Hello hello = BTS__HELLO__INIT;
  hello.node = node->name;
  hello.address = node->address == NULL ? (char *)protobuf_c_empty_string : node->address;
  hello.region = node->region;
  /* No owner hands over to a process that has skipped records. */
  hello.job_memory_kb = (guint)(node->config.job_memory_bytes / 1000);
  hello.cpu_millis = bts_ledger_is_complete (node->ledger) ? node->config.cpu_millis : 0;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_HELLO;
  record.hello = &hello;
  append (node, TOKEN_NONE, &record);
  node->last_hello_us = now_us;
}

static gint64
claim_yield_us (const bts_node_t *node, gint64 now_us)
{
  const bts_claimant_t claimant = { node->name, node->config.cpu_millis };
  return bts_claim_yield_us (&claimant, node->ledger, node->members, is_log_slow (node, now_us),
                             now_us);
}

/* Whether the owner should leave the workers to another process: it shuts down, or a live process
   is on a much larger VM. */
static gboolean
has_to_resign (const bts_node_t *node, gint64 now_us)
{
  return bts_sched_is_leading (node->sched)
         && now_us - node->election.heard_us <= RESIGN_HEARTBEAT_MAX_AGE_US
         && (node->election.leaving
             || (bts_sched_is_settled (node->sched, HANDOVER_MIN_TERM_US)
                 && bts_claim_has_larger_peer (node->members, node->config.cpu_millis, now_us)));
}

static void
count_job_memory (bts_node_t *node, gint64 now_us)
{
  bts_job_budget_tick (node->budget, bts_ledger_jobs (node->ledger),
                       bts_sched_count_runs (node->sched), now_us);
  bts_sched_set_job_memory (node->sched, bts_job_budget_bytes (node->budget),
                            bts_job_budget_has_spare (node->budget));
}

/**
 * bts_node_tick() - do everything that is due; to be called every 10 to 50 ms
 * @node: the process
 */
void
bts_node_tick (bts_node_t *node)
{
  gint64 now_us = node_now (node);
  if (node->last_tick_us != 0 && now_us - node->last_tick_us > BTS_STALL_US)
    {
      bt_log (BT_LOG_WARNING, "paused", "for_ms=%" G_GINT64_FORMAT,
              (now_us - node->last_tick_us) / 1000);
      node->resumed_us = now_us;
      bts_sched_set_journal_stale (node->sched, TRUE);
    }
  node->last_tick_us = now_us;
  if (node->owner_changed && !node->replaying)
    bts_forwarder_append_unanswered (node->forwarder, now_us);
  node->owner_changed = FALSE;
  if (node->fenced)
    {
      if (bts_sched_is_leading (node->sched))
        {
          bt_metrics_count (BT_COUNT_DEPOSED);
          bt_log (BT_LOG_WARNING, "deposed", "term=%" G_GUINT64_FORMAT,
                  bts_ledger_term (node->ledger));
        }
      bts_sched_end_term (node->sched);
    }
  node->fenced = node->fenced && bts_election_is_owner (&node->election, node->ledger);
  repeat_resignation (node, now_us);
  if (has_to_resign (node, now_us))
    resign (node);
  if (bts_election_is_claim_due (&node->election, node->ledger, claim_yield_us (node, now_us),
                                 now_us))
    append_claim (node);
  gint64 interval_us = is_log_slow (node, now_us) ? HELLO_SLOW_LOG_INTERVAL_US : HELLO_INTERVAL_US;
  if (!node->replaying && !node->election.leaving
      && bts_requests_is_journal_fresh (node->requests, now_us)
      && (node->last_hello_us == 0 || now_us - node->last_hello_us >= interval_us))
    append_hello (node, now_us);
  if (bts_sched_is_leading (node->sched))
    bts_spec_reader_tick (node->spec_reader, now_us);
  else
    bts_spec_reader_stop (node->spec_reader);
  bts_journal_relay_tick (node->relay);
  if (!node->replaying)
    bts_advice_exchange_tick (node->advice);
  count_job_memory (node, now_us);
  bts_sched_set_tables_known (node->sched, bts_freshness_is_known (&node->freshness));
  bts_sched_tick (node->sched);
  set_log_slow (node, is_log_slow (node, now_us));
  bts_requests_tick (node->requests, now_us);
  if (now_us - node->last_cleanup_us < bts_job_budget_compact_interval_us (node->budget))
    return;
  node->last_cleanup_us = now_us;
  bts_ledger_compact (node->ledger, bts_job_budget_keep_us (node->budget), now_us);
  bts_ledger_remove_ended (node->ledger, now_us - (gint64)node->config.status_retention_ms * 1000);
}
