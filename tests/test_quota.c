#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* What teams are entitled to, what the reserve keeps free, and what each team gets. */

#define ROUTE(name, team, work_class)                                                              \
  "{\"name\":\"" name "\",\"callers\":[\"*\"],\"work\":\"" name "\",\"team\":\"" team              \
  "\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":true}"

#define ROUTES                                                                                     \
  "[" ROUTE ("u-a", "a", "urgent") "," ROUTE ("b-a", "a", "batch") "," ROUTE (                     \
      "b-b", "b", "batch") "," ROUTE ("u-b", "b", "urgent") "," ROUTE ("b-c", "c", "batch") "]"

static void
no_peer (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static const bt_core_ops_t ops = { .peer_send = no_peer };

static bt_core_t *
core_in (const char *data_centre, const scene_config_t *config, bt_clock_t *clock)
{
  bt_clock_init_paused (clock, 1000 * BT_USEC_PER_SEC);
  bt_core_config_t settings;
  bt_core_config_init (&settings);
  settings.name = "d1";
  settings.address = "10.0.0.1:1";
  settings.data_centre = data_centre;
  settings.region = "r";
  bt_core_t *core = bt_core_new (&settings, clock, &ops, NULL);
  bt_tables_free (core->tables.tables);
  core->tables.tables = scene_tables (config);
  core->tables.version = 1;
  bt_owner_apply_tables (core);
  bt_quota_tick (core);
  return core;
}

/* The parts of a quota in all data centres add up to it exactly. */
static const struct
{
  guint vms_in[3];
  gint64 cpus;
  gint64 gpus;
  gint64 own_mcpus;
  gint64 own_gpus;
} split_cases[] = {
  { { 3, 3, 3 }, 9, 3, 3000, 1 },    { { 3, 3, 3 }, 9, 1, 3000, 1 }, { { 1, 2, 4 }, 7, 7, 1000, 1 },
  { { 1, 2, 4 }, 10, 3, 1429, 0 },   { { 1, 1, 5 }, 1, 1, 143, 0 },  { { 5, 1, 1 }, 1, 1, 714, 1 },
  { { 2, 3, 2 }, 56, 14, 16000, 4 }, { { 2, 3, 2 }, 0, 0, 0, 0 },
};

START_TEST (parts_add_up_to_the_quota)
{
  g_autofree char *quotas = g_strdup_printf ("[{\"team\":\"a\",\"cpus\":%" G_GINT64_FORMAT
                                             ",\"memory_mb\":65537,\"gpus\":%" G_GINT64_FORMAT "}]",
                                             split_cases[_i].cpus, split_cases[_i].gpus);
  scene_config_t config = { .data_centres = 3, .cpus = 8, .gpus = 2, .routes = ROUTES };
  memcpy (config.vms_in, split_cases[_i].vms_in, sizeof split_cases[_i].vms_in);
  config.quotas = quotas;
  static const char *const names[] = { "dc1", "dc2", "dc3" };
  bt_resources_t sum = { { 0 } };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      bt_clock_t clock;
      bt_core_t *core = core_in (names[i], &config, &clock);
      const bt_account_t *account = bt_quota_get_account (core, "pool", "a");
      bt_resources_add (&sum, &account->entitled);
      if (i == 0)
        {
          ck_assert_int_eq (account->entitled.v[BT_RESOURCE_MCPUS], split_cases[_i].own_mcpus);
          ck_assert_int_eq (account->entitled.v[BT_RESOURCE_GPUS], split_cases[_i].own_gpus);
        }
      bt_core_free (core);
    }
  ck_assert_int_eq (sum.v[BT_RESOURCE_MCPUS], split_cases[_i].cpus * 1000);
  ck_assert_int_eq (sum.v[BT_RESOURCE_MEMORY_MB], 65537);
  ck_assert_int_eq (sum.v[BT_RESOURCE_GPUS], split_cases[_i].gpus);
}
END_TEST

/* What a VM of 8 processors and 8 slots has for a class. */
static const struct
{
  guint reserve;
  const char *work;
  gint64 used;
  gint64 used_urgent;
  gboolean held;
  gint64 mcpus;
  gint64 slots;
} room_cases[] = {
  { 0, "b-a", 0, 0, FALSE, 8000, 8 },        { 10, "b-a", 0, 0, FALSE, 7200, 7 },
  { 10, "u-a", 0, 0, FALSE, 8000, 8 },       { 25, "b-a", 6000, 0, FALSE, 0, 0 },
  { 25, "u-a", 6000, 0, FALSE, 2000, 2 },    { 25, "b-a", 2000, 2000, FALSE, 6000, 6 },
  { 25, "b-a", 4000, 4000, FALSE, 4000, 4 }, { 25, "b-a", 7000, 1000, FALSE, 0, 0 },
  { 25, "b-a", 0, 0, TRUE, 0, 0 },           { 25, "u-a", 0, 0, TRUE, 2000, 2 },
  { 25, "u-a", 1000, 1000, TRUE, 1000, 1 },  { 0, "u-a", 0, 0, TRUE, 0, 0 },
};

