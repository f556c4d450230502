#include <gio/gio.h>
#include <string.h>

#include "libbamboothread/connection/caller_server.h"
#include "libbamboothread/connection/peer.h"
#include "tests/suite.h"

/* Hostile input on the sockets of a daemon: a typed error or a close, and others go on. */

#define PATIENCE_MS 8000
#define BODY_LIMIT (BT_PAYLOAD_MAX_BYTES + 64 * 1024)

static void
no_peer (void *context, const char *address, const Bt__Envelope *envelope)
{
}

static void
no_append (void *context, const char *stream, guint64 batch, const GPtrArray *records)
{
}

static void
no_read (void *context, const char *stream, gint64 from)
{
}

static void
to_caller (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome)
{
  bt_caller_server_answer (*(bt_caller_server_t **)context, exchange, job, outcome);
}

static void
to_query (void *context, guint64 exchange, gboolean known, GBytes *body)
{
  bt_caller_server_answer_query (*(bt_caller_server_t **)context, exchange, known, body);
}

static const bt_core_ops_t ops = {
  .peer_send = no_peer,
  .log_append = no_append,
  .log_read = no_read,
  .answer = to_caller,
  .query_answer = to_query,
};

typedef struct
{
  bt_clock_t clock;
  bt_core_t *core;
  bt_caller_server_t *server;
} site_t;

static const char tables_record[]
    = "{\"id\":\"a\",\"base\":0,\"author\":\"x\",\"put\":{\"routes\":[{\"name\":\"r\","
      "\"callers\":[\"c\"],\"team\":\"t\",\"class\":\"urgent\",\"pool\":\"p\","
      "\"idempotent\":true}],\"pools\":[{\"name\":\"p\",\"vms\":[{\"name\":\"v\","
      "\"address\":\"127.0.0.1:1\",\"data_centre\":\"d\",\"rack\":\"k\",\"cpus\":4,"
      "\"memory_mb\":1024}]}]}}";

/* A daemon whose one VM has no owner, so that requests stay open. */
static void
site_open_with (site_t *site, gboolean tables)
{
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = "n";
  config.address = "127.0.0.1:1";
  config.data_centre = "d";
  config.region = "r";
  config.incarnation = 1;
  bt_clock_init_paused (&site->clock, BT_USEC_PER_SEC);
  site->server = bt_caller_server_new ("127.0.0.1:0", NULL);
  ck_assert_ptr_nonnull (site->server);
  site->core = bt_core_new (&config, &site->clock, &ops, &site->server);
  bt_caller_server_attach (site->server, site->core);
  if (!tables)
    return;
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (records, g_bytes_new_static (tables_record, sizeof tables_record - 1));
  bt_core_on_records (site->core, BT_TABLES_STREAM, 0, records, 1);
}

static void
site_open (site_t *site)
{
  site_open_with (site, TRUE);
}

static void
site_close (site_t *site)
{
  bt_caller_server_free (site->server);
  bt_core_free (site->core);
}

static gboolean
on_alarm (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static GSocketConnection *
dial (guint16 port)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  GSocketConnection *connection
      = g_socket_client_connect (client, G_SOCKET_CONNECTABLE (address), NULL, NULL);
  ck_assert_ptr_nonnull (connection);
  g_socket_set_blocking (g_socket_connection_get_socket (connection), FALSE);
  return connection;
}

/* Sends what the other side takes, and reads until it closes or enough has come. */
static char *
talk (GSocketConnection *connection, const char *data, gsize len, const char *enough)
{
  GSocket *socket = g_socket_connection_get_socket (connection);
  GString *got = g_string_new (NULL);
  gsize sent = 0;
  gboolean late = FALSE;
  gboolean closed = FALSE;
  guint alarm = g_timeout_add (PATIENCE_MS, on_alarm, &late);
  while (!late && !closed && (enough == NULL || strstr (got->str, enough) == NULL))
    {
      char buffer[4096];
      gssize n = sent < len ? g_socket_send (socket, data + sent, len - sent, NULL, NULL) : 0;
      sent += n > 0 ? (gsize)n : 0;
      n = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL);
      closed = n == 0;
      if (n > 0)
        g_string_append_len (got, buffer, n);
      g_main_context_iteration (NULL, FALSE);
    }
  ck_assert_msg (!late, "neither an answer nor a close: \"%s\"", got->str);
  g_source_remove (alarm);
  return g_string_free (got, FALSE);
}

