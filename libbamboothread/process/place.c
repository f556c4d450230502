#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * The choice of a worker for a task.
 *
 * The workers of a pool stand in buckets by the accelerators that they have
 * free, by the resource that is used most and by how far it is used. A decision
 * walks the buckets from the best to the worst for its route, passes over those
 * whose bound on free room is too small, and compares a few workers of the
 * first bucket level that has room.
 */

/* Rows by free accelerators; the last holds that many and more. */
#define ROWS 9
/* Levels of use of the resource that is used most; the last is full. */
#define LEVELS 16
#define BUCKETS (ROWS * LEVELS * BT_N_RESOURCES)
/* Workers with room that are compared before the best of them is taken. */
#define CANDIDATES_MAX 8
/* Weight of room that can't be used for want of another resource. */
#define STRANDED_WEIGHT 0.25
/* What speaks against a worker counts like so many of the job's tasks in its rack. */
#define FAILED_THERE 2000
#define SUSPECT 1000
/* Suspect workers that a decision passes over before it takes them like others. */
#define SUSPECTS_MAX 64
/* Preference of a level over the next one; larger than any score in a level. */
#define WHOLE 100

/**
 * struct bucket_t - workers that are used alike
 * @workers: the workers
 * @bound: no worker here has more room than this in any dimension
 */
typedef struct
{
  GPtrArray *workers;
  bt_vector_t bound;
} bucket_t;

/**
 * struct shape_t - a size of VM
 * @capacity: all that such a VM has
 * @reserve: the part for urgent work only
 * @vms: how many the pool has
 */
typedef struct
{
  bt_vector_t capacity;
  bt_vector_t reserve;
  guint vms;
} shape_t;

/**
 * struct bt_place_pool_t - the index of one pool's workers in this data centre
 * @racks: name of a rack to its number
 * @in_rack: tasks of the job at hand by rack; all 0 between decisions
 */
struct bt_place_pool_t
{
  bucket_t buckets[BUCKETS];
  GArray *shapes;
  GHashTable *racks;
  GArray *in_rack;
};

/**
 * struct query_t - one decision
 * @target: share to which a VM is filled before another one is begun
 * @found: workers with room that were compared in this level
 * @suspects: suspect workers that were seen
 */
typedef struct
{
  bt_core_t *core;
  const bt_job_t *job;
  bt_place_pool_t *pool;
  const bt_vector_t *need;
  double target;
  guint found;
  guint suspects;
  bt_worker_t *best;
  guint best_in_rack;
  double best_score;
} query_t;

static void
pool_free (gpointer data)
{
  bt_place_pool_t *pool = data;
  for (guint i = 0; i < BUCKETS; i++)
    g_clear_pointer (&pool->buckets[i].workers, g_ptr_array_unref);
  g_array_unref (pool->shapes);
  g_array_unref (pool->in_rack);
  g_hash_table_unref (pool->racks);
  g_free (pool);
}

static bt_place_pool_t *
pool_new (void)
{
  bt_place_pool_t *pool = g_new0 (bt_place_pool_t, 1);
  pool->shapes = g_array_new (FALSE, TRUE, sizeof (shape_t));
  pool->in_rack = g_array_new (FALSE, TRUE, sizeof (guint));
  pool->racks
      = g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, NULL);
  return pool;
}

/**
 * bt_place_init() - an empty index
 * @core: the core
 */
void
bt_place_init (bt_core_t *core)
{
  core->place.pools = g_hash_table_new_full (g_str_hash, g_str_equal,
                                             (GDestroyNotify)g_ref_string_release, pool_free);
}

/**
 * bt_place_clear() - free the index, which holds no worker any more
 * @core: the core
 */
void
bt_place_clear (bt_core_t *core)
{
  g_hash_table_unref (core->place.pools);
}

static void
free_room (const bt_worker_t *worker, bt_vector_t *room)
{
  *room = worker->capacity;
  bt_vector_sub (room, &worker->used);
}

static double
share (gint64 part, gint64 whole)
{
  return whole > 0 ? (double)part / (double)whole : 0.0;
}

