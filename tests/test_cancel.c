#include <string.h>

#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Cancellations of jobs that the journal doesn't hold, while an append of the job may still be
 * done: an answer that the job doesn't exist must stay true.
 */

/* An append without an answer may be done this much later. */
#define LATE_US (11 * G_USEC_PER_SEC)
/* The last append of a job is sent 60 s after it came in, and done up to 12 s after that. */
#define LATEST_US (72 * G_USEC_PER_SEC)
/* A cancellation has to be answered in this time. */
#define CANCEL_MS 4000
/* How long a short log keeps records. */
#define SHORT_KEEP_MS 20000
/* Times after which processes start anew, and the time between two of them. */
#define START_TIMES 12
#define START_STEP_MS 500

static const sim_policy_t batch = { "main", 2, 3, 3000 };
static const sim_step_t steps[] = { { .count = 2, .cpu = 500, .memory = 200, .ms = 800 } };
static const sim_step_t lasting[]
    = { { .count = 2, .cpu = 500, .memory = 200, .lasts = TRUE, .per_worker = 1 } };

static sim_t *
sim_with_nodes (guint keep_ms, guint max_direct_appenders)
{
  sim_t *sim = sim_new (3, 4, 1);
  sim->keep_ms = keep_ms;
  sim->max_direct_appenders = max_direct_appenders;
  sim_restart (sim);
  sim_run_ms (sim, 6000);
  ck_assert_int_ge (sim_owner (sim), 0);
  return sim;
}

/* The store leaves the calls of a process unanswered, and does its appends late. */
static void
set_silent (sim_t *sim, guint node, gint64 late_us)
{
  sim_node (sim, node)->late_append_us = late_us;
  sim_node (sim, node)->deaf = late_us > 0;
}

static void
wait_for_cancel_answer (sim_t *sim, const sim_job_t *job)
{
  for (guint ms = 0; ms < CANCEL_MS && job->cancelled_us == 0; ms += 10)
    sim_run_ms (sim, 10);
  ck_assert_int_ne (job->cancelled_us, 0);
}

/**
 * struct late_job_t - a job that comes in at a process whose appends are done late
 * @owner: number of the process that owns the workers then
 * @entry: number of the process at which it comes in
 * @other: number of the third one, where it is cancelled
 */
typedef struct
{
  sim_job_t *job;
  guint owner;
  guint entry;
  guint other;
} late_job_t;

static late_job_t
submit_late_job (sim_t *sim, gint64 late_us)
{
  guint owner = (guint)sim_owner (sim);
  late_job_t late = { NULL, owner, (owner + 1) % 3, (owner + 2) % 3 };
  set_silent (sim, late.entry, late_us);
  late.job = sim_submit (sim, late.entry, &batch, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 2900);
  set_silent (sim, late.entry, 0);
  return late;
}

/* Cancels a job of which no process knows yet. */
static void
cancel_late_job (sim_t *sim, const late_job_t *late)
{
  sim_cancel (sim, late->other, late->job);
  wait_for_cancel_answer (sim, late->job);
  ck_assert_int_eq (late->job->cancel_answer, BTS_ANSWER_NOT_FOUND);
}

static void
expect_unknown (sim_t *sim, const sim_job_t *job)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      bts_job_state_t state;
      ck_assert_int_eq (bts_node_query (sim_node (sim, i)->node, job->id, &state),
                        BTS_ANSWER_NOT_FOUND);
    }
}

/* Submits a job whose cancellation was answered once more, which is another job then. */
static void
submit_again (sim_t *sim, guint node, sim_job_t *job)
{
  job->cancelled_us = 0;
  job->cancel_exchange = 0;
  job->accepted_us = 0;
  job->refused_us = 0;
  sim_resubmit (sim, node, job);
}

/**
 * Cases of what happens between the answer and the late append.
 * @forwarded: the entry hands the job to the owner, and the appends of both are done late
 * @kills: how often the owner is killed
 * @restarts: how often all processes start anew
 * @keep_ms: how long the log keeps records
 */
