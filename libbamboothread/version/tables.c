#include "libbamboothread/version/tables.h"

#include <string.h>

const char *const bt_class_names[] = { "urgent", "service", "batch", "best-effort", NULL };
static const char *const partition_names[] = { "stay", NULL };
static const char *const log_outage_names[] = { "refuse", "hold", NULL };

#define NAME_MAX_BYTES 64
#define DEADLINE_MAX_MS (7 * 24 * 3600 * 1000LL)
#define DEADLINE_DEFAULT_MS 60000
#define POOL_MAX_VMS 4096
#define DRAIN_MAX_MS (24 * 3600 * 1000LL)
#define DRAIN_DEFAULT_MS 120000
#define TABLE_MAX_LINES 1024

static const bt_field_t route_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bt_route_t, name), TRUE, 1, NAME_MAX_BYTES },
  { "callers", BT_FIELD_STRINGS, offsetof (bt_route_t, callers), TRUE, 1, 256 },
  { "work", BT_FIELD_STRING, offsetof (bt_route_t, work), FALSE, 1, NAME_MAX_BYTES },
  { "team", BT_FIELD_STRING, offsetof (bt_route_t, team), TRUE, 1, NAME_MAX_BYTES },
  { "class", BT_FIELD_ENUM, offsetof (bt_route_t, work_class), TRUE, 0, 0, 0, bt_class_names },
  { "pool", BT_FIELD_STRING, offsetof (bt_route_t, pool), TRUE, 1, NAME_MAX_BYTES },
  { "idempotent", BT_FIELD_BOOL, offsetof (bt_route_t, idempotent), TRUE },
  { "deadline_ms", BT_FIELD_INT, offsetof (bt_route_t, deadline_ms), FALSE, 1, DEADLINE_MAX_MS,
    DEADLINE_DEFAULT_MS },
  { "retries", BT_FIELD_INT, offsetof (bt_route_t, max_retries), FALSE, 0, 100, 2 },
  { "queue_limit", BT_FIELD_INT, offsetof (bt_route_t, queue_limit), FALSE, 1, 100000, 1000 },
  { "packing", BT_FIELD_DOUBLE, offsetof (bt_route_t, packing_weight), FALSE, 0, 1000, 1 },
  { "waiting", BT_FIELD_DOUBLE, offsetof (bt_route_t, waiting_weight), FALSE, 0, 1000, 1 },
  { "rack_spread", BT_FIELD_BOOL, offsetof (bt_route_t, rack_spread) },
  { "partition", BT_FIELD_ENUM, offsetof (bt_route_t, partition_policy), FALSE, 0, 0,
    BT_PARTITION_STAY, partition_names },
  { "on_log_outage", BT_FIELD_ENUM, offsetof (bt_route_t, on_log_outage), FALSE, 0, 0,
    BT_LOG_OUTAGE_REFUSE, log_outage_names },
};

const bt_schema_t bt_route_schema = BT_SCHEMA (route_fields, bt_route_t);

static const bt_field_t vm_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bt_vm_t, name), TRUE, 1, NAME_MAX_BYTES },
  { "address", BT_FIELD_STRING, offsetof (bt_vm_t, address), TRUE, 1, NAME_MAX_BYTES },
  { "data_centre", BT_FIELD_STRING, offsetof (bt_vm_t, data_centre), TRUE, 1, NAME_MAX_BYTES },
  { "rack", BT_FIELD_STRING, offsetof (bt_vm_t, rack), TRUE, 1, NAME_MAX_BYTES },
  { "cpus", BT_FIELD_INT, offsetof (bt_vm_t, cpus), TRUE, 1, 4096 },
  { "memory_mb", BT_FIELD_INT, offsetof (bt_vm_t, memory_mb), TRUE, 1, 1 << 26 },
  { "gpus", BT_FIELD_INT, offsetof (bt_vm_t, gpus), FALSE, 0, 64, 0 },
};

static const bt_schema_t vm_schema = BT_SCHEMA (vm_fields, bt_vm_t);

