#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/scheduler/blame.h"
#include "libbamboothread/scheduler/crash.h"

/*
 * Heartbeats: the owner's Beat records in the journal. Each one carries the ends
 * that workers have listed and shows the other processes that the owner is
 * alive. An end is acknowledged to its worker, which then forgets it, only
 * after the heartbeat with it has been read back from the journal.
 */

/* Least time between two heartbeats, in microseconds; bounds the rate while ends come in,
   since each heartbeat is an append and a read by every process. */
#define HEARTBEAT_MIN_INTERVAL_US (40 * 1000)
/* Time between two heartbeats when there is nothing to report, in microseconds; well below
   the election timeout. */
#define HEARTBEAT_IDLE_INTERVAL_US (150 * 1000)
/* Time after which a heartbeat that wasn't read back is appended again, in microseconds;
   folding its contents twice changes nothing. */
#define HEARTBEAT_RETRY_US (700 * 1000)
/* Most heartbeats whose way back is awaited. */
#define SENT_MAX 32
/* Most ends in one record, most bytes of them, of the reports of each kind, and most jobs that have
   begun; they keep it below the store's size limit of a record. What is left goes with the next. */
#define HEARTBEAT_ENDS_MAX 1000
#define HEARTBEAT_ENDS_BYTES (64 * 1024)
#define HEARTBEAT_REPORT_BYTES (24 * 1024)
#define HEARTBEAT_BEGUN_MAX 2000
/* Bytes of a field beside its value. */
#define FIELD_BYTES 5

static void
pending_end_free (gpointer data)
{
  bts_pending_end_t *item = data;
  g_free (item->worker);
  if (item->end != NULL)
    bts__end__free_unpacked (item->end, NULL);
  g_free (item);
}

static void
message_free (gpointer data)
{
  protobuf_c_message_free_unpacked (data, NULL);
}

/**
 * bts_heartbeat_init() - initialize what a scheduler reports in heartbeats
 * @sched: the scheduler
 */
void
bts_heartbeat_init (bts_sched_t *sched)
{
  sched->pending_ends = g_ptr_array_new_with_free_func (pending_end_free);
  sched->pending_begun = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < BTS_N_REPORTS; i++)
    sched->reports[i]
        = g_ptr_array_new_with_free_func (i == BTS_REPORT_RELEASED ? g_free : message_free);
  sched->sent_heartbeats = g_array_new (FALSE, FALSE, sizeof (bts_sent_heartbeat_t));
}

/**
 * bts_heartbeat_free() - free what bts_heartbeat_init() has initialized
 * @sched: the scheduler
 */
void
bts_heartbeat_free (bts_sched_t *sched)
{
  g_ptr_array_unref (sched->pending_ends);
  g_array_unref (sched->pending_begun);
  for (guint i = 0; i < BTS_N_REPORTS; i++)
    g_ptr_array_unref (sched->reports[i]);
  g_array_unref (sched->sent_heartbeats);
}

static void
add_report (bts_sched_t *sched, bts_report_kind_t kind, gpointer item)
{
  g_ptr_array_add (sched->reports[kind], item);
}

static Bts__End *
end_message_new (const bts_listed_end_t *row, const bts_task_t *task)
{
  Bts__End *end = malloc (sizeof *end);
  bts__end__init (end);
  end->job = bts_job_number (task->stage->job);
  end->occurrence = task->stage->occurrence;
  end->step = task->stage->step;
  end->index = task->index;
  end->run = row->number;
  end->how = row->outcome;
  end->saved = strdup (row->outcome == BTS_OUTCOME_DONE ? "" : row->checkpoint);
  return end;
}

/**
 * bts_heartbeat_add_end() - queue the end of a run for the next heartbeat
 * @sched: the scheduler
 * @worker: the worker that listed it
 * @row: the end, as the worker listed it
 * @task: its task, or NULL if the end isn't to be recorded; it is still acknowledged in order
 */
void
bts_heartbeat_add_end (bts_sched_t *sched, const bts_worker_t *worker, const bts_listed_end_t *row,
                       bts_task_t *task)
{
  bts_pending_end_t *item = g_new0 (bts_pending_end_t, 1);
  item->worker = g_strdup (worker->entry->id);
  item->generation = worker->generation;
  item->seq = row->seq;
  item->end = task == NULL ? NULL : end_message_new (row, task);
  g_ptr_array_add (sched->pending_ends, item);
}

/**
 * bts_heartbeat_add_begun() - report in the next heartbeat that a job has begun
 * @sched: the scheduler
 * @job: the job
 */
