#include <malloc.h>
#include <string.h>

#include "libbamboothread/scheduler/ranges.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Memory that a small submission makes the owner and the processes that only follow allocate, when
 * it is accepted or later.
 */

#define PROCESSES 3
#define WORKERS 10
/* Most memory that a submission may take in all processes together, in bytes. */
#define BYTES_PER_JOB (PROCESSES * 4096)
/* What a simulated installation takes for its log and its events, and for what it and all processes
   remember of a start, in bytes. */
#define SIM_BYTES (2 * 1024 * 1024)
#define BYTES_PER_START 1024
#define NOBODY_HAS "label-that-no-worker-has"

static const sim_policy_t lookup = { "main", 0, 3, 300 };

#ifdef __SANITIZE_ADDRESS__
/* Declared here, since the compiler's package may come without the header. */
size_t __sanitizer_get_current_allocated_bytes (void);
#endif

static gsize
allocated_bytes (void)
{
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes ();
#else
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
#endif
}

/**
 * Submissions of a few hundred bytes each.
 * @n_jobs: how many of them come
 * @policy: how often each runs
 * @steps: @n_steps of them
 * @watch_ms: how long the memory is watched
 */
static const struct
{
  const char *name;
  guint n_jobs;
  sim_policy_t policy;
  guint n_steps;
  sim_step_t steps[2];
  gint64 watch_ms;
} cases[] = {
  { "times that were due long ago",
    1,
    { "main", 2, 3, 3000, .repeat = 100000, .interval_ms = 60000, .due_in_ms = -6000000000 },
    1,
    { { .count = 40, .cpu = 500, .memory = 256, .ms = 500 } },
    10000 },
  { "times that become due at once, later",
    40,
    { "main", 2, 3, 3000, .repeat = 100000, .interval_ms = 0, .due_in_ms = 4000 },
    1,
    { { .count = 40, .cpu = 500, .memory = 256, .ms = 500 } },
    8000 },
  { "times a millisecond apart, with many tasks",
    40,
    { "main", 2, 3, 3000, .repeat = 100000, .interval_ms = 1 },
    1,
    { { .count = 4096, .cpu = 500, .memory = 256, .ms = 500 } },
    8000 },
  { "many tasks",
    400,
    { "main", 2, 3, 3000 },
    1,
    { { .count = 4096, .cpu = 500, .memory = 256, .ms = 500 } },
    8000 },
  { "gangs that no worker can run",
    400,
    { "main", 2, 3, 3000 },
    1,
    { { .count = 4096, .cpu = 1, .memory = 1, .ms = 500, .gang = TRUE, .label = NOBODY_HAS } },
    4000 },
  { "gangs that are wider than the pool",
    100,
    { "main", 2, 3, 3000 },
    1,
    { { .count = 800, .cpu = 500, .memory = 1, .ms = 500, .gang = TRUE } },
    4000 },
  { "times of which the first step is quick and the second never starts",
    20,
    { "main", 2, 3, 3000, .repeat = 100000, .interval_ms = 0, .due_in_ms = -1000 },
    2,
    { { .count = 1, .cpu = 1, .memory = 1, .ms = 1 },
      { .count = 4000, .cpu = 1, .memory = 1, .ms = 1, .after = 1, .label = NOBODY_HAS } },
    8000 },
};

/* Guards against processes that are ended for their memory: a job took memory for all tasks and all
   times that it could ever run. Small jobs that come meanwhile have to be done. */
