#ifndef BT_STANDINS_CELL_H
#define BT_STANDINS_CELL_H

#include "libbamboothread/version/tables.h"

/*
 * Tables of cells of any size, for tests and benchmarks.
 */

/* Workers in a rack of such a cell. */
#define BT_CELL_RACK 5
/* The pool that holds all workers of such a cell. */
#define BT_CELL_POOL "compile"

bt_tables_t *bt_cell_tables (guint data_centres, guint workers);
bt_tables_t *bt_cell_tables_range (guint data_centres, guint first, guint last);
const char *bt_cell_region (const char *data_centre);

#endif
