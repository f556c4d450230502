#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/*
 * One data centre under load, with faults from a table. After each step at most
 * one daemon may start work, and no task runs in two places.
 */

#define WORKERS 13
#define DAEMONS 3
#define LOAD_EVERY_US (20 * BT_USEC_PER_MSEC)
#define CALLS_MAX 4096

typedef struct
{
  bt_world_t *world;
  bt_node_t *leader;
  bt_node_t *entry;
  guint answers[CALLS_MAX];
  bt_status_t status[CALLS_MAX];
  guint64 calls;
  gint64 last_start;
  gint64 longest_gap;
  guint service_starts;
  guint doubled;
} scene_t;

static gboolean
runs_elsewhere (const scene_t *scene, const bt_host_t *here, const bt_start_request_t *request)
{
  for (guint i = 0; i < scene->world->hosts->len; i++)
    {
      const bt_host_t *host = scene->world->hosts->pdata[i];
      GHashTableIter iter;
      const bt_model_attempt_t *attempt;
      g_hash_table_iter_init (&iter, host->model.attempts);
      while (host != here && !host->dead
             && g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
        if (attempt->report.state == BT_ATTEMPT_RUNNING && attempt->report.task == request->task
            && strcmp (attempt->report.job, request->job) == 0)
          return TRUE;
    }
  return FALSE;
}

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  scene_t *scene = context;
  gint64 now = scene->world->clock.now_us;
  if (scene->last_start > 0)
    scene->longest_gap = MAX (scene->longest_gap, now - scene->last_start);
  scene->last_start = now;
  scene->service_starts += request->service;
  scene->doubled += runs_elsewhere (scene, host, request);
}

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  scene_t *scene = context;
  ck_assert_uint_lt (exchange, CALLS_MAX);
  scene->answers[exchange]++;
  scene->status[exchange] = outcome->status;
}

static const bt_world_observer_t observer = { .answered = on_answered, .started = on_started };

static guint64
submit (scene_t *scene, bt_node_t *node, const char *caller, const char *kind, guint tasks,
        gint64 run_ms)
{
  g_autofree char *text = g_strdup_printf (
      "{\"caller\":\"%s\",\"work\":\"w\",\"kind\":\"%s\",\"tasks\":%u,\"run_ms\":%" G_GINT64_FORMAT
      ",\"mcpus\":100,\"deadline_ms\":20000}",
      caller, kind, tasks, run_ms);
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  ck_assert_ptr_nonnull (request);
  scene->calls = bt_world_submit (scene->world, node, request);
  bt_schema_free (&bt_request_schema, request);
  return scene->calls;
}

static gboolean
acts (scene_t *scene, const bt_node_t *node)
{
  if (node->core == NULL || node->paused || !bt_core_is_leading (node->core))
    return FALSE;
  node->core->now = scene->world->clock.now_us;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, node->core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (bt_owner_may_start (node->core, worker))
      return TRUE;
  return FALSE;
}

static gboolean
check_step (bt_world_t *world, void *context)
{
  scene_t *scene = context;
  guint acting = 0;
  for (guint i = 0; i < world->nodes->len; i++)
    acting += acts (scene, world->nodes->pdata[i]);
  ck_assert_uint_le (acting, 1);
  ck_assert_uint_eq (scene->doubled, 0);
  return FALSE;
}

static void
run (scene_t *scene, gint64 for_us)
{
  gint64 end = scene->world->clock.now_us + for_us;
  bt_world_run_until (scene->world, for_us, check_step, scene);
  bt_world_run (scene->world, end - scene->world->clock.now_us);
}

static void
run_loaded (scene_t *scene, gint64 for_us)
{
  for (gint64 t = 0; t < for_us; t += LOAD_EVERY_US)
    {
      submit (scene, scene->entry, "urgent", "request", 1, 10);
      run (scene, LOAD_EVERY_US);
    }
}

static void
scene_open (scene_t *scene, guint workers, guint daemons)
{
  memset (scene, 0, sizeof *scene);
  bt_tables_t *tables = bt_cell_tables (1, workers);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = daemons;
  config.seed = 17;
  scene->world = bt_world_new (&config, &observer, scene);
  bt_tables_free (tables);
}

static void
scene_settle (scene_t *scene)
{
  run (scene, 5 * BT_USEC_PER_SEC);
  scene->leader = bt_world_leader (scene->world, "dc1");
  ck_assert_ptr_nonnull (scene->leader);
  scene->entry = scene->world->nodes->pdata[scene->leader == scene->world->nodes->pdata[0]];
}

