#include "libbamboothread/process/core_private.h"

/*
 * Admission control: whether a request is admitted or refused. A refusal costs
 * little, and tells the caller the reason with its figures and when to retry.
 */

/* A caller may have this many times as many requests in a queue as it has free places. */
#define CALLER_QUEUE_FACTOR 2
/* With fewer queued requests on a route, its estimated wait is not compared with the deadline. */
#define WAIT_CHECK_MIN_QUEUED 8
#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 60000
#define RETRY_AFTER_DEFAULT_MS 1000
/* Maximum random increase of retry_after_ms, so that callers don't all retry at once. */
#define RETRY_AFTER_JITTER_PERCENT 50

/* How long a duplicate of a refused request with a key may still be in flight. */
#define KEYED_REFUSAL_MS 5000
/* Maximum number of refused ids that are remembered. */
#define REFUSALS_MAX 16384

/**
 * bt_admit_init() - initialise an empty list of refusals
 * @core: the core
 */
void
bt_admit_init (bt_core_t *core)
{
  core->refusals.until_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  core->refusals.ring_ids = g_new0 (GRefString *, REFUSALS_MAX);
  core->refusals.ring_until = g_new0 (gint64, REFUSALS_MAX);
}

/**
 * bt_admit_clear() - free the list of refusals
 * @core: the core
 */
void
bt_admit_clear (bt_core_t *core)
{
  g_hash_table_unref (core->refusals.until_by_id);
  for (gsize i = 0; i < REFUSALS_MAX; i++)
    g_clear_pointer (&core->refusals.ring_ids[i], g_ref_string_release);
  g_free (core->refusals.ring_ids);
  g_free (core->refusals.ring_until);
}

/**
 * bt_admit_note_refused() - remember that a request was refused
 * @core: the core
 * @id: id of its job
 * @request: the request; one with a key is remembered for a short time only,
 *   since its caller may retry under the same id
 *
 * After a refusal, the daemon that the caller reached may forward the request
 * to another data centre or answer the caller, so a duplicate that is still in
 * flight to this daemon must not be admitted.
 */
void
bt_admit_note_refused (bt_core_t *core, const char *id, const bt_request_t *request)
{
  bt_refusals_t *refusals = &core->refusals;
  if (bt_admit_was_refused (core, id))
    return;
  gint64 until
      = request->key != NULL ? core->now + KEYED_REFUSAL_MS * BT_USEC_PER_MSEC : G_MAXINT64;
  gint64 *known_until = g_hash_table_lookup (refusals->until_by_id, id);
  if (known_until != NULL)
    {
      *known_until = until;
      return;
    }
  gsize slot = refusals->n_added++ % REFUSALS_MAX;
  if (refusals->ring_ids[slot] != NULL)
    {
      g_hash_table_remove (refusals->until_by_id, refusals->ring_ids[slot]);
      g_ref_string_release (refusals->ring_ids[slot]);
    }
  refusals->ring_ids[slot] = g_ref_string_new (id);
  refusals->ring_until[slot] = until;
  g_hash_table_insert (refusals->until_by_id, refusals->ring_ids[slot],
                       &refusals->ring_until[slot]);
}

/**
 * bt_admit_was_refused() - whether this daemon refused a request recently
 * @core: the core
 * @id: id of its job
 *
 * Return: TRUE if the refusal is still remembered.
 */
gboolean
bt_admit_was_refused (const bt_core_t *core, const char *id)
{
  const gint64 *until = g_hash_table_lookup (core->refusals.until_by_id, id);
  return until != NULL && core->now < *until;
}

