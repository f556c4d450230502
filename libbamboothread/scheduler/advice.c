#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/scheduler/election.h"
#include "libbamboothread/scheduler/place.h"

/*
 * Which workers may run a stage. The service takes one call at a time from each
 * VM, and a call takes longer the more workers it names, so the owner spreads its
 * questions over all processes and names workers that have room.
 */

/* Time for a question and its answer to pass between two processes, in microseconds,
   beyond the time of the calls; then another process is asked. */
#define PATIENCE_US (200 * 1000)
/* A stage is asked about when the one before it has this part of a ticket's validity
   left to run, as estimated: estimates are off by up to half. */
#define FORESEE_PART 2
/* Workers that a question names at least, if there are so many: the objectives of jobs
   allow for a call about so many. */
#define WORKERS_USUAL 30
/* Part of the workers of a question that is thought to be allowed, in percent: the
   services' policies allow 30 to 70. */
#define ALLOWED_PERCENT 40
/* Time between two looks for workers with room about which nothing is known, in
   microseconds. */
#define EXTEND_US (40 * 1000)
/* A question goes to a process that will be free so soon, in microseconds, or waits in
   the order of the queue until there is one: more questions than the service can answer
   would be answered when the tickets are of no use any more. */
#define AHEAD_US (60 * 1000)
/* Most questions that a process has at once: one that it asks, the next one, and one on
   its way. Calls that take longer than expected don't pile up then. */
#define OPEN_MAX 3
/* A stage should be allowed on workers that could take so many times its tasks, so that
   it needn't wait for particular ones. */
#define CHOICE 3
/* Processes beside the owner from which on the owner asks none of its own questions. */
#define HELPERS_MIN 2

static gint64
call_us (const Bts__Policy *policy, guint workers)
{
  return (gint64)((policy->advice_ms + policy->advice_worker_ms * workers) * 1000.0);
}

/* The process that will be free first, or NULL if none will be soon. Every second one is
   for long calls, which would hold up the short ones. */
static const char *
choose_member (bts_sched_t *sched, gboolean is_long, gint64 now_us, bts_member_t **chosen)
{
  if (sched->advice_nodes_busy_us[is_long] > now_us)
    return NULL;
  g_autoptr (GPtrArray) names = bts_members_list_live (sched->members, now_us);
  const char *self = bts_ledger_owner (sched->ledger);
  const char *best = NULL;
  for (guint i = 0; i < names->len; i++)
    {
      bts_member_t *member = bts_members_find (sched->members, names->pdata[i]);
      gboolean is_self = g_strcmp0 (names->pdata[i], self) == 0;
      if (member->calls_in_flight >= OPEN_MAX || (is_long && i % 2 != 0)
          || (is_self ? names->len > HELPERS_MIN : member->address == NULL))
        continue;
      if (best == NULL || member->busy_until_us < (*chosen)->busy_until_us)
        {
          best = names->pdata[i];
          *chosen = member;
        }
    }
  if (best != NULL && (*chosen)->busy_until_us <= now_us + AHEAD_US)
    return best;
  /* Without anybody to ask, the rest of this pass need not look for one again. */
  sched->advice_nodes_busy_us[is_long]
      = best == NULL ? now_us + 1 : (*chosen)->busy_until_us - AHEAD_US;
  return NULL;
}

/* A process that left a question unanswered isn't asked until it gives a new sign. */
static void
doubt_member (bts_sched_t *sched, bts_stage_t *stage)
{
  stage->advice_asked_us = 0;
  if (stage->advice_node != NULL)
    bts_members_suspect (sched->members, stage->advice_node);
}

static gboolean
is_long (const bts_stage_t *stage)
{
  return call_us (bts_stage_policy (stage), WORKERS_USUAL) > BTS_ADVICE_SHORT_CALL_MS * 1000;
}

static void
ask (bts_sched_t *sched, bts_stage_t *stage, const char *node, bts_member_t *member,
     const GPtrArray *workers, gint64 now_us)
{
  bts_member_add_call (member, call_us (bts_stage_policy (stage), workers->len), now_us);
  stage->advice_asked_us = now_us;
  stage->advice_deadline_us = member->busy_until_us + PATIENCE_US;
  g_free (stage->advice_node);
  stage->advice_node = g_strdup (node);
  Bts__Ask question = BTS__ASK__INIT;
  question.node = (char *)node;
  question.job = (char *)bts_job_id (stage->job);
  question.occurrence = stage->occurrence;
  question.step = stage->step;
  question.n_workers = workers->len;
  question.workers = (char **)workers->pdata;
  sched->ops->request_advice (sched->context, node, member->address, &question);
}

