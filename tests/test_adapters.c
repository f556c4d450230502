#include <string.h>

#include "libbamboothread/base/clock.h"
#include "libbamboothread/base/error.h"
#include "libbamboothread/connection/vm_list_client.h"
#include "libbamboothread/connection/log_client.h"
#include "libbamboothread/connection/worker_client.h"
#include "standins/standin.h"
#include "tests/suite.h"

/* What the adapters make of answers that break their contracts. */

#define PATIENCE_MS 10000

typedef struct
{
  SoupServer *server;
  char *address;
  guint status;
  const char *body;
  guint calls;
  gboolean done;
  gboolean valid;
  gint64 number;
  int code;
} peer_t;

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
            gpointer data)
{
  peer_t *peer = data;
  peer->calls++;
  if (peer->status == 0)
    {
      g_socket_shutdown (soup_server_message_get_socket (message), TRUE, TRUE, NULL);
      return;
    }
  g_autoptr (GBytes) body = g_bytes_new_static (peer->body, strlen (peer->body));
  bt_standin_respond (message, peer->status, body);
}

static void
peer_open (peer_t *peer, guint status, const char *body)
{
  memset (peer, 0, sizeof *peer);
  peer->status = status;
  peer->body = body;
  peer->server = bt_standin_listen ("127.0.0.1:0", NULL);
  ck_assert_ptr_nonnull (peer->server);
  soup_server_add_handler (peer->server, "/", on_request, peer, NULL);
  GSList *uris = soup_server_get_uris (peer->server);
  peer->address = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

static void
peer_close (peer_t *peer)
{
  soup_server_disconnect (peer->server);
  g_object_unref (peer->server);
  g_free (peer->address);
}

static gboolean
on_alarm (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
wait_done (peer_t *peer)
{
  gboolean late = FALSE;
  guint alarm = g_timeout_add (PATIENCE_MS, on_alarm, &late);
  while (!late && !peer->done)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!late, "no callback came");
  g_source_remove (alarm);
}

static void
on_lease (void *context, const char *worker, const bt_lease_reply_t *reply)
{
  peer_t *peer = context;
  peer->done = TRUE;
  peer->valid = reply != NULL;
  peer->number = reply != NULL ? reply->epoch : 0;
}

static void
on_start (void *context, const char *worker, const char *attempt, const bt_start_reply_t *reply)
{
}

static void
on_stop (void *context, const char *worker, const bt_stop_reply_t *reply)
{
}

static const bt_worker_handler_t worker_handler = { on_lease, on_start, on_stop };

#define LEASE(more) "{\"granted\":true,\"epoch\":7,\"clock_ms\":5,\"boot\":1" more "}"
#define REPORT(more) "{\"attempt\":\"a\",\"job\":\"j\",\"state\":\"done\"" more "}"

static const struct
{
  guint status;
  const char *body;
  gboolean valid;
} lease_cases[] = {
  { 200, LEASE (""), TRUE },
  { 200, LEASE (",\"attempts\":[" REPORT ("") "]"), TRUE },
  { 200, LEASE (",\"attempts\":[" REPORT (",\"mcpus\":-5") "]"), FALSE },
  { 200, LEASE (",\"attempts\":[" REPORT (",\"used_mcpus\":1e400") "]"), FALSE },
  { 200, LEASE (",\"attempts\":{}"), FALSE },
  { 200, LEASE (",\"unknown\":1"), FALSE },
  { 200, "{\"granted\":true}", FALSE },
  { 200, "{\"granted\":\"yes\",\"epoch\":7,\"clock_ms\":5,\"boot\":1}", FALSE },
  { 200, "", FALSE },
  { 200, "\xff\xfe", FALSE },
  { 200, "{\"granted\":tr", FALSE },
  { 500, LEASE (""), FALSE },
  { 404, "", FALSE },
  { 0, "", FALSE },
};

START_TEST (lease_answers_are_checked)
{
  peer_t peer;
  peer_open (&peer, lease_cases[_i].status, lease_cases[_i].body);
  bt_worker_client_t *client = bt_worker_client_new (BT_USEC_PER_SEC, &worker_handler, &peer);
  bt_lease_request_t request = { .ttl_ms = 1000 };
  request.owner = g_ref_string_new ("a");
  request.ack = g_ptr_array_new ();
  bt_worker_client_lease (client, "w", peer.address, &request);
  wait_done (&peer);
  ck_assert_int_eq (peer.valid, lease_cases[_i].valid);
  ck_assert_int_eq (peer.number, lease_cases[_i].valid ? 7 : 0);
  bt_worker_client_free (client);
  g_ptr_array_unref (request.ack);
  g_ref_string_release (request.owner);
  peer_close (&peer);
}
END_TEST

static void
on_appended (void *context, guint64 batch, gboolean stored)
{
  peer_t *peer = context;
  peer->done = TRUE;
  peer->valid = stored;
  peer->number = (gint64)batch;
}

static void
on_records (void *context, const char *stream, gint64 first, const GPtrArray *records, gint64 next)
{
  peer_t *peer = context;
  peer->done = TRUE;
  peer->valid = TRUE;
  peer->number = next;
}

static void
on_failed (void *context, const char *stream, const GError *error, gint64 first_kept)
{
  peer_t *peer = context;
  peer->number = first_kept;
  peer->done = TRUE;
  peer->code = error->code;
}

static const bt_log_client_handler_t log_handler = { on_appended, on_records, on_failed };

static const struct
{
  guint status;
  const char *body;
  gboolean valid;
  int code;
} read_cases[] = {
  { 200, "{\"first\":3,\"next\":5,\"records\":[\"a\",\"b\"]}", TRUE, 0 },
  { 200, "{\"first\":3,\"next\":3,\"records\":[]}", TRUE, 0 },
  { 200, "{\"first\":-1,\"next\":3,\"records\":[]}", FALSE, BT_ERROR_INVALID },
  { 200, "{\"first\":3,\"next\":5,\"records\":[1]}", FALSE, BT_ERROR_INVALID },
  { 200, "[]", FALSE, BT_ERROR_INVALID },
  { 200, "", FALSE, BT_ERROR_INVALID },
  { 410, "{\"first\":9}", FALSE, BT_ERROR_EXPIRED },
  { 503, "", FALSE, BT_ERROR_UNAVAILABLE },
  { 0, "", FALSE, BT_ERROR_UNAVAILABLE },
};

START_TEST (log_pages_are_checked)
{
  peer_t peer;
  peer_open (&peer, read_cases[_i].status, read_cases[_i].body);
  bt_log_client_t *client = bt_log_client_new (peer.address, &log_handler, &peer);
  bt_log_client_read (client, "s", 3);
  wait_done (&peer);
  ck_assert_int_eq (peer.valid, read_cases[_i].valid);
  if (!read_cases[_i].valid)
    ck_assert_int_eq (peer.code, read_cases[_i].code);
  if (!read_cases[_i].valid)
    ck_assert_int_eq (peer.number, read_cases[_i].code == BT_ERROR_EXPIRED ? 9 : -1);
  bt_log_client_free (client);
  peer_close (&peer);
}
END_TEST

static const struct
{
  guint status;
  gboolean stored;
} append_cases[] = { { 200, TRUE }, { 503, FALSE }, { 504, FALSE }, { 0, FALSE } };

START_TEST (only_a_clear_answer_means_stored)
{
  peer_t peer;
  peer_open (&peer, append_cases[_i].status, "{\"first\":1}");
  bt_log_client_t *client = bt_log_client_new (peer.address, &log_handler, &peer);
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (records, g_bytes_new_static ("{}", 2));
  bt_log_client_append (client, "s", 42, records);
  wait_done (&peer);
  ck_assert_int_eq (peer.valid, append_cases[_i].stored);
  ck_assert_int_eq (peer.number, 42);
  bt_log_client_free (client);
  peer_close (&peer);
}
END_TEST

static void
on_list (void *context, const GPtrArray *leaving)
{
  peer_t *peer = context;
  peer->done = TRUE;
  peer->number = leaving->len;
}

START_TEST (leaving_vms_are_listed)
{
  peer_t peer;
  peer_open (&peer, 200,
             "{\"vms\":[{\"name\":\"a\",\"state\":\"leaving\"},"
             "{\"name\":\"b\",\"state\":\"live\"}]}");
  bt_vm_list_client_t *client = bt_vm_list_client_new (peer.address, on_list, &peer);
  wait_done (&peer);
  ck_assert_int_eq (peer.number, 1);
  bt_vm_list_client_free (client);
  peer_close (&peer);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("adapters");
  tcase_set_timeout (tests, 30);
  tcase_add_loop_test (tests, lease_answers_are_checked, 0, G_N_ELEMENTS (lease_cases));
  tcase_add_loop_test (tests, log_pages_are_checked, 0, G_N_ELEMENTS (read_cases));
  tcase_add_loop_test (tests, only_a_clear_answer_means_stored, 0, G_N_ELEMENTS (append_cases));
  tcase_add_test (tests, leaving_vms_are_listed);
  return suite_run ("adapters", tests);
}
