#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * The choice of the data centre that a request is handed to: the nearest one
 * that is not full, by the owners' summaries in their heartbeats. Work goes to
 * its own data centre, then to its region, and over the link between regions,
 * which is paid by volume, last. One where the work would wait gives way to a
 * farther one with room: in the region always, over the link if the route's
 * weight of waiting is not below that of packing.
 */

/* Part of the time to the deadline that may pass in a queue before a farther data centre is tried.
 */
#define WAIT_DIVISOR 2
/* The same for work without a deadline. */
#define WAIT_USUAL_MS 10000
/* Wait after which another data centre that has room is better, though farther. */
#define WAIT_BUSY_MS 200

/**
 * enum distance_t - nearer is less
 */
typedef enum
{
  DISTANCE_OWN,
  DISTANCE_REGION,
  DISTANCE_FAR,
  DISTANCE_NO_OWNER,
} distance_t;

/**
 * struct view_t - a data centre as a candidate
 * @full: whether work would wait too long there
 * @busy: whether it would wait at all
 * @wait_ms: what its owner says that work waits
 */
typedef struct
{
  distance_t distance;
  gboolean full;
  gboolean busy;
  gint64 wait_ms;
  gint64 free_slots;
} view_t;

static void
home_free (gpointer data)
{
  bt_home_candidate_t *home = data;
  g_ref_string_release (home->data_centre);
  g_free (home);
}

/**
 * bt_home_init() - no data centre known
 * @core: the core
 */
void
bt_home_init (bt_core_t *core)
{
  core->homes.candidates_by_pool
      = g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release,
                               (GDestroyNotify)g_ptr_array_unref);
  core->homes.tables_version = -1;
}

/**
 * bt_home_clear() - forget all
 * @core: the core
 */
void
bt_home_clear (bt_core_t *core)
{
  g_hash_table_unref (core->homes.candidates_by_pool);
}

static bt_home_candidate_t *
home_in (GPtrArray *homes, GRefString *data_centre)
{
  for (guint i = 0; i < homes->len; i++)
    {
      bt_home_candidate_t *home = homes->pdata[i];
      if (strcmp (home->data_centre, data_centre) == 0)
        return home;
    }
  bt_home_candidate_t *home = g_new0 (bt_home_candidate_t, 1);
  home->data_centre = g_ref_string_acquire (data_centre);
  g_ptr_array_add (homes, home);
  return home;
}

static GPtrArray *
homes_of_pool (const bt_pool_t *pool)
{
  GPtrArray *homes = g_ptr_array_new_with_free_func (home_free);
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_home_candidate_t *home = home_in (homes, vm->data_centre);
      bt_vector_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      for (int k = 0; k < BT_N_RESOURCES; k++)
        home->max_vm_capacity.v[k] = MAX (home->max_vm_capacity.v[k], capacity.v[k]);
    }
  return homes;
}

static const GPtrArray *
homes_of (bt_core_t *core, const char *pool)
{
  if (core->homes.tables_version != core->tables.version)
    {
      core->homes.tables_version = core->tables.version;
      g_hash_table_remove_all (core->homes.candidates_by_pool);
    }
  const GPtrArray *homes = g_hash_table_lookup (core->homes.candidates_by_pool, pool);
  if (homes != NULL)
    return homes;
  const bt_pool_t *found = bt_tables_pool (core->tables.tables, pool);
  if (found == NULL)
    return NULL;
  GPtrArray *fresh = homes_of_pool (found);
  g_hash_table_insert (core->homes.candidates_by_pool, g_ref_string_acquire (found->name), fresh);
  return fresh;
}

static const Bt__PoolSummary *
summary_of (const bt_member_t *leader, const char *pool)
{
  for (guint i = 0; i < leader->pools->len; i++)
    {
      const Bt__PoolSummary *summary = leader->pools->pdata[i];
      if (strcmp (summary->pool, pool) == 0)
        return summary;
    }
  return NULL;
}

