#include "libbamboothread/process/core_private.h"

#include <math.h>

/*
 * Estimates of each route's work: run time and use of the declared resources, from the workers'
 * reports, and the rate of starts. They serve to order work, to predict waits and ends, and to
 * refuse requests whose estimated wait is longer than their deadline. No limit on resources is
 * enforced by them, as reports lag and can be wrong.
 */

/* Weight of a new value in a smoothed one. */
#define SMOOTHING 0.2
/* A new value is clamped to the smoothed one divided by and multiplied by this factor. */
#define STEP_FACTOR_MAX 4.0
/* Longer measured run times are taken for errors and ignored; declared ones are cut to this. */
#define RUN_MAX_US (7 * 24 * 3600LL * BT_USEC_PER_SEC)
/* Length of a window in which starts are counted. */
#define WINDOW_US (2 * BT_USEC_PER_SEC)
/* Upper limit of the estimated time until a task of a route ends; the estimate is added to the
   retry delay that a caller is told. */
#define NEXT_END_MAX_US (5 * BT_USEC_PER_SEC)
/* Upper limit of an estimated wait. */
#define WAIT_MAX_US (3600LL * BT_USEC_PER_SEC)
/* Retry budget of a route: the most tokens that it can hold, with which it begins, and those that
   a start adds. */
#define RETRY_TOKENS_MAX 20.0
#define RETRY_TOKENS_PER_START 0.1
/* Factor between the smoothed use and the use that is expected of a task. */
#define USAGE_MARGIN 1.25

static void
route_free (gpointer data)
{
  bt_route_estimate_t *route = data;
  g_ref_string_release (route->name);
  g_free (route);
}

/**
 * bt_estimate_init() - start without estimates
 * @core: the core
 */
void
bt_estimate_init (bt_core_t *core)
{
  core->estimates = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, route_free);
}

/**
 * bt_estimate_clear() - free all estimates
 * @core: the core
 */
void
bt_estimate_clear (bt_core_t *core)
{
  g_hash_table_unref (core->estimates);
}

static bt_route_estimate_t *
ensure_route (bt_core_t *core, const char *name)
{
  bt_route_estimate_t *route = g_hash_table_lookup (core->estimates, name);
  if (route != NULL)
    return route;
  route = g_new0 (bt_route_estimate_t, 1);
  route->name = g_ref_string_new (name);
  route->retry_tokens = RETRY_TOKENS_MAX;
  route->window_began_at = core->now;
  g_hash_table_insert (core->estimates, route->name, route);
  return route;
}

/* Returns the exponential moving average, in logarithms, of the values so far and a new one.
   The new one is clamped, so that one wrong report has little effect. */
static double
smooth (double previous, double value)
{
  if (previous <= 0)
    return value;
  value = CLAMP (value, previous / STEP_FACTOR_MAX, previous * STEP_FACTOR_MAX);
  return exp ((1 - SMOOTHING) * log (previous) + SMOOTHING * log (value));
}

/* Begins a new window if the current one has ended. */
static void
advance_window (const bt_core_t *core, bt_route_estimate_t *route)
{
  gint64 elapsed = core->now - route->window_began_at;
  if (elapsed < WINDOW_US)
    return;
  route->starts[0] = elapsed < 2 * WINDOW_US ? route->starts[1] : 0;
  route->starts[1] = 0;
  route->window_began_at = elapsed < 2 * WINDOW_US ? route->window_began_at + WINDOW_US : core->now;
}

/**
 * bt_estimate_on_task_started() - count the start of a task
 * @core: the core
 * @job: its job
 */
void
bt_estimate_on_task_started (bt_core_t *core, const bt_job_t *job)
{
  if (job->route == NULL)
    return;
  bt_route_estimate_t *route = ensure_route (core, job->route);
  advance_window (core, route);
  route->starts[1]++;
  route->retry_tokens = MIN (route->retry_tokens + RETRY_TOKENS_PER_START, RETRY_TOKENS_MAX);
}

/**
 * bt_estimate_set_backlog() - set whether a route has queued jobs
 * @core: the core
 * @route: the route's name
 * @has_queued: whether it has
 */
void
bt_estimate_set_backlog (bt_core_t *core, const char *route, gboolean has_queued)
{
  bt_route_estimate_t *estimate = ensure_route (core, route);
  if (!has_queued)
    estimate->backlog_since = 0;
  else if (estimate->backlog_since == 0)
    estimate->backlog_since = core->now;
}

