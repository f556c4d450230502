#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Whether a worker can be trusted with work. A worker that fails what succeeds
 * elsewhere rests for a while, is then probed with idempotent work, one task at
 * a time, and takes work again after a few successes. Work that fails on every
 * worker speaks against the work, not against the workers.
 */

/* All counts are halved this often, so that old ends weigh little. */
#define HALVE_US (60 * BT_USEC_PER_SEC)
/* Ends on a worker before it is judged. */
#define ENDS_MIN 3
/* A worker is put to rest if it fails at least this part of what it runs ... */
#define FAILED_PART 0.75
/* ... and other workers would have failed at most this part of those. */
#define EXPECTED_PART 0.5
/* Most workers of a pool, in percent, that rest or are probed at a time; at least one may. */
#define RESTING_MAX_PERCENT 25
/* Pause before a suspect worker is judged again, and how many are with each tick. */
#define JUDGE_US (1 * BT_USEC_PER_SEC)
#define JUDGED_PER_TICK 8
#define REST_FIRST_US (10 * BT_USEC_PER_SEC)
#define REST_MAX_US (600LL * BT_USEC_PER_SEC)
/* A worker on which no probe has failed for this time is trusted again. */
#define PROBED_MAX_US (30 * BT_USEC_PER_SEC)
/* Successes of probes before a worker is trusted again. */
#define PROBES_NEEDED 2
/* Lost leases and restarts, halved as above, after which a worker rests. */
#define FLAPS_MAX 3
/* Workers that a job remembers to have failed on. */
#define FAILED_ON_MAX 8

/**
 * struct tally_t - ends of one route's attempts
 */
typedef struct
{
  double ended;
  double failed;
} tally_t;

const char *const bt_health_names[] = { "good", "resting", "probed", NULL };

static GHashTable *
tallies_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release,
                                g_free);
}

/**
 * bt_health_clear_worker() - free what is known of a worker
 * @worker: the worker
 */
void
bt_health_clear_worker (bt_worker_t *worker)
{
  g_clear_pointer (&worker->health.routes, g_hash_table_unref);
}

static void
count_end (GHashTable *tallies, GRefString *route, gboolean failed)
{
  tally_t *tally = g_hash_table_lookup (tallies, route);
  if (tally == NULL)
    {
      tally = g_new0 (tally_t, 1);
      g_hash_table_insert (tallies, g_ref_string_acquire (route), tally);
    }
  tally->ended += 1;
  tally->failed += failed ? 1 : 0;
}

/*
 * Part of a route's attempts that fails on other workers: the mean over the
 * workers, since a faulty one attracts more work than the others, and with one
 * more that fails a half, for where little is known.
 */
static double
failed_elsewhere (const bt_core_t *core, const char *route, const bt_worker_t *worker)
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
      const tally_t *tally = g_hash_table_lookup (other->health.routes, route);
      if (tally == NULL)
        continue;
      sum += tally->failed / tally->ended;
      n++;
    }
  return sum / n;
}

/**
 * bt_health_is_suspect() - whether most of what ran on a worker of late has failed
 * @worker: the worker
 *
 * Return: TRUE if it did and the worker is not on probation, be it for the worker's fault or the
 * work's.
 */
gboolean
bt_health_is_suspect (const bt_worker_t *worker)
{
  return worker->health.state == BT_HEALTH_GOOD && worker->health.ended >= ENDS_MIN
         && worker->health.failed >= FAILED_PART * worker->health.ended;
}

static gboolean
fails_what_succeeds_elsewhere (const bt_core_t *core, const bt_worker_t *worker)
{
  if (!bt_health_is_suspect (worker))
    return FALSE;
  double expected = 0;
  GHashTableIter iter;
  const char *route;
  const tally_t *own;
  g_hash_table_iter_init (&iter, worker->health.routes);
  while (g_hash_table_iter_next (&iter, (gpointer *)&route, (gpointer *)&own))
    expected += own->ended * failed_elsewhere (core, route, worker);
  return expected < EXPECTED_PART * worker->health.failed;
}

static gboolean
may_rest (const bt_core_t *core, const bt_worker_t *worker)
{
  guint listed = 0;
  guint resting = 0;
  GHashTableIter iter;
  const bt_worker_t *other;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&other))
    {
      if (!other->listed || strcmp (other->pool, worker->pool) != 0)
        continue;
      listed++;
      if (other != worker && other->health.state != BT_HEALTH_GOOD)
        resting++;
    }
  return listed > 1 && resting < MAX (1, listed * RESTING_MAX_PERCENT / 100);
}

static void
rest (bt_core_t *core, bt_worker_t *worker, const char *cause)
{
  if (worker->health.state == BT_HEALTH_GOOD && !may_rest (core, worker))
    return;
  gboolean was_good = worker->health.state == BT_HEALTH_GOOD;
  if (was_good && core->now - worker->health.good_since > REST_MAX_US)
    worker->health.quarantines = 0;
  gint64 time = MIN (REST_FIRST_US << MIN (worker->health.quarantines, 6), REST_MAX_US);
  time = time * g_rand_int_range (core->rand, 75, 126) / 100;
  worker->health.quarantines++;
  worker->health.state = BT_HEALTH_QUARANTINED;
  worker->health.quarantine_until = core->now + time;
  worker->health.probe_successes = 0;
  core->counters.workers_rested++;
  bt_log (BT_LOG_WARNING, "worker-rests", "worker=%s cause=%s for_ms=%" G_GINT64_FORMAT,
          worker->name, cause, time / BT_USEC_PER_MSEC);
}

