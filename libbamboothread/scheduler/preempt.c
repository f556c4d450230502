#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/run_slots.h"

/*
 * Preemption: stops runs to make room for a stage, but never those of gangs or of
 * long-running stages. Long-running stages preempt at any cost. Gangs and urgent stages preempt
 * only less urgent runs that have a checkpoint and go on writing them: such a run also writes one
 * when it is stopped, so that preemption costs no more than a restart from the checkpoint. Gangs
 * preempt because whole workers would otherwise be idle until the last one that they need is
 * free. Urgent stages that wait for their tenant's quota preempt such runs of the same tenant.
 */

/* How long a long-running task waits for room before it preempts, in microseconds; well
   below the three seconds after which it counts as down. */
#define LONG_RUNNING_WAIT_US (700 * 1000)
/* Interval between preemptions for a long-running stage, in microseconds: the victims have
   to stop and be listed as ended. */
#define LONG_RUNNING_INTERVAL_US (1500 * 1000)
/* Interval between preemptions of checkpointed runs for a stage, in microseconds: a stop
   takes up to a second. */
#define CHECKPOINTED_INTERVAL_US (1000 * 1000)
/* How long a gang waits for room before it preempts, in microseconds. */
#define GANG_WAIT_US (300 * 1000)
/* How long an urgent stage waits for quota before runs of its tenant are stopped, in microseconds:
   urgent tasks are short, and those that run often end sooner. */
#define QUOTA_WAIT_US (200 * 1000)
/* Interval between preemptions for the quota of one tenant, in microseconds: the victims have ended
   by then, so none is stopped for what others will release. */
#define QUOTA_INTERVAL_US (500 * 1000)
/* Remaining validity that the ticket for a worker needs before runs are stopped there, in
   microseconds: the victims have to stop before the new task can start. */
#define TICKET_VALIDITY_MIN_US (700 * 1000)

static gboolean
is_preemptible (const bts_run_t *run)
{
  if (run->task == NULL || run->state != BTS_RUN_RUNNING)
    return FALSE;
  const Bts__Step *step = bts_stage_step (run->task->stage);
  return !step->long_running && !step->gang;
}

/* Approximate work that is lost if a run is stopped, in core-milliseconds. With a checkpoint,
   it is at most that of one second. */
static gint64
lost_work (const bts_run_t *run, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (run->task->stage);
  gint64 ran_ms = (now_us - run->created_us) / 1000;
  if (step->checkpoints && run->task->checkpoint != NULL)
    ran_ms = MIN (ran_ms, 1000);
  return ran_ms * step->cpu_millis / 1000;
}

/* Whether a task of a stage fits on a worker once @n_freed runs have ended, which take @freed. */
static gboolean
has_room_after (const bts_worker_t *worker, const bts_stage_t *stage, const bts_resources_t *freed,
                guint n_freed)
{
  bts_resources_t demand = bts_place_demand (bts_stage_step (stage));
  bts_resources_t used = worker->used;
  bts_resources_subtract (&used, freed);
  return bts_worker_has_room (worker, &used, &demand)
         && bts_run_slots_count (worker, stage, n_freed, 1) > 0;
}

static gint
compare_lost_work (gconstpointer a, gconstpointer b, gpointer context)
{
  const gint64 *now_us = context;
  gint64 left = lost_work (*(bts_run_t *const *)a, *now_us);
  gint64 right = lost_work (*(bts_run_t *const *)b, *now_us);
  return left < right ? -1 : left > right;
}

/* Finds the runs to stop on a worker so that a task fits, and sets @cost to the work that they
   lose. Returns NULL if no run has to be stopped, or if stopping runs doesn't make enough room. */
