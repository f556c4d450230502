#ifndef BTS_FEED_CLIENT_H
#define BTS_FEED_CLIENT_H

#include "libbamboothread/scheduler/feeders.h"

/*
 * Reads of the journal through a process of the same region that hands it on.
 */

typedef struct bts_feed_client_t bts_feed_client_t;

/**
 * struct bts_feed_read_t - the reply to such a read
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
} bts_feed_read_t;

/**
 * struct bts_feed_client_ops_t - callbacks
 * @send: sends a message to the process at @address; the reply goes to bts_feed_client_on_reply()
 * @done: a read is over; NULL if it has failed, and the next one may go elsewhere
 */
typedef struct
{
  void (*send) (void *context, const char *address, const Bts__Message *message, guint timeout_ms);
  void (*done) (void *context, const bts_feed_read_t *read);
} bts_feed_client_ops_t;

bts_feed_client_t *bts_feed_client_new (const char *node, const bts_feed_client_ops_t *ops,
                                        void *context);
void bts_feed_client_free (bts_feed_client_t *client);
gboolean bts_feed_client_read (bts_feed_client_t *client, const GPtrArray *feeders,
                               const Bts__Read *read);
void bts_feed_client_on_reply (bts_feed_client_t *client, const Bts__Read *sent,
                               const Bts__Reply *reply, gint64 now_us);

#endif
