#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Membership and failure detection: which other daemons there are and which of
 * them are alive. A wrong view costs only a forwarding hop or a delay; safety
 * depends on the workers' leases alone.
 *
 * The daemons of a data centre send each other heartbeats. One of them, the
 * relay, also exchanges heartbeats with the relays of the other data centres
 * and tells the daemons of its own data centre who leads in the others.
 */

/* A daemon of another data centre is suspected after this many times suspect_us of silence. */
#define REMOTE_SUSPECT_FACTOR 3
/* How long a silent daemon stays in the list of members. */
#define MEMBER_RETENTION_US (600 * BT_USEC_PER_SEC)
/* Every so many rounds of heartbeats, the heartbeats carry the summaries of the pools. */
#define POOLS_INTERVAL_ROUNDS 4
/* Every so many rounds, a random address that is not known to be local is probed. */
#define PROBE_INTERVAL_ROUNDS 8
/* Rounds after the start in which every known address is probed. */
#define BOOTSTRAP_ROUNDS 3
/* Random addresses, not known to be local, that are probed in a round while no other daemon
 * is known to be alive. */
#define ISOLATED_PROBES 3
/* Addresses of other daemons in a heartbeat, and in the reply to a probe. */
#define ADDRESSES_PER_HEARTBEAT 2
#define ADDRESSES_PER_PROBE_REPLY 16

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
 * bt_members_init() - start with no daemons and with the seed addresses of the settings
 * @core: the core
 */
void
bt_members_init (bt_core_t *core)
{
  core->members.by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  core->members.last_tick = core->now;
  bt_contacts_init (core);
}

/**
 * bt_members_clear() - free all daemons and addresses
 * @core: the core
 */
void
bt_members_clear (bt_core_t *core)
{
  g_hash_table_unref (core->members.by_name);
  bt_contacts_clear (core);
}

/**
 * bt_members_find() - find a daemon by its name, alive or not
 * @core: the core
 * @name: its name
 *
 * Return: the daemon, or NULL if it is unknown.
 */
const bt_member_t *
bt_members_find (const bt_core_t *core, const char *name)
{
  return g_hash_table_lookup (core->members.by_name, name);
}

/**
 * bt_members_find_alive() - find a live daemon by its name
 * @core: the core
 * @name: its name
 *
 * Return: the daemon, or NULL if it is unknown or suspected.
 */
const bt_member_t *
bt_members_find_alive (const bt_core_t *core, const char *name)
{
  const bt_member_t *member = g_hash_table_lookup (core->members.by_name, name);
  return member != NULL && member->alive ? member : NULL;
}

static gboolean
is_local (const bt_core_t *core, const bt_member_t *member)
{
  return strcmp (member->data_centre, core->data_centre) == 0;
}

/* Whether @member takes precedence where two daemons claim to lead: the higher
 * term does if both are known, else the one that was heard to lead last. */
static gboolean
supersedes (const bt_member_t *member, const bt_member_t *other)
{
  if (member->term > 0 && other->term > 0 && member->term != other->term)
    return member->term > other->term;
  if (member->heard_leading_at != other->heard_leading_at)
    return member->heard_leading_at > other->heard_leading_at;
  return strcmp (member->name, other->name) < 0;
}

/**
 * bt_members_find_leader() - find the daemon that owns a data centre's workers
 * @core: the core
 * @data_centre: the data centre's name
 *
 * Return: that daemon, or NULL if none claims to or if it is this one.
 */
const bt_member_t *
bt_members_find_leader (const bt_core_t *core, const char *data_centre)
{
  const bt_member_t *found = NULL;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || !member->leading || strcmp (member->data_centre, data_centre) != 0)
        continue;
      if (found == NULL || supersedes (member, found))
        found = member;
    }
  return found;
}

static guint
election_rank (const char *name)
{
  return g_str_hash (name) * 2654435761u;
}

static gboolean
ranks_before (const char *a, const char *b)
{
  guint left = election_rank (a);
  guint right = election_rank (b);
  return left != right ? left < right : strcmp (a, b) < 0;
}

/**
 * bt_members_is_candidate() - whether this daemon should own its data centre's workers
 * @core: the core
 *
 * The current owner keeps the workers until it leaves or is suspected, so that
 * replacing another daemon does not move them; otherwise the first daemon by
 * rank is the candidate. A daemon that has just started is no candidate for two
 * heartbeat intervals.
 *
 * Return: TRUE if it should.
 */
gboolean
bt_members_is_candidate (const bt_core_t *core)
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

