#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * The data centre's job stream. Records take effect when they are read back,
 * not when an append is answered, so that a lost answer does no harm: the same
 * records are appended again, and those with an id seen before count once.
 *
 * The log keeps records for a limited time. So the owner appends what the log
 * has to keep of each open job once more, job by job in the order of the log,
 * all of them within snapshot_us. A daemon whose next record has expired
 * starts at the first one kept.
 */

/* Pause before a failed read or append is tried again. */
#define LOG_RETRY_US (300 * BT_USEC_PER_MSEC)
/* Most records in a batch. */
#define BATCH_MAX_RECORDS 512
/* Most bytes of a batch of several records. */
#define BATCH_MAX_BYTES (512 * 1024)
/* Most jobs that are written again in a tick. */
#define REWRITE_MAX_JOBS 16
/* Records that wait to be appended, above which no job is written again. */
#define REWRITE_MAX_PENDING 256
/* Worker named in the record of a task that ended before the log was written again. */
#define WORKER_PAST "-"
/* How many record ids are remembered. */
#define SEEN_MAX 65536

static void
record_free (gpointer data)
{
  bt_schema_free (&bt_record_schema, data);
}

/**
 * bt_journal_init() - start at the beginning of the stream
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
 * bt_journal_record_new() - a new record with a unique id
 * @core: the core
 * @type: its type
 * @job: id of its job, or NULL
 *
 * Return: a record for bt_journal_append().
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
      GBytes *text = bt_schema_bytes (&bt_record_schema, record);
      bytes += g_bytes_get_size (text);
      g_ptr_array_add (journal->in_flight, text);
      g_clear_pointer (&journal->last_in_flight_id, g_ref_string_release);
      journal->last_in_flight_id = g_ref_string_acquire (record->id);
      record_free (record);
    }
}

static void
send_batch (bt_core_t *core)
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
 * bt_journal_append() - have a record appended
 * @core: the core
 * @record: the record, owned by the journal from here on
 */
void
bt_journal_append (bt_core_t *core, bt_record_t *record)
{
  g_queue_push_tail (&core->journal.pending, record);
}

/**
 * bt_journal_on_append() - the log answered an append
 * @core: the core
 * @batch: number of the batch
 * @stored: whether it surely is in the log; if not, it may still be
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
      send_batch (core);
      return;
    }
  core->counters.appends_failed++;
  journal->available = FALSE;
  journal->next_append_at = core->now + LOG_RETRY_US;
}

/**
 * bt_journal_claim_term() - claim the stream for this daemon
 * @core: the core
 *
 * The claim is in force once it is read back; by then all that earlier owners
 * recorded has been read too. Its term is above the offset of any earlier
 * claim, and so above its term, even if that claim has expired unread.
 */
void
bt_journal_claim_term (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  bt_record_t *record = bt_journal_record_new (core, BT_RECORD_LEAD, NULL);
  record->term = MAX (core->journal.term, core->journal.next) + 1;
  bt_journal_append (core, record);
}

static void
drop_pending (bt_core_t *core)
{
  GQueue kept = G_QUEUE_INIT;
  bt_record_t *record;
  while ((record = g_queue_pop_head (&core->journal.pending)) != NULL)
    if (record->type == BT_RECORD_LEAD || record->type == BT_RECORD_ATTEMPT)
      record_free (record);
    else
      g_queue_push_tail (&kept, record);
  core->journal.pending = kept;
}

/**
 * bt_journal_step_down() - this daemon no longer leads
 * @core: the core
 */
void
bt_journal_step_down (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  drop_pending (core);
}

static gboolean
seen_before (bt_journal_t *journal, GRefString *id)
{
  if (g_hash_table_contains (journal->seen_ids, id))
    return TRUE;
  GRefString *kept = g_ref_string_acquire (id);
  g_hash_table_add (journal->seen_ids, kept);
  g_queue_push_tail (&journal->seen_ids_order, kept);
  if (g_queue_get_length (&journal->seen_ids_order) > SEEN_MAX)
    {
      GRefString *oldest = g_queue_pop_head (&journal->seen_ids_order);
      g_hash_table_remove (journal->seen_ids, oldest);
      g_ref_string_release (oldest);
    }
  return FALSE;
}

static void
fold_lead (bt_core_t *core, const bt_record_t *record)
{
  bt_journal_t *journal = &core->journal;
  gboolean mine = strcmp (record->owner, core->owner_id) == 0;
  gboolean valid = record->term > journal->term;
  if (valid)
    journal->term = record->term;
  else
    core->counters.records_void++;
  if (!core->owner.leading)
    return;
  if (mine && valid)
    {
      journal->own_term = record->term;
      journal->caught_up = TRUE;
      bt_recover_fold (core, record, TRUE);
      return;
    }
  if (mine || valid)
    bt_journal_claim_term (core);
}

/**
 * bt_journal_remove_job() - the log need not tell of a job any longer
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
put_last (bt_core_t *core, bt_job_t *job)
{
  bt_journal_remove_job (core, job);
  job->rewrite_link.data = job;
  g_queue_push_tail_link (&core->journal.rewrite_queue, &job->rewrite_link);
}

/* Notes that the log tells all of a job from here on. */
static void
note_whole (bt_core_t *core, const bt_record_t *record)
{
  gboolean tells_all = record->type == BT_RECORD_ACCEPTED || record->request != NULL;
  if (!tells_all || record->job == NULL || record->term != core->journal.term)
    return;
  bt_job_t *job = g_hash_table_lookup (core->sched.jobs, record->job);
  if (job != NULL && job->state != BT_JOB_ENDED)
    put_last (core, job);
}

