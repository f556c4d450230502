#ifndef BT_STANDINS_FLEET_H
#define BT_STANDINS_FLEET_H

#include "libbamboothread/process/core_private.h"

/*
 * A core that leads a data centre and holds all its workers, with nothing
 * behind it: for tests and measurements of single decisions.
 */

/**
 * struct bt_fleet_t - a core with idle workers
 * @starts: starts that the core sent
 * @stops: stop messages that the core sent
 * @stopped: attempts that these named
 * @stopped_by: of those, by the way they were to be stopped
 */
typedef struct
{
  bt_core_t *core;
  bt_clock_t clock;
  guint64 counter;
  guint64 starts;
  guint64 stops;
  guint64 stopped;
  guint64 stopped_by[BT_STOP_THROTTLE + 1];
} bt_fleet_t;

void bt_fleet_init (bt_fleet_t *fleet, const bt_tables_t *tables, const char *data_centre,
                    guint32 seed);
void bt_fleet_clear (bt_fleet_t *fleet);
void bt_fleet_apply (bt_fleet_t *fleet, const bt_tables_t *tables);
bt_job_t *bt_fleet_job (bt_fleet_t *fleet, const char *work, const bt_resources_t *need,
                        guint tasks);
bt_attempt_t *bt_fleet_run (bt_fleet_t *fleet, bt_job_t *job, guint task, bt_worker_t *worker);

bt_tables_t *bt_fleet_tables (const char *routes, const char *pools);
char *bt_fleet_pool (const char *name, const char *settings, guint first, guint vms,
                     guint vms_per_rack, const char *size);

#endif
