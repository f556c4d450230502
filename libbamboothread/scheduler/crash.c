#include "libbamboothread/scheduler/crash.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/blame.h"
#include "libbamboothread/scheduler/sched_private.h"

/* How long a run counts as just starting after its worker has confirmed it, in microseconds. */
#define STARTUP_US (150 * 1000)
/* How long after that a crash of its worker is late: it may be the run's doing, but many runs have
   started in that time. In microseconds. */
#define LATE_US (850 * 1000)
/* Workers that have crashed in a row, late crashes among them, with which a task is a suspect. */
#define CRASHES_SUSPECT 2
/* Such crashes with which it is given up, and how many different workers they have to be of. These
   are fewer, as a task in a small pool may find no more while it isn't started on those again. */
#define CRASHES_MAX 5
#define CRASHED_WORKERS_MIN 4
/* How long a suspect waits, after its run was lost, for the worker to show whether it has crashed,
   in microseconds. */
#define VERDICT_WAIT_US (3 * BT_USEC_PER_SEC)
/* How long a suspect waits for a worker on which nothing else is just starting, in microseconds. */
#define BLOCKED_MAX_US (1 * BT_USEC_PER_SEC)
/* A suspect starts only on workers that reply within this time, in microseconds: until the reply, a
   crash counts as one right after the start, however late it comes. WAIT_SHORT_MS in poll.c, so
   that an owner of few workers never passes over those with urgent or long-running tasks. */
#define REPLY_DUE_MAX_US (400 * 1000)
/* How long after the start a reply may be due for a crash before it to count in full, in
   microseconds. With holds of 1 s, two crashes long after a start would give the task up. */
#define REPLY_SLACK_US (100 * 1000)
/* How long a task isn't started again on the workers that have crashed under it, in milliseconds;
   doubles with each crash of one that had crashed under it before. A task for which only
   one worker has room would otherwise take that one down every few seconds, and a task that isn't
   to blame may start there once the worker has recovered. For a task that lasts, on a worker with
   nothing else, it doesn't double. */
#define AGAIN_MS (6 * 1000)
#define AGAIN_MAX_MS (600 * 1000)
/* At most one worker of so many in a pool is on probation: where more of them crash, it is hardly
   by their own fault, and the pool needs their room. */
#define POOL_PER_PROBATION 4

/**
 * bts_crash_on_run_confirmed() - a worker has confirmed that a run is on it
 * @run: the run
 * @now_us: the time
 *
 * The next hold to a worker that starts a suspect is sent at once.
 */
void
bts_crash_on_run_confirmed (bts_run_t *run, gint64 now_us)
{
  run->startup_end_us = MIN (run->startup_end_us, now_us + STARTUP_US);
  if (run->task != NULL && bts_crash_is_suspect (run->task))
    run->worker->hold_next_us = MIN (run->worker->hold_next_us, now_us);
}

/* Whether a run is just starting, so that it may be the cause if its worker has crashed since it
   last replied. The next incarnation, which may have replied to an order since, has an earlier
   clock. */
static gboolean
is_starting (const bts_run_t *run)
{
  return run->worker->clock_at_us < run->startup_end_us;
}

/* Whether a run has outlived its start, but not by long, as its worker last replied. */
static gboolean
is_late (const bts_run_t *run)
{
  return !is_starting (run) && run->startup_end_us != 0
         && run->worker->clock_at_us < run->startup_end_us + LATE_US;
}

/* Whether a run may have crashed its worker, if that has crashed since it last replied. */
static gboolean
may_be_cause (const bts_run_t *run)
{
  return is_starting (run) || is_late (run);
}

/* Whether nothing may start beside a run: its task is a suspect. */
static gboolean
is_on_trial (const bts_run_t *run)
{
  const bts_task_t *task = run->task;
  return task != NULL && bts_crash_is_suspect (task)
         && (is_starting (run) || (bts_blames_count (task) >= CRASHES_SUSPECT && is_late (run)));
}

/**
 * bts_crash_is_confirmed() - whether the worker has confirmed a run that this owner has ordered
 * @run: the run
 */
gboolean
bts_crash_is_confirmed (const bts_run_t *run)
{
  return run->startup_end_us != G_MAXINT64;
}

/* Whether the first crash under a task may have come well after the start, since the worker was
   allowed to delay its reply for longer. Later on, the task starts where the reply is due soon. */
static gboolean
may_be_later (const bts_run_t *run)
{
  return run->task != NULL && bts_blames_count (run->task) == 0
         && run->worker->hold_due_us > run->startup_end_us + REPLY_SLACK_US;
}

