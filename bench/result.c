#include "bench/result.h"

#include <math.h>
#include <string.h>

#include "libbamboothread/base/clock.h"

#define PLOT_WIDTH 760
#define PLOT_HEIGHT 360
#define PLOT_MARGIN 60
/* Range of the logarithmic axis of waits, as powers of ten of a millisecond. */
#define WAIT_DECADES 6

/**
 * bench_result_new() - an empty result
 * @workload: of what work; outlives the result
 * @policy: name of the policy
 * @scenario: the scenario
 *
 * Return: a result for bench_result_free().
 */
bench_result_t *
bench_result_new (const bench_workload_t *workload, const char *policy, bench_scenario_t scenario)
{
  bench_result_t *result = g_new0 (bench_result_t, 1);
  result->workload = workload->name;
  result->policy = policy;
  result->scenario = scenario;
  result->usual_by_team = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  result->least_kept = 1;
  return result;
}

/**
 * bench_result_free() - free a result
 * @data: the result
 */
void
bench_result_free (gpointer data)
{
  bench_result_t *result = data;
  g_hash_table_unref (result->usual_by_team);
  g_free (result->least_kept_of);
  g_free (result);
}

/**
 * bench_dominant_share() - the largest part in use of any processor, memory or accelerator
 * @used: what is in use
 * @capacity: of how much
 *
 * Return: a part from 0 to 1.
 */
double
bench_dominant_share (const bt_resources_t *used, const bt_resources_t *capacity)
{
  double most = 0;
  for (int i = 0; i <= BT_RESOURCE_GPUS; i++)
    if (capacity->v[i] > 0)
      most = MAX (most, (double)used->v[i] / (double)capacity->v[i]);
  return most;
}

/**
 * bench_result_sample() - note how full the VMs are now
 * @result: the result
 * @sum_share: sum of the dominant shares in use
 * @n_in_use: VMs of which anything is in use
 */
void
bench_result_sample (bench_result_t *result, double sum_share, guint n_in_use)
{
  if (n_in_use == 0)
    return;
  result->sum_packing += sum_share / n_in_use;
  result->n_packing++;
}

static gint
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;
  return left < right ? -1 : left > right;
}

static double
quantile_ms (const GArray *waits, double part)
{
  if (waits->len == 0)
    return 0;
  guint index = MIN (waits->len - 1, (guint)(part * waits->len));
  return (double)g_array_index (waits, gint64, index) / BT_USEC_PER_MSEC;
}

static void
count_arrival (bench_result_t *result, const bt_route_t *route, const bench_arrival_t *arrival,
               const bench_fate_t *fate)
{
  bench_class_t *sums = &result->classes[route->work_class];
  sums->offered += (guint64)arrival->stream->tasks;
  sums->started += fate->started;
  sums->refused += fate->refused ? (guint64)arrival->stream->tasks : 0;
  if (arrival->stream->flood != 0)
    return;
  char *key = g_strdup_printf ("%s %s", route->team, bt_class_names[route->work_class]);
  guint before = GPOINTER_TO_UINT (g_hash_table_lookup (result->usual_by_team, key));
  g_hash_table_replace (result->usual_by_team, key, GUINT_TO_POINTER (before + fate->started));
}

/**
 * bench_result_fill() - work out the figures
 * @result: the result
 * @tables: the tables, for the routes
 * @arrivals: what arrived
 * @fates: what became of each
 */
