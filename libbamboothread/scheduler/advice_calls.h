#ifndef BTS_ADVICE_CALLS_H
#define BTS_ADVICE_CALLS_H

#include <glib.h>

#include "proto/record.pb-c.h"

/*
 * The calls to the advice service that one process has been asked to make and hasn't reported on,
 * and when each of them is expected to be done. The service takes one call at a time from each
 * process, in the order in which they were asked for.
 */

/**
 * struct bts_advice_calls_t - the calls of one process
 * @queue: the calls, in the order in which they were asked for
 * @since_us: when the process began with the first of @queue, unless that was asked for later; with
 *   none, when it became free
 */
typedef struct
{
  GQueue queue;
  gint64 since_us;
} bts_advice_calls_t;

void bts_advice_calls_init (bts_advice_calls_t *calls);
void bts_advice_calls_clear (bts_advice_calls_t *calls);
void bts_advice_calls_add (bts_advice_calls_t *calls, const Bts__Ask *ask, gint64 duration_us,
                           gint64 now_us);
void bts_advice_calls_remove (bts_advice_calls_t *calls, const Bts__Ask *ask, gboolean answered,
                              gint64 now_us);
guint bts_advice_calls_count (const bts_advice_calls_t *calls);
gint64 bts_advice_calls_free_us (const bts_advice_calls_t *calls);
gint64 bts_advice_calls_due_us (const bts_advice_calls_t *calls, const char *job, guint occurrence,
                                guint step);

#endif
