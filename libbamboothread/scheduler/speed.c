#include "libbamboothread/scheduler/speed.h"

#include <string.h>

/* Samples needed before the speed of a kind is used: single estimates are off by up to half. */
#define SAMPLES_MIN 25
/* Number of samples after which the mean of a kind becomes an exponential moving average, which
   follows the newest samples. */
#define SAMPLES_MAX 200
/* Highest ratio of time taken to estimate that counts as a sample: a higher one is due to
   the task itself or to a fault, not to the speed of the worker. */
#define RATIO_MAX 4.0

/**
 * struct kind_t - measured speed of one kind of worker
 * @ratio: mean ratio of the time that tasks take to their estimates
 * @n_samples: number of samples, up to SAMPLES_MAX
 */
typedef struct
{
  double ratio;
  guint n_samples;
} kind_t;

struct bts_speed_t
{
  GHashTable *kinds;
};

bts_speed_t *
bts_speed_new (void)
{
  bts_speed_t *speed = g_new0 (bts_speed_t, 1);
  speed->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return speed;
}

void
bts_speed_free (bts_speed_t *speed)
{
  g_hash_table_unref (speed->kinds);
  g_free (speed);
}

static char *
kind_key (const bts_worker_t *worker)
{
  const char *label = worker->entry->labels[0];
  return g_strdup_printf ("%s/%s", worker->entry->service, label == NULL ? "" : label);
}

/**
 * bts_speed_add_sample() - record how long a task took
 * @speed: the measured speeds
 * @worker: the worker on which it ran
 * @took_ms: time that it took, in milliseconds
 * @estimate_ms: its estimate, in milliseconds; the sample is ignored if this is 0 or the
 *   time exceeds RATIO_MAX times it
 */
void
bts_speed_add_sample (bts_speed_t *speed, const bts_worker_t *worker, gint64 took_ms,
                      gint64 estimate_ms)
{
  double ratio = estimate_ms <= 0 ? 0.0 : (double)took_ms / (double)estimate_ms;
  if (ratio <= 0.0 || ratio > RATIO_MAX)
    return;
  g_autofree char *key = kind_key (worker);
  kind_t *kind = g_hash_table_lookup (speed->kinds, key);
  if (kind == NULL)
    {
      kind = g_new0 (kind_t, 1);
      g_hash_table_insert (speed->kinds, g_steal_pointer (&key), kind);
    }
  if (kind->n_samples < SAMPLES_MAX)
    kind->n_samples++;
  kind->ratio += (ratio - kind->ratio) / kind->n_samples;
}

/**
 * bts_speed_slowness() - how many times longer tasks take on a worker than on the fastest kind
 * @speed: the measured speeds
 * @worker: the worker
 *
 * Return: the factor, at least 1.0; 1.0 for the fastest kind of its service, and for a kind
 * with fewer than SAMPLES_MIN samples.
 */
double
bts_speed_slowness (const bts_speed_t *speed, const bts_worker_t *worker)
{
  g_autofree char *own_key = kind_key (worker);
  const kind_t *own = g_hash_table_lookup (speed->kinds, own_key);
  if (own == NULL || own->n_samples < SAMPLES_MIN)
    return 1.0;
  gsize service_len = strlen (worker->entry->service) + 1;
  double best = own->ratio;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, speed->kinds);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const kind_t *kind = value;
      if (strncmp (key, own_key, service_len) == 0 && kind->n_samples >= SAMPLES_MIN)
        best = MIN (best, kind->ratio);
    }
  return own->ratio / best;
}