void
bench_result_fill (bench_result_t *result, const bt_tables_t *tables, const GArray *arrivals,
                   const bench_fate_t *fates)
{
  GArray *waits[BT_N_CLASSES];
  GArray *usual[BT_N_CLASSES];
  for (guint i = 0; i < BT_N_CLASSES; i++)
    {
      waits[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
      usual[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  for (guint i = 0; i < arrivals->len; i++)
    {
      const bench_arrival_t *arrival = &g_array_index (arrivals, bench_arrival_t, i);
      bt_request_t *request = bench_arrival_request (arrival, i);
      const bt_route_t *route = bt_tables_match_route (tables, request->caller, request->work);
      if (route != NULL)
        {
          count_arrival (result, route, arrival, &fates[i]);
          gboolean whole = fates[i].started == (guint)arrival->stream->tasks;
          if (whole)
            g_array_append_val (waits[route->work_class], fates[i].last_wait_us);
          if (whole && arrival->stream->flood == 0)
            g_array_append_val (usual[route->work_class], fates[i].last_wait_us);
        }
      bt_schema_free (&bt_request_schema, request);
    }
  for (guint i = 0; i < BT_N_CLASSES; i++)
    {
      g_array_sort (waits[i], compare_int64);
      result->classes[i].p50_ms = quantile_ms (waits[i], 0.5);
      result->classes[i].p99_ms = quantile_ms (waits[i], 0.99);
      result->classes[i].max_ms = quantile_ms (waits[i], 1);
      g_array_sort (usual[i], compare_int64);
      result->classes[i].usual_p99_ms = quantile_ms (usual[i], 0.99);
      result->classes[i].usual_max_ms = quantile_ms (usual[i], 1);
      result->classes[i].kept = 1;
      g_array_free (waits[i], TRUE);
      g_array_free (usual[i], TRUE);
    }
  result->packing = result->n_packing > 0 ? result->sum_packing / result->n_packing : 0;
}

/**
 * bench_result_compare() - work out what usual work kept in a flood
 * @result: the result of a flood
 * @calm: the same policy without
 */
void
bench_result_compare (bench_result_t *result, const bench_result_t *calm)
{
  double usual[BT_N_CLASSES] = { 0 };
  double kept[BT_N_CLASSES] = { 0 };
  GHashTableIter iter;
  const char *key;
  gpointer value;
  g_hash_table_iter_init (&iter, calm->usual_by_team);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, &value))
    {
      guint before = GPOINTER_TO_UINT (value);
      guint after = GPOINTER_TO_UINT (g_hash_table_lookup (result->usual_by_team, key));
      const char *name = strrchr (key, ' ') + 1;
      for (guint i = 0; i < BT_N_CLASSES; i++)
        if (strcmp (name, bt_class_names[i]) == 0)
          {
            usual[i] += before;
            kept[i] += MIN (after, before);
          }
      double part = before > 0 ? MIN (1, (double)after / before) : 1;
      if (part >= result->least_kept)
        continue;
      result->least_kept = part;
      g_free (result->least_kept_of);
      result->least_kept_of = g_strdup (key);
    }
  for (guint i = 0; i < BT_N_CLASSES; i++)
    result->classes[i].kept = usual[i] > 0 ? kept[i] / usual[i] : 1;
}

static JsonNode *
class_node (const bench_class_t *sums)
{
  JsonObject *json = json_object_new ();
  json_object_set_int_member (json, "offered", (gint64)sums->offered);
  json_object_set_int_member (json, "started", (gint64)sums->started);
  json_object_set_int_member (json, "refused", (gint64)sums->refused);
  json_object_set_double_member (json, "p50_ms", sums->p50_ms);
  json_object_set_double_member (json, "p99_ms", sums->p99_ms);
  json_object_set_double_member (json, "max_ms", sums->max_ms);
  json_object_set_double_member (json, "usual_p99_ms", sums->usual_p99_ms);
  json_object_set_double_member (json, "usual_max_ms", sums->usual_max_ms);
  json_object_set_double_member (json, "kept", sums->kept);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}

/**
 * bench_write_json() - write all results
 * @results: bench_result_t
 * @file: where
 * @error: why not
 *
 * Return: whether it was written.
 */
gboolean
bench_write_json (const GPtrArray *results, const char *file, GError **error)
{
  JsonArray *array = json_array_new ();
  for (guint i = 0; i < results->len; i++)
    {
      const bench_result_t *result = results->pdata[i];
      JsonObject *json = json_object_new ();
      json_object_set_string_member (json, "workload", result->workload);
      json_object_set_string_member (json, "policy", result->policy);
      json_object_set_string_member (json, "scenario", bench_scenario_names[result->scenario]);
      json_object_set_double_member (json, "packing", result->packing);
      json_object_set_double_member (json, "cpu_s", result->cpu_s);
      json_object_set_double_member (json, "least_kept", result->least_kept);
      if (result->least_kept_of != NULL)
        json_object_set_string_member (json, "least_kept_of", result->least_kept_of);
      for (guint k = 0; k < BT_N_CLASSES; k++)
        json_object_set_member (json, bt_class_names[k], class_node (&result->classes[k]));
      json_array_add_object_element (array, json);
    }
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  g_autoptr (GBytes) bytes = bt_json_to_bytes (node, TRUE);
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);
  return g_file_set_contents (file, data, (gssize)len, error);
}

