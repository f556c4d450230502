#ifndef BTS_SPECS_H
#define BTS_SPECS_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/ledger.h"

/*
 * What jobs run is most of their bytes, and only the owner needs it: specs stand in
 * a log of their own, which other processes don't read. The owner reads it from the
 * first spec that a job lacks.
 */

typedef struct bts_specs_t bts_specs_t;

/**
 * struct bts_specs_ops_t - where the reader of the specs stands
 * @read: follow the log of specs from an offset on; a negative one ends it
 */
typedef struct
{
  void (*read) (void *context, gint64 from);
} bts_specs_ops_t;

bts_specs_t *bts_specs_new (bts_ledger_t *ledger, const bts_specs_ops_t *ops, void *context);
void bts_specs_free (bts_specs_t *specs);
void bts_specs_begin (bts_specs_t *specs, gint64 now_us);
void bts_specs_end (bts_specs_t *specs);
gboolean bts_specs_on_record (bts_specs_t *specs, gint64 offset, const guint8 *data, gsize len,
                              GError **error);
void bts_specs_want (bts_specs_t *specs, bts_job_t *job);
void bts_specs_tick (bts_specs_t *specs, gint64 now_us);

#endif