static const bt_field_t quota_fields[] = {
  { "team", BT_FIELD_STRING, offsetof (bt_quota_t, team), TRUE, 1, NAME_MAX_BYTES },
  { "weight", BT_FIELD_INT, offsetof (bt_quota_t, weight), FALSE, 1, 1000, 1 },
  { "cpus", BT_FIELD_INT, offsetof (bt_quota_t, cpus), TRUE, 0, 1 << 24 },
  { "memory_mb", BT_FIELD_INT, offsetof (bt_quota_t, memory_mb), TRUE, 0, 1LL << 36 },
  { "gpus", BT_FIELD_INT, offsetof (bt_quota_t, gpus), FALSE, 0, 1 << 20, 0 },
  { "borrow", BT_FIELD_BOOL, offsetof (bt_quota_t, may_borrow), FALSE, 0, 0, TRUE },
};

static const bt_schema_t quota_schema = BT_SCHEMA (quota_fields, bt_quota_t);

static const bt_field_t pool_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bt_pool_t, name), TRUE, 1, NAME_MAX_BYTES },
  { "slots", BT_FIELD_INT, offsetof (bt_pool_t, slots), FALSE, 1, 1024, 8 },
  { "connections", BT_FIELD_INT, offsetof (bt_pool_t, connections), FALSE, 1, 65536, 64 },
  { "urgent_reserve_percent", BT_FIELD_INT, offsetof (bt_pool_t, urgent_reserve_percent), FALSE, 0,
    90, 0 },
  { "drain_ms", BT_FIELD_INT, offsetof (bt_pool_t, drain_ms), FALSE, 0, DRAIN_MAX_MS,
    DRAIN_DEFAULT_MS },
  { "vms", BT_FIELD_OBJECTS, offsetof (bt_pool_t, vms), TRUE, 0, POOL_MAX_VMS, 0, NULL,
    &vm_schema },
  { "quotas", BT_FIELD_OBJECTS, offsetof (bt_pool_t, quotas), FALSE, 0, TABLE_MAX_LINES, 0, NULL,
    &quota_schema },
};

const bt_schema_t bt_pool_schema = BT_SCHEMA (pool_fields, bt_pool_t);

static const bt_field_t tables_fields[] = {
  { "routes", BT_FIELD_OBJECTS, offsetof (bt_tables_t, routes), TRUE, 0, TABLE_MAX_LINES, 0, NULL,
    &bt_route_schema },
  { "pools", BT_FIELD_OBJECTS, offsetof (bt_tables_t, pools), TRUE, 0, TABLE_MAX_LINES, 0, NULL,
    &bt_pool_schema },
};

const bt_schema_t bt_tables_schema = BT_SCHEMA (tables_fields, bt_tables_t);

/**
 * bt_resources_fit() - whether a need fits into what is available, in every dimension
 * @need: the resources needed
 * @available: the resources available
 *
 * Return: TRUE if it fits.
 */
gboolean
bt_resources_fit (const bt_resources_t *need, const bt_resources_t *available)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (need->v[i] > available->v[i])
      return FALSE;
  return TRUE;
}

/**
 * bt_resources_add() - add to a resource vector
 * @total: the vector that is added to
 * @amount: the vector to add
 */
void
bt_resources_add (bt_resources_t *total, const bt_resources_t *amount)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    total->v[i] += amount->v[i];
}

/**
 * bt_resources_subtract() - subtract from a resource vector
 * @total: the vector that is subtracted from
 * @amount: the vector to subtract
 */
void
bt_resources_subtract (bt_resources_t *total, const bt_resources_t *amount)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    total->v[i] -= amount->v[i];
}

static void
check_unique (GHashTable *seen, const char *name, const char *path, bt_report_t *report)
{
  if (name == NULL)
    return;
  if (g_hash_table_add (seen, (gpointer)name))
    return;
  g_autofree char *found = g_strdup_printf ("duplicate \"%s\"", name);
  bt_report_add (report, path, "a unique value", found);
}