/* Accelerators have rows of their own, so they do not count as use here. */
static int
most_used (const bt_worker_t *worker, double *used_share)
{
  int most = BT_RESOURCE_MCPUS;
  *used_share = 0;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      double used = share (worker->used.v[i], worker->capacity.v[i]);
      if (i == BT_RESOURCE_GPUS || used <= *used_share)
        continue;
      most = i;
      *used_share = used;
    }
  return most;
}

static guint
bucket_number (guint row, guint level, guint resource)
{
  return (row * LEVELS + level) * BT_N_RESOURCES + resource;
}

static guint
bucket_of (const bt_worker_t *worker)
{
  gint64 gpus = worker->capacity.v[BT_RESOURCE_GPUS] - worker->used.v[BT_RESOURCE_GPUS];
  double used_share;
  int resource = most_used (worker, &used_share);
  guint level = (guint)CLAMP (used_share * LEVELS, 0, LEVELS - 1);
  return bucket_number ((guint)CLAMP (gpus, 0, ROWS - 1), level, (guint)resource);
}

static void
raise_bound (bt_vector_t *bound, const bt_vector_t *room)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    bound->v[i] = MAX (bound->v[i], room->v[i]);
}

static void
take_out (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  GPtrArray *workers = entry->pool->buckets[entry->bucket].workers;
  g_ptr_array_remove_index_fast (workers, entry->position);
  if (entry->position < workers->len)
    ((bt_worker_t *)workers->pdata[entry->position])->place.position = entry->position;
}

static void
put_in (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  entry->bucket = bucket_of (worker);
  bucket_t *bucket = &entry->pool->buckets[entry->bucket];
  if (bucket->workers == NULL)
    bucket->workers = g_ptr_array_new ();
  bt_vector_t room;
  free_room (worker, &room);
  if (bucket->workers->len == 0)
    bucket->bound = room;
  else
    raise_bound (&bucket->bound, &room);
  entry->position = bucket->workers->len;
  g_ptr_array_add (bucket->workers, worker);
}

static void
update (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  if (entry->pool == NULL)
    return;
  if (bucket_of (worker) != entry->bucket)
    {
      take_out (worker);
      put_in (worker);
      return;
    }
  bt_vector_t room;
  free_room (worker, &room);
  raise_bound (&entry->pool->buckets[entry->bucket].bound, &room);
}

/**
 * bt_place_allocate() - an attempt takes its share of a worker
 * @worker: the worker
 * @need: that share
 */
void
bt_place_allocate (bt_worker_t *worker, const bt_vector_t *need)
{
  bt_vector_add (&worker->used, need);
  update (worker);
}

/**
 * bt_place_release() - an attempt gives its share of a worker back
 * @worker: the worker
 * @need: that share
 */
void
bt_place_release (bt_worker_t *worker, const bt_vector_t *need)
{
  bt_vector_sub (&worker->used, need);
  update (worker);
}

/**
 * bt_place_remove_worker() - take a worker out of the index
 * @worker: the worker
 */
void
bt_place_remove_worker (bt_worker_t *worker)
{
  if (worker->place.pool == NULL)
    return;
  take_out (worker);
  worker->place.pool = NULL;
}

static guint
rack_number (bt_place_pool_t *pool, GRefString *rack)
{
  gpointer number;
  if (g_hash_table_lookup_extended (pool->racks, rack, NULL, &number))
    return GPOINTER_TO_UINT (number);
  guint next = g_hash_table_size (pool->racks);
  g_hash_table_insert (pool->racks, g_ref_string_acquire (rack), GUINT_TO_POINTER (next));
  g_array_set_size (pool->in_rack, next + 1);
  return next;
}

static void
add_shape (bt_place_pool_t *pool, const bt_vector_t *capacity, const bt_vector_t *reserve)
{
  for (guint i = 0; i < pool->shapes->len; i++)
    {
      shape_t *shape = &g_array_index (pool->shapes, shape_t, i);
      if (memcmp (&shape->capacity, capacity, sizeof *capacity) != 0)
        continue;
      shape->vms++;
      return;
    }
  shape_t shape = { .capacity = *capacity, .reserve = *reserve, .vms = 1 };
  g_array_append_val (pool->shapes, shape);
}

