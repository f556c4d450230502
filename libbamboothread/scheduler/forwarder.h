#ifndef BTS_FORWARDER_H
#define BTS_FORWARDER_H

#include "libbamboothread/scheduler/requests.h"

/*
 * Forwards jobs to the owner instead of appending them from this process. The log processes
 * one append at a time, and an append of the owner carries jobs of all processes.
 */

typedef struct bts_forwarder_t bts_forwarder_t;

/**
 * struct bts_forwarder_ops_t - callbacks for messages, answers and appends of this process
 * @send: send a message to the owner at @address; completed by bts_forwarder_on_reply()
 * @answer: answer the caller
 * @append: append a job from this process instead of the owner; if @maybe_stored, an owner may have
 *   appended it already, so that the caller can't be told that it wasn't accepted
 */
typedef struct
{
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
  void (*append) (void *context, guint64 exchange, Bts__Accepted *job, gboolean maybe_stored,
                  gint64 timeout_us);
} bts_forwarder_ops_t;

bts_forwarder_t *bts_forwarder_new (const bts_forwarder_ops_t *ops, void *context);
void bts_forwarder_free (bts_forwarder_t *forwarder);
void bts_forwarder_on_append (bts_forwarder_t *forwarder, bts_append_result_t result,
                              gint64 took_us, gint64 now_us);
void bts_forwarder_set_owner_append_ms (bts_forwarder_t *forwarder, guint append_ms);
gint64 bts_forwarder_last_append_us (const bts_forwarder_t *forwarder);
gboolean bts_forwarder_is_log_slow (const bts_forwarder_t *forwarder, gint64 now_us);
guint bts_forwarder_count_in_flight (const bts_forwarder_t *forwarder);
gboolean bts_forwarder_has_failed (const bts_forwarder_t *forwarder, gint64 now_us);
void bts_forwarder_forward (bts_forwarder_t *forwarder, const char *address, guint64 exchange,
                            Bts__Accepted *job, gint64 timeout_us, gboolean is_log_slow,
                            gint64 now_us);
void bts_forwarder_on_reply (bts_forwarder_t *forwarder, const Bts__Forward *sent,
                             gboolean was_delivered, const Bts__Reply *reply, gint64 now_us);
void bts_forwarder_append_unanswered (bts_forwarder_t *forwarder, gint64 now_us);

#endif
