#ifndef BTS_SCHED_H
#define BTS_SCHED_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/fleet.h"
#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/members.h"

/*
 * The owner's part: holds the workers, starts and stops runs, journals ends.
 * It does nothing outside its own term. No sockets: orders go out by the
 * callbacks and their answers come in by the functions below.
 */

typedef struct bts_sched_t bts_sched_t;

/**
 * struct bts_hold_order_t - keep a worker's lease and ask for its lists
 * @deadline_ms: lease on the worker's clock; 0 leaves it as it is
 * @ack_seq: ends up to this number may be forgotten
 * @wait_ms: the answer may wait so long for an end
 */
typedef struct
{
  guint64 fence;
  gint64 deadline_ms;
  guint64 ack_seq;
  guint wait_ms;
} bts_hold_order_t;

/**
 * struct bts_start_order_t - start a run
 * @ticket: leave of the advice service, or NULL
 */
typedef struct
{
  guint64 fence;
  gint64 deadline_ms;
  const char *ticket;
} bts_start_order_t;

/**
 * enum bts_reply_t - what became of an order
 * @BTS_REPLY_NO_ANSWER: no answer; it may have been carried out or may be later
 * @BTS_REPLY_FENCED: the worker has heard of a later owner
 * @BTS_REPLY_STALE_RUN: the run's number is not above that of one ended there
 * @BTS_REPLY_LEASE_EXPIRED: the lease in the order was over
 * @BTS_REPLY_NO_ROOM: the worker is full
 * @BTS_REPLY_BAD_TICKET: the ticket is missing or too old
 * @BTS_REPLY_BUSY: not done, may be asked again
 * @BTS_REPLY_WRONG_WORKER: the worker that was meant is gone
 * @BTS_REPLY_INVALID: refused for its form
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
 * struct bts_listed_run_t - a row of a worker's list of what runs
 * @checkpoint: newest checkpoint, or empty
 * @percent: share at which it works
 */
typedef struct
{
  char *name;
  guint number;
  char *checkpoint;
  guint percent;
} bts_listed_run_t;

/**
 * struct bts_listed_end_t - a row of a worker's list of ends
 * @seq: number of the end in this life of the worker
 */
typedef struct
{
  guint64 seq;
  char *name;
  guint number;
  bts_run_outcome_t how;
  char *checkpoint;
} bts_listed_end_t;

/**
 * struct bts_listing_t - the answer to a hold
 * @running: bts_listed_run_t
 * @finished: bts_listed_end_t, by number
 */
typedef struct
{
  gint64 clock_ms;
  gint64 started_ms;
  GPtrArray *running;
  GPtrArray *finished;
} bts_listing_t;

void bts_listed_end_free (gpointer data);
bts_listing_t *bts_listing_new (void);
void bts_listing_free (bts_listing_t *listing);

/**
 * struct bts_sched_ops_t - where orders go
 * @hold: answered by bts_sched_on_hold_reply()
 * @start: answered by bts_sched_on_start_reply()
 * @stop: answered by bts_sched_on_stop_reply()
 * @append: a record for the journal; it may be lost, and comes back by the ledger
 * @request_advice: have a process, which takes messages at @address, ask which of some workers
 *   may run a stage; answered by bts_sched_on_advice()
 * @fenced: a worker or the journal knows a later owner
 * @now_unix_ms: the time of day
 *
 * None may call back into the scheduler before it returns.
 */
typedef struct
{
  void (*hold) (void *context, const bts_worker_t *worker, const bts_hold_order_t *order);
  void (*start) (void *context, const bts_run_t *run, const bts_start_order_t *order);
  void (*stop) (void *context, const bts_run_t *run, guint64 fence);
  void (*append) (void *context, const Bts__Record *record);
  void (*request_advice) (void *context, const char *node, const char *address,
                          const Bts__Ask *ask);
  void (*fenced) (void *context);
  gint64 (*now_unix_ms) (void *context);
} bts_sched_ops_t;

/**
 * struct bts_sched_config_t - limits of the owner
 * @hold_max_ms: longest lease that a worker grants
 * @early_ms: how much before its time an occurrence may start
 * @retention_ms: how long the log keeps records; 0 for ever
 */
typedef struct
{
  guint hold_max_ms;
  guint early_ms;
  guint retention_ms;
} bts_sched_config_t;

bts_sched_t *bts_sched_new (const bts_sched_config_t *config, const bt_clock_t *clock,
                            bts_ledger_t *ledger, bts_fleet_t *fleet, bts_members_t *members,
                            const bts_sched_ops_t *ops, void *context);
void bts_sched_free (bts_sched_t *sched);

void bts_sched_begin_term (bts_sched_t *sched, guint64 term, gint64 sure_us);
void bts_sched_end_term (bts_sched_t *sched);
gboolean bts_sched_is_leading (const bts_sched_t *sched);
gboolean bts_sched_is_settled (const bts_sched_t *sched, gint64 for_us);
gint64 bts_sched_lease_ms (const bts_sched_t *sched);
void bts_sched_set_journal_stale (bts_sched_t *sched, gboolean blind);
void bts_sched_set_append_ms (bts_sched_t *sched, guint append_ms);
void bts_sched_mark_dirty (bts_sched_t *sched);
void bts_sched_flush (bts_sched_t *sched);
void bts_sched_tick (bts_sched_t *sched);
void bts_sched_run_pass (bts_sched_t *sched);
void bts_sched_update_gauges (const bts_sched_t *sched);

void bts_sched_on_job_accepted (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_job_ended (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_run_ended (bts_sched_t *sched, bts_task_t *task, guint run,
                             bts_run_outcome_t how);
void bts_sched_on_advice (bts_sched_t *sched, const Bts__Ask *asked, const Bts__Advice *advice);
void bts_sched_on_heartbeat (bts_sched_t *sched, guint64 number);
void bts_sched_on_job_removed (bts_sched_t *sched, bts_job_t *job);
void bts_sched_on_worker_entry (bts_sched_t *sched, const char *worker, bts_entry_change_t change);

void bts_sched_on_hold_reply (bts_sched_t *sched, const char *worker, guint life, bts_reply_t reply,
                              const bts_listing_t *listing);
void bts_sched_on_start_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply,
                               gint64 clock_ms);
void bts_sched_on_stop_reply (bts_sched_t *sched, guint64 serial, bts_reply_t reply,
                              gint64 clock_ms);

#endif
