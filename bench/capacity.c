#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/workload.h"
#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/http.h"
#include "standins/cell.h"
#include "standins/standin.h"
#include "standins/world.h"

/*
 * Measures what docs/CAPACITY.md is worked out from: each figure at four or
 * more sizes, the line through them, and how far they are off it.
 */

#define WARM_UP_S 20
#define MEASURE_S 30
#define DAEMONS 2
#define SLOTS 64
#define HOME "dc1"
#define POINTS_MAX 8
#define HTTP_TIMEOUT_MS 5000
#define PAYLOAD_STEP 100
#define LOOPBACK_WORKER "127.0.0.1:0"

/**
 * struct series_t - a figure at some sizes
 */
typedef struct
{
  const char *name;
  const char *unit;
  const char *by;
  double x[POINTS_MAX];
  double y[POINTS_MAX];
  guint n;
} series_t;

static void
add_point (series_t *series, double x, double y)
{
  series->x[series->n] = x;
  series->y[series->n] = y;
  series->n++;
}

/* Least squares; the residual is the largest distance from the line. */
static void
print_fit (const series_t *series)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (guint i = 0; i < series->n; i++)
    {
      sx += series->x[i];
      sy += series->y[i];
      sxx += series->x[i] * series->x[i];
      sxy += series->x[i] * series->y[i];
    }
  double n = series->n;
  double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  double base = (sy - slope * sx) / n;
  double residual = 0;
  for (guint i = 0; i < series->n; i++)
    residual = MAX (residual, fabs (series->y[i] - base - slope * series->x[i]));
  printf ("%s: %.4g %s + %.4g for each of %s, residual %.3g; points", series->name, base,
          series->unit, slope, series->by, residual);
  for (guint i = 0; i < series->n; i++)
    printf (" %.0f:%.4g", series->x[i], series->y[i]);
  printf ("\n");
  fflush (stdout);
}

