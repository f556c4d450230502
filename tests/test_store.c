#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "libbamboothread/connection/channel.h"
#include "platform/store.h"
#include "tests/suite.h"

/* Pages of the newest records of the store, over a loopback socket. */

#define ENTRY(key, value, offset)                                                                  \
  "{\"key\":\"" key "\",\"value\":\"" value "\",\"offset\":" offset "}"

/**
 * struct case - a page, and what is made of it
 * @page: reply of the store to the first read; the second one gets an empty page
 * @records: key=value@offset of each record that is delivered; NULL if the read fails
 * @pages: number of pages that are asked for
 */
static const struct
{
  const char *page;
  const char *records;
  guint pages;
} cases[] = {
  { "{\"items\":[" ENTRY ("a", "eA==", "3") "," ENTRY ("b", "", "4") "],\"has-more\":false}",
    "a=x@3 b=@4 ", 1 },
  { "{\"has-more\":true,\"end\":9,\"items\":[" ENTRY ("a", "eA==", "3") "]}", "a=x@3 ", 2 },
  { "{\"items\":[],\"has-more\":false,\"end\":0}", "", 1 },
  /* A page that the next one can't go on from: the rest isn't known. */
  { "{\"items\":[],\"has-more\":true}", NULL, 1 },
  { "{\"has-more\":true,\"items\":[{\"value\":\"\"},{\"key\":7}]}", NULL, 1 },
  /* The next page begins after a record that can't be read. */
  { "{\"has-more\":true,\"items\":[{\"key\":\"a\",\"value\":7}]}", "", 2 },
  { "{\"end\":7}", "", 1 },
  { " { \"items\" : [ { \"offset\" : 12, \"x\" : [1,{\"key\":\"c\"}], \"value\" : \"eHk=\","
    " \"key\" : \"a\" } ], \"has-more\" : false } ",
    "a=xy@12 ", 1 },
  { "{\"items\":[" ENTRY ("\\u0061\\\"", "eA==", "3") "],\"has-more\":false}", "a\"=x@3 ", 1 },
  { "{\"items\":[" ENTRY ("\xc3\xa9", "eA==", "3") "],\"has-more\":false}", "\xc3\xa9=x@3 ", 1 },
  /* A record that can't be read costs only itself. */
  { "{\"items\":[null,{\"key\":\"a\"},{\"key\":5,\"value\":\"\"},7,[]," ENTRY (
        "b", "eA==", "4") "],\"has-more\":false}",
    "b=x@4 ", 1 },
  { "{\"items\":[" ENTRY ("a", "eA==", "\"3\"") "," ENTRY ("b", "eA==", "-4") "]}", "b=x@-4 ", 1 },
  { "{\"items\":[" ENTRY ("a", "eA==", "3") "],\"has-more\":\"yes\"}", NULL, 1 },
  { "{\"items\":{}}", NULL, 1 },
  { "{\"items\":[" ENTRY ("a", "eA==", "3"), NULL, 1 },
  { "[]", NULL, 1 },
  { "", NULL, 1 },
};

/* Parts of a page that arrives slowly, and the time between them. */
#define PARTS 6
#define PART_INTERVAL_MS 450

typedef struct
{
  struct event_base *base;
  const char *page;
  gboolean is_repeated;
  guint pages;
  GString *records;
  gboolean complete;
  gboolean is_slow;
  struct evhttp_request *request;
  struct event *timer;
  guint n_parts;
} scene_t;

/* Sends the next part of a page that takes longer to arrive than its first part may. */
static void
send_part (evutil_socket_t fd, short what, void *context)
{
  scene_t *scene = context;
  const struct timeval interval = { 0, PART_INTERVAL_MS * 1000 };
  gsize len = (strlen (scene->page) + PARTS - 1) / PARTS;
  const char *from = scene->page + scene->n_parts * len;
  struct evbuffer *part = evbuffer_new ();
  evbuffer_add (part, from, MIN (len, strlen (from)));
  if (scene->n_parts == 0)
    evhttp_send_reply_start (scene->request, 200, "OK");
  evhttp_send_reply_chunk (scene->request, part);
  evbuffer_free (part);
  if (++scene->n_parts == PARTS)
    evhttp_send_reply_end (scene->request);
  else
    evtimer_add (scene->timer, &interval);
}

