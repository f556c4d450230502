#include "libbamboothread/scheduler/explain.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/order.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/quota.h"

/* Most workers that are named for each reason. */
#define EXAMPLES_MAX 10

/* By bts_place_result_t. */
static const char *const place_names[]
    = { NULL,         "unavailable", "other-service", "no-label",    "per-worker-max",
        "interferes", "no-room",     "no-slot",       "on-probation" };

/* By bts_availability_t. */
static const char *const availability_names[]
    = { NULL, "runs-not-listed", "not-held", "no-entry", "draining", "silent", "backoff" };

/**
 * struct against_t - the workers that can't take a task for the same reason
 * @reason: the reason, one of the names above or of find_reason()
 * @n: their number
 * @examples: up to %EXAMPLES_MAX of them
 */
typedef struct
{
  const char *reason;
  guint n;
  const bts_worker_t *examples[EXAMPLES_MAX];
} against_t;

/**
 * struct survey_t - the workers of a stage's pool
 * @n_workers: their number
 * @n_candidates: those that can take a task now
 * @n_fitting: tasks that fit on them
 * @against: against_t of the others
 */
typedef struct
{
  guint n_workers;
  guint n_candidates;
  guint n_fitting;
  GArray *against;
} survey_t;

/**
 * struct answer_t - what is written
 * @job: the job, known only to the explanation; NULL if the request is refused before
 */
typedef struct
{
  const bts_explain_view_t *view;
  bts_sched_view_t sched;
  gboolean leading;
  JsonBuilder *json;
  bts_job_t *job;
} answer_t;

static void
add_string (const answer_t *answer, const char *name, const char *value)
{
  json_builder_set_member_name (answer->json, name);
  json_builder_add_string_value (answer->json, value);
}

static void
add_int (const answer_t *answer, const char *name, gint64 value)
{
  json_builder_set_member_name (answer->json, name);
  json_builder_add_int_value (answer->json, value);
}

static void
add_double (const answer_t *answer, const char *name, double value)
{
  json_builder_set_member_name (answer->json, name);
  json_builder_add_double_value (answer->json, value);
}

static void
add_bool (const answer_t *answer, const char *name, gboolean value)
{
  json_builder_set_member_name (answer->json, name);
  json_builder_add_boolean_value (answer->json, value);
}

static void
begin_object (const answer_t *answer, const char *name)
{
  json_builder_set_member_name (answer->json, name);
  json_builder_begin_object (answer->json);
}

static void
add_resources (const answer_t *answer, const char *name, const bts_resources_t *resources)
{
  begin_object (answer, name);
  add_int (answer, "cpu", resources->cpu_millis);
  add_int (answer, "mem-mb", resources->memory_mb);
  add_int (answer, "gpu", resources->gpus);
  json_builder_end_object (answer->json);
}

/* What the caller would be answered. */
static void
add_status (const answer_t *answer, gint64 status, const char *reason)
{
  add_int (answer, "status", status);
  add_string (answer, "reason", reason);
}

static void
add_process (const answer_t *answer)
{
  const bts_intake_t *intake = answer->view->intake;
  const char *owner = bts_ledger_owner (intake->ledger);
  add_string (answer, "agent", intake->election->node);
  add_bool (answer, "leading", answer->leading);
  if (owner != NULL)
    add_string (answer, "owner", owner);
  if (answer->view->tables != NULL)
    add_int (answer, "tables", answer->view->tables->version);
}

static void
add_route (const answer_t *answer, const bts_route_t *route)
{
  begin_object (answer, "route");
  add_string (answer, "name", route->name);
  add_string (answer, "service", route->service);
  add_int (answer, "priority", route->priority);
  add_double (answer, "stretch", route->stretch);
  add_int (answer, "objective-ms", route->objective_ms);
  add_bool (answer, "public", route->is_public);
  add_bool (answer, "advised", route->advised);
  json_builder_end_object (answer->json);
}

/* Finds the tenant of a request, or writes why the request is refused. Returns whether it isn't. */
static gboolean
check_access (const answer_t *answer, const bts_route_t *route, const char *key,
              const bts_tenant_t **tenant)
{
  const bts_explain_view_t *view = answer->view;
  switch (bts_access_check (view->freshness, view->tables, route, key, view->now_us, tenant))
    {
    case BTS_ACCESS_GRANTED:
      return TRUE;
    case BTS_ACCESS_UNAUTHORIZED:
      add_status (answer, 401, key == NULL ? "the key is missing" : "no tenant has this key");
      return FALSE;
    case BTS_ACCESS_STALE:
      add_status (answer, 503, "the tables are too old to say whether the key or route is valid");
      return FALSE;
    case BTS_ACCESS_NO_ROUTE:
      add_status (answer, 404, "no route has this host and path");
      return FALSE;
    default:
      add_status (answer, 503, "the tables weren't read to their end yet");
      return FALSE;
    }
}

