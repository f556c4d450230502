#include "libbamboothread/scheduler/handover.h"

#include <string.h>

#include "libbamboothread/scheduler/sched_private.h"

/* Most tasks in one resignation; keeps it far below the store's size limit of a record. */
#define IDLE_TASKS_MAX 1000

/* Whether the owner before this one has said on which workers a task may run. */
static gboolean
is_inherited (const bts_sched_t *sched, const bts_task_t *task)
{
  return task->idle_term != 0 && task->idle_term + 1 == sched->term;
}

/**
 * bts_handover_is_idle() - whether a task surely doesn't run, as the owner before this one knew
 * @sched: a leading scheduler
 * @task: a task without a run
 */
gboolean
bts_handover_is_idle (const bts_sched_t *sched, const bts_task_t *task)
{
  if (!is_inherited (sched, task))
    return FALSE;
  for (char *const *id = task->idle_workers; *id != NULL; id++)
    {
      const bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, *id);
      if (worker == NULL || bts_sched_may_have_unlisted_runs (sched, worker))
        return FALSE;
    }
  return TRUE;
}

/* The workers on which a task without a run may run unseen: those that the owner before this one
   has named, or else all, as far as they haven't answered. */
static GPtrArray *
list_unseen_workers (const bts_sched_t *sched, const bts_task_t *task)
{
  GPtrArray *workers = g_ptr_array_new ();
  if (sched->settled || task->stage->job->offset > bts_ledger_claim_offset (sched->ledger))
    return workers;
  for (guint i = 0; i < sched->fleet->numbered->len; i++)
    {
      bts_worker_t *worker = sched->fleet->numbered->pdata[i];
      if (worker == NULL || !bts_sched_may_have_unlisted_runs (sched, worker))
        continue;
      if (!is_inherited (sched, task)
          || g_strv_contains ((const char *const *)task->idle_workers, worker->entry->id))
        g_ptr_array_add (workers, worker);
    }
  return workers;
}

static Bts__Idle *
idle_new (const bts_task_t *task, const GPtrArray *workers)
{
  Bts__Idle *idle = malloc (sizeof *idle);
  bts__idle__init (idle);
  idle->task = malloc (sizeof *idle->task);
  bts__run__init (idle->task);
  idle->task->job = bts_job_number (task->stage->job);
  idle->task->occurrence = task->stage->occurrence;
  idle->task->step = task->stage->step;
  idle->task->index = task->index;
  idle->workers = calloc (MAX (workers->len, 1), sizeof *idle->workers);
  for (guint i = 0; i < workers->len; i++)
    idle->workers[idle->n_workers++] = strdup (((bts_worker_t *)workers->pdata[i])->entry->id);
  return idle;
}

/* Adds a task that doesn't run, or whose worker doesn't answer. An end that isn't in the journal
   yet is listed to the next owner, too. */
static void
add_if_idle (const bts_sched_t *sched, const bts_task_t *task, Bts__Resigned *resigned)
{
  if (resigned->n_idle == IDLE_TASKS_MAX || task->pending_end_run > 0
      || (task->run != NULL && task->run->worker->hold_failures == 0))
    return;
  g_autoptr (GPtrArray) workers = NULL;
  if (task->run == NULL)
    workers = list_unseen_workers (sched, task);
  else
    {
      workers = g_ptr_array_new ();
      g_ptr_array_add (workers, task->run->worker);
    }
  resigned->idle[resigned->n_idle++] = idle_new (task, workers);
}

static void
add_idle_of_job (const bts_sched_t *sched, const bts_job_t *job, Bts__Resigned *resigned)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const bts_occurrence_t *occurrence = job->occurrences->pdata[k];
      for (gsize i = 0; occurrence != NULL && i < job->accepted->n_steps; i++)
        {
          const bts_stage_t *stage = &occurrence->stages[i];
          const Bts__Step *step = bts_stage_step (stage);
          for (guint t = 0; step->long_running && !step->gang && t < stage->n_tasks; t++)
            add_if_idle (sched, &stage->tasks[t], resigned);
        }
    }
}

/**
 * bts_handover_new() - the resignation of an owner
 * @sched: a leading scheduler, whose term ends right after this
 *
 * Return: the record, to be freed with bts__resigned__free_unpacked().
 */
Bts__Resigned *
bts_handover_new (const bts_sched_t *sched)
{
  Bts__Resigned *resigned = malloc (sizeof *resigned);
  bts__resigned__init (resigned);
  resigned->term = sched->term;
  resigned->stopped = TRUE;
  resigned->idle = calloc (IDLE_TASKS_MAX, sizeof (Bts__Idle *));
  /* Without any worker nothing is known of what runs. */
  if (g_hash_table_size (sched->fleet->workers) == 0)
    return resigned;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bts_ledger_jobs (sched->ledger));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!bts_job_has_ended (value))
      add_idle_of_job (sched, value, resigned);
  return resigned;
}
