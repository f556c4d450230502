#ifndef BTS_TENANTS_H
#define BTS_TENANTS_H

#include <glib.h>

/*
 * The tenants of one version of the operators' tables and the API keys of their callers.
 */

/**
 * struct bts_tenant_t - a tenant
 * @name: its name, which stays the same in all versions
 * @keys: API keys of its callers
 * @version: version of the tables that it is from
 * @weight: its share of the workers when all are full; also the submissions a second beyond which
 *   its jobs are in excess
 * @cap_cpu_millis: CPU that its tasks may have across all workers; 0 for no limit
 * @cap_memory_mb: the same for memory
 * @cap_gpus: the same for GPUs
 */
typedef struct
{
  char *name;
  GPtrArray *keys;
  gint64 version;
  double weight;
  gint64 cap_cpu_millis;
  gint64 cap_memory_mb;
  gint64 cap_gpus;
} bts_tenant_t;

typedef struct bts_tenants_t bts_tenants_t;

bts_tenants_t *bts_tenants_new (void);
void bts_tenants_free (bts_tenants_t *tenants);
bts_tenant_t *bts_tenants_add (bts_tenants_t *tenants, const char *name);
void bts_tenants_add_key (bts_tenants_t *tenants, bts_tenant_t *tenant, const char *key);
void bts_tenants_foreach (const bts_tenants_t *tenants,
                          void (*visit) (const bts_tenant_t *tenant, gpointer context),
                          gpointer context);
guint bts_tenants_count (const bts_tenants_t *tenants);
const bts_tenant_t *bts_tenants_find (const bts_tenants_t *tenants, const char *name);
const bts_tenant_t *bts_tenants_find_by_key (const bts_tenants_t *tenants, const char *key);

#endif
