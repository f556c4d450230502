#ifndef BTS_LEDGER_H
#define BTS_LEDGER_H

#include "libbamboothread/scheduler/job.h"

/*
 * The state that all processes share: the fold of the journal's records in the
 * order of the log. Two processes that have folded the same offset hold the
 * same jobs, ends and owner.
 */

typedef struct bts_ledger_t bts_ledger_t;

/**
 * struct bts_ledger_ops_t - what the ledger tells after it has folded a record
 * @accepted: a new job
 * @cancelled: a job was cancelled
 * @ended: an end was taken up for the first time; @task has the new state
 * @over: a job has ended or failed
 * @owner: a claim or resignation was taken up
 * @beat: a beat of the present owner, whose last append took @append_ms
 * @seen: a process has given a sign
 * @hello: a process has said what it is
 * @held: the owner holds a worker, as it was listed then
 * @released: it holds it no longer
 * @forgotten: the job is about to be freed
 */
typedef struct
{
  void (*accepted) (void *context, bts_job_t *job);
  void (*cancelled) (void *context, bts_job_t *job);
  void (*ended) (void *context, bts_task_t *task, guint run, bts_how_t how);
  void (*over) (void *context, bts_job_t *job);
  void (*owner) (void *context);
  void (*beat) (void *context, guint64 number, guint append_ms);
  void (*seen) (void *context, const char *node);
  void (*hello) (void *context, const Bts__Hello *hello);
  void (*held) (void *context, const Bts__Held *held);
  void (*released) (void *context, const char *worker);
  void (*forgotten) (void *context, bts_job_t *job);
} bts_ledger_ops_t;

bts_ledger_t *bts_ledger_new (const bts_ledger_ops_t *ops, void *context);
void bts_ledger_free (bts_ledger_t *ledger);
gboolean bts_ledger_fold (bts_ledger_t *ledger, gint64 offset, const guint8 *data, gsize len,
                          gint64 now_us, GError **error);
void bts_ledger_set_replaying (bts_ledger_t *ledger, gboolean replaying);
bts_job_t *bts_ledger_job (const bts_ledger_t *ledger, const char *id);
GHashTable *bts_ledger_jobs (const bts_ledger_t *ledger);
guint64 bts_ledger_term (const bts_ledger_t *ledger);
const char *bts_ledger_owner (const bts_ledger_t *ledger);
gint64 bts_ledger_claim_offset (const bts_ledger_t *ledger);
gboolean bts_ledger_holds (const bts_ledger_t *ledger, const char *worker);
guint bts_ledger_count_pending (const bts_ledger_t *ledger, const char *route);
void bts_ledger_forget (bts_ledger_t *ledger, gint64 before_us);

GBytes *bts_message_pack (const ProtobufCMessage *message);

#endif
