#ifndef BT_VERSION_TABLES_H
#define BT_VERSION_TABLES_H

#include "libbamboothread/base/schema.h"

/**
 * enum bt_class_t - urgency of work, most urgent first
 */
typedef enum
{
  BT_CLASS_URGENT,
  BT_CLASS_SERVICE,
  BT_CLASS_BATCH,
  BT_CLASS_BEST_EFFORT,
  BT_N_CLASSES,
} bt_class_t;

extern const char *const bt_class_names[];

/**
 * enum bt_resource_t - dimensions of a resource vector
 * @BT_RESOURCE_MCPUS: thousandths of a CPU
 * @BT_RESOURCE_MEMORY_MB: MiB of memory
 * @BT_RESOURCE_GPUS: whole GPUs
 * @BT_RESOURCE_SLOTS: slots, one for each task
 * @BT_RESOURCE_CONNECTIONS: connections to the VM
 */
typedef enum
{
  BT_RESOURCE_MCPUS,
  BT_RESOURCE_MEMORY_MB,
  BT_RESOURCE_GPUS,
  BT_RESOURCE_SLOTS,
  BT_RESOURCE_CONNECTIONS,
  BT_N_RESOURCES,
} bt_resource_t;

/**
 * struct bt_resources_t - resource vector
 * @v: amounts, indexed by &enum bt_resource_t
 */
typedef struct
{
  gint64 v[BT_N_RESOURCES];
} bt_resources_t;

gboolean bt_resources_fit (const bt_resources_t *need, const bt_resources_t *available);
void bt_resources_add (bt_resources_t *total, const bt_resources_t *amount);
void bt_resources_subtract (bt_resources_t *total, const bt_resources_t *amount);

/**
 * enum bt_partition_policy_t - handling of a job whose home data centre can't be reached
 * @BT_PARTITION_STAY: its home keeps running it, and no other data centre takes it over
 */
typedef enum
{
  BT_PARTITION_STAY,
} bt_partition_policy_t;

/**
 * enum bt_log_outage_policy_t - handling of new durable requests while the log is unavailable
 * @BT_LOG_OUTAGE_REFUSE: refuse them and say when to retry
 * @BT_LOG_OUTAGE_HOLD: accept them and report that they are held in memory only
 */
typedef enum
{
  BT_LOG_OUTAGE_REFUSE,
  BT_LOG_OUTAGE_HOLD,
} bt_log_outage_policy_t;

/**
 * struct bt_route_t - one line of the table of routes
 * @name: its name, unique in the table
 * @callers: names of callers that it matches; a final * matches any suffix
 * @work: name of the work that it matches, or NULL for any
 * @team: team whose quota the work uses
 * @work_class: urgency, an &enum bt_class_t
 * @pool: name of the pool whose VMs run the work
 * @idempotent: whether the work may be run more than once
 * @deadline_ms: time from request to start, in milliseconds
 * @max_retries: most further attempts after a failed one
 * @queue_limit: most requests of this route that are queued in a data centre
 * @packing_weight: weight of tight packing in the choice of a VM
 * @waiting_weight: weight of an early start in the choice of a VM
 * @rack_spread: whether tasks of a job avoid sharing a rack
 * @partition_policy: an &enum bt_partition_policy_t
 * @on_log_outage: an &enum bt_log_outage_policy_t
 */
typedef struct
{
  GRefString *name;
  GPtrArray *callers;
  GRefString *work;
  GRefString *team;
  gint work_class;
  GRefString *pool;
  gboolean idempotent;
  gint64 deadline_ms;
  gint64 max_retries;
  gint64 queue_limit;
  double packing_weight;
  double waiting_weight;
  gboolean rack_spread;
  gint partition_policy;
  gint on_log_outage;
} bt_route_t;

/**
 * struct bt_vm_t - a VM of a pool
 * @address: host:port of its worker
 */
typedef struct
{
  GRefString *name;
  GRefString *address;
  GRefString *data_centre;
  GRefString *rack;
  gint64 cpus;
  gint64 memory_mb;
  gint64 gpus;
} bt_vm_t;

/**
 * struct bt_quota_t - what a team may use of a pool, in all data centres together
 * @weight: its share when teams compete
 * @may_borrow: whether it may use what other teams leave idle
 */
typedef struct
{
  GRefString *team;
  gint64 weight;
  gint64 cpus;
  gint64 memory_mb;
  gint64 gpus;
  gboolean may_borrow;
} bt_quota_t;

/**
 * struct bt_pool_t - one line of the table of pools
 * @slots: most tasks on a VM
 * @connections: most connections to a VM
 * @urgent_reserve_percent: share of each VM that only urgent work may use
 * @drain_ms: time for batch work on a leaving VM to end by itself before idempotent tasks are
 *   moved, in milliseconds
 */
typedef struct
{
  GRefString *name;
  gint64 slots;
  gint64 connections;
  gint64 urgent_reserve_percent;
  gint64 drain_ms;
  GPtrArray *vms;
  GPtrArray *quotas;
} bt_pool_t;

/**
 * struct bt_tables_t - both tables in one version
 */
typedef struct
{
  GPtrArray *routes;
  GPtrArray *pools;
} bt_tables_t;

extern const bt_schema_t bt_route_schema;
extern const bt_schema_t bt_pool_schema;
extern const bt_schema_t bt_tables_schema;

bt_tables_t *bt_tables_parse (const char *data, gsize len, bt_report_t *report);
bt_tables_t *bt_tables_copy (const bt_tables_t *tables);
void bt_tables_free (bt_tables_t *tables);
void bt_tables_check (const bt_tables_t *tables, bt_report_t *report);
GBytes *bt_tables_to_bytes (const bt_tables_t *tables, gboolean pretty);

const bt_route_t *bt_tables_find_route (const bt_tables_t *tables, const char *name);
const bt_route_t *bt_tables_match_route (const bt_tables_t *tables, const char *caller,
                                         const char *work);
const bt_pool_t *bt_tables_find_pool (const bt_tables_t *tables, const char *name);
const bt_vm_t *bt_tables_find_vm (const bt_tables_t *tables, const char *name);
gboolean bt_pool_in_data_centre (const bt_pool_t *pool, const char *data_centre);
void bt_pool_vm_capacity (const bt_pool_t *pool, const bt_vm_t *vm, bt_resources_t *capacity);

#endif
