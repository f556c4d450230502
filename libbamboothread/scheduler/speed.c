#include "libbamboothread/scheduler/speed.h"

#include <math.h>

/* Highest ratio of time taken to estimate that counts as a sample: a higher one is due to
   the task itself or to a fault, not to the speed of the worker. */
#define RATIO_MAX 4.0
/* Number of samples after which a mean becomes an exponential moving average, which follows the
   newest samples. */
#define ROUTE_SAMPLES_MAX 500
#define WORKER_SAMPLES_MAX 60
/* Samples of a route before its tasks count for workers: its mean is their reference. */
#define ROUTE_SAMPLES_MIN 25
/* A worker's mean is pulled towards that of all workers as by this many samples of average speed:
   a single estimate is off by up to half, about twice as much as the speeds differ. */
#define PRIOR_SAMPLES 4.0
/* Workers of a service with samples before they are compared. */
#define WORKERS_MIN 3
/* Part of a service's workers, in percent, that are faster than the one that counts as fast. Among
   hundreds, the very fastest is one whose samples were lucky. */
#define FAST_PERCENTILE 10
/* A worker whose tasks take at most this many times as long as on the fast ones counts as one of
   them: measured speeds scatter by about a tenth. */
#define FAST_SLOWNESS_MAX 1.2
/* Interval at which the slowness of all workers is computed, in microseconds. */
#define UPDATE_INTERVAL_US (500 * 1000)

/**
 * struct mean_t - mean of the logarithm of time taken to estimate
 * @mean: the mean
 * @n_samples: number of samples, up to a maximum
 */
typedef struct
{
  double mean;
  guint n_samples;
} mean_t;

/**
 * struct sample_t - what is known of one worker
 * @started_ms: the incarnation that the samples are of
 * @log_ratio: mean difference from the mean of the tasks' routes
 */
typedef struct
{
  gint64 started_ms;
  mean_t log_ratio;
} sample_t;

/**
 * struct bts_speed_t - measured speeds
 * @routes: name of a route to the mean_t of its tasks on all workers; callers give some kinds of
 *   task longer estimates than others
 * @workers: id of a worker to sample_t
 * @updated_us: when the slowness of the workers was last computed
 */
struct bts_speed_t
{
  GHashTable *routes;
  GHashTable *workers;
  gint64 updated_us;
};

bts_speed_t *
bts_speed_new (void)
{
  bts_speed_t *speed = g_new0 (bts_speed_t, 1);
  speed->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  speed->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return speed;
}

void
bts_speed_free (bts_speed_t *speed)
{
  g_hash_table_unref (speed->routes);
  g_hash_table_unref (speed->workers);
  g_free (speed);
}

static void
mean_add (mean_t *mean, double value, guint n_max)
{
  if (mean->n_samples < n_max)
    mean->n_samples++;
  mean->mean += (value - mean->mean) / mean->n_samples;
}

/* Returns the value of a key, of @size bytes, which is created if there is none. */
static gpointer
find_or_add (GHashTable *table, const char *key, gsize size)
{
  gpointer value = g_hash_table_lookup (table, key);
  if (value != NULL)
    return value;
  value = g_malloc0 (size);
  g_hash_table_insert (table, g_strdup (key), value);
  return value;
}

static gint64
incarnation (const bts_worker_t *worker)
{
  return MAX (worker->entry->started_ms, worker->started_ms);
}

/**
 * bts_speed_add_sample() - record how long a task took
 * @speed: the measured speeds
 * @worker: the worker on which it ran
 * @route: name of the task's route
 * @took_ms: time that it took, in milliseconds
 * @estimate_ms: its estimate, in milliseconds; the sample is ignored if this is 0 or the
 *   time exceeds RATIO_MAX times it
 */
void
bts_speed_add_sample (bts_speed_t *speed, const bts_worker_t *worker, const char *route,
                      gint64 took_ms, gint64 estimate_ms)
{
  double ratio = estimate_ms <= 0 ? 0.0 : (double)took_ms / (double)estimate_ms;
  if (ratio <= 0.0 || ratio > RATIO_MAX)
    return;
  double log_ratio = log (ratio);
  mean_t *mean = find_or_add (speed->routes, route, sizeof *mean);
  if (mean->n_samples >= ROUTE_SAMPLES_MIN)
    {
      sample_t *sample = find_or_add (speed->workers, worker->entry->id, sizeof *sample);
      if (sample->started_ms != incarnation (worker))
        *sample = (sample_t){ incarnation (worker), { 0 } };
      mean_add (&sample->log_ratio, log_ratio - mean->mean, WORKER_SAMPLES_MAX);
    }
  mean_add (mean, log_ratio, ROUTE_SAMPLES_MAX);
}

/* The estimate for a worker, as a logarithm. Returns FALSE if there are no samples of it. */
static gboolean
estimate (const bts_speed_t *speed, const bts_worker_t *worker, double *log_ratio)
{
  const sample_t *sample = g_hash_table_lookup (speed->workers, worker->entry->id);
  if (sample == NULL || sample->started_ms != incarnation (worker))
    return FALSE;
  double n = sample->log_ratio.n_samples;
  *log_ratio = sample->log_ratio.mean * n / (n + PRIOR_SAMPLES);
  return TRUE;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double *left = a;
  const double *right = b;
  return *left < *right ? -1 : *left > *right;
}

static void
update_pool (const bts_speed_t *speed, const GPtrArray *pool)
{
  g_autoptr (GArray) ratios = g_array_new (FALSE, FALSE, sizeof (double));
  double log_ratio;
  for (guint i = 0; i < pool->len; i++)
    if (estimate (speed, pool->pdata[i], &log_ratio))
      g_array_append_val (ratios, log_ratio);
  g_array_sort (ratios, compare_doubles);
  gboolean comparable = ratios->len >= WORKERS_MIN;
  double fast = comparable ? g_array_index (ratios, double, ratios->len *FAST_PERCENTILE / 100) : 0;
  for (guint i = 0; i < pool->len; i++)
    {
      bts_worker_t *worker = pool->pdata[i];
      log_ratio = 0.0;
      if (comparable)
        estimate (speed, worker, &log_ratio);
      worker->slowness = comparable ? MAX (1.0, exp (log_ratio - fast)) : 1.0;
    }
}

/**
 * bts_worker_is_fast() - whether a worker counts as fast
 * @worker: the worker; without samples of any worker all do
 */
gboolean
bts_worker_is_fast (const bts_worker_t *worker)
{
  return worker->slowness <= FAST_SLOWNESS_MAX;
}

/**
 * bts_speed_update() - set the slowness of all workers
 * @speed: the measured speeds
 * @fleet: the workers; their slowness is how many times longer tasks take there than on the fast
 *   workers of the same service. A worker without samples counts as one of average speed.
 * @now_us: the current time; nothing is done if the last update is recent
 */
void
bts_speed_update (bts_speed_t *speed, const bts_fleet_t *fleet, gint64 now_us)
{
  if (speed->updated_us != 0 && now_us - speed->updated_us < UPDATE_INTERVAL_US)
    return;
  speed->updated_us = now_us;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, fleet->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    update_pool (speed, pool);
}
