#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/crash.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/order.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/recurrence.h"
#include "libbamboothread/scheduler/start.h"

/* Interval between passes over a queue in which nothing has changed, in microseconds: some
   stages wait for a point in time, such as the end of a backoff. */
#define IDLE_PASS_INTERVAL_US (100 * 1000)
/* Shortest interval between passes over a queue of more than LONG_QUEUE_STAGES stages, in
   microseconds: each pass examines every queued stage, unless it ends before. */
#define LONG_QUEUE_PASS_INTERVAL_US (10 * 1000)
#define LONG_QUEUE_STAGES 32
/* Time between two passes, as a multiple of the time that the first took to examine the queue:
   passes over a queue of thousands of stages must leave most of the processor for holds, which keep
   runs alive. The time of tasks that were started doesn't count: what has to be started adds up
   during a pause, so each pause would be longer than the last. A pass during which the process was
   suspended counts as longer than it was, so there is a longest pause, in microseconds. */
#define PASS_PAUSE_FACTOR 3
#define PASS_PAUSE_MAX_US (200 * 1000)
/* A pass ends once it has taken so long to place and start tasks, in microseconds: meanwhile
   replies wait, and so do jobs that have come in, which may be more urgent than the rest of the
   queue. */
#define PASS_PLACING_MAX_US (8 * 1000)
/* While a read of the registry is under way, nothing is started on entries older than this, in
   microseconds: a worker may have been draining since. Replies, the read among them, get the
   processor meanwhile, so the wait is short if the owner itself is what makes the read slow. */
#define ENTRIES_AGE_MAX_US (3000 * 1000)
/* Interval at which placement of a stage is attempted again although no run has ended on the
   workers that it may use, in microseconds: a worker may have come back, a ticket may have been
   renewed, or preemption may be due. */
#define RETRY_INTERVAL_US (100 * 1000)
/* Most stages for which one pass makes reservations; stages further back in the queue get
   theirs in a later pass. */
#define RESERVE_STAGES_MAX 8

/**
 * bts_sched_new() - create a scheduler that doesn't lead a term
 * @config: limits; copied
 * @clock: the process's clock
 * @ledger: state replayed from the journal
 * @fleet: the workers
 * @members: the processes
 * @ops: callbacks; must outlive the scheduler
 * @context: passed to @ops
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
  sched->outbox = bts_outbox_new (bts_run_send_order, sched);
  bts_heartbeat_init (sched);
  sched->speed = bts_speed_new ();
  sched->unsynced = g_ptr_array_new ();
  sched->short_services = g_ptr_array_new ();
  sched->evacuation = bts_evacuation_new ();
  sched->usage = bts_usage_new (config->urgent_quota_percent);
  sched->share = bts_share_new (sched->usage);
  sched->call_share = bts_call_share_new ();
  sched->members = members;
  fleet->interference = config->interference ? bts_interference_new () : NULL;
  return sched;
}

void
bts_sched_free (bts_sched_t *sched)
{
  bts_sched_end_term (sched);
  g_hash_table_unref (sched->runs);
  bts_outbox_free (sched->outbox);
  g_ptr_array_unref (sched->queue);
  g_ptr_array_unref (sched->recurring);
  g_ptr_array_unref (sched->prefetch);
  bts_heartbeat_free (sched);
  g_ptr_array_unref (sched->unsynced);
  g_ptr_array_unref (sched->short_services);
  bts_evacuation_free (sched->evacuation);
  bts_speed_free (sched->speed);
  bts_share_free (sched->share);
  bts_call_share_free (sched->call_share);
  bts_usage_free (sched->usage);
  g_clear_pointer (&sched->fleet->interference, bts_interference_free);
  g_free (sched);
}

/**
 * bts_sched_now() - current time of the process's clock
 * @sched: the scheduler
 *
 * Return: the time in microseconds.
 */
gint64
bts_sched_now (const bts_sched_t *sched)
{
  return bt_clock_now (sched->clock);
}

/**
 * bts_sched_lacks_room() - whether tasks wait for room on the workers of a service
 * @sched: the scheduler
 * @service: the service, interned
 *
 * Also while the last pass ended before it had looked at all tasks.
 */
