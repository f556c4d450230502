#include <math.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/scheduler/interference.h"
#include "libbamboothread/scheduler/place.h"
#include "libbamboothread/scheduler/sched_private.h"
#include "tests/suite.h"

/*
 * Which classes of tasks slow each other down, learned from noisy lengths of runs, without a
 * network or a scheduler. Numbers of runs and rates are computed from the statistic; see
 * docs/design/interference.md.
 */

/* Largest share of seeds in which a planted pair may stay unknown for the stated number of runs, or
   known after it. */
#define MISS_RATE 0.01
/* Largest share of innocent pairs that are accused in their first RUNS_JUDGED runs beside each
   other. */
#define ACCUSATION_RATE 0.002
#define RUNS_JUDGED 1000
/* Share of runs that take a hundred times as long, with %NOISE_FAULTS. */
#define FAULT_RATE 0.02
/* Estimate of most runs, in milliseconds; their true length is of this size. */
#define LENGTH_MS 4000

/* Classes of the cases. */
enum
{
  CLASS_A,
  CLASS_B,
  CLASS_C,
  N_CLASSES,
};

/**
 * noise_t - how far estimates are off
 * @NOISE_HALF: by up to half, evenly
 * @NOISE_WIDE: normal logarithm, of which a third is off by more than half
 * @NOISE_FAULTS: by up to half, and one run in fifty takes a hundred times as long
 */
typedef enum
{
  NOISE_HALF,
  NOISE_WIDE,
  NOISE_FAULTS,
} noise_t;

/**
 * struct lab_t - some workers and one job of each class
 * @factor: how many times longer a run of the first class takes beside one of the second
 */
typedef struct
{
  bts_fleet_t fleet;
  bts_interference_t *interference;
  GPtrArray *workers;
  bts_job_t *jobs[N_CLASSES];
  double factor[N_CLASSES][N_CLASSES];
  noise_t noise;
  GRand *random;
  gint64 now_us;
} lab_t;

static Bts__Accepted *
accepted_new (const char *image, guint n_tasks)
{
  Bts__Accepted *accepted = malloc (sizeof *accepted);
  bts__accepted__init (accepted);
  accepted->id = strdup ("00000000000000aa");
  accepted->policy = malloc (sizeof *accepted->policy);
  bts__policy__init (accepted->policy);
  accepted->policy->route = strdup ("route");
  accepted->policy->service = strdup ("main");
  accepted->policy->priority = 1;
  accepted->steps = calloc (1, sizeof *accepted->steps);
  accepted->steps[0] = malloc (sizeof *accepted->steps[0]);
  bts__step__init (accepted->steps[0]);
  accepted->steps[0]->count = n_tasks;
  accepted->steps[0]->estimate_ms = LENGTH_MS;
  accepted->steps[0]->image = strdup (image);
  accepted->n_steps = 1;
  return accepted;
}

static bts_worker_t *
add_worker (lab_t *lab, const char *kind)
{
  bts_worker_entry_t *entry = g_new0 (bts_worker_entry_t, 1);
  entry->id = g_strdup_printf ("w-%02u", lab->workers->len);
  entry->address = g_strdup ("10.0.0.1:1");
  entry->service = g_strdup ("main");
  entry->zone = g_strdup ("here");
  entry->cpu_millis = 10000;
  entry->memory_mb = 10000;
  const char *labels[] = { kind, "r1", NULL };
  entry->labels = g_strdupv ((char **)labels);
  bts_fleet_update_entry (&lab->fleet, entry);
  bts_worker_t *worker = bts_fleet_find_worker (&lab->fleet, entry->id);
  worker->held = TRUE;
  worker->synced = TRUE;
  worker->last_reply_us = lab->now_us;
  g_ptr_array_add (lab->workers, worker);
  return worker;
}

static lab_t *
lab_new (guint32 seed)
{
  static const char *const images[N_CLASSES] = { "a", "b", "c" };
  lab_t *lab = g_new0 (lab_t, 1);
  bts_fleet_init (&lab->fleet);
  lab->interference = bts_interference_new ();
  lab->workers = g_ptr_array_new ();
  lab->random = g_rand_new_with_seed (seed);
  lab->now_us = G_USEC_PER_SEC;
  for (guint i = 0; i < N_CLASSES; i++)
    {
      lab->jobs[i] = bts_job_new (accepted_new (images[i], 1), 0, 0);
      for (guint k = 0; k < N_CLASSES; k++)
        lab->factor[i][k] = 1;
    }
  add_worker (lab, "x");
  return lab;
}

static void
lab_free (lab_t *lab)
{
  bts_interference_free (lab->interference);
  bts_fleet_clear (&lab->fleet);
  g_ptr_array_unref (lab->workers);
  for (guint i = 0; i < N_CLASSES; i++)
    bts_job_free (lab->jobs[i]);
  g_rand_free (lab->random);
  g_free (lab);
}

static bts_stage_t *
stage_of (lab_t *lab, guint class_number)
{
  return &bts_job_ensure_occurrence (lab->jobs[class_number], 0)->stages[0];
}

