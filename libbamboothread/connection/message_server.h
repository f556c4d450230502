#ifndef BT_CONNECTION_MESSAGE_SERVER_H
#define BT_CONNECTION_MESSAGE_SERVER_H

#include <event2/event.h>
#include <glib.h>

/*
 * An HTTP server, on a libevent event loop, for messages from other processes. Each
 * message is a POST and has one reply. Senders use bt_channels_call().
 */

typedef struct bt_message_server_t bt_message_server_t;

/* Path and content type of every message, for senders. */
#define BT_MESSAGE_SERVER_PATH "/message"
#define BT_MESSAGE_SERVER_CONTENT_TYPE "application/x-protobuf"

/**
 * bt_message_server_handler_f - called when a message is received
 * @context: as passed to bt_message_server_new()
 * @exchange: identifies the message for bt_message_server_reply()
 * @data: the message, @len bytes, valid during the callback
 *
 * Return: FALSE if the message can't be parsed; the server then replies with HTTP status 400.
 */
typedef gboolean (*bt_message_server_handler_f) (void *context, guint64 exchange,
                                                 const guint8 *data, gsize len);

bt_message_server_t *bt_message_server_new (struct event_base *base, const char *address,
                                            bt_message_server_handler_f handler, void *context,
                                            GError **error);
void bt_message_server_free (bt_message_server_t *server);
void bt_message_server_reply (bt_message_server_t *server, guint64 exchange, GBytes *reply);

#endif