START_TEST (small_submission_takes_little_memory)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  gsize before = allocated_bytes ();
  for (guint i = 0; i < cases[_i].n_jobs; i++)
    {
      sim_submit (sim, i % PROCESSES, &cases[_i].policy, cases[_i].steps, cases[_i].n_steps);
      if (i % 10 == 9)
        sim_run_ms (sim, 10);
    }
  static const sim_step_t one[] = { { .count = 1, .cpu = 100, .memory = 10, .ms = 100 } };
  gsize most = 0;
  GPtrArray *small = g_ptr_array_new ();
  for (gint64 ms = 0; ms < cases[_i].watch_ms; ms += 200)
    {
      if (ms % 1000 == 0)
        g_ptr_array_add (small, sim_submit (sim, (guint)ms % PROCESSES, &lookup, one, 1));
      sim_run_ms (sim, 200);
      most = MAX (most, allocated_bytes ());
    }
  gsize bound = SIM_BYTES + cases[_i].n_jobs * BYTES_PER_JOB + sim->starts * BYTES_PER_START;
  ck_assert_msg (most - before <= bound, "%s: %zu KB, more than %zu", cases[_i].name,
                 (most - before) / 1024, bound / 1024);
  for (guint i = 0; i + 2 < small->len; i++)
    ck_assert_msg (sim_state (sim, small->pdata[i]) == BTS_JOB_COMPLETED,
                   "%s: small job %u isn't done", cases[_i].name, i);
  g_ptr_array_unref (small);
  sim_free (sim);
}
END_TEST

/* Guards against a job of which nothing runs any more, as the first of its times can't be done:
   later ones can be begun. */
