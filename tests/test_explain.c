#include <string.h>

#include "tests/scene.h"
#include "tests/suite.h"

/* What an operator is told of a job, for each cause of waiting and each decision. */

#define ROUTES                                                                                     \
  "[{\"name\":\"quick\",\"callers\":[\"*\"],\"work\":\"quick\",\"team\":\"a\","                    \
  "\"class\":\"urgent\",\"pool\":\"pool\",\"idempotent\":true,\"deadline_ms\":60000},"             \
  "{\"name\":\"build\",\"callers\":[\"*\"],\"work\":\"build\",\"team\":\"b\",\"class\":\"batch\"," \
  "\"pool\":\"pool\",\"idempotent\":true},"                                                        \
  "{\"name\":\"bill\",\"callers\":[\"*\"],\"work\":\"bill\",\"team\":\"a\",\"class\":\"batch\","   \
  "\"pool\":\"pool\",\"idempotent\":false,\"on_log_outage\":\"hold\"}]"

static const scene_config_t base = {
  .data_centres = 1,
  .vms = 2,
  .cpus = 8,
  .gpus = 2,
  .quotas = "[{\"team\":\"a\",\"cpus\":12,\"memory_mb\":196608,\"gpus\":4},"
            "{\"team\":\"b\",\"cpus\":4,\"memory_mb\":65536,\"gpus\":0,\"borrow\":false}]",
  .routes = ROUTES,
};

typedef struct
{
  const char *work;
  bt_kind_t kind;
  gint64 tasks;
  gint64 mcpus;
  guint fill;
  gint64 fill_mcpus;
  gboolean log_down;
  gboolean fail;
  const char *cause;
  const char *line;
  const char *text;
} why_case_t;

static const why_case_t why_cases[] = {
  { "quick", BT_KIND_REQUEST, 1, 5000, 2, 6000, FALSE, FALSE, "no-room", "pool pool",
    "no VM has 5000 thousandths of a processor free; the largest free is 2000" },
  { "build", BT_KIND_BATCH, 2, 3000, 0, 0, FALSE, FALSE, "over-quota", "pool pool",
    "needs 3000 thousandths of a processor, has 1000 left of 4000" },
  { "bill", BT_KIND_GANG, 3, 4000, 1, 5000, FALSE, FALSE, "gang", "pool pool",
    "the gang needs room for 3 tasks at once; there is room for 2" },
  { "bill", BT_KIND_GANG, 3, 4000, 0, 0, TRUE, FALSE, "recording", "route bill",
    "the start records of 3 tasks are being appended to the log" },
  { "quick", BT_KIND_BATCH, 1, 1000, 0, 0, FALSE, TRUE, "not-ready", "route quick",
    "backoff after" },
  { "quick", BT_KIND_BATCH, 1, 1000, 0, 0, FALSE, FALSE, "running", "route quick",
    "1 of its tasks run" },
};

START_TEST (why_waiting_names_the_cause)
{
  const why_case_t *row = &why_cases[_i];
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < row->fill; i++)
    scene_submit (scene, "dc1-d1", "c", "quick", BT_KIND_REQUEST, 1, row->fill_mcpus, 50000);
  bt_world_run (scene->world, BT_USEC_PER_SEC);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    ((bt_host_t *)scene->world->hosts->pdata[i])->model.fail_all = row->fail;
  if (row->log_down)
    {
      bt_world_log_set_down (scene->world, TRUE);
      bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
    }
  guint64 exchange = scene_submit (scene, "dc1-d1", "c", row->work, row->kind, row->tasks,
                                   row->mcpus, row->fail ? 10 : 20000);
  bt_world_run (scene->world, row->fail ? 300 * BT_USEC_PER_MSEC : BT_USEC_PER_SEC);
  const scene_answer_t *answer = scene_answer (scene, exchange);
  char job[256] = "dc1/";
  if (answer != NULL)
    g_strlcpy (job, answer->job, sizeof job);
  else
    {
      const char *list = scene_ask (scene, "dc1-d1", BT_QUERY_LIST, "");
      const char *at = strstr (list, "\"waiting\"");
      ck_assert_msg (at != NULL, "%s", list);
      while (strncmp (at, "{\"job\":\"", 8) != 0)
        at--;
      g_strlcpy (job, at + 8, sizeof job);
      *strchr (job, '"') = '\0';
    }
  g_autofree char *cause
      = g_strdup_printf ("\"cause\":\"%s\",\"line\":\"%s\"", row->cause, row->line);
  const char *told = "";
  gboolean found = FALSE;
  for (guint i = 0; i < (row->fail ? 30 : 1) && !found; i++)
    {
      told = scene_ask (scene, "dc1-d1", BT_QUERY_WHY_WAITING, job);
      found = strstr (told, cause) != NULL && strstr (told, row->text) != NULL;
    }
  ck_assert_msg (found, "%s", told);
  ck_assert_ptr_nonnull (strstr (told, "\"change\":\""));
  scene_free (scene);
}
END_TEST

static const struct
{
  const char *work;
  bt_kind_t kind;
  gint64 mcpus;
  guint fill;
  gboolean fail;
  const char *action;
  const char *line;
} decision_cases[] = {
  { "quick", BT_KIND_BATCH, 1000, 0, FALSE, "admitted", "route quick" },
  { "quick", BT_KIND_BATCH, 1000, 0, FALSE, "started", "route quick" },
  { "quick", BT_KIND_BATCH, 1000, 0, TRUE, "retry", "route quick" },
  { "quick", BT_KIND_BATCH, 9000, 0, FALSE, "refused", "route quick" },
  { "quick", BT_KIND_BATCH, 5000, 2, FALSE, "waiting", "pool pool" },
  { "build", BT_KIND_BATCH, 5000, 0, FALSE, "refused", "route build" },
};

START_TEST (each_decision_names_its_line)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < decision_cases[_i].fill; i++)
    scene_submit (scene, "dc1-d1", "c", "quick", BT_KIND_REQUEST, 1, 6000, 50000);
  for (guint i = 0; i < scene->world->hosts->len; i++)
    ((bt_host_t *)scene->world->hosts->pdata[i])->model.fail_all = decision_cases[_i].fail;
  guint64 exchange = scene_submit (scene, "dc1-d1", "c", decision_cases[_i].work,
                                   decision_cases[_i].kind, 1, decision_cases[_i].mcpus, 500);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  const scene_answer_t *answer = scene_answer (scene, exchange);
  ck_assert_ptr_nonnull (answer);
  const char *told = scene_ask (scene, "dc1-d1", BT_QUERY_EXPLAIN, answer->job);
  g_autofree char *wanted = g_strdup_printf ("\"action\":\"%s\",\"line\":\"%s\",\"version\":1",
                                             decision_cases[_i].action, decision_cases[_i].line);
  ck_assert_msg (strstr (told, wanted) != NULL, "%s", told);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("explain");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, why_waiting_names_the_cause, 0, G_N_ELEMENTS (why_cases));
  tcase_add_loop_test (tests, each_decision_names_its_line, 0, G_N_ELEMENTS (decision_cases));
  return suite_run ("explain", tests);
}
