#include "standins/cell.h"

/**
 * bt_cell_tables() - tables with one pool in some data centres
 * @data_centres: how many; they are named dc1, dc2 and so on
 * @workers: workers in each, named dc1-w1 and so on
 *
 * Return: tables for bt_tables_free().
 */
bt_tables_t *
bt_cell_tables (guint data_centres, guint workers)
{
  return bt_cell_tables_range (data_centres, 1, workers);
}

/**
 * bt_cell_tables_range() - tables that name some of the workers of a data centre
 * @data_centres: how many; they are named dc1, dc2 and so on
 * @first: number of the first worker in each
 * @last: number of the last worker in each
 *
 * There is a route for each class, whose caller and team have the name of the
 * class; only work of the urgent and service callers is idempotent.
 *
 * Return: tables for bt_tables_free().
 */
bt_tables_t *
bt_cell_tables_range (guint data_centres, guint first, guint last)
{
  guint workers = last - first + 1;
  g_autoptr (GString) text = g_string_new ("{\"routes\":[");
  for (guint i = 0; i < BT_N_CLASSES; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"%s\",\"callers\":[\"%s\"],\"team\":\"%s\",\"class\":\"%s\","
        "\"pool\":\"" BT_CELL_POOL "\",\"idempotent\":%s}",
        i > 0 ? "," : "", bt_class_names[i], bt_class_names[i], bt_class_names[i],
        bt_class_names[i], i <= BT_CLASS_SERVICE ? "true" : "false");
  g_string_append (text, "],\"pools\":[{\"name\":\"" BT_CELL_POOL "\",\"vms\":[");
  for (guint i = 0; i < data_centres * workers; i++)
    {
      guint centre = i / workers + 1;
      guint worker = i % workers + first;
      g_string_append_printf (text,
                              "%s{\"name\":\"dc%u-w%u\",\"address\":\"10.%u.%u.%u:9000\","
                              "\"data_centre\":\"dc%u\",\"rack\":\"dc%u-r%u\",\"cpus\":32,"
                              "\"memory_mb\":65536}",
                              i > 0 ? "," : "", centre, worker, centre, worker / 250,
                              worker % 250 + 1, centre, centre, (worker - 1) / BT_CELL_RACK + 1);
    }
  g_string_append (text, "]}]}");
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (text->str, text->len, &report);
  if (tables == NULL)
    {
      g_autofree char *faults = bt_report_to_text (&report, "cell");
      g_error ("%s", faults);
    }
  bt_report_clear (&report);
  return tables;
}

/**
 * bt_cell_region() - region of a data centre: odd numbers in one, even ones in the other
 * @data_centre: its name
 *
 * Return: the region's name.
 */
const char *
bt_cell_region (const char *data_centre)
{
  guint64 number = g_ascii_strtoull (data_centre + 2, NULL, 10);
  return number % 2 == 1 ? "region-a" : "region-b";
}
