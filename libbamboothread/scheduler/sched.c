#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/place.h"

/* How far the time of day may differ between VMs, in milliseconds, and some more. */
#define YOUNG_MARGIN_MS 6000
/* A job that takes so many times what its objective allows is of no use any more. */
#define HOPELESS_FACTOR 3
/* Time between two applications of what was learned of speeds, in microseconds. */
#define SPEED_US (500 * 1000)
/* Time between two passes over a queue in which nothing has changed, in microseconds:
   some stages wait for a time to come. */
#define PASS_IDLE_US (100 * 1000)
/* Shortest time between two passes over a queue of more than this many stages, in
   microseconds: a pass looks at each stage that waits. */
#define PASS_SPACING_US (10 * 1000)
#define PASS_LONG 32
/* Stages in one pass for which room is kept on workers: those further back in the
   queue will be reached in a later pass. */
#define RESERVE_STAGES_MAX 8

/**
 * bts_sched_new() - a scheduler that doesn't lead yet
 * @config: limits; copied
 * @clock: the process's clock
 * @ledger: the folded journal
 * @fleet: the workers
 * @members: the processes
 * @ops: where orders go
 * @context: handed to @ops
 */
bts_sched_t *
bts_sched_new (const bts_sched_config_t *config, const bt_clock_t *clock, bts_ledger_t *ledger,
               bts_fleet_t *fleet, bts_members_t *members, const bts_sched_ops_t *ops,
               void *context)
{
  bts_sched_t *sched = g_new0 (bts_sched_t, 1);
  sched->config = *config;
  sched->clock = clock;
  sched->ledger = ledger;
  sched->fleet = fleet;
  sched->ops = ops;
  sched->context = context;
  sched->runs = g_hash_table_new (g_int64_hash, g_int64_equal);
  sched->queue = g_ptr_array_new ();
  sched->recurring = g_ptr_array_new ();
  sched->prefetch = g_ptr_array_new ();
  sched->pending_ends = g_ptr_array_new_with_free_func (bts_pending_end_free);
  sched->pending_begun = g_array_new (FALSE, FALSE, sizeof (guint64));
  sched->pending_held = g_ptr_array_new_with_free_func (bts_held_free);
  sched->pending_released = g_ptr_array_new_with_free_func (g_free);
  sched->speed = bts_speed_new ();
  sched->unsynced = g_ptr_array_new ();
  sched->members = members;
  return sched;
}

void
bts_sched_free (bts_sched_t *sched)
{
  bts_sched_end_term (sched);
  g_hash_table_unref (sched->runs);
  g_ptr_array_unref (sched->queue);
  g_ptr_array_unref (sched->recurring);
  g_ptr_array_unref (sched->prefetch);
  g_ptr_array_unref (sched->pending_ends);
  g_array_unref (sched->pending_begun);
  g_ptr_array_unref (sched->pending_held);
  g_ptr_array_unref (sched->pending_released);
  g_ptr_array_unref (sched->unsynced);
  bts_speed_free (sched->speed);
  g_free (sched);
}

gint64
bts_sched_now (const bts_sched_t *sched)
{
  return bt_clock_now (sched->clock);
}

gboolean
bts_sched_is_leading (const bts_sched_t *sched)
{
  return sched->term != 0;
}

/* When the owner last knew that it is the owner: the newest beat that came back was
   sent then, or the term began. */
static gint64
confirmed_us (const bts_sched_t *sched)
{
  return MAX (sched->confirmed_us, sched->term_began_us);
}

/**
 * bts_sched_is_settled() - whether it has led for some time and knows all that runs
 * @sched: the scheduler
 * @for_us: how long, in microseconds
 */
gboolean
bts_sched_is_settled (const bts_sched_t *sched, gint64 for_us)
{
  return sched->term != 0 && sched->settled
         && bts_sched_now (sched) - sched->term_began_us >= for_us;
}

gint64
bts_sched_lease_ms (const bts_sched_t *sched)
{
  return MIN (BTS_LEASE_MS, sched->config.hold_max_ms);
}

