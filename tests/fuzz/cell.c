#include "tests/fuzz/cell.h"

#include <string.h>

#define MARKER_ROUTE "marker"

/**
 * struct work_t - a line of the table of routes, and the requests for it
 * @share: how often it is asked for
 */
typedef struct
{
  const char *name;
  bt_kind_t kind;
  const char *class_name;
  const char *pool;
  gboolean idempotent;
  const char *outage;
  guint share;
  guint tasks;
  guint mcpus;
  guint gpus;
  guint run_ms;
  guint deadline_ms;
} work_t;

static const work_t works[] = {
  { "lookup", BT_KIND_REQUEST, "urgent", "cpu", TRUE, "refuse", 6, 1, 700, 0, 3000, 4000 },
  { "charge", BT_KIND_REQUEST, "urgent", "cpu", FALSE, "refuse", 6, 1, 700, 0, 3000, 6000 },
  { "render", BT_KIND_REQUEST, "batch", "gpu", FALSE, "refuse", 2, 1, 500, 1, 4000, 15000 },
  { "watch", BT_KIND_SERVICE, "service", "cpu", TRUE, "refuse", 1, 2, 200, 0, 0, 0 },
  { "build", BT_KIND_BATCH, "batch", "cpu", TRUE, "refuse", 4, 4, 900, 0, 6000, 0 },
  { "print", BT_KIND_BATCH, "batch", "cpu", FALSE, "refuse", 4, 3, 900, 0, 6000, 0 },
  { "score", BT_KIND_BATCH, "best-effort", "cpu", TRUE, "hold", 2, 2, 900, 0, 4000, 0 },
  { "train", BT_KIND_GANG, "batch", "gpu", TRUE, "refuse", 2, 2, 500, 1, 6000, 0 },
  { "proof", BT_KIND_GANG, "batch", "gpu", FALSE, "refuse", 2, 2, 500, 1, 6000, 0 },
};

static const char *const data_centres[] = { "dc-a", "dc-b", "dc-c" };

static void
append_routes (GString *json)
{
  for (guint i = 0; i < G_N_ELEMENTS (works); i++)
    {
      const work_t *work = &works[i];
      g_string_append_printf (
          json,
          "{\"name\":\"%s\",\"callers\":[\"caller\"],\"work\":\"%s\",\"team\":\"team\","
          "\"class\":\"%s\",\"pool\":\"%s\",\"idempotent\":%s,\"retries\":4,"
          "\"on_log_outage\":\"%s\"},",
          work->name, work->name, work->class_name, work->pool, work->idempotent ? "true" : "false",
          work->outage);
    }
  g_string_append (json, "{\"name\":\"" MARKER_ROUTE "\",\"callers\":[\"nobody\"],"
                         "\"team\":\"team\",\"class\":\"batch\",\"pool\":\"cpu\","
                         "\"idempotent\":true}");
}

static void
append_pool (GString *json, const fuzz_schedule_t *schedule, const char *pool, guint gpus)
{
  guint in_gpu = MAX (1, schedule->workers / 3);
  guint from = gpus > 0 ? schedule->workers - in_gpu : 0;
  guint to = gpus > 0 ? schedule->workers : schedule->workers - in_gpu;
  g_string_append_printf (json, "{\"name\":\"%s\",\"slots\":6,\"connections\":16,\"vms\":[", pool);
  const char *comma = "";
  for (guint i = 0; i < schedule->data_centres; i++)
    for (guint k = from; k < to; k++)
      {
        g_string_append_printf (
            json,
            "%s{\"name\":\"%s-w%u\",\"address\":\"127.0.0.1:%u\",\"data_centre\":\"%s\","
            "\"rack\":\"%s-r%u\",\"cpus\":4,\"memory_mb\":4096,\"gpus\":%u}",
            comma, data_centres[i], k, 20000 + i * 100 + k, data_centres[i], data_centres[i], k / 2,
            gpus);
        comma = ",";
      }
  g_string_append (json, "]}");
}

/**
 * cell_tables() - the tables at the start of a schedule
 * @schedule: the schedule
 *
 * Return: the tables, to be freed.
 */
bt_tables_t *
cell_tables (const fuzz_schedule_t *schedule)
{
  g_autoptr (GString) json = g_string_new ("{\"routes\":[");
  append_routes (json);
  g_string_append (json, "],\"pools\":[");
  append_pool (json, schedule, "cpu", 0);
  g_string_append (json, ",");
  append_pool (json, schedule, "gpu", 2);
  g_string_append (json, "]}");
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (json->str, json->len, &report);
  if (tables == NULL)
    {
      g_autofree char *text = bt_report_to_text (&report, "cell");
      g_error ("the fuzzer's tables are wrong: %s", text);
    }
  bt_report_clear (&report);
  return tables;
}

/**
 * cell_region_of() - region of a data centre
 * @data_centre: its name
 *
 * Return: the region.
 */
const char *
cell_region_of (const char *data_centre)
{
  return strcmp (data_centre, "dc-c") == 0 ? "south" : "north";
}