static void
judge (bt_core_t *core, bt_worker_t *worker)
{
  if (fails_what_succeeds_elsewhere (core, worker))
    rest (core, worker, "fails-what-succeeds-elsewhere");
}

static void
trust (bt_core_t *core, bt_worker_t *worker)
{
  worker->health.state = BT_HEALTH_GOOD;
  worker->health.good_since = core->now;
  worker->health.flaps = 0;
  worker->health.ended = 0;
  worker->health.failed = 0;
  g_hash_table_remove_all (worker->health.routes);
  bt_log (BT_LOG_NOTICE, "worker-trusted", "worker=%s", worker->name);
}

/* Probes may never come, or never end: only short idempotent work gives a verdict soon. */
static gboolean
probed_long (const bt_core_t *core, const bt_worker_t *worker)
{
  return worker->health.state == BT_HEALTH_PROBED
         && core->now >= worker->health.quarantine_until + PROBED_MAX_US;
}

static void
judge_probe (bt_core_t *core, bt_worker_t *worker, const bt_job_t *job, gboolean failed)
{
  if (!failed && ++worker->health.probe_successes >= PROBES_NEEDED)
    trust (core, worker);
  else if (failed && failed_elsewhere (core, job->route, worker) < EXPECTED_PART)
    rest (core, worker, "probe-failed");
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
 * Return: TRUE if it did lately.
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
 * bt_health_on_attempt_ended() - an attempt ran to its end
 * @core: the core
 * @worker: where
 * @attempt: the attempt
 * @failed: whether it failed
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
    worker->health.routes = tallies_new ();
  if (attempt->is_probe)
    {
      judge_probe (core, worker, job, failed);
      return;
    }
  if (worker->health.state != BT_HEALTH_GOOD)
    return;
  count_end (worker->health.routes, job->route, failed);
  worker->health.ended += 1;
  worker->health.failed += failed ? 1 : 0;
  if (failed)
    judge (core, worker);
}

/**
 * bt_health_on_flap() - a worker's lease lapsed, or it started anew
 * @core: the core
 * @worker: the worker
 */
void
bt_health_on_flap (bt_core_t *core, bt_worker_t *worker)
{
  worker->health.flaps += 1;
  if (worker->health.flaps >= FLAPS_MAX && worker->health.state == BT_HEALTH_GOOD)
    {
      if (worker->health.routes == NULL)
        worker->health.routes = tallies_new ();
      rest (core, worker, "flaps");
    }
}

/**
 * bt_health_allows() - whether a worker may take a task of a job
 * @worker: the worker
 * @job: the job
 *
 * Return: FALSE while it rests; while it is probed, TRUE for one task at a time
 * of work that may be run again.
 */
gboolean
bt_health_allows (const bt_worker_t *worker, const bt_job_t *job)
{
  if (worker->health.state == BT_HEALTH_GOOD)
    return TRUE;
  if (worker->health.state == BT_HEALTH_QUARANTINED || worker->health.probes_in_flight > 0)
    return FALSE;
  gboolean gang = job->request != NULL && job->request->kind == BT_KIND_GANG;
  return job->idempotent && !gang && (gint64)job->failures < job->max_retries;
}

/**
 * bt_health_on_attempt_bound() - an attempt has taken its share of a worker
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
 * bt_health_on_attempt_dropped() - an attempt gives its share of a worker back
 * @attempt: the attempt
 */
void
bt_health_on_attempt_dropped (const bt_attempt_t *attempt)
{
  if (attempt->is_probe)
    attempt->worker->health.probes_in_flight--;
}

static void
halve (GHashTable *tallies)
{
  GHashTableIter iter;
  tally_t *tally;
  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&tally))
    {
      tally->ended /= 2;
      tally->failed /= 2;
      if (tally->ended < 0.1)
        g_hash_table_iter_remove (&iter);
    }
}

/* Work that a suspect worker no longer gets may have succeeded elsewhere since. */
static gboolean
judgement_due (const bt_core_t *core, const bt_worker_t *worker)
{
  return core->now >= worker->health.next_check && bt_health_is_suspect (worker);
}

/**
 * bt_health_tick() - let old ends weigh less, and begin probes that are due
 * @core: the core
 */
void
bt_health_tick (bt_core_t *core)
{
  guint left = JUDGED_PER_TICK;
  gboolean halving = core->now >= core->health.next_decay;
  if (halving)
    core->health.next_decay = core->now + HALVE_US;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (worker->health.state == BT_HEALTH_QUARANTINED
          && core->now >= worker->health.quarantine_until)
        worker->health.state = BT_HEALTH_PROBED;
      if (probed_long (core, worker))
        trust (core, worker);
      if (left > 0 && judgement_due (core, worker))
        {
          left--;
          worker->health.next_check = core->now + JUDGE_US;
          judge (core, worker);
        }
      if (!halving)
        continue;
      worker->health.flaps /= 2;
      worker->health.ended /= 2;
      worker->health.failed /= 2;
      if (worker->health.routes != NULL)
        halve (worker->health.routes);
    }
}
