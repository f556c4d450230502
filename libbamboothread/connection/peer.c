#include "libbamboothread/connection/peer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/address.h"

#define HEADER_BYTES 4
/* Most bytes queued for a slow or unreachable peer. Further frames are dropped. */
#define LINK_QUEUE_MAX_BYTES (16 * 1024 * 1024)
#define CONNECT_TIMEOUT_S 2
/* A connection that receives nothing for this long is closed. */
#define READ_TIMEOUT_S 30
#define RECONNECT_DELAY_MS 200
#define READERS_MAX 256
/* Most bytes of partly read frames, over all connections. */
#define PARTIAL_FRAMES_MAX_BYTES (32 * 1024 * 1024)
/* Longest time from the header of a frame to its last byte. */
#define FRAME_TIMEOUT_S 10

/**
 * struct link_t - an outgoing connection to a peer
 * @connection: NULL while not connected
 * @cancel: cancelled when the link is freed
 * @frames: frames to send (GBytes)
 * @queued_bytes: their total size
 * @write_in_flight: the frame being written, or NULL
 * @next_connect_at: earliest time of the next attempt to connect, in monotonic microseconds
 */
typedef struct
{
  bt_peers_t *peers;
  char *address;
  GSocketConnection *connection;
  GCancellable *cancel;
  GQueue frames;
  gsize queued_bytes;
  GBytes *write_in_flight;
  gboolean is_connecting;
  gint64 next_connect_at;
} link_t;

/**
 * struct reader_t - an incoming connection
 * @body: the frame being read, or NULL between frames
 * @frame_timer: limits the time to read the frame
 */
typedef struct
{
  bt_peers_t *peers;
  GSocketConnection *connection;
  guint8 header[HEADER_BYTES];
  guint8 *body;
  gsize body_len;
  guint frame_timer;
} reader_t;

struct bt_peers_t
{
  GSocketService *service;
  GSocketClient *client;
  GHashTable *links;
  GHashTable *readers;
  GCancellable *cancel;
  bt_peer_handler_t handler;
  void *context;
  guint16 port;
  gsize partial_frame_bytes;
  guint64 bytes_sent;
  guint64 bytes_received;
};

static void link_write_next (link_t *link);
static void reader_read_header (reader_t *reader);

static void
link_close (link_t *link)
{
  if (link->connection != NULL)
    g_io_stream_close (G_IO_STREAM (link->connection), NULL, NULL);
  g_clear_object (&link->connection);
  g_clear_pointer (&link->write_in_flight, g_bytes_unref);
  link->next_connect_at = g_get_monotonic_time () + RECONNECT_DELAY_MS * 1000;
}

static void
link_free (gpointer data)
{
  link_t *link = data;
  g_cancellable_cancel (link->cancel);
  link_close (link);
  g_queue_clear_full (&link->frames, (GDestroyNotify)g_bytes_unref);
  g_object_unref (link->cancel);
  g_free (link->address);
  g_free (link);
}

/* Identifies a link to a completion callback, which has to look the link up again, since the link
   may have been freed before the callback runs. */
typedef struct
{
  bt_peers_t *peers;
  GCancellable *cancel;
  char *address;
} link_ref_t;

static link_ref_t *
link_ref_new (link_t *link)
{
  link_ref_t *ref = g_new0 (link_ref_t, 1);
  ref->peers = link->peers;
  ref->cancel = g_object_ref (link->cancel);
  ref->address = g_strdup (link->address);
  return ref;
}

static link_t *
link_ref_resolve (link_ref_t *ref)
{
  link_t *link = NULL;
  if (!g_cancellable_is_cancelled (ref->cancel))
    link = g_hash_table_lookup (ref->peers->links, ref->address);
  g_object_unref (ref->cancel);
  g_free (ref->address);
  g_free (ref);
  return link;
}

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  gsize written;
  gboolean ok = g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, &written, NULL);
  link_t *link = link_ref_resolve (data);
  if (link == NULL)
    return;
  g_clear_pointer (&link->write_in_flight, g_bytes_unref);
  if (!ok)
    {
      link_close (link);
      return;
    }
  link->peers->bytes_sent += written;
  link_write_next (link);
}

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  GSocketConnection *connection
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), result, NULL);
  link_t *link = link_ref_resolve (data);
  if (link == NULL)
    {
      g_clear_object (&connection);
      return;
    }
  link->is_connecting = FALSE;
  if (connection == NULL)
    {
      link->next_connect_at = g_get_monotonic_time () + RECONNECT_DELAY_MS * 1000;
      g_queue_clear_full (&link->frames, (GDestroyNotify)g_bytes_unref);
      link->queued_bytes = 0;
      return;
    }
  link->connection = connection;
  g_socket_set_option (g_socket_connection_get_socket (connection), IPPROTO_TCP, TCP_NODELAY, 1,
                       NULL);
  link_write_next (link);
}

