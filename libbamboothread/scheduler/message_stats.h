#ifndef BTS_MESSAGE_STATS_H
#define BTS_MESSAGE_STATS_H

#include <glib.h>

/*
 * How long small messages to other processes and their replies are on the way, by the region of the
 * peer. Says so in a line a second for each region; decides nothing.
 */

typedef struct bts_message_stats_t bts_message_stats_t;

bts_message_stats_t *bts_message_stats_new (const char *region);
void bts_message_stats_free (bts_message_stats_t *stats);
void bts_message_stats_add (bts_message_stats_t *stats, const char *region, gint64 delay_us,
                            gint64 now_us);
void bts_message_stats_add_unanswered (bts_message_stats_t *stats, const char *region,
                                       gint64 now_us);

#endif
