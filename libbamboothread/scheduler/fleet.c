#include "libbamboothread/scheduler/fleet.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/**
 * bts_resources_add() - add an amount of each resource
 * @sum: what is added to
 * @other: what is added
 */
void
bts_resources_add (bts_resources_t *sum, const bts_resources_t *other)
{
  sum->cpu_millis += other->cpu_millis;
  sum->memory_mb += other->memory_mb;
  sum->gpus += other->gpus;
}

/**
 * bts_resources_subtract() - subtract an amount of each resource
 * @remaining: what is subtracted from
 * @other: what is subtracted
 */
void
bts_resources_subtract (bts_resources_t *remaining, const bts_resources_t *other)
{
  remaining->cpu_millis -= other->cpu_millis;
  remaining->memory_mb -= other->memory_mb;
  remaining->gpus -= other->gpus;
}

void
bts_worker_entry_free (bts_worker_entry_t *entry)
{
  g_free (entry->id);
  g_free (entry->address);
  g_free (entry->service);
  g_free (entry->zone);
  g_strfreev (entry->labels);
  g_free (entry);
}

static void
worker_free (bts_worker_t *worker)
{
  bts_worker_entry_free (worker->entry);
  g_ptr_array_unref (worker->runs);
  g_free (worker->slot_refusal);
  g_ptr_array_unref (worker->lost_runs);
  g_clear_pointer (&worker->remnant.tasks, g_hash_table_unref);
  g_free (worker->classes);
  g_free (worker);
}

static void
lost_run_free (gpointer data)
{
  bts_lost_run_t *lost = data;
  g_free (lost->name);
  g_free (lost);
}

static void
probation_free (gpointer data)
{
  bts_probation_clear (data);
  g_free (data);
}

void
bts_fleet_init (bts_fleet_t *fleet)
{
  fleet->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)worker_free);
  fleet->pools = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
  fleet->draining = g_ptr_array_new ();
  fleet->numbered = g_ptr_array_new ();
  fleet->probations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, probation_free);
  fleet->interference = NULL;
}

void
bts_fleet_clear (bts_fleet_t *fleet)
{
  g_ptr_array_unref (fleet->draining);
  g_ptr_array_unref (fleet->numbered);
  g_hash_table_unref (fleet->pools);
  g_hash_table_unref (fleet->workers);
  g_hash_table_unref (fleet->probations);
}

bts_worker_t *
bts_fleet_find_worker (const bts_fleet_t *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->workers, id);
}

/**
 * bts_fleet_worker() - the worker with a number
 * @fleet: the fleet
 * @number: the number
 *
 * Return: the worker, or NULL if it was removed.
 */
bts_worker_t *
bts_fleet_worker (const bts_fleet_t *fleet, guint number)
{
  return number < fleet->numbered->len ? fleet->numbered->pdata[number] : NULL;
}

static GPtrArray *
find_pool (const bts_fleet_t *fleet, const char *service)
{
  GPtrArray *pool = g_hash_table_lookup (fleet->pools, service);
  if (pool != NULL)
    return pool;
  pool = g_ptr_array_new ();
  g_hash_table_insert (fleet->pools, (gpointer)service, pool);
  return pool;
}

/**
 * bts_fleet_pool() - the workers of a service
 * @fleet: the fleet
 * @service: the service, interned
 *
 * Return: bts_worker_t in no particular order.
 */
const GPtrArray *
bts_fleet_pool (const bts_fleet_t *fleet, const char *service)
{
  return find_pool (fleet, service);
}

/* Moves a worker to the pool of its entry's service. */
static void
update_pool (bts_fleet_t *fleet, bts_worker_t *worker)
{
  const char *service = g_intern_string (worker->entry->service);
  if (worker->service == service)
    return;
  if (worker->service != NULL)
    g_ptr_array_remove_fast (find_pool (fleet, worker->service), worker);
  worker->service = service;
  g_ptr_array_add (find_pool (fleet, service), worker);
}

