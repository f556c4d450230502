#include "libbamboothread/scheduler/access.h"

/**
 * bts_freshness_init() - begin a lifetime in which no tables were read
 * @freshness: the state
 * @max_age_ms: longest time for which tables with tenants are used without another complete read
 */
void
bts_freshness_init (bts_freshness_t *freshness, guint max_age_ms)
{
  const bts_freshness_t none = { 0 };
  *freshness = none;
  freshness->max_age_us = (gint64)max_age_ms * 1000;
}

/* Versions among skipped records are covered by the newest one. */
static void
update_as_of (bts_freshness_t *freshness)
{
  if (!freshness->newest_missing)
    freshness->as_of_us = MAX (freshness->as_of_us, freshness->read_us);
}

/**
 * bts_freshness_on_read() - a read of the tables' log has completed
 * @freshness: the state
 * @caught_up: whether it has reached the end of the log
 * @sent_us: when it was sent; the store may have replied at any time since
 */
void
bts_freshness_on_read (bts_freshness_t *freshness, gboolean caught_up, gint64 sent_us)
{
  if (!caught_up)
    return;
  freshness->read_us = sent_us;
  update_as_of (freshness);
}

/**
 * bts_freshness_on_reached() - the store has replied to a read of any log
 * @freshness: the state
 * @now_us: current time
 */
void
bts_freshness_on_reached (bts_freshness_t *freshness, gint64 now_us)
{
  freshness->reached_us = now_us;
}

/**
 * bts_freshness_on_skipped() - records were deleted before they could be read
 * @freshness: the state
 *
 * The newest version may be among them. Until it is read, the tables get older.
 */
void
bts_freshness_on_skipped (bts_freshness_t *freshness)
{
  freshness->n_skips++;
  freshness->newest_missing = TRUE;
  freshness->read_us = 0;
}

/**
 * bts_freshness_begin_newest() - begin to read the newest version, if that is due
 * @freshness: the state
 *
 * Return: whether it is to be read now; bts_freshness_on_newest() reports the result.
 */
gboolean
bts_freshness_begin_newest (bts_freshness_t *freshness)
{
  if (!freshness->newest_missing || freshness->newest_in_flight)
    return FALSE;
  freshness->newest_in_flight = TRUE;
  freshness->n_skips_covered = freshness->n_skips;
  return TRUE;
}

/**
 * bts_freshness_on_newest() - a read of the newest version has ended
 * @freshness: the state
 * @complete: whether it has succeeded
 *
 * If it has failed, or records were skipped meanwhile, bts_freshness_begin_newest() asks for
 * another one.
 */
void
bts_freshness_on_newest (bts_freshness_t *freshness, gboolean complete)
{
  freshness->newest_in_flight = FALSE;
  freshness->newest_missing = !complete || freshness->n_skips_covered != freshness->n_skips;
  update_as_of (freshness);
}

/**
 * bts_freshness_is_known() - whether the tables were read to their end in this lifetime
 * @freshness: the state
 */
gboolean
bts_freshness_is_known (const bts_freshness_t *freshness)
{
  return freshness->as_of_us != 0;
}

static gboolean
is_old (const bts_freshness_t *freshness, gint64 now_us)
{
  return now_us - freshness->as_of_us > freshness->max_age_us;
}

/* A process that can't reach the store goes on with the tables that it has. One that has reached it
   since they were old, and hasn't read them, lags behind the rest of the site. */
static gboolean
is_outdated (const bts_freshness_t *freshness, gint64 now_us)
{
  return is_old (freshness, now_us) && is_old (freshness, freshness->reached_us);
}

/**
 * bts_freshness_is_usable() - whether the tables are fresh enough for all requests
 * @freshness: the state
 * @tables: the newest tables; NULL if there are none
 * @now_us: current time
 *
 * Without tenants, no request needs a key, and the age of the tables matters only while the store
 * can be reached.
 */
gboolean
bts_freshness_is_usable (const bts_freshness_t *freshness, const bts_tables_t *tables,
                         gint64 now_us)
{
  if (tables == NULL || !bts_freshness_is_known (freshness) || is_outdated (freshness, now_us))
    return FALSE;
  return bts_tenants_count (tables->tenants) == 0 || !is_old (freshness, now_us);
}

/**
 * bts_freshness_age_ms() - age of the tables
 * @freshness: the state
 * @now_us: current time
 *
 * Return: time since the store held no later version than those that were read, in milliseconds;
 * negative if the tables weren't read to their end in this lifetime.
 */
gint64
bts_freshness_age_ms (const bts_freshness_t *freshness, gint64 now_us)
{
  return bts_freshness_is_known (freshness) ? (now_us - freshness->as_of_us) / 1000 : -1;
}

/**
 * bts_access_check() - decide whether a request may be handled
 * @freshness: how fresh the tables are
 * @tables: the newest tables; NULL if there are none
 * @route: the route of the request; NULL if the tables have none for it
 * @key: the key that it carries; NULL if none
 * @now_us: current time
 * @tenant: set to the tenant that has the key; NULL if the request needs none
 */
bts_access_t
bts_access_check (const bts_freshness_t *freshness, const bts_tables_t *tables,
                  const bts_route_t *route, const char *key, gint64 now_us,
                  const bts_tenant_t **tenant)
{
  *tenant = NULL;
  if (tables == NULL || !bts_freshness_is_known (freshness))
    return BTS_ACCESS_NOT_READY;
  if (is_outdated (freshness, now_us) || (route == NULL && is_old (freshness, now_us)))
    return BTS_ACCESS_STALE;
  if (route == NULL)
    return BTS_ACCESS_NO_ROUTE;
  if (route->is_public || bts_tenants_count (tables->tenants) == 0)
    return BTS_ACCESS_GRANTED;
  if (!bts_freshness_is_usable (freshness, tables, now_us))
    return BTS_ACCESS_STALE;
  *tenant = bts_tenants_find_by_key (tables->tenants, key);
  return *tenant == NULL ? BTS_ACCESS_UNAUTHORIZED : BTS_ACCESS_GRANTED;
}
