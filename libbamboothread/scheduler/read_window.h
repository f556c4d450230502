#ifndef BTS_READ_WINDOW_H
#define BTS_READ_WINDOW_H

#include <glib.h>

/*
 * How much of a log one read asks for, and when the next read is sent, while a process catches up.
 * All processes of a region may catch up at once over one link, and small messages cross the same
 * link. Each process infers the queue before the link from how late its replies begin to arrive,
 * and keeps it short: it asks for more while there is none, and for less, and less often, while
 * there is. None of them has to know the link or how many others read.
 */

/* Largest amount that a read asks for, in KB. */
#define BTS_READ_WINDOW_MAX_KB 128

/**
 * struct bts_read_window_t - what one process has on the way
 * @kb: amount that the next read asks for, in KB
 * @is_probing: no queue has been found yet, so that the amount doubles with each reply
 * @base_us: time until a reply begins to arrive over an idle link; 0 before the first reply
 * @pause_us: time between the last reply and the next read
 * @n_late: replies in a row that were behind a queue
 * @late_queue_us: the queue before the first of them
 * @late_kb: amount that the read of that one had asked for, in KB
 */
typedef struct
{
  guint kb;
  gboolean is_probing;
  gint64 base_us;
  gint64 pause_us;
  guint n_late;
  gint64 late_queue_us;
  guint late_kb;
} bts_read_window_t;

void bts_read_window_init (bts_read_window_t *window);
void bts_read_window_on_reply (bts_read_window_t *window, gint64 begin_us);
void bts_read_window_on_empty (bts_read_window_t *window);
void bts_read_window_on_caught_up (bts_read_window_t *window);
guint bts_read_window_kb (const bts_read_window_t *window);
gint64 bts_read_window_pause_us (const bts_read_window_t *window);

#endif