static void
index_pool (bt_core_t *core, const bt_pool_t *line)
{
  bt_place_pool_t *pool = pool_new ();
  for (guint i = 0; i < line->vms->len; i++)
    {
      const bt_vm_t *vm = line->vms->pdata[i];
      if (strcmp (vm->data_centre, core->data_centre) != 0)
        continue;
      bt_worker_t *worker = bt_owner_find_worker (core, vm->name);
      bt_vector_t usable = worker->capacity;
      bt_quota_deduct_reserve (line, BT_CLASS_BATCH, &usable);
      worker->place.urgent_reserve = worker->capacity;
      bt_vector_sub (&worker->place.urgent_reserve, &usable);
      add_shape (pool, &worker->capacity, &worker->place.urgent_reserve);
      worker->place.pool = pool;
      worker->place.rack = rack_number (pool, worker->rack);
      put_in (worker);
    }
  g_hash_table_insert (core->place.pools, g_ref_string_acquire (line->name), pool);
}

/**
 * bt_place_apply_tables() - index the workers that the newest tables name
 * @core: the core, whose workers agree with the tables
 */
void
bt_place_apply_tables (bt_core_t *core)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    bt_place_remove_worker (worker);
  g_hash_table_remove_all (core->place.pools);
  const GPtrArray *pools = core->tables.tables->pools;
  for (guint i = 0; i < pools->len; i++)
    index_pool (core, pools->pdata[i]);
}

/* Return: the largest share of the VM that is used once the task is on it. */
static double
score_use (const query_t *query, const bt_worker_t *worker, double *stranded)
{
  double most = 0;
  double least = 1;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (i == BT_RESOURCE_GPUS || worker->capacity.v[i] == 0)
        continue;
      double used = share (worker->used.v[i] + query->need->v[i], worker->capacity.v[i]);
      most = MAX (most, used);
      if (i == BT_RESOURCE_MCPUS || i == BT_RESOURCE_MEMORY_MB)
        least = MIN (least, used);
    }
  *stranded = most - least;
  return most;
}

/* Up to the target the fullest VM is best; beyond it, the emptiest. */
static double
score (const query_t *query, const bt_worker_t *worker)
{
  double stranded;
  double used = score_use (query, worker, &stranded);
  double value = used <= query->target ? WHOLE + used : -used;
  return value - STRANDED_WEIGHT * query->target * stranded;
}

static gboolean
better (const query_t *query, const bt_worker_t *worker, guint in_rack, double value)
{
  if (query->best == NULL || in_rack != query->best_in_rack)
    return query->best == NULL || in_rack < query->best_in_rack;
  if (value != query->best_score)
    return value > query->best_score;
  return strcmp (worker->name, query->best->name) < 0;
}

static void
consider (query_t *query, bt_worker_t *worker)
{
  guint in_rack = query->job->rack_spread
                      ? g_array_index (query->pool->in_rack, guint, worker->place.rack)
                      : 0;
  if (bt_health_has_failed_on (query->job, worker))
    in_rack += FAILED_THERE;
  if (bt_health_is_suspect (worker) && query->suspects++ < SUSPECTS_MAX)
    in_rack += SUSPECT;
  double value = score (query, worker);
  if (in_rack == 0)
    query->found++;
  if (!better (query, worker, in_rack, value))
    return;
  query->best = worker;
  query->best_in_rack = in_rack;
  query->best_score = value;
}

static void
search_bucket (query_t *query, bucket_t *bucket)
{
  if (bucket->workers == NULL || bucket->workers->len == 0
      || !bt_vector_fits (query->need, &bucket->bound))
    return;
  bt_vector_t bound = { { 0 } };
  for (guint i = 0; i < bucket->workers->len; i++)
    {
      bt_worker_t *worker = bucket->workers->pdata[i];
      bt_vector_t room;
      free_room (worker, &room);
      raise_bound (&bound, &room);
      query->core->counters.place_examined++;
      bt_quota_available (query->core, query->job, worker, &room);
      if (!bt_vector_fits (query->need, &room) || !bt_owner_may_start (query->core, worker)
          || !bt_health_allows (worker, query->job)
          || !bt_gang_may_backfill (query->core, worker, query->job))
        continue;
      consider (query, worker);
      if (query->found >= CANDIDATES_MAX)
        return;
    }
  bucket->bound = bound;
}

