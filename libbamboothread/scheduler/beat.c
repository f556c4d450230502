#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

/*
 * Beats: the owner's records in the journal. Each carries the ends that workers
 * have listed and shows the other processes that the owner is alive. A worker
 * is told to forget an end only after the beat with it has come back.
 */

/* Time between two beats while ends come in, in microseconds: each beat is a call
   and one read for every process. */
#define BEAT_SPACING_US (40 * 1000)
/* Time between two beats while nothing happens, well below the silence after
   which others claim. */
#define BEAT_IDLE_US (150 * 1000)
/* Time after which a beat that hasn't come back is written again, in microseconds;
   folding it twice changes nothing. */
#define BEAT_RETRY_US (700 * 1000)
/* Ends in one record; keeps it far below the store's limit of one record. */
#define BEAT_ENDS_MAX 1000

void
bts_outgoing_free (gpointer data)
{
  bts_outgoing_t *item = data;
  g_free (item->worker);
  if (item->end != NULL)
    bts__end__free_unpacked (item->end, NULL);
  g_free (item);
}

static Bts__End *
end_new (const bts_finished_t *row, const bts_task_t *task)
{
  Bts__End *end = malloc (sizeof *end);
  bts__end__init (end);
  end->job = bts_job_number (task->stage->job);
  end->occurrence = task->stage->occurrence;
  end->step = task->stage->step;
  end->index = task->index;
  end->run = row->number;
  end->how = row->how;
  end->saved = strdup (row->how == BTS_HOW_DONE ? "" : row->saved);
  return end;
}

/**
 * bts_beat_add() - journal an end
 * @sched: the scheduler
 * @worker: the worker that listed it
 * @row: the end
 * @task: its task, or NULL if the end doesn't count
 */
void
bts_beat_add (bts_sched_t *sched, const bts_worker_t *worker, const bts_finished_t *row,
              bts_task_t *task)
{
  bts_outgoing_t *item = g_new0 (bts_outgoing_t, 1);
  item->worker = g_strdup (worker->entry->id);
  item->life = worker->life;
  item->number = row->end;
  item->end = task == NULL ? NULL : end_new (row, task);
  g_ptr_array_add (sched->outgoing, item);
}

/**
 * bts_beat_begun() - tell the other processes that a job has begun
 * @sched: the scheduler
 * @job: the job
 */
void
bts_beat_begun (bts_sched_t *sched, bts_job_t *job)
{
  if (job->begun || job->owner_told)
    return;
  job->owner_told = TRUE;
  guint64 number = bts_job_number (job);
  g_array_append_val (sched->begun, number);
}

void
bts_held_free (gpointer data)
{
  bts__held__free_unpacked (data, NULL);
}

/**
 * bts_beat_held() - tell the next owner of a worker that this one holds
 * @sched: the scheduler
 * @worker: the worker
 */
void
bts_beat_held (bts_sched_t *sched, const bts_worker_t *worker)
{
  if (bts_ledger_holds (sched->ledger, worker->entry->id))
    return;
  for (guint i = 0; i < sched->held->len; i++)
    if (strcmp (((Bts__Held *)sched->held->pdata[i])->worker, worker->entry->id) == 0)
      return;
  Bts__Held *held = malloc (sizeof *held);
  bts__held__init (held);
  held->worker = strdup (worker->entry->id);
  held->address = strdup (worker->entry->address);
  held->service = strdup (worker->entry->service);
  g_ptr_array_add (sched->held, held);
}

/**
 * bts_beat_released() - a worker is gone and has nothing of ours any more
 * @sched: the scheduler
 * @worker: the worker
 */
void
bts_beat_released (bts_sched_t *sched, const bts_worker_t *worker)
{
  if (!bts_ledger_holds (sched->ledger, worker->entry->id)
      || g_ptr_array_find_with_equal_func (sched->released, worker->entry->id, g_str_equal, NULL))
    return;
  g_ptr_array_add (sched->released, g_strdup (worker->entry->id));
}

