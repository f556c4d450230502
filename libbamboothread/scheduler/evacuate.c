#include "libbamboothread/scheduler/evacuate.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/sched_private.h"
#include "libbamboothread/scheduler/start.h"

/*
 * A run that lasts ends when its worker leaves, so it is stopped before, as soon as another worker
 * has room and a valid ticket for its task. Which tasks move follows from entries and runs; all
 * that is kept beside these is for which of them room is kept, which the next owner can do without.
 */

/* Interval between two looks at the workers that drain, in microseconds. */
#define INTERVAL_US (100 * 1000)
/* While no worker has room, runs on other workers are stopped for a task once its own one may leave
   within this time, in microseconds: enough to stop them, get tickets and move the task, twice. */
#define PREEMPT_LEAD_US (8000 * 1000)
/* Remaining validity that the ticket for a worker needs before a run is stopped, in microseconds:
   the end of the run has to be in the journal before the task starts there. */
#define TICKET_VALIDITY_MIN_US (700 * 1000)
/* How long room is kept for a task whose run goes on meanwhile, in microseconds: until other runs
   have stopped, or a call for tickets is answered. */
#define KEEP_BEFORE_STOP_US (1500 * 1000)
/* How long room is kept for a task from the stop of its run, in microseconds: a stop takes up to a
   second, and the ticket may have to be renewed after it. */
#define KEEP_AFTER_STOP_US (3000 * 1000)
/* No run is stopped if this owner hasn't read back a heartbeat of its own for so long, in
   microseconds: the end of a run has to be in the journal before its task starts elsewhere. */
#define CONFIRMED_AGE_MAX_US (1000 * 1000)
/* Most tasks for which one look has room made. Each of them costs a walk of the workers that its
   step may use, and of their runs. */
#define ROOM_MADE_MAX 16
/* Most tasks for which room is kept at once; bounds the time of a look. */
#define MOVES_MAX 256

/**
 * struct move_t - a task for which room is kept on another worker
 * @name: name of the task
 * @run: number of its run on the worker that drains
 * @target_number: number of the worker with the room
 * @demand: the room that is kept
 * @until_us: how long it is kept
 * @task: the task; set by prune(), as jobs and workers may be removed later
 * @target: the worker with the room; set by prune()
 */
typedef struct
{
  char *name;
  guint run;
  guint target_number;
  bts_resources_t demand;
  gint64 until_us;
  const bts_task_t *task;
  bts_worker_t *target;
} move_t;

/**
 * struct bts_evacuation_t - state of the evacuation
 * @moves: name of a task to its move_t
 * @asking: names of tasks that lack advice or tickets, one of each stage, as of the last look
 * @next_us: when to look at the workers that drain again
 * @reserved_pass: pass over the queue in which room is kept from other stages
 */
struct bts_evacuation_t
{
  GHashTable *moves;
  GPtrArray *asking;
  gint64 next_us;
  guint64 reserved_pass;
};

typedef void (*account_f) (bts_resources_t *used, const bts_resources_t *demand);

/**
 * struct look_t - one look at the workers that drain
 * @full: stages for which no worker has room
 * @stuck: stages for which no room can be made either
 * @asked: stages that lack advice or tickets
 * @n_made: number of tasks for which it has had room made
 */
typedef struct
{
  gint64 now_us;
  GHashTable *full;
  GHashTable *stuck;
  GHashTable *asked;
  guint n_made;
} look_t;

static void
move_free (gpointer data)
{
  move_t *move = data;
  g_free (move->name);
  g_free (move);
}

bts_evacuation_t *
bts_evacuation_new (void)
{
  bts_evacuation_t *evacuation = g_new0 (bts_evacuation_t, 1);
  evacuation->moves = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, move_free);
  evacuation->asking = g_ptr_array_new_with_free_func (g_free);
  return evacuation;
}

void
bts_evacuation_free (bts_evacuation_t *evacuation)
{
  g_hash_table_unref (evacuation->moves);
  g_ptr_array_unref (evacuation->asking);
  g_free (evacuation);
}

