#ifndef BT_BASE_CLOCK_H
#define BT_BASE_CLOCK_H

#include <glib.h>

#define BT_USEC_PER_MSEC 1000
#define BT_USEC_PER_SEC 1000000

/**
 * struct bt_clock_t - the one source of time of a process
 *
 * A running clock follows the boot-time clock. A paused clock stands still
 * until bt_clock_advance(), which is how the tests drive time.
 */
typedef struct
{
  gboolean is_paused;
  gint64 now_us;
} bt_clock_t;

void bt_clock_init (bt_clock_t *clock);
void bt_clock_init_paused (bt_clock_t *clock, gint64 now_us);
gint64 bt_clock_now (const bt_clock_t *clock);
void bt_clock_advance (bt_clock_t *clock, gint64 by_us);

#endif
