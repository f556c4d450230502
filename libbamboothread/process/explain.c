#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Answers to an operator's queries about a job, as JSON with text: which decisions
 * were made, by which line of the tables, and what a waiting job waits for.
 */

static const char *const resource_names[]
    = { "thousandths of a processor", "MiB of memory", "GPUs", "slots", "connections" };

/**
 * bt_explain_decisions() - the recorded decisions about a job
 * @core: the core
 * @job: the job's id
 *
 * Return: a JSON array, oldest first.
 */
GBytes *
bt_explain_decisions (const bt_core_t *core, const char *job)
{
  g_autoptr (JsonNode) node = bt_trace_to_json (core, job);
  return bt_json_to_bytes (node, FALSE);
}

/*
 * Adds one cause of waiting: its name, the line of the tables that it comes from, a
 * text with the figures, and what would have to change. Takes ownership of @line,
 * @text and @change.
 */
static void
add_cause (JsonArray *causes, const char *cause, char *line, char *text, char *change)
{
  JsonObject *item = json_object_new ();
  json_object_set_string_member (item, "cause", cause);
  json_object_set_string_member (item, "line", line);
  json_object_set_string_member (item, "text", text);
  json_object_set_string_member (item, "change", change);
  json_array_add_object_element (causes, item);
  g_free (line);
  g_free (text);
  g_free (change);
}

static char *
route_line (const bt_job_t *job)
{
  return job->route != NULL ? g_strconcat ("route ", job->route, NULL) : g_strdup ("no route");
}

static char *
pool_line (const bt_job_t *job)
{
  return g_strconcat ("pool ", job->pool, NULL);
}

/**
 * bt_explain_not_ready() - why a job may not be placed yet
 * @core: the core
 * @job: a job with a request and a route
 * @change: on return, what would have to change as a static string, or NULL
 *
 * Return: the cause as text, to be freed, or NULL if the job may be placed.
 */
char *
bt_explain_not_ready (const bt_core_t *core, const bt_job_t *job, const char **change)
{
  gboolean needs_attempt_record = !job->idempotent || job->request->kind == BT_KIND_GANG;
  *change = NULL;
  if (core->now < job->not_before)
    {
      *change = "the backoff has to elapse";
      return g_strdup_printf ("backoff after %u failures, for another %" G_GINT64_FORMAT " ms",
                              job->n_failures, (job->not_before - core->now) / BT_USEC_PER_MSEC);
    }
  if (job->may_have_run && !core->owner.settled)
    {
      *change = "the workers have to report what they run, or that owner's leases have to expire";
      return g_strdup ("an earlier owner may have started it, and recovery is not complete yet");
    }
  if ((needs_attempt_record || (job->may_have_run && core->journal.available))
      && !core->journal.caught_up)
    {
      *change = "the log has to answer";
      return g_strdup (core->journal.available ? "the job stream has not been read to its end yet"
                                               : "the log is unavailable");
    }
  if (job->request->kind == BT_KIND_GANG && job->n_placed > 0)
    {
      *change = "its other tasks have to end or stop first";
      return g_strdup_printf (
          "%u of its %u tasks are still placed, and a gang starts all its tasks at once",
          job->n_placed, job->n_tasks);
    }
  return NULL;
}

/**
 * struct pool_available_t - resources that a pool's VMs have available for a job
 * @largest: the most that any of them has, resource by resource
 * @n_vms: number of VMs on which tasks may be started
 * @n_fitting_tasks: tasks of the job that fit
 */
typedef struct
{
  bt_resources_t largest;
  guint n_vms;
  guint64 n_fitting_tasks;
} pool_available_t;

static guint64
count_fitting_tasks (const bt_resources_t *need, const bt_resources_t *available)
{
  gint64 n = G_MAXINT32;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (need->v[i] > 0)
      n = MIN (n, MAX (available->v[i], 0) / need->v[i]);
  return (guint64)n;
}

static void
sum_available (const bt_core_t *core, const bt_job_t *job, pool_available_t *available)
{
  memset (available, 0, sizeof *available);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, job->pool) != 0 || !bt_owner_may_start (core, worker))
        continue;
      bt_resources_t vm_available;
      bt_quota_available (core, job, worker, &vm_available);
      available->n_vms++;
      available->n_fitting_tasks += count_fitting_tasks (&job->need, &vm_available);
      for (int i = 0; i < BT_N_RESOURCES; i++)
        available->largest.v[i] = MAX (available->largest.v[i], vm_available.v[i]);
    }
}

static void
add_short_resource_causes (JsonArray *causes, const bt_job_t *job,
                           const pool_available_t *available)
{
  guint n_before = json_array_get_length (causes);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (job->need.v[i] <= available->largest.v[i])
        continue;
      add_cause (causes, "no-room", pool_line (job),
                 g_strdup_printf ("no VM has %" G_GINT64_FORMAT
                                  " %s free; the largest free is %" G_GINT64_FORMAT,
                                  job->need.v[i], resource_names[i], available->largest.v[i]),
                 g_strdup_printf ("a task on one VM has to end and free %" G_GINT64_FORMAT " %s",
                                  job->need.v[i] - available->largest.v[i], resource_names[i]));
    }
  if (json_array_get_length (causes) == n_before)
    add_cause (causes, "no-room", pool_line (job),
               g_strdup ("each resource is free on some VM, but no VM has all of them free"),
               g_strdup ("tasks on one VM have to end"));
}

