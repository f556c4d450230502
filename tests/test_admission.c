#include <stdio.h>
#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* Floods, refusals and estimates, in a pool of 8 VMs with 64 slots. */

#define URGENT_BOUND_US (8300 * BT_USEC_PER_MSEC)
#define SHARE_BOUND 0.95

#define ROUTE(name, team, work_class, more)                                                        \
  "{\"name\":\"" name "\",\"callers\":[\"*\"],\"work\":\"" name "\",\"team\":\"" team              \
  "\",\"class\":\"" work_class "\",\"pool\":\"pool\",\"idempotent\":true" more "}"

#define BILL                                                                                       \
  "{\"name\":\"bill\",\"callers\":[\"*\"],\"work\":\"bill\",\"team\":\"a\",\"class\":\"urgent\","  \
  "\"pool\":\"pool\",\"idempotent\":false}"

#define ROUTES                                                                                                           \
  "[" BILL                                                                                                               \
  "," ROUTE ("hold", "a", "urgent", ",\"deadline_ms\":8300,\"queue_limit\":2000") "," ROUTE (                            \
      "alarm", "b", "urgent",                                                                                            \
      ",\"deadline_ms\":60000") "," ROUTE ("roster", "b", "batch",                                                       \
                                           ",\"queue_limit\":2000") "," ROUTE ("photo", "c",                             \
                                                                               "best-effort",                            \
                                                                               ",\"deadline_ms\":"                       \
                                                                               "30000,\"queue_"                          \
                                                                               "limit\":"                                \
                                                                               "2000") "," ROUTE ("tiny",                \
                                                                                                  "c",                   \
                                                                                                  "batch",               \
                                                                                                  ",\"queue_limit\":90," \
                                                                                                  "\"deadline_ms\":"     \
                                                                                                  "600000,\"retries\":3") "]"

static const scene_config_t base = {
  .data_centres = 1,
  .vms = 8,
  .cpus = 8,
  .reserve = 10,
  .quotas = "[{\"team\":\"a\",\"cpus\":24,\"memory_mb\":393216},"
            "{\"team\":\"b\",\"cpus\":24,\"memory_mb\":393216},"
            "{\"team\":\"c\",\"cpus\":16,\"memory_mb\":262144}]",
  .routes = ROUTES,
};

static bt_core_t *
core_of (const scene_t *scene)
{
  return bt_world_node (scene->world, "dc1-d1")->core;
}

/* A flood of each work against the steady asking of the others. */
typedef struct
{
  guint holds;
  guint rosters;
  guint photos;
  guint lost;
  guint entitled_holds;
  guint entitled_rosters;
  guint entitled_photos;
} flood_case_t;

/*
 * Requests per 100 ms; each runs 500 ms, so 1 keeps 5 slots busy. The entitled
 * figures are the slots that a work gets if it asks for as many.
 */
static const flood_case_t flood_cases[] = {
  { 2, 4, 60, 0, 10, 20, 0 },    /* flood of the least urgent */
  { 60, 4, 2, 0, 0, 20, 10 },    /* flood of the most urgent */
  { 60, 60, 60, 0, 24, 24, 16 }, /* of all together */
  { 2, 3, 60, 2, 10, 15, 0 },    /* with lost VMs */
  { 60, 3, 2, 2, 0, 15, 10 },    { 60, 60, 60, 2, 18, 18, 12 },
};

static void
ask (scene_t *scene, const char *work, guint n, guint round)
{
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *caller = g_strdup_printf ("caller-%u", (round + i) % 5);
      scene_submit (scene, "dc1-d1", caller, work, BT_KIND_REQUEST, 1, 1000, 500);
    }
}

static void
ask_all (scene_t *scene, const flood_case_t *row, guint rounds)
{
  for (guint i = 0; i < rounds; i++)
    {
      ask (scene, "photo", row->photos, i);
      ask (scene, "roster", row->rosters, i);
      ask (scene, "hold", row->holds, i);
      ask (scene, "alarm", i % 4 == 0 ? 1 : 0, i);
      bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
    }
}

