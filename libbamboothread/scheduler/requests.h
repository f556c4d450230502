#ifndef BTS_REQUESTS_H
#define BTS_REQUESTS_H

#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/tables.h"

/*
 * Where callers come in: jobs are handed in, cancelled and asked for. A job is
 * accepted once its record is in the journal; until that is known for certain,
 * its caller is told neither that it was accepted nor that it was not.
 */

typedef struct bts_requests_t bts_requests_t;

/**
 * enum bts_answer_t - what a caller is told
 * @BTS_ANSWER_OK: done, or done before
 * @BTS_ANSWER_UNAVAILABLE: not done and won't be; worth another try later
 * @BTS_ANSWER_UNKNOWN: nobody can say yet whether it was done
 * @BTS_ANSWER_NOT_FOUND: there is no such job
 */
typedef enum
{
  BTS_ANSWER_OK,
  BTS_ANSWER_UNAVAILABLE,
  BTS_ANSWER_UNKNOWN,
  BTS_ANSWER_NOT_FOUND,
} bts_answer_t;

/**
 * struct bts_requests_ops_t - where the gate's messages go
 * @append: a record for the journal; answered by bts_requests_on_append() with @token
 * @append_spec: a record for the log of specs; answered by bts_requests_on_spec_append() with
 * @token
 * @forward: hand a job that the store refused here to another process, which answers its
 *   caller; returns FALSE, and leaves the job, if there is none
 * @answer: tell a caller; each exchange is answered once
 */
typedef struct
{
  void (*append) (void *context, guint64 token, const Bts__Record *record);
  void (*append_spec) (void *context, guint64 token, const Bts__Spec *spec);
  gboolean (*forward) (void *context, guint64 exchange, Bts__Accepted *job, gint64 patience_us);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
} bts_requests_ops_t;

/**
 * enum bts_append_result_t - what became of an append
 * @BTS_APPEND_STORED: the records are in the log
 * @BTS_APPEND_REFUSED: they aren't and won't be
 * @BTS_APPEND_UNKNOWN: no answer; they may be, or may be later
 */
typedef enum
{
  BTS_APPEND_STORED,
  BTS_APPEND_REFUSED,
  BTS_APPEND_UNKNOWN,
} bts_append_result_t;

bts_requests_t *bts_requests_new (bts_ledger_t *ledger, const bts_requests_ops_t *ops,
                                  void *context);
void bts_requests_free (bts_requests_t *gate);
void bts_requests_submit (bts_requests_t *gate, guint64 exchange, Bts__Accepted *job,
                          gboolean unknown, gint64 patience_us, gint64 now_us);
void bts_requests_cancel (bts_requests_t *gate, guint64 exchange, const char *id,
                          gint64 patience_us, gint64 now_us);
bts_answer_t bts_requests_query (const bts_requests_t *gate, const char *id, gint64 now_us,
                                 bts_job_state_t *state);
gboolean bts_requests_is_journal_fresh (const bts_requests_t *gate, gint64 now_us);
guint bts_requests_retry_after_s (const bts_requests_t *gate, gint64 now_us);
guint bts_requests_count_in_flight (const bts_requests_t *gate);
void bts_requests_on_append (bts_requests_t *gate, guint64 token, bts_append_result_t stored,
                             gint64 now_us);
void bts_requests_on_spec_append (bts_requests_t *gate, guint64 token, bts_append_result_t stored,
                                  gint64 offset, gint64 now_us);
void bts_requests_on_caught_up (bts_requests_t *gate, gint64 sent_us, gint64 now_us);
void bts_requests_on_job (bts_requests_t *gate, const bts_job_t *job);
void bts_requests_tick (bts_requests_t *gate, gint64 now_us);

#endif
