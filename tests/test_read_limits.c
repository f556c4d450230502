#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/read_limits.h"
#include "tests/suite.h"

/*
 * Reads of a large version of the tables by all processes of a region, over one link that they
 * share, on a paused clock.
 */

#define PROCESSES_MAX 64
#define STEP_US 1000
/* How long the store may delay a reply without records, in milliseconds. */
#define WAIT_MS 1000
/* Longest time until a reply begins to arrive after failed reads, in milliseconds. */
#define RETRY_MAX_MS 2000
/* Time from a request to the first bytes of the reply over an idle link, in milliseconds. */
#define ROUND_TRIP_MS 20
/* Time within which a version has to be in force everywhere once the store can be reached, in
   milliseconds. */
#define APPLY_MS 4000
#define GIVE_UP_MS 60000

/**
 * struct case - how a version is read
 * @n_processes: processes that share the link
 * @version_kb: size of the version
 * @link_kbps: rate of the link in kilobits a second
 * @queue_ms: how much later replies begin to arrive than over an idle link, since others fill it
 * @slow_ms: time for which the store is slow, after which the clock of the case begins
 * @slow_reply_ms: time that it takes for a reply meanwhile
 */
typedef struct
{
  const char *name;
  guint n_processes;
  guint version_kb;
  guint link_kbps;
  gint64 queue_ms;
  gint64 slow_ms;
  gint64 slow_reply_ms;
} case_t;

/**
 * struct process_t - a process that reads the version
 * @limits: its time limits
 * @limit: that of the read in flight
 * @in_flight: it waits for a reply
 * @sent_us: when the read was sent
 * @begins_us: when its reply begins to arrive
 * @progress_us: when a part of the reply last arrived; 0 before the first
 * @due_us: when the next read is sent
 * @left_bytes: bytes of the reply that haven't arrived
 * @done_us: when the version had arrived; 0 before
 */
typedef struct
{
  bts_read_limits_t limits;
  bts_read_limit_t limit;
  gboolean in_flight;
  gint64 sent_us;
  gint64 begins_us;
  gint64 progress_us;
  gint64 due_us;
  double left_bytes;
  gint64 done_us;
} process_t;

typedef struct
{
  const case_t *c;
  bt_clock_t clock;
  gint64 began_us;
  process_t processes[PROCESSES_MAX];
} scene_t;

static gint64
since_began_ms (const scene_t *scene)
{
  return (bt_clock_now (&scene->clock) - scene->began_us) / 1000;
}

static void
send_read (scene_t *scene, process_t *process)
{
  gint64 now_us = bt_clock_now (&scene->clock);
  gboolean is_slow = since_began_ms (scene) < scene->c->slow_ms;
  process->limit = bts_read_limits_next (&process->limits, WAIT_MS);
  process->in_flight = TRUE;
  process->sent_us = now_us;
  process->progress_us = 0;
  process->begins_us
      = now_us + (is_slow ? scene->c->slow_reply_ms : ROUND_TRIP_MS + scene->c->queue_ms) * 1000;
  process->left_bytes = scene->c->version_kb * 1024.0;
}

/* As a channel does: a reply has to be complete within its time, or only to go on arriving. */
static gboolean
has_timed_out (const process_t *process, gint64 now_us)
{
  const bts_read_limit_t *limit = &process->limit;
  if (process->progress_us == 0 || limit->progress_ms == 0)
    return now_us - process->sent_us >= (gint64)limit->reply_ms * 1000;
  return now_us - process->progress_us >= (gint64)limit->progress_ms * 1000;
}

static void
receive (process_t *process, double bytes, gint64 now_us)
{
  process->progress_us = now_us;
  process->left_bytes -= bytes;
  if (process->left_bytes > 0)
    return;
  process->in_flight = FALSE;
  process->done_us = now_us;
  bts_read_limits_on_reply (&process->limits);
}

static void
step (scene_t *scene)
{
  bt_clock_advance (&scene->clock, STEP_US);
  gint64 now_us = bt_clock_now (&scene->clock);
  guint n_arriving = 0;
  for (guint i = 0; i < scene->c->n_processes; i++)
    {
      process_t *process = &scene->processes[i];
      if (!process->in_flight && process->done_us == 0 && now_us >= process->due_us)
        send_read (scene, process);
      n_arriving += process->in_flight && now_us >= process->begins_us;
    }
  /* The replies share the link evenly. */
  double bytes = scene->c->link_kbps / 8.0 * STEP_US / 1000 / MAX (n_arriving, 1);
  for (guint i = 0; i < scene->c->n_processes; i++)
    {
      process_t *process = &scene->processes[i];
      if (process->in_flight && now_us >= process->begins_us)
        receive (process, bytes, now_us);
      if (!process->in_flight || !has_timed_out (process, now_us))
        continue;
      process->in_flight = FALSE;
      bts_read_limits_on_failure (&process->limits);
      process->due_us = now_us + bts_read_limits_retry_ms (&process->limits) * 1000;
    }
}

