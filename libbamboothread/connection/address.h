#ifndef BT_CONNECTION_ADDRESS_H
#define BT_CONNECTION_ADDRESS_H

#include <gio/gio.h>

GSocketAddress *bt_address_parse (const char *text, GError **error);
GSocket *bt_address_listen (const char *text, GError **error);

#endif
