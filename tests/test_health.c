#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "tests/scene.h"
#include "tests/suite.h"

/* Workers that fail, told apart from work that fails. Work whose name begins with "fail" fails. */

#define ROUTE(work, idempotent)                                                                    \
  "{\"name\":\"" work "\",\"callers\":[\"*\"],\"work\":\"" work                                    \
  "\",\"team\":\"t\",\"class\":\"batch\",\"pool\":\"pool\",\"idempotent\":" idempotent             \
  ",\"retries\":3,\"packing\":1,\"waiting\":9,\"deadline_ms\":60000}"

#define ROUTES "[" ROUTE ("ask", "true") "," ROUTE ("bill", "false") "," ROUTE ("fail", "true") "]"

static const scene_config_t base
    = { .data_centres = 1, .vms = 8, .cpus = 16, .daemons = 1, .routes = ROUTES };

static bt_worker_t *
worker (scene_t *scene, const char *name)
{
  return bt_owner_find_worker (bt_world_node (scene->world, "dc1-d1")->core, name);
}

static guint
in_state (scene_t *scene, bt_health_state_t state)
{
  guint n = 0;
  GHashTableIter iter;
  const bt_worker_t *at;
  g_hash_table_iter_init (&iter, bt_world_node (scene->world, "dc1-d1")->core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&at))
    n += at->health.state == state ? 1 : 0;
  return n;
}

static guint
count_status (scene_t *scene, bt_status_t status)
{
  guint n = 0;
  GHashTableIter iter;
  const scene_answer_t *answer;
  g_hash_table_iter_init (&iter, scene->answers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&answer))
    n += answer->status == status ? 1 : 0;
  return n;
}

/* Sends requests of some works in turn, 20 a second. */
static void
send_work (scene_t *scene, const char *const works[2], guint seconds)
{
  for (guint i = 0; i < 20 * seconds; i++)
    {
      const char *work = works[1] != NULL ? works[i % 2] : works[0];
      scene_submit (scene, "dc1-d1", "c", work, BT_KIND_REQUEST, 1, 2000, 200);
      bt_world_run (scene->world, 50 * BT_USEC_PER_MSEC);
    }
}

/* The first @faulty VMs fail everything; requests come for ten seconds. */
static const struct
{
  const char *name;
  const char *works[2];
  guint faulty;
  guint resting;
  guint done;
} cases[] = {
  { "all is well", { "ask" }, 0, 0, 200 },
  { "one VM fails everything", { "ask" }, 1, 1, 200 },
  { "two VMs do", { "ask" }, 2, 2, 200 },
  { "never more than a quarter of them rests", { "ask" }, 4, 2, 200 },
  { "all work fails everywhere", { "fail" }, 0, 0, 0 },
  { "all VMs fail everything", { "ask" }, 8, 0, 0 },
  { "half of the work fails everywhere", { "ask", "fail" }, 0, 0, 100 },
  { "one VM fails, and half of the work", { "ask", "fail" }, 1, 1, 100 },
};

START_TEST (faulty_vms_are_told_from_faulty_work)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < cases[_i].faulty; i++)
    ((bt_host_t *)scene->world->hosts->pdata[i])->model.fail_all = TRUE;
  send_work (scene, cases[_i].works, 10);
  guint resting = in_state (scene, BT_HEALTH_QUARANTINED) + in_state (scene, BT_HEALTH_PROBED);
  bt_world_run (scene->world, 60 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (resting, cases[_i].resting);
  ck_assert_uint_eq (count_status (scene, BT_STATUS_DONE), cases[_i].done);
  /* A job whose deadline passes between two tries may have run for all that its caller is told. */
  ck_assert_uint_eq (count_status (scene, BT_STATUS_DONE) + count_status (scene, BT_STATUS_FAILED)
                         + count_status (scene, BT_STATUS_UNKNOWN),
                     200);
  scene_free (scene);
}
END_TEST

START_TEST (a_faulty_vm_gets_little_work)
{
  scene_t *scene = scene_new (&base);
  bt_host_t *host = bt_world_host (scene->world, "vm1-1");
  host->model.fail_all = TRUE;
  static const char *const works[2] = { "ask" };
  send_work (scene, works, 60);
  bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
  ck_assert_uint_le (host->model.starts, 16);
  ck_assert_uint_eq (count_status (scene, BT_STATUS_DONE), 1200);
  ck_assert_uint_ge (worker (scene, "vm1-1")->health.quarantines, 2);
  scene_free (scene);
}
END_TEST

/* A VM that was mended is tried with work that may run again, and trusted after that. */
static const struct
{
  const char *work;
  bt_health_state_t state;
} probe_cases[] = {
  { "ask", BT_HEALTH_GOOD },
  { "bill", BT_HEALTH_PROBED },
};

