#include <string.h>

#include "standins/fleet.h"
#include "tests/suite.h"

/* The choice of a worker, against what an exhaustive search finds. */

#define ROUTE(name, work_class, pool, rest)                                                        \
  "{\"name\": \"" name "\", \"callers\": [\"*\"], \"work\": \"" name                               \
  "\", \"team\": \"t\", \"class\": \"" work_class "\", \"pool\": \"" pool                          \
  "\", \"idempotent\": true" rest "}"

static const char *const routes
    = ROUTE ("pack", "batch", "p", ", \"packing\": 1, \"waiting\": 0") "," ROUTE ("spread", "batch", "p", ", \"packing\": 0, \"waiting\": 1") "," ROUTE (
        "third", "batch", "p",
        ", \"packing\": 1, \"waiting\": 2") "," ROUTE ("urgent", "urgent", "p",
                                                       "") "," ROUTE ("racks", "service", "p",
                                                                      ", \"rack_spread\": "
                                                                      "true") "," ROUTE ("gpac"
                                                                                         "k",
                                                                                         "batc"
                                                                                         "h",
                                                                                         "g",
                                                                                         ", "
                                                                                         "\"pa"
                                                                                         "ckin"
                                                                                         "g\":"
                                                                                         " 3, "
                                                                                         "\"wa"
                                                                                         "itin"
                                                                                         "g\":"
                                                                                         " 1") "," ROUTE ("gspread",
                                                                                                          "batch",
                                                                                                          "g",
                                                                                                          ", \"packing\": 1, \"waiting\": 3");

static const char *const works[]
    = { "pack", "spread", "third", "urgent", "racks", "gpack", "gspread" };

/* Largest difference in use that the levels of the index leave to chance. */
#define LEVEL_SHARE (1.0 / 16.0 + 0.001)

static bt_tables_t *
make_tables (const char *settings, guint plain, guint large, guint gpu)
{
  g_autofree char *p
      = bt_fleet_pool ("p", settings, 0, plain, 5, "\"cpus\": 32, \"memory_mb\": 65536");
  g_autofree char *g = bt_fleet_pool ("g", settings, 0, gpu, 3,
                                      "\"cpus\": 64, \"memory_mb\": 131072, \"gpus\": 8");
  g_autofree char *pools = g_strdup_printf ("%s, %s", p, g);
  bt_tables_t *tables = bt_fleet_tables (routes, pools);
  ck_assert_ptr_nonnull (tables);
  GPtrArray *vms = ((bt_pool_t *)tables->pools->pdata[0])->vms;
  for (guint i = 0; i < large && i < vms->len; i++)
    ((bt_vm_t *)vms->pdata[i])->cpus = 96;
  return tables;
}

static gboolean
usable (bt_fleet_t *fleet, const bt_job_t *job, const bt_worker_t *worker)
{
  bt_resources_t room;
  bt_quota_available (fleet->core, job, worker, &room);
  return strcmp (worker->pool, job->pool) == 0 && bt_resources_fit (&job->need, &room)
         && bt_owner_may_start (fleet->core, worker);
}

static double
used_share (const bt_worker_t *worker)
{
  double most = 0;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (i != BT_RESOURCE_GPUS && worker->capacity.v[i] > 0)
      most = MAX (most, (double)worker->used.v[i] / (double)worker->capacity.v[i]);
  return most;
}

static guint
in_rack (const bt_job_t *job, const char *rack)
{
  guint n = 0;
  for (guint i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].attempt != NULL && strcmp (job->tasks[i].attempt->worker->rack, rack) == 0)
      n++;
  return n;
}

typedef struct
{
  guint fitting;
  guint least_in_rack;
  double fullest;
  double emptiest;
} oracle_t;

static oracle_t
ask_oracle (bt_fleet_t *fleet, const bt_job_t *job)
{
  oracle_t oracle = { .least_in_rack = G_MAXUINT, .fullest = -1, .emptiest = 2 };
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, fleet->core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!usable (fleet, job, worker))
        continue;
      oracle.fitting++;
      oracle.least_in_rack = MIN (oracle.least_in_rack, in_rack (job, worker->rack));
      oracle.fullest = MAX (oracle.fullest, used_share (worker));
      oracle.emptiest = MIN (oracle.emptiest, used_share (worker));
    }
  return oracle;
}

