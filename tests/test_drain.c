#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* What becomes of work on a VM that leaves, for each way in which it is told. */

#define STEP_US (100 * BT_USEC_PER_MSEC)

#define ROUTE(work, work_class, idempotent)                                                        \
  "{\"name\":\"" work "\",\"callers\":[\"*\"],\"work\":\"" work                                    \
  "\",\"team\":\"t\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":" idempotent    \
  ",\"packing\":1,\"waiting\":9}"

#define ROUTES                                                                                     \
  "[" ROUTE ("watch", "service", "true") "," ROUTE ("build", "batch", "true") "," ROUTE (          \
      "bill", "batch", "false") "," ROUTE ("ask", "urgent", "true") "," ROUTE ("gang", "batch",    \
                                                                               "true") "]"

static const scene_config_t base = {
  .data_centres = 1, .vms = 5, .cpus = 16, .daemons = 2, .drain_ms = 10000, .routes = ROUTES
};

typedef enum
{
  BY_WORKER,
  BY_LIST,
  BY_TABLES,
} way_t;

static bt_node_t *
leader_of (scene_t *scene)
{
  bt_node_t *leader = bt_world_leader (scene->world, "dc1");
  ck_assert_ptr_nonnull (leader);
  return leader;
}

static void
publish (scene_t *scene, const bt_tables_t *tables)
{
  g_autofree char *id = g_strdup_printf ("edit-%" G_GUINT64_FORMAT, scene->world->steps);
  bt_edit_t *edit = bt_fold_diff (bt_core_tables (leader_of (scene)->core), tables, id, "operator");
  bt_world_publish (scene->world, edit);
  bt_schema_free (&bt_edit_schema, edit);
}

static void
vm_free (bt_vm_t *vm)
{
  g_ref_string_release (vm->name);
  g_ref_string_release (vm->address);
  g_ref_string_release (vm->data_centre);
  g_ref_string_release (vm->rack);
  g_free (vm);
}

static void
set_leaving (scene_t *scene, way_t way, const char *name, gboolean leaving)
{
  if (way == BY_WORKER)
    bt_world_host (scene->world, name)->model.leaving = leaving;
  if (way == BY_LIST)
    {
      g_autoptr (GPtrArray) names = g_ptr_array_new ();
      if (leaving)
        g_ptr_array_add (names, (char *)name);
      for (guint i = 0; i < scene->world->nodes->len; i++)
        bt_core_on_vm_list (((bt_node_t *)scene->world->nodes->pdata[i])->core, names);
    }
  if (way != BY_TABLES)
    return;
  bt_tables_t *tables = bt_tables_copy (scene->tables);
  GPtrArray *vms = ((bt_pool_t *)tables->pools->pdata[0])->vms;
  for (guint i = 0; leaving && i < vms->len; i++)
    if (strcmp (((const bt_vm_t *)vms->pdata[i])->name, name) == 0)
      vm_free (g_ptr_array_remove_index (vms, i));
  publish (scene, tables);
  bt_tables_free (tables);
}

/* Lets time pass and checks that no more of a work's tasks run than there are. */
static void
run_and_check (scene_t *scene, const char *work, guint tasks, gint64 for_us)
{
  for (gint64 passed = 0; passed < for_us; passed += STEP_US)
    {
      bt_world_run (scene->world, STEP_US);
      ck_assert_uint_le (scene_running (scene, work), tasks);
    }
}

static bt_host_t *
host_with_work (scene_t *scene)
{
  for (guint i = 0; i < scene->world->hosts->len; i++)
    {
      bt_host_t *host = scene->world->hosts->pdata[i];
      if (host->model.used.v[BT_RESOURCE_SLOTS] > 0)
        return host;
    }
  ck_abort_msg ("no VM has work");
}