static gboolean
is_address_valid (const char *address)
{
  const char *colon = strrchr (address, ':');
  guint64 port = 0;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return FALSE;
  g_autofree char *host = g_strndup (address, (gsize)(colon - address));
  return g_hostname_is_ip_address (host);
}

static void
check_pool (const bt_pool_t *pool, guint index, GHashTable *vms, GHashTable *addresses,
            bt_report_t *report)
{
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      g_autofree char *path = g_strdup_printf ("$.pools[%u].vms[%u].name", index, i);
      check_unique (vms, vm->name, path, report);
      g_autofree char *address_path = g_strdup_printf ("$.pools[%u].vms[%u].address", index, i);
      check_unique (addresses, vm->address, address_path, report);
      if (vm->address != NULL && !is_address_valid (vm->address))
        bt_report_add (report, address_path, "IP:port", vm->address);
    }
  g_autoptr (GHashTable) teams = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < pool->quotas->len; i++)
    {
      const bt_quota_t *quota = pool->quotas->pdata[i];
      g_autofree char *path = g_strdup_printf ("$.pools[%u].quotas[%u].team", index, i);
      check_unique (teams, quota->team, path, report);
    }
}

/**
 * bt_tables_check() - check unique names and addresses, and references between the tables
 * @tables: tables that conform to their schema
 * @report: receives all validation errors
 */
void
bt_tables_check (const bt_tables_t *tables, bt_report_t *report)
{
  g_autoptr (GHashTable) pools = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) vms = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) addresses = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < tables->pools->len; i++)
    {
      const bt_pool_t *pool = tables->pools->pdata[i];
      g_autofree char *path = g_strdup_printf ("$.pools[%u].name", i);
      check_unique (pools, pool->name, path, report);
      check_pool (pool, i, vms, addresses, report);
    }
  g_autoptr (GHashTable) routes = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < tables->routes->len; i++)
    {
      const bt_route_t *route = tables->routes->pdata[i];
      g_autofree char *path = g_strdup_printf ("$.routes[%u].name", i);
      check_unique (routes, route->name, path, report);
      g_autofree char *pool_path = g_strdup_printf ("$.routes[%u].pool", i);
      if (route->pool != NULL && !g_hash_table_contains (pools, route->pool))
        bt_report_add (report, pool_path, "the name of a pool", route->pool);
    }
}

/**
 * bt_tables_parse() - parse and check both tables
 * @data: JSON text
 * @len: its length in bytes
 * @report: receives the validation errors; those of bt_tables_check() only if the text conforms
 *   to the schema
 *
 * Return: the tables, or NULL if @report has errors.
 */
bt_tables_t *
bt_tables_parse (const char *data, gsize len, bt_report_t *report)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) node = bt_json_parse (data, len, &error);
  if (node == NULL)
    {
      bt_report_add (report, "$", "JSON", error->message);
      return NULL;
    }
  bt_tables_t *tables = bt_schema_read (&bt_tables_schema, node, "$", report);
  if (tables != NULL && bt_report_is_empty (report))
    bt_tables_check (tables, report);
  if (bt_report_is_empty (report))
    return tables;
  bt_tables_free (tables);
  return NULL;
}

/**
 * bt_tables_copy() - make a deep copy
 * @tables: the tables
 *
 * Return: the copy, freed with bt_tables_free().
 */
bt_tables_t *
bt_tables_copy (const bt_tables_t *tables)
{
  return bt_schema_copy (&bt_tables_schema, tables);
}

/**
 * bt_tables_free() - free tables
 * @tables: the tables, or NULL
 */
void
bt_tables_free (bt_tables_t *tables)
{
  bt_schema_free (&bt_tables_schema, tables);
}

/**
 * bt_tables_to_bytes() - write tables as JSON text
 * @tables: the tables
 * @pretty: whether to use line breaks and indentation
 *
 * Return: the text.
 */
