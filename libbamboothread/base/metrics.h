#ifndef BT_BASE_METRICS_H
#define BT_BASE_METRICS_H

#include <glib.h>

/*
 * Counters, gauges and latency histograms of this process, exported in the
 * Prometheus text format. Names and labels are fixed at compile time, which bounds
 * the number of time series and their memory. The metrics of tenants are an exception: whoever sets
 * them bounds their number.
 */

/* Entries: enumerator suffix, metric name, labels. Entries of one metric must be
   adjacent, since its TYPE line is written before the first of them. */
#define BT_METRICS_COUNTERS(X)                                                                     \
  X (SUBMIT_OK, "submissions_total", "answer=\"ok\"")                                              \
  X (SUBMIT_UNAVAILABLE, "submissions_total", "answer=\"away\"")                                   \
  X (SUBMIT_UNKNOWN, "submissions_total", "answer=\"unknown\"")                                    \
  X (SUBMIT_MALFORMED, "submissions_total", "answer=\"malformed\"")                                \
  X (SUBMIT_OVER_CAP, "submissions_total", "answer=\"over-cap\"")                                  \
  X (SUBMIT_NO_MEMORY, "submissions_total", "answer=\"no-memory\"")                                \
  X (CANCEL_OK, "cancellations_total", "answer=\"ok\"")                                            \
  X (CANCEL_OTHER, "cancellations_total", "answer=\"other\"")                                      \
  X (QUERY, "queries_total", "")                                                                   \
  X (NO_ROUTE, "requests_without_route_total", "")                                                 \
  X (UNAUTHORIZED, "requests_unauthorized_total", "")                                              \
  X (TABLES_STALE, "requests_with_stale_tables_total", "")                                         \
  X (JOBS_BARRED, "submissions_barred_total", "")                                                  \
  X (JOB_COMPLETED, "jobs_over_total", "state=\"completed\"")                                      \
  X (JOB_FAILED, "jobs_over_total", "state=\"failed\"")                                            \
  X (JOB_CANCELLED, "jobs_over_total", "state=\"cancelled\"")                                      \
  X (JOB_LATE, "jobs_late_total", "")                                                              \
  X (JOBS_EXCESS, "jobs_in_excess_total", "")                                                      \
  X (START_ORDERS, "start_orders_total", "")                                                       \
  X (STARTS, "starts_total", "")                                                                   \
  X (STARTS_REPEATED, "starts_repeated_total", "")                                                 \
  X (STARTS_REFUSED, "starts_refused_total", "")                                                   \
  X (STARTS_WITHDRAWN, "starts_withdrawn_total", "")                                               \
  X (STOP_ORDERS, "stop_orders_total", "")                                                         \
  X (STOPS, "stops_total", "")                                                                     \
  X (STOPS_UNANSWERED, "stops_unanswered_total", "")                                               \
  X (PREEMPTED, "runs_preempted_total", "")                                                        \
  X (EVACUATED, "runs_evacuated_total", "")                                                        \
  X (RESERVATIONS_UNUSED, "reservations_unused_total", "")                                         \
  X (RUNS_LOST, "runs_lost_total", "")                                                             \
  X (TASK_CRASHES, "task_crashes_total", "")                                                       \
  X (WORKERS_ON_PROBATION, "workers_on_probation_total", "")                                       \
  X (UNKNOWN_RUNS_LISTED, "runs_found_total", "")                                                  \
  X (ENDS_DONE, "ends_total", "how=\"done\"")                                                      \
  X (ENDS_FAILED, "ends_total", "how=\"failed\"")                                                  \
  X (ENDS_OTHER, "ends_total", "how=\"other\"")                                                    \
  X (HOLD_ORDERS_SENT, "holds_total", "")                                                          \
  X (HOLD_ORDERS_PAUSED, "hold_orders_paused_total", "")                                           \
  X (HOLD_ORDERS_FAILED, "holds_failed_total", "")                                                 \
  X (ADVICE_CANDIDATES, "advice_candidates_total", "")                                             \
  X (CANDIDATES, "placement_candidates_total", "")                                                 \
  X (PLACED_APART, "placements_interfering_total", "outcome=\"apart\"")                            \
  X (PLACED_BESIDE, "placements_interfering_total", "outcome=\"beside\"")                          \
  X (ADVICE_ANSWERED, "advice_questions_total", "")                                                \
  X (ADVICE_REQUESTS_FAILED, "advice_questions_failed_total", "")                                  \
  X (ADVICE_OVERDUE, "advice_questions_overdue_total", "")                                         \
  X (ADVICE_TRANSFERRED, "advice_answers_transferred_total", "")                                   \
  X (ADVICE_YIELDED, "advice_questions_yielded_total", "")                                         \
  X (APPEND_STORED, "store_appends_total", "outcome=\"stored\"")                                   \
  X (APPEND_REFUSED, "store_appends_total", "outcome=\"refused\"")                                 \
  X (APPEND_UNKNOWN, "store_appends_total", "outcome=\"unknown\"")                                 \
  X (SNAPSHOTS, "job_snapshots_total", "attempt=\"first\"")                                        \
  X (SNAPSHOTS_REPEATED, "job_snapshots_total", "attempt=\"repeated\"")                            \
  X (RECORDS_TOO_LARGE, "records_too_large_total", "")                                             \
  X (RECORDS, "journal_records_total", "")                                                         \
  X (STORE_READ_BYTES, "store_read_bytes_total", "")                                               \
  X (RELAYED_BYTES, "journal_relayed_bytes_total", "")                                             \
  X (RELAY_READS_FAILED, "journal_relay_reads_failed_total", "")                                   \
  X (READS_FAILED, "journal_reads_failed_total", "")                                               \
  X (TABLES_READS_FAILED, "tables_reads_failed_total", "")                                         \
  X (CLAIMS, "claims_total", "")                                                                   \
  X (DEPOSED, "deposed_total", "")                                                                 \
  X (LOG_DROPPED, "log_lines_dropped_total", "")                                                   \
  X (CLIENT_MEMORY, "clients_refused_total", "cause=\"memory\"")                                   \
  X (CLIENT_CONNECTIONS, "clients_refused_total", "cause=\"connections\"")                         \
  X (CLIENT_HEADER_SIZE, "clients_refused_total", "cause=\"header-size\"")                         \
  X (CLIENT_BODY_SIZE, "clients_refused_total", "cause=\"body-size\"")                             \
  X (CLIENT_HEADER_TIMEOUT, "clients_refused_total", "cause=\"header-timeout\"")                   \
  X (CLIENT_BODY_TIMEOUT, "clients_refused_total", "cause=\"body-timeout\"")                       \
  X (CLIENT_RESPONSE_TIMEOUT, "clients_refused_total", "cause=\"response-timeout\"")               \
  X (CLIENT_MALFORMED, "clients_refused_total", "cause=\"malformed\"")                             \
  X (CLIENT_PAUSES, "client_pauses_total", "")

