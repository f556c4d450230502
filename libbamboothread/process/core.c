#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"

#include "libbamboothread/base/log.h"

/**
 * bt_core_config_init() - set the default times
 * @config: filled in; its names and addresses are left unset
 */
void
bt_core_config_init (bt_core_config_t *config)
{
  memset (config, 0, sizeof *config);
  config->heartbeat_us = 500 * BT_USEC_PER_MSEC;
  config->suspect_us = 2 * BT_USEC_PER_SEC;
  config->lease_us = 3 * BT_USEC_PER_SEC;
  config->task_lease_us = 8 * BT_USEC_PER_SEC;
  config->drift_us = 100 * BT_USEC_PER_MSEC;
  config->call_timeout_us = 2 * BT_USEC_PER_SEC;
  config->retention_us = 600LL * BT_USEC_PER_SEC;
  config->snapshot_us = 3600LL * BT_USEC_PER_SEC;
  config->append_interval_us = 50 * BT_USEC_PER_MSEC;
}

/**
 * bt_core_new() - create a core, which begins its work with bt_core_start()
 * @config: its settings, copied; @config->seeds has to outlive the core
 * @clock: the clock that it reads
 * @ops: callbacks for its messages
 * @context: first argument of each callback
 *
 * Return: a new core, to be freed with bt_core_free().
 */
bt_core_t *
bt_core_new (const bt_core_config_t *config, const bt_clock_t *clock, const bt_core_ops_t *ops,
             void *context)
{
  bt_core_t *core = g_new0 (bt_core_t, 1);
  core->config = *config;
  core->name = g_strdup (config->name);
  core->address = g_strdup (config->address);
  core->data_centre = g_strdup (config->data_centre);
  core->region = g_strdup (config->region);
  core->owner_id
      = g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x", config->name, config->incarnation);
  core->clock = clock;
  core->rand = g_rand_new_with_seed (config->seed);
  core->ops = *ops;
  core->context = context;
  core->now = core->started_at = bt_clock_now (clock);
  bt_fold_init (&core->tables);
  bt_members_init (core);
  bt_owner_init (core);
  bt_place_init (core);
  bt_gang_init (core);
  bt_preempt_init (core);
  bt_journal_init (core);
  bt_sched_init (core);
  bt_quota_init (core);
  bt_queue_init (core);
  bt_estimate_init (core);
  bt_admit_init (core);
  bt_home_init (core);
  bt_entry_init (core);
  bt_trace_init (core);
  return core;
}

/**
 * bt_core_free() - free a core and everything it owns
 * @core: the core
 */
void
bt_core_free (bt_core_t *core)
{
  bt_sched_clear (core);
  bt_queue_clear (core);
  bt_quota_clear (core);
  bt_estimate_clear (core);
  bt_admit_clear (core);
  bt_home_clear (core);
  bt_entry_clear (core);
  bt_journal_clear (core);
  bt_owner_clear (core);
  bt_place_clear (core);
  bt_gang_clear (core);
  bt_preempt_clear (core);
  bt_members_clear (core);
  bt_trace_clear (core);
  bt_fold_clear (&core->tables);
  g_rand_free (core->rand);
  g_free (core->name);
  g_free (core->address);
  g_free (core->data_centre);
  g_free (core->region);
  g_free (core->owner_id);
  g_free (core);
}

/**
 * bt_core_send() - send a message to the daemon at an address
 * @core: the core
 * @address: host:port
 * @envelope: the message; its sender is filled in
 */
void
bt_core_send (bt_core_t *core, const char *address, Bt__Envelope *envelope)
{
  envelope->from = core->name;
  envelope->address = core->address;
  envelope->incarnation = core->config.incarnation;
  core->ops.peer_send (core->context, address, envelope);
}

/**
 * bt_core_send_to_member() - send a message to a daemon by name, if it is a known member
 * @core: the core
 * @name: its name
 * @envelope: the message
 */
