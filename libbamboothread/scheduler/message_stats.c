#include "libbamboothread/scheduler/message_stats.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* Least time between two lines about one region, in microseconds. */
#define LINE_INTERVAL_US (1000 * 1000)

/**
 * struct counts_t - the messages to one region since the last line
 * @n_replies: messages with a reply
 * @n_unanswered: messages without one
 * @sum_us: sum of the delays
 * @max_us: the longest one
 * @next_us: no line before this time
 */
typedef struct
{
  guint n_replies;
  guint n_unanswered;
  gint64 sum_us;
  gint64 max_us;
  gint64 next_us;
} counts_t;

/**
 * struct bts_message_stats_t - all messages of a process
 * @region: region of the process
 * @counts: region of the peer to its counts_t
 */
struct bts_message_stats_t
{
  char *region;
  GHashTable *counts;
};

/**
 * bts_message_stats_new() - start without messages
 * @region: region of this process; copied
 */
bts_message_stats_t *
bts_message_stats_new (const char *region)
{
  bts_message_stats_t *stats = g_new0 (bts_message_stats_t, 1);
  stats->region = g_strdup (region);
  stats->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return stats;
}

void
bts_message_stats_free (bts_message_stats_t *stats)
{
  g_hash_table_unref (stats->counts);
  g_free (stats->region);
  g_free (stats);
}

static counts_t *
ensure_counts (bts_message_stats_t *stats, const char *region)
{
  counts_t *counts = g_hash_table_lookup (stats->counts, region);
  if (counts != NULL)
    return counts;
  counts = g_new0 (counts_t, 1);
  g_hash_table_insert (stats->counts, g_strdup (region), counts);
  return counts;
}

static void
report (counts_t *counts, const char *region, gint64 now_us)
{
  if (now_us < counts->next_us)
    return;
  bt_log (BT_LOG_INFO, "messages",
          "region=%s replies=%u unanswered=%u mean_ms=%" G_GINT64_FORMAT
          " max_ms=%" G_GINT64_FORMAT,
          region, counts->n_replies, counts->n_unanswered,
          counts->sum_us / 1000 / MAX (counts->n_replies, 1), counts->max_us / 1000);
  *counts = (counts_t){ .next_us = now_us + LINE_INTERVAL_US };
}

/**
 * bts_message_stats_add() - count a message with a reply
 * @stats: the state
 * @region: region of the peer; empty if not known
 * @delay_us: time for which the message and its reply were on the way, in microseconds
 * @now_us: the time
 */
void
bts_message_stats_add (bts_message_stats_t *stats, const char *region, gint64 delay_us,
                       gint64 now_us)
{
  counts_t *counts = ensure_counts (stats, region);
  counts->n_replies++;
  counts->sum_us += delay_us;
  counts->max_us = MAX (counts->max_us, delay_us);
  bt_metrics_observe (strcmp (region, stats->region) == 0 ? BT_HIST_MESSAGE_NEAR_MS
                                                          : BT_HIST_MESSAGE_FAR_MS,
                      delay_us / 1000);
  report (counts, region, now_us);
}

/**
 * bts_message_stats_add_unanswered() - count a message without a reply
 * @stats: the state
 * @region: region of the peer; empty if not known
 * @now_us: the time
 */
void
bts_message_stats_add_unanswered (bts_message_stats_t *stats, const char *region, gint64 now_us)
{
  counts_t *counts = ensure_counts (stats, region);
  counts->n_unanswered++;
  report (counts, region, now_us);
}
