#include "libbamboothread/base/settings.h"

#include "libbamboothread/base/log.h"

#define MINUTE_MS 60000

static const char *const log_level_names[]
    = { "error", "warning", "notice", "info", "debug", NULL };

#define LOG_LEVEL_DEFAULT 3

static const bt_field_t settings_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bt_settings_t, name), TRUE, 1, 64 },
  { "address", BT_FIELD_STRING, offsetof (bt_settings_t, address), TRUE, 3, 64 },
  { "http", BT_FIELD_STRING, offsetof (bt_settings_t, http), TRUE, 3, 64 },
  { "data_centre", BT_FIELD_STRING, offsetof (bt_settings_t, data_centre), TRUE, 1, 64 },
  { "region", BT_FIELD_STRING, offsetof (bt_settings_t, region), TRUE, 1, 64 },
  { "log", BT_FIELD_STRING, offsetof (bt_settings_t, log), TRUE, 3, 64 },
  { "vm_list", BT_FIELD_STRING, offsetof (bt_settings_t, vm_list), FALSE, 3, 64 },
  { "seeds", BT_FIELD_STRINGS, offsetof (bt_settings_t, seeds), FALSE, 0, 256 },
  { "heartbeat_ms", BT_FIELD_INT, offsetof (bt_settings_t, heartbeat_ms), FALSE, 10, MINUTE_MS,
    500 },
  { "suspect_ms", BT_FIELD_INT, offsetof (bt_settings_t, suspect_ms), FALSE, 50, MINUTE_MS, 2000 },
  { "lease_ms", BT_FIELD_INT, offsetof (bt_settings_t, lease_ms), FALSE, 100, MINUTE_MS, 3000 },
  { "task_lease_ms", BT_FIELD_INT, offsetof (bt_settings_t, task_lease_ms), FALSE, 200,
    10 * MINUTE_MS, 8000 },
  { "drift_ms", BT_FIELD_INT, offsetof (bt_settings_t, drift_ms), FALSE, 1, MINUTE_MS, 100 },
  { "call_timeout_ms", BT_FIELD_INT, offsetof (bt_settings_t, call_timeout_ms), FALSE, 50,
    MINUTE_MS, 2000 },
  { "retention_ms", BT_FIELD_INT, offsetof (bt_settings_t, retention_ms), FALSE, 1000,
    24 * 60 * MINUTE_MS, 10 * MINUTE_MS },
  { "snapshot_ms", BT_FIELD_INT, offsetof (bt_settings_t, snapshot_ms), FALSE, MINUTE_MS,
    7 * 24 * 60 * MINUTE_MS, 60 * MINUTE_MS },
  { "append_interval_ms", BT_FIELD_INT, offsetof (bt_settings_t, append_interval_ms), FALSE, 0,
    MINUTE_MS, 50 },
  { "log_level", BT_FIELD_ENUM, offsetof (bt_settings_t, log_level), FALSE, 0, 0, LOG_LEVEL_DEFAULT,
    log_level_names },
};

static const bt_schema_t settings_schema = BT_SCHEMA (settings_fields, bt_settings_t);

static void
check_durations (const bt_settings_t *settings, bt_report_t *report)
{
  if (settings->lease_ms <= 2 * settings->drift_ms)
    bt_report_add (report, "$.lease_ms", "more than twice drift_ms", "a value no greater");
  if (settings->task_lease_ms < 2 * settings->lease_ms)
    bt_report_add (report, "$.task_lease_ms", "at least twice lease_ms", "a smaller value");
  if (settings->suspect_ms < 2 * settings->heartbeat_ms)
    bt_report_add (report, "$.suspect_ms", "at least twice heartbeat_ms", "a smaller value");
}

/**
 * bt_settings_load() - read and validate a settings file
 * @file: its path
 * @report: receives all errors
 *
 * Return: settings to be freed with bt_settings_free(), or NULL if there are errors.
 */
bt_settings_t *
bt_settings_load (const char *file, bt_report_t *report)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *data = NULL;
  gsize len;
  if (!g_file_get_contents (file, &data, &len, &error))
    {
      bt_report_add (report, "$", "a readable file", error->message);
      return NULL;
    }
  g_autoptr (JsonNode) node = bt_json_parse (data, len, &error);
  if (node == NULL)
    {
      bt_report_add (report, "$", "JSON", error->message);
      return NULL;
    }
  bt_settings_t *settings = bt_schema_read (&settings_schema, node, "$", report);
  if (settings != NULL && bt_report_is_empty (report))
    check_durations (settings, report);
  if (bt_report_is_empty (report))
    return settings;
  bt_settings_free (settings);
  return NULL;
}

/**
 * bt_settings_free() - free settings
 * @settings: the settings, or NULL
 */
void
bt_settings_free (bt_settings_t *settings)
{
  bt_schema_free (&settings_schema, settings);
}
