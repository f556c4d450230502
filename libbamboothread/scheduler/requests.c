#include "libbamboothread/scheduler/requests.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"

/* The store counts as unavailable if the journal hasn't been read to its end for this long,
   in microseconds: its long-polling reads return within 1 s. */
#define JOURNAL_FRESH_US (2200 * 1000)
/* Part of a caller's timeout that is reserved for delivering the answer, in microseconds. */
#define ANSWER_MARGIN_US (250 * 1000)
/* Bounds of the Retry-After time that a caller is told, in seconds. */
#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_MAX_S 4
/* Specs up to this length are stored in the job's own record: a separate append would cost
   more than they do. */
#define SPEC_INLINE_MAX_BYTES 128
/* The same while the log is slow: a job with a spec apart waits for two appends, one after the
   other, of a quarter of a second each. Longer specs would slow the journal's appends down. */
#define SPEC_INLINE_SLOW_MAX_BYTES 512
/* Most appends of one record; a duplicate in the log has no effect. */
#define APPEND_ATTEMPTS_MAX 4
/* A job that is stored is accepted at once if a read of the journal sent this recently, in
   microseconds, has reached its end. Otherwise its id may have been barred before, and the job is
   accepted when it is read back. Such reads are sent at intervals of 0.12 s and wait for the
   owner's next heartbeat, for 0.15 s. */
#define ACCEPT_FRESH_US (800 * 1000)
/* A caller is told that a job doesn't exist this long after its id was barred, in microseconds:
   each process that accepts a submission of the id after that has read the cancellation. */
#define BAR_SETTLE_US (ACCEPT_FRESH_US + 100 * 1000)
/* How long an accepted job that hasn't been read back is written again, in microseconds: for less
   than other processes know jobs that have ended, so that it can't run a second time. */
#define UNREAD_MAX_US (60 * G_USEC_PER_SEC)

/**
 * struct request_t - a client request that waits for its answer, or an accepted job that hasn't
 *   been read back from the journal
 * @token: token of its newest append
 * @record: the record for the journal
 * @spec: the record for the log of specs, which is appended first; NULL if there is none or it
 *   is stored
 * @is_cancel: it cancels a job; otherwise it submits one
 * @deadline_us: when the caller must be answered, even if the outcome isn't known
 * @attempts: appends of the current record so far
 * @maybe_stored: an append by this or another process may have succeeded without an answer
 * @received_us: when the request came in
 * @is_answered: the caller was told that the job is accepted
 * @barrier_us: a read of the journal sent after this time shows whether the job is there, or has
 *   to reach the end before the cancellation is appended; 0 if that needn't be looked at, or not
 *   before an append is answered
 * @seen: of a cancellation, number of records of the journal that were read when its record was
 *   written
 * @barred_us: when this process knew that the cancellation has barred the id; 0 before
 */
typedef struct
{
  guint64 exchange;
  guint64 token;
  char *id;
  Bts__Record record;
  Bts__Spec *spec;
  gboolean is_cancel;
  gint64 deadline_us;
  guint attempts;
  gboolean maybe_stored;
  gint64 received_us;
  gboolean is_answered;
  gint64 barrier_us;
  gint64 seen;
  gint64 barred_us;
} request_t;

