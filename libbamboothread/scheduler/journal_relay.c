#include "libbamboothread/scheduler/journal_relay.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/relay_server.h"

/* Interval at which it is decided anew who relays, in microseconds. */
#define PLAN_INTERVAL_US (200 * 1000)
/* How long processes that only a replay has named may relay after its end, in microseconds: all
   of those that are alive have said so by then. */
#define UNCONFIRMED_US (10 * G_USEC_PER_SEC)

/**
 * struct bts_journal_relay_t - the part of one process
 * @server: what it relays
 * @client: its reads through others
 * @relays: who relays in its region (bts_member_t); NULL before the first plan
 * @next_plan_us: when that is decided anew
 * @is_replaying: it hasn't read the journal to its end yet
 * @replayed_us: when it has; 0 before
 * @is_leaving: it is about to shut down
 * @is_open: it relays
 */
struct bts_journal_relay_t
{
  bts_journal_relay_config_t config;
  char *name;
  char *region;
  const bts_journal_relay_ops_t *ops;
  void *context;
  bts_relay_server_t *server;
  bts_relay_client_t *client;
  GPtrArray *relays;
  gint64 next_plan_us;
  gboolean is_replaying;
  gint64 replayed_us;
  gboolean is_leaving;
  gboolean is_open;
};

static void
client_send (void *context, const char *address, const Bts__Message *message, guint timeout_ms)
{
  bts_journal_relay_t *relay = context;
  relay->ops->send (relay->context, address, message, timeout_ms);
}

static void
client_done (void *context, const bts_relay_read_t *read)
{
  bts_journal_relay_t *relay = context;
  relay->ops->done (relay->context, read);
}

static const bts_relay_client_ops_t client_ops = { client_send, client_done };

static void
server_reply (void *context, guint64 exchange, const Bts__Reply *reply)
{
  bts_journal_relay_t *relay = context;
  relay->ops->reply (relay->context, exchange, reply);
}

/**
 * bts_journal_relay_new() - start to read from the log
 * @config: the process; copied
 * @ops: callbacks; must outlive the relay
 * @context: passed to @ops
 */
bts_journal_relay_t *
bts_journal_relay_new (const bts_journal_relay_config_t *config, const bts_journal_relay_ops_t *ops,
                       void *context)
{
  bts_journal_relay_t *relay = g_new0 (bts_journal_relay_t, 1);
  relay->config = *config;
  relay->name = g_strdup (config->name);
  relay->region = g_strdup (config->region);
  relay->ops = ops;
  relay->context = context;
  relay->server = bts_relay_server_new (config->clock, server_reply, relay);
  relay->client = bts_relay_client_new (config->name, &client_ops, relay);
  relay->is_replaying = TRUE;
  return relay;
}

void
bts_journal_relay_free (bts_journal_relay_t *relay)
{
  bts_relay_server_free (relay->server);
  bts_relay_client_free (relay->client);
  g_clear_pointer (&relay->relays, g_ptr_array_unref);
  g_free (relay->name);
  g_free (relay->region);
  g_free (relay);
}

static gint64
relay_now (const bts_journal_relay_t *relay)
{
  return bt_clock_now (relay->config.clock);
}

/* A process that replays keeps all records, since who is to relay them turns out meanwhile: after
   a loss of power nobody has them. */
static gboolean
has_to_be_open (const bts_journal_relay_t *relay)
{
  if (*relay->region == '\0' || relay->is_leaving)
    return FALSE;
  return relay->is_replaying || bts_relays_contain (relay->relays, relay->name);
}

/* Also before each read, since members may have been freed since the last plan. */
static void
make_plan (bts_journal_relay_t *relay)
{
  gint64 now_us = relay_now (relay);
  gboolean with_unconfirmed = relay->is_replaying || now_us - relay->replayed_us < UNCONFIRMED_US;
  const bts_relays_view_t view
      = { relay->config.members, relay->region, bts_ledger_owner (relay->config.ledger),
          with_unconfirmed, now_us };
  g_clear_pointer (&relay->relays, g_ptr_array_unref);
  relay->relays = bts_relays_list (&view);
  relay->next_plan_us = now_us + PLAN_INTERVAL_US;
  gboolean is_open = has_to_be_open (relay);
  if (is_open != relay->is_open)
    bt_log (BT_LOG_INFO, "journal-relay", "open=%d relays=%u", is_open, relay->relays->len);
  relay->is_open = is_open;
  bts_relay_server_set_open (relay->server, is_open,
                             relay->relays->len == 0 ? BTS_RELAY_PENDING_MAX_BYTES
                                                     : BTS_RELAY_MAX_BYTES);
}

