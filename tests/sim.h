#ifndef BT_TESTS_SIM_H
#define BT_TESTS_SIM_H

#include "libbamboothread/scheduler/node.h"
#include "libbamboothread/scheduler/read_window.h"

/*
 * A simulated installation on a paused clock: a log, workers, an advice service
 * and some processes of the scheduler, all in one test process. Messages take
 * time, and every fault is switched on by the test. Whatever the workers see is
 * checked as it happens; what breaks a promise is kept in @violations.
 */

typedef struct sim_t sim_t;

/* Delay of one message, in microseconds. */
#define SIM_DELAY_US 3000
/* Bounds of the simulated installation. */
#define SIM_HOLD_MAX_MS 6000
#define SIM_STOP_MS 300
#define SIM_GANG_TIMEOUT_MS 3000
/* Time from the start of a deadly task to the crash of its worker, unless the test gives one. */
#define SIM_DEADLY_US (10 * 1000)
/* Crashes of workers under a deadly task, and starts of it after them, that break BUDGET. */
#define SIM_BUDGET_CRASHES 3
#define SIM_BUDGET_STARTS 3
/* A process is in touch once neither it nor the store has been disturbed for this long. */
#define SIM_CONTACT_US (3000 * 1000)
/* A crash within this time of a start may be the task's doing. */
#define SIM_STARTUP_US (300 * 1000)
/* Longest time, while nothing but planned work goes on, that a task that lasts doesn't run. */
#define SIM_LOST_US (9000 * 1000)
/* Factor of a job's objective unless its policy names another one. */
#define SIM_STRETCH 2.0
/* Images of tasks that are slowed down, and of those that slow them down. */
#define SIM_SLOWED "slowed"
#define SIM_NOISY "noisy"
/* Size of the largest record that the log takes, and from which on a snapshot counts as large. */
#define SIM_RECORD_BYTES (256 * 1024)
#define SIM_LARGE_BYTES (16 * 1024)
#define SIM_REGIONS_MAX 4
/* Most ends in one list of a worker. */
#define SIM_LIST_ENDS_MAX 500

/* Time after which a version of the tables is in force at every process. */
#define SIM_APPLY_US (4000 * 1000)

/**
 * struct sim_tenant_t - a tenant
 * @cap: the most that it may have running; 0 for no limit
 * @previous: its cap in the version of the tables before, in force until @changed_us and
 *   %SIM_APPLY_US
 * @peak: the most that it had running when a task of it had just started
 * @listed: it is in the newest tables
 */
typedef struct
{
  char *name;
  double weight;
  bts_resources_t cap;
  bts_resources_t previous;
  gint64 changed_us;
  bts_resources_t peak;
  gboolean listed;
} sim_tenant_t;

/**
 * struct sim_run_t - a run on a simulated worker
 * @saved: checkpoint that it started from, or empty
 * @left_ms: work that it still has to do; negative for one that lasts
 * @image: that of its step
 */
typedef struct
{
  char *name;
  guint number;
  gint64 started_us;
  gint64 left_ms;
  gint64 done_ms;
  gint64 stop_us;
  gboolean gang;
  gboolean waiting;
  gboolean lasts;
  bts_resources_t room;
  const char *image;
  char *spec;
  char *saved;
} sim_run_t;

/**
 * sim_comeback_t - how a worker is back after a crash
 * @SIM_COMEBACK_NEW_ID: another worker answers at the same address
 * @SIM_COMEBACK_SAME_ID: the next incarnation has the same id
 */
typedef enum
{
  SIM_COMEBACK_NEW_ID,
  SIM_COMEBACK_SAME_ID,
} sim_comeback_t;

/**
 * struct sim_deadly_t - a task that crashes each worker that starts it
 * @after_us: time from its start to the crash; the reply to the start is lost if that is sooner
 * @starts: runs of it that have begun; an order that is repeated or refused begins none
 * @crashes: workers that have crashed with a run of it on them, for whatever cause
 * @late_starts: those of @starts that came after %SIM_BUDGET_CRASHES crashes, from a process in
 *   touch
 */
typedef struct
{
  gint64 after_us;
  guint starts;
  guint crashes;
  guint late_starts;
} sim_deadly_t;