static bts_run_t *
add_run (lab_t *lab, bts_stage_t *stage, bts_worker_t *worker)
{
  bts_run_t *run = g_new0 (bts_run_t, 1);
  run->task = bts_stage_task (stage, 0);
  run->name = g_strdup ("task");
  run->state = BTS_RUN_RUNNING;
  run->created_us = lab->now_us;
  run->startup_end_us = lab->now_us;
  run->resources = bts_place_demand (bts_stage_step (stage));
  bts_worker_add_run (worker, run);
  bts_interference_on_run_added (lab->interference, run, lab->now_us);
  return run;
}

static void
remove_run (lab_t *lab, bts_run_t *run)
{
  bts_interference_on_run_removed (lab->interference, run, lab->now_us);
  bts_worker_remove_run (run->worker, run);
  bts_run_free (run);
}

static void
end_run (lab_t *lab, bts_run_t *run)
{
  bts_interference_on_run_done (lab->interference, run, lab->now_us);
  remove_run (lab, run);
}

/* Normally distributed, of mean 0 and variance 1 (Box and Muller). */
static double
normal (GRand *random)
{
  return sqrt (-2 * log (1 - g_rand_double (random))) * cos (2 * G_PI * g_rand_double (random));
}

/* How many times longer than its estimate a run takes that nothing slows down. */
static double
draw_ratio (const lab_t *lab)
{
  if (lab->noise == NOISE_WIDE)
    return exp (0.5 * normal (lab->random));
  double fault = lab->noise == NOISE_FAULTS && g_rand_double (lab->random) < FAULT_RATE ? 100 : 1;
  return fault / g_rand_double_range (lab->random, 0.5, 1.5);
}

/* Runs a task on a worker for as long as it takes there beside the classes in @beside, one bit for
   each; @slow is the worker's. */
static void
play_run (lab_t *lab, guint own, bts_worker_t *worker, guint beside, double slow)
{
  GPtrArray *others = g_ptr_array_new ();
  double ratio = draw_ratio (lab) * slow;
  for (guint i = 0; i < N_CLASSES; i++)
    if ((beside >> i & 1) != 0)
      {
        ratio *= lab->factor[own][i];
        g_ptr_array_add (others, add_run (lab, stage_of (lab, i), worker));
      }
  bts_run_t *run = add_run (lab, stage_of (lab, own), worker);
  lab->now_us += (gint64)(LENGTH_MS * ratio * 1000);
  end_run (lab, run);
  for (guint i = 0; i < others->len; i++)
    remove_run (lab, others->pdata[i]);
  g_ptr_array_unref (others);
}

static void
play_pair (lab_t *lab, guint own, guint other, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      play_run (lab, own, lab->workers->pdata[0], 1u << other, 1);
      play_run (lab, own, lab->workers->pdata[0], 0, 1);
    }
}

static gboolean
is_known (lab_t *lab, guint slowed, guint neighbour)
{
  return bts_interference_is_known (lab->interference, stage_of (lab, slowed),
                                    stage_of (lab, neighbour), lab->workers->pdata[0]);
}

/* Largest number of events in @n trials of probability @rate that is exceeded less often than once
   in a thousand times (Poisson). */
static guint
most_events (guint n, double rate)
{
  double mean = n * rate;
  double term = exp (-mean);
  double sum = term;
  guint k = 0;
  while (sum < 0.999)
    {
      k++;
      term *= mean / k;
      sum += term;
    }
  return k;
}

/* Variance of the logarithm of estimates that are evenly off by up to half. */
#define HALF_VARIANCE 0.0948

/* An outlier is moved to this distance from the mean of its class. */
#define OUTLIER_DISTANCE 1.4

static double
pooled_variance (double runs, noise_t noise)
{
  double prior = BTS_INTERFERENCE_PRIOR_RUNS;
  double faults = noise == NOISE_FAULTS ? FAULT_RATE * OUTLIER_DISTANCE * OUTLIER_DISTANCE : 0;
  return (prior * BTS_INTERFERENCE_PRIOR_VARIANCE + runs * (HALF_VARIANCE + faults))
         / (prior + runs);
}

/**
 * Planted pairs.
 * @runs: runs beside each other, and as many without, after which the pair is known
 * @forgotten: the same after it has stopped, until it is forgotten
 */
static const struct
{
  double factor;
  noise_t noise;
  guint runs;
  guint forgotten;
} planted[] = {
  { 1.2, NOISE_HALF, 300, 600 },
  { 1.5, NOISE_HALF, 70, 750 },
  { 2.0, NOISE_HALF, 30, 850 },
  { 1.5, NOISE_FAULTS, 100, 750 },
};

/* Runs after which the expected difference is the threshold and three standard errors. With more
   runs than the means keep, it stays there while the means go on to vary. */
static double
computed_runs (double factor, noise_t noise)
{
  double z = BTS_INTERFERENCE_Z_FOUND + 3;
  double runs = BTS_INTERFERENCE_RUNS_MIN;
  for (guint i = 0; i < 20; i++)
    runs = MAX (2 * z * z * pooled_variance (runs, noise) / (log (factor) * log (factor)),
                BTS_INTERFERENCE_RUNS_MIN);
  return runs;
}