static void
print_figures (const scene_t *scene, int row, const char *work)
{
  printf ("figures: flood %d, urgent %s: start p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", row, work,
          (double)scene_wait_at (scene, work, 0.5) / BT_USEC_PER_MSEC,
          (double)scene_wait_at (scene, work, 0.99) / BT_USEC_PER_MSEC,
          (double)scene_wait_max (scene, work) / BT_USEC_PER_MSEC);
}

static void
check_share (const char *work, guint before, guint after, guint slots, double seconds)
{
  /* Slots times seconds, at half a second each. */
  double entitled = slots * seconds * 2;
  double got = after - before;
  if (entitled > 0)
    printf ("figures: %s got %.1f%% of its entitled share\n", work, 100 * got / entitled);
  ck_assert_msg (got >= SHARE_BOUND * entitled, "%s: %.0f of %.0f", work, got, entitled);
}

START_TEST (others_keep_their_share_in_a_flood)
{
  const flood_case_t *row = &flood_cases[_i];
  scene_t *scene = scene_new (&base);
  flood_case_t calm = { .holds = MIN (row->holds, 2), .rosters = 2, .photos = 1 };
  ask_all (scene, &calm, 30);
  for (guint i = 0; i < row->lost; i++)
    bt_world_host_kill (scene->world, scene->world->hosts->pdata[i]);
  ask_all (scene, row, row->lost > 0 ? 150 : 30);
  guint holds = scene_starts (scene, "hold");
  guint rosters = scene_starts (scene, "roster") + scene_starts (scene, "alarm");
  guint photos = scene_starts (scene, "photo");
  ask_all (scene, row, 100);
  check_share ("hold", holds, scene_starts (scene, "hold"), row->entitled_holds, 10);
  check_share ("roster and alarm", rosters,
               scene_starts (scene, "roster") + scene_starts (scene, "alarm"),
               row->entitled_rosters, 10);
  check_share ("photo", photos, scene_starts (scene, "photo"), row->entitled_photos, 10);
  print_figures (scene, _i, "hold");
  print_figures (scene, _i, "alarm");
  ck_assert_int_le (scene_wait_max (scene, "hold"), URGENT_BOUND_US);
  ck_assert_int_le (scene_wait_max (scene, "alarm"), URGENT_BOUND_US);
  ck_assert_int_le (scene_wait_at (scene, "alarm", 0.95), BT_USEC_PER_SEC);
  scene_free (scene);
}
END_TEST

/* What is refused is not run, says why and when to come again; the rest runs. */
static const struct
{
  const char *work;
  guint callers;
  guint requests;
  gint64 run_ms;
  bt_reason_t reason;
  guint least_refused;
  guint most_refused;
} refusal_cases[] = {
  { "hold", 1, 64, 500, BT_REASON_WAIT_TOO_LONG, 0, 0 },
  { "hold", 4, 900, 500, BT_REASON_WAIT_TOO_LONG, 200, 700 },
  { "tiny", 1, 300, 500, BT_REASON_QUEUE_FULL, 150, 236 },
  { "tiny", 3, 300, 500, BT_REASON_QUEUE_FULL, 150, 190 },
  { "tiny", 1, 60, 500, BT_REASON_QUEUE_FULL, 0, 0 },
};

