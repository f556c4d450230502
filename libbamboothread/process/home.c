#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Chooses a request's home, the data centre whose owner it is sent to: the nearest
 * one that is not full, by the owners' summaries in their heartbeats. The order is
 * this daemon's own data centre, its region, and last other regions, since the link
 * between regions is billed by volume. Where the work would wait, a farther data centre
 * with free resources is preferred: always in the same region, in another region
 * only if the route's weight of waiting is not below its weight of packing.
 */

/* A data centre is full if the wait there exceeds the time from submission to the deadline
 * divided by this. */
#define WAIT_DIVISOR 2
/* A data centre is full for work without a deadline if the wait there exceeds this. */
#define WAIT_NO_DEADLINE_MS 10000
/* A data centre with a longer wait is busy for a request that is not durable: a farther one that
 * is not busy may be preferred. */
#define BUSY_THRESHOLD_MS 200

/**
 * enum distance_t - distance of a data centre, nearest first
 */
typedef enum
{
  DISTANCE_OWN,
  DISTANCE_REGION,
  DISTANCE_OTHER_REGION,
  DISTANCE_NO_OWNER,
} distance_t;

/**
 * struct candidate_state_t - load of a candidate data centre, for a request
 * @is_full: whether the request would wait too long there, its route's queue is full (known for the
 *   own data centre only), no VM is large enough, or the owner has sent no summary of the pool
 * @is_busy: whether the request would wait there, if it is not durable for longer than
 *   BUSY_THRESHOLD_MS; also TRUE if the owner has sent no summary of the pool
 * @wait_ms: the wait that its owner estimates, in milliseconds
 */
typedef struct
{
  distance_t distance;
  gboolean is_full;
  gboolean is_busy;
  gint64 wait_ms;
  gint64 free_slots;
} candidate_state_t;

static void
candidate_free (gpointer data)
{
  bt_home_candidate_t *home = data;
  g_ref_string_release (home->data_centre);
  g_free (home);
}

/**
 * bt_home_init() - initialise the cache of candidates
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
 * bt_home_clear() - free the cache of candidates
 * @core: the core
 */
void
bt_home_clear (bt_core_t *core)
{
  g_hash_table_unref (core->homes.candidates_by_pool);
}

static bt_home_candidate_t *
get_candidate (GPtrArray *homes, GRefString *data_centre)
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
candidates_of_pool (const bt_pool_t *pool)
{
  GPtrArray *homes = g_ptr_array_new_with_free_func (candidate_free);
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_home_candidate_t *home = get_candidate (homes, vm->data_centre);
      bt_resources_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      for (int k = 0; k < BT_N_RESOURCES; k++)
        home->max_vm_capacity.v[k] = MAX (home->max_vm_capacity.v[k], capacity.v[k]);
    }
  return homes;
}

static const GPtrArray *
get_candidates (bt_core_t *core, const char *pool)
{
  if (core->homes.tables_version != core->tables.version)
    {
      core->homes.tables_version = core->tables.version;
      g_hash_table_remove_all (core->homes.candidates_by_pool);
    }
  const GPtrArray *homes = g_hash_table_lookup (core->homes.candidates_by_pool, pool);
  if (homes != NULL)
    return homes;
  const bt_pool_t *found = bt_tables_find_pool (core->tables.tables, pool);
  if (found == NULL)
    return NULL;
  GPtrArray *candidates = candidates_of_pool (found);
  g_hash_table_insert (core->homes.candidates_by_pool, g_ref_string_acquire (found->name),
                       candidates);
  return candidates;
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
  if (deadline_ms == 0 && !bt_request_is_durable (request))
    deadline_ms = route->deadline_ms;
  return deadline_ms > 0 ? deadline_ms / WAIT_DIVISOR : WAIT_NO_DEADLINE_MS;
}

static void
sum_free_resources (const bt_core_t *core, const char *pool, bt_resources_t *available)
{
  memset (available, 0, sizeof *available);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, pool) != 0 || !bt_owner_may_start (core, worker))
        continue;
      bt_resources_add (available, &worker->capacity);
      bt_resources_subtract (available, &worker->used);
    }
}

static gboolean
tasks_fit (const bt_request_t *request, const bt_resources_t *available)
{
  bt_resources_t need;
  bt_request_get_need (request, &need);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (i != BT_RESOURCE_CONNECTIONS && need.v[i] * request->tasks > available->v[i])
      return FALSE;
  return TRUE;
}

static gboolean
is_own_busy (bt_core_t *core, const bt_route_t *route, const bt_request_t *request, gint64 wait_ms)
{
  if (!bt_request_is_durable (request))
    return wait_ms > BUSY_THRESHOLD_MS;
  if (bt_queue_length (core, route->pool) > 0)
    return TRUE;
  bt_resources_t available;
  sum_free_resources (core, route->pool, &available);
  return !tasks_fit (request, &available);
}

