#include "bench/workload.h"

#include <math.h>
#include <string.h>

#include "libbamboothread/base/clock.h"
#include "libbamboothread/base/error.h"

#define SECONDS_MAX 86400
#define PER_S_MAX 1000000
#define STREAMS_MAX 256
#define RACK 5

const char *const bench_scenario_names[]
    = { "calm", "flood-least", "flood-urgent", "flood-both", NULL };

static const char *const flood_names[] = { "no", "least", "urgent", NULL };

static const bt_field_t stream_fields[] = {
  { "caller", BT_FIELD_STRING, offsetof (bench_stream_t, caller), TRUE, 1, 64 },
  { "work", BT_FIELD_STRING, offsetof (bench_stream_t, work), TRUE, 1, 64 },
  { "kind", BT_FIELD_ENUM, offsetof (bench_stream_t, kind), TRUE, 0, 0, 0, bt_kind_names },
  { "callers", BT_FIELD_INT, offsetof (bench_stream_t, callers), FALSE, 0, 10000, 0 },
  { "tasks", BT_FIELD_INT, offsetof (bench_stream_t, tasks), FALSE, 1, 64, 1 },
  { "mcpus", BT_FIELD_INT, offsetof (bench_stream_t, mcpus), FALSE, 1, 4096000, 1000 },
  { "memory_mb", BT_FIELD_INT, offsetof (bench_stream_t, memory_mb), FALSE, 1, 1 << 26, 256 },
  { "gpus", BT_FIELD_INT, offsetof (bench_stream_t, gpus), FALSE, 0, 64, 0 },
  { "run_ms", BT_FIELD_INT, offsetof (bench_stream_t, run_ms), FALSE, 1, 1LL << 40, 1000 },
  { "per_s", BT_FIELD_DOUBLE, offsetof (bench_stream_t, per_s), TRUE, 0, PER_S_MAX },
  { "from_s", BT_FIELD_INT, offsetof (bench_stream_t, from_s), FALSE, 0, SECONDS_MAX, 0 },
  { "to_s", BT_FIELD_INT, offsetof (bench_stream_t, to_s), FALSE, 0, SECONDS_MAX, SECONDS_MAX },
  { "flood", BT_FIELD_ENUM, offsetof (bench_stream_t, flood), FALSE, 0, 0, 0, flood_names },
};

static const bt_schema_t stream_schema = BT_SCHEMA (stream_fields, bench_stream_t);

static const bt_field_t fleet_fields[] = {
  { "data_centres", BT_FIELD_INT, offsetof (bench_fleet_t, data_centres), TRUE, 1, 64 },
  { "workers", BT_FIELD_INT, offsetof (bench_fleet_t, workers), TRUE, 1, 10000 },
  { "gpu_workers", BT_FIELD_INT, offsetof (bench_fleet_t, gpu_workers), FALSE, 0, 10000, 0 },
  { "teams", BT_FIELD_INT, offsetof (bench_fleet_t, teams), TRUE, 1, 1000 },
  { "slots", BT_FIELD_INT, offsetof (bench_fleet_t, slots), FALSE, 1, 1024, 8 },
};

static const bt_schema_t fleet_schema = BT_SCHEMA (fleet_fields, bench_fleet_t);

static const bt_field_t workload_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bench_workload_t, name), TRUE, 1, 64 },
  { "seed", BT_FIELD_INT, offsetof (bench_workload_t, seed), FALSE, 0, G_MAXINT32, 1 },
  { "seconds", BT_FIELD_INT, offsetof (bench_workload_t, seconds), TRUE, 1, SECONDS_MAX },
  { "daemons", BT_FIELD_INT, offsetof (bench_workload_t, daemons), FALSE, 1, 16, 2 },
  { "tables", BT_FIELD_STRING, offsetof (bench_workload_t, tables), FALSE, 1, 256 },
  { "fleet", BT_FIELD_OBJECT, offsetof (bench_workload_t, fleet), FALSE, 0, 0, 0, NULL,
    &fleet_schema },
  { "streams", BT_FIELD_OBJECTS, offsetof (bench_workload_t, streams), TRUE, 1, STREAMS_MAX, 0,
    NULL, &stream_schema },
};

