#ifndef BTS_NODE_H
#define BTS_NODE_H

#include "libbamboothread/scheduler/advice_client.h"
#include "libbamboothread/scheduler/requests.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/tables.h"
#include "libbamboothread/scheduler/forwarder.h"
#include "libbamboothread/scheduler/sched.h"
#include "libbamboothread/scheduler/spec_reader.h"

/*
 * One process of the scheduler, without sockets: every process takes callers
 * in and folds the journal, and one of them owns the workers.
 */

typedef struct bts_node_t bts_node_t;

/* With more entries jobs always go through the owner: a slow log takes some ten appends a
   second and refuses those that would wait for two. */
#define BTS_MAX_DIRECT_APPENDERS 12

/**
 * struct bts_node_ops_t - where a process's messages go
 * @append: a record for the journal; answered by bts_node_on_append()
 * @append_spec: a record for the log of specs; answered by bts_node_on_spec_append()
 * @read_specs: follow the log of specs from an offset on, told by bts_node_on_spec();
 *   a negative one ends it
 * @hold, @start, @stop: orders to workers; answered by the functions of the
 *   same names in sched.h on bts_node_sched()
 * @advise: a question to the advice service; answered by bts_node_on_advice()
 * @send: a message to the process at @address; answered by bts_node_on_reply()
 * @reply: the reply to a message; NULL if there is none to be had
 * @answer: tell a caller
 * @now_unix_ms: the time of day
 */
typedef struct
{
  void (*append) (void *context, guint64 token, GBytes *record);
  void (*append_spec) (void *context, guint64 token, GBytes *spec);
  void (*read_specs) (void *context, gint64 from);
  void (*hold) (void *context, const bts_worker_t *worker, const bts_hold_order_t *order);
  void (*start) (void *context, const bts_run_t *run, const bts_start_order_t *order);
  void (*stop) (void *context, const bts_run_t *run, guint64 fence);
  void (*advise) (void *context, const bts_advice_request_t *question);
  void (*send) (void *context, const char *address, GBytes *message, guint timeout_ms);
  void (*reply) (void *context, guint64 exchange, GBytes *reply);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
  gint64 (*now_unix_ms) (void *context);
} bts_node_ops_t;

/**
 * struct bts_node_config_t - how a process is told to work
 * @name: of this life of it, VM and life parted by a slash
 * @address: IP:port at which it takes messages of other processes
 * @cpu_millis: its share of a processor, in thousandths of a core
 * @max_direct_appenders: with more processes than this, jobs go through the owner; usually
 * BTS_MAX_DIRECT_APPENDERS
 * @status_retention_ms: how long an ended job is known
 */
typedef struct
{
  const char *name;
  const char *address;
  guint cpu_millis;
  guint max_direct_appenders;
  guint status_retention_ms;
  bts_sched_config_t sched;
} bts_node_config_t;

bts_node_t *bts_node_new (const bts_node_config_t *config, const bt_clock_t *clock,
                          const bts_node_ops_t *ops, void *context);
void bts_node_free (bts_node_t *node);
bts_sched_t *bts_node_sched (const bts_node_t *node);
const bts_tables_t *bts_node_tables (const bts_node_t *node);

void bts_node_on_record (bts_node_t *node, gint64 offset, const guint8 *data, gsize len);
void bts_node_on_spec (bts_node_t *node, gint64 offset, const guint8 *data, gsize len);
void bts_node_on_spec_append (bts_node_t *node, guint64 token, bts_append_result_t stored,
                              gint64 offset);
void bts_node_on_caught_up (bts_node_t *node, gint64 sent_us);
void bts_node_on_skipped (bts_node_t *node, gint64 from, gint64 first);
void bts_node_on_append (bts_node_t *node, guint64 token, bts_append_result_t stored,
                         gint64 took_us);
void bts_node_on_advice (bts_node_t *node, const bts_advice_request_t *question,
                         const Bts__Advice *advice);
gboolean bts_node_on_message (bts_node_t *node, guint64 exchange, const guint8 *data, gsize len);
void bts_node_on_reply (bts_node_t *node, GBytes *sent, const guint8 *data, gsize len);
void bts_node_on_tables (bts_node_t *node, bts_tables_t *manifest);
void bts_node_on_entry (bts_node_t *node, bts_worker_entry_t *entry);
void bts_node_on_entries (bts_node_t *node, GHashTable *ids);

void bts_node_submit (bts_node_t *node, guint64 exchange, Bts__Accepted *job, gint64 patience_us);
void bts_node_cancel (bts_node_t *node, guint64 exchange, const char *id, gint64 patience_us);
bts_answer_t bts_node_query (const bts_node_t *node, const char *id, bts_job_state_t *state);
guint bts_node_count_pending (const bts_node_t *node, const char *route);

guint bts_node_retry_after_s (const bts_node_t *node);
gboolean bts_node_ready (const bts_node_t *node);
void bts_node_leave (bts_node_t *node);
gboolean bts_node_idle (const bts_node_t *node);
gboolean bts_node_leading (const bts_node_t *node);
void bts_node_tick (bts_node_t *node);
void bts_node_update_gauges (const bts_node_t *node);

#endif
