#ifndef BTS_INTAKE_H
#define BTS_INTAKE_H

#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/forwarder.h"
#include "libbamboothread/scheduler/members.h"

/*
 * Whether a process appends a job that comes in to the log itself, or hands it to the owner.
 */

/**
 * struct bts_intake_t - what the decision depends on; nothing of it is changed
 * @max_direct_appenders: with more processes than this, jobs go through the owner
 */
typedef struct
{
  const bts_ledger_t *ledger;
  const bts_members_t *members;
  const bts_requests_t *requests;
  const bts_forwarder_t *forwarder;
  const bts_election_t *election;
  guint max_direct_appenders;
} bts_intake_t;

gboolean bts_intake_is_log_slow (const bts_intake_t *intake, gint64 now_us);
const char *bts_intake_owner_address (const bts_intake_t *intake);
const char *bts_intake_choose (const bts_intake_t *intake, const char *id, gint64 now_us);

#endif
