#ifndef BT_BASE_SETTINGS_H
#define BT_BASE_SETTINGS_H

#include "libbamboothread/base/schema.h"

/**
 * struct bt_settings_t - settings of a daemon, from its JSON file
 * @address: IP:port for its peers
 * @http: IP:port for callers and operators
 * @log: IP:port of the platform's log
 * @vm_list: IP:port of the platform's list of VMs, or NULL
 * @seeds: addresses of peers to begin with
 */
typedef struct
{
  GRefString *name;
  GRefString *address;
  GRefString *http;
  GRefString *data_centre;
  GRefString *region;
  GRefString *log;
  GRefString *vm_list;
  GPtrArray *seeds;
  gint64 heartbeat_ms;
  gint64 suspect_ms;
  gint64 lease_ms;
  gint64 task_lease_ms;
  gint64 drift_ms;
  gint64 call_timeout_ms;
  gint64 retention_ms;
  gint64 snapshot_ms;
  gint64 append_interval_ms;
  gint log_level;
} bt_settings_t;

bt_settings_t *bt_settings_load (const char *file, bt_report_t *report);
void bt_settings_free (bt_settings_t *settings);

#endif
