#include "libbamboothread/scheduler/gang_waits.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/order.h"
#include "libbamboothread/scheduler/place.h"

/**
 * enum lack_t - what keeps a gang from starting
 * @LACK_ADVICE: the first answer of the advice service
 * @LACK_TICKETS: valid tickets for allowed workers on which it fits
 * @LACK_ANSWERS: answers about further workers, which have room
 * @LACK_ROOM: room on any worker
 * @LACK_NOTHING: it fits on allowed workers with valid tickets
 */
typedef enum
{
  LACK_ADVICE,
  LACK_TICKETS,
  LACK_ANSWERS,
  LACK_ROOM,
  LACK_NOTHING,
  N_LACKS,
} lack_t;

/**
 * bts_gang_room() - count the workers that a gang may use, and its tasks that fit there
 * @stage: the stage of the gang
 * @fleet: the workers
 * @now_us: the time
 */
bts_gang_room_t
bts_gang_room (const bts_stage_t *stage, const bts_fleet_t *fleet, gint64 now_us)
{
  bts_gang_room_t room = { 0 };
  const GPtrArray *pool = bts_fleet_pool (fleet, stage->job->service);
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *worker = pool->pdata[i];
      if (!bts_place_matches (worker, stage))
        continue;
      gboolean was_asked = stage->advice != NULL && bts_stage_was_asked (stage, worker->number);
      gboolean is_allowed = was_asked && bts_stage_ticket (stage, worker->number) != NULL;
      gboolean is_valid
          = is_allowed && bts_stage_valid_ticket (stage, worker->number, now_us) != NULL;
      room.n_asked += was_asked;
      room.n_allowed += is_allowed;
      room.n_valid += is_valid;
      if ((was_asked && !is_allowed) || bts_place_check (worker, stage, now_us) != BTS_PLACE_OK)
        continue;
      guint n = bts_place_count_startable (worker, &worker->used, 0, stage);
      guint *fitting = is_allowed ? &room.n_fitting : &room.n_unasked;
      *fitting = MIN (*fitting + n, stage->n_tasks);
      if (is_valid)
        room.n_startable = MIN (room.n_startable + n, stage->n_tasks);
    }
  return room;
}

static lack_t
find_lack (const bts_stage_t *stage, const bts_gang_room_t *room)
{
  if (stage->advice == NULL)
    return LACK_ADVICE;
  if (room->n_startable >= stage->n_tasks)
    return LACK_NOTHING;
  if (room->n_fitting >= stage->n_tasks)
    return LACK_TICKETS;
  return room->n_fitting + room->n_unasked >= stage->n_tasks ? LACK_ANSWERS : LACK_ROOM;
}

static void
log_gang (const bts_stage_t *stage, const bts_gang_room_t *room, gint64 now_us)
{
  bt_log (BT_LOG_INFO, "gang-waits",
          "job=%s occurrence=%u step=%u tasks=%u waited_ms=%" G_GINT64_FORMAT
          " band=%s asked=%u allowed=%u valid=%u fitting=%u startable=%u unasked=%u "
          "call_ms=%" G_GINT64_FORMAT,
          bts_job_id (stage->job), stage->occurrence, stage->step, stage->n_tasks,
          (now_us - stage->waiting_since_us) / 1000, bts_band_name (stage->band), room->n_asked,
          room->n_allowed, room->n_valid, room->n_fitting, room->n_startable, room->n_unasked,
          stage->advice_asked_us == 0 ? 0 : (now_us - stage->advice_asked_us) / 1000);
}

static gboolean
is_waiting_gang (const bts_stage_t *stage)
{
  return bts_stage_step (stage)->gang && stage->waiting_since_us != 0
         && !bts_job_has_ended (stage->job) && bts_stage_count_pending (stage) == stage->n_tasks;
}

/* Gangs whose result is of no use any more come last. */
static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  const bts_stage_t *left = *(bts_stage_t *const *)a;
  const bts_stage_t *right = *(bts_stage_t *const *)b;
  gboolean is_obsolete = left->band == BTS_BAND_OBSOLETE;
  if (is_obsolete != (right->band == BTS_BAND_OBSOLETE))
    return is_obsolete ? 1 : -1;
  return left->waiting_since_us < right->waiting_since_us
             ? -1
             : left->waiting_since_us > right->waiting_since_us;
}

/**
 * bts_gang_waits_report() - write what the gangs of a queue lack
 * @queue: bts_stage_t with tasks to be placed
 * @fleet: the workers
 * @now_us: the time
 */
void
bts_gang_waits_report (const GPtrArray *queue, const bts_fleet_t *fleet, gint64 now_us)
{
  guint n_lacking[N_LACKS] = { 0 };
  g_autoptr (GPtrArray) gangs = g_ptr_array_new ();
  for (guint i = 0; i < queue->len; i++)
    if (is_waiting_gang (queue->pdata[i]))
      g_ptr_array_add (gangs, queue->pdata[i]);
  if (gangs->len == 0)
    return;
  g_ptr_array_sort (gangs, compare_waits);
  for (guint i = 0; i < gangs->len; i++)
    {
      const bts_stage_t *stage = gangs->pdata[i];
      bts_gang_room_t room = bts_gang_room (stage, fleet, now_us);
      n_lacking[find_lack (stage, &room)]++;
      if (i < BTS_GANG_WAITS_LINES_MAX)
        log_gang (stage, &room, now_us);
    }
  bt_log (BT_LOG_INFO, "gangs-wait",
          "gangs=%u advice=%u tickets=%u answers=%u room=%u startable=%u", gangs->len,
          n_lacking[LACK_ADVICE], n_lacking[LACK_TICKETS], n_lacking[LACK_ANSWERS],
          n_lacking[LACK_ROOM], n_lacking[LACK_NOTHING]);
}
