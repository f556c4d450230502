#include "libbamboothread/process/core_private.h"

/*
 * Whether a request is taken or refused at the door. A refusal is cheap, says
 * why with its figures, and says when to come again.
 */

/* A caller may fill a queue up to this many times the room left in it. */
#define CALLER_FACTOR 2
/* Requests that may wait by a route whatever the estimate says. */
#define ALWAYS_ADMITTED 8
#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 60000
#define RETRY_AFTER_USUAL_MS 1000
/* Callers are told times up to this much longer, so that they don't come back at once. */
#define JITTER_PERCENT 50

/* How long a copy of a refused request with a key may still be on its way. */
#define KEY_REFUSED_MS 5000
/* Refused ids that are remembered. */
#define REFUSALS_KEPT 16384

/**
 * bt_admit_init() - nothing refused yet
 * @core: the core
 */
void
bt_admit_init (bt_core_t *core)
{
  core->refusals.until_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  core->refusals.ring_ids = g_new0 (GRefString *, REFUSALS_KEPT);
  core->refusals.ring_until = g_new0 (gint64, REFUSALS_KEPT);
}

/**
 * bt_admit_clear() - forget all refusals
 * @core: the core
 */
void
bt_admit_clear (bt_core_t *core)
{
  g_hash_table_unref (core->refusals.until_by_id);
  for (gsize i = 0; i < REFUSALS_KEPT; i++)
    g_clear_pointer (&core->refusals.ring_ids[i], g_ref_string_release);
  g_free (core->refusals.ring_ids);
  g_free (core->refusals.ring_until);
}

/**
 * bt_admit_note_refused() - remember that a request was refused
 * @core: the core
 * @id: its id
 * @request: the request; with a key it is remembered for a short time only,
 *   for its caller may come again under the same id
 *
 * Its entry may hand it to another data centre now or tell its caller, so that
 * a second copy that is still on its way here must not be taken.
 */
void
bt_admit_note_refused (bt_core_t *core, const char *id, const bt_request_t *request)
{
  bt_refusals_t *refusals = &core->refusals;
  if (bt_admit_was_refused (core, id))
    return;
  gint64 until = request->key != NULL ? core->now + KEY_REFUSED_MS * BT_USEC_PER_MSEC : G_MAXINT64;
  gint64 *known = g_hash_table_lookup (refusals->until_by_id, id);
  if (known != NULL)
    {
      *known = until;
      return;
    }
  gsize at = refusals->n_added++ % REFUSALS_KEPT;
  if (refusals->ring_ids[at] != NULL)
    {
      g_hash_table_remove (refusals->until_by_id, refusals->ring_ids[at]);
      g_ref_string_release (refusals->ring_ids[at]);
    }
  refusals->ring_ids[at] = g_ref_string_new (id);
  refusals->ring_until[at] = until;
  g_hash_table_insert (refusals->until_by_id, refusals->ring_ids[at], &refusals->ring_until[at]);
}

/**
 * bt_admit_was_refused() - whether a request was refused here lately
 * @core: the core
 * @id: its id
 *
 * Return: TRUE if it was.
 */
gboolean
bt_admit_was_refused (const bt_core_t *core, const char *id)
{
  const gint64 *until = g_hash_table_lookup (core->refusals.until_by_id, id);
  return until != NULL && core->now < *until;
}

