#include "libbamboothread/scheduler/handover.h"

#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/sched_private.h"

/* Most workers in one resignation, and most runs on them; keeps the record below the store's size
   limit. The next owner waits for all that may run on further ones. */
#define REMNANTS_MAX 2000
#define REMNANT_RUNS_MAX 4000

static Bts__Remnant *
remnant_new (const bts_worker_t *worker, gint64 started_ms, gint64 lease_us, gsize n_runs)
{
  Bts__Remnant *remnant = malloc (sizeof *remnant);
  bts__remnant__init (remnant);
  remnant->worker = strdup (worker->entry->id);
  remnant->started_ms = started_ms;
  remnant->lease_ms = (guint32)(MAX (lease_us, 0) / 1000 + 1);
  remnant->runs = calloc (MAX (n_runs, 1), sizeof *remnant->runs);
  return remnant;
}

static void
add_task (Bts__Remnant *remnant, const char *name)
{
  char id[BTS_JOB_ID_LEN + 1];
  guint occurrence;
  guint step;
  guint index;
  if (!bts_task_name_parse (name, id, &occurrence, &step, &index))
    return;
  Bts__Run *run = malloc (sizeof *run);
  bts__run__init (run);
  run->job = g_ascii_strtoull (id, NULL, 16);
  run->occurrence = occurrence;
  run->step = step;
  run->index = index;
  remnant->runs[remnant->n_runs++] = run;
}

/* What this owner has started or found on a worker that has answered it. */
static Bts__Remnant *
remnant_of_known (const bts_sched_t *sched, const bts_worker_t *worker)
{
  gint64 lease_us = bts_worker_lease_expiry_us (worker) - bts_sched_now (sched);
  Bts__Remnant *remnant = remnant_new (worker, worker->started_ms, lease_us, worker->runs->len);
  for (guint i = 0; i < worker->runs->len; i++)
    add_task (remnant, ((const bts_run_t *)worker->runs->pdata[i])->name);
  return remnant;
}

/* What the owner before this one has said of a worker that hasn't answered since. */
static Bts__Remnant *
remnant_of_inherited (const bts_sched_t *sched, const bts_worker_t *worker)
{
  GHashTable *tasks = worker->remnant.tasks;
  gint64 lease_us = bts_sched_old_leases_expiry_us (sched, worker) - bts_sched_now (sched);
  Bts__Remnant *remnant = remnant_new (worker, worker->remnant.started_ms, lease_us,
                                       tasks == NULL ? 0 : g_hash_table_size (tasks));
  if (tasks == NULL)
    return remnant;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, tasks);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    add_task (remnant, name);
  return remnant;
}

/* Returns NULL for a worker that is in use, or of which nothing is known. */
static Bts__Remnant *
remnant_of (const bts_sched_t *sched, const bts_worker_t *worker)
{
  if (worker->synced)
    {
      gboolean is_in_doubt = worker->hold_failures > 0 || worker->replaced
                             || worker->entry->draining || !worker->registered;
      return is_in_doubt ? remnant_of_known (sched, worker) : NULL;
    }
  gboolean is_inherited = bts_sched_has_remnant (sched, worker);
  if (bts_sched_may_have_unlisted_runs (sched, worker))
    return is_inherited ? remnant_of_inherited (sched, worker) : NULL;
  gint64 known_ms = MAX (worker->entry->started_ms, worker->started_ms);
  return remnant_new (worker, is_inherited ? worker->remnant.started_ms : known_ms, 0, 0);
}

/**
 * bts_handover_new() - the resignation of an owner
 * @sched: a leading scheduler, whose term ends right after this
 *
 * Return: the record, to be freed with bts__resigned__free_unpacked().
 */
Bts__Resigned *
bts_handover_new (const bts_sched_t *sched)
{
  Bts__Resigned *resigned = malloc (sizeof *resigned);
  bts__resigned__init (resigned);
  resigned->term = sched->term;
  resigned->stopped = TRUE;
  resigned->interference
      = bts_interference_save (sched->fleet->interference, bts_sched_now (sched));
  resigned->remnants = calloc (REMNANTS_MAX, sizeof *resigned->remnants);
  gsize n_runs = 0;
  for (guint i = 0; i < sched->fleet->numbered->len && resigned->n_remnants < REMNANTS_MAX; i++)
    {
      const bts_worker_t *worker = sched->fleet->numbered->pdata[i];
      Bts__Remnant *remnant = worker == NULL ? NULL : remnant_of (sched, worker);
      if (remnant == NULL)
        continue;
      if (n_runs + remnant->n_runs > REMNANT_RUNS_MAX)
        {
          bts__remnant__free_unpacked (remnant, NULL);
          continue;
        }
      n_runs += remnant->n_runs;
      resigned->remnants[resigned->n_remnants++] = remnant;
    }
  return resigned;
}
