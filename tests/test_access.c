#include "libbamboothread/scheduler/access.h"

#include "tests/suite.h"

/* Whether a request is handled, by the tables, their age and its key, decided without a network. */

#define MAX_AGE_MS 3500
#define AT_US (G_GINT64_CONSTANT (10000) * 1000 * 1000)

/* Tables with a route that isn't public and one that is. */
static bts_tables_t *
tables_new (gboolean with_tenants)
{
  bts_tables_t *tables = bts_tables_new ();
  for (guint i = 0; i < 2; i++)
    {
      bts_route_t *route = g_new0 (bts_route_t, 1);
      route->is_public = i == 1;
      g_ptr_array_add (tables->routes, route);
    }
  if (with_tenants)
    bts_tenants_add_key (tables->tenants, bts_tenants_add (tables->tenants, "a"), "k");
  return tables;
}

typedef enum
{
  NONE,
  WITHOUT_TENANTS,
  WITH_TENANTS,
} tables_t;

/**
 * struct case - a request
 * @age_ms: age of the last complete read; negative if there was none in this lifetime
 */
static const struct
{
  tables_t tables;
  gint64 age_ms;
  gboolean is_public;
  const char *key;
  bts_access_t access;
} cases[] = {
  { WITH_TENANTS, 10, FALSE, "k", BTS_ACCESS_GRANTED },
  { WITH_TENANTS, 10, FALSE, "x", BTS_ACCESS_UNAUTHORIZED },
  { WITH_TENANTS, 10, FALSE, NULL, BTS_ACCESS_UNAUTHORIZED },
  { WITH_TENANTS, 10, TRUE, "x", BTS_ACCESS_GRANTED },
  { WITH_TENANTS, 10, TRUE, NULL, BTS_ACCESS_GRANTED },
  { WITH_TENANTS, MAX_AGE_MS, FALSE, "k", BTS_ACCESS_GRANTED },
  /* The key may have been removed since. */
  { WITH_TENANTS, MAX_AGE_MS + 1, FALSE, "k", BTS_ACCESS_STALE },
  /* It may have been added since. */
  { WITH_TENANTS, MAX_AGE_MS + 1, FALSE, "x", BTS_ACCESS_STALE },
  { WITH_TENANTS, MAX_AGE_MS + 1, TRUE, "x", BTS_ACCESS_GRANTED },
  /* Versions that were read before the end of the log may be old. */
  { WITH_TENANTS, -1, FALSE, "k", BTS_ACCESS_NOT_READY },
  { WITH_TENANTS, -1, TRUE, NULL, BTS_ACCESS_NOT_READY },
  { WITHOUT_TENANTS, -1, FALSE, NULL, BTS_ACCESS_NOT_READY },
  { WITHOUT_TENANTS, 10, FALSE, NULL, BTS_ACCESS_GRANTED },
  { WITHOUT_TENANTS, 3600 * 1000, FALSE, "x", BTS_ACCESS_GRANTED },
  { NONE, 10, FALSE, "k", BTS_ACCESS_NOT_READY },
};

/* Guards against a request that is handled with a key that was removed, and against callers without
   tenants that are turned away. */
START_TEST (request_is_handled_with_fresh_tables)
{
  bts_tables_t *tables
      = cases[_i].tables == NONE ? NULL : tables_new (cases[_i].tables == WITH_TENANTS);
  bts_route_t route = { 0 };
  route.is_public = cases[_i].is_public;
  bts_freshness_t freshness;
  bts_freshness_init (&freshness, MAX_AGE_MS);
  bts_freshness_on_read (&freshness, FALSE, AT_US);
  if (cases[_i].age_ms >= 0)
    bts_freshness_on_read (&freshness, TRUE, AT_US - cases[_i].age_ms * 1000);
  const bts_tenant_t *tenant = NULL;
  bts_access_t access
      = bts_access_check (&freshness, tables, &route, cases[_i].key, AT_US, &tenant);
  ck_assert_int_eq (access, cases[_i].access);
  ck_assert_int_eq (tenant != NULL, cases[_i].tables == WITH_TENANTS && !cases[_i].is_public
                                        && access == BTS_ACCESS_GRANTED);
  bts_tables_free (tables);
}
END_TEST

/**
 * struct history - what happens to a process after its start, one letter each
 *   r: a read has reached the end of the log; p: one hasn't; s: records were skipped;
 *   b: the newest version is asked for, if that is due; n: it was read; f: that failed
 */
static const struct
{
  const char *events;
  gboolean known;
  gboolean due;
} histories[] = {
  { "", FALSE, FALSE },
  { "p", FALSE, FALSE },
  { "r", TRUE, FALSE },
  { "s", FALSE, TRUE },
  { "sb", FALSE, FALSE },
  /* The newest version may be among the records that were skipped. */
  { "sbr", FALSE, FALSE },
  { "sbfr", FALSE, TRUE },
  { "sbfrbn", TRUE, FALSE },
  { "sbrn", TRUE, FALSE },
  { "sbn", FALSE, FALSE },
  { "sbnr", TRUE, FALSE },
  /* Another version may have been written and deleted while it was on its way. */
  { "sbsrn", FALSE, TRUE },
  { "sbsrnbn", TRUE, FALSE },
  { "sbrsn", FALSE, TRUE },
};

/* Guards against a process that takes old tables for the newest since it has skipped records, and
   against one that never reads them again after a failure. */
