#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Processes of two regions, a few of which relay the journal to the others, on a paused clock.
 * All that a region reads from the log crosses one link.
 */

#define N_NODES 32
#define N_REGIONS 2
#define N_WORKERS 24
#define LINK_KBPS 4000
/* Time within which a small message has to cross the link whatever is read over it. */
#define MESSAGE_MAX_US (200 * 1000)
#define KEEP_MS 20000
#define WARM_UP_MS 8000
#define FAULT_MS 4000
#define AFTER_FAULT_MS 16000
/* Time between two jobs. */
#define JOB_INTERVAL_MS 30

static const sim_policy_t batch = { "main", 2, 3, 3000 };
static const sim_step_t step = { .count = 6, .cpu = 500, .memory = 500, .ms = 500 };

static void
run_with_jobs (sim_t *sim, gint64 ms)
{
  for (gint64 at = 0; at < ms; at += JOB_INTERVAL_MS)
    {
      guint node = sim->jobs->len % N_NODES;
      if (sim_node (sim, node)->node != NULL && !sim_node (sim, node)->frozen)
        sim_submit (sim, node, &batch, &step, 1);
      sim_run_ms (sim, JOB_INTERVAL_MS);
    }
}

static gboolean
is_relay (sim_t *sim, guint i)
{
  const sim_node_t *node = sim_node (sim, i);
  return node->node != NULL && bts_journal_relay_is_open (bts_node_relay (node->node));
}

/* The processes that relay when a fault begins; a bit for each. */
static guint32
find_relays (sim_t *sim)
{
  guint32 relays = 0;
  for (guint i = 0; i < N_NODES; i++)
    relays |= is_relay (sim, i) ? 1u << i : 0;
  return relays;
}

static void
kill_all (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    sim_kill (sim, i);
  sim_run_ms (sim, 1200);
  for (guint i = 0; i < N_NODES; i++)
    sim_start (sim, i);
}

static void
kill_third (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i += 3)
    {
      sim_kill (sim, i);
      sim_start (sim, i);
    }
}

static void
kill_relays (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_kill (sim, i);
}

static void
start_again (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_start (sim, i);
}

static void
freeze_relays (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_freeze (sim, i);
}

static void
thaw_relays (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_thaw (sim, i);
}

static void
set_cut (sim_t *sim, guint32 relays, gboolean is_cut)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_node (sim, i)->cut = is_cut;
}

static void
cut_relays (sim_t *sim, guint32 relays)
{
  set_cut (sim, relays, TRUE);
}

static void
mend_relays (sim_t *sim, guint32 relays)
{
  set_cut (sim, relays, FALSE);
}

static void
end_relays (sim_t *sim, guint32 relays)
{
  for (guint i = 0; i < N_NODES; i++)
    if (relays & (1u << i))
      sim_leave (sim, i);
}

static void
stop_store (sim_t *sim, guint32 relays)
{
  sim->store_down = TRUE;
}

static void
start_store (sim_t *sim, guint32 relays)
{
  sim->store_down = FALSE;
}

static void
kill_and_start_again (sim_t *sim, guint32 relays)
{
  kill_relays (sim, relays);
  start_again (sim, relays);
}

/**
 * struct case - what happens to the processes
 * @begin: a fault
 * @end: its end; NULL if there is none
 * @share_percent: the largest part of the bytes that the processes need that crosses the links
 */
static const struct
{
  const char *name;
  void (*begin) (sim_t *sim, guint32 relays);
  void (*end) (sim_t *sim, guint32 relays);
  guint share_percent;
} cases[] = {
  { "calm", NULL, NULL, 50 },
  { "all_lose_power", kill_all, NULL, 60 },
  { "third_is_killed", kill_third, NULL, 60 },
  { "relays_are_killed", kill_relays, start_again, 70 },
  { "relays_freeze", freeze_relays, thaw_relays, 70 },
  { "relays_are_cut_off_from_the_store", cut_relays, mend_relays, 70 },
  { "relays_leave", end_relays, kill_and_start_again, 70 },
  { "store_is_down", stop_store, start_store, 60 },
};

static void
expect_all_caught_up (sim_t *sim, const char *name)
{
  for (guint i = 0; i < N_NODES; i++)
    ck_assert_msg (sim_node (sim, i)->next >= (gint64)sim->log->len - 10,
                   "%s: process %u has read %" G_GINT64_FORMAT " of %u", name, i,
                   sim_node (sim, i)->next, sim->log->len);
}

/* Guards against a journal that crosses the link of a region once for each process, and against
   processes that stop reading it with the one that relays it to them. */
START_TEST (journal_crosses_a_link_for_few_processes)
{
  const char *name = cases[_i].name;
  sim_t *sim = sim_new (N_NODES, N_WORKERS, 1);
  sim->regions = N_REGIONS;
  sim->link_kbps = LINK_KBPS;
  sim->keep_ms = KEEP_MS;
  sim_restart (sim);
  run_with_jobs (sim, WARM_UP_MS);
  guint32 relays = find_relays (sim);
  ck_assert_msg (relays != 0, "%s: none relays", name);
  sim->log_read_bytes = 0;
  sim->relayed_bytes = 0;
  if (cases[_i].begin != NULL)
    cases[_i].begin (sim, relays);
  run_with_jobs (sim, FAULT_MS);
  if (cases[_i].end != NULL)
    cases[_i].end (sim, relays);
  run_with_jobs (sim, AFTER_FAULT_MS);
  sim_run_ms (sim, 4000);
  expect_all_caught_up (sim, name);
  ck_assert_int_ge (sim_owner (sim), 0);
  gsize all_bytes = sim->log_read_bytes + sim->relayed_bytes;
  ck_assert_msg (sim->log_read_bytes * 100 <= all_bytes * cases[_i].share_percent,
                 "%s: %zu of %zu bytes crossed the links", name, sim->log_read_bytes, all_bytes);
  ck_assert_msg (sim->link_queue_max_us <= MESSAGE_MAX_US,
                 "%s: a message waits %" G_GINT64_FORMAT " ms", name,
                 sim->link_queue_max_us / 1000);
  sim_check (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("relay_cluster");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, journal_crosses_a_link_for_few_processes, 0, G_N_ELEMENTS (cases));
  return suite_run ("relay_cluster", tests);
}
