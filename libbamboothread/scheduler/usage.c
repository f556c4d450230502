#include "libbamboothread/scheduler/usage.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* What may be started beyond a cap, in percent of it; used only by a task or gang that is larger
   than the cap. A gang may exceed this by one task. */
#define ALLOWANCE_PERCENT 10
/* How long a stage waits for quota before the stages behind it leave its share to it, in
   microseconds: a stream of small tasks would keep a gang of the same tenant waiting forever. */
#define RESERVE_AFTER_US (2000 * 1000)
/* Most tenants for which metrics are exported. */
#define METRICS_TENANTS_MAX 100
/* Larger caps are cut to this, so that sums don't overflow. */
#define CAP_MAX (G_MAXINT64 / 4)

/**
 * struct bts_usage_t - usage of all tenants
 * @accounts: name of a tenant to its bts_account_t; never removed, since runs refer to them
 * @nobody: what belongs to no tenant
 * @urgent_percent: largest share of a cap that is kept for urgent work
 * @tables_known: the tables were read to their end
 */
struct bts_usage_t
{
  GHashTable *accounts;
  bts_account_t *nobody;
  guint urgent_percent;
  gboolean tables_known;
};

static void
account_free (gpointer data)
{
  bts_account_t *account = data;
  g_free (account->name);
  g_ptr_array_unref (account->pools);
  g_free (account);
}

static bts_account_t *
account_new (const char *name)
{
  bts_account_t *account = g_new0 (bts_account_t, 1);
  account->name = g_strdup (name);
  account->weight = 1.0;
  account->pools = g_ptr_array_new_with_free_func (g_free);
  return account;
}

/**
 * bts_usage_new() - create the usage of no tenants
 * @urgent_percent: largest share of a cap that is kept for its tenant's urgent work, in percent; at
 *   most %BTS_HEADROOM_PERCENT_MAX
 */
bts_usage_t *
bts_usage_new (guint urgent_percent)
{
  bts_usage_t *usage = g_new0 (bts_usage_t, 1);
  usage->urgent_percent = MIN (urgent_percent, BTS_HEADROOM_PERCENT_MAX);
  usage->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  usage->nobody = account_new ("");
  return usage;
}

void
bts_usage_free (bts_usage_t *usage)
{
  g_hash_table_unref (usage->accounts);
  account_free (usage->nobody);
  g_free (usage);
}

static bts_account_t *
ensure_account (bts_usage_t *usage, const char *name)
{
  bts_account_t *account = g_hash_table_lookup (usage->accounts, name);
  if (account != NULL)
    return account;
  account = account_new (name);
  g_hash_table_insert (usage->accounts, account->name, account);
  return account;
}

/* Sets a tenant's cap and weight, unless those of a newer version of the tables are known. */
static void
set_limits (bts_account_t *account, gint64 version, double weight, gint64 cpu_millis,
            gint64 memory_mb, gint64 gpus)
{
  if (version <= account->version)
    return;
  account->version = version;
  account->weight = weight;
  account->cap.cpu_millis = CLAMP (cpu_millis, 0, CAP_MAX);
  account->cap.memory_mb = CLAMP (memory_mb, 0, CAP_MAX);
  account->cap.gpus = CLAMP (gpus, 0, CAP_MAX);
}

/**
 * bts_usage_account() - the account of the tenant to which a job belongs
 * @usage: the usage
 * @policy: the job's policy
 *
 * Return: the account, which lasts as long as @usage; NULL if the job belongs to no tenant.
 */
bts_account_t *
bts_usage_account (bts_usage_t *usage, const Bts__Policy *policy)
{
  if (policy->tenant[0] == '\0')
    return NULL;
  bts_account_t *account = ensure_account (usage, policy->tenant);
  set_limits (account, policy->tables_version, policy->weight, policy->cap_cpu_millis,
              policy->cap_memory_mb, policy->cap_gpus);
  return account;
}

/**
 * bts_usage_find() - look up the account of a tenant
 * @usage: the usage
 * @tenant: name of the tenant
 *
 * Return: the account, or NULL if nothing is known of the tenant.
 */
