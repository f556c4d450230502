#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/log_client.h"
#include "standins/log_model.h"
#include "standins/standin.h"

/*
 * A stand-in for the platform's log, over HTTP, with faults on request.
 */

#define EXIT_USAGE 2
#define READ_MAX_RECORDS 1000
#define WAIT_MAX_MS 20000

typedef struct
{
  bt_log_model_t model;
  gboolean down;
  guint delay_ms;
  guint lose_answers;
  GPtrArray *readers;
} fake_log_t;

typedef struct
{
  fake_log_t *log;
  SoupServerMessage *message;
  char *stream;
  gint64 from;
  guint max;
  guint timer;
  gulong finished;
} reader_t;

static void
reader_free (gpointer data)
{
  reader_t *reader = data;
  if (reader->timer > 0)
    g_source_remove (reader->timer);
  g_signal_handler_disconnect (reader->message, reader->finished);
  g_object_unref (reader->message);
  g_free (reader->stream);
  g_free (reader);
}

static void
write_page (fake_log_t *log, SoupServerMessage *message, const char *stream, gint64 from, guint max)
{
  g_autoptr (GPtrArray) records = bt_log_model_read (&log->model, stream, from, max);
  if (records == NULL)
    {
      gint64 first = bt_log_model_first (&log->model, stream);
      g_autofree char *text = g_strdup_printf ("{\"first\":%" G_GINT64_FORMAT "}", first);
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      bt_standin_respond (message, SOUP_STATUS_GONE, body);
      return;
    }
  bt_log_page_t *page = g_new0 (bt_log_page_t, 1);
  page->first = from;
  page->next = from + records->len;
  page->records = g_ptr_array_new ();
  for (guint i = 0; i < records->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (records->pdata[i], &len);
      g_ptr_array_add (page->records, g_ref_string_new_len (data, (gssize)len));
    }
  bt_standin_write (message, &bt_log_page_schema, page);
}

static void
reader_answer (reader_t *reader)
{
  g_autoptr (SoupServerMessage) message = g_object_ref (reader->message);
  if (reader->log->down)
    bt_standin_respond (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  else
    write_page (reader->log, message, reader->stream, reader->from, reader->max);
  g_ptr_array_remove (reader->log->readers, reader);
  soup_server_message_unpause (message);
}

static gboolean
on_read_timeout (gpointer data)
{
  reader_t *reader = data;
  reader->timer = 0;
  reader_answer (reader);
  return G_SOURCE_REMOVE;
}

static void
on_reader_gone (SoupServerMessage *message, gpointer data)
{
  reader_t *reader = data;
  g_ptr_array_remove (reader->log->readers, reader);
}

static void
wake_readers (fake_log_t *log, const char *stream)
{
  g_autoptr (GPtrArray) ready = g_ptr_array_new ();
  for (guint i = 0; i < log->readers->len; i++)
    {
      reader_t *reader = log->readers->pdata[i];
      if (stream == NULL || strcmp (reader->stream, stream) == 0)
        g_ptr_array_add (ready, reader);
    }
  for (guint i = 0; i < ready->len; i++)
    reader_answer (ready->pdata[i]);
}

static gint64
param_int (GHashTable *params, const char *name, gint64 absent)
{
  const char *text = params != NULL ? g_hash_table_lookup (params, name) : NULL;
  gint64 value;
  if (text == NULL || !g_ascii_string_to_signed (text, 10, 0, G_MAXINT64, &value, NULL))
    return absent;
  return value;
}

static void
serve_read (fake_log_t *log, SoupServerMessage *message, const char *stream, GHashTable *params)
{
  gint64 from = param_int (params, "from", 0);
  guint max = (guint)MIN (param_int (params, "max", READ_MAX_RECORDS), READ_MAX_RECORDS);
  guint wait_ms = (guint)MIN (param_int (params, "wait_ms", 0), WAIT_MAX_MS);
  if (from < bt_log_model_next (&log->model, stream) || wait_ms == 0)
    {
      write_page (log, message, stream, from, max);
      return;
    }
  reader_t *reader = g_new0 (reader_t, 1);
  reader->log = log;
  reader->message = g_object_ref (message);
  reader->stream = g_strdup (stream);
  reader->from = from;
  reader->max = max;
  reader->timer = g_timeout_add (wait_ms, on_read_timeout, reader);
  reader->finished = g_signal_connect (message, "finished", G_CALLBACK (on_reader_gone), reader);
  g_ptr_array_add (log->readers, reader);
  soup_server_message_pause (message);
}

static void
serve_append (fake_log_t *log, SoupServerMessage *message, const char *stream)
{
  bt_log_batch_t *batch = bt_standin_read (message, &bt_log_batch_schema);
  if (batch == NULL)
    return;
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < batch->records->len; i++)
    {
      GRefString *text = batch->records->pdata[i];
      g_ptr_array_add (records, g_bytes_new (text, g_ref_string_length (text)));
    }
  bt_schema_free (&bt_log_batch_schema, batch);
  gint64 first = bt_log_model_append (&log->model, stream, records);
  if (log->lose_answers > 0)
    {
      log->lose_answers--;
      bt_standin_respond (message, SOUP_STATUS_GATEWAY_TIMEOUT, NULL);
    }
  else
    {
      g_autofree char *text = g_strdup_printf ("{\"first\":%" G_GINT64_FORMAT "}", first);
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      bt_standin_respond (message, SOUP_STATUS_OK, body);
    }
  wake_readers (log, stream);
}

