#include "libbamboothread/process/core_private.h"

#include <math.h>

/*
 * What is learned of each route's work from the workers' reports: run time,
 * use of what was declared, and the rate of starts. The figures order and
 * estimate; no limit rests on them, for reports lag and can be nonsense.
 */

/* Weight of a new value in a smoothed one. */
#define SMOOTHING 0.2
/* Most by which one value may move a smoothed one. */
#define MOVE_MAX 4.0
/* Longest run time that is believed. */
#define RUN_MAX_US (7 * 24 * 3600LL * BT_USEC_PER_SEC)
#define WINDOW_US (2 * BT_USEC_PER_SEC)
/* Longest time that a caller is told to wait for one task to end. */
#define STEP_MAX_US (5 * BT_USEC_PER_SEC)
/* Longest wait that is told. */
#define WAIT_MAX_US (3600LL * BT_USEC_PER_SEC)
/* Retries that a route saves up, and what a start adds. */
#define RETRY_TOKENS_MAX 20.0
#define RETRY_TOKENS_PER_START 0.1
/* Margin of what a task is thought to use over the smoothed use. */
#define LIKELY_MARGIN 1.25

static void
route_free (gpointer data)
{
  bt_route_estimate_t *route = data;
  g_ref_string_release (route->name);
  g_free (route);
}

/**
 * bt_estimate_init() - nothing learned yet
 * @core: the core
 */
void
bt_estimate_init (bt_core_t *core)
{
  core->estimates = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, route_free);
}

/**
 * bt_estimate_clear() - forget all
 * @core: the core
 */
void
bt_estimate_clear (bt_core_t *core)
{
  g_hash_table_unref (core->estimates);
}

static bt_route_estimate_t *
get_route (bt_core_t *core, const char *name)
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

/* Values move a smoothed one by a bounded factor, so that one false report does little. */
static double
smooth (double before, double value)
{
  if (before <= 0)
    return value;
  value = CLAMP (value, before / MOVE_MAX, before * MOVE_MAX);
  return exp ((1 - SMOOTHING) * log (before) + SMOOTHING * log (value));
}

static void
turn_window (const bt_core_t *core, bt_route_estimate_t *route)
{
  gint64 passed = core->now - route->window_began_at;
  if (passed < WINDOW_US)
    return;
  route->starts[0] = passed < 2 * WINDOW_US ? route->starts[1] : 0;
  route->starts[1] = 0;
  route->window_began_at = passed < 2 * WINDOW_US ? route->window_began_at + WINDOW_US : core->now;
}

/**
 * bt_estimate_on_task_started() - a task was started
 * @core: the core
 * @job: its job
 */
void
bt_estimate_on_task_started (bt_core_t *core, const bt_job_t *job)
{
  if (job->route == NULL)
    return;
  bt_route_estimate_t *route = get_route (core, job->route);
  turn_window (core, route);
  route->starts[1]++;
  route->retry_tokens = MIN (route->retry_tokens + RETRY_TOKENS_PER_START, RETRY_TOKENS_MAX);
}

/**
 * bt_estimate_set_backlog() - note whether work waits by a route
 * @core: the core
 * @route: the route's name
 * @some: whether some does
 */
void
bt_estimate_set_backlog (bt_core_t *core, const char *route, gboolean some)
{
  bt_route_estimate_t *estimate = get_route (core, route);
  if (!some)
    estimate->backlog_since = 0;
  else if (estimate->backlog_since == 0)
    estimate->backlog_since = core->now;
}

static gboolean
ratio_of (gint64 used, gint64 declared, gint64 capacity, double *ratio)
{
  if (declared <= 0 || used <= 0 || used > capacity)
    return FALSE;
  *ratio = (double)used / (double)declared;
  return TRUE;
}

/**
 * bt_estimate_on_usage_report() - a worker reports what an attempt uses
 * @core: the core
 * @attempt: the attempt, bound to its worker
 * @report: the report; use below zero or above all that the VM has is not believed
 */
void
bt_estimate_on_usage_report (bt_core_t *core, const bt_attempt_t *attempt,
                             const bt_attempt_report_t *report)
{
  if (attempt->job->route == NULL || attempt->worker == NULL)
    return;
  bt_route_estimate_t *route = get_route (core, attempt->job->route);
  const gint64 *need = attempt->need.v;
  const gint64 *capacity = attempt->worker->capacity.v;
  double ratio;
  if (ratio_of (report->used_mcpus, need[BT_RESOURCE_MCPUS], capacity[BT_RESOURCE_MCPUS], &ratio))
    route->mcpus_ratio = smooth (route->mcpus_ratio, ratio);
  if (ratio_of (report->used_memory_mb, need[BT_RESOURCE_MEMORY_MB],
                capacity[BT_RESOURCE_MEMORY_MB], &ratio))
    route->memory_ratio = smooth (route->memory_ratio, ratio);
}

/**
 * bt_estimate_on_attempt_ended() - an attempt ran to its end
 * @core: the core
 * @attempt: the attempt
 */
