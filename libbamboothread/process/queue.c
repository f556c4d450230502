#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * The queue: jobs with tasks to place, and the order in which they are tried.
 *
 * A lane is the queue of the jobs of one route, team, class and kind that need about the same
 * resources; callers take turns in it. If the first job of a lane does not fit, the lane is
 * blocked until enough resources are freed or REOPEN_INTERVAL_US has passed, so the cost of a
 * pass grows with the number of lanes and not with the number of jobs. The lanes of a pool are
 * tried in this order: teams within their quota before teams that borrow, then the more urgent
 * class, then the team with the lower weighted dominant share, then the earlier deadline.
 *
 * To prevent starvation, one placement in PLACEMENTS_PER_AGED goes to the aged job (see
 * AGED_AFTER_US) that has waited longest among the first jobs of the open lanes, whatever its
 * class and team. If an aged job other than a gang is tried and does not fit, a VM is reserved
 * for it, one per pool at a time.
 */

/* Wait after which a job counts as aged. */
#define AGED_AFTER_US (30 * BT_USEC_PER_SEC)
/* One placement in this many goes to the oldest aged job. */
#define PLACEMENTS_PER_AGED 32
/* Interval at which blocked lanes are tried again even if no resources were freed for them. */
#define REOPEN_INTERVAL_US (200 * BT_USEC_PER_MSEC)
/* Interval at which parked jobs are checked for being ready. */
#define UNPARK_INTERVAL_US (50 * BT_USEC_PER_MSEC)
/* Interval at which the deadlines of all queued jobs are checked. */
#define EXPIRY_INTERVAL_US (500 * BT_USEC_PER_MSEC)
/* Once a route has this many lanes, jobs of further sizes share one lane for mixed sizes. */
#define LANES_PER_ROUTE_MAX 16
/* Remembered callers at which a lane drops those whose last turn has passed. */
#define LAST_TURNS_MAX 1024
/* Time after the last job was added to a lane after which it is freed if it is empty. */
#define LANE_RETENTION_US (60 * BT_USEC_PER_SEC)

/**
 * struct bt_lane_t - queue of the jobs of one route and about the same size
 * @jobs: the jobs by turn; each further job of a caller has a later turn
 * @first: the first of them, or NULL
 * @last_turns: the last turn assigned to each caller
 * @last_left_turn: turn of the last job that left the lane from its front
 * @open_position: its position among the pool's open lanes, from 1; 0 while the lane is
 *   blocked (its first job could not be placed when it was last tried) or empty
 * @freed_worker: the only VM to try the first job on, as resources were freed only there
 *   since the lane was blocked, or NULL if any VM may fit
 * @last_added_at: when a job was last added
 */
struct bt_lane_t
{
  char *key;
  bt_queue_pool_t *pool;
  bt_queue_route_t *route;
  GSequence *jobs;
  bt_job_t *first;
  guint n_jobs;
  GHashTable *last_turns;
  guint64 last_left_turn;
  guint open_position;
  const bt_worker_t *freed_worker;
  gint64 last_added_at;
};

/**
 * struct rank_t - sort key of a lane among the lanes of its pool; the lowest goes first
 * @borrows: whether its first job can only start if its team borrows
 * @share: dominant share of the team, divided by its weight
 */
typedef struct
{
  gboolean borrows;
  bt_class_t work_class;
  double share;
  gint64 deadline_at;
  gint64 submitted_at;
} rank_t;

static void
lane_free (gpointer data)
{
  bt_lane_t *lane = data;
  g_sequence_free (lane->jobs);
  g_hash_table_unref (lane->last_turns);
  g_free (lane->key);
  g_free (lane);
}

static void
pool_free (gpointer data)
{
  bt_queue_pool_t *pool = data;
  g_ptr_array_unref (pool->lanes);
  g_ptr_array_unref (pool->open_lanes);
  g_clear_pointer (&pool->reserved_worker, g_ref_string_release);
  g_ref_string_release (pool->name);
  g_free (pool);
}