static void
check_choice (bt_fleet_t *fleet, const bt_job_t *job, const bt_worker_t *worker)
{
  oracle_t oracle = ask_oracle (fleet, job);
  ck_assert_msg ((worker != NULL) == (oracle.fitting > 0), "%s: %u workers fit, chose %s", job->id,
                 oracle.fitting, worker != NULL ? worker->name : "none");
  if (worker == NULL)
    return;
  ck_assert (usable (fleet, job, worker));
  if (job->rack_spread)
    ck_assert_uint_eq (in_rack (job, worker->rack), oracle.least_in_rack);
  if (job->waiting_weight == 0)
    ck_assert_double_ge (used_share (worker), oracle.fullest - LEVEL_SHARE);
  if (job->packing_weight == 0)
    ck_assert_double_le (used_share (worker), oracle.emptiest + LEVEL_SHARE);
}

static void
draw_need (GRand *rand, gboolean gpus, bt_resources_t *need)
{
  *need = (bt_resources_t){ { 0 } };
  need->v[BT_RESOURCE_MCPUS] = 100 * g_rand_int_range (rand, 1, 180);
  need->v[BT_RESOURCE_MEMORY_MB] = 256 * g_rand_int_range (rand, 1, 120);
  need->v[BT_RESOURCE_GPUS] = gpus ? g_rand_int_range (rand, 0, 9) : 0;
  need->v[BT_RESOURCE_CONNECTIONS] = g_rand_int_range (rand, 0, 24);
}

static void
disturb (bt_fleet_t *fleet, GRand *rand, guint workers)
{
  g_autofree char *name = g_strdup_printf ("p-%d", g_rand_int_range (rand, 0, (gint32)workers));
  bt_worker_t *worker = bt_owner_find_worker (fleet->core, name);
  gint what = g_rand_int_range (rand, 0, 5);
  worker->leaving = what == 0;
  worker->needs_fencing = what == 1;
  worker->synced = what != 2;
  worker->lease_until = what == 3 ? 0 : G_MAXINT64 / 4;
}

static void
end_some (bt_fleet_t *fleet, GRand *rand, GPtrArray *running)
{
  while (running->len > 0 && g_rand_int_range (rand, 0, 100) < 45)
    {
      guint index = (guint)g_rand_int_range (rand, 0, (gint32)running->len);
      bt_attempt_remove (fleet->core, g_ptr_array_steal_index_fast (running, index), BT_TASK_ENDED);
    }
}

