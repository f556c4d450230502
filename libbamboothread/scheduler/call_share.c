#include "libbamboothread/scheduler/call_share.h"

#include <math.h>

/* Time constant with which the use of calls is forgotten, in microseconds: a few calls of the
   longest kind. */
#define WINDOW_US (2000 * 1000)
/* How long a request that found no process counts as waiting, in microseconds. It is repeated with
   each attempt to place its stage, which are up to 300 ms apart. */
#define WAITING_US (500 * 1000)
/* Part of an equal share of the calls that a service gets at least while its requests wait, in
   percent. The rest goes in the order of the queue, in which urgent work comes first. */
#define LEAST_SHARE_PERCENT 50
/* Processes kept for short calls, for each process that they have kept busy: a call that comes in
   finds one of them free nearly always. */
#define KEPT_FACTOR 3
/* Use of processes by short calls below which none is kept for them. */
#define SHORT_USE_MIN 0.02

/**
 * struct service_t - calls for the workers of one service
 * @name: the service, interned
 * @used_us: time that its calls have taken, as far as it isn't forgotten
 * @waiting_us: when a request for it last found no process
 * @has_waited: whether one ever has
 */
typedef struct
{
  const char *name;
  double used_us;
  gint64 waiting_us;
  gboolean has_waited;
} service_t;

/**
 * struct bts_call_share_t - use of calls, all of it forgotten with %WINDOW_US
 * @services: service_t
 * @short_us: time that short calls have taken
 * @updated_us: until when the use was forgotten
 * @began_us: since when this process has made the requests
 */
struct bts_call_share_t
{
  GArray *services;
  double short_us;
  gint64 updated_us;
  gint64 began_us;
};

bts_call_share_t *
bts_call_share_new (void)
{
  bts_call_share_t *share = g_new0 (bts_call_share_t, 1);
  share->services = g_array_new (FALSE, FALSE, sizeof (service_t));
  return share;
}

void
bts_call_share_free (bts_call_share_t *share)
{
  g_array_unref (share->services);
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
  g_array_set_size (share->services, 0);
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
  for (guint i = 0; i < share->services->len; i++)
    g_array_index (share->services, service_t, i).used_us *= left;
}

static service_t *
ensure_service (bts_call_share_t *share, const char *name)
{
  for (guint i = 0; i < share->services->len; i++)
    {
      service_t *service = &g_array_index (share->services, service_t, i);
      if (service->name == name)
        return service;
    }
  service_t added = { .name = name };
  g_array_append_val (share->services, added);
  return &g_array_index (share->services, service_t, share->services->len - 1);
}

/**
 * bts_call_share_charge() - count a call
 * @share: the share
 * @service: the service for whose workers it is, interned
 * @duration_us: its expected duration
 * @is_short: whether calls for the stage are short
 * @now_us: the time
 */
void
bts_call_share_charge (bts_call_share_t *share, const char *service, gint64 duration_us,
                       gboolean is_short, gint64 now_us)
{
  forget (share, now_us);
  ensure_service (share, service)->used_us += (double)duration_us;
  if (is_short)
    share->short_us += (double)duration_us;
}

/**
 * bts_call_share_wait() - record that a request has found no process
 * @share: the share
 * @service: the service for whose workers it is, interned
 * @now_us: the time
 */
void
bts_call_share_wait (bts_call_share_t *share, const char *service, gint64 now_us)
{
  service_t *entry = ensure_service (share, service);
  entry->waiting_us = now_us;
  entry->has_waited = TRUE;
}

static gboolean
is_waiting (const service_t *service, gint64 now_us)
{
  return service->has_waited && now_us - service->waiting_us < WAITING_US;
}

/**
 * bts_call_share_has_to_yield() - whether requests for other services come first
 * @share: the share
 * @service: the service, interned
 * @now_us: the time
 *
 * In the order of the queue alone, a service whose workers are full would take all calls, since
 * each of its many stages asks about each worker that gets room. The workers of others would stay
 * free.
 *
 * Return: whether requests for another service wait that has had less than its least share, and
 * less than this one: of the services that wait, one never has to yield.
 */
gboolean
bts_call_share_has_to_yield (bts_call_share_t *share, const char *service, gint64 now_us)
{
  forget (share, now_us);
  double own_us = ensure_service (share, service)->used_us;
  double total_us = 0;
  guint n_claims = 0;
  for (guint i = 0; i < share->services->len; i++)
    {
      const service_t *other = &g_array_index (share->services, service_t, i);
      total_us += other->used_us;
      n_claims += other->name == service || is_waiting (other, now_us);
    }
  double bound_us = MIN (own_us, total_us * LEAST_SHARE_PERCENT / 100 / n_claims);
  for (guint i = 0; i < share->services->len; i++)
    {
      const service_t *other = &g_array_index (share->services, service_t, i);
      if (other->name != service && is_waiting (other, now_us) && other->used_us < bound_us)
        return TRUE;
    }
  return FALSE;
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