/* Runs after which the expected difference of two means that keep RUNS_MAX runs is so far below the
   lower threshold that noise lifts it over that in one case of a hundred. Such a moving average
   varies as the mean of twice as many runs, so that the difference, in standard errors, has a
   standard deviation of the root of a half. */
static double
computed_forgotten (double factor, noise_t noise)
{
  double kept = BTS_INTERFERENCE_RUNS_MAX;
  double z = log (factor) / sqrt (2 * pooled_variance (kept, noise) / kept);
  return kept * log (z / (BTS_INTERFERENCE_Z_FORGOTTEN - 2.33 * G_SQRT2 / 2));
}

/* Guards against stated numbers that the statistic doesn't hold. */
START_TEST (stated_runs_are_computed)
{
  ck_assert_double_le (computed_runs (planted[_i].factor, planted[_i].noise), planted[_i].runs);
  ck_assert_double_le (computed_forgotten (planted[_i].factor, planted[_i].noise),
                       planted[_i].forgotten);
}
END_TEST

#define PLANTED_SEEDS 300

/* Guards against a pair that interferes and is never kept apart. */
START_TEST (planted_pair_is_found)
{
  guint missed = 0;
  for (guint seed = 0; seed < PLANTED_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      lab->noise = planted[_i].noise;
      lab->factor[CLASS_A][CLASS_B] = planted[_i].factor;
      play_pair (lab, CLASS_A, CLASS_B, planted[_i].runs);
      missed += !is_known (lab, CLASS_A, CLASS_B);
      lab_free (lab);
    }
  ck_assert_uint_le (missed, most_events (PLANTED_SEEDS, MISS_RATE));
}
END_TEST

/* Guards against a pair that is kept apart for ever although it has stopped. */
START_TEST (stopped_pair_is_forgotten)
{
  guint kept = 0;
  for (guint seed = 0; seed < PLANTED_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      lab->noise = planted[_i].noise;
      lab->factor[CLASS_A][CLASS_B] = planted[_i].factor;
      play_pair (lab, CLASS_A, CLASS_B, 2 * BTS_INTERFERENCE_RUNS_MAX);
      lab->factor[CLASS_A][CLASS_B] = 1;
      play_pair (lab, CLASS_A, CLASS_B, planted[_i].forgotten);
      kept += is_known (lab, CLASS_A, CLASS_B);
      lab_free (lab);
    }
  ck_assert_uint_le (kept, most_events (PLANTED_SEEDS, MISS_RATE));
}
END_TEST

/* Guards against a pair that is never measured again because placement keeps it apart. */
START_TEST (pair_kept_apart_is_forgotten)
{
  lab_t *lab = lab_new (1);
  lab->factor[CLASS_A][CLASS_B] = 2;
  play_pair (lab, CLASS_A, CLASS_B, BTS_INTERFERENCE_RUNS_MAX);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  for (guint i = 0; i < BTS_INTERFERENCE_FADE_RUNS / 4; i++)
    play_run (lab, CLASS_A, lab->workers->pdata[0], 0, 1);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  for (guint i = 0; i < 4 * BTS_INTERFERENCE_FADE_RUNS; i++)
    play_run (lab, CLASS_A, lab->workers->pdata[0], 0, 1);
  ck_assert (!is_known (lab, CLASS_A, CLASS_B));
  play_pair (lab, CLASS_A, CLASS_B, planted[2].runs);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  lab_free (lab);
}
END_TEST

static const struct
{
  const char *name;
  noise_t noise;
  double beside_share;
  double own_factor;
} innocents[] = {
  { "half", NOISE_HALF, 0.5, 1 },          { "seldom_beside", NOISE_HALF, 0.1, 1 },
  { "mostly_beside", NOISE_HALF, 0.9, 1 }, { "wide", NOISE_WIDE, 0.5, 1 },
  { "faults", NOISE_FAULTS, 0.5, 1 },      { "slow_by_itself", NOISE_HALF, 0.5, 3 },
};

#define INNOCENT_SEEDS 300

/* Guards against work that is spread for no reason. The last case is a class that takes three times
   as long as estimated wherever it runs. */
START_TEST (innocent_pair_is_not_accused)
{
  guint accused = 0;
  for (guint seed = 0; seed < INNOCENT_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      lab->noise = innocents[_i].noise;
      gboolean was_known = FALSE;
      for (guint n = 0; n < RUNS_JUDGED;)
        {
          gboolean beside = g_rand_double (lab->random) < innocents[_i].beside_share;
          play_run (lab, CLASS_A, lab->workers->pdata[0], beside ? 1u << CLASS_B : 0,
                    innocents[_i].own_factor);
          was_known |= bts_interference_count_known (lab->interference) > 0;
          n += beside;
        }
      accused += was_known;
      lab_free (lab);
    }
  ck_assert_msg (accused <= most_events (INNOCENT_SEEDS, ACCUSATION_RATE), "%s: %u of %u",
                 innocents[_i].name, accused, INNOCENT_SEEDS);
}
END_TEST

