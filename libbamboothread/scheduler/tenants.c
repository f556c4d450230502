#include "libbamboothread/scheduler/tenants.h"

/**
 * struct bts_tenants_t - the tenants of one version of the tables
 * @by_name: name to bts_tenant_t
 * @by_key: key to bts_tenant_t
 */
struct bts_tenants_t
{
  GHashTable *by_name;
  GHashTable *by_key;
};

static void
tenant_free (gpointer data)
{
  bts_tenant_t *tenant = data;
  g_free (tenant->name);
  g_ptr_array_unref (tenant->keys);
  g_free (tenant);
}

bts_tenants_t *
bts_tenants_new (void)
{
  bts_tenants_t *tenants = g_new0 (bts_tenants_t, 1);
  tenants->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tenant_free);
  tenants->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  return tenants;
}

void
bts_tenants_free (bts_tenants_t *tenants)
{
  g_hash_table_unref (tenants->by_key);
  g_hash_table_unref (tenants->by_name);
  g_free (tenants);
}

/**
 * bts_tenants_add() - add a tenant
 * @tenants: the tenants
 * @name: its name
 *
 * Return: the new tenant, without keys and caps, or the one that has this name already.
 */
bts_tenant_t *
bts_tenants_add (bts_tenants_t *tenants, const char *name)
{
  bts_tenant_t *tenant = g_hash_table_lookup (tenants->by_name, name);
  if (tenant != NULL)
    return tenant;
  tenant = g_new0 (bts_tenant_t, 1);
  tenant->name = g_strdup (name);
  tenant->keys = g_ptr_array_new_with_free_func (g_free);
  tenant->weight = 1.0;
  g_hash_table_insert (tenants->by_name, tenant->name, tenant);
  return tenant;
}

/**
 * bts_tenants_add_key() - add an API key of a tenant
 * @tenants: the tenants
 * @tenant: one of them
 * @key: the key; if two tenants have it, it belongs to the first
 */
void
bts_tenants_add_key (bts_tenants_t *tenants, bts_tenant_t *tenant, const char *key)
{
  if (g_hash_table_contains (tenants->by_key, key))
    return;
  char *copy = g_strdup (key);
  g_ptr_array_add (tenant->keys, copy);
  g_hash_table_insert (tenants->by_key, copy, tenant);
}

/**
 * bts_tenants_foreach() - call a function for each tenant
 * @tenants: the tenants
 * @visit: the function
 * @context: passed to @visit
 */
void
bts_tenants_foreach (const bts_tenants_t *tenants,
                     void (*visit) (const bts_tenant_t *tenant, gpointer context), gpointer context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, tenants->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, context);
}

guint
bts_tenants_count (const bts_tenants_t *tenants)
{
  return g_hash_table_size (tenants->by_name);
}

/**
 * bts_tenants_find() - find a tenant by its name
 * @tenants: the tenants
 * @name: the name
 *
 * Return: the tenant, or NULL.
 */
const bts_tenant_t *
bts_tenants_find (const bts_tenants_t *tenants, const char *name)
{
  return g_hash_table_lookup (tenants->by_name, name);
}

/**
 * bts_tenants_find_by_key() - find the tenant whose callers use a key
 * @tenants: the tenants
 * @key: the key; NULL if the request has none
 *
 * Return: the tenant, or NULL.
 */
const bts_tenant_t *
bts_tenants_find_by_key (const bts_tenants_t *tenants, const char *key)
{
  return key == NULL ? NULL : g_hash_table_lookup (tenants->by_key, key);
}
