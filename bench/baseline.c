#include "bench/baseline.h"

#include <string.h>

#include "libbamboothread/base/clock.h"

const char *const bench_baseline_names[]
    = { "first-fit", "random-fit", "fifo", "no-admission", NULL };

/* How long after the last arrival starts still count. */
#define DRAIN_US (30 * BT_USEC_PER_SEC)
#define SAMPLE_US (1 * BT_USEC_PER_SEC)

typedef struct
{
  const bt_pool_t *pool;
  const char *rack;
  bt_resources_t capacity;
  bt_resources_t used;
  gboolean dead;
} worker_t;

typedef struct
{
  gint64 at;
  worker_t *worker;
  const bench_stream_t *stream;
} end_t;

/**
 * struct lane_t - waiting jobs of a stream, the oldest first
 * @next_task: tasks of the first job that have started
 */
typedef struct
{
  const bench_stream_t *stream;
  const bt_route_t *route;
  GQueue jobs;
  guint next_task;
  bt_resources_t need;
} lane_t;

typedef struct
{
  bench_baseline_t policy;
  const GArray *arrivals;
  bench_fate_t *fates;
  GPtrArray *workers;
  GPtrArray *lanes;
  GSequence *ends;
  GRand *rand;
  gint64 now;
} baseline_t;

static gint
compare_ends (gconstpointer a, gconstpointer b, gpointer data)
{
  const end_t *left = a;
  const end_t *right = b;
  return left->at < right->at ? -1 : left->at > right->at;
}

static gboolean
fits (const worker_t *worker, const lane_t *lane)
{
  if (worker->dead || strcmp (worker->pool->name, lane->route->pool) != 0)
    return FALSE;
  bt_resources_t room = worker->capacity;
  bt_resources_subtract (&room, &worker->used);
  return bt_resources_fit (&lane->need, &room);
}

static worker_t *
find_worker (baseline_t *baseline, const lane_t *lane)
{
  guint n = baseline->workers->len;
  guint offset = baseline->policy == BENCH_RANDOM_FIT
                     ? (guint)g_rand_int_range (baseline->rand, 0, (gint32)n)
                     : 0;
  for (guint i = 0; i < n; i++)
    {
      worker_t *worker = baseline->workers->pdata[(i + offset) % n];
      if (fits (worker, lane))
        return worker;
    }
  return NULL;
}

static void
start_task (baseline_t *baseline, lane_t *lane, worker_t *worker)
{
  bt_resources_add (&worker->used, &lane->need);
  if (lane->stream->kind == BT_KIND_SERVICE)
    return;
  end_t *end = g_new0 (end_t, 1);
  end->at = baseline->now + lane->stream->run_ms * BT_USEC_PER_MSEC;
  end->worker = worker;
  end->stream = lane->stream;
  g_sequence_insert_sorted (baseline->ends, end, compare_ends, NULL);
}

static void
note_started (baseline_t *baseline, guint number, guint tasks)
{
  bench_fate_t *fate = &baseline->fates[number];
  fate->started += tasks;
  fate->last_wait_us
      = baseline->now - g_array_index (baseline->arrivals, bench_arrival_t, number).at_us;
}

static gboolean
start_gang (baseline_t *baseline, lane_t *lane, guint number)
{
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  for (gint64 i = 0; i < lane->stream->tasks; i++)
    {
      worker_t *worker = find_worker (baseline, lane);
      if (worker == NULL)
        break;
      bt_resources_add (&worker->used, &lane->need);
      g_ptr_array_add (chosen, worker);
    }
  for (guint i = 0; i < chosen->len; i++)
    bt_resources_subtract (&((worker_t *)chosen->pdata[i])->used, &lane->need);
  if (chosen->len < (guint)lane->stream->tasks)
    return FALSE;
  for (guint i = 0; i < chosen->len; i++)
    start_task (baseline, lane, chosen->pdata[i]);
  note_started (baseline, number, chosen->len);
  g_queue_pop_head (&lane->jobs);
  return TRUE;
}

/* Starts the first job of a lane, or its next task. */
static gboolean
start_first (baseline_t *baseline, lane_t *lane)
{
  guint number = GPOINTER_TO_UINT (g_queue_peek_head (&lane->jobs)) - 1;
  if (lane->stream->kind == BT_KIND_GANG)
    return start_gang (baseline, lane, number);
  worker_t *worker = find_worker (baseline, lane);
  if (worker == NULL)
    return FALSE;
  start_task (baseline, lane, worker);
  note_started (baseline, number, 1);
  if (++lane->next_task < (guint)lane->stream->tasks)
    return TRUE;
  lane->next_task = 0;
  g_queue_pop_head (&lane->jobs);
  return TRUE;
}

