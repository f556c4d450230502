#include "libbamboothread/scheduler/call_share.h"

#include <math.h>

/* Time constant with which the use of calls is forgotten, in microseconds: a few calls of the
   longest kind. */
#define WINDOW_US (2000 * 1000)
/* Processes kept for short calls, for each process that they have kept busy: a call that comes in
   finds one of them free nearly always. */
#define KEPT_FACTOR 3
/* Use of processes by short calls below which none is kept for them. */
#define SHORT_USE_MIN 0.001

/**
 * struct bts_call_share_t - use of calls, all of it forgotten with %WINDOW_US
 * @short_us: time that short calls have taken
 * @updated_us: until when the use was forgotten
 * @began_us: since when this process has made the requests
 */
struct bts_call_share_t
{
  double short_us;
  gint64 updated_us;
  gint64 began_us;
};

bts_call_share_t *
bts_call_share_new (void)
{
  return g_new0 (bts_call_share_t, 1);
}

void
bts_call_share_free (bts_call_share_t *share)
{
  g_free (share);
}

/**
 * bts_call_share_begin_term() - forget all use
 * @share: the share
 * @now_us: the time
 */
void
bts_call_share_begin_term (bts_call_share_t *share, gint64 now_us)
{
  share->short_us = 0;
  share->updated_us = now_us;
  share->began_us = now_us;
}

static void
forget (bts_call_share_t *share, gint64 now_us)
{
  if (now_us <= share->updated_us)
    return;
  double left = exp (-(double)(now_us - share->updated_us) / WINDOW_US);
  share->updated_us = now_us;
  share->short_us *= left;
}

/**
 * bts_call_share_charge() - count a short call
 * @share: the share
 * @duration_us: its expected duration
 * @now_us: the time
 */
void
bts_call_share_charge (bts_call_share_t *share, gint64 duration_us, gint64 now_us)
{
  forget (share, now_us);
  share->short_us += (double)duration_us;
}

/**
 * bts_call_share_count_kept() - how many processes are kept for short calls
 * @share: the share
 * @n_processes: number of processes that make calls
 * @now_us: the time
 *
 * Return: at most half of them; half at the beginning of a term, while the use isn't known.
 */
guint
bts_call_share_count_kept (bts_call_share_t *share, guint n_processes, gint64 now_us)
{
  forget (share, now_us);
  guint most = n_processes / 2;
  if (now_us - share->began_us < WINDOW_US)
    return most;
  double n_busy = share->short_us / WINDOW_US;
  return n_busy < SHORT_USE_MIN ? 0 : MIN ((guint)ceil (n_busy * KEPT_FACTOR), most);
}

/**
 * bts_call_share_is_kept() - whether a process is kept for short calls
 * @index: its place among the processes in a fixed order
 * @n_kept: how many are kept
 * @n_processes: number of processes
 *
 * Return: TRUE for @n_kept of the places, spread evenly.
 */
gboolean
bts_call_share_is_kept (guint index, guint n_kept, guint n_processes)
{
  return (index + 1) * n_kept / n_processes > index * n_kept / n_processes;
}
