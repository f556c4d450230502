#include "libbamboothread/scheduler/journal_feed.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/feed.h"

/* Interval at which it is decided anew who hands on, in microseconds. */
#define PLAN_INTERVAL_US (200 * 1000)
/* How long processes that only a replay has named may hand on after its end, in microseconds: all
   of those that are alive have said so by then. */
#define UNCONFIRMED_US (10 * G_USEC_PER_SEC)

/**
 * struct bts_journal_feed_t - the part of one process
 * @feed: what it hands on
 * @client: its reads through others
 * @feeders: who hands on in its region (bts_member_t); NULL before the first plan
 * @next_plan_us: when that is decided anew
 * @is_replaying: it hasn't read the journal to its end yet
 * @replayed_us: when it has; 0 before
 * @is_leaving: it is about to shut down
 * @is_open: it hands on
 */
struct bts_journal_feed_t
{
  bts_journal_feed_config_t config;
  char *name;
  char *region;
  const bts_journal_feed_ops_t *ops;
  void *context;
  bts_feed_t *feed;
  bts_feed_client_t *client;
  GPtrArray *feeders;
  gint64 next_plan_us;
  gboolean is_replaying;
  gint64 replayed_us;
  gboolean is_leaving;
  gboolean is_open;
};

static void
client_send (void *context, const char *address, const Bts__Message *message, guint timeout_ms)
{
  bts_journal_feed_t *feed = context;
  feed->ops->send (feed->context, address, message, timeout_ms);
}

static void
client_done (void *context, const bts_feed_read_t *read)
{
  bts_journal_feed_t *feed = context;
  feed->ops->done (feed->context, read);
}

static const bts_feed_client_ops_t client_ops = { client_send, client_done };

static void
feed_reply (void *context, guint64 exchange, const Bts__Reply *reply)
{
  bts_journal_feed_t *feed = context;
  feed->ops->reply (feed->context, exchange, reply);
}

/**
 * bts_journal_feed_new() - start to read from the log
 * @config: the process; copied
 * @ops: callbacks; must outlive the feed
 * @context: passed to @ops
 */
bts_journal_feed_t *
bts_journal_feed_new (const bts_journal_feed_config_t *config, const bts_journal_feed_ops_t *ops,
                      void *context)
{
  bts_journal_feed_t *feed = g_new0 (bts_journal_feed_t, 1);
  feed->config = *config;
  feed->name = g_strdup (config->name);
  feed->region = g_strdup (config->region);
  feed->ops = ops;
  feed->context = context;
  feed->feed = bts_feed_new (config->clock, feed_reply, feed);
  feed->client = bts_feed_client_new (config->name, &client_ops, feed);
  feed->is_replaying = TRUE;
  return feed;
}

void
bts_journal_feed_free (bts_journal_feed_t *feed)
{
  bts_feed_free (feed->feed);
  bts_feed_client_free (feed->client);
  g_clear_pointer (&feed->feeders, g_ptr_array_unref);
  g_free (feed->name);
  g_free (feed->region);
  g_free (feed);
}

static gint64
feed_now (const bts_journal_feed_t *feed)
{
  return bt_clock_now (feed->config.clock);
}

/* A process that replays keeps all records, since who is to hand them on turns out meanwhile: after
   a loss of power nobody has them. */
static gboolean
has_to_be_open (const bts_journal_feed_t *feed)
{
  if (*feed->region == '\0' || feed->is_leaving)
    return FALSE;
  return feed->is_replaying || bts_feeders_contain (feed->feeders, feed->name);
}

static void
make_plan (bts_journal_feed_t *feed, gint64 now_us)
{
  gboolean with_unconfirmed = feed->is_replaying || now_us - feed->replayed_us < UNCONFIRMED_US;
  const bts_feeders_view_t view
      = { feed->config.members, feed->region, bts_ledger_owner (feed->config.ledger),
          with_unconfirmed, now_us };
  g_clear_pointer (&feed->feeders, g_ptr_array_unref);
  feed->feeders = bts_feeders_list (&view);
  feed->next_plan_us = now_us + PLAN_INTERVAL_US;
  gboolean is_open = has_to_be_open (feed);
  if (is_open != feed->is_open)
    bt_log (BT_LOG_INFO, "journal-feed", "open=%d feeders=%u", is_open, feed->feeders->len);
  feed->is_open = is_open;
  bts_feed_set_open (feed->feed, is_open);
}