static void
search_level (query_t *query, guint row, guint level)
{
  query->found = 0;
  for (guint resource = 0; resource < BT_N_RESOURCES && query->found < CANDIDATES_MAX; resource++)
    search_bucket (query, &query->pool->buckets[bucket_number (row, level, resource)]);
}

/* Whether a worker was found, and none of the job's tasks is in its rack. */
static gboolean
satisfied (const query_t *query)
{
  return query->best != NULL && query->best_in_rack == 0;
}

static gboolean
search_row (query_t *query, guint row)
{
  gint start = MIN ((gint)(query->target * LEVELS), LEVELS - 1);
  for (gint level = start; level >= 0; level--)
    {
      search_level (query, row, (guint)level);
      if (satisfied (query) && query->best_score > 0)
        return TRUE;
    }
  for (gint level = start + 1; level < LEVELS && !satisfied (query); level++)
    search_level (query, row, (guint)level);
  return satisfied (query);
}

/* Accelerators are kept together, unless a route would rather not wait. */
static void
search (query_t *query)
{
  gint64 gpus = query->need->v[BT_RESOURCE_GPUS];
  gint first = (gint)MIN (gpus, ROWS - 1);
  gboolean spread = gpus > 0 && query->job->waiting_weight > query->job->packing_weight;
  for (gint i = first; i < ROWS; i++)
    if (search_row (query, (guint)(spread ? ROWS - 1 - (i - first) : i)))
      return;
}

static void
count_racks (const query_t *query, gint by)
{
  for (guint i = 0; query->job->rack_spread && i < query->job->n_tasks; i++)
    {
      const bt_attempt_t *attempt = query->job->tasks[i].attempt;
      if (attempt != NULL && attempt->worker != NULL && attempt->worker->place.pool == query->pool)
        g_array_index (query->pool->in_rack, guint, attempt->worker->place.rack) += (guint)by;
    }
}

/**
 * bt_place_find() - choose a worker for a task of a job
 * @core: the core
 * @job: the job
 * @task: index of the task
 *
 * Return: a worker on which the task fits and may be started, or NULL if there
 * is none.
 */
bt_worker_t *
bt_place_find (bt_core_t *core, const bt_job_t *job, guint task)
{
  core->counters.place_decisions++;
  query_t query = { .core = core, .job = job, .need = &job->need };
  query.pool = g_hash_table_lookup (core->place.pools, job->pool);
  if (query.pool == NULL)
    return NULL;
  double weights = job->packing_weight + job->waiting_weight;
  query.target = weights > 0 ? job->packing_weight / weights : 0.5;
  count_racks (&query, 1);
  search (&query);
  count_racks (&query, -1);
  return query.best;
}

static gint64
tasks_in_shape (const shape_t *shape, const bt_vector_t *need, gboolean urgent)
{
  gint64 least = G_MAXINT64;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      gint64 room = shape->capacity.v[i] - (urgent ? 0 : shape->reserve.v[i]);
      if (need->v[i] > 0)
        least = MIN (least, room / need->v[i]);
    }
  return least;
}

/* How many tasks the idle pool could run at once; 0 if even an idle VM is too small. */
static gint64
most_tasks (const bt_core_t *core, const char *pool, const bt_vector_t *need, gboolean urgent)
{
  const bt_place_pool_t *index = g_hash_table_lookup (core->place.pools, pool);
  gint64 sum = 0;
  for (guint i = 0; index != NULL && i < index->shapes->len; i++)
    {
      const shape_t *shape = &g_array_index (index->shapes, shape_t, i);
      sum += shape->vms * tasks_in_shape (shape, need, urgent);
    }
  return sum;
}

/**
 * bt_place_is_feasible() - whether a request could ever run here
 * @core: the core
 * @request: the request
 * @pool: its pool
 * @work_class: the work's class; only urgent work can use a VM's reserve
 *
 * Return: FALSE if even an idle VM of this data centre is too small, or all of
 * them together for a gang.
 */
gboolean
bt_place_is_feasible (const bt_core_t *core, const bt_request_t *request, const bt_pool_t *pool,
                      bt_class_t work_class)
{
  bt_vector_t need;
  bt_request_need (request, &need);
  gint64 most = most_tasks (core, pool->name, &need, work_class == BT_CLASS_URGENT);
  return most >= (request->kind == BT_KIND_GANG ? request->tasks : 1);
}
