#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/* A log that keeps records for a short time only, and daemons that start late. */

#define WORKERS 6
#define DAEMONS 3
#define SNAPSHOT_S 10
#define KEEP_S 40
#define SERVICES 12
#define CALLS_MAX 1024

typedef struct
{
  bt_world_t *world;
  gint64 kept_until[KEEP_S][2];
  guint second;
  guint answers[CALLS_MAX];
  bt_status_t status[CALLS_MAX];
  char jobs[CALLS_MAX][192];
  guint64 calls;
  GHashTable *starts;
  guint known;
  gint64 mcpus;
  char *body;
} scene_t;

static void
on_started (void *context, bt_host_t *host, const bt_start_request_t *request)
{
  scene_t *scene = context;
  char *task = g_strdup_printf ("%s#%" G_GINT64_FORMAT, request->job, request->task);
  guint before = GPOINTER_TO_UINT (g_hash_table_lookup (scene->starts, task));
  g_hash_table_insert (scene->starts, task, GUINT_TO_POINTER (before + 1));
}

static void
on_answered (void *context, bt_node_t *node, guint64 exchange, const char *job,
             const bt_outcome_t *outcome)
{
  scene_t *scene = context;
  scene->answers[exchange]++;
  scene->status[exchange] = outcome->status;
  g_strlcpy (scene->jobs[exchange], job, sizeof scene->jobs[exchange]);
}

static void
on_queried (void *context, bt_node_t *node, guint64 exchange, gboolean known, GBytes *body)
{
  scene_t *scene = context;
  scene->known += known;
  g_free (scene->body);
  gsize len = 0;
  const char *text = body != NULL ? g_bytes_get_data (body, &len) : "";
  scene->body = g_strndup (text, len);
}

static const bt_world_observer_t observer
    = { .answered = on_answered, .started = on_started, .queried = on_queried };

static void
scene_open (scene_t *scene)
{
  memset (scene, 0, sizeof *scene);
  scene->mcpus = 100;
  scene->starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bt_tables_t *tables = bt_cell_tables (1, WORKERS);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = DAEMONS;
  config.snapshot_us = SNAPSHOT_S * BT_USEC_PER_SEC;
  scene->world = bt_world_new (&config, &observer, scene);
  bt_tables_free (tables);
}

static void
scene_close (scene_t *scene)
{
  bt_world_free (scene->world);
  g_hash_table_unref (scene->starts);
  g_free (scene->body);
}

static void
trim (scene_t *scene, guint which, const char *stream)
{
  gint64 *mark = &scene->kept_until[scene->second % KEEP_S][which];
  bt_log_model_trim (&scene->world->log, stream, *mark);
  *mark = bt_log_model_next (&scene->world->log, stream);
}

/* Lets time pass; the log drops what is older than KEEP_S seconds. */
static void
run (scene_t *scene, guint seconds)
{
  for (guint i = 0; i < seconds; i++)
    {
      bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
      trim (scene, 0, "jobs.dc1");
      trim (scene, 1, BT_TABLES_STREAM);
      scene->second++;
    }
}

static guint64
submit (scene_t *scene, bt_node_t *node, const char *caller, const char *kind, guint tasks,
        gint64 run_ms, const char *key)
{
  g_autofree char *text = g_strdup_printf (
      "{\"caller\":\"%s\",\"work\":\"w\",\"kind\":\"%s\",\"tasks\":%u,"
      "\"run_ms\":%" G_GINT64_FORMAT ",\"mcpus\":%" G_GINT64_FORMAT "%s%s%s}",
      caller, kind, tasks, run_ms, scene->mcpus, key != NULL ? ",\"key\":\"" : "",
      key != NULL ? key : "", key != NULL ? "\"" : "");
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), NULL);
  ck_assert_ptr_nonnull (request);
  scene->calls = bt_world_submit (scene->world, node, request);
  bt_schema_free (&bt_request_schema, request);
  return scene->calls;
}