static void
add_lost_run (const bts_run_t *run, gint64 now_us)
{
  bts_lost_run_t lost = { run->name,
                          run->number,
                          bts_crash_is_confirmed (run) && !may_be_later (run),
                          run->worker->started_ms,
                          now_us,
                          is_late (run) };
  bts_worker_add_lost_run (run->worker, &lost);
}

/* Records that a task may have crashed a worker. */
static void
mark_suspect (bts_task_t *task, gint64 now_us)
{
  if (bts_crash_is_suspect (task))
    task->crash_wait_us = now_us + VERDICT_WAIT_US;
  task->crash_suspected = TRUE;
}

/* Drops the runs of a worker that were lost so long ago that an earlier owner knew what had become
   of it, and marks the tasks of the others as suspects. */
static void
adopt_lost_runs (bts_sched_t *sched, bts_worker_t *worker)
{
  gint64 now_us = bts_sched_now (sched);
  for (guint i = worker->lost_runs->len; i > 0; i--)
    {
      const bts_lost_run_t *lost = worker->lost_runs->pdata[i - 1];
      bts_task_t *task = bts_sched_find_task (sched, lost->name);
      if (now_us - lost->silent_us > BTS_LOST_RUN_KEEP_US)
        g_ptr_array_remove_index (worker->lost_runs, i - 1);
      else if (task != NULL && lost->number > MAX (task->ended_run, task->crash_run))
        mark_suspect (task, now_us);
    }
}

/* Takes over until when the tasks of a job aren't started on the workers that have crashed. */
static void
adopt_waits (bts_sched_t *sched, const bts_job_t *job)
{
  bts_task_walk_t walk = { 0 };
  bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    {
      if (bts_blames_count (task) == 0)
        continue;
      gint64 left_ms = task->crash_again_ms - sched->ops->now_unix_ms (sched->context);
      task->crash_again_us = bts_sched_now (sched) + CLAMP (left_ms, 0, AGAIN_MAX_MS) * 1000;
    }
}

/**
 * bts_crash_begin_term() - take over what earlier owners have recorded
 * @sched: a scheduler that has begun to lead
 */
void
bts_crash_begin_term (bts_sched_t *sched)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!bts_job_has_ended (value))
      adopt_waits (sched, value);
  for (guint i = 0; i < sched->fleet->numbered->len; i++)
    if (sched->fleet->numbered->pdata[i] != NULL)
      adopt_lost_runs (sched, sched->fleet->numbered->pdata[i]);
}

/**
 * bts_crash_on_worker_silent() - a worker doesn't answer any more; it may have crashed
 * @sched: the scheduler
 * @worker: the worker
 *
 * The runs that were just starting there are recorded, so that they aren't forgotten if the owner
 * dies before it is known whether the worker has crashed.
 */
void
bts_crash_on_worker_silent (bts_sched_t *sched, bts_worker_t *worker)
{
  g_autoptr (GPtrArray) starting = g_ptr_array_new ();
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (run->task == NULL || run->unsent || !is_starting (run))
        continue;
      add_lost_run (run, bts_sched_now (sched));
      g_ptr_array_add (starting, run);
    }
  if (starting->len > 0)
    bts_heartbeat_add_silent (sched, worker, starting);
}

/**
 * bts_crash_on_run_lost() - a run was given up; its worker may have crashed
 * @sched: the scheduler
 * @run: the run, about to be removed
 */
void
bts_crash_on_run_lost (const bts_sched_t *sched, const bts_run_t *run)
{
  bts_task_t *task = run->task;
  if (task == NULL)
    return;
  gboolean late = is_late (run);
  if (!is_starting (run))
    {
      bts_blames_cap (task, 0);
      task->crash_suspected = FALSE;
    }
  if (!may_be_cause (run))
    {
      bts_blames_clear (task);
      return;
    }
  if (!late || bts_blames_count (task) > 0)
    mark_suspect (task, bts_sched_now (sched));
  add_lost_run (run, bts_sched_now (sched));
}

/* Points of a task for a crash of a worker. A late one gives none, and a worker that has crashed
   without the task before may be the cause itself. */
static guint
crash_points (const bts_worker_t *worker, const bts_lost_run_t *lost, gint64 now_us)
{
  if (lost->late)
    return 0;
  gboolean is_doubtful
      = !lost->confirmed
        || bts_probation_has_crashed_without (worker->probation, lost->name, now_us);
  return is_doubtful ? BTS_CRASH_POINTS_UNCONFIRMED : BTS_CRASH_POINTS_CONFIRMED;
}