gboolean
bts_sched_lacks_room (const bts_sched_t *sched, const char *service)
{
  return sched->pass_placing_us >= PASS_PLACING_MAX_US
         || g_ptr_array_find (sched->short_services, service, NULL);
}

gboolean
bts_sched_is_leading (const bts_sched_t *sched)
{
  return sched->term != 0;
}

/**
 * bts_sched_confirmed_us() - when this process was last certain to be the owner
 * @sched: a leading scheduler
 *
 * A lease that expired before that time wasn't renewed by a later owner.
 *
 * Return: the send time of the newest heartbeat that was read back, or the beginning of the term.
 */
gint64
bts_sched_confirmed_us (const bts_sched_t *sched)
{
  return MAX (sched->confirmed_us, sched->term_began_us);
}

/**
 * bts_sched_is_settled() - whether the term has lasted for some time and all earlier runs are
 * known
 * @sched: the scheduler
 * @for_us: least age of the term, in microseconds
 */
gboolean
bts_sched_is_settled (const bts_sched_t *sched, gint64 for_us)
{
  return sched->term != 0 && sched->settled
         && bts_sched_now (sched) - sched->term_began_us >= for_us;
}

/**
 * bts_sched_lease_ms() - length of the leases that the owner requests from workers
 * @sched: the scheduler
 *
 * Return: the length in milliseconds.
 */
gint64
bts_sched_lease_ms (const bts_sched_t *sched)
{
  return MIN (BTS_LEASE_MS, sched->config.hold_max_ms);
}

/**
 * bts_sched_renew_lease() - extend the lease that an order to a worker requests
 * @sched: the scheduler
 * @worker: the worker
 *
 * The deadline stays as it is while the owner hasn't read back a heartbeat of its own for
 * BTS_RENEWAL_CUTOFF_US: the next owner relies on these leases to expire where it can't
 * reach a worker. It also stays as it is while the worker leaves holds unanswered, since
 * the worker's runs are given up when the last lease expires.
 *
 * Return: the lease deadline on the worker's clock, in milliseconds; 0 if that clock isn't
 * known, which leaves the lease as it is.
 */
gint64
bts_sched_renew_lease (bts_sched_t *sched, bts_worker_t *worker)
{
  gint64 now_us = bts_sched_now (sched);
  if (worker->clock_at_us == 0)
    return 0;
  if (worker->hold_failures == 0 && now_us - bts_sched_confirmed_us (sched) < BTS_RENEWAL_CUTOFF_US)
    worker->requested_deadline_ms
        = MAX (worker->requested_deadline_ms,
               bts_worker_clock_ms (worker, now_us) + bts_sched_lease_ms (sched));
  worker->lease_deadline_ms = MAX (worker->lease_deadline_ms, worker->requested_deadline_ms);
  return worker->requested_deadline_ms;
}

/**
 * bts_sched_enqueue() - queue a stage if the steps that it depends on are done
 * @sched: a leading scheduler
 * @stage: the stage
 */
void
bts_sched_enqueue (bts_sched_t *sched, bts_stage_t *stage)
{
  sched->dirty = TRUE;
  stage->retry_us = 0;
  if (stage->queued || bts_job_has_ended (stage->job) || bts_stage_is_done (stage)
      || !bts_stage_is_ready (stage))
    return;
  stage->queued = TRUE;
  /* Otherwise its last orders weren't carried out, and it goes on waiting. */
  if (stage->waiting_since_us == 0)
    stage->waiting_since_us = bts_sched_now (sched);
  bts_order_set_times (stage);
  g_ptr_array_add (sched->queue, stage);
  sched->queue_unsorted = TRUE;
}

/**
 * bts_sched_enqueue_next() - queue the stages that the end of a stage has made ready
 * @sched: a leading scheduler
 * @stage: the stage whose tasks are done
 */
void
bts_sched_enqueue_next (bts_sched_t *sched, const bts_stage_t *stage)
{
  bts_occurrence_t *occurrence = bts_job_occurrence (stage->job, stage->occurrence);
  for (gsize i = stage->step + 1; i < stage->job->accepted->n_steps; i++)
    bts_sched_enqueue (sched, &occurrence->stages[i]);
}

