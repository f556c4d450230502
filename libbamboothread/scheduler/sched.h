#ifndef BTS_SCHED_H
#define BTS_SCHED_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/fleet.h"
#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/members.h"
#include "libbamboothread/scheduler/share.h"

/*
 * The scheduler of the process that owns the workers: renews their leases, places
 * tasks, starts and stops runs, and journals how they end. It is idle outside the
 * terms that its process leads. It opens no sockets: orders to workers go out through
 * callbacks, and the replies come back through the functions below.
 */

typedef struct bts_sched_t bts_sched_t;

/* A process that was stalled for this long, in microseconds, may have missed cancellations
   and a change of the owner. Normally it ticks every 10 to 50 ms. */
#define BTS_STALL_US (400 * 1000)

/**
 * struct bts_hold_order_t - order that renews a worker's lease and asks for its lists of runs
 * @fence: term of the owner
 * @deadline_ms: end of the lease on the worker's clock; 0 leaves the lease as it is
 * @ack_seq: the worker may forget ends up to this sequence number
 * @wait_ms: longest time that the worker may hold back its reply until a run ends
 */
typedef struct
{
  guint64 fence;
  gint64 deadline_ms;
  guint64 ack_seq;
  guint wait_ms;
} bts_hold_order_t;

/**
 * struct bts_start_order_t - order that starts a run
 * @fence: term of the owner
 * @deadline_ms: as in bts_hold_order_t
 * @ticket: permission from the advice service, or NULL if the service isn't asked
 */
typedef struct
{
  guint64 fence;
  gint64 deadline_ms;
  const char *ticket;
} bts_start_order_t;

/**
 * enum bts_reply_t - result of an order to a worker
 * @BTS_REPLY_OK: carried out
 * @BTS_REPLY_NO_ANSWER: no answer; the worker may have carried it out, or may do so later
 * @BTS_REPLY_FENCED: the worker knows an owner of a later term
 * @BTS_REPLY_STALE_RUN: a run of this task with the same or a higher number has ended there
 * @BTS_REPLY_LEASE_EXPIRED: the deadline in the order had passed
 * @BTS_REPLY_NO_ROOM: the worker lacks the resources
 * @BTS_REPLY_BAD_TICKET: the ticket is missing or has expired
 * @BTS_REPLY_BUSY: not carried out; the order may be retried
 * @BTS_REPLY_WRONG_WORKER: another worker answers at this worker's address
 * @BTS_REPLY_INVALID: rejected as malformed
 */
typedef enum
{
  BTS_REPLY_OK,
  BTS_REPLY_NO_ANSWER,
  BTS_REPLY_FENCED,
  BTS_REPLY_STALE_RUN,
  BTS_REPLY_LEASE_EXPIRED,
  BTS_REPLY_NO_ROOM,
  BTS_REPLY_BAD_TICKET,
  BTS_REPLY_BUSY,
  BTS_REPLY_WRONG_WORKER,
  BTS_REPLY_INVALID,
} bts_reply_t;

/**
 * struct bts_listed_run_t - entry of a worker's list of running tasks
 * @name: name of the task
 * @number: number of the run
 * @checkpoint: newest checkpoint, or empty
 * @percent: speed at which the task runs, in percent of full speed
 */
typedef struct
{
  char *name;
  guint number;
  char *checkpoint;
  guint percent;
} bts_listed_run_t;

/**
 * struct bts_listed_end_t - entry of a worker's list of ended runs
 * @seq: sequence number of the end, from 1 in each incarnation of the worker
 * @name: name of the task
 * @number: number of the run
 * @outcome: how it ended
 * @checkpoint: newest checkpoint, or empty
 */
typedef struct
{
  guint64 seq;
  char *name;
  guint number;
  bts_run_outcome_t outcome;
  char *checkpoint;
} bts_listed_end_t;

/**
 * struct bts_listing_t - a worker's reply to a hold order
 * @clock_ms: the worker's clock
 * @started_ms: Unix time at which the worker's process started; 0 if not given
 * @running: bts_listed_run_t
 * @finished: bts_listed_end_t in the order of their sequence numbers
 * @is_partial: the worker may have more ends than it has listed; it lists them once these are
 *   acknowledged
 */
typedef struct
{
  gint64 clock_ms;
  gint64 started_ms;
  GPtrArray *running;
  GPtrArray *finished;
  gboolean is_partial;
} bts_listing_t;

void bts_listed_end_free (gpointer data);
bts_listing_t *bts_listing_new (void);
void bts_listing_free (bts_listing_t *listing);

/**
 * struct bts_sched_ops_t - callbacks through which the scheduler acts
 * @hold: sends a hold order; the result comes to bts_sched_on_hold_reply()
 * @start: sends a start order; the result comes to bts_sched_on_start_reply()
 * @stop: sends a stop order; the result comes to bts_sched_on_stop_reply()
 * @append: appends a record to the journal; the record may get lost, otherwise it is
 *   read back through the ledger
 * @append_snapshot: the same for a record that holds what is in the journal already, which must not
 *   delay others
 * @snapshot_backlog: bytes of such records that wait to be sent
 * @request_advice: has the process @node, which receives messages at @address, ask the
 *   advice service which of the workers in @ask may run a stage; the reply comes to
 *   bts_sched_on_advice()
 * @fenced: a worker knows an owner of a later term; the process has to step down
 * @now_unix_ms: returns the Unix time in milliseconds
 *
 * A callback must not call the scheduler before it returns.
 */
