#include "libbamboothread/scheduler/advice_client.h"

/* Calls on their way at once; the service takes one at a time from each VM, and two
   could arrive in the wrong order. */
#define OPEN_MAX 1
/* Calls for one question; after that the owner of the workers asks anew. */
#define TRIES_MAX 3

struct bts_advice_client_t
{
  bts_ledger_t *ledger;
  const bts_advice_client_ops_t *ops;
  void *context;
  GQueue queue;
  GPtrArray *open;
};

static void
question_free (gpointer data)
{
  bts_advice_request_t *question = data;
  g_free (question->node);
  g_free (question->job);
  g_ptr_array_unref (question->workers);
  g_free (question);
}

bts_advice_client_t *
bts_advice_client_new (bts_ledger_t *ledger, const bts_advice_client_ops_t *ops, void *context)
{
  bts_advice_client_t *adviser = g_new0 (bts_advice_client_t, 1);
  adviser->ledger = ledger;
  adviser->ops = ops;
  adviser->context = context;
  g_queue_init (&adviser->queue);
  adviser->open = g_ptr_array_new_with_free_func (question_free);
  return adviser;
}

void
bts_advice_client_free (bts_advice_client_t *adviser)
{
  g_queue_clear_full (&adviser->queue, question_free);
  g_ptr_array_unref (adviser->open);
  g_free (adviser);
}

static void
give_up (bts_advice_client_t *adviser, bts_advice_request_t *question)
{
  adviser->ops->failed (adviser->context, question);
  question_free (question);
}

static void
run_queue (bts_advice_client_t *adviser)
{
  while (adviser->open->len < OPEN_MAX && !g_queue_is_empty (&adviser->queue))
    {
      bts_advice_request_t *question = g_queue_pop_head (&adviser->queue);
      const bts_job_t *job = bts_ledger_job (adviser->ledger, question->job);
      /* A question may come before the journal has told of its job. */
      if (job != NULL && bts_job_has_ended (job))
        {
          give_up (adviser, question);
          continue;
        }
      question->attempts++;
      g_ptr_array_add (adviser->open, question);
      adviser->ops->send (adviser->context, question);
    }
}

/**
 * bts_advice_client_enqueue() - ask which workers may run a step
 * @adviser: the adviser
 * @exchange: of the message that asked, or 0
 * @ask: the step and the workers
 */
void
bts_advice_client_enqueue (bts_advice_client_t *adviser, guint64 exchange, const Bts__Ask *ask)
{
  bts_advice_request_t *question = g_new0 (bts_advice_request_t, 1);
  question->exchange = exchange;
  question->node = g_strdup (ask->node);
  question->job = g_strdup (ask->job);
  question->occurrence = ask->occurrence;
  question->step = ask->step;
  question->workers = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < ask->n_workers; i++)
    g_ptr_array_add (question->workers, g_strdup (ask->workers[i]));
  g_queue_push_tail (&adviser->queue, question);
  run_queue (adviser);
}

/**
 * bts_advice_client_on_reply() - a call has been answered, or not
 * @adviser: the adviser
 * @question: what was asked
 * @ok: whether there was a usable answer
 */
void
bts_advice_client_on_reply (bts_advice_client_t *adviser, const bts_advice_request_t *question,
                            gboolean ok)
{
  guint i;
  if (!g_ptr_array_find (adviser->open, question, &i))
    return;
  bts_advice_request_t *closed = g_ptr_array_steal_index (adviser->open, i);
  if (ok)
    question_free (closed);
  else if (closed->attempts < TRIES_MAX)
    g_queue_push_tail (&adviser->queue, closed);
  else
    give_up (adviser, closed);
  run_queue (adviser);
}
