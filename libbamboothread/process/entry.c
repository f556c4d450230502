#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Requests whose callers wait at this daemon. Each is sent to the owner of a data
 * centre's workers, and resent to the next owner if that one is lost. The daemon
 * that a caller reached does not place or run anything in this role.
 */

/* Time without a reply after which a request is resent to the same owner. */
#define RESEND_INTERVAL_US (1 * BT_USEC_PER_SEC)
/* Time between two attempts to find an owner. */
#define OWNER_RETRY_US (50 * BT_USEC_PER_MSEC)
/* How long after its deadline a caller is still kept waiting: the larger of the grace time and
 * RUN_GRACE_FACTOR times the declared run time. */
#define RUN_GRACE_US (30 * BT_USEC_PER_SEC)
#define RUN_GRACE_FACTOR 10
/* How long a caller waits for the acceptance of a durable job to be recorded. */
#define ACCEPT_WAIT_US (15 * BT_USEC_PER_SEC)
/* How long a query waits for an owner's reply. */
#define QUERY_WAIT_US (3 * BT_USEC_PER_SEC)
/* Retry-After for requests that this daemon itself answers. */
#define RETRY_AFTER_MS 1000

static void
pending_free (gpointer data)
{
  bt_pending_request_t *pending = data;
  bt_schema_free (&bt_request_schema, pending->request);
  g_ref_string_release (pending->job);
  g_clear_pointer (&pending->home, g_ref_string_release);
  g_clear_pointer (&pending->sent_to, g_ref_string_release);
  g_clear_pointer (&pending->refused_by, g_ptr_array_unref);
  g_free (pending);
}

static void
query_free (gpointer data)
{
  bt_pending_query_t *query = data;
  g_ref_string_release (query->argument);
  g_free (query);
}

/**
 * bt_entry_init() - initialise the tables of pending requests and queries
 * @core: the core
 */
void
bt_entry_init (bt_core_t *core)
{
  bt_entry_t *entry = &core->entry;
  entry->by_job = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, NULL);
  entry->by_exchange = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pending_free);
  entry->queries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, query_free);
}

/**
 * bt_entry_clear() - free all pending requests and queries
 * @core: the core
 */
void
bt_entry_clear (bt_core_t *core)
{
  g_hash_table_unref (core->entry.by_job);
  g_hash_table_unref (core->entry.by_exchange);
  g_hash_table_unref (core->entry.queries);
}

/* Several exchanges may wait for one job, since requests of a caller with the same key share its
 * id. */
static GPtrArray *
find_pending (bt_core_t *core, const char *job)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  bt_pending_request_t *pending = g_hash_table_lookup (core->entry.by_job, job);
  if (pending != NULL && pending->request->key == NULL)
    {
      g_ptr_array_add (found, pending);
      return found;
    }
  g_hash_table_iter_init (&iter, core->entry.by_exchange);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pending))
    if (strcmp (pending->job, job) == 0)
      g_ptr_array_add (found, pending);
  return found;
}

static void
remove_pending (bt_core_t *core, bt_pending_request_t *pending)
{
  if (g_hash_table_lookup (core->entry.by_job, pending->job) == pending)
    g_hash_table_remove (core->entry.by_job, pending->job);
  g_hash_table_remove (core->entry.by_exchange, &pending->exchange);
}

static void
count_answer (bt_core_t *core, bt_status_t status)
{
  bt_counters_t *counters = &core->counters;
  switch (status)
    {
    case BT_STATUS_ACCEPTED:
    case BT_STATUS_HELD:
      counters->answered_accepted++;
      break;
    case BT_STATUS_DONE:
      counters->answered_done++;
      break;
    case BT_STATUS_NOT_RUN:
      counters->answered_not_run++;
      break;
    case BT_STATUS_UNKNOWN:
      counters->answered_unknown++;
      break;
    case BT_STATUS_FAILED:
      counters->answered_failed++;
      break;
    case BT_STATUS_CANCELLED:
      counters->answered_cancelled++;
      break;
    case BT_STATUS_RETRY:
      break;
    }
}

