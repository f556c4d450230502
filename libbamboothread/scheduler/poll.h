#ifndef BTS_POLL_H
#define BTS_POLL_H

#include <glib.h>

/*
 * How often a worker is asked for its lists of runs. Each hold order is a call to the worker, and
 * replies as soon as a run ends there.
 */

/**
 * struct bts_poll_state_t - what the pace of a worker's holds depends on
 * @has_urgent: an urgent run is at work there
 * @has_long_running: a long-running run is at work there
 * @lacks_room: tasks wait for room on the workers of its service
 * @n_workers: number of workers of the owner
 */
typedef struct
{
  gboolean has_urgent;
  gboolean has_long_running;
  gboolean lacks_room;
  guint n_workers;
} bts_poll_state_t;

guint bts_poll_wait_ms (const bts_poll_state_t *state);
gint64 bts_poll_pause_us (const bts_poll_state_t *state);

#endif
