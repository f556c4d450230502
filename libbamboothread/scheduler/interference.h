#ifndef BTS_INTERFERENCE_H
#define BTS_INTERFERENCE_H

#include "libbamboothread/scheduler/fleet.h"

/*
 * Which classes of tasks slow each other down when they share a worker, learned from the time that
 * runs take in relation to their estimates. The class of a task is its step's image, or the name of
 * its route, within a service. A pair is directed: one class is slowed down, on one kind of worker,
 * by the presence of the other class, which may be the same one. docs/design/interference.md
 * describes the statistic.
 *
 * All functions do nothing if the state is NULL, which means that the setting is off.
 */

/* Most classes and kinds of worker that are told apart, and most pairs. */
#define BTS_INTERFERENCE_CLASSES_MAX 64
#define BTS_INTERFERENCE_KINDS_MAX 16
#define BTS_INTERFERENCE_PAIRS_MAX 512
/* A task that isn't of a known class. */
#define BTS_INTERFERENCE_NO_CLASS G_MAXUINT

/* A run counts as beside a class that was present for this share of its time, and as without a
   class that was present for at most the second share. */
#define BTS_INTERFERENCE_BESIDE_SHARE 0.5
#define BTS_INTERFERENCE_WITHOUT_SHARE 0.1
/* A pair is found once the difference between both means, divided by its standard error, is at
   least this, and forgotten once it is below the second value. */
#define BTS_INTERFERENCE_Z_FOUND 4.0
#define BTS_INTERFERENCE_Z_FORGOTTEN 2.0
/* A pair is found only if tasks take at least this factor longer. */
#define BTS_INTERFERENCE_FACTOR_MIN 1.1
/* Runs beside the other class, and without it, that a pair needs to be found. */
#define BTS_INTERFERENCE_RUNS_MIN 20
/* A pair is kept apart while it has fewer runs without the other class than this share of those
   beside it: with the shares of 1/2, 200 and 100 runs are enough for a factor of 1.2. */
#define BTS_INTERFERENCE_SOUGHT_SHARE 0.5
/* Runs after which a mean becomes an exponential moving average. */
#define BTS_INTERFERENCE_RUNS_MAX 200
/* The variance of each mean is pooled with this one, as if measured in so many runs: that of a few
   runs may be far too small. */
#define BTS_INTERFERENCE_PRIOR_VARIANCE 0.16
#define BTS_INTERFERENCE_PRIOR_RUNS 8
/* Each run without the other class reduces the weight of those beside it by one part in this: a
   pair that placement keeps apart is forgotten after at most four times as many runs, and is
   measured again. */
#define BTS_INTERFERENCE_FADE_RUNS 4000
/* Shorter runs give no sample, in milliseconds: an end is noticed up to 250 ms late while other
   ends on the worker are being journaled. */
#define BTS_INTERFERENCE_RUN_MIN_MS 1500
/* Most bytes of what is handed to the next owner. */
#define BTS_INTERFERENCE_SAVED_MAX 4096

/**
 * enum bts_interference_conflict_t - what speaks against a task on a worker
 * @BTS_INTERFERENCE_NO_CONFLICT: nothing
 * @BTS_INTERFERENCE_SOUGHT: runs without a class that is there are sought, to compare with
 * @BTS_INTERFERENCE_FOUND: there is a class that slows the task down, or that it slows down
 * @BTS_INTERFERENCE_N_CONFLICTS: number of values
 */
typedef enum
{
  BTS_INTERFERENCE_NO_CONFLICT,
  BTS_INTERFERENCE_SOUGHT,
  BTS_INTERFERENCE_FOUND,
  BTS_INTERFERENCE_N_CONFLICTS,
} bts_interference_conflict_t;

bts_interference_t *bts_interference_new (void);
void bts_interference_free (bts_interference_t *interference);

void bts_interference_begin_term (bts_interference_t *interference, guint64 term,
                                  const Bts__Interference *saved, guint64 saved_term);
void bts_interference_end_term (bts_interference_t *interference, const bts_fleet_t *fleet);

void bts_interference_on_run_added (bts_interference_t *interference, bts_run_t *run,
                                    gint64 now_us);
void bts_interference_on_run_removed (bts_interference_t *interference, bts_run_t *run,
                                      gint64 now_us);
void bts_interference_on_run_done (bts_interference_t *interference, const bts_run_t *run,
                                   gint64 now_us);

guint bts_interference_class (const bts_interference_t *interference, const bts_stage_t *stage);
bts_interference_conflict_t bts_interference_conflict (const bts_interference_t *interference,
                                                       guint class_number,
                                                       const bts_worker_t *worker);
gboolean bts_interference_is_known (const bts_interference_t *interference,
                                    const bts_stage_t *slowed, const bts_stage_t *neighbour,
                                    const bts_worker_t *worker);
guint bts_interference_count_known (const bts_interference_t *interference);

gboolean bts_interference_is_save_due (const bts_interference_t *interference, gint64 now_us);
Bts__Interference *bts_interference_save (bts_interference_t *interference, gint64 now_us);

#endif