static const bt_schema_t workload_schema = BT_SCHEMA (workload_fields, bench_workload_t);

/**
 * bench_workload_load() - read a workload
 * @file: its JSON
 * @error: why not
 *
 * Return: a workload for bench_workload_free(), or NULL.
 */
bench_workload_t *
bench_workload_load (const char *file, GError **error)
{
  g_autofree char *data = NULL;
  gsize len;
  if (!g_file_get_contents (file, &data, &len, error))
    return NULL;
  return bt_schema_parse (&workload_schema, data, len, error);
}

/**
 * bench_workload_free() - free a workload
 * @workload: the workload
 */
void
bench_workload_free (bench_workload_t *workload)
{
  bt_schema_free (&workload_schema, workload);
}

static void
append_routes (GString *text, const bench_fleet_t *fleet)
{
  const char *const pools[] = { "main", "main", "main", fleet->gpu_workers > 0 ? "gpu" : "main" };
  for (gint64 team = 0; team < fleet->teams; team++)
    for (guint i = 0; i < BT_N_CLASSES; i++)
      g_string_append_printf (
          text,
          "%s{\"name\":\"%s-%d\",\"callers\":[\"team%d-*\"],\"work\":\"%s\",\"team\":\"team%d\","
          "\"class\":\"%s\",\"pool\":\"%s\",\"idempotent\":true,\"retries\":3%s}",
          team + i > 0 ? "," : "", bt_class_names[i], (int)team, (int)team, bt_class_names[i],
          (int)team, bt_class_names[i], pools[i],
          i == BT_CLASS_URGENT ? ",\"deadline_ms\":8300" : "");
}

static void
append_pool (GString *text, const bench_fleet_t *fleet, const char *name, gint64 workers,
             gint64 gpus)
{
  g_string_append_printf (text,
                          "{\"name\":\"%s\",\"slots\":%d,\"connections\":64,"
                          "\"urgent_reserve_percent\":10,\"vms\":[",
                          name, (int)fleet->slots);
  for (gint64 i = 0; i < workers; i++)
    {
      gint64 centre = i % fleet->data_centres + 1;
      gint64 number = i / fleet->data_centres;
      g_string_append_printf (text,
                              "%s{\"name\":\"%s-dc%d-w%d\",\"address\":\"10.%d.%d.%d:%d\","
                              "\"data_centre\":\"dc%d\",\"rack\":\"dc%d-%s-r%d\",\"cpus\":%d,"
                              "\"memory_mb\":131072,\"gpus\":%d}",
                              i > 0 ? "," : "", name, (int)centre, (int)number, (int)centre,
                              (int)(number / 250), (int)(number % 250 + 1), gpus > 0 ? 9001 : 9000,
                              (int)centre, (int)centre, name, (int)(number / RACK), 64, (int)gpus);
    }
  g_string_append (text, "],\"quotas\":[");
  for (gint64 team = 0; team < fleet->teams; team++)
    g_string_append_printf (
        text,
        "%s{\"team\":\"team%d\",\"weight\":1,\"cpus\":%d,\"memory_mb\":%d,\"gpus\":%d,"
        "\"borrow\":true}",
        team > 0 ? "," : "", (int)team, (int)(workers * 64 / fleet->teams),
        (int)(workers * 131072 / fleet->teams), (int)(workers * gpus / fleet->teams));
  g_string_append (text, "]}");
}

static bt_tables_t *
parse_tables (const char *data, gsize len, GError **error)
{
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (data, len, &report);
  if (tables == NULL)
    {
      g_autofree char *text = bt_report_to_text (&report, "tables");
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "%s", text);
    }
  bt_report_clear (&report);
  return tables;
}

/**
 * bench_workload_tables() - the tables of the fleet
 * @workload: the workload
 * @error: why not
 *
 * Return: tables for bt_tables_free(), or NULL.
 */