const bts_account_t *
bts_usage_find (const bts_usage_t *usage, const char *tenant)
{
  return g_hash_table_lookup (usage->accounts, tenant);
}

typedef struct
{
  bts_usage_t *usage;
  gint64 version;
} update_t;

static void
update_tenant (const bts_tenant_t *tenant, gpointer context)
{
  const update_t *update = context;
  set_limits (ensure_account (update->usage, tenant->name), update->version, tenant->weight,
              tenant->cap_cpu_millis, tenant->cap_memory_mb, tenant->cap_gpus);
}

/**
 * bts_usage_set_tenants() - apply the caps of a version of the tables
 * @usage: the usage
 * @tenants: the tenants of that version
 * @version: the version
 */
void
bts_usage_set_tenants (bts_usage_t *usage, const bts_tenants_t *tenants, gint64 version)
{
  update_t update = { usage, version };
  bts_tenants_foreach (tenants, update_tenant, &update);
}

/**
 * bts_usage_set_known() - set whether the tables were read to their end
 * @usage: the usage
 * @known: whether they were
 *
 * Return: whether that has changed.
 */
gboolean
bts_usage_set_known (bts_usage_t *usage, gboolean known)
{
  gboolean changed = usage->tables_known != known;
  usage->tables_known = known;
  return changed;
}

/**
 * bts_usage_demand() - what a task of a step takes of its tenant's cap
 * @step: the step
 *
 * The CPU time of a filling task counts here, although it takes no room on its worker.
 */
bts_resources_t
bts_usage_demand (const Bts__Step *step)
{
  bts_resources_t demand = { step->cpu_millis, step->memory_mb, step->gpus };
  return demand;
}

gboolean
bts_usage_has_tenants (const bts_usage_t *usage)
{
  return g_hash_table_size (usage->accounts) > 0;
}

/**
 * bts_usage_nobody() - the account of all that belongs to no tenant
 * @usage: the usage
 */
bts_account_t *
bts_usage_nobody (const bts_usage_t *usage)
{
  return usage->nobody;
}

/**
 * bts_usage_pool() - the usage of a tenant in a pool
 * @account: the tenant
 * @service: the service of the pool, interned
 */
bts_pool_usage_t *
bts_usage_pool (bts_account_t *account, const char *service)
{
  for (guint i = 0; i < account->pools->len; i++)
    {
      bts_pool_usage_t *pool = account->pools->pdata[i];
      if (pool->service == service)
        return pool;
    }
  bts_pool_usage_t *pool = g_new0 (bts_pool_usage_t, 1);
  pool->service = service;
  g_ptr_array_add (account->pools, pool);
  return pool;
}

/**
 * bts_usage_charge() - add a task that may be running
 * @account: the tenant; NULL if there is none
 * @service: the service of the pool in which it runs, interned
 * @demand: what the task takes
 * @kind: what kind of work it is
 */
void
bts_usage_charge (bts_account_t *account, const char *service, const bts_resources_t *demand,
                  bts_usage_kind_t kind)
{
  if (account == NULL)
    return;
  bts_resources_add (&account->used, demand);
  bts_resources_add (&bts_usage_pool (account, service)->used, demand);
  if (kind == BTS_USAGE_LASTING)
    bts_resources_add (&account->lasting, demand);
  else if (kind == BTS_USAGE_URGENT)
    bts_resources_add (&account->headroom.used, demand);
}

/**
 * bts_usage_release() - remove a task that is known to be over
 * @account: the tenant; NULL if there is none
 * @service: as it was charged
 * @demand: what was charged for it
 * @kind: as it was charged
 */
void
bts_usage_release (bts_account_t *account, const char *service, const bts_resources_t *demand,
                   bts_usage_kind_t kind)
{
  if (account == NULL)
    return;
  bts_resources_subtract (&account->used, demand);
  bts_resources_subtract (&bts_usage_pool (account, service)->used, demand);
  if (kind == BTS_USAGE_LASTING)
    bts_resources_subtract (&account->lasting, demand);
  else if (kind == BTS_USAGE_URGENT)
    bts_resources_subtract (&account->headroom.used, demand);
}