static const work_t *
pick_work (guint number)
{
  guint total = 0;
  for (guint i = 0; i < G_N_ELEMENTS (works); i++)
    total += works[i].share;
  guint at = number % total;
  for (guint i = 0;; i++)
    {
      if (at < works[i].share)
        return &works[i];
      at -= works[i].share;
    }
}

/**
 * cell_request() - the request of a submit action
 * @action: the action; b chooses the work, c its size and key
 * @idempotent: set to whether it may run again
 *
 * Return: the request, to be freed.
 */
bt_request_t *
cell_request (const fuzz_action_t *action, gboolean *idempotent)
{
  const work_t *work = pick_work (action->b);
  guint size = action->c % 8;
  gboolean keyed = (action->c >> 3) % 3 > 0;
  gboolean fails = (action->c >> 5) % 24 == 0;
  bt_request_t *request = g_new0 (bt_request_t, 1);
  g_autofree char *key = g_strdup_printf ("key-%u", action->id);
  g_autofree char *payload = g_strdup_printf ("%s#%u", fails ? "fail" : "work", action->id);
  request->caller = g_ref_string_new ("caller");
  request->work = g_ref_string_new (work->name);
  request->kind = work->kind;
  request->key = keyed ? g_ref_string_new (key) : NULL;
  request->tasks = work->kind == BT_KIND_GANG ? work->tasks : 1 + size % work->tasks;
  request->mcpus = work->mcpus;
  request->memory_mb = 200;
  request->gpus = work->gpus;
  request->connections = 2;
  request->run_ms = 20 + work->run_ms * size / 8;
  request->deadline_ms = work->deadline_ms;
  request->payload = g_ref_string_new (payload);
  *idempotent = work->idempotent;
  return request;
}

/**
 * cell_host_stays() - whether a worker is never taken away for good
 * @first: the tables of the start
 * @host: the worker's name
 *
 * Return: TRUE for the first worker of each pool in each data centre.
 */
gboolean
cell_host_stays (const bt_tables_t *first, const char *host)
{
  const bt_vm_t *vm = bt_tables_find_vm (first, host);
  for (guint i = 0; i < first->pools->len; i++)
    {
      const bt_pool_t *pool = first->pools->pdata[i];
      for (guint k = 0; k < pool->vms->len; k++)
        {
          const bt_vm_t *other = pool->vms->pdata[k];
          if (strcmp (other->data_centre, vm->data_centre) != 0)
            continue;
          if (other == vm)
            return TRUE;
          break;
        }
    }
  return FALSE;
}

/* Takes a VM out of its pool, or puts it back. */
static void
toggle_vm (const bt_tables_t *first, bt_edit_t *edit, const bt_tables_t *now, guint which)
{
  const bt_pool_t *pool = first->pools->pdata[which % first->pools->len];
  const bt_vm_t *vm = pool->vms->pdata[which % pool->vms->len];
  if (cell_host_stays (first, vm->name))
    return;
  bt_pool_t *line = bt_schema_copy (&bt_pool_schema, bt_tables_find_pool (now, pool->name));
  bt_pool_t *whole = bt_schema_copy (&bt_pool_schema, pool);
  gboolean removed = FALSE;
  for (guint i = line->vms->len; i > 0; i--)
    {
      bt_vm_t *has = line->vms->pdata[i - 1];
      if (strcmp (has->name, vm->name) != 0)
        continue;
      /* Freed with the copy of the whole line. */
      g_ptr_array_add (whole->vms, g_ptr_array_steal_index (line->vms, i - 1));
      removed = TRUE;
    }
  for (guint i = 0; !removed && i < whole->vms->len; i++)
    {
      const bt_vm_t *back = whole->vms->pdata[i];
      if (strcmp (back->name, vm->name) == 0)
        g_ptr_array_add (line->vms, g_ptr_array_steal_index (whole->vms, i));
    }
  bt_schema_free (&bt_pool_schema, whole);
  g_ptr_array_add (edit->put->pools, line);
}

/**
 * cell_edit() - the edit of an edit action
 * @first: the tables of the start
 * @now: the newest tables
 * @base: version that the edit names
 * @action: the action; b chooses what is edited
 *
 * Return: the edit, to be freed.
 */
bt_edit_t *
cell_edit (const bt_tables_t *first, const bt_tables_t *now, gint64 base,
           const fuzz_action_t *action)
{
  bt_edit_t *edit = g_new0 (bt_edit_t, 1);
  g_autofree char *id = g_strdup_printf ("edit-%u", action->id);
  edit->id = g_ref_string_new (id);
  edit->author = g_ref_string_new ("operator");
  edit->base_version = base;
  edit->recent_ids = g_ptr_array_new ();
  edit->route_order = g_ptr_array_new ();
  edit->put = g_new0 (bt_tables_t, 1);
  edit->put->routes = g_ptr_array_new ();
  edit->put->pools = g_ptr_array_new ();
  bt_route_t *marker = bt_schema_copy (&bt_route_schema, bt_tables_find_route (now, MARKER_ROUTE));
  marker->queue_limit = 1000 + action->id;
  g_ptr_array_add (edit->put->routes, marker);
  if (action->b % 2 == 0)
    toggle_vm (first, edit, now, action->b / 2);
  return edit;
}