/* Computes the ratio of used to declared resources. Returns FALSE if an amount can't be right. */
static gboolean
usage_ratio (gint64 used, gint64 declared, gint64 capacity, double *ratio)
{
  if (declared <= 0 || used <= 0 || used > capacity)
    return FALSE;
  *ratio = (double)used / (double)declared;
  return TRUE;
}

/**
 * bt_estimate_on_usage_report() - update the route's usage ratios from a worker's report
 * @core: the core
 * @attempt: the attempt; ignored if it is not bound to a worker or its job has no route
 * @report: the report; an amount of zero or less, or above the VM's capacity, is ignored
 */
void
bt_estimate_on_usage_report (bt_core_t *core, const bt_attempt_t *attempt,
                             const bt_attempt_report_t *report)
{
  if (attempt->job->route == NULL || attempt->worker == NULL)
    return;
  bt_route_estimate_t *route = ensure_route (core, attempt->job->route);
  const gint64 *need = attempt->need.v;
  const gint64 *capacity = attempt->worker->capacity.v;
  double ratio;
  if (usage_ratio (report->used_mcpus, need[BT_RESOURCE_MCPUS], capacity[BT_RESOURCE_MCPUS],
                   &ratio))
    route->mcpus_ratio = smooth (route->mcpus_ratio, ratio);
  if (usage_ratio (report->used_memory_mb, need[BT_RESOURCE_MEMORY_MB],
                   capacity[BT_RESOURCE_MEMORY_MB], &ratio))
    route->memory_ratio = smooth (route->memory_ratio, ratio);
}

/**
 * bt_estimate_on_attempt_ended() - update the route's run time after an attempt ran to its end
 * @core: the core
 * @attempt: the attempt
 */
void
bt_estimate_on_attempt_ended (bt_core_t *core, const bt_attempt_t *attempt)
{
  gint64 run_us = core->now - attempt->sent_at;
  if (attempt->job->route == NULL || attempt->sent_at == 0 || run_us <= 0 || run_us > RUN_MAX_US)
    return;
  bt_route_estimate_t *route = ensure_route (core, attempt->job->route);
  route->run_us = smooth (route->run_us, (double)run_us);
}

/**
 * bt_estimate_run_us() - estimate the run time of a task of a job
 * @core: the core
 * @job: the job
 *
 * Return: microseconds; the declared run time, RUN_MAX_US at most, if no attempt of the route
 * has ended.
 */
gint64
bt_estimate_run_us (const bt_core_t *core, const bt_job_t *job)
{
  const bt_route_estimate_t *route
      = job->route != NULL ? g_hash_table_lookup (core->estimates, job->route) : NULL;
  if (route != NULL && route->run_us > 0)
    return (gint64)route->run_us;
  gint64 declared_ms = job->request != NULL ? job->request->run_ms : 0;
  return MIN (declared_ms, RUN_MAX_US / BT_USEC_PER_MSEC) * BT_USEC_PER_MSEC;
}

/**
 * bt_estimate_next_end_us() - estimate the time until a task of a route ends and frees resources
 * @core: the core
 * @route: the route's name
 *
 * Return: microseconds, NEXT_END_MAX_US at most; 0 if no attempt of the route has ended.
 */
gint64
bt_estimate_next_end_us (const bt_core_t *core, const char *route)
{
  const bt_route_estimate_t *estimate = g_hash_table_lookup (core->estimates, route);
  return estimate != NULL ? MIN ((gint64)estimate->run_us, NEXT_END_MAX_US) : 0;
}

static gint64
likely_usage (gint64 declared, double ratio)
{
  if (ratio <= 0)
    return declared;
  return MIN (declared, (gint64)((double)declared * ratio * USAGE_MARGIN));
}

/**
 * bt_estimate_usage() - estimate the resources that a task of a job uses, for scores only
 * @core: the core
 * @job: the job
 * @used: filled in; never more than the declared resources
 */