static void
answer (bt_core_t *core, bt_pending_request_t *pending, const bt_outcome_t *outcome)
{
  count_answer (core, outcome->status);
  core->ops.answer (core->context, pending->exchange, pending->job, outcome);
  remove_pending (core, pending);
}

/*
 * Refuses a request without asking an owner. A request with a key may have reached an owner
 * through another daemon, so only an owner can say that it was not run.
 */
static void
refuse_locally (bt_core_t *core, guint64 exchange, const bt_request_t *request, bt_reason_t reason,
                const char *detail)
{
  bt_outcome_t outcome = { .reason = reason, .detail = detail };
  outcome.status = request->key == NULL ? BT_STATUS_NOT_RUN : BT_STATUS_UNKNOWN;
  outcome.retry_after_ms = RETRY_AFTER_MS;
  count_answer (core, outcome.status);
  core->ops.answer (core->context, exchange, "", &outcome);
}

static char *
new_job_id (bt_core_t *core, const bt_request_t *request, const char *home)
{
  if (request->key == NULL)
    return g_strdup_printf ("%s/%s.%" G_GUINT64_FORMAT, home, core->owner_id,
                            core->entry.id_counter++);
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)request->caller,
                     (gssize)g_ref_string_length (request->caller) + 1);
  g_checksum_update (sum, (const guchar *)request->key, (gssize)g_ref_string_length (request->key));
  char *id = g_strdup_printf ("%s/k-%.40s", home, g_checksum_get_string (sum));
  g_checksum_free (sum);
  return id;
}

static gint64
get_give_up_time (const bt_core_t *core, const bt_request_t *request, const bt_route_t *route)
{
  if (bt_request_is_durable (request))
    return core->now + ACCEPT_WAIT_US;
  gint64 deadline_ms = request->deadline_ms > 0 ? request->deadline_ms : route->deadline_ms;
  gint64 run_us = RUN_GRACE_FACTOR * request->run_ms * BT_USEC_PER_MSEC;
  return core->now + deadline_ms * BT_USEC_PER_MSEC + MAX (run_us, RUN_GRACE_US);
}

static void
send_to_owner (bt_core_t *core, bt_pending_request_t *pending, const char *to, const char *address,
               gint64 lead_since)
{
  gboolean is_new_owner = pending->sent_to == NULL || strcmp (pending->sent_to, to) != 0
                          || pending->sent_lead_since != lead_since;
  if (is_new_owner && pending->awaiting_reply)
    pending->may_have_run = TRUE;
  if (pending->awaiting_reply)
    core->counters.entry_resent++;
  g_clear_pointer (&pending->sent_to, g_ref_string_release);
  pending->sent_to = g_ref_string_new (to);
  pending->sent_lead_since = lead_since;
  pending->n_sends = is_new_owner ? 1 : pending->n_sends + 1;
  pending->awaiting_reply = TRUE;
  pending->next_send = core->now + RESEND_INTERVAL_US;
  gint64 age_us = core->now - pending->submitted_at;
  if (address == NULL)
    {
      bt_sched_submit (core, core->name, pending->job, pending->request, pending->may_have_run,
                       age_us, lead_since);
      return;
    }
  g_autoptr (GBytes) bytes = bt_schema_to_bytes (&bt_request_schema, pending->request);
  Bt__Submit submit = BT__SUBMIT__INIT;
  submit.job = pending->job;
  gsize len;
  submit.request.data = (guint8 *)g_bytes_get_data (bytes, &len);
  submit.request.len = len;
  submit.tables_version = (guint64)core->tables.version;
  submit.age_ms = (guint32)(age_us / BT_USEC_PER_MSEC);
  submit.resent = pending->may_have_run;
  submit.lead_since_us = (guint64)lead_since;
  submit.hops = pending->refused_by != NULL ? pending->refused_by->len : 0;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_SUBMIT;
  envelope.submit = &submit;
  bt_core_send (core, address, &envelope);
}

