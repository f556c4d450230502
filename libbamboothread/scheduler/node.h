#ifndef BTS_NODE_H
#define BTS_NODE_H

#include "libbamboothread/scheduler/access.h"
#include "libbamboothread/scheduler/advice_client.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/explain.h"
#include "libbamboothread/scheduler/forwarder.h"
#include "libbamboothread/scheduler/intake.h"
#include "libbamboothread/scheduler/journal_relay.h"
#include "libbamboothread/scheduler/requests.h"
#include "libbamboothread/scheduler/sched.h"
#include "libbamboothread/scheduler/spec_reader.h"
#include "libbamboothread/scheduler/tables.h"

/*
 * One process of the scheduler, without sockets. Every process serves callers
 * and folds the journal; at most one of them is the owner of the workers.
 */

typedef struct bts_node_t bts_node_t;

/* With more processes than this, jobs go through the owner even while the log is fast: a slow
   log takes about ten appends a second and refuses those that would wait for two seconds. */
#define BTS_MAX_DIRECT_APPENDERS 12

/**
 * struct bts_node_ops_t - callbacks for outgoing messages
 * @append: append a record to the journal; completed by bts_node_on_append()
 * @append_snapshot: append a record to the journal that holds what is in it already; no result is
 *   given, and other records don't wait for it
 * @snapshot_backlog: bytes of such records that wait to be sent
 * @append_spec: append a record to the log of specs; completed by bts_node_on_spec_append()
 * @read_specs: deliver the records of the log of specs from offset @from on to
 *   bts_node_on_spec(); a negative offset stops the delivery
 * @hold, @start, @stop: send an order to a worker; completed by bts_sched_on_hold_reply(),
 *   bts_sched_on_start_reply() and bts_sched_on_stop_reply() on bts_node_sched()
 * @request_advice: send a request to the advice service; completed by bts_node_on_advice()
 * @send: send a message to the process at @address; completed by bts_node_on_reply()
 * @reply: reply to a message; NULL if there is no reply
 * @relay_read: a read of the journal through another process is over, see bts_journal_relay_read()
 * on bts_node_relay(); NULL if it has failed
 * @answer: answer a caller
 * @now_unix_ms: Unix time in milliseconds
 */
typedef struct
{
  void (*append) (void *context, guint64 token, GBytes *record);
  void (*append_snapshot) (void *context, GBytes *record);
  gsize (*snapshot_backlog) (void *context);
  void (*append_spec) (void *context, guint64 token, GBytes *spec);
  void (*read_specs) (void *context, gint64 from);
  void (*hold) (void *context, const bts_worker_t *worker, const bts_hold_order_t *order);
  void (*start) (void *context, const bts_run_t *run, const bts_start_order_t *order);
  void (*stop) (void *context, const bts_run_t *run, guint64 fence);
  void (*request_advice) (void *context, const bts_advice_request_t *request);
  void (*send) (void *context, const char *address, GBytes *message, guint timeout_ms);
  void (*reply) (void *context, guint64 exchange, GBytes *reply);
  void (*relay_read) (void *context, const bts_relay_read_t *read);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
  gint64 (*now_unix_ms) (void *context);
} bts_node_ops_t;

/**
 * struct bts_node_config_t - configuration of a process
 * @name: name of this incarnation of the process, VM and incarnation separated by a slash
 * @address: IP:port at which it takes messages of other processes, or NULL
 * @region: the region of its VM, or NULL
 * @cpu_millis: its CPU share, in thousandths of a core
 * @bandwidth_kbps: bandwidth of its link, in kbit/s; 0 if not known
 * @max_direct_appenders: with more processes than this, jobs go through the owner; usually
 *   BTS_MAX_DIRECT_APPENDERS
 * @tables_max_age_ms: see bts_freshness_init()
 * @job_memory_bytes: memory that jobs may take; 0 for no limit
 * @status_retention_ms: how long the status of an ended job is kept
 * @sched: limits of the owner
 */
typedef struct
{
  const char *name;
  const char *address;
  const char *region;
  guint cpu_millis;
  guint bandwidth_kbps;
  guint max_direct_appenders;
  guint tables_max_age_ms;
  gsize job_memory_bytes;
  guint status_retention_ms;
  bts_sched_config_t sched;
} bts_node_config_t;

bts_node_t *bts_node_new (const bts_node_config_t *config, const bt_clock_t *clock,
                          const bts_node_ops_t *ops, void *context);
void bts_node_free (bts_node_t *node);
bts_sched_t *bts_node_sched (const bts_node_t *node);
bts_journal_relay_t *bts_node_relay (const bts_node_t *node);
const bts_tables_t *bts_node_tables (const bts_node_t *node);
bts_freshness_t *bts_node_freshness (bts_node_t *node);
bts_access_t bts_node_check_access (const bts_node_t *node, const bts_route_t *route,
                                    const char *key, const bts_tenant_t **tenant);

void bts_node_on_record (bts_node_t *node, gint64 offset, const guint8 *data, gsize len);
void bts_node_on_spec (bts_node_t *node, gint64 offset, const guint8 *data, gsize len);
void bts_node_on_spec_append (bts_node_t *node, guint64 token, bts_append_result_t result,
                              gint64 offset);
void bts_node_on_readable (bts_node_t *node);
void bts_node_on_caught_up (bts_node_t *node, gint64 sent_us, gint64 as_of_us, gint64 latency_us);
void bts_node_on_skipped (bts_node_t *node, gint64 from, gint64 first);
void bts_node_on_append (bts_node_t *node, guint64 token, bts_append_result_t result,
                         gint64 took_us);
void bts_node_on_advice (bts_node_t *node, const bts_advice_request_t *request,
                         const Bts__Advice *advice);
gboolean bts_node_on_message (bts_node_t *node, guint64 exchange, const guint8 *data, gsize len);
void bts_node_on_reply (bts_node_t *node, GBytes *sent, gboolean was_delivered, const guint8 *data,
                        gsize len);
void bts_node_on_tables (bts_node_t *node, bts_tables_t *tables);
void bts_node_on_entry (bts_node_t *node, bts_worker_entry_t *entry);
void bts_node_on_entries (bts_node_t *node, GHashTable *ids);

void bts_node_submit (bts_node_t *node, guint64 exchange, Bts__Accepted *job, gint64 timeout_us);
char *bts_node_explain (const bts_node_t *node, const bts_explain_request_t *request);
void bts_node_cancel (bts_node_t *node, guint64 exchange, const char *id, gint64 timeout_us);
bts_answer_t bts_node_query (const bts_node_t *node, const char *id, bts_job_state_t *state);
guint bts_node_count_pending (const bts_node_t *node, const char *route);

guint bts_node_retry_after_s (const bts_node_t *node);
gboolean bts_node_is_ready (const bts_node_t *node);
void bts_node_leave (bts_node_t *node);
gboolean bts_node_is_idle (const bts_node_t *node);
gboolean bts_node_is_registered (const bts_node_t *node, const char *worker);
gboolean bts_node_needs_entries (const bts_node_t *node);
gboolean bts_node_is_leading (const bts_node_t *node);
void bts_node_tick (bts_node_t *node);
void bts_node_update_gauges (const bts_node_t *node);

#endif
