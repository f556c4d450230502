#include <event2/buffer.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "libbamboothread/connection/channel.h"
#include "libbamboothread/connection/message_server.h"
#include "tests/suite.h"

/*
 * Messages between processes over loopback sockets: a message has one reply, and what
 * can't be read, has no reply or comes from a sender that has gone harms nothing else.
 */

#define ADDRESS "127.0.0.1:17391"
#define TIMEOUT_MS 300

/**
 * enum how_t - what the receiver does with a message
 */
typedef enum
{
  HOW_REPLY,
  HOW_NOTHING_TO_SAY,
  HOW_UNREADABLE,
  HOW_NO_REPLY,
} how_t;

typedef struct
{
  struct event_base *base;
  bt_message_server_t *message_server;
  how_t how;
  guint64 exchange;
  GString *taken;
  int status;
  GString *reply;
  guint replies;
} scene_t;

static gboolean
on_message (void *context, guint64 exchange, const guint8 *data, gsize len)
{
  scene_t *scene = context;
  g_string_append_len (scene->taken, (const char *)data, (gssize)len);
  scene->exchange = exchange;
  g_autoptr (GBytes) reply = g_bytes_new_static ("answer", 6);
  if (scene->how == HOW_REPLY)
    bt_message_server_reply (scene->message_server, exchange, reply);
  else if (scene->how == HOW_NOTHING_TO_SAY)
    bt_message_server_reply (scene->message_server, exchange, NULL);
  return scene->how != HOW_UNREADABLE;
}

static void
on_reply (void *context, int status, const char *body, gsize len)
{
  scene_t *scene = context;
  scene->status = status;
  g_string_append_len (scene->reply, body, (gssize)len);
  scene->replies++;
  event_base_loopbreak (scene->base);
}

static void
send_message (scene_t *scene, bt_channels_t *channels, const char *text)
{
  bt_call_t call = { 0 };
  call.method = "POST";
  call.address = ADDRESS;
  call.path = BT_MESSAGE_SERVER_PATH;
  call.body = text;
  call.body_len = strlen (text);
  call.content_type = BT_MESSAGE_SERVER_CONTENT_TYPE;
  call.timeout_ms = TIMEOUT_MS;
  bt_channels_call (channels, &call, on_reply, scene);
  event_base_dispatch (scene->base);
}

static const struct
{
  how_t how;
  int status;
  const char *reply;
} cases[] = {
  { HOW_REPLY, 200, "answer" },
  { HOW_NOTHING_TO_SAY, 503, "" },
  { HOW_UNREADABLE, 400, "" },
  { HOW_NO_REPLY, BT_CHANNEL_NO_ANSWER, "" },
};

START_TEST (a_message_has_one_reply)
{
  scene_t scene = { 0 };
  scene.base = event_base_new ();
  scene.taken = g_string_new (NULL);
  scene.reply = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  scene.message_server = bt_message_server_new (scene.base, ADDRESS, on_message, &scene, &error);
  ck_assert_ptr_nonnull (scene.message_server);
  bt_channels_t *channels = bt_channels_new (scene.base, 2);

  scene.how = cases[_i].how;
  send_message (&scene, channels, "question");
  ck_assert_str_eq (scene.taken->str, "question");
  ck_assert_int_eq (scene.status, cases[_i].status);
  if (cases[_i].status == 200)
    ck_assert_str_eq (scene.reply->str, cases[_i].reply);
  ck_assert_uint_eq (scene.replies, 1);

  /* A second reply, or one to a sender that has disconnected, has no effect. */
  g_autoptr (GBytes) late = g_bytes_new_static ("late", 4);
  bt_message_server_reply (scene.message_server, scene.exchange, late);
  scene.how = HOW_REPLY;
  g_string_truncate (scene.reply, 0);
  send_message (&scene, channels, "another");
  ck_assert_int_eq (scene.status, 200);
  ck_assert_str_eq (scene.reply->str, "answer");

  bt_channels_free (channels);
  bt_message_server_free (scene.message_server);
  event_base_free (scene.base);
  g_string_free (scene.taken, TRUE);
  g_string_free (scene.reply, TRUE);
}
END_TEST

static const char *const addresses[] = { "", "127.0.0.1", "no-address:1", "127.0.0.1:17391x:" };