static double
cpu_s (void)
{
  struct timespec at;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static double
heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static bt_world_t *
world_new (const bt_tables_t *tables, guint daemons, gboolean regions)
{
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = tables;
  config.daemons = daemons;
  if (regions)
    config.region_of = bt_cell_region;
  bt_world_t *world = bt_world_new (&config, NULL, NULL);
  bt_world_run (world, (gint64)WARM_UP_S * BT_USEC_PER_SEC);
  return world;
}

/* Bytes that the core of a node holds. */
static double
core_bytes (bt_world_t *world, bt_node_t *node)
{
  double before = heap_bytes ();
  bt_world_kill (world, node);
  return before - heap_bytes ();
}

static void
measure_members (void)
{
  static const struct
  {
    guint data_centres;
    guint daemons;
  } sizes[] = { { 2, 2 }, { 4, 2 }, { 7, 2 }, { 7, 3 }, { 7, 4 } };
  series_t bytes = { "peer bytes of the busiest daemon a second", "B/s", "members" };
  series_t messages = { "peer messages of the busiest daemon a second", "1/s", "members" };
  series_t region = { "bytes between regions a second", "B/s", "data centres" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      bt_tables_t *tables = bt_cell_tables (sizes[i].data_centres, 20);
      bt_world_t *world = world_new (tables, sizes[i].daemons, TRUE);
      guint n = world->nodes->len;
      guint64 region_before = world->region_bytes;
      g_autofree guint64 *sent = g_new0 (guint64, 2 * n);
      for (guint k = 0; k < n; k++)
        {
          sent[2 * k] = ((bt_node_t *)world->nodes->pdata[k])->bytes_sent;
          sent[2 * k + 1] = ((bt_node_t *)world->nodes->pdata[k])->messages_sent;
        }
      bt_world_run (world, (gint64)MEASURE_S * BT_USEC_PER_SEC);
      guint64 most[2] = { 0, 0 };
      for (guint k = 0; k < n; k++)
        {
          const bt_node_t *node = world->nodes->pdata[k];
          most[0] = MAX (most[0], node->bytes_sent - sent[2 * k]);
          most[1] = MAX (most[1], node->messages_sent - sent[2 * k + 1]);
        }
      add_point (&bytes, n, (double)most[0] / MEASURE_S);
      add_point (&messages, n, (double)most[1] / MEASURE_S);
      if (sizes[i].daemons == 2)
        add_point (&region, sizes[i].data_centres,
                   (double)(world->region_bytes - region_before) / MEASURE_S);
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&bytes);
  print_fit (&messages);
  print_fit (&region);
}

static void
measure_workers (void)
{
  static const guint sizes[] = { 60, 140, 245, 490, 980 };
  series_t leases = { "renewals of an owner a second", "1/s", "workers" };
  series_t cpu = { "processor time of core and stand-ins a second", "us", "workers" };
  series_t memory = { "heap of an owner's core", "B", "workers" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      bt_tables_t *tables = bt_cell_tables (1, sizes[i]);
      bt_world_t *world = world_new (tables, DAEMONS, FALSE);
      bt_node_t *owner = bt_world_leader (world, HOME);
      guint64 sent = bt_core_counters (owner->core)->leases_sent;
      double before = cpu_s ();
      bt_world_run (world, (gint64)MEASURE_S * BT_USEC_PER_SEC);
      double used = cpu_s () - before;
      sent = bt_core_counters (owner->core)->leases_sent - sent;
      add_point (&leases, sizes[i], (double)sent / MEASURE_S);
      add_point (&cpu, sizes[i], used * 1e6 / MEASURE_S);
      add_point (&memory, sizes[i], core_bytes (world, owner));
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&leases);
  print_fit (&cpu);
  print_fit (&memory);
}

static bt_tables_t *
fleet_tables (gint64 workers, gint64 teams)
{
  bench_fleet_t fleet = { 1, workers, 0, teams, SLOTS };
  bench_workload_t workload = { .fleet = &fleet };
  g_autoptr (GError) error = NULL;
  bt_tables_t *tables = bench_workload_tables (&workload, &error);
  if (tables == NULL)
    g_error ("%s", error->message);
  return tables;
}

static bt_request_t *
new_request (const char *caller, const char *work, bt_kind_t kind, gint64 tasks, gint64 run_ms)
{
  bt_request_t *request = g_new0 (bt_request_t, 1);
  request->caller = g_ref_string_new (caller);
  request->work = g_ref_string_new (work);
  request->kind = kind;
  request->tasks = tasks;
  request->mcpus = 500;
  request->memory_mb = 256;
  request->connections = 0;
  request->run_ms = run_ms;
  request->payload = g_ref_string_new ("0123456789012345678901234567890123456789");
  return request;
}

static double
log_bytes (bt_world_t *world, const char *stream)
{
  double sum = 0;
  gint64 from = bt_log_model_first (&world->log, stream);
  g_autoptr (GPtrArray) records = bt_log_model_read (&world->log, stream, from, G_MAXINT);
  for (guint i = 0; records != NULL && i < records->len; i++)
    sum += (double)g_bytes_get_size (records->pdata[i]);
  return sum;
}

static void
submit_many (bt_world_t *world, bt_node_t *node, const bt_request_t *request, guint n, guint per_s)
{
  for (guint i = 0; i < n; i++)
    {
      bt_world_submit (world, node, request);
      if (i % per_s == per_s - 1)
        bt_world_run (world, BT_USEC_PER_SEC);
    }
  bt_world_run (world, (gint64)WARM_UP_S * BT_USEC_PER_SEC);
}

static void
measure_tasks (void)
{
  static const guint sizes[] = { 500, 1000, 2000, 4000 };
  series_t memory = { "heap of an owner's core", "B", "running tasks of services" };
  series_t cpu = { "processor time of core and stand-ins a second", "us", "running tasks" };
  series_t log = { "log bytes", "B", "running tasks of services, 4 a job" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      bt_tables_t *tables = fleet_tables (140, 8);
      bt_world_t *world = world_new (tables, DAEMONS, FALSE);
      bt_node_t *owner = bt_world_leader (world, HOME);
      bt_request_t *request = new_request ("team1-x", "service", BT_KIND_SERVICE, 4, 1000);
      submit_many (world, owner, request, sizes[i] / 4, 100);
      double before = cpu_s ();
      bt_world_run (world, (gint64)MEASURE_S * BT_USEC_PER_SEC);
      add_point (&cpu, sizes[i], (cpu_s () - before) * 1e6 / MEASURE_S);
      add_point (&log, sizes[i], log_bytes (world, "jobs." HOME));
      add_point (&memory, sizes[i], core_bytes (world, owner));
      bt_schema_free (&bt_request_schema, request);
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&memory);
  print_fit (&cpu);
  print_fit (&log);
}

/* Batch jobs of one task through the daemon that is not the owner. */
static void
measure_jobs (void)
{
  static const guint sizes[] = { 500, 1000, 2000, 4000 };
  series_t memory = { "heap of an owner's core", "B", "ended jobs remembered" };
  series_t log = { "log bytes", "B", "batch jobs done" };
  series_t appends = { "appends", "", "batch jobs done, at 130 a second" };
  series_t cpu = { "processor time of core and stand-ins", "us", "batch jobs done" };
  series_t peer = { "peer bytes of both daemons", "B", "batch jobs handed to the owner" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      bt_tables_t *tables = fleet_tables (140, 8);
      bt_world_t *world = world_new (tables, DAEMONS, FALSE);
      bt_node_t *owner = bt_world_leader (world, HOME);
      bt_node_t *entry = world->nodes->pdata[world->nodes->pdata[0] == owner ? 1 : 0];
      bt_request_t *request = new_request ("team1-x", "batch", BT_KIND_BATCH, 1, 500);
      guint64 before_appends = world->log.appends;
      guint64 before_bytes = owner->bytes_sent + entry->bytes_sent;
      gint64 begun = world->clock.now_us;
      double before = cpu_s ();
      submit_many (world, entry, request, sizes[i], 130);
      add_point (&cpu, sizes[i], (cpu_s () - before) * 1e6);
      double seconds = (double)(world->clock.now_us - begun) / BT_USEC_PER_SEC;
      add_point (&peer, sizes[i], (double)(owner->bytes_sent + entry->bytes_sent - before_bytes));
      add_point (&appends, sizes[i], (double)(world->log.appends - before_appends));
      add_point (&log, sizes[i], log_bytes (world, "jobs." HOME));
      printf ("jobs %u: %.0f s, %d answered accepted, %d starts\n", sizes[i], seconds,
              (int)bt_core_counters (entry->core)->answered_accepted,
              (int)bt_core_counters (owner->core)->starts_sent);
      add_point (&memory, sizes[i], core_bytes (world, owner));
      bt_schema_free (&bt_request_schema, request);
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&memory);
  print_fit (&log);
  print_fit (&appends);
  print_fit (&cpu);
  print_fit (&peer);
}

static gboolean
settled (bt_world_t *world, void *context)
{
  bt_node_t *owner = bt_world_leader (world, HOME);
  if (owner == NULL)
    return FALSE;
  g_autoptr (JsonNode) node = bt_core_dump (owner->core);
  JsonObject *json = json_node_get_object (node);
  return json_object_get_boolean_member (json, "settled")
         && json_object_get_boolean_member (json, "journal_caught_up");
}

/* All daemons of a data centre die; a fresh one folds the log and takes the workers' lists. */
static void
measure_recovery (void)
{
  static const guint sizes[] = { 500, 1000, 2000, 4000 };
  series_t time = { "time until a fresh owner has settled", "ms", "running tasks, 4 a job" };
  series_t cpu = { "processor time of that with the stand-ins", "us", "running tasks" };
  series_t bytes = { "log bytes folded", "B", "running tasks" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      bt_tables_t *tables = fleet_tables (140, 8);
      bt_world_t *world = world_new (tables, DAEMONS, FALSE);
      bt_request_t *request = new_request ("team1-x", "service", BT_KIND_SERVICE, 4, 1000);
      submit_many (world, bt_world_leader (world, HOME), request, sizes[i] / 4, 100);
      for (guint k = 0; k < world->nodes->len; k++)
        bt_world_kill (world, world->nodes->pdata[k]);
      bt_world_run (world, 4 * BT_USEC_PER_SEC);
      double before = cpu_s ();
      gint64 begun = world->clock.now_us;
      bt_world_start (world, world->nodes->pdata[0]);
      gboolean done = bt_world_run_until (world, 60 * BT_USEC_PER_SEC, settled, NULL);
      add_point (&cpu, sizes[i], (cpu_s () - before) * 1e6);
      add_point (&time, sizes[i],
                 done ? (double)(world->clock.now_us - begun) / BT_USEC_PER_MSEC : NAN);
      add_point (&bytes, sizes[i], log_bytes (world, "jobs." HOME));
      bt_schema_free (&bt_request_schema, request);
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&time);
  print_fit (&cpu);
  print_fit (&bytes);
}

static void
measure_tables (void)
{
  static const guint sizes[] = { 60, 245, 490, 980 };
  series_t memory = { "heap of the tables", "B", "VMs" };
  series_t whole = { "bytes of the whole tables", "B", "VMs" };
  series_t fold = { "processor time of an edit of one route", "us", "VMs" };
  series_t edit = { "bytes of an edit of one route", "B", "VMs" };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double heap = heap_bytes ();
      bt_tables_t *tables = fleet_tables (sizes[i], 79);
      add_point (&memory, sizes[i], heap_bytes () - heap);
      g_autoptr (GBytes) bytes = bt_tables_to_bytes (tables, FALSE);
      add_point (&whole, sizes[i], (double)g_bytes_get_size (bytes));
      bt_world_t *world = world_new (tables, 1, FALSE);
      bt_node_t *node = world->nodes->pdata[0];
      ((bt_route_t *)tables->routes->pdata[0])->max_retries = 7;
      bt_edit_t *change = bt_fold_diff (bt_core_tables (node->core), tables, "edit", "bench");
      g_autoptr (GBytes) text = bt_schema_to_bytes (&bt_edit_schema, change);
      add_point (&edit, sizes[i], (double)g_bytes_get_size (text));
      double before = cpu_s ();
      bt_world_publish (world, change);
      bt_world_run (world, 100 * BT_USEC_PER_MSEC);
      double used = cpu_s () - before;
      before = cpu_s ();
      bt_world_run (world, 100 * BT_USEC_PER_MSEC);
      add_point (&fold, sizes[i], (used - (cpu_s () - before)) * 1e6);
      bt_schema_free (&bt_edit_schema, change);
      bt_world_free (world);
      bt_tables_free (tables);
    }
  print_fit (&memory);
  print_fit (&whole);
  print_fit (&edit);
  print_fit (&fold);
}

