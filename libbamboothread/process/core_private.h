#ifndef BT_PROCESS_CORE_PRIVATE_H
#define BT_PROCESS_CORE_PRIVATE_H

#include "libbamboothread/process/core.h"
#include "libbamboothread/request/record.h"

/*
 * State that the modules of the core share. Each module has its own file and
 * functions bt_MODULE_VERB. The comment of a struct says which file writes it; a
 * member that another file writes says so. bt_job_t and bt_task_t are written by
 * most modules. A time without a unit is in microseconds of bt_core_t.clock.
 */

typedef struct bt_worker_t bt_worker_t;
typedef struct bt_job_t bt_job_t;
typedef struct bt_place_pool_t bt_place_pool_t;
typedef struct bt_lane_t bt_lane_t;

typedef struct bt_quota_pool_t bt_quota_pool_t;

/**
 * struct bt_account_t - usage of a pool by a team in this data centre; written by quota.c
 * @quota_pool: the pool
 * @weight: weight of the team in weighted dominant resource fairness
 * @may_borrow: whether it may use more than @entitled
 * @entitled: this data centre's part of the team's quota
 * @used: resources of its attempts
 * @dominant_share: dominant share of the pool that it uses, divided by @weight
 */
typedef struct
{
  const bt_quota_pool_t *quota_pool;
  GRefString *pool;
  GRefString *team;
  gint64 weight;
  gboolean may_borrow;
  bt_resources_t entitled;
  bt_resources_t used;
  double dominant_share;
} bt_account_t;

/**
 * struct bt_quota_pool_t - a pool in this data centre; written by quota.c
 * @capacity: capacity of all its VMs that the tables name
 * @live_capacity: capacity of those on which tasks may be started
 */
struct bt_quota_pool_t
{
  GRefString *name;
  bt_resources_t capacity;
  bt_resources_t live_capacity;
  GHashTable *accounts;
};

/**
 * struct bt_quotas_t - quotas of all pools; written by quota.c
 * @tables_version: version of the tables that they were computed from
 */
typedef struct
{
  GHashTable *pools;
  gint64 tables_version;
  gint64 next_live_count_at;
} bt_quotas_t;

/**
 * enum bt_wait_reason_t - why a queued job has not started
 * @BT_WAIT_NONE: it has not been tried yet, as other jobs are ahead of it, or its last try
 *   placed a task
 * @BT_WAIT_NO_ROOM: no VM has enough free resources
 * @BT_WAIT_AT_QUOTA: its team is at its quota and may not borrow
 * @BT_WAIT_NOT_READY: it may not be tried: a retry is not due, an earlier owner may have started
 *   it, the tables lack its route, tasks of its gang are still placed, or it is a gang or not
 *   idempotent and the journal is not caught up
 */
typedef enum
{
  BT_WAIT_NONE,
  BT_WAIT_NO_ROOM,
  BT_WAIT_AT_QUOTA,
  BT_WAIT_NOT_READY,
} bt_wait_reason_t;

/**
 * struct bt_queue_pool_t - queued jobs of a pool; written by queue.c
 * @open_lanes: lanes whose first job may be tried; the others are blocked until room is freed
 * @n_placements: tasks placed so far
 * @reserved_for: an aged job for which @reserved_worker is reserved, or NULL
 * @reserved_worker: name of that worker
 */
typedef struct
{
  GRefString *name;
  GPtrArray *lanes;
  GPtrArray *open_lanes;
  guint n_queued;
  guint n_placements;
  bt_job_t *reserved_for;
  GRefString *reserved_worker;
} bt_queue_pool_t;

/**
 * struct bt_queue_route_t - queued jobs of a route; written by queue.c
 * @queued_by_caller: number of queued jobs by caller
 */
typedef struct
{
  GRefString *name;
  guint n_queued;
  guint n_lanes;
  GHashTable *queued_by_caller;
} bt_queue_route_t;

/**
 * struct bt_queue_t - all queued jobs; written by queue.c
 * @parked: jobs that may not be tried yet, such as those in backoff
 * @current_lane: the lane whose first job is being placed
 * @next_unpark: when parked jobs are next checked for being ready
 * @next_open: when blocked lanes are next opened again
 * @next_expiry: when queued jobs are next checked for a deadline that has passed
 */
typedef struct
{
  GHashTable *pools;
  GHashTable *lanes;
  GHashTable *routes;
  GQueue parked;
  bt_lane_t *current_lane;
  gint64 next_unpark;
  gint64 next_open;
  gint64 next_expiry;
} bt_queue_t;

/**
 * struct bt_member_t - another daemon; written by member.c
 * @data_centre: its data centre, or "" before its first heartbeat
 * @heard_at: when it was last heard from, directly or by a relay, in microseconds
 * @leading: whether it reports that it owns its data centre's workers
 * @heard_leading_at: when this daemon first heard that it leads
 * @is_relay: whether it exchanges heartbeats with other data centres
 * @term: its term in its data centre's job stream, or 0 while it doesn't lead or its term is not
 *   known
 * @lead_since: by its own clock, when it became owner; identifies that ownership
 * @pools: &struct Bt__PoolSummary of each pool, as it last reported them
 */
typedef struct
{
  GRefString *name;
  GRefString *address;
  GRefString *data_centre;
  GRefString *region;
  guint64 incarnation;
  gint64 heard_at;
  gboolean alive;
  gboolean leading;
  gint64 heard_leading_at;
  gboolean is_relay;
  gboolean leaving;
  guint64 term;
  gint64 lead_since;
  gint64 tables_version;
  GPtrArray *pools;
} bt_member_t;

/**
 * struct bt_contact_t - an address at which a daemon is or was reachable; written by contact.c
 * @data_centre: its data centre, or "" if it is not known
 * @heard_at: when any daemon last heard from it, in microseconds
 * @is_seed: whether the settings name it, so that it is never removed
 */
