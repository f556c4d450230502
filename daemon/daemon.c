#include "daemon/daemon.h"

#include <glib-unix.h>
#include <signal.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/caller_server.h"
#include "libbamboothread/connection/vm_list_client.h"
#include "libbamboothread/connection/log_client.h"
#include "libbamboothread/connection/peer.h"
#include "libbamboothread/connection/worker_client.h"
#include "libbamboothread/process/core.h"

/*
 * The daemon connects the core to its sockets in one main loop. Each client and
 * server owns its connections and passes messages on by callback.
 */

#define TICK_MS 10
/* Maximum time that a planned stop waits for requests in flight. */
#define STOP_MAX_WAIT_MS 30000
/* Time for a request on a connection that was accepted just before the server was closed. */
#define LAST_REQUEST_WAIT_MS 100

struct bt_daemon_t
{
  GMainLoop *loop;
  bt_clock_t clock;
  bt_core_t *core;
  bt_peers_t *peers;
  bt_worker_client_t *workers;
  bt_log_client_t *log;
  bt_vm_list_client_t *list;
  bt_caller_server_t *callers;
  gint64 stop_deadline;
  gint64 callers_closed_at;
};

static void
peer_send (void *context, const char *address, const Bt__Envelope *envelope)
{
  bt_daemon_t *daemon = context;
  bt_peers_send (daemon->peers, address, envelope);
}

static void
log_append (void *context, const char *stream, guint64 batch, const GPtrArray *records)
{
  bt_daemon_t *daemon = context;
  bt_log_client_append (daemon->log, stream, batch, records);
}

static void
log_read (void *context, const char *stream, gint64 from)
{
  bt_daemon_t *daemon = context;
  bt_log_client_read (daemon->log, stream, from);
}

static void
worker_lease (void *context, const char *worker, const char *address,
              const bt_lease_request_t *request)
{
  bt_daemon_t *daemon = context;
  bt_worker_client_lease (daemon->workers, worker, address, request);
}

static void
worker_start (void *context, const char *worker, const char *address,
              const bt_start_request_t *request)
{
  bt_daemon_t *daemon = context;
  bt_worker_client_start (daemon->workers, worker, address, request);
}

static void
worker_stop (void *context, const char *worker, const char *address,
             const bt_stop_request_t *request)
{
  bt_daemon_t *daemon = context;
  bt_worker_client_stop (daemon->workers, worker, address, request);
}

static void
worker_release (void *context, const char *worker, const char *address,
                const bt_release_request_t *request)
{
  bt_daemon_t *daemon = context;
  bt_worker_client_release (daemon->workers, worker, address, request);
}

static void
answer (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome)
{
  bt_daemon_t *daemon = context;
  bt_caller_server_answer (daemon->callers, exchange, job, outcome);
}

static void
query_answer (void *context, guint64 exchange, gboolean known, GBytes *body)
{
  bt_daemon_t *daemon = context;
  bt_caller_server_answer_query (daemon->callers, exchange, known, body);
}

static void
on_peer_message (void *context, const Bt__Envelope *envelope)
{
  bt_daemon_t *daemon = context;
  bt_core_on_peer_message (daemon->core, envelope);
}

/* Nothing to do: bt_peers_t logs the cause and closes the connection. */
static void
on_malformed (void *context, int cause)
{
}

static void
on_lease_reply (void *context, const char *worker, const bt_lease_reply_t *reply)
{
  bt_daemon_t *daemon = context;
  bt_core_on_lease_reply (daemon->core, worker, reply);
}

static void
on_start_reply (void *context, const char *worker, const char *attempt,
                const bt_start_reply_t *reply)
{
  bt_daemon_t *daemon = context;
  bt_core_on_start_reply (daemon->core, worker, attempt, reply);
}

static void
on_stop_reply (void *context, const char *worker, const bt_stop_reply_t *reply)
{
  bt_daemon_t *daemon = context;
  bt_core_on_stop_reply (daemon->core, worker, reply);
}

static void
on_append_done (void *context, guint64 batch, gboolean stored)
{
  bt_daemon_t *daemon = context;
  bt_core_on_append (daemon->core, batch, stored);
}

static void
on_records (void *context, const char *stream, gint64 first, const GPtrArray *records, gint64 next)
{
  bt_daemon_t *daemon = context;
  bt_core_on_records (daemon->core, stream, first, records, next);
}

static void
on_read_failed (void *context, const char *stream, const GError *error, gint64 first_kept)
{
  bt_daemon_t *daemon = context;
  bt_core_on_read_failed (daemon->core, stream, error, first_kept);
}

static void
on_vm_list (void *context, const GPtrArray *leaving)
{
  bt_daemon_t *daemon = context;
  bt_core_on_vm_list (daemon->core, leaving);
}

static const bt_core_ops_t core_ops = {
  .peer_send = peer_send,
  .log_append = log_append,
  .log_read = log_read,
  .worker_lease = worker_lease,
  .worker_start = worker_start,
  .worker_stop = worker_stop,
  .worker_release = worker_release,
  .answer = answer,
  .query_answer = query_answer,
};

static const bt_peer_handler_t peer_handler = { on_peer_message, on_malformed };
static const bt_worker_handler_t worker_handler = { on_lease_reply, on_start_reply, on_stop_reply };
static const bt_log_client_handler_t log_handler = { on_append_done, on_records, on_read_failed };