#define BT_METRICS_GAUGES(X)                                                                       \
  X (TERM, "term", "")                                                                             \
  X (LEADING, "leading", "")                                                                       \
  X (JOBS, "jobs", "")                                                                             \
  X (JOB_BYTES, "job_bytes", "")                                                                   \
  X (JOB_BYTES_MAX, "job_bytes_max", "")                                                           \
  X (SNAPSHOT_AGE_MS, "job_snapshot_age_ms", "")                                                   \
  X (WAITING_STAGES, "waiting_stages", "")                                                         \
  X (WAITING_PAUSED, "long_waiting_stages", "cause=\"paused\"")                                    \
  X (WAITING_QUOTA, "long_waiting_stages", "cause=\"quota\"")                                      \
  X (WAITING_ADVICE_QUOTA, "long_waiting_stages", "cause=\"advice-quota\"")                        \
  X (WAITING_LEASES, "long_waiting_stages", "cause=\"leases\"")                                    \
  X (WAITING_CRASH, "long_waiting_stages", "cause=\"crash\"")                                      \
  X (WAITING_GANG, "long_waiting_stages", "cause=\"gang\"")                                        \
  X (WAITING_BACKOFF, "long_waiting_stages", "cause=\"backoff\"")                                  \
  X (WAITING_ADVICE_CALL, "long_waiting_stages", "cause=\"advice-call\"")                          \
  X (WAITING_ADVICE_QUEUED, "long_waiting_stages", "cause=\"advice-queued\"")                      \
  X (WAITING_SPEC, "long_waiting_stages", "cause=\"spec\"")                                        \
  X (WAITING_TICKET, "long_waiting_stages", "cause=\"ticket\"")                                    \
  X (WAITING_ROOM, "long_waiting_stages", "cause=\"room\"")                                        \
  X (WAITING_SLOT, "long_waiting_stages", "cause=\"slot\"")                                        \
  X (WAITING_TURN, "long_waiting_stages", "cause=\"turn\"")                                        \
  X (LONGEST_WAIT_MS, "longest_wait_ms", "")                                                       \
  X (OCCURRENCES_WAITING, "occurrences_waiting", "")                                               \
  X (RUNS, "runs", "")                                                                             \
  X (ORDERS_WAITING, "orders", "state=\"waiting\"")                                                \
  X (ORDERS_ON_WAY, "orders", "state=\"on-way\"")                                                  \
  X (WORKERS, "workers", "")                                                                       \
  X (WORKERS_SILENT, "workers_silent", "")                                                         \
  X (WORKERS_FAST, "workers_fast", "")                                                             \
  X (LOG_SLOW, "log_slow", "")                                                                     \
  X (INTERFERING_PAIRS, "interfering_pairs", "")                                                   \
  X (TABLES_VERSION, "tables_version", "")                                                         \
  X (TABLES_AGE_MS, "tables_age_ms", "")                                                           \
  X (RELAY_BUFFER_BYTES, "journal_relay_buffer_bytes", "")                                         \
  X (JOURNAL_AGE_MS, "journal_age_ms", "")                                                         \
  X (CLIENT_CONNECTIONS, "client_connections", "")                                                 \
  X (CLIENT_HELD_BYTES, "client_held_bytes", "")

