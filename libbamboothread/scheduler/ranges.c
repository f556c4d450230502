#include "libbamboothread/scheduler/ranges.h"

/**
 * struct bts_ranges_t - a set of numbers
 * @list: bts_range_t in ascending order, with a number missing between any two
 * @count: number of elements; changed only by bts_ranges_add()
 */
struct bts_ranges_t
{
  GArray *list;
  guint64 count;
};

bts_ranges_t *
bts_ranges_new (void)
{
  bts_ranges_t *ranges = g_new0 (bts_ranges_t, 1);
  ranges->list = g_array_new (FALSE, FALSE, sizeof (bts_range_t));
  return ranges;
}

void
bts_ranges_free (bts_ranges_t *ranges)
{
  g_array_unref (ranges->list);
  g_free (ranges);
}

static bts_range_t *
range_at (const bts_ranges_t *ranges, guint i)
{
  return &g_array_index (ranges->list, bts_range_t, i);
}

static guint64
range_len (const bts_range_t *range)
{
  return (guint64)range->last - range->first + 1;
}

/* Index of the first range that ends at @number or later; the number of ranges if none does. */
static guint
find_range (const bts_ranges_t *ranges, guint number)
{
  guint low = 0;
  guint high = ranges->list->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (range_at (ranges, middle)->last < number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/**
 * bts_ranges_add() - add numbers that follow each other
 * @ranges: the set
 * @first: the first of them
 * @last: the last of them, at least @first; numbers that are there already don't matter
 */
void
bts_ranges_add (bts_ranges_t *ranges, guint first, guint last)
{
  bts_range_t added = { first, last };
  guint at = find_range (ranges, first == 0 ? 0 : first - 1);
  guint n_merged = 0;
  for (guint i = at; i < ranges->list->len; i++, n_merged++)
    {
      const bts_range_t *range = range_at (ranges, i);
      if (last != G_MAXUINT && range->first > last + 1)
        break;
      added.first = MIN (added.first, range->first);
      added.last = MAX (added.last, range->last);
      ranges->count -= range_len (range);
    }
  if (n_merged > 0)
    g_array_remove_range (ranges->list, at, n_merged);
  g_array_insert_val (ranges->list, at, added);
  ranges->count += range_len (&added);
}

/**
 * bts_ranges_contains() - whether all of some numbers that follow each other are in a set
 * @ranges: the set
 * @first: the first of them
 * @last: the last of them
 */
gboolean
bts_ranges_contains (const bts_ranges_t *ranges, guint first, guint last)
{
  guint i = find_range (ranges, first);
  return i < ranges->list->len && range_at (ranges, i)->first <= first
         && range_at (ranges, i)->last >= last;
}

/**
 * bts_ranges_next_missing() - the first number from some one on that isn't in a set
 * @ranges: the set; must not hold all numbers up to the largest one
 * @from: where to begin
 */
guint
bts_ranges_next_missing (const bts_ranges_t *ranges, guint from)
{
  guint i = find_range (ranges, from);
  return i < ranges->list->len && range_at (ranges, i)->first <= from
             ? range_at (ranges, i)->last + 1
             : from;
}

guint64
bts_ranges_count (const bts_ranges_t *ranges)
{
  return ranges->count;
}

/**
 * bts_ranges_list() - the ranges of a set in ascending order
 * @ranges: the set
 * @n: set to their number
 *
 * Return: the ranges, valid until the set is changed.
 */
const bts_range_t *
bts_ranges_list (const bts_ranges_t *ranges, guint *n)
{
  *n = ranges->list->len;
  return (const bts_range_t *)(gconstpointer)ranges->list->data;
}
