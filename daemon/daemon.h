#ifndef BT_DAEMON_H
#define BT_DAEMON_H

#include "libbamboothread/base/settings.h"

typedef struct bt_daemon_t bt_daemon_t;

bt_daemon_t *bt_daemon_new (const bt_settings_t *settings, GError **error);
void bt_daemon_run (bt_daemon_t *daemon);
void bt_daemon_free (bt_daemon_t *daemon);

#endif
