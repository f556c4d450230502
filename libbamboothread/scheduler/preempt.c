#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/place.h"

/*
 * Room for tasks that are to be kept up: less urgent runs are stopped on one
 * worker, those that lose least. What is stopped starts again from its newest
 * checkpoint.
 */

/* Time that a task that is to be kept up waits for room of itself, in microseconds;
   well below the three seconds after which it counts as left down. */
#define PATIENCE_US (700 * 1000)
/* Time between two rounds for one stage: a stop has to end and be listed. */
#define SPACING_US (1500 * 1000)

static gboolean
may_stop (const bts_run_t *run)
{
  if (run->task == NULL || run->state != BTS_RUN_LIVE)
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
  if (step->checkpoints && run->task->saved != NULL)
    ran_ms = MIN (ran_ms, 1000);
  return ran_ms * step->cpu_millis / 1000;
}

static gboolean
enough (const bts_worker_t *worker, const bts_room_t *freed, const bts_room_t *room)
{
  bts_room_t used = worker->used;
  bts_room_subtract (&used, freed);
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
  bts_room_t room = bts_place_room (step);
  bts_room_t freed = { 0 };
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  GPtrArray *victims = g_ptr_array_new ();
  *cost = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (!may_stop (run))
        continue;
      /* Filling tasks would disturb what serves its own users. */
      gboolean must = bts_place_serves (step) && bts_stage_step (run->task->stage)->fills;
      g_ptr_array_add (must ? victims : runs, run);
      if (!must)
        continue;
      bts_room_add (&freed, &run->room);
      *cost += loss (run, now_us);
    }
  g_ptr_array_sort_with_data (runs, compare_loss, &now_us);
  for (guint i = 0; i < runs->len && !enough (worker, &freed, &room); i++)
    {
      bts_run_t *run = runs->pdata[i];
      g_ptr_array_add (victims, run);
      bts_room_add (&freed, &run->room);
      *cost += loss (run, now_us);
    }
  if (victims->len > 0 && enough (worker, &freed, &room))
    return victims;
  g_ptr_array_unref (victims);
  return NULL;
}

/* Whether room that is being freed on a worker already suffices. */
static gboolean
room_coming (const bts_worker_t *worker, const bts_stage_t *stage)
{
  bts_room_t room = bts_place_room (bts_stage_step (stage));
  bts_room_t freed = { 0 };
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->state != BTS_RUN_STOPPING)
        continue;
      bts_room_add (&freed, &run->room);
    }
  return enough (worker, &freed, &room);
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
      bts_place_why_t why = bts_place_check (worker, stage, now_us);
      if (why != BTS_PLACE_NO_ROOM && why != BTS_PLACE_DISTURBS)
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
 * bts_preempt_for() - make room for the tasks of a stage that is to be kept up
 * @sched: a leading scheduler
 * @stage: a stage with tasks that found no room
 * @open: how many
 * @now_us: the time
 */
void
bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  if (!bts_stage_step (stage)->long_running)
    return;
  if (stage->short_us == 0)
    stage->short_us = now_us;
  if (now_us - stage->short_us < PATIENCE_US || now_us < stage->preempt_us)
    return;
  stage->preempt_us = now_us + SPACING_US;
  for (guint i = 0; i < open; i++)
    {
      guint coming;
      gint64 cost = 0;
      g_autoptr (GPtrArray) victims = find_best (sched, stage, now_us, &coming, &cost);
      if (victims == NULL || coming >= open)
        return;
      bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u loss_core_ms=%" G_GINT64_FORMAT,
              bts_job_id (stage->job), stage->step, victims->len, cost);
      bt_metrics_add (BT_COUNT_PREEMPTED, victims->len);
      for (guint v = 0; v < victims->len; v++)
        bts_run_stop (sched, victims->pdata[v]);
    }
}