void
bt_estimate_usage (const bt_core_t *core, const bt_job_t *job, bt_resources_t *used)
{
  *used = job->need;
  const bt_route_estimate_t *route
      = job->route != NULL ? g_hash_table_lookup (core->estimates, job->route) : NULL;
  if (route == NULL)
    return;
  used->v[BT_RESOURCE_MCPUS] = likely_usage (used->v[BT_RESOURCE_MCPUS], route->mcpus_ratio);
  used->v[BT_RESOURCE_MEMORY_MB]
      = likely_usage (used->v[BT_RESOURCE_MEMORY_MB], route->memory_ratio);
}

/* Returns starts per second as counted in the previous and the current window. */
static double
measured_start_rate (const bt_core_t *core, const bt_route_estimate_t *route)
{
  gint64 span = WINDOW_US + core->now - route->window_began_at;
  return (double)(route->starts[0] + route->starts[1]) * BT_USEC_PER_SEC / (double)span;
}

/* Returns starts per second that the slots of the team's quota allow at the estimated run time;
   0 if no run time is known. */
static double
slot_limited_start_rate (bt_core_t *core, const bt_route_t *route,
                         const bt_route_estimate_t *estimate)
{
  if (estimate->run_us <= 0)
    return 0;
  const bt_account_t *account = bt_quota_get_account (core, route->pool, route->team);
  gint64 slots = MAX (account->entitled.v[BT_RESOURCE_SLOTS], 1);
  return (double)slots * BT_USEC_PER_SEC / estimate->run_us;
}

static double
start_rate (bt_core_t *core, const bt_route_t *route, bt_route_estimate_t *estimate)
{
  advance_window (core, estimate);
  double measured = measured_start_rate (core, estimate);
  gboolean long_backlog
      = estimate->backlog_since > 0 && core->now - estimate->backlog_since > 2 * WINDOW_US;
  if (long_backlog && measured > 0)
    return measured;
  return MAX (measured, slot_limited_start_rate (core, route, estimate));
}

/**
 * bt_estimate_wait_us() - estimate how long a new request of a caller would be queued
 * @core: the core
 * @route: its route
 * @caller: the caller; callers take turns, so one with few queued jobs waits less
 *
 * Once the route has had queued jobs for two windows, the rate of starts is the measured one,
 * unless no start was counted. Before that the measured rate may be low because there were few
 * requests, so the rate that the team's slots allow is used if it is higher.
 *
 * Return: microseconds, WAIT_MAX_US at most; 0 if no job is queued or the rate is unknown.
 */
gint64
bt_estimate_wait_us (bt_core_t *core, const bt_route_t *route, const char *caller)
{
  guint queued = bt_queue_route_length (core, route->name);
  if (queued == 0)
    return 0;
  guint own_queued = bt_queue_caller_length (core, route->name, caller);
  guint ahead = MIN (queued, (own_queued + 1) * bt_queue_count_callers (core, route->name));
  double rate = start_rate (core, route, ensure_route (core, route->name));
  if (rate <= 0)
    return 0;
  return (gint64)MIN (ahead * (double)BT_USEC_PER_SEC / rate, (double)WAIT_MAX_US);
}

/**
 * bt_estimate_pool_wait_us() - estimate the longest wait of a new caller's request in a pool
 * @core: the core
 * @pool: the pool's name
 *
 * Return: microseconds, for the route of the pool with the longest wait, WAIT_MAX_US at most.
 */
gint64
bt_estimate_pool_wait_us (bt_core_t *core, const char *pool)
{
  gint64 wait = 0;
  const GPtrArray *routes = core->tables.tables->routes;
  for (guint i = 0; i < routes->len && bt_queue_length (core, pool) > 0; i++)
    {
      const bt_route_t *route = routes->pdata[i];
      if (g_str_equal (route->pool, pool))
        wait = MAX (wait, bt_estimate_wait_us (core, route, ""));
    }
  return wait;
}

/**
 * bt_estimate_take_retry_token() - spend a token of a route's retry budget
 * @core: the core
 * @route: the route's name
 *
 * A route earns one retry per ten starts, so that when all its tasks fail, retries add a tenth
 * to its load and not a multiple.
 *
 * Return: whether there was a token; FALSE if @route is NULL.
 */
gboolean
bt_estimate_take_retry_token (bt_core_t *core, const char *route)
{
  if (route == NULL)
    return FALSE;
  bt_route_estimate_t *estimate = ensure_route (core, route);
  if (estimate->retry_tokens < 1)
    return FALSE;
  estimate->retry_tokens -= 1;
  return TRUE;
}
