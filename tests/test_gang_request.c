#include <ctype.h>
#include <string.h>

#include "libbamboothread/scheduler/gang_request.h"
#include "tests/suite.h"

/*
 * Which workers a request for advice names for a gang of two tasks, each of which takes a whole
 * worker.
 */

#define NOW_US (100 * G_USEC_PER_SEC)
#define VALIDITY_MS 2000
#define CALL_US (900 * 1000)
#define CPU_MILLIS 4000
#define TASKS 2

/**
 * struct case - the workers of a service, and which of them are named
 * @workers: a letter for each: v for one that the gang may use and has a valid ticket for, e for
 * one whose ticket has run out, s for one whose ticket runs out before the answer comes, u for one
 *   that the advice service hasn't been asked about, d for one that the gang may not use. A capital
 *   letter if it has room
 * @named: their places, in any order
 */
static const struct
{
  const char *workers;
  const char *named;
} cases[] = {
  /* It can start, or there is no room. */
  { "VV", "" },
  { "eevvuu", "" },
  /* Those that it may use suffice. */
  { "EE", "01" },
  { "SV", "0" },
  { "VEUU", "1" },
  { "VeEdd", "2" },
  /* They don't, but others may turn out to be allowed. */
  { "EU", "01" },
  { "eSUU", "123" },
  { "VUD", "1" },
  /* No answer can help it to start now; what is learned of others is kept. */
  { "E", "" },
  { "Eeedd", "" },
  { "U", "0" },
};

static Bts__Accepted *
new_gang (void)
{
  Bts__Accepted *accepted = malloc (sizeof *accepted);
  bts__accepted__init (accepted);
  accepted->id = strdup ("0000000000000001");
  accepted->policy = malloc (sizeof *accepted->policy);
  bts__policy__init (accepted->policy);
  accepted->policy->service = strdup ("main");
  accepted->policy->advised = TRUE;
  accepted->policy->advice_validity_ms = VALIDITY_MS;
  Bts__Step *step = malloc (sizeof *step);
  bts__step__init (step);
  step->count = TASKS;
  step->cpu_millis = CPU_MILLIS;
  step->gang = TRUE;
  accepted->n_steps = 1;
  accepted->steps = calloc (1, sizeof *accepted->steps);
  accepted->steps[0] = step;
  return accepted;
}

static bts_worker_t *
add_worker (bts_fleet_t *fleet, guint i, gboolean has_room)
{
  bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
  entry->id = g_strdup_printf ("%u", i);
  entry->address = g_strdup_printf ("10.0.0.%u:1", i);
  entry->service = g_strdup ("main");
  entry->zone = g_strdup ("");
  entry->labels = g_new0 (char *, 1);
  entry->cpu_millis = CPU_MILLIS;
  bts_fleet_update_entry (fleet, entry);
  bts_worker_t *worker = bts_fleet_find_worker (fleet, entry->id);
  worker->synced = TRUE;
  worker->held = TRUE;
  worker->last_reply_us = NOW_US;
  worker->used.cpu_millis = has_room ? 0 : 1;
  return worker;
}

static void
advise (bts_stage_t *stage, const bts_worker_t *worker, char what)
{
  const struct
  {
    char what;
    gint64 age_us;
  } tickets[] = { { 'v', 0 }, { 's', VALIDITY_MS * 1000 - CALL_US }, { 'e', VALIDITY_MS * 1000 } };
  if (what != 'u')
    bts_stage_record_denied (stage, worker->number);
  for (guint i = 0; i < G_N_ELEMENTS (tickets); i++)
    if (tickets[i].what == what)
      bts_stage_record_allowed (stage, worker->number, "t", NOW_US - tickets[i].age_us);
}

/* Guards against a gang that spends its requests on single workers that have just become free,
   while it has room on others and lacks nothing but their tickets (SHORT on ravi-hq-large). */
START_TEST (request_of_a_gang_names_what_lets_it_start)
{
  bts_fleet_t fleet;
  bts_fleet_init (&fleet);
  bts_job_t *job = bts_job_new (new_gang (), 0, NOW_US);
  bts_stage_t *stage = &bts_job_ensure_occurrence (job, 0)->stages[0];
  bts_stage_begin_advice (stage);
  const char *workers = cases[_i].workers;
  for (guint i = 0; i < strlen (workers); i++)
    advise (stage, add_worker (&fleet, i, isupper (workers[i])), (char)tolower (workers[i]));
  g_autoptr (GPtrArray) ids
      = bts_gang_request_workers (stage, &fleet, 0, 100, NOW_US + CALL_US, NOW_US);
  ck_assert_uint_eq (ids->len, strlen (cases[_i].named));
  for (guint i = 0; i < ids->len; i++)
    ck_assert_msg (strstr (cases[_i].named, ids->pdata[i]) != NULL, "%s: %s was named", workers,
                   (const char *)ids->pdata[i]);
  bts_job_free (job);
  bts_fleet_clear (&fleet);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("gang_request");
  tcase_add_loop_test (tests, request_of_a_gang_names_what_lets_it_start, 0, G_N_ELEMENTS (cases));
  return suite_run ("gang_request", tests);
}