typedef struct
{
  GRefString *address;
  GRefString *data_centre;
  gint64 heard_at;
  gboolean is_seed;
} bt_contact_t;

/**
 * struct bt_members_t - all known daemons; written by member.c
 * @contacts: all known addresses; written by contact.c
 * @heartbeat_rounds: rounds of heartbeats sent
 * @pools_due: whether the next round includes the summaries of the pools
 */
typedef struct
{
  GHashTable *by_name;
  GHashTable *contacts;
  gint64 next_heartbeat;
  gint64 last_tick;
  guint64 heartbeat_rounds;
  gboolean pools_due;
} bt_members_t;

/**
 * enum bt_attempt_phase_t - phase of an attempt
 * @BT_PHASE_RECORDING: its record is being appended to the log; its start is not sent yet
 * @BT_PHASE_SENT: its start is sent to the worker; no reply yet
 * @BT_PHASE_RUNNING: its worker has confirmed it
 * @BT_PHASE_UNCERTAIN: its start is sent, and the reply is lost
 * @BT_PHASE_ADOPTED: recorded by an earlier owner; it isn't known whether it runs
 */
typedef enum
{
  BT_PHASE_RECORDING,
  BT_PHASE_SENT,
  BT_PHASE_RUNNING,
  BT_PHASE_UNCERTAIN,
  BT_PHASE_ADOPTED,
} bt_attempt_phase_t;

/**
 * struct bt_attempt_t - an attempt to run a task; written by job.c, sched.c, result.c and recover.c
 * @worker: its worker, or NULL if only @worker_name is known
 * @recorded: whether the log holds its record
 * @stopping: whether an order to stop or checkpoint it is to be sent or was sent; written by
 *   stop.c, as are @throttled and the members stop_*
 * @sent_at: when its start was sent, in microseconds
 * @need: resources that it takes on its worker
 * @account: the account that it is charged to, or NULL; written by quota.c
 * @urgent: whether it was charged as urgent work; written by quota.c
 * @throttled: whether an order to throttle it is to be sent or was sent
 * @stop_mode: the newest order, if @stopping or @throttled
 * @stop_since: when the first order to stop or checkpoint it was given
 * @stop_retry_at: when that order is repeated
 * @is_probe: whether it probes a worker that left quarantine; written by health.c
 */
typedef struct
{
  GRefString *id;
  bt_job_t *job;
  guint task;
  bt_worker_t *worker;
  GRefString *worker_name;
  bt_attempt_phase_t phase;
  gboolean recorded;
  gboolean stopping;
  gboolean urgent;
  gint64 sent_at;
  bt_resources_t need;
  bt_account_t *account;
  gboolean throttled;
  gboolean is_probe;
  bt_stop_mode_t stop_mode;
  gint64 stop_since;
  gint64 stop_retry_at;
} bt_attempt_t;

/**
 * enum bt_task_state_t - state of a task
 * @BT_TASK_WAITING: it has no attempt and is to be placed
 * @BT_TASK_PLACED: it has an attempt
 * @BT_TASK_ENDED: no further attempt is made
 */
typedef enum
{
  BT_TASK_WAITING,
  BT_TASK_PLACED,
  BT_TASK_ENDED,
} bt_task_state_t;

/**
 * struct bt_task_t - a task of a job
 * @n_attempts: attempts so far
 * @end_recorded: whether the log holds its end
 * @failed: whether the log holds that it failed and is not retried
 * @answer: its answer, or NULL
 */
typedef struct
{
  bt_task_state_t state;
  bt_attempt_t *attempt;
  guint n_attempts;
  gboolean end_recorded;
  gboolean failed;
  GBytes *answer;
} bt_task_t;

/**
 * enum bt_job_state_t - state of a job
 * @BT_JOB_RECORDING: the record of its acceptance is being appended to the log
 * @BT_JOB_OPEN: some of its tasks have not ended
 * @BT_JOB_ENDED: its outcome is known
 */
typedef enum
{
  BT_JOB_RECORDING,
  BT_JOB_OPEN,
  BT_JOB_ENDED,
} bt_job_state_t;

/**
 * struct bt_job_t - a request, as the daemons of its home data centre hold it
 *
 * The owner schedules it. The other daemons have it from the log, if it is recorded there.
 *
 * @core: the core that it belongs to
 * @request: the request, or NULL if the job is known from a worker's report only
 * @route: name of its route, or NULL
 * @pool: its route's pool, or NULL while the tables don't have its route
 * @durable: whether its acceptance has to be recorded in the log
 * @recorded: whether a record of it has been read back from the log
 * @may_have_run: whether an earlier owner may have run it
 * @cancelled: whether its caller or an operator has cancelled it
 * @end_recorded: whether the log holds its end
 * @need: resources that each of its tasks needs
 * @n_failures: how often its tasks failed
 * @not_before: none of its tasks is placed before this time, because of a retry's backoff
 * @max_retries: failures up to which its tasks are retried; a service's always are
 * @packing_weight: its route's weight of tight packing
 * @waiting_weight: its route's weight of an early start
 * @rack_spread: whether its tasks are spread over racks
 * @queue_link: link in the list of parked jobs; its data is NULL while the job is not queued
 * @lane: the lane that it is queued in, also while @parked
 * @lane_iter: its position in the lane, or NULL while it is parked
 * @turn: its turn among the callers of the lane
 * @wait_reason: why it was not placed when it was last tried
 * @account: its team's account in its pool, or NULL
 * @reservation_id: its reservation of workers, or 0; written by gang.c
 * @next_reserve_at: it makes no new reservation before this time
 * @n_preemptions: how often its tasks were preempted
 * @failed_on: names of workers on which its tasks failed recently, or NULL
 * @waiters: names of the daemons whose callers wait for it
 * @answer: its answer once it has ended, or NULL
 * @detail: text that explains its outcome, or NULL
 * @tables_version: version of the tables when it was created
 * @rewrite_link: link in the journal's rewrite queue; its data is NULL while it is not in it
 */
