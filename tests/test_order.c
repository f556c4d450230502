#include <string.h>

#include "libbamboothread/scheduler/order.h"
#include "tests/suite.h"

/*
 * Until when the steps of a job are on time.
 */

#define STRETCH 3
#define OBJECTIVE_MS 100

static Bts__Accepted *
accepted_new (guint n_steps)
{
  Bts__Accepted *accepted = malloc (sizeof *accepted);
  bts__accepted__init (accepted);
  accepted->id = strdup ("00000000000000a1");
  accepted->policy = malloc (sizeof *accepted->policy);
  bts__policy__init (accepted->policy);
  accepted->policy->stretch = STRETCH;
  accepted->policy->objective_ms = OBJECTIVE_MS;
  accepted->n_steps = n_steps;
  accepted->steps = calloc (n_steps, sizeof *accepted->steps);
  return accepted;
}

/* A step that depends on some of those before it. */
static Bts__Step *
random_step (GRand *random, guint number)
{
  Bts__Step *step = malloc (sizeof *step);
  bts__step__init (step);
  step->count = 1;
  step->estimate_ms = (guint)g_rand_int_range (random, 0, 1000);
  step->after = calloc (MAX (number, 1), sizeof *step->after);
  for (guint i = 0; i < number; i++)
    if (g_rand_int_range (random, 0, 3) == 0)
      step->after[step->n_after++] = i;
  return step;
}

/* The longest chain that begins with a step. */
static gint64
chain_ms (const Bts__Accepted *accepted, guint first)
{
  gint64 longest_ms = 0;
  for (guint i = first + 1; i < accepted->n_steps; i++)
    for (gsize j = 0; j < accepted->steps[i]->n_after; j++)
      if (accepted->steps[i]->after[j] == first)
        longest_ms = MAX (longest_ms, chain_ms (accepted, i));
  return longest_ms + accepted->steps[first]->estimate_ms;
}

/* The longest chain among a step and those after it. */
static gint64
path_ms (const Bts__Accepted *accepted, guint first)
{
  gint64 longest_ms = 0;
  for (guint i = first; i < accepted->n_steps; i++)
    longest_ms = MAX (longest_ms, chain_ms (accepted, i));
  return longest_ms;
}

/* Guards against steps that are served too early or too late, as the longest chain of a job is
   found once for all of its steps: an owner stood still for seconds over jobs of 4,096 steps. */
START_TEST (latest_start_leaves_time_for_the_longest_chain)
{
  g_autoptr (GRand) random = g_rand_new_with_seed ((guint32)_i);
  guint n_steps = (guint)_i % 9 + 1;
  Bts__Accepted *accepted = accepted_new (n_steps);
  for (guint i = 0; i < n_steps; i++)
    accepted->steps[i] = random_step (random, i);
  bts_job_t *job = bts_job_new (accepted, 0, 0);
  gint64 allowed_ms = STRETCH * path_ms (accepted, 0) + OBJECTIVE_MS;
  ck_assert_int_eq (bts_order_allowed_ms (job), allowed_ms);
  for (guint i = 0; i < n_steps; i++)
    {
      bts_stage_t *stage = bts_job_stage (job, 0, i);
      bts_order_set_times (stage);
      ck_assert_int_eq (stage->latest_start_us, (allowed_ms - path_ms (accepted, i)) * 1000);
    }
  ck_assert_int_eq (bts_order_allowed_ms (job), allowed_ms);
  bts_job_free (job);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("order");
  tcase_add_loop_test (tests, latest_start_leaves_time_for_the_longest_chain, 0, 60);
  return suite_run ("order", tests);
}
