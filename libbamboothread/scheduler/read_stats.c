#include "libbamboothread/scheduler/read_stats.h"

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* Least time between two lines about one log, in microseconds. */
#define LINE_INTERVAL_US (1000 * 1000)
/* Fewer bytes than this in that time are no bulk and give no line. */
#define LINE_MIN_BYTES (32 * 1024)

/**
 * bts_read_stats_init() - start without replies
 * @stats: the state
 * @topic: name of the log or topic; must outlive the state
 */
void
bts_read_stats_init (bts_read_stats_t *stats, const char *topic)
{
  *stats = (bts_read_stats_t){ .topic = topic };
}

static void
log_replies (const bts_read_stats_t *stats)
{
  bt_log (BT_LOG_INFO, "reads",
          "topic=%s replies=%u bytes=%zu begin_max_ms=%" G_GINT64_FORMAT
          " end_max_ms=%" G_GINT64_FORMAT,
          stats->topic, stats->n_replies, stats->n_bytes, stats->begin_max_us / 1000,
          stats->end_max_us / 1000);
}

/**
 * bts_read_stats_add() - count the reply to a read
 * @stats: the state
 * @n_bytes: its size
 * @begin_us: time from the read to the first part of the reply, in microseconds; negative if the
 *   store may have waited for records
 * @end_us: the same to its last part
 * @now_us: the time
 */
void
bts_read_stats_add (bts_read_stats_t *stats, gsize n_bytes, gint64 begin_us, gint64 end_us,
                    gint64 now_us)
{
  bt_metrics_add (BT_COUNT_STORE_READ_BYTES, n_bytes);
  stats->n_replies++;
  stats->n_bytes += n_bytes;
  if (begin_us >= 0)
    {
      bt_metrics_observe (BT_HIST_READ_BEGIN_MS, begin_us / 1000);
      stats->begin_max_us = MAX (stats->begin_max_us, begin_us);
      stats->end_max_us = MAX (stats->end_max_us, end_us);
    }
  if (now_us < stats->next_us)
    return;
  if (stats->n_bytes >= LINE_MIN_BYTES)
    log_replies (stats);
  bts_read_stats_init (stats, stats->topic);
  stats->next_us = now_us + LINE_INTERVAL_US;
}