static void
link_connect (link_t *link)
{
  if (link->is_connecting || g_get_monotonic_time () < link->next_connect_at)
    return;
  g_autoptr (GSocketAddress) address = bt_address_parse (link->address, NULL);
  if (address == NULL)
    return;
  link->is_connecting = TRUE;
  g_socket_client_connect_async (link->peers->client, G_SOCKET_CONNECTABLE (address), link->cancel,
                                 on_connected, link_ref_new (link));
}

static void
link_write_next (link_t *link)
{
  if (link->connection == NULL)
    {
      link_connect (link);
      return;
    }
  if (link->write_in_flight != NULL || g_queue_is_empty (&link->frames))
    return;
  link->write_in_flight = g_queue_pop_head (&link->frames);
  gsize len;
  const guint8 *data = g_bytes_get_data (link->write_in_flight, &len);
  link->queued_bytes -= len;
  GOutputStream *out = g_io_stream_get_output_stream (G_IO_STREAM (link->connection));
  g_output_stream_write_all_async (out, data, len, G_PRIORITY_DEFAULT, link->cancel, on_written,
                                   link_ref_new (link));
}

static link_t *
get_link (bt_peers_t *peers, const char *address)
{
  link_t *link = g_hash_table_lookup (peers->links, address);
  if (link != NULL)
    return link;
  link = g_new0 (link_t, 1);
  link->peers = peers;
  link->address = g_strdup (address);
  link->cancel = g_cancellable_new ();
  g_queue_init (&link->frames);
  g_hash_table_insert (peers->links, link->address, link);
  return link;
}

/**
 * bt_peers_send() - queue an envelope for a peer
 * @peers: the endpoint
 * @address: IP:port of the peer
 * @envelope: the message; dropped if it is too large, if the peer's queue is full, if the next
 *   attempt to connect fails, or if the connection closes while the message is written
 */
void
bt_peers_send (bt_peers_t *peers, const char *address, const Bt__Envelope *envelope)
{
  link_t *link = get_link (peers, address);
  gsize size = bt__envelope__get_packed_size (envelope);
  if (size > BT_FRAME_MAX_BYTES || link->queued_bytes + size > LINK_QUEUE_MAX_BYTES)
    {
      bt_log (BT_LOG_WARNING, "frame-dropped", "peer=%s bytes=%" G_GSIZE_FORMAT, address, size);
      return;
    }
  guint8 *frame = g_malloc (HEADER_BYTES + size);
  guint32 header = g_htonl ((guint32)size);
  memcpy (frame, &header, HEADER_BYTES);
  bt__envelope__pack (envelope, frame + HEADER_BYTES);
  g_queue_push_tail (&link->frames, g_bytes_new_take (frame, HEADER_BYTES + size));
  link->queued_bytes += HEADER_BYTES + size;
  link_write_next (link);
}

static void
reader_close (reader_t *reader)
{
  g_hash_table_remove (reader->peers->readers, reader);
}

static void
reader_free_body (reader_t *reader)
{
  if (reader->frame_timer > 0)
    g_source_remove (reader->frame_timer);
  reader->frame_timer = 0;
  if (reader->body == NULL)
    return;
  reader->peers->partial_frame_bytes -= reader->body_len;
  g_clear_pointer (&reader->body, g_free);
}

static void
reader_free (gpointer data)
{
  reader_t *reader = data;
  reader_free_body (reader);
  g_io_stream_close (G_IO_STREAM (reader->connection), NULL, NULL);
  g_object_unref (reader->connection);
  g_free (reader);
}

static void
reader_reject (reader_t *reader, int cause)
{
  bt_log (BT_LOG_WARNING, "peer-input-refused", "cause=%s", bt_error_name (cause));
  reader->peers->handler.malformed (reader->peers->context, cause);
  reader_close (reader);
}

/* Shutting down the socket makes the read in flight fail. */
static gboolean
on_frame_timeout (gpointer data)
{
  reader_t *reader = data;
  reader->frame_timer = 0;
  g_socket_shutdown (g_socket_connection_get_socket (reader->connection), TRUE, TRUE, NULL);
  return G_SOURCE_REMOVE;
}

/* Returns whether a read got all wanted bytes. If it sets @cancelled, the endpoint is being freed
   and the caller must not use the reader. */
static gboolean
finish_read (GObject *source, GAsyncResult *result, gsize wanted, gboolean *cancelled)
{
  gsize got = 0;
  g_autoptr (GError) error = NULL;
  gboolean ok = g_input_stream_read_all_finish (G_INPUT_STREAM (source), result, &got, &error);
  *cancelled = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
  return ok && got == wanted;
}

static void
on_body (GObject *source, GAsyncResult *result, gpointer data)
{
  reader_t *reader = data;
  gboolean cancelled;
  if (!finish_read (source, result, reader->body_len, &cancelled))
    {
      if (!cancelled)
        reader_reject (reader, BT_ERROR_IO);
      return;
    }
  bt_peers_t *peers = reader->peers;
  peers->bytes_received += HEADER_BYTES + reader->body_len;
  Bt__Envelope *envelope = bt__envelope__unpack (NULL, reader->body_len, reader->body);
  reader_free_body (reader);
  if (envelope == NULL)
    {
      reader_reject (reader, BT_ERROR_INVALID);
      return;
    }
  peers->handler.received (peers->context, envelope);
  bt__envelope__free_unpacked (envelope, NULL);
  reader_read_header (reader);
}