static void
drop_late (baseline_t *baseline, lane_t *lane)
{
  if (baseline->policy == BENCH_NO_ADMISSION || lane->route->deadline_ms <= 0)
    return;
  while (lane->jobs.length > 0 && lane->next_task == 0)
    {
      guint number = GPOINTER_TO_UINT (g_queue_peek_head (&lane->jobs)) - 1;
      gint64 at = g_array_index (baseline->arrivals, bench_arrival_t, number).at_us;
      if (baseline->now <= at + lane->route->deadline_ms * BT_USEC_PER_MSEC)
        return;
      baseline->fates[number].refused = TRUE;
      g_queue_pop_head (&lane->jobs);
    }
}

static lane_t *
oldest_lane (const baseline_t *baseline, const GHashTable *blocked)
{
  lane_t *oldest = NULL;
  for (guint i = 0; i < baseline->lanes->len; i++)
    {
      lane_t *lane = baseline->lanes->pdata[i];
      if (lane->jobs.length == 0 || g_hash_table_contains ((GHashTable *)blocked, lane))
        continue;
      if (oldest == NULL
          || GPOINTER_TO_UINT (lane->jobs.head->data) < GPOINTER_TO_UINT (oldest->jobs.head->data))
        oldest = lane;
    }
  return oldest;
}

static void
dispatch (baseline_t *baseline)
{
  g_autoptr (GHashTable) blocked = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < baseline->lanes->len; i++)
    drop_late (baseline, baseline->lanes->pdata[i]);
  lane_t *lane;
  while ((lane = oldest_lane (baseline, blocked)) != NULL)
    {
      if (start_first (baseline, lane))
        continue;
      if (baseline->policy == BENCH_FIFO)
        return;
      g_hash_table_add (blocked, lane);
    }
}

static lane_t *
lane_of (baseline_t *baseline, const bt_tables_t *tables, const bench_arrival_t *arrival)
{
  for (guint i = 0; i < baseline->lanes->len; i++)
    {
      lane_t *lane = baseline->lanes->pdata[i];
      if (lane->stream == arrival->stream)
        return lane;
    }
  bt_request_t *request = bench_arrival_request (arrival, 0);
  const bt_route_t *route = bt_tables_match_route (tables, request->caller, request->work);
  lane_t *lane = NULL;
  if (route != NULL)
    {
      lane = g_new0 (lane_t, 1);
      lane->stream = arrival->stream;
      lane->route = route;
      bt_request_get_need (request, &lane->need);
      g_ptr_array_add (baseline->lanes, lane);
    }
  bt_schema_free (&bt_request_schema, request);
  return lane;
}

static void
arrive (baseline_t *baseline, const bt_tables_t *tables, guint number)
{
  const bench_arrival_t *arrival = &g_array_index (baseline->arrivals, bench_arrival_t, number);
  lane_t *lane = lane_of (baseline, tables, arrival);
  if (lane == NULL)
    return;
  gboolean full = lane->jobs.length >= (guint)lane->route->queue_limit;
  if (full && baseline->policy != BENCH_NO_ADMISSION)
    baseline->fates[number].refused = TRUE;
  else
    g_queue_push_tail (&lane->jobs, GUINT_TO_POINTER (number + 1));
}

static void
add_workers (baseline_t *baseline, const bt_tables_t *tables)
{
  for (guint i = 0; i < tables->pools->len; i++)
    {
      const bt_pool_t *pool = tables->pools->pdata[i];
      for (guint k = 0; k < pool->vms->len; k++)
        {
          const bt_vm_t *vm = pool->vms->pdata[k];
          worker_t *worker = g_new0 (worker_t, 1);
          worker->pool = pool;
          worker->rack = vm->rack;
          bt_pool_vm_capacity (pool, vm, &worker->capacity);
          g_ptr_array_add (baseline->workers, worker);
        }
    }
}

static void
lose_rack (baseline_t *baseline)
{
  const char *rack = ((worker_t *)baseline->workers->pdata[0])->rack;
  for (guint i = 0; i < baseline->workers->len; i++)
    {
      worker_t *worker = baseline->workers->pdata[i];
      worker->dead = worker->dead || strcmp (worker->rack, rack) == 0;
    }
}