typedef struct
{
  bt_worker_model_t model;
  GMainLoop *loop;
  double bytes;
} http_t;

static void
on_lease (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
          gpointer data)
{
  http_t *http = data;
  bt_lease_request_t *request = bt_standin_read (message, &bt_lease_request_schema);
  if (request == NULL)
    return;
  bt_standin_write (message, &bt_lease_reply_schema, bt_worker_model_lease (&http->model, request));
  bt_schema_free (&bt_lease_request_schema, request);
}

static void
on_queued (SoupSession *session, SoupMessage *message, gpointer data)
{
  soup_message_add_flags (message, SOUP_MESSAGE_COLLECT_METRICS);
}

static void
on_unqueued (SoupSession *session, SoupMessage *message, gpointer data)
{
  http_t *http = data;
  SoupMessageMetrics *metrics = soup_message_get_metrics (message);
  http->bytes = (double)soup_message_metrics_get_request_header_bytes_sent (metrics)
                + (double)soup_message_metrics_get_request_body_bytes_sent (metrics)
                + (double)soup_message_metrics_get_response_header_bytes_received (metrics)
                + (double)soup_message_metrics_get_response_body_bytes_received (metrics);
}

static void
on_leased (gpointer data, guint status, GBytes *body)
{
  g_main_loop_quit (((http_t *)data)->loop);
}

