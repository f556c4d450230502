#ifndef BTS_WAITING_H
#define BTS_WAITING_H

#include "libbamboothread/scheduler/usage.h"

/*
 * For what each stage in the owner's queue waits, and since when. Says so in log lines and metrics;
 * decides nothing.
 */

/* A stage that has waited for this long is reported, in microseconds. */
#define BTS_WAITING_LONG_US (3000 * 1000)
/* Interval between two reports, in microseconds. */
#define BTS_WAITING_INTERVAL_US (2000 * 1000)
/* Most stages that a report names, and most of them that wait for the same. */
#define BTS_WAITING_LINES_MAX 8
#define BTS_WAITING_LINES_PER_CAUSE_MAX 3
/* Most services that a report names. */
#define BTS_WAITING_SERVICES_MAX 4

/**
 * enum bts_waiting_cause_t - what a stage waits for, in the order in which a pass over the queue
 * checks it
 * @BTS_WAITING_PAUSED: nothing is started at all
 * @BTS_WAITING_QUOTA: its tenant's cap is used up
 * @BTS_WAITING_ADVICE_QUOTA: no advice is requested, as the stages ahead would leave no quota
 * @BTS_WAITING_LEASES: an earlier owner may have started its tasks on a worker that hasn't listed
 *   its runs
 * @BTS_WAITING_CRASH: whether its tasks crash their workers isn't known yet
 * @BTS_WAITING_GANG: the last run of its gang hasn't ended on all workers
 * @BTS_WAITING_BACKOFF: a start order for it was rejected as invalid
 * @BTS_WAITING_ADVICE_CALL: its first request for advice is in flight
 * @BTS_WAITING_ADVICE_QUEUED: it needs advice, and no request is in flight
 * @BTS_WAITING_SPEC: this process hasn't read what the job runs
 * @BTS_WAITING_TICKET: it has no valid ticket for the workers that have room
 * @BTS_WAITING_ROOM: the last attempt to place it left tasks without room
 * @BTS_WAITING_SLOT: workers with room for it have no slot left for a run of its job or customer
 * @BTS_WAITING_TURN: none of these; the next pass has to come to it
 */
typedef enum
{
  BTS_WAITING_PAUSED,
  BTS_WAITING_QUOTA,
  BTS_WAITING_ADVICE_QUOTA,
  BTS_WAITING_LEASES,
  BTS_WAITING_CRASH,
  BTS_WAITING_GANG,
  BTS_WAITING_BACKOFF,
  BTS_WAITING_ADVICE_CALL,
  BTS_WAITING_ADVICE_QUEUED,
  BTS_WAITING_SPEC,
  BTS_WAITING_TICKET,
  BTS_WAITING_ROOM,
  BTS_WAITING_SLOT,
  BTS_WAITING_TURN,
  BTS_N_WAITING_CAUSES,
} bts_waiting_cause_t;

/**
 * struct bts_waiting_view_t - what the causes depend on, after a pass over the queue
 * @now_us: the time
 * @paused: why nothing is started at all; NULL if tasks are
 * @queue: bts_stage_t with tasks to be placed
 * @fleet: the workers
 * @usage: what each tenant has running
 * @may_run_unlisted: whether a task may run on a worker that hasn't listed its runs
 * @context: passed to @may_run_unlisted
 */
typedef struct
{
  gint64 now_us;
  const char *paused;
  const GPtrArray *queue;
  const bts_fleet_t *fleet;
  const bts_usage_t *usage;
  gboolean (*may_run_unlisted) (const void *context, const bts_task_t *task);
  const void *context;
} bts_waiting_view_t;

/**
 * struct bts_waiting_t - the last report of an owner
 * @next_us: when the next report is due
 * @n_long: number of stages that had waited for %BTS_WAITING_LONG_US, by cause
 * @longest_us: the longest wait of any stage
 */
typedef struct
{
  gint64 next_us;
  guint n_long[BTS_N_WAITING_CAUSES];
  gint64 longest_us;
} bts_waiting_t;

const char *bts_waiting_cause_name (bts_waiting_cause_t cause);
bts_waiting_cause_t bts_waiting_find_cause (const bts_stage_t *stage,
                                            const bts_waiting_view_t *view);
void bts_waiting_reset (bts_waiting_t *waiting, gint64 now_us);
gboolean bts_waiting_is_due (const bts_waiting_t *waiting, gint64 now_us);
void bts_waiting_report (bts_waiting_t *waiting, const bts_waiting_view_t *view);
void bts_waiting_update_gauges (const bts_waiting_t *waiting);

#endif