static const struct
{
  way_t way;
  const char *work;
  bt_kind_t kind;
  guint tasks;
  gint64 run_ms;
  gint64 for_s;
  guint starts;
  gboolean moved;
} move_cases[] = {
  /* Services move at once. */
  { BY_WORKER, "watch", BT_KIND_SERVICE, 4, 1000, 8, 5, TRUE },
  { BY_LIST, "watch", BT_KIND_SERVICE, 4, 1000, 8, 5, TRUE },
  { BY_TABLES, "watch", BT_KIND_SERVICE, 4, 1000, 8, 5, TRUE },
  { BY_WORKER, "watch", BT_KIND_SERVICE, 1, 1000, 8, 2, TRUE },
  /* Batch work may end by itself until the limit; then it moves if it may run again. */
  { BY_WORKER, "build", BT_KIND_BATCH, 4, 600000, 8, 4, FALSE },
  { BY_WORKER, "build", BT_KIND_BATCH, 4, 600000, 14, 5, TRUE },
  { BY_LIST, "build", BT_KIND_BATCH, 4, 600000, 14, 5, TRUE },
  { BY_TABLES, "build", BT_KIND_BATCH, 4, 600000, 14, 5, TRUE },
  { BY_WORKER, "gang", BT_KIND_GANG, 4, 600000, 16, 8, TRUE },
  { BY_WORKER, "bill", BT_KIND_BATCH, 4, 600000, 30, 4, FALSE },
  { BY_WORKER, "bill", BT_KIND_SERVICE, 4, 1000, 30, 4, FALSE },
  /* A request in flight is never cut off. */
  { BY_WORKER, "ask", BT_KIND_REQUEST, 1, 25000, 20, 1, FALSE },
  { BY_TABLES, "ask", BT_KIND_REQUEST, 1, 25000, 20, 1, FALSE },
};

START_TEST (work_on_a_leaving_vm)
{
  scene_t *scene = scene_new (&base);
  scene_submit (scene, "dc1-d1", "c", move_cases[_i].work, move_cases[_i].kind,
                move_cases[_i].tasks, 2000, move_cases[_i].run_ms);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  guint tasks = move_cases[_i].tasks;
  ck_assert_uint_eq (scene_running (scene, move_cases[_i].work), tasks);
  bt_host_t *host = host_with_work (scene);
  set_leaving (scene, move_cases[_i].way, host->model.name, TRUE);
  run_and_check (scene, move_cases[_i].work, tasks, move_cases[_i].for_s * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, move_cases[_i].work), move_cases[_i].starts);
  ck_assert_uint_eq (scene_running (scene, move_cases[_i].work), tasks);
  gboolean moved = host->model.used.v[BT_RESOURCE_SLOTS] == 0;
  ck_assert_int_eq (moved, move_cases[_i].moved);
  scene_free (scene);
}
END_TEST

START_TEST (a_request_in_flight_is_answered)
{
  scene_t *scene = scene_new (&base);
  guint64 exchange = scene_submit (scene, "dc1-d1", "c", "ask", BT_KIND_REQUEST, 1, 2000, 15000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  set_leaving (scene, (way_t)_i, host_with_work (scene)->model.name, TRUE);
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  ck_assert_int_eq (scene_answer (scene, exchange)->status, BT_STATUS_DONE);
  ck_assert_uint_eq (scene_starts (scene, "ask"), 1);
  scene_free (scene);
}
END_TEST

/* Also one that this owner learned of from the worker's list is left to end. */
START_TEST (a_request_of_an_earlier_owner_is_not_cut_off)
{
  scene_t *scene = scene_new (&base);
  bt_node_t *leader = leader_of (scene);
  const char *other = strcmp (leader->name, "dc1-d1") == 0 ? "dc1-d2" : "dc1-d1";
  scene_submit (scene, other, "c", "ask", BT_KIND_REQUEST, 1, 2000, 40000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  bt_world_kill (scene->world, leader);
  bt_world_run (scene->world, 8 * BT_USEC_PER_SEC);
  ck_assert_str_eq (leader_of (scene)->name, other);
  ck_assert_uint_eq (scene_running (scene, "ask"), 1);
  set_leaving (scene, BY_WORKER, host_with_work (scene)->model.name, TRUE);
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "ask"), 1);
  ck_assert_uint_eq (scene_starts (scene, "ask"), 1);
  scene_free (scene);
}
END_TEST

