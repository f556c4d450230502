#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * The journal of the data centre: its stream of job records in the log. Records
 * take effect when they are read back, not when an append is acknowledged, so a
 * lost reply does no harm: the same records are appended again, and a record
 * whose id was read before is ignored.
 *
 * The log deletes records after a limited time. The owner therefore appends the
 * records that describe each open job again, one job after the other in the
 * order of the log, and gets through all of them within snapshot_us. A daemon
 * whose next record has been deleted continues at the first one kept.
 */

/* Delay before a failed read or append is retried. */
#define LOG_RETRY_US (300 * BT_USEC_PER_MSEC)
/* Most records in a batch. */
#define BATCH_MAX_RECORDS 512
/* A batch that has reached this size in bytes takes no further record. */
#define BATCH_MAX_BYTES (512 * 1024)
/* Most jobs that are rewritten in one tick. */
#define REWRITE_MAX_JOBS_PER_TICK 16
/* While more records than this are pending, no job is rewritten. */
#define REWRITE_MAX_PENDING 256
/* Worker named in the rewritten record of a task's end, as the attempt that ended is no longer
   known. */
#define REWRITTEN_END_WORKER "-"
/* Number of record ids that are remembered to detect duplicates. */
#define SEEN_IDS_MAX 65536

static void
record_free (gpointer data)
{
  bt_schema_free (&bt_record_schema, data);
}

/**
 * bt_journal_init() - initialize the journal; reading starts at the beginning of the stream
 * @core: the core
 */
void
bt_journal_init (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  journal->stream = g_strdup_printf ("jobs.%s", core->data_centre);
  journal->available = TRUE;
  journal->seen_ids = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&journal->pending);
  g_queue_init (&journal->seen_ids_order);
  g_queue_init (&journal->rewrite_queue);
}

/**
 * bt_journal_clear() - free what the journal holds
 * @core: the core
 */
void
bt_journal_clear (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  g_free (journal->stream);
  g_hash_table_unref (journal->seen_ids);
  g_queue_clear_full (&journal->seen_ids_order, (GDestroyNotify)g_ref_string_release);
  g_queue_clear_full (&journal->pending, record_free);
  g_clear_pointer (&journal->in_flight, g_ptr_array_unref);
  g_clear_pointer (&journal->last_in_flight_id, g_ref_string_release);
}

/**
 * bt_journal_record_new() - create a record with a unique id
 * @core: the core
 * @type: type of the record
 * @job: id of its job, or NULL
 *
 * The record bears the term of this daemon. It is not appended.
 *
 * Return: a record to pass to bt_journal_append().
 */
bt_record_t *
bt_journal_record_new (bt_core_t *core, bt_record_type_t type, const char *job)
{
  bt_record_t *record = g_new0 (bt_record_t, 1);
  g_autofree char *id
      = g_strdup_printf ("%s.%" G_GUINT64_FORMAT, core->owner_id, core->journal.next_record_seq++);
  record->id = g_ref_string_new (id);
  record->type = type;
  record->term = core->journal.own_term;
  record->owner = g_ref_string_new (core->owner_id);
  record->job = job != NULL ? g_ref_string_new (job) : NULL;
  return record;
}

static void
fill_batch (bt_journal_t *journal)
{
  gsize bytes = 0;
  journal->in_flight = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  while (journal->in_flight->len < BATCH_MAX_RECORDS && bytes < BATCH_MAX_BYTES
         && !g_queue_is_empty (&journal->pending))
    {
      bt_record_t *record = g_queue_pop_head (&journal->pending);
      GBytes *json = bt_schema_to_bytes (&bt_record_schema, record);
      bytes += g_bytes_get_size (json);
      g_ptr_array_add (journal->in_flight, json);
      g_clear_pointer (&journal->last_in_flight_id, g_ref_string_release);
      journal->last_in_flight_id = g_ref_string_acquire (record->id);
      record_free (record);
    }
}

static void
send_batch_if_due (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  if (core->now < journal->next_append_at)
    return;
  if (journal->in_flight == NULL && g_queue_is_empty (&journal->pending))
    return;
  if (core->now < journal->sent_at + core->config.append_interval_us)
    return;
  if (journal->in_flight == NULL)
    fill_batch (journal);
  journal->batch++;
  journal->sent_at = core->now;
  journal->next_append_at = G_MAXINT64;
  core->counters.appends_sent++;
  core->counters.records_appended += journal->in_flight->len;
  core->ops.log_append (core->context, journal->stream, journal->batch, journal->in_flight);
}