struct bt_job_t
{
  bt_core_t *core;
  GRefString *id;
  bt_request_t *request;
  GRefString *route;
  GRefString *team;
  GRefString *pool;
  bt_class_t work_class;
  gboolean idempotent;
  gboolean durable;
  gboolean recorded;
  gboolean may_have_run;
  gboolean cancelled;
  gboolean end_recorded;
  bt_job_state_t state;
  bt_resources_t need;
  bt_task_t *tasks;
  guint n_tasks;
  guint n_waiting;
  guint n_placed;
  guint n_ended;
  guint n_failures;
  gint64 submitted_at;
  gint64 deadline_at;
  gint64 not_before;
  gint64 started_at;
  gint64 ended_at;
  gint64 max_retries;
  double packing_weight;
  double waiting_weight;
  gboolean rack_spread;
  GList queue_link;
  bt_lane_t *lane;
  GSequenceIter *lane_iter;
  guint64 turn;
  gboolean parked;
  bt_wait_reason_t wait_reason;
  bt_account_t *account;
  guint64 reservation_id;
  gint64 next_reserve_at;
  guint n_preemptions;
  GPtrArray *failed_on;
  GPtrArray *waiters;
  bt_status_t status;
  bt_reason_t reason;
  GBytes *answer;
  char *detail;
  gint64 tables_version;
  GList rewrite_link;
};

/**
 * struct bt_place_entry_t - a worker's entry in the index of free resources; written by place.c
 * @pool: the index of its pool, or NULL while the tables do not name the worker
 * @bucket: number of its bucket in that index
 * @position: its position in the bucket
 * @rack: number of its rack in the pool
 * @urgent_reserve: resources that are reserved for urgent work
 */
typedef struct
{
  bt_place_pool_t *pool;
  guint bucket;
  guint position;
  guint rack;
  bt_resources_t urgent_reserve;
} bt_place_entry_t;

/**
 * struct bt_place_t - index of workers by free resources; written by place.c
 * @pools: &struct bt_place_pool_t by name of the pool
 */
typedef struct
{
  GHashTable *pools;
} bt_place_t;

/**
 * enum bt_health_state_t - health of a worker
 * @BT_HEALTH_GOOD: it gets any work
 * @BT_HEALTH_QUARANTINED: it gets no work
 * @BT_HEALTH_PROBED: it gets idempotent tasks only, one at a time
 */
typedef enum
{
  BT_HEALTH_GOOD,
  BT_HEALTH_QUARANTINED,
  BT_HEALTH_PROBED,
} bt_health_state_t;

/* Names of the states in bt_core_dump(). Operators read them, so they must not change:
 * BT_HEALTH_QUARANTINED is "resting" there. */
extern const char *const bt_health_names[];

/**
 * struct bt_worker_health_t - recent failures of a worker; written by health.c
 * @routes: ended and failed attempts by route, or NULL if there were none
 * @ended: attempts that ended on it, decayed over time
 * @failed: those of them that failed
 * @flaps: lapsed leases and restarts, decayed over time
 * @quarantines: number of quarantines, each longer than the one before; counted anew once it
 *   has been good for QUARANTINE_MAX_US since @good_since
 * @probe_successes: probes that succeeded since the last quarantine began
 * @probes_in_flight: probes that run on it now
 * @quarantine_until: when the quarantine ends and probing begins
 * @next_check: when it is compared with other workers again, if it is suspect
 * @good_since: when probing last ended with it good, by enough successes or after
 *   PROBING_MAX_US, or 0
 */
typedef struct
{
  bt_health_state_t state;
  GHashTable *routes;
  double ended;
  double failed;
  double flaps;
  guint quarantines;
  guint probe_successes;
  guint probes_in_flight;
  gint64 quarantine_until;
  gint64 next_check;
  gint64 good_since;
} bt_worker_health_t;

/**
 * struct bt_health_t - timer of the workers' health; written by health.c
 * @next_decay: when the counts of failures and flaps decay next
 */
typedef struct
{
  gint64 next_decay;
} bt_health_t;

/**
 * struct bt_worker_drain_t - why a worker is draining; written by drain.c
 * @reported_by_worker: whether the worker reports that it is leaving
 * @reported_by_platform: whether the platform lists its VM as leaving
 * @since: since when it is leaving or missing from the tables, or 0
 */
typedef struct
{
  gboolean reported_by_worker;
  gboolean reported_by_platform;
  gint64 since;
} bt_worker_drain_t;

/**
 * struct bt_drain_t - timer of draining; written by drain.c
 * @next_check: when tasks are next moved off draining workers
 */
typedef struct
{
  gint64 next_check;
} bt_drain_t;

/**
 * struct bt_stop_t - timer of stop orders; written by stop.c
 * @next_repeat: when orders are next checked for being due to be repeated
 */
typedef struct
{
  gint64 next_repeat;
} bt_stop_t;

/**
 * struct bt_feasibility_t - check of queued jobs against newer tables; written by feasibility.c
 * @tables_changed_at: when tables came into force that are not checked yet, or 0
 */
typedef struct
{
  gint64 tables_changed_at;
  gint64 next_check;
} bt_feasibility_t;

/**
 * struct bt_gang_t - reservations for gangs; written by gang.c
 * @reservations: reservation by name of the pool, at most one per pool
 */
typedef struct
{
  GHashTable *reservations;
  guint64 last_reservation_id;
} bt_gang_t;

/**
 * struct bt_preempt_t - preemptions in progress; written by preempt.c
 * @next_begin: no further preemption begins before this time
 */
typedef struct
{
  GPtrArray *active;
  gint64 next_begin;
} bt_preempt_t;

