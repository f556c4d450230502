#include "standins/world.h"

#include <string.h>

#include "libbamboothread/base/error.h"

#define READ_MAX_RECORDS 1000
#define READ_WAIT_US (5 * BT_USEC_PER_SEC)
#define WORLD_EPOCH_US (1000LL * BT_USEC_PER_SEC)

/**
 * enum event_kind_t - what happens at a time
 */
typedef enum
{
  EVENT_TICK,
  EVENT_PEER,
  EVENT_LEASE,
  EVENT_LEASE_REPLY,
  EVENT_START,
  EVENT_START_REPLY,
  EVENT_STOP,
  EVENT_STOP_REPLY,
  EVENT_RELEASE,
  EVENT_APPEND,
  EVENT_APPEND_REPLY,
  EVENT_READ,
  EVENT_READ_REPLY,
  EVENT_READ_TIMEOUT,
} event_kind_t;

/**
 * struct event_t - a message on its way, or a timer
 * @call: names the call that a reply belongs to; calls are answered once
 */
typedef struct
{
  gint64 at;
  guint64 order;
  event_kind_t kind;
  bt_node_t *node;
  guint64 incarnation;
  bt_host_t *host;
  guint64 call;
  GBytes *bytes;
  char *name;
  gpointer object;
  const bt_schema_t *schema;
  gint64 from;
  GPtrArray *records;
  gboolean failed;
  gboolean expired;
  gint64 first_kept;
} event_t;

static void
event_free (gpointer data)
{
  event_t *event = data;
  g_clear_pointer (&event->bytes, g_bytes_unref);
  g_clear_pointer (&event->records, g_ptr_array_unref);
  if (event->schema != NULL)
    bt_schema_free (event->schema, event->object);
  g_free (event->name);
  g_free (event);
}

static gint
event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const event_t *left = a;
  const event_t *right = b;
  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

static event_t *
event_new (bt_world_t *world, event_kind_t kind, bt_node_t *node, gint64 delay_us)
{
  event_t *event = g_new0 (event_t, 1);
  event->at = world->clock.now_us + delay_us;
  event->order = world->event_counter++;
  event->kind = kind;
  event->node = node;
  event->incarnation = node != NULL ? node->incarnation : 0;
  return event;
}

static void
event_post (bt_world_t *world, event_t *event)
{
  g_sequence_insert_sorted (world->events, event, event_compare, NULL);
}

static gboolean
chance (bt_world_t *world, guint percent)
{
  return percent > 0 && (guint)g_rand_int_range (world->rand, 0, 100) < percent;
}

static gint64
delay (bt_world_t *world)
{
  const bt_world_config_t *config = &world->config;
  gint64 us = config->delay_min_us;
  if (config->delay_max_us > config->delay_min_us)
    us += g_rand_int_range (world->rand, 0, (gint32)(config->delay_max_us - config->delay_min_us));
  if (chance (world, world->late_percent) && world->late_max_us > 0)
    us += g_rand_int_range (world->rand, 0, (gint32)world->late_max_us);
  return us;
}

static char *
cut_key (const char *a, const char *b)
{
  return strcmp (a, b) < 0 ? g_strdup_printf ("%s|%s", a, b) : g_strdup_printf ("%s|%s", b, a);
}

static gboolean
is_cut (const bt_world_t *world, const char *a, const char *b)
{
  g_autofree char *key = cut_key (a, b);
  return g_hash_table_contains (world->cuts, key);
}

static gboolean
host_reachable (const bt_node_t *node, const bt_host_t *host)
{
  return !host->cut && !node->isolated
         && !is_cut (node->world, node->data_centre, host->data_centre);
}

static gboolean
log_reachable (const bt_node_t *node)
{
  return !node->log_cut && !node->isolated && !node->world->log_down;
}

static bt_node_t *
node_at (bt_world_t *world, const char *address)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      bt_node_t *node = world->nodes->pdata[i];
      if (strcmp (node->address, address) == 0)
        return node;
    }
  return NULL;
}

