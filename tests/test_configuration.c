#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/* Edits of the tables under faults: in force everywhere in time, and never taken back. */

#define DATA_CENTRES 3
#define DAEMONS 3
#define WORKERS 3
#define IN_FORCE_US (19 * BT_USEC_PER_SEC)

typedef struct
{
  bt_world_t *world;
  gint64 seen[DATA_CENTRES * DAEMONS];
  guint64 incarnation[DATA_CENTRES * DAEMONS];
  gint64 wanted;
} scene_t;

static gboolean
check_step (bt_world_t *world, void *context)
{
  scene_t *scene = context;
  gboolean all = TRUE;
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const bt_node_t *node = world->nodes->pdata[i];
      if (node->core == NULL)
        continue;
      gint64 version = bt_core_tables (node->core)->version;
      if (scene->incarnation[i] == node->incarnation)
        ck_assert_int_ge (version, scene->seen[i]);
      scene->incarnation[i] = node->incarnation;
      scene->seen[i] = version;
      all = all && version == scene->wanted;
    }
  return all;
}

static void
run (scene_t *scene, gint64 for_us)
{
  gint64 wanted = scene->wanted;
  scene->wanted = -1;
  bt_world_run_until (scene->world, for_us, check_step, scene);
  scene->wanted = wanted;
}

static void
publish (scene_t *scene, const char *id, gint64 base, guint workers)
{
  bt_fold_t empty;
  bt_fold_init (&empty);
  bt_tables_t *tables = bt_cell_tables (DATA_CENTRES, workers);
  bt_edit_t *edit = bt_fold_diff (&empty, tables, id, "test");
  edit->base_version = base;
  bt_world_publish (scene->world, edit);
  bt_schema_free (&bt_edit_schema, edit);
  bt_tables_free (tables);
  bt_fold_clear (&empty);
}

static void
healthy (scene_t *scene)
{
  publish (scene, "a", 1, 4);
}

static void
racing_operators (scene_t *scene)
{
  publish (scene, "a", 1, 4);
  publish (scene, "b", 1, 5);
  publish (scene, "a", 1, 4);
}

/* An answer was lost, so the operator's tool sends the edit again, late. */
static void
repeated_late (scene_t *scene)
{
  publish (scene, "a", 1, 4);
  run (scene, 2 * BT_USEC_PER_SEC);
  publish (scene, "a", 1, 4);
}

static void
one_cut_from_log (scene_t *scene)
{
  ((bt_node_t *)scene->world->nodes->pdata[4])->log_cut = TRUE;
  run (scene, 1 * BT_USEC_PER_SEC);
  publish (scene, "a", 1, 4);
}

static void
data_centre_cut_from_log (scene_t *scene)
{
  for (guint i = 0; i < DAEMONS; i++)
    ((bt_node_t *)scene->world->nodes->pdata[i])->log_cut = TRUE;
  run (scene, 1 * BT_USEC_PER_SEC);
  publish (scene, "a", 1, 4);
}

static void
starts_while_log_is_down (scene_t *scene)
{
  publish (scene, "a", 1, 4);
  run (scene, 2 * BT_USEC_PER_SEC);
  bt_world_log_set_down (scene->world, TRUE);
  bt_node_t *node = scene->world->nodes->pdata[0];
  bt_world_kill (scene->world, node);
  run (scene, 3 * BT_USEC_PER_SEC);
  bt_world_start (scene->world, node);
}

static void
log_is_slow (scene_t *scene)
{
  scene->world->log_delay_us = 1500 * BT_USEC_PER_MSEC;
  publish (scene, "a", 1, 4);
}

static void
links_are_lossy (scene_t *scene)
{
  scene->world->loss_percent = 20;
  scene->world->repeat_percent = 20;
  publish (scene, "a", 1, 4);
}

static void
trim_tables (scene_t *scene)
{
  bt_log_model_trim (&scene->world->log, BT_TABLES_STREAM,
                     bt_log_model_next (&scene->world->log, BT_TABLES_STREAM));
}

static void
starts_after_retention (scene_t *scene)
{
  publish (scene, "a", 1, 4);
  run (scene, 2 * BT_USEC_PER_SEC);
  trim_tables (scene);
  bt_node_t *node = scene->world->nodes->pdata[0];
  bt_world_kill (scene->world, node);
  bt_world_start (scene->world, node);
}

static void
missed_the_retention (scene_t *scene)
{
  bt_node_t *node = scene->world->nodes->pdata[0];
  node->isolated = TRUE;
  run (scene, 10 * BT_USEC_PER_SEC);
  publish (scene, "a", 1, 4);
  run (scene, 2 * BT_USEC_PER_SEC);
  trim_tables (scene);
  node->isolated = FALSE;
}

/* Nobody who knows the version is left, but a snapshot is. */
static void
all_replaced_after_retention (scene_t *scene)
{
  publish (scene, "a", 1, 4);
  run (scene, 60 * BT_USEC_PER_SEC);
  for (guint i = 0; i < scene->world->nodes->len; i++)
    bt_world_kill (scene->world, scene->world->nodes->pdata[i]);
  bt_log_model_trim (&scene->world->log, BT_TABLES_STREAM, 2);
  for (guint i = 0; i < scene->world->nodes->len; i++)
    bt_world_start (scene->world, scene->world->nodes->pdata[i]);
}

static void (*const fault_cases[]) (scene_t *scene) = {
  healthy,
  racing_operators,
  repeated_late,
  one_cut_from_log,
  data_centre_cut_from_log,
  starts_while_log_is_down,
  log_is_slow,
  links_are_lossy,
  starts_after_retention,
  missed_the_retention,
  all_replaced_after_retention,
};

START_TEST (an_edit_is_soon_in_force_everywhere)
{
  scene_t scene = { .wanted = 1 };
  bt_tables_t *tables = bt_cell_tables (DATA_CENTRES, WORKERS);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = DAEMONS;
  config.snapshot_us = 10 * BT_USEC_PER_SEC;
  scene.world = bt_world_new (&config, NULL, NULL);
  bt_tables_free (tables);
  ck_assert (bt_world_run_until (scene.world, 5 * BT_USEC_PER_SEC, check_step, &scene));
  run (&scene, 3 * BT_USEC_PER_SEC);
  scene.wanted = 2;
  fault_cases[_i](&scene);
  ck_assert (bt_world_run_until (scene.world, IN_FORCE_US, check_step, &scene));
  run (&scene, 20 * BT_USEC_PER_SEC);
  bt_world_heal (scene.world);
  run (&scene, 5 * BT_USEC_PER_SEC);
  for (guint i = 0; i < scene.world->nodes->len; i++)
    {
      const bt_fold_t *fold = bt_core_tables (((bt_node_t *)scene.world->nodes->pdata[i])->core);
      const bt_pool_t *pool = fold->tables->pools->pdata[0];
      ck_assert_int_eq (fold->version, 2);
      ck_assert_uint_eq (pool->vms->len, DATA_CENTRES * 4);
    }
  bt_world_free (scene.world);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("configuration");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, an_edit_is_soon_in_force_everywhere, 0, G_N_ELEMENTS (fault_cases));
  return suite_run ("configuration", tests);
}
