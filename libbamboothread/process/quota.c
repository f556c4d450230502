#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Entitlement and usage of each team in each pool. A team's quota is split over
 * the data centres in proportion to the capacity of the pool's VMs there. The
 * split is computed from the tables alone, so no data centre has to ask another,
 * and the parts that are computed from the same tables never add up to more than
 * the quota.
 */

/* Interval at which the capacity of the VMs on which tasks may be started is summed. */
#define LIVE_COUNT_INTERVAL_US (200 * BT_USEC_PER_MSEC)

static void
account_free (gpointer data)
{
  bt_account_t *account = data;
  g_ref_string_release (account->pool);
  g_ref_string_release (account->team);
  g_free (account);
}

static void
pool_free (gpointer data)
{
  bt_quota_pool_t *pool = data;
  g_ref_string_release (pool->name);
  g_hash_table_unref (pool->accounts);
  g_free (pool);
}

/**
 * bt_quota_init() - initialize without accounts
 * @core: the core
 */
void
bt_quota_init (bt_core_t *core)
{
  core->quota.pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  core->quota.tables_version = -1;
}

/**
 * bt_quota_clear() - free all accounts
 * @core: the core
 */
void
bt_quota_clear (bt_core_t *core)
{
  g_hash_table_unref (core->quota.pools);
}

static bt_quota_pool_t *
get_pool (bt_core_t *core, const char *name)
{
  bt_quota_pool_t *pool = g_hash_table_lookup (core->quota.pools, name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (bt_quota_pool_t, 1);
  pool->name = g_ref_string_new (name);
  pool->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  g_hash_table_insert (core->quota.pools, pool->name, pool);
  return pool;
}

/* Return: the capacity of a pool by name of data centre; @total is the sum over all of them. */
static GHashTable *
sum_capacity_by_data_centre (const bt_pool_t *pool, bt_resources_t *total)
{
  GHashTable *parts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  memset (total, 0, sizeof *total);
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_resources_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      bt_resources_t *part = g_hash_table_lookup (parts, vm->data_centre);
      if (part == NULL)
        {
          part = g_new0 (bt_resources_t, 1);
          g_hash_table_insert (parts, vm->data_centre, part);
        }
      bt_resources_add (part, &capacity);
      bt_resources_add (total, &capacity);
    }
  return parts;
}

static gint64
scale (gint64 amount, gint64 part, gint64 whole)
{
  if (whole <= 0)
    return 0;
  return (gint64)((__int128)amount * part / whole);
}

static gint64
scale_remainder (gint64 amount, gint64 part, gint64 whole)
{
  return (gint64)((__int128)amount * part % whole);
}

/*
 * Return: this data centre's part of an amount, by the largest remainder method: the
 * parts of all data centres add up to exactly the amount, if the pool has the resource.
 * Parts are rounded down, and of the units that are left over, one each goes to the
 * parts with the largest remainders.
 */
static gint64
compute_own_part (const bt_core_t *core, GHashTable *parts, gint64 amount, gint64 whole,
                  int resource)
{
  const bt_resources_t *own = g_hash_table_lookup (parts, core->data_centre);
  if (own == NULL || whole <= 0)
    return 0;
  gint64 undistributed = amount;
  gint64 own_remainder = scale_remainder (amount, own->v[resource], whole);
  gint64 n_before = 0;
  GHashTableIter iter;
  const char *name;
  const bt_resources_t *part;
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&part))
    {
      undistributed -= scale (amount, part->v[resource], whole);
      gint64 remainder = scale_remainder (amount, part->v[resource], whole);
      if (remainder > own_remainder
          || (remainder == own_remainder && strcmp (name, core->data_centre) < 0))
        n_before++;
    }
  return scale (amount, own->v[resource], whole) + (n_before < undistributed ? 1 : 0);
}

static const bt_quota_t *
find_quota (const bt_pool_t *pool, const char *team)
{
  for (guint i = 0; i < pool->quotas->len; i++)
    {
      const bt_quota_t *quota = pool->quotas->pdata[i];
      if (strcmp (quota->team, team) == 0)
        return quota;
    }
  return NULL;
}

/*
 * Return: a team's fraction of a pool's slots and connections. These have no quota of
 * their own and follow the team's quota of processors. If the quotas of all teams exceed
 * the pool's processors, it is the fraction of the sum of quotas.
 */
