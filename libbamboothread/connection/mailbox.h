#ifndef BT_CONNECTION_MAILBOX_H
#define BT_CONNECTION_MAILBOX_H

#include <event2/event.h>
#include <glib.h>

/*
 * Messages from other processes, each with one reply: HTTP POSTs on libevent's
 * loop. The sender uses bt_channels_call().
 */

typedef struct bt_mailbox_t bt_mailbox_t;

/* Path of all messages, for the sender. */
#define BT_MAILBOX_TARGET "/message"
#define BT_MAILBOX_TYPE "application/x-protobuf"

/**
 * bt_mailbox_f - a message has come
 * @context: as given to bt_mailbox_new()
 * @exchange: names it for bt_mailbox_reply()
 * @data: the message, @len bytes, valid during the callback
 *
 * Return: FALSE if it can't be read; it has its reply then.
 */
typedef gboolean (*bt_mailbox_f) (void *context, guint64 exchange, const guint8 *data, gsize len);

bt_mailbox_t *bt_mailbox_new (struct event_base *base, const char *address, bt_mailbox_f message,
                              void *context, GError **error);
void bt_mailbox_free (bt_mailbox_t *mailbox);
void bt_mailbox_reply (bt_mailbox_t *mailbox, guint64 exchange, GBytes *reply);

#endif