START_TEST (the_reserve_is_for_urgent_work)
{
  scene_config_t config = { .data_centres = 1, .vms = 1, .cpus = 8, .routes = ROUTES };
  config.reserve = room_cases[_i].reserve;
  bt_clock_t clock;
  bt_core_t *core = core_in ("dc1", &config, &clock);
  bt_worker_t *worker = bt_owner_find_worker (core, "vm1-1");
  worker->used.v[BT_RESOURCE_MCPUS] = room_cases[_i].used;
  worker->used.v[BT_RESOURCE_SLOTS] = room_cases[_i].used / 1000;
  worker->used_urgent.v[BT_RESOURCE_MCPUS] = room_cases[_i].used_urgent;
  worker->used_urgent.v[BT_RESOURCE_SLOTS] = room_cases[_i].used_urgent / 1000;
  bt_job_t holder = { .work_class = BT_CLASS_BATCH };
  worker->reserved_for = room_cases[_i].held ? &holder : NULL;
  bt_job_t job = { .work_class = BT_CLASS_BATCH };
  if (room_cases[_i].work[0] == 'u')
    job.work_class = BT_CLASS_URGENT;
  bt_resources_t room;
  bt_quota_available (core, &job, worker, &room);
  ck_assert_int_eq (room.v[BT_RESOURCE_MCPUS], room_cases[_i].mcpus);
  ck_assert_int_eq (room.v[BT_RESOURCE_SLOTS], room_cases[_i].slots);
  bt_core_free (core);
}
END_TEST

/* Two teams that ask for more than there is: what each runs in the end. */
typedef struct
{
  const char *quotas;
  const char *first;
  const char *second;
  guint lost;
  guint least_first;
  guint most_first;
  guint least_second;
  guint most_second;
} compete_case_t;

#define QUOTAS(a, b, more)                                                                         \
  "[{\"team\":\"a\",\"cpus\":" a ",\"memory_mb\":262144" more "},{\"team\":\"b\",\"cpus\":" b      \
  ",\"memory_mb\":262144}]"

static const compete_case_t compete_cases[] = {
  /* Equal shares without quotas, though only a and b of three teams ask. */
  { NULL, "b-a", "b-b", 0, 15, 17, 15, 17 },
  /* By quota. */
  { QUOTAS ("16", "16", ""), "b-a", "b-b", 0, 16, 16, 16, 16 },
  { QUOTAS ("24", "8", ""), "b-a", "b-b", 0, 24, 24, 8, 8 },
  /* What others leave idle is borrowed. */
  { QUOTAS ("8", "24", ""), "b-a", NULL, 0, 32, 32, 0, 0 },
  { QUOTAS ("8", "24", ",\"borrow\":false"), "b-a", NULL, 0, 8, 8, 0, 0 },
  /* And comes back as tasks end, from urgent work too. */
  { QUOTAS ("8", "24", ""), "b-a", "b-b", 0, 8, 8, 24, 24 },
  { QUOTAS ("8", "24", ""), "u-a", "b-b", 0, 8, 8, 24, 24 },
  { QUOTAS ("16", "16", ""), "u-a", "b-b", 0, 16, 16, 16, 16 },
  /* Above the quotas the weights share: here equal ones. */
  { QUOTAS ("8", "8", ""), "b-a", "b-b", 0, 15, 17, 15, 17 },
  /* A quarter of the VMs is lost: both lose a quarter. */
  { QUOTAS ("16", "16", ""), "u-a", "b-b", 1, 12, 12, 12, 12 },
  { QUOTAS ("24", "8", ""), "u-a", "b-b", 1, 18, 18, 6, 6 },
  /* Team c has no quota: it borrows, and gives back. */
  { QUOTAS ("16", "16", ""), "b-c", "b-a", 0, 15, 17, 15, 17 },
};

