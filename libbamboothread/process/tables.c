#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"

/* Delay before a failed read is retried. */
#define READ_RETRY_US (500 * BT_USEC_PER_MSEC)
/* Time for which some peer must have had a useful version, see min_useful_version(), before it is
   requested, and the delay between requests. */
#define PEER_REQUEST_INTERVAL_US (1 * BT_USEC_PER_SEC)
/* Upper limit of the random delay after which a daemon writes another snapshot, as its last one
   does not include all edits before it in the stream. */
#define SNAPSHOT_REWRITE_MAX_DELAY_MS 5000
/* Batch number of appended snapshots; the batches of the journal are numbered from 1. */
#define SNAPSHOT_BATCH 0
/* A read that returns fewer records than this has reached the end of the stream. */
#define CAUGHT_UP_BELOW_RECORDS 100

static void
request_records (bt_core_t *core)
{
  core->tables_read_in_flight = TRUE;
  core->ops.log_read (core->context, BT_TABLES_STREAM, core->tables.next_offset);
}

static void
apply_version (bt_core_t *core)
{
  bt_owner_apply_tables (core);
  bt_recover_on_tables (core);
}

static void
report_new_version (bt_core_t *core, gint64 old_version)
{
  if (core->tables.version == old_version)
    return;
  core->counters.tables_applied++;
  bt_log (BT_LOG_INFO, "tables-applied", "version=%" G_GINT64_FORMAT " offset=%" G_GINT64_FORMAT,
          core->tables.version, core->tables.next_offset - 1);
  if (core->ops.tables_changed != NULL)
    core->ops.tables_changed (core->context, core->tables.version);
}

/* Counts the daemons that own the workers of their data centres, including this one in any case. */
static guint
count_known_leaders (const bt_core_t *core)
{
  guint n = 1;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    n += member->alive && member->leading;
  return n;
}

/*
 * Each owner draws a random time for its next snapshot, and draws again whenever it
 * reads a snapshot, so that about one snapshot is written per snapshot_us in total.
 */
static void
schedule_snapshot (bt_core_t *core)
{
  double span = (double)core->config.snapshot_us * count_known_leaders (core);
  core->tables_next_snapshot_at = core->now + (gint64)(g_rand_double (core->rand) * span);
}

/*
 * If the stream has edits between the offset that a snapshot covers and the snapshot
 * itself, a daemon that starts reading after those edits can't use the snapshot, so
 * its writer soon writes another one.
 */
static void
on_snapshot_read (bt_core_t *core, gint64 offset)
{
  schedule_snapshot (core);
  gint64 covered = core->tables.covered;
  if (covered == offset || covered != core->tables_own_snapshot_covered)
    return;
  gint32 delay_ms = g_rand_int_range (core->rand, 0, SNAPSHOT_REWRITE_MAX_DELAY_MS);
  core->tables_next_snapshot_at
      = MIN (core->tables_next_snapshot_at, core->now + delay_ms * BT_USEC_PER_MSEC);
}

/**
 * bt_core_tables_on_records() - fold records read from the stream of the tables
 * @core: the core
 * @first: offset of the first record
 * @records: the records, as GBytes
 * @next: offset of the next record to read
 */
void
bt_core_tables_on_records (bt_core_t *core, gint64 first, const GPtrArray *records, gint64 next)
{
  gint64 old_version = core->tables.version;
  for (guint i = 0; i < records->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (records->pdata[i], &len);
      gint64 version_before_record = core->tables.version;
      bt_verdict_t verdict = bt_fold_apply_record (&core->tables, first + i, data, len);
      if (verdict == BT_VERDICT_SNAPSHOT)
        on_snapshot_read (core, first + i);
      if (core->tables.version != version_before_record)
        apply_version (core);
    }
  core->tables.next_offset = MAX (core->tables.next_offset, next);
  if (records->len < CAUGHT_UP_BELOW_RECORDS)
    core->tables_caught_up = TRUE;
  report_new_version (core, old_version);
  request_records (core);
}

/**
 * bt_core_tables_on_failed() - a read of the stream of the tables failed
 * @core: the core
 * @first_kept: offset of the first record kept if the log has deleted the requested one, or -1
 */
