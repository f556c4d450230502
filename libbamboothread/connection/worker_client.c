#include "libbamboothread/connection/worker_client.h"

#include "libbamboothread/base/clock.h"
#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/http.h"

#define CONTROL_CONNECTIONS 4
#define RUN_CONNECTIONS 64
/* Time limit of a start whose reply comes only when the attempt has ended. */
#define RUN_TIMEOUT_MS (3600 * 1000)

/**
 * struct bt_worker_client_t - connections to all workers
 * @control_http: for calls that a worker replies to at once
 * @run_http: for starts whose reply comes only when the attempt has ended
 */
struct bt_worker_client_t
{
  bt_http_client_t *control_http;
  bt_http_client_t *run_http;
  GCancellable *cancel;
  bt_worker_handler_t handler;
  void *context;
};

typedef struct
{
  bt_worker_client_t *client;
  GRefString *worker;
  GRefString *attempt;
} call_t;

static call_t *
call_new (bt_worker_client_t *client, const char *worker, GRefString *attempt)
{
  call_t *call = g_new0 (call_t, 1);
  call->client = client;
  call->worker = g_ref_string_new (worker);
  call->attempt = attempt != NULL ? g_ref_string_acquire (attempt) : NULL;
  return call;
}

static void
call_free (call_t *call)
{
  g_ref_string_release (call->worker);
  g_clear_pointer (&call->attempt, g_ref_string_release);
  g_free (call);
}

static gpointer
parse_reply (const call_t *call, const bt_schema_t *schema, guint status, GBytes *body)
{
  if (status != SOUP_STATUS_OK)
    return NULL;
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  g_autoptr (GError) error = NULL;
  gpointer reply = bt_schema_parse (schema, data, len, &error);
  if (reply == NULL)
    bt_log (BT_LOG_WARNING, "worker-answer-refused", "worker=%s cause=\"%s\"", call->worker,
            error->message);
  return reply;
}

static void
on_lease (gpointer data, guint status, GBytes *body)
{
  call_t *call = data;
  if (!g_cancellable_is_cancelled (call->client->cancel))
    {
      gpointer reply = parse_reply (call, &bt_lease_reply_schema, status, body);
      call->client->handler.lease_reply (call->client->context, call->worker, reply);
      bt_schema_free (&bt_lease_reply_schema, reply);
    }
  call_free (call);
}

static void
on_start (gpointer data, guint status, GBytes *body)
{
  call_t *call = data;
  if (!g_cancellable_is_cancelled (call->client->cancel))
    {
      gpointer reply = parse_reply (call, &bt_start_reply_schema, status, body);
      call->client->handler.start_reply (call->client->context, call->worker, call->attempt, reply);
      bt_schema_free (&bt_start_reply_schema, reply);
    }
  call_free (call);
}

static void
on_stop (gpointer data, guint status, GBytes *body)
{
  call_t *call = data;
  if (!g_cancellable_is_cancelled (call->client->cancel))
    {
      gpointer reply = parse_reply (call, &bt_stop_reply_schema, status, body);
      call->client->handler.stop_reply (call->client->context, call->worker, reply);
      bt_schema_free (&bt_stop_reply_schema, reply);
    }
  call_free (call);
}

static void
on_release (gpointer data, guint status, GBytes *body)
{
  call_free (data);
}

/**
 * bt_worker_client_new() - create a client of all workers
 * @call_timeout_us: time limit of a call, in microseconds; a start that waits for the end of its
 *   attempt has a longer one
 * @handler: callbacks for the replies, copied
 * @context: passed to the callbacks
 *
 * Return: a client for bt_worker_client_free().
 */
bt_worker_client_t *
bt_worker_client_new (gint64 call_timeout_us, const bt_worker_handler_t *handler, void *context)
{
  bt_worker_client_t *client = g_new0 (bt_worker_client_t, 1);
  guint timeout_ms = (guint)MAX (1, call_timeout_us / BT_USEC_PER_MSEC);
  client->control_http = bt_http_client_new (timeout_ms, CONTROL_CONNECTIONS);
  client->run_http = bt_http_client_new (RUN_TIMEOUT_MS, RUN_CONNECTIONS);
  client->cancel = g_cancellable_new ();
  client->handler = *handler;
  client->context = context;
  return client;
}

/**
 * bt_worker_client_free() - cancel all calls without reporting them
 * @client: the client
 */
void
bt_worker_client_free (bt_worker_client_t *client)
{
  g_cancellable_cancel (client->cancel);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  bt_http_client_free (client->control_http);
  bt_http_client_free (client->run_http);
  g_object_unref (client->cancel);
  g_free (client);
}

/**
 * bt_worker_client_lease() - claim a worker or renew its lease
 * @client: the client
 * @worker: its name
 * @address: its IP:port
 * @request: the lease to claim or renew
 */
void
bt_worker_client_lease (bt_worker_client_t *client, const char *worker, const char *address,
                        const bt_lease_request_t *request)
{
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_lease_request_schema, request);
  bt_http_call (client->control_http, "POST", address, "/v1/lease", body, client->cancel, on_lease,
                call_new (client, worker, NULL));
}

/**
 * bt_worker_client_start() - start an attempt
 * @client: the client
 * @worker: the worker's name
 * @address: its IP:port
 * @request: the attempt to start
 */
void
bt_worker_client_start (bt_worker_client_t *client, const char *worker, const char *address,
                        const bt_start_request_t *request)
{
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_start_request_schema, request);
  bt_http_client_t *http = request->wait ? client->run_http : client->control_http;
  bt_http_call (http, "POST", address, "/v1/start", body, client->cancel, on_start,
                call_new (client, worker, request->attempt));
}

/**
 * bt_worker_client_stop() - stop, checkpoint or throttle attempts
 * @client: the client
 * @worker: the worker's name
 * @address: its IP:port
 * @request: the attempts, and what to do with them
 */
void
bt_worker_client_stop (bt_worker_client_t *client, const char *worker, const char *address,
                       const bt_stop_request_t *request)
{
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_stop_request_schema, request);
  bt_http_call (client->control_http, "POST", address, "/v1/stop", body, client->cancel, on_stop,
                call_new (client, worker, NULL));
}

/**
 * bt_worker_client_release() - give up the lease of a worker
 * @client: the client
 * @worker: its name
 * @address: its IP:port
 * @request: the lease to give up
 */
void
bt_worker_client_release (bt_worker_client_t *client, const char *worker, const char *address,
                          const bt_release_request_t *request)
{
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_release_request_schema, request);
  bt_http_call (client->control_http, "POST", address, "/v1/release", body, client->cancel,
                on_release, call_new (client, worker, NULL));
}