typedef struct
{
  void (*hold) (void *context, const bts_worker_t *worker, const bts_hold_order_t *order);
  void (*start) (void *context, const bts_run_t *run, const bts_start_order_t *order);
  void (*stop) (void *context, const bts_run_t *run, guint64 fence);
  void (*append) (void *context, const Bts__Record *record);
  void (*append_snapshot) (void *context, const Bts__Record *record);
  gsize (*snapshot_backlog) (void *context);
  void (*request_advice) (void *context, const char *node, const char *address,
                          const Bts__Ask *ask);
  void (*fenced) (void *context);
  gint64 (*now_unix_ms) (void *context);
} bts_sched_ops_t;

/**
 * struct bts_sched_config_t - limits that the platform sets
 * @hold_max_ms: longest lease that a worker grants
 * @early_ms: how long before its due time an occurrence of a recurring job may start
 * @retention_ms: how long the log keeps records; 0 if it keeps them forever
 * @record_bytes: size of the largest record that the log takes
 * @urgent_quota_percent: largest share of a tenant's cap that is kept for its urgent work
 * @interference: whether to learn which tasks slow each other down, and to keep them apart
 */
typedef struct
{
  guint hold_max_ms;
  guint early_ms;
  guint retention_ms;
  gsize record_bytes;
  guint urgent_quota_percent;
  gboolean interference;
} bts_sched_config_t;

/**
 * struct bts_sched_view_t - what placement of a job would depend on
 * @paused: why nothing is started at all; NULL if tasks are
 * @queue: bts_stage_t with tasks to be placed
 * @fleet: the workers
 * @usage: what each tenant has running
 * @share: shares of the tenants
 * @pass: number of the last pass over the queue
 */
typedef struct
{
  const char *paused;
  const GPtrArray *queue;
  const bts_fleet_t *fleet;
  const bts_usage_t *usage;
  const bts_share_t *share;
  guint64 pass;
} bts_sched_view_t;

bts_sched_t *bts_sched_new (const bts_sched_config_t *config, const bt_clock_t *clock,
                            bts_ledger_t *ledger, bts_fleet_t *fleet, bts_members_t *members,
                            const bts_sched_ops_t *ops, void *context);
void bts_sched_free (bts_sched_t *sched);

void bts_sched_begin_term (bts_sched_t *sched, guint64 term, gint64 earlier_leases_end_us);
void bts_sched_end_term (bts_sched_t *sched);
gboolean bts_sched_is_leading (const bts_sched_t *sched);
gboolean bts_sched_is_settled (const bts_sched_t *sched, gint64 for_us);
gint64 bts_sched_lease_ms (const bts_sched_t *sched);
void bts_sched_set_journal_stale (bts_sched_t *sched, gboolean stale);
void bts_sched_on_entries_begun (bts_sched_t *sched);
void bts_sched_on_entries (bts_sched_t *sched, gboolean complete);
void bts_sched_set_tenants (bts_sched_t *sched, const bts_tenants_t *tenants, gint64 version);
void bts_sched_set_tables_known (bts_sched_t *sched, gboolean known);
void bts_sched_set_job_memory (bts_sched_t *sched, gsize bytes, gboolean has_spare);
guint bts_sched_count_runs (const bts_sched_t *sched);
void bts_sched_set_append_ms (bts_sched_t *sched, guint append_ms);
void bts_sched_mark_dirty (bts_sched_t *sched);
void bts_sched_flush (bts_sched_t *sched);
void bts_sched_tick (bts_sched_t *sched);
void bts_sched_run_pass (bts_sched_t *sched);
gboolean bts_sched_view (const bts_sched_t *sched, bts_sched_view_t *view);
gint64 bts_reserve_expect_us (const bts_sched_t *sched, const bts_stage_t *stage, guint n_tasks,
                              gint64 now_us);
void bts_sched_update_gauges (const bts_sched_t *sched);

void bts_sched_on_job_accepted (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_job_ended (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_run_ended (bts_sched_t *sched, bts_task_t *task, guint run,
                             bts_run_outcome_t outcome);
void bts_sched_on_advice (bts_sched_t *sched, const Bts__Ask *asked, const Bts__Advice *advice);
void bts_sched_on_advice_transferred (bts_sched_t *sched, const Bts__Advice *advice);
void bts_sched_on_readable (bts_sched_t *sched);
void bts_sched_on_heartbeat (bts_sched_t *sched, guint64 number);
void bts_sched_on_job_removed (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_worker_entry (bts_sched_t *sched, const char *id, bts_entry_change_t change);

void bts_sched_on_hold_reply (bts_sched_t *sched, const char *id, guint generation,
                              bts_reply_t reply, const bts_listing_t *listing);
void bts_sched_on_start_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply,
                               gint64 clock_ms);
void bts_sched_on_stop_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply,
                              gint64 clock_ms);

#endif