/**
 * bt_journal_append() - queue a record to be appended with one of the next batches
 * @core: the core
 * @record: the record; the journal takes ownership
 */
void
bt_journal_append (bt_core_t *core, bt_record_t *record)
{
  g_queue_push_tail (&core->journal.pending, record);
}

/**
 * bt_journal_on_append() - the log replied to an append, or the call failed
 * @core: the core
 * @batch: number of the batch
 * @stored: TRUE if the log has stored the batch; if FALSE, it may have stored it all the same
 */
void
bt_journal_on_append (bt_core_t *core, guint64 batch, gboolean stored)
{
  bt_journal_t *journal = &core->journal;
  if (journal->in_flight == NULL || batch != journal->batch)
    return;
  journal->next_append_at = core->now;
  if (stored)
    {
      g_clear_pointer (&journal->in_flight, g_ptr_array_unref);
      send_batch_if_due (core);
      return;
    }
  core->counters.appends_failed++;
  journal->available = FALSE;
  journal->next_append_at = core->now + LOG_RETRY_US;
}

/**
 * bt_journal_claim_term() - append a claim of a new term for this daemon
 * @core: the core
 *
 * The claim takes effect once it is read back; by then everything that earlier
 * owners recorded has been read too. The term of a claim is at most one more than
 * the claim's offset, and the new term is at least one more than the next offset to
 * read. It therefore exceeds the terms of all claims below that offset, even of
 * those that the log deleted before this daemon read them.
 */
void
bt_journal_claim_term (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_BECAME_LEADER, NULL);
  record->term = MAX (core->journal.term, core->journal.next) + 1;
  bt_journal_append (core, record);
}

/* Drops pending claims and attempts, which count only in the term of their writer. */
static void
drop_pending_leader_records (bt_core_t *core)
{
  GQueue kept = G_QUEUE_INIT;
  bt_record_t *record;
  while ((record = g_queue_pop_head (&core->journal.pending)) != NULL)
    if (record->type == BT_RECORD_BECAME_LEADER || record->type == BT_RECORD_ATTEMPT)
      record_free (record);
    else
      g_queue_push_tail (&kept, record);
  core->journal.pending = kept;
}

/**
 * bt_journal_step_down() - give up this daemon's term
 * @core: the core
 */
void
bt_journal_step_down (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  drop_pending_leader_records (core);
}

/* Return: whether a record with this id was read before. Remembers the id. */
static gboolean
test_and_add_id (bt_journal_t *journal, GRefString *id)
{
  if (g_hash_table_contains (journal->seen_ids, id))
    return TRUE;
  GRefString *ref = g_ref_string_acquire (id);
  g_hash_table_add (journal->seen_ids, ref);
  g_queue_push_tail (&journal->seen_ids_order, ref);
  if (g_queue_get_length (&journal->seen_ids_order) > SEEN_IDS_MAX)
    {
      GRefString *oldest = g_queue_pop_head (&journal->seen_ids_order);
      g_hash_table_remove (journal->seen_ids, oldest);
      g_ref_string_release (oldest);
    }
  return FALSE;
}

/*
 * A claim takes effect if its term is higher than all terms before. The owner claims
 * again if its claim has not taken effect, or a claim of another daemon has.
 */
static void
fold_lead_record (bt_core_t *core, const bt_record_t *record)
{
  bt_journal_t *journal = &core->journal;
  gboolean is_own = strcmp (record->owner, core->owner_id) == 0;
  gboolean is_newer = record->term > journal->term;
  if (is_newer)
    journal->term = record->term;
  else
    core->counters.records_void++;
  if (!core->owner.leading)
    return;
  if (is_own && is_newer)
    {
      journal->own_term = record->term;
      journal->caught_up = TRUE;
      bt_recover_fold (core, record, TRUE);
      return;
    }
  if (is_own || is_newer)
    bt_journal_claim_term (core);
}

/**
 * bt_journal_remove_job() - remove a job from the rewrite queue; no error if it is not in it
 * @core: the core
 * @job: the job
 */
void
bt_journal_remove_job (bt_core_t *core, bt_job_t *job)
{
  if (job->rewrite_link.data == NULL)
    return;
  g_queue_unlink (&core->journal.rewrite_queue, &job->rewrite_link);
  job->rewrite_link.data = NULL;
}

