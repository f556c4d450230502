#include "libbamboothread/scheduler/fleet.h"

#include <string.h>

/**
 * bts_resources_add() - add an amount of each resource
 * @room: the sum so far
 * @other: what is added
 */
void
bts_resources_add (bts_resources_t *room, const bts_resources_t *other)
{
  room->cpu_millis += other->cpu_millis;
  room->memory_mb += other->memory_mb;
  room->gpus += other->gpus;
}

/**
 * bts_resources_subtract() - take an amount of each resource away
 * @room: what is left so far
 * @other: what is taken
 */
void
bts_resources_subtract (bts_resources_t *room, const bts_resources_t *other)
{
  room->cpu_millis -= other->cpu_millis;
  room->memory_mb -= other->memory_mb;
  room->gpus -= other->gpus;
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
  g_free (worker);
}

void
bts_fleet_init (bts_fleet_t *fleet)
{
  fleet->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)worker_free);
  fleet->pools = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
}

void
bts_fleet_clear (bts_fleet_t *fleet)
{
  g_hash_table_unref (fleet->pools);
  g_hash_table_unref (fleet->workers);
}

bts_worker_t *
bts_fleet_find_worker (const bts_fleet_t *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->workers, id);
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
 * @fleet: the workers
 * @service: the service, interned
 *
 * Return: bts_worker_t in no particular order.
 */
const GPtrArray *
bts_fleet_pool (const bts_fleet_t *fleet, const char *service)
{
  return find_pool (fleet, service);
}

/* Moves a worker to the pool that its entry names. */
static void
join_pool (bts_fleet_t *fleet, bts_worker_t *worker)
{
  const char *service = g_intern_string (worker->entry->service);
  if (worker->service == service)
    return;
  if (worker->service != NULL)
    g_ptr_array_remove_fast (find_pool (fleet, worker->service), worker);
  worker->service = service;
  g_ptr_array_add (find_pool (fleet, service), worker);
}

static gboolean
entry_same (const bts_worker_entry_t *a, const bts_worker_entry_t *b)
{
  return strcmp (a->address, b->address) == 0 && strcmp (a->service, b->service) == 0
         && a->draining == b->draining && a->cpu_millis == b->cpu_millis
         && a->memory_mb == b->memory_mb && a->gpus == b->gpus;
}

/**
 * bts_fleet_update_entry() - take up what a worker says of itself
 * @fleet: the workers
 * @entry: the entry; the fleet takes it
 *
 * Return: what has changed. On %BTS_ENTRY_RESTARTED the worker's runs are still
 * there: the caller gives them up and resets the worker.
 */
bts_entry_change_t
bts_fleet_update_entry (bts_fleet_t *fleet, bts_worker_entry_t *entry)
{
  bts_worker_t *worker = bts_fleet_find_worker (fleet, entry->id);
  if (worker == NULL)
    {
      worker = g_new0 (bts_worker_t, 1);
      worker->entry = entry;
      worker->registered = TRUE;
      worker->started_ms = entry->started_ms;
      worker->runs = g_ptr_array_new ();
      g_hash_table_insert (fleet->workers, entry->id, worker);
      join_pool (fleet, worker);
      return BTS_ENTRY_NEW;
    }
  bts_entry_change_t change
      = entry_same (worker->entry, entry) ? BTS_ENTRY_UNCHANGED : BTS_ENTRY_CHANGED;
  if (entry->started_ms > worker->started_ms)
    change = worker->started_ms == 0 ? change : BTS_ENTRY_RESTARTED;
  if (change != BTS_ENTRY_UNCHANGED)
    worker->replaced = FALSE;
  g_hash_table_steal (fleet->workers, worker->entry->id);
  bts_worker_entry_free (worker->entry);
  worker->entry = entry;
  worker->registered = TRUE;
  g_hash_table_insert (fleet->workers, entry->id, worker);
  join_pool (fleet, worker);
  return change;
}

/**
 * bts_fleet_remove() - forget a worker on which nothing runs
 * @fleet: the workers
 * @id: the worker
 */
void
bts_fleet_remove (bts_fleet_t *fleet, const char *id)
{
  bts_worker_t *worker = bts_fleet_find_worker (fleet, id);
  if (worker == NULL)
    return;
  g_ptr_array_remove_fast (find_pool (fleet, worker->service), worker);
  g_hash_table_remove (fleet->workers, id);
}

