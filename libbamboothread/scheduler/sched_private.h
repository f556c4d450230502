#ifndef BTS_SCHED_PRIVATE_H
#define BTS_SCHED_PRIVATE_H

#include "libbamboothread/scheduler/call_share.h"
#include "libbamboothread/scheduler/evacuate.h"
#include "libbamboothread/scheduler/rounds.h"
#include "libbamboothread/scheduler/sched.h"
#include "libbamboothread/scheduler/share.h"
#include "libbamboothread/scheduler/speed.h"
#include "libbamboothread/scheduler/usage.h"
#include "libbamboothread/scheduler/outbox.h"
#include "libbamboothread/scheduler/waiting.h"

/* Length of the lease that the owner requests from workers, in milliseconds. It outlasts
   a takeover after the owner was killed (BTS_ELECTION_TIMEOUT_US and one round of holds),
   and is short enough that the tasks of a lost worker are soon placed again. */
#define BTS_LEASE_MS 3000

/**
 * struct bts_pending_end_t - end of a run that isn't known to be in the journal yet
 * @worker: id of the worker that listed it
 * @generation: generation of that worker when it listed the end
 * @seq: sequence number of the end on that worker
 * @end: the end as it goes into a heartbeat; NULL if it doesn't count and only has to be
 *   acknowledged in order
 * @heartbeat: number of the heartbeat that carried it first; 0 if none has
 */
typedef struct
{
  char *worker;
  guint generation;
  guint64 seq;
  Bts__End *end;
  guint64 heartbeat;
} bts_pending_end_t;

/**
 * enum bts_report_kind_t - what heartbeats report beside ends and jobs that have begun
 * @BTS_REPORT_HELD: Bts__Held of workers that the owner holds
 * @BTS_REPORT_RELEASED: ids of workers that it has released
 * @BTS_REPORT_CRASHES: Bts__Crash
 * @BTS_REPORT_SILENT: Bts__Silent of workers that have fallen silent
 * @BTS_N_REPORTS: number of kinds
 */
typedef enum
{
  BTS_REPORT_HELD,
  BTS_REPORT_RELEASED,
  BTS_REPORT_CRASHES,
  BTS_REPORT_SILENT,
  BTS_N_REPORTS,
} bts_report_kind_t;

/**
 * struct bts_sent_heartbeat_t - a heartbeat that hasn't been read back from the journal
 * @number: its number
 * @sent_us: when it was sent
 * @n_begun: how many of the first jobs that have begun it carried
 * @n_reports: the same of the reports of each kind
 */
typedef struct
{
  guint64 number;
  gint64 sent_us;
  guint n_begun;
  guint n_reports[BTS_N_REPORTS];
} bts_sent_heartbeat_t;

/**
 * struct bts_advice_turns_t - turns of overdue stages among the requests for advice
 * @n_since: requests in the order of the queue since the last one for an overdue stage
 * @n_used: counts the requests for overdue stages
 */
typedef struct
{
  guint n_since;
  guint n_used;
} bts_advice_turns_t;