static guint
runs (const bt_host_t *host, const char *job)
{
  guint n = 0;
  GHashTableIter iter;
  const bt_model_attempt_t *attempt;
  g_hash_table_iter_init (&iter, host->model.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    n += attempt->report.state == BT_ATTEMPT_RUNNING && strcmp (attempt->report.job, job) == 0;
  return n;
}

static guint
running (const scene_t *scene, const char *job)
{
  guint n = 0;
  for (guint i = 0; i < scene->world->hosts->len; i++)
    n += runs (scene->world->hosts->pdata[i], job);
  return n;
}

static bt_node_t *
leader_of (scene_t *scene)
{
  bt_node_t *leader = bt_world_leader (scene->world, "dc1");
  ck_assert_ptr_nonnull (leader);
  return leader;
}

static bt_node_t *
other_than (scene_t *scene, const bt_node_t *node)
{
  return scene->world->nodes->pdata[scene->world->nodes->pdata[0] == node];
}

static void
replace_all (scene_t *scene)
{
  for (guint i = 0; i < scene->world->nodes->len; i++)
    bt_world_kill (scene->world, scene->world->nodes->pdata[i]);
  run (scene, 1);
  for (guint i = 0; i < scene->world->nodes->len; i++)
    bt_world_start (scene->world, scene->world->nodes->pdata[i]);
}

static void
replace_all_after_workers (scene_t *scene)
{
  for (guint i = 0; i < scene->world->hosts->len; i++)
    bt_world_host_kill (scene->world, scene->world->hosts->pdata[i]);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    bt_world_host_boot (scene->world, scene->world->hosts->pdata[i]);
  replace_all (scene);
}

static void
replace_in_turn (scene_t *scene)
{
  for (guint i = 0; i < scene->world->nodes->len; i++)
    {
      bt_world_kill (scene->world, scene->world->nodes->pdata[i]);
      run (scene, 5);
      bt_world_start (scene->world, scene->world->nodes->pdata[i]);
      run (scene, 5);
    }
}

static void
replace_for_long (scene_t *scene)
{
  for (guint i = 0; i < 8; i++)
    replace_in_turn (scene);
}

static void
lose_append_answers (scene_t *scene)
{
  scene->world->lose_append_answers = 40;
  run (scene, 60);
  replace_all (scene);
}

static void
short_outage (scene_t *scene)
{
  bt_world_log_set_down (scene->world, TRUE);
  run (scene, 15);
  bt_world_log_set_down (scene->world, FALSE);
  run (scene, 20);
  replace_all (scene);
}

static void
outage_beyond_retention (scene_t *scene)
{
  bt_world_log_set_down (scene->world, TRUE);
  run (scene, KEEP_S + 20);
  bt_world_log_set_down (scene->world, FALSE);
  run (scene, 20);
  replace_all (scene);
}

/* What happens after the first records have expired, and how often each service may start. */
static const struct
{
  void (*fault) (scene_t *scene);
  guint starts;
} expiry_cases[] = {
  { replace_all, 1 },
  { replace_all_after_workers, 2 },
  { replace_in_turn, 1 },
  { replace_for_long, 1 },
  { lose_append_answers, 1 },
  { short_outage, 1 },
  { outage_beyond_retention, 1 },
};

/* Jobs outlive the records that first told of them. */
START_TEST (jobs_outlive_the_retention_of_the_log)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *entry = other_than (&scene, leader_of (&scene));
  for (guint i = 0; i < SERVICES; i++)
    submit (&scene, entry, "service", "service", 2, 1000, NULL);
  guint64 batch = submit (&scene, entry, "batch", "batch", 3, 400000, NULL);
  guint64 cancelled = submit (&scene, entry, "service", "service", 1, 1000, NULL);
  run (&scene, 3);
  bt_world_query (scene.world, entry, BT_QUERY_CANCEL, scene.jobs[cancelled]);
  run (&scene, 1);
  gint64 told = bt_log_model_next (&scene.world->log, "jobs.dc1");
  run (&scene, 3 * KEEP_S);
  ck_assert_int_ge (bt_log_model_first (&scene.world->log, "jobs.dc1"), told);
  expiry_cases[_i].fault (&scene);
  run (&scene, 30);
  for (guint64 i = 1; i <= SERVICES; i++)
    {
      ck_assert_int_eq (scene.status[i], BT_STATUS_ACCEPTED);
      ck_assert_uint_eq (running (&scene, scene.jobs[i]), 2);
      g_autofree char *task = g_strdup_printf ("%s#0", scene.jobs[i]);
      ck_assert_uint_le (GPOINTER_TO_UINT (g_hash_table_lookup (scene.starts, task)),
                         expiry_cases[_i].starts);
    }
  ck_assert_uint_eq (running (&scene, scene.jobs[cancelled]), 0);
  scene.known = 0;
  bt_world_query (scene.world, other_than (&scene, leader_of (&scene)), BT_QUERY_STATUS,
                  scene.jobs[batch]);
  run (&scene, 1);
  ck_assert_uint_eq (scene.known, 1);
  scene_close (&scene);
}
END_TEST

/* A task that ended is not run again, though the record of its end has expired. */
START_TEST (ended_tasks_stay_ended)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *entry = other_than (&scene, leader_of (&scene));
  /* Slots for 48 tasks: the first ones end long before the last ones start. */
  guint64 call = submit (&scene, entry, "batch", "batch", 200, 30000, NULL);
  run (&scene, 100);
  replace_all (&scene);
  run (&scene, 140);
  ck_assert_uint_eq (g_hash_table_size (scene.starts), 200);
  GHashTableIter iter;
  gpointer starts;
  g_hash_table_iter_init (&iter, scene.starts);
  while (g_hash_table_iter_next (&iter, NULL, &starts))
    ck_assert_uint_eq (GPOINTER_TO_UINT (starts), 1);
  bt_world_query (scene.world, other_than (&scene, leader_of (&scene)), BT_QUERY_STATUS,
                  scene.jobs[call]);
  run (&scene, 1);
  ck_assert_ptr_nonnull (strstr (scene.body, "\"done\""));
  scene_close (&scene);
}
END_TEST

