#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/sched_private.h"

/*
 * What earlier owners may have left running on workers that haven't listed their runs to this
 * owner yet.
 */

/* Margin for the difference between the time of day on two VMs, in milliseconds; above the
   largest difference expected. */
#define CLOCK_SKEW_MARGIN_MS 6000
/* Interval at which what may be running for each tenant is counted, in microseconds: the count
   walks the tasks of all jobs. At least this many times as long as the last count took. */
#define ASSUME_INTERVAL_US (50 * 1000)
#define ASSUME_PAUSE_FACTOR 8
/* How long ago a job may have been cancelled or have failed so that its tasks may still run on a
   worker that doesn't answer, in microseconds: above the longest lease. */
#define ENDED_JOB_US (20 * BT_USEC_PER_SEC)
/* Occurrences of such a job that may still run: they begin in order, a third one after the first
   has ended, or two intervals later. */
#define ENDED_OCCURRENCES_MAX 2

/**
 * bts_sched_max_earlier_lease_ms() - the longest lease that an earlier owner may hold
 * @sched: the scheduler
 * @worker: the worker
 *
 * Orders in flight while a worker restarts request deadlines on the clock of its earlier
 * incarnation, which the worker cuts to the longest lease that it grants. A worker that has
 * restarted recently may therefore have granted more than an owner asks for.
 *
 * Return: the lease in milliseconds.
 */
gint64
bts_sched_max_earlier_lease_ms (const bts_sched_t *sched, const bts_worker_t *worker)
{
  gint64 started_ms = MAX (worker->entry->started_ms, worker->started_ms);
  gint64 age_ms = sched->ops->now_unix_ms (sched->context) - started_ms;
  gboolean recently_started = age_ms < sched->config.hold_max_ms + CLOCK_SKEW_MARGIN_MS;
  return recently_started ? sched->config.hold_max_ms : bts_sched_lease_ms (sched);
}

/**
 * bts_sched_has_remnant() - whether the owner before this one has said what may be left on a worker
 * @sched: a leading scheduler
 * @worker: the worker
 *
 * What earlier ones have said doesn't count, since a later one may have used the worker, nor does
 * anything once the worker has answered. On a new incarnation of it, orders in flight may have
 * started something else.
 */
gboolean
bts_sched_has_remnant (const bts_sched_t *sched, const bts_worker_t *worker)
{
  const bts_remnant_t *remnant = &worker->remnant;
  return remnant->term != 0 && remnant->term + 1 == sched->term && worker->clock_at_us == 0
         && MAX (worker->entry->started_ms, worker->started_ms) <= remnant->started_ms;
}

/**
 * bts_sched_old_leases_expiry_us() - when the leases of earlier owners on a worker have expired
 * @sched: a leading scheduler
 * @worker: a worker that hasn't answered in this term
 */
gint64
bts_sched_old_leases_expiry_us (const bts_sched_t *sched, const bts_worker_t *worker)
{
  gint64 granted_us = bts_lease_max_us (bts_sched_max_earlier_lease_ms (sched, worker));
  gint64 expiry_us = MAX (sched->earlier_leases_end_us, sched->term_began_us + granted_us);
  return bts_sched_has_remnant (sched, worker) ? MIN (expiry_us, worker->remnant.until_us)
                                               : expiry_us;
}

/**
 * bts_sched_may_have_unlisted_runs() - whether a worker that hasn't listed its runs yet may still
 * run tasks of earlier owners
 * @sched: a leading scheduler
 * @worker: the worker
 *
 * A later owner may have renewed a lease that was over by the clock.
 */
gboolean
bts_sched_may_have_unlisted_runs (const bts_sched_t *sched, const bts_worker_t *worker)
{
  if (worker->synced || worker->replaced)
    return FALSE;
  if (worker->partly_listed && worker->hold_failures == 0)
    return TRUE;
  return bts_sched_confirmed_us (sched) < bts_sched_old_leases_expiry_us (sched, worker);
}

