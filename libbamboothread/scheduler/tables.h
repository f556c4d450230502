#ifndef BTS_TABLES_H
#define BTS_TABLES_H

#include <glib.h>

/*
 * The operators' tables as the scheduler uses them: routes and pools.
 */

/**
 * struct bts_route_t - one line of the routes table
 * @host: host name that callers give, in lower case
 * @prefix: beginning of the paths, ends in a slash
 * @service: the pool whose workers run its jobs
 * @priority: 0 comes first
 * @attempts_max: failed runs after which a task has failed for good
 * @stretch: the objective allows this many times the longest chain of work
 * @objective_ms: and this much more
 * @advised: an advice service says which workers may run a step
 * @advice_ms: time of one call to it
 * @advice_worker_ms: and this much more for each worker named
 * @advice_validity_ms: how long a ticket holds
 */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  guint priority;
  guint attempts_max;
  double stretch;
  guint objective_ms;
  gboolean advised;
  double advice_ms;
  double advice_worker_ms;
  guint advice_validity_ms;
} bts_route_t;

/**
 * struct bts_tables_t - one version of the tables
 * @routes: bts_route_t
 * @max_body_bytes: most bytes of a request's body
 */
typedef struct
{
  gint64 version;
  GPtrArray *routes;
  gsize max_body_bytes;
} bts_tables_t;

bts_tables_t *bts_tables_new (void);
void bts_tables_free (bts_tables_t *manifest);
const bts_route_t *bts_tables_find_route (const bts_tables_t *manifest, const char *host,
                                          const char *path);
void bts_route_free (bts_route_t *route);

#endif
