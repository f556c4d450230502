#include "libbamboothread/scheduler/order.h"

/* A job that takes longer than its objective allows, by this factor, is of no use any more. */
#define OBSOLETE_FACTOR 3
/* Workers of a pool for each late gang that is served as if it were on time: of a smaller pool, one
   gang would take a large part. */
#define WORKERS_PER_LATE_GANG 100

/* By bts_band_t. */
static const char *const band_names[]
    = { "long-running", "urgent", "urgent-late", "on-time", "late", "excess", "obsolete" };

/**
 * bts_band_name() - the name of a band in log lines and explanations
 * @band: a bts_band_t
 */
const char *
bts_band_name (guint band)
{
  return band_names[band];
}

/* Estimated times along the longest chains of dependent steps: of each step, among that one and all
   steps after it. Each step depends on earlier ones only. */
static gint64 *
find_paths (const bts_job_t *job)
{
  gsize n = job->accepted->n_steps;
  g_autofree gint64 *after_ms = g_new0 (gint64, n);
  gint64 *paths_ms = g_new0 (gint64, n);
  for (gsize i = n; i > 0; i--)
    {
      const Bts__Step *step = job->accepted->steps[i - 1];
      gint64 chain_ms = step->estimate_ms + after_ms[i - 1];
      for (gsize j = 0; j < step->n_after; j++)
        after_ms[step->after[j]] = MAX (after_ms[step->after[j]], chain_ms);
      paths_ms[i - 1] = i == n ? chain_ms : MAX (chain_ms, paths_ms[i]);
    }
  return paths_ms;
}

static gint64
allowed_ms (const bts_job_t *job, const gint64 *paths_ms)
{
  const Bts__Policy *policy = job->accepted->policy;
  double longest_ms = job->accepted->n_steps == 0 ? 0 : (double)paths_ms[0];
  return (gint64)(policy->stretch * longest_ms) + policy->objective_ms;
}

/**
 * bts_order_allowed_ms() - approximate time that a job may take and still meet its objective
 * @job: the job
 */
gint64
bts_order_allowed_ms (const bts_job_t *job)
{
  g_autofree gint64 *paths_ms = job->paths_ms == NULL ? find_paths (job) : NULL;
  return allowed_ms (job, paths_ms == NULL ? job->paths_ms : paths_ms);
}

/**
 * bts_order_set_times() - set until when a stage is on time, and of use
 * @stage: the stage
 */
void
bts_order_set_times (bts_stage_t *stage)
{
  bts_job_t *job = stage->job;
  if (job->paths_ms == NULL)
    job->paths_ms = find_paths (job);
  gint64 allowed_us = allowed_ms (job, job->paths_ms) * 1000;
  stage->latest_start_us = job->folded_us + allowed_us - job->paths_ms[stage->step] * 1000;
  stage->obsolete_us = job->folded_us + OBSOLETE_FACTOR * allowed_us;
}

/* Whether a stage belongs to work in excess. What has begun as a long-running task isn't: an
   interruption must not last until all other work is done. */
static gboolean
is_excess (const bts_stage_t *stage)
{
  return stage->job->in_excess && !(bts_stage_step (stage)->long_running && stage->job->begun);
}

/**
 * bts_order_band() - the band of a stage
 * @stage: the stage, with its times set
 * @now_us: the time
 *
 * Long-running stages come first, then urgent work, then other work. Within the latter two, stages
 * that can still meet their objective come before those that are late. Stages in excess of their
 * tenant's weight come after all others but those whose result is of no use any more.
 */
bts_band_t
bts_order_band (const bts_stage_t *stage, gint64 now_us)
{
  gboolean urgent = bts_stage_policy (stage)->priority == 0;
  gboolean excess = is_excess (stage);
  if (bts_stage_step (stage)->long_running && !excess)
    return BTS_BAND_LONG_RUNNING;
  if (now_us > stage->obsolete_us)
    return BTS_BAND_OBSOLETE;
  if (excess)
    return BTS_BAND_EXCESS;
  if (now_us > stage->latest_start_us)
    return urgent ? BTS_BAND_URGENT_LATE : BTS_BAND_LATE;
  return urgent ? BTS_BAND_URGENT : BTS_BAND_ON_TIME;
}

/* Updates the band of a stage, and returns whether it has changed. */
static gboolean
update_band (bts_stage_t *stage, gint64 now_us)
{
  guint old_band = stage->band;
  stage->band = bts_order_band (stage, now_us);
  return stage->band != old_band;
}

