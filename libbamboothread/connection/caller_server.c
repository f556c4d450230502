#include "libbamboothread/connection/caller_server.h"

#include <errno.h>
#include <libsoup/soup.h>
#include <string.h>
#include <sys/socket.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/address.h"

#define BODY_MAX_BYTES (BT_PAYLOAD_MAX_BYTES + 64 * 1024)
#define EXCHANGES_MAX 16384
/* A connection without any transfer for this long is closed. */
#define SOCKET_TIMEOUT_S 60
#define BODY_KEY "bt-body"
#define SOCKET_KEY "bt-socket"

struct bt_caller_server_t
{
  SoupServer *server;
  GSocket *socket;
  GSocketService *service;
  guint n_requests_in_progress;
  bt_core_t *core;
  GHashTable *exchanges;
  GHashTable *sockets;
  guint64 last_exchange_id;
};

/**
 * struct exchange_t - a request without a response yet
 * @watch: notices when the caller disconnects
 * @is_submission: whether the request submits a job
 */
typedef struct
{
  bt_caller_server_t *server;
  guint64 id;
  SoupServerMessage *message;
  gulong finished_handler;
  GSource *watch;
  gboolean is_submission;
} exchange_t;

/**
 * struct body_t - the part of a request body received so far
 */
typedef struct
{
  bt_caller_server_t *server;
  GByteArray *bytes;
} body_t;

/**
 * struct socket_entry_t - an entry of the server's table of sockets
 * @sockets: the table, by the remote address of the connection
 * @remote: the key of the entry, which is removed when its connection is freed
 */
typedef struct
{
  GHashTable *sockets;
  char *remote;
} socket_entry_t;

static GSocket *
find_socket (const bt_caller_server_t *server, SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);
  g_autofree char *key = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (remote));
  return g_hash_table_lookup (server->sockets, key);
}

static void
abort_connection (const bt_caller_server_t *server, SoupServerMessage *message)
{
  GSocket *socket = find_socket (server, message);
  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static void
exchange_free (gpointer data)
{
  exchange_t *exchange = data;
  if (exchange->watch != NULL)
    {
      g_source_destroy (exchange->watch);
      g_source_unref (exchange->watch);
    }
  g_signal_handler_disconnect (exchange->message, exchange->finished_handler);
  g_object_unref (exchange->message);
  g_free (exchange);
}

static void
respond (SoupServerMessage *message, guint status, GBytes *body)
{
  gsize len = 0;
  const char *data = body != NULL ? g_bytes_get_data (body, &len) : "";
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, data, len);
}

static void
respond_error (SoupServerMessage *message, guint status, int code, const char *text)
{
  JsonObject *json = json_object_new ();
  json_object_set_string_member (json, "error", bt_error_name (code));
  json_object_set_string_member (json, "detail", text);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  respond (message, status, body);
}

static void
respond_json (SoupServerMessage *message, JsonNode *node)
{
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  json_node_unref (node);
  respond (message, SOUP_STATUS_OK, body);
}

static void
exchange_on_disconnect (exchange_t *exchange)
{
  bt_caller_server_t *server = exchange->server;
  guint64 id = exchange->id;
  gboolean is_submission = exchange->is_submission;
  g_hash_table_remove (server->exchanges, &id);
  if (is_submission)
    bt_core_on_caller_gone (server->core, id);
}

/* The connection was closed before the response was complete. */
static void
on_finished (SoupServerMessage *message, gpointer data)
{
  exchange_on_disconnect (data);
}

/*
 * libsoup does not read from a connection while its message is paused, so this watch
 * notices when the caller disconnects.
 */
static gboolean
on_socket_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  exchange_t *exchange = data;
  char byte;
  ssize_t n = recv (g_socket_get_fd (socket), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return G_SOURCE_REMOVE;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  g_autoptr (SoupServerMessage) message = g_object_ref (exchange->message);
  exchange_on_disconnect (exchange);
  g_socket_shutdown (socket, TRUE, TRUE, NULL);
  soup_server_message_set_status (message, SOUP_STATUS_GATEWAY_TIMEOUT, NULL);
  soup_server_message_unpause (message);
  return G_SOURCE_REMOVE;
}

