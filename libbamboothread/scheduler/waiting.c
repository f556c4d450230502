#include "libbamboothread/scheduler/waiting.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/order.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/quota.h"

/* By bts_waiting_cause_t. The gauges follow in the same order. */
static const char *const cause_names[]
    = { "paused",      "quota",         "advice-quota", "leases", "crash", "gang", "backoff",
        "advice-call", "advice-queued", "spec",         "ticket", "room",  "slot", "turn" };

G_STATIC_ASSERT (G_N_ELEMENTS (cause_names) == BTS_N_WAITING_CAUSES);
G_STATIC_ASSERT (BT_GAUGE_WAITING_TURN - BT_GAUGE_WAITING_PAUSED + 1 == BTS_N_WAITING_CAUSES);

/**
 * struct wait_t - a stage that has waited for long
 */
typedef struct
{
  const bts_stage_t *stage;
  bts_waiting_cause_t cause;
} wait_t;

/**
 * struct service_count_t - number of such stages of a service
 * @service: the service, interned
 */
typedef struct
{
  const char *service;
  guint n;
} service_count_t;

/**
 * bts_waiting_cause_name() - the name of a cause in log lines and metrics
 * @cause: the cause
 */
const char *
bts_waiting_cause_name (bts_waiting_cause_t cause)
{
  return cause_names[cause];
}

static gboolean
needs_advice (const bts_stage_t *stage)
{
  return bts_stage_policy (stage)->advised && stage->advice == NULL;
}

/* Whether the stages ahead of its tenant leave no quota to use the advice that it needs. A stage
   whose request waits isn't held back, and its own demand may be counted already. */
static gboolean
is_advice_held_back (const bts_stage_t *stage, const bts_waiting_view_t *view)
{
  return needs_advice (stage) && stage->advice_asked_us == 0 && stage->advice_wanted_us == 0
         && !bts_usage_may_ask (view->usage, stage->job->account, bts_stage_step (stage),
                                stage->n_tasks, bts_quota_kind (stage));
}

/* Sets the cause for which none of the pending tasks of a stage may be started; a gang waits for
   each of its tasks. Returns FALSE if there is none. */
static gboolean
find_blocked (const bts_stage_t *stage, const bts_waiting_view_t *view, bts_waiting_cause_t *cause)
{
  gboolean gang = bts_stage_step (stage)->gang;
  gboolean found = FALSE;
  bts_task_t untouched;
  for (guint i = 0; i < stage->n_tasks; i++)
    {
      const bts_task_t *task = bts_stage_view_task (stage, i, &untouched);
      if (!bts_task_is_pending (task))
        continue;
      gboolean is_crash = bts_crash_is_waiting (task, view->now_us);
      gboolean is_blocked = is_crash || view->may_run_unlisted (view->context, task);
      if (is_blocked && !found)
        *cause = is_crash ? BTS_WAITING_CRASH : BTS_WAITING_LEASES;
      found = found || is_blocked;
      if (is_blocked == gang)
        return gang;
    }
  return found;
}

/* Whether tasks of a stage, or its whole gang, would fit on the workers that it may use if it had
   valid tickets for all of them. */
static gboolean
lacks_ticket (const bts_stage_t *stage, const bts_waiting_view_t *view)
{
  if (!bts_stage_policy (stage)->advised || stage->advice == NULL)
    return FALSE;
  const Bts__Step *step = bts_stage_step (stage);
  guint64 needed = step->gang ? stage->n_tasks : 1;
  guint64 n_fitting = 0;
  guint64 n_with_ticket = 0;
  const GArray *allowed = stage->advice->allowed;
  for (guint i = 0; i < allowed->len; i++)
    {
      guint number = g_array_index (allowed, bts_ticket_t, i).worker;
      const bts_worker_t *worker = bts_fleet_worker (view->fleet, number);
      if (worker == NULL || bts_place_check (worker, stage, view->now_us) != BTS_PLACE_OK)
        continue;
      guint n = bts_place_count_startable (worker, &worker->used, 0, stage);
      n_fitting += n;
      n_with_ticket += bts_stage_valid_ticket (stage, number, view->now_us) != NULL ? n : 0;
    }
  return n_fitting >= needed && n_with_ticket < needed;
}

/* Whether no worker that a stage may use has room for it, but for one without a slot for a run. */
static gboolean
lacks_slot (const bts_stage_t *stage, const bts_waiting_view_t *view)
{
  gboolean found = FALSE;
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, view->fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      bts_place_result_t result = bts_place_check (worker, stage, view->now_us);
      if (result == BTS_PLACE_OK)
        return FALSE;
      found = found || result == BTS_PLACE_NO_SLOT;
    }
  return found;
}

