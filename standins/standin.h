#ifndef BT_STANDINS_STANDIN_H
#define BT_STANDINS_STANDIN_H

#include <libsoup/soup.h>

#include "libbamboothread/base/schema.h"

/*
 * What the stand-in programs share: an HTTP server that stops on a signal.
 */

SoupServer *bt_standin_listen (const char *address, GError **error);
void bt_standin_run (void);
void bt_standin_respond (SoupServerMessage *message, guint status, GBytes *body);
gpointer bt_standin_read (SoupServerMessage *message, const bt_schema_t *schema);
void bt_standin_write (SoupServerMessage *message, const bt_schema_t *schema, gpointer object);

#endif
