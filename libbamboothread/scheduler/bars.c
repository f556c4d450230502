#include "libbamboothread/scheduler/bars.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* A bar is kept until the journal was read to its end by a read sent this long after the
   cancellation was folded, in microseconds. An append of a job takes effect up to 12 s after it
   was sent, and is sent up to 60 s after the job came in (UNREAD_MAX_US in requests.c). */
#define KEEP_US (90 * G_USEC_PER_SEC)
/* Most bars in one record; keeps it far below the store's size limit of a record. */
#define BARS_PER_RECORD_MAX 4000

struct bts_bars_t
{
  GHashTable *table;
};

bts_bars_t *
bts_bars_new (void)
{
  bts_bars_t *bars = g_new0 (bts_bars_t, 1);
  bars->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return bars;
}

void
bts_bars_free (bts_bars_t *bars)
{
  g_hash_table_unref (bars->table);
  g_free (bars);
}

static bts_bar_t *
find (const bts_bars_t *bars, guint64 number)
{
  return g_hash_table_lookup (bars->table, &number);
}

static bts_bar_t *
ensure_bar (bts_bars_t *bars, guint64 number)
{
  bts_bar_t *bar = find (bars, number);
  if (bar != NULL)
    return bar;
  bar = g_new0 (bts_bar_t, 1);
  bar->number = number;
  bar->offset = -1;
  g_hash_table_insert (bars->table, &bar->number, bar);
  return bar;
}

static void
set_offset (bts_bar_t *bar, gint64 offset, guint64 seen, gint64 folded_us)
{
  if (offset <= bar->offset)
    return;
  bar->offset = offset;
  bar->seen = seen;
  bar->folded_us = folded_us;
  bar->has_blocked = FALSE;
}

/**
 * bts_bars_add() - bar an id
 * @bars: the barred ids
 * @cancelled: a cancellation of a job that isn't known
 * @offset: its offset
 * @now_us: the time of folding, in microseconds
 */
void
bts_bars_add (bts_bars_t *bars, const Bts__Cancelled *cancelled, gint64 offset, gint64 now_us)
{
  bts_bar_t *bar = ensure_bar (bars, g_ascii_strtoull (cancelled->id, NULL, 16));
  set_offset (bar, offset, cancelled->seen, now_us);
  bar->snapshot_offset = MAX (bar->snapshot_offset, offset);
}

const bts_bar_t *
bts_bars_find (const bts_bars_t *bars, guint64 number)
{
  return find (bars, number);
}

/* Whether a cancellation may be a late append of one that had barred the id before the job came in.
 */
static gboolean
is_before_job (guint64 seen, const Bts__Accepted *job)
{
  return seen != 0 && seen < job->barred_by;
}

/**
 * bts_bars_is_barred() - whether records of a submission have no effect
 * @bars: the barred ids
 * @job: the job
 */
gboolean
bts_bars_is_barred (const bts_bars_t *bars, const Bts__Accepted *job)
{
  const bts_bar_t *bar = find (bars, g_ascii_strtoull (job->id, NULL, 16));
  return bar != NULL && (gint64)job->seen <= bar->offset && !is_before_job (bar->seen, job);
}

/**
 * bts_bars_is_outdated() - whether a cancellation has no effect, as it may be a late append of one
 *   that has barred the id
 * @bars: the barred ids
 * @cancelled: the cancellation
 * @job: the job with that id, or NULL if there is none
 */
gboolean
bts_bars_is_outdated (const bts_bars_t *bars, const Bts__Cancelled *cancelled,
                      const Bts__Accepted *job)
{
  const bts_bar_t *bar = find (bars, g_ascii_strtoull (cancelled->id, NULL, 16));
  if (cancelled->seen != 0 && bar != NULL && (gint64)cancelled->seen <= bar->offset)
    return TRUE;
  return job != NULL && is_before_job (cancelled->seen, job);
}

/**
 * bts_bars_block() - check a record of a job that isn't known
 * @bars: the barred ids
 * @accepted: the job
 *
 * Return: whether the record has no effect.
 */