/* Lists a worker among those that drain if its entry says so. */
static void
update_draining (bts_fleet_t *fleet, bts_worker_t *worker, gboolean was_draining)
{
  if (worker->entry->draining && !was_draining)
    g_ptr_array_add (fleet->draining, worker);
  else if (!worker->entry->draining && was_draining)
    g_ptr_array_remove_fast (fleet->draining, worker);
}

static gboolean
entries_equal (const bts_worker_entry_t *a, const bts_worker_entry_t *b)
{
  return strcmp (a->address, b->address) == 0 && strcmp (a->service, b->service) == 0
         && a->draining == b->draining && a->cpu_millis == b->cpu_millis
         && a->memory_mb == b->memory_mb && a->gpus == b->gpus && a->started_ms == b->started_ms;
}

static void
attach_probations (bts_fleet_t *fleet)
{
  for (guint i = 0; i < fleet->numbered->len; i++)
    {
      bts_worker_t *worker = fleet->numbered->pdata[i];
      if (worker != NULL)
        worker->probation = g_hash_table_lookup (fleet->probations, worker->entry->address);
    }
}

static gboolean
is_outdated (gpointer address, gpointer probation, gpointer now_us)
{
  return bts_probation_is_outdated (probation, *(gint64 *)now_us);
}

/**
 * bts_fleet_ensure_probation() - what is remembered of the crashes at an address, to be changed
 * @fleet: the fleet
 * @address: the address; the next worker there may have another id
 * @now_us: the time
 *
 * Return: it, created if needed. What is outdated is removed at other addresses.
 */
bts_probation_t *
bts_fleet_ensure_probation (bts_fleet_t *fleet, const char *address, gint64 now_us)
{
  bts_probation_t *probation = g_hash_table_lookup (fleet->probations, address);
  if (probation != NULL)
    return probation;
  g_hash_table_foreach_remove (fleet->probations, is_outdated, &now_us);
  probation = g_new0 (bts_probation_t, 1);
  probation->crashed_us = now_us;
  g_hash_table_insert (fleet->probations, g_strdup (address), probation);
  attach_probations (fleet);
  return probation;
}

/* Drops what the entry of an earlier incarnation says of the kind of the worker. */
static void
begin_entry_of_incarnation (bts_worker_t *worker)
{
  if (worker->entry->draining)
    worker->drained_ms = worker->entry->started_ms;
  worker->slowness = 0;
}

/**
 * bts_fleet_update_entry() - add a worker, or replace its registry entry
 * @fleet: the fleet
 * @entry: the entry; the fleet takes ownership
 *
 * Return: what has changed. On %BTS_ENTRY_RESTARTED the worker still has its runs; its
 * lists tell which of them are lost.
 */
bts_entry_change_t
bts_fleet_update_entry (bts_fleet_t *fleet, bts_worker_entry_t *entry)
{
  bts_worker_t *worker = bts_fleet_find_worker (fleet, entry->id);
  if (worker == NULL)
    {
      worker = g_new0 (bts_worker_t, 1);
      worker->number = fleet->numbered->len;
      g_ptr_array_add (fleet->numbered, worker);
      worker->entry = entry;
      worker->registered = TRUE;
      worker->started_ms = entry->started_ms;
      worker->runs = g_ptr_array_new ();
      worker->slot_refusal = g_new0 (bts_slot_refusal_t, 1);
      worker->slot_refusal->version = G_MAXUINT64;
      worker->lost_runs = g_ptr_array_new_with_free_func (lost_run_free);
      g_hash_table_insert (fleet->workers, entry->id, worker);
      update_pool (fleet, worker);
      update_draining (fleet, worker, FALSE);
      worker->probation = g_hash_table_lookup (fleet->probations, entry->address);
      return BTS_ENTRY_NEW;
    }
  bts_entry_change_t change
      = entries_equal (worker->entry, entry) ? BTS_ENTRY_UNCHANGED : BTS_ENTRY_CHANGED;
  if (entry->started_ms > worker->started_ms)
    change = worker->started_ms == 0 ? change : BTS_ENTRY_RESTARTED;
  if (change != BTS_ENTRY_UNCHANGED)
    worker->replaced = FALSE;
  if (entry->started_ms != worker->entry->started_ms)
    begin_entry_of_incarnation (worker);
  gboolean was_draining = worker->entry->draining;
  g_hash_table_steal (fleet->workers, worker->entry->id);
  bts_worker_entry_free (worker->entry);
  worker->entry = entry;
  worker->registered = TRUE;
  worker->probation = g_hash_table_lookup (fleet->probations, entry->address);
  g_hash_table_insert (fleet->workers, entry->id, worker);
  update_pool (fleet, worker);
  update_draining (fleet, worker, was_draining);
  return change;
}

