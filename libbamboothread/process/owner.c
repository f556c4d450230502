#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Leases on the data centre's workers. Each worker grants its lease to one
 * daemon at a time. A daemon leads while it surely holds more than half of the
 * workers that the tables name, so that no two lead at once; only the leader
 * renews the leases of tasks and starts new ones.
 */

/* Renewals in the span of a lease. */
#define RENEWALS_PER_LEASE 3
/* How long a worker that the tables no longer name is remembered. */
#define FORGET_WORKER_US (600 * BT_USEC_PER_SEC)
/* How long other daemons may go by earlier tables than this one. */
#define EARLIER_TABLES_US (60 * BT_USEC_PER_SEC)

static void
worker_free (gpointer data)
{
  bt_worker_t *worker = data;
  bt_place_remove_worker (worker);
  bt_health_clear_worker (worker);
  g_ref_string_release (worker->name);
  g_ref_string_release (worker->address);
  g_ref_string_release (worker->pool);
  g_ref_string_release (worker->rack);
  g_hash_table_unref (worker->attempts);
  g_ptr_array_unref (worker->acks);
  g_ptr_array_unref (worker->acks_sent);
  g_ptr_array_unref (worker->stops_to_send);
  g_free (worker);
}

static GPtrArray *
strings_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
}

/**
 * bt_owner_init() - know no workers
 * @core: the core
 */
void
bt_owner_init (bt_core_t *core)
{
  core->owner.workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
}

/**
 * bt_owner_clear() - free what the owner holds
 * @core: the core
 */
void
bt_owner_clear (bt_core_t *core)
{
  g_hash_table_unref (core->owner.workers);
}

/**
 * bt_owner_find_worker() - find a worker of this data centre
 * @core: the core
 * @name: its name
 *
 * Return: the worker, or NULL.
 */
bt_worker_t *
bt_owner_find_worker (const bt_core_t *core, const char *name)
{
  return g_hash_table_lookup (core->owner.workers, name);
}

static bt_worker_t *
worker_new (bt_core_t *core, const bt_vm_t *vm, const bt_pool_t *pool)
{
  bt_worker_t *worker = g_new0 (bt_worker_t, 1);
  worker->name = g_ref_string_acquire (vm->name);
  worker->address = g_ref_string_acquire (vm->address);
  worker->pool = g_ref_string_acquire (pool->name);
  worker->rack = g_ref_string_acquire (vm->rack);
  worker->attempts = g_hash_table_new (g_str_hash, g_str_equal);
  worker->acks = strings_new ();
  worker->acks_sent = strings_new ();
  worker->stops_to_send = strings_new ();
  g_hash_table_insert (core->owner.workers, worker->name, worker);
  return worker;
}

static void
replace_string (GRefString **at, GRefString *with)
{
  GRefString *old = *at;
  *at = g_ref_string_acquire (with);
  g_ref_string_release (old);
}

/* A VM with another address is another VM: what the former one runs is not in
 * its list, so it is not asked before that is over. */
static void
move_worker (bt_core_t *core, bt_worker_t *worker, GRefString *address)
{
  if (strcmp (worker->address, address) == 0)
    return;
  replace_string (&worker->address, address);
  gint64 over_at = core->now + core->config.task_lease_us + core->config.drift_us;
  worker->old_address_until = over_at;
  worker->attempts_over_at = MAX (worker->attempts_over_at, over_at);
  worker->lease_lost = TRUE;
  worker->synced = FALSE;
  worker->lease_in_flight = FALSE;
  worker->epoch = 0;
  worker->boot = 0;
  worker->lease_until = 0;
  worker->task_lease_until = 0;
}

static void
list_vm (bt_core_t *core, const bt_pool_t *pool, const bt_vm_t *vm)
{
  if (strcmp (vm->data_centre, core->data_centre) != 0)
    return;
  bt_worker_t *worker = bt_owner_find_worker (core, vm->name);
  if (worker == NULL)
    worker = worker_new (core, vm, pool);
  move_worker (core, worker, vm->address);
  replace_string (&worker->pool, pool->name);
  replace_string (&worker->rack, vm->rack);
  bt_pool_vm_capacity (pool, vm, &worker->capacity);
  worker->listed = TRUE;
  core->owner.n_listed++;
}

