#ifndef BT_BENCH_WORKLOAD_H
#define BT_BENCH_WORKLOAD_H

#include "libbamboothread/request/request.h"

/*
 * A workload: streams of requests against a fleet, described in JSON. All
 * policies get the same arrivals, which follow from the seed.
 */

/**
 * enum bench_scenario_t - which streams flow, and what fails
 * @BENCH_CALM: no flood
 * @BENCH_FLOOD_LEAST: a flood of the least urgent work
 * @BENCH_FLOOD_URGENT: a flood of the most urgent work
 * @BENCH_FLOOD_BOTH: both floods, and the first rack lost as they begin
 */
typedef enum
{
  BENCH_CALM,
  BENCH_FLOOD_LEAST,
  BENCH_FLOOD_URGENT,
  BENCH_FLOOD_BOTH,
  BENCH_N_SCENARIOS,
} bench_scenario_t;

extern const char *const bench_scenario_names[];

/**
 * struct bench_stream_t - requests of one kind
 * @caller: who asks; a # in it stands for the number of the caller
 * @callers: number of callers that take turns, or 0 for just @caller
 * @per_s: mean arrivals a second; they are a Poisson process
 * @flood: 0 for usual work, or the flood that it is part of
 */
typedef struct
{
  GRefString *caller;
  GRefString *work;
  gint kind;
  gint64 callers;
  gint64 tasks;
  gint64 mcpus;
  gint64 memory_mb;
  gint64 gpus;
  gint64 run_ms;
  double per_s;
  gint64 from_s;
  gint64 to_s;
  gint flood;
} bench_stream_t;

/**
 * struct bench_fleet_t - a fleet to be made up, instead of tables from a file
 */
typedef struct
{
  gint64 data_centres;
  gint64 workers;
  gint64 gpu_workers;
  gint64 teams;
  gint64 slots;
} bench_fleet_t;

/**
 * struct bench_workload_t - a fleet and its work
 * @tables: file of the tables, or NULL
 * @fleet: what to make up if there is no such file
 * @seconds: how long work arrives
 */
typedef struct
{
  GRefString *name;
  gint64 seed;
  gint64 seconds;
  gint64 daemons;
  GRefString *tables;
  bench_fleet_t *fleet;
  GPtrArray *streams;
} bench_workload_t;

/**
 * struct bench_arrival_t - a request and when it arrives
 */
typedef struct
{
  gint64 at_us;
  const bench_stream_t *stream;
  guint serial;
} bench_arrival_t;

bench_workload_t *bench_workload_load (const char *file, GError **error);
void bench_workload_free (bench_workload_t *workload);
bt_tables_t *bench_workload_tables (const bench_workload_t *workload, GError **error);
GArray *bench_workload_arrivals (const bench_workload_t *workload, bench_scenario_t scenario);
bt_request_t *bench_arrival_request (const bench_arrival_t *arrival, guint number);

#endif
