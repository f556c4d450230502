#ifndef BTS_FLEET_H
#define BTS_FLEET_H

#include "libbamboothread/scheduler/job.h"

/*
 * What the owner believes of the workers: who they are, what they have, what
 * runs on them and how long their lease lasts at most.
 */

/* A worker's clock may run this much slow, so a lease may last so much longer. */
#define BTS_CLOCK_SLOW 0.02
/* Added to the longest lease for timers that fire late, in microseconds. */
#define BTS_LEASE_MARGIN_US (100 * 1000)

/**
 * struct bts_entry_t - what a worker says of itself where workers register
 * @remaining_ms: least time that a draining worker has left; 0 if not said
 * @born_ms: Unix time at which this life of it began
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
  gint64 born_ms;
} bts_entry_t;

void bts_entry_free (bts_entry_t *entry);

/**
 * struct bts_room_t - an amount of each resource
 */
typedef struct
{
  gint64 cpu_millis;
  gint64 memory_mb;
  gint64 gpus;
} bts_room_t;

void bts_room_add (bts_room_t *room, const bts_room_t *other);
void bts_room_subtract (bts_room_t *room, const bts_room_t *other);

/**
 * enum bts_run_state_t - what is known of a run
 * @BTS_RUN_STARTING: ordered, no answer yet
 * @BTS_RUN_LIVE: the worker took the order or lists it
 * @BTS_RUN_STOPPING: to be stopped
 */
typedef enum
{
  BTS_RUN_STARTING,
  BTS_RUN_LIVE,
  BTS_RUN_STOPPING,
} bts_run_state_t;

typedef struct bts_worker_t bts_worker_t;

/**
 * struct bts_run_t - one run of a task on a worker
 * @serial: names it in this process; never used twice
 * @task: the task, or NULL if its job isn't known
 * @name: name of the task towards the worker
 * @number: number of the run
 * @saved: checkpoint that it starts from, or NULL; the same in each order for it
 * @room: what it takes of the worker
 * @created_us: when it was first ordered or found
 * @confirmed_us: when the worker last said that it knows it; 0 before
 * @tries: orders to start it that got no answer
 * @listed_us: when the newest hold that listed a run of its task was sent
 * @order_open: an order to start it is on its way
 * @stop_open: an order to stop it is on its way
 * @stopped: an order to stop it was answered
 * @next_us: when the next order for it is due; 0 if none is
 */
struct bts_run_t
{
  guint64 serial;
  bts_task_t *task;
  bts_worker_t *worker;
  char *name;
  guint number;
  char *saved;
  bts_run_state_t state;
  bts_room_t room;
  gint64 created_us;
  gint64 confirmed_us;
  gint64 listed_us;
  guint tries;
  gboolean order_open;
  gboolean stop_open;
  gboolean stopped;
  gint64 next_us;
};

/**
 * struct bts_worker_t - a worker
 * @entry: what it said of itself last; never NULL
 * @service: the entry's service, interned, so that pools compare by pointer
 * @listed: it stands in the list of workers now
 * @unlisted_us: since when not
 * @departed: its address answers for another worker, so this life is over
 * @born_ms: the life that @runs and @acked belong to; 0 if not known
 * @life: raised when @runs and the rest are forgotten; tells late answers apart
 * @synced: it has listed its runs to this owner
 * @runs: bts_run_t that may be on it
 * @used: room that @runs take
 * @clock_ms: its clock when it answered last
 * @clock_us: our time then
 * @asked_ms: the longest lease that this owner asked for, by the worker's clock
 * @deadline_ms: the longest lease that it may have granted to any owner
 * @acked: number of the newest end that is in the journal
 * @told: number up to which it has been told to forget ends
 * @hold_ack: number that the hold on its way tells it; 0 if none
 * @seen: number of the newest end that it has listed
 * @ends_open: ends that are being journaled
 * @hold_open: a hold is on its way
 * @hold_sent_us: when it was sent
 * @hold_next_us: when the next one is due
 * @hold_failures: holds in a row without an answer
 * @heard_us: when it answered last
 * @rest_until_us: no starts before, since it refused some
 * @reserved: pass over the queue in which room on it was kept for a stage
 * @reserved_us: when that room is expected to be free
 * @reserved_left: what is left of the worker then beside it
 * @overdue_pass: pass over the queue in which @overdue was counted
 * @overdue: its runs that take far longer than estimated
 * @slowness: times that tasks take here against the fastest kind; 0 if not known
 * @faults: failed ends in a row, for choosing others first
 */
struct bts_worker_t
{
  bts_entry_t *entry;
  const char *service;
  gboolean listed;
  gint64 unlisted_us;
  gboolean departed;
  gint64 born_ms;
  guint life;
  gboolean synced;
  GPtrArray *runs;
  bts_room_t used;
  gint64 clock_ms;
  gint64 clock_us;
  gint64 asked_ms;
  gint64 deadline_ms;
  guint64 acked;
  guint64 told;
  guint64 hold_ack;
  guint64 seen;
  guint ends_open;
  gboolean hold_open;
  gint64 hold_sent_us;
  gint64 hold_next_us;
  guint hold_failures;
  gint64 heard_us;
  gint64 rest_until_us;
  guint64 reserved;
  gint64 reserved_us;
  bts_room_t reserved_left;
  guint64 overdue_pass;
  guint overdue;
  double slowness;
  guint faults;
};

/**
 * struct bts_fleet_t - all workers
 * @workers: id to bts_worker_t
 * @pools: interned service to a GPtrArray of its bts_worker_t
 */
typedef struct
{
  GHashTable *workers;
  GHashTable *pools;
} bts_fleet_t;

/**
 * enum bts_entry_change_t - what an entry changed
 */
typedef enum
{
  BTS_ENTRY_SAME,
  BTS_ENTRY_NEW,
  BTS_ENTRY_CHANGED,
  BTS_ENTRY_REBORN,
} bts_entry_change_t;

void bts_fleet_init (bts_fleet_t *fleet);
void bts_fleet_clear (bts_fleet_t *fleet);
bts_worker_t *bts_fleet_worker (const bts_fleet_t *fleet, const char *id);
const GPtrArray *bts_fleet_pool (const bts_fleet_t *fleet, const char *service);
bts_entry_change_t bts_fleet_enter (bts_fleet_t *fleet, bts_entry_t *entry);

void bts_fleet_remove (bts_fleet_t *fleet, const char *id);
void bts_fleet_add_held (bts_fleet_t *fleet, const Bts__Held *held, gint64 now_us);

void bts_worker_reset (bts_worker_t *worker);
void bts_worker_heard (bts_worker_t *worker, gint64 clock_ms, gint64 now_us);
gint64 bts_worker_clock_ms (const bts_worker_t *worker, gint64 now_us);
gint64 bts_lease_longest_us (gint64 lease_ms);
gint64 bts_worker_expiry_us (const bts_worker_t *worker);
bts_room_t bts_worker_capacity (const bts_worker_t *worker);
gboolean bts_worker_has_room (const bts_worker_t *worker, const bts_room_t *used,
                              const bts_room_t *room);
guint bts_worker_count_fitting (const bts_worker_t *worker, const bts_room_t *used,
                                const bts_room_t *room);
gboolean bts_worker_has_label (const bts_worker_t *worker, const char *label);
bts_run_t *bts_worker_find (const bts_worker_t *worker, const char *name, guint number);
void bts_worker_add (bts_worker_t *worker, bts_run_t *run);
void bts_worker_remove (bts_worker_t *worker, bts_run_t *run);

#endif
