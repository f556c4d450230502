#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Health of the workers. A worker on which work fails that succeeds elsewhere
 * is quarantined for a while, is then probed with idempotent work, one task at
 * a time, and takes any work again after a few successes. Work that fails on
 * every worker is a fault of the work, not of the workers.
 */

/* All counts are halved at this interval, so that attempts that ended long ago count little. */
#define DECAY_INTERVAL_US (60 * BT_USEC_PER_SEC)
/* A worker is suspect only if at least this many attempts have ended on it, halved over time. */
#define SUSPECT_ENDS_MIN 3
/* A worker is suspect only if at least this part of its ended attempts failed. */
#define SUSPECT_FAILURE_RATIO 0.75
/* A suspect worker is quarantined if the failures that other workers would have had with the
 * same attempts are fewer than this part of its own failures. A probed worker is quarantined again
 * by a failed probe if less than this part of the attempts of the probe's route fail elsewhere. */
#define EXPECTED_FAILURE_RATIO_MAX 0.5
/* Most workers of a pool, in percent, that are quarantined or probed at a time; at least one
 * may be, unless it is the pool's only one. */
#define QUARANTINED_MAX_PERCENT 25
/* Time between two checks of a suspect worker, and most checks of suspect workers in a tick. */
#define CHECK_INTERVAL_US (1 * BT_USEC_PER_SEC)
#define CHECKS_PER_TICK 8
/* The first quarantine, doubled by each further one, and the longest, each before a random
 * factor of 0.75 to 1.25. After QUARANTINE_MAX_US in good health, the next one is a first one. */
#define QUARANTINE_FIRST_US (10 * BT_USEC_PER_SEC)
#define QUARANTINE_MAX_US (600LL * BT_USEC_PER_SEC)
/* A worker that has been probed for this time without being quarantined again is restored. */
#define PROBING_MAX_US (30 * BT_USEC_PER_SEC)
/* Successful probes after which a worker is restored. */
#define PROBE_SUCCESSES_NEEDED 2
/* Lapsed leases and restarts, halved every DECAY_INTERVAL_US, at which a worker is
 * quarantined. */
#define FLAPS_THRESHOLD 3
/* Most workers in a job's list of those on which its tasks failed. */
#define FAILED_ON_MAX 8

/**
 * struct outcome_counts_t - attempts of one route that ended on a worker, and how many of
 *   them failed; both are halved every DECAY_INTERVAL_US
 */
typedef struct
{
  double ended;
  double failed;
} outcome_counts_t;

/* Names by &enum bt_health_state_t, as written out; a quarantined worker is "resting". */
const char *const bt_health_names[] = { "good", "resting", "probed", NULL };

static GHashTable *
counts_by_route_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release,
                                g_free);
}

/**
 * bt_health_clear_worker() - free the health state of a worker
 * @worker: the worker
 */
void
bt_health_clear_worker (bt_worker_t *worker)
{
  g_clear_pointer (&worker->health.routes, g_hash_table_unref);
}

static void
count_outcome (GHashTable *counts_by_route, GRefString *route, gboolean failed)
{
  outcome_counts_t *counts = g_hash_table_lookup (counts_by_route, route);
  if (counts == NULL)
    {
      counts = g_new0 (outcome_counts_t, 1);
      g_hash_table_insert (counts_by_route, g_ref_string_acquire (route), counts);
    }
  counts->ended += 1;
  counts->failed += failed ? 1 : 0;
}

/*
 * Returns the part of a route's attempts that fails on other workers. It is the
 * mean of the workers' ratios, not the ratio of the sums, since a faulty worker
 * attracts more work than the others. One ratio of 0.5 is added, which counts
 * most while few workers have run the route.
 */
static double
failure_ratio_elsewhere (const bt_core_t *core, const char *route, const bt_worker_t *worker)
{
  double sum = 0.5;
  guint n = 1;
  GHashTableIter iter;
  const bt_worker_t *other;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&other))
    {
      if (other == worker || other->health.routes == NULL)
        continue;
      const outcome_counts_t *counts = g_hash_table_lookup (other->health.routes, route);
      if (counts == NULL)
        continue;
      sum += counts->failed / counts->ended;
      n++;
    }
  return sum / n;
}

/**
 * bt_health_is_suspect() - whether most attempts that ended lately on a worker have failed
 * @worker: the worker
 *
 * Return: TRUE if they have, by a fault of the worker or of the work, and the
 * worker is neither quarantined nor probed.
 */
gboolean
bt_health_is_suspect (const bt_worker_t *worker)
{
  return worker->health.state == BT_HEALTH_GOOD && worker->health.ended >= SUSPECT_ENDS_MIN
         && worker->health.failed >= SUSPECT_FAILURE_RATIO * worker->health.ended;
}

