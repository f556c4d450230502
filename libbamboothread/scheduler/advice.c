#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/call_share.h"
#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/gang_request.h"
#include "libbamboothread/scheduler/place.h"

/*
 * Requests for advice: which workers may run a stage. The advice service takes
 * one call at a time from each VM, and a call takes longer the more workers it
 * names. So the owner spreads its requests over all processes and names workers
 * with free resources first.
 */

/* Time for a request and its reply to pass between two processes, in microseconds, in
   addition to the duration of the calls; after that another process is asked. */
#define MESSAGE_ROUND_TRIP_US (200 * 1000)
/* Advice for a stage is requested when the stage before it is estimated to end within a
   ticket's validity divided by this: estimates are off by up to half. */
#define PREFETCH_VALIDITY_DIVISOR 2
/* Fewest workers that a request names, if the service has so many: the objectives of jobs
   allow for the duration of a call about this number. */
#define TYPICAL_WORKERS 30
/* Expected part of a request's workers that the advice allows, in percent: the services'
   policies allow 30 to 70. */
#define EXPECTED_ALLOWED_PERCENT 40
/* The same for gangs, which can't start on some of the workers that they need: a second call costs
   them more time than a longer first one. */
#define EXPECTED_ALLOWED_GANG_PERCENT 20
/* Least time between two searches for further workers to request advice about, for one
   stage, in microseconds. */
#define EXTEND_INTERVAL_US (40 * 1000)
/* A request goes only to a process that will be free within this time, in microseconds;
   otherwise the stage waits its turn in the queue. Requests beyond what the service can
   answer would be answered too late for their tickets to be of use. */
#define QUEUE_AHEAD_MAX_US (60 * 1000)
/* Most requests at one process: one in its call, the next one and one in transit. Keeps
   calls that take longer than expected from piling up. */
#define REQUESTS_PER_NODE_MAX 3
/* Advice is requested until the workers on which a stage is allowed could run, when empty,
   this many times its tasks, so that it needn't wait for particular workers. */
#define CAPACITY_FACTOR 3
/* While requests have to wait, one for each so many goes to the stage that is most overdue. In the
   order of the queue alone, the calls would all go to urgent work and to work that is on time, and
   a stage that is late would get no advice for as long as there is enough of these, although most
   of the workers are free. */
#define REQUESTS_PER_TURN 16
/* A stage whose request has waited this long is overdue, in microseconds. */
#define OVERDUE_US (1000 * 1000)
/* Time from the beginning of a term in which other processes send the owner what earlier ones were
   given about jobs from before it, in microseconds. */
#define TRANSFER_WAIT_US (150 * 1000)
/* With at least this many other processes the owner makes no calls to the service itself. */
#define OTHER_NODES_MIN 2

static gint64
call_duration_us (const Bts__Policy *policy, guint workers)
{
  return (gint64)((policy->advice_ms + policy->advice_worker_ms * workers) * 1000.0);
}

/* Whether a process is a better choice for a call than another one. Those that only a replay has
   named come last: they may have ended since, and the call would be given up. */
static gboolean
is_better_choice (const bts_member_t *member, const bts_member_t *other, gint64 now_us)
{
  gint64 free_us = bts_advice_calls_free_us (&member->calls);
  gint64 other_free_us = bts_advice_calls_free_us (&other->calls);
  gboolean is_free = free_us <= now_us + QUEUE_AHEAD_MAX_US;
  gboolean is_other_free = other_free_us <= now_us + QUEUE_AHEAD_MAX_US;
  if (is_free && is_other_free && member->unconfirmed != other->unconfirmed)
    return other->unconfirmed;
  return free_us < other_free_us;
}

/* The processes that make calls: all others that can be asked, and the owner itself if they are
   few. */
static GPtrArray *
list_callers (const bts_sched_t *sched, gint64 now_us)
{
  GPtrArray *askable = bts_members_list_askable (sched->members, now_us);
  const char *self = bts_ledger_owner (sched->ledger);
  guint n_live = 0;
  for (guint i = 0; i < askable->len; i++)
    n_live += !((const bts_member_t *)askable->pdata[i])->unconfirmed;
  for (guint i = askable->len; i > 0; i--)
    {
      const bts_member_t *member = askable->pdata[i - 1];
      gboolean is_self = g_strcmp0 (member->name, self) == 0;
      if (is_self ? n_live > OTHER_NODES_MIN : member->address == NULL)
        g_ptr_array_remove_index (askable, i - 1);
    }
  return askable;
}

