#include "libbamboothread/scheduler/advice_exchange.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/message_stats.h"

/* Timeout for the reply to a request for advice, in milliseconds. The owner sends the request to
   another process long before that; the timeout closes a connection that has gone silent. */
#define ASK_TIMEOUT_MS 3500

/**
 * struct bts_advice_exchange_t - the requests of one process and those to it
 * @client: calls of this process to the advice service
 * @stats: how long requests and replies are on the way
 */
struct bts_advice_exchange_t
{
  bts_advice_exchange_config_t config;
  char *name;
  const bts_advice_exchange_ops_t *ops;
  void *context;
  bts_advice_client_t *client;
  bts_message_stats_t *stats;
};

static void
client_send (void *context, const bts_advice_request_t *request)
{
  bts_advice_exchange_t *exchange = context;
  exchange->ops->call (exchange->context, request);
}

/* Passes advice, or NULL if there is none, to the requester: the owner in this process, or the
   process that sent the request. */
static void
deliver (bts_advice_exchange_t *exchange, const bts_advice_request_t *request,
         const Bts__Advice *advice)
{
  if (request->exchange == 0)
    {
      Bts__Ask ask = BTS__ASK__INIT;
      ask.node = request->node;
      ask.job = request->job;
      ask.occurrence = request->occurrence;
      ask.step = request->step;
      ask.n_workers = request->workers->len;
      ask.workers = (char **)request->workers->pdata;
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
  return exchange;
}

void
bts_advice_exchange_free (bts_advice_exchange_t *exchange)
{
  bts_advice_client_free (exchange->client);
  bts_message_stats_free (exchange->stats);
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
      deliver (exchange, request, advice);
    }
  bts_advice_client_on_reply (exchange->client, request, advice != NULL);
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
  if (advice == NULL)
    bt_log (BT_LOG_NOTICE, "advice-missing", "job=%s step=%u", ask->job, ask->step);
  exchange->ops->answered (exchange->context, ask, advice);
}