/**
 * bts_evacuation_clear() - forget for which tasks room is kept
 * @evacuation: that of a scheduler whose term ends
 */
void
bts_evacuation_clear (bts_evacuation_t *evacuation)
{
  g_hash_table_remove_all (evacuation->moves);
  g_ptr_array_set_size (evacuation->asking, 0);
  evacuation->next_us = 0;
}

/**
 * bts_evacuate_on_entry() - note when a worker may leave
 * @worker: the worker, with the entry that was just read
 * @change: what has changed in the entry
 * @now_us: the current time
 *
 * To be called outside terms as well: an entry that is read again says the same time left, although
 * some of it has passed.
 */
void
bts_evacuate_on_entry (bts_worker_t *worker, bts_entry_change_t change, gint64 now_us)
{
  gint64 leaves_us = now_us + worker->entry->remaining_ms * 1000;
  if (!worker->entry->draining)
    worker->leaves_us = 0;
  else if (worker->leaves_us == 0 || change == BTS_ENTRY_RESTARTED)
    worker->leaves_us = leaves_us;
  else
    worker->leaves_us = MIN (worker->leaves_us, leaves_us);
}

/* Whether room is kept on for a task: its run is still there, or it hasn't started again since, and
   the worker takes tasks. */
static gboolean
is_needed (const move_t *move, gint64 now_us)
{
  return now_us < move->until_us && move->task != NULL
         && !bts_job_has_ended (move->task->stage->job)
         && (move->task->run == NULL || move->task->run->number == move->run)
         && move->target != NULL && bts_place_availability (move->target, now_us) == BTS_AVAILABLE;
}

/* Removes the moves that are over, and finds tasks and workers of the others. */
static void
prune (bts_sched_t *sched, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->evacuation->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      move_t *move = value;
      move->task = bts_sched_find_task (sched, move->name);
      move->target = bts_fleet_worker (sched->fleet, move->target_number);
      if (!is_needed (move, now_us))
        g_hash_table_iter_remove (&iter);
    }
}

/* Charges the room that is kept to the workers, or takes that back. */
static void
account_moves (const bts_evacuation_t *evacuation, account_f account)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuation->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const move_t *move = value;
      account (&move->target->used, &move->demand);
    }
}

/* Whether a task of a stage can't be beside that of a move, although there is room. Runs alone are
   counted in placement, so a step with a limit for each worker gets one move at a time there. */
static gboolean
is_apart (const move_t *move, const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  const Bts__Step *other = bts_stage_step (move->task->stage);
  return (move->task->stage == stage && step->per_worker_max > 0)
         || (step->fills && bts_place_has_latency_target (other))
         || (other->fills && bts_place_has_latency_target (step));
}

/* Makes the workers seem full on which a task of a stage can't be beside that of a move, or takes
   that back. */
static void
account_conflicts (const bts_evacuation_t *evacuation, const bts_stage_t *stage, account_f account)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (step->per_worker_max == 0 && !step->fills && !bts_place_has_latency_target (step))
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuation->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const move_t *move = value;
      bts_resources_t capacity = bts_worker_capacity (move->target);
      if (is_apart (move, stage))
        account (&move->target->used, &capacity);
    }
}

/* Keeps room for the task of a run. */
static void
keep_room (bts_evacuation_t *evacuation, const bts_run_t *run, bts_worker_t *target,
           gint64 until_us)
{
  move_t *move = g_new0 (move_t, 1);
  move->name = g_strdup (run->name);
  move->run = run->number;
  move->target_number = target->number;
  move->demand = bts_place_demand (bts_stage_step (run->task->stage));
  move->until_us = until_us;
  move->task = run->task;
  move->target = target;
  bts_resources_add (&target->used, &move->demand);
  g_hash_table_replace (evacuation->moves, move->name, move);
}

