#ifndef BT_TESTS_SCENE_H
#define BT_TESTS_SCENE_H

#include "standins/world.h"

/* A small world with one pool, and what was seen in it. */

/**
 * struct scene_config_t - a pool in one or more data centres, and its routes
 * @data_centres: their number, named dc1, dc2 ...
 * @vms: VMs in each, or in each by @vms_in
 * @quotas: JSON array
 * @routes: JSON array, without the pool
 */
typedef struct
{
  guint data_centres;
  guint vms;
  guint vms_in[4];
  guint cpus;
  guint gpus;
  guint slots;
  guint reserve;
  guint drain_ms;
  const char *quotas;
  const char *routes;
  guint daemons;
  guint32 seed;
} scene_config_t;

typedef struct
{
  guint64 exchange;
  char job[256];
  guint answers;
  bt_status_t status;
  bt_reason_t reason;
  guint32 retry_after_ms;
  char detail[256];
} scene_answer_t;

/**
 * struct scene_t - the world and what was seen
 * @answers: scene_answer_t by exchange
 * @starts: number of starts by work
 * @waits: GArray of waits from request to start in microseconds, by work
 * @running: number of attempts running now, by work
 * @started_ids: work by attempt
 * @by_exchange: number of starts by exchange
 * @exchanges: exchange by attempt
 * @overlaps: starts of a request while another attempt of it ran
 * @keyed: whether each request gets a key of its own
 * @query: body of the last answer to a query
 */
typedef struct
{
  bt_tables_t *tables;
  bt_world_t *world;
  GHashTable *answers;
  GHashTable *starts;
  GHashTable *waits;
  GHashTable *running;
  GHashTable *started_ids;
  GHashTable *by_exchange;
  GHashTable *exchanges;
  guint overlaps;
  gboolean keyed;
  char *query;
} scene_t;

bt_tables_t *scene_tables (const scene_config_t *config);
scene_t *scene_new (const scene_config_t *config);
void scene_free (scene_t *scene);
bt_request_t *scene_request (const char *caller, const char *work, bt_kind_t kind, gint64 tasks,
                             gint64 mcpus, gint64 run_ms);
guint64 scene_submit (scene_t *scene, const char *node, const char *caller, const char *work,
                      bt_kind_t kind, gint64 tasks, gint64 mcpus, gint64 run_ms);
const scene_answer_t *scene_answer (const scene_t *scene, guint64 exchange);
const char *scene_ask (scene_t *scene, const char *node, bt_query_t what, const char *argument);
guint scene_starts (const scene_t *scene, const char *work);
guint scene_running (const scene_t *scene, const char *work);
gint64 scene_wait_max (const scene_t *scene, const char *work);
gint64 scene_wait_at (const scene_t *scene, const char *work, double part);
guint scene_starts_at (const scene_t *scene, guint64 exchange);
guint scene_refused (const scene_t *scene, bt_reason_t reason);

#endif