static void
send_pending (bt_core_t *core, bt_pending_request_t *pending)
{
  if (strcmp (pending->home, core->data_centre) == 0 && core->owner.leading)
    {
      send_to_owner (core, pending, core->name, NULL, core->owner.lead_since);
      return;
    }
  const bt_member_t *leader = bt_members_find_leader (core, pending->home);
  if (leader == NULL)
    {
      pending->next_send = core->now + OWNER_RETRY_US;
      return;
    }
  send_to_owner (core, pending, leader->name, leader->address, leader->lead_since);
}

/**
 * bt_entry_submit() - handle a request from a caller of this daemon
 * @core: the core
 * @exchange: the caller's exchange, for the answer
 * @request: the request
 *
 * Return: the job's id, to be released, or NULL if the request was refused at once.
 */
GRefString *
bt_entry_submit (bt_core_t *core, guint64 exchange, const bt_request_t *request)
{
  core->counters.submitted++;
  if (core->tables.version == 0)
    {
      refuse_locally (core, exchange, request, BT_REASON_STARTING,
                      "this daemon has not read the tables yet");
      return NULL;
    }
  const bt_route_t *route
      = bt_tables_match_route (core->tables.tables, request->caller, request->work);
  if (route == NULL)
    {
      refuse_locally (core, exchange, request, BT_REASON_NO_ROUTE, "routes: no line matches");
      return NULL;
    }
  GRefString *home = bt_home_choose (core, route, request);
  if (home == NULL || core->leaving)
    {
      refuse_locally (core, exchange, request,
                      core->leaving ? BT_REASON_SHUTTING_DOWN : BT_REASON_NO_POOL_MEMBER,
                      core->leaving ? "this daemon is shutting down" : "the pool has no VM");
      return NULL;
    }
  g_autofree char *id = new_job_id (core, request, home);
  bt_pending_request_t *pending = g_new0 (bt_pending_request_t, 1);
  pending->job = g_ref_string_new (id);
  pending->exchange = exchange;
  pending->request = bt_schema_copy (&bt_request_schema, request);
  pending->home = g_ref_string_acquire (home);
  pending->submitted_at = core->now;
  pending->give_up_at = get_give_up_time (core, request, route);
  GRefString *result = g_ref_string_acquire (pending->job);
  g_hash_table_replace (core->entry.by_job, pending->job, pending);
  g_hash_table_insert (core->entry.by_exchange, &pending->exchange, pending);
  send_pending (core, pending);
  return result;
}

/* Whether an outcome comes from the owner, in the leadership, that the request was sent to last.
 * An outcome such as "not run" proves something only then, as an earlier owner can't know what
 * a later one did. */
static gboolean
is_from_last_owner (const bt_pending_request_t *pending, const char *from,
                    const bt_outcome_t *outcome)
{
  return pending->sent_to != NULL && strcmp (pending->sent_to, from) == 0
         && pending->sent_lead_since == outcome->lead_since;
}

/* Schedules another send after BT_STATUS_RETRY. The request was certainly not taken if the daemon
 * was not the owner and was asked only once, or if the owner asked last did not run it. */
static void
schedule_retry (bt_core_t *core, bt_pending_request_t *pending, const char *from,
                const bt_outcome_t *outcome)
{
  if (pending->sent_to == NULL || strcmp (pending->sent_to, from) != 0)
    return;
  gboolean proves_not_taken = outcome->reason == BT_REASON_NO_OWNER
                                  ? pending->n_sends == 1
                                  : is_from_last_owner (pending, from, outcome);
  if (proves_not_taken)
    pending->awaiting_reply = FALSE;
  pending->next_send = core->now + OWNER_RETRY_US;
}