static GSource *
watch_socket (exchange_t *exchange)
{
  GSocket *socket = find_socket (exchange->server, exchange->message);
  if (socket == NULL)
    return NULL;
  GSource *watch = g_socket_create_source (socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
  g_source_set_callback (watch, G_SOURCE_FUNC (on_socket_ready), exchange, NULL);
  g_source_attach (watch, NULL);
  return watch;
}

static exchange_t *
exchange_begin (bt_caller_server_t *server, SoupServerMessage *message)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  exchange->server = server;
  exchange->id = ++server->last_exchange_id;
  exchange->message = g_object_ref (message);
  exchange->finished_handler
      = g_signal_connect (message, "finished", G_CALLBACK (on_finished), exchange);
  exchange->watch = watch_socket (exchange);
  g_hash_table_insert (server->exchanges, &exchange->id, exchange);
  soup_server_message_pause (message);
  return exchange;
}

static void
exchange_end (bt_caller_server_t *server, exchange_t *exchange)
{
  g_autoptr (SoupServerMessage) message = g_object_ref (exchange->message);
  g_hash_table_remove (server->exchanges, &exchange->id);
  soup_server_message_unpause (message);
}

static guint
http_status (const bt_outcome_t *outcome)
{
  switch (outcome->status)
    {
    case BT_STATUS_DONE:
    case BT_STATUS_CANCELLED:
      return SOUP_STATUS_OK;
    case BT_STATUS_ACCEPTED:
    case BT_STATUS_HELD:
      return SOUP_STATUS_ACCEPTED;
    case BT_STATUS_FAILED:
      return SOUP_STATUS_BAD_GATEWAY;
    case BT_STATUS_UNKNOWN:
      return SOUP_STATUS_GATEWAY_TIMEOUT;
    default:
      return SOUP_STATUS_SERVICE_UNAVAILABLE;
    }
}

static JsonNode *
outcome_to_json (const char *job, const bt_outcome_t *outcome)
{
  JsonObject *json = json_object_new ();
  if (job[0] != '\0')
    json_object_set_string_member (json, "job", job);
  json_object_set_string_member (json, "status", bt_status_names[outcome->status]);
  if (outcome->reason != BT_REASON_NONE)
    json_object_set_string_member (json, "reason", bt_reason_names[outcome->reason]);
  if (outcome->retry_after_ms > 0)
    json_object_set_int_member (json, "retry_after_ms", outcome->retry_after_ms);
  if (outcome->detail != NULL && outcome->detail[0] != '\0')
    json_object_set_string_member (json, "detail", outcome->detail);
  if (outcome->answer != NULL)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (outcome->answer, &len);
      g_autofree char *text = g_base64_encode (data, len);
      json_object_set_string_member (json, "answer_base64", text);
    }
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}

/**
 * bt_caller_server_answer() - respond to a submission
 * @server: the server
 * @exchange: id of the exchange; if its caller has disconnected, nothing is sent
 * @job: id of the job, or an empty string
 * @outcome: outcome of the job
 */
void
bt_caller_server_answer (bt_caller_server_t *server, guint64 exchange, const char *job,
                         const bt_outcome_t *outcome)
{
  exchange_t *found = g_hash_table_lookup (server->exchanges, &exchange);
  if (found == NULL)
    return;
  g_autoptr (JsonNode) node = outcome_to_json (job, outcome);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  if (outcome->retry_after_ms > 0)
    {
      g_autofree char *seconds = g_strdup_printf ("%u", (outcome->retry_after_ms + 999) / 1000);
      SoupMessageHeaders *headers = soup_server_message_get_response_headers (found->message);
      soup_message_headers_replace (headers, "Retry-After", seconds);
    }
  respond (found->message, http_status (outcome), body);
  exchange_end (server, found);
}

/**
 * bt_caller_server_answer_query() - respond to a query
 * @server: the server
 * @exchange: id of the exchange; if its caller has disconnected, nothing is sent
 * @known: whether the job is known
 * @body: the response body, JSON, or NULL
 */
