#ifndef BTS_TABLES_H
#define BTS_TABLES_H

#include "libbamboothread/scheduler/tenants.h"

/*
 * The part of the operators' tables that the scheduler uses: routes, tenants and request limits.
 */

/**
 * struct bts_route_t - a row of the routes table
 * @host: host name of the requests, in lower case
 * @prefix: prefix of the requests' paths; ends in a slash
 * @service: the service whose workers run the jobs of the route
 * @priority: 0 is the most urgent
 * @attempts_max: failed runs after which a task isn't retried
 * @stretch: multiple of the job's critical path that its latency objective allows
 * @objective_ms: constant part of the objective, added to that multiple
 * @advised: whether an advice service decides which workers may run a step
 * @advice_ms: expected duration of a call to that service, without the part for the workers
 * @advice_worker_ms: expected additional duration for each worker in the call
 * @advice_validity_ms: how long a ticket is valid
 * @is_public: whether requests need no key; jobs of such a route belong to no tenant
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
  gboolean is_public;
} bts_route_t;

/**
 * struct bts_tables_t - one version of the tables
 * @routes: array of bts_route_t
 * @tenants: the tenants; none if the deployment has no tenants
 * @max_body_bytes: largest size of a request's body
 * @header_timeout_ms: time for a request's header; 0 if the tables don't set it
 * @idle_timeout_ms: time after which an idle connection is closed; 0 if the tables don't set it
 */
typedef struct
{
  gint64 version;
  GPtrArray *routes;
  bts_tenants_t *tenants;
  gsize max_body_bytes;
  guint header_timeout_ms;
  guint idle_timeout_ms;
} bts_tables_t;

bts_tables_t *bts_tables_new (void);
void bts_tables_free (bts_tables_t *tables);
const bts_route_t *bts_tables_find_route (const bts_tables_t *tables, const char *host,
                                          const char *path);
void bts_route_free (bts_route_t *route);

#endif
