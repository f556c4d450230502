#include "libbamboothread/process/core_private.h"

/*
 * Waiting work that newer tables have made impossible. It is told so a short
 * while after the edit, so that an edit that is taken back at once ends nothing.
 */

#define GRACE_US (5 * BT_USEC_PER_SEC)
#define LOOK_US (1 * BT_USEC_PER_SEC)

/**
 * bt_feasibility_on_tables() - newer tables are in force
 * @core: the core
 */
void
bt_feasibility_on_tables (bt_core_t *core)
{
  core->feasibility.tables_changed_at = core->now;
}

static void
follow_route (const bt_core_t *core, bt_job_t *job)
{
  const bt_route_t *route
      = job->route != NULL ? bt_tables_route (core->tables.tables, job->route) : NULL;
  if (route == NULL)
    return;
  job->packing_weight = route->packing;
  job->waiting_weight = route->waiting;
  job->rack_spread = route->rack_spread;
}

/* Return: why a job can never run by the newest tables, or NULL. */
static char *
fault (const bt_core_t *core, const bt_job_t *job)
{
  const bt_pool_t *pool = bt_tables_pool (core->tables.tables, job->pool);
  if (pool == NULL)
    return g_strdup_printf ("the tables no longer have pool %s", job->pool);
  if (!bt_pool_in_data_centre (pool, core->data_centre))
    return g_strdup_printf ("pool %s no longer has a VM in this data centre", job->pool);
  if (!bt_place_is_feasible (core, job->request, pool, job->work_class))
    return g_strdup_printf ("pool %s can no longer hold it, even while idle", job->pool);
  return NULL;
}

static gboolean
waits (const bt_job_t *job)
{
  return job->state == BT_JOB_OPEN && job->request != NULL && job->pool != NULL
         && job->n_waiting > 0;
}

static void
end_impossible (bt_core_t *core, bt_job_t *job)
{
  g_autofree char *cause = fault (core, job);
  if (cause == NULL)
    return;
  bt_sched_end_job (core, job, bt_sched_unplaced_status (core, job), BT_REASON_TABLES_CHANGED, NULL,
                    cause);
}

/**
 * bt_feasibility_tick() - end waiting work that can never run by the newest tables
 * @core: the core
 *
 * Work of which some tasks still run is left alone until they have ended.
 */
void
bt_feasibility_tick (bt_core_t *core)
{
  if (!core->owner.leading || core->now < core->feasibility.next_check)
    return;
  core->feasibility.next_check = core->now + LOOK_US;
  if (core->feasibility.tables_changed_at == 0)
    return;
  gboolean settled = core->owner.settled && core->journal.caught_up;
  gboolean due = settled && core->now - core->feasibility.tables_changed_at >= GRACE_US;
  gboolean later = !due;
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    {
      follow_route (core, job);
      gboolean pending = job->state == BT_JOB_RECORDING || (waits (job) && job->n_placed > 0);
      later = later || pending;
      if (due && waits (job) && job->n_placed == 0)
        g_ptr_array_add (found, job);
    }
  for (guint i = 0; i < found->len; i++)
    end_impossible (core, found->pdata[i]);
  if (!later)
    core->feasibility.tables_changed_at = 0;
}