GBytes *
bt_tables_to_bytes (const bt_tables_t *tables, gboolean pretty)
{
  g_autoptr (JsonNode) node = bt_schema_to_json (&bt_tables_schema, tables);
  return bt_json_to_bytes (node, pretty);
}

/**
 * bt_tables_find_route() - find a route by its name
 * @tables: the tables
 * @name: the route's name
 *
 * Return: the route, or NULL.
 */
const bt_route_t *
bt_tables_find_route (const bt_tables_t *tables, const char *name)
{
  for (guint i = 0; i < tables->routes->len; i++)
    {
      const bt_route_t *route = tables->routes->pdata[i];
      if (strcmp (route->name, name) == 0)
        return route;
    }
  return NULL;
}

static gboolean
caller_matches (const char *pattern, const char *caller)
{
  gsize len = strlen (pattern);
  if (len > 0 && pattern[len - 1] == '*')
    return strncmp (pattern, caller, len - 1) == 0;
  return strcmp (pattern, caller) == 0;
}

/**
 * bt_tables_match_route() - find the first route that matches a request
 * @tables: the tables
 * @caller: the caller's name
 * @work: the work's name
 *
 * Return: the route, or NULL.
 */
const bt_route_t *
bt_tables_match_route (const bt_tables_t *tables, const char *caller, const char *work)
{
  for (guint i = 0; i < tables->routes->len; i++)
    {
      const bt_route_t *route = tables->routes->pdata[i];
      if (route->work != NULL && strcmp (route->work, work) != 0)
        continue;
      for (guint k = 0; k < route->callers->len; k++)
        if (caller_matches (route->callers->pdata[k], caller))
          return route;
    }
  return NULL;
}

/**
 * bt_tables_find_pool() - find a pool by its name
 * @tables: the tables
 * @name: the pool's name
 *
 * Return: the pool, or NULL.
 */
const bt_pool_t *
bt_tables_find_pool (const bt_tables_t *tables, const char *name)
{
  for (guint i = 0; i < tables->pools->len; i++)
    {
      const bt_pool_t *pool = tables->pools->pdata[i];
      if (strcmp (pool->name, name) == 0)
        return pool;
    }
  return NULL;
}

/**
 * bt_tables_find_vm() - find a VM by its name
 * @tables: the tables
 * @name: the VM's name
 *
 * Return: the VM, or NULL.
 */
const bt_vm_t *
bt_tables_find_vm (const bt_tables_t *tables, const char *name)
{
  for (guint i = 0; i < tables->pools->len; i++)
    {
      const bt_pool_t *pool = tables->pools->pdata[i];
      for (guint k = 0; k < pool->vms->len; k++)
        {
          const bt_vm_t *vm = pool->vms->pdata[k];
          if (strcmp (vm->name, name) == 0)
            return vm;
        }
    }
  return NULL;
}

/**
 * bt_pool_in_data_centre() - whether a pool has a VM in a data centre
 * @pool: the pool
 * @data_centre: the data centre's name
 *
 * Return: TRUE if it has one.
 */
gboolean
bt_pool_in_data_centre (const bt_pool_t *pool, const char *data_centre)
{
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      if (strcmp (vm->data_centre, data_centre) == 0)
        return TRUE;
    }
  return FALSE;
}

/**
 * bt_pool_vm_capacity() - get the total resources of a VM
 * @pool: the VM's pool
 * @vm: the VM
 * @capacity: set to its resources
 */
void
bt_pool_vm_capacity (const bt_pool_t *pool, const bt_vm_t *vm, bt_resources_t *capacity)
{
  capacity->v[BT_RESOURCE_MCPUS] = vm->cpus * 1000;
  capacity->v[BT_RESOURCE_MEMORY_MB] = vm->memory_mb;
  capacity->v[BT_RESOURCE_GPUS] = vm->gpus;
  capacity->v[BT_RESOURCE_SLOTS] = pool->slots;
  capacity->v[BT_RESOURCE_CONNECTIONS] = pool->connections;
}
