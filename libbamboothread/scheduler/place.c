#include "libbamboothread/scheduler/place.h"

#include <string.h>

#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/run_slots.h"

/* Penalties are added to bts_place_free_permille(), so they are in thousandths of a worker. Each
   from PENALTY_AVOID_WORKER to PENALTY_OVERDUE_RUN outweighs any difference in free resources. */
#define PENALTY_AVOID_WORKER 100000
#define PENALTY_PROBATION 60000
#define PENALTY_FAILURE 10000
#define PENALTY_OTHER_RACK 4000
/* Getting a new ticket takes a call to the advice service; meanwhile other tasks may take
   the room. */
#define PENALTY_NO_TICKET 3500
#define PENALTY_OVERDUE_RUN 3000
/* For a worker on which tasks take twice as long as on the fastest kind; in proportion to the
   additional time for others. */
#define PENALTY_SLOW_URGENT 8000
#define BONUS_SLOW_LOW_PRIORITY 1500
/* Interference doesn't send a task to a worker that is worse in all else than free resources by
   more than this: measured speeds differ by some hundredths among equal workers. */
#define INTERFERENCE_TOLERANCE 400
/* A run is overdue after its estimate times this factor, and this margin in microseconds. */
#define OVERDUE_FACTOR 2
#define OVERDUE_MARGIN_US (500 * 1000)
/* Time that backfill allows a task, in percent of its estimate: tasks may take longer than
   estimated. */
#define BACKFILL_ESTIMATE_PERCENT 130
/* More consecutive failures or overdue runs than this don't raise the penalty further. */
#define PENALTY_COUNT_MAX 5

/**
 * bts_place_demand() - the resources that a task of a step takes
 * @step: the step
 *
 * A filling task runs on CPU time that other tasks leave idle, so its CPU share isn't counted.
 */
bts_resources_t
bts_place_demand (const Bts__Step *step)
{
  bts_resources_t demand = { step->fills ? 0 : step->cpu_millis, step->memory_mb, step->gpus };
  return demand;
}

/**
 * bts_place_has_latency_target() - whether tasks of a step serve requests with a latency target
 * @step: the step
 */
gboolean
bts_place_has_latency_target (const Bts__Step *step)
{
  return step->long_running && step->target_ms > 0;
}

/**
 * bts_place_is_of_stage() - whether a run is one of a stage
 * @run: the run
 * @stage: the stage
 */
gboolean
bts_place_is_of_stage (const bts_run_t *run, const bts_stage_t *stage)
{
  return run->task != NULL && run->task->stage == stage;
}

static guint
count_runs_of_stage (const bts_worker_t *worker, const bts_stage_t *stage)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      count += bts_place_is_of_stage (worker->runs->pdata[i], stage);
    }
  return count;
}

/**
 * bts_place_keeps_off() - whether a run keeps the tasks of a step off its worker
 * @run: the run
 * @step: the step
 *
 * Filling tasks slow down tasks with a latency target, so the two never share a worker.
 */
gboolean
bts_place_keeps_off (const bts_run_t *run, const Bts__Step *step)
{
  if (run->task == NULL)
    return FALSE;
  const Bts__Step *other = bts_stage_step (run->task->stage);
  return step->fills ? bts_place_has_latency_target (other)
                     : other->fills && bts_place_has_latency_target (step);
}

static gboolean
interferes (const bts_worker_t *worker, const Bts__Step *step)
{
  if (!step->fills && !bts_place_has_latency_target (step))
    return FALSE;
  for (guint i = 0; i < worker->runs->len; i++)
    if (bts_place_keeps_off (worker->runs->pdata[i], step))
      return TRUE;
  return FALSE;
}

/**
 * bts_place_matches() - whether a worker has the service and the label that a stage requires
 * @worker: the worker
 * @stage: the stage
 */
gboolean
bts_place_matches (const bts_worker_t *worker, const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  return worker->service == stage->job->service
         && (step->label[0] == '\0' || bts_worker_has_label (worker, step->label));
}

