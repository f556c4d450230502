#include <glib/gstdio.h>
#include <string.h>

#include "libbamboothread/base/error.h"
#include "platform/json.h"
#include "platform/settings.h"
#include "platform/wire.h"
#include "tests/suite.h"

/* What the platform says, well formed and not, and what is made of it. */

static bts_route_t
route_new (void)
{
  bts_route_t route = { .name = "r",
                        .host = "a.example",
                        .prefix = "/q/",
                        .service = "main",
                        .priority = 1,
                        .attempts_max = 3,
                        .stretch = 2.0,
                        .objective_ms = 500 };
  return route;
}

#define ID "00c0ffee00c0ffee"

static const struct
{
  const char *body;
  gboolean ok;
} jobs[] = {
  { "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}", TRUE },
  { "{\"steps\":[{\"count\":2},{\"count\":1,\"after\":[0],\"gang\":true}]}", TRUE },
  { "{\"steps\":[{\"count\":1,\"estimate-ms\":12.0}],\"later-field\":{}}", TRUE },
  { "{\"steps\":[{\"count\":1}],\"repeat-count\":3,\"start-time-ms\":5,\"interval-ms\":9}", TRUE },
  { "", FALSE },
  { "{", FALSE },
  { "[]", FALSE },
  { "{}", FALSE },
  { "{\"steps\":[]}", FALSE },
  { "{\"steps\":{}}", FALSE },
  { "{\"steps\":[1]}", FALSE },
  { "{\"steps\":[{\"count\":0}]}", FALSE },
  { "{\"steps\":[{\"count\":-1}]}", FALSE },
  { "{\"steps\":[{\"count\":\"2\"}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"after\":[0]}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"after\":[7]}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"after\":\"0\"}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"gang\":1}]}", FALSE },
  { "{\"steps\":[{\"count\":100000}]}", FALSE },
  { "{\"spec\":7,\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"steps\":[{\"count\":1}],\"repeat-count\":4000000000}", FALSE },
  /* A spec that ends at a NUL on its way to a worker. */
  { "{\"spec\":\"a\\u0000b\",\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"requires\":\"a\\u0000b\"}]}", FALSE },
  /* A spec that can't be carried unchanged, as it has half a character. */
  { "{\"spec\":\"\\ud83d\",\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"spec\":\"\\ude00\",\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"spec\":\"\\ud83d\\ud83d\",\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"spec\":\"\\uD83D\\uDE00 \\\\ud83d\",\"steps\":[{\"count\":1}]}", TRUE },
  { "{\"s\\u0000\":1,\"steps\":[{\"count\":1}]}", TRUE },
  { "{\"spec\\u0000\":1,\"steps\":[{\"count\":1}]}", TRUE },
  { "{\"spec\":null,\"interval-ms\":null,\"steps\":[{\"count\":1,\"gang\":null,\"image\":null}]}",
    TRUE },
  { "{\"steps\":null}", FALSE },
  { "{\"steps\":[null]}", FALSE },
  { "{\"steps\":[{\"count\":null}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":null}]}", TRUE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[null]}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[0.0]}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[-1]}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[4294967296]}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[[0]]}]}", FALSE },
  { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":{\"0\":0}}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"spec\":7,\"steps\":[{}]}],\"count\":\"x\",\"after\":{}}", TRUE },
  { "{\"x\":{\"steps\":[{\"count\":0}]},\"steps\":[{\"count\":1,\"y\":[[{\"count\":0}]]}]}", TRUE },
  { "{\"x\":{\"steps\":[{\"count\":1}]}}", FALSE },
  { "{\"steps\":[{\"count\":1}],\"steps\":[{\"count\":1}]}", FALSE },
  { "{\"steps\":[{\"count\":1e0,\"cpu\":1.5e3}]}", TRUE },
  { "{\"steps\":[{\"count\":1,\"cpu\":4294967296}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"cpu\":1e400}]}", FALSE },
  { "{\"steps\":[{\"count\":99999999999999999999}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"gang\":\"true\"}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"image\":true}]}", FALSE },
  { "{\"steps\":[{\"count\":1,\"image\":{}}]}", FALSE },
  { "{\"steps\":[{\"count\":1}],\"spec\":\"\xc0\xaf\"}", FALSE },
  { "{\"steps\":[{\"count\":1}]}}", FALSE },
  { "{\"steps\":[{\"count\":1}]} {}", FALSE },
  { "{\"steps\":[{\"count\":1}]}\"", FALSE },
  { " {\"steps\":[{\"count\":1}]} \r\n", TRUE },
  { "{\"steps\":[{\"count\":1}]", FALSE },
  { "{\"steps\":[{\"count\":1}],\"x\":[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]}", FALSE },
  { "\"steps\"", FALSE },
  { "7", FALSE },
};

START_TEST (job_is_read_or_refused)
{
  bts_route_t route = route_new ();
  g_autoptr (GError) error = NULL;
  Bts__Accepted *job
      = pf_wire_parse_job (ID, &route, NULL, jobs[_i].body, strlen (jobs[_i].body), &error);
  ck_assert_int_eq (job != NULL, jobs[_i].ok);
  ck_assert_int_eq (error == NULL, jobs[_i].ok);
  if (job != NULL)
    bts__accepted__free_unpacked (job, NULL);
}
END_TEST

