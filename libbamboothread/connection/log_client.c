#include "libbamboothread/connection/log_client.h"

#include "libbamboothread/base/error.h"
#include "libbamboothread/connection/http.h"

#define APPEND_TIMEOUT_MS 3000
#define READ_TIMEOUT_MS 10000
#define LONG_POLL_MS 5000
#define PAGE_MAX_RECORDS 1000
#define CONNECTIONS_MAX 8
#define RECORD_MAX_BYTES (2 * 1024 * 1024)

struct bt_log_client_t
{
  char *address;
  bt_http_client_t *append_http;
  bt_http_client_t *read_http;
  GCancellable *cancel;
  bt_log_client_handler_t handler;
  void *context;
};

typedef struct
{
  bt_log_client_t *client;
  guint64 batch_id;
  char *stream;
} call_t;

static const bt_field_t batch_fields[] = {
  { "records", BT_FIELD_STRINGS, offsetof (bt_log_batch_t, records), TRUE, 0, 4096,
    RECORD_MAX_BYTES },
};

const bt_schema_t bt_log_batch_schema = BT_SCHEMA (batch_fields, bt_log_batch_t);

static const bt_field_t page_fields[] = {
  { "first", BT_FIELD_INT, offsetof (bt_log_page_t, first), TRUE, 0, G_MAXINT64 },
  { "next", BT_FIELD_INT, offsetof (bt_log_page_t, next), TRUE, 0, G_MAXINT64 },
  { "records", BT_FIELD_STRINGS, offsetof (bt_log_page_t, records), TRUE, 0, 4096,
    RECORD_MAX_BYTES },
};

const bt_schema_t bt_log_page_schema = BT_SCHEMA (page_fields, bt_log_page_t);

typedef struct
{
  gint64 first;
} expired_reply_t;

static const bt_field_t expired_fields[] = {
  { "first", BT_FIELD_INT, offsetof (expired_reply_t, first), TRUE, 0, G_MAXINT64 },
};

static const bt_schema_t expired_schema = BT_SCHEMA (expired_fields, expired_reply_t);

/**
 * bt_log_parse_first_kept() - parse the log's reply to a read of an expired offset
 * @body: the reply
 *
 * Return: offset of the first record that is kept, or -1 if the reply does not give it.
 */
gint64
bt_log_parse_first_kept (GBytes *body)
{
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  expired_reply_t *expired = bt_schema_parse (&expired_schema, text, len, NULL);
  gint64 first = expired != NULL ? expired->first : -1;
  bt_schema_free (&expired_schema, expired);
  return first;
}

/**
 * bt_log_client_new() - create a client of the log
 * @address: IP:port of the log
 * @handler: callbacks for the results of calls, copied
 * @context: passed to the callbacks
 *
 * Return: a client for bt_log_client_free().
 */
bt_log_client_t *
bt_log_client_new (const char *address, const bt_log_client_handler_t *handler, void *context)
{
  bt_log_client_t *client = g_new0 (bt_log_client_t, 1);
  client->address = g_strdup (address);
  client->append_http = bt_http_client_new (APPEND_TIMEOUT_MS, CONNECTIONS_MAX);
  client->read_http = bt_http_client_new (READ_TIMEOUT_MS, CONNECTIONS_MAX);
  client->cancel = g_cancellable_new ();
  client->handler = *handler;
  client->context = context;
  return client;
}

/**
 * bt_log_client_free() - cancel all calls without reporting them
 * @client: the client
 */
void
bt_log_client_free (bt_log_client_t *client)
{
  g_cancellable_cancel (client->cancel);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  bt_http_client_free (client->append_http);
  bt_http_client_free (client->read_http);
  g_object_unref (client->cancel);
  g_free (client->address);
  g_free (client);
}

static void
call_free (call_t *call)
{
  g_free (call->stream);
  g_free (call);
}

static void
on_append_response (gpointer data, guint status, GBytes *body)
{
  call_t *call = data;
  if (!g_cancellable_is_cancelled (call->client->cancel))
    call->client->handler.append_done (call->client->context, call->batch_id,
                                       status == SOUP_STATUS_OK);
  call_free (call);
}

/**
 * bt_log_client_append() - append records to a stream
 * @client: the client
 * @stream: name of the stream
 * @batch_id: identifies this append in the append_done callback
 * @records: the records (GBytes), JSON texts
 */
void
bt_log_client_append (bt_log_client_t *client, const char *stream, guint64 batch_id,
                      const GPtrArray *records)
{
  bt_log_batch_t request = { .records = g_ptr_array_new () };
  for (guint i = 0; i < records->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (records->pdata[i], &len);
      g_ptr_array_add (request.records, g_ref_string_new_len (data, (gssize)len));
    }
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_log_batch_schema, &request);
  for (guint i = 0; i < request.records->len; i++)
    g_ref_string_release (request.records->pdata[i]);
  g_ptr_array_unref (request.records);
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s", stream);
  call_t *call = g_new0 (call_t, 1);
  call->client = client;
  call->batch_id = batch_id;
  bt_http_call (client->append_http, "POST", client->address, path, body, client->cancel,
                on_append_response, call);
}

static void
deliver_page (const call_t *call, const bt_log_page_t *page)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < page->records->len; i++)
    {
      GRefString *text = page->records->pdata[i];
      g_ptr_array_add (records, g_bytes_new (text, g_ref_string_length (text)));
    }
  call->client->handler.read_done (call->client->context, call->stream, page->first, records,
                                   page->next);
}

static void
on_read_response (gpointer data, guint status, GBytes *body)
{
  call_t *call = data;
  if (g_cancellable_is_cancelled (call->client->cancel))
    {
      call_free (call);
      return;
    }
  g_autoptr (GError) error = NULL;
  bt_log_page_t *page = NULL;
  gint64 first_kept = -1;
  if (status == SOUP_STATUS_OK)
    {
      gsize len;
      const char *text = g_bytes_get_data (body, &len);
      page = bt_schema_parse (&bt_log_page_schema, text, len, &error);
    }
  else if (status == SOUP_STATUS_GONE)
    {
      first_kept = bt_log_parse_first_kept (body);
      g_set_error (&error, BT_ERROR, BT_ERROR_EXPIRED, "the offset is no longer kept");
    }
  else
    g_set_error (&error, BT_ERROR, BT_ERROR_UNAVAILABLE, "HTTP status %u", status);
  if (page != NULL)
    deliver_page (call, page);
  else
    call->client->handler.read_failed (call->client->context, call->stream, error, first_kept);
  bt_schema_free (&bt_log_page_schema, page);
  call_free (call);
}

/**
 * bt_log_client_read() - read a stream; if it has no new records, wait for some
 * @client: the client
 * @stream: name of the stream
 * @from: offset of the first record to read
 */
void
bt_log_client_read (bt_log_client_t *client, const char *stream, gint64 from)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/streams/%s?from=%" G_GINT64_FORMAT "&wait_ms=%d&max=%d", stream, from,
                         LONG_POLL_MS, PAGE_MAX_RECORDS);
  call_t *call = g_new0 (call_t, 1);
  call->client = client;
  call->stream = g_strdup (stream);
  bt_http_call (client->read_http, "GET", client->address, path, NULL, client->cancel,
                on_read_response, call);
}