START_TEST (a_bad_address_is_an_error)
{
  struct event_base *base = event_base_new ();
  scene_t scene = { 0 };
  GError *error = NULL;
  ck_assert_ptr_null (bt_message_server_new (base, addresses[_i], on_message, &scene, &error));
  ck_assert_ptr_nonnull (error);
  g_error_free (error);
  event_base_free (base);
}
END_TEST

/* Counts the calls of libevent, which finds this function first. */
static guint n_poll_changes;

int
epoll_ctl (int epoll, int change, int fd, struct epoll_event *event)
{
  n_poll_changes++;
  return (int)syscall (SYS_epoll_ctl, epoll, change, fd, event);
}

#define MESSAGES 100
/* Both ends of a message: each turns reading or writing on and off once. */
#define POLL_CHANGES_PER_MESSAGE_MAX 4

START_TEST (a_message_changes_little_in_the_poll_set)
{
  scene_t scene = { 0 };
  scene.base = bt_event_base_new ();
  scene.taken = g_string_new (NULL);
  scene.reply = g_string_new (NULL);
  scene.how = HOW_REPLY;
  scene.message_server = bt_message_server_new (scene.base, ADDRESS, on_message, &scene, NULL);
  ck_assert_ptr_nonnull (scene.message_server);
  bt_channels_t *channels = bt_channels_new (scene.base, 1);
  send_message (&scene, channels, "first");
  ck_assert_uint_gt (n_poll_changes, 0);
  n_poll_changes = 0;
  for (guint i = 0; i < MESSAGES; i++)
    send_message (&scene, channels, "next");
  ck_assert_uint_eq (scene.replies, MESSAGES + 1);
  ck_assert_uint_le (n_poll_changes, MESSAGES * POLL_CHANGES_PER_MESSAGE_MAX);
  bt_channels_free (channels);
  bt_message_server_free (scene.message_server);
  event_base_free (scene.base);
  g_string_free (scene.taken, TRUE);
  g_string_free (scene.reply, TRUE);
}
END_TEST

#define BUFFERS 50

static const gsize appended_bytes[] = { 1, 40, 63, 64, 500, 1990, 2040, 2100, 5000, 70000 };

static void
fill (struct evbuffer *buffer, GString *expected, gsize bytes, char value)
{
  g_autofree char *text = g_strnfill (bytes, value);
  ck_assert_int_eq (evbuffer_add (buffer, text, bytes), 0);
  g_string_append_len (expected, text, (gssize)bytes);
}

/* Memory that libevent has freed and got again, in blocks of all sizes, belongs to one buffer at a
   time. */
START_TEST (memory_that_is_kept_is_handed_out_once)
{
  struct evbuffer *buffers[BUFFERS] = { NULL };
  GString *expected[BUFFERS] = { NULL };
  for (guint i = 0; i < BUFFERS * 20; i++)
    {
      guint at = i * 7 % BUFFERS;
      if (buffers[at] != NULL && i % 3 == 0)
        {
          gsize len = evbuffer_get_length (buffers[at]);
          ck_assert_uint_eq (len, expected[at]->len);
          ck_assert_int_eq (memcmp (evbuffer_pullup (buffers[at], -1), expected[at]->str, len), 0);
          g_clear_pointer (&buffers[at], evbuffer_free);
          g_string_free (g_steal_pointer (&expected[at]), TRUE);
          continue;
        }
      if (buffers[at] == NULL)
        {
          buffers[at] = evbuffer_new ();
          expected[at] = g_string_new (NULL);
        }
      fill (buffers[at], expected[at], appended_bytes[(i / 3 + _i) % G_N_ELEMENTS (appended_bytes)],
            (char)('a' + i % 26));
    }
  for (guint i = 0; i < BUFFERS; i++)
    if (buffers[i] != NULL)
      {
        evbuffer_free (buffers[i]);
        g_string_free (expected[i], TRUE);
      }
}
END_TEST

int
main (void)
{
  bt_event_keep_memory ();
  TCase *tests = tcase_create ("message_server");
  tcase_add_loop_test (tests, a_message_has_one_reply, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, a_bad_address_is_an_error, 0, G_N_ELEMENTS (addresses));
  tcase_add_test (tests, a_message_changes_little_in_the_poll_set);
  tcase_add_loop_test (tests, memory_that_is_kept_is_handed_out_once, 0,
                       G_N_ELEMENTS (appended_bytes));
  return suite_run ("message_server", tests);
}
