#ifndef BT_CONNECTION_CHANNEL_H
#define BT_CONNECTION_CHANNEL_H

#include <event2/event.h>
#include <glib.h>

/*
 * HTTP calls over kept connections, on libevent's loop. Each call has a time
 * limit of its own, so that a peer that has gone silent holds up nothing else.
 */

typedef struct bt_channels_t bt_channels_t;

/* No answer: the call may have been carried out, or may be later. */
#define BT_CHANNEL_NO_ANSWER 0
/* The peer could not be reached: the call was surely not carried out. */
#define BT_CHANNEL_NOT_SENT (-1)

/**
 * bt_channel_reply_f - what became of a call
 * @context: as given with the call
 * @status: HTTP status, %BT_CHANNEL_NO_ANSWER or %BT_CHANNEL_NOT_SENT
 * @body: body of the answer, valid during the callback
 * @len: its length in bytes
 */
typedef void (*bt_channel_reply_f) (void *context, int status, const char *body, gsize len);

/**
 * struct bt_call_t - an HTTP call
 * @address: host:port of the peer
 * @path: path and query
 * @headers: names and values by turns, ended by NULL; or NULL
 * @body: its body, or NULL for none; @body_len bytes
 * @content_type: content type of @body
 * @timeout_ms: longest time to the whole answer
 */
typedef struct
{
  const char *method;
  const char *address;
  const char *path;
  const char *const *headers;
  const char *body;
  gsize body_len;
  const char *content_type;
  guint timeout_ms;
} bt_call_t;

bt_channels_t *bt_channels_new (struct event_base *base, guint per_peer_max);
void bt_channels_free (bt_channels_t *channels);
void bt_channels_call (bt_channels_t *channels, const bt_call_t *call, bt_channel_reply_f reply,
                       void *context);

#endif
