#include <string.h>

#include "libbamboothread/scheduler/advice_calls.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Steps that wait for advice although workers that they may use are free.
 */

#define N_WORKERS 60
/* Part of the pool that the advice service allows for a step. */
#define ALLOWED_PERCENT 20
/* Time of a call for each worker that it names. */
#define CALL_WORKER_US 1000
/* Longest time that the wide step may wait for its last start. */
#define WAIT_MS 8000
/* The same for a step whose result is assumed to be of no use any more: that of the rule for the
   end of a day. */
#define OBSOLETE_WAIT_MS 14000

static const sim_policy_t lookup = { "main", 0, 3, 300 };
static const sim_policy_t batch = { "main", 2, 3, 3000 };
static const sim_policy_t service = { "main", 1, 3, 3000 };

static const sim_step_t urgent[] = { { .count = 1, .cpu = 1000, .memory = 1000, .ms = 300 } };
static const sim_step_t small[]
    = { { .count = 4, .cpu = 1000, .memory = 1000, .ms = 400 },
        { .count = 4, .cpu = 1000, .memory = 1000, .ms = 400, .after = 1 } };
/* Two of its tasks fit on a worker. */
static const sim_step_t wide[] = { { .count = 26, .cpu = 14000, .memory = 20000, .ms = 1500 } };

static sim_t *
sim_with_advice (guint n_nodes)
{
  sim_t *sim = sim_new (n_nodes, N_WORKERS, 1);
  sim->advised = TRUE;
  sim->advice_percent = ALLOWED_PERCENT;
  sim->advice_worker_us = CALL_WORKER_US;
  sim_run_ms (sim, 9000);
  ck_assert_int_ge (sim_owner (sim), 0);
  return sim;
}

static guint
live_node (sim_t *sim, guint first)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      guint node = (first + i) % sim->nodes->len;
      if (sim_node (sim, node)->node != NULL)
        return node;
    }
  return 0;
}

static guint
count_done (const sim_t *sim, const sim_job_t *job)
{
  guint n_done = 0;
  for (guint i = 0; i < job->accepted->steps[0]->count; i++)
    {
      g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, i);
      n_done += g_hash_table_contains (sim->done, name);
    }
  return n_done;
}

/**
 * struct load_t - jobs that are submitted at even intervals
 * @urgent_rate: urgent jobs of one task a second
 * @small_rate: jobs of two small steps a second
 * @watched: job whose step is to end, or NULL
 * @waited_ms: time since @watched was submitted; counted until its step has ended
 */
typedef struct
{
  sim_t *sim;
  guint urgent_rate;
  guint small_rate;
  sim_job_t *watched;
  guint waited_ms;
} load_t;

static gboolean
is_watched_done (const load_t *load)
{
  return count_done (load->sim, load->watched) == load->watched->accepted->steps[0]->count;
}

static void
play (load_t *load, guint ms)
{
  sim_t *sim = load->sim;
  for (guint i = 0; i < ms / 10; i++)
    {
      if (load->urgent_rate > 0 && i % (100 / load->urgent_rate) == 0)
        sim_submit (sim, live_node (sim, i), &lookup, urgent, G_N_ELEMENTS (urgent));
      if (load->small_rate > 0 && i % (100 / load->small_rate) == 0)
        sim_submit (sim, live_node (sim, i + 1), &batch, small, G_N_ELEMENTS (small));
      sim_run_ms (sim, 10);
      if (load->watched != NULL && !is_watched_done (load))
        load->waited_ms += 10;
    }
}

static void
submit_wide (load_t *load)
{
  load->watched
      = sim_submit (load->sim, live_node (load->sim, 0), &service, wide, G_N_ELEMENTS (wide));
}

static void
expect_done_in_time (load_t *load)
{
  while (!is_watched_done (load) && load->waited_ms < 60000)
    play (load, 1000);
  ck_assert_msg (load->waited_ms < WAIT_MS, "the step has taken %u ms", load->waited_ms);
}

/* Guards against a new owner that asks nobody but itself: it has started a moment ago, and takes
   the other processes for dead until each of them says that it is there, every 4 s or, with a slow
   log
   (_i = 1), 8 s. Steps late in the queue get no advice for so long, with each such owner anew. */
