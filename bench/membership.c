#include <stdio.h>
#include <stdlib.h>

#include "libbamboothread/base/log.h"
#include "standins/cell.h"
#include "standins/world.h"

/*
 * Measures what daemons send each other while nothing happens, by the number
 * of daemons: messages and bytes per second of a usual daemon and of the one
 * that sends most, and bytes between regions. Time is simulated.
 */

#define WORKERS 35
#define WARM_UP_S 20
#define MEASURE_S 60

typedef struct
{
  guint64 messages;
  guint64 bytes;
} sent_t;

static const struct
{
  guint data_centres;
  guint daemons;
} sizes[] = {
  { 1, 4 }, { 3, 2 }, { 2, 4 }, { 4, 4 }, { 7, 2 }, { 7, 4 }, { 3, 9 },
};

static void
measure (guint data_centres, guint daemons)
{
  bt_tables_t *tables = bt_cell_tables (data_centres, WORKERS);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = daemons;
  config.region_of = bt_cell_region;
  bt_world_t *world = bt_world_new (&config, NULL, NULL);
  bt_world_run (world, (gint64)WARM_UP_S * BT_USEC_PER_SEC);
  guint n = world->nodes->len;
  g_autofree sent_t *before = g_new0 (sent_t, n);
  guint64 region_before = world->region_bytes;
  for (guint i = 0; i < n; i++)
    {
      const bt_node_t *node = world->nodes->pdata[i];
      before[i].messages = node->messages_sent;
      before[i].bytes = node->bytes_sent;
    }
  bt_world_run (world, (gint64)MEASURE_S * BT_USEC_PER_SEC);
  sent_t sum = { 0, 0 };
  sent_t most = { 0, 0 };
  for (guint i = 0; i < n; i++)
    {
      const bt_node_t *node = world->nodes->pdata[i];
      guint64 messages = node->messages_sent - before[i].messages;
      guint64 bytes = node->bytes_sent - before[i].bytes;
      sum.messages += messages;
      sum.bytes += bytes;
      most.messages = MAX (most.messages, messages);
      most.bytes = MAX (most.bytes, bytes);
    }
  printf ("%12u %7u %7u %12.1f %12.1f %12.0f %12.0f %14.0f\n", data_centres, daemons, n,
          (double)sum.messages / n / MEASURE_S, (double)most.messages / MEASURE_S,
          (double)sum.bytes / n / MEASURE_S, (double)most.bytes / MEASURE_S,
          (double)(world->region_bytes - region_before) / MEASURE_S);
  bt_world_free (world);
  bt_tables_free (tables);
}

int
main (void)
{
  bt_log_set_level (BT_LOG_ERROR);
  printf ("%12s %7s %7s %12s %12s %12s %12s %14s\n", "data-centres", "daemons", "members",
          "messages/s", "most", "bytes/s", "most", "between-regions");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i].data_centres, sizes[i].daemons);
  return EXIT_SUCCESS;
}
