#include "standins/world_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/*
 * Messages of the world on their way: links, calls and their replies, and what
 * workers and log make of them.
 */

#define READ_MAX_RECORDS 1000
#define READ_WAIT_US (5 * BT_USEC_PER_SEC)

void
bt_world_event_free (gpointer data)
{
  bt_event_t *event = data;
  g_clear_pointer (&event->bytes, g_bytes_unref);
  g_clear_pointer (&event->records, g_ptr_array_unref);
  if (event->schema != NULL)
    bt_schema_free (event->schema, event->object);
  g_free (event->name);
  g_free (event);
}

gint
bt_world_event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const bt_event_t *left = a;
  const bt_event_t *right = b;
  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

bt_event_t *
bt_world_event_new (bt_world_t *world, bt_event_kind_t kind, bt_node_t *node, gint64 delay_us)
{
  bt_event_t *event = g_new0 (bt_event_t, 1);
  event->at = world->clock.now_us + delay_us;
  event->order = world->event_counter++;
  event->kind = kind;
  event->node = node;
  event->incarnation = node != NULL ? node->incarnation : 0;
  return event;
}

void
bt_world_event_post (bt_world_t *world, bt_event_t *event)
{
  g_sequence_insert_sorted (world->events, event, bt_world_event_compare, NULL);
}

gboolean
bt_world_chance (bt_world_t *world, guint percent)
{
  return percent > 0 && (guint)g_rand_int_range (world->rand, 0, 100) < percent;
}

gint64
bt_world_delay (bt_world_t *world)
{
  const bt_world_config_t *config = &world->config;
  gint64 us = config->delay_min_us;
  if (config->delay_max_us > config->delay_min_us)
    us += g_rand_int_range (world->rand, 0, (gint32)(config->delay_max_us - config->delay_min_us));
  if (bt_world_chance (world, world->late_percent) && world->late_max_us > 0)
    us += g_rand_int_range (world->rand, 0, (gint32)world->late_max_us);
  return us;
}

char *
bt_world_cut_key (const char *a, const char *b)
{
  return strcmp (a, b) < 0 ? g_strdup_printf ("%s|%s", a, b) : g_strdup_printf ("%s|%s", b, a);
}

static gboolean
is_cut (const bt_world_t *world, const char *a, const char *b)
{
  g_autofree char *key = bt_world_cut_key (a, b);
  return g_hash_table_contains (world->cuts, key);
}

