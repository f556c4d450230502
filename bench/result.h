#ifndef BT_BENCH_RESULT_H
#define BT_BENCH_RESULT_H

#include "bench/workload.h"

/*
 * What one policy made of one scenario, and how it is written.
 */

/**
 * struct bench_fate_t - what became of an arrival
 * @started: tasks that have started
 * @last_wait_us: wait of the task that started last
 */
typedef struct
{
  guint started;
  gboolean refused;
  gint64 last_wait_us;
} bench_fate_t;

/**
 * struct bench_class_t - figures of a class
 * @usual_p99_ms: wait of usual work, without the floods
 * @usual_max_ms: the longest such wait
 * @kept: tasks started of usual work, against the calm scenario, from 0 to 1
 */
typedef struct
{
  guint64 offered;
  guint64 started;
  guint64 refused;
  double p50_ms;
  double p99_ms;
  double max_ms;
  double usual_p99_ms;
  double usual_max_ms;
  double kept;
} bench_class_t;

/**
 * struct bench_result_t - figures of a policy in a scenario
 * @usual_by_team: tasks of usual work that started, by team and class
 * @least_kept: least part that a team and class kept, and @least_kept_of names it
 * @packing: mean dominant share in use of the VMs that are in use
 * @cpu_s: processor time of the whole run, with the stand-ins
 */
typedef struct
{
  const char *workload;
  const char *policy;
  bench_scenario_t scenario;
  bench_class_t classes[BT_N_CLASSES];
  GHashTable *usual_by_team;
  double least_kept;
  char *least_kept_of;
  double packing;
  double cpu_s;
  double sum_packing;
  guint n_packing;
} bench_result_t;

bench_result_t *bench_result_new (const bench_workload_t *workload, const char *policy,
                                  bench_scenario_t scenario);
void bench_result_free (gpointer data);
void bench_result_sample (bench_result_t *result, double sum_share, guint n_in_use);
void bench_result_fill (bench_result_t *result, const bt_tables_t *tables, const GArray *arrivals,
                        const bench_fate_t *fates);
void bench_result_compare (bench_result_t *result, const bench_result_t *calm);
double bench_dominant_share (const bt_resources_t *used, const bt_resources_t *capacity);

gboolean bench_write_json (const GPtrArray *results, const char *file, GError **error);
gboolean bench_write_csv (const GPtrArray *results, const char *file, GError **error);
gboolean bench_plot_waits (const GPtrArray *results, const char *workload, const char *file,
                           GError **error);
gboolean bench_plot_line (const char *title, const char *x_name, const char *y_name,
                          const double *x, const double *y, guint n, const char *file,
                          GError **error);

#endif