/**
 * struct bts_sched_t - state of the scheduler
 * @term: the term that this process leads; 0 if it isn't the owner
 * @serial: the newest serial number given to a run
 * @runs: serial number to bts_run_t
 * @outbox: start and stop orders
 * @queue: bts_stage_t with tasks to be placed
 * @recurring: recurring bts_job_t with occurrences still to come
 * @prefetch: bts_stage_t for which advice is requested before they can start
 * @pending_ends: bts_pending_end_t in the order in which workers listed them
 * @pending_begun: numbers of jobs that have begun while the journal doesn't say so yet
 * @reports: by kind, items that heartbeats have to report and the journal doesn't hold yet
 * @has_spare_memory: whether jobs take little memory
 * @job_bytes: memory that they take; reported in heartbeats
 * @append_ms: time that the newest append took; reported in heartbeats
 * @sent_heartbeats: bts_sent_heartbeat_t by rising number
 * @heartbeat_number: number of the newest heartbeat
 * @heartbeat_sent_us: when the newest heartbeat was sent
 * @heartbeat_in_flight: the newest heartbeat hasn't been read back from the journal yet
 * @confirmed_us: send time of the newest heartbeat of this term that was read back; 0 if none
 *   was
 * @term_began_us: when the term began
 * @earlier_leases_end_us: when all leases of earlier owners have expired
 * @calls_workers: workers are called: the owner has known all jobs in this term. One that never
 *   did would take note of ends that it can't record
 * @settled: all runs of earlier owners are known or have surely ended
 * @journal_stale: the journal has to be read to its end before anything is started
 * @entries_stale: no read of the registry has completed or failed in this term yet; nothing is
 *   started, since an entry may be of a worker that has left
 * @entries_began_us: when the read of the registry that is under way began; 0 if none is
 * @entries_known_us: when the newest read that has completed began, or the newest one failed
 * @members: the processes, any of which may ask for advice
 * @advice_requests: counts requests for advice; each begins with another worker of the pool
 * @advice_turns: turns of overdue stages with short (index 0) and long (index 1) calls
 * @call_share: how calls to the advice service are shared
 * @advice_nodes_busy_us: until when no process has capacity for a short (first index 0) or a long
 *   (1) call to the advice service, for a service that has to yield to others (second index 1) or
 *   hasn't
 * @speed: measured speed of the workers
 * @dirty: something has changed, so that a pass over the queue may place tasks
 * @last_pass_us: when the last pass ran
 * @rounds: rounds over the workers
 * @ticked_us: when the last tick was, or the term began
 * @next_pass_us: no pass before this time
 * @is_sending_behind: orders wait for this process, and not for replies
 * @pass_placing_us: time that the last pass has taken to place and start tasks
 * @pass_number: number of the last pass
 * @queue_unsorted: a stage was queued or has changed its band since the queue was last sorted
 * @unsynced: during a pass, the workers that may run tasks of earlier owners and haven't
 *   listed their runs to this owner yet
 * @short_services: services (interned) on whose workers tasks found no room in the last pass
 * @evacuation: room kept for tasks that move off workers that drain
 * @usage: what each tenant has running
 * @share: shares of the tenants
 * @next_assume_us: when to count again what may be running unlisted for each tenant
 * @waiting: the last report of what stages wait for
 * @next_gang_waits_us: when the next report of what gangs lack is due
 * @snapshot_checked_us: when the owner last checked which snapshots are due
 * @snapshot_reported_us: when it last reported one that is late
 * @oldest_needed: offset of the oldest record that a reader needs, at the last such check
 * @standing_sent_us: when the owner last appended a complete Standing record
 */
struct bts_sched_t
{
  bts_sched_config_t config;
  const bt_clock_t *clock;
  bts_ledger_t *ledger;
  bts_fleet_t *fleet;
  const bts_sched_ops_t *ops;
  void *context;
  guint64 term;
  guint64 serial;
  GHashTable *runs;
  bts_outbox_t *outbox;
  GPtrArray *queue;
  GPtrArray *recurring;
  GPtrArray *prefetch;
  GPtrArray *pending_ends;
  GArray *pending_begun;
  GPtrArray *reports[BTS_N_REPORTS];
  gboolean has_spare_memory;
  gsize job_bytes;
  guint append_ms;
  GArray *sent_heartbeats;
  guint64 heartbeat_number;
  gint64 heartbeat_sent_us;
  gboolean heartbeat_in_flight;
  gint64 confirmed_us;
  gint64 term_began_us;
  gint64 earlier_leases_end_us;
  gboolean calls_workers;
  gboolean settled;
  gboolean journal_stale;
  gboolean entries_stale;
  gint64 entries_began_us;
  gint64 entries_known_us;
  bts_members_t *members;
  guint advice_requests;
  bts_advice_turns_t advice_turns[2];
  bts_call_share_t *call_share;
  gint64 advice_nodes_busy_us[2][2];
  bts_speed_t *speed;
  gboolean dirty;
  gint64 last_pass_us;
  bts_rounds_t rounds;
  gint64 ticked_us;
  gint64 next_pass_us;
  gint64 pass_placing_us;
  gboolean is_sending_behind;
  guint64 pass_number;
  gboolean queue_unsorted;
  GPtrArray *unsynced;
  GPtrArray *short_services;
  bts_evacuation_t *evacuation;
  bts_usage_t *usage;
  bts_share_t *share;
  gint64 next_assume_us;
  bts_waiting_t waiting;
  gint64 next_gang_waits_us;
  gint64 snapshot_checked_us;
  gint64 snapshot_reported_us;
  gint64 oldest_needed;
  gint64 standing_sent_us;
};

