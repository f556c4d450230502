#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Jobs with tasks to place, and the order in which they are tried.
 *
 * Jobs of one route and of about the same size wait in a lane, where the
 * callers take turns. If the first job of a lane does not fit, the lane is blocked until
 * room for it is freed, so the cost of a pass follows the number of lanes and
 * not that of jobs. Among the lanes of a pool go first: teams within their
 * quota before teams that borrow, then the more urgent class, then the team
 * with the lower weighted dominant share, then the earlier deadline.
 *
 * One placement in AGED_EVERY goes to the job that has waited longest, whatever
 * its class and team. If it does not fit, a VM is held free for it.
 */

/* Wait after which a job counts as aged. */
#define AGED_US (30 * BT_USEC_PER_SEC)
/* One placement in so many goes to an aged job. */
#define AGED_EVERY 32
/* Pause between two tries of blocked lanes for which no room was seen to be freed. */
#define REOPEN_US (200 * BT_USEC_PER_MSEC)
/* Pause between two looks at jobs that could not be tried yet. */
#define UNPARK_US (50 * BT_USEC_PER_MSEC)
/* Pause between two looks at the deadlines of all jobs. */
#define EXPIRY_US (500 * BT_USEC_PER_MSEC)
/* Lanes of different sizes that a route has at most; other sizes share one more. */
#define LANES_PER_ROUTE 16
/* Callers whose turns a lane remembers before it forgets those that are past. */
#define TURNS_KEPT 1024
/* How long an empty lane is kept. */
#define KEEP_LANE_US (60 * BT_USEC_PER_SEC)

/**
 * struct bt_lane_t - jobs of one route and about the same size
 * @jobs: in the order of their turns; each caller's next job has a later turn
 * @first: the first of them, or NULL
 * @last_turns: last turn that was given to each caller
 * @turn: turn of the job that left the lane last
 * @open_at: its place among the pool's open lanes, from 1; 0 while its first job
 *   did not fit when it was tried last, or it has none
 * @freed: the only VM on which room was freed since then, or NULL if any may have room
 * @used_at: when a job was put into it last
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
  guint64 turn;
  guint open_at;
  const bt_worker_t *freed;
  gint64 used_at;
};

/**
 * struct rank_t - place of a lane among those of its pool; less goes first
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
 * bt_queue_init() - an empty queue
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
 * bt_queue_clear() - free an empty queue
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
get_pool (bt_core_t *core, const char *name)
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
get_route (bt_core_t *core, const char *name)
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
lane_by_key (bt_core_t *core, const bt_job_t *job, const char *key)
{
  bt_lane_t *lane = g_hash_table_lookup (core->queue.lanes, key);
  if (lane != NULL)
    return lane;
  lane = g_new0 (bt_lane_t, 1);
  lane->key = g_strdup (key);
  lane->pool = get_pool (core, job->pool);
  lane->route = get_route (core, job->route);
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

/* Sizes within a factor of four share a lane. */
static bt_lane_t *
lane_of (bt_core_t *core, const bt_job_t *job)
{
  char key[512];
  const gint64 *need = job->need.v;
  g_snprintf (key, sizeof key, "%s|%s|%s|%d|%d|%u|%u|%u", job->route, job->pool, job->team,
              job->work_class, job->request->kind, size_class (need[BT_RESOURCE_MCPUS]),
              size_class (need[BT_RESOURCE_MEMORY_MB]), size_class (need[BT_RESOURCE_GPUS]));
  const bt_queue_route_t *route = get_route (core, job->route);
  gboolean known = g_hash_table_contains (core->queue.lanes, key);
  if (!known && route->n_lanes >= LANES_PER_ROUTE)
    g_snprintf (key, sizeof key, "%s|%s|%s|%d|%d|mixed", job->route, job->pool, job->team,
                job->work_class, job->request->kind);
  return lane_by_key (core, job, key);
}