/**
 * bts_sched_renew_lease() - the lease to send to a worker now
 * @sched: the scheduler
 * @worker: the worker
 *
 * An owner that hasn't seen its own beats for BTS_RENEWAL_CUTOFF_US lets the
 * leases run out: the next owner counts on that where it can't reach a worker.
 * A worker that leaves holds unanswered gets no longer lease either, since its
 * tasks are given up when the last one is over.
 *
 * Return: a time on the worker's clock, in milliseconds; 0 to leave it as it is.
 */
gint64
bts_sched_renew_lease (bts_sched_t *sched, bts_worker_t *worker)
{
  gint64 now_us = bts_sched_now (sched);
  if (worker->clock_at_us == 0)
    return 0;
  if (worker->hold_failures == 0 && now_us - confirmed_us (sched) < BTS_RENEWAL_CUTOFF_US)
    worker->requested_deadline_ms
        = MAX (worker->requested_deadline_ms,
               bts_worker_clock_ms (worker, now_us) + bts_sched_lease_ms (sched));
  worker->lease_deadline_ms = MAX (worker->lease_deadline_ms, worker->requested_deadline_ms);
  return worker->requested_deadline_ms;
}

/* The longest chain of estimates from the beginning of a stage to the end of its job. */
static gint64
chain_ms (const bts_job_t *job, guint from)
{
  gsize n = job->accepted->n_steps;
  g_autofree gint64 *finish = g_new0 (gint64, n);
  gint64 longest = 0;
  for (gsize i = from; i < n; i++)
    {
      const Bts__Step *step = job->accepted->steps[i];
      gint64 begin = 0;
      for (gsize j = 0; j < step->n_after; j++)
        begin = MAX (begin, finish[step->after[j]]);
      finish[i] = begin + step->estimate_ms;
      longest = MAX (longest, finish[i]);
    }
  return longest;
}

/* The time that a job may take and still meet its objective, about. */
static gint64
allowed_ms (const bts_job_t *job)
{
  const Bts__Policy *policy = job->accepted->policy;
  return (gint64)(policy->stretch * (double)chain_ms (job, 0)) + policy->objective_ms;
}

static gint64
stage_due_us (const bts_stage_t *stage)
{
  const bts_job_t *job = stage->job;
  return job->folded_us + allowed_ms (job) * 1000 - chain_ms (job, stage->step) * 1000;
}

/**
 * bts_sched_enqueue() - put a stage into the queue if its turn has come
 * @sched: a leading scheduler
 * @stage: the stage
 */
void
bts_sched_enqueue (bts_sched_t *sched, bts_stage_t *stage)
{
  sched->dirty = TRUE;
  if (stage->queued || bts_job_has_ended (stage->job) || bts_stage_is_done (stage)
      || !bts_stage_is_ready (stage))
    return;
  stage->queued = TRUE;
  stage->latest_start_us = stage_due_us (stage);
  stage->obsolete_us = stage->job->folded_us + HOPELESS_FACTOR * allowed_ms (stage->job) * 1000;
  g_ptr_array_add (sched->queue, stage);
}

/**
 * bts_sched_enqueue_next() - queue the stages whose turn a stage's end has brought
 * @sched: a leading scheduler
 * @stage: the stage that is over
 */
void
bts_sched_enqueue_next (bts_sched_t *sched, const bts_stage_t *stage)
{
  bts_occurrence_t *occurrence = bts_job_occurrence (stage->job, stage->occurrence);
  for (gsize i = stage->step + 1; i < stage->job->accepted->n_steps; i++)
    bts_sched_enqueue (sched, &occurrence->stages[i]);
}

static void
open_occurrence (bts_sched_t *sched, bts_job_t *job, guint number)
{
  bts_occurrence_t *occurrence = bts_job_ensure_occurrence (job, number);
  for (gsize i = 0; i < job->accepted->n_steps; i++)
    bts_sched_enqueue (sched, &occurrence->stages[i]);
}

/**
 * bts_sched_enqueue_job() - queue what of a job is due
 * @sched: a leading scheduler
 * @job: the job
 */
void
bts_sched_enqueue_job (bts_sched_t *sched, bts_job_t *job)
{
  if (bts_job_has_ended (job))
    return;
  if (job->accepted->repeat > 0)
    g_ptr_array_add (sched->recurring, job);
  else
    open_occurrence (sched, job, 0);
}

