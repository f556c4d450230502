#include "tests/fuzz/run.h"

#include <string.h>

#include "libbamboothread/base/log.h"
#include "tests/fuzz/cell.h"

/* Time between two polls of the VM list, and two looks at who has stopped. */
#define LIST_US (1 * BT_USEC_PER_SEC)
#define STOP_US (100 * BT_USEC_PER_MSEC)
/* After healing, all has to be as it should be within this time. */
#define END_US (150 * BT_USEC_PER_SEC)
#define END_LOOK_US (5 * BT_USEC_PER_SEC)
/* And has to stay so for this time. */
#define AFTER_END_US (12 * BT_USEC_PER_SEC)
#define TICK_US (50 * BT_USEC_PER_MSEC)
/* More services than these could fill the last worker of a pool for good. */
#define SERVICES_MAX 2

/**
 * struct run_t - a run under way
 * @last_edit: the edit that was published last, or NULL
 * @leaving: names of hosts that the VM list says are leaving
 * @stopping: for each daemon, whether it was asked to leave
 */
typedef struct
{
  const fuzz_schedule_t *schedule;
  fuzz_result_t *result;
  oracle_t *oracle;
  bt_world_t *world;
  bt_tables_t *first;
  bt_edit_t *last_edit;
  GPtrArray *leaving;
  gboolean *stopping;
  guint services;
  gint64 next_list;
  gint64 next_stop;
} run_t;

typedef struct
{
  run_t *run;
  gint64 until;
} span_t;

static void
add_counters (fuzz_result_t *result, const bt_counters_t *counters)
{
#define ADD_COUNTER(name) result->counters.name += counters->name;
  BT_COUNTERS (ADD_COUNTER)
#undef ADD_COUNTER
}

static void
kill_node (run_t *run, guint index, gboolean planned)
{
  bt_node_t *node = run->world->nodes->pdata[index];
  if (node->core == NULL)
    return;
  add_counters (run->result, bt_core_counters (node->core));
  oracle_node_killed (run->oracle, node, planned);
  bt_world_kill (run->world, node);
  run->stopping[index] = FALSE;
}

static void
start_node (run_t *run, guint index)
{
  bt_node_t *node = run->world->nodes->pdata[index];
  if (node->core != NULL)
    return;
  oracle_note (run->oracle, "start of %s", node->name);
  run->stopping[index] = FALSE;
  bt_world_start (run->world, node);
}

static void
poll_list (run_t *run)
{
  if (run->world->clock.now_us < run->next_list || run->leaving->len == 0)
    return;
  run->next_list = run->world->clock.now_us + LIST_US;
  for (guint i = 0; i < run->world->nodes->len; i++)
    {
      const bt_node_t *node = run->world->nodes->pdata[i];
      if (node->core != NULL && !node->paused && !node->isolated && !node->log_cut
          && !run->world->log_down)
        bt_core_on_vm_list (node->core, run->leaving);
    }
}

static void
end_idle (run_t *run)
{
  if (run->world->clock.now_us < run->next_stop)
    return;
  run->next_stop = run->world->clock.now_us + STOP_US;
  for (guint i = 0; i < run->world->nodes->len; i++)
    {
      const bt_node_t *node = run->world->nodes->pdata[i];
      if (!run->stopping[i] || node->core == NULL || node->paused || !bt_core_is_idle (node->core))
        continue;
      kill_node (run, i, TRUE);
      start_node (run, i);
    }
}

static gboolean
after_step (bt_world_t *world, void *context)
{
  const span_t *span = context;
  run_t *run = span->run;
  oracle_step (run->oracle);
  poll_list (run);
  end_idle (run);
  return oracle_violation (run->oracle, NULL) != ORACLE_NONE;
}

/* Return: FALSE once something is violated. */
static gboolean
run_until (run_t *run, gint64 until)
{
  span_t span = { run, until };
  gint64 span_us = until - run->world->clock.now_us;
  if (span_us > 0 && bt_world_run_until (run->world, span_us, after_step, &span))
    return FALSE;
  if (run->world->clock.now_us < until)
    bt_clock_advance (&run->world->clock, until - run->world->clock.now_us);
  return oracle_violation (run->oracle, NULL) == ORACLE_NONE;
}

/* The daemon that a caller reaches: the balancer passes over those that don't answer. */
static bt_node_t *
entry_for (const run_t *run, guint number)
{
  const GPtrArray *nodes = run->world->nodes;
  for (guint i = 0; i < nodes->len; i++)
    {
      bt_node_t *node = nodes->pdata[(number + i) % nodes->len];
      if (node->core != NULL && !node->paused)
        return node;
    }
  return NULL;
}