static gboolean
can_take_call (const bts_member_t *member)
{
  return bts_advice_calls_count (&member->calls)
         < (member->unconfirmed ? 1 : REQUESTS_PER_NODE_MAX);
}

/* The process that will be free first, or NULL if none will be soon. Long calls, which would delay
   the short ones, only go to processes that aren't kept for those; a service that has to yield only
   uses the kept ones. */
static bts_member_t *
choose_advice_node (bts_sched_t *sched, gboolean is_long_call, gboolean yields, gint64 now_us)
{
  gint64 *busy_us = &sched->advice_nodes_busy_us[is_long_call][yields];
  if (*busy_us > now_us || (is_long_call && yields))
    return NULL;
  g_autoptr (GPtrArray) callers = list_callers (sched, now_us);
  guint n_kept = bts_call_share_count_kept (sched->call_share, callers->len, now_us);
  bts_member_t *best = NULL;
  for (guint i = 0; i < callers->len; i++)
    {
      bts_member_t *member = callers->pdata[i];
      gboolean is_kept = bts_call_share_is_kept (i, n_kept, callers->len);
      if (!can_take_call (member) || (is_kept ? is_long_call : yields))
        continue;
      if (best == NULL || is_better_choice (member, best, now_us))
        best = member;
    }
  gint64 free_us = best == NULL ? 0 : bts_advice_calls_free_us (&best->calls);
  if (best != NULL && free_us <= now_us + QUEUE_AHEAD_MAX_US)
    return best;
  /* Skips the search until a process will be free soon enough; if none can be asked at all, for
     the rest of this pass. */
  *busy_us = best == NULL ? now_us + 1 : free_us - QUEUE_AHEAD_MAX_US;
  return NULL;
}

/* Gives up the request for a stage. The process that left it unanswered isn't asked until it
   has been heard from again. */
static void
suspect_advice_node (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  bt_log (BT_LOG_NOTICE, "advice-given-up",
          "job=%s occurrence=%u step=%u node=%s after_ms=%" G_GINT64_FORMAT,
          bts_job_id (stage->job), stage->occurrence, stage->step,
          stage->advice_node == NULL ? "" : stage->advice_node,
          (now_us - stage->advice_asked_us) / 1000);
  stage->advice_asked_us = 0;
  if (stage->advice_node != NULL)
    bts_members_suspect (sched->members, stage->advice_node);
}

/* Whether the process that was asked about a stage has left the request unanswered for too long, or
   it has failed. Each answer of the process to an earlier request shows that it is alive, and puts
   this off. */
static gboolean
is_request_overdue (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  const bts_member_t *member = bts_members_find (sched->members, stage->advice_node);
  return member == NULL
         || now_us >= bts_advice_calls_due_us (&member->calls, bts_job_id (stage->job),
                                               stage->occurrence, stage->step)
                          + MESSAGE_ROUND_TRIP_US;
}

static gboolean
needs_long_call (const bts_stage_t *stage)
{
  return call_duration_us (bts_stage_policy (stage), TYPICAL_WORKERS)
         > BTS_ADVICE_SHORT_CALL_MS * 1000;
}

/**
 * enum request_scope_t - which workers a request is about
 * @SCOPE_UNKNOWN: workers without advice for the stage
 * @SCOPE_FURTHER: those of them that can take a task now, or any if few are eligible so far; of a
 *   gang, see gang_request.h
 * @SCOPE_ALLOWED: workers that were allowed before, to renew their tickets
 */
typedef enum
{
  SCOPE_UNKNOWN,
  SCOPE_FURTHER,
  SCOPE_ALLOWED,
} request_scope_t;

/* Names of scopes in the log. */
static const char *const scope_names[] = { "first", "further", "renewal" };