static double
compute_slot_fraction (const bt_pool_t *pool, const bt_quota_t *quota, const bt_resources_t *total)
{
  gint64 sum = 0;
  for (guint i = 0; i < pool->quotas->len; i++)
    sum += ((const bt_quota_t *)pool->quotas->pdata[i])->cpus * 1000;
  gint64 whole = MAX (sum, total->v[BT_RESOURCE_MCPUS]);
  return whole > 0 ? (double)quota->cpus * 1000 / (double)whole : 0;
}

static guint
count_teams (const bt_tables_t *tables, const char *pool)
{
  g_autoptr (GHashTable) teams = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < tables->routes->len; i++)
    {
      const bt_route_t *route = tables->routes->pdata[i];
      if (strcmp (route->pool, pool) == 0)
        g_hash_table_add (teams, route->team);
    }
  return MAX (g_hash_table_size (teams), 1);
}

static void
apply_quota (const bt_core_t *core, const bt_pool_t *pool, const bt_quota_t *quota,
             bt_account_t *account)
{
  bt_resources_t total;
  g_autoptr (GHashTable) parts = sum_capacity_by_data_centre (pool, &total);
  double fraction = compute_slot_fraction (pool, quota, &total);
  bt_resources_t whole = { { 0 } };
  whole.v[BT_RESOURCE_MCPUS] = quota->cpus * 1000;
  whole.v[BT_RESOURCE_MEMORY_MB] = quota->memory_mb;
  whole.v[BT_RESOURCE_GPUS] = quota->gpus;
  whole.v[BT_RESOURCE_SLOTS] = (gint64)(fraction * (double)total.v[BT_RESOURCE_SLOTS]);
  whole.v[BT_RESOURCE_CONNECTIONS] = (gint64)(fraction * (double)total.v[BT_RESOURCE_CONNECTIONS]);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    account->entitled.v[i] = compute_own_part (core, parts, whole.v[i], total.v[i], i);
  account->weight = quota->weight;
  account->may_borrow = quota->may_borrow;
}

/*
 * A pool without quotas is shared equally by the teams whose routes name it. In a
 * pool with quotas, a team that has none is entitled to nothing and can only borrow.
 */
static void
update_entitlement (const bt_core_t *core, const bt_quota_pool_t *quota_pool, bt_account_t *account)
{
  memset (&account->entitled, 0, sizeof account->entitled);
  account->weight = 1;
  account->may_borrow = TRUE;
  const bt_tables_t *tables = core->tables.tables;
  const bt_pool_t *pool = bt_tables_find_pool (tables, quota_pool->name);
  if (pool == NULL)
    return;
  const bt_quota_t *quota = find_quota (pool, account->team);
  if (quota != NULL)
    apply_quota (core, pool, quota, account);
  else if (pool->quotas->len == 0)
    for (int i = 0; i < BT_N_RESOURCES; i++)
      account->entitled.v[i] = quota_pool->capacity.v[i] / count_teams (tables, quota_pool->name);
}

static void
update_share (const bt_quota_pool_t *pool, bt_account_t *account)
{
  double share = 0;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    if (pool->capacity.v[i] > 0)
      share = MAX (share, (double)account->used.v[i] / (double)pool->capacity.v[i]);
  account->dominant_share = share / (double)MAX (account->weight, 1);
}

static void
refresh_pool (bt_core_t *core, bt_quota_pool_t *quota_pool)
{
  const bt_pool_t *pool = bt_tables_find_pool (core->tables.tables, quota_pool->name);
  memset (&quota_pool->capacity, 0, sizeof quota_pool->capacity);
  for (guint i = 0; pool != NULL && i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_resources_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      if (strcmp (vm->data_centre, core->data_centre) == 0)
        bt_resources_add (&quota_pool->capacity, &capacity);
    }
  GHashTableIter iter;
  bt_account_t *account;
  g_hash_table_iter_init (&iter, quota_pool->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&account))
    {
      update_entitlement (core, quota_pool, account);
      update_share (quota_pool, account);
    }
}

