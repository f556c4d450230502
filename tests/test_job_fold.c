#include <string.h>

#include "libbamboothread/scheduler/job_snapshot.h"
#include "libbamboothread/scheduler/ledger.h"
#include "tests/suite.h"

/*
 * The fold of a job's records: whoever has read the journal from the offset on that the job's
 * snapshot names knows the same of the job as one that has read all of it.
 */

#define JOB_ID "00000000000000a1"
#define JOB 0xa1
#define TERM 1
#define TASKS 12
#define OCCURRENCES 3
#define SEEDS 300
/* Time between two records, in microseconds. */
#define STEP_US (10 * 1000)

static void
ignore_job (void *context, bts_job_t *job)
{
}

static void
ignore_end (void *context, bts_task_t *task, guint run, bts_run_outcome_t outcome)
{
}

static void
ignore_owner (void *context)
{
}

static void
ignore_heartbeat (void *context, const Bts__Beat *heartbeat)
{
}

static void
ignore_node (void *context, const char *name)
{
}

static const bts_ledger_ops_t ops = { .job_accepted = ignore_job,
                                      .job_cancelled = ignore_job,
                                      .run_ended = ignore_end,
                                      .job_ended = ignore_job,
                                      .owner_changed = ignore_owner,
                                      .heartbeat = ignore_heartbeat,
                                      .node_seen = ignore_node,
                                      .job_removed = ignore_job };

/**
 * struct journal_t - a journal, and what one that has read all of it knows
 * @records: GBytes
 * @late: GBytes of records that are still on their way
 * @last_runs: by occurrence and task, the number of its newest run
 */
typedef struct
{
  GRand *random;
  GPtrArray *records;
  GPtrArray *late;
  bts_ledger_t *ledger;
  guint last_runs[OCCURRENCES][TASKS];
} journal_t;

static void
fold (bts_ledger_t *ledger, const GPtrArray *records, guint i)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (records->pdata[i], &len);
  ck_assert (bts_ledger_fold (ledger, i, data, len, (gint64)i * STEP_US, NULL));
}

static void
append_bytes (journal_t *journal, GBytes *record)
{
  g_ptr_array_add (journal->records, record);
  fold (journal->ledger, journal->records, journal->records->len - 1);
}

static void
append (journal_t *journal, const Bts__Record *record)
{
  append_bytes (journal, bts_message_pack (&record->base));
}

static void
append_job (journal_t *journal)
{
  Bts__Claim claim = BTS__CLAIM__INIT;
  claim.term = TERM;
  claim.node = (char *)"vm-1/1";
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_CLAIM;
  record.claim = &claim;
  append (journal, &record);
  Bts__Step step = BTS__STEP__INIT;
  step.count = TASKS;
  Bts__Step *steps[] = { &step };
  Bts__Policy policy = BTS__POLICY__INIT;
  policy.attempts_max = 1000;
  Bts__Accepted accepted = BTS__ACCEPTED__INIT;
  accepted.id = (char *)JOB_ID;
  accepted.policy = &policy;
  accepted.n_steps = 1;
  accepted.steps = steps;
  accepted.repeat = OCCURRENCES;
  accepted.interval_ms = 1;
  record.kind_case = BTS__RECORD__KIND_ACCEPTED;
  record.accepted = &accepted;
  append (journal, &record);
}

/* Appends a heartbeat with the ends of some tasks. */
static void
append_ends (journal_t *journal)
{
  Bts__End ends[4];
  Bts__End *listed[G_N_ELEMENTS (ends)];
  guint n = (guint)g_rand_int_range (journal->random, 0, G_N_ELEMENTS (ends) + 1);
  for (guint i = 0; i < n; i++)
    {
      guint occurrence = (guint)g_rand_int_range (journal->random, 0, OCCURRENCES);
      guint index = (guint)g_rand_int_range (journal->random, 0, TASKS);
      bts__end__init (&ends[i]);
      ends[i].job = JOB;
      ends[i].occurrence = occurrence;
      ends[i].index = index;
      ends[i].run = ++journal->last_runs[occurrence][index];
      ends[i].how = g_rand_boolean (journal->random) ? BTS_OUTCOME_DONE : BTS_OUTCOME_FAILED;
      listed[i] = &ends[i];
    }
  Bts__Beat beat = BTS__BEAT__INIT;
  beat.term = TERM;
  beat.n_ends = n;
  beat.ends = listed;
  Bts__Record record = BTS__RECORD__INIT;
  record.kind_case = BTS__RECORD__KIND_BEAT;
  record.beat = &beat;
  append (journal, &record);
}

