#include "libbamboothread/connection/address.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/* Connections waiting to be accepted. When the queue is full, a new one is delayed by a second. */
#define LISTEN_BACKLOG 4096

/**
 * bt_address_parse() - parse a socket address
 * @text: IP:port
 * @error: BT_ERROR_INVALID
 *
 * Return: a new address, or NULL on error.
 */
GSocketAddress *
bt_address_parse (const char *text, GError **error)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;
  GSocketAddress *address = NULL;
  if (colon != NULL && g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    {
      g_autofree char *host = g_strndup (text, (gsize)(colon - text));
      address = g_inet_socket_address_new_from_string (host, (guint)port);
    }
  if (address == NULL)
    g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "expected IP:port, found \"%s\"", text);
  return address;
}

/**
 * bt_address_listen() - open a listening TCP socket
 * @text: IP:port
 * @error: BT_ERROR_INVALID for the address, or an error of GIO
 *
 * Return: a new socket, or NULL on error.
 */
GSocket *
bt_address_listen (const char *text, GError **error)
{
  g_autoptr (GSocketAddress) address = bt_address_parse (text, error);
  if (address == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (address),
                                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (!g_socket_bind (socket, address, TRUE, error) || !g_socket_listen (socket, error))
    return NULL;
  return g_steal_pointer (&socket);
}
