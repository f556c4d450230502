#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Workers that drain, with tasks that last on them.
 */

#define WORKERS 16
#define LEAVING (WORKERS / 2)
/* Time from the announcement of the workers to their exit. */
#define DRAIN_MS 8000
/* Longest time that a task may be away: its stop, a call for tickets, and its start. */
#define AWAY_MAX_US (3000 * 1000)
/* The same if the owner is killed meanwhile: the stated rule. */
#define AWAY_OWNER_KILLED_MAX_US (6000 * 1000)
/* A call to the advice service about the whole pool takes a second. */
#define CALL_WORKER_US (60 * 1000)
#define LASTING_TASKS 42

static const sim_policy_t service = { "main", 1, 4, 2500 };
static const sim_policy_t batch = { "main", 2, 4, 3000 };
static const sim_step_t lasting[] = { { .count = 10, .cpu = 2000, .memory = 1000, .lasts = TRUE } };
static const sim_step_t lasting_apart[]
    = { { .count = 6, .cpu = 2000, .memory = 1000, .lasts = TRUE, .per_worker = 2 } };
static const sim_step_t filling[]
    = { { .count = 60, .cpu = 4000, .memory = 1000, .ms = 60000, .saves = TRUE } };

/**
 * struct case_t - the pool whose workers drain
 * @advised: jobs need advice
 * @full: other tasks take all that the tasks that last leave
 */
typedef struct
{
  const char *name;
  gboolean advised;
  gboolean full;
} case_t;

static const case_t cases[] = {
  { "room", FALSE, FALSE },
  { "advice", TRUE, FALSE },
  { "full", FALSE, TRUE },
  { "advice_and_full", TRUE, TRUE },
};

static sim_t *
sim_with_lasting (const case_t *pool)
{
  sim_t *sim = sim_new (4, WORKERS, 1);
  sim->advised = pool->advised;
  sim->advice_worker_us = pool->advised ? CALL_WORKER_US : 0;
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < 3; i++)
    sim_submit (sim, i, &service, lasting, G_N_ELEMENTS (lasting));
  for (guint i = 0; i < 2; i++)
    sim_submit (sim, i, &service, lasting_apart, G_N_ELEMENTS (lasting_apart));
  sim_run_ms (sim, 8000);
  ck_assert_uint_eq (sim_running (sim, ""), LASTING_TASKS);
  /* Several times what the pool has left. */
  for (guint i = 0; i < 6 && pool->full; i++)
    sim_submit (sim, i % 4, &batch, filling, G_N_ELEMENTS (filling));
  sim_run_ms (sim, pool->full ? 12000 : 0);
  ck_assert_uint_eq (sim_running (sim, "") > LASTING_TASKS, pool->full);
  sim_watch_lasting (sim);
  return sim;
}

static gboolean
is_lasting_there (const sim_worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (((const sim_run_t *)worker->runs->pdata[i])->lasts)
      return TRUE;
  return FALSE;
}

/* Half of the workers drain at once, those with tasks that last first. */
static void
drain_half (sim_t *sim)
{
  guint n = 0;
  for (guint pass = 0; pass < 2; pass++)
    for (guint i = 0; i < WORKERS && n < LEAVING; i++)
      {
        sim_worker_t *worker = sim_worker (sim, i);
        if (worker->draining || (pass == 0 && !is_lasting_there (worker)))
          continue;
        sim_drain (sim, worker, DRAIN_MS);
        n++;
      }
}

static guint
count_lasting (const sim_t *sim)
{
  guint n = 0;
  for (guint w = 0; w < sim->workers->len; w++)
    {
      const sim_worker_t *worker = sim->workers->pdata[w];
      for (guint i = 0; i < worker->runs->len; i++)
        n += ((const sim_run_t *)worker->runs->pdata[i])->lasts;
    }
  return n;
}

static void
check_away (sim_t *sim, gint64 most_us)
{
  ck_assert_msg (sim->lasting_away_us <= most_us,
                 "a task that lasts was away for %" G_GINT64_FORMAT " ms",
                 sim->lasting_away_us / 1000);
  ck_assert_uint_eq (count_lasting (sim), LASTING_TASKS);
  sim_check (sim);
}

/* LOST: tasks that last ended with the workers that had said long before that they leave; only then
   their leases were waited for, advice was requested and room was made. */
START_TEST (lasting_tasks_move_before_their_workers_leave)
{
  sim_t *sim = sim_with_lasting (&cases[_i]);
  drain_half (sim);
  sim_run_ms (sim, DRAIN_MS - 100);
  guint n_there = 0;
  for (guint i = 0; i < WORKERS; i++)
    n_there += sim_worker (sim, i)->draining && is_lasting_there (sim_worker (sim, i));
  sim_run_ms (sim, 8000);
  check_away (sim, AWAY_MAX_US);
  ck_assert_uint_eq (n_there, 0);
  sim_free (sim);
}
END_TEST

