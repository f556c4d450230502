#include "libbamboothread/scheduler/recurrence.h"

/* Most open occurrences of a job that run nothing, and most of which some tasks haven't started,
   for a job of one step; of a job of many steps one at least. All occurrences have the same steps:
   if the first ones find no room, neither do others. */
#define IDLE_MAX 8
#define PARTIAL_MAX 64
/* Most stages of these occurrences. */
#define IDLE_STAGES_MAX 64
#define PARTIAL_STAGES_MAX 512
/* Interval at which one more is opened nevertheless while there is memory to spare, in
   microseconds: the first steps of later ones may find room although the last steps of these don't.
 */
#define EXTRA_INTERVAL_US (1 * G_USEC_PER_SEC)

/**
 * struct open_t - open occurrences of a job that aren't done
 * @n_idle: those that run nothing
 * @n_partial: those of which some tasks haven't been started
 */
typedef struct
{
  guint n_idle;
  guint n_partial;
} open_t;

static gboolean
has_run (const bts_stage_t *stage)
{
  const bts_task_t *task;
  for (guint t = 0; (task = bts_stage_next_task (stage, &t)) != NULL;)
    if (task->run != NULL)
      return TRUE;
  return FALSE;
}

static open_t
count_open (const bts_job_t *job)
{
  open_t open = { 0 };
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const bts_occurrence_t *occurrence = job->occurrences->pdata[i];
      if (bts_ranges_contains (job->done, occurrence->number, occurrence->number))
        continue;
      gboolean idle = TRUE;
      gboolean partial = FALSE;
      for (gsize s = 0; s < job->accepted->n_steps; s++)
        {
          idle = idle && !has_run (&occurrence->stages[s]);
          partial = partial || bts_stage_count_pending (&occurrence->stages[s]) > 0;
        }
      open.n_idle += idle;
      open.n_partial += partial;
    }
  return open;
}

static guint
limit (const bts_job_t *job, guint n_max, guint n_stages_max)
{
  return (guint)CLAMP (n_stages_max / MAX (job->accepted->n_steps, 1), 1, n_max);
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
                         bts_recurrence_open_f open, void *context)
{
  job->next_occurrence = bts_ranges_next_missing (job->done, job->next_occurrence);
  if (job->next_occurrence >= n_due)
    return;
  open_t now_open = count_open (job);
  guint n_idle = limit (job, IDLE_MAX, IDLE_STAGES_MAX);
  guint n_partial = limit (job, PARTIAL_MAX, PARTIAL_STAGES_MAX);
  guint n = MIN (n_idle - MIN (n_idle, now_open.n_idle),
                 n_partial - MIN (n_partial, now_open.n_partial));
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
