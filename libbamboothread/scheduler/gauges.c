#include "libbamboothread/base/metrics.h"
#include "libbamboothread/scheduler/gang_waits.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/sched_private.h"

/*
 * What metrics and log lines show of the scheduler's state.
 */

static gboolean
may_run_unlisted (const void *context, const bts_task_t *task)
{
  return bts_sched_may_run_unlisted (context, task);
}

/**
 * bts_sched_report_waiting() - write for what stages wait, if that is due
 * @sched: a leading scheduler, after a pass over the queue
 */
void
bts_sched_report_waiting (bts_sched_t *sched)
{
  gint64 now_us = bts_sched_now (sched);
  bts_sched_view_t view;
  if (now_us >= sched->next_gang_waits_us)
    {
      sched->next_gang_waits_us = now_us + BTS_GANG_WAITS_INTERVAL_US;
      bts_gang_waits_report (sched->queue, sched->fleet, now_us);
    }
  if (!bts_waiting_is_due (&sched->waiting, now_us) || !bts_sched_view (sched, &view))
    return;
  /* Workers may have been removed since the last pass. */
  bts_sched_find_unlisted (sched);
  const bts_waiting_view_t waiting
      = { now_us, view.paused, view.queue, view.fleet, view.usage, may_run_unlisted, sched };
  bts_waiting_report (&sched->waiting, &waiting);
}

/**
 * bts_sched_update_gauges() - set the gauges of the scheduler
 * @sched: the scheduler
 */
void
bts_sched_update_gauges (const bts_sched_t *sched)
{
  gint64 silent = 0;
  gint64 fast = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sched->fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      silent += ((bts_worker_t *)value)->hold_failures > 0;
      fast += bts_worker_is_fast (value);
    }
  bt_metrics_set (BT_GAUGE_LEADING, sched->term != 0);
  bt_metrics_set (BT_GAUGE_WAITING_STAGES, sched->queue->len);
  bts_waiting_update_gauges (sched->term == 0 ? NULL : &sched->waiting);
  bt_metrics_set (BT_GAUGE_ORDERS_WAITING, bts_outbox_count_waiting (sched->outbox));
  bt_metrics_set (BT_GAUGE_ORDERS_ON_WAY, bts_outbox_count_on_way (sched->outbox));
  bt_metrics_set (BT_GAUGE_RUNS, g_hash_table_size (sched->runs));
  bt_metrics_set (BT_GAUGE_WORKERS, g_hash_table_size (sched->fleet->workers));
  bt_metrics_set (BT_GAUGE_WORKERS_SILENT, silent);
  bt_metrics_set (BT_GAUGE_WORKERS_FAST, sched->term == 0 ? 0 : fast);
  bt_metrics_set_tenants (sched->term == 0 ? NULL : bts_usage_to_text (sched->usage));
  bt_metrics_set (BT_GAUGE_INTERFERING_PAIRS,
                  sched->term == 0 ? 0 : bts_interference_count_known (sched->fleet->interference));
}