/* Parses the job of a request, or writes why the request is refused. */
static Bts__Accepted *
parse_request (const answer_t *answer, const bts_explain_request_t *request)
{
  const bts_explain_view_t *view = answer->view;
  const bts_route_t *route
      = view->tables == NULL ? NULL
                             : bts_tables_find_route (view->tables, request->host, request->path);
  const bts_tenant_t *tenant;
  if (route != NULL)
    add_route (answer, route);
  if (!check_access (answer, route, request->key, &tenant))
    return NULL;
  if (tenant != NULL)
    add_string (answer, "tenant", tenant->name);
  const char *id = request->path + strlen (route->prefix);
  if (!bts_job_id_is_valid (id))
    {
      add_status (answer, 400, "the id doesn't consist of 16 hexadecimal digits in lower case");
      return NULL;
    }
  g_autoptr (GError) error = NULL;
  Bts__Accepted *job = request->parse (id, route, tenant, request->body, request->len, &error);
  if (job == NULL)
    {
      add_status (answer, 400, error->message);
      return NULL;
    }
  if (tenant != NULL)
    job->submitted_ms = view->now_unix_ms;
  job->seen = (guint64)bts_ledger_next_offset (view->intake->ledger);
  return job;
}

/* Writes what this process would do with a job. */
static void
add_intake (const answer_t *answer, const Bts__Accepted *job)
{
  const bts_intake_t *intake = answer->view->intake;
  gboolean known = bts_ledger_job (intake->ledger, job->id) != NULL;
  if (!known && bts_usage_find_unfit (job) != NULL)
    {
      add_string (answer, "intake", "refuse");
      add_status (answer, 503, "a task or gang is larger than the tenant's cap can ever admit");
      return;
    }
  if (bts_intake_choose (intake, job->id, answer->view->now_us) != NULL)
    {
      add_string (answer, "intake", "forward");
      add_status (answer, 200, "once the owner has stored the job");
      return;
    }
  switch (bts_requests_check (intake->requests, job, answer->view->now_us))
    {
    case BTS_SUBMISSION_NEW:
      add_string (answer, "intake", "append");
      add_status (answer, 200, "once the job is stored");
      return;
    case BTS_SUBMISSION_KNOWN:
      add_string (answer, "intake", "known");
      add_status (answer, 200, "the id is that of a known job, so nothing new would run");
      return;
    case BTS_SUBMISSION_BARRED:
      add_string (answer, "intake", "refuse");
      add_status (answer, 503, "the id was cancelled lately");
      return;
    default:
      add_string (answer, "intake", "refuse");
      add_status (answer, 503,
                  "this process can't read the journal to its end, or has skipped records");
    }
}

/* What is left of a cap; 0 if there is none. */
static gint64
headroom (gint64 cap, gint64 used)
{
  return cap == 0 ? 0 : cap - used;
}

/* The weighted share of the job's tenant. That of a tenant that has nothing running in the pool
   isn't asked for, since that would add the pool to its account. */
static double
weighted_share (const answer_t *answer)
{
  const bts_job_t *job = answer->job;
  for (guint i = 0; i < job->account->pools->len; i++)
    if (((const bts_pool_usage_t *)job->account->pools->pdata[i])->service == job->service)
      return bts_share_weighted (answer->sched.share, job);
  return 0;
}

static void
add_quota (const answer_t *answer)
{
  const bts_account_t *account = answer->job->account;
  if (account == NULL)
    return;
  bts_resources_t used = account->used;
  bts_resources_add (&used, &account->assumed);
  const bts_resources_t left = { headroom (account->cap.cpu_millis, used.cpu_millis),
                                 headroom (account->cap.memory_mb, used.memory_mb),
                                 headroom (account->cap.gpus, used.gpus) };
  begin_object (answer, "quota");
  add_resources (answer, "cap", &account->cap);
  add_resources (answer, "used", &used);
  add_resources (answer, "headroom", &left);
  add_double (answer, "weight", account->weight);
  add_double (answer, "weighted-share", weighted_share (answer));
  add_bool (answer, "in-excess", answer->job->in_excess);
  json_builder_end_object (answer->json);
}

/* The first reason against a worker, or NULL if it can take a task of the stage. */
static const char *
find_reason (const answer_t *answer, const bts_worker_t *worker, const bts_stage_t *stage)
{
  gint64 now_us = answer->view->now_us;
  bts_place_result_t result = bts_place_check (worker, stage, now_us);
  if (result == BTS_PLACE_UNAVAILABLE)
    return availability_names[bts_place_availability (worker, now_us)];
  if (result != BTS_PLACE_OK)
    return place_names[result];
  if (bts_place_is_reserved (worker, bts_stage_step (stage), answer->sched.pass, now_us))
    return "reserved";
  bts_task_t untouched;
  const bts_task_t *task = bts_stage_view_task (stage, 0, &untouched);
  return bts_crash_may_start (worker, task, now_us) ? NULL : "suspect-starting";
}