static double
exchange_lease (http_t *http, bt_http_client_t *client, const char *address, gint64 epoch,
                gboolean full, guint acks)
{
  bt_lease_request_t request = { .epoch = epoch, .ttl_ms = 3000, .task_ttl_ms = 8000 };
  request.owner = g_ref_string_new ("lahore-gulberg-d1-661c8a0033cae");
  request.last_clock_ms = epoch > 0 ? g_get_monotonic_time () / 1000 : 0;
  request.full = full;
  request.ack = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  for (guint i = 0; i < acks; i++)
    {
      g_autofree char *id = g_strdup_printf ("lahore-gulberg/lahore-gulberg-d1-661c8a0033cae.%u/0/"
                                             "lahore-gulberg-d1-661c8a0033cae.%u",
                                             i, i);
      g_ptr_array_add (request.ack, g_ref_string_new (id));
    }
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_lease_request_schema, &request);
  bt_http_call (client, "POST", address, "/v1/lease", body, NULL, on_leased, http);
  g_main_loop_run (http->loop);
  g_ref_string_release (request.owner);
  g_ptr_array_unref (request.ack);
  return http->bytes;
}

static void
start_attempts (http_t *http, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("lahore-gulberg/lahore-gulberg-d1-661c8a0033cae.%u/0/"
                                             "lahore-gulberg-d1-661c8a0033cae.%u",
                                             i, i);
      bt_start_request_t start = { .epoch = http->model.epoch, .service = TRUE };
      start.owner = http->model.owner;
      start.attempt = g_ref_string_new (id);
      start.job = start.attempt;
      start.mcpus = 500;
      start.memory_mb = 256;
      bt_schema_free (&bt_start_reply_schema, bt_worker_model_start (&http->model, &start));
      g_ref_string_release (start.attempt);
    }
}

