#ifndef BT_REQUEST_REQUEST_H
#define BT_REQUEST_REQUEST_H

#include "libbamboothread/version/tables.h"

#define BT_PAYLOAD_MAX_BYTES (256 * 1024)
#define BT_ANSWER_MAX_BYTES (1024 * 1024)
#define BT_TASKS_MAX 512

/**
 * enum bt_kind_t - kinds of work
 * @BT_KIND_REQUEST: one short task; its caller waits for the answer
 * @BT_KIND_SERVICE: tasks that stay up until the job is cancelled
 * @BT_KIND_BATCH: tasks that end by themselves, each on its own
 * @BT_KIND_GANG: tasks that need to run all at once
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
 * struct bt_request_t - what a caller asks for
 * @caller: who asks
 * @work: name of the work, for the table of routes
 * @key: the same key of the same caller is the same request, or NULL
 * @tasks: number of tasks
 * @mcpus: thousandths of a processor a task
 * @memory_mb: MiB of memory a task
 * @gpus: accelerators a task
 * @connections: connections a task
 * @run_ms: declared run time; a hint only
 * @deadline_ms: time to start, or 0 for the route's
 * @payload: handed to the worker unchanged
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
 * enum bt_status_t - what a caller is told
 * @BT_STATUS_ACCEPTED: taken and recorded; ask again with the job's id
 * @BT_STATUS_HELD: taken, but held in memory only
 * @BT_STATUS_DONE: it ran; here is its whole answer
 * @BT_STATUS_NOT_RUN: it was not run, for the reason given
 * @BT_STATUS_UNKNOWN: it may have run
 * @BT_STATUS_FAILED: it ran and failed
 * @BT_STATUS_CANCELLED: ended because its caller asked for that
 * @BT_STATUS_RETRY: from an owner to an entry only: it was not run, ask the next owner
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
 * enum bt_reason_t - why
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
 * struct bt_outcome_t - what became of a request
 * @answer: the worker's whole answer, or NULL
 * @retry_after_ms: when a retry makes sense, or 0
 * @detail: the table line and the cause, in words, or NULL
 * @lead_since: names the reign of the owner that says so
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
