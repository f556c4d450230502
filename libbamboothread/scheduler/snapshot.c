#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/job_snapshot.h"

/*
 * Snapshots of jobs, of the owner and of barred ids. The log deletes records after
 * its retention time. Before that the owner appends the state of each job (a Kept
 * record, or an Ended record with many jobs that have ended), of itself with the
 * workers that it holds (a Standing record) and of barred ids (Bars records) again,
 * so that a process that starts later still reads them. A snapshot changes nothing
 * in a process that has folded the earlier records.
 */

/* Snapshots of a job in one retention time of the log: a reader that starts at the oldest record
   kept finds at least two of each job. */
#define SNAPSHOTS_PER_RETENTION 3
/* A job whose last snapshot has an unknown age, and whose spec isn't read yet, is due once the
   snapshot interval divided by this has passed in the owner's term. */
#define MISSING_SPEC_DIVISOR 10
/* Snapshots that are overdue are spread over the log's retention time divided by this: all
   processes may end again soon after they have started, and what isn't written by then grows older
   by their next outage. */
#define CATCH_UP_DIVISOR 20
/* Snapshots that a check appends in any case, which is 30 KB or so. */
#define BATCH_MIN 50
/* Most ended jobs that a check appends again, which is 16 KB. */
#define ENDED_PER_CHECK_MAX 2000
/* Most ended jobs in one record; keeps it far below the store's size limit of a record. */
#define ENDED_PER_RECORD_MAX 1000
/* No further jobs are written while so many bytes of snapshots wait to be sent: those wait no
   longer than it takes until they are written again. */
#define BACKLOG_MAX_BYTES (512 * 1024)
/* Time after which a snapshot that wasn't read back is appended again, in microseconds. */
#define SNAPSHOT_RETRY_US (1000 * 1000)
/* A job whose newest snapshot is older than this many snapshot intervals is reported. */
#define LATE_INTERVALS 2
/* Minimum time between two such reports, in microseconds. */
#define LATE_REPORT_INTERVAL_US (1000 * 1000)
/* Time between two checks for snapshots that are due, in microseconds. */
#define CHECK_INTERVAL_US (200 * 1000)

static gint64
snapshot_interval_us (const bts_sched_t *sched)
{
  return (gint64)sched->config.retention_ms * 1000 / SNAPSHOTS_PER_RETENTION;
}

static void
add_held_worker (GPtrArray *held, const bts_worker_t *worker)
{
  Bts__Held *message = g_new0 (Bts__Held, 1);
  bts__held__init (message);
  message->worker = worker->entry->id;
  message->address = worker->entry->address;
  message->service = worker->entry->service;
  g_ptr_array_add (held, message);
}

/* Appends a snapshot of the owner with the workers in @held, and with what it has learned of
   interference. */
static void
append_standing (bts_sched_t *sched, const GPtrArray *held, gboolean complete)
{
  Bts__Standing standing = BTS__STANDING__INIT;
  standing.term = sched->term;
  standing.node = (char *)bts_ledger_owner (sched->ledger);
  standing.n_held = held->len;
  standing.held = (Bts__Held **)held->pdata;
  standing.complete = complete;
  standing.interference = bts_interference_save (sched->fleet->interference, bts_sched_now (sched));
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_STANDING;
  record.standing = &standing;
  sched->ops->append_snapshot (sched->context, &record);
  if (standing.interference != NULL)
    bts__interference__free_unpacked (standing.interference, NULL);
}

/* Appends what was learned of interference before the next snapshot of the owner is due: owners
   that follow each other faster than that would begin to learn anew each time. The workers, of
   which readers know already, are left out. */
static void
append_interference (bts_sched_t *sched)
{
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  append_standing (sched, none, FALSE);
}

static void
append_owner_snapshot (bts_sched_t *sched)
{
  g_autoptr (GPtrArray) held = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (bts_ledger_is_worker_held (sched->ledger, ((bts_worker_t *)value)->entry->id))
      add_held_worker (held, value);
  append_standing (sched, held, TRUE);
}

static void
append_bars (bts_sched_t *sched, gint64 now_us)
{
  g_autoptr (GPtrArray) snapshots
      = bts_bars_list_snapshots (bts_ledger_bars (sched->ledger), now_us);
  for (guint i = 0; i < snapshots->len; i++)
    {
      Bts__Record record = BTS__RECORD__INIT;
      record.kind_case = BTS__RECORD__KIND_BARS;
      record.bars = snapshots->pdata[i];
      sched->ops->append_snapshot (sched->context, &record);
    }
}

