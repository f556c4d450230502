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

int
main (void)
{
  TCase *tests = tcase_create ("election");
  tcase_add_loop_test (tests, narrow_link_limits_an_owner, 0, G_N_ELEMENTS (capacities));
  tcase_add_loop_test (tests, slow_reads_put_claims_off, 0, G_N_ELEMENTS (reads));
  return suite_run ("election", tests);
}