void
bt_core_tables_on_failed (bt_core_t *core, gint64 first_kept)
{
  core->tables_read_in_flight = FALSE;
  if (first_kept > core->tables.next_offset)
    {
      bt_log (BT_LOG_WARNING, "tables-expired",
              "next=%" G_GINT64_FORMAT " first_kept=%" G_GINT64_FORMAT, core->tables.next_offset,
              first_kept);
      core->counters.log_expired++;
      core->tables_next_read_at = core->now;
      bt_fold_skip_expired (&core->tables, first_kept);
      return;
    }
  core->tables_next_read_at = core->now + READ_RETRY_US;
  core->counters.log_read_failures++;
}

/*
 * Return: the lowest version of a peer's tables that is worth requesting: a newer one,
 * or, after a gap in the stream (edits may be missing here), also the same version.
 */
static gint64
min_useful_version (const bt_core_t *core)
{
  return core->tables.gap_end >= 0 ? core->tables.version : core->tables.version + 1;
}

static const bt_member_t *
find_newest_peer (const bt_core_t *core)
{
  const bt_member_t *found = NULL;
  gint64 min_version = min_useful_version (core);
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive && member->tables_version >= min_version
        && (found == NULL || member->tables_version > found->tables_version))
      found = member;
  return found;
}

/*
 * Requests tables from a peer that has a useful version, once there has been such a
 * peer for PEER_REQUEST_INTERVAL_US: by then this daemon would have read the newer
 * tables from the log if it could.
 */
static void
request_newer_tables (bt_core_t *core)
{
  const bt_member_t *peer = find_newest_peer (core);
  if (peer == NULL)
    {
      core->tables_next_peer_request_at = core->now + PEER_REQUEST_INTERVAL_US;
      return;
    }
  if (core->now < core->tables_next_peer_request_at)
    return;
  core->tables_next_peer_request_at = core->now + PEER_REQUEST_INTERVAL_US;
  Bt__TablesRequest request = BT__TABLES_REQUEST__INIT;
  request.want_version = (guint64)min_useful_version (core);
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_TABLES_REQUEST;
  envelope.tables_request = &request;
  bt_core_send (core, peer->address, &envelope);
}

static void
write_snapshot_if_due (bt_core_t *core)
{
  if (core->tables_next_snapshot_at == 0)
    schedule_snapshot (core);
  if (!core->owner.leading || core->tables.gap_end >= 0 || core->tables.version == 0
      || !core->tables_caught_up || core->now < core->tables_next_snapshot_at)
    return;
  schedule_snapshot (core);
  core->tables_own_snapshot_covered = core->tables.next_offset;
  core->counters.snapshots_appended++;
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (records, bt_fold_snapshot (&core->tables));
  core->ops.log_append (core->context, BT_TABLES_STREAM, SNAPSHOT_BATCH, records);
}

/**
 * bt_core_tables_tick() - request newer tables from the log or a peer, and write snapshots
 * @core: the core
 */
void
bt_core_tables_tick (bt_core_t *core)
{
  request_newer_tables (core);
  write_snapshot_if_due (core);
  if (!core->tables_read_in_flight && core->now >= core->tables_next_read_at)
    request_records (core);
}

static void
send_tables (bt_core_t *core, const char *address)
{
  g_autoptr (GBytes) snapshot = bt_fold_snapshot (&core->tables);
  Bt__Tables tables = BT__TABLES__INIT;
  tables.version = (guint64)core->tables.version;
  /* After a gap in the stream it is unknown which records this version includes. */
  tables.next_offset = core->tables.gap_end < 0 ? (guint64)core->tables.next_offset : 0;
  gsize len;
  tables.body.data = (guint8 *)g_bytes_get_data (snapshot, &len);
  tables.body.len = len;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_TABLES;
  envelope.tables = &tables;
  bt_core_send (core, address, &envelope);
}

/**
 * bt_core_tables_on_peer() - reply to a request for the tables, or adopt a peer's newer version
 * @core: the core
 * @envelope: an envelope with tables or a request for them
 */
void
bt_core_tables_on_peer (bt_core_t *core, const Bt__Envelope *envelope)
{
  if (envelope->body_case == BT__ENVELOPE__BODY_TABLES_REQUEST)
    {
      if ((gint64)envelope->tables_request->want_version <= core->tables.version)
        send_tables (core, envelope->address);
      return;
    }
  gint64 old_version = core->tables.version;
  const Bt__Tables *tables = envelope->tables;
  if (!bt_fold_adopt (&core->tables, (gint64)tables->version, (gint64)tables->next_offset,
                      (const char *)tables->body.data, tables->body.len))
    return;
  core->counters.tables_adopted++;
  apply_version (core);
  report_new_version (core, old_version);
}
