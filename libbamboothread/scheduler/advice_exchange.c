#include "libbamboothread/scheduler/advice_exchange.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/advice_cache.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/message_stats.h"

/* Timeout for the reply to a request for advice, in milliseconds. The owner sends the request to
   another process long before that; the timeout closes a connection that has gone silent. */
#define ASK_TIMEOUT_MS 3500
/* The same for the reply of an owner to answers of earlier ones. */
#define TRANSFER_TIMEOUT_MS 500
/* Time until the answers are sent again to an owner that hasn't replied, in microseconds. */
#define TRANSFER_RETRY_US (250 * 1000)

/**
 * struct bts_advice_exchange_t - the requests of one process and those to it
 * @client: calls of this process to the advice service
 * @stats: how long requests and replies are on the way
 * @cache: answers that owners were given
 * @next_transfer_us: they are sent to no owner before this time
 */
struct bts_advice_exchange_t
{
  bts_advice_exchange_config_t config;
  char *name;
  const bts_advice_exchange_ops_t *ops;
  void *context;
  bts_advice_client_t *client;
  bts_message_stats_t *stats;
  bts_advice_cache_t *cache;
  gint64 next_transfer_us;
};

static void
client_send (void *context, const bts_advice_request_t *request)
{
  bts_advice_exchange_t *exchange = context;
  exchange->ops->call (exchange->context, request);
}

static Bts__Ask
ask_of (const bts_advice_request_t *request)
{
  Bts__Ask ask = BTS__ASK__INIT;
  ask.node = request->node;
  ask.job = request->job;
  ask.occurrence = request->occurrence;
  ask.step = request->step;
  ask.n_workers = request->workers->len;
  ask.workers = (char **)request->workers->pdata;
  return ask;
}

/* Passes advice, or NULL if there is none, to the requester: the owner in this process, or the
   process that sent the request. */
static void
deliver (bts_advice_exchange_t *exchange, const bts_advice_request_t *request,
         const Bts__Advice *advice)
{
  if (request->exchange == 0)
    {
      Bts__Ask ask = ask_of (request);
      exchange->ops->answered (exchange->context, &ask, advice);
      return;
    }
  if (advice == NULL)
    {
      exchange->ops->reply (exchange->context, request->exchange, NULL);
      return;
    }
  gint64 held_us = bt_clock_now (exchange->config.clock) - request->received_us;
  Bts__Advice timed = *advice;
  timed.held_ms = (guint32)(held_us / 1000 + 1);
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_ADVICE;
  reply.advice = &timed;
  exchange->ops->reply (exchange->context, request->exchange, &reply);
}

static void
client_failed (void *context, const bts_advice_request_t *request)
{
  deliver (context, request, NULL);
}

static const bts_advice_client_ops_t client_ops = { client_send, client_failed };

/**
 * bts_advice_exchange_new() - start without requests
 * @config: the process; copied
 * @ops: callbacks; must outlive the exchange
 * @context: passed to @ops
 */
bts_advice_exchange_t *
bts_advice_exchange_new (const bts_advice_exchange_config_t *config,
                         const bts_advice_exchange_ops_t *ops, void *context)
{
  bts_advice_exchange_t *exchange = g_new0 (bts_advice_exchange_t, 1);
  exchange->config = *config;
  exchange->name = g_strdup (config->name);
  exchange->ops = ops;
  exchange->context = context;
  exchange->client = bts_advice_client_new (config->ledger, &client_ops, exchange);
  exchange->stats = bts_message_stats_new (config->region);
  exchange->cache = bts_advice_cache_new (config->ledger);
  return exchange;
}

void
bts_advice_exchange_free (bts_advice_exchange_t *exchange)
{
  bts_advice_client_free (exchange->client);
  bts_message_stats_free (exchange->stats);
  bts_advice_cache_free (exchange->cache);
  g_free (exchange->name);
  g_free (exchange);
}

