#ifndef BTS_HEADROOM_H
#define BTS_HEADROOM_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * How much of a tenant's cap is kept for its urgent work: as much as that has needed at once of
 * late, up to a share of the cap.
 */

/* Largest share of a cap that is kept by default, and the most that may be set, in percent. Above
   half, a tenant with less than half of its cap in use could be kept waiting. */
#define BTS_HEADROOM_PERCENT 25
#define BTS_HEADROOM_PERCENT_MAX 50
/* A need is remembered for this many slots, of which the newest is under way. */
#define BTS_HEADROOM_SLOTS 6

/**
 * struct bts_headroom_t - what the urgent work of one tenant has needed of late
 * @used: resources of its runs
 * @used_before: the same when the pass began
 * @wanted: during a pass, resources of its tasks to be started, from the first on
 * @asking: during a pass, resources of stages that wait for quota and have requested advice
 * @peaks: by slot, the most that was in use and wanted at once
 * @peak: the largest of @peaks
 * @slot: number of the newest slot
 */
typedef struct
{
  bts_resources_t used;
  bts_resources_t used_before;
  bts_resources_t wanted;
  bts_resources_t asking;
  bts_resources_t peaks[BTS_HEADROOM_SLOTS];
  bts_resources_t peak;
  gint64 slot;
} bts_headroom_t;

void bts_headroom_begin_pass (bts_headroom_t *headroom, gint64 now_us);
void bts_headroom_want (bts_headroom_t *headroom, const bts_resources_t *demand);
bts_resources_t bts_headroom_reserve (const bts_headroom_t *headroom, const bts_resources_t *cap,
                                      guint percent);
bts_resources_t bts_headroom_left (const bts_headroom_t *headroom, const bts_resources_t *cap,
                                   guint percent);
gboolean bts_headroom_may_ask (const bts_headroom_t *headroom, const bts_resources_t *reserve,
                               const bts_resources_t *demand);

#endif
