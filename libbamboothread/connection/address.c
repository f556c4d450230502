#include "libbamboothread/connection/address.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/**
 * bt_address_parse() - parse IP:port
 * @text: the text
 * @error: BT_ERROR_INVALID
 *
 * Return: a new address, or NULL.
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