bt_tables_t *
bench_workload_tables (const bench_workload_t *workload, GError **error)
{
  if (workload->tables != NULL)
    {
      g_autofree char *data = NULL;
      gsize len;
      if (!g_file_get_contents (workload->tables, &data, &len, error))
        return NULL;
      return parse_tables (data, len, error);
    }
  if (workload->fleet == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "either tables or fleet is needed");
      return NULL;
    }
  const bench_fleet_t *fleet = workload->fleet;
  g_autoptr (GString) text = g_string_new ("{\"routes\":[");
  append_routes (text, fleet);
  g_string_append (text, "],\"pools\":[");
  append_pool (text, fleet, "main", fleet->workers - fleet->gpu_workers, 0);
  if (fleet->gpu_workers > 0)
    {
      g_string_append_c (text, ',');
      append_pool (text, fleet, "gpu", fleet->gpu_workers, 8);
    }
  g_string_append (text, "]}");
  return parse_tables (text->str, text->len, error);
}

static gint
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const bench_arrival_t *left = a;
  const bench_arrival_t *right = b;
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  return left->stream < right->stream ? -1 : left->stream > right->stream;
}

static gboolean
flows (const bench_stream_t *stream, bench_scenario_t scenario)
{
  if (stream->flood == 0)
    return TRUE;
  return scenario == BENCH_FLOOD_BOTH || (bench_scenario_t)stream->flood == scenario;
}

/**
 * bench_workload_arrivals() - all requests, in the order of their arrival
 * @workload: the workload
 * @scenario: which streams flow
 *
 * Return: bench_arrival_t; the usual ones are the same in every scenario.
 */
GArray *
bench_workload_arrivals (const bench_workload_t *workload, bench_scenario_t scenario)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (bench_arrival_t));
  for (guint i = 0; i < workload->streams->len; i++)
    {
      const bench_stream_t *stream = workload->streams->pdata[i];
      if (!flows (stream, scenario) || stream->per_s <= 0)
        continue;
      GRand *rand = g_rand_new_with_seed ((guint32)(workload->seed * 1000 + i));
      double end_s = (double)MIN (stream->to_s, workload->seconds);
      guint serial = 0;
      for (double at = (double)stream->from_s - log (1 - g_rand_double (rand)) / stream->per_s;
           at < end_s; at -= log (1 - g_rand_double (rand)) / stream->per_s)
        {
          bench_arrival_t arrival = { (gint64)(at * BT_USEC_PER_SEC), stream, serial++ };
          g_array_append_val (arrivals, arrival);
        }
      g_rand_free (rand);
    }
  g_array_sort (arrivals, compare_arrivals);
  return arrivals;
}

/**
 * bench_arrival_request() - what a caller sends
 * @arrival: the arrival
 * @number: carried in the payload
 *
 * Return: a request for bt_schema_free().
 */
bt_request_t *
bench_arrival_request (const bench_arrival_t *arrival, guint number)
{
  const bench_stream_t *stream = arrival->stream;
  bt_request_t *request = g_new0 (bt_request_t, 1);
  g_autoptr (GString) caller = g_string_new (stream->caller);
  g_autofree char *number_text
      = g_strdup_printf ("%d", (int)(arrival->serial % MAX (stream->callers, 1)));
  if (stream->callers > 0 && g_string_replace (caller, "#", number_text, 1) == 0)
    g_string_append (caller, number_text);
  g_autofree char *payload = g_strdup_printf ("%u", number);
  request->caller = g_ref_string_new (caller->str);
  request->work = g_ref_string_acquire (stream->work);
  request->kind = stream->kind;
  request->tasks = stream->tasks;
  request->mcpus = stream->mcpus;
  request->memory_mb = stream->memory_mb;
  request->gpus = stream->gpus;
  request->connections = 1;
  request->run_ms = stream->run_ms;
  request->payload = g_ref_string_new (payload);
  return request;
}