/* Whether this daemon is the relay: the owner is, or the first by rank while there is no owner. */
static gboolean
is_relay (const bt_core_t *core)
{
  if (core->owner.leading)
    return TRUE;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || !is_local (core, member))
        continue;
      if (member->leading)
        return FALSE;
      if (!member->leaving && (core->leaving || ranks_before (member->name, core->name)))
        return FALSE;
    }
  return TRUE;
}

static void
summarize_pools (bt_core_t *core, GPtrArray *pools)
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
          summary->wait_ms
              = (guint32)(bt_estimate_pool_wait_us (core, worker->pool) / BT_USEC_PER_MSEC);
          g_hash_table_insert (by_pool, worker->pool, summary);
          g_ptr_array_add (pools, summary);
        }
      bt_resources_t room = worker->capacity;
      bt_resources_subtract (&room, &worker->used);
      summary->free_mcpus += (guint64)MAX (room.v[BT_RESOURCE_MCPUS], 0);
      summary->free_memory_mb += (guint64)MAX (room.v[BT_RESOURCE_MEMORY_MB], 0);
      summary->free_gpus += (guint64)MAX (room.v[BT_RESOURCE_GPUS], 0);
      summary->free_slots += (guint32)MAX (room.v[BT_RESOURCE_SLOTS], 0);
    }
}

/* A heartbeat and the arrays that it points to. */
typedef struct
{
  Bt__Heartbeat heartbeat;
  GPtrArray *pools;
  GPtrArray *member_infos;
  GPtrArray *centres;
} heartbeat_message_t;

static void
centre_free (gpointer data)
{
  Bt__Centre *centre = data;
  g_free (centre->leader);
  g_free (centre);
}

static void
heartbeat_message_init (bt_core_t *core, heartbeat_message_t *message, gboolean with_pools)
{
  bt__heartbeat__init (&message->heartbeat);
  message->pools = g_ptr_array_new_with_free_func (g_free);
  message->member_infos = g_ptr_array_new_with_free_func (g_free);
  message->centres = g_ptr_array_new_with_free_func (centre_free);
  Bt__Heartbeat *heartbeat = &message->heartbeat;
  heartbeat->data_centre = core->data_centre;
  heartbeat->region = core->region;
  heartbeat->leading = core->owner.leading;
  heartbeat->leaving = core->leaving;
  heartbeat->relay = is_relay (core);
  heartbeat->term = (guint64)core->journal.own_term;
  heartbeat->lead_since_us = (guint64)core->owner.lead_since;
  heartbeat->tables_version = (guint64)core->tables.version;
  heartbeat->journal_next = (guint64)core->journal.next;
  heartbeat->has_pools = with_pools;
  if (with_pools)
    summarize_pools (core, message->pools);
}

static void
heartbeat_message_clear (heartbeat_message_t *message)
{
  g_ptr_array_unref (message->pools);
  g_ptr_array_unref (message->member_infos);
  g_ptr_array_unref (message->centres);
}

static void
send_heartbeat_message (bt_core_t *core, heartbeat_message_t *message, const char *address)
{
  Bt__Heartbeat *heartbeat = &message->heartbeat;
  heartbeat->n_pools = message->pools->len;
  heartbeat->pools = (Bt__PoolSummary **)message->pools->pdata;
  heartbeat->n_members = message->member_infos->len;
  heartbeat->members = (Bt__MemberInfo **)message->member_infos->pdata;
  heartbeat->n_centres = message->centres->len;
  heartbeat->centres = (Bt__Centre **)message->centres->pdata;
  Bt__Envelope envelope = BT__ENVELOPE__INIT;
  envelope.body_case = BT__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = heartbeat;
  bt_core_send (core, address, &envelope);
  core->counters.heartbeats_sent++;
  if (heartbeat->probe)
    core->counters.probes_sent++;
}

static void
add_centre (const bt_core_t *core, heartbeat_message_t *message, const bt_member_t *leader)
{
  Bt__MemberInfo *info = g_new (Bt__MemberInfo, 1);
  bt__member_info__init (info);
  info->name = leader->name;
  info->address = leader->address;
  info->data_centre = leader->data_centre;
  info->region = leader->region;
  info->incarnation = leader->incarnation;
  info->age_ms = (guint32)((core->now - leader->heard_at) / BT_USEC_PER_MSEC);
  Bt__Centre *centre = g_new (Bt__Centre, 1);
  bt__centre__init (centre);
  centre->leader = info;
  centre->term = leader->term;
  centre->lead_since_us = (guint64)leader->lead_since;
  centre->tables_version = (guint64)leader->tables_version;
  centre->has_pools = message->heartbeat.has_pools;
  if (centre->has_pools)
    {
      centre->n_pools = leader->pools->len;
      centre->pools = (Bt__PoolSummary **)leader->pools->pdata;
    }
  g_ptr_array_add (message->centres, centre);
}