static const struct
{
  const char *name;
  gboolean forwarded;
  guint kills;
  guint restarts;
  guint keep_ms;
} lates[] = {
  { "calm", FALSE, 0, 0, 0 },
  { "forwarded to the owner", TRUE, 0, 0, 0 },
  { "two changes of the owner", FALSE, 2, 0, 0 },
  { "all processes start anew", FALSE, 0, 2, 0 },
  { "the log has deleted the cancellation", FALSE, 0, 0, 5000 },
  { "deleted, changes of the owner", FALSE, 2, 0, 5000 },
  { "deleted, all processes start anew", FALSE, 0, 2, 5000 },
};

static void
disturb (sim_t *sim, guint which)
{
  for (guint i = 0; i < lates[which].kills; i++)
    {
      guint owner = (guint)sim_owner (sim);
      sim_kill (sim, owner);
      sim_run_ms (sim, 2500);
      sim_start (sim, owner);
      sim_run_ms (sim, 500);
    }
  for (guint i = 0; i < lates[which].restarts; i++)
    {
      sim_restart (sim);
      sim_run_ms (sim, 3500);
    }
}

/* Guards against a job that runs after its cancellation was answered 410, as its append is late. */
START_TEST (late_append_has_no_effect)
{
  sim_t *sim = sim_with_nodes (lates[_i].keep_ms, lates[_i].forwarded ? 0 : 12);
  guint owner = (guint)sim_owner (sim);
  guint entry = (owner + 1) % 3;
  guint other = (owner + 2) % 3;
  set_silent (sim, entry, LATE_US);
  if (lates[_i].forwarded)
    set_silent (sim, owner, LATE_US);
  sim_job_t *job = sim_submit (sim, entry, &batch, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 2900);
  ck_assert_int_eq (job->accepted_us, 0);
  set_silent (sim, entry, 0);
  set_silent (sim, owner, 0);
  sim_cancel (sim, other, job);
  wait_for_cancel_answer (sim, job);
  ck_assert_int_eq (job->cancel_answer, BTS_ANSWER_NOT_FOUND);
  disturb (sim, (guint)_i);
  sim_run_ms (sim, 16000);
  ck_assert_msg (sim->starts == 0, "%s: it has started", lates[_i].name);
  expect_unknown (sim, job);
  submit_again (sim, other, job);
  sim_run_ms (sim, 5000);
  ck_assert_int_ne (job->accepted_us, 0);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

static void
land (sim_t *sim, const Bts__Record *record)
{
  gint64 now_us = bt_clock_now (&sim->clock);
  g_ptr_array_add (sim->log, bts_message_pack (&record->base));
  g_array_append_val (sim->log_us, now_us);
}

/**
 * Processes that start after a late append, when the log has deleted the cancellation.
 * @all: all of them start anew; otherwise one does, and the owners are killed after that
 * @keep_ms: how long the log keeps records
 */
static const struct
{
  const char *name;
  gboolean all;
  guint keep_ms;
} starters[] = {
  { "all start anew", TRUE, 5000 },
  { "one starts anew and leads", FALSE, 5000 },
  { "all start anew, a longer log", TRUE, 20000 },
  { "one starts anew and leads, a longer log", FALSE, 20000 },
};

/* Leaves @first as the only process that may lead. */
static void
make_owner (sim_t *sim, guint first)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    if (i != first)
      sim_kill (sim, i);
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < sim->nodes->len; i++)
    if (i != first)
      sim_start (sim, i);
}

