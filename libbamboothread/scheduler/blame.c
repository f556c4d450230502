#include "libbamboothread/scheduler/blame.h"

#include <string.h>

static void
blame_free (gpointer data)
{
  bts_blame_t *blame = data;
  g_free (blame->worker);
  g_free (blame->address);
  g_free (blame);
}

static void
update_points (bts_task_t *task)
{
  task->crash_points = 0;
  for (guint i = 0; i < bts_blames_count (task); i++)
    task->crash_points += ((bts_blame_t *)task->crash_blames->pdata[i])->points;
}

/**
 * bts_blames_count() - number of workers that have crashed in a row under a task
 * @task: the task
 */
guint
bts_blames_count (const bts_task_t *task)
{
  return task->crash_blames == NULL ? 0 : task->crash_blames->len;
}

/**
 * bts_blames_find() - the blame of a worker
 * @task: the task
 * @worker: id of the worker
 * @address: its address; the worker that was there before may have crashed
 *
 * Return: the blame, or NULL if the worker hasn't crashed under the task.
 */
bts_blame_t *
bts_blames_find (const bts_task_t *task, const char *worker, const char *address)
{
  for (guint i = 0; i < bts_blames_count (task); i++)
    {
      bts_blame_t *blame = task->crash_blames->pdata[i];
      if (strcmp (blame->worker, worker) == 0 || strcmp (blame->address, address) == 0)
        return blame;
    }
  return NULL;
}

/**
 * bts_blames_add() - blame a worker for a crash under a task
 * @task: the task
 * @worker: id of the worker
 * @address: its address
 * @points: points for the crash; a worker keeps the most that it got
 */
void
bts_blames_add (bts_task_t *task, const char *worker, const char *address, guint points)
{
  bts_blame_t *blame = bts_blames_find (task, worker, address);
  if (task->crash_blames == NULL)
    task->crash_blames = g_ptr_array_new_with_free_func (blame_free);
  if (blame == NULL)
    {
      blame = g_new0 (bts_blame_t, 1);
      blame->worker = g_strdup (worker);
      blame->address = g_strdup (address);
      g_ptr_array_add (task->crash_blames, blame);
    }
  blame->points = MAX (blame->points, points);
  update_points (task);
}

/**
 * bts_blames_cap() - take points from the newest blames
 * @task: the task
 * @points: the most that is left of all
 */
void
bts_blames_cap (bts_task_t *task, guint points)
{
  for (guint i = bts_blames_count (task); i > 0 && task->crash_points > points; i--)
    {
      bts_blame_t *blame = task->crash_blames->pdata[i - 1];
      blame->points -= MIN (blame->points, task->crash_points - points);
      update_points (task);
    }
}

/**
 * bts_blames_clear() - forget the crashes under a task
 * @task: the task
 */
void
bts_blames_clear (bts_task_t *task)
{
  g_clear_pointer (&task->crash_blames, g_ptr_array_unref);
  task->crash_points = 0;
  task->n_crashes = 0;
  task->crash_again_ms = 0;
  task->crash_again_us = 0;
}

/**
 * bts_blames_read() - take over what a record says of crashes under a task
 * @task: the task
 * @crash: the record; ignored if crashes of a later run are known, and for the same run, if it has
 *   no more points than are known
 */
void
bts_blames_read (bts_task_t *task, const Bts__Crash *crash)
{
  guint run = crash->run->run;
  if (run < task->crash_run || (run == task->crash_run && crash->points <= task->crash_points))
    return;
  bts_blames_clear (task);
  task->crash_run = run;
  task->n_crashes = crash->crashes;
  task->crash_again_ms = crash->again_ms;
  for (gsize i = 0; i < crash->n_blames; i++)
    {
      const Bts__Blame *blame = crash->blames[i];
      bts_blames_add (task, blame->worker, blame->address, blame->points);
    }
  if (task->crash_points < crash->points)
    bts_blames_add (task, "", "", crash->points - task->crash_points);
  bts_blames_cap (task, crash->points);
}

/**
 * bts_blames_write() - put what is known of crashes under a task into a record
 * @task: the task
 * @crash: the record, without blames
 */
void
bts_blames_write (const bts_task_t *task, Bts__Crash *crash)
{
  guint n = bts_blames_count (task);
  crash->points = task->crash_points;
  crash->crashes = task->n_crashes;
  crash->again_ms = task->crash_again_ms;
  crash->n_blames = n;
  crash->blames = n == 0 ? NULL : malloc (n * sizeof *crash->blames);
  for (guint i = 0; i < n; i++)
    {
      const bts_blame_t *blame = task->crash_blames->pdata[i];
      crash->blames[i] = malloc (sizeof *crash->blames[i]);
      bts__blame__init (crash->blames[i]);
      crash->blames[i]->worker = strdup (blame->worker);
      crash->blames[i]->address = strdup (blame->address);
      crash->blames[i]->points = blame->points;
    }
}