/* How long a task isn't started again on the workers that have crashed under it. */
static gint64
again_wait_ms (const bts_task_t *task)
{
  guint n_repeated = task->n_crashes - MIN (task->n_crashes, bts_blames_count (task));
  return MIN ((gint64)AGAIN_MS << MIN (n_repeated, 16), AGAIN_MAX_MS);
}

/* Until when a task isn't started again on a worker that has crashed under it. On an empty worker a
   task that lasts harms no other one, so that its wait doesn't grow with each crash. */
static gint64
again_us (const bts_worker_t *worker, const bts_task_t *task)
{
  gboolean harmless = worker->runs->len == 0 && bts_stage_step (task->stage)->long_running;
  return harmless ? task->crash_again_us - (again_wait_ms (task) - AGAIN_MS) * 1000
                  : task->crash_again_us;
}

/* Blames the worker, and makes the task wait before it starts there again. */
static void
blame_worker (bts_sched_t *sched, const bts_worker_t *worker, const bts_lost_run_t *lost,
              bts_task_t *task)
{
  const bts_worker_entry_t *entry = worker->entry;
  bts_blames_add (task, entry->id, entry->address,
                  crash_points (worker, lost, bts_sched_now (sched)));
  task->n_crashes++;
  if (task->n_crashes >= CRASHES_MAX && bts_blames_count (task) >= CRASHED_WORKERS_MIN)
    bts_blames_add (task, entry->id, entry->address, BTS_CRASH_POINTS_MAX);
  bts_blames_cap (task, BTS_CRASH_POINTS_MAX);
  gint64 wait_ms = again_wait_ms (task);
  task->crash_again_ms = sched->ops->now_unix_ms (sched->context) + wait_ms;
  task->crash_again_us = bts_sched_now (sched) + wait_ms * 1000;
}

/* Whether a worker may be put on probation beside those of its pool that are. */
static gboolean
may_be_on_probation (const bts_sched_t *sched, const bts_worker_t *worker, gint64 now_us)
{
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, worker->service);
  guint n = 1;
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *other = pool->pdata[i];
      n += other != worker && bts_probation_is_active (other->probation, now_us);
    }
  return n * POOL_PER_PROBATION <= pool->len;
}

/* Whether one of the tasks that were just starting on a worker has crashed another one before,
   which makes it the likelier cause. Sets @given_up to whether one of them is given up. */
static gboolean
has_likelier_cause (const bts_sched_t *sched, const bts_worker_t *worker, gboolean *given_up)
{
  gboolean found = FALSE;
  *given_up = FALSE;
  for (guint i = 0; i < worker->lost_runs->len; i++)
    {
      const bts_lost_run_t *lost = worker->lost_runs->pdata[i];
      const bts_task_t *task = bts_sched_find_task (sched, lost->name);
      if (task == NULL)
        continue;
      guint n_own = bts_crash_is_blamed (worker, task) ? 1 : 0;
      found = found || bts_blames_count (task) > n_own;
      *given_up = *given_up || task->crash_points >= BTS_CRASH_POINTS_MAX;
    }
  return found;
}

/* Takes a crash back from each worker that a task has crashed, since it is given up. */
static void
excuse_workers (const bts_sched_t *sched, const bts_task_t *task)
{
  for (guint i = 0; i < bts_blames_count (task); i++)
    {
      const bts_blame_t *blame = task->crash_blames->pdata[i];
      bts_probation_t *probation = g_hash_table_lookup (sched->fleet->probations, blame->address);
      if (probation != NULL)
        bts_probation_excuse (probation);
    }
}

/* Counts a crash of a worker, whatever ran on it, unless a task is given up for it. */
static void
count_worker_crash (bts_sched_t *sched, bts_worker_t *worker)
{
  gboolean given_up;
  gboolean is_excused = has_likelier_cause (sched, worker, &given_up);
  if (given_up)
    return;
  gint64 now_us = bts_sched_now (sched);
  g_autoptr (GPtrArray) starting = g_ptr_array_new ();
  for (guint i = 0; i < worker->lost_runs->len; i++)
    g_ptr_array_add (starting, ((bts_lost_run_t *)worker->lost_runs->pdata[i])->name);
  g_ptr_array_add (starting, NULL);
  bts_probation_t *probation
      = bts_fleet_ensure_probation (sched->fleet, worker->entry->address, now_us);
  if (!bts_probation_on_crash (probation, (const char *const *)starting->pdata,
                               !is_excused && may_be_on_probation (sched, worker, now_us), now_us))
    return;
  bt_metrics_count (BT_COUNT_WORKERS_ON_PROBATION);
  bt_log (BT_LOG_NOTICE, "worker-suspect", "worker=%s crashes=%u step_ms=%" G_GINT64_FORMAT,
          worker->entry->id, probation->n_crashes, bts_probation_step_us (probation) / 1000);
}

