#include "libbamboothread/request/request.h"

const char *const bt_kind_names[] = { "request", "service", "batch", "gang", NULL };

const char *const bt_status_names[]
    = { "accepted", "held", "done", "not-run", "unknown", "failed", "cancelled", "retry", NULL };

const char *const bt_reason_names[] = {
  "none",          "no-route",       "no-pool-member", "never-fits",  "over-quota",
  "queue-full",    "wait-too-long",  "deadline",       "no-owner",    "log-unavailable",
  "cancelled",     "retries-spent",  "owner-lost",     "caller-gone", "task-failed",
  "shutting-down", "tables-changed", "invalid",        "starting",    NULL,
};

static const bt_field_t request_fields[] = {
  { "caller", BT_FIELD_STRING, offsetof (bt_request_t, caller), TRUE, 1, 64 },
  { "work", BT_FIELD_STRING, offsetof (bt_request_t, work), TRUE, 1, 64 },
  { "kind", BT_FIELD_ENUM, offsetof (bt_request_t, kind), TRUE, 0, 0, 0, bt_kind_names },
  { "key", BT_FIELD_STRING, offsetof (bt_request_t, key), FALSE, 1, 128 },
  { "tasks", BT_FIELD_INT, offsetof (bt_request_t, tasks), FALSE, 1, BT_TASKS_MAX, 1 },
  { "mcpus", BT_FIELD_INT, offsetof (bt_request_t, mcpus), FALSE, 1, 4096000, 1000 },
  { "memory_mb", BT_FIELD_INT, offsetof (bt_request_t, memory_mb), FALSE, 1, 1 << 26, 256 },
  { "gpus", BT_FIELD_INT, offsetof (bt_request_t, gpus), FALSE, 0, 64, 0 },
  { "connections", BT_FIELD_INT, offsetof (bt_request_t, connections), FALSE, 0, 65536, 1 },
  { "run_ms", BT_FIELD_INT, offsetof (bt_request_t, run_ms), FALSE, 1, 1LL << 40, 1000 },
  { "deadline_ms", BT_FIELD_INT, offsetof (bt_request_t, deadline_ms), FALSE, 0, 1LL << 40, 0 },
  { "payload", BT_FIELD_STRING, offsetof (bt_request_t, payload), FALSE, 0, BT_PAYLOAD_MAX_BYTES },
};

const bt_schema_t bt_request_schema = BT_SCHEMA (request_fields, bt_request_t);

/**
 * bt_request_get_need() - get the resources that one task of a request takes of a VM
 * @request: the request
 * @need: receives the resources
 */
void
bt_request_get_need (const bt_request_t *request, bt_resources_t *need)
{
  need->v[BT_RESOURCE_MCPUS] = request->mcpus;
  need->v[BT_RESOURCE_MEMORY_MB] = request->memory_mb;
  need->v[BT_RESOURCE_GPUS] = request->gpus;
  need->v[BT_RESOURCE_SLOTS] = 1;
  need->v[BT_RESOURCE_CONNECTIONS] = request->connections;
}

/**
 * bt_request_is_durable() - whether a request survives the loss of the daemons that know it
 * @request: the request
 *
 * Return: FALSE for a short request, whose caller waits for the answer; TRUE for a job.
 */
gboolean
bt_request_is_durable (const bt_request_t *request)
{
  return request->kind != BT_KIND_REQUEST;
}

/**
 * bt_status_is_final() - whether a request has reached its last status
 * @status: the status
 *
 * Return: TRUE if no other status follows.
 */
gboolean
bt_status_is_final (bt_status_t status)
{
  return status != BT_STATUS_ACCEPTED && status != BT_STATUS_HELD && status != BT_STATUS_RETRY;
}