static void
count_job (bt_core_t *core, const bt_job_t *job, gint change)
{
  bt_lane_t *lane = job->lane;
  lane->pool->n_queued += (guint)change;
  lane->route->n_queued += (guint)change;
  const char *caller = job->request->caller;
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (lane->route->queued_by_caller, caller));
  n += (guint)change;
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
  if (lane->open_at == 0)
    return;
  GPtrArray *open = lane->pool->open_lanes;
  bt_lane_t *last = open->pdata[open->len - 1];
  open->pdata[lane->open_at - 1] = last;
  last->open_at = lane->open_at;
  lane->open_at = 0;
  g_ptr_array_set_size (open, (gint)open->len - 1);
}

/* Opens a lane for a try on any VM. */
static void
open_lane (bt_lane_t *lane)
{
  lane->freed = NULL;
  if (lane->open_at > 0 || lane->first == NULL)
    return;
  g_ptr_array_add (lane->pool->open_lanes, lane);
  lane->open_at = lane->pool->open_lanes->len;
}

static void
find_first (bt_lane_t *lane)
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
turn_is_past (gpointer caller, gpointer turn, gpointer lane)
{
  return *(guint64 *)turn <= ((const bt_lane_t *)lane)->turn;
}

/* Callers take turns, as by start-time fair queueing. */
static void
give_turn (bt_lane_t *lane, bt_job_t *job)
{
  const char *caller = job->request->caller;
  if (g_hash_table_size (lane->last_turns) >= TURNS_KEPT)
    g_hash_table_foreach_remove (lane->last_turns, turn_is_past, lane);
  guint64 *last = g_hash_table_lookup (lane->last_turns, caller);
  if (last == NULL)
    {
      last = g_new0 (guint64, 1);
      g_hash_table_insert (lane->last_turns, g_ref_string_new (caller), last);
    }
  job->turn = MAX (lane->turn, *last) + 1;
  *last = job->turn;
}

static void
enter_lane (bt_core_t *core, bt_job_t *job)
{
  bt_lane_t *lane = job->lane;
  job->parked = FALSE;
  job->lane_iter = g_sequence_insert_sorted (lane->jobs, job, compare_turns, NULL);
  lane->n_jobs++;
  lane->used_at = core->now;
  if (lane->first == NULL || compare_turns (job, lane->first, NULL) < 0)
    find_first (lane);
}

static void
leave_lane (bt_job_t *job)
{
  bt_lane_t *lane = job->lane;
  g_sequence_remove (job->lane_iter);
  job->lane_iter = NULL;
  lane->n_jobs--;
  if (lane->first != job)
    return;
  lane->turn = MAX (lane->turn, job->turn);
  find_first (lane);
}

/**
 * bt_queue_push() - put a job into its lane
 * @core: the core
 * @job: the job; nothing happens if it is queued, or if no route is known for it
 */
void
bt_queue_push (bt_core_t *core, bt_job_t *job)
{
  if (job->queue_link.data != NULL || job->request == NULL || job->route == NULL)
    return;
  job->queue_link.data = job;
  job->lane = lane_of (core, job);
  job->wait_reason = BT_WAIT_NONE;
  count_job (core, job, 1);
  if (job->turn == 0)
    give_turn (job->lane, job);
  enter_lane (core, job);
}

static void
release_hold (bt_core_t *core, bt_queue_pool_t *pool)
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
 * bt_queue_remove() - take a job out of the queue
 * @core: the core
 * @job: the job; nothing happens if it is not queued
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
    leave_lane (job);
  count_job (core, job, -1);
  if (lane->pool->reserved_for == job)
    release_hold (core, lane->pool);
  job->queue_link.data = NULL;
  job->parked = FALSE;
  job->lane = NULL;
}

/**
 * bt_queue_length() - jobs that wait for a pool
 * @core: the core
 * @pool: the pool's name
 *
 * Return: their number.
 */
