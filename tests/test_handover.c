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
static const sim_step_t lasting_gang[]
    = { { .count = 4, .cpu = 2000, .memory = 1000, .gang = TRUE, .lasts = TRUE, .per_worker = 1 } };
static const sim_step_t two_steps[]
    = { { .count = 4, .cpu = 2000, .memory = 1000, .ms = 600 },
        { .count = 4, .cpu = 2000, .memory = 1000, .ms = 600, .after = 1 } };
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
 * @has_gang: members of a gang end together
 * @n_exited: number of workers that have exited
 * @jobs: short ones that are handed in meanwhile and haven't completed; NULL for none
 * @n_late: short jobs that didn't complete in time
 * @stopped: time at which each process exits, and starts again; 0 if it runs on
 */
typedef struct
{
  sim_t *sim;
  const case_t *planned;
  guint n_left;
  gboolean has_gang;
  guint n_exited;
  GPtrArray *jobs;
  guint n_late;
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

/* With its worker, a member of a gang ends, and the others with it. Another worker is there some
   seconds later. */
static void
exit_workers (play_t *play, gint64 begin_us)
{
  while (play->n_exited < play->n_left)
    {
      gint64 announced_us
          = begin_us + (gint64)play->n_exited * play->planned->worker_every_ms * 1000;
      if (now_us (play) < announced_us + DRAIN_MS * 1000)
        return;
      sim_worker_t *worker = sim_worker (play->sim, play->n_exited++);
      if (play->has_gang)
        sim_crash_for_seconds (play->sim, worker);
      else
        sim_crash (play->sim, worker);
    }
}

/* Hands in a short job, and counts those that haven't completed after a time in which even all
   leases of an owner that was cut off are over. */
static void
hand_in (play_t *play)
{
  gint owner = sim_owner (play->sim);
  if (play->jobs == NULL || owner < 0)
    return;
  for (guint i = play->jobs->len; i > 0; i--)
    {
      const sim_job_t *job = play->jobs->pdata[i - 1];
      gboolean is_completed = sim_state (play->sim, job) == BTS_JOB_COMPLETED;
      gboolean is_late = job->accepted_us != 0 && now_us (play) - job->accepted_us > SIM_LOST_US;
      if (is_completed || is_late)
        g_ptr_array_remove_index_fast (play->jobs, i - 1);
      play->n_late += is_late && !is_completed;
    }
  g_ptr_array_add (play->jobs, sim_submit (play->sim, (guint)owner, &lookup, two_steps,
                                           G_N_ELEMENTS (two_steps)));
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
      if (ms % 300 == 0)
        hand_in (play);
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

/* LOST: the same where a store further away changes who claims next. A process that has just
   started counts what was reported of leases before from its own start. */
START_TEST (lasting_tasks_run_on_under_processes_that_have_just_started)
{
  play_t play = { .planned = &cases[_i] };
  play.sim = sim_new (cases[_i].n_nodes, WORKERS, 1);
  play.sim->append_us = 20000;
  play.sim->append_serial = TRUE;
  sim_run_ms (play.sim, 10000);
  for (guint i = 0; i < 3; i++)
    sim_submit (play.sim, i, &service, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (play.sim, 4000);
  ck_assert_uint_eq (sim_running (play.sim, ""), 18);
  sim_watch_lasting (play.sim);
  play_planned_work (&play);
  sim_check (play.sim);
  sim_free (play.sim);
}
END_TEST

/* LOST: a gang that lasts waits for all workers that are silent, anew with each owner. */
START_TEST (lasting_gang_runs_on_through_planned_work)
{
  play_t play = { .planned = &cases[_i], .has_gang = TRUE };
  play.sim = sim_new (cases[_i].n_nodes, WORKERS, 1);
  sim_run_ms (play.sim, 3000);
  sim_submit (play.sim, 0, &service, lasting_gang, G_N_ELEMENTS (lasting_gang));
  sim_run_ms (play.sim, 2000);
  ck_assert_uint_eq (sim_running (play.sim, ""), 4);
  sim_watch_lasting (play.sim);
  play_planned_work (&play);
  sim_check (play.sim);
  sim_free (play.sim);
}
END_TEST

/* Jobs of 1.2 s, handed in all the while, with room for them. What an owner hasn't started, or what
   it was to start after a first step, isn't put off by each next one. */
START_TEST (short_jobs_go_on_through_planned_work)
{
  play_t play = { .planned = &cases[_i] };
  play.sim = sim_new (cases[_i].n_nodes, WORKERS, 1);
  play.jobs = g_ptr_array_new ();
  sim_run_ms (play.sim, 5000);
  play_planned_work (&play);
  sim_check (play.sim);
  ck_assert_uint_eq (play.n_late, 0);
  g_ptr_array_unref (play.jobs);
  sim_free (play.sim);
}
END_TEST

static const sim_step_t one_task[] = { { .count = 1, .cpu = 2000, .memory = 1000, .lasts = TRUE } };

/* Shorter than an owner waits for room before it stops other tasks for one that lasts. */
#define OWNER_TERM_MS 600

static gboolean
job_runs_on (const sim_worker_t *worker, const sim_job_t *job)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (g_str_has_prefix (((const sim_run_t *)worker->runs->pdata[i])->name, job->id))
      return TRUE;
  return FALSE;
}

static const struct
{
  const char *name;
  gboolean owner_knows;
} restarts[] = {
  { "owner_has_read_that_the_worker_was_born_again", TRUE },
  { "next_owner_has_read_that", FALSE },
};

/* TWICE: a worker restarts under its id, with an order to start on its way, and its replies are
   lost. What the owner reports of the lease of the incarnation before says nothing of the lease
   that the order has got from the next one. */
START_TEST (lease_of_next_incarnation_is_waited_for)
{
  sim_t *sim = sim_new (4, 1, 1);
  sim_worker_t *worker = sim_worker (sim, 0);
  sim_run_ms (sim, 3000);
  guint owner = (guint)sim_owner (sim);
  sim_submit (sim, owner, &service, one_task, G_N_ELEMENTS (one_task));
  worker->mute = TRUE;
  sim_run_ms (sim, 100);
  ck_assert_uint_eq (sim_running (sim, ""), 1);
  sim_node (sim, owner)->entries_fail = !restarts[_i].owner_knows;
  sim_reborn (sim, worker);
  bts_resources_t room = { 32000, 65536, 8 };
  sim_add_worker (sim, "other", "main", room);
  sim_run_ms (sim, 1700);
  /* A repeated order has reached the next incarnation. */
  ck_assert_uint_eq (sim_running (sim, ""), 1);
  sim_leave (sim, owner);
  sim_run_ms (sim, 12000);
  ck_assert_uint_eq (sim_running (sim, ""), 1);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* LOST: all workers are full, and each owner waits anew for room before it stops other tasks. */
START_TEST (lasting_task_gets_room_from_owners_in_series)
{
  static const sim_step_t filling[] = { { .count = 20, .cpu = 8000, .memory = 1000, .ms = 60000 } };
  static const sim_policy_t batch = { "main", 2, 3, 3000 };
  sim_t *sim = sim_new (4, 6, 1);
  sim_run_ms (sim, 3000);
  sim_submit (sim, 0, &service, one_task, G_N_ELEMENTS (one_task));
  sim_run_ms (sim, 500);
  for (guint i = 0; i < 2; i++)
    sim_submit (sim, 0, &batch, filling, G_N_ELEMENTS (filling));
  sim_run_ms (sim, 1500);
  sim_watch_lasting (sim);
  for (guint i = 0; i < 6; i++)
    if (job_runs_on (sim_worker (sim, i), sim->jobs->pdata[0]))
      sim_crash (sim, sim_worker (sim, i));
  sim_run_ms (sim, 1200);
  for (guint ms = 0; ms < 12000; ms += OWNER_TERM_MS)
    {
      guint owner = (guint)sim_owner (sim);
      sim_leave (sim, owner);
      sim_run_ms (sim, OWNER_TERM_MS);
      sim_kill (sim, owner);
      sim_start (sim, owner);
    }
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* A wait that begins anew: an owner that had found a worker silent, and its lease over, names it to
   the next one so that it doesn't wait for it again. The first one has learned of the worker from
   the journal before it read its entry. */
START_TEST (silent_worker_is_waited_for_once)
{
  sim_t *sim = sim_new (3, 4, 1);
  sim_run_ms (sim, 14000);
  guint first = (guint)sim_owner (sim);
  guint next = (first + 1) % 3;
  guint last = (first + 2) % 3;
  sim_kill (sim, next);
  sim_start (sim, next);
  sim_run_ms (sim, 2000);
  sim_crash (sim, sim_worker (sim, 0));
  sim_worker (sim, 0)->unlisted = FALSE;
  sim_freeze (sim, last);
  sim_leave (sim, first);
  sim_run_ms (sim, 5000);
  ck_assert_int_eq (sim_owner (sim), next);
  ck_assert (bts_sched_is_settled (bts_node_sched (sim_node (sim, next)->node), 0));
  sim_thaw (sim, last);
  sim_run_ms (sim, 500);
  sim_leave (sim, next);
  sim_run_ms (sim, 600);
  ck_assert_int_eq (sim_owner (sim), last);
  ck_assert (bts_sched_is_settled (bts_node_sched (sim_node (sim, last)->node), 0));
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* As the store's record-bytes. */
#define RECORD_BYTES_MAX 262144
#define MANY_WORKERS 350
#define MANY_TASKS 200

static const sim_step_t many_lasting[]
    = { { .count = MANY_TASKS, .cpu = 2000, .memory = 1000, .lasts = TRUE } };

/* The store refuses a record that is too large, with all that is appended in the same call. */
START_TEST (resignation_right_after_takeover_fits_into_a_record)
{
  sim_t *sim = sim_new (4, MANY_WORKERS, 1);
  sim_run_ms (sim, 6000);
  guint owner = (guint)sim_owner (sim);
  sim_submit (sim, owner, &service, many_lasting, G_N_ELEMENTS (many_lasting));
  sim_run_ms (sim, 4000);
  ck_assert_uint_eq (sim_running (sim, ""), MANY_TASKS);
  sim_leave (sim, owner);
  while (sim_owner (sim) < 0 || sim_owner (sim) == (gint)owner)
    sim_run_ms (sim, 1);
  sim_leave (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 200);
  gsize largest = 0;
  for (guint i = 0; i < sim->log->len; i++)
    largest = MAX (largest, g_bytes_get_size (sim->log->pdata[i]));
  ck_assert_uint_le (largest, RECORD_BYTES_MAX);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* LOST: the store refuses the call with the resignation, as one above its limit of calls. */
START_TEST (resignation_is_repeated_until_it_is_stored)
{
  sim_t *sim = sim_new (4, WORKERS, 1);
  sim_run_ms (sim, 3000);
  guint owner = (guint)sim_owner (sim);
  sim_submit (sim, owner, &service, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 2000);
  sim_watch_lasting (sim);
  guint n_running = sim_running (sim, "");
  for (guint i = 0; i < WORKERS && sim_running (sim, "") == n_running; i++)
    sim_crash (sim, sim_worker (sim, i));
  sim_run_ms (sim, 200);
  sim->store_refuses = TRUE;
  sim_leave (sim, owner);
  sim_run_ms (sim, 30);
  sim->store_refuses = FALSE;
  sim_run_ms (sim, 15000);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

/* LOST: a process that starts reads of a change of the owner that is long over, and counts the
   leases of that earlier owner from its own start. */
START_TEST (process_that_starts_waits_for_no_owner_of_long_ago)
{
  sim_t *sim = sim_new (2, WORKERS, 1);
  sim_run_ms (sim, 3000);
  guint killed = (guint)sim_owner (sim);
  sim_kill (sim, killed);
  sim_run_ms (sim, 2000);
  sim_start (sim, killed);
  sim_run_ms (sim, 15000);
  guint owner = (guint)sim_owner (sim);
  sim_submit (sim, owner, &service, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 3000);
  sim_watch_lasting (sim);
  guint n_running = sim_running (sim, "");
  for (guint i = 0; i < WORKERS && sim_running (sim, "") == n_running; i++)
    sim_crash (sim, sim_worker (sim, i));
  sim_kill (sim, 1 - owner);
  sim_start (sim, 1 - owner);
  sim_run_ms (sim, 300);
  sim_leave (sim, owner);
  sim_run_ms (sim, 15000);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

static void
harm_restarting_worker (sim_t *sim, GRand *random, sim_worker_t *worker, gint kind)
{
  if (kind == 4 && !worker->dead)
    {
      worker->mute = g_rand_boolean (random);
      sim_reborn (sim, worker);
    }
  else if (kind == 5)
    worker->late_us = g_rand_int_range (random, 0, 3) * 700000;
  else if (kind == 6)
    worker->draining = !worker->draining;
}

/* The store is down at times, or stores late what it doesn't answer. */
static void
disturb_store (sim_t *sim, GRand *random)
{
  if (g_rand_int_range (random, 0, 60) == 0)
    sim->late_append_us = sim->late_append_us > 0 ? 0 : 1500000;
  if (g_rand_int_range (random, 0, 90) == 0)
    sim->store_down = !sim->store_down;
  else if (sim->store_down && g_rand_int_range (random, 0, 8) == 0)
    sim->store_down = FALSE;
}

/* Something of a worker breaks, or is well again; if @restarts, a worker may also restart at once
   under its id, with orders that are carried out late or whose replies are lost. */
static void
disturb_worker (sim_t *sim, GRand *random, gboolean restarts)
{
  sim_worker_t *worker = sim_worker (sim, (guint)g_rand_int_range (random, 0, WORKERS));
  gint kind = g_rand_int_range (random, 0, restarts ? 10 : 6);
  switch (kind)
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
    case 4:
    case 5:
    case 6:
      if (restarts)
        {
          harm_restarting_worker (sim, random, worker, kind);
          break;
        }
      /* fallthrough */
    default:
      worker->late_us = 0;
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

static const struct
{
  const char *name;
  guint silent_ms;
  guint outage_ms;
  gboolean is_leaving;
} outages[] = {
  { "worker_was_silent_for_2_s", 2000, 1000, FALSE },
  { "worker_was_silent_for_1500_ms", 1500, 2000, FALSE },
  { "leaving_worker_was_silent_for_600_ms", 600, 2500, TRUE },
};

/* AVAIL, but for the disruption near it: the store is away right after a worker has answered again.
   Its owner can reach it, and renews all other leases for 6 s. */
START_TEST (runs_of_a_worker_that_answers_outlive_an_outage)
{
  sim_t *sim = sim_new (4, WORKERS, 1);
  sim_run_ms (sim, 3000);
  sim_submit (sim, 0, &service, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 3000);
  sim_worker_t *worker = sim_worker (sim, 0);
  guint n_runs = worker->runs->len;
  ck_assert_uint_gt (n_runs, 0);
  /* All of them, so that its tasks have no other place and stay. */
  for (guint i = 0; i < WORKERS; i++)
    sim_worker (sim, i)->draining = outages[_i].is_leaving;
  sim_run_ms (sim, 1500);
  worker->dark = TRUE;
  sim_run_ms (sim, outages[_i].silent_ms);
  ck_assert_uint_eq (worker->runs->len, n_runs);
  worker->dark = FALSE;
  sim->store_down = TRUE;
  sim_run_ms (sim, outages[_i].outage_ms);
  sim->store_down = FALSE;
  ck_assert_uint_eq (worker->runs->len, n_runs);
  sim_run_ms (sim, 3000);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

static const guint32 restart_seeds[] = { 1, 2, 3, 4, 5, 71, 198, 630, 703, 865 };

/* TWICE: what an owner tells the next one of idle tasks and expiring leases isn't so. Workers that
   can't be reached run on while owners follow each other. */
static void
play_owners_in_series (guint32 seed, guint length_ms, gboolean restarts)
{
  sim_t *sim = sim_new (4, WORKERS, seed);
  GRand *random = g_rand_new_with_seed (seed);
  sim->advised = seed % 3 == 0;
  sim->comeback = seed % 2;
  sim_run_ms (sim, 3000);
  gint64 change_us = 0;
  for (guint ms = 0; ms < length_ms; ms += 100)
    {
      gint64 now_us = bt_clock_now (&sim->clock);
      if (now_us >= change_us)
        {
          change_owner (sim, random);
          change_us = now_us + g_rand_int_range (random, 300, 4000) * 1000;
        }
      if (g_rand_int_range (random, 0, 5) == 0)
        disturb_worker (sim, random, restarts);
      if (sim_owner (sim) >= 0 && sim_running (sim, "") < ROOM_TASKS / 3)
        sim_submit (sim, (guint)sim_owner (sim), &service, lasting, G_N_ELEMENTS (lasting));
      if (sim_owner (sim) >= 0 && g_rand_int_range (random, 0, 6) == 0)
        sim_submit (sim, (guint)sim_owner (sim), &lookup, short_step, G_N_ELEMENTS (short_step));
      if (restarts)
        disturb_store (sim, random);
      if (g_rand_int_range (random, 0, 50) == 0)
        sim->lose_percent = sim->lose_percent > 0 ? 0 : 20;
      sim_run_ms (sim, 100);
    }
  sim_check (sim);
  g_rand_free (random);
  sim_free (sim);
}

START_TEST (owners_in_series_start_nothing_twice)
{
  play_owners_in_series ((guint32)_i + 1, 25000, FALSE);
}
END_TEST

/* Workers restart under their ids, too. */
START_TEST (owners_in_series_start_nothing_twice_on_restarting_workers)
{
  play_owners_in_series (restart_seeds[_i], 40000, TRUE);
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
  tcase_add_loop_test (tests, short_jobs_go_on_through_planned_work, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, lasting_tasks_run_on_under_processes_that_have_just_started, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, lasting_gang_runs_on_through_planned_work, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, lease_of_next_incarnation_is_waited_for, 0, G_N_ELEMENTS (restarts));
  tcase_add_test (tests, lasting_task_gets_room_from_owners_in_series);
  tcase_add_test (tests, silent_worker_is_waited_for_once);
  tcase_add_test (tests, resignation_right_after_takeover_fits_into_a_record);
  tcase_add_test (tests, resignation_is_repeated_until_it_is_stored);
  tcase_add_test (tests, process_that_starts_waits_for_no_owner_of_long_ago);
  tcase_add_loop_test (tests, runs_of_a_worker_that_answers_outlive_an_outage, 0,
                       G_N_ELEMENTS (outages));
  tcase_add_loop_test (tests, owners_in_series_start_nothing_twice, 0, number_of_seeds ());
  tcase_add_loop_test (tests, owners_in_series_start_nothing_twice_on_restarting_workers, 0,
                       G_N_ELEMENTS (restart_seeds));
  return suite_run ("handover", tests);
}
