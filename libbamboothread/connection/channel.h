#ifndef BT_CONNECTION_CHANNEL_H
#define BT_CONNECTION_CHANNEL_H

#include <event2/event.h>
#include <glib.h>

/*
 * HTTP calls over persistent connections, on a libevent event loop. Each call has its
 * own time limit, so that an unresponsive peer does not delay calls to other peers.
 */

typedef struct bt_channels_t bt_channels_t;

/* No response: the call may have been carried out, or may still be. */
#define BT_CHANNEL_NO_ANSWER 0
/* The call was not sent, so it has certainly not been carried out. */
#define BT_CHANNEL_NOT_SENT (-1)

/**
 * bt_channel_reply_f - called with the result of a call
 * @context: as passed to bt_channels_call()
 * @status: HTTP status, %BT_CHANNEL_NO_ANSWER or %BT_CHANNEL_NOT_SENT
 * @body: response body, valid during the callback
 * @len: its length in bytes
 */
typedef void (*bt_channel_reply_f) (void *context, int status, const char *body, gsize len);

/**
 * bt_channel_progress_f - called when a part of a response has arrived
 * @context: as passed to bt_channels_call()
 * @n_bytes: number of bytes that have arrived since the last call, headers included
 */
typedef void (*bt_channel_progress_f) (void *context, gsize n_bytes);

/**
 * struct bt_call_t - an HTTP call
 * @method: GET, POST or DELETE
 * @address: IP:port of the peer; a call to anything else is not sent
 * @path: path and query
 * @headers: alternating names and values, terminated by NULL; or NULL for none
 * @body: request body, or NULL for none
 * @body_len: length of @body in bytes
 * @content_type: content type of @body
 * @timeout_ms: time limit from when the call is given a connection to the complete response
 * @queue_timeout_ms: time limit until then; 0 if the time that it waits counts towards @timeout_ms
 * @progress_timeout_ms: time limit for each further part of the response once a first one has
 *   arrived, instead of @timeout_ms; 0 for none
 * @progress: called for each part of the response, until the call ends; or NULL
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
  guint queue_timeout_ms;
  guint progress_timeout_ms;
  bt_channel_progress_f progress;
} bt_call_t;

void bt_event_keep_memory (void);
struct event_base *bt_event_base_new (void);
bt_channels_t *bt_channels_new (struct event_base *base, guint per_peer_max);
void bt_channels_free (bt_channels_t *channels);
void bt_channels_call (bt_channels_t *channels, const bt_call_t *call, bt_channel_reply_f reply,
                       void *context);

#endif