/* Requests keep coming; the VM gets none while it leaves, and some once it stays. */
START_TEST (a_leaving_vm_gets_no_work_until_it_stays)
{
  scene_t *scene = scene_new (&base);
  bt_host_t *host = bt_world_host (scene->world, "vm1-3");
  guint64 starts[4] = { 0 };
  for (guint phase = 0; phase < 4; phase++)
    {
      if (phase == 1)
        set_leaving (scene, (way_t)_i, "vm1-3", TRUE);
      if (phase == 3)
        set_leaving (scene, (way_t)_i, "vm1-3", FALSE);
      guint64 before = host->model.starts;
      for (guint i = 0; i < 40; i++)
        {
          scene_submit (scene, "dc1-d2", "c", "ask", BT_KIND_REQUEST, 1, 2000, 400);
          bt_world_run (scene->world, 50 * BT_USEC_PER_MSEC);
        }
      starts[phase] = host->model.starts - before;
    }
  ck_assert_uint_gt (starts[0], 0);
  ck_assert_uint_eq (starts[2], 0);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  for (guint i = 0; i < 40; i++)
    {
      scene_submit (scene, "dc1-d2", "c", "ask", BT_KIND_REQUEST, 1, 2000, 400);
      bt_world_run (scene->world, 50 * BT_USEC_PER_MSEC);
    }
  ck_assert_uint_gt (host->model.starts, starts[0] + starts[1] + starts[3]);
  scene_free (scene);
}
END_TEST

/* Without room elsewhere a service stays up where it is. */
START_TEST (a_service_without_another_place_stays)
{
  scene_t *scene = scene_new (&base);
  scene_submit (scene, "dc1-d1", "c", "watch", BT_KIND_SERVICE, 5, 16000, 1000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  set_leaving (scene, (way_t)_i, "vm1-3", TRUE);
  run_and_check (scene, "watch", 5, 20 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "watch"), 5);
  ck_assert_uint_eq (scene_starts (scene, "watch"), 5);
  scene_free (scene);
}
END_TEST

/* A gang past the limit is stopped only if all of it has room without the VM. */
static const struct
{
  gint64 tasks;
  guint starts;
} gang_cases[] = {
  { 5, 5 },
  { 4, 8 },
};

START_TEST (a_gang_moves_as_a_whole)
{
  scene_t *scene = scene_new (&base);
  scene_submit (scene, "dc1-d1", "c", "gang", BT_KIND_GANG, gang_cases[_i].tasks, 16000, 600000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  set_leaving (scene, BY_WORKER, host_with_work (scene)->model.name, TRUE);
  run_and_check (scene, "gang", (guint)gang_cases[_i].tasks, 20 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "gang"), gang_cases[_i].tasks);
  ck_assert_uint_eq (scene_starts (scene, "gang"), gang_cases[_i].starts);
  scene_free (scene);
}
END_TEST

/* Of a service at most one task is down at a time, however many of its VMs leave. */
START_TEST (one_task_of_a_service_moves_at_a_time)
{
  scene_t *scene = scene_new (&base);
  scene_submit (scene, "dc1-d1", "c", "watch", BT_KIND_SERVICE, 10, 3000, 1000);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "watch"), 10);
  set_leaving (scene, BY_WORKER, "vm1-1", TRUE);
  set_leaving (scene, BY_WORKER, "vm1-2", TRUE);
  for (guint step = 0; step < 20000; step++)
    {
      bt_world_run (scene->world, BT_USEC_PER_MSEC);
      ck_assert_uint_ge (scene_running (scene, "watch"), 9);
      ck_assert_uint_le (scene_running (scene, "watch"), 10);
    }
  ck_assert_int_eq (bt_world_host (scene->world, "vm1-1")->model.used.v[BT_RESOURCE_SLOTS], 0);
  ck_assert_int_eq (bt_world_host (scene->world, "vm1-2")->model.used.v[BT_RESOURCE_SLOTS], 0);
  scene_free (scene);
}
END_TEST

/* Tables are edited while a job waits; each VM has 16 processors, of which it needs more free. */
static const struct
{
  const char *name;
  gint64 mcpus;
  gint64 new_cpus;
  gboolean back_at_once;
  gboolean drop_vms;
  bt_status_t status;
  bt_reason_t reason;
} fit_cases[] = {
  { "it still fits", 12000, 14, FALSE, FALSE, BT_STATUS_ACCEPTED, BT_REASON_NONE },
  { "no VM is large enough", 12000, 8, FALSE, FALSE, BT_STATUS_NOT_RUN, BT_REASON_TABLES_CHANGED },
  { "the edit is taken back", 12000, 8, TRUE, FALSE, BT_STATUS_ACCEPTED, BT_REASON_NONE },
  { "the pool is small but live", 7000, 8, FALSE, FALSE, BT_STATUS_ACCEPTED, BT_REASON_NONE },
};

