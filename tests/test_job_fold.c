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
/* Records into which the whole state of the job fits, and into which some states of tasks fit. */
#define WHOLE_BYTES (64 * 1024)
#define PART_BYTES (512 + 120)

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
 * @record_bytes: size of the largest record
 * @last_runs: by occurrence and task, the number of its newest run
 */
typedef struct
{
  GRand *random;
  GPtrArray *records;
  GPtrArray *late;
  gsize record_bytes;
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
write_snapshot (journal_t *journal)
{
  const bts_job_snapshot_t snapshot
      = { job_of (journal->ledger), TERM, bts_ledger_next_offset (journal->ledger),
          journal->record_bytes };
  bts_job_snapshot_write (&snapshot, keep_late, journal->late);
}

static journal_t *
journal_new (guint32 seed, gsize record_bytes)
{
  journal_t *journal = g_new0 (journal_t, 1);
  journal->random = g_rand_new_with_seed (seed);
  journal->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  journal->late = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  journal->ledger = bts_ledger_new (&ops, NULL);
  journal->record_bytes = record_bytes;
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
land (journal_t *journal, guint i)
{
  append_bytes (journal, g_ptr_array_steal_index (journal->late, i));
}

/* What is known of the job. Of a task that is done, nothing else matters. */
static char *
state_of (const bts_ledger_t *ledger)
{
  const bts_job_t *job = job_of (ledger);
  GString *state = g_string_new (job->begun ? "begun" : "");
  guint n;
  const bts_range_t *done = bts_ranges_list (job->done, &n);
  for (guint i = 0; i < n; i++)
    g_string_append_printf (state, " %u-%u", done[i].first, done[i].last);
  bts_task_walk_t walk = { 0 };
  const bts_task_t *task;
  while ((task = bts_job_next_task (job, &walk)) != NULL)
    {
      guint occurrence = task->stage->occurrence;
      if (bts_ranges_contains (job->done, occurrence, occurrence))
        continue;
      if (task->done)
        g_string_append_printf (state, " %u.%u", occurrence, task->index);
      else if (task->ended_run != 0)
        g_string_append_printf (state, " %u.%u:%u:%u", occurrence, task->index, task->ended_run,
                                task->fails);
    }
  return g_string_free (state, FALSE);
}

/* All that is known of the job, as the bytes of its snapshot. */
static GBytes *
snapshot_of (const bts_ledger_t *ledger)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new ();
  const bts_job_snapshot_t snapshot = { job_of (ledger), TERM, 0, WHOLE_BYTES };
  bts_job_snapshot_write (&snapshot, keep_late, records);
  ck_assert_uint_eq (records->len, 1);
  return records->pdata[0];
}

static void
expect_same_state (const journal_t *journal, guint from, guint32 seed)
{
  bts_ledger_t *reader = bts_ledger_new (&ops, NULL);
  bts_ledger_skip (reader, from);
  for (guint i = from; i < journal->records->len; i++)
    fold (reader, journal->records, i);
  ck_assert_msg (job_of (reader) != NULL, "seed %u: the job isn't known from %u on", seed, from);
  /* Parts have no numbers of runs for tasks that are done. */
  g_autoptr (GBytes) whole_bytes = snapshot_of (journal->ledger);
  g_autoptr (GBytes) read_bytes = snapshot_of (reader);
  ck_assert_msg (journal->record_bytes != WHOLE_BYTES || g_bytes_equal (whole_bytes, read_bytes),
                 "seed %u: another state from %u on", seed, from);
  g_autofree char *whole = state_of (journal->ledger);
  g_autofree char *read = state_of (reader);
  ck_assert_msg (strcmp (whole, read) == 0, "seed %u: from %u on \"%s\", and not \"%s\"", seed,
                 from, read, whole);
  bts_ledger_free (reader);
}

/* Guards against ends that land between the writing of a snapshot and its landing, and that a
   process which starts to read there never learns of. */
START_TEST (reader_from_the_snapshot_knows_all)
{
  guint32 seed = (guint32)_i;
  journal_t *journal = journal_new (seed, WHOLE_BYTES);
  for (guint i = 0; i < 40 && !bts_job_has_ended (job_of (journal->ledger)); i++)
    {
      append_ends (journal);
      if (journal->late->len == 0 && g_rand_int_range (journal->random, 0, 3) == 0)
        write_snapshot (journal);
      if (journal->late->len > 0 && g_rand_int_range (journal->random, 0, 3) == 0)
        land (journal, 0);
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
  journal_t *journal = journal_new (1, WHOLE_BYTES);
  write_snapshot (journal);
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

/* Lands some of the records that are on their way, in any order; loses some. */
static void
land_some (journal_t *journal)
{
  guint n = (guint)g_rand_int_range (journal->random, 0, (gint32)journal->late->len + 1);
  for (; n > 0; n--)
    {
      guint i = (guint)g_rand_int_range (journal->random, 0, (gint32)journal->late->len);
      if (g_rand_int_range (journal->random, 0, 30) == 0)
        g_ptr_array_remove_index (journal->late, i);
      else
        land (journal, i);
    }
}

/* Guards against parts of a snapshot that fold only in their order, or count as a whole although
   one of them was lost or is of another snapshot (review/13). */
START_TEST (reader_from_the_parts_knows_all)
{
  guint32 seed = (guint32)_i;
  journal_t *journal = journal_new (seed, PART_BYTES);
  for (guint i = 0; i < 60 && !bts_job_has_ended (job_of (journal->ledger)); i++)
    {
      append_ends (journal);
      if (g_rand_int_range (journal->random, 0, 4) == 0)
        write_snapshot (journal);
      if (g_rand_boolean (journal->random))
        land_some (journal);
      if (bts_job_has_ended (job_of (journal->ledger)))
        break;
      expect_same_state (journal, (guint)job_of (journal->ledger)->snapshot_offset, seed);
    }
  /* Without losses, the whole is known from the last snapshot on. */
  g_ptr_array_set_size (journal->late, 0);
  gint64 seen = bts_ledger_next_offset (journal->ledger);
  if (!bts_job_has_ended (job_of (journal->ledger)))
    write_snapshot (journal);
  while (journal->late->len > 0)
    land (journal, (guint)g_rand_int_range (journal->random, 0, (gint32)journal->late->len));
  if (!bts_job_has_ended (job_of (journal->ledger)))
    {
      ck_assert_int_eq (job_of (journal->ledger)->snapshot_offset, seen);
      expect_same_state (journal, (guint)seen, seed);
    }
  journal_free (journal);
}
END_TEST

static void
expect_part (void *context, const Bts__Record *record)
{
  guint *n = context;
  (*n)++;
  ck_assert_uint_le (protobuf_c_message_get_packed_size (&record->base), WHOLE_BYTES);
  ck_assert_uint_eq (record->kept->part, *n - 1);
}

/* Guards against a record that grows with the tasks that have ended. */
START_TEST (parts_are_bounded)
{
  Bts__Step step = BTS__STEP__INIT;
  step.count = BTS_TASKS_MAX;
  Bts__Step *steps[] = { &step };
  Bts__Policy policy = BTS__POLICY__INIT;
  Bts__Accepted accepted = BTS__ACCEPTED__INIT;
  accepted.id = (char *)JOB_ID;
  accepted.policy = &policy;
  accepted.n_steps = 1;
  accepted.steps = steps;
  accepted.repeat = 40000;
  g_autofree guint8 *packed = g_malloc (bts__accepted__get_packed_size (&accepted));
  gsize len = bts__accepted__pack (&accepted, packed);
  bts_job_t *job = bts_job_new (bts__accepted__unpack (NULL, len, packed), 0, 0);
  /* Ends that make no ranges, and occurrences that are done and make none. */
  for (guint i = 0; i < 20000; i++)
    bts_job_set_done_range (job, 100 + 2 * i - i % 2, 100 + 2 * i - i % 2);
  for (guint occurrence = 0; occurrence < 8; occurrence++)
    for (guint i = 0; i < BTS_TASKS_MAX; i += 2)
      {
        bts_task_t *task = bts_stage_task (bts_job_stage (job, occurrence, 0), i);
        bts_task_set_checkpoint (task, "00000bb87a21d94b");
        task->ended_run = 1 + _i;
        if (i % 4 == 0)
          bts_task_set_done (task);
      }
  const bts_job_snapshot_t snapshot = { job, TERM, 1, WHOLE_BYTES };
  guint n = 0;
  bts_job_snapshot_write (&snapshot, expect_part, &n);
  ck_assert_uint_gt (n, 1);
  bts_job_free (job);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("job_fold");
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, reader_from_the_snapshot_knows_all, 0, SEEDS);
  tcase_add_loop_test (tests, reader_from_the_parts_knows_all, 0, SEEDS);
  tcase_add_loop_test (tests, parts_are_bounded, 0, 2);
  tcase_add_test (tests, snapshot_of_an_owner_that_lacks_records);
  return suite_run ("job_fold", tests);
}
