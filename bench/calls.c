#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libbamboothread/connection/channel.h"
#include "platform/store.h"
#include "platform/wire.h"

/*
 * Processor time, user and system, of the owner's calls to workers and to the registry: over
 * loopback sockets to a process that answers at once, and of the texts alone.
 */

#define ENTRIES_PER_PAGE 500
#define TOPIC "keyed.servers"

static double
cpu_us (void)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* What the peer answers. */

static char *
entry_text (guint i, guint sequence)
{
  return g_strdup_printf (
      "{\"service\":\"huvo11a\",\"address\":\"10.128.%u.%u:8080\",\"zone\":\"zone-%u\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,"
      "\"capacity\":{\"cpu\":32000,\"mem-mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],"
      "\"clock-ms\":%u,\"born\":1700000000000,\"sequence\":%u}",
      i / 250, i % 250, i % 6, i / 8, 400000 + sequence * 1500, sequence);
}

static char *
page_text (void)
{
  GString *text = g_string_new ("{\"items\":[");
  for (guint i = 0; i < ENTRIES_PER_PAGE; i++)
    {
      g_autofree char *entry = entry_text (i, 7);
      g_autofree char *value = g_base64_encode ((const guchar *)entry, strlen (entry));
      g_string_append_printf (text, "%s{\"key\":\"i-%08x\",\"value\":\"%s\",\"offset\":%u}",
                              i == 0 ? "" : ",", i * 7919, value, 1000 + i);
    }
  g_string_append (text, "],\"has-more\":false,\"end\":90000}");
  return g_string_free (text, FALSE);
}

static const char listing_text[]
    = "{\"clock-ms\":482113,\"born\":1700000000000,\"running\":["
      "[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",41,3200],"
      "[\"5c0e7a21d94b36f9.0.0.3\",1,\"\",80,5100],[\"5c0e7a21d94b36fa.0.0.11\",1,\"\",12,8000]],"
      "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";
static const char reply_text[] = "{\"clock-ms\":482113}";

static void
serve (struct evhttp_request *request, void *page)
{
  const char *uri = evhttp_request_get_uri (request);
  const char *body = g_str_has_prefix (uri, "/api/log-newest") ? page
                     : strcmp (uri, "/api/hold") == 0          ? listing_text
                                                               : reply_text;
  struct evbuffer *out = evhttp_request_get_output_buffer (request);
  evbuffer_add (out, body, strlen (body));
  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
                     "application/json");
  evhttp_send_reply (request, 200, "OK", NULL);
}

/* Starts the peer and returns its port. */
static guint16
start_peer (pid_t *pid)
{
  int ready[2];
  if (pipe (ready) != 0)
    exit (EXIT_FAILURE);
  *pid = fork ();
  guint16 port = 0;
  if (*pid != 0)
    {
      if (read (ready[0], &port, sizeof port) != sizeof port)
        exit (EXIT_FAILURE);
      return port;
    }
  struct event_base *base = event_base_new ();
  struct evhttp *http = evhttp_new (base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "0.0.0.0", 0);
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  if (bound == NULL
      || getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address, &len) != 0)
    exit (EXIT_FAILURE);
  evhttp_set_gencb (http, serve, page_text ());
  port = ntohs (address.sin_port);
  if (write (ready[1], &port, sizeof port) != sizeof port)
    exit (EXIT_FAILURE);
  event_base_dispatch (base);
  exit (EXIT_SUCCESS);
}

/* The owner's side. */

typedef struct
{
  struct event_base *base;
  bt_channels_t *channels;
  char **address;
  guint n_addresses;
  bts_run_t run;
  bts_start_order_t start;
  bts_hold_order_t hold;
  guint left;
  guint in_flight;
  guint records;
  gboolean holds;
} owner_t;

static void call (owner_t *owner, guint i);

typedef struct
{
  owner_t *owner;
  guint i;
} sent_t;

static void
on_reply (void *context, int status, const char *body, gsize len)
{
  sent_t *sent = context;
  owner_t *owner = sent->owner;
  gint64 clock_ms = 0;
  if (owner->holds)
    bts_listing_free (pf_wire_parse_listing (body, len, NULL));
  else
    pf_wire_parse_reply (status, body, len, &clock_ms);
  if (status != 200 || (!owner->holds && clock_ms != 482113))
    exit (EXIT_FAILURE);
  owner->in_flight--;
  if (owner->left > 0)
    call (owner, sent->i);
  else if (owner->in_flight == 0)
    event_base_loopbreak (owner->base);
  g_free (sent);
}

static void
call (owner_t *owner, guint i)
{
  const char *headers[] = { "Expect-Instance", "i-7f3a91c2", NULL };
  g_autofree char *body = owner->holds ? pf_wire_format_hold (&owner->hold)
                                       : pf_wire_format_start (&owner->run, &owner->start);
  bt_call_t order = { 0 };
  order.method = "POST";
  order.address = owner->address[i];
  order.path = owner->holds ? "/api/hold" : "/api/run-start";
  order.headers = headers;
  order.body = body;
  order.body_len = strlen (body);
  order.content_type = "application/json";
  order.timeout_ms = 2000;
  sent_t *sent = g_new0 (sent_t, 1);
  sent->owner = owner;
  sent->i = i;
  owner->left--;
  owner->in_flight++;
  bt_channels_call (owner->channels, &order, on_reply, sent);
}

