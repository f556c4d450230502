#include "libbamboothread/process/core_private.h"

/*
 * Preemption: stops less urgent work, or work of teams that borrow, in favour of a queued job
 * that has waited for a while and whose team is within its quota. Only work that may be run
 * again is preempted. The victims of one preemption run on one worker; they are throttled, then
 * checkpointed, then stopped.
 */

/* Wait after which a job may preempt less urgent work. */
#define PREEMPT_AFTER_US (500 * BT_USEC_PER_MSEC)
/* Wait after which a job may also preempt services and equally urgent work of other teams that
   borrow, to reclaim the quota of its own team. */
#define RECLAIM_AFTER_US (5 * BT_USEC_PER_SEC)
/* How long the victims are only throttled. They are not stopped if the route has no queued job
   left in this time, as other work has ended and freed resources. */
#define THROTTLE_STAGE_US (300 * BT_USEC_PER_MSEC)
/* Time that the victims have to write a checkpoint and end before they are stopped without one. */
#define CHECKPOINT_STAGE_US (2 * BT_USEC_PER_SEC)
/* Time after which a preemption is abandoned. */
#define PREEMPTION_TIMEOUT_US (15 * BT_USEC_PER_SEC)
/* Maximum number of active preemptions in a pool. */
#define ACTIVE_PER_POOL_MAX 8
/* Maximum number of preemptions that one call of bt_preempt_try() begins. */
#define BEGIN_PER_TRY_MAX 2
/* Shortest time between two tries to begin preemptions, for whichever jobs. */
#define BEGIN_INTERVAL_US (100 * BT_USEC_PER_MSEC)
/* Number of preemptions after which a job is not preempted again. */
#define PREEMPTIONS_PER_JOB_MAX 3
/* Maximum number of victims of one preemption. */
#define VICTIMS_MAX 8

/**
 * enum stage_t - how far a preemption has gone
 */
typedef enum
{
  STAGE_THROTTLED,
  STAGE_CHECKPOINTED,
  STAGE_STOPPED,
} stage_t;

/**
 * struct bt_preemption_t - an active preemption, which frees resources for one task of a route
 * @job: id of the job for which it was begun; another one of the route may start instead
 * @victims: ids of the attempts to stop
 * @stage_began_at: when the stage began
 */
typedef struct
{
  GRefString *job;
  GRefString *route;
  GRefString *pool;
  bt_worker_t *worker;
  GPtrArray *victims;
  stage_t stage;
  gint64 began_at;
  gint64 stage_began_at;
} bt_preemption_t;

/**
 * struct plan_t - attempts on one worker whose end would free enough resources
 * @n: number of victims
 * @urgency: class of the most urgent victim
 * @cost: work that would be lost, in processor seconds
 */
typedef struct
{
  bt_worker_t *worker;
  bt_attempt_t *victims[VICTIMS_MAX];
  guint n;
  bt_class_t urgency;
  double cost;
} plan_t;

static void
preemption_free (gpointer data)
{
  bt_preemption_t *preemption = data;
  g_ref_string_release (preemption->job);
  g_ref_string_release (preemption->route);
  g_ref_string_release (preemption->pool);
  g_ptr_array_unref (preemption->victims);
  g_free (preemption);
}

/**
 * bt_preempt_init() - start without active preemptions
 * @core: the core
 */
void
bt_preempt_init (bt_core_t *core)
{
  core->preempt.active = g_ptr_array_new_with_free_func (preemption_free);
}

/**
 * bt_preempt_clear() - free the active preemptions
 * @core: the core
 */
void
bt_preempt_clear (bt_core_t *core)
{
  g_ptr_array_unref (core->preempt.active);
}

/* Whether a team uses more than its entitlement; slots and connections do not count. */
static gboolean
is_borrowing (const bt_account_t *account)
{
  for (int i = 0; account != NULL && i < BT_RESOURCE_SLOTS; i++)
    if (account->used.v[i] > account->entitled.v[i])
      return TRUE;
  return FALSE;
}