static void
route_free (gpointer data)
{
  bt_queue_route_t *route = data;
  g_hash_table_unref (route->queued_by_caller);
  g_ref_string_release (route->name);
  g_free (route);
}

/**
 * bt_queue_init() - create an empty queue
 * @core: the core
 */
void
bt_queue_init (bt_core_t *core)
{
  bt_queue_t *queue = &core->queue;
  queue->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  queue->lanes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, lane_free);
  queue->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, route_free);
  g_queue_init (&queue->parked);
}

/**
 * bt_queue_clear() - free the queue, from which all jobs have been removed
 * @core: the core
 */
void
bt_queue_clear (bt_core_t *core)
{
  g_hash_table_unref (core->queue.lanes);
  g_hash_table_unref (core->queue.pools);
  g_hash_table_unref (core->queue.routes);
}

static bt_queue_pool_t *
ensure_pool (bt_core_t *core, const char *name)
{
  bt_queue_pool_t *pool = g_hash_table_lookup (core->queue.pools, name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (bt_queue_pool_t, 1);
  pool->name = g_ref_string_new (name);
  pool->lanes = g_ptr_array_new ();
  pool->open_lanes = g_ptr_array_new ();
  g_hash_table_insert (core->queue.pools, pool->name, pool);
  return pool;
}

static bt_queue_route_t *
ensure_route (bt_core_t *core, const char *name)
{
  bt_queue_route_t *route = g_hash_table_lookup (core->queue.routes, name);
  if (route != NULL)
    return route;
  route = g_new0 (bt_queue_route_t, 1);
  route->name = g_ref_string_new (name);
  route->queued_by_caller
      = g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, NULL);
  g_hash_table_insert (core->queue.routes, route->name, route);
  return route;
}

static bt_lane_t *
ensure_lane (bt_core_t *core, const bt_job_t *job, const char *key)
{
  bt_lane_t *lane = g_hash_table_lookup (core->queue.lanes, key);
  if (lane != NULL)
    return lane;
  lane = g_new0 (bt_lane_t, 1);
  lane->key = g_strdup (key);
  lane->pool = ensure_pool (core, job->pool);
  lane->route = ensure_route (core, job->route);
  lane->jobs = g_sequence_new (NULL);
  lane->last_turns = g_hash_table_new_full (g_str_hash, g_str_equal,
                                            (GDestroyNotify)g_ref_string_release, g_free);
  g_hash_table_insert (core->queue.lanes, lane->key, lane);
  g_ptr_array_add (lane->pool->lanes, lane);
  lane->route->n_lanes++;
  return lane;
}

static guint
size_class (gint64 amount)
{
  return g_bit_storage ((gulong)amount) / 2;
}

/* Finds or creates the lane of a job. Amounts of a resource share a lane if their bit lengths,
   halved, are equal: they differ by less than a factor of four. */
static bt_lane_t *
ensure_lane_for_job (bt_core_t *core, const bt_job_t *job)
{
  char key[512];
  const gint64 *need = job->need.v;
  g_snprintf (key, sizeof key, "%s|%s|%s|%d|%d|%u|%u|%u", job->route, job->pool, job->team,
              job->work_class, job->request->kind, size_class (need[BT_RESOURCE_MCPUS]),
              size_class (need[BT_RESOURCE_MEMORY_MB]), size_class (need[BT_RESOURCE_GPUS]));
  const bt_queue_route_t *route = ensure_route (core, job->route);
  gboolean known = g_hash_table_contains (core->queue.lanes, key);
  if (!known && route->n_lanes >= LANES_PER_ROUTE_MAX)
    g_snprintf (key, sizeof key, "%s|%s|%s|%d|%d|mixed", job->route, job->pool, job->team,
                job->work_class, job->request->kind);
  return ensure_lane (core, job, key);
}