START_TEST (a_refusal_is_true_and_says_when)
{
  scene_t *scene = scene_new (&base);
  const char *work = refusal_cases[_i].work;
  for (guint i = 0; i < 24; i++)
    scene_submit (scene, "dc1-d1", "c0", work, BT_KIND_REQUEST, 1, 1000, refusal_cases[_i].run_ms);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  for (guint i = 0; i < refusal_cases[_i].requests; i++)
    {
      g_autofree char *caller = g_strdup_printf ("c%u", i % refusal_cases[_i].callers);
      scene_submit (scene, "dc1-d1", caller, work, BT_KIND_REQUEST, 1, 1000,
                    refusal_cases[_i].run_ms);
    }
  bt_world_run (scene->world, 40 * BT_USEC_PER_SEC);
  guint refused = scene_refused (scene, refusal_cases[_i].reason);
  ck_assert_uint_ge (refused, refusal_cases[_i].least_refused);
  ck_assert_uint_le (refused, refusal_cases[_i].most_refused);
  guint done = 0, not_run = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    {
      ck_assert_uint_eq (answer->answers, 1);
      done += answer->status == BT_STATUS_DONE;
      not_run += answer->status == BT_STATUS_NOT_RUN;
      if (answer->status != BT_STATUS_NOT_RUN)
        continue;
      ck_assert_uint_ge (answer->retry_after_ms, 200);
      ck_assert_uint_le (answer->retry_after_ms, 90000);
      ck_assert_uint_gt (strlen (answer->detail), 0);
    }
  ck_assert_uint_eq (done, scene_starts (scene, work));
  ck_assert_uint_eq (done + not_run, refusal_cases[_i].requests + 24);
  scene_free (scene);
}
END_TEST

/* A caller that comes again when it was told to is taken. */
START_TEST (the_time_to_retry_holds)
{
  scene_t *scene = scene_new (&base);
  guint64 last = 0;
  for (guint i = 0; i < 24; i++)
    scene_submit (scene, "dc1-d1", "c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  bt_world_run (scene->world, 2 * BT_USEC_PER_SEC);
  for (guint i = 0; i < 900; i++)
    last = scene_submit (scene, "dc1-d1", "c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  bt_world_run (scene->world, 10 * BT_USEC_PER_MSEC);
  ck_assert_int_eq (scene_answer (scene, last)->status, BT_STATUS_NOT_RUN);
  bt_world_run (scene->world, scene_answer (scene, last)->retry_after_ms * BT_USEC_PER_MSEC);
  guint64 again = scene_submit (scene, "dc1-d1", "c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  bt_world_run (scene->world, 12 * BT_USEC_PER_SEC);
  ck_assert_msg (scene_answer (scene, again)->status == BT_STATUS_DONE, "%s",
                 scene_answer (scene, again)->detail);
  scene_free (scene);
}
END_TEST

/* A light caller is taken and served soon while another one floods the same route. */
START_TEST (a_flood_of_one_caller_spares_the_others)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 40; i++)
    {
      for (guint k = 0; k < 60; k++)
        scene_submit (scene, "dc1-d1", "flooder", "hold", BT_KIND_REQUEST, 1, 1000, 500);
      guint64 light = scene_submit (scene, "dc1-d1", "light", "hold", BT_KIND_REQUEST, 1, 1000, 10);
      bt_world_run (scene->world, 400 * BT_USEC_PER_MSEC);
      const scene_answer_t *answer = scene_answer (scene, light);
      ck_assert_ptr_nonnull (answer);
      ck_assert_int_eq (answer->status, BT_STATUS_DONE);
    }
  scene_free (scene);
}
END_TEST

/* However many callers flood a route, one that comes later is still taken. */
START_TEST (a_full_queue_has_room_for_another_caller)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 600; i++)
    {
      g_autofree char *caller = g_strdup_printf ("flooder-%d", (int)i % (_i + 1));
      scene_submit (scene, "dc1-d1", caller, "tiny", BT_KIND_REQUEST, 1, 1000, 5000);
    }
  guint64 late[5];
  for (guint i = 0; i < G_N_ELEMENTS (late); i++)
    late[i] = scene_submit (scene, "dc1-d1", "late", "tiny", BT_KIND_REQUEST, 1, 1000, 10);
  bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
  ck_assert_uint_gt (scene_refused (scene, BT_REASON_QUEUE_FULL), 300);
  for (guint i = 0; i < G_N_ELEMENTS (late); i++)
    ck_assert_ptr_null (scene_answer (scene, late[i]));
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  for (guint i = 0; i < G_N_ELEMENTS (late); i++)
    ck_assert_int_eq (scene_answer (scene, late[i])->status, BT_STATUS_DONE);
  scene_free (scene);
}
END_TEST

