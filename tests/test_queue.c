#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* The order in which waiting jobs are tried, and what a pass costs. */

#define ROUTE(name, team, work_class, more)                                                        \
  "{\"name\":\"" name "\",\"callers\":[\"*\"],\"work\":\"" name "\",\"team\":\"" team              \
  "\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":true" more "}"

#define ROUTES                                                                                     \
  "[" ROUTE ("u-a", "a", "urgent", "") "," ROUTE ("u-b", "b", "urgent", "") "," ROUTE (            \
      "s-a", "a", "service",                                                                       \
      "") "," ROUTE ("b-a", "a", "batch",                                                          \
                     "") "," ROUTE ("b-b", "b", "batch",                                           \
                                    "") "," ROUTE ("e-a", "a", "best-effort",                      \
                                                   "") "," ROUTE ("x", "unlisted", "urgent",       \
                                                                  "") "]"

static const scene_config_t base = {
  .data_centres = 1,
  .vms = 4,
  .cpus = 8,
  .quotas = "[{\"team\":\"a\",\"weight\":1,\"cpus\":16,\"memory_mb\":262144},"
            "{\"team\":\"b\",\"weight\":2,\"cpus\":16,\"memory_mb\":262144}]",
  .routes = ROUTES,
};

static void
no_peer (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static const bt_core_ops_t ops = { .peer_send = no_peer };

typedef struct
{
  bt_clock_t clock;
  bt_core_t *core;
  guint n;
} bare_t;

/* A core with tables, all of whose VMs count as live. */
static void
bare_init (bare_t *bare, const scene_config_t *config)
{
  memset (bare, 0, sizeof *bare);
  bt_clock_init_paused (&bare->clock, 1000 * BT_USEC_PER_SEC);
  bt_core_config_t core;
  bt_core_config_init (&core);
  core.name = "d1";
  core.address = "10.0.0.1:1";
  core.data_centre = "dc1";
  core.region = "r";
  bare->core = bt_core_new (&core, &bare->clock, &ops, NULL);
  bt_tables_free (bare->core->tables.tables);
  bare->core->tables.tables = scene_tables (config);
  bare->core->tables.version = 1;
  bt_owner_apply_tables (bare->core);
  bt_quota_tick (bare->core);
  bt_quota_pool_t *pool = g_hash_table_lookup (bare->core->quota.pools, "pool");
  pool->live_capacity = pool->capacity;
}

static bt_job_t *
add_job (bare_t *bare, const char *work, const char *caller, gint64 mcpus, gint64 age_s)
{
  g_autofree char *id = g_strdup_printf ("dc1/j%u", bare->n++);
  bt_request_t *request = scene_request (caller, work, BT_KIND_BATCH, 1, mcpus, 1000);
  bt_job_t *job = bt_job_new (bare->core, id);
  job->submitted_at = bare->core->now - age_s * BT_USEC_PER_SEC;
  bt_job_set_request (job, request,
                      bt_tables_match_route (bare->core->tables.tables, caller, work));
  bt_queue_push (bare->core, job);
  bt_schema_free (&bt_request_schema, request);
  return job;
}

static const struct
{
  const char *first;
  gint64 first_mcpus;
  const char *second;
  gint64 second_mcpus;
  gint64 used_by_a;
  gint64 used_by_b;
  guint decisions;
  gint64 second_age_s;
  gboolean first_goes;
} order_cases[] = {
  /* The more urgent class goes first, whoever came first. */
  { "u-a", 1000, "b-a", 1000, 0, 0, 0, 5, TRUE },
  { "s-a", 1000, "b-a", 1000, 0, 0, 0, 5, TRUE },
  { "b-a", 1000, "e-a", 1000, 0, 0, 0, 5, TRUE },
  /* Work within its quota goes before urgent work that borrows. */
  { "e-a", 1000, "u-b", 1000, 0, 16000, 0, 5, TRUE },
  { "e-a", 1000, "x", 1000, 0, 0, 0, 5, TRUE },
  { "u-b", 1000, "e-a", 1000, 0, 15000, 0, 5, TRUE },
  /* Inside a class the lower weighted share goes first; b has twice the weight. */
  { "u-a", 1000, "u-b", 1000, 2000, 6000, 0, 5, TRUE },
  { "u-b", 1000, "u-a", 1000, 4000, 6000, 0, 5, TRUE },
  /* One placement in 32 goes to the job that waited longest. */
  { "u-a", 1000, "x", 1000, 0, 0, 31, 100, FALSE },
  { "u-a", 1000, "e-a", 1000, 0, 0, 31, 100, FALSE },
  { "u-a", 1000, "e-a", 1000, 0, 0, 30, 100, TRUE },
  { "u-a", 1000, "e-a", 1000, 0, 0, 31, 20, TRUE },
};

START_TEST (the_order_holds)
{
  bare_t bare;
  bare_init (&bare, &base);
  bt_quota_get_account (bare.core, "pool", "a")->used.v[BT_RESOURCE_MCPUS]
      = order_cases[_i].used_by_a;
  bt_quota_get_account (bare.core, "pool", "b")->used.v[BT_RESOURCE_MCPUS]
      = order_cases[_i].used_by_b;
  bt_quota_get_account (bare.core, "pool", "a")->dominant_share
      = (double)order_cases[_i].used_by_a / 32000;
  bt_quota_get_account (bare.core, "pool", "b")->dominant_share
      = (double)order_cases[_i].used_by_b / 64000;
  bt_job_t *second = add_job (&bare, order_cases[_i].second, "c", order_cases[_i].second_mcpus,
                              order_cases[_i].second_age_s);
  bt_job_t *first = add_job (&bare, order_cases[_i].first, "c", order_cases[_i].first_mcpus, 0);
  bt_queue_pool_t *pool = g_hash_table_lookup (bare.core->queue.pools, "pool");
  pool->n_placements = order_cases[_i].decisions;
  bt_job_t *next = bt_queue_next (bare.core);
  ck_assert_ptr_eq (next, order_cases[_i].first_goes ? first : second);
  bt_core_free (bare.core);
}
END_TEST

/* Callers of one route take turns, however much one of them asks for. */
START_TEST (callers_take_turns)
{
  bare_t bare;
  bare_init (&bare, &base);
  for (guint i = 0; i < 1000; i++)
    add_job (&bare, "u-a", "flooder", 1000, 0);
  bt_job_t *light = add_job (&bare, "u-a", "light", 1000, 0);
  ck_assert_uint_le (bt_queue_count_ahead (light), 1);
  bt_core_free (bare.core);
}
END_TEST

/* Jobs tried in a pass follow the lanes, not the jobs. */
static const struct
{
  guint jobs;
  guint sizes;
  guint most_tries;
} cost_cases[] = { { 10, 1, 1 }, { 10000, 1, 1 }, { 10000, 4, 4 }, { 10000, 4000, 17 } };

START_TEST (a_pass_tries_each_lane_once)
{
  bare_t bare;
  bare_init (&bare, &base);
  for (guint i = 0; i < cost_cases[_i].jobs; i++)
    add_job (&bare, "u-a", "c", (gint64)1 << (i % MIN (cost_cases[_i].sizes, 12)), 0);
  guint tries = 0;
  bt_job_t *job;
  while ((job = bt_queue_next (bare.core)) != NULL)
    {
      tries++;
      bt_queue_report_placement (bare.core, job, FALSE);
    }
  ck_assert_uint_le (tries, cost_cases[_i].most_tries);
  ck_assert_ptr_null (bt_queue_next (bare.core));
  add_job (&bare, "u-a", "c", 1, 0);
  ck_assert_ptr_null (bt_queue_next (bare.core));
  ck_assert_uint_eq (bt_queue_length (bare.core, "pool"), cost_cases[_i].jobs + 1);
  ck_assert_uint_eq (bt_queue_route_length (bare.core, "u-a"), cost_cases[_i].jobs + 1);
  bt_core_free (bare.core);
}
END_TEST

/* A lane that was blocked is tried again when a VM has room for its first job, and only then. */
static const struct
{
  gboolean free_first;
  gboolean fill_first;
  gboolean free_second;
  gint64 freed_mcpus;
  gboolean tried;
} freed_cases[] = {
  { FALSE, FALSE, FALSE, 0, FALSE },  { TRUE, FALSE, FALSE, 1000, TRUE },
  { TRUE, FALSE, FALSE, 999, FALSE }, { TRUE, TRUE, FALSE, 1000, FALSE },
  { TRUE, TRUE, TRUE, 1000, TRUE },   { FALSE, FALSE, TRUE, 1000, TRUE },
};

static void
set_used (bt_worker_t *worker, gint64 left)
{
  worker->used = worker->capacity;
  worker->used.v[BT_RESOURCE_MCPUS] -= left;
  worker->used.v[BT_RESOURCE_MEMORY_MB] = 0;
  worker->used.v[BT_RESOURCE_SLOTS] = 0;
}

START_TEST (a_freed_vm_opens_the_lanes_that_fit)
{
  bare_t bare;
  bare_init (&bare, &base);
  bt_job_t *job = add_job (&bare, "u-a", "c", 1000, 0);
  ck_assert_ptr_eq (bt_queue_next (bare.core), job);
  bt_queue_report_placement (bare.core, job, FALSE);
  bt_worker_t *first = bt_owner_find_worker (bare.core, "vm1-1");
  bt_worker_t *second = bt_owner_find_worker (bare.core, "vm1-2");
  set_used (first, 0);
  set_used (second, 0);
  if (freed_cases[_i].free_first)
    {
      set_used (first, freed_cases[_i].freed_mcpus);
      bt_queue_on_resources_freed (bare.core, first);
    }
  if (freed_cases[_i].fill_first)
    set_used (first, 0);
  if (freed_cases[_i].free_second)
    {
      set_used (second, freed_cases[_i].freed_mcpus);
      bt_queue_on_resources_freed (bare.core, second);
    }
  ck_assert_ptr_eq (bt_queue_next (bare.core), freed_cases[_i].tried ? job : NULL);
  bt_core_free (bare.core);
}
END_TEST

/* Under a full load of others' small tasks, none waits for ever. */
static const struct
{
  const char *work;
  const char *caller;
  gint64 mcpus;
} starving_cases[] = {
  { "e-a", "c", 1000 }, { "x", "c", 1000 },   { "x", "c", 8000 },
  { "e-a", "c", 8000 }, { "b-b", "c", 8000 },
};

START_TEST (nothing_starves)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 600; i++)
    {
      const bt_core_t *core = bt_world_node (scene->world, "dc1-d1")->core;
      for (guint k = bt_queue_route_length (core, "s-a"); k < 40; k++)
        scene_submit (scene, "dc1-d1", "c", "s-a", BT_KIND_BATCH, 1, 1000, 400);
      for (guint k = bt_queue_route_length (core, "u-b"); k < 40; k++)
        scene_submit (scene, "dc1-d1", "c", "u-b", BT_KIND_BATCH, 1, 1000, 400);
      if (i == 50)
        scene_submit (scene, "dc1-d1", starving_cases[_i].caller, starving_cases[_i].work,
                      BT_KIND_BATCH, 1, starving_cases[_i].mcpus, 300);
      bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
    }
  ck_assert_uint_eq (scene_starts (scene, starving_cases[_i].work), 1);
  ck_assert_int_lt (scene_wait_max (scene, starving_cases[_i].work), 50 * BT_USEC_PER_SEC);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("queue");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, the_order_holds, 0, G_N_ELEMENTS (order_cases));
  tcase_add_test (tests, callers_take_turns);
  tcase_add_loop_test (tests, a_pass_tries_each_lane_once, 0, G_N_ELEMENTS (cost_cases));
  tcase_add_loop_test (tests, a_freed_vm_opens_the_lanes_that_fit, 0, G_N_ELEMENTS (freed_cases));
  tcase_add_loop_test (tests, nothing_starves, 0, G_N_ELEMENTS (starving_cases));
  return suite_run ("queue", tests);
}