/**
 * bts_journal_relay_on_replayed() - the journal was read to its end
 * @relay: the relay; only the first call counts
 */
void
bts_journal_relay_on_replayed (bts_journal_relay_t *relay)
{
  if (!relay->is_replaying)
    return;
  relay->is_replaying = FALSE;
  relay->replayed_us = relay_now (relay);
}

/**
 * bts_journal_relay_leave() - relay nothing any more
 * @relay: the relay of a process that is about to shut down
 */
void
bts_journal_relay_leave (bts_journal_relay_t *relay)
{
  relay->is_leaving = TRUE;
  relay->next_plan_us = 0;
}

/**
 * bts_journal_relay_is_open() - whether the process relays the journal
 * @relay: the relay
 */
gboolean
bts_journal_relay_is_open (const bts_journal_relay_t *relay)
{
  return relay->is_open;
}

/**
 * bts_journal_relay_tick() - do what is due
 * @relay: the relay
 */
void
bts_journal_relay_tick (bts_journal_relay_t *relay)
{
  if (relay_now (relay) >= relay->next_plan_us)
    make_plan (relay);
  bts_relay_server_tick (relay->server);
  bt_metrics_set (BT_GAUGE_RELAY_BUFFER_BYTES, (gint64)bts_relay_server_bytes (relay->server));
}

/* Whether the process may have to lead: it has to know the end of the log, and the owner's silence,
   by its own reads. */
static gboolean
may_lead (const bts_journal_relay_t *relay)
{
  const char *owner = bts_ledger_owner (relay->config.ledger);
  return (owner != NULL && bts_node_same_vm (owner, relay->name))
         || bts_members_is_standby (relay->config.members, relay->name, relay_now (relay));
}

/**
 * bts_journal_relay_read() - read the journal through another process, if that is possible
 * @relay: the relay, without such a read in flight
 * @from: offset of the first record
 * @max_kb: most that is asked for, in KB
 * @wait_ms: how long the reply may wait for records
 *
 * Return: FALSE if the log has to be read.
 */
gboolean
bts_journal_relay_read (bts_journal_relay_t *relay, gint64 from, guint max_kb, guint wait_ms)
{
  if (*relay->region == '\0' || relay->is_leaving)
    return FALSE;
  make_plan (relay);
  if (bts_relays_contain (relay->relays, relay->name) || may_lead (relay))
    return FALSE;
  Bts__Read read = BTS__READ__INIT;
  read.from = from;
  read.max_kb = max_kb;
  read.wait_ms = wait_ms;
  read.sent_us = relay_now (relay);
  read.is_replaying = relay->is_replaying;
  return bts_relay_client_read (relay->client, relay->relays, &read);
}

/**
 * bts_journal_relay_on_record() - a record was read from the log
 * @relay: the relay
 * @offset: its offset
 * @data: the record, @len bytes
 * @len: number of bytes
 */
void
bts_journal_relay_on_record (bts_journal_relay_t *relay, gint64 offset, const guint8 *data,
                             gsize len)
{
  bts_relay_server_on_record (relay->server, offset, data, len);
}

/**
 * bts_journal_relay_on_read() - a read of the log is over
 * @relay: the relay
 * @caught_up: whether it has reached the end of the log
 * @sent_us: when it was sent
 */
void
bts_journal_relay_on_read (bts_journal_relay_t *relay, gboolean caught_up, gint64 sent_us)
{
  bts_relay_server_on_read (relay->server, caught_up, sent_us);
}

/**
 * bts_journal_relay_on_request() - another process asks for records
 * @relay: the relay
 * @exchange: identifies the request for its reply
 * @read: the request
 */
void
bts_journal_relay_on_request (bts_journal_relay_t *relay, guint64 exchange, const Bts__Read *read)
{
  bts_relay_server_on_request (relay->server, exchange, read);
}

/**
 * bts_journal_relay_on_reply() - a process has replied to a read, or hasn't
 * @relay: the relay
 * @sent: the read as it was sent
 * @reply: the reply; NULL if there is none
 */
void
bts_journal_relay_on_reply (bts_journal_relay_t *relay, const Bts__Read *sent,
                            const Bts__Reply *reply)
{
  bts_relay_client_on_reply (relay->client, sent, reply, relay_now (relay));
}
