#include "libbamboothread/scheduler/read_limits.h"

/* Time allowed for the reply to a read beyond the time for which the store may delay it, in
   milliseconds. A dead connection is noticed after their sum. */
#define REPLY_MARGIN_MS 1000
/* Delay of the next read after a failed one, and its time limit, in milliseconds. Such a read
   doesn't wait for records, so that the end of an outage is noticed at once. */
#define RETRY_MS 100
#define RETRY_REPLY_MS 500

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

/**
 * bts_read_limits_next() - time limits of the next read
 * @limits: the state
 * @wait_ms: how long the store may delay its reply while reads succeed
 */
bts_read_limit_t
bts_read_limits_next (const bts_read_limits_t *limits, guint wait_ms)
{
  if (limits->failures > 0)
    return (bts_read_limit_t){ 0, RETRY_REPLY_MS, 0 };
  return (bts_read_limit_t){ wait_ms, wait_ms + REPLY_MARGIN_MS, 0 };
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
