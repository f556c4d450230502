#include "libbamboothread/scheduler/rounds.h"

/* A worker with a hold in flight is examined in each such round only: there is nothing to send to
   it but stop orders to repeat. */
#define BUSY_WORKER_TICKS 5
/* Most workers to which a round sends the first hold of a term: the replies to hundreds at once
   would come in faster than they can be handled, and run into the time limit of their calls. */
#define FIRST_HOLDS_PER_TICK 20

/* Workers that leave come first, with the least time left ahead: what has ended on them and wasn't
   listed goes with them. A leaving worker that doesn't say how much time it has left may have
   none. */
static gint
compare_first_holds (gconstpointer a, gconstpointer b)
{
  const bts_worker_t *left = *(bts_worker_t *const *)a;
  const bts_worker_t *right = *(bts_worker_t *const *)b;
  if (left->entry->draining != right->entry->draining)
    return left->entry->draining ? -1 : 1;
  if (left->entry->draining && left->entry->remaining_ms != right->entry->remaining_ms)
    return left->entry->remaining_ms < right->entry->remaining_ms ? -1 : 1;
  return left->number < right->number ? -1 : left->number > right->number;
}

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
  g_autoptr (GPtrArray) unlisted = g_ptr_array_new ();
  rounds->ticks++;
  for (guint i = 0; i < workers->len; i++)
    {
      bts_worker_t *worker = workers->pdata[i];
      if (worker == NULL
          || (worker->hold_in_flight && (rounds->ticks + i) % BUSY_WORKER_TICKS != 0))
        continue;
      if (!worker->synced && !worker->hold_in_flight)
        g_ptr_array_add (unlisted, worker);
      else
        visit (context, worker);
    }
  g_ptr_array_sort (unlisted, compare_first_holds);
  guint n_first_holds = 0;
  for (guint i = 0; i < unlisted->len && n_first_holds < FIRST_HOLDS_PER_TICK; i++)
    {
      bts_worker_t *worker = unlisted->pdata[i];
      visit (context, worker);
      n_first_holds += worker->hold_in_flight;
    }
}
