#include "libbamboothread/scheduler/relay_server.h"

#include <string.h>

/* A request is refused, so that its process reads the log itself, once the last read of this
   process is so long ago, in microseconds: reads at the end of the log follow each other sooner. */
#define READ_AGE_MAX_US (900 * 1000)
/* A chunk that is as large as this is closed before its read is over. */
#define CHUNK_MAX_BYTES (256 * 1024)
/* Size of the length before each record in a reply, in network byte order. */
#define LENGTH_BYTES 4
/* Most bytes of a reply, but for a record that is larger. */
#define REPLY_MAX_KB 128

/**
 * struct chunk_t - the records of one read
 * @first: offset of the first of them
 * @n: their number
 * @bytes: each of them after its length
 */
typedef struct
{
  gint64 first;
  guint n;
  GBytes *bytes;
} chunk_t;

/**
 * struct request_t - a request that waits for records
 * @is_replaying: its process also waits for records after the next one
 */
typedef struct
{
  guint64 exchange;
  gint64 from;
  guint max_kb;
  gboolean is_replaying;
  gint64 came_us;
  gint64 due_us;
} request_t;

/**
 * struct bts_relay_server_t - records and requests of one process
 * @is_open: records are kept and relayed
 * @max_bytes: most bytes of records that are kept
 * @chunks: chunk_t without gaps
 * @n_bytes: their bytes
 * @unread: the records of the read in progress, which follow those of @chunks
 * @n_unread: their number
 * @next: offset after all of them
 * @caught_up: the last read has reached the end of the log
 * @sent_us: when the last read was sent
 * @came_us: when its reply had arrived; 0 before the first
 * @waiting: request_t
 */
struct bts_relay_server_t
{
  const bt_clock_t *clock;
  bts_relay_reply_f reply;
  void *context;
  gboolean is_open;
  gsize max_bytes;
  GQueue chunks;
  gsize n_bytes;
  GByteArray *unread;
  guint n_unread;
  gint64 next;
  gboolean caught_up;
  gint64 sent_us;
  gint64 came_us;
  GArray *waiting;
};

static void
chunk_free (gpointer data)
{
  chunk_t *chunk = data;
  g_bytes_unref (chunk->bytes);
  g_free (chunk);
}

/**
 * bts_relay_server_new() - start without records, closed
 * @clock: the clock of the process
 * @reply: replies to requests
 * @context: passed to @reply
 */
bts_relay_server_t *
bts_relay_server_new (const bt_clock_t *clock, bts_relay_reply_f reply, void *context)
{
  bts_relay_server_t *server = g_new0 (bts_relay_server_t, 1);
  server->clock = clock;
  server->reply = reply;
  server->context = context;
  g_queue_init (&server->chunks);
  server->unread = g_byte_array_new ();
  server->waiting = g_array_new (FALSE, FALSE, sizeof (request_t));
  return server;
}

static void
remove_records (bts_relay_server_t *server)
{
  g_queue_clear_full (&server->chunks, chunk_free);
  server->n_bytes = 0;
  g_byte_array_set_size (server->unread, 0);
  server->n_unread = 0;
  server->came_us = 0;
}

void
bts_relay_server_free (bts_relay_server_t *server)
{
  remove_records (server);
  g_byte_array_unref (server->unread);
  g_array_unref (server->waiting);
  g_free (server);
}

/**
 * bts_relay_server_set_open() - set whether records are kept and relayed
 * @server: the server
 * @is_open: whether they are; requests are refused otherwise
 * @max_bytes: most bytes of records to keep
 */
void
bts_relay_server_set_open (bts_relay_server_t *server, gboolean is_open, gsize max_bytes)
{
  server->max_bytes = max_bytes;
  if (server->is_open == is_open)
    return;
  server->is_open = is_open;
  if (is_open)
    return;
  remove_records (server);
  for (guint i = 0; i < server->waiting->len; i++)
    server->reply (server->context, g_array_index (server->waiting, request_t, i).exchange, NULL);
  g_array_set_size (server->waiting, 0);
}

/* Makes the records that were read available. */
static void
close_chunk (bts_relay_server_t *server)
{
  if (server->n_unread == 0)
    return;
  chunk_t *chunk = g_new0 (chunk_t, 1);
  chunk->first = server->next - server->n_unread;
  chunk->n = server->n_unread;
  chunk->bytes = g_bytes_new (server->unread->data, server->unread->len);
  g_queue_push_tail (&server->chunks, chunk);
  server->n_bytes += server->unread->len;
  g_byte_array_set_size (server->unread, 0);
  server->n_unread = 0;
  while (server->n_bytes + CHUNK_MAX_BYTES > server->max_bytes && server->chunks.length > 1)
    {
      chunk_t *oldest = g_queue_pop_head (&server->chunks);
      server->n_bytes -= g_bytes_get_size (oldest->bytes);
      chunk_free (oldest);
    }
}

/**
 * bts_relay_server_on_record() - a record was read from the log
 * @server: the server
 * @offset: its offset; after a gap the earlier records are dropped
 * @data: the record, @len bytes
 * @len: number of bytes
 */
void
bts_relay_server_on_record (bts_relay_server_t *server, gint64 offset, const guint8 *data,
                            gsize len)
{
  if (!server->is_open)
    return;
  if (offset != server->next)
    remove_records (server);
  server->next = offset + 1;
  guint32 size = GUINT32_TO_BE ((guint32)len);
  g_byte_array_append (server->unread, (const guint8 *)&size, sizeof size);
  g_byte_array_append (server->unread, data, (guint)len);
  server->n_unread++;
  /* Reads that went through a relay don't end here. */
  if (server->unread->len >= CHUNK_MAX_BYTES)
    close_chunk (server);
}

