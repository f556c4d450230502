#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Planned work: processes are stopped and started in turn while workers are replaced in turn. What
 * lasts has to be back soon, however often the owner changes.
 */

#define WORKERS 12
/* Seeds of random series, unless BT_SEEDS names another number. */
#define SEEDS_IN_CI 20
/* Tasks of the cases below that find room on all workers together. */
#define ROOM_TASKS (16 * WORKERS)
/* Time between the announcement of a worker that it leaves and its exit. */
#define DRAIN_MS 2500
/* Time from SIGTERM to the exit of a process, and from there to its next start. */
#define STOP_MS 3600
#define START_MS 500

static const sim_policy_t service = { "main", 1, 4, 2500 };
static const sim_policy_t lookup = { "main", 0, 4, 300 };
static const sim_step_t lasting[]
    = { { .count = 6, .cpu = 2000, .memory = 1000, .lasts = TRUE, .per_worker = 1 } };
static const sim_step_t short_step[] = { { .count = 4, .cpu = 2000, .memory = 1000, .ms = 600 } };

/**
 * struct case_t - planned work
 * @n_nodes: number of processes
 * @owner_every_ms: time between two stops of processes; 0 if none is stopped
 * @owner_only: the owner is stopped each time, otherwise the processes in turn
 * @worker_every_ms: time between two workers that leave
 * @first_stop_ms: time from the first exit of a worker to the first stop of a process
 */
typedef struct
{
  const char *name;
  guint n_nodes;
  guint owner_every_ms;
  gboolean owner_only;
  guint worker_every_ms;
  guint first_stop_ms;
} case_t;

static const case_t cases[] = {
  { "workers_leave", 4, 0, FALSE, 700, 0 },
  { "owner_leaves_after_a_worker", 4, 60000, TRUE, 20000, 600 },
  { "processes_leave_in_turn", 7, 2000, FALSE, 700, 500 },
  { "owner_leaves_each_4_s", 4, 4300, TRUE, 700, 600 },
  { "owner_leaves_each_3_s", 4, 3000, TRUE, 700, 600 },
  { "owner_leaves_each_2_s", 7, 2000, TRUE, 700, 400 },
  { "owner_leaves_each_2_s_and_one_worker", 7, 2000, TRUE, 30000, 900 },
};

/**
 * struct play_t - a case as it is played
 * @workers: those that are in use
 * @leaving_us: when the oldest of them exits; 0 if it hasn't announced that it leaves
 * @stopped: time at which each process exits, and starts again; 0 if it runs on
 */
typedef struct
{
  sim_t *sim;
  const case_t *planned;
  guint n_left;
  gint64 worker_us;
  gint64 stop_us;
  guint n_stopped;
  gint64 exit_us[8];
  gint64 start_us[8];
} play_t;

static gint64
now_us (const play_t *play)
{
  return bt_clock_now (&play->sim->clock);
}

static void
stop_process (play_t *play)
{
  gint owner = sim_owner (play->sim);
  guint i = play->planned->owner_only && owner >= 0 ? (guint)owner
                                                    : play->n_stopped % play->planned->n_nodes;
  if (sim_node (play->sim, i)->node == NULL || play->exit_us[i] != 0)
    return;
  play->n_stopped++;
  play->exit_us[i] = now_us (play) + STOP_MS * 1000;
  sim_leave (play->sim, i);
}

static void
exit_and_start_processes (play_t *play)
{
  for (guint i = 0; i < play->planned->n_nodes; i++)
    {
      if (play->exit_us[i] != 0 && now_us (play) >= play->exit_us[i])
        {
          sim_kill (play->sim, i);
          play->exit_us[i] = 0;
          play->start_us[i] = now_us (play) + START_MS * 1000;
        }
      if (play->start_us[i] != 0 && now_us (play) >= play->start_us[i])
        {
          sim_start (play->sim, i);
          play->start_us[i] = 0;
        }
    }
}

/* A worker joins and the next of the oldest ones announces that it leaves; the one that did so
   before exits. */
