#include "libbamboothread/scheduler/outbox.h"
#include "tests/sim.h"
#include "tests/suite.h"

/* Orders to workers: which one goes next, and that many at once are carried out in time. */

/* One way to a worker of another region. */
#define FAR_US (10 * 1000)
/* Channels of a process to one worker that orders may take up. */
#define CHANNELS 5
/* Time from the answer to a cancellation until nothing of the job runs. */
#define CANCEL_MS 3000

static const sim_policy_t bulk = { .service = "main", .priority = 2, .route = "bulk" };
static const sim_policy_t other = { .service = "main", .priority = 1, .route = "other" };
static const sim_policy_t urgent = { .service = "main", .priority = 0, .route = "urgent" };
static const sim_step_t usual = { .count = 2, .cpu = 3000, .memory = 3000, .ms = 500 };
static const sim_step_t gang
    = { .count = 4, .cpu = 3000, .memory = 3000, .ms = 500, .gang = TRUE, .per_worker = 2 };

/**
 * struct case_t - jobs of many tasks that are cancelled at once
 * @workers: number of workers
 * @jobs: number of jobs
 * @tasks: number of their tasks
 * @begin_ms: time from their submission to their cancellation
 * @mute_ms: how long workers answer no orders from then on
 */
typedef struct
{
  const char *name;
  guint workers;
  guint jobs;
  guint tasks;
  guint begin_ms;
  guint mute_ms;
} case_t;

static const case_t cases[] = {
  { "one job", 5, 1, 2500, 20000, 0 },
  { "several jobs at once", 5, 10, 250, 20000, 0 },
  { "few workers with all their runs", 1, 1, 500, 20000, 0 },
  { "while starts are on their way", 5, 1, 2500, 300, 0 },
  { "while most starts are on their way", 5, 1, 2500, 1200, 0 },
};

static sim_t *
sim_with_far_workers (guint workers, guint32 seed)
{
  sim_t *sim = sim_new (3, workers, seed);
  sim->order_way_us = FAR_US;
  sim->order_channels = CHANNELS;
  sim_run_ms (sim, 3000);
  return sim;
}

static void
submit_bulk (sim_t *sim, guint jobs, guint tasks)
{
  const sim_step_t step = { .count = tasks, .cpu = 60, .memory = 80, .ms = 90000 };
  for (guint i = 0; i < jobs; i++)
    sim_submit (sim, 0, &bulk, &step, 1);
}

static void
cancel_all (sim_t *sim, guint jobs)
{
  for (guint i = 0; i < jobs; i++)
    sim_cancel (sim, 0, sim->jobs->pdata[i]);
}

/* Guards against stops that wait for a channel until their time limit is over, again and again, so
   that tasks of a cancelled job run on (UNASKED, review/14). */
