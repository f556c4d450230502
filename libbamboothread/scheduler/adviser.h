#ifndef BTS_ADVISER_H
#define BTS_ADVISER_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Questions to the advice service, which takes one call at a time from each VM.
 */

typedef struct bts_adviser_t bts_adviser_t;

/**
 * struct bts_question_t - which of some workers may run a step
 * @service: the pool of the step
 * @workers: ids, or NULL for all that are listed when it is asked
 * @asked: ids that were named in the call
 */
typedef struct
{
  char *job;
  guint occurrence;
  guint step;
  char *service;
  GPtrArray *workers;
  GPtrArray *asked;
  guint tries;
} bts_question_t;

/**
 * struct bts_adviser_ops_t - where questions go
 * @ask: fills in @asked; answered by bts_adviser_on_answer(); returns FALSE if there is nobody to
 * ask about
 */
typedef struct
{
  gboolean (*ask) (void *context, bts_question_t *question);
} bts_adviser_ops_t;

bts_adviser_t *bts_adviser_new (bts_ledger_t *ledger, const bts_adviser_ops_t *ops, void *context);
void bts_adviser_free (bts_adviser_t *adviser);
void bts_adviser_ask (bts_adviser_t *adviser, const Bts__Accepted *job, guint occurrence,
                      guint step, const GPtrArray *workers);
gboolean bts_adviser_idle (const bts_adviser_t *adviser);
void bts_adviser_on_answer (bts_adviser_t *adviser, const bts_question_t *question, gboolean ok);

#endif
