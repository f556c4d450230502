#include "libbamboothread/base/clock.h"

#include <time.h>

/**
 * bt_clock_init() - initialize a running clock
 * @clock: the clock
 */
void
bt_clock_init (bt_clock_t *clock)
{
  clock->is_paused = FALSE;
  clock->now_us = 0;
}

/**
 * bt_clock_init_paused() - initialize a clock that changes only in bt_clock_advance()
 * @clock: the clock
 * @now_us: its initial time, in microseconds
 */
void
bt_clock_init_paused (bt_clock_t *clock, gint64 now_us)
{
  clock->is_paused = TRUE;
  clock->now_us = now_us;
}

/**
 * bt_clock_now() - get the current time
 * @clock: the clock
 *
 * Return: monotonic time in microseconds. It includes the time that the machine was
 * suspended, since leases go on expiring at the workers that granted them.
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
 * @by_us: time to add, in microseconds; not negative
 */
void
bt_clock_advance (bt_clock_t *clock, gint64 by_us)
{
  g_return_if_fail (clock->is_paused && by_us >= 0);
  clock->now_us += by_us;
}
