#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * What each team is entitled to of each pool, and what it uses. A team's quota
 * is split over the data centres in proportion to the pool's VMs there, from
 * the tables alone, so that the parts never add up to more than the quota and
 * no data centre has to ask another.
 */

/* Pause between two counts of the VMs on which tasks may be started. */
#define LIVE_US (200 * BT_USEC_PER_MSEC)

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
 * bt_quota_init() - no accounts
 * @core: the core
 */
void
bt_quota_init (bt_core_t *core)
{
  core->quota.pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  core->quota.version = -1;
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

/* Capacity of a pool in each data centre, by name, and in all of them. */
static GHashTable *
sum_capacity (const bt_pool_t *pool, bt_vector_t *all)
{
  GHashTable *parts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  memset (all, 0, sizeof *all);
  for (guint i = 0; i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_vector_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      bt_vector_t *part = g_hash_table_lookup (parts, vm->data_centre);
      if (part == NULL)
        {
          part = g_new0 (bt_vector_t, 1);
          g_hash_table_insert (parts, vm->data_centre, part);
        }
      bt_vector_add (part, &capacity);
      bt_vector_add (all, &capacity);
    }
  return parts;
}

static gint64
scaled (gint64 amount, gint64 part, gint64 whole)
{
  if (whole <= 0)
    return 0;
  return (gint64)((__int128)amount * part / whole);
}

static gint64
remainder_of (gint64 amount, gint64 part, gint64 whole)
{
  return (gint64)((__int128)amount * part % whole);
}

/*
 * This data centre's part of an amount, by largest remainder: the parts of all
 * data centres add up to the amount exactly.
 */
static gint64
split (const bt_core_t *core, GHashTable *parts, gint64 amount, gint64 whole, int resource)
{
  const bt_vector_t *own = g_hash_table_lookup (parts, core->data_centre);
  if (own == NULL || whole <= 0)
    return 0;
  gint64 rest = amount;
  gint64 own_remainder = remainder_of (amount, own->v[resource], whole);
  gint64 before = 0;
  GHashTableIter iter;
  const char *name;
  const bt_vector_t *part;
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&part))
    {
      rest -= scaled (amount, part->v[resource], whole);
      gint64 remainder = remainder_of (amount, part->v[resource], whole);
      if (remainder > own_remainder
          || (remainder == own_remainder && strcmp (name, core->data_centre) < 0))
        before++;
    }
  return scaled (amount, own->v[resource], whole) + (before < rest ? 1 : 0);
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

/* Slots and connections have no quota of their own; they follow the processors. */
static double
slot_fraction (const bt_pool_t *pool, const bt_quota_t *quota, const bt_vector_t *all)
{
  gint64 sum = 0;
  for (guint i = 0; i < pool->quotas->len; i++)
    sum += ((const bt_quota_t *)pool->quotas->pdata[i])->cpus * 1000;
  gint64 whole = MAX (sum, all->v[BT_RESOURCE_MCPUS]);
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
entitle_by_quota (const bt_core_t *core, const bt_pool_t *pool, const bt_quota_t *quota,
                  bt_account_t *account)
{
  bt_vector_t all;
  g_autoptr (GHashTable) parts = sum_capacity (pool, &all);
  double fraction = slot_fraction (pool, quota, &all);
  bt_vector_t whole = { { 0 } };
  whole.v[BT_RESOURCE_MCPUS] = quota->cpus * 1000;
  whole.v[BT_RESOURCE_MEMORY_MB] = quota->memory_mb;
  whole.v[BT_RESOURCE_GPUS] = quota->gpus;
  whole.v[BT_RESOURCE_SLOTS] = (gint64)(fraction * (double)all.v[BT_RESOURCE_SLOTS]);
  whole.v[BT_RESOURCE_CONNECTIONS] = (gint64)(fraction * (double)all.v[BT_RESOURCE_CONNECTIONS]);
  for (int i = 0; i < BT_N_RESOURCES; i++)
    account->entitled.v[i] = split (core, parts, whole.v[i], all.v[i], i);
  account->weight = quota->weight;
  account->may_borrow = quota->borrow;
}

/*
 * Without quotas a pool is shared equally by the teams whose routes name it; in
 * a pool with quotas a team that has none only borrows.
 */
static void
entitle (const bt_core_t *core, const bt_quota_pool_t *state, bt_account_t *account)
{
  memset (&account->entitled, 0, sizeof account->entitled);
  account->weight = 1;
  account->may_borrow = TRUE;
  const bt_tables_t *tables = core->tables.tables;
  const bt_pool_t *pool = bt_tables_pool (tables, state->name);
  if (pool == NULL)
    return;
  const bt_quota_t *quota = find_quota (pool, account->team);
  if (quota != NULL)
    entitle_by_quota (core, pool, quota, account);
  else if (pool->quotas->len == 0)
    for (int i = 0; i < BT_N_RESOURCES; i++)
      account->entitled.v[i] = state->capacity.v[i] / count_teams (tables, state->name);
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
refresh_pool (bt_core_t *core, bt_quota_pool_t *state)
{
  const bt_pool_t *pool = bt_tables_pool (core->tables.tables, state->name);
  memset (&state->capacity, 0, sizeof state->capacity);
  for (guint i = 0; pool != NULL && i < pool->vms->len; i++)
    {
      const bt_vm_t *vm = pool->vms->pdata[i];
      bt_vector_t capacity;
      bt_pool_vm_capacity (pool, vm, &capacity);
      if (strcmp (vm->data_centre, core->data_centre) == 0)
        bt_vector_add (&state->capacity, &capacity);
    }
  GHashTableIter iter;
  bt_account_t *account;
  g_hash_table_iter_init (&iter, state->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&account))
    {
      entitle (core, state, account);
      update_share (state, account);
    }
}

static void
count_live (bt_core_t *core)
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
        bt_vector_add (&pool->live_capacity, &worker->capacity);
    }
}

