#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"

/*
 * Leases on the data centre's workers. Each worker grants its lease to one
 * daemon at a time. A daemon leads while it surely holds the leases of more than
 * half of the workers that the tables name, and of those that earlier tables
 * named which other daemons may still use, so that no two daemons lead at once.
 * Only the leader renews task leases and starts tasks.
 */

/* Renewals in the time for which a lease is granted. */
#define RENEWALS_PER_LEASE 3
/* How long a worker that the tables no longer name stays in the list of workers. */
#define UNLISTED_WORKER_RETENTION_US (600 * BT_USEC_PER_SEC)
/* How long other daemons may still use the earlier tables after this daemon has newer ones. */
#define EARLIER_TABLES_VALID_US (60 * BT_USEC_PER_SEC)

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
string_array_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)g_ref_string_release);
}

/**
 * bt_owner_init() - start with no workers
 * @core: the core
 */
void
bt_owner_init (bt_core_t *core)
{
  core->owner.workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
}

/**
 * bt_owner_clear() - free all workers
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
  worker->acks = string_array_new ();
  worker->acks_sent = string_array_new ();
  worker->stops_to_send = string_array_new ();
  g_hash_table_insert (core->owner.workers, worker->name, worker);
  return worker;
}

static void
replace_string (GRefString **target, GRefString *value)
{
  GRefString *old = *target;
  *target = g_ref_string_acquire (value);
  g_ref_string_release (old);
}

/* A VM with another address is another VM. The attempts on the former VM are not in the list of
 * the new one, so no lease is requested from the new one before they are surely over. */
static void
update_address (bt_core_t *core, bt_worker_t *worker, GRefString *address)
{
  if (strcmp (worker->address, address) == 0)
    return;
  replace_string (&worker->address, address);
  gint64 attempts_over_at = core->now + core->config.task_lease_us + core->config.drift_us;
  worker->old_address_until = attempts_over_at;
  worker->attempts_over_at = MAX (worker->attempts_over_at, attempts_over_at);
  worker->lease_lost = TRUE;
  worker->synced = FALSE;
  worker->lease_in_flight = FALSE;
  worker->epoch = 0;
  worker->boot = 0;
  worker->lease_until = 0;
  worker->task_lease_until = 0;
}

static void
apply_vm (bt_core_t *core, const bt_pool_t *pool, const bt_vm_t *vm)
{
  if (strcmp (vm->data_centre, core->data_centre) != 0)
    return;
  bt_worker_t *worker = bt_owner_find_worker (core, vm->name);
  if (worker == NULL)
    worker = worker_new (core, vm, pool);
  update_address (core, worker, vm->address);
  replace_string (&worker->pool, pool->name);
  replace_string (&worker->rack, vm->rack);
  bt_pool_vm_capacity (pool, vm, &worker->capacity);
  worker->listed = TRUE;
  core->owner.n_listed++;
}

/* Returns the index of the set that expires first, which may have expired already. */
static guint
find_reusable_set (const bt_owner_t *owner)
{
  guint found = 0;
  for (guint i = 1; i < BT_WORKER_SETS_MAX; i++)
    if (owner->earlier_sets[i].until < owner->earlier_sets[found].until)
      found = i;
  return found;
}

/* Keeps the set of workers that the tables named until now. While the history of
 * the tables is being read, only the last set can still be in use by others. */
static void
save_earlier_set (bt_core_t *core, GPtrArray *before)
{
  bt_owner_t *owner = &core->owner;
  guint at = core->tables_caught_up ? find_reusable_set (owner) : 0;
  guint32 bit = 1u << at;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, owner->workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    worker->earlier_sets &= ~bit;
  for (guint i = 0; i < before->len; i++)
    ((bt_worker_t *)before->pdata[i])->earlier_sets |= bit;
  owner->earlier_sets[at].n = before->len;
  owner->earlier_sets[at].until = core->now + EARLIER_TABLES_VALID_US;
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

/* Returns whether the set of listed workers has changed. */
static gboolean
mark_unlisted (const bt_core_t *core, const GPtrArray *before)
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
 * bt_owner_apply_tables() - update the workers from the newest tables
 * @core: the core
 *
 * A worker that is no longer named gets no new tasks; those on it continue. Other
 * daemons may use the earlier tables for EARLIER_TABLES_VALID_US, in which a leader
 * needs the leases of more than half of the earlier set of workers too.
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
        apply_vm (core, pool, pool->vms->pdata[k]);
    }
  if (mark_unlisted (core, before))
    save_earlier_set (core, before);
  bt_place_apply_tables (core);
  bt_feasibility_on_tables (core);
}

