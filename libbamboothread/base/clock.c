#include "libbamboothread/base/clock.h"

#include <time.h>

/**
 * bt_clock_init() - set up a running clock
 * @clock: the clock
 */
void
bt_clock_init (bt_clock_t *clock)
{
  clock->is_paused = FALSE;
  clock->now_us = 0;
}

/**
 * bt_clock_init_paused() - set up a clock that only bt_clock_advance() moves
 * @clock: the clock
 * @now_us: the time it shows, in microseconds
 */
void
bt_clock_init_paused (bt_clock_t *clock, gint64 now_us)
{
  clock->is_paused = TRUE;
  clock->now_us = now_us;
}

/**
 * bt_clock_now() - the time
 * @clock: the clock
 *
 * Return: steady time in microseconds. It goes on while the machine is suspended, as
 * leases do at those who granted them.
 */
gint64
bt_clock_now (const bt_clock_t *clock)
{
  if (clock->is_paused)
    return clock->now_us;
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64)now.tv_sec * BT_USEC_PER_SEC + now.tv_nsec / 1000;
}

/**
 * bt_clock_advance() - move a paused clock forward
 * @clock: a paused clock
 * @by_us: by how much, in microseconds; not negative
 */
void
bt_clock_advance (bt_clock_t *clock, gint64 by_us)
{
  g_return_if_fail (clock->is_paused && by_us >= 0);
  clock->now_us += by_us;
}
