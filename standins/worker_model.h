#ifndef BT_STANDINS_WORKER_MODEL_H
#define BT_STANDINS_WORKER_MODEL_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/request/worker_api.h"
#include "libbamboothread/version/tables.h"

/*
 * A worker as its contract describes it, without sockets: the stand-in program
 * and the tests share it.
 */

/**
 * struct bt_model_attempt_t - an attempt on the worker
 * @ends_at_ms: when it ends by itself, or G_MAXINT64
 */
typedef struct
{
  bt_attempt_report_t report;
  gint64 started_at_ms;
  gint64 ends_at_ms;
  gboolean fails;
  gboolean service;
  bt_resources_t need;
} bt_model_attempt_t;

/**
 * bt_model_ended_t - an attempt has ended
 */
typedef void (*bt_model_ended_t) (void *context, const bt_attempt_report_t *report);

/**
 * struct bt_worker_model_t - the worker
 * @fail_all: whether it fails everything it starts
 * @permissive: whether it also starts what does not fit, and while it is leaving,
 *   so that a check can see that it was asked to
 * @instant: whether everything ends as soon as it starts
 */
typedef struct
{
  GRefString *name;
  const bt_clock_t *clock;
  bt_resources_t capacity;
  bt_resources_t used;
  gint64 boot;
  gint64 epoch;
  GRefString *owner;
  gint64 lease_until_ms;
  gint64 tasks_until_ms;
  gboolean leaving;
  gboolean fail_all;
  gboolean permissive;
  gboolean instant;
  GHashTable *attempts;
  bt_model_ended_t ended;
  void *context;
  guint64 starts;
} bt_worker_model_t;

void bt_worker_model_init (bt_worker_model_t *model, const char *name, const bt_clock_t *clock,
                           const bt_resources_t *capacity, gint64 boot);
void bt_worker_model_clear (bt_worker_model_t *model);
void bt_worker_model_reboot (bt_worker_model_t *model, gint64 boot);
void bt_worker_model_tick (bt_worker_model_t *model);
bt_lease_reply_t *bt_worker_model_lease (bt_worker_model_t *model,
                                         const bt_lease_request_t *request);
bt_start_reply_t *bt_worker_model_start (bt_worker_model_t *model,
                                         const bt_start_request_t *request);
bt_stop_reply_t *bt_worker_model_stop (bt_worker_model_t *model, const bt_stop_request_t *request);
gboolean bt_worker_model_release (bt_worker_model_t *model, const bt_release_request_t *request);
const bt_model_attempt_t *bt_worker_model_attempt (const bt_worker_model_t *model, const char *id);

#endif