START_TEST (skipped_versions_are_read)
{
  bts_freshness_t freshness;
  bts_freshness_init (&freshness, MAX_AGE_MS);
  for (const char *event = histories[_i].events; *event != '\0'; event++)
    switch (*event)
      {
      case 's':
        bts_freshness_on_skipped (&freshness);
        break;
      case 'b':
        ck_assert (bts_freshness_begin_newest (&freshness));
        break;
      case 'n':
      case 'f':
        bts_freshness_on_newest (&freshness, *event == 'n');
        break;
      default:
        bts_freshness_on_read (&freshness, *event == 'r', AT_US);
        break;
      }
  ck_assert_int_eq (bts_freshness_is_known (&freshness), histories[_i].known);
  ck_assert_int_eq (bts_freshness_begin_newest (&freshness), histories[_i].due);
}
END_TEST

/* Guards against keys that were removed while the newest version can't be read after a skip. */
START_TEST (tables_age_while_the_newest_version_is_missing)
{
  bts_tables_t *tables = tables_new (TRUE);
  bts_freshness_t freshness;
  bts_freshness_init (&freshness, MAX_AGE_MS);
  bts_freshness_on_read (&freshness, TRUE, AT_US);
  bts_freshness_on_skipped (&freshness);
  bts_freshness_on_read (&freshness, TRUE, AT_US + 5000 * 1000);
  ck_assert (bts_freshness_is_usable (&freshness, tables, AT_US + MAX_AGE_MS * 1000));
  ck_assert (!bts_freshness_is_usable (&freshness, tables, AT_US + 5000 * 1000));
  ck_assert (bts_freshness_begin_newest (&freshness));
  bts_freshness_on_newest (&freshness, TRUE);
  ck_assert (bts_freshness_is_usable (&freshness, tables, AT_US + 5000 * 1000));
  bts_tables_free (tables);
}
END_TEST

/**
 * struct reached_case - a request to a process whose tables are old
 * @tables: its tables
 * @route: whether they have a route for the request, and whether that is public
 * @age_ms: age of the last complete read of the tables
 * @reached_ms: how long ago the store replied to a read of another log
 */
typedef enum
{
  NO_ROUTE,
  ROUTE,
  PUBLIC_ROUTE,
} route_t;
static const struct
{
  tables_t tables;
  route_t route;
  gint64 age_ms;
  gint64 reached_ms;
  bts_access_t access;
} reached_cases[] = {
  { WITHOUT_TENANTS, NO_ROUTE, 10, 10, BTS_ACCESS_NO_ROUTE },
  { WITHOUT_TENANTS, NO_ROUTE, MAX_AGE_MS, 10, BTS_ACCESS_NO_ROUTE },
  /* The route may have been added since, whether the store can be reached or not. */
  { WITHOUT_TENANTS, NO_ROUTE, MAX_AGE_MS + 1, 10, BTS_ACCESS_STALE },
  { WITHOUT_TENANTS, NO_ROUTE, 60 * 1000, 60 * 1000, BTS_ACCESS_STALE },
  { WITH_TENANTS, NO_ROUTE, MAX_AGE_MS + 1, 10, BTS_ACCESS_STALE },
  /* It may have been removed since. */
  { WITHOUT_TENANTS, ROUTE, 10 * 1000, 10, BTS_ACCESS_STALE },
  { WITH_TENANTS, PUBLIC_ROUTE, 10 * 1000, 10, BTS_ACCESS_STALE },
  /* The store replied to another read, was lost again, and the tables weren't read meanwhile. */
  { WITHOUT_TENANTS, ROUTE, 60 * 1000, 50 * 1000, BTS_ACCESS_STALE },
  /* It can't be reached: the process goes on with the tables that it has. */
  { WITHOUT_TENANTS, ROUTE, 60 * 1000, 60 * 1000, BTS_ACCESS_GRANTED },
  { WITHOUT_TENANTS, ROUTE, 60 * 1000, 59 * 1000, BTS_ACCESS_GRANTED },
  { WITH_TENANTS, PUBLIC_ROUTE, 60 * 1000, 60 * 1000, BTS_ACCESS_GRANTED },
  { WITH_TENANTS, ROUTE, 60 * 1000, 60 * 1000, BTS_ACCESS_STALE },
  { WITHOUT_TENANTS, ROUTE, MAX_AGE_MS, 0, BTS_ACCESS_GRANTED },
};

/* Guards against answers from tables that are known to be old: 404 for a route that was added, and
   200 for one that was removed (CONFIG on pwani-billing-grown). */
START_TEST (old_tables_deny_no_route_while_the_store_is_reached)
{
  bts_tables_t *tables = tables_new (reached_cases[_i].tables == WITH_TENANTS);
  const bts_route_t route = { .is_public = reached_cases[_i].route == PUBLIC_ROUTE };
  bts_freshness_t freshness;
  bts_freshness_init (&freshness, MAX_AGE_MS);
  bts_freshness_on_read (&freshness, TRUE, AT_US - reached_cases[_i].age_ms * 1000);
  bts_freshness_on_reached (&freshness, AT_US - reached_cases[_i].reached_ms * 1000);
  const bts_tenant_t *tenant = NULL;
  bts_access_t access = bts_access_check (
      &freshness, tables, reached_cases[_i].route == NO_ROUTE ? NULL : &route, "k", AT_US, &tenant);
  ck_assert_int_eq (access, reached_cases[_i].access);
  if (reached_cases[_i].route == ROUTE)
    ck_assert_int_eq (bts_freshness_is_usable (&freshness, tables, AT_US),
                      access == BTS_ACCESS_GRANTED);
  bts_tables_free (tables);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("access");
  tcase_add_loop_test (tests, request_is_handled_with_fresh_tables, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, skipped_versions_are_read, 0, G_N_ELEMENTS (histories));
  tcase_add_loop_test (tests, old_tables_deny_no_route_while_the_store_is_reached, 0,
                       G_N_ELEMENTS (reached_cases));
  tcase_add_test (tests, tables_age_while_the_newest_version_is_missing);
  return suite_run ("access", tests);
}
