#ifndef BTS_JOB_BUDGET_H
#define BTS_JOB_BUDGET_H

#include "libbamboothread/scheduler/job.h"

/*
 * Memory that jobs take, and whether one more may be accepted. Every process holds all jobs, so the
 * process with the least memory decides. What a job takes is counted as on the owner, which holds
 * more of it than others.
 */

/* When a caller whose job was refused for lack of memory may retry, in seconds: jobs give memory
   back some time after they have ended. */
#define BTS_JOB_BUDGET_RETRY_AFTER_S 10

typedef struct bts_job_budget_t bts_job_budget_t;

bts_job_budget_t *bts_job_budget_new (gsize limit_bytes);
void bts_job_budget_free (bts_job_budget_t *budget);
void bts_job_budget_tick (bts_job_budget_t *budget, GHashTable *jobs, guint n_runs, gint64 now_us);
gsize bts_job_budget_bytes (const bts_job_budget_t *budget);
void bts_job_budget_set_owner_bytes (bts_job_budget_t *budget, gsize bytes);
gboolean bts_job_budget_admit (bts_job_budget_t *budget, guint64 exchange,
                               const Bts__Accepted *accepted, gsize least_bytes, guint n_processes);
gint64 bts_job_budget_keep_us (const bts_job_budget_t *budget);
gint64 bts_job_budget_compact_interval_us (const bts_job_budget_t *budget);
void bts_job_budget_on_answer (bts_job_budget_t *budget, guint64 exchange, gboolean accepted);
void bts_job_budget_on_job (bts_job_budget_t *budget, bts_job_t *job);
gboolean bts_job_budget_has_spare (const bts_job_budget_t *budget);

#endif
