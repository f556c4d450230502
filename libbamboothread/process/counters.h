#ifndef BT_PROCESS_COUNTERS_H
#define BT_PROCESS_COUNTERS_H

#include <json-glib/json-glib.h>

/* The names are the members of the JSON object of /v1/counters, so they must not change. */
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