static void
add_to_counts (bt_core_t *core, const bt_job_t *job, gint delta)
{
  bt_lane_t *lane = job->lane;
  lane->pool->n_queued += (guint)delta;
  lane->route->n_queued += (guint)delta;
  const char *caller = job->request->caller;
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (lane->route->queued_by_caller, caller));
  n += (guint)delta;
  if (n == 0)
    g_hash_table_remove (lane->route->queued_by_caller, caller);
  else
    g_hash_table_replace (lane->route->queued_by_caller, g_ref_string_new (caller),
                          GUINT_TO_POINTER (n));
  bt_estimate_set_backlog (core, lane->route->name, lane->route->n_queued > 0);
}

static gint
compare_turns (gconstpointer a, gconstpointer b, gpointer data)
{
  const bt_job_t *left = a;
  const bt_job_t *right = b;
  if (left->turn != right->turn)
    return left->turn < right->turn ? -1 : 1;
  if (left->submitted_at != right->submitted_at)
    return left->submitted_at < right->submitted_at ? -1 : 1;
  return strcmp (left->id, right->id);
}

static void
block_lane (bt_lane_t *lane)
{
  if (lane->open_position == 0)
    return;
  GPtrArray *open = lane->pool->open_lanes;
  bt_lane_t *last = open->pdata[open->len - 1];
  open->pdata[lane->open_position - 1] = last;
  last->open_position = lane->open_position;
  lane->open_position = 0;
  g_ptr_array_set_size (open, (gint)open->len - 1);
}

/* Opens a lane, so that its first job is tried on any VM. */
static void
open_lane (bt_lane_t *lane)
{
  lane->freed_worker = NULL;
  if (lane->open_position > 0 || lane->first == NULL)
    return;
  g_ptr_array_add (lane->pool->open_lanes, lane);
  lane->open_position = lane->pool->open_lanes->len;
}

static void
update_first (bt_lane_t *lane)
{
  bt_job_t *first
      = lane->n_jobs > 0 ? g_sequence_get (g_sequence_get_begin_iter (lane->jobs)) : NULL;
  if (first == lane->first)
    return;
  lane->first = first;
  if (first != NULL)
    open_lane (lane);
  else
    block_lane (lane);
}

static gboolean
has_turn_passed (gpointer caller, gpointer turn, gpointer lane)
{
  return *(guint64 *)turn <= ((const bt_lane_t *)lane)->last_left_turn;
}

/* Assigns a job its turn so that callers share the lane, as in start-time fair queueing. */
static void
assign_turn (bt_lane_t *lane, bt_job_t *job)
{
  const char *caller = job->request->caller;
  if (g_hash_table_size (lane->last_turns) >= LAST_TURNS_MAX)
    g_hash_table_foreach_remove (lane->last_turns, has_turn_passed, lane);
  guint64 *last = g_hash_table_lookup (lane->last_turns, caller);
  if (last == NULL)
    {
      last = g_new0 (guint64, 1);
      g_hash_table_insert (lane->last_turns, g_ref_string_new (caller), last);
    }
  job->turn = MAX (lane->last_left_turn, *last) + 1;
  *last = job->turn;
}

static void
add_to_lane (bt_core_t *core, bt_job_t *job)
{
  bt_lane_t *lane = job->lane;
  job->parked = FALSE;
  job->lane_iter = g_sequence_insert_sorted (lane->jobs, job, compare_turns, NULL);
  lane->n_jobs++;
  lane->last_added_at = core->now;
  if (lane->first == NULL || compare_turns (job, lane->first, NULL) < 0)
    update_first (lane);
}

static void
remove_from_lane (bt_job_t *job)
{
  bt_lane_t *lane = job->lane;
  g_sequence_remove (job->lane_iter);
  job->lane_iter = NULL;
  lane->n_jobs--;
  if (lane->first != job)
    return;
  lane->last_left_turn = MAX (lane->last_left_turn, job->turn);
  update_first (lane);
}

/**
 * bt_queue_push() - add a job to its lane
 * @core: the core
 * @job: the job; no effect if it is queued already or has no route
 */