static void
send_request (bts_sched_t *sched, bts_stage_t *stage, bts_member_t *member, request_scope_t scope,
              const GPtrArray *workers, gint64 now_us)
{
  gint64 duration_us = call_duration_us (bts_stage_policy (stage), workers->len);
  bts_call_share_charge (sched->call_share, stage->job->service, duration_us,
                         !needs_long_call (stage), now_us);
  stage->advice_asked_us = now_us;
  stage->advice_wanted_us = 0;
  g_free (stage->advice_node);
  stage->advice_node = g_strdup (member->name);
  Bts__Ask request = BTS__ASK__INIT;
  request.node = member->name;
  request.job = (char *)bts_job_id (stage->job);
  request.occurrence = stage->occurrence;
  request.step = stage->step;
  request.n_workers = workers->len;
  request.workers = (char **)workers->pdata;
  bts_advice_calls_add (&member->calls, &request, duration_us, now_us);
  bt_log (BT_LOG_INFO, "advice-asked", "job=%s occurrence=%u step=%u node=%s workers=%u scope=%s",
          bts_job_id (stage->job), stage->occurrence, stage->step, member->name, workers->len,
          scope_names[scope]);
  sched->ops->request_advice (sched->context, member->name, member->address, &request);
}

static gboolean
is_in_scope (const bts_stage_t *stage, const bts_worker_t *worker, request_scope_t scope)
{
  return worker->registered && !worker->entry->draining
         && (scope == SCOPE_ALLOWED ? bts_stage_ticket (stage, worker->number) != NULL
                                    : !bts_stage_was_asked (stage, worker->number))
         && bts_place_matches (worker, stage);
}

static guint
count_fitting_if_empty (const bts_worker_t *worker, const Bts__Step *step)
{
  bts_resources_t unused = { 0 };
  return bts_place_count_fitting (worker, &unused, step);
}

/* Whether the eligible workers of a stage are so few that it would have to wait until
   nearly all of them are empty at once. */
static gboolean
has_few_eligible (const bts_sched_t *sched, const bts_stage_t *stage)
{
  guint64 n_fitting = 0;
  bts_candidates_t candidates;
  bts_candidates_init (&candidates, sched->fleet, stage);
  const bts_worker_t *worker;
  while ((worker = bts_candidates_next (&candidates)) != NULL)
    n_fitting += count_fitting_if_empty (worker, bts_stage_step (stage));
  return n_fitting < (guint64)stage->n_tasks * CAPACITY_FACTOR;
}

/**
 * struct candidate_t - a worker that a request may name
 * @free_permille: share of it left free after one more task, in thousandths
 */
typedef struct
{
  const bts_worker_t *worker;
  gint64 free_permille;
} candidate_t;

static gint
compare_free (gconstpointer a, gconstpointer b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;
  return left->free_permille < right->free_permille ? -1
                                                    : left->free_permille > right->free_permille;
}

/**
 * struct choice_t - the workers that a request names
 * @ids: their ids
 * @stage: the stage that the request is about
 * @allowed_percent: part of them that the advice is expected to allow
 * @n_fitting: tasks that fit on them
 */
typedef struct
{
  GPtrArray *ids;
  const bts_stage_t *stage;
  guint allowed_percent;
  guint n_fitting;
} choice_t;

/* Names a worker that can take a task now. Returns whether no further one is needed. */
static gboolean
add_feasible (choice_t *choice, const bts_worker_t *worker)
{
  if (choice->ids->len >= BTS_ADVICE_MAX_WORKERS)
    return TRUE;
  g_ptr_array_add (choice->ids, worker->entry->id);
  choice->n_fitting
      += bts_place_count_fitting (worker, &worker->used, bts_stage_step (choice->stage));
  return choice->ids->len >= TYPICAL_WORKERS
         && (guint64)choice->n_fitting * choice->allowed_percent
                >= (guint64)choice->stage->n_tasks * 100;
}

/* Names the fast workers that can take a task now. Returns whether no further worker is needed. */
static gboolean
add_fast_workers (choice_t *choice, const GPtrArray *pool, guint first, request_scope_t scope,
                  gint64 now_us)
{
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *worker = pool->pdata[(first + i) % pool->len];
      if (bts_worker_is_fast (worker) && is_in_scope (choice->stage, worker, scope)
          && bts_place_check (worker, choice->stage, now_us) == BTS_PLACE_OK
          && add_feasible (choice, worker))
        return TRUE;
    }
  return FALSE;
}

/* Ids of the workers to name in a request: first those that can take a task now, until they
   are expected to suffice for all tasks. Except for urgent work the fullest of them come
   first, which leaves whole workers free for gangs; for urgent work the fast ones come first, and
   the walk ends once there are enough. */
