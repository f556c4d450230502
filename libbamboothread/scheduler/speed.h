#ifndef BTS_SPEED_H
#define BTS_SPEED_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Relative speed of the kinds of worker, learned from the time that tasks take in
 * relation to their estimates. A worker's kind is its service and its first label.
 */

typedef struct bts_speed_t bts_speed_t;

bts_speed_t *bts_speed_new (void);
void bts_speed_free (bts_speed_t *speed);
void bts_speed_add_sample (bts_speed_t *speed, const bts_worker_t *worker, gint64 took_ms,
                           gint64 estimate_ms);
double bts_speed_slowness (const bts_speed_t *speed, const bts_worker_t *worker);

#endif