void
bt_core_send_to_member (bt_core_t *core, const char *name, Bt__Envelope *envelope)
{
  const bt_member_t *member = bt_members_find (core, name);
  if (member != NULL)
    bt_core_send (core, member->address, envelope);
}

static void
update_now (bt_core_t *core)
{
  core->now = bt_clock_now (core->clock);
}

/**
 * bt_core_start() - begin to read the log and to find peers
 * @core: the core
 */
void
bt_core_start (bt_core_t *core)
{
  bt_core_tick (core);
}

/**
 * bt_core_tick() - run all timers that are due
 * @core: the core
 *
 * Call it at intervals much shorter than the shortest time in bt_core_config_t.
 */
void
bt_core_tick (bt_core_t *core)
{
  update_now (core);
  bt_members_tick (core);
  bt_core_tables_tick (core);
  bt_owner_tick (core);
  bt_journal_tick (core);
  bt_feasibility_tick (core);
  bt_gang_tick (core);
  bt_preempt_tick (core);
  bt_drain_tick (core);
  bt_sched_tick (core);
  bt_health_tick (core);
  bt_entry_tick (core);
  bt_journal_tick (core);
}

/**
 * bt_core_leave() - begin a planned shutdown
 * @core: the core
 *
 * New requests are refused, and the workers' leases are released at once so that
 * another daemon can claim them. Keep the core running until bt_core_is_idle(), so
 * that requests in flight are answered.
 */
void
bt_core_leave (bt_core_t *core)
{
  update_now (core);
  if (core->leaving)
    return;
  core->leaving = TRUE;
  bt_owner_release (core);
  core->owner.is_candidate = FALSE;
  bt_members_announce (core);
}

/**
 * bt_core_is_idle() - whether a daemon that is shutting down may exit
 * @core: the core
 *
 * Return: TRUE if no request or query is unanswered and no record is still to be appended.
 */
gboolean
bt_core_is_idle (const bt_core_t *core)
{
  return g_hash_table_size (core->entry.by_exchange) == 0
         && g_hash_table_size (core->entry.queries) == 0 && core->journal.pending.length == 0
         && core->journal.in_flight == NULL;
}

/**
 * bt_core_submit() - submit a caller's request
 * @core: the core
 * @exchange: unique number of the caller's HTTP exchange, passed back with the answer
 * @request: the request, copied
 *
 * Return: the job's id, to be released, or NULL if it was refused at once; the
 * answer may be given before this function returns.
 */
GRefString *
bt_core_submit (bt_core_t *core, guint64 exchange, const bt_request_t *request)
{
  update_now (core);
  GRefString *id = bt_entry_submit (core, exchange, request);
  bt_journal_tick (core);
  return id;
}

/**
 * bt_core_on_caller_gone() - handle that a caller disconnected before its answer
 * @core: the core
 * @exchange: as given to bt_core_submit()
 */
void
bt_core_on_caller_gone (bt_core_t *core, guint64 exchange)
{
  update_now (core);
  bt_entry_on_caller_gone (core, exchange);
}

/**
 * bt_core_query() - submit a query of a caller or operator
 * @core: the core
 * @exchange: unique number of the HTTP exchange, passed back with the answer
 * @kind: kind of query
 * @argument: id of a job, or name of a caller for BT_QUERY_LIST
 */
void
bt_core_query (bt_core_t *core, guint64 exchange, bt_query_t kind, const char *argument)
{
  update_now (core);
  bt_entry_query (core, exchange, kind, argument);
  bt_journal_tick (core);
}

static void
trace_forwarded (bt_core_t *core, const char *from, const Bt__Submit *submit,
                 const bt_request_t *request)
{
  const bt_route_t *route
      = bt_tables_match_route (core->tables.tables, request->caller, request->work);
  bt_trace_add (core, submit->job, "moved", route != NULL ? route->name : NULL,
                "forwarded by %s after %u refusals by other data centres", from, submit->hops);
}

