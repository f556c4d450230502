#include "cli/client.h"

#include "libbamboothread/base/error.h"
#include "libbamboothread/connection/log_client.h"

#define HTTP_TIMEOUT_S 120
#define PAGE_MAX_RECORDS 1000

/**
 * ctl_call_with_headers() - send an HTTP request with header fields and wait for the reply
 * @method: HTTP method
 * @address: IP:port of the server
 * @path: path and query
 * @headers: names and values by turns, ended by NULL; a field whose value is NULL ends them, too
 * @body: JSON to send, or NULL
 * @status: set to the HTTP status
 * @error: BT_ERROR_INVALID if @address is invalid, BT_ERROR_IO if no complete reply came
 *
 * Return: the reply's body, or NULL.
 */
GBytes *
ctl_call_with_headers (const char *method, const char *address, const char *path,
                       const char *const *headers, GBytes *body, guint *status, GError **error)
{
  g_autofree char *uri = g_strdup_printf ("http://%s%s", address, path);
  g_autoptr (SoupSession) session
      = soup_session_new_with_options ("timeout", HTTP_TIMEOUT_S, "proxy-resolver", NULL, NULL);
  g_autoptr (SoupMessage) message = soup_message_new (method, uri);
  if (message == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "invalid address \"%s\"", address);
      return NULL;
    }
  for (guint i = 0; headers[i] != NULL && headers[i + 1] != NULL; i += 2)
    soup_message_headers_replace (soup_message_get_request_headers (message), headers[i],
                                  headers[i + 1]);
  if (body != NULL)
    soup_message_set_request_body_from_bytes (message, "application/json", body);
  g_autoptr (GError) inner = NULL;
  GBytes *reply = soup_session_send_and_read (session, message, NULL, &inner);
  *status = soup_message_get_status (message);
  if (reply == NULL)
    g_set_error (error, BT_ERROR, BT_ERROR_IO, "%s: %s", address, inner->message);
  return reply;
}

/**
 * ctl_call() - send an HTTP request and wait for the reply
 * @method: HTTP method
 * @address: IP:port of the server
 * @path: path and query
 * @body: JSON to send, or NULL
 * @status: set to the HTTP status
 * @error: as for ctl_call_with_headers()
 *
 * Return: the reply's body, or NULL.
 */
GBytes *
ctl_call (const char *method, const char *address, const char *path, GBytes *body, guint *status,
          GError **error)
{
  const char *const none[] = { NULL };
  return ctl_call_with_headers (method, address, path, none, body, status, error);
}

/*
 * Return: a page, or NULL; then @first_kept is the first offset that the log still holds if
 * @from has expired, else -1.
 */
static bt_log_page_t *
read_page (const char *log, gint64 from, gint64 *first_kept, GError **error)
{
  *first_kept = -1;
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s?from=%" G_GINT64_FORMAT "&max=%d",
                                           BT_TABLES_STREAM, from, PAGE_MAX_RECORDS);
  guint status = 0;
  g_autoptr (GBytes) body = ctl_call ("GET", log, path, NULL, &status, error);
  if (body == NULL)
    return NULL;
  if (status == SOUP_STATUS_GONE)
    {
      *first_kept = bt_log_parse_first_kept (body);
      g_set_error (error, BT_ERROR, BT_ERROR_EXPIRED, "offset %" G_GINT64_FORMAT " has expired",
                   from);
      return NULL;
    }
  if (status != SOUP_STATUS_OK)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_UNAVAILABLE, "the log answered with status %u",
                   status);
      return NULL;
    }
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  return bt_schema_parse (&bt_log_page_schema, data, len, error);
}

/**
 * ctl_fold_log() - fold the stream of the tables up to its end
 * @log: IP:port of the log
 * @fold: the fold; reading starts at its next offset
 * @error: why the stream could not be read
 *
 * Return: TRUE if it was read to its end.
 */
gboolean
ctl_fold_log (const char *log, bt_fold_t *fold, GError **error)
{
  for (;;)
    {
      gint64 first_kept;
      g_autoptr (GError) inner = NULL;
      bt_log_page_t *page = read_page (log, fold->next_offset, &first_kept, &inner);
      if (page == NULL && first_kept > fold->next_offset)
        {
          bt_fold_skip_expired (fold, first_kept);
          continue;
        }
      if (page == NULL)
        {
          g_propagate_error (error, g_steal_pointer (&inner));
          return FALSE;
        }
      guint n = page->records->len;
      for (guint i = 0; i < n; i++)
        {
          GRefString *text = page->records->pdata[i];
          bt_fold_apply_record (fold, page->first + i, text, g_ref_string_length (text));
        }
      bt_schema_free (&bt_log_page_schema, page);
      if (n == 0 && fold->gap_end >= 0)
        {
          g_set_error (error, BT_ERROR, BT_ERROR_EXPIRED,
                       "records of the tables have expired, "
                       "and the log holds no snapshot yet that covers them");
          return FALSE;
        }
      if (n == 0)
        return TRUE;
    }
}

/**
 * ctl_append() - append a record to a stream
 * @log: IP:port of the log
 * @stream: the stream's name
 * @record: JSON text
 * @error: why the log did not confirm the record; it may have stored it all the same
 *
 * Return: TRUE if it was stored.
 */
gboolean
ctl_append (const char *log, const char *stream, GBytes *record, GError **error)
{
  gsize len;
  const char *data = g_bytes_get_data (record, &len);
  bt_log_batch_t batch = { .records = g_ptr_array_new () };
  g_ptr_array_add (batch.records, g_ref_string_new_len (data, (gssize)len));
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_log_batch_schema, &batch);
  g_ref_string_release (batch.records->pdata[0]);
  g_ptr_array_unref (batch.records);
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s", stream);
  guint status = 0;
  g_autoptr (GBytes) reply = ctl_call ("POST", log, path, body, &status, error);
  if (reply == NULL)
    return FALSE;
  if (status == SOUP_STATUS_OK)
    return TRUE;
  g_set_error (error, BT_ERROR, BT_ERROR_UNAVAILABLE, "the log answered with status %u", status);
  return FALSE;
}