guint
bt_queue_length (const bt_core_t *core, const char *pool)
{
  const bt_queue_pool_t *found = g_hash_table_lookup (core->queue.pools, pool);
  return found != NULL ? found->n_queued : 0;
}

/**
 * bt_queue_route_length() - jobs that wait by a route
 * @core: the core
 * @route: the route's name
 *
 * Return: their number.
 */
guint
bt_queue_route_length (const bt_core_t *core, const char *route)
{
  const bt_queue_route_t *found = g_hash_table_lookup (core->queue.routes, route);
  return found != NULL ? found->n_queued : 0;
}

/**
 * bt_queue_caller_length() - jobs of a caller that wait by a route
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
 * bt_queue_count_callers() - callers whose jobs wait by a route
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
 * bt_queue_count_ahead() - jobs of the same lane that are tried before a job
 * @job: the job
 *
 * Return: their number.
 */
guint
bt_queue_count_ahead (const bt_job_t *job)
{
  if (job->lane_iter == NULL)
    return 0;
  return (guint)g_sequence_iter_get_position (job->lane_iter);
}

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

/* Whether some lane's first job goes before another's. */
static gboolean
rank_less (const rank_t *a, const rank_t *b)
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
rank_of (bt_core_t *core, const bt_job_t *job, rank_t *rank)
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
  return core->now - job->submitted_at >= AGED_US;
}

static gboolean
fits_on (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker)
{
  bt_vector_t room;
  bt_quota_available (core, job, worker, &room);
  return bt_vector_fits (&job->need, &room);
}

/* Blocks a lane again if the only VM that was freed for its first job is full again. */
static gboolean
may_be_tried (const bt_core_t *core, bt_lane_t *lane)
{
  if (lane->freed == NULL)
    return TRUE;
  if (fits_on (core, lane->first, lane->freed))
    return TRUE;
  block_lane (lane);
  return FALSE;
}