/**
 * bts_advice_exchange_request() - have a process call the advice service
 * @exchange: the requests of the owner
 * @name: name of the process, which may be the owner itself
 * @address: its address for messages
 * @ask: the request
 */
void
bts_advice_exchange_request (bts_advice_exchange_t *exchange, const char *name, const char *address,
                             const Bts__Ask *ask)
{
  gint64 now_us = bt_clock_now (exchange->config.clock);
  if (strcmp (name, exchange->name) == 0)
    {
      bts_advice_client_enqueue (exchange->client, 0, ask, now_us);
      return;
    }
  Bts__Ask sent = *ask;
  sent.sent_us = now_us;
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_ASK;
  message.ask = &sent;
  exchange->ops->send (exchange->context, address, &message, ASK_TIMEOUT_MS);
}

/**
 * bts_advice_exchange_on_request() - handle a request of the owner
 * @exchange: the requests to this process
 * @number: identifies the message for its reply
 * @ask: the request
 *
 * Return: FALSE if the request is invalid.
 */
gboolean
bts_advice_exchange_on_request (bts_advice_exchange_t *exchange, guint64 number,
                                const Bts__Ask *ask)
{
  if (ask->n_workers == 0 || ask->n_workers > BTS_ADVICE_MAX_WORKERS || *ask->job == '\0')
    return FALSE;
  bts_advice_client_enqueue (exchange->client, number, ask, bt_clock_now (exchange->config.clock));
  return TRUE;
}

/**
 * bts_advice_exchange_on_call_done() - the advice service answered a call, or didn't
 * @exchange: the requests to this process
 * @request: the request that the call was made for
 * @advice: the answer; NULL if there is none
 */
void
bts_advice_exchange_on_call_done (bts_advice_exchange_t *exchange,
                                  const bts_advice_request_t *request, const Bts__Advice *advice)
{
  if (advice != NULL)
    {
      bt_log (BT_LOG_INFO, "advice", "job=%s occurrence=%u step=%u asked=%u allowed=%zu",
              request->job, request->occurrence, request->step, request->workers->len,
              advice->n_allowed);
      Bts__Ask ask = ask_of (request);
      bts_advice_cache_add (exchange->cache, &ask, advice, request->term,
                            bt_clock_now (exchange->config.clock));
      deliver (exchange, request, advice);
    }
  bts_advice_client_on_reply (exchange->client, request, advice != NULL);
}

static void
apply_transfer (bts_advice_exchange_t *exchange, const Bts__AdviceTransfer *transfer)
{
  for (gsize i = 0; i < transfer->n_advice; i++)
    exchange->ops->transferred (exchange->context, transfer->advice[i]);
}

/* Keeps a transferred answer for the next owner. */
static void
cache_transferred (bts_advice_exchange_t *exchange, const Bts__Advice *advice)
{
  g_autoptr (GPtrArray) workers = g_ptr_array_new ();
  for (gsize i = 0; i < advice->n_allowed; i++)
    g_ptr_array_add (workers, advice->allowed[i]->worker);
  for (gsize i = 0; i < advice->n_denied; i++)
    g_ptr_array_add (workers, advice->denied[i]);
  Bts__Ask asked = BTS__ASK__INIT;
  asked.job = advice->job;
  asked.occurrence = advice->occurrence;
  asked.step = advice->step;
  asked.n_workers = workers->len;
  asked.workers = (char **)workers->pdata;
  bts_advice_cache_add (exchange->cache, &asked, advice, bts_ledger_term (exchange->config.ledger),
                        bt_clock_now (exchange->config.clock) - (gint64)advice->age_ms * 1000);
}

/**
 * bts_advice_exchange_on_transfer() - a process sends answers that earlier owners were given
 * @exchange: the requests of the owner
 * @number: identifies the message for its reply
 * @transfer: the answers
 */