static void
sum_live_capacity (bt_core_t *core)
{
  GHashTableIter iter;
  bt_quota_pool_t *pool;
  g_hash_table_iter_init (&iter, core->quota.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    memset (&pool->live_capacity, 0, sizeof pool->live_capacity);
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      pool = g_hash_table_lookup (core->quota.pools, worker->pool);
      if (pool != NULL && bt_owner_may_start (core, worker))
        bt_resources_add (&pool->live_capacity, &worker->capacity);
    }
}

static void
apply_new_tables (bt_core_t *core)
{
  if (core->quota.tables_version == core->tables.version)
    return;
  core->quota.tables_version = core->tables.version;
  const GPtrArray *pools = core->tables.tables->pools;
  for (guint i = 0; i < pools->len; i++)
    get_pool (core, ((const bt_pool_t *)pools->pdata[i])->name);
  GHashTableIter iter;
  bt_quota_pool_t *pool;
  g_hash_table_iter_init (&iter, core->quota.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    refresh_pool (core, pool);
  sum_live_capacity (core);
}

/**
 * bt_quota_tick() - apply new tables and sum the capacity of the VMs that can take work
 * @core: the core
 */
void
bt_quota_tick (bt_core_t *core)
{
  apply_new_tables (core);
  if (core->now < core->quota.next_live_count_at)
    return;
  core->quota.next_live_count_at = core->now + LIVE_COUNT_INTERVAL_US;
  sum_live_capacity (core);
}

/**
 * bt_quota_get_account() - find or create a team's account with a pool
 * @core: the core
 * @pool: the pool's name
 * @team: the team's name
 *
 * Return: the account, which lives as long as the core.
 */
bt_account_t *
bt_quota_get_account (bt_core_t *core, const char *pool, const char *team)
{
  apply_new_tables (core);
  bt_quota_pool_t *quota_pool = get_pool (core, pool);
  bt_account_t *account = g_hash_table_lookup (quota_pool->accounts, team);
  if (account != NULL)
    return account;
  account = g_new0 (bt_account_t, 1);
  account->quota_pool = quota_pool;
  account->pool = g_ref_string_new (pool);
  account->team = g_ref_string_new (team);
  g_hash_table_insert (quota_pool->accounts, account->team, account);
  update_entitlement (core, quota_pool, account);
  return account;
}

/**
 * bt_quota_charge() - add a bound attempt to its team's usage
 * @attempt: the attempt; ignored if it is not bound to a worker, its team is not
 *   known, or it is charged already
 */
void
bt_quota_charge (bt_attempt_t *attempt)
{
  bt_account_t *account = attempt->job->account;
  if (attempt->worker == NULL || account == NULL || attempt->account != NULL)
    return;
  attempt->account = account;
  attempt->urgent = attempt->job->work_class == BT_CLASS_URGENT;
  bt_resources_add (&account->used, &attempt->need);
  update_share (account->quota_pool, account);
  if (attempt->urgent)
    bt_resources_add (&attempt->worker->used_urgent, &attempt->need);
}

/**
 * bt_quota_credit() - subtract an attempt from its team's usage
 * @attempt: the attempt, still bound to its worker; ignored if it is not charged
 */
void
bt_quota_credit (bt_attempt_t *attempt)
{
  bt_account_t *account = attempt->account;
  if (account == NULL)
    return;
  bt_resources_subtract (&account->used, &attempt->need);
  update_share (account->quota_pool, account);
  if (attempt->urgent)
    bt_resources_subtract (&attempt->worker->used_urgent, &attempt->need);
  attempt->account = NULL;
}

/**
 * bt_quota_is_within_entitlement() - whether a task can start without borrowing
 * @core: the core
 * @account: the team's account
 * @need: resources of the task
 *
 * While no task may be started on some of the pool's VMs here, such as VMs that do not
 * answer, the entitlements of all teams shrink in the proportion of the lost capacity, so that
 * none keeps its full entitlement at the cost of the others.
 *
 * Return: FALSE if the team would exceed its entitlement.
 */
gboolean
bt_quota_is_within_entitlement (bt_core_t *core, const bt_account_t *account,
                                const bt_resources_t *need)
{
  apply_new_tables (core);
  const bt_quota_pool_t *pool = account->quota_pool;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (need->v[i] == 0)
        continue;
      gint64 part = account->entitled.v[i];
      if (pool->live_capacity.v[i] < pool->capacity.v[i])
        part = scale (part, pool->live_capacity.v[i], pool->capacity.v[i]);
      if (account->used.v[i] + need->v[i] > part)
        return FALSE;
    }
  return TRUE;
}