static void
serve (struct evhttp_request *request, void *context)
{
  scene_t *scene = context;
  if (scene->is_slow)
    {
      scene->request = request;
      send_part (-1, 0, scene);
      return;
    }
  gboolean has_page = scene->pages++ == 0 || scene->is_repeated;
  const char *page = has_page ? scene->page : "{\"items\":[],\"has-more\":false}";
  evbuffer_add (evhttp_request_get_output_buffer (request), page, strlen (page));
  evhttp_send_reply (request, 200, "OK", NULL);
}

static void
on_record (void *context, const pf_keyed_record_t *record)
{
  scene_t *scene = context;
  g_string_append_printf (scene->records, "%s=%.*s@%" G_GINT64_FORMAT " ", record->key,
                          (int)record->len, (const char *)record->value, record->offset);
}

static void
on_done (void *context, gboolean complete)
{
  scene_t *scene = context;
  scene->complete = complete;
  event_base_loopbreak (scene->base);
}

/* Reads the records from a store that serves the pages of a scene. */
static void
read_pages (scene_t *scene)
{
  scene->base = bt_event_base_new ();
  scene->records = g_string_new (NULL);
  scene->timer = evtimer_new (scene->base, send_part, scene);
  struct evhttp *http = evhttp_new (scene->base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at, &len);
  evhttp_set_gencb (http, serve, scene);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  bt_clock_t clock;
  bt_clock_init (&clock);
  pf_store_t *store = pf_store_new (scene->base, &clock, address);
  pf_store_read_newest (store, "keyed.servers", on_record, on_done, scene);
  event_base_dispatch (scene->base);
  event_free (scene->timer);
  pf_store_free (store);
  evhttp_free (http);
  event_base_free (scene->base);
}

START_TEST (a_page_is_read_whole_or_not_at_all)
{
  scene_t scene = { .page = cases[_i].page };
  read_pages (&scene);
  ck_assert_int_eq (scene.complete, cases[_i].records != NULL);
  ck_assert_str_eq (scene.records->str, cases[_i].records == NULL ? "" : cases[_i].records);
  ck_assert_uint_eq (scene.pages, cases[_i].pages);
  g_string_free (scene.records, TRUE);
}
END_TEST

/**
 * struct stuck - a page whose last key the store doesn't go on from
 * @page: its reply to each read
 * @pages: number of pages that are asked for
 */
static const struct
{
  const char *page;
  guint pages;
} stuck[] = {
  { "{\"has-more\":true,\"items\":[" ENTRY ("", "eA==", "3") "]}", 1 },
  { "{\"has-more\":true,\"items\":[" ENTRY ("\\u0000", "eA==", "3") "]}", 1 },
  { "{\"has-more\":true,\"items\":[" ENTRY ("a\\u0000b", "eA==", "3") "]}", 2 },
};

/* Guards against a process that reads one page for ever, for an odd key. */
START_TEST (a_read_ends_where_a_page_repeats)
{
  scene_t scene = { .page = stuck[_i].page, .is_repeated = TRUE };
  read_pages (&scene);
  ck_assert (!scene.complete);
  ck_assert_uint_eq (scene.pages, stuck[_i].pages);
  g_string_free (scene.records, TRUE);
}
END_TEST

/* Guards against a page of the registry or the tables that is never read over a link that others
   share: each read of it began anew after 2 s. */
START_TEST (large_page_is_read_while_it_arrives)
{
  scene_t scene = { .page = cases[0].page, .is_slow = TRUE };
  read_pages (&scene);
  ck_assert (scene.complete);
  ck_assert_str_eq (scene.records->str, cases[0].records);
  g_string_free (scene.records, TRUE);
}
END_TEST

