#include "libbamboothread/process/core_private.h"

/*
 * Gangs: jobs whose tasks have to run all at once. All tasks are placed in one
 * step or none is, so no two gangs hold parts of what the other one needs. A
 * gang that has waited for a while gets a reservation of workers, one in a pool
 * at a time, which ends by itself; until the gang can start, work that will
 * have ended by then may run there.
 */

/* Wait after which a gang may reserve workers. */
#define RESERVE_AFTER_US (2 * BT_USEC_PER_SEC)
/* Time that a reservation lasts beyond the expected start, and at most. */
#define RESERVE_GRACE_US (30 * BT_USEC_PER_SEC)
#define RESERVE_MAX_US (300LL * BT_USEC_PER_SEC)
/* Pause before a gang whose reservation ran out may reserve again. */
#define RESERVE_PAUSE_US (60 * BT_USEC_PER_SEC)

/**
 * struct bt_reservation_t - workers of a pool that are kept for a gang
 * @serial: names the reservation, also in the gang and in the workers
 */
typedef struct
{
  guint64 serial;
  GRefString *job;
  gint64 until;
} bt_reservation_t;

/**
 * struct release_t - an attempt that is expected to end
 */
typedef struct
{
  gint64 at;
  bt_worker_t *worker;
  const bt_attempt_t *attempt;
} release_t;

/**
 * struct forecast_t - room of a pool's workers over time
 * @room: bt_vector_t by worker
 */
typedef struct
{
  GPtrArray *workers;
  GArray *releases;
  GHashTable *room;
  gint64 fitting;
} forecast_t;

static void
reservation_free (gpointer data)
{
  bt_reservation_t *reservation = data;
  g_ref_string_release (reservation->job);
  g_free (reservation);
}

/**
 * bt_gang_init() - no reservations
 * @core: the core
 */
void
bt_gang_init (bt_core_t *core)
{
  core->gang.reservations = g_hash_table_new_full (
      g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, reservation_free);
}

/**
 * bt_gang_clear() - drop all reservations
 * @core: the core
 */
void
bt_gang_clear (bt_core_t *core)
{
  g_hash_table_unref (core->gang.reservations);
}

static gint
first_waiting (const bt_job_t *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == BT_TASK_WAITING)
      return (gint)i;
  return -1;
}

static void
unplace (bt_core_t *core, bt_job_t *job, const GArray *tasks)
{
  for (guint i = 0; i < tasks->len; i++)
    bt_attempt_undo (core, job->tasks[g_array_index (tasks, guint, i)].attempt);
}

/* Return: whether all waiting tasks got a worker; if not, none keeps one. */
static gboolean
try_all (bt_core_t *core, bt_job_t *job, GArray *tasks, GPtrArray *workers)
{
  gint task;
  while ((task = first_waiting (job)) >= 0)
    {
      bt_worker_t *worker = bt_place_find (core, job, (guint)task);
      if (worker == NULL)
        {
          unplace (core, job, tasks);
          return FALSE;
        }
      guint index = (guint)task;
      bt_attempt_bind (bt_attempt_new (core, job, index, NULL, worker->name), worker, &job->need);
      g_array_append_val (tasks, index);
      g_ptr_array_add (workers, worker);
    }
  unplace (core, job, tasks);
  return TRUE;
}

static gint64
tasks_in (const bt_vector_t *room, const bt_vector_t *need)
{
  gint64 least = G_MAXINT32;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (need->v[i] > 0)
      least = MIN (least, MAX (room->v[i], 0) / need->v[i]);
  return least;
}

static gint
compare_releases (gconstpointer a, gconstpointer b)
{
  const release_t *left = a;
  const release_t *right = b;
  return left->at < right->at ? -1 : left->at > right->at;
}

static void
add_releases (bt_core_t *core, forecast_t *forecast, bt_worker_t *worker)
{
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      const bt_job_t *job = attempt->job;
      if (job->request != NULL && job->request->kind == BT_KIND_SERVICE)
        continue;
      gint64 run = job->request != NULL ? bt_estimate_run_us (core, job) : 0;
      release_t release = { .at = MAX (core->now, bt_attempt_started_at (core, attempt) + run) };
      release.worker = worker;
      release.attempt = attempt;
      g_array_append_val (forecast->releases, release);
    }
}