static const guint kill_ms[] = { 300, 1000, 1300, 2200, 3000, 3500, 4500 };

/* LOST: the owner dies while tasks move; the next one knows nothing of its orders, and goes on with
   what it finds on the workers and in the journal. */
START_TEST (owner_is_killed_while_tasks_move)
{
  const case_t *pool = &cases[(guint)_i / G_N_ELEMENTS (kill_ms)];
  sim_t *sim = sim_with_lasting (pool);
  drain_half (sim);
  sim_run_ms (sim, kill_ms[(guint)_i % G_N_ELEMENTS (kill_ms)]);
  sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 20000);
  check_away (sim, AWAY_OWNER_KILLED_MAX_US);
  sim_free (sim);
}
END_TEST

static const sim_step_t large[] = { { .count = 2, .cpu = 20000, .memory = 1000, .lasts = TRUE } };

/* A task that is stopped although no other worker can take it would be down for as long as its
   worker still has. */
START_TEST (task_without_another_place_runs_until_its_worker_leaves)
{
  sim_t *sim = sim_new (4, 2, 1);
  sim_run_ms (sim, 3000);
  sim_submit (sim, 0, &service, large, G_N_ELEMENTS (large));
  sim_run_ms (sim, 2000);
  ck_assert_uint_eq (sim_running (sim, ""), 2);
  guint n_starts = sim->starts;
  sim_watch_lasting (sim);
  sim_drain (sim, sim_worker (sim, 0), DRAIN_MS);
  for (guint ms = 0; ms < DRAIN_MS - 100; ms += 50)
    {
      sim_run_ms (sim, 50);
      ck_assert_uint_eq (sim_running (sim, ""), 2);
    }
  ck_assert_uint_eq (sim->starts, n_starts);
  bts_resources_t room = { 32000, 65536, 8 };
  sim_add_worker (sim, "other", "main", room);
  sim_run_ms (sim, 8000);
  ck_assert_uint_eq (sim_running (sim, ""), 2);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* LOST: a run is stopped although its end can't be recorded, so its task can't start elsewhere for
   as long as the store is away, while its worker would have run it on. */
START_TEST (nothing_moves_while_the_store_is_away)
{
  sim_t *sim = sim_with_lasting (&cases[1]);
  /* The tickets come when the store has been away for more than a second. */
  sim->advice_worker_us = 5 * CALL_WORKER_US;
  drain_half (sim);
  sim_run_ms (sim, 900);
  sim->store_down = TRUE;
  for (guint ms = 0; ms < 5000; ms += 50)
    {
      sim_run_ms (sim, 50);
      ck_assert_uint_eq (count_lasting (sim), LASTING_TASKS);
    }
  sim->store_down = FALSE;
  sim_run_ms (sim, 12000);
  ck_assert_uint_eq (count_lasting (sim), LASTING_TASKS);
  sim_free (sim);
}
END_TEST

/* A stop that is repeated each time that the workers are looked at, and room that is promised to
   two tasks: each task starts once more, and the runs of others that are stopped for it are no more
   than it needs. */
START_TEST (each_task_moves_once)
{
  sim_t *sim = sim_with_lasting (&cases[_i]);
  guint n_starts = sim->starts;
  guint n_moved = 0;
  drain_half (sim);
  for (guint w = 0; w < WORKERS; w++)
    for (guint i = 0; sim_worker (sim, w)->draining && i < sim_worker (sim, w)->runs->len; i++)
      n_moved += ((const sim_run_t *)sim_worker (sim, w)->runs->pdata[i])->lasts;
  sim_run_ms (sim, DRAIN_MS - 100);
  ck_assert_uint_gt (n_moved, 0);
  ck_assert_uint_eq (sim->starts, n_starts + n_moved);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("evacuate");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, lasting_tasks_move_before_their_workers_leave, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, owner_is_killed_while_tasks_move, 0,
                       (int)(G_N_ELEMENTS (cases) * G_N_ELEMENTS (kill_ms)));
  tcase_add_test (tests, task_without_another_place_runs_until_its_worker_leaves);
  tcase_add_test (tests, nothing_moves_while_the_store_is_away);
  /* Without a full pool, whose other tasks start meanwhile. */
  tcase_add_loop_test (tests, each_task_moves_once, 0, 2);
  return suite_run ("evacuate", tests);
}