/**
 * bts_usage_reset() - forget all runs, at the end of a term
 * @usage: the usage
 */
void
bts_usage_reset (bts_usage_t *usage)
{
  const bts_resources_t none = { 0 };
  const bts_headroom_t no_headroom = { 0 };
  g_ptr_array_set_size (usage->nobody->pools, 0);
  usage->nobody->used = none;
  usage->nobody->lasting = none;
  usage->nobody->headroom = no_headroom;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_account_t *account = value;
      account->used = none;
      g_ptr_array_set_size (account->pools, 0);
      account->lasting = none;
      account->headroom = no_headroom;
      account->next_preempt_us = 0;
      account->had_reserve = FALSE;
      account->assumed = none;
      account->was_waiting = 0;
    }
}

void
bts_usage_clear_assumed (bts_usage_t *usage)
{
  const bts_resources_t none = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((bts_account_t *)value)->assumed = none;
      ((bts_account_t *)value)->assumed_fills = FALSE;
    }
}

static bts_resources_t
demand_of (const Bts__Step *step, guint n_tasks)
{
  bts_resources_t demand = bts_usage_demand (step);
  demand.cpu_millis *= n_tasks;
  demand.memory_mb *= n_tasks;
  demand.gpus *= n_tasks;
  return demand;
}

/**
 * bts_usage_assume() - count tasks as running that an earlier owner may have started
 * @account: the tenant
 * @step: the step of the tasks
 * @n_tasks: their number
 */
void
bts_usage_assume (bts_account_t *account, const Bts__Step *step, guint n_tasks)
{
  bts_resources_t demand = demand_of (step, n_tasks);
  bts_resources_add (&account->assumed, &demand);
  account->assumed_fills = account->assumed_fills || (step->fills && n_tasks > 0);
}

/**
 * bts_usage_bound_assumed() - bound what is assumed to be running for each tenant
 * @usage: the usage
 * @most: the resources of the workers on which it may be running
 */
void
bts_usage_bound_assumed (bts_usage_t *usage, const bts_resources_t *most)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_account_t *account = value;
      bts_resources_t *assumed = &account->assumed;
      if (!account->assumed_fills)
        assumed->cpu_millis = MIN (assumed->cpu_millis, most->cpu_millis);
      assumed->memory_mb = MIN (assumed->memory_mb, most->memory_mb);
      assumed->gpus = MIN (assumed->gpus, most->gpus);
    }
}

/**
 * bts_usage_begin_pass() - begin a pass over the queue
 * @usage: the usage
 * @now_us: the time
 */
void
bts_usage_begin_pass (bts_usage_t *usage, gint64 now_us)
{
  const bts_resources_t none = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_account_t *account = value;
      account->reserved = none;
      account->asking = none;
      account->n_waiting = 0;
      bts_headroom_begin_pass (&account->headroom, now_us);
    }
}

/* Logs that a part of the cap begins or ceases to be kept for urgent work. */
static void
note_reserve (const bts_usage_t *usage, bts_account_t *account)
{
  bts_resources_t reserve
      = bts_headroom_reserve (&account->headroom, &account->cap, usage->urgent_percent);
  gboolean has_reserve = reserve.cpu_millis > 0 || reserve.memory_mb > 0 || reserve.gpus > 0;
  if (has_reserve == account->had_reserve)
    return;
  account->had_reserve = has_reserve;
  bt_log (BT_LOG_INFO, has_reserve ? "urgent-reserve" : "urgent-reserve-over",
          "tenant=%s cpu=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT " gpu=%" G_GINT64_FORMAT
          " cap_cpu=%" G_GINT64_FORMAT " cap_mem_mb=%" G_GINT64_FORMAT " cap_gpu=%" G_GINT64_FORMAT,
          account->name, reserve.cpu_millis, reserve.memory_mb, reserve.gpus,
          account->cap.cpu_millis, account->cap.memory_mb, account->cap.gpus);
}

