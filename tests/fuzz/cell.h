#ifndef BT_FUZZ_CELL_H
#define BT_FUZZ_CELL_H

#include "standins/world.h"
#include "tests/fuzz/schedule.h"

/*
 * The small cell that the fuzzer drives: its tables, its work and its edits.
 */

bt_tables_t *cell_tables (const fuzz_schedule_t *schedule);
const char *cell_region_of (const char *data_centre);
bt_request_t *cell_request (const fuzz_action_t *action, gboolean *idempotent);
bt_edit_t *cell_edit (const bt_tables_t *first, const bt_tables_t *now, gint64 base,
                      const fuzz_action_t *action);
gboolean cell_host_stays (const bt_tables_t *first, const char *host);

#endif
