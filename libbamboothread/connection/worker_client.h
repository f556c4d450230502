#ifndef BT_CONNECTION_WORKER_CLIENT_H
#define BT_CONNECTION_WORKER_CLIENT_H

#include "libbamboothread/request/worker_api.h"

/*
 * A client of the workers, over HTTP and JSON. The protocol is described in
 * docs/interfaces/worker.md.
 */

/**
 * struct bt_worker_handler_t - callbacks for the replies of workers
 * @lease_reply: reply to bt_worker_client_lease()
 * @start_reply: reply to bt_worker_client_start()
 * @stop_reply: reply to bt_worker_client_stop()
 *
 * A reply is NULL if no valid one came; the call may still have taken effect.
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
