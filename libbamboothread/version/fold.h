#ifndef BT_VERSION_FOLD_H
#define BT_VERSION_FOLD_H

#include "libbamboothread/version/tables.h"

#define BT_TABLES_STREAM "tables"

/**
 * struct bt_line_names_t - names of the lines that an edit removes
 */
typedef struct
{
  GPtrArray *routes;
  GPtrArray *pools;
} bt_line_names_t;

/**
 * struct bt_edit_t - record of the tables' stream: an edit or a snapshot
 * @id: unique; an edit whose id was seen before is ignored
 * @base_version: the version that the edit was made from; it is stale against any other
 * @author: name of the editor
 * @put: lines to add, or to replace the lines of the same name with
 * @remove: names of lines to remove
 * @route_order: names of routes in the order in which they are matched; others follow
 * @snapshot_version: version that @put holds completely, or 0 for an edit
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
 * enum bt_verdict_t - result of folding a record
 * @BT_VERDICT_ACCEPTED: the edit made a new version
 * @BT_VERDICT_DUPLICATE: the edit's id was seen, or the record's offset was read before
 * @BT_VERDICT_STALE: the edit is not based on the newest version
 * @BT_VERDICT_INVALID: the record is not an edit, or the edit would make the tables invalid
 * @BT_VERDICT_SNAPSHOT: the record is a snapshot
 * @BT_VERDICT_WAITING: kept until a snapshot covers the expired records before it, see
 *   bt_fold_skip_expired()
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
 * struct bt_history_entry_t - an edit or snapshot and the verdict on it
 * @offset: offset of its record
 * @version: newest version after it: the one it made, or was refused against
 * @base_version: the version that it was made from
 * @detail: validation errors of an invalid edit, else empty
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
 * struct bt_fold_t - the tables, computed from the records of the log
 * @tables: the newest version
 * @version: its number, never decreases
 * @next_offset: offset of the next record to read
 * @gap_end: first offset after records that expired before they were read; -1 without such a gap
 * @records_after_gap: records from @gap_end on, kept until a snapshot covers the gap
 * @covered: offset below which the last snapshot holds all edits
 * @history: the latest &struct bt_history_entry_t, oldest first, limited in number
 * @seen_ids_order: ids of the edits seen last, oldest first
 * @seen_ids: the same ids as a set
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