void
bt_queue_push (bt_core_t *core, bt_job_t *job)
{
  if (job->queue_link.data != NULL || job->request == NULL || job->route == NULL)
    return;
  job->queue_link.data = job;
  job->lane = ensure_lane_for_job (core, job);
  job->wait_reason = BT_WAIT_NONE;
  add_to_counts (core, job, 1);
  if (job->turn == 0)
    assign_turn (job->lane, job);
  add_to_lane (core, job);
}

static void
release_reservation (bt_core_t *core, bt_queue_pool_t *pool)
{
  if (pool->reserved_for == NULL)
    return;
  bt_worker_t *worker = bt_owner_find_worker (core, pool->reserved_worker);
  if (worker != NULL)
    worker->reserved_for = NULL;
  pool->reserved_for = NULL;
  g_clear_pointer (&pool->reserved_worker, g_ref_string_release);
  for (guint i = 0; i < pool->lanes->len; i++)
    open_lane (pool->lanes->pdata[i]);
}

/**
 * bt_queue_remove() - remove a job from the queue
 * @core: the core
 * @job: the job; no effect if it is not queued
 */
void
bt_queue_remove (bt_core_t *core, bt_job_t *job)
{
  if (job->queue_link.data == NULL)
    return;
  bt_lane_t *lane = job->lane;
  if (job->parked)
    g_queue_unlink (&core->queue.parked, &job->queue_link);
  else
    remove_from_lane (job);
  add_to_counts (core, job, -1);
  if (lane->pool->reserved_for == job)
    release_reservation (core, lane->pool);
  job->queue_link.data = NULL;
  job->parked = FALSE;
  job->lane = NULL;
}

/**
 * bt_queue_length() - count the queued jobs of a pool
 * @core: the core
 * @pool: the pool's name
 *
 * Return: their number, including parked jobs.
 */
guint
bt_queue_length (const bt_core_t *core, const char *pool)
{
  const bt_queue_pool_t *found = g_hash_table_lookup (core->queue.pools, pool);
  return found != NULL ? found->n_queued : 0;
}

/**
 * bt_queue_route_length() - count the queued jobs of a route
 * @core: the core
 * @route: the route's name
 *
 * Return: their number, including parked jobs.
 */
guint
bt_queue_route_length (const bt_core_t *core, const char *route)
{
  const bt_queue_route_t *found = g_hash_table_lookup (core->queue.routes, route);
  return found != NULL ? found->n_queued : 0;
}

/**
 * bt_queue_caller_length() - count the queued jobs of a caller on a route
 * @core: the core
 * @route: the route's name
 * @caller: the caller's name
 *
 * Return: their number.
 */
guint
bt_queue_caller_length (const bt_core_t *core, const char *route, const char *caller)
{
  const bt_queue_route_t *found = g_hash_table_lookup (core->queue.routes, route);
  if (found == NULL)
    return 0;
  return GPOINTER_TO_UINT (g_hash_table_lookup (found->queued_by_caller, caller));
}

/**
 * bt_queue_count_callers() - count the callers with queued jobs on a route
 * @core: the core
 * @route: the route's name
 *
 * Return: their number.
 */
guint
bt_queue_count_callers (const bt_core_t *core, const char *route)
{
  const bt_queue_route_t *found = g_hash_table_lookup (core->queue.routes, route);
  return found != NULL ? g_hash_table_size (found->queued_by_caller) : 0;
}

/**
 * bt_queue_count_ahead() - count the jobs that are tried before a job in its lane
 * @job: the job
 *
 * Return: their number; 0 if the job is parked or not queued.
 */
guint
bt_queue_count_ahead (const bt_job_t *job)
{
  if (job->lane_iter == NULL)
    return 0;
  return (guint)g_sequence_iter_get_position (job->lane_iter);
}

/* Whether a queued job may be tried. A gang is placed as a whole, so none of its tasks may be
   placed. The attempts of gangs and of work that must not run twice have to be recorded before
   they start, which this owner can do only once it has read the journal up to its own term. */