static void
log_quota (const char *event, const bts_account_t *account)
{
  bt_log (BT_LOG_INFO, event,
          "tenant=%s stages=%u cpu=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT
          " gpu=%" G_GINT64_FORMAT " cap_cpu=%" G_GINT64_FORMAT " cap_mem_mb=%" G_GINT64_FORMAT
          " cap_gpu=%" G_GINT64_FORMAT,
          account->name, account->n_waiting, account->used.cpu_millis + account->assumed.cpu_millis,
          account->used.memory_mb + account->assumed.memory_mb,
          account->used.gpus + account->assumed.gpus, account->cap.cpu_millis,
          account->cap.memory_mb, account->cap.gpus);
}

/**
 * bts_usage_end_pass() - a pass has examined the whole queue
 * @usage: the usage
 *
 * Logs which tenants have begun or ceased to wait for their quota, and for which of them a part of
 * it is kept for urgent work.
 */
void
bts_usage_end_pass (bts_usage_t *usage)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bts_account_t *account = value;
      if (account->n_waiting > 0 && account->was_waiting == 0)
        log_quota ("quota-waits", account);
      else if (account->n_waiting == 0 && account->was_waiting > 0)
        log_quota ("quota-free", account);
      account->was_waiting = account->n_waiting;
      note_reserve (usage, account);
    }
}

/* The most that a tenant may have running of one resource after a start of @whole, which is one
   task or all tasks of a gang. */
static gint64
limit_for (gint64 cap, gint64 task, gint64 whole)
{
  if (whole <= cap)
    return cap;
  return cap + cap / 100 * ALLOWANCE_PERCENT + cap % 100 * ALLOWANCE_PERCENT / 100
         + (whole > task ? task : 0);
}

/* How many times @whole fits below a limit, of which @kept is for others; a resource without a cap
   or of which nothing is needed doesn't count. A tenant with at most half of its cap taken isn't
   kept waiting for what fits in the cap, nor is what is larger than the cap. */
static gint64
count_fitting (gint64 cap, gint64 kept, gint64 taken, gint64 task, gint64 whole)
{
  if (cap == 0 || whole == 0)
    return G_MAXUINT;
  gint64 limit = limit_for (cap, task, whole);
  gint64 n = MAX (limit - kept - taken, 0) / whole;
  if (n == 0 && (taken <= cap / 2 || whole > cap))
    return limit - taken >= whole;
  return n;
}

/* How many times one task of a step, or the whole gang of @n_tasks, may be started beside what is
   taken. */
static gint64
count_units (const bts_resources_t *cap, const bts_resources_t *kept, const bts_resources_t *taken,
             const Bts__Step *step, guint n_tasks)
{
  bts_resources_t task = bts_usage_demand (step);
  bts_resources_t whole = demand_of (step, step->gang ? n_tasks : 1);
  gint64 n = count_fitting (cap->cpu_millis, kept->cpu_millis, taken->cpu_millis, task.cpu_millis,
                            whole.cpu_millis);
  n = MIN (n, count_fitting (cap->memory_mb, kept->memory_mb, taken->memory_mb, task.memory_mb,
                             whole.memory_mb));
  return MIN (n, count_fitting (cap->gpus, kept->gpus, taken->gpus, task.gpus, whole.gpus));
}

static guint
count_startable (const bts_usage_t *usage, const bts_account_t *account,
                 const bts_resources_t *taken, const Bts__Step *step, guint n_tasks,
                 bts_usage_kind_t kind)
{
  bts_resources_t kept = { 0 };
  if (kind == BTS_USAGE_OTHER)
    kept = bts_headroom_left (&account->headroom, &account->cap, usage->urgent_percent);
  gint64 n = count_units (&account->cap, &kept, taken, step, n_tasks);
  if (step->gang)
    return n > 0 ? n_tasks : 0;
  return (guint)MIN (n, n_tasks);
}

