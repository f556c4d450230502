#include <string.h>

#include "libbamboothread/scheduler/relay_server.h"
#include "libbamboothread/scheduler/relay_client.h"
#include "tests/suite.h"

/*
 * Processes that relay the journal to others of their region, each part by itself on a paused
 * clock.
 */

#define NOW_US (1000 * G_USEC_PER_SEC)
#define RECORD_BYTES 1000
#define REGION "north"

/**
 * struct scene_t - a server, and what it has replied last
 * @replies: number of replies
 * @refusals: number of those that refuse
 * @packed: the last one that doesn't; NULL if there is none
 * @is_replaying: requests are of a process that replays the journal
 */
typedef struct
{
  bt_clock_t clock;
  bts_relay_server_t *server;
  guint replies;
  guint refusals;
  GBytes *packed;
  gboolean is_replaying;
} scene_t;

static void
on_reply (void *context, guint64 exchange, const Bts__Reply *reply)
{
  scene_t *scene = context;
  scene->replies++;
  scene->refusals += reply == NULL;
  g_clear_pointer (&scene->packed, g_bytes_unref);
  if (reply == NULL)
    return;
  gsize len = bts__reply__get_packed_size (reply);
  guint8 *data = g_malloc (len);
  bts__reply__pack (reply, data);
  scene->packed = g_bytes_new_take (data, len);
}

static void
scene_init (scene_t *scene)
{
  *scene = (scene_t){ 0 };
  bt_clock_init_paused (&scene->clock, NOW_US);
  scene->server = bts_relay_server_new (&scene->clock, on_reply, scene);
}

static void
scene_clear (scene_t *scene)
{
  bts_relay_server_free (scene->server);
  g_clear_pointer (&scene->packed, g_bytes_unref);
}

static Bts__Reply *
last_reply (const scene_t *scene)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (scene->packed, &len);
  return bts__reply__unpack (NULL, len, data);
}

static void
add_records (scene_t *scene, gint64 first, guint n)
{
  guint8 data[RECORD_BYTES] = { 0 };
  for (guint i = 0; i < n; i++)
    {
      memcpy (data, &(gint64){ first + i }, sizeof (gint64));
      bts_relay_server_on_record (scene->server, first + i, data, sizeof data);
    }
}

static void
read_records (scene_t *scene, gint64 first, guint n, gboolean caught_up, gint64 sent_us)
{
  add_records (scene, first, n);
  bts_relay_server_on_read (scene->server, caught_up, sent_us);
}

static void
request (scene_t *scene, gint64 from, guint max_kb, guint wait_ms)
{
  Bts__Read read = BTS__READ__INIT;
  read.from = from;
  read.max_kb = max_kb;
  read.wait_ms = wait_ms;
  read.is_replaying = scene->is_replaying;
  bts_relay_server_on_request (scene->server, 1, &read);
}

/**
 * enum answer_t - what becomes of a request
 */
typedef enum
{
  REFUSED,
  WAITS,
  ANSWERED,
} answer_t;

/* Records 10 to 29 were read in two reads, and the request comes @age_ms after the last of them. */
static const struct
{
  const char *name;
  gboolean is_open;
  gint64 from;
  guint max_kb;
  gint64 age_ms;
  answer_t answer;
  guint n_records;
  gboolean caught_up;
} requests[] = {
  { "closed", FALSE, 10, 128, 10, REFUSED, 0, FALSE },
  { "all", TRUE, 10, 128, 10, ANSWERED, 20, TRUE },
  { "within_a_read", TRUE, 15, 128, 10, ANSWERED, 15, TRUE },
  { "no_more_than_asked_for", TRUE, 10, 4, 10, ANSWERED, 4, FALSE },
  { "one_record_that_is_larger", TRUE, 10, 0, 10, ANSWERED, 1, FALSE },
  { "at_the_end", TRUE, 30, 128, 10, WAITS, 0, FALSE },
  { "before_the_first", TRUE, 9, 128, 10, REFUSED, 0, FALSE },
  { "beyond_the_end", TRUE, 31, 128, 10, REFUSED, 0, FALSE },
  { "reads_have_stopped", TRUE, 10, 128, 2000, REFUSED, 0, FALSE },
};

/* Guards against records that are left out or relayed twice, and against answers from a process
   that can't read the log itself. */