static bt_lane_t *
oldest_aged_lane (const bt_core_t *core, const bt_queue_pool_t *pool)
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
first_lane (bt_core_t *core, const bt_queue_pool_t *pool)
{
  bt_lane_t *best = NULL;
  rank_t best_rank = { 0 };
  for (guint i = pool->open_lanes->len; i > 0; i--)
    {
      bt_lane_t *lane = pool->open_lanes->pdata[i - 1];
      if (!may_be_tried (core, lane))
        continue;
      rank_t rank;
      rank_of (core, lane->first, &rank);
      if (best != NULL && !rank_less (&rank, &best_rank))
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
  if (pool->n_placements % AGED_EVERY == AGED_EVERY - 1)
    lane = oldest_aged_lane (core, pool);
  return lane != NULL ? lane : first_lane (core, pool);
}

static void
park (bt_core_t *core, bt_lane_t *lane, bt_job_t *job)
{
  leave_lane (job);
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
block (bt_core_t *core, bt_lane_t *lane, bt_job_t *job, bt_wait_reason_t wait)
{
  block_lane (lane);
  if (job->wait_reason == wait)
    return;
  job->wait_reason = wait;
  if (wait == BT_WAIT_AT_QUOTA)
    bt_trace_add_pool (core, job->id, "waiting", job->pool,
                       "team %s is at its quota here and may not borrow", job->team);
  else
    bt_trace_add_pool (core, job->id, "waiting", job->pool, "no VM has room for it now");
}

/* The first job of a lane, or NULL if it can't be tried. */
static bt_job_t *
try_lane (bt_core_t *core, bt_lane_t *lane)
{
  bt_job_t *job = lane->first;
  if (!is_ready (core, job))
    {
      park (core, lane, job);
      return NULL;
    }
  if (job->account != NULL && !bt_quota_allows (core, job->account, &job->need))
    {
      block (core, lane, job, BT_WAIT_AT_QUOTA);
      return NULL;
    }
  core->queue.current_lane = lane;
  return job;
}

static bt_job_t *
next_of_pool (bt_core_t *core, bt_queue_pool_t *pool)
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
 * bt_queue_next() - the job of which a task is to be placed next
 * @core: the core
 *
 * Return: the job, to be followed by bt_queue_report_placement(), or NULL if there is
 * none that may be placed now.
 */
bt_job_t *
bt_queue_next (bt_core_t *core)
{
  GHashTableIter iter;
  bt_queue_pool_t *pool;
  g_hash_table_iter_init (&iter, core->queue.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    {
      bt_job_t *job = next_of_pool (core, pool);
      if (job != NULL)
        return job;
    }
  return NULL;
}

/* What would be free on a VM if all but its services had ended. */
static void
room_in_the_end (const bt_worker_t *worker, bt_vector_t *room)
{
  *room = worker->capacity;
  GHashTableIter iter;
  const bt_attempt_t *attempt;
  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&attempt))
    if (attempt->job->request != NULL && attempt->job->request->kind == BT_KIND_SERVICE)
      bt_vector_sub (room, &attempt->need);
}

static bt_worker_t *
worker_to_hold (const bt_core_t *core, const bt_job_t *job)
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
      bt_vector_t room;
      room_in_the_end (worker, &room);
      if (!bt_vector_fits (&job->need, &room))
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
hold_worker (bt_core_t *core, bt_queue_pool_t *pool, bt_job_t *job)
{
  if (pool->reserved_for != NULL || job->request->kind == BT_KIND_GANG || !is_aged (core, job))
    return;
  bt_worker_t *worker = worker_to_hold (core, job);
  if (worker == NULL)
    return;
  worker->reserved_for = job;
  pool->reserved_for = job;
  pool->reserved_worker = g_ref_string_acquire (worker->name);
  bt_trace_add_pool (core, job->id, "held", job->pool, "%s is kept free for it, as it waited long",
                     worker->name);
}

/**
 * bt_queue_report_placement() - a task of the job that bt_queue_next() named was placed or not
 * @core: the core
 * @job: the job, which may have left the queue meanwhile
 * @placed: whether it was
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
        release_hold (core, pool);
      if (job->n_waiting == 0)
        bt_queue_remove (core, job);
      return;
    }
  if (job->lane != lane || job->parked)
    return;
  block (core, lane, job, BT_WAIT_NO_ROOM);
  hold_worker (core, pool, job);
}

/**
 * struct freed_t - a VM on which room was freed
 * @urgent: what urgent work may use of it now
 * @other: what other work may use
 */
typedef struct
{
  const bt_worker_t *worker;
  bt_vector_t urgent;
  bt_vector_t other;
} freed_t;

static gboolean
fits_freed (const bt_core_t *core, const bt_job_t *job, const freed_t *freed)
{
  if (freed->worker->reserved_for == job)
    return fits_on (core, job, freed->worker);
  gboolean urgent = job->work_class == BT_CLASS_URGENT;
  return bt_vector_fits (&job->need, urgent ? &freed->urgent : &freed->other);
}

static void
freed_for_lane (const bt_core_t *core, bt_lane_t *lane, const freed_t *freed)
{
  const bt_job_t *job = lane->first;
  if (lane->open_at > 0)
    {
      if (lane->freed != NULL && lane->freed != freed->worker)
        lane->freed = NULL;
      return;
    }
  gboolean anywhere = job->wait_reason != BT_WAIT_NO_ROOM || job->request->kind == BT_KIND_GANG;
  if (!anywhere && !fits_freed (core, job, freed))
    return;
  open_lane (lane);
  if (!anywhere)
    lane->freed = freed->worker;
}

/**
 * bt_queue_on_resources_freed() - an attempt on a VM is over
 * @core: the core
 * @worker: the VM
 *
 * Opens the lanes whose first job now fits there, or whose team was at its quota.
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
  bt_quota_available (core, &urgent, worker, &freed.urgent);
  bt_quota_available (core, &other, worker, &freed.other);
  for (guint i = 0; i < pool->lanes->len; i++)
    {
      bt_lane_t *lane = pool->lanes->pdata[i];
      if (lane->first != NULL)
        freed_for_lane (core, lane, &freed);
    }
}

/**
 * bt_queue_clear_worker() - a VM is about to be freed
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
    if (lane->freed == worker)
      lane->freed = NULL;
}

static void
unpark (bt_core_t *core)
{
  GList *next;
  for (GList *l = core->queue.parked.head; l != NULL; l = next)
    {
      bt_job_t *job = l->data;
      next = l->next;
      if (!is_ready (core, job))
        continue;
      g_queue_unlink (&core->queue.parked, l);
      enter_lane (core, job);
    }
}

/*
 * A VM is held only for a job that is tried: one that another of its lane came
 * before would wait for that one, and that one for the VM.
 */
static void
check_hold (bt_core_t *core, bt_queue_pool_t *pool)
{
  if (pool->reserved_for == NULL)
    return;
  const bt_worker_t *worker = bt_owner_find_worker (core, pool->reserved_worker);
  const bt_job_t *holder = pool->reserved_for;
  if (worker == NULL || !bt_owner_may_start (core, worker) || holder->parked
      || holder->lane->first != holder)
    release_hold (core, pool);
}

static gboolean
lane_unused (const bt_core_t *core, const bt_lane_t *lane)
{
  return lane->n_jobs == 0 && core->now - lane->used_at > KEEP_LANE_US;
}

static gboolean
lane_referenced (const bt_core_t *core, const bt_lane_t *lane)
{
  for (const GList *l = core->queue.parked.head; l != NULL; l = l->next)
    if (((const bt_job_t *)l->data)->lane == lane)
      return TRUE;
  return FALSE;
}

static void
reopen (bt_core_t *core, bt_queue_pool_t *pool)
{
  check_hold (core, pool);
  for (guint i = 0; i < pool->lanes->len;)
    {
      bt_lane_t *lane = pool->lanes->pdata[i];
      open_lane (lane);
      if (lane_unused (core, lane) && !lane_referenced (core, lane))
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
 * bt_queue_tick() - look again at jobs that could not be placed or tried
 * @core: the core
 */
void
bt_queue_tick (bt_core_t *core)
{
  if (core->now >= core->queue.next_unpark)
    {
      core->queue.next_unpark = core->now + UNPARK_US;
      unpark (core);
    }
  if (core->now < core->queue.next_open)
    return;
  core->queue.next_open = core->now + REOPEN_US;
  GHashTableIter iter;
  bt_queue_pool_t *pool;
  g_hash_table_iter_init (&iter, core->queue.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    reopen (core, pool);
}

static void
find_late (const bt_core_t *core, bt_job_t *job, GPtrArray *late)
{
  if (job->deadline_at <= core->now)
    g_ptr_array_add (late, job);
}

/**
 * bt_queue_expire() - find the queued jobs whose deadline has passed
 * @core: the core
 * @expire: called for each; may take it out of the queue
 *
 * Jobs whose turn comes are looked at by their own; this is for those far back.
 */
void
bt_queue_expire (bt_core_t *core, void (*expire) (bt_core_t *core, bt_job_t *job))
{
  if (core->now < core->queue.next_expiry)
    return;
  core->queue.next_expiry = core->now + EXPIRY_US;
  g_autoptr (GPtrArray) late = g_ptr_array_new ();
  for (const GList *l = core->queue.parked.head; l != NULL; l = l->next)
    find_late (core, l->data, late);
  GHashTableIter iter;
  const bt_lane_t *lane;
  g_hash_table_iter_init (&iter, core->queue.lanes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&lane))
    {
      GSequenceIter *at = g_sequence_get_begin_iter (lane->jobs);
      for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
        find_late (core, g_sequence_get (at), late);
    }
  for (guint i = 0; i < late->len; i++)
    expire (core, late->pdata[i]);
}