/* Guards against a pair of which each class is blamed although only one is slowed down. */
START_TEST (only_the_slowed_class_is_known)
{
  lab_t *lab = lab_new (1);
  lab->factor[CLASS_A][CLASS_B] = 1.5;
  play_pair (lab, CLASS_A, CLASS_B, 2 * BTS_INTERFERENCE_RUNS_MAX);
  play_pair (lab, CLASS_B, CLASS_A, 2 * BTS_INTERFERENCE_RUNS_MAX);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  ck_assert (!is_known (lab, CLASS_B, CLASS_A));
  lab_free (lab);
}
END_TEST

/* Guards against a class that its own tasks slow down and that isn't spread. */
START_TEST (class_may_slow_itself_down)
{
  lab_t *lab = lab_new (1);
  lab->factor[CLASS_A][CLASS_A] = 2;
  play_pair (lab, CLASS_A, CLASS_A, planted[2].runs);
  ck_assert (is_known (lab, CLASS_A, CLASS_A));
  lab_free (lab);
}
END_TEST

/* Guards against a class that is slow and always has the same neighbour, which is then blamed:
   there is nothing to compare with. */
START_TEST (neighbour_that_is_always_there_is_not_accused)
{
  lab_t *lab = lab_new (1);
  for (guint i = 0; i < RUNS_JUDGED; i++)
    play_run (lab, CLASS_A, lab->workers->pdata[0], 1u << CLASS_B, 3);
  ck_assert_uint_eq (bts_interference_count_known (lab->interference), 0);
  lab_free (lab);
}
END_TEST

#define SPEED_SEEDS 200

/* Guards against a kind of worker that is slow: most tasks beside the second class run there. */
START_TEST (slow_kind_is_not_blamed_on_neighbours)
{
  guint accused = 0;
  for (guint seed = 0; seed < SPEED_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      add_worker (lab, "y");
      for (guint i = 0; i < RUNS_JUDGED; i++)
        {
          guint kind = i % 2;
          gboolean beside = g_rand_double (lab->random) < (kind == 1 ? 0.9 : 0.1);
          play_run (lab, CLASS_A, lab->workers->pdata[kind], beside ? 1u << CLASS_B : 0,
                    kind == 1 ? 2 : 1);
        }
      accused += bts_interference_count_known (lab->interference) > 0;
      lab_free (lab);
    }
  ck_assert_uint_le (accused, most_events (SPEED_SEEDS, ACCUSATION_RATE));
}
END_TEST

#define UNEVEN_WORKERS 12
/* Workers on which tasks of the second class last, and share of seeds in which it may be accused
   since these are slow: three workers of twelve are slower than the others by the threshold in
   many of them. */
#define UNEVEN_BESIDE 3
#define UNEVEN_RATE 0.05

/* Guards against single slow workers of a kind, on some of which a neighbour stays for ever. */
START_TEST (slow_workers_are_not_blamed_on_neighbours)
{
  guint accused = 0;
  for (guint seed = 0; seed < SPEED_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      double slow[UNEVEN_WORKERS];
      for (guint i = 0; i < UNEVEN_WORKERS; i++)
        slow[i] = 1 / g_rand_double_range (lab->random, 0.55, 1.3);
      while (lab->workers->len < UNEVEN_WORKERS)
        add_worker (lab, "x");
      gboolean was_known = FALSE;
      for (guint i = 0; i < 4 * RUNS_JUDGED; i++)
        {
          guint n = (guint)g_rand_int_range (lab->random, 0, UNEVEN_WORKERS);
          play_run (lab, CLASS_A, lab->workers->pdata[n], n < UNEVEN_BESIDE ? 1u << CLASS_B : 0,
                    slow[n]);
          was_known |= bts_interference_count_known (lab->interference) > 0;
        }
      accused += was_known;
      lab_free (lab);
    }
  ck_assert_uint_le (accused, most_events (SPEED_SEEDS, UNEVEN_RATE));
}
END_TEST

/* Guards against a neighbour that is accused because it is often there together with one that
   interferes. */
START_TEST (companion_of_a_culprit_is_acquitted)
{
  guint wrong = 0;
  for (guint seed = 0; seed < 100; seed++)
    {
      lab_t *lab = lab_new (seed);
      lab->factor[CLASS_A][CLASS_B] = 2;
      for (guint i = 0; i < 6 * RUNS_JUDGED; i++)
        {
          gboolean culprit = g_rand_double (lab->random) < 0.5;
          gboolean companion = g_rand_double (lab->random) < (culprit ? 0.8 : 0.2);
          play_run (lab, CLASS_A, lab->workers->pdata[0],
                    (culprit ? 1u << CLASS_B : 0) | (companion ? 1u << CLASS_C : 0), 1);
        }
      wrong += !is_known (lab, CLASS_A, CLASS_B) || is_known (lab, CLASS_A, CLASS_C);
      lab_free (lab);
    }
  ck_assert_uint_le (wrong, most_events (100, MISS_RATE));
}
END_TEST

/* Guards against tasks of one step that are taken for independent runs: they have one estimate,
   which is as wrong for all of them. */