/* Gives up the room that is kept for the task of a run. Returns the worker that had it, or NULL. */
static bts_worker_t *
release_room (bts_evacuation_t *evacuation, const bts_run_t *run)
{
  const move_t *move = g_hash_table_lookup (evacuation->moves, run->name);
  if (move == NULL)
    return NULL;
  bts_worker_t *target = move->target;
  bts_resources_subtract (&target->used, &move->demand);
  g_hash_table_remove (evacuation->moves, run->name);
  return target;
}

static gboolean
has_ticket (const bts_stage_t *stage, const bts_worker_t *worker, gint64 now_us)
{
  return !bts_stage_policy (stage)->advised
         || bts_stage_valid_ticket (stage, worker->number, now_us + TICKET_VALIDITY_MIN_US) != NULL;
}

/* Whether a worker is about to leave and answers, so that what runs on it can be moved. */
static gboolean
is_leaving (const bts_worker_t *worker)
{
  return bts_worker_has_current_entry (worker) && worker->synced && !worker->replaced
         && worker->hold_failures == 0;
}

/* Whether the task of a run on a worker that drains could be started again at once. */
static gboolean
is_movable (const bts_sched_t *sched, const bts_run_t *run, gint64 now_us)
{
  if (run->task == NULL || run->state != BTS_RUN_RUNNING || run->start_in_flight)
    return FALSE;
  const bts_stage_t *stage = run->task->stage;
  const Bts__Step *step = bts_stage_step (stage);
  return step->long_running && !step->gang && !bts_job_has_ended (stage->job)
         && bts_job_has_spec (stage->job) && now_us >= stage->backoff_until_us
         && !bts_start_has_to_wait (sched, run->task, now_us);
}

/* Whether it is known which workers a stage may use; if not, that is requested. */
static gboolean
has_advice (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  return bts_advice_ensure (sched, stage, now_us) || stage->advice != NULL;
}

/* Has the next passes request what the task of a run lacks, if no process is free to ask now. */
static void
note_asking (bts_sched_t *sched, look_t *look, const bts_run_t *run)
{
  if (g_hash_table_add (look->asked, run->task->stage))
    g_ptr_array_add (sched->evacuation->asking, g_strdup (run->name));
}

/* The worker to which the task of a run can move now, or NULL. Reservations of the pass that is
   over don't count, as for a task that lasts and is pending. */
static bts_worker_t *
choose_worker (bts_sched_t *sched, const bts_run_t *run, gint64 now_us)
{
  const bts_stage_t *stage = run->task->stage;
  account_conflicts (sched->evacuation, stage, bts_resources_add);
  bts_worker_t *worker = bts_place_choose (sched->fleet, run->task, sched->pass_number + 1, now_us);
  account_conflicts (sched->evacuation, stage, bts_resources_subtract);
  return worker;
}

/* Has room made for the task of a run. */
static void
make_room (bts_sched_t *sched, look_t *look, const bts_run_t *run)
{
  bts_stage_t *stage = run->task->stage;
  if (run->worker->leaves_us - look->now_us > PREEMPT_LEAD_US || look->n_made >= ROOM_MADE_MAX
      || g_hash_table_contains (look->stuck, stage))
    return;
  look->n_made++;
  account_conflicts (sched->evacuation, stage, bts_resources_add);
  bts_worker_t *target = bts_preempt_for_move (sched, stage, look->now_us);
  account_conflicts (sched->evacuation, stage, bts_resources_subtract);
  if (target == NULL)
    {
      g_hash_table_add (look->stuck, stage);
      return;
    }
  keep_room (sched->evacuation, run, target, look->now_us + KEEP_BEFORE_STOP_US);
  if (has_ticket (stage, target, look->now_us))
    return;
  note_asking (sched, look, run);
  bts_advice_renew (sched, stage, look->now_us, look->now_us);
}

