#include "libbamboothread/scheduler/advice_cache.h"

#include <stdlib.h>
#include <string.h>

/* Answers that take less than this to fetch again aren't kept, in milliseconds. */
#define SHORT_CALL_MS 100
/* Most bytes of a transfer: a message has 64 KB at most, and all processes send theirs
   at the same moment. */
#define TRANSFER_MAX_BYTES (32 * 1024)

/**
 * struct answer_t - an answer
 * @advice: the answer, packed; names the workers that were denied, too
 * @job: the job that it is about
 * @received_us: when it came
 * @term: term of the owner that it was given or sent to; 0 if none
 */
typedef struct
{
  GBytes *advice;
  char *job;
  gint64 received_us;
  guint64 term;
} answer_t;

/**
 * struct bts_advice_cache_t - the answers of one process
 * @answers: answer_t, the newest last
 */
struct bts_advice_cache_t
{
  const bts_ledger_t *ledger;
  GQueue answers;
};

static void
answer_free (gpointer data)
{
  answer_t *answer = data;
  g_bytes_unref (answer->advice);
  g_free (answer->job);
  g_free (answer);
}

bts_advice_cache_t *
bts_advice_cache_new (const bts_ledger_t *ledger)
{
  bts_advice_cache_t *cache = g_new0 (bts_advice_cache_t, 1);
  cache->ledger = ledger;
  g_queue_init (&cache->answers);
  return cache;
}

void
bts_advice_cache_free (bts_advice_cache_t *cache)
{
  g_queue_clear_full (&cache->answers, answer_free);
  g_free (cache);
}

static gboolean
is_worth_keeping (const bts_advice_cache_t *cache, const Bts__Ask *asked)
{
  const bts_job_t *job = bts_ledger_job (cache->ledger, asked->job);
  if (job == NULL || bts_job_has_ended (job))
    return FALSE;
  const Bts__Policy *policy = job->accepted->policy;
  return policy->advice_ms + policy->advice_worker_ms * (double)asked->n_workers >= SHORT_CALL_MS;
}

/* Names the workers of the request that the advice doesn't. */
static GBytes *
pack_answer (const Bts__Ask *asked, const Bts__Advice *advice)
{
  g_autoptr (GHashTable) allowed = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) denied = g_ptr_array_new ();
  for (gsize i = 0; i < advice->n_allowed; i++)
    g_hash_table_add (allowed, advice->allowed[i]->worker);
  for (gsize i = 0; i < asked->n_workers; i++)
    if (!g_hash_table_contains (allowed, asked->workers[i]))
      g_ptr_array_add (denied, asked->workers[i]);
  Bts__Advice answer = *advice;
  answer.job = asked->job;
  answer.occurrence = asked->occurrence;
  answer.step = asked->step;
  answer.n_denied = denied->len;
  answer.denied = (char **)denied->pdata;
  gsize len = bts__advice__get_packed_size (&answer);
  guint8 *data = g_malloc (len);
  bts__advice__pack (&answer, data);
  return g_bytes_new_take (data, len);
}

/**
 * bts_advice_cache_add() - keep the answer to a request, if it is worth that
 * @cache: the answers
 * @asked: the request
 * @advice: the answer
 * @term: term of the owner that was given it
 * @now_us: when the answer came
 */
void
bts_advice_cache_add (bts_advice_cache_t *cache, const Bts__Ask *asked, const Bts__Advice *advice,
                      guint64 term, gint64 now_us)
{
  if (!is_worth_keeping (cache, asked))
    return;
  answer_t *answer = g_new0 (answer_t, 1);
  answer->advice = pack_answer (asked, advice);
  answer->job = g_strdup (asked->job);
  answer->received_us = now_us;
  answer->term = term;
  g_queue_push_tail (&cache->answers, answer);
  if (cache->answers.length > BTS_ADVICE_CACHE_MAX)
    answer_free (g_queue_pop_head (&cache->answers));
}

static gboolean
is_obsolete (const bts_advice_cache_t *cache, const answer_t *answer, gint64 now_us)
{
  const bts_job_t *job = bts_ledger_job (cache->ledger, answer->job);
  return job == NULL || bts_job_has_ended (job)
         || now_us - answer->received_us > BTS_ADVICE_CACHE_AGE_US;
}

static void
remove_obsolete (bts_advice_cache_t *cache, gint64 now_us)
{
  for (GList *link = cache->answers.head; link != NULL;)
    {
      GList *next = link->next;
      if (is_obsolete (cache, link->data, now_us))
        {
          answer_free (link->data);
          g_queue_delete_link (&cache->answers, link);
        }
      link = next;
    }
}

static Bts__Advice *
unpack_answer (const answer_t *answer, gint64 now_us)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (answer->advice, &len);
  Bts__Advice *advice = bts__advice__unpack (NULL, len, data);
  advice->age_ms = (guint32)((now_us - answer->received_us) / 1000);
  return advice;
}

/**
 * bts_advice_cache_take_unsent() - take the answers that the owner of a term wasn't given
 * @cache: the answers; they count as sent to that owner from now on
 * @term: the term
 * @now_us: the time
 *
 * Return: the answers, the newest first, for bts__advice_transfer__free_unpacked(); NULL if there
 * are none.
 */
Bts__AdviceTransfer *
bts_advice_cache_take_unsent (bts_advice_cache_t *cache, guint64 term, gint64 now_us)
{
  g_autoptr (GPtrArray) unsent = g_ptr_array_new ();
  gsize n_bytes = 0;
  remove_obsolete (cache, now_us);
  for (GList *link = cache->answers.tail; link != NULL; link = link->prev)
    {
      answer_t *answer = link->data;
      n_bytes += answer->term == term ? 0 : g_bytes_get_size (answer->advice);
      if (answer->term != term && n_bytes <= TRANSFER_MAX_BYTES)
        g_ptr_array_add (unsent, unpack_answer (answer, now_us));
      answer->term = term;
    }
  if (unsent->len == 0)
    return NULL;
  Bts__AdviceTransfer *transfer = malloc (sizeof *transfer);
  bts__advice_transfer__init (transfer);
  transfer->n_advice = unsent->len;
  transfer->advice = calloc (unsent->len, sizeof *transfer->advice);
  memcpy (transfer->advice, unsent->pdata, unsent->len * sizeof *transfer->advice);
  return transfer;
}

/**
 * bts_advice_cache_mark_unsent() - note that the last transfer may be lost
 * @cache: the answers
 */
void
bts_advice_cache_mark_unsent (bts_advice_cache_t *cache)
{
  for (GList *link = cache->answers.head; link != NULL; link = link->next)
    ((answer_t *)link->data)->term = 0;
}