/* Returns when the last process has the version, from when the store was fast again. */
static gint64
read_everywhere_ms (const case_t *c)
{
  scene_t scene = { .c = c };
  bt_clock_init_paused (&scene.clock, 1000 * G_USEC_PER_SEC);
  scene.began_us = bt_clock_now (&scene.clock);
  for (guint i = 0; i < c->n_processes; i++)
    bts_read_limits_init (&scene.processes[i].limits, RETRY_MAX_MS);
  guint n_done = 0;
  while (n_done < c->n_processes && since_began_ms (&scene) < c->slow_ms + GIVE_UP_MS)
    {
      step (&scene);
      n_done = 0;
      for (guint i = 0; i < c->n_processes; i++)
        n_done += scene.processes[i].done_us != 0;
    }
  return since_began_ms (&scene) - c->slow_ms;
}

static const case_t cases[] = {
  /* The version alone takes 0.9 s for all processes of the region. */
  { "after_a_slow_store", 16, 420, 60000, 0, 5000, 1200 },
  { "after_a_store_that_did_not_reply", 16, 420, 60000, 0, 5000, 60000 },
  { "behind_the_replies_to_others", 16, 420, 60000, 900, 5000, 60000 },
  { "narrow_link", 16, 420, 20000, 0, 5000, 60000 },
  { "small_version", 16, 8, 60000, 0, 5000, 60000 },
  { "no_trouble_before", 32, 420, 60000, 0, 0, 0 },
};

/* Guards against a version of the tables that is never read: each read of it was broken off before
   it could arrive over the link, and began anew (CONFIG on arb-sched-grown). */
START_TEST (large_version_is_read_over_a_shared_link)
{
  gint64 took_ms = read_everywhere_ms (&cases[_i]);
  ck_assert_msg (took_ms <= APPLY_MS, "%s: in force everywhere after %" G_GINT64_FORMAT " ms",
                 cases[_i].name, took_ms);
}
END_TEST

/**
 * struct back_case - a read while the store replies to others again
 * @failures: failed reads in a row before it
 * @away_ms: how long the store didn't reply to others
 * @waited_ms: time since it was sent
 * @has_begun: its reply has begun to arrive
 */
static const struct
{
  guint failures;
  gint64 away_ms;
  gint64 waited_ms;
  gboolean has_begun;
  gboolean is_sent_again;
} back_cases[] = {
  { 5, 6000, 1900, FALSE, TRUE },
  { 5, 6000, 1900, TRUE, FALSE },
  /* It may be the first one that the store has replied to. */
  { 5, 6000, 100, FALSE, FALSE },
  { 0, 6000, 1900, FALSE, FALSE },
  /* Other reads fail now and then, as over a full link. */
  { 5, 1000, 1900, FALSE, FALSE },
};

/* Guards against tables that are read late after an outage, since a read waits for a reply that
   never comes. */
START_TEST (read_sent_during_an_outage_is_sent_again)
{
  bts_read_limits_t limits;
  bts_read_limits_init (&limits, RETRY_MAX_MS);
  for (guint i = 0; i < back_cases[_i].failures; i++)
    bts_read_limits_on_failure (&limits);
  guint reply_ms = bts_read_limits_next (&limits, WAIT_MS).reply_ms;
  ck_assert_uint_eq (reply_ms, RETRY_MAX_MS);
  gboolean is_sent_again = bts_read_limits_on_store_back (
      &limits, back_cases[_i].away_ms, back_cases[_i].waited_ms, back_cases[_i].has_begun);
  ck_assert_int_eq (is_sent_again, back_cases[_i].is_sent_again);
  if (is_sent_again)
    ck_assert_uint_lt (bts_read_limits_next (&limits, WAIT_MS).reply_ms, reply_ms);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("read_limits");
  tcase_add_loop_test (tests, large_version_is_read_over_a_shared_link, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, read_sent_during_an_outage_is_sent_again, 0,
                       G_N_ELEMENTS (back_cases));
  return suite_run ("read_limits", tests);
}