static void
peer_send (void *context, const char *address, const Bt__Envelope *envelope)
{
  bt_node_t *from = context;
  bt_world_t *world = from->world;
  bt_node_t *to = node_at (world, address);
  gsize size = bt__envelope__get_packed_size (envelope);
  from->bytes_sent += size + sizeof (guint32);
  from->messages_sent++;
  if (to == NULL || from->isolated || to->isolated || chance (world, world->loss_percent)
      || is_cut (world, from->data_centre, to->data_centre) || is_cut (world, from->name, to->name))
    return;
  if (strcmp (from->region, to->region) != 0)
    world->region_bytes += size + sizeof (guint32);
  guint8 *packed = g_malloc (size);
  bt__envelope__pack (envelope, packed);
  g_autoptr (GBytes) bytes = g_bytes_new_take (packed, size);
  guint copies = chance (world, world->repeat_percent) ? 2 : 1;
  for (guint i = 0; i < copies; i++)
    {
      event_t *event = event_new (world, EVENT_PEER, to, delay (world));
      event->incarnation = 0;
      event->bytes = g_bytes_ref (bytes);
      event_post (world, event);
    }
}

/* A call is answered once: the first of its reply and its failure counts. */
static guint64
open_call (bt_world_t *world)
{
  guint64 call = ++world->event_counter;
  g_hash_table_add (world->open_calls, g_memdup2 (&call, sizeof call));
  return call;
}

/* The caller of a call that gets no reply learns so after a while. */
static void
post_call_failure (bt_node_t *node, event_kind_t kind, bt_host_t *host, guint64 call,
                   const char *name)
{
  bt_world_t *world = node->world;
  event_t *event = event_new (world, kind, node, world->config.call_timeout_us);
  event->host = host;
  event->call = call;
  event->name = g_strdup (name);
  event->failed = TRUE;
  event_post (world, event);
}

static void
post_worker_call (bt_node_t *node, event_kind_t kind, event_kind_t reply_kind, const char *worker,
                  const bt_schema_t *schema, gconstpointer request, const char *name,
                  gboolean fails_in_time)
{
  bt_world_t *world = node->world;
  bt_host_t *host = bt_world_host (world, worker);
  guint64 call = open_call (world);
  if (fails_in_time)
    post_call_failure (node, reply_kind, host, call, name);
  if (host == NULL || host->dead || !host_reachable (node, host)
      || chance (world, world->loss_percent))
    {
      if (!fails_in_time && reply_kind != EVENT_RELEASE)
        post_call_failure (node, reply_kind, host, call, name);
      return;
    }
  event_t *event = event_new (world, kind, node, delay (world));
  event->host = host;
  event->call = call;
  event->schema = schema;
  event->object = bt_schema_copy (schema, request);
  event->name = g_strdup (name);
  event_post (world, event);
}

static void
worker_lease (void *context, const char *worker, const char *address,
              const bt_lease_request_t *request)
{
  post_worker_call (context, EVENT_LEASE, EVENT_LEASE_REPLY, worker, &bt_lease_request_schema,
                    request, worker, TRUE);
}

static void
worker_start (void *context, const char *worker, const char *address,
              const bt_start_request_t *request)
{
  post_worker_call (context, EVENT_START, EVENT_START_REPLY, worker, &bt_start_request_schema,
                    request, request->attempt, !request->wait);
}

static void
worker_stop (void *context, const char *worker, const char *address,
             const bt_stop_request_t *request)
{
  post_worker_call (context, EVENT_STOP, EVENT_STOP_REPLY, worker, &bt_stop_request_schema, request,
                    worker, TRUE);
}

static void
worker_release (void *context, const char *worker, const char *address,
                const bt_release_request_t *request)
{
  post_worker_call (context, EVENT_RELEASE, EVENT_RELEASE, worker, &bt_release_request_schema,
                    request, worker, FALSE);
}

static void
log_append (void *context, const char *stream, guint64 batch, const GPtrArray *records)
{
  bt_node_t *node = context;
  bt_world_t *world = node->world;
  guint64 call = open_call (world);
  event_t *failure = event_new (world, EVENT_APPEND_REPLY, node, world->config.call_timeout_us);
  failure->call = call;
  failure->from = (gint64)batch;
  failure->failed = TRUE;
  event_post (world, failure);
  if (!log_reachable (node) || chance (world, world->loss_percent))
    return;
  event_t *event = event_new (world, EVENT_APPEND, node, delay (world) + world->log_delay_us);
  event->call = call;
  event->name = g_strdup (stream);
  event->from = (gint64)batch;
  event->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (event->records, g_bytes_ref (records->pdata[i]));
  event_post (world, event);
}

static void
log_read (void *context, const char *stream, gint64 from)
{
  bt_node_t *node = context;
  bt_world_t *world = node->world;
  event_t *event = event_new (world, EVENT_READ, node, delay (world) + world->log_delay_us);
  event->call = ++world->event_counter;
  event->name = g_strdup (stream);
  event->from = from;
  event->failed = !log_reachable (node) || chance (world, world->loss_percent);
  if (event->failed)
    {
      event->kind = EVENT_READ_REPLY;
      event->at += world->config.call_timeout_us;
    }
  event_post (world, event);
}