void
bts_heartbeat_add_begun (bts_sched_t *sched, bts_job_t *job)
{
  if (job->begun || job->begun_reported)
    return;
  job->begun_reported = TRUE;
  guint64 number = bts_job_number (job);
  g_array_append_val (sched->pending_begun, number);
}

static Bts__Run *
run_message_new (const bts_task_t *task, guint number)
{
  Bts__Run *run = malloc (sizeof *run);
  bts__run__init (run);
  run->job = bts_job_number (task->stage->job);
  run->occurrence = task->stage->occurrence;
  run->step = task->stage->step;
  run->index = task->index;
  run->run = number;
  return run;
}

/**
 * bts_heartbeat_add_crash() - report in the next heartbeat what is known of crashes under a task
 * @sched: the scheduler
 * @task: the task, with the newest crash counted, or with none once a run has outlived its start
 */
void
bts_heartbeat_add_crash (bts_sched_t *sched, const bts_task_t *task)
{
  Bts__Crash *crash = malloc (sizeof *crash);
  bts__crash__init (crash);
  crash->run = run_message_new (task, task->crash_run);
  bts_blames_write (task, crash);
  add_report (sched, BTS_REPORT_CRASHES, crash);
}

/**
 * bts_heartbeat_add_silent() - report in the next heartbeat that a worker no longer answers
 * @sched: the scheduler
 * @worker: the worker
 * @starting: bts_run_t with tasks that were just starting on it, one at least
 */
void
bts_heartbeat_add_silent (bts_sched_t *sched, const bts_worker_t *worker, const GPtrArray *starting)
{
  Bts__Silent *silent = malloc (sizeof *silent);
  bts__silent__init (silent);
  silent->worker = strdup (worker->entry->id);
  silent->started_ms = worker->started_ms;
  silent->n_starting = starting->len;
  silent->starting = malloc (starting->len * sizeof *silent->starting);
  for (guint i = 0; i < starting->len; i++)
    {
      const bts_run_t *run = starting->pdata[i];
      silent->starting[i] = run_message_new (run->task, run->number);
      silent->starting[i]->confirmed = bts_crash_is_confirmed (run);
    }
  add_report (sched, BTS_REPORT_SILENT, silent);
}

/**
 * bts_heartbeat_add_held() - report in the next heartbeat that the owner holds a worker
 * @sched: the scheduler
 * @worker: the worker
 *
 * The next owner then finds the worker even if it has left the registry by that time.
 */
void
bts_heartbeat_add_held (bts_sched_t *sched, const bts_worker_t *worker)
{
  if (bts_ledger_is_worker_held (sched->ledger, worker->entry->id))
    return;
  const GPtrArray *pending = sched->reports[BTS_REPORT_HELD];
  for (guint i = 0; i < pending->len; i++)
    if (strcmp (((Bts__Held *)pending->pdata[i])->worker, worker->entry->id) == 0)
      return;
  Bts__Held *held = malloc (sizeof *held);
  bts__held__init (held);
  held->worker = strdup (worker->entry->id);
  held->address = strdup (worker->entry->address);
  held->service = strdup (worker->entry->service);
  add_report (sched, BTS_REPORT_HELD, held);
}

/**
 * bts_heartbeat_add_released() - report in the next heartbeat that a worker isn't held any more
 * @sched: the scheduler
 * @worker: a worker that has been replaced, or that is unregistered, silent and without runs
 */
void
bts_heartbeat_add_released (bts_sched_t *sched, const bts_worker_t *worker)
{
  if (!bts_ledger_is_worker_held (sched->ledger, worker->entry->id)
      || g_ptr_array_find_with_equal_func (sched->reports[BTS_REPORT_RELEASED], worker->entry->id,
                                           g_str_equal, NULL))
    return;
  add_report (sched, BTS_REPORT_RELEASED, g_strdup (worker->entry->id));
}

static gsize
report_bytes (bts_report_kind_t kind, gconstpointer item)
{
  return FIELD_BYTES
         + (kind == BTS_REPORT_RELEASED ? strlen (item)
                                        : protobuf_c_message_get_packed_size (item));
}

/* The first reports of a kind: as many as fit, and at least one. */
static gpointer *
list_reports (const bts_sched_t *sched, bts_report_kind_t kind, gsize *n)
{
  const GPtrArray *reports = sched->reports[kind];
  gsize bytes = 0;
  for (*n = 0; *n < reports->len; (*n)++)
    {
      bytes += report_bytes (kind, reports->pdata[*n]);
      if (*n > 0 && bytes > HEARTBEAT_REPORT_BYTES)
        break;
    }
  return reports->pdata;
}

