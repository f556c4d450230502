#include "libbamboothread/scheduler/run_slots.h"

#include <string.h>

/* Runs of a job on a worker, and of a customer or of a gang, as a multiple of the free slots. */
#define JOB_SHARE 3
#define CUSTOMER_SHARE 7
/* One slot in so many is left for jobs of which nothing runs, and runs of one customer as a
   multiple of the free slots up to which it gets those. */
#define FIRST_RUNS_DIVISOR 16
#define FIRST_RUNS_SHARE 15

/**
 * struct tally_t - runs on a worker
 * @total: all of them
 * @of_job: those of one job
 * @of_customer: those of its customer
 */
typedef struct
{
  guint total;
  guint of_job;
  guint of_customer;
} tally_t;

/* Jobs of one tenant belong to one customer; where there are no tenants, those of one route do. */
static gboolean
is_same_customer (const bts_job_t *left, const bts_job_t *right)
{
  const Bts__Policy *a = left->accepted->policy;
  const Bts__Policy *b = right->accepted->policy;
  if (a->tenant[0] != '\0' || b->tenant[0] != '\0')
    return strcmp (a->tenant, b->tenant) == 0;
  return strcmp (a->route, b->route) == 0;
}

/* Counts the runs on a worker; only those of tasks that last, if @lasting. */
static tally_t
count_runs (const bts_worker_t *worker, const bts_stage_t *stage, gboolean lasting)
{
  tally_t tally = { 0 };
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const bts_run_t *run = worker->runs->pdata[i];
      const bts_stage_t *other = run->task == NULL ? NULL : run->task->stage;
      if (lasting && (other == NULL || !bts_stage_step (other)->long_running))
        continue;
      tally.total++;
      tally.of_job += other != NULL && other->job == stage->job;
      tally.of_customer += other != NULL && is_same_customer (other->job, stage->job);
    }
  return tally;
}

/* How many more runs an owner of @n_own runs may have: each one that is added needs more than
   1/@share of the runs that it has by then as free slots. */
static guint
count_within_share (guint n_free, guint n_own, guint share)
{
  guint most = share * n_free;
  return n_own >= most ? 0 : (most - n_own + share) / (share + 1);
}

static guint
count_members (const bts_stage_t *stage)
{
  guint n = 0;
  const bts_task_t *task;
  for (guint i = 0; (task = bts_stage_next_task (stage, &i)) != NULL;)
    n += task->run != NULL;
  return n;
}

/* Whether anything of a job runs, other than the members of a gang that is being placed. */
static gboolean
has_run (const bts_stage_t *placed)
{
  guint n = placed->job->n_runs;
  return n > 0 && (!bts_stage_step (placed)->gang || n > count_members (placed));
}

/* How many runs of a job may take slots that are left for jobs of which nothing runs: a gang needs
   all at once. */
static guint
count_first_runs (const tally_t *tally, guint n_free, const bts_stage_t *stage)
{
  guint n = count_within_share (n_free, tally->of_customer, FIRST_RUNS_SHARE);
  if (n == 0 || has_run (stage))
    return 0;
  return bts_stage_step (stage)->gang ? n : 1;
}

static guint
count_in_pool (const tally_t *tally, guint n_slots, const bts_stage_t *stage)
{
  guint n_free = n_slots - MIN (n_slots, tally->total);
  guint n_shared = n_free - MIN (n_free, n_slots / FIRST_RUNS_DIVISOR);
  guint n = count_within_share (n_shared, tally->of_customer, CUSTOMER_SHARE);
  /* A gang that got a part of its runs alone would never start. */
  guint job_share = bts_stage_step (stage)->gang ? CUSTOMER_SHARE : JOB_SHARE;
  n = MIN (n, count_within_share (n_shared, tally->of_job, job_share));
  if (n > 0 && !bts_stage_step (stage)->gang)
    return n;
  return MAX (n, count_first_runs (tally, n_free, stage));
}

/* The same once so many runs have ended, whoever's they are. */
static tally_t
tally_without (tally_t tally, guint n_leaving)
{
  tally.total -= MIN (tally.total, n_leaving);
  tally.of_job = MIN (tally.of_job, tally.total);
  tally.of_customer = MIN (tally.of_customer, tally.total);
  return tally;
}

static guint
count_of_kind (const bts_worker_t *worker, const bts_stage_t *stage, gboolean lasting,
               guint n_leaving, guint n_max)
{
  guint n_slots = lasting ? BTS_LASTING_RUNS_MAX : BTS_RUNS_MAX;
  /* With few runs the result doesn't depend on whose they are. */
  tally_t tally = { worker->runs->len, worker->runs->len, worker->runs->len };
  guint n = count_in_pool (&tally, n_slots, stage);
  if (n >= n_max)
    return n_max;
  tally = tally_without (count_runs (worker, stage, lasting), n_leaving);
  return MIN (count_in_pool (&tally, n_slots, stage), n_max);
}

static guint
count_slots (const bts_worker_t *worker, const bts_stage_t *stage, guint n_leaving, guint n_max)
{
  guint n = count_of_kind (worker, stage, FALSE, n_leaving, n_max);
  if (n > 0 && bts_stage_step (stage)->long_running)
    n = count_of_kind (worker, stage, TRUE, 0, n);
  return n;
}

static bts_slot_refusal_t
refusal_of (const bts_worker_t *worker, const bts_stage_t *stage)
{
  const bts_slot_refusal_t refusal = { stage->job->offset, stage->occurrence, stage->step,
                                       stage->job->n_runs > 0, worker->runs_version };
  return refusal;
}

static gboolean
is_same_refusal (const bts_slot_refusal_t *left, const bts_slot_refusal_t *right)
{
  return left->job == right->job && left->occurrence == right->occurrence
         && left->step == right->step && left->job_has_run == right->job_has_run
         && left->version == right->version;
}

/**
 * bts_run_slots_count() - how many more tasks of a stage may run on a worker, whatever they take
 * @worker: the worker
 * @stage: the stage
 * @n_leaving: runs on it that are about to end, and whose slots count as free
 * @n_max: the number that is needed
 *
 * All tasks of a wide stage are tried on a worker that is full for them, so that answer is kept.
 *
 * Return: that number, at most @n_max.
 */
guint
bts_run_slots_count (const bts_worker_t *worker, const bts_stage_t *stage, guint n_leaving,
                     guint n_max)
{
  bts_slot_refusal_t refusal = refusal_of (worker, stage);
  if (n_leaving == 0 && is_same_refusal (&refusal, worker->slot_refusal))
    return 0;
  guint n = count_slots (worker, stage, n_leaving, n_max);
  if (n_leaving == 0 && n == 0)
    *worker->slot_refusal = refusal;
  return n;
}
