#include "libbamboothread/connection/channel.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/connection/address.h"

/* Memory of libevent is kept in lists of free blocks by their size, in steps of so many bytes;
   larger blocks are left to the C library. */
#define BLOCK_STEP_BYTES 64
#define BLOCK_SIZES 33
/* Bytes in front of each block that tell its size; the rest is aligned as malloc() aligns. */
#define BLOCK_HEAD_BYTES 16

/* Largest response body; pages and reads of the store are smaller. */
#define RESPONSE_MAX_BYTES (8 * 1024 * 1024)

typedef struct peer_t peer_t;
typedef struct pending_call_t pending_call_t;

/**
 * struct link_t - one connection to a peer
 * @call: the call that it carries; NULL if it is free
 */
typedef struct
{
  peer_t *peer;
  struct evhttp_connection *connection;
  pending_call_t *call;
} link_t;

/**
 * struct pending_call_t - a call in flight or queued for a connection
 * @link: the connection that carries it, or NULL while it is queued
 * @timer: ends the call when its time limit has passed, or at once if it couldn't be sent
 * @sent_timeout_ms: new time limit from when it is sent on; 0 to keep that of the call
 * @progress_timeout_ms: new time limit from each part of the response on; 0 to keep that of the
 * call
 * @is_sending: libevent is being given the request
 * @has_failed: libevent has given it back meanwhile
 */
struct pending_call_t
{
  peer_t *peer;
  link_t *link;
  struct evhttp_request *request;
  struct event *timer;
  enum evhttp_cmd_type method;
  gboolean is_sending;
  gboolean has_failed;
  char *path;
  bt_channel_reply_f reply;
  bt_channel_progress_f progress;
  guint sent_timeout_ms;
  guint progress_timeout_ms;
  void *context;
};

/**
 * struct peer_t - the connections to one address
 * @host: IP address; NULL if the address of the peer is none, and no call to it is sent
 * @queue: calls (pending_call_t) waiting for a connection
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
 * union block_t - memory of libevent
 * @size: its size in steps, while it is in use
 * @next: the next free block of its size
 */
typedef union block_t
{
  gsize size;
  union block_t *next;
} block_t;

static block_t *free_blocks[BLOCK_SIZES];

static gsize
count_steps (gsize bytes)
{
  return (bytes + BLOCK_HEAD_BYTES + BLOCK_STEP_BYTES - 1) / BLOCK_STEP_BYTES;
}

static void *
block_alloc (size_t bytes)
{
  gsize size = count_steps (bytes);
  block_t *block = size < BLOCK_SIZES ? free_blocks[size] : NULL;
  if (block != NULL)
    free_blocks[size] = block->next;
  else
    block = malloc (size * BLOCK_STEP_BYTES);
  if (block == NULL)
    return NULL;
  block->size = size;
  return (char *)block + BLOCK_HEAD_BYTES;
}

static void
block_free (void *memory)
{
  if (memory == NULL)
    return;
  block_t *block = (block_t *)(gpointer)((char *)memory - BLOCK_HEAD_BYTES);
  gsize size = block->size;
  if (size >= BLOCK_SIZES)
    {
      free (block);
      return;
    }
  block->next = free_blocks[size];
  free_blocks[size] = block;
}

/* Blocks that are too large to be kept grow as the C library grows them, mostly in place. */
static void *
block_realloc (void *memory, size_t bytes)
{
  block_t *block = memory == NULL ? NULL : (block_t *)(gpointer)((char *)memory - BLOCK_HEAD_BYTES);
  gsize old_size = block == NULL ? 0 : block->size;
  gsize size = count_steps (bytes);
  if (old_size >= BLOCK_SIZES && size >= BLOCK_SIZES)
    {
      block_t *grown = realloc (block, size * BLOCK_STEP_BYTES);
      if (grown == NULL)
        return NULL;
      grown->size = size;
      return (char *)grown + BLOCK_HEAD_BYTES;
    }
  void *moved = block_alloc (bytes);
  if (memory == NULL || moved == NULL)
    return moved;
  memcpy (moved, memory, MIN (bytes, old_size * BLOCK_STEP_BYTES - BLOCK_HEAD_BYTES));
  block_free (memory);
  return moved;
}

/**
 * bt_event_keep_memory() - let libevent keep the memory that it frees
 *
 * A call takes some thirty blocks, and an owner has a thousand calls open. The C library keeps few
 * freed blocks of a size ready and merges and splits the others. To be called before any other
 * function of libevent.
 */
void
bt_event_keep_memory (void)
{
  event_set_mem_functions (block_alloc, block_realloc, block_free);
}

/**
 * bt_event_base_new() - create an event loop for many connections
 *
 * libevent turns reading and writing of a connection on and off several times during a call. The
 * changes of a turn of the loop are made together, and those that cancel out are left out.
 *
 * Return: the event loop, for event_base_free().
 */
