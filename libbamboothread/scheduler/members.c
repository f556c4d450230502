#include "libbamboothread/scheduler/members.h"

#include <string.h>

#include "libbamboothread/scheduler/election.h"

/* A process not heard from for this long counts as dead, in microseconds: more than two
   intervals of the Hello records, which each process writes every four seconds. */
#define MEMBER_TIMEOUT_US (10 * G_USEC_PER_SEC)
/* Processes that are ready to become the owner: enough for several to fail at once, and few enough
   that what they read doesn't grow with the number of VMs. */
#define STANDBYS_MAX 6

/**
 * struct bts_members_t - all processes that have been heard from
 * @table: process name to bts_member_t
 * @sorted: the values of @table, sorted by name; NULL after a change
 */
struct bts_members_t
{
  GHashTable *table;
  GPtrArray *sorted;
};

static void
member_free (gpointer data)
{
  bts_member_t *member = data;
  bts_advice_calls_clear (&member->calls);
  g_free (member->address);
  g_free (member->region);
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
  g_clear_pointer (&members->sorted, g_ptr_array_unref);
  g_free (members);
}

static gboolean
is_same_vm (gpointer key, gpointer value, gpointer node)
{
  return bts_node_same_vm (key, node);
}

/**
 * bts_members_mark_seen() - record that a process was heard from
 * @members: the processes
 * @node: its name; ignored if empty
 * @now_us: the time; 0 if a replay names it, so that the age of the record isn't known
 *
 * A process with a new name replaces the earlier ones of its VM.
 */
void
bts_members_mark_seen (bts_members_t *members, const char *node, gint64 now_us)
{
  if (*node == '\0')
    return;
  bts_member_t *member = bts_members_find (members, node);
  if (member == NULL)
    {
      g_clear_pointer (&members->sorted, g_ptr_array_unref);
      g_hash_table_foreach_remove (members->table, is_same_vm, (gpointer)node);
      member = g_new0 (bts_member_t, 1);
      member->name = g_strdup (node);
      member->region = g_strdup ("");
      bts_advice_calls_init (&member->calls);
      g_hash_table_insert (members->table, member->name, member);
    }
  member->last_seen_us = now_us;
  member->unconfirmed = now_us == 0;
}

/**
 * bts_members_update() - record the contents of a process's Hello record
 * @members: the processes
 * @hello: the record
 * @now_us: the time; 0 in a replay
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
  g_free (member->region);
  member->region = g_strdup (hello->region);
  member->cpu_millis = hello->cpu_millis;
  member->job_memory_kb = hello->job_memory_kb;
}

/**
 * bts_members_finish_call() - record that a request to call the advice service is over
 * @members: the processes
 * @ask: the request; ignored if another process has replaced the one that was asked
 * @answered: whether the process has answered it
 * @now_us: the time
 */
void
bts_members_finish_call (bts_members_t *members, const Bts__Ask *ask, gboolean answered,
                         gint64 now_us)
{
  bts_member_t *member = bts_members_find (members, ask->node);
  if (member != NULL)
    bts_advice_calls_remove (&member->calls, ask, answered, now_us);
}

/**
 * bts_members_suspect() - record that a process didn't answer a message
 * @members: the processes
 * @node: its name; it counts as dead until it is heard from again
 */
void
bts_members_suspect (bts_members_t *members, const char *node)
{
  bts_member_t *member = bts_members_find (members, node);
  if (member == NULL)
    return;
  member->last_seen_us = 0;
  member->unconfirmed = FALSE;
}

/**
 * bts_members_mark_answered() - record that a process has answered a message
 * @members: the processes
 * @node: its name; ignored if another process has replaced it
 * @now_us: the time
 */
void
bts_members_mark_answered (bts_members_t *members, const char *node, gint64 now_us)
{
  bts_member_t *member = bts_members_find (members, node);
  if (member == NULL)
    return;
  member->last_seen_us = now_us;
  member->unconfirmed = FALSE;
}

bts_member_t *
bts_members_find (const bts_members_t *members, const char *node)
{
  return g_hash_table_lookup (members->table, node);
}

