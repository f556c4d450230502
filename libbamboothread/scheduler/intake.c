#include "libbamboothread/scheduler/intake.h"

/**
 * bts_intake_is_log_slow() - whether an append to the log takes long
 * @intake: the state
 * @now_us: current time
 */
gboolean
bts_intake_is_log_slow (const bts_intake_t *intake, gint64 now_us)
{
  return bts_forwarder_is_log_slow (intake->forwarder, now_us)
         || bts_election_is_log_slow (intake->election);
}

/* Whether there are so many processes that, when the log turns slow, their direct appends
   would occupy it for seconds before they notice. */
static gboolean
has_too_many_appenders (const bts_intake_t *intake)
{
  return bts_members_count (intake->members) > intake->max_direct_appenders;
}

/**
 * bts_intake_owner_address() - the owner's address for messages
 * @intake: the state
 *
 * Return: the address; NULL if this process is the owner or the address isn't known.
 */
const char *
bts_intake_owner_address (const bts_intake_t *intake)
{
  const char *owner = bts_ledger_owner (intake->ledger);
  if (owner == NULL || bts_election_is_owner (intake->election, intake->ledger))
    return NULL;
  const bts_member_t *member = bts_members_find (intake->members, owner);
  return member == NULL ? NULL : member->address;
}

/**
 * bts_intake_choose() - choose what to do with a job of a caller
 * @intake: the state
 * @id: id of the job
 * @now_us: current time
 *
 * The log processes one append at a time. A slow log takes few of them, and an append of the owner
 * carries jobs of all processes. The owner may also reach the store when this process can't.
 *
 * Return: the address of the owner, to which the job is forwarded; NULL if this process appends or
 * answers it itself, as bts_requests_check() says.
 */
const char *
bts_intake_choose (const bts_intake_t *intake, const char *id, gint64 now_us)
{
  gboolean knows_all = bts_requests_knows_all_jobs (intake->requests, now_us);
  gboolean direct
      = knows_all && !bts_intake_is_log_slow (intake, now_us) && !has_too_many_appenders (intake);
  /* A process that is cut off from the store may be cut off from the owner as well: a request that
     isn't handed to it is known not to be accepted. */
  gboolean cut_off = !knows_all && bts_forwarder_has_failed (intake->forwarder, now_us);
  if (direct || cut_off || bts_ledger_job (intake->ledger, id) != NULL)
    return NULL;
  return bts_intake_owner_address (intake);
}