/**
 * struct bt_worker_t - a worker of this data centre; written by owner.c
 * @listed: whether the tables name it
 * @unlisted_at: when newer tables no longer named it
 * @earlier_sets: bits of the earlier sets of workers that it is in, see &struct bt_worker_set_t
 * @old_address_until: until when a VM of its name at another address may run attempts
 * @leaving: whether its VM is leaving; written by drain.c
 * @used: resources of all attempts on it; written by place.c
 * @used_urgent: resources of the attempts of urgent work on it; written by quota.c
 * @reserved_for: the aged job that it is reserved for, or NULL; written by queue.c
 * @boot: boot in the worker's last reply, which differs after each restart of the worker, or 0
 * @epoch: epoch of the lease that this daemon holds, or 0
 * @lease_until: until when that lease is certain to hold, in microseconds
 * @task_lease_until: until when its task lease is certain to hold, in microseconds
 * @attempts_over_at: when all attempts on it have certainly ended, unless a renewal is sent
 * @clock_ms: the worker's clock in its last reply
 * @clock_read_at: when that reply came
 * @prev_lease_sent_at: when the last answered lease request before the newest one was sent. The
 * worker counts a task lease from its clock of the last reply that this daemon received, which is
 * not before that time, so @task_lease_until is counted from it.
 * @lease_sent_at: when the newest lease request was sent, or the one before if it failed
 * @sent_claim: whether the newest lease request claimed a new epoch
 * @sent_task_lease: whether the newest lease request renewed the task lease
 * @synced: whether its full list of attempts has been imported; written by recover.c, too
 * @lease_lost: whether its lease lapsed or its VM was replaced
 * @needs_fencing: whether to claim a new epoch, so that starts in flight are refused
 * @acks: attempts whose end is to be acknowledged to it
 * @acks_sent: attempts acknowledged in lease requests that it has not granted yet
 * @reservation_id: the gang's reservation that it belongs to, or 0; written by gang.c
 * @reservation_start_at: when that gang is expected to start
 * @stops_to_send: ids of attempts for which orders are sent with the next tick; written by
 *   stop.c
 */
struct bt_worker_t
{
  GRefString *name;
  GRefString *address;
  GRefString *pool;
  GRefString *rack;
  gboolean listed;
  gint64 unlisted_at;
  guint32 earlier_sets;
  gint64 old_address_until;
  gboolean leaving;
  bt_resources_t capacity;
  bt_resources_t used;
  bt_resources_t used_urgent;
  const bt_job_t *reserved_for;
  gint64 boot;
  gint64 epoch;
  gint64 lease_until;
  gint64 task_lease_until;
  gint64 attempts_over_at;
  gint64 clock_ms;
  gint64 clock_read_at;
  gint64 prev_lease_sent_at;
  gint64 lease_sent_at;
  gint64 next_lease_send;
  gboolean lease_in_flight;
  gboolean sent_claim;
  gboolean sent_task_lease;
  gboolean synced;
  gboolean lease_lost;
  gboolean needs_fencing;
  GHashTable *attempts;
  GPtrArray *acks;
  GPtrArray *acks_sent;
  GPtrArray *stops_to_send;
  bt_place_entry_t place;
  bt_worker_health_t health;
  bt_worker_drain_t drain;
  guint64 reservation_id;
  gint64 reservation_start_at;
};

/* Maximum number of earlier sets of workers; each is a bit of bt_worker_t.earlier_sets. */
#define BT_WORKER_SETS_MAX 32

/**
 * struct bt_worker_set_t - the workers that earlier tables named; written by owner.c
 * @until: until when other daemons may still use those tables
 * @n: number of workers in the set
 */
typedef struct
{
  gint64 until;
  guint n;
} bt_worker_set_t;

/**
 * struct bt_owner_t - leases on the data centre's workers; written by owner.c
 * @earlier_sets: earlier sets of workers; an owner has to hold more than half of each
 * @is_candidate: whether this daemon should claim the workers
 * @leading: whether this daemon owns the workers: it is a candidate and holds more than half of
 *   them and of each earlier set in force
 * @settled: whether all attempts of earlier owners are known or have certainly ended
 * @lead_since: when it became owner; identifies this ownership to other daemons
 * @earlier_leases_end_at: when the task leases granted by earlier owners have expired
 * @next_claim: no worker is claimed before this time; two leases' time after it, a candidate that
 *   does not lead releases its workers
 */
typedef struct
{
  GHashTable *workers;
  bt_worker_set_t earlier_sets[BT_WORKER_SETS_MAX];
  gboolean is_candidate;
  gboolean leading;
  gboolean settled;
  gint64 lead_since;
  gint64 earlier_leases_end_at;
  gint64 next_claim;
  guint n_listed;
} bt_owner_t;

/**
 * struct bt_journal_t - the data centre's job stream; written by journal.c
 * @next: offset of the next record to read
 * @term: highest term seen
 * @own_term: this daemon's term while it leads, 0 before its record is read back
 * @caught_up: whether this daemon's own lead record has been read back
 * @available: FALSE from a failed read or append until a read succeeds
 * @pending: records to append
 * @in_flight: serialised records of the batch in flight, or NULL
 * @last_in_flight_id: id of the last record of that batch
 * @batch: number of the last append; a retry gets a new one
 * @sent_at: when the last batch was sent
 * @rewrite_queue: open jobs, ordered by when they were last written to the log completely
 * @next_rewrite: when the first of them is written to the log again
 * @next_append_at: no batch is sent before this time; G_MAXINT64 while an append is unanswered
 */
typedef struct
{
  char *stream;
  gint64 next;
  gint64 term;
  gint64 own_term;
  gboolean caught_up;
  gboolean read_in_flight;
  gboolean available;
  gint64 next_read_at;
  GQueue pending;
  GPtrArray *in_flight;
  GRefString *last_in_flight_id;
  guint64 batch;
  gint64 sent_at;
  GQueue rewrite_queue;
  gint64 next_rewrite;
  gint64 next_append_at;
  GHashTable *seen_ids;
  GQueue seen_ids_order;
  guint64 next_record_seq;
} bt_journal_t;

