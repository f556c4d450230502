#include "libbamboothread/scheduler/election.h"

#include <string.h>

/* Largest delay between processes that see the same silence, in microseconds. */
#define JITTER_MAX_US (30 * 1000)
/* A process near the store claims first, since each decision of an owner passes
   through it: so many times its usual append, which counts up to a limit. */
#define PLACE_WEIGHT 8
#define PLACE_LAG_US (40 * 1000)
/* A process on a small VM leaves the larger ones so much time to claim first, in
   microseconds: above their own delays. */
#define WEAK_WAIT_US (500 * 1000)
/* Time after which a claim that hasn't come back is written again, in microseconds. */
#define CLAIM_RETRY_US (700 * 1000)
/* How many slow answers of the store in a row don't count as silence. */
#define LAG_WEIGHT 2
/* The longest append is forgotten by this part with each faster one. */
#define LAG_DECAY 8
/* Reads further apart than this don't show whether the owner was silent. */
#define READ_GAP_US (2500 * 1000)

/**
 * bts_node_same_vm() - whether two names are of lives of a process on one VM
 * @a: a name, VM and life parted by a slash
 * @b: another one
 */
gboolean
bts_node_same_vm (const char *a, const char *b)
{
  const char *slash_a = strchr (a, '/');
  const char *slash_b = strchr (b, '/');
  return slash_a != NULL && slash_b != NULL && slash_a - a == slash_b - b
         && strncmp (a, b, (gsize)(slash_a - a)) == 0;
}

/**
 * bts_election_init() - a process that has not read the journal yet
 * @lead: to be filled in
 * @node: name of this life of the process
 */
void
bts_election_init (bts_election_t *lead, const char *node)
{
  memset (lead, 0, sizeof *lead);
  lead->node = g_strdup (node);
  lead->jitter_us = g_str_hash (node) % JITTER_MAX_US;
}

void
bts_election_clear (bts_election_t *lead)
{
  g_free (lead->node);
  g_free (lead->owner);
}

/**
 * bts_election_on_caught_up() - the journal has been read to its end
 * @lead: the process
 * @now_us: the time
 */
void
bts_election_on_caught_up (bts_election_t *lead, gint64 now_us)
{
  if (lead->caught_up_us == 0 || now_us - lead->caught_up_us > READ_GAP_US)
    lead->heard_us = now_us;
  lead->caught_up_us = now_us;
}

/**
 * bts_election_on_heartbeat() - the owner has changed or written a beat
 * @lead: the process
 * @now_us: the time
 */
void
bts_election_on_heartbeat (bts_election_t *lead, gint64 now_us)
{
  lead->heard_us = now_us;
}

/**
 * bts_election_on_append() - an append of this process was answered
 * @lead: the process
 * @took_us: how long it took
 *
 * The owner's beats are about as slow as this process's own records, so that a
 * slow store doesn't make it look silent.
 */
void
bts_election_on_append (bts_election_t *lead, gint64 took_us)
{
  lead->append_lag_us
      = MAX (MAX (took_us, 1), lead->append_lag_us - lead->append_lag_us / LAG_DECAY);
}

/**
 * bts_election_is_owner() - whether this process is the owner
 * @lead: the process
 * @ledger: the folded journal
 */
gboolean
bts_election_is_owner (const bts_election_t *lead, const bts_ledger_t *ledger)
{
  return g_strcmp0 (bts_ledger_owner (ledger), lead->node) == 0;
}

/**
 * bts_election_on_owner() - the owner has changed
 * @lead: the process
 * @ledger: the folded journal
 * @now_us: the time
 */
void
bts_election_on_owner (bts_election_t *lead, const bts_ledger_t *ledger, gint64 now_us)
{
  const char *owner = bts_ledger_owner (ledger);
  /* One that resigned, or whose process has started anew, does nothing any more. */
  gboolean stopped
      = lead->owner == NULL || (owner != NULL && bts_node_same_vm (owner, lead->owner));
  if (!stopped)
    lead->stale_grants_until_us
        = MAX (lead->stale_grants_until_us, lead->heard_us + BTS_RENEWAL_CUTOFF_US);
  lead->heard_us = now_us;
  g_free (lead->owner);
  lead->owner = g_strdup (owner);
}

/**
 * bts_election_old_leases_expiry_us() - when every lease of an earlier owner has run out
 * @lead: the process that owns the workers now
 * @lease_us: longest lease that an owner asks for, by our clock
 * @now_us: the time
 */
gint64
bts_election_old_leases_expiry_us (const bts_election_t *lead, gint64 lease_us, gint64 now_us)
{
  return MAX (lead->stale_grants_until_us, now_us) + lease_us;
}

/**
 * bts_election_is_claim_due() - whether to claim the next term now
 * @lead: the process
 * @ledger: the folded journal
 * @weak: another process is on a much larger VM
 * @now_us: the time
 *
 * A process that has written to the store claims when there is no owner, when the owner was an
 * earlier life of itself, or when the owner has been silent while the journal could be read.
 *
 * Return: whether a claim is to be written; the time of it is noted.
 */
gboolean
bts_election_is_claim_due (bts_election_t *lead, const bts_ledger_t *ledger, gboolean weak,
                           gint64 now_us)
{
  const char *owner = bts_ledger_owner (ledger);
  gboolean own_earlier = owner != NULL && bts_node_same_vm (owner, lead->node);
  if (lead->leaving || lead->caught_up_us == 0 || (lead->append_lag_us == 0 && !own_earlier)
      || now_us - lead->caught_up_us > READ_GAP_US || bts_election_is_owner (lead, ledger))
    return FALSE;
  if (lead->claimed_us != 0 && now_us - lead->claimed_us < CLAIM_RETRY_US)
    return FALSE;
  gint64 place_us = lead->jitter_us + PLACE_WEIGHT * MIN (lead->append_lag_us, PLACE_LAG_US);
  gint64 wait_us = BTS_ELECTION_TIMEOUT_US + place_us + LAG_WEIGHT * lead->append_lag_us;
  if (owner == NULL)
    wait_us = place_us;
  else if (own_earlier)
    wait_us = 0;
  if (weak)
    wait_us += WEAK_WAIT_US;
  if (now_us - lead->heard_us < wait_us)
    return FALSE;
  /* Only a read that came back since then shows that the owner was silent, and not
     just this process's reads. */
  if (owner != NULL && !own_earlier && lead->caught_up_us < lead->heard_us + wait_us)
    return FALSE;
  lead->claimed_us = now_us;
  return TRUE;
}
