#include "libbamboothread/base/log.h"
#include "tests/sim.h"
#include "tests/suite.h"

/*
 * Several processes, one log, some workers and tenants with caps. The simulated workers check at
 * each start that no tenant gets beyond its cap, a tenth of it and one task (QUOTA).
 */

/* Number of random days. */
#define DAYS 24

static const sim_policy_t batch = { "main", 2, 3, 30000 };
static const sim_step_t small[] = { { .count = 6, .cpu = 2000, .memory = 2000, .ms = 1500 } };
static const sim_step_t chain[] = {
  { .count = 4, .cpu = 3000, .memory = 2000, .ms = 600 },
  { .count = 6, .cpu = 2000, .memory = 2000, .ms = 900, .after = 1 },
};
static const sim_step_t wide[]
    = { { .count = 4, .cpu = 6000, .memory = 2000, .ms = 800, .gang = TRUE } };
static const sim_step_t lasting[]
    = { { .count = 4, .cpu = 4000, .memory = 2000, .lasts = TRUE, .per_worker = 1 } };

static const bts_resources_t cap_20 = { 20000, 0, 0 };
static const bts_resources_t cap_60 = { 60000, 0, 0 };

static void
submit_many (sim_t *sim, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint node = i % sim->nodes->len;
      if (sim_node (sim, node)->node == NULL || sim_node (sim, node)->frozen)
        node = (node + 1) % sim->nodes->len;
      if (i % 2 == 0)
        sim_submit (sim, node, &batch, small, G_N_ELEMENTS (small));
      else
        sim_submit (sim, node, &batch, chain, G_N_ELEMENTS (chain));
      sim_run_ms (sim, 30);
    }
}

static void
start_missing (sim_t *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    if (sim_node (sim, i)->node == NULL)
      sim_start (sim, i);
}

static void
expect_all_completed (sim_t *sim)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const sim_job_t *job = sim->jobs->pdata[i];
      if (job->accepted_us != 0 && job->cancel_exchange == 0
          && !job->accepted->steps[0]->long_running)
        ck_assert_msg (sim_state (sim, job) == BTS_JOB_COMPLETED, "job %s is %s", job->id,
                       bts_job_state_name (sim_state (sim, job)));
    }
}

/* In normal operation the limit is the cap itself, and what is below it is used. */
static void
calm (sim_t *sim)
{
  submit_many (sim, 12);
  sim_run_ms (sim, 12000);
  const sim_tenant_t *tenant = g_hash_table_lookup (sim->tenants, "a");
  ck_assert_int_eq (tenant->peak.cpu_millis, cap_20.cpu_millis);
}

static void
calm_advised (sim_t *sim)
{
  sim->advised = TRUE;
  calm (sim);
}

/* What the killed owner has started runs on, and counts for the next one. */
static void
owner_killed (sim_t *sim)
{
  submit_many (sim, 8);
  for (guint i = 0; i < 3; i++)
    {
      sim_kill (sim, (guint)sim_owner (sim));
      sim_run_ms (sim, 2500);
      submit_many (sim, 2);
      start_missing (sim);
      sim_run_ms (sim, 1500);
    }
}

/* Workers that don't answer the new owner run what the old one has started there. */
static void
owner_killed_and_workers_dark (sim_t *sim)
{
  submit_many (sim, 10);
  for (guint i = 0; i < 4; i++)
    sim_worker (sim, i)->dark = TRUE;
  sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 900);
  submit_many (sim, 6);
  sim_run_ms (sim, 6000);
  for (guint i = 0; i < 4; i++)
    sim_worker (sim, i)->dark = FALSE;
}

/* Cancelled jobs run on a worker that doesn't answer until its lease is over. */
static void
jobs_cancelled_and_owner_killed (sim_t *sim)
{
  submit_many (sim, 8);
  for (guint i = 0; i < 3; i++)
    sim_worker (sim, i)->dark = TRUE;
  for (guint i = 0; i < sim->jobs->len; i++)
    sim_cancel (sim, i % sim->nodes->len, sim->jobs->pdata[i]);
  sim_run_ms (sim, 200);
  sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 1000);
  submit_many (sim, 8);
  sim_run_ms (sim, 3000);
  for (guint i = 0; i < 3; i++)
    sim_worker (sim, i)->dark = FALSE;
}

