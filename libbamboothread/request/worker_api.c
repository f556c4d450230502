#include "libbamboothread/request/worker_api.h"

#define ID_MAX_BYTES 192
#define ANSWER_BASE64_MAX_BYTES (4 * 1024 * 1024 / 3)
#define ATTEMPTS_MAX 4096
#define DURATION_MAX_MS (1LL << 40)
#define RESOURCE_AMOUNT_MAX (1LL << 40)

const char *const bt_attempt_state_names[]
    = { "running", "done", "failed", "stopped", "checkpointed", NULL };
const char *const bt_start_verdict_names[]
    = { "started", "ended", "stale", "full", "leaving", NULL };
const char *const bt_stop_mode_names[] = { "stop", "checkpoint", "throttle", NULL };

static const bt_field_t report_fields[] = {
  { "attempt", BT_FIELD_STRING, offsetof (bt_attempt_report_t, attempt), TRUE, 1, ID_MAX_BYTES },
  { "job", BT_FIELD_STRING, offsetof (bt_attempt_report_t, job), TRUE, 1, ID_MAX_BYTES },
  { "task", BT_FIELD_INT, offsetof (bt_attempt_report_t, task), FALSE, 0, 1 << 20 },
  { "state", BT_FIELD_ENUM, offsetof (bt_attempt_report_t, state), TRUE, 0, 0, 0,
    bt_attempt_state_names },
  { "mcpus", BT_FIELD_INT, offsetof (bt_attempt_report_t, mcpus), FALSE, 0, RESOURCE_AMOUNT_MAX },
  { "memory_mb", BT_FIELD_INT, offsetof (bt_attempt_report_t, memory_mb), FALSE, 0,
    RESOURCE_AMOUNT_MAX },
  { "gpus", BT_FIELD_INT, offsetof (bt_attempt_report_t, gpus), FALSE, 0, 1 << 20 },
  { "connections", BT_FIELD_INT, offsetof (bt_attempt_report_t, connections), FALSE, 0, 1 << 20 },
  { "used_mcpus", BT_FIELD_INT, offsetof (bt_attempt_report_t, used_mcpus), FALSE, 0,
    RESOURCE_AMOUNT_MAX },
  { "used_memory_mb", BT_FIELD_INT, offsetof (bt_attempt_report_t, used_memory_mb), FALSE, 0,
    RESOURCE_AMOUNT_MAX },
  { "answer", BT_FIELD_STRING, offsetof (bt_attempt_report_t, answer), FALSE, 0,
    ANSWER_BASE64_MAX_BYTES },
};

const bt_schema_t bt_attempt_report_schema = BT_SCHEMA (report_fields, bt_attempt_report_t);

static const bt_field_t lease_request_fields[] = {
  { "owner", BT_FIELD_STRING, offsetof (bt_lease_request_t, owner), TRUE, 1, ID_MAX_BYTES },
  { "epoch", BT_FIELD_INT, offsetof (bt_lease_request_t, epoch), FALSE, 0, G_MAXINT64 },
  { "ttl_ms", BT_FIELD_INT, offsetof (bt_lease_request_t, ttl_ms), TRUE, 1, 3600000 },
  { "task_ttl_ms", BT_FIELD_INT, offsetof (bt_lease_request_t, task_ttl_ms), FALSE, 0, 3600000 },
  { "base_ms", BT_FIELD_INT, offsetof (bt_lease_request_t, last_clock_ms), FALSE, 0, G_MAXINT64 },
  { "ack", BT_FIELD_STRINGS, offsetof (bt_lease_request_t, ack), FALSE, 0, ATTEMPTS_MAX },
  { "full", BT_FIELD_BOOL, offsetof (bt_lease_request_t, full) },
};

const bt_schema_t bt_lease_request_schema = BT_SCHEMA (lease_request_fields, bt_lease_request_t);

static const bt_field_t lease_reply_fields[] = {
  { "granted", BT_FIELD_BOOL, offsetof (bt_lease_reply_t, granted), TRUE },
  { "epoch", BT_FIELD_INT, offsetof (bt_lease_reply_t, epoch), TRUE, 0, G_MAXINT64 },
  { "clock_ms", BT_FIELD_INT, offsetof (bt_lease_reply_t, clock_ms), TRUE, 0, G_MAXINT64 },
  { "boot", BT_FIELD_INT, offsetof (bt_lease_reply_t, boot), TRUE, 0, G_MAXINT64 },
  { "remaining_ms", BT_FIELD_INT, offsetof (bt_lease_reply_t, remaining_ms), FALSE, 0, 3600000 },
  { "leaving", BT_FIELD_BOOL, offsetof (bt_lease_reply_t, leaving) },
  { "full", BT_FIELD_BOOL, offsetof (bt_lease_reply_t, full) },
  { "attempts", BT_FIELD_OBJECTS, offsetof (bt_lease_reply_t, attempts), FALSE, 0, ATTEMPTS_MAX, 0,
    NULL, &bt_attempt_report_schema },
};

