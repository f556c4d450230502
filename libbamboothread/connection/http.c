#include "libbamboothread/connection/http.h"

/* A connection without a call for this long is closed. */
#define IDLE_TIMEOUT_S 60

/**
 * struct bt_http_client_t - connections to servers
 * @sessions: one libsoup session per server, by the server's address, since libsoup searches all
 *   connections of a session for each call
 */
struct bt_http_client_t
{
  guint timeout_ms;
  guint connections_per_host;
  GHashTable *sessions;
};

/**
 * struct call_t - a call in flight
 * @cancel: ends the call when its caller cancels it or it times out
 * @caller_cancel: the caller's own cancellable, or NULL
 */
typedef struct
{
  SoupMessage *message;
  bt_http_done_t done;
  gpointer context;
  GCancellable *cancel;
  GCancellable *caller_cancel;
  gulong caller_cancel_handler;
  guint timer;
} call_t;

/**
 * bt_http_client_new() - create a client with its own connections
 * @timeout_ms: time limit of a call, in milliseconds
 * @connections_per_host: most connections to one server
 *
 * Return: a client for bt_http_client_free().
 */
bt_http_client_t *
bt_http_client_new (guint timeout_ms, guint connections_per_host)
{
  bt_http_client_t *client = g_new0 (bt_http_client_t, 1);
  client->timeout_ms = timeout_ms;
  client->connections_per_host = connections_per_host;
  client->sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  return client;
}

/**
 * bt_http_client_free() - close all connections
 * @client: the client, with no call in flight
 */
void
bt_http_client_free (bt_http_client_t *client)
{
  g_hash_table_unref (client->sessions);
  g_free (client);
}

/**
 * bt_http_client_session() - get the session for a server, creating it if needed
 * @client: the client
 * @address: IP:port of the server
 *
 * libsoup's own timeout stays off: it would also close a connection that has been idle
 * for as long as a call may take.
 *
 * Return: a session that lives as long as the client.
 */
SoupSession *
bt_http_client_session (bt_http_client_t *client, const char *address)
{
  SoupSession *session = g_hash_table_lookup (client->sessions, address);
  if (session != NULL)
    return session;
  session = soup_session_new_with_options (
      "timeout", 0, "idle-timeout", IDLE_TIMEOUT_S, "max-conns", client->connections_per_host,
      "max-conns-per-host", client->connections_per_host, "proxy-resolver", NULL, NULL);
  g_hash_table_insert (client->sessions, g_strdup (address), session);
  return session;
}

static void
call_free (call_t *call)
{
  if (call->timer > 0)
    g_source_remove (call->timer);
  if (call->caller_cancel != NULL)
    g_cancellable_disconnect (call->caller_cancel, call->caller_cancel_handler);
  g_clear_object (&call->caller_cancel);
  g_object_unref (call->cancel);
  g_object_unref (call->message);
  g_free (call);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  call_t *call = data;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  guint status = body != NULL ? soup_message_get_status (call->message) : 0;
  gboolean too_large = body != NULL && g_bytes_get_size (body) > BT_HTTP_BODY_MAX_BYTES;
  call->done (call->context, too_large ? 0 : status, too_large ? NULL : body);
  call_free (call);
}

static gboolean
on_timeout (gpointer data)
{
  call_t *call = data;
  call->timer = 0;
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
on_caller_cancelled (GCancellable *caller_cancel, gpointer data)
{
  g_cancellable_cancel (data);
}

/**
 * bt_http_call() - send a request and read the complete response
 * @client: the client
 * @method: HTTP method
 * @address: IP:port of the server
 * @path: path and query
 * @body: JSON to send, or NULL
 * @cancel: cancels the call, or NULL
 * @done: called once, not before this function returns
 * @context: passed to @done
 */
void
bt_http_call (bt_http_client_t *client, const char *method, const char *address, const char *path,
              GBytes *body, GCancellable *cancel, bt_http_done_t done, gpointer context)
{
  g_autofree char *uri = g_strdup_printf ("http://%s%s", address, path);
  call_t *call = g_new0 (call_t, 1);
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->context = context;
  call->cancel = g_cancellable_new ();
  call->timer = g_timeout_add (client->timeout_ms, on_timeout, call);
  if (cancel != NULL)
    {
      call->caller_cancel = g_object_ref (cancel);
      call->caller_cancel_handler
          = g_cancellable_connect (cancel, G_CALLBACK (on_caller_cancelled), call->cancel, NULL);
    }
  if (body != NULL)
    soup_message_set_request_body_from_bytes (call->message, "application/json", body);
  soup_session_send_and_read_async (bt_http_client_session (client, address), call->message,
                                    G_PRIORITY_DEFAULT, call->cancel, on_response, call);
}
