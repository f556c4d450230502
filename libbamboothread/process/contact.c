#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Addresses at which daemons are or were reachable. They come from the
 * settings, from the daemons themselves and, a few at a time, from the
 * heartbeats of other daemons. An address that no daemon has reported for
 * CONTACT_EXPIRY_US is removed unless the settings name it.
 */

/* How long the address of a silent daemon is kept: longer than a partition between regions. */
#define CONTACT_EXPIRY_US (7200LL * BT_USEC_PER_SEC)
/* Maximum number of addresses. */
#define CONTACTS_MAX 256

static void
contact_free (gpointer data)
{
  bt_contact_t *contact = data;
  g_ref_string_release (contact->address);
  g_ref_string_release (contact->data_centre);
  g_free (contact);
}

static void
remove_oldest (bt_core_t *core)
{
  bt_contact_t *oldest = NULL;
  GHashTableIter iter;
  bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    if (!contact->is_seed && (oldest == NULL || contact->heard_at < oldest->heard_at))
      oldest = contact;
  if (oldest != NULL)
    g_hash_table_remove (core->members.contacts, oldest->address);
}

static bt_contact_t *
contact_new (bt_core_t *core, const char *address)
{
  bt_contact_t *contact = g_new0 (bt_contact_t, 1);
  contact->address = g_ref_string_new (address);
  contact->data_centre = g_ref_string_new ("");
  contact->heard_at = core->now;
  g_hash_table_insert (core->members.contacts, contact->address, contact);
  return contact;
}

/**
 * bt_contacts_init() - start with the addresses of the settings
 * @core: the core
 */
void
bt_contacts_init (bt_core_t *core)
{
  core->members.contacts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, contact_free);
  const GPtrArray *seeds = core->config.seeds;
  for (guint i = 0; seeds != NULL && i < seeds->len; i++)
    {
      const char *address = seeds->pdata[i];
      gboolean known = g_hash_table_contains (core->members.contacts, address);
      if (!known && strcmp (address, core->address) != 0)
        contact_new (core, address)->is_seed = TRUE;
    }
}

/**
 * bt_contacts_clear() - free all addresses
 * @core: the core
 */
void
bt_contacts_clear (bt_core_t *core)
{
  g_hash_table_unref (core->members.contacts);
}

/**
 * bt_contacts_learn() - add or update the address of a daemon
 * @core: the core
 * @address: host:port; this daemon's own address is ignored
 * @data_centre: its data centre, or "" if it is not known
 * @heard_at: when the daemon there was last heard from, in microseconds; ignored
 *   if that is CONTACT_EXPIRY_US ago
 */
void
bt_contacts_learn (bt_core_t *core, const char *address, const char *data_centre, gint64 heard_at)
{
  if (address[0] == '\0' || strcmp (address, core->address) == 0)
    return;
  if (heard_at + CONTACT_EXPIRY_US <= core->now)
    return;
  bt_contact_t *contact = g_hash_table_lookup (core->members.contacts, address);
  if (contact == NULL)
    {
      if (g_hash_table_size (core->members.contacts) >= CONTACTS_MAX)
        remove_oldest (core);
      contact = contact_new (core, address);
      contact->heard_at = heard_at;
    }
  contact->heard_at = MAX (contact->heard_at, heard_at);
  if (data_centre[0] == '\0' || strcmp (contact->data_centre, data_centre) == 0)
    return;
  g_ref_string_release (contact->data_centre);
  contact->data_centre = g_ref_string_new (data_centre);
}

/**
 * bt_contacts_expire() - remove addresses not heard from for CONTACT_EXPIRY_US
 * @core: the core
 */
void
bt_contacts_expire (bt_core_t *core)
{
  GHashTableIter iter;
  const bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    if (!contact->is_seed && contact->heard_at + CONTACT_EXPIRY_US <= core->now)
      g_hash_table_iter_remove (&iter);
}

static void
add_info (const bt_core_t *core, GPtrArray *infos, const bt_contact_t *contact)
{
  Bt__MemberInfo *info = g_new (Bt__MemberInfo, 1);
  bt__member_info__init (info);
  info->address = contact->address;
  info->data_centre = contact->data_centre;
  info->age_ms = (guint32)((core->now - contact->heard_at) / BT_USEC_PER_MSEC);
  g_ptr_array_add (infos, info);
}

/*
 * Fills @sampled up to @max with a uniform random sample (reservoir sampling) of
 * the contacts whose data centre is known: if @data_centre is not NULL, of those
 * in it if @in_data_centre, else of those outside it.
 */
static void
sample (bt_core_t *core, GPtrArray *sampled, guint max, const char *data_centre,
        gboolean in_data_centre)
{
  guint n_eligible = 0;
  GHashTableIter iter;
  bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    {
      if (contact->data_centre[0] == '\0'
          || (data_centre != NULL
              && (strcmp (contact->data_centre, data_centre) == 0) != in_data_centre))
        continue;
      n_eligible++;
      if (sampled->len < max)
        {
          g_ptr_array_add (sampled, contact);
          continue;
        }
      guint slot = (guint)g_rand_int_range (core->rand, 0, (gint32)n_eligible);
      if (slot < max)
        sampled->pdata[slot] = contact;
    }
}

/**
 * bt_contacts_sample() - choose random addresses to send to another daemon
 * @core: the core
 * @infos: filled with &struct Bt__MemberInfo, each to be freed with g_free()
 * @max: maximum number of addresses
 * @preferred_data_centre: data centre whose addresses are chosen first, or NULL
 */
void
bt_contacts_sample (bt_core_t *core, GPtrArray *infos, guint max, const char *preferred_data_centre)
{
  g_autoptr (GPtrArray) in_preferred = g_ptr_array_new ();
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  if (preferred_data_centre != NULL)
    sample (core, in_preferred, max, preferred_data_centre, TRUE);
  if (in_preferred->len < max)
    sample (core, others, max - in_preferred->len, preferred_data_centre, FALSE);
  for (guint i = 0; i < in_preferred->len; i++)
    add_info (core, infos, in_preferred->pdata[i]);
  for (guint i = 0; i < others->len; i++)
    add_info (core, infos, others->pdata[i]);
}

/**
 * bt_contacts_learn_all() - add or update the addresses that another daemon sent
 * @core: the core
 * @infos: the addresses
 * @n: length of @infos
 */
void
bt_contacts_learn_all (bt_core_t *core, Bt__MemberInfo *const *infos, gsize n)
{
  for (gsize i = 0; i < n; i++)
    bt_contacts_learn (core, infos[i]->address, infos[i]->data_centre,
                       core->now - (gint64)infos[i]->age_ms * BT_USEC_PER_MSEC);
}
