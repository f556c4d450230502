#ifndef BTS_RANGES_H
#define BTS_RANGES_H

#include <glib.h>

/*
 * A set of numbers, kept as ranges: numbers that follow each other take no room of their own.
 */

/**
 * struct bts_range_t - numbers that follow each other
 * @first: the first of them
 * @last: the last of them
 */
typedef struct
{
  guint first;
  guint last;
} bts_range_t;

typedef struct bts_ranges_t bts_ranges_t;

bts_ranges_t *bts_ranges_new (void);
void bts_ranges_free (bts_ranges_t *ranges);
void bts_ranges_add (bts_ranges_t *ranges, guint first, guint last);
gboolean bts_ranges_contains (const bts_ranges_t *ranges, guint first, guint last);
guint bts_ranges_next_missing (const bts_ranges_t *ranges, guint from);
guint64 bts_ranges_count (const bts_ranges_t *ranges);
const bts_range_t *bts_ranges_list (const bts_ranges_t *ranges, guint *n);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (bts_ranges_t, bts_ranges_free)

#endif
