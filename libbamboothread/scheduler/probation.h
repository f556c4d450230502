#ifndef BTS_PROBATION_H
#define BTS_PROBATION_H

#include <glib.h>

/*
 * Workers in a crash loop. A worker that crashes again, without a task that was just starting each
 * time, is itself suspect. It is then on probation: placement avoids it, and gives it a quarter of
 * its capacity more with each step of time that it stays up.
 */

/* Parts into which the capacity of a worker on probation is divided. */
#define BTS_PROBATION_PARTS 4

/**
 * struct bts_probation_t - crashes of the workers at one address
 * @n_crashes: crashes in a row
 * @crashed_us: when the newest became known, as the worker was back
 * @tasks: names of the tasks that were just starting at each of them; NULL before the first
 * @active: the worker there is suspect since the newest of them
 */
typedef struct
{
  guint n_crashes;
  gint64 crashed_us;
  char **tasks;
  gboolean active;
} bts_probation_t;

void bts_probation_clear (bts_probation_t *probation);
gboolean bts_probation_is_outdated (const bts_probation_t *probation, gint64 now_us);
gboolean bts_probation_on_crash (bts_probation_t *probation, const char *const *starting,
                                 gboolean may_be_active, gint64 now_us);
gboolean bts_probation_has_crashed_without (const bts_probation_t *probation, const char *task,
                                            gint64 now_us);
void bts_probation_excuse (bts_probation_t *probation);
gint64 bts_probation_step_us (const bts_probation_t *probation);
guint bts_probation_parts (const bts_probation_t *probation, gint64 now_us);
gboolean bts_probation_is_active (const bts_probation_t *probation, gint64 now_us);

#endif