START_TEST (wide_step_after_two_changes_of_the_owner)
{
  sim_t *sim = sim_with_advice (12);
  load_t load = { sim, 20, 25 };
  sim->append_us = _i == 0 ? 2000 : 120000;
  play (&load, 9000);
  submit_wide (&load);
  while (load.watched->accepted_us == 0 && load.waited_ms < 3000)
    play (&load, 10);
  ck_assert_int_ne (load.watched->accepted_us, 0);
  for (guint i = 0; i < 2; i++)
    {
      guint owner = (guint)sim_owner (sim);
      sim_kill (sim, owner);
      play (&load, 200);
      sim_start (sim, owner);
      play (&load, 4000);
    }
  expect_done_in_time (&load);
  sim_free (sim);
}
END_TEST

/* Guards against a late step that gets no advice for as long as there is enough urgent work to keep
   the advice service busy. */
START_TEST (wide_step_beside_urgent_work)
{
  sim_t *sim = sim_with_advice (4);
  load_t load = { sim, 50, 0 };
  play (&load, 2000);
  submit_wide (&load);
  expect_done_in_time (&load);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a process that is given up although it is about to answer: the reply that is
   missing is that of another one which was asked before it. */
START_TEST (missing_reply_of_an_earlier_request)
{
  sim_t *sim = sim_with_advice (4);
  /* A call takes 3 s, and a message without a reply is given up after 3.5 s. */
  sim->advice_worker_us = 100 * 1000;
  guint owner = (guint)sim_owner (sim);
  sim_freeze (sim, owner % 2 == 0 ? (owner + 2) % 4 : 0);
  sim_submit (sim, owner, &service, urgent, G_N_ELEMENTS (urgent));
  sim_run_ms (sim, 6000);
  ck_assert_uint_eq (sim->advice_calls, 1);
  sim_free (sim);
}
END_TEST

/* Takes all of a worker, and of the room of its GPUs. */
static const sim_step_t whole[] = { { .count = 1, .cpu = 32000, .memory = 60000, .ms = 60000 } };
static const sim_step_t wide_whole[]
    = { { .count = 4, .cpu = 32000, .memory = 60000, .ms = 1500 } };
static const sim_step_t gang[]
    = { { .count = 3, .cpu = 20000, .memory = 20000, .gpus = 4, .ms = 1500, .gang = TRUE } };
/* Time of a call for each worker that it names, with which a typical call takes 0.9 s. */
#define LONG_CALL_WORKER_US (30 * 1000)

static void
run_until_calls (sim_t *sim, guint n)
{
  for (guint i = 0; i < 500 && sim->advice_calls < n; i++)
    sim_run_ms (sim, 10);
  ck_assert_uint_eq (sim->advice_calls, n);
}

/* Guards against calls that take long being made by half of the processes, the owner among them,
   although nobody needs the others for short calls: jobs wait for advice beside free workers. */
START_TEST (long_calls_while_nobody_needs_short_ones)
{
  sim_t *sim = sim_with_advice (6);
  sim->advice_worker_us = LONG_CALL_WORKER_US;
  GPtrArray *jobs = g_ptr_array_new ();
  /* Five processes make a call each at a time: four rounds, and one more for steps that no worker
     of the first call may run. */
  for (guint i = 0; i < 20; i++)
    g_ptr_array_add (jobs, sim_submit (sim, i % 6, &batch, urgent, G_N_ELEMENTS (urgent)));
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < jobs->len; i++)
    ck_assert_int_eq (sim_state (sim, jobs->pdata[i]), BTS_JOB_COMPLETED);
  g_ptr_array_unref (jobs);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a service whose workers are full, with many stages that ask for advice, taking all
   calls: a gang of another service waits beside free workers. */
START_TEST (gang_beside_a_service_that_is_full)
{
  /* Obsolete half a second after it was accepted, so that it comes last in the queue. */
  const sim_policy_t other = { "other", 1, 3, 1, .stretch = 0.1 };
  sim_t *sim = sim_with_advice (6);
  sim->advice_worker_us = LONG_CALL_WORKER_US;
  for (guint i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("other-%u", i);
      bts_resources_t room = { 32000, 65536, 8 };
      sim_add_worker (sim, id, "other", room);
    }
  sim_run_ms (sim, 2000);
  load_t load = { sim, 0, 0 };
  for (guint i = 0; i < 150; i++)
    sim_submit (sim, i % 6, &batch, whole, G_N_ELEMENTS (whole));
  play (&load, 1000);
  load.watched = sim_submit (sim, 0, &other, gang, G_N_ELEMENTS (gang));
  expect_done_in_time (&load);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a step that never gets advice once its result is assumed to be of no use any more,
   for as long as newer work keeps the advice service busy. */
START_TEST (obsolete_step_beside_newer_work)
{
  /* Obsolete half a second after it was accepted. */
  const sim_policy_t hasty = { "main", 2, 3, 1, .stretch = 0.1 };
  sim_t *sim = sim_with_advice (4);
  load_t load = { sim, 50, 50 };
  play (&load, 4000);
  load.watched = sim_submit (sim, live_node (sim, 0), &hasty, wide, G_N_ELEMENTS (wide));
  while (!is_watched_done (&load) && load.waited_ms < 60000)
    play (&load, 1000);
  ck_assert_msg (load.waited_ms < OBSOLETE_WAIT_MS, "the step has taken %u ms", load.waited_ms);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a step that isn't started on workers for which it holds valid tickets, as long as
   a call about further workers is in flight. */
START_TEST (room_that_appears_during_a_call)
{
  sim_t *sim = sim_with_advice (4);
  sim->advised = FALSE;
  GPtrArray *fillers = g_ptr_array_new ();
  for (guint i = 0; i < N_WORKERS; i++)
    g_ptr_array_add (fillers, sim_submit (sim, 0, &batch, whole, G_N_ELEMENTS (whole)));
  sim_run_ms (sim, 3000);
  ck_assert_uint_eq (sim->starts, N_WORKERS);
  sim->advised = TRUE;
  sim->advice_worker_us = LONG_CALL_WORKER_US;
  sim_job_t *job = sim_submit (sim, 0, &service, wide_whole, G_N_ELEMENTS (wide_whole));
  run_until_calls (sim, 2);
  g_autofree char *step = g_strdup_printf ("%s.0", job->id);
  for (guint i = 0; i < N_WORKERS; i++)
    {
      const sim_worker_t *worker = sim_worker (sim, i);
      const sim_run_t *run = worker->runs->pdata[0];
      g_autofree char *id = g_strndup (run->name, BTS_JOB_ID_LEN);
      for (guint j = 0; j < fillers->len && sim_is_allowed (sim, step, worker->id); j++)
        if (strcmp (((sim_job_t *)fillers->pdata[j])->id, id) == 0)
          sim_cancel (sim, 0, fillers->pdata[j]);
    }
  sim_run_ms (sim, 500);
  ck_assert_uint_eq (sim->advice_calls, 2);
  ck_assert_uint_gt (sim_running (sim, job->id), 0);
  g_ptr_array_unref (fillers);
  sim_free (sim);
}
END_TEST

static const bts_stage_t *
find_waiting (sim_t *sim, const sim_job_t *job)
{
  bts_sched_view_t view;
  gint owner = sim_owner (sim);
  if (owner < 0 || !bts_sched_view (bts_node_sched (sim_node (sim, (guint)owner)->node), &view))
    return NULL;
  for (guint i = 0; i < view.queue->len; i++)
    {
      const bts_stage_t *stage = view.queue->pdata[i];
      if (strcmp (bts_job_id (stage->job), job->id) == 0)
        return stage;
    }
  return NULL;
}

/* How often the owner changes, and for how long each of them leads. */
static const struct
{
  guint n_owners;
  guint lead_ms;
} successions[] = { { 1, 400 }, { 3, 700 }, { 6, 250 } };

/* Guards against answers of the advice service that are lost with the owner that has asked: a gang
   waits for a second with each owner, and for ever while owners follow each other faster
   (review/15, SHORT on ravi-hq-large). A call takes 0.9 s. */
START_TEST (advice_outlives_the_owner)
{
  sim_t *sim = sim_with_advice (8);
  sim->advised = FALSE;
  for (guint i = 0; i < N_WORKERS; i++)
    sim_submit (sim, 0, &batch, whole, G_N_ELEMENTS (whole));
  sim_run_ms (sim, 3000);
  sim->advised = TRUE;
  sim->advice_worker_us = LONG_CALL_WORKER_US;
  const sim_job_t *job = sim_submit (sim, 0, &service, gang, G_N_ELEMENTS (gang));
  run_until_calls (sim, 1);
  sim_run_ms (sim, 2000);
  ck_assert_ptr_nonnull (find_waiting (sim, job)->advice);
  for (guint i = 0; i < successions[_i].n_owners; i++)
    {
      gint earlier = sim_owner (sim);
      sim_kill (sim, (guint)earlier);
      for (guint at = 0; at < 400 && sim_owner (sim) < 0; at++)
        sim_run_ms (sim, 10);
      sim_run_ms (sim, successions[_i].lead_ms);
      ck_assert_ptr_nonnull (find_waiting (sim, job));
      ck_assert_ptr_nonnull (find_waiting (sim, job)->advice);
      sim_start (sim, (guint)earlier);
    }
  sim_free (sim);
}
END_TEST

/* Guards against a process that is taken for dead although it answers all that it is asked: each of
   its calls takes a little longer than expected, and that added up for as long as the next request
   was there before the answer. Its calls were made again elsewhere. */
START_TEST (calls_that_take_longer_than_expected)
{
  sim_t *sim = sim_with_advice (4);
  /* Three in four, so that one call for each step suffices. */
  sim->advice_percent = 0;
  sim->advice_worker_us = 10 * 1000;
  sim->advice_extra_us = 30 * 1000;
  sim_job_t *jobs[60];
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++)
    jobs[i] = sim_submit (sim, live_node (sim, i), &service, urgent, G_N_ELEMENTS (urgent));
  sim_run_ms (sim, 40000);
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++)
    ck_assert_uint_eq (count_done (sim, jobs[i]), 1);
  ck_assert_uint_eq (sim->advice_calls, G_N_ELEMENTS (jobs));
  sim_free (sim);
}
END_TEST

#define MS 1000

static Bts__Ask
ask_about (guint step)
{
  Bts__Ask ask = BTS__ASK__INIT;
  ask.job = (char *)"0000000000000001";
  ask.step = step;
  return ask;
}

/* The first of three calls of 100 ms, asked for at 1,000, 1,050 and 1,300 ms, is over. */
static const struct
{
  gint64 over_ms;
  gboolean answered;
  gint64 second_due_ms;
  gint64 third_due_ms;
} due_cases[] = {
  { 1100, TRUE, 1200, 1400 },
  { 1180, TRUE, 1280, 1400 },
  { 1320, TRUE, 1420, 1520 },
  /* A process that says nothing gets no more time. */
  { 1320, FALSE, 1200, 1400 },
  /* One that couldn't be reached hasn't spent any on the call. */
  { 1060, FALSE, 1160, 1400 },
};

/* Guards against a time at which a process is expected to be free that is kept beside its calls,
   and drifts away from them. */
START_TEST (calls_are_due_by_what_was_answered)
{
  bts_advice_calls_t calls;
  bts_advice_calls_init (&calls);
  const Bts__Ask asks[] = { ask_about (0), ask_about (1), ask_about (2) };
  bts_advice_calls_add (&calls, &asks[0], 100 * MS, 1000 * MS);
  bts_advice_calls_add (&calls, &asks[1], 100 * MS, 1050 * MS);
  bts_advice_calls_add (&calls, &asks[2], 100 * MS, 1300 * MS);
  ck_assert_uint_eq (bts_advice_calls_count (&calls), 3);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[0].job, 0, 0), 1100 * MS);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[1].job, 0, 1), 1200 * MS);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[2].job, 0, 2), 1400 * MS);
  bts_advice_calls_remove (&calls, &asks[0], due_cases[_i].answered, due_cases[_i].over_ms * MS);
  ck_assert_uint_eq (bts_advice_calls_count (&calls), 2);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[0].job, 0, 0), 0);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[1].job, 0, 1),
                    due_cases[_i].second_due_ms * MS);
  ck_assert_int_eq (bts_advice_calls_due_us (&calls, asks[2].job, 0, 2),
                    due_cases[_i].third_due_ms * MS);
  ck_assert_int_eq (bts_advice_calls_free_us (&calls), due_cases[_i].third_due_ms * MS);
  bts_advice_calls_remove (&calls, &asks[2], TRUE, 1500 * MS);
  bts_advice_calls_remove (&calls, &asks[1], TRUE, 1600 * MS);
  ck_assert_int_eq (bts_advice_calls_free_us (&calls), 1600 * MS);
  bts_advice_calls_clear (&calls);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("advice");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, wide_step_after_two_changes_of_the_owner, 0, 2);
  tcase_add_test (tests, wide_step_beside_urgent_work);
  tcase_add_test (tests, missing_reply_of_an_earlier_request);
  tcase_add_test (tests, long_calls_while_nobody_needs_short_ones);
  tcase_add_test (tests, gang_beside_a_service_that_is_full);
  tcase_add_test (tests, obsolete_step_beside_newer_work);
  tcase_add_test (tests, room_that_appears_during_a_call);
  tcase_add_loop_test (tests, advice_outlives_the_owner, 0, G_N_ELEMENTS (successions));
  tcase_add_test (tests, calls_that_take_longer_than_expected);
  tcase_add_loop_test (tests, calls_are_due_by_what_was_answered, 0, G_N_ELEMENTS (due_cases));
  return suite_run ("advice", tests);
}
