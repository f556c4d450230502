#include <event2/http.h>
#include <string.h>

#include "libbamboothread/connection/channel.h"
#include "tests/suite.h"

/* Calls that can't be sent, over real sockets. */

/* Enough for a reply that is due at once, in microseconds. */
#define REPLY_US (2 * G_USEC_PER_SEC)

/* Addresses to which no connection can even begin. */
static const char *const addresses[] = {
  "127.0.0.1:0",  "300.1.1.1:80", "127.0.0.1:65616",
  "127.0.0.1:-1", "host:80",      "[::1]:80",
  ":80",          "127.0.0.1",    "",
};

/**
 * struct scene_t - calls to one address
 * @in_call: a call is being made
 * @early: replies that have come meanwhile
 * @left: calls that are made anew when a reply has come
 */
typedef struct
{
  struct event_base *base;
  bt_channels_t *channels;
  const char *address;
  gboolean in_call;
  guint early;
  guint replies;
  guint left;
  int status;
} scene_t;

static void call (scene_t *scene);

static void
on_reply (void *context, int status, const char *body, gsize len)
{
  scene_t *scene = context;
  scene->status = status;
  scene->replies++;
  scene->early += scene->in_call;
  if (scene->left > 0)
    {
      scene->left--;
      call (scene);
    }
  else
    event_base_loopbreak (scene->base);
}

static void
call (scene_t *scene)
{
  bt_call_t post = { 0 };
  post.method = "POST";
  post.address = scene->address;
  post.path = "/";
  post.body = "{}";
  post.body_len = strlen (post.body);
  post.content_type = "application/json";
  post.timeout_ms = 60 * 1000;
  scene->in_call = TRUE;
  bt_channels_call (scene->channels, &post, on_reply, scene);
  scene->in_call = FALSE;
}

/* Guards against a reply in the middle of the work of the caller, and against one that never comes.
 */
START_TEST (call_that_cannot_be_sent_is_reported_later)
{
  scene_t scene = { .address = addresses[_i], .left = 3 };
  scene.base = bt_event_base_new ();
  scene.channels = bt_channels_new (scene.base, 2);
  gint64 began_us = g_get_monotonic_time ();
  call (&scene);
  ck_assert_uint_eq (scene.replies, 0);
  event_base_dispatch (scene.base);
  ck_assert_uint_eq (scene.replies, 4);
  ck_assert_uint_eq (scene.early, 0);
  ck_assert_int_eq (scene.status, BT_CHANNEL_NOT_SENT);
  ck_assert_int_lt (g_get_monotonic_time () - began_us, REPLY_US);
  bt_channels_free (scene.channels);
  event_base_free (scene.base);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("channel");
  tcase_add_loop_test (tests, call_that_cannot_be_sent_is_reported_later, 0,
                       G_N_ELEMENTS (addresses));
  return suite_run ("channel", tests);
}
