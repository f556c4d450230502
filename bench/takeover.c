#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "standins/cell.h"
#include "standins/world.h"

/*
 * Measures how long a data centre goes without an owner, and its callers
 * without a start, when its owner dies, pauses or leaves. Time is simulated;
 * each figure is the median and the longest of several seeds.
 */

#define DAEMONS 3
#define SEEDS 25
#define LOAD_EVERY_US (10 * BT_USEC_PER_MSEC)
#define WARM_UP_S 5
/* Difference between seeds in when the fault falls, so that timers stand differently. */
#define PHASE_US (47 * BT_USEC_PER_MSEC)
#define MEASURE_S 10

typedef enum
{
  FAULT_DIES,
  FAULT_PAUSES,
  FAULT_LEAVES,
  FAULT_DIES_WITHOUT_LOG,
  N_FAULTS,
} fault_t;

static const char *const fault_names[] = { "dies", "pauses 8 s", "leaves", "dies, log down" };

typedef struct
{
  bt_world_t *world;
  gint64 last_start;
  gint64 longest_gap;
} scene_t;

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  scene_t *scene = context;
  gint64 now = scene->world->clock.now_us;
  if (scene->last_start > 0)
    scene->longest_gap = MAX (scene->longest_gap, now - scene->last_start);
  scene->last_start = now;
}

static const bt_world_observer_t observer = { .started = on_started };

static void
submit (bt_world_t *world, bt_node_t *entry)
{
  static const char text[] = "{\"caller\":\"urgent\",\"work\":\"w\",\"kind\":\"request\","
                             "\"run_ms\":5,\"mcpus\":100,\"deadline_ms\":20000}";
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  bt_world_submit (world, entry, request);
  bt_schema_free (&bt_request_schema, request);
}

static void
make_fault (bt_world_t *world, bt_node_t *leader, fault_t fault)
{
  if (fault == FAULT_DIES_WITHOUT_LOG)
    bt_world_log_set_down (world, TRUE);
  if (fault == FAULT_PAUSES)
    bt_world_pause (world, leader, TRUE);
  else if (fault == FAULT_LEAVES)
    bt_core_leave (leader->core);
  else
    bt_world_kill (world, leader);
}

/* Return: time without an owner, in microseconds. */
static gint64
run_fault (scene_t *scene, fault_t fault)
{
  bt_world_t *world = scene->world;
  bt_world_run (world, (gint64)WARM_UP_S * BT_USEC_PER_SEC + world->config.seed * PHASE_US);
  bt_node_t *leader = bt_world_leader (world, "dc1");
  bt_node_t *entry = world->nodes->pdata[leader == world->nodes->pdata[0]];
  gint64 fault_at = 0;
  gint64 owned_at = 0;
  for (gint64 t = 0; t < (gint64)MEASURE_S * BT_USEC_PER_SEC; t += LOAD_EVERY_US)
    {
      submit (world, entry);
      bt_world_run (world, LOAD_EVERY_US);
      if (fault_at == 0 && t >= BT_USEC_PER_SEC)
        {
          scene->longest_gap = 0;
          fault_at = world->clock.now_us;
          make_fault (world, leader, fault);
        }
      for (guint i = 0; fault_at > 0 && owned_at == 0 && i < world->nodes->len; i++)
        {
          const bt_node_t *node = world->nodes->pdata[i];
          if (node != leader && node->core != NULL && bt_core_is_leading (node->core))
            owned_at = world->clock.now_us;
        }
    }
  return owned_at - fault_at;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

static void
measure (guint workers, fault_t fault)
{
  gint64 takeover[SEEDS];
  gint64 gap[SEEDS];
  for (guint i = 0; i < SEEDS; i++)
    {
      scene_t scene = { 0 };
      bt_tables_t *tables = bt_cell_tables (1, workers);
      bt_world_config_t config;
      bt_world_config_init (&config);
      config.tables = tables;
      config.daemons = DAEMONS;
      config.seed = i + 1;
      scene.world = bt_world_new (&config, &observer, &scene);
      takeover[i] = run_fault (&scene, fault);
      gap[i] = scene.longest_gap;
      bt_world_free (scene.world);
      bt_tables_free (tables);
    }
  qsort (takeover, SEEDS, sizeof takeover[0], compare);
  qsort (gap, SEEDS, sizeof gap[0], compare);
  printf ("%8u %-16s %16.0f %16.0f %16.0f %16.0f\n", workers, fault_names[fault],
          takeover[SEEDS / 2] / 1e3, takeover[SEEDS - 1] / 1e3, gap[SEEDS / 2] / 1e3,
          gap[SEEDS - 1] / 1e3);
}

int
main (void)
{
  bt_log_set_level (BT_LOG_ERROR);
  printf ("%8s %-16s %16s %16s %16s %16s\n", "workers", "the owner", "takeover-p50-ms",
          "takeover-max-ms", "gap-p50-ms", "gap-max-ms");
  for (guint workers = 13; workers <= 140; workers += 127)
    for (guint fault = 0; fault < N_FAULTS; fault++)
      measure (workers, (fault_t)fault);
  return EXIT_SUCCESS;
}
