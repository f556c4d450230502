#include "libbamboothread/scheduler/sched_private.h"

#include "libbamboothread/scheduler/place.h"

/*
 * Room for gangs and for tasks that take much of a worker. A stream of small tasks
 * could keep them out for ever: each takes the room that another one leaves. The
 * workers on which they will fit soonest are kept free of less urgent tasks.
 */

/* A task that takes this part of a worker or more, in percent, is large. */
#define LARGE_PERCENT 40
/* Tickets are asked for this long before the room is expected, in microseconds,
   beyond the time of the call: estimates are rough. */
#define TICKETS_AHEAD_US (400 * 1000)

/* A run that takes longer than estimated is thought to take as much longer as it is late
   already, between these bounds, in microseconds: an end that is only on its way to us
   doesn't make room be kept elsewhere. */
#define OVERDUE_MIN_US (50 * 1000)
#define OVERDUE_MAX_US (1000 * 1000)

static gint64
expected_end_us (const bts_run_t *run, gint64 now_us)
{
  if (run->task == NULL || run->state == BTS_RUN_STOPPING)
    return now_us;
  const Bts__Step *step = bts_stage_step (run->task->stage);
  if (step->long_running)
    return G_MAXINT64;
  gint64 end_us = run->created_us + (gint64)step->estimate_ms * 1000;
  return end_us > now_us ? end_us
                         : now_us + CLAMP (now_us - end_us, OVERDUE_MIN_US, OVERDUE_MAX_US);
}

static gint
compare_end (gconstpointer a, gconstpointer b, gpointer context)
{
  const gint64 *now_us = context;
  gint64 left = expected_end_us (*(bts_run_t *const *)a, *now_us);
  gint64 right = expected_end_us (*(bts_run_t *const *)b, *now_us);
  return left < right ? -1 : left > right;
}

/* When at least one task of a step will fit on a worker, how many then, and what is
   used then beside them. */
static gint64
free_us (const bts_worker_t *worker, const Bts__Step *step, gint64 now_us, guint *fitting,
         bts_resources_t *used_then)
{
  bts_resources_t room = bts_place_demand (step);
  bts_resources_t used = worker->used;
  g_autoptr (GPtrArray) runs = g_ptr_array_copy (worker->runs, NULL, NULL);
  g_ptr_array_sort_with_data (runs, compare_end, &now_us);
  gint64 at_us = now_us;
  for (guint i = 0; (*fitting = bts_worker_count_fitting (worker, &used, &room)) == 0; i++)
    {
      if (i == runs->len)
        return G_MAXINT64;
      const bts_run_t *run = runs->pdata[i];
      at_us = expected_end_us (run, now_us);
      bts_resources_subtract (&used, &run->resources);
    }
  *used_then = used;
  return at_us;
}

static void
keep_room (bts_worker_t *worker, const Bts__Step *step, guint count, const bts_resources_t *used)
{
  bts_resources_t room = bts_place_demand (step);
  worker->backfill_resources = bts_worker_capacity (worker);
  bts_resources_subtract (&worker->backfill_resources, used);
  for (guint i = 0; i < count; i++)
    bts_resources_subtract (&worker->backfill_resources, &room);
}

static gboolean
is_large (const bts_worker_t *worker, const Bts__Step *step)
{
  const bts_worker_entry_t *entry = worker->entry;
  return (gint64)step->cpu_millis * 100 >= (gint64)entry->cpu_millis * LARGE_PERCENT
         || (gint64)step->memory_mb * 100 >= (gint64)entry->memory_mb * LARGE_PERCENT
         || (step->gpus > 0 && (gint64)step->gpus * 100 >= (gint64)entry->gpus * LARGE_PERCENT);
}

/**
 * struct chance_t - a worker on which tasks of a stage will fit
 * @at_us: when
 * @fitting: how many of them then
 * @used: what is taken of it then beside them
 */
typedef struct
{
  bts_worker_t *worker;
  gint64 at_us;
  guint fitting;
  bts_resources_t used;
} chance_t;

static gint
compare_chances (gconstpointer a, gconstpointer b)
{
  const chance_t *left = a;
  const chance_t *right = b;
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  return left->fitting > right->fitting ? -1 : left->fitting < right->fitting;
}

/* The workers on which tasks of a stage will fit, the soonest first. */
static GArray *
find_chances (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  GArray *chances = g_array_new (FALSE, FALSE, sizeof (chance_t));
  for (guint i = 0; i < pool->len; i++)
    {
      bts_worker_t *worker = pool->pdata[i];
      if (worker->reserved_pass == sched->pass_number || !worker->registered
          || worker->entry->draining || !worker->synced || !(step->gang || is_large (worker, step))
          || !bts_place_is_eligible (worker, stage))
        continue;
      chance_t chance = { worker };
      chance.at_us = free_us (worker, step, now_us, &chance.fitting, &chance.used);
      if (chance.at_us < G_MAXINT64)
        g_array_append_val (chances, chance);
    }
  g_array_sort (chances, compare_chances);
  return chances;
}

/**
 * bts_reserve_for() - keep workers free for a stage that found no room
 * @sched: a leading scheduler
 * @stage: the stage
 * @open: how many of its tasks are to be placed
 * @now_us: the time
 *
 * Holds for the rest of the pass over the queue, that is for less urgent stages.
 *
 * Return: whether any room is kept for it.
 */
gboolean
bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  g_autoptr (GArray) chances = find_chances (sched, stage, now_us);
  guint missing = open;
  for (guint i = 0; i < chances->len && missing > 0; i++)
    {
      const chance_t *chance = &g_array_index (chances, chance_t, i);
      bts_worker_t *worker = chance->worker;
      guint taken = MIN (missing, chance->fitting);
      keep_room (worker, step, taken, &chance->used);
      worker->reserved_pass = sched->pass_number;
      worker->reserved_free_us = chance->at_us;
      if (bts_stage_valid_ticket (stage, worker->entry->id, chance->at_us) == NULL)
        bts_advice_renew (sched, stage, chance->at_us - TICKETS_AHEAD_US, now_us);
      missing -= taken;
    }
  return chances->len > 0;
}