static GPtrArray *
choose_workers (bts_sched_t *sched, const bts_stage_t *stage, request_scope_t scope, gint64 now_us)
{
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  const Bts__Step *step = bts_stage_step (stage);
  gboolean low_priority = bts_stage_policy (stage)->priority > 0;
  /* Each request starts at another worker, so that jobs spread over all of them. */
  guint first = pool->len == 0 ? 0 : ++sched->advice_requests % pool->len;
  if (step->gang && scope == SCOPE_FURTHER && !has_few_eligible (sched, stage))
    {
      gint64 answered_us = now_us + call_duration_us (bts_stage_policy (stage), TYPICAL_WORKERS);
      return bts_gang_request_workers (stage, sched->fleet, first, BTS_ADVICE_MAX_WORKERS,
                                       answered_us, now_us);
    }
  GPtrArray *ids = g_ptr_array_new ();
  guint allowed_percent = scope == SCOPE_ALLOWED ? 100
                          : step->gang           ? EXPECTED_ALLOWED_GANG_PERCENT
                                                 : EXPECTED_ALLOWED_PERCENT;
  choice_t choice = { ids, stage, allowed_percent, 0 };
  if (!low_priority && add_fast_workers (&choice, pool, first, scope, now_us))
    return ids;
  g_autoptr (GArray) feasible = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  g_autoptr (GPtrArray) infeasible = g_ptr_array_new ();
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *worker = pool->pdata[(first + i) % pool->len];
      bt_metrics_count (BT_COUNT_ADVICE_CANDIDATES);
      if (!is_in_scope (stage, worker, scope))
        continue;
      if (bts_place_check (worker, stage, now_us) != BTS_PLACE_OK)
        g_ptr_array_add (infeasible, (gpointer)worker);
      else if (!low_priority && !bts_worker_is_fast (worker) && add_feasible (&choice, worker))
        return ids;
      else if (low_priority)
        {
          candidate_t candidate = { worker, bts_place_free_permille (worker, step) };
          g_array_append_val (feasible, candidate);
        }
    }
  g_array_sort (feasible, compare_free);
  for (guint i = 0; i < feasible->len; i++)
    if (add_feasible (&choice, g_array_index (feasible, candidate_t, i).worker))
      return ids;
  if (scope == SCOPE_FURTHER && !has_few_eligible (sched, stage))
    return ids;
  guint64 needed = (guint64)stage->n_tasks * CAPACITY_FACTOR * 100;
  for (guint i = 0; i < infeasible->len && ids->len < BTS_ADVICE_MAX_WORKERS; i++)
    {
      const bts_worker_t *worker = infeasible->pdata[i];
      if (ids->len >= TYPICAL_WORKERS && (guint64)choice.n_fitting * allowed_percent >= needed)
        break;
      g_ptr_array_add (ids, worker->entry->id);
      choice.n_fitting += count_fitting_if_empty (worker, step);
    }
  return ids;
}

/* Whether requests of a scope name workers whenever they are made: those about further workers may
   find none with room. */
static gboolean
names_workers (const bts_sched_t *sched, const bts_stage_t *stage, request_scope_t scope)
{
  return scope != SCOPE_FURTHER && bts_fleet_pool (sched->fleet, stage->job->service)->len > 0;
}

/* Requests advice for a stage if a process is free to call the service. Returns FALSE if none is.
   Nothing is sent either if there are no workers to name. */
static gboolean
try_request (bts_sched_t *sched, bts_stage_t *stage, request_scope_t scope, gint64 now_us)
{
  const char *service = stage->job->service;
  gboolean yields = bts_call_share_has_to_yield (sched->call_share, service, now_us);
  bts_member_t *member = choose_advice_node (sched, needs_long_call (stage), yields, now_us);
  if (member == NULL)
    {
      if (names_workers (sched, stage, scope))
        bts_call_share_wait (sched->call_share, service, now_us);
      if (yields)
        bt_metrics_count (BT_COUNT_ADVICE_YIELDED);
      return FALSE;
    }
  g_autoptr (GPtrArray) ids = choose_workers (sched, stage, scope, now_us);
  stage->advice_wanted_us = 0;
  if (ids->len > 0)
    send_request (sched, stage, member, scope, ids, now_us);
  return TRUE;
}

