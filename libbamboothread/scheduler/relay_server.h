#ifndef BTS_RELAY_SERVER_H
#define BTS_RELAY_SERVER_H

#include "libbamboothread/base/clock.h"
#include "proto/record.pb-c.h"

/*
 * The newest records of the journal as a process has read them from the log, relayed to processes
 * of its region, so that they cross the link to the log once and not once for each process.
 */

/* Longest time that a request waits for records, in milliseconds. */
#define BTS_RELAY_WAIT_MAX_MS 300
/* Most bytes of records that a relay keeps, and a process that may turn out to be one. */
#define BTS_RELAY_MAX_BYTES (6 * 1024 * 1024)
#define BTS_RELAY_PENDING_MAX_BYTES (1024 * 1024)

typedef struct bts_relay_server_t bts_relay_server_t;

/**
 * bts_relay_reply_f - replies to a request
 * @context: as given to bts_relay_server_new()
 * @exchange: identifies the request
 * @reply: the reply; NULL if it is refused
 */
typedef void (*bts_relay_reply_f) (void *context, guint64 exchange, const Bts__Reply *reply);

bts_relay_server_t *bts_relay_server_new (const bt_clock_t *clock, bts_relay_reply_f reply,
                                          void *context);
void bts_relay_server_free (bts_relay_server_t *server);
void bts_relay_server_set_open (bts_relay_server_t *server, gboolean is_open, gsize max_bytes);
void bts_relay_server_on_record (bts_relay_server_t *server, gint64 offset, const guint8 *data,
                                 gsize len);
void bts_relay_server_on_read (bts_relay_server_t *server, gboolean caught_up, gint64 sent_us);
void bts_relay_server_on_request (bts_relay_server_t *server, guint64 exchange,
                                  const Bts__Read *read);
void bts_relay_server_tick (bts_relay_server_t *server);
gsize bts_relay_server_bytes (const bts_relay_server_t *server);

#endif
