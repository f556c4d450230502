#include "standins/world_private.h"

#include <string.h>

/*
 * The world itself: what it holds, the faults that befall it, and its time.
 */

#define WORLD_EPOCH_US (1000LL * BT_USEC_PER_SEC)

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
  bt_event_t *held = g_hash_table_lookup (host->held_replies, report->attempt);
  if (held == NULL)
    return;
  g_hash_table_steal (host->held_replies, report->attempt);
  held->at = world->clock.now_us + bt_world_delay (world);
  held->order = world->event_counter++;
  bt_start_reply_t *reply = held->object;
  reply->verdict = BT_START_ENDED;
  reply->report = bt_schema_copy (&bt_attempt_report_schema, report);
  held->failed
      = !bt_world_host_reachable (held->node, host) || bt_world_chance (world, world->loss_percent);
  bt_world_event_post (world, held);
}

static void
host_new (bt_world_t *world, const bt_pool_t *pool, const bt_vm_t *vm)
{
  bt_host_t *host = g_new0 (bt_host_t, 1);
  bt_resources_t capacity;
  bt_pool_vm_capacity (pool, vm, &capacity);
  host->world = world;
  host->data_centre = g_strdup (vm->data_centre);
  host->pool = g_strdup (pool->name);
  host->rack = g_strdup (vm->rack);
  host->left_at = G_MAXINT64;
  host->held_replies = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bt_world_event_free);
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
  world->log_readers = g_ptr_array_new_with_free_func (bt_world_event_free);
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
  g_queue_clear_full (&node->waiting, bt_world_event_free);
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
  g_queue_clear_full (&host->waiting, bt_world_event_free);
  g_free (host->data_centre);
  g_free (host->pool);
  g_free (host->rack);
  g_free (host);
}

static void
free_queued (gpointer data, gpointer context)
{
  bt_world_event_free (data);
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
  node->core = bt_core_new (&config, &world->clock, &bt_world_node_ops, node);
  bt_core_start (node->core);
  bt_world_post_tick (node);
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
  g_queue_clear_full (&node->waiting, bt_world_event_free);
  g_queue_init (&node->waiting);
}

static void
post_waiting (bt_world_t *world, GQueue *waiting)
{
  bt_event_t *event;
  while ((event = g_queue_pop_head (waiting)) != NULL)
    {
      event->at = world->clock.now_us;
      event->order = world->event_counter++;
      bt_world_event_post (world, event);
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
  g_queue_clear_full (&host->waiting, bt_world_event_free);
  g_queue_init (&host->waiting);
  GHashTableIter iter;
  bt_event_t *held;
  g_hash_table_iter_init (&iter, host->held_replies);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&held))
    {
      g_hash_table_iter_steal (&iter);
      held->at = world->clock.now_us + world->config.call_timeout_us;
      held->order = world->event_counter++;
      held->failed = TRUE;
      bt_world_event_post (world, held);
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
  char *key = bt_world_cut_key (a, b);
  if (cut)
    {
      g_hash_table_add (world->cuts, key);
      return;
    }
  g_hash_table_remove (world->cuts, key);
  g_free (key);
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
    bt_world_fail_reader (world, g_ptr_array_steal_index (world->log_readers, 0));
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
  bt_event_t *event = g_sequence_get (first);
  gint64 now = MAX (event->at, world->clock.now_us);
  gboolean moved = now > world->clock.now_us;
  g_sequence_remove (first);
  bt_clock_advance (&world->clock, now - world->clock.now_us);
  if (moved && event->kind == EVENT_TICK)
    tick_hosts (world);
  world->steps++;
  if (!bt_world_dispatch (world, event))
    bt_world_event_free (event);
  return TRUE;
}

static gboolean
next_is_before (const bt_world_t *world, gint64 end)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  if (g_sequence_iter_is_end (first))
    return FALSE;
  const bt_event_t *event = g_sequence_get (first);
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
          && bt_core_is_leading (node->core))
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
  bt_core_on_caller_gone (node->core, exchange);
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
  g_ptr_array_add (records, bt_schema_to_bytes (&bt_edit_schema, edit));
  bt_log_model_append (&world->log, BT_TABLES_STREAM, records);
  bt_world_wake_log_readers (world, BT_TABLES_STREAM);
}
