#ifndef BTS_RELAY_H
#define BTS_RELAY_H

#include "libbamboothread/scheduler/gate.h"

/*
 * Jobs that their entry hands to the owner rather than append them itself: the log works
 * on one append at a time, and those of the owner carry the jobs of all entries.
 */

typedef struct bts_relay_t bts_relay_t;

/**
 * struct bts_relay_ops_t - where jobs and answers go
 * @send: a message to the owner at @address; answered by bts_relay_on_reply()
 * @answer: tell a caller
 * @append: append a job here after all; an owner may have appended it already, so that its
 *   caller can't be told that it wasn't accepted
 */
typedef struct
{
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*answer) (void *context, guint64 exchange, bts_answer_t answer);
  void (*append) (void *context, guint64 exchange, Bts__Accepted *job, gint64 patience_us);
} bts_relay_ops_t;

bts_relay_t *bts_relay_new (const bts_relay_ops_t *ops, void *context);
void bts_relay_free (bts_relay_t *relay);
void bts_relay_on_append (bts_relay_t *relay, bts_stored_t stored, gint64 took_us, gint64 now_us);
void bts_relay_on_beat (bts_relay_t *relay, guint append_ms);
gint64 bts_relay_append_us (const bts_relay_t *relay);
gboolean bts_relay_log_slow (const bts_relay_t *relay, gint64 now_us);
guint bts_relay_waiting (const bts_relay_t *relay);
void bts_relay_hand (bts_relay_t *relay, const char *address, guint64 exchange, Bts__Accepted *job,
                     gint64 patience_us, gint64 now_us);
void bts_relay_on_reply (bts_relay_t *relay, const Bts__Forward *sent, const Bts__Reply *reply,
                         gint64 now_us);
void bts_relay_append_all (bts_relay_t *relay, gint64 now_us);

#endif