/* What is running, may be running, or is kept for a stage ahead. */
static bts_resources_t
taken_of (const bts_account_t *account)
{
  bts_resources_t taken = account->used;
  bts_resources_add (&taken, &account->assumed);
  bts_resources_add (&taken, &account->reserved);
  return taken;
}

/**
 * bts_usage_count_startable() - how many more tasks of a step its tenant may start now
 * @usage: the usage
 * @account: the tenant; NULL if there is none
 * @step: the step
 * @n_tasks: how many are to be started; of a gang, all of them
 * @kind: what kind of work they are
 *
 * Return: at most @n_tasks; of a gang, all or none. None before the tables were read to their end.
 */
guint
bts_usage_count_startable (const bts_usage_t *usage, const bts_account_t *account,
                           const Bts__Step *step, guint n_tasks, bts_usage_kind_t kind)
{
  if (account == NULL)
    return n_tasks;
  if (!usage->tables_known)
    return 0;
  bts_resources_t taken = taken_of (account);
  return count_startable (usage, account, &taken, step, n_tasks, kind);
}

/**
 * bts_usage_want() - count urgent tasks that are to be started, during a pass
 * @account: the tenant
 * @step: the step
 * @n_tasks: number of its tasks that haven't started
 *
 * To be called for each urgent stage, whatever it waits for, before work that isn't urgent.
 */
void
bts_usage_want (bts_account_t *account, const Bts__Step *step, guint n_tasks)
{
  bts_resources_t demand = demand_of (step, n_tasks);
  bts_headroom_want (&account->headroom, &demand);
}

/**
 * bts_usage_wait() - count a stage that waits for quota, during a pass
 * @account: the tenant
 * @step: the step
 * @n_tasks: number of its tasks
 * @waited_us: how long the stage has waited for quota
 *
 * After a while, the first such stage gets what it needs reserved against the stages behind it,
 * unless long-running tasks take so much that it couldn't start anyway.
 */
void
bts_usage_wait (bts_account_t *account, const Bts__Step *step, guint n_tasks, gint64 waited_us)
{
  const bts_resources_t none = { 0 };
  account->n_waiting++;
  gboolean has_reserved = account->reserved.cpu_millis > 0 || account->reserved.memory_mb > 0
                          || account->reserved.gpus > 0;
  if (waited_us < RESERVE_AFTER_US || has_reserved
      || count_units (&account->cap, &none, &account->lasting, step, n_tasks) == 0)
    return;
  account->reserved = demand_of (step, step->gang ? n_tasks : 1);
}

/**
 * bts_usage_may_ask() - whether a stage that needs advice should request it now
 * @usage: the usage
 * @account: the tenant; NULL if there is none
 * @step: the step
 * @n_tasks: number of its tasks
 * @kind: what kind of work it is
 *
 * Return: FALSE if the stages for which advice is on its way will use up the cap: tickets would
 * expire unused.
 */
gboolean
bts_usage_may_ask (const bts_usage_t *usage, const bts_account_t *account, const Bts__Step *step,
                   guint n_tasks, bts_usage_kind_t kind)
{
  if (account == NULL)
    return TRUE;
  bts_resources_t taken = taken_of (account);
  bts_resources_add (&taken, &account->asking);
  return usage->tables_known && count_startable (usage, account, &taken, step, n_tasks, kind) > 0;
}

/**
 * bts_usage_note_asked() - count a stage for which advice is requested, during a pass
 * @account: the tenant
 * @step: the step
 * @n_tasks: number of its tasks
 */
void
bts_usage_note_asked (bts_account_t *account, const Bts__Step *step, guint n_tasks)
{
  bts_resources_t demand = demand_of (step, n_tasks);
  bts_resources_add (&account->asking, &demand);
}

/**
 * bts_usage_ask_ahead() - whether an urgent stage that waits for quota should request advice now
 * @usage: the usage
 * @account: the tenant
 * @step: the step
 * @n_tasks: number of its tasks that haven't started
 *
 * Return: as bts_headroom_may_ask(); a stage that should is counted for those behind it. To be
 * called in each pass, also for stages that have requested advice before.
 */
