#include "libbamboothread/process/core_private.h"

#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/base/log.h"

/* Pause before a stream is read again after a failure. */
#define READ_RETRY_US (500 * BT_USEC_PER_MSEC)
/* How long a peer is ahead before it is asked for its tables, and pause between two requests. */
#define ASK_PEER_US (1 * BT_USEC_PER_SEC)
/* Longest wait before a snapshot that others might have missed edits of is written again. */
#define SNAPSHOT_AGAIN_MS 5000
/* Batch number of snapshots; batches of the journal have higher ones. */
#define SNAPSHOT_BATCH 0
/* An answer with fewer records than this shows that the history has been read. */
#define CAUGHT_UP_RECORDS 100

static void
read_more (bt_core_t *core)
{
  core->tables_read_in_flight = TRUE;
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

static guint
leaders_known (const bt_core_t *core)
{
  guint n = 1;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    n += member->alive && member->leading;
  return n;
}

/* All owners draw a time, and draw anew when a snapshot is read, so that about
 * one of them writes one in each span. */
static void
draw_snapshot (bt_core_t *core)
{
  double span = (double)core->config.snapshot_us * leaders_known (core);
  core->tables_next_snapshot_at = core->now + (gint64)(g_rand_double (core->rand) * span);
}

/* A snapshot was read. If edits came before it that it does not hold, one who
 * starts behind those can't use it, so its writer soon writes another. */
static void
plan_snapshot (bt_core_t *core, gint64 offset)
{
  draw_snapshot (core);
  gint64 covered = core->tables.covered;
  if (covered == offset || covered != core->tables_own_snapshot_offset)
    return;
  gint32 wait_ms = g_rand_int_range (core->rand, 0, SNAPSHOT_AGAIN_MS);
  core->tables_next_snapshot_at
      = MIN (core->tables_next_snapshot_at, core->now + wait_ms * BT_USEC_PER_MSEC);
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
      bt_verdict_t verdict = bt_fold_record (&core->tables, first + i, data, len);
      if (verdict == BT_VERDICT_SNAPSHOT)
        plan_snapshot (core, first + i);
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
 * @first_kept: offset of the first record kept, if the wanted one has expired, or -1
 */
void
bt_core_tables_on_failed (bt_core_t *core, gint64 first_kept)
{
  core->tables_read_in_flight = FALSE;
  if (first_kept > core->tables.next)
    {
      bt_log (BT_LOG_WARNING, "tables-expired",
              "next=%" G_GINT64_FORMAT " first_kept=%" G_GINT64_FORMAT, core->tables.next,
              first_kept);
      core->counters.log_expired++;
      core->tables_next_read_at = core->now;
      bt_fold_restart (&core->tables, first_kept);
      return;
    }
  core->tables_next_read_at = core->now + READ_RETRY_US;
  core->counters.log_read_failures++;
}

/* Return: the lowest version of a peer's tables that would help. */
static gint64
wanted_version (const bt_core_t *core)
{
  return core->tables.restart >= 0 ? core->tables.version : core->tables.version + 1;
}

static const bt_member_t *
peer_ahead (const bt_core_t *core)
{
  const bt_member_t *found = NULL;
  gint64 best = wanted_version (core);
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive && member->tables_version >= best
        && (found == NULL || member->tables_version > found->tables_version))
      found = member;
  return found;
}

/* A peer that stays ahead shows that the log does not answer here. */
static void
ask_newer_peer (bt_core_t *core)
{
  const bt_member_t *peer = peer_ahead (core);
  if (peer == NULL)
    {
      core->tables_next_peer_request_at = core->now + ASK_PEER_US;
      return;
    }
  if (core->now < core->tables_next_peer_request_at)
    return;
  core->tables_next_peer_request_at = core->now + ASK_PEER_US;
  Bt__TablesRequest request = BT__TABLES_REQUEST__INIT;
  request.want_version = (guint64)wanted_version (core);
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_TABLES_REQUEST;
  envelope.tables_request = &request;
  bt_core_send (core, peer->address, &envelope);
}

static void
write_snapshot (bt_core_t *core)
{
  if (core->tables_next_snapshot_at == 0)
    draw_snapshot (core);
  if (!core->owner.leading || core->tables.restart >= 0 || core->tables.version == 0
      || !core->tables_caught_up || core->now < core->tables_next_snapshot_at)
    return;
  draw_snapshot (core);
  core->tables_own_snapshot_offset = core->tables.next;
  core->counters.snapshots_appended++;
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (records, bt_fold_snapshot (&core->tables));
  core->ops.log_append (core->context, BT_TABLES_STREAM, SNAPSHOT_BATCH, records);
}

/**
 * bt_core_tables_tick() - keep reading the tables, from a peer if the log does not answer
 * @core: the core
 */
void
bt_core_tables_tick (bt_core_t *core)
{
  ask_newer_peer (core);
  write_snapshot (core);
  if (!core->tables_read_in_flight && core->now >= core->tables_next_read_at)
    read_more (core);
}

static void
send_tables (bt_core_t *core, const char *address)
{
  g_autoptr (GBytes) snapshot = bt_fold_snapshot (&core->tables);
  Bt__Tables tables = BT__TABLES__INIT;
  tables.version = (guint64)core->tables.version;
  /* After a gap it is not known which records this version holds. */
  tables.next_offset = core->tables.restart < 0 ? (guint64)core->tables.next : 0;
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
      if ((gint64)envelope->tables_request->want_version <= core->tables.version)
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
