#include "libbamboothread/scheduler/election.h"

#include <string.h>

/* Upper bound of the delay, in microseconds, that separates the claims of processes that see
   the same silence of the owner. */
#define JITTER_MAX_US (30 * 1000)
/* A process near the store claims first, since each decision of an owner goes through the
   store. A claim is delayed by this multiple of the recent append latency; of that latency, at
   most the maximum below counts, in microseconds. */
#define PROXIMITY_LATENCY_FACTOR 8
#define PROXIMITY_LATENCY_MAX_US (40 * 1000)
/* A claim that hasn't been read back after this long is repeated, in microseconds. */
#define CLAIM_RETRY_US (700 * 1000)
/* The election timeout allows for this many slow answers of the store in a row. */
#define TIMEOUT_LATENCY_FACTOR 2
/* With each faster append, the recorded append latency decays by itself divided by this. */
#define LATENCY_DECAY_DIVISOR 8
/* After an outage of the store, the owner gets the time of one election timeout to write a
   heartbeat. Reads that fail by turns must not put claims off for ever, so there is at least this
   time between two such respites, in microseconds. */
#define RESPITE_INTERVAL_US (5000 * 1000)
/* Bandwidth that an owner needs for each worker, in kbit/s: 25 at the peak of 1,200 task ends a
   second on 350 workers. */
#define KBPS_PER_WORKER 28
/* Reads that take longer than this show that the log is slow, in microseconds: one that waits for
   the next heartbeat takes up to 150 ms. */
#define SLOW_READ_US (200 * 1000)
/* Reads that are further apart than this don't show whether the owner was silent, in
   microseconds. */
#define READ_GAP_MAX_US (2500 * 1000)
/* Most terms that a process leaves out for claims among the records that it lacks: more than begin
   within hours. */
#define TERMS_LEFT_OUT_MAX 10000

/**
 * bts_node_same_vm() - whether two names belong to incarnations of a process on one VM
 * @a: a name, VM and incarnation separated by a slash
 * @b: another name
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
 * bts_election_capacity_millis() - what a VM is worth as the owner's
 * @cpu_millis: its CPU share, in thousandths of a core; 0 if not known
 * @bandwidth_kbps: bandwidth of its link, in kbit/s; 0 if not known
 *
 * The lists of runs of all workers come in through the owner's link. Over one that is too narrow
 * for its processor, replies come late and leases run out.
 *
 * Return: the CPU share, or the smaller one whose calls to workers fill the link.
 */
guint
bts_election_capacity_millis (guint cpu_millis, guint bandwidth_kbps)
{
  guint link_millis = bandwidth_kbps / (BTS_WORKERS_PER_CPU_MILLI * KBPS_PER_WORKER);
  return bandwidth_kbps == 0 ? cpu_millis : MIN (cpu_millis, link_millis);
}

/**
 * bts_election_init() - initialize the state of a process that hasn't read the journal yet
 * @election: filled in
 * @node: name of this incarnation of the process
 */
void
bts_election_init (bts_election_t *election, const char *node)
{
  memset (election, 0, sizeof *election);
  election->node = g_strdup (node);
  election->jitter_us = g_str_hash (node) % JITTER_MAX_US;
}

void
bts_election_clear (bts_election_t *election)
{
  g_free (election->node);
  g_free (election->owner);
}

/**
 * bts_election_on_caught_up() - the journal was read to its end
 * @election: the election
 * @latency_us: time that the read took, without the time that it was to wait for records if there
 *   were none; negative if it tells nothing of the log, as for one that ends a replay
 * @now_us: current time
 */
void
bts_election_on_caught_up (bts_election_t *election, gint64 latency_us, gint64 now_us)
{
  if (latency_us >= 0)
    {
      election->read_latency_us[1] = election->read_latency_us[0];
      election->read_latency_us[0] = latency_us;
    }
  if (election->caught_up_us == 0 || now_us - election->caught_up_us > READ_GAP_MAX_US)
    election->heard_us = now_us;
  election->caught_up_us = now_us;
}

