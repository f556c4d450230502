#ifndef BT_REQUEST_WORKER_API_H
#define BT_REQUEST_WORKER_API_H

#include "libbamboothread/base/schema.h"

/*
 * What a daemon and a worker tell each other. docs/interfaces/worker.md is the
 * written contract.
 */

/**
 * enum bt_attempt_state_t - state of an attempt at its worker
 */
typedef enum
{
  BT_ATTEMPT_RUNNING,
  BT_ATTEMPT_DONE,
  BT_ATTEMPT_FAILED,
  BT_ATTEMPT_STOPPED,
  BT_ATTEMPT_CHECKPOINTED,
} bt_attempt_state_t;

extern const char *const bt_attempt_state_names[];

/**
 * struct bt_attempt_report_t - an attempt, as its worker reports it
 * @attempt: its id
 * @job: id of its job
 * @task: index of its task
 * @mcpus: what it holds, in thousandths of a processor
 * @used_mcpus: what it used lately; lags behind
 * @answer: base64 of the whole answer, once ended
 */
typedef struct
{
  GRefString *attempt;
  GRefString *job;
  gint64 task;
  gint state;
  gint64 mcpus;
  gint64 memory_mb;
  gint64 gpus;
  gint64 connections;
  gint64 used_mcpus;
  gint64 used_memory_mb;
  GRefString *answer;
} bt_attempt_report_t;

/**
 * struct bt_lease_request_t - claim or renew a worker for an owner
 * @owner: name and incarnation of the daemon
 * @epoch: epoch of the lease to renew, or 0 to claim
 * @ttl_ms: how long the owner's lease lasts from now on
 * @task_ttl_ms: how long running attempts last from now on; 0 leaves them be
 * @last_clock_ms: the worker's clock in its last reply that the owner has, or 0 in a
 *   claim; @task_ttl_ms counts from there, so that a renewal that arrives late
 *   prolongs no attempt
 * @ack: attempts whose end the owner has taken in
 * @full: whether to report all attempts, not just those ended
 */
typedef struct
{
  GRefString *owner;
  gint64 epoch;
  gint64 ttl_ms;
  gint64 task_ttl_ms;
  gint64 last_clock_ms;
  GPtrArray *ack;
  gboolean full;
} bt_lease_request_t;

/**
 * struct bt_lease_reply_t - a worker's answer to a claim or renewal
 * @granted: whether the owner now holds the worker
 * @epoch: grows with each change of owner
 * @remaining_ms: for how long another owner holds it, if not granted
 * @clock_ms: the worker's monotonic clock
 * @boot: differs at each start of the worker, which then knows no attempts
 * @leaving: whether the VM is about to leave
 * @full: whether @attempts holds all attempts, not just those ended
 */
typedef struct
{
  gboolean granted;
  gint64 epoch;
  gint64 clock_ms;
  gint64 boot;
  gint64 remaining_ms;
  gboolean leaving;
  gboolean full;
  GPtrArray *attempts;
} bt_lease_reply_t;

/**
 * struct bt_start_request_t - start an attempt
 * @epoch: epoch of the owner's lease; another one is refused
 * @wait: whether the reply comes at the attempt's end, with its answer
 */
typedef struct
{
  GRefString *owner;
  gint64 epoch;
  GRefString *attempt;
  GRefString *job;
  gint64 task;
  gint64 mcpus;
  gint64 memory_mb;
  gint64 gpus;
  gint64 connections;
  gint64 run_ms;
  gboolean service;
  gboolean wait;
  GRefString *payload;
} bt_start_request_t;

/**
 * enum bt_start_verdict_t - a worker's answer to a start
 * @BT_START_STARTED: it runs
 * @BT_START_ENDED: it ran and ended; the report says how
 * @BT_START_STALE: refused, the lease is not the owner's; it does not run
 * @BT_START_FULL: refused for want of room; it does not run
 * @BT_START_LEAVING: refused, the VM leaves; it does not run
 */
typedef enum
{
  BT_START_STARTED,
  BT_START_ENDED,
  BT_START_STALE,
  BT_START_FULL,
  BT_START_LEAVING,
} bt_start_verdict_t;

extern const char *const bt_start_verdict_names[];

typedef struct
{
  gint verdict;
  bt_attempt_report_t *report;
} bt_start_reply_t;

/**
 * enum bt_stop_mode_t - how to end or slow an attempt
 */
typedef enum
{
  BT_STOP_STOP,
  BT_STOP_CHECKPOINT,
  BT_STOP_THROTTLE,
} bt_stop_mode_t;

extern const char *const bt_stop_mode_names[];

typedef struct
{
  GRefString *owner;
  gint64 epoch;
  GPtrArray *attempts;
  gint mode;
} bt_stop_request_t;

typedef struct
{
  gboolean accepted;
  GPtrArray *attempts;
} bt_stop_reply_t;

/**
 * struct bt_release_request_t - give a worker up, so that another owner may claim it at once
 */
typedef struct
{
  GRefString *owner;
  gint64 epoch;
} bt_release_request_t;

extern const bt_schema_t bt_attempt_report_schema;
extern const bt_schema_t bt_lease_request_schema;
extern const bt_schema_t bt_lease_reply_schema;
extern const bt_schema_t bt_start_request_schema;
extern const bt_schema_t bt_start_reply_schema;
extern const bt_schema_t bt_stop_request_schema;
extern const bt_schema_t bt_stop_reply_schema;
extern const bt_schema_t bt_release_request_schema;

#endif