static GPtrArray *
find_victims (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us, gint64 *cost)
{
  const Bts__Step *step = bts_stage_step (stage);
  bts_resources_t freed = { 0 };
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  GPtrArray *victims = g_ptr_array_new ();
  *cost = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (!is_preemptible (run))
        continue;
      /* Filling tasks would slow down a task with a latency target, so all of them are stopped. */
      gboolean mandatory
          = bts_place_has_latency_target (step) && bts_stage_step (run->task->stage)->fills;
      g_ptr_array_add (mandatory ? victims : runs, run);
      if (!mandatory)
        continue;
      bts_resources_add (&freed, &run->resources);
      *cost += lost_work (run, now_us);
    }
  g_ptr_array_sort_with_data (runs, compare_lost_work, &now_us);
  for (guint i = 0; i < runs->len && !has_room_after (worker, stage, &freed, victims->len); i++)
    {
      bts_run_t *run = runs->pdata[i];
      g_ptr_array_add (victims, run);
      bts_resources_add (&freed, &run->resources);
      *cost += lost_work (run, now_us);
    }
  if (victims->len > 0 && has_room_after (worker, stage, &freed, victims->len))
    return victims;
  g_ptr_array_unref (victims);
  return NULL;
}

/* Resources in use on a worker once the runs that are being stopped, of which there are
   @n_stopping, have ended. */
static bts_resources_t
used_after_stops (const bts_worker_t *worker, guint *n_stopping)
{
  bts_resources_t used = worker->used;
  *n_stopping = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->state != BTS_RUN_STOPPING)
        continue;
      bts_resources_subtract (&used, &run->resources);
      (*n_stopping)++;
    }
  return used;
}

/* Whether a worker has runs that go on and keep the tasks of a step off it; only those that can't
   be preempted, if @fixed. */
static gboolean
is_kept_off (const bts_worker_t *worker, const Bts__Step *step, gboolean fixed)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      if (run->state != BTS_RUN_STOPPING && bts_place_keeps_off (run, step)
          && !(fixed && is_preemptible (run)))
        return TRUE;
    }
  return FALSE;
}

/* Whether a task will fit on a worker once the runs that are being stopped have ended. */
static gboolean
will_have_room (const bts_worker_t *worker, const bts_stage_t *stage)
{
  bts_resources_t demand = bts_place_demand (bts_stage_step (stage));
  guint n_stopping;
  bts_resources_t used = used_after_stops (worker, &n_stopping);
  return bts_worker_has_room (worker, &used, &demand)
         && bts_run_slots_count (worker, stage, n_stopping, 1) > 0
         && !is_kept_off (worker, bts_stage_step (stage), FALSE);
}

/* Whether stopping runs on a worker could let a task of a stage start there. */
static gboolean
is_worth_room (const bts_worker_t *worker, const bts_stage_t *stage, gint64 now_us)
{
  const bts_resources_t none = { 0 };
  bts_resources_t demand = bts_place_demand (bts_stage_step (stage));
  return !is_kept_off (worker, bts_stage_step (stage), TRUE)
         && bts_place_has_restored_room (worker, &none, &demand, now_us);
}

static void
stop_victims (bts_sched_t *sched, const GPtrArray *victims)
{
  for (guint i = 0; i < victims->len; i++)
    {
      bts_run_t *run = victims->pdata[i];
      run->stop_reason = BTS_STOP_PREEMPTED;
      bts_run_stop (sched, run);
    }
}

/* Finds the worker on which making room for one more task loses the least work. Returns the runs
   to stop there, or NULL. Counts in @n_being_freed the workers where no further run has to be
   stopped: the resources suffice once the runs that are being stopped have ended. */