void
bt_caller_server_answer_query (bt_caller_server_t *server, guint64 exchange, gboolean known,
                               GBytes *body)
{
  exchange_t *found = g_hash_table_lookup (server->exchanges, &exchange);
  if (found == NULL)
    return;
  if (known)
    respond (found->message, SOUP_STATUS_OK, body);
  else
    respond_error (found->message, SOUP_STATUS_NOT_FOUND, BT_ERROR_NOT_FOUND,
                   "no reachable owner knows this job");
  exchange_end (server, found);
}

static void
handle_submission (bt_caller_server_t *server, SoupServerMessage *message)
{
  const body_t *received = g_object_get_data (G_OBJECT (message), BODY_KEY);
  const GByteArray *body = received != NULL ? received->bytes : NULL;
  if (body != NULL && body->len > BODY_MAX_BYTES)
    {
      bt_log (BT_LOG_INFO, "request-refused", "cause=too-large");
      respond_error (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, BT_ERROR_TOO_LARGE,
                     "the request body is too large");
      return;
    }
  g_autoptr (GError) error = NULL;
  bt_request_t *request
      = bt_schema_parse (&bt_request_schema, body != NULL ? (const char *)body->data : "",
                         body != NULL ? body->len : 0, &error);
  if (request == NULL)
    {
      bt_log (BT_LOG_INFO, "request-refused", "cause=\"%s\"", error->message);
      respond_error (message, SOUP_STATUS_BAD_REQUEST, error->code, error->message);
      return;
    }
  exchange_t *exchange = exchange_begin (server, message);
  exchange->is_submission = TRUE;
  GRefString *job = bt_core_submit (server->core, exchange->id, request);
  g_clear_pointer (&job, g_ref_string_release);
  bt_schema_free (&bt_request_schema, request);
}

static void
begin_query (bt_caller_server_t *server, SoupServerMessage *message, bt_query_t query_kind,
             const char *argument)
{
  exchange_t *exchange = exchange_begin (server, message);
  bt_core_query (server->core, exchange->id, query_kind, argument);
}

/* @path is DATA-CENTRE/ID, what follows /v1/jobs/, and may end in one of the verbs. */
static void
handle_job_query (bt_caller_server_t *server, SoupServerMessage *message, const char *method,
                  const char *path)
{
  static const struct
  {
    const char *suffix;
    bt_query_t query_kind;
  } verbs[] = {
    { "/explain", BT_QUERY_EXPLAIN },
    { "/why-waiting", BT_QUERY_WHY_WAITING },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (g_str_has_suffix (path, verbs[i].suffix))
      {
        g_autofree char *job = g_strndup (path, strlen (path) - strlen (verbs[i].suffix));
        begin_query (server, message, verbs[i].query_kind, job);
        return;
      }
  if (strcmp (method, "DELETE") == 0)
    begin_query (server, message, BT_QUERY_CANCEL, path);
  else
    begin_query (server, message, BT_QUERY_STATUS, path);
}

static void
on_jobs (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
         gpointer data)
{
  bt_caller_server_t *server = data;
  const char *method = soup_server_message_get_method (message);
  if (g_hash_table_size (server->exchanges) >= EXCHANGES_MAX)
    {
      respond_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, BT_ERROR_UNAVAILABLE,
                     "too many requests in flight");
      return;
    }
  if (g_str_has_prefix (path, "/v1/jobs/") && strcmp (method, "POST") != 0)
    {
      handle_job_query (server, message, method, path + strlen ("/v1/jobs/"));
      return;
    }
  if (strcmp (path, "/v1/jobs") != 0)
    {
      respond_error (message, SOUP_STATUS_NOT_FOUND, BT_ERROR_NOT_FOUND, "no such path");
      return;
    }
  if (strcmp (method, "POST") == 0)
    {
      handle_submission (server, message);
      return;
    }
  const char *caller = params != NULL ? g_hash_table_lookup (params, "caller") : NULL;
  begin_query (server, message, BT_QUERY_LIST, caller != NULL ? caller : "");
}

