#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/gang_waits.h"
#include "libbamboothread/scheduler/order.h"
#include "libbamboothread/scheduler/waiting.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * What the owner says of stages that wait.
 */

/* The time at which a scene is looked at. */
#define NOW_US (100 * BT_USEC_PER_SEC)
#define VALIDITY_MS 1500

/**
 * struct scene_t - a worker with room for 4 tasks, and a queue
 * @unlisted: tasks may run on workers that haven't listed their runs
 * @log: what was logged
 */
typedef struct
{
  bts_usage_t *usage;
  bts_fleet_t fleet;
  bts_worker_t *worker;
  GPtrArray *queue;
  GPtrArray *jobs;
  gboolean unlisted;
  bts_waiting_view_t view;
  FILE *log;
} scene_t;

static FILE *
log_to_file (void)
{
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  bt_log_set_fd (fileno (file));
  bt_log_set_level (BT_LOG_INFO);
  return file;
}

/* The lines that hold both texts. */
static GPtrArray *
find_lines (FILE *file, const char *first, const char *second)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (g_free);
  char line[4096];
  rewind (file);
  while (fgets (line, sizeof line, file) != NULL)
    if (strstr (line, first) != NULL && strstr (line, second) != NULL)
      g_ptr_array_add (found, g_strdup (line));
  return found;
}

static guint
count_lines (FILE *file, const char *first, const char *second)
{
  g_autoptr (GPtrArray) found = find_lines (file, first, second);
  return found->len;
}

static gboolean
may_run_unlisted (const void *context, const bts_task_t *task)
{
  const scene_t *scene = context;
  return scene->unlisted;
}

static scene_t *
scene_new (void)
{
  scene_t *scene = g_new0 (scene_t, 1);
  scene->usage = bts_usage_new (BTS_HEADROOM_PERCENT);
  scene->queue = g_ptr_array_new ();
  scene->jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)bts_job_free);
  bts_fleet_init (&scene->fleet);
  bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
  entry->id = g_strdup ("w-0");
  entry->address = g_strdup ("10.0.0.1:1");
  entry->service = g_strdup ("main");
  entry->zone = g_strdup ("");
  entry->labels = g_new0 (char *, 1);
  entry->cpu_millis = 4000;
  entry->memory_mb = 4000;
  bts_fleet_update_entry (&scene->fleet, entry);
  scene->worker = bts_fleet_find_worker (&scene->fleet, "w-0");
  scene->worker->synced = TRUE;
  scene->worker->held = TRUE;
  scene->worker->last_reply_us = NOW_US;
  scene->view = (bts_waiting_view_t){ .now_us = NOW_US,
                                      .queue = scene->queue,
                                      .fleet = &scene->fleet,
                                      .usage = scene->usage,
                                      .may_run_unlisted = may_run_unlisted,
                                      .context = scene };
  return scene;
}

static void
scene_free (scene_t *scene)
{
  g_ptr_array_unref (scene->queue);
  g_ptr_array_unref (scene->jobs);
  bts_usage_free (scene->usage);
  bts_fleet_clear (&scene->fleet);
  g_free (scene);
}

/* Queues a stage of two tasks of one core, which has waited for @waited_ms. */
static bts_stage_t *
scene_queue (scene_t *scene, const char *service, gboolean advised, gboolean gang, gint64 waited_ms)
{
  Bts__Accepted *accepted = malloc (sizeof *accepted);
  bts__accepted__init (accepted);
  g_autofree char *id = g_strdup_printf ("%016x", scene->jobs->len + 1);
  accepted->id = strdup (id);
  accepted->policy = malloc (sizeof *accepted->policy);
  bts__policy__init (accepted->policy);
  accepted->policy->service = strdup (service);
  accepted->policy->advised = advised;
  accepted->policy->advice_validity_ms = VALIDITY_MS;
  accepted->policy->priority = 2;
  Bts__Step *step = malloc (sizeof *step);
  bts__step__init (step);
  step->label = strdup ("");
  step->rack = strdup ("");
  step->image = strdup ("");
  step->count = 2;
  step->cpu_millis = 1000;
  step->memory_mb = 1000;
  step->gang = gang;
  accepted->n_steps = 1;
  accepted->steps = calloc (1, sizeof *accepted->steps);
  accepted->steps[0] = step;
  bts_job_t *job = bts_job_new (accepted, 0, NOW_US - 2 * waited_ms * 1000);
  g_ptr_array_add (scene->jobs, job);
  bts_stage_t *stage = &bts_job_ensure_occurrence (job, 0)->stages[0];
  stage->queued = TRUE;
  stage->waiting_since_us = NOW_US - waited_ms * 1000;
  stage->band = BTS_BAND_ON_TIME;
  g_ptr_array_add (scene->queue, stage);
  return stage;
}

