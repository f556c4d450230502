#ifndef BTS_READ_STATS_H
#define BTS_READ_STATS_H

#include <glib.h>

/*
 * What the reads of one log, or of the newest records of one topic, have brought and how long they
 * took. Says so in a line at most once a second; decides nothing.
 */

/**
 * struct bts_read_stats_t - the replies since the last line
 * @topic: name of the log or topic; not copied
 * @n_replies: replies
 * @n_bytes: their bytes
 * @begin_max_us: longest time from a read of records that are there to the first part of its reply
 * @end_max_us: the same to the last part
 * @next_us: no line before this time
 */
typedef struct
{
  const char *topic;
  guint n_replies;
  gsize n_bytes;
  gint64 begin_max_us;
  gint64 end_max_us;
  gint64 next_us;
} bts_read_stats_t;

void bts_read_stats_init (bts_read_stats_t *stats, const char *topic);
void bts_read_stats_add (bts_read_stats_t *stats, gsize n_bytes, gint64 begin_us, gint64 end_us,
                         gint64 now_us);

#endif
