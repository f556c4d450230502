#ifndef BT_PROCESS_COUNTERS_H
#define BT_PROCESS_COUNTERS_H

#include <json-glib/json-glib.h>

/*
 * The names are the members of the JSON object of /v1/counters, so they must not
 * change. Those that don't explain themselves:
 *
 * answers_dropped_late: outcomes, query replies and start replies that nobody waits for any more
 * workers_rested: quarantines begun
 * starts_uncertain: starts whose reply was lost
 * attempts_imported: attempts that a worker reported and this owner did not know
 * leads_begun, leads_lost: how often this daemon became owner of its data centre's workers, and
 *   how often it ceased to be
 * probes_sent: heartbeats to random addresses of daemons, not tasks that probe workers
 * members_forgotten: daemons removed from the list of members after a long silence
 * own_pauses: gaps of at least heartbeat_us between two ticks of this daemon
 * records_void: records that had no effect, as a newer term had begun
 * log_expired: reads that failed because retention had deleted the records
 * tables_applied: changes to a newer version of the tables, from the log or a peer
 * tables_adopted: tables taken from a peer
 * entry_resent: requests sent again while an earlier send was unanswered
 * entry_moved: requests sent to another data centre after a refusal
 */
#define BT_COUNTERS(X)                                                                             \
  X (submitted)                                                                                    \
  X (answered_done)                                                                                \
  X (answered_not_run)                                                                             \
  X (answered_unknown)                                                                             \
  X (answered_failed)                                                                              \
  X (answered_accepted)                                                                            \
  X (answered_cancelled)                                                                           \
  X (answers_dropped_late)                                                                         \
  X (place_decisions)                                                                              \
  X (place_examined)                                                                               \
  X (stops_sent)                                                                                   \
  X (tasks_moved)                                                                                  \
  X (tasks_preempted)                                                                              \
  X (gangs_reserved)                                                                               \
  X (workers_rested)                                                                               \
  X (starts_sent)                                                                                  \
  X (starts_refused)                                                                               \
  X (starts_uncertain)                                                                             \
  X (attempts_lost)                                                                                \
  X (attempts_imported)                                                                            \
  X (leases_sent)                                                                                  \
  X (leases_granted)                                                                               \
  X (leases_refused)                                                                               \
  X (leases_failed)                                                                                \
  X (leads_begun)                                                                                  \
  X (leads_lost)                                                                                   \
  X (heartbeats_sent)                                                                              \
  X (heartbeats_received)                                                                          \
  X (probes_sent)                                                                                  \
  X (members_suspected)                                                                            \
  X (members_forgotten)                                                                            \
  X (own_pauses)                                                                                   \
  X (appends_sent)                                                                                 \
  X (appends_failed)                                                                               \
  X (records_appended)                                                                             \
  X (records_folded)                                                                               \
  X (records_duplicate)                                                                            \
  X (records_void)                                                                                 \
  X (records_rewritten)                                                                            \
  X (log_expired)                                                                                  \
  X (snapshots_appended)                                                                           \
  X (log_read_failures)                                                                            \
  X (tables_applied)                                                                               \
  X (tables_adopted)                                                                               \
  X (entry_resent)                                                                                 \
  X (entry_moved)                                                                                  \
  X (messages_malformed)

/**
 * struct bt_counters_t - counters of a daemon since its start
 */
typedef struct
{
#define BT_COUNTER_FIELD(name) guint64 name;
  BT_COUNTERS (BT_COUNTER_FIELD)
#undef BT_COUNTER_FIELD
} bt_counters_t;

JsonNode *bt_counters_to_json (const bt_counters_t *counters);

#endif