/* A job whose members the reader has to put where they belong. */
START_TEST (job_is_read_as_given)
{
  static const char body[]
      = "{\"steps\":[{\"count\":2,\"cpu\":500,\"mem-mb\":64,\"gpu\":3,\"estimate-ms\":70,"
        "\"requires\":\"ssd\",\"affinity\":\"r1\",\"image\":\"i\\u00e9\",\"anti-affinity\":4,"
        "\"target-ms\":90,\"may-miss\":0,\"checkpoints\":true,\"same-rack\":true,\"fills\":true},"
        "{\"count\":1,\"gang\":true,\"speculative\":true,\"long-running\":true,\"after\":[0]},"
        "{\"after\":[1,0],\"count\":1}],"
        "\"repeat-count\":3,\"start-time-ms\":1700000000000,\"interval-ms\":9,\"spec\":"
        "\"a\\n\\\"b\"}";
  bts_route_t route = route_new ();
  g_autoptr (GError) error = NULL;
  Bts__Accepted *job = pf_wire_parse_job (ID, &route, NULL, body, strlen (body), &error);
  ck_assert_ptr_nonnull (job);
  ck_assert_uint_eq (job->spec.len, 4);
  ck_assert_mem_eq (job->spec.data, "a\n\"b", 4);
  ck_assert_int_eq (job->first_due_ms, G_GINT64_CONSTANT (1700000000000));
  ck_assert_int_eq (job->interval_ms, 9);
  ck_assert_uint_eq (job->repeat, 3);
  ck_assert_uint_eq (job->n_steps, 3);
  const Bts__Step *a = job->steps[0];
  const Bts__Step *b = job->steps[1];
  const Bts__Step *c = job->steps[2];
  ck_assert (a->count == 2 && a->cpu_millis == 500 && a->memory_mb == 64 && a->gpus == 3);
  ck_assert (a->estimate_ms == 70 && a->per_worker_max == 4 && a->target_ms == 90);
  ck_assert (a->has_may_miss && a->may_miss == 0 && !b->has_may_miss);
  ck_assert_str_eq (a->label, "ssd");
  ck_assert_str_eq (a->rack, "r1");
  ck_assert_str_eq (a->image, "i\xc3\xa9");
  ck_assert_str_eq (b->label, "");
  ck_assert (a->checkpoints && a->same_rack && a->fills);
  ck_assert (!a->gang && !a->speculative && !a->long_running);
  ck_assert (b->gang && b->speculative && b->long_running);
  ck_assert (!b->checkpoints && !b->same_rack && !b->fills);
  ck_assert (a->n_after == 0 && b->n_after == 1 && c->n_after == 2);
  ck_assert (b->after[0] == 0 && c->after[0] == 1 && c->after[1] == 0);
  bts__accepted__free_unpacked (job, NULL);
}
END_TEST

#define ENTRY(rest)                                                                                \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\",\"capacity\":{\"cpu\":8000," \
  "\"mem-mb\":100,\"gpu\":0}" rest "}"

#define ADDRESS(address)                                                                           \
  "{\"service\":\"s\",\"address\":\"" address "\",\"state\":\"ready\",\"capacity\":{}}"
#define CAPACITY(cpu)                                                                              \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\",\"capacity\":{\"cpu\":" cpu  \
  "}}"

static const struct
{
  const char *text;
  gboolean ok;
} entries[] = {
  { ENTRY (""), TRUE },
  { ENTRY (",\"labels\":[\"a\",\"r1\"],\"born\":1700000000000"), TRUE },
  { ENTRY (",\"labels\":[1,null,\"a\"]"), TRUE },
  { ENTRY (",\"labels\":\"a\""), FALSE },
  { ENTRY (",\"born\":\"soon\""), FALSE },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}", FALSE },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"state\":\"ready\",\"capacity\":{}}", FALSE },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"odd\",\"capacity\":{}}", FALSE },
  { "{\"service\":5,\"address\":\"10.0.0.1:80\",\"state\":\"ready\",\"capacity\":{}}", FALSE },
  { "\xff\xfe", FALSE },
  { "null", FALSE },
  { ADDRESS ("10.0.0.1:1"), TRUE },
  { ADDRESS ("10.0.0.1:65535"), TRUE },
  { ADDRESS ("10.0.0.1:0"), FALSE },
  { ADDRESS ("10.0.0.1:65536"), FALSE },
  { ADDRESS ("10.0.0.1:65616"), FALSE },
  { ADDRESS ("10.0.0.1:-80"), FALSE },
  { ADDRESS ("10.0.0.1:18446744073709551696"), FALSE },
  { ADDRESS ("10.0.0.1:"), FALSE },
  { ADDRESS ("10.0.0.1:http"), FALSE },
  { ADDRESS ("10.0.0.256:80"), FALSE },
  { ADDRESS ("host.example:80"), FALSE },
  { ADDRESS (":80"), FALSE },
  { ADDRESS (""), FALSE },
  { ENTRY (",\"born\":1e300"), FALSE },
  { ENTRY (",\"born\":1e999"), FALSE },
  { ENTRY (",\"born\":-1"), FALSE },
  { ENTRY (",\"born\":99999999999999999999"), FALSE },
  { ENTRY (",\"remaining-ms\":1e19"), FALSE },
  { ENTRY (",\"remaining-ms\":-5"), TRUE },
  { ENTRY (",\"x\":[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]"), FALSE },
  { ENTRY (",\"x\":/*\"*/1"), FALSE },
  { CAPACITY ("4294967295"), TRUE },
  { CAPACITY ("4294967296"), FALSE },
  { CAPACITY ("1e30"), FALSE },
  { CAPACITY ("-1"), FALSE },
  { CAPACITY ("99999999999999999999"), FALSE },
};