static void
note_against (survey_t *survey, const char *reason, const bts_worker_t *worker)
{
  against_t *against = NULL;
  for (guint i = 0; i < survey->against->len && against == NULL; i++)
    if (g_array_index (survey->against, against_t, i).reason == reason)
      against = &g_array_index (survey->against, against_t, i);
  if (against == NULL)
    {
      g_array_set_size (survey->against, survey->against->len + 1);
      against = &g_array_index (survey->against, against_t, survey->against->len - 1);
      against->reason = reason;
    }
  if (against->n < EXAMPLES_MAX)
    against->examples[against->n] = worker;
  against->n++;
}

static void
survey_pool (const answer_t *answer, const bts_stage_t *stage, survey_t *survey)
{
  const GPtrArray *pool = g_hash_table_lookup (answer->sched.fleet->pools, stage->job->service);
  survey->against = g_array_new (FALSE, TRUE, sizeof (against_t));
  survey->n_workers = pool == NULL ? 0 : pool->len;
  for (guint i = 0; i < survey->n_workers; i++)
    {
      const bts_worker_t *worker = pool->pdata[i];
      const char *reason = find_reason (answer, worker, stage);
      if (reason != NULL)
        {
          note_against (survey, reason, worker);
          continue;
        }
      survey->n_candidates++;
      survey->n_fitting
          += MIN (bts_place_count_startable (worker, &worker->used, 0, stage), BTS_TASKS_MAX);
    }
}

static void
add_survey (const answer_t *answer, const survey_t *survey)
{
  add_int (answer, "workers", survey->n_workers);
  add_int (answer, "candidates", survey->n_candidates);
  add_int (answer, "fitting", survey->n_fitting);
  json_builder_set_member_name (answer->json, "against");
  json_builder_begin_array (answer->json);
  for (guint i = 0; i < survey->against->len; i++)
    {
      const against_t *against = &g_array_index (survey->against, against_t, i);
      json_builder_begin_object (answer->json);
      add_string (answer, "reason", against->reason);
      add_int (answer, "workers", against->n);
      json_builder_set_member_name (answer->json, "examples");
      json_builder_begin_array (answer->json);
      for (guint k = 0; k < MIN (against->n, EXAMPLES_MAX); k++)
        json_builder_add_string_value (answer->json, against->examples[k]->entry->id);
      json_builder_end_array (answer->json);
      json_builder_end_object (answer->json);
    }
  json_builder_end_array (answer->json);
}

/* Writes where in the queue a stage would come. Bands are those by the time alone: late gangs that
   the owner serves as if they were on time count as late. */
static void
add_queue (const answer_t *answer, const bts_stage_t *stage)
{
  gint64 now_us = answer->view->now_us;
  bts_band_t band = bts_order_band (stage, now_us);
  guint n_before = 0;
  guint n_within = 0;
  for (guint i = 0; i < answer->sched.queue->len; i++)
    {
      const bts_stage_t *other = answer->sched.queue->pdata[i];
      bts_band_t other_band = bts_order_band (other, now_us);
      if (bts_job_has_ended (other->job))
        continue;
      n_before += other_band < band;
      n_within += other_band == band && other->latest_start_us <= stage->latest_start_us;
    }
  add_string (answer, "band", bts_band_name (band));
  add_int (answer, "ahead-in-band", n_within);
  add_int (answer, "ahead-in-earlier-bands", n_before);
}

static void
add_unknown_start (const answer_t *answer, const char *reason)
{
  add_string (answer, "start", "unknown");
  add_string (answer, "start-reason", reason);
}

static void
add_start_in (const answer_t *answer, gint64 in_ms, const char *reason)
{
  add_string (answer, "start", "expected");
  add_int (answer, "start-in-ms", in_ms);
  add_string (answer, "start-reason", reason);
}

static void
add_start_with_room (const answer_t *answer, const bts_stage_t *stage, guint n_admitted)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (!bts_stage_policy (stage)->advised)
    {
      add_string (answer, "start", "now");
      add_string (answer, "start-reason", "there is room");
    }
  else if (bts_usage_may_ask (answer->sched.usage, stage->job->account, step, n_admitted,
                              bts_quota_kind (stage)))
    add_unknown_start (answer, "there is room, and the advice service decides who may use it");
  else
    add_unknown_start (answer, "the cap is used up by stages that wait for advice");
}