static void
starts_carried_out_late (sim_t *sim)
{
  sim_worker (sim, 0)->late_us = 2 * BT_USEC_PER_SEC;
  sim_worker (sim, 1)->late_us = 3 * BT_USEC_PER_SEC;
  submit_many (sim, 8);
  sim_run_ms (sim, 4000);
  sim_worker (sim, 0)->late_us = 0;
  sim_worker (sim, 1)->late_us = 0;
}

static void
replies_lost (sim_t *sim)
{
  submit_many (sim, 4);
  for (guint i = 0; i < 3; i++)
    sim_worker (sim, i)->mute = TRUE;
  submit_many (sim, 4);
  sim_run_ms (sim, 2500);
  for (guint i = 0; i < 3; i++)
    sim_worker (sim, i)->mute = FALSE;
}

static void
workers_crash (sim_t *sim)
{
  submit_many (sim, 8);
  sim_crash_for_seconds (sim, sim_worker (sim, 0));
  sim_reborn (sim, sim_worker (sim, 1));
  submit_many (sim, 4);
}

/* Lowering a cap stops new starts and nothing else. */
static void
cap_lowered (sim_t *sim)
{
  sim_submit (sim, 0, &batch, lasting, G_N_ELEMENTS (lasting));
  sim_run_ms (sim, 1000);
  guint n_lasting = sim_running (sim, "");
  ck_assert_uint_eq (n_lasting, 4);
  const bts_resources_t low = { 3000, 0, 0 };
  sim_set_tenant (sim, "a", &low, 100);
  sim_run_ms (sim, 500);
  sim_submit (sim, 0, &batch, small, G_N_ELEMENTS (small));
  sim_run_ms (sim, 6000);
  ck_assert_uint_eq (sim_running (sim, ""), n_lasting);
  sim_set_tenant (sim, "a", &cap_20, 100);
}

/* The tenant isn't in the tables that the next owner has read since its start. */
static void
tenant_removed (sim_t *sim)
{
  submit_many (sim, 10);
  sim_remove_tenant (sim, "a");
  sim_run_ms (sim, 300);
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_kill (sim, i);
  sim_run_ms (sim, 300);
  sim_restart (sim);
}

/* Before the tables are read, tenants wait. */
static void
tables_read_late (sim_t *sim)
{
  submit_many (sim, 6);
  sim->tables_us = 5 * BT_USEC_PER_SEC;
  for (guint i = 0; i < sim->nodes->len; i++)
    sim_kill (sim, i);
  sim_run_ms (sim, 300);
  sim_restart (sim);
  sim_run_ms (sim, 4000);
  guint starts = sim->starts;
  sim_run_ms (sim, 700);
  ck_assert_uint_eq (sim->starts, starts);
}

/* A gang that is larger than the cap starts with the allowance; one that never fits is refused. */
static void
gang_larger_than_cap (sim_t *sim)
{
  sim_job_t *gang = sim_submit (sim, 0, &batch, wide, G_N_ELEMENTS (wide));
  const sim_step_t too_wide[]
      = { { .count = 5, .cpu = 6000, .memory = 2000, .ms = 800, .gang = TRUE } };
  sim_job_t *refused = sim_submit (sim, 0, &batch, too_wide, G_N_ELEMENTS (too_wide));
  sim_run_ms (sim, 4000);
  ck_assert (sim_state (sim, gang) == BTS_JOB_COMPLETED);
  ck_assert_int_ne (refused->refused_us, 0);
  ck_assert_int_eq (refused->accepted_us, 0);
}

/* Small tasks of the same tenant take what others leave, for as long as there are any. */
static void
gang_beside_a_stream (sim_t *sim)
{
  submit_many (sim, 4);
  sim_job_t *gang = sim_submit (sim, 0, &batch, wide, G_N_ELEMENTS (wide));
  for (guint i = 0; i < 24; i++)
    {
      submit_many (sim, 1);
      sim_run_ms (sim, 250);
    }
  ck_assert (sim_state (sim, gang) == BTS_JOB_COMPLETED);
}

