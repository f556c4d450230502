#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fuzz/run.h"

/*
 * Plays seeded schedules until something is violated or the time is over,
 * replays one, or shrinks one that fails.
 */

typedef struct
{
  int first;
  int count;
  int step;
  int minutes;
  int shrink;
  int verbose;
  int quiet;
  char *replay;
  char *write;
} options_t;

static int
report (const fuzz_schedule_t *schedule, const fuzz_result_t *result)
{
  if (result->violated == ORACLE_NONE)
    return 0;
  printf ("violated: %s: %s\nreplay: tools/fuzz --replay-seed %u\nshrink: tools/fuzz --shrink-seed "
          "%u\n",
          oracle_invariant_names[result->violated], result->what, schedule->seed, schedule->seed);
  fflush (stdout);
  return 1;
}

static int
run_seeds (const options_t *options)
{
  fuzz_result_t result = { 0 };
  gint64 end = g_get_monotonic_time () + (gint64)options->minutes * 60 * G_USEC_PER_SEC;
  int failed = 0;
  for (guint i = 0; options->minutes > 0 ? g_get_monotonic_time () < end : (int)i < options->count;
       i++)
    {
      guint32 seed = (guint32)options->first + i * (guint32)options->step;
      fuzz_schedule_t *schedule = fuzz_schedule_new (seed);
      fuzz_run (schedule, options->verbose, &result);
      failed += report (schedule, &result);
      fuzz_schedule_free (schedule);
    }
  g_autofree char *text = fuzz_result_text (&result);
  if (!options->quiet)
    fputs (text, stdout);
  printf ("runs: %" G_GUINT64_FORMAT " steps: %" G_GUINT64_FORMAT " failed: %d\n", result.runs,
          result.steps, failed);
  fuzz_result_clear (&result);
  return failed > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

static gboolean
fails_alike (const fuzz_schedule_t *schedule, oracle_invariant_t wanted)
{
  fuzz_result_t result = { 0 };
  fuzz_run (schedule, FALSE, &result);
  gboolean alike = result.violated == wanted;
  fuzz_result_clear (&result);
  return alike;
}

/* Leaves out a run of actions if the rest fails alike. */
static gboolean
leave_out (fuzz_schedule_t **schedule, guint from, guint n, oracle_invariant_t wanted)
{
  fuzz_schedule_t *without = fuzz_schedule_copy (*schedule);
  g_array_remove_range (without->actions, from, MIN (n, without->actions->len - from));
  if (!fails_alike (without, wanted))
    {
      fuzz_schedule_free (without);
      return FALSE;
    }
  fuzz_schedule_free (*schedule);
  *schedule = without;
  return TRUE;
}

static void
shrink (fuzz_schedule_t **schedule, oracle_invariant_t wanted)
{
  for (guint n = (*schedule)->actions->len / 2; n > 0;)
    {
      gboolean shrunk = FALSE;
      for (guint from = 0; from < (*schedule)->actions->len;)
        if (leave_out (schedule, from, n, wanted))
          shrunk = TRUE;
        else
          from += n;
      fprintf (stderr, "%u actions left\n", (*schedule)->actions->len);
      if (n > 1 || !shrunk)
        n /= 2;
    }
}

static int
run_one (const options_t *options, fuzz_schedule_t *schedule)
{
  fuzz_result_t result = { 0 };
  fuzz_run (schedule, options->verbose, &result);
  if (options->shrink && result.violated != ORACLE_NONE)
    shrink (&schedule, result.violated);
  g_autofree char *text = fuzz_schedule_text (schedule);
  if (options->write != NULL)
    g_file_set_contents (options->write, text, -1, NULL);
  else if (options->shrink)
    fputs (text, stdout);
  int failed = report (schedule, &result);
  if (failed == 0)
    printf ("nothing is violated\n");
  fuzz_result_clear (&result);
  fuzz_schedule_free (schedule);
  return failed > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int
replay_file (const options_t *options)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (options->replay, &text, NULL, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_FAILURE;
    }
  fuzz_schedule_t *schedule = fuzz_schedule_parse (text);
  if (schedule == NULL)
    {
      fprintf (stderr, "%s: no schedule\n", options->replay);
      return EXIT_FAILURE;
    }
  return run_one (options, schedule);
}

int
main (int argc, const char **argv)
{
  options_t options = { .first = 1, .count = 0, .step = 1 };
  const struct poptOption table[]
      = { { "seed", 's', POPT_ARG_INT, &options.first, 0, "first seed", "SEED" },
          { "count", 'n', POPT_ARG_INT, &options.count, 0, "how many seeds", "N" },
          { "step", 0, POPT_ARG_INT, &options.step, 0, "from one seed to the next", "N" },
          { "minutes", 'm', POPT_ARG_INT, &options.minutes, 0, "run for so long", "N" },
          { "replay", 0, POPT_ARG_STRING, &options.replay, 0, "play a schedule", "FILE" },
          { "write", 0, POPT_ARG_STRING, &options.write, 0, "write the schedule", "FILE" },
          { "shrink", 0, POPT_ARG_NONE, &options.shrink, 0, "shrink what fails", NULL },
          { "verbose", 'v', POPT_ARG_NONE, &options.verbose, 0, "print what happens", NULL },
          { "quiet", 'q', POPT_ARG_NONE, &options.quiet, 0, "print no counts", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("fuzz", argc, argv, table, 0);
  int bad = poptGetNextOpt (context);
  if (bad < -1)
    fprintf (stderr, "%s: %s\n", poptBadOption (context, 0), poptStrerror (bad));
  poptFreeContext (context);
  if (bad < -1)
    return EXIT_FAILURE;
  if (options.replay != NULL)
    return replay_file (&options);
  if (options.count > 0 || options.minutes > 0)
    return run_seeds (&options);
  return run_one (&options, fuzz_schedule_new ((guint32)options.first));
}