/* Guards against a cancelled job that is started by a process which reads only its late record. */
START_TEST (late_append_outlives_the_cancellation)
{
  guint which = (guint)_i / START_TIMES;
  sim_t *sim = sim_with_nodes (starters[which].keep_ms, 12);
  late_job_t late = submit_late_job (sim, 5 * G_USEC_PER_SEC);
  gint64 cancelled_us = bt_clock_now (&sim->clock);
  cancel_late_job (sim, &late);
  gint64 spent_ms = (bt_clock_now (&sim->clock) - cancelled_us) / 1000;
  sim_run_ms (sim, starters[which].keep_ms - spent_ms + START_STEP_MS * ((guint)_i % START_TIMES));
  if (starters[which].all)
    sim_restart (sim);
  else
    {
      sim_kill (sim, late.other);
      sim_start (sim, late.other);
      sim_run_ms (sim, 2000);
      make_owner (sim, late.other);
    }
  sim_run_ms (sim, 8000);
  ck_assert_msg (sim->starts == 0, "%s: it has started", starters[which].name);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/**
 * What happens to an owner that hasn't read the cancellation when its answer is given.
 * @kind: it is killed, hears again, stands still for a while, or leaves
 * @hears_ms: time from the answer until it hears again, if it does
 */
static const struct
{
  const char *name;
  enum
  {
    KILLED,
    HEARS,
    FROZEN,
    LEAVES,
  } kind;
  guint hears_ms;
} unread[] = {
  { "killed", KILLED, 0 },          { "hears soon", HEARS, 500 },
  { "hears late", HEARS, 2500 },    { "hears after the record", HEARS, 6000 },
  { "stands still", FROZEN, 5000 }, { "leaves", LEAVES, 3000 },
};

/* Guards against a job that is started by an owner which hasn't read its cancellation. */
START_TEST (owner_has_not_read_the_cancellation)
{
  sim_t *sim = sim_with_nodes (0, 12);
  late_job_t late = submit_late_job (sim, 5 * G_USEC_PER_SEC);
  sim_node (sim, late.owner)->deaf = TRUE;
  cancel_late_job (sim, &late);
  if (unread[_i].kind == KILLED)
    sim_kill (sim, late.owner);
  else if (unread[_i].kind == FROZEN)
    sim_freeze (sim, late.owner);
  else if (unread[_i].kind == LEAVES)
    sim_leave (sim, late.owner);
  sim_run_ms (sim, unread[_i].hears_ms);
  sim_node (sim, late.owner)->deaf = FALSE;
  if (unread[_i].kind == FROZEN)
    sim_thaw (sim, late.owner);
  sim_run_ms (sim, 16000);
  ck_assert_msg (sim->starts == 0, "%s: it has started", unread[_i].name);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/**
 * A cancellation that isn't confirmed, at a process whose appends are done late.
 * @deaf: the process can't read the log either, so it refuses the cancellation
 * @again_ms: time until it is repeated at a process that the store serves
 */
static const struct
{
  const char *name;
  gboolean deaf;
  guint again_ms;
} repeated[] = {
  { "no answer, repeated at once", FALSE, 0 },
  { "no answer, repeated when the record is done", FALSE, 6000 },
  { "refused, repeated at once", TRUE, 0 },
  { "refused, repeated late", TRUE, 6000 },
};

/* Guards against a cancellation that is done late and spares its job, or cancels the next one. */
START_TEST (cancellation_done_late_and_repeated)
{
  sim_t *sim = sim_with_nodes (0, 12);
  guint owner = (guint)sim_owner (sim);
  guint entry = (owner + 1) % 3;
  guint other = (owner + 2) % 3;
  set_silent (sim, entry, 8 * G_USEC_PER_SEC);
  sim_job_t *job = sim_submit (sim, entry, &batch, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 1000);
  sim_node (sim, entry)->deaf = repeated[_i].deaf;
  sim_cancel (sim, entry, job);
  sim_run_ms (sim, 2900);
  ck_assert_int_eq (job->cancelled_us, 0);
  set_silent (sim, entry, 0);
  sim_run_ms (sim, repeated[_i].again_ms);
  sim_cancel (sim, other, job);
  wait_for_cancel_answer (sim, job);
  sim_run_ms (sim, 16000);
  ck_assert_msg (sim_running (sim, job->id) == 0, "%s: it runs", repeated[_i].name);
  gboolean is_unknown = job->cancel_answer == BTS_ANSWER_NOT_FOUND;
  submit_again (sim, owner, job);
  sim_run_ms (sim, 5000);
  ck_assert_msg (sim_running (sim, job->id) == (is_unknown ? 2 : 0), "%s: the next job",
                 repeated[_i].name);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a bar that is dropped while a record of its job may come, with _i restarts. */
START_TEST (bar_lasts_as_long_as_records_may_come)
{
  sim_t *sim = sim_with_nodes (0, 12);
  late_job_t late = submit_late_job (sim, LATEST_US);
  cancel_late_job (sim, &late);
  for (gint restarts = 0; restarts < _i; restarts++)
    {
      sim_restart (sim);
      sim_run_ms (sim, 10000);
    }
  sim_run_ms (sim, LATEST_US / 1000 + 10000 - _i * 10000);
  ck_assert_uint_eq (sim->starts, 0);
  expect_unknown (sim, late.job);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a snapshot that brings a cancelled job back: an owner of that time has read the
   job in a record that others have skipped. */
START_TEST (late_snapshot_has_no_effect)
{
  sim_t *sim = sim_with_nodes (0, 12);
  sim_node (sim, 0)->cut = TRUE;
  sim_job_t *job = sim_submit (sim, 0, &batch, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 2900);
  sim_node (sim, 0)->cut = FALSE;
  sim_cancel (sim, 1, job);
  wait_for_cancel_answer (sim, job);
  Bts__Kept kept = BTS__KEPT__INIT;
  kept.accepted = job->accepted;
  kept.term = bts_sched_is_leading (bts_node_sched (sim_node (sim, 0)->node)) ? 0 : 100;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_KEPT;
  record.kept = &kept;
  land (sim, &record);
  sim_run_ms (sim, 4000);
  ck_assert_uint_eq (sim->starts, 0);
  expect_unknown (sim, job);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a submission that is accepted and never runs: the process has not read yet that
   its id was barred. It can't read for _i times 100 ms. */
START_TEST (submission_where_the_bar_is_not_read)
{
  sim_t *sim = sim_with_nodes (0, 12);
  guint owner = (guint)sim_owner (sim);
  guint entry = (owner + 1) % 3;
  guint other = (owner + 2) % 3;
  sim_node (sim, entry)->cut = TRUE;
  sim_job_t *job = sim_submit (sim, entry, &batch, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 2900);
  sim_node (sim, entry)->cut = FALSE;
  sim_run_ms (sim, 500);
  sim_cancel (sim, other, job);
  sim_node (sim, entry)->deaf = TRUE;
  wait_for_cancel_answer (sim, job);
  submit_again (sim, entry, job);
  sim_run_ms (sim, 100 * _i);
  gboolean early = job->accepted_us != 0;
  sim_node (sim, entry)->deaf = FALSE;
  sim_run_ms (sim, 6000);
  ck_assert (job->accepted_us != 0 || job->refused_us != 0);
  ck_assert (!early || sim_state (sim, job) == BTS_JOB_COMPLETED);
  if (job->accepted_us != 0)
    ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  else
    ck_assert_uint_eq (sim->starts, 0);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a repeated append of a cancellation that cancels the job which came in after the
   cancellation was answered. */
START_TEST (late_cancellation_spares_a_later_job)
{
  sim_t *sim = sim_with_nodes (0, 12);
  guint owner = (guint)sim_owner (sim);
  guint entry = (owner + 1) % 3;
  guint other = (owner + 2) % 3;
  sim_node (sim, entry)->cut = TRUE;
  sim_job_t *job = sim_submit (sim, entry, &batch, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 2900);
  sim_node (sim, entry)->cut = FALSE;
  sim_run_ms (sim, 500);
  /* The first append of the cancellation is done before it is repeated. */
  sim_node (sim, other)->late_append_us = 1100 * 1000;
  sim_cancel (sim, other, job);
  wait_for_cancel_answer (sim, job);
  ck_assert_int_eq (job->cancel_answer, BTS_ANSWER_NOT_FOUND);
  sim_node (sim, other)->late_append_us = 0;
  submit_again (sim, entry, job);
  sim_run_ms (sim, 5000);
  ck_assert_int_ne (job->accepted_us, 0);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a later job that counts as cancelled once the log lacks what barred its id. */
START_TEST (late_cancellation_spares_a_later_job_of_a_short_log)
{
  sim_t *sim = sim_with_nodes (SHORT_KEEP_MS, 12);
  guint owner = (guint)sim_owner (sim);
  guint entry = (owner + 1) % 3;
  guint other = (owner + 2) % 3;
  sim_node (sim, entry)->cut = TRUE;
  sim_job_t *job = sim_submit (sim, entry, &batch, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 2900);
  sim_node (sim, entry)->cut = FALSE;
  sim_run_ms (sim, 500);
  sim_node (sim, other)->late_append_us = 1100 * 1000;
  sim_cancel (sim, other, job);
  gint64 cancelled_us = bt_clock_now (&sim->clock);
  wait_for_cancel_answer (sim, job);
  ck_assert_int_eq (job->cancel_answer, BTS_ANSWER_NOT_FOUND);
  sim_node (sim, other)->late_append_us = 0;
  submit_again (sim, entry, job);
  gint64 spent_ms = (bt_clock_now (&sim->clock) - cancelled_us) / 1000;
  sim_run_ms (sim, SHORT_KEEP_MS + 1000 - spent_ms + 100 * _i);
  ck_assert_int_ne (job->accepted_us, 0);
  sim_kill (sim, other);
  sim_start (sim, other);
  sim_run_ms (sim, 3000);
  bts_job_state_t state;
  ck_assert_int_eq (bts_node_query (sim_node (sim, other)->node, job->id, &state), BTS_ANSWER_OK);
  ck_assert_str_eq (bts_job_state_name (state), "running");
  make_owner (sim, other);
  sim_run_ms (sim, 8000);
  ck_assert_uint_eq (sim_running (sim, job->id), 2);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against a job that runs although its cancellation was answered: it came in while the
   answer was awaited, _i times 100 ms after the cancellation. */
START_TEST (submission_beside_its_cancellation)
{
  sim_t *sim = sim_with_nodes (0, 12);
  guint owner = (guint)sim_owner (sim);
  sim_node (sim, owner)->cut = TRUE;
  sim_job_t *job = sim_submit (sim, owner, &batch, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 2900);
  sim_node (sim, owner)->cut = FALSE;
  sim_run_ms (sim, 4000);
  sim_cancel (sim, 1, job);
  sim_run_ms (sim, 100 * _i);
  gboolean is_beside = job->cancelled_us == 0;
  sim_resubmit (sim, 0, job);
  sim_run_ms (sim, 6000);
  ck_assert_int_ne (job->cancelled_us, 0);
  if (is_beside)
    {
      bts_job_state_t state;
      ck_assert_uint_eq (sim_running (sim, job->id), 0);
      if (bts_node_query (sim_node (sim, 0)->node, job->id, &state) == BTS_ANSWER_OK)
        ck_assert_int_eq (state, BTS_JOB_CANCELLED);
    }
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("cancel");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, late_append_has_no_effect, 0, G_N_ELEMENTS (lates));
  tcase_add_loop_test (tests, late_append_outlives_the_cancellation, 0,
                       START_TIMES * G_N_ELEMENTS (starters));
  tcase_add_loop_test (tests, owner_has_not_read_the_cancellation, 0, G_N_ELEMENTS (unread));
  tcase_add_loop_test (tests, cancellation_done_late_and_repeated, 0, G_N_ELEMENTS (repeated));
  tcase_add_loop_test (tests, bar_lasts_as_long_as_records_may_come, 0, 8);
  tcase_add_test (tests, late_snapshot_has_no_effect);
  tcase_add_loop_test (tests, submission_where_the_bar_is_not_read, 0, 12);
  tcase_add_test (tests, late_cancellation_spares_a_later_job);
  tcase_add_loop_test (tests, late_cancellation_spares_a_later_job_of_a_short_log, 0, 16);
  tcase_add_loop_test (tests, submission_beside_its_cancellation, 0, 9);
  return suite_run ("cancel", tests);
}