static void
append_ended_snapshot (bts_sched_t *sched, GArray *const numbers[])
{
  Bts__Ended ended = BTS__ENDED__INIT;
  ended.n_completed = numbers[BTS_JOB_COMPLETED]->len;
  ended.completed = (guint64 *)(gpointer)numbers[BTS_JOB_COMPLETED]->data;
  ended.n_failed = numbers[BTS_JOB_FAILED]->len;
  ended.failed = (guint64 *)(gpointer)numbers[BTS_JOB_FAILED]->data;
  ended.n_cancelled = numbers[BTS_JOB_CANCELLED]->len;
  ended.cancelled = (guint64 *)(gpointer)numbers[BTS_JOB_CANCELLED]->data;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_ENDED;
  record.ended = &ended;
  sched->ops->append_snapshot (sched->context, &record);
}

/* Appends the snapshots of jobs that have ended. */
static void
append_ended_jobs (bts_sched_t *sched, const GPtrArray *jobs)
{
  GArray *numbers[BTS_JOB_CANCELLED + 1];
  for (guint state = 0; state < G_N_ELEMENTS (numbers); state++)
    numbers[state] = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < jobs->len; i++)
    {
      const bts_job_t *job = jobs->pdata[i];
      guint64 number = bts_job_number (job);
      g_array_append_val (numbers[bts_job_state (job)], number);
      if ((i + 1) % ENDED_PER_RECORD_MAX != 0 && i + 1 < jobs->len)
        continue;
      append_ended_snapshot (sched, numbers);
      for (guint state = 0; state < G_N_ELEMENTS (numbers); state++)
        g_array_set_size (numbers[state], 0);
    }
  for (guint state = 0; state < G_N_ELEMENTS (numbers); state++)
    g_array_unref (numbers[state]);
}

/* When the newest snapshot of a job was read. One that was read in a replay may be of any age. The
   owner appends another one at once, since processes may end before a full interval has passed; but
   it waits a little for the spec, which is the only one if the log of specs deletes its record. */
static gint64
snapshot_time_us (const bts_sched_t *sched, const bts_job_t *job)
{
  if (job->snapshot_us != 0)
    return job->snapshot_us;
  gint64 interval_us = snapshot_interval_us (sched);
  gboolean lacks_spec = !bts_job_has_ended (job) && !bts_job_has_spec (job);
  return sched->term_began_us - interval_us + (lacks_spec ? interval_us / MISSING_SPEC_DIVISOR : 0);
}

/* The oldest first. Of snapshots that were read in a replay only the order is known, by their
   offsets. So an owner goes on where the one before it ended, and doesn't begin anew. */
static gint
compare_snapshots (gconstpointer a, gconstpointer b, gpointer sched)
{
  const bts_job_t *left = *(bts_job_t *const *)a;
  const bts_job_t *right = *(bts_job_t *const *)b;
  gint64 left_us = snapshot_time_us (sched, left);
  gint64 right_us = snapshot_time_us (sched, right);
  if (left_us != right_us)
    return left_us < right_us ? -1 : 1;
  return left->snapshot_offset < right->snapshot_offset
             ? -1
             : left->snapshot_offset > right->snapshot_offset;
}

/* Whether the log is known to have deleted the last snapshot of a job. */
static gboolean
is_snapshot_deleted (const bts_sched_t *sched, const bts_job_t *job)
{
  return job->snapshot_offset < bts_ledger_read_from (sched->ledger);
}

static gboolean
is_due (const bts_sched_t *sched, const bts_job_t *job, gint64 now_us)
{
  gint64 age_us = now_us - snapshot_time_us (sched, job);
  return (age_us >= snapshot_interval_us (sched) || is_snapshot_deleted (sched, job))
         && now_us - job->snapshot_sent_us >= SNAPSHOT_RETRY_US;
}

/* Jobs whose snapshot is due, the oldest first. */
static GPtrArray *
find_due_jobs (bts_sched_t *sched, gint64 now_us)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_due (sched, value, now_us))
      g_ptr_array_add (due, value);
  g_ptr_array_sort_with_data (due, compare_snapshots, sched);
  return due;
}

static void
append_record (void *context, const Bts__Record *record)
{
  const bts_sched_t *sched = context;
  sched->ops->append_snapshot (sched->context, record);
}

