#include <libsoup/soup.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libbamboothread/connection/http.h"
#include "libbamboothread/request/request.h"
#include "libbamboothread/request/worker_api.h"

/*
 * Short requests through a daemon against the same load sent straight to
 * workers, in one run. tools/bench-load starts what it needs.
 */

#define EXIT_USAGE 2
#define TIMEOUT_MS 30000
#define LEASE_MS (600 * 1000)
#define OWNER "bamboothread-load"
#define WARM_UP_PERCENT 10
/* Ended attempts of a worker that are confirmed to it at once. */
#define ACKS 64

typedef enum
{
  MODE_DIRECT,
  MODE_DAEMON,
} load_mode_t;

static const char *const mode_names[] = { "direct", "daemon" };

typedef struct
{
  load_mode_t mode;
  bt_http_client_t *http;
  GMainLoop *loop;
  char **targets;
  guint n_targets;
  gint64 *epochs;
  GPtrArray **acks;
  guint requests;
  guint concurrency;
  guint sent;
  guint attempts;
  guint ended;
  guint failed;
  gint64 *latencies;
  GBytes *job;
} load_t;

typedef struct
{
  load_t *load;
  guint target;
  char *attempt;
  gint64 sent_at;
} exchange_t;

/**
 * struct load_result_t - one run
 * @server_us: processor time of the server a request, in microseconds
 */
typedef struct
{
  double per_s;
  gint64 p50_us;
  gint64 p99_us;
  double server_us;
  guint failed;
} load_result_t;

static void send_next (load_t *load);
static void send_lease (load_t *load, guint target, gint64 epoch, bt_http_done_t done,
                        gpointer context);

static gboolean
answer_valid (const load_t *load, guint status, GBytes *body)
{
  if (status != SOUP_STATUS_OK)
    return FALSE;
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  const char *wanted = load->mode == MODE_DAEMON ? "\"done\"" : "\"ended\"";
  return g_strstr_len (data, (gssize)len, wanted) != NULL;
}

static void
on_acked (gpointer data, guint status, GBytes *body)
{
}

static void
acknowledge (load_t *load, exchange_t *exchange)
{
  GPtrArray *acks = load->acks[exchange->target];
  g_ptr_array_add (acks, g_ref_string_new (exchange->attempt));
  if (acks->len < ACKS)
    return;
  send_lease (load, exchange->target, load->epochs[exchange->target], on_acked, NULL);
  g_ptr_array_set_size (acks, 0);
}

static void
on_answer (gpointer data, guint status, GBytes *body)
{
  exchange_t *exchange = data;
  load_t *load = exchange->load;
  load->latencies[load->ended++] = g_get_monotonic_time () - exchange->sent_at;
  if (!answer_valid (load, status, body))
    load->failed++;
  if (exchange->attempt != NULL)
    acknowledge (load, exchange);
  g_free (exchange->attempt);
  g_free (exchange);
  if (load->sent < load->requests)
    send_next (load);
  else if (load->ended == load->requests)
    g_main_loop_quit (load->loop);
}

static GBytes *
start_body (const load_t *load, const exchange_t *exchange)
{
  bt_start_request_t start = { .epoch = load->epochs[exchange->target], .wait = TRUE };
  start.owner = g_ref_string_new_intern (OWNER);
  start.attempt = g_ref_string_new (exchange->attempt);
  start.job = g_ref_string_new_intern ("load");
  start.mcpus = 1;
  start.memory_mb = 1;
  start.connections = 1;
  start.payload = g_ref_string_new_intern ("term=oak");
  GBytes *body = bt_schema_to_bytes (&bt_start_request_schema, &start);
  g_ref_string_release (start.attempt);
  return body;
}

static void
send_next (load_t *load)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  exchange->load = load;
  exchange->target = load->sent++ % load->n_targets;
  exchange->sent_at = g_get_monotonic_time ();
  const char *target = load->targets[exchange->target];
  if (load->mode == MODE_DAEMON)
    {
      bt_http_call (load->http, "POST", target, "/v1/jobs", load->job, NULL, on_answer, exchange);
      return;
    }
  exchange->attempt
      = g_strdup_printf ("load-%d-%u-%u", getpid (), load->concurrency, load->attempts++);
  g_autoptr (GBytes) body = start_body (load, exchange);
  bt_http_call (load->http, "POST", target, "/v1/start", body, NULL, on_answer, exchange);
}