/* A tenant at its cap takes nothing from one without. */
static void
other_tenant_unhindered (sim_t *sim)
{
  submit_many (sim, 20);
  sim->tenant = "b";
  sim_set_tenant (sim, "b", &cap_60, 100);
  sim_run_ms (sim, 100);
  sim_job_t *job = sim_submit (sim, 0, &batch, small, G_N_ELEMENTS (small));
  sim_run_ms (sim, 2200);
  ck_assert (sim_state (sim, job) == BTS_JOB_COMPLETED);
}

static bts_resources_t unlimited = { 0 };

/* Submits a job of @n small tasks for a tenant. */
static sim_job_t *
submit_for (sim_t *sim, const char *tenant, guint n)
{
  const sim_step_t step[] = { { .count = n, .cpu = 2000, .memory = 100, .ms = 500 } };
  guint node = sim->jobs->len % sim->nodes->len;
  if (sim_node (sim, node)->node == NULL)
    node = (node + 1) % sim->nodes->len;
  sim->tenant = tenant;
  return sim_submit (sim, node, &batch, step, 1);
}

/* Two tenants fill all workers, one with three times the weight of the other, and the lighter one
   has submitted far more before. */
static void
full_cluster_is_shared (sim_t *sim)
{
  sim_set_tenant (sim, "b", &unlimited, 30);
  sim_set_tenant (sim, "c", &unlimited, 10);
  sim_run_ms (sim, 100);
  for (guint i = 0; i < 20; i++)
    submit_for (sim, "c", 100);
  for (guint i = 0; i < 20; i++)
    submit_for (sim, "b", 100);
  gint64 b = 0;
  gint64 c = 0;
  sim_run_ms (sim, 2000);
  for (guint i = 0; i < 40; i++)
    {
      sim_run_ms (sim, 73);
      b += sim_usage (sim, "b").cpu_millis;
      c += sim_usage (sim, "c").cpu_millis;
    }
  ck_assert_int_gt (b, c * 2);
  ck_assert_int_lt (b, c * 4);
}

/* What one tenant submits beyond its weight makes room for all that another one of the same weight
   submits within its own, also under an owner that has read the records later. */
static void
excess_waits (sim_t *sim)
{
  sim_set_tenant (sim, "b", &unlimited, 2);
  sim_set_tenant (sim, "c", &unlimited, 2);
  sim_run_ms (sim, 100);
  for (guint i = 0; i < 40; i++)
    submit_for (sim, "b", 40);
  sim_run_ms (sim, 300);
  sim_kill (sim, (guint)sim_owner (sim));
  sim_run_ms (sim, 2500);
  /* The next owner starts its tasks about now, in waves of 0.5 s; a worker gets a few orders at a
     time. */
  for (guint ms = 0; ms < 50 && sim_usage (sim, "b").cpu_millis <= 150000; ms++)
    sim_run_ms (sim, 1);
  for (guint i = 0; i < 6; i++)
    submit_for (sim, "c", 40);
  ck_assert_int_gt (sim_usage (sim, "b").cpu_millis, 150000);
  sim_run_ms (sim, 750);
  ck_assert_int_eq (sim_usage (sim, "b").cpu_millis, 0);
  ck_assert_int_gt (sim_usage (sim, "c").cpu_millis, 150000);
  start_missing (sim);
}

/* Urgent jobs of tasks of 0.9 s that are due 2 s after they were accepted, and patient batch jobs.
 */
#define URGENT_START_US (1100 * 1000)
static const sim_policy_t urgent = { "main", 0, 3, 1100, 1 };
static const sim_step_t quick[] = { { .count = 4, .cpu = 1000, .memory = 500, .ms = 900 } };
static const sim_policy_t patient = { "main", 2, 3, 30000, 4 };
static const sim_step_t slow[] = { { .count = 10, .cpu = 1000, .memory = 500, .ms = 5000 } };

/* Time from the acceptance of a job to the start of the last of its @n tasks; G_MAXINT64 if one
   hasn't started. */
static gint64
start_delay_us (const sim_t *sim, const sim_job_t *job, guint n)
{
  gint64 delay_us = 0;
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, i);
      const gint64 *started_us = g_hash_table_lookup (sim->started, name);
      if (started_us == NULL)
        return G_MAXINT64;
      delay_us = MAX (delay_us, *started_us - job->accepted_us);
    }
  return delay_us;
}