/* Requests mostly ask for the newest records. */
static GList *
find_chunk (const bts_relay_server_t *server, gint64 offset)
{
  for (GList *link = server->chunks.tail; link != NULL; link = link->prev)
    {
      const chunk_t *chunk = link->data;
      if (chunk->first <= offset)
        return offset < chunk->first + chunk->n ? link : NULL;
    }
  return NULL;
}

/* Appends the records of a chunk from @offset on as long as they fit. Returns the offset after
   them. */
static gint64
copy_records (const chunk_t *chunk, gint64 offset, gsize max_bytes, GByteArray *out)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (chunk->bytes, &len);
  gsize at = 0;
  for (gint64 record = chunk->first; record < chunk->first + chunk->n; record++)
    {
      guint32 size;
      memcpy (&size, data + at, sizeof size);
      gsize whole = GUINT32_FROM_BE (size) + LENGTH_BYTES;
      if (record >= offset)
        {
          if (out->len > 0 && out->len + whole > max_bytes)
            return record;
          g_byte_array_append (out, data + at, (guint)whole);
        }
      at += whole;
    }
  return chunk->first + chunk->n;
}

static guint32
age_ms (const bts_relay_server_t *server, gint64 since_us)
{
  return (guint32)((bt_clock_now (server->clock) - since_us) / 1000);
}

static void
send_records (bts_relay_server_t *server, const request_t *request)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  gsize max_bytes = (gsize)CLAMP (request->max_kb, 1, REPLY_MAX_KB) * 1024;
  gint64 next = request->from;
  for (GList *link = find_chunk (server, next); link != NULL && out->len < max_bytes;
       link = link->next)
    {
      const chunk_t *chunk = link->data;
      gint64 end = chunk->first + chunk->n;
      next = copy_records (chunk, next, max_bytes, out);
      if (next < end)
        break;
    }
  Bts__Records records = BTS__RECORDS__INIT;
  records.from = request->from;
  records.caught_up = server->caught_up && next == server->next;
  records.sent_age_ms = age_ms (server, server->sent_us) + 1;
  records.age_ms = age_ms (server, server->came_us) + 1;
  records.held_ms = age_ms (server, request->came_us);
  records.records.data = out->data;
  records.records.len = out->len;
  Bts__Reply reply = BTS__REPLY__INIT;
  reply.kind_case = BTS__REPLY__KIND_RECORDS;
  reply.records = &records;
  server->reply (server->context, request->exchange, &reply);
}

static gboolean
is_outdated (const bts_relay_server_t *server)
{
  return server->came_us == 0 || bt_clock_now (server->clock) - server->came_us > READ_AGE_MAX_US;
}

/* Whether the records from an offset on are there, or are yet to be read. Of two processes that
   replay the journal the one that is ahead waits for the other, so that only that one reads on. */
static gboolean
can_serve (const bts_relay_server_t *server, gint64 offset, gboolean is_replaying)
{
  if (offset > server->next)
    return is_replaying && !server->caught_up;
  return offset == server->next || find_chunk (server, offset) != NULL;
}

/* Replies to the requests that have waited long enough, or for which there are records. */
static void
serve_waiting (bts_relay_server_t *server)
{
  gint64 now_us = bt_clock_now (server->clock);
  guint n_left = 0;
  for (guint i = 0; i < server->waiting->len; i++)
    {
      request_t request = g_array_index (server->waiting, request_t, i);
      if (is_outdated (server) || !can_serve (server, request.from, request.is_replaying))
        server->reply (server->context, request.exchange, NULL);
      else if (request.from < server->next || now_us >= request.due_us)
        send_records (server, &request);
      else
        g_array_index (server->waiting, request_t, n_left++) = request;
    }
  g_array_set_size (server->waiting, n_left);
}

/**
 * bts_relay_server_on_read() - a read of the log is over, and its records were passed on
 * @server: the server
 * @caught_up: whether it has reached the end of the log
 * @sent_us: when it was sent
 */
void
bts_relay_server_on_read (bts_relay_server_t *server, gboolean caught_up, gint64 sent_us)
{
  if (!server->is_open)
    return;
  close_chunk (server);
  server->caught_up = caught_up;
  server->sent_us = sent_us;
  server->came_us = bt_clock_now (server->clock);
  serve_waiting (server);
}

/**
 * bts_relay_server_on_request() - another process asks for records
 * @server: the server
 * @exchange: identifies the request for its reply
 * @read: the request
 */
void
bts_relay_server_on_request (bts_relay_server_t *server, guint64 exchange, const Bts__Read *read)
{
  gint64 now_us = bt_clock_now (server->clock);
  if (!server->is_open || is_outdated (server)
      || !can_serve (server, read->from, read->is_replaying))
    {
      server->reply (server->context, exchange, NULL);
      return;
    }
  gint64 wait_us = (gint64)MIN (read->wait_ms, BTS_RELAY_WAIT_MAX_MS) * 1000;
  request_t request
      = { exchange, read->from, read->max_kb, read->is_replaying, now_us, now_us + wait_us };
  if (read->from < server->next)
    send_records (server, &request);
  else
    g_array_append_val (server->waiting, request);
}

/**
 * bts_relay_server_tick() - reply to the requests that have waited long enough
 * @server: the server
 */
void
bts_relay_server_tick (bts_relay_server_t *server)
{
  serve_waiting (server);
}

/**
 * bts_relay_server_bytes() - memory that the records take
 * @server: the server
 */
gsize
bts_relay_server_bytes (const bts_relay_server_t *server)
{
  return server->n_bytes + server->unread->len;
}
