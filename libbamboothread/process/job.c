#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Jobs and attempts as objects: creation, removal and the links between them.
 */

/**
 * bt_job_new() - create a job of which only the id is known, and add it to the table of jobs
 * @core: the core
 * @id: its id
 *
 * Return: the job; the table owns it.
 */
bt_job_t *
bt_job_new (bt_core_t *core, const char *id)
{
  bt_job_t *job = g_new0 (bt_job_t, 1);
  job->core = core;
  job->id = g_ref_string_new (id);
  job->state = BT_JOB_OPEN;
  job->waiters = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  job->submitted_at = core->now;
  job->tables_version = core->tables.version;
  job->deadline_at = G_MAXINT64;
  g_hash_table_insert (core->sched.jobs, job->id, job);
  return job;
}

static void
release_string (GRefString **at)
{
  g_clear_pointer (at, g_ref_string_release);
}

/**
 * bt_job_free() - free a job that has no attempts and is not queued
 * @data: the job
 */
void
bt_job_free (gpointer data)
{
  bt_job_t *job = data;
  bt_journal_remove_job (job->core, job);
  for (guint i = 0; i < job->n_tasks; i++)
    g_clear_pointer (&job->tasks[i].answer, g_bytes_unref);
  g_free (job->tasks);
  bt_schema_free (&bt_request_schema, job->request);
  release_string (&job->route);
  release_string (&job->team);
  release_string (&job->pool);
  g_ptr_array_unref (job->waiters);
  g_clear_pointer (&job->failed_on, g_ptr_array_unref);
  g_clear_pointer (&job->answer, g_bytes_unref);
  g_free (job->detail);
  g_ref_string_release (job->id);
  g_free (job);
}

/**
 * bt_job_ensure_tasks() - grow a job's array of tasks if it is shorter than @n
 * @job: the job
 * @n: the least number of tasks
 */
void
bt_job_ensure_tasks (bt_job_t *job, guint n)
{
  if (n <= job->n_tasks)
    return;
  job->tasks = g_renew (bt_task_t, job->tasks, n);
  memset (job->tasks + job->n_tasks, 0, (n - job->n_tasks) * sizeof *job->tasks);
  job->n_waiting += n - job->n_tasks;
  job->n_tasks = n;
}

/**
 * bt_job_set_request() - set a job's request and route
 * @job: the job
 * @request: the request, copied
 * @route: the route, or NULL if the tables don't have it
 */
void
bt_job_set_request (bt_job_t *job, const bt_request_t *request, const bt_route_t *route)
{
  job->request = bt_schema_copy (&bt_request_schema, request);
  bt_request_get_need (request, &job->need);
  job->durable = bt_request_is_durable (request);
  bt_job_ensure_tasks (job, (guint)request->tasks);
  if (route != NULL)
    bt_job_set_route (job, route);
}

/**
 * bt_job_set_route() - set a job's route and what follows from it
 * @job: the job, with a request, not queued; its pool and team are not set so far
 * @route: the route
 */
void
bt_job_set_route (bt_job_t *job, const bt_route_t *route)
{
  const bt_request_t *request = job->request;
  g_clear_pointer (&job->route, g_ref_string_release);
  job->route = g_ref_string_acquire (route->name);
  job->team = g_ref_string_acquire (route->team);
  job->pool = g_ref_string_acquire (route->pool);
  job->work_class = (bt_class_t)route->work_class;
  job->account = bt_quota_get_account (job->core, job->pool, job->team);
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].attempt != NULL)
      bt_quota_charge (job->tasks[i].attempt);
  job->idempotent = route->idempotent;
  job->max_retries = route->max_retries;
  job->packing_weight = route->packing_weight;
  job->waiting_weight = route->waiting_weight;
  job->rack_spread = route->rack_spread;
  gint64 deadline_ms = request->deadline_ms;
  if (deadline_ms == 0 && !job->durable)
    deadline_ms = route->deadline_ms;
  job->deadline_at
      = deadline_ms > 0 ? job->submitted_at + deadline_ms * BT_USEC_PER_MSEC : G_MAXINT64;
}

