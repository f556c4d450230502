#include "libbamboothread/scheduler/spec_reader.h"

#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"

/* Specs that are kept until the journal tells of their jobs; those of a few seconds. */
#define EARLY_MAX 2000
/* A job whose spec should have been read by now is looked for after this time, in
   microseconds: far above the time in which a record passes through the store. */
#define MISSING_US (1000 * 1000)

/**
 * struct bts_spec_reader_t - the reader of the specs
 * @early: offset to the Bts__Spec of a job that the journal hasn't told of yet
 * @order: offsets in @early, the oldest first
 * @reading: the log is being followed
 * @next: the offset after the last record read
 * @check_us: when it was last looked for jobs without their spec
 */
struct bts_spec_reader_t
{
  bts_ledger_t *ledger;
  const bts_spec_reader_ops_t *ops;
  void *context;
  GHashTable *early;
  GQueue order;
  gboolean reading;
  gint64 next;
  gint64 check_us;
};

static void
spec_free (gpointer data)
{
  bts__spec__free_unpacked (data, NULL);
}

/**
 * bts_spec_reader_new() - a reader that doesn't read yet
 * @ledger: the folded journal
 * @ops: where the log of specs is read
 * @context: handed to @ops
 */
bts_spec_reader_t *
bts_spec_reader_new (bts_ledger_t *ledger, const bts_spec_reader_ops_t *ops, void *context)
{
  bts_spec_reader_t *specs = g_new0 (bts_spec_reader_t, 1);
  specs->ledger = ledger;
  specs->ops = ops;
  specs->context = context;
  specs->early = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, spec_free);
  g_queue_init (&specs->order);
  return specs;
}

void
bts_spec_reader_free (bts_spec_reader_t *specs)
{
  g_hash_table_unref (specs->early);
  g_queue_clear_full (&specs->order, g_free);
  g_free (specs);
}

/* The first spec that a job lacks, or -1. */
static gint64
find_first_missing (const bts_spec_reader_t *specs)
{
  gint64 first = -1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (specs->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_job_t *job = value;
      if (bts_job_has_ended (job) || bts_job_has_spec (job))
        continue;
      gint64 at = (gint64)job->accepted->spec_at - 1;
      first = first < 0 ? at : MIN (first, at);
    }
  return first;
}

/* The offset after the newest spec that the journal has told of. */
static gint64
find_end (const bts_spec_reader_t *specs)
{
  guint64 end = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (specs->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    end = MAX (end, ((bts_job_t *)value)->accepted->spec_at);
  return (gint64)end;
}

static void
read_from (bts_spec_reader_t *specs, gint64 from)
{
  specs->reading = TRUE;
  specs->next = from;
  specs->ops->follow (specs->context, from);
}

/**
 * bts_spec_reader_start() - read what the jobs lack, and follow the log
 * @specs: the reader
 * @now_us: the time
 */
void
bts_spec_reader_start (bts_spec_reader_t *specs, gint64 now_us)
{
  gint64 missing = find_first_missing (specs);
  specs->check_us = now_us;
  read_from (specs, missing >= 0 ? missing : find_end (specs));
}

/**
 * bts_spec_reader_stop() - follow the log no longer
 * @specs: the reader
 */
void
bts_spec_reader_stop (bts_spec_reader_t *specs)
{
  if (!specs->reading)
    return;
  specs->reading = FALSE;
  specs->ops->follow (specs->context, -1);
  g_hash_table_remove_all (specs->early);
  g_queue_clear_full (&specs->order, g_free);
}

static void
give (bts_job_t *job, Bts__Spec *spec)
{
  ProtobufCBinaryData *kept = &job->accepted->spec;
  if (kept->len > 0)
    return;
  *kept = spec->spec;
  spec->spec.data = NULL;
  spec->spec.len = 0;
}

static void
keep_early (bts_spec_reader_t *specs, gint64 offset, Bts__Spec *spec)
{
  g_hash_table_replace (specs->early, g_memdup2 (&offset, sizeof offset), spec);
  g_queue_push_tail (&specs->order, g_memdup2 (&offset, sizeof offset));
  while (g_queue_get_length (&specs->order) > EARLY_MAX)
    {
      g_autofree gint64 *oldest = g_queue_pop_head (&specs->order);
      g_hash_table_remove (specs->early, oldest);
    }
}

/**
 * bts_spec_reader_on_record() - the next record of the log of specs
 * @specs: the reader
 * @offset: of the record
 * @data: its bytes, @len of them
 * @len: number of bytes
 * @error: %BT_ERROR_INVALID if it is no spec
 *
 * Return: whether it could be read.
 */
gboolean
bts_spec_reader_on_record (bts_spec_reader_t *specs, gint64 offset, const guint8 *data, gsize len,
                           GError **error)
{
  specs->next = offset + 1;
  Bts__Spec *spec = bts__spec__unpack (NULL, len, data);
  if (spec == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "spec %" G_GINT64_FORMAT " can't be read",
                   offset);
      return FALSE;
    }
  bts_job_t *job = bts_ledger_job (specs->ledger, spec->id);
  if (job == NULL)
    {
      keep_early (specs, offset, spec);
      return TRUE;
    }
  if (!bts_job_has_ended (job) && (gint64)job->accepted->spec_at == offset + 1)
    give (job, spec);
  spec_free (spec);
  return TRUE;
}

/**
 * bts_spec_reader_on_job() - the journal has told of a job
 * @specs: the reader
 * @job: the job, which gets its spec if that was read before
 */
void
bts_spec_reader_on_job (bts_spec_reader_t *specs, bts_job_t *job)
{
  gint64 at = (gint64)job->accepted->spec_at - 1;
  Bts__Spec *spec = at < 0 ? NULL : g_hash_table_lookup (specs->early, &at);
  if (spec == NULL)
    return;
  if (strcmp (spec->id, bts_job_id (job)) == 0)
    give (job, spec);
  g_hash_table_remove (specs->early, &at);
}

/**
 * bts_spec_reader_tick() - look for jobs whose spec was passed over
 * @specs: the reader
 * @now_us: the time
 */
void
bts_spec_reader_tick (bts_spec_reader_t *specs, gint64 now_us)
{
  if (!specs->reading || now_us - specs->check_us < MISSING_US)
    return;
  specs->check_us = now_us;
  gint64 missing = find_first_missing (specs);
  if (missing < 0 || missing >= specs->next)
    return;
  bt_log (BT_LOG_NOTICE, "specs-again", "from=%" G_GINT64_FORMAT " next=%" G_GINT64_FORMAT, missing,
          specs->next);
  read_from (specs, missing);
}
