#ifndef BTS_ELECTION_H
#define BTS_ELECTION_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Who owns the workers. A process claims the next term by a record in the
 * journal; the order of the log decides between claims. An owner that writes no
 * beats is replaced.
 */

/* Silence of the owner after which another process claims, in microseconds: above
   three idle beats and a slow answer of the store. A claim in error costs a round
   of holds. */
#define BTS_ELECTION_TIMEOUT_US (600 * 1000)
/* An owner that hasn't seen its own beats for so long lets leases run out, in
   microseconds: above an outage of the store of 5 s. */
#define BTS_RENEWAL_CUTOFF_US (6000 * 1000)
/* Numbers of runs kept for each term; no task starts so often in one. */
#define BTS_RUNS_PER_TERM 1000
/* Calls to the advice service up to this time are short, in milliseconds: those of
   urgent work take some 25 ms, those of others 150 ms and more. */
#define BTS_ADVICE_SHORT_CALL_MS 100.0
/* Most workers in one question to the advice service. */
#define BTS_ADVICE_MAX_WORKERS 100

/**
 * struct bts_election_t - what a process knows of the owner
 * @node: name of this life of this process
 * @owner: the owner that was known last, or NULL
 * @jitter_us: its own delay before it claims, so that claims seldom meet
 * @heard_us: when the owner last gave a sign, or the log could be read again
 * @stale_grants_until_us: until when an owner that was replaced may still extend leases
 * @append_lag_us: time that appends of this process took lately
 * @caught_up_us: when the log was last read to its end; 0 before the first time
 * @claimed_us: when this process claimed last; 0 for never
 * @leaving: it is about to end and claims no more
 */
typedef struct
{
  char *node;
  char *owner;
  gint64 jitter_us;
  gint64 heard_us;
  gint64 stale_grants_until_us;
  gint64 append_lag_us;
  gint64 caught_up_us;
  gint64 claimed_us;
  gboolean leaving;
} bts_election_t;

gboolean bts_node_same_vm (const char *a, const char *b);

void bts_election_init (bts_election_t *lead, const char *node);
void bts_election_clear (bts_election_t *lead);
void bts_election_on_caught_up (bts_election_t *lead, gint64 now_us);
void bts_election_on_heartbeat (bts_election_t *lead, gint64 now_us);
void bts_election_on_owner (bts_election_t *lead, const bts_ledger_t *ledger, gint64 now_us);
void bts_election_on_append (bts_election_t *lead, gint64 took_us);
gint64 bts_election_old_leases_expiry_us (const bts_election_t *lead, gint64 lease_us,
                                          gint64 now_us);
gboolean bts_election_is_owner (const bts_election_t *lead, const bts_ledger_t *ledger);
gboolean bts_election_is_claim_due (bts_election_t *lead, const bts_ledger_t *ledger, gboolean weak,
                                    gint64 now_us);

#endif