START_TEST (each_team_gets_its_part)
{
  const compete_case_t *row = &compete_cases[_i];
  scene_config_t config
      = { .data_centres = 1, .vms = 4, .cpus = 8, .quotas = row->quotas, .routes = ROUTES };
  scene_t *scene = scene_new (&config);
  for (guint i = 0; i < row->lost; i++)
    bt_world_host_kill (scene->world, scene->world->hosts->pdata[i]);
  if (row->lost > 0)
    bt_world_run (scene->world, 15 * BT_USEC_PER_SEC);
  for (guint i = 0; i < 400; i++)
    scene_submit (scene, "dc1-d1", "c", row->first, BT_KIND_BATCH, 1, 1000, 1500 + i % 7 * 100);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  for (guint i = 0; i < 400 && row->second != NULL; i++)
    scene_submit (scene, "dc1-d1", "c", row->second, BT_KIND_BATCH, 1, 1000, 1500 + i % 7 * 100);
  bt_world_run (scene->world, 8 * BT_USEC_PER_SEC);
  const bt_core_t *core = bt_world_node (scene->world, "dc1-d1")->core;
  gint64 first = 0, second = 0;
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, core->sched.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (strcmp (attempt->job->request->work, row->first) == 0)
      first++;
    else
      second++;
  ck_assert_int_ge (first, row->least_first);
  ck_assert_int_le (first, row->most_first);
  ck_assert_int_ge (second, row->least_second);
  ck_assert_int_le (second, row->most_second);
  scene_free (scene);
}
END_TEST

/* A worker may report an attempt before anyone tells what its job is. */
START_TEST (an_attempt_known_first_is_charged_once_its_job_is_known)
{
  scene_config_t config = { .data_centres = 1, .vms = 1, .cpus = 8, .routes = ROUTES };
  bt_clock_t clock;
  bt_core_t *core = core_in ("dc1", &config, &clock);
  bt_request_t *request = scene_request ("c", "u-a", BT_KIND_REQUEST, 1, 1000, 500);
  bt_job_t *job = bt_job_new (core, "dc1/j");
  bt_job_ensure_tasks (job, 1);
  bt_resources_t need;
  bt_request_get_need (request, &need);
  bt_attempt_t *attempt = bt_attempt_new (core, job, 0, "dc1/j/0", "vm1-1");
  bt_attempt_bind (attempt, bt_owner_find_worker (core, "vm1-1"), &need);
  const bt_account_t *account = bt_quota_get_account (core, "pool", "a");
  ck_assert_int_eq (account->used.v[BT_RESOURCE_MCPUS], 0);
  bt_job_set_request (job, request, bt_tables_find_route (core->tables.tables, "u-a"));
  ck_assert_int_eq (account->used.v[BT_RESOURCE_MCPUS], 1000);
  bt_attempt_remove (core, attempt, BT_TASK_ENDED);
  ck_assert_int_eq (account->used.v[BT_RESOURCE_MCPUS], 0);
  bt_schema_free (&bt_request_schema, request);
  bt_core_free (core);
}
END_TEST

/* Accounts agree with the attempts, also after workers and daemons were lost. */
START_TEST (accounts_follow_the_attempts)
{
  scene_config_t config = { .data_centres = 1, .vms = 4, .cpus = 8, .routes = ROUTES };
  config.daemons = 2;
  config.seed = (guint32)_i + 1;
  scene_t *scene = scene_new (&config);
  for (guint i = 0; i < 60; i++)
    scene_submit (scene, "dc1-d1", "c", i % 2 > 0 ? "u-a" : "b-b", BT_KIND_BATCH, 1, 1000, 30000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  bt_world_kill (scene->world, bt_world_leader (scene->world, "dc1"));
  bt_world_host_kill (scene->world, scene->world->hosts->pdata[_i % 4]);
  bt_world_run (scene->world, 7 * BT_USEC_PER_SEC);
  const bt_node_t *leader = bt_world_leader (scene->world, "dc1");
  ck_assert_ptr_nonnull (leader);
  bt_resources_t charged = { { 0 } }, held = { { 0 } };
  bt_resources_add (&charged, &bt_quota_get_account (leader->core, "pool", "a")->used);
  bt_resources_add (&charged, &bt_quota_get_account (leader->core, "pool", "b")->used);
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, leader->core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    bt_resources_add (&held, &worker->used);
  ck_assert_int_gt (held.v[BT_RESOURCE_SLOTS], 0);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    ck_assert_int_eq (charged.v[i], held.v[i]);
  bt_world_run (scene->world, 150 * BT_USEC_PER_SEC);
  ck_assert_int_eq (bt_quota_get_account (leader->core, "pool", "a")->used.v[BT_RESOURCE_SLOTS], 0);
  ck_assert_int_eq (bt_quota_get_account (leader->core, "pool", "b")->used.v[BT_RESOURCE_SLOTS], 0);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("quota");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, parts_add_up_to_the_quota, 0, G_N_ELEMENTS (split_cases));
  tcase_add_loop_test (tests, the_reserve_is_for_urgent_work, 0, G_N_ELEMENTS (room_cases));
  tcase_add_loop_test (tests, each_team_gets_its_part, 0, G_N_ELEMENTS (compete_cases));
  tcase_add_test (tests, an_attempt_known_first_is_charged_once_its_job_is_known);
  tcase_add_loop_test (tests, accounts_follow_the_attempts, 0, 4);
  return suite_run ("quota", tests);
}
