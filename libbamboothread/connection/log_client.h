#ifndef BT_CONNECTION_LOG_CLIENT_H
#define BT_CONNECTION_LOG_CLIENT_H

#include "libbamboothread/base/schema.h"

/*
 * A client of the platform's append-only log, over HTTP and JSON. The protocol is
 * described in docs/interfaces/log.md.
 */

/**
 * struct bt_log_batch_t - the body of an append
 * @records: the records, JSON texts
 */
typedef struct
{
  GPtrArray *records;
} bt_log_batch_t;

/**
 * struct bt_log_page_t - the reply to a read
 * @first: offset of the first record
 * @next: offset from which to read next
 * @records: the records, JSON texts
 */
typedef struct
{
  gint64 first;
  gint64 next;
  GPtrArray *records;
} bt_log_page_t;

extern const bt_schema_t bt_log_batch_schema;
extern const bt_schema_t bt_log_page_schema;

gint64 bt_log_parse_first_kept (GBytes *body);

/**
 * struct bt_log_client_handler_t - callbacks for the results of calls
 * @append_done: an append ended; if @stored is FALSE, the log did not confirm it, but may still
 *   have stored the records
 * @read_done: a read returned @records (GBytes); @first is the offset of the first one and @next
 *   the offset to read next
 * @read_failed: a read returned nothing; %BT_ERROR_EXPIRED if the log has deleted the records at
 *   that offset, with @first_kept the first offset that it still has, or -1 if not known
 */
typedef struct
{
  void (*append_done) (void *context, guint64 batch_id, gboolean stored);
  void (*read_done) (void *context, const char *stream, gint64 first, const GPtrArray *records,
                     gint64 next);
  void (*read_failed) (void *context, const char *stream, const GError *error, gint64 first_kept);
} bt_log_client_handler_t;

typedef struct bt_log_client_t bt_log_client_t;

bt_log_client_t *bt_log_client_new (const char *address, const bt_log_client_handler_t *handler,
                                    void *context);
void bt_log_client_free (bt_log_client_t *client);
void bt_log_client_append (bt_log_client_t *client, const char *stream, guint64 batch_id,
                           const GPtrArray *records);
void bt_log_client_read (bt_log_client_t *client, const char *stream, gint64 from);

#endif
