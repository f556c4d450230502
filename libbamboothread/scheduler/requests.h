#ifndef BTS_REQUESTS_H
#define BTS_REQUESTS_H

#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/tables.h"

/*
 * Client requests: submitting, cancelling and querying jobs. A job is accepted once its
 * record is in the journal. The caller is told that it was accepted only once the record
 * is known to be there, and that it wasn't only if the record is known not to be there and
 * not to follow; otherwise the answer is %BTS_ANSWER_UNKNOWN.
 */

typedef struct bts_requests_t bts_requests_t;

/**
 * enum bts_answer_t - outcome of a client request
 * @BTS_ANSWER_OK: done, now or earlier
 * @BTS_ANSWER_UNAVAILABLE: not done and won't be; the caller may retry later
 * @BTS_ANSWER_UNKNOWN: it can't be known yet whether it was done
 * @BTS_ANSWER_NOT_FOUND: there is no such job
 * @BTS_ANSWER_NO_MEMORY: not done and won't be, as jobs take too much memory; the caller may retry
 *   after BTS_JOB_BUDGET_RETRY_AFTER_S
 */
typedef enum
{
  BTS_ANSWER_OK,
  BTS_ANSWER_UNAVAILABLE,
  BTS_ANSWER_UNKNOWN,
  BTS_ANSWER_NOT_FOUND,
  BTS_ANSWER_NO_MEMORY,
} bts_answer_t;

/**
 * struct bts_requests_ops_t - callbacks for outgoing messages
 * @append: append a record to the journal; completed by bts_requests_on_append() with @token
 * @append_spec: append a record to the log of specs; completed by
 *   bts_requests_on_spec_append() with @token
 * @forward: forward a job that this process failed to append to another process, whose answer
 *   goes to the caller; takes the job and returns TRUE, or returns FALSE if there is no such
 *   process
 * @answer: answer the caller; called once for each exchange
 */
typedef struct
{
  void (*append) (void *context, guint64 token, const Bts__Record *record);
  void (*append_spec) (void *context, guint64 token, const Bts__Spec *spec);
  gboolean (*forward) (void *context, guint64 exchange, Bts__Accepted *job, gint64 timeout_us);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
} bts_requests_ops_t;

/**
 * enum bts_append_result_t - result of an append
 * @BTS_APPEND_STORED: the records are in the log
 * @BTS_APPEND_REFUSED: the records are not in the log and won't be
 * @BTS_APPEND_UNKNOWN: no answer; the records may be in the log now or later
 */
typedef enum
{
  BTS_APPEND_STORED,
  BTS_APPEND_REFUSED,
  BTS_APPEND_UNKNOWN,
} bts_append_result_t;

/**
 * enum bts_submission_t - what becomes of a job that is submitted to a process
 * @BTS_SUBMISSION_NEW: it is appended to the log
 * @BTS_SUBMISSION_KNOWN: it is known already, and is answered as accepted
 * @BTS_SUBMISSION_BARRED: its id was cancelled before, so it is refused
 * @BTS_SUBMISSION_UNREADABLE: it is refused, since this process may not know all jobs
 */
typedef enum
{
  BTS_SUBMISSION_NEW,
  BTS_SUBMISSION_KNOWN,
  BTS_SUBMISSION_BARRED,
  BTS_SUBMISSION_UNREADABLE,
} bts_submission_t;

bts_requests_t *bts_requests_new (bts_ledger_t *ledger, const bts_requests_ops_t *ops,
                                  void *context);
void bts_requests_free (bts_requests_t *requests);
bts_submission_t bts_requests_check (const bts_requests_t *requests, const Bts__Accepted *job,
                                     gint64 now_us);
void bts_requests_submit (bts_requests_t *requests, guint64 exchange, Bts__Accepted *job,
                          gboolean maybe_stored, gint64 timeout_us, gint64 now_us);
void bts_requests_cancel (bts_requests_t *requests, guint64 exchange, const char *id,
                          gint64 timeout_us, gint64 now_us);
bts_answer_t bts_requests_query (const bts_requests_t *requests, const char *id, gint64 now_us,
                                 bts_job_state_t *state);
void bts_requests_set_log_slow (bts_requests_t *requests, gboolean is_log_slow);
gboolean bts_requests_is_journal_fresh (const bts_requests_t *requests, gint64 now_us);
gboolean bts_requests_knows_all_jobs (const bts_requests_t *requests, gint64 now_us);
guint bts_requests_retry_after_s (const bts_requests_t *requests, gint64 now_us);
guint bts_requests_count_in_flight (const bts_requests_t *requests);
void bts_requests_on_append (bts_requests_t *requests, guint64 token, bts_append_result_t result,
                             gint64 now_us);
void bts_requests_on_spec_append (bts_requests_t *requests, guint64 token,
                                  bts_append_result_t result, gint64 offset, gint64 now_us);
void bts_requests_on_caught_up (bts_requests_t *requests, gint64 sent_us, gint64 as_of_us,
                                gint64 now_us);
void bts_requests_on_job (bts_requests_t *requests, const bts_job_t *job);
void bts_requests_tick (bts_requests_t *requests, gint64 now_us);

#endif
