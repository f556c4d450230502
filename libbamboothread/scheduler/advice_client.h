#ifndef BTS_ADVICE_CLIENT_H
#define BTS_ADVICE_CLIENT_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Client of the advice service: queues the requests of a process, since the service takes
 * one call at a time from each VM.
 */

typedef struct bts_advice_client_t bts_advice_client_t;

/**
 * struct bts_advice_request_t - asks which of some workers may run a step
 * @exchange: exchange of the message with the request; 0 if this process itself
 *   sent it, as the owner
 * @node: name of this process, as the request gave it
 * @workers: ids of the workers
 * @received_us: when the request came in
 * @term: the term of the owner then, as this process knew it
 * @attempts: calls made so far
 */
typedef struct
{
  guint64 exchange;
  char *node;
  char *job;
  guint occurrence;
  guint step;
  GPtrArray *workers;
  gint64 received_us;
  guint64 term;
  guint attempts;
} bts_advice_request_t;

/**
 * struct bts_advice_client_ops_t - callbacks of the client
 * @send: calls the service; the result goes to bts_advice_client_on_reply()
 * @failed: reports that a request will get no reply
 */
typedef struct
{
  void (*send) (void *context, const bts_advice_request_t *request);
  void (*failed) (void *context, const bts_advice_request_t *request);
} bts_advice_client_ops_t;

bts_advice_client_t *bts_advice_client_new (bts_ledger_t *ledger,
                                            const bts_advice_client_ops_t *ops, void *context);
void bts_advice_client_free (bts_advice_client_t *client);
void bts_advice_client_enqueue (bts_advice_client_t *client, guint64 exchange, const Bts__Ask *ask,
                                gint64 now_us);
void bts_advice_client_on_reply (bts_advice_client_t *client, const bts_advice_request_t *request,
                                 gboolean ok);

#endif
