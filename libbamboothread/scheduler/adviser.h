#ifndef BTS_ADVISER_H
#define BTS_ADVISER_H

#include "libbamboothread/scheduler/ledger.h"

/*
 * Questions to the advice service, which takes one call at a time from each VM.
 */

typedef struct bts_adviser_t bts_adviser_t;

/**
 * struct bts_question_t - which of some workers may run a step
 * @exchange: of the message that asked; 0 if this process itself wants to know
 * @node: name of this process, as the question gave it
 * @workers: ids of the workers
 * @tries: calls so far
 */
typedef struct
{
  guint64 exchange;
  char *node;
  char *job;
  guint occurrence;
  guint step;
  GPtrArray *workers;
  guint tries;
} bts_question_t;

/**
 * struct bts_adviser_ops_t - where questions go
 * @ask: answered by bts_adviser_on_answer()
 * @given_up: there will be no answer to a question
 */
typedef struct
{
  void (*ask) (void *context, const bts_question_t *question);
  void (*given_up) (void *context, const bts_question_t *question);
} bts_adviser_ops_t;

bts_adviser_t *bts_adviser_new (bts_ledger_t *ledger, const bts_adviser_ops_t *ops, void *context);
void bts_adviser_free (bts_adviser_t *adviser);
void bts_adviser_ask (bts_adviser_t *adviser, guint64 exchange, const Bts__Ask *ask);
void bts_adviser_on_answer (bts_adviser_t *adviser, const bts_question_t *question, gboolean ok);

#endif