START_TEST (choice_agrees_with_exhaustive_search)
{
  static const char *const settings[]
      = { "", "\"urgent_reserve_percent\": 10,", "\"urgent_reserve_percent\": 40," };
  GRand *rand = g_rand_new_with_seed ((guint32)_i + 1);
  guint workers = 4 + 9 * (guint)_i;
  bt_tables_t *tables = make_tables (settings[_i % 3], workers, workers / 4, 5);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  g_autoptr (GPtrArray) running = g_ptr_array_new ();
  for (guint step = 0; step < 500; step++)
    {
      const char *work = works[g_rand_int_range (rand, 0, G_N_ELEMENTS (works))];
      bt_resources_t need;
      draw_need (rand, work[0] == 'g', &need);
      guint tasks = (guint)g_rand_int_range (rand, 1, 7);
      bt_job_t *job = bt_fleet_job (&fleet, work, &need, tasks);
      for (guint task = 0; task < tasks; task++)
        {
          bt_worker_t *worker = bt_place_find (fleet.core, job, task);
          check_choice (&fleet, job, worker);
          if (worker != NULL)
            g_ptr_array_add (running, bt_fleet_run (&fleet, job, task, worker));
        }
      end_some (&fleet, rand, running);
      disturb (&fleet, rand, workers);
      if (step % 100 == 99)
        bt_fleet_apply (&fleet, tables);
    }
  g_rand_free (rand);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

/* Loads of workers p-0, p-1, ... in thousandths of a processor; then one task is placed. */
static const struct
{
  const char *name;
  const char *settings;
  const char *work;
  gint64 loads[4];
  gint64 mcpus;
  const char *chosen;
} load_cases[] = {
  { "packing takes the fullest that fits", "", "pack", { 0, 8000, 24000, 30000 }, 4000, "p-2" },
  { "packing takes an exact fit", "", "pack", { 0, 8000, 24000, 28000 }, 4000, "p-3" },
  { "waiting takes the emptiest", "", "spread", { 4000, 8000, 0, 30000 }, 4000, "p-2" },
  { "a third is filled first", "", "third", { 0, 4000, 20000, 30000 }, 4000, "p-1" },
  { "a third is not passed while another has room",
    "",
    "third",
    { 10500, 4000, 10500, 10500 },
    4000,
    "p-1" },
  { "beyond a third the emptiest", "", "third", { 16000, 14000, 20000, 30000 }, 4000, "p-1" },
  { "full", "", "pack", { 30000, 30000, 30000, 30000 }, 4000, NULL },
  { "the reserve is not for batch",
    "\"urgent_reserve_percent\": 10,",
    "pack",
    { 26000, 26000, 26000, 26000 },
    4000,
    NULL },
  { "the reserve is for urgent work",
    "\"urgent_reserve_percent\": 10,",
    "urgent",
    { 30000, 26000, 30000, 30000 },
    4000,
    "p-1" },
  { "batch uses what is not reserved",
    "\"urgent_reserve_percent\": 10,",
    "pack",
    { 26000, 24000, 26000, 26000 },
    4000,
    "p-1" },
};

START_TEST (weights_and_reserve_decide)
{
  bt_tables_t *tables = make_tables (load_cases[_i].settings, 4, 0, 1);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  for (guint i = 0; i < 4; i++)
    {
      bt_resources_t load = { { load_cases[_i].loads[i], 64, 0, 1, 0 } };
      g_autofree char *name = g_strdup_printf ("p-%u", i);
      if (load_cases[_i].loads[i] > 0)
        bt_fleet_run (&fleet, bt_fleet_job (&fleet, "pack", &load, 1), 0,
                      bt_owner_find_worker (fleet.core, name));
    }
  bt_resources_t need = { { load_cases[_i].mcpus, 64, 0, 1, 0 } };
  const bt_worker_t *worker
      = bt_place_find (fleet.core, bt_fleet_job (&fleet, load_cases[_i].work, &need, 1), 0);
  ck_assert_str_eq (worker != NULL ? worker->name : "none",
                    load_cases[_i].chosen != NULL ? load_cases[_i].chosen : "none");
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

/* Accelerators in use on workers g-0, g-1, g-2; then one task is placed. */
static const struct
{
  const char *work;
  gint64 used[3];
  gint64 gpus;
  const char *chosen;
} gpu_cases[] = {
  { "gpack", { 0, 4, 6 }, 2, "g-2" },   { "gpack", { 0, 4, 6 }, 4, "g-1" },
  { "gpack", { 0, 4, 6 }, 8, "g-0" },   { "gpack", { 0, 8, 6 }, 0, "g-1" },
  { "gspread", { 0, 4, 6 }, 2, "g-0" }, { "gspread", { 0, 8, 6 }, 0, "g-1" },
  { "gpack", { 1, 4, 6 }, 8, NULL },
};

START_TEST (accelerators_are_kept_whole)
{
  bt_tables_t *tables = make_tables ("", 1, 0, 3);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  for (guint i = 0; i < 3; i++)
    {
      bt_resources_t load = { { 8000, 64, gpu_cases[_i].used[i], 1, 0 } };
      g_autofree char *name = g_strdup_printf ("g-%u", i);
      bt_fleet_run (&fleet, bt_fleet_job (&fleet, "gpack", &load, 1), 0,
                    bt_owner_find_worker (fleet.core, name));
    }
  bt_resources_t need = { { 1000, 64, gpu_cases[_i].gpus, 1, 0 } };
  const bt_worker_t *worker
      = bt_place_find (fleet.core, bt_fleet_job (&fleet, gpu_cases[_i].work, &need, 1), 0);
  ck_assert_str_eq (worker != NULL ? worker->name : "none",
                    gpu_cases[_i].chosen != NULL ? gpu_cases[_i].chosen : "none");
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

static const struct
{
  const char *settings;
  const char *work;
  bt_kind_t kind;
  gint64 tasks;
  gint64 mcpus;
  gint64 gpus;
  gboolean possible;
} possible_cases[] = {
  { "", "pack", BT_KIND_BATCH, 1, 32000, 0, TRUE },
  { "", "pack", BT_KIND_BATCH, 1, 32001, 0, FALSE },
  { "", "pack", BT_KIND_BATCH, 500, 32000, 0, TRUE },
  { "", "pack", BT_KIND_BATCH, 1, 1000, 1, FALSE },
  { "\"urgent_reserve_percent\": 10,", "pack", BT_KIND_BATCH, 1, 30000, 0, FALSE },
  { "\"urgent_reserve_percent\": 10,", "urgent", BT_KIND_BATCH, 1, 30000, 0, TRUE },
  { "", "pack", BT_KIND_GANG, 4, 32000, 0, TRUE },
  { "", "pack", BT_KIND_GANG, 5, 32000, 0, FALSE },
  { "", "pack", BT_KIND_GANG, 32, 100, 0, TRUE },
  { "", "pack", BT_KIND_GANG, 33, 100, 0, FALSE },
  { "", "gpack", BT_KIND_GANG, 3, 1000, 8, TRUE },
  { "", "gpack", BT_KIND_GANG, 4, 1000, 8, FALSE },
};

START_TEST (work_that_can_never_run_is_known)
{
  bt_tables_t *tables = make_tables (possible_cases[_i].settings, 4, 0, 3);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  bt_request_t request = { .kind = (gint)possible_cases[_i].kind };
  request.tasks = possible_cases[_i].tasks;
  request.mcpus = possible_cases[_i].mcpus;
  request.memory_mb = 64;
  request.gpus = possible_cases[_i].gpus;
  const bt_route_t *route = bt_tables_find_route (tables, possible_cases[_i].work);
  ck_assert_int_eq (bt_place_is_feasible (fleet.core, &request,
                                          bt_tables_find_pool (tables, route->pool),
                                          (bt_class_t)route->work_class),
                    possible_cases[_i].possible);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
}
END_TEST

/* Workers that a decision looks at, on a fleet of which most is in use. */
static double
examined_per_decision (guint workers, const char *work)
{
  bt_tables_t *tables = make_tables ("", workers, 0, 1);
  bt_fleet_t fleet;
  bt_fleet_init (&fleet, tables, "a", 1);
  GRand *rand = g_rand_new_with_seed (7);
  for (guint i = 0; i < 4 * workers; i++)
    {
      bt_resources_t need = { { 1000 * g_rand_int_range (rand, 2, 9), 4096, 0, 1, 0 } };
      bt_job_t *job = bt_fleet_job (&fleet, work, &need, 1);
      bt_worker_t *worker = bt_place_find (fleet.core, job, 0);
      if (worker != NULL)
        bt_fleet_run (&fleet, job, 0, worker);
    }
  const bt_counters_t *counters = &fleet.core->counters;
  double mean = (double)counters->place_examined / (double)counters->place_decisions;
  g_rand_free (rand);
  bt_fleet_clear (&fleet);
  bt_tables_free (tables);
  return mean;
}

START_TEST (decisions_do_not_walk_the_fleet)
{
  const double most = 32;
  ck_assert_double_le (examined_per_decision (60, works[_i]), most);
  ck_assert_double_le (examined_per_decision (980, works[_i]), most);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("place");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, choice_agrees_with_exhaustive_search, 0, 9);
  tcase_add_loop_test (tests, weights_and_reserve_decide, 0, G_N_ELEMENTS (load_cases));
  tcase_add_loop_test (tests, accelerators_are_kept_whole, 0, G_N_ELEMENTS (gpu_cases));
  tcase_add_loop_test (tests, work_that_can_never_run_is_known, 0, G_N_ELEMENTS (possible_cases));
  tcase_add_loop_test (tests, decisions_do_not_walk_the_fleet, 0, 5);
  return suite_run ("place", tests);
}