/**
 * bts_candidates_init() - begin to walk the workers that a stage may use
 * @candidates: the walk
 * @fleet: the workers; none may be added or removed during the walk
 * @stage: the stage; its advice must not change during the walk
 *
 * If the advice service decides about the stage, these are the few workers that it has allowed, so
 * that the cost of a walk doesn't grow with the pool.
 */
void
bts_candidates_init (bts_candidates_t *candidates, const bts_fleet_t *fleet,
                     const bts_stage_t *stage)
{
  candidates->fleet = fleet;
  candidates->stage = stage;
  candidates->pool
      = bts_stage_policy (stage)->advised ? NULL : bts_fleet_pool (fleet, stage->job->service);
  candidates->next = 0;
  candidates->n_examined = 0;
}

/**
 * bts_candidates_next() - the next worker that a stage may use
 * @candidates: the walk
 *
 * Return: a worker that matches the stage and was allowed for it, or NULL at the end.
 */
bts_worker_t *
bts_candidates_next (bts_candidates_t *candidates)
{
  const bts_advice_t *advice = candidates->stage->advice;
  guint n = candidates->pool != NULL ? candidates->pool->len
            : advice != NULL         ? advice->allowed->len
                                     : 0;
  while (candidates->next < n)
    {
      guint i = candidates->next++;
      bts_worker_t *worker
          = candidates->pool != NULL
                ? candidates->pool->pdata[i]
                : bts_fleet_worker (candidates->fleet,
                                    g_array_index (advice->allowed, bts_ticket_t, i).worker);
      candidates->n_examined++;
      if (worker != NULL && bts_place_matches (worker, candidates->stage))
        return worker;
    }
  bt_metrics_add (BT_COUNT_CANDIDATES, candidates->n_examined);
  return NULL;
}

static gint64
part_of (gint64 capacity, guint parts)
{
  return (capacity * parts + BTS_PROBATION_PARTS - 1) / BTS_PROBATION_PARTS;
}

/**
 * bts_place_has_restored_room() - whether a demand fits into the part of a worker's capacity that
 * may be used after crashes
 * @worker: the worker
 * @used: resources in use on it
 * @demand: the resources needed in addition
 * @now_us: the current time
 */
gboolean
bts_place_has_restored_room (const bts_worker_t *worker, const bts_resources_t *used,
                             const bts_resources_t *demand, gint64 now_us)
{
  guint parts = bts_probation_parts (worker->probation, now_us);
  if (parts == BTS_PROBATION_PARTS)
    return TRUE;
  bts_resources_t capacity = bts_worker_capacity (worker);
  return used->cpu_millis + demand->cpu_millis <= part_of (capacity.cpu_millis, parts)
         && used->memory_mb + demand->memory_mb <= part_of (capacity.memory_mb, parts)
         && used->gpus + demand->gpus <= part_of (capacity.gpus, parts);
}

/**
 * bts_place_availability() - whether a worker takes tasks at all
 * @worker: the worker
 * @now_us: the current time
 *
 * Return: %BTS_AVAILABLE, or the first reason found why it doesn't.
 */
bts_availability_t
bts_place_availability (const bts_worker_t *worker, gint64 now_us)
{
  if (!worker->synced)
    return BTS_AVAILABLE_NOT_LISTED;
  if (!worker->held)
    return BTS_AVAILABLE_NOT_HELD;
  if (!bts_worker_has_current_entry (worker))
    return BTS_AVAILABLE_NO_ENTRY;
  if (worker->entry->draining)
    return BTS_AVAILABLE_DRAINING;
  if (worker->hold_failures > 0 || now_us - worker->last_reply_us > BTS_WORKER_SILENCE_MAX_US)
    return BTS_AVAILABLE_SILENT;
  return now_us < worker->backoff_until_us ? BTS_AVAILABLE_BACKOFF : BTS_AVAILABLE;
}

