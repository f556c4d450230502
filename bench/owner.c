#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/headroom.h"
#include "libbamboothread/scheduler/node.h"

/*
 * Processor time of one owner under a load of short tasks, batch and gangs, on a
 * paused clock and without sockets: the log, the workers and the advice service
 * answer after fixed delays. Only the time inside the node's own functions counts.
 */

#define STEP_US 1000
#define LOG_DELAY_US (8 * 1000)
#define ORDER_DELAY_US (3 * 1000)
#define TICK_US (10 * 1000)
#define READ_US (20 * 1000)
/* Time of a message to another process and of its reply. */
#define MESSAGE_US (4 * 1000)
#define HELLO_US (3 * BT_USEC_PER_SEC)
/* Processes that ask the advice service for the owner. */
#define PROCESSES 31

/**
 * struct kind_t - jobs of one kind
 * @advice_us: time of a call to the advice service
 * @good: part of the workers that it allows, in percent
 */
typedef struct
{
  const char *service;
  double per_s;
  guint steps;
  guint width;
  guint cpu;
  guint memory;
  guint gpus;
  guint ms;
  guint priority;
  guint objective_ms;
  double stretch;
  gboolean gang;
  guint advice_ms;
  double advice_worker_ms;
  guint good;
} kind_t;

#define KINDS_MAX 4

/**
 * struct site_t - the load of a site at its usual rate, for 350 workers
 * @cpu_workers_percent: share of the workers that are of the service "cpu"; the others are of
 *   "gpu"
 */
typedef struct
{
  const char *name;
  guint cpu_workers_percent;
  kind_t kinds[KINDS_MAX];
} site_t;

static const site_t sites[] = {
  { "mixed",
    72,
    {
        { "cpu", 41.1, 2, 8, 5300, 15000, 0, 700, 0, 300, 1.5, FALSE, 21, 0.3, 70 },
        { "cpu", 2.43, 2, 28, 9000, 32000, 0, 3600, 2, 3000, 4.0, FALSE, 195, 2.86, 45 },
        { "gpu", 4.45, 1, 4, 31000, 130000, 4, 4500, 1, 1200, 2.2, TRUE, 715, 10.27, 30 },
        { "gpu", 5.05, 1, 20, 5600, 16000, 1, 2400, 2, 3000, 4.0, FALSE, 195, 2.73, 45 },
    } },
  /* Many short jobs beside gangs, in one pool that is nearly full. */
  { "short",
    100,
    {
        { "cpu", 138, 1, 3, 5000, 7100, 0, 640, 0, 400, 1.5, FALSE, 9.36, 0.13, 70 },
        { "cpu", 12.3, 2, 19, 3500, 6400, 0, 2200, 2, 3000, 4.0, FALSE, 104, 1.43, 45 },
        { "cpu", 4.77, 1, 24, 9000, 9000, 0, 5000, 1, 1200, 2.2, TRUE, 559, 8.06, 30 },
    } },
};

static const site_t *
find_site (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (sites); i++)
    if (strcmp (sites[i].name, name) == 0)
      return &sites[i];
  return NULL;
}

typedef struct
{
  char *name;
  guint number;
  gint64 end_us;
} task_t;

typedef struct
{
  char *id;
  guint life;
  GPtrArray *tasks;
  GPtrArray *ends;
  guint64 last;
  gboolean hold_open;
  gint64 hold_until_us;
} machine_t;

typedef struct
{
  bt_clock_t clock;
  bts_node_t *node;
  GHashTable *machines;
  GPtrArray *workers;
  GQueue records;
  GQueue starts;
  GQueue questions;
  gint64 offset;
  guint64 jobs;
  guint64 started;
  guint64 ended;
  guint64 holds;
  double busy_s;
  GRand *random;
  const site_t *site;
  int tenants;
  double cap;
} bench_t;

typedef struct
{
  gint64 at_us;
  GBytes *bytes;
  guint64 token;
} record_t;

typedef struct
{
  gint64 at_us;
  guint64 serial;
} start_t;

/**
 * struct asked_t - a question to the advice service on its way to another process
 */
typedef struct
{
  gint64 at_us;
  GBytes *message;
} asked_t;