static void
fill_centres (const bt_core_t *core, heartbeat_message_t *message)
{
  if (!message->heartbeat.relay)
    return;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive && !is_local (core, member)
        && bt_members_find_leader (core, member->data_centre) == member)
      add_centre (core, message, member);
}

static void
send_to_local_members (bt_core_t *core, gboolean with_pools)
{
  heartbeat_message_t message;
  heartbeat_message_init (core, &message, with_pools);
  fill_centres (core, &message);
  bt_contacts_sample (core, message.member_infos, ADDRESSES_PER_HEARTBEAT, NULL);
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive && is_local (core, member))
      send_heartbeat_message (core, &message, member->address);
  heartbeat_message_clear (&message);
}

static const bt_member_t *
find_relay (const bt_core_t *core, const char *data_centre)
{
  const bt_member_t *found = bt_members_find_leader (core, data_centre);
  if (found != NULL)
    return found;
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      if (!member->alive || !member->is_relay || strcmp (member->data_centre, data_centre) != 0)
        continue;
      if (found == NULL || member->heard_at > found->heard_at)
        found = member;
    }
  return found;
}

/* Returns the contacts of each other data centre: its name to a GPtrArray of bt_contact_t. */
static GHashTable *
contacts_by_remote_centre (const bt_core_t *core)
{
  GHashTable *centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  GHashTableIter iter;
  bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    {
      if (contact->data_centre[0] == '\0' || strcmp (contact->data_centre, core->data_centre) == 0)
        continue;
      GPtrArray *there = g_hash_table_lookup (centres, contact->data_centre);
      if (there == NULL)
        {
          there = g_ptr_array_new ();
          g_hash_table_insert (centres, contact->data_centre, there);
        }
      g_ptr_array_add (there, contact);
    }
  return centres;
}

static const char *
random_address (bt_core_t *core, const GPtrArray *contacts)
{
  guint at = (guint)g_rand_int_range (core->rand, 0, (gint32)contacts->len);
  const bt_contact_t *contact = contacts->pdata[at];
  return contact->address;
}

/* Sends a heartbeat to the relay of each other data centre; if the relay is not
 * known, probes a random address there. */
static void
send_to_remote_relays (bt_core_t *core, gboolean with_pools)
{
  if (!is_relay (core))
    return;
  heartbeat_message_t message;
  heartbeat_message_init (core, &message, with_pools);
  bt_contacts_sample (core, message.member_infos, ADDRESSES_PER_HEARTBEAT, core->data_centre);
  g_autoptr (GHashTable) centres = contacts_by_remote_centre (core);
  GHashTableIter iter;
  const char *data_centre;
  const GPtrArray *contacts;
  g_hash_table_iter_init (&iter, centres);
  while (g_hash_table_iter_next (&iter, (gpointer *)&data_centre, (gpointer *)&contacts))
    {
      const bt_member_t *relay = find_relay (core, data_centre);
      message.heartbeat.probe = relay == NULL;
      send_heartbeat_message (core, &message,
                              relay != NULL ? relay->address : random_address (core, contacts));
    }
  heartbeat_message_clear (&message);
}

static GHashTable *
local_alive_addresses (const bt_core_t *core)
{
  GHashTable *alive = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive && is_local (core, member))
      g_hash_table_add (alive, member->address);
  return alive;
}

static gboolean
is_isolated (const bt_core_t *core)
{
  GHashTableIter iter;
  const bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    if (member->alive)
      return FALSE;
  return TRUE;
}

static void
probe_all (bt_core_t *core, heartbeat_message_t *message, const GPtrArray *contacts)
{
  for (guint i = 0; i < contacts->len; i++)
    {
      const bt_contact_t *contact = contacts->pdata[i];
      send_heartbeat_message (core, message, contact->address);
    }
}

static void
probe_random (bt_core_t *core, heartbeat_message_t *message, const GPtrArray *contacts, guint n)
{
  for (guint i = 0; contacts->len > 0 && i < n; i++)
    send_heartbeat_message (core, message, random_address (core, contacts));
}

/* Probes addresses at which no daemon of this data centre is known to be alive: all of them in the
 * first BOOTSTRAP_ROUNDS; then, at random, one that belongs to this data centre in every round,
 * and one of the others every PROBE_INTERVAL_ROUNDS, or ISOLATED_PROBES of the others in every
 * round while no other daemon is known to be alive. */
