#include "libbamboothread/scheduler/gang_request.h"

#include "libbamboothread/scheduler/place.h"

/**
 * struct choice_t - workers that have room for tasks of a gang now
 * @expired: ids of those that it may use, with tickets that will have run out
 * @unknown: ids of those that the advice service hasn't been asked about
 * @n_fitting: tasks that fit on all that it may use
 * @n_unknown: tasks that fit on @unknown
 */
typedef struct
{
  GPtrArray *expired;
  GPtrArray *unknown;
  guint n_fitting;
  guint n_unknown;
} choice_t;

static void
add_worker (choice_t *choice, const bts_stage_t *stage, const bts_worker_t *worker,
            gint64 answered_us, gint64 now_us)
{
  gboolean is_allowed = bts_stage_ticket (stage, worker->number) != NULL;
  if (!worker->registered || worker->entry->draining || !bts_place_matches (worker, stage)
      || (!is_allowed && bts_stage_was_asked (stage, worker->number))
      || bts_place_check (worker, stage, now_us) != BTS_PLACE_OK)
    return;
  guint n = bts_place_count_startable (worker, &worker->used, 0, stage);
  if (!is_allowed)
    {
      g_ptr_array_add (choice->unknown, worker->entry->id);
      choice->n_unknown += n;
      return;
    }
  choice->n_fitting += n;
  if (bts_stage_valid_ticket (stage, worker->number, answered_us) == NULL)
    g_ptr_array_add (choice->expired, worker->entry->id);
}

/**
 * bts_gang_request_workers() - choose the workers that a request names
 * @stage: the stage of a gang with advice
 * @fleet: the workers
 * @first: place in the pool at which to begin, so that gangs spread over all workers
 * @max: most workers to name
 * @answered_us: when the answer is expected; tickets that are valid then aren't renewed
 * @now_us: the time
 *
 * Tickets are renewed only if the gang may be able to start with the answer.
 *
 * Return: their ids, which belong to the fleet; empty if no request is of use.
 */
GPtrArray *
bts_gang_request_workers (const bts_stage_t *stage, const bts_fleet_t *fleet, guint first,
                          guint max, gint64 answered_us, gint64 now_us)
{
  const GPtrArray *pool = bts_fleet_pool (fleet, stage->job->service);
  GPtrArray *ids = g_ptr_array_new ();
  g_autoptr (GPtrArray) unknown = g_ptr_array_new ();
  choice_t choice = { ids, unknown, 0, 0 };
  for (guint i = 0; i < pool->len; i++)
    add_worker (&choice, stage, pool->pdata[(first + i) % pool->len], answered_us, now_us);
  if (choice.n_fitting + choice.n_unknown < stage->n_tasks)
    g_ptr_array_set_size (ids, 0);
  for (guint i = 0; i < unknown->len && choice.n_fitting < stage->n_tasks; i++)
    g_ptr_array_add (ids, unknown->pdata[i]);
  if (ids->len > max)
    g_ptr_array_set_size (ids, (gint)max);
  return ids;
}