/* Opens occurrences whose time has come; a job leaves the list with its last one. */
static void
open_due (bts_sched_t *sched)
{
  gint64 now_ms = sched->recurring->len > 0 ? sched->ops->now_unix_ms (sched->context) : 0;
  for (guint i = 0; i < sched->recurring->len;)
    {
      bts_job_t *job = sched->recurring->pdata[i];
      guint n = bts_job_count_occurrences (job);
      guint opened = 0;
      while (opened < n
             && bts_job_due_ms (job, opened) - (gint64)sched->config.early_ms / 2 <= now_ms)
        open_occurrence (sched, job, opened++);
      if (opened == n || bts_job_has_ended (job))
        g_ptr_array_remove_index_fast (sched->recurring, i);
      else
        i++;
    }
}

/**
 * bts_sched_begin_term() - lead a term
 * @sched: the scheduler
 * @term: the term; the fence of all orders
 * @sure_us: when every lease of an earlier owner has run out
 */
void
bts_sched_begin_term (bts_sched_t *sched, guint64 term, gint64 sure_us)
{
  bts_sched_end_term (sched);
  sched->term = term;
  sched->term_began_us = bts_sched_now (sched);
  sched->confirmed_us = 0;
  sched->earlier_leases_end_us = sure_us;
  sched->settled = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_worker_reset (value);
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_sched_enqueue_job (sched, value);
  bts_sched_tick (sched);
}

static void
forget_owner_state (bts_job_t *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      bts_occurrence_t *occurrence = job->occurrences->pdata[k];
      for (gsize i = 0; occurrence != NULL && i < job->accepted->n_steps; i++)
        {
          bts_stage_t *stage = &occurrence->stages[i];
          stage->queued = FALSE;
          stage->advice_asked_us = 0;
          stage->prefetch_us = 0;
          stage->n_done_pending = 0;
          stage->backoff_until_us = 0;
          for (guint t = 0; t < stage->n_tasks; t++)
            {
              stage->tasks[t].run = NULL;
              stage->tasks[t].pending_end_run = 0;
              /* A later owner may have kept up what this one gave up. */
              stage->tasks[t].lost_run = 0;
              stage->tasks[t].done_pending = FALSE;
            }
        }
    }
  job->begun_reported = FALSE;
}

/**
 * bts_sched_end_term() - stop leading
 * @sched: the scheduler
 *
 * What runs goes on; the next owner finds it on the workers' lists.
 */
void
bts_sched_end_term (bts_sched_t *sched)
{
  if (sched->term == 0)
    return;
  sched->term = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_worker_t *worker = value;
      g_ptr_array_set_size (worker->runs, 0);
      bts_worker_reset (worker);
    }
  g_hash_table_iter_init (&iter, sched->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_run_free (value);
  g_hash_table_remove_all (sched->runs);
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forget_owner_state (value);
  g_ptr_array_set_size (sched->queue, 0);
  g_ptr_array_set_size (sched->recurring, 0);
  g_ptr_array_set_size (sched->prefetch, 0);
  bts_heartbeat_clear (sched);
}

/**
 * bts_sched_max_earlier_lease_ms() - the longest lease that an earlier owner may have got
 * @sched: the scheduler
 * @worker: the worker
 *
 * Orders that were on their way when a worker started anew asked for leases by the
 * clock of its earlier life, which are cut to the longest one; so a young worker may
 * have granted more than an owner asks for.
 */
gint64
bts_sched_max_earlier_lease_ms (const bts_sched_t *sched, const bts_worker_t *worker)
{
  gint64 born_ms = MAX (worker->entry->started_ms, worker->started_ms);
  gint64 age_ms = sched->ops->now_unix_ms (sched->context) - born_ms;
  gboolean young = age_ms < sched->config.hold_max_ms + YOUNG_MARGIN_MS;
  return young ? sched->config.hold_max_ms : bts_sched_lease_ms (sched);
}

/* Whether tasks that an earlier owner started may still run on a worker that has not
   listed its runs yet. */