/* Guards against a process that ends, waits or calls another worker for an odd entry. */
START_TEST (entry_is_read_or_passed_over)
{
  g_autoptr (GError) error = NULL;
  bts_worker_entry_t *entry
      = pf_wire_parse_worker_entry ("w", entries[_i].text, strlen (entries[_i].text), &error);
  ck_assert_int_eq (entry != NULL, entries[_i].ok);
  ck_assert_int_eq (error == NULL, entries[_i].ok);
  if (entry != NULL)
    bts_worker_entry_free (entry);
}
END_TEST

static const struct
{
  const char *id;
  gboolean ok;
} worker_ids[] = {
  { "i-0", TRUE },      { "caf\xc3\xa9", TRUE }, { "", FALSE },
  { "i-0\r\n", FALSE }, { "i\n0", FALSE },       { "\x7f", FALSE },
};

/* Guards against orders without the id of their worker, which any worker carries out. */
START_TEST (entry_has_an_id_that_orders_can_carry)
{
  g_autoptr (GError) error = NULL;
  bts_worker_entry_t *entry
      = pf_wire_parse_worker_entry (worker_ids[_i].id, ENTRY (""), strlen (ENTRY ("")), &error);
  ck_assert_int_eq (entry != NULL, worker_ids[_i].ok);
  ck_assert_int_eq (error == NULL, worker_ids[_i].ok);
  if (entry != NULL)
    bts_worker_entry_free (entry);
}
END_TEST

static const struct
{
  const char *a;
  const char *b;
  gboolean same;
} entry_pairs[] = {
  { "{\"state\":\"ready\",\"sequence\":7,\"x\":1}",
    "{\"state\":\"ready\",\"sequence\":108,\"x\":1}", TRUE },
  { "{\"sequence\":7}", "{\"sequence\":8}", TRUE },
  { "{\"clock-ms\":482113,\"sequence\":4}", "{\"clock-ms\":483613,\"sequence\":5}", TRUE },
  { "{\"clock-ms\":9,\"x\":1,\"sequence\":9}", "{\"clock-ms\":10,\"x\":1,\"sequence\":10}", TRUE },
  { "{\"clock-ms\":9,\"x\":1,\"sequence\":9}", "{\"clock-ms\":10,\"x\":2,\"sequence\":10}", FALSE },
  { "{\"sequence\": 7 }", "{\"sequence\": 18 }", TRUE },
  { "{\"remaining-ms\":9,\"sequence\":9}", "{\"remaining-ms\":8,\"sequence\":10}", FALSE },
  { "{\"sequence\":7}", "{\"sequence\":7", FALSE },
  { "{\"sequence\":7}", "{\"sequence\":7,\"clock-ms\":7}", FALSE },
  { "7", "8", FALSE },
  { "{\"sequence\":7,\"x\":1}", "{\"sequence\":7,\"x\":2}", FALSE },
  { "{\"state\":\"ready\",\"sequence\":7}", "{\"state\":\"draining\",\"sequence\":8}", FALSE },
  { "{\"sequence\":7}", "{\"sequence\":7,\"x\":1}", FALSE },
  { "{\"x\":1}", "{\"x\":1}", TRUE },
  { "{\"x\":1}", "{\"x\":12}", FALSE },
  { "{\"x\":1}", "{\"x\":1,\"sequence\":4}", FALSE },
  { "", "{}", FALSE },
};

START_TEST (entry_is_known_but_for_its_counts)
{
  ck_assert_int_eq (pf_wire_is_same_entry (entry_pairs[_i].a, strlen (entry_pairs[_i].a),
                                           entry_pairs[_i].b, strlen (entry_pairs[_i].b)),
                    entry_pairs[_i].same);
}
END_TEST

static const struct
{
  const char *text;
  gboolean ok;
} listings[] = {
  { "{\"clock-ms\":5,\"running\":[],\"finished\":[]}", TRUE },
  { "{\"clock-ms\":5}", TRUE },
  { "{\"clock-ms\":5,\"running\":[[\"" ID ".0.1.2\",2,\"\",41]]}", TRUE },
  { "{\"clock-ms\":5,\"finished\":[[58,\"" ID ".0.1.9\",1,\"done\",\"\"]]}", TRUE },
  { "{\"clock-ms\":5,\"finished\":[[58,\"" ID ".0.1.9\",1,\"odd\",\"\"]]}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[[58]]}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[7]}", FALSE },
  { "{\"clock-ms\":5,\"running\":[[1,2]]}", FALSE },
  { "{\"clock-ms\":5,\"running\":[[\"x\",-2]]}", FALSE },
  { "{\"clock-ms\":5,\"running\":[[\"x\",4294967295,\"\",1]]}", TRUE },
  { "{\"clock-ms\":5,\"running\":[[\"x\",4294967297,\"\",1]]}", FALSE },
  { "{\"clock-ms\":5,\"running\":[[\"x\",1,\"\",1e30]]}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[[58,\"x\",4294967297,\"done\",\"\"]]}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[[1e30,\"x\",1,\"done\",\"\"]]}", FALSE },
  { "{\"clock-ms\":1e30}", FALSE },
  { "{\"clock-ms\":\"5\"}", FALSE },
  { "{\"clock-ms\":5,\"running\":{}}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[[58,\"" ID ".0.1.9\",1]]}", FALSE },
  { "{\"clock-ms\":5,\"finished\":[[58,[1],1,\"done\",\"\"]]}", FALSE },
  { "{\"clock-ms\":5,\"running\":[[\"" ID ".0.1.2\",2,\"\",41,0.5]]}", TRUE },
  { "{\"clock-ms\":5,\"other\":{\"running\":[7]},\"running\":[]}", TRUE },
  { "{\"clock-ms\":5,\"running\":[[\"" ID ".0.1.2\",2,\"\",41]", FALSE },
  { "[]", FALSE },
  { "", FALSE },
};

