#ifndef BTS_RELAY_CLIENT_H
#define BTS_RELAY_CLIENT_H

#include "libbamboothread/scheduler/relays.h"

/*
 * Reads of the journal through a process of the same region that relays it.
 */

typedef struct bts_relay_client_t bts_relay_client_t;

/**
 * struct bts_relay_read_t - the reply to such a read
 * @caught_up: the records reach the end of the log
 * @sent_us: a time before which the read of the log wasn't sent
 * @as_of_us: a time before which its reply hadn't arrived
 * @begin_us: time that the read took, without the time for which it waited for records
 * @data: the records, each after its length of four bytes in network byte order
 * @len: their bytes
 */
typedef struct
{
  gboolean caught_up;
  gint64 sent_us;
  gint64 as_of_us;
  gint64 begin_us;
  const guint8 *data;
  gsize len;
} bts_relay_read_t;

/**
 * struct bts_relay_client_ops_t - callbacks
 * @send: sends a message to the process at @address; the reply goes to bts_relay_client_on_reply()
 * @done: a read is over; NULL if it has failed, and the next one may go elsewhere
 */
typedef struct
{
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*done) (void *context, const bts_relay_read_t *read);
} bts_relay_client_ops_t;

bts_relay_client_t *bts_relay_client_new (const char *node, const bts_relay_client_ops_t *ops,
                                          void *context);
void bts_relay_client_free (bts_relay_client_t *client);
gboolean bts_relay_client_read (bts_relay_client_t *client, const GPtrArray *relays,
                                const Bts__Read *read);
void bts_relay_client_on_reply (bts_relay_client_t *client, const Bts__Read *sent,
                                const Bts__Reply *reply, gint64 now_us);

#endif
