#include "libbamboothread/scheduler/sched_private.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/run_slots.h"

/*
 * Reservations for gangs and large tasks. A stream of small tasks could starve them, since
 * each small task takes the room that another one leaves. The workers on which a gang or
 * a large task will fit soonest are reserved: less urgent tasks get them only as backfill.
 */

/* A task is large if it takes at least this share of a worker, in percent. */
#define LARGE_TASK_PERCENT 40
/* New tickets are requested this long before the reserved room is expected to be free, in
   microseconds, plus the time of the call: estimates are rough. */
#define TICKET_LEAD_US (400 * 1000)

/* A run that exceeds its estimate is expected to take as long again as it is overdue, within
   these bounds in microseconds. The lower bound covers an end that is still on its way to
   the owner, which is no reason to reserve another worker. */
#define OVERDUE_MIN_US (50 * 1000)
#define OVERDUE_MAX_US (1000 * 1000)

/* A run that has taken so much longer than estimated may never end. */
#define STUCK_FACTOR 8
#define STUCK_MARGIN_US (10 * BT_USEC_PER_SEC)
/* How long room that is kept for a stage may be free before it is given back, in microseconds: a
   call to the advice service for tickets takes up to a second. */
#define UNUSED_MAX_US (1500 * 1000)
/* The same for a part of the room that a gang needs, which waits for the other part. */
#define PART_UNUSED_MAX_US (6 * BT_USEC_PER_SEC)
/* The same if that other part isn't in sight: workers may be away, or tasks that last take it. */
#define UNFIT_UNUSED_MAX_US (2 * BT_USEC_PER_SEC)
/* How long no room is kept for a stage after that, in microseconds; doubled each time for a stage
   that doesn't fit, at most this many times. */
#define UNUSED_PAUSE_US (3 * BT_USEC_PER_SEC)
#define PAUSE_DOUBLINGS_MAX 4
/* Interval at which it is examined whether a stage can find room at all, in microseconds. */
#define POSSIBLE_INTERVAL_US (500 * 1000)

static gint64
expected_end_us (const bts_run_t *run, gint64 now_us)
{
  if (run->task == NULL || run->state == BTS_RUN_STOPPING)
    return now_us;
  const Bts__Step *step = bts_stage_step (run->task->stage);
  if (step->long_running)
    return G_MAXINT64;
  gint64 estimate_us = (gint64)step->estimate_ms * 1000;
  gint64 end_us = run->created_us + estimate_us;
  if (now_us - run->created_us > STUCK_FACTOR * estimate_us + STUCK_MARGIN_US)
    return G_MAXINT64;
  return end_us > now_us ? end_us
                         : now_us + CLAMP (now_us - end_us, OVERDUE_MIN_US, OVERDUE_MAX_US);
}

/* The run that is expected to end next after the @previous one, in the order of the ends and then
   of the list; the first one if that is NULL. Few are asked for, so the runs aren't sorted. */
static const bts_run_t *
next_end (const bts_worker_t *worker, gint64 now_us, const bts_run_t *previous, gint64 *end_us)
{
  const bts_run_t *next = NULL;
  gint64 previous_us = *end_us;
  gboolean passed = previous == NULL;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run == previous)
        {
          passed = TRUE;
          continue;
        }
      gint64 run_end_us = expected_end_us (run, now_us);
      gboolean follows
          = previous == NULL || run_end_us > previous_us || (run_end_us == previous_us && passed);
      if (follows && (next == NULL || run_end_us < *end_us))
        {
          next = run;
          *end_us = run_end_us;
        }
    }
  return next;
}

/**
 * struct space_t - what is left of a worker for a stage
 * @used: resources in use
 * @n_runs: runs on the worker
 * @n_own: runs of the stage on the worker
 * @n_against: runs that keep the stage off the worker
 */
typedef struct
{
  bts_resources_t used;
  guint n_runs;
  guint n_own;
  guint n_against;
} space_t;

static void
space_add (space_t *space, const bts_run_t *run, const bts_stage_t *stage)
{
  bts_resources_add (&space->used, &run->resources);
  space->n_runs++;
  space->n_own += bts_place_is_of_stage (run, stage);
  space->n_against += bts_place_keeps_off (run, bts_stage_step (stage));
}

static void
space_remove (space_t *space, const bts_run_t *run, const bts_stage_t *stage)
{
  bts_resources_subtract (&space->used, &run->resources);
  space->n_runs--;
  space->n_own -= bts_place_is_of_stage (run, stage);
  space->n_against -= bts_place_keeps_off (run, bts_stage_step (stage));
}

