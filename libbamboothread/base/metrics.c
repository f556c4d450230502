#include "libbamboothread/base/metrics.h"

#include <string.h>

/* Inclusive upper bounds of the buckets of all histograms. */
static const gint64 bounds_ms[] = { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000 };

#define N_BOUNDS G_N_ELEMENTS (bounds_ms)

typedef struct
{
  guint64 buckets[N_BOUNDS + 1];
  guint64 count;
  gint64 sum_ms;
} histogram_t;

static guint64 counters[BT_N_COUNTS];
static gint64 gauges[BT_N_GAUGES];
static histogram_t histograms[BT_N_HISTS];
/* Metrics of the tenants in the export format, or NULL. */
static char *tenants_text;

/**
 * struct series_t - name of a counter or gauge in the export format
 */
typedef struct
{
  const char *metric;
  const char *labels;
} series_t;

static const series_t counter_names[] = {
#define BT_METRICS_NAME(name, metric, labels) { metric, labels },
  BT_METRICS_COUNTERS (BT_METRICS_NAME)
#undef BT_METRICS_NAME
};

static const series_t gauge_names[] = {
#define BT_METRICS_NAME(name, metric, labels) { metric, labels },
  BT_METRICS_GAUGES (BT_METRICS_NAME)
#undef BT_METRICS_NAME
};

static const char *const histogram_names[] = {
#define BT_METRICS_NAME(name, metric) metric,
  BT_METRICS_HISTOGRAMS (BT_METRICS_NAME)
#undef BT_METRICS_NAME
};

/**
 * bt_metrics_count() - add 1 to a counter
 * @count: the counter
 */
void
bt_metrics_count (bt_count_t count)
{
  counters[count]++;
}

/**
 * bt_metrics_add() - add to a counter
 * @count: the counter
 * @by: the number to add
 */
void
bt_metrics_add (bt_count_t count, guint64 by)
{
  counters[count] += by;
}

/**
 * bt_metrics_get_count() - get the value of a counter
 * @count: the counter
 *
 * Return: its value since the process started.
 */
guint64
bt_metrics_get_count (bt_count_t count)
{
  return counters[count];
}

/**
 * bt_metrics_set() - set a gauge
 * @gauge: the gauge
 * @value: its new value
 */
void
bt_metrics_set (bt_gauge_t gauge, gint64 value)
{
  gauges[gauge] = value;
}

/**
 * bt_metrics_set_tenants() - set the metrics of the tenants
 * @text: the metrics in the Prometheus text format, of a bounded number of tenants, or NULL if
 *   there are none; ownership is taken
 */
void
bt_metrics_set_tenants (char *text)
{
  g_free (tenants_text);
  tenants_text = text;
}

/**
 * bt_metrics_observe() - add an observation to a histogram
 * @hist: the histogram
 * @ms: the observed time, in milliseconds
 */
void
bt_metrics_observe (bt_hist_t hist, gint64 ms)
{
  histogram_t *histogram = &histograms[hist];
  guint i = 0;
  while (i < N_BOUNDS && ms > bounds_ms[i])
    i++;
  histogram->buckets[i]++;
  histogram->count++;
  histogram->sum_ms += ms;
}

/* Begins the line of entry @i of @names, after the TYPE line of its metric if it is the first. */
static void
begin_line (GString *text, const series_t *names, guint i, const char *type)
{
  const char *metric = names[i].metric;
  const char *labels = names[i].labels;
  if (i == 0 || strcmp (metric, names[i - 1].metric) != 0)
    g_string_append_printf (text, "# TYPE bamboothread_%s %s\n", metric, type);
  g_string_append_printf (text, "bamboothread_%s%s%s%s", metric, *labels == '\0' ? "" : "{", labels,
                          *labels == '\0' ? "" : "}");
}

static void
write_counters (GString *text)
{
  for (guint i = 0; i < BT_N_COUNTS; i++)
    {
      begin_line (text, counter_names, i, "counter");
      g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", counters[i]);
    }
}

static void
write_gauges (GString *text)
{
  for (guint i = 0; i < BT_N_GAUGES; i++)
    {
      begin_line (text, gauge_names, i, "gauge");
      g_string_append_printf (text, " %" G_GINT64_FORMAT "\n", gauges[i]);
    }
}

static void
write_histogram (GString *text, const char *name, const histogram_t *histogram)
{
  guint64 cumulative = 0;
  g_string_append_printf (text, "# TYPE bamboothread_%s histogram\n", name);
  for (guint i = 0; i < N_BOUNDS; i++)
    {
      cumulative += histogram->buckets[i];
      g_string_append_printf (
          text, "bamboothread_%s_bucket{le=\"%" G_GINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n", name,
          bounds_ms[i], cumulative);
    }
  g_string_append_printf (text, "bamboothread_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name,
                          histogram->count);
  g_string_append_printf (text, "bamboothread_%s_sum %" G_GINT64_FORMAT "\n", name,
                          histogram->sum_ms);
  g_string_append_printf (text, "bamboothread_%s_count %" G_GUINT64_FORMAT "\n", name,
                          histogram->count);
}

/**
 * bt_metrics_to_text() - format all metrics in the Prometheus text format
 *
 * Return: a new string.
 */
char *
bt_metrics_to_text (void)
{
  GString *text = g_string_new (NULL);
  write_counters (text);
  write_gauges (text);
  for (guint i = 0; i < BT_N_HISTS; i++)
    write_histogram (text, histogram_names[i], &histograms[i]);
  if (tenants_text != NULL)
    g_string_append (text, tenants_text);
  return g_string_free (text, FALSE);
}