/* Members may have been freed since the plan was made. */
static void
ensure_plan (bts_journal_feed_t *feed)
{
  make_plan (feed, feed_now (feed));
}

/**
 * bts_journal_feed_on_replayed() - the journal was read to its end
 * @feed: the feed; only the first call counts
 */
void
bts_journal_feed_on_replayed (bts_journal_feed_t *feed)
{
  if (!feed->is_replaying)
    return;
  feed->is_replaying = FALSE;
  feed->replayed_us = feed_now (feed);
}

/**
 * bts_journal_feed_leave() - hand nothing on any more
 * @feed: the feed of a process that is about to shut down
 */
void
bts_journal_feed_leave (bts_journal_feed_t *feed)
{
  feed->is_leaving = TRUE;
  feed->next_plan_us = 0;
}

/**
 * bts_journal_feed_is_open() - whether the process hands the journal on
 * @feed: the feed
 */
gboolean
bts_journal_feed_is_open (const bts_journal_feed_t *feed)
{
  return feed->is_open;
}

/**
 * bts_journal_feed_tick() - do what is due
 * @feed: the feed
 */
void
bts_journal_feed_tick (bts_journal_feed_t *feed)
{
  if (feed_now (feed) >= feed->next_plan_us)
    ensure_plan (feed);
  bts_feed_tick (feed->feed);
  bt_metrics_set (BT_GAUGE_FEED_BYTES, (gint64)bts_feed_bytes (feed->feed));
}

/* Whether the process may have to lead: it has to know the end of the log, and the owner's silence,
   by its own reads. */
static gboolean
may_lead (const bts_journal_feed_t *feed)
{
  const char *owner = bts_ledger_owner (feed->config.ledger);
  return (owner != NULL && bts_node_same_vm (owner, feed->name))
         || bts_members_is_standby (feed->config.members, feed->name, feed_now (feed));
}

/**
 * bts_journal_feed_read() - read the journal through another process, if that is possible
 * @feed: the feed, without such a read in flight
 * @from: offset of the first record
 * @max_kb: most that is asked for, in KB
 * @wait_ms: how long the reply may wait for records
 *
 * Return: FALSE if the log has to be read.
 */
gboolean
bts_journal_feed_read (bts_journal_feed_t *feed, gint64 from, guint max_kb, guint wait_ms)
{
  if (*feed->region == '\0' || feed->is_leaving)
    return FALSE;
  ensure_plan (feed);
  if (bts_feeders_contain (feed->feeders, feed->name) || may_lead (feed))
    return FALSE;
  Bts__Read read = BTS__READ__INIT;
  read.from = from;
  read.max_kb = max_kb;
  read.wait_ms = wait_ms;
  read.sent_us = feed_now (feed);
  read.is_replaying = feed->is_replaying;
  return bts_feed_client_read (feed->client, feed->feeders, &read);
}

/**
 * bts_journal_feed_on_record() - a record was read from the log
 * @feed: the feed
 * @offset: its offset
 * @data: the record, @len bytes
 * @len: number of bytes
 */
void
bts_journal_feed_on_record (bts_journal_feed_t *feed, gint64 offset, const guint8 *data, gsize len)
{
  bts_feed_on_record (feed->feed, offset, data, len);
}

/**
 * bts_journal_feed_on_read() - a read of the log is over
 * @feed: the feed
 * @caught_up: whether it has reached the end of the log
 * @sent_us: when it was sent
 */
void
bts_journal_feed_on_read (bts_journal_feed_t *feed, gboolean caught_up, gint64 sent_us)
{
  bts_feed_on_read (feed->feed, caught_up, sent_us);
}

/**
 * bts_journal_feed_on_request() - another process asks for records
 * @feed: the feed
 * @exchange: identifies the request for its reply
 * @read: the request
 */
void
bts_journal_feed_on_request (bts_journal_feed_t *feed, guint64 exchange, const Bts__Read *read)
{
  bts_feed_on_request (feed->feed, exchange, read);
}

/**
 * bts_journal_feed_on_reply() - a process has replied to a read, or hasn't
 * @feed: the feed
 * @sent: the read as it was sent
 * @reply: the reply; NULL if there is none
 */
void
bts_journal_feed_on_reply (bts_journal_feed_t *feed, const Bts__Read *sent, const Bts__Reply *reply)
{
  bts_feed_client_on_reply (feed->client, sent, reply, feed_now (feed));
}