static void
move_to_rewrite_tail (bt_core_t *core, bt_job_t *job)
{
  bt_journal_remove_job (core, job);
  job->rewrite_link.data = job;
  g_queue_push_tail_link (&core->journal.rewrite_queue, &job->rewrite_link);
}

/*
 * Moves a job to the end of the rewrite queue when a record is read that describes
 * it completely: a reader that starts at this record learns all of the job.
 */
static void
requeue_for_rewrite (bt_core_t *core, const bt_record_t *record)
{
  gboolean is_complete = record->type == BT_RECORD_ACCEPTED || record->request != NULL;
  if (!is_complete || record->job == NULL || record->term != core->journal.term)
    return;
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, record->job);
  if (job != NULL && job->state != BT_JOB_ENDED)
    move_to_rewrite_tail (core, job);
}

/*
 * Return: whether this daemon rewrote the record. Such a record tells it nothing new,
 * and its own state may be more recent.
 */
static gboolean
is_own_rewrite (const bt_core_t *core, const bt_record_t *record)
{
  return record->is_rewrite && record->owner != NULL && strcmp (record->owner, core->owner_id) == 0;
}

/*
 * The log stores a batch as a whole. Reading back the last record of the batch in
 * flight therefore shows that all of it is stored, even while the log's replies
 * keep arriving too late.
 */
static void
complete_stored_batch (bt_core_t *core, const bt_record_t *record)
{
  bt_journal_t *journal = &core->journal;
  if (journal->in_flight == NULL || strcmp (record->id, journal->last_in_flight_id) != 0)
    return;
  g_clear_pointer (&journal->in_flight, g_ptr_array_unref);
  journal->next_append_at = core->now;
}

static void
fold_record (bt_core_t *core, GBytes *bytes)
{
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);
  bt_record_t *record = bt_schema_parse (&bt_record_schema, data, len, NULL);
  if (record == NULL)
    {
      core->counters.messages_malformed++;
      return;
    }
  core->counters.records_folded++;
  complete_stored_batch (core, record);
  if (test_and_add_id (&core->journal, record->id))
    core->counters.records_duplicate++;
  else if (record->type == BT_RECORD_BECAME_LEADER)
    fold_lead_record (core, record);
  else
    {
      /* This term is higher only if the log deleted the claim of it before it was read here. */
      core->journal.term = MAX (core->journal.term, record->term);
      if (!is_own_rewrite (core, record))
        bt_recover_fold (core, record, record->term == core->journal.term);
      requeue_for_rewrite (core, record);
    }
  record_free (record);
}

static void
request_records (bt_core_t *core)
{
  core->journal.read_in_flight = TRUE;
  core->ops.log_read (core->context, core->journal.stream, core->journal.next);
}

/**
 * bt_journal_on_records() - fold records read from the stream, and request the next ones
 * @core: the core
 * @first: offset of the first record
 * @records: the records, as GBytes
 * @next: offset of the next record to read
 */
void
bt_journal_on_records (bt_core_t *core, gint64 first, const GPtrArray *records, gint64 next)
{
  bt_journal_t *journal = &core->journal;
  journal->available = TRUE;
  for (guint i = 0; i < records->len; i++)
    if (first + i >= journal->next)
      {
        journal->next = first + i + 1;
        fold_record (core, records->pdata[i]);
      }
  journal->next = MAX (journal->next, next);
  request_records (core);
}

/*
 * Continues at the first record kept after the log has deleted records that this
 * daemon had not read. What the daemon knows from the log may be out of date then,
 * except on the owner, since nobody else appends to the stream. The owner rewrites
 * all open jobs without the usual delay between them.
 */
static void
skip_expired_records (bt_core_t *core, gint64 first_kept)
{
  bt_journal_t *journal = &core->journal;
  bt_log (BT_LOG_WARNING, "journal-expired",
          "next=%" G_GINT64_FORMAT " first_kept=%" G_GINT64_FORMAT, journal->next, first_kept);
  core->counters.log_expired++;
  journal->next = first_kept;
  journal->next_read_at = core->now;
  if (!core->owner.leading)
    bt_recover_drop_recorded_jobs (core);
  else if (!journal->caught_up)
    bt_journal_claim_term (core);
  journal->next_rewrite = core->now - core->config.snapshot_us;
}

