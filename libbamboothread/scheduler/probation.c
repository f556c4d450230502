#include "libbamboothread/scheduler/probation.h"

#include <string.h>

/* Length of a step after the crash with which probation begins, in microseconds, and how often it
   doubles with further crashes. A worker that goes down every second is found out in the first
   step, and one that has recovered has all its capacity again after 9 s, or 18 s. Longer steps held
   back work for which no other worker had room. */
#define STEP_US (G_GINT64_CONSTANT (3) * 1000 * 1000)
#define STEP_DOUBLINGS_MAX 1
/* Time without a crash after which earlier ones don't count, in microseconds; above the longest
   probation. */
#define FORGET_US (G_GINT64_CONSTANT (120) * 1000 * 1000)

/**
 * bts_probation_clear() - forget the crashes of a worker
 * @probation: what is known of them
 */
void
bts_probation_clear (bts_probation_t *probation)
{
  g_strfreev (probation->tasks);
  memset (probation, 0, sizeof *probation);
}

/**
 * bts_probation_is_outdated() - whether the crashes of a worker don't count any more
 * @probation: what is known of them
 * @now_us: the time
 */
gboolean
bts_probation_is_outdated (const bts_probation_t *probation, gint64 now_us)
{
  return now_us - probation->crashed_us > FORGET_US;
}

/* Keeps the tasks that were just starting at this crash, too. */
static void
intersect (bts_probation_t *probation, const char *const *starting)
{
  guint n_kept = 0;
  for (guint i = 0; probation->tasks[i] != NULL; i++)
    if (g_strv_contains (starting, probation->tasks[i]))
      probation->tasks[n_kept++] = probation->tasks[i];
    else
      g_free (probation->tasks[i]);
  probation->tasks[n_kept] = NULL;
}

/**
 * bts_probation_on_crash() - count a crash of a worker
 * @probation: what is known of earlier ones
 * @starting: names of the tasks that were just starting on it, or had started not long before
 * @may_be_active: the worker may be put on probation
 * @now_us: the time
 *
 * Return: whether it is on probation now.
 */
gboolean
bts_probation_on_crash (bts_probation_t *probation, const char *const *starting,
                        gboolean may_be_active, gint64 now_us)
{
  if (probation->n_crashes == 0 || bts_probation_is_outdated (probation, now_us))
    bts_probation_clear (probation);
  if (probation->n_crashes == 0)
    probation->tasks = g_strdupv ((char **)starting);
  else
    intersect (probation, starting);
  probation->n_crashes++;
  probation->crashed_us = now_us;
  probation->active = may_be_active && probation->n_crashes > 1 && probation->tasks[0] == NULL;
  return probation->active;
}

/**
 * bts_probation_has_crashed_without() - whether a worker has crashed without a task that was just
 * starting
 * @probation: what is known of the worker's crashes; NULL if nothing is
 * @task: name of the task
 * @now_us: the time
 */
gboolean
bts_probation_has_crashed_without (const bts_probation_t *probation, const char *task,
                                   gint64 now_us)
{
  return probation != NULL && probation->n_crashes > 0
         && !bts_probation_is_outdated (probation, now_us)
         && !g_strv_contains ((const char *const *)probation->tasks, task);
}

/**
 * bts_probation_excuse() - take back a crash that turns out to be the doing of a task
 * @probation: what is known of the worker's crashes
 */
void
bts_probation_excuse (bts_probation_t *probation)
{
  if (probation->n_crashes > 0)
    probation->n_crashes--;
  probation->active = probation->active && probation->n_crashes > 1;
}

/**
 * bts_probation_step_us() - time after which a worker on probation gets a further part
 * @probation: the worker's
 */
gint64
bts_probation_step_us (const bts_probation_t *probation)
{
  guint n_doublings = probation->n_crashes < 2 ? 0 : probation->n_crashes - 2;
  return STEP_US << MIN (n_doublings, STEP_DOUBLINGS_MAX);
}

/**
 * bts_probation_parts() - how many parts of a worker's capacity may be used
 * @probation: the worker's, or NULL
 * @now_us: the time
 *
 * Return: %BTS_PROBATION_PARTS, which is all, unless it is on probation.
 */
guint
bts_probation_parts (const bts_probation_t *probation, gint64 now_us)
{
  if (probation == NULL || !probation->active)
    return BTS_PROBATION_PARTS;
  gint64 n_steps = (now_us - probation->crashed_us) / bts_probation_step_us (probation);
  return (guint)MIN (1 + n_steps, BTS_PROBATION_PARTS);
}

/**
 * bts_probation_is_active() - whether a worker is on probation
 * @probation: the worker's, or NULL
 * @now_us: the time
 */
gboolean
bts_probation_is_active (const bts_probation_t *probation, gint64 now_us)
{
  return bts_probation_parts (probation, now_us) < BTS_PROBATION_PARTS;
}
