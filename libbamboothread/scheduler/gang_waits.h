#ifndef BTS_GANG_WAITS_H
#define BTS_GANG_WAITS_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * What gangs in the owner's queue lack: advice, valid tickets, or room on the workers that they may
 * use. Says so in log lines; decides nothing.
 */

/* Interval between two reports, in microseconds. */
#define BTS_GANG_WAITS_INTERVAL_US (1000 * 1000)
/* Most gangs that a report names, those that have waited longest. */
#define BTS_GANG_WAITS_LINES_MAX 4

/**
 * struct bts_gang_room_t - the workers of a gang's service, as the gang may use them
 * @n_asked: workers that the advice service has answered about
 * @n_allowed: those of them that the gang may use
 * @n_valid: those of them with valid tickets
 * @n_fitting: tasks that fit on workers that the gang may use, at most its number of tasks
 * @n_startable: those of them that fit on workers with valid tickets
 * @n_unasked: tasks that fit on workers that nothing is known about, at most its number of tasks
 */
typedef struct
{
  guint n_asked;
  guint n_allowed;
  guint n_valid;
  guint n_fitting;
  guint n_startable;
  guint n_unasked;
} bts_gang_room_t;

bts_gang_room_t bts_gang_room (const bts_stage_t *stage, const bts_fleet_t *fleet, gint64 now_us);
void bts_gang_waits_report (const GPtrArray *queue, const bts_fleet_t *fleet, gint64 now_us);

#endif