static void
play_calls (owner_t *owner, gboolean holds, guint n)
{
  owner->holds = holds;
  owner->left = n;
  for (guint i = 0; i < owner->n_addresses && owner->left > 0; i++)
    call (owner, i);
  event_base_dispatch (owner->base);
}

static void
on_entry (void *context, const pf_keyed_record_t *record)
{
  owner_t *owner = context;
  owner->records++;
}

static void
on_page_done (void *context, gboolean complete)
{
  owner_t *owner = context;
  if (!complete)
    exit (EXIT_FAILURE);
  event_base_loopbreak (owner->base);
}

static void
measure_calls (owner_t *owner, gboolean holds, guint n)
{
  play_calls (owner, holds, owner->n_addresses);
  double from_us = cpu_us ();
  play_calls (owner, holds, n);
  printf ("%s over loopback: %.2f us\n", holds ? "hold" : "start", (cpu_us () - from_us) / n);
}

static void
measure_pages (owner_t *owner, pf_store_t *store, guint n)
{
  owner->records = 0;
  double from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    {
      pf_store_read_newest (store, TOPIC, on_entry, on_page_done, owner);
      event_base_dispatch (owner->base);
    }
  printf ("entry of the registry over loopback: %.2f us\n", (cpu_us () - from_us) / owner->records);
}

static void
measure_texts (owner_t *owner, guint n)
{
  gint64 clock_ms;
  g_autofree char *old = entry_text (5, 7);
  g_autofree char *new = entry_text (5, 8);
  double from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    g_free (pf_wire_format_start (&owner->run, &owner->start));
  printf ("body of a start: %.2f us\n", (cpu_us () - from_us) / n);
  from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    pf_wire_parse_reply (200, reply_text, strlen (reply_text), &clock_ms);
  printf ("reply to a start: %.2f us\n", (cpu_us () - from_us) / n);
  from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    g_free (pf_wire_format_hold (&owner->hold));
  printf ("body of a hold: %.2f us\n", (cpu_us () - from_us) / n);
  from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    bts_listing_free (pf_wire_parse_listing (listing_text, strlen (listing_text), NULL));
  printf ("reply to a hold: %.2f us\n", (cpu_us () - from_us) / n);
  from_us = cpu_us ();
  for (guint i = 0; i < n; i++)
    if (!pf_wire_is_same_entry (old, strlen (old), new, strlen (new)))
      bts_worker_entry_free (pf_wire_parse_worker_entry ("i", new, strlen (new), NULL));
  printf ("entry that says nothing new: %.2f us\n", (cpu_us () - from_us) / n);
}

int
main (int argc, char **argv)
{
  int n = 100000;
  int workers = 200;
  const struct poptOption options[]
      = { { "calls", 'n', POPT_ARG_INT, &n, 0, "number of calls of each kind", "N" },
          { "workers", 'w', POPT_ARG_INT, &workers, 0, "number of addresses", "N" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext (NULL, argc, (const char **)argv, options, 0);
  int next = poptGetNextOpt (context);
  poptFreeContext (context);
  if (next < -1 || n < 1 || workers < 1)
    {
      fprintf (stderr, "bench-calls: %s\n",
               next < -1 ? poptStrerror (next) : "the numbers must be above 0");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  bt_event_keep_memory ();
  pid_t pid;
  guint16 port = start_peer (&pid);
  owner_t owner = { 0 };
  owner.base = bt_event_base_new ();
  owner.channels = bt_channels_new (owner.base, 6);
  owner.n_addresses = (guint)workers;
  owner.address = g_new0 (char *, workers);
  for (guint i = 0; i < owner.n_addresses; i++)
    owner.address[i] = g_strdup_printf ("127.1.%u.%u:%u", i / 250, i % 250 + 1, port);
  Bts__Accepted accepted = BTS__ACCEPTED__INIT;
  g_autofree char *spec = g_strnfill (1000, 's');
  accepted.spec.data = (guint8 *)spec;
  accepted.spec.len = strlen (spec);
  bts_job_t job = { 0 };
  job.accepted = &accepted;
  bts_stage_t stage = { 0 };
  stage.job = &job;
  bts_task_t task = { 0 };
  task.stage = &stage;
  owner.run.task = &task;
  owner.run.name = (char *)"5c0e7a21d94b36f8.0.1.17";
  owner.run.number = 2;
  owner.start.fence = 7;
  owner.start.deadline_ms = 486000;
  owner.start.ticket = "0123456789abcdef0123";
  owner.hold.fence = 7;
  owner.hold.ack_seq = 57;
  owner.hold.deadline_ms = 486000;
  owner.hold.wait_ms = 1000;
  measure_texts (&owner, (guint)n);
  measure_calls (&owner, FALSE, (guint)n);
  measure_calls (&owner, TRUE, (guint)n);
  bt_clock_t clock;
  bt_clock_init (&clock);
  pf_store_t *store = pf_store_new (owner.base, &clock, owner.address[0]);
  measure_pages (&owner, store, (guint)MAX (n / ENTRIES_PER_PAGE / 2, 1));
  kill (pid, SIGTERM);
  waitpid (pid, NULL, 0);
  return EXIT_SUCCESS;
}