static gboolean
may_run_unheard (const bts_sched_t *sched, const bts_worker_t *worker)
{
  if (worker->synced || worker->replaced)
    return FALSE;
  gint64 granted_us = bts_lease_max_us (bts_sched_max_earlier_lease_ms (sched, worker));
  return bts_sched_now (sched)
         < MAX (sched->earlier_leases_end_us, sched->term_began_us + granted_us);
}

/* Whether an earlier owner may have started tasks of the stage on a worker that has
   not listed its runs yet. */
static gboolean
uncertain (const bts_sched_t *sched, const bts_stage_t *stage)
{
  if (sched->settled || stage->job->offset > bts_ledger_claim_offset (sched->ledger))
    return FALSE;
  for (guint i = 0; i < sched->unsynced->len; i++)
    {
      const bts_worker_t *worker = sched->unsynced->pdata[i];
      /* Workers that this owner didn't ask about may have been allowed to an earlier one. */
      const bts_ticket_t *ticket = bts_stage_ticket (stage, worker->entry->id);
      gboolean denied = ticket != NULL && ticket->ticket == NULL;
      if (!denied && bts_place_matches (worker, stage))
        return TRUE;
    }
  return g_hash_table_size (sched->fleet->workers) == 0;
}

/* Collects for a pass the workers that uncertain() asks about. */
static void
find_unheard (bts_sched_t *sched)
{
  g_ptr_array_set_size (sched->unsynced, 0);
  if (sched->settled)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (may_run_unheard (sched, value))
      g_ptr_array_add (sched->unsynced, value);
}

static gboolean
task_open (const bts_task_t *task)
{
  return !task->done && task->run == NULL && task->pending_end_run == 0;
}

static guint
count_open (const bts_stage_t *stage)
{
  guint open = 0;
  for (guint i = 0; i < stage->n_tasks; i++)
    open += task_open (&stage->tasks[i]);
  return open;
}

/* A gang starts whole, or not at all, when nothing of its last run is left. */
static gboolean
may_place (const bts_stage_t *stage, guint open)
{
  return open > 0 && (!bts_stage_step (stage)->gang || open == stage->n_tasks);
}

static guint
next_number (const bts_sched_t *sched, const bts_stage_t *stage, const bts_task_t *task)
{
  guint last = task->last_run;
  if (bts_stage_step (stage)->gang)
    for (guint i = 0; i < stage->n_tasks; i++)
      last = MAX (last, stage->tasks[i].last_run);
  /* An earlier owner may have used numbers that this one has not heard of. */
  guint floor = stage->job->offset < bts_ledger_claim_offset (sched->ledger)
                    ? (guint)(sched->term - 1) * BTS_RUNS_PER_TERM
                    : 0;
  return MAX (last, floor) + 1;
}

/* A run that was tried out in a pass and is either started or taken back. */
static bts_run_t *
try_task (bts_sched_t *sched, bts_task_t *task, guint number)
{
  bts_worker_t *worker
      = bts_place_choose (sched->fleet, task, sched->pass_number, bts_sched_now (sched));
  if (worker == NULL)
    return NULL;
  g_autofree char *name = bts_task_name (task);
  const Bts__Step *step = bts_stage_step (task->stage);
  bts_resources_t room = bts_place_demand (step);
  bts_place_charge_reservation (worker, step, sched->pass_number);
  return bts_run_new (sched, task, name, number, &room, worker);
}

static void
take_back (bts_sched_t *sched, GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    bts_run_remove (sched, runs->pdata[i]);
}

/* Takes back the runs whose tickets have run out, and all of a gang with them. */
static void
drop_without_ticket (bts_sched_t *sched, bts_stage_t *stage, GPtrArray *runs, gint64 now_us)
{
  g_autoptr (GPtrArray) without = g_ptr_array_new ();
  for (guint i = 0; i < runs->len; i++)
    {
      bts_run_t *run = runs->pdata[i];
      if (bts_stage_valid_ticket (stage, run->worker->entry->id, now_us) == NULL)
        g_ptr_array_add (without, run);
    }
  if (without->len == 0)
    return;
  if (bts_stage_step (stage)->gang)
    {
      take_back (sched, runs);
      g_ptr_array_set_size (runs, 0);
    }
  else
    {
      for (guint i = 0; i < without->len; i++)
        g_ptr_array_remove (runs, without->pdata[i]);
      take_back (sched, without);
    }
  bts_advice_renew (sched, stage, now_us, now_us);
}