static double
cpu_s (void)
{
  struct timespec at;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static gint64
now (const bench_t *bench)
{
  return bt_clock_now (&bench->clock);
}

static void
op_append (void *context, guint64 token, GBytes *record)
{
  bench_t *bench = context;
  record_t *item = g_new0 (record_t, 1);
  item->at_us = now (bench) + LOG_DELAY_US;
  item->bytes = g_bytes_ref (record);
  item->token = token;
  g_queue_push_tail (&bench->records, item);
}

static void
op_hold (void *context, const bts_worker_t *worker, const bts_hold_order_t *order)
{
  bench_t *bench = context;
  machine_t *machine = g_hash_table_lookup (bench->machines, worker->entry->id);
  machine->hold_open = TRUE;
  machine->life = worker->generation;
  machine->hold_until_us = now (bench) + ORDER_DELAY_US + (gint64)order->wait_ms * 1000;
  while (machine->ends->len > 0
         && ((bts_listed_end_t *)machine->ends->pdata[0])->seq <= order->ack_seq)
    g_ptr_array_remove_index (machine->ends, 0);
  bench->holds++;
}

static void
op_start (void *context, const bts_run_t *run, const bts_start_order_t *order)
{
  bench_t *bench = context;
  machine_t *machine = g_hash_table_lookup (bench->machines, run->worker->entry->id);
  task_t *task = g_new0 (task_t, 1);
  task->name = g_strdup (run->name);
  task->number = run->number;
  double off = 0.6 + 0.8 * g_rand_double (bench->random);
  task->end_us
      = now (bench) + (gint64)(bts_stage_step (run->task->stage)->estimate_ms * 1000.0 * off);
  g_ptr_array_add (machine->tasks, task);
  start_t *start = g_new0 (start_t, 1);
  start->at_us = now (bench) + ORDER_DELAY_US;
  start->serial = run->serial;
  g_queue_push_tail (&bench->starts, start);
  bench->started++;
}

static void
op_stop (void *context, const bts_run_t *run, guint64 fence)
{
}

/* The kind of a job stands in the first digit of its id. */
static const kind_t *
find_kind (const bench_t *bench, const char *job)
{
  return &bench->site->kinds[job[0] - '0'];
}

static gint
compare_asked (gconstpointer a, gconstpointer b, gpointer context)
{
  const asked_t *left = a;
  const asked_t *right = b;
  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

/* The owner asks nothing itself: it has enough helpers. */
static void
op_advise (void *context, const bts_advice_request_t *question)
{
  g_assert_not_reached ();
}

static void
op_send (void *context, const char *address, GBytes *message, guint timeout_ms)
{
  bench_t *bench = context;
  asked_t *asked = g_new0 (asked_t, 1);
  gsize len;
  const guint8 *data = g_bytes_get_data (message, &len);
  Bts__Message *sent = bts__message__unpack (NULL, len, data);
  const kind_t *kind = find_kind (bench, sent->ask->job);
  double call_ms = kind->advice_ms + kind->advice_worker_ms * (double)sent->ask->n_workers;
  bts__message__free_unpacked (sent, NULL);
  asked->at_us = now (bench) + MESSAGE_US + (gint64)(call_ms * 1000);
  asked->message = g_bytes_ref (message);
  g_queue_insert_sorted (&bench->questions, asked, compare_asked, NULL);
}

static void
op_reply (void *context, guint64 exchange, GBytes *reply)
{
  g_assert_not_reached ();
}

static void
op_answer (void *context, guint64 exchange, bts_answer_t answer)
{
}

static gint64
op_now_unix_ms (void *context)
{
  return now (context) / 1000 + G_GINT64_CONSTANT (1700000000000);
}

/* Specs are short enough to stand in the jobs' records. */
static void
op_append_spec (void *context, guint64 token, GBytes *record)
{
  g_assert_not_reached ();
}

static void
op_read_specs (void *context, gint64 from)
{
}

static const bts_node_ops_t ops = {
  .append = op_append,
  .append_spec = op_append_spec,
  .read_specs = op_read_specs,
  .hold = op_hold,
  .start = op_start,
  .stop = op_stop,
  .request_advice = op_advise,
  .send = op_send,
  .reply = op_reply,
  .answer = op_answer,
  .now_unix_ms = op_now_unix_ms,
};

static void
add_workers (bench_t *bench, const char *service, guint n, bts_resources_t room)
{
  for (guint i = 0; i < n; i++)
    {
      machine_t *machine = g_new0 (machine_t, 1);
      machine->id = g_strdup_printf ("i-%s-%04u", service, i);
      machine->tasks = g_ptr_array_new ();
      machine->ends = g_ptr_array_new ();
      g_ptr_array_add (bench->workers, machine);
      g_hash_table_insert (bench->machines, machine->id, machine);
      bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
      entry->id = g_strdup (machine->id);
      entry->address = g_strdup_printf ("10.0.%u.%u:80", i / 250, i % 250);
      entry->service = g_strdup (service);
      entry->zone = g_strdup ("z");
      entry->labels = g_new0 (char *, 3);
      entry->labels[0] = g_strdup (i % 3 == 0 ? "kind-a" : "kind-b");
      entry->labels[1] = g_strdup_printf ("rack-%u", i / 8);
      entry->cpu_millis = (guint)room.cpu_millis;
      entry->memory_mb = (guint)room.memory_mb;
      entry->gpus = (guint)room.gpus;
      bts_node_on_entry (bench->node, entry);
    }
}

/* Gives a job to a tenant; some have up to five times the weight of others. */
static void
set_tenant (bench_t *bench, Bts__Policy *policy)
{
  guint tenant = (guint)g_rand_int_range (bench->random, 0, bench->tenants);
  g_autofree char *name = g_strdup_printf ("t%u", tenant);
  policy->tenant = strdup (name);
  policy->weight = 100 * (1 + tenant % 5);
  policy->cap_cpu_millis = (gint64)(bench->cap * 1000);
  policy->tables_version = 1;
}

static Bts__Accepted *
job_new (bench_t *bench, const kind_t *kind)
{
  Bts__Accepted *job = malloc (sizeof *job);
  bts__accepted__init (job);
  g_autofree char *id = g_strdup_printf ("%x%015" G_GINT64_MODIFIER "x",
                                         (guint)(kind - bench->site->kinds), ++bench->jobs);
  job->id = strdup (id);
  job->spec.data = calloc (1, 100);
  job->spec.len = 100;
  Bts__Policy *policy = malloc (sizeof *policy);
  bts__policy__init (policy);
  policy->route = strdup (kind->service);
  policy->service = strdup (kind->service);
  policy->priority = kind->priority;
  if (bench->tenants > 0)
    set_tenant (bench, policy);
  policy->attempts_max = 4;
  policy->stretch = kind->stretch;
  policy->objective_ms = kind->objective_ms;
  policy->advised = kind->good > 0;
  policy->advice_validity_ms = 2000;
  policy->advice_ms = kind->advice_ms;
  policy->advice_worker_ms = kind->advice_worker_ms;
  job->policy = policy;
  job->steps = calloc (kind->steps, sizeof *job->steps);
  for (guint i = 0; i < kind->steps; i++)
    {
      Bts__Step *step = malloc (sizeof *step);
      bts__step__init (step);
      step->count = kind->width;
      step->cpu_millis = kind->cpu;
      step->memory_mb = kind->memory;
      step->gpus = kind->gpus;
      step->estimate_ms = kind->ms;
      step->gang = kind->gang;
      step->label = strdup ("");
      step->rack = strdup ("");
      step->image = strdup ("");
      if (i > 0)
        {
          step->after = calloc (1, sizeof *step->after);
          step->after[0] = i - 1;
          step->n_after = 1;
        }
      job->steps[job->n_steps++] = step;
    }
  return job;
}

/* Ends what is due on a worker and answers its hold. */
static void
play_worker (bench_t *bench, machine_t *machine)
{
  gint64 now_us = now (bench);
  for (guint i = 0; i < machine->tasks->len;)
    {
      task_t *task = machine->tasks->pdata[i];
      if (task->end_us > now_us)
        {
          i++;
          continue;
        }
      bts_listed_end_t *row = g_new0 (bts_listed_end_t, 1);
      row->seq = ++machine->last;
      row->name = task->name;
      row->number = task->number;
      row->outcome = BTS_OUTCOME_DONE;
      row->checkpoint = g_strdup ("");
      g_ptr_array_add (machine->ends, row);
      g_ptr_array_remove_index_fast (machine->tasks, i);
      g_free (task);
      bench->ended++;
    }
  if (!machine->hold_open || (machine->ends->len == 0 && now_us < machine->hold_until_us))
    return;
  machine->hold_open = FALSE;
  bts_listing_t *listing = bts_listing_new ();
  listing->clock_ms = now_us / 1000;
  listing->started_ms = 1;
  for (guint i = 0; i < machine->ends->len; i++)
    {
      const bts_listed_end_t *end = machine->ends->pdata[i];
      bts_listed_end_t *row = g_memdup2 (end, sizeof *end);
      row->name = g_strdup (end->name);
      row->checkpoint = g_strdup ("");
      g_ptr_array_add (listing->finished, row);
    }
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const task_t *task = machine->tasks->pdata[i];
      bts_listed_run_t *row = g_new0 (bts_listed_run_t, 1);
      row->name = g_strdup (task->name);
      row->number = task->number;
      row->checkpoint = g_strdup ("");
      row->percent = 100;
      g_ptr_array_add (listing->running, row);
    }
  double from_s = cpu_s ();
  bts_sched_on_hold_reply (bts_node_sched (bench->node), machine->id, machine->life, BTS_REPLY_OK,
                           listing);
  bench->busy_s += cpu_s () - from_s;
  bts_listing_free (listing);
}

static void
play_log (bench_t *bench)
{
  record_t *item;
  while ((item = g_queue_peek_head (&bench->records)) != NULL && item->at_us <= now (bench))
    {
      g_queue_pop_head (&bench->records);
      gsize len;
      const guint8 *data = g_bytes_get_data (item->bytes, &len);
      double from_s = cpu_s ();
      bts_node_on_append (bench->node, item->token, BTS_APPEND_STORED, LOG_DELAY_US);
      bts_node_on_record (bench->node, bench->offset++, data, len);
      bench->busy_s += cpu_s () - from_s;
      g_bytes_unref (item->bytes);
      g_free (item);
    }
}

static void
answer (bench_t *bench, GBytes *message)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (message, &len);
  Bts__Message *sent = bts__message__unpack (NULL, len, data);
  const Bts__Ask *ask = sent->ask;
  Bts__Advice advice = BTS__ADVICE__INIT;
  g_autofree Bts__Ticket *tickets = g_new0 (Bts__Ticket, ask->n_workers);
  g_autofree Bts__Ticket **allowed = g_new0 (Bts__Ticket *, ask->n_workers);
  for (gsize i = 0; i < ask->n_workers; i++)
    {
      g_autofree char *pair = g_strdup_printf ("%s%s", ask->job, ask->workers[i]);
      if (g_str_hash (pair) % 100 >= find_kind (bench, ask->job)->good)
        continue;
      Bts__Ticket *ticket = &tickets[advice.n_allowed];
      bts__ticket__init (ticket);
      ticket->worker = ask->workers[i];
      ticket->ticket = (char *)"0123456789abcdef0123";
      allowed[advice.n_allowed++] = ticket;
    }
  advice.allowed = allowed;
  Bts__Reply wrapped = BTS__REPLY__INIT;
  wrapped.kind_case = BTS__REPLY__KIND_ADVICE;
  wrapped.advice = &advice;
  gsize packed = bts__reply__get_packed_size (&wrapped);
  g_autofree guint8 *reply = g_malloc (MAX (packed, 1));
  bts__reply__pack (&wrapped, reply);
  double from_s = cpu_s ();
  bts_node_on_reply (bench->node, message, TRUE, reply, packed);
  bench->busy_s += cpu_s () - from_s;
  bts__message__free_unpacked (sent, NULL);
}