/* Return: index of a set that is over, else of the one that is over first. */
static guint
free_set (const bt_owner_t *owner)
{
  guint found = 0;
  for (guint i = 1; i < BT_WORKER_SETS_MAX; i++)
    if (owner->earlier_sets[i].until < owner->earlier_sets[found].until)
      found = i;
  return found;
}

/* Keeps the set of workers that the tables named until now. While the history
 * of the tables is read, only the last one can still be in use. */
static void
remember_set (bt_core_t *core, GPtrArray *before)
{
  bt_owner_t *owner = &core->owner;
  guint at = core->tables_caught_up ? free_set (owner) : 0;
  guint32 bit = 1u << at;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, owner->workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    worker->earlier_sets &= ~bit;
  for (guint i = 0; i < before->len; i++)
    ((bt_worker_t *)before->pdata[i])->earlier_sets |= bit;
  owner->earlier_sets[at].n = before->len;
  owner->earlier_sets[at].until = core->now + EARLIER_TABLES_US;
}

static GPtrArray *
listed_workers (const bt_core_t *core)
{
  GPtrArray *listed = g_ptr_array_new ();
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (worker->listed)
      g_ptr_array_add (listed, worker);
  return listed;
}

/* Return: whether another set of workers is listed than before. */
static gboolean
note_unlisted (const bt_core_t *core, const GPtrArray *before)
{
  gboolean changed = before->len != core->owner.n_listed;
  for (guint i = 0; i < before->len; i++)
    {
      bt_worker_t *worker = before->pdata[i];
      if (worker->listed)
        continue;
      worker->unlisted_at = core->now;
      changed = TRUE;
    }
  return changed;
}

/**
 * bt_owner_apply_tables() - take in which workers the newest tables name
 * @core: the core
 *
 * A worker that is no longer named gets no new tasks; those on it go on. Other
 * daemons may go by the earlier tables for a while, so a leader then needs
 * more than half of the earlier set of workers too.
 */
void
bt_owner_apply_tables (bt_core_t *core)
{
  g_autoptr (GPtrArray) before = listed_workers (core);
  for (guint i = 0; i < before->len; i++)
    ((bt_worker_t *)before->pdata[i])->listed = FALSE;
  core->owner.n_listed = 0;
  const GPtrArray *pools = core->tables.tables->pools;
  for (guint i = 0; i < pools->len; i++)
    {
      const bt_pool_t *pool = pools->pdata[i];
      for (guint k = 0; k < pool->vms->len; k++)
        list_vm (core, pool, pool->vms->pdata[k]);
    }
  if (note_unlisted (core, before))
    remember_set (core, before);
  bt_place_apply_tables (core);
  bt_feasibility_on_tables (core);
}

static gboolean
lease_holds (const bt_worker_t *worker, gint64 now)
{
  return worker->epoch > 0 && worker->lease_until > now;
}

static gboolean
majority_of_set (const bt_core_t *core, const bt_worker_set_t *set, guint32 bit)
{
  guint held = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if ((worker->earlier_sets & bit) != 0 && lease_holds (worker, core->now))
      held++;
  return 2 * held > set->n;
}

/* Return: whether more than half of the workers are held, of those that the
 * tables name and of those that other daemons may think they name. */
static gboolean
majority_held (const bt_core_t *core)
{
  const bt_owner_t *owner = &core->owner;
  guint held = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, owner->workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (worker->listed && lease_holds (worker, core->now))
      held++;
  if (2 * held <= owner->n_listed)
    return FALSE;
  for (guint i = 0; i < BT_WORKER_SETS_MAX; i++)
    {
      const bt_worker_set_t *set = &owner->earlier_sets[i];
      if (set->n > 0 && set->until > core->now && !majority_of_set (core, set, 1u << i))
        return FALSE;
    }
  return TRUE;
}

/**
 * bt_owner_may_start() - whether tasks may be started on a worker now
 * @core: the core
 * @worker: the worker
 *
 * Return: TRUE if this daemon leads, holds the worker and knows all that runs on it.
 */