/* How long the store takes to reply to each read of the log, and the end that it tells of. Each
   read is given one record. */
#define READ_TOOK_MS 30
static const gint64 ends[] = { 2, 2, 3, 5, 5, 6 };
/* Whether the read tells how fast the store is: its process had read all that there was. */
static const gboolean tells[] = { FALSE, FALSE, TRUE, TRUE, FALSE, TRUE };

typedef struct
{
  struct event_base *base;
  struct evhttp_request *waiting;
  struct event *timer;
  guint sent;
  guint n_read;
  gint64 latencies_us[G_N_ELEMENTS (ends)];
} log_scene_t;

static void
reply_with_record (evutil_socket_t fd, short what, void *context)
{
  log_scene_t *scene = context;
  const guint64 header[]
      = { GUINT64_TO_BE ((guint64)ends[MIN (scene->sent, G_N_ELEMENTS (ends) - 1)]), 0 };
  const guint32 len = GUINT32_TO_BE (1);
  scene->sent++;
  struct evbuffer *out = evhttp_request_get_output_buffer (scene->waiting);
  evbuffer_add (out, header, sizeof header);
  evbuffer_add (out, &len, sizeof len);
  evbuffer_add (out, "x", 1);
  evhttp_send_reply (scene->waiting, 200, "OK", NULL);
}

static void
serve_log (struct evhttp_request *request, void *context)
{
  log_scene_t *scene = context;
  scene->waiting = request;
  struct timeval delay = { 0, READ_TOOK_MS * 1000 };
  evtimer_add (scene->timer, &delay);
}

static void
on_log_record (void *context, gint64 offset, const guint8 *data, gsize len)
{
}

static void
on_log_read (void *context, const pf_log_read_t *read)
{
  log_scene_t *scene = context;
  ck_assert_int_eq (read->caught_up, (gint64)scene->n_read + 1 == ends[scene->n_read]);
  scene->latencies_us[scene->n_read++] = read->latency_us;
  if (scene->n_read == G_N_ELEMENTS (ends))
    event_base_loopbreak (scene->base);
}

static void
on_log_failed (void *context, int status)
{
  ck_abort_msg ("the read failed: %d", status);
}

static void
on_log_skipped (void *context, gint64 from, gint64 first)
{
  ck_abort_msg ("records were skipped");
}

static const pf_log_reader_ops_t log_ops
    = { on_log_record, on_log_read, on_log_failed, on_log_skipped };

/* Guards against a log that is taken to be slow since a process that starts has much to read: it
   put off claims after all processes had lost power. */
START_TEST (reads_of_history_tell_no_latency)
{
  /* Readers last as long as the process; volatile, so that the pointer is kept for LeakSanitizer.
   */
  static pf_log_reader_t *volatile reader;
  log_scene_t scene = { .base = bt_event_base_new () };
  scene.timer = evtimer_new (scene.base, reply_with_record, &scene);
  struct evhttp *http = evhttp_new (scene.base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at, &len);
  evhttp_set_gencb (http, serve_log, &scene);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  bt_clock_t clock;
  bt_clock_init (&clock);
  pf_store_t *store = pf_store_new (scene.base, &clock, address);
  reader = pf_log_reader_new (store, "journal", 0, 1, &log_ops, &scene);
  ck_assert_ptr_nonnull (reader);
  event_base_dispatch (scene.base);
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    ck_assert_msg (scene.latencies_us[i] >= 0 ? tells[i] : !tells[i],
                   "read %u: latency %" G_GINT64_FORMAT " us", i, scene.latencies_us[i]);
  pf_store_free (store);
  evhttp_free (http);
  event_free (scene.timer);
  event_base_free (scene.base);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("store");
  tcase_add_loop_test (tests, a_page_is_read_whole_or_not_at_all, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, a_read_ends_where_a_page_repeats, 0, G_N_ELEMENTS (stuck));
  tcase_add_test (tests, large_page_is_read_while_it_arrives);
  tcase_add_test (tests, reads_of_history_tell_no_latency);
  return suite_run ("store", tests);
}