/**
 * bts_election_on_readable() - the journal could be read again after reads of it have failed
 * @election: the election
 * @now_us: current time
 *
 * The owner can't have written heartbeats during the outage either, so its silence counts from now
 * on. If that was wrong, a takeover of hundreds of workers would follow each short outage.
 */
void
bts_election_on_readable (bts_election_t *election, gint64 now_us)
{
  if (election->readable_us != 0 && now_us - election->readable_us < RESPITE_INTERVAL_US)
    return;
  election->readable_us = now_us;
  election->heard_us = now_us;
}

/**
 * bts_election_on_heartbeat() - the owner has written a heartbeat
 * @election: the election
 * @earlier_renewals_ms: what it says of the owners before it: the longest time, plus one, for which
 *   they may still renew leases; 0 if it doesn't say that
 * @now_us: current time
 *
 * A process that starts reads of all changes of the owner at once, so it can't tell how long ago
 * they were.
 */
void
bts_election_on_heartbeat (bts_election_t *election, guint earlier_renewals_ms, gint64 now_us)
{
  election->heard_us = now_us;
  election->owner_restarted = FALSE;
  if (earlier_renewals_ms > 0)
    election->stale_grants_until_us
        = MIN (election->stale_grants_until_us, now_us + ((gint64)earlier_renewals_ms - 1) * 1000);
}

/**
 * bts_election_on_hello() - a process has written that it is there
 * @election: the election
 * @node: its name
 * @now_us: current time
 *
 * Another incarnation of the owner's process shows that the owner has ended. That of an earlier one
 * may be stored late; the owner's next heartbeat corrects it. The delay of claims counts from now:
 * processes that leave the claim to larger VMs may have waited for as long already.
 */
void
bts_election_on_hello (bts_election_t *election, const char *node, gint64 now_us)
{
  if (election->owner_restarted || election->owner == NULL || strcmp (node, election->owner) == 0
      || !bts_node_same_vm (node, election->owner))
    return;
  election->owner_restarted = TRUE;
  election->heard_us = now_us;
}

/**
 * bts_election_on_append() - an append of this process was stored
 * @election: the election
 * @took_us: its latency
 *
 * The owner's heartbeats take about as long as this process's own appends. The election
 * timeout allows for that latency, so that a slow store doesn't make the owner look silent.
 */
void
bts_election_on_append (bts_election_t *election, gint64 took_us)
{
  election->append_latency_us
      = MAX (MAX (took_us, 1),
             election->append_latency_us - election->append_latency_us / LATENCY_DECAY_DIVISOR);
}

/**
 * bts_election_is_owner() - whether this process is the owner
 * @election: the election
 * @ledger: the folded journal
 */
gboolean
bts_election_is_owner (const bts_election_t *election, const bts_ledger_t *ledger)
{
  return g_strcmp0 (bts_ledger_owner (ledger), election->node) == 0;
}

/* Upper bound of what a call to the log takes, by the newest reads. One read that had to wait for a
   record tells little. */
static gint64
read_latency_us (const bts_election_t *election)
{
  return MIN (election->read_latency_us[0], election->read_latency_us[1]);
}

/**
 * bts_election_is_log_slow() - whether reads of the journal show that the log is slow
 * @election: the election
 *
 * They show it to processes that append nothing, and before any append of theirs would.
 */
gboolean
bts_election_is_log_slow (const bts_election_t *election)
{
  return read_latency_us (election) > SLOW_READ_US;
}

/**
 * bts_election_on_owner() - the owner has changed
 * @election: the election
 * @ledger: the folded journal
 * @now_us: current time
 */
void
bts_election_on_owner (bts_election_t *election, const bts_ledger_t *ledger, gint64 now_us)
{
  const char *owner = bts_ledger_owner (ledger);
  /* An owner that stopped before it resigned, or whose process has restarted, renews no leases. */
  gboolean previous_stopped = election->owner == NULL || bts_ledger_is_owner_stopped (ledger)
                              || (owner != NULL && bts_node_same_vm (owner, election->owner));
  if (!previous_stopped)
    election->stale_grants_until_us
        = MAX (election->stale_grants_until_us, election->heard_us + BTS_RENEWAL_CUTOFF_US);
  election->heard_us = now_us;
  election->owner_restarted = FALSE;
  g_free (election->owner);
  election->owner = g_strdup (owner);
}

