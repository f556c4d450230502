#ifndef BT_VERSION_FOLD_H
#define BT_VERSION_FOLD_H

#include "libbamboothread/version/tables.h"

#define BT_TABLES_STREAM "tables"

/**
 * struct bt_names_t - names of lines to remove
 */
typedef struct
{
  GPtrArray *routes;
  GPtrArray *pools;
} bt_names_t;

/**
 * struct bt_edit_t - a change of the tables, as its record in the log
 * @id: unique; an edit whose id was seen before counts once
 * @base: the version that the editor saw
 * @author: who edits
 * @put: lines added, or put in place of lines of the same name
 * @remove: names of lines removed
 * @snapshot: version that @put holds whole, or 0 for an edit
 */
typedef struct
{
  GRefString *id;
  gint64 base;
  GRefString *author;
  bt_tables_t *put;
  bt_names_t *remove;
  gint64 snapshot;
  GPtrArray *recent;
} bt_edit_t;

extern const bt_schema_t bt_edit_schema;

/**
 * enum bt_verdict_t - what the fold made of an edit
 */
typedef enum
{
  BT_VERDICT_ACCEPTED,
  BT_VERDICT_DUPLICATE,
  BT_VERDICT_STALE,
  BT_VERDICT_INVALID,
  BT_VERDICT_SNAPSHOT,
} bt_verdict_t;

extern const char *const bt_verdict_names[];

/**
 * struct bt_history_t - an edit as the fold saw it
 * @version: the version it made, or was refused against
 */
typedef struct
{
  GRefString *id;
  GRefString *author;
  gint64 offset;
  gint64 version;
  gint64 base;
  bt_verdict_t verdict;
  char *detail;
} bt_history_t;

/**
 * struct bt_fold_t - the tables as the records of the log make them
 * @tables: the newest version
 * @version: its number; it only grows
 * @next: offset of the next record to read
 * @history: ring of the latest &struct bt_history_t
 */
typedef struct
{
  bt_tables_t *tables;
  gint64 version;
  gint64 next;
  GQueue history;
  GQueue ids;
  GHashTable *seen;
} bt_fold_t;

void bt_fold_init (bt_fold_t *fold);
void bt_fold_clear (bt_fold_t *fold);
bt_verdict_t bt_fold_record (bt_fold_t *fold, gint64 offset, const char *data, gsize len);
gboolean bt_fold_adopt (bt_fold_t *fold, gint64 version, gint64 next, const char *data, gsize len);
GBytes *bt_fold_snapshot (const bt_fold_t *fold);
bt_edit_t *bt_fold_diff (const bt_fold_t *fold, const bt_tables_t *wanted, const char *id,
                         const char *author);

#endif