static void
enqueue_occurrence (bts_sched_t *sched, bts_job_t *job, guint number)
{
  bts_occurrence_t *occurrence = bts_job_ensure_occurrence (job, number);
  for (gsize i = 0; i < job->accepted->n_steps; i++)
    bts_sched_enqueue (sched, &occurrence->stages[i]);
}

/**
 * bts_sched_enqueue_job() - queue the stages of a job that are due
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
    enqueue_occurrence (sched, job, 0);
}

static void
open_occurrence (void *sched, bts_job_t *job, guint number)
{
  enqueue_occurrence (sched, job, number);
}

/* Queues occurrences that are due, or will be within half the time by which they may start early. A
   job leaves the list of recurring jobs with its last occurrence. */
static void
enqueue_due_occurrences (bts_sched_t *sched)
{
  gint64 now_ms = sched->recurring->len > 0 ? sched->ops->now_unix_ms (sched->context) : 0;
  guint64 n_waiting = 0;
  for (guint i = 0; i < sched->recurring->len;)
    {
      bts_job_t *job = sched->recurring->pdata[i];
      guint n_due = bts_job_count_due (job, now_ms + (gint64)sched->config.early_ms / 2);
      if (!bts_job_has_ended (job))
        bts_recurrence_open_due (job, n_due, sched->has_spare_memory, bts_sched_now (sched),
                                 open_occurrence, sched);
      n_waiting += bts_recurrence_count_waiting (job, n_due);
      if (job->next_occurrence >= bts_job_count_occurrences (job) || bts_job_has_ended (job))
        g_ptr_array_remove_index_fast (sched->recurring, i);
      else
        i++;
    }
  bt_metrics_set (BT_GAUGE_OCCURRENCES_WAITING, (gint64)n_waiting);
}

/**
 * bts_sched_begin_term() - start to lead a term
 * @sched: the scheduler
 * @term: the term; sent as the fence of all orders
 * @earlier_leases_end_us: when all leases of earlier owners have expired
 */
void
bts_sched_begin_term (bts_sched_t *sched, guint64 term, gint64 earlier_leases_end_us)
{
  bts_sched_end_term (sched);
  sched->term = term;
  sched->term_began_us = bts_sched_now (sched);
  sched->ticked_us = sched->term_began_us;
  sched->confirmed_us = 0;
  sched->earlier_leases_end_us = earlier_leases_end_us;
  sched->calls_workers = FALSE;
  sched->settled = FALSE;
  sched->next_assume_us = 0;
  sched->entries_stale = TRUE;
  bts_call_share_begin_term (sched->call_share, sched->term_began_us);
  guint64 learned_term;
  const Bts__Interference *learned = bts_ledger_interference (sched->ledger, &learned_term);
  bts_interference_begin_term (sched->fleet->interference, term, learned, learned_term);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_worker_reset (value);
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_sched_enqueue_job (sched, value);
  bts_crash_begin_term (sched);
  bts_waiting_reset (&sched->waiting, sched->term_began_us);
  bts_sched_tick (sched);
}

static void
note_short_services (bts_sched_t *sched)
{
  g_ptr_array_set_size (sched->short_services, 0);
  for (guint i = 0; i < sched->queue->len; i++)
    {
      const bts_stage_t *stage = sched->queue->pdata[i];
      if (stage->lacks_room && !bts_sched_lacks_room (sched, stage->job->service))
        g_ptr_array_add (sched->short_services, (gpointer)stage->job->service);
    }
}

/**
 * bts_sched_end_term() - stop leading
 * @sched: the scheduler
 *
 * Runs go on; the next owner finds them in the lists of the workers.
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
  bts_outbox_clear (sched->outbox);
  bts_usage_reset (sched->usage);
  bts_interference_end_term (sched->fleet->interference, sched->fleet);
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bts_job_clear_owner_state (value);
  g_ptr_array_set_size (sched->queue, 0);
  g_ptr_array_set_size (sched->recurring, 0);
  g_ptr_array_set_size (sched->prefetch, 0);
  bt_metrics_set (BT_GAUGE_OCCURRENCES_WAITING, 0);
  bts_heartbeat_clear (sched);
  bts_evacuation_clear (sched->evacuation);
}

/**
 * bts_sched_set_journal_stale() - set whether the journal may hold records not read yet
 * @sched: the scheduler
 * @stale: whether it may; nothing is started while this is set
 */
