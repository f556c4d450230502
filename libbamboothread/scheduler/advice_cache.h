#ifndef BTS_ADVICE_CACHE_H
#define BTS_ADVICE_CACHE_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * The answers of the advice service that a process has fetched for owners, or was given as the
 * owner. Who may run a step never changes, and an answer takes up to a second, so a new owner is
 * sent what earlier ones were given.
 */

/* Most answers that are kept, and how long, in microseconds. */
#define BTS_ADVICE_CACHE_MAX 256
#define BTS_ADVICE_CACHE_AGE_US (30 * G_USEC_PER_SEC)

typedef struct bts_advice_cache_t bts_advice_cache_t;

bts_advice_cache_t *bts_advice_cache_new (const bts_ledger_t *ledger);
void bts_advice_cache_free (bts_advice_cache_t *cache);
void bts_advice_cache_add (bts_advice_cache_t *cache, const Bts__Ask *asked,
                           const Bts__Advice *advice, guint64 term, gint64 now_us);
Bts__AdviceTransfer *bts_advice_cache_take_unsent (bts_advice_cache_t *cache, guint64 term,
                                                   gint64 now_us);
void bts_advice_cache_mark_unsent (bts_advice_cache_t *cache);

#endif