static void
on_submit (bt_core_t *core, const char *from, const Bt__Submit *submit)
{
  bt_request_t *request = bt_schema_parse (&bt_request_schema, (const char *)submit->request.data,
                                           submit->request.len, NULL);
  if (request == NULL || submit->job[0] == '\0')
    core->counters.messages_malformed++;
  else
    {
      if (submit->hops > 0)
        trace_forwarded (core, from, submit, request);
      bt_sched_submit (core, from, submit->job, request, submit->resent,
                       (gint64)submit->age_ms * BT_USEC_PER_MSEC, (gint64)submit->lead_since_us);
    }
  bt_schema_free (&bt_request_schema, request);
}

static void
on_outcome (bt_core_t *core, const char *from, const Bt__Outcome *message)
{
  if (message->status > BT_STATUS_RETRY || message->reason >= BT_N_REASONS)
    {
      core->counters.messages_malformed++;
      return;
    }
  bt_outcome_t outcome = { .status = (bt_status_t)message->status };
  outcome.reason = (bt_reason_t)message->reason;
  outcome.retry_after_ms = message->retry_after_ms;
  outcome.detail = message->detail;
  g_autoptr (GBytes) answer = g_bytes_new (message->answer.data, message->answer.len);
  outcome.answer = outcome.status == BT_STATUS_DONE || message->answer.len > 0 ? answer : NULL;
  outcome.lead_since = (gint64)message->lead_since_us;
  bt_entry_on_outcome (core, from, message->job, &outcome);
}

#define NAME_MAX_BYTES 255

static gboolean
is_valid_name (const char *text)
{
  gsize len = strnlen (text, NAME_MAX_BYTES + 1);
  return len > 0 && len <= NAME_MAX_BYTES && g_utf8_validate_len (text, len, NULL);
}

static const char *
job_id_or_sender (const Bt__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case BT__ENVELOPE__BODY_SUBMIT:
      return envelope->submit->job;
    case BT__ENVELOPE__BODY_OUTCOME:
      return envelope->outcome->job;
    case BT__ENVELOPE__BODY_CALLER_GONE:
      return envelope->caller_gone->job;
    default:
      return envelope->from;
    }
}

static gboolean
is_valid_heartbeat (const Bt__Envelope *envelope)
{
  if (envelope->body_case != BT__ENVELOPE__BODY_HEARTBEAT)
    return TRUE;
  const Bt__Heartbeat *heartbeat = envelope->heartbeat;
  return is_valid_name (heartbeat->data_centre) && is_valid_name (heartbeat->region);
}

static gboolean
is_valid_envelope (const Bt__Envelope *envelope)
{
  return is_valid_name (envelope->from) && is_valid_name (envelope->address)
         && is_valid_name (job_id_or_sender (envelope)) && is_valid_heartbeat (envelope);
}

/**
 * bt_core_on_peer_message() - handle a message of another daemon
 * @core: the core
 * @envelope: the message
 */
void
bt_core_on_peer_message (bt_core_t *core, const Bt__Envelope *envelope)
{
  update_now (core);
  if (!is_valid_envelope (envelope))
    {
      core->counters.messages_malformed++;
      bt_log (BT_LOG_WARNING, "peer-message-refused", "kind=%d", envelope->body_case);
      return;
    }
  if (strcmp (envelope->from, core->name) == 0)
    return;
  bt_members_on_message (core, envelope);
  switch (envelope->body_case)
    {
    case BT__ENVELOPE__BODY_HEARTBEAT:
      bt_members_on_heartbeat (core, envelope);
      break;
    case BT__ENVELOPE__BODY_SUBMIT:
      on_submit (core, envelope->from, envelope->submit);
      break;
    case BT__ENVELOPE__BODY_OUTCOME:
      on_outcome (core, envelope->from, envelope->outcome);
      break;
    case BT__ENVELOPE__BODY_QUERY:
      bt_entry_on_query (core, envelope->from, envelope->query);
      break;
    case BT__ENVELOPE__BODY_QUERY_REPLY:
      bt_entry_on_query_reply (core, envelope->query_reply);
      break;
    case BT__ENVELOPE__BODY_TABLES:
    case BT__ENVELOPE__BODY_TABLES_REQUEST:
      bt_core_tables_on_peer (core, envelope);
      break;
    case BT__ENVELOPE__BODY_CALLER_GONE:
      bt_sched_on_caller_gone (core, envelope->from, envelope->caller_gone->job);
      break;
    default:
      core->counters.messages_malformed++;
      break;
    }
  bt_journal_tick (core);
}