static gboolean
is_ready (const bt_core_t *core, const bt_job_t *job)
{
  gboolean gang = job->request->kind == BT_KIND_GANG;
  if (gang && job->n_placed > 0)
    return FALSE;
  if ((gang || !job->idempotent) && !core->journal.caught_up)
    return FALSE;
  return bt_recover_allows_placement (core, job);
}

/* Whether a lane with rank @a is tried before one with rank @b. */
static gboolean
ranks_before (const rank_t *a, const rank_t *b)
{
  if (a->borrows != b->borrows)
    return !a->borrows;
  if (a->work_class != b->work_class)
    return a->work_class < b->work_class;
  if (a->share < b->share || a->share > b->share)
    return a->share < b->share;
  if (a->deadline_at != b->deadline_at)
    return a->deadline_at < b->deadline_at;
  return a->submitted_at < b->submitted_at;
}

static void
compute_rank (bt_core_t *core, const bt_job_t *job, rank_t *rank)
{
  rank->borrows
      = job->account != NULL && !bt_quota_is_within_entitlement (core, job->account, &job->need);
  rank->work_class = job->work_class;
  rank->share = job->account != NULL ? job->account->dominant_share : 0;
  rank->deadline_at = job->deadline_at;
  rank->submitted_at = job->submitted_at;
}

static gboolean
is_aged (const bt_core_t *core, const bt_job_t *job)
{
  return core->now - job->submitted_at >= AGED_AFTER_US;
}

static gboolean
fits_on (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker)
{
  bt_resources_t available;
  bt_quota_available (core, job, worker, &available);
  return bt_resources_fit (&job->need, &available);
}

/* Whether the first job of an open lane may fit. If it was opened for resources freed on one
   VM and these are in use again, blocks the lane. */
static gboolean
may_be_tried (const bt_core_t *core, bt_lane_t *lane)
{
  if (lane->freed_worker == NULL)
    return TRUE;
  if (fits_on (core, lane->first, lane->freed_worker))
    return TRUE;
  block_lane (lane);
  return FALSE;
}

static bt_lane_t *
find_oldest_aged_lane (const bt_core_t *core, const bt_queue_pool_t *pool)
{
  bt_lane_t *oldest = NULL;
  gint64 oldest_at = G_MAXINT64;
  for (guint i = pool->open_lanes->len; i > 0; i--)
    {
      bt_lane_t *lane = pool->open_lanes->pdata[i - 1];
      const bt_job_t *job = lane->first;
      if (!may_be_tried (core, lane) || !is_aged (core, job) || job->submitted_at >= oldest_at)
        continue;
      oldest = lane;
      oldest_at = job->submitted_at;
    }
  return oldest;
}

static bt_lane_t *
find_first_ranked_lane (bt_core_t *core, const bt_queue_pool_t *pool)
{
  bt_lane_t *best = NULL;
  rank_t best_rank = { 0 };
  for (guint i = pool->open_lanes->len; i > 0; i--)
    {
      bt_lane_t *lane = pool->open_lanes->pdata[i - 1];
      if (!may_be_tried (core, lane))
        continue;
      rank_t rank;
      compute_rank (core, lane->first, &rank);
      if (best != NULL && !ranks_before (&rank, &best_rank))
        continue;
      best = lane;
      best_rank = rank;
    }
  return best;
}

static bt_lane_t *
choose_lane (bt_core_t *core, const bt_queue_pool_t *pool)
{
  bt_lane_t *lane = NULL;
  if (pool->n_placements % PLACEMENTS_PER_AGED == PLACEMENTS_PER_AGED - 1)
    lane = find_oldest_aged_lane (core, pool);
  return lane != NULL ? lane : find_first_ranked_lane (core, pool);
}

static void
park_job (bt_core_t *core, bt_lane_t *lane, bt_job_t *job)
{
  remove_from_lane (job);
  g_queue_push_tail_link (&core->queue.parked, &job->queue_link);
  job->parked = TRUE;
  if (job->wait_reason == BT_WAIT_NOT_READY)
    return;
  job->wait_reason = BT_WAIT_NOT_READY;
  const char *change;
  g_autofree char *text = bt_explain_not_ready (core, job, &change);
  bt_trace_add (core, job->id, "waiting", job->route, "%s", text != NULL ? text : "not ready");
}

