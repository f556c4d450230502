#ifndef BTS_READ_WINDOW_H
#define BTS_READ_WINDOW_H

#include <glib.h>

/*
 * How much of a log one read asks for, and when the next read is sent, while a process catches up.
 * All processes of a region may catch up at once over one link, and small messages cross the same
 * link.
 */

/* Largest amount that a read asks for, in KB. */
#define BTS_READ_WINDOW_MAX_KB 128

/**
 * struct bts_read_window_t - what one process has on the way
 * @kb: amount that the next read asks for, in KB
 * @pause_us: time between the last reply and the next read
 */
typedef struct
{
  guint kb;
  gint64 pause_us;
} bts_read_window_t;

void bts_read_window_init (bts_read_window_t *window);
void bts_read_window_on_reply (bts_read_window_t *window, gint64 begin_us);
void bts_read_window_on_caught_up (bts_read_window_t *window);
guint bts_read_window_kb (const bts_read_window_t *window);
gint64 bts_read_window_pause_us (const bts_read_window_t *window);

#endif
