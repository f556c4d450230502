#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Which other daemons there are and which of them are alive. A wrong belief
 * costs a hop or a wait; safety rests on the workers' leases alone.
 */

static void
member_free (gpointer data)
{
  bt_member_t *member = data;
  g_ref_string_release (member->name);
  g_ref_string_release (member->address);
  g_ref_string_release (member->data_centre);
  g_ref_string_release (member->region);
  g_ptr_array_unref (member->pools);
  g_free (member);
}

/**
 * bt_members_init() - know no daemon but the seeds' addresses
 * @core: the core
 */
void
bt_members_init (bt_core_t *core)
{
  bt_members_t *members = &core->members;
  members->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  members->seeds
      = g_hash_table_new_full (g_str_hash, g_str_equal, (GDestroyNotify)g_ref_string_release, NULL);
  members->last_tick = core->now;
  const GPtrArray *seeds = core->config.seeds;
  for (guint i = 0; seeds != NULL && i < seeds->len; i++)
    if (strcmp (seeds->pdata[i], core->address) != 0)
      g_hash_table_add (members->seeds, g_ref_string_new (seeds->pdata[i]));
}

/**
 * bt_members_clear() - forget all daemons
 * @core: the core
 */
void
bt_members_clear (bt_core_t *core)
{
  g_hash_table_unref (core->members.by_name);
  g_hash_table_unref (core->members.seeds);
}

/**
 * bt_members_get() - find a daemon by its name
 * @core: the core
 * @name: its name
 *
 * Return: the daemon, or NULL if it is unknown or thought dead.
 */
const bt_member_t *
bt_members_get (const bt_core_t *core, const char *name)
{
  const bt_member_t *member = g_hash_table_lookup (core->members.by_name, name);
  return member != NULL && member->alive ? member : NULL;
}

/**
 * bt_members_leader() - the daemon that owns a data centre's workers
 * @core: the core
 * @data_centre: the data centre's name
 *
 * Return: that daemon, or NULL if none says so, or if it is this one.
 */
const bt_member_t *
bt_members_leader (const bt_core_t *core, const char *data_centre)
{
  const bt_member_t *found = NULL;
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || !member->leading || strcmp (member->data_centre, data_centre) != 0)
        continue;
      if (found == NULL || member->term > found->term
          || (member->term == found->term && strcmp (member->name, found->name) < 0))
        found = member;
    }
  return found;
}

static guint
rank (const char *name)
{
  return g_str_hash (name) * 2654435761u;
}

static gboolean
ranks_before (const char *a, const char *b)
{
  guint left = rank (a);
  guint right = rank (b);
  return left != right ? left < right : strcmp (a, b) < 0;
}

/**
 * bt_members_candidate() - whether this daemon should own its data centre's workers
 * @core: the core
 *
 * The present owner stays until it leaves or is thought dead, so that a
 * replaced daemon moves nothing; otherwise the first by rank is the one.
 *
 * Return: TRUE if it should.
 */
gboolean
bt_members_candidate (const bt_core_t *core)
{
  if (core->leaving)
    return FALSE;
  if (core->owner.leading)
    return TRUE;
  if (core->now < core->started_at + 2 * core->config.heartbeat_us)
    return FALSE;
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || strcmp (member->data_centre, core->data_centre) != 0)
        continue;
      if (member->leading)
        return FALSE;
      if (!member->leaving && ranks_before (member->name, core->name))
        return FALSE;
    }
  return TRUE;
}

static void
fill_pools (const bt_core_t *core, GPtrArray *pools)
{
  if (!core->owner.leading)
    return;
  g_autoptr (GHashTable) by_pool = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  bt_worker_t *worker;
  g_hash_table_iter_init (&iter, core->owner.workers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&worker))
    {
      if (!bt_owner_may_start (core, worker))
        continue;
      Bt__PoolSummary *summary = g_hash_table_lookup (by_pool, worker->pool);
      if (summary == NULL)
        {
          summary = g_new (Bt__PoolSummary, 1);
          bt__pool_summary__init (summary);
          summary->pool = worker->pool;
          summary->queued = bt_queue_length (core, worker->pool);
          g_hash_table_insert (by_pool, worker->pool, summary);
          g_ptr_array_add (pools, summary);
        }
      bt_vector_t room = worker->capacity;
      bt_vector_sub (&room, &worker->used);
      summary->free_mcpus += (guint64)MAX (room.v[BT_RESOURCE_MCPUS], 0);
      summary->free_memory_mb += (guint64)MAX (room.v[BT_RESOURCE_MEMORY_MB], 0);
      summary->free_gpus += (guint64)MAX (room.v[BT_RESOURCE_GPUS], 0);
      summary->free_slots += (guint32)MAX (room.v[BT_RESOURCE_SLOTS], 0);
    }
}

static void
fill_members (const bt_core_t *core, GPtrArray *infos)
{
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive)
        continue;
      Bt__MemberInfo *info = g_new (Bt__MemberInfo, 1);
      bt__member_info__init (info);
      info->name = member->name;
      info->address = member->address;
      g_ptr_array_add (infos, info);
    }
}