static gint64
wait_allowed_ms (const bt_route_t *route, const bt_request_t *request)
{
  gint64 deadline_ms = request->deadline_ms;
  if (deadline_ms == 0 && !bt_request_durable (request))
    deadline_ms = route->deadline_ms;
  return deadline_ms > 0 ? deadline_ms / WAIT_DIVISOR : WAIT_USUAL_MS;
}

static void
free_room (const bt_core_t *core, const char *pool, bt_vector_t *room)
{
  memset (room, 0, sizeof *room);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, pool) != 0 || !bt_owner_may_start (core, worker))
        continue;
      bt_vector_add (room, &worker->capacity);
      bt_vector_sub (room, &worker->used);
    }
}

static gboolean
tasks_fit (const bt_request_t *request, const bt_vector_t *room)
{
  bt_vector_t need;
  bt_request_need (request, &need);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (i != BT_RESOURCE_CONNECTIONS && need.v[i] * request->tasks > room->v[i])
      return FALSE;
  return TRUE;
}

static gboolean
own_busy (bt_core_t *core, const bt_route_t *route, const bt_request_t *request, gint64 wait_ms)
{
  if (!bt_request_durable (request))
    return wait_ms > WAIT_BUSY_MS;
  if (bt_queue_length (core, route->pool) > 0)
    return TRUE;
  bt_vector_t room;
  free_room (core, route->pool, &room);
  return !tasks_fit (request, &room);
}

static gboolean
summary_busy (const Bt__PoolSummary *summary, const bt_request_t *request)
{
  if (summary == NULL)
    return TRUE;
  if (!bt_request_durable (request))
    return summary->wait_ms > WAIT_BUSY_MS;
  bt_vector_t room = { 0 };
  room.v[BT_RESOURCE_MCPUS] = (gint64)summary->free_mcpus;
  room.v[BT_RESOURCE_MEMORY_MB] = (gint64)summary->free_memory_mb;
  room.v[BT_RESOURCE_GPUS] = (gint64)summary->free_gpus;
  room.v[BT_RESOURCE_SLOTS] = summary->free_slots;
  return summary->queued > 0 || !tasks_fit (request, &room);
}

static void
view_own (bt_core_t *core, const bt_route_t *route, const bt_request_t *request, view_t *view)
{
  view->distance = DISTANCE_OWN;
  view->wait_ms = bt_estimate_wait_us (core, route, request->caller) / BT_USEC_PER_MSEC;
  guint waiting = bt_queue_route_length (core, route->name);
  view->full
      = view->wait_ms > wait_allowed_ms (route, request) || waiting >= (guint)route->queue_limit;
  view->busy = own_busy (core, route, request, view->wait_ms);
}

static void
view_of (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
         const bt_home_candidate_t *home, view_t *view)
{
  memset (view, 0, sizeof *view);
  gboolean own = strcmp (home->data_centre, core->data_centre) == 0;
  if (own && core->owner.leading)
    {
      view_own (core, route, request, view);
      return;
    }
  const bt_member_t *leader = bt_members_find_leader (core, home->data_centre);
  if (leader == NULL)
    {
      view->distance = DISTANCE_NO_OWNER;
      return;
    }
  gboolean near = strcmp (leader->region, core->region) == 0;
  view->distance = own ? DISTANCE_OWN : near ? DISTANCE_REGION : DISTANCE_FAR;
  const Bt__PoolSummary *summary = summary_of (leader, route->pool);
  view->wait_ms = summary != NULL ? summary->wait_ms : 0;
  view->free_slots = summary != NULL ? summary->free_slots : 0;
  view->full = summary == NULL || view->wait_ms > wait_allowed_ms (route, request);
  view->busy = summary_busy (summary, request);
}

/* Whether a farther data centre may take work from a busy one. */
static gboolean
may_relieve (const bt_route_t *route, const view_t *view)
{
  return !view->busy && (view->distance != DISTANCE_FAR || route->waiting >= route->packing);
}