static gboolean
has_lease (const bt_worker_t *worker, gint64 now)
{
  return worker->epoch > 0 && worker->lease_until > now;
}

static gboolean
has_majority_of_set (const bt_core_t *core, const bt_worker_set_t *set, guint32 bit)
{
  guint held = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if ((worker->earlier_sets & bit) != 0 && has_lease (worker, core->now))
      held++;
  return 2 * held > set->n;
}

/* Returns whether this daemon holds the leases of more than half of the workers that
 * the tables name, and of each earlier set that other daemons may still use. */
static gboolean
has_majority (const bt_core_t *core)
{
  const bt_owner_t *owner = &core->owner;
  guint held = 0;
  GHashTableIter iter;
  const bt_worker_t *worker;
  g_hash_table_iter_init (&iter, owner->workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (worker->listed && has_lease (worker, core->now))
      held++;
  if (2 * held <= owner->n_listed)
    return FALSE;
  for (guint i = 0; i < BT_WORKER_SETS_MAX; i++)
    {
      const bt_worker_set_t *set = &owner->earlier_sets[i];
      if (set->n > 0 && set->until > core->now && !has_majority_of_set (core, set, 1u << i))
        return FALSE;
    }
  return TRUE;
}

/**
 * bt_owner_may_start() - whether tasks may be started on a worker now
 * @core: the core
 * @worker: the worker
 *
 * Return: TRUE if this daemon leads and is not shutting down, surely holds the
 * worker's lease and task lease and knows all that runs on it, and the worker is
 * named by the tables, not leaving and not about to be fenced.
 */
gboolean
bt_owner_may_start (const bt_core_t *core, const bt_worker_t *worker)
{
  if (!core->owner.leading || core->leaving)
    return FALSE;
  if (!worker->listed || worker->leaving || worker->needs_fencing || !worker->synced)
    return FALSE;
  return has_lease (worker, core->now) && worker->task_lease_until > core->now;
}

/**
 * bt_owner_fence() - make sure that a worker refuses starts that are in flight to it
 * @core: the core
 * @worker: the worker
 *
 * The next lease request claims a new epoch, and the list of attempts in its reply
 * tells which starts had reached the worker.
 */
void
bt_owner_fence (bt_core_t *core, bt_worker_t *worker)
{
  worker->needs_fencing = TRUE;
  worker->next_lease_send = core->now;
}

/**
 * bt_owner_ack() - acknowledge the end of an attempt, so that the worker can forget it
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
add_acks (bt_worker_t *worker, GPtrArray *acks)
{
  const guint max_acks = 1024;
  while (worker->acks->len > 0 && worker->acks_sent->len < max_acks)
    g_ptr_array_add (worker->acks_sent,
                     g_ptr_array_steal_index_fast (worker->acks, worker->acks->len - 1));
  for (guint i = 0; i < worker->acks_sent->len; i++)
    g_ptr_array_add (acks, worker->acks_sent->pdata[i]);
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
      request.last_clock_ms = worker->clock_ms;
      if (core->owner.leading)
        {
          /* The worker counts from its clock in its last reply, which was read before the reply
           * came, at clock_read_at. */
          request.task_ttl_ms = core->config.task_lease_us / BT_USEC_PER_MSEC;
          worker->attempts_over_at
              = MAX (worker->attempts_over_at,
                     worker->clock_read_at + core->config.task_lease_us + core->config.drift_us);
        }
    }
  add_acks (worker, request.ack);
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

/* A daemon that steps down drops what it knows of running attempts, so that it needs
 * the workers' lists again if it leads later. */
static void
mark_all_unsynced (bt_core_t *core)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    worker->synced = FALSE;
}

static void
step_down (bt_core_t *core)
{
  core->owner.leading = FALSE;
  core->owner.settled = FALSE;
  mark_all_unsynced (core);
  core->counters.leads_lost++;
  bt_log (BT_LOG_NOTICE, "lead-lost", "data_centre=%s", core->data_centre);
  bt_journal_step_down (core);
  bt_recover_on_step_down (core);
  bt_members_announce (core);
}

/**
 * bt_owner_release() - release all workers, so that another daemon can claim them at once
 * @core: the core
 */
void
bt_owner_release (bt_core_t *core)
{
  if (core->owner.leading)
    step_down (core);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    release_worker (core, worker);
}

