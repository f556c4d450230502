#include "libbamboothread/process/core_private.h"

/*
 * Gangs: jobs whose tasks have to run at the same time. Either all tasks are
 * placed in one step or none is, so two gangs can't deadlock by each holding
 * resources that the other one needs. A gang that has waited for a while
 * reserves workers, with at most one reservation per pool at a time and a limit
 * on its duration. Urgent work, and work that is expected to end before the
 * gang's expected start, may be backfilled on the reserved workers.
 */

/* Time since submission after which a gang may reserve workers. */
#define RESERVE_AFTER_US (2 * BT_USEC_PER_SEC)
/* How long a reservation lasts beyond the expected start of its gang. */
#define RESERVE_GRACE_US (30 * BT_USEC_PER_SEC)
/* Longest duration of a reservation. */
#define RESERVE_MAX_US (300LL * BT_USEC_PER_SEC)
/* Delay before a gang whose reservation ended unused may reserve again. */
#define RESERVE_BACKOFF_US (60 * BT_USEC_PER_SEC)

/**
 * struct bt_reservation_t - workers of a pool that are reserved for a gang
 * @id: id of the reservation, also stored in its gang and its workers
 * @job: id of the gang
 * @until: when the reservation ends at the latest
 */
typedef struct
{
  guint64 id;
  GRefString *job;
  gint64 until;
} bt_reservation_t;

/**
 * struct release_t - expected end of an attempt, which releases its resources
 */
typedef struct
{
  gint64 expected_at;
  bt_worker_t *worker;
  const bt_attempt_t *attempt;
} release_t;

/**
 * struct forecast_t - resources that a pool's workers will have available for a gang
 * @workers: the workers that may run its tasks
 * @releases: expected ends of attempts on them, earliest first
 * @available: resources of each worker, bt_resources_t by worker: those available now, and,
 *   after forecast_start_at(), at the time that it has returned
 * @n_fitting: tasks of the gang that fit in @available
 */
typedef struct
{
  GPtrArray *workers;
  GArray *releases;
  GHashTable *available;
  gint64 n_fitting;
} forecast_t;

static void
reservation_free (gpointer data)
{
  bt_reservation_t *reservation = data;
  g_ref_string_release (reservation->job);
  g_free (reservation);
}

/**
 * bt_gang_init() - initialize without reservations
 * @core: the core
 */
void
bt_gang_init (bt_core_t *core)
{
  core->gang.reservations = g_hash_table_new_full (
      g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, reservation_free);
}

/**
 * bt_gang_clear() - free all reservations
 * @core: the core
 */
void
bt_gang_clear (bt_core_t *core)
{
  g_hash_table_unref (core->gang.reservations);
}

/* Return: the index of the first waiting task, or -1. */
static gint
find_waiting_task (const bt_job_t *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == BT_TASK_WAITING)
      return (gint)i;
  return -1;
}

static void
undo_attempts (bt_core_t *core, bt_job_t *job, const GArray *tasks)
{
  for (guint i = 0; i < tasks->len; i++)
    bt_attempt_undo (core, job->tasks[g_array_index (tasks, guint, i)].attempt);
}

/*
 * Finds a worker for each waiting task. Attempts are bound one by one, so that each
 * search sees what the tasks before take, and all are undone at the end.
 *
 * Return: whether there is room for all of them.
 */
static gboolean
find_workers (bt_core_t *core, bt_job_t *job, GArray *tasks, GPtrArray *workers)
{
  gint task;
  while ((task = find_waiting_task (job)) >= 0)
    {
      bt_worker_t *worker = bt_place_find (core, job, (guint)task);
      if (worker == NULL)
        {
          undo_attempts (core, job, tasks);
          return FALSE;
        }
      guint index = (guint)task;
      bt_attempt_bind (bt_attempt_new (core, job, index, NULL, worker->name), worker, &job->need);
      g_array_append_val (tasks, index);
      g_ptr_array_add (workers, worker);
    }
  undo_attempts (core, job, tasks);
  return TRUE;
}