static void
on_dump (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
         gpointer data)
{
  bt_caller_server_t *server = data;
  respond_json (message, bt_core_dump (server->core));
}

static void
on_counters (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
             gpointer data)
{
  bt_caller_server_t *server = data;
  respond_json (message, bt_counters_to_json (bt_core_counters (server->core)));
}

static void
on_health (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  bt_caller_server_t *server = data;
  JsonObject *json = json_object_new ();
  json_object_set_int_member (json, "tables_version", bt_core_tables (server->core)->version);
  json_object_set_boolean_member (json, "leading", bt_core_is_leading (server->core));
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  json_node_unref (node);
  gboolean serving = bt_core_is_serving (server->core);
  respond (message, serving ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, body);
}

static void
on_unknown (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
            gpointer data)
{
  respond_error (message, SOUP_STATUS_NOT_FOUND, BT_ERROR_NOT_FOUND, "no such path");
}

static void
body_free (gpointer data)
{
  body_t *body = data;
  g_byte_array_unref (body->bytes);
  g_free (body);
}

/* Keeps at most one byte over the limit, and aborts the connection if more data follows. */
static void
on_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  body_t *body = data;
  if (body->bytes->len > BODY_MAX_BYTES)
    {
      abort_connection (body->server, message);
      return;
    }
  gsize len;
  const guint8 *bytes = g_bytes_get_data (chunk, &len);
  g_byte_array_append (body->bytes, bytes, (guint)MIN (len, BODY_MAX_BYTES + 1 - body->bytes->len));
}

/* Bodies are collected here and not by libsoup, so that their size is limited. */
static void
on_headers (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *params,
            gpointer data)
{
  goffset length
      = soup_message_headers_get_content_length (soup_server_message_get_request_headers (message));
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  if (length > BODY_MAX_BYTES)
    {
      bt_log (BT_LOG_INFO, "request-refused", "cause=too-large bytes=%" G_GINT64_FORMAT,
              (gint64)length);
      abort_connection (data, message);
      return;
    }
  body_t *body = g_new0 (body_t, 1);
  body->server = data;
  body->bytes = g_byte_array_new ();
  g_object_set_data_full (G_OBJECT (message), BODY_KEY, body, body_free);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_chunk), body);
}

static void
socket_entry_free (gpointer data)
{
  socket_entry_t *entry = data;
  g_hash_table_remove (entry->sockets, entry->remote);
  g_hash_table_unref (entry->sockets);
  g_free (entry->remote);
  g_free (entry);
}

/* libsoup does not give access to the socket of a connection that it did not accept itself. */
static void
track_socket (bt_caller_server_t *server, GSocketConnection *connection, GSocketAddress *remote)
{
  GSocket *socket = g_socket_connection_get_socket (connection);
  socket_entry_t *entry = g_new0 (socket_entry_t, 1);
  entry->sockets = g_hash_table_ref (server->sockets);
  entry->remote = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (remote));
  g_hash_table_replace (server->sockets, entry->remote, socket);
  g_object_set_data_full (G_OBJECT (connection), SOCKET_KEY, entry, socket_entry_free);
  g_socket_set_timeout (socket, SOCKET_TIMEOUT_S);
}

static void
accept_connection (bt_caller_server_t *server, GSocketConnection *connection)
{
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  if (local == NULL || remote == NULL)
    return;
  track_socket (server, connection, remote);
  soup_server_accept_iostream (server->server, G_IO_STREAM (connection), local, remote, NULL);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  accept_connection (data, connection);
  return TRUE;
}

static void
on_request_started (SoupServer *soup, SoupServerMessage *message, gpointer data)
{
  ((bt_caller_server_t *)data)->n_requests_in_progress++;
}

static void
on_request_ended (SoupServer *soup, SoupServerMessage *message, gpointer data)
{
  ((bt_caller_server_t *)data)->n_requests_in_progress--;
}

