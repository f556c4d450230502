#ifndef BT_CONNECTION_CALLER_SERVER_H
#define BT_CONNECTION_CALLER_SERVER_H

#include "libbamboothread/process/core.h"

/*
 * The HTTP interface for callers and operators, described in docs/interfaces/caller.md.
 */

typedef struct bt_caller_server_t bt_caller_server_t;

bt_caller_server_t *bt_caller_server_new (const char *listen, GError **error);
guint16 bt_caller_server_port (const bt_caller_server_t *server);
void bt_caller_server_close (bt_caller_server_t *server);
gboolean bt_caller_server_is_idle (const bt_caller_server_t *server);
void bt_caller_server_free (bt_caller_server_t *server);
void bt_caller_server_attach (bt_caller_server_t *server, bt_core_t *core);
void bt_caller_server_answer (bt_caller_server_t *server, guint64 exchange, const char *job,
                              const bt_outcome_t *outcome);
void bt_caller_server_answer_query (bt_caller_server_t *server, guint64 exchange, gboolean known,
                                    GBytes *body);

#endif