/**
 * bts_fleet_remove() - remove a worker
 * @fleet: the fleet
 * @id: id of a worker without runs
 */
void
bts_fleet_remove (bts_fleet_t *fleet, const char *id)
{
  bts_worker_t *worker = bts_fleet_find_worker (fleet, id);
  if (worker == NULL)
    return;
  g_ptr_array_remove_fast (find_pool (fleet, worker->service), worker);
  if (worker->entry->draining)
    g_ptr_array_remove_fast (fleet->draining, worker);
  fleet->numbered->pdata[worker->number] = NULL;
  g_hash_table_remove (fleet->workers, id);
}

/**
 * bts_fleet_unregister_missing() - note which workers are no longer in the registry
 * @fleet: the fleet
 * @ids: ids of the workers that have an entry
 * @now_us: the time
 */
void
bts_fleet_unregister_missing (bts_fleet_t *fleet, GHashTable *ids, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_worker_t *worker = value;
      if (!worker->registered || g_hash_table_contains (ids, worker->entry->id))
        continue;
      worker->registered = FALSE;
      worker->unregistered_us = now_us;
      bt_log (BT_LOG_INFO, "unlisted", "worker=%s runs=%u", worker->entry->id, worker->runs->len);
    }
}

/**
 * bts_fleet_add_held() - add a worker that an owner holds and that may not be registered
 * @fleet: the fleet
 * @held: what the owner reported of it
 * @now_us: the time
 *
 * It gets no tasks until its registry entry shows its resources.
 */
void
bts_fleet_add_held (bts_fleet_t *fleet, const Bts__Held *held, gint64 now_us)
{
  if (bts_fleet_find_worker (fleet, held->worker) != NULL)
    return;
  bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
  entry->id = g_strdup (held->worker);
  entry->address = g_strdup (held->address);
  entry->service = g_strdup (held->service);
  entry->zone = g_strdup ("");
  entry->labels = g_new0 (char *, 1);
  bts_fleet_update_entry (fleet, entry);
  bts_worker_t *worker = bts_fleet_find_worker (fleet, held->worker);
  worker->registered = FALSE;
  worker->unregistered_us = now_us;
}

/**
 * bts_worker_reset() - clear the state of an earlier incarnation or term
 * @worker: the worker
 *
 * Runs that it still has are kept, but no longer count as used resources. What is known of lost
 * runs is kept, too.
 */
void
bts_worker_reset (bts_worker_t *worker)
{
  memset (&worker->used, 0, sizeof worker->used);
  worker->generation++;
  worker->synced = FALSE;
  worker->partly_listed = FALSE;
  worker->clock_ms = 0;
  worker->clock_at_us = 0;
  worker->requested_deadline_ms = 0;
  worker->lease_deadline_ms = 0;
  worker->journaled_seq = 0;
  worker->acked_seq = 0;
  worker->hold_ack = 0;
  worker->last_listed_seq = 0;
  worker->ends_in_flight = 0;
  worker->hold_in_flight = FALSE;
  worker->hold_next_us = 0;
  worker->pause_until_us = 0;
  worker->hold_failures = 0;
  worker->last_reply_us = 0;
  worker->backoff_until_us = 0;
  worker->consecutive_failures = 0;
}

/**
 * bts_worker_set_remnant() - record what an owner that resigns knows of a worker
 * @worker: the worker
 * @remnant: what it has said
 * @term: its term
 * @now_us: the time at which that was read, which is later than it was written
 */