gboolean
bts_bars_block (bts_bars_t *bars, const Bts__Accepted *accepted)
{
  if (!bts_bars_is_barred (bars, accepted))
    return FALSE;
  bts_bar_t *bar = find (bars, g_ascii_strtoull (accepted->id, NULL, 16));
  bar->has_blocked = TRUE;
  bt_metrics_count (BT_COUNT_JOBS_BARRED);
  bt_log (BT_LOG_NOTICE, "accept-barred",
          "job=%s seen=%" G_GUINT64_FORMAT " cancelled_at=%" G_GINT64_FORMAT, accepted->id,
          (guint64)accepted->seen, bar->offset);
  return TRUE;
}

guint
bts_bars_count (const bts_bars_t *bars)
{
  return g_hash_table_size (bars->table);
}

/**
 * bts_bars_oldest_needed() - offset of the oldest record that a reader needs to know all bars
 * @bars: the barred ids
 * @oldest: the result if there are none, or the oldest is newer than this
 */
gint64
bts_bars_oldest_needed (const bts_bars_t *bars, gint64 oldest)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bars->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    oldest = MIN (oldest, ((const bts_bar_t *)value)->snapshot_offset);
  return oldest;
}

/**
 * bts_bars_expire() - remove the bars that no append can reach any more
 * @bars: the barred ids
 * @read_sent_us: when a read of the journal was sent that has reached its end
 *
 * The age counts up to that read, not to the present time: after a stall or an outage of the store
 * the records of that time are yet to be read.
 */
void
bts_bars_expire (bts_bars_t *bars, gint64 read_sent_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bars->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (read_sent_us - ((const bts_bar_t *)value)->folded_us >= KEEP_US)
      g_hash_table_iter_remove (&iter);
}

/**
 * bts_bars_fold_snapshot() - add the bars of a snapshot
 * @bars: the barred ids
 * @snapshot: the snapshot; the time for which bars are kept goes on from the age that it gives
 * @offset: its offset
 * @now_us: the time of folding, in microseconds
 */
void
bts_bars_fold_snapshot (bts_bars_t *bars, const Bts__Bars *snapshot, gint64 offset, gint64 now_us)
{
  for (gsize i = 0; i < snapshot->n_bars; i++)
    {
      const Bts__Bar *row = snapshot->bars[i];
      gint64 age_us = (gint64)row->age_s * G_USEC_PER_SEC;
      if (age_us >= KEEP_US && find (bars, row->job) == NULL)
        continue;
      bts_bar_t *bar = ensure_bar (bars, row->job);
      set_offset (bar, (gint64)row->offset, row->seen, now_us - age_us);
      bar->snapshot_offset = MAX (bar->snapshot_offset, offset);
    }
}

static Bts__Bars *
snapshot_new (GPtrArray *snapshots)
{
  Bts__Bars *snapshot = malloc (sizeof *snapshot);
  bts__bars__init (snapshot);
  snapshot->bars = calloc (BARS_PER_RECORD_MAX, sizeof *snapshot->bars);
  g_ptr_array_add (snapshots, snapshot);
  return snapshot;
}

static void
snapshot_free (gpointer data)
{
  bts__bars__free_unpacked (data, NULL);
}

/**
 * bts_bars_list_snapshots() - the records that hold all bars
 * @bars: the barred ids
 * @now_us: the time
 *
 * Return: array of Bts__Bars, empty if there are no bars.
 */
GPtrArray *
bts_bars_list_snapshots (const bts_bars_t *bars, gint64 now_us)
{
  GPtrArray *snapshots = g_ptr_array_new_with_free_func (snapshot_free);
  Bts__Bars *snapshot = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bars->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_bar_t *bar = value;
      if (snapshot == NULL || snapshot->n_bars == BARS_PER_RECORD_MAX)
        snapshot = snapshot_new (snapshots);
      Bts__Bar *row = malloc (sizeof *row);
      bts__bar__init (row);
      row->job = bar->number;
      row->offset = (guint64)bar->offset;
      row->seen = bar->seen;
      row->age_s = (guint32)((now_us - bar->folded_us) / G_USEC_PER_SEC);
      snapshot->bars[snapshot->n_bars++] = row;
    }
  return snapshots;
}