const bt_schema_t bt_lease_reply_schema = BT_SCHEMA (lease_reply_fields, bt_lease_reply_t);

static const bt_field_t start_request_fields[] = {
  { "owner", BT_FIELD_STRING, offsetof (bt_start_request_t, owner), TRUE, 1, ID_MAX_BYTES },
  { "epoch", BT_FIELD_INT, offsetof (bt_start_request_t, epoch), TRUE, 0, G_MAXINT64 },
  { "attempt", BT_FIELD_STRING, offsetof (bt_start_request_t, attempt), TRUE, 1, ID_MAX_BYTES },
  { "job", BT_FIELD_STRING, offsetof (bt_start_request_t, job), TRUE, 1, ID_MAX_BYTES },
  { "task", BT_FIELD_INT, offsetof (bt_start_request_t, task), FALSE, 0, 1 << 20 },
  { "mcpus", BT_FIELD_INT, offsetof (bt_start_request_t, mcpus), TRUE, 0, RESOURCE_AMOUNT_MAX },
  { "memory_mb", BT_FIELD_INT, offsetof (bt_start_request_t, memory_mb), TRUE, 0,
    RESOURCE_AMOUNT_MAX },
  { "gpus", BT_FIELD_INT, offsetof (bt_start_request_t, gpus), FALSE, 0, 1 << 20 },
  { "connections", BT_FIELD_INT, offsetof (bt_start_request_t, connections), FALSE, 0, 1 << 20 },
  { "run_ms", BT_FIELD_INT, offsetof (bt_start_request_t, run_ms), FALSE, 0, DURATION_MAX_MS },
  { "service", BT_FIELD_BOOL, offsetof (bt_start_request_t, service) },
  { "wait", BT_FIELD_BOOL, offsetof (bt_start_request_t, wait) },
  { "payload", BT_FIELD_STRING, offsetof (bt_start_request_t, payload), FALSE, 0, 1 << 20 },
};

const bt_schema_t bt_start_request_schema = BT_SCHEMA (start_request_fields, bt_start_request_t);

static const bt_field_t start_reply_fields[] = {
  { "verdict", BT_FIELD_ENUM, offsetof (bt_start_reply_t, verdict), TRUE, 0, 0, 0,
    bt_start_verdict_names },
  { "report", BT_FIELD_OBJECT, offsetof (bt_start_reply_t, report), FALSE, 0, 0, 0, NULL,
    &bt_attempt_report_schema },
};

const bt_schema_t bt_start_reply_schema = BT_SCHEMA (start_reply_fields, bt_start_reply_t);

static const bt_field_t stop_request_fields[] = {
  { "owner", BT_FIELD_STRING, offsetof (bt_stop_request_t, owner), TRUE, 1, ID_MAX_BYTES },
  { "epoch", BT_FIELD_INT, offsetof (bt_stop_request_t, epoch), TRUE, 0, G_MAXINT64 },
  { "attempts", BT_FIELD_STRINGS, offsetof (bt_stop_request_t, attempts), TRUE, 0, ATTEMPTS_MAX },
  { "mode", BT_FIELD_ENUM, offsetof (bt_stop_request_t, mode), TRUE, 0, 0, 0, bt_stop_mode_names },
};

const bt_schema_t bt_stop_request_schema = BT_SCHEMA (stop_request_fields, bt_stop_request_t);

static const bt_field_t stop_reply_fields[] = {
  { "accepted", BT_FIELD_BOOL, offsetof (bt_stop_reply_t, accepted), TRUE },
  { "attempts", BT_FIELD_OBJECTS, offsetof (bt_stop_reply_t, attempts), FALSE, 0, ATTEMPTS_MAX, 0,
    NULL, &bt_attempt_report_schema },
};

const bt_schema_t bt_stop_reply_schema = BT_SCHEMA (stop_reply_fields, bt_stop_reply_t);

static const bt_field_t release_request_fields[] = {
  { "owner", BT_FIELD_STRING, offsetof (bt_release_request_t, owner), TRUE, 1, ID_MAX_BYTES },
  { "epoch", BT_FIELD_INT, offsetof (bt_release_request_t, epoch), TRUE, 0, G_MAXINT64 },
};

const bt_schema_t bt_release_request_schema
    = BT_SCHEMA (release_request_fields, bt_release_request_t);