void
bts_sched_set_journal_stale (bts_sched_t *sched, gboolean stale)
{
  sched->journal_stale = stale;
}

/**
 * bts_sched_is_journal_stale() - whether the journal may hold records not read yet
 * @sched: a leading scheduler
 *
 * Replies that arrived during a stall are handled before the next tick, which notices it.
 */
gboolean
bts_sched_is_journal_stale (const bts_sched_t *sched)
{
  return sched->journal_stale || bts_sched_now (sched) - sched->ticked_us > BTS_STALL_US;
}

/* Whether a task of a stage fits on a worker on which a run has ended since placement of the stage
   was last attempted. */
static gboolean
has_room_appeared (const bts_sched_t *sched, const bts_stage_t *stage)
{
  bts_resources_t demand = bts_place_demand (bts_stage_step (stage));
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    if (worker->freed_pass >= stage->tried_pass
        && bts_worker_has_room (worker, &worker->used, &demand))
      return TRUE;
  return FALSE;
}

/* Whether an attempt to place a stage could end other than the last one. Stages for which workers
   are reserved are always due, since reservations last for one pass only. */
static gboolean
is_due (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  return now_us >= stage->retry_us || stage->reserving || has_room_appeared (sched, stage);
}

/* Whether tasks of a stage would be started if there was room. */
static gboolean
can_use_room (const bts_stage_t *stage, guint n_ready, gint64 now_us)
{
  return bts_start_can_place (stage, n_ready) && now_us >= stage->backoff_until_us;
}

/* Tries to place the ready tasks of a stage, and otherwise to make room for them. */
static void
try_stage (bts_sched_t *sched, bts_stage_t *stage, guint *n_reserving, gint64 now_us)
{
  stage->reserving = FALSE;
  guint n_ready = bts_start_count_ready (sched, stage, now_us);
  if (n_ready == 0 && !sched->settled)
    {
      /* Advice takes a while, and what lasts is late already. */
      if (bts_stage_step (stage)->long_running && bts_stage_count_pending (stage) > 0)
        bts_advice_ensure (sched, stage, now_us);
      return;
    }
  if (can_use_room (stage, n_ready, now_us) && bts_advice_ensure (sched, stage, now_us)
      && bts_job_has_spec (stage->job))
    {
      guint n_placed = bts_start_stage (sched, stage, n_ready);
      if (stage->turn != 0 && n_placed >= stage->turn)
        {
          /* What is left of it waits for its next turn, not for room. */
          sched->dirty = TRUE;
          return;
        }
      n_ready = bts_start_count_ready (sched, stage, now_us);
      stage->lacks_room = n_ready > 0;
    }
  n_ready = bts_quota_count_admitted (sched, stage, n_ready);
  stage->lacks_room = stage->lacks_room && n_ready > 0;
  if (bts_stage_count_pending (stage) == 0)
    return;
  if (n_ready > 0)
    {
      bts_advice_extend (sched, stage, now_us);
    }
  if (can_use_room (stage, n_ready, now_us) && bts_job_has_spec (stage->job))
    {
      gboolean preempts
          = stage->band < BTS_BAND_EXCESS && bts_preempt_for (sched, stage, n_ready, now_us);
      if (!preempts && *n_reserving < RESERVE_STAGES_MAX)
        stage->reserving = bts_reserve_for (sched, stage, n_ready, now_us);
      *n_reserving += stage->reserving;
    }
  stage->tried_pass = sched->pass_number;
  stage->retry_us = now_us + RETRY_INTERVAL_US;
}

/* Whether the entries in use may be of workers that have left or have been draining for long. */
static gboolean
are_entries_old (const bts_sched_t *sched)
{
  return sched->entries_stale
         || (sched->entries_began_us != 0
             && bts_sched_now (sched) - sched->entries_known_us > ENTRIES_AGE_MAX_US);
}

