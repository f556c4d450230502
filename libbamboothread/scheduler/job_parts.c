#include "libbamboothread/scheduler/job_parts.h"

#include "libbamboothread/scheduler/job_cover.h"

/* Most parts of a snapshot that is written; one with more is malformed. */
#define PARTS_MAX 65536
/* Most runs of tasks that are kept of a job that isn't known whole. */
#define SPANS_MAX 4096

/**
 * struct span_t - tasks in a row, in the order of occurrences, steps and numbers
 * @from: place of the first one
 * @until: place after the last one
 */
typedef struct
{
  guint from[3];
  guint until[3];
} span_t;

/**
 * struct bts_job_parts_t - the parts that were read of one snapshot
 * @term: term of the owner that wrote it
 * @seen: number of records that the owner had read
 * @n: number of its parts
 * @read: numbers of those that were read
 * @covering: numbers of those that held all that was known of their tasks
 * @known: span_t of the tasks whose state was read in a part; NULL if that of all tasks is known
 */
struct bts_job_parts_t
{
  guint64 term;
  guint64 seen;
  guint n;
  bts_ranges_t *read;
  bts_ranges_t *covering;
  GArray *known;
};

static bts_job_parts_t *
parts_new (void)
{
  bts_job_parts_t *parts = g_new0 (bts_job_parts_t, 1);
  parts->read = bts_ranges_new ();
  parts->covering = bts_ranges_new ();
  return parts;
}

void
bts_job_parts_free (bts_job_parts_t *parts)
{
  if (parts == NULL)
    return;
  bts_ranges_free (parts->read);
  bts_ranges_free (parts->covering);
  g_clear_pointer (&parts->known, g_array_unref);
  g_free (parts);
}

/**
 * bts_job_parts_begin() - note that nothing is known of the tasks of a job
 * @job: a job that wasn't known before
 */
void
bts_job_parts_begin (bts_job_t *job)
{
  job->parts = parts_new ();
  job->parts->known = g_array_new (FALSE, FALSE, sizeof (span_t));
}

static gint
compare_places (const guint left[3], const guint right[3])
{
  for (guint i = 0; i < 3; i++)
    if (left[i] != right[i])
      return left[i] < right[i] ? -1 : 1;
  return 0;
}

/**
 * bts_job_parts_has_state() - whether the earlier state of a task is known
 * @job: the job
 * @occurrence: number of the occurrence
 * @step: number of the step
 * @index: number of the task in its step
 *
 * Return: FALSE if it is in a part of a snapshot that wasn't read yet.
 */
gboolean
bts_job_parts_has_state (const bts_job_t *job, guint occurrence, guint step, guint index)
{
  if (job->parts == NULL || job->parts->known == NULL)
    return TRUE;
  const guint place[] = { occurrence, step, index };
  const GArray *known = job->parts->known;
  for (guint i = 0; i < known->len; i++)
    {
      const span_t *span = &g_array_index (known, span_t, i);
      if (compare_places (span->from, place) <= 0 && compare_places (span->until, place) > 0)
        return TRUE;
    }
  return FALSE;
}

static void
add_known (GArray *known, const Bts__Kept *part)
{
  span_t span = { { 0, 0, 0 }, { G_MAXUINT, G_MAXUINT, G_MAXUINT } };
  if (part->from != NULL)
    span = (span_t){ { part->from->occurrence, part->from->step, part->from->index },
                     { G_MAXUINT, G_MAXUINT, G_MAXUINT } };
  if (part->until != NULL)
    {
      span.until[0] = part->until->occurrence;
      span.until[1] = part->until->step;
      span.until[2] = part->until->index;
    }
  if (known->len == SPANS_MAX)
    g_array_remove_index (known, 0);
  g_array_append_val (known, span);
}

/* Begins with the parts of another snapshot. */
static void
reset (bts_job_parts_t *parts, const Bts__Kept *part)
{
  bts_ranges_free (parts->read);
  bts_ranges_free (parts->covering);
  parts->read = bts_ranges_new ();
  parts->covering = bts_ranges_new ();
  parts->term = part->term;
  parts->seen = part->seen;
  parts->n = part->n_parts;
}

static gboolean
is_of_snapshot (const bts_job_parts_t *parts, const Bts__Kept *part)
{
  return parts->term == part->term && parts->seen == part->seen && parts->n == part->n_parts;
}

/**
 * bts_job_parts_add() - note that a part of a job's snapshot was read
 * @job: the job, before the part is folded
 * @part: the part, or a whole snapshot
 * @read_from: offset from which on all records were read
 *
 * Return: whether all parts of the snapshot have been read, and hold all that was known of the job.
 */
gboolean
bts_job_parts_add (bts_job_t *job, const Bts__Kept *part, gint64 read_from)
{
  gboolean is_covering = bts_job_is_covered (job, part);
  /* Older versions don't say what they had seen. */
  gboolean is_recent = part->seen == 0 || (gint64)part->seen >= read_from;
  if (part->n_parts <= 1)
    {
      if (is_recent)
        g_clear_pointer (&job->parts, bts_job_parts_free);
      return is_covering;
    }
  if (part->part >= part->n_parts || part->n_parts > PARTS_MAX || part->seen == 0)
    return FALSE;
  if (job->parts == NULL)
    job->parts = parts_new ();
  bts_job_parts_t *parts = job->parts;
  if (!is_of_snapshot (parts, part))
    reset (parts, part);
  bts_ranges_add (parts->read, part->part, part->part);
  if (is_covering)
    bts_ranges_add (parts->covering, part->part, part->part);
  if (parts->known != NULL && is_recent)
    add_known (parts->known, part);
  if (bts_ranges_count (parts->read) < parts->n)
    return FALSE;
  gboolean is_whole = bts_ranges_count (parts->covering) == parts->n;
  if (parts->known == NULL || is_recent)
    g_clear_pointer (&job->parts, bts_job_parts_free);
  return is_whole;
}