static void
add_crash (bts_sched_t *sched, const bts_worker_t *worker, const bts_lost_run_t *lost,
           bts_task_t *task)
{
  if (task->done || bts_job_has_ended (task->stage->job)
      || lost->number <= MAX (task->ended_run, task->crash_run))
    return;
  blame_worker (sched, worker, lost, task);
  if (task->crash_points == 0)
    return;
  task->crash_run = lost->number;
  bts_heartbeat_add_crash (sched, task);
  bt_metrics_count (BT_COUNT_TASK_CRASHES);
  bt_log (BT_LOG_NOTICE, "crash", "task=%s run=%u worker=%s points=%u workers=%u crashes=%u",
          lost->name, lost->number, worker->entry->id, task->crash_points, bts_blames_count (task),
          task->n_crashes);
  if (task->crash_points >= BTS_CRASH_POINTS_MAX)
    excuse_workers (sched, task);
}

/* Counts a crash of a worker under a run that was lost on it, or clears the task of the suspicion.
 */
static void
settle_lost_run (bts_sched_t *sched, const bts_worker_t *worker, const bts_lost_run_t *lost,
                 gboolean crashed)
{
  bts_task_t *task = bts_sched_find_task (sched, lost->name);
  if (task == NULL)
    return;
  if (lost->number >= task->lost_run)
    {
      task->crash_suspected = FALSE;
      task->crash_wait_us = 0;
    }
  if (crashed)
    add_crash (sched, worker, lost, task);
}

/**
 * bts_crash_on_worker_ended() - an incarnation of a worker is over
 * @sched: the scheduler
 * @worker: the worker, still with the state of that incarnation; what it ran has been given up
 *
 * Runs lost on a draining worker don't count as crashes.
 */
void
bts_crash_on_worker_ended (bts_sched_t *sched, bts_worker_t *worker)
{
  for (guint i = 0; i < worker->lost_runs->len; i++)
    {
      const bts_lost_run_t *lost = worker->lost_runs->pdata[i];
      settle_lost_run (sched, worker, lost, !bts_worker_was_draining (worker, lost->started_ms));
    }
  if (!bts_worker_was_draining (worker, worker->started_ms))
    count_worker_crash (sched, worker);
  g_ptr_array_set_size (worker->lost_runs, 0);
}

/* Drops the points of a task of which a run has outlived its start, and reports that: in the
   journal they would outlive the run that got them, and count with the next crash under a later
   owner, however long after. A run that this owner has found in a list may have started just
   before. */
static void
clear_if_sound (bts_sched_t *sched, const bts_run_t *run)
{
  bts_task_t *task = run->task;
  if (task == NULL || task->run != run || bts_blames_count (task) == 0
      || run->state != BTS_RUN_RUNNING || run->number <= task->crash_run
      || !bts_crash_is_confirmed (run) || may_be_cause (run)
      || run->worker->clock_at_us < run->created_us + STARTUP_US + LATE_US)
    return;
  bt_log (BT_LOG_INFO, "crash-cleared", "task=%s run=%u points=%u", run->name, run->number,
          task->crash_points);
  bts_blames_clear (task);
  task->crash_run = run->number;
  bts_heartbeat_add_crash (sched, task);
}

/* Whether a run was lost in an earlier incarnation than the one that has replied, by a crash. */
static gboolean
is_crash (const bts_worker_t *worker, const bts_lost_run_t *lost, gint64 started_ms)
{
  return lost->started_ms != 0 && started_ms != 0 && lost->started_ms != started_ms
         && !bts_worker_was_draining (worker, lost->started_ms);
}

static gboolean
has_lost_earlier (const bts_worker_t *worker, gint64 started_ms)
{
  for (guint i = 0; i < worker->lost_runs->len; i++)
    if (is_crash (worker, worker->lost_runs->pdata[i], started_ms))
      return TRUE;
  return FALSE;
}

/**
 * bts_crash_on_worker_alive() - a worker has replied, in the incarnation that this owner knows
 * @sched: the scheduler
 * @worker: the worker; what was lost in this incarnation was lost with the lease
 * @started_ms: start of the incarnation, or 0
 */