/* The labels of a worker without an entry in the registry aren't known. */
static gboolean
may_match (const bts_worker_t *worker, const bts_stage_t *stage)
{
  return worker->registered ? bts_place_matches (worker, stage)
                            : worker->service == stage->job->service;
}

/**
 * bts_sched_may_run_any_unlisted() - whether a task of a stage may run on a worker that hasn't
 * listed its runs yet
 * @sched: a leading scheduler
 * @stage: the stage
 */
gboolean
bts_sched_may_run_any_unlisted (const bts_sched_t *sched, const bts_stage_t *stage)
{
  return !sched->settled && stage->job->offset <= bts_ledger_claim_offset (sched->ledger);
}

/**
 * bts_sched_may_run_unlisted() - whether a task may run on a worker that hasn't listed its runs
 * yet, as an earlier owner may have started it there
 * @sched: a leading scheduler
 * @task: the task
 */
gboolean
bts_sched_may_run_unlisted (const bts_sched_t *sched, const bts_task_t *task)
{
  const bts_stage_t *stage = task->stage;
  if (!bts_sched_may_run_any_unlisted (sched, stage))
    return FALSE;
  g_autofree char *name = NULL;
  for (guint i = 0; i < sched->unsynced->len; i++)
    {
      const bts_worker_t *worker = sched->unsynced->pdata[i];
      /* The advice service may have allowed an earlier owner to use a worker that this owner hasn't
         asked about. */
      gboolean denied = bts_stage_was_asked (stage, worker->number)
                        && bts_stage_ticket (stage, worker->number) == NULL;
      if (denied || !may_match (worker, stage))
        continue;
      if (!bts_sched_has_remnant (sched, worker))
        return TRUE;
      name = name == NULL ? bts_task_name (task) : name;
      if (bts_worker_may_run_remnant (worker, name))
        return TRUE;
    }
  return g_hash_table_size (sched->fleet->workers) == 0;
}

/**
 * bts_sched_find_unlisted() - collect the workers that bts_sched_may_run_unlisted() examines
 * during a pass
 * @sched: a leading scheduler
 */
void
bts_sched_find_unlisted (bts_sched_t *sched)
{
  g_ptr_array_set_size (sched->unsynced, 0);
  if (sched->settled)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (bts_sched_may_have_unlisted_runs (sched, value))
      g_ptr_array_add (sched->unsynced, value);
}

/**
 * bts_sched_are_earlier_runs_known() - whether each run that an earlier owner may have started has
 * been listed or has surely ended
 * @sched: a leading scheduler
 */
gboolean
bts_sched_are_earlier_runs_known (const bts_sched_t *sched)
{
  guint n_workers = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_worker_t *worker = value;
      n_workers++;
      if (bts_sched_may_have_unlisted_runs (sched, worker))
        return FALSE;
    }
  return n_workers > 0 || bts_sched_confirmed_us (sched) >= sched->earlier_leases_end_us;
}

/**
 * bts_sched_log_settled() - log what the term has waited for: leases of earlier owners on workers
 * that haven't answered
 * @sched: a leading scheduler that knows all runs of earlier owners
 */
void
bts_sched_log_settled (const bts_sched_t *sched)
{
  guint n_silent = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n_silent += !((const bts_worker_t *)value)->synced;
  bt_log (BT_LOG_NOTICE, "settled",
          "term=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT " leases_ms=%" G_GINT64_FORMAT
          " silent=%u",
          sched->term, (bts_sched_now (sched) - sched->term_began_us) / 1000,
          (sched->earlier_leases_end_us - sched->term_began_us) / 1000, n_silent);
}

/* Whether all tasks of a stage may be over, as far as this owner knows. */
static gboolean
may_be_over (const bts_sched_t *sched, const bts_stage_t *stage)
{
  bts_task_t untouched;
  for (guint i = 0; i < stage->n_tasks; i++)
    {
      const bts_task_t *task = bts_stage_view_task (stage, i, &untouched);
      if (!task->done && !task->done_pending
          && !(bts_task_is_pending (task) && bts_sched_may_run_unlisted (sched, task)))
        return FALSE;
    }
  return TRUE;
}

