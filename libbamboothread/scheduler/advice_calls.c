#include "libbamboothread/scheduler/advice_calls.h"

#include <string.h>

/**
 * struct advice_call_t - a call that a process has been asked to make
 * @duration_us: its expected duration, in microseconds
 * @asked_us: when it was asked for
 */
typedef struct
{
  char *job;
  guint occurrence;
  guint step;
  gint64 duration_us;
  gint64 asked_us;
} advice_call_t;

static void
call_free (gpointer data)
{
  advice_call_t *call = data;
  g_free (call->job);
  g_free (call);
}

void
bts_advice_calls_init (bts_advice_calls_t *calls)
{
  g_queue_init (&calls->queue);
  calls->since_us = 0;
}

void
bts_advice_calls_clear (bts_advice_calls_t *calls)
{
  g_queue_clear_full (&calls->queue, call_free);
}

/**
 * bts_advice_calls_add() - record that the process was asked to make a call
 * @calls: its calls
 * @ask: the request; copied
 * @duration_us: expected duration of the call, in microseconds
 * @now_us: the time
 */
void
bts_advice_calls_add (bts_advice_calls_t *calls, const Bts__Ask *ask, gint64 duration_us,
                      gint64 now_us)
{
  advice_call_t *call = g_new0 (advice_call_t, 1);
  call->job = g_strdup (ask->job);
  call->occurrence = ask->occurrence;
  call->step = ask->step;
  call->duration_us = duration_us;
  call->asked_us = now_us;
  g_queue_push_tail (&calls->queue, call);
}

static gint64
done_us (const advice_call_t *call, gint64 earlier_done_us)
{
  return MAX (earlier_done_us, call->asked_us) + call->duration_us;
}

static gboolean
is_about (const advice_call_t *call, const char *job, guint occurrence, guint step)
{
  return call->occurrence == occurrence && call->step == step && strcmp (call->job, job) == 0;
}

static GList *
find_call (const bts_advice_calls_t *calls, const Bts__Ask *ask)
{
  for (GList *link = calls->queue.head; link != NULL; link = link->next)
    if (is_about (link->data, ask->job, ask->occurrence, ask->step))
      return link;
  return NULL;
}

/**
 * bts_advice_calls_remove() - record that a call was reported on, or that its request has failed
 * @calls: the calls of the process
 * @ask: the request
 * @answered: whether the process has answered; it has begun with the next call then. Otherwise
 *   nothing has been heard from it, and the other calls are due when they were
 * @now_us: the time
 */
void
bts_advice_calls_remove (bts_advice_calls_t *calls, const Bts__Ask *ask, gboolean answered,
                         gint64 now_us)
{
  GList *link = find_call (calls, ask);
  if (link == NULL)
    return;
  if (answered)
    calls->since_us = now_us;
  else if (link == calls->queue.head)
    calls->since_us = MIN (done_us (link->data, calls->since_us), now_us);
  call_free (link->data);
  g_queue_delete_link (&calls->queue, link);
}

guint
bts_advice_calls_count (const bts_advice_calls_t *calls)
{
  return g_queue_get_length ((GQueue *)&calls->queue);
}

/**
 * bts_advice_calls_free_us() - when a process is expected to have made all its calls
 * @calls: its calls
 *
 * Return: the time, in microseconds; without calls, since when it has had none.
 */
gint64
bts_advice_calls_free_us (const bts_advice_calls_t *calls)
{
  gint64 free_us = calls->since_us;
  for (const GList *link = calls->queue.head; link != NULL; link = link->next)
    free_us = done_us (link->data, free_us);
  return free_us;
}

/**
 * bts_advice_calls_due_us() - when a call is expected to be done
 * @calls: the calls of the process
 * @job: the job that the call is about
 * @occurrence: the occurrence
 * @step: the step
 *
 * Return: the time, in microseconds, of the newest such call; 0 if none is in flight.
 */
gint64
bts_advice_calls_due_us (const bts_advice_calls_t *calls, const char *job, guint occurrence,
                         guint step)
{
  gint64 due_us = 0;
  gint64 earlier_done_us = calls->since_us;
  for (const GList *link = calls->queue.head; link != NULL; link = link->next)
    {
      earlier_done_us = done_us (link->data, earlier_done_us);
      if (is_about (link->data, job, occurrence, step))
        due_us = earlier_done_us;
    }
  return due_us;
}
