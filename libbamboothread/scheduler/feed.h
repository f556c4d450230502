#ifndef BTS_FEED_H
#define BTS_FEED_H

#include "libbamboothread/base/clock.h"
#include "proto/record.pb-c.h"

/*
 * The newest records of the journal as a process has read them from the log, handed on to processes
 * of its region, so that they cross the link to the log once and not once for each process.
 */

/* Longest time that a request waits for records, in milliseconds. */
#define BTS_FEED_WAIT_MAX_MS 300
/* Most bytes of records that are kept. */
#define BTS_FEED_MAX_BYTES (6 * 1024 * 1024)

typedef struct bts_feed_t bts_feed_t;

/**
 * bts_feed_reply_f - replies to a request
 * @context: as given to bts_feed_new()
 * @exchange: identifies the request
 * @reply: the reply; NULL if it is refused
 */
typedef void (*bts_feed_reply_f) (void *context, guint64 exchange, const Bts__Reply *reply);

bts_feed_t *bts_feed_new (const bt_clock_t *clock, bts_feed_reply_f reply, void *context);
void bts_feed_free (bts_feed_t *feed);
void bts_feed_set_open (bts_feed_t *feed, gboolean is_open);
void bts_feed_on_record (bts_feed_t *feed, gint64 offset, const guint8 *data, gsize len);
void bts_feed_on_read (bts_feed_t *feed, gboolean caught_up, gint64 sent_us);
void bts_feed_on_request (bts_feed_t *feed, guint64 exchange, const Bts__Read *read);
void bts_feed_tick (bts_feed_t *feed);
gsize bts_feed_bytes (const bts_feed_t *feed);

#endif
