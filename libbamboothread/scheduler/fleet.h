#ifndef BTS_FLEET_H
#define BTS_FLEET_H

#include "libbamboothread/scheduler/job.h"
#include "libbamboothread/scheduler/probation.h"

/*
 * The owner's view of the workers: their registry entries, resources, runs and
 * the latest time at which their leases expire.
 */

/* Share by which a worker's clock may run slow; a lease may last that much longer. */
#define BTS_CLOCK_DRIFT_MAX 0.02
/* Added to a lease's longest duration for timers that fire late, in microseconds. */
#define BTS_LEASE_MARGIN_US (100 * 1000)

/**
 * struct bts_worker_entry_t - a worker's entry in the registry
 * @remaining_ms: least time that a draining worker has left; 0 if not given
 * @started_ms: Unix time at which the worker's process started; identifies its incarnation
 */
typedef struct
{
  char *id;
  char *address;
  char *service;
  char *zone;
  char **labels;
  guint cpu_millis;
  guint memory_mb;
  guint gpus;
  gboolean draining;
  gint64 remaining_ms;
  gint64 started_ms;
} bts_worker_entry_t;

void bts_worker_entry_free (bts_worker_entry_t *entry);

/**
 * struct bts_resources_t - an amount of each resource
 */
typedef struct
{
  gint64 cpu_millis;
  gint64 memory_mb;
  gint64 gpus;
} bts_resources_t;

void bts_resources_add (bts_resources_t *sum, const bts_resources_t *other);
void bts_resources_subtract (bts_resources_t *remaining, const bts_resources_t *other);

/**
 * enum bts_run_state_t - state of a run
 * @BTS_RUN_STARTING: ordered, not confirmed yet
 * @BTS_RUN_RUNNING: the worker has accepted the start order, or lists the run
 * @BTS_RUN_STOPPING: ordered to stop; stays so until the run is removed
 */
typedef enum
{
  BTS_RUN_STARTING,
  BTS_RUN_RUNNING,
  BTS_RUN_STOPPING,
} bts_run_state_t;

/**
 * enum bts_stop_reason_t - why a run is stopped
 * @BTS_STOP_UNWANTED: its job has ended, another run of its task counts, or its gang is incomplete
 * @BTS_STOP_PREEMPTED: for other work
 * @BTS_STOP_EVACUATED: its worker is about to leave
 */
typedef enum
{
  BTS_STOP_UNWANTED,
  BTS_STOP_PREEMPTED,
  BTS_STOP_EVACUATED,
} bts_stop_reason_t;

typedef struct bts_worker_t bts_worker_t;
typedef struct bts_interference_t bts_interference_t;
typedef struct bts_worker_classes_t bts_worker_classes_t;

/**
 * struct bts_run_t - one run of a task on a worker
 * @serial: identifies it in this process; never reused
 * @task: the task; NULL if its job isn't known or was removed, or if the task had another run
 *   when this one was found
 * @name: the task's name in orders to the worker
 * @number: number of the run
 * @checkpoint: checkpoint that it starts from, or NULL; the same in each start order for it
 * @has_begun: the worker has confirmed or listed it
 * @stop_reason: why it is stopped, if it is
 * @resources: resources that it takes on the worker
 * @account: usage of its tenant, which counts it; NULL if its job isn't known
 * @service: the service of the pool for which that counts it
 * @charged: what that counts for it
 * @usage_kind: kind of work (bts_usage_kind_t) as which that counts it
 * @created_us: when this owner first ordered it, or found it in a worker's list
 * @startup_end_us: when it no longer counts as just started; G_MAXINT64 until the worker has
 *   confirmed it, 0 if this owner found it in a worker's list
 * @confirmed_us: when the worker last accepted an order for it, or when the newest hold was
 *   sent whose reply listed it; 0 before, and from a stop order until the worker accepts that
 * @task_listed_us: when the newest hold was sent whose reply listed a run of its task
 * @unanswered_starts: start orders without a reply
 * @unsent: no start order for it has left this process yet, so that it can't have begun
 * @start_in_flight: a start order waits for its turn, or awaits its reply
 * @stop_in_flight: the same of a stop order
 * @stop_acked: the worker has accepted a stop order
 * @stop_retry_us: when the stop order is to be repeated; 0 if it isn't
 * @class_number: number of its class in interference.c plus one; 0 if none
 * @presence_ms: for each class, how long it had been present on the worker when the run was added;
 *   NULL if the run gives no sample
 */
struct bts_run_t
{
  guint64 serial;
  bts_task_t *task;
  bts_worker_t *worker;
  char *name;
  guint number;
  char *checkpoint;
  bts_run_state_t state;
  gboolean has_begun;
  bts_stop_reason_t stop_reason;
  bts_resources_t resources;
  bts_account_t *account;
  const char *service;
  bts_resources_t charged;
  guint usage_kind;
  gint64 created_us;
  gint64 startup_end_us;
  gint64 confirmed_us;
  gint64 task_listed_us;
  guint unanswered_starts;
  gboolean unsent;
  gboolean start_in_flight;
  gboolean stop_in_flight;
  gboolean stop_acked;
  gint64 stop_retry_us;
  guint class_number;
  guint32 *presence_ms;
};