static void
refresh (bt_core_t *core)
{
  if (core->quota.version == core->tables.version)
    return;
  core->quota.version = core->tables.version;
  const GPtrArray *pools = core->tables.tables->pools;
  for (guint i = 0; i < pools->len; i++)
    get_pool (core, ((const bt_pool_t *)pools->pdata[i])->name);
  GHashTableIter iter;
  bt_quota_pool_t *pool;
  g_hash_table_iter_init (&iter, core->quota.pools);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&pool))
    refresh_pool (core, pool);
  count_live (core);
}

/**
 * bt_quota_tick() - take in new tables and count the VMs that can take work
 * @core: the core
 */
void
bt_quota_tick (bt_core_t *core)
{
  refresh (core);
  if (core->now < core->quota.next_live_count_at)
    return;
  core->quota.next_live_count_at = core->now + LIVE_US;
  count_live (core);
}

/**
 * bt_quota_get_account() - a team's account with a pool
 * @core: the core
 * @pool: the pool's name
 * @team: the team's name
 *
 * Return: the account, which lives as long as the core.
 */
bt_account_t *
bt_quota_get_account (bt_core_t *core, const char *pool, const char *team)
{
  refresh (core);
  bt_quota_pool_t *state = get_pool (core, pool);
  bt_account_t *account = g_hash_table_lookup (state->accounts, team);
  if (account != NULL)
    return account;
  account = g_new0 (bt_account_t, 1);
  account->quota_pool = state;
  account->pool = g_ref_string_new (pool);
  account->team = g_ref_string_new (team);
  g_hash_table_insert (state->accounts, account->team, account);
  entitle (core, state, account);
  return account;
}

/**
 * bt_quota_charge() - count a bound attempt to its team
 * @attempt: the attempt; nothing happens if it is not bound, its team is not
 *   known, or it is counted already
 */
void
bt_quota_charge (bt_attempt_t *attempt)
{
  bt_account_t *account = attempt->job->account;
  if (attempt->worker == NULL || account == NULL || attempt->account != NULL)
    return;
  attempt->account = account;
  attempt->urgent = attempt->job->work_class == BT_CLASS_URGENT;
  bt_vector_add (&account->used, &attempt->need);
  update_share (account->quota_pool, account);
  if (attempt->urgent)
    bt_vector_add (&attempt->worker->used_urgent, &attempt->need);
}

/**
 * bt_quota_credit() - an attempt that was charged is over
 * @attempt: the attempt, still bound
 */
void
bt_quota_credit (bt_attempt_t *attempt)
{
  bt_account_t *account = attempt->account;
  if (account == NULL)
    return;
  bt_vector_sub (&account->used, &attempt->need);
  update_share (account->quota_pool, account);
  if (attempt->urgent)
    bt_vector_sub (&attempt->worker->used_urgent, &attempt->need);
  attempt->account = NULL;
}

/**
 * bt_quota_is_within_entitlement() - whether a task stays within what its team is entitled to
 * @core: the core
 * @account: the team's account
 * @need: what the task takes
 *
 * While VMs are lost, every team's part shrinks alike, so that none keeps its
 * whole part at the cost of the others.
 *
 * Return: FALSE if it would borrow.
 */
