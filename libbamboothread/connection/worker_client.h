#ifndef BT_CONNECTION_WORKER_CLIENT_H
#define BT_CONNECTION_WORKER_CLIENT_H

#include "libbamboothread/request/worker_api.h"

/*
 * The adapter to workers: HTTP and JSON, as docs/interfaces/worker.md says.
 */

/**
 * struct bt_worker_handler_t - what becomes of calls
 *
 * A reply is NULL if no valid answer came; the call may have taken effect.
 */
typedef struct
{
  void (*lease_reply) (void *context, const char *worker, const bt_lease_reply_t *reply);
  void (*start_reply) (void *context, const char *worker, const char *attempt,
                       const bt_start_reply_t *reply);
  void (*stop_reply) (void *context, const char *worker, const bt_stop_reply_t *reply);
} bt_worker_handler_t;

typedef struct bt_worker_client_t bt_worker_client_t;

bt_worker_client_t *bt_worker_client_new (gint64 call_timeout_us,
                                          const bt_worker_handler_t *handler, void *context);
void bt_worker_client_free (bt_worker_client_t *client);
void bt_worker_client_lease (bt_worker_client_t *client, const char *worker, const char *address,
                             const bt_lease_request_t *request);
void bt_worker_client_start (bt_worker_client_t *client, const char *worker, const char *address,
                             const bt_start_request_t *request);
void bt_worker_client_stop (bt_worker_client_t *client, const char *worker, const char *address,
                            const bt_stop_request_t *request);
void bt_worker_client_release (bt_worker_client_t *client, const char *worker, const char *address,
                               const bt_release_request_t *request);

#endif