/* Time after which a worker that has crashed is back, or is gone for good, in microseconds. */
#define BTS_LOST_RUN_KEEP_US (G_GINT64_CONSTANT (8) * 1000 * 1000)

/**
 * struct bts_lost_run_t - a run that had started shortly before its worker fell silent
 * @name: name of its task
 * @number: number of the run
 * @confirmed: the worker has confirmed it
 * @started_ms: start of the worker's incarnation; 0 if not known
 * @silent_us: when that became known
 * @late: it wasn't just starting any more
 */
typedef struct
{
  char *name;
  guint number;
  gboolean confirmed;
  gint64 started_ms;
  gint64 silent_us;
  gboolean late;
} bts_lost_run_t;

/**
 * struct bts_remnant_t - what may be left of earlier owners on a worker
 * @term: term of the owner that has said so when it resigned; 0 if none has
 * @until_us: when every lease on the worker has expired
 * @started_ms: start of the incarnation that the lease belongs to; 0 if not known
 * @tasks: names of the only tasks that may run there; NULL if none
 */
typedef struct
{
  guint64 term;
  gint64 until_us;
  gint64 started_ms;
  GHashTable *tasks;
} bts_remnant_t;

/**
 * struct bts_slot_refusal_t - the last answer that no run of a worker is left for a stage
 * @job: offset of the stage's job in the journal
 * @occurrence: number of its occurrence
 * @step: number of its step
 * @job_has_run: whether anything of the job ran
 * @version: number of changes to the runs of the worker by then
 */
typedef struct
{
  gint64 job;
  guint occurrence;
  guint step;
  gboolean job_has_run;
  guint64 version;
} bts_slot_refusal_t;

/**
 * struct bts_worker_t - a worker
 * @number: identifies it in this process; small, and never reused
 * @entry: its newest registry entry; never NULL
 * @service: the entry's service, interned, so that pools compare by pointer
 * @registered: it is in the registry now
 * @unregistered_us: since when it isn't registered
 * @held: the journal says that an owner holds it, so that the next owner will know it
 * @remnant: what an earlier owner has said of it when it resigned
 * @leaves_us: when it may leave at the earliest, while its entry says that it drains; 0 otherwise
 * @drained_ms: start of the newest earlier incarnation whose entry said that it was draining; 0 if
 *   none did
 * @replaced: another worker answers at its address, so this incarnation is over
 * @started_ms: start of the incarnation that @runs and @journaled_seq belong to; 0 if not
 *   known
 * @generation: raised by bts_worker_reset(); tells replies to earlier orders apart
 * @synced: it has listed its runs to this owner
 * @partly_listed: it has listed only the first of its ends to this owner
 * @runs: bts_run_t that may be on it
 * @runs_version: number of changes to them
 * @slot_refusal: see run_slots.c
 * @may_repeat: an order for one of @runs may have to be repeated
 * @lost_runs: bts_lost_run_t for which it isn't known yet whether the worker has crashed
 * @probation: crashes of the workers at its address; NULL if none is remembered
 * @used: resources that @runs take
 * @clock_ms: newest reading of its clock
 * @clock_at_us: when that reading arrived, by the clock of this process
 * @requested_deadline_ms: latest lease deadline that this owner requested, by the worker's
 *   clock
 * @lease_deadline_ms: latest lease deadline that it may have granted to any owner
 * @journaled_seq: number of the newest end that is in the journal
 * @acked_seq: number of the newest end acknowledged to it; it may forget ends up to there
 * @hold_ack: number that the hold in flight acknowledges; 0 if none
 * @last_listed_seq: number of the newest end that it has listed
 * @ends_in_flight: ends that are being journaled
 * @hold_in_flight: a hold awaits its reply
 * @hold_sent_us: when the newest hold was sent
 * @hold_due_us: until when the worker may delay its reply to it
 * @hold_next_us: when the next hold is due
 * @pause_until_us: ends that are journaled before this time bring no hold forward
 * @hold_failures: failed holds in a row
 * @silent_us: when a hold last failed
 * @last_reply_us: when it last replied
 * @backoff_until_us: no tasks are placed on it before this time, since it refused a start
 * @freed_pass: last pass over the queue before a run of it was removed
 * @reserved_pass: pass over the queue in which it was reserved for a stage
 * @reserved_free_us: when the reserved resources are expected to be free
 * @backfill_resources: resources that will be left beside the reservation at that time
 * @overdue_pass: pass over the queue in which @overdue_runs was counted
 * @overdue_runs: runs on it that take far longer than estimated
 * @slowness: duration of tasks on it relative to the fast workers of its service;
 *   1.0 if not known, 0 before the first update
 * @consecutive_failures: failed runs in a row; if there are any, other workers are preferred
 * @classes: classes of @runs; NULL before the first run, or if interference isn't learned
 */