/**
 * enum turn_t - which overdue stages a turn is for
 * @TURN_ANY: all of them
 * @TURN_NOT_URGENT: those that aren't urgent; urgent work comes first in the order of the queue
 *   already, and more of it than there are calls would take all turns as well
 * @TURN_OBSOLETE: the same, without regard to whether the result is still of use
 */
typedef enum
{
  TURN_ANY,
  TURN_NOT_URGENT,
  TURN_OBSOLETE,
} turn_t;

/* Turns follow each other in this order. */
static const turn_t turns[] = { TURN_ANY, TURN_NOT_URGENT, TURN_ANY, TURN_OBSOLETE };

static gboolean
is_for (turn_t turn, const bts_stage_t *stage)
{
  return turn == TURN_ANY || bts_stage_policy (stage)->priority > 0;
}

/* Whether a stage's turn comes before that of another one. Those whose result is of no use any more
   come last in most turns: there may be hundreds of them, and their calls take long. */
static gboolean
is_more_overdue (const bts_stage_t *stage, const bts_stage_t *other, turn_t turn, gint64 now_us)
{
  gboolean is_obsolete = now_us > stage->obsolete_us;
  if (turn != TURN_OBSOLETE && is_obsolete != (now_us > other->obsolete_us))
    return !is_obsolete;
  return stage->latest_start_us < other->latest_start_us;
}

/* Whether the request of a stage has waited for long, and could be made now. */
static gboolean
is_overdue (bts_sched_t *sched, const bts_stage_t *stage, gboolean is_long_call, gint64 now_us)
{
  return stage->advice_wanted_us != 0 && now_us - stage->advice_wanted_us >= OVERDUE_US
         && stage->advice_asked_us == 0 && !bts_job_has_ended (stage->job)
         && needs_long_call (stage) == is_long_call
         && !bts_call_share_has_to_yield (sched->call_share, stage->job->service, now_us);
}

/* The most overdue of the stages with calls of a length that a turn is for, by their latest start,
   in which owners agree; NULL if there is none. */
static bts_stage_t *
find_overdue (bts_sched_t *sched, turn_t turn, gboolean is_long_call, gint64 now_us)
{
  bts_stage_t *overdue = NULL;
  for (guint i = 0; i < sched->queue->len; i++)
    {
      bts_stage_t *stage = sched->queue->pdata[i];
      if (is_for (turn, stage) && is_overdue (sched, stage, is_long_call, now_us)
          && (overdue == NULL || is_more_overdue (stage, overdue, turn, now_us)))
        overdue = stage;
    }
  return overdue;
}

/* Requests advice for the most overdue stage with a call of a length for which a process is free.
   Short and long calls have turns of their own, so that neither wait for the other's processes. */
static void
request_for_overdue (bts_sched_t *sched, gboolean is_long_call, gint64 now_us)
{
  bts_advice_turns_t *own = &sched->advice_turns[is_long_call];
  turn_t turn = turns[own->n_used % G_N_ELEMENTS (turns)];
  bts_stage_t *stage = find_overdue (sched, turn, is_long_call, now_us);
  if (stage == NULL)
    stage = find_overdue (sched, TURN_ANY, is_long_call, now_us);
  if (stage == NULL)
    {
      own->n_since = 0;
      return;
    }
  gint64 waited_us = now_us - stage->advice_wanted_us;
  if (!try_request (sched, stage, (request_scope_t)stage->advice_scope, now_us)
      || stage->advice_asked_us == 0)
    return;
  own->n_since = 0;
  own->n_used++;
  bt_metrics_count (BT_COUNT_ADVICE_OVERDUE);
  bt_log (BT_LOG_INFO, "advice-overdue", "job=%s occurrence=%u step=%u waited_ms=%" G_GINT64_FORMAT,
          bts_job_id (stage->job), stage->occurrence, stage->step, waited_us / 1000);
}

/* Requests advice for a stage in the order of the queue, or for an overdue one if it is its turn.
   The queue is searched only while a process is free to call the service. */