static void
publish_workers (scene_t *scene, const char *id, guint first, guint last)
{
  const bt_fold_t *fold = bt_core_tables (scene->entry->core);
  bt_tables_t *wanted = bt_cell_tables_range (1, first, last);
  bt_edit_t *edit = bt_fold_diff (fold, wanted, id, "test");
  bt_world_publish (scene->world, edit);
  bt_schema_free (&bt_edit_schema, edit);
  bt_tables_free (wanted);
}

static void
leave (scene_t *scene)
{
  bt_core_leave (scene->leader->core);
}

static void
kill_leader (scene_t *scene)
{
  bt_world_kill (scene->world, scene->leader);
}

static void
replace_leader (scene_t *scene)
{
  bt_world_kill (scene->world, scene->leader);
  run_loaded (scene, 500 * BT_USEC_PER_MSEC);
  bt_world_start (scene->world, scene->leader);
}

static void
pause_for (scene_t *scene, gint64 for_us)
{
  bt_world_pause (scene->world, scene->leader, TRUE);
  run_loaded (scene, for_us);
  bt_world_pause (scene->world, scene->leader, FALSE);
}

static void
pause_short (scene_t *scene)
{
  pause_for (scene, 1 * BT_USEC_PER_SEC);
}

static void
pause_long (scene_t *scene)
{
  pause_for (scene, 7 * BT_USEC_PER_SEC);
}

static void
pause_twice (scene_t *scene)
{
  pause_for (scene, 4 * BT_USEC_PER_SEC);
  scene->leader = bt_world_leader (scene->world, "dc1");
  if (scene->leader == scene->entry)
    scene->entry = scene->world->nodes->pdata[scene->leader == scene->world->nodes->pdata[0]];
  pause_for (scene, 4 * BT_USEC_PER_SEC);
}

static void
kill_without_log (scene_t *scene)
{
  bt_world_log_set_down (scene->world, TRUE);
  run_loaded (scene, 2 * BT_USEC_PER_SEC);
  bt_world_kill (scene->world, scene->leader);
}

static void
kill_racks (scene_t *scene)
{
  for (guint i = 0; i < (WORKERS - 1) / 2; i++)
    bt_world_host_kill (scene->world, scene->world->hosts->pdata[i]);
}

static void
kill_racks_and_leader (scene_t *scene)
{
  kill_racks (scene);
  kill_leader (scene);
}

/* Starts and renewals arrive after their owner has lost its lease. */
static void
late_and_pause (scene_t *scene)
{
  scene->world->late_percent = 20;
  scene->world->late_max_us = 6 * BT_USEC_PER_SEC;
  run_loaded (scene, 1 * BT_USEC_PER_SEC);
  pause_long (scene);
  scene->world->late_percent = 0;
}

static void
remove_workers (scene_t *scene)
{
  publish_workers (scene, "removed", 4, WORKERS);
}

static void
remove_and_leave (scene_t *scene)
{
  remove_workers (scene);
  run_loaded (scene, 100 * BT_USEC_PER_MSEC);
  leave (scene);
}

/* What happens, the longest time without a start, and whether every call has to be done. */
static const struct
{
  void (*fault) (scene_t *scene);
  gint64 gap_ms;
  gboolean all_done;
  guint service_starts;
} fault_cases[] = {
  { leave, 1000, TRUE, 3 },
  { kill_leader, 4000, TRUE, 3 },
  { replace_leader, 4500, TRUE, 3 },
  { pause_short, 1200, TRUE, 3 },
  { pause_long, 4000, TRUE, 3 },
  { pause_twice, 4500, TRUE, 3 },
  { kill_without_log, 4000, TRUE, 3 },
  { kill_racks, 500, FALSE, 0 },
  { kill_racks_and_leader, 4500, FALSE, 0 },
  { late_and_pause, 8000, FALSE, 0 },
  /* All three tasks of the service run on removed workers and are moved, once each. */
  { remove_workers, 100, TRUE, 6 },
  { remove_and_leave, 1000, TRUE, 6 },
};

