#ifndef BTS_PLACE_H
#define BTS_PLACE_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Placement: filters the workers on which a task is feasible and ranks them. The
 * functions send nothing and keep no state beyond fields of the workers.
 */

/* A worker that hasn't replied for longer than this gets no new tasks, in microseconds. A hold
   that waits for the end of a run is answered within a second. */
#define BTS_WORKER_SILENCE_MAX_US (1800 * 1000)

/**
 * enum bts_place_result_t - whether a worker can take a task, or the reason why it can't
 * @BTS_PLACE_OK: it can
 * @BTS_PLACE_UNAVAILABLE: it is unregistered, its entry is of another incarnation, or it is not
 *   synced, draining, silent or in backoff
 * @BTS_PLACE_OTHER_SERVICE: it belongs to the pool of another service
 * @BTS_PLACE_NO_LABEL: it lacks the label that the step requires
 * @BTS_PLACE_PER_WORKER_MAX: it runs as many tasks of the stage as the step permits on one worker
 * @BTS_PLACE_INTERFERES: filling tasks and tasks with a latency target would share it
 * @BTS_PLACE_NO_ROOM: it lacks free resources
 * @BTS_PLACE_NO_SLOT: it has as many runs as it may have, or as many of the job or its customer
 * @BTS_PLACE_ON_PROBATION: they are in the part of its capacity that isn't used after crashes
 */
typedef enum
{
  BTS_PLACE_OK,
  BTS_PLACE_UNAVAILABLE,
  BTS_PLACE_OTHER_SERVICE,
  BTS_PLACE_NO_LABEL,
  BTS_PLACE_PER_WORKER_MAX,
  BTS_PLACE_INTERFERES,
  BTS_PLACE_NO_ROOM,
  BTS_PLACE_NO_SLOT,
  BTS_PLACE_ON_PROBATION,
} bts_place_result_t;

/**
 * enum bts_availability_t - whether a worker takes tasks, or the reason why it doesn't
 * @BTS_AVAILABLE: it does
 * @BTS_AVAILABLE_NOT_LISTED: it hasn't listed its runs to this owner
 * @BTS_AVAILABLE_NOT_HELD: the journal doesn't say yet that an owner holds it
 * @BTS_AVAILABLE_NO_ENTRY: it is unregistered, or its entry is of another incarnation
 * @BTS_AVAILABLE_DRAINING: it is about to leave
 * @BTS_AVAILABLE_SILENT: it doesn't reply
 * @BTS_AVAILABLE_BACKOFF: it has refused a start lately
 */
typedef enum
{
  BTS_AVAILABLE,
  BTS_AVAILABLE_NOT_LISTED,
  BTS_AVAILABLE_NOT_HELD,
  BTS_AVAILABLE_NO_ENTRY,
  BTS_AVAILABLE_DRAINING,
  BTS_AVAILABLE_SILENT,
  BTS_AVAILABLE_BACKOFF,
} bts_availability_t;

/**
 * struct bts_candidates_t - walk over the workers that a stage may use
 * @pool: the workers of its service, or NULL if the advice service decides about the stage
 * @next: index of the next one in @pool, or among the workers that were allowed
 * @n_examined: workers examined so far; counted in the metrics at the end of the walk
 */
typedef struct
{
  const bts_fleet_t *fleet;
  const bts_stage_t *stage;
  const GPtrArray *pool;
  guint next;
  guint n_examined;
} bts_candidates_t;

void bts_candidates_init (bts_candidates_t *candidates, const bts_fleet_t *fleet,
                          const bts_stage_t *stage);
bts_worker_t *bts_candidates_next (bts_candidates_t *candidates);

bts_resources_t bts_place_demand (const Bts__Step *step);
gboolean bts_place_is_of_stage (const bts_run_t *run, const bts_stage_t *stage);
gboolean bts_place_keeps_off (const bts_run_t *run, const Bts__Step *step);
bts_availability_t bts_place_availability (const bts_worker_t *worker, gint64 now_us);
bts_place_result_t bts_place_check (const bts_worker_t *worker, const bts_stage_t *stage,
                                    gint64 now_us);
gboolean bts_place_matches (const bts_worker_t *worker, const bts_stage_t *stage);
bts_worker_t *bts_place_choose (const bts_fleet_t *fleet, const bts_task_t *task, guint64 pass,
                                gint64 now_us);
guint bts_place_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                               const Bts__Step *step);
guint bts_place_count_startable (const bts_worker_t *worker, const bts_resources_t *used,
                                 guint n_leaving, const bts_stage_t *stage);
gboolean bts_place_may_fit (const bts_fleet_t *fleet, const bts_stage_t *stage, guint n_tasks,
                            gint64 now_us);
gboolean bts_place_has_restored_room (const bts_worker_t *worker, const bts_resources_t *used,
                                      const bts_resources_t *demand, gint64 now_us);
gint64 bts_place_free_permille (const bts_worker_t *worker, const Bts__Step *step);
gboolean bts_place_is_reserved (const bts_worker_t *worker, const Bts__Step *step, guint64 pass,
                                gint64 now_us);
void bts_place_charge_reservation (bts_worker_t *worker, const Bts__Step *step, guint64 pass);
gboolean bts_place_has_latency_target (const Bts__Step *step);

#endif
