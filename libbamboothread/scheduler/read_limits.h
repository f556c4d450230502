#ifndef BTS_READ_LIMITS_H
#define BTS_READ_LIMITS_H

#include <glib.h>

/*
 * Time limits of the reads of a log, derived from how the last reads went. All processes of a
 * region may read the same records at once over one link, so the next read after a failed one has
 * to allow more time: otherwise none of them arrives, and the link stays full of replies that are
 * broken off.
 */

/**
 * struct bts_read_limits_t - how the reads of a log are going
 * @retry_max_ms: longest time until the reply to a read begins to arrive after failed ones
 * @failures: failed reads in a row
 */
typedef struct
{
  guint retry_max_ms;
  guint failures;
} bts_read_limits_t;

/**
 * struct bts_read_limit_t - time limits of one read
 * @wait_ms: how long the store may delay its reply until there are records
 * @reply_ms: time from when the read is sent until its reply begins to arrive
 * @progress_ms: time between two parts of the reply that arrive; 0 if all of it has to arrive
 *   within @reply_ms
 */
typedef struct
{
  guint wait_ms;
  guint reply_ms;
  guint progress_ms;
} bts_read_limit_t;

void bts_read_limits_init (bts_read_limits_t *limits, guint retry_max_ms);
void bts_read_limits_on_reply (bts_read_limits_t *limits);
void bts_read_limits_on_failure (bts_read_limits_t *limits);
bts_read_limit_t bts_read_limits_next (const bts_read_limits_t *limits, guint wait_ms);
gboolean bts_read_limits_on_store_back (bts_read_limits_t *limits, gint64 away_ms, gint64 waited_ms,
                                        gboolean has_begun);
guint bts_read_limits_retry_ms (const bts_read_limits_t *limits);

#endif