static guint
count_done (const sim_t *sim, const GPtrArray *jobs)
{
  guint n_done = 0;
  for (guint i = 0; i < jobs->len; i++)
    for (guint t = 0; t < slow[0].count; t++)
      {
        const sim_job_t *job = jobs->pdata[i];
        g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, t);
        n_done += g_hash_table_contains (sim->done, name);
      }
  return n_done;
}

/* Batch tasks fill the cap for 30 s, and an urgent job comes each 1.5 s. The first ones may find
   the cap full; those that follow start in time. What is kept for urgent work is a quarter of the
   cap at most, so at least 5 rounds of 15 batch tasks end. */
static void
play_urgent_beside (sim_t *sim, const sim_step_t *step)
{
  g_autoptr (GPtrArray) batch_jobs = g_ptr_array_new ();
  for (guint i = 0; i < 14; i++)
    g_ptr_array_add (batch_jobs, sim_submit (sim, i % sim->nodes->len, &patient, step, 1));
  sim_run_ms (sim, 2000);
  g_autoptr (GPtrArray) urgent_jobs = g_ptr_array_new ();
  for (guint i = 0; i < 20; i++)
    {
      g_ptr_array_add (urgent_jobs,
                       sim_submit (sim, i % sim->nodes->len, &urgent, quick, G_N_ELEMENTS (quick)));
      sim_run_ms (sim, 1500);
    }
  ck_assert_uint_ge (count_done (sim, batch_jobs), 75);
  for (guint i = 4; i < urgent_jobs->len; i++)
    {
      gint64 delay_us = start_delay_us (sim, urgent_jobs->pdata[i], quick[0].count);
      ck_assert_msg (delay_us <= URGENT_START_US, "urgent job %u started after %" G_GINT64_FORMAT,
                     i, delay_us);
    }
  const sim_tenant_t *tenant = g_hash_table_lookup (sim->tenants, "a");
  ck_assert_int_le (tenant->peak.cpu_millis, cap_20.cpu_millis);
}

static void
urgent_beside_batch (sim_t *sim)
{
  play_urgent_beside (sim, slow);
}

/* Stops of batch tasks don't keep them from getting on. */
static void
urgent_beside_saving_batch (sim_t *sim)
{
  sim_step_t saving = slow[0];
  saving.saves = TRUE;
  play_urgent_beside (sim, &saving);
  ck_assert_uint_le (sim->starts, 260);
}

/* The same with advice, of which a call takes 0.27 s. */
static void
urgent_beside_batch_advised (sim_t *sim)
{
  sim->advised = TRUE;
  sim->advice_worker_us = 40 * 1000;
  urgent_beside_batch (sim);
}

/* The advice for an urgent job is requested before its tenant has quota for it. */
static void
urgent_job_asks_while_it_waits (sim_t *sim)
{
  sim->advised = TRUE;
  for (guint i = 0; i < 4; i++)
    sim_submit (sim, 0, &patient, slow, G_N_ELEMENTS (slow));
  sim_run_ms (sim, 1500);
  ck_assert_int_eq (sim_usage (sim, "a").cpu_millis, cap_20.cpu_millis);
  guint advice_calls = sim->advice_calls;
  const sim_job_t *job = sim_submit (sim, 1, &urgent, quick, G_N_ELEMENTS (quick));
  sim_run_ms (sim, 400);
  ck_assert_int_ne (job->accepted_us, 0);
  ck_assert_int_eq (start_delay_us (sim, job, quick[0].count), G_MAXINT64);
  ck_assert_uint_eq (sim->advice_calls, advice_calls + 1);
}

/* The first urgent job of a tenant finds the cap full of batch tasks. Returns how many of these
   were started again: those that were stopped for it. */