/**
 * bt_journal_on_failed() - a read of the stream failed
 * @core: the core
 * @first_kept: offset of the first record kept if the log has deleted the requested one, or -1
 */
void
bt_journal_on_failed (bt_core_t *core, gint64 first_kept)
{
  bt_journal_t *journal = &core->journal;
  journal->read_in_flight = FALSE;
  if (first_kept > journal->next)
    {
      skip_expired_records (core, first_kept);
      return;
    }
  journal->available = FALSE;
  journal->next_read_at = core->now + LOG_RETRY_US;
  core->counters.log_read_failures++;
}

static void
append_rewrite (bt_core_t *core, bt_record_t *record)
{
  record->is_rewrite = TRUE;
  core->counters.records_rewritten++;
  bt_journal_append (core, record);
}

static void
rewrite_task (bt_core_t *core, const bt_job_t *job, guint index)
{
  const bt_task_t *task = &job->tasks[index];
  gboolean is_ended = task->state == BT_TASK_ENDED && task->end_recorded;
  gboolean is_placed = task->attempt != NULL && task->attempt->recorded;
  if (!is_ended && !is_placed)
    return;
  bt_record_t *record
      = bt_journal_record_new (core, is_ended ? BT_RECORD_TASK_ENDED : BT_RECORD_ATTEMPT, job->id);
  record->task = index;
  if (is_ended)
    {
      g_autofree char *attempt = g_strdup_printf ("%s/%u/past", job->id, index);
      record->attempt = g_ref_string_new (attempt);
      record->worker = g_ref_string_new (REWRITTEN_END_WORKER);
    }
  else
    {
      record->attempt = g_ref_string_acquire (task->attempt->id);
      record->worker = g_ref_string_acquire (task->attempt->worker_name);
      record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
      if (!job->durable)
        record->request = bt_schema_copy (&bt_request_schema, job->request);
    }
  if (is_ended && task->answer != NULL)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (task->answer, &len);
      g_autofree char *base64 = g_base64_encode (data, len);
      record->answer = g_ref_string_new (base64);
    }
  append_rewrite (core, record);
}

/* Appends all records that a reader needs in order to know a job without its older records. */
static void
rewrite_job (bt_core_t *core, const bt_job_t *job)
{
  if (job->durable)
    {
      bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ACCEPTED, job->id);
      record->request = bt_schema_copy (&bt_request_schema, job->request);
      record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
      append_rewrite (core, record);
    }
  if (job->cancelled)
    append_rewrite (core, bt_journal_record_new (core, BT_RECORD_CANCEL, job->id));
  for (guint i = 0; i < job->n_tasks; i++)
    rewrite_task (core, job, i);
}

/* Rewrites the job whose complete records are the oldest. Return: FALSE if there is no job. */
static gboolean
rewrite_next_job (bt_core_t *core)
{
  GList *first;
  while ((first = core->journal.rewrite_queue.head) != NULL)
    {
      bt_job_t *job = first->data;
      if (job->state == BT_JOB_ENDED || job->request == NULL)
        {
          bt_journal_remove_job (core, job);
          continue;
        }
      move_to_rewrite_tail (core, job);
      rewrite_job (core, job);
      return TRUE;
    }
  return FALSE;
}

/* Spreads the rewrites evenly over snapshot_us, within which each job has to be rewritten. */
static void
rewrite_due_jobs (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  gint64 span = core->config.snapshot_us;
  journal->next_rewrite = MAX (journal->next_rewrite, core->now - span);
  if (!core->owner.leading || !journal->caught_up || !journal->available)
    return;
  for (guint i = 0; i < REWRITE_MAX_JOBS_PER_TICK; i++)
    {
      guint n = g_queue_get_length (&journal->rewrite_queue);
      if (core->now < journal->next_rewrite || n == 0
          || g_queue_get_length (&journal->pending) > REWRITE_MAX_PENDING)
        return;
      journal->next_rewrite += MAX (span / n, 1);
      if (!rewrite_next_job (core))
        return;
    }
}

/**
 * bt_journal_tick() - request records, rewrite due jobs, and append pending records
 * @core: the core
 */
void
bt_journal_tick (bt_core_t *core)
{
  if (!core->journal.read_in_flight && core->now >= core->journal.next_read_at)
    request_records (core);
  rewrite_due_jobs (core);
  send_batch_if_due (core);
}
