#include "libbamboothread/scheduler/poll.h"

/* How long a worker may delay its reply to a hold until a run ends, in milliseconds. While the
   reply to a lost hold is awaited, ends on the worker go unnoticed, so this is below the slack of
   urgent jobs. */
#define WAIT_SHORT_MS 400
/* The same where neither urgent nor long-running runs are at work, and for an owner of many
   workers, whose processor is for the most part taken by holds. */
#define WAIT_LONG_MS 1000
#define MANY_WORKERS 400
/* Time from a reply to the next hold on such a worker, in microseconds: ends that follow each other
   closely share one reply. A tenth of the shortest time that other work takes. */
#define PAUSE_US (400 * 1000)

/* Whether the worker is asked as often as possible: somebody waits for the end of an urgent run,
   and a long-running one must outlive a silence of the worker that is almost as long as its lease.
 */
static gboolean
is_frequent (const bts_poll_state_t *state)
{
  return state->has_urgent || state->has_long_running;
}

/**
 * bts_poll_wait_ms() - how long a worker may delay its reply to a hold until a run ends
 * @state: state of the worker
 *
 * Return: the time in milliseconds.
 */
guint
bts_poll_wait_ms (const bts_poll_state_t *state)
{
  return is_frequent (state) && state->n_workers <= MANY_WORKERS ? WAIT_SHORT_MS : WAIT_LONG_MS;
}

/**
 * bts_poll_pause_us() - time from a reply to the next hold
 * @state: state of the worker
 *
 * There is none while tasks wait for the room that an end would free.
 *
 * Return: the time in microseconds.
 */
gint64
bts_poll_pause_us (const bts_poll_state_t *state)
{
  return is_frequent (state) || state->lacks_room ? 0 : PAUSE_US;
}
