#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Answers to an operator's questions about a job, in words: what was decided,
 * by which table line, and what a waiting job waits for.
 */

static const char *const resource_names[]
    = { "thousandths of a processor", "MiB of memory", "GPUs", "slots", "connections" };

/**
 * bt_explain_decisions() - the decisions about a job that are remembered
 * @core: the core
 * @job: the job's id
 *
 * Return: a JSON array, oldest first.
 */
GBytes *
bt_explain_decisions (const bt_core_t *core, const char *job)
{
  g_autoptr (JsonNode) node = bt_trace_to_json (core, job);
  return bt_json_bytes (node, FALSE);
}

/*
 * One cause of waiting: what it is, the table line that it comes from, the
 * figures, and what would have to change. The strings are taken.
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
 * bt_explain_not_ready() - why a job may not be tried yet
 * @core: the core
 * @job: a job with a request and a route
 * @change: what would have to change, a static string, or NULL on return
 *
 * Return: the cause in words, or NULL if it may be tried.
 */
char *
bt_explain_not_ready (const bt_core_t *core, const bt_job_t *job, const char **change)
{
  gboolean recorded_kind = !job->idempotent || job->request->kind == BT_KIND_GANG;
  *change = NULL;
  if (core->now < job->not_before)
    {
      *change = "the time has to pass";
      return g_strdup_printf ("backoff after %u failures, for another %" G_GINT64_FORMAT " ms",
                              job->failures, (job->not_before - core->now) / BT_USEC_PER_MSEC);
    }
  if (job->may_have_run && !core->owner.settled)
    {
      *change = "the workers have to report what they run, or its leases have to be over";
      return g_strdup ("an earlier owner may have started it and recovery is not settled");
    }
  if ((recorded_kind || (job->may_have_run && core->journal.available)) && !core->journal.caught_up)
    {
      *change = "the log has to answer";
      return g_strdup (core->journal.available ? "the job stream is not read to its end yet"
                                               : "the log is unavailable");
    }
  if (job->request->kind == BT_KIND_GANG && job->n_placed > 0)
    {
      *change = "its other tasks have to end or stop first";
      return g_strdup_printf ("%u of its %u tasks are still placed, and a gang starts at once",
                              job->n_placed, job->n_tasks);
    }
  return NULL;
}

/* What a pool's VMs have free for a job. */
typedef struct
{
  bt_vector_t largest;
  guint vms;
  guint64 tasks_that_fit;
} free_room_t;

static guint64
tasks_in_room (const bt_vector_t *need, const bt_vector_t *room)
{
  gint64 n = G_MAXINT32;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (need->v[i] > 0)
      n = MIN (n, MAX (room->v[i], 0) / need->v[i]);
  return (guint64)n;
}

static void
measure_room (const bt_core_t *core, const bt_job_t *job, free_room_t *free_room)
{
  memset (free_room, 0, sizeof *free_room);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, job->pool) != 0 || !bt_owner_may_start (core, worker))
        continue;
      bt_vector_t room;
      bt_quota_available (core, job, worker, &room);
      free_room->vms++;
      free_room->tasks_that_fit += tasks_in_room (&job->need, &room);
      for (int i = 0; i < BT_N_RESOURCES; i++)
        free_room->largest.v[i] = MAX (free_room->largest.v[i], room.v[i]);
    }
}

static void
add_short_resources (JsonArray *causes, const bt_job_t *job, const free_room_t *free_room)
{
  guint before = json_array_get_length (causes);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (job->need.v[i] <= free_room->largest.v[i])
        continue;
      add_cause (causes, "no-room", pool_line (job),
                 g_strdup_printf ("no VM has %" G_GINT64_FORMAT
                                  " %s free; the largest free is %" G_GINT64_FORMAT,
                                  job->need.v[i], resource_names[i], free_room->largest.v[i]),
                 g_strdup_printf ("a task on one VM has to end and free %" G_GINT64_FORMAT " %s",
                                  job->need.v[i] - free_room->largest.v[i], resource_names[i]));
    }
  if (json_array_get_length (causes) == before)
    add_cause (
        causes, "no-room", pool_line (job),
        g_strdup ("no single VM has all of it free at once, though each part is free on some"),
        g_strdup ("tasks on one VM have to end"));
}