static void
play_advice (bench_t *bench)
{
  asked_t *asked;
  while ((asked = g_queue_peek_head (&bench->questions)) != NULL && asked->at_us <= now (bench))
    {
      g_queue_pop_head (&bench->questions);
      answer (bench, asked->message);
      g_bytes_unref (asked->message);
      g_free (asked);
    }
}

static void
append_record (bench_t *bench, Bts__Record *record)
{
  g_autoptr (GBytes) bytes = bts_message_pack (&record->base);
  op_append (bench, 0, bytes);
}

static void
say_hello (bench_t *bench)
{
  for (guint i = 0; i < PROCESSES; i++)
    {
      g_autofree char *name = g_strdup_printf ("other-%u/1", i);
      Bts__Hello hello = BTS__HELLO__INIT;
      hello.node = name;
      hello.address = name;
      Bts__Record record = BTS__RECORD__INIT;
      record.kind_case = BTS__RECORD__KIND_HELLO;
      record.hello = &hello;
      append_record (bench, &record);
    }
}

static void
play (bench_t *bench, double load, guint seconds)
{
  gint64 end_us = now (bench) + (gint64)seconds * BT_USEC_PER_SEC;
  gint64 tick_us = 0;
  gint64 hello_us = 0;
  gint64 read_us = 0;
  double due[KINDS_MAX] = { 0 };
  const kind_t *kinds = bench->site->kinds;
  while (now (bench) < end_us)
    {
      bt_clock_advance (&bench->clock, STEP_US);
      for (guint i = 0; i < KINDS_MAX && kinds[i].service != NULL; i++)
        for (due[i] += kinds[i].per_s * load * STEP_US / 1e6; due[i] >= 1; due[i]--)
          bts_node_submit (bench->node, 0, job_new (bench, &kinds[i]), 3 * BT_USEC_PER_SEC);
      if (now (bench) - hello_us >= HELLO_US)
        {
          say_hello (bench);
          hello_us = now (bench);
        }
      play_log (bench);
      play_advice (bench);
      start_t *start;
      double from_s = cpu_s ();
      while ((start = g_queue_peek_head (&bench->starts)) != NULL && start->at_us <= now (bench))
        {
          g_queue_pop_head (&bench->starts);
          bts_sched_on_start_reply (bts_node_sched (bench->node), start->serial, BTS_REPLY_OK,
                                    now (bench) / 1000);
          g_free (start);
        }
      bench->busy_s += cpu_s () - from_s;
      for (guint i = 0; i < bench->workers->len; i++)
        play_worker (bench, bench->workers->pdata[i]);
      from_s = cpu_s ();
      bts_sched_run_pass (bts_node_sched (bench->node));
      if (now (bench) - read_us >= READ_US)
        {
          bts_node_on_caught_up (bench->node, now (bench), now (bench), 0);
          bts_sched_on_entries (bts_node_sched (bench->node), TRUE);
          read_us = now (bench);
        }
      if (now (bench) - tick_us >= TICK_US)
        {
          bts_node_tick (bench->node);
          tick_us = now (bench);
        }
      bench->busy_s += cpu_s () - from_s;
    }
}

