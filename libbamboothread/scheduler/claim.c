#include "libbamboothread/scheduler/claim.h"

#include "libbamboothread/scheduler/election.h"

/* How long a claim is left to processes on much larger VMs, and to those that are ready to become
   the owner, in microseconds: longer than the jitter of claims, and for larger VMs than the part of
   their delay that depends on the latency of the store. */
#define SMALL_VM_YIELD_US (500 * 1000)
/* A VM whose processor can't carry the workers leaves a claim to larger ones for longer: the
   workers would be without an owner for as long all the same, and its term would end in a
   hand-over. */
#define UNFIT_VM_YIELD_US (3000 * 1000)
/* Time between the claims of two processes in the order of preference while the log is slow, in
   microseconds: an append takes up to a tenth of a second then, and is read soon after. The order
   counts up to the highest rank below. */
#define SLOW_LOG_YIELD_US (400 * 1000)
#define SLOW_LOG_RANK_MAX 15
#define NOT_STANDBY_YIELD_US (100 * 1000)
/* How long a process that has skipped records leaves a claim to those that know all jobs, in
   microseconds: longer than their delays while the log is fast. */
#define INCOMPLETE_YIELD_US (4 * G_USEC_PER_SEC)
/* Another process is on a much larger VM if its CPU share is at least this many times that of
   this process. */
#define LARGER_VM_FACTOR 2

/**
 * bts_claim_has_larger_peer() - whether a live process is on a much larger VM
 * @members: the processes
 * @cpu_millis: CPU share of this process; one that doesn't know it can't tell
 * @now_us: the time
 */
gboolean
bts_claim_has_larger_peer (const bts_members_t *members, guint cpu_millis, gint64 now_us)
{
  return cpu_millis > 0
         && bts_members_max_cpu_millis (members, now_us) >= (guint64)cpu_millis * LARGER_VM_FACTOR;
}

/* While the log is slow, processes claim one after the other in their order of preference: each
   claim is an append that the heartbeats of the next owner wait for. */
static gint64
slow_log_yield_us (const bts_claimant_t *claimant, const bts_members_t *members, gint64 now_us)
{
  guint rank = bts_members_rank (members, claimant->name, now_us);
  return SLOW_LOG_YIELD_US * (1 + (gint64)MIN (rank, SLOW_LOG_RANK_MAX));
}

/**
 * bts_claim_yield_us() - how long a process leaves a claim to others that are preferred as the
 * owner
 * @claimant: the process
 * @ledger: its ledger
 * @members: the processes
 * @log_slow: whether appends are slow
 * @now_us: the time
 */
gint64
bts_claim_yield_us (const bts_claimant_t *claimant, const bts_ledger_t *ledger,
                    const bts_members_t *members, gboolean log_slow, gint64 now_us)
{
  gint64 slow_us = log_slow ? slow_log_yield_us (claimant, members, now_us) : 0;
  gboolean is_standby = bts_members_is_standby (members, claimant->name, now_us);
  gint64 standby_us = is_standby ? 0 : NOT_STANDBY_YIELD_US;
  if (bts_ledger_is_owner_behind (ledger))
    return slow_us + standby_us;
  if (!bts_ledger_is_complete (ledger))
    return slow_us + INCOMPLETE_YIELD_US;
  if (bts_claim_has_larger_peer (members, claimant->cpu_millis, now_us))
    {
      guint n_workers = bts_ledger_count_held (ledger);
      gboolean is_fit = claimant->cpu_millis * BTS_WORKERS_PER_CPU_MILLI >= n_workers;
      return slow_us + (is_fit ? SMALL_VM_YIELD_US : UNFIT_VM_YIELD_US);
    }
  return slow_us + standby_us;
}