static void
send (bts_sched_t *sched, gint64 now_us)
{
  g_autoptr (GPtrArray) ends = g_ptr_array_new ();
  sched->beat++;
  for (guint i = 0; i < sched->outgoing->len && ends->len < BEAT_ENDS_MAX; i++)
    {
      bts_outgoing_t *item = sched->outgoing->pdata[i];
      item->beat = sched->beat;
      if (item->end != NULL)
        g_ptr_array_add (ends, item->end);
    }
  Bts__Beat beat = BTS__BEAT__INIT;
  beat.term = sched->term;
  beat.number = sched->beat;
  beat.append_ms = sched->append_ms;
  beat.n_ends = ends->len;
  beat.ends = (Bts__End **)ends->pdata;
  beat.n_begun = sched->begun->len;
  beat.begun = (guint64 *)(gpointer)sched->begun->data;
  sched->begun_beat = sched->beat;
  sched->begun_sent = sched->begun->len;
  beat.n_held = sched->held->len;
  beat.held = (Bts__Held **)sched->held->pdata;
  sched->held_sent = sched->held->len;
  beat.n_released = sched->released->len;
  beat.released = (char **)sched->released->pdata;
  sched->released_sent = sched->released->len;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_BEAT;
  record.beat = &beat;
  sched->beat_us = now_us;
  sched->beat_open = TRUE;
  sched->ops->append (sched->context, &record);
}

/**
 * bts_beat_tick() - write a beat if one is due
 * @sched: a leading scheduler
 */
void
bts_beat_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  gint64 since_us = now_us - sched->beat_us;
  gboolean news = sched->outgoing->len > 0 || sched->begun->len > 0 || sched->held->len > 0
                  || sched->released->len > 0;
  gint64 wait_us = sched->beat_open ? BEAT_RETRY_US : news ? BEAT_SPACING_US : BEAT_IDLE_US;
  if (since_us >= wait_us)
    send (sched, now_us);
}

static void
settle_end (bts_sched_t *sched, const bts_outgoing_t *item)
{
  bts_worker_t *worker = bts_fleet_worker (sched->fleet, item->worker);
  if (worker == NULL || worker->life != item->life)
    return;
  worker->acked = MAX (worker->acked, item->number);
  if (worker->ends_open > 0 && --worker->ends_open == 0)
    worker->hold_next_us = bts_sched_now (sched);
}

static void
drop_sent (GPtrArray *items, guint *sent)
{
  if (*sent > 0)
    g_ptr_array_remove_range (items, 0, *sent);
  *sent = 0;
}

/**
 * bts_sched_on_beat() - a beat has come back from the journal
 * @sched: the scheduler
 * @number: its number
 */
void
bts_sched_on_beat (bts_sched_t *sched, guint64 number)
{
  if (sched->term == 0)
    return;
  if (number == sched->beat)
    {
      sched->beat_open = FALSE;
      sched->confirmed_us = sched->beat_us;
    }
  guint n = 0;
  while (n < sched->outgoing->len)
    {
      const bts_outgoing_t *item = sched->outgoing->pdata[n];
      if (item->beat == 0 || item->beat > number)
        break;
      settle_end (sched, item);
      n++;
    }
  if (n > 0)
    g_ptr_array_remove_range (sched->outgoing, 0, n);
  if (sched->begun_beat != number)
    return;
  if (sched->begun_sent > 0)
    g_array_remove_range (sched->begun, 0, sched->begun_sent);
  sched->begun_sent = 0;
  drop_sent (sched->held, &sched->held_sent);
  drop_sent (sched->released, &sched->released_sent);
}

/**
 * bts_beat_clear() - drop what was to be journaled in a term that is over
 * @sched: the scheduler
 */
void
bts_beat_clear (bts_sched_t *sched)
{
  g_ptr_array_set_size (sched->outgoing, 0);
  g_array_set_size (sched->begun, 0);
  g_ptr_array_set_size (sched->held, 0);
  g_ptr_array_set_size (sched->released, 0);
  sched->begun_beat = 0;
  sched->begun_sent = 0;
  sched->held_sent = 0;
  sched->released_sent = 0;
  sched->beat = 0;
  sched->beat_us = 0;
  sched->beat_open = FALSE;
}