static void
stop_to_move (bts_sched_t *sched, bts_run_t *run, const bts_worker_t *target, gint64 now_us)
{
  run->stop_reason = BTS_STOP_EVACUATED;
  bt_log (BT_LOG_INFO, "evacuate", "task=%s run=%u worker=%s to=%s left_ms=%" G_GINT64_FORMAT,
          run->name, run->number, run->worker->entry->id, target->entry->id,
          (run->worker->leaves_us - now_us) / 1000);
  bts_run_stop (sched, run);
}

/* Stops a run if its task can start elsewhere; otherwise requests what it lacks for that. */
static void
move_run (bts_sched_t *sched, look_t *look, bts_run_t *run)
{
  bts_evacuation_t *evacuation = sched->evacuation;
  bts_stage_t *stage = run->task->stage;
  gint64 now_us = look->now_us;
  if (!has_advice (sched, stage, now_us))
    {
      note_asking (sched, look, run);
      return;
    }
  const move_t *move = g_hash_table_lookup (evacuation->moves, run->name);
  gint64 until_us = move == NULL ? 0 : move->until_us;
  if (move == NULL && g_hash_table_size (evacuation->moves) >= MOVES_MAX)
    return;
  bts_worker_t *target = release_room (evacuation, run);
  bts_worker_t *worker = target == NULL && g_hash_table_contains (look->full, stage)
                             ? NULL
                             : choose_worker (sched, run, now_us);
  if (worker != NULL && has_ticket (stage, worker, now_us))
    {
      keep_room (evacuation, run, worker, now_us + KEEP_AFTER_STOP_US);
      stop_to_move (sched, run, worker, now_us);
    }
  else if (worker != NULL)
    {
      note_asking (sched, look, run);
      /* First, so that the worker counts as one with room. */
      bts_advice_renew (sched, stage, now_us, now_us);
      keep_room (evacuation, run, worker, now_us + KEEP_BEFORE_STOP_US);
    }
  else
    {
      /* A suspect may find none although others do. */
      if (!bts_crash_is_suspect (run->task))
        g_hash_table_add (look->full, stage);
      bts_advice_extend (sched, stage, now_us);
      if (target != NULL)
        keep_room (evacuation, run, target, until_us);
      else
        make_room (sched, look, run);
    }
}

static gint
compare_leaving (gconstpointer a, gconstpointer b)
{
  const bts_worker_t *left = *(bts_worker_t *const *)a;
  const bts_worker_t *right = *(bts_worker_t *const *)b;
  return left->leaves_us < right->leaves_us ? -1 : left->leaves_us > right->leaves_us;
}

static void
move_runs (bts_sched_t *sched, look_t *look)
{
  GPtrArray *draining = sched->fleet->draining;
  g_ptr_array_sort (draining, compare_leaving);
  for (guint w = 0; w < draining->len; w++)
    {
      bts_worker_t *worker = draining->pdata[w];
      for (guint i = 0; i < worker->runs->len && is_leaving (worker); i++)
        if (is_movable (sched, worker->runs->pdata[i], look->now_us))
          move_run (sched, look, worker->runs->pdata[i]);
    }
}

/**
 * bts_evacuate_tick() - move long-running tasks off workers that drain
 * @sched: a leading scheduler
 *
 * Room that is kept counts as used only while this looks for more; passes over the queue keep it by
 * bts_evacuate_reserve().
 */
void
bts_evacuate_tick (bts_sched_t *sched)
{
  bts_evacuation_t *evacuation = sched->evacuation;
  gint64 now_us = bts_sched_now (sched);
  bts_sched_view_t view;
  if (sched->fleet->draining->len == 0 || now_us < evacuation->next_us
      || !bts_sched_view (sched, &view) || view.paused != NULL
      || now_us - bts_sched_confirmed_us (sched) > CONFIRMED_AGE_MAX_US)
    return;
  evacuation->next_us = now_us + INTERVAL_US;
  prune (sched, now_us);
  g_ptr_array_set_size (evacuation->asking, 0);
  look_t look = { now_us, g_hash_table_new (NULL, NULL), g_hash_table_new (NULL, NULL),
                  g_hash_table_new (NULL, NULL), 0 };
  account_moves (evacuation, bts_resources_add);
  move_runs (sched, &look);
  account_moves (evacuation, bts_resources_subtract);
  g_hash_table_unref (look.full);
  g_hash_table_unref (look.stuck);
  g_hash_table_unref (look.asked);
}

