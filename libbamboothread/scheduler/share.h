#ifndef BTS_SHARE_H
#define BTS_SHARE_H

#include "libbamboothread/scheduler/usage.h"

/*
 * Shares of tenants: which of their submissions are in excess of their weight, and whose work is
 * next where several tenants wait.
 */

typedef struct bts_share_t bts_share_t;

bts_share_t *bts_share_new (bts_usage_t *usage);
void bts_share_free (bts_share_t *share);
gboolean bts_share_is_excess (bts_account_t *account, Bts__Accepted *accepted);
gboolean bts_share_begin_pass (bts_share_t *share, const bts_fleet_t *fleet, gint64 now_us);
double bts_share_weighted (const bts_share_t *share, const bts_job_t *job);
void bts_share_order (bts_share_t *share, bts_stage_t **stages, guint n);

#endif