static void
replace_worker (play_t *play)
{
  sim_t *sim = play->sim;
  g_autofree char *id = g_strdup_printf ("joined-%u", sim->workers->len);
  bts_resources_t room = { 32000, 65536, 8 };
  sim_add_worker (sim, id, "main", room);
  sim_worker (sim, play->n_left++)->draining = TRUE;
}

static void
exit_workers (play_t *play, gint64 begin_us)
{
  for (guint i = 0; i < play->n_left; i++)
    {
      sim_worker_t *worker = sim_worker (play->sim, i);
      gint64 announced_us = begin_us + (gint64)i * play->planned->worker_every_ms * 1000;
      if (!worker->dead && now_us (play) >= announced_us + DRAIN_MS * 1000)
        sim_crash (play->sim, worker);
    }
}

static void
play_planned_work (play_t *play)
{
  const case_t *planned = play->planned;
  gint64 begin_us = now_us (play);
  gint64 next_worker_us = begin_us;
  gint64 next_stop_us = begin_us + (DRAIN_MS + planned->first_stop_ms) * G_GINT64_CONSTANT (1000);
  for (guint ms = 0; ms < 24000; ms += 50)
    {
      if (now_us (play) >= next_worker_us)
        {
          replace_worker (play);
          next_worker_us += (gint64)planned->worker_every_ms * 1000;
        }
      if (planned->owner_every_ms > 0 && now_us (play) >= next_stop_us)
        {
          stop_process (play);
          next_stop_us += (gint64)planned->owner_every_ms * 1000;
        }
      exit_workers (play, begin_us);
      exit_and_start_processes (play);
      sim_run_ms (play->sim, 50);
    }
}

/* LOST: a task that lasts had stood still for ten seconds, as its worker had left shortly before
   the owner did, and the next owner waited for leases that nobody could have granted. */
START_TEST (lasting_tasks_run_on_through_planned_work)
{
  play_t play = { .planned = &cases[_i] };
  play.sim = sim_new (cases[_i].n_nodes, WORKERS, 1);
  sim_run_ms (play.sim, 3000);
  for (guint i = 0; i < 3; i++)
    sim_submit (play.sim, i, &service, lasting, G_N_ELEMENTS (lasting));
  sim_submit (play.sim, 0, &lookup, short_step, G_N_ELEMENTS (short_step));
  sim_run_ms (play.sim, 2000);
  ck_assert_uint_eq (sim_running (play.sim, ""), 18);
  sim_watch_lasting (play.sim);
  play_planned_work (&play);
  sim_check (play.sim);
  sim_free (play.sim);
}
END_TEST

/* Something of a worker breaks, or is well again. */
static void
disturb_worker (sim_t *sim, GRand *random)
{
  sim_worker_t *worker = sim_worker (sim, (guint)g_rand_int_range (random, 0, WORKERS));
  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      worker->dark = TRUE;
      break;
    case 1:
      worker->cut_from = g_rand_int_range (random, 0, (gint)sim->nodes->len);
      break;
    case 2:
      worker->mute = TRUE;
      break;
    case 3:
      if (g_rand_int_range (random, 0, 3) == 0)
        sim_crash_for_seconds (sim, worker);
      break;
    default:
      worker->dark = FALSE;
      worker->mute = FALSE;
      worker->cut_from = -1;
      break;
    }
}

/* The owner leaves, or is killed, cut off or suspended; the others are well again. */
static void
change_owner (sim_t *sim, GRand *random)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      sim_node_t *node = sim_node (sim, i);
      node->cut = FALSE;
      if (node->node != NULL && node->frozen)
        sim_thaw (sim, i);
      else if (node->node == NULL || !bts_node_is_leading (node->node))
        {
          sim_kill (sim, i);
          sim_start (sim, i);
        }
    }
  gint owner = sim_owner (sim);
  gint how = g_rand_int_range (random, 0, 8);
  if (owner < 0)
    return;
  if (how == 0)
    sim_kill (sim, (guint)owner);
  else if (how == 1)
    sim_node (sim, (guint)owner)->cut = TRUE;
  else if (how == 2)
    sim_freeze (sim, (guint)owner);
  else
    sim_leave (sim, (guint)owner);
}

