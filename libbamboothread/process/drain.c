#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Draining of workers that are leaving or that the tables no longer name. They
 * get no new work, their idempotent services are moved to other workers, and
 * their other tasks may run to the end. Once the pool's drain_ms has passed, the
 * other idempotent tasks are moved too, except requests in flight.
 */

/* Interval between checks of the draining workers. */
#define CHECK_INTERVAL_US (200 * BT_USEC_PER_MSEC)
/* Maximum number of tasks moved per check. */
#define MOVES_PER_CHECK 2

static void
update_leaving (bt_worker_t *worker)
{
  gboolean leaving = worker->drain.reported_by_worker || worker->drain.reported_by_platform;
  if (leaving == worker->leaving)
    return;
  worker->leaving = leaving;
  bt_log (BT_LOG_NOTICE, leaving ? "worker-leaves" : "worker-stays", "worker=%s says=%d listed=%d",
          worker->name, worker->drain.reported_by_worker, worker->drain.reported_by_platform);
}

/**
 * bt_drain_on_worker_report() - handle a worker's report whether it is leaving
 * @worker: the worker
 * @leaving: whether it is leaving
 */
void
bt_drain_on_worker_report (bt_worker_t *worker, gboolean leaving)
{
  worker->drain.reported_by_worker = leaving;
  update_leaving (worker);
}

/**
 * bt_drain_on_vm_list() - handle a new list of leaving VMs from the platform
 * @core: the core
 * @leaving: names of the VMs that are leaving; all others are not
 *
 * The list is delayed, so it is only used to drain VMs; it never proves that a
 * VM is gone.
 */
void
bt_drain_on_vm_list (bt_core_t *core, const GPtrArray *leaving)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < leaving->len; i++)
    g_hash_table_add (names, leaving->pdata[i]);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      worker->drain.reported_by_platform = g_hash_table_contains (names, worker->name);
      update_leaving (worker);
    }
}

static gboolean
has_drain_limit_passed (const bt_core_t *core, const bt_worker_t *worker)
{
  const bt_pool_t *pool = bt_tables_find_pool (core->tables.tables, worker->pool);
  gint64 limit_ms = pool != NULL ? pool->drain_ms : 0;
  return core->now - worker->drain.since >= limit_ms * BT_USEC_PER_MSEC;
}

/* Idempotent services are moved at once, other idempotent tasks after drain_ms, requests never. */
static gboolean
is_movable (const bt_attempt_t *attempt, gboolean limit_passed)
{
  const bt_job_t *job = attempt->job;
  if (attempt->stopping || attempt->phase != BT_PHASE_RUNNING || job->state != BT_JOB_OPEN)
    return FALSE;
  if (job->request == NULL || !job->idempotent)
    return FALSE;
  if (job->request->kind == BT_KIND_SERVICE)
    return TRUE;
  return limit_passed && job->request->kind != BT_KIND_REQUEST;
}

/* One task of a job is moved at a time: only while all of its tasks are running. */
static gboolean
are_all_tasks_running (const bt_job_t *job)
{
  if (job->n_waiting > 0)
    return FALSE;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      const bt_attempt_t *attempt = job->tasks[i].attempt;
      if (attempt != NULL && (attempt->stopping || attempt->phase != BT_PHASE_RUNNING))
        return FALSE;
    }
  return TRUE;
}

static gboolean
can_restart_elsewhere (bt_core_t *core, const bt_attempt_t *attempt)
{
  const bt_job_t *job = attempt->job;
  if (!are_all_tasks_running (job))
    return FALSE;
  if (job->request->kind == BT_KIND_GANG)
    return bt_gang_can_restart (core, job);
  return bt_place_find (core, job, attempt->task) != NULL;
}

static void
move_tasks_off (bt_core_t *core, bt_worker_t *worker, guint *moves_left)
{
  gboolean limit_passed = has_drain_limit_passed (core, worker);
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (*moves_left > 0 && g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      if (!is_movable (attempt, limit_passed) || !can_restart_elsewhere (core, attempt))
        continue;
      (*moves_left)--;
      core->counters.tasks_moved++;
      bt_trace_add_pool (core, attempt->job->id, "moved", worker->pool,
                         "task %u is checkpointed and stopped on %s, which is draining%s",
                         attempt->task, worker->name, limit_passed ? "; drain_ms has passed" : "");
      bt_stop_attempt (core, attempt, BT_STOP_CHECKPOINT);
    }
}

/**
 * bt_drain_tick() - move tasks off the draining workers
 * @core: the core
 */
void
bt_drain_tick (bt_core_t *core)
{
  if (!core->owner.leading || !core->owner.settled || core->now < core->drain.next_check)
    return;
  core->drain.next_check = core->now + CHECK_INTERVAL_US;
  guint moves_left = MOVES_PER_CHECK;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      gboolean draining = worker->leaving || !worker->listed;
      if (!draining)
        worker->drain.since = 0;
      else if (worker->drain.since == 0)
        worker->drain.since = core->now;
      if (draining && moves_left > 0)
        move_tasks_off (core, worker, &moves_left);
    }
}