/* The first ends that wait, as many as fit. */
static GPtrArray *
list_ends (bts_sched_t *sched)
{
  GPtrArray *ends = g_ptr_array_new ();
  gsize bytes = 0;
  for (guint i = 0; i < sched->pending_ends->len && ends->len < HEARTBEAT_ENDS_MAX; i++)
    {
      bts_pending_end_t *item = sched->pending_ends->pdata[i];
      if (item->end != NULL)
        bytes += FIELD_BYTES + bts__end__get_packed_size (item->end);
      if (ends->len > 0 && bytes > HEARTBEAT_ENDS_BYTES)
        break;
      if (item->heartbeat == 0)
        item->heartbeat = sched->heartbeat_number;
      if (item->end != NULL)
        g_ptr_array_add (ends, item->end);
    }
  return ends;
}

/* Notes what the heartbeat that is being written carries. */
static void
note_sent (bts_sched_t *sched, const Bts__Beat *beat, gint64 now_us)
{
  const bts_sent_heartbeat_t sent = { sched->heartbeat_number,
                                      now_us,
                                      (guint)beat->n_begun,
                                      { [BTS_REPORT_HELD] = (guint)beat->n_held,
                                        [BTS_REPORT_RELEASED] = (guint)beat->n_released,
                                        [BTS_REPORT_CRASHES] = (guint)beat->n_crashes,
                                        [BTS_REPORT_SILENT] = (guint)beat->n_silent } };
  if (sched->sent_heartbeats->len == SENT_MAX)
    g_array_remove_index (sched->sent_heartbeats, 0);
  g_array_append_val (sched->sent_heartbeats, sent);
}

/* How long owners before this one may still renew leases, rounded up. */
static guint
earlier_renewals_ms (const bts_sched_t *sched, gint64 now_us)
{
  gint64 lease_us = bts_lease_max_us (bts_sched_lease_ms (sched)) + BTS_LEASE_MARGIN_US;
  gint64 left_us = sched->earlier_leases_end_us - lease_us - now_us;
  return left_us <= 0 ? 0 : (guint)(left_us / 1000 + 1);
}

static void
send_heartbeat (bts_sched_t *sched, gint64 now_us)
{
  sched->heartbeat_number++;
  g_autoptr (GPtrArray) ends = list_ends (sched);
  Bts__Beat beat = BTS__BEAT__INIT;
  beat.term = sched->term;
  beat.number = sched->heartbeat_number;
  beat.append_ms = sched->append_ms;
  /* An owner that lacks records can't say what holds all jobs. */
  beat.oldest_needed = bts_ledger_is_complete (sched->ledger) ? (guint64)sched->oldest_needed : 0;
  beat.missing = bts_ledger_missing (sched->ledger);
  beat.job_kb = (guint)(sched->job_bytes / 1000);
  beat.earlier_renewals_ms = earlier_renewals_ms (sched, now_us) + 1;
  beat.n_ends = ends->len;
  beat.ends = (Bts__End **)ends->pdata;
  beat.n_begun = MIN (sched->pending_begun->len, HEARTBEAT_BEGUN_MAX);
  beat.begun = (guint64 *)(gpointer)sched->pending_begun->data;
  beat.held = (Bts__Held **)list_reports (sched, BTS_REPORT_HELD, &beat.n_held);
  beat.released = (char **)list_reports (sched, BTS_REPORT_RELEASED, &beat.n_released);
  beat.crashes = (Bts__Crash **)list_reports (sched, BTS_REPORT_CRASHES, &beat.n_crashes);
  beat.silent = (Bts__Silent **)list_reports (sched, BTS_REPORT_SILENT, &beat.n_silent);
  note_sent (sched, &beat, now_us);
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_BEAT;
  record.beat = &beat;
  sched->heartbeat_sent_us = now_us;
  sched->heartbeat_in_flight = TRUE;
  sched->ops->append (sched->context, &record);
}

static gboolean
has_reports (const bts_sched_t *sched)
{
  for (guint i = 0; i < BTS_N_REPORTS; i++)
    if (sched->reports[i]->len > 0)
      return TRUE;
  return sched->pending_ends->len > 0 || sched->pending_begun->len > 0;
}

/**
 * bts_heartbeat_tick() - append a heartbeat if one is due
 * @sched: a leading scheduler
 */