static guint
count_stopped_for_urgent (sim_t *sim, gboolean saves)
{
  const sim_step_t long_tasks[]
      = { { .count = 20, .cpu = 1000, .memory = 500, .ms = 9000, .saves = saves } };
  sim_submit (sim, 0, &patient, long_tasks, G_N_ELEMENTS (long_tasks));
  sim_run_ms (sim, 4000);
  ck_assert_int_eq (sim_usage (sim, "a").cpu_millis, cap_20.cpu_millis);
  const sim_job_t *job = sim_submit (sim, 1, &urgent, quick, G_N_ELEMENTS (quick));
  sim_run_ms (sim, 2000);
  gint64 delay_us = start_delay_us (sim, job, quick[0].count);
  ck_assert_msg ((delay_us <= URGENT_START_US) == saves, "started after %" G_GINT64_FORMAT,
                 delay_us);
  sim_run_ms (sim, 15000);
  const sim_tenant_t *tenant = g_hash_table_lookup (sim->tenants, "a");
  ck_assert_int_le (tenant->peak.cpu_millis, cap_20.cpu_millis);
  return sim->starts - long_tasks[0].count - quick[0].count;
}

/* As many batch tasks with checkpoints are stopped as the urgent job needs. */
static void
first_urgent_job_preempts (sim_t *sim)
{
  ck_assert_uint_eq (count_stopped_for_urgent (sim, TRUE), quick[0].count);
}

static void
first_urgent_job_preempts_advised (sim_t *sim)
{
  sim->advised = TRUE;
  first_urgent_job_preempts (sim);
}

/* Lowering a cap stops nothing, also if an urgent job waits for quota then. */
static void
cap_lowered_under_urgent_job (sim_t *sim)
{
  const sim_step_t saving[]
      = { { .count = 20, .cpu = 1000, .memory = 500, .ms = 9000, .saves = TRUE } };
  sim_submit (sim, 0, &patient, saving, G_N_ELEMENTS (saving));
  sim_run_ms (sim, 3000);
  const bts_resources_t low = { 8000, 0, 0 };
  sim_set_tenant (sim, "a", &low, 100);
  sim_run_ms (sim, 500);
  sim_submit (sim, 1, &urgent, quick, G_N_ELEMENTS (quick));
  sim_run_ms (sim, 2500);
  ck_assert_int_eq (sim_usage (sim, "a").cpu_millis, cap_20.cpu_millis);
}

/* Batch tasks that would lose all their work aren't stopped. */
static void
tasks_without_checkpoints_are_not_stopped (sim_t *sim)
{
  ck_assert_uint_eq (count_stopped_for_urgent (sim, FALSE), 0);
}

static const struct
{
  const char *name;
  void (*play) (sim_t *sim);
} cases[] = {
  { "full_cluster_is_shared", full_cluster_is_shared },
  { "excess_waits", excess_waits },
  { "calm", calm },
  { "calm_advised", calm_advised },
  { "owner_killed", owner_killed },
  { "owner_killed_and_workers_dark", owner_killed_and_workers_dark },
  { "jobs_cancelled_and_owner_killed", jobs_cancelled_and_owner_killed },
  { "starts_carried_out_late", starts_carried_out_late },
  { "replies_lost", replies_lost },
  { "workers_crash", workers_crash },
  { "cap_lowered", cap_lowered },
  { "tenant_removed", tenant_removed },
  { "tables_read_late", tables_read_late },
  { "gang_larger_than_cap", gang_larger_than_cap },
  { "gang_beside_a_stream", gang_beside_a_stream },
  { "other_tenant_unhindered", other_tenant_unhindered },
  { "urgent_beside_batch", urgent_beside_batch },
  { "urgent_beside_saving_batch", urgent_beside_saving_batch },
  { "urgent_beside_batch_advised", urgent_beside_batch_advised },
  { "urgent_job_asks_while_it_waits", urgent_job_asks_while_it_waits },
  { "first_urgent_job_preempts", first_urgent_job_preempts },
  { "first_urgent_job_preempts_advised", first_urgent_job_preempts_advised },
  { "cap_lowered_under_urgent_job", cap_lowered_under_urgent_job },
  { "tasks_without_checkpoints_are_not_stopped", tasks_without_checkpoints_are_not_stopped },
};

/* Guards against starts beyond a tenant's cap, and against work that waits below it for good. */
START_TEST (caps_hold)
{
  sim_t *sim = sim_new (3, 6, (guint32)_i + 1);
  sim_set_tenant (sim, "a", &cap_20, 100);
  sim->tenant = "a";
  sim_run_ms (sim, 3000);
  bt_log (BT_LOG_INFO, "case", "name=%s", cases[_i].name);
  cases[_i].play (sim);
  sim_run_ms (sim, 25000);
  sim_check (sim);
  expect_all_completed (sim);
  sim_free (sim);
}
END_TEST