static void
block_with_reason (bt_core_t *core, bt_lane_t *lane, bt_job_t *job, bt_wait_reason_t reason)
{
  block_lane (lane);
  if (job->wait_reason == reason)
    return;
  job->wait_reason = reason;
  if (reason == BT_WAIT_AT_QUOTA)
    bt_trace_add_pool (core, job->id, "waiting", job->pool,
                       "team %s is at its quota here and may not borrow", job->team);
  else
    bt_trace_add_pool (core, job->id, "waiting", job->pool,
                       "no VM has enough free resources for it now");
}

/* Returns the first job of an open lane, or NULL if it can't be tried; it is then parked, or
   the lane is blocked. */
static bt_job_t *
try_lane (bt_core_t *core, bt_lane_t *lane)
{
  bt_job_t *job = lane->first;
  if (!is_ready (core, job))
    {
      park_job (core, lane, job);
      return NULL;
    }
  if (job->account != NULL && !bt_quota_allows (core, job->account, &job->need))
    {
      block_with_reason (core, lane, job, BT_WAIT_AT_QUOTA);
      return NULL;
    }
  core->queue.current_lane = lane;
  return job;
}

static bt_job_t *
next_in_pool (bt_core_t *core, bt_queue_pool_t *pool)
{
  bt_lane_t *lane;
  while ((lane = choose_lane (core, pool)) != NULL)
    {
      bt_job_t *job = try_lane (core, lane);
      if (job != NULL)
        return job;
    }
  return NULL;
}

/**
 * bt_queue_next() - choose the job of which a task is to be placed next
 * @core: the core
 *
 * The caller tries to place a task of it and calls bt_queue_report_placement().
 *
 * Return: the job, or NULL if no job may be placed now.
 */
bt_job_t *
bt_queue_next (bt_core_t *core)
{
  GHashTableIter iter;
  bt_queue_pool_t *pool;
  g_hash_table_iter_init (&iter, core->queue.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    {
      bt_job_t *job = next_in_pool (core, pool);
      if (job != NULL)
        return job;
    }
  return NULL;
}

/* Computes the resources that will be free on a VM once all its work except services has
   ended. */
static void
capacity_beside_services (const bt_worker_t *worker, bt_resources_t *capacity)
{
  *capacity = worker->capacity;
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->job->request != NULL && attempt->job->request->kind == BT_KIND_SERVICE)
      bt_resources_subtract (capacity, &attempt->need);
}

static bt_worker_t *
choose_worker_to_reserve (const bt_core_t *core, const bt_job_t *job)
{
  bt_worker_t *best = NULL;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (strcmp (worker->pool, job->pool) != 0 || !bt_owner_may_start (core, worker)
          || worker->reservation_id != 0)
        continue;
      bt_resources_t capacity;
      capacity_beside_services (worker, &capacity);
      if (!bt_resources_fit (&job->need, &capacity))
        continue;
      gint64 used = worker->used.v[BT_RESOURCE_MCPUS];
      gboolean better
          = best == NULL || used < best->used.v[BT_RESOURCE_MCPUS]
            || (used == best->used.v[BT_RESOURCE_MCPUS] && strcmp (worker->name, best->name) < 0);
      if (better)
        best = worker;
    }
  return best;
}

static void
reserve_worker (bt_core_t *core, bt_queue_pool_t *pool, bt_job_t *job)
{
  if (pool->reserved_for != NULL || job->request->kind == BT_KIND_GANG || !is_aged (core, job))
    return;
  bt_worker_t *worker = choose_worker_to_reserve (core, job);
  if (worker == NULL)
    return;
  worker->reserved_for = job;
  pool->reserved_for = job;
  pool->reserved_worker = g_ref_string_acquire (worker->name);
  bt_trace_add_pool (core, job->id, "held", job->pool,
                     "%s is reserved for it, as it has waited long", worker->name);
}