typedef struct
{
  load_t *load;
  guint target;
} claim_t;

static void
on_claimed (gpointer data, guint status, GBytes *body)
{
  claim_t *claim = data;
  load_t *load = claim->load;
  gsize len = 0;
  const char *text = body != NULL ? g_bytes_get_data (body, &len) : "";
  bt_lease_reply_t *reply
      = status == SOUP_STATUS_OK ? bt_schema_parse (&bt_lease_reply_schema, text, len, NULL) : NULL;
  load->epochs[claim->target] = reply != NULL && reply->granted ? reply->epoch : -1;
  bt_schema_free (&bt_lease_reply_schema, reply);
  g_main_loop_quit (load->loop);
}

static void
send_lease (load_t *load, guint target, gint64 epoch, bt_http_done_t done, gpointer context)
{
  bt_lease_request_t request = { .epoch = epoch, .ttl_ms = LEASE_MS, .task_ttl_ms = LEASE_MS };
  request.owner = g_ref_string_new_intern (OWNER);
  request.last_clock_ms = epoch != 0 ? g_get_monotonic_time () / 1000 : 0;
  request.ack = load->acks[target];
  g_autoptr (GBytes) body = bt_schema_to_bytes (&bt_lease_request_schema, &request);
  bt_http_call (load->http, "POST", load->targets[target], "/v1/lease", body, NULL, done, context);
}

static gboolean
claim (load_t *load, guint target, gint64 epoch)
{
  claim_t claim = { load, target };
  send_lease (load, target, epoch, on_claimed, &claim);
  g_main_loop_run (load->loop);
  return load->epochs[target] > 0;
}

static gboolean
claim_all (load_t *load)
{
  for (guint i = 0; i < load->n_targets; i++)
    if (!claim (load, i, 0) || !claim (load, i, load->epochs[i]))
      return FALSE;
  return TRUE;
}

static gint
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

/* Processor time that a process has used, in microseconds. */
static gint64
process_time_us (int pid)
{
  g_autofree char *file = g_strdup_printf ("/proc/%d/stat", pid);
  g_autofree char *text = NULL;
  if (pid <= 0 || !g_file_get_contents (file, &text, NULL, NULL))
    return 0;
  const char *rest = strrchr (text, ')');
  unsigned long user = 0;
  unsigned long kernel = 0;
  if (rest == NULL
      || sscanf (rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &kernel)
             != 2)
    return 0;
  return (gint64)((user + kernel) * 1000000 / (unsigned long)sysconf (_SC_CLK_TCK));
}

static load_result_t
run_once (load_t *load, guint requests, int server_pid)
{
  load->requests = requests;
  load->sent = load->ended = load->failed = 0;
  load->latencies = g_renew (gint64, load->latencies, requests);
  gint64 begun = g_get_monotonic_time ();
  gint64 server_before = process_time_us (server_pid);
  for (guint i = 0; i < MIN (load->concurrency, requests); i++)
    send_next (load);
  g_main_loop_run (load->loop);
  load_result_t result = { .failed = load->failed };
  result.per_s = requests * 1e6 / (double)(g_get_monotonic_time () - begun);
  result.server_us = (double)(process_time_us (server_pid) - server_before) / requests;
  qsort (load->latencies, requests, sizeof *load->latencies, compare_int64);
  result.p50_us = load->latencies[requests / 2];
  result.p99_us = load->latencies[requests * 99 / 100];
  return result;
}

