#include "libbamboothread/scheduler/place.h"

#include <string.h>

/* Scores compare as thousandths of a worker; these weigh more than any room. */
#define WEIGHT_AVOID 100000
#define WEIGHT_FAULT 10000
#define WEIGHT_OTHER_RACK 4000
/* A new ticket takes a call, in which the room may go to others. */
#define WEIGHT_OLD_TICKET 3500
#define WEIGHT_OVERDUE 3000
/* For a kind that takes twice as long as the fastest one. */
#define WEIGHT_SLOW_URGENT 8000
#define WEIGHT_SLOW_PATIENT 1500
/* A run is overdue after so many times its estimate, and this much more. */
#define OVERDUE_FACTOR 2
#define OVERDUE_US (500 * 1000)
/* Tasks may take so much longer than estimated, in percent of the estimate. */
#define ESTIMATE_PERCENT 130
/* Faults in a row beyond this don't make a worker look any worse. */
#define FAULTS_MAX 5

/**
 * bts_place_demand() - what a task takes of a worker
 * @step: its step
 *
 * A filling task works with what others leave, so its processor share isn't counted.
 */
bts_resources_t
bts_place_demand (const Bts__Step *step)
{
  bts_resources_t room = { step->fills ? 0 : step->cpu_millis, step->memory_mb, step->gpus };
  return room;
}

/**
 * bts_place_has_latency_target() - whether tasks of a step have a latency target of their own
 * @step: the step
 */
gboolean
bts_place_has_latency_target (const Bts__Step *step)
{
  return step->long_running && step->target_ms > 0;
}

static guint
count_stage (const bts_worker_t *worker, const bts_stage_t *stage)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      count += run->task != NULL && run->task->stage == stage;
    }
  return count;
}

/* Filling tasks slow down those that serve, so the two kinds are kept apart. */
static gboolean
disturbs (const bts_worker_t *worker, const Bts__Step *step)
{
  if (!step->fills && !bts_place_has_latency_target (step))
    return FALSE;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->task == NULL)
        continue;
      const Bts__Step *other = bts_stage_step (run->task->stage);
      if (step->fills ? bts_place_has_latency_target (other) : other->fills)
        return TRUE;
    }
  return FALSE;
}

static gboolean
allowed (const bts_worker_t *worker, const bts_stage_t *stage)
{
  const bts_ticket_t *ticket = bts_stage_ticket (stage, worker->entry->id);
  return ticket != NULL && ticket->ticket != NULL;
}

/**
 * bts_place_matches() - whether a worker is of the right pool and kind for a stage
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
 * bts_place_is_eligible() - whether tasks of a stage may run on a worker at all
 * @worker: the worker
 * @stage: the stage
 */
gboolean
bts_place_is_eligible (const bts_worker_t *worker, const bts_stage_t *stage)
{
  return bts_place_matches (worker, stage)
         && (!bts_stage_policy (stage)->advised || allowed (worker, stage));
}

/**
 * bts_place_check_without_advice() - whether a worker could take one more task of a stage now
 * @worker: the worker
 * @stage: the stage
 * @now_us: the time
 *
 * Doesn't look at what the advice service said.
 *
 * Return: %BTS_PLACE_OK, or the first reason against it.
 */
bts_place_result_t
bts_place_check_without_advice (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (worker->service != stage->job->service)
    return BTS_PLACE_OTHER_SERVICE;
  if (!worker->synced || !worker->registered || worker->entry->draining || worker->hold_failures > 0
      || now_us - worker->last_reply_us > BTS_WORKER_SILENCE_MAX_US
      || now_us < worker->backoff_until_us)
    return BTS_PLACE_UNAVAILABLE;
  if (step->label[0] != '\0' && !bts_worker_has_label (worker, step->label))
    return BTS_PLACE_NO_LABEL;
  bts_resources_t room = bts_place_demand (step);
  if (!bts_worker_has_room (worker, &worker->used, &room))
    return BTS_PLACE_NO_ROOM;
  if (step->per_worker_max > 0 && count_stage (worker, stage) >= step->per_worker_max)
    return BTS_PLACE_PER_WORKER_MAX;
  if (disturbs (worker, step))
    return BTS_PLACE_INTERFERES;
  return BTS_PLACE_OK;
}

/**
 * bts_place_check() - whether a worker can take one more task of a stage now
 * @worker: the worker
 * @stage: the stage
 * @now_us: the time
 *
 * Return: %BTS_PLACE_OK, or a reason against it; one about room only if nothing else
 * speaks against the worker.
 */
bts_place_result_t
bts_place_check (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  bts_place_result_t why = bts_place_check_without_advice (worker, stage, now_us);
  gboolean is_right
      = why != BTS_PLACE_OTHER_SERVICE && why != BTS_PLACE_UNAVAILABLE && why != BTS_PLACE_NO_LABEL;
  if (is_right && bts_stage_policy (stage)->advised && !allowed (worker, stage))
    return BTS_PLACE_NOT_ALLOWED;
  return why;
}