/**
 * enum about_t - which workers a question is about
 * @ABOUT_UNKNOWN: those of which nothing is known
 * @ABOUT_FURTHER: of those the ones with room, or any for a stage that may use few
 * @ABOUT_ALLOWED: those that were allowed before, for new tickets
 */
typedef enum
{
  ABOUT_UNKNOWN,
  ABOUT_FURTHER,
  ABOUT_ALLOWED,
} about_t;

static gboolean
may_ask_about (const bts_stage_t *stage, const bts_worker_t *worker, about_t about)
{
  const bts_ticket_t *ticket = bts_stage_ticket (stage, worker->entry->id);
  return worker->registered && !worker->entry->draining && bts_place_matches (worker, stage)
         && (about == ABOUT_ALLOWED ? ticket != NULL && ticket->ticket != NULL : ticket == NULL);
}

static guint
count_if_empty (const bts_worker_t *worker, const Bts__Step *step)
{
  bts_resources_t nothing = { 0 };
  return bts_place_count_fitting (worker, &nothing, step);
}

/* Whether the workers that a stage may use are so few that it would wait for nearly all
   of them to be empty at once. */
static gboolean
is_narrow (const bts_sched_t *sched, const bts_stage_t *stage)
{
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  guint64 taken = 0;
  for (guint i = 0; i < pool->len; i++)
    if (bts_place_is_eligible (pool->pdata[i], stage))
      taken += count_if_empty (pool->pdata[i], bts_stage_step (stage));
  return taken < (guint64)stage->n_tasks * CHOICE;
}

/**
 * struct candidate_t - a worker to ask about
 * @left: part of it that stays free beside one more task, in thousandths; 0 if that
 *   doesn't matter
 */
typedef struct
{
  const bts_worker_t *worker;
  gint64 left;
} candidate_t;

static gint
compare_left (gconstpointer a, gconstpointer b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;
  return left->left < right->left ? -1 : left->left > right->left;
}

/* Workers to ask about: those with room first, until they will do for all tasks. Patient
   work is asked about on the fullest of them, which leaves whole workers to gangs. */
static GPtrArray *
choose_workers (bts_sched_t *sched, const bts_stage_t *stage, about_t about, gint64 now_us)
{
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  const Bts__Step *step = bts_stage_step (stage);
  gboolean patient = bts_stage_policy (stage)->priority > 0;
  GPtrArray *ids = g_ptr_array_new ();
  g_autoptr (GArray) with_room = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  g_autoptr (GPtrArray) full = g_ptr_array_new ();
  /* Questions begin at different workers, so that the jobs spread over all of them. */
  guint first = pool->len == 0 ? 0 : ++sched->advice_requests % pool->len;
  guint percent = about == ABOUT_ALLOWED ? 100 : ALLOWED_PERCENT;
  guint taken = 0;
  for (guint i = 0; i < pool->len; i++)
    {
      const bts_worker_t *worker = pool->pdata[(first + i) % pool->len];
      if (!may_ask_about (stage, worker, about))
        continue;
      candidate_t candidate = { worker, patient ? bts_place_free_permille (worker, step) : 0 };
      if (bts_place_check_without_advice (worker, stage, now_us) == BTS_PLACE_OK)
        g_array_append_val (with_room, candidate);
      else
        g_ptr_array_add (full, (gpointer)worker);
    }
  g_array_sort (with_room, compare_left);
  for (guint i = 0; i < with_room->len && ids->len < BTS_ADVICE_MAX_WORKERS; i++)
    {
      const bts_worker_t *worker = g_array_index (with_room, candidate_t, i).worker;
      g_ptr_array_add (ids, worker->entry->id);
      taken += bts_place_count_fitting (worker, &worker->used, step);
      if (ids->len >= WORKERS_USUAL && (guint64)taken * percent >= (guint64)stage->n_tasks * 100)
        return ids;
    }
  if (about == ABOUT_FURTHER && !is_narrow (sched, stage))
    return ids;
  guint64 wanted = (guint64)stage->n_tasks * CHOICE * 100;
  for (guint i = 0; i < full->len && ids->len < BTS_ADVICE_MAX_WORKERS; i++)
    {
      const bts_worker_t *worker = full->pdata[i];
      if (ids->len >= WORKERS_USUAL && (guint64)taken * percent >= wanted)
        break;
      g_ptr_array_add (ids, worker->entry->id);
      taken += count_if_empty (worker, step);
    }
  return ids;
}

/* Asks about a stage, if a process is free to ask and there are workers to ask about. */
static void
ask_about (bts_sched_t *sched, bts_stage_t *stage, about_t about, gint64 now_us)
{
  bts_member_t *member = NULL;
  const char *node = choose_member (sched, is_long (stage), now_us, &member);
  if (node == NULL)
    return;
  g_autoptr (GPtrArray) ids = choose_workers (sched, stage, about, now_us);
  if (ids->len > 0)
    ask (sched, stage, node, member, ids, now_us);
}

