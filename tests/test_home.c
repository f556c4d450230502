#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* Which data centre a request is handed to, and what follows a refusal. */

#define ROUTES                                                                                     \
  "[{\"name\":\"hold\",\"callers\":[\"*\"],\"work\":\"hold\",\"team\":\"a\",\"class\":\"urgent\"," \
  "\"pool\":\"pool\",\"idempotent\":true,\"deadline_ms\":4000,\"queue_limit\":40},"                \
  "{\"name\":\"charge\",\"callers\":[\"*\"],\"work\":\"charge\",\"team\":\"a\","                   \
  "\"class\":\"urgent\",\"pool\":\"pool\",\"idempotent\":false,\"deadline_ms\":4000,"              \
  "\"queue_limit\":40}]"

static const scene_config_t base
    = { .data_centres = 3, .vms = 2, .cpus = 8, .routes = ROUTES, .daemons = 1 };

static void
no_peer (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static const bt_core_ops_t ops = { .peer_send = no_peer };

static void
hear_summary (bt_core_t *core, const char *data_centre, const char *region,
              Bt__PoolSummary *summary)
{
  summary->pool = (char *)"pool";
  Bt__PoolSummary *summaries[] = { summary };
  Bt__Heartbeat beat = BT__HEARTBEAT__INIT;
  beat.data_centre = (char *)data_centre;
  beat.region = (char *)region;
  beat.leading = TRUE;
  beat.has_pools = TRUE;
  beat.n_pools = 1;
  beat.pools = summaries;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.from = (char *)data_centre;
  envelope.address = (char *)data_centre;
  envelope.incarnation = 1;
  envelope.body_case = BT__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &beat;
  bt_members_on_heartbeat (core, &envelope);
}

static void
hear (bt_core_t *core, const char *data_centre, const char *region, guint wait_ms, guint free_slots)
{
  Bt__PoolSummary summary = BT__POOL_SUMMARY__INIT;
  summary.wait_ms = wait_ms;
  summary.free_slots = free_slots;
  hear_summary (core, data_centre, region, &summary);
}

static void
hear_busy (bt_core_t *core, const char *data_centre, const char *region, guint queued,
           guint free_slots)
{
  Bt__PoolSummary summary = BT__POOL_SUMMARY__INIT;
  summary.queued = queued;
  summary.free_slots = free_slots;
  summary.free_mcpus = 1000000;
  summary.free_memory_mb = 1000000;
  hear_summary (core, data_centre, region, &summary);
}

static const char *const names[] = { "dc1", "dc2", "dc3" };
static const char *const regions[] = { "near", "near", "far" };

static bt_core_t *
entry_new (bt_clock_t *clock)
{
  bt_clock_init_paused (clock, 1000 * BT_USEC_PER_SEC);
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = "entry";
  config.address = "entry";
  config.data_centre = names[0];
  config.region = regions[0];
  bt_core_t *core = bt_core_new (&config, clock, &ops, NULL);
  bt_tables_free (core->tables.tables);
  core->tables.tables = scene_tables (&base);
  core->tables.version = 1;
  return core;
}

/* dc1 is the entry's own, dc2 in its region, dc3 beyond the paid link. */
static const struct
{
  gint wait_ms[3];
  guint free_slots[3];
  const char *first;
  const char *after_dc1;
} choice_cases[] = {
  { { 0, 0, 0 }, { 5, 5, 5 }, "dc1", "dc2" },
  { { 0, 0, 0 }, { 0, 5, 50 }, "dc1", "dc2" },
  { { 2500, 0, 0 }, { 0, 5, 50 }, "dc2", "dc2" },
  { { 2500, 2500, 0 }, { 0, 0, 5 }, "dc3", "dc3" },
  { { 2500, 2600, 2700 }, { 0, 0, 0 }, "dc1", NULL },
  { { 9000, 2600, 2700 }, { 0, 0, 0 }, "dc2", NULL },
  { { -1, 0, 0 }, { 0, 5, 5 }, "dc2", "dc2" },
  { { -1, -1, 0 }, { 0, 0, 5 }, "dc3", "dc3" },
  { { -1, -1, -1 }, { 0, 0, 0 }, "dc1", NULL },
  { { 0, -1, 0 }, { 5, 0, 5 }, "dc1", "dc3" },
};

START_TEST (the_nearest_that_is_not_full)
{
  bt_clock_t clock;
  bt_core_t *core = entry_new (&clock);
  for (guint i = 0; i < 3; i++)
    if (choice_cases[_i].wait_ms[i] >= 0)
      hear (core, names[i], regions[i], (guint)choice_cases[_i].wait_ms[i],
            choice_cases[_i].free_slots[i]);
  bt_request_t *request = scene_request ("c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  const bt_route_t *route = bt_tables_find_route (core->tables.tables, "hold");
  ck_assert_str_eq (bt_home_choose (core, route, request), choice_cases[_i].first);
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  g_ptr_array_add (tried, (gpointer) "dc1");
  const char *next = bt_home_choose_next (core, route, request, tried);
  ck_assert_pstr_eq (next, choice_cases[_i].after_dc1);
  bt_schema_free (&bt_request_schema, request);
  bt_core_free (core);
}
END_TEST

/* Recorded work of two tasks: queue and free slots of the data centres, and weights of its route.
 */
static const struct
{
  guint queued[3];
  guint free_slots[3];
  double packing;
  double waiting;
  const char *first;
} busy_cases[] = {
  { { 0, 0, 0 }, { 4, 40, 40 }, 1, 1, "dc1" }, { { 1, 0, 0 }, { 4, 4, 40 }, 1, 1, "dc2" },
  { { 0, 0, 0 }, { 1, 4, 40 }, 1, 1, "dc2" },  { { 1, 1, 0 }, { 4, 4, 4 }, 1, 1, "dc3" },
  { { 1, 1, 0 }, { 4, 4, 4 }, 2, 1, "dc1" },   { { 1, 0, 0 }, { 4, 4, 4 }, 2, 1, "dc2" },
  { { 1, 1, 1 }, { 4, 4, 4 }, 1, 1, "dc1" },
};

START_TEST (work_that_would_wait_goes_where_room_is)
{
  bt_clock_t clock;
  bt_core_t *core = entry_new (&clock);
  bt_route_t *route = core->tables.tables->routes->pdata[0];
  route->packing_weight = busy_cases[_i].packing;
  route->waiting_weight = busy_cases[_i].waiting;
  for (guint i = 0; i < 3; i++)
    hear_busy (core, names[i], regions[i], busy_cases[_i].queued[i], busy_cases[_i].free_slots[i]);
  bt_request_t *request = scene_request ("c", "hold", BT_KIND_BATCH, 2, 1000, 500);
  ck_assert_str_eq (bt_home_choose (core, route, request), busy_cases[_i].first);
  bt_schema_free (&bt_request_schema, request);
  bt_core_free (core);
}
END_TEST

/* The same key reaches the same data centre from everywhere, however full it is. */
START_TEST (a_key_has_one_home)
{
  scene_t *scene = scene_new (&base);
  for (guint k = 0; k < 20; k++)
    {
      bt_request_t *request = scene_request ("c", "charge", BT_KIND_REQUEST, 1, 1000, 50);
      g_autofree char *key = g_strdup_printf ("k%u", k);
      request->key = g_ref_string_new (key);
      const char *home = NULL;
      for (guint i = 0; i < scene->world->nodes->len; i++)
        {
          bt_core_t *core = ((bt_node_t *)scene->world->nodes->pdata[i])->core;
          const bt_route_t *route = bt_tables_find_route (core->tables.tables, "charge");
          const char *chosen = bt_home_choose (core, route, request);
          if (home != NULL)
            ck_assert_str_eq (chosen, home);
          home = chosen;
        }
      bt_schema_free (&bt_request_schema, request);
    }
  scene_free (scene);
}
END_TEST

/*
 * Idempotent work ("hold") may run again after a loss, but never while it runs.
 *
 * A flood at one data centre goes on to the others, and nothing runs twice,
 * whatever becomes of the messages.
 */
static const struct
{
  const char *work;
  guint repeat_percent;
  guint late_percent;
  guint loss_percent;
  guint per_round;
  guint least_done;
  guint least_not_run;
  gboolean refused_first;
} move_cases[] = {
  { "hold", 0, 0, 0, 6, 600, 0, FALSE },    { "charge", 0, 0, 0, 6, 600, 0, FALSE },
  { "hold", 0, 0, 0, 15, 800, 100, TRUE },  { "charge", 50, 0, 0, 15, 800, 100, TRUE },
  { "charge", 50, 50, 0, 15, 20, 1, TRUE }, { "charge", 30, 30, 5, 15, 20, 1, TRUE },
  { "hold", 30, 30, 5, 15, 20, 1, TRUE },
};

START_TEST (a_flood_moves_on_and_nothing_runs_twice)
{
  scene_config_t config = base;
  config.seed = (guint32)_i + 1;
  scene_t *scene = scene_new (&config);
  scene->world->repeat_percent = move_cases[_i].repeat_percent;
  scene->world->late_percent = move_cases[_i].late_percent;
  scene->world->late_max_us = 3 * BT_USEC_PER_SEC;
  scene->world->loss_percent = move_cases[_i].loss_percent;
  guint n = 0;
  for (guint round = 0; round < 100; round++)
    {
      for (guint i = 0; i < move_cases[_i].per_round; i++, n++)
        scene_submit (scene, "dc1-d1", "c", move_cases[_i].work, BT_KIND_REQUEST, 1, 1000, 500);
      bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
    }
  bt_world_heal (scene->world);
  bt_world_run (scene->world, 60 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (g_hash_table_size (scene->answers), n);
  guint done = 0, not_run = 0, elsewhere = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    {
      ck_assert_uint_eq (answer->answers, 1);
      done += answer->status == BT_STATUS_DONE;
      elsewhere += answer->status == BT_STATUS_DONE && !g_str_has_prefix (answer->job, "dc1/");
      not_run += answer->status == BT_STATUS_NOT_RUN;
      /* Idempotent work may run again where messages are lost, but never beside itself. */
      gboolean may_repeat
          = move_cases[_i].loss_percent > 0 && strcmp (move_cases[_i].work, "hold") == 0;
      guint most = answer->status == BT_STATUS_NOT_RUN ? 0 : may_repeat ? G_MAXUINT : 1;
      ck_assert_uint_le (scene_starts_at (scene, answer->exchange), most);
    }
  ck_assert_uint_eq (scene->overlaps, 0);
  guint64 moved = bt_core_counters (bt_world_node (scene->world, "dc1-d1")->core)->entry_moved;
  ck_assert_uint_gt (elsewhere, 0);
  if (move_cases[_i].refused_first)
    ck_assert_uint_gt (moved, 0);
  ck_assert_uint_ge (done, move_cases[_i].least_done);
  ck_assert_uint_ge (not_run, move_cases[_i].least_not_run);
  scene_free (scene);
}
END_TEST

/* A request with a key that was refused is not taken from a second copy of its message. */
START_TEST (a_refused_key_is_not_taken_from_a_copy)
{
  scene_config_t config = base;
  config.seed = (guint32)_i + 1;
  scene_t *scene = scene_new (&config);
  scene->keyed = TRUE;
  scene->world->repeat_percent = 80;
  scene->world->late_percent = 30;
  scene->world->late_max_us = 2 * BT_USEC_PER_SEC;
  for (guint round = 0; round < 80; round++)
    {
      for (guint i = 0; i < 20; i++)
        scene_submit (scene, "dc1-d1", "c", "charge", BT_KIND_REQUEST, 1, 1000, 500);
      bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
    }
  bt_world_heal (scene->world);
  bt_world_run (scene->world, 40 * BT_USEC_PER_SEC);
  guint not_run = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    {
      gboolean refused = answer->status == BT_STATUS_NOT_RUN;
      not_run += refused;
      ck_assert_uint_le (scene_starts_at (scene, answer->exchange), refused ? 0 : 1);
      if (refused && answer->reason != BT_REASON_DEADLINE)
        ck_assert_uint_ge (answer->retry_after_ms, 5000);
    }
  ck_assert_uint_gt (not_run, 50);
  scene_free (scene);
}
END_TEST

/* The new home can say that a request was handed on, and by which route it came. */
START_TEST (a_move_is_explained)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 200; i++)
    scene_submit (scene, "dc1-d1", "c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  bt_world_run (scene->world, 5 * BT_USEC_PER_SEC);
  guint explained = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    {
      if (g_str_has_prefix (answer->job, "dc1/"))
        continue;
      const char *told = scene_ask (scene, "dc1-d1", BT_QUERY_EXPLAIN, answer->job);
      explained += strstr (told, "\"action\":\"moved\",\"line\":\"route hold\"") != NULL;
    }
  ck_assert_uint_gt (explained, 0);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("home");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, the_nearest_that_is_not_full, 0, G_N_ELEMENTS (choice_cases));
  tcase_add_loop_test (tests, work_that_would_wait_goes_where_room_is, 0,
                       G_N_ELEMENTS (busy_cases));
  tcase_add_test (tests, a_key_has_one_home);
  tcase_add_loop_test (tests, a_flood_moves_on_and_nothing_runs_twice, 0,
                       G_N_ELEMENTS (move_cases));
  tcase_add_loop_test (tests, a_refused_key_is_not_taken_from_a_copy, 0, 4);
  tcase_add_test (tests, a_move_is_explained);
  return suite_run ("home", tests);
}
