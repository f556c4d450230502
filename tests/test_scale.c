#include "libbamboothread/base/metrics.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * What processes do on sites of different sizes, counted in workers examined and in readers of the
 * registry, and not in time, so that the result doesn't depend on the machine.
 */

static const sim_policy_t lookup = { "main", 0, 3, 300 };
static const sim_policy_t batch = { "main", 2, 3, 3000 };
static const sim_step_t urgent_step[] = { { .count = 3, .cpu = 5000, .memory = 2000, .ms = 600 } };
static const sim_step_t wide_step[]
    = { { .count = 20, .cpu = 3500, .memory = 2000, .ms = 2000, .saves = TRUE } };

/* Workers examined for each start on the larger site, relative to the smaller one. The owner may
   not examine more for each start because the site is larger. */
#define GROWTH_MAX 1.25

/* Hands in jobs at a rate in proportion to the workers, for some seconds, and returns how many
   workers were examined for each start. */
static double
examined_per_start (guint n_workers, double load)
{
  sim_t *sim = sim_new (8, n_workers, 1);
  sim->advised = TRUE;
  sim_run_ms (sim, 3000);
  guint64 examined = bt_metrics_get_count (BT_COUNT_CANDIDATES);
  guint64 starts = bt_metrics_get_count (BT_COUNT_STARTS);
  double n_urgent = 0;
  double n_wide = 0;
  for (guint step = 0; step < 60; step++)
    {
      for (n_urgent += 0.04 * n_workers * load; n_urgent >= 1; n_urgent--)
        sim_submit (sim, step % 8, &lookup, urgent_step, G_N_ELEMENTS (urgent_step));
      for (n_wide += 0.004 * n_workers * load; n_wide >= 1; n_wide--)
        sim_submit (sim, step % 8, &batch, wide_step, G_N_ELEMENTS (wide_step));
      sim_run_ms (sim, 100);
    }
  examined = bt_metrics_get_count (BT_COUNT_CANDIDATES) - examined;
  starts = bt_metrics_get_count (BT_COUNT_STARTS) - starts;
  sim_check (sim);
  sim_free (sim);
  ck_assert_uint_gt (starts, 0);
  return (double)examined / (double)starts;
}

static const struct
{
  const char *name;
  double load;
} cases[] = {
  { "usual_load", 0.5 },
  { "overload", 2.0 },
};

START_TEST (work_of_a_start_is_independent_of_the_site)
{
  double small = examined_per_start (40, cases[_i].load);
  double large = examined_per_start (240, cases[_i].load);
  ck_assert_msg (large <= small * GROWTH_MAX, "%s: %.0f workers examined a start, then %.0f",
                 cases[_i].name, small, large);
}
END_TEST

/* Hands in urgent jobs at a rate in proportion to the workers, and returns how many workers were
   examined to choose those that requests for advice name, for each start. */
static double
examined_for_advice (guint n_workers)
{
  sim_t *sim = sim_new (8, n_workers, 1);
  sim->advised = TRUE;
  sim_run_ms (sim, 3000);
  guint64 examined = bt_metrics_get_count (BT_COUNT_ADVICE_CANDIDATES);
  guint64 starts = bt_metrics_get_count (BT_COUNT_STARTS);
  double n_jobs = 0;
  for (guint step = 0; step < 40; step++)
    {
      for (n_jobs += 0.02 * n_workers; n_jobs >= 1; n_jobs--)
        sim_submit (sim, step % 8, &lookup, urgent_step, G_N_ELEMENTS (urgent_step));
      sim_run_ms (sim, 100);
    }
  examined = bt_metrics_get_count (BT_COUNT_ADVICE_CANDIDATES) - examined;
  starts = bt_metrics_get_count (BT_COUNT_STARTS) - starts;
  sim_check (sim);
  sim_free (sim);
  ck_assert_uint_gt (starts, 0);
  return (double)examined / (double)starts;
}

START_TEST (urgent_request_examines_as_few_workers_on_any_site)
{
  double small = examined_for_advice (80);
  double large = examined_for_advice (320);
  ck_assert_msg (large <= small * GROWTH_MAX, "%.0f workers examined a start, then %.0f", small,
                 large);
}
END_TEST

/* Processes that read all entries of the registry, with the owner. */
#define ENTRY_READERS_MAX 7

static guint
count_entry_readers (sim_t *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const sim_node_t *node = sim_node (sim, i);
      n += node->node != NULL && bts_node_needs_entries (node->node);
    }
  return n;
}

static const guint sites[] = { 2, 6, 30 };

/* The number of processes that read the registry doesn't grow with the site, and another owner
   starts tasks soon after any owner was killed, also one that hasn't read the registry before. */
START_TEST (few_processes_read_the_registry)
{
  sim_t *sim = sim_new (sites[_i], 10, 1);
  sim_run_ms (sim, 8000);
  for (guint i = 0; i + 1 < sites[_i] && i < 8; i++)
    {
      guint n_readers = count_entry_readers (sim);
      ck_assert_uint_le (n_readers, ENTRY_READERS_MAX);
      ck_assert_uint_ge (n_readers, MIN (2, sites[_i] - i));
      sim_kill (sim, (guint)sim_owner (sim));
      sim_run_ms (sim, 2000);
      ck_assert_int_ge (sim_owner (sim), 0);
      guint node = (guint)sim_owner (sim);
      const sim_job_t *job
          = sim_submit (sim, node, &lookup, urgent_step, G_N_ELEMENTS (urgent_step));
      sim_run_ms (sim, 3000);
      ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
    }
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("scale");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, work_of_a_start_is_independent_of_the_site, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, urgent_request_examines_as_few_workers_on_any_site);
  tcase_add_loop_test (tests, few_processes_read_the_registry, 0, G_N_ELEMENTS (sites));
  return suite_run ("scale", tests);
}
