#include "libbamboothread/scheduler/recurrence.h"

/* Most open occurrences of a job of which some tasks haven't been started, and most stages of
   these; one at least. All occurrences have the same steps: if the first ones find no room, neither
   do others. */
#define WAITING_MAX 8
#define WAITING_STAGES_MAX 64
/* Interval at which one more is opened nevertheless while there is memory to spare, in
   microseconds: the first steps of later ones may find room although the last steps of these don't.
 */
#define EXTRA_INTERVAL_US (250 * 1000)

static guint
count_waiting (const bts_job_t *job)
{
  guint n_waiting = 0;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const bts_occurrence_t *occurrence = job->occurrences->pdata[i];
      gboolean waiting = FALSE;
      for (gsize s = 0; !waiting && s < job->accepted->n_steps; s++)
        waiting = bts_stage_count_pending (&occurrence->stages[s]) > 0;
      n_waiting += waiting;
    }
  return n_waiting;
}

/**
 * bts_recurrence_waiting_max() - most open occurrences of a job with tasks that haven't been
 * started
 * @accepted: the job
 */
guint
bts_recurrence_waiting_max (const Bts__Accepted *accepted)
{
  guint n_max = (guint)CLAMP (WAITING_STAGES_MAX / MAX (accepted->n_steps, 1), 1, WAITING_MAX);
  return MIN (n_max, MAX (accepted->repeat, 1));
}

/**
 * bts_recurrence_open_due() - open the next occurrences that are due
 * @job: a recurring job
 * @n_due: how many of its occurrences are due
 * @has_memory: whether there is memory to spare
 * @now_us: the time
 * @open: called for each occurrence to open
 * @context: passed to @open
 *
 * Occurrences are opened in order. Those that are due and aren't opened for the limits above are
 * opened by later calls, when others have started.
 */
void
bts_recurrence_open_due (bts_job_t *job, guint n_due, gboolean has_memory, gint64 now_us,
                         bts_recurrence_open_t open, void *context)
{
  job->next_occurrence = bts_ranges_next_missing (job->done, job->next_occurrence);
  if (job->next_occurrence >= n_due)
    return;
  guint n_max = bts_recurrence_waiting_max (job->accepted);
  guint n = n_max - MIN (n_max, count_waiting (job));
  if (n == 0 && has_memory && now_us - job->opened_us >= EXTRA_INTERVAL_US)
    n = 1;
  for (; n > 0 && job->next_occurrence < n_due; n--)
    {
      job->opened_us = now_us;
      open (context, job, job->next_occurrence);
      job->next_occurrence = bts_ranges_next_missing (job->done, job->next_occurrence + 1);
    }
}

/**
 * bts_recurrence_count_waiting() - number of occurrences that are due and haven't been opened
 * @job: a recurring job
 * @n_due: how many of its occurrences are due
 */
guint
bts_recurrence_count_waiting (const bts_job_t *job, guint n_due)
{
  return n_due > job->next_occurrence ? n_due - job->next_occurrence : 0;
}