struct bts_requests_t
{
  bts_ledger_t *ledger;
  const bts_requests_ops_t *ops;
  void *context;
  GPtrArray *in_flight;
  guint64 last_token;
  gint64 caught_up_us;
  gint64 read_sent_us;
  gboolean is_log_slow;
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
 * bts_requests_new() - create an empty set of client requests
 * @ledger: the folded journal
 * @ops: callbacks for outgoing messages
 * @context: passed to @ops
 */
bts_requests_t *
bts_requests_new (bts_ledger_t *ledger, const bts_requests_ops_t *ops, void *context)
{
  bts_requests_t *requests = g_new0 (bts_requests_t, 1);
  requests->ledger = ledger;
  requests->ops = ops;
  requests->context = context;
  requests->in_flight = g_ptr_array_new_with_free_func (request_free);
  return requests;
}

void
bts_requests_free (bts_requests_t *requests)
{
  g_ptr_array_unref (requests->in_flight);
  g_free (requests);
}

/**
 * bts_requests_set_log_slow() - set whether appends take long
 * @requests: the client requests
 * @is_log_slow: whether they do; jobs that come in are then stored with fewer of them
 */
void
bts_requests_set_log_slow (bts_requests_t *requests, gboolean is_log_slow)
{
  requests->is_log_slow = is_log_slow;
}

/**
 * bts_requests_is_journal_fresh() - whether the journal was read to its end recently
 * @requests: the client requests
 * @now_us: current time
 */
gboolean
bts_requests_is_journal_fresh (const bts_requests_t *requests, gint64 now_us)
{
  return requests->caught_up_us != 0 && now_us - requests->caught_up_us < JOURNAL_FRESH_US;
}

/**
 * bts_requests_knows_all_jobs() - whether a job that isn't known doesn't exist
 * @requests: the client requests
 * @now_us: current time
 */
gboolean
bts_requests_knows_all_jobs (const bts_requests_t *requests, gint64 now_us)
{
  return bts_requests_is_journal_fresh (requests, now_us)
         && bts_ledger_is_complete (requests->ledger);
}

/**
 * bts_requests_retry_after_s() - when a caller that was refused may retry
 * @requests: the client requests
 * @now_us: current time
 *
 * An outage is expected to last as long again as it has lasted, so that a caller with few
 * retries left doesn't spend all of them in it.
 *
 * Return: seconds.
 */
guint
bts_requests_retry_after_s (const bts_requests_t *requests, gint64 now_us)
{
  gint64 outage_s
      = requests->caught_up_us == 0 ? 0 : (now_us - requests->caught_up_us) / G_USEC_PER_SEC;
  return (guint)CLAMP (outage_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}

guint
bts_requests_count_in_flight (const bts_requests_t *requests)
{
  guint n = 0;
  for (guint i = 0; i < requests->in_flight->len; i++)
    n += !((const request_t *)requests->in_flight->pdata[i])->is_answered;
  return n;
}

static void
append (bts_requests_t *requests, request_t *request)
{
  request->attempts++;
  request->token = ++requests->last_token;
  if (request->spec != NULL)
    requests->ops->append_spec (requests->context, request->token, request->spec);
  else
    requests->ops->append (requests->context, request->token, &request->record);
}

static request_t *
request_new (bts_requests_t *requests, guint64 exchange, const char *id, gint64 timeout_us,
             gint64 now_us)
{
  request_t *request = g_new0 (request_t, 1);
  request->exchange = exchange;
  request->id = g_strdup (id);
  request->received_us = now_us;
  request->deadline_us = now_us + timeout_us - ANSWER_MARGIN_US;
  bts__record__init (&request->record);
  g_ptr_array_add (requests->in_flight, request);
  return request;
}

/* Names of answers in the log, by bts_answer_t: "away" is %BTS_ANSWER_UNAVAILABLE and "gone" is
   %BTS_ANSWER_NOT_FOUND. */
static const char *const answer_names[] = { "ok", "away", "unknown", "gone", "no-memory" };
static const bt_count_t submit_counts[]
    = { BT_COUNT_SUBMIT_OK, BT_COUNT_SUBMIT_UNAVAILABLE, BT_COUNT_SUBMIT_UNKNOWN,
        BT_COUNT_SUBMIT_UNKNOWN, BT_COUNT_SUBMIT_NO_MEMORY };

static void
note_answer (const request_t *request, bts_answer_t answer)
{
  bt_log (BT_LOG_INFO, request->is_cancel ? "cancel" : "submit", "job=%s answer=%s tries=%u",
          request->id, answer_names[answer], request->attempts);
  if (request->is_cancel)
    bt_metrics_count (answer == BTS_ANSWER_OK ? BT_COUNT_CANCEL_OK : BT_COUNT_CANCEL_OTHER);
  else
    bt_metrics_count (submit_counts[answer]);
}

static void
complete (bts_requests_t *requests, request_t *request, bts_answer_t answer)
{
  gboolean is_answered = request->is_answered;
  guint64 exchange = request->exchange;
  if (!is_answered)
    note_answer (request, answer);
  g_ptr_array_remove (requests->in_flight, request);
  if (!is_answered)
    requests->ops->answer (requests->context, exchange, answer);
}

/* Tells the caller that a job is accepted, and keeps the job until it is read back. */
static void
accept_job (bts_requests_t *requests, request_t *request, gint64 now_us)
{
  bt_metrics_observe (BT_HIST_ACCEPT_MS, (now_us - request->received_us) / 1000);
  note_answer (request, BTS_ANSWER_OK);
  request->is_answered = TRUE;
  request->barrier_us = now_us;
  requests->ops->answer (requests->context, request->exchange, BTS_ANSWER_OK);
}

/* Also if the job isn't known: another process may just have accepted it, and an append of it
   without an answer may take effect later. The record then bars the id. The journal must have been
   read lately, so that the record doesn't count as a repetition of one that was answered. */
static void
append_cancellation (bts_requests_t *requests, request_t *request)
{
  request->barrier_us = 0;
  request->barred_us = 0;
  request->attempts = 0;
  request->seen = bts_ledger_next_offset (requests->ledger);
  request->record.cancelled->seen = (guint64)request->seen;
  append (requests, request);
}

/* Whether the records of a submission have no effect. */
static gboolean
is_barred (const bts_requests_t *requests, const Bts__Accepted *job)
{
  return bts_bars_is_barred (bts_ledger_bars (requests->ledger), job);
}

/* Moves a job's spec from its record for the journal into one for the log of specs. */
static void
detach_spec (request_t *request)
{
  Bts__Accepted *job = request->record.accepted;
  request->spec = malloc (sizeof *request->spec);
  bts__spec__init (request->spec);
  request->spec->id = strdup (job->id);
  request->spec->spec = job->spec;
  job->spec.data = NULL;
  job->spec.len = 0;
}

/* Forwards a job that this process failed to append, since the store may accept the append of
   another process. Returns FALSE if it can't be forwarded. */
static gboolean
forward_job (bts_requests_t *requests, request_t *request, gint64 now_us)
{
  if (request->is_cancel || request->maybe_stored || now_us >= request->deadline_us)
    return FALSE;
  Bts__Accepted *job = request->record.accepted;
  if (request->spec != NULL)
    {
      job->spec = request->spec->spec;
      request->spec->spec.data = NULL;
      request->spec->spec.len = 0;
      g_clear_pointer (&request->spec, spec_free);
    }
  if (!requests->ops->forward (requests->context, request->exchange, job,
                               request->deadline_us - now_us))
    return FALSE;
  request->record.kind_case = BTS__RECORD__KIND__NOT_SET;
  g_ptr_array_remove (requests->in_flight, request);
  return TRUE;
}

/**
 * bts_requests_check() - whether a job that is submitted to this process is appended to the log
 * @requests: the client requests
 * @job: the job
 * @now_us: current time
 */
bts_submission_t
bts_requests_check (const bts_requests_t *requests, const Bts__Accepted *job, gint64 now_us)
{
  if (bts_ledger_job (requests->ledger, job->id) != NULL)
    return BTS_SUBMISSION_KNOWN;
  if (is_barred (requests, job))
    return BTS_SUBMISSION_BARRED;
  return bts_requests_knows_all_jobs (requests, now_us) ? BTS_SUBMISSION_NEW
                                                        : BTS_SUBMISSION_UNREADABLE;
}

/**
 * bts_requests_submit() - submit a job
 * @requests: the client requests
 * @exchange: identifies the caller's request
 * @job: the validated job; ownership is taken
 * @maybe_stored: another process may have appended the job, so the caller can't be told that
 *   it wasn't accepted
 * @timeout_us: how long the caller waits
 * @now_us: current time
 */
void
bts_requests_submit (bts_requests_t *requests, guint64 exchange, Bts__Accepted *job,
                     gboolean maybe_stored, gint64 timeout_us, gint64 now_us)
{
  bts_submission_t submission = bts_requests_check (requests, job, now_us);
  if (submission != BTS_SUBMISSION_NEW)
    {
      gboolean barred = submission == BTS_SUBMISSION_BARRED;
      bts_answer_t answer = submission == BTS_SUBMISSION_KNOWN ? BTS_ANSWER_OK
                            : maybe_stored && !barred          ? BTS_ANSWER_UNKNOWN
                                                               : BTS_ANSWER_UNAVAILABLE;
      bt_log (BT_LOG_INFO, "submit", "job=%s answer=%s read_age_ms=%" G_GINT64_FORMAT, job->id,
              answer_names[answer], (now_us - requests->caught_up_us) / 1000);
      bt_metrics_count (submit_counts[answer]);
      bts__accepted__free_unpacked (job, NULL);
      requests->ops->answer (requests->context, exchange, answer);
      return;
    }
  request_t *request = request_new (requests, exchange, job->id, timeout_us, now_us);
  request->record.kind_case = BTS__RECORD__KIND_ACCEPTED;
  request->record.accepted = job;
  request->maybe_stored = maybe_stored;
  if (job->spec.len > (requests->is_log_slow ? SPEC_INLINE_SLOW_MAX_BYTES : SPEC_INLINE_MAX_BYTES))
    detach_spec (request);
  append (requests, request);
}

/**
 * bts_requests_cancel() - cancel a job
 * @requests: the client requests
 * @exchange: identifies the caller's request
 * @id: the job
 * @timeout_us: how long the caller waits
 * @now_us: current time
 */
void
bts_requests_cancel (bts_requests_t *requests, guint64 exchange, const char *id, gint64 timeout_us,
                     gint64 now_us)
{
  const bts_job_t *job = bts_ledger_job (requests->ledger, id);
  gboolean has_capacity
      = job != NULL || bts_bars_count (bts_ledger_bars (requests->ledger)) < BTS_BARS_MAX;
  if ((job != NULL && bts_job_has_ended (job)) || !has_capacity
      || !bts_requests_knows_all_jobs (requests, now_us))
    {
      gboolean ended = job != NULL && bts_job_has_ended (job);
      requests->ops->answer (requests->context, exchange,
                             ended ? BTS_ANSWER_OK : BTS_ANSWER_UNAVAILABLE);
      return;
    }
  request_t *request = request_new (requests, exchange, id, timeout_us, now_us);
  request->is_cancel = TRUE;
  Bts__Cancelled *cancelled = malloc (sizeof *cancelled);
  bts__cancelled__init (cancelled);
  cancelled->id = strdup (id);
  request->record.kind_case = BTS__RECORD__KIND_CANCELLED;
  request->record.cancelled = cancelled;
  if (now_us - requests->read_sent_us < ACCEPT_FRESH_US)
    append_cancellation (requests, request);
  else
    request->barrier_us = now_us;
}

/**
 * bts_requests_query() - get the state of a job
 * @requests: the client requests
 * @id: the job
 * @now_us: current time
 * @state: set if the answer is %BTS_ANSWER_OK
 */
bts_answer_t
bts_requests_query (const bts_requests_t *requests, const char *id, gint64 now_us,
                    bts_job_state_t *state)
{
  const bts_job_t *job = bts_ledger_job (requests->ledger, id);
  if (job == NULL)
    return bts_requests_knows_all_jobs (requests, now_us) ? BTS_ANSWER_NOT_FOUND
                                                          : BTS_ANSWER_UNAVAILABLE;
  *state = bts_job_state (job);
  return BTS_ANSWER_OK;
}

static request_t *
find_by_token (const bts_requests_t *requests, guint64 token)
{
  for (guint i = 0; i < requests->in_flight->len; i++)
    {
      request_t *request = requests->in_flight->pdata[i];
      if (request->token == token)
        return request;
    }
  return NULL;
}

/* A job is in the journal. Whether it has an effect there depends on the records before it, which
   this process may not have read yet. */
static void
on_job_stored (bts_requests_t *requests, request_t *request, gint64 now_us)
{
  if (is_barred (requests, request->record.accepted))
    complete (requests, request, BTS_ANSWER_UNAVAILABLE);
  else if (now_us - requests->read_sent_us < ACCEPT_FRESH_US)
    accept_job (requests, request, now_us);
  else
    {
      request->maybe_stored = TRUE;
      request->barrier_us = now_us;
    }
}

/**
 * bts_requests_on_append() - an append to the journal completed
 * @requests: the client requests
 * @token: token of the append
 * @result: its result
 * @now_us: current time
 */
void
bts_requests_on_append (bts_requests_t *requests, guint64 token, bts_append_result_t result,
                        gint64 now_us)
{
  request_t *request = find_by_token (requests, token);
  if (request == NULL)
    return;
  if (request->is_answered)
    {
      request->barrier_us = now_us;
      return;
    }
  /* A cancellation is answered by bts_requests_on_job(), once the folded journal shows that
     the job has ended, or by check_bar(). */
  if (result == BTS_APPEND_STORED && !request->is_cancel)
    on_job_stored (requests, request, now_us);
  else if (result == BTS_APPEND_UNKNOWN)
    {
      request->maybe_stored = TRUE;
      if (request->attempts < APPEND_ATTEMPTS_MAX && now_us < request->deadline_us)
        append (requests, request);
    }
  else if (result == BTS_APPEND_REFUSED && !request->maybe_stored
           && !forward_job (requests, request, now_us))
    complete (requests, request, BTS_ANSWER_UNAVAILABLE);
}

/**
 * bts_requests_on_spec_append() - an append to the log of specs completed
 * @requests: the client requests
 * @token: token of the append
 * @result: its result
 * @offset: offset of the spec if it was stored
 * @now_us: current time
 *
 * The job is appended to the journal only once its spec is known to be stored. Until then, this
 * process hasn't appended the job. The caller can then be told for certain that the job wasn't
 * accepted, unless another process may have appended it (maybe_stored).
 */
void
bts_requests_on_spec_append (bts_requests_t *requests, guint64 token, bts_append_result_t result,
                             gint64 offset, gint64 now_us)
{
  request_t *request = find_by_token (requests, token);
  if (request == NULL || request->spec == NULL)
    return;
  if (result != BTS_APPEND_STORED)
    {
      if (result == BTS_APPEND_UNKNOWN && request->attempts < APPEND_ATTEMPTS_MAX
          && now_us < request->deadline_us)
        append (requests, request);
      else if (!forward_job (requests, request, now_us))
        complete (requests, request,
                  request->maybe_stored ? BTS_ANSWER_UNKNOWN : BTS_ANSWER_UNAVAILABLE);
      return;
    }
  g_clear_pointer (&request->spec, spec_free);
  request->attempts = 0;
  request->record.accepted->spec_at = (guint64)offset + 1;
  append (requests, request);
}

/* The journal was read beyond the place of a job that was stored, which was deleted before this
   process could read it. Others may not have read it either. */
static void
append_unread (bts_requests_t *requests, request_t *request, gint64 now_us)
{
  if (now_us - request->received_us > UNREAD_MAX_US)
    {
      g_ptr_array_remove (requests->in_flight, request);
      return;
    }
  bt_log (BT_LOG_WARNING, "submit-unread", "job=%s", request->id);
  append (requests, request);
}

/* The journal was read to its end. A submission that is barred never takes effect; if it was
   answered, then before the cancellation was. */
static void
check_submission (bts_requests_t *requests, request_t *request, gint64 sent_us, gint64 now_us)
{
  if (is_barred (requests, request->record.accepted))
    {
      complete (requests, request, BTS_ANSWER_UNAVAILABLE);
      return;
    }
  if (request->barrier_us == 0 || sent_us <= request->barrier_us)
    return;
  request->barrier_us = 0;
  append_unread (requests, request, now_us);
}

/* Answers a cancellation that has barred its id, once no process accepts the id that hasn't read
   it. A job that came in at a process which has read it is cancelled in turn. */
static void
check_bar (bts_requests_t *requests, request_t *request, gint64 now_us)
{
  guint64 number = g_ascii_strtoull (request->id, NULL, 16);
  const bts_bar_t *bar = bts_bars_find (bts_ledger_bars (requests->ledger), number);
  if (bar == NULL || bar->offset < request->seen)
    return;
  if (request->barred_us == 0)
    request->barred_us = now_us;
  if (now_us - request->barred_us < BAR_SETTLE_US)
    return;
  if (bts_ledger_job (requests->ledger, request->id) == NULL)
    {
      complete (requests, request, bar->has_blocked ? BTS_ANSWER_OK : BTS_ANSWER_NOT_FOUND);
      return;
    }
  append_cancellation (requests, request);
}

/**
 * bts_requests_on_caught_up() - the journal was read to its end
 * @requests: the client requests
 * @sent_us: when that read was sent
 * @as_of_us: when its reply had arrived
 * @now_us: current time
 */
void
bts_requests_on_caught_up (bts_requests_t *requests, gint64 sent_us, gint64 as_of_us, gint64 now_us)
{
  requests->caught_up_us = as_of_us;
  requests->read_sent_us = sent_us;
  /* Backwards, since requests are removed on the way. */
  for (guint i = requests->in_flight->len; i > 0; i--)
    {
      request_t *request = requests->in_flight->pdata[i - 1];
      if (!request->is_cancel)
        check_submission (requests, request, sent_us, now_us);
      else if (request->barrier_us != 0 && sent_us > request->barrier_us)
        append_cancellation (requests, request);
    }
  bts_bars_expire (bts_ledger_bars (requests->ledger), sent_us);
}

/**
 * bts_requests_on_job() - the folded journal shows that a job was accepted or has ended
 * @requests: the client requests
 * @job: the job
 */
void
bts_requests_on_job (bts_requests_t *requests, const bts_job_t *job)
{
  for (guint i = 0; i < requests->in_flight->len;)
    {
      request_t *request = requests->in_flight->pdata[i];
      if (strcmp (request->id, bts_job_id (job)) == 0
          && (!request->is_cancel || bts_job_has_ended (job)))
        {
          complete (requests, request, BTS_ANSWER_OK);
          i = 0;
        }
      else
        i++;
    }
}

/**
 * bts_requests_tick() - answer the cancellations of unknown jobs, and the requests whose deadline
 *   has passed
 * @requests: the client requests
 * @now_us: current time
 */
void
bts_requests_tick (bts_requests_t *requests, gint64 now_us)
{
  for (guint i = requests->in_flight->len; i > 0; i--)
    {
      request_t *request = requests->in_flight->pdata[i - 1];
      if (request->is_cancel)
        check_bar (requests, request, now_us);
    }
  for (guint i = 0; i < requests->in_flight->len;)
    {
      request_t *request = requests->in_flight->pdata[i];
      if (!request->is_answered && now_us >= request->deadline_us)
        complete (requests, request,
                  request->spec != NULL && !request->maybe_stored ? BTS_ANSWER_UNAVAILABLE
                                                                  : BTS_ANSWER_UNKNOWN);
      else
        i++;
    }
}
