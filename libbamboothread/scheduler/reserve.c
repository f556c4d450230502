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

/* A run that takes longer than estimated is thought to end after this time, in
   microseconds. */
#define OVERDUE_US (1000 * 1000)

static gint64
expected_end_us (const bts_run_t *run, gint64 now_us)
{
  if (run->task == NULL || run->state == BTS_RUN_STOPPING)
    return now_us;
  const Bts__Step *step = bts_stage_step (run->task->stage);
  if (step->long_running)
    return G_MAXINT64;
  gint64 end_us = run->created_us + (gint64)step->estimate_ms * 1000;
  return end_us > now_us ? end_us : now_us + OVERDUE_US;
}

static gint
compare_end (gconstpointer a, gconstpointer b, gpointer context)
{
  const gint64 *now_us = context;
  gint64 left = expected_end_us (*(bts_run_t *const *)a, *now_us);
  gint64 right = expected_end_us (*(bts_run_t *const *)b, *now_us);
  return left < right ? -1 : left > right;
}

/* How many tasks of a step fit into what is left of a worker. */
static guint
count_fitting (const bts_worker_t *worker, const bts_room_t *used, const bts_room_t *room)
{
  gint64 fitting = G_MAXINT16;
  if (room->cpu_millis > 0)
    fitting = MIN (fitting, (worker->entry->cpu_millis - used->cpu_millis) / room->cpu_millis);
  if (room->memory_mb > 0)
    fitting = MIN (fitting, (worker->entry->memory_mb - used->memory_mb) / room->memory_mb);
  if (room->gpus > 0)
    fitting = MIN (fitting, (worker->entry->gpus - used->gpus) / room->gpus);
  return (guint)MAX (fitting, 0);
}

/* When at least one task of a step will fit on a worker, how many then, and what is
   used then beside them. */
static gint64
free_us (const bts_worker_t *worker, const Bts__Step *step, gint64 now_us, guint *fitting,
         bts_room_t *used_then)
{
  bts_room_t room = bts_place_room (step);
  bts_room_t used = worker->used;
  g_autoptr (GPtrArray) runs = g_ptr_array_copy (worker->runs, NULL, NULL);
  g_ptr_array_sort_with_data (runs, compare_end, &now_us);
  gint64 at_us = now_us;
  for (guint i = 0; (*fitting = count_fitting (worker, &used, &room)) == 0; i++)
    {
      if (i == runs->len)
        return G_MAXINT64;
      const bts_run_t *run = runs->pdata[i];
      at_us = expected_end_us (run, now_us);
      bts_room_subtract (&used, &run->room);
    }
  *used_then = used;
  return at_us;
}

static void
keep_room (bts_worker_t *worker, const Bts__Step *step, guint count, const bts_room_t *used)
{
  bts_room_t room = bts_place_room (step);
  worker->reserved_left = bts_worker_capacity (worker);
  bts_room_subtract (&worker->reserved_left, used);
  for (guint i = 0; i < count; i++)
    bts_room_subtract (&worker->reserved_left, &room);
}

static gboolean
is_large (const bts_worker_t *worker, const Bts__Step *step)
{
  const bts_entry_t *entry = worker->entry;
  return (gint64)step->cpu_millis * 100 >= (gint64)entry->cpu_millis * LARGE_PERCENT
         || (gint64)step->memory_mb * 100 >= (gint64)entry->memory_mb * LARGE_PERCENT
         || (step->gpus > 0 && (gint64)step->gpus * 100 >= (gint64)entry->gpus * LARGE_PERCENT);
}

/**
 * bts_reserve_for() - keep workers free for a stage that found no room
 * @sched: a leading scheduler
 * @stage: the stage
 * @open: how many of its tasks are to be placed
 * @now_us: the time
 *
 * Holds for the rest of the pass over the queue, that is for less urgent stages.
 */
void
bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  guint missing = open;
  while (missing > 0)
    {
      bts_worker_t *best = NULL;
      gint64 best_us = G_MAXINT64;
      guint best_fitting = 0;
      bts_room_t best_used = { 0 };
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, sched->fleet->workers);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          bts_worker_t *worker = value;
          guint fitting = 0;
          bts_room_t used = { 0 };
          if (worker->reserved == sched->pass || !worker->listed || worker->entry->draining
              || !worker->synced || !bts_place_may_use (worker, stage)
              || !(step->gang || is_large (worker, step)))
            continue;
          gint64 at_us = free_us (worker, step, now_us, &fitting, &used);
          if (at_us < best_us || (at_us == best_us && at_us < G_MAXINT64 && fitting > best_fitting))
            {
              best = worker;
              best_us = at_us;
              best_fitting = fitting;
              best_used = used;
            }
        }
      if (best == NULL || best_us == G_MAXINT64)
        return;
      guint taken = MIN (missing, best_fitting);
      keep_room (best, step, taken, &best_used);
      best->reserved = sched->pass;
      best->reserved_us = best_us;
      if (bts_ticket_now (stage, best->entry->id, best_us) == NULL)
        bts_advice_renew (sched, stage, best_us - TICKETS_AHEAD_US, now_us);
      missing -= taken;
    }
}
