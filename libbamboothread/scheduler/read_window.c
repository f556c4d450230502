#include "libbamboothread/scheduler/read_window.h"

/* Amount that the first read asks for, and the smallest one, in KB. */
#define MIN_KB 1
/* Largest amount that a read at the end of the log asks for, in KB: all processes get what is
   appended there at the same moment. */
#define TAIL_KB 16
/* The amount shrinks while replies begin to arrive this much later than over an idle link, in
   microseconds: a fraction of the time that orders to workers and messages between processes are
   given. */
#define QUEUE_TARGET_US (25 * 1000)
/* A queue up to this part of the target doesn't end the doubling: the replies of many readers are
   on the way before the first of them shows it. */
#define PROBE_DIVISOR 4
/* The amount shrinks at most to this part with one reply, and grows by this part without a queue.
 */
#define SHRINK_DIVISOR 2
#define GROW_DIVISOR 3
/* Longest pause between two reads, in microseconds. */
#define PAUSE_MAX_US (400 * 1000)
/* Replies may be late for another reason than the readers, for instance as the store is slow. The
   queue before so many of them in a row then stays the same, but for this part of it, although less
   is asked for each time. */
#define STEADY_REPLIES 3
#define STEADY_DIVISOR 8

/**
 * bts_read_window_init() - begin to read, or begin anew after a failure
 * @window: the state
 */
void
bts_read_window_init (bts_read_window_t *window)
{
  *window = (bts_read_window_t){ .kb = MIN_KB, .is_probing = TRUE };
}

/* The delay counts as that of an idle link from now on. */
static void
raise_base (bts_read_window_t *window, gint64 begin_us)
{
  window->base_us = begin_us;
  window->kb = window->late_kb;
  window->is_probing = TRUE;
  window->pause_us = 0;
  window->n_late = 0;
}

/* At the smallest amount, as much of the time passes without a read as the queue is above the
   target, so that as many readers have a read on the way as the link bears. */
static void
slow_down (bts_read_window_t *window, gint64 begin_us, gint64 queue_us)
{
  gint64 kb = MAX (window->kb * QUEUE_TARGET_US / queue_us, window->kb / SHRINK_DIVISOR);
  window->pause_us
      = window->kb > MIN_KB
            ? 0
            : MIN (begin_us * (queue_us - QUEUE_TARGET_US) / QUEUE_TARGET_US, PAUSE_MAX_US);
  window->kb = (guint)MAX (kb, MIN_KB);
}

static void
on_late_reply (bts_read_window_t *window, gint64 begin_us, gint64 queue_us)
{
  gint64 change_us = ABS (queue_us - window->late_queue_us);
  if (window->n_late == 0 || change_us > window->late_queue_us / STEADY_DIVISOR)
    {
      window->n_late = 0;
      window->late_queue_us = queue_us;
      window->late_kb = window->kb;
    }
  window->n_late++;
  if (window->n_late >= STEADY_REPLIES)
    raise_base (window, begin_us);
  else
    slow_down (window, begin_us, queue_us);
}

static void
speed_up (bts_read_window_t *window)
{
  guint more = window->is_probing ? window->kb : MAX (window->kb / GROW_DIVISOR, 1);
  window->kb = MIN (window->kb + more, BTS_READ_WINDOW_MAX_KB);
  window->pause_us = 0;
  window->n_late = 0;
}

/**
 * bts_read_window_on_reply() - a reply with records that were there has arrived
 * @window: the state
 * @begin_us: time from the read to the first part of the reply, in microseconds
 */
void
bts_read_window_on_reply (bts_read_window_t *window, gint64 begin_us)
{
  if (window->base_us == 0 || begin_us < window->base_us)
    window->base_us = begin_us;
  gint64 queue_us = begin_us - window->base_us;
  window->is_probing = window->is_probing && queue_us <= QUEUE_TARGET_US / PROBE_DIVISOR;
  if (queue_us > QUEUE_TARGET_US)
    on_late_reply (window, begin_us, queue_us);
  else
    speed_up (window);
}

/**
 * bts_read_window_on_empty() - a reply held nothing although the log goes on
 * @window: the state
 *
 * The next record may be larger than what the read asked for.
 */
void
bts_read_window_on_empty (bts_read_window_t *window)
{
  window->kb = MIN (window->kb * 2, BTS_READ_WINDOW_MAX_KB);
}

/**
 * bts_read_window_on_caught_up() - the log was read to its end
 * @window: the state
 */
void
bts_read_window_on_caught_up (bts_read_window_t *window)
{
  window->kb = MIN (window->kb, TAIL_KB);
  window->is_probing = TRUE;
  window->pause_us = 0;
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