/**
 * bt_job_end_needs_record() - whether the end of a job and of its tasks is journaled
 * @job: the job
 *
 * Return: TRUE if the job is durable, so that its acceptance is journaled, or if the
 * journal holds any record of it.
 */
gboolean
bt_job_end_needs_record (const bt_job_t *job)
{
  return job->durable || job->recorded;
}

/**
 * bt_job_add_waiter() - add a daemon whose caller waits for the job
 * @job: the job
 * @member: the daemon's name
 */
void
bt_job_add_waiter (bt_job_t *job, const char *member)
{
  for (guint i = 0; i < job->waiters->len; i++)
    if (strcmp (job->waiters->pdata[i], member) == 0)
      return;
  g_ptr_array_add (job->waiters, g_ref_string_new (member));
}

/**
 * bt_attempt_new() - create an attempt to run a task
 * @core: the core
 * @job: its job
 * @task: index of the waiting task
 * @id: its id, or NULL for a new one
 * @worker_name: name of its worker
 *
 * Return: the attempt, in phase BT_PHASE_ADOPTED and linked to the task; bt_attempt_remove()
 * frees it.
 */
bt_attempt_t *
bt_attempt_new (bt_core_t *core, bt_job_t *job, guint task, const char *id, const char *worker_name)
{
  g_autofree char *new_id = NULL;
  if (id == NULL)
    id = new_id = g_strdup_printf ("%s/%u/%s.%" G_GUINT64_FORMAT, job->id, task, core->owner_id,
                                   core->sched.attempt_counter++);
  bt_attempt_t *attempt = g_new0 (bt_attempt_t, 1);
  attempt->id = g_ref_string_new (id);
  attempt->job = job;
  attempt->task = task;
  attempt->worker_name = g_ref_string_new (worker_name);
  attempt->phase = BT_PHASE_ADOPTED;
  job->tasks[task].attempt = attempt;
  job->tasks[task].state = BT_TASK_PLACED;
  job->tasks[task].n_attempts++;
  job->n_waiting--;
  job->n_placed++;
  g_hash_table_insert (core->sched.attempts, attempt->id, attempt);
  return attempt;
}

/**
 * bt_attempt_started_at() - when an attempt started, as far as this owner knows
 * @core: the core
 * @attempt: the attempt
 *
 * Return: when its start was sent, or when this owner began to lead if an earlier one sent it,
 * in microseconds.
 */
gint64
bt_attempt_started_at (const bt_core_t *core, const bt_attempt_t *attempt)
{
  return attempt->sent_at > 0 ? attempt->sent_at : core->owner.lead_since;
}

/**
 * bt_attempt_bind() - bind an attempt to a worker and allocate its resources
 * @attempt: an attempt that is not bound yet
 * @worker: the worker
 * @need: the resources that it takes
 */
void
bt_attempt_bind (bt_attempt_t *attempt, bt_worker_t *worker, const bt_resources_t *need)
{
  attempt->worker = worker;
  attempt->need = *need;
  bt_place_allocate (worker, need);
  bt_health_on_attempt_bound (attempt);
  bt_quota_charge (attempt);
  g_hash_table_insert (worker->attempts, attempt->id, attempt);
}

static void
unbind (bt_attempt_t *attempt)
{
  if (attempt->worker == NULL)
    return;
  bt_quota_credit (attempt);
  bt_health_on_attempt_dropped (attempt);
  bt_place_release (attempt->worker, &attempt->need);
  g_hash_table_remove (attempt->worker->attempts, attempt->id);
}

static void
unlink_and_free (bt_core_t *core, bt_attempt_t *attempt, bt_task_state_t task_state)
{
  bt_job_t *job = attempt->job;
  job->tasks[attempt->task].attempt = NULL;
  job->tasks[attempt->task].state = task_state;
  job->n_placed--;
  if (task_state == BT_TASK_ENDED)
    job->n_ended++;
  else
    job->n_waiting++;
  g_hash_table_remove (core->sched.attempts, attempt->id);
  g_ref_string_release (attempt->id);
  g_ref_string_release (attempt->worker_name);
  g_free (attempt);
}

/**
 * bt_attempt_remove() - free an attempt and release its resources on the worker
 * @core: the core
 * @attempt: the attempt, freed
 * @task_state: the state that its task is left in
 */