/* TWICE: what an owner tells the next one of idle tasks and expiring leases isn't so. Workers that
   can't be reached run on while owners follow each other. */
START_TEST (owners_in_series_start_nothing_twice)
{
  guint32 seed = (guint32)_i + 1;
  sim_t *sim = sim_new (4, WORKERS, seed);
  GRand *random = g_rand_new_with_seed (seed);
  sim->advised = seed % 3 == 0;
  sim->comeback = seed % 2;
  sim_run_ms (sim, 3000);
  gint64 change_us = 0;
  for (guint ms = 0; ms < 25000; ms += 100)
    {
      gint64 now_us = bt_clock_now (&sim->clock);
      if (now_us >= change_us)
        {
          change_owner (sim, random);
          change_us = now_us + g_rand_int_range (random, 300, 4000) * 1000;
        }
      if (g_rand_int_range (random, 0, 5) == 0)
        disturb_worker (sim, random);
      if (sim_owner (sim) >= 0 && sim_running (sim, "") < ROOM_TASKS / 3)
        sim_submit (sim, (guint)sim_owner (sim), &service, lasting, G_N_ELEMENTS (lasting));
      if (sim_owner (sim) >= 0 && g_rand_int_range (random, 0, 6) == 0)
        sim_submit (sim, (guint)sim_owner (sim), &lookup, short_step, G_N_ELEMENTS (short_step));
      if (g_rand_int_range (random, 0, 50) == 0)
        sim->lose_percent = sim->lose_percent > 0 ? 0 : 20;
      sim_run_ms (sim, 100);
    }
  sim_check (sim);
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

/**
 * struct gang_case_t - the owner goes while it starts a gang
 * @n_deaf: workers that don't get their orders, of three that a gang needs
 * @leaves: the owner leaves, otherwise it is killed
 */
typedef struct
{
  const char *name;
  guint n_deaf;
  gboolean leaves;
} gang_case_t;

static const gang_case_t gang_cases[] = {
  { "owner_killed_and_one_member_missing", 1, FALSE },
  { "owner_killed_and_two_members_missing", 2, FALSE },
  { "owner_leaves_and_one_member_missing", 1, TRUE },
};

/* GANG: the members that an owner had started waited in vain for those that it hadn't, as the next
   owner let them go on. */
START_TEST (members_of_a_gang_do_not_wait_in_vain_for_an_earlier_owner)
{
  const gang_case_t *play = &gang_cases[_i];
  static const sim_step_t gang[]
      = { { .count = 3, .cpu = 20000, .memory = 30000, .gpus = 4, .ms = 1500, .gang = TRUE } };
  sim_t *sim = sim_new (4, 3, 1);
  sim_run_ms (sim, 3000);
  guint owner = (guint)sim_owner (sim);
  sim_job_t *job = sim_submit (sim, owner, &service, gang, G_N_ELEMENTS (gang));
  for (guint i = 0; i < play->n_deaf; i++)
    sim_worker (sim, i)->dark = TRUE;
  while (sim_running (sim, job->id) < 3 - play->n_deaf)
    sim_run_ms (sim, 1);
  sim_run_ms (sim, 50);
  if (play->leaves)
    sim_leave (sim, owner);
  else
    sim_kill (sim, owner);
  for (guint i = 0; i < play->n_deaf; i++)
    sim_worker (sim, i)->dark = FALSE;
  sim_run_ms (sim, 8000);
  ck_assert_uint_eq (sim->alone, 0);
  ck_assert_int_eq (sim_state (sim, job), BTS_JOB_COMPLETED);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

static gint
number_of_seeds (void)
{
  const char *text = g_getenv ("BT_SEEDS");
  return text == NULL ? SEEDS_IN_CI : (gint)g_ascii_strtoull (text, NULL, 10);
}

int
main (void)
{
  TCase *tests = tcase_create ("handover");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, lasting_tasks_run_on_through_planned_work, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, members_of_a_gang_do_not_wait_in_vain_for_an_earlier_owner, 0,
                       G_N_ELEMENTS (gang_cases));
  tcase_add_loop_test (tests, owners_in_series_start_nothing_twice, 0, number_of_seeds ());
  return suite_run ("handover", tests);
}