static GPtrArray *
find_cheapest_victims (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us,
                       guint *n_being_freed, gint64 *best_cost)
{
  GPtrArray *best = NULL;
  *n_being_freed = 0;
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      bts_place_result_t result = bts_place_check (worker, stage, now_us);
      if ((result != BTS_PLACE_NO_ROOM && result != BTS_PLACE_NO_SLOT
           && result != BTS_PLACE_INTERFERES)
          || !is_worth_room (worker, stage, now_us))
        continue;
      if (will_have_room (worker, stage))
        {
          (*n_being_freed)++;
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
 * struct plan_t - preemption on one worker
 * @worker: the worker
 * @victims: the runs to stop
 * @n_fitting: number of tasks that fit once the victims have ended
 */
typedef struct
{
  bts_worker_t *worker;
  GPtrArray *victims;
  guint n_fitting;
} plan_t;

static void
plan_clear (gpointer data)
{
  g_ptr_array_unref (((plan_t *)data)->victims);
}

/* Orders plans by the number of victims for each task that fits. Each number of victims is
   multiplied by the other plan's number of tasks, to compare the ratios without a division. */
static gint
compare_plans (gconstpointer a, gconstpointer b)
{
  const plan_t *left = a;
  const plan_t *right = b;
  guint64 left_scaled = (guint64)left->victims->len * right->n_fitting;
  guint64 right_scaled = (guint64)right->victims->len * left->n_fitting;
  return left_scaled < right_scaled ? -1 : left_scaled > right_scaled;
}

/* Whether a run may be preempted for a stage: it has a checkpoint, goes on writing them, and is
   less urgent. */
static gboolean
is_checkpointed_victim (const bts_run_t *run, const bts_stage_t *stage)
{
  return is_preemptible (run) && run->task->checkpoint != NULL
         && bts_stage_step (run->task->stage)->checkpoints
         && bts_stage_policy (run->task->stage)->priority > bts_stage_policy (stage)->priority;
}

/* Adds victims to a plan until a task of a stage fits on the worker. Resources of runs that are
   being stopped count as free. Returns FALSE if no task fits. */
static gboolean
make_plan (bts_worker_t *worker, const bts_stage_t *stage, plan_t *plan)
{
  guint n_leaving;
  bts_resources_t used = used_after_stops (worker, &n_leaving);
  plan->worker = worker;
  plan->victims = g_ptr_array_new ();
  plan->n_fitting = bts_place_count_startable (worker, &used, n_leaving, stage);
  for (guint i = 0; i < worker->runs->len && plan->n_fitting == 0; i++)
    {
      bts_run_t *run = worker->runs->pdata[i];
      if (!is_checkpointed_victim (run, stage))
        continue;
      bts_resources_subtract (&used, &run->resources);
      g_ptr_array_add (plan->victims, run);
      n_leaving++;
      plan->n_fitting = bts_place_count_startable (worker, &used, n_leaving, stage);
    }
  return plan->n_fitting > 0;
}

static GArray *
find_plans (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  gboolean advised = bts_stage_policy (stage)->advised;
  GArray *plans = g_array_new (FALSE, FALSE, sizeof (plan_t));
  g_array_set_clear_func (plans, plan_clear);
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      bts_place_result_t result = bts_place_check (worker, stage, now_us);
      if ((result != BTS_PLACE_OK && result != BTS_PLACE_NO_ROOM && result != BTS_PLACE_NO_SLOT)
          || worker->reserved_pass == sched->pass_number || !is_worth_room (worker, stage, now_us)
          || (advised
              && bts_stage_valid_ticket (stage, worker->number, now_us + TICKET_VALIDITY_MIN_US)
                     == NULL))
        continue;
      plan_t plan = { 0 };
      if (make_plan (worker, stage, &plan))
        g_array_append_val (plans, plan);
      else
        plan_clear (&plan);
    }
  g_array_sort (plans, compare_plans);
  return plans;
}

/* Stops checkpointed runs if that makes room for all tasks of a gang, or for at least one
   task of an urgent stage. */
static gboolean
preempt_checkpointed (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  g_autoptr (GArray) plans = find_plans (sched, stage, now_us);
  guint n_fitting = 0;
  guint n_plans = 0;
  for (; n_plans < plans->len && n_fitting < n_pending; n_plans++)
    n_fitting += g_array_index (plans, plan_t, n_plans).n_fitting;
  if (n_fitting == 0 || (step->gang && n_fitting < n_pending))
    return FALSE;
  stage->next_preempt_us = now_us + CHECKPOINTED_INTERVAL_US;
  guint n_stopped = 0;
  for (guint i = 0; i < n_plans; i++)
    {
      const plan_t *plan = &g_array_index (plans, plan_t, i);
      plan->worker->reserved_pass = sched->pass_number;
      plan->worker->reserved_free_us = now_us;
      memset (&plan->worker->backfill_resources, 0, sizeof plan->worker->backfill_resources);
      stop_victims (sched, plan->victims);
      n_stopped += plan->victims->len;
    }
  bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u workers=%u open=%u saved=1",
          bts_job_id (stage->job), stage->step, n_stopped, n_plans, n_pending);
  return TRUE;
}