/* A listing with an escape in it is read by the general parser; the same listing without, in
   place. */
static const struct
{
  const char *members;
} same_listings[] = {
  { "\"clock-ms\":482113,\"born\":1700000000123" },
  { "\"clock-ms\":5,\"running\":[[\"" ID ".0.1.2\",2,\"\",41],[\"" ID
    ".7.1.30\",3001,\"00000bb87a21d94b\",100,1250]],\"finished\":[]" },
  { "\"finished\":[[58,\"" ID ".0.1.9\",1,\"done\",\"\"],[59,\"" ID
    ".0.2.0\",7,\"lapsed\",\"ab\"]],\"clock-ms\":9,\"more\":[1,{\"a\":[2]}]" },
};

static const struct
{
  guint n_ends;
  gboolean is_partial;
} long_listings[] = { { 0, FALSE }, { 499, FALSE }, { 500, TRUE } };

/* Guards against a list that was cut off and is taken for the whole. */
START_TEST (listing_that_may_be_cut_off_is_partial)
{
  g_autoptr (GString) text = g_string_new ("{\"clock-ms\":5,\"finished\":[");
  for (guint i = 0; i < long_listings[_i].n_ends; i++)
    g_string_append_printf (text, "%s[%u,\"" ID ".0.1.%u\",1,\"done\",\"\"]", i == 0 ? "" : ",",
                            i + 1, i);
  g_string_append (text, "]}");
  bts_listing_t *listing = pf_wire_parse_listing (text->str, text->len, NULL);
  ck_assert_ptr_nonnull (listing);
  ck_assert_uint_eq (listing->finished->len, long_listings[_i].n_ends);
  ck_assert_int_eq (listing->is_partial, long_listings[_i].is_partial);
  bts_listing_free (listing);
}
END_TEST

START_TEST (listing_is_the_same_in_place)
{
  g_autofree char *plain = g_strdup_printf ("{%s}", same_listings[_i].members);
  g_autofree char *escaped
      = g_strdup_printf ("{%s,\"note\":\"\\u0041\"}", same_listings[_i].members);
  bts_listing_t *left = pf_wire_parse_listing (plain, strlen (plain), NULL);
  bts_listing_t *right = pf_wire_parse_listing (escaped, strlen (escaped), NULL);
  ck_assert_ptr_nonnull (left);
  ck_assert_ptr_nonnull (right);
  ck_assert_int_eq (left->clock_ms, right->clock_ms);
  ck_assert_int_eq (left->started_ms, right->started_ms);
  ck_assert_uint_eq (left->running->len, right->running->len);
  ck_assert_uint_eq (left->finished->len, right->finished->len);
  for (guint i = 0; i < left->running->len; i++)
    {
      const bts_listed_run_t *a = left->running->pdata[i];
      const bts_listed_run_t *b = right->running->pdata[i];
      ck_assert_str_eq (a->name, b->name);
      ck_assert_str_eq (a->checkpoint, b->checkpoint);
      ck_assert_uint_eq (a->number, b->number);
      ck_assert_uint_eq (a->percent, b->percent);
    }
  for (guint i = 0; i < left->finished->len; i++)
    {
      const bts_listed_end_t *a = left->finished->pdata[i];
      const bts_listed_end_t *b = right->finished->pdata[i];
      ck_assert_str_eq (a->name, b->name);
      ck_assert_str_eq (a->checkpoint, b->checkpoint);
      ck_assert_uint_eq (a->number, b->number);
      ck_assert_uint_eq (a->seq, b->seq);
      ck_assert_int_eq (a->outcome, b->outcome);
    }
  bts_listing_free (left);
  bts_listing_free (right);
}
END_TEST

/* Bytes that matter to a parser, with the NUL at the end. */
static const char damage[] = "[]{},:\"\\019-.etf\n\x80";

/* Bytes replaced, removed and cut off at random. Whatever comes of it, the process goes on, and it
   is either a listing or an error. */