static void
on_start (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
          gpointer data)
{
  http_t *http = data;
  bt_start_request_t *request = bt_standin_read (message, &bt_start_request_schema);
  if (request == NULL)
    return;
  bt_start_reply_t *reply = bt_worker_model_start (&http->model, request);
  bt_worker_model_tick (&http->model);
  const bt_model_attempt_t *attempt = bt_worker_model_attempt (&http->model, request->attempt);
  if (attempt != NULL)
    {
      reply->verdict = BT_START_ENDED;
      reply->report = bt_schema_copy (&bt_attempt_report_schema, &attempt->report);
    }
  bt_standin_write (message, &bt_start_reply_schema, reply);
  bt_schema_free (&bt_start_request_schema, request);
}

/* A start whose reply carries the answer, which repeats the payload. */
static double
exchange_start (http_t *http, bt_http_client_t *client, const char *address, gsize payload)
{
  g_autofree char *text = g_strnfill (payload, 'x');
  bt_start_request_t start = { .epoch = http->model.epoch, .wait = TRUE };
  start.owner = http->model.owner;
  start.attempt = g_ref_string_new ("lahore-gulberg/lahore-gulberg-d1-661c8a0033cae.99/0/"
                                    "lahore-gulberg-d1-661c8a0033cae.99");
  start.job = g_ref_string_new ("lahore-gulberg/lahore-gulberg-d1-661c8a0033cae.99");
  start.mcpus = 500;
  start.memory_mb = 128;
  start.connections = 1;
  start.payload = g_ref_string_new (text);
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_start_request_schema, &start);
  bt_http_call (client, "POST", address, "/v1/start", body, NULL, on_leased, http);
  g_main_loop_run (http->loop);
  g_ref_string_release (start.attempt);
  g_ref_string_release (start.job);
  g_ref_string_release (start.payload);
  return http->bytes;
}

/* Headers and bodies of a renewal as the adapter sends it; without TCP and IP. */
static void
measure_http (void)
{
  static const guint sizes[] = { 0, 4, 8, 16 };
  series_t renewal = { "HTTP bytes of a renewal, both ways", "B", "attempts confirmed" };
  series_t full = { "HTTP bytes of a renewal with the full list", "B", "attempts running" };
  series_t start = { "HTTP bytes of a start with its answer", "B", "bytes of payload" };
  bt_clock_t clock;
  bt_clock_init (&clock);
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      http_t http = { .loop = g_main_loop_new (NULL, FALSE) };
      bt_resources_t capacity = { { 64000, 131072, 8, SLOTS, 64 } };
      bt_worker_model_init (&http.model, "compile-1", &clock, &capacity, 1796363895);
      g_autoptr (SoupServer) server = bt_standin_listen (LOOPBACK_WORKER, NULL);
      soup_server_add_handler (server, "/v1/lease", on_lease, &http, NULL);
      soup_server_add_handler (server, "/v1/start", on_start, &http, NULL);
      GSList *uris = soup_server_get_uris (server);
      g_autofree char *address
          = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port ((GUri *)uris->data));
      g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
      bt_http_client_t *client = bt_http_client_new (HTTP_TIMEOUT_MS, 4);
      SoupSession *session = bt_http_client_session (client, address);
      g_signal_connect (session, "request-queued", G_CALLBACK (on_queued), &http);
      g_signal_connect (session, "request-unqueued", G_CALLBACK (on_unqueued), &http);
      exchange_lease (&http, client, address, 0, FALSE, 0);
      exchange_lease (&http, client, address, http.model.epoch, FALSE, 0);
      start_attempts (&http, sizes[i]);
      add_point (&renewal, sizes[i],
                 exchange_lease (&http, client, address, http.model.epoch, FALSE, sizes[i]));
      add_point (&full, sizes[i],
                 exchange_lease (&http, client, address, http.model.epoch, TRUE, 0));
      gsize payload = (gsize)sizes[i] * PAYLOAD_STEP;
      add_point (&start, (double)payload, exchange_start (&http, client, address, payload));
      bt_http_client_free (client);
      soup_server_disconnect (server);
      bt_worker_model_clear (&http.model);
      g_main_loop_unref (http.loop);
    }
  print_fit (&renewal);
  print_fit (&full);
  print_fit (&start);
}

int
main (void)
{
  bt_log_set_level (BT_LOG_ERROR);
  measure_http ();
  measure_members ();
  measure_workers ();
  measure_tasks ();
  measure_jobs ();
  measure_recovery ();
  measure_tables ();
  return EXIT_SUCCESS;
}