gboolean
bts_usage_ask_ahead (const bts_usage_t *usage, bts_account_t *account, const Bts__Step *step,
                     guint n_tasks)
{
  bts_headroom_t *headroom = &account->headroom;
  bts_resources_t demand = demand_of (step, n_tasks);
  bts_resources_t reserve = bts_headroom_reserve (headroom, &account->cap, usage->urgent_percent);
  if (!usage->tables_known || !bts_headroom_may_ask (headroom, &reserve, &demand))
    return FALSE;
  bts_resources_add (&headroom->asking, &demand);
  return TRUE;
}

/* How many tasks fit in what is left of a reserve; a resource without a cap or of which nothing is
   needed doesn't count. None where more than the cap is taken: lowering a cap stops no runs. */
static gint64
count_in_reserve (gint64 cap, gint64 taken, gint64 left, gint64 task)
{
  if (cap == 0 || task == 0)
    return G_MAXUINT;
  return taken > cap ? 0 : left / task;
}

/**
 * bts_usage_count_in_reserve() - how many tasks of an urgent stage fit in the unused reserve
 * @usage: the usage
 * @account: the tenant
 * @step: the step
 * @n_tasks: number of its tasks that haven't started
 *
 * Return: at most @n_tasks; of a gang, all or none. None if the tenant has more than its cap.
 */
guint
bts_usage_count_in_reserve (const bts_usage_t *usage, const bts_account_t *account,
                            const Bts__Step *step, guint n_tasks)
{
  const bts_resources_t *cap = &account->cap;
  bts_resources_t left = bts_headroom_left (&account->headroom, cap, usage->urgent_percent);
  bts_resources_t task = bts_usage_demand (step);
  bts_resources_t taken = taken_of (account);
  gint64 n = count_in_reserve (cap->cpu_millis, taken.cpu_millis, left.cpu_millis, task.cpu_millis);
  n = MIN (n, count_in_reserve (cap->memory_mb, taken.memory_mb, left.memory_mb, task.memory_mb));
  n = MIN (n, count_in_reserve (cap->gpus, taken.gpus, left.gpus, task.gpus));
  return step->gang && n < n_tasks ? 0 : (guint)MIN (n, n_tasks);
}

static gint64
missing (gint64 cap, gint64 taken, gint64 demand)
{
  return cap == 0 || demand == 0 ? 0 : MAX (taken + demand - cap, 0);
}

/**
 * bts_usage_shortage() - what has to be released so that a tenant may start further tasks
 * @account: the tenant
 * @step: their step
 * @n_tasks: their number
 */
bts_resources_t
bts_usage_shortage (const bts_account_t *account, const Bts__Step *step, guint n_tasks)
{
  bts_resources_t demand = demand_of (step, n_tasks);
  bts_resources_t taken = taken_of (account);
  bts_resources_t shortage
      = { missing (account->cap.cpu_millis, taken.cpu_millis, demand.cpu_millis),
          missing (account->cap.memory_mb, taken.memory_mb, demand.memory_mb),
          missing (account->cap.gpus, taken.gpus, demand.gpus) };
  return shortage;
}

/**
 * bts_usage_find_unfit() - find a step that its tenant's cap can never admit
 * @job: the job, with the cap in its policy
 *
 * Return: the first step of which a task, or the whole gang, is larger than the cap with the
 * allowance; NULL if there is none.
 */
const Bts__Step *
bts_usage_find_unfit (const Bts__Accepted *job)
{
  const Bts__Policy *policy = job->policy;
  const bts_resources_t cap
      = { CLAMP (policy->cap_cpu_millis, 0, CAP_MAX), CLAMP (policy->cap_memory_mb, 0, CAP_MAX),
          CLAMP (policy->cap_gpus, 0, CAP_MAX) };
  const bts_resources_t none = { 0 };
  for (gsize i = 0; policy->tenant[0] != '\0' && i < job->n_steps; i++)
    if (count_units (&cap, &none, &none, job->steps[i], job->steps[i]->count) == 0)
      return job->steps[i];
  return NULL;
}

