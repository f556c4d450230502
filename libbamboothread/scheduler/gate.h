#ifndef BTS_GATE_H
#define BTS_GATE_H

#include "libbamboothread/scheduler/ledger.h"
#include "libbamboothread/scheduler/manifest.h"

/*
 * Where callers come in: jobs are handed in, cancelled and asked for. A job is
 * accepted once its record is in the journal; until that is known for certain,
 * its caller is told neither that it was accepted nor that it was not.
 */

typedef struct bts_gate_t bts_gate_t;

/**
 * enum bts_answer_t - what a caller is told
 * @BTS_ANSWER_OK: done, or done before
 * @BTS_ANSWER_AWAY: not done and won't be; worth another try later
 * @BTS_ANSWER_UNKNOWN: nobody can say yet whether it was done
 * @BTS_ANSWER_GONE: there is no such job
 */
typedef enum
{
  BTS_ANSWER_OK,
  BTS_ANSWER_AWAY,
  BTS_ANSWER_UNKNOWN,
  BTS_ANSWER_GONE,
} bts_answer_t;

/**
 * struct bts_gate_ops_t - where the gate's messages go
 * @append: a record for the journal; answered by bts_gate_on_append() with @token
 * @append_spec: a record for the log of specs; answered by bts_gate_on_spec() with @token
 * @pass_on: hand a job that the store refused here to another process, which answers its
 *   caller; returns FALSE, and leaves the job, if there is none
 * @answer: tell a caller; each exchange is answered once
 */
typedef struct
{
  void (*append) (void *context, guint64 token, const Bts__Record *record);
  void (*append_spec) (void *context, guint64 token, const Bts__Spec *spec);
  gboolean (*pass_on) (void *context, guint64 exchange, Bts__Accepted *job, gint64 patience_us);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
} bts_gate_ops_t;

/**
 * enum bts_stored_t - what became of an append
 * @BTS_STORED: the records are in the log
 * @BTS_NOT_STORED: they aren't and won't be
 * @BTS_STORED_UNKNOWN: no answer; they may be, or may be later
 */
typedef enum
{
  BTS_STORED,
  BTS_NOT_STORED,
  BTS_STORED_UNKNOWN,
} bts_stored_t;

bts_gate_t *bts_gate_new (bts_ledger_t *ledger, const bts_gate_ops_t *ops, void *context);
void bts_gate_free (bts_gate_t *gate);
void bts_gate_submit (bts_gate_t *gate, guint64 exchange, Bts__Accepted *job, gboolean unknown,
                      gint64 patience_us, gint64 now_us);
void bts_gate_cancel (bts_gate_t *gate, guint64 exchange, const char *id, gint64 patience_us,
                      gint64 now_us);
bts_answer_t bts_gate_query (const bts_gate_t *gate, const char *id, gint64 now_us,
                             bts_state_t *state);
gboolean bts_gate_fresh (const bts_gate_t *gate, gint64 now_us);
guint bts_gate_retry_after_s (const bts_gate_t *gate, gint64 now_us);
guint bts_gate_waiting (const bts_gate_t *gate);
void bts_gate_on_append (bts_gate_t *gate, guint64 token, bts_stored_t stored, gint64 now_us);
void bts_gate_on_spec (bts_gate_t *gate, guint64 token, bts_stored_t stored, gint64 offset,
                       gint64 now_us);
void bts_gate_on_read (bts_gate_t *gate, gint64 sent_us, gint64 now_us);
void bts_gate_on_job (bts_gate_t *gate, const bts_job_t *job);
void bts_gate_tick (bts_gate_t *gate, gint64 now_us);

#endif
