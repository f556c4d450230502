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
  ck_assert_int_eq (bt_fold_apply_record (&fold, 0, first, strlen (first)), BT_VERDICT_ACCEPTED);
  const char *record = fold_cases[_i].record;
  ck_assert_int_eq (bt_fold_apply_record (&fold, 1, record, strlen (record)),
                    fold_cases[_i].verdict);
  ck_assert_int_eq (fold.version, fold_cases[_i].version);
  ck_assert_int_eq (fold.next_offset, 2);
  bt_fold_clear (&fold);
}
END_TEST

START_TEST (a_version_never_goes_back)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  const char *records[] = { EDIT ("a", "0", "p"), EDIT ("b", "1", "q") };
  for (int i = 0; i < 2; i++)
    bt_fold_apply_record (&fold, i, records[i], strlen (records[i]));
  GBytes *snapshot = bt_fold_snapshot (&fold);
  gsize len;
  const char *data = g_bytes_get_data (snapshot, &len);
  ck_assert (!bt_fold_adopt (&fold, 2, 2, data, len));
  ck_assert (!bt_fold_adopt (&fold, 1, 9, data, len));
  ck_assert_int_eq (bt_fold_apply_record (&fold, 0, records[0], strlen (records[0])),
                    BT_VERDICT_DUPLICATE);
  ck_assert_int_eq (fold.version, 2);

  bt_fold_t other;
  bt_fold_init (&other);
  ck_assert (bt_fold_adopt (&other, 2, 2, data, len));
  ck_assert_int_eq (other.version, 2);
  ck_assert_int_eq (other.next_offset, 2);
  ck_assert_ptr_nonnull (bt_tables_find_pool (other.tables, "q"));
  bt_fold_clear (&other);
  bt_fold_clear (&fold);
  g_bytes_unref (snapshot);
}
END_TEST

#define STREAM_RECORDS 120

/* A stream of edits, good, stale, repeated and faulty ones, and snapshots that
 * were taken some records before they arrived. */
static GPtrArray *
random_stream (GRand *rand)
{
  GPtrArray *stream = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GBytes *late = NULL;
  bt_fold_t fold;
  bt_fold_init (&fold);
  for (guint i = 0; i < STREAM_RECORDS; i++)
    {
      char *text = g_strdup_printf (EDIT ("e%u", "%" G_GINT64_FORMAT, "p%d"), i,
                                    fold.version - g_rand_int_range (rand, 0, 2),
                                    g_rand_int_range (rand, 0, 9));
      GBytes *record = g_bytes_new_take (text, strlen (text));
      gint32 kind = g_rand_int_range (rand, 0, 10);
      if (kind < 2 && late != NULL)
        {
          g_bytes_unref (record);
          record = g_steal_pointer (&late);
        }
      else if (kind == 2 && i > 0)
        {
          g_bytes_unref (record);
          record = g_bytes_ref (stream->pdata[g_rand_int_range (rand, 0, (gint32)i)]);
        }
      if (late == NULL && fold.version > 0 && g_rand_int_range (rand, 0, 6) == 0)
        late = bt_fold_snapshot (&fold);
      gsize len;
      const char *data = g_bytes_get_data (record, &len);
      bt_fold_apply_record (&fold, i, data, len);
      g_ptr_array_add (stream, record);
    }
  g_clear_pointer (&late, g_bytes_unref);
  bt_fold_clear (&fold);
  return stream;
}

static void
fold_from (bt_fold_t *fold, const GPtrArray *stream, guint from)
{
  for (guint i = from; i < stream->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (stream->pdata[i], &len);
      bt_fold_apply_record (fold, i, data, len);
    }
}

/* Streams that readers are tried on, and cases for each: the readers of a case have read
   so many times KNOWN_STEP records before the deletion, and begin again at each
   FROM_STEP-th record or the ones between. One case for all readers of a stream, or for
   all that have read as much, ran out of its 4 s under the sanitizers beside load. */
#define STREAMS 4
#define KNOWN_STEP 29
#define FROM_STEP 3
#define PARTS (STREAM_RECORDS / KNOWN_STEP + 1)
#define SHARES 4
/* Parts in which enough is left of the stream for a snapshot to come in each case. */
#define PARTS_AGREEING (PARTS - 2)