START_TEST (an_edit_makes_waiting_work_impossible)
{
  scene_t *scene = scene_new (&base);
  scene_submit (scene, "dc1-d1", "c", "bill", BT_KIND_BATCH, 5, 10000, 600000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  guint64 exchange
      = scene_submit (scene, "dc1-d1", "c", "bill", BT_KIND_BATCH, 1, fit_cases[_i].mcpus, 1000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  bt_tables_t *tables = bt_tables_copy (scene->tables);
  GPtrArray *vms = ((bt_pool_t *)tables->pools->pdata[0])->vms;
  for (guint i = 0; i < vms->len; i++)
    ((bt_vm_t *)vms->pdata[i])->cpus = fit_cases[_i].new_cpus;
  publish (scene, tables);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  if (fit_cases[_i].back_at_once)
    publish (scene, scene->tables);
  bt_world_run (scene->world, 8 * BT_USEC_PER_SEC);
  const bt_job_t *job = g_hash_table_lookup (leader_of (scene)->core->sched.jobs,
                                             scene_answer (scene, exchange)->job);
  ck_assert_ptr_nonnull (job);
  gboolean ended = fit_cases[_i].reason != BT_REASON_NONE;
  ck_assert_int_eq (job->state, ended ? BT_JOB_ENDED : BT_JOB_OPEN);
  if (ended)
    {
      ck_assert_int_eq (job->status, fit_cases[_i].status);
      ck_assert_int_eq (job->reason, fit_cases[_i].reason);
      ck_assert_ptr_nonnull (strstr (job->detail, "pool"));
    }
  ck_assert_uint_eq (scene_running (scene, "bill"), 5);
  bt_tables_free (tables);
  scene_free (scene);
}
END_TEST

/* Thousands of running tasks are cancelled at once: one message for each worker. */
START_TEST (a_wave_of_cancellations_is_sent_in_batches)
{
  scene_config_t config = base;
  config.vms = 60;
  config.slots = 100;
  config.daemons = 1;
  scene_t *scene = scene_new (&config);
  bt_node_t *node = bt_world_node (scene->world, "dc1-d1");
  g_autoptr (GPtrArray) jobs = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < 12; i++)
    {
      guint64 exchange
          = scene_submit (scene, "dc1-d1", "c", "build", BT_KIND_BATCH, 400, 160, 600000);
      bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
      g_ptr_array_add (jobs, g_strdup (scene_answer (scene, exchange)->job));
    }
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "build"), 4800);
  guint64 before = node->core->counters.stops_sent;
  for (guint i = 0; i < jobs->len; i++)
    bt_world_query (scene->world, node, BT_QUERY_CANCEL, jobs->pdata[i]);
  bt_world_run (scene->world, 500 * BT_USEC_PER_MSEC);
  ck_assert_uint_eq (scene_running (scene, "build"), 0);
  ck_assert_uint_eq (node->core->counters.stops_sent - before, 60);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("drain");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, work_on_a_leaving_vm, 0, G_N_ELEMENTS (move_cases));
  tcase_add_loop_test (tests, a_request_in_flight_is_answered, 0, BY_TABLES + 1);
  tcase_add_test (tests, a_request_of_an_earlier_owner_is_not_cut_off);
  tcase_add_loop_test (tests, a_leaving_vm_gets_no_work_until_it_stays, 0, BY_TABLES + 1);
  tcase_add_loop_test (tests, a_service_without_another_place_stays, 0, BY_TABLES + 1);
  tcase_add_loop_test (tests, a_gang_moves_as_a_whole, 0, G_N_ELEMENTS (gang_cases));
  tcase_add_test (tests, one_task_of_a_service_moves_at_a_time);
  tcase_add_loop_test (tests, an_edit_makes_waiting_work_impossible, 0, G_N_ELEMENTS (fit_cases));
  tcase_add_test (tests, a_wave_of_cancellations_is_sent_in_batches);
  return suite_run ("drain", tests);
}
