#include "libbamboothread/connection/channel.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

/* Most bytes of an answer; the store's pages and reads stay below. */
#define ANSWER_MAX (8 * 1024 * 1024)

typedef struct peer_t peer_t;

/**
 * struct link_t - one connection to a peer
 * @used: a call is on it
 */
typedef struct
{
  peer_t *peer;
  struct evhttp_connection *connection;
  gboolean used;
} link_t;

/**
 * struct pending_t - a call on its way or waiting for a connection
 */
typedef struct
{
  peer_t *peer;
  link_t *link;
  struct evhttp_request *request;
  struct event *timer;
  enum evhttp_cmd_type method;
  char *target;
  bt_channel_reply_f reply;
  void *context;
} pending_t;

/**
 * struct peer_t - the connections to one address
 * @queue: pending_t that wait for a connection
 */
struct peer_t
{
  bt_channels_t *channels;
  char *host;
  guint16 port;
  GPtrArray *links;
  GQueue queue;
};

struct bt_channels_t
{
  struct event_base *base;
  GHashTable *peers;
  guint per_peer_max;
};

static void
link_free (gpointer data)
{
  link_t *link = data;
  evhttp_connection_free (link->connection);
  g_free (link);
}

static void
peer_free (gpointer data)
{
  peer_t *peer = data;
  g_ptr_array_unref (peer->links);
  g_queue_clear (&peer->queue);
  g_free (peer->host);
  g_free (peer);
}

/**
 * bt_channels_new() - calls on a loop
 * @base: the loop
 * @per_peer_max: most connections to one address; further calls wait
 */
bt_channels_t *
bt_channels_new (struct event_base *base, guint per_peer_max)
{
  bt_channels_t *channels = g_new0 (bt_channels_t, 1);
  channels->base = base;
  channels->per_peer_max = per_peer_max;
  channels->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  return channels;
}

void
bt_channels_free (bt_channels_t *channels)
{
  g_hash_table_unref (channels->peers);
  g_free (channels);
}

static peer_t *
find_peer (bt_channels_t *channels, const char *address)
{
  peer_t *peer = g_hash_table_lookup (channels->peers, address);
  const char *colon = strrchr (address, ':');
  if (peer != NULL || colon == NULL)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->channels = channels;
  peer->host = g_strndup (address, (gsize)(colon - address));
  peer->port = (guint16)g_ascii_strtoull (colon + 1, NULL, 10);
  peer->links = g_ptr_array_new_with_free_func (link_free);
  g_queue_init (&peer->queue);
  g_hash_table_insert (channels->peers, g_strdup (address), peer);
  return peer;
}

static link_t *
find_link (peer_t *peer)
{
  for (guint i = 0; i < peer->links->len; i++)
    {
      link_t *link = peer->links->pdata[i];
      if (!link->used)
        return link;
    }
  if (peer->links->len >= peer->channels->per_peer_max)
    return NULL;
  link_t *link = g_new0 (link_t, 1);
  link->peer = peer;
  link->connection
      = evhttp_connection_base_new (peer->channels->base, NULL, peer->host, peer->port);
  evhttp_connection_set_max_body_size (link->connection, ANSWER_MAX);
  g_ptr_array_add (peer->links, link);
  return link;
}

static void run_queue (peer_t *peer);

static void
finish (pending_t *pending, int status, const char *body, gsize len)
{
  peer_t *peer = pending->peer;
  if (pending->link != NULL)
    pending->link->used = FALSE;
  pending->reply (pending->context, status, body, len);
  event_free (pending->timer);
  g_free (pending->target);
  g_free (pending);
  run_queue (peer);
}

/* libevent hands over no request if the connection broke, and one without a status
   if there never was a connection. */
static void
on_answer (struct evhttp_request *request, void *context)
{
  pending_t *pending = context;
  int status = request == NULL ? BT_CHANNEL_NO_ANSWER : evhttp_request_get_response_code (request);
  if (request == NULL || status == 0)
    {
      finish (pending, request == NULL ? BT_CHANNEL_NO_ANSWER : BT_CHANNEL_NOT_SENT, "", 0);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize len = evbuffer_get_length (input);
  const char *body = len == 0 ? "" : (const char *)evbuffer_pullup (input, -1);
  finish (pending, status, body, len);
}

static void
on_timeout (evutil_socket_t fd, short what, void *context)
{
  pending_t *pending = context;
  int status = pending->link != NULL ? BT_CHANNEL_NO_ANSWER : BT_CHANNEL_NOT_SENT;
  if (pending->link != NULL)
    evhttp_cancel_request (pending->request);
  else
    {
      g_queue_remove (&pending->peer->queue, pending);
      evhttp_request_free (pending->request);
    }
  finish (pending, status, "", 0);
}

static void
send_on (pending_t *pending, link_t *link)
{
  link->used = TRUE;
  pending->link = link;
  if (evhttp_make_request (link->connection, pending->request, pending->method, pending->target)
      == 0)
    return;
  /* libevent has freed the request; the timer reports that it was not sent. */
  pending->link = NULL;
  link->used = FALSE;
  pending->request = evhttp_request_new (on_answer, pending);
  struct timeval at_once = { 0, 0 };
  evtimer_add (pending->timer, &at_once);
}

static void
run_queue (peer_t *peer)
{
  while (!g_queue_is_empty (&peer->queue))
    {
      link_t *link = find_link (peer);
      if (link == NULL)
        return;
      send_on (g_queue_pop_head (&peer->queue), link);
    }
}

static enum evhttp_cmd_type
method_of (const char *name)
{
  if (strcmp (name, "POST") == 0)
    return EVHTTP_REQ_POST;
  return strcmp (name, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

/**
 * bt_channels_call() - make a call
 * @channels: the connections
 * @call: the call; not kept
 * @reply: told what became of it, once, never before this function returns
 * @context: handed to @reply
 */
void
bt_channels_call (bt_channels_t *channels, const bt_call_t *call, bt_channel_reply_f reply,
                  void *context)
{
  pending_t *pending = g_new0 (pending_t, 1);
  pending->peer = find_peer (channels, call->address);
  g_return_if_fail (pending->peer != NULL);
  pending->reply = reply;
  pending->context = context;
  pending->method = method_of (call->method);
  pending->target = g_strdup (call->path);
  pending->request = evhttp_request_new (on_answer, pending);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (pending->request);
  evhttp_add_header (headers, "Host", call->address);
  for (gsize i = 0; call->headers != NULL && call->headers[i] != NULL; i += 2)
    evhttp_add_header (headers, call->headers[i], call->headers[i + 1]);
  if (call->body != NULL)
    {
      evhttp_add_header (headers, "Content-Type", call->content_type);
      evbuffer_add (evhttp_request_get_output_buffer (pending->request), call->body,
                    call->body_len);
    }
  pending->timer = evtimer_new (channels->base, on_timeout, pending);
  struct timeval limit = { call->timeout_ms / 1000, (call->timeout_ms % 1000) * 1000 };
  evtimer_add (pending->timer, &limit);
  link_t *link = find_link (pending->peer);
  if (link != NULL)
    send_on (pending, link);
  else
    g_queue_push_tail (&pending->peer->queue, pending);
}