/**
 * bench_write_csv() - write all results, a line for each class
 * @results: bench_result_t
 * @file: where
 * @error: why not
 *
 * Return: whether it was written.
 */
gboolean
bench_write_csv (const GPtrArray *results, const char *file, GError **error)
{
  g_autoptr (GString) text
      = g_string_new ("workload,policy,scenario,class,offered,started,refused,p50_ms,p99_ms,"
                      "max_ms,usual_p99_ms,usual_max_ms,kept,packing\n");
  for (guint i = 0; i < results->len; i++)
    {
      const bench_result_t *result = results->pdata[i];
      for (guint k = 0; k < BT_N_CLASSES; k++)
        {
          const bench_class_t *sums = &result->classes[k];
          g_string_append_printf (text, "%s,%s,%s,%s,", result->workload, result->policy,
                                  bench_scenario_names[result->scenario], bt_class_names[k]);
          g_string_append_printf (text, "%d,%d,%d,%.1f,%.1f,%.1f,", (int)sums->offered,
                                  (int)sums->started, (int)sums->refused, sums->p50_ms,
                                  sums->p99_ms, sums->max_ms);
          g_string_append_printf (text, "%.1f,%.1f,%.4f,%.4f\n", sums->usual_p99_ms,
                                  sums->usual_max_ms, sums->kept, result->packing);
        }
    }
  return g_file_set_contents (file, text->str, (gssize)text->len, error);
}

static GString *
plot_new (const char *title)
{
  GString *svg = g_string_new (NULL);
  g_string_append_printf (svg,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\" font-size=\"11\">\n"
                          "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
                          "<text x=\"%d\" y=\"20\" font-size=\"14\">%s</text>\n",
                          PLOT_WIDTH, PLOT_HEIGHT, PLOT_MARGIN, title);
  return svg;
}

static void
plot_text (GString *svg, double x, double y, const char *anchor, const char *text)
{
  g_string_append_printf (svg, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
                          anchor, text);
}

static double
wait_height (double ms)
{
  double height = PLOT_HEIGHT - 2 * PLOT_MARGIN;
  return MIN (1, MAX (0, log10 (MAX (ms, 1)) / WAIT_DECADES)) * height;
}

static void
plot_wait_axis (GString *svg)
{
  for (int decade = 0; decade <= WAIT_DECADES; decade++)
    {
      double y = PLOT_HEIGHT - PLOT_MARGIN - wait_height (pow (10, decade));
      g_autofree char *label = g_strdup_printf ("%.0f ms", pow (10, decade));
      plot_text (svg, PLOT_MARGIN - 4, y + 4, "end", label);
      g_string_append_printf (svg,
                              "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
                              "stroke=\"#ddd\"/>\n",
                              PLOT_MARGIN, PLOT_WIDTH - 10, y, y);
    }
}

/**
 * bench_plot_waits() - draw the p99 wait of usual urgent work by scenario and policy
 * @results: bench_result_t
 * @workload: whose
 * @file: SVG to write
 * @error: why not
 *
 * Return: whether it was written.
 */