/**
 * bt_core_on_records() - handle records read from the log
 * @core: the core
 * @stream: name of the stream
 * @first: offset of the first record
 * @records: &GBytes of each; empty if none was appended in time
 * @next: offset to continue from
 */
void
bt_core_on_records (bt_core_t *core, const char *stream, gint64 first, const GPtrArray *records,
                    gint64 next)
{
  update_now (core);
  if (strcmp (stream, BT_TABLES_STREAM) == 0)
    bt_core_tables_on_records (core, first, records, next);
  else if (strcmp (stream, core->journal.stream) == 0)
    bt_journal_on_records (core, first, records, next);
  bt_journal_tick (core);
}

/**
 * bt_core_on_read_failed() - handle a failed read of the log
 * @core: the core
 * @stream: name of the stream
 * @error: the error; BT_ERROR_EXPIRED if retention has deleted the records there
 * @first_kept: offset of the first record still kept if they were deleted, or -1
 */
void
bt_core_on_read_failed (bt_core_t *core, const char *stream, const GError *error, gint64 first_kept)
{
  gboolean expired = g_error_matches (error, BT_ERROR, BT_ERROR_EXPIRED);
  update_now (core);
  if (strcmp (stream, BT_TABLES_STREAM) == 0)
    bt_core_tables_on_failed (core, expired ? first_kept : -1);
  else if (strcmp (stream, core->journal.stream) == 0)
    bt_journal_on_failed (core, expired ? first_kept : -1);
}

/**
 * bt_core_on_append() - handle the result of an append
 * @core: the core
 * @batch: number of the batch
 * @stored: whether the log confirmed it; if not, it may still be stored
 */
void
bt_core_on_append (bt_core_t *core, guint64 batch, gboolean stored)
{
  update_now (core);
  bt_journal_on_append (core, batch, stored);
}

/**
 * bt_core_on_lease_reply() - handle a worker's reply to a claim or renewal
 * @core: the core
 * @worker: name of the worker
 * @reply: the reply, or NULL if none came
 */
