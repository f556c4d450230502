#include <string.h>

#include "libbamboothread/version/tables.h"
#include "tests/suite.h"

#define ROUTE(more)                                                                                \
  "{\"name\":\"r\",\"callers\":[\"c\"],\"team\":\"t\",\"class\":\"urgent\",\"pool\":\"p\","        \
  "\"idempotent\":true" more "}"
#define VM(name, port, more)                                                                       \
  "{\"name\":\"" name "\",\"address\":\"127.0.0.1:" port "\",\"data_centre\":\"d\","               \
  "\"rack\":\"k\",\"cpus\":4,\"memory_mb\":1024" more "}"
#define POOL(vms) "{\"name\":\"p\",\"vms\":[" vms "]}"
#define TABLES(routes, pools) "{\"routes\":[" routes "],\"pools\":[" pools "]}"

/* Tables, and the path of a fault in them. */
static const struct
{
  const char *text;
  const char *path;
} table_cases[] = {
  { TABLES (ROUTE (""), POOL (VM ("v", "1", ""))), NULL },
  { TABLES ("", ""), NULL },
  { TABLES (ROUTE (""), ""), "$.routes[0].pool" },
  { TABLES (ROUTE ("") "," ROUTE (""), POOL ("")), "$.routes[1].name" },
  { TABLES ("", POOL ("") "," POOL ("")), "$.pools[1].name" },
  { TABLES ("", POOL (VM ("v", "1", "") "," VM ("v", "2", ""))), "$.pools[0].vms[1].name" },
  { TABLES ("", POOL (VM ("v", "1", "") "," VM ("w", "1", ""))), "$.pools[0].vms[1].address" },
  { TABLES ("", POOL (VM ("v", "99999", ""))), "$.pools[0].vms[0].address" },
  { TABLES ("", POOL (VM ("v", "1", ",\"gpus\":-1"))), "$.pools[0].vms[0].gpus" },
  { TABLES (ROUTE (",\"class\":\"fast\""), POOL ("")), "$.routes[0].class" },
  { TABLES (ROUTE (",\"deadline_ms\":0"), POOL ("")), "$.routes[0].deadline_ms" },
  { TABLES (ROUTE (",\"unknown\":1"), POOL ("")), "$.routes[0].unknown" },
  { TABLES (ROUTE (",\"partition\":\"stay\""), POOL ("")), NULL },
  { TABLES (ROUTE (",\"partition\":\"move\""), POOL ("")), "$.routes[0].partition" },
  { "{\"routes\":[]}", "$.pools" },
  { "{\"routes\":{},\"pools\":[]}", "$.routes" },
  { "not json", "$" },
};

START_TEST (tables_are_checked)
{
  const char *text = table_cases[_i].text;
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (text, strlen (text), &report);
  char *faults = bt_report_to_text (&report, "file");
  ck_assert_int_eq (tables != NULL, table_cases[_i].path == NULL);
  if (table_cases[_i].path != NULL)
    ck_assert_msg (strstr (faults, table_cases[_i].path) != NULL, "%s", faults);
  g_free (faults);
  bt_report_clear (&report);
  bt_tables_free (tables);
}
END_TEST

static const struct
{
  const char *pattern;
  const char *caller;
  gboolean matches;
} match_cases[] = {
  { "a", "a", TRUE }, { "a", "ab", FALSE },  { "a*", "ab", TRUE },
  { "*", "x", TRUE }, { "b*", "ab", FALSE },
};

START_TEST (first_matching_route_is_taken)
{
  char *text = g_strdup_printf (
      TABLES ("{\"name\":\"r\",\"callers\":[\"%s\"],\"team\":\"t\",\"class\":\"batch\","
              "\"pool\":\"p\",\"idempotent\":false}",
              POOL ("")),
      match_cases[_i].pattern);
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (text, strlen (text), &report);
  ck_assert_ptr_nonnull (tables);
  const bt_route_t *route = bt_tables_match_route (tables, match_cases[_i].caller, "w");
  ck_assert_int_eq (route != NULL, match_cases[_i].matches);
  bt_tables_free (tables);
  bt_report_clear (&report);
  g_free (text);
}
END_TEST

static const char *const example_files[]
    = { "examples/ravi/tables.json", "examples/cairnedge/tables.json" };

START_TEST (examples_are_valid)
{
  char *file = g_build_filename (g_getenv ("BT_SOURCE_ROOT"), example_files[_i], NULL);
  char *data;
  gsize len;
  ck_assert (g_file_get_contents (file, &data, &len, NULL));
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (data, len, &report);
  char *faults = bt_report_to_text (&report, file);
  ck_assert_msg (tables != NULL, "%s", faults);
  bt_tables_free (tables);
  bt_report_clear (&report);
  g_free (faults);
  g_free (data);
  g_free (file);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("tables");
  tcase_add_loop_test (tests, tables_are_checked, 0, G_N_ELEMENTS (table_cases));
  tcase_add_loop_test (tests, first_matching_route_is_taken, 0, G_N_ELEMENTS (match_cases));
  tcase_add_loop_test (tests, examples_are_valid, 0, G_N_ELEMENTS (example_files));
  return suite_run ("tables", tests);
}
