#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/place.h"

/*
 * Room by stopping less urgent runs. Tasks that are to be kept up get it at any
 * price. Gangs, for which whole workers would stand idle until the last one is free,
 * and urgent work get it from runs that save their work: a stop saves as well, so
 * that it costs no more than a restart from the checkpoint.
 */

/* Time that a task that is to be kept up waits for room of itself, in microseconds;
   well below the three seconds after which it counts as left down. */
#define PATIENCE_US (700 * 1000)
/* Time between two rounds for one stage: a stop has to end and be listed. */
#define SPACING_US (1500 * 1000)

/* Time between two rounds for a stage whose tasks end by themselves, in microseconds: a
   stop takes up to a second. */
#define SAVED_SPACING_US (1000 * 1000)
/* Time that a gang waits for room of itself, in microseconds. */
#define GANG_PATIENCE_US (300 * 1000)
/* Validity that tickets need to have left when room is made, in microseconds: the stops
   have to end first. */
#define TICKETS_LEFT_US (700 * 1000)

static gboolean
may_stop (const bts_run_t *run)
{
  if (run->task == NULL || run->state != BTS_RUN_RUNNING)
    return FALSE;
  const Bts__Step *step = bts_stage_step (run->task->stage);
  return !step->long_running && !step->gang;
}

/* Core-milliseconds of work that a stop throws away, about. */
static gint64
loss (const bts_run_t *run, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (run->task->stage);
  gint64 ran_ms = (now_us - run->created_us) / 1000;
  if (step->checkpoints && run->task->checkpoint != NULL)
    ran_ms = MIN (ran_ms, 1000);
  return ran_ms * step->cpu_millis / 1000;
}

static gboolean
enough (const bts_worker_t *worker, const bts_resources_t *freed, const bts_resources_t *room)
{
  bts_resources_t used = worker->used;
  bts_resources_subtract (&used, freed);
  return bts_worker_has_room (worker, &used, room);
}

static gint
compare_loss (gconstpointer a, gconstpointer b, gpointer context)
{
  const gint64 *now_us = context;
  gint64 left = loss (*(bts_run_t *const *)a, *now_us);
  gint64 right = loss (*(bts_run_t *const *)b, *now_us);
  return left < right ? -1 : left > right;
}

/* The runs to stop on a worker so that a task fits, or NULL if that isn't possible. */
static GPtrArray *
find_victims (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us, gint64 *cost)
{
  const Bts__Step *step = bts_stage_step (stage);
  bts_resources_t room = bts_place_demand (step);
  bts_resources_t freed = { 0 };
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  GPtrArray *victims = g_ptr_array_new ();
  *cost = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (!may_stop (run))
        continue;
      /* Filling tasks would disturb what serves its own users. */
      gboolean must
          = bts_place_has_latency_target (step) && bts_stage_step (run->task->stage)->fills;
      g_ptr_array_add (must ? victims : runs, run);
      if (!must)
        continue;
      bts_resources_add (&freed, &run->resources);
      *cost += loss (run, now_us);
    }
  g_ptr_array_sort_with_data (runs, compare_loss, &now_us);
  for (guint i = 0; i < runs->len && !enough (worker, &freed, &room); i++)
    {
      bts_run_t *run = runs->pdata[i];
      g_ptr_array_add (victims, run);
      bts_resources_add (&freed, &run->resources);
      *cost += loss (run, now_us);
    }
  if (victims->len > 0 && enough (worker, &freed, &room))
    return victims;
  g_ptr_array_unref (victims);
  return NULL;
}

/* What is used of a worker once the stops on their way have ended. */
static bts_resources_t
used_after_stops (const bts_worker_t *worker)
{
  bts_resources_t used = worker->used;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->state == BTS_RUN_STOPPING)
        bts_resources_subtract (&used, &run->resources);
    }
  return used;
}

/* Whether room that is being freed on a worker already suffices. */
static gboolean
room_coming (const bts_worker_t *worker, const bts_stage_t *stage)
{
  bts_resources_t room = bts_place_demand (bts_stage_step (stage));
  bts_resources_t used = used_after_stops (worker);
  return bts_worker_has_room (worker, &used, &room);
}

static void
stop_all (bts_sched_t *sched, const GPtrArray *victims)
{
  bt_metrics_add (BT_COUNT_PREEMPTED, victims->len);
  for (guint i = 0; i < victims->len; i++)
    bts_run_stop (sched, victims->pdata[i]);
}

/* The worker on which room for one more task costs least; counts in @coming the
   workers on which room is being made already. */
static GPtrArray *
find_best (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us, guint *coming,
           gint64 *best_cost)
{
  GPtrArray *best = NULL;
  *coming = 0;
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *worker = pool->pdata[i];
      bts_place_result_t why = bts_place_check (worker, stage, now_us);
      if (why != BTS_PLACE_NO_ROOM && why != BTS_PLACE_INTERFERES)
        continue;
      if (room_coming (worker, stage))
        {
          (*coming)++;
          continue;
        }
      gint64 cost = 0;
      GPtrArray *victims = find_victims (worker, stage, now_us, &cost);
      if (victims != NULL && (best == NULL || cost < *best_cost))
        {
          g_clear_pointer (&best, g_ptr_array_unref);
          best = g_steal_pointer (&victims);
          *best_cost = cost;
        }
      g_clear_pointer (&victims, g_ptr_array_unref);
    }
  return best;
}

