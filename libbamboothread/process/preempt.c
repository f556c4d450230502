#include "libbamboothread/process/core_private.h"

/*
 * Preemption: a task that is entitled to room, and has waited for it, takes the
 * place of less urgent or borrowed work that may be run again. The victims are
 * throttled, then checkpointed, then stopped; all of them run on one worker.
 */

/* Wait after which work may preempt less urgent work, and after which it may
 * take back what its team's quota gives it and others borrow. */
#define URGENT_AFTER_US (500 * BT_USEC_PER_MSEC)
#define RECLAIM_AFTER_US (5 * BT_USEC_PER_SEC)
/* Time for room to come by itself while the victims are throttled. */
#define THROTTLE_US (300 * BT_USEC_PER_MSEC)
/* Time for a checkpoint before the victims are stopped without one. */
#define CHECKPOINT_US (2 * BT_USEC_PER_SEC)
/* After this time a preemption is given up. */
#define GIVE_UP_US (15 * BT_USEC_PER_SEC)
/* Preemptions of a pool at a time, those that begin at once, and the pause until the next. */
#define ACTIVE_MAX 8
#define BEGIN_MAX 2
#define PAUSE_US (100 * BT_USEC_PER_MSEC)
/* A job that was preempted so often is left alone. */
#define PREEMPTED_MAX 3
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
 * struct bt_preemption_t - room that is made for one task of a route
 * @job: the job that was first in line for it
 * @victims: ids of attempts
 * @since: when the stage began
 */
typedef struct
{
  GRefString *job;
  GRefString *route;
  GRefString *pool;
  bt_worker_t *worker;
  GPtrArray *victims;
  stage_t stage;
  gint64 begun_at;
  gint64 since;
} bt_preemption_t;

/**
 * struct plan_t - attempts of one worker that would make room
 * @urgency: class of the most urgent of them
 * @cost: work that is lost, in processor time
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
 * bt_preempt_init() - nothing is preempted
 * @core: the core
 */
void
bt_preempt_init (bt_core_t *core)
{
  core->preempt.active = g_ptr_array_new_with_free_func (preemption_free);
}

/**
 * bt_preempt_clear() - forget all
 * @core: the core
 */
void
bt_preempt_clear (bt_core_t *core)
{
  g_ptr_array_unref (core->preempt.active);
}

static gboolean
borrows (const bt_account_t *account)
{
  for (int i = 0; account != NULL && i < BT_RESOURCE_SLOTS; i++)
    if (account->used.v[i] > account->entitled.v[i])
      return TRUE;
  return FALSE;
}

/* Work that has started and may not run again, requests, gangs and victims of late are left alone.
 */
static gboolean
stoppable (const bt_attempt_t *attempt)
{
  const bt_job_t *job = attempt->job;
  if (attempt->phase != BT_PHASE_RUNNING || attempt->stopping || attempt->worker == NULL)
    return FALSE;
  if (job->state != BT_JOB_OPEN || job->request == NULL || !job->idempotent)
    return FALSE;
  if (job->request->kind == BT_KIND_REQUEST || job->request->kind == BT_KIND_GANG)
    return FALSE;
  return job->n_preemptions < PREEMPTED_MAX;
}

static gboolean
yields (const bt_core_t *core, const bt_attempt_t *victim, const bt_job_t *to)
{
  if (!stoppable (victim))
    return FALSE;
  const bt_job_t *job = victim->job;
  gboolean borrowed = borrows (victim->account) && victim->account != to->account;
  gboolean reclaim = borrowed && job->work_class >= to->work_class
                     && core->now - to->submitted_at >= RECLAIM_AFTER_US;
  if (job->request->kind == BT_KIND_SERVICE)
    return reclaim;
  return reclaim || job->work_class > to->work_class;
}

static double
lost_work (const bt_core_t *core, const bt_attempt_t *attempt)
{
  double seconds = (double)(core->now - bt_attempt_started_at (core, attempt)) / BT_USEC_PER_SEC;
  double processors = (double)attempt->need.v[BT_RESOURCE_MCPUS] / 1000;
  return MAX (seconds, 1) * MAX (processors, 0.1);
}

/* Least urgent work first, borrowed work before other work, least lost work first. */
static gboolean
victim_before (const bt_core_t *core, const bt_attempt_t *a, const bt_attempt_t *b)
{
  if (a->job->work_class != b->job->work_class)
    return a->job->work_class > b->job->work_class;
  if (borrows (a->account) != borrows (b->account))
    return borrows (a->account);
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
      if (taken || !yields (core, attempt, job))
        continue;
      if (best == NULL || victim_before (core, attempt, best))
        best = attempt;
    }
  return best;
}

/* Leaves out those for which there is room even so, the most costly first. */
static void
drop_needless (const bt_core_t *core, const bt_job_t *job, plan_t *plan, bt_vector_t *room)
{
  for (guint i = plan->n; i > 0; i--)
    {
      const bt_attempt_t *victim = plan->victims[i - 1];
      bt_vector_t without = *room;
      bt_vector_sub (&without, &victim->need);
      if (!bt_vector_fits (&job->need, &without))
        continue;
      *room = without;
      plan->victims[i - 1] = plan->victims[--plan->n];
    }
  plan->urgency = BT_N_CLASSES;
  for (guint i = 0; i < plan->n; i++)
    {
      plan->urgency = MIN (plan->urgency, plan->victims[i]->job->work_class);
      plan->cost += lost_work (core, plan->victims[i]);
    }
}

