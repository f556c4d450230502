#include <string.h>

#include "standins/world.h"
#include "tests/suite.h"

/* Whole requests through several cores, as small worlds on a paused clock. */

typedef struct
{
  guint answers;
  bt_status_t status;
  char answer[256];
  guint starts;
  char job[256];
} seen_t;

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  seen_t *seen = context;
  seen->answers++;
  seen->status = outcome->status;
  g_strlcpy (seen->job, job, sizeof seen->job);
  if (outcome->answer == NULL)
    return;
  gsize len;
  const char *data = g_bytes_get_data (outcome->answer, &len);
  g_snprintf (seen->answer, sizeof seen->answer, "%.*s", (int)len, data);
}

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  ((seen_t *)context)->starts++;
}

static const bt_world_observer_t observer = { .answered = on_answered, .started = on_started };

static bt_tables_t *
load_tables (const char *name)
{
  char *file
      = g_build_filename (g_getenv ("BT_SOURCE_ROOT"), "examples", name, "tables.json", NULL);
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

static bt_request_t *
load_request (const char *name)
{
  char *file = g_build_filename (g_getenv ("BT_SOURCE_ROOT"), "examples", name, NULL);
  char *data;
  gsize len;
  ck_assert (g_file_get_contents (file, &data, &len, NULL));
  bt_request_t *request = bt_schema_parse (&bt_request_schema, data, len, NULL);
  ck_assert_ptr_nonnull (request);
  g_free (data);
  g_free (file);
  return request;
}

static const struct
{
  const char *deployment;
  const char *request;
  const char *node;
  bt_status_t status;
  guint starts;
  const char *echo;
} path_cases[] = {
  { "ravi", "ravi/term-lookup.json", "lahore-gulberg-d1", BT_STATUS_DONE, 1, "term=concordance" },
  { "ravi", "ravi/term-lookup.json", "karachi-saddar-d2", BT_STATUS_DONE, 1, "term=concordance" },
  { "ravi", "ravi/concordance-watch.json", "lahore-johar-d1", BT_STATUS_ACCEPTED, 2, "" },
  { "ravi", "ravi/index-build.json", "lahore-johar-d2", BT_STATUS_ACCEPTED, 3, "" },
  { "ravi", "ravi/proof-render.json", "lahore-gulberg-d1", BT_STATUS_ACCEPTED, 4, "" },
  { "cairnedge", "cairnedge/seat-hold.json", "inverness-a-d1", BT_STATUS_DONE, 1, "highlands-2" },
  { "cairnedge", "cairnedge/booking-charge.json", "glasgow-a-d1", BT_STATUS_DONE, 1, "order=1001" },
};

START_TEST (each_kind_of_work_runs)
{
  bt_tables_t *tables = load_tables (path_cases[_i].deployment);
  bt_request_t *request = load_request (path_cases[_i].request);
  seen_t seen = { 0 };
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  bt_world_t *world = bt_world_new (&config, &observer, &seen);
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  bt_world_submit (world, bt_world_node (world, path_cases[_i].node), request);
  bt_world_run (world, 3 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (seen.answers, 1);
  ck_assert_int_eq (seen.status, path_cases[_i].status);
  ck_assert_uint_eq (seen.starts, path_cases[_i].starts);
  ck_assert_ptr_nonnull (strstr (seen.answer, path_cases[_i].echo));
  bt_world_free (world);
  bt_schema_free (&bt_request_schema, request);
  bt_tables_free (tables);
}
END_TEST

START_TEST (a_dead_owner_is_replaced)
{
  bt_tables_t *tables = load_tables ("ravi");
  bt_request_t *request = load_request ("ravi/term-lookup.json");
  request->run_ms = 6000;
  seen_t seen = { 0 };
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  bt_world_t *world = bt_world_new (&config, &observer, &seen);
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  bt_node_t *leader = bt_world_leader (world, "lahore-gulberg");
  ck_assert_ptr_nonnull (leader);
  const char *other
      = strcmp (leader->name, "lahore-gulberg-d1") == 0 ? "lahore-gulberg-d2" : "lahore-gulberg-d1";
  bt_world_submit (world, bt_world_node (world, other), request);
  bt_world_run (world, 1 * BT_USEC_PER_SEC);
  bt_world_kill (world, leader);
  bt_world_run (world, 20 * BT_USEC_PER_SEC);
  ck_assert_str_eq (bt_world_leader (world, "lahore-gulberg")->name, other);
  ck_assert_uint_eq (seen.answers, 1);
  ck_assert_int_eq (seen.status, BT_STATUS_DONE);
  ck_assert_uint_eq (seen.starts, 1);
  bt_world_free (world);
  bt_schema_free (&bt_request_schema, request);
  bt_tables_free (tables);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("world");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, each_kind_of_work_runs, 0, G_N_ELEMENTS (path_cases));
  tcase_add_test (tests, a_dead_owner_is_replaced);
  return suite_run ("world", tests);
}