static gint64
left_share (gint64 capacity, gint64 used)
{
  return capacity == 0 ? 0 : (capacity - used) * 1000 / capacity;
}

/**
 * bts_place_count_fitting() - how many tasks of a step a worker takes
 * @worker: the worker
 * @used: what is taken of it
 * @step: the step
 */
guint
bts_place_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                         const Bts__Step *step)
{
  bts_resources_t room = bts_place_demand (step);
  guint fitting = bts_worker_count_fitting (worker, used, &room);
  return step->per_worker_max == 0 ? fitting : MIN (fitting, step->per_worker_max);
}

/**
 * bts_place_free_permille() - what stays free of a worker beside one more task of a step
 * @worker: the worker
 * @step: the step
 *
 * Return: thousandths of its GPUs if the task needs some, else of its processors.
 */
gint64
bts_place_free_permille (const bts_worker_t *worker, const Bts__Step *step)
{
  return step->gpus > 0
             ? left_share (worker->entry->gpus, worker->used.gpus + step->gpus)
             : left_share (worker->entry->cpu_millis, worker->used.cpu_millis + step->cpu_millis);
}

/* Tasks that take far longer than estimated: the worker may be slow or stand still.
   Counted once in a pass, since each task of a stage looks at all workers. */
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
                      > (gint64)step->estimate_ms * 1000 * OVERDUE_FACTOR + OVERDUE_US;
    }
  worker->overdue_pass = pass;
  worker->overdue_runs = count;
  return count;
}

/* Urgent work goes to the fastest kind, patient work leaves it free. */
static gint64
speed_score (const bts_worker_t *worker, guint priority)
{
  double beyond = worker->slowness > 1.0 ? worker->slowness - 1.0 : 0.0;
  if (priority == 0)
    return (gint64)(beyond * WEIGHT_SLOW_URGENT);
  return priority == 1 ? 0 : -(gint64)(beyond * WEIGHT_SLOW_PATIENT);
}

static gint64
score (bts_worker_t *worker, const bts_task_t *task, const Bts__Step *step, guint64 pass,
       gint64 now_us)
{
  gint64 against = bts_place_free_permille (worker, step);
  against += speed_score (worker, bts_stage_policy (task->stage)->priority);
  against += WEIGHT_OVERDUE * (gint64)MIN (count_overdue (worker, pass, now_us), FAULTS_MAX);
  if (task->avoid_worker != NULL && strcmp (task->avoid_worker, worker->entry->id) == 0)
    against += WEIGHT_AVOID;
  against += WEIGHT_FAULT * (gint64)MIN (worker->consecutive_failures, FAULTS_MAX);
  if (bts_stage_policy (task->stage)->advised
      && bts_stage_valid_ticket (task->stage, worker->entry->id, now_us) == NULL)
    against += WEIGHT_OLD_TICKET;
  if (step->rack[0] != '\0' && !bts_worker_has_label (worker, step->rack))
    against += WEIGHT_OTHER_RACK;
  return against;
}

/* Whether a task leaves the room alone that is kept on a worker: it is over before
   that room is free, or fits beside it. */
static gboolean
fits_beside (const bts_worker_t *worker, const Bts__Step *step, gint64 now_us)
{
  gint64 end_us = now_us + (gint64)step->estimate_ms * 10 * ESTIMATE_PERCENT;
  const bts_resources_t *left = &worker->backfill_resources;
  return end_us <= worker->reserved_free_us
         || (step->cpu_millis <= left->cpu_millis && step->memory_mb <= left->memory_mb
             && step->gpus <= left->gpus);
}

/**
 * bts_place_charge_reservation() - count a task that is placed beside room kept for others
 * @worker: the worker
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
 * bts_place_choose() - the worker for a task
 * @fleet: the workers
 * @task: the task
 * @pass: number of the pass over the queue, in which workers may be reserved
 * @now_us: the time
 *
 * Prefers the worker that the task fills best, so that wide tasks still find
 * whole workers; workers on which tasks failed come last.
 *
 * Return: a worker that can take it now, or NULL.
 */
bts_worker_t *
bts_place_choose (const bts_fleet_t *fleet, const bts_task_t *task, guint64 pass, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (task->stage);
  const GPtrArray *pool = bts_fleet_pool (fleet, task->stage->job->service);
  bts_resources_t room = bts_place_demand (step);
  bts_worker_t *best = NULL;
  gint64 best_score = 0;
  for (guint i = 0; i < pool->len; i++)
    {
      bts_worker_t *worker = pool->pdata[i];
      /* Room is the cheapest question, and most workers of a full pool have none. */
      if (!bts_worker_has_room (worker, &worker->used, &room)
          || (worker->reserved_pass == pass && !fits_beside (worker, step, now_us))
          || bts_place_check (worker, task->stage, now_us) != BTS_PLACE_OK)
        continue;
      gint64 found = score (worker, task, step, pass, now_us);
      if (best == NULL || found < best_score
          || (found == best_score && strcmp (worker->entry->id, best->entry->id) < 0))
        {
          best = worker;
          best_score = found;
        }
    }
  return best;
}
