#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"

#include "libbamboothread/base/log.h"

/**
 * bt_core_config_init() - the usual times
 * @config: filled in; names and addresses are left to the caller
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
 * bt_core_new() - a core that has not started
 * @config: its settings, copied; @config->seeds has to outlive the core
 * @clock: the clock it reads
 * @ops: where its messages go
 * @context: handed to @ops
 *
 * Return: a core for bt_core_free().
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
 * bt_core_free() - free a core and all that it holds
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
 * @envelope: the message; who sends it is filled in
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
 * bt_core_send_to_member() - send a message to a daemon, if it is known
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
refresh (bt_core_t *core)
{
  core->now = bt_clock_now (core->clock);
}

/**
 * bt_core_start() - begin to read the log and to look for peers
 * @core: the core
 */
void
bt_core_start (bt_core_t *core)
{
  bt_core_tick (core);
}

/**
 * bt_core_tick() - do what is due
 * @core: the core
 *
 * Call it often against the shortest time of the settings.
 */
void
bt_core_tick (bt_core_t *core)
{
  refresh (core);
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
 * bt_core_leave() - begin a planned stop
 * @core: the core
 *
 * No new request is taken, and the workers are handed to another daemon at
 * once; requests in flight go on until bt_core_is_idle().
 */
void
bt_core_leave (bt_core_t *core)
{
  refresh (core);
  if (core->leaving)
    return;
  core->leaving = TRUE;
  bt_owner_release (core);
  core->owner.is_candidate = FALSE;
  bt_members_announce (core);
}

/**
 * bt_core_is_idle() - whether nobody waits for this daemon any more
 * @core: the core
 *
 * Return: TRUE if a leaving daemon may end.
 */
gboolean
bt_core_is_idle (const bt_core_t *core)
{
  return g_hash_table_size (core->entry.by_exchange) == 0
         && g_hash_table_size (core->entry.queries) == 0 && core->journal.pending.length == 0
         && core->journal.in_flight == NULL;
}

/**
 * bt_core_submit() - a caller asks for work
 * @core: the core
 * @exchange: names the caller in the answer; never used twice
 * @request: the request, copied
 *
 * Return: the job's id, to be released, or NULL if it was refused at once; the
 * answer may come before this function returns.
 */
GRefString *
bt_core_submit (bt_core_t *core, guint64 exchange, const bt_request_t *request)
{
  refresh (core);
  GRefString *id = bt_entry_submit (core, exchange, request);
  bt_journal_tick (core);
  return id;
}

/**
 * bt_core_on_caller_gone() - a caller went away before its answer
 * @core: the core
 * @exchange: as given to bt_core_submit()
 */
void
bt_core_on_caller_gone (bt_core_t *core, guint64 exchange)
{
  refresh (core);
  bt_entry_on_caller_gone (core, exchange);
}

/**
 * bt_core_query() - a caller or operator asks about jobs
 * @core: the core
 * @exchange: names the one who asks in the answer
 * @what: what is asked
 * @argument: a job's id, or a caller's name for a list
 */
void
bt_core_query (bt_core_t *core, guint64 exchange, bt_query_t what, const char *argument)
{
  refresh (core);
  bt_entry_query (core, exchange, what, argument);
  bt_journal_tick (core);
}

static void
note_move (bt_core_t *core, const char *from, const Bt__Submit *submit, const bt_request_t *request)
{
  const bt_route_t *route = bt_tables_match (core->tables.tables, request->caller, request->work);
  bt_trace_add (core, submit->job, "moved", route != NULL ? route->name : NULL,
                "handed on by %s after %u refusals elsewhere", from, submit->hops);
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
        note_move (core, from, submit, request);
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
valid_name (const char *text)
{
  gsize len = strnlen (text, NAME_MAX_BYTES + 1);
  return len > 0 && len <= NAME_MAX_BYTES && g_utf8_validate_len (text, len, NULL);
}

static const char *
job_named (const Bt__Envelope *envelope)
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
valid_heartbeat (const Bt__Envelope *envelope)
{
  if (envelope->body_case != BT__ENVELOPE__BODY_HEARTBEAT)
    return TRUE;
  const Bt__Heartbeat *beat = envelope->heartbeat;
  return valid_name (beat->data_centre) && valid_name (beat->region);
}

static gboolean
valid_envelope (const Bt__Envelope *envelope)
{
  return valid_name (envelope->from) && valid_name (envelope->address)
         && valid_name (job_named (envelope)) && valid_heartbeat (envelope);
}

/**
 * bt_core_on_peer_message() - a message of another daemon
 * @core: the core
 * @envelope: the message
 */
void
bt_core_on_peer_message (bt_core_t *core, const Bt__Envelope *envelope)
{
  refresh (core);
  if (!valid_envelope (envelope))
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
 * bt_core_on_records() - the log answered a read
 * @core: the core
 * @stream: the stream
 * @first: offset of the first record
 * @records: GBytes of each; none if none came in time
 * @next: offset to read on from
 */
void
bt_core_on_records (bt_core_t *core, const char *stream, gint64 first, const GPtrArray *records,
                    gint64 next)
{
  refresh (core);
  if (strcmp (stream, BT_TABLES_STREAM) == 0)
    bt_core_tables_on_records (core, first, records, next);
  else if (strcmp (stream, core->journal.stream) == 0)
    bt_journal_on_records (core, first, records, next);
  bt_journal_tick (core);
}

/**
 * bt_core_on_read_failed() - the log could not be read
 * @core: the core
 * @stream: the stream
 * @error: why; BT_ERROR_EXPIRED if the records there are no longer kept
 * @first_kept: offset of the first record that is kept, if they are not, or -1
 */
void
bt_core_on_read_failed (bt_core_t *core, const char *stream, const GError *error, gint64 first_kept)
{
  gboolean expired = g_error_matches (error, BT_ERROR, BT_ERROR_EXPIRED);
  refresh (core);
  if (strcmp (stream, BT_TABLES_STREAM) == 0)
    bt_core_tables_on_failed (core, expired ? first_kept : -1);
  else if (strcmp (stream, core->journal.stream) == 0)
    bt_journal_on_failed (core, expired ? first_kept : -1);
}

/**
 * bt_core_on_append() - the log answered an append
 * @core: the core
 * @batch: number of the batch
 * @stored: whether the log said that it stored it
 */
void
bt_core_on_append (bt_core_t *core, guint64 batch, gboolean stored)
{
  refresh (core);
  bt_journal_on_append (core, batch, stored);
}

/**
 * bt_core_on_lease_reply() - a worker answered a claim or renewal
 * @core: the core
 * @worker: the worker's name
 * @reply: its answer, or NULL if none came
 */
void
bt_core_on_lease_reply (bt_core_t *core, const char *worker, const bt_lease_reply_t *reply)
{
  refresh (core);
  bt_owner_on_lease_reply (core, worker, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_start_reply() - a worker answered a start
 * @core: the core
 * @worker: the worker's name
 * @attempt: the attempt's id
 * @reply: its answer, or NULL if none came
 */
void
bt_core_on_start_reply (bt_core_t *core, const char *worker, const char *attempt,
                        const bt_start_reply_t *reply)
{
  refresh (core);
  bt_sched_on_start_reply (core, worker, attempt, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_stop_reply() - a worker answered a stop
 * @core: the core
 * @worker: the worker's name
 * @reply: its answer, or NULL if none came
 */
void
bt_core_on_stop_reply (bt_core_t *core, const char *worker, const bt_stop_reply_t *reply)
{
  refresh (core);
  bt_sched_on_stop_reply (core, worker, reply);
  bt_sched_run_pass (core);
  bt_journal_tick (core);
}

/**
 * bt_core_on_vm_list() - the platform's list says which VMs are leaving
 * @core: the core
 * @leaving: names of VMs that are leaving
 *
 * The list lags, so it only keeps new tasks away; it never proves that a VM is
 * gone.
 */
void
bt_core_on_vm_list (bt_core_t *core, const GPtrArray *leaving)
{
  refresh (core);
  bt_drain_on_vm_list (core, leaving);
}

static JsonNode *
members_node (const bt_core_t *core)
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
workers_node (const bt_core_t *core)
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
jobs_node (const bt_core_t *core)
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
 * bt_core_dump() - the whole state as JSON, for operators
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
  json_object_set_int_member (json, "tables_next", core->tables.next);
  json_object_set_int_member (json, "pending", g_hash_table_size (core->entry.by_exchange));
  json_object_set_member (json, "members", members_node (core));
  json_object_set_member (json, "workers", workers_node (core));
  json_object_set_member (json, "jobs", jobs_node (core));
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}

/**
 * bt_core_counters() - what the core has counted
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
 * Return: the fold, valid until the next call into the core.
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
 * bt_core_is_serving() - whether a balancer should send callers here
 * @core: the core
 *
 * Return: FALSE before the tables are read and once a planned stop has begun.
 */
gboolean
bt_core_is_serving (const bt_core_t *core)
{
  return core->tables.version > 0 && !core->leaving;
}