void
bts_worker_set_remnant (bts_worker_t *worker, const Bts__Remnant *remnant, guint64 term,
                        gint64 now_us)
{
  worker->remnant.term = term;
  worker->remnant.until_us = now_us + (gint64)remnant->lease_ms * 1000;
  worker->remnant.started_ms = remnant->started_ms;
  g_clear_pointer (&worker->remnant.tasks, g_hash_table_unref);
  if (remnant->n_runs > 0)
    worker->remnant.tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (gsize i = 0; i < remnant->n_runs; i++)
    {
      const Bts__Run *run = remnant->runs[i];
      char id[BTS_JOB_ID_LEN + 1];
      bts_job_id_from_number (run->job, id);
      g_hash_table_add (worker->remnant.tasks, g_strdup_printf ("%s.%u.%u.%u", id, run->occurrence,
                                                                run->step, run->index));
    }
}

/**
 * bts_worker_may_run_remnant() - whether a task is among those that may be left on a worker
 * @worker: the worker
 * @task: name of the task
 */
gboolean
bts_worker_may_run_remnant (const bts_worker_t *worker, const char *task)
{
  return worker->remnant.tasks != NULL && g_hash_table_contains (worker->remnant.tasks, task);
}

/**
 * bts_worker_add_lost_run() - remember a run until it is known whether its worker has crashed
 * @worker: the worker
 * @run: the run; copied, or ignored if it is remembered already
 *
 * Runs that were remembered %BTS_LOST_RUN_KEEP_US before are dropped.
 */
void
bts_worker_add_lost_run (bts_worker_t *worker, const bts_lost_run_t *run)
{
  for (guint i = worker->lost_runs->len; i > 0; i--)
    {
      const bts_lost_run_t *other = worker->lost_runs->pdata[i - 1];
      if (other->number == run->number && strcmp (other->name, run->name) == 0)
        return;
      if (run->silent_us - other->silent_us > BTS_LOST_RUN_KEEP_US)
        g_ptr_array_remove_index (worker->lost_runs, i - 1);
    }
  bts_lost_run_t *copy = g_memdup2 (run, sizeof *run);
  copy->name = g_strdup (run->name);
  g_ptr_array_add (worker->lost_runs, copy);
}

/**
 * bts_worker_on_reply() - record the time of a reply and the worker's clock in it
 * @worker: the worker
 * @clock_ms: the worker's clock
 * @now_us: when the reply arrived
 *
 * Replies may arrive out of order, so a clock that isn't ahead of the newest is ignored.
 */
void
bts_worker_on_reply (bts_worker_t *worker, gint64 clock_ms, gint64 now_us)
{
  worker->last_reply_us = now_us;
  if (clock_ms <= worker->clock_ms)
    return;
  worker->clock_ms = clock_ms;
  worker->clock_at_us = now_us;
}

/**
 * bts_worker_clock_ms() - estimate a worker's clock
 * @worker: a worker that has replied
 * @now_us: the time
 *
 * Return: its clock, behind by the transit time of the reply with the newest reading.
 */
gint64
bts_worker_clock_ms (const bts_worker_t *worker, gint64 now_us)
{
  return worker->clock_ms + (now_us - worker->clock_at_us) / 1000;
}

/**
 * bts_lease_max_us() - longest time that a lease may last by the clock of this process
 * @lease_ms: its duration by the worker's clock, in milliseconds
 *
 * Return: microseconds.
 */
gint64
bts_lease_max_us (gint64 lease_ms)
{
  return (gint64)((double)lease_ms * 1000 / (1 - BTS_CLOCK_DRIFT_MAX));
}

/**
 * bts_worker_lease_expiry_us() - when a worker's lease has expired at the latest
 * @worker: the worker
 *
 * Return: time on the clock of this process, in microseconds.
 */
gint64
bts_worker_lease_expiry_us (const bts_worker_t *worker)
{
  gint64 remaining_ms = MAX (worker->lease_deadline_ms - worker->clock_ms, 0);
  return worker->clock_at_us + bts_lease_max_us (remaining_ms) + BTS_LEASE_MARGIN_US;
}

/**
 * bts_worker_capacity() - all resources of a worker
 * @worker: the worker
 */
bts_resources_t
bts_worker_capacity (const bts_worker_t *worker)
{
  const bts_worker_entry_t *entry = worker->entry;
  bts_resources_t capacity = { entry->cpu_millis, entry->memory_mb, entry->gpus };
  return capacity;
}

