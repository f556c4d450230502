#include "standins/standin.h"

#include <glib-unix.h>
#include <signal.h>

#include "libbamboothread/connection/address.h"

/**
 * bt_standin_listen() - an HTTP server
 * @address: IP:port
 * @error: why it can't listen
 *
 * Return: a new server, or NULL.
 */
SoupServer *
bt_standin_listen (const char *address, GError **error)
{
  g_autoptr (GSocket) socket = bt_address_listen (address, error);
  if (socket == NULL)
    return NULL;
  g_autoptr (SoupServer) server = soup_server_new ("server-header", "stand-in", NULL);
  if (!soup_server_listen_socket (server, socket, 0, error))
    return NULL;
  return g_steal_pointer (&server);
}

static gboolean
on_signal (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

/**
 * bt_standin_run() - serve until a signal asks to stop
 */
void
bt_standin_run (void)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, on_signal, loop);
  g_unix_signal_add (SIGINT, on_signal, loop);
  g_main_loop_run (loop);
}

/**
 * bt_standin_respond() - answer with JSON text
 * @message: the exchange
 * @status: HTTP status
 * @body: the text, or NULL
 */
void
bt_standin_respond (SoupServerMessage *message, guint status, GBytes *body)
{
  gsize len = 0;
  const char *data = body != NULL ? g_bytes_get_data (body, &len) : "";
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, data, len);
}

/**
 * bt_standin_read() - read the body of a request
 * @message: the exchange; answered with an error if the body is not valid
 * @schema: what the body holds
 *
 * Return: a struct for bt_schema_free(), or NULL.
 */
gpointer
bt_standin_read (SoupServerMessage *message, const bt_schema_t *schema)
{
  g_autoptr (GBytes) body
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  g_autoptr (GError) error = NULL;
  gpointer object = bt_schema_parse (schema, data, len, &error);
  if (object != NULL)
    return object;
  g_autoptr (GBytes) text = g_bytes_new (error->message, strlen (error->message));
  bt_standin_respond (message, SOUP_STATUS_BAD_REQUEST, text);
  return NULL;
}

/**
 * bt_standin_write() - answer with a struct
 * @message: the exchange
 * @schema: its schema
 * @object: the struct, freed
 */
void
bt_standin_write (SoupServerMessage *message, const bt_schema_t *schema, gpointer object)
{
  g_autoptr (GBytes) body = bt_schema_to_bytes (schema, object);
  bt_standin_respond (message, SOUP_STATUS_OK, body);
  bt_schema_free (schema, object);
}
