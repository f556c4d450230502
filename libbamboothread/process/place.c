#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * The choice of a worker for a task.
 */

static double
dominant_share_left (const bt_worker_t *worker, const bt_vector_t *need)
{
  double least = 1.0;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (worker->capacity.v[i] == 0)
        continue;
      double left = (double)(worker->capacity.v[i] - worker->used.v[i] - need->v[i]);
      least = MIN (least, left / (double)worker->capacity.v[i]);
    }
  return least;
}

static gboolean
worker_fits (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker)
{
  bt_vector_t room;
  bt_quota_room (core, job, worker, &room);
  return bt_vector_fits (&job->need, &room);
}

static guint
tasks_in_rack (const bt_job_t *job, const char *rack)
{
  guint n = 0;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      const bt_attempt_t *attempt = job->tasks[i].attempt;
      if (attempt != NULL && attempt->worker != NULL && strcmp (attempt->worker->rack, rack) == 0)
        n++;
    }
  return n;
}

static double
score (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker)
{
  const bt_route_t *route
      = job->route != NULL ? bt_tables_route (core->tables.tables, job->route) : NULL;
  double value = -dominant_share_left (worker, &job->need);
  if (job->need.v[BT_RESOURCE_GPUS] == 0 && worker->capacity.v[BT_RESOURCE_GPUS] > 0)
    value -= 1.0;
  if (route != NULL && route->rack_spread)
    value -= (double)tasks_in_rack (job, worker->rack);
  return value;
}

/**
 * bt_place_find() - choose a worker for a task of a job
 * @core: the core
 * @job: the job
 * @task: index of the task
 *
 * Return: a worker on which the task fits and may be started, or NULL.
 */
bt_worker_t *
bt_place_find (bt_core_t *core, const bt_job_t *job, guint task)
{
  bt_worker_t *best = NULL;
  double best_score = 0;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, job->pool) != 0 || !bt_owner_may_start (core, worker)
          || !worker_fits (core, job, worker))
        continue;
      double value = score (core, job, worker);
      gboolean better = best == NULL || value > best_score
                        || (value == best_score && strcmp (worker->name, best->name) < 0);
      if (!better)
        continue;
      best = worker;
      best_score = value;
    }
  return best;
}

/**
 * bt_place_possible() - whether some VM of a pool could ever hold a task
 * @core: the core
 * @request: the request
 * @pool: the pool
 * @work_class: the work's class; only urgent work can use a VM's reserve
 *
 * Return: FALSE if even an empty VM of this data centre is too small.
 */
gboolean
bt_place_possible (const bt_core_t *core, const bt_request_t *request, const bt_pool_t *pool,
                   bt_class_t work_class)
{
  bt_vector_t need;
  bt_request_need (request, &need);
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_vector_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      bt_quota_usable (pool, work_class, &capacity);
      if (strcmp (vm->data_centre, core->data_centre) == 0 && bt_vector_fits (&need, &capacity))
        return TRUE;
    }
  return FALSE;
}
