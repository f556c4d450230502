#ifndef BTS_LEDGER_H
#define BTS_LEDGER_H

#include "libbamboothread/scheduler/bars.h"
#include "libbamboothread/scheduler/job.h"

/*
 * The replicated state: each process folds the journal's records in the order of the log.
 * Processes that have folded the log up to the same offset hold the same jobs, ends of
 * runs and owner.
 */

typedef struct bts_ledger_t bts_ledger_t;

/**
 * struct bts_ledger_ops_t - callbacks for changes of the state
 * @job_accepted: a job was added
 * @job_cancelled: a job was cancelled
 * @run_ended: the end of a run was folded for the first time; @task has the new state
 * @job_ended: a job was completed, failed or was cancelled
 * @owner_changed: a term has begun, or its owner has resigned
 * @heartbeat: heartbeat of the current owner
 * @node_seen: a process has written a claim
 * @node_hello: a process has announced itself; in a replay it may have ended since
 * @worker_held: the owner has taken a lease on a worker; @held has its address and service
 * @worker_released: the owner has given that lease up
 * @worker_silent: a worker no longer answers; @run of @task was just starting on it
 * @worker_remnant: the owner of @term is about to resign, and says what may be left on a worker
 * @job_removed: a job, or what it holds of its tasks, is about to be freed
 */
typedef struct
{
  void (*job_accepted) (void *context, bts_job_t *job);
  void (*job_cancelled) (void *context, bts_job_t *job);
  void (*run_ended) (void *context, bts_task_t *task, guint run, bts_run_outcome_t outcome);
  void (*job_ended) (void *context, bts_job_t *job);
  void (*owner_changed) (void *context);
  void (*heartbeat) (void *context, const Bts__Beat *heartbeat);
  void (*node_seen) (void *context, const char *node);
  void (*node_hello) (void *context, const Bts__Hello *hello);
  void (*worker_held) (void *context, const Bts__Held *held);
  void (*worker_released) (void *context, const char *worker);
  void (*worker_silent) (void *context, const Bts__Silent *silent, const bts_task_t *task,
                         const Bts__Run *run);
  void (*worker_remnant) (void *context, guint64 term, const Bts__Remnant *remnant);
  void (*job_removed) (void *context, bts_job_t *job);
} bts_ledger_ops_t;

bts_ledger_t *bts_ledger_new (const bts_ledger_ops_t *ops, void *context);
void bts_ledger_free (bts_ledger_t *ledger);
gboolean bts_ledger_fold (bts_ledger_t *ledger, gint64 offset, const guint8 *data, gsize len,
                          gint64 now_us, GError **error);
void bts_ledger_set_replaying (bts_ledger_t *ledger, gboolean replaying);
void bts_ledger_skip (bts_ledger_t *ledger, gint64 first);
gboolean bts_ledger_is_complete (const bts_ledger_t *ledger);
void bts_ledger_set_complete (bts_ledger_t *ledger);
guint64 bts_ledger_missing (const bts_ledger_t *ledger);
gboolean bts_ledger_is_owner_behind (const bts_ledger_t *ledger);
gint64 bts_ledger_read_from (const bts_ledger_t *ledger);
gint64 bts_ledger_oldest_needed (const bts_ledger_t *ledger);
gint64 bts_ledger_next_offset (const bts_ledger_t *ledger);
void bts_ledger_stamp (const bts_ledger_t *ledger, Bts__Accepted *job);
bts_bars_t *bts_ledger_bars (const bts_ledger_t *ledger);
bts_job_t *bts_ledger_job (const bts_ledger_t *ledger, const char *id);
GHashTable *bts_ledger_jobs (const bts_ledger_t *ledger);
guint64 bts_ledger_term (const bts_ledger_t *ledger);
const char *bts_ledger_owner (const bts_ledger_t *ledger);
gboolean bts_ledger_is_owner_stopped (const bts_ledger_t *ledger);
const Bts__Interference *bts_ledger_interference (const bts_ledger_t *ledger, guint64 *term);
gint64 bts_ledger_claim_offset (const bts_ledger_t *ledger);
gint64 bts_ledger_standing_us (const bts_ledger_t *ledger);
guint bts_ledger_count_held (const bts_ledger_t *ledger);
gboolean bts_ledger_is_worker_held (const bts_ledger_t *ledger, const char *worker);
guint bts_ledger_count_pending (const bts_ledger_t *ledger, const char *route);
void bts_ledger_remove_ended (bts_ledger_t *ledger, gint64 before_us);
void bts_ledger_compact (bts_ledger_t *ledger, gint64 keep_us, gint64 now_us);

GBytes *bts_message_pack (const ProtobufCMessage *message);

#endif