/* Whether the rest of a pass is put off. While orders wait for this process, only urgent tasks are
   placed. */
static gboolean
is_put_off (const bts_sched_t *sched, const bts_stage_t *stage)
{
  return sched->pass_placing_us >= PASS_PLACING_MAX_US
         || (sched->is_sending_behind && bts_stage_policy (stage)->priority > 0);
}

/* What keeps the owner from starting anything, or NULL. */
static const char *
find_pause (const bts_sched_t *sched)
{
  if (bts_sched_is_journal_stale (sched))
    return "the owner has to read the journal first";
  if (!bts_ledger_is_complete (sched->ledger))
    return "the owner has skipped records of the journal";
  return are_entries_old (sched) ? "the owner has to read the registry of workers first" : NULL;
}

/**
 * bts_sched_view() - what placement of a job would depend on now
 * @sched: the scheduler
 * @view: set to it; valid until the scheduler is called again
 *
 * Return: FALSE if the scheduler doesn't lead a term.
 */
gboolean
bts_sched_view (const bts_sched_t *sched, bts_sched_view_t *view)
{
  const bts_sched_view_t now = { find_pause (sched), sched->queue, sched->fleet,
                                 sched->usage,       sched->share, sched->pass_number };
  *view = now;
  return sched->term != 0;
}

/**
 * bts_sched_run_pass() - place queued stages if anything has changed
 * @sched: the scheduler
 */
void
bts_sched_run_pass (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  if (sched->term == 0 || !sched->dirty || find_pause (sched) != NULL
      || now_us < sched->next_pass_us)
    return;
  sched->dirty = FALSE;
  sched->last_pass_us = now_us;
  sched->pass_number++;
  sched->pass_placing_us = 0;
  bts_order_sort (sched->queue, &sched->queue_unsorted, sched->fleet, sched->share, now_us);
  bts_sched_find_unlisted (sched);
  bts_sched_assume_unlisted (sched, now_us);
  bts_usage_begin_pass (sched->usage, now_us);
  bts_evacuate_request (sched, now_us);
  guint n_queued = 0;
  guint n_reserving = 0;
  gboolean was_cut = FALSE;
  for (guint i = 0; i < sched->queue->len; i++)
    {
      bts_stage_t *stage = sched->queue->pdata[i];
      if (stage->band != BTS_BAND_LONG_RUNNING)
        bts_evacuate_reserve (sched, now_us);
      gboolean is_over = is_put_off (sched, stage);
      was_cut = was_cut || is_over;
      if (is_over
          || (!bts_job_has_ended (stage->job)
              && (bts_quota_has_to_wait (sched, stage, now_us) || !is_due (sched, stage, now_us))))
        {
          sched->queue->pdata[n_queued++] = stage;
          continue;
        }
      if (bts_job_has_ended (stage->job) || bts_stage_count_pending (stage) == 0)
        {
          stage->queued = FALSE;
          stage->lacks_room = FALSE;
          if (!bts_start_is_unconfirmed (stage))
            {
              stage->waiting_since_us = 0;
              stage->no_room_since_us = 0;
            }
          if (!bts_job_has_ended (stage->job))
            bts_advice_prefetch (sched, stage);
          continue;
        }
      try_stage (sched, stage, &n_reserving, now_us);
      sched->queue->pdata[n_queued++] = stage;
    }
  g_ptr_array_set_size (sched->queue, (gint)n_queued);
  note_short_services (sched);
  was_cut = was_cut || sched->pass_placing_us >= PASS_PLACING_MAX_US;
  sched->dirty = sched->dirty || was_cut;
  if (!was_cut)
    bts_usage_end_pass (sched->usage);
  gint64 end_us = bts_sched_now (sched);
  gint64 examined_us = end_us - now_us - sched->pass_placing_us;
  gint64 least_us = n_queued > LONG_QUEUE_STAGES && !was_cut ? LONG_QUEUE_PASS_INTERVAL_US : 0;
  sched->next_pass_us
      = end_us + CLAMP (examined_us * PASS_PAUSE_FACTOR, least_us, PASS_PAUSE_MAX_US);
}