struct bts_worker_t
{
  guint number;
  bts_worker_entry_t *entry;
  const char *service;
  gboolean registered;
  gint64 unregistered_us;
  gboolean held;
  bts_remnant_t remnant;
  gint64 leaves_us;
  gint64 drained_ms;
  gboolean replaced;
  gint64 started_ms;
  guint generation;
  gboolean synced;
  gboolean partly_listed;
  GPtrArray *runs;
  guint64 runs_version;
  bts_slot_refusal_t *slot_refusal;
  gboolean may_repeat;
  GPtrArray *lost_runs;
  bts_probation_t *probation;
  bts_resources_t used;
  gint64 clock_ms;
  gint64 clock_at_us;
  gint64 requested_deadline_ms;
  gint64 lease_deadline_ms;
  guint64 journaled_seq;
  guint64 acked_seq;
  guint64 hold_ack;
  guint64 last_listed_seq;
  guint ends_in_flight;
  gboolean hold_in_flight;
  gint64 hold_sent_us;
  gint64 hold_due_us;
  gint64 hold_next_us;
  gint64 pause_until_us;
  guint hold_failures;
  gint64 silent_us;
  gint64 last_reply_us;
  gint64 backoff_until_us;
  guint64 freed_pass;
  guint64 reserved_pass;
  gint64 reserved_free_us;
  bts_resources_t backfill_resources;
  guint64 overdue_pass;
  guint overdue_runs;
  double slowness;
  guint consecutive_failures;
  bts_worker_classes_t *classes;
};

/**
 * struct bts_fleet_t - all workers
 * @workers: id to bts_worker_t
 * @pools: interned service to a GPtrArray of its bts_worker_t
 * @draining: bts_worker_t whose entries say that they drain, in no particular order
 * @numbered: bts_worker_t by number; NULL for those that were removed
 * @probations: address to the bts_probation_t of the workers there, also while there is none
 * @interference: which tasks slow each other down; NULL if that isn't learned
 */
typedef struct
{
  GHashTable *workers;
  GHashTable *pools;
  GPtrArray *draining;
  GPtrArray *numbered;
  GHashTable *probations;
  bts_interference_t *interference;
} bts_fleet_t;

/**
 * enum bts_entry_change_t - how an entry differs from the one before
 * @BTS_ENTRY_UNCHANGED: incarnation, address, service, resources and draining are the same
 * @BTS_ENTRY_NEW: the worker wasn't known
 * @BTS_ENTRY_CHANGED: one of these has changed
 * @BTS_ENTRY_RESTARTED: a new incarnation of the worker
 */
typedef enum
{
  BTS_ENTRY_UNCHANGED,
  BTS_ENTRY_NEW,
  BTS_ENTRY_CHANGED,
  BTS_ENTRY_RESTARTED,
} bts_entry_change_t;

void bts_fleet_init (bts_fleet_t *fleet);
void bts_fleet_clear (bts_fleet_t *fleet);
bts_worker_t *bts_fleet_find_worker (const bts_fleet_t *fleet, const char *id);
bts_worker_t *bts_fleet_worker (const bts_fleet_t *fleet, guint number);
const GPtrArray *bts_fleet_pool (const bts_fleet_t *fleet, const char *service);
bts_entry_change_t bts_fleet_update_entry (bts_fleet_t *fleet, bts_worker_entry_t *entry);

bts_probation_t *bts_fleet_ensure_probation (bts_fleet_t *fleet, const char *address,
                                             gint64 now_us);
void bts_fleet_remove (bts_fleet_t *fleet, const char *id);
void bts_fleet_unregister_missing (bts_fleet_t *fleet, GHashTable *ids, gint64 now_us);
void bts_fleet_add_held (bts_fleet_t *fleet, const Bts__Held *held, gint64 now_us);

void bts_worker_reset (bts_worker_t *worker);
void bts_worker_add_lost_run (bts_worker_t *worker, const bts_lost_run_t *run);
void bts_worker_on_reply (bts_worker_t *worker, gint64 clock_ms, gint64 now_us);
gint64 bts_worker_clock_ms (const bts_worker_t *worker, gint64 now_us);
gint64 bts_lease_max_us (gint64 lease_ms);
void bts_worker_set_remnant (bts_worker_t *worker, const Bts__Remnant *remnant, guint64 term,
                             gint64 now_us);
gboolean bts_worker_may_run_remnant (const bts_worker_t *worker, const char *task);
gint64 bts_worker_lease_expiry_us (const bts_worker_t *worker);
bts_resources_t bts_worker_capacity (const bts_worker_t *worker);
gboolean bts_worker_has_room (const bts_worker_t *worker, const bts_resources_t *used,
                              const bts_resources_t *demand);
guint bts_worker_count_fitting (const bts_worker_t *worker, const bts_resources_t *used,
                                const bts_resources_t *demand);
gboolean bts_worker_has_current_entry (const bts_worker_t *worker);
gboolean bts_worker_was_draining (const bts_worker_t *worker, gint64 started_ms);
gboolean bts_worker_has_label (const bts_worker_t *worker, const char *label);
bts_run_t *bts_worker_find_run (const bts_worker_t *worker, const char *name, guint number);
void bts_worker_add_run (bts_worker_t *worker, bts_run_t *run);
void bts_worker_remove_run (bts_worker_t *worker, bts_run_t *run);

#endif