gboolean
bench_plot_waits (const GPtrArray *results, const char *workload, const char *file, GError **error)
{
  static const char *const colours[] = { "#4477aa", "#ee6677", "#228833", "#ccbb44", "#aa3377" };
  g_autofree char *title
      = g_strdup_printf ("%s: p99 wait of usual urgent work, without the flood itself", workload);
  g_autoptr (GString) svg = plot_new (title);
  plot_wait_axis (svg);
  guint bars[BENCH_N_SCENARIOS] = { 0 };
  double group = (PLOT_WIDTH - PLOT_MARGIN - 20) / (double)BENCH_N_SCENARIOS;
  double width = group / (G_N_ELEMENTS (colours) + 1);
  for (guint i = 0; i < results->len; i++)
    {
      const bench_result_t *result = results->pdata[i];
      if (strcmp (result->workload, workload) != 0)
        continue;
      guint bar = bars[result->scenario]++;
      double x = PLOT_MARGIN + 10 + group * result->scenario + width * bar;
      double height = wait_height (result->classes[BT_CLASS_URGENT].usual_p99_ms);
      g_string_append_printf (
          svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n", x,
          PLOT_HEIGHT - PLOT_MARGIN - height, width - 2, MAX (height, 1),
          colours[bar % G_N_ELEMENTS (colours)]);
      if (bar == 0)
        plot_text (svg, PLOT_MARGIN + 10 + group * (result->scenario + 0.4),
                   PLOT_HEIGHT - PLOT_MARGIN + 16, "middle",
                   bench_scenario_names[result->scenario]);
      if (result->scenario != BENCH_CALM)
        continue;
      double legend = PLOT_MARGIN + 135 * bar;
      g_string_append_printf (
          svg, "<rect x=\"%.1f\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>\n", legend,
          PLOT_HEIGHT - 24, colours[bar % G_N_ELEMENTS (colours)]);
      plot_text (svg, legend + 14, PLOT_HEIGHT - 15, "start", result->policy);
    }
  g_string_append (svg, "</svg>\n");
  return g_file_set_contents (file, svg->str, (gssize)svg->len, error);
}

/**
 * bench_plot_line() - draw one figure over another, from zero on
 * @title: above it
 * @x_name: name of the first figure
 * @y_name: name of the second
 * @x: values of the first, ascending
 * @y: values of the second
 * @n: how many
 * @file: SVG to write
 * @error: why not
 *
 * Return: whether it was written.
 */
gboolean
bench_plot_line (const char *title, const char *x_name, const char *y_name, const double *x,
                 const double *y, guint n, const char *file, GError **error)
{
  g_autoptr (GString) svg = plot_new (title);
  double most = 0;
  for (guint i = 0; i < n; i++)
    most = MAX (most, y[i]);
  g_string_append (svg, "<polyline fill=\"none\" stroke=\"#4477aa\" points=\"");
  double wide = PLOT_WIDTH - 2 * PLOT_MARGIN;
  double high = PLOT_HEIGHT - 2 * PLOT_MARGIN;
  for (guint i = 0; i < n; i++)
    g_string_append_printf (svg, "%.1f,%.1f ", PLOT_MARGIN + wide * x[i] / x[n - 1],
                            PLOT_HEIGHT - PLOT_MARGIN - high * y[i] / most);
  g_string_append (svg, "\"/>\n");
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *label = g_strdup_printf ("%.0f: %.1f", x[i], y[i]);
      plot_text (svg, PLOT_MARGIN + wide * x[i] / x[n - 1],
                 PLOT_HEIGHT - PLOT_MARGIN - high * y[i] / most - 6, "middle", label);
    }
  g_string_append_printf (svg, "<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"black\"/>\n",
                          PLOT_MARGIN, PLOT_MARGIN, PLOT_HEIGHT - PLOT_MARGIN,
                          PLOT_WIDTH - PLOT_MARGIN);
  plot_text (svg, PLOT_WIDTH / 2.0, PLOT_HEIGHT - 20, "middle", x_name);
  plot_text (svg, PLOT_MARGIN, PLOT_MARGIN - 12, "middle", y_name);
  g_string_append (svg, "</svg>\n");
  return g_file_set_contents (file, svg->str, (gssize)svg->len, error);
}
