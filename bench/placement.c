#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "standins/fleet.h"

/*
 * Cost of one placement decision over the size of the fleet: a pool is filled
 * to most of its processors, then attempts end and begin at random while the
 * decisions are timed.
 *
 * Usage: placement [DECISIONS] [SEED]
 */

#define FILL 0.8
#define NSEC_PER_SEC 1000000000LL
#define DEFAULT_DECISIONS 20000

static const guint sizes[] = { 60, 245, 490, 980, 3920 };

static const char *const routes
    = "{\"name\": \"pack\", \"callers\": [\"*\"], \"work\": \"pack\", \"team\": \"t\","
      " \"class\": \"batch\", \"pool\": \"p\", \"idempotent\": true, \"packing\": 3, \"waiting\": "
      "1},"
      "{\"name\": \"spread\", \"callers\": [\"*\"], \"work\": \"spread\", \"team\": \"t\","
      " \"class\": \"urgent\", \"pool\": \"p\", \"idempotent\": true, \"packing\": 1,"
      " \"waiting\": 3},"
      "{\"name\": \"racks\", \"callers\": [\"*\"], \"work\": \"racks\", \"team\": \"t\","
      " \"class\": \"service\", \"pool\": \"p\", \"idempotent\": true, \"rack_spread\": true}";

typedef struct
{
  const char *name;
  const char *work;
  guint tasks;
  gboolean never_fits;
} kind_t;

static const kind_t kinds[] = {
  { "pack", "pack", 1, FALSE },
  { "spread", "spread", 1, FALSE },
  { "rack-spread", "racks", 8, FALSE },
  { "miss", "pack", 1, TRUE },
};

static gint64
now_ns (void)
{
  struct timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return at.tv_sec * NSEC_PER_SEC + at.tv_nsec;
}

static void
draw_need (GRand *rand, bt_resources_t *need)
{
  *need = (bt_resources_t){ { 0 } };
  need->v[BT_RESOURCE_MCPUS] = 1000 * g_rand_int_range (rand, 2, 9);
  need->v[BT_RESOURCE_MEMORY_MB] = 1024 * g_rand_int_range (rand, 1, 13);
  need->v[BT_RESOURCE_CONNECTIONS] = g_rand_int_range (rand, 0, 5);
}

static void
fill (bt_fleet_t *fleet, GRand *rand, guint workers, GPtrArray *running)
{
  gint64 mcpus = (gint64)(FILL * 32000.0 * workers);
  while (mcpus > 0)
    {
      bt_resources_t need;
      draw_need (rand, &need);
      bt_job_t *job = bt_fleet_job (fleet, "pack", &need, 1);
      bt_worker_t *worker = bt_place_find (fleet->core, job, 0);
      if (worker == NULL)
        return;
      g_ptr_array_add (running, bt_fleet_run (fleet, job, 0, worker));
      mcpus -= need.v[BT_RESOURCE_MCPUS];
    }
}

static void
end_one (bt_fleet_t *fleet, GRand *rand, GPtrArray *running)
{
  guint index = (guint)g_rand_int_range (rand, 0, (gint32)running->len);
  bt_attempt_t *attempt = g_ptr_array_steal_index_fast (running, index);
  bt_job_t *job = attempt->job;
  bt_attempt_remove (fleet->core, attempt, BT_TASK_ENDED);
  if (job->n_placed == 0 && job->n_waiting == 0)
    g_hash_table_remove (fleet->core->sched.jobs, job->id);
}

static int
compare (const void *a, const void *b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

static void
report (const kind_t *kind, guint workers, gint64 *taken, guint n, guint missed)
{
  qsort (taken, n, sizeof *taken, compare);
  printf ("%s,%u,%u,%u,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "\n",
          kind->name, workers, n, missed, taken[0], taken[n / 2], taken[n * 99 / 100]);
}

static guint
decide (bt_fleet_t *fleet, GRand *rand, const kind_t *kind, GPtrArray *running, gint64 *taken)
{
  bt_resources_t need;
  draw_need (rand, &need);
  if (kind->never_fits)
    need.v[BT_RESOURCE_MCPUS] = 32000;
  bt_job_t *job = bt_fleet_job (fleet, kind->work, &need, kind->tasks);
  guint missed = 0;
  for (guint task = 0; task < kind->tasks; task++)
    {
      end_one (fleet, rand, running);
      gint64 before = now_ns ();
      bt_worker_t *worker = bt_place_find (fleet->core, job, task);
      taken[task] = now_ns () - before;
      if (worker != NULL)
        g_ptr_array_add (running, bt_fleet_run (fleet, job, task, worker));
      else
        missed++;
    }
  return missed;
}

static void
measure (guint workers, const kind_t *kind, guint n, guint32 seed)
{
  g_autofree char *pool
      = bt_fleet_pool ("p", "", 0, workers, 5, "\"cpus\": 32, \"memory_mb\": 65536");
  bt_tables_t *tables = bt_fleet_tables (routes, pool);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", seed);
  GRand *rand = g_rand_new_with_seed (seed);
  g_autoptr (GPtrArray) running = g_ptr_array_new ();
  fill (&fleet, rand, workers, running);
  g_autofree gint64 *taken = g_new0 (gint64, n + kind->tasks);
  guint missed = 0;
  guint done = 0;
  while (done < n && running->len > kind->tasks)
    {
      missed += decide (&fleet, rand, kind, running, taken + done);
      done += kind->tasks;
    }
  report (kind, workers, taken, done, missed);
  g_rand_free (rand);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}

int
main (int argc, char **argv)
{
  guint n = argc > 1 ? (guint)atoi (argv[1]) : DEFAULT_DECISIONS;
  guint32 seed = argc > 2 ? (guint32)atoi (argv[2]) : 1;
  printf ("decision,workers,decisions,missed,best_ns,p50_ns,p99_ns\n");
  for (guint k = 0; k < G_N_ELEMENTS (kinds); k++)
    for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
      measure (sizes[i], &kinds[k], n, seed);
  return 0;
}