/**
 * struct bt_sched_t - jobs and attempts; written by sched.c
 * @jobs: &struct bt_job_t by id; written by job.c, too
 * @attempts: &struct bt_attempt_t by id; written by job.c
 * @next_sweep: when bt_sched_tick() next looks for jobs whose deadline has passed
 * @next_cleanup: when it next removes jobs that ended long ago
 */
typedef struct
{
  GHashTable *jobs;
  GHashTable *attempts;
  gint64 next_sweep;
  gint64 next_cleanup;
  guint64 attempt_counter;
} bt_sched_t;

/**
 * struct bt_route_estimate_t - statistics of a route's tasks; written by estimate.c
 * @run_us: smoothed run time, or 0 if none has ended
 * @mcpus_ratio: smoothed ratio of used to declared CPU
 * @memory_ratio: smoothed ratio of used to declared memory
 * @window_began_at: when the current window of starts began
 * @starts: starts in the previous and in the current window
 * @backlog_since: since when its queue has not been empty, or 0
 * @retry_tokens: tokens in its retry budget; a retry takes one
 */
typedef struct
{
  GRefString *name;
  double run_us;
  double mcpus_ratio;
  double memory_ratio;
  gint64 window_began_at;
  guint starts[2];
  gint64 backlog_since;
  double retry_tokens;
} bt_route_estimate_t;

/**
 * struct bt_admission_t - whether a request is admitted
 * @reason: reason of the refusal, or BT_REASON_NONE if it is admitted
 * @detail: the reason as text with its figures, to be freed, or NULL
 */
typedef struct
{
  bt_reason_t reason;
  guint32 retry_after_ms;
  char *detail;
} bt_admission_t;

/**
 * struct bt_home_candidate_t - a data centre that has VMs of a pool; written by home.c
 * @max_vm_capacity: for each resource, the largest capacity of any of those VMs
 */
typedef struct
{
  GRefString *data_centre;
  bt_resources_t max_vm_capacity;
} bt_home_candidate_t;

/**
 * struct bt_homes_t - data centres of each pool; written by home.c
 * @candidates_by_pool: arrays of bt_home_candidate_t by pool
 * @tables_version: version of the tables that they were computed from
 */
typedef struct
{
  GHashTable *candidates_by_pool;
  gint64 tables_version;
} bt_homes_t;

/**
 * struct bt_refusals_t - recently refused job ids; written by admit.c
 * @until_by_id: pointer into @ring_until by id: until when the id is remembered
 * @ring_ids: the same ids as a ring buffer
 * @ring_until: the times of @ring_ids
 * @n_added: ids added so far; modulo the size of the ring, the position of the next one
 */
typedef struct
{
  GHashTable *until_by_id;
  GRefString **ring_ids;
  gint64 *ring_until;
  gsize n_added;
} bt_refusals_t;

/**
 * struct bt_pending_request_t - a request whose caller waits at this daemon; written by entry.c
 * @home: the data centre whose owner has it
 * @sent_to: the daemon that it was last sent to, or NULL
 * @sent_lead_since: lead_since of that daemon when it was sent
 * @n_sends: how often it was sent to that daemon under the same lead_since
 * @awaiting_reply: whether that daemon may have admitted it
 * @may_have_run: whether an earlier owner than @sent_to may have run it
 * @refused_by: names of the data centres that have refused it, or NULL
 */
typedef struct
{
  GRefString *job;
  guint64 exchange;
  bt_request_t *request;
  GRefString *home;
  GRefString *sent_to;
  gint64 sent_lead_since;
  guint n_sends;
  GPtrArray *refused_by;
  gboolean may_have_run;
  gboolean awaiting_reply;
  gint64 submitted_at;
  gint64 next_send;
  gint64 give_up_at;
} bt_pending_request_t;

/**
 * struct bt_pending_query_t - a query that was sent to another daemon; written by entry.c
 * @number: its number, which the reply repeats
 * @exchange: number of the HTTP exchange that waits for the reply
 * @argument: id of a job, or name of a caller for BT_QUERY_LIST
 * @give_up_at: when it is answered without a reply
 */
typedef struct
{
  guint64 number;
  guint64 exchange;
  bt_query_t kind;
  GRefString *argument;
  gint64 give_up_at;
} bt_pending_query_t;

/**
 * struct bt_entry_t - requests and queries whose callers wait at this daemon; written by entry.c
 * @by_job: &struct bt_pending_request_t by id of the job; the latest if several have the same id
 * @by_exchange: &struct bt_pending_request_t by number of the HTTP exchange
 * @queries: &struct bt_pending_query_t by number
 * @id_counter: counter for new job ids and query numbers
 */
typedef struct
{
  GHashTable *by_job;
  GHashTable *by_exchange;
  GHashTable *queries;
  guint64 id_counter;
} bt_entry_t;

/**
 * struct bt_trace_entry_t - a scheduling decision; written by trace.c
 * @table_line: line of the tables that it follows from, such as "route term-lookup"
 */
typedef struct
{
  gint64 decided_at;
  GRefString *job;
  const char *action;
  char *table_line;
  gint64 tables_version;
  char *detail;
} bt_trace_entry_t;

/**
 * struct bt_trace_t - the latest scheduling decisions; written by trace.c
 * @ring: ring buffer of TRACE_ENTRIES_MAX entries
 * @n_added: entries added so far; modulo the size of the ring, the position of the next one
 */
typedef struct
{
  bt_trace_entry_t *ring;
  gsize n_added;
} bt_trace_t;

