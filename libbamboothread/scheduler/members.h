#ifndef BTS_MEMBERS_H
#define BTS_MEMBERS_H

#include <glib.h>

#include "libbamboothread/scheduler/advice_calls.h"
#include "proto/record.pb-c.h"

/*
 * The scheduler's processes, and which of them are alive, by their records in the journal.
 */

/**
 * struct bts_member_t - a process
 * @name: its name
 * @address: IP:port for messages between processes, or NULL if not known
 * @region: the region of its VM; empty if not known
 * @cpu_millis: its CPU share, in thousandths of a core; 0 if not known
 * @job_memory_kb: memory that jobs may take there, in thousands of bytes; 0 if not known
 * @last_seen_us: when it was last heard from; 0 once it is suspected
 * @unconfirmed: only a replay of the journal has named it; it may be long gone. It doesn't count as
 *   alive, but may be asked to call the advice service
 * @calls: the calls to the advice service that it has been asked to make
 */
typedef struct
{
  char *name;
  char *address;
  char *region;
  guint cpu_millis;
  guint job_memory_kb;
  gint64 last_seen_us;
  gboolean unconfirmed;
  bts_advice_calls_t calls;
} bts_member_t;

typedef struct bts_members_t bts_members_t;

bts_members_t *bts_members_new (void);
void bts_members_free (bts_members_t *members);
void bts_members_mark_seen (bts_members_t *members, const char *node, gint64 now_us);
void bts_members_update (bts_members_t *members, const Bts__Hello *hello, gint64 now_us);
void bts_members_finish_call (bts_members_t *members, const Bts__Ask *ask, gboolean answered,
                              gint64 now_us);
void bts_members_mark_answered (bts_members_t *members, const char *node, gint64 now_us);
void bts_members_suspect (bts_members_t *members, const char *node);
bts_member_t *bts_members_find (const bts_members_t *members, const char *node);
GPtrArray *bts_members_list_askable (bts_members_t *members, gint64 now_us);
guint bts_members_count (const bts_members_t *members);
guint bts_members_rank (const bts_members_t *members, const char *node, gint64 now_us);
gboolean bts_members_is_standby (const bts_members_t *members, const char *node, gint64 now_us);
gsize bts_members_min_job_memory (const bts_members_t *members, gint64 now_us);
guint bts_members_max_cpu_millis (const bts_members_t *members, gint64 now_us);

#endif
