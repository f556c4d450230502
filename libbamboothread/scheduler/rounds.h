#ifndef BTS_ROUNDS_H
#define BTS_ROUNDS_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Rounds of the owner over its workers, with which their timers run and holds are sent to them.
 */

/**
 * bts_round_f - do what is due for a worker; may send it a hold
 * @context: as given to bts_rounds_tick()
 * @worker: the worker
 */
typedef void (*bts_round_f) (void *context, bts_worker_t *worker);

/**
 * struct bts_rounds_t - state of the rounds
 * @ticks: number of rounds so far
 */
typedef struct
{
  guint ticks;
} bts_rounds_t;

void bts_rounds_tick (bts_rounds_t *rounds, const GPtrArray *workers, bts_round_f visit,
                      void *context);

#endif