/* Requests what a task still lacks. */
static void
request_for_task (bts_sched_t *sched, const char *name, gint64 now_us)
{
  const bts_task_t *task = bts_sched_find_task (sched, name);
  if (task == NULL || task->run == NULL || task->run->state != BTS_RUN_RUNNING
      || bts_job_has_ended (task->stage->job))
    return;
  const move_t *move = g_hash_table_lookup (sched->evacuation->moves, name);
  if (has_advice (sched, task->stage, now_us) && move != NULL
      && !has_ticket (task->stage, move->target, now_us))
    bts_advice_renew (sched, task->stage, now_us, now_us);
}

/**
 * bts_evacuate_request() - request advice and tickets before the stages in the queue do
 * @sched: a leading scheduler
 * @now_us: the current time
 *
 * To be called at the beginning of a pass. Otherwise the queue, which is served as soon as a
 * process is free to call the advice service, would leave none for the next look.
 */
void
bts_evacuate_request (bts_sched_t *sched, gint64 now_us)
{
  bts_evacuation_t *evacuation = sched->evacuation;
  if (evacuation->asking->len == 0)
    return;
  prune (sched, now_us);
  account_moves (evacuation, bts_resources_add);
  for (guint i = 0; i < evacuation->asking->len; i++)
    request_for_task (sched, evacuation->asking->pdata[i], now_us);
  account_moves (evacuation, bts_resources_subtract);
}

/**
 * bts_evacuate_target() - the worker on which room is kept for a pending task
 * @sched: a leading scheduler
 * @task: the task
 * @name: its name
 * @now_us: the current time
 *
 * Return: the worker if the task can start there now, or NULL. On another one the task could take
 * the room that is kept for a task that moves later.
 */
bts_worker_t *
bts_evacuate_target (const bts_sched_t *sched, const bts_task_t *task, const char *name,
                     gint64 now_us)
{
  const move_t *move = g_hash_table_lookup (sched->evacuation->moves, name);
  bts_worker_t *worker = move == NULL ? NULL : bts_fleet_worker (sched->fleet, move->target_number);
  const bts_stage_t *stage = task->stage;
  if (worker == NULL || bts_place_check (worker, stage, now_us) != BTS_PLACE_OK
      || bts_place_is_reserved (worker, bts_stage_step (stage), sched->pass_number, now_us)
      || !bts_crash_may_start (worker, task, now_us)
      || (bts_stage_policy (stage)->advised
          && bts_stage_valid_ticket (stage, worker->number, now_us) == NULL))
    return NULL;
  return worker;
}

/**
 * bts_evacuate_reserve() - keep room for tasks that move for the rest of a pass over the queue
 * @sched: a leading scheduler
 * @now_us: the current time
 *
 * To be called after the long-running stages, which start those of the tasks that have ended.
 */
void
bts_evacuate_reserve (bts_sched_t *sched, gint64 now_us)
{
  bts_evacuation_t *evacuation = sched->evacuation;
  guint64 pass = sched->pass_number;
  if (g_hash_table_size (evacuation->moves) == 0 || evacuation->reserved_pass == pass)
    return;
  evacuation->reserved_pass = pass;
  prune (sched, now_us);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuation->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const move_t *move = value;
      bts_worker_t *worker = move->target;
      if (worker->reserved_pass != pass)
        {
          worker->reserved_pass = pass;
          /* No task is short enough to end before the room is needed. */
          worker->reserved_free_us = 0;
          worker->backfill_resources = bts_worker_capacity (worker);
          bts_resources_subtract (&worker->backfill_resources, &worker->used);
        }
      bts_place_charge_reservation (worker, bts_stage_step (move->task->stage), pass);
    }
}