/**
 * bts_waiting_find_cause() - what a stage waits for now
 * @stage: a stage of the queue with pending tasks
 * @view: what that depends on
 *
 * Return: the first thing that keeps its tasks from being started.
 */
bts_waiting_cause_t
bts_waiting_find_cause (const bts_stage_t *stage, const bts_waiting_view_t *view)
{
  bts_waiting_cause_t blocked;
  if (view->paused != NULL)
    return BTS_WAITING_PAUSED;
  if (stage->quota_since_us != 0)
    return BTS_WAITING_QUOTA;
  if (is_advice_held_back (stage, view))
    return BTS_WAITING_ADVICE_QUOTA;
  if (find_blocked (stage, view, &blocked))
    return blocked;
  if (bts_stage_step (stage)->gang && bts_stage_count_pending (stage) < stage->n_tasks)
    return BTS_WAITING_GANG;
  if (view->now_us < stage->backoff_until_us)
    return BTS_WAITING_BACKOFF;
  if (needs_advice (stage))
    return stage->advice_asked_us != 0 ? BTS_WAITING_ADVICE_CALL : BTS_WAITING_ADVICE_QUEUED;
  if (!bts_job_has_spec (stage->job))
    return BTS_WAITING_SPEC;
  if (stage->advice_wanted_us != 0)
    return BTS_WAITING_ADVICE_QUEUED;
  if (!stage->lacks_room)
    return BTS_WAITING_TURN;
  if (lacks_ticket (stage, view))
    return BTS_WAITING_TICKET;
  return lacks_slot (stage, view) ? BTS_WAITING_SLOT : BTS_WAITING_ROOM;
}

/* Longest waits first; stages whose result is of no use any more come last, as there may be
   hundreds of them. */
static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  const bts_stage_t *left = ((const wait_t *)a)->stage;
  const bts_stage_t *right = ((const wait_t *)b)->stage;
  gboolean is_obsolete = left->band == BTS_BAND_OBSOLETE;
  if (is_obsolete != (right->band == BTS_BAND_OBSOLETE))
    return is_obsolete ? 1 : -1;
  return left->waiting_since_us < right->waiting_since_us
             ? -1
             : left->waiting_since_us > right->waiting_since_us;
}

static gint
compare_counts (gconstpointer a, gconstpointer b)
{
  guint left = ((const service_count_t *)a)->n;
  guint right = ((const service_count_t *)b)->n;
  return left > right ? -1 : left < right;
}

static void
count_service (GArray *services, const char *service)
{
  for (guint i = 0; i < services->len; i++)
    {
      service_count_t *count = &g_array_index (services, service_count_t, i);
      if (count->service == service)
        {
          count->n++;
          return;
        }
    }
  service_count_t count = { service, 1 };
  g_array_append_val (services, count);
}

/* Finds the stages that have waited for long, and the longest wait of all. */
static void
collect (bts_waiting_t *waiting, const bts_waiting_view_t *view, GArray *waits)
{
  for (guint i = 0; i < view->queue->len; i++)
    {
      const bts_stage_t *stage = view->queue->pdata[i];
      if (stage->waiting_since_us == 0 || bts_job_has_ended (stage->job)
          || bts_stage_count_pending (stage) == 0)
        continue;
      gint64 waited_us = view->now_us - stage->waiting_since_us;
      waiting->longest_us = MAX (waiting->longest_us, waited_us);
      if (waited_us < BTS_WAITING_LONG_US)
        continue;
      wait_t wait = { stage, bts_waiting_find_cause (stage, view) };
      waiting->n_long[wait.cause]++;
      g_array_append_val (waits, wait);
    }
}

/* Workers that a stage may use, busy or not. */
static guint
count_allowed (const bts_stage_t *stage, const bts_fleet_t *fleet)
{
  if (bts_stage_policy (stage)->advised)
    return stage->advice == NULL ? 0 : stage->advice->allowed->len;
  const GPtrArray *pool = bts_fleet_pool (fleet, stage->job->service);
  guint n = 0;
  for (guint i = 0; i < pool->len; i++)
    n += bts_place_matches (pool->pdata[i], stage);
  return n;
}

