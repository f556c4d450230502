#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "standins/fleet.h"

/*
 * Cost of decisions about work that already runs, over the size of the fleet:
 * to cancel all of it, to look for what has to make room for an urgent task,
 * and to reserve workers for a gang. Every worker runs eight tasks.
 *
 * Usage: moves [SEED]
 */

#define NSEC_PER_SEC 1000000000LL
#define TASKS_PER_WORKER 8
#define TRIES 200

static const guint sizes[] = { 60, 245, 490, 980, 3920 };

static const char *const routes
    = "{\"name\": \"build\", \"callers\": [\"*\"], \"work\": \"build\", \"team\": \"b\","
      " \"class\": \"batch\", \"pool\": \"p\", \"idempotent\": true},"
      "{\"name\": \"quick\", \"callers\": [\"*\"], \"work\": \"quick\", \"team\": \"a\","
      " \"class\": \"urgent\", \"pool\": \"p\", \"idempotent\": true}";

static gint64
now_ns (void)
{
  struct timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return at.tv_sec * NSEC_PER_SEC + at.tv_nsec;
}

static int
compare (const void *a, const void *b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

static void
report (const char *name, guint workers, gint64 *taken, guint n)
{
  qsort (taken, n, sizeof *taken, compare);
  printf ("%s,%u,%u,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "\n", name,
          workers, n, taken[0], taken[n / 2], taken[n * 99 / 100]);
}

static void
fill (bt_fleet_t *fleet, GRand *rand)
{
  bt_resources_t need = { { 4000, 8192, 0, 1, 0 } };
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, fleet->core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    for (guint i = 0; i < TASKS_PER_WORKER; i++)
      {
        bt_job_t *job = bt_fleet_job (fleet, "build", &need, 1);
        bt_attempt_t *attempt = bt_fleet_run (fleet, job, 0, worker);
        attempt->sent_at = fleet->core->now - g_rand_int_range (rand, 0, 600 * BT_USEC_PER_SEC);
      }
}

static void
measure_preempt (bt_fleet_t *fleet, guint workers)
{
  bt_core_t *core = fleet->core;
  gint64 taken[TRIES];
  bt_resources_t need = { { 4000, 8192, 0, 1, 0 } };
  bt_job_t *job = bt_fleet_job (fleet, "quick", &need, 1);
  bt_queue_push (core, job);
  bt_clock_advance (&fleet->clock, BT_USEC_PER_SEC);
  core->now = bt_clock_now (&fleet->clock);
  bt_quota_tick (core);
  for (guint i = 0; i < TRIES; i++)
    {
      g_ptr_array_set_size (core->preempt.active, 0);
      core->preempt.next_begin = 0;
      gint64 before = now_ns ();
      bt_preempt_try (core, job);
      taken[i] = now_ns () - before;
      g_return_if_fail (core->preempt.active->len == 1);
    }
  report ("preempt", workers, taken, TRIES);
  bt_queue_remove (core, job);
}

static void
measure_gang (bt_fleet_t *fleet, guint workers)
{
  bt_core_t *core = fleet->core;
  gint64 taken[TRIES];
  bt_resources_t need = { { 16000, 8192, 0, 1, 0 } };
  bt_job_t *job = bt_fleet_job (fleet, "build", &need, 32);
  job->request->kind = BT_KIND_GANG;
  bt_clock_advance (&fleet->clock, 5 * BT_USEC_PER_SEC);
  core->now = bt_clock_now (&fleet->clock);
  for (guint i = 0; i < TRIES; i++)
    {
      gint64 before = now_ns ();
      bt_gang_place (core, job);
      taken[i] = now_ns () - before;
      g_return_if_fail (g_hash_table_size (core->gang.reservations) == 1);
      bt_gang_tick (core);
      job->next_reserve_at = 0;
    }
  report ("gang-reserve", workers, taken, TRIES);
}

static void
measure_cancel (bt_fleet_t *fleet, guint workers)
{
  bt_core_t *core = fleet->core;
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  GHashTableIter iter;
  bt_job_t *job;
  g_hash_table_iter_init (&iter, core->sched.jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    if (job->n_placed > 0)
      g_ptr_array_add (jobs, job);
  g_autofree gint64 *taken = g_new (gint64, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    {
      gint64 before = now_ns ();
      bt_sched_cancel (core, jobs->pdata[i]);
      taken[i] = now_ns () - before;
    }
  report ("cancel", workers, taken, jobs->len);
  guint64 stops = fleet->stops;
  gint64 before = now_ns ();
  bt_stop_tick (core);
  gint64 all = now_ns () - before;
  report ("send-stops", workers, &all, 1);
  fprintf (stderr, "%u workers: %u jobs cancelled with %" G_GUINT64_FORMAT " messages\n", workers,
           jobs->len, fleet->stops - stops);
}

static void
measure (guint workers, guint32 seed)
{
  g_autofree char *pool
      = bt_fleet_pool ("p", "", 0, workers, 5, "\"cpus\": 32, \"memory_mb\": 65536");
  bt_tables_t *tables = bt_fleet_tables (routes, pool);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", seed);
  GRand *rand = g_rand_new_with_seed (seed);
  fill (&fleet, rand);
  measure_preempt (&fleet, workers);
  measure_gang (&fleet, workers);
  measure_cancel (&fleet, workers);
  g_rand_free (rand);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32)atoi (argv[1]) : 1;
  printf ("decision,workers,decisions,best_ns,p50_ns,p99_ns\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i], seed);
  return 0;
}