static gboolean
has_shortage (const bts_resources_t *shortage)
{
  return shortage->cpu_millis > 0 || shortage->memory_mb > 0 || shortage->gpus > 0;
}

/* Whether the end of a run would make a shortage smaller. */
static gboolean
eases (const bts_run_t *run, const bts_resources_t *shortage)
{
  const bts_resources_t *charged = &run->charged;
  return (shortage->cpu_millis > 0 && charged->cpu_millis > 0)
         || (shortage->memory_mb > 0 && charged->memory_mb > 0)
         || (shortage->gpus > 0 && charged->gpus > 0);
}

/* Chooses runs that together release what is short. Returns NULL if they don't suffice. */
static GPtrArray *
choose_for_quota (const GPtrArray *runs, bts_resources_t shortage)
{
  GPtrArray *victims = g_ptr_array_new ();
  for (guint i = 0; i < runs->len && has_shortage (&shortage); i++)
    {
      bts_run_t *run = runs->pdata[i];
      if (!eases (run, &shortage))
        continue;
      bts_resources_subtract (&shortage, &run->charged);
      g_ptr_array_add (victims, run);
    }
  if (!has_shortage (&shortage))
    return victims;
  g_ptr_array_unref (victims);
  return NULL;
}

/* The runs of a stage's tenant that may be stopped for it, on the workers that it may use, those
   that lose the least work first. */
static GPtrArray *
find_own_victims (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  GPtrArray *runs = g_ptr_array_new ();
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    for (guint i = 0; i < worker->runs->len; i++)
      {
        bts_run_t *run = worker->runs->pdata[i];
        if (run->account == stage->job->account && is_checkpointed_victim (run, stage))
          g_ptr_array_add (runs, run);
      }
  g_ptr_array_sort_with_data (runs, compare_lost_work, &now_us);
  return runs;
}

/**
 * bts_preempt_for_quota() - stop runs of a tenant for its urgent stage that waits for quota
 * @sched: a leading scheduler
 * @stage: the stage
 * @now_us: the current time
 *
 * Stops only runs that have a checkpoint and go on writing them, for as many tasks as the tenant's
 * reserve has left. The quota that they release is kept for urgent work by that reserve.
 */
void
bts_preempt_for_quota (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  bts_account_t *account = stage->job->account;
  if (now_us - stage->quota_since_us < QUOTA_WAIT_US || now_us < account->next_preempt_us
      || now_us > stage->latest_start_us)
    return;
  guint n_pending = bts_stage_count_pending (stage);
  guint n = bts_usage_count_in_reserve (sched->usage, account, step, n_pending);
  if (n == 0)
    return;
  account->next_preempt_us = now_us + QUOTA_INTERVAL_US;
  g_autoptr (GPtrArray) runs = find_own_victims (sched, stage, now_us);
  g_autoptr (GPtrArray) victims = NULL;
  for (; n > 0 && victims == NULL; n = step->gang ? 0 : n - 1)
    victims = choose_for_quota (runs, bts_usage_shortage (account, step, n));
  if (victims == NULL || victims->len == 0)
    return;
  bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u open=%u saved=1 tenant=%s",
          bts_job_id (stage->job), stage->step, victims->len, n_pending, account->name);
  stop_victims (sched, victims);
}