int
main (int argc, char **argv)
{
  int seconds = 10;
  double load = 1.0;
  int workers = 350;
  const char *site = "mixed";
  bench_t bench = { 0 };
  const struct poptOption options[]
      = { { "seconds", 's', POPT_ARG_INT, &seconds, 0, "simulated time", "SECONDS" },
          { "load", 'l', POPT_ARG_DOUBLE, &load, 0, "times the usual rate", "X" },
          { "workers", 'w', POPT_ARG_INT, &workers, 0, "number of workers", "N" },
          { "site", 'S', POPT_ARG_STRING, &site, 0, "load: mixed or short", "NAME" },
          { "tenants", 't', POPT_ARG_INT, &bench.tenants, 0, "number of tenants", "N" },
          { "cap", 'c', POPT_ARG_DOUBLE, &bench.cap, 0, "cap of a tenant, in cores", "CORES" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext (NULL, argc, (const char **)argv, options, 0);
  int next = poptGetNextOpt (context);
  poptFreeContext (context);
  if (next < -1)
    {
      fprintf (stderr, "bench-owner: %s\n", poptStrerror (next));
      return 2;
    }
  bt_log_set_level (BT_LOG_ERROR);
  bench.site = find_site (site);
  if (bench.site == NULL)
    {
      fprintf (stderr, "bench-owner: no load named %s\n", site);
      return 2;
    }
  bt_clock_init_paused (&bench.clock, BT_USEC_PER_SEC);
  bench.random = g_rand_new_with_seed (1);
  bench.machines = g_hash_table_new (g_str_hash, g_str_equal);
  bench.workers = g_ptr_array_new ();
  bts_node_config_t config = { 0 };
  config.name = "vm/1";
  config.status_retention_ms = 120000;
  config.max_direct_appenders = BTS_MAX_DIRECT_APPENDERS;
  config.sched.hold_max_ms = 6000;
  config.sched.early_ms = 250;
  config.sched.urgent_quota_percent = BTS_HEADROOM_PERCENT;
  bench.node = bts_node_new (&config, &bench.clock, &ops, &bench);
  bts_freshness_on_read (bts_node_freshness (bench.node), TRUE, bt_clock_now (&bench.clock));
  bts_resources_t cpu = { 32000, 131072, 0 };
  bts_resources_t gpu = { 64000, 262144, 8 };
  guint cpu_workers = (guint)workers * bench.site->cpu_workers_percent / 100;
  add_workers (&bench, "cpu", cpu_workers, cpu);
  add_workers (&bench, "gpu", (guint)workers - cpu_workers, gpu);
  play (&bench, 0, 2);
  bench.busy_s = 0;
  bench.started = bench.ended = bench.holds = 0;
  play (&bench, load, (guint)seconds);
  printf ("%s, %d workers, %.1f times the usual rate: %.0f starts/s, %.0f ends/s, %.0f holds/s, "
          "%.3f core, %.0f us a start\n",
          site, workers, load, (double)bench.started / seconds, (double)bench.ended / seconds,
          (double)bench.holds / seconds, bench.busy_s / seconds,
          bench.busy_s * 1e6 / (double)MAX (bench.started, 1));
  return EXIT_SUCCESS;
}