static void
send_probes (bt_core_t *core)
{
  g_autoptr (GHashTable) alive = local_alive_addresses (core);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  GHashTableIter iter;
  bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    if (!g_hash_table_contains (alive, contact->address))
      {
        gboolean local = strcmp (contact->data_centre, core->data_centre) == 0;
        g_ptr_array_add (local ? silent : others, contact);
      }
  heartbeat_message_t message;
  heartbeat_message_init (core, &message, FALSE);
  message.heartbeat.probe = TRUE;
  guint64 round = core->members.heartbeat_rounds++;
  if (round < BOOTSTRAP_ROUNDS)
    {
      probe_all (core, &message, silent);
      probe_all (core, &message, others);
    }
  else
    {
      probe_random (core, &message, silent, 1);
      probe_random (core, &message, others,
                    is_isolated (core) ? ISOLATED_PROBES : round % PROBE_INTERVAL_ROUNDS == 0);
    }
  heartbeat_message_clear (&message);
}

static void
send_heartbeats (bt_core_t *core)
{
  gboolean with_pools
      = core->members.pools_due || core->members.heartbeat_rounds % POOLS_INTERVAL_ROUNDS == 0;
  core->members.pools_due = FALSE;
  send_to_local_members (core, with_pools);
  send_to_remote_relays (core, with_pools);
}

/**
 * bt_members_announce() - send heartbeats at once, because their content has changed
 * @core: the core
 */
void
bt_members_announce (bt_core_t *core)
{
  core->members.next_heartbeat = core->now + core->config.heartbeat_us;
  core->members.pools_due = TRUE;
  send_heartbeats (core);
}

static void
reply_to_probe (bt_core_t *core, const Bt__Envelope *envelope)
{
  heartbeat_message_t message;
  heartbeat_message_init (core, &message, FALSE);
  if (strcmp (envelope->heartbeat->data_centre, core->data_centre) == 0)
    fill_centres (core, &message);
  bt_contacts_sample (core, message.member_infos, ADDRESSES_PER_PROBE_REPLY,
                      envelope->heartbeat->data_centre);
  send_heartbeat_message (core, &message, envelope->address);
  heartbeat_message_clear (&message);
}

static void
compensate_own_pause (bt_core_t *core)
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

static gint64
suspicion_timeout_us (const bt_core_t *core, const bt_member_t *member)
{
  gint64 silence = core->config.suspect_us;
  return is_local (core, member) ? silence : REMOTE_SUSPECT_FACTOR * silence;
}

static void
check_silent_members (bt_core_t *core)
{
  GHashTableIter iter;
  bt_member_t *member;
  g_hash_table_iter_init (&iter, core->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&member))
    {
      gint64 silence = core->now - member->heard_at;
      if (silence >= MEMBER_RETENTION_US)
        {
          core->counters.members_forgotten++;
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (!member->alive || silence < suspicion_timeout_us (core, member))
        continue;
      member->alive = FALSE;
      member->leading = FALSE;
      core->counters.members_suspected++;
    }
  bt_contacts_expire (core);
}

/**
 * bt_members_tick() - send heartbeats that are due and suspect silent daemons
 * @core: the core
 *
 * A pause of this process is not counted as silence of the other daemons.
 */
void
bt_members_tick (bt_core_t *core)
{
  compensate_own_pause (core);
  check_silent_members (core);
  if (core->now < core->members.next_heartbeat)
    return;
  core->members.next_heartbeat = core->now + core->config.heartbeat_us;
  send_heartbeats (core);
  send_probes (core);
}

static void
pool_summary_free (gpointer data)
{
  bt__pool_summary__free_unpacked (data, NULL);
}

static void
copy_pools (bt_member_t *member, Bt__PoolSummary *const *pools, gsize n)
{
  g_ptr_array_set_size (member->pools, 0);
  for (gsize i = 0; i < n; i++)
    {
      gsize size = bt__pool_summary__get_packed_size (pools[i]);
      g_autofree guint8 *packed = g_malloc (size);
      bt__pool_summary__pack (pools[i], packed);
      g_ptr_array_add (member->pools, bt__pool_summary__unpack (NULL, size, packed));
    }
}

static bt_member_t *
member_new (bt_core_t *core, const char *name, const char *address, guint64 incarnation)
{
  bt_member_t *member = g_new0 (bt_member_t, 1);
  member->name = g_ref_string_new (name);
  member->address = g_ref_string_new (address);
  member->data_centre = g_ref_string_new ("");
  member->region = g_ref_string_new ("");
  member->incarnation = incarnation;
  member->pools = g_ptr_array_new_with_free_func (pool_summary_free);
  member->heard_at = core->now;
  g_hash_table_replace (core->members.by_name, member->name, member);
  return member;
}