struct event_base *
bt_event_base_new (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

/**
 * bt_channels_new() - create an empty set of connections
 * @base: the event loop
 * @per_peer_max: most connections to one address; further calls are queued
 *
 * Return: the connections, for bt_channels_free().
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
get_peer (bt_channels_t *channels, const char *address)
{
  peer_t *peer = g_hash_table_lookup (channels->peers, address);
  if (peer != NULL)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->channels = channels;
  g_autoptr (GSocketAddress) parsed = bt_address_parse (address, NULL);
  if (parsed != NULL)
    {
      GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS (parsed);
      peer->host = g_inet_address_to_string (g_inet_socket_address_get_address (inet));
      peer->port = g_inet_socket_address_get_port (inet);
    }
  peer->links = g_ptr_array_new_with_free_func (link_free);
  g_queue_init (&peer->queue);
  g_hash_table_insert (channels->peers, g_strdup (address), peer);
  return peer;
}

static void
set_timeout (pending_call_t *pending, guint ms)
{
  struct timeval timeout = { ms / 1000, (ms % 1000) * 1000 };
  evtimer_add (pending->timer, &timeout);
}

static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *change, void *context)
{
  const link_t *link = context;
  if (change->n_added == 0 || link->call == NULL)
    return;
  if (link->call->progress_timeout_ms > 0)
    set_timeout (link->call, link->call->progress_timeout_ms);
  if (link->call->progress != NULL)
    link->call->progress (link->call->context, change->n_added);
}

static link_t *
get_free_link (peer_t *peer)
{
  for (guint i = 0; i < peer->links->len; i++)
    {
      link_t *link = peer->links->pdata[i];
      if (link->call == NULL)
        return link;
    }
  if (peer->links->len >= peer->channels->per_peer_max)
    return NULL;
  link_t *link = g_new0 (link_t, 1);
  link->peer = peer;
  link->connection
      = evhttp_connection_base_new (peer->channels->base, NULL, peer->host, peer->port);
  evhttp_connection_set_max_body_size (link->connection, RESPONSE_MAX_BYTES);
  struct bufferevent *stream = evhttp_connection_get_bufferevent (link->connection);
  evbuffer_add_cb (bufferevent_get_input (stream), on_input, link);
  g_ptr_array_add (peer->links, link);
  return link;
}

static void dispatch_queue (peer_t *peer);

static void
finish_call (pending_call_t *pending, int status, const char *body, gsize len)
{
  peer_t *peer = pending->peer;
  if (pending->link != NULL)
    pending->link->call = NULL;
  pending->reply (pending->context, status, body, len);
  event_free (pending->timer);
  g_free (pending->path);
  g_free (pending);
  dispatch_queue (peer);
}

/* libevent passes no request if the connection was lost, and a request without a status if
   the connection was never established. */
static void
on_response (struct evhttp_request *request, void *context)
{
  pending_call_t *pending = context;
  if (pending->is_sending)
    {
      pending->has_failed = TRUE;
      return;
    }
  int status = request == NULL ? BT_CHANNEL_NO_ANSWER : evhttp_request_get_response_code (request);
  if (request == NULL || status == 0)
    {
      finish_call (pending, request == NULL ? BT_CHANNEL_NO_ANSWER : BT_CHANNEL_NOT_SENT, "", 0);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize len = evbuffer_get_length (input);
  const char *body = len == 0 ? "" : (const char *)evbuffer_pullup (input, -1);
  finish_call (pending, status, body, len);
}

static void
on_timeout (evutil_socket_t fd, short what, void *context)
{
  pending_call_t *pending = context;
  int status = pending->link != NULL ? BT_CHANNEL_NO_ANSWER : BT_CHANNEL_NOT_SENT;
  if (pending->link != NULL)
    evhttp_cancel_request (pending->request);
  else
    {
      g_queue_remove (&pending->peer->queue, pending);
      evhttp_request_free (pending->request);
    }
  finish_call (pending, status, "", 0);
}

/* Lets the timer report that a call was not sent. */
static void
fail_call (pending_call_t *pending)
{
  set_timeout (pending, 0);
}

/* A connection may fail at once, as when no route leads to the peer. Callers are in the middle of
   their work and can't have the reply yet. */
static void
send_call (pending_call_t *pending, link_t *link)
{
  link->call = pending;
  pending->link = link;
  if (pending->sent_timeout_ms > 0)
    set_timeout (pending, pending->sent_timeout_ms);
  pending->is_sending = TRUE;
  int result
      = evhttp_make_request (link->connection, pending->request, pending->method, pending->path);
  pending->is_sending = FALSE;
  if (result == 0 && !pending->has_failed)
    return;
  /* libevent has freed the request. */
  pending->link = NULL;
  link->call = NULL;
  pending->request = evhttp_request_new (on_response, pending);
  fail_call (pending);
}

static void
dispatch_queue (peer_t *peer)
{
  while (!g_queue_is_empty (&peer->queue))
    {
      link_t *link = get_free_link (peer);
      if (link == NULL)
        return;
      send_call (g_queue_pop_head (&peer->queue), link);
    }
}

static enum evhttp_cmd_type
parse_method (const char *name)
{
  if (strcmp (name, "POST") == 0)
    return EVHTTP_REQ_POST;
  return strcmp (name, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

/**
 * bt_channels_call() - send an HTTP request
 * @channels: the connections
 * @call: the request; may be freed when this function has returned
 * @reply: called once with the result, never before this function returns
 * @context: passed to @reply
 */
void
bt_channels_call (bt_channels_t *channels, const bt_call_t *call, bt_channel_reply_f reply,
                  void *context)
{
  pending_call_t *pending = g_new0 (pending_call_t, 1);
  pending->peer = get_peer (channels, call->address);
  pending->reply = reply;
  pending->progress = call->progress;
  pending->progress_timeout_ms = call->progress_timeout_ms;
  pending->context = context;
  pending->method = parse_method (call->method);
  pending->path = g_strdup (call->path);
  pending->request = evhttp_request_new (on_response, pending);
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
  pending->sent_timeout_ms = call->queue_timeout_ms > 0 ? call->timeout_ms : 0;
  set_timeout (pending, call->queue_timeout_ms > 0 ? call->queue_timeout_ms : call->timeout_ms);
  if (pending->peer->host == NULL)
    {
      fail_call (pending);
      return;
    }
  link_t *link = get_free_link (pending->peer);
  if (link != NULL)
    send_call (pending, link);
  else
    g_queue_push_tail (&pending->peer->queue, pending);
}