START_TEST (ownership_changes_hands)
{
  scene_t scene;
  scene_open (&scene, WORKERS, DAEMONS);
  scene_settle (&scene);
  submit (&scene, scene.entry, "service", "service", 3, 1000);
  run (&scene, 2 * BT_USEC_PER_SEC);
  submit (&scene, scene.leader, "urgent", "request", 1, 6000);
  submit (&scene, scene.entry, "urgent", "request", 1, 6000);
  submit (&scene, scene.entry, "batch", "request", 1, 6000);
  guint64 long_calls = scene.calls;
  run_loaded (&scene, 500 * BT_USEC_PER_MSEC);
  scene.longest_gap = 0;
  fault_cases[_i].fault (&scene);
  run_loaded (&scene, 6 * BT_USEC_PER_SEC);
  gint64 last_gap = scene.world->clock.now_us - scene.last_start;
  gint64 gap_ms = MAX (scene.longest_gap, last_gap) / BT_USEC_PER_MSEC;
  ck_assert_int_le (gap_ms, fault_cases[_i].gap_ms);
  run (&scene, 30 * BT_USEC_PER_SEC);
  guint lost_at_entry = 0;
  for (guint64 i = 2; i <= scene.calls; i++)
    {
      /* A caller whose own daemon died has no one to answer it. */
      if (scene.answers[i] == 0 && i == long_calls - 2)
        lost_at_entry++;
      else
        ck_assert_uint_eq (scene.answers[i], 1);
      if (fault_cases[_i].all_done && scene.answers[i] > 0)
        ck_assert_int_eq (scene.status[i], BT_STATUS_DONE);
    }
  ck_assert_uint_le (lost_at_entry, 1);
  if (fault_cases[_i].service_starts > 0)
    ck_assert_uint_eq (scene.service_starts, fault_cases[_i].service_starts);
  bt_world_free (scene.world);
}
END_TEST

/* An edit replaces most workers while the leader can't hear of it. */
static const struct
{
  guint first;
  guint last;
} replaced_cases[] = {
  { 1, 9 },  /* two more */
  { 5, 11 }, /* four of seven replaced */
  { 8, 14 }, /* all replaced */
};

static void
cut_off_leader (scene_t *scene, gboolean cut)
{
  scene->leader->log_cut = cut;
  for (guint i = 0; i < scene->world->nodes->len; i++)
    {
      const bt_node_t *node = scene->world->nodes->pdata[i];
      if (node != scene->leader)
        bt_world_cut (scene->world, scene->leader->name, node->name, cut);
    }
}

START_TEST (a_leader_with_earlier_tables_stays_alone)
{
  scene_t scene;
  scene_open (&scene, 14, DAEMONS);
  scene_settle (&scene);
  publish_workers (&scene, "seven", 1, 7);
  /* By then the workers that the first tables named besides are given up. */
  bt_world_run (scene.world, 700 * BT_USEC_PER_SEC);
  cut_off_leader (&scene, TRUE);
  publish_workers (&scene, "replaced", replaced_cases[_i].first, replaced_cases[_i].last);
  run (&scene, 30 * BT_USEC_PER_SEC);
  ck_assert (bt_core_is_leading (scene.leader->core));
  cut_off_leader (&scene, FALSE);
  run (&scene, 20 * BT_USEC_PER_SEC);
  ck_assert_ptr_nonnull (bt_world_leader (scene.world, "dc1"));
  guint64 call = submit (&scene, scene.entry, "urgent", "request", 1, 10);
  run (&scene, 1 * BT_USEC_PER_SEC);
  ck_assert_int_eq (scene.status[call], BT_STATUS_DONE);
  ck_assert_uint_eq (scene.answers[call], 1);
  bt_world_free (scene.world);
}
END_TEST

static const guint split_cases[] = { 1, 2, 7, 8, 13 };

START_TEST (one_of_two_candidates_wins)
{
  scene_t scene;
  scene_open (&scene, split_cases[_i], 2);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    bt_world_kill (scene.world, scene.world->nodes->pdata[i]);
  bt_world_cut (scene.world, "dc1-d1", "dc1-d2", TRUE);
  bt_world_run (scene.world, 1 * BT_USEC_PER_SEC);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    bt_world_start (scene.world, scene.world->nodes->pdata[i]);
  run (&scene, 25 * BT_USEC_PER_SEC);
  const bt_node_t *leader = bt_world_leader (scene.world, "dc1");
  ck_assert_ptr_nonnull (leader);
  run (&scene, 20 * BT_USEC_PER_SEC);
  ck_assert_ptr_eq (bt_world_leader (scene.world, "dc1"), leader);
  bt_world_cut (scene.world, "dc1-d1", "dc1-d2", FALSE);
  run (&scene, 5 * BT_USEC_PER_SEC);
  ck_assert_ptr_eq (bt_world_leader (scene.world, "dc1"), leader);
  bt_world_free (scene.world);
}
END_TEST