typedef struct
{
  fake_log_t *log;
  SoupServerMessage *message;
} delayed_t;

static void
serve_stream (fake_log_t *log, SoupServerMessage *message, GHashTable *params)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));
  if (!g_str_has_prefix (path, "/v1/streams/"))
    {
      bt_standin_respond (message, SOUP_STATUS_NOT_FOUND, NULL);
      return;
    }
  const char *stream = path + strlen ("/v1/streams/");
  if (log->down)
    bt_standin_respond (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  else if (strcmp (soup_server_message_get_method (message), "POST") == 0)
    serve_append (log, message, stream);
  else
    serve_read (log, message, stream, params);
}

static gboolean
on_delay_over (gpointer data)
{
  delayed_t *delayed = data;
  GUri *uri = soup_server_message_get_uri (delayed->message);
  const char *query = g_uri_get_query (uri);
  g_autoptr (GHashTable) params = query != NULL ? soup_form_decode (query) : NULL;
  soup_server_message_unpause (delayed->message);
  serve_stream (delayed->log, delayed->message, params);
  g_object_unref (delayed->message);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
on_stream (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  fake_log_t *log = data;
  if (log->delay_ms == 0)
    {
      serve_stream (log, message, params);
      return;
    }
  delayed_t *delayed = g_new0 (delayed_t, 1);
  delayed->log = log;
  delayed->message = g_object_ref (message);
  soup_server_message_pause (message);
  g_timeout_add (log->delay_ms, on_delay_over, delayed);
  /* cppcheck-suppress memleak ; the timeout frees it */
}

/* POST /v1/faults?down=1&delay_ms=50&lose_answers=3&retain=100 changes how the log behaves. */
static void
on_faults (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
           gpointer data)
{
  fake_log_t *log = data;
  log->down = param_int (params, "down", log->down) != 0;
  log->delay_ms = (guint)param_int (params, "delay_ms", log->delay_ms);
  log->lose_answers = (guint)param_int (params, "lose_answers", log->lose_answers);
  log->model.retain = param_int (params, "retain", log->model.retain);
  if (log->down)
    wake_readers (log, NULL);
  bt_standin_respond (message, SOUP_STATUS_OK, NULL);
}

int
main (int argc, const char **argv)
{
  char *listen = NULL;
  int version = 0;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT" },
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothread-fake-log", argc, argv, options, 0);
  int parsed = poptGetNextOpt (popt);
  poptFreeContext (popt);
  if (version)
    {
      printf ("bamboothread-fake-log %s\n", BT_VERSION);
      return EXIT_SUCCESS;
    }
  if (parsed < -1 || listen == NULL)
    {
      fprintf (stderr, "bamboothread-fake-log: --listen is needed\n");
      return EXIT_USAGE;
    }
  bt_log_set_ident ("bamboothread-fake-log");
  fake_log_t log = { .readers = g_ptr_array_new_with_free_func (reader_free) };
  bt_log_model_init (&log.model);
  g_autoptr (GError) error = NULL;
  g_autoptr (SoupServer) server = bt_standin_listen (listen, &error);
  if (server == NULL)
    {
      bt_log (BT_LOG_ERROR, "start-failed", "cause=\"%s\"", error->message);
      return EXIT_FAILURE;
    }
  soup_server_add_handler (server, "/v1/streams", on_stream, &log, NULL);
  soup_server_add_handler (server, "/v1/faults", on_faults, &log, NULL);
  bt_standin_run ();
  free (listen);
  bt_log_model_clear (&log.model);
  return EXIT_SUCCESS;
}
