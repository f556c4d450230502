#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * The data centre's job stream. Records take effect when they are read back,
 * not when an append is answered, so that a lost answer does no harm: the same
 * records are appended again, and those with an id seen before count once.
 */

/* Pause before a failed read or append is tried again. */
#define LOG_RETRY_US (300 * BT_USEC_PER_MSEC)
/* Most records in a batch. */
#define BATCH_MAX_RECORDS 512
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
  journal->seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&journal->pending);
  g_queue_init (&journal->seen_order);
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
  g_hash_table_unref (journal->seen);
  g_queue_clear_full (&journal->seen_order, (GDestroyNotify)g_ref_string_release);
  g_queue_clear_full (&journal->pending, record_free);
  g_clear_pointer (&journal->in_flight, g_ptr_array_unref);
}

/**
 * bt_journal_record() - a new record with a unique id
 * @core: the core
 * @type: its type
 * @job: id of its job, or NULL
 *
 * Return: a record for bt_journal_append().
 */
bt_record_t *
bt_journal_record (bt_core_t *core, bt_record_type_t type, const char *job)
{
  bt_record_t *record = g_new0 (bt_record_t, 1);
  g_autofree char *id
      = g_strdup_printf ("%s.%" G_GUINT64_FORMAT, core->owner_id, core->journal.counter++);
  record->id = g_ref_string_new (id);
  record->type = type;
  record->term = core->journal.own_term;
  record->owner = g_ref_string_new (core->owner_id);
  record->job = job != NULL ? g_ref_string_new (job) : NULL;
  return record;
}

static void
send_batch (bt_core_t *core)
{
  bt_journal_t *journal = &core->journal;
  if (core->now < journal->append_again_at)
    return;
  if (journal->in_flight == NULL)
    {
      if (g_queue_is_empty (&journal->pending))
        return;
      journal->in_flight = g_ptr_array_new_with_free_func (record_free);
      while (journal->in_flight->len < BATCH_MAX_RECORDS && !g_queue_is_empty (&journal->pending))
        g_ptr_array_add (journal->in_flight, g_queue_pop_head (&journal->pending));
    }
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < journal->in_flight->len; i++)
    g_ptr_array_add (texts, bt_schema_bytes (&bt_record_schema, journal->in_flight->pdata[i]));
  journal->batch++;
  journal->append_again_at = G_MAXINT64;
  core->counters.appends_sent++;
  core->counters.records_appended += texts->len;
  core->ops.log_append (core->context, journal->stream, journal->batch, texts);
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
  journal->append_again_at = core->now;
  if (stored)
    {
      g_clear_pointer (&journal->in_flight, g_ptr_array_unref);
      send_batch (core);
      return;
    }
  core->counters.appends_failed++;
  journal->available = FALSE;
  journal->append_again_at = core->now + LOG_RETRY_US;
}

/**
 * bt_journal_lead() - claim the stream for this daemon
 * @core: the core
 *
 * The claim is in force once it is read back; by then all that earlier owners
 * recorded has been read too.
 */
void
bt_journal_lead (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  bt_record_t *record = bt_journal_record (core, BT_RECORD_LEAD, NULL);
  record->term = core->journal.term + 1;
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
 * bt_journal_unlead() - this daemon no longer leads
 * @core: the core
 */
void
bt_journal_unlead (bt_core_t *core)
{
  core->journal.own_term = 0;
  core->journal.caught_up = FALSE;
  drop_pending (core);
}

static gboolean
seen_before (bt_journal_t *journal, GRefString *id)
{
  if (g_hash_table_contains (journal->seen, id))
    return TRUE;
  GRefString *kept = g_ref_string_acquire (id);
  g_hash_table_add (journal->seen, kept);
  g_queue_push_tail (&journal->seen_order, kept);
  if (g_queue_get_length (&journal->seen_order) > SEEN_MAX)
    {
      GRefString *oldest = g_queue_pop_head (&journal->seen_order);
      g_hash_table_remove (journal->seen, oldest);
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
    bt_journal_lead (core);
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
  if (seen_before (&core->journal, record->id))
    core->counters.records_duplicate++;
  else if (record->type == BT_RECORD_LEAD)
    fold_lead (core, record);
  else
    bt_recover_fold (core, record, record->term == core->journal.term);
  record_free (record);
}

static void
read_more (bt_core_t *core)
{
  core->journal.reading = TRUE;
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

/**
 * bt_journal_on_failed() - the stream could not be read
 * @core: the core
 * @error: why
 */
void
bt_journal_on_failed (bt_core_t *core, const GError *error)
{
  bt_journal_t *journal = &core->journal;
  journal->reading = FALSE;
  journal->available = FALSE;
  journal->read_again_at = core->now + LOG_RETRY_US;
  core->counters.log_read_failures++;
}

/**
 * bt_journal_tick() - keep reading, and append what is pending
 * @core: the core
 */
void
bt_journal_tick (bt_core_t *core)
{
  if (!core->journal.reading && core->now >= core->journal.read_again_at)
    read_more (core);
  send_batch (core);
}
