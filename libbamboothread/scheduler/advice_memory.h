#ifndef BTS_ADVICE_MEMORY_H
#define BTS_ADVICE_MEMORY_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * The answers of the advice service that a process has fetched for owners, or was given as the
 * owner. Who may run a step never changes, and an answer takes up to a second, so a new owner is
 * told what earlier ones have learned.
 */

/* Most answers that are kept, and how long, in microseconds. */
#define BTS_ADVICE_MEMORY_MAX 256
#define BTS_ADVICE_MEMORY_AGE_US (30 * G_USEC_PER_SEC)

typedef struct bts_advice_memory_t bts_advice_memory_t;

bts_advice_memory_t *bts_advice_memory_new (const bts_ledger_t *ledger);
void bts_advice_memory_free (bts_advice_memory_t *memory);
void bts_advice_memory_add (bts_advice_memory_t *memory, const Bts__Ask *asked,
                            const Bts__Advice *advice, guint64 term, gint64 now_us);
Bts__Told *bts_advice_memory_tell (bts_advice_memory_t *memory, guint64 term, gint64 now_us);
void bts_advice_memory_forget_term (bts_advice_memory_t *memory);

#endif
