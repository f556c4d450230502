#include "standins/fleet.h"

#include <string.h>

/* Leases of the fleet never end. */
#define FOREVER (G_MAXINT64 / 4)
#define FLEET_EPOCH_US (1000 * BT_USEC_PER_SEC)

static void
peer_send (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static void
log_append (void *context, const char *stream, guint64 batch, const GPtrArray *records)
{
}

static void
log_read (void *context, const char *stream, gint64 from)
{
}

static void
worker_lease (void *context, const char *worker, const char *address,
              const bt_lease_request_t *request)
{
}

static void
worker_start (void *context, const char *worker, const char *address,
              const bt_start_request_t *request)
{
  ((bt_fleet_t *)context)->starts++;
}

static void
worker_stop (void *context, const char *worker, const char *address,
             const bt_stop_request_t *request)
{
  bt_fleet_t *fleet = context;
  fleet->stops++;
  fleet->stopped += request->attempts->len;
  fleet->stopped_by[request->mode] += request->attempts->len;
}

static void
worker_release (void *context, const char *worker, const char *address,
                const bt_release_request_t *request)
{
}

static void
answer (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome)
{
}

static void
query_answer (void *context, guint64 exchange, gboolean known, GBytes *body)
{
}

static const bt_core_ops_t fleet_ops = {
  .peer_send = peer_send,
  .log_append = log_append,
  .log_read = log_read,
  .worker_lease = worker_lease,
  .worker_start = worker_start,
  .worker_stop = worker_stop,
  .worker_release = worker_release,
  .answer = answer,
  .query_answer = query_answer,
};

/**
 * bt_fleet_apply() - put other tables in force; new workers are held at once
 * @fleet: the fleet
 * @tables: the tables, copied
 */
void
bt_fleet_apply (bt_fleet_t *fleet, const bt_tables_t *tables)
{
  bt_core_t *core = fleet->core;
  bt_tables_t *old = core->tables.tables;
  core->tables.tables = bt_tables_copy (tables);
  core->tables.version++;
  bt_owner_apply_tables (core);
  bt_tables_free (old);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      worker->epoch = 1;
      worker->lease_until = FOREVER;
      worker->task_lease_until = FOREVER;
      worker->attempts_over_at = FOREVER;
      worker->next_lease_send = FOREVER;
      worker->synced = TRUE;
    }
}

/**
 * bt_fleet_init() - a core that leads a data centre
 * @fleet: filled in
 * @tables: the tables, copied
 * @data_centre: the data centre
 * @seed: of what the core draws
 */
void
bt_fleet_init (bt_fleet_t *fleet, const bt_tables_t *tables, const char *data_centre, guint32 seed)
{
  memset (fleet, 0, sizeof *fleet);
  bt_clock_init_paused (&fleet->clock, FLEET_EPOCH_US);
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = "fleet";
  config.address = "fleet:1";
  config.data_centre = data_centre;
  config.region = data_centre;
  config.incarnation = 1;
  config.seed = seed;
  fleet->core = bt_core_new (&config, &fleet->clock, &fleet_ops, fleet);
  bt_fleet_apply (fleet, tables);
  fleet->core->owner.is_candidate = TRUE;
  fleet->core->owner.leading = TRUE;
  fleet->core->owner.settled = TRUE;
  fleet->core->journal.caught_up = TRUE;
  fleet->core->journal.available = TRUE;
}

/**
 * bt_fleet_clear() - free a fleet
 * @fleet: the fleet
 */
void
bt_fleet_clear (bt_fleet_t *fleet)
{
  bt_core_free (fleet->core);
}

/**
 * bt_fleet_job() - a job that waits, by the route of a work's name
 * @fleet: the fleet
 * @work: the work
 * @need: what a task takes
 * @tasks: number of tasks
 *
 * Return: the job, not queued; the core owns it.
 */
bt_job_t *
bt_fleet_job (bt_fleet_t *fleet, const char *work, const bt_resources_t *need, guint tasks)
{
  bt_core_t *core = fleet->core;
  bt_request_t request = { .kind = BT_KIND_BATCH, .tasks = tasks, .run_ms = 1000 };
  request.caller = g_ref_string_new ("caller");
  request.work = g_ref_string_new (work);
  request.mcpus = need->v[BT_RESOURCE_MCPUS];
  request.memory_mb = need->v[BT_RESOURCE_MEMORY_MB];
  request.gpus = need->v[BT_RESOURCE_GPUS];
  request.connections = need->v[BT_RESOURCE_CONNECTIONS];
  g_autofree char *id = g_strdup_printf ("job-%" G_GUINT64_FORMAT, fleet->counter++);
  bt_job_t *job = bt_job_new (core, id);
  bt_job_set_request (job, &request, bt_tables_match_route (core->tables.tables, "caller", work));
  g_ref_string_release (request.caller);
  g_ref_string_release (request.work);
  return job;
}

/**
 * bt_fleet_run() - let a task run on a worker
 * @fleet: the fleet
 * @job: its job
 * @task: index of the task, which waits
 * @worker: the worker
 *
 * Return: the attempt.
 */
bt_attempt_t *
bt_fleet_run (bt_fleet_t *fleet, bt_job_t *job, guint task, bt_worker_t *worker)
{
  bt_attempt_t *attempt = bt_attempt_new (fleet->core, job, task, NULL, worker->name);
  bt_attempt_bind (attempt, worker, &job->need);
  attempt->phase = BT_PHASE_RUNNING;
  return attempt;
}

/**
 * bt_fleet_tables() - tables from the text of their lines
 * @routes: the table of routes, as JSON objects with commas between
 * @pools: the table of pools, likewise
 *
 * Return: the tables, for bt_tables_free().
 */
bt_tables_t *
bt_fleet_tables (const char *routes, const char *pools)
{
  g_autofree char *text = g_strdup_printf ("{\"routes\": [%s], \"pools\": [%s]}", routes, pools);
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (text, strlen (text), &report);
  bt_report_clear (&report);
  return tables;
}

/**
 * bt_fleet_pool() - the line of a pool of like VMs, all in data centre "a"
 * @name: the pool's name; VMs are called NAME-1 and so on
 * @settings: members of the line with a comma after each, or ""
 * @first: number of the first VM
 * @vms: how many VMs
 * @vms_per_rack: how many of them share a rack
 * @size: members of each VM that give its size
 *
 * Return: the line as JSON, to be freed.
 */
char *
bt_fleet_pool (const char *name, const char *settings, guint first, guint vms, guint vms_per_rack,
               const char *size)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"name\": \"%s\", %s \"vms\": [", name, settings);
  for (guint i = 0; i < vms; i++)
    {
      guint number = first + i;
      g_string_append_printf (text,
                              "%s{\"name\": \"%s-%u\", \"address\": \"10.%u.%u.%u:1\", "
                              "\"data_centre\": \"a\", \"rack\": \"%s-r%u\", %s}",
                              i > 0 ? ", " : "", name, number, g_str_hash (name) % 256,
                              number / 256, number % 256, name, number / vms_per_rack, size);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}
