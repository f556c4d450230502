#include "libbamboothread/request/record.h"

#define ID_MAX_BYTES 192
#define ANSWER_BASE64_MAX_BYTES (4 * BT_ANSWER_MAX_BYTES / 3 + 4)

static const char *const type_names[]
    = { "lead", "accepted", "attempt", "abandoned", "ended", "cancel", "task-ended", NULL };

static const bt_field_t record_fields[] = {
  { "id", BT_FIELD_STRING, offsetof (bt_record_t, id), TRUE, 1, ID_MAX_BYTES },
  { "type", BT_FIELD_ENUM, offsetof (bt_record_t, type), TRUE, 0, 0, 0, type_names },
  { "term", BT_FIELD_INT, offsetof (bt_record_t, term), FALSE, 0, G_MAXINT64 },
  { "job", BT_FIELD_STRING, offsetof (bt_record_t, job), FALSE, 1, ID_MAX_BYTES },
  { "owner", BT_FIELD_STRING, offsetof (bt_record_t, owner), FALSE, 1, ID_MAX_BYTES },
  { "route", BT_FIELD_STRING, offsetof (bt_record_t, route), FALSE, 1, 64 },
  { "request", BT_FIELD_OBJECT, offsetof (bt_record_t, request), FALSE, 0, 0, 0, NULL,
    &bt_request_schema },
  { "task", BT_FIELD_INT, offsetof (bt_record_t, task), FALSE, 0, 1 << 20 },
  { "attempt", BT_FIELD_STRING, offsetof (bt_record_t, attempt), FALSE, 1, ID_MAX_BYTES },
  { "worker", BT_FIELD_STRING, offsetof (bt_record_t, worker), FALSE, 1, 64 },
  { "status", BT_FIELD_ENUM, offsetof (bt_record_t, status), FALSE, 0, 0, 0, bt_status_names },
  { "reason", BT_FIELD_ENUM, offsetof (bt_record_t, reason), FALSE, 0, 0, 0, bt_reason_names },
  { "again", BT_FIELD_BOOL, offsetof (bt_record_t, is_rewrite), FALSE, 0, 0 },
  { "answer", BT_FIELD_STRING, offsetof (bt_record_t, answer), FALSE, 0, ANSWER_BASE64_MAX_BYTES },
};

const bt_schema_t bt_record_schema = BT_SCHEMA (record_fields, bt_record_t);