START_TEST (damaged_listing_is_read_or_refused)
{
  GRand *random = g_rand_new_with_seed ((guint32)_i + 1);
  for (guint round = 0; round < 4000; round++)
    {
      const char *members = same_listings[round % G_N_ELEMENTS (same_listings)].members;
      g_autoptr (GString) text = g_string_new ("{");
      g_string_append_printf (text, "%s}", members);
      guint n_changes = (guint)g_rand_int_range (random, 1, 6);
      for (guint i = 0; i < n_changes && text->len > 1; i++)
        {
          gint at = g_rand_int_range (random, 0, (gint32)text->len);
          switch (g_rand_int_range (random, 0, 4))
            {
            case 0:
              text->str[at] = damage[g_rand_int_range (random, 0, G_N_ELEMENTS (damage))];
              break;
            case 1:
              g_string_erase (text, at, 1);
              break;
            case 2:
              g_string_truncate (text, (gsize)at);
              break;
            default:
              g_string_insert_c (text, at, text->str[g_rand_int_range (random, 0, 3) % text->len]);
            }
        }
      g_autoptr (GError) error = NULL;
      g_autofree char *exact = g_memdup2 (text->str, MAX (text->len, 1));
      bts_listing_t *listing = pf_wire_parse_listing (exact, text->len, &error);
      ck_assert_int_eq (listing == NULL, error != NULL);
      bts_listing_free (listing);
    }
  g_rand_free (random);
}
END_TEST

START_TEST (listing_is_read_or_refused)
{
  g_autoptr (GError) error = NULL;
  bts_listing_t *listing
      = pf_wire_parse_listing (listings[_i].text, strlen (listings[_i].text), &error);
  ck_assert_int_eq (listing != NULL, listings[_i].ok);
  ck_assert_int_eq (error == NULL, listings[_i].ok);
  bts_listing_free (listing);
}
END_TEST

static const struct
{
  int status;
  const char *body;
  bts_reply_t reply;
  gint64 clock_ms;
} replies[] = {
  { 200, "{\"clock-ms\":77}", BTS_REPLY_OK, 77 },
  { 200, "{\"clock-ms\": 77 }", BTS_REPLY_OK, 77 },
  { 200, "{\"clock-ms\":12345678901234}", BTS_REPLY_OK, 12345678901234 },
  { 200, "{\"clock-ms\":7.5}", BTS_REPLY_OK, 7 },
  { 200, "{\"clock-ms\":-7}", BTS_REPLY_OK, -7 },
  { 200, "{\"clock-ms\":}", BTS_REPLY_OK, 0 },
  { 200, "{\"clock-ms\":77,\"born\":5}", BTS_REPLY_OK, 77 },
  { 200, "", BTS_REPLY_OK, 0 },
  { 409, "{\"clock-ms\":77,\"reason\":\"fence\"}", BTS_REPLY_FENCED, 77 },
  { 409, "{\"clock-ms\":77,\"reason\":\"old\"}", BTS_REPLY_STALE_RUN, 77 },
  { 409, "{\"reason\":\"late\"}", BTS_REPLY_LEASE_EXPIRED, 0 },
  { 409, "{\"reason\":\"room\"}", BTS_REPLY_NO_ROOM, 0 },
  { 409, "{\"reason\":\"ticket\"}", BTS_REPLY_BAD_TICKET, 0 },
  { 409, "{\"reason\":\"odd\"}", BTS_REPLY_INVALID, 0 },
  { 409, "{\"reason\":5}", BTS_REPLY_INVALID, 0 },
  { 409, "not json", BTS_REPLY_INVALID, 0 },
  { 400, "", BTS_REPLY_INVALID, 0 },
  { 421, "", BTS_REPLY_WRONG_WORKER, 0 },
  { 429, "", BTS_REPLY_BUSY, 0 },
  { 503, "", BTS_REPLY_BUSY, 0 },
  { -1, "", BTS_REPLY_BUSY, 0 },
  { 0, "", BTS_REPLY_NO_ANSWER, 0 },
  { 500, "", BTS_REPLY_NO_ANSWER, 0 },
  { 302, "", BTS_REPLY_NO_ANSWER, 0 },
};

START_TEST (reply_is_told_apart)
{
  gint64 clock_ms = -1;
  bts_reply_t reply = pf_wire_parse_reply (replies[_i].status, replies[_i].body,
                                           strlen (replies[_i].body), &clock_ms);
  ck_assert_int_eq (reply, replies[_i].reply);
  ck_assert_int_eq (clock_ms, replies[_i].clock_ms);
}
END_TEST

static const struct
{
  const char *spec;
  const char *checkpoint;
  const char *ticket;
  const char *body;
} starts[] = {
  { "(text)", NULL, NULL,
    "{\"task\":\"0123456789abcdef.0.1.17\",\"run\":2,\"fence\":7,\"spec\":\"(text)\","
    "\"deadline-ms\":486000}" },
  { "", "00ab", "t-1",
    "{\"task\":\"0123456789abcdef.0.1.17\",\"run\":2,\"fence\":7,\"spec\":\"\","
    "\"deadline-ms\":486000,\"checkpoint\":\"00ab\",\"token\":\"t-1\"}" },
  { "a\"b\\c\nd\x7f\u00e9/", "\\", "\"", NULL },
  { "\"\"", "", "", NULL },
};

static void
check_string (JsonObject *object, const char *name, const char *expected)
{
  ck_assert_int_eq (json_object_has_member (object, name), expected != NULL);
  if (expected != NULL)
    ck_assert_str_eq (json_object_get_string_member (object, name), expected);
}