static void
request_advice (bts_sched_t *sched, bts_stage_t *stage, request_scope_t scope, gint64 now_us)
{
  gboolean is_long_call = needs_long_call (stage);
  bts_advice_turns_t *own = &sched->advice_turns[is_long_call];
  if (own->n_since >= REQUESTS_PER_TURN
      && choose_advice_node (sched, is_long_call, FALSE, now_us) != NULL)
    request_for_overdue (sched, is_long_call, now_us);
  if (stage->advice_asked_us == 0 && try_request (sched, stage, scope, now_us))
    {
      own->n_since += stage->advice_asked_us != 0;
      return;
    }
  stage->advice_scope = scope;
  if (stage->advice_wanted_us == 0 && stage->advice_asked_us == 0)
    stage->advice_wanted_us = now_us;
}

/* Whether other processes may yet send what earlier owners were given about a stage. */
static gboolean
may_be_transferred (const bts_sched_t *sched, const bts_stage_t *stage, gint64 now_us)
{
  return now_us - sched->term_began_us < TRANSFER_WAIT_US && needs_long_call (stage)
         && stage->job->offset < bts_ledger_claim_offset (sched->ledger);
}

/**
 * bts_advice_ensure() - check that a stage has advice, or request it
 * @sched: a leading scheduler
 * @stage: the stage
 * @now_us: the time
 *
 * A request about further workers or for new tickets doesn't keep it from the workers for which it
 * has valid tickets: these would expire meanwhile.
 *
 * Return: whether the stage can be placed: it has advice.
 */
gboolean
bts_advice_ensure (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised)
    return TRUE;
  if (stage->advice_asked_us != 0 && is_request_overdue (sched, stage, now_us))
    suspect_advice_node (sched, stage, now_us);
  if (stage->advice != NULL)
    return TRUE;
  if (stage->advice_asked_us == 0 && !may_be_transferred (sched, stage, now_us))
    request_advice (sched, stage, SCOPE_UNKNOWN, now_us);
  return FALSE;
}

/**
 * bts_advice_renew() - request new tickets for a stage
 * @sched: a leading scheduler
 * @stage: the stage; nothing is requested while another request for it is in flight
 * @needed_us: when the tickets are needed; requested no sooner than one call's duration before
 * @now_us: the time
 */
void
bts_advice_renew (bts_sched_t *sched, bts_stage_t *stage, gint64 needed_us, gint64 now_us)
{
  const Bts__Policy *policy = bts_stage_policy (stage);
  if (!policy->advised || stage->advice == NULL || stage->advice_asked_us != 0)
    return;
  if (now_us + call_duration_us (policy, TYPICAL_WORKERS) >= needed_us)
    request_advice (sched, stage, SCOPE_ALLOWED, now_us);
}

/**
 * bts_advice_extend() - request advice about further workers
 * @sched: a leading scheduler
 * @stage: a stage with tasks that found no room on its eligible workers
 * @now_us: the time
 */
void
bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised || stage->advice == NULL || stage->advice_asked_us != 0
      || now_us < stage->next_extend_us)
    return;
  stage->next_extend_us = now_us + EXTEND_INTERVAL_US;
  request_advice (sched, stage, SCOPE_FURTHER, now_us);
}

/**
 * bts_advice_prefetch() - plan requests for the stages that depend on a stage
 * @sched: a leading scheduler
 * @stage: a stage whose tasks all run
 *
 * The requests are timed so that the advice is there when the stage ends, with tickets that
 * are still valid; bts_advice_tick() sends them.
 */
void
bts_advice_prefetch (bts_sched_t *sched, bts_stage_t *stage)
{
  bts_job_t *job = stage->job;
  if (!job->accepted->policy->advised)
    return;
  gint64 end_us = 0;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    if (task->run != NULL)
      end_us = MAX (end_us,
                    task->run->created_us + (gint64)bts_stage_step (stage)->estimate_ms * 1000);
  gint64 ahead_us
      = (gint64)job->accepted->policy->advice_validity_ms * 1000 / PREFETCH_VALIDITY_DIVISOR;
  bts_occurrence_t *occurrence = bts_job_occurrence (job, stage->occurrence);
  for (gsize i = stage->step + 1; i < job->accepted->n_steps; i++)
    {
      bts_stage_t *next = &occurrence->stages[i];
      const Bts__Step *step = bts_stage_step (next);
      gboolean follows = FALSE;
      for (gsize a = 0; a < step->n_after; a++)
        follows = follows || step->after[a] == stage->step;
      if (!follows || next->advice != NULL || next->prefetch_us != 0)
        continue;
      next->prefetch_us = MAX (end_us - ahead_us, 1);
      next->prefetching = TRUE;
      g_ptr_array_add (sched->prefetch, next);
    }
}