static void
answer (void *context, guint64 exchange, const char *job, const bt_outcome_t *outcome)
{
  bt_node_t *node = context;
  const bt_world_observer_t *observer = &node->world->observer;
  if (observer->answered != NULL)
    observer->answered (node->world->context, node, exchange, job, outcome);
}

static void
query_answer (void *context, guint64 exchange, gboolean known, GBytes *body)
{
  bt_node_t *node = context;
  const bt_world_observer_t *observer = &node->world->observer;
  if (observer->queried != NULL)
    observer->queried (node->world->context, node, exchange, known, body);
}

static const bt_core_ops_t node_ops = {
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

/**
 * bt_world_config_init() - a quiet world
 * @config: filled in
 */
void
bt_world_config_init (bt_world_config_t *config)
{
  memset (config, 0, sizeof *config);
  config->daemons = 2;
  config->tick_us = 20 * BT_USEC_PER_MSEC;
  config->delay_min_us = 500;
  config->delay_max_us = 1500;
  config->call_timeout_us = 1 * BT_USEC_PER_SEC;
  config->seed = 1;
}

static void
on_model_ended (void *context, const bt_attempt_report_t *report)
{
  bt_host_t *host = context;
  bt_world_t *world = host->world;
  if (world->observer.ended != NULL)
    world->observer.ended (world->context, host, report);
  event_t *held = g_hash_table_lookup (host->held_replies, report->attempt);
  if (held == NULL)
    return;
  g_hash_table_steal (host->held_replies, report->attempt);
  held->at = world->clock.now_us + delay (world);
  held->order = world->event_counter++;
  bt_start_reply_t *reply = held->object;
  reply->verdict = BT_START_ENDED;
  reply->report = bt_schema_copy (&bt_attempt_report_schema, report);
  held->failed = !host_reachable (held->node, host) || chance (world, world->loss_percent);
  event_post (world, held);
}

static void
host_new (bt_world_t *world, const bt_pool_t *pool, const bt_vm_t *vm)
{
  bt_host_t *host = g_new0 (bt_host_t, 1);
  bt_vector_t capacity;
  bt_pool_vm_capacity (pool, vm, &capacity);
  host->world = world;
  host->data_centre = g_strdup (vm->data_centre);
  host->pool = g_strdup (pool->name);
  host->rack = g_strdup (vm->rack);
  host->left_at = G_MAXINT64;
  host->held_replies = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, event_free);
  g_queue_init (&host->waiting);
  bt_worker_model_init (&host->model, vm->name, &world->clock, &capacity,
                        (gint64)++world->incarnation_counter);
  host->model.ended = on_model_ended;
  host->model.context = host;
  g_ptr_array_add (world->hosts, host);
}

static void
node_new (bt_world_t *world, const char *data_centre, guint number)
{
  bt_node_t *node = g_new0 (bt_node_t, 1);
  node->world = world;
  node->name = g_strdup_printf ("%s-d%u", data_centre, number);
  node->address = g_strdup_printf ("%s:%u", data_centre, number);
  node->data_centre = g_strdup (data_centre);
  node->region = g_strdup (world->config.region_of != NULL ? world->config.region_of (data_centre)
                                                           : data_centre);
  g_queue_init (&node->waiting);
  g_ptr_array_add (world->nodes, node);
  g_ptr_array_add (world->seeds, node->address);
}

static void
add_data_centre (bt_world_t *world, GHashTable *known, const char *data_centre)
{
  if (!g_hash_table_add (known, (gpointer)data_centre))
    return;
  for (guint i = 1; i <= world->config.daemons; i++)
    node_new (world, data_centre, i);
}

static void
publish_tables (bt_world_t *world, const bt_tables_t *tables)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  bt_edit_t *edit = bt_fold_diff (&fold, tables, "first", "world");
  bt_world_publish (world, edit);
  bt_schema_free (&bt_edit_schema, edit);
  bt_fold_clear (&fold);
}

/**
 * bt_world_new() - a world with all its daemons running
 * @config: what it holds; @config->tables is used here only
 * @observer: what to call when things happen, copied, or NULL
 * @context: handed to @observer
 *
 * Return: a world for bt_world_free().
 */
