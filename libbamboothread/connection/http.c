#include "libbamboothread/connection/http.h"

#define CONNECTIONS_MAX 8192

typedef struct
{
  SoupMessage *message;
  bt_http_done_t done;
  gpointer context;
} call_t;

/**
 * bt_http_session_new() - a client with connections of its own
 * @timeout_s: longest silence of a server, in seconds
 * @connections_per_host: most connections to one server
 *
 * Return: a new session.
 */
SoupSession *
bt_http_session_new (guint timeout_s, guint connections_per_host)
{
  return soup_session_new_with_options ("timeout", timeout_s, "max-conns", CONNECTIONS_MAX,
                                        "max-conns-per-host", connections_per_host,
                                        "proxy-resolver", NULL, NULL);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  call_t *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    {
      guint status = body != NULL ? soup_message_get_status (call->message) : 0;
      gboolean too_large = body != NULL && g_bytes_get_size (body) > BT_HTTP_BODY_MAX_BYTES;
      call->done (call->context, too_large ? 0 : status, too_large ? NULL : body);
    }
  else
    call->done (call->context, 0, NULL);
  g_object_unref (call->message);
  g_free (call);
}

/**
 * bt_http_call() - send a request and read its whole answer
 * @session: the client
 * @method: HTTP method
 * @address: IP:port of the server
 * @path: path and query
 * @body: JSON to send, or NULL
 * @cancel: ends the exchange early, or NULL
 * @done: called once, not before this function returns
 * @context: handed to @done
 */
void
bt_http_call (SoupSession *session, const char *method, const char *address, const char *path,
              GBytes *body, GCancellable *cancel, bt_http_done_t done, gpointer context)
{
  g_autofree char *uri = g_strdup_printf ("http://%s%s", address, path);
  call_t *call = g_new0 (call_t, 1);
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->context = context;
  if (body != NULL)
    soup_message_set_request_body_from_bytes (call->message, "application/json", body);
  soup_session_send_and_read_async (session, call->message, G_PRIORITY_DEFAULT, cancel, on_answer,
                                    call);
}