gboolean
bt_owner_may_start (const bt_core_t *core, const bt_worker_t *worker)
{
  if (!core->owner.leading || core->leaving)
    return FALSE;
  if (!worker->listed || worker->leaving || worker->needs_fencing || !worker->synced)
    return FALSE;
  return lease_holds (worker, core->now) && worker->task_lease_until > core->now;
}

/**
 * bt_owner_fence() - make sure that starts still on the way to a worker are refused
 * @core: the core
 * @worker: the worker
 *
 * Claims a new epoch. The list that comes with it tells what did start.
 */
void
bt_owner_fence (bt_core_t *core, bt_worker_t *worker)
{
  worker->needs_fencing = TRUE;
  worker->next_lease_send = core->now;
}

/**
 * bt_owner_ack() - let a worker forget an attempt that ended
 * @core: the core
 * @worker: the worker
 * @attempt: the attempt's id
 */
void
bt_owner_ack (bt_core_t *core, bt_worker_t *worker, const char *attempt)
{
  for (guint i = 0; i < worker->acks->len; i++)
    if (strcmp (worker->acks->pdata[i], attempt) == 0)
      return;
  g_ptr_array_add (worker->acks, g_ref_string_new (attempt));
}

static void
take_acks (bt_worker_t *worker, GPtrArray *into)
{
  const guint most = 1024;
  while (worker->acks->len > 0 && worker->acks_sent->len < most)
    g_ptr_array_add (worker->acks_sent,
                     g_ptr_array_steal_index_fast (worker->acks, worker->acks->len - 1));
  for (guint i = 0; i < worker->acks_sent->len; i++)
    g_ptr_array_add (into, worker->acks_sent->pdata[i]);
}

static void
send_lease (bt_core_t *core, bt_worker_t *worker)
{
  gboolean claim = worker->epoch == 0 || worker->needs_fencing || worker->lease_lost;
  bt_lease_request_t request = { .ttl_ms = core->config.lease_us / BT_USEC_PER_MSEC };
  request.owner = g_ref_string_new (core->owner_id);
  request.ack = g_ptr_array_new ();
  request.full = claim || !worker->synced;
  if (!claim)
    {
      request.epoch = worker->epoch;
      request.base_ms = worker->clock_ms;
      if (core->owner.leading)
        {
          request.task_ttl_ms = core->config.task_lease_us / BT_USEC_PER_MSEC;
          worker->attempts_over_at
              = MAX (worker->attempts_over_at,
                     worker->clock_read_at + core->config.task_lease_us + core->config.drift_us);
        }
    }
  take_acks (worker, request.ack);
  worker->sent_claim = claim;
  worker->sent_task_lease = request.task_ttl_ms > 0;
  worker->prev_lease_sent_at = worker->lease_sent_at;
  worker->lease_sent_at = core->now;
  worker->lease_in_flight = TRUE;
  worker->next_lease_send = core->now + core->config.lease_us / RENEWALS_PER_LEASE;
  core->counters.leases_sent++;
  core->ops.worker_lease (core->context, worker->name, worker->address, &request);
  g_ptr_array_unref (request.ack);
  g_ref_string_release (request.owner);
}

static void
release_worker (bt_core_t *core, bt_worker_t *worker)
{
  if (worker->epoch == 0)
    return;
  bt_release_request_t request = { .epoch = worker->epoch };
  request.owner = g_ref_string_new (core->owner_id);
  core->ops.worker_release (core->context, worker->name, worker->address, &request);
  g_ref_string_release (request.owner);
  worker->epoch = 0;
  worker->lease_until = 0;
  worker->synced = FALSE;
}

/* What ran on the workers is forgotten with the lead, so their lists are wanted again. */
static void
forget_lists (bt_core_t *core)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    worker->synced = FALSE;
}

static void
unlead (bt_core_t *core)
{
  core->owner.leading = FALSE;
  core->owner.settled = FALSE;
  forget_lists (core);
  core->counters.leads_lost++;
  bt_log (BT_LOG_NOTICE, "lead-lost", "data_centre=%s", core->data_centre);
  bt_journal_step_down (core);
  bt_recover_on_step_down (core);
  bt_members_announce (core);
}