/* Whether an earlier owner may have started tasks of a stage: it starts them before the ends of the
   steps that they depend on are in the journal. */
static gboolean
may_have_begun (const bts_sched_t *sched, const bts_occurrence_t *occurrence,
                const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  for (gsize i = 0; i < step->n_after; i++)
    if (!may_be_over (sched, &occurrence->stages[step->after[i]]))
      return FALSE;
  return TRUE;
}

/* Creates the first occurrences of a job that were due before it has ended and aren't done. Until
   now, this process may not have needed them. */
static void
ensure_first_occurrences (const bts_sched_t *sched, bts_job_t *job)
{
  gint64 due_ms = sched->ops->now_unix_ms (sched->context) + sched->config.early_ms;
  guint n_due = bts_job_count_due (job, due_ms);
  guint number = bts_ranges_next_missing (job->done, 0);
  for (guint n = 0; n < ENDED_OCCURRENCES_MAX && number < n_due; n++)
    {
      bts_job_ensure_occurrence (job, number);
      number = bts_ranges_next_missing (job->done, number + 1);
    }
}

static guint
count_unlisted (const bts_sched_t *sched, const bts_stage_t *stage)
{
  guint n = 0;
  bts_task_t untouched;
  for (guint i = 0; i < stage->n_tasks; i++)
    {
      const bts_task_t *task = bts_stage_view_task (stage, i, &untouched);
      n += bts_task_is_pending (task) && bts_sched_may_run_unlisted (sched, task);
    }
  return n;
}

static void
assume_job (const bts_sched_t *sched, bts_job_t *job)
{
  if (bts_job_has_ended (job))
    ensure_first_occurrences (sched, job);
  bts_stage_walk_t walk = { 0 };
  const bts_stage_t *stage;
  while ((stage = bts_job_next_stage (job, &walk)) != NULL)
    if (may_have_begun (sched, bts_job_occurrence (job, stage->occurrence), stage))
      bts_usage_assume (job->account, bts_stage_step (stage), count_unlisted (sched, stage));
}

/* Sums up what may run on the workers that haven't listed their runs. Returns FALSE if the
   resources of one of them aren't known. */
static gboolean
sum_unlisted (const bts_sched_t *sched, bts_resources_t *sum)
{
  for (guint i = 0; i < sched->unsynced->len; i++)
    {
      const bts_worker_t *worker = sched->unsynced->pdata[i];
      bts_resources_t capacity = bts_worker_capacity (worker);
      if (!worker->registered)
        return FALSE;
      bts_resources_add (sum, &capacity);
    }
  return sched->unsynced->len > 0;
}

/**
 * bts_sched_assume_unlisted() - count the tasks of tenants that may be running on workers that
 * haven't listed their runs
 * @sched: a leading scheduler, after bts_sched_find_unlisted()
 * @now_us: the time
 */
void
bts_sched_assume_unlisted (bts_sched_t *sched, gint64 now_us)
{
  if (!sched->settled && now_us < sched->next_assume_us)
    return;
  bts_usage_clear_assumed (sched->usage);
  if (sched->settled)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_job_t *job = value;
      gboolean may_run
          = !bts_job_has_ended (job)
            || ((job->cancelled || job->failed) && now_us - job->ended_us < ENDED_JOB_US);
      if (job->account != NULL && may_run)
        assume_job (sched, job);
    }
  bts_resources_t most = { 0 };
  if (sum_unlisted (sched, &most))
    bts_usage_bound_assumed (sched->usage, &most);
  gint64 end_us = bts_sched_now (sched);
  sched->next_assume_us
      = end_us + MAX (ASSUME_INTERVAL_US, (end_us - now_us) * ASSUME_PAUSE_FACTOR);
}