static void
become_leader (bt_core_t *core)
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
update_leadership (bt_core_t *core)
{
  gboolean majority = core->owner.n_listed > 0 && has_majority (core);
  if (core->owner.leading && !majority)
    step_down (core);
  if (!core->owner.leading && majority && core->owner.is_candidate)
    become_leader (core);
}

static void
update_candidacy (bt_core_t *core)
{
  gboolean candidate = bt_members_is_candidate (core);
  if (core->owner.is_candidate && !candidate)
    bt_owner_release (core);
  if (!core->owner.is_candidate && candidate)
    core->owner.next_claim = core->now;
  core->owner.is_candidate = candidate;
}

/* Two candidates may each hold some of the workers and no majority. Each releases its workers
 * two lease durations after it began to claim, and waits for a random time of up to one lease
 * duration before it claims again. */
static void
back_off_if_contended (bt_core_t *core)
{
  gint64 claim_timeout = 2 * core->config.lease_us;
  if (core->owner.leading || core->now < core->owner.next_claim + claim_timeout)
    return;
  bt_owner_release (core);
  core->owner.next_claim
      = core->now + g_rand_int_range (core->rand, 0, (gint32)core->config.lease_us);
}

static void
check_lease_expiry (bt_core_t *core, bt_worker_t *worker)
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
is_in_unexpired_set (const bt_core_t *core, const bt_worker_t *worker)
{
  for (guint i = 0; i < BT_WORKER_SETS_MAX; i++)
    if ((worker->earlier_sets & 1u << i) != 0 && core->owner.earlier_sets[i].until > core->now)
      return TRUE;
  return FALSE;
}

/* Whether a worker can be removed: the tables have not named it for UNLISTED_WORKER_RETENTION_US,
 * it is in no earlier set of workers that is still in force, no attempt on it is known, no lease
 * request to it is in flight, and its list of attempts was imported or it has been silent for so
 * long that nothing can run on it. */
static gboolean
may_remove_worker (const bt_core_t *core, const bt_worker_t *worker)
{
  if (worker->listed || worker->lease_in_flight || g_hash_table_size (worker->attempts) > 0)
    return FALSE;
  if (core->now < worker->unlisted_at + UNLISTED_WORKER_RETENTION_US)
    return FALSE;
  if (!worker->synced && core->now < worker->attempts_over_at)
    return FALSE;
  return !is_in_unexpired_set (core, worker);
}

static void
remove_unlisted (bt_core_t *core)
{
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (may_remove_worker (core, worker))
      {
        release_worker (core, worker);
        bt_queue_clear_worker (core, worker);
        g_hash_table_iter_remove (&iter);
      }
}

/* Whether all attempts of earlier owners on a worker are known or surely over. */
static gboolean
is_worker_settled (const bt_core_t *core, const bt_worker_t *worker)
{
  if (worker->synced && !worker->needs_fencing)
    return TRUE;
  return core->now >= MAX (core->owner.earlier_leases_end_at, worker->attempts_over_at);
}

static void
check_settled (bt_core_t *core)
{
  if (!core->owner.leading || core->owner.settled)
    return;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    if (!is_worker_settled (core, worker))
      return;
  core->owner.settled = TRUE;
  bt_log (BT_LOG_NOTICE, "settled", "after_ms=%" G_GINT64_FORMAT,
          (core->now - core->owner.lead_since) / BT_USEC_PER_MSEC);
  bt_recover_on_settled (core);
}

/**
 * bt_owner_tick() - claim, renew or release workers as is due
 * @core: the core
 */
void
bt_owner_tick (bt_core_t *core)
{
  update_candidacy (core);
  update_leadership (core);
  remove_unlisted (core);
  if (!core->owner.is_candidate)
    return;
  back_off_if_contended (core);
  if (core->now < core->owner.next_claim)
    return;
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      check_lease_expiry (core, worker);
      if (!worker->lease_in_flight
          && core->now >= MAX (worker->next_lease_send, worker->old_address_until))
        send_lease (core, worker);
    }
  check_settled (core);
}

static void
on_lease_refused (bt_core_t *core, bt_worker_t *worker, const bt_lease_reply_t *reply)
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
on_lease_granted (bt_core_t *core, bt_worker_t *worker, const bt_lease_reply_t *reply)
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
  /* The worker counts the task lease from its clock in its previous reply, which it read after
   * the request for that reply was sent. */
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
 * bt_owner_on_lease_reply() - process a worker's reply to a claim or renewal
 * @core: the core
 * @name: the worker's name
 * @reply: its reply, or NULL if none came
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
    on_lease_granted (core, worker, reply);
  else
    on_lease_refused (core, worker, reply);
  update_leadership (core);
}