static gint64
count_fitting_tasks (const bt_resources_t *available, const bt_resources_t *need)
{
  gint64 n = G_MAXINT32;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (need->v[i] > 0)
      n = MIN (n, MAX (available->v[i], 0) / need->v[i]);
  return n;
}

static gint
compare_releases (gconstpointer a, gconstpointer b)
{
  const release_t *left = a;
  const release_t *right = b;
  return left->expected_at < right->expected_at ? -1 : left->expected_at > right->expected_at;
}

/* Adds the expected ends of a worker's attempts; those of services have none. */
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
      gint64 run_us = job->request != NULL ? bt_estimate_run_us (core, job) : 0;
      release_t release
          = { .expected_at = MAX (core->now, bt_attempt_started_at (core, attempt) + run_us) };
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
  forecast->available = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  forecast->n_fitting = 0;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!g_str_equal (worker->pool, job->pool) || !bt_owner_may_start (core, worker)
          || !bt_health_allows (worker, job) || worker->reserved_for != NULL)
        continue;
      bt_resources_t *available = g_new0 (bt_resources_t, 1);
      bt_quota_available (core, job, worker, available);
      g_hash_table_insert (forecast->available, worker, available);
      g_ptr_array_add (forecast->workers, worker);
      forecast->n_fitting += count_fitting_tasks (available, &job->need);
      add_releases (core, forecast, worker);
    }
  g_array_sort (forecast->releases, compare_releases);
}

static void
forecast_clear (forecast_t *forecast)
{
  g_ptr_array_unref (forecast->workers);
  g_array_unref (forecast->releases);
  g_hash_table_unref (forecast->available);
}

/* Return: when a number of tasks is expected to fit at the same time, in microseconds, or 0 if
   they do not fit even after all releases. */
static gint64
forecast_start_at (bt_core_t *core, const bt_job_t *job, forecast_t *forecast, guint tasks)
{
  gint64 start_at = core->now;
  for (guint i = 0; i < forecast->releases->len && forecast->n_fitting < tasks; i++)
    {
      const release_t *release = &g_array_index (forecast->releases, release_t, i);
      bt_resources_t *available = g_hash_table_lookup (forecast->available, release->worker);
      forecast->n_fitting -= count_fitting_tasks (available, &job->need);
      bt_resources_add (available, &release->attempt->need);
      forecast->n_fitting += count_fitting_tasks (available, &job->need);
      start_at = release->expected_at;
    }
  return forecast->n_fitting >= tasks ? start_at : 0;
}

/* Sorts workers that fit the most tasks first, so that as few as possible are reserved. */
static gint
compare_fitting_tasks (gconstpointer a, gconstpointer b, gpointer data)
{
  const bt_worker_t *left = *(bt_worker_t *const *)a;
  const bt_worker_t *right = *(bt_worker_t *const *)b;
  const forecast_t *forecast = ((gpointer *)data)[0];
  const bt_job_t *job = ((gpointer *)data)[1];
  gint64 fit_left
      = count_fitting_tasks (g_hash_table_lookup (forecast->available, left), &job->need);
  gint64 fit_right
      = count_fitting_tasks (g_hash_table_lookup (forecast->available, right), &job->need);
  if (fit_left != fit_right)
    return fit_left > fit_right ? -1 : 1;
  return g_strcmp0 (left->name, right->name);
}

/* Return: how many workers were reserved. */
static guint
reserve_workers (bt_job_t *job, forecast_t *forecast, guint tasks, guint64 id, gint64 start_at)
{
  gpointer data[] = { forecast, job };
  g_ptr_array_sort_with_data (forecast->workers, compare_fitting_tasks, data);
  gint64 n_left = tasks;
  guint n = 0;
  for (; n < forecast->workers->len && n_left > 0; n++)
    {
      bt_worker_t *worker = forecast->workers->pdata[n];
      n_left -= count_fitting_tasks (g_hash_table_lookup (forecast->available, worker), &job->need);
      worker->reservation_id = id;
      worker->reservation_start_at = start_at;
    }
  return n;
}

