#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Placement: the choice of a worker for a task.
 *
 * The workers of a pool are indexed in buckets by their number of free GPUs (row), by the share
 * in use of their most used resource (level), and by which resource that is. A search visits
 * the buckets from the best to the worst for the job's route, skips those whose upper bound on
 * free resources is too small, and compares a few workers of each level until it has found a
 * good one.
 */

/* Rows by number of free GPUs; the last row has the workers with GPU_ROWS - 1 or more. */
#define GPU_ROWS 9
/* Levels by the share in use of the most used resource; the last includes full workers. */
#define USE_LEVELS 16
#define N_BUCKETS (GPU_ROWS * USE_LEVELS * BT_N_RESOURCES)
/* Number of feasible workers without penalty after which no more are compared in a level. */
#define CANDIDATES_MAX 8
/* Weight in a score of the processors or memory of a VM that could not be used any more, as
   another of its resources would be used up first. */
#define STRANDED_WEIGHT 0.25
/* Penalties of a worker on which a task of the job failed, and of a suspect one, in the same unit
   as tasks of the job in its rack. */
#define FAILED_THERE_PENALTY 2000
#define SUSPECT_PENALTY 1000
/* Suspect workers that a search penalizes; further ones are treated like healthy workers. */
#define PENALIZED_SUSPECTS_MAX 64
/* Bonus of a worker that stays within the target; larger than the rest of any score, so that
   the score is positive only for such workers. */
#define WITHIN_TARGET_BONUS 100

/**
 * struct bucket_t - workers with the same row, level and most used resource
 * @bound: upper bound of the free resources of each worker, per resource
 */
typedef struct
{
  GPtrArray *workers;
  bt_resources_t bound;
} bucket_t;

/**
 * struct vm_size_t - a VM size of a pool
 * @capacity: resources of such a VM
 * @reserve: the part of them that only urgent work may use
 * @n_vms: number of such VMs in the pool
 */
typedef struct
{
  bt_resources_t capacity;
  bt_resources_t reserve;
  guint n_vms;
} vm_size_t;

/**
 * struct bt_place_pool_t - index of a pool's workers in this data centre
 * @rack_indexes: index of each rack by name
 * @tasks_in_rack: tasks by rack of the job that is being placed; all 0 between searches
 */
struct bt_place_pool_t
{
  bucket_t buckets[N_BUCKETS];
  GArray *vm_sizes;
  GHashTable *rack_indexes;
  GArray *tasks_in_rack;
};

/**
 * struct query_t - one search for a worker
 * @target: share to which a VM is filled before tasks are placed on an emptier one
 * @n_candidates: feasible workers without penalty that were compared on this level
 * @n_suspects: suspect workers that were seen so far
 * @best: the best worker found, or NULL
 * @best_penalty: its penalty, which counts before its score
 */
typedef struct
{
  bt_core_t *core;
  const bt_job_t *job;
  bt_place_pool_t *pool;
  const bt_resources_t *need;
  double target;
  guint n_candidates;
  guint n_suspects;
  bt_worker_t *best;
  guint best_penalty;
  double best_score;
} query_t;

static void
pool_free (gpointer data)
{
  bt_place_pool_t *pool = data;
  for (guint i = 0; i < N_BUCKETS; i++)
    g_clear_pointer (&pool->buckets[i].workers, g_ptr_array_unref);
  g_array_unref (pool->vm_sizes);
  g_array_unref (pool->tasks_in_rack);
  g_hash_table_unref (pool->rack_indexes);
  g_free (pool);
}

static bt_place_pool_t *
pool_new (void)
{
  bt_place_pool_t *pool = g_new0 (bt_place_pool_t, 1);
  pool->vm_sizes = g_array_new (FALSE, TRUE, sizeof (vm_size_t));
  pool->tasks_in_rack = g_array_new (FALSE, TRUE, sizeof (guint));
  pool->rack_indexes
      = g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, NULL);
  return pool;
}

/**
 * bt_place_init() - create an empty index
 * @core: the core
 */
void
bt_place_init (bt_core_t *core)
{
  core->place.pools = g_hash_table_new_full (g_str_hash, g_str_equal,
                                             (GDestroyNotify)g_ref_string_release, pool_free);
}

/**
 * bt_place_clear() - free the index, from which all workers have been removed
 * @core: the core
 */
void
bt_place_clear (bt_core_t *core)
{
  g_hash_table_unref (core->place.pools);
}

static void
free_resources (const bt_worker_t *worker, bt_resources_t *resources)
{
  *resources = worker->capacity;
  bt_resources_subtract (resources, &worker->used);
}