static void
sample (const baseline_t *baseline, bench_result_t *result)
{
  double sum = 0;
  guint n = 0;
  for (guint i = 0; i < baseline->workers->len; i++)
    {
      const worker_t *worker = baseline->workers->pdata[i];
      if (worker->dead || worker->used.v[BT_RESOURCE_SLOTS] == 0)
        continue;
      sum += bench_dominant_share (&worker->used, &worker->capacity);
      n++;
    }
  bench_result_sample (result, sum, n);
}

static void
end_due (baseline_t *baseline)
{
  GSequenceIter *first;
  while (!g_sequence_iter_is_end (first = g_sequence_get_begin_iter (baseline->ends)))
    {
      const end_t *end = g_sequence_get (first);
      if (end->at > baseline->now)
        return;
      bt_resources_t need
          = { { end->stream->mcpus, end->stream->memory_mb, end->stream->gpus, 1, 1 } };
      bt_resources_subtract (&end->worker->used, &need);
      g_sequence_remove (first);
    }
}

static gint64
next_time (const baseline_t *baseline, guint arrived, gint64 next_sample)
{
  gint64 next = next_sample;
  if (arrived < baseline->arrivals->len)
    next = MIN (next, g_array_index (baseline->arrivals, bench_arrival_t, arrived).at_us);
  GSequenceIter *first = g_sequence_get_begin_iter (baseline->ends);
  if (!g_sequence_iter_is_end (first))
    next = MIN (next, ((const end_t *)g_sequence_get (first))->at);
  return next;
}

static void
simulate (baseline_t *baseline, const bt_tables_t *tables, bench_result_t *result, gint64 end_us,
          gint64 lose_rack_at)
{
  guint arrived = 0;
  gint64 next_sample = SAMPLE_US;
  while (baseline->now < end_us)
    {
      baseline->now = next_time (baseline, arrived, next_sample);
      end_due (baseline);
      if (baseline->now >= lose_rack_at)
        {
          lose_rack (baseline);
          lose_rack_at = G_MAXINT64;
        }
      while (arrived < baseline->arrivals->len
             && g_array_index (baseline->arrivals, bench_arrival_t, arrived).at_us <= baseline->now)
        arrive (baseline, tables, arrived++);
      dispatch (baseline);
      if (baseline->now < next_sample)
        continue;
      sample (baseline, result);
      next_sample += SAMPLE_US;
    }
}

/**
 * bench_baseline_run() - let a plain policy do a workload
 * @policy: which
 * @workload: the workload
 * @tables: its tables
 * @scenario: the scenario
 * @flood_at_us: when the floods begin, which is when a rack is lost
 *
 * Return: a result for bench_result_free().
 */
bench_result_t *
bench_baseline_run (bench_baseline_t policy, const bench_workload_t *workload,
                    const bt_tables_t *tables, bench_scenario_t scenario, gint64 flood_at_us)
{
  bench_result_t *result = bench_result_new (workload, bench_baseline_names[policy], scenario);
  g_autoptr (GArray) arrivals = bench_workload_arrivals (workload, scenario);
  baseline_t baseline = { .policy = policy, .arrivals = arrivals };
  baseline.fates = g_new0 (bench_fate_t, arrivals->len);
  baseline.workers = g_ptr_array_new_with_free_func (g_free);
  baseline.lanes = g_ptr_array_new_with_free_func (g_free);
  baseline.ends = g_sequence_new (g_free);
  baseline.rand = g_rand_new_with_seed ((guint32)workload->seed);
  add_workers (&baseline, tables);
  gint64 lose_rack_at = scenario == BENCH_FLOOD_BOTH ? flood_at_us : G_MAXINT64;
  simulate (&baseline, tables, result, workload->seconds * BT_USEC_PER_SEC + DRAIN_US,
            lose_rack_at);
  bench_result_fill (result, tables, arrivals, baseline.fates);
  for (guint i = 0; i < baseline.lanes->len; i++)
    g_queue_clear (&((lane_t *)baseline.lanes->pdata[i])->jobs);
  g_rand_free (baseline.rand);
  g_sequence_free (baseline.ends);
  g_ptr_array_unref (baseline.lanes);
  g_ptr_array_unref (baseline.workers);
  g_free (baseline.fates);
  return result;
}