/**
 * bts_advice_tick() - send the prefetch requests that are due
 * @sched: a leading scheduler
 */
void
bts_advice_tick (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  for (guint i = 0; i < sched->prefetch->len;)
    {
      bts_stage_t *stage = sched->prefetch->pdata[i];
      if (now_us < stage->prefetch_us && !bts_job_has_ended (stage->job))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (sched->prefetch, i);
      stage->prefetching = FALSE;
      if (stage->advice == NULL && stage->advice_asked_us == 0 && !bts_job_has_ended (stage->job))
        request_advice (sched, stage, SCOPE_UNKNOWN, now_us);
    }
}

/* Workers that aren't known any more are passed over, and newer tickets are kept. */
static void
record_advice (const bts_sched_t *sched, bts_stage_t *stage, char **asked, gsize n_asked,
               const Bts__Advice *advice, gint64 received_us)
{
  bts_stage_begin_advice (stage);
  for (gsize i = 0; i < n_asked; i++)
    {
      const bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, asked[i]);
      if (worker != NULL)
        bts_stage_record_denied (stage, worker->number);
    }
  for (gsize i = 0; i < advice->n_allowed; i++)
    {
      const Bts__Ticket *ticket = advice->allowed[i];
      const bts_worker_t *worker = bts_fleet_find_worker (sched->fleet, ticket->worker);
      const bts_ticket_t *known = worker == NULL ? NULL : bts_stage_ticket (stage, worker->number);
      if (worker != NULL && (known == NULL || known->received_us <= received_us))
        bts_stage_record_allowed (stage, worker->number, ticket->ticket, received_us);
    }
}

/**
 * bts_sched_on_advice_transferred() - an answer that an earlier owner was given
 * @sched: the scheduler; it may be about to lead
 * @advice: the answer with the workers that it denies, and its age
 */
void
bts_sched_on_advice_transferred (bts_sched_t *sched, const Bts__Advice *advice)
{
  bts_job_t *job = bts_ledger_job (sched->ledger, advice->job);
  bts_stage_t *stage = job == NULL || bts_job_has_ended (job)
                           ? NULL
                           : bts_job_stage (job, advice->occurrence, advice->step);
  if (stage == NULL)
    return;
  bt_metrics_count (BT_COUNT_ADVICE_TRANSFERRED);
  record_advice (sched, stage, advice->denied, advice->n_denied, advice,
                 bts_sched_now (sched) - (gint64)advice->age_ms * 1000);
  stage->retry_us = 0;
  sched->dirty = TRUE;
}

/**
 * bts_sched_on_advice() - handle the reply to a request for advice
 * @sched: the scheduler
 * @asked: the request
 * @advice: the advice, or NULL if there is none
 */
void
bts_sched_on_advice (bts_sched_t *sched, const Bts__Ask *asked, const Bts__Advice *advice)
{
  gint64 now_us = bts_sched_now (sched);
  bts_members_finish_call (sched->members, asked, advice != NULL, now_us);
  if (advice != NULL)
    bts_members_mark_answered (sched->members, asked->node, now_us);
  memset (sched->advice_nodes_busy_us, 0, sizeof sched->advice_nodes_busy_us);
  sched->dirty = TRUE;
  bts_job_t *job = sched->term == 0 ? NULL : bts_ledger_job (sched->ledger, asked->job);
  bts_stage_t *stage = job == NULL || bts_job_has_ended (job)
                           ? NULL
                           : bts_job_stage (job, asked->occurrence, asked->step);
  bt_log (BT_LOG_INFO, "advice-answered",
          "job=%s occurrence=%u step=%u node=%s usable=%d workers=%zu allowed=%zu", asked->job,
          asked->occurrence, asked->step, asked->node, advice != NULL, asked->n_workers,
          advice == NULL ? 0 : advice->n_allowed);
  /* Without advice the next pass asks another process, unless it has asked one already. */
  if (stage == NULL || advice == NULL)
    return;
  stage->advice_asked_us = 0;
  stage->retry_us = 0;
  record_advice (sched, stage, asked->workers, asked->n_workers, advice, now_us);
}
