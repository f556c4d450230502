#include "libbamboothread/scheduler/rounds.h"

/* A worker with a hold in flight is examined in each such round only: there is nothing to send to
   it but stop orders to repeat. */
#define BUSY_WORKER_TICKS 5
/* Most workers to which a round sends the first hold of a term: the replies to hundreds at once
   would come in faster than they can be handled, and run into the time limit of their calls. */
#define FIRST_HOLDS_PER_TICK 20

/**
 * bts_rounds_tick() - visit the workers
 * @rounds: the state
 * @workers: bts_worker_t by number; NULL for those that were removed
 * @visit: called for each worker that is to be visited in this round
 * @context: passed to @visit
 */
void
bts_rounds_tick (bts_rounds_t *rounds, const GPtrArray *workers, bts_round_f visit, void *context)
{
  guint n_first_holds = 0;
  rounds->ticks++;
  for (guint i = 0; i < workers->len; i++)
    {
      bts_worker_t *worker = workers->pdata[i];
      if (worker == NULL
          || (worker->hold_in_flight && (rounds->ticks + i) % BUSY_WORKER_TICKS != 0))
        continue;
      if (!worker->synced && !worker->hold_in_flight && n_first_holds >= FIRST_HOLDS_PER_TICK)
        continue;
      gboolean was_in_flight = worker->hold_in_flight;
      visit (context, worker);
      n_first_holds += !worker->synced && worker->hold_in_flight && !was_in_flight;
    }
}
