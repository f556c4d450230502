#include "libbamboothread/scheduler/read_window.h"

/**
 * bts_read_window_init() - begin to read, or begin anew after a failure
 * @window: the state
 */
void
bts_read_window_init (bts_read_window_t *window)
{
  *window = (bts_read_window_t){ .kb = BTS_READ_WINDOW_MAX_KB };
}

/**
 * bts_read_window_on_reply() - a reply with records that were there has arrived
 * @window: the state
 * @begin_us: time from the read to the first part of the reply, in microseconds
 */
void
bts_read_window_on_reply (bts_read_window_t *window, gint64 begin_us)
{
}

/**
 * bts_read_window_on_caught_up() - the log was read to its end
 * @window: the state
 */
void
bts_read_window_on_caught_up (bts_read_window_t *window)
{
}

/**
 * bts_read_window_kb() - how much the next read asks for
 * @window: the state
 *
 * Return: the amount in KB.
 */
guint
bts_read_window_kb (const bts_read_window_t *window)
{
  return window->kb;
}

/**
 * bts_read_window_pause_us() - time between the last reply and the next read
 * @window: the state
 */
gint64
bts_read_window_pause_us (const bts_read_window_t *window)
{
  return window->pause_us;
}
