#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "platform/appender.h"
#include "tests/suite.h"

/* Batches of records on their way to a log, over a loopback socket. */

#define RECORD_BYTES 4096
#define CALL_BYTES 20000
/* Size of the length that precedes each record. */
#define LENGTH_BYTES 4

/**
 * struct case_t - records that are added at once
 * @n: number of records
 * @bytes: size of each
 * @large: index of one that is larger than the log takes; -1 for none
 */
static const struct
{
  const char *name;
  guint n;
  gsize bytes;
  gint large;
} cases[] = {
  { "a few", 3, 100, -1 },
  { "more than a call takes", 400, 1000, -1 },
  { "each as large as the log takes", 30, RECORD_BYTES, -1 },
  { "one too large among others", 40, 1000, 17 },
  { "one too large and nothing else", 1, 100, 0 },
};

/**
 * struct scene_t - a log, and what was appended
 * @calls: calls that the log has taken
 * @refused: calls that it has refused for their size
 * @stored, @rejected: records by their results
 */
typedef struct
{
  struct event_base *base;
  guint n;
  guint calls;
  guint refused;
  guint offset;
  guint stored;
  guint rejected;
  guint64 rejected_token;
} scene_t;

/* Whether the log takes a call. */
static gboolean
is_taken (const guint8 *data, gsize len, guint *n_records)
{
  gsize total = 0;
  gsize at = 0;
  *n_records = 0;
  while (at + LENGTH_BYTES <= len)
    {
      guint32 size;
      memcpy (&size, data + at, sizeof size);
      size = GUINT32_FROM_BE (size);
      if (size > RECORD_BYTES)
        return FALSE;
      total += size;
      at += LENGTH_BYTES + size;
      (*n_records)++;
    }
  return total <= CALL_BYTES;
}

static void
serve (struct evhttp_request *request, void *context)
{
  scene_t *scene = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize len = evbuffer_get_length (input);
  guint n;
  if (!is_taken (evbuffer_pullup (input, -1), len, &n))
    {
      scene->refused++;
      evhttp_send_reply (request, 400, "Bad Request", NULL);
      return;
    }
  scene->calls++;
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "{\"offset\":%u}",
                       scene->offset);
  scene->offset += n;
  evhttp_send_reply (request, 200, "OK", NULL);
}

static void
on_done (void *context, guint64 token, bts_append_result_t result, gint64 offset, gint64 took_us)
{
  scene_t *scene = context;
  if (result == BTS_APPEND_STORED)
    scene->stored++;
  else
    {
      scene->rejected++;
      scene->rejected_token = token;
    }
  if (scene->stored + scene->rejected == scene->n)
    event_base_loopbreak (scene->base);
}

/* Guards against calls that the log always refuses: with them it would refuse all records that are
   in the same call, heartbeats among them (review/7 and review/13). */
START_TEST (calls_stay_within_what_the_log_takes)
{
  scene_t scene = { .base = bt_event_base_new (), .n = cases[_i].n };
  bt_clock_t clock;
  bt_clock_init (&clock);
  struct evhttp *http = evhttp_new (scene.base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at, &len);
  evhttp_set_gencb (http, serve, &scene);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  pf_store_t *store = pf_store_new (scene.base, &clock, address);
  const pf_appender_limits_t limits = { RECORD_BYTES, CALL_BYTES, 2 };
  pf_appender_t *appender
      = pf_appender_new (scene.base, &clock, store, "journal", &limits, on_done, &scene);
  for (guint i = 0; i < cases[_i].n; i++)
    {
      gsize bytes = (gint)i == cases[_i].large ? RECORD_BYTES + 1 : cases[_i].bytes;
      g_autoptr (GBytes) record = g_bytes_new_take (g_malloc0 (bytes), bytes);
      pf_appender_add (appender, i + 1, record);
    }
  ck_assert_uint_eq (scene.stored + scene.rejected, 0);
  event_base_dispatch (scene.base);
  ck_assert_msg (scene.refused == 0, "%s: %u calls refused", cases[_i].name, scene.refused);
  ck_assert_uint_eq (scene.rejected, cases[_i].large >= 0);
  ck_assert (cases[_i].large < 0 || scene.rejected_token == (guint64)cases[_i].large + 1);
  ck_assert_uint_eq (scene.offset, scene.stored);
  ck_assert_uint_eq (pf_appender_waiting_bytes (appender), 0);
  pf_appender_free (appender);
  pf_store_free (store);
  evhttp_free (http);
  event_base_free (scene.base);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("appender");
  tcase_add_loop_test (tests, calls_stay_within_what_the_log_takes, 0, G_N_ELEMENTS (cases));
  return suite_run ("appender", tests);
}