static void
check_health (guint16 port)
{
  static const char request[] = "GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n";
  g_autoptr (GSocketConnection) connection = dial (port);
  g_autofree char *got = talk (connection, request, sizeof request - 1, "tables_version");
  ck_assert_msg (strstr (got, "200 OK") != NULL, "%s", got);
}

/* One HTTP request; without a length, that of the body; an empty answer is a close. */
static const struct
{
  const char *line;
  const char *length;
  const char *body;
  const char *answer;
} http_cases[] = {
  { "nonsense", NULL, "", "400" },
  { "POST /v1/jobs HTTP/1.1", NULL, "{\"a\":", "400" },
  { "POST /v1/jobs HTTP/1.1", NULL, "[]", "expected an object" },
  { "POST /v1/jobs HTTP/1.1", NULL, "\xff\xfe{}", "UTF-8" },
  { "POST /v1/jobs HTTP/1.1", NULL, "", "400" },
  { "POST /v1/jobs HTTP/1.1", "99999999999", "", "" },
  { "POST /v1/jobs HTTP/1.1", NULL, "{\"caller\":7,\"work\":\"w\",\"kind\":\"x\"}", "$.kind" },
  { "GET /v1/none HTTP/1.1", NULL, "", "not-found" },
  { "GET /v1/jobs/none/none HTTP/1.1", NULL, "", "not-found" },
  { "DELETE /v1/jobs/%00%ff HTTP/1.1", NULL, "", "40" },
  { "POST /v1/jobs HTTP/1.1", NULL, "{\"caller\":\"z\",\"work\":\"w\",\"kind\":\"request\"}",
    "no-route" },
};

static char *
http_request (const char *line, const char *length, const char *body)
{
  g_autofree char *own = g_strdup_printf ("%" G_GSIZE_FORMAT, strlen (body));
  return g_strdup_printf ("%s\r\nHost: x\r\nContent-Type: application/json\r\n"
                          "Content-Length: %s\r\n\r\n%s",
                          line, length != NULL ? length : own, body);
}

/* Before the tables are read, and once a planned stop has begun, callers go elsewhere. */
static const struct
{
  gboolean tables;
  gboolean leaving;
  const char *health;
  const char *answer;
} serving_cases[] = {
  { FALSE, FALSE, "503", "starting" },
  { TRUE, FALSE, "200", "no-route" },
  { TRUE, TRUE, "503", "no-route" },
};

START_TEST (health_says_whether_to_send_callers)
{
  site_t site;
  site_open_with (&site, serving_cases[_i].tables);
  if (serving_cases[_i].leaving)
    bt_core_leave (site.core);
  guint16 port = bt_caller_server_port (site.server);
  g_autoptr (GSocketConnection) first = dial (port);
  static const char health[] = "GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n";
  g_autofree char *said = talk (first, health, sizeof health - 1, "tables_version");
  ck_assert_msg (strstr (said, serving_cases[_i].health) != NULL, "%s", said);
  g_autoptr (GSocketConnection) second = dial (port);
  g_autofree char *request = http_request (
      "POST /v1/jobs HTTP/1.1", NULL, "{\"caller\":\"z\",\"work\":\"w\",\"kind\":\"request\"}");
  g_autofree char *got = talk (second, request, strlen (request), serving_cases[_i].answer);
  ck_assert_msg (strstr (got, serving_cases[_i].answer) != NULL, "%s", got);
  site_close (&site);
}
END_TEST

START_TEST (hostile_http_is_refused)
{
  site_t site;
  site_open (&site);
  guint16 port = bt_caller_server_port (site.server);
  g_autoptr (GSocketConnection) connection = dial (port);
  const char *answer = http_cases[_i].answer;
  g_autofree char *request
      = http_request (http_cases[_i].line, http_cases[_i].length, http_cases[_i].body);
  gboolean closes = answer[0] == '\0';
  g_autofree char *got = talk (connection, request, strlen (request), closes ? NULL : answer);
  ck_assert_msg (closes ? got[0] == '\0' : strstr (got, answer) != NULL, "%s", got);
  check_health (port);
  site_close (&site);
}
END_TEST

