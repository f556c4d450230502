#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "standins/standin.h"
#include "standins/worker_model.h"

/*
 * A stand-in for the platform's workers, over HTTP. One process plays several
 * workers at consecutive ports.
 */

#define TICK_MS 5
#define EXIT_USAGE 2
#define WORKERS_MAX 256

typedef struct
{
  bt_worker_model_t model;
  SoupServer *server;
  GHashTable *waiting;
  GPtrArray *starts;
  GHashTable *starts_by_attempt;
} worker_t;

/**
 * struct start_t - an attempt that ran, for checks
 * @ended_ms: when it ended, or 0 while it runs
 */
typedef struct
{
  char *attempt;
  char *job;
  char *payload;
  gint64 task;
  gint64 started_ms;
  gint64 ended_ms;
  const char *state;
} start_t;

static bt_clock_t standin_clock;

static void
answer_waiting (SoupServerMessage *message, const bt_attempt_report_t *report)
{
  bt_start_reply_t *reply = g_new0 (bt_start_reply_t, 1);
  reply->verdict = BT_START_ENDED;
  reply->report = bt_schema_copy (&bt_attempt_report_schema, report);
  bt_standin_write (message, &bt_start_reply_schema, reply);
}

static void
note_start (worker_t *worker, const bt_start_request_t *request)
{
  start_t *start = g_new0 (start_t, 1);
  start->attempt = g_strdup (request->attempt);
  start->job = g_strdup (request->job);
  start->payload = g_strdup (request->payload != NULL ? request->payload : "");
  start->task = request->task;
  start->started_ms = bt_clock_now (&standin_clock) / BT_USEC_PER_MSEC;
  start->state = bt_attempt_state_names[BT_ATTEMPT_RUNNING];
  g_ptr_array_add (worker->starts, start);
  g_hash_table_replace (worker->starts_by_attempt, start->attempt, start);
}

/* An attempt never runs past its lease, however late this process notices. */
static void
note_end (worker_t *worker, const bt_attempt_report_t *report)
{
  start_t *start = g_hash_table_lookup (worker->starts_by_attempt, report->attempt);
  if (start == NULL)
    return;
  gint64 now = bt_clock_now (&standin_clock) / BT_USEC_PER_MSEC;
  start->ended_ms = MIN (now, worker->model.tasks_until_ms);
  start->state = bt_attempt_state_names[report->state];
}

static void
on_ended (void *context, const bt_attempt_report_t *report)
{
  worker_t *worker = context;
  note_end (worker, report);
  SoupServerMessage *message = g_hash_table_lookup (worker->waiting, report->attempt);
  if (message == NULL)
    return;
  answer_waiting (message, report);
  g_object_ref (message);
  g_hash_table_remove (worker->waiting, report->attempt);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static void
on_lease (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
          gpointer data)
{
  worker_t *worker = data;
  bt_lease_request_t *request = bt_standin_read (message, &bt_lease_request_schema);
  if (request == NULL)
    return;
  bt_standin_write (message, &bt_lease_reply_schema,
                    bt_worker_model_lease (&worker->model, request));
  bt_schema_free (&bt_lease_request_schema, request);
}

static void
on_start (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
          gpointer data)
{
  worker_t *worker = data;
  bt_start_request_t *request = bt_standin_read (message, &bt_start_request_schema);
  if (request == NULL)
    return;
  guint64 starts = worker->model.starts;
  bt_start_reply_t *reply = bt_worker_model_start (&worker->model, request);
  if (worker->model.starts > starts)
    note_start (worker, request);
  if (reply->verdict == BT_START_STARTED && request->wait)
    {
      g_hash_table_replace (worker->waiting, g_strdup (request->attempt), g_object_ref (message));
      soup_server_message_pause (message);
      bt_schema_free (&bt_start_reply_schema, reply);
      bt_worker_model_tick (&worker->model);
    }
  else
    bt_standin_write (message, &bt_start_reply_schema, reply);
  bt_schema_free (&bt_start_request_schema, request);
}

static void
on_stop (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
         gpointer data)
{
  worker_t *worker = data;
  bt_stop_request_t *request = bt_standin_read (message, &bt_stop_request_schema);
  if (request == NULL)
    return;
  bt_standin_write (message, &bt_stop_reply_schema, bt_worker_model_stop (&worker->model, request));
  bt_schema_free (&bt_stop_request_schema, request);
}

static void
on_release (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
            gpointer data)
{
  worker_t *worker = data;
  bt_release_request_t *request = bt_standin_read (message, &bt_release_request_schema);
  if (request == NULL)
    return;
  bt_worker_model_release (&worker->model, request);
  bt_standin_respond (message, SOUP_STATUS_OK, NULL);
  bt_schema_free (&bt_release_request_schema, request);
}

/* POST /v1/faults?fail_all=1&leaving=1 changes how the worker behaves. */
static void
on_faults (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  worker_t *worker = data;
  const char *fail = params != NULL ? g_hash_table_lookup (params, "fail_all") : NULL;
  const char *leaving = params != NULL ? g_hash_table_lookup (params, "leaving") : NULL;
  if (fail != NULL)
    worker->model.fail_all = strcmp (fail, "1") == 0;
  if (leaving != NULL)
    worker->model.leaving = strcmp (leaving, "1") == 0;
  bt_standin_respond (message, SOUP_STATUS_OK, NULL);
}

static void
on_status (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  worker_t *worker = data;
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "name", worker->model.name);
  json_object_set_int_member (json, "starts", (gint64)worker->model.starts);
  json_object_set_int_member (json, "attempts", g_hash_table_size (worker->model.attempts));
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  bt_standin_respond (message, SOUP_STATUS_OK, body);
}