START_TEST (request_gets_the_records_that_follow)
{
  scene_t scene;
  scene_init (&scene);
  bts_relay_server_set_open (scene.server, requests[_i].is_open, BTS_RELAY_MAX_BYTES);
  read_records (&scene, 10, 10, FALSE, NOW_US);
  read_records (&scene, 20, 10, TRUE, NOW_US);
  bt_clock_advance (&scene.clock, requests[_i].age_ms * 1000);
  request (&scene, requests[_i].from, requests[_i].max_kb, 100);
  ck_assert_uint_eq (scene.replies, requests[_i].answer != WAITS);
  ck_assert_uint_eq (scene.refusals, requests[_i].answer == REFUSED);
  if (requests[_i].answer == ANSWERED)
    {
      Bts__Reply *reply = last_reply (&scene);
      const Bts__Records *records = reply->records;
      ck_assert_uint_eq (records->records.len, requests[_i].n_records * (RECORD_BYTES + 4));
      ck_assert_int_eq (records->caught_up, requests[_i].caught_up);
      gint64 offset;
      memcpy (&offset, records->records.data + 4, sizeof offset);
      ck_assert_int_eq (offset, requests[_i].from);
      bts__reply__free_unpacked (reply, NULL);
    }
  scene_clear (&scene);
}
END_TEST

static void
read_more (scene_t *scene)
{
  read_records (scene, 1, 1, TRUE, bt_clock_now (&scene->clock));
}

static void
read_nothing (scene_t *scene)
{
  bts_relay_server_on_read (scene->server, TRUE, bt_clock_now (&scene->clock));
}

static void
skip_records (scene_t *scene)
{
  read_records (scene, 5, 1, TRUE, bt_clock_now (&scene->clock));
}

static void
close_feed (scene_t *scene)
{
  bts_relay_server_set_open (scene->server, FALSE, BTS_RELAY_MAX_BYTES);
}

static void
stop_reading (scene_t *scene)
{
  bt_clock_advance (&scene->clock, 2000 * 1000);
  bts_relay_server_tick (scene->server);
}

static void
wait_long (scene_t *scene)
{
  bt_clock_advance (&scene->clock, BTS_RELAY_WAIT_MAX_MS * 1000);
  bts_relay_server_tick (scene->server);
}

static const struct
{
  void (*happens) (scene_t *scene);
  answer_t answer;
} waits[] = {
  { read_more, ANSWERED }, { read_nothing, WAITS },   { skip_records, REFUSED },
  { close_feed, REFUSED }, { stop_reading, REFUSED }, { wait_long, ANSWERED },
};

/* A process that has read up to record @from asks one that has read up to record 10. */
static const struct
{
  gint64 from;
  gboolean is_replaying;
  gboolean has_caught_up;
  answer_t answer;
} ahead[] = {
  { 20, TRUE, FALSE, WAITS },
  { 20, FALSE, FALSE, REFUSED },
  { 20, TRUE, TRUE, REFUSED },
};

/* Guards against processes that lose power together and all read the log, as none of them is as far
   as another one. */
START_TEST (process_that_replays_waits_for_another)
{
  scene_t scene;
  scene_init (&scene);
  scene.is_replaying = ahead[_i].is_replaying;
  bts_relay_server_set_open (scene.server, TRUE, BTS_RELAY_MAX_BYTES);
  read_records (&scene, 0, 10, ahead[_i].has_caught_up, NOW_US);
  request (&scene, ahead[_i].from, 128, 300);
  ck_assert_uint_eq (scene.replies, ahead[_i].answer != WAITS);
  ck_assert_uint_eq (scene.refusals, ahead[_i].answer == REFUSED);
  read_records (&scene, 10, 5, FALSE, NOW_US);
  ck_assert_uint_eq (scene.replies, ahead[_i].answer != WAITS);
  read_records (&scene, 15, 20, FALSE, NOW_US);
  ck_assert_uint_eq (scene.replies, 1);
  scene_clear (&scene);
}
END_TEST

/* Guards against a request that is never replied to. */
START_TEST (request_that_waits_gets_a_reply)
{
  scene_t scene;
  scene_init (&scene);
  bts_relay_server_set_open (scene.server, TRUE, BTS_RELAY_MAX_BYTES);
  read_records (&scene, 0, 1, TRUE, NOW_US);
  request (&scene, 1, 128, 60000);
  ck_assert_uint_eq (scene.replies, 0);
  waits[_i].happens (&scene);
  ck_assert_uint_eq (scene.replies, waits[_i].answer != WAITS);
  ck_assert_uint_eq (scene.refusals, waits[_i].answer == REFUSED);
  scene_clear (&scene);
}
END_TEST

/* Guards against a process whose memory grows with the journal that it relays, or reads through a
   relay (_i = 1) while it replays. */