static void
keep_late (void *context, const Bts__Record *record)
{
  g_ptr_array_add (context, bts_message_pack (&record->base));
}

static const bts_job_t *
job_of (const bts_ledger_t *ledger)
{
  return bts_ledger_job (ledger, JOB_ID);
}

static void
write_snapshot (const bts_ledger_t *ledger, GPtrArray *records)
{
  const bts_job_snapshot_t snapshot = { job_of (ledger), TERM, bts_ledger_next_offset (ledger) };
  bts_job_snapshot_write (&snapshot, keep_late, records);
}

static journal_t *
journal_new (guint32 seed)
{
  journal_t *journal = g_new0 (journal_t, 1);
  journal->random = g_rand_new_with_seed (seed);
  journal->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  journal->late = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  journal->ledger = bts_ledger_new (&ops, NULL);
  append_job (journal);
  return journal;
}

static void
journal_free (journal_t *journal)
{
  bts_ledger_free (journal->ledger);
  g_ptr_array_unref (journal->records);
  g_ptr_array_unref (journal->late);
  g_rand_free (journal->random);
  g_free (journal);
}

static void
land_first (journal_t *journal)
{
  append_bytes (journal, g_ptr_array_steal_index (journal->late, 0));
}

/* What is known of the job, as bytes. */
static GBytes *
state_of (const bts_ledger_t *ledger)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new ();
  const bts_job_snapshot_t snapshot = { job_of (ledger), TERM, 0 };
  bts_job_snapshot_write (&snapshot, keep_late, records);
  return records->pdata[0];
}

static void
expect_same_state (const journal_t *journal, guint from, guint32 seed)
{
  bts_ledger_t *reader = bts_ledger_new (&ops, NULL);
  for (guint i = from; i < journal->records->len; i++)
    fold (reader, journal->records, i);
  ck_assert_msg (job_of (reader) != NULL, "seed %u: the job isn't known from %u on", seed, from);
  g_autoptr (GBytes) whole = state_of (journal->ledger);
  g_autoptr (GBytes) read = state_of (reader);
  ck_assert_msg (g_bytes_equal (whole, read), "seed %u: another state from %u on", seed, from);
  bts_ledger_free (reader);
}

/* Guards against ends that land between the writing of a snapshot and its landing, and that a
   process which starts to read there never learns of. */
START_TEST (reader_from_the_snapshot_knows_all)
{
  guint32 seed = (guint32)_i;
  journal_t *journal = journal_new (seed);
  for (guint i = 0; i < 40 && !bts_job_has_ended (job_of (journal->ledger)); i++)
    {
      append_ends (journal);
      if (journal->late->len == 0 && g_rand_int_range (journal->random, 0, 3) == 0)
        write_snapshot (journal->ledger, journal->late);
      if (journal->late->len > 0 && g_rand_int_range (journal->random, 0, 3) == 0)
        land_first (journal);
      if (!bts_job_has_ended (job_of (journal->ledger)))
        expect_same_state (journal, (guint)job_of (journal->ledger)->snapshot_offset, seed);
    }
  journal_free (journal);
}
END_TEST

/* Guards against a snapshot of an owner that has skipped records: it says that it has seen them,
   and lacks their ends. */
START_TEST (snapshot_of_an_owner_that_lacks_records)
{
  journal_t *journal = journal_new (1);
  write_snapshot (journal->ledger, journal->late);
  do
    append_ends (journal);
  while (journal->last_runs[0][0] == 0);
  gint64 before = job_of (journal->ledger)->snapshot_offset;
  Bts__Record *record = NULL;
  gsize len;
  const guint8 *data = g_bytes_get_data (journal->late->pdata[0], &len);
  record = bts__record__unpack (NULL, len, data);
  record->kept->seen = (guint64)bts_ledger_next_offset (journal->ledger);
  append (journal, record);
  bts__record__free_unpacked (record, NULL);
  ck_assert_int_eq (job_of (journal->ledger)->snapshot_offset, before);
  journal_free (journal);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("job_fold");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, reader_from_the_snapshot_knows_all, 0, SEEDS);
  tcase_add_test (tests, snapshot_of_an_owner_that_lacks_records);
  return suite_run ("job_fold", tests);
}