static void
give_advice (const scene_t *scene, bts_stage_t *stage, gint64 age_ms)
{
  bts_stage_begin_advice (stage);
  bts_stage_record_allowed (stage, scene->worker->number, "t", NOW_US - age_ms * 1000);
}

static void
paused (scene_t *scene, bts_stage_t *stage)
{
  scene->view.paused = "the owner has to read the journal first";
  stage->lacks_room = TRUE;
}

static void
quota (scene_t *scene, bts_stage_t *stage)
{
  stage->quota_since_us = NOW_US - 1;
  stage->lacks_room = TRUE;
}

/* The tables aren't known yet, so no tenant may ask. */
static void
advice_quota (scene_t *scene, bts_stage_t *stage)
{
  stage->job->account = bts_usage_nobody (scene->usage);
}

static void
leases (scene_t *scene, bts_stage_t *stage)
{
  scene->unlisted = TRUE;
}

static void
crash (scene_t *scene, bts_stage_t *stage)
{
  bts_stage_task (stage, 0)->crash_wait_us = NOW_US + 1;
  bts_stage_task (stage, 1)->crash_wait_us = NOW_US + 1;
}

/* A suspect holds back its gang, but not the other tasks of a stage. */
static void
crash_of_one (scene_t *scene, bts_stage_t *stage)
{
  bts_stage_task (stage, 1)->crash_wait_us = NOW_US + 1;
}

static void
gang_ending (scene_t *scene, bts_stage_t *stage)
{
  bts_stage_task (stage, 1)->pending_end_run = 1;
}

static void
backoff (scene_t *scene, bts_stage_t *stage)
{
  stage->backoff_until_us = NOW_US + 1;
}

static void
advice_call (scene_t *scene, bts_stage_t *stage)
{
  stage->advice_asked_us = NOW_US - 1;
}

static void
advice_never_wanted (scene_t *scene, bts_stage_t *stage)
{
}

static void
advice_wanted (scene_t *scene, bts_stage_t *stage)
{
  stage->advice_wanted_us = NOW_US - 1;
}

static void
further_advice_wanted (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, 0);
  stage->lacks_room = TRUE;
  stage->advice_wanted_us = NOW_US - 1;
}

static void
spec (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, 0);
  stage->job->accepted->spec_at = 7;
}

static void
ticket (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, VALIDITY_MS);
  stage->lacks_room = TRUE;
}

/* A ticket that is valid, or that has expired, for a worker without room. */
static void
room_with_ticket (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, 0);
  scene->worker->used.cpu_millis = 3500;
  stage->lacks_room = TRUE;
}

/* A call about further workers doesn't keep the stage from those that it may use. */
static void
room_during_a_call (scene_t *scene, bts_stage_t *stage)
{
  room_with_ticket (scene, stage);
  stage->advice_asked_us = NOW_US - 1;
}

static void
room_without_ticket (scene_t *scene, bts_stage_t *stage)
{
  room_with_ticket (scene, stage);
  g_array_index (stage->advice->allowed, bts_ticket_t, 0).received_us = 0;
}

static void
room (scene_t *scene, bts_stage_t *stage)
{
  scene->worker->used.cpu_millis = 3500;
  stage->lacks_room = TRUE;
}

/* Room for one task of the gang, whose tickets have expired: a new ticket wouldn't start it. */
static void
room_for_gang (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, VALIDITY_MS);
  scene->worker->used.cpu_millis = 2500;
  stage->lacks_room = TRUE;
}

static void
turn (scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, 0);
}