/* Whether an attempt may be preempted by some job. Excluded are attempts that do not run or are
   being stopped, work that must not run twice, jobs of the kinds request and gang, and jobs that
   were preempted PREEMPTIONS_PER_JOB_MAX times. */
static gboolean
is_preemptible (const bt_attempt_t *attempt)
{
  const bt_job_t *job = attempt->job;
  if (attempt->phase != BT_PHASE_RUNNING || attempt->stopping || attempt->worker == NULL)
    return FALSE;
  if (job->state != BT_JOB_OPEN || job->request == NULL || !job->idempotent)
    return FALSE;
  if (job->request->kind == BT_KIND_REQUEST || job->request->kind == BT_KIND_GANG)
    return FALSE;
  return job->n_preemptions < PREEMPTIONS_PER_JOB_MAX;
}

static gboolean
may_preempt (const bt_core_t *core, const bt_attempt_t *victim, const bt_job_t *preemptor)
{
  if (!is_preemptible (victim))
    return FALSE;
  const bt_job_t *job = victim->job;
  gboolean victim_borrows = is_borrowing (victim->account) && victim->account != preemptor->account;
  gboolean reclaim = victim_borrows && job->work_class >= preemptor->work_class
                     && core->now - preemptor->submitted_at >= RECLAIM_AFTER_US;
  if (job->request->kind == BT_KIND_SERVICE)
    return reclaim;
  return reclaim || job->work_class > preemptor->work_class;
}

static double
lost_work (const bt_core_t *core, const bt_attempt_t *attempt)
{
  double seconds = (double)(core->now - bt_attempt_started_at (core, attempt)) / BT_USEC_PER_SEC;
  double processors = (double)attempt->need.v[BT_RESOURCE_MCPUS] / 1000;
  return MAX (seconds, 1) * MAX (processors, 0.1);
}

/* Whether @a is to be preempted before @b: less urgent work first, then work of borrowing teams,
   then the attempt that loses less work. */
static gboolean
is_better_victim (const bt_core_t *core, const bt_attempt_t *a, const bt_attempt_t *b)
{
  if (a->job->work_class != b->job->work_class)
    return a->job->work_class > b->job->work_class;
  if (is_borrowing (a->account) != is_borrowing (b->account))
    return is_borrowing (a->account);
  double lost_a = lost_work (core, a);
  double lost_b = lost_work (core, b);
  return lost_a != lost_b ? lost_a < lost_b : g_strcmp0 (a->id, b->id) < 0;
}

static bt_attempt_t *
next_victim (const bt_core_t *core, const plan_t *plan, const bt_job_t *job)
{
  bt_attempt_t *best = NULL;
  GHashTableIter iter;
  bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, plan->worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    {
      gboolean taken = FALSE;
      for (guint i = 0; i < plan->n; i++)
        taken = taken || plan->victims[i] == attempt;
      if (taken || !may_preempt (core, attempt, job))
        continue;
      if (best == NULL || is_better_victim (core, attempt, best))
        best = attempt;
    }
  return best;
}

/* Drops victims without which the job still fits, beginning with the one chosen last, which was
   the worst choice, and computes the plan's urgency and cost. */
static void
drop_unneeded_victims (const bt_core_t *core, const bt_job_t *job, plan_t *plan,
                       bt_resources_t *available)
{
  for (guint i = plan->n; i > 0; i--)
    {
      const bt_attempt_t *victim = plan->victims[i - 1];
      bt_resources_t remaining = *available;
      bt_resources_subtract (&remaining, &victim->need);
      if (!bt_resources_fit (&job->need, &remaining))
        continue;
      *available = remaining;
      plan->victims[i - 1] = plan->victims[--plan->n];
    }
  plan->urgency = BT_N_CLASSES;
  for (guint i = 0; i < plan->n; i++)
    {
      plan->urgency = MIN (plan->urgency, plan->victims[i]->job->work_class);
      plan->cost += lost_work (core, plan->victims[i]);
    }
}