static double
ratio (gint64 part, gint64 whole)
{
  return whole > 0 ? (double)part / (double)whole : 0.0;
}

/* Returns the resource of a worker of which the largest share is in use, and that share. GPUs are
   left out, as the rows account for them. */
static int
most_used_resource (const bt_worker_t *worker, double *used_share)
{
  int most = BT_RESOURCE_MCPUS;
  *used_share = 0;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      double used = ratio (worker->used.v[i], worker->capacity.v[i]);
      if (i == BT_RESOURCE_GPUS || used <= *used_share)
        continue;
      most = i;
      *used_share = used;
    }
  return most;
}

static guint
bucket_index (guint row, guint level, guint resource)
{
  return (row * USE_LEVELS + level) * BT_N_RESOURCES + resource;
}

static guint
bucket_for_worker (const bt_worker_t *worker)
{
  gint64 gpus = worker->capacity.v[BT_RESOURCE_GPUS] - worker->used.v[BT_RESOURCE_GPUS];
  double used_share;
  int resource = most_used_resource (worker, &used_share);
  guint level = (guint)CLAMP (used_share * USE_LEVELS, 0, USE_LEVELS - 1);
  return bucket_index ((guint)CLAMP (gpus, 0, GPU_ROWS - 1), level, (guint)resource);
}

static void
raise_bound (bt_resources_t *bound, const bt_resources_t *resources)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    bound->v[i] = MAX (bound->v[i], resources->v[i]);
}

static void
remove_from_bucket (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  GPtrArray *workers = entry->pool->buckets[entry->bucket].workers;
  g_ptr_array_remove_index_fast (workers, entry->position);
  if (entry->position < workers->len)
    ((bt_worker_t *)workers->pdata[entry->position])->place.position = entry->position;
}

static void
add_to_bucket (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  entry->bucket = bucket_for_worker (worker);
  bucket_t *bucket = &entry->pool->buckets[entry->bucket];
  if (bucket->workers == NULL)
    bucket->workers = g_ptr_array_new ();
  bt_resources_t resources;
  free_resources (worker, &resources);
  if (bucket->workers->len == 0)
    bucket->bound = resources;
  else
    raise_bound (&bucket->bound, &resources);
  entry->position = bucket->workers->len;
  g_ptr_array_add (bucket->workers, worker);
}

static void
update_bucket (bt_worker_t *worker)
{
  bt_place_entry_t *entry = &worker->place;
  if (entry->pool == NULL)
    return;
  if (bucket_for_worker (worker) != entry->bucket)
    {
      remove_from_bucket (worker);
      add_to_bucket (worker);
      return;
    }
  bt_resources_t resources;
  free_resources (worker, &resources);
  raise_bound (&entry->pool->buckets[entry->bucket].bound, &resources);
}

/**
 * bt_place_allocate() - allocate resources of a worker to an attempt
 * @worker: the worker
 * @need: the resources
 */
void
bt_place_allocate (bt_worker_t *worker, const bt_resources_t *need)
{
  bt_resources_add (&worker->used, need);
  update_bucket (worker);
}

/**
 * bt_place_release() - release the resources of an attempt on a worker
 * @worker: the worker
 * @need: the resources
 */
void
bt_place_release (bt_worker_t *worker, const bt_resources_t *need)
{
  bt_resources_subtract (&worker->used, need);
  update_bucket (worker);
}

/**
 * bt_place_remove_worker() - remove a worker from the index
 * @worker: the worker
 */
void
bt_place_remove_worker (bt_worker_t *worker)
{
  if (worker->place.pool == NULL)
    return;
  remove_from_bucket (worker);
  worker->place.pool = NULL;
}

static guint
ensure_rack (bt_place_pool_t *pool, GRefString *rack)
{
  gpointer index;
  if (g_hash_table_lookup_extended (pool->rack_indexes, rack, NULL, &index))
    return GPOINTER_TO_UINT (index);
  guint next = g_hash_table_size (pool->rack_indexes);
  g_hash_table_insert (pool->rack_indexes, g_ref_string_acquire (rack), GUINT_TO_POINTER (next));
  g_array_set_size (pool->tasks_in_rack, next + 1);
  return next;
}

static void
count_vm_size (bt_place_pool_t *pool, const bt_resources_t *capacity, const bt_resources_t *reserve)
{
  for (guint i = 0; i < pool->vm_sizes->len; i++)
    {
      vm_size_t *vm_size = &g_array_index (pool->vm_sizes, vm_size_t, i);
      if (memcmp (&vm_size->capacity, capacity, sizeof *capacity) != 0)
        continue;
      vm_size->n_vms++;
      return;
    }
  vm_size_t vm_size = { .capacity = *capacity, .reserve = *reserve, .n_vms = 1 };
  g_array_append_val (pool->vm_sizes, vm_size);
}