bt_world_t *
bt_world_new (const bt_world_config_t *config, const bt_world_observer_t *observer, void *context)
{
  bt_world_t *world = g_new0 (bt_world_t, 1);
  world->config = *config;
  bt_clock_init_paused (&world->clock, WORLD_EPOCH_US);
  world->rand = g_rand_new_with_seed (config->seed);
  world->events = g_sequence_new (NULL);
  world->open_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->nodes = g_ptr_array_new ();
  world->hosts = g_ptr_array_new ();
  world->seeds = g_ptr_array_new ();
  world->cuts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->log_readers = g_ptr_array_new_with_free_func (event_free);
  bt_log_model_init (&world->log);
  if (observer != NULL)
    world->observer = *observer;
  world->context = context;
  if (config->tables != NULL)
    {
      g_autoptr (GHashTable) known = g_hash_table_new (g_str_hash, g_str_equal);
      for (guint i = 0; i < config->tables->pools->len; i++)
        {
          const bt_pool_t *pool = config->tables->pools->pdata[i];
          for (guint k = 0; k < pool->vms->len; k++)
            {
              const bt_vm_t *vm = pool->vms->pdata[k];
              host_new (world, pool, vm);
              add_data_centre (world, known, vm->data_centre);
            }
        }
      publish_tables (world, config->tables);
    }
  for (guint i = 0; i < world->nodes->len; i++)
    bt_world_start (world, world->nodes->pdata[i]);
  return world;
}

static void
node_free (bt_node_t *node)
{
  g_clear_pointer (&node->core, bt_core_free);
  g_queue_clear_full (&node->waiting, event_free);
  g_free (node->name);
  g_free (node->address);
  g_free (node->data_centre);
  g_free (node->region);
  g_free (node);
}

static void
host_free (bt_host_t *host)
{
  bt_worker_model_clear (&host->model);
  g_hash_table_unref (host->held_replies);
  g_queue_clear_full (&host->waiting, event_free);
  g_free (host->data_centre);
  g_free (host->pool);
  g_free (host->rack);
  g_free (host);
}

static void
free_queued (gpointer data, gpointer context)
{
  event_free (data);
}

/**
 * bt_world_free() - end a world
 * @world: the world
 */
void
bt_world_free (bt_world_t *world)
{
  for (guint i = 0; i < world->nodes->len; i++)
    node_free (world->nodes->pdata[i]);
  for (guint i = 0; i < world->hosts->len; i++)
    host_free (world->hosts->pdata[i]);
  g_ptr_array_unref (world->nodes);
  g_ptr_array_unref (world->hosts);
  g_ptr_array_unref (world->seeds);
  g_ptr_array_unref (world->log_readers);
  g_hash_table_unref (world->cuts);
  g_sequence_foreach (world->events, free_queued, NULL);
  g_sequence_free (world->events);
  g_hash_table_unref (world->open_calls);
  bt_log_model_clear (&world->log);
  g_rand_free (world->rand);
  g_free (world);
}

static void
post_tick (bt_node_t *node)
{
  event_post (node->world, event_new (node->world, EVENT_TICK, node, node->world->config.tick_us));
}

/**
 * bt_world_start() - start a dead daemon anew
 * @world: the world
 * @node: its place
 */
void
bt_world_start (bt_world_t *world, bt_node_t *node)
{
  if (node->core != NULL)
    return;
  bt_core_config_t config;
  bt_core_config_init (&config);
  config.name = node->name;
  config.address = node->address;
  config.data_centre = node->data_centre;
  config.region = node->region;
  config.incarnation = ++world->incarnation_counter;
  config.seeds = world->seeds;
  config.seed = g_rand_int (world->rand);
  if (world->config.lease_us > 0)
    config.lease_us = world->config.lease_us;
  if (world->config.task_lease_us > 0)
    config.task_lease_us = world->config.task_lease_us;
  if (world->config.snapshot_us > 0)
    config.snapshot_us = world->config.snapshot_us;
  node->incarnation = config.incarnation;
  node->paused = FALSE;
  node->core = bt_core_new (&config, &world->clock, &node_ops, node);
  bt_core_start (node->core);
  post_tick (node);
}

/**
 * bt_world_kill() - a daemon dies at once
 * @world: the world
 * @node: its place
 */
void
bt_world_kill (bt_world_t *world, bt_node_t *node)
{
  g_clear_pointer (&node->core, bt_core_free);
  g_queue_clear_full (&node->waiting, event_free);
  g_queue_init (&node->waiting);
}

static void
post_waiting (bt_world_t *world, GQueue *waiting)
{
  event_t *event;
  while ((event = g_queue_pop_head (waiting)) != NULL)
    {
      event->at = world->clock.now_us;
      event->order = world->event_counter++;
      event_post (world, event);
    }
}