/* Places as many open tasks of a stage as there is room for. */
static void
place_stage (bts_sched_t *sched, bts_stage_t *stage, guint open)
{
  gint64 now_us = bts_sched_now (sched);
  gboolean gang = bts_stage_step (stage)->gang;
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  for (guint i = 0; i < stage->n_tasks; i++)
    {
      bts_task_t *task = &stage->tasks[i];
      if (!task_open (task))
        continue;
      bts_run_t *run = try_task (sched, task, next_number (sched, stage, task));
      if (run == NULL)
        break;
      g_ptr_array_add (runs, run);
    }
  if (runs->len == 0)
    return;
  if (gang && runs->len < open)
    {
      take_back (sched, runs);
      return;
    }
  if (bts_stage_policy (stage)->advised)
    drop_without_ticket (sched, stage, runs, now_us);
  if (runs->len == 0)
    return;
  for (guint i = 0; i < runs->len; i++)
    {
      bts_run_t *run = runs->pdata[i];
      run->task->last_run = run->number;
      bts_run_start (sched, run);
    }
  if (!stage->job->begun && !stage->job->begun_reported)
    bt_metrics_observe (BT_HIST_FIRST_START_MS, (now_us - stage->job->folded_us) / 1000);
  bts_heartbeat_add_begun (sched, stage->job);
}

/* Bands of the queue, the first one first. */
enum
{
  BAND_LASTING,
  BAND_URGENT,
  BAND_URGENT_LATE,
  BAND_IN_TIME,
  BAND_LATE,
  BAND_HOPELESS,
};

/* What can still meet its objective comes before what is late already, and what is
   of no use any more comes last; urgent work comes before all other. */
static void
rank (bts_stage_t *stage, gint64 now_us)
{
  gboolean urgent = bts_stage_policy (stage)->priority == 0;
  if (bts_stage_step (stage)->long_running)
    stage->band = BAND_LASTING;
  else if (now_us > stage->obsolete_us)
    stage->band = BAND_HOPELESS;
  else if (now_us > stage->latest_start_us)
    stage->band = urgent ? BAND_URGENT_LATE : BAND_LATE;
  else
    stage->band = urgent ? BAND_URGENT : BAND_IN_TIME;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const bts_stage_t *left = *(bts_stage_t *const *)a;
  const bts_stage_t *right = *(bts_stage_t *const *)b;
  if (left->band != right->band)
    return left->band < right->band ? -1 : 1;
  if (left->latest_start_us != right->latest_start_us)
    return left->latest_start_us < right->latest_start_us ? -1 : 1;
  return 0;
}

/**
 * bts_sched_set_journal_stale() - say whether the journal may tell more than is known
 * @sched: the scheduler
 * @blind: nothing is started while this holds
 */
void
bts_sched_set_journal_stale (bts_sched_t *sched, gboolean blind)
{
  sched->journal_stale = blind;
}

/**
 * bts_sched_run_pass() - place what waits, if anything has changed
 * @sched: the scheduler
 */
void
bts_sched_run_pass (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  if (sched->term == 0 || !sched->dirty || sched->journal_stale
      || (sched->queue->len > PASS_LONG && now_us - sched->last_pass_us < PASS_SPACING_US))
    return;
  sched->dirty = FALSE;
  sched->last_pass_us = now_us;
  sched->pass_number++;
  for (guint i = 0; i < sched->queue->len; i++)
    rank (sched->queue->pdata[i], now_us);
  g_ptr_array_sort (sched->queue, compare);
  find_unheard (sched);
  guint kept = 0;
  guint reserving = 0;
  for (guint i = 0; i < sched->queue->len; i++)
    {
      bts_stage_t *stage = sched->queue->pdata[i];
      guint open = count_open (stage);
      if (bts_job_has_ended (stage->job) || open == 0)
        {
          stage->queued = FALSE;
          stage->no_room_since_us = 0;
          if (!bts_job_has_ended (stage->job))
            bts_advice_prefetch (sched, stage);
          continue;
        }
      gboolean sure = !uncertain (sched, stage);
      if (sure && may_place (stage, open) && now_us >= stage->backoff_until_us
          && bts_advice_ensure (sched, stage, now_us) && bts_job_has_spec (stage->job))
        {
          place_stage (sched, stage, open);
          open = count_open (stage);
        }
      if (open > 0 && sure)
        {
          bts_advice_extend (sched, stage, now_us);
          if (!bts_preempt_for (sched, stage, open, now_us) && reserving < RESERVE_STAGES_MAX)
            reserving += bts_reserve_for (sched, stage, open, now_us);
        }
      sched->queue->pdata[kept++] = stage;
    }
  g_ptr_array_set_size (sched->queue, (gint)kept);
}

