#ifndef BTS_USAGE_H
#define BTS_USAGE_H

#include "libbamboothread/scheduler/fleet.h"
#include "libbamboothread/scheduler/headroom.h"
#include "libbamboothread/scheduler/tenants.h"

/*
 * What each tenant has running, and how much more its cap lets it start. Caps come from the newest
 * tables. A tenant that isn't in the tables any more keeps its last cap, which the records of its
 * jobs carry to processes that have started since.
 */

typedef struct bts_usage_t bts_usage_t;

/**
 * enum bts_usage_kind_t - kinds of work that a cap distinguishes
 * @BTS_USAGE_OTHER: leaves the headroom for urgent work alone
 * @BTS_USAGE_LASTING: long-running work; may use the whole cap
 * @BTS_USAGE_URGENT: urgent work; may use the whole cap
 */
typedef enum
{
  BTS_USAGE_OTHER,
  BTS_USAGE_LASTING,
  BTS_USAGE_URGENT,
} bts_usage_kind_t;

/**
 * struct bts_pool_usage_t - usage of one tenant in one pool
 * @service: the service of the pool, interned
 * @used: resources of its runs there
 * @group: index in a table of share.c plus one, while a band of the queue is ordered; 0 otherwise
 */
typedef struct
{
  const char *service;
  bts_resources_t used;
  guint group;
} bts_pool_usage_t;

/**
 * struct bts_account_t - usage of one tenant
 * @name: name of the tenant
 * @version: version of the tables that @cap and @weight are from
 * @weight: its share of the workers when all are full
 * @cap: the most that it may have running; 0 for no limit
 * @used: resources of its runs, from the start order until the run is known to be over
 * @pools: bts_pool_usage_t; the parts of @used in each pool
 * @lasting: part of @used that belongs to long-running tasks
 * @headroom: what urgent work uses and has needed of late
 * @next_preempt_us: no run is stopped for the quota of its urgent work before this time
 * @had_reserve: a part of the cap was kept for urgent work in the last complete pass
 * @assumed: resources of tasks that may be running on workers that haven't listed their runs
 * @assumed_fills: some of these are filling tasks, which take no room on their workers
 * @reserved: during a pass, what is kept for a stage ahead that has waited for quota for long
 * @asking: during a pass, resources of stages for which advice has been requested
 * @n_waiting: stages that wait for quota, in this pass
 * @was_waiting: stages that waited for quota in the last complete pass
 * @tokens: submissions that it may make at @tokens_ms without being in excess, in millionths
 * @tokens_ms: time of its newest submission, by the records; 0 if there was none
 */
struct bts_account_t
{
  char *name;
  gint64 version;
  double weight;
  bts_resources_t cap;
  bts_resources_t used;
  GPtrArray *pools;
  bts_resources_t lasting;
  bts_headroom_t headroom;
  gint64 next_preempt_us;
  gboolean had_reserve;
  bts_resources_t assumed;
  gboolean assumed_fills;
  bts_resources_t reserved;
  bts_resources_t asking;
  guint n_waiting;
  guint was_waiting;
  gint64 tokens;
  gint64 tokens_ms;
};

bts_usage_t *bts_usage_new (guint urgent_percent);
void bts_usage_free (bts_usage_t *usage);
bts_account_t *bts_usage_account (bts_usage_t *usage, const Bts__Policy *policy);
const bts_account_t *bts_usage_find (const bts_usage_t *usage, const char *tenant);
void bts_usage_set_tenants (bts_usage_t *usage, const bts_tenants_t *tenants, gint64 version);
gboolean bts_usage_set_known (bts_usage_t *usage, gboolean known);
bts_resources_t bts_usage_demand (const Bts__Step *step);

gboolean bts_usage_has_tenants (const bts_usage_t *usage);
bts_account_t *bts_usage_nobody (const bts_usage_t *usage);
bts_pool_usage_t *bts_usage_pool (bts_account_t *account, const char *service);
void bts_usage_charge (bts_account_t *account, const char *service, const bts_resources_t *demand,
                       bts_usage_kind_t kind);
void bts_usage_release (bts_account_t *account, const char *service, const bts_resources_t *demand,
                        bts_usage_kind_t kind);
void bts_usage_reset (bts_usage_t *usage);
void bts_usage_clear_assumed (bts_usage_t *usage);
void bts_usage_assume (bts_account_t *account, const Bts__Step *step, guint n_tasks);
void bts_usage_bound_assumed (bts_usage_t *usage, const bts_resources_t *most);

void bts_usage_begin_pass (bts_usage_t *usage, gint64 now_us);
void bts_usage_end_pass (bts_usage_t *usage);
guint bts_usage_count_startable (const bts_usage_t *usage, const bts_account_t *account,
                                 const Bts__Step *step, guint n_tasks, bts_usage_kind_t kind);
void bts_usage_want (bts_account_t *account, const Bts__Step *step, guint n_tasks);
void bts_usage_wait (bts_account_t *account, const Bts__Step *step, guint n_tasks,
                     gint64 waited_us);
gboolean bts_usage_may_ask (const bts_usage_t *usage, const bts_account_t *account,
                            const Bts__Step *step, guint n_tasks, bts_usage_kind_t kind);
void bts_usage_note_asked (bts_account_t *account, const Bts__Step *step, guint n_tasks);
gboolean bts_usage_ask_ahead (const bts_usage_t *usage, bts_account_t *account,
                              const Bts__Step *step, guint n_tasks);

guint bts_usage_count_in_reserve (const bts_usage_t *usage, const bts_account_t *account,
                                  const Bts__Step *step, guint n_tasks);
bts_resources_t bts_usage_shortage (const bts_account_t *account, const Bts__Step *step,
                                    guint n_tasks);

const Bts__Step *bts_usage_find_unfit (const Bts__Accepted *job);
gboolean bts_usage_is_unfit (const Bts__Accepted *job);
char *bts_usage_to_text (const bts_usage_t *usage);

#endif