static void
submit (run_t *run, const fuzz_action_t *action)
{
  bt_node_t *node = entry_for (run, action->a);
  if (node == NULL)
    return;
  gboolean idempotent;
  bt_request_t *request = cell_request (action, &idempotent);
  if (request->kind == BT_KIND_SERVICE && ++run->services > SERVICES_MAX)
    {
      bt_schema_free (&bt_request_schema, request);
      return;
    }
  oracle_request_t *known = oracle_add_request (run->oracle, action->id, request, idempotent);
  bt_schema_free (&bt_request_schema, request);
  oracle_submit (run->oracle, known, node);
}

static void
about_request (run_t *run, const fuzz_action_t *action)
{
  oracle_request_t *request = oracle_request (run->oracle, action->b);
  bt_node_t *node = entry_for (run, action->a);
  if (request == NULL || node == NULL)
    return;
  if (action->kind == FUZZ_GONE)
    oracle_caller_gone (run->oracle, request);
  else if (action->kind == FUZZ_CANCEL)
    oracle_query (run->oracle, request, node, BT_QUERY_CANCEL);
  else if (request->request->key != NULL)
    oracle_submit (run->oracle, request, node);
}

static void
publish (run_t *run, const fuzz_action_t *action, gint64 base)
{
  bt_edit_t *edit = cell_edit (run->first, oracle_tables (run->oracle), base, action);
  oracle_publish (run->oracle, edit);
  bt_schema_free (&bt_edit_schema, run->last_edit);
  run->last_edit = edit;
}

static void
edit_tables (run_t *run, const fuzz_action_t *action)
{
  if (run->world->log_down)
    return;
  gint64 version = oracle_version (run->oracle);
  if (action->kind == FUZZ_EDIT_AGAIN && run->last_edit != NULL)
    oracle_publish (run->oracle, run->last_edit);
  else if (action->kind == FUZZ_EDIT)
    publish (run, action, version);
  else if (action->kind == FUZZ_EDIT_STALE && version > 1)
    publish (run, action, version - 1);
  else if (action->kind == FUZZ_EDIT_RACE)
    {
      fuzz_action_t other = *action;
      other.id += 100000;
      other.b++;
      publish (run, action, version);
      publish (run, &other, version);
    }
}

static guint
daemons_staying (const run_t *run, const char *data_centre)
{
  guint n = 0;
  for (guint i = 0; i < run->world->nodes->len; i++)
    {
      const bt_node_t *node = run->world->nodes->pdata[i];
      if (node->core != NULL && !run->stopping[i] && strcmp (node->data_centre, data_centre) == 0)
        n++;
    }
  return n;
}

static void
leave (run_t *run, guint index)
{
  bt_node_t *node = run->world->nodes->pdata[index];
  if (node->core == NULL || node->paused || run->stopping[index])
    return;
  if (run->schedule->calm && daemons_staying (run, node->data_centre) < 2)
    return;
  oracle_note (run->oracle, "%s is asked to leave", node->name);
  run->stopping[index] = TRUE;
  bt_core_leave (node->core);
}

static void
act_on_node (run_t *run, const fuzz_action_t *action)
{
  guint index = action->a % run->world->nodes->len;
  bt_node_t *node = run->world->nodes->pdata[index];
  switch (action->kind)
    {
    case FUZZ_KILL:
      kill_node (run, index, FALSE);
      break;
    case FUZZ_START:
      start_node (run, index);
      break;
    case FUZZ_LEAVE:
      leave (run, index);
      break;
    case FUZZ_PAUSE:
      if (node->core != NULL)
        bt_world_pause (run->world, node, TRUE);
      break;
    case FUZZ_RESUME:
      bt_world_pause (run->world, node, FALSE);
      break;
    case FUZZ_ISOLATE:
    case FUZZ_UNISOLATE:
      node->isolated = action->kind == FUZZ_ISOLATE;
      break;
    default:
      node->log_cut = action->kind == FUZZ_LOG_CUT;
      break;
    }
}

static void
host_leaves (run_t *run, bt_host_t *host, gboolean listed)
{
  if (cell_host_stays (run->first, host->model.name))
    return;
  oracle_host_leaving (run->oracle, host, listed);
  if (listed)
    g_ptr_array_add (run->leaving, host->model.name);
  else
    host->model.leaving = TRUE;
}

