#include "libbamboothread/scheduler/speed.h"

#include <string.h>

/* Tasks of a kind before its speed is believed: estimates are off by half. */
#define SAMPLES_MIN 25
/* Weight of the past in a kind's speed, in tasks. */
#define SAMPLES_WEIGHT 200
/* A task that took more times its estimate tells of the task or a fault. */
#define RATIO_MAX 4.0

/**
 * struct kind_t - workers of one kind
 * @ratio: time that tasks take on them, against their estimates
 * @n: tasks that tell of it, up to SAMPLES_WEIGHT
 */
typedef struct
{
  double ratio;
  guint n;
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
kind_name (const bts_worker_t *worker)
{
  const char *label = worker->entry->labels[0];
  return g_strdup_printf ("%s/%s", worker->entry->service, label == NULL ? "" : label);
}

/**
 * bts_speed_add_sample() - take up how long a task took
 * @speed: what is known
 * @worker: where it ran
 * @took_ms: how long it took
 * @estimate_ms: how long it was estimated to take; nothing is learned from 0
 */
void
bts_speed_add_sample (bts_speed_t *speed, const bts_worker_t *worker, gint64 took_ms,
                      gint64 estimate_ms)
{
  double ratio = estimate_ms <= 0 ? 0.0 : (double)took_ms / (double)estimate_ms;
  if (ratio <= 0.0 || ratio > RATIO_MAX)
    return;
  g_autofree char *name = kind_name (worker);
  kind_t *kind = g_hash_table_lookup (speed->kinds, name);
  if (kind == NULL)
    {
      kind = g_new0 (kind_t, 1);
      g_hash_table_insert (speed->kinds, g_steal_pointer (&name), kind);
    }
  if (kind->n < SAMPLES_WEIGHT)
    kind->n++;
  kind->ratio += (ratio - kind->ratio) / kind->n;
}

/**
 * bts_speed_slowness() - how much longer tasks take on a worker than on the fastest kind
 * @speed: what is known
 * @worker: the worker
 *
 * Return: 1.0 for the fastest kind of its service, and while too little is known.
 */
double
bts_speed_slowness (const bts_speed_t *speed, const bts_worker_t *worker)
{
  g_autofree char *name = kind_name (worker);
  const kind_t *own = g_hash_table_lookup (speed->kinds, name);
  if (own == NULL || own->n < SAMPLES_MIN)
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
      if (strncmp (key, name, service_len) == 0 && kind->n >= SAMPLES_MIN)
        best = MIN (best, kind->ratio);
    }
  return own->ratio / best;
}
