#ifndef BTS_EXPLAIN_H
#define BTS_EXPLAIN_H

#include "libbamboothread/scheduler/access.h"
#include "libbamboothread/scheduler/intake.h"
#include "libbamboothread/scheduler/sched.h"

/*
 * Explains to operators where a job would go if it was submitted now, and why. Nothing is changed,
 * logged or counted, and no other process or service is asked.
 */

/* Most steps of a job that are explained. Each costs a walk of its pool and of the queue: 3 ms with
   980 full workers, 16,000 runs and 2,000 queued stages, while leases have to be renewed. */
#define BTS_EXPLAIN_STEPS_MAX 4

/**
 * bts_explain_parse_f - parses the body of a caller's job
 * @id: id of the job
 * @route: the route of the request
 * @tenant: the tenant of the caller, or NULL
 * @body: the text, @len bytes
 * @len: number of bytes
 * @error: what is wrong with it
 *
 * Return: the job, or NULL.
 */
typedef Bts__Accepted *(*bts_explain_parse_f) (const char *id, const bts_route_t *route,
                                               const bts_tenant_t *tenant, const char *body,
                                               gsize len, GError **error);

/**
 * struct bts_explain_request_t - the request of a caller that is to be explained
 * @host: host name, in lower case and without port
 * @path: path, with the id of the job
 * @key: the caller's key, or NULL
 * @body: the job, @len bytes
 * @parse: parses the body
 */
typedef struct
{
  const char *host;
  const char *path;
  const char *key;
  const char *body;
  gsize len;
  bts_explain_parse_f parse;
} bts_explain_request_t;

/**
 * struct bts_explain_view_t - the state of a process
 * @tables: the newest tables; NULL if they weren't read to their end in this lifetime
 * @now_us: current time
 * @now_unix_ms: Unix time in milliseconds
 */
typedef struct
{
  const bts_tables_t *tables;
  const bts_freshness_t *freshness;
  const bts_intake_t *intake;
  const bts_sched_t *sched;
  gint64 now_us;
  gint64 now_unix_ms;
} bts_explain_view_t;

char *bts_explain (const bts_explain_view_t *view, const bts_explain_request_t *request);

#endif