static void
act_on_host (run_t *run, const fuzz_action_t *action)
{
  bt_host_t *host = run->world->hosts->pdata[action->a % run->world->hosts->len];
  switch (action->kind)
    {
    case FUZZ_HOST_KILL:
      oracle_host_killed (run->oracle, host);
      bt_world_host_kill (run->world, host);
      break;
    case FUZZ_HOST_BOOT:
      bt_world_host_boot (run->world, host);
      break;
    case FUZZ_HOST_PAUSE:
      if (!host->dead)
        bt_world_host_pause (run->world, host, TRUE);
      break;
    case FUZZ_HOST_RESUME:
      bt_world_host_pause (run->world, host, FALSE);
      break;
    case FUZZ_HOST_CUT:
    case FUZZ_HOST_JOIN:
      host->cut = action->kind == FUZZ_HOST_CUT;
      break;
    case FUZZ_HOST_LEAVING:
    case FUZZ_HOST_LISTED_LEAVING:
      host_leaves (run, host, action->kind == FUZZ_HOST_LISTED_LEAVING);
      break;
    default:
      host->model.fail_all = action->kind == FUZZ_HOST_FAILING;
      break;
    }
}

static void
act_on_links (run_t *run, const fuzz_action_t *action)
{
  static const guint losses[] = { 0, 2, 10, 25 };
  static const guint repeats[] = { 0, 0, 10, 30 };
  static const guint lates[] = { 0, 0, 10, 30 };
  bt_world_t *world = run->world;
  world->loss_percent = losses[action->b % 4];
  world->repeat_percent = repeats[action->b / 4 % 4];
  world->late_percent = lates[action->b / 16 % 4];
  world->late_max_us = 100 * BT_USEC_PER_MSEC * (1 + action->c % 25);
}

static void
cut_data_centres (run_t *run, const fuzz_action_t *action)
{
  static const char *const names[] = { "dc-a", "dc-b", "dc-c" };
  guint n = run->schedule->data_centres;
  guint one = action->a % n;
  gboolean cut = action->kind == FUZZ_CUT;
  for (guint other = 0; other < n; other++)
    if (other != one && (action->b % 2 == 0 || other == (one + 1) % n))
      bt_world_cut (run->world, names[one], names[other], cut);
}

static void
act_on_log (run_t *run, const fuzz_action_t *action)
{
  switch (action->kind)
    {
    case FUZZ_LOG_DOWN:
    case FUZZ_LOG_UP:
      bt_world_log_set_down (run->world, action->kind == FUZZ_LOG_DOWN);
      break;
    case FUZZ_LOG_SLOW:
      run->world->log_delay_us = (action->b % 3) * (action->c % 600) * BT_USEC_PER_MSEC;
      break;
    default:
      run->world->lose_append_answers += 1 + action->b % 4;
      break;
    }
}

static void
act (run_t *run, const fuzz_action_t *action)
{
  run->result->kinds[action->kind]++;
  if (action->kind != FUZZ_SUBMIT && action->kind != FUZZ_REPEAT)
    oracle_note (run->oracle, "action %u: %s %u %u %u", action->id, fuzz_kind_names[action->kind],
                 action->a, action->b, action->c);
  switch (action->kind)
    {
    case FUZZ_SUBMIT:
      submit (run, action);
      break;
    case FUZZ_REPEAT:
    case FUZZ_GONE:
    case FUZZ_CANCEL:
      about_request (run, action);
      break;
    case FUZZ_EDIT:
    case FUZZ_EDIT_RACE:
    case FUZZ_EDIT_STALE:
    case FUZZ_EDIT_AGAIN:
      edit_tables (run, action);
      break;
    case FUZZ_LINKS:
      act_on_links (run, action);
      break;
    case FUZZ_CUT:
    case FUZZ_JOIN:
      cut_data_centres (run, action);
      break;
    case FUZZ_LOG_DOWN:
    case FUZZ_LOG_UP:
    case FUZZ_LOG_SLOW:
    case FUZZ_LOG_LOSE:
      act_on_log (run, action);
      break;
    case FUZZ_HOST_KILL:
    case FUZZ_HOST_BOOT:
    case FUZZ_HOST_PAUSE:
    case FUZZ_HOST_RESUME:
    case FUZZ_HOST_CUT:
    case FUZZ_HOST_JOIN:
    case FUZZ_HOST_LEAVING:
    case FUZZ_HOST_LISTED_LEAVING:
    case FUZZ_HOST_FAILING:
    case FUZZ_HOST_SOUND:
      act_on_host (run, action);
      break;
    default:
      act_on_node (run, action);
      break;
    }
}

static void
heal (run_t *run)
{
  oracle_note (run->oracle, "all is healed");
  for (guint i = 0; i < run->world->hosts->len; i++)
    ((bt_host_t *)run->world->hosts->pdata[i])->model.fail_all = FALSE;
  bt_world_heal (run->world);
}

static void
finish (run_t *run)
{
  heal (run);
  gint64 end = run->world->clock.now_us + END_US;
  while (run->world->clock.now_us < end)
    {
      if (!run_until (run, run->world->clock.now_us + END_LOOK_US))
        return;
      oracle_ask_all (run->oracle);
      if (oracle_all_ended (run->oracle))
        break;
    }
  oracle_check_end (run->oracle);
  if (!run_until (run, run->world->clock.now_us + AFTER_END_US))
    return;
  oracle_check_end (run->oracle);
}

