#ifndef BTS_SPEC_READER_H
#define BTS_SPEC_READER_H

#include "libbamboothread/base/clock.h"
#include "libbamboothread/scheduler/ledger.h"

/*
 * Reads the specs, which say what the jobs run. Specs are most of a job's bytes and only
 * the owner needs them, so all but short ones are in a log of their own, which other
 * processes don't read. The owner reads it from the first spec that a job lacks.
 */

typedef struct bts_spec_reader_t bts_spec_reader_t;

/**
 * struct bts_spec_reader_ops_t - callbacks of the spec reader
 * @follow: deliver the records of the log of specs from offset @from on to
 *   bts_spec_reader_on_record(); a negative offset stops the delivery
 */
typedef struct
{
  void (*follow) (void *context, gint64 from);
} bts_spec_reader_ops_t;

bts_spec_reader_t *bts_spec_reader_new (bts_ledger_t *ledger, const bts_spec_reader_ops_t *ops,
                                        void *context);
void bts_spec_reader_free (bts_spec_reader_t *reader);
void bts_spec_reader_start (bts_spec_reader_t *reader, gint64 now_us);
void bts_spec_reader_stop (bts_spec_reader_t *reader);
gboolean bts_spec_reader_on_record (bts_spec_reader_t *reader, gint64 offset, const guint8 *data,
                                    gsize len, GError **error);
void bts_spec_reader_on_job (bts_spec_reader_t *reader, bts_job_t *job);
void bts_spec_reader_tick (bts_spec_reader_t *reader, gint64 now_us);

#endif
