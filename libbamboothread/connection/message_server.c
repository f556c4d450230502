#include "libbamboothread/connection/message_server.h"

#include <event2/buffer.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/listener.h"

/* Most bytes of a message: a question names 100 workers at most. */
#define MESSAGE_MAX (64 * 1024)
#define HEADER_MAX 4096
/* Time after which a connection without a message is closed, in seconds. */
#define IDLE_S 30

/**
 * struct letter_t - a message without a reply yet
 * @request: NULL once its connection is closed
 */
typedef struct
{
  guint64 exchange;
  struct evhttp_request *request;
} letter_t;

struct bt_message_server_t
{
  struct evhttp *server;
  bt_message_server_handler_f message;
  void *context;
  GHashTable *letters;
  guint64 exchange;
};

static void
on_closed (struct evhttp_connection *connection, void *context)
{
  letter_t *letter = context;
  letter->request = NULL;
}

static void
on_message (struct evhttp_request *request, void *context)
{
  bt_message_server_t *mailbox = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize len = evbuffer_get_length (input);
  const guint8 *data = len == 0 ? (const guint8 *)"" : evbuffer_pullup (input, -1);
  letter_t *letter = g_new0 (letter_t, 1);
  letter->exchange = ++mailbox->exchange;
  letter->request = request;
  guint64 exchange = letter->exchange;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_closed, letter);
  g_hash_table_insert (mailbox->letters, &letter->exchange, letter);
  if (mailbox->message (mailbox->context, exchange, data, len))
    return;
  bt_log (BT_LOG_WARNING, "message-unreadable", "bytes=%zu", len);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL, NULL);
  g_hash_table_remove (mailbox->letters, &exchange);
  evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
}

/**
 * bt_message_server_new() - take messages
 * @base: the loop
 * @address: IP:port to listen on
 * @message: told of each message
 * @context: handed to @message
 * @error: %BT_ERROR_IO
 */
bt_message_server_t *
bt_message_server_new (struct event_base *base, const char *address,
                       bt_message_server_handler_f message, void *context, GError **error)
{
  const bt_listener_options_t listener = { EVHTTP_REQ_POST, HEADER_MAX, MESSAGE_MAX, IDLE_S };
  bt_message_server_t *mailbox = g_new0 (bt_message_server_t, 1);
  mailbox->server = bt_listener_open (base, address, &listener, on_message, mailbox, error);
  if (mailbox->server == NULL)
    {
      g_free (mailbox);
      return NULL;
    }
  mailbox->message = message;
  mailbox->context = context;
  mailbox->letters = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return mailbox;
}

void
bt_message_server_free (bt_message_server_t *mailbox)
{
  if (mailbox == NULL)
    return;
  evhttp_free (mailbox->server);
  g_hash_table_unref (mailbox->letters);
  g_free (mailbox);
}

/**
 * bt_message_server_reply() - reply to a message
 * @mailbox: the mailbox
 * @exchange: of the message; one whose sender has gone is passed over
 * @reply: the reply, or NULL if there is none to be had
 */
void
bt_message_server_reply (bt_message_server_t *mailbox, guint64 exchange, GBytes *reply)
{
  letter_t *letter = g_hash_table_lookup (mailbox->letters, &exchange);
  if (letter == NULL)
    return;
  if (letter->request != NULL)
    {
      struct evbuffer *out = evbuffer_new ();
      gsize len = 0;
      const void *data = reply == NULL ? NULL : g_bytes_get_data (reply, &len);
      if (data != NULL)
        evbuffer_add (out, data, len);
      evhttp_connection_set_closecb (evhttp_request_get_connection (letter->request), NULL, NULL);
      evhttp_send_reply (letter->request, reply == NULL ? HTTP_SERVUNAVAIL : HTTP_OK, NULL, out);
      evbuffer_free (out);
    }
  g_hash_table_remove (mailbox->letters, &exchange);
}
