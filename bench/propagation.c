#include <stdio.h>
#include <stdlib.h>

#include "libbamboothread/base/log.h"
#include "standins/cell.h"
#include "standins/world.h"

/*
 * Measures the time from the append of an edit of the tables until it is in
 * force on a daemon: over all edits and daemons. Time is simulated.
 */

#define DATA_CENTRES 7
#define DAEMONS 4
#define WORKERS 20
#define EDITS 60
#define WAIT_S 15
#define STEP_US (1 * BT_USEC_PER_MSEC)

static const struct
{
  const char *name;
  gint64 log_delay_us;
  guint loss_percent;
  gboolean one_cut;
} cases[] = {
  { "log healthy", 0, 0, FALSE },
  { "log slow by 500 ms", 500 * BT_USEC_PER_MSEC, 0, FALSE },
  { "5% of messages lost", 0, 5, FALSE },
  { "a data centre cut from log", 0, 0, TRUE },
};

static gint
compare (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

static void
publish (bt_world_t *world, guint number)
{
  bt_fold_t empty;
  bt_fold_init (&empty);
  bt_tables_t *tables = bt_cell_tables (DATA_CENTRES, WORKERS + number % 2);
  g_autofree char *id = g_strdup_printf ("edit-%u", number);
  bt_edit_t *edit = bt_fold_diff (&empty, tables, id, "bench");
  edit->base_version = number;
  bt_world_publish (world, edit);
  bt_schema_free (&bt_edit_schema, edit);
  bt_tables_free (tables);
  bt_fold_clear (&empty);
}

static void
measure (guint which)
{
  bt_tables_t *tables = bt_cell_tables (DATA_CENTRES, WORKERS);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = DAEMONS;
  config.region_of = bt_cell_region;
  bt_world_t *world = bt_world_new (&config, NULL, NULL);
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  world->log_delay_us = cases[which].log_delay_us;
  world->loss_percent = cases[which].loss_percent;
  for (guint i = 0; cases[which].one_cut && i < DAEMONS; i++)
    ((bt_node_t *)world->nodes->pdata[i])->log_cut = TRUE;
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint late = 0;
  for (guint e = 1; e <= EDITS; e++)
    {
      /* Not at a fixed phase of the daemons' timers. */
      bt_world_run (world, BT_USEC_PER_SEC + e * 37 * BT_USEC_PER_MSEC % BT_USEC_PER_SEC);
      publish (world, e);
      gint64 at = world->clock.now_us;
      g_autofree gboolean *has = g_new0 (gboolean, world->nodes->len);
      guint n = 0;
      while (n < world->nodes->len && world->clock.now_us < at + WAIT_S * BT_USEC_PER_SEC)
        {
          bt_world_run (world, STEP_US);
          for (guint i = 0; i < world->nodes->len; i++)
            {
              const bt_node_t *node = world->nodes->pdata[i];
              if (has[i] || bt_core_tables (node->core)->version < e + 1)
                continue;
              has[i] = TRUE;
              n++;
              gint64 took = world->clock.now_us - at;
              g_array_append_val (times, took);
            }
        }
      late += world->nodes->len - n;
    }
  g_array_sort (times, compare);
  printf ("%-28s %8u %8u %9.0f %9.0f %9.0f\n", cases[which].name, times->len, late,
          g_array_index (times, gint64, times->len / 2) / 1e3,
          g_array_index (times, gint64, times->len * 99 / 100) / 1e3,
          g_array_index (times, gint64, times->len - 1) / 1e3);
  bt_world_free (world);
  bt_tables_free (tables);
}

int
main (void)
{
  bt_log_set_level (BT_LOG_ERROR);
  printf ("%-28s %8s %8s %9s %9s %9s\n", "28 daemons", "times", "missing", "p50-ms", "p99-ms",
          "max-ms");
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    measure (i);
  return EXIT_SUCCESS;
}