START_TEST (step_counts_as_one_run)
{
  const guint n_tasks = 26;
  guint accused = 0;
  for (guint seed = 0; seed < SPEED_SEEDS; seed++)
    {
      lab_t *lab = lab_new (seed);
      bts_job_t *job = bts_job_new (accepted_new ("a", n_tasks), 0, 0);
      bts_stage_t *stage = &bts_job_ensure_occurrence (job, 0)->stages[0];
      for (guint i = 0; i < 100; i++)
        {
          double ratio = draw_ratio (lab);
          bts_run_t *other
              = i % 2 == 0 ? NULL : add_run (lab, stage_of (lab, CLASS_B), lab->workers->pdata[0]);
          for (guint t = 0; t < n_tasks; t++)
            {
              bts_run_t *run = add_run (lab, stage, lab->workers->pdata[0]);
              lab->now_us += (gint64)(LENGTH_MS * ratio * 1000);
              end_run (lab, run);
            }
          if (other != NULL)
            remove_run (lab, other);
        }
      accused += bts_interference_count_known (lab->interference) > 0;
      lab_free (lab);
      bts_job_free (job);
    }
  ck_assert_uint_le (accused, most_events (SPEED_SEEDS, ACCUSATION_RATE));
}
END_TEST

/* Shares of a run's time for which the other class is there. */
static const struct
{
  double share;
  gboolean known;
} shares[] = {
  { 0.05, FALSE },
  { 0.3, FALSE },
  { 0.6, TRUE },
  { 1.0, TRUE },
};

/* Guards against a neighbour that counts although it was there for a moment only, and against one
   that doesn't since it came late. */
START_TEST (neighbour_counts_by_its_time)
{
  lab_t *lab = lab_new (1);
  for (guint i = 0; i < 2 * BTS_INTERFERENCE_RUNS_MAX; i++)
    {
      gboolean beside = i % 2 == 0;
      gint64 length_us = (gint64)(LENGTH_MS * 1000 * draw_ratio (lab) * (beside ? 2 : 1));
      gint64 there_us = (gint64)((double)length_us * shares[_i].share);
      bts_run_t *run = add_run (lab, stage_of (lab, CLASS_A), lab->workers->pdata[0]);
      lab->now_us += length_us - there_us;
      bts_run_t *other
          = beside ? add_run (lab, stage_of (lab, CLASS_B), lab->workers->pdata[0]) : NULL;
      lab->now_us += there_us;
      end_run (lab, run);
      if (other != NULL)
        remove_run (lab, other);
    }
  ck_assert_int_eq (is_known (lab, CLASS_A, CLASS_B), shares[_i].known);
  lab_free (lab);
}
END_TEST

/* Runs whose length says nothing. */
static const struct
{
  const char *name;
  gboolean unanswered;
  gboolean resumed;
  gboolean found;
  gboolean silent;
  gboolean gang;
  gboolean lasts;
  gboolean brief;
  gboolean known;
} unusable[] = {
  { .name = "usable", .known = TRUE },
  { .name = "start without a reply", .unanswered = TRUE },
  { .name = "from a checkpoint", .resumed = TRUE },
  { .name = "started by an earlier owner", .found = TRUE },
  { .name = "worker was silent", .silent = TRUE },
  { .name = "gang", .gang = TRUE },
  { .name = "lasts", .lasts = TRUE },
  { .name = "brief", .brief = TRUE },
};

/* Guards against lengths that aren't those of the task. */
START_TEST (run_of_unknown_length_gives_no_sample)
{
  lab_t *lab = lab_new (1);
  bts_stage_t *stage = stage_of (lab, CLASS_A);
  bts_worker_t *worker = lab->workers->pdata[0];
  stage->job->accepted->steps[0]->gang = unusable[_i].gang;
  stage->job->accepted->steps[0]->long_running = unusable[_i].lasts;
  gint64 length_us = unusable[_i].brief ? 300 * 1000 : LENGTH_MS * 1000;
  for (guint i = 0; i < 4 * BTS_INTERFERENCE_RUNS_MIN; i++)
    {
      gboolean beside = i % 2 == 0;
      bts_run_t *other = beside ? add_run (lab, stage_of (lab, CLASS_B), worker) : NULL;
      bts_run_t *run = add_run (lab, stage, worker);
      run->unanswered_starts = unusable[_i].unanswered;
      run->checkpoint = unusable[_i].resumed ? g_strdup ("saved") : NULL;
      run->startup_end_us = unusable[_i].found ? 0 : run->startup_end_us;
      lab->now_us += beside ? 3 * length_us : length_us;
      worker->silent_us = unusable[_i].silent ? lab->now_us - 1000 : 0;
      end_run (lab, run);
      if (other != NULL)
        remove_run (lab, other);
    }
  ck_assert_msg (is_known (lab, CLASS_A, CLASS_B) == unusable[_i].known, "%s", unusable[_i].name);
  lab_free (lab);
}
END_TEST

/* Packs and unpacks what is handed on. */
static Bts__Interference *
saved_copy (lab_t *lab, gsize *n_bytes)
{
  Bts__Interference *saved = bts_interference_save (lab->interference, lab->now_us);
  *n_bytes = bts__interference__get_packed_size (saved);
  g_autofree guint8 *data = g_malloc (MAX (*n_bytes, 1));
  bts__interference__pack (saved, data);
  bts__interference__free_unpacked (saved, NULL);
  return bts__interference__unpack (NULL, *n_bytes, data);
}

