#include "libbamboothread/scheduler/advice_client.h"

/* Most calls in flight; the service takes one at a time from each VM, and of two calls the later
   one could arrive first. */
#define CALLS_IN_FLIGHT_MAX 1
/* Calls for one request before it fails; the owner of the workers then sends a new one. */
#define ATTEMPTS_MAX 3

/**
 * struct bts_advice_client_t - the requests of one process
 * @queue: bts_advice_request_t to be sent
 * @in_flight: bts_advice_request_t with a call that has no reply yet
 */
struct bts_advice_client_t
{
  bts_ledger_t *ledger;
  const bts_advice_client_ops_t *ops;
  void *context;
  GQueue queue;
  GPtrArray *in_flight;
};

static void
request_free (gpointer data)
{
  bts_advice_request_t *request = data;
  g_free (request->node);
  g_free (request->job);
  g_ptr_array_unref (request->workers);
  g_free (request);
}

bts_advice_client_t *
bts_advice_client_new (bts_ledger_t *ledger, const bts_advice_client_ops_t *ops, void *context)
{
  bts_advice_client_t *client = g_new0 (bts_advice_client_t, 1);
  client->ledger = ledger;
  client->ops = ops;
  client->context = context;
  g_queue_init (&client->queue);
  client->in_flight = g_ptr_array_new_with_free_func (request_free);
  return client;
}

void
bts_advice_client_free (bts_advice_client_t *client)
{
  g_queue_clear_full (&client->queue, request_free);
  g_ptr_array_unref (client->in_flight);
  g_free (client);
}

static void
fail_request (bts_advice_client_t *client, bts_advice_request_t *request)
{
  client->ops->failed (client->context, request);
  request_free (request);
}

static void
send_queued (bts_advice_client_t *client)
{
  while (client->in_flight->len < CALLS_IN_FLIGHT_MAX && !g_queue_is_empty (&client->queue))
    {
      bts_advice_request_t *request = g_queue_pop_head (&client->queue);
      const bts_job_t *job = bts_ledger_job (client->ledger, request->job);
      /* A job that this process doesn't know may not have been read from the journal yet, so its
         requests are sent, too. */
      if (job != NULL && bts_job_has_ended (job))
        {
          fail_request (client, request);
          continue;
        }
      request->attempts++;
      g_ptr_array_add (client->in_flight, request);
      client->ops->send (client->context, request);
    }
}

/**
 * bts_advice_client_enqueue() - queue a request for advice
 * @client: the client
 * @exchange: exchange of the message with the request; 0 if this process itself
 *   sent it, as the owner
 * @ask: the step and the workers
 * @now_us: the time
 */
void
bts_advice_client_enqueue (bts_advice_client_t *client, guint64 exchange, const Bts__Ask *ask,
                           gint64 now_us)
{
  bts_advice_request_t *request = g_new0 (bts_advice_request_t, 1);
  request->exchange = exchange;
  request->node = g_strdup (ask->node);
  request->job = g_strdup (ask->job);
  request->occurrence = ask->occurrence;
  request->step = ask->step;
  request->received_us = now_us;
  request->term = bts_ledger_term (client->ledger);
  request->workers = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < ask->n_workers; i++)
    g_ptr_array_add (request->workers, g_strdup (ask->workers[i]));
  g_queue_push_tail (&client->queue, request);
  send_queued (client);
}

/**
 * bts_advice_client_on_reply() - handle the result of a call
 * @client: the client
 * @request: the request that was sent; freed, or queued again after a failed call
 * @ok: whether there was a usable reply
 */
void
bts_advice_client_on_reply (bts_advice_client_t *client, const bts_advice_request_t *request,
                            gboolean ok)
{
  guint i;
  if (!g_ptr_array_find (client->in_flight, request, &i))
    return;
  bts_advice_request_t *answered = g_ptr_array_steal_index (client->in_flight, i);
  if (ok)
    request_free (answered);
  else if (answered->attempts < ATTEMPTS_MAX)
    g_queue_push_tail (&client->queue, answered);
  else
    fail_request (client, answered);
  send_queued (client);
}
