#ifndef BTS_EARLY_ENDS_H
#define BTS_EARLY_ENDS_H

#include "proto/record.pb-c.h"

#include <glib.h>

/*
 * Ends in the journal of jobs that this process doesn't know yet. A process that starts may read
 * an end before the snapshot of its job, which was written before that end was recorded.
 */

typedef struct bts_early_ends_t bts_early_ends_t;

bts_early_ends_t *bts_early_ends_new (void);
void bts_early_ends_free (bts_early_ends_t *ends);
void bts_early_ends_add (bts_early_ends_t *ends, Bts__End *end, gint64 offset, gint64 now_us);
GPtrArray *bts_early_ends_take (bts_early_ends_t *ends, guint64 job);
guint bts_early_ends_count (const bts_early_ends_t *ends);

/**
 * struct bts_early_end_t - such an end
 * @end: the end
 * @offset: offset of the record that holds it
 */
typedef struct
{
  Bts__End *end;
  gint64 offset;
} bts_early_end_t;

#endif