START_TEST (start_is_written_as_any_parser_reads_it)
{
  Bts__Accepted accepted = BTS__ACCEPTED__INIT;
  accepted.spec.data = (guint8 *)starts[_i].spec;
  accepted.spec.len = strlen (starts[_i].spec);
  bts_job_t job = { .accepted = &accepted };
  bts_stage_t stage = { .job = &job };
  bts_task_t task = { .stage = &stage };
  bts_run_t run = { .task = &task, .name = (char *)"0123456789abcdef.0.1.17", .number = 2 };
  run.checkpoint = (char *)starts[_i].checkpoint;
  bts_start_order_t order = { .fence = 7, .deadline_ms = 486000, .ticket = starts[_i].ticket };
  g_autofree char *body = pf_wire_format_start (&run, &order);
  if (starts[_i].body != NULL)
    ck_assert_str_eq (body, starts[_i].body);
  g_autoptr (JsonNode) node = pf_json_parse (body, strlen (body), NULL);
  ck_assert_ptr_nonnull (node);
  JsonObject *object = json_node_get_object (node);
  check_string (object, "task", run.name);
  check_string (object, "spec", starts[_i].spec);
  check_string (object, "checkpoint", starts[_i].checkpoint);
  check_string (object, "token", starts[_i].ticket);
  ck_assert_int_eq (json_object_get_int_member (object, "run"), 2);
  ck_assert_int_eq (json_object_get_int_member (object, "fence"), 7);
  ck_assert_int_eq (json_object_get_int_member (object, "deadline-ms"), 486000);
  g_autofree char *stop = pf_wire_format_stop (&run, 7);
  ck_assert_str_eq (stop, "{\"task\":\"0123456789abcdef.0.1.17\",\"run\":2,\"fence\":7}");
}
END_TEST

#define ROUTE                                                                                      \
  "{\"name\":\"r\",\"host\":\"A.Example\",\"path-prefix\":\"/q/\",\"service\":\"s\","              \
  "\"priority\":2,\"max-attempts\":4,\"stretch\":1.5,\"target-latency-ms\":300"

static const struct
{
  const char *text;
  gboolean ok;
  guint routes;
} manifests[] = {
  { "{\"version\":7,\"routes\":[" ROUTE "}],\"services\":[]}", TRUE, 1 },
  { "{\"version\":7,\"routes\":[" ROUTE ",\"recommendation\":{\"decision-ms\":1.5}}]}", TRUE, 1 },
  { "{\"version\":7}", TRUE, 0 },
  { "{\"routes\":[]}", FALSE, 0 },
  { "{\"version\":0}", FALSE, 0 },
  { "{\"version\":7,\"routes\":[{}]}", FALSE, 0 },
  { "{\"version\":7,\"routes\":[3]}", FALSE, 0 },
  { "{\"version\":7,\"routes\":{}}", FALSE, 0 },
  { "{\"version\":7,\"limits\":5}", FALSE, 0 },
  { "no", FALSE, 0 },
};

START_TEST (tables_are_read_or_refused)
{
  g_autoptr (GError) error = NULL;
  bts_tables_t *manifest
      = pf_wire_parse_tables (manifests[_i].text, strlen (manifests[_i].text), &error);
  ck_assert_int_eq (manifest != NULL, manifests[_i].ok);
  ck_assert_int_eq (error == NULL, manifests[_i].ok);
  if (manifest != NULL)
    ck_assert_uint_eq (manifest->routes->len, manifests[_i].routes);
  bts_tables_free (manifest);
}
END_TEST

static const struct
{
  const char *host;
  const char *path;
  const char *route;
} lookups[] = {
  { "a.example", "/q/" ID, "short" }, { "a.example", "/q/long/" ID, "long" },
  { "a.example", "/other/", NULL },   { "b.example", "/q/" ID, NULL },
  { "a.example", "/q", NULL },        { "a.example", "/q/", "short" },
};

START_TEST (longest_prefix_wins)
{
  bts_tables_t *manifest = bts_tables_new ();
  static const char *const prefixes[][2] = { { "short", "/q/" }, { "long", "/q/long/" } };
  for (guint i = 0; i < G_N_ELEMENTS (prefixes); i++)
    {
      bts_route_t *route = g_new0 (bts_route_t, 1);
      route->name = g_strdup (prefixes[i][0]);
      route->host = g_strdup ("a.example");
      route->prefix = g_strdup (prefixes[i][1]);
      g_ptr_array_add (manifest->routes, route);
    }
  const bts_route_t *found = bts_tables_find_route (manifest, lookups[_i].host, lookups[_i].path);
  ck_assert_pstr_eq (found == NULL ? NULL : found->name, lookups[_i].route);
  bts_tables_free (manifest);
}
END_TEST

/* What settings can't lack. */
#define NEEDED                                                                                     \
  "{\"node\":\"n\",\"listen\":{\"front\":\"1.1.1.1:1\",\"ready\":\"1.1.1.1:2\"},"                  \
  "\"platform\":{\"address\":\"1.1.1.1:3\"}"