/* Shows how old the newest snapshot of a job is at most, up to the next one that is read back. */
static void
report_age (bts_sched_t *sched, const GPtrArray *due, gint64 now_us)
{
  const bts_job_t *oldest = NULL;
  for (guint i = 0; i < due->len && oldest == NULL; i++)
    if (!bts_job_has_ended (due->pdata[i]))
      oldest = due->pdata[i];
  gint64 age_us = oldest == NULL ? 0 : now_us - snapshot_time_us (sched, oldest);
  bt_metrics_set (BT_GAUGE_SNAPSHOT_AGE_MS, age_us / 1000);
  if (age_us < LATE_INTERVALS * snapshot_interval_us (sched)
      || now_us - sched->snapshot_reported_us < LATE_REPORT_INTERVAL_US)
    return;
  sched->snapshot_reported_us = now_us;
  bt_log (BT_LOG_WARNING, "snapshot-late",
          "job=%s age_ms=%" G_GINT64_FORMAT " since_append_ms=%" G_GINT64_FORMAT " due=%u",
          bts_job_id (oldest), age_us / 1000,
          oldest->snapshot_sent_us == 0 ? -1 : (now_us - oldest->snapshot_sent_us) / 1000,
          due->len);
}

/* Appends the snapshots that are due, in batches that grow with the number of jobs, so that the
   interval is kept however many there are. Jobs that have ended take little room and don't count.
 */
static void
append_due_jobs (bts_sched_t *sched, gint64 now_us)
{
  guint n_jobs = g_hash_table_size (bts_ledger_jobs (sched->ledger));
  gint64 retention_us = (gint64)sched->config.retention_ms * 1000;
  gint64 batch
      = MAX (n_jobs * (gint64)CHECK_INTERVAL_US * CATCH_UP_DIVISOR / retention_us, BATCH_MIN);
  g_autoptr (GPtrArray) due = find_due_jobs (sched, now_us);
  report_age (sched, due, now_us);
  gint64 n_live = 0;
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  for (guint i = 0; i < due->len; i++)
    {
      bts_job_t *job = due->pdata[i];
      gboolean has_ended = bts_job_has_ended (job);
      if (has_ended ? ended->len >= ENDED_PER_CHECK_MAX
                    : n_live >= batch
                          || sched->ops->snapshot_backlog (sched->context) >= BACKLOG_MAX_BYTES)
        continue;
      if (!has_ended)
        bt_metrics_count (job->snapshot_sent_us > snapshot_time_us (sched, job)
                              ? BT_COUNT_SNAPSHOTS_REPEATED
                              : BT_COUNT_SNAPSHOTS);
      job->snapshot_sent_us = now_us;
      if (has_ended)
        {
          g_ptr_array_add (ended, job);
          continue;
        }
      n_live++;
      const bts_job_snapshot_t snapshot
          = { job, sched->term, bts_ledger_next_offset (sched->ledger),
              sched->config.record_bytes };
      bts_job_snapshot_write (&snapshot, append_record, sched);
    }
  append_ended_jobs (sched, ended);
}

/* The newest one counts from when it was read back: until then it may have been rejected. */
static gboolean
is_owner_snapshot_due (const bts_sched_t *sched, gint64 now_us)
{
  gint64 read_us = bts_ledger_standing_us (sched->ledger);
  return (read_us == 0 || now_us - read_us >= snapshot_interval_us (sched))
         && (sched->standing_sent_us < sched->term_began_us
             || now_us - sched->standing_sent_us >= SNAPSHOT_RETRY_US);
}

/**
 * bts_snapshot_tick() - append the snapshots that are due
 * @sched: a leading scheduler
 */
void
bts_snapshot_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  if (bts_sched_is_journal_stale (sched))
    return;
  if (bts_interference_is_save_due (sched->fleet->interference, now_us))
    append_interference (sched);
  if (sched->config.retention_ms == 0 || now_us - sched->snapshot_checked_us < CHECK_INTERVAL_US)
    return;
  sched->snapshot_checked_us = now_us;
  if (is_owner_snapshot_due (sched, now_us))
    {
      sched->standing_sent_us = now_us;
      append_owner_snapshot (sched);
      append_bars (sched, now_us);
    }
  append_due_jobs (sched, now_us);
  sched->oldest_needed = bts_ledger_oldest_needed (sched->ledger);
}
