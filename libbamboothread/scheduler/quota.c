#include "libbamboothread/scheduler/sched_private.h"
#include "libbamboothread/scheduler/quota.h"

#include "libbamboothread/scheduler/order.h"

/*
 * Which stages of the queue wait for their tenant's quota, and which of these request advice
 * meanwhile. How much a cap leaves is decided in usage.c.
 */

/* Least time between two attempts to request advice for a stage that waits for quota, in
   microseconds: each of them may search all workers. */
#define ASK_INTERVAL_US (40 * 1000)
/* A stage that has waited for so long is examined whether it could use quota at all, in
   microseconds. */
#define EXAMINE_AFTER_US (200 * 1000)

/**
 * bts_quota_kind() - what kind of work a stage is, for its tenant's cap
 * @stage: the stage
 *
 * Urgent work in excess, or of no use any more, comes after other work, so the headroom isn't for
 * it.
 */
bts_usage_kind_t
bts_quota_kind (const bts_stage_t *stage)
{
  if (bts_stage_step (stage)->long_running)
    return BTS_USAGE_LASTING;
  return bts_stage_policy (stage)->priority == 0 && !stage->job->in_excess
                 && stage->band != BTS_BAND_OBSOLETE
             ? BTS_USAGE_URGENT
             : BTS_USAGE_OTHER;
}

/**
 * bts_quota_count_admitted() - how many of the ready tasks of a stage its tenant's quota admits
 * @sched: a leading scheduler
 * @stage: the stage
 * @n_ready: number of these tasks
 *
 * Return: at most @n_ready; of a gang, all or none.
 */
guint
bts_quota_count_admitted (const bts_sched_t *sched, const bts_stage_t *stage, guint n_ready)
{
  return bts_usage_count_startable (sched->usage, stage->job->account, bts_stage_step (stage),
                                    n_ready, bts_quota_kind (stage));
}

/* Requests advice for an urgent stage while it waits for quota: other tasks of its tenant end
   within the time that the call takes. */
static void
ask_ahead (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  if (!bts_stage_policy (stage)->advised
      || !bts_usage_ask_ahead (sched->usage, stage->job->account, bts_stage_step (stage),
                               bts_stage_count_pending (stage))
      || stage->advice != NULL || now_us < MAX (stage->retry_us, stage->backoff_until_us))
    return;
  stage->retry_us = now_us + ASK_INTERVAL_US;
  bts_advice_ensure (sched, stage, now_us);
}

static void
wait_for_quota (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  stage->quota_since_us = stage->quota_since_us == 0 ? now_us : stage->quota_since_us;
  stage->reserving = FALSE;
  stage->no_room_since_us = 0;
  stage->lacks_room = TRUE;
  gint64 waited_us = now_us - stage->quota_since_us;
  gboolean possible
      = waited_us < EXAMINE_AFTER_US || bts_reserve_is_possible (sched, stage, now_us);
  /* Quota that is kept for it would be of no use. */
  bts_usage_wait (stage->job->account, bts_stage_step (stage), stage->n_tasks,
                  possible ? waited_us : 0);
  if (bts_quota_kind (stage) != BTS_USAGE_URGENT || !possible)
    return;
  ask_ahead (sched, stage, now_us);
  bts_preempt_for_quota (sched, stage, now_us);
}

/**
 * bts_quota_has_to_wait() - whether a stage has to wait for its tenant's quota, or for advice that
 * the stages ahead would leave no quota to use
 * @sched: a leading scheduler, during a pass
 * @stage: the stage
 * @now_us: the time
 *
 * Such a stage isn't looked at in this pass, so that it costs little. It reserves nothing, and
 * stops no runs but those that bts_preempt_for_quota() chooses.
 */
gboolean
bts_quota_has_to_wait (bts_sched_t *sched, bts_stage_t *stage, gint64 now_us)
{
  bts_account_t *account = stage->job->account;
  if (account == NULL || bts_job_has_ended (stage->job))
    return FALSE;
  const Bts__Step *step = bts_stage_step (stage);
  bts_usage_kind_t kind = bts_quota_kind (stage);
  gboolean lacks_room_long
      = stage->no_room_since_us != 0 && now_us - stage->no_room_since_us >= EXAMINE_AFTER_US;
  if (kind == BTS_USAGE_URGENT
      && (!lacks_room_long || bts_reserve_is_possible (sched, stage, now_us)))
    bts_usage_want (account, step, bts_stage_count_pending (stage));
  if (bts_quota_count_admitted (sched, stage, stage->n_tasks) == 0
      && bts_stage_count_pending (stage) > 0)
    {
      wait_for_quota (sched, stage, now_us);
      return TRUE;
    }
  stage->quota_since_us = 0;
  if (!bts_stage_policy (stage)->advised || stage->advice != NULL)
    return FALSE;
  if (stage->advice_asked_us == 0
      && !bts_usage_may_ask (sched->usage, account, step, stage->n_tasks, kind))
    return TRUE;
  bts_usage_note_asked (account, step, bts_stage_count_pending (stage));
  return FALSE;
}
