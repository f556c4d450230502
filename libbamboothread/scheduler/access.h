#ifndef BTS_ACCESS_H
#define BTS_ACCESS_H

#include "libbamboothread/scheduler/tables.h"

/*
 * Whether a caller's request may be handled: how fresh this process's tables are, and which tenant
 * the request's key belongs to.
 */

/**
 * struct bts_freshness_t - how fresh the tables of a process are
 * @max_age_us: longest time for which tables that weren't read to their end again are used where
 *   they contain tenants
 * @read_us: when the newest read was sent that has reached the end of the log since records were
 *   last skipped; 0 if none has
 * @reached_us: when the store last replied to a read of any log; 0 if it hasn't
 * @as_of_us: all versions that the store held at this time have been read; 0 if that isn't so yet
 *   in this lifetime
 * @n_skips: how often records were deleted before they could be read
 * @n_skips_covered: value of @n_skips when the read of the newest version was sent
 * @newest_missing: the newest version has to be read, since records were skipped
 * @newest_in_flight: it is being read
 */
typedef struct
{
  gint64 max_age_us;
  gint64 read_us;
  gint64 reached_us;
  gint64 as_of_us;
  guint n_skips;
  guint n_skips_covered;
  gboolean newest_missing;
  gboolean newest_in_flight;
} bts_freshness_t;

/**
 * enum bts_access_t - whether a request may be handled
 * @BTS_ACCESS_GRANTED: it may
 * @BTS_ACCESS_NOT_READY: the tables weren't read to their end yet
 * @BTS_ACCESS_STALE: the tables may be too old to say whether the key is valid, or which routes
 *   there are
 * @BTS_ACCESS_NO_ROUTE: there is no route for it
 * @BTS_ACCESS_UNAUTHORIZED: no tenant has the key, or there is none
 */
typedef enum
{
  BTS_ACCESS_GRANTED,
  BTS_ACCESS_NOT_READY,
  BTS_ACCESS_STALE,
  BTS_ACCESS_NO_ROUTE,
  BTS_ACCESS_UNAUTHORIZED,
} bts_access_t;

void bts_freshness_init (bts_freshness_t *freshness, guint max_age_ms);
void bts_freshness_on_read (bts_freshness_t *freshness, gboolean caught_up, gint64 sent_us);
void bts_freshness_on_reached (bts_freshness_t *freshness, gint64 now_us);
void bts_freshness_on_skipped (bts_freshness_t *freshness);
gboolean bts_freshness_begin_newest (bts_freshness_t *freshness);
void bts_freshness_on_newest (bts_freshness_t *freshness, gboolean complete);
gboolean bts_freshness_is_known (const bts_freshness_t *freshness);
gboolean bts_freshness_is_usable (const bts_freshness_t *freshness, const bts_tables_t *tables,
                                  gint64 now_us);
gint64 bts_freshness_age_ms (const bts_freshness_t *freshness, gint64 now_us);

bts_access_t bts_access_check (const bts_freshness_t *freshness, const bts_tables_t *tables,
                               const bts_route_t *route, const char *key, gint64 now_us,
                               const bts_tenant_t **tenant);

#endif
