#ifndef BTS_QUOTA_H
#define BTS_QUOTA_H

#include "libbamboothread/scheduler/usage.h"

/*
 * Which part of its tenant's cap a stage may use.
 */

bts_usage_kind_t bts_quota_kind (const bts_stage_t *stage);

#endif
