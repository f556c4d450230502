#ifndef BTS_ADVICE_EXCHANGE_H
#define BTS_ADVICE_EXCHANGE_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/advice_client.h"
#include "libbamboothread/scheduler/members.h"

/*
 * Requests for advice between the owner and the processes that call the advice service for it.
 */

typedef struct bts_advice_exchange_t bts_advice_exchange_t;

/**
 * struct bts_advice_exchange_ops_t - callbacks
 * @call: calls the advice service; the result goes to bts_advice_exchange_on_call_done()
 * @send: sends a message to the process at @address; the reply goes to
 *   bts_advice_exchange_on_reply()
 * @reply: replies to a message; NULL if there is no reply
 * @answered: a request of this process, as the owner, was answered; NULL if there is no advice
 * @transferred: another process passes on an answer that an earlier owner was given
 */
typedef struct
{
  void (*call) (void *context, const bts_advice_request_t *request);
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*reply) (void *context, guint64 exchange, const Bts__Reply *reply);
  void (*answered) (void *context, const Bts__Ask *ask, const Bts__Advice *advice);
  void (*transferred) (void *context, const Bts__Advice *advice);
} bts_advice_exchange_ops_t;

/**
 * struct bts_advice_exchange_config_t - the process and its parts
 * @name: its name
 * @region: the region of its VM
 * @clock: its clock
 * @ledger: the jobs that it knows
 * @members: the processes
 */
typedef struct
{
  const char *name;
  const char *region;
  const bt_clock_t *clock;
  bts_ledger_t *ledger;
  const bts_members_t *members;
} bts_advice_exchange_config_t;

bts_advice_exchange_t *bts_advice_exchange_new (const bts_advice_exchange_config_t *config,
                                                const bts_advice_exchange_ops_t *ops,
                                                void *context);
void bts_advice_exchange_free (bts_advice_exchange_t *exchange);
void bts_advice_exchange_request (bts_advice_exchange_t *exchange, const char *name,
                                  const char *address, const Bts__Ask *ask);
gboolean bts_advice_exchange_on_request (bts_advice_exchange_t *exchange, guint64 number,
                                         const Bts__Ask *ask);
void bts_advice_exchange_on_call_done (bts_advice_exchange_t *exchange,
                                       const bts_advice_request_t *request,
                                       const Bts__Advice *advice);
void bts_advice_exchange_on_transfer (bts_advice_exchange_t *exchange, guint64 number,
                                      const Bts__AdviceTransfer *transfer);
void bts_advice_exchange_on_transfer_reply (bts_advice_exchange_t *exchange,
                                            const Bts__Reply *reply);
void bts_advice_exchange_tick (bts_advice_exchange_t *exchange);
void bts_advice_exchange_on_reply (bts_advice_exchange_t *exchange, const Bts__Ask *ask,
                                   const Bts__Reply *reply);

#endif