static void
log_wait (const wait_t *wait, const bts_waiting_view_t *view)
{
  const bts_stage_t *stage = wait->stage;
  bt_log (BT_LOG_INFO, "waiting",
          "job=%s occurrence=%u step=%u cause=%s waited_ms=%" G_GINT64_FORMAT
          " age_ms=%" G_GINT64_FORMAT " pending=%u band=%s service=%s advice=%d allowed=%u",
          bts_job_id (stage->job), stage->occurrence, stage->step,
          bts_waiting_cause_name (wait->cause), (view->now_us - stage->waiting_since_us) / 1000,
          (view->now_us - stage->job->folded_us) / 1000, bts_stage_count_pending (stage),
          bts_band_name (stage->band), stage->job->service, !needs_advice (stage),
          count_allowed (stage, view->fleet));
}

static void
log_longest (GArray *waits, const bts_waiting_view_t *view)
{
  guint n_lines = 0;
  guint n_of_cause[BTS_N_WAITING_CAUSES] = { 0 };
  g_array_sort (waits, compare_waits);
  for (guint i = 0; i < waits->len && n_lines < BTS_WAITING_LINES_MAX; i++)
    {
      const wait_t *wait = &g_array_index (waits, wait_t, i);
      if (n_of_cause[wait->cause]++ >= BTS_WAITING_LINES_PER_CAUSE_MAX)
        continue;
      log_wait (wait, view);
      n_lines++;
    }
}

static void
append_count (GString *text, const char *name, guint n)
{
  g_string_append_printf (text, "%s%s:%u", text->len == 0 ? "" : ",", name, n);
}

static void
log_counts (const bts_waiting_t *waiting, const GArray *waits)
{
  g_autoptr (GString) causes = g_string_new (NULL);
  for (guint i = 0; i < BTS_N_WAITING_CAUSES; i++)
    if (waiting->n_long[i] > 0)
      append_count (causes, cause_names[i], waiting->n_long[i]);
  g_autoptr (GArray) services = g_array_new (FALSE, FALSE, sizeof (service_count_t));
  for (guint i = 0; i < waits->len; i++)
    count_service (services, g_array_index (waits, wait_t, i).stage->job->service);
  g_array_sort (services, compare_counts);
  g_autoptr (GString) named = g_string_new (NULL);
  guint n_other = waits->len;
  for (guint i = 0; i < MIN (services->len, BTS_WAITING_SERVICES_MAX); i++)
    {
      const service_count_t *count = &g_array_index (services, service_count_t, i);
      append_count (named, count->service, count->n);
      n_other -= count->n;
    }
  bt_log (BT_LOG_INFO, "waits",
          "stages=%u longest_ms=%" G_GINT64_FORMAT " causes=%s services=%s other_services=%u",
          waits->len, waiting->longest_us / 1000, causes->str, named->str, n_other);
}

/**
 * bts_waiting_reset() - forget the last report, of an earlier term
 * @waiting: the last report
 * @now_us: the time
 */
void
bts_waiting_reset (bts_waiting_t *waiting, gint64 now_us)
{
  *waiting = (bts_waiting_t){ .next_us = now_us + BTS_WAITING_INTERVAL_US };
}

/**
 * bts_waiting_is_due() - whether bts_waiting_report() is to be called
 * @waiting: the last report
 * @now_us: the time
 */
gboolean
bts_waiting_is_due (const bts_waiting_t *waiting, gint64 now_us)
{
  return now_us >= waiting->next_us;
}

/**
 * bts_waiting_report() - write which stages have waited for long, and for what
 * @waiting: the last report
 * @view: what the causes depend on
 */
void
bts_waiting_report (bts_waiting_t *waiting, const bts_waiting_view_t *view)
{
  g_autoptr (GArray) waits = g_array_new (FALSE, FALSE, sizeof (wait_t));
  bts_waiting_reset (waiting, view->now_us);
  collect (waiting, view, waits);
  if (waits->len == 0)
    return;
  log_longest (waits, view);
  log_counts (waiting, waits);
}

/**
 * bts_waiting_update_gauges() - set the gauges of waits
 * @waiting: the last report, or NULL if this process isn't the owner
 */
void
bts_waiting_update_gauges (const bts_waiting_t *waiting)
{
  for (guint i = 0; i < BTS_N_WAITING_CAUSES; i++)
    bt_metrics_set ((bt_gauge_t)(BT_GAUGE_WAITING_PAUSED + i),
                    waiting == NULL ? 0 : waiting->n_long[i]);
  bt_metrics_set (BT_GAUGE_LONGEST_WAIT_MS, waiting == NULL ? 0 : waiting->longest_us / 1000);
}