static void
add_room (const bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  free_room_t free_room;
  measure_room (core, job, &free_room);
  gboolean gang = job->request->kind == BT_KIND_GANG;
  guint wanted = gang ? job->n_tasks : 1;
  if (free_room.vms == 0)
    add_cause (causes, "no-vm", pool_line (job),
               g_strdup ("no VM of the pool can take tasks here now"),
               g_strdup ("a VM has to answer, or the pool needs other VMs in this data centre"));
  else if (free_room.tasks_that_fit == 0)
    add_short_resources (causes, job, &free_room);
  else if (free_room.tasks_that_fit < wanted)
    add_cause (causes, "gang", pool_line (job),
               g_strdup_printf (
                   "the gang needs room for %u tasks at once; there is room for %" G_GUINT64_FORMAT,
                   wanted, free_room.tasks_that_fit),
               g_strdup_printf ("room for %" G_GUINT64_FORMAT " more has to be free at once",
                                wanted - free_room.tasks_that_fit));
}

static void
add_quota (bt_core_t *core, JsonArray *causes, const bt_job_t *job)
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
add_order (bt_core_t *core, JsonArray *causes, const bt_job_t *job)
{
  guint ahead = bt_queue_count_ahead (job);
  if (ahead > 0)
    add_cause (causes, "behind", route_line (job),
               g_strdup_printf ("%u jobs of its route and size came before it", ahead),
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
  add_quota (core, causes, job);
  add_room (core, causes, job);
  add_order (core, causes, job);
  if (json_array_get_length (causes) == 0)
    add_cause (causes, "turn", route_line (job), g_strdup ("it is tried with the next pass"),
               g_strdup ("nothing"));
}

static guint
tasks_recording (const bt_job_t *job)
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
               g_strdup ("its acceptance is on the way to the log"),
               g_strdup ("the log has to answer"));
  else if (job->request != NULL && job->route == NULL)
    add_cause (causes, "no-route", route_line (job),
               g_strdup ("the tables no longer have the route by which it came"),
               g_strdup ("an operator has to add the route again, or the caller to cancel"));
  else if (tasks_recording (job) > 0)
    add_cause (
        causes, "recording", route_line (job),
        g_strdup_printf ("the starts of %u tasks are on the way to the log", tasks_recording (job)),
        g_strdup ("the log has to answer"));
  else if (job->n_placed > 0)
    add_cause (causes, "running", route_line (job),
               g_strdup_printf ("%u of its tasks run", job->n_placed), g_strdup ("nothing"));
  else if (job->n_tasks > 0 && job->n_ended == job->n_tasks)
    add_cause (causes, "ending", route_line (job),
               g_strdup ("all its tasks have ended, and its own end is not recorded"),
               g_strdup ("the owner has to record its end"));
  else
    add_cause (causes, "unknown", route_line (job),
               g_strdup ("only a report of a worker told of it"),
               g_strdup ("the log has to answer"));
}

/**
 * bt_explain_waiting() - what a job waits for, and what would have to change
 * @core: the core
 * @job: the job
 *
 * Return: a JSON object.
 */
GBytes *
bt_explain_waiting (bt_core_t *core, const bt_job_t *job)
{
  JsonArray *causes = json_array_new ();
  gboolean queued = job->queue_link.data != NULL;
  if (queued)
    add_queued_causes (core, causes, job);
  else
    add_unqueued_cause (causes, job);
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "job", job->id);
  json_object_set_boolean_member (json, "waiting", queued);
  json_object_set_int_member (json, "since_ms", (core->now - job->submitted_at) / BT_USEC_PER_MSEC);
  json_object_set_int_member (json, "version", core->tables.version);
  json_object_set_array_member (json, "causes", causes);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return bt_json_bytes (node, FALSE);
}