gboolean
bt_quota_is_within_entitlement (bt_core_t *core, const bt_account_t *account,
                                const bt_vector_t *need)
{
  refresh (core);
  const bt_quota_pool_t *pool = account->quota_pool;
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      if (need->v[i] == 0)
        continue;
      gint64 part = account->entitled.v[i];
      if (pool->live_capacity.v[i] < pool->capacity.v[i])
        part = scaled (part, pool->live_capacity.v[i], pool->capacity.v[i]);
      if (account->used.v[i] + need->v[i] > part)
        return FALSE;
    }
  return TRUE;
}

/**
 * bt_quota_allows() - whether a team may start a task at all
 * @core: the core
 * @account: the team's account
 * @need: what the task takes
 *
 * Return: FALSE if it would be over its quota and its quota does not let it borrow.
 */
gboolean
bt_quota_allows (bt_core_t *core, const bt_account_t *account, const bt_vector_t *need)
{
  refresh (core);
  if (account->may_borrow)
    return TRUE;
  for (int i = 0; i < BT_RESOURCE_SLOTS; i++)
    if (need->v[i] > 0 && account->used.v[i] + need->v[i] > account->entitled.v[i])
      return FALSE;
  return TRUE;
}

/**
 * bt_quota_is_feasible() - whether a team's whole quota could ever hold a request
 * @account: the team's account
 * @request: the request
 *
 * Return: FALSE if it may not borrow and its part in this data centre is too
 * small for a task, or for all tasks of a gang.
 */
gboolean
bt_quota_is_feasible (const bt_account_t *account, const bt_request_t *request)
{
  bt_vector_t need;
  bt_request_need (request, &need);
  gint64 at_once = request->kind == BT_KIND_GANG ? request->tasks : 1;
  for (int i = 0; i < BT_RESOURCE_SLOTS && !account->may_borrow; i++)
    if (need.v[i] * at_once > account->entitled.v[i])
      return FALSE;
  return TRUE;
}

static gint64
reserved (gint64 capacity, gint64 percent, int resource)
{
  gboolean counted = resource == BT_RESOURCE_SLOTS || resource == BT_RESOURCE_CONNECTIONS;
  return (capacity * percent + (counted ? 99 : 0)) / 100;
}

static void
take_reserve (bt_vector_t *capacity, gint64 percent)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    capacity->v[i] -= reserved (capacity->v[i], percent, i);
}

/**
 * bt_quota_deduct_reserve() - what a class can use of an empty VM
 * @pool: the VM's pool
 * @work_class: the class; only urgent work uses the reserve
 * @capacity: the VM's capacity, less the reserve on return
 */
void
bt_quota_deduct_reserve (const bt_pool_t *pool, bt_class_t work_class, bt_vector_t *capacity)
{
  if (work_class != BT_CLASS_URGENT)
    take_reserve (capacity, pool->urgent_reserve_percent);
}

/* What urgent work may still take of a VM's reserve. */
static void
room_in_reserve (const bt_worker_t *worker, bt_vector_t *room)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    {
      gint64 left = worker->place.urgent_reserve.v[i] - worker->used_urgent.v[i];
      room->v[i] = MIN (room->v[i], MAX (left, 0));
    }
}

/* What other work may take beside the reserve. */
static void
room_beside_reserve (const bt_worker_t *worker, bt_vector_t *room)
{
  for (int i = 0; i < BT_N_RESOURCES; i++)
    room->v[i] -= MAX (0, worker->place.urgent_reserve.v[i] - worker->used_urgent.v[i]);
}

/**
 * bt_quota_available() - what a job may use of a VM now
 * @core: the core
 * @job: the job
 * @worker: the VM
 * @room: filled in; may be negative
 *
 * It is the free capacity, less the reserve if the job is not urgent. Of a VM
 * that is held for a job that waited long, others get nothing but urgent work
 * the reserve.
 */
void
bt_quota_available (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker,
                    bt_vector_t *room)
{
  *room = worker->capacity;
  bt_vector_sub (room, &worker->used);
  gboolean urgent = job->work_class == BT_CLASS_URGENT;
  const bt_job_t *holder = worker->reserved_for;
  gboolean held = holder != NULL && holder != job;
  if (held && (!urgent || holder->work_class == BT_CLASS_URGENT))
    memset (room, 0, sizeof *room);
  else if (held)
    room_in_reserve (worker, room);
  else if (!urgent)
    room_beside_reserve (worker, room);
}
