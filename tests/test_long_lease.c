#include <string.h>

#include "standins/world.h"
#include "tests/suite.h"

/*
 * With leases as long as a large data centre needs, urgent requests that come
 * after the owner's death was noticed start elsewhere within their bound.
 */

#define LEASE_US (15 * BT_USEC_PER_SEC)
#define TASK_LEASE_US (36 * BT_USEC_PER_SEC)
#define SUSPECT_US (2 * BT_USEC_PER_SEC)
#define URGENT_START_US (8300 * BT_USEC_PER_MSEC)
#define STEP_US (250 * BT_USEC_PER_MSEC)
#define SETTLE_US (20 * BT_USEC_PER_SEC)
#define WATCH_US (25 * BT_USEC_PER_SEC)

typedef struct
{
  gint64 longest_wait_us;
  guint starts;
  bt_world_t *world;
} seen_t;

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  seen_t *seen = context;
  gint64 sent_at = g_ascii_strtoll (request->payload, NULL, 10);
  seen->longest_wait_us = MAX (seen->longest_wait_us, seen->world->clock.now_us - sent_at);
  seen->starts++;
}

static const bt_world_observer_t observer = { .started = on_started };

static const char *
region_of (const char *data_centre)
{
  return strcmp (data_centre, "glasgow-a") == 0 ? "lowlands" : "highlands";
}

static bt_tables_t *
load_tables (void)
{
  char *file
      = g_build_filename (g_getenv ("BT_SOURCE_ROOT"), "examples/cairnedge/tables.json", NULL);
  char *data;
  gsize len;
  ck_assert (g_file_get_contents (file, &data, &len, NULL));
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (data, len, &report);
  ck_assert_ptr_nonnull (tables);
  bt_report_clear (&report);
  g_free (data);
  g_free (file);
  return tables;
}

static void
submit_now (bt_world_t *world, bt_node_t *node)
{
  g_autofree char *text = g_strdup_printf (
      "{\"caller\":\"school-oban\",\"work\":\"seat-hold\",\"kind\":\"request\",\"run_ms\":20,"
      "\"deadline_ms\":8300,\"payload\":\"%" G_GINT64_FORMAT "\"}",
      world->clock.now_us);
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  ck_assert_ptr_nonnull (request);
  bt_world_submit (world, node, request);
  bt_schema_free (&bt_request_schema, request);
}

START_TEST (urgent_work_starts_elsewhere)
{
  bt_tables_t *tables = load_tables ();
  seen_t seen = { 0 };
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.region_of = region_of;
  config.lease_us = LEASE_US;
  config.task_lease_us = TASK_LEASE_US;
  bt_world_t *world = bt_world_new (&config, &observer, &seen);
  seen.world = world;
  bt_world_run (world, SETTLE_US);
  bt_node_t *leader = bt_world_leader (world, "inverness-a");
  ck_assert_ptr_nonnull (leader);
  const char *other
      = strcmp (leader->name, "inverness-a-d1") == 0 ? "inverness-a-d2" : "inverness-a-d1";
  bt_world_kill (world, leader);
  bt_world_run (world, SUSPECT_US + STEP_US);
  guint sent = 0;
  for (gint64 passed = 0; passed < WATCH_US; passed += STEP_US, sent++)
    {
      submit_now (world, bt_world_node (world, other));
      bt_world_run (world, STEP_US);
    }
  bt_world_run (world, URGENT_START_US);
  ck_assert_uint_eq (seen.starts, sent);
  ck_assert_int_le (seen.longest_wait_us, URGENT_START_US);
  ck_assert_str_eq (bt_world_leader (world, "inverness-a")->name, other);
  bt_world_free (world);
  bt_tables_free (tables);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("long_lease");
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, urgent_work_starts_elsewhere);
  return suite_run ("long_lease", tests);
}
