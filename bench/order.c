#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "libbamboothread/process/core_private.h"

/*
 * Decisions a second on one core, with a queue that stays full: a core that
 * leads a data centre of idle workers, nothing behind it. Each step ends the
 * attempt that runs longest and starts what goes next; now and then a request
 * arrives and is admitted.
 *
 * Usage: bench-order [WORKERS] [QUEUED] [TEAMS] [STEPS] [SEED]
 */

#define NSEC_PER_SEC 1000000000LL
#define ARRIVALS_PER_STEP 1

typedef struct
{
  bt_clock_t clock;
  bt_core_t *core;
  GRand *rand;
  GQueue running;
  guint64 exchange;
  guint teams;
} bench_t;

static gint64
now_ns (void)
{
  struct timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return at.tv_sec * NSEC_PER_SEC + at.tv_nsec;
}

static void
on_peer (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static void
on_start (void *context, const char *worker, const char *address, const bt_start_request_t *request)
{
  bench_t *bench = context;
  g_queue_push_tail (&bench->running, g_ref_string_acquire (request->attempt));
}

static void
on_stop (void *context, const char *worker, const char *address, const bt_stop_request_t *request)
{
}

static void
on_answer (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome)
{
}

static const bt_core_ops_t ops = {
  .peer_send = on_peer,
  .worker_start = on_start,
  .worker_stop = on_stop,
  .answer = on_answer,
};

static bt_tables_t *
make_tables (guint workers, guint teams)
{
  static const char *const classes[] = { "urgent", "service", "batch", "best-effort" };
  g_autoptr (GString) json = g_string_new ("{\"routes\":[");
  for (guint i = 0; i < teams * 2; i++)
    g_string_append_printf (json,
                            "%s{\"name\":\"w%u\",\"callers\":[\"*\"],\"work\":\"w%u\","
                            "\"team\":\"t%u\",\"class\":\"%s\",\"pool\":\"p\",\"idempotent\":true,"
                            "\"deadline_ms\":600000,\"queue_limit\":100000}",
                            i > 0 ? "," : "", i, i, i / 2, classes[i % 4]);
  g_string_append (json, "],\"pools\":[{\"name\":\"p\",\"urgent_reserve_percent\":10,\"quotas\":[");
  for (guint i = 0; i < teams; i++)
    g_string_append_printf (json, "%s{\"team\":\"t%u\",\"weight\":%u,\"cpus\":%u,\"memory_mb\":%u}",
                            i > 0 ? "," : "", i, 1 + i % 3, workers * 32 / teams,
                            workers * 65536 / teams);
  g_string_append (json, "],\"vms\":[");
  for (guint i = 0; i < workers; i++)
    g_string_append_printf (json,
                            "%s{\"name\":\"v%u\",\"address\":\"10.0.%u.%u:80\","
                            "\"data_centre\":\"dc\",\"rack\":\"r%u\",\"cpus\":32,"
                            "\"memory_mb\":65536}",
                            i > 0 ? "," : "", i, i / 250, i % 250 + 1, i / 5);
  g_string_append (json, "]}]}");
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (json->str, json->len, &report);
  bt_report_clear (&report);
  return tables;
}

static void
bench_init (bench_t *bench, guint workers, guint teams, guint32 seed)
{
  bt_clock_init_paused (&bench->clock, 1000 * BT_USEC_PER_SEC);
  bench->rand = g_rand_new_with_seed (seed);
  bench->teams = teams;
  g_queue_init (&bench->running);
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = "d1";
  config.address = "10.1.0.1:1";
  config.data_centre = "dc";
  config.region = "r";
  config.seed = seed;
  bench->core = bt_core_new (&config, &bench->clock, &ops, bench);
  bt_core_t *core = bench->core;
  bt_tables_free (core->tables.tables);
  core->tables.tables = make_tables (workers, teams);
  core->tables.version = 1;
  bt_owner_apply_tables (core);
  core->owner.leading = core->owner.settled = TRUE;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      worker->epoch = 1;
      worker->synced = TRUE;
      worker->lease_until = worker->task_lease_until = G_MAXINT64;
    }
  bt_quota_tick (core);
}