/**
 * bts_advice_ensure() - whether it is known which workers may run a stage
 * @sched: a leading scheduler
 * @stage: the stage; asked about if nobody has
 * @now_us: the time
 */
gboolean
bts_advice_ensure (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised)
    return TRUE;
  if (stage->advice_asked_us != 0 && now_us < stage->advice_deadline_us)
    return FALSE;
  if (stage->advice_asked_us != 0)
    doubt_member (sched, stage);
  if (stage->advice != NULL)
    return TRUE;
  ask_about (sched, stage, ABOUT_UNKNOWN, now_us);
  return FALSE;
}

/**
 * bts_advice_renew() - ask for new tickets of a stage
 * @sched: a leading scheduler
 * @stage: the stage; nothing is asked while an answer is on its way
 * @needed_us: when the tickets are needed; asked for no sooner than that takes
 * @now_us: the time
 */
void
bts_advice_renew (bts_sched_t *sched, bts_stage_t *stage, gint64 needed_us, gint64 now_us)
{
  const Bts__Policy *policy = bts_stage_policy (stage);
  if (!policy->advised || stage->advice == NULL || stage->advice_asked_us != 0)
    return;
  if (now_us + call_us (policy, WORKERS_USUAL) >= needed_us)
    ask_about (sched, stage, ABOUT_ALLOWED, now_us);
}

/**
 * bts_advice_extend() - ask about further workers
 * @sched: a leading scheduler
 * @stage: a stage for whose tasks there is no room on the workers that it may use
 * @now_us: the time
 */
void
bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised || stage->advice == NULL || stage->advice_asked_us != 0
      || now_us < stage->next_extend_us)
    return;
  stage->next_extend_us = now_us + EXTEND_US;
  ask_about (sched, stage, ABOUT_FURTHER, now_us);
}

/**
 * bts_advice_prefetch() - ask about the stages after one whose tasks all run
 * @sched: a leading scheduler
 * @stage: the stage
 *
 * The answer is to be there when the stage ends, with tickets that still hold.
 */
void
bts_advice_prefetch (bts_sched_t *sched, bts_stage_t *stage)
{
  bts_job_t *job = stage->job;
  if (!job->accepted->policy->advised)
    return;
  gint64 end_us = 0;
  for (guint i = 0; i < stage->n_tasks; i++)
    if (stage->tasks[i].run != NULL)
      end_us = MAX (end_us, stage->tasks[i].run->created_us
                                + (gint64)bts_stage_step (stage)->estimate_ms * 1000);
  gint64 ahead_us = (gint64)job->accepted->policy->advice_validity_ms * 1000 / FORESEE_PART;
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
      g_ptr_array_add (sched->prefetch, next);
    }
}

/**
 * bts_advice_tick() - ask about stages that will come soon
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
      if (stage->advice == NULL && stage->advice_asked_us == 0 && !bts_job_has_ended (stage->job))
        ask_about (sched, stage, ABOUT_UNKNOWN, now_us);
    }
}

/**
 * bts_sched_on_advice() - the advice service has answered about a stage
 * @sched: the scheduler
 * @advice: the answer, or NULL if there is none
 * @asked: what was asked
 */
void
bts_sched_on_advice (bts_sched_t *sched, const Bts__Ask *asked, const Bts__Advice *advice)
{
  gint64 now_us = bts_sched_now (sched);
  bts_members_finish_call (sched->members, asked->node, now_us);
  sched->advice_nodes_busy_us[FALSE] = 0;
  sched->advice_nodes_busy_us[TRUE] = 0;
  sched->dirty = TRUE;
  bts_job_t *job = sched->term == 0 ? NULL : bts_ledger_job (sched->ledger, asked->job);
  bts_stage_t *stage = job == NULL || bts_job_has_ended (job)
                           ? NULL
                           : bts_job_stage (job, asked->occurrence, asked->step);
  if (stage == NULL)
    return;
  if (advice == NULL)
    {
      /* Another process is asked with the next pass. */
      stage->advice_deadline_us = MIN (stage->advice_deadline_us, now_us);
      return;
    }
  stage->advice_asked_us = 0;
  bts_stage_record_advice (stage, NULL, NULL, now_us);
  for (gsize i = 0; i < asked->n_workers; i++)
    bts_stage_record_advice (stage, asked->workers[i], NULL, now_us);
  for (gsize i = 0; i < advice->n_allowed; i++)
    bts_stage_record_advice (stage, advice->allowed[i]->worker, advice->allowed[i]->ticket, now_us);
}