/**
 * bts_usage_is_unfit() - whether a job that is submitted can never start within its tenant's cap
 * @job: the job, with the cap in its policy
 *
 * Such a job is logged and counted.
 */
gboolean
bts_usage_is_unfit (const Bts__Accepted *job)
{
  const Bts__Step *step = bts_usage_find_unfit (job);
  if (step == NULL)
    return FALSE;
  const Bts__Policy *policy = job->policy;
  bt_metrics_count (BT_COUNT_SUBMIT_OVER_CAP);
  bt_log (BT_LOG_NOTICE, "over-cap",
          "job=%s tenant=%s tables=%" G_GINT64_FORMAT " tasks=%u gang=%d cpu=%u mem_mb=%u gpu=%u"
          " cap_cpu=%" G_GINT64_FORMAT " cap_mem_mb=%" G_GINT64_FORMAT " cap_gpu=%" G_GINT64_FORMAT,
          job->id, policy->tenant, policy->tables_version, step->count, step->gang,
          step->cpu_millis, step->memory_mb, step->gpus, policy->cap_cpu_millis,
          policy->cap_memory_mb, policy->cap_gpus);
  return TRUE;
}

static void
write_gauge (GString *text, const char *name, const char *tenant, const char *resource,
             gint64 value)
{
  g_string_append_printf (text, "%s{tenant=\"%s\",resource=\"%s\"} %" G_GINT64_FORMAT "\n", name,
                          tenant, resource, value);
}

/* Writes what is left of a resource, and the part of its cap that is for urgent work; nothing for
   a resource without a cap. */
static void
write_resource (GString *left, GString *reserves, const char *tenant, const char *resource,
                gint64 cap, gint64 taken, gint64 reserve)
{
  if (cap == 0)
    return;
  write_gauge (left, "bamboothread_tenant_headroom", tenant, resource, cap - taken);
  write_gauge (reserves, "bamboothread_tenant_urgent_reserve", tenant, resource, reserve);
}

static char *
label_value (const char *name)
{
  return g_strcanon (g_strdup (name), G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.", '_');
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (a, b);
}

/**
 * bts_usage_to_text() - format the tenants' metrics in the Prometheus text format
 * @usage: the usage
 *
 * Return: a new string with the metrics of the first %METRICS_TENANTS_MAX tenants by name.
 */
char *
bts_usage_to_text (const bts_usage_t *usage)
{
  GString *text = g_string_new ("# TYPE bamboothread_tenant_headroom gauge\n");
  g_autoptr (GString) reserves = g_string_new ("# TYPE bamboothread_tenant_urgent_reserve gauge\n");
  g_autoptr (GString) waiting = g_string_new ("# TYPE bamboothread_tenant_waiting_stages gauge\n");
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (usage->accounts), compare_names);
  guint n = 0;
  for (const GList *item = names; item != NULL && n < METRICS_TENANTS_MAX; item = item->next, n++)
    {
      const bts_account_t *account = g_hash_table_lookup (usage->accounts, item->data);
      g_autofree char *tenant = label_value (account->name);
      bts_resources_t taken = account->used;
      bts_resources_add (&taken, &account->assumed);
      const bts_resources_t *cap = &account->cap;
      bts_resources_t reserve
          = bts_headroom_reserve (&account->headroom, cap, usage->urgent_percent);
      write_resource (text, reserves, tenant, "cpu", cap->cpu_millis, taken.cpu_millis,
                      reserve.cpu_millis);
      write_resource (text, reserves, tenant, "mem-mb", cap->memory_mb, taken.memory_mb,
                      reserve.memory_mb);
      write_resource (text, reserves, tenant, "gpu", cap->gpus, taken.gpus, reserve.gpus);
      g_string_append_printf (waiting, "bamboothread_tenant_waiting_stages{tenant=\"%s\"} %u\n",
                              tenant, account->was_waiting);
    }
  g_string_append (text, reserves->str);
  g_string_append (text, waiting->str);
  return g_string_free (text, FALSE);
}