/**
 * struct sim_worker_t - a simulated worker
 * @dark: calls to it get no answer and aren't carried out
 * @mute: calls to it are carried out and get no answer
 * @late_us: orders to start are carried out so much later and get no answer
 * @dead: nothing runs on it any more
 * @departed: another worker answers at its address
 * @refuses: it rejects all orders to start, and starts nothing
 * @fails: all that it starts fails after a while
 * @stalls: what runs on it makes no progress
 * @lapsed_us: when its lease was last seen to be over
 * @leaves_us: when it leaves, if it drains and says how much time is left; 0 otherwise
 * @cut_from: number of a process that can't reach it, or -1
 * @clock_rate: speed of its clock
 * @n_orders: orders to it that take up a channel
 * @queue: orders (sim_order_t) that wait for one
 */
typedef struct
{
  sim_t *sim;
  char *id;
  char *address;
  char *service;
  char *rack;
  bts_resources_t capacity;
  gint64 born_ms;
  gint64 born_us;
  double clock_rate;
  gint64 deadline_ms;
  gint64 lapsed_us;
  gint64 leaves_us;
  guint64 fence;
  guint64 last_end;
  guint64 acked;
  GPtrArray *runs;
  GPtrArray *finished;
  GHashTable *tombs;
  GPtrArray *holds;
  gboolean dark;
  gboolean mute;
  gint64 late_us;
  gboolean dead;
  gboolean departed;
  gboolean draining;
  gboolean unlisted;
  gboolean refuses;
  gboolean fails;
  gboolean stalls;
  gint cut_from;
  guint n_orders;
  GQueue queue;
} sim_worker_t;

/**
 * struct sim_node_t - a process of the scheduler
 * @read_failed: its last read of the log failed
 * @was_leading: it was the owner at its last tick
 * @flush_scheduled: it flushes its scheduler as soon as it has handled what has come in
 * @frozen: it does nothing until it is thawed
 * @busy_until_us: it handles what it has got until then
 * @cut: it can't reach the store
 * @late_append_us: its appends to the journal are done so much later and get no answer
 * @deaf: its reads of the log get no answer
 * @window: how much of the log it asks for, if links carry no more than so much
 * @entries_fail: its reads of the registry are refused
 * @next: the offset that it reads next
 * @spec_next: the offset that it reads next of the log of specs; -1 if it doesn't
 * @specs_polled: it looks for new ones
 * @batch: records that wait for the next call, if the log is serial
 * @batch_open: a call is on its way
 * @questions_open: messages of others that it has not replied to
 * @cpu_millis: its share of a processor, told as it starts
 * @job_memory_bytes: memory that jobs may take there, told as it starts; 0 for no limit
 * @disturbed_us: when it last was down, frozen, cut or deaf
 */
typedef struct
{
  sim_t *sim;
  guint index;
  guint life;
  char *name;
  bts_node_t *node;
  gboolean was_leading;
  gboolean flush_scheduled;
  gboolean read_failed;
  gboolean frozen;
  gint64 busy_until_us;
  gboolean cut;
  gint64 late_append_us;
  gboolean deaf;
  bts_read_window_t window;
  gboolean entries_fail;
  gint64 next;
  gint64 spec_next;
  gboolean specs_polled;
  GPtrArray *batch;
  gboolean batch_open;
  guint questions_open;
  guint cpu_millis;
  gsize job_memory_bytes;
  gint64 disturbed_us;
  gint64 advice_free_us;
  GPtrArray *held_back;
} sim_node_t;

