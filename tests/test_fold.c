#include <string.h>

#include "libbamboothread/version/fold.h"
#include "tests/suite.h"

#define EDIT(id, base, pool)                                                                       \
  "{\"id\":\"" id "\",\"base\":" base ",\"author\":\"x\",\"put\":{\"routes\":[],\"pools\":["       \
  "{\"name\":\"" pool "\",\"vms\":[]}]}}"
#define BAD_ROUTE                                                                                  \
  "{\"id\":\"bad\",\"base\":1,\"author\":\"x\",\"put\":{\"pools\":[],\"routes\":["                 \
  "{\"name\":\"r\",\"callers\":[\"c\"],\"team\":\"t\",\"class\":\"urgent\",\"pool\":\"none\","     \
  "\"idempotent\":true}]}}"

/* Each record is folded after the first, whose verdict is accepted. */
static const struct
{
  const char *record;
  bt_verdict_t verdict;
  gint64 version;
} fold_cases[] = {
  { EDIT ("b", "1", "q"), BT_VERDICT_ACCEPTED, 2 },
  { EDIT ("a", "1", "q"), BT_VERDICT_DUPLICATE, 1 },
  { EDIT ("b", "0", "q"), BT_VERDICT_STALE, 1 },
  { EDIT ("b", "2", "q"), BT_VERDICT_STALE, 1 },
  { BAD_ROUTE, BT_VERDICT_INVALID, 1 },
  { "not json", BT_VERDICT_INVALID, 1 },
  { "{}", BT_VERDICT_INVALID, 1 },
};

START_TEST (edits_are_judged)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  const char *first = EDIT ("a", "0", "p");
  ck_assert_int_eq (bt_fold_record (&fold, 0, first, strlen (first)), BT_VERDICT_ACCEPTED);
  const char *record = fold_cases[_i].record;
  ck_assert_int_eq (bt_fold_record (&fold, 1, record, strlen (record)), fold_cases[_i].verdict);
  ck_assert_int_eq (fold.version, fold_cases[_i].version);
  ck_assert_int_eq (fold.next, 2);
  bt_fold_clear (&fold);
}
END_TEST

START_TEST (a_version_never_goes_back)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  const char *records[] = { EDIT ("a", "0", "p"), EDIT ("b", "1", "q") };
  for (int i = 0; i < 2; i++)
    bt_fold_record (&fold, i, records[i], strlen (records[i]));
  GBytes *snapshot = bt_fold_snapshot (&fold);
  gsize len;
  const char *data = g_bytes_get_data (snapshot, &len);
  ck_assert (!bt_fold_adopt (&fold, 2, 2, data, len));
  ck_assert (!bt_fold_adopt (&fold, 1, 9, data, len));
  ck_assert_int_eq (bt_fold_record (&fold, 0, records[0], strlen (records[0])),
                    BT_VERDICT_DUPLICATE);
  ck_assert_int_eq (fold.version, 2);

  bt_fold_t other;
  bt_fold_init (&other);
  ck_assert (bt_fold_adopt (&other, 2, 2, data, len));
  ck_assert_int_eq (other.version, 2);
  ck_assert_int_eq (other.next, 2);
  ck_assert_ptr_nonnull (bt_tables_pool (other.tables, "q"));
  bt_fold_clear (&other);
  bt_fold_clear (&fold);
  g_bytes_unref (snapshot);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("fold");
  tcase_add_loop_test (tests, edits_are_judged, 0, G_N_ELEMENTS (fold_cases));
  tcase_add_test (tests, a_version_never_goes_back);
  return suite_run ("fold", tests);
}