START_TEST (later_times_are_begun_beside_stuck_ones)
{
  static const sim_policy_t often
      = { "main", 2, 3, 3000, .repeat = 100000, .interval_ms = 0, .due_in_ms = -1000 };
  static const sim_step_t steps[]
      = { { .count = 1, .cpu = 100, .memory = 10, .ms = 100 },
          { .count = 1, .cpu = 100, .memory = 10, .ms = 100, .after = 1, .label = NOBODY_HAS } };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  sim_submit (sim, 0, &often, steps, G_N_ELEMENTS (steps));
  sim_run_ms (sim, 5000);
  for (guint i = 0; i < 10; i++)
    {
      guint starts = sim->starts;
      sim_run_ms (sim, 2500);
      ck_assert_uint_gt (sim->starts, starts);
    }
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Process 2 may give jobs so much memory, in bytes, and the others four times that. */
#define LEAST_MEMORY (4 * 1024 * 1024)

static sim_t *
sim_with_limits (void)
{
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  for (guint i = 0; i < PROCESSES; i++)
    sim_node (sim, i)->job_memory_bytes = i == 2 ? LEAST_MEMORY : 4 * LEAST_MEMORY;
  sim_restart (sim);
  sim_run_ms (sim, 5000);
  return sim;
}

/* Hands in jobs of 100 steps that never start, and a small job every 200 ms. Returns how many of
   the former were refused. */
static guint
submit_beside_small_jobs (sim_t *sim, GPtrArray *small, guint n_large)
{
  static const sim_step_t steps[100] = {
    [0 ... 99] = { .count = 1, .cpu = 100, .memory = 10, .ms = 100, .label = NOBODY_HAS },
  };
  static const sim_step_t one[] = { { .count = 1, .cpu = 100, .memory = 10, .ms = 100 } };
  static const sim_policy_t batch = { "main", 2, 3, 3000 };
  guint n_refused = 0;
  for (guint i = 0; i < n_large; i++)
    {
      const sim_job_t *job
          = sim_submit (sim, i % PROCESSES, &batch, steps, i % 2 == 0 ? G_N_ELEMENTS (steps) : 20);
      sim_run_ms (sim, 20);
      n_refused += job->refused_us != 0;
      if (i % 10 == 0)
        g_ptr_array_add (small, sim_submit (sim, i / 10 % PROCESSES, &lookup, one, 1));
    }
  return n_refused;
}

/* Guards against a process that is ended for its memory, as the sum of what was accepted was
   bounded by nothing: the smallest process decides at every entry, also under an owner that has
   more, and small jobs are taken and done all the while. */
START_TEST (large_submissions_are_refused_first)
{
  sim_t *sim = sim_with_limits ();
  GPtrArray *small = g_ptr_array_new ();
  gsize before = allocated_bytes ();
  guint n_refused = submit_beside_small_jobs (sim, small, 600);
  sim_run_ms (sim, 3000);
  gsize grown = allocated_bytes () - before;
  ck_assert_uint_gt (n_refused, 300);
  /* The simulation keeps a copy of each job and its record. */
  ck_assert_msg (grown < (PROCESSES + 2) * LEAST_MEMORY, "%zu KB", grown / 1024);
  for (guint i = 0; i < small->len; i++)
    ck_assert_msg (sim_state (sim, small->pdata[i]) == BTS_JOB_COMPLETED, "small job %u", i);
  /* An owner that is killed has told others what it holds, and the next one counts anew. */
  guint owner = (guint)sim_owner (sim);
  sim_kill (sim, owner);
  sim_run_ms (sim, 3000);
  g_ptr_array_set_size (small, 0);
  sim_start (sim, owner);
  sim_run_ms (sim, 5000);
  ck_assert_uint_gt (submit_beside_small_jobs (sim, small, 60), 25);
  sim_run_ms (sim, 3000);
  for (guint i = 0; i < small->len; i++)
    ck_assert_msg (sim_state (sim, small->pdata[i]) == BTS_JOB_COMPLETED, "small job %u", i);
  g_ptr_array_unref (small);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against fair jobs that are refused while thousands of others wait, as what these may take
   later was counted: a large site served less than a quarter of its callers after an outage. */
START_TEST (waiting_jobs_leave_memory_for_others)
{
  static const sim_step_t steps[] = {
    { .count = 64, .cpu = 100, .memory = 10, .ms = 1000, .label = NOBODY_HAS },
    { .count = 64, .cpu = 100, .memory = 10, .ms = 1000, .after = 1 },
  };
  static const sim_policy_t batch = { "main", 2, 3, 3000 };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  for (guint i = 0; i < PROCESSES; i++)
    sim_node (sim, i)->job_memory_bytes = 40 * 1000 * 1000;
  sim_restart (sim);
  sim_run_ms (sim, 5000);
  for (guint i = 0; i < 4000; i++)
    {
      sim_submit (sim, i % PROCESSES, &batch, steps, G_N_ELEMENTS (steps));
      if (i % 10 == 9)
        sim_run_ms (sim, 10);
    }
  sim_run_ms (sim, 1000);
  guint n_refused = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    n_refused += ((const sim_job_t *)sim->jobs->pdata[i])->refused_us != 0;
  ck_assert_uint_eq (n_refused, 0);
  sim_free (sim);
}
END_TEST

/* Guards against large jobs that are refused for good after others have ended. */
START_TEST (memory_of_ended_jobs_is_given_back)
{
  sim_t *sim = sim_with_limits ();
  GPtrArray *small = g_ptr_array_new ();
  ck_assert_uint_gt (submit_beside_small_jobs (sim, small, 300), 100);
  for (guint i = 0; i < sim->jobs->len; i++)
    sim_cancel (sim, i % PROCESSES, sim->jobs->pdata[i]);
  sim_run_ms (sim, 30000);
  ck_assert_uint_eq (submit_beside_small_jobs (sim, small, 10), 0);
  g_ptr_array_unref (small);
  sim_free (sim);
}
END_TEST

/* Guards against memory that is kept for as long as the state of a job that has ended: submissions
   that are cancelled at once came at any rate. */
START_TEST (ended_submission_keeps_its_state_alone)
{
  static const sim_step_t steps[200]
      = { [0 ... 199] = { .count = 1, .cpu = 100, .memory = 10, .ms = 100, .label = NOBODY_HAS } };
  static const sim_policy_t batch = { "main", 2, 3, 3000 };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim_run_ms (sim, 3000);
  gsize before = allocated_bytes ();
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < 50; i++)
    g_ptr_array_add (jobs, sim_submit (sim, i % PROCESSES, &batch, steps, G_N_ELEMENTS (steps)));
  sim_run_ms (sim, 2000);
  gsize waiting = allocated_bytes () - before;
  for (guint i = 0; i < jobs->len; i++)
    sim_cancel (sim, i % PROCESSES, jobs->pdata[i]);
  sim_run_ms (sim, 27000);
  gsize ended = allocated_bytes () - before;
  /* The simulation keeps each job that was handed in, and its record in the log. */
  ck_assert_msg (ended * 2 < waiting, "%zu KB, and %zu KB while they waited", ended / 1024,
                 waiting / 1024);
  for (guint i = 0; i < jobs->len; i++)
    ck_assert_int_eq (sim_state (sim, jobs->pdata[i]), BTS_JOB_CANCELLED);
  g_ptr_array_unref (jobs);
  sim_free (sim);
}
END_TEST

/* Guards against times that are run again, or never, by an owner or a process that has read the
   state of a recurring job from a snapshot. */
START_TEST (recurring_job_goes_on_after_its_records_expired)
{
  static const sim_policy_t often
      = { "main", 2, 3, 3000, .repeat = 600, .interval_ms = 100, .due_in_ms = -10000 };
  static const sim_step_t steps[]
      = { { .count = 3, .cpu = 100, .memory = 10, .ms = 50 },
          { .count = 1, .cpu = 100, .memory = 10, .ms = 50, .after = 1 } };
  sim_t *sim = sim_new (PROCESSES, WORKERS, 1);
  sim->keep_ms = 8000;
  sim_restart (sim);
  sim_run_ms (sim, 3000);
  const sim_job_t *job = sim_submit (sim, 0, &often, steps, G_N_ELEMENTS (steps));
  for (guint i = 0; i < 6; i++)
    {
      sim_run_ms (sim, 9000);
      guint owner = (guint)MAX (sim_owner (sim), 0);
      sim_kill (sim, owner);
      sim_run_ms (sim, 300);
      sim_start (sim, owner);
    }
  sim_run_ms (sim, 20000);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  ck_assert_uint_ge (sim->starts, 600 * 4);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* Guards against numbers that a set of ranges loses or adds: random ranges against a plain set. */
START_TEST (ranges_agree_with_a_set)
{
  g_autoptr (GRand) random = g_rand_new_with_seed ((guint32)_i);
  g_autoptr (bts_ranges_t) ranges = bts_ranges_new ();
  gboolean set[64] = { FALSE };
  for (guint n = 0; n < 40; n++)
    {
      guint first = (guint)g_rand_int_range (random, 0, 60);
      guint last = first + (guint)g_rand_int_range (random, 0, 4);
      bts_ranges_add (ranges, first, last);
      for (guint i = first; i <= last; i++)
        set[i] = TRUE;
      guint count = 0;
      for (guint i = 0; i < 63; i++)
        {
          count += set[i];
          ck_assert_int_eq (bts_ranges_contains (ranges, i, i), set[i]);
          ck_assert_int_eq (bts_ranges_contains (ranges, i, i + 1), set[i] && set[i + 1]);
          guint next = i;
          while (next < 64 && set[next])
            next++;
          ck_assert_uint_eq (bts_ranges_next_missing (ranges, i), next);
        }
      ck_assert_uint_eq (bts_ranges_count (ranges), count + set[63]);
    }
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("job_memory");
  tcase_add_loop_test (tcase, small_submission_takes_little_memory, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tcase, later_times_are_begun_beside_stuck_ones);
  tcase_add_test (tcase, large_submissions_are_refused_first);
  tcase_add_test (tcase, waiting_jobs_leave_memory_for_others);
  tcase_add_test (tcase, memory_of_ended_jobs_is_given_back);
  tcase_add_test (tcase, ended_submission_keeps_its_state_alone);
  tcase_add_test (tcase, recurring_job_goes_on_after_its_records_expired);
  tcase_add_loop_test (tcase, ranges_agree_with_a_set, 0, 20);
  tcase_set_timeout (tcase, 60);
  return suite_run ("job_memory", tcase);
}
