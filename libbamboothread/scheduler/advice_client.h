#ifndef BTS_ADVICE_CLIENT_H
#define BTS_ADVICE_CLIENT_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Questions to the advice service, which takes one call at a time from each VM.
 */

typedef struct bts_advice_client_t bts_advice_client_t;

/**
 * struct bts_advice_request_t - which of some workers may run a step
 * @exchange: of the message that asked; 0 if this process itself wants to know
 * @node: name of this process, as the question gave it
 * @workers: ids of the workers
 * @attempts: calls so far
 */
typedef struct
{
  guint64 exchange;
  char *node;
  char *job;
  guint occurrence;
  guint step;
  GPtrArray *workers;
  guint attempts;
} bts_advice_request_t;

/**
 * struct bts_advice_client_ops_t - where questions go
 * @send: answered by bts_advice_client_on_reply()
 * @failed: there will be no answer to a question
 */
typedef struct
{
  void (*send) (void *context, const bts_advice_request_t *question);
  void (*failed) (void *context, const bts_advice_request_t *question);
} bts_advice_client_ops_t;

bts_advice_client_t *bts_advice_client_new (bts_ledger_t *ledger,
                                            const bts_advice_client_ops_t *ops, void *context);
void bts_advice_client_free (bts_advice_client_t *adviser);
void bts_advice_client_enqueue (bts_advice_client_t *adviser, guint64 exchange,
                                const Bts__Ask *ask);
void bts_advice_client_on_reply (bts_advice_client_t *adviser, const bts_advice_request_t *question,
                                 gboolean ok);

#endif
