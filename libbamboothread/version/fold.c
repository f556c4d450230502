#include "libbamboothread/version/fold.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/* Edit ids that are remembered, so that a repeated edit is applied once. */
#define SEEN_IDS_MAX 4096
#define HISTORY_MAX 256
#define RECENT_IDS_MAX 256

const char *const bt_verdict_names[]
    = { "accepted", "duplicate", "stale", "invalid", "snapshot", "waiting", NULL };

static const bt_field_t line_names_fields[] = {
  { "routes", BT_FIELD_STRINGS, offsetof (bt_line_names_t, routes), FALSE, 0, 1024 },
  { "pools", BT_FIELD_STRINGS, offsetof (bt_line_names_t, pools), FALSE, 0, 1024 },
};

static const bt_schema_t line_names_schema = BT_SCHEMA (line_names_fields, bt_line_names_t);

static const bt_field_t edit_fields[] = {
  { "id", BT_FIELD_STRING, offsetof (bt_edit_t, id), TRUE, 1, 64 },
  { "base", BT_FIELD_INT, offsetof (bt_edit_t, base_version), TRUE, 0, G_MAXINT64 },
  { "author", BT_FIELD_STRING, offsetof (bt_edit_t, author), TRUE, 1, 128 },
  { "put", BT_FIELD_OBJECT, offsetof (bt_edit_t, put), FALSE, 0, 0, 0, NULL, &bt_tables_schema },
  { "remove", BT_FIELD_OBJECT, offsetof (bt_edit_t, remove), FALSE, 0, 0, 0, NULL,
    &line_names_schema },
  { "order", BT_FIELD_STRINGS, offsetof (bt_edit_t, route_order), FALSE, 0, 1024 },
  { "covers", BT_FIELD_INT, offsetof (bt_edit_t, covers), FALSE, 0, G_MAXINT64 },
  { "snapshot", BT_FIELD_INT, offsetof (bt_edit_t, snapshot_version), FALSE, 0, G_MAXINT64 },
  { "recent", BT_FIELD_STRINGS, offsetof (bt_edit_t, recent_ids), FALSE, 0, RECENT_IDS_MAX },
};

const bt_schema_t bt_edit_schema = BT_SCHEMA (edit_fields, bt_edit_t);

static bt_tables_t *
tables_new (void)
{
  bt_tables_t *tables = g_new0 (bt_tables_t, 1);
  tables->routes = g_ptr_array_new ();
  tables->pools = g_ptr_array_new ();
  return tables;
}

/**
 * bt_fold_init() - initialize with empty tables of version 0
 * @fold: the fold
 */
void
bt_fold_init (bt_fold_t *fold)
{
  memset (fold, 0, sizeof *fold);
  fold->tables = tables_new ();
  fold->gap_end = -1;
  fold->records_after_gap = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_queue_init (&fold->history);
  g_queue_init (&fold->seen_ids_order);
  fold->seen_ids = g_hash_table_new (g_str_hash, g_str_equal);
}

static void
history_free (gpointer data)
{
  bt_history_entry_t *entry = data;
  g_ref_string_release (entry->id);
  g_ref_string_release (entry->author);
  g_free (entry->detail);
  g_free (entry);
}

/**
 * bt_fold_clear() - free the members of a fold
 * @fold: the fold
 */
void
bt_fold_clear (bt_fold_t *fold)
{
  bt_tables_free (fold->tables);
  g_ptr_array_unref (fold->records_after_gap);
  g_hash_table_unref (fold->seen_ids);
  g_queue_clear_full (&fold->seen_ids_order, (GDestroyNotify)g_ref_string_release);
  g_queue_clear_full (&fold->history, history_free);
}

static void
remember_id (bt_fold_t *fold, GRefString *id)
{
  if (g_hash_table_contains (fold->seen_ids, id))
    return;
  GRefString *kept = g_ref_string_acquire (id);
  g_queue_push_tail (&fold->seen_ids_order, kept);
  g_hash_table_add (fold->seen_ids, kept);
  if (g_queue_get_length (&fold->seen_ids_order) <= SEEN_IDS_MAX)
    return;
  GRefString *oldest = g_queue_pop_head (&fold->seen_ids_order);
  g_hash_table_remove (fold->seen_ids, oldest);
  g_ref_string_release (oldest);
}

static void
add_history_entry (bt_fold_t *fold, const bt_edit_t *edit, gint64 offset, bt_verdict_t verdict,
                   const char *detail)
{
  bt_history_entry_t *entry = g_new0 (bt_history_entry_t, 1);
  entry->id = g_ref_string_acquire (edit->id);
  entry->author = g_ref_string_acquire (edit->author);
  entry->offset = offset;
  entry->version = fold->version;
  entry->base_version = edit->base_version;
  entry->verdict = verdict;
  entry->detail = g_strdup (detail);
  g_queue_push_tail (&fold->history, entry);
  if (g_queue_get_length (&fold->history) > HISTORY_MAX)
    history_free (g_queue_pop_head (&fold->history));
}