gboolean
bt_world_host_reachable (const bt_node_t *node, const bt_host_t *host)
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
  if (to == NULL || from->isolated || to->isolated || bt_world_chance (world, world->loss_percent)
      || is_cut (world, from->data_centre, to->data_centre) || is_cut (world, from->name, to->name))
    return;
  if (strcmp (from->region, to->region) != 0)
    world->region_bytes += size + sizeof (guint32);
  guint8 *packed = g_malloc (size);
  bt__envelope__pack (envelope, packed);
  g_autoptr (GBytes) bytes = g_bytes_new_take (packed, size);
  guint copies = bt_world_chance (world, world->repeat_percent) ? 2 : 1;
  for (guint i = 0; i < copies; i++)
    {
      bt_event_t *event = bt_world_event_new (world, EVENT_PEER, to, bt_world_delay (world));
      event->incarnation = 0;
      event->bytes = g_bytes_ref (bytes);
      bt_world_event_post (world, event);
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
post_call_failure (bt_node_t *node, bt_event_kind_t kind, bt_host_t *host, guint64 call,
                   const char *name)
{
  bt_world_t *world = node->world;
  bt_event_t *event = bt_world_event_new (world, kind, node, world->config.call_timeout_us);
  event->host = host;
  event->call = call;
  event->name = g_strdup (name);
  event->failed = TRUE;
  bt_world_event_post (world, event);
}

static void
post_worker_call (bt_node_t *node, bt_event_kind_t kind, bt_event_kind_t reply_kind,
                  const char *worker, const bt_schema_t *schema, gconstpointer request,
                  const char *name, gboolean fails_in_time)
{
  bt_world_t *world = node->world;
  bt_host_t *host = bt_world_host (world, worker);
  guint64 call = open_call (world);
  if (fails_in_time)
    post_call_failure (node, reply_kind, host, call, name);
  if (host == NULL || host->dead || !bt_world_host_reachable (node, host)
      || bt_world_chance (world, world->loss_percent))
    {
      if (!fails_in_time && reply_kind != EVENT_RELEASE)
        post_call_failure (node, reply_kind, host, call, name);
      return;
    }
  bt_event_t *event = bt_world_event_new (world, kind, node, bt_world_delay (world));
  event->host = host;
  event->call = call;
  event->schema = schema;
  event->object = bt_schema_copy (schema, request);
  event->name = g_strdup (name);
  bt_world_event_post (world, event);
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
  bt_event_t *failure
      = bt_world_event_new (world, EVENT_APPEND_REPLY, node, world->config.call_timeout_us);
  failure->call = call;
  failure->from = (gint64)batch;
  failure->failed = TRUE;
  bt_world_event_post (world, failure);
  if (!log_reachable (node) || bt_world_chance (world, world->loss_percent))
    return;
  bt_event_t *event = bt_world_event_new (world, EVENT_APPEND, node,
                                          bt_world_delay (world) + world->log_delay_us);
  event->call = call;
  event->name = g_strdup (stream);
  event->from = (gint64)batch;
  event->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (event->records, g_bytes_ref (records->pdata[i]));
  bt_world_event_post (world, event);
}

static void
log_read (void *context, const char *stream, gint64 from)
{
  bt_node_t *node = context;
  bt_world_t *world = node->world;
  bt_event_t *event
      = bt_world_event_new (world, EVENT_READ, node, bt_world_delay (world) + world->log_delay_us);
  event->call = ++world->event_counter;
  event->name = g_strdup (stream);
  event->from = from;
  event->failed = !log_reachable (node) || bt_world_chance (world, world->loss_percent);
  if (event->failed)
    {
      event->kind = EVENT_READ_REPLY;
      event->at += world->config.call_timeout_us;
    }
  bt_world_event_post (world, event);
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

const bt_core_ops_t bt_world_node_ops = {
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

void
bt_world_fail_reader (bt_world_t *world, bt_event_t *reader)
{
  reader->kind = EVENT_READ_REPLY;
  reader->failed = TRUE;
  reader->at = world->clock.now_us + world->config.call_timeout_us;
  reader->order = world->event_counter++;
  bt_world_event_post (world, reader);
}

static void
reply_to (bt_world_t *world, const bt_event_t *call, bt_event_kind_t kind,
          const bt_schema_t *schema, gpointer object)
{
  bt_event_t *reply = bt_world_event_new (world, kind, call->node, bt_world_delay (world));
  reply->incarnation = call->incarnation;
  reply->host = call->host;
  reply->call = call->call;
  reply->name = g_strdup (call->name);
  reply->schema = schema;
  reply->object = object;
  reply->failed = !bt_world_host_reachable (call->node, call->host)
                  || bt_world_chance (world, world->loss_percent);
  bt_world_event_post (world, reply);
}

static void
handle_start (bt_world_t *world, bt_event_t *event)
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
  bt_event_t *held = bt_world_event_new (world, EVENT_START_REPLY, event->node, 0);
  held->incarnation = event->incarnation;
  held->host = host;
  held->call = event->call;
  held->name = g_strdup (request->attempt);
  held->schema = &bt_start_reply_schema;
  held->object = reply;
  g_hash_table_insert (host->held_replies, held->name, held);
}

static void
handle_host (bt_world_t *world, bt_event_t *event)
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
post_read_reply (bt_world_t *world, const bt_event_t *read)
{
  bt_event_t *reply
      = bt_world_event_new (world, EVENT_READ_REPLY, read->node, bt_world_delay (world));
  reply->incarnation = read->incarnation;
  reply->name = g_strdup (read->name);
  reply->from = read->from;
  reply->records = bt_log_model_read (&world->log, read->name, read->from, READ_MAX_RECORDS);
  reply->expired = reply->records == NULL;
  reply->first_kept = bt_log_model_first (&world->log, read->name);
  reply->failed = !log_reachable (read->node) || bt_world_chance (world, world->loss_percent);
  if (strcmp (read->node->region, ((bt_node_t *)world->nodes->pdata[0])->region) != 0)
    for (guint i = 0; reply->records != NULL && i < reply->records->len; i++)
      world->region_bytes += g_bytes_get_size (reply->records->pdata[i]);
  bt_world_event_post (world, reply);
}

void
bt_world_wake_log_readers (bt_world_t *world, const char *stream)
{
  for (guint i = 0; i < world->log_readers->len;)
    {
      bt_event_t *reader = world->log_readers->pdata[i];
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
handle_append (bt_world_t *world, bt_event_t *event)
{
  if (world->log_down)
    return;
  bt_log_model_append (&world->log, event->name, event->records);
  bt_world_wake_log_readers (world, event->name);
  if (world->lose_append_answers > 0)
    {
      world->lose_append_answers--;
      return;
    }
  if (!log_reachable (event->node) || bt_world_chance (world, world->loss_percent))
    return;
  bt_event_t *reply = bt_world_event_new (world, EVENT_APPEND_REPLY, event->node,
                                          bt_world_delay (world) + world->log_delay_us);
  reply->incarnation = event->incarnation;
  reply->call = event->call;
  reply->from = event->from;
  bt_world_event_post (world, reply);
}

/* Return: TRUE if the event was kept as a waiting reader. */
static gboolean
handle_read (bt_world_t *world, bt_event_t *event)
{
  if (world->log_down)
    {
      bt_world_fail_reader (world, event);
      return TRUE;
    }
  if (event->from != bt_log_model_next (&world->log, event->name))
    {
      post_read_reply (world, event);
      return FALSE;
    }
  g_ptr_array_add (world->log_readers, event);
  bt_event_t *timeout = bt_world_event_new (world, EVENT_READ_TIMEOUT, event->node, READ_WAIT_US);
  timeout->call = event->call;
  bt_world_event_post (world, timeout);
  return TRUE;
}

static void
handle_read_timeout (bt_world_t *world, const bt_event_t *event)
{
  for (guint i = 0; i < world->log_readers->len; i++)
    {
      bt_event_t *reader = world->log_readers->pdata[i];
      if (reader->call != event->call)
        continue;
      post_read_reply (world, reader);
      g_ptr_array_remove_index (world->log_readers, i);
      return;
    }
}

static void
handle_read_reply (bt_event_t *event)
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

void
bt_world_post_tick (bt_node_t *node)
{
  bt_world_event_post (
      node->world, bt_world_event_new (node->world, EVENT_TICK, node, node->world->config.tick_us));
}

static void
handle_node (bt_world_t *world, bt_event_t *event)
{
  bt_core_t *core = event->node->core;
  gconstpointer object = event->failed ? NULL : event->object;
  switch (event->kind)
    {
    case EVENT_TICK:
      bt_core_tick (core);
      bt_world_post_tick (event->node);
      break;
    case EVENT_PEER:
      {
        gsize len;
        const guint8 *data = g_bytes_get_data (event->bytes, &len);
        Bt__Envelope *envelope = bt__envelope__unpack (NULL, len, data);
        bt_core_on_peer_message (core, envelope);
        bt__envelope__free_unpacked (envelope, NULL);
        break;
      }
    case EVENT_LEASE_REPLY:
      bt_core_on_lease_reply (core, event->name, object);
      break;
    case EVENT_START_REPLY:
      if (event->host != NULL)
        bt_core_on_start_reply (core, event->host->model.name, event->name, object);
      break;
    case EVENT_STOP_REPLY:
      bt_core_on_stop_reply (core, event->name, object);
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
for_node (const bt_event_t *event)
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
for_host (const bt_event_t *event)
{
  return event->kind == EVENT_LEASE || event->kind == EVENT_START || event->kind == EVENT_STOP
         || event->kind == EVENT_RELEASE;
}

/* Return: TRUE if the event was kept for later. */
static gboolean
deliver_to_node (bt_world_t *world, bt_event_t *event)
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
deliver_to_host (bt_world_t *world, bt_event_t *event)
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

gboolean
bt_world_dispatch (bt_world_t *world, bt_event_t *event)
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
