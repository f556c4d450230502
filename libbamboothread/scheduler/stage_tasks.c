#include "libbamboothread/scheduler/job.h"

#include "libbamboothread/scheduler/blame.h"

/*
 * The tasks of a stage. A block of them is allocated with the first change to one of its tasks, so
 * that a stage that waits takes the same memory however many tasks it has.
 */

static guint
count_blocks (const bts_stage_t *stage)
{
  return (stage->n_tasks + BTS_TASK_BLOCK - 1) / BTS_TASK_BLOCK;
}

static guint
block_len (const bts_stage_t *stage, guint block)
{
  return MIN (BTS_TASK_BLOCK, stage->n_tasks - block * BTS_TASK_BLOCK);
}

static void
init_task (bts_task_t *task, bts_stage_t *stage, guint index)
{
  task->stage = stage;
  task->index = index;
}

/**
 * bts_stage_task() - a task of a stage, to be changed
 * @stage: the stage
 * @index: number of the task, below the number of tasks
 */
bts_task_t *
bts_stage_task (bts_stage_t *stage, guint index)
{
  guint block = index / BTS_TASK_BLOCK;
  if (stage->blocks == NULL)
    stage->blocks = g_new0 (bts_task_t *, count_blocks (stage));
  if (stage->blocks[block] == NULL)
    {
      guint len = block_len (stage, block);
      stage->blocks[block] = g_new0 (bts_task_t, len);
      for (guint i = 0; i < len; i++)
        init_task (&stage->blocks[block][i], stage, block * BTS_TASK_BLOCK + i);
    }
  return &stage->blocks[block][index % BTS_TASK_BLOCK];
}

/**
 * bts_stage_view_task() - a task of a stage, to be read
 * @stage: the stage
 * @index: number of the task, below the number of tasks
 * @untouched: set to the task if it isn't allocated, since nothing has happened to it
 *
 * Return: the task, or @untouched.
 */
const bts_task_t *
bts_stage_view_task (const bts_stage_t *stage, guint index, bts_task_t *untouched)
{
  guint block = index / BTS_TASK_BLOCK;
  if (stage->blocks != NULL && stage->blocks[block] != NULL)
    return &stage->blocks[block][index % BTS_TASK_BLOCK];
  *untouched = (bts_task_t){ 0 };
  init_task (untouched, (bts_stage_t *)stage, index);
  return untouched;
}

/**
 * bts_stage_next_task() - walk the tasks of a stage to which something may have happened
 * @stage: the stage
 * @next: number of the task at which to go on, 0 at first; moved on
 *
 * Tasks that aren't visited are pending and have never been started.
 *
 * Return: the next task, or NULL at the end.
 */
bts_task_t *
bts_stage_next_task (const bts_stage_t *stage, guint *next)
{
  while (stage->blocks != NULL && *next < stage->n_tasks)
    {
      bts_task_t *block = stage->blocks[*next / BTS_TASK_BLOCK];
      if (block != NULL)
        return &block[(*next)++ % BTS_TASK_BLOCK];
      *next = (*next / BTS_TASK_BLOCK + 1) * BTS_TASK_BLOCK;
    }
  return NULL;
}

static gboolean
is_untouched (const bts_task_t *task)
{
  return bts_task_is_pending (task) && task->last_run == 0 && task->ended_run == 0
         && task->lost_run == 0 && task->fails == 0 && task->checkpoint == NULL
         && task->avoid_worker == NULL && task->crash_run == 0 && task->crash_blames == NULL
         && !task->crash_suspected && task->crash_wait_us == 0;
}

static void
free_block (bts_stage_t *stage, guint block)
{
  for (guint i = 0; i < block_len (stage, block); i++)
    {
      bts_task_t *task = &stage->blocks[block][i];
      g_free (task->checkpoint);
      g_free (task->avoid_worker);
      bts_blames_clear (task);
    }
  g_clear_pointer (&stage->blocks[block], g_free);
}

/**
 * bts_stage_trim_tasks() - free the memory of tasks to which nothing has happened after all
 * @stage: the stage; nothing may refer to these tasks
 */
void
bts_stage_trim_tasks (bts_stage_t *stage)
{
  for (guint block = 0; stage->blocks != NULL && block < count_blocks (stage); block++)
    {
      gboolean untouched = stage->blocks[block] != NULL;
      for (guint i = 0; untouched && i < block_len (stage, block); i++)
        untouched = is_untouched (&stage->blocks[block][i]);
      if (untouched)
        free_block (stage, block);
    }
}

/**
 * bts_stage_clear_tasks() - free the tasks of a stage
 * @stage: the stage; nothing may refer to its tasks
 */
void
bts_stage_clear_tasks (bts_stage_t *stage)
{
  for (guint block = 0; stage->blocks != NULL && block < count_blocks (stage); block++)
    if (stage->blocks[block] != NULL)
      free_block (stage, block);
  g_clear_pointer (&stage->blocks, g_free);
}

/**
 * bts_stage_tasks_bytes() - memory that the tasks of a stage take
 * @stage: the stage
 */
gsize
bts_stage_tasks_bytes (const bts_stage_t *stage)
{
  if (stage->blocks == NULL)
    return 0;
  gsize bytes = count_blocks (stage) * sizeof *stage->blocks;
  for (guint block = 0; block < count_blocks (stage); block++)
    if (stage->blocks[block] != NULL)
      bytes += block_len (stage, block) * sizeof **stage->blocks;
  return bytes;
}