void
bt_attempt_remove (bt_core_t *core, bt_attempt_t *attempt, bt_task_state_t task_state)
{
  bt_worker_t *worker = attempt->worker;
  unbind (attempt);
  unlink_and_free (core, attempt, task_state);
  if (worker != NULL)
    bt_queue_on_resources_freed (core, worker);
}

/**
 * bt_attempt_undo() - remove an attempt that was made to test whether it fits
 * @core: the core
 * @attempt: the attempt, freed; neither recorded nor sent
 *
 * The resources that it releases were free before, so no queued job is tried again
 * because of them, and it is not counted as an attempt.
 */
void
bt_attempt_undo (bt_core_t *core, bt_attempt_t *attempt)
{
  attempt->job->tasks[attempt->task].n_attempts--;
  unbind (attempt);
  unlink_and_free (core, attempt, BT_TASK_WAITING);
}

/**
 * bt_job_answer() - combine the answers of all tasks
 * @job: a job whose tasks have ended
 *
 * Return: the answer of a single task as it is, those of several as a JSON
 * array of base64 texts; NULL if a single task has none.
 */
GBytes *
bt_job_answer (const bt_job_t *job)
{
  if (job->n_tasks == 1)
    return job->tasks[0].answer != NULL ? g_bytes_ref (job->tasks[0].answer) : NULL;
  JsonArray *array = json_array_new ();
  for (guint i = 0; i < job->n_tasks; i++)
    {
      gsize len = 0;
      const guchar *data
          = job->tasks[i].answer != NULL ? g_bytes_get_data (job->tasks[i].answer, &len) : NULL;
      g_autofree char *text = g_base64_encode (data, len);
      json_array_add_string_element (array, text);
    }
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return bt_json_to_bytes (node, FALSE);
}

static const char *
state_text (const bt_job_t *job)
{
  if (job->state == BT_JOB_ENDED)
    return bt_status_names[job->status];
  if (job->state == BT_JOB_RECORDING)
    return "recording";
  return job->n_placed > 0 ? "running" : "waiting";
}

static JsonNode *
tasks_to_json (const bt_job_t *job)
{
  JsonArray *array = json_array_new ();
  for (guint i = 0; i < job->n_tasks; i++)
    {
      const bt_task_t *task = &job->tasks[i];
      JsonObject *item = json_object_new ();
      static const char *const names[] = { "waiting", "placed", "ended" };
      static const char *const phases[]
          = { "recording", "sent", "running", "uncertain", "adopted" };
      json_object_set_string_member (item, "state", names[task->state]);
      if (task->attempt != NULL)
        {
          json_object_set_string_member (item, "phase", phases[task->attempt->phase]);
          json_object_set_string_member (item, "worker", task->attempt->worker_name);
          json_object_set_string_member (item, "attempt", task->attempt->id);
        }
      json_array_add_object_element (array, item);
    }
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}

/**
 * bt_job_to_json() - a job as JSON, for its caller
 * @core: the core
 * @job: the job
 * @whole: whether to include tasks and answer
 *
 * Return: a new node.
 */
JsonNode *
bt_job_to_json (const bt_core_t *core, const bt_job_t *job, gboolean whole)
{
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "job", job->id);
  json_object_set_string_member (json, "status", state_text (job));
  if (job->reason != BT_REASON_NONE)
    json_object_set_string_member (json, "reason", bt_reason_names[job->reason]);
  if (job->detail != NULL)
    json_object_set_string_member (json, "detail", job->detail);
  if (job->request != NULL)
    {
      json_object_set_string_member (json, "caller", job->request->caller);
      json_object_set_string_member (json, "work", job->request->work);
      json_object_set_string_member (json, "kind", bt_kind_names[job->request->kind]);
    }
  if (job->route != NULL)
    json_object_set_string_member (json, "route", job->route);
  json_object_set_int_member (json, "age_ms", (core->now - job->submitted_at) / BT_USEC_PER_MSEC);
  if (whole)
    json_object_set_member (json, "tasks", tasks_to_json (job));
  if (whole && job->answer != NULL)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (job->answer, &len);
      g_autofree char *text = g_base64_encode (data, len);
      json_object_set_string_member (json, "answer_base64", text);
    }
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}
