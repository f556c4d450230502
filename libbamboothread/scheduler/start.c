#include "libbamboothread/scheduler/start.h"

#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/sched_private.h"

/*
 * Placement of the tasks of one stage: which of them may be started, on which workers, with which
 * tickets.
 */

/**
 * bts_start_has_to_wait() - whether a task must not be started now, though nothing runs it
 * @sched: a leading scheduler
 * @task: the task
 * @now_us: the current time
 */
gboolean
bts_start_has_to_wait (const bts_sched_t *sched, const bts_task_t *task, gint64 now_us)
{
  return bts_crash_is_waiting (task, now_us) || bts_sched_may_run_unlisted (sched, task);
}

/* The same as bts_start_count_ready() for a stage of which nothing runs unlisted. */
static guint
count_ready_settled (const bts_stage_t *stage, gint64 now_us)
{
  guint n_ready = stage->n_tasks;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    {
      gboolean waits = bts_task_is_pending (task) && bts_crash_is_waiting (task, now_us);
      if (waits && bts_stage_step (stage)->gang)
        return 0;
      n_ready -= waits || !bts_task_is_pending (task);
    }
  return n_ready;
}

/**
 * bts_start_count_ready() - number of pending tasks of a stage that may be started now
 * @sched: a leading scheduler
 * @stage: the stage; a gang waits as a whole for a member that has to wait
 * @now_us: the current time
 */
guint
bts_start_count_ready (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  guint n_ready = 0;
  bts_task_t untouched;
  if (!bts_sched_may_run_any_unlisted (sched, stage))
    return count_ready_settled (stage, now_us);
  for (guint i = 0; i < stage->n_tasks; i++)
    {
      const bts_task_t *task = bts_stage_view_task (stage, i, &untouched);
      if (!bts_task_is_pending (task))
        continue;
      if (!bts_start_has_to_wait (sched, task, now_us))
        n_ready++;
      else if (bts_stage_step (stage)->gang)
        return 0;
    }
  return n_ready;
}

/**
 * bts_start_can_place() - whether a stage can be placed
 * @stage: the stage; a gang is placed as a whole, after all tasks of its previous run have ended
 * @n_ready: number of its tasks that may be started now
 */
gboolean
bts_start_can_place (const bts_stage_t *stage, guint n_ready)
{
  return n_ready > 0 && (!bts_stage_step (stage)->gang || n_ready == stage->n_tasks);
}

static guint
next_run_number (const bts_sched_t *sched, const bts_stage_t *stage, const bts_task_t *task)
{
  guint last = task->last_run;
  const bts_task_t *member;
  if (bts_stage_step (stage)->gang)
    for (guint i = 0; (member = bts_stage_next_task (stage, &i)) != NULL;)
      last = MAX (last, member->last_run);
  /* Earlier owners may have used numbers that this one doesn't know of, BTS_RUNS_PER_TERM at most
     in each term. */
  guint earlier_owners_last = stage->job->offset < bts_ledger_claim_offset (sched->ledger)
                                  ? (guint)(sched->term - 1) * BTS_RUNS_PER_TERM
                                  : 0;
  return MAX (last, earlier_owners_last) + 1;
}

/* Creates a run that the caller either starts or removes before the pass ends. */
static bts_run_t *
place_tentatively (bts_sched_t *sched, const bts_task_t *task, guint number)
{
  gint64 now_us = bts_sched_now (sched);
  g_autofree char *name = bts_task_name (task);
  bts_worker_t *worker = bts_evacuate_target (sched, task, name, now_us);
  if (worker == NULL)
    worker = bts_place_choose (sched->fleet, task, sched->pass_number, now_us);
  if (worker == NULL)
    return NULL;
  const Bts__Step *step = bts_stage_step (task->stage);
  bts_resources_t demand = bts_place_demand (step);
  bts_place_charge_reservation (worker, step, sched->pass_number);
  return bts_run_new (sched, bts_stage_task (task->stage, task->index), name, number, &demand,
                      worker);
}

