#include "libbamboothread/scheduler/early_ends.h"

/* How long ends are kept, in microseconds: a snapshot lands within the time limit of an append. */
#define KEEP_US (10 * G_USEC_PER_SEC)
/* Most ends that are kept; the oldest ones are dropped. */
#define ENDS_MAX 20000

/**
 * struct batch_t - ends of one job in one record
 * @folded_us: when that was folded
 * @ends: bts_early_end_t; NULL once they have been taken
 */
typedef struct
{
  guint64 job;
  gint64 folded_us;
  GPtrArray *ends;
} batch_t;

/**
 * struct bts_early_ends_t - ends of jobs that aren't known
 * @batches: batch_t in the order of the journal
 * @by_job: number of a job to a GPtrArray of its batch_t
 * @n: number of ends
 */
struct bts_early_ends_t
{
  GQueue batches;
  GHashTable *by_job;
  guint n;
};

static void
early_end_free (gpointer data)
{
  bts_early_end_t *early = data;
  if (early->end != NULL)
    bts__end__free_unpacked (early->end, NULL);
  g_free (early);
}

static void
batch_free (gpointer data)
{
  batch_t *batch = data;
  g_clear_pointer (&batch->ends, g_ptr_array_unref);
  g_free (batch);
}

bts_early_ends_t *
bts_early_ends_new (void)
{
  bts_early_ends_t *ends = g_new0 (bts_early_ends_t, 1);
  g_queue_init (&ends->batches);
  ends->by_job = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                        (GDestroyNotify)g_ptr_array_unref);
  return ends;
}

void
bts_early_ends_free (bts_early_ends_t *ends)
{
  g_hash_table_unref (ends->by_job);
  g_queue_clear_full (&ends->batches, batch_free);
  g_free (ends);
}

static void
drop_first (bts_early_ends_t *ends)
{
  batch_t *batch = g_queue_pop_head (&ends->batches);
  GPtrArray *of_job = g_hash_table_lookup (ends->by_job, &batch->job);
  if (batch->ends != NULL)
    {
      ends->n -= batch->ends->len;
      g_ptr_array_remove (of_job, batch);
      if (of_job->len == 0)
        g_hash_table_remove (ends->by_job, &batch->job);
    }
  batch_free (batch);
}

/* The batch of the record that is being folded. */
static batch_t *
ensure_batch (bts_early_ends_t *ends, guint64 job, gint64 now_us)
{
  GPtrArray *of_job = g_hash_table_lookup (ends->by_job, &job);
  if (of_job == NULL)
    {
      of_job = g_ptr_array_new ();
      g_hash_table_insert (ends->by_job, g_memdup2 (&job, sizeof job), of_job);
    }
  batch_t *last = of_job->len == 0 ? NULL : of_job->pdata[of_job->len - 1];
  if (last != NULL && last->folded_us == now_us)
    return last;
  batch_t *batch = g_new0 (batch_t, 1);
  batch->job = job;
  batch->folded_us = now_us;
  batch->ends = g_ptr_array_new_with_free_func (early_end_free);
  g_ptr_array_add (of_job, batch);
  g_queue_push_tail (&ends->batches, batch);
  return batch;
}

/**
 * bts_early_ends_add() - keep an end of a job that isn't known
 * @ends: the ends
 * @end: the end; ownership is taken
 * @offset: offset of the record that holds it
 * @now_us: the time
 */
void
bts_early_ends_add (bts_early_ends_t *ends, Bts__End *end, gint64 offset, gint64 now_us)
{
  const batch_t *first;
  while ((first = g_queue_peek_head (&ends->batches)) != NULL
         && (first->ends == NULL || ends->n >= ENDS_MAX || now_us - first->folded_us > KEEP_US))
    drop_first (ends);
  bts_early_end_t *early = g_new0 (bts_early_end_t, 1);
  early->end = end;
  early->offset = offset;
  g_ptr_array_add (ensure_batch (ends, end->job, now_us)->ends, early);
  ends->n++;
}

/**
 * bts_early_ends_take() - the ends of a job that has become known
 * @ends: the ends, which don't have these any more
 * @job: number of the job
 *
 * Return: bts_early_end_t in the order of the journal; NULL if there are none.
 */
GPtrArray *
bts_early_ends_take (bts_early_ends_t *ends, guint64 job)
{
  GPtrArray *of_job = g_hash_table_lookup (ends->by_job, &job);
  if (of_job == NULL)
    return NULL;
  GPtrArray *taken = g_ptr_array_new_with_free_func (early_end_free);
  for (guint i = 0; i < of_job->len; i++)
    {
      batch_t *batch = of_job->pdata[i];
      ends->n -= batch->ends->len;
      g_ptr_array_extend_and_steal (taken, g_steal_pointer (&batch->ends));
    }
  g_hash_table_remove (ends->by_job, &job);
  return taken;
}

/**
 * bts_early_ends_count() - number of ends that are kept
 * @ends: the ends
 */
guint
bts_early_ends_count (const bts_early_ends_t *ends)
{
  return ends->n;
}
