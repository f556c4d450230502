#ifndef BTS_FEEDERS_H
#define BTS_FEEDERS_H

#include "libbamboothread/scheduler/members.h"

/*
 * Which processes of a region read the journal from the log and hand it on to the others of the
 * region.
 */

/* With fewer processes in a region each of them reads from the log. */
#define BTS_FEEDERS_REGION_MIN 8
/* Most processes for each that hands on. */
#define BTS_FEEDERS_FOLLOWERS_MAX 12

/**
 * struct bts_feeders_view_t - what the choice depends on
 * @members: the processes
 * @region: the region
 * @owner: name of the owner, which hands nothing on; NULL if there is none
 * @with_unconfirmed: whether processes count that only a replay has named
 * @now_us: the time
 */
typedef struct
{
  bts_members_t *members;
  const char *region;
  const char *owner;
  gboolean with_unconfirmed;
  gint64 now_us;
} bts_feeders_view_t;

GPtrArray *bts_feeders_list (const bts_feeders_view_t *view);
gboolean bts_feeders_contain (const GPtrArray *feeders, const char *node);

#endif
