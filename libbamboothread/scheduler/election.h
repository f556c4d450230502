#ifndef BTS_ELECTION_H
#define BTS_ELECTION_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Election of the owner of the workers. A process claims the next term with a
 * record in the journal; the order of the log decides between claims. An owner
 * whose heartbeats stop is replaced.
 */

/* Silence of the owner after which another process claims the next term, in microseconds:
   longer than three idle heartbeat intervals plus a slow answer of the store. A claim while
   the owner is alive costs one round of hold orders to all workers. */
#define BTS_ELECTION_TIMEOUT_US (600 * 1000)
/* An owner that hasn't seen its own heartbeats in the journal for this long stops renewing
   leases, in microseconds: longer than a store outage of 5 s. */
#define BTS_RENEWAL_CUTOFF_US (6000 * 1000)
/* Run numbers reserved for each term; no task is started that often in one term. */
#define BTS_RUNS_PER_TERM 1000
/* Longest expected duration of a short call to the advice service, in milliseconds: calls for
   urgent work take about 25 ms, other calls 150 ms or more. */
#define BTS_ADVICE_SHORT_CALL_MS 100.0
/* Most workers in one request to the advice service. */
#define BTS_ADVICE_MAX_WORKERS 100

/* Workers that an owner carries for each thousandth of a core. */
#define BTS_WORKERS_PER_CPU_MILLI 3

/**
 * struct bts_election_t - state of the election as seen by one process
 * @node: name of this incarnation of the process
 * @owner: last known owner, or NULL
 * @jitter_us: constant delay of this process before a claim, so that claims rarely collide
 * @heard_us: when the owner was last heard from, or the log became readable again
 * @owner_restarted: a later incarnation of the owner's process was heard from, and the owner itself
 *   wasn't since
 * @stale_grants_until_us: until when replaced owners may still renew leases
 * @append_latency_us: recent append latency of this process; 0 before an append was stored
 * @caught_up_us: when the log was last read to its end; 0 before the first time
 * @read_latency_us: what the two newest reads took, the newest first, without waiting for records
 * @claimed_us: when this process last claimed; 0 for never
 * @readable_us: when the log last became readable again after failed reads; 0 for never
 * @leaving: the process is shutting down and claims no more
 * @behind_us: since when the owner is known to lack more records than this process; 0 if it doesn't
 */
typedef struct
{
  char *node;
  char *owner;
  gint64 jitter_us;
  gint64 heard_us;
  gboolean owner_restarted;
  gint64 stale_grants_until_us;
  gint64 append_latency_us;
  gint64 caught_up_us;
  gint64 read_latency_us[2];
  gint64 claimed_us;
  gint64 readable_us;
  gboolean leaving;
  gint64 behind_us;
} bts_election_t;

gboolean bts_node_same_vm (const char *a, const char *b);

guint bts_election_capacity_millis (guint cpu_millis, guint bandwidth_kbps);
void bts_election_init (bts_election_t *election, const char *node);
void bts_election_clear (bts_election_t *election);
void bts_election_on_caught_up (bts_election_t *election, gint64 latency_us, gint64 now_us);
void bts_election_on_readable (bts_election_t *election, gint64 now_us);
void bts_election_on_heartbeat (bts_election_t *election, guint earlier_renewals_ms, gint64 now_us);
void bts_election_on_hello (bts_election_t *election, const char *node, gint64 now_us);
void bts_election_on_owner (bts_election_t *election, const bts_ledger_t *ledger, gint64 now_us);
void bts_election_on_append (bts_election_t *election, gint64 took_us);
gint64 bts_election_old_leases_expiry_us (const bts_election_t *election, gint64 lease_us,
                                          gint64 now_us);
gboolean bts_election_is_log_slow (const bts_election_t *election);
gboolean bts_election_is_owner (const bts_election_t *election, const bts_ledger_t *ledger);
gboolean bts_election_is_claim_due (bts_election_t *election, const bts_ledger_t *ledger,
                                    gint64 yield_us, gint64 now_us);
guint64 bts_election_next_term (const bts_ledger_t *ledger);

#endif
