#include "libbamboothread/connection/message_server.h"

#include <event2/buffer.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/listener.h"

/* Enough for the largest message, a request that names 100 workers. */
#define MESSAGE_MAX_BYTES (64 * 1024)
#define HEADER_MAX_BYTES 4096
/* A connection without a message for this long is closed. */
#define IDLE_TIMEOUT_S 30

/**
 * struct pending_message_t - a message that has not been replied to yet
 * @exchange: identifies it for bt_message_server_reply()
 * @request: its HTTP request, NULL once the connection is closed
 */
typedef struct
{
  guint64 exchange;
  struct evhttp_request *request;
} pending_message_t;

struct bt_message_server_t
{
  struct evhttp *http;
  bt_message_server_handler_f handler;
  void *context;
  GHashTable *pending_by_exchange;
  guint64 last_exchange;
};

static void
on_closed (struct evhttp_connection *connection, void *context)
{
  pending_message_t *pending = context;
  pending->request = NULL;
}

static void
on_message (struct evhttp_request *request, void *context)
{
  bt_message_server_t *server = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize len = evbuffer_get_length (input);
  const guint8 *data = len == 0 ? (const guint8 *)"" : evbuffer_pullup (input, -1);
  pending_message_t *pending = g_new0 (pending_message_t, 1);
  pending->exchange = ++server->last_exchange;
  pending->request = request;
  guint64 exchange = pending->exchange;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_closed, pending);
  g_hash_table_insert (server->pending_by_exchange, &pending->exchange, pending);
  if (server->handler (server->context, exchange, data, len))
    return;
  bt_log (BT_LOG_WARNING, "message-unreadable", "bytes=%zu", len);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL, NULL);
  g_hash_table_remove (server->pending_by_exchange, &exchange);
  evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
}

/**
 * bt_message_server_new() - start to receive messages
 * @base: the event loop
 * @address: IP:port to listen on
 * @handler: called for each message
 * @context: passed to @handler
 * @error: %BT_ERROR_IO
 *
 * Return: a server for bt_message_server_free(), or NULL on error.
 */
bt_message_server_t *
bt_message_server_new (struct event_base *base, const char *address,
                       bt_message_server_handler_f handler, void *context, GError **error)
{
  const bt_listener_options_t options
      = { EVHTTP_REQ_POST, HEADER_MAX_BYTES, MESSAGE_MAX_BYTES, IDLE_TIMEOUT_S };
  bt_message_server_t *server = g_new0 (bt_message_server_t, 1);
  server->http = bt_listener_open (base, address, &options, on_message, server, error);
  if (server->http == NULL)
    {
      g_free (server);
      return NULL;
    }
  server->handler = handler;
  server->context = context;
  server->pending_by_exchange = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return server;
}

void
bt_message_server_free (bt_message_server_t *server)
{
  if (server == NULL)
    return;
  evhttp_free (server->http);
  g_hash_table_unref (server->pending_by_exchange);
  g_free (server);
}

/**
 * bt_message_server_reply() - reply to a message
 * @server: the server
 * @exchange: identifies the message; if its sender has disconnected, nothing is sent
 * @reply: the reply, or NULL to respond with HTTP status 503
 */
void
bt_message_server_reply (bt_message_server_t *server, guint64 exchange, GBytes *reply)
{
  pending_message_t *pending = g_hash_table_lookup (server->pending_by_exchange, &exchange);
  if (pending == NULL)
    return;
  if (pending->request != NULL)
    {
      struct evbuffer *out = evbuffer_new ();
      gsize len = 0;
      const void *data = reply == NULL ? NULL : g_bytes_get_data (reply, &len);
      if (data != NULL)
        evbuffer_add (out, data, len);
      evhttp_connection_set_closecb (evhttp_request_get_connection (pending->request), NULL, NULL);
      evhttp_send_reply (pending->request, reply == NULL ? HTTP_SERVUNAVAIL : HTTP_OK, NULL, out);
      evbuffer_free (out);
    }
  g_hash_table_remove (server->pending_by_exchange, &exchange);
}