static gboolean
is_summary_busy (const Bt__PoolSummary *summary, const bt_request_t *request)
{
  if (summary == NULL)
    return TRUE;
  if (!bt_request_is_durable (request))
    return summary->wait_ms > BUSY_THRESHOLD_MS;
  bt_resources_t available = { 0 };
  available.v[BT_RESOURCE_MCPUS] = (gint64)summary->free_mcpus;
  available.v[BT_RESOURCE_MEMORY_MB] = (gint64)summary->free_memory_mb;
  available.v[BT_RESOURCE_GPUS] = (gint64)summary->free_gpus;
  available.v[BT_RESOURCE_SLOTS] = summary->free_slots;
  return summary->queued > 0 || !tasks_fit (request, &available);
}

static void
assess_own (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
            candidate_state_t *state)
{
  state->distance = DISTANCE_OWN;
  state->wait_ms = bt_estimate_wait_us (core, route, request->caller) / BT_USEC_PER_MSEC;
  guint waiting = bt_queue_route_length (core, route->name);
  state->is_full
      = state->wait_ms > wait_allowed_ms (route, request) || waiting >= (guint)route->queue_limit;
  state->is_busy = is_own_busy (core, route, request, state->wait_ms);
}

static void
assess (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
        const bt_home_candidate_t *home, candidate_state_t *state)
{
  memset (state, 0, sizeof *state);
  gboolean own = strcmp (home->data_centre, core->data_centre) == 0;
  if (own && core->owner.leading)
    {
      assess_own (core, route, request, state);
      return;
    }
  const bt_member_t *leader = bt_members_find_leader (core, home->data_centre);
  if (leader == NULL)
    {
      state->distance = DISTANCE_NO_OWNER;
      return;
    }
  gboolean same_region = strcmp (leader->region, core->region) == 0;
  state->distance = own ? DISTANCE_OWN : same_region ? DISTANCE_REGION : DISTANCE_OTHER_REGION;
  const Bt__PoolSummary *summary = summary_of (leader, route->pool);
  state->wait_ms = summary != NULL ? summary->wait_ms : 0;
  state->free_slots = summary != NULL ? summary->free_slots : 0;
  state->is_full = summary == NULL || state->wait_ms > wait_allowed_ms (route, request);
  state->is_busy = is_summary_busy (summary, request);
}

/* Whether a data centre may take work that would wait in a nearer one. */
static gboolean
may_take_overflow (const bt_route_t *route, const candidate_state_t *state)
{
  return !state->is_busy
         && (state->distance != DISTANCE_OTHER_REGION
             || route->waiting_weight >= route->packing_weight);
}

static gboolean
is_better (const bt_route_t *route, const candidate_state_t *a, const candidate_state_t *b)
{
  gboolean a_no_owner = a->distance == DISTANCE_NO_OWNER;
  gboolean b_no_owner = b->distance == DISTANCE_NO_OWNER;
  if (a_no_owner != b_no_owner)
    return b_no_owner;
  if (a->is_full != b->is_full)
    return b->is_full;
  if (a->is_full && a->wait_ms != b->wait_ms)
    return a->wait_ms < b->wait_ms;
  gboolean a_takes_overflow = may_take_overflow (route, a);
  if (a_takes_overflow != may_take_overflow (route, b))
    return a_takes_overflow;
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

/* Rendezvous hashing: requests with one key go to the same data centre, whichever daemon is
 * asked. */
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
                const GPtrArray *homes, const GPtrArray *tried, candidate_state_t *best_state)
{
  const bt_home_candidate_t *best = NULL;
  bt_resources_t need;
  bt_request_get_need (request, &need);
  for (guint i = 0; i < homes->len; i++)
    {
      const bt_home_candidate_t *home = homes->pdata[i];
      if (was_tried (tried, home->data_centre))
        continue;
      candidate_state_t state;
      assess (core, route, request, home, &state);
      state.is_full = state.is_full || !bt_resources_fit (&need, &home->max_vm_capacity);
      if (best != NULL && !is_better (route, &state, best_state))
        continue;
      best = home;
      *best_state = state;
    }
  return best;
}

/**
 * bt_home_choose() - choose the data centre that a request is sent to first
 * @core: the core
 * @route: its route
 * @request: the request
 *
 * Return: the data centre's name, or NULL if the tables don't have the pool or it has no VM.
 */
GRefString *
bt_home_choose (bt_core_t *core, const bt_route_t *route, const bt_request_t *request)
{
  const GPtrArray *homes = get_candidates (core, route->pool);
  if (homes == NULL)
    return NULL;
  if (request->key != NULL)
    return choose_by_key (homes, request->key);
  candidate_state_t state = { 0 };
  const bt_home_candidate_t *home = choose_nearest (core, route, request, homes, NULL, &state);
  return home != NULL ? home->data_centre : NULL;
}

/**
 * bt_home_choose_next() - choose the data centre that a refused request is sent to next
 * @core: the core
 * @route: its route
 * @request: the request, without a key
 * @tried: names of the data centres that have refused it
 *
 * Return: the name of one that is not in @tried, has an owner and is not full, or NULL.
 */
GRefString *
bt_home_choose_next (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                     const GPtrArray *tried)
{
  const GPtrArray *homes = get_candidates (core, route->pool);
  if (homes == NULL)
    return NULL;
  candidate_state_t state = { 0 };
  const bt_home_candidate_t *home = choose_nearest (core, route, request, homes, tried, &state);
  gboolean usable = home != NULL && !state.is_full && state.distance != DISTANCE_NO_OWNER;
  return usable ? home->data_centre : NULL;
}