/* A body that never ends, in chunks: the connection is closed and memory stays bounded. */
START_TEST (an_endless_body_is_cut)
{
  site_t site;
  site_open (&site);
  guint16 port = bt_caller_server_port (site.server);
  GString *request = g_string_new ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
  g_autofree char *chunk = g_strnfill (0x8000, ' ');
  for (int i = 0; i < 64 * BODY_LIMIT / 0x8000; i++)
    g_string_append_printf (request, "8000\r\n%s\r\n", chunk);
  g_autoptr (GSocketConnection) connection = dial (port);
  g_autofree char *got = talk (connection, request->str, request->len, "HTTP/1.1 ");
  ck_assert_msg (got[0] == '\0' || strstr (got, "HTTP/1.1 4") != NULL, "%s", got);
  check_health (port);
  g_string_free (request, TRUE);
  site_close (&site);
}
END_TEST

START_TEST (a_caller_that_leaves_is_noticed)
{
  site_t site;
  site_open (&site);
  guint16 port = bt_caller_server_port (site.server);
  g_autofree char *request = http_request (
      "POST /v1/jobs HTTP/1.1", NULL, "{\"caller\":\"c\",\"work\":\"w\",\"kind\":\"request\"}");
  GSocketConnection *connection = dial (port);
  gboolean late = FALSE;
  guint alarm = g_timeout_add (PATIENCE_MS, on_alarm, &late);
  g_socket_send (g_socket_connection_get_socket (connection), request, strlen (request), NULL,
                 NULL);
  while (!late && bt_core_is_idle (site.core))
    g_main_context_iteration (NULL, FALSE);
  ck_assert (!bt_core_is_idle (site.core));
  g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
  g_object_unref (connection);
  while (!late && !bt_core_is_idle (site.core))
    g_main_context_iteration (NULL, FALSE);
  ck_assert (bt_core_is_idle (site.core));
  g_source_remove (alarm);
  site_close (&site);
}
END_TEST

typedef struct
{
  guint received;
  guint malformed;
} peer_seen_t;

static void
on_received (void *context, const Bt__Envelope *envelope)
{
  ((peer_seen_t *)context)->received++;
}

static void
on_malformed (void *context, int cause)
{
  ((peer_seen_t *)context)->malformed++;
}

static const bt_peer_handler_t peer_handler = { on_received, on_malformed };

static const struct
{
  const char *data;
  gsize len;
} frame_cases[] = {
  { "\0\0\0\0", 4 },
  { "\xff\xff\xff\xff", 4 },
  { "GET / HTTP/1.1\r\n\r\n", 18 },
  { "\0\0\0\4\xff\xff\xff\xff", 8 },
  { "\0\0\0\3\x0a\x7f\x41", 7 },
};

START_TEST (hostile_frames_are_refused)
{
  peer_seen_t seen = { 0 };
  bt_peers_t *peers = bt_peers_new ("127.0.0.1:0", &peer_handler, &seen, NULL);
  ck_assert_ptr_nonnull (peers);
  g_autoptr (GSocketConnection) connection = dial (bt_peers_port (peers));
  g_autofree char *got = talk (connection, frame_cases[_i].data, frame_cases[_i].len, NULL);
  ck_assert_str_eq (got, "");
  ck_assert_uint_eq (seen.malformed, 1);

  g_autofree char *own = g_strdup_printf ("127.0.0.1:%u", bt_peers_port (peers));
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.from = "x";
  bt_peers_send (peers, own, &envelope);
  gboolean late = FALSE;
  guint alarm = g_timeout_add (PATIENCE_MS, on_alarm, &late);
  while (!late && seen.received == 0)
    g_main_context_iteration (NULL, FALSE);
  ck_assert_uint_eq (seen.received, 1);
  g_source_remove (alarm);
  bt_peers_free (peers);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("sockets");
  tcase_set_timeout (tests, 30);
  tcase_add_loop_test (tests, health_says_whether_to_send_callers, 0, G_N_ELEMENTS (serving_cases));
  tcase_add_loop_test (tests, hostile_http_is_refused, 0, G_N_ELEMENTS (http_cases));
  tcase_add_test (tests, an_endless_body_is_cut);
  tcase_add_test (tests, a_caller_that_leaves_is_noticed);
  tcase_add_loop_test (tests, hostile_frames_are_refused, 0, G_N_ELEMENTS (frame_cases));
  return suite_run ("sockets", tests);
}