void
bt_estimate_on_attempt_ended (bt_core_t *core, const bt_attempt_t *attempt)
{
  gint64 run_us = core->now - attempt->sent_at;
  if (attempt->job->route == NULL || attempt->sent_at == 0 || run_us <= 0 || run_us > RUN_MAX_US)
    return;
  bt_route_estimate_t *route = get_route (core, attempt->job->route);
  route->run_us = smooth (route->run_us, (double)run_us);
}

/**
 * bt_estimate_run_us() - how long a task of a job probably runs
 * @core: the core
 * @job: the job
 *
 * Return: microseconds; what was declared if nothing was learned.
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
 * bt_estimate_next_end_us() - how long until some work of a route ends and frees room
 * @core: the core
 * @route: the route's name
 *
 * Return: microseconds; 0 if nothing was learned.
 */
gint64
bt_estimate_next_end_us (const bt_core_t *core, const char *route)
{
  const bt_route_estimate_t *estimate = g_hash_table_lookup (core->estimates, route);
  return estimate != NULL ? MIN ((gint64)estimate->run_us, STEP_MAX_US) : 0;
}

static gint64
likely (gint64 declared, double ratio)
{
  if (ratio <= 0)
    return declared;
  return MIN (declared, (gint64)((double)declared * ratio * LIKELY_MARGIN));
}

/**
 * bt_estimate_usage() - what a task of a job probably uses, for scores only
 * @core: the core
 * @job: the job
 * @used: filled in; never more than what was declared
 */
void
bt_estimate_usage (const bt_core_t *core, const bt_job_t *job, bt_vector_t *used)
{
  *used = job->need;
  const bt_route_estimate_t *route
      = job->route != NULL ? g_hash_table_lookup (core->estimates, job->route) : NULL;
  if (route == NULL)
    return;
  used->v[BT_RESOURCE_MCPUS] = likely (used->v[BT_RESOURCE_MCPUS], route->mcpus_ratio);
  used->v[BT_RESOURCE_MEMORY_MB] = likely (used->v[BT_RESOURCE_MEMORY_MB], route->memory_ratio);
}

/* Starts a second, as counted lately. */
static double
counted_rate (const bt_core_t *core, const bt_route_estimate_t *route)
{
  gint64 span = WINDOW_US + core->now - route->window_began_at;
  return (double)(route->starts[0] + route->starts[1]) * BT_USEC_PER_SEC / (double)span;
}

/* Starts a second that the team's slots allow at the learned run time. */
static double
possible_rate (bt_core_t *core, const bt_route_t *route, const bt_route_estimate_t *estimate)
{
  if (estimate->run_us <= 0)
    return 0;
  const bt_account_t *account = bt_quota_get_account (core, route->pool, route->team);
  gint64 slots = MAX (account->entitled.v[BT_RESOURCE_SLOTS], 1);
  return (double)slots * BT_USEC_PER_SEC / estimate->run_us;
}

static double
rate_of (bt_core_t *core, const bt_route_t *route, bt_route_estimate_t *estimate)
{
  turn_window (core, estimate);
  double counted = counted_rate (core, estimate);
  gboolean long_backlog
      = estimate->backlog_since > 0 && core->now - estimate->backlog_since > 2 * WINDOW_US;
  if (long_backlog && counted > 0)
    return counted;
  return MAX (counted, possible_rate (core, route, estimate));
}

/**
 * bt_estimate_wait_us() - how long a new request of a caller would probably wait
 * @core: the core
 * @route: its route
 * @caller: the caller; callers take turns, so one with little waiting waits less
 *
 * While work has waited for a while, the rate of starts is what was counted.
 * Before that it may be low for want of requests, so the rate that the team's
 * slots allow counts if it is higher.
 *
 * Return: microseconds; 0 if nothing is known.
 */
gint64
bt_estimate_wait_us (bt_core_t *core, const bt_route_t *route, const char *caller)
{
  guint waiting = bt_queue_route_length (core, route->name);
  if (waiting == 0)
    return 0;
  guint own = bt_queue_caller_length (core, route->name, caller);
  guint ahead = MIN (waiting, (own + 1) * bt_queue_count_callers (core, route->name));
  double rate = rate_of (core, route, get_route (core, route->name));
  if (rate <= 0)
    return 0;
  return (gint64)MIN (ahead * (double)BT_USEC_PER_SEC / rate, (double)WAIT_MAX_US);
}

/**
 * bt_estimate_pool_wait_us() - longest probable wait among the routes of a pool
 * @core: the core
 * @pool: the pool's name
 *
 * Return: microseconds.
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
 * bt_estimate_take_retry_token() - whether a route may try a failed task again at once
 * @core: the core
 * @route: the route's name
 *
 * A route saves up one retry for every ten starts, so that when all its work
 * fails, retries add a tenth to its load and not a multiple.
 *
 * Return: FALSE if its retries are spent.
 */
gboolean
bt_estimate_take_retry_token (bt_core_t *core, const char *route)
{
  if (route == NULL)
    return FALSE;
  bt_route_estimate_t *estimate = get_route (core, route);
  if (estimate->retry_tokens < 1)
    return FALSE;
  estimate->retry_tokens -= 1;
  return TRUE;
}