/* The name is the first member of both bt_route_t and bt_pool_t. */
static GRefString *
line_name (gconstpointer line)
{
  return *(GRefString *const *)line;
}

G_STATIC_ASSERT (offsetof (bt_route_t, name) == 0);
G_STATIC_ASSERT (offsetof (bt_pool_t, name) == 0);

static gint
find_line (const GPtrArray *lines, const char *name)
{
  for (guint i = 0; i < lines->len; i++)
    if (strcmp (line_name (lines->pdata[i]), name) == 0)
      return (gint)i;
  return -1;
}

static void
put_lines (const bt_schema_t *schema, GPtrArray *lines, const GPtrArray *put)
{
  for (guint i = 0; i < put->len; i++)
    {
      gpointer line = bt_schema_copy (schema, put->pdata[i]);
      gint index = find_line (lines, line_name (line));
      if (index < 0)
        {
          g_ptr_array_add (lines, line);
          continue;
        }
      bt_schema_free (schema, lines->pdata[index]);
      lines->pdata[index] = line;
    }
}

static void
remove_lines (const bt_schema_t *schema, GPtrArray *lines, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    {
      gint index = find_line (lines, names->pdata[i]);
      if (index >= 0)
        bt_schema_free (schema, g_ptr_array_remove_index (lines, (guint)index));
    }
}

/* Moves the named lines to the front, in the order of @names; the others keep their order. */
static void
order_lines (GPtrArray *lines, const GPtrArray *names)
{
  guint placed = 0;
  for (guint i = 0; i < names->len; i++)
    {
      gint index = find_line (lines, names->pdata[i]);
      if (index < (gint)placed)
        continue;
      gpointer line = g_ptr_array_steal_index (lines, (guint)index);
      g_ptr_array_insert (lines, (gint)placed, line);
      placed++;
    }
}

static bt_tables_t *
apply_edit (const bt_tables_t *tables, const bt_edit_t *edit)
{
  bt_tables_t *next = bt_tables_copy (tables);
  if (edit->remove != NULL)
    {
      remove_lines (&bt_route_schema, next->routes, edit->remove->routes);
      remove_lines (&bt_pool_schema, next->pools, edit->remove->pools);
    }
  if (edit->put != NULL)
    {
      put_lines (&bt_route_schema, next->routes, edit->put->routes);
      put_lines (&bt_pool_schema, next->pools, edit->put->pools);
    }
  order_lines (next->routes, edit->route_order);
  return next;
}

static bt_verdict_t
fold_snapshot (bt_fold_t *fold, bt_edit_t *edit, gint64 offset)
{
  fold->covered = edit->covers;
  if (edit->snapshot_version > fold->version && edit->put != NULL)
    {
      bt_tables_free (fold->tables);
      fold->tables = g_steal_pointer (&edit->put);
      fold->version = edit->snapshot_version;
      for (guint i = 0; i < edit->recent_ids->len; i++)
        remember_id (fold, edit->recent_ids->pdata[i]);
    }
  add_history_entry (fold, edit, offset, BT_VERDICT_SNAPSHOT, "");
  return BT_VERDICT_SNAPSHOT;
}

static bt_verdict_t
fold_edit (bt_fold_t *fold, const bt_edit_t *edit, gint64 offset)
{
  if (g_hash_table_contains (fold->seen_ids, edit->id))
    return BT_VERDICT_DUPLICATE;
  remember_id (fold, edit->id);
  if (edit->base_version != fold->version)
    {
      add_history_entry (fold, edit, offset, BT_VERDICT_STALE, "");
      return BT_VERDICT_STALE;
    }
  bt_tables_t *next = apply_edit (fold->tables, edit);
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_check (next, &report);
  g_autofree char *errors = bt_report_to_text (&report, "edit");
  gboolean is_valid = bt_report_is_empty (&report);
  bt_report_clear (&report);
  if (!is_valid)
    {
      bt_tables_free (next);
      add_history_entry (fold, edit, offset, BT_VERDICT_INVALID, errors);
      return BT_VERDICT_INVALID;
    }
  bt_tables_free (fold->tables);
  fold->tables = next;
  fold->version++;
  add_history_entry (fold, edit, offset, BT_VERDICT_ACCEPTED, "");
  return BT_VERDICT_ACCEPTED;
}