/**
 * bt_owner_release() - give up all workers, so that another daemon can claim them at once
 * @core: the core
 */
void
bt_owner_release (bt_core_t *core)
{
  if (core->owner.leading)
    unlead (core);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    release_worker (core, worker);
}

static void
lead (bt_core_t *core)
{
  core->owner.leading = TRUE;
  core->owner.settled = FALSE;
  core->owner.lead_since = core->now;
  core->owner.earlier_leases_end_at
      = core->now + core->config.task_lease_us + core->config.drift_us;
  core->counters.leads_begun++;
  bt_log (BT_LOG_NOTICE, "lead-begun", "data_centre=%s workers=%u", core->data_centre,
          core->owner.n_listed);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      worker->next_lease_send = core->now;
      worker->attempts_over_at = MAX (worker->attempts_over_at, core->owner.earlier_leases_end_at);
    }
  bt_journal_claim_term (core);
  bt_recover_on_become_leader (core);
  bt_members_announce (core);
}

static void
follow_majority (bt_core_t *core)
{
  gboolean majority = core->owner.n_listed > 0 && majority_held (core);
  if (core->owner.leading && !majority)
    unlead (core);
  if (!core->owner.leading && majority && core->owner.is_candidate)
    lead (core);
}

static void
follow_candidacy (bt_core_t *core)
{
  gboolean candidate = bt_members_is_candidate (core);
  if (core->owner.is_candidate && !candidate)
    bt_owner_release (core);
  if (!core->owner.is_candidate && candidate)
    core->owner.next_claim = core->now;
  core->owner.is_candidate = candidate;
}

/* Two candidates that each hold some workers both step back for a while. */
static void
step_back (bt_core_t *core)
{
  gint64 patience = 2 * core->config.lease_us;
  if (core->owner.leading || core->now < core->owner.next_claim + patience)
    return;
  bt_owner_release (core);
  core->owner.next_claim
      = core->now + g_rand_int_range (core->rand, 0, (gint32)core->config.lease_us);
}

static void
notice_lapse (bt_core_t *core, bt_worker_t *worker)
{
  if (worker->epoch > 0 && worker->lease_until <= core->now && !worker->lease_lost)
    {
      worker->lease_lost = TRUE;
      worker->synced = FALSE;
      bt_health_on_flap (core, worker);
      bt_log (BT_LOG_WARNING, "worker-lease-lapsed", "worker=%s", worker->name);
    }
  if (core->owner.leading && worker->lease_lost && core->now >= worker->attempts_over_at)
    bt_recover_on_worker_expired (core, worker);
}

static gboolean
in_live_set (const bt_core_t *core, const bt_worker_t *worker)
{
  for (guint i = 0; i < BT_WORKER_SETS_MAX; i++)
    if ((worker->earlier_sets & 1u << i) != 0 && core->owner.earlier_sets[i].until > core->now)
      return TRUE;
  return FALSE;
}

/* A worker that the tables no longer name goes once it is drained, or silent
 * for so long that nothing can run on it. */
static gboolean
forgettable (const bt_core_t *core, const bt_worker_t *worker)
{
  if (worker->listed || worker->lease_in_flight || g_hash_table_size (worker->attempts) > 0)
    return FALSE;
  if (core->now < worker->unlisted_at + FORGET_WORKER_US)
    return FALSE;
  if (!worker->synced && core->now < worker->attempts_over_at)
    return FALSE;
  return !in_live_set (core, worker);
}

static void
forget_unlisted (bt_core_t *core)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (forgettable (core, worker))
      {
        release_worker (core, worker);
        bt_queue_clear_worker (core, worker);
        g_hash_table_iter_remove (&iter);
      }
}

/* Whether all that an earlier owner started on a worker is known or surely over. */
static gboolean
worker_settled (const bt_core_t *core, const bt_worker_t *worker)
{
  if (worker->synced && !worker->needs_fencing)
    return TRUE;
  return core->now >= MAX (core->owner.earlier_leases_end_at, worker->attempts_over_at);
}