static bt_core_t *
core_new (bt_daemon_t *daemon, const bt_settings_t *settings)
{
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = settings->name;
  config.address = settings->address;
  config.data_centre = settings->data_centre;
  config.region = settings->region;
  config.seeds = settings->seeds;
  config.incarnation = (guint64)g_get_real_time ();
  config.heartbeat_us = settings->heartbeat_ms * BT_USEC_PER_MSEC;
  config.suspect_us = settings->suspect_ms * BT_USEC_PER_MSEC;
  config.lease_us = settings->lease_ms * BT_USEC_PER_MSEC;
  config.task_lease_us = settings->task_lease_ms * BT_USEC_PER_MSEC;
  config.drift_us = settings->drift_ms * BT_USEC_PER_MSEC;
  config.call_timeout_us = settings->call_timeout_ms * BT_USEC_PER_MSEC;
  config.retention_us = settings->retention_ms * BT_USEC_PER_MSEC;
  config.snapshot_us = settings->snapshot_ms * BT_USEC_PER_MSEC;
  config.append_interval_us = settings->append_interval_ms * BT_USEC_PER_MSEC;
  config.seed = g_random_int ();
  return bt_core_new (&config, &daemon->clock, &core_ops, daemon);
}

/**
 * bt_daemon_new() - open the sockets and create the core
 * @settings: valid settings, which must outlive the daemon
 * @error: why a socket could not be opened
 *
 * Return: a daemon, freed with bt_daemon_free(), or NULL.
 */
bt_daemon_t *
bt_daemon_new (const bt_settings_t *settings, GError **error)
{
  bt_daemon_t *daemon = g_new0 (bt_daemon_t, 1);
  bt_clock_init (&daemon->clock);
  daemon->loop = g_main_loop_new (NULL, FALSE);
  daemon->peers = bt_peers_new (settings->address, &peer_handler, daemon, error);
  if (daemon->peers != NULL)
    daemon->callers = bt_caller_server_new (settings->http, error);
  if (daemon->callers == NULL)
    {
      bt_daemon_free (daemon);
      return NULL;
    }
  daemon->core = core_new (daemon, settings);
  daemon->workers = bt_worker_client_new (settings->call_timeout_ms * BT_USEC_PER_MSEC,
                                          &worker_handler, daemon);
  daemon->log = bt_log_client_new (settings->log, &log_handler, daemon);
  if (settings->vm_list != NULL)
    daemon->list = bt_vm_list_client_new (settings->vm_list, on_vm_list, daemon);
  bt_caller_server_attach (daemon->callers, daemon->core);
  bt_log (BT_LOG_NOTICE, "started", "name=%s data_centre=%s address=%s http=%s version=%s",
          settings->name, settings->data_centre, settings->address, settings->http, BT_VERSION);
  return daemon;
}

/**
 * bt_daemon_free() - close the sockets and free the daemon
 * @daemon: the daemon
 */
void
bt_daemon_free (bt_daemon_t *daemon)
{
  g_clear_pointer (&daemon->list, bt_vm_list_client_free);
  g_clear_pointer (&daemon->log, bt_log_client_free);
  g_clear_pointer (&daemon->workers, bt_worker_client_free);
  g_clear_pointer (&daemon->callers, bt_caller_server_free);
  g_clear_pointer (&daemon->peers, bt_peers_free);
  g_clear_pointer (&daemon->core, bt_core_free);
  g_main_loop_unref (daemon->loop);
  g_free (daemon);
}

static gboolean
may_exit (bt_daemon_t *daemon)
{
  gint64 now = bt_clock_now (&daemon->clock);
  if (now > daemon->stop_deadline)
    return TRUE;
  if (!bt_core_is_idle (daemon->core))
    return FALSE;
  if (daemon->callers_closed_at == 0)
    {
      bt_caller_server_close (daemon->callers);
      daemon->callers_closed_at = now;
    }
  return bt_caller_server_is_idle (daemon->callers)
         && now > daemon->callers_closed_at + LAST_REQUEST_WAIT_MS * BT_USEC_PER_MSEC;
}

static gboolean
on_tick (gpointer data)
{
  bt_daemon_t *daemon = data;
  bt_core_tick (daemon->core);
  if (daemon->stop_deadline > 0 && may_exit (daemon))
    g_main_loop_quit (daemon->loop);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_terminate (gpointer data)
{
  bt_daemon_t *daemon = data;
  bt_log (BT_LOG_NOTICE, "leaving", "wait_ms=%d", STOP_MAX_WAIT_MS);
  bt_core_leave (daemon->core);
  daemon->stop_deadline = bt_clock_now (&daemon->clock) + STOP_MAX_WAIT_MS * BT_USEC_PER_MSEC;
  return G_SOURCE_CONTINUE;
}

/**
 * bt_daemon_run() - serve until a planned stop has ended
 * @daemon: the daemon
 *
 * SIGTERM or SIGINT begins the stop. It ends when all requests in flight are answered, or
 * after STOP_MAX_WAIT_MS.
 */
void
bt_daemon_run (bt_daemon_t *daemon)
{
  guint tick = g_timeout_add (TICK_MS, on_tick, daemon);
  guint term = g_unix_signal_add (SIGTERM, on_terminate, daemon);
  guint interrupt = g_unix_signal_add (SIGINT, on_terminate, daemon);
  bt_core_start (daemon->core);
  g_main_loop_run (daemon->loop);
  g_source_remove (tick);
  g_source_remove (term);
  g_source_remove (interrupt);
  bt_log (BT_LOG_NOTICE, "stopped", "idle=%d", bt_core_is_idle (daemon->core));
}