static bt_verdict_t
fold_edit_or_snapshot (bt_fold_t *fold, bt_edit_t *edit, gint64 offset)
{
  return edit->snapshot_version > 0 ? fold_snapshot (fold, edit, offset)
                                    : fold_edit (fold, edit, offset);
}

static void
fold_kept_record (bt_fold_t *fold, gint64 offset, GBytes *text)
{
  gsize len;
  const char *data = g_bytes_get_data (text, &len);
  bt_edit_t *edit = bt_schema_parse (&bt_edit_schema, data, len, NULL);
  if (edit != NULL)
    fold_edit_or_snapshot (fold, edit, offset);
  bt_schema_free (&bt_edit_schema, edit);
}

/*
 * Ends the gap and folds the records kept since, from the offset @covers on. The newest
 * version holds all edits below that offset.
 */
static void
fold_records_after_gap (bt_fold_t *fold, gint64 covers)
{
  gint64 gap_end = fold->gap_end;
  g_autoptr (GPtrArray) records = fold->records_after_gap;
  fold->records_after_gap = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  fold->gap_end = -1;
  for (guint i = 0; i < records->len; i++)
    if (gap_end + i >= covers)
      fold_kept_record (fold, gap_end + i, records->pdata[i]);
}

/*
 * The expired records may hold edits, so no edit can be checked against its base version
 * before a snapshot covers all of them. Empty entries stand for offsets that were not read.
 */
static bt_verdict_t
fold_after_gap (bt_fold_t *fold, bt_edit_t *edit, gint64 offset, const char *data, gsize len)
{
  while (fold->gap_end + fold->records_after_gap->len < offset)
    g_ptr_array_add (fold->records_after_gap, g_bytes_new_static ("", 0));
  g_ptr_array_add (fold->records_after_gap, g_bytes_new (data, len));
  if (edit == NULL || edit->snapshot_version == 0 || edit->covers < fold->gap_end)
    return BT_VERDICT_WAITING;
  gint64 covers = edit->covers;
  fold_snapshot (fold, edit, offset);
  fold_records_after_gap (fold, covers);
  return BT_VERDICT_SNAPSHOT;
}

/**
 * bt_fold_skip_expired() - continue after records that expired before they were read
 * @fold: the fold
 * @first_kept: offset of the first record that the log still holds
 *
 * The newest version stays in force until a snapshot covers the expired records.
 */
void
bt_fold_skip_expired (bt_fold_t *fold, gint64 first_kept)
{
  if (first_kept <= fold->next_offset)
    return;
  fold->next_offset = first_kept;
  fold->gap_end = first_kept;
  g_ptr_array_set_size (fold->records_after_gap, 0);
}

/**
 * bt_fold_apply_record() - fold the next record of the log
 * @fold: the fold
 * @offset: the record's offset; one below fold->next_offset was folded before
 * @data: the record
 * @len: its length in bytes
 *
 * Every reader that folds the same records reaches the same verdicts. A record that is
 * neither an edit nor a snapshot is skipped.
 *
 * Return: the verdict on the record.
 */
bt_verdict_t
bt_fold_apply_record (bt_fold_t *fold, gint64 offset, const char *data, gsize len)
{
  if (offset < fold->next_offset)
    return BT_VERDICT_DUPLICATE;
  fold->next_offset = offset + 1;
  bt_edit_t *edit = bt_schema_parse (&bt_edit_schema, data, len, NULL);
  bt_verdict_t verdict = BT_VERDICT_INVALID;
  if (fold->gap_end >= 0)
    verdict = fold_after_gap (fold, edit, offset, data, len);
  else if (edit != NULL)
    verdict = fold_edit_or_snapshot (fold, edit, offset);
  bt_schema_free (&bt_edit_schema, edit);
  return verdict;
}

/**
 * bt_fold_adopt() - adopt a peer's version if it is newer
 * @fold: the fold
 * @version: number of the offered version
 * @next: offset that the peer reads next
 * @data: a snapshot record
 * @len: its length in bytes
 *
 * After a gap of expired records, a peer's snapshot of the same version is also taken if
 * it covers the gap, so that the records after the gap can be folded.
 *
 * Return: TRUE if the version was newer and valid, and is now in force.
 */
gboolean
bt_fold_adopt (bt_fold_t *fold, gint64 version, gint64 next, const char *data, gsize len)
{
  gboolean fills_gap = fold->gap_end >= 0 && next >= fold->gap_end;
  if (version < fold->version || (version == fold->version && !fills_gap))
    return FALSE;
  bt_edit_t *edit = bt_schema_parse (&bt_edit_schema, data, len, NULL);
  if (edit == NULL || edit->snapshot_version != version || edit->put == NULL)
    {
      bt_schema_free (&bt_edit_schema, edit);
      return FALSE;
    }
  gboolean is_newer = version > fold->version;
  fold_snapshot (fold, edit, next - 1);
  fold->next_offset = MAX (fold->next_offset, next);
  if (fills_gap)
    fold_records_after_gap (fold, next);
  bt_schema_free (&bt_edit_schema, edit);
  return is_newer;
}