/**
 * bts_place_check() - whether a worker can take one more task of a stage now, if the advice
 * service allows it
 * @worker: the worker
 * @stage: the stage
 * @now_us: the current time
 *
 * Return: %BTS_PLACE_OK, or the first reason found against the worker. %BTS_PLACE_NO_ROOM,
 * %BTS_PLACE_NO_SLOT, %BTS_PLACE_PER_WORKER_MAX and %BTS_PLACE_INTERFERES are returned only if the
 * worker is available and matches the stage.
 */
bts_place_result_t
bts_place_check (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (worker->service != stage->job->service)
    return BTS_PLACE_OTHER_SERVICE;
  if (bts_place_availability (worker, now_us) != BTS_AVAILABLE)
    return BTS_PLACE_UNAVAILABLE;
  if (step->label[0] != '\0' && !bts_worker_has_label (worker, step->label))
    return BTS_PLACE_NO_LABEL;
  if (step->per_worker_max > 0 && count_runs_of_stage (worker, stage) >= step->per_worker_max)
    return BTS_PLACE_PER_WORKER_MAX;
  bts_resources_t demand = bts_place_demand (step);
  if (!bts_worker_has_room (worker, &worker->used, &demand))
    return BTS_PLACE_NO_ROOM;
  if (bts_run_slots_count (worker, stage, 0, 1) == 0)
    return BTS_PLACE_NO_SLOT;
  if (!bts_place_has_restored_room (worker, &worker->used, &demand, now_us))
    return BTS_PLACE_ON_PROBATION;
  if (interferes (worker, step))
    return BTS_PLACE_INTERFERES;
  return BTS_PLACE_OK;
}

static gint64
free_permille (gint64 capacity, gint64 used)
{
  return capacity == 0 ? 0 : (capacity - used) * 1000 / capacity;
}

/**
 * bts_place_count_fitting() - how many tasks of a step fit on a worker
 * @worker: the worker
 * @used: resources in use on it
 * @step: the step
 */
guint
bts_place_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                         const Bts__Step *step)
{
  bts_resources_t demand = bts_place_demand (step);
  guint fitting = bts_worker_count_fitting (worker, used, &demand);
  return step->per_worker_max == 0 ? fitting : MIN (fitting, step->per_worker_max);
}

/**
 * bts_place_count_startable() - how many more tasks of a stage may run on a worker
 * @worker: the worker
 * @used: resources in use on it
 * @n_leaving: runs on it that are about to end, and whose resources aren't in @used
 * @stage: the stage, some tasks of which may run there
 */
guint
bts_place_count_startable (const bts_worker_t *worker, const bts_resources_t *used, guint n_leaving,
                           const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  guint fitting = bts_place_count_fitting (worker, used, step);
  if (step->per_worker_max > 0)
    fitting = MIN (fitting, step->per_worker_max
                                - MIN (step->per_worker_max, count_runs_of_stage (worker, stage)));
  return fitting == 0 ? 0 : bts_run_slots_count (worker, stage, n_leaving, fitting);
}

/**
 * bts_place_may_fit() - whether the workers that a stage may use have room for some of its tasks
 * @fleet: the workers
 * @stage: the stage
 * @n_tasks: number of the tasks, which have to fit at once
 * @now_us: the current time
 *
 * Costs far less than to place the tasks one by one. Reservations and tickets aren't looked at.
 */
gboolean
bts_place_may_fit (const bts_fleet_t *fleet, const bts_stage_t *stage, guint n_tasks, gint64 now_us)
{
  guint n = 0;
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    if (bts_place_check (worker, stage, now_us) == BTS_PLACE_OK)
      n += MIN (bts_place_count_startable (worker, &worker->used, 0, stage), n_tasks - n);
  return n >= n_tasks;
}

/**
 * bts_place_free_permille() - share of a worker that stays free after one more task
 * @worker: the worker
 * @step: the step of the task
 *
 * Return: the share in thousandths, of its GPUs if the task needs any, otherwise of its CPUs.
 */
