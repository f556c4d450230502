#include "standins/log_model.h"

static void
stream_free (gpointer data)
{
  bt_log_stream_t *stream = data;
  g_ptr_array_unref (stream->records);
  g_free (stream);
}

/**
 * bt_log_model_init() - an empty log
 * @model: the log
 */
void
bt_log_model_init (bt_log_model_t *model)
{
  model->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  model->retain = 0;
  model->appends = 0;
}

/**
 * bt_log_model_clear() - free all records
 * @model: the log
 */
void
bt_log_model_clear (bt_log_model_t *model)
{
  g_hash_table_unref (model->streams);
}

static bt_log_stream_t *
stream_get (bt_log_model_t *model, const char *name)
{
  bt_log_stream_t *stream = g_hash_table_lookup (model->streams, name);
  if (stream != NULL)
    return stream;
  stream = g_new0 (bt_log_stream_t, 1);
  stream->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_hash_table_insert (model->streams, g_strdup (name), stream);
  return stream;
}

/**
 * bt_log_model_append() - append records as one batch
 * @model: the log
 * @name: the stream's name
 * @records: GBytes of each
 *
 * Return: offset of the first.
 */
gint64
bt_log_model_append (bt_log_model_t *model, const char *name, const GPtrArray *records)
{
  bt_log_stream_t *stream = stream_get (model, name);
  gint64 offset = stream->first + stream->records->len;
  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (stream->records, g_bytes_ref (records->pdata[i]));
  model->appends++;
  if (model->retain > 0 && stream->records->len > model->retain)
    bt_log_model_trim (model, name, stream->first + stream->records->len - model->retain);
  return offset;
}

/**
 * bt_log_model_read() - read records
 * @model: the log
 * @name: the stream's name
 * @from: offset of the first wanted
 * @max: most records
 *
 * Return: GBytes of each, or NULL if @from is no longer kept.
 */
GPtrArray *
bt_log_model_read (bt_log_model_t *model, const char *name, gint64 from, guint max)
{
  bt_log_stream_t *stream = stream_get (model, name);
  if (from < stream->first)
    return NULL;
  GPtrArray *page = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (gint64 i = from - stream->first; i < stream->records->len && page->len < max; i++)
    g_ptr_array_add (page, g_bytes_ref (stream->records->pdata[i]));
  return page;
}

/**
 * bt_log_model_first() - offset of the oldest record kept
 * @model: the log
 * @name: the stream's name
 *
 * Return: the offset.
 */
gint64
bt_log_model_first (bt_log_model_t *model, const char *name)
{
  return stream_get (model, name)->first;
}

/**
 * bt_log_model_next() - offset that the next record gets
 * @model: the log
 * @name: the stream's name
 *
 * Return: the offset.
 */
gint64
bt_log_model_next (bt_log_model_t *model, const char *name)
{
  const bt_log_stream_t *stream = stream_get (model, name);
  return stream->first + stream->records->len;
}

/**
 * bt_log_model_trim() - forget old records
 * @model: the log
 * @name: the stream's name
 * @first: offset of the oldest record to keep
 */
void
bt_log_model_trim (bt_log_model_t *model, const char *name, gint64 first)
{
  bt_log_stream_t *stream = stream_get (model, name);
  gint64 drop = CLAMP (first - stream->first, 0, stream->records->len);
  if (drop > 0)
    g_ptr_array_remove_range (stream->records, 0, (guint)drop);
  stream->first += drop;
}