/**
 * bt_world_pause() - a daemon stands still, or goes on
 * @world: the world
 * @node: its place
 * @paused: which
 */
void
bt_world_pause (bt_world_t *world, bt_node_t *node, gboolean paused)
{
  node->paused = paused;
  if (!paused)
    post_waiting (world, &node->waiting);
}

/**
 * bt_world_host_kill() - a worker dies with all that runs on it
 * @world: the world
 * @host: the worker
 */
void
bt_world_host_kill (bt_world_t *world, bt_host_t *host)
{
  host->dead = TRUE;
  host->paused = FALSE;
  bt_worker_model_reboot (&host->model, (gint64)++world->incarnation_counter);
  g_queue_clear_full (&host->waiting, event_free);
  g_queue_init (&host->waiting);
  GHashTableIter iter;
  event_t *held;
  g_hash_table_iter_init (&iter, host->held_replies);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&held))
    {
      g_hash_table_iter_steal (&iter);
      held->at = world->clock.now_us + world->config.call_timeout_us;
      held->order = world->event_counter++;
      held->failed = TRUE;
      event_post (world, held);
    }
}

/**
 * bt_world_host_boot() - a dead worker is back, empty
 * @world: the world
 * @host: the worker
 */
void
bt_world_host_boot (bt_world_t *world, bt_host_t *host)
{
  host->dead = FALSE;
}

/**
 * bt_world_host_pause() - a worker stands still with all that runs on it, or goes on
 * @world: the world
 * @host: the worker
 * @paused: which
 */
void
bt_world_host_pause (bt_world_t *world, bt_host_t *host, gboolean paused)
{
  host->paused = paused;
  if (paused)
    return;
  bt_worker_model_tick (&host->model);
  post_waiting (world, &host->waiting);
}

/**
 * bt_world_cut() - cut or mend the links between two data centres or two daemons
 * @world: the world
 * @a: name of one
 * @b: name of the other
 * @cut: which
 */
void
bt_world_cut (bt_world_t *world, const char *a, const char *b, gboolean cut)
{
  char *key = cut_key (a, b);
  if (cut)
    {
      g_hash_table_add (world->cuts, key);
      return;
    }
  g_hash_table_remove (world->cuts, key);
  g_free (key);
}

static void
fail_reader (bt_world_t *world, event_t *reader)
{
  reader->kind = EVENT_READ_REPLY;
  reader->failed = TRUE;
  reader->at = world->clock.now_us + world->config.call_timeout_us;
  reader->order = world->event_counter++;
  event_post (world, reader);
}

/**
 * bt_world_log_set_down() - the log answers nothing, or is back
 * @world: the world
 * @down: which
 */
void
bt_world_log_set_down (bt_world_t *world, gboolean down)
{
  world->log_down = down;
  while (down && world->log_readers->len > 0)
    fail_reader (world, g_ptr_array_steal_index (world->log_readers, 0));
}

/**
 * bt_world_heal() - end all faults: everything runs and reaches everything
 * @world: the world
 */
void
bt_world_heal (bt_world_t *world)
{
  world->loss_percent = 0;
  world->repeat_percent = 0;
  world->late_percent = 0;
  world->log_delay_us = 0;
  world->lose_append_answers = 0;
  g_hash_table_remove_all (world->cuts);
  bt_world_log_set_down (world, FALSE);
  for (guint i = 0; i < world->nodes->len; i++)
    {
      bt_node_t *node = world->nodes->pdata[i];
      node->log_cut = FALSE;
      node->isolated = FALSE;
      bt_world_pause (world, node, FALSE);
      bt_world_start (world, node);
    }
  for (guint i = 0; i < world->hosts->len; i++)
    {
      bt_host_t *host = world->hosts->pdata[i];
      host->cut = FALSE;
      bt_world_host_pause (world, host, FALSE);
      bt_world_host_boot (world, host);
    }
}

static void
reply_to (bt_world_t *world, const event_t *call, event_kind_t kind, const bt_schema_t *schema,
          gpointer object)
{
  event_t *reply = event_new (world, kind, call->node, delay (world));
  reply->incarnation = call->incarnation;
  reply->host = call->host;
  reply->call = call->call;
  reply->name = g_strdup (call->name);
  reply->schema = schema;
  reply->object = object;
  reply->failed = !host_reachable (call->node, call->host) || chance (world, world->loss_percent);
  event_post (world, reply);
}