START_TEST (records_that_are_kept_are_bounded)
{
  scene_t scene;
  scene_init (&scene);
  bts_relay_server_set_open (scene.server, TRUE, BTS_RELAY_MAX_BYTES);
  for (guint i = 0; i < 200; i++)
    if (_i == 0)
      read_records (&scene, i * 100, 100, TRUE, NOW_US);
    else
      add_records (&scene, i * 100, 100);
  ck_assert_uint_le (bts_relay_server_bytes (scene.server), BTS_RELAY_MAX_BYTES);
  bts_relay_server_on_read (scene.server, TRUE, NOW_US);
  request (&scene, 0, 128, 0);
  ck_assert_uint_eq (scene.refusals, 1);
  request (&scene, 19900, 128, 0);
  ck_assert_uint_eq (scene.refusals, 1);
  scene_clear (&scene);
}
END_TEST

/**
 * struct sent_t - messages that a client has sent, and the reads that it has reported
 */
typedef struct
{
  GString *addresses;
  Bts__Read last;
  gboolean has_failed;
  bts_relay_read_t read;
} sent_t;

static void
client_send (void *context, const char *address, const Bts__Message *message, guint timeout_ms)
{
  sent_t *sent = context;
  g_string_append (sent->addresses, address);
  sent->last = *message->read;
}

static void
client_done (void *context, const bts_relay_read_t *read)
{
  sent_t *sent = context;
  sent->has_failed = read == NULL;
  if (read != NULL)
    sent->read = *read;
}

static const bts_relay_client_ops_t client_ops = { client_send, client_done };

static gboolean
client_read (bts_relay_client_t *client, const GPtrArray *relays, gint64 from, gint64 now_us)
{
  Bts__Read read = BTS__READ__INIT;
  read.from = from;
  read.max_kb = 128;
  read.wait_ms = 300;
  read.sent_us = now_us;
  return bts_relay_client_read (client, relays, &read);
}

static void
add_member (bts_members_t *members, const char *name, const char *region, guint cpu_millis,
            gint64 seen_us)
{
  g_autofree char *node = g_strdup_printf ("%s/1", name);
  Bts__Hello hello = BTS__HELLO__INIT;
  hello.node = node;
  hello.address = (char *)name;
  hello.region = (char *)region;
  hello.cpu_millis = cpu_millis;
  bts_members_update (members, &hello, seen_us);
}

/* Ways of a message in milliseconds, and for how long the server's process stood still. */
static const struct
{
  gint64 there_ms;
  gint64 held_ms;
  gint64 still_ms;
  gint64 back_ms;
} ways[] = {
  { 1, 0, 0, 1 }, { 1, 200, 0, 1 }, { 300, 0, 0, 300 }, { 1, 0, 5000, 1 }, { 1, 250, 700, 90 }
};

/* Guards against a read through another process that counts as newer than it is: a process would
   say that a job doesn't exist, or that the owner is silent, by what was read before. */
START_TEST (read_through_another_process_is_never_too_new)
{
  bts_members_t *members = bts_members_new ();
  add_member (members, "f", REGION, 500, NOW_US);
  g_autoptr (GPtrArray) relays = bts_members_list_askable (members, NOW_US);
  sent_t sent = { .addresses = g_string_new (NULL) };
  bts_relay_client_t *client = bts_relay_client_new ("a/1", &client_ops, &sent);
  scene_t scene;
  scene_init (&scene);
  bts_relay_server_set_open (scene.server, TRUE, BTS_RELAY_MAX_BYTES);
  gint64 read_sent_us = NOW_US;
  bt_clock_advance (&scene.clock, 20 * 1000);
  gint64 read_came_us = bt_clock_now (&scene.clock);
  read_records (&scene, 0, 3, TRUE, read_sent_us);
  bt_clock_advance (&scene.clock, 100 * 1000);
  ck_assert (client_read (client, relays, 3, bt_clock_now (&scene.clock)));
  bt_clock_advance (&scene.clock, ways[_i].there_ms * 1000);
  request (&scene, 3, 128, (guint)ways[_i].held_ms);
  bt_clock_advance (&scene.clock, (ways[_i].held_ms + ways[_i].still_ms) * 1000);
  bts_relay_server_tick (scene.server);
  ck_assert_uint_eq (scene.replies, 1);
  bt_clock_advance (&scene.clock, ways[_i].back_ms * 1000);
  Bts__Reply *reply = scene.packed == NULL ? NULL : last_reply (&scene);
  bts_relay_client_on_reply (client, &sent.last, reply, bt_clock_now (&scene.clock));
  ck_assert_int_eq (sent.has_failed, scene.refusals == 1);
  if (!sent.has_failed)
    {
      ck_assert (sent.read.caught_up);
      ck_assert_int_le (sent.read.sent_us, read_sent_us);
      ck_assert_int_le (sent.read.as_of_us, read_came_us);
    }
  if (reply != NULL)
    bts__reply__free_unpacked (reply, NULL);
  bts_relay_client_free (client);
  g_string_free (sent.addresses, TRUE);
  bts_members_free (members);
  scene_clear (&scene);
}
END_TEST