/**
 * bts_sched_set_job_memory() - set how much memory jobs take
 * @sched: the scheduler
 * @bytes: the memory
 * @has_spare: whether that is little of what they may take
 */
void
bts_sched_set_job_memory (bts_sched_t *sched, gsize bytes, gboolean has_spare)
{
  sched->job_bytes = bytes;
  sched->has_spare_memory = has_spare;
}

/**
 * bts_sched_count_runs() - number of runs that are known
 * @sched: the scheduler
 *
 * Return: 0 if it doesn't lead a term.
 */
guint
bts_sched_count_runs (const bts_sched_t *sched)
{
  return g_hash_table_size (sched->runs);
}

/**
 * bts_sched_set_append_ms() - set the append latency that heartbeats report
 * @sched: the scheduler
 * @append_ms: time that the newest append took, in milliseconds
 */
void
bts_sched_set_append_ms (bts_sched_t *sched, guint append_ms)
{
  sched->append_ms = append_ms;
}

/**
 * bts_sched_set_tenants() - set the tenants of the newest tables
 * @sched: the scheduler
 * @tenants: the tenants; not kept
 * @version: version of the tables
 */
void
bts_sched_set_tenants (bts_sched_t *sched, const bts_tenants_t *tenants, gint64 version)
{
  bts_usage_set_tenants (sched->usage, tenants, version);
  sched->dirty = TRUE;
}

/**
 * bts_sched_set_tables_known() - set whether the tables were read to their end
 * @sched: the scheduler
 * @known: whether they were; before, the tasks of tenants wait, as caps may be lower by now
 */
void
bts_sched_set_tables_known (bts_sched_t *sched, gboolean known)
{
  sched->dirty = sched->dirty || bts_usage_set_known (sched->usage, known);
}

/**
 * bts_sched_mark_dirty() - note that something has changed, so that the next pass may place tasks
 * @sched: the scheduler
 */
void
bts_sched_mark_dirty (bts_sched_t *sched)
{
  sched->dirty = TRUE;
}

/**
 * bts_sched_flush() - send a heartbeat if one is due, and place tasks
 * @sched: the scheduler
 *
 * To be called after replies have come in. The timers of workers wait for bts_sched_tick(),
 * which examines all of them.
 */
void
bts_sched_flush (bts_sched_t *sched)
{
  if (sched->term == 0)
    return;
  bts_heartbeat_tick (sched);
  bts_sched_send_orders (sched);
  bts_sched_run_pass (sched);
}

static void
visit_worker (void *context, bts_worker_t *worker)
{
  bts_worker_tick (context, worker);
}

/**
 * bts_sched_tick() - do everything that is due
 * @sched: the scheduler
 *
 * To be called every few milliseconds while the scheduler leads a term.
 */
void
bts_sched_tick (bts_sched_t *sched)
{
  if (sched->term == 0)
    return;
  sched->ticked_us = bts_sched_now (sched);
  sched->calls_workers = sched->calls_workers || bts_ledger_is_complete (sched->ledger);
  if (sched->calls_workers)
    bts_rounds_tick (&sched->rounds, sched->fleet->numbered, visit_worker, sched);
  if (!sched->settled && sched->calls_workers && bts_sched_are_earlier_runs_known (sched))
    {
      sched->settled = TRUE;
      sched->dirty = TRUE;
      bts_sched_log_settled (sched);
      bts_gangs_stop_incomplete (sched);
    }
  enqueue_due_occurrences (sched);
  bts_advice_tick (sched);
  if (sched->queue->len > 0 && bts_sched_now (sched) - sched->last_pass_us >= IDLE_PASS_INTERVAL_US)
    sched->dirty = TRUE;
  bts_speed_update (sched->speed, sched->fleet, bts_sched_now (sched));
  bts_heartbeat_tick (sched);
  bts_snapshot_tick (sched);
  bts_evacuate_tick (sched);
  bts_sched_send_orders (sched);
  bts_sched_run_pass (sched);
  bts_sched_report_waiting (sched);
}

