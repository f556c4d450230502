#include "libbamboothread/scheduler/job_budget.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/fleet.h"
#include "libbamboothread/scheduler/recurrence.h"

/* Interval between two counts of the memory of all jobs, in microseconds. */
#define COUNT_INTERVAL_US (1 * G_USEC_PER_SEC)
/* How long tasks of ended jobs and of occurrences that are done are kept, in microseconds, so that
   those that a worker still lists are known: longer than any lease, or, while jobs take much
   memory, than one that an owner asks for. */
#define KEEP_US (20 * G_USEC_PER_SEC)
#define KEEP_SHORT_US (5 * G_USEC_PER_SEC)
/* Interval at which they are removed, in microseconds. */
#define COMPACT_INTERVAL_US (5 * G_USEC_PER_SEC)
#define COMPACT_SHORT_INTERVAL_US (1 * G_USEC_PER_SEC)
/* The largest job takes this part of what all jobs may take. With the square of the part that is
   left, large jobs are refused long before small ones. */
#define PART_PER_JOB 16
/* A run with its names and its entries in tables, on the owner. */
#define RUN_BYTES (sizeof (bts_run_t) + 256)
/* Memory of a job without its steps: the message, the policy and their strings, the entry in the
   table of jobs, and what the allocator adds. */
#define JOB_BYTES (sizeof (bts_job_t) + sizeof (Bts__Accepted) + sizeof (Bts__Policy) + 640)
/* The same for a step, its entry in the queue and one for each process that is asked for advice. */
#define STEP_BYTES (sizeof (Bts__Step) + sizeof (gint64) + 64)
#define STAGE_BYTES (sizeof (bts_stage_t) + 2 * sizeof (gpointer))
#define OCCURRENCE_BYTES (sizeof (bts_occurrence_t) + 48)
/* A ticket of the advice service with its text. */
#define TICKET_BYTES (sizeof (bts_ticket_t) + 64)

/**
 * struct admitted_t - a job that was admitted and hasn't been read from the journal
 * @bytes: memory that it will take
 */
typedef struct
{
  char *id;
  guint64 exchange;
  gsize bytes;
} admitted_t;

/**
 * struct bts_job_budget_t - memory of jobs
 * @limit_bytes: what jobs may take in this process; 0 for no limit
 * @counted_bytes: what all jobs took at the last count
 * @added_bytes: what jobs that were read since then take
 * @owner_bytes: what jobs take on the owner, as it says; 0 if not known
 * @counted_us: when the last count was; 0 before the first
 * @admitted: by exchange, admitted_t of this process's callers
 * @admitted_bytes: their sum
 */
struct bts_job_budget_t
{
  gsize limit_bytes;
  gsize counted_bytes;
  gsize added_bytes;
  gsize owner_bytes;
  gint64 counted_us;
  GHashTable *admitted;
  gsize admitted_bytes;
};

static void
admitted_free (gpointer data)
{
  admitted_t *admitted = data;
  g_free (admitted->id);
  g_free (admitted);
}

/**
 * bts_job_budget_new() - create a budget without jobs
 * @limit_bytes: memory that jobs may take in this process; 0 for no limit
 */
bts_job_budget_t *
bts_job_budget_new (gsize limit_bytes)
{
  bts_job_budget_t *budget = g_new0 (bts_job_budget_t, 1);
  budget->limit_bytes = limit_bytes;
  budget->admitted = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, admitted_free);
  return budget;
}

void
bts_job_budget_free (bts_job_budget_t *budget)
{
  g_hash_table_unref (budget->admitted);
  g_free (budget);
}

/* Memory of open occurrences without their tasks. */
static gsize
occurrences_bytes (const Bts__Accepted *accepted, guint n)
{
  return n * (OCCURRENCE_BYTES + accepted->n_steps * STAGE_BYTES);
}