static guint
running_on (const bt_host_t *host)
{
  guint n = 0;
  GHashTableIter iter;
  const bt_model_attempt_t *attempt;
  g_hash_table_iter_init (&iter, host->model.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    n += attempt->report.state == BT_ATTEMPT_RUNNING;
  return n;
}

/* A removed VM that answers, and one that is dead. */
START_TEST (removed_workers_are_drained_and_forgotten)
{
  scene_t scene;
  scene_open (&scene, 5, DAEMONS);
  scene_settle (&scene);
  bt_host_t *host = bt_world_host (scene.world, "dc1-w1");
  for (guint i = 0; i < 40; i++)
    submit (&scene, scene.entry, "urgent", "request", 1, 5000);
  run (&scene, 1 * BT_USEC_PER_SEC);
  guint64 starts = host->model.starts;
  ck_assert_uint_gt (running_on (host), 0);
  if (_i == 1)
    bt_world_host_kill (scene.world, host);
  publish_workers (&scene, "removed", 2, 5);
  run (&scene, 3 * BT_USEC_PER_SEC);
  if (_i == 0)
    ck_assert_uint_gt (running_on (host), 0);
  run_loaded (&scene, 20 * BT_USEC_PER_SEC);
  run (&scene, 2 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (host->model.starts, starts);
  for (guint64 i = 1; i <= scene.calls; i++)
    ck_assert_int_eq (scene.status[i], BT_STATUS_DONE);
  ck_assert_ptr_nonnull (bt_owner_find_worker (scene.leader->core, "dc1-w1"));
  bt_world_run (scene.world, 600 * BT_USEC_PER_SEC);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    {
      const bt_node_t *node = scene.world->nodes->pdata[i];
      ck_assert_ptr_null (bt_owner_find_worker (node->core, "dc1-w1"));
    }
  bt_world_free (scene.world);
}
END_TEST

static void
move_first_worker (scene_t *scene)
{
  const bt_fold_t *fold = bt_core_tables (scene->entry->core);
  bt_tables_t *wanted = bt_cell_tables (1, 5);
  const bt_pool_t *pool = wanted->pools->pdata[0];
  bt_vm_t *vm = pool->vms->pdata[0];
  g_ref_string_release (vm->address);
  vm->address = g_ref_string_new ("10.9.9.9:9000");
  bt_edit_t *edit = bt_fold_diff (fold, wanted, "moved", "test");
  bt_world_publish (scene->world, edit);
  bt_schema_free (&bt_edit_schema, edit);
  bt_tables_free (wanted);
}

/* What a VM runs is not taken for over because another VM got its name. */
START_TEST (a_worker_at_another_address_is_another_vm)
{
  scene_t scene;
  scene_open (&scene, 5, DAEMONS);
  scene_settle (&scene);
  for (guint i = 0; i < 40; i++)
    submit (&scene, scene.entry, "urgent", "request", 1, 4000);
  run (&scene, 100 * BT_USEC_PER_MSEC);
  const bt_host_t *host = bt_world_host (scene.world, "dc1-w1");
  gint64 epoch = host->model.epoch;
  move_first_worker (&scene);
  run (&scene, 8 * BT_USEC_PER_SEC);
  ck_assert_int_eq (host->model.epoch, epoch);
  ck_assert_int_lt (host->model.lease_until_ms, scene.world->clock.now_us / BT_USEC_PER_MSEC);
  run (&scene, 20 * BT_USEC_PER_SEC);
  ck_assert_int_gt (host->model.epoch, epoch);
  for (guint64 i = 1; i <= scene.calls; i++)
    ck_assert_int_eq (scene.status[i], BT_STATUS_DONE);
  bt_world_free (scene.world);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("ownership");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, ownership_changes_hands, 0, G_N_ELEMENTS (fault_cases));
  tcase_add_loop_test (tests, a_leader_with_earlier_tables_stays_alone, 0,
                       G_N_ELEMENTS (replaced_cases));
  tcase_add_loop_test (tests, one_of_two_candidates_wins, 0, G_N_ELEMENTS (split_cases));
  tcase_add_loop_test (tests, removed_workers_are_drained_and_forgotten, 0, 2);
  tcase_add_test (tests, a_worker_at_another_address_is_another_vm);
  return suite_run ("ownership", tests);
}
