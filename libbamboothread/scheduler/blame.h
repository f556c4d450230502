#ifndef BTS_BLAME_H
#define BTS_BLAME_H

#include "libbamboothread/scheduler/job.h"

/*
 * The workers that have crashed under a task. A worker counts once, however often it crashes: one
 * that is in a crash loop of its own crashes under each task.
 */

bts_blame_t *bts_blames_find (const bts_task_t *task, const char *worker, const char *address);
void bts_blames_add (bts_task_t *task, const char *worker, const char *address, guint points);
guint bts_blames_count (const bts_task_t *task);
void bts_blames_cap (bts_task_t *task, guint points);
void bts_blames_clear (bts_task_t *task);
void bts_blames_read (bts_task_t *task, const Bts__Crash *crash);
void bts_blames_write (const bts_task_t *task, Bts__Crash *crash);

#endif