/**
 * struct sim_t - the installation
 * @store_down: appends and reads get no answer
 * @store_refuses: appends and reads are refused
 * @lose_percent: share of appends that are done and not answered
 * @append_us: time of an append
 * @append_free_us: when the log will have got through its appends, if @append_serial
 * @lost_snapshots: so many large snapshots are lost on their way to the log
 * @append_serial: the log works on one call at a time and refuses those that would wait
 *   for too long; a process has one call open, and further records go with its next one
 * @keep_ms: how long the log keeps records, told to processes as they start; 0 for ever
 * @log_us: when each record landed
 * @log_first: records before this one have been deleted
 * @interference: whether processes that start from now learn which tasks slow each other down
 * @slowdown: how many times longer a task of image %SIM_SLOWED takes beside one of image
 *   %SIM_NOISY, if it isn't 0; a divisor of 10
 * @max_direct_appenders: with more processes jobs go through the owner; for processes that start
 * from now
 * @advised: jobs handed in need advice
 * @tenant: jobs handed in belong to it; NULL for none
 * @tenants: name to sim_tenant_t
 * @tables_version: version of the newest tables; 0 if there are none
 * @tables_us: time from the start of a process until it has read the tables
 * @advice_denies: it denies all workers that are there
 * @advice_percent: share of the workers that it allows for a step; 0 for three in four
 * @advice_calls: calls to the advice service
 * @advice_worker_us: time of a call for each worker that it names, beside the time of any call
 * @advice_extra_us: time that each call takes beyond what the policies of jobs say
 * @order_way_us: time of an order, or of its reply, on its way
 * @regions: number of regions over which the processes are spread; 0 if they know none
 * @link_kbps: what the link between each region and the log carries, in kilobits a second, and what
 *   the processes there read share; 0 for no limit
 * @link_free_us: by region, when its link has carried what was read so far
 * @link_queue_max_us: the longest that a read had to wait for a link
 * @log_read_bytes: bytes of records that processes have read from the log
 * @relayed_bytes: bytes of records that processes have got from other ones
 * @order_channels: most orders to one worker at a time; those beyond wait, and are given up
 *   unsent after some time; 0 for no limit
 * @start_stall_us: how long the machine is suspended while the next start order is sent
 * @order_us: processor time that a process takes to send a start order
 * @spent_us: processor time taken by the message that is being handled
 * @entries_us: time of the first read of the registry by a new owner
 * @entries_read_us: time of each read of the registry; the entries are those at its beginning
 * @specs: the log of specs
 * @messages: all messages between processes, by number
 * @violations: what broke a promise
 * @done: tasks of which a run has ended done
 * @done_us: run to when it ended done
 * @started: name of a task to when it was started last
 * @noted: tasks whose end of kind done has been taken note of
 * @deadly: name of each deadly task to its sim_deadly_t
 * @struck: name of a task to the number of workers that have crashed right after they had started
 * it
 * @lasting_seen_us: tasks that last, from when each of them is watched, to when it was last seen
 *   running; NULL if none is watched, see sim_watch_lasting()
 * @lasting_away_us: longest time for which one of them hasn't run so far
 * @store_disturbed_us: when the store last was down, slow or lost answers
 * @comeback: how workers are back after sim_crash_for_seconds(), and after a deadly task
 * @crashes: workers that have crashed
 * @alone: runs of gangs that have ended since the other members didn't come
 */
struct sim_t
{
  bt_clock_t clock;
  GRand *random;
  GPtrArray *log;
  GArray *log_us;
  GPtrArray *nodes;
  GPtrArray *workers;
  GPtrArray *jobs;
  GSequence *events;
  guint64 event_serial;
  gint64 unix_offset_ms;
  gboolean store_down;
  gboolean store_refuses;
  guint lose_percent;
  gint64 append_us;
  guint lost_snapshots;
  gboolean append_serial;
  gint64 append_free_us;
  gint64 late_append_us;
  guint keep_ms;
  gint64 log_first;
  gboolean interference;
  guint slowdown;
  guint max_direct_appenders;
  gboolean advised;
  const char *tenant;
  GHashTable *tenants;
  gint64 tables_version;
  gint64 tables_us;
  gboolean advice_denies;
  guint advice_percent;
  guint advice_calls;
  gint64 advice_worker_us;
  gint64 advice_extra_us;
  gint64 entries_us;
  gint64 entries_read_us;
  gint64 order_way_us;
  guint regions;
  guint link_kbps;
  gint64 link_free_us[SIM_REGIONS_MAX];
  gint64 link_queue_max_us;
  gsize log_read_bytes;
  gsize relayed_bytes;
  guint order_channels;
  gint64 start_stall_us;
  gint64 order_us;
  gint64 spent_us;
  guint64 exchange;
  GPtrArray *specs;
  GPtrArray *messages;
  GPtrArray *violations;
  GHashTable *answers;
  GHashTable *done;
  GHashTable *done_us;
  GHashTable *started;
  GHashTable *noted;
  GHashTable *deadly;
  GHashTable *struck;
  GHashTable *lasting_seen_us;
  gint64 lasting_away_us;
  gint64 store_disturbed_us;
  sim_comeback_t comeback;
  guint crashes;
  guint alone;
  guint starts;
};