static void
forecast_init (bt_core_t *core, const bt_job_t *job, forecast_t *forecast)
{
  forecast->workers = g_ptr_array_new ();
  forecast->releases = g_array_new (FALSE, FALSE, sizeof (release_t));
  forecast->room = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  forecast->fitting = 0;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!g_str_equal (worker->pool, job->pool) || !bt_owner_may_start (core, worker)
          || !bt_health_allows (worker, job) || worker->reserved_for != NULL)
        continue;
      bt_vector_t *room = g_new0 (bt_vector_t, 1);
      bt_quota_available (core, job, worker, room);
      g_hash_table_insert (forecast->room, worker, room);
      g_ptr_array_add (forecast->workers, worker);
      forecast->fitting += tasks_in (room, &job->need);
      add_releases (core, forecast, worker);
    }
  g_array_sort (forecast->releases, compare_releases);
}

static void
forecast_clear (forecast_t *forecast)
{
  g_ptr_array_unref (forecast->workers);
  g_array_unref (forecast->releases);
  g_hash_table_unref (forecast->room);
}

/* Return: when there is room for a number of tasks at once, or 0 if never. */
static gint64
forecast_start (bt_core_t *core, const bt_job_t *job, forecast_t *forecast, guint tasks)
{
  gint64 at = core->now;
  for (guint i = 0; i < forecast->releases->len && forecast->fitting < tasks; i++)
    {
      const release_t *release = &g_array_index (forecast->releases, release_t, i);
      bt_vector_t *room = g_hash_table_lookup (forecast->room, release->worker);
      forecast->fitting -= tasks_in (room, &job->need);
      bt_vector_add (room, &release->attempt->need);
      forecast->fitting += tasks_in (room, &job->need);
      at = release->at;
    }
  return forecast->fitting >= tasks ? at : 0;
}

/* Workers that hold most tasks come first, so that few are reserved. */
static gint
compare_room (gconstpointer a, gconstpointer b, gpointer data)
{
  const bt_worker_t *left = *(bt_worker_t *const *)a;
  const bt_worker_t *right = *(bt_worker_t *const *)b;
  const forecast_t *forecast = ((gpointer *)data)[0];
  const bt_job_t *job = ((gpointer *)data)[1];
  gint64 in_left = tasks_in (g_hash_table_lookup (forecast->room, left), &job->need);
  gint64 in_right = tasks_in (g_hash_table_lookup (forecast->room, right), &job->need);
  if (in_left != in_right)
    return in_left > in_right ? -1 : 1;
  return g_strcmp0 (left->name, right->name);
}

static guint
mark_workers (bt_job_t *job, forecast_t *forecast, guint tasks, guint64 serial, gint64 start_at)
{
  gpointer data[] = { forecast, job };
  g_ptr_array_sort_with_data (forecast->workers, compare_room, data);
  gint64 left = tasks;
  guint n = 0;
  for (; n < forecast->workers->len && left > 0; n++)
    {
      bt_worker_t *worker = forecast->workers->pdata[n];
      left -= tasks_in (g_hash_table_lookup (forecast->room, worker), &job->need);
      worker->reservation_id = serial;
      worker->reservation_start_at = start_at;
    }
  return n;
}

static void
reserve (bt_core_t *core, bt_job_t *job)
{
  forecast_t forecast;
  forecast_init (core, job, &forecast);
  guint tasks = job->n_waiting;
  gint64 start_at = forecast_start (core, job, &forecast, tasks);
  if (start_at > 0)
    {
      bt_reservation_t *reservation = g_new0 (bt_reservation_t, 1);
      reservation->serial = ++core->gang.last_reservation_id;
      reservation->job = g_ref_string_acquire (job->id);
      reservation->until = MIN (start_at + RESERVE_GRACE_US, core->now + RESERVE_MAX_US);
      g_hash_table_insert (core->gang.reservations, g_ref_string_acquire (job->pool), reservation);
      job->reservation_id = reservation->serial;
      guint n = mark_workers (job, &forecast, tasks, reservation->serial, start_at);
      core->counters.gangs_reserved++;
      bt_trace_add_pool (core, job->id, "reserved", job->pool,
                         "%u VMs are kept for its %u tasks, for %" G_GINT64_FORMAT
                         " ms at most; room is expected in %" G_GINT64_FORMAT " ms",
                         n, tasks, (reservation->until - core->now) / BT_USEC_PER_MSEC,
                         (start_at - core->now) / BT_USEC_PER_MSEC);
    }
  forecast_clear (&forecast);
}

static gboolean
may_reserve (const bt_core_t *core, const bt_job_t *job)
{
  return core->now - job->submitted_at >= RESERVE_AFTER_US && core->now >= job->next_reserve_at
         && job->n_placed == 0 && core->owner.settled
         && !g_hash_table_contains (core->gang.reservations, job->pool);
}