/* How many more tasks of a stage can start on a worker of which so much is left. */
static guint
space_count (const space_t *space, const bts_worker_t *worker, const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (space->n_against > 0)
    return 0;
  bts_resources_t demand = bts_place_demand (step);
  guint n = bts_worker_count_fitting (worker, &space->used, &demand);
  guint max = step->per_worker_max;
  if (max > 0)
    n = MIN (n, max - MIN (max, space->n_own));
  return n == 0 ? 0 : bts_run_slots_count (worker, stage, worker->runs->len - space->n_runs, n);
}

/* Returns when at least one task of a stage is expected to be able to start on a worker, G_MAXINT64
   if never. Sets @n_fitting to the number of tasks that can start at that time, and @used_then to
   the resources that other runs will still use. */
static gint64
earliest_fit_us (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us,
                 guint *n_fitting, bts_resources_t *used_then)
{
  space_t space = { 0 };
  for (guint i = 0; i < worker->runs->len; i++)
    space_add (&space, worker->runs->pdata[i], stage);
  /* Room that is kept for moves counts as used beyond the runs. */
  space.used = worker->used;
  const bts_run_t *run = NULL;
  gint64 fit_us = now_us;
  while ((*n_fitting = space_count (&space, worker, stage)) == 0)
    {
      run = next_end (worker, now_us, run, &fit_us);
      if (run == NULL || fit_us == G_MAXINT64)
        return G_MAXINT64;
      space_remove (&space, run, stage);
    }
  *used_then = space.used;
  return fit_us;
}

static void
set_backfill_resources (bts_worker_t *worker, const Bts__Step *step, guint n_tasks,
                        const bts_resources_t *used)
{
  bts_resources_t demand = bts_place_demand (step);
  worker->backfill_resources = bts_worker_capacity (worker);
  bts_resources_subtract (&worker->backfill_resources, used);
  for (guint i = 0; i < n_tasks; i++)
    bts_resources_subtract (&worker->backfill_resources, &demand);
}

static gboolean
is_large (const bts_worker_t *worker, const Bts__Step *step)
{
  const bts_worker_entry_t *entry = worker->entry;
  return (gint64)step->cpu_millis * 100 >= (gint64)entry->cpu_millis * LARGE_TASK_PERCENT
         || (gint64)step->memory_mb * 100 >= (gint64)entry->memory_mb * LARGE_TASK_PERCENT
         || (step->gpus > 0
             && (gint64)step->gpus * 100 >= (gint64)entry->gpus * LARGE_TASK_PERCENT);
}

/**
 * struct candidate_t - a worker on which tasks of a stage will fit
 * @worker: the worker
 * @fit_us: when the first of them is expected to fit
 * @n_fitting: number of them that fit then
 * @used: resources that other runs use then
 * @is_taken: it is reserved for another stage in this pass, or starts nothing at the moment
 */
typedef struct
{
  bts_worker_t *worker;
  gint64 fit_us;
  guint n_fitting;
  bts_resources_t used;
  gboolean is_taken;
} candidate_t;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;
  if (left->fit_us != right->fit_us)
    return left->fit_us < right->fit_us ? -1 : 1;
  return left->n_fitting > right->n_fitting ? -1 : left->n_fitting < right->n_fitting;
}

/* Whether a worker starts tasks of a stage that it has room for. */
static gboolean
is_usable (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  const bts_resources_t none = { 0 };
  bts_resources_t demand = bts_place_demand (bts_stage_step (stage));
  bts_availability_t availability = bts_place_availability (worker, now_us);
  return (availability == BTS_AVAILABLE || availability == BTS_AVAILABLE_BACKOFF)
         && bts_place_has_restored_room (worker, &none, &demand, now_us);
}

/* Whether none of the pending tasks of a stage may be started on a worker, as it has crashed under
   each of them. */
static gboolean
is_barred (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  guint n_barred = 0;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    n_barred += bts_task_is_pending (task) && now_us < task->crash_again_us
                && bts_crash_is_blamed (worker, task);
  return n_barred > 0 && n_barred == bts_stage_count_pending (stage);
}

/* The workers that a stage can use, those on which its tasks fit soonest first. A stage that isn't
   a gang reserves only workers on which its tasks are large. */
