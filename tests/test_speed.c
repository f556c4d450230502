#include "libbamboothread/scheduler/speed.h"
#include "tests/suite.h"

/* Kinds of worker that differ in speed, while estimates are off by up to half. */

static bts_worker_t *
worker_new (bts_fleet_t *fleet, const char *id, const char *service, const char *kind)
{
  bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
  entry->id = g_strdup (id);
  entry->address = g_strdup ("10.0.0.1:1");
  entry->service = g_strdup (service);
  entry->zone = g_strdup ("here");
  const char *labels[] = { kind, "r1", NULL };
  entry->labels = g_strdupv ((char **)labels);
  bts_fleet_update_entry (fleet, entry);
  return bts_fleet_find_worker (fleet, id);
}

static const struct
{
  double factor_b;
  guint samples;
  double least;
  double most;
} cases[] = {
  { 1.3, 200, 1.15, 1.45 },
  { 1.0, 200, 0.9, 1.1 },
  { 1.3, 10, 1.0, 1.0 },
  { 2.0, 100, 1.7, 2.3 },
};

START_TEST (slow_kind_is_learned)
{
  bts_fleet_t fleet;
  bts_fleet_init (&fleet);
  bts_worker_t *a = worker_new (&fleet, "w-a", "main", "a");
  bts_worker_t *b = worker_new (&fleet, "w-b", "main", "b");
  bts_worker_t *other = worker_new (&fleet, "w-c", "other", "a");
  bts_speed_t *speed = bts_speed_new ();
  GRand *random = g_rand_new_with_seed (7);
  for (guint i = 0; i < cases[_i].samples; i++)
    {
      double off = g_rand_double_range (random, 0.5, 1.5);
      bts_speed_add_sample (speed, a, 1000, (gint64)(1000 * off));
      bts_speed_add_sample (speed, b, (gint64)(1000 * cases[_i].factor_b), (gint64)(1000 * off));
      bts_speed_add_sample (speed, other, 100, (gint64)(1000 * off));
    }
  ck_assert_double_ge (bts_speed_slowness (speed, b), cases[_i].least);
  ck_assert_double_le (bts_speed_slowness (speed, b), cases[_i].most);
  ck_assert_double_eq_tol (bts_speed_slowness (speed, a), 1.0, 0.1);
  ck_assert_double_eq_tol (bts_speed_slowness (speed, other), 1.0, 1e-9);
  g_rand_free (random);
  bts_speed_free (speed);
  bts_fleet_clear (&fleet);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("speed");
  tcase_add_loop_test (tests, slow_kind_is_learned, 0, G_N_ELEMENTS (cases));
  return suite_run ("speed", tests);
}
