#include <malloc.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/baseline.h"
#include "libbamboothread/base/log.h"
#include "standins/cell.h"
#include "standins/world.h"

/*
 * Drives the real core on the paused clock through workloads and floods, next
 * to plain policies, and measures what a decision costs.
 */

#define EXIT_USAGE 2
#define WARM_UP_US (20 * BT_USEC_PER_SEC)
/* How long after the last arrival starts still count. */
#define DRAIN_US (30 * BT_USEC_PER_SEC)
#define SAMPLE_US (1 * BT_USEC_PER_SEC)
/* Decisions that are timed at each size, and how many come at once. */
#define DECISIONS 6000
#define DECISIONS_AT_ONCE 100
/* Services on each worker while decisions are timed. */
#define BUSY_TASKS 3

static double
cpu_s (void)
{
  struct timespec at;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

typedef struct
{
  const GArray *arrivals;
  bench_fate_t *fates;
  gint64 begun;
  GHashTable *exchanges;
} run_t;

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  run_t *run = context;
  guint64 number = g_ascii_strtoull (request->payload, NULL, 10);
  if (run->arrivals == NULL || number >= run->arrivals->len)
    return;
  const bench_arrival_t *arrival = &g_array_index (run->arrivals, bench_arrival_t, number);
  bench_fate_t *fate = &run->fates[number];
  if (fate->started >= (guint)arrival->stream->tasks)
    return;
  fate->started++;
  fate->last_wait_us = host->world->clock.now_us - run->begun - arrival->at_us;
}

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  run_t *run = context;
  guint number
      = GPOINTER_TO_UINT (g_hash_table_lookup (run->exchanges, GUINT_TO_POINTER (exchange)));
  if (number > 0 && outcome->status == BT_STATUS_NOT_RUN)
    run->fates[number - 1].refused = TRUE;
}

static const bt_world_observer_t observer = { .started = on_started, .answered = on_answered };

static void
sample (const bt_world_t *world, bench_result_t *result)
{
  double sum = 0;
  guint n = 0;
  for (guint i = 0; i < world->hosts->len; i++)
    {
      const bt_host_t *host = world->hosts->pdata[i];
      if (host->dead || host->model.used.v[BT_RESOURCE_SLOTS] == 0)
        continue;
      sum += bench_dominant_share (&host->model.used, &host->model.capacity);
      n++;
    }
  bench_result_sample (result, sum, n);
}

static void
submit (bt_world_t *world, run_t *run, guint number)
{
  const bench_arrival_t *arrival = &g_array_index (run->arrivals, bench_arrival_t, number);
  bt_request_t *request = bench_arrival_request (arrival, number);
  bt_node_t *node = world->nodes->pdata[number % world->nodes->len];
  guint64 exchange = world->exchange_counter + 1;
  g_hash_table_insert (run->exchanges, GUINT_TO_POINTER (exchange), GUINT_TO_POINTER (number + 1));
  bt_world_submit (world, node, request);
  bt_schema_free (&bt_request_schema, request);
}

static void
lose_rack (bt_world_t *world)
{
  const char *rack = ((bt_host_t *)world->hosts->pdata[0])->rack;
  for (guint i = 0; i < world->hosts->len; i++)
    {
      bt_host_t *host = world->hosts->pdata[i];
      if (strcmp (host->rack, rack) == 0)
        bt_world_host_kill (world, host);
    }
}

static void
drive (bt_world_t *world, run_t *run, bench_result_t *result, gint64 end_us, gint64 lose_rack_at)
{
  guint arrived = 0;
  gint64 next_sample = SAMPLE_US;
  gint64 now;
  while ((now = world->clock.now_us - run->begun) < end_us)
    {
      gint64 next = MIN (next_sample, lose_rack_at);
      if (arrived < run->arrivals->len)
        next = MIN (next, g_array_index (run->arrivals, bench_arrival_t, arrived).at_us);
      if (next > now)
        bt_world_run (world, next - now);
      now = world->clock.now_us - run->begun;
      if (now >= lose_rack_at)
        {
          lose_rack (world);
          lose_rack_at = G_MAXINT64;
        }
      while (arrived < run->arrivals->len
             && g_array_index (run->arrivals, bench_arrival_t, arrived).at_us <= now)
        submit (world, run, arrived++);
      if (now < next_sample)
        continue;
      sample (world, result);
      next_sample += SAMPLE_US;
    }
}

/* Regions of the users' data centres, and of those of the workload letter. */
static const char *
region_of (const char *data_centre)
{
  static const struct
  {
    const char *data_centre;
    const char *region;
  } regions[] = {
    { "lahore-gulberg", "lahore" },    { "lahore-johar", "lahore" },
    { "karachi-saddar", "karachi" },   { "inverness-a", "highlands" },
    { "fort-william-b", "highlands" }, { "glasgow-a", "lowlands" },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (regions); i++)
    if (strcmp (regions[i].data_centre, data_centre) == 0)
      return regions[i].region;
  gboolean first_four = strlen (data_centre) == 3 && data_centre[2] <= '4';
  return first_four ? "north" : "south";
}

