#include "libbamboothread/scheduler/read_limits.h"

/* Time allowed until the reply to a read begins to arrive, beyond the time for which the store may
   delay it, in milliseconds. A dead connection is noticed after their sum. */
#define REPLY_MARGIN_MS 1000
/* Delay of the next read after a failed one, and the time until its reply begins to arrive, in
   milliseconds. Such a read doesn't wait for records, so that the end of an outage is noticed at
   once. The time doubles with each further failure. */
#define RETRY_MS 100
#define RETRY_REPLY_MS 500
/* Time between two parts of a reply after which its connection counts as dead, in milliseconds. */
#define PROGRESS_MS 1000

/**
 * bts_read_limits_init() - begin to read a log
 * @limits: the state
 * @retry_max_ms: longest time until the reply to a read begins to arrive after failed ones. It
 *   bounds how late the end of an outage is noticed, and how long a queue the reply may find on the
 *   way.
 */
void
bts_read_limits_init (bts_read_limits_t *limits, guint retry_max_ms)
{
  *limits = (bts_read_limits_t){ .retry_max_ms = retry_max_ms };
}

/**
 * bts_read_limits_on_reply() - a read got a reply
 * @limits: the state
 */
void
bts_read_limits_on_reply (bts_read_limits_t *limits)
{
  limits->failures = 0;
}

/**
 * bts_read_limits_on_failure() - a read got no reply in time, or was refused
 * @limits: the state
 */
void
bts_read_limits_on_failure (bts_read_limits_t *limits)
{
  limits->failures++;
}

static guint
retry_reply_ms (const bts_read_limits_t *limits)
{
  guint ms = RETRY_REPLY_MS;
  for (guint i = 1; i < limits->failures && ms < limits->retry_max_ms; i++)
    ms *= 2;
  return MIN (ms, limits->retry_max_ms);
}

/**
 * bts_read_limits_next() - time limits of the next read
 * @limits: the state
 * @wait_ms: how long the store may delay its reply while reads succeed
 */
bts_read_limit_t
bts_read_limits_next (const bts_read_limits_t *limits, guint wait_ms)
{
  if (limits->failures > 0)
    return (bts_read_limit_t){ 0, retry_reply_ms (limits), PROGRESS_MS };
  return (bts_read_limit_t){ wait_ms, wait_ms + REPLY_MARGIN_MS, PROGRESS_MS };
}

/**
 * bts_read_limits_on_store_back() - the store replies to other reads again, after an outage
 * @limits: the state
 * @away_ms: how long it didn't; reads that fail now and then are no outage
 * @waited_ms: time since the read in flight was sent
 * @has_begun: whether its reply has begun to arrive
 *
 * Return: whether to send that read again: one that was sent during an outage may never get a
 * reply.
 */
gboolean
bts_read_limits_on_store_back (bts_read_limits_t *limits, gint64 away_ms, gint64 waited_ms,
                               gboolean has_begun)
{
  if (away_ms < limits->retry_max_ms || limits->failures == 0 || has_begun
      || waited_ms < RETRY_REPLY_MS)
    return FALSE;
  limits->failures = 1;
  return TRUE;
}

/**
 * bts_read_limits_retry_ms() - time from a failed read to the next one
 * @limits: the state
 */
guint
bts_read_limits_retry_ms (const bts_read_limits_t *limits)
{
  return RETRY_MS;
}
