#ifndef BTS_JOURNAL_RELAY_H
#define BTS_JOURNAL_RELAY_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/relay_client.h"
#include "libbamboothread/scheduler/ledger.h"

/*
 * How the journal reaches the processes of a region: a few of them read it from the log, and hand
 * it on to the others. The owner, and those that are ready to become the owner, read from the log.
 */

typedef struct bts_journal_relay_t bts_journal_relay_t;

/**
 * struct bts_journal_relay_config_t - the process and its parts
 * @name: its name
 * @region: the region of its VM; with an empty one it reads from the log and relays nothing
 * @clock: its clock
 * @members: the processes
 * @ledger: the journal as it was read
 */
typedef struct
{
  const char *name;
  const char *region;
  const bt_clock_t *clock;
  bts_members_t *members;
  const bts_ledger_t *ledger;
} bts_journal_relay_config_t;

/**
 * struct bts_journal_relay_ops_t - callbacks
 * @send: sends a message; the reply goes to bts_journal_relay_on_reply()
 * @reply: replies to a message; NULL if there is no reply
 * @done: a read through another process is over, see bts_relay_client_ops_t
 */
typedef struct
{
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*reply) (void *context, guint64 exchange, const Bts__Reply *reply);
  void (*done) (void *context, const bts_relay_read_t *read);
} bts_journal_relay_ops_t;

bts_journal_relay_t *bts_journal_relay_new (const bts_journal_relay_config_t *config,
                                            const bts_journal_relay_ops_t *ops, void *context);
void bts_journal_relay_free (bts_journal_relay_t *relay);
void bts_journal_relay_on_replayed (bts_journal_relay_t *relay);
void bts_journal_relay_leave (bts_journal_relay_t *relay);
gboolean bts_journal_relay_is_open (const bts_journal_relay_t *relay);
void bts_journal_relay_tick (bts_journal_relay_t *relay);
gboolean bts_journal_relay_read (bts_journal_relay_t *relay, gint64 from, guint max_kb,
                                 guint wait_ms);
void bts_journal_relay_on_record (bts_journal_relay_t *relay, gint64 offset, const guint8 *data,
                                  gsize len);
void bts_journal_relay_on_read (bts_journal_relay_t *relay, gboolean caught_up, gint64 sent_us);
void bts_journal_relay_on_request (bts_journal_relay_t *relay, guint64 exchange,
                                   const Bts__Read *read);
void bts_journal_relay_on_reply (bts_journal_relay_t *relay, const Bts__Read *sent,
                                 const Bts__Reply *reply);

#endif
