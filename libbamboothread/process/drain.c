#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Workers that leave: they get no new work, their services are moved, and what
 * else runs on them ends by itself. Only what may be run again is stopped once
 * the pool's limit for that is over; a request in flight is never cut off.
 */

/* Pause between two looks at the workers that leave. */
#define LOOK_US (200 * BT_USEC_PER_MSEC)
/* Tasks that are moved at most with each look. */
#define MOVES_PER_LOOK 2

static void
set_leaving (bt_worker_t *worker)
{
  gboolean leaving = worker->drain.reported_by_worker || worker->drain.reported_by_platform;
  if (leaving == worker->leaving)
    return;
  worker->leaving = leaving;
  bt_log (BT_LOG_NOTICE, leaving ? "worker-leaves" : "worker-stays", "worker=%s says=%d listed=%d",
          worker->name, worker->drain.reported_by_worker, worker->drain.reported_by_platform);
}

/**
 * bt_drain_on_worker_report() - a worker says whether it leaves
 * @worker: the worker
 * @leaving: what it says
 */
void
bt_drain_on_worker_report (bt_worker_t *worker, gboolean leaving)
{
  worker->drain.reported_by_worker = leaving;
  set_leaving (worker);
}

/**
 * bt_drain_on_vm_list() - the platform's list says which VMs leave
 * @core: the core
 * @leaving: their names; all others stay
 *
 * The list lags, so it only keeps new tasks away; it never proves that a VM is gone.
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
      set_leaving (worker);
    }
}

static gboolean
limit_over (const bt_core_t *core, const bt_worker_t *worker)
{
  const bt_pool_t *pool = bt_tables_pool (core->tables.tables, worker->pool);
  gint64 limit_ms = pool != NULL ? pool->drain_ms : 0;
  return core->now - worker->drain.since >= limit_ms * BT_USEC_PER_MSEC;
}

/* Services are moved at once, other work once the limit is over; requests never. */
static gboolean
movable (const bt_attempt_t *attempt, gboolean over)
{
  const bt_job_t *job = attempt->job;
  if (attempt->stopping || attempt->phase != BT_PHASE_RUNNING || job->state != BT_JOB_OPEN)
    return FALSE;
  if (job->request == NULL || !job->idempotent)
    return FALSE;
  if (job->request->kind == BT_KIND_SERVICE)
    return TRUE;
  return over && job->request->kind != BT_KIND_REQUEST;
}

/* Whether all other tasks of a job run, so that one of them may be stopped. */
static gboolean
others_run (const bt_job_t *job)
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
may_move (bt_core_t *core, const bt_attempt_t *attempt)
{
  const bt_job_t *job = attempt->job;
  if (!others_run (job))
    return FALSE;
  if (job->request->kind == BT_KIND_GANG)
    return bt_gang_can_restart (core, job);
  return bt_place_find (core, job, attempt->task) != NULL;
}

static void
move_from (bt_core_t *core, bt_worker_t *worker, guint *left)
{
  gboolean over = limit_over (core, worker);
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (*left > 0 && g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      if (!movable (attempt, over) || !may_move (core, attempt))
        continue;
      (*left)--;
      core->counters.tasks_moved++;
      bt_trace_add_pool (core, attempt->job->id, "moved", worker->pool,
                         "task %u is stopped on %s, which leaves%s", attempt->task, worker->name,
                         over ? "; drain_ms is over" : "");
      bt_stop_attempt (core, attempt, BT_STOP_CHECKPOINT);
    }
}

/**
 * bt_drain_tick() - move work off the workers that leave
 * @core: the core
 */
void
bt_drain_tick (bt_core_t *core)
{
  if (!core->owner.leading || !core->owner.settled || core->now < core->drain.next_check)
    return;
  core->drain.next_check = core->now + LOOK_US;
  guint left = MOVES_PER_LOOK;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      gboolean drains = worker->leaving || !worker->listed;
      if (!drains)
        worker->drain.since = 0;
      else if (worker->drain.since == 0)
        worker->drain.since = core->now;
      if (drains && left > 0)
        move_from (core, worker, &left);
    }
}