/**
 * struct clearing_t - a worker on which room can be made
 * @victims: the runs to stop
 * @count: tasks that fit then
 */
typedef struct
{
  bts_worker_t *worker;
  GPtrArray *victims;
  guint count;
} clearing_t;

static void
clearing_clear (gpointer data)
{
  g_ptr_array_unref (((clearing_t *)data)->victims);
}

/* Workers where little is stopped for much room come first. */
static gint
compare_clearings (gconstpointer a, gconstpointer b)
{
  const clearing_t *left = a;
  const clearing_t *right = b;
  guint64 x = (guint64)left->victims->len * right->count;
  guint64 y = (guint64)right->victims->len * left->count;
  return x < y ? -1 : x > y;
}

/* A run that is less urgent than a stage and saves its work. */
static gboolean
gives_way (const bts_run_t *run, const bts_stage_t *stage)
{
  return may_stop (run) && run->task->checkpoint != NULL
         && bts_stage_step (run->task->stage)->checkpoints
         && bts_stage_policy (run->task->stage)->priority > bts_stage_policy (stage)->priority;
}

/* Runs that give way until one more task of a stage fits, and how many tasks fit then.
   Room that is being freed already counts. */
static gboolean
make_clearing (bts_worker_t *worker, const bts_stage_t *stage, clearing_t *place)
{
  const Bts__Step *step = bts_stage_step (stage);
  bts_resources_t used = used_after_stops (worker);
  place->worker = worker;
  place->victims = g_ptr_array_new ();
  place->count = bts_place_count_fitting (worker, &used, step);
  for (guint i = 0; i < worker->runs->len && place->count == 0; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (!gives_way (run, stage))
        continue;
      bts_resources_subtract (&used, &run->resources);
      g_ptr_array_add (place->victims, run);
      place->count = bts_place_count_fitting (worker, &used, step);
    }
  return place->count > 0;
}

static GArray *
find_clearings (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  gboolean advised = bts_stage_policy (stage)->advised;
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  GArray *clearings = g_array_new (FALSE, FALSE, sizeof (clearing_t));
  g_array_set_clear_func (clearings, clearing_clear);
  for (guint i = 0; i < pool->len; i++)
    {
      bts_worker_t *worker = pool->pdata[i];
      bts_place_result_t why = bts_place_check (worker, stage, now_us);
      if ((why != BTS_PLACE_OK && why != BTS_PLACE_NO_ROOM)
          || worker->reserved_pass == sched->pass_number
          || (advised
              && bts_stage_valid_ticket (stage, worker->entry->id, now_us + TICKETS_LEFT_US)
                     == NULL))
        continue;
      clearing_t place = { 0 };
      if (make_clearing (worker, stage, &place))
        g_array_append_val (clearings, place);
      else
        clearing_clear (&place);
    }
  g_array_sort (clearings, compare_clearings);
  return clearings;
}

/* Stops runs that save their work where that makes room for all tasks of a gang, or for
   as many tasks of urgent work as can be. */
static gboolean
preempt_saved (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  g_autoptr (GArray) clearings = find_clearings (sched, stage, now_us);
  guint room = 0;
  guint n = 0;
  for (; n < clearings->len && room < open; n++)
    room += g_array_index (clearings, clearing_t, n).count;
  if (room == 0 || (step->gang && room < open))
    return FALSE;
  stage->next_preempt_us = now_us + SAVED_SPACING_US;
  guint stopped = 0;
  for (guint i = 0; i < n; i++)
    {
      const clearing_t *place = &g_array_index (clearings, clearing_t, i);
      place->worker->reserved_pass = sched->pass_number;
      place->worker->reserved_free_us = now_us;
      memset (&place->worker->backfill_resources, 0, sizeof place->worker->backfill_resources);
      stop_all (sched, place->victims);
      stopped += place->victims->len;
    }
  bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u workers=%u open=%u saved=1",
          bts_job_id (stage->job), stage->step, stopped, n, open);
  return TRUE;
}

/* Stops what loses least on one worker after the other, for tasks that are to be kept up. */
static void
preempt_lasting (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  stage->next_preempt_us = now_us + SPACING_US;
  for (guint i = 0; i < open; i++)
    {
      guint coming;
      gint64 cost = 0;
      g_autoptr (GPtrArray) victims = find_best (sched, stage, now_us, &coming, &cost);
      if (victims == NULL || coming >= open)
        return;
      bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u loss_core_ms=%" G_GINT64_FORMAT,
              bts_job_id (stage->job), stage->step, victims->len, cost);
      stop_all (sched, victims);
    }
}

/**
 * bts_preempt_for() - make room for the tasks of a stage
 * @sched: a leading scheduler
 * @stage: a stage with tasks that found no room
 * @open: how many
 * @now_us: the time
 *
 * Return: whether workers are kept for it in this pass because room is made on them.
 */
gboolean
bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  gboolean urgent = bts_stage_policy (stage)->priority == 0;
  if (stage->no_room_since_us == 0)
    stage->no_room_since_us = now_us;
  gint64 short_us = now_us - stage->no_room_since_us;
  if (now_us < stage->next_preempt_us)
    return FALSE;
  if (step->long_running)
    {
      if (short_us >= PATIENCE_US)
        preempt_lasting (sched, stage, open, now_us);
      return FALSE;
    }
  if (now_us > stage->latest_start_us || !(urgent || (step->gang && short_us >= GANG_PATIENCE_US)))
    return FALSE;
  return preempt_saved (sched, stage, open, now_us);
}