static void
remove_runs (bts_sched_t *sched, GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    bts_run_remove (sched, runs->pdata[i]);
}

/* Removes the runs that were placed on workers for which the stage has no valid ticket, or all
   runs of a gang if one of them lacks a ticket, and requests new tickets. */
static void
remove_runs_without_ticket (bts_sched_t *sched, bts_stage_t *stage, GPtrArray *runs, gint64 now_us)
{
  g_autoptr (GPtrArray) without_ticket = g_ptr_array_new ();
  for (guint i = 0; i < runs->len; i++)
    {
      bts_run_t *run = runs->pdata[i];
      if (bts_stage_valid_ticket (stage, run->worker->number, now_us) == NULL)
        g_ptr_array_add (without_ticket, run);
    }
  if (without_ticket->len == 0)
    return;
  if (bts_stage_step (stage)->gang)
    {
      remove_runs (sched, runs);
      g_ptr_array_set_size (runs, 0);
    }
  else
    {
      for (guint i = 0; i < without_ticket->len; i++)
        g_ptr_array_remove (runs, without_ticket->pdata[i]);
      remove_runs (sched, without_ticket);
    }
  bts_advice_renew (sched, stage, now_us, now_us);
}

/**
 * bts_start_stage() - start as many ready tasks of a stage as there is room for, or as its turn
 * allows; of a gang, all or none
 * @sched: a leading scheduler
 * @stage: a stage that can be placed
 * @n_ready: number of its tasks that may be started now
 *
 * Return: how many were started.
 */
guint
bts_start_stage (bts_sched_t *sched, bts_stage_t *stage, guint n_ready)
{
  gint64 now_us = bts_sched_now (sched);
  gboolean gang = bts_stage_step (stage)->gang;
  guint n_admitted = bts_quota_count_admitted (sched, stage, n_ready);
  n_admitted = stage->turn == 0 ? n_admitted : MIN (n_admitted, stage->turn);
  if (gang && !bts_place_may_fit (sched->fleet, stage, n_ready, now_us))
    return 0;
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  for (guint i = 0; i < stage->n_tasks && runs->len < n_admitted; i++)
    {
      bts_task_t untouched;
      const bts_task_t *task = bts_stage_view_task (stage, i, &untouched);
      if (!bts_task_is_pending (task) || bts_start_has_to_wait (sched, task, now_us))
        continue;
      gboolean suspect = bts_crash_is_suspect (task);
      bts_run_t *run = place_tentatively (sched, task, next_run_number (sched, stage, task));
      if (run != NULL || suspect)
        bts_crash_on_placed (bts_stage_task (stage, i), run != NULL, now_us);
      if (run != NULL)
        g_ptr_array_add (runs, run);
      else if (!suspect)
        break;
    }
  if (runs->len == 0)
    return 0;
  if (gang && runs->len < n_ready)
    {
      remove_runs (sched, runs);
      bts_stage_trim_tasks (stage);
      return 0;
    }
  if (bts_stage_policy (stage)->advised)
    remove_runs_without_ticket (sched, stage, runs, now_us);
  if (runs->len == 0)
    {
      bts_stage_trim_tasks (stage);
      return 0;
    }
  for (guint i = 0; i < runs->len; i++)
    {
      bts_run_t *run = runs->pdata[i];
      run->task->last_run = run->number;
      bts_run_start (sched, run);
    }
  bts_sched_send_orders (sched);
  sched->pass_placing_us += bts_sched_now (sched) - now_us;
  return runs->len;
}

/**
 * bts_start_is_unconfirmed() - whether a worker may still reject a task of a stage
 * @stage: the stage, all tasks of which have been ordered
 *
 * Return: TRUE if a run hasn't been confirmed. Without its task the stage goes on waiting.
 */
gboolean
bts_start_is_unconfirmed (const bts_stage_t *stage)
{
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    if (task->run != NULL && !task->run->has_begun)
      return TRUE;
  return FALSE;
}
