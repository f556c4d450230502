#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "libbamboothread/connection/channel.h"
#include "tests/suite.h"

/* Calls that can't be sent, and replies that take long to arrive, over real sockets. */

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

/**
 * struct slow_case - a reply that arrives in parts
 * @timeout_ms: time limit of the call
 * @progress_timeout_ms: that for each further part; 0 for none
 * @n_parts: parts that the peer sends, of @N_PARTS
 * @status: result of the call
 */
#define N_PARTS 5
#define PART_INTERVAL_MS 100
#define PART "part"
static const struct
{
  guint timeout_ms;
  guint progress_timeout_ms;
  guint n_parts;
  int status;
} slow_cases[] = {
  { 300, 300, N_PARTS, 200 },
  { 300, 0, N_PARTS, BT_CHANNEL_NO_ANSWER },
  { 2000, 0, N_PARTS, 200 },
  { 300, 300, 2, BT_CHANNEL_NO_ANSWER },
  { 300, 300, 0, BT_CHANNEL_NO_ANSWER },
};

/**
 * struct slow_scene_t - a peer that sends its reply in parts
 * @n_sent: parts sent so far
 * @received: bytes of the reply of which the channel has told, headers included
 * @len: length of the body with which the call has ended
 */
typedef struct
{
  struct event_base *base;
  struct event *timer;
  struct evhttp_request *request;
  guint n_parts;
  guint n_sent;
  gsize received;
  gsize len;
  int status;
} slow_scene_t;

static void
send_part (evutil_socket_t fd, short what, void *context)
{
  slow_scene_t *scene = context;
  const struct timeval interval = { 0, PART_INTERVAL_MS * 1000 };
  if (scene->n_sent == scene->n_parts)
    return;
  struct evbuffer *part = evbuffer_new ();
  evbuffer_add (part, PART, strlen (PART));
  if (scene->n_sent == 0)
    evhttp_send_reply_start (scene->request, 200, "OK");
  evhttp_send_reply_chunk (scene->request, part);
  evbuffer_free (part);
  if (++scene->n_sent == N_PARTS)
    evhttp_send_reply_end (scene->request);
  else
    evtimer_add (scene->timer, &interval);
}

static void
serve_in_parts (struct evhttp_request *request, void *context)
{
  slow_scene_t *scene = context;
  scene->request = request;
  send_part (-1, 0, scene);
}

static void
on_part (void *context, gsize n_bytes)
{
  ((slow_scene_t *)context)->received += n_bytes;
}

static void
on_slow_reply (void *context, int status, const char *body, gsize len)
{
  slow_scene_t *scene = context;
  scene->status = status;
  scene->len = len;
  event_base_loopbreak (scene->base);
}

/* Guards against a large reply that is broken off while it arrives, over and over again. */
START_TEST (reply_may_go_on_while_it_arrives)
{
  slow_scene_t scene = { .base = bt_event_base_new (), .n_parts = slow_cases[_i].n_parts };
  scene.timer = evtimer_new (scene.base, send_part, &scene);
  bt_channels_t *channels = bt_channels_new (scene.base, 2);
  struct evhttp *http = evhttp_new (scene.base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at, &len);
  evhttp_set_gencb (http, serve_in_parts, &scene);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  bt_call_t get = { .method = "GET", .address = address, .path = "/" };
  get.timeout_ms = slow_cases[_i].timeout_ms;
  get.progress_timeout_ms = slow_cases[_i].progress_timeout_ms;
  get.progress = on_part;
  bt_channels_call (channels, &get, on_slow_reply, &scene);
  event_base_dispatch (scene.base);
  ck_assert_int_eq (scene.status, slow_cases[_i].status);
  ck_assert_uint_eq (scene.len, scene.status == 200 ? N_PARTS * strlen (PART) : 0);
  ck_assert_uint_ge (scene.received, scene.n_sent * strlen (PART));
  event_free (scene.timer);
  bt_channels_free (channels);
  evhttp_free (http);
  event_base_free (scene.base);
}
END_TEST

/* Calls that wait for the only connection, and the time that their peer takes for each. */
#define N_CALLS 5
#define ANSWER_MS 150

/**
 * struct queue_case - calls that are made at once
 * @timeout_ms: time limit of each
 * @queue_timeout_ms: that of the wait for a connection
 * @n_answered: how many get an answer
 */
static const struct
{
  guint timeout_ms;
  guint queue_timeout_ms;
  guint n_answered;
} queue_cases[] = {
  { 400, 5000, N_CALLS },
  { 5000, 0, N_CALLS },
  { 400, 50, 1 },
};

/**
 * struct queue_scene_t - a peer that answers one request after the other
 * @request: the one that it works on
 * @n_over: calls that have ended
 * @n_not_sent: those that never got a connection
 */
typedef struct
{
  struct event_base *base;
  struct event *timer;
  struct evhttp_request *request;
  guint n_over;
  guint n_answered;
  guint n_not_sent;
} queue_scene_t;

static void
answer_late (evutil_socket_t fd, short what, void *context)
{
  queue_scene_t *scene = context;
  evhttp_send_reply (scene->request, 200, "OK", NULL);
}

static void
serve_late (struct evhttp_request *request, void *context)
{
  queue_scene_t *scene = context;
  const struct timeval delay = { 0, ANSWER_MS * 1000 };
  scene->request = request;
  evtimer_add (scene->timer, &delay);
}

static void
on_queued_reply (void *context, int status, const char *body, gsize len)
{
  queue_scene_t *scene = context;
  scene->n_answered += status == 200;
  scene->n_not_sent += status == BT_CHANNEL_NOT_SENT;
  if (++scene->n_over == N_CALLS)
    event_base_loopbreak (scene->base);
}

/* Guards against calls whose time limit is over before they are sent, each time that they are made
   (review/14). */
START_TEST (a_queued_call_keeps_its_time)
{
  queue_scene_t scene = { .base = bt_event_base_new () };
  scene.timer = evtimer_new (scene.base, answer_late, &scene);
  bt_channels_t *channels = bt_channels_new (scene.base, 1);
  struct evhttp *http = evhttp_new (scene.base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at, &len);
  evhttp_set_gencb (http, serve_late, &scene);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  bt_call_t get = { .method = "GET", .address = address, .path = "/" };
  get.timeout_ms = queue_cases[_i].timeout_ms;
  get.queue_timeout_ms = queue_cases[_i].queue_timeout_ms;
  for (guint i = 0; i < N_CALLS; i++)
    bt_channels_call (channels, &get, on_queued_reply, &scene);
  event_base_dispatch (scene.base);
  ck_assert_uint_eq (scene.n_over, N_CALLS);
  ck_assert_uint_eq (scene.n_answered, queue_cases[_i].n_answered);
  ck_assert (queue_cases[_i].queue_timeout_ms != 50 || scene.n_not_sent == N_CALLS - 1);
  bt_channels_free (channels);
  event_free (scene.timer);
  evhttp_free (http);
  event_base_free (scene.base);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("channel");
  tcase_add_loop_test (tests, reply_may_go_on_while_it_arrives, 0, G_N_ELEMENTS (slow_cases));
  tcase_add_loop_test (tests, a_queued_call_keeps_its_time, 0, G_N_ELEMENTS (queue_cases));
  tcase_add_loop_test (tests, call_that_cannot_be_sent_is_reported_later, 0,
                       G_N_ELEMENTS (addresses));
  return suite_run ("channel", tests);
}