static gint
compare_stages (gconstpointer a, gconstpointer b)
{
  const bts_stage_t *left = *(bts_stage_t *const *)a;
  const bts_stage_t *right = *(bts_stage_t *const *)b;
  if (left->band != right->band)
    return left->band < right->band ? -1 : 1;
  if (left->latest_start_us != right->latest_start_us)
    return left->latest_start_us < right->latest_start_us ? -1 : 1;
  return 0;
}

static gint64
total_cpu (const bts_stage_t *stage)
{
  return (gint64)stage->n_tasks * bts_stage_step (stage)->cpu_millis;
}

/* The gang of the tenant with the lowest share first, and then the largest: the small gangs of one
   tenant aren't kept waiting by the large ones of another. */
static gint
compare_gangs (gconstpointer a, gconstpointer b, gpointer context)
{
  const bts_share_t *share = context;
  double left_share = bts_share_weighted (share, (*(bts_stage_t *const *)a)->job);
  double right_share = bts_share_weighted (share, (*(bts_stage_t *const *)b)->job);
  if (left_share != right_share)
    return left_share < right_share ? -1 : 1;
  gint64 left = total_cpu (*(bts_stage_t *const *)a);
  gint64 right = total_cpu (*(bts_stage_t *const *)b);
  return left > right ? -1 : left < right;
}

/* Serves the largest late gangs of each service as if they were on time. Behind all other work, a
   wide gang would wait for as long as there is any: small tasks fit into the room between others,
   while a wide gang starts on reserved workers only. One gang at a time in each part of a pool
   takes little from the others. */
static void
promote_late_gangs (GPtrArray *queue, const bts_fleet_t *fleet, bts_share_t *share)
{
  g_autoptr (GPtrArray) gangs = g_ptr_array_new ();
  for (guint i = 0; i < queue->len; i++)
    {
      bts_stage_t *stage = queue->pdata[i];
      if (stage->band == BTS_BAND_LATE && bts_stage_step (stage)->gang
          && !stage->reservation.is_unfit)
        g_ptr_array_add (gangs, stage);
    }
  g_ptr_array_sort_with_data (gangs, compare_gangs, share);
  g_autoptr (GHashTable) n_promoted = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < gangs->len; i++)
    {
      bts_stage_t *stage = gangs->pdata[i];
      gpointer service = (gpointer)stage->job->service;
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (n_promoted, service));
      if (n >= bts_fleet_pool (fleet, service)->len / WORKERS_PER_LATE_GANG)
        continue;
      stage->band = BTS_BAND_ON_TIME;
      g_hash_table_insert (n_promoted, service, GUINT_TO_POINTER (n + 1));
    }
}

/* Whether the order within the band of a stage follows the shares of the tenants. Late gangs that
   were promoted stay ahead of their band. */
static gboolean
is_shared (const bts_stage_t *stage, gint64 now_us)
{
  return stage->band >= BTS_BAND_LATE
         || (stage->band == BTS_BAND_ON_TIME && now_us <= stage->latest_start_us);
}

/* Orders each band of work that isn't urgent by the shares of the tenants. */
static void
order_by_shares (GPtrArray *queue, bts_share_t *share, gint64 now_us)
{
  bts_stage_t **stages = (bts_stage_t **)queue->pdata;
  for (guint first = 0; first < queue->len;)
    {
      guint n = 1;
      while (first + n < queue->len && stages[first + n]->band == stages[first]->band
             && is_shared (stages[first], now_us))
        n++;
      if (n > 1)
        bts_share_order (share, stages + first, n);
      first += n;
    }
}

/**
 * bts_order_sort() - put the queue in the order in which it is served
 * @queue: bts_stage_t
 * @unsorted: whether a stage was added since the last time; cleared
 * @fleet: the workers
 * @share: shares of the tenants
 * @now_us: the time
 */
void
bts_order_sort (GPtrArray *queue, gboolean *unsorted, const bts_fleet_t *fleet, bts_share_t *share,
                gint64 now_us)
{
  for (guint i = 0; i < queue->len; i++)
    {
      bts_stage_t *stage = queue->pdata[i];
      stage->turn = 0;
      *unsorted |= update_band (stage, now_us);
    }
  gboolean has_tenants = bts_share_begin_pass (share, fleet, now_us);
  if (*unsorted)
    {
      promote_late_gangs (queue, fleet, share);
      g_ptr_array_sort (queue, compare_stages);
    }
  *unsorted = FALSE;
  if (has_tenants)
    order_by_shares (queue, share, now_us);
}