static void
handle_start (bt_world_t *world, event_t *event)
{
  bt_host_t *host = event->host;
  const bt_start_request_t *request = event->object;
  gboolean known = bt_worker_model_attempt (&host->model, request->attempt) != NULL;
  bt_start_reply_t *reply = bt_worker_model_start (&host->model, request);
  gboolean started = reply->verdict == BT_START_STARTED && !known;
  if (started && world->observer.started != NULL)
    world->observer.started (world->context, host, request);
  if (reply->verdict != BT_START_STARTED || !request->wait
      || g_hash_table_contains (host->held_replies, request->attempt))
    {
      reply_to (world, event, EVENT_START_REPLY, &bt_start_reply_schema, reply);
      return;
    }
  event_t *held = event_new (world, EVENT_START_REPLY, event->node, 0);
  held->incarnation = event->incarnation;
  held->host = host;
  held->call = event->call;
  held->name = g_strdup (request->attempt);
  held->schema = &bt_start_reply_schema;
  held->object = reply;
  g_hash_table_insert (host->held_replies, held->name, held);
}

static void
handle_host (bt_world_t *world, event_t *event)
{
  bt_worker_model_t *model = &event->host->model;
  switch (event->kind)
    {
    case EVENT_LEASE:
      reply_to (world, event, EVENT_LEASE_REPLY, &bt_lease_reply_schema,
                bt_worker_model_lease (model, event->object));
      break;
    case EVENT_START:
      handle_start (world, event);
      break;
    case EVENT_STOP:
      reply_to (world, event, EVENT_STOP_REPLY, &bt_stop_reply_schema,
                bt_worker_model_stop (model, event->object));
      break;
    default:
      bt_worker_model_release (model, event->object);
      break;
    }
}

static void
post_read_reply (bt_world_t *world, const event_t *read)
{
  event_t *reply = event_new (world, EVENT_READ_REPLY, read->node, delay (world));
  reply->incarnation = read->incarnation;
  reply->name = g_strdup (read->name);
  reply->from = read->from;
  reply->records = bt_log_model_read (&world->log, read->name, read->from, READ_MAX_RECORDS);
  reply->expired = reply->records == NULL;
  reply->first_kept = bt_log_model_first (&world->log, read->name);
  reply->failed = !log_reachable (read->node) || chance (world, world->loss_percent);
  if (strcmp (read->node->region, ((bt_node_t *)world->nodes->pdata[0])->region) != 0)
    for (guint i = 0; reply->records != NULL && i < reply->records->len; i++)
      world->region_bytes += g_bytes_get_size (reply->records->pdata[i]);
  event_post (world, reply);
}

static void
wake_log_readers (bt_world_t *world, const char *stream)
{
  for (guint i = 0; i < world->log_readers->len;)
    {
      event_t *reader = world->log_readers->pdata[i];
      if (strcmp (reader->name, stream) != 0)
        {
          i++;
          continue;
        }
      post_read_reply (world, reader);
      g_ptr_array_remove_index (world->log_readers, i);
    }
}

static void
handle_append (bt_world_t *world, event_t *event)
{
  if (world->log_down)
    return;
  bt_log_model_append (&world->log, event->name, event->records);
  wake_log_readers (world, event->name);
  if (world->lose_append_answers > 0)
    {
      world->lose_append_answers--;
      return;
    }
  if (!log_reachable (event->node) || chance (world, world->loss_percent))
    return;
  event_t *reply
      = event_new (world, EVENT_APPEND_REPLY, event->node, delay (world) + world->log_delay_us);
  reply->incarnation = event->incarnation;
  reply->call = event->call;
  reply->from = event->from;
  event_post (world, reply);
}

/* Return: TRUE if the event was kept as a waiting reader. */
static gboolean
handle_read (bt_world_t *world, event_t *event)
{
  if (world->log_down)
    {
      fail_reader (world, event);
      return TRUE;
    }
  if (event->from != bt_log_model_next (&world->log, event->name))
    {
      post_read_reply (world, event);
      return FALSE;
    }
  g_ptr_array_add (world->log_readers, event);
  event_t *timeout = event_new (world, EVENT_READ_TIMEOUT, event->node, READ_WAIT_US);
  timeout->call = event->call;
  event_post (world, timeout);
  return TRUE;
}

static void
handle_read_timeout (bt_world_t *world, const event_t *event)
{
  for (guint i = 0; i < world->log_readers->len; i++)
    {
      event_t *reader = world->log_readers->pdata[i];
      if (reader->call != event->call)
        continue;
      post_read_reply (world, reader);
      g_ptr_array_remove_index (world->log_readers, i);
      return;
    }
}