/* Memory of a job before its tasks are allocated, apart from its spec. */
static gsize
waiting_bytes (const Bts__Accepted *accepted)
{
  gsize bytes = JOB_BYTES;
  for (gsize i = 0; i < accepted->n_steps; i++)
    {
      const Bts__Step *step = accepted->steps[i];
      bytes += STEP_BYTES + step->n_after * sizeof *step->after + strlen (step->label)
               + strlen (step->rack) + strlen (step->image);
    }
  return bytes + occurrences_bytes (accepted, bts_recurrence_waiting_max (accepted));
}

static gsize
job_bytes (const bts_job_t *job)
{
  const Bts__Accepted *accepted = job->accepted;
  if (accepted->n_steps == 0)
    return JOB_BYTES;
  guint n_open = bts_recurrence_waiting_max (accepted);
  guint n_more = job->occurrences->len - MIN (job->occurrences->len, n_open);
  gsize bytes = job->waiting_bytes + accepted->spec.len + occurrences_bytes (accepted, n_more);
  bts_stage_walk_t walk = { 0 };
  const bts_stage_t *stage;
  while ((stage = bts_job_next_stage (job, &walk)) != NULL)
    {
      bytes += bts_stage_tasks_bytes (stage);
      if (stage->advice != NULL)
        bytes += stage->advice->asked->len + stage->advice->allowed->len * TICKET_BYTES;
    }
  return bytes;
}

/* The owner may hold more than this process, for what runs, or less, while it reads. */
static gsize
used_bytes (const bts_job_budget_t *budget)
{
  return MAX (budget->counted_bytes, budget->owner_bytes) + budget->added_bytes
         + budget->admitted_bytes;
}

/* The largest job that is admitted while so much is left. */
static gsize
largest_bytes (gsize left_bytes, gsize limit_bytes)
{
  double part_left = (double)left_bytes / (double)limit_bytes;
  return (gsize)(part_left * part_left * (double)(limit_bytes / PART_PER_JOB));
}

/**
 * bts_job_budget_tick() - count the memory of all jobs if that is due
 * @budget: the budget
 * @jobs: id to bts_job_t
 * @n_runs: number of runs that this process knows as the owner
 * @now_us: the time
 */
void
bts_job_budget_tick (bts_job_budget_t *budget, GHashTable *jobs, guint n_runs, gint64 now_us)
{
  if (budget->counted_us != 0 && now_us - budget->counted_us < COUNT_INTERVAL_US)
    return;
  budget->counted_us = now_us;
  budget->counted_bytes = n_runs * RUN_BYTES;
  budget->added_bytes = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    budget->counted_bytes += job_bytes (value);
  bt_metrics_set (BT_GAUGE_JOB_BYTES, (gint64)used_bytes (budget));
  bt_metrics_set (BT_GAUGE_JOB_BYTES_MAX, (gint64)budget->limit_bytes);
}

static void
remove_admitted (bts_job_budget_t *budget, const admitted_t *admitted)
{
  budget->admitted_bytes -= admitted->bytes;
  g_hash_table_remove (budget->admitted, &admitted->exchange);
}

/**
 * bts_job_budget_admit() - whether a job may be accepted
 * @budget: the budget
 * @exchange: identifies the caller's request
 * @accepted: the job, which isn't known yet
 * @least_bytes: memory that jobs may take in the live process that has the least; 0 if not known
 * @n_processes: number of processes that may admit jobs at the same moment
 *
 * A job that is admitted counts until it is read from the journal, or its caller is told that it
 * wasn't accepted. What one process admits ahead of the journal is bounded by its part of what is
 * left, as the others don't know of it; twice that, as callers spread unevenly.
 *
 * Return: whether it may.
 */