/**
 * struct bt_core_t - the core of a daemon; written by core.c
 * @owner_id: name and incarnation; identifies this run of the daemon to workers and in the log
 * @now: time at which the current call into the core began
 * @leaving: whether a planned shutdown has begun
 * @tables: the tables, as read from the log or adopted from a peer; tables.c writes them and the
 *   members tables_*
 * @tables_read_in_flight: whether a read of the stream of the tables is unanswered
 * @tables_caught_up: whether a read has reached the end of that stream
 * @tables_next_snapshot_at: when this daemon, if it leads, appends its next snapshot of the tables
 * @tables_own_snapshot_covered: offset up to which the snapshot that this daemon last wrote
 *   includes the stream
 * @tables_next_peer_request_at: no peer is asked for newer tables before this time
 * @tables_next_read_at: the stream is not read again before this time
 * @estimates: &struct bt_route_estimate_t by route; written by estimate.c
 */
struct bt_core_t
{
  bt_core_config_t config;
  char *name;
  char *address;
  char *data_centre;
  char *region;
  char *owner_id;
  const bt_clock_t *clock;
  GRand *rand;
  bt_core_ops_t ops;
  void *context;
  gint64 now;
  gint64 started_at;
  gboolean leaving;
  bt_counters_t counters;
  bt_fold_t tables;
  gboolean tables_read_in_flight;
  gboolean tables_caught_up;
  gint64 tables_next_snapshot_at;
  gint64 tables_own_snapshot_covered;
  gint64 tables_next_peer_request_at;
  gint64 tables_next_read_at;
  bt_members_t members;
  bt_owner_t owner;
  bt_journal_t journal;
  bt_place_t place;
  bt_health_t health;
  bt_drain_t drain;
  bt_stop_t stop;
  bt_feasibility_t feasibility;
  bt_gang_t gang;
  bt_preempt_t preempt;
  bt_sched_t sched;
  bt_quotas_t quota;
  bt_queue_t queue;
  GHashTable *estimates;
  bt_refusals_t refusals;
  bt_homes_t homes;
  bt_entry_t entry;
  bt_trace_t trace;
};

/* core.c */
void bt_core_send (bt_core_t *core, const char *address, Bt__Envelope *envelope);
void bt_core_send_to_member (bt_core_t *core, const char *name, Bt__Envelope *envelope);

/* contact.c */
void bt_contacts_init (bt_core_t *core);
void bt_contacts_clear (bt_core_t *core);
void bt_contacts_learn (bt_core_t *core, const char *address, const char *data_centre,
                        gint64 heard_at);
void bt_contacts_expire (bt_core_t *core);
void bt_contacts_sample (bt_core_t *core, GPtrArray *infos, guint max,
                         const char *preferred_data_centre);
void bt_contacts_learn_all (bt_core_t *core, Bt__MemberInfo *const *infos, gsize n);

/* member.c */
void bt_members_on_message (bt_core_t *core, const Bt__Envelope *envelope);
const bt_member_t *bt_members_find (const bt_core_t *core, const char *name);
void bt_members_init (bt_core_t *core);
void bt_members_clear (bt_core_t *core);
void bt_members_tick (bt_core_t *core);
void bt_members_announce (bt_core_t *core);
void bt_members_on_heartbeat (bt_core_t *core, const Bt__Envelope *envelope);
const bt_member_t *bt_members_find_alive (const bt_core_t *core, const char *name);
const bt_member_t *bt_members_find_leader (const bt_core_t *core, const char *data_centre);
gboolean bt_members_is_candidate (const bt_core_t *core);

/* tables.c */
void bt_core_tables_tick (bt_core_t *core);
void bt_core_tables_on_records (bt_core_t *core, gint64 first, const GPtrArray *records,
                                gint64 next);
void bt_core_tables_on_failed (bt_core_t *core, gint64 first_kept);
void bt_core_tables_on_peer (bt_core_t *core, const Bt__Envelope *envelope);

/* owner.c */
void bt_owner_init (bt_core_t *core);
void bt_owner_clear (bt_core_t *core);
void bt_owner_tick (bt_core_t *core);
void bt_owner_apply_tables (bt_core_t *core);
void bt_owner_on_lease_reply (bt_core_t *core, const char *name, const bt_lease_reply_t *reply);
void bt_owner_release (bt_core_t *core);
gboolean bt_owner_may_start (const bt_core_t *core, const bt_worker_t *worker);
void bt_owner_fence (bt_core_t *core, bt_worker_t *worker);
void bt_owner_ack (bt_core_t *core, bt_worker_t *worker, const char *attempt);
bt_worker_t *bt_owner_find_worker (const bt_core_t *core, const char *name);

/* journal.c */
void bt_journal_init (bt_core_t *core);
void bt_journal_clear (bt_core_t *core);
void bt_journal_tick (bt_core_t *core);
void bt_journal_remove_job (bt_core_t *core, bt_job_t *job);
void bt_journal_claim_term (bt_core_t *core);
void bt_journal_step_down (bt_core_t *core);
void bt_journal_append (bt_core_t *core, bt_record_t *record);
void bt_journal_on_append (bt_core_t *core, guint64 batch, gboolean stored);
void bt_journal_on_records (bt_core_t *core, gint64 first, const GPtrArray *records, gint64 next);
void bt_journal_on_failed (bt_core_t *core, gint64 first_kept);
bt_record_t *bt_journal_record_new (bt_core_t *core, bt_record_type_t type, const char *job);

/* job.c */
bt_job_t *bt_job_new (bt_core_t *core, const char *id);
void bt_job_free (gpointer data);
void bt_job_set_request (bt_job_t *job, const bt_request_t *request, const bt_route_t *route);
void bt_job_set_route (bt_job_t *job, const bt_route_t *route);
void bt_job_ensure_tasks (bt_job_t *job, guint n);
GBytes *bt_job_answer (const bt_job_t *job);
gboolean bt_job_end_needs_record (const bt_job_t *job);
void bt_job_add_waiter (bt_job_t *job, const char *member);
bt_attempt_t *bt_attempt_new (bt_core_t *core, bt_job_t *job, guint task, const char *id,
                              const char *worker_name);