/* Guards against a process that goes on asking one that doesn't reply, instead of the others and
   then the log. */
START_TEST (failed_read_goes_elsewhere)
{
  bts_members_t *members = bts_members_new ();
  add_member (members, "f", REGION, 500, NOW_US);
  add_member (members, "g", REGION, 500, NOW_US);
  g_autoptr (GPtrArray) relays = bts_members_list_askable (members, NOW_US);
  sent_t sent = { .addresses = g_string_new (NULL) };
  bts_relay_client_t *client = bts_relay_client_new ("a/1", &client_ops, &sent);
  gint64 now_us = NOW_US;
  /* The first one is silent, the second one refuses. */
  ck_assert (client_read (client, relays, 0, now_us));
  now_us += 700 * 1000;
  bts_relay_client_on_reply (client, &sent.last, NULL, now_us);
  ck_assert (client_read (client, relays, 0, now_us));
  now_us += 2 * 1000;
  bts_relay_client_on_reply (client, &sent.last, NULL, now_us);
  ck_assert (!client_read (client, relays, 0, now_us));
  ck_assert (strcmp (sent.addresses->str, "fg") == 0 || strcmp (sent.addresses->str, "gf") == 0);
  /* Only the one that has refused is asked again soon. */
  now_us += 1500 * 1000;
  ck_assert (client_read (client, relays, 0, now_us));
  ck_assert_int_eq (sent.addresses->str[2], sent.addresses->str[1]);
  bts_relay_client_free (client);
  g_string_free (sent.addresses, TRUE);
  bts_members_free (members);
}
END_TEST

/* Processes of a region and of another one, those of the region that have died, and how many are to
   relay. */
static const struct
{
  guint n;
  guint n_elsewhere;
  guint n_dead;
  guint n_relays;
} regions[] = {
  { 3, 40, 0, 0 },  { 7, 0, 20, 0 },  { 8, 0, 0, 1 },
  { 16, 16, 0, 2 }, { 74, 73, 3, 7 }, { 500, 0, 0, 42 },
};

/* Guards against a region that waits for processes that have died, are elsewhere or are busy as the
   owner, and against a small VM that carries the others. */
START_TEST (large_processes_of_a_region_hand_on)
{
  bts_members_t *members = bts_members_new ();
  guint n = regions[_i].n;
  for (guint i = 0; i < n + regions[_i].n_dead + regions[_i].n_elsewhere; i++)
    {
      g_autofree char *name = g_strdup_printf ("v%u", i);
      gboolean is_dead = i >= n && i < n + regions[_i].n_dead;
      add_member (members, name, i < n + regions[_i].n_dead ? REGION : "south",
                  i % 8 == 0 ? 500 : 120, is_dead ? NOW_US - 60 * G_USEC_PER_SEC : NOW_US);
    }
  const bts_relays_view_t view = { members, REGION, "v0/1", FALSE, NOW_US };
  g_autoptr (GPtrArray) relays = bts_relays_list (&view);
  ck_assert_uint_eq (relays->len, regions[_i].n_relays);
  ck_assert (!bts_relays_contain (relays, "v0/2"));
  guint n_large = 0;
  for (guint i = 0; i < relays->len; i++)
    {
      const bts_member_t *member = relays->pdata[i];
      ck_assert_str_eq (member->region, REGION);
      ck_assert_int_eq (member->last_seen_us, NOW_US);
      n_large += member->cpu_millis == 500;
    }
  /* The owner is on one of the large VMs. */
  ck_assert_uint_eq (n_large, MIN (relays->len, (n - 1) / 8));
  bts_members_free (members);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("relay");
  tcase_add_loop_test (tests, request_gets_the_records_that_follow, 0, G_N_ELEMENTS (requests));
  tcase_add_loop_test (tests, process_that_replays_waits_for_another, 0, G_N_ELEMENTS (ahead));
  tcase_add_loop_test (tests, request_that_waits_gets_a_reply, 0, G_N_ELEMENTS (waits));
  tcase_add_loop_test (tests, records_that_are_kept_are_bounded, 0, 2);
  tcase_add_loop_test (tests, read_through_another_process_is_never_too_new, 0,
                       G_N_ELEMENTS (ways));
  tcase_add_test (tests, failed_read_goes_elsewhere);
  tcase_add_loop_test (tests, large_processes_of_a_region_hand_on, 0, G_N_ELEMENTS (regions));
  return suite_run ("relay", tests);
}
