#ifndef BT_PROCESS_CORE_H
#define BT_PROCESS_CORE_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/process/counters.h"
#include "libbamboothread/request/request.h"
#include "libbamboothread/request/worker_api.h"
#include "libbamboothread/version/fold.h"
#include "proto/peer.pb-c.h"

/*
 * The deterministic core of a daemon. It has no sockets, threads or wall clock:
 * the functions below deliver messages and timer ticks to it, and it sends
 * messages by the callbacks of bt_core_ops_t. The daemon, the tests, the fuzzer
 * and the benchmarks run the same code.
 */

typedef struct bt_core_t bt_core_t;

/**
 * struct bt_core_ops_t - callbacks for the messages of a core
 * @peer_send: send a message to the daemon at an address; it may be lost
 * @log_append: append records to a stream as one batch; answered by
 *   bt_core_on_append()
 * @log_read: read a stream from an offset and wait for records; answered by
 *   bt_core_on_records() or bt_core_on_read_failed()
 * @worker_lease: claim or renew a worker's lease; answered by bt_core_on_lease_reply()
 * @worker_start: start an attempt; answered by bt_core_on_start_reply()
 * @worker_stop: stop, checkpoint or throttle attempts; answered by bt_core_on_stop_reply()
 * @worker_release: give up a worker's lease; not answered
 * @answer: answer a caller's request
 * @query_answer: answer a query of a caller or operator
 * @tables_changed: a new version of the tables is in force; may be NULL
 *
 * The first argument of each callback is the context passed to bt_core_new().
 * The callbacks must not call into the core.
 */
typedef struct
{
  void (*peer_send) (void *context, const char *address, const Bt__Envelope *envelope);
  void (*log_append) (void *context, const char *stream, guint64 batch, const GPtrArray *records);
  void (*log_read) (void *context, const char *stream, gint64 from);
  void (*worker_lease) (void *context, const char *worker, const char *address,
                        const bt_lease_request_t *request);
  void (*worker_start) (void *context, const char *worker, const char *address,
                        const bt_start_request_t *request);
  void (*worker_stop) (void *context, const char *worker, const char *address,
                       const bt_stop_request_t *request);
  void (*worker_release) (void *context, const char *worker, const char *address,
                          const bt_release_request_t *request);
  void (*answer) (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome);
  void (*query_answer) (void *context, guint64 exchange, gboolean known, GBytes *body);
  void (*tables_changed) (void *context, gint64 version);
} bt_core_ops_t;

/**
 * struct bt_core_config_t - settings of a core
 * @name: name of this daemon, unique among all daemons that share the log
 * @address: host:port at which its peers reach it
 * @incarnation: differs at each start of the daemon
 * @seeds: addresses of the first peers to contact
 * @heartbeat_us: interval of heartbeats to a peer
 * @suspect_us: silence after which a peer in this data centre is suspected to be dead; in other
 *   data centres it is a multiple of this
 * @lease_us: how long an owner holds a worker without renewal
 * @task_lease_us: how long a worker goes on running attempts without renewal of their lease
 * @drift_us: maximum drift between two clocks over a lease
 * @call_timeout_us: timeout of a call to a worker or the log
 * @retention_us: how long an ended job is remembered
 * @snapshot_us: interval in which everything that the log has to keep is appended again
 * @append_interval_us: minimum interval between appends
 * @seed: seed of the random numbers
 */
typedef struct
{
  const char *name;
  const char *address;
  const char *data_centre;
  const char *region;
  guint64 incarnation;
  const GPtrArray *seeds;
  gint64 heartbeat_us;
  gint64 suspect_us;
  gint64 lease_us;
  gint64 task_lease_us;
  gint64 drift_us;
  gint64 call_timeout_us;
  gint64 retention_us;
  gint64 snapshot_us;
  gint64 append_interval_us;
  guint32 seed;
} bt_core_config_t;

void bt_core_config_init (bt_core_config_t *config);

/**
 * enum bt_query_t - kind of a query
 * @BT_QUERY_STATUS: a job's state and answer
 * @BT_QUERY_LIST: the jobs of a caller
 * @BT_QUERY_CANCEL: cancel a job
 * @BT_QUERY_EXPLAIN: the scheduling decisions about a job
 * @BT_QUERY_WHY_WAITING: why a job has not started
 */
typedef enum
{
  BT_QUERY_STATUS,
  BT_QUERY_LIST,
  BT_QUERY_CANCEL,
  BT_QUERY_EXPLAIN,
  BT_QUERY_WHY_WAITING,
} bt_query_t;

bt_core_t *bt_core_new (const bt_core_config_t *config, const bt_clock_t *clock,
                        const bt_core_ops_t *ops, void *context);
void bt_core_free (bt_core_t *core);
void bt_core_start (bt_core_t *core);
void bt_core_tick (bt_core_t *core);
void bt_core_leave (bt_core_t *core);
gboolean bt_core_is_idle (const bt_core_t *core);

GRefString *bt_core_submit (bt_core_t *core, guint64 exchange, const bt_request_t *request);
void bt_core_on_caller_gone (bt_core_t *core, guint64 exchange);
void bt_core_query (bt_core_t *core, guint64 exchange, bt_query_t kind, const char *argument);

void bt_core_on_peer_message (bt_core_t *core, const Bt__Envelope *envelope);
void bt_core_on_records (bt_core_t *core, const char *stream, gint64 first,
                         const GPtrArray *records, gint64 next);
void bt_core_on_read_failed (bt_core_t *core, const char *stream, const GError *error,
                             gint64 first_kept);
void bt_core_on_append (bt_core_t *core, guint64 batch, gboolean stored);
void bt_core_on_lease_reply (bt_core_t *core, const char *worker, const bt_lease_reply_t *reply);
void bt_core_on_start_reply (bt_core_t *core, const char *worker, const char *attempt,
                             const bt_start_reply_t *reply);
void bt_core_on_stop_reply (bt_core_t *core, const char *worker, const bt_stop_reply_t *reply);
void bt_core_on_vm_list (bt_core_t *core, const GPtrArray *leaving);

JsonNode *bt_core_dump (const bt_core_t *core);
const bt_counters_t *bt_core_counters (const bt_core_t *core);
const bt_fold_t *bt_core_tables (const bt_core_t *core);
gboolean bt_core_is_leading (const bt_core_t *core);
gboolean bt_core_is_serving (const bt_core_t *core);

#endif
