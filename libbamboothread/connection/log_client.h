#ifndef BT_CONNECTION_LOG_CLIENT_H
#define BT_CONNECTION_LOG_CLIENT_H

#include "libbamboothread/base/schema.h"

/*
 * The adapter to the platform's append-only log: HTTP and JSON, as
 * docs/interfaces/log.md says.
 */

/**
 * struct bt_log_batch_t - records, as the log takes and gives them
 */
typedef struct
{
  GPtrArray *records;
} bt_log_batch_t;

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
 * struct bt_log_client_handler_t - what becomes of calls
 * @append_done: @stored is FALSE if the log did not say so; it may still have
 * @read_done: GBytes of each; @first is the offset of the first
 * @read_failed: the read gave nothing; BT_ERROR_EXPIRED if the offset is no longer kept, with
 *   the first one that is, or -1
 */
typedef struct
{
  void (*append_done) (void *context, guint64 batch, gboolean stored);
  void (*read_done) (void *context, const char *stream, gint64 first, const GPtrArray *records,
                     gint64 next);
  void (*read_failed) (void *context, const char *stream, const GError *error, gint64 first_kept);
} bt_log_client_handler_t;

typedef struct bt_log_client_t bt_log_client_t;

bt_log_client_t *bt_log_client_new (const char *address, const bt_log_client_handler_t *handler,
                                    void *context);
void bt_log_client_free (bt_log_client_t *client);
void bt_log_client_append (bt_log_client_t *client, const char *stream, guint64 batch,
                           const GPtrArray *records);
void bt_log_client_read (bt_log_client_t *client, const char *stream, gint64 from);

#endif