static void
release_workers (bt_core_t *core, guint64 serial)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (worker->reservation_id == serial)
      worker->reservation_id = 0;
}

static void
release (bt_core_t *core, const char *pool)
{
  const bt_reservation_t *reservation = g_hash_table_lookup (core->gang.reservations, pool);
  if (reservation == NULL)
    return;
  release_workers (core, reservation->serial);
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, reservation->job);
  if (job != NULL)
    job->reservation_id = 0;
  g_hash_table_remove (core->gang.reservations, pool);
}

/**
 * bt_gang_place() - place all tasks of a gang, or none
 * @core: the core
 * @job: the gang
 *
 * Return: whether they were placed.
 */
gboolean
bt_gang_place (bt_core_t *core, bt_job_t *job)
{
  if (job->n_placed > 0)
    return FALSE;
  g_autoptr (GArray) tasks = g_array_new (FALSE, FALSE, sizeof (guint));
  g_autoptr (GPtrArray) workers = g_ptr_array_new ();
  if (!try_all (core, job, tasks, workers))
    {
      if (may_reserve (core, job))
        reserve (core, job);
      return FALSE;
    }
  if (job->reservation_id != 0)
    release (core, job->pool);
  for (guint i = 0; i < tasks->len; i++)
    bt_sched_begin_attempt (core, job, g_array_index (tasks, guint, i), workers->pdata[i]);
  return TRUE;
}

/**
 * bt_gang_can_restart() - whether a running gang, once stopped, could start again at once
 * @core: the core
 * @job: the gang
 *
 * Return: TRUE if the workers that may take work have room for all its running
 * tasks, in what is free and in what the gang itself has there.
 */
gboolean
bt_gang_can_restart (const bt_core_t *core, const bt_job_t *job)
{
  gint64 fitting = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!g_str_equal (worker->pool, job->pool) || !bt_owner_may_start (core, worker))
        continue;
      bt_vector_t room;
      bt_quota_available (core, job, worker, &room);
      for (guint i = 0; i < job->n_tasks; i++)
        if (job->tasks[i].attempt != NULL && job->tasks[i].attempt->worker == worker)
          bt_vector_add (&room, &job->need);
      fitting += tasks_in (&room, &job->need);
    }
  return fitting >= job->n_placed;
}

/**
 * bt_gang_may_backfill() - whether a worker's reservation leaves room for a task
 * @core: the core
 * @worker: the worker
 * @job: the task's job
 *
 * Return: TRUE if there is no reservation, it is the job's own, the job is
 * urgent, or its task will probably have ended when the gang can start.
 */
gboolean
bt_gang_may_backfill (const bt_core_t *core, const bt_worker_t *worker, const bt_job_t *job)
{
  if (worker->reservation_id == 0 || worker->reservation_id == job->reservation_id)
    return TRUE;
  if (job->work_class == BT_CLASS_URGENT)
    return TRUE;
  if (job->request == NULL || job->request->kind == BT_KIND_SERVICE
      || job->request->kind == BT_KIND_GANG)
    return FALSE;
  return core->now + bt_estimate_run_us (core, job) <= worker->reservation_start_at;
}

static gboolean
over (const bt_core_t *core, const bt_reservation_t *reservation, const bt_job_t *job)
{
  gboolean waits = job != NULL && job->state == BT_JOB_OPEN && job->queue_link.data != NULL;
  return !core->owner.leading || !waits || core->now >= reservation->until;
}

/**
 * bt_gang_tick() - end reservations that ran out or that nobody waits for
 * @core: the core
 */
void
bt_gang_tick (bt_core_t *core)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  const char *pool;
  const bt_reservation_t *reservation;
  g_hash_table_iter_init (&iter, core->gang.reservations);
  while (g_hash_table_iter_next (&iter, (gpointer *)&pool, (gpointer *)&reservation))
    {
      bt_job_t *job = g_hash_table_lookup (core->sched.jobs, reservation->job);
      if (!over (core, reservation, job))
        continue;
      if (job != NULL)
        {
          job->next_reserve_at = core->now + RESERVE_PAUSE_US;
          bt_trace_add_pool (core, job->id, "reservation-over", pool,
                             "the VMs kept for it are free for other work again");
        }
      g_ptr_array_add (ended, (gpointer)pool);
    }
  for (guint i = 0; i < ended->len; i++)
    release (core, ended->pdata[i]);
}
