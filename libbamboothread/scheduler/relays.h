#ifndef BTS_RELAYS_H
#define BTS_RELAYS_H

#include "libbamboothread/scheduler/members.h"

/*
 * Which processes of a region read the journal from the log and relay it to the others of the
 * region.
 */

/* With fewer processes in a region each of them reads from the log. */
#define BTS_RELAYS_REGION_MIN 8
/* Most processes for each that relays. */
#define BTS_RELAYS_FOLLOWERS_MAX 12

/**
 * struct bts_relays_view_t - what the choice depends on
 * @members: the processes
 * @region: the region
 * @owner: name of the owner, which relays nothing; NULL if there is none
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
} bts_relays_view_t;

GPtrArray *bts_relays_list (const bts_relays_view_t *view);
gboolean bts_relays_contain (const GPtrArray *relays, const char *node);

#endif