/* Disturbs a worker, the owner or the tenant's cap. */
static void
disturb (sim_t *sim)
{
  sim_worker_t *worker = sim_worker (sim, (guint)g_rand_int_range (sim->random, 0, 6));
  bts_resources_t cap = { 1000 * g_rand_int_range (sim->random, 4, 40), 0, 0 };
  switch (g_rand_int_range (sim->random, 0, 8))
    {
    case 0:
      worker->dark = TRUE;
      break;
    case 1:
      worker->mute = TRUE;
      break;
    case 2:
      worker->late_us = g_rand_int_range (sim->random, 1, 5) * BT_USEC_PER_SEC;
      break;
    case 3:
      if (sim_owner (sim) >= 0)
        sim_kill (sim, (guint)sim_owner (sim));
      break;
    case 4:
      sim_crash_for_seconds (sim, worker);
      break;
    case 5:
      sim_set_tenant (sim, "a", &cap, 100);
      break;
    case 6:
      sim_cancel (sim, 0, sim->jobs->pdata[sim->jobs->len - 1]);
      break;
    default:
      sim_restart (sim);
      break;
    }
}

static void
end_disturbances (sim_t *sim)
{
  for (guint i = 0; i < sim->workers->len; i++)
    {
      sim_worker (sim, i)->dark = FALSE;
      sim_worker (sim, i)->mute = FALSE;
      sim_worker (sim, i)->late_us = 0;
    }
  start_missing (sim);
  sim_set_tenant (sim, "a", &cap_60, 100);
}

/* Guards against runs that are released twice or never, whatever happens to them. */
START_TEST (caps_hold_on_a_random_day)
{
  sim_t *sim = sim_new (3, 6, (guint32)_i + 1);
  sim->advised = _i % 2 == 1;
  sim_set_tenant (sim, "a", &cap_20, 100);
  sim->tenant = "a";
  sim_run_ms (sim, 3000);
  for (guint i = 0; i < 20; i++)
    {
      start_missing (sim);
      sim_run_ms (sim, 200);
      submit_many (sim, 1);
      if (i % 2 == 1)
        disturb (sim);
      sim_run_ms (sim, g_rand_int_range (sim->random, 100, 900));
      if (i % 7 == 6)
        end_disturbances (sim);
    }
  end_disturbances (sim);
  sim_run_ms (sim, 40000);
  sim_check (sim);
  expect_all_completed (sim);
  sim_free (sim);
}
END_TEST

/* Guards against starts beyond a cap, and against work that is kept waiting for good, whatever
   happens while urgent jobs of a tenant reserve a part of its cap and preempt its batch tasks. */
START_TEST (caps_hold_on_a_random_day_with_urgent_work)
{
  sim_step_t saving = slow[0];
  saving.saves = TRUE;
  sim_t *sim = sim_new (3, 6, (guint32)_i + 101);
  sim->advised = _i % 2 == 1;
  sim_set_tenant (sim, "a", &cap_20, 100);
  sim->tenant = "a";
  sim_run_ms (sim, 3000);
  for (guint i = 0; i < 20; i++)
    {
      start_missing (sim);
      sim_run_ms (sim, 200);
      if (i % 4 == 0)
        sim_submit (sim, i % sim->nodes->len, &patient, &saving, 1);
      sim_submit (sim, i % sim->nodes->len, &urgent, quick, G_N_ELEMENTS (quick));
      if (i % 3 == 2)
        disturb (sim);
      sim_run_ms (sim, g_rand_int_range (sim->random, 100, 1500));
      if (i % 7 == 6)
        end_disturbances (sim);
    }
  end_disturbances (sim);
  sim_run_ms (sim, 40000);
  sim_check (sim);
  expect_all_completed (sim);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("tenants");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, caps_hold, 0, G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, caps_hold_on_a_random_day, 0, DAYS);
  tcase_add_loop_test (tests, caps_hold_on_a_random_day_with_urgent_work, 0, DAYS);
  return suite_run ("tenants", tests);
}
