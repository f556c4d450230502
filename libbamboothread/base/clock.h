#ifndef BT_BASE_CLOCK_H
#define BT_BASE_CLOCK_H

#include <glib.h>

#define BT_USEC_PER_MSEC 1000
#define BT_USEC_PER_SEC 1000000

/**
 * struct bt_clock_t - the only source of time in a process
 * @is_paused: whether the clock changes only in bt_clock_advance()
 * @now_us: the time of a paused clock, in microseconds
 *
 * A running clock reads CLOCK_BOOTTIME. Tests use a paused clock to control the
 * time.
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