static load_result_t
run (load_mode_t mode, const char *targets, guint concurrency, guint requests, int server_pid)
{
  load_t load = { .mode = mode, .concurrency = concurrency };
  load.http = bt_http_client_new (TIMEOUT_MS, concurrency);
  load.loop = g_main_loop_new (NULL, FALSE);
  load.targets = g_strsplit (targets, ",", -1);
  load.n_targets = g_strv_length (load.targets);
  load.epochs = g_new0 (gint64, load.n_targets);
  load.acks = g_new0 (GPtrArray *, load.n_targets);
  for (guint i = 0; i < load.n_targets; i++)
    load.acks[i] = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
  static const char job[] = "{\"caller\":\"load\",\"work\":\"look\",\"kind\":\"request\","
                            "\"mcpus\":1,\"memory_mb\":1,\"run_ms\":1,\"payload\":\"term=oak\"}";
  load.job = g_bytes_new_static (job, strlen (job));
  load_result_t result = { .failed = requests };
  if (mode == MODE_DAEMON || claim_all (&load))
    {
      run_once (&load, MAX (1, requests * WARM_UP_PERCENT / 100), server_pid);
      result = run_once (&load, requests, server_pid);
    }
  g_bytes_unref (load.job);
  for (guint i = 0; i < load.n_targets; i++)
    g_ptr_array_unref (load.acks[i]);
  g_free (load.acks);
  g_free (load.epochs);
  g_free (load.latencies);
  g_strfreev (load.targets);
  g_main_loop_unref (load.loop);
  bt_http_client_free (load.http);
  return result;
}

static gboolean
compare (const char *daemons, const char *workers, guint concurrency, guint requests, int pid)
{
  load_result_t results[2];
  const char *targets[] = { workers, daemons };
  for (guint mode = MODE_DIRECT; mode <= MODE_DAEMON; mode++)
    {
      load_result_t *result = &results[mode];
      *result = run ((load_mode_t)mode, targets[mode], concurrency, requests,
                     mode == MODE_DAEMON ? pid : 0);
      printf ("{\"path\":\"%s\",\"concurrency\":%u,\"requests\":%u,\"failed\":%u,"
              "\"per_s\":%.0f,\"p50_us\":%" G_GINT64_FORMAT ",\"p99_us\":%" G_GINT64_FORMAT
              ",\"daemon_us\":%.0f}\n",
              mode_names[mode], concurrency, requests, result->failed, result->per_s,
              result->p50_us, result->p99_us, result->server_us);
    }
  printf ("{\"concurrency\":%u,\"ratio_per_s\":%.2f,\"ratio_p50\":%.2f,\"ratio_p99\":%.2f}\n",
          concurrency, results[MODE_DAEMON].per_s / results[MODE_DIRECT].per_s,
          (double)results[MODE_DAEMON].p50_us / (double)results[MODE_DIRECT].p50_us,
          (double)results[MODE_DAEMON].p99_us / (double)results[MODE_DIRECT].p99_us);
  return results[MODE_DIRECT].failed == 0 && results[MODE_DAEMON].failed == 0;
}

int
main (int argc, const char **argv)
{
  char *daemons = NULL;
  char *workers = NULL;
  int requests = 5000;
  int pid = 0;
  struct poptOption options[] = {
    { "daemons", 'd', POPT_ARG_STRING, &daemons, 0, "entries, joined by commas", "IP:PORT" },
    { "workers", 'w', POPT_ARG_STRING, &workers, 0, "workers that no daemon owns", "IP:PORT" },
    { "requests", 'n', POPT_ARG_INT, &requests, 0, "requests a run", "N" },
    { "pid", 'p', POPT_ARG_INT, &pid, 0, "process whose processor time to report", "PID" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothread-load", argc, argv, options, 0);
  int parsed = poptGetNextOpt (popt);
  poptFreeContext (popt);
  if (parsed < -1 || daemons == NULL || workers == NULL || requests < 1)
    {
      fprintf (stderr, "bamboothread-load: --daemons and --workers are needed\n");
      return EXIT_USAGE;
    }
  static const guint concurrencies[] = { 1, 8, 64 };
  gboolean valid = TRUE;
  for (guint i = 0; i < G_N_ELEMENTS (concurrencies); i++)
    valid = compare (daemons, workers, concurrencies[i], (guint)requests, pid) && valid;
  return valid ? EXIT_SUCCESS : EXIT_FAILURE;
}
