#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/call_share.h"
#include "tests/suite.h"

/*
 * How calls to the advice service are shared between services, and between short and long ones.
 */

#define N_SERVICES 3
/* Long after the beginning of the term. */
#define NOW_US (100 * BT_USEC_PER_SEC)

static const char *const names[N_SERVICES] = { "a", "b", "c" };

/**
 * struct use_t - what the services have used, and whether they wait
 * @yields: whether each of them has to yield
 */
typedef struct
{
  gint64 used_ms[N_SERVICES];
  gboolean waits[N_SERVICES];
  gboolean yields[N_SERVICES];
} use_t;

static const use_t uses[] = {
  { { 1000, 0, 0 }, { FALSE, FALSE, FALSE }, { FALSE, FALSE, FALSE } },
  { { 1000, 0, 0 }, { TRUE, FALSE, FALSE }, { FALSE, FALSE, FALSE } },
  { { 1000, 0, 0 }, { TRUE, TRUE, FALSE }, { TRUE, FALSE, FALSE } },
  /* A quarter is half of an equal share. */
  { { 1000, 400, 0 }, { TRUE, TRUE, FALSE }, { FALSE, FALSE, FALSE } },
  { { 1000, 300, 0 }, { TRUE, TRUE, FALSE }, { TRUE, FALSE, FALSE } },
  /* Two that have had nothing don't wait for each other. */
  { { 1000, 0, 0 }, { TRUE, TRUE, TRUE }, { TRUE, FALSE, FALSE } },
  { { 1000, 10, 0 }, { TRUE, TRUE, TRUE }, { TRUE, TRUE, FALSE } },
  { { 0, 0, 0 }, { TRUE, TRUE, TRUE }, { FALSE, FALSE, FALSE } },
};

/* Guards against services that yield to each other, so that none makes a call any more, and against
   one that gets none beside another that asks for all. */
START_TEST (service_with_the_least_use_never_yields)
{
  const use_t *use = &uses[_i];
  bts_call_share_t *share = bts_call_share_new ();
  bts_call_share_begin_term (share, 0);
  const char *services[N_SERVICES];
  for (guint i = 0; i < N_SERVICES; i++)
    {
      services[i] = g_intern_string (names[i]);
      if (use->used_ms[i] > 0)
        bts_call_share_charge (share, services[i], use->used_ms[i] * 1000, FALSE, NOW_US);
      if (use->waits[i])
        bts_call_share_wait (share, services[i], NOW_US);
    }
  for (guint i = 0; i < N_SERVICES; i++)
    ck_assert_int_eq (bts_call_share_has_to_yield (share, services[i], NOW_US), use->yields[i]);
  /* A request that is no longer repeated doesn't hold others back. */
  for (guint i = 0; i < N_SERVICES; i++)
    ck_assert (!bts_call_share_has_to_yield (share, services[i], NOW_US + BT_USEC_PER_SEC));
  bts_call_share_free (share);
}
END_TEST

static const struct
{
  gint64 term_age_ms;
  gint64 short_ms;
  guint n_processes;
  guint n_kept;
} kept_cases[] = {
  { 100, 0, 6, 3 },       { 100, 0, 1, 0 },         { 60000, 0, 6, 0 },     { 60000, 30, 6, 0 },
  { 60000, 600, 6, 1 },   { 60000, 1200, 6, 2 },    { 60000, 20000, 6, 3 }, { 60000, 20000, 3, 1 },
  { 60000, 20000, 1, 0 }, { 60000, 20000, 37, 18 },
};

/* Guards against processes that are kept for short calls which nobody makes, and against a long
   call in each process while there are many short ones. */
START_TEST (processes_are_kept_as_far_as_short_calls_need_them)
{
  bts_call_share_t *share = bts_call_share_new ();
  bts_call_share_begin_term (share, NOW_US - kept_cases[_i].term_age_ms * 1000);
  bts_call_share_charge (share, g_intern_string ("a"), kept_cases[_i].short_ms * 1000, TRUE,
                         NOW_US);
  guint n = kept_cases[_i].n_processes;
  guint n_kept = bts_call_share_count_kept (share, n, NOW_US);
  ck_assert_uint_eq (n_kept, kept_cases[_i].n_kept);
  guint n_found = 0;
  for (guint i = 0; i < n; i++)
    n_found += bts_call_share_is_kept (i, n_kept, n);
  ck_assert_uint_eq (n_found, n_kept);
  bts_call_share_free (share);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("call_share");
  tcase_add_loop_test (tests, service_with_the_least_use_never_yields, 0, G_N_ELEMENTS (uses));
  tcase_add_loop_test (tests, processes_are_kept_as_far_as_short_calls_need_them, 0,
                       G_N_ELEMENTS (kept_cases));
  return suite_run ("call_share", tests);
}