/* What a flood leaves behind is forgotten soon, unless a second run would do harm. */
static const struct
{
  const char *work;
  gboolean key;
  guint remembered;
} memory_cases[] = { { "hold", FALSE, 0 }, { "hold", TRUE, 100 }, { "bill", FALSE, 100 } };

START_TEST (brief_requests_are_forgotten_soon)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < 100; i++)
    {
      bt_request_t *request
          = scene_request ("c", memory_cases[_i].work, BT_KIND_REQUEST, 1, 1000, 50);
      g_autofree char *key = g_strdup_printf ("k%u", i);
      request->key = memory_cases[_i].key ? g_ref_string_new (key) : NULL;
      bt_world_submit (scene->world, bt_world_node (scene->world, "dc1-d1"), request);
      bt_schema_free (&bt_request_schema, request);
    }
  bt_world_run (scene->world, 20 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_starts (scene, memory_cases[_i].work), 100);
  ck_assert_uint_eq (g_hash_table_size (core_of (scene)->sched.jobs), 100);
  bt_world_run (scene->world, 40 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (g_hash_table_size (core_of (scene)->sched.jobs), memory_cases[_i].remembered);
  scene_free (scene);
}
END_TEST

/* Work of callers that went away, or past its deadline, is dropped before it starts. */
static const struct
{
  gboolean gone;
  gint64 run_ms;
  guint most_starts;
} drop_cases[] = { { TRUE, 2000, 64 }, { FALSE, 20000, 64 } };

START_TEST (useless_work_is_dropped)
{
  scene_t *scene = scene_new (&base);
  guint64 exchanges[300];
  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    exchanges[i] = scene_submit (scene, "dc1-d1", "c", "hold", BT_KIND_REQUEST, 1, 1000,
                                 drop_cases[_i].run_ms);
  bt_world_run (scene->world, 100 * BT_USEC_PER_MSEC);
  for (guint i = 0; i < G_N_ELEMENTS (exchanges) && drop_cases[_i].gone; i++)
    bt_world_caller_gone (scene->world, bt_world_node (scene->world, "dc1-d1"), exchanges[i]);
  ck_assert_uint_eq (bt_queue_route_length (core_of (scene), "hold"),
                     drop_cases[_i].gone ? 0 : 300 - scene_starts (scene, "hold"));
  bt_world_run (scene->world, 30 * BT_USEC_PER_SEC);
  ck_assert_uint_le (scene_starts (scene, "hold"), drop_cases[_i].most_starts);
  ck_assert_uint_eq (scene_refused (scene, BT_REASON_DEADLINE),
                     drop_cases[_i].gone ? 0 : 300 - scene_starts (scene, "hold"));
  scene_free (scene);
}
END_TEST

/* When all fails, retries add a tenth and not a multiple. */
START_TEST (retries_stay_in_their_budget)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    ((bt_host_t *)scene->world->hosts->pdata[i])->model.fail_all = TRUE;
  for (guint i = 0; i < 500; i++)
    {
      scene_submit (scene, "dc1-d1", "c", "tiny", BT_KIND_REQUEST, 1, 1000, 100);
      bt_world_run (scene->world, 20 * BT_USEC_PER_MSEC);
    }
  bt_world_run (scene->world, 30 * BT_USEC_PER_SEC);
  ck_assert_uint_ge (scene_starts (scene, "tiny"), 500);
  ck_assert_uint_le (scene_starts (scene, "tiny"), 500 + 20 + 60);
  scene_free (scene);
}
END_TEST

/* Declared run times ten times off, either way: estimates learn, and nothing is refused wrongly. */
static const struct
{
  gint64 declared_ms;
  gint64 actual_ms;
} estimate_cases[] = { { 500, 500 }, { 5000, 500 }, { 50, 500 } };