gint64 bt_attempt_started_at (const bt_core_t *core, const bt_attempt_t *attempt);
void bt_attempt_bind (bt_attempt_t *attempt, bt_worker_t *worker, const bt_resources_t *need);
void bt_attempt_remove (bt_core_t *core, bt_attempt_t *attempt, bt_task_state_t task_state);
void bt_attempt_undo (bt_core_t *core, bt_attempt_t *attempt);
JsonNode *bt_job_to_json (const bt_core_t *core, const bt_job_t *job, gboolean whole);

/* quota.c */
void bt_quota_init (bt_core_t *core);
void bt_quota_clear (bt_core_t *core);
void bt_quota_tick (bt_core_t *core);
bt_account_t *bt_quota_get_account (bt_core_t *core, const char *pool, const char *team);
void bt_quota_charge (bt_attempt_t *attempt);
void bt_quota_credit (bt_attempt_t *attempt);
gboolean bt_quota_is_within_entitlement (bt_core_t *core, const bt_account_t *account,
                                         const bt_resources_t *need);
gboolean bt_quota_allows (bt_core_t *core, const bt_account_t *account, const bt_resources_t *need);
gboolean bt_quota_is_feasible (const bt_account_t *account, const bt_request_t *request);
void bt_quota_deduct_reserve (const bt_pool_t *pool, bt_class_t work_class,
                              bt_resources_t *capacity);
void bt_quota_available (const bt_core_t *core, const bt_job_t *job, const bt_worker_t *worker,
                         bt_resources_t *available);

/* queue.c */
void bt_queue_init (bt_core_t *core);
void bt_queue_clear (bt_core_t *core);
void bt_queue_tick (bt_core_t *core);
void bt_queue_push (bt_core_t *core, bt_job_t *job);
void bt_queue_remove (bt_core_t *core, bt_job_t *job);
guint bt_queue_length (const bt_core_t *core, const char *pool);
guint bt_queue_route_length (const bt_core_t *core, const char *route);
guint bt_queue_caller_length (const bt_core_t *core, const char *route, const char *caller);
guint bt_queue_count_callers (const bt_core_t *core, const char *route);
bt_job_t *bt_queue_next (bt_core_t *core);
void bt_queue_report_placement (bt_core_t *core, bt_job_t *job, gboolean placed);
void bt_queue_on_resources_freed (bt_core_t *core, const bt_worker_t *worker);
void bt_queue_clear_worker (bt_core_t *core, const bt_worker_t *worker);
void bt_queue_expire (bt_core_t *core, void (*expire) (bt_core_t *core, bt_job_t *job));
guint bt_queue_count_ahead (const bt_job_t *job);

/* estimate.c */
void bt_estimate_init (bt_core_t *core);
void bt_estimate_clear (bt_core_t *core);
void bt_estimate_on_task_started (bt_core_t *core, const bt_job_t *job);
void bt_estimate_set_backlog (bt_core_t *core, const char *route, gboolean has_queued);
void bt_estimate_on_usage_report (bt_core_t *core, const bt_attempt_t *attempt,
                                  const bt_attempt_report_t *report);
void bt_estimate_on_attempt_ended (bt_core_t *core, const bt_attempt_t *attempt);
gint64 bt_estimate_run_us (const bt_core_t *core, const bt_job_t *job);
gint64 bt_estimate_next_end_us (const bt_core_t *core, const char *route);
void bt_estimate_usage (const bt_core_t *core, const bt_job_t *job, bt_resources_t *used);
gint64 bt_estimate_wait_us (bt_core_t *core, const bt_route_t *route, const char *caller);
gint64 bt_estimate_pool_wait_us (bt_core_t *core, const char *pool);
gboolean bt_estimate_take_retry_token (bt_core_t *core, const char *route);

/* home.c */
void bt_home_init (bt_core_t *core);
void bt_home_clear (bt_core_t *core);
GRefString *bt_home_choose (bt_core_t *core, const bt_route_t *route, const bt_request_t *request);
GRefString *bt_home_choose_next (bt_core_t *core, const bt_route_t *route,
                                 const bt_request_t *request, const GPtrArray *tried);

/* admit.c */
void bt_admit_init (bt_core_t *core);
void bt_admit_clear (bt_core_t *core);
void bt_admit_note_refused (bt_core_t *core, const char *id, const bt_request_t *request);
gboolean bt_admit_was_refused (const bt_core_t *core, const char *id);
void bt_admit_refuse_duplicate (bt_admission_t *verdict);
void bt_admit_check (bt_core_t *core, const bt_route_t *route, const bt_request_t *request,
                     gint64 age_us, bt_admission_t *verdict);
guint32 bt_admit_retry_after_ms (bt_core_t *core, const bt_job_t *job);

/* explain.c */
GBytes *bt_explain_decisions (const bt_core_t *core, const char *job);
GBytes *bt_explain_waiting (bt_core_t *core, const bt_job_t *job);
char *bt_explain_not_ready (const bt_core_t *core, const bt_job_t *job, const char **change);

/* place.c */
void bt_place_init (bt_core_t *core);
void bt_place_clear (bt_core_t *core);
void bt_place_apply_tables (bt_core_t *core);
void bt_place_allocate (bt_worker_t *worker, const bt_resources_t *need);
void bt_place_release (bt_worker_t *worker, const bt_resources_t *need);
void bt_place_remove_worker (bt_worker_t *worker);
bt_worker_t *bt_place_find (bt_core_t *core, const bt_job_t *job, guint task);
gboolean bt_place_is_feasible (const bt_core_t *core, const bt_request_t *request,
                               const bt_pool_t *pool, bt_class_t work_class);

/* health.c */
void bt_health_tick (bt_core_t *core);
void bt_health_clear_worker (bt_worker_t *worker);
void bt_health_on_attempt_ended (bt_core_t *core, bt_worker_t *worker, const bt_attempt_t *attempt,
                                 gboolean failed);