void
bt_core_on_lease_reply (bt_core_t *core, const char *worker, const bt_lease_reply_t *reply)
{
  update_now (core);
  bt_owner_on_lease_reply (core, worker, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_start_reply() - handle a worker's reply to a start request
 * @core: the core
 * @worker: name of the worker
 * @attempt: id of the attempt
 * @reply: the reply, or NULL if none came
 */
void
bt_core_on_start_reply (bt_core_t *core, const char *worker, const char *attempt,
                        const bt_start_reply_t *reply)
{
  update_now (core);
  bt_sched_on_start_reply (core, worker, attempt, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_stop_reply() - handle a worker's reply to a stop request
 * @core: the core
 * @worker: name of the worker
 * @reply: the reply, or NULL if none came
 */
void
bt_core_on_stop_reply (bt_core_t *core, const char *worker, const bt_stop_reply_t *reply)
{
  update_now (core);
  bt_sched_on_stop_reply (core, worker, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_vm_list() - handle a new list of leaving VMs from the platform
 * @core: the core
 * @leaving: names of the VMs that are leaving
 *
 * The list is delayed, so it is only used to drain VMs; it never proves that a
 * VM is gone.
 */
void
bt_core_on_vm_list (bt_core_t *core, const GPtrArray *leaving)
{
  update_now (core);
  bt_drain_on_vm_list (core, leaving);
}

static JsonNode *
members_to_json (const bt_core_t *core)
{
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      JsonObject *item = json_object_new ();
      json_object_set_string_member (item, "name", member->name);
      json_object_set_string_member (item, "address", member->address);
      json_object_set_string_member (item, "data_centre", member->data_centre);
      json_object_set_boolean_member (item, "alive", member->alive);
      json_object_set_boolean_member (item, "leading", member->leading);
      json_object_set_int_member (item, "tables_version", member->tables_version);
      json_object_set_int_member (item, "heard_ms_ago",
                                  (core->now - member->heard_at) / BT_USEC_PER_MSEC);
      json_array_add_object_element (array, item);
    }
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}

static JsonNode *
workers_to_json (const bt_core_t *core)
{
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      JsonObject *item = json_object_new ();
      json_object_set_string_member (item, "name", worker->name);
      json_object_set_string_member (item, "pool", worker->pool);
      json_object_set_boolean_member (item, "listed", worker->listed);
      json_object_set_boolean_member (item, "leaving", worker->leaving);
      json_object_set_string_member (item, "health", bt_health_names[worker->health.state]);
      json_object_set_int_member (item, "epoch", worker->epoch);
      json_object_set_boolean_member (item, "startable", bt_owner_may_start (core, worker));
      json_object_set_int_member (item, "attempts", g_hash_table_size (worker->attempts));
      json_object_set_int_member (item, "used_mcpus", worker->used.v[BT_RESOURCE_MCPUS]);
      json_object_set_int_member (item, "used_memory_mb", worker->used.v[BT_RESOURCE_MEMORY_MB]);
      json_object_set_int_member (item, "used_gpus", worker->used.v[BT_RESOURCE_GPUS]);
      json_array_add_object_element (array, item);
    }
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}

static JsonNode *
jobs_to_json (const bt_core_t *core)
{
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    json_array_add_element (array, bt_job_to_json (core, job, FALSE));
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}

/**
 * bt_core_dump() - convert the state to JSON, for operators
 * @core: the core
 *
 * Return: a new node.
 */
JsonNode *
bt_core_dump (const bt_core_t *core)
{
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "name", core->name);
  json_object_set_string_member (json, "data_centre", core->data_centre);
  json_object_set_string_member (json, "region", core->region);
  json_object_set_boolean_member (json, "leading", core->owner.leading);
  json_object_set_boolean_member (json, "settled", core->owner.settled);
  json_object_set_boolean_member (json, "leaving", core->leaving);
  json_object_set_int_member (json, "term", core->journal.own_term);
  json_object_set_boolean_member (json, "journal_caught_up", core->journal.caught_up);
  json_object_set_boolean_member (json, "journal_available", core->journal.available);
  json_object_set_int_member (json, "journal_next", core->journal.next);
  json_object_set_int_member (json, "tables_version", core->tables.version);
  json_object_set_int_member (json, "tables_next", core->tables.next_offset);
  json_object_set_int_member (json, "pending", g_hash_table_size (core->entry.by_exchange));
  json_object_set_member (json, "members", members_to_json (core));
  json_object_set_member (json, "workers", workers_to_json (core));
  json_object_set_member (json, "jobs", jobs_to_json (core));
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}

/**
 * bt_core_counters() - the core's counters
 * @core: the core
 *
 * Return: counters that live as long as the core.
 */
const bt_counters_t *
bt_core_counters (const bt_core_t *core)
{
  return &core->counters;
}

/**
 * bt_core_tables() - the tables in force
 * @core: the core
 *
 * Return: the folded tables, valid until the next call into the core.
 */
const bt_fold_t *
bt_core_tables (const bt_core_t *core)
{
  return &core->tables;
}

/**
 * bt_core_is_leading() - whether this daemon owns its data centre's workers
 * @core: the core
 *
 * Return: TRUE if it does.
 */
gboolean
bt_core_is_leading (const bt_core_t *core)
{
  return core->owner.leading;
}

/**
 * bt_core_is_serving() - whether a load balancer should route callers here
 * @core: the core
 *
 * Return: FALSE before the tables are read and once a planned shutdown has begun.
 */
gboolean
bt_core_is_serving (const bt_core_t *core)
{
  return core->tables.version > 0 && !core->leaving;
}