static guint32
retry_after (bt_core_t *core, gint64 wait_us)
{
  gint64 ms = CLAMP (wait_us / BT_USEC_PER_MSEC, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  gint32 percent = g_rand_int_range (core->rand, 100, 100 + JITTER_PERCENT + 1);
  return (guint32)(ms * percent / 100);
}

static void
refuse (bt_admission_t *verdict, bt_reason_t reason, guint32 retry_after_ms, char *detail)
{
  verdict->reason = reason;
  verdict->retry_after_ms = retry_after_ms;
  verdict->detail = detail;
}

/* Faults that no waiting mends. */
static void
check_possible (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                bt_admission_t *verdict)
{
  const bt_pool_t *pool = bt_tables_pool (core->tables.tables, route->pool);
  if (!bt_pool_in_data_centre (pool, core->data_centre))
    {
      refuse (verdict, BT_REASON_NO_POOL_MEMBER, RETRY_AFTER_USUAL_MS,
              g_strdup_printf ("pool %s has no VM in this data centre", route->pool));
      return;
    }
  if (!bt_place_is_feasible (core, request, pool, (bt_class_t)route->work_class))
    {
      refuse (verdict, BT_REASON_NEVER_FITS, 0,
              g_strdup_printf ("no VM of pool %s is large enough for a task", route->pool));
      return;
    }
  const bt_account_t *account = bt_quota_get_account (core, route->pool, route->team);
  if (!bt_quota_is_feasible (account, request))
    refuse (verdict, BT_REASON_OVER_QUOTA, 0,
            g_strdup_printf ("the whole quota of team %s in pool %s here is too small for it, and "
                             "it may not borrow",
                             route->team, route->pool));
}

static void
check_log (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
           bt_admission_t *verdict)
{
  gboolean needed = bt_request_durable (request) || !route->idempotent;
  if (needed && !core->journal.available && route->on_log_outage == BT_LOG_OUTAGE_REFUSE)
    refuse (verdict, BT_REASON_LOG_UNAVAILABLE, RETRY_AFTER_USUAL_MS,
            g_strdup ("the log is unavailable, and the route's on_log_outage is refuse"));
}

/*
 * Each caller may hold at most a multiple of the room that is left, so that one
 * caller's flood leaves room for the others however many they are.
 */
static void
check_queue (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
             bt_admission_t *verdict)
{
  guint waiting = bt_queue_route_length (core, route->name);
  guint limit = (guint)route->queue_limit;
  guint own = bt_queue_caller_length (core, route->name, request->caller);
  guint room = limit > waiting ? limit - waiting : 0;
  if (room > 0 && own < MAX (CALLER_FACTOR * room, 1))
    return;
  gint64 wait = bt_estimate_wait_us (core, route, request->caller);
  refuse (verdict, BT_REASON_QUEUE_FULL, retry_after (core, MAX (wait / 4, BT_USEC_PER_SEC)),
          g_strdup_printf ("%u wait, %u of them from this caller; queue_limit is %u", waiting, own,
                           limit));
}

static void
check_wait (bt_core_t *core, const bt_route_t *route, const bt_request_t *request, gint64 age_us,
            bt_admission_t *verdict)
{
  gint64 deadline_ms = request->deadline_ms;
  if (deadline_ms == 0 && !bt_request_durable (request))
    deadline_ms = route->deadline_ms;
  if (deadline_ms == 0 || bt_queue_route_length (core, route->name) < ALWAYS_ADMITTED)
    return;
  gint64 left = deadline_ms * BT_USEC_PER_MSEC - age_us;
  gint64 wait = bt_estimate_wait_us (core, route, request->caller);
  if (wait <= left)
    return;
  gint64 over = wait - MAX (left, 0) + bt_estimate_next_end_us (core, route->name);
  refuse (verdict, BT_REASON_WAIT_TOO_LONG, retry_after (core, over),
          g_strdup_printf ("it would wait about %.1f s, and its deadline is in %.1f s",
                           (double)wait / BT_USEC_PER_SEC, (double)left / BT_USEC_PER_SEC));
}

/**
 * bt_admit_check() - whether a request is taken
 * @core: the core
 * @route: its route
 * @request: the request
 * @age_us: time since its caller asked, in microseconds
 * @verdict: filled in; its detail is to be freed
 */
void
bt_admit_check (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                gint64 age_us, bt_admission_t *verdict)
{
  *verdict = (bt_admission_t){ .reason = BT_REASON_NONE };
  check_possible (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_log (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_queue (core, route, request, verdict);
  if (verdict->reason == BT_REASON_NONE)
    check_wait (core, route, request, age_us, verdict);
  if (verdict->reason != BT_REASON_NONE && request->key != NULL)
    verdict->retry_after_ms = MAX (verdict->retry_after_ms, KEY_REFUSED_MS);
}

/**
 * bt_admit_refuse_duplicate() - the verdict on a copy of a request that was refused
 * @verdict: filled in; its detail is to be freed
 */
void
bt_admit_refuse_duplicate (bt_admission_t *verdict)
{
  refuse (verdict, BT_REASON_QUEUE_FULL, KEY_REFUSED_MS,
          g_strdup ("an earlier copy of it was refused"));
}

/**
 * bt_admit_retry_after_ms() - when a caller whose job was not run may come again
 * @core: the core
 * @job: the job
 *
 * Return: milliseconds.
 */
guint32
bt_admit_retry_after_ms (bt_core_t *core, const bt_job_t *job)
{
  const bt_route_t *route
      = job->route != NULL ? bt_tables_route (core->tables.tables, job->route) : NULL;
  if (route == NULL || job->request == NULL)
    return RETRY_AFTER_USUAL_MS;
  gint64 wait = bt_estimate_wait_us (core, route, job->request->caller);
  return retry_after (core, MAX (wait, BT_USEC_PER_SEC));
}