void bt_health_on_flap (bt_core_t *core, bt_worker_t *worker);
gboolean bt_health_allows (const bt_worker_t *worker, const bt_job_t *job);
gboolean bt_health_is_suspect (const bt_worker_t *worker);
gboolean bt_health_has_failed_on (const bt_job_t *job, const bt_worker_t *worker);
void bt_health_on_attempt_bound (bt_attempt_t *attempt);
void bt_health_on_attempt_dropped (const bt_attempt_t *attempt);

/* drain.c */
void bt_drain_tick (bt_core_t *core);
void bt_drain_on_worker_report (bt_worker_t *worker, gboolean leaving);
void bt_drain_on_vm_list (bt_core_t *core, const GPtrArray *leaving);

/* stop.c */
void bt_stop_attempt (bt_core_t *core, bt_attempt_t *attempt, bt_stop_mode_t mode);
void bt_stop_tick (bt_core_t *core);

/* gang.c */
void bt_gang_init (bt_core_t *core);
void bt_gang_clear (bt_core_t *core);
void bt_gang_tick (bt_core_t *core);
gboolean bt_gang_place (bt_core_t *core, bt_job_t *job);
gboolean bt_gang_can_restart (const bt_core_t *core, const bt_job_t *job);
gboolean bt_gang_may_backfill (const bt_core_t *core, const bt_worker_t *worker,
                               const bt_job_t *job);

/* preempt.c */
void bt_preempt_init (bt_core_t *core);
void bt_preempt_clear (bt_core_t *core);
void bt_preempt_tick (bt_core_t *core);
void bt_preempt_try (bt_core_t *core, const bt_job_t *job);

/* feasibility.c */
void bt_feasibility_on_tables (bt_core_t *core);
void bt_feasibility_tick (bt_core_t *core);

/* sched.c */
void bt_sched_init (bt_core_t *core);
void bt_sched_clear (bt_core_t *core);
void bt_sched_tick (bt_core_t *core);
void bt_sched_run_pass (bt_core_t *core);
void bt_sched_submit (bt_core_t *core, const char *member, const char *id,
                      const bt_request_t *request, gboolean resent, gint64 age_us,
                      gint64 lead_since);
void bt_sched_on_caller_gone (bt_core_t *core, const char *member, const char *id);
void bt_sched_cancel (bt_core_t *core, bt_job_t *job);
void bt_sched_on_attempt_recorded (bt_core_t *core, bt_attempt_t *attempt);
void bt_sched_mark_attempt_lost (bt_core_t *core, bt_attempt_t *attempt, gboolean surely_not_run);
void bt_sched_end_job_if_complete (bt_core_t *core, bt_job_t *job);
void bt_sched_end_job (bt_core_t *core, bt_job_t *job, bt_status_t status, bt_reason_t reason,
                       GBytes *answer, const char *detail);
void bt_sched_record_abandoned (bt_core_t *core, const bt_attempt_t *attempt);
void bt_sched_requeue (bt_core_t *core, bt_job_t *job);
void bt_sched_notify_waiters (bt_core_t *core, bt_job_t *job);
void bt_sched_begin_attempt (bt_core_t *core, bt_job_t *job, guint task, bt_worker_t *worker);
bt_status_t bt_sched_unplaced_status (const bt_core_t *core, const bt_job_t *job);

/* result.c */
void bt_sched_on_start_reply (bt_core_t *core, const char *worker_name, const char *attempt_id,
                              const bt_start_reply_t *reply);
void bt_sched_on_stop_reply (bt_core_t *core, const char *worker_name,
                             const bt_stop_reply_t *reply);
void bt_sched_on_attempt_report (bt_core_t *core, bt_worker_t *worker,
                                 const bt_attempt_report_t *report);
void bt_sched_stop_surplus_attempt (bt_core_t *core, bt_attempt_t *attempt);

/* recover.c */
void bt_recover_on_become_leader (bt_core_t *core);
void bt_recover_on_step_down (bt_core_t *core);
void bt_recover_on_settled (bt_core_t *core);
void bt_recover_on_tables (bt_core_t *core);
void bt_recover_fold (bt_core_t *core, const bt_record_t *record, gboolean valid_term);
void bt_recover_import_attempts (bt_core_t *core, bt_worker_t *worker,
                                 const bt_lease_reply_t *reply, gint64 sent_at, gboolean rebooted);
void bt_recover_on_worker_expired (bt_core_t *core, bt_worker_t *worker);
void bt_recover_drop_recorded_jobs (bt_core_t *core);
gboolean bt_recover_allows_placement (const bt_core_t *core, const bt_job_t *job);

/* entry.c */
void bt_entry_init (bt_core_t *core);
void bt_entry_clear (bt_core_t *core);
void bt_entry_tick (bt_core_t *core);
GRefString *bt_entry_submit (bt_core_t *core, guint64 exchange, const bt_request_t *request);
void bt_entry_on_caller_gone (bt_core_t *core, guint64 exchange);
void bt_entry_on_outcome (bt_core_t *core, const char *from, const char *job,
                          const bt_outcome_t *outcome);
void bt_entry_query (bt_core_t *core, guint64 exchange, bt_query_t what, const char *argument);
void bt_entry_on_query (bt_core_t *core, const char *member, const Bt__Query *query);
void bt_entry_on_query_reply (bt_core_t *core, const Bt__QueryReply *reply);

/* trace.c */
void bt_trace_init (bt_core_t *core);
void bt_trace_clear (bt_core_t *core);
void bt_trace_add (bt_core_t *core, const char *job, const char *action, const char *route,
                   const char *format, ...) G_GNUC_PRINTF (5, 6);
void bt_trace_add_pool (bt_core_t *core, const char *job, const char *action, const char *pool,
                        const char *format, ...) G_GNUC_PRINTF (5, 6);
JsonNode *bt_trace_to_json (const bt_core_t *core, const char *job);

#endif