/**
 * bts_election_old_leases_expiry_us() - when all leases of earlier owners have expired
 * @election: the election; this process is the owner
 * @lease_us: longest lease that an owner requests, by the clock of this process
 * @now_us: current time
 */
gint64
bts_election_old_leases_expiry_us (const bts_election_t *election, gint64 lease_us, gint64 now_us)
{
  return MAX (election->stale_grants_until_us, now_us) + lease_us;
}

static void
note_owner_behind (bts_election_t *election, const bts_ledger_t *ledger, gint64 now_us)
{
  if (!bts_ledger_is_owner_behind (ledger))
    election->behind_us = 0;
  else if (election->behind_us == 0)
    election->behind_us = now_us;
}

/**
 * bts_election_is_claim_due() - whether to claim the next term now
 * @election: the election
 * @ledger: the folded journal
 * @yield_us: additional delay that leaves the claim to processes preferred as the owner
 * @now_us: current time
 *
 * A claim is due if there is no owner, if its process has started again, if it lacks more records
 * than this process, or if it has been silent while the journal could be read. Unless the owner is
 * an earlier incarnation of this process, a process claims only after one of its appends was
 * stored.
 *
 * Return: TRUE if a claim is to be written; its time is recorded.
 */
gboolean
bts_election_is_claim_due (bts_election_t *election, const bts_ledger_t *ledger, gint64 yield_us,
                           gint64 now_us)
{
  const char *owner = bts_ledger_owner (ledger);
  gboolean is_own_predecessor = owner != NULL && bts_node_same_vm (owner, election->node);
  note_owner_behind (election, ledger, now_us);
  if (election->leaving || election->caught_up_us == 0
      || (election->append_latency_us == 0 && !is_own_predecessor)
      || now_us - election->caught_up_us > READ_GAP_MAX_US
      || bts_election_is_owner (election, ledger))
    return FALSE;
  if (election->claimed_us != 0 && now_us - election->claimed_us < CLAIM_RETRY_US + yield_us)
    return FALSE;
  /* A heartbeat is an append and a read. */
  gint64 latency_us = bts_election_is_log_slow (election)
                          ? MAX (election->append_latency_us, 2 * read_latency_us (election))
                          : election->append_latency_us;
  gint64 claim_delay_us
      = election->jitter_us
        + PROXIMITY_LATENCY_FACTOR * MIN (election->append_latency_us, PROXIMITY_LATENCY_MAX_US);
  gint64 timeout_us
      = BTS_ELECTION_TIMEOUT_US + claim_delay_us + TIMEOUT_LATENCY_FACTOR * latency_us;
  if (owner == NULL || election->owner_restarted)
    timeout_us = claim_delay_us;
  else if (is_own_predecessor)
    timeout_us = 0;
  timeout_us += yield_us;
  gboolean is_behind
      = election->behind_us != 0 && now_us - election->behind_us >= claim_delay_us + yield_us;
  if (!is_behind && now_us - election->heard_us < timeout_us)
    return FALSE;
  /* Only a read that returned after the timeout shows that the owner was silent, rather than
     that this process couldn't read. */
  if (owner != NULL && !is_own_predecessor && !is_behind
      && election->caught_up_us < election->heard_us + timeout_us)
    return FALSE;
  election->claimed_us = now_us;
  return TRUE;
}

/**
 * bts_election_next_term() - the term that a claim of this process names
 * @ledger: the ledger of this process
 *
 * Each record that this process lacks may have been the claim of a term. A term that has had
 * another owner would have two, and workers refuse the fences of earlier ones.
 */
guint64
bts_election_next_term (const bts_ledger_t *ledger)
{
  guint64 term = bts_ledger_term (ledger) + 1;
  return bts_ledger_is_complete (ledger)
             ? term
             : term + MIN (bts_ledger_missing (ledger), TERMS_LEFT_OUT_MAX);
}