void
bts_heartbeat_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  gint64 since_us = now_us - sched->heartbeat_sent_us;
  gint64 interval_us = sched->heartbeat_in_flight ? HEARTBEAT_RETRY_US
                       : has_reports (sched)      ? HEARTBEAT_MIN_INTERVAL_US
                                                  : HEARTBEAT_IDLE_INTERVAL_US;
  if (since_us >= interval_us)
    send_heartbeat (sched, now_us);
}

/**
 * bts_sched_on_readable() - the journal could be read again after reads of it have failed
 * @sched: the scheduler
 *
 * A heartbeat that was sent during the outage is repeated at once, before others claim.
 */
void
bts_sched_on_readable (bts_sched_t *sched)
{
  if (sched->term != 0 && sched->heartbeat_in_flight)
    sched->heartbeat_sent_us
        = MIN (sched->heartbeat_sent_us, bts_sched_now (sched) - HEARTBEAT_RETRY_US);
}

static void
mark_end_journaled (bts_sched_t *sched, const bts_pending_end_t *item)
{
  bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, item->worker);
  if (worker == NULL || worker->generation != item->generation)
    return;
  worker->journaled_seq = MAX (worker->journaled_seq, item->seq);
  if (worker->ends_in_flight > 0 && --worker->ends_in_flight == 0)
    worker->hold_next_us = MAX (bts_sched_now (sched), worker->pause_until_us);
}

static void
reduce (guint *count, guint n)
{
  *count -= MIN (*count, n);
}

/* Removes what a heartbeat carried, now that the journal holds it, and that heartbeat with those
   before it: a later one carried all that they did. */
static void
remove_sent (bts_sched_t *sched, guint index)
{
  GArray *all = sched->sent_heartbeats;
  const bts_sent_heartbeat_t sent = g_array_index (all, bts_sent_heartbeat_t, index);
  g_array_remove_range (all, 0, index + 1);
  if (sent.n_begun > 0)
    g_array_remove_range (sched->pending_begun, 0, sent.n_begun);
  for (guint kind = 0; kind < BTS_N_REPORTS; kind++)
    if (sent.n_reports[kind] > 0)
      g_ptr_array_remove_range (sched->reports[kind], 0, sent.n_reports[kind]);
  for (guint i = 0; i < all->len; i++)
    {
      bts_sent_heartbeat_t *later = &g_array_index (all, bts_sent_heartbeat_t, i);
      reduce (&later->n_begun, sent.n_begun);
      for (guint kind = 0; kind < BTS_N_REPORTS; kind++)
        reduce (&later->n_reports[kind], sent.n_reports[kind]);
    }
}

/**
 * bts_sched_on_heartbeat() - handle a heartbeat that was read back from the journal
 * @sched: the scheduler
 * @number: number of the heartbeat
 */
void
bts_sched_on_heartbeat (bts_sched_t *sched, guint64 number)
{
  if (sched->term == 0)
    return;
  if (number == sched->heartbeat_number)
    sched->heartbeat_in_flight = FALSE;
  guint n_journaled = 0;
  while (n_journaled < sched->pending_ends->len)
    {
      const bts_pending_end_t *item = sched->pending_ends->pdata[n_journaled];
      if (item->heartbeat == 0 || item->heartbeat > number)
        break;
      mark_end_journaled (sched, item);
      n_journaled++;
    }
  if (n_journaled > 0)
    g_ptr_array_remove_range (sched->pending_ends, 0, n_journaled);
  for (guint i = 0; i < sched->sent_heartbeats->len; i++)
    {
      const bts_sent_heartbeat_t *sent
          = &g_array_index (sched->sent_heartbeats, bts_sent_heartbeat_t, i);
      if (sent->number != number)
        continue;
      sched->confirmed_us = MAX (sched->confirmed_us, sent->sent_us);
      remove_sent (sched, i);
      return;
    }
}

/**
 * bts_heartbeat_clear() - drop what was queued for heartbeats of a term that is over
 * @sched: the scheduler
 */
void
bts_heartbeat_clear (bts_sched_t *sched)
{
  g_ptr_array_set_size (sched->pending_ends, 0);
  g_array_set_size (sched->pending_begun, 0);
  for (guint i = 0; i < BTS_N_REPORTS; i++)
    g_ptr_array_set_size (sched->reports[i], 0);
  g_array_set_size (sched->sent_heartbeats, 0);
  sched->heartbeat_number = 0;
  sched->heartbeat_sent_us = 0;
  sched->heartbeat_in_flight = FALSE;
}