void
bts_advice_exchange_on_transfer (bts_advice_exchange_t *exchange, guint64 number,
                                 const Bts__AdviceTransfer *transfer)
{
  apply_transfer (exchange, transfer);
  for (gsize i = 0; i < transfer->n_advice; i++)
    cache_transferred (exchange, transfer->advice[i]);
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_ANSWER;
  exchange->ops->reply (exchange->context, number, &reply);
}

/**
 * bts_advice_exchange_on_transfer_reply() - an owner has replied to a transfer, or hasn't
 * @exchange: the requests to this process
 * @reply: the reply; NULL if there is none
 */
void
bts_advice_exchange_on_transfer_reply (bts_advice_exchange_t *exchange, const Bts__Reply *reply)
{
  if (reply != NULL)
    return;
  bts_advice_cache_mark_unsent (exchange->cache);
  exchange->next_transfer_us = bt_clock_now (exchange->config.clock) + TRANSFER_RETRY_US;
}

/**
 * bts_advice_exchange_tick() - send a new owner the answers that earlier ones were given
 * @exchange: the requests to this process
 */
void
bts_advice_exchange_tick (bts_advice_exchange_t *exchange)
{
  gint64 now_us = bt_clock_now (exchange->config.clock);
  const char *owner = bts_ledger_owner (exchange->config.ledger);
  const bts_member_t *member
      = owner == NULL ? NULL : bts_members_find (exchange->config.members, owner);
  gboolean is_self = g_strcmp0 (owner, exchange->name) == 0;
  if (now_us < exchange->next_transfer_us
      || (!is_self && (member == NULL || member->address == NULL)))
    return;
  Bts__AdviceTransfer *transfer = bts_advice_cache_take_unsent (
      exchange->cache, bts_ledger_term (exchange->config.ledger), now_us);
  if (transfer == NULL)
    return;
  bt_log (BT_LOG_INFO, "advice-transfer", "owner=%s answers=%zu", owner, transfer->n_advice);
  Bts__Message message = BTS__MESSAGE__INIT;
  message.kind_case = BTS__MESSAGE__KIND_TRANSFER;
  message.transfer = transfer;
  if (is_self)
    apply_transfer (exchange, transfer);
  else
    exchange->ops->send (exchange->context, member->address, &message, TRANSFER_TIMEOUT_MS);
  bts__advice_transfer__free_unpacked (transfer, NULL);
}

static void
count_reply (bts_advice_exchange_t *exchange, const Bts__Ask *ask, const Bts__Advice *advice)
{
  const bts_member_t *member = bts_members_find (exchange->config.members, ask->node);
  const char *region = member == NULL ? "" : member->region;
  gint64 now_us = bt_clock_now (exchange->config.clock);
  gint64 held_us = advice == NULL ? 0 : (gint64)advice->held_ms * 1000 - 1000;
  if (advice == NULL)
    bts_message_stats_add_unanswered (exchange->stats, region, now_us);
  else if (advice->held_ms > 0)
    bts_message_stats_add (exchange->stats, region, now_us - ask->sent_us - held_us, now_us);
}

/**
 * bts_advice_exchange_on_reply() - a process has replied to a request, or hasn't
 * @exchange: the requests of the owner
 * @ask: the request as it was sent
 * @reply: the reply; NULL if there is none
 */
void
bts_advice_exchange_on_reply (bts_advice_exchange_t *exchange, const Bts__Ask *ask,
                              const Bts__Reply *reply)
{
  const Bts__Advice *advice
      = reply != NULL && reply->kind_case == BTS__REPLY__KIND_ADVICE ? reply->advice : NULL;
  count_reply (exchange, ask, advice);
  if (advice != NULL)
    bts_advice_cache_add (exchange->cache, ask, advice, bts_ledger_term (exchange->config.ledger),
                          bt_clock_now (exchange->config.clock));
  else
    bt_log (BT_LOG_NOTICE, "advice-missing", "job=%s step=%u", ask->job, ask->step);
  exchange->ops->answered (exchange->context, ask, advice);
}
