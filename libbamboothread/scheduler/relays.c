#include "libbamboothread/scheduler/relays.h"

#include <string.h>

#include "libbamboothread/scheduler/election.h"

/* Those on larger VMs first, and among equal ones in an order that doesn't change when they
   restart. */
static gint
compare_preferred (gconstpointer a, gconstpointer b)
{
  const bts_member_t *left = *(bts_member_t *const *)a;
  const bts_member_t *right = *(bts_member_t *const *)b;
  if (left->cpu_millis != right->cpu_millis)
    return left->cpu_millis > right->cpu_millis ? -1 : 1;
  guint left_hash = g_str_hash (left->address);
  guint right_hash = g_str_hash (right->address);
  return left_hash < right_hash ? -1 : left_hash > right_hash;
}

static gboolean
is_of_region (const bts_member_t *member, const bts_relays_view_t *view)
{
  return member->address != NULL && strcmp (member->region, view->region) == 0
         && (view->with_unconfirmed || !member->unconfirmed);
}

/**
 * bts_relays_list() - list the processes of a region that relay the journal
 * @view: what the choice depends on
 *
 * Return: bts_member_t, which belong to the members, the preferred ones first; empty if each
 * process is to read from the log.
 */
GPtrArray *
bts_relays_list (const bts_relays_view_t *view)
{
  GPtrArray *relays = bts_members_list_askable (view->members, view->now_us);
  for (guint i = relays->len; i > 0; i--)
    if (!is_of_region (relays->pdata[i - 1], view))
      g_ptr_array_remove_index_fast (relays, i - 1);
  guint n_processes = relays->len;
  for (guint i = relays->len; i > 0 && view->owner != NULL; i--)
    if (bts_node_same_vm (((const bts_member_t *)relays->pdata[i - 1])->name, view->owner))
      g_ptr_array_remove_index_fast (relays, i - 1);
  g_ptr_array_sort (relays, compare_preferred);
  guint n = (n_processes + BTS_RELAYS_FOLLOWERS_MAX - 1) / BTS_RELAYS_FOLLOWERS_MAX;
  g_ptr_array_set_size (relays,
                        n_processes < BTS_RELAYS_REGION_MIN ? 0 : (gint)MIN (n, relays->len));
  return relays;
}

/**
 * bts_relays_contain() - whether a process is among those that relay
 * @relays: the list
 * @node: name of any incarnation of the process
 */
gboolean
bts_relays_contain (const GPtrArray *relays, const char *node)
{
  for (guint i = 0; i < relays->len; i++)
    if (bts_node_same_vm (((const bts_member_t *)relays->pdata[i])->name, node))
      return TRUE;
  return FALSE;
}