void
bts_crash_on_worker_alive (bts_sched_t *sched, bts_worker_t *worker, gint64 started_ms)
{
  for (guint i = 0; i < worker->runs->len; i++)
    clear_if_sound (sched, worker->runs->pdata[i]);
  for (guint i = 0; i < worker->lost_runs->len; i++)
    {
      const bts_lost_run_t *lost = worker->lost_runs->pdata[i];
      settle_lost_run (sched, worker, lost, is_crash (worker, lost, started_ms));
    }
  if (has_lost_earlier (worker, started_ms))
    count_worker_crash (sched, worker);
  g_ptr_array_set_size (worker->lost_runs, 0);
}

/**
 * bts_crash_is_suspect() - whether a task may have crashed a worker right after its start
 * @task: the task
 */
gboolean
bts_crash_is_suspect (const bts_task_t *task)
{
  return task->crash_suspected || task->crash_points > 0
         || bts_blames_count (task) >= CRASHES_SUSPECT;
}

/**
 * bts_crash_is_blamed() - whether a worker has crashed under a task
 * @worker: the worker
 * @task: the task
 */
gboolean
bts_crash_is_blamed (const bts_worker_t *worker, const bts_task_t *task)
{
  return bts_blames_find (task, worker->entry->id, worker->entry->address) != NULL;
}

/**
 * bts_crash_is_waiting() - whether a task must not be started now
 * @task: the task
 * @now_us: the time
 *
 * Return: TRUE for a task that is about to be given up, and for a suspect until it is known whether
 * it has crashed another worker.
 */
gboolean
bts_crash_is_waiting (const bts_task_t *task, gint64 now_us)
{
  return task->crash_points >= BTS_CRASH_POINTS_MAX || now_us < task->crash_wait_us;
}

static gboolean
is_same_gang (const bts_task_t *task, const bts_run_t *run)
{
  return run->task != NULL && run->task->stage == task->stage && bts_stage_step (task->stage)->gang;
}

/**
 * bts_crash_has_starting_suspect() - whether a suspect is just starting on a worker
 * @worker: the worker
 */
gboolean
bts_crash_has_starting_suspect (const bts_worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (is_on_trial (worker->runs->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Whether a crash in the next second could hardly be told from one right after a start now: the
   worker may still delay its reply to a hold for long. */
static gboolean
replies_late (const bts_worker_t *worker, gint64 now_us)
{
  return worker->hold_in_flight && worker->hold_due_us > now_us + REPLY_DUE_MAX_US;
}

/**
 * bts_crash_may_start() - whether a task may start on a worker, beside the runs that are just
 * starting there
 * @worker: the worker
 * @task: the task
 * @now_us: the time
 *
 * Return: FALSE if the worker has crashed under the task not long before, or if the task or one of
 * these runs is a suspect, and for a suspect if the worker may delay its next reply. Members of a
 * gang may share a worker. So may a suspect that has long been blocked, unless one of the runs is a
 * suspect too.
 */
gboolean
bts_crash_may_start (const bts_worker_t *worker, const bts_task_t *task, gint64 now_us)
{
  if (now_us < again_us (worker, task) && bts_crash_is_blamed (worker, task))
    return FALSE;
  gboolean is_isolated
      = bts_crash_is_suspect (task)
        && (task->crash_blocked_us == 0 || now_us - task->crash_blocked_us < BLOCKED_MAX_US);
  if (is_isolated && replies_late (worker, now_us))
    return FALSE;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (is_same_gang (task, run))
        continue;
      if (is_on_trial (run) || (is_isolated && is_starting (run)))
        return FALSE;
    }
  return TRUE;
}

/**
 * bts_crash_on_placed() - a worker was looked for to start a task
 * @task: the task
 * @found: whether there was one
 * @now_us: the time
 */
void
bts_crash_on_placed (bts_task_t *task, gboolean found, gint64 now_us)
{
  if (found || !bts_crash_is_suspect (task))
    task->crash_blocked_us = 0;
  else if (task->crash_blocked_us == 0)
    task->crash_blocked_us = now_us;
}

/**
 * bts_crash_clear() - clear what only the owner of a term knows about a task
 * @task: the task
 *
 * A verdict that isn't in the journal is left to the next owner.
 */
void
bts_crash_clear (bts_task_t *task)
{
  task->crash_suspected = FALSE;
  task->crash_wait_us = 0;
  task->crash_blocked_us = 0;
  if (!bts_job_has_ended (task->stage->job))
    bts_blames_cap (task, BTS_CRASH_POINTS_MAX - 1);
}
