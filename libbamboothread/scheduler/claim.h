#ifndef BTS_CLAIM_H
#define BTS_CLAIM_H

#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/members.h"

/*
 * Which process claims the next term first.
 */

/**
 * struct bts_claimant_t - a process that may claim the next term
 * @name: its name
 * @cpu_millis: its CPU share, in thousandths of a core; 0 if not known
 */
typedef struct
{
  const char *name;
  guint cpu_millis;
} bts_claimant_t;

gboolean bts_claim_has_larger_peer (const bts_members_t *members, guint cpu_millis, gint64 now_us);
gint64 bts_claim_yield_us (const bts_claimant_t *claimant, const bts_ledger_t *ledger,
                           const bts_members_t *members, gboolean log_slow, gint64 now_us);

#endif