/* Return: whether stopping some attempts of a worker would make room. */
static gboolean
plan_worker (const bt_core_t *core, const bt_job_t *job, bt_worker_t *worker, plan_t *plan)
{
  *plan = (plan_t){ .worker = worker };
  bt_vector_t room;
  bt_quota_available (core, job, worker, &room);
  while (!bt_vector_fits (&job->need, &room))
    {
      bt_attempt_t *victim = plan->n < VICTIMS_MAX ? next_victim (core, plan, job) : NULL;
      if (victim == NULL)
        return FALSE;
      plan->victims[plan->n++] = victim;
      bt_vector_add (&room, &victim->need);
    }
  drop_needless (core, job, plan, &room);
  return plan->n > 0;
}

static gboolean
worker_is_free (const bt_core_t *core, const bt_worker_t *worker)
{
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (((const bt_preemption_t *)core->preempt.active->pdata[i])->worker == worker)
      return FALSE;
  return TRUE;
}

static gboolean
plan_better (const plan_t *plan, const plan_t *best)
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
          || !worker_is_free (core, worker) || !plan_worker (core, job, worker, &plan))
        continue;
      if (plan_better (&plan, best))
        *best = plan;
    }
  return best->worker != NULL;
}

static guint
active_in (const bt_core_t *core, const char *pool)
{
  guint n = 0;
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (g_str_equal (((const bt_preemption_t *)core->preempt.active->pdata[i])->pool, pool))
      n++;
  return n;
}

/* Whether less room is being made for a route than it has jobs that wait. */
static gboolean
more_wanted (const bt_core_t *core, const char *route)
{
  guint n = 0;
  for (guint i = 0; i < core->preempt.active->len; i++)
    if (g_str_equal (((const bt_preemption_t *)core->preempt.active->pdata[i])->route, route))
      n++;
  return n < bt_queue_route_length (core, route);
}

/* A job that was itself preempted preempts nothing, so that no cascade follows. */
static gboolean
entitled (bt_core_t *core, const bt_job_t *job)
{
  if (job->work_class == BT_CLASS_BEST_EFFORT || job->n_preemptions > 0 || job->account == NULL)
    return FALSE;
  if (job->request->kind == BT_KIND_GANG || core->now - job->submitted_at < URGENT_AFTER_US)
    return FALSE;
  return bt_quota_is_within_entitlement (core, job->account, &job->need);
}

static void
order_all (bt_core_t *core, bt_preemption_t *preemption, bt_stop_mode_t mode)
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
                    "task %u on %s: %s, to make room for %s", victim->task, victim->worker_name,
                    bt_stop_mode_names[mode], preemption->job);
    }
  preemption->since = core->now;
}

static void
begin (bt_core_t *core, const bt_job_t *job, const plan_t *plan)
{
  bt_preemption_t *preemption = g_new0 (bt_preemption_t, 1);
  preemption->job = g_ref_string_acquire (job->id);
  preemption->route = g_ref_string_acquire (job->route);
  preemption->pool = g_ref_string_acquire (job->pool);
  preemption->worker = plan->worker;
  preemption->begun_at = core->now;
  preemption->victims = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  for (guint i = 0; i < plan->n; i++)
    g_ptr_array_add (preemption->victims, g_ref_string_acquire (plan->victims[i]->id));
  g_ptr_array_add (core->preempt.active, preemption);
  bt_trace_add (core, job->id, "preempts", job->route, "%u tasks on %s make room for it", plan->n,
                plan->worker->name);
  order_all (core, preemption, BT_STOP_THROTTLE);
}

/**
 * bt_preempt_try() - make room for a job that has no place, if it is entitled to it
 * @core: the core
 * @job: a queued job for which no worker was found
 */
void
bt_preempt_try (bt_core_t *core, const bt_job_t *job)
{
  if (core->now < core->preempt.next_begin || !core->owner.settled || !entitled (core, job))
    return;
  core->preempt.next_begin = core->now + PAUSE_US;
  for (guint i = 0; i < BEGIN_MAX; i++)
    {
      plan_t plan;
      gboolean more = more_wanted (core, job->route) && active_in (core, job->pool) < ACTIVE_MAX;
      if (!more || !find_plan (core, job, &plan))
        return;
      begin (core, job, &plan);
    }
}

static gboolean
victims_left (const bt_core_t *core, const bt_preemption_t *preemption)
{
  for (guint i = 0; i < preemption->victims->len; i++)
    if (g_hash_table_contains (core->sched.attempts, preemption->victims->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Return: whether the preemption is over. */
static gboolean
advance (bt_core_t *core, bt_preemption_t *preemption)
{
  gboolean ordered = preemption->stage != STAGE_THROTTLED;
  if (!victims_left (core, preemption) || core->now - preemption->begun_at >= GIVE_UP_US)
    return TRUE;
  if (!ordered && (!core->owner.leading || bt_queue_route_length (core, preemption->route) == 0))
    return TRUE;
  if (!ordered && core->now - preemption->since >= THROTTLE_US)
    {
      preemption->stage = STAGE_CHECKPOINTED;
      order_all (core, preemption, BT_STOP_CHECKPOINT);
    }
  else if (preemption->stage == STAGE_CHECKPOINTED
           && core->now - preemption->since >= CHECKPOINT_US)
    {
      preemption->stage = STAGE_STOPPED;
      order_all (core, preemption, BT_STOP_STOP);
    }
  return FALSE;
}

/**
 * bt_preempt_tick() - go on with what was begun
 * @core: the core
 */
void
bt_preempt_tick (bt_core_t *core)
{
  for (guint i = 0; i < core->preempt.active->len;)
    {
      if (advance (core, core->preempt.active->pdata[i]))
        g_ptr_array_remove_index (core->preempt.active, i);
      else
        i++;
    }
}