static const struct
{
  const char *text;
  gboolean ok;
  const char *messages;
  guint cpu_millis;
  guint tables_max_age_ms;
  gboolean interference;
  guint urgent_quota_percent;
} settings_files[] = {
  { NEEDED "}", TRUE, NULL, 1000, 3500 },
  { NEEDED ",\"bounds\":{\"apply-ms\":2500}}", TRUE, NULL, 1000, 2000 },
  { NEEDED ",\"bounds\":{\"apply-ms\":100}}", TRUE, NULL, 1000, 1000 },
  { NEEDED ",\"tables-max-age-ms\":3000}", TRUE, NULL, 1000, 3000 },
  { NEEDED ",\"tables-max-age-ms\":999}", FALSE },
  { NEEDED ",\"tables-max-age-ms\":4000}", FALSE },
  { NEEDED ",\"tables-max-age-ms\":\"long\"}", FALSE },
  { NEEDED ",\"ip\":\"1.1.1.1\",\"port-range\":[7380,7395],"
           "\"limits\":{\"cpu-share\":0.12,\"cores\":1}}",
    TRUE, "1.1.1.1:7380", 120 },
  { NEEDED ",\"ip\":\"1.1.1.1\",\"port-range\":[],\"limits\":{\"cpu-share\":0.5,\"cores\":4}}",
    TRUE, NULL, 2000 },
  { NEEDED ",\"interference\":true}", TRUE, NULL, 1000, 3500, TRUE },
  { NEEDED ",\"interference\":false}", TRUE, NULL, 1000, 3500, FALSE },
  { NEEDED ",\"urgent-quota-percent\":0}", TRUE, NULL, 1000, 3500, FALSE, 0 },
  { NEEDED ",\"urgent-quota-percent\":50}", TRUE, NULL, 1000, 3500, FALSE, 50 },
  { NEEDED ",\"urgent-quota-percent\":51}", FALSE },
  { NEEDED ",\"urgent-quota-percent\":-1}", FALSE },
  { NEEDED ",\"urgent-quota-percent\":\"most\"}", FALSE },
  { NEEDED ",\"interference\":\"on\"}", FALSE },
  { NEEDED ",\"interference\":1}", FALSE },
  { NEEDED ",\"limits\":{\"cpu-share\":\"half\"}}", FALSE },
  { NEEDED ",\"port-range\":7380}", FALSE },
  { "{\"node\":\"n\",\"listen\":{\"front\":\"1.1.1.1:1\"},\"platform\":{\"address\":\"x:3\"}}",
    FALSE },
  { "{\"node\":\"n\",\"listen\":5}", FALSE },
  { "{\"node\":\"n\",\"heartbeat-ms\":\"often\"}", FALSE },
  { NEEDED ",\"limits\":{\"memory-mb\":\"90\"}}", FALSE },
  { NEEDED ",\"client-limits\":{\"header-bytes\":100}}", FALSE },
  { NEEDED ",\"client-limits\":{\"body-bytes\":262143}}", FALSE },
  { NEEDED ",\"client-limits\":{\"memory-mb\":0}}", FALSE },
  { NEEDED ",\"client-limits\":{\"work-percent\":100}}", FALSE },
  { NEEDED ",\"client-limits\":{\"connections\":-1}}", FALSE },
  { NEEDED ",\"client-limits\":7}", FALSE },
  { "", FALSE },
};

/* The budget for clients that follows from the limits of the process. */
static const struct
{
  const char *more;
  gsize memory_mb;
  guint connections;
} budgets[] = {
  { "", 22, 0 },
  { ",\"limits\":{\"memory-mb\":90,\"max-fds\":400}", 22, 100 },
  { ",\"limits\":{\"memory-mb\":260,\"max-fds\":600}", 64, 200 },
  { ",\"limits\":{\"memory-mb\":512,\"max-fds\":100}", 64, 16 },
  { ",\"limits\":{\"memory-mb\":1,\"max-fds\":0}", 4, 16 },
  { ",\"limits\":{\"memory-mb\":512,\"max-fds\":600},"
    "\"client-limits\":{\"memory-mb\":99,\"connections\":33}",
    99, 33 },
};

#define TENANTS(list) "{\"version\":3,\"tenants\":" list "}"
#define ACME "{\"name\":\"acme\",\"api-keys\":[\"k1\",\"k2\"],\"weight\":23"

static const struct
{
  const char *text;
  gboolean ok;
  const char *key;
  const char *tenant;
  gint64 cap_gpus;
} tenant_lists[] = {
  { TENANTS ("[" ACME ",\"cap\":{\"cpu\":6441832,\"mem-mb\":20270371,\"gpu\":361}}]"), TRUE, "k2",
    "acme", 361 },
  { TENANTS ("[" ACME "}]"), TRUE, "k1", "acme", 0 },
  { TENANTS ("[" ACME "}]"), TRUE, "k3", NULL, 0 },
  { TENANTS ("[" ACME "}]"), TRUE, "", NULL, 0 },
  { TENANTS ("[" ACME "}]"), TRUE, NULL, NULL, 0 },
  { TENANTS ("[" ACME "},{\"name\":\"b\",\"api-keys\":[\"k1\",\"k9\"]}]"), TRUE, "k9", "b", 0 },
  { TENANTS ("[" ACME "},{\"name\":\"b\",\"api-keys\":[\"k1\"]}]"), TRUE, "k1", "acme", 0 },
  { TENANTS ("[{\"name\":\"acme\"}]"), TRUE, "k1", NULL, 0 },
  { TENANTS ("[]"), TRUE, "k1", NULL, 0 },
  { TENANTS ("[{\"api-keys\":[\"k1\"]}]"), FALSE },
  { TENANTS ("[{\"name\":\"acme\",\"api-keys\":[7]}]"), FALSE },
  { TENANTS ("[" ACME ",\"cap\":7}]"), FALSE },
  { TENANTS ("[7]"), FALSE },
  { TENANTS ("{}"), FALSE },
};