/* Chooses victims on a worker. Returns whether stopping them would let the job fit. */
static gboolean
plan_worker (const bt_core_t *core, const bt_job_t *job, bt_worker_t *worker, plan_t *plan)
{
  *plan = (plan_t){ .worker = worker };
  bt_resources_t available;
  bt_quota_available (core, job, worker, &available);
  while (!bt_resources_fit (&job->need, &available))
    {
      bt_attempt_t *victim = plan->n < VICTIMS_MAX ? next_victim (core, plan, job) : NULL;
      if (victim == NULL)
        return FALSE;
      plan->victims[plan->n++] = victim;
      bt_resources_add (&available, &victim->need);
    }
  drop_unneeded_victims (core, job, plan, &available);
  return plan->n > 0;
}

static gboolean
has_no_active_preemption (const bt_core_t *core, const bt_worker_t *worker)
{
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (((const bt_preemption_t *)core->preempt.active->pdata[i])->worker == worker)
      return FALSE;
  return TRUE;
}

static gboolean
is_better_plan (const plan_t *plan, const plan_t *best)
{
  if (best->worker == NULL || plan->urgency != best->urgency)
    return best->worker == NULL || plan->urgency > best->urgency;
  if (plan->cost != best->cost)
    return plan->cost < best->cost;
  return g_strcmp0 (plan->worker->name, best->worker->name) < 0;
}

static gboolean
find_plan (const bt_core_t *core, const bt_job_t *job, plan_t *best)
{
  *best = (plan_t){ .worker = NULL };
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      plan_t plan;
      if (!g_str_equal (worker->pool, job->pool) || !bt_owner_may_start (core, worker)
          || !bt_health_allows (worker, job) || !bt_gang_may_backfill (core, worker, job)
          || !has_no_active_preemption (core, worker) || !plan_worker (core, job, worker, &plan))
        continue;
      if (is_better_plan (&plan, best))
        *best = plan;
    }
  return best->worker != NULL;
}

static guint
count_active_in_pool (const bt_core_t *core, const char *pool)
{
  guint n = 0;
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (g_str_equal (((const bt_preemption_t *)core->preempt.active->pdata[i])->pool, pool))
      n++;
  return n;
}

/* Whether a route has more queued jobs than there are active preemptions for it. */
static gboolean
has_unserved_jobs (const bt_core_t *core, const char *route)
{
  guint n = 0;
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (g_str_equal (((const bt_preemption_t *)core->preempt.active->pdata[i])->route, route))
      n++;
  return n < bt_queue_route_length (core, route);
}

/* Whether a job may preempt other work. A job that was itself preempted may not, which prevents
   cascades. */
static gboolean
may_preempt_others (bt_core_t *core, const bt_job_t *job)
{
  if (job->work_class == BT_CLASS_BEST_EFFORT || job->n_preemptions > 0 || job->account == NULL)
    return FALSE;
  if (job->request->kind == BT_KIND_GANG || core->now - job->submitted_at < PREEMPT_AFTER_US)
    return FALSE;
  return bt_quota_is_within_entitlement (core, job->account, &job->need);
}

/* Orders the victims to be throttled, checkpointed or stopped, which begins a stage. */
static void
stop_victims (bt_core_t *core, bt_preemption_t *preemption, bt_stop_mode_t mode)
{
  for (guint i = 0; i < preemption->victims->len; i++)
    {
      bt_attempt_t *victim
          = g_hash_table_lookup (core->sched.attempts, preemption->victims->pdata[i]);
      if (victim == NULL || victim->phase != BT_PHASE_RUNNING)
        continue;
      if (mode == BT_STOP_CHECKPOINT)
        {
          victim->job->n_preemptions++;
          core->counters.tasks_preempted++;
        }
      if (mode != BT_STOP_THROTTLE || !victim->throttled)
        bt_stop_attempt (core, victim, mode);
      bt_trace_add (core, victim->job->id, "preempted", victim->job->route,
                    "task %u on %s: %s, to free resources for %s", victim->task,
                    victim->worker_name, bt_stop_mode_names[mode], preemption->job);
    }
  preemption->stage_began_at = core->now;
}

