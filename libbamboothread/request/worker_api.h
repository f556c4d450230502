#ifndef BT_REQUEST_WORKER_API_H
#define BT_REQUEST_WORKER_API_H

#include "libbamboothread/base/schema.h"

/*
 * Requests and replies between a daemon and a worker, specified in
 * docs/interfaces/worker.md.
 */

/**
 * enum bt_attempt_state_t - state of an attempt on its worker
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
 * struct bt_attempt_report_t - a worker's report on an attempt
 * @attempt: id of the attempt
 * @job: id of its job
 * @task: index of its task in the job
 * @state: a &enum bt_attempt_state_t
 * @mcpus: processors allocated to it, in thousandths
 * @memory_mb: memory allocated to it, in MiB
 * @used_mcpus: its recent usage, which lags behind, in thousandths of a processor
 * @used_memory_mb: its recent usage, which lags behind, in MiB
 * @answer: the complete answer in base64, once the attempt has ended
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
 * struct bt_lease_request_t - request of an owner to claim a worker or renew its lease
 * @owner: name and incarnation of the daemon
 * @epoch: epoch of the lease to renew, or 0 to claim
 * @ttl_ms: duration of the owner's lease, counted from the arrival of the request
 * @task_ttl_ms: duration of the lease of running attempts, counted from @last_clock_ms;
 *   0 leaves it unchanged
 * @last_clock_ms: clock_ms of the worker's last reply that the owner received, or 0 in
 *   a claim; since @task_ttl_ms counts from it, a delayed renewal doesn't extend the
 *   lease of attempts beyond what the owner expects
 * @ack: ids of ended attempts whose end the owner has processed
 * @full: whether to report all attempts or only the ended ones
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
 * struct bt_lease_reply_t - a worker's reply to a claim or renewal
 * @granted: whether the requesting owner now holds the lease
 * @epoch: increases with each claim that is granted
 * @clock_ms: the worker's monotonic clock
 * @boot: differs after each restart of the worker, which then knows no attempts
 * @remaining_ms: remaining time of another owner's lease, if not granted
 * @leaving: whether the VM is about to be removed
 * @full: whether @attempts has all attempts or only the ended ones
 * @attempts: array of bt_attempt_report_t
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
 * struct bt_start_request_t - request to start an attempt
 * @epoch: epoch of the owner's lease; the worker refuses any other epoch
 * @service: whether the attempt runs until it is stopped
 * @wait: whether the worker replies only when the attempt ends, with its answer
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
 * enum bt_start_verdict_t - a worker's reply to a start request
 * @BT_START_STARTED: the attempt was started, now or by an earlier request
 * @BT_START_ENDED: the attempt ran and has ended; the report has its final state
 * @BT_START_STALE: refused, not run: the owner doesn't hold the lease
 * @BT_START_FULL: refused, not run: the free resources don't suffice
 * @BT_START_LEAVING: refused, not run: the VM is about to be removed
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
 * enum bt_stop_mode_t - what to do with the attempts of a stop request
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
 * struct bt_release_request_t - request to release a worker's lease, so that another owner can
 * claim the worker at once
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