static void
make_reservation (bt_core_t *core, bt_job_t *job)
{
  forecast_t forecast;
  forecast_init (core, job, &forecast);
  guint tasks = job->n_waiting;
  gint64 start_at = forecast_start_at (core, job, &forecast, tasks);
  if (start_at > 0)
    {
      bt_reservation_t *reservation = g_new0 (bt_reservation_t, 1);
      reservation->id = ++core->gang.last_reservation_id;
      reservation->job = g_ref_string_acquire (job->id);
      reservation->until = MIN (start_at + RESERVE_GRACE_US, core->now + RESERVE_MAX_US);
      g_hash_table_insert (core->gang.reservations, g_ref_string_acquire (job->pool), reservation);
      job->reservation_id = reservation->id;
      guint n = reserve_workers (job, &forecast, tasks, reservation->id, start_at);
      core->counters.gangs_reserved++;
      bt_trace_add_pool (core, job->id, "reserved", job->pool,
                         "%u VMs are reserved for its %u tasks for at most %" G_GINT64_FORMAT
                         " ms; it is expected to start in %" G_GINT64_FORMAT " ms",
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
release_workers (bt_core_t *core, guint64 id)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (worker->reservation_id == id)
      worker->reservation_id = 0;
}

static void
end_reservation (bt_core_t *core, const char *pool)
{
  const bt_reservation_t *reservation = g_hash_table_lookup (core->gang.reservations, pool);
  if (reservation == NULL)
    return;
  release_workers (core, reservation->id);
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
 * If they don't fit and the gang has waited long enough, it reserves workers.
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
  if (!find_workers (core, job, tasks, workers))
    {
      if (may_reserve (core, job))
        make_reservation (core, job);
      return FALSE;
    }
  if (job->reservation_id != 0)
    end_reservation (core, job->pool);
  for (guint i = 0; i < tasks->len; i++)
    bt_sched_begin_attempt (core, job, g_array_index (tasks, guint, i), workers->pdata[i]);
  return TRUE;
}

/**
 * bt_gang_can_restart() - whether a running gang, once stopped, could start again immediately
 * @core: the core
 * @job: the gang
 *
 * Return: TRUE if all its running tasks fit on the workers that may start tasks,
 * counting what is available there and what the gang itself uses.
 */
gboolean
bt_gang_can_restart (const bt_core_t *core, const bt_job_t *job)
{
  gint64 n_fitting = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!g_str_equal (worker->pool, job->pool) || !bt_owner_may_start (core, worker))
        continue;
      bt_resources_t available;
      bt_quota_available (core, job, worker, &available);
      for (guint i = 0; i < job->n_tasks; i++)
        if (job->tasks[i].attempt != NULL && job->tasks[i].attempt->worker == worker)
          bt_resources_add (&available, &job->need);
      n_fitting += count_fitting_tasks (&available, &job->need);
    }
  return n_fitting >= job->n_placed;
}

/**
 * bt_gang_may_backfill() - whether a worker's reservation allows a task to run there
 * @core: the core
 * @worker: the worker
 * @job: the task's job
 *
 * Return: TRUE if there is no reservation, it is the job's own, the job is urgent,
 * or its task is expected to end before the gang starts. Services and other gangs
 * are not backfilled unless they are urgent.
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
must_end (const bt_core_t *core, const bt_reservation_t *reservation, const bt_job_t *job)
{
  gboolean is_queued = job != NULL && job->state == BT_JOB_OPEN && job->queue_link.data != NULL;
  return !core->owner.leading || !is_queued || core->now >= reservation->until;
}

/**
 * bt_gang_tick() - end reservations that have expired or whose gang is no longer queued
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
      if (!must_end (core, reservation, job))
        continue;
      if (job != NULL)
        {
          job->next_reserve_at = core->now + RESERVE_BACKOFF_US;
          bt_trace_add_pool (core, job->id, "reservation-over", pool,
                             "the VMs reserved for it may run other work again");
        }
      g_ptr_array_add (ended, (gpointer)pool);
    }
  for (guint i = 0; i < ended->len; i++)
    end_reservation (core, ended->pdata[i]);
}