/* Whether an owner refused to admit a request for a reason that holds for its data centre only. */
static gboolean
is_admission_refusal (const bt_outcome_t *outcome)
{
  if (outcome->status != BT_STATUS_NOT_RUN)
    return FALSE;
  switch (outcome->reason)
    {
    case BT_REASON_QUEUE_FULL:
    case BT_REASON_WAIT_TOO_LONG:
    case BT_REASON_NEVER_FITS:
    case BT_REASON_OVER_QUOTA:
    case BT_REASON_NO_POOL_MEMBER:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Whether a refusal proves that the request was not run, so that another data centre may be
 * asked. A request with a key may have reached an owner through another daemon too. */
static gboolean
may_try_elsewhere (const bt_pending_request_t *pending, const bt_outcome_t *outcome)
{
  return is_admission_refusal (outcome) && pending->request->key == NULL && !pending->may_have_run
         && pending->n_sends == 1;
}

/* Sends a refused request to another data centre, under a new job id. */
static gboolean
send_elsewhere (bt_core_t *core, bt_pending_request_t *pending)
{
  const bt_request_t *request = pending->request;
  const bt_route_t *route
      = bt_tables_match_route (core->tables.tables, request->caller, request->work);
  if (route == NULL || core->leaving)
    return FALSE;
  if (pending->refused_by == NULL)
    pending->refused_by = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  g_ptr_array_add (pending->refused_by, g_ref_string_acquire (pending->home));
  GRefString *home = bt_home_choose_next (core, route, request, pending->refused_by);
  if (home == NULL)
    return FALSE;
  if (g_hash_table_lookup (core->entry.by_job, pending->job) == pending)
    g_hash_table_remove (core->entry.by_job, pending->job);
  g_autofree char *id = new_job_id (core, request, home);
  g_ref_string_release (pending->job);
  pending->job = g_ref_string_new (id);
  g_hash_table_replace (core->entry.by_job, pending->job, pending);
  g_ref_string_release (pending->home);
  pending->home = g_ref_string_acquire (home);
  g_clear_pointer (&pending->sent_to, g_ref_string_release);
  pending->n_sends = 0;
  pending->awaiting_reply = FALSE;
  core->counters.entry_moved++;
  send_pending (core, pending);
  return TRUE;
}

/*
 * Owners remember a refused key only for a short time, since its caller may retry
 * with it. If the request was sent more than once, a late copy may still be
 * admitted, so the status is unknown.
 */
static void
answer_outcome (bt_core_t *core, bt_pending_request_t *pending, const bt_outcome_t *outcome)
{
  bt_outcome_t adjusted = *outcome;
  if (is_admission_refusal (outcome) && pending->request->key != NULL && pending->n_sends > 1)
    adjusted.status = BT_STATUS_UNKNOWN;
  answer (core, pending, &adjusted);
}

/**
 * bt_entry_on_outcome() - handle an owner's message with the outcome of a job
 * @core: the core
 * @from: the owner's name
 * @job: the job's id
 * @outcome: its outcome
 *
 * An outcome that nobody waits for is dropped and counted. So is one of an earlier owner,
 * unless it says that the request was accepted, done or failed: only the owner asked last
 * can say that it was not run; an earlier one can't know what the later one did.
 */
void
bt_entry_on_outcome (bt_core_t *core, const char *from, const char *job,
                     const bt_outcome_t *outcome)
{
  g_autoptr (GPtrArray) waiting = find_pending (core, job);
  if (waiting->len == 0)
    core->counters.answers_dropped_late++;
  for (guint i = 0; i < waiting->len; i++)
    {
      bt_pending_request_t *pending = waiting->pdata[i];
      gboolean ran = outcome->status == BT_STATUS_DONE || outcome->status == BT_STATUS_FAILED
                     || outcome->status == BT_STATUS_ACCEPTED;
      if (outcome->status == BT_STATUS_RETRY)
        schedule_retry (core, pending, from, outcome);
      else if (ran || is_from_last_owner (pending, from, outcome))
        {
          if (!may_try_elsewhere (pending, outcome) || !send_elsewhere (core, pending))
            answer_outcome (core, pending, outcome);
        }
      else
        core->counters.answers_dropped_late++;
    }
}

/**
 * bt_entry_on_caller_gone() - handle a caller that closed its exchange before the answer
 * @core: the core
 * @exchange: the exchange
 */
void
bt_entry_on_caller_gone (bt_core_t *core, guint64 exchange)
{
  bt_pending_request_t *pending = g_hash_table_lookup (core->entry.by_exchange, &exchange);
  if (pending == NULL)
    return;
  const char *to = pending->sent_to;
  if (to != NULL && strcmp (to, core->name) == 0)
    bt_sched_on_caller_gone (core, core->name, pending->job);
  else if (to != NULL)
    {
      Bt__CallerGone gone = BT__CALLER_GONE__INIT;
      gone.job = pending->job;
      Bt__Envelope envelope = BT__ENVELOPE__INIT;
      envelope.body_case = BT__ENVELOPE__BODY_CALLER_GONE;
      envelope.caller_gone = &gone;
      bt_core_send_to_member (core, to, &envelope);
    }
  pending = g_hash_table_lookup (core->entry.by_exchange, &exchange);
  if (pending != NULL)
    remove_pending (core, pending);
}

static char *
home_of_job (const char *job)
{
  const char *slash = strchr (job, '/');
  return slash != NULL ? g_strndup (job, (gsize)(slash - job)) : g_strdup ("");
}

static GBytes *
list_jobs (const bt_core_t *core, const char *caller)
{
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    if (job->request != NULL && (caller[0] == '\0' || strcmp (job->request->caller, caller) == 0))
      json_array_add_element (array, bt_job_to_json (core, job, FALSE));
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return bt_json_to_bytes (node, FALSE);
}

static GBytes *
answer_query (bt_core_t *core, bt_query_t what, const char *argument)
{
  if (what == BT_QUERY_LIST)
    return list_jobs (core, argument);
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, argument);
  if (what == BT_QUERY_EXPLAIN)
    return bt_explain_decisions (core, argument);
  if (job == NULL)
    return NULL;
  if (what == BT_QUERY_WHY_WAITING)
    return bt_explain_waiting (core, job);
  if (what == BT_QUERY_CANCEL)
    bt_sched_cancel (core, job);
  g_autoptr (JsonNode) node = bt_job_to_json (core, job, TRUE);
  return bt_json_to_bytes (node, FALSE);
}

/**
 * bt_entry_query() - handle a query from a caller or operator
 * @core: the core
 * @exchange: the exchange, for the answer
 * @what: the kind of query
 * @argument: a job's id, or a caller's name for a list
 */
void
bt_entry_query (bt_core_t *core, guint64 exchange, bt_query_t what, const char *argument)
{
  g_autofree char *home
      = what == BT_QUERY_LIST ? g_strdup (core->data_centre) : home_of_job (argument);
  if (core->owner.leading && strcmp (home, core->data_centre) == 0)
    {
      g_autoptr (GBytes) body = answer_query (core, what, argument);
      core->ops.query_answer (core->context, exchange, body != NULL, body);
      return;
    }
  const bt_member_t *leader = bt_members_find_leader (core, home);
  if (leader == NULL)
    {
      core->ops.query_answer (core->context, exchange, FALSE, NULL);
      return;
    }
  bt_pending_query_t *query = g_new0 (bt_pending_query_t, 1);
  query->number = ++core->entry.id_counter;
  query->exchange = exchange;
  query->kind = what;
  query->argument = g_ref_string_new (argument);
  query->give_up_at = core->now + QUERY_WAIT_US;
  g_hash_table_insert (core->entry.queries, &query->number, query);
  Bt__Query message = BT__QUERY__INIT;
  message.number = query->number;
  message.what = what;
  message.argument = (char *)argument;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_QUERY;
  envelope.query = &message;
  bt_core_send (core, leader->address, &envelope);
}

/**
 * bt_entry_on_query() - handle another daemon's query about jobs of this data centre
 * @core: the core
 * @member: that daemon's name
 * @query: its query
 */
void
bt_entry_on_query (bt_core_t *core, const char *member, const Bt__Query *query)
{
  Bt__QueryReply reply = BT__QUERY_REPLY__INIT;
  reply.number = query->number;
  g_autoptr (GBytes) body = core->owner.leading && query->what <= BT_QUERY_WHY_WAITING
                                ? answer_query (core, (bt_query_t)query->what, query->argument)
                                : NULL;
  reply.known = body != NULL;
  if (body != NULL)
    {
      gsize len;
      reply.body.data = (guint8 *)g_bytes_get_data (body, &len);
      reply.body.len = len;
    }
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_QUERY_REPLY;
  envelope.query_reply = &reply;
  bt_core_send_to_member (core, member, &envelope);
}

/**
 * bt_entry_on_query_reply() - handle an owner's reply to a query
 * @core: the core
 * @reply: its answer
 */
void
bt_entry_on_query_reply (bt_core_t *core, const Bt__QueryReply *reply)
{
  bt_pending_query_t *query = g_hash_table_lookup (core->entry.queries, &reply->number);
  if (query == NULL)
    {
      core->counters.answers_dropped_late++;
      return;
    }
  g_autoptr (GBytes) body = g_bytes_new (reply->body.data, reply->body.len);
  core->ops.query_answer (core->context, query->exchange, reply->known, body);
  g_hash_table_remove (core->entry.queries, &reply->number);
}

static void
expire_queries (bt_core_t *core)
{
  GHashTableIter iter;
  bt_pending_query_t *query;
  g_hash_table_iter_init (&iter, core->entry.queries);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&query))
    {
      if (core->now < query->give_up_at)
        continue;
      core->ops.query_answer (core->context, query->exchange, FALSE, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

static void
give_up (bt_core_t *core, bt_pending_request_t *pending)
{
  gboolean keyed = pending->request->key != NULL;
  gboolean certain = !keyed && !pending->may_have_run && !pending->awaiting_reply;
  bt_outcome_t outcome = { .status = certain ? BT_STATUS_NOT_RUN : BT_STATUS_UNKNOWN };
  outcome.reason = BT_REASON_NO_OWNER;
  outcome.retry_after_ms = RETRY_AFTER_MS;
  outcome.detail = "no owner of the data centre's workers answered";
  answer (core, pending, &outcome);
}

static gboolean
owner_changed (const bt_core_t *core, const bt_pending_request_t *pending)
{
  if (!pending->awaiting_reply)
    return FALSE;
  if (strcmp (pending->home, core->data_centre) == 0 && core->owner.leading)
    return strcmp (pending->sent_to, core->name) != 0
           || pending->sent_lead_since != core->owner.lead_since;
  const bt_member_t *leader = bt_members_find_leader (core, pending->home);
  return leader != NULL
         && (strcmp (pending->sent_to, leader->name) != 0
             || pending->sent_lead_since != leader->lead_since);
}

/**
 * bt_entry_tick() - resend the requests that are due, and end those and the queries that timed out
 * @core: the core
 */
void
bt_entry_tick (bt_core_t *core)
{
  expire_queries (core);
  g_autoptr (GPtrArray) due = g_ptr_array_new ();
  GHashTableIter iter;
  bt_pending_request_t *pending;
  g_hash_table_iter_init (&iter, core->entry.by_exchange);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pending))
    if (core->now >= MIN (pending->next_send, pending->give_up_at) || owner_changed (core, pending))
      g_ptr_array_add (due, g_memdup2 (&pending->exchange, sizeof pending->exchange));
  for (guint i = 0; i < due->len; i++)
    {
      pending = g_hash_table_lookup (core->entry.by_exchange, due->pdata[i]);
      if (pending != NULL && core->now >= pending->give_up_at)
        give_up (core, pending);
      else if (pending != NULL)
        send_pending (core, pending);
      g_free (due->pdata[i]);
    }
}