static void
on_header (GObject *source, GAsyncResult *result, gpointer data)
{
  reader_t *reader = data;
  gboolean cancelled;
  if (!finish_read (source, result, HEADER_BYTES, &cancelled))
    {
      if (!cancelled)
        reader_close (reader);
      return;
    }
  guint32 header;
  memcpy (&header, reader->header, HEADER_BYTES);
  reader->body_len = g_ntohl (header);
  if (reader->body_len == 0 || reader->body_len > BT_FRAME_MAX_BYTES)
    {
      reader_reject (reader, BT_ERROR_TOO_LARGE);
      return;
    }
  if (reader->peers->partial_frame_bytes + reader->body_len > PARTIAL_FRAMES_MAX_BYTES)
    {
      reader_reject (reader, BT_ERROR_UNAVAILABLE);
      return;
    }
  reader->body = g_malloc (reader->body_len);
  reader->peers->partial_frame_bytes += reader->body_len;
  reader->frame_timer = g_timeout_add_seconds (FRAME_TIMEOUT_S, on_frame_timeout, reader);
  g_input_stream_read_all_async (G_INPUT_STREAM (source), reader->body, reader->body_len,
                                 G_PRIORITY_DEFAULT, reader->peers->cancel, on_body, reader);
}

static void
reader_read_header (reader_t *reader)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (reader->connection));
  g_input_stream_read_all_async (in, reader->header, HEADER_BYTES, G_PRIORITY_DEFAULT,
                                 reader->peers->cancel, on_header, reader);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  bt_peers_t *peers = data;
  if (g_hash_table_size (peers->readers) >= READERS_MAX)
    return TRUE;
  g_socket_set_timeout (g_socket_connection_get_socket (connection), READ_TIMEOUT_S);
  reader_t *reader = g_new0 (reader_t, 1);
  reader->peers = peers;
  reader->connection = g_object_ref (connection);
  g_hash_table_add (peers->readers, reader);
  reader_read_header (reader);
  return TRUE;
}

/**
 * bt_peers_new() - start to listen for peers
 * @listen: IP:port
 * @handler: callbacks for received messages and errors, copied
 * @context: passed to the callbacks
 * @error: BT_ERROR_INVALID for the address, or an error of GIO
 *
 * Return: an endpoint for bt_peers_free(), or NULL on error.
 */
bt_peers_t *
bt_peers_new (const char *listen, const bt_peer_handler_t *handler, void *context, GError **error)
{
  g_autoptr (GSocket) socket = bt_address_listen (listen, error);
  if (socket == NULL)
    return NULL;
  g_autoptr (GSocketService) service = g_socket_service_new ();
  if (!g_socket_listener_add_socket (G_SOCKET_LISTENER (service), socket, NULL, error))
    return NULL;
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, error);
  if (bound == NULL)
    return NULL;
  bt_peers_t *peers = g_new0 (bt_peers_t, 1);
  peers->service = g_steal_pointer (&service);
  peers->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  peers->client = g_socket_client_new ();
  g_socket_client_set_timeout (peers->client, CONNECT_TIMEOUT_S);
  peers->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  peers->readers = g_hash_table_new_full (NULL, NULL, reader_free, NULL);
  peers->cancel = g_cancellable_new ();
  peers->handler = *handler;
  peers->context = context;
  g_signal_connect (peers->service, "incoming", G_CALLBACK (on_incoming), peers);
  return peers;
}

/**
 * bt_peers_free() - close all connections
 * @peers: the endpoint
 */
void
bt_peers_free (bt_peers_t *peers)
{
  g_socket_service_stop (peers->service);
  g_socket_listener_close (G_SOCKET_LISTENER (peers->service));
  g_cancellable_cancel (peers->cancel);
  g_hash_table_unref (peers->links);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_hash_table_unref (peers->readers);
  g_object_unref (peers->service);
  g_object_unref (peers->client);
  g_object_unref (peers->cancel);
  g_free (peers);
}

/**
 * bt_peers_bytes_sent() - total bytes sent to all peers
 * @peers: the endpoint
 *
 * Return: number of bytes, headers included.
 */
guint64
bt_peers_bytes_sent (const bt_peers_t *peers)
{
  return peers->bytes_sent;
}

/**
 * bt_peers_bytes_received() - total bytes of frames received from all peers
 * @peers: the endpoint
 *
 * Return: number of bytes, headers included.
 */
guint64
bt_peers_bytes_received (const bt_peers_t *peers)
{
  return peers->bytes_received;
}

/**
 * bt_peers_port() - the port that the endpoint listens on
 * @peers: the endpoint
 *
 * Return: the port.
 */
guint16
bt_peers_port (const bt_peers_t *peers)
{
  return peers->port;
}
