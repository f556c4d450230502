#ifndef BTS_SPEED_H
#define BTS_SPEED_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Relative speed of the workers, learned from the time that tasks take in relation to their
 * estimates. Each worker is measured by itself, since workers with the same labels may differ.
 */

typedef struct bts_speed_t bts_speed_t;

bts_speed_t *bts_speed_new (void);
void bts_speed_free (bts_speed_t *speed);
void bts_speed_add_sample (bts_speed_t *speed, const bts_worker_t *worker, const char *route,
                           gint64 took_ms, gint64 estimate_ms);
gboolean bts_worker_is_fast (const bts_worker_t *worker);
void bts_speed_update (bts_speed_t *speed, const bts_fleet_t *fleet, gint64 now_us);

#endif
