#include "libbamboothread/scheduler/members.h"

#include <string.h>

#include "libbamboothread/scheduler/election.h"

/* A process without a sign for so long counts as gone, in microseconds: more than
   two of the signs that each one gives every four seconds. */
#define SILENT_US (10 * G_USEC_PER_SEC)

/**
 * struct bts_members_t - all processes that have given a sign
 * @table: name to bts_member_t
 */
struct bts_members_t
{
  GHashTable *table;
};

static void
member_free (gpointer data)
{
  bts_member_t *member = data;
  g_free (member->address);
  g_free (member);
}

bts_members_t *
bts_members_new (void)
{
  bts_members_t *members = g_new0 (bts_members_t, 1);
  members->table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, member_free);
  return members;
}

void
bts_members_free (bts_members_t *members)
{
  g_hash_table_unref (members->table);
  g_free (members);
}

static gboolean
is_earlier_life (gpointer key, gpointer value, gpointer node)
{
  return bts_node_same_vm (key, node);
}

/**
 * bts_members_mark_seen() - a process has given a sign
 * @members: the processes
 * @node: its name; an empty one says nothing
 * @now_us: the time
 */
void
bts_members_mark_seen (bts_members_t *members, const char *node, gint64 now_us)
{
  if (*node == '\0')
    return;
  bts_member_t *member = bts_members_find (members, node);
  if (member == NULL)
    {
      g_hash_table_foreach_remove (members->table, is_earlier_life, (gpointer)node);
      member = g_new0 (bts_member_t, 1);
      g_hash_table_insert (members->table, g_strdup (node), member);
    }
  member->last_seen_us = now_us;
}

/**
 * bts_members_update() - a process has said what it is
 * @members: the processes
 * @hello: what it said
 * @now_us: the time
 */
void
bts_members_update (bts_members_t *members, const Bts__Hello *hello, gint64 now_us)
{
  bts_members_mark_seen (members, hello->node, now_us);
  bts_member_t *member = bts_members_find (members, hello->node);
  if (member == NULL)
    return;
  g_free (member->address);
  member->address = *hello->address == '\0' ? NULL : g_strdup (hello->address);
  member->cpu_millis = hello->cpu_millis;
}

/**
 * bts_member_add_call() - a process was sent a question
 * @member: the process
 * @took_us: how long the call takes, about
 * @now_us: the time
 */
void
bts_member_add_call (bts_member_t *member, gint64 took_us, gint64 now_us)
{
  member->calls_in_flight++;
  member->busy_until_us = MAX (member->busy_until_us, now_us) + took_us;
}

/**
 * bts_members_finish_call() - a question to a process is over
 * @members: the processes
 * @node: its name
 * @now_us: the time
 */
void
bts_members_finish_call (bts_members_t *members, const char *node, gint64 now_us)
{
  bts_member_t *member = bts_members_find (members, node);
  if (member == NULL || member->calls_in_flight == 0)
    return;
  if (--member->calls_in_flight == 0)
    member->busy_until_us = MIN (member->busy_until_us, now_us);
}

/**
 * bts_members_suspect() - a process has left a message unanswered
 * @members: the processes
 * @node: its name; it counts as gone until it gives a new sign
 */
void
bts_members_suspect (bts_members_t *members, const char *node)
{
  bts_member_t *member = bts_members_find (members, node);
  if (member != NULL)
    member->last_seen_us = 0;
}

bts_member_t *
bts_members_find (const bts_members_t *members, const char *node)
{
  return g_hash_table_lookup (members->table, node);
}

static gboolean
is_live (const bts_member_t *member, gint64 now_us)
{
  return member->last_seen_us != 0 && now_us - member->last_seen_us <= SILENT_US;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/**
 * bts_members_list_live() - the processes that have given a sign lately
 * @members: the processes
 * @now_us: the time
 *
 * Return: their names in order; the names belong to @members.
 */
GPtrArray *
bts_members_list_live (const bts_members_t *members, gint64 now_us)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_live (value, now_us))
      g_ptr_array_add (names, key);
  g_ptr_array_sort (names, compare_names);
  return names;
}

/**
 * bts_members_count() - how many processes have given a sign
 * @members: the processes
 */
guint
bts_members_count (const bts_members_t *members)
{
  return g_hash_table_size (members->table);
}

/**
 * bts_members_max_cpu_millis() - the largest share of a processor that a live process has
 * @members: the processes
 * @now_us: the time
 *
 * Return: thousandths of a core; 0 if none is known.
 */
guint
bts_members_max_cpu_millis (const bts_members_t *members, gint64 now_us)
{
  guint strongest = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_live (value, now_us))
      strongest = MAX (strongest, ((bts_member_t *)value)->cpu_millis);
  return strongest;
}