/**
 * bts_fleet_add_held() - know a worker that an owner holds and that may not be listed
 * @fleet: the workers
 * @held: what the owner told of it
 * @now_us: the time
 *
 * It gets no tasks before its entry shows what it has.
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
 * bts_worker_reset() - forget what was known of an earlier life or term
 * @worker: a worker without runs
 */
void
bts_worker_reset (bts_worker_t *worker)
{
  memset (&worker->used, 0, sizeof worker->used);
  worker->generation++;
  worker->synced = FALSE;
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
  worker->hold_failures = 0;
  worker->last_reply_us = 0;
  worker->backoff_until_us = 0;
  worker->consecutive_failures = 0;
}

/**
 * bts_worker_on_reply() - take up the clock of an answer
 * @worker: the worker
 * @clock_ms: its clock
 * @now_us: when the answer came
 *
 * Answers overtake each other, so that an older clock is passed over.
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
 * bts_worker_clock_ms() - the worker's clock, about
 * @worker: a worker that has answered
 * @now_us: the time
 *
 * Return: its clock, by less than the time of one answer behind.
 */
gint64
bts_worker_clock_ms (const bts_worker_t *worker, gint64 now_us)
{
  return worker->clock_ms + (now_us - worker->clock_at_us) / 1000;
}

/**
 * bts_lease_max_us() - how long a lease may last by our clock
 * @lease_ms: its length by the worker's clock, in milliseconds
 *
 * Return: microseconds.
 */
gint64
bts_lease_max_us (gint64 lease_ms)
{
  return (gint64)((double)lease_ms * 1000 / (1 - BTS_CLOCK_DRIFT_MAX));
}

/**
 * bts_worker_lease_expiry_us() - when its lease has surely run out
 * @worker: the worker
 */
gint64
bts_worker_lease_expiry_us (const bts_worker_t *worker)
{
  gint64 left_ms = MAX (worker->lease_deadline_ms - worker->clock_ms, 0);
  return worker->clock_at_us + bts_lease_max_us (left_ms) + BTS_LEASE_MARGIN_US;
}

/**
 * bts_worker_capacity() - all that a worker has
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
 * bts_worker_has_room() - whether some more fits into a worker
 * @worker: the worker
 * @used: what is taken of it
 * @room: what is to fit beside that
 */
gboolean
bts_worker_has_room (const bts_worker_t *worker, const bts_resources_t *used,
                     const bts_resources_t *room)
{
  bts_resources_t capacity = bts_worker_capacity (worker);
  return used->cpu_millis + room->cpu_millis <= capacity.cpu_millis
         && used->memory_mb + room->memory_mb <= capacity.memory_mb
         && used->gpus + room->gpus <= capacity.gpus;
}

/**
 * bts_worker_count_fitting() - how many tasks fit into what is left of a worker
 * @worker: the worker
 * @used: what is taken of it
 * @room: what one task takes
 */
guint
bts_worker_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                          const bts_resources_t *room)
{
  bts_resources_t left = bts_worker_capacity (worker);
  bts_resources_subtract (&left, used);
  gint64 fitting = G_MAXINT16;
  if (room->cpu_millis > 0)
    fitting = MIN (fitting, left.cpu_millis / room->cpu_millis);
  if (room->memory_mb > 0)
    fitting = MIN (fitting, left.memory_mb / room->memory_mb);
  if (room->gpus > 0)
    fitting = MIN (fitting, left.gpus / room->gpus);
  return (guint)MAX (fitting, 0);
}

gboolean
bts_worker_has_label (const bts_worker_t *worker, const char *label)
{
  return g_strv_contains ((const char *const *)worker->entry->labels, label);
}

/**
 * bts_worker_find_run() - a run by the names that the worker uses
 * @worker: the worker
 * @name: name of the task
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
 * bts_worker_add_run() - count a run as on the worker
 * @worker: the worker
 * @run: the run
 */
void
bts_worker_add_run (bts_worker_t *worker, bts_run_t *run)
{
  run->worker = worker;
  g_ptr_array_add (worker->runs, run);
  bts_resources_add (&worker->used, &run->resources);
}

/**
 * bts_worker_remove_run() - give back the room of a run
 * @worker: the worker
 * @run: a run that is on it
 */
void
bts_worker_remove_run (bts_worker_t *worker, bts_run_t *run)
{
  if (!g_ptr_array_remove_fast (worker->runs, run))
    return;
  bts_resources_subtract (&worker->used, &run->resources);
}