START_TEST (cancelled_jobs_stop_in_time)
{
  const case_t *played = &cases[_i];
  sim_t *sim = sim_with_far_workers (played->workers, (guint32)_i + 1);
  submit_bulk (sim, played->jobs, played->tasks);
  sim_run_ms (sim, played->begin_ms);
  ck_assert_uint_gt (sim_running (sim, ""), 0);
  cancel_all (sim, played->jobs);
  sim_run_ms (sim, CANCEL_MS + SIM_STOP_MS);
  ck_assert_msg (sim_running (sim, "") == 0, "%s: %u tasks run on", played->name,
                 sim_running (sim, ""));
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against starts and gangs that wait behind the many orders of another job. */
START_TEST (orders_of_a_wide_job_leave_turns_to_others)
{
  sim_t *sim = sim_with_far_workers (5, (guint32)_i + 1);
  submit_bulk (sim, 1, 2000);
  sim_run_ms (sim, _i == 0 ? 500 : 20000);
  if (_i == 1)
    cancel_all (sim, 1);
  sim_run_ms (sim, 100);
  const sim_job_t *lookup = sim_submit (sim, 0, &urgent, &usual, 1);
  const sim_job_t *members = sim_submit (sim, 0, &other, &gang, 1);
  sim_run_ms (sim, 1500);
  ck_assert_int_eq (sim_state (sim, lookup), BTS_JOB_COMPLETED);
  ck_assert_int_eq (sim_state (sim, members), BTS_JOB_COMPLETED);
  ck_assert_uint_eq (sim->alone, 0);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against starts that wait for a worker that has fallen silent, while others have room. */
START_TEST (unsent_starts_leave_a_silent_worker)
{
  sim_t *sim = sim_with_far_workers (3, (guint32)_i + 1);
  const sim_step_t step = { .count = 900, .cpu = 40, .memory = 80, .ms = 1000 };
  const sim_job_t *job = sim_submit (sim, 0, &bulk, &step, 1);
  sim_run_ms (sim, 200);
  sim_worker (sim, 0)->dark = TRUE;
  sim_run_ms (sim, 5000);
  /* The others were just starting, and may have crashed the worker. */
  ck_assert_uint_ge (g_hash_table_size (sim->done), 850);
  sim_run_ms (sim, 15000);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Orders that a fake adapter has sent. */
typedef struct
{
  GArray *sent;
  guint64 refused;
} wire_t;

static gboolean
send_order (void *context, bts_order_kind_t kind, guint64 serial)
{
  wire_t *wire = context;
  if (serial == wire->refused)
    return FALSE;
  g_array_append_val (wire->sent, serial);
  return TRUE;
}

static guint64
sent_at (const wire_t *wire, guint i)
{
  ck_assert_uint_lt (i, wire->sent->len);
  return g_array_index (wire->sent, guint64, i);
}

static void
send_all (bts_outbox_t *outbox)
{
  while (bts_outbox_send_next (outbox))
    ;
}

static void
add (bts_outbox_t *outbox, const char *worker, const char *flow, guint64 serial)
{
  const bts_order_t order = { worker, BTS_ORDER_START, 1, flow, serial };
  bts_outbox_add (outbox, &order);
}

/* Guards against orders that are dropped, or sent twice, or beyond the window. */
START_TEST (outbox_sends_each_order_once_in_turns)
{
  wire_t wire = { g_array_new (FALSE, FALSE, sizeof (guint64)), 3 };
  bts_outbox_t *outbox = bts_outbox_new (send_order, &wire);
  for (guint64 serial = 1; serial <= 30; serial++)
    add (outbox, "w1", "wide", serial);
  add (outbox, "w2", "wide", 100);
  add (outbox, "w1", "narrow", 200);
  send_all (outbox);
  ck_assert_uint_eq (wire.sent->len, BTS_OUTBOX_WINDOW_MIN + 1);
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), BTS_OUTBOX_WINDOW_MIN + 1);
  ck_assert_uint_eq (bts_outbox_count_waiting (outbox), 24 + 1);
  guint n = 0;
  while (n < wire.sent->len)
    {
      bts_outbox_on_reply (outbox, BTS_ORDER_START, sent_at (&wire, n++), TRUE);
      send_all (outbox);
    }
  ck_assert_uint_eq (wire.sent->len, 31);
  /* The narrow job's order went behind the next one of the wide job at the latest. */
  guint at = 0;
  while (sent_at (&wire, at) != 200)
    at++;
  ck_assert_uint_le (at, BTS_OUTBOX_WINDOW_MIN + 2);
  ck_assert_uint_eq (bts_outbox_count_waiting (outbox), 0);
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), 0);
  /* A reply that comes once more changes nothing. */
  bts_outbox_on_reply (outbox, BTS_ORDER_START, 1, TRUE);
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), 0);
  bts_outbox_free (outbox);
  g_array_unref (wire.sent);
}
END_TEST

/* Guards against a worker that answers nothing and is sent ever more, and against a window that
   stays narrow. */
START_TEST (window_follows_the_answers)
{
  wire_t wire = { g_array_new (FALSE, FALSE, sizeof (guint64)), 0 };
  bts_outbox_t *outbox = bts_outbox_new (send_order, &wire);
  for (guint64 serial = 1; serial <= 2000; serial++)
    add (outbox, "w1", "wide", serial);
  send_all (outbox);
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), BTS_OUTBOX_WINDOW_MAX);
  guint n = 0;
  for (; n < 200; n++)
    {
      bts_outbox_on_reply (outbox, BTS_ORDER_START, sent_at (&wire, n), FALSE);
      send_all (outbox);
    }
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), BTS_OUTBOX_WINDOW_MIN);
  for (; n < 400; n++)
    {
      bts_outbox_on_reply (outbox, BTS_ORDER_START, sent_at (&wire, n), TRUE);
      send_all (outbox);
    }
  ck_assert_uint_eq (bts_outbox_count_on_way (outbox), BTS_OUTBOX_WINDOW_MAX);
  bts_outbox_clear (outbox);
  ck_assert_uint_eq (bts_outbox_count_waiting (outbox), 0);
  bts_outbox_free (outbox);
  g_array_unref (wire.sent);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("outbox");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, cancelled_jobs_stop_in_time, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, orders_of_a_wide_job_leave_turns_to_others, 0, 2);
  tcase_add_loop_test (tests, unsent_starts_leave_a_silent_worker, 0, 3);
  tcase_add_test (tests, outbox_sends_each_order_once_in_turns);
  tcase_add_test (tests, window_follows_the_answers);
  return suite_run ("outbox", tests);
}