static void
play (run_t *run)
{
  gint64 start = run->world->clock.now_us;
  const GArray *actions = run->schedule->actions;
  for (guint i = 0; i < actions->len; i++)
    {
      const fuzz_action_t *action = &g_array_index (actions, fuzz_action_t, i);
      if (!run_until (run, start + (gint64)action->at_ms * BT_USEC_PER_MSEC))
        return;
      act (run, action);
      oracle_step (run->oracle);
    }
  if (run_until (run, start + (gint64)run->schedule->length_ms * BT_USEC_PER_MSEC))
    finish (run);
}

static void
take_stats (fuzz_result_t *result, const oracle_stats_t *stats)
{
  result->stats.starts += stats->starts;
  result->stats.edits += stats->edits;
  result->stats.lost_exchanges += stats->lost_exchanges;
  for (guint i = 0; i < G_N_ELEMENTS (stats->ends); i++)
    result->stats.ends[i] += stats->ends[i];
  for (guint i = 0; i < G_N_ELEMENTS (stats->answers); i++)
    result->stats.answers[i] += stats->answers[i];
}

/**
 * fuzz_run() - play a schedule and check what happens
 * @schedule: the schedule
 * @verbose: whether to print what happens
 * @result: counts are added to it; the violation is set
 */
void
fuzz_run (const fuzz_schedule_t *schedule, gboolean verbose, fuzz_result_t *result)
{
  bt_log_set_level (verbose ? BT_LOG_DEBUG : BT_LOG_ERROR);
  run_t run = { .schedule = schedule, .result = result };
  run.first = cell_tables (schedule);
  run.oracle = oracle_new (schedule->calm, verbose);
  run.leaving = g_ptr_array_new ();
  bt_world_config_t config;
  bt_world_config_init (&config);
  config.tables = run.first;
  config.daemons = schedule->daemons;
  config.tick_us = TICK_US;
  config.region_of = cell_region_of;
  config.seed = schedule->seed;
  run.world = bt_world_new (&config, oracle_observer (), run.oracle);
  for (guint i = 0; i < run.world->hosts->len; i++)
    ((bt_host_t *)run.world->hosts->pdata[i])->model.permissive = TRUE;
  run.stopping = g_new0 (gboolean, run.world->nodes->len);
  oracle_watch (run.oracle, run.world);
  play (&run);
  const char *what;
  result->violated = oracle_violation (run.oracle, &what);
  g_free (result->what);
  result->what = g_strdup (what);
  result->runs++;
  result->steps += run.world->steps;
  take_stats (result, oracle_stats (run.oracle));
  for (guint i = 0; i < run.world->nodes->len; i++)
    {
      const bt_node_t *node = run.world->nodes->pdata[i];
      if (node->core != NULL)
        add_counters (result, bt_core_counters (node->core));
    }
  g_free (run.stopping);
  g_ptr_array_unref (run.leaving);
  bt_schema_free (&bt_edit_schema, run.last_edit);
  oracle_free (run.oracle);
  bt_world_free (run.world);
  bt_tables_free (run.first);
}

/**
 * fuzz_result_clear() - free what a result holds
 * @result: the result
 */
void
fuzz_result_clear (fuzz_result_t *result)
{
  g_clear_pointer (&result->what, g_free);
}

/**
 * fuzz_result_text() - the counts as lines of text
 * @result: the result
 *
 * Return: the text, to be freed.
 */
char *
fuzz_result_text (const fuzz_result_t *result)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "runs: %" G_GUINT64_FORMAT "\nsteps: %" G_GUINT64_FORMAT "\n",
                          result->runs, result->steps);
  g_string_append (text, "actions:");
  for (int i = 0; i < FUZZ_N_KINDS; i++)
    g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, fuzz_kind_names[i], result->kinds[i]);
  g_string_append_printf (text, "\ntasks: starts=%" G_GUINT64_FORMAT, result->stats.starts);
  for (guint i = 1; i < G_N_ELEMENTS (result->stats.ends); i++)
    g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, bt_attempt_state_names[i],
                            result->stats.ends[i]);
  g_string_append (text, "\nanswers:");
  for (guint i = 0; i < G_N_ELEMENTS (result->stats.answers); i++)
    g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, bt_status_names[i],
                            result->stats.answers[i]);
  g_string_append (text, "\nstates:");
#define APPEND_COUNTER(name)                                                                       \
  g_string_append_printf (text, " " #name "=%" G_GUINT64_FORMAT, result->counters.name);
  BT_COUNTERS (APPEND_COUNTER)
#undef APPEND_COUNTER
  g_string_append (text, "\n");
  return g_string_free (text, FALSE);
}