/* Whether all that an earlier owner may have started is on a list or surely over. */
static gboolean
find_settled (const bts_sched_t *sched)
{
  guint known = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_worker_t *worker = value;
      known++;
      if (may_run_unheard (sched, worker))
        return FALSE;
    }
  return known > 0 || bts_sched_now (sched) >= sched->earlier_leases_end_us;
}

static void
apply_speed (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  if (now_us - sched->speed_applied_us < SPEED_US)
    return;
  sched->speed_applied_us = now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((bts_worker_t *)value)->slowness = bts_speed_slowness (sched->speed, value);
}

/**
 * bts_sched_update_gauges() - set the gauges of the owner's part
 * @sched: the scheduler
 */
void
bts_sched_update_gauges (const bts_sched_t *sched)
{
  gint64 silent = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    silent += ((bts_worker_t *)value)->hold_failures > 0;
  bt_metrics_set (BT_GAUGE_LEADING, sched->term != 0);
  bt_metrics_set (BT_GAUGE_WAITING_STAGES, sched->queue->len);
  bt_metrics_set (BT_GAUGE_RUNS, g_hash_table_size (sched->runs));
  bt_metrics_set (BT_GAUGE_WORKERS, g_hash_table_size (sched->fleet->workers));
  bt_metrics_set (BT_GAUGE_WORKERS_SILENT, silent);
}

/**
 * bts_sched_set_append_ms() - say how long appends take
 * @sched: the scheduler
 * @append_ms: time of the newest one, in milliseconds
 */
void
bts_sched_set_append_ms (bts_sched_t *sched, guint append_ms)
{
  sched->append_ms = append_ms;
}

/**
 * bts_sched_mark_dirty() - something that placement looks at has changed
 * @sched: the scheduler
 */
void
bts_sched_mark_dirty (bts_sched_t *sched)
{
  sched->dirty = TRUE;
}

/**
 * bts_sched_flush() - act on answers that have come in
 * @sched: the scheduler
 *
 * What is due at workers waits for bts_sched_tick(), which looks at all of them.
 */
void
bts_sched_flush (bts_sched_t *sched)
{
  if (sched->term == 0)
    return;
  bts_heartbeat_tick (sched);
  bts_sched_run_pass (sched);
}

/**
 * bts_sched_tick() - do what is due
 * @sched: the scheduler
 *
 * To be called every few milliseconds while it leads.
 */
void
bts_sched_tick (bts_sched_t *sched)
{
  if (sched->term == 0)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_worker_tick (sched, value);
  if (!sched->settled && find_settled (sched))
    {
      sched->settled = TRUE;
      sched->dirty = TRUE;
      bt_log (BT_LOG_NOTICE, "settled", "term=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT,
              sched->term, (bts_sched_now (sched) - sched->term_began_us) / 1000);
    }
  open_due (sched);
  bts_advice_tick (sched);
  if (sched->queue->len > 0 && bts_sched_now (sched) - sched->last_pass_us >= PASS_IDLE_US)
    sched->dirty = TRUE;
  apply_speed (sched);
  bts_heartbeat_tick (sched);
  bts_snapshot_tick (sched);
  bts_sched_run_pass (sched);
}

void
bts_sched_on_job_accepted (bts_sched_t *sched, bts_job_t *job)
{
  if (sched->term == 0)
    return;
  bts_sched_enqueue_job (sched, job);
}