/* Stops the runs that lose the least work, on one worker for each task of a long-running
   stage. */
static void
preempt_for_long_running (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us)
{
  stage->next_preempt_us = now_us + LONG_RUNNING_INTERVAL_US;
  for (guint i = 0; i < n_pending; i++)
    {
      guint n_being_freed;
      gint64 cost = 0;
      g_autoptr (GPtrArray) victims
          = find_cheapest_victims (sched, stage, now_us, &n_being_freed, &cost);
      if (victims == NULL || n_being_freed >= n_pending)
        return;
      bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u loss_core_ms=%" G_GINT64_FORMAT,
              bts_job_id (stage->job), stage->step, victims->len, cost);
      stop_victims (sched, victims);
    }
}

/* A worker on which a task will fit once the runs that are being stopped have ended, or NULL. */
static bts_worker_t *
find_being_freed (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    {
      bts_place_result_t result = bts_place_check (worker, stage, now_us);
      if ((result == BTS_PLACE_NO_ROOM || result == BTS_PLACE_NO_SLOT)
          && will_have_room (worker, stage))
        return worker;
    }
  return NULL;
}

/**
 * bts_preempt_for_move() - make room for one task of a long-running stage that is to move
 * @sched: a leading scheduler
 * @stage: the stage
 * @now_us: the current time
 *
 * Stops runs on one worker, unless room is being made on another one already.
 *
 * Return: the worker that will have room once runs that are being stopped have ended, or NULL.
 */
bts_worker_t *
bts_preempt_for_move (bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  bts_worker_t *worker = find_being_freed (sched, stage, now_us);
  if (worker != NULL)
    return worker;
  guint n_being_freed;
  gint64 cost = 0;
  g_autoptr (GPtrArray) victims
      = find_cheapest_victims (sched, stage, now_us, &n_being_freed, &cost);
  if (victims == NULL)
    return NULL;
  bt_log (BT_LOG_INFO, "preempt", "job=%s step=%u stopped=%u loss_core_ms=%" G_GINT64_FORMAT,
          bts_job_id (stage->job), stage->step, victims->len, cost);
  stop_victims (sched, victims);
  return ((const bts_run_t *)victims->pdata[0])->worker;
}

/* Whether a long-running stage has waited for room for long enough to preempt. One of an earlier
   term has waited under the owner before; if each owner began anew, owners that follow each other
   quickly would never preempt. */
static gboolean
has_waited_long (const bts_sched_t *sched, const bts_stage_t *stage, gint64 waited_us,
                 gint64 now_us)
{
  return waited_us >= LONG_RUNNING_WAIT_US
         || (now_us - sched->term_began_us < LONG_RUNNING_WAIT_US
             && stage->job->offset < bts_ledger_claim_offset (sched->ledger));
}

/**
 * bts_preempt_for() - preempt runs to make room for the tasks of a stage
 * @sched: a leading scheduler
 * @stage: a stage with tasks that couldn't be placed
 * @n_pending: number of these tasks
 * @now_us: the current time
 *
 * Return: whether workers are now reserved for the stage for the rest of this pass, so that other
 * stages don't take the room made on them.
 */
gboolean
bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us)
{
  const Bts__Step *step = bts_stage_step (stage);
  gboolean urgent = bts_stage_policy (stage)->priority == 0;
  if (stage->no_room_since_us == 0)
    stage->no_room_since_us = now_us;
  gint64 waited_us = now_us - stage->no_room_since_us;
  if (now_us < stage->next_preempt_us)
    return FALSE;
  if (step->long_running)
    {
      if (has_waited_long (sched, stage, waited_us, now_us))
        preempt_for_long_running (sched, stage, n_pending, now_us);
      return FALSE;
    }
  if (now_us > stage->latest_start_us || !(urgent || (step->gang && waited_us >= GANG_WAIT_US)))
    return FALSE;
  return preempt_checkpointed (sched, stage, n_pending, now_us);
}
