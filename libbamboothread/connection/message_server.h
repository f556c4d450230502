#ifndef BT_CONNECTION_MESSAGE_SERVER_H
#define BT_CONNECTION_MESSAGE_SERVER_H

#include <event2/event.h>
#include <glib.h>

/*
 * Messages from other processes, each with one reply: HTTP POSTs on libevent's
 * loop. The sender uses bt_channels_call().
 */

typedef struct bt_message_server_t bt_message_server_t;

/* Path of all messages, for the sender. */
#define BT_MESSAGE_SERVER_PATH "/message"
#define BT_MESSAGE_SERVER_CONTENT_TYPE "application/x-protobuf"

/**
 * bt_message_server_handler_f - a message has come
 * @context: as given to bt_message_server_new()
 * @exchange: names it for bt_message_server_reply()
 * @data: the message, @len bytes, valid during the callback
 *
 * Return: FALSE if it can't be read; it has its reply then.
 */
typedef gboolean (*bt_message_server_handler_f) (void *context, guint64 exchange,
                                                 const guint8 *data, gsize len);

bt_message_server_t *bt_message_server_new (struct event_base *base, const char *address,
                                            bt_message_server_handler_f message, void *context,
                                            GError **error);
void bt_message_server_free (bt_message_server_t *mailbox);
void bt_message_server_reply (bt_message_server_t *mailbox, guint64 exchange, GBytes *reply);

#endif