static const struct
{
  const char *name;
  void (*prepare) (scene_t *scene, bts_stage_t *stage);
  gboolean advised;
  gboolean gang;
} cases[] = {
  { "paused", paused, TRUE },
  { "quota", quota, TRUE },
  { "advice-quota", advice_quota, TRUE },
  { "turn", advice_quota, FALSE },
  { "leases", leases, TRUE },
  { "leases", leases, TRUE, TRUE },
  { "crash", crash, TRUE },
  { "crash", crash_of_one, TRUE, TRUE },
  { "advice-queued", crash_of_one, TRUE },
  { "gang", gang_ending, TRUE, TRUE },
  { "advice-queued", gang_ending, TRUE },
  { "backoff", backoff, TRUE },
  { "advice-call", advice_call, TRUE },
  { "advice-queued", advice_never_wanted, TRUE },
  { "advice-queued", advice_wanted, TRUE },
  { "advice-queued", further_advice_wanted, TRUE },
  { "spec", spec, TRUE },
  { "spec", spec, FALSE },
  { "ticket", ticket, TRUE },
  { "ticket", ticket, TRUE, TRUE },
  { "room", room_with_ticket, TRUE },
  { "room", room_during_a_call, TRUE },
  { "room", room_without_ticket, TRUE },
  { "room", room_for_gang, TRUE, TRUE },
  { "ticket", room_for_gang, TRUE },
  { "room", room, FALSE },
  { "turn", turn, TRUE },
  { "turn", advice_never_wanted, FALSE },
};

/* Guards against accepted work that isn't started for half a minute without a line that says for
   what it waits, as on the day of lost-waiting-for-advice.md. */
START_TEST (cause_is_named)
{
  scene_t *scene = scene_new ();
  FILE *log = log_to_file ();
  bts_stage_t *stage = scene_queue (scene, "main", cases[_i].advised, cases[_i].gang, 4000);
  cases[_i].prepare (scene, stage);
  bts_waiting_t waiting = { 0 };
  bts_waiting_report (&waiting, &scene->view);
  const char *found = bts_waiting_cause_name (bts_waiting_find_cause (stage, &scene->view));
  ck_assert_str_eq (found, cases[_i].name);
  g_autofree char *line = g_strdup_printf (
      "job=0000000000000001 occurrence=0 step=0 cause=%s waited_ms=4000 age_ms=8000 ",
      cases[_i].name);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", line), 1);
  g_autofree char *counts = g_strdup_printf (
      "stages=1 longest_ms=4000 causes=%s:1 services=main:1 other_services=0", cases[_i].name);
  ck_assert_uint_eq (count_lines (log, "event=waits ", counts), 1);
  bts_waiting_update_gauges (&waiting);
  g_autofree char *text = bt_metrics_to_text ();
  g_autofree char *gauge
      = g_strdup_printf ("bamboothread_long_waiting_stages{cause=\"%s\"} 1\n", cases[_i].name);
  ck_assert_ptr_nonnull (strstr (text, gauge));
  ck_assert_ptr_nonnull (strstr (text, "bamboothread_longest_wait_ms 4000\n"));
  bts_waiting_update_gauges (NULL);
  g_autofree char *none = bt_metrics_to_text ();
  ck_assert_ptr_null (strstr (none, gauge));
  ck_assert_ptr_nonnull (strstr (none, "bamboothread_longest_wait_ms 0\n"));
  scene_free (scene);
}
END_TEST

/* Guards against a full queue of thousands of stages that floods the log, and against a cause or a
   crowd of obsolete work that hides the other waits. */
START_TEST (lines_are_bounded)
{
  static const char *const services[] = { "a", "b", "c", "d", "e", "f" };
  scene_t *scene = scene_new ();
  FILE *log = log_to_file ();
  for (guint i = 0; i < 3000; i++)
    {
      bts_stage_t *stage = scene_queue (scene, services[i % 6], FALSE, FALSE, 5000 + i);
      stage->lacks_room = TRUE;
      stage->band = i >= 1000 ? BTS_BAND_OBSOLETE : BTS_BAND_LATE;
    }
  for (guint i = 0; i < 7; i++)
    {
      backoff (scene, scene_queue (scene, "main", FALSE, FALSE, 3500));
      advice_call (scene, scene_queue (scene, "main", TRUE, FALSE, 3400));
      scene_queue (scene, "main", TRUE, FALSE, 2999);
    }
  bts_waiting_t waiting = { 0 };
  bts_waiting_report (&waiting, &scene->view);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", ""), BTS_WAITING_LINES_MAX);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", "cause=room "), 3);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", "cause=backoff "), 3);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", "cause=advice-call "), 2);
  for (gint64 i = 0; i < 3; i++)
    {
      g_autofree char *waited = g_strdup_printf (" waited_ms=%d ", (int)(5999 - i));
      ck_assert_uint_eq (count_lines (log, "event=waiting ", waited), 1);
    }
  ck_assert_uint_eq (count_lines (log, "event=waits ", ""), 1);
  ck_assert_uint_eq (count_lines (log, "event=waits ",
                                  "stages=3014 longest_ms=7999 "
                                  "causes=backoff:7,advice-call:7,room:3000 services="),
                     1);
  ck_assert_uint_eq (count_lines (log, "event=waits ", " other_services=1014\n"), 1);
  scene_free (scene);
}
END_TEST

