#include "libbamboothread/scheduler/share.h"

/* Tokens are counted in integers, so that processes agree whatever their processors round. One
   submission takes this many, and the weight gains a thousandth of them each millisecond. */
#define TOKENS_PER_SUBMISSION 1000000
/* Submissions that a tenant may make at once without being in excess, in seconds of its weight. */
#define BURST_S 3
/* Interval at which the resources of the pools are summed up, in microseconds. */
#define TOTALS_INTERVAL_US (500 * 1000)
/* Most tasks of a stage that start in one pass while several tenants wait: a stage of thousands of
   tasks would otherwise take all that is free. */
#define TASKS_PER_TURN 16
/* Largest weight that counts for submissions, and time after which any bucket is full again, in
   milliseconds: a thousandth of a submission a second takes so long. */
#define WEIGHT_MAX 1e6
#define REFILL_MAX_MS (1000 * 1000)
/* Least weight that counts; a tenant without weight comes after all others. */
#define WEIGHT_MIN 1e-6

/**
 * enum excess_t - what a job's record says about it
 * @EXCESS_OPEN: nothing; each process decides as it folds the record
 * @EXCESS_NO: not in excess
 * @EXCESS_YES: in excess
 */
enum
{
  EXCESS_OPEN,
  EXCESS_NO,
  EXCESS_YES,
};

/**
 * struct group_t - the stages of one tenant in one pool, during the ordering of a band
 * @first: its next stage; the others follow by their @next_shared
 * @used: what the tenant has running in the pool, and what the stages ahead of @first will start
 * @key: dominant share of @used divided by the tenant's weight
 */
typedef struct
{
  bts_account_t *account;
  bts_pool_usage_t *pool;
  const bts_resources_t *total;
  bts_stage_t *first;
  bts_stage_t *last;
  bts_resources_t used;
  double key;
} group_t;

/**
 * struct bts_share_t - shares of all tenants
 * @totals: interned service to the resources (bts_resources_t) of its workers
 * @totals_us: when these were summed up
 * @groups: group_t; a heap by their keys during an ordering
 */
struct bts_share_t
{
  bts_usage_t *usage;
  GHashTable *totals;
  gint64 totals_us;
  GArray *groups;
};

bts_share_t *
bts_share_new (bts_usage_t *usage)
{
  bts_share_t *share = g_new0 (bts_share_t, 1);
  share->usage = usage;
  share->totals = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  share->groups = g_array_new (FALSE, FALSE, sizeof (group_t));
  return share;
}

void
bts_share_free (bts_share_t *share)
{
  g_hash_table_unref (share->totals);
  g_array_unref (share->groups);
  g_free (share);
}

/**
 * bts_share_is_excess() - whether a job is in excess of its tenant's weight
 * @account: the tenant; NULL if there is none
 * @accepted: the job's record; never in excess if it names no weight. The decision is noted
 *   in it, for snapshots of the job
 *
 * To be called once for each job in the order of the journal. The decision depends on the records
 * alone: on their order, and on the time and the weight in them. Clocks of processes differ, so
 * time is that of the fastest.
 */
gboolean
bts_share_is_excess (bts_account_t *account, Bts__Accepted *accepted)
{
  if (account == NULL || accepted->policy->tables_version == 0)
    return FALSE;
  if (accepted->excess != EXCESS_OPEN)
    return accepted->excess == EXCESS_YES;
  gint64 per_ms = (gint64)(CLAMP (accepted->policy->weight, 0, WEIGHT_MAX) * 1000);
  gint64 burst = per_ms == 0 ? 0 : MAX (per_ms * 1000 * BURST_S, TOKENS_PER_SUBMISSION);
  gint64 passed_ms = CLAMP (accepted->submitted_ms - account->tokens_ms, 0, REFILL_MAX_MS);
  account->tokens
      = account->tokens_ms == 0 ? burst : MIN (account->tokens + per_ms * passed_ms, burst);
  account->tokens_ms = MAX (accepted->submitted_ms, account->tokens_ms);
  gboolean excess = account->tokens < TOKENS_PER_SUBMISSION;
  if (!excess)
    account->tokens -= TOKENS_PER_SUBMISSION;
  accepted->excess = excess ? EXCESS_YES : EXCESS_NO;
  return excess;
}

/**
 * bts_share_begin_pass() - sum up the resources of the pools, if that is due
 * @share: the shares
 * @fleet: the workers
 * @now_us: the time
 *
 * Return: whether there are tenants, so that shares matter.
 */
gboolean
bts_share_begin_pass (bts_share_t *share, const bts_fleet_t *fleet, gint64 now_us)
{
  if (!bts_usage_has_tenants (share->usage))
    return FALSE;
  if (share->totals_us != 0 && now_us - share->totals_us < TOTALS_INTERVAL_US)
    return TRUE;
  share->totals_us = now_us;
  g_hash_table_remove_all (share->totals);
  for (guint i = 0; i < fleet->numbered->len; i++)
    {
      const bts_worker_t *worker = fleet->numbered->pdata[i];
      if (worker == NULL || !worker->registered)
        continue;
      bts_resources_t capacity = bts_worker_capacity (worker);
      bts_resources_t *total = g_hash_table_lookup (share->totals, worker->service);
      if (total == NULL)
        {
          total = g_new0 (bts_resources_t, 1);
          g_hash_table_insert (share->totals, (gpointer)worker->service, total);
        }
      bts_resources_add (total, &capacity);
    }
  return TRUE;
}

