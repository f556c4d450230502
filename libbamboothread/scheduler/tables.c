#include "libbamboothread/scheduler/tables.h"

#include <string.h>

void
bts_route_free (bts_route_t *route)
{
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->service);
  g_free (route);
}

/**
 * bts_tables_new() - create empty tables
 */
bts_tables_t *
bts_tables_new (void)
{
  bts_tables_t *tables = g_new0 (bts_tables_t, 1);
  tables->tenants = bts_tenants_new ();
  tables->routes = g_ptr_array_new_with_free_func ((GDestroyNotify)bts_route_free);
  return tables;
}

void
bts_tables_free (bts_tables_t *tables)
{
  if (tables == NULL)
    return;
  g_ptr_array_unref (tables->routes);
  bts_tenants_free (tables->tenants);
  g_free (tables);
}

/**
 * bts_tables_find_route() - find the route of a request
 * @tables: the tables
 * @host: host name of the request, in lower case, without a port
 * @path: path of the request, without a query
 *
 * Return: the route of that host with the longest matching prefix, or NULL.
 */
const bts_route_t *
bts_tables_find_route (const bts_tables_t *tables, const char *host, const char *path)
{
  const bts_route_t *best = NULL;
  gsize best_len = 0;
  for (guint i = 0; i < tables->routes->len; i++)
    {
      const bts_route_t *route = tables->routes->pdata[i];
      gsize len = strlen (route->prefix);
      if (strcmp (route->host, host) != 0 || strncmp (path, route->prefix, len) != 0)
        continue;
      if (best == NULL || len > best_len)
        {
          best = route;
          best_len = len;
        }
    }
  return best;
}
