#ifndef BTS_SCHED_PRIVATE_H
#define BTS_SCHED_PRIVATE_H

#include "libbamboothread/scheduler/sched.h"
#include "libbamboothread/scheduler/speed.h"

/* Lease asked for at workers, in milliseconds: outlives the takeover after a kill
   (BTS_ELECTION_TIMEOUT_US and one round of holds) and still frees a lost worker's
   tasks soon. */
#define BTS_LEASE_MS 3000

/**
 * struct bts_pending_end_t - an end on its way into the journal
 * @worker: id of the worker that listed it
 * @generation: of that worker
 * @seq: number of the end there
 * @end: the record's part; NULL if it doesn't count and only waits for its turn
 * @heartbeat: the beat that carried it last; 0 before the first
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
 * struct bts_sched_t - the owner's part of a process
 * @term: the term that it leads; 0 if it doesn't
 * @runs: serial to bts_run_t
 * @queue: bts_stage_t with tasks to be placed
 * @recurring: bts_job_t with occurrences to come
 * @prefetch: bts_stage_t to ask advice about before their turn
 * @pending_ends: bts_pending_end_t in the order of the lists
 * @pending_begun: numbers of jobs whose first start isn't in the journal
 * @pending_held: Bts__Held of workers that the journal doesn't tell of yet
 * @pending_released: ids of workers that aren't held any longer
 * @pending_heartbeat: the beat that carried the first @begun_sent, @held_sent and
 *   @released_sent of them last
 * @append_ms: time that the newest append took, told in beats
 * @heartbeat_number: number of the newest beat
 * @heartbeat_sent_us: when it was sent
 * @heartbeat_in_flight: it hasn't come back yet
 * @confirmed_us: when the newest beat that came back was sent
 * @term_began_us: when the term began
 * @earlier_leases_end_us: when every lease of an earlier owner has run out
 * @settled: nothing that an earlier owner started is unknown any more
 * @journal_stale: nothing is started before the journal has been read again
 * @members: the processes, which may ask for advice
 * @advice_requests: questions to the advice service so far
 * @advice_nodes_busy_us: until when no process is free for a short or a long question
 * @speed: how fast the kinds of worker are
 * @speed_applied_us: when that was last applied to the workers
 * @dirty: a pass over the queue may place something
 * @last_pass_us: when the last one was
 * @pass_number: its number
 * @unsynced: in a pass, the workers on which unknown runs of earlier owners may be
 * @snapshot_checked_us: when it was last looked for what the log will delete
 * @standing_written_us: when the owner was last written once more
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
  GPtrArray *queue;
  GPtrArray *recurring;
  GPtrArray *prefetch;
  GPtrArray *pending_ends;
  GArray *pending_begun;
  GPtrArray *pending_held;
  GPtrArray *pending_released;
  guint append_ms;
  guint64 pending_heartbeat;
  guint begun_sent;
  guint held_sent;
  guint released_sent;
  guint64 heartbeat_number;
  gint64 heartbeat_sent_us;
  gboolean heartbeat_in_flight;
  gint64 confirmed_us;
  gint64 term_began_us;
  gint64 earlier_leases_end_us;
  gboolean settled;
  gboolean journal_stale;
  bts_members_t *members;
  guint advice_requests;
  gint64 advice_nodes_busy_us[2];
  bts_speed_t *speed;
  gint64 speed_applied_us;
  gboolean dirty;
  gint64 last_pass_us;
  guint64 pass_number;
  GPtrArray *unsynced;
  gint64 snapshot_checked_us;
  gint64 standing_written_us;
};

gboolean bts_advice_ensure (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_renew (bts_sched_t *sched, bts_stage_t *stage, gint64 needed_us, gint64 now_us);
void bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_prefetch (bts_sched_t *sched, bts_stage_t *stage);
void bts_advice_tick (bts_sched_t *sched);

gint64 bts_sched_now (const bts_sched_t *sched);
gboolean bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us);
gboolean bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us);

gint64 bts_sched_max_earlier_lease_ms (const bts_sched_t *sched, const bts_worker_t *worker);
gint64 bts_sched_renew_lease (bts_sched_t *sched, bts_worker_t *worker);
void bts_sched_enqueue (bts_sched_t *sched, bts_stage_t *stage);
void bts_sched_enqueue_next (bts_sched_t *sched, const bts_stage_t *stage);
void bts_sched_enqueue_job (bts_sched_t *sched, bts_job_t *job);

bts_run_t *bts_run_new (bts_sched_t *sched, bts_task_t *task, const char *name, guint number,
                        const bts_resources_t *room, bts_worker_t *worker);
void bts_run_free (bts_run_t *run);
void bts_run_remove (bts_sched_t *sched, bts_run_t *run);
void bts_run_start (bts_sched_t *sched, bts_run_t *run);
void bts_run_stop (bts_sched_t *sched, bts_run_t *run);
void bts_run_mark_lost (bts_sched_t *sched, bts_run_t *run, const char *cause);
void bts_run_tick (bts_sched_t *sched, bts_run_t *run);
void bts_gang_stop (bts_sched_t *sched, bts_stage_t *stage);

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
void bts_pending_end_free (gpointer data);
void bts_held_free (gpointer data);

#endif