/* Guards against a key that is accepted for another tenant, or for none. */
START_TEST (key_belongs_to_its_tenant)
{
  g_autoptr (GError) error = NULL;
  bts_tables_t *tables
      = pf_wire_parse_tables (tenant_lists[_i].text, strlen (tenant_lists[_i].text), &error);
  ck_assert_int_eq (tables != NULL, tenant_lists[_i].ok);
  ck_assert_int_eq (error == NULL, tenant_lists[_i].ok);
  if (tables == NULL)
    return;
  const bts_tenant_t *tenant = bts_tenants_find_by_key (tables->tenants, tenant_lists[_i].key);
  ck_assert_pstr_eq (tenant == NULL ? NULL : tenant->name, tenant_lists[_i].tenant);
  if (tenant != NULL)
    ck_assert_int_eq (tenant->cap_gpus, tenant_lists[_i].cap_gpus);
  bts_tables_free (tables);
}
END_TEST

static pf_settings_t *
load_settings (const char *text, GError **error)
{
  g_autofree char *file = NULL;
  int fd = g_file_open_tmp ("bamboothread-settings-XXXXXX", &file, NULL);
  ck_assert_int_ge (fd, 0);
  g_close (fd, NULL);
  ck_assert (g_file_set_contents (file, text, -1, NULL));
  pf_settings_t *settings = pf_settings_load (file, error);
  g_remove (file);
  return settings;
}

/* Guards against a budget that leaves the process itself, workers or the store too little. */
START_TEST (budget_follows_from_the_limits)
{
  g_autofree char *text = g_strconcat (NEEDED, budgets[_i].more, "}", NULL);
  pf_settings_t *settings = load_settings (text, NULL);
  ck_assert_ptr_nonnull (settings);
  const pf_client_bounds_t *bounds = &settings->client_limits.bounds;
  ck_assert_uint_eq (bounds->memory_bytes, budgets[_i].memory_mb * 1000 * 1000);
  if (budgets[_i].connections > 0)
    ck_assert_uint_eq (bounds->connections_max, budgets[_i].connections);
  ck_assert_uint_eq (settings->client_limits.header_max_bytes, 16384);
  ck_assert_uint_eq (settings->client_limits.body_max_bytes, 262144);
  pf_settings_free (settings);
}
END_TEST

START_TEST (settings_are_checked)
{
  g_autoptr (GError) error = NULL;
  pf_settings_t *settings = load_settings (settings_files[_i].text, &error);
  ck_assert_int_eq (settings != NULL, settings_files[_i].ok);
  ck_assert_int_eq (error == NULL, settings_files[_i].ok);
  if (settings != NULL)
    {
      ck_assert_pstr_eq (settings->message_address, settings_files[_i].messages);
      ck_assert_uint_eq (settings->cpu_millis, settings_files[_i].cpu_millis);
      if (settings_files[_i].tables_max_age_ms != 0)
        ck_assert_uint_eq (settings->tables_max_age_ms, settings_files[_i].tables_max_age_ms);
      ck_assert_int_eq (settings->interference, settings_files[_i].interference);
      ck_assert_uint_eq (settings->urgent_quota_percent,
                         strstr (settings_files[_i].text, "urgent-quota-percent") == NULL
                             ? 25
                             : settings_files[_i].urgent_quota_percent);
    }
  pf_settings_free (settings);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("platform");
  tcase_add_loop_test (tests, job_is_read_or_refused, 0, G_N_ELEMENTS (jobs));
  tcase_add_test (tests, job_is_read_as_given);
  tcase_add_loop_test (tests, entry_is_read_or_passed_over, 0, G_N_ELEMENTS (entries));
  tcase_add_loop_test (tests, entry_has_an_id_that_orders_can_carry, 0, G_N_ELEMENTS (worker_ids));
  tcase_add_loop_test (tests, entry_is_known_but_for_its_counts, 0, G_N_ELEMENTS (entry_pairs));
  tcase_add_loop_test (tests, listing_is_read_or_refused, 0, G_N_ELEMENTS (listings));
  tcase_add_loop_test (tests, damaged_listing_is_read_or_refused, 0, 8);
  tcase_add_loop_test (tests, listing_that_may_be_cut_off_is_partial, 0,
                       G_N_ELEMENTS (long_listings));
  tcase_add_loop_test (tests, listing_is_the_same_in_place, 0, G_N_ELEMENTS (same_listings));
  tcase_add_loop_test (tests, reply_is_told_apart, 0, G_N_ELEMENTS (replies));
  tcase_add_loop_test (tests, start_is_written_as_any_parser_reads_it, 0, G_N_ELEMENTS (starts));
  tcase_add_loop_test (tests, tables_are_read_or_refused, 0, G_N_ELEMENTS (manifests));
  tcase_add_loop_test (tests, longest_prefix_wins, 0, G_N_ELEMENTS (lookups));
  tcase_add_loop_test (tests, key_belongs_to_its_tenant, 0, G_N_ELEMENTS (tenant_lists));
  tcase_add_loop_test (tests, settings_are_checked, 0, G_N_ELEMENTS (settings_files));
  tcase_add_loop_test (tests, budget_follows_from_the_limits, 0, G_N_ELEMENTS (budgets));
  return suite_run ("platform", tests);
}