/**
 * struct sim_job_t - a job that a test has handed in
 * @accepted_us: when it was accepted; 0 before
 * @cancelled_us: when its cancelling was confirmed, or it was said not to exist; 0 before
 * @cancel_answer: the answer to its cancelling
 * @tries: how often it was handed in
 * @started: a task of it has started
 * @deadly: a task of it is deadly
 */
typedef struct
{
  char id[BTS_JOB_ID_LEN + 1];
  guint64 exchange;
  guint64 cancel_exchange;
  gint64 accepted_us;
  gint64 refused_us;
  gint64 cancelled_us;
  bts_answer_t cancel_answer;
  guint tries;
  gboolean started;
  gboolean deadly;
  Bts__Accepted *accepted;
} sim_job_t;

/**
 * struct sim_step_t - a step of a job to hand in; zero fields are left out
 * @after: number of the step that it waits for, plus one
 * @label: label that the worker must have; each worker has "a" and its rack
 * @image: image of its tasks
 */
typedef struct
{
  guint count;
  guint cpu;
  guint memory;
  guint gpus;
  guint ms;
  guint after;
  gboolean gang;
  gboolean lasts;
  gboolean fills;
  gboolean saves;
  guint per_worker;
  guint target_ms;
  const char *label;
  const char *image;
} sim_step_t;

/**
 * struct sim_policy_t - the route of a job to hand in
 * @stretch: factor of the objective; 0 for %SIM_STRETCH
 * @repeat: how often the steps run, with @interval_ms between two; 0 for once
 * @due_in_ms: time until the first of these is due; negative if it was due before
 * @route: its name; NULL for one that all such jobs share
 */
typedef struct
{
  const char *service;
  guint priority;
  guint attempts;
  guint objective_ms;
  double stretch;
  guint repeat;
  guint interval_ms;
  gint64 due_in_ms;
  const char *route;
} sim_policy_t;

sim_t *sim_new (guint nodes, guint workers, guint32 seed);
void sim_free (sim_t *sim);
sim_worker_t *sim_worker (sim_t *sim, guint index);
sim_worker_t *sim_add_worker (sim_t *sim, const char *id, const char *service,
                              bts_resources_t room);
sim_node_t *sim_node (sim_t *sim, guint index);
sim_tenant_t *sim_set_tenant (sim_t *sim, const char *name, const bts_resources_t *cap,
                              double weight);
void sim_remove_tenant (sim_t *sim, const char *name);
void sim_publish_tables (sim_t *sim);
bts_resources_t sim_usage (const sim_t *sim, const char *tenant);
gint sim_owner (const sim_t *sim);
void sim_run_ms (sim_t *sim, gint64 ms);
sim_job_t *sim_submit (sim_t *sim, guint node, const sim_policy_t *policy, const sim_step_t *steps,
                       guint n);
sim_job_t *sim_resubmit (sim_t *sim, guint node, sim_job_t *job);
sim_deadly_t *sim_make_deadly (sim_t *sim, sim_job_t *job, guint step, guint index,
                               gint64 after_us);
void sim_cancel (sim_t *sim, guint node, sim_job_t *job);
bts_job_state_t sim_state (sim_t *sim, const sim_job_t *job);
guint sim_count_state (sim_t *sim, bts_job_state_t state);
void sim_kill (sim_t *sim, guint node);
void sim_start (sim_t *sim, guint node);
void sim_restart (sim_t *sim);
void sim_freeze (sim_t *sim, guint node);
void sim_thaw (sim_t *sim, guint node);
void sim_leave (sim_t *sim, guint node);
void sim_crash (sim_t *sim, sim_worker_t *worker);
void sim_drain (sim_t *sim, sim_worker_t *worker, gint64 remaining_ms);
void sim_crash_for_seconds (sim_t *sim, sim_worker_t *worker);
void sim_reborn (sim_t *sim, sim_worker_t *worker);
sim_worker_t *sim_replace (sim_t *sim, sim_worker_t *worker);
void sim_watch_lasting (sim_t *sim);
gboolean sim_is_allowed (const sim_t *sim, const char *step, const char *worker);
gboolean sim_looks_deadly (const sim_t *sim, const sim_job_t *job);
void sim_check (sim_t *sim);
guint sim_running (const sim_t *sim, const char *prefix);

#endif