/**
 * bt_caller_server_new() - start to listen for callers
 * @listen: IP:port
 * @error: BT_ERROR_INVALID for the address, or an error of GIO
 *
 * Return: a server for bt_caller_server_free(), or NULL on error.
 */
bt_caller_server_t *
bt_caller_server_new (const char *listen, GError **error)
{
  g_autoptr (GSocket) socket = bt_address_listen (listen, error);
  if (socket == NULL)
    return NULL;
  g_autoptr (GSocketService) service = g_socket_service_new ();
  if (!g_socket_listener_add_socket (G_SOCKET_LISTENER (service), socket, NULL, error))
    return NULL;
  bt_caller_server_t *server = g_new0 (bt_caller_server_t, 1);
  server->server = soup_server_new ("server-header", "bamboothread", NULL);
  server->socket = g_steal_pointer (&socket);
  server->service = g_steal_pointer (&service);
  server->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
  server->sockets = g_hash_table_new (g_str_hash, g_str_equal);
  g_signal_connect (server->service, "incoming", G_CALLBACK (on_incoming), server);
  g_signal_connect (server->server, "request-started", G_CALLBACK (on_request_started), server);
  g_signal_connect (server->server, "request-finished", G_CALLBACK (on_request_ended), server);
  g_signal_connect (server->server, "request-aborted", G_CALLBACK (on_request_ended), server);
  return server;
}

/**
 * bt_caller_server_close() - stop accepting connections
 * @server: the server
 *
 * Connections in the listen queue of the kernel are accepted first, since their callers may
 * already have sent a request.
 */
void
bt_caller_server_close (bt_caller_server_t *server)
{
  if (server->service == NULL)
    return;
  g_socket_service_stop (server->service);
  g_socket_set_blocking (server->socket, FALSE);
  GSocket *accepted;
  while ((accepted = g_socket_accept (server->socket, NULL, NULL)) != NULL)
    {
      g_autoptr (GSocketConnection) connection
          = g_socket_connection_factory_create_connection (accepted);
      g_object_unref (accepted);
      accept_connection (server, connection);
    }
  g_socket_close (server->socket, NULL);
  g_socket_listener_close (G_SOCKET_LISTENER (server->service));
  g_clear_object (&server->service);
  g_clear_object (&server->socket);
}

/**
 * bt_caller_server_is_idle() - whether every request received has its complete response
 * @server: the server
 *
 * Return: TRUE if no request is being read or processed and no response is being written.
 */
gboolean
bt_caller_server_is_idle (const bt_caller_server_t *server)
{
  return server->n_requests_in_progress == 0;
}

/**
 * bt_caller_server_attach() - start to serve requests
 * @server: the server
 * @core: handles the requests; must outlive the server
 */
void
bt_caller_server_attach (bt_caller_server_t *server, bt_core_t *core)
{
  server->core = core;
  static const struct
  {
    const char *path;
    SoupServerCallback callback;
  } handlers[] = {
    { "/", on_unknown },         { "/v1/jobs", on_jobs },
    { "/v1/dump", on_dump },     { "/v1/counters", on_counters },
    { "/v1/health", on_health },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (handlers); i++)
    {
      soup_server_add_early_handler (server->server, handlers[i].path, on_headers, server, NULL);
      soup_server_add_handler (server->server, handlers[i].path, handlers[i].callback, server,
                               NULL);
    }
}

/**
 * bt_caller_server_free() - close the server and all its connections
 * @server: the server
 */
void
bt_caller_server_free (bt_caller_server_t *server)
{
  bt_caller_server_close (server);
  g_signal_handlers_disconnect_by_data (server->server, server);
  g_hash_table_remove_all (server->exchanges);
  soup_server_disconnect (server->server);
  g_object_unref (server->server);
  g_hash_table_unref (server->exchanges);
  g_hash_table_unref (server->sockets);
  g_free (server);
}

/**
 * bt_caller_server_port() - get the port that the server listens on
 * @server: the server, not closed yet
 *
 * Return: the port.
 */
guint16
bt_caller_server_port (const bt_caller_server_t *server)
{
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (server->socket, NULL);
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
}