static void
count_over (const bts_job_t *job)
{
  gint64 took_ms = (job->ended_us - job->folded_us) / 1000;
  bts_job_state_t state = bts_job_state (job);
  bt_metrics_count (state == BTS_JOB_COMPLETED ? BT_COUNT_JOB_COMPLETED
                    : state == BTS_JOB_FAILED  ? BT_COUNT_JOB_FAILED
                                               : BT_COUNT_JOB_CANCELLED);
  if (state == BTS_JOB_COMPLETED)
    bt_metrics_observe (BT_HIST_JOB_MS, took_ms);
  if (state == BTS_JOB_COMPLETED && took_ms > allowed_ms (job))
    bt_metrics_count (BT_COUNT_JOB_LATE);
}

/**
 * bts_sched_on_job_ended() - a job has ended, failed or was cancelled
 * @sched: the scheduler
 * @job: the job
 */
void
bts_sched_on_job_ended (bts_sched_t *sched, bts_job_t *job)
{
  if (sched->term == 0)
    return;
  const Bts__Policy *policy = job->accepted->policy;
  bt_log (BT_LOG_INFO, "over",
          "job=%s route=%s state=%s took_ms=%" G_GINT64_FORMAT " allowed_ms=%" G_GINT64_FORMAT,
          bts_job_id (job), policy->route, bts_job_state_name (bts_job_state (job)),
          (job->ended_us - job->folded_us) / 1000, allowed_ms (job));
  count_over (job);
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      bts_occurrence_t *occurrence = job->occurrences->pdata[k];
      for (gsize i = 0; occurrence != NULL && i < job->accepted->n_steps; i++)
        for (guint t = 0; t < occurrence->stages[i].n_tasks; t++)
          if (occurrence->stages[i].tasks[t].run != NULL)
            bts_run_stop (sched, occurrence->stages[i].tasks[t].run);
    }
}

/**
 * bts_sched_on_run_ended() - an end is in the journal
 * @sched: the scheduler
 * @task: its task
 * @run: number of the run
 * @how: how it ended
 */
void
bts_sched_on_run_ended (bts_sched_t *sched, bts_task_t *task, guint run, bts_run_outcome_t how)
{
  if (sched->term == 0)
    return;
  if (run >= task->pending_end_run)
    task->pending_end_run = 0;
  bts_stage_t *stage = task->stage;
  if (task->done_pending)
    stage->n_done_pending--;
  task->done_pending = FALSE;
  if (task->done && task->run != NULL)
    bts_run_stop (sched, task->run);
  bts_sched_enqueue (sched, stage);
  if (bts_stage_is_done (stage))
    bts_sched_enqueue_next (sched, stage);
}

static void
forget_stages (GPtrArray *stages, const bts_job_t *job)
{
  for (guint i = 0; i < stages->len;)
    {
      const bts_stage_t *stage = stages->pdata[i];
      if (stage->job == job)
        g_ptr_array_remove_index (stages, i);
      else
        i++;
    }
}

/**
 * bts_sched_on_job_removed() - a job is about to be freed
 * @sched: the scheduler
 * @job: the job
 */
void
bts_sched_on_job_removed (bts_sched_t *sched, bts_job_t *job)
{
  g_ptr_array_remove_fast (sched->recurring, job);
  forget_stages (sched->queue, job);
  forget_stages (sched->prefetch, job);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_run_t *run = value;
      if (run->task != NULL && run->task->stage->job == job)
        run->task = NULL;
    }
}

/**
 * bts_sched_on_worker_entry() - a worker's entry is new or has changed
 * @sched: the scheduler
 * @id: the worker
 * @change: what has changed
 */
void
bts_sched_on_worker_entry (bts_sched_t *sched, const char *id, bts_entry_change_t change)
{
  bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, id);
  if (worker == NULL)
    return;
  /* Its lists tell which runs have ended with the earlier life. */
  if (change == BTS_ENTRY_RESTARTED && sched->term != 0)
    worker->hold_next_us = MIN (worker->hold_next_us, bts_sched_now (sched));
  sched->dirty = sched->dirty || change != BTS_ENTRY_UNCHANGED;
}