gboolean
bts_job_budget_admit (bts_job_budget_t *budget, guint64 exchange, const Bts__Accepted *accepted,
                      gsize least_bytes, guint n_processes)
{
  gsize limit_bytes = budget->limit_bytes;
  if (least_bytes != 0)
    limit_bytes = limit_bytes == 0 ? least_bytes : MIN (limit_bytes, least_bytes);
  if (limit_bytes == 0)
    return TRUE;
  gsize bytes = waiting_bytes (accepted) + accepted->spec.len;
  gsize used = used_bytes (budget);
  gsize left = limit_bytes - MIN (limit_bytes, used);
  if (bytes > largest_bytes (left, limit_bytes)
      || budget->admitted_bytes + bytes > left / MAX (n_processes / 2, 2))
    {
      bt_metrics_count (BT_COUNT_SUBMIT_NO_MEMORY);
      bt_log (BT_LOG_INFO, "submit-no-memory",
              "job=%s bytes=%zu used=%zu max=%zu unread=%zu route=%s tenant=%s", accepted->id,
              bytes, used, limit_bytes, budget->admitted_bytes, accepted->policy->route,
              accepted->policy->tenant);
      return FALSE;
    }
  admitted_t *admitted = g_new0 (admitted_t, 1);
  admitted->id = g_strdup (accepted->id);
  admitted->exchange = exchange;
  admitted->bytes = bytes;
  budget->admitted_bytes += bytes;
  g_hash_table_insert (budget->admitted, &admitted->exchange, admitted);
  return TRUE;
}

/**
 * bts_job_budget_bytes() - memory that jobs took in this process at the last count
 * @budget: the budget
 */
gsize
bts_job_budget_bytes (const bts_job_budget_t *budget)
{
  return budget->counted_bytes;
}

/**
 * bts_job_budget_set_owner_bytes() - set what jobs take on the owner
 * @budget: the budget
 * @bytes: the memory, as the owner says; 0 if not known
 */
void
bts_job_budget_set_owner_bytes (bts_job_budget_t *budget, gsize bytes)
{
  budget->owner_bytes = bytes;
}

/**
 * bts_job_budget_on_answer() - a caller was answered
 * @budget: the budget
 * @exchange: identifies the caller's request
 * @accepted: whether its job was accepted, so that it will be read from the journal
 */
void
bts_job_budget_on_answer (bts_job_budget_t *budget, guint64 exchange, gboolean accepted)
{
  const admitted_t *admitted = g_hash_table_lookup (budget->admitted, &exchange);
  if (admitted != NULL && !accepted)
    remove_admitted (budget, admitted);
}

/**
 * bts_job_budget_on_job() - a job was read from the journal
 * @budget: the budget
 * @job: the job
 */
void
bts_job_budget_on_job (bts_job_budget_t *budget, bts_job_t *job)
{
  job->waiting_bytes = waiting_bytes (job->accepted);
  budget->added_bytes += job->waiting_bytes;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, budget->admitted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const admitted_t *admitted = value;
      if (strcmp (admitted->id, bts_job_id (job)) != 0)
        continue;
      budget->admitted_bytes -= admitted->bytes;
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * bts_job_budget_has_spare() - whether jobs take less than half of what they may
 * @budget: the budget
 */
gboolean
bts_job_budget_has_spare (const bts_job_budget_t *budget)
{
  return budget->limit_bytes == 0 || used_bytes (budget) < budget->limit_bytes / 2;
}

/**
 * bts_job_budget_keep_us() - how long tasks that are over are kept
 * @budget: the budget
 *
 * Return: the time in microseconds; shorter while jobs take much memory.
 */
gint64
bts_job_budget_keep_us (const bts_job_budget_t *budget)
{
  return bts_job_budget_has_spare (budget) ? KEEP_US : KEEP_SHORT_US;
}

/**
 * bts_job_budget_compact_interval_us() - interval at which tasks that are over are removed
 * @budget: the budget
 *
 * Return: the time in microseconds; shorter while jobs take much memory.
 */
gint64
bts_job_budget_compact_interval_us (const bts_job_budget_t *budget)
{
  return bts_job_budget_has_spare (budget) ? COMPACT_INTERVAL_US : COMPACT_SHORT_INTERVAL_US;
}
