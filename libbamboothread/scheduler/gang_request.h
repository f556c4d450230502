#ifndef BTS_GANG_REQUEST_H
#define BTS_GANG_REQUEST_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Which workers a request for advice names, for a gang that waits. A gang has one request at a
 * time, and needs room on workers with valid tickets for all its tasks at once. So one request
 * renews the tickets that have run out where there is room, and asks about workers that have room
 * and that nothing is known about, if those don't suffice.
 */

GPtrArray *bts_gang_request_workers (const bts_stage_t *stage, const bts_fleet_t *fleet,
                                     guint first, guint max, gint64 answered_us, gint64 now_us);

#endif