/* What this daemon wrote again it knows, and may have got further since. */
static gboolean
own_repeat (const bt_core_t *core, const bt_record_t *record)
{
  return record->again && record->owner != NULL && strcmp (record->owner, core->owner_id) == 0;
}

/* A batch is stored whole, so that its last record tells that it is, even if
 * the log's answers come too late for long. */
static void
note_stored (bt_core_t *core, const bt_record_t *record)
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
  note_stored (core, record);
  if (seen_before (&core->journal, record->id))
    core->counters.records_duplicate++;
  else if (record->type == BT_RECORD_LEAD)
    fold_lead (core, record);
  else
    {
      /* Only after records have expired unread is a term seen before its claim. */
      core->journal.term = MAX (core->journal.term, record->term);
      if (!own_repeat (core, record))
        bt_recover_fold (core, record, record->term == core->journal.term);
      note_whole (core, record);
    }
  record_free (record);
}

static void
read_more (bt_core_t *core)
{
  core->journal.read_in_flight = TRUE;
  core->ops.log_read (core->context, core->journal.stream, core->journal.next);
}

/**
 * bt_journal_on_records() - take in records of the stream
 * @core: the core
 * @first: offset of the first record
 * @records: GBytes of each
 * @next: offset to read on from
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
  read_more (core);
}

/* Records that this daemon has not read are gone. What it knows from the log
 * may be out of date, but for the owner: nobody else adds to the log. */
static void
start_over (bt_core_t *core, gint64 first_kept)
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
 * bt_journal_on_failed() - the stream could not be read
 * @core: the core
 * @first_kept: offset of the first record kept, if the wanted one has expired, or -1
 */
void
bt_journal_on_failed (bt_core_t *core, gint64 first_kept)
{
  bt_journal_t *journal = &core->journal;
  journal->read_in_flight = FALSE;
  if (first_kept > journal->next)
    {
      start_over (core, first_kept);
      return;
    }
  journal->available = FALSE;
  journal->next_read_at = core->now + LOG_RETRY_US;
  core->counters.log_read_failures++;
}

static void
repeat_record (bt_core_t *core, bt_record_t *record)
{
  record->again = TRUE;
  core->counters.records_rewritten++;
  bt_journal_append (core, record);
}

static void
repeat_task (bt_core_t *core, const bt_job_t *job, guint index)
{
  const bt_task_t *task = &job->tasks[index];
  gboolean ended = task->state == BT_TASK_ENDED && task->end_recorded;
  gboolean placed = task->attempt != NULL && task->attempt->recorded;
  if (!ended && !placed)
    return;
  bt_record_t *record
      = bt_journal_record_new (core, ended ? BT_RECORD_TASK_ENDED : BT_RECORD_ATTEMPT, job->id);
  record->task = index;
  if (ended)
    {
      g_autofree char *attempt = g_strdup_printf ("%s/%u/past", job->id, index);
      record->attempt = g_ref_string_new (attempt);
      record->worker = g_ref_string_new (WORKER_PAST);
    }
  else
    {
      record->attempt = g_ref_string_acquire (task->attempt->id);
      record->worker = g_ref_string_acquire (task->attempt->worker_name);
      record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
      if (!job->durable)
        record->request = bt_schema_copy (&bt_request_schema, job->request);
    }
  if (ended && task->answer != NULL)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (task->answer, &len);
      g_autofree char *base64 = g_base64_encode (data, len);
      record->answer = g_ref_string_new (base64);
    }
  repeat_record (core, record);
}

/* All that a reader who begins here has to learn of a job. */
static void
rewrite_job (bt_core_t *core, const bt_job_t *job)
{
  if (job->durable)
    {
      bt_record_t *record = bt_journal_record_new (core, BT_RECORD_ACCEPTED, job->id);
      record->request = bt_schema_copy (&bt_request_schema, job->request);
      record->route = job->route != NULL ? g_ref_string_acquire (job->route) : NULL;
      repeat_record (core, record);
    }
  if (job->cancelled)
    repeat_record (core, bt_journal_record_new (core, BT_RECORD_CANCEL, job->id));
  for (guint i = 0; i < job->n_tasks; i++)
    repeat_task (core, job, i);
}

/* Writes the job again that the log tells of first. Return: whether there was one. */
static gboolean
rewrite_first (bt_core_t *core)
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
      put_last (core, job);
      rewrite_job (core, job);
      return TRUE;
    }
  return FALSE;
}

/* Spreads the jobs over the time in which each has to be written again. */
static void
rewrite_due (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  gint64 span = core->config.snapshot_us;
  journal->next_rewrite = MAX (journal->next_rewrite, core->now - span);
  if (!core->owner.leading || !journal->caught_up || !journal->available)
    return;
  for (guint i = 0; i < REWRITE_MAX_JOBS; i++)
    {
      guint n = g_queue_get_length (&journal->rewrite_queue);
      if (core->now < journal->next_rewrite || n == 0
          || g_queue_get_length (&journal->pending) > REWRITE_MAX_PENDING)
        return;
      journal->next_rewrite += MAX (span / n, 1);
      if (!rewrite_first (core))
        return;
    }
}

/**
 * bt_journal_tick() - keep reading, and append what is pending
 * @core: the core
 */
void
bt_journal_tick (bt_core_t *core)
{
  if (!core->journal.read_in_flight && core->now >= core->journal.next_read_at)
    read_more (core);
  rewrite_due (core);
  send_batch (core);
}