/**
 * bt_fold_snapshot() - make a snapshot record of the newest version
 * @fold: the fold
 *
 * Return: JSON text of the record.
 */
GBytes *
bt_fold_snapshot (const bt_fold_t *fold)
{
  g_autofree char *id = g_strdup_printf ("snapshot-%" G_GINT64_FORMAT, fold->version);
  bt_edit_t edit
      = { .base_version = fold->version, .put = fold->tables, .snapshot_version = fold->version };
  edit.covers = fold->next_offset;
  edit.route_order = g_ptr_array_new ();
  edit.id = g_ref_string_new (id);
  edit.author = g_ref_string_new ("bamboothread");
  edit.recent_ids = g_ptr_array_new ();
  for (GList *l = fold->seen_ids_order.tail; l != NULL && edit.recent_ids->len < RECENT_IDS_MAX;
       l = l->prev)
    g_ptr_array_add (edit.recent_ids, l->data);
  GBytes *bytes = bt_schema_to_bytes (&bt_edit_schema, &edit);
  g_ptr_array_unref (edit.recent_ids);
  g_ptr_array_unref (edit.route_order);
  g_ref_string_release (edit.id);
  g_ref_string_release (edit.author);
  return bytes;
}

static gboolean
lines_equal (const bt_schema_t *schema, gconstpointer a, gconstpointer b)
{
  g_autoptr (GBytes) left = bt_schema_to_bytes (schema, a);
  g_autoptr (GBytes) right = bt_schema_to_bytes (schema, b);
  return g_bytes_equal (left, right);
}

static void
diff_lines (const bt_schema_t *schema, const GPtrArray *current, const GPtrArray *wanted,
            GPtrArray *put, GPtrArray *removed)
{
  for (guint i = 0; i < wanted->len; i++)
    {
      gint index = find_line (current, line_name (wanted->pdata[i]));
      if (index < 0 || !lines_equal (schema, current->pdata[index], wanted->pdata[i]))
        g_ptr_array_add (put, bt_schema_copy (schema, wanted->pdata[i]));
    }
  for (guint i = 0; i < current->len; i++)
    if (find_line (wanted, line_name (current->pdata[i])) < 0)
      g_ptr_array_add (removed, g_ref_string_acquire (line_name (current->pdata[i])));
}

/* The order of routes matters: a request takes the first route that matches. */
static void
diff_order (const bt_tables_t *current, const bt_tables_t *wanted, bt_edit_t *edit)
{
  bt_tables_t *next = apply_edit (current, edit);
  gboolean is_same_order = next->routes->len == wanted->routes->len;
  for (guint i = 0; is_same_order && i < wanted->routes->len; i++)
    is_same_order
        = strcmp (line_name (next->routes->pdata[i]), line_name (wanted->routes->pdata[i])) == 0;
  for (guint i = 0; !is_same_order && i < wanted->routes->len; i++)
    g_ptr_array_add (edit->route_order,
                     g_ref_string_acquire (line_name (wanted->routes->pdata[i])));
  bt_tables_free (next);
}

/**
 * bt_fold_diff() - compute the edit that turns the newest version into other tables
 * @fold: the fold
 * @wanted: the other tables
 * @id: unique id of the edit
 * @author: name of the editor
 *
 * Return: an edit, freed with bt_schema_free(); without lines and order if nothing differs.
 */
bt_edit_t *
bt_fold_diff (const bt_fold_t *fold, const bt_tables_t *wanted, const char *id, const char *author)
{
  bt_edit_t *edit = g_new0 (bt_edit_t, 1);
  edit->id = g_ref_string_new (id);
  edit->author = g_ref_string_new (author);
  edit->base_version = fold->version;
  edit->recent_ids = g_ptr_array_new ();
  edit->route_order = g_ptr_array_new ();
  edit->put = tables_new ();
  edit->remove = g_new0 (bt_line_names_t, 1);
  edit->remove->routes = g_ptr_array_new ();
  edit->remove->pools = g_ptr_array_new ();
  diff_lines (&bt_route_schema, fold->tables->routes, wanted->routes, edit->put->routes,
              edit->remove->routes);
  diff_lines (&bt_pool_schema, fold->tables->pools, wanted->pools, edit->put->pools,
              edit->remove->pools);
  diff_order (fold->tables, wanted, edit);
  return edit;
}