static void
discard_record (lab_t *lab, gint64 now_us)
{
  bts__interference__free_unpacked (bts_interference_save (lab->interference, now_us), NULL);
}

/* Guards against a pair that is found right after a record and is lost with the owner, and against
   records that follow each other faster than every 2 s on average. */
START_TEST (found_pair_is_handed_on_at_once)
{
  lab_t *lab = lab_new (1);
  gint64 start_us = lab->now_us;
  discard_record (lab, start_us);
  lab->factor[CLASS_A][CLASS_B] = 2;
  play_pair (lab, CLASS_A, CLASS_B, planted[2].runs);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  ck_assert (bts_interference_is_save_due (lab->interference, start_us + G_USEC_PER_SEC / 10));
  discard_record (lab, start_us + G_USEC_PER_SEC / 10);
  play_pair (lab, CLASS_A, CLASS_B, planted[2].runs);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  ck_assert (!bts_interference_is_save_due (lab->interference, start_us + 4 * G_USEC_PER_SEC - 1));
  ck_assert (bts_interference_is_save_due (lab->interference, start_us + 4 * G_USEC_PER_SEC));
  lab_free (lab);
}
END_TEST

#define MANY_CLASSES 300

/* Guards against state and records that grow with the number of classes that callers name. */
START_TEST (state_is_bounded)
{
  lab_t *lab = lab_new (1);
  lab->factor[CLASS_A][CLASS_B] = 2;
  play_pair (lab, CLASS_A, CLASS_B, planted[2].runs);
  for (guint i = 0; i < MANY_CLASSES; i++)
    {
      g_autofree char *image = g_strdup_printf ("%090u", i);
      bts_job_t *job = bts_job_new (accepted_new (image, 1), 0, 0);
      bts_stage_t *stage = &bts_job_ensure_occurrence (job, 0)->stages[0];
      for (guint n = 0; n < 3; n++)
        {
          bts_run_t *other = add_run (lab, stage, lab->workers->pdata[0]);
          play_run (lab, CLASS_A, lab->workers->pdata[0], 1u << CLASS_B, 1);
          play_run (lab, CLASS_B, lab->workers->pdata[0], 1u << CLASS_A, 1);
          end_run (lab, other);
        }
      bts_job_free (job);
    }
  gsize n_bytes;
  Bts__Interference *saved = saved_copy (lab, &n_bytes);
  ck_assert_uint_le (n_bytes, BTS_INTERFERENCE_SAVED_MAX);
  ck_assert_uint_le (saved->n_classes, BTS_INTERFERENCE_CLASSES_MAX);
  ck_assert_uint_gt (saved->n_pairs, 0);
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  bts__interference__free_unpacked (saved, NULL);
  lab_free (lab);
}
END_TEST

/* Terms of owners that learn in turn. */
static const struct
{
  const char *name;
  guint64 own_term;
  guint64 saved_term;
  gboolean is_saved_used;
} terms[] = {
  { "first term of a process", 0, 1, TRUE },
  { "another owner since", 1, 2, TRUE },
  { "own record", 2, 2, FALSE },
  { "older record", 3, 2, FALSE },
};

/* Guards against an owner that begins to learn anew, or that goes on from less than is known. */
START_TEST (newest_knowledge_is_used)
{
  lab_t *lab = lab_new (1);
  lab->factor[CLASS_A][CLASS_B] = 2;
  play_pair (lab, CLASS_A, CLASS_B, planted[2].runs);
  gsize n_bytes;
  Bts__Interference *saved = saved_copy (lab, &n_bytes);
  lab_t *next = lab_new (2);
  bts_interference_begin_term (next->interference, terms[_i].own_term, NULL, 0);
  bts_interference_begin_term (next->interference, 4, saved, terms[_i].saved_term);
  ck_assert_msg (is_known (next, CLASS_A, CLASS_B) == terms[_i].is_saved_used, "%s",
                 terms[_i].name);
  bts__interference__free_unpacked (saved, NULL);
  lab_free (next);
  lab_free (lab);
}
END_TEST

/* Guards against evidence that is lost with each change of the owner: a pair would never be
   found. */
START_TEST (evidence_is_handed_on)
{
  lab_t *lab = lab_new (1);
  guint64 term = 1;
  for (guint i = 0; i < 10; i++)
    {
      lab->factor[CLASS_A][CLASS_B] = 2;
      play_pair (lab, CLASS_A, CLASS_B, planted[2].runs / 10 + 1);
      gsize n_bytes;
      Bts__Interference *saved = saved_copy (lab, &n_bytes);
      bts_interference_free (lab->interference);
      lab->interference = bts_interference_new ();
      g_clear_pointer (&((bts_worker_t *)lab->workers->pdata[0])->classes, g_free);
      bts_interference_begin_term (lab->interference, term + 1, saved, term);
      term++;
      bts__interference__free_unpacked (saved, NULL);
    }
  ck_assert (is_known (lab, CLASS_A, CLASS_B));
  lab_free (lab);
}
END_TEST

static const Bts__InterferencePair good
    = { .base = PROTOBUF_C_MESSAGE_INIT (&bts__interference_pair__descriptor),
        .slowed = 0,
        .neighbour = 1,
        .found = TRUE,
        .beside_runs = 50,
        .beside_mean = 0.7F,
        .beside_variance = 0.1F,
        .without_runs = 50,
        .without_variance = 0.1F };

