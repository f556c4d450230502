#include <string.h>

#include "standins/worker_model.h"
#include "tests/suite.h"

/*
 * The contract of workers, docs/interfaces/worker.md, as steps against the
 * stand-in. Each case is a list of steps and what each has to answer.
 */

#define STEPS_MAX 10

typedef enum
{
  STEP_END,
  STEP_WAIT,
  STEP_CLAIM,
  STEP_RENEW,
  STEP_START,
  STEP_STOP,
  STEP_RELEASE,
  STEP_REBOOT,
  STEP_LEAVE,
  STEP_RUNNING,
} step_kind_t;

/*
 * @owner: who acts
 * @number: milliseconds to wait; age of the clock in a renewal; mcpus of a
 *   start; epochs that the caller is behind by
 * @expect: whether granted or accepted; a &enum bt_start_verdict_t; how many run
 */
typedef struct
{
  step_kind_t kind;
  const char *owner;
  gint64 number;
  gint64 expect;
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
} cases[] = {
  { "a free worker is granted, a held one is not",
    { { STEP_CLAIM, "a", 0, TRUE }, { STEP_CLAIM, "b", 0, FALSE }, { STEP_CLAIM, "a", 0, TRUE } } },
  { "a lapsed lease goes to the next claim",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_WAIT, NULL, 1000, 0 },
      { STEP_CLAIM, "b", 0, TRUE },
      { STEP_RENEW, "a", 0, FALSE } } },
  { "a released worker is free at once",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RELEASE, "a", 0, TRUE },
      { STEP_CLAIM, "b", 0, TRUE } } },
  { "only the holder can release",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RELEASE, "b", 0, FALSE },
      { STEP_CLAIM, "b", 0, FALSE } } },
  { "a start needs the tasks' lease too",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STALE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_RUNNING, NULL, 0, 1 } } },
  { "a start by another is refused",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "b", 1000, BT_START_STALE },
      { STEP_RUNNING, NULL, 0, 0 } } },
  { "a start after the lease has lapsed is refused",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_WAIT, NULL, 1000, 0 },
      { STEP_START, "a", 1000, BT_START_STALE } } },
  { "what does not fit is refused",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 3000, BT_START_STARTED },
      { STEP_START, "a", 2000, BT_START_FULL },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_RUNNING, NULL, 0, 2 } } },
  { "tasks end with their lease, not with their owner's",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_WAIT, NULL, 1500, 0 },
      { STEP_RUNNING, NULL, 0, 1 },
      { STEP_WAIT, NULL, 600, 0 },
      { STEP_RUNNING, NULL, 0, 0 } } },
  { "tasks live on under the next owner's renewals",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_WAIT, NULL, 1500, 0 },
      { STEP_CLAIM, "b", 0, TRUE },
      { STEP_RENEW, "b", 0, TRUE },
      { STEP_WAIT, NULL, 900, 0 },
      { STEP_RUNNING, NULL, 0, 1 } } },
  { "a claim alone does not prolong tasks",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_WAIT, NULL, 1900, 0 },
      { STEP_CLAIM, "b", 0, TRUE },
      { STEP_WAIT, NULL, 200, 0 },
      { STEP_RUNNING, NULL, 0, 0 } } },
  { "a renewal that comes late prolongs no task",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_WAIT, NULL, 900, 0 },
      { STEP_RENEW, "a", 900, TRUE },
      { STEP_WAIT, NULL, 900, 0 },
      { STEP_RUNNING, NULL, 0, 1 },
      { STEP_WAIT, NULL, 250, 0 },
      { STEP_RUNNING, NULL, 0, 0 } } },
  { "an owner's lease counts from its renewal's arrival",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_WAIT, NULL, 900, 0 },
      { STEP_RENEW, "a", 900, TRUE },
      { STEP_WAIT, NULL, 900, 0 },
      { STEP_CLAIM, "b", 0, FALSE },
      { STEP_WAIT, NULL, 150, 0 },
      { STEP_CLAIM, "b", 0, TRUE } } },
  { "a claim by the holder makes starts of before stale",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_CLAIM, "a", 0, TRUE },
      { STEP_START, "a", -1000, BT_START_STALE },
      { STEP_START, "a", 1000, BT_START_STARTED } } },
  { "a worker that starts anew forgets lease and tasks",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_REBOOT, NULL, 0, 0 },
      { STEP_RUNNING, NULL, 0, 0 },
      { STEP_RENEW, "a", 0, FALSE },
      { STEP_CLAIM, "b", 0, TRUE } } },
  { "a leaving worker takes nothing new and lets tasks run",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_LEAVE, NULL, 0, 0 },
      { STEP_START, "a", 1000, BT_START_LEAVING },
      { STEP_RUNNING, NULL, 0, 1 } } },
  { "stop ends a task, only for the holder",
    { { STEP_CLAIM, "a", 0, TRUE },
      { STEP_RENEW, "a", 0, TRUE },
      { STEP_START, "a", 1000, BT_START_STARTED },
      { STEP_STOP, "b", 0, FALSE },
      { STEP_RUNNING, NULL, 0, 1 },
      { STEP_STOP, "a", 0, TRUE },
      { STEP_RUNNING, NULL, 0, 0 } } },
};