gint64
bts_place_free_permille (const bts_worker_t *worker, const Bts__Step *step)
{
  return step->gpus > 0 ? free_permille (worker->entry->gpus, worker->used.gpus + step->gpus)
                        : free_permille (worker->entry->cpu_millis,
                                         worker->used.cpu_millis + step->cpu_millis);
}

/* Counts the runs that take far longer than estimated: the worker may be slow or stalled.
   Cached for the pass, since the placement of each task examines all workers. */
static guint
count_overdue (bts_worker_t *worker, guint64 pass, gint64 now_us)
{
  if (worker->overdue_pass == pass)
    return worker->overdue_runs;
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      const Bts__Step *step = run->task == NULL ? NULL : bts_stage_step (run->task->stage);
      count += step != NULL && !step->long_running && run->state == BTS_RUN_RUNNING
               && now_us - run->created_us
                      > (gint64)step->estimate_ms * 1000 * OVERDUE_FACTOR + OVERDUE_MARGIN_US;
    }
  worker->overdue_pass = pass;
  worker->overdue_runs = count;
  return count;
}

/* Steers urgent work to the fastest kind of worker and low-priority work away from it. */
static gint64
speed_penalty (const bts_worker_t *worker, guint priority)
{
  double excess = worker->slowness > 1.0 ? worker->slowness - 1.0 : 0.0;
  if (priority == 0)
    return (gint64)(excess * PENALTY_SLOW_URGENT);
  return priority == 1 ? 0 : -(gint64)(excess * BONUS_SLOW_LOW_PRIORITY);
}

/* What speaks against a worker, but for the free resources that it has. */
static gint64
placement_penalty (bts_worker_t *worker, const bts_task_t *task, const Bts__Step *step,
                   guint64 pass, gint64 now_us)
{
  gint64 penalty = speed_penalty (worker, bts_stage_policy (task->stage)->priority);
  penalty += PENALTY_OVERDUE_RUN
             * (gint64)MIN (count_overdue (worker, pass, now_us), PENALTY_COUNT_MAX);
  if ((task->avoid_worker != NULL && strcmp (task->avoid_worker, worker->entry->id) == 0)
      || bts_crash_is_blamed (worker, task))
    penalty += PENALTY_AVOID_WORKER;
  if (bts_probation_is_active (worker->probation, now_us))
    penalty += PENALTY_PROBATION;
  penalty += PENALTY_FAILURE * (gint64)MIN (worker->consecutive_failures, PENALTY_COUNT_MAX);
  if (bts_stage_policy (task->stage)->advised
      && bts_stage_valid_ticket (task->stage, worker->number, now_us) == NULL)
    penalty += PENALTY_NO_TICKET;
  if (step->rack[0] != '\0' && !bts_worker_has_label (worker, step->rack))
    penalty += PENALTY_OTHER_RACK;
  return penalty;
}

/* Whether a task may backfill a worker with a reservation: it ends before the reserved
   resources are free, or fits beside the reservation. */
static gboolean
can_backfill (const bts_worker_t *worker, const Bts__Step *step, gint64 now_us)
{
  gint64 end_us = now_us + (gint64)step->estimate_ms * 10 * BACKFILL_ESTIMATE_PERCENT;
  const bts_resources_t *available = &worker->backfill_resources;
  return end_us <= worker->reserved_free_us
         || (step->cpu_millis <= available->cpu_millis && step->memory_mb <= available->memory_mb
             && step->gpus <= available->gpus);
}

/**
 * bts_place_is_reserved() - whether a worker is reserved for another stage against a step
 * @worker: the worker
 * @step: the step
 * @pass: number of the pass over the queue; only reservations of this pass count
 * @now_us: the current time
 */
gboolean
bts_place_is_reserved (const bts_worker_t *worker, const Bts__Step *step, guint64 pass,
                       gint64 now_us)
{
  return worker->reserved_pass == pass && !can_backfill (worker, step, now_us);
}

