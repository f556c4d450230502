#ifndef BT_REQUEST_REQUEST_H
#define BT_REQUEST_REQUEST_H

#include "libbamboothread/version/tables.h"

#define BT_PAYLOAD_MAX_BYTES (256 * 1024)
#define BT_ANSWER_MAX_BYTES (1024 * 1024)
#define BT_TASKS_MAX 512

/**
 * enum bt_kind_t - kinds of requests
 * @BT_KIND_REQUEST: one short task; its caller waits for the answer
 * @BT_KIND_SERVICE: tasks that run until the job is cancelled
 * @BT_KIND_BATCH: independent tasks that run to completion
 * @BT_KIND_GANG: tasks that must run at the same time
 */
typedef enum
{
  BT_KIND_REQUEST,
  BT_KIND_SERVICE,
  BT_KIND_BATCH,
  BT_KIND_GANG,
} bt_kind_t;

extern const char *const bt_kind_names[];

/**
 * struct bt_request_t - a request of a caller
 * @caller: name of the caller
 * @work: name of the work, matched against the routes
 * @kind: a &enum bt_kind_t
 * @key: idempotency key, or NULL; requests of a caller with the same key are one request
 * @tasks: number of tasks
 * @mcpus: thousandths of a processor per task
 * @memory_mb: MiB of memory per task
 * @gpus: accelerators per task
 * @connections: connections per task
 * @run_ms: declared run time; only a hint
 * @deadline_ms: time within which it has to start; 0 means the route's deadline for a
 *   BT_KIND_REQUEST and none for other kinds
 * @payload: passed to the worker unchanged
 */
typedef struct
{
  GRefString *caller;
  GRefString *work;
  gint kind;
  GRefString *key;
  gint64 tasks;
  gint64 mcpus;
  gint64 memory_mb;
  gint64 gpus;
  gint64 connections;
  gint64 run_ms;
  gint64 deadline_ms;
  GRefString *payload;
} bt_request_t;

extern const bt_schema_t bt_request_schema;

void bt_request_get_need (const bt_request_t *request, bt_resources_t *need);
gboolean bt_request_is_durable (const bt_request_t *request);

/**
 * enum bt_status_t - status of a request
 * @BT_STATUS_ACCEPTED: accepted and in the log; its status can be queried by the job's id
 * @BT_STATUS_HELD: accepted, but held in memory only
 * @BT_STATUS_DONE: completed; the complete answer is attached
 * @BT_STATUS_NOT_RUN: not run, for the given reason
 * @BT_STATUS_UNKNOWN: may have run
 * @BT_STATUS_FAILED: ran and failed
 * @BT_STATUS_CANCELLED: cancelled at its caller's request
 * @BT_STATUS_RETRY: only between daemons, to the one that the caller sent the request to: not run
 *   by the sender of this status, to be sent to the current owner
 */
typedef enum
{
  BT_STATUS_ACCEPTED,
  BT_STATUS_HELD,
  BT_STATUS_DONE,
  BT_STATUS_NOT_RUN,
  BT_STATUS_UNKNOWN,
  BT_STATUS_FAILED,
  BT_STATUS_CANCELLED,
  BT_STATUS_RETRY,
} bt_status_t;

extern const char *const bt_status_names[];

/**
 * enum bt_reason_t - reason of a status
 */
typedef enum
{
  BT_REASON_NONE,
  BT_REASON_NO_ROUTE,
  BT_REASON_NO_POOL_MEMBER,
  BT_REASON_NEVER_FITS,
  BT_REASON_OVER_QUOTA,
  BT_REASON_QUEUE_FULL,
  BT_REASON_WAIT_TOO_LONG,
  BT_REASON_DEADLINE,
  BT_REASON_NO_OWNER,
  BT_REASON_LOG_UNAVAILABLE,
  BT_REASON_CANCELLED,
  BT_REASON_RETRIES_SPENT,
  BT_REASON_OWNER_LOST,
  BT_REASON_CALLER_GONE,
  BT_REASON_TASK_FAILED,
  BT_REASON_SHUTTING_DOWN,
  BT_REASON_TABLES_CHANGED,
  BT_REASON_INVALID,
  BT_REASON_STARTING,
  BT_N_REASONS,
} bt_reason_t;

extern const char *const bt_reason_names[];

/**
 * struct bt_outcome_t - response to a request
 * @answer: the worker's complete answer, or NULL
 * @retry_after_ms: time after which a retry may succeed, or 0
 * @detail: the table line and the cause as text, or NULL
 * @lead_since: start of the responding owner's leadership by its own clock, in
 *   microseconds; identifies that leadership
 */
typedef struct
{
  bt_status_t status;
  bt_reason_t reason;
  GBytes *answer;
  guint32 retry_after_ms;
  const char *detail;
  gint64 lead_since;
} bt_outcome_t;

gboolean bt_status_is_final (bt_status_t status);

#endif
