#include "libbamboothread/scheduler/sched_private.h"

#include <string.h>

#include "libbamboothread/scheduler/lead.h"

/*
 * Which workers may run a stage. The service takes one call at a time from each
 * VM, so the owner spreads its questions over all processes and tells them by the
 * journal. A process that takes a job in asks about its first stage itself if it
 * has nothing else to ask and the call is short.
 */

/* Time for a question and its answer to pass through the journal, in microseconds,
   beyond the time of the calls; then another process is asked. */
#define PATIENCE_US (350 * 1000)
/* A stage is asked about when the one before it has this part of a ticket's validity
   left to run, as estimated: estimates are off by up to half. */
#define FORESEE_PART 2
/* Part of a ticket's validity kept for the way of the start to the worker. */
#define TICKET_MARGIN_US (200 * 1000)
/* A process without a sign for so long isn't asked, in microseconds. */
#define MEMBER_SILENT_US (8 * BT_USEC_PER_SEC)

/**
 * bts_ticket_now() - leave to start a stage on a worker
 * @stage: the stage
 * @worker: id of the worker
 * @now_us: the time
 *
 * Return: the ticket, or NULL if there is none that holds long enough.
 */
const char *
bts_ticket_now (const bts_stage_t *stage, const char *worker, gint64 now_us)
{
  const bts_ticket_t *ticket = bts_stage_ticket (stage, worker);
  gint64 valid_us = (gint64)bts_stage_policy (stage)->advice_validity_ms * 1000 - TICKET_MARGIN_US;
  if (ticket == NULL || ticket->at_us == 0 || now_us - ticket->at_us >= valid_us)
    return NULL;
  return ticket->ticket;
}

static gint64
call_us (const Bts__Policy *policy, guint workers)
{
  return (gint64)((policy->advice_ms + policy->advice_worker_ms * workers) * 1000.0);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* The process that will be free first. Every second one is for long calls, which
   would hold up the short ones; those that gave no sign lately are left out. */
static const char *
choose_member (const bts_sched_t *sched, gboolean is_long, gint64 now_us, bts_member_t **chosen)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->members);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (now_us - ((bts_member_t *)value)->seen_us <= MEMBER_SILENT_US)
      g_ptr_array_add (names, key);
  g_ptr_array_sort (names, compare_names);
  const char *best = NULL;
  for (guint i = 0; i < names->len; i++)
    {
      bts_member_t *member = g_hash_table_lookup (sched->members, names->pdata[i]);
      if (is_long && i % 2 != 0)
        continue;
      if (best == NULL || member->busy_until_us < (*chosen)->busy_until_us)
        {
          best = names->pdata[i];
          *chosen = member;
        }
    }
  return best;
}

/* A process that left a question unanswered isn't asked until it gives a new sign. */
static void
doubt_member (bts_sched_t *sched, bts_stage_t *stage)
{
  bts_member_t *member
      = stage->asked == NULL ? NULL : g_hash_table_lookup (sched->members, stage->asked);
  stage->asked_us = 0;
  if (member != NULL)
    member->seen_us = MIN (member->seen_us, bts_sched_now (sched) - MEMBER_SILENT_US - 1);
}

static void
ask (bts_sched_t *sched, bts_stage_t *stage, const GPtrArray *workers, gint64 now_us)
{
  bts_member_t *member = NULL;
  gint64 took_us = call_us (bts_stage_policy (stage), workers->len);
  const char *node = choose_member (sched, took_us > BTS_ADVICE_SHORT_MS * 1000, now_us, &member);
  if (workers->len == 0 || node == NULL)
    return;
  member->busy_until_us = MAX (member->busy_until_us, now_us) + took_us;
  stage->asked_us = now_us;
  stage->answer_us = member->busy_until_us + PATIENCE_US;
  g_free (stage->asked);
  stage->asked = g_strdup (node);
  sched->ops->advise (sched->context, node, stage, workers);
}

static gboolean
may_ask_about (const bts_stage_t *stage, const bts_worker_t *worker)
{
  return worker->listed && !worker->entry->draining
         && strcmp (worker->entry->service, bts_stage_policy (stage)->service) == 0;
}

/* All workers of the service that have not been denied. */
static void
ask_about (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value) && ids->len < BTS_ADVICE_MAX)
    {
      const bts_worker_t *worker = value;
      const bts_ticket_t *known = bts_stage_ticket (stage, worker->entry->id);
      if (may_ask_about (stage, worker) && (known == NULL || known->ticket != NULL))
        g_ptr_array_add (ids, worker->entry->id);
    }
  ask (sched, stage, ids, now_us);
}

/**
 * bts_advice_expect() - a process asks about the first stage of its job itself
 * @sched: a leading scheduler
 * @job: a job just accepted
 */