static guint32
jittered_retry_after_ms (bt_core_t *core, gint64 wait_us)
{
  gint64 ms = CLAMP (wait_us / BT_USEC_PER_MSEC, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  gint32 percent = g_rand_int_range (core->rand, 100, 100 + RETRY_AFTER_JITTER_PERCENT + 1);
  return (guint32)(ms * percent / 100);
}

static void
set_refusal (bt_admission_t *verdict, bt_reason_t reason, guint32 retry_after_ms, char *detail)
{
  verdict->reason = reason;
  verdict->retry_after_ms = retry_after_ms;
  verdict->detail = detail;
}

/* Refuses a request that could not run here even if nothing else were running. */
static void
check_feasible (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                bt_admission_t *verdict)
{
  const bt_pool_t *pool = bt_tables_find_pool (core->tables.tables, route->pool);
  if (!bt_pool_in_data_centre (pool, core->data_centre))
    {
      set_refusal (verdict, BT_REASON_NO_POOL_MEMBER, RETRY_AFTER_DEFAULT_MS,
                   g_strdup_printf ("pool %s has no VM in this data centre", route->pool));
      return;
    }
  if (!bt_place_is_feasible (core, request, pool, (bt_class_t)route->work_class))
    {
      set_refusal (verdict, BT_REASON_NEVER_FITS, 0,
                   g_strdup_printf ("no VM of pool %s is large enough for a task", route->pool));
      return;
    }
  const bt_account_t *account = bt_quota_get_account (core, route->pool, route->team);
  if (!bt_quota_is_feasible (account, request))
    set_refusal (
        verdict, BT_REASON_OVER_QUOTA, 0,
        g_strdup_printf ("the quota of team %s in pool %s in this data centre is too small for the "
                         "request, and the team may not borrow",
                         route->team, route->pool));
}

static void
check_log_available (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                     bt_admission_t *verdict)
{
  gboolean needs_log = bt_request_is_durable (request) || !route->idempotent;
  if (needs_log && !core->journal.available && route->on_log_outage == BT_LOG_OUTAGE_REFUSE)
    set_refusal (verdict, BT_REASON_LOG_UNAVAILABLE, RETRY_AFTER_DEFAULT_MS,
                 g_strdup ("the log is unavailable, and on_log_outage of the route is refuse"));
}

/*
 * Dynamic threshold: each caller may have at most CALLER_QUEUE_FACTOR times as
 * many requests in the queue as there are free places, so that one caller's
 * burst leaves free places for the others, however many they are.
 */
static void
check_queue_limit (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                   bt_admission_t *verdict)
{
  guint queued = bt_queue_route_length (core, route->name);
  guint limit = (guint)route->queue_limit;
  guint from_caller = bt_queue_caller_length (core, route->name, request->caller);
  guint free_places = limit > queued ? limit - queued : 0;
  if (free_places > 0 && from_caller < MAX (CALLER_QUEUE_FACTOR * free_places, 1))
    return;
  gint64 wait_us = bt_estimate_wait_us (core, route, request->caller);
  set_refusal (
      verdict, BT_REASON_QUEUE_FULL,
      jittered_retry_after_ms (core, MAX (wait_us / 4, BT_USEC_PER_SEC)),
      g_strdup_printf ("%u requests are queued, %u of them from this caller; queue_limit is %u",
                       queued, from_caller, limit));
}

static void
check_deadline (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                gint64 age_us, bt_admission_t *verdict)
{
  gint64 deadline_ms = request->deadline_ms;
  if (deadline_ms == 0 && !bt_request_is_durable (request))
    deadline_ms = route->deadline_ms;
  if (deadline_ms == 0 || bt_queue_route_length (core, route->name) < WAIT_CHECK_MIN_QUEUED)
    return;
  gint64 left_us = deadline_ms * BT_USEC_PER_MSEC - age_us;
  gint64 wait_us = bt_estimate_wait_us (core, route, request->caller);
  if (wait_us <= left_us)
    return;
  gint64 excess_us = wait_us - MAX (left_us, 0) + bt_estimate_next_end_us (core, route->name);
  set_refusal (verdict, BT_REASON_WAIT_TOO_LONG, jittered_retry_after_ms (core, excess_us),
               g_strdup_printf ("the estimated wait is %.1f s, but the deadline is in %.1f s",
                                (double)wait_us / BT_USEC_PER_SEC,
                                (double)left_us / BT_USEC_PER_SEC));
}

/**
 * bt_admit_check() - decide whether a request is admitted
 * @core: the core
 * @route: its route
 * @request: the request
 * @age_us: time since its caller submitted it, in microseconds
 * @verdict: filled in; free its detail with g_free()
 */
void
bt_admit_check (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                gint64 age_us, bt_admission_t *verdict)
{
  *verdict = (bt_admission_t){ .reason = BT_REASON_NONE };
  check_feasible (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_log_available (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_queue_limit (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_deadline (core, route, request, age_us, verdict);
  if (verdict->reason != BT_REASON_NONE && request->key != NULL)
    verdict->retry_after_ms = MAX (verdict->retry_after_ms, KEYED_REFUSAL_MS);
}

/**
 * bt_admit_refuse_duplicate() - refuse a duplicate of a refused request
 * @verdict: filled in; free its detail with g_free()
 */
void
bt_admit_refuse_duplicate (bt_admission_t *verdict)
{
  set_refusal (verdict, BT_REASON_QUEUE_FULL, KEYED_REFUSAL_MS,
               g_strdup ("an earlier copy of the request was refused"));
}

/**
 * bt_admit_retry_after_ms() - when the caller of a job that was not run may retry
 * @core: the core
 * @job: the job
 *
 * Return: a time from now in milliseconds.
 */
guint32
bt_admit_retry_after_ms (bt_core_t *core, const bt_job_t *job)
{
  const bt_route_t *route
      = job->route != NULL ? bt_tables_find_route (core->tables.tables, job->route) : NULL;
  if (route == NULL || job->request == NULL)
    return RETRY_AFTER_DEFAULT_MS;
  gint64 wait_us = bt_estimate_wait_us (core, route, job->request->caller);
  return jittered_retry_after_ms (core, MAX (wait_us, BT_USEC_PER_SEC));
}
