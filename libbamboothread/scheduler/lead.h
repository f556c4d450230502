#ifndef BTS_LEAD_H
#define BTS_LEAD_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Who owns the workers. A process claims the next term by a record in the
 * journal; the order of the log decides between claims. An owner that writes no
 * beats is replaced.
 */

/* Silence of the owner after which another process claims, in microseconds: above
   three idle beats and a slow answer of the store. A claim in error costs a round
   of holds. */
#define BTS_LEAD_SILENCE_US (600 * 1000)
/* An owner that hasn't seen its own beats for so long lets leases run out, in
   microseconds: above an outage of the store of 5 s. */
#define BTS_LEAD_UNSURE_US (6000 * 1000)
/* Numbers of runs kept for each term; no task starts so often in one. */
#define BTS_RUNS_PER_TERM 1000
/* Calls to the advice service up to this time are short, in milliseconds: those of
   urgent work take some 25 ms, those of others 150 ms and more. */
#define BTS_ADVICE_SHORT_MS 100.0
/* Most workers in one question to the advice service. */
#define BTS_ADVICE_MAX 100

/**
 * struct bts_lead_t - what a process knows of the owner
 * @node: name of this life of this process
 * @owner: the owner that was known last, or NULL
 * @jitter_us: its own delay before it claims, so that claims seldom meet
 * @sign_us: when the owner last gave a sign, or the log could be read again
 * @grants_us: until when an owner that was replaced may still extend leases
 * @lag_us: time that appends of this process took lately
 * @read_us: when the log was last read to its end; 0 before the first time
 * @claimed_us: when this process claimed last; 0 for never
 * @leaving: it is about to end and claims no more
 */
typedef struct
{
  char *node;
  char *owner;
  gint64 jitter_us;
  gint64 sign_us;
  gint64 grants_us;
  gint64 lag_us;
  gint64 read_us;
  gint64 claimed_us;
  gboolean leaving;
} bts_lead_t;

gboolean bts_node_same_place (const char *a, const char *b);

void bts_lead_init (bts_lead_t *lead, const char *node);
void bts_lead_clear (bts_lead_t *lead);
void bts_lead_on_read (bts_lead_t *lead, gint64 now_us);
void bts_lead_on_sign (bts_lead_t *lead, gint64 now_us);
void bts_lead_on_owner (bts_lead_t *lead, const bts_ledger_t *ledger, gint64 now_us);
void bts_lead_on_append (bts_lead_t *lead, gint64 took_us);
gint64 bts_lead_sure_us (const bts_lead_t *lead, gint64 lease_us, gint64 now_us);
gboolean bts_lead_mine (const bts_lead_t *lead, const bts_ledger_t *ledger);
gboolean bts_lead_due (bts_lead_t *lead, const bts_ledger_t *ledger, gboolean weak, gint64 now_us);

#endif