/* Writes when the first task of a stage, or the whole gang, is expected to start. */
static void
add_start (const answer_t *answer, const bts_stage_t *stage, const survey_t *survey,
           guint n_admitted)
{
  const Bts__Step *step = bts_stage_step (stage);
  const bts_explain_view_t *view = answer->view;
  gint64 due_in_ms = bts_job_due_ms (stage->job, 0) - view->now_unix_ms;
  guint n_needed = step->gang ? stage->n_tasks : 1;
  if (step->n_after > 0)
    add_unknown_start (answer, "earlier steps have to end first");
  else if (due_in_ms > 0)
    add_start_in (answer, due_in_ms, "it is due then");
  else if (answer->sched.paused != NULL)
    add_unknown_start (answer, answer->sched.paused);
  else if (n_admitted == 0)
    add_unknown_start (answer, "the tenant's cap is used up");
  else if (survey->n_fitting >= n_needed)
    add_start_with_room (answer, stage, n_admitted);
  else
    {
      gint64 fit_us = bts_reserve_expect_us (view->sched, stage, n_needed, view->now_us);
      if (fit_us == G_MAXINT64)
        add_unknown_start (answer, "no end of a run is expected to leave enough room");
      else if (fit_us <= view->now_us)
        add_unknown_start (answer, "there is room only on workers that can't take the task now");
      else
        add_start_in (answer, (fit_us - view->now_us) / 1000, "room is expected to be free then");
    }
}

static void
add_step (const answer_t *answer, guint number)
{
  bts_stage_t *stage = bts_job_stage (answer->job, 0, number);
  const Bts__Step *step = bts_stage_step (stage);
  bts_order_set_times (stage);
  guint n_admitted = bts_usage_count_startable (answer->sched.usage, answer->job->account, step,
                                                stage->n_tasks, bts_quota_kind (stage));
  survey_t survey = { 0 };
  survey_pool (answer, stage, &survey);
  json_builder_begin_object (answer->json);
  add_int (answer, "step", number);
  add_int (answer, "tasks", stage->n_tasks);
  add_bool (answer, "gang", step->gang);
  add_queue (answer, stage);
  add_int (answer, "admitted-by-cap", n_admitted);
  add_bool (answer, "advice-needed", bts_stage_policy (stage)->advised);
  add_survey (answer, &survey);
  add_start (answer, stage, &survey, n_admitted);
  json_builder_end_object (answer->json);
  g_array_unref (survey.against);
}

/* Writes what the owner would do with the job. */
static void
add_placement (const answer_t *answer)
{
  gsize n_steps = answer->job->accepted->n_steps;
  add_int (answer, "allowed-ms", bts_order_allowed_ms (answer->job));
  add_quota (answer);
  json_builder_set_member_name (answer->json, "steps");
  json_builder_begin_array (answer->json);
  for (guint i = 0; i < MIN (n_steps, BTS_EXPLAIN_STEPS_MAX); i++)
    add_step (answer, i);
  json_builder_end_array (answer->json);
  if (n_steps > BTS_EXPLAIN_STEPS_MAX)
    add_int (answer, "steps-left-out", (gint64)n_steps - BTS_EXPLAIN_STEPS_MAX);
}

/* Creates the job as the owner would, in no one's books. Whether it is in excess is decided on a
   copy of the account, since the decision takes a token. */
static bts_job_t *
create_job (const answer_t *answer, Bts__Accepted *accepted)
{
  bts_job_t *job = bts_job_new (accepted, G_MAXINT64, answer->view->now_us);
  const bts_account_t *account = bts_usage_find (answer->sched.usage, accepted->policy->tenant);
  if (account == NULL)
    return job;
  bts_account_t copy = *account;
  job->in_excess = bts_share_is_excess (&copy, accepted);
  job->account = (bts_account_t *)account;
  return job;
}

/**
 * bts_explain() - explain where a job would go if it was submitted now
 * @view: the state of this process
 * @request: the request of the caller
 *
 * Return: a JSON object; docs/OPERATIONS.md describes it.
 */
char *
bts_explain (const bts_explain_view_t *view, const bts_explain_request_t *request)
{
  g_autoptr (JsonBuilder) json = json_builder_new_immutable ();
  answer_t answer = { .view = view, .json = json };
  answer.leading = bts_sched_view (view->sched, &answer.sched);
  json_builder_begin_object (json);
  add_process (&answer);
  Bts__Accepted *accepted = parse_request (&answer, request);
  if (accepted != NULL)
    {
      add_string (&answer, "job", accepted->id);
      add_intake (&answer, accepted);
      answer.job = create_job (&answer, accepted);
      if (answer.leading)
        add_placement (&answer);
      bts_job_free (answer.job);
    }
  json_builder_end_object (json);
  g_autoptr (JsonNode) root = json_builder_get_root (json);
  return json_to_string (root, FALSE);
}
