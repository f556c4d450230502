#ifndef BTS_ORDER_H
#define BTS_ORDER_H

#include "libbamboothread/scheduler/share.h"

/*
 * The order of the owner's queue.
 */

/**
 * enum bts_band_t - bands of the queue in the order in which they are served
 * @BTS_BAND_LONG_RUNNING: long-running stages
 * @BTS_BAND_URGENT: urgent work that can still meet its objective
 * @BTS_BAND_URGENT_LATE: urgent work that is late
 * @BTS_BAND_ON_TIME: other work that can still meet its objective, and the largest late gangs
 * @BTS_BAND_LATE: other work that is late
 * @BTS_BAND_EXCESS: work in excess of its tenant's weight
 * @BTS_BAND_OBSOLETE: work whose result is of no use any more
 */
typedef enum
{
  BTS_BAND_LONG_RUNNING,
  BTS_BAND_URGENT,
  BTS_BAND_URGENT_LATE,
  BTS_BAND_ON_TIME,
  BTS_BAND_LATE,
  BTS_BAND_EXCESS,
  BTS_BAND_OBSOLETE,
} bts_band_t;

const char *bts_band_name (guint band);
gint64 bts_order_allowed_ms (const bts_job_t *job);
void bts_order_set_times (bts_stage_t *stage);
bts_band_t bts_order_band (const bts_stage_t *stage, gint64 now_us);
void bts_order_sort (GPtrArray *queue, gboolean *unsorted, const bts_fleet_t *fleet,
                     bts_share_t *share, gint64 now_us);

#endif
