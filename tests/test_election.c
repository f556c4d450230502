#include "libbamboothread/scheduler/election.h"
#include "tests/suite.h"

/* Which VM is fit to be the owner's, and what reads of the journal tell of the log. */

static const struct
{
  guint cpu_millis;
  guint bandwidth_kbps;
  guint capacity;
} capacities[] = {
  { 500, 200 * 1000, 500 }, { 300, 10 * 1000, 119 },   { 90, 10 * 1000, 90 },
  { 120, 10 * 1000, 119 },  { 250, 1000 * 1000, 250 }, { 250, 0, 250 },
  { 0, 10 * 1000, 0 },
};

/* Guards against an owner whose link is filled by the lists of the workers: over 10 Mbit/s, those
   of 350 workers came too late for urgent jobs. */
START_TEST (narrow_link_limits_an_owner)
{
  ck_assert_uint_eq (
      bts_election_capacity_millis (capacities[_i].cpu_millis, capacities[_i].bandwidth_kbps),
      capacities[_i].capacity);
}
END_TEST

static const struct
{
  gint64 latencies_ms[4];
  gboolean slow;
} reads[] = {
  { { 4, 4, 4, 4 }, FALSE },
  /* A read that waited for the next record. */
  { { 4, 4, 4, 290 }, FALSE },
  { { 4, 4, 250, 300 }, TRUE },
  { { 4, 300, 250, 4 }, FALSE },
  /* Reads of history tell nothing, neither that the log is slow nor that it is fast. */
  { { -1, 290, -1, -1 }, FALSE },
  { { 250, 300, -1, -1 }, TRUE },
};

/* Guards against processes that replace an owner whose heartbeats are late because the log is slow,
   and then append all jobs themselves, so that the slow log refuses the next owner's. */
START_TEST (slow_reads_put_claims_off)
{
  bts_election_t election;
  bts_election_init (&election, "vm-1/1");
  bts_election_on_append (&election, 4000);
  for (guint i = 0; i < G_N_ELEMENTS (reads[_i].latencies_ms); i++)
    bts_election_on_caught_up (&election, reads[_i].latencies_ms[i] * 1000, 1000 * 1000);
  ck_assert_int_eq (bts_election_is_log_slow (&election), reads[_i].slow);
  bts_election_clear (&election);
}
END_TEST

static void
ignore (void *context)
{
}

static void
ignore_node (void *context, const char *name)
{
}

static void
fold_claim (bts_ledger_t *ledger, const char *node)
{
  Bts__Claim claim = BTS__CLAIM__INIT;
  claim.term = 1;
  claim.node = (char *)node;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_CLAIM;
  record.claim = &claim;
  guint8 bytes[256];
  gsize len = bts__record__get_packed_size (&record);
  ck_assert_uint_lt (len, sizeof bytes);
  bts__record__pack (&record, bytes);
  g_autoptr (GError) error = NULL;
  ck_assert (bts_ledger_fold (ledger, 0, bytes, len, 0, &error));
}

/* What is heard after a claim of the owner, vm-2/5, and whether another process claims before the
   owner counts as silent. */
static const struct
{
  const char *hellos[2];
  gboolean heartbeat;
  gboolean claims_early;
} restarts[] = {
  { { "vm-3/1" }, FALSE, FALSE },
  { { "vm-2/5" }, FALSE, FALSE },
  { { "vm-2/9" }, FALSE, TRUE },
  { { "vm-2/9", "vm-3/1" }, FALSE, TRUE },
  /* The owner is there after all: what was heard was stored late. */
  { { "vm-2/3" }, TRUE, FALSE },
};

/* Guards against workers without an owner for as long as a silent one is waited for, although its
   process has started again: those that leave meanwhile take unread ends with them. */
START_TEST (owner_that_has_restarted_is_not_waited_for)
{
  const bts_ledger_ops_t ops = { .owner_changed = ignore, .node_seen = ignore_node };
  bts_ledger_t *ledger = bts_ledger_new (&ops, NULL);
  fold_claim (ledger, "vm-2/5");
  bts_election_t election;
  bts_election_init (&election, "vm-1/1");
  gint64 now_us = 1000 * 1000;
  bts_election_on_append (&election, 4000);
  bts_election_on_caught_up (&election, 4000, now_us);
  bts_election_on_owner (&election, ledger, now_us);
  for (guint i = 0; i < G_N_ELEMENTS (restarts[_i].hellos) && restarts[_i].hellos[i] != NULL; i++)
    bts_election_on_hello (&election, restarts[_i].hellos[i], now_us);
  if (restarts[_i].heartbeat)
    bts_election_on_heartbeat (&election, 0, now_us);
  now_us += BTS_ELECTION_TIMEOUT_US - 1;
  bts_election_on_caught_up (&election, 4000, now_us);
  ck_assert_int_eq (bts_election_is_claim_due (&election, ledger, 0, now_us),
                    restarts[_i].claims_early);
  bts_election_clear (&election);
  bts_ledger_free (ledger);
}
END_TEST

/* Guards against a small VM that becomes the owner, and then can't serve the workers: by the time
   at which the owner's process was seen to have started again, it had left the claim to larger ones
   for as long as it does. */
START_TEST (claims_are_left_to_larger_vms_after_a_restart)
{
  const gint64 yield_us = 500 * 1000;
  const gint64 restart_us = 650 * 1000;
  const bts_ledger_ops_t ops = { .owner_changed = ignore, .node_seen = ignore_node };
  bts_ledger_t *ledger = bts_ledger_new (&ops, NULL);
  fold_claim (ledger, "vm-2/5");
  bts_election_t election;
  bts_election_init (&election, "vm-1/1");
  bts_election_on_append (&election, 4000);
  bts_election_on_owner (&election, ledger, 0);
  gint64 claimed_us = 0;
  for (gint64 now_us = 0; now_us < 3000 * 1000 && claimed_us == 0; now_us += 50 * 1000)
    {
      bts_election_on_caught_up (&election, 4000, now_us);
      if (now_us == restart_us)
        bts_election_on_hello (&election, "vm-2/9", now_us);
      if (bts_election_is_claim_due (&election, ledger, yield_us, now_us))
        claimed_us = now_us;
    }
  ck_assert_int_ge (claimed_us, restart_us + yield_us);
  ck_assert_int_lt (claimed_us, restart_us + yield_us + BTS_ELECTION_TIMEOUT_US / 2);
  bts_election_clear (&election);
  bts_ledger_free (ledger);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("election");
  tcase_add_loop_test (tests, narrow_link_limits_an_owner, 0, G_N_ELEMENTS (capacities));
  tcase_add_loop_test (tests, slow_reads_put_claims_off, 0, G_N_ELEMENTS (reads));
  tcase_add_loop_test (tests, owner_that_has_restarted_is_not_waited_for, 0,
                       G_N_ELEMENTS (restarts));
  tcase_add_test (tests, claims_are_left_to_larger_vms_after_a_restart);
  return suite_run ("election", tests);
}