static gboolean
fails_what_succeeds_elsewhere (const bt_core_t *core, const bt_worker_t *worker)
{
  if (!bt_health_is_suspect (worker))
    return FALSE;
  double expected = 0;
  GHashTableIter iter;
  const char *route;
  const outcome_counts_t *own;
  g_hash_table_iter_init (&iter, worker->health.routes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&route, (gpointer *)&own))
    expected += own->ended * failure_ratio_elsewhere (core, route, worker);
  return expected < EXPECTED_FAILURE_RATIO_MAX * worker->health.failed;
}

static gboolean
may_quarantine (const bt_core_t *core, const bt_worker_t *worker)
{
  guint listed = 0;
  guint quarantined = 0;
  GHashTableIter iter;
  const bt_worker_t *other;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&other))
    {
      if (!other->listed || strcmp (other->pool, worker->pool) != 0)
        continue;
      listed++;
      if (other != worker && other->health.state != BT_HEALTH_GOOD)
        quarantined++;
    }
  return listed > 1 && quarantined < MAX (1, listed * QUARANTINED_MAX_PERCENT / 100);
}

static void
quarantine (bt_core_t *core, bt_worker_t *worker, const char *cause)
{
  if (worker->health.state == BT_HEALTH_GOOD && !may_quarantine (core, worker))
    return;
  gboolean was_good = worker->health.state == BT_HEALTH_GOOD;
  if (was_good && core->now - worker->health.good_since > QUARANTINE_MAX_US)
    worker->health.quarantines = 0;
  gint64 duration
      = MIN (QUARANTINE_FIRST_US << MIN (worker->health.quarantines, 6), QUARANTINE_MAX_US);
  duration = duration * g_rand_int_range (core->rand, 75, 126) / 100;
  worker->health.quarantines++;
  worker->health.state = BT_HEALTH_QUARANTINED;
  worker->health.quarantine_until = core->now + duration;
  worker->health.probe_successes = 0;
  core->counters.workers_rested++;
  bt_log (BT_LOG_WARNING, "worker-rests", "worker=%s cause=%s for_ms=%" G_GINT64_FORMAT,
          worker->name, cause, duration / BT_USEC_PER_MSEC);
}

static void
check_worker (bt_core_t *core, bt_worker_t *worker)
{
  if (fails_what_succeeds_elsewhere (core, worker))
    quarantine (core, worker, "fails-what-succeeds-elsewhere");
}

static void
restore (bt_core_t *core, bt_worker_t *worker)
{
  worker->health.state = BT_HEALTH_GOOD;
  worker->health.good_since = core->now;
  worker->health.flaps = 0;
  worker->health.ended = 0;
  worker->health.failed = 0;
  g_hash_table_remove_all (worker->health.routes);
  bt_log (BT_LOG_NOTICE, "worker-trusted", "worker=%s", worker->name);
}

/* Whether a worker has been probed for PROBING_MAX_US. Probing needs this limit, since a probe may
 * never be placed or may run for long: only short idempotent work gives a result soon. */
static gboolean
has_probing_timed_out (const bt_core_t *core, const bt_worker_t *worker)
{
  return worker->health.state == BT_HEALTH_PROBED
         && core->now >= worker->health.quarantine_until + PROBING_MAX_US;
}

static void
on_probe_ended (bt_core_t *core, bt_worker_t *worker, const bt_job_t *job, gboolean failed)
{
  if (!failed && ++worker->health.probe_successes >= PROBE_SUCCESSES_NEEDED)
    restore (core, worker);
  else if (failed
           && failure_ratio_elsewhere (core, job->route, worker) < EXPECTED_FAILURE_RATIO_MAX)
    quarantine (core, worker, "probe-failed");
}

static void
remember_failure (bt_job_t *job, const bt_worker_t *worker)
{
  if (job->failed_on == NULL)
    job->failed_on = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  if (bt_health_has_failed_on (job, worker))
    return;
  if (job->failed_on->len >= FAILED_ON_MAX)
    g_ptr_array_remove_index (job->failed_on, 0);
  g_ptr_array_add (job->failed_on, g_ref_string_acquire (worker->name));
}

/**
 * bt_health_has_failed_on() - whether a task of a job failed on a worker
 * @job: the job
 * @worker: the worker
 *
 * Return: TRUE if one did; each job remembers only the last FAILED_ON_MAX such workers.
 */
gboolean
bt_health_has_failed_on (const bt_job_t *job, const bt_worker_t *worker)
{
  for (guint i = 0; job->failed_on != NULL && i < job->failed_on->len; i++)
    if (strcmp (job->failed_on->pdata[i], worker->name) == 0)
      return TRUE;
  return FALSE;
}