static void
handle_read_reply (event_t *event)
{
  bt_core_t *core = event->node->core;
  if (!event->failed && !event->expired)
    {
      bt_core_on_records (core, event->name, event->from, event->records,
                          event->from + event->records->len);
      return;
    }
  g_autoptr (GError) error
      = g_error_new (BT_ERROR, event->failed ? BT_ERROR_UNAVAILABLE : BT_ERROR_EXPIRED,
                     "the stream can't be read");
  bt_core_on_read_failed (core, event->name, error, event->failed ? -1 : event->first_kept);
}

static void
handle_node (bt_world_t *world, event_t *event)
{
  bt_core_t *core = event->node->core;
  gconstpointer object = event->failed ? NULL : event->object;
  switch (event->kind)
    {
    case EVENT_TICK:
      bt_core_tick (core);
      post_tick (event->node);
      break;
    case EVENT_PEER:
      {
        gsize len;
        const guint8 *data = g_bytes_get_data (event->bytes, &len);
        Bt__Envelope *envelope = bt__envelope__unpack (NULL, len, data);
        bt_core_on_peer (core, envelope);
        bt__envelope__free_unpacked (envelope, NULL);
        break;
      }
    case EVENT_LEASE_REPLY:
      bt_core_on_lease (core, event->name, object);
      break;
    case EVENT_START_REPLY:
      if (event->host != NULL)
        bt_core_on_start (core, event->host->model.name, event->name, object);
      break;
    case EVENT_STOP_REPLY:
      bt_core_on_stop (core, event->name, object);
      break;
    case EVENT_APPEND_REPLY:
      bt_core_on_append (core, (guint64)event->from, !event->failed);
      break;
    case EVENT_READ_REPLY:
      handle_read_reply (event);
      break;
    default:
      break;
    }
}

static gboolean
for_node (const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_TICK:
    case EVENT_PEER:
    case EVENT_LEASE_REPLY:
    case EVENT_START_REPLY:
    case EVENT_STOP_REPLY:
    case EVENT_APPEND_REPLY:
    case EVENT_READ_REPLY:
      return TRUE;
    default:
      return FALSE;
    }
}

static gboolean
for_host (const event_t *event)
{
  return event->kind == EVENT_LEASE || event->kind == EVENT_START || event->kind == EVENT_STOP
         || event->kind == EVENT_RELEASE;
}

/* Return: TRUE if the event was kept for later. */
static gboolean
deliver_to_node (bt_world_t *world, event_t *event)
{
  bt_node_t *node = event->node;
  if (node->core == NULL || (event->incarnation != 0 && event->incarnation != node->incarnation))
    return FALSE;
  if (node->paused)
    {
      g_queue_push_tail (&node->waiting, event);
      return TRUE;
    }
  gboolean answers_call = event->call != 0 && event->kind != EVENT_READ_REPLY;
  if (answers_call && !g_hash_table_remove (world->open_calls, &event->call))
    return FALSE;
  handle_node (world, event);
  return FALSE;
}

/* Return: TRUE if the event was kept for later. */
static gboolean
deliver_to_host (bt_world_t *world, event_t *event)
{
  if (event->host->dead)
    return FALSE;
  if (event->host->paused)
    {
      g_queue_push_tail (&event->host->waiting, event);
      return TRUE;
    }
  handle_host (world, event);
  return FALSE;
}

static gboolean
dispatch (bt_world_t *world, event_t *event)
{
  if (for_node (event))
    return deliver_to_node (world, event);
  if (for_host (event))
    return deliver_to_host (world, event);
  if (event->kind == EVENT_APPEND)
    handle_append (world, event);
  else if (event->kind == EVENT_READ)
    return handle_read (world, event);
  else
    handle_read_timeout (world, event);
  return FALSE;
}

static void
tick_hosts (bt_world_t *world)
{
  for (guint i = 0; i < world->hosts->len; i++)
    {
      bt_host_t *host = world->hosts->pdata[i];
      if (!host->dead && !host->paused)
        bt_worker_model_tick (&host->model);
    }
}

/**
 * bt_world_step() - let the next thing happen
 * @world: the world
 *
 * Return: FALSE if nothing is left to happen.
 */
gboolean
bt_world_step (bt_world_t *world)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  if (g_sequence_iter_is_end (first))
    return FALSE;
  event_t *event = g_sequence_get (first);
  gint64 now = MAX (event->at, world->clock.now_us);
  gboolean moved = now > world->clock.now_us;
  g_sequence_remove (first);
  bt_clock_advance (&world->clock, now - world->clock.now_us);
  if (moved && event->kind == EVENT_TICK)
    tick_hosts (world);
  world->steps++;
  if (!dispatch (world, event))
    event_free (event);
  return TRUE;
}