START_TEST (estimates_follow_what_ran)
{
  scene_t *scene = scene_new (&base);
  bt_core_t *core = core_of (scene);
  bt_job_t *job = bt_job_new (core, "dc1/probe");
  bt_request_t *request
      = scene_request ("c", "hold", BT_KIND_REQUEST, 1, 1000, estimate_cases[_i].declared_ms);
  bt_job_set_request (job, request, bt_tables_find_route (core->tables.tables, "hold"));
  bt_attempt_t attempt = { .job = job };
  ck_assert_int_eq (bt_estimate_run_us (core, job),
                    estimate_cases[_i].declared_ms * BT_USEC_PER_MSEC);
  for (guint i = 0; i < 10; i++)
    {
      attempt.sent_at = core->now - estimate_cases[_i].actual_ms * BT_USEC_PER_MSEC;
      bt_estimate_on_attempt_ended (core, &attempt);
    }
  ck_assert_int_eq (bt_estimate_run_us (core, job) / BT_USEC_PER_MSEC,
                    estimate_cases[_i].actual_ms);
  bt_schema_free (&bt_request_schema, request);
  bt_queue_remove (core, job);
  scene_free (scene);
}
END_TEST

/* Nonsense in a report moves no estimate far and no limit at all. */
static const struct
{
  gint64 used_mcpus;
  gint64 used_memory_mb;
  gint64 least_mcpus;
  gint64 most_mcpus;
} nonsense_cases[] = {
  { 500, 32, 600, 650 },
  { -5, -1, 600, 650 },
  { G_MININT64, G_MININT64, 600, 650 },
  { G_MAXINT64, G_MAXINT64, 600, 650 },
  { 0, 0, 600, 650 },
  { 8000, 131072, 600, 1000 },
  { 1, 1, 400, 650 },
};

START_TEST (nonsense_reports_do_little)
{
  scene_t *scene = scene_new (&base);
  bt_core_t *core = core_of (scene);
  bt_job_t *job = bt_job_new (core, "dc1/probe");
  bt_request_t *request = scene_request ("c", "hold", BT_KIND_REQUEST, 1, 1000, 500);
  bt_job_set_request (job, request, bt_tables_find_route (core->tables.tables, "hold"));
  bt_attempt_t attempt = { .job = job, .need = job->need };
  attempt.worker = bt_owner_find_worker (core, "vm1-1");
  bt_attempt_report_t report = { .used_mcpus = 500, .used_memory_mb = 32 };
  bt_estimate_on_usage_report (core, &attempt, &report);
  report.used_mcpus = nonsense_cases[_i].used_mcpus;
  report.used_memory_mb = nonsense_cases[_i].used_memory_mb;
  bt_resources_t used_before = attempt.worker->used;
  bt_estimate_on_usage_report (core, &attempt, &report);
  bt_resources_t likely;
  bt_estimate_usage (core, job, &likely);
  ck_assert_int_ge (likely.v[BT_RESOURCE_MCPUS], nonsense_cases[_i].least_mcpus);
  ck_assert_int_le (likely.v[BT_RESOURCE_MCPUS], nonsense_cases[_i].most_mcpus);
  ck_assert_mem_eq (&attempt.worker->used, &used_before, sizeof used_before);
  ck_assert_int_eq (job->need.v[BT_RESOURCE_MCPUS], 1000);
  bt_schema_free (&bt_request_schema, request);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("admission");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, others_keep_their_share_in_a_flood, 0, G_N_ELEMENTS (flood_cases));
  tcase_add_loop_test (tests, a_refusal_is_true_and_says_when, 0, G_N_ELEMENTS (refusal_cases));
  tcase_add_test (tests, the_time_to_retry_holds);
  tcase_add_test (tests, a_flood_of_one_caller_spares_the_others);
  tcase_add_loop_test (tests, a_full_queue_has_room_for_another_caller, 0, 4);
  tcase_add_loop_test (tests, brief_requests_are_forgotten_soon, 0, G_N_ELEMENTS (memory_cases));
  tcase_add_loop_test (tests, useless_work_is_dropped, 0, G_N_ELEMENTS (drop_cases));
  tcase_add_test (tests, retries_stay_in_their_budget);
  tcase_add_loop_test (tests, estimates_follow_what_ran, 0, G_N_ELEMENTS (estimate_cases));
  tcase_add_loop_test (tests, nonsense_reports_do_little, 0, G_N_ELEMENTS (nonsense_cases));
  return suite_run ("admission", tests);
}