/* Guards against a report of stages that have just begun to wait, have nothing to start, or whose
   job has ended. */
START_TEST (nothing_to_report)
{
  scene_t *scene = scene_new ();
  FILE *log = log_to_file ();
  scene_queue (scene, "main", TRUE, FALSE, 2999);
  bts_stage_t *ending = scene_queue (scene, "main", TRUE, FALSE, 9000);
  bts_stage_task (ending, 0)->pending_end_run = 1;
  bts_stage_task (ending, 1)->done = TRUE;
  scene_queue (scene, "main", TRUE, FALSE, 9000)->job->cancelled = TRUE;
  bts_waiting_t waiting = { 0 };
  bts_waiting_report (&waiting, &scene->view);
  ck_assert_uint_eq (count_lines (log, "event=", ""), 0);
  ck_assert_int_eq (waiting.longest_us, 2999 * 1000);
  scene_free (scene);
}
END_TEST

static const sim_policy_t batch = { "main", 2, 3, 30000 };
static const sim_step_t whole_workers[]
    = { { .count = 4, .cpu = 32000, .memory = 1000, .ms = 20000 } };
static const sim_step_t small[] = { { .count = 2, .cpu = 1000, .memory = 1000, .ms = 500 } };
static const sim_step_t long_small[] = { { .count = 2, .cpu = 1000, .memory = 1000, .ms = 20000 } };
static const sim_step_t in_turns[] = { { .count = 20, .cpu = 32000, .memory = 1000, .ms = 1000 } };

/* All workers are full. */
static sim_job_t *
cluster_room (sim_t *sim)
{
  sim_submit (sim, 0, &batch, whole_workers, G_N_ELEMENTS (whole_workers));
  sim_run_ms (sim, 1000);
  sim_job_t *job = sim_submit (sim, 0, &batch, small, G_N_ELEMENTS (small));
  sim_run_ms (sim, 6000);
  return job;
}

/* The tenant's cap is used up. */
static sim_job_t *
cluster_quota (sim_t *sim)
{
  const bts_resources_t cap = { 2000, 0, 0 };
  sim_set_tenant (sim, "a", &cap, 100);
  sim->tenant = "a";
  sim_run_ms (sim, 1000);
  for (guint i = 0; i < 3; i++)
    sim_submit (sim, 0, &batch, long_small, G_N_ELEMENTS (long_small));
  sim_run_ms (sim, 1000);
  sim_job_t *job = sim_submit (sim, 0, &batch, small, G_N_ELEMENTS (small));
  sim_run_ms (sim, 6000);
  return job;
}

/* More requests than the advice service can answer. */
static sim_job_t *
cluster_advice (sim_t *sim)
{
  sim->advised = TRUE;
  sim->advice_worker_us = 400 * 1000;
  for (guint i = 0; i < 30; i++)
    sim_submit (sim, 0, &batch, small, G_N_ELEMENTS (small));
  sim_run_ms (sim, 6000);
  return NULL;
}

/* A new owner can't reach the workers on which the last one has started the tasks. */
static sim_job_t *
cluster_leases (sim_t *sim)
{
  sim_job_t *job = sim_submit (sim, 0, &batch, long_small, G_N_ELEMENTS (long_small));
  sim_run_ms (sim, 1000);
  for (guint i = 0; i < sim->workers->len; i++)
    sim_worker (sim, i)->dark = TRUE;
  sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 8000);
  return job;
}

static const struct
{
  const char *cause;
  sim_job_t *(*play) (sim_t *sim);
} clusters[] = {
  { "room", cluster_room },
  { "quota", cluster_quota },
  { "advice-queued", cluster_advice },
  { "leases", cluster_leases },
};