void
bts_advice_expect (bts_sched_t *sched, const bts_job_t *job)
{
  const Bts__Policy *policy = job->accepted->policy;
  bts_member_t *member = g_hash_table_lookup (sched->members, job->accepted->entry);
  if (!job->accepted->asks || member == NULL)
    return;
  gint64 now_us = bts_sched_now (sched);
  guint workers = MIN (g_hash_table_size (sched->fleet->workers), BTS_ADVICE_MAX);
  member->busy_until_us = MAX (member->busy_until_us, now_us) + call_us (policy, workers);
  bts_stage_t *stage = bts_job_stage ((bts_job_t *)job, 0, 0);
  stage->asked_us = now_us;
  stage->answer_us = member->busy_until_us + PATIENCE_US;
}

/**
 * bts_advice_ready() - whether it is known which workers may run a stage
 * @sched: a leading scheduler
 * @stage: the stage; asked about if nobody has
 * @now_us: the time
 */
gboolean
bts_advice_ready (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised)
    return TRUE;
  if (stage->asked_us != 0 && now_us < stage->answer_us)
    return FALSE;
  if (stage->asked_us != 0)
    doubt_member (sched, stage);
  if (stage->advice != NULL)
    return TRUE;
  ask_about (sched, stage, now_us);
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
  if (!policy->advised || stage->advice == NULL || stage->asked_us != 0)
    return;
  guint workers = g_hash_table_size (stage->advice);
  if (now_us + call_us (policy, workers) >= needed_us)
    ask_about (sched, stage, now_us);
}

/**
 * bts_advice_extend() - ask about workers that have come since the last answer
 * @sched: a leading scheduler
 * @stage: a stage for whose tasks there is no room on the workers that it may use
 * @now_us: the time
 */
void
bts_advice_extend (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised || stage->advice == NULL || stage->asked_us != 0
      || stage->extended == sched->fleet->version)
    return;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  const GPtrArray *pool = bts_fleet_pool (sched->fleet, stage->job->service);
  for (guint i = 0; i < pool->len && ids->len < BTS_ADVICE_MAX; i++)
    {
      const bts_worker_t *worker = pool->pdata[i];
      if (worker->synced && may_ask_about (stage, worker)
          && !g_hash_table_contains (stage->advice, worker->entry->id))
        g_ptr_array_add (ids, worker->entry->id);
    }
  if (ids->len == 0)
    stage->extended = sched->fleet->version;
  ask (sched, stage, ids, now_us);
}

/**
 * bts_advice_foresee() - ask about the stages after one whose tasks all run
 * @sched: a leading scheduler
 * @stage: the stage
 *
 * The answer is to be there when the stage ends, with tickets that still hold.
 */
void
bts_advice_foresee (bts_sched_t *sched, bts_stage_t *stage)
{
  bts_job_t *job = stage->job;
  if (!job->accepted->policy->advised)
    return;
  gint64 end_us = 0;
  for (guint i = 0; i < stage->n; i++)
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
      if (!follows || next->advice != NULL || next->foresee_us != 0)
        continue;
      next->foresee_us = MAX (end_us - ahead_us, 1);
      g_ptr_array_add (sched->foreseen, next);
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
  for (guint i = 0; i < sched->foreseen->len;)
    {
      bts_stage_t *stage = sched->foreseen->pdata[i];
      if (now_us < stage->foresee_us && !bts_job_over (stage->job))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (sched->foreseen, i);
      if (stage->advice == NULL && stage->asked_us == 0 && !bts_job_over (stage->job))
        ask_about (sched, stage, now_us);
    }
}

/**
 * bts_sched_on_advised() - advice on a stage is in the journal
 * @sched: the scheduler
 * @stage: the stage
 */
void
bts_sched_on_advised (bts_sched_t *sched, bts_stage_t *stage)
{
  stage->asked_us = 0;
  sched->dirty = TRUE;
}

static gboolean
is_earlier_life (gpointer key, gpointer value, gpointer node)
{
  return bts_node_same_place (key, node);
}

/**
 * bts_sched_on_seen() - a process has given a sign
 * @sched: the scheduler
 * @node: the process
 */
void
bts_sched_on_seen (bts_sched_t *sched, const char *node)
{
  if (*node == '\0')
    return;
  bts_member_t *member = g_hash_table_lookup (sched->members, node);
  if (member == NULL)
    {
      g_hash_table_foreach_remove (sched->members, is_earlier_life, (gpointer)node);
      member = g_new0 (bts_member_t, 1);
      g_hash_table_insert (sched->members, g_strdup (node), member);
    }
  member->seen_us = bts_sched_now (sched);
}
