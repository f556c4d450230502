#include <string.h>

#include "libbamboothread/process/core_private.h"
#include "standins/cell.h"
#include "standins/world.h"
#include "tests/suite.h"

/* Which daemons know each other, on a paused clock. */

#define WORKERS 3

static bt_world_t *
world_of (guint data_centres, guint daemons, guint32 seed)
{
  bt_tables_t *tables = bt_cell_tables (data_centres, WORKERS);
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = daemons;
  config.region_of = bt_cell_region;
  config.seed = seed;
  bt_world_t *world = bt_world_new (&config, NULL, NULL);
  bt_tables_free (tables);
  return world;
}

/* Starts all daemons anew, knowing only the first few addresses. */
static void
restart_with_seeds (bt_world_t *world, guint seeds)
{
  for (guint i = 0; i < world->nodes->len; i++)
    bt_world_kill (world, world->nodes->pdata[i]);
  g_ptr_array_set_size (world->seeds, (gint)seeds);
  for (guint i = 0; i < world->nodes->len; i++)
    bt_world_start (world, world->nodes->pdata[i]);
}

/* Whether each daemon knows the data centre's leader, or is it. */
static gboolean
all_know_leader (bt_world_t *world, const char *data_centre)
{
  const bt_node_t *leader = bt_world_leader (world, data_centre);
  if (leader == NULL)
    return FALSE;
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const bt_node_t *node = world->nodes->pdata[i];
      if (node == leader || node->core == NULL)
        continue;
      const bt_member_t *known = bt_members_find_leader (node->core, data_centre);
      if (known == NULL || strcmp (known->name, leader->name) != 0)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_know_all_leaders (bt_world_t *world, void *context)
{
  guint data_centres = *(guint *)context;
  for (guint i = 1; i <= data_centres; i++)
    {
      g_autofree char *name = g_strdup_printf ("dc%u", i);
      if (!all_know_leader (world, name))
        return FALSE;
    }
  return TRUE;
}

/* Daemons that start with a few seeds, and the time until all leaders are known to all. */
static const struct
{
  guint data_centres;
  guint daemons;
  guint seeds;
  gint64 within_ms;
} bootstrap_cases[] = {
  { 1, 1, 1, 3000 }, { 1, 4, 1, 4000 }, { 3, 2, 1, 6000 },
  { 3, 2, 6, 3000 }, { 7, 4, 2, 6000 }, { 7, 4, 28, 3000 },
};

START_TEST (daemons_find_each_other)
{
  bt_world_t *world = world_of (bootstrap_cases[_i].data_centres, bootstrap_cases[_i].daemons, 7);
  restart_with_seeds (world, bootstrap_cases[_i].seeds);
  guint data_centres = bootstrap_cases[_i].data_centres;
  ck_assert (bt_world_run_until (world, bootstrap_cases[_i].within_ms * BT_USEC_PER_MSEC,
                                 all_know_all_leaders, &data_centres));
  bt_world_free (world);
}
END_TEST

typedef enum
{
  KILL_LEADER,
  LEAVE_LEADER,
  PAUSE_LEADER,
  CUT_AND_HEAL,
  LONG_CUT_AND_HEAL,
  REPLACE_ALL,
} change_t;

static void
cut_all (bt_world_t *world, gboolean cut)
{
  bt_world_cut (world, "dc1", "dc2", cut);
  bt_world_cut (world, "dc1", "dc3", cut);
}

static void
make_change (bt_world_t *world, change_t change)
{
  bt_node_t *leader = bt_world_leader (world, "dc2");
  switch (change)
    {
    case KILL_LEADER:
      bt_world_kill (world, leader);
      break;
    case LEAVE_LEADER:
      bt_core_leave (leader->core);
      break;
    case PAUSE_LEADER:
      bt_world_pause (world, leader, TRUE);
      bt_world_run (world, 10 * BT_USEC_PER_SEC);
      bt_world_pause (world, leader, FALSE);
      break;
    case CUT_AND_HEAL:
    case LONG_CUT_AND_HEAL:
      cut_all (world, TRUE);
      bt_world_run (world, (change == CUT_AND_HEAL ? 60LL : 3600LL) * BT_USEC_PER_SEC);
      cut_all (world, FALSE);
      break;
    case REPLACE_ALL:
      for (guint i = 0; i < world->nodes->len; i++)
        {
          bt_world_kill (world, world->nodes->pdata[i]);
          bt_world_run (world, 8 * BT_USEC_PER_SEC);
          bt_world_start (world, world->nodes->pdata[i]);
          bt_world_run (world, 2 * BT_USEC_PER_SEC);
        }
      break;
    }
}

/* What happens to dc2, and the time until its leader is known to all again. */
static const struct
{
  change_t change;
  gint64 within_ms;
} change_cases[] = {
  { KILL_LEADER, 7000 },  { LEAVE_LEADER, 1500 },      { PAUSE_LEADER, 3000 },
  { CUT_AND_HEAL, 3000 }, { LONG_CUT_AND_HEAL, 3000 }, { REPLACE_ALL, 7000 },
};

START_TEST (leaders_stay_known)
{
  bt_world_t *world = world_of (3, 3, 11);
  guint data_centres = 3;
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  ck_assert (all_know_all_leaders (world, &data_centres));
  make_change (world, change_cases[_i].change);
  ck_assert (bt_world_run_until (world, change_cases[_i].within_ms * BT_USEC_PER_MSEC,
                                 all_know_all_leaders, &data_centres));
  bt_world_free (world);
}
END_TEST

/* A pause of the daemon itself, and how many others it then suspects wrongly. */
static const gint64 pause_cases_s[] = { 1, 3, 30, 3600 };

START_TEST (own_pause_is_no_silence_of_others)
{
  bt_world_t *world = world_of (1, 4, 3);
  bt_world_run (world, 5 * BT_USEC_PER_SEC);
  bt_node_t *node = world->nodes->pdata[0];
  bt_world_pause (world, node, TRUE);
  bt_world_run (world, pause_cases_s[_i] * BT_USEC_PER_SEC);
  guint64 before = bt_core_counters (node->core)->members_suspected;
  bt_core_tick (node->core);
  ck_assert_uint_eq (bt_core_counters (node->core)->members_suspected, before);
  for (guint i = 1; i < world->nodes->len; i++)
    ck_assert_ptr_nonnull (
        bt_members_find_alive (node->core, ((bt_node_t *)world->nodes->pdata[i])->name));
  bt_world_free (world);
}
END_TEST

static double
messages_per_second (guint data_centres, guint daemons)
{
  bt_world_t *world = world_of (data_centres, daemons, 5);
  bt_world_run (world, 20 * BT_USEC_PER_SEC);
  guint64 before = 0;
  guint64 after = 0;
  for (guint i = 0; i < world->nodes->len; i++)
    before += ((bt_node_t *)world->nodes->pdata[i])->messages_sent;
  bt_world_run (world, 20 * BT_USEC_PER_SEC);
  for (guint i = 0; i < world->nodes->len; i++)
    after += ((bt_node_t *)world->nodes->pdata[i])->messages_sent;
  double rate = (double)(after - before) / 20 / world->nodes->len;
  bt_world_free (world);
  return rate;
}

START_TEST (traffic_does_not_grow_with_data_centres)
{
  double few = messages_per_second (2, 4);
  double many = messages_per_second (7, 4);
  ck_assert_double_lt (many, 1.6 * few);
}
END_TEST

START_TEST (dead_addresses_are_forgotten)
{
  bt_world_t *world = world_of (1, 3, 9);
  restart_with_seeds (world, 1);
  bt_world_run (world, 10 * BT_USEC_PER_SEC);
  bt_node_t *first = world->nodes->pdata[0];
  bt_node_t *dead = world->nodes->pdata[2];
  bt_world_kill (world, dead);
  bt_world_run (world, 590 * BT_USEC_PER_SEC);
  ck_assert (g_hash_table_contains (first->core->members.contacts, dead->address));
  ck_assert_ptr_nonnull (bt_members_find (first->core, dead->name));
  bt_world_run (world, 20 * BT_USEC_PER_SEC);
  ck_assert_ptr_null (bt_members_find (first->core, dead->name));
  bt_world_run (world, 6700LL * BT_USEC_PER_SEC);
  ck_assert (!g_hash_table_contains (first->core->members.contacts, dead->address));
  bt_world_free (world);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("membership");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, daemons_find_each_other, 0, G_N_ELEMENTS (bootstrap_cases));
  tcase_add_loop_test (tests, leaders_stay_known, 0, G_N_ELEMENTS (change_cases));
  tcase_add_loop_test (tests, own_pause_is_no_silence_of_others, 0, G_N_ELEMENTS (pause_cases_s));
  tcase_add_test (tests, traffic_does_not_grow_with_data_centres);
  tcase_add_test (tests, dead_addresses_are_forgotten);
  return suite_run ("membership", tests);
}