/* A daemon that could not read for longer than the log keeps records knows old jobs only. */
START_TEST (a_daemon_that_missed_records_starts_over)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *leader = leader_of (&scene);
  bt_node_t *behind = other_than (&scene, leader);
  guint64 call = submit (&scene, leader, "service", "service", 2, 1000, NULL);
  guint64 stays = submit (&scene, leader, "service", "service", 2, 1000, NULL);
  run (&scene, 3);
  behind->log_cut = TRUE;
  bt_world_query (scene.world, leader, BT_QUERY_CANCEL, scene.jobs[call]);
  run (&scene, 3 * KEEP_S);
  behind->log_cut = FALSE;
  for (guint i = 0; i < scene.world->nodes->len; i++)
    if (scene.world->nodes->pdata[i] != behind)
      bt_world_kill (scene.world, scene.world->nodes->pdata[i]);
  run (&scene, 30);
  ck_assert_ptr_eq (leader_of (&scene), behind);
  ck_assert_uint_eq (running (&scene, scene.jobs[call]), 0);
  ck_assert_uint_eq (running (&scene, scene.jobs[stays]), 2);
  g_autofree char *task = g_strdup_printf ("%s#0", scene.jobs[call]);
  ck_assert_uint_eq (GPOINTER_TO_UINT (g_hash_table_lookup (scene.starts, task)), 1);
  scene_close (&scene);
}
END_TEST

/* A request key holds across the death of all daemons, while its job is remembered. */
START_TEST (a_key_outlives_all_daemons)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *entry = other_than (&scene, leader_of (&scene));
  guint64 first = submit (&scene, entry, "batch", "request", 1, 50, "charge-1");
  run (&scene, 2);
  ck_assert_int_eq (scene.status[first], BT_STATUS_DONE);
  replace_all (&scene);
  run (&scene, 20);
  guint64 again = submit (&scene, entry, "batch", "request", 1, 50, "charge-1");
  run (&scene, 10);
  ck_assert_int_eq (scene.status[again], BT_STATUS_DONE);
  ck_assert_str_eq (scene.jobs[again], scene.jobs[first]);
  ck_assert_uint_eq (g_hash_table_size (scene.starts), 1);
  scene_close (&scene);
}
END_TEST

/* An attempt that was lost after its record was repeated is not taken up again. */
START_TEST (a_repeated_record_revives_nothing)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *entry = other_than (&scene, leader_of (&scene));
  /* Each task fills a VM, so that a lost one has to wait. */
  scene.mcpus = 32000;
  guint64 call = submit (&scene, entry, "service", "gang", 2, 400000, NULL);
  run (&scene, 1);
  submit (&scene, entry, "service", "service", WORKERS - 2, 1000, NULL);
  run (&scene, 2);
  ck_assert_uint_eq (running (&scene, scene.jobs[call]), 2);
  scene.world->log_delay_us = 900 * BT_USEC_PER_MSEC;
  bt_world_run (scene.world, _i * 500 * BT_USEC_PER_MSEC);
  bt_host_t *lost[WORKERS];
  guint n = 0;
  for (guint i = 0; i < WORKERS; i++)
    {
      bt_host_t *host = scene.world->hosts->pdata[i];
      if (runs (host, scene.jobs[call]))
        lost[n++] = host;
    }
  for (guint i = 0; i < n; i++)
    bt_world_host_kill (scene.world, lost[i]);
  run (&scene, 15);
  for (guint i = 0; i < n; i++)
    bt_world_host_boot (scene.world, lost[i]);
  run (&scene, 60);
  ck_assert_uint_eq (running (&scene, scene.jobs[call]), 2);
  scene_close (&scene);
}
END_TEST

START_TEST (appends_are_capped)
{
  scene_t scene;
  scene_open (&scene);
  run (&scene, 5);
  bt_node_t *entry = other_than (&scene, leader_of (&scene));
  guint64 before = scene.world->log.appends;
  for (guint i = 0; i < 500; i++)
    {
      submit (&scene, entry, "batch", "request", 1, 5, NULL);
      bt_world_run (scene.world, 4 * BT_USEC_PER_MSEC);
    }
  /* Two seconds at one append in 50 ms. */
  ck_assert_uint_le (scene.world->log.appends - before, 41);
  run (&scene, 3);
  for (guint64 i = 1; i <= scene.calls; i++)
    ck_assert_int_eq (scene.status[i], BT_STATUS_DONE);
  scene_close (&scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("journal");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, jobs_outlive_the_retention_of_the_log, 0,
                       G_N_ELEMENTS (expiry_cases));
  tcase_add_test (tests, ended_tasks_stay_ended);
  tcase_add_test (tests, a_daemon_that_missed_records_starts_over);
  tcase_add_test (tests, a_key_outlives_all_daemons);
  tcase_add_loop_test (tests, a_repeated_record_revives_nothing, 0, 2 * SNAPSHOT_S);
  tcase_add_test (tests, appends_are_capped);
  return suite_run ("journal", tests);
}
