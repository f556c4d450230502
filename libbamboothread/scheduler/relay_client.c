#include "libbamboothread/scheduler/relay_client.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* Time limit for a reply beyond the time for which it may wait for records, in milliseconds. */
#define REPLY_MARGIN_MS 400
/* How long no read goes to a process that has refused one, in microseconds: it reads the log no
   further than this one, or doesn't relay. */
#define REFUSED_PAUSE_US (1000 * 1000)
/* The same for one that hasn't replied: by then it doesn't count as alive any more if it isn't. */
#define SILENT_PAUSE_US (10 * G_USEC_PER_SEC)
/* A process that refuses replies within this time, in microseconds. */
#define REFUSAL_MAX_US (200 * 1000)

/**
 * struct bts_relay_client_t - the reads of one process
 * @paused_until_us: address of a process to when a read may go there again (gint64)
 * @address: where the last read went to; NULL if to the log
 */
struct bts_relay_client_t
{
  guint first;
  const bts_relay_client_ops_t *ops;
  void *context;
  GHashTable *paused_until_us;
  char *address;
};

/**
 * bts_relay_client_new() - start without reads
 * @node: name of the process; spreads the processes over those that relay
 * @ops: callbacks; must outlive the client
 * @context: passed to @ops
 */
bts_relay_client_t *
bts_relay_client_new (const char *node, const bts_relay_client_ops_t *ops, void *context)
{
  bts_relay_client_t *client = g_new0 (bts_relay_client_t, 1);
  client->first = g_str_hash (node);
  client->ops = ops;
  client->context = context;
  client->paused_until_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return client;
}

void
bts_relay_client_free (bts_relay_client_t *client)
{
  g_hash_table_unref (client->paused_until_us);
  g_free (client->address);
  g_free (client);
}

static const char *
choose_address (const bts_relay_client_t *client, const GPtrArray *relays, gint64 now_us)
{
  for (guint i = 0; i < relays->len; i++)
    {
      const bts_member_t *member = relays->pdata[(client->first + i) % relays->len];
      const gint64 *until_us = g_hash_table_lookup (client->paused_until_us, member->address);
      if (until_us == NULL || now_us >= *until_us)
        return member->address;
    }
  return NULL;
}

static void
set_address (bts_relay_client_t *client, const char *address)
{
  if (g_strcmp0 (client->address, address) == 0)
    return;
  bt_log (BT_LOG_INFO, "journal-source", "from=%s", address == NULL ? "log" : address);
  g_free (client->address);
  client->address = g_strdup (address);
}

/**
 * bts_relay_client_read() - read through a process that relays, if there is one
 * @client: the client, without a read in flight
 * @relays: the processes that relay (bts_member_t)
 * @read: the read, which is sent now
 *
 * Return: FALSE if the log has to be read.
 */
gboolean
bts_relay_client_read (bts_relay_client_t *client, const GPtrArray *relays, const Bts__Read *read)
{
  set_address (client, choose_address (client, relays, read->sent_us));
  if (client->address == NULL)
    return FALSE;
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_READ;
  message.read = (Bts__Read *)read;
  client->ops->send (client->context, client->address, &message, read->wait_ms + REPLY_MARGIN_MS);
  return TRUE;
}

static void
pause_source (bts_relay_client_t *client, gint64 took_us, gint64 now_us)
{
  gboolean is_refusal = took_us < REFUSAL_MAX_US;
  gint64 until_us = now_us + (is_refusal ? REFUSED_PAUSE_US : SILENT_PAUSE_US);
  bt_metrics_count (BT_COUNT_RELAY_READS_FAILED);
  bt_log (BT_LOG_INFO, "journal-source-failed", "from=%s refused=%d after_ms=%" G_GINT64_FORMAT,
          client->address, is_refusal, took_us / 1000);
  g_hash_table_replace (client->paused_until_us, g_strdup (client->address),
                        g_memdup2 (&until_us, sizeof until_us));
}

static gboolean
is_usable (const Bts__Read *sent, const Bts__Reply *reply)
{
  return reply != NULL && reply->kind_case == BTS__REPLY__KIND_RECORDS
         && reply->records->from == sent->from && reply->records->age_ms > 0
         && reply->records->sent_age_ms >= reply->records->age_ms;
}

/**
 * bts_relay_client_on_reply() - the process replied to a read, or didn't
 * @client: the client
 * @sent: the read as it was sent
 * @reply: the reply; NULL if there is none
 * @now_us: the time
 *
 * The ages in the reply are counted up to when it was sent. The read had been sent by then, and had
 * waited for records.
 */
void
bts_relay_client_on_reply (bts_relay_client_t *client, const Bts__Read *sent,
                           const Bts__Reply *reply, gint64 now_us)
{
  gint64 took_us = now_us - sent->sent_us;
  if (!is_usable (sent, reply))
    {
      pause_source (client, took_us, now_us);
      client->ops->done (client->context, NULL);
      return;
    }
  const Bts__Records *records = reply->records;
  gint64 replied_us = sent->sent_us + (gint64)records->held_ms * 1000;
  const bts_relay_read_t read = { .caught_up = records->caught_up,
                                  .sent_us = replied_us - (gint64)records->sent_age_ms * 1000,
                                  .as_of_us = replied_us - (gint64)records->age_ms * 1000,
                                  .begin_us = took_us - (gint64)records->held_ms * 1000,
                                  .data = records->records.data,
                                  .len = records->records.len };
  bt_metrics_add (BT_COUNT_RELAYED_BYTES, read.len);
  client->ops->done (client->context, &read);
}