static GArray *
find_candidates (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  GArray *found = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      if (!worker->registered || worker->entry->draining || !(step->gang || is_large (worker, step))
          || is_barred (worker, stage, now_us))
        continue;
      candidate_t candidate = { worker };
      candidate.is_taken
          = worker->reserved_pass == sched->pass_number || !is_usable (worker, stage, now_us);
      candidate.fit_us
          = earliest_fit_us (worker, stage, now_us, &candidate.n_fitting, &candidate.used);
      if (candidate.fit_us < G_MAXINT64)
        g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_candidates);
  return found;
}

/* Number of tasks that fit at some time, or by now on workers that aren't taken; at most @n_max. */
static guint
count_fitting (const GArray *candidates, gboolean by_now, gint64 now_us, guint n_max)
{
  guint n = 0;
  for (guint i = 0; i < candidates->len && n < n_max; i++)
    {
      const candidate_t *candidate = &g_array_index (candidates, candidate_t, i);
      if (!by_now || (candidate->fit_us <= now_us && !candidate->is_taken))
        n += MIN (candidate->n_fitting, n_max - n);
    }
  return n;
}

/* Notes whether the workers that will have room are enough for a stage: a gang starts as a whole.
 */
static void
set_unfit (bts_stage_t *stage, guint n_fitting, guint n_pending)
{
  bts_reservation_t *reservation = &stage->reservation;
  gboolean is_unfit = n_fitting < (bts_stage_step (stage)->gang ? n_pending : 1);
  if (is_unfit && !reservation->is_unfit && n_fitting > 0)
    bt_log (BT_LOG_INFO, "reservation-unfit", "job=%s occurrence=%u step=%u pending=%u fitting=%u",
            bts_job_id (stage->job), stage->occurrence, stage->step, n_pending, n_fitting);
  reservation->is_unfit = is_unfit;
  if (!is_unfit)
    reservation->n_pauses = 0;
}

static gint64
unused_max_us (const bts_stage_t *stage, gboolean is_part)
{
  if (stage->reservation.is_unfit)
    return UNFIT_UNUSED_MAX_US;
  return is_part ? PART_UNUSED_MAX_US : UNUSED_MAX_US;
}

/* Whether room has been free for a stage for so long that the stage can't use it, whatever it waits
   for. */
static gboolean
is_unused (bts_stage_t *stage, guint n_free, guint n_pending, gint64 now_us)
{
  bts_reservation_t *reservation = &stage->reservation;
  gboolean is_part = bts_stage_step (stage)->gang && n_free < n_pending;
  if (n_free == 0)
    reservation->free_since_us = 0;
  else if (reservation->free_since_us == 0 || is_part != reservation->is_part_free)
    reservation->free_since_us = now_us;
  reservation->is_part_free = is_part;
  if (n_free == 0 || now_us - reservation->free_since_us < unused_max_us (stage, is_part))
    return FALSE;
  reservation->free_since_us = 0;
  reservation->paused_until_us = now_us + (UNUSED_PAUSE_US << reservation->n_pauses);
  if (reservation->is_unfit)
    reservation->n_pauses = MIN (reservation->n_pauses + 1, PAUSE_DOUBLINGS_MAX);
  bt_metrics_count (BT_COUNT_RESERVATIONS_UNUSED);
  bt_log (BT_LOG_INFO, "reservation-unused", "job=%s occurrence=%u step=%u pending=%u free=%u",
          bts_job_id (stage->job), stage->occurrence, stage->step, n_pending, n_free);
  return TRUE;
}

/* Whether all tasks of a gang would fit on the workers of its pool if nothing else ran there. */
static gboolean
fits_pool (const bts_sched_t *sched, const bts_stage_t *stage, guint n_pending)
{
  if (!bts_stage_step (stage)->gang)
    return TRUE;
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  guint n = 0;
  for (guint i = 0; i < pool->len && n < n_pending; i++)
    {
      const space_t empty = { 0 };
      if (bts_place_matches (pool->pdata[i], stage))
        n += MIN (space_count (&empty, pool->pdata[i], stage), n_pending - n);
    }
  return n >= n_pending;
}

/**
 * bts_reserve_for() - reserve workers for a stage with tasks that couldn't be placed
 * @sched: a leading scheduler
 * @stage: the stage; its tasks lack nothing but room
 * @n_pending: number of these tasks
 * @now_us: the current time
 *
 * A reservation lasts for the rest of the pass, so that it binds the stages further back in
 * the queue. None is made for a gang that is wider than the pool, nor for a stage that hasn't
 * started although room that was kept for it has been free for a while.
 *
 * Return: whether any worker was reserved for the stage.
 */