static bench_result_t *
run_core (const bench_workload_t *workload, const bt_tables_t *tables, bench_scenario_t scenario,
          gint64 flood_at_us)
{
  bench_result_t *result = bench_result_new (workload, "bamboothread", scenario);
  g_autoptr (GArray) arrivals = bench_workload_arrivals (workload, scenario);
  run_t run = { .arrivals = arrivals };
  run.fates = g_new0 (bench_fate_t, arrivals->len);
  run.exchanges = g_hash_table_new (NULL, NULL);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = (guint)workload->daemons;
  config.seed = (guint32)workload->seed;
  config.region_of = region_of;
  bt_world_t *world = bt_world_new (&config, &observer, &run);
  bt_world_run (world, WARM_UP_US);
  run.begun = world->clock.now_us;
  double before = cpu_s ();
  gint64 lose_rack_at = scenario == BENCH_FLOOD_BOTH ? flood_at_us : G_MAXINT64;
  drive (world, &run, result, workload->seconds * BT_USEC_PER_SEC + DRAIN_US, lose_rack_at);
  result->cpu_s = cpu_s () - before;
  bench_result_fill (result, tables, arrivals, run.fates);
  bt_world_free (world);
  g_hash_table_unref (run.exchanges);
  g_free (run.fates);
  return result;
}

static gint64
flood_begin (const bench_workload_t *workload)
{
  gint64 first_s = workload->seconds;
  for (guint i = 0; i < workload->streams->len; i++)
    {
      const bench_stream_t *stream = workload->streams->pdata[i];
      if (stream->flood != 0)
        first_s = MIN (first_s, stream->from_s);
    }
  return first_s * BT_USEC_PER_SEC;
}

static void
print_result (const bench_result_t *result)
{
  printf ("%-10s %-13s %-13s", result->workload, result->policy,
          bench_scenario_names[result->scenario]);
  for (guint i = 0; i < BT_N_CLASSES; i++)
    {
      const bench_class_t *sums = &result->classes[i];
      if (sums->offered > 0)
        printf (" | %s %d/%d %.0f/%.0f/%.0f ms, usual %.0f/%.0f ms kept %.3f", bt_class_names[i],
                (int)sums->started, (int)sums->offered, sums->p50_ms, sums->p99_ms, sums->max_ms,
                sums->usual_p99_ms, sums->usual_max_ms, sums->kept);
    }
  printf (" | packing %.3f | least kept %.3f %s | %.1f s\n", result->packing, result->least_kept,
          result->least_kept_of != NULL ? result->least_kept_of : "-", result->cpu_s);
  fflush (stdout);
}

static gboolean
run_workload (const char *file, GPtrArray *results, const char *plots, GError **error)
{
  bench_workload_t *workload = bench_workload_load (file, error);
  bt_tables_t *tables = workload != NULL ? bench_workload_tables (workload, error) : NULL;
  if (tables == NULL)
    return FALSE;
  gint64 flood_at = flood_begin (workload);
  guint first = results->len;
  for (guint scenario = 0; scenario < BENCH_N_SCENARIOS; scenario++)
    for (guint policy = 0; policy <= BENCH_N_BASELINES; policy++)
      {
        bench_result_t *result
            = policy == 0 ? run_core (workload, tables, (bench_scenario_t)scenario, flood_at)
                          : bench_baseline_run ((bench_baseline_t)(policy - 1), workload, tables,
                                                (bench_scenario_t)scenario, flood_at);
        g_ptr_array_add (results, result);
        if (scenario > 0)
          bench_result_compare (result, results->pdata[first + policy]);
        print_result (result);
      }
  g_autofree char *plot = g_strdup_printf ("%s/%s-urgent-wait.svg", plots, workload->name);
  gboolean written = bench_plot_waits (results, workload->name, plot, error);
  bt_tables_free (tables);
  return written;
}

static gboolean
leads (bt_world_t *world, void *context)
{
  bt_node_t *node = bt_world_leader (world, "dc1");
  return node != NULL;
}

static bt_request_t *
small_request (const char *caller, bt_kind_t kind, gint64 tasks)
{
  bt_request_t *request = g_new0 (bt_request_t, 1);
  request->caller = g_ref_string_new (caller);
  request->work = g_ref_string_new ("work");
  request->kind = kind;
  request->tasks = tasks;
  request->mcpus = 1000;
  request->memory_mb = 256;
  request->connections = 1;
  request->run_ms = 50;
  request->payload = g_ref_string_new ("x");
  return request;
}