static gboolean
view_better (const bt_route_t *route, const view_t *a, const view_t *b)
{
  gboolean a_out = a->distance == DISTANCE_NO_OWNER;
  gboolean b_out = b->distance == DISTANCE_NO_OWNER;
  if (a_out != b_out)
    return b_out;
  if (a->full != b->full)
    return b->full;
  if (a->full && a->wait_ms != b->wait_ms)
    return a->wait_ms < b->wait_ms;
  gboolean a_relieves = may_relieve (route, a);
  if (a_relieves != may_relieve (route, b))
    return a_relieves;
  if (a->distance != b->distance)
    return a->distance < b->distance;
  return a->free_slots > b->free_slots;
}

static guint
key_rank (const char *key, const char *data_centre)
{
  g_autofree char *text = g_strconcat (key, "@", data_centre, NULL);
  return g_str_hash (text) * 2654435761u;
}

/* The same key has to reach the same data centre, whichever daemon is asked. */
static GRefString *
choose_by_key (const GPtrArray *homes, const char *key)
{
  const bt_home_candidate_t *best = NULL;
  guint best_rank = 0;
  for (guint i = 0; i < homes->len; i++)
    {
      const bt_home_candidate_t *home = homes->pdata[i];
      guint rank = key_rank (key, home->data_centre);
      if (best != NULL && rank >= best_rank)
        continue;
      best = home;
      best_rank = rank;
    }
  return best != NULL ? best->data_centre : NULL;
}

static gboolean
was_tried (const GPtrArray *tried, const char *data_centre)
{
  for (guint i = 0; tried != NULL && i < tried->len; i++)
    if (strcmp (tried->pdata[i], data_centre) == 0)
      return TRUE;
  return FALSE;
}

static const bt_home_candidate_t *
choose_nearest (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                const GPtrArray *homes, const GPtrArray *tried, view_t *best_view)
{
  const bt_home_candidate_t *best = NULL;
  bt_vector_t need;
  bt_request_need (request, &need);
  for (guint i = 0; i < homes->len; i++)
    {
      const bt_home_candidate_t *home = homes->pdata[i];
      if (was_tried (tried, home->data_centre))
        continue;
      view_t view;
      view_of (core, route, request, home, &view);
      view.full = view.full || !bt_vector_fits (&need, &home->max_vm_capacity);
      if (best != NULL && !view_better (route, &view, best_view))
        continue;
      best = home;
      *best_view = view;
    }
  return best;
}

/**
 * bt_home_choose() - the data centre that a request is handed to first
 * @core: the core
 * @route: its route
 * @request: the request
 *
 * Return: the data centre's name, or NULL if the pool has no VM.
 */
GRefString *
bt_home_choose (bt_core_t *core, const bt_route_t *route, const bt_request_t *request)
{
  const GPtrArray *homes = homes_of (core, route->pool);
  if (homes == NULL)
    return NULL;
  if (request->key != NULL)
    return choose_by_key (homes, request->key);
  view_t view = { 0 };
  const bt_home_candidate_t *home = choose_nearest (core, route, request, homes, NULL, &view);
  return home != NULL ? home->data_centre : NULL;
}

/**
 * bt_home_choose_next() - the data centre that a refused request is handed to next
 * @core: the core
 * @route: its route
 * @request: the request, without a key
 * @tried: names of the data centres that have refused it
 *
 * Return: the name of one that has an owner and is not full, or NULL.
 */
GRefString *
bt_home_choose_next (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                     const GPtrArray *tried)
{
  const GPtrArray *homes = homes_of (core, route->pool);
  if (homes == NULL)
    return NULL;
  view_t view = { 0 };
  const bt_home_candidate_t *home = choose_nearest (core, route, request, homes, tried, &view);
  gboolean good = home != NULL && !view.full && view.distance != DISTANCE_NO_OWNER;
  return good ? home->data_centre : NULL;
}