/**
 * bt_queue_report_placement() - tell whether a task of the job from bt_queue_next() was placed
 * @core: the core
 * @job: the job, which may have left the queue meanwhile
 * @placed: whether a task was placed
 *
 * If none was, blocks the job's lane and, if the job is aged, reserves a VM for it.
 */
void
bt_queue_report_placement (bt_core_t *core, bt_job_t *job, gboolean placed)
{
  bt_lane_t *lane = core->queue.current_lane;
  core->queue.current_lane = NULL;
  bt_queue_pool_t *pool = lane->pool;
  if (placed)
    {
      pool->n_placements++;
      job->wait_reason = BT_WAIT_NONE;
      if (pool->reserved_for == job)
        release_reservation (core, pool);
      if (job->n_waiting == 0)
        bt_queue_remove (core, job);
      return;
    }
  if (job->lane != lane || job->parked)
    return;
  block_with_reason (core, lane, job, BT_WAIT_NO_ROOM);
  reserve_worker (core, pool, job);
}

/**
 * struct freed_t - a VM on which resources were freed
 * @available_urgent: what urgent work may use on it now
 * @available_other: what other work may use on it now
 */
typedef struct
{
  const bt_worker_t *worker;
  bt_resources_t available_urgent;
  bt_resources_t available_other;
} freed_t;

static gboolean
fits_freed (const bt_core_t *core, const bt_job_t *job, const freed_t *freed)
{
  if (freed->worker->reserved_for == job)
    return fits_on (core, job, freed->worker);
  gboolean urgent = job->work_class == BT_CLASS_URGENT;
  return bt_resources_fit (&job->need, urgent ? &freed->available_urgent : &freed->available_other);
}

static void
reopen_lane_if_freed (const bt_core_t *core, bt_lane_t *lane, const freed_t *freed)
{
  const bt_job_t *job = lane->first;
  if (lane->open_position > 0)
    {
      if (lane->freed_worker != NULL && lane->freed_worker != freed->worker)
        lane->freed_worker = NULL;
      return;
    }
  gboolean try_any_worker
      = job->wait_reason != BT_WAIT_NO_ROOM || job->request->kind == BT_KIND_GANG;
  if (!try_any_worker && !fits_freed (core, job, freed))
    return;
  open_lane (lane);
  if (!try_any_worker)
    lane->freed_worker = freed->worker;
}

/**
 * bt_queue_on_resources_freed() - reopen lanes after an attempt on a VM has ended
 * @core: the core
 * @worker: the VM
 *
 * Opens the blocked lanes of the VM's pool whose first job now fits there, is a gang, or was
 * blocked for another reason than a lack of resources, such as its team's quota.
 */
void
bt_queue_on_resources_freed (bt_core_t *core, const bt_worker_t *worker)
{
  bt_queue_pool_t *pool = g_hash_table_lookup (core->queue.pools, worker->pool);
  if (pool == NULL || pool->n_queued == 0)
    return;
  freed_t freed = { .worker = worker };
  const bt_job_t urgent = { .work_class = BT_CLASS_URGENT };
  const bt_job_t other = { .work_class = BT_CLASS_BATCH };
  bt_quota_available (core, &urgent, worker, &freed.available_urgent);
  bt_quota_available (core, &other, worker, &freed.available_other);
  for (guint i = 0; i < pool->lanes->len; i++)
    {
      bt_lane_t *lane = pool->lanes->pdata[i];
      if (lane->first != NULL)
        reopen_lane_if_freed (core, lane, &freed);
    }
}

/**
 * bt_queue_clear_worker() - drop references to a VM that is about to be freed
 * @core: the core
 * @worker: the VM
 */
void
bt_queue_clear_worker (bt_core_t *core, const bt_worker_t *worker)
{
  GHashTableIter iter;
  bt_lane_t *lane;
  g_hash_table_iter_init (&iter, core->queue.lanes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&lane))
    if (lane->freed_worker == worker)
      lane->freed_worker = NULL;
}