gboolean
bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  if (now_us < stage->reservation.paused_until_us || !fits_pool (sched, stage, n_pending))
    return FALSE;
  g_autoptr (GArray) candidates = find_candidates (sched, stage, now_us);
  set_unfit (stage, count_fitting (candidates, FALSE, now_us, n_pending), n_pending);
  if (is_unused (stage, count_fitting (candidates, TRUE, now_us, n_pending), n_pending, now_us))
    return FALSE;
  guint n_missing = n_pending;
  gboolean reserved = FALSE;
  for (guint i = 0; i < candidates->len && n_missing > 0; i++)
    {
      const candidate_t *candidate = &g_array_index (candidates, candidate_t, i);
      bts_worker_t *worker = candidate->worker;
      if (candidate->is_taken)
        continue;
      reserved = TRUE;
      guint n_reserved = MIN (n_missing, candidate->n_fitting);
      set_backfill_resources (worker, step, n_reserved, &candidate->used);
      worker->reserved_pass = sched->pass_number;
      worker->reserved_free_us = candidate->fit_us;
      if (bts_stage_valid_ticket (stage, worker->number, candidate->fit_us) == NULL)
        bts_advice_renew (sched, stage, candidate->fit_us - TICKET_LEAD_US, now_us);
      n_missing -= n_reserved;
    }
  return reserved;
}

/* What tasks that last leave of a worker. */
static space_t
space_beside_lasting (const bts_worker_t *worker, const bts_stage_t *stage)
{
  space_t space = { 0 };
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->task != NULL && run->state != BTS_RUN_STOPPING
          && bts_stage_step (run->task->stage)->long_running)
        space_add (&space, run, stage);
    }
  return space;
}

static gboolean
find_possible (const bts_sched_t *sched, const bts_stage_t *stage)
{
  const GPtrArray *pool = g_hash_table_lookup (sched->fleet->pools, stage->job->service);
  guint n_needed = bts_stage_step (stage)->gang ? stage->n_tasks : 1;
  guint n = 0;
  for (guint i = 0; pool != NULL && i < pool->len && n < n_needed; i++)
    {
      const bts_worker_t *worker = pool->pdata[i];
      if (!bts_place_matches (worker, stage) || !worker->registered || worker->entry->draining)
        continue;
      space_t space = space_beside_lasting (worker, stage);
      n += MIN (space_count (&space, worker, stage), n_needed - n);
    }
  return n >= n_needed;
}

/**
 * bts_reserve_is_possible() - whether tasks of a stage can find room once others have ended
 * @sched: a leading scheduler
 * @stage: the stage
 * @now_us: the current time
 *
 * Return: FALSE if tasks that last and the kinds of worker leave none; of a gang, for all tasks at
 * once. The answer may be half a second old.
 */
gboolean
bts_reserve_is_possible (const bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  bts_reservation_t *reservation = &stage->reservation;
  if (reservation->checked_us == 0 || now_us - reservation->checked_us >= POSSIBLE_INTERVAL_US)
    {
      reservation->checked_us = now_us;
      reservation->is_impossible = !find_possible (sched, stage);
    }
  return !reservation->is_impossible;
}

/**
 * bts_reserve_expect_us() - when tasks of a stage are expected to find room, if all workers that
 * match may be used
 * @sched: a leading scheduler; not changed
 * @stage: the stage
 * @n_tasks: number of tasks that have to fit at once
 * @now_us: the current time
 *
 * Return: the time, by the estimates of the runs that are in the way; G_MAXINT64 if never.
 */
gint64
bts_reserve_expect_us (const bts_sched_t *sched, const bts_stage_t *stage, guint n_tasks,
                       gint64 now_us)
{
  const GPtrArray *pool = g_hash_table_lookup (sched->fleet->pools, stage->job->service);
  g_autoptr (GArray) found = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  for (guint i = 0; pool != NULL && i < pool->len; i++)
    {
      candidate_t candidate = { pool->pdata[i] };
      if (!bts_place_matches (candidate.worker, stage)
          || candidate.worker->reserved_pass == sched->pass_number
          || !is_usable (candidate.worker, stage, now_us))
        continue;
      candidate.fit_us = earliest_fit_us (candidate.worker, stage, now_us, &candidate.n_fitting,
                                          &candidate.used);
      if (candidate.fit_us < G_MAXINT64)
        g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_candidates);
  guint n_fitting = 0;
  for (guint i = 0; i < found->len; i++)
    {
      const candidate_t *candidate = &g_array_index (found, candidate_t, i);
      n_fitting += MIN (candidate->n_fitting, n_tasks);
      if (n_fitting >= n_tasks)
        return candidate->fit_us;
    }
  return G_MAXINT64;
}
