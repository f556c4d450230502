#ifndef BT_BASE_SETTINGS_H
#define BT_BASE_SETTINGS_H

#include "libbamboothread/base/schema.h"

/**
 * struct bt_settings_t - settings of a daemon, from its JSON file
 * @name: name of the daemon, unique among all daemons that share the log
 * @address: IP:port at which peers reach it
 * @http: IP:port at which callers and operators reach it
 * @log: IP:port of the platform's log
 * @vm_list: IP:port of the platform's list of VMs, or NULL
 * @seeds: addresses of the first peers to contact
 * @heartbeat_ms: interval of heartbeats to a peer
 * @suspect_ms: silence after which a peer is suspected to be dead
 * @lease_ms: how long an owner holds a worker without renewal
 * @task_lease_ms: how long a worker goes on running attempts without renewal of their lease
 * @drift_ms: maximum drift between two clocks over a lease
 * @call_timeout_ms: timeout of a call to a worker or the log
 * @retention_ms: how long an ended job is remembered
 * @snapshot_ms: interval in which everything that the log has to keep is appended again
 * @append_interval_ms: minimum interval between appends to the log
 * @log_level: index into "error", "warning", "notice", "info", "debug"
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