static void
add_capacity_cause (const bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  pool_available_t available;
  sum_available (core, job, &available);
  gboolean is_gang = job->request->kind == BT_KIND_GANG;
  guint n_wanted = is_gang ? job->n_tasks : 1;
  if (available.n_vms == 0)
    add_cause (causes, "no-vm", pool_line (job),
               g_strdup ("no VM of the pool can take tasks in this data centre now"),
               g_strdup ("a VM has to answer, or the pool needs other VMs here"));
  else if (available.n_fitting_tasks == 0)
    add_short_resource_causes (causes, job, &available);
  else if (available.n_fitting_tasks < n_wanted)
    add_cause (causes, "gang", pool_line (job),
               g_strdup_printf (
                   "the gang needs room for %u tasks at once; there is room for %" G_GUINT64_FORMAT,
                   n_wanted, available.n_fitting_tasks),
               g_strdup_printf ("room for %" G_GUINT64_FORMAT " more has to be free at once",
                                n_wanted - available.n_fitting_tasks));
}

static void
add_quota_causes (bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  const bt_account_t *account = job->account;
  if (account == NULL || bt_quota_allows (core, account, &job->need))
    return;
  for (int i = 0; i < BT_RESOURCE_SLOTS; i++)
    {
      gint64 left = account->entitled.v[i] - account->used.v[i];
      if (job->need.v[i] == 0 || job->need.v[i] <= left)
        continue;
      add_cause (causes, "over-quota", pool_line (job),
                 g_strdup_printf ("over quota of team %s in pool %s: needs %" G_GINT64_FORMAT
                                  " %s, has %" G_GINT64_FORMAT " left of %" G_GINT64_FORMAT
                                  " in this data centre",
                                  job->team, job->pool, job->need.v[i], resource_names[i],
                                  MAX (left, 0), account->entitled.v[i]),
                 g_strdup ("tasks of the team have to end, its quota has to grow, or it has to "
                           "be allowed to borrow"));
    }
}

static void
add_order_causes (bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  guint n_ahead = bt_queue_count_ahead (job);
  if (n_ahead > 0)
    add_cause (causes, "behind", route_line (job),
               g_strdup_printf ("%u jobs of its route and size are ahead of it", n_ahead),
               g_strdup ("they have to start first"));
  if (job->account != NULL && !bt_quota_is_within_entitlement (core, job->account, &job->need))
    add_cause (causes, "borrowing", pool_line (job),
               g_strdup_printf ("team %s uses its whole quota here, so it gets only what others "
                                "leave idle",
                                job->team),
               g_strdup ("tasks of the team have to end, or its quota has to grow"));
}

static void
add_queued_causes (bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  const char *change;
  char *text = bt_explain_not_ready (core, job, &change);
  if (text != NULL)
    {
      add_cause (causes, "not-ready", route_line (job), text, g_strdup (change));
      return;
    }
  add_quota_causes (core, causes, job);
  add_capacity_cause (core, causes, job);
  add_order_causes (core, causes, job);
  if (json_array_get_length (causes) == 0)
    add_cause (causes, "turn", route_line (job),
               g_strdup ("it will be tried in the next placement pass"), g_strdup ("nothing"));
}

static guint
count_recording_tasks (const bt_job_t *job)
{
  guint n = 0;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      const bt_attempt_t *attempt = job->tasks[i].attempt;
      if (attempt != NULL && attempt->phase == BT_PHASE_RECORDING)
        n++;
    }
  return n;
}

static void
add_unqueued_cause (JsonArray *causes, const bt_job_t *job)
{
  if (job->state == BT_JOB_ENDED)
    add_cause (causes, "ended", route_line (job),
               g_strdup_printf ("it has ended: %s, %s", bt_status_names[job->status],
                                bt_reason_names[job->reason]),
               g_strdup ("nothing"));
  else if (job->state == BT_JOB_RECORDING)
    add_cause (causes, "recording", route_line (job),
               g_strdup ("the record of its acceptance is being appended to the log"),
               g_strdup ("the log has to answer"));
  else if (job->request != NULL && job->route == NULL)
    add_cause (
        causes, "no-route", route_line (job), g_strdup ("the tables no longer have its route"),
        g_strdup ("an operator has to add the route again, or the caller has to cancel the job"));
  else if (count_recording_tasks (job) > 0)
    add_cause (causes, "recording", route_line (job),
               g_strdup_printf ("the start records of %u tasks are being appended to the log",
                                count_recording_tasks (job)),
               g_strdup ("the log has to answer"));
  else if (job->n_placed > 0)
    add_cause (causes, "running", route_line (job),
               g_strdup_printf ("%u of its tasks run", job->n_placed), g_strdup ("nothing"));
  else if (job->n_tasks > 0 && job->n_ended == job->n_tasks)
    add_cause (causes, "ending", route_line (job),
               g_strdup ("all its tasks have ended, and its own end is not recorded yet"),
               g_strdup ("the owner has to record its end"));
  else
    add_cause (causes, "unknown", route_line (job),
               g_strdup ("it is known only from a worker's report"),
               g_strdup ("the log has to answer"));
}

/**
 * bt_explain_waiting() - what a job waits for, and what would have to change
 * @core: the core
 * @job: the job
 *
 * Return: a JSON object. If the job is not queued, its only cause says why.
 */
GBytes *
bt_explain_waiting (bt_core_t *core, const bt_job_t *job)
{
  JsonArray *causes = json_array_new ();
  gboolean is_queued = job->queue_link.data != NULL;
  if (is_queued)
    add_queued_causes (core, causes, job);
  else
    add_unqueued_cause (causes, job);
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "job", job->id);
  json_object_set_boolean_member (json, "waiting", is_queued);
  json_object_set_int_member (json, "since_ms", (core->now - job->submitted_at) / BT_USEC_PER_MSEC);
  json_object_set_int_member (json, "version", core->tables.version);
  json_object_set_array_member (json, "causes", causes);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return bt_json_to_bytes (node, FALSE);
}
