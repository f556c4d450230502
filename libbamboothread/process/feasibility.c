#include "libbamboothread/process/core_private.h"

/*
 * Ends queued jobs that newer tables have made infeasible. This happens GRACE_US after the
 * change or later, so that a change that is reverted before ends no job.
 */

#define GRACE_US (5 * BT_USEC_PER_SEC)
#define CHECK_INTERVAL_US (1 * BT_USEC_PER_SEC)

/**
 * bt_feasibility_on_tables() - schedule a check, as newer tables are in force
 * @core: the core
 */
void
bt_feasibility_on_tables (bt_core_t *core)
{
  core->feasibility.tables_changed_at = core->now;
}

static void
copy_route_settings (const bt_core_t *core, bt_job_t *job)
{
  const bt_route_t *route
      = job->route != NULL ? bt_tables_find_route (core->tables.tables, job->route) : NULL;
  if (route == NULL)
    return;
  job->packing_weight = route->packing_weight;
  job->waiting_weight = route->waiting_weight;
  job->rack_spread = route->rack_spread;
}

/* Returns why a job can never run under the newest tables, or NULL if it can. */
static char *
infeasibility_cause (const bt_core_t *core, const bt_job_t *job)
{
  const bt_pool_t *pool = bt_tables_find_pool (core->tables.tables, job->pool);
  if (pool == NULL)
    return g_strdup_printf ("pool %s is no longer in the tables", job->pool);
  if (!bt_pool_in_data_centre (pool, core->data_centre))
    return g_strdup_printf ("pool %s no longer has a VM in this data centre", job->pool);
  if (!bt_place_is_feasible (core, job->request, pool, job->work_class))
    return g_strdup_printf ("pool %s is now too small for it, even when idle", job->pool);
  return NULL;
}

static gboolean
has_waiting_tasks (const bt_job_t *job)
{
  return job->state == BT_JOB_OPEN && job->request != NULL && job->pool != NULL
         && job->n_waiting > 0;
}

static void
end_if_infeasible (bt_core_t *core, bt_job_t *job)
{
  g_autofree char *cause = infeasibility_cause (core, job);
  if (cause == NULL)
    return;
  bt_sched_end_job (core, job, bt_sched_unplaced_status (core, job), BT_REASON_TABLES_CHANGED, NULL,
                    cause);
}

/**
 * bt_feasibility_tick() - end queued jobs that can never run under the newest tables
 * @core: the core
 *
 * A job of which some tasks are placed is not ended before these have ended. Each check also
 * copies to all jobs the settings of their routes that placement uses. Checks are made after
 * newer tables, until all jobs could be checked.
 */
void
bt_feasibility_tick (bt_core_t *core)
{
  if (!core->owner.leading || core->now < core->feasibility.next_check)
    return;
  core->feasibility.next_check = core->now + CHECK_INTERVAL_US;
  if (core->feasibility.tables_changed_at == 0)
    return;
  gboolean settled = core->owner.settled && core->journal.caught_up;
  gboolean due = settled && core->now - core->feasibility.tables_changed_at >= GRACE_US;
  gboolean check_again = !due;
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      copy_route_settings (core, job);
      gboolean undecided
          = job->state == BT_JOB_RECORDING || (has_waiting_tasks (job) && job->n_placed > 0);
      check_again = check_again || undecided;
      if (due && has_waiting_tasks (job) && job->n_placed == 0)
        g_ptr_array_add (candidates, job);
    }
  for (guint i = 0; i < candidates->len; i++)
    end_if_infeasible (core, candidates->pdata[i]);
  if (!check_again)
    core->feasibility.tables_changed_at = 0;
}