START_TEST (a_mended_vm_is_probed_with_idempotent_work)
{
  scene_t *scene = scene_new (&base);
  bt_host_t *host = bt_world_host (scene->world, "vm1-1");
  static const char *const first[2] = { "ask" };
  host->model.fail_all = TRUE;
  send_work (scene, first, 5);
  ck_assert_int_eq (worker (scene, "vm1-1")->health.state, BT_HEALTH_QUARANTINED);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
  host->model.fail_all = FALSE;
  guint64 before = host->model.starts;
  const char *const then[2] = { probe_cases[_i].work };
  send_work (scene, then, 20);
  ck_assert_int_eq (worker (scene, "vm1-1")->health.state, probe_cases[_i].state);
  gboolean took = host->model.starts > before;
  ck_assert_int_eq (took, probe_cases[_i].state == BT_HEALTH_GOOD);
  scene_free (scene);
}
END_TEST

START_TEST (probes_run_one_at_a_time)
{
  scene_t *scene = scene_new (&base);
  bt_worker_t *at = worker (scene, "vm1-1");
  at->health.state = BT_HEALTH_PROBED;
  at->health.routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, NULL);
  for (guint i = 0; i < 30; i++)
    scene_submit (scene, "dc1-d1", "c", "ask", BT_KIND_REQUEST, 1, 2000, 5000);
  bt_world_run (scene->world, 1 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (scene_running (scene, "ask"), 30);
  ck_assert_uint_eq (bt_world_host (scene->world, "vm1-1")->model.starts, 1);
  scene_free (scene);
}
END_TEST

START_TEST (a_failed_task_is_tried_on_another_vm)
{
  scene_config_t config = base;
  config.vms = 4;
  config.seed = (guint32)_i + 1;
  scene_t *scene = scene_new (&config);
  scene_submit (scene, "dc1-d1", "c", "fail", BT_KIND_REQUEST, 1, 2000, 100);
  bt_world_run (scene->world, 10 * BT_USEC_PER_SEC);
  ck_assert_uint_eq (count_status (scene, BT_STATUS_FAILED), 1);
  for (guint i = 0; i < 4; i++)
    ck_assert_uint_eq (((bt_host_t *)scene->world->hosts->pdata[i])->model.starts, 1);
  scene_free (scene);
}
END_TEST

/* Longer than a lease lasts after its renewal, shorter than what makes a daemon give its VMs up. */
#define PAUSE_US (1950 * BT_USEC_PER_MSEC)

/* What happens to a VM, four times within a minute. */
typedef enum
{
  RESTARTED,
  UNREACHABLE,
  DAEMON_PAUSED,
  DAEMON_PAUSED_LONG,
} upset_t;

static const struct
{
  upset_t upset;
  guint times;
  guint rests;
} flap_cases[] = {
  { RESTARTED, 4, 1 },   { UNREACHABLE, 4, 1 },   { RESTARTED, 1, 0 },
  { UNREACHABLE, 1, 0 }, { DAEMON_PAUSED, 4, 0 }, { DAEMON_PAUSED_LONG, 4, 0 },
};

static void
upset (scene_t *scene, upset_t how)
{
  bt_host_t *host = bt_world_host (scene->world, "vm1-1");
  if (how == RESTARTED)
    bt_world_host_kill (scene->world, host);
  else if (how == UNREACHABLE)
    host->cut = TRUE;
  else
    bt_world_pause (scene->world, bt_world_node (scene->world, "dc1-d1"), TRUE);
  bt_world_run (scene->world, how == DAEMON_PAUSED ? PAUSE_US : 4 * BT_USEC_PER_SEC);
  bt_world_heal (scene->world);
  bt_world_run (scene->world, 3 * BT_USEC_PER_SEC);
}

START_TEST (a_vm_that_comes_and_goes_rests)
{
  scene_t *scene = scene_new (&base);
  for (guint i = 0; i < flap_cases[_i].times; i++)
    upset (scene, flap_cases[_i].upset);
  ck_assert_uint_eq (in_state (scene, BT_HEALTH_QUARANTINED) + in_state (scene, BT_HEALTH_PROBED),
                     flap_cases[_i].rests);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("health");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, faulty_vms_are_told_from_faulty_work, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, a_faulty_vm_gets_little_work);
  tcase_add_loop_test (tests, a_mended_vm_is_probed_with_idempotent_work, 0,
                       G_N_ELEMENTS (probe_cases));
  tcase_add_test (tests, probes_run_one_at_a_time);
  tcase_add_loop_test (tests, a_failed_task_is_tried_on_another_vm, 0, 3);
  tcase_add_loop_test (tests, a_vm_that_comes_and_goes_rests, 0, G_N_ELEMENTS (flap_cases));
  return suite_run ("health", tests);
}