static double
part_of (gint64 used, gint64 total)
{
  return total <= 0 ? 0 : (double)used / (double)total;
}

static double
weighted_share (const bts_account_t *account, const bts_resources_t *used,
                const bts_resources_t *total)
{
  if (total == NULL)
    return 0;
  double dominant = MAX (part_of (used->cpu_millis, total->cpu_millis),
                         part_of (used->memory_mb, total->memory_mb));
  dominant = MAX (dominant, part_of (used->gpus, total->gpus));
  return dominant / MAX (account->weight, WEIGHT_MIN);
}

static bts_account_t *
account_of (const bts_share_t *share, const bts_job_t *job)
{
  return job->account != NULL ? job->account : bts_usage_nobody (share->usage);
}

/**
 * bts_share_weighted() - dominant share of a job's tenant in the job's pool, divided by its weight
 * @share: the shares
 * @job: the job; those that belong to no tenant count as those of one with weight 1
 */
double
bts_share_weighted (const bts_share_t *share, const bts_job_t *job)
{
  bts_account_t *account = account_of (share, job);
  return weighted_share (account, &bts_usage_pool (account, job->service)->used,
                         g_hash_table_lookup (share->totals, job->service));
}

static gboolean
precedes (const group_t *left, const group_t *right)
{
  if (left->key != right->key)
    return left->key < right->key;
  return left->first->latest_start_us < right->first->latest_start_us;
}

/* Moves a group down the heap until it precedes those below it. */
static void
sift_down (GArray *groups, guint at)
{
  group_t *heap = (group_t *)groups->data;
  while (2 * at + 1 < groups->len)
    {
      guint least = 2 * at + 1;
      if (least + 1 < groups->len && precedes (&heap[least + 1], &heap[least]))
        least++;
      if (!precedes (&heap[least], &heap[at]))
        return;
      group_t group = heap[at];
      heap[at] = heap[least];
      heap[least] = group;
      at = least;
    }
}

static void
add_to_group (bts_share_t *share, bts_stage_t *stage)
{
  bts_account_t *account = account_of (share, stage->job);
  bts_pool_usage_t *pool = bts_usage_pool (account, stage->job->service);
  stage->next_shared = NULL;
  if (pool->group == 0)
    {
      group_t group = { account, pool };
      group.total = g_hash_table_lookup (share->totals, stage->job->service);
      group.first = stage;
      group.last = stage;
      group.used = pool->used;
      group.key = weighted_share (account, &group.used, group.total);
      g_array_append_val (share->groups, group);
      pool->group = share->groups->len;
      return;
    }
  group_t *group = &g_array_index (share->groups, group_t, pool->group - 1);
  group->last->next_shared = stage;
  group->last = stage;
}

static guint
count_turn (const bts_stage_t *stage)
{
  guint n = bts_stage_count_pending (stage);
  return bts_stage_step (stage)->gang ? n : MIN (n, TASKS_PER_TURN);
}

/* Counts the tasks of the group's first stage as started, and goes on to its next one. */
static void
advance (group_t *group)
{
  const bts_stage_t *stage = group->first;
  bts_resources_t demand = bts_usage_demand (bts_stage_step (stage));
  guint n = count_turn (stage);
  group->used.cpu_millis += demand.cpu_millis * n;
  group->used.memory_mb += demand.memory_mb * n;
  group->used.gpus += demand.gpus * n;
  group->key = weighted_share (group->account, &group->used, group->total);
  group->first = stage->next_shared;
}

/* Puts the stages of all groups in the order in which their tenants' shares grow. */
static void
merge_groups (bts_share_t *share, bts_stage_t **stages)
{
  GArray *groups = share->groups;
  for (guint i = groups->len / 2; i > 0; i--)
    sift_down (groups, i - 1);
  for (guint i = 0; groups->len > 0; i++)
    {
      group_t *least = &g_array_index (groups, group_t, 0);
      stages[i] = least->first;
      stages[i]->turn = bts_stage_step (stages[i])->gang ? 0 : TASKS_PER_TURN;
      advance (least);
      if (least->first == NULL)
        g_array_remove_index_fast (groups, 0);
      if (groups->len > 0)
        sift_down (groups, 0);
    }
}

/**
 * bts_share_order() - order the stages of a band by their tenants' shares
 * @share: the shares
 * @stages: the stages, @n of them; those of each tenant stay in their order
 * @n: their number
 *
 * Next is always the tenant with the lowest dominant share divided by its weight, where the stages
 * ahead count as started. Nothing changes where a single tenant waits.
 */
void
bts_share_order (bts_share_t *share, bts_stage_t **stages, guint n)
{
  g_array_set_size (share->groups, 0);
  for (guint i = 0; i < n; i++)
    add_to_group (share, stages[i]);
  gboolean several = FALSE;
  for (guint i = 0; i < share->groups->len; i++)
    {
      const group_t *group = &g_array_index (share->groups, group_t, i);
      group->pool->group = 0;
      several = several || group->account != g_array_index (share->groups, group_t, 0).account;
    }
  if (several)
    merge_groups (share, stages);
}