/**
 * bt_health_on_attempt_ended() - count an attempt that ran to its end
 * @core: the core
 * @worker: the worker that ran it
 * @attempt: the attempt
 * @failed: whether it failed
 *
 * An attempt is not counted if its route is unknown or an order to stop or checkpoint it
 * was given, nor, unless it is a probe, while the worker is quarantined or probed.
 */
void
bt_health_on_attempt_ended (bt_core_t *core, bt_worker_t *worker, const bt_attempt_t *attempt,
                            gboolean failed)
{
  bt_job_t *job = attempt->job;
  if (job->route == NULL || attempt->stopping)
    return;
  if (failed)
    remember_failure (job, worker);
  if (worker->health.routes == NULL)
    worker->health.routes = counts_by_route_new ();
  if (attempt->is_probe)
    {
      on_probe_ended (core, worker, job, failed);
      return;
    }
  if (worker->health.state != BT_HEALTH_GOOD)
    return;
  count_outcome (worker->health.routes, job->route, failed);
  worker->health.ended += 1;
  worker->health.failed += failed ? 1 : 0;
  if (failed)
    check_worker (core, worker);
}

/**
 * bt_health_on_flap() - count a lapsed lease or a restart of a worker
 * @core: the core
 * @worker: the worker
 */
void
bt_health_on_flap (bt_core_t *core, bt_worker_t *worker)
{
  worker->health.flaps += 1;
  if (worker->health.flaps >= FLAPS_THRESHOLD && worker->health.state == BT_HEALTH_GOOD)
    {
      if (worker->health.routes == NULL)
        worker->health.routes = counts_by_route_new ();
      quarantine (core, worker, "flaps");
    }
}

/**
 * bt_health_allows() - whether a worker may take a task of a job
 * @worker: the worker
 * @job: the job
 *
 * Return: FALSE while it is quarantined; while it is probed, TRUE for one task at a
 * time, if the job is idempotent, not a gang and has a retry left.
 */
gboolean
bt_health_allows (const bt_worker_t *worker, const bt_job_t *job)
{
  if (worker->health.state == BT_HEALTH_GOOD)
    return TRUE;
  if (worker->health.state == BT_HEALTH_QUARANTINED || worker->health.probes_in_flight > 0)
    return FALSE;
  gboolean gang = job->request != NULL && job->request->kind == BT_KIND_GANG;
  return job->idempotent && !gang && (gint64)job->n_failures < job->max_retries;
}

/**
 * bt_health_on_attempt_bound() - make a new attempt a probe if its worker is probed
 * @attempt: the attempt
 */
void
bt_health_on_attempt_bound (bt_attempt_t *attempt)
{
  if (attempt->worker->health.state != BT_HEALTH_PROBED)
    return;
  attempt->is_probe = TRUE;
  attempt->worker->health.probes_in_flight++;
}

/**
 * bt_health_on_attempt_dropped() - count a probe that is no longer on its worker
 * @attempt: the attempt
 */
void
bt_health_on_attempt_dropped (const bt_attempt_t *attempt)
{
  if (attempt->is_probe)
    attempt->worker->health.probes_in_flight--;
}

static void
decay_counts (GHashTable *counts_by_route)
{
  GHashTableIter iter;
  outcome_counts_t *counts;
  g_hash_table_iter_init (&iter, counts_by_route);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&counts))
    {
      counts->ended /= 2;
      counts->failed /= 2;
      if (counts->ended < 0.1)
        g_hash_table_iter_remove (&iter);
    }
}

/* A suspect worker that gets no more work is still checked, since the same work may
 * have succeeded elsewhere in the meantime. */
static gboolean
is_check_due (const bt_core_t *core, const bt_worker_t *worker)
{
  return core->now >= worker->health.next_check && bt_health_is_suspect (worker);
}

/**
 * bt_health_tick() - halve the counts, begin and end probing, and check suspect workers
 * @core: the core
 */
void
bt_health_tick (bt_core_t *core)
{
  guint checks_left = CHECKS_PER_TICK;
  gboolean decay_due = core->now >= core->health.next_decay;
  if (decay_due)
    core->health.next_decay = core->now + DECAY_INTERVAL_US;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (worker->health.state == BT_HEALTH_QUARANTINED
          && core->now >= worker->health.quarantine_until)
        worker->health.state = BT_HEALTH_PROBED;
      if (has_probing_timed_out (core, worker))
        restore (core, worker);
      if (checks_left > 0 && is_check_due (core, worker))
        {
          checks_left--;
          worker->health.next_check = core->now + CHECK_INTERVAL_US;
          check_worker (core, worker);
        }
      if (!decay_due)
        continue;
      worker->health.flaps /= 2;
      worker->health.ended /= 2;
      worker->health.failed /= 2;
      if (worker->health.routes != NULL)
        decay_counts (worker->health.routes);
    }
}