static void
index_pool (bt_core_t *core, const bt_pool_t *tables_pool)
{
  bt_place_pool_t *pool = pool_new ();
  for (guint i = 0; i < tables_pool->vms->len; i++)
    {
      const bt_vm_t *vm = tables_pool->vms->pdata[i];
      if (strcmp (vm->data_centre, core->data_centre) != 0)
        continue;
      bt_worker_t *worker = bt_owner_find_worker (core, vm->name);
      bt_resources_t usable = worker->capacity;
      bt_quota_deduct_reserve (tables_pool, BT_CLASS_BATCH, &usable);
      worker->place.urgent_reserve = worker->capacity;
      bt_resources_subtract (&worker->place.urgent_reserve, &usable);
      count_vm_size (pool, &worker->capacity, &worker->place.urgent_reserve);
      worker->place.pool = pool;
      worker->place.rack = ensure_rack (pool, worker->rack);
      add_to_bucket (worker);
    }
  g_hash_table_insert (core->place.pools, g_ref_string_acquire (tables_pool->name), pool);
}

/**
 * bt_place_apply_tables() - rebuild the index for the workers of the newest tables
 * @core: the core, whose workers have been updated from the tables
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

/* Returns the share in use of the VM's most used resource, GPUs aside, if the task ran on it.
   @stranded is how far the less used of processors and memory is behind that share. */
static double
peak_use (const query_t *query, const bt_worker_t *worker, double *stranded)
{
  double most = 0;
  double least = 1;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (i == BT_RESOURCE_GPUS || worker->capacity.v[i] == 0)
        continue;
      double used = ratio (worker->used.v[i] + query->need->v[i], worker->capacity.v[i]);
      most = MAX (most, used);
      if (i == BT_RESOURCE_MCPUS || i == BT_RESOURCE_MEMORY_MB)
        least = MIN (least, used);
    }
  *stranded = most - least;
  return most;
}

/* Within the target the fullest VM is best; beyond it, the emptiest. */
static double
score_worker (const query_t *query, const bt_worker_t *worker)
{
  double stranded;
  double used = peak_use (query, worker, &stranded);
  double score = used <= query->target ? WITHIN_TARGET_BONUS + used : -used;
  return score - STRANDED_WEIGHT * query->target * stranded;
}

static gboolean
is_better (const query_t *query, const bt_worker_t *worker, guint penalty, double score)
{
  if (query->best == NULL || penalty != query->best_penalty)
    return query->best == NULL || penalty < query->best_penalty;
  if (score != query->best_score)
    return score > query->best_score;
  return strcmp (worker->name, query->best->name) < 0;
}

static void
consider_worker (query_t *query, bt_worker_t *worker)
{
  guint penalty = query->job->rack_spread
                      ? g_array_index (query->pool->tasks_in_rack, guint, worker->place.rack)
                      : 0;
  if (bt_health_has_failed_on (query->job, worker))
    penalty += FAILED_THERE_PENALTY;
  if (bt_health_is_suspect (worker) && query->n_suspects++ < PENALIZED_SUSPECTS_MAX)
    penalty += SUSPECT_PENALTY;
  double score = score_worker (query, worker);
  if (penalty == 0)
    query->n_candidates++;
  if (!is_better (query, worker, penalty, score))
    return;
  query->best = worker;
  query->best_penalty = penalty;
  query->best_score = score;
}

static void
search_bucket (query_t *query, bucket_t *bucket)
{
  if (bucket->workers == NULL || bucket->workers->len == 0
      || !bt_resources_fit (query->need, &bucket->bound))
    return;
  bt_resources_t bound = { { 0 } };
  for (guint i = 0; i < bucket->workers->len; i++)
    {
      bt_worker_t *worker = bucket->workers->pdata[i];
      bt_resources_t resources;
      free_resources (worker, &resources);
      raise_bound (&bound, &resources);
      query->core->counters.place_examined++;
      bt_quota_available (query->core, query->job, worker, &resources);
      if (!bt_resources_fit (query->need, &resources) || !bt_owner_may_start (query->core, worker)
          || !bt_health_allows (worker, query->job)
          || !bt_gang_may_backfill (query->core, worker, query->job))
        continue;
      consider_worker (query, worker);
      if (query->n_candidates >= CANDIDATES_MAX)
        return;
    }
  bucket->bound = bound;
}

