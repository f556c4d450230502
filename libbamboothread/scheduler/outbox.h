#ifndef BTS_OUTBOX_H
#define BTS_OUTBOX_H

#include <glib.h>

/*
 * Orders to workers that wait until earlier ones to the same worker are answered. An order is
 * written when its turn comes, so that it carries what is known by then, and its time limit covers
 * nothing but its way to the worker and back. Jobs take turns, so that many orders of one don't
 * delay those of others, nor a member of a gang. How many orders to a worker are on their way at a
 * time grows with the number that wait, and is halved when one isn't answered.
 */

/* Orders to one worker that are on their way at a time, while few and while many wait. Holds don't
   count. */
#define BTS_OUTBOX_WINDOW_MIN 5
#define BTS_OUTBOX_WINDOW_MAX 24

typedef struct bts_outbox_t bts_outbox_t;

/**
 * enum bts_order_kind_t - orders about a run
 */
typedef enum
{
  BTS_ORDER_STOP,
  BTS_ORDER_START,
} bts_order_kind_t;

/**
 * struct bts_order_t - an order that is to be sent
 * @worker: id of the worker
 * @kind: the order
 * @priority: 0 goes first
 * @flow: flows of one priority take turns, whatever the number of their orders; compared, and never
 *   read
 * @serial: serial number of the run
 */
typedef struct
{
  const char *worker;
  bts_order_kind_t kind;
  guint priority;
  gconstpointer flow;
  guint64 serial;
} bts_order_t;

/**
 * typedef bts_outbox_send_f - sends an order whose turn has come
 * @context: as given to bts_outbox_new()
 * @kind: the order
 * @serial: serial number of the run
 *
 * Must not call the outbox.
 *
 * Return: FALSE if it isn't to be sent any more; no reply is awaited then.
 */
typedef gboolean (*bts_outbox_send_f) (void *context, bts_order_kind_t kind, guint64 serial);

bts_outbox_t *bts_outbox_new (bts_outbox_send_f send, void *context);
void bts_outbox_free (bts_outbox_t *outbox);
void bts_outbox_clear (bts_outbox_t *outbox);
void bts_outbox_add (bts_outbox_t *outbox, const bts_order_t *order);
gboolean bts_outbox_send_next (bts_outbox_t *outbox);
void bts_outbox_on_reply (bts_outbox_t *outbox, bts_order_kind_t kind, guint64 serial,
                          gboolean answered);
guint bts_outbox_count_waiting (const bts_outbox_t *outbox);
guint bts_outbox_count_on_way (const bts_outbox_t *outbox);

#endif