static void
settle (bt_core_t *core)
{
  if (!core->owner.leading || core->owner.settled)
    return;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (!worker_settled (core, worker))
      return;
  core->owner.settled = TRUE;
  bt_log (BT_LOG_NOTICE, "settled", "after_ms=%" G_GINT64_FORMAT,
          (core->now - core->owner.lead_since) / BT_USEC_PER_MSEC);
  bt_recover_on_settled (core);
}

/**
 * bt_owner_tick() - claim, renew or give up workers as is due
 * @core: the core
 */
void
bt_owner_tick (bt_core_t *core)
{
  follow_candidacy (core);
  follow_majority (core);
  forget_unlisted (core);
  if (!core->owner.is_candidate)
    return;
  step_back (core);
  if (core->now < core->owner.next_claim)
    return;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      notice_lapse (core, worker);
      if (!worker->lease_in_flight
          && core->now >= MAX (worker->next_lease_send, worker->old_address_until))
        send_lease (core, worker);
    }
  settle (core);
}

static void
lease_refused (bt_core_t *core, bt_worker_t *worker, const bt_lease_reply_t *reply)
{
  core->counters.leases_refused++;
  worker->epoch = 0;
  worker->lease_until = 0;
  worker->synced = FALSE;
  worker->needs_fencing = FALSE;
  gint64 wait = MIN (reply->remaining_ms * BT_USEC_PER_MSEC, core->config.lease_us);
  worker->next_lease_send = core->now + MAX (wait, core->config.heartbeat_us / 10);
}

static void
lease_granted (bt_core_t *core, bt_worker_t *worker, const bt_lease_reply_t *reply)
{
  core->counters.leases_granted++;
  worker->lease_until = worker->lease_sent_at + core->config.lease_us - core->config.drift_us;
  worker->epoch = reply->epoch;
  worker->clock_ms = reply->clock_ms;
  worker->clock_read_at = core->now;
  bt_drain_on_worker_report (worker, reply->leaving);
  g_ptr_array_set_size (worker->acks_sent, 0);
  gboolean rebooted = worker->boot != 0 && worker->boot != reply->boot;
  worker->boot = reply->boot;
  if (rebooted)
    {
      worker->task_lease_until = 0;
      bt_health_on_flap (core, worker);
    }
  if (worker->sent_task_lease)
    worker->task_lease_until
        = worker->prev_lease_sent_at + core->config.task_lease_us - core->config.drift_us;
  if (worker->sent_claim)
    {
      worker->needs_fencing = FALSE;
      worker->lease_lost = FALSE;
      worker->attempts_over_at = MAX (
          worker->attempts_over_at, core->now + core->config.task_lease_us + core->config.drift_us);
      worker->next_lease_send = core->now;
    }
  if (reply->full)
    bt_recover_import_attempts (core, worker, reply, worker->lease_sent_at, rebooted);
  else
    for (guint i = 0; i < reply->attempts->len; i++)
      bt_sched_on_attempt_report (core, worker, reply->attempts->pdata[i]);
}

/**
 * bt_owner_on_lease_reply() - take in a worker's answer to a claim or renewal
 * @core: the core
 * @name: the worker's name
 * @reply: its answer, or NULL if none came
 */
void
bt_owner_on_lease_reply (bt_core_t *core, const char *name, const bt_lease_reply_t *reply)
{
  bt_worker_t *worker = bt_owner_find_worker (core, name);
  if (worker == NULL || !worker->lease_in_flight)
    return;
  worker->lease_in_flight = FALSE;
  if (reply == NULL)
    {
      core->counters.leases_failed++;
      worker->lease_sent_at = worker->prev_lease_sent_at;
      return;
    }
  if (!core->owner.is_candidate)
    {
      if (reply->granted)
        worker->epoch = reply->epoch;
      release_worker (core, worker);
      return;
    }
  if (reply->granted)
    lease_granted (core, worker, reply);
  else
    lease_refused (core, worker, reply);
  follow_majority (core);
}