static gboolean
next_is_before (const bt_world_t *world, gint64 end)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  if (g_sequence_iter_is_end (first))
    return FALSE;
  const event_t *event = g_sequence_get (first);
  return event->at <= end;
}

/**
 * bt_world_run() - let time pass
 * @world: the world
 * @for_us: how much, in microseconds
 */
void
bt_world_run (bt_world_t *world, gint64 for_us)
{
  gint64 end = world->clock.now_us + for_us;
  while (next_is_before (world, end))
    bt_world_step (world);
  if (world->clock.now_us < end)
    bt_clock_advance (&world->clock, end - world->clock.now_us);
}

/**
 * bt_world_run_until() - let time pass until something holds
 * @world: the world
 * @at_most_us: how much time at most, in microseconds
 * @done: what should hold
 * @context: handed to @done
 *
 * Return: whether it came to hold.
 */
gboolean
bt_world_run_until (bt_world_t *world, gint64 at_most_us,
                    gboolean (*done) (bt_world_t *world, void *context), void *context)
{
  gint64 end = world->clock.now_us + at_most_us;
  while (!done (world, context))
    {
      if (!next_is_before (world, end))
        return FALSE;
      bt_world_step (world);
    }
  return TRUE;
}

/**
 * bt_world_node() - find a daemon's place by its name
 * @world: the world
 * @name: DATA-CENTRE-dN
 *
 * Return: the place, or NULL.
 */
bt_node_t *
bt_world_node (bt_world_t *world, const char *name)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      bt_node_t *node = world->nodes->pdata[i];
      if (strcmp (node->name, name) == 0)
        return node;
    }
  return NULL;
}

/**
 * bt_world_host() - find a worker by its name
 * @world: the world
 * @name: its name
 *
 * Return: the worker, or NULL.
 */
bt_host_t *
bt_world_host (bt_world_t *world, const char *name)
{
  for (guint i = 0; i < world->hosts->len; i++)
    {
      bt_host_t *host = world->hosts->pdata[i];
      if (strcmp (host->model.name, name) == 0)
        return host;
    }
  return NULL;
}

/**
 * bt_world_leader() - the daemon that owns a data centre's workers
 * @world: the world
 * @data_centre: the data centre's name
 *
 * Return: its place, or NULL if none says so.
 */
bt_node_t *
bt_world_leader (bt_world_t *world, const char *data_centre)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      bt_node_t *node = world->nodes->pdata[i];
      if (node->core != NULL && strcmp (node->data_centre, data_centre) == 0
          && bt_core_leading (node->core))
        return node;
    }
  return NULL;
}

/**
 * bt_world_submit() - a caller asks a daemon for work
 * @world: the world
 * @node: the daemon's place, alive
 * @request: the request
 *
 * Return: the exchange, as the observer sees it in the answer.
 */
guint64
bt_world_submit (bt_world_t *world, bt_node_t *node, const bt_request_t *request)
{
  guint64 exchange = ++world->exchange_counter;
  GRefString *job = bt_core_submit (node->core, exchange, request);
  g_clear_pointer (&job, g_ref_string_release);
  return exchange;
}

/**
 * bt_world_query() - a caller asks a daemon about jobs
 * @world: the world
 * @node: the daemon's place, alive
 * @what: what is asked
 * @argument: a job's id, or a caller's name
 *
 * Return: the exchange, as the observer sees it in the answer.
 */
guint64
bt_world_query (bt_world_t *world, bt_node_t *node, bt_query_t what, const char *argument)
{
  guint64 exchange = ++world->exchange_counter;
  bt_core_query (node->core, exchange, what, argument);
  return exchange;
}

/**
 * bt_world_caller_gone() - a caller goes away before its answer
 * @world: the world
 * @node: the daemon's place, alive
 * @exchange: the exchange
 */
void
bt_world_caller_gone (bt_world_t *world, bt_node_t *node, guint64 exchange)
{
  bt_core_caller_gone (node->core, exchange);
}

/**
 * bt_world_publish() - an operator publishes an edit of the tables
 * @world: the world
 * @edit: the edit
 */
void
bt_world_publish (bt_world_t *world, const bt_edit_t *edit)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (records, bt_schema_bytes (&bt_edit_schema, edit));
  bt_log_model_append (&world->log, BT_TABLES_STREAM, records);
  wake_log_readers (world, BT_TABLES_STREAM);
}