static gboolean
is_live (const bts_member_t *member, gint64 now_us)
{
  return member->last_seen_us != 0 && now_us - member->last_seen_us <= MEMBER_TIMEOUT_US;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  const bts_member_t *left = *(bts_member_t *const *)a;
  const bts_member_t *right = *(bts_member_t *const *)b;
  return strcmp (left->name, right->name);
}

static void
sort_members (bts_members_t *members)
{
  members->sorted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (members->sorted, value);
  g_ptr_array_sort (members->sorted, compare_names);
}

/**
 * bts_members_list_askable() - list the processes that may answer a message
 * @members: the processes
 * @now_us: the time
 *
 * Return: those that were heard from lately, and those that a replay has named (bts_member_t),
 * sorted by name; they belong to @members.
 */
GPtrArray *
bts_members_list_askable (bts_members_t *members, gint64 now_us)
{
  if (members->sorted == NULL)
    sort_members (members);
  GPtrArray *askable = g_ptr_array_sized_new (members->sorted->len);
  for (guint i = 0; i < members->sorted->len; i++)
    {
      bts_member_t *member = members->sorted->pdata[i];
      if (member->unconfirmed || is_live (member, now_us))
        g_ptr_array_add (askable, member);
    }
  return askable;
}

/**
 * bts_members_count() - number of known processes, dead ones included
 * @members: the processes
 */
guint
bts_members_count (const bts_members_t *members)
{
  return g_hash_table_size (members->table);
}

/* Whether a process is preferred as the owner: those with a larger CPU share, and among equal ones
   in an order that mixes data centres. */
static gboolean
is_preferred (const char *node, const bts_member_t *member, const char *other,
              const bts_member_t *other_member)
{
  if (member->cpu_millis != other_member->cpu_millis)
    return member->cpu_millis > other_member->cpu_millis;
  return g_str_hash (node) < g_str_hash (other);
}

/**
 * bts_members_rank() - place of a process in the order of preference as the owner
 * @members: the processes
 * @node: name of the process
 * @now_us: the time
 *
 * Return: number of live processes that are preferred; %G_MAXUINT until it has been heard from.
 */
guint
bts_members_rank (const bts_members_t *members, const char *node, gint64 now_us)
{
  const bts_member_t *member = bts_members_find (members, node);
  if (member == NULL)
    return G_MAXUINT;
  guint n_preferred = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    n_preferred += is_live (value, now_us) && is_preferred (key, value, node, member);
  return n_preferred;
}

/**
 * bts_members_is_standby() - whether a process should be ready to become the owner
 * @members: the processes
 * @node: name of the process
 * @now_us: the time
 *
 * Return: whether it is among the %STANDBYS_MAX live processes preferred as the owner.
 */
gboolean
bts_members_is_standby (const bts_members_t *members, const char *node, gint64 now_us)
{
  return bts_members_rank (members, node, now_us) < STANDBYS_MAX;
}

/**
 * bts_members_max_cpu_millis() - largest CPU share of a live process
 * @members: the processes
 * @now_us: the time
 *
 * Return: thousandths of a core; 0 if none is known.
 */
guint
bts_members_max_cpu_millis (const bts_members_t *members, gint64 now_us)
{
  guint max_cpu_millis = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_live (value, now_us))
      max_cpu_millis = MAX (max_cpu_millis, ((bts_member_t *)value)->cpu_millis);
  return max_cpu_millis;
}

/**
 * bts_members_min_job_memory() - least memory that jobs may take in a live process
 * @members: the processes
 * @now_us: the time
 *
 * Return: bytes; 0 if none is known.
 */
gsize
bts_members_min_job_memory (const bts_members_t *members, gint64 now_us)
{
  gsize least_kb = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const bts_member_t *member = value;
      if (is_live (member, now_us) && member->job_memory_kb != 0)
        least_kb = least_kb == 0 ? member->job_memory_kb : MIN (least_kb, member->job_memory_kb);
    }
  return least_kb * 1000;
}