static void
unpark_ready_jobs (bt_core_t *core)
{
  GList *next;
  for (GList *l = core->queue.parked.head; l != NULL; l = next)
    {
      bt_job_t *job = l->data;
      next = l->next;
      if (!is_ready (core, job))
        continue;
      g_queue_unlink (&core->queue.parked, l);
      add_to_lane (core, job);
    }
}

/*
 * Releases a pool's reservation if its VM can't be used, or if the job is parked or no longer
 * the first of its lane. In the last case there would be a deadlock: the job waits for the one
 * before it in the lane, and that one for the reserved VM.
 */
static void
check_reservation (bt_core_t *core, bt_queue_pool_t *pool)
{
  if (pool->reserved_for == NULL)
    return;
  const bt_worker_t *worker = bt_owner_find_worker (core, pool->reserved_worker);
  const bt_job_t *job = pool->reserved_for;
  if (worker == NULL || !bt_owner_may_start (core, worker) || job->parked
      || job->lane->first != job)
    release_reservation (core, pool);
}

static gboolean
is_lane_expired (const bt_core_t *core, const bt_lane_t *lane)
{
  return lane->n_jobs == 0 && core->now - lane->last_added_at > LANE_RETENTION_US;
}

static gboolean
has_parked_jobs (const bt_core_t *core, const bt_lane_t *lane)
{
  for (const GList *l = core->queue.parked.head; l != NULL; l = l->next)
    if (((const bt_job_t *)l->data)->lane == lane)
      return TRUE;
  return FALSE;
}

static void
reopen_lanes (bt_core_t *core, bt_queue_pool_t *pool)
{
  check_reservation (core, pool);
  for (guint i = 0; i < pool->lanes->len;)
    {
      bt_lane_t *lane = pool->lanes->pdata[i];
      open_lane (lane);
      if (is_lane_expired (core, lane) && !has_parked_jobs (core, lane))
        {
          g_ptr_array_remove_index_fast (pool->lanes, i);
          lane->route->n_lanes--;
          g_hash_table_remove (core->queue.lanes, lane->key);
          continue;
        }
      i++;
    }
}

/**
 * bt_queue_tick() - retry parked jobs and blocked lanes, and free unused lanes
 * @core: the core
 */
void
bt_queue_tick (bt_core_t *core)
{
  if (core->now >= core->queue.next_unpark)
    {
      core->queue.next_unpark = core->now + UNPARK_INTERVAL_US;
      unpark_ready_jobs (core);
    }
  if (core->now < core->queue.next_open)
    return;
  core->queue.next_open = core->now + REOPEN_INTERVAL_US;
  GHashTableIter iter;
  bt_queue_pool_t *pool;
  g_hash_table_iter_init (&iter, core->queue.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    reopen_lanes (core, pool);
}

static void
collect_expired (const bt_core_t *core, bt_job_t *job, GPtrArray *expired)
{
  if (job->deadline_at <= core->now)
    g_ptr_array_add (expired, job);
}

/**
 * bt_queue_expire() - find the queued jobs whose deadline has passed
 * @core: the core
 * @expire: called for each; may remove it from the queue
 *
 * A job that is tried has its deadline checked at that time; this finds the jobs that are not
 * tried, as they are behind others in their lane or parked.
 */
void
bt_queue_expire (bt_core_t *core, void (*expire) (bt_core_t *core, bt_job_t *job))
{
  if (core->now < core->queue.next_expiry)
    return;
  core->queue.next_expiry = core->now + EXPIRY_INTERVAL_US;
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  for (const GList *l = core->queue.parked.head; l != NULL; l = l->next)
    collect_expired (core, l->data, expired);
  GHashTableIter iter;
  const bt_lane_t *lane;
  g_hash_table_iter_init (&iter, core->queue.lanes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&lane))
    {
      GSequenceIter *at = g_sequence_get_begin_iter (lane->jobs);
      for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
        collect_expired (core, g_sequence_get (at), expired);
    }
  for (guint i = 0; i < expired->len; i++)
    expire (core, expired->pdata[i]);
}
