#ifndef BT_CLI_CLIENT_H
#define BT_CLI_CLIENT_H

#include <libsoup/soup.h>

#include "libbamboothread/version/fold.h"

/*
 * Blocking HTTP calls to daemons and to the log, for the command-line tool.
 */

GBytes *ctl_call (const char *method, const char *address, const char *path, GBytes *body,
                  guint *status, GError **error);
GBytes *ctl_call_with_headers (const char *method, const char *address, const char *path,
                               const char *const *headers, GBytes *body, guint *status,
                               GError **error);
gboolean ctl_fold_log (const char *log, bt_fold_t *fold, GError **error);
gboolean ctl_append (const char *log, const char *stream, GBytes *record, GError **error);

#endif
