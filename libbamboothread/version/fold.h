#ifndef BT_VERSION_FOLD_H
#define BT_VERSION_FOLD_H

#include "libbamboothread/version/tables.h"

#define BT_TABLES_STREAM "tables"

/**
 * struct bt_line_names_t - names of lines to remove
 */
typedef struct
{
  GPtrArray *routes;
  GPtrArray *pools;
} bt_line_names_t;

/**
 * struct bt_edit_t - a change of the tables, as its record in the log
 * @id: unique; an edit whose id was seen before counts once
 * @base_version: the version that the editor saw
 * @author: who edits
 * @put: lines added, or put in place of lines of the same name
 * @remove: names of lines removed
 * @route_order: names of routes, in the order in which they are tried; others follow
 * @snapshot_version: version that @put holds whole, or 0 for an edit
 * @covers: offset below which a snapshot holds all edits
 * @recent_ids: ids of the last edits that a snapshot holds
 */
typedef struct
{
  GRefString *id;
  gint64 base_version;
  GRefString *author;
  bt_tables_t *put;
  bt_line_names_t *remove;
  GPtrArray *route_order;
  gint64 snapshot_version;
  gint64 covers;
  GPtrArray *recent_ids;
} bt_edit_t;

extern const bt_schema_t bt_edit_schema;

/**
 * enum bt_verdict_t - what the fold made of an edit
 * @BT_VERDICT_WAITING: kept until a snapshot tells what went before, see bt_fold_skip_expired()
 */
typedef enum
{
  BT_VERDICT_ACCEPTED,
  BT_VERDICT_DUPLICATE,
  BT_VERDICT_STALE,
  BT_VERDICT_INVALID,
  BT_VERDICT_SNAPSHOT,
  BT_VERDICT_WAITING,
} bt_verdict_t;

extern const char *const bt_verdict_names[];

/**
 * struct bt_history_entry_t - an edit as the fold saw it
 * @version: the version it made, or was refused against
 */
typedef struct
{
  GRefString *id;
  GRefString *author;
  gint64 offset;
  gint64 version;
  gint64 base_version;
  bt_verdict_t verdict;
  char *detail;
} bt_history_entry_t;

/**
 * struct bt_fold_t - the tables as the records of the log make them
 * @tables: the newest version
 * @version: its number; it only grows
 * @next_offset: offset of the next record to read
 * @gap_end: offset from which on records have been read since some expired unread, or -1
 * @records_after_gap: records since then, kept until a snapshot tells what went before
 * @covered: offset below which the last snapshot holds all edits
 * @history: ring of the latest &struct bt_history_entry_t
 */
typedef struct
{
  bt_tables_t *tables;
  gint64 version;
  gint64 next_offset;
  gint64 gap_end;
  GPtrArray *records_after_gap;
  gint64 covered;
  GQueue history;
  GQueue seen_ids_order;
  GHashTable *seen_ids;
} bt_fold_t;

void bt_fold_init (bt_fold_t *fold);
void bt_fold_clear (bt_fold_t *fold);
void bt_fold_skip_expired (bt_fold_t *fold, gint64 first_kept);
bt_verdict_t bt_fold_apply_record (bt_fold_t *fold, gint64 offset, const char *data, gsize len);
gboolean bt_fold_adopt (bt_fold_t *fold, gint64 version, gint64 next, const char *data, gsize len);
GBytes *bt_fold_snapshot (const bt_fold_t *fold);
bt_edit_t *bt_fold_diff (const bt_fold_t *fold, const bt_tables_t *wanted, const char *id,
                         const char *author);

#endif
