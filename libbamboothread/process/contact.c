#include "libbamboothread/process/core_private.h"

#include <string.h>

/*
 * Addresses where daemons are or were. They come from the settings, from the
 * daemons themselves and, a few at a time, from others' heartbeats; one that
 * nobody has heard of for long is forgotten.
 */

/* How long an address of a silent daemon is kept: longer than regions lose each other. */
#define FORGET_US (7200LL * BT_USEC_PER_SEC)
/* Most addresses that are kept. */
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
drop_oldest (bt_core_t *core)
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
 * bt_contacts_init() - know the addresses of the settings
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
 * bt_contacts_clear() - forget all addresses
 * @core: the core
 */
void
bt_contacts_clear (bt_core_t *core)
{
  g_hash_table_unref (core->members.contacts);
}

/**
 * bt_contacts_learn() - somebody has heard of a daemon at an address
 * @core: the core
 * @address: the address
 * @data_centre: its data centre, or "" if it is not known
 * @heard_at: when it was heard of, in microseconds
 */
void
bt_contacts_learn (bt_core_t *core, const char *address, const char *data_centre, gint64 heard_at)
{
  if (address[0] == '\0' || strcmp (address, core->address) == 0)
    return;
  if (heard_at + FORGET_US <= core->now)
    return;
  bt_contact_t *contact = g_hash_table_lookup (core->members.contacts, address);
  if (contact == NULL)
    {
      if (g_hash_table_size (core->members.contacts) >= CONTACTS_MAX)
        drop_oldest (core);
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
 * bt_contacts_expire() - drop addresses that nobody has heard of for long
 * @core: the core
 */
void
bt_contacts_expire (bt_core_t *core)
{
  GHashTableIter iter;
  const bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    if (!contact->is_seed && contact->heard_at + FORGET_US <= core->now)
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

/* Keeps a random choice of the contacts, each as likely as the next. */
static void
choose (bt_core_t *core, GPtrArray *chosen, guint most, const char *data_centre, gboolean within)
{
  guint seen = 0;
  GHashTableIter iter;
  bt_contact_t *contact;
  g_hash_table_iter_init (&iter, core->members.contacts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&contact))
    {
      if (contact->data_centre[0] == '\0'
          || (data_centre != NULL && (strcmp (contact->data_centre, data_centre) == 0) != within))
        continue;
      seen++;
      if (chosen->len < most)
        {
          g_ptr_array_add (chosen, contact);
          continue;
        }
      guint at = (guint)g_rand_int_range (core->rand, 0, (gint32)seen);
      if (at < most)
        chosen->pdata[at] = contact;
    }
}

/**
 * bt_contacts_sample() - choose addresses to tell another daemon
 * @core: the core
 * @infos: where they are added, to be freed by g_free()
 * @most: how many at most
 * @preferred: data centre whose addresses come first, or NULL
 */
void
bt_contacts_sample (bt_core_t *core, GPtrArray *infos, guint most, const char *preferred)
{
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  g_autoptr (GPtrArray) rest = g_ptr_array_new ();
  if (preferred != NULL)
    choose (core, chosen, most, preferred, TRUE);
  if (chosen->len < most)
    choose (core, rest, most - chosen->len, preferred, FALSE);
  for (guint i = 0; i < chosen->len; i++)
    add_info (core, infos, chosen->pdata[i]);
  for (guint i = 0; i < rest->len; i++)
    add_info (core, infos, rest->pdata[i]);
}

/**
 * bt_contacts_learn_all() - take in addresses that another daemon tells
 * @core: the core
 * @infos: the addresses
 * @n: how many
 */
void
bt_contacts_learn_all (bt_core_t *core, Bt__MemberInfo *const *infos, gsize n)
{
  for (gsize i = 0; i < n; i++)
    bt_contacts_learn (core, infos[i]->address, infos[i]->data_centre,
                       core->now - (gint64)infos[i]->age_ms * BT_USEC_PER_MSEC);
}