#define BT_METRICS_HISTOGRAMS(X)                                                                   \
  X (APPEND_MS, "store_append_ms")                                                                 \
  X (ACCEPT_MS, "accept_ms")                                                                       \
  X (FIRST_START_MS, "first_start_ms")                                                             \
  X (JOB_MS, "job_ms")                                                                             \
  X (ADVICE_MS, "advice_ms")                                                                       \
  X (ORDER_QUEUE_MS, "start_order_queue_ms")                                                       \
  X (READ_BEGIN_MS, "store_read_begin_ms")                                                         \
  X (MESSAGE_NEAR_MS, "message_own_region_ms")                                                     \
  X (MESSAGE_FAR_MS, "message_other_region_ms")

/**
 * enum bt_count_t - counters
 */
typedef enum
{
#define BT_METRICS_ENUM(name, metric, labels) BT_COUNT_##name,
  BT_METRICS_COUNTERS (BT_METRICS_ENUM)
#undef BT_METRICS_ENUM
      BT_N_COUNTS,
} bt_count_t;

/**
 * enum bt_gauge_t - gauges
 */
typedef enum
{
#define BT_METRICS_ENUM(name, metric, labels) BT_GAUGE_##name,
  BT_METRICS_GAUGES (BT_METRICS_ENUM)
#undef BT_METRICS_ENUM
      BT_N_GAUGES,
} bt_gauge_t;

/**
 * enum bt_hist_t - histograms of times in milliseconds
 */
typedef enum
{
#define BT_METRICS_ENUM(name, metric) BT_HIST_##name,
  BT_METRICS_HISTOGRAMS (BT_METRICS_ENUM)
#undef BT_METRICS_ENUM
      BT_N_HISTS,
} bt_hist_t;

void bt_metrics_count (bt_count_t count);
void bt_metrics_add (bt_count_t count, guint64 by);
void bt_metrics_set (bt_gauge_t gauge, gint64 value);
void bt_metrics_set_tenants (char *text);
void bt_metrics_observe (bt_hist_t hist, gint64 ms);
guint64 bt_metrics_get_count (bt_count_t count);
char *bt_metrics_to_text (void);

#endif