/* Guards against an owner that doesn't write the report, or writes it at each tick. */
START_TEST (owner_names_the_cause)
{
  sim_t *sim = sim_new (3, 4, 1);
  FILE *log = log_to_file ();
  sim_run_ms (sim, 4000);
  ck_assert_int_ge (sim_owner (sim), 0);
  sim_job_t *job = clusters[_i].play (sim);
  g_autofree char *about
      = g_strdup_printf ("%s%s", job == NULL ? "" : "job=", job == NULL ? "" : job->id);
  g_autofree char *cause = g_strdup_printf (" cause=%s ", clusters[_i].cause);
  g_autoptr (GPtrArray) lines = find_lines (log, "event=waiting ", about);
  guint n_named = 0;
  for (guint i = 0; i < lines->len; i++)
    n_named += strstr (lines->pdata[i], cause) != NULL;
  ck_assert_msg (n_named > 0, "%u lines about it, none with%s", lines->len, cause);
  guint n_reports = count_lines (log, "event=waits ", "");
  ck_assert_uint_ge (n_reports, 1);
  ck_assert_uint_le (n_reports, 6);
  ck_assert_uint_le (count_lines (log, "event=waiting ", ""), n_reports * BTS_WAITING_LINES_MAX);
  sim_free (sim);
}
END_TEST

/* Guards against a stage that is reported as waiting although its tasks start one after the other.
 */
START_TEST (start_ends_the_wait)
{
  sim_t *sim = sim_new (3, 4, 1);
  FILE *log = log_to_file ();
  sim_run_ms (sim, 4000);
  sim_job_t *job = sim_submit (sim, 0, &batch, in_turns, G_N_ELEMENTS (in_turns));
  sim_run_ms (sim, 12000);
  ck_assert (sim_state (sim, job) == BTS_JOB_COMPLETED);
  ck_assert_uint_gt (count_lines (log, "event=start ", job->id), 0);
  ck_assert_uint_eq (count_lines (log, "event=waiting ", ""), 0);
  sim_free (sim);
}
END_TEST

static void
deny (const scene_t *scene, bts_stage_t *stage)
{
  bts_stage_begin_advice (stage);
  bts_stage_record_denied (stage, scene->worker->number);
}

static void
allow (const scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, 0);
}

static void
allow_long_ago (const scene_t *scene, bts_stage_t *stage)
{
  give_advice (scene, stage, VALIDITY_MS + 1);
}

static const struct
{
  const char *lack;
  void (*advise) (const scene_t *scene, bts_stage_t *stage);
  bts_gang_room_t room;
} gang_cases[] = {
  { "advice=1 tickets=0 answers=0 room=0 startable=0", NULL, { .n_unasked = 2 } },
  { "advice=0 tickets=0 answers=0 room=1 startable=0", deny, { .n_asked = 1 } },
  { "advice=0 tickets=1 answers=0 room=0 startable=0", allow_long_ago, { 1, 1, 0, 2, 0, 0 } },
  { "advice=0 tickets=0 answers=0 room=0 startable=1", allow, { 1, 1, 1, 2, 2, 0 } },
};

/* Guards against lines that don't tell a gang without advice, tickets or room from the others. */
START_TEST (gang_that_waits_says_what_it_lacks)
{
  scene_t *scene = scene_new ();
  bts_stage_t *stage = scene_queue (scene, "main", TRUE, TRUE, 4000);
  if (gang_cases[_i].advise != NULL)
    gang_cases[_i].advise (scene, stage);
  bts_gang_room_t room = bts_gang_room (stage, &scene->fleet, NOW_US);
  ck_assert_mem_eq (&room, &gang_cases[_i].room, sizeof room);
  FILE *log = log_to_file ();
  bts_gang_waits_report (scene->queue, &scene->fleet, NOW_US);
  bt_log_flush ();
  bt_log_set_fd (STDOUT_FILENO);
  ck_assert_uint_eq (count_lines (log, "event=gang-waits ", "waited_ms=4000 "), 1);
  ck_assert_uint_eq (count_lines (log, "event=gangs-wait ", gang_cases[_i].lack), 1);
  fclose (log);
  scene_free (scene);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("waiting");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, cause_is_named, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, lines_are_bounded);
  tcase_add_test (tests, nothing_to_report);
  tcase_add_loop_test (tests, owner_names_the_cause, 0, G_N_ELEMENTS (clusters));
  tcase_add_test (tests, start_ends_the_wait);
  tcase_add_loop_test (tests, gang_that_waits_says_what_it_lacks, 0, G_N_ELEMENTS (gang_cases));
  return suite_run ("waiting", tests);
}