/* Returns the daemon's entry for this incarnation, which is added if needed, or
 * NULL if a later incarnation is known. */
static bt_member_t *
get_or_add_member (bt_core_t *core, const char *name, const char *address, guint64 incarnation)
{
  bt_member_t *member = g_hash_table_lookup (core->members.by_name, name);
  if (member != NULL && member->incarnation > incarnation)
    return NULL;
  if (member != NULL && member->incarnation == incarnation
      && strcmp (member->address, address) == 0)
    return member;
  return member_new (core, name, address, incarnation);
}

static void
set_location (bt_member_t *member, const char *data_centre, const char *region)
{
  if (strcmp (member->data_centre, data_centre) == 0)
    return;
  g_ref_string_release (member->data_centre);
  g_ref_string_release (member->region);
  member->data_centre = g_ref_string_new (data_centre);
  member->region = g_ref_string_new (region);
}

/**
 * bt_members_on_message() - note that the sender of a message was heard
 * @core: the core
 * @envelope: the message
 *
 * An unknown sender is added, so that it can be answered.
 */
void
bt_members_on_message (bt_core_t *core, const Bt__Envelope *envelope)
{
  bt_member_t *member
      = get_or_add_member (core, envelope->from, envelope->address, envelope->incarnation);
  if (member != NULL)
    member->heard_at = core->now;
}

static void
set_leading (bt_core_t *core, bt_member_t *member, gboolean leading, gint64 lead_since)
{
  gboolean begins = leading && (!member->leading || member->lead_since != lead_since);
  if (begins)
    member->heard_leading_at = core->now;
  gboolean changed = begins || member->leading != leading;
  member->leading = leading;
  member->lead_since = lead_since;
  if (!changed || is_local (core, member) || !is_relay (core))
    return;
  core->members.next_heartbeat = core->now;
  core->members.pools_due = TRUE;
}

/* Applies what the relay of this data centre passes on about another one's leader. */
static void
apply_centre (bt_core_t *core, const Bt__Centre *centre)
{
  const Bt__MemberInfo *info = centre->leader;
  if (info == NULL || info->name[0] == '\0' || strcmp (info->name, core->name) == 0
      || strcmp (info->data_centre, core->data_centre) == 0)
    return;
  gint64 heard_at = core->now - (gint64)info->age_ms * BT_USEC_PER_MSEC;
  gboolean known = bt_members_find (core, info->name) != NULL;
  bt_member_t *member = get_or_add_member (core, info->name, info->address, info->incarnation);
  if (member == NULL || (known && member->heard_at > heard_at && member->leading))
    return;
  if (core->now - heard_at >= REMOTE_SUSPECT_FACTOR * core->config.suspect_us)
    return;
  set_location (member, info->data_centre, info->region);
  member->heard_at = heard_at;
  member->alive = TRUE;
  member->is_relay = TRUE;
  member->term = centre->term;
  member->tables_version = (gint64)centre->tables_version;
  set_leading (core, member, TRUE, (gint64)centre->lead_since_us);
  if (centre->has_pools)
    copy_pools (member, centre->pools, centre->n_pools);
  bt_contacts_learn (core, info->address, info->data_centre, heard_at);
}

/**
 * bt_members_on_heartbeat() - apply the heartbeat of another daemon
 * @core: the core
 * @envelope: an envelope with a heartbeat
 */
void
bt_members_on_heartbeat (bt_core_t *core, const Bt__Envelope *envelope)
{
  const Bt__Heartbeat *heartbeat = envelope->heartbeat;
  core->counters.heartbeats_received++;
  bt_member_t *member
      = get_or_add_member (core, envelope->from, envelope->address, envelope->incarnation);
  if (member == NULL)
    return;
  set_location (member, heartbeat->data_centre, heartbeat->region);
  member->heard_at = core->now;
  member->alive = TRUE;
  member->is_relay = heartbeat->relay;
  member->leaving = heartbeat->leaving;
  member->term = heartbeat->term;
  member->tables_version = (gint64)heartbeat->tables_version;
  set_leading (core, member, heartbeat->leading, (gint64)heartbeat->lead_since_us);
  if (heartbeat->has_pools)
    copy_pools (member, heartbeat->pools, heartbeat->n_pools);
  bt_contacts_learn (core, envelope->address, heartbeat->data_centre, core->now);
  bt_contacts_learn_all (core, heartbeat->members, heartbeat->n_members);
  if (is_local (core, member))
    for (gsize i = 0; i < heartbeat->n_centres; i++)
      apply_centre (core, heartbeat->centres[i]);
  if (heartbeat->probe)
    reply_to_probe (core, envelope);
}