static void
send_heartbeats (bt_core_t *core)
{
  g_autoptr (GPtrArray) pools = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) infos = g_ptr_array_new_with_free_func (g_free);
  fill_pools (core, pools);
  fill_members (core, infos);
  Bt__Heartbeat beat = BT__HEARTBEAT__INIT;
  beat.data_centre = core->data_centre;
  beat.region = core->region;
  beat.leading = core->owner.leading;
  beat.leaving = core->leaving;
  beat.term = (guint64)core->journal.own_term;
  beat.lead_since_us = (guint64)core->owner.lead_since;
  beat.tables_version = (guint64)core->tables.version;
  beat.journal_next = (guint64)core->journal.next;
  beat.n_pools = pools->len;
  beat.pools = (Bt__PoolSummary **)pools->pdata;
  beat.n_members = infos->len;
  beat.members = (Bt__MemberInfo **)infos->pdata;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &beat;

  GHashTableIter iter;
  const char *address;
  g_hash_table_iter_init (&iter, core->members.seeds);
  while (g_hash_table_iter_next (&iter, (gpointer *)&address, NULL))
    {
      bt_core_send (core, address, &envelope);
      core->counters.heartbeats_sent++;
    }
}

/**
 * bt_members_announce() - send heartbeats now, since something in them has changed
 * @core: the core
 */
void
bt_members_announce (bt_core_t *core)
{
  core->members.next_heartbeat = core->now + core->config.heartbeat_us;
  send_heartbeats (core);
}

static void
forgive_own_pause (bt_core_t *core)
{
  gint64 gap = core->now - core->members.last_tick;
  core->members.last_tick = core->now;
  if (gap < core->config.heartbeat_us)
    return;
  core->counters.own_pauses++;
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    member->heard_at = MIN (member->heard_at + gap, core->now);
}

static void
suspect_silent (bt_core_t *core)
{
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || core->now - member->heard_at < core->config.suspect_us)
        continue;
      member->alive = FALSE;
      member->leading = FALSE;
      core->counters.members_suspected++;
    }
}

/**
 * bt_members_tick() - send heartbeats that are due and suspect silent daemons
 * @core: the core
 *
 * A pause of this process is not taken for silence of the others.
 */
void
bt_members_tick (bt_core_t *core)
{
  forgive_own_pause (core);
  suspect_silent (core);
  if (core->now >= core->members.next_heartbeat)
    bt_members_announce (core);
}

static void
learn_address (bt_core_t *core, const char *address)
{
  if (address[0] == '\0' || strcmp (address, core->address) == 0)
    return;
  if (!g_hash_table_contains (core->members.seeds, address))
    g_hash_table_add (core->members.seeds, g_ref_string_new (address));
}

static void
pool_summary_free (gpointer data)
{
  bt__pool_summary__free_unpacked (data, NULL);
}

static void
take_pools (bt_member_t *member, const Bt__Heartbeat *beat)
{
  g_ptr_array_set_size (member->pools, 0);
  for (gsize i = 0; i < beat->n_pools; i++)
    {
      gsize size = bt__pool_summary__get_packed_size (beat->pools[i]);
      g_autofree guint8 *packed = g_malloc (size);
      bt__pool_summary__pack (beat->pools[i], packed);
      g_ptr_array_add (member->pools, bt__pool_summary__unpack (NULL, size, packed));
    }
}

/**
 * bt_members_on_heartbeat() - take in a peer's heartbeat
 * @core: the core
 * @envelope: an envelope with a heartbeat
 */
void
bt_members_on_heartbeat (bt_core_t *core, const Bt__Envelope *envelope)
{
  const Bt__Heartbeat *beat = envelope->heartbeat;
  core->counters.heartbeats_received++;
  bt_member_t *member = g_hash_table_lookup (core->members.by_name, envelope->from);
  if (member != NULL && member->incarnation > envelope->incarnation)
    return;
  if (member != NULL
      && (member->incarnation != envelope->incarnation
          || strcmp (member->address, envelope->address) != 0))
    {
      g_hash_table_remove (core->members.by_name, envelope->from);
      member = NULL;
    }
  if (member == NULL)
    {
      member = g_new0 (bt_member_t, 1);
      member->name = g_ref_string_new (envelope->from);
      member->address = g_ref_string_new (envelope->address);
      member->data_centre = g_ref_string_new (beat->data_centre);
      member->region = g_ref_string_new (beat->region);
      member->incarnation = envelope->incarnation;
      member->pools = g_ptr_array_new_with_free_func (pool_summary_free);
      g_hash_table_insert (core->members.by_name, member->name, member);
      learn_address (core, envelope->address);
    }
  member->heard_at = core->now;
  member->alive = TRUE;
  member->leading = beat->leading;
  member->leaving = beat->leaving;
  member->term = beat->term;
  member->lead_since = (gint64)beat->lead_since_us;
  member->tables_version = (gint64)beat->tables_version;
  take_pools (member, beat);
  for (gsize i = 0; i < beat->n_members; i++)
    learn_address (core, beat->members[i]->address);
}
