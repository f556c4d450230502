#ifndef BTS_SCHED_PRIVATE_H
#define BTS_SCHED_PRIVATE_H

#include "libbamboothread/scheduler/sched.h"
#include "libbamboothread/scheduler/speed.h"

/* Lease asked for at workers, in milliseconds: outlives the takeover after a kill
   (BTS_LEAD_SILENCE_US and one round of holds) and still frees a lost worker's
   tasks soon. */
#define BTS_LEASE_MS 3000

/**
 * struct bts_outgoing_t - an end on its way into the journal
 * @worker: id of the worker that listed it
 * @life: of that worker
 * @number: number of the end there
 * @end: the record's part; NULL if it doesn't count and only waits for its turn
 * @beat: the beat that carried it last; 0 before the first
 */
typedef struct
{
  char *worker;
  guint life;
  guint64 number;
  Bts__End *end;
  guint64 beat;
} bts_outgoing_t;

/**
 * struct bts_sched_t - the owner's part of a process
 * @term: the term that it leads; 0 if it doesn't
 * @runs: serial to bts_run_t
 * @waiting: bts_stage_t with tasks to be placed
 * @timed: bts_job_t with occurrences to come
 * @foreseen: bts_stage_t to ask advice about before their turn
 * @outgoing: bts_outgoing_t in the order of the lists
 * @begun: numbers of jobs whose first start isn't in the journal
 * @held: Bts__Held of workers that the journal doesn't tell of yet
 * @released: ids of workers that aren't held any longer
 * @begun_beat: the beat that carried the first @begun_sent, @held_sent and
 *   @released_sent of them last
 * @append_ms: time that the newest append took, told in beats
 * @beat: number of the newest beat
 * @beat_us: when it was sent
 * @beat_open: it hasn't come back yet
 * @confirmed_us: when the newest beat that came back was sent
 * @began_us: when the term began
 * @sure_us: when every lease of an earlier owner has run out
 * @settled: nothing that an earlier owner started is unknown any more
 * @blind: nothing is started before the journal has been read again
 * @members: the processes, which may ask for advice
 * @asked: questions to the advice service so far
 * @helpers_busy_us: until when no process is free for a short or a long question
 * @speed: how fast the kinds of worker are
 * @speed_us: when that was last applied to the workers
 * @dirty: a pass over the queue may place something
 * @pass_us: when the last one was
 * @pass: its number
 * @unheard: in a pass, the workers on which unknown runs of earlier owners may be
 * @keep_us: when it was last looked for what the log will delete
 * @standing_us: when the owner was last written once more
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
  GPtrArray *waiting;
  GPtrArray *timed;
  GPtrArray *foreseen;
  GPtrArray *outgoing;
  GArray *begun;
  GPtrArray *held;
  GPtrArray *released;
  guint append_ms;
  guint64 begun_beat;
  guint begun_sent;
  guint held_sent;
  guint released_sent;
  guint64 beat;
  gint64 beat_us;
  gboolean beat_open;
  gint64 confirmed_us;
  gint64 began_us;
  gint64 sure_us;
  gboolean settled;
  gboolean blind;
  bts_members_t *members;
  guint asked;
  gint64 helpers_busy_us[2];
  bts_speed_t *speed;
  gint64 speed_us;
  gboolean dirty;
  gint64 pass_us;
  guint64 pass;
  GPtrArray *unheard;
  gint64 keep_us;
  gint64 standing_us;
};

gboolean bts_advice_ready (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_renew (bts_sched_t *sched, bts_stage_t *stage, gint64 needed_us, gint64 now_us);
void bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us);
void bts_advice_foresee (bts_sched_t *sched, bts_stage_t *stage);
void bts_advice_tick (bts_sched_t *sched);

gint64 bts_sched_now (const bts_sched_t *sched);
gboolean bts_reserve_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us);
gboolean bts_preempt_for (bts_sched_t *sched, bts_stage_t *stage, guint open, gint64 now_us);

gint64 bts_sched_granted_ms (const bts_sched_t *sched, const bts_worker_t *worker);
gint64 bts_sched_deadline (bts_sched_t *sched, bts_worker_t *worker);
void bts_sched_wake (bts_sched_t *sched, bts_stage_t *stage);
void bts_sched_wake_after (bts_sched_t *sched, const bts_stage_t *stage);
void bts_sched_open_job (bts_sched_t *sched, bts_job_t *job);

bts_run_t *bts_run_new (bts_sched_t *sched, bts_task_t *task, const char *name, guint number,
                        const bts_room_t *room, bts_worker_t *worker);
void bts_run_free (bts_run_t *run);
void bts_run_drop (bts_sched_t *sched, bts_run_t *run);
void bts_run_start (bts_sched_t *sched, bts_run_t *run);
void bts_run_stop (bts_sched_t *sched, bts_run_t *run);
void bts_run_lost (bts_sched_t *sched, bts_run_t *run, const char *cause);
void bts_run_tick (bts_sched_t *sched, bts_run_t *run);
void bts_gang_break (bts_sched_t *sched, bts_stage_t *stage);

void bts_worker_tick (bts_sched_t *sched, bts_worker_t *worker);
void bts_worker_departed (bts_sched_t *sched, bts_worker_t *worker);
void bts_worker_gone (bts_sched_t *sched, bts_worker_t *worker, const char *cause);

void bts_beat_add (bts_sched_t *sched, const bts_worker_t *worker, const bts_finished_t *row,
                   bts_task_t *task);
void bts_beat_begun (bts_sched_t *sched, bts_job_t *job);
void bts_keep_tick (bts_sched_t *sched);

void bts_beat_held (bts_sched_t *sched, const bts_worker_t *worker);
void bts_beat_released (bts_sched_t *sched, const bts_worker_t *worker);
void bts_beat_tick (bts_sched_t *sched);
void bts_beat_clear (bts_sched_t *sched);
void bts_outgoing_free (gpointer data);
void bts_held_free (gpointer data);

#endif
