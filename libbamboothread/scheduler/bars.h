#ifndef BTS_BARS_H
#define BTS_BARS_H

#include <glib.h>

#include "proto/record.pb-c.h"

/*
 * Barred job ids. A cancellation of an id that the journal doesn't hold bars it: an Accepted
 * record or a snapshot that was submitted before its process had read the cancellation has no
 * effect, however late it is appended. A job that was submitted to a process which had read the
 * cancellation isn't affected.
 */

typedef struct bts_bars_t bts_bars_t;

/* Most barred ids; a cancellation of a further unknown id is refused. Bounds the memory and the
   snapshots: 20 bytes of the journal for each. */
#define BTS_BARS_MAX 10000

/**
 * struct bts_bar_t - a barred id
 * @number: the job's id as a number
 * @offset: offset of the cancellation that barred it
 * @seen: number of records that the process had read when it wrote the cancellation; 0 if that
 * isn't known
 * @snapshot_offset: offset of the newest record that names it
 * @folded_us: when this process folded the cancellation
 * @has_blocked: a record of the job was kept out since
 */
typedef struct
{
  guint64 number;
  gint64 offset;
  guint64 seen;
  gint64 snapshot_offset;
  gint64 folded_us;
  gboolean has_blocked;
} bts_bar_t;

bts_bars_t *bts_bars_new (void);
void bts_bars_free (bts_bars_t *bars);
void bts_bars_add (bts_bars_t *bars, const Bts__Cancelled *cancelled, gint64 offset, gint64 now_us);
const bts_bar_t *bts_bars_find (const bts_bars_t *bars, guint64 number);
gboolean bts_bars_is_barred (const bts_bars_t *bars, const Bts__Accepted *job);
gboolean bts_bars_is_outdated (const bts_bars_t *bars, const Bts__Cancelled *cancelled,
                               const Bts__Accepted *job);
gboolean bts_bars_block (bts_bars_t *bars, const Bts__Accepted *accepted);
guint bts_bars_count (const bts_bars_t *bars);
gint64 bts_bars_oldest_needed (const bts_bars_t *bars, gint64 oldest);
void bts_bars_expire (bts_bars_t *bars, gint64 read_sent_us);
void bts_bars_fold_snapshot (bts_bars_t *bars, const Bts__Bars *snapshot, gint64 offset,
                             gint64 now_us);
GPtrArray *bts_bars_list_snapshots (const bts_bars_t *bars, gint64 now_us);

#endif
