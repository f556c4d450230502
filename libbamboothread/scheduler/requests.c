#include "libbamboothread/scheduler/requests.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* Without a read of the journal for so long, in microseconds, the store counts as
   away: its waiting reads answer within 1 s. */
#define FRESH_US (2200 * 1000)
/* Part of a caller's patience kept for the way of the answer, in microseconds. */
#define ANSWER_MARGIN_US (250 * 1000)
/* Bounds of what a caller is told to wait, in seconds. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 4
/* Specs up to this length stand in the job's own record, in bytes: an append of their
   own would cost more than they do. */
#define SPEC_SHORT 128
/* Appends for one request; a repeat of a record that is there already has no effect. */
#define TRIES_MAX 4

/**
 * struct request_t - a caller that waits
 * @record: what is to be in the journal
 * @spec: what is to be in the log of specs before that, or NULL
 * @cancels: a cancellation, else a new job
 * @until_us: when the caller has to be told that it isn't known
 * @tries: appends so far
 * @unknown: one of them got no answer
 * @since_us: when the request came
 * @barrier: the job isn't known here; a read sent after @since_us decides
 */
typedef struct
{
  guint64 exchange;
  guint64 token;
  char *id;
  Bts__Record record;
  Bts__Spec *spec;
  gboolean cancels;
  gint64 until_us;
  guint tries;
  gboolean unknown;
  gint64 since_us;
  gboolean barrier;
} request_t;

struct bts_requests_t
{
  bts_ledger_t *ledger;
  const bts_requests_ops_t *ops;
  void *context;
  GPtrArray *requests;
  guint64 token;
  gint64 read_us;
};

static void
spec_free (Bts__Spec *spec)
{
  bts__spec__free_unpacked (spec, NULL);
}

static void
request_free (gpointer data)
{
  request_t *request = data;
  if (request->record.kind_case == BTS__RECORD__KIND_ACCEPTED)
    bts__accepted__free_unpacked (request->record.accepted, NULL);
  else if (request->record.kind_case == BTS__RECORD__KIND_CANCELLED)
    bts__cancelled__free_unpacked (request->record.cancelled, NULL);
  g_clear_pointer (&request->spec, spec_free);
  g_free (request->id);
  g_free (request);
}

/**
 * bts_requests_new() - a gate that has not read the journal yet
 * @ledger: the folded journal
 * @ops: where its messages go
 * @context: handed to @ops
 */
bts_requests_t *
bts_requests_new (bts_ledger_t *ledger, const bts_requests_ops_t *ops, void *context)
{
  bts_requests_t *gate = g_new0 (bts_requests_t, 1);
  gate->ledger = ledger;
  gate->ops = ops;
  gate->context = context;
  gate->requests = g_ptr_array_new_with_free_func (request_free);
  return gate;
}

void
bts_requests_free (bts_requests_t *gate)
{
  g_ptr_array_unref (gate->requests);
  g_free (gate);
}

/**
 * bts_requests_is_journal_fresh() - whether the journal has been read to its end lately
 * @gate: the gate
 * @now_us: the time
 */
gboolean
bts_requests_is_journal_fresh (const bts_requests_t *gate, gint64 now_us)
{
  return gate->read_us != 0 && now_us - gate->read_us < FRESH_US;
}

/**
 * bts_requests_retry_after_s() - when a caller that was turned away may come back
 * @gate: the gate
 * @now_us: the time
 *
 * An outage that has lasted for some time is expected to last as long again, so
 * that a caller with few tries left doesn't spend them all in it.
 *
 * Return: seconds.
 */
guint
bts_requests_retry_after_s (const bts_requests_t *gate, gint64 now_us)
{
  gint64 away_s = gate->read_us == 0 ? 0 : (now_us - gate->read_us) / G_USEC_PER_SEC;
  return (guint)CLAMP (away_s, RETRY_MIN_S, RETRY_MAX_S);
}

guint
bts_requests_count_in_flight (const bts_requests_t *gate)
{
  return gate->requests->len;
}

static void
append (bts_requests_t *gate, request_t *request)
{
  request->tries++;
  request->token = ++gate->token;
  if (request->spec != NULL)
    gate->ops->append_spec (gate->context, request->token, request->spec);
  else
    gate->ops->append (gate->context, request->token, &request->record);
}

static request_t *
request_new (bts_requests_t *gate, guint64 exchange, const char *id, gint64 patience_us,
             gint64 now_us)
{
  request_t *request = g_new0 (request_t, 1);
  request->exchange = exchange;
  request->id = g_strdup (id);
  request->since_us = now_us;
  request->until_us = now_us + patience_us - ANSWER_MARGIN_US;
  bts__record__init (&request->record);
  g_ptr_array_add (gate->requests, request);
  return request;
}

static const char *const answer_names[] = { "ok", "away", "unknown", "gone" };
static const bt_count_t submit_counts[] = { BT_COUNT_SUBMIT_OK, BT_COUNT_SUBMIT_AWAY,
                                            BT_COUNT_SUBMIT_UNKNOWN, BT_COUNT_SUBMIT_UNKNOWN };