static gint
compare_double (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

/* Times the way from a request to its start sent, on an owner that is half busy. */
static double
time_decisions (guint workers)
{
  bt_tables_t *tables = bt_cell_tables (1, workers);
  run_t run = { 0 };
  run.exchanges = g_hash_table_new (NULL, NULL);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = 1;
  bt_world_t *world = bt_world_new (&config, &observer, &run);
  bt_world_run_until (world, 60 * BT_USEC_PER_SEC, leads, NULL);
  bt_world_run (world, WARM_UP_US);
  bt_node_t *node = world->nodes->pdata[0];
  bt_request_t *service = small_request ("service", BT_KIND_SERVICE, BUSY_TASKS);
  for (guint i = 0; i < workers; i++)
    bt_world_submit (world, node, service);
  bt_world_run (world, WARM_UP_US);
  bt_request_t *request = small_request ("urgent", BT_KIND_REQUEST, 1);
  g_autofree double *spent = g_new (double, DECISIONS);
  guint64 starts = bt_core_counters (node->core)->starts_sent;
  double sum = 0;
  for (guint i = 0; i < DECISIONS; i++)
    {
      double before = cpu_s ();
      bt_world_submit (world, node, request);
      spent[i] = cpu_s () - before;
      sum += spent[i];
      if (i % DECISIONS_AT_ONCE == DECISIONS_AT_ONCE - 1)
        bt_world_run (world, BT_USEC_PER_SEC);
    }
  starts = bt_core_counters (node->core)->starts_sent - starts;
  qsort (spent, DECISIONS, sizeof *spent, compare_double);
  size_t with_core = mallinfo2 ().uordblks;
  bt_world_kill (world, node);
  size_t core_bytes = with_core - mallinfo2 ().uordblks;
  printf ("decisions: workers %u, started %d of %d, %.1f us each (%.0f a second), p50 %.1f us, "
          "p99 %.1f us, core %.2f MB\n",
          workers, (int)starts, DECISIONS, sum / DECISIONS * 1e6, DECISIONS / sum,
          spent[DECISIONS / 2] * 1e6, spent[DECISIONS * 99 / 100] * 1e6, (double)core_bytes / 1e6);
  fflush (stdout);
  bt_schema_free (&bt_request_schema, service);
  bt_schema_free (&bt_request_schema, request);
  bt_world_free (world);
  g_hash_table_unref (run.exchanges);
  bt_tables_free (tables);
  return sum / DECISIONS * 1e6;
}

static gboolean
run_decisions (const char *plots, GError **error)
{
  static const guint sizes[] = { 60, 245, 490, 980, 1960, 3920 };
  double x[G_N_ELEMENTS (sizes)];
  double y[G_N_ELEMENTS (sizes)];
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      x[i] = sizes[i];
      y[i] = time_decisions (sizes[i]);
    }
  g_autofree char *plot = g_strdup_printf ("%s/decision-cost.svg", plots);
  return bench_plot_line ("Cost of a decision", "workers of one owner", "us", x, y,
                          G_N_ELEMENTS (sizes), plot, error);
}

int
main (int argc, const char **argv)
{
  int decisions = 0;
  char *out = "bench-results";
  char *plots = "docs/plots";
  struct poptOption options[] = {
    { "decisions", 'd', POPT_ARG_NONE, &decisions, 0, "time decisions by number of workers", NULL },
    { "out", 'o', POPT_ARG_STRING, &out, 0, "results, without .json and .csv", "FILE" },
    { "plots", 'p', POPT_ARG_STRING, &plots, 0, "folder of the plots", "FOLDER" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothread-bench", argc, argv, options, 0);
  poptSetOtherOptionHelp (popt, "[OPTION...] [WORKLOAD.json...]");
  int parsed = poptGetNextOpt (popt);
  const char **files = poptGetArgs (popt);
  if (parsed < -1 || (files == NULL && !decisions))
    {
      poptPrintUsage (popt, stderr, 0);
      return EXIT_USAGE;
    }
  bt_log_set_level (BT_LOG_ERROR);
  g_autoptr (GPtrArray) results = g_ptr_array_new_with_free_func (bench_result_free);
  g_autoptr (GError) error = NULL;
  gboolean valid = !decisions || run_decisions (plots, &error);
  for (guint i = 0; valid && files != NULL && files[i] != NULL; i++)
    valid = run_workload (files[i], results, plots, &error);
  g_autofree char *json = g_strdup_printf ("%s.json", out);
  g_autofree char *csv = g_strdup_printf ("%s.csv", out);
  if (valid && results->len > 0)
    valid = bench_write_json (results, json, &error) && bench_write_csv (results, csv, &error);
  if (!valid)
    fprintf (stderr, "bamboothread-bench: %s\n", error != NULL ? error->message : "failed");
  poptFreeContext (popt);
  return valid ? EXIT_SUCCESS : EXIT_FAILURE;
}