typedef struct
{
  bt_clock_t clock;
  bt_worker_model_t model;
  gint64 epoch;
  gint64 clock_ms;
  guint starts;
} fixture_t;

static gint64
lease (fixture_t *fixture, const step_t *step)
{
  bt_lease_request_t request = { .ttl_ms = 1000, .full = TRUE };
  request.owner = g_ref_string_new (step->owner);
  request.ack = g_ptr_array_new ();
  if (step->kind == STEP_RENEW)
    {
      request.epoch = fixture->epoch;
      request.task_ttl_ms = 2000;
      request.last_clock_ms = bt_clock_now (&fixture->clock) / BT_USEC_PER_MSEC - step->number;
    }
  bt_lease_reply_t *reply = bt_worker_model_lease (&fixture->model, &request);
  gint64 granted = reply->granted;
  if (granted)
    fixture->epoch = reply->epoch;
  bt_schema_free (&bt_lease_reply_schema, reply);
  g_ptr_array_unref (request.ack);
  g_ref_string_release (request.owner);
  return granted;
}

static gint64
start (fixture_t *fixture, const step_t *step)
{
  g_autofree char *id = g_strdup_printf ("attempt-%u", fixture->starts++);
  bt_start_request_t request = { .mcpus = ABS (step->number), .memory_mb = 1, .service = TRUE };
  request.epoch = step->number < 0 ? fixture->epoch - 1 : fixture->epoch;
  request.owner = g_ref_string_new (step->owner);
  request.attempt = g_ref_string_new (id);
  request.job = g_ref_string_new ("job");
  bt_start_reply_t *reply = bt_worker_model_start (&fixture->model, &request);
  gint64 verdict = reply->verdict;
  bt_schema_free (&bt_start_reply_schema, reply);
  g_ref_string_release (request.owner);
  g_ref_string_release (request.attempt);
  g_ref_string_release (request.job);
  return verdict;
}

static gint64
stop (fixture_t *fixture, const step_t *step)
{
  bt_stop_request_t request = { .epoch = fixture->epoch, .mode = BT_STOP_STOP };
  request.owner = g_ref_string_new (step->owner);
  request.attempts = g_ptr_array_new ();
  g_ptr_array_add (request.attempts, g_ref_string_new ("attempt-0"));
  bt_stop_reply_t *reply = bt_worker_model_stop (&fixture->model, &request);
  gint64 accepted = reply->accepted;
  bt_schema_free (&bt_stop_reply_schema, reply);
  g_ref_string_release (request.attempts->pdata[0]);
  g_ptr_array_unref (request.attempts);
  g_ref_string_release (request.owner);
  return accepted;
}

static gint64
release (fixture_t *fixture, const step_t *step)
{
  bt_release_request_t request = { .epoch = fixture->epoch };
  request.owner = g_ref_string_new (step->owner);
  gint64 released = bt_worker_model_release (&fixture->model, &request);
  g_ref_string_release (request.owner);
  return released;
}

static gint64
count_running (fixture_t *fixture)
{
  bt_worker_model_tick (&fixture->model);
  gint64 n = 0;
  GHashTableIter iter;
  bt_model_attempt_t *attempt;
  g_hash_table_iter_init (&iter, fixture->model.attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    n += attempt->report.state == BT_ATTEMPT_RUNNING;
  return n;
}

static gint64
take_step (fixture_t *fixture, const step_t *step)
{
  switch (step->kind)
    {
    case STEP_WAIT:
      bt_clock_advance (&fixture->clock, step->number * BT_USEC_PER_MSEC);
      return step->expect;
    case STEP_CLAIM:
    case STEP_RENEW:
      return lease (fixture, step);
    case STEP_START:
      return start (fixture, step);
    case STEP_STOP:
      return stop (fixture, step);
    case STEP_RELEASE:
      return release (fixture, step);
    case STEP_REBOOT:
      bt_worker_model_reboot (&fixture->model, fixture->model.boot + 1);
      return step->expect;
    case STEP_LEAVE:
      fixture->model.leaving = TRUE;
      return step->expect;
    default:
      return count_running (fixture);
    }
}

START_TEST (contract_holds)
{
  fixture_t fixture = { 0 };
  bt_resources_t capacity = { { 4000, 1024, 0, 8, 64 } };
  bt_clock_init_paused (&fixture.clock, 100 * BT_USEC_PER_SEC);
  bt_worker_model_init (&fixture.model, "w", &fixture.clock, &capacity, 1);
  for (int i = 0; i < STEPS_MAX && cases[_i].steps[i].kind != STEP_END; i++)
    {
      const step_t *step = &cases[_i].steps[i];
      gint64 got = take_step (&fixture, step);
      ck_assert_msg (got == step->expect, "%s: step %d gave %d", cases[_i].name, i, (int)got);
    }
  bt_worker_model_clear (&fixture.model);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("worker_contract");
  tcase_add_loop_test (tests, contract_holds, 0, G_N_ELEMENTS (cases));
  return suite_run ("worker_contract", tests);
}
