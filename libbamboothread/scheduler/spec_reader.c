#include "libbamboothread/scheduler/spec_reader.h"

#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"

/* Most specs that are kept while the records of their jobs haven't been folded yet: as many as
   arrive in a few seconds. */
#define UNCLAIMED_MAX 2000
/* Time between two checks for jobs whose spec was missed, in microseconds: far above the
   latency of a record through the store. */
#define CHECK_INTERVAL_US (1000 * 1000)

/**
 * struct bts_spec_reader_t - reader of the log of specs
 * @unclaimed: offset to Bts__Spec, for jobs whose record hasn't been folded yet
 * @unclaimed_order: offsets in @unclaimed, oldest first
 * @following: whether the log is being followed
 * @next_offset: the offset after the last record read
 * @checked_us: when jobs without their spec were last looked for
 */
struct bts_spec_reader_t
{
  bts_ledger_t *ledger;
  const bts_spec_reader_ops_t *ops;
  void *context;
  GHashTable *unclaimed;
  GQueue unclaimed_order;
  gboolean following;
  gint64 next_offset;
  gint64 checked_us;
};

static void
spec_free (gpointer data)
{
  bts__spec__free_unpacked (data, NULL);
}

/**
 * bts_spec_reader_new() - create a reader that isn't started
 * @ledger: the folded journal
 * @ops: callbacks; must outlive the reader
 * @context: passed to @ops
 */
bts_spec_reader_t *
bts_spec_reader_new (bts_ledger_t *ledger, const bts_spec_reader_ops_t *ops, void *context)
{
  bts_spec_reader_t *reader = g_new0 (bts_spec_reader_t, 1);
  reader->ledger = ledger;
  reader->ops = ops;
  reader->context = context;
  reader->unclaimed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, spec_free);
  g_queue_init (&reader->unclaimed_order);
  return reader;
}

void
bts_spec_reader_free (bts_spec_reader_t *reader)
{
  g_hash_table_unref (reader->unclaimed);
  g_queue_clear_full (&reader->unclaimed_order, g_free);
  g_free (reader);
}

/* Offset of the first spec that a job lacks, or -1. */
static gint64
find_first_missing (const bts_spec_reader_t *reader)
{
  gint64 first = -1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (reader->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_job_t *job = value;
      if (bts_job_has_ended (job) || bts_job_has_spec (job))
        continue;
      gint64 spec_offset = (gint64)job->accepted->spec_at - 1;
      first = first < 0 ? spec_offset : MIN (first, spec_offset);
    }
  return first;
}

/* Offset after the newest spec that a job in the journal refers to. */
static gint64
find_tail (const bts_spec_reader_t *reader)
{
  guint64 end = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (reader->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    end = MAX (end, ((bts_job_t *)value)->accepted->spec_at);
  return (gint64)end;
}

static void
follow_from (bts_spec_reader_t *reader, gint64 from)
{
  reader->following = TRUE;
  reader->next_offset = from;
  reader->ops->follow (reader->context, from);
}

/**
 * bts_spec_reader_start() - read the specs that jobs lack, and follow the log
 * @reader: the reader
 * @now_us: the time
 */
void
bts_spec_reader_start (bts_spec_reader_t *reader, gint64 now_us)
{
  gint64 missing = find_first_missing (reader);
  reader->checked_us = now_us;
  follow_from (reader, missing >= 0 ? missing : find_tail (reader));
}

/**
 * bts_spec_reader_stop() - stop following the log
 * @reader: the reader
 */
void
bts_spec_reader_stop (bts_spec_reader_t *reader)
{
  if (!reader->following)
    return;
  reader->following = FALSE;
  reader->ops->follow (reader->context, -1);
  g_hash_table_remove_all (reader->unclaimed);
  g_queue_clear_full (&reader->unclaimed_order, g_free);
}

static void
set_spec (bts_job_t *job, Bts__Spec *spec)
{
  ProtobufCBinaryData *job_spec = &job->accepted->spec;
  if (job_spec->len > 0)
    return;
  *job_spec = spec->spec;
  spec->spec.data = NULL;
  spec->spec.len = 0;
}

static void
keep_unclaimed (bts_spec_reader_t *reader, gint64 offset, Bts__Spec *spec)
{
  g_hash_table_replace (reader->unclaimed, g_memdup2 (&offset, sizeof offset), spec);
  g_queue_push_tail (&reader->unclaimed_order, g_memdup2 (&offset, sizeof offset));
  while (g_queue_get_length (&reader->unclaimed_order) > UNCLAIMED_MAX)
    {
      g_autofree gint64 *oldest = g_queue_pop_head (&reader->unclaimed_order);
      g_hash_table_remove (reader->unclaimed, oldest);
    }
}

/**
 * bts_spec_reader_on_record() - handle the next record of the log of specs
 * @reader: the reader
 * @offset: offset of the record
 * @data: the record
 * @len: length of @data in bytes
 * @error: %BT_ERROR_INVALID if the record is malformed
 *
 * Return: whether the record is well-formed.
 */
gboolean
bts_spec_reader_on_record (bts_spec_reader_t *reader, gint64 offset, const guint8 *data, gsize len,
                           GError **error)
{
  reader->next_offset = offset + 1;
  Bts__Spec *spec = bts__spec__unpack (NULL, len, data);
  if (spec == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID,
                   "spec at offset %" G_GINT64_FORMAT " is malformed", offset);
      return FALSE;
    }
  bts_job_t *job = bts_ledger_job (reader->ledger, spec->id);
  if (job == NULL)
    {
      keep_unclaimed (reader, offset, spec);
      return TRUE;
    }
  if (!bts_job_has_ended (job) && (gint64)job->accepted->spec_at == offset + 1)
    set_spec (job, spec);
  spec_free (spec);
  return TRUE;
}

/**
 * bts_spec_reader_on_job() - give a newly folded job its spec if that was read before
 * @reader: the reader
 * @job: the job
 */
void
bts_spec_reader_on_job (bts_spec_reader_t *reader, bts_job_t *job)
{
  gint64 spec_offset = (gint64)job->accepted->spec_at - 1;
  Bts__Spec *spec = spec_offset < 0 ? NULL : g_hash_table_lookup (reader->unclaimed, &spec_offset);
  if (spec == NULL)
    return;
  if (strcmp (spec->id, bts_job_id (job)) == 0)
    set_spec (job, spec);
  g_hash_table_remove (reader->unclaimed, &spec_offset);
}

/**
 * bts_spec_reader_tick() - read the log again if a job's spec was missed
 * @reader: the reader
 * @now_us: the time
 */
void
bts_spec_reader_tick (bts_spec_reader_t *reader, gint64 now_us)
{
  if (!reader->following || now_us - reader->checked_us < CHECK_INTERVAL_US)
    return;
  reader->checked_us = now_us;
  gint64 missing = find_first_missing (reader);
  if (missing < 0 || missing >= reader->next_offset)
    return;
  bt_log (BT_LOG_NOTICE, "specs-again", "from=%" G_GINT64_FORMAT " next=%" G_GINT64_FORMAT, missing,
          reader->next_offset);
  follow_from (reader, missing);
}