static void
answer (bts_requests_t *gate, request_t *request, bts_answer_t what)
{
  bt_log (BT_LOG_INFO, request->cancels ? "cancel" : "submit", "job=%s answer=%s tries=%u",
          request->id, answer_names[what], request->tries);
  if (request->cancels)
    bt_metrics_count (what == BTS_ANSWER_OK ? BT_COUNT_CANCEL_OK : BT_COUNT_CANCEL_OTHER);
  else
    bt_metrics_count (submit_counts[what]);
  guint64 exchange = request->exchange;
  g_ptr_array_remove (gate->requests, request);
  gate->ops->answer (gate->context, exchange, what);
}

/* Moves a long spec out of the job's record. */
static void
part_spec (request_t *request)
{
  Bts__Accepted *job = request->record.accepted;
  request->spec = malloc (sizeof *request->spec);
  bts__spec__init (request->spec);
  request->spec->id = strdup (job->id);
  request->spec->spec = job->spec;
  job->spec.data = NULL;
  job->spec.len = 0;
}

/* The store refused this process and may serve another one. */
static gboolean
pass_on (bts_requests_t *gate, request_t *request, gint64 now_us)
{
  if (request->cancels || request->unknown || now_us >= request->until_us)
    return FALSE;
  Bts__Accepted *job = request->record.accepted;
  if (request->spec != NULL)
    {
      job->spec = request->spec->spec;
      request->spec->spec.data = NULL;
      request->spec->spec.len = 0;
      g_clear_pointer (&request->spec, spec_free);
    }
  if (!gate->ops->forward (gate->context, request->exchange, job, request->until_us - now_us))
    return FALSE;
  request->record.kind_case = BTS__RECORD__KIND__NOT_SET;
  g_ptr_array_remove (gate->requests, request);
  return TRUE;
}

/**
 * bts_requests_submit() - a caller hands in a job
 * @gate: the gate
 * @exchange: names the caller's request
 * @job: the job, checked; the gate takes it
 * @unknown: another process may have appended it, so that the caller can't be told that
 *   it wasn't accepted
 * @patience_us: how long the caller waits
 * @now_us: the time
 */
void
bts_requests_submit (bts_requests_t *gate, guint64 exchange, Bts__Accepted *job, gboolean unknown,
                     gint64 patience_us, gint64 now_us)
{
  gboolean known = bts_ledger_job (gate->ledger, job->id) != NULL;
  if (known || !bts_requests_is_journal_fresh (gate, now_us))
    {
      bts_answer_t what = known     ? BTS_ANSWER_OK
                          : unknown ? BTS_ANSWER_UNKNOWN
                                    : BTS_ANSWER_UNAVAILABLE;
      bt_log (BT_LOG_INFO, "submit", "job=%s answer=%s read_age_ms=%" G_GINT64_FORMAT, job->id,
              answer_names[what], (now_us - gate->read_us) / 1000);
      bt_metrics_count (submit_counts[what]);
      bts__accepted__free_unpacked (job, NULL);
      gate->ops->answer (gate->context, exchange, what);
      return;
    }
  request_t *request = request_new (gate, exchange, job->id, patience_us, now_us);
  request->record.kind_case = BTS__RECORD__KIND_ACCEPTED;
  request->record.accepted = job;
  request->unknown = unknown;
  if (job->spec.len > SPEC_SHORT)
    part_spec (request);
  append (gate, request);
}

/**
 * bts_requests_cancel() - a caller cancels a job
 * @gate: the gate
 * @exchange: names the caller's request
 * @id: the job
 * @patience_us: how long the caller waits
 * @now_us: the time
 */
void
bts_requests_cancel (bts_requests_t *gate, guint64 exchange, const char *id, gint64 patience_us,
                     gint64 now_us)
{
  const bts_job_t *job = bts_ledger_job (gate->ledger, id);
  if ((job != NULL && bts_job_has_ended (job)) || !bts_requests_is_journal_fresh (gate, now_us))
    {
      gboolean over = job != NULL && bts_job_has_ended (job);
      gate->ops->answer (gate->context, exchange, over ? BTS_ANSWER_OK : BTS_ANSWER_UNAVAILABLE);
      return;
    }
  request_t *request = request_new (gate, exchange, id, patience_us, now_us);
  request->cancels = TRUE;
  Bts__Cancelled *cancelled = malloc (sizeof *cancelled);
  bts__cancelled__init (cancelled);
  cancelled->id = strdup (id);
  request->record.kind_case = BTS__RECORD__KIND_CANCELLED;
  request->record.cancelled = cancelled;
  /* It may have been accepted elsewhere a moment ago. */
  request->barrier = job == NULL;
  if (!request->barrier)
    append (gate, request);
}

/**
 * bts_requests_query() - the state of a job
 * @gate: the gate
 * @id: the job
 * @now_us: the time
 * @state: gets the state if the answer is %BTS_ANSWER_OK
 */