/* Pairs of a record, changed in one place. */
static const struct
{
  const char *name;
  guint32 slowed;
  guint32 kind;
  float beside_runs;
  float beside_mean;
  float beside_variance;
  gboolean ok;
} records[] = {
  { "good", 0, 0, 50, 0.7F, 0.1F, TRUE },
  { "no such class", 2, 0, 50, 0.7F, 0.1F, FALSE },
  { "no such kind", 0, 1, 50, 0.7F, 0.1F, FALSE },
  { "not a number", 0, 0, NAN, 0.7F, 0.1F, FALSE },
  { "mean is not a number", 0, 0, 50, NAN, 0.1F, FALSE },
  { "infinite", 0, 0, 50, INFINITY, 0.1F, FALSE },
  { "negative variance", 0, 0, 50, 0.7F, -0.1F, FALSE },
  { "too many runs", 0, 0, 1e9F, 0.7F, 0.1F, FALSE },
};

/* A record that says that the first class is slowed down by the second one. */
static void
load_record (lab_t *lab, const Bts__InterferencePair *pair)
{
  char *classes[] = { "main/a", "main/b" };
  char *kinds[] = { "main/x" };
  Bts__InterferencePair *pairs[] = { (Bts__InterferencePair *)pair };
  Bts__Interference saved = BTS__INTERFERENCE__INIT;
  saved.classes = classes;
  saved.n_classes = G_N_ELEMENTS (classes);
  saved.kinds = kinds;
  saved.n_kinds = G_N_ELEMENTS (kinds);
  saved.pairs = pairs;
  saved.n_pairs = 1;
  bts_interference_begin_term (lab->interference, 2, &saved, 1);
}

/* Guards against numbers of a damaged record that spoil all that is learned after it. */
START_TEST (record_is_checked)
{
  lab_t *lab = lab_new (1);
  Bts__InterferencePair pair = good;
  pair.slowed = records[_i].slowed;
  pair.kind = records[_i].kind;
  pair.beside_runs = records[_i].beside_runs;
  pair.beside_mean = records[_i].beside_mean;
  pair.beside_variance = records[_i].beside_variance;
  load_record (lab, &pair);
  ck_assert_msg (is_known (lab, CLASS_A, CLASS_B) == records[_i].ok, "%s", records[_i].name);
  lab_free (lab);
}
END_TEST

/* What a worker of the placement cases has. */
typedef struct
{
  guint beside;
  gint64 cpu_used;
  guint failures;
  gboolean overdue;
  gboolean reserved;
  const char *rack;
  double slowness;
} place_t;

/**
 * Placement of a task of the first class, which is slowed down by the second one, on one of two
 * workers. The first one has less room left, so that it is chosen unless something speaks against
 * it.
 */
static const struct
{
  const char *name;
  gboolean off;
  guint own;
  guint priority;
  const char *rack;
  place_t workers[2];
  gint chosen;
} placements[] = {
  { "fullest", FALSE, CLASS_A, 1, "", { { 0, 4000 }, { 0, 0 } }, 0 },
  { "kept apart", FALSE, CLASS_A, 1, "", { { 1u << CLASS_B, 4000 }, { 0, 0 } }, 1 },
  { "the other way round", FALSE, CLASS_B, 1, "", { { 1u << CLASS_A, 4000 }, { 0, 0 } }, 1 },
  { "setting is off", TRUE, CLASS_A, 1, "", { { 1u << CLASS_B, 4000 }, { 0, 0 } }, 0 },
  { "innocent neighbour", FALSE, CLASS_A, 1, "", { { 1u << CLASS_C, 4000 }, { 0, 0 } }, 0 },
  { "innocent task", FALSE, CLASS_C, 1, "", { { 1u << CLASS_B, 4000 }, { 0, 0 } }, 0 },
  { "no room elsewhere", FALSE, CLASS_A, 1, "", { { 1u << CLASS_B, 4000 }, { 0, 10000 } }, 0 },
  { "both interfere", FALSE, CLASS_A, 1, "", { { 1u << CLASS_B, 4000 }, { 1u << CLASS_B, 0 } }, 0 },
  { "failures elsewhere",
    FALSE,
    CLASS_A,
    1,
    "",
    { { 1u << CLASS_B, 4000 }, { .failures = 1 } },
    0 },
  { "overdue elsewhere",
    FALSE,
    CLASS_A,
    1,
    "",
    { { 1u << CLASS_B, 4000 }, { .overdue = TRUE } },
    0 },
  { "reserved elsewhere",
    FALSE,
    CLASS_A,
    1,
    "",
    { { 1u << CLASS_B, 4000 }, { .reserved = TRUE } },
    0 },
  { "other rack elsewhere",
    FALSE,
    CLASS_A,
    1,
    "r1",
    { { 1u << CLASS_B, 4000 }, { .rack = "r2" } },
    0 },
  { "no rack asked for", FALSE, CLASS_A, 1, "", { { 1u << CLASS_B, 4000 }, { .rack = "r2" } }, 1 },
  { "urgent, slow elsewhere",
    FALSE,
    CLASS_A,
    0,
    "",
    { { 1u << CLASS_B, 4000 }, { .slowness = 1.3 } },
    0 },
  { "urgent, as fast elsewhere",
    FALSE,
    CLASS_A,
    0,
    "",
    { { 1u << CLASS_B, 4000 }, { .slowness = 1.02 } },
    1 },
  { "not urgent, slow elsewhere",
    FALSE,
    CLASS_A,
    1,
    "",
    { { 1u << CLASS_B, 4000 }, { .slowness = 1.3 } },
    1 },
};