/* Wherever a reader begins, it comes to the same version or waits for a snapshot. */
START_TEST (readers_agree_after_records_expired)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i / (PARTS * SHARES));
  GPtrArray *stream = random_stream (rand);
  bt_fold_t whole;
  bt_fold_init (&whole);
  fold_from (&whole, stream, 0);
  GBytes *wanted = bt_tables_to_bytes (whole.tables, FALSE);
  guint part = (guint)_i / SHARES % PARTS;
  guint share = (guint)_i % SHARES;
  guint known = part * KNOWN_STEP;
  guint agreed = 0;
  for (guint from = known + 1 + share * FROM_STEP; from < stream->len; from += SHARES * FROM_STEP)
    {
      bt_fold_t late;
      bt_fold_init (&late);
      for (guint i = 0; i < known; i++)
        {
          gsize len;
          const char *data = g_bytes_get_data (stream->pdata[i], &len);
          bt_fold_apply_record (&late, i, data, len);
        }
      gint64 before = late.version;
      bt_fold_skip_expired (&late, from);
      fold_from (&late, stream, from);
      if (late.gap_end >= 0)
        ck_assert_int_eq (late.version, before);
      else
        {
          GBytes *tables = bt_tables_to_bytes (late.tables, FALSE);
          ck_assert_int_eq (late.version, whole.version);
          ck_assert (g_bytes_equal (tables, wanted));
          g_bytes_unref (tables);
          agreed++;
        }
      bt_fold_clear (&late);
    }
  if (part < PARTS_AGREEING)
    ck_assert_uint_gt (agreed, 0);
  bt_fold_clear (&whole);
  g_bytes_unref (wanted);
  g_ptr_array_unref (stream);
  g_rand_free (rand);
}
END_TEST

/* Routes of the tables, of the edit's order, and of the tables after it. */
static const struct
{
  const char *order;
  const char *after;
} order_cases[] = {
  { "", "abc" },
  { "\"c\"", "cab" },
  { "\"c\",\"b\",\"a\"", "cba" },
  { "\"x\",\"b\"", "bac" },
  { "\"b\",\"b\",\"c\"", "bca" },
};

#define ROUTE(name)                                                                                \
  "{\"name\":\"" name "\",\"callers\":[\"c\"],\"team\":\"t\",\"class\":\"urgent\","                \
  "\"pool\":\"p\",\"idempotent\":true}"

static void
check_order (const bt_fold_t *fold, const char *names)
{
  for (guint i = 0; i < fold->tables->routes->len; i++)
    {
      const bt_route_t *route = fold->tables->routes->pdata[i];
      ck_assert_int_eq (route->name[0], names[i]);
    }
}

START_TEST (an_edit_orders_routes)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  const char *first = "{\"id\":\"1\",\"base\":0,\"author\":\"x\",\"put\":{\"pools\":["
                      "{\"name\":\"p\",\"vms\":[]}],\"routes\":[" ROUTE ("a") "," ROUTE (
                          "b") "," ROUTE ("c") "]}}";
  ck_assert_int_eq (bt_fold_apply_record (&fold, 0, first, strlen (first)), BT_VERDICT_ACCEPTED);
  char *edit = g_strdup_printf ("{\"id\":\"2\",\"base\":1,\"author\":\"x\",\"order\":[%s]}",
                                order_cases[_i].order);
  ck_assert_int_eq (bt_fold_apply_record (&fold, 1, edit, strlen (edit)), BT_VERDICT_ACCEPTED);
  check_order (&fold, order_cases[_i].after);

  /* A diff to the former order leads back to it. */
  bt_fold_t back;
  bt_fold_init (&back);
  bt_fold_apply_record (&back, 0, first, strlen (first));
  bt_edit_t *diff = bt_fold_diff (&fold, back.tables, "3", "x");
  GBytes *text = bt_schema_to_bytes (&bt_edit_schema, diff);
  gsize len;
  const char *data = g_bytes_get_data (text, &len);
  ck_assert_int_eq (bt_fold_apply_record (&fold, 2, data, len), BT_VERDICT_ACCEPTED);
  check_order (&fold, "abc");
  g_bytes_unref (text);
  bt_schema_free (&bt_edit_schema, diff);
  bt_fold_clear (&back);
  bt_fold_clear (&fold);
  g_free (edit);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("fold");
  tcase_add_loop_test (tests, edits_are_judged, 0, G_N_ELEMENTS (fold_cases));
  tcase_add_test (tests, a_version_never_goes_back);
  tcase_add_loop_test (tests, readers_agree_after_records_expired, 0, STREAMS * PARTS * SHARES);
  tcase_add_loop_test (tests, an_edit_orders_routes, 0, G_N_ELEMENTS (order_cases));
  return suite_run ("fold", tests);
}