gboolean bts_advice_ensure (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_renew (bts_sched_t *sched, bts_stage_t *stage, gint64 needed_us, gint64 now_us);
void bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_prefetch (bts_sched_t *sched, bts_stage_t *stage);
void bts_advice_tick (bts_sched_t *sched);

guint bts_quota_count_admitted (const bts_sched_t *sched, const bts_stage_t *stage, guint n_ready);
gboolean bts_quota_has_to_wait (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);

void bts_sched_report_waiting (bts_sched_t *sched);

gint64 bts_sched_now (const bts_sched_t *sched);
gboolean bts_sched_lacks_room (const bts_sched_t *sched, const char *service);
gint64 bts_sched_confirmed_us (const bts_sched_t *sched);
gboolean bts_sched_is_journal_stale (const bts_sched_t *sched);
gboolean bts_reserve_is_possible (const bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
gboolean bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us);
void bts_preempt_for_quota (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
bts_worker_t *bts_preempt_for_move (bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us);
gboolean bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint n_pending, gint64 now_us);

gint64 bts_sched_old_leases_expiry_us (const bts_sched_t *sched, const bts_worker_t *worker);
gboolean bts_sched_has_remnant (const bts_sched_t *sched, const bts_worker_t *worker);
gboolean bts_sched_may_run_unlisted (const bts_sched_t *sched, const bts_task_t *task);
gboolean bts_sched_may_run_any_unlisted (const bts_sched_t *sched, const bts_stage_t *stage);
void bts_sched_find_unlisted (bts_sched_t *sched);
void bts_sched_assume_unlisted (bts_sched_t *sched, gint64 now_us);
gboolean bts_sched_are_earlier_runs_known (const bts_sched_t *sched);
void bts_sched_log_settled (const bts_sched_t *sched);
gboolean bts_sched_may_have_unlisted_runs (const bts_sched_t *sched, const bts_worker_t *worker);
gint64 bts_sched_max_earlier_lease_ms (const bts_sched_t *sched, const bts_worker_t *worker);
gint64 bts_sched_renew_lease (bts_sched_t *sched, bts_worker_t *worker);
void bts_sched_enqueue (bts_sched_t *sched, bts_stage_t *stage);
void bts_sched_enqueue_next (bts_sched_t *sched, const bts_stage_t *stage);
void bts_sched_enqueue_job (bts_sched_t *sched, bts_job_t *job);

bts_run_t *bts_run_new (bts_sched_t *sched, bts_task_t *task, const char *name, guint number,
                        const bts_resources_t *resources, bts_worker_t *worker);
void bts_run_free (bts_run_t *run);
void bts_run_remove (bts_sched_t *sched, bts_run_t *run);
void bts_run_start (bts_sched_t *sched, bts_run_t *run);
void bts_sched_send_orders (bts_sched_t *sched);
gboolean bts_run_send_order (void *context, bts_order_kind_t kind, guint64 serial);
void bts_worker_withdraw_starts (bts_sched_t *sched, bts_worker_t *worker);
void bts_run_mark_begun (bts_sched_t *sched, bts_run_t *run, gint64 now_us);
void bts_run_mark_stopped (const bts_run_t *run);
void bts_run_stop (bts_sched_t *sched, bts_run_t *run);
void bts_run_mark_worker_lost (bts_sched_t *sched, bts_run_t *run, const char *cause);
void bts_run_mark_lost (bts_sched_t *sched, bts_run_t *run, const char *cause);
void bts_worker_repeat_orders (bts_sched_t *sched, bts_worker_t *worker);
void bts_run_stop_with_gang (bts_sched_t *sched, bts_run_t *run);
void bts_gang_stop (bts_sched_t *sched, bts_stage_t *stage);
void bts_gang_stop_if_incomplete (bts_sched_t *sched, bts_stage_t *stage);
void bts_gangs_stop_incomplete (bts_sched_t *sched);

void bts_worker_tick (bts_sched_t *sched, bts_worker_t *worker);
void bts_worker_mark_replaced (bts_sched_t *sched, bts_worker_t *worker);
void bts_worker_mark_lost (bts_sched_t *sched, bts_worker_t *worker, const char *cause);

void bts_heartbeat_add_end (bts_sched_t *sched, const bts_worker_t *worker,
                            const bts_listed_end_t *row, bts_task_t *task);
void bts_heartbeat_add_begun (bts_sched_t *sched, bts_job_t *job);
void bts_snapshot_tick (bts_sched_t *sched);

void bts_heartbeat_add_held (bts_sched_t *sched, const bts_worker_t *worker);
void bts_heartbeat_add_released (bts_sched_t *sched, const bts_worker_t *worker);
void bts_heartbeat_tick (bts_sched_t *sched);
void bts_heartbeat_clear (bts_sched_t *sched);
void bts_heartbeat_init (bts_sched_t *sched);
void bts_heartbeat_free (bts_sched_t *sched);
void bts_heartbeat_add_crash (bts_sched_t *sched, const bts_task_t *task);
void bts_heartbeat_add_silent (bts_sched_t *sched, const bts_worker_t *worker,
                               const GPtrArray *starting);
bts_task_t *bts_sched_find_task (const bts_sched_t *sched, const char *name);

#endif
