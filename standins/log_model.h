#ifndef BT_STANDINS_LOG_MODEL_H
#define BT_STANDINS_LOG_MODEL_H

#include <glib.h>

/*
 * The platform's log as its contract describes it, without sockets.
 */

typedef struct
{
  gint64 first;
  GPtrArray *records;
} bt_log_stream_t;

/**
 * struct bt_log_model_t - the log
 * @retain: most records that a stream keeps, or 0 for all
 */
typedef struct
{
  GHashTable *streams;
  gint64 retain;
  guint64 appends;
} bt_log_model_t;

void bt_log_model_init (bt_log_model_t *model);
void bt_log_model_clear (bt_log_model_t *model);
gint64 bt_log_model_append (bt_log_model_t *model, const char *stream, const GPtrArray *records);
GPtrArray *bt_log_model_read (bt_log_model_t *model, const char *stream, gint64 from, guint max);
gint64 bt_log_model_first (bt_log_model_t *model, const char *stream);
gint64 bt_log_model_next (bt_log_model_t *model, const char *stream);
void bt_log_model_trim (bt_log_model_t *model, const char *stream, gint64 first);

#endif