static void
begin_preemption (bt_core_t *core, const bt_job_t *job, const plan_t *plan)
{
  bt_preemption_t *preemption = g_new0 (bt_preemption_t, 1);
  preemption->job = g_ref_string_acquire (job->id);
  preemption->route = g_ref_string_acquire (job->route);
  preemption->pool = g_ref_string_acquire (job->pool);
  preemption->worker = plan->worker;
  preemption->began_at = core->now;
  preemption->victims = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  for (guint i = 0; i < plan->n; i++)
    g_ptr_array_add (preemption->victims, g_ref_string_acquire (plan->victims[i]->id));
  g_ptr_array_add (core->preempt.active, preemption);
  bt_trace_add (core, job->id, "preempts", job->route, "%u tasks on %s are to be preempted for it",
                plan->n, plan->worker->name);
  stop_victims (core, preemption, BT_STOP_THROTTLE);
}

/**
 * bt_preempt_try() - begin preemptions for a job that could not be placed, if it may preempt
 * @core: the core
 * @job: a queued job for which no worker was found
 */
void
bt_preempt_try (bt_core_t *core, const bt_job_t *job)
{
  if (core->now < core->preempt.next_begin || !core->owner.settled
      || !may_preempt_others (core, job))
    return;
  core->preempt.next_begin = core->now + BEGIN_INTERVAL_US;
  for (guint i = 0; i < BEGIN_PER_TRY_MAX; i++)
    {
      plan_t plan;
      gboolean may_begin = has_unserved_jobs (core, job->route)
                           && count_active_in_pool (core, job->pool) < ACTIVE_PER_POOL_MAX;
      if (!may_begin || !find_plan (core, job, &plan))
        return;
      begin_preemption (core, job, &plan);
    }
}

static gboolean
has_remaining_victims (const bt_core_t *core, const bt_preemption_t *preemption)
{
  for (guint i = 0; i < preemption->victims->len; i++)
    if (g_hash_table_contains (core->sched.attempts, preemption->victims->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Moves a preemption to its next stage when that is due. Returns whether it is over. */
static gboolean
advance_preemption (bt_core_t *core, bt_preemption_t *preemption)
{
  gboolean stop_ordered = preemption->stage != STAGE_THROTTLED;
  if (!has_remaining_victims (core, preemption)
      || core->now - preemption->began_at >= PREEMPTION_TIMEOUT_US)
    return TRUE;
  if (!stop_ordered
      && (!core->owner.leading || bt_queue_route_length (core, preemption->route) == 0))
    return TRUE;
  if (!stop_ordered && core->now - preemption->stage_began_at >= THROTTLE_STAGE_US)
    {
      preemption->stage = STAGE_CHECKPOINTED;
      stop_victims (core, preemption, BT_STOP_CHECKPOINT);
    }
  else if (preemption->stage == STAGE_CHECKPOINTED
           && core->now - preemption->stage_began_at >= CHECKPOINT_STAGE_US)
    {
      preemption->stage = STAGE_STOPPED;
      stop_victims (core, preemption, BT_STOP_STOP);
    }
  return FALSE;
}

/**
 * bt_preempt_tick() - advance the active preemptions
 * @core: the core
 */
void
bt_preempt_tick (bt_core_t *core)
{
  for (guint i = 0; i < core->preempt.active->len;)
    {
      if (advance_preemption (core, core->preempt.active->pdata[i]))
        g_ptr_array_remove_index (core->preempt.active, i);
      else
        i++;
    }
}