static void
submit (bench_t *bench)
{
  guint work = (guint)g_rand_int_range (bench->rand, 0, (gint32)bench->teams * 2);
  g_autofree char *json = g_strdup_printf (
      "{\"caller\":\"c%u\",\"work\":\"w%u\",\"kind\":\"request\",\"mcpus\":%d,"
      "\"memory_mb\":%d,\"connections\":1,\"run_ms\":500}",
      g_rand_int_range (bench->rand, 0, 20), work, 1000 * g_rand_int_range (bench->rand, 1, 9),
      1024 * g_rand_int_range (bench->rand, 1, 9));
  bt_request_t *request = bt_schema_parse (&bt_request_schema, json, strlen (json), NULL);
  g_autofree char *id = g_strdup_printf ("dc/j%" G_GUINT64_FORMAT, bench->exchange++);
  bt_sched_submit (bench->core, "entry", id, request, FALSE, 0, bench->core->owner.lead_since);
  bt_schema_free (&bt_request_schema, request);
}

static void
end_oldest (bench_t *bench)
{
  GRefString *id = g_queue_pop_head (&bench->running);
  bt_attempt_t *attempt = g_hash_table_lookup (bench->core->sched.attempts, id);
  bt_attempt_report_t report = { .attempt = id, .state = BT_ATTEMPT_DONE };
  report.job = attempt->job->id;
  GRefString *job = g_ref_string_acquire (attempt->job->id);
  bt_sched_on_attempt_report (bench->core, attempt->worker, &report);
  bt_sched_run_pass (bench->core);
  g_hash_table_remove (bench->core->sched.jobs, job);
  g_ref_string_release (job);
  g_ref_string_release (id);
}

static int
compare_times (const void *a, const void *b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

int
main (int argc, char **argv)
{
  guint workers = argc > 1 ? (guint)atoi (argv[1]) : 980;
  guint queued = argc > 2 ? (guint)atoi (argv[2]) : 10000;
  guint teams = argc > 3 ? (guint)atoi (argv[3]) : 79;
  guint steps = argc > 4 ? (guint)atoi (argv[4]) : 20000;
  bench_t bench;
  bench_init (&bench, workers, teams, argc > 5 ? (guint32)atoi (argv[5]) : 1);
  while (bt_queue_length (bench.core, "p") < queued)
    submit (&bench);
  guint64 starts = bench.core->counters.starts_sent;
  gint64 *times = g_new (gint64, steps);
  gint64 submit_ns = 0;
  gint64 tick_ns = 0;
  for (guint i = 0; i < steps; i++)
    {
      gint64 at = now_ns ();
      end_oldest (&bench);
      times[i] = now_ns () - at;
      at = now_ns ();
      for (guint k = 0; k < ARRIVALS_PER_STEP; k++)
        submit (&bench);
      submit_ns += now_ns () - at;
      bench.clock.now_us += 100;
      bench.core->now = bench.clock.now_us;
      at = now_ns ();
      if (i % 200 == 0)
        bt_sched_tick (bench.core);
      tick_ns += now_ns () - at;
    }
  gint64 sum = 0;
  for (guint i = 0; i < steps; i++)
    sum += times[i];
  qsort (times, steps, sizeof *times, compare_times);
  starts = bench.core->counters.starts_sent - starts;
  printf ("workers=%u queued=%u teams=%u steps=%u starts=%" G_GUINT64_FORMAT
          " decisions_per_s=%.0f p50_us=%.1f p99_us=%.1f max_us=%.1f submit_us=%.1f tick_us=%.1f\n",
          workers, bt_queue_length (bench.core, "p"), teams, steps, starts,
          (double)starts * NSEC_PER_SEC / (double)(sum + submit_ns + tick_ns),
          (double)times[steps / 2] / 1000, (double)times[steps * 99 / 100] / 1000,
          (double)times[steps - 1] / 1000, (double)submit_ns / steps / 1000,
          (double)tick_ns / 1000 / ((steps + 199) / 200));
  g_free (times);
  return EXIT_SUCCESS;
}