bts_answer_t
bts_requests_query (const bts_requests_t *gate, const char *id, gint64 now_us,
                    bts_job_state_t *state)
{
  const bts_job_t *job = bts_ledger_job (gate->ledger, id);
  if (job == NULL)
    return bts_requests_is_journal_fresh (gate, now_us) ? BTS_ANSWER_NOT_FOUND
                                                        : BTS_ANSWER_UNAVAILABLE;
  *state = bts_job_state (job);
  return BTS_ANSWER_OK;
}

static request_t *
find (const bts_requests_t *gate, guint64 token)
{
  for (guint i = 0; i < gate->requests->len; i++)
    {
      request_t *request = gate->requests->pdata[i];
      if (request->token == token)
        return request;
    }
  return NULL;
}

/**
 * bts_requests_on_append() - what became of an append
 * @gate: the gate
 * @token: of the append
 * @stored: what became of it
 * @now_us: the time
 */
void
bts_requests_on_append (bts_requests_t *gate, guint64 token, bts_append_result_t stored,
                        gint64 now_us)
{
  request_t *request = find (gate, token);
  if (request == NULL)
    return;
  /* A cancellation counts once the fold has met the job. */
  if (stored == BTS_APPEND_STORED && !request->cancels)
    {
      bt_metrics_observe (BT_HIST_ACCEPT_MS, (now_us - request->since_us) / 1000);
      answer (gate, request, BTS_ANSWER_OK);
    }
  else if (stored == BTS_APPEND_UNKNOWN)
    {
      request->unknown = TRUE;
      if (request->tries < TRIES_MAX && now_us < request->until_us)
        append (gate, request);
    }
  else if (stored == BTS_APPEND_REFUSED && !request->unknown && !pass_on (gate, request, now_us))
    answer (gate, request, BTS_ANSWER_UNAVAILABLE);
}

/**
 * bts_requests_on_spec_append() - what became of a job's spec
 * @gate: the gate
 * @token: of the append
 * @stored: what became of it
 * @offset: where it stands if it is stored
 * @now_us: the time
 *
 * The job isn't in the journal before its spec is known to be stored, so that a
 * caller can be told for certain that it wasn't accepted.
 */
void
bts_requests_on_spec_append (bts_requests_t *gate, guint64 token, bts_append_result_t stored,
                             gint64 offset, gint64 now_us)
{
  request_t *request = find (gate, token);
  if (request == NULL || request->spec == NULL)
    return;
  if (stored != BTS_APPEND_STORED)
    {
      if (stored == BTS_APPEND_UNKNOWN && request->tries < TRIES_MAX && now_us < request->until_us)
        append (gate, request);
      else if (!pass_on (gate, request, now_us))
        answer (gate, request, request->unknown ? BTS_ANSWER_UNKNOWN : BTS_ANSWER_UNAVAILABLE);
      return;
    }
  g_clear_pointer (&request->spec, spec_free);
  request->tries = 0;
  request->record.accepted->spec_at = (guint64)offset + 1;
  append (gate, request);
}

/**
 * bts_requests_on_caught_up() - the journal was read to its end
 * @gate: the gate
 * @sent_us: when that read was sent
 * @now_us: the time
 */
void
bts_requests_on_caught_up (bts_requests_t *gate, gint64 sent_us, gint64 now_us)
{
  gate->read_us = now_us;
  for (guint i = 0; i < gate->requests->len;)
    {
      request_t *request = gate->requests->pdata[i];
      if (!request->barrier || sent_us <= request->since_us)
        {
          i++;
          continue;
        }
      request->barrier = FALSE;
      if (bts_ledger_job (gate->ledger, request->id) == NULL)
        answer (gate, request, BTS_ANSWER_NOT_FOUND);
      else
        append (gate, request);
    }
}

/**
 * bts_requests_on_job() - a job was accepted, or is over
 * @gate: the gate
 * @job: the job
 */
void
bts_requests_on_job (bts_requests_t *gate, const bts_job_t *job)
{
  for (guint i = 0; i < gate->requests->len;)
    {
      request_t *request = gate->requests->pdata[i];
      if (strcmp (request->id, bts_job_id (job)) == 0
          && (!request->cancels || bts_job_has_ended (job)))
        {
          answer (gate, request, BTS_ANSWER_OK);
          i = 0;
        }
      else
        i++;
    }
}

/**
 * bts_requests_tick() - answer callers whose patience ends
 * @gate: the gate
 * @now_us: the time
 */
void
bts_requests_tick (bts_requests_t *gate, gint64 now_us)
{
  for (guint i = 0; i < gate->requests->len;)
    {
      request_t *request = gate->requests->pdata[i];
      if (now_us >= request->until_us)
        answer (gate, request,
                request->spec != NULL && !request->unknown ? BTS_ANSWER_UNAVAILABLE
                                                           : BTS_ANSWER_UNKNOWN);
      else
        i++;
    }
}