/* GET /v1/starts lists every attempt that ever ran here. */
static void
on_starts (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  const worker_t *worker = data;
  JsonArray *array = json_array_new ();
  for (guint i = 0; i < worker->starts->len; i++)
    {
      const start_t *start = worker->starts->pdata[i];
      JsonObject *item = json_object_new ();
      json_object_set_string_member (item, "attempt", start->attempt);
      json_object_set_string_member (item, "job", start->job);
      json_object_set_int_member (item, "task", start->task);
      json_object_set_string_member (item, "payload", start->payload);
      json_object_set_int_member (item, "started_ms", start->started_ms);
      json_object_set_int_member (item, "ended_ms", start->ended_ms);
      json_object_set_string_member (item, "state", start->state);
      json_array_add_object_element (array, item);
    }
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "worker", worker->model.name);
  json_object_set_array_member (json, "starts", array);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  bt_standin_respond (message, SOUP_STATUS_OK, body);
}

static gboolean
on_tick (gpointer data)
{
  GPtrArray *workers = data;
  for (guint i = 0; i < workers->len; i++)
    bt_worker_model_tick (&((worker_t *)workers->pdata[i])->model);
  return G_SOURCE_CONTINUE;
}

static worker_t *
worker_new (const char *name, const char *host, guint port, const bt_resources_t *capacity,
            GError **error)
{
  worker_t *worker = g_new0 (worker_t, 1);
  bt_worker_model_init (&worker->model, name, &standin_clock, capacity,
                        g_get_real_time () / BT_USEC_PER_SEC);
  worker->model.ended = on_ended;
  worker->model.context = worker;
  worker->waiting = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  worker->starts = g_ptr_array_new ();
  worker->starts_by_attempt = g_hash_table_new (g_str_hash, g_str_equal);
  g_autofree char *address = g_strdup_printf ("%s:%u", host, port);
  worker->server = bt_standin_listen (address, error);
  if (worker->server == NULL)
    return NULL;
  soup_server_add_handler (worker->server, "/v1/lease", on_lease, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/start", on_start, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/stop", on_stop, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/release", on_release, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/faults", on_faults, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/status", on_status, worker, NULL);
  soup_server_add_handler (worker->server, "/v1/starts", on_starts, worker, NULL);
  return worker;
}

int
main (int argc, const char **argv)
{
  char *name = "worker";
  char *host = "127.0.0.1";
  int port = 0;
  int count = 1;
  int cpus = 32;
  int memory_mb = 65536;
  int gpus = 0;
  int slots = 8;
  int connections = 64;
  int instant = 0;
  int version = 0;
  struct poptOption options[] = {
    { "name", 'n', POPT_ARG_STRING, &name, 0, "first part of the workers' names", "NAME" },
    { "host", 'H', POPT_ARG_STRING, &host, 0, "IP to listen on", "IP" },
    { "port", 'p', POPT_ARG_INT, &port, 0, "port of the first worker", "PORT" },
    { "count", 'k', POPT_ARG_INT, &count, 0, "number of workers", "N" },
    { "cpus", 'c', POPT_ARG_INT, &cpus, 0, "processors of each", "N" },
    { "memory-mb", 'm', POPT_ARG_INT, &memory_mb, 0, "memory of each, in MiB", "N" },
    { "gpus", 'g', POPT_ARG_INT, &gpus, 0, "accelerators of each", "N" },
    { "slots", 's', POPT_ARG_INT, &slots, 0, "tasks at once", "N" },
    { "connections", 'C', POPT_ARG_INT, &connections, 0, "connections at once", "N" },
    { "instant", 'i', POPT_ARG_NONE, &instant, 0, "end everything as soon as it starts", NULL },
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothread-fake-worker", argc, argv, options, 0);
  int parsed = poptGetNextOpt (popt);
  poptFreeContext (popt);
  if (version)
    {
      printf ("bamboothread-fake-worker %s\n", BT_VERSION);
      return EXIT_SUCCESS;
    }
  if (parsed < -1 || port <= 0 || count < 1 || count > WORKERS_MAX)
    {
      fprintf (stderr, "bamboothread-fake-worker: --port is needed, --count is 1 to %d\n",
               WORKERS_MAX);
      return EXIT_USAGE;
    }
  bt_log_set_ident ("bamboothread-fake-worker");
  bt_clock_init (&standin_clock);
  bt_resources_t capacity = { { cpus * 1000LL, memory_mb, gpus, slots, connections } };
  GPtrArray *workers = g_ptr_array_new ();
  for (int i = 0; i < count; i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *each = count == 1 ? g_strdup (name) : g_strdup_printf ("%s-%d", name, i + 1);
      worker_t *worker = worker_new (each, host, (guint)(port + i), &capacity, &error);
      if (worker == NULL)
        {
          bt_log (BT_LOG_ERROR, "start-failed", "cause=\"%s\"", error->message);
          return EXIT_FAILURE;
        }
      worker->model.instant = instant != 0;
      g_ptr_array_add (workers, worker);
    }
  g_timeout_add (TICK_MS, on_tick, workers);
  bt_standin_run ();
  return EXIT_SUCCESS;
}