static void
search_level (query_t *query, guint row, guint level)
{
  query->n_candidates = 0;
  for (guint resource = 0; resource < BT_N_RESOURCES && query->n_candidates < CANDIDATES_MAX;
       resource++)
    search_bucket (query, &query->pool->buckets[bucket_index (row, level, resource)]);
}

/* Whether a worker without penalty was found: no task of the job has failed on it, it is not
   penalized as suspect, and if the job is spread over racks, no task of it runs in its rack. */
static gboolean
is_satisfied (const query_t *query)
{
  return query->best != NULL && query->best_penalty == 0;
}

static gboolean
search_row (query_t *query, guint row)
{
  gint start = MIN ((gint)(query->target * USE_LEVELS), USE_LEVELS - 1);
  for (gint level = start; level >= 0; level--)
    {
      search_level (query, row, (guint)level);
      if (is_satisfied (query) && query->best_score > 0)
        return TRUE;
    }
  for (gint level = start + 1; level < USE_LEVELS && !is_satisfied (query); level++)
    search_level (query, row, (guint)level);
  return is_satisfied (query);
}

/* Prefers the workers with the fewest free GPUs that suffice, to keep large numbers of GPUs free
   together, or those with the most if the route weighs an early start above tight packing. */
static void
search (query_t *query)
{
  gint64 gpus = query->need->v[BT_RESOURCE_GPUS];
  gint first = (gint)MIN (gpus, GPU_ROWS - 1);
  gboolean prefer_most_gpus = gpus > 0 && query->job->waiting_weight > query->job->packing_weight;
  for (gint i = first; i < GPU_ROWS; i++)
    if (search_row (query, (guint)(prefer_most_gpus ? GPU_ROWS - 1 - (i - first) : i)))
      return;
}

static void
adjust_rack_counts (const query_t *query, gint delta)
{
  for (guint i = 0; query->job->rack_spread && i < query->job->n_tasks; i++)
    {
      const bt_attempt_t *attempt = query->job->tasks[i].attempt;
      if (attempt != NULL && attempt->worker != NULL && attempt->worker->place.pool == query->pool)
        g_array_index (query->pool->tasks_in_rack, guint, attempt->worker->place.rack)
            += (guint)delta;
    }
}

/**
 * bt_place_find() - choose a worker for a task of a job
 * @core: the core
 * @job: the job
 * @task: index of the task
 *
 * Return: a worker on which the task fits and may be started, or NULL if there is none.
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
  adjust_rack_counts (&query, 1);
  search (&query);
  adjust_rack_counts (&query, -1);
  return query.best;
}

static gint64
tasks_per_vm (const vm_size_t *vm_size, const bt_resources_t *need, gboolean urgent)
{
  gint64 least = G_MAXINT64;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      gint64 available = vm_size->capacity.v[i] - (urgent ? 0 : vm_size->reserve.v[i]);
      if (need->v[i] > 0)
        least = MIN (least, available / need->v[i]);
    }
  return least;
}

/* Counts the tasks that the pool could run at once if it were idle; 0 if none of its VMs is
   large enough. */
static gint64
count_tasks_on_idle_pool (const bt_core_t *core, const char *pool, const bt_resources_t *need,
                          gboolean urgent)
{
  const bt_place_pool_t *index = g_hash_table_lookup (core->place.pools, pool);
  gint64 sum = 0;
  for (guint i = 0; index != NULL && i < index->vm_sizes->len; i++)
    {
      const vm_size_t *vm_size = &g_array_index (index->vm_sizes, vm_size_t, i);
      sum += vm_size->n_vms * tasks_per_vm (vm_size, need, urgent);
    }
  return sum;
}

/**
 * bt_place_is_feasible() - whether a request could ever run in this data centre
 * @core: the core
 * @request: the request
 * @pool: its pool
 * @work_class: the work's class; only urgent work can use a VM's reserve
 *
 * Return: FALSE if the request would not fit even if all VMs of the pool here were idle; a gang
 * needs room for all its tasks at once.
 */
gboolean
bt_place_is_feasible (const bt_core_t *core, const bt_request_t *request, const bt_pool_t *pool,
                      bt_class_t work_class)
{
  bt_resources_t need;
  bt_request_get_need (request, &need);
  gint64 max_tasks
      = count_tasks_on_idle_pool (core, pool->name, &need, work_class == BT_CLASS_URGENT);
  return max_tasks >= (request->kind == BT_KIND_GANG ? request->tasks : 1);
}
