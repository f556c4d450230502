#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"

/* Pause before a stream is read again after a failure. */
#define READ_RETRY_US (500 * BT_USEC_PER_MSEC)
/* Pause between two requests for a peer's newer tables. */
#define ASK_PEER_US (1 * BT_USEC_PER_SEC)
/* An answer with fewer records than this shows that the history has been read. */
#define CAUGHT_UP_RECORDS 100

static void
read_more (bt_core_t *core)
{
  core->tables_reading = TRUE;
  core->ops.log_read (core->context, BT_TABLES_STREAM, core->tables.next);
}

static void
apply (bt_core_t *core)
{
  bt_owner_apply_tables (core);
  bt_recover_on_tables (core);
}

static void
announce_version (bt_core_t *core, gint64 before)
{
  if (core->tables.version == before)
    return;
  core->counters.tables_applied++;
  bt_log (BT_LOG_INFO, "tables-applied", "version=%" G_GINT64_FORMAT " offset=%" G_GINT64_FORMAT,
          core->tables.version, core->tables.next - 1);
  if (core->ops.tables_changed != NULL)
    core->ops.tables_changed (core->context, core->tables.version);
}

/**
 * bt_core_tables_on_records() - take in records of the tables' stream
 * @core: the core
 * @first: offset of the first record
 * @records: GBytes of each
 * @next: offset to read on from
 */
void
bt_core_tables_on_records (bt_core_t *core, gint64 first, const GPtrArray *records, gint64 next)
{
  gint64 before = core->tables.version;
  for (guint i = 0; i < records->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (records->pdata[i], &len);
      gint64 version = core->tables.version;
      bt_fold_record (&core->tables, first + i, data, len);
      if (core->tables.version != version)
        apply (core);
    }
  core->tables.next = MAX (core->tables.next, next);
  if (records->len < CAUGHT_UP_RECORDS)
    core->tables_caught_up = TRUE;
  announce_version (core, before);
  read_more (core);
}

/**
 * bt_core_tables_on_failed() - the tables' stream could not be read
 * @core: the core
 * @error: why
 */
void
bt_core_tables_on_failed (bt_core_t *core, const GError *error)
{
  core->tables_reading = FALSE;
  core->tables_read_at = core->now + READ_RETRY_US;
  core->counters.log_read_failures++;
}

static void
ask_newer_peer (bt_core_t *core)
{
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || member->tables_version <= core->tables.version)
        continue;
      Bt__TablesRequest request = BT__TABLES_REQUEST__INIT;
      request.have_version = (guint64)core->tables.version;
      Bt__Envelope envelope = BT__ENVELOPE__INIT;
      envelope.body_case = BT__ENVELOPE__BODY_TABLES_REQUEST;
      envelope.tables_request = &request;
      bt_core_send (core, member->address, &envelope);
      return;
    }
}

/**
 * bt_core_tables_tick() - keep reading the tables, from a peer while the log is down
 * @core: the core
 */
void
bt_core_tables_tick (bt_core_t *core)
{
  if (core->tables_reading || core->now < core->tables_read_at)
    return;
  ask_newer_peer (core);
  read_more (core);
}

static void
send_tables (bt_core_t *core, const char *address)
{
  g_autoptr (GBytes) snapshot = bt_fold_snapshot (&core->tables);
  Bt__Tables tables = BT__TABLES__INIT;
  tables.version = (guint64)core->tables.version;
  tables.next_offset = (guint64)core->tables.next;
  gsize len;
  tables.body.data = (guint8 *)g_bytes_get_data (snapshot, &len);
  tables.body.len = len;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_TABLES;
  envelope.tables = &tables;
  bt_core_send (core, address, &envelope);
}

/**
 * bt_core_tables_on_peer() - answer a request for the tables, or take a peer's newer ones
 * @core: the core
 * @envelope: an envelope with tables or a request for them
 */
void
bt_core_tables_on_peer (bt_core_t *core, const Bt__Envelope *envelope)
{
  if (envelope->body_case == BT__ENVELOPE__BODY_TABLES_REQUEST)
    {
      if ((gint64)envelope->tables_request->have_version < core->tables.version)
        send_tables (core, envelope->address);
      return;
    }
  gint64 before = core->tables.version;
  const Bt__Tables *tables = envelope->tables;
  if (!bt_fold_adopt (&core->tables, (gint64)tables->version, (gint64)tables->next_offset,
                      (const char *)tables->body.data, tables->body.len))
    return;
  core->counters.tables_adopted++;
  apply (core);
  announce_version (core, before);
}
