#ifndef BT_CONNECTION_HTTP_H
#define BT_CONNECTION_HTTP_H

#include <libsoup/soup.h>

/*
 * An HTTP client, shared by the clients of the workers, the log and the list of VMs.
 */

#define BT_HTTP_BODY_MAX_BYTES (8 * 1024 * 1024)

/**
 * bt_http_done_t - called when a call has ended
 * @context: as passed to bt_http_call()
 * @status: HTTP status, or 0 if no complete response of at most %BT_HTTP_BODY_MAX_BYTES came
 * @body: response body, or NULL if @status is 0
 */
typedef void (*bt_http_done_t) (gpointer context, guint status, GBytes *body);

typedef struct bt_http_client_t bt_http_client_t;

bt_http_client_t *bt_http_client_new (guint timeout_ms, guint connections_per_host);
void bt_http_client_free (bt_http_client_t *client);
SoupSession *bt_http_client_session (bt_http_client_t *client, const char *address);
void bt_http_call (bt_http_client_t *client, const char *method, const char *address,
                   const char *path, GBytes *body, GCancellable *cancel, bt_http_done_t done,
                   gpointer context);

#endif
