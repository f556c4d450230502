#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Jobs with tasks to place, in the order in which they are tried.
 */

/**
 * bt_queue_push() - put a job at the end of its class
 * @core: the core
 * @job: the job; nothing happens if it is queued
 */
void
bt_queue_push (bt_core_t *core, bt_job_t *job)
{
  if (job->queue_link.data != NULL)
    return;
  job->queue_link.data = job;
  g_queue_push_tail_link (&core->sched.queue[job->work_class], &job->queue_link);
}

/**
 * bt_queue_remove() - take a job out of the queue
 * @core: the core
 * @job: the job; nothing happens if it is not queued
 */
void
bt_queue_remove (bt_core_t *core, bt_job_t *job)
{
  if (job->queue_link.data == NULL)
    return;
  g_queue_unlink (&core->sched.queue[job->work_class], &job->queue_link);
  job->queue_link.data = NULL;
}

/**
 * bt_queue_length() - jobs that wait for a pool
 * @core: the core
 * @pool: the pool's name
 *
 * Return: their number.
 */
guint
bt_queue_length (const bt_core_t *core, const char *pool)
{
  guint n = 0;
  for (int i = 0; i < BT_N_CLASSES; i++)
    for (const GList *l = core->sched.queue[i].head; l != NULL; l = l->next)
      {
        const bt_job_t *job = l->data;
        if (job->pool != NULL && strcmp (job->pool, pool) == 0)
          n++;
      }
  return n;
}