/**
 * bts_worker_has_room() - whether a demand fits on a worker
 * @worker: the worker
 * @used: resources of it that are in use
 * @demand: the resources needed in addition
 */
gboolean
bts_worker_has_room (const bts_worker_t *worker, const bts_resources_t *used,
                     const bts_resources_t *demand)
{
  bts_resources_t capacity = bts_worker_capacity (worker);
  return used->cpu_millis + demand->cpu_millis <= capacity.cpu_millis
         && used->memory_mb + demand->memory_mb <= capacity.memory_mb
         && used->gpus + demand->gpus <= capacity.gpus;
}

/**
 * bts_worker_count_fitting() - how many tasks fit on a worker
 * @worker: the worker
 * @used: resources of it that are in use
 * @demand: the resources that one task needs
 */
guint
bts_worker_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                          const bts_resources_t *demand)
{
  bts_resources_t remaining = bts_worker_capacity (worker);
  bts_resources_subtract (&remaining, used);
  gint64 fitting = G_MAXINT16;
  if (demand->cpu_millis > 0)
    fitting = MIN (fitting, remaining.cpu_millis / demand->cpu_millis);
  if (demand->memory_mb > 0)
    fitting = MIN (fitting, remaining.memory_mb / demand->memory_mb);
  if (demand->gpus > 0)
    fitting = MIN (fitting, remaining.gpus / demand->gpus);
  return (guint)MAX (fitting, 0);
}

/**
 * bts_worker_has_current_entry() - whether a worker's entry is that of the incarnation that answers
 * @worker: the worker
 *
 * An incarnation may differ from the one before in labels and capacity, and in whether it is
 * draining. Its entry is read up to 1 s after its first reply, or before it.
 *
 * Return: FALSE also for a worker that isn't registered. An incarnation that isn't known matches
 * any.
 */
gboolean
bts_worker_has_current_entry (const bts_worker_t *worker)
{
  gint64 entry_ms = worker->entry->started_ms;
  return worker->registered
         && (entry_ms == 0 || worker->started_ms == 0 || entry_ms == worker->started_ms);
}

/**
 * bts_worker_was_draining() - whether an incarnation of a worker was draining
 * @worker: the worker, whose entry may be that of another incarnation
 * @started_ms: start of the incarnation; 0 if not known
 */
gboolean
bts_worker_was_draining (const bts_worker_t *worker, gint64 started_ms)
{
  const bts_worker_entry_t *entry = worker->entry;
  if (started_ms != 0 && started_ms == worker->drained_ms)
    return TRUE;
  return entry->draining
         && (started_ms == 0 || entry->started_ms == 0 || entry->started_ms == started_ms);
}

gboolean
bts_worker_has_label (const bts_worker_t *worker, const char *label)
{
  return g_strv_contains ((const char *const *)worker->entry->labels, label);
}

/**
 * bts_worker_find_run() - find a run on a worker
 * @worker: the worker
 * @name: name of the task, as in the worker's lists
 * @number: number of the run
 */
bts_run_t *
bts_worker_find_run (const bts_worker_t *worker, const char *name, guint number)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (run->number == number && strcmp (run->name, name) == 0)
        return run;
    }
  return NULL;
}

/**
 * bts_worker_add_run() - add a run to a worker and charge its resources
 * @worker: the worker
 * @run: the run
 */
void
bts_worker_add_run (bts_worker_t *worker, bts_run_t *run)
{
  worker->runs_version++;
  run->worker = worker;
  g_ptr_array_add (worker->runs, run);
  bts_resources_add (&worker->used, &run->resources);
}

/**
 * bts_worker_remove_run() - remove a run from a worker and release its resources
 * @worker: the worker
 * @run: the run; nothing happens if it isn't on the worker
 */
void
bts_worker_remove_run (bts_worker_t *worker, bts_run_t *run)
{
  worker->runs_version++;
  if (!g_ptr_array_remove_fast (worker->runs, run))
    return;
  bts_resources_subtract (&worker->used, &run->resources);
}