#define PASS 7

static void
set_up_worker (lab_t *lab, bts_worker_t *worker, const place_t *place)
{
  for (guint i = 0; i < N_CLASSES; i++)
    if ((place->beside >> i & 1) != 0)
      add_run (lab, stage_of (lab, i), worker);
  if (place->overdue)
    {
      bts_run_t *run = add_run (lab, stage_of (lab, CLASS_C), worker);
      run->created_us -= (gint64)3 * LENGTH_MS * 1000;
    }
  worker->used.cpu_millis = place->cpu_used;
  worker->consecutive_failures = place->failures;
  worker->slowness = place->slowness;
  if (place->reserved)
    {
      worker->reserved_pass = PASS;
      worker->reserved_free_us = lab->now_us;
    }
  if (place->rack == NULL)
    return;
  g_free (worker->entry->labels[1]);
  worker->entry->labels[1] = g_strdup (place->rack);
}

static void
free_runs (bts_worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    bts_run_free (worker->runs->pdata[i]);
  g_ptr_array_set_size (worker->runs, 0);
}

/* Guards against interference that decides where something else should, and against tasks that
   wait because of it. */
START_TEST (interfering_tasks_are_kept_apart)
{
  lab_t *lab = lab_new (1);
  add_worker (lab, "x");
  lab->now_us = 100 * G_USEC_PER_SEC;
  if (!placements[_i].off)
    load_record (lab, &good);
  else
    g_clear_pointer (&lab->interference, bts_interference_free);
  lab->fleet.interference = lab->interference;
  for (guint i = 0; i < 2; i++)
    {
      set_up_worker (lab, lab->workers->pdata[i], &placements[_i].workers[i]);
      ((bts_worker_t *)lab->workers->pdata[i])->last_reply_us = lab->now_us;
    }
  bts_stage_t *stage = stage_of (lab, placements[_i].own);
  Bts__Accepted *accepted = stage->job->accepted;
  accepted->policy->priority = placements[_i].priority;
  accepted->steps[0]->cpu_millis = 1000;
  accepted->steps[0]->rack = strdup (placements[_i].rack);
  const bts_worker_t *chosen
      = bts_place_choose (&lab->fleet, bts_stage_task (stage, 0), PASS, lab->now_us);
  ck_assert_msg (chosen == lab->workers->pdata[placements[_i].chosen], "%s: %s",
                 placements[_i].name, chosen == NULL ? "none" : chosen->entry->id);
  for (guint i = 0; i < 2; i++)
    free_runs (lab->workers->pdata[i]);
  lab_free (lab);
}
END_TEST

int
main (void)
{
  bt_log_set_level (BT_LOG_ERROR);
  TCase *tests = tcase_create ("interference");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, stated_runs_are_computed, 0, G_N_ELEMENTS (planted));
  tcase_add_loop_test (tests, planted_pair_is_found, 0, G_N_ELEMENTS (planted));
  tcase_add_loop_test (tests, stopped_pair_is_forgotten, 0, G_N_ELEMENTS (planted));
  tcase_add_test (tests, pair_kept_apart_is_forgotten);
  tcase_add_loop_test (tests, innocent_pair_is_not_accused, 0, G_N_ELEMENTS (innocents));
  tcase_add_test (tests, only_the_slowed_class_is_known);
  tcase_add_test (tests, class_may_slow_itself_down);
  tcase_add_test (tests, neighbour_that_is_always_there_is_not_accused);
  tcase_add_test (tests, slow_kind_is_not_blamed_on_neighbours);
  tcase_add_test (tests, slow_workers_are_not_blamed_on_neighbours);
  tcase_add_test (tests, companion_of_a_culprit_is_acquitted);
  tcase_add_test (tests, step_counts_as_one_run);
  tcase_add_loop_test (tests, neighbour_counts_by_its_time, 0, G_N_ELEMENTS (shares));
  tcase_add_loop_test (tests, run_of_unknown_length_gives_no_sample, 0, G_N_ELEMENTS (unusable));
  tcase_add_test (tests, found_pair_is_handed_on_at_once);
  tcase_add_test (tests, state_is_bounded);
  tcase_add_loop_test (tests, newest_knowledge_is_used, 0, G_N_ELEMENTS (terms));
  tcase_add_test (tests, evidence_is_handed_on);
  tcase_add_loop_test (tests, record_is_checked, 0, G_N_ELEMENTS (records));
  tcase_add_loop_test (tests, interfering_tasks_are_kept_apart, 0, G_N_ELEMENTS (placements));
  return suite_run ("interference", tests);
}