/**
 * bt_quota_allows() - whether a team may start a task, borrowing included
 * @core: the core
 * @account: the team's account
 * @need: resources of the task
 *
 * Slots and connections are not checked.
 *
 * Return: FALSE if the team would exceed its quota here and may not borrow.
 */
gboolean
bt_quota_allows (bt_core_t *core, const bt_account_t *account, const bt_resources_t *need)
{
  apply_new_tables (core);
  if (account->may_borrow)
    return TRUE;
  for (int i = 0; i < BT_RESOURCE_SLOTS; i++)
    if (need->v[i] > 0 && account->used.v[i] + need->v[i] > account->entitled.v[i])
      return FALSE;
  return TRUE;
}

/**
 * bt_quota_is_feasible() - whether a request fits in a team's quota if nothing else runs
 * @account: the team's account
 * @request: the request
 *
 * Return: FALSE if the team may not borrow and its part of the quota in this data
 * centre is too small for one task, or for all tasks of a gang.
 */
gboolean
bt_quota_is_feasible (const bt_account_t *account, const bt_request_t *request)
{
  bt_resources_t need;
  bt_request_get_need (request, &need);
  gint64 n_concurrent = request->kind == BT_KIND_GANG ? request->tasks : 1;
  for (int i = 0; i < BT_RESOURCE_SLOTS && !account->may_borrow; i++)
    if (need.v[i] * n_concurrent > account->entitled.v[i])
      return FALSE;
  return TRUE;
}

/* The reserve of slots and connections is rounded up to whole ones. */
static gint64
compute_reserve (gint64 capacity, gint64 percent, int resource)
{
  gboolean is_countable = resource == BT_RESOURCE_SLOTS || resource == BT_RESOURCE_CONNECTIONS;
  return (capacity * percent + (is_countable ? 99 : 0)) / 100;
}

static void
subtract_reserve (bt_resources_t *capacity, gint64 percent)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    capacity->v[i] -= compute_reserve (capacity->v[i], percent, i);
}

/**
 * bt_quota_deduct_reserve() - subtract the urgent reserve from a VM's capacity
 * @pool: the VM's pool
 * @work_class: class of the work; nothing is subtracted for urgent work
 * @capacity: the VM's capacity; on return, what the class can use of it if the VM is idle
 */
void
bt_quota_deduct_reserve (const bt_pool_t *pool, bt_class_t work_class, bt_resources_t *capacity)
{
  if (work_class != BT_CLASS_URGENT)
    subtract_reserve (capacity, pool->urgent_reserve_percent);
}

/* Limits the available resources to what is left of the VM's urgent reserve. */
static void
limit_to_reserve (const bt_worker_t *worker, bt_resources_t *available)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      gint64 left = worker->place.urgent_reserve.v[i] - worker->used_urgent.v[i];
      available->v[i] = MIN (available->v[i], MAX (left, 0));
    }
}

/* Subtracts the part of the VM's urgent reserve that urgent work does not use. */
static void
subtract_unused_reserve (const bt_worker_t *worker, bt_resources_t *available)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    available->v[i] -= MAX (0, worker->place.urgent_reserve.v[i] - worker->used_urgent.v[i]);
}

/**
 * bt_quota_available() - resources of a VM that a job may use now
 * @core: the core
 * @job: the job
 * @worker: the VM
 * @available: set to the resources; may be negative
 *
 * This is the free capacity, less the unused urgent reserve if the job is not urgent. If
 * the VM is reserved for another job, which has waited long, the job may use nothing
 * of it; an urgent job may still use the urgent reserve, unless the other one is
 * urgent too.
 */
void
bt_quota_available (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker,
                    bt_resources_t *available)
{
  *available = worker->capacity;
  bt_resources_subtract (available, &worker->used);
  gboolean is_urgent = job->work_class == BT_CLASS_URGENT;
  const bt_job_t *holder = worker->reserved_for;
  gboolean is_reserved = holder != NULL && holder != job;
  if (is_reserved && (!is_urgent || holder->work_class == BT_CLASS_URGENT))
    memset (available, 0, sizeof *available);
  else if (is_reserved)
    limit_to_reserve (worker, available);
  else if (!is_urgent)
    subtract_unused_reserve (worker, available);
}