void
bts_sched_on_job_accepted (bts_sched_t *sched, bts_job_t *job)
{
  job->account = bts_usage_account (sched->usage, job->accepted->policy);
  job->in_excess = bts_share_is_excess (job->account, job->accepted);
  if (sched->term == 0)
    return;
  if (job->in_excess)
    {
      bt_metrics_count (BT_COUNT_JOBS_EXCESS);
      bt_log (BT_LOG_INFO, "excess", "job=%s tenant=%s weight=%g", bts_job_id (job),
              job->account->name, job->accepted->policy->weight);
    }
  bts_sched_enqueue_job (sched, job);
}

static void
count_job_end (const bts_job_t *job)
{
  gint64 took_ms = (job->ended_us - job->folded_us) / 1000;
  bts_job_state_t state = bts_job_state (job);
  bt_metrics_count (state == BTS_JOB_COMPLETED ? BT_COUNT_JOB_COMPLETED
                    : state == BTS_JOB_FAILED  ? BT_COUNT_JOB_FAILED
                                               : BT_COUNT_JOB_CANCELLED);
  if (state == BTS_JOB_COMPLETED)
    bt_metrics_observe (BT_HIST_JOB_MS, took_ms);
  if (state == BTS_JOB_COMPLETED && took_ms > bts_order_allowed_ms (job))
    bt_metrics_count (BT_COUNT_JOB_LATE);
}

/**
 * bts_sched_on_job_ended() - a job has completed, has failed or was cancelled
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
          (job->ended_us - job->folded_us) / 1000, bts_order_allowed_ms (job));
  count_job_end (job);
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    if (task->run != NULL)
      bts_run_stop (sched, task->run);
}

/**
 * bts_sched_on_run_ended() - the end of a run was read from the journal
 * @sched: the scheduler
 * @task: the task of the run
 * @run: number of the run
 * @outcome: how it ended
 */
void
bts_sched_on_run_ended (bts_sched_t *sched, bts_task_t *task, guint run, bts_run_outcome_t outcome)
{
  if (sched->term == 0)
    return;
  if (run >= task->pending_end_run)
    {
      task->pending_end_run = 0;
      task->done_pending = FALSE;
    }
  bts_stage_t *stage = task->stage;
  if (task->done && task->run != NULL)
    bts_run_stop (sched, task->run);
  bts_sched_enqueue (sched, stage);
  if (bts_stage_is_done (stage))
    bts_sched_enqueue_next (sched, stage);
}

static void
remove_stages (GPtrArray *stages, const bts_job_t *job)
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
  remove_stages (sched->queue, job);
  remove_stages (sched->prefetch, job);
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
 * bts_sched_on_entries_begun() - a read of the registry begins
 * @sched: the scheduler
 */
void
bts_sched_on_entries_begun (bts_sched_t *sched)
{
  sched->entries_began_us = bts_sched_now (sched);
}

/**
 * bts_sched_on_entries() - a read of the registry has completed, or has failed
 * @sched: the scheduler
 * @complete: whether all entries were read
 *
 * After a failure, the entries read before are used: a worker that has left doesn't answer.
 */
void
bts_sched_on_entries (bts_sched_t *sched, gboolean complete)
{
  gboolean is_timed = complete && sched->entries_began_us != 0;
  sched->entries_known_us = is_timed ? sched->entries_began_us : bts_sched_now (sched);
  sched->entries_began_us = 0;
  sched->entries_stale = FALSE;
  sched->dirty = TRUE;
}

/**
 * bts_sched_on_worker_entry() - a worker's entry in the registry was read
 * @sched: the scheduler
 * @id: id of the worker
 * @change: what has changed in the entry
 */
void
bts_sched_on_worker_entry (bts_sched_t *sched, const char *id, bts_entry_change_t change)
{
  bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, id);
  if (worker == NULL)
    return;
  bts_evacuate_on_entry (worker, change, bts_sched_now (sched));
  /* The lists of a restarted worker tell which runs have ended with its earlier incarnation. */
  if (change == BTS_ENTRY_RESTARTED && sched->term != 0)
    worker->hold_next_us = MIN (worker->hold_next_us, bts_sched_now (sched));
  sched->dirty = sched->dirty || change != BTS_ENTRY_UNCHANGED;
}