/**
 * bts_place_charge_reservation() - take the resources of a backfilled task from what backfill may
 * use
 * @worker: the worker; nothing is changed if it has no reservation in this pass
 * @step: the step of the task
 * @pass: number of the pass over the queue
 */
void
bts_place_charge_reservation (bts_worker_t *worker, const Bts__Step *step, guint64 pass)
{
  if (worker->reserved_pass != pass)
    return;
  worker->backfill_resources.cpu_millis -= step->cpu_millis;
  worker->backfill_resources.memory_mb -= step->memory_mb;
  worker->backfill_resources.gpus -= step->gpus;
}

/**
 * struct choice_t - the best worker found so far
 * @worker: the worker; NULL if there is none yet
 * @penalty: what speaks against it, but for its free resources
 * @total: the same with them
 */
typedef struct
{
  bts_worker_t *worker;
  gint64 penalty;
  gint64 total;
} choice_t;

static gboolean
is_better (const choice_t *left, const choice_t *right)
{
  if (left->worker == NULL || right->worker == NULL)
    return left->worker != NULL;
  if (left->total != right->total)
    return left->total < right->total;
  return strcmp (left->worker->entry->id, right->worker->entry->id) < 0;
}

/* Chooses among the best workers of each kind of conflict. Interference ranks behind all else but
   free resources. */
static bts_worker_t *
choose_apart (const choice_t choices[])
{
  guint best = BTS_INTERFERENCE_NO_CONFLICT;
  for (guint i = best + 1; i < BTS_INTERFERENCE_N_CONFLICTS; i++)
    if (is_better (&choices[i], &choices[best]))
      best = i;
  if (best == BTS_INTERFERENCE_NO_CONFLICT)
    return choices[best].worker;
  guint chosen = BTS_INTERFERENCE_NO_CONFLICT;
  while (chosen < best
         && (choices[chosen].worker == NULL
             || choices[chosen].penalty > choices[best].penalty + INTERFERENCE_TOLERANCE))
    chosen++;
  if (best == BTS_INTERFERENCE_FOUND)
    bt_metrics_count (chosen == best ? BT_COUNT_PLACED_BESIDE : BT_COUNT_PLACED_APART);
  return choices[chosen].worker;
}

/**
 * bts_place_choose() - choose the worker for a task
 * @fleet: the workers
 * @task: the task
 * @pass: number of the pass over the queue; only reservations of this pass count
 * @now_us: the current time
 *
 * Best fit: prefers the worker with the least left free, so that large tasks still find
 * whole workers. Workers whose newest runs failed, those on probation, and those on which the task
 * failed last or that have crashed under it, rank far behind the others. Among workers that are as
 * good otherwise, those without a run that slows the task down, or that it slows down, are
 * preferred.
 *
 * Return: a worker that can take the task now, or NULL.
 */
bts_worker_t *
bts_place_choose (const bts_fleet_t *fleet, const bts_task_t *task, guint64 pass, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (task->stage);
  bts_resources_t demand = bts_place_demand (step);
  guint class_number = bts_interference_class (fleet->interference, task->stage);
  choice_t choices[BTS_INTERFERENCE_N_CONFLICTS] = { 0 };
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, fleet, task->stage);
  bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      /* The check for room is the cheapest one and rules out most workers of a full pool. */
      if (!bts_worker_has_room (worker, &worker->used, &demand)
          || bts_place_is_reserved (worker, step, pass, now_us)
          || bts_place_check (worker, task->stage, now_us) != BTS_PLACE_OK
          || !bts_crash_may_start (worker, task, now_us))
        continue;
      choice_t choice = { worker, placement_penalty (worker, task, step, pass, now_us), 0 };
      choice.total = choice.penalty + bts_place_free_permille (worker, step);
      choice_t *best
          = &choices[bts_interference_conflict (fleet->interference, class_number, worker)];
      if (is_better (&choice, best))
        *best = choice;
    }
  return choose_apart (choices);
}
