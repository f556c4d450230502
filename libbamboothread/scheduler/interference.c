#include "libbamboothread/scheduler/interference.h"

#include <math.h>
#include <string.h>

#include "libbamboothread/base/log.h"

#define CLASSES_MAX BTS_INTERFERENCE_CLASSES_MAX
#define KINDS_MAX BTS_INTERFERENCE_KINDS_MAX
#define PAIRS_MAX BTS_INTERFERENCE_PAIRS_MAX
#define NONE BTS_INTERFERENCE_NO_CLASS

/* Longest image or route in the name of a class. A longer image, which is a caller's, counts as
   none. */
#define NAME_MAX_LEN 96
/* A logarithm that is further than this from the mean of its class is moved to that distance: a run
   that takes four times as long as usual is due to a fault or to the task itself. */
#define LOG_DISTANCE_MAX 1.4
/* Runs after which the mean of a class is taken for known. */
#define SUBJECT_RUNS_MIN 8
/* Speeds of single workers differ within a kind. Each one is the mean difference of the runs on the
   worker from those of their classes, as if PRIOR runs of mean 0 had been there before. */
#define WORKER_RUNS_PRIOR 8
#define WORKER_RUNS_MAX 50
/* A known pair whose runs beside each other have less weight than this is forgotten. */
#define RUNS_LEAST 4
/* Number of uses of classes after which their counts are halved, so that classes that are not used
   any more are dropped first. */
#define USES_HALVED 4096
/* Most pairs that one run adds: each may take a walk over all pairs to drop another one. */
#define NEW_PAIRS_MAX 4
/* Runs of a class after which another neighbour is kept apart: this one may not be avoidable. */
#define SOUGHT_RUNS 50
/* What is learned is handed on once a pair was found or forgotten, or so many runs have been
   counted, but not more often than at this interval on average, in microseconds. */
#define SAVE_RUNS BTS_INTERFERENCE_RUNS_MIN
#define SAVE_INTERVAL_US (2 * G_USEC_PER_SEC)
/* Records for which a change of the known pairs may go ahead of the interval: the next owner
   would otherwise place without a pair that was found right after a record. */
#define SAVES_AHEAD 1
/* Bytes of a saved pair, and of a saved name without its characters, at most. */
#define SAVED_PAIR_BYTES 48
#define SAVED_NAME_BYTES 4
/* Largest absolute mean, variance and weight that are taken from a record. */
#define SAVED_VALUE_MAX 10.0

/**
 * struct mean_t - weighted mean and sum of squared distances of it
 */
typedef struct
{
  double weight;
  double mean;
  double squares;
} mean_t;

/**
 * struct pair_t - a class of tasks and another class beside it, on one kind of worker
 * @slowed: number of the first class
 * @neighbour: number of the other class
 * @kind: number of the kind of worker
 * @found: the first class is slowed down by the other one
 * @beside: runs of the first class beside the other class
 * @without: runs of the first class without it
 */
typedef struct
{
  guint slowed;
  guint neighbour;
  guint kind;
  gboolean found;
  mean_t beside;
  mean_t without;
} pair_t;

/**
 * struct subject_t - runs of a class on one kind of worker
 * @all: all of them, whatever was beside them
 * @pairs: the pair with each class; NULL if there is none
 * @sought: the class of which runs without it are sought, plus one; 0 if there is none
 * @sought_runs: runs since that was chosen
 */
typedef struct
{
  mean_t all;
  pair_t *pairs[CLASSES_MAX];
  guint sought;
  guint sought_runs;
} subject_t;

/**
 * struct class_t - a class of tasks
 * @name: service and image, or service and route; NULL if the number isn't in use
 * @uses: number of runs, halved now and then
 * @n_runs: runs that are on workers now
 */
typedef struct
{
  char *name;
  guint uses;
  guint n_runs;
} class_t;

/**
 * struct bts_worker_classes_t - classes of the runs on a worker
 * @kind: number of the worker's kind, or NONE
 * @present: one bit for each class of which there is a run
 * @count: runs of each class
 * @since_ms: when @one_ms and @two_ms of a class were last updated
 * @one_ms: how long there has been at least one run of a class; wraps around
 * @two_ms: how long there have been at least two
 * @speed: measured distance of the runs on the worker from those of their classes
 */
struct bts_worker_classes_t
{
  guint kind;
  guint64 present;
  guint count[CLASSES_MAX];
  guint32 since_ms[CLASSES_MAX];
  guint32 one_ms[CLASSES_MAX];
  guint32 two_ms[CLASSES_MAX];
  mean_t speed;
};

/**
 * struct bts_interference_t - what has been learned
 * @term: the newest term that this process has led
 * @classes: by number
 * @numbers: name of a class to its number plus one
 * @uses: number of uses since they were last halved
 * @kinds: names of the kinds of worker by number, @n_kinds of them
 * @subjects: by kind and class; NULL if the class has had no run there
 * @pairs: all pairs; owns them
 * @found: by kind and class, one bit for each class that slows it down or that it slows down
 * @sought: the same for classes that are kept apart to compare runs
 * @n_found: number of known pairs
 * @changed: a pair was found or forgotten since the last record
 * @n_unsaved: runs counted since then
 * @save_next_us: when the next record is due if runs have been counted
 * @number: number of the newest record
 */
struct bts_interference_t
{
  guint64 term;
  class_t classes[CLASSES_MAX];
  GHashTable *numbers;
  guint uses;
  char *kinds[KINDS_MAX];
  guint n_kinds;
  subject_t *subjects[KINDS_MAX][CLASSES_MAX];
  GPtrArray *pairs;
  guint64 found[KINDS_MAX][CLASSES_MAX];
  guint64 sought[KINDS_MAX][CLASSES_MAX];
  guint n_found;
  gboolean changed;
  guint n_unsaved;
  gint64 save_next_us;
  guint64 number;
};

/**
 * bts_interference_new() - create a state in which nothing is known
 */
bts_interference_t *
bts_interference_new (void)
{
  bts_interference_t *interference = g_new0 (bts_interference_t, 1);
  interference->numbers = g_hash_table_new (g_str_hash, g_str_equal);
  interference->pairs = g_ptr_array_new_with_free_func (g_free);
  return interference;
}

/* Clears all that was learned. */
static void
clear (bts_interference_t *interference)
{
  g_hash_table_remove_all (interference->numbers);
  g_ptr_array_set_size (interference->pairs, 0);
  for (guint k = 0; k < KINDS_MAX; k++)
    {
      g_clear_pointer (&interference->kinds[k], g_free);
      for (guint c = 0; c < CLASSES_MAX; c++)
        g_clear_pointer (&interference->subjects[k][c], g_free);
    }
  for (guint c = 0; c < CLASSES_MAX; c++)
    {
      g_free (interference->classes[c].name);
      memset (&interference->classes[c], 0, sizeof interference->classes[c]);
    }
  memset (interference->found, 0, sizeof interference->found);
  memset (interference->sought, 0, sizeof interference->sought);
  interference->uses = 0;
  interference->n_kinds = 0;
  interference->n_found = 0;
  interference->changed = FALSE;
  interference->n_unsaved = 0;
}

void
bts_interference_free (bts_interference_t *interference)
{
  if (interference == NULL)
    return;
  clear (interference);
  g_hash_table_unref (interference->numbers);
  g_ptr_array_unref (interference->pairs);
  g_free (interference);
}

static guint64
bit (guint class_number)
{
  return G_GUINT64_CONSTANT (1) << class_number;
}

/* Means. */

/* Adds a value. Beyond @weight_max the values before it lose weight. */
static void
mean_add (mean_t *mean, double value, double weight, double weight_max)
{
  if (mean->weight + weight > weight_max)
    {
      double kept = (weight_max - weight) / mean->weight;
      mean->weight *= kept;
      mean->squares *= kept;
    }
  mean->weight += weight;
  double distance = value - mean->mean;
  mean->mean += distance * weight / mean->weight;
  mean->squares += weight * distance * (value - mean->mean);
}

/* Square of the standard error of a mean. */
static double
squared_error (const mean_t *mean)
{
  double prior = BTS_INTERFERENCE_PRIOR_RUNS;
  double variance
      = (prior * BTS_INTERFERENCE_PRIOR_VARIANCE + mean->squares) / (prior + mean->weight);
  return variance / mean->weight;
}

/* Pairs. */

static void
set_apart (guint64 *apart, const pair_t *pair)
{
  apart[pair->slowed] |= bit (pair->neighbour);
  apart[pair->neighbour] |= bit (pair->slowed);
}

/* Updates which classes are to be kept apart on a kind of worker. */
static void
update_apart (bts_interference_t *interference, guint kind)
{
  memset (interference->found[kind], 0, sizeof interference->found[kind]);
  memset (interference->sought[kind], 0, sizeof interference->sought[kind]);
  for (guint i = 0; i < interference->pairs->len; i++)
    {
      const pair_t *pair = interference->pairs->pdata[i];
      if (pair->kind != kind)
        continue;
      if (pair->found)
        set_apart (interference->found[kind], pair);
      if (interference->subjects[kind][pair->slowed]->sought == pair->neighbour + 1)
        set_apart (interference->sought[kind], pair);
    }
}

static void
set_found (bts_interference_t *interference, pair_t *pair, gboolean found)
{
  pair->found = found;
  interference->n_found += found ? 1 : -1;
  interference->changed = TRUE;
  update_apart (interference, pair->kind);
  bt_log (BT_LOG_NOTICE, found ? "interference-found" : "interference-forgotten",
          "slowed=%s beside=%s kind=%s factor=%.2f runs=%.0f without=%.0f",
          interference->classes[pair->slowed].name, interference->classes[pair->neighbour].name,
          interference->kinds[pair->kind], exp (pair->beside.mean - pair->without.mean),
          pair->beside.weight, pair->without.weight);
}

static void
remove_pair (bts_interference_t *interference, pair_t *pair)
{
  subject_t *subject = interference->subjects[pair->kind][pair->slowed];
  gboolean was_sought = subject->sought == pair->neighbour + 1;
  if (was_sought)
    subject->sought = 0;
  if (pair->found)
    set_found (interference, pair, FALSE);
  else if (was_sought)
    update_apart (interference, pair->kind);
  subject->pairs[pair->neighbour] = NULL;
  g_ptr_array_remove_fast (interference->pairs, pair);
}

/* The pair with the fewest runs beside each other that isn't known. */
static pair_t *
find_least_used_pair (const bts_interference_t *interference)
{
  pair_t *least = NULL;
  for (guint i = 0; i < interference->pairs->len; i++)
    {
      pair_t *pair = interference->pairs->pdata[i];
      if (!pair->found && (least == NULL || pair->beside.weight < least->beside.weight))
        least = pair;
    }
  return least;
}

/* Returns NULL if there are too many pairs, all of them known. */
static pair_t *
add_pair (bts_interference_t *interference, guint slowed, guint neighbour, guint kind)
{
  if (interference->pairs->len == PAIRS_MAX)
    {
      pair_t *least = find_least_used_pair (interference);
      if (least == NULL)
        return NULL;
      remove_pair (interference, least);
    }
  pair_t *pair = g_new0 (pair_t, 1);
  pair->slowed = slowed;
  pair->neighbour = neighbour;
  pair->kind = kind;
  g_ptr_array_add (interference->pairs, pair);
  interference->subjects[kind][slowed]->pairs[neighbour] = pair;
  return pair;
}

/* Difference between the two means, in standard errors. */
static double
z_of (const pair_t *pair)
{
  if (pair->beside.weight == 0 || pair->without.weight == 0)
    return 0;
  return (pair->beside.mean - pair->without.mean)
         / sqrt (squared_error (&pair->beside) + squared_error (&pair->without));
}

/* Whether there are too few runs without the other class to compare with. */
static gboolean
lacks_runs_without (const pair_t *pair)
{
  return pair != NULL && pair->beside.weight >= BTS_INTERFERENCE_RUNS_MIN
         && pair->without.weight < pair->beside.weight * BTS_INTERFERENCE_SOUGHT_SHARE;
}

/* Tasks that are always placed side by side can't be compared with others. So one of the classes of
   which there are too few runs without it is kept apart for a while: only one, since runs without
   any neighbour wouldn't tell the neighbours apart. */
static void
update_sought (bts_interference_t *interference, guint kind, subject_t *subject)
{
  guint current = subject->sought;
  subject->sought_runs++;
  if (current != 0 && subject->sought_runs < SOUGHT_RUNS
      && lacks_runs_without (subject->pairs[current - 1]))
    return;
  guint next = 0;
  for (guint i = 0; i < CLASSES_MAX && next == 0; i++)
    {
      guint c = (current + i) % CLASSES_MAX;
      if (lacks_runs_without (subject->pairs[c]))
        next = c + 1;
    }
  subject->sought = next;
  subject->sought_runs = 0;
  if (next != current)
    update_apart (interference, kind);
}

/* Decides whether a pair is found or forgotten. */
static void
judge (bts_interference_t *interference, pair_t *pair)
{
  double z = z_of (pair);
  if (pair->found)
    {
      if (pair->beside.weight < RUNS_LEAST || z < BTS_INTERFERENCE_Z_FORGOTTEN)
        set_found (interference, pair, FALSE);
      return;
    }
  if (MIN (pair->beside.weight, pair->without.weight) >= BTS_INTERFERENCE_RUNS_MIN
      && pair->beside.mean - pair->without.mean >= log (BTS_INTERFERENCE_FACTOR_MIN)
      && z >= BTS_INTERFERENCE_Z_FOUND)
    set_found (interference, pair, TRUE);
}

/* Classes and kinds of worker. */

static char *
class_name (const bts_stage_t *stage)
{
  const char *service = stage->job->service;
  const char *image = bts_stage_step (stage)->image;
  if (*image != '\0' && strlen (image) <= NAME_MAX_LEN)
    return g_strconcat (service, "/", image, NULL);
  const char *route = bts_stage_policy (stage)->route;
  return strlen (route) <= NAME_MAX_LEN ? g_strconcat (service, ":", route, NULL) : NULL;
}

/**
 * bts_interference_class() - the class of a stage's tasks
 * @interference: the state, or NULL
 * @stage: the stage
 *
 * Return: its number, or %BTS_INTERFERENCE_NO_CLASS if it isn't known.
 */
guint
bts_interference_class (const bts_interference_t *interference, const bts_stage_t *stage)
{
  if (interference == NULL)
    return NONE;
  g_autofree char *name = class_name (stage);
  if (name == NULL)
    return NONE;
  return GPOINTER_TO_UINT (g_hash_table_lookup (interference->numbers, name)) - 1;
}

static void
remove_class (bts_interference_t *interference, guint number)
{
  for (guint i = interference->pairs->len; i > 0; i--)
    {
      pair_t *pair = interference->pairs->pdata[i - 1];
      if (pair->slowed == number || pair->neighbour == number)
        remove_pair (interference, pair);
    }
  for (guint k = 0; k < KINDS_MAX; k++)
    g_clear_pointer (&interference->subjects[k][number], g_free);
  g_hash_table_remove (interference->numbers, interference->classes[number].name);
  g_clear_pointer (&interference->classes[number].name, g_free);
}

/* Makes room for a class: the least used one of which there is no run is dropped. */
static guint
find_free_number (bts_interference_t *interference)
{
  guint least = NONE;
  for (guint c = 0; c < CLASSES_MAX; c++)
    {
      const class_t *class = &interference->classes[c];
      if (class->name == NULL)
        return c;
      if (class->n_runs == 0 && (least == NONE || class->uses < interference->classes[least].uses))
        least = c;
    }
  if (least != NONE)
    remove_class (interference, least);
  return least;
}

/* Takes ownership of the name. */
static guint
ensure_class (bts_interference_t *interference, char *name)
{
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (interference->numbers, name)) - 1;
  if (number == NONE)
    number = find_free_number (interference);
  if (number == NONE || interference->classes[number].name != NULL)
    {
      g_free (name);
      return number;
    }
  memset (&interference->classes[number], 0, sizeof interference->classes[number]);
  interference->classes[number].name = name;
  g_hash_table_insert (interference->numbers, name, GUINT_TO_POINTER (number + 1));
  return number;
}

static void
count_use (bts_interference_t *interference, guint class_number)
{
  interference->classes[class_number].uses++;
  if (++interference->uses < USES_HALVED)
    return;
  interference->uses = 0;
  for (guint c = 0; c < CLASSES_MAX; c++)
    interference->classes[c].uses /= 2;
}

static char *
kind_name (const bts_worker_t *worker)
{
  const char *label = worker->entry->labels == NULL ? NULL : worker->entry->labels[0];
  return g_strconcat (worker->entry->service, "/", label == NULL ? "" : label, NULL);
}

/* Takes ownership of the name. Returns NONE if there are too many kinds. */
static guint
ensure_kind (bts_interference_t *interference, char *name)
{
  g_autofree char *owned = name;
  for (guint k = 0; k < interference->n_kinds; k++)
    if (strcmp (interference->kinds[k], name) == 0)
      return k;
  if (interference->n_kinds == KINDS_MAX || strlen (name) > NAME_MAX_LEN)
    return NONE;
  interference->kinds[interference->n_kinds] = g_steal_pointer (&owned);
  return interference->n_kinds++;
}

static subject_t *
ensure_subject (bts_interference_t *interference, guint kind, guint class_number)
{
  subject_t **subject = &interference->subjects[kind][class_number];
  if (*subject == NULL)
    *subject = g_new0 (subject_t, 1);
  return *subject;
}

/* Presence of classes on a worker. */

static void
update_presence (bts_worker_classes_t *classes, guint class_number, guint32 now_ms)
{
  guint32 elapsed_ms = now_ms - classes->since_ms[class_number];
  classes->since_ms[class_number] = now_ms;
  if (classes->count[class_number] >= 1)
    classes->one_ms[class_number] += elapsed_ms;
  if (classes->count[class_number] >= 2)
    classes->two_ms[class_number] += elapsed_ms;
}

/* How long a class has been present beside a run of class @own: of its own class, there have to be
   two runs. */
static guint32
presence_ms (const bts_worker_classes_t *classes, guint class_number, guint own, guint32 now_ms)
{
  gboolean is_own = class_number == own;
  guint32 known_ms = is_own ? classes->two_ms[class_number] : classes->one_ms[class_number];
  gboolean is_present = classes->count[class_number] >= (is_own ? 2 : 1);
  return known_ms + (is_present ? now_ms - classes->since_ms[class_number] : 0);
}

/* Tasks that last have no length, and the length of a gang is that of its slowest member. */
static gboolean
gives_sample (const bts_stage_t *stage)
{
  const Bts__Step *step = bts_stage_step (stage);
  return !step->long_running && !step->gang && step->estimate_ms > 0;
}

/**
 * bts_interference_on_run_added() - a run was added to a worker
 * @interference: the state, or NULL
 * @run: the run
 * @now_us: the time
 */
void
bts_interference_on_run_added (bts_interference_t *interference, bts_run_t *run, gint64 now_us)
{
  if (interference == NULL || run->task == NULL)
    return;
  char *name = class_name (run->task->stage);
  guint own = name == NULL ? NONE : ensure_class (interference, name);
  if (own == NONE)
    return;
  if (run->worker->classes == NULL)
    run->worker->classes = g_new0 (bts_worker_classes_t, 1);
  bts_worker_classes_t *classes = run->worker->classes;
  classes->kind = ensure_kind (interference, kind_name (run->worker));
  guint32 now_ms = (guint32)(now_us / 1000);
  update_presence (classes, own, now_ms);
  classes->count[own]++;
  classes->present |= bit (own);
  interference->classes[own].n_runs++;
  count_use (interference, own);
  run->class_number = own + 1;
  if (!gives_sample (run->task->stage))
    return;
  run->presence_ms = g_new (guint32, CLASSES_MAX);
  for (guint c = 0; c < CLASSES_MAX; c++)
    run->presence_ms[c] = presence_ms (classes, c, own, now_ms);
}

/**
 * bts_interference_on_run_removed() - a run is about to be removed from its worker
 * @interference: the state, or NULL
 * @run: the run
 * @now_us: the time
 */
void
bts_interference_on_run_removed (bts_interference_t *interference, bts_run_t *run, gint64 now_us)
{
  if (interference == NULL || run->class_number == 0)
    return;
  guint own = run->class_number - 1;
  bts_worker_classes_t *classes = run->worker->classes;
  update_presence (classes, own, (guint32)(now_us / 1000));
  classes->count[own]--;
  if (classes->count[own] == 0)
    classes->present &= ~bit (own);
  interference->classes[own].n_runs--;
  run->class_number = 0;
}

/* Samples. */

/**
 * struct sample_t - what a run says
 * @value: logarithm of the time that it took, divided by its estimate
 * @weight: its weight; all tasks of a stage together count as one run, since they have one
 *   estimate, which may be wrong for all of them
 * @beside: classes that were there for much of the time
 * @met: classes that were there for some of the time
 */
typedef struct
{
  guint own;
  guint kind;
  double value;
  double weight;
  guint64 beside;
  guint64 met;
} sample_t;

/* Removes the worker's speed and the distance of an outlier from a sample's value, and updates the
   means of its class and of the worker. */
static double
adjust_value (subject_t *subject, mean_t *speed, const sample_t *sample)
{
  double known = speed->weight / (speed->weight + WORKER_RUNS_PRIOR);
  double slow = speed->mean * known;
  double value = sample->value - slow;
  if (subject->all.weight > 0)
    value
        = CLAMP (value, subject->all.mean - LOG_DISTANCE_MAX, subject->all.mean + LOG_DISTANCE_MAX);
  if (subject->all.weight >= SUBJECT_RUNS_MIN)
    mean_add (speed, value + slow - subject->all.mean, sample->weight, WORKER_RUNS_MAX);
  mean_add (&subject->all, value, sample->weight, BTS_INTERFERENCE_RUNS_MAX);
  return value;
}

/* Known neighbours that slow a run down, among those that were there. */
static guint64
find_culprits (const subject_t *subject, guint64 met)
{
  guint64 culprits = 0;
  for (guint c = 0; c < CLASSES_MAX; c++)
    if ((met & bit (c)) != 0 && subject->pairs[c] != NULL && subject->pairs[c]->found)
      culprits |= bit (c);
  return culprits;
}

static void
count_sample (bts_interference_t *interference, const sample_t *sample, mean_t *speed)
{
  subject_t *subject = ensure_subject (interference, sample->kind, sample->own);
  double value = adjust_value (subject, speed, sample);
  guint64 culprits = find_culprits (subject, sample->met);
  guint n_new = 0;
  interference->n_unsaved++;
  for (guint c = 0; c < CLASSES_MAX; c++)
    {
      pair_t *pair = subject->pairs[c];
      gboolean is_beside = (sample->beside & bit (c)) != 0;
      if (pair == NULL && is_beside && n_new++ < NEW_PAIRS_MAX)
        pair = add_pair (interference, sample->own, c, sample->kind);
      /* A run beside a known culprit says nothing of others that were there, too. */
      if (pair == NULL || (culprits & ~bit (c)) != 0)
        continue;
      if (is_beside)
        mean_add (&pair->beside, value, sample->weight, BTS_INTERFERENCE_RUNS_MAX);
      else if ((sample->met & bit (c)) == 0)
        {
          mean_add (&pair->without, value, sample->weight, BTS_INTERFERENCE_RUNS_MAX);
          double kept = 1 - sample->weight / BTS_INTERFERENCE_FADE_RUNS;
          pair->beside.weight *= kept;
          pair->beside.squares *= kept;
        }
      judge (interference, pair);
    }
  update_sought (interference, sample->kind, subject);
}

/**
 * bts_interference_on_run_done() - a run has ended with outcome "done"
 * @interference: the state, or NULL
 * @run: the run, which is still on its worker
 * @now_us: the time
 *
 * The run gives no sample if its length isn't known well: a start order got no reply, it went on
 * from a checkpoint, an earlier owner had started it, or the worker was silent meanwhile.
 */
void
bts_interference_on_run_done (bts_interference_t *interference, const bts_run_t *run, gint64 now_us)
{
  gint64 took_us = now_us - run->created_us;
  if (interference == NULL || run->class_number == 0 || run->presence_ms == NULL
      || run->unanswered_starts > 0 || run->checkpoint != NULL || run->startup_end_us == 0
      || run->worker->silent_us >= run->created_us || run->worker->classes->kind == NONE
      || took_us < (gint64)BTS_INTERFERENCE_RUN_MIN_MS * 1000)
    return;
  bts_worker_classes_t *classes = run->worker->classes;
  const bts_stage_t *stage = run->task->stage;
  sample_t sample = { 0 };
  sample.own = run->class_number - 1;
  sample.kind = classes->kind;
  sample.value = log ((double)took_us / 1000 / bts_stage_step (stage)->estimate_ms);
  sample.weight = 1.0 / stage->n_tasks;
  for (guint c = 0; c < CLASSES_MAX; c++)
    {
      guint32 there_ms
          = presence_ms (classes, c, sample.own, (guint32)(now_us / 1000)) - run->presence_ms[c];
      double share = (double)there_ms * 1000 / (double)took_us;
      if (share >= BTS_INTERFERENCE_BESIDE_SHARE)
        sample.beside |= bit (c);
      if (share > BTS_INTERFERENCE_WITHOUT_SHARE)
        sample.met |= bit (c);
    }
  count_sample (interference, &sample, &classes->speed);
}

/* Use in placement. */

/**
 * bts_interference_conflict() - whether a task shouldn't be on a worker because of its neighbours
 * @interference: the state, or NULL
 * @class_number: class of the task
 * @worker: the worker
 */
bts_interference_conflict_t
bts_interference_conflict (const bts_interference_t *interference, guint class_number,
                           const bts_worker_t *worker)
{
  const bts_worker_classes_t *classes = worker->classes;
  if (interference == NULL || class_number == NONE || classes == NULL || classes->kind == NONE)
    return BTS_INTERFERENCE_NO_CONFLICT;
  if ((interference->found[classes->kind][class_number] & classes->present) != 0)
    return BTS_INTERFERENCE_FOUND;
  return (interference->sought[classes->kind][class_number] & classes->present) != 0
             ? BTS_INTERFERENCE_SOUGHT
             : BTS_INTERFERENCE_NO_CONFLICT;
}

/**
 * bts_interference_is_known() - whether tasks of one stage are known to be slowed down by another
 * @interference: the state, or NULL
 * @slowed: the stage whose tasks are slowed down
 * @neighbour: the other stage
 * @worker: a worker of the kind in question
 */
gboolean
bts_interference_is_known (const bts_interference_t *interference, const bts_stage_t *slowed,
                           const bts_stage_t *neighbour, const bts_worker_t *worker)
{
  guint own = bts_interference_class (interference, slowed);
  guint other = bts_interference_class (interference, neighbour);
  if (own == NONE || other == NONE)
    return FALSE;
  g_autofree char *kind = kind_name (worker);
  for (guint i = 0; i < interference->pairs->len; i++)
    {
      const pair_t *pair = interference->pairs->pdata[i];
      if (pair->found && pair->slowed == own && pair->neighbour == other
          && strcmp (interference->kinds[pair->kind], kind) == 0)
        return TRUE;
    }
  return FALSE;
}

/**
 * bts_interference_count_known() - number of pairs known to interfere
 * @interference: the state, or NULL
 */
guint
bts_interference_count_known (const bts_interference_t *interference)
{
  return interference == NULL ? 0 : interference->n_found;
}

/* Terms and records. */

/**
 * bts_interference_end_term() - forget what runs where
 * @interference: the state, or NULL
 * @fleet: the workers, which have no runs any more
 */
void
bts_interference_end_term (bts_interference_t *interference, const bts_fleet_t *fleet)
{
  if (interference == NULL)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_clear_pointer (&((bts_worker_t *)value)->classes, g_free);
  for (guint c = 0; c < CLASSES_MAX; c++)
    interference->classes[c].n_runs = 0;
}

/**
 * bts_interference_is_save_due() - whether what was learned should be handed on now
 * @interference: the state, or NULL
 * @now_us: the time
 */
gboolean
bts_interference_is_save_due (const bts_interference_t *interference, gint64 now_us)
{
  if (interference == NULL || (!interference->changed && interference->n_unsaved < SAVE_RUNS))
    return FALSE;
  gint64 ahead_us = interference->changed ? SAVES_AHEAD * SAVE_INTERVAL_US : 0;
  return now_us + ahead_us >= interference->save_next_us;
}

/* Known pairs first, then those with the most runs beside each other. */
static gint
compare_pairs (gconstpointer a, gconstpointer b)
{
  const pair_t *left = *(pair_t *const *)a;
  const pair_t *right = *(pair_t *const *)b;
  if (left->found != right->found)
    return left->found ? -1 : 1;
  return left->beside.weight > right->beside.weight ? -1
                                                    : left->beside.weight < right->beside.weight;
}

/* Index of a name in a list, to which it is added if it isn't there. */
static guint32
index_of (char **names, size_t *n_names, const char *name)
{
  size_t i = 0;
  while (i < *n_names && strcmp (names[i], name) != 0)
    i++;
  if (i == *n_names)
    names[(*n_names)++] = strdup (name);
  return (guint32)i;
}

static Bts__InterferencePair *
saved_pair_new (const pair_t *pair)
{
  Bts__InterferencePair *saved = malloc (sizeof *saved);
  bts__interference_pair__init (saved);
  saved->found = pair->found;
  saved->beside_runs = (float)pair->beside.weight;
  saved->beside_mean = (float)pair->beside.mean;
  saved->beside_variance
      = (float)(pair->beside.weight > 0 ? pair->beside.squares / pair->beside.weight : 0);
  saved->without_runs = (float)pair->without.weight;
  saved->without_mean = (float)pair->without.mean;
  saved->without_variance
      = (float)(pair->without.weight > 0 ? pair->without.squares / pair->without.weight : 0);
  return saved;
}

/* Adds a pair to a record unless that would become too long. */
static void
save_pair (const bts_interference_t *interference, const pair_t *pair, Bts__Interference *saved,
           gsize *n_bytes)
{
  const char *slowed = interference->classes[pair->slowed].name;
  const char *neighbour = interference->classes[pair->neighbour].name;
  const char *kind = interference->kinds[pair->kind];
  gsize needed = SAVED_PAIR_BYTES + strlen (slowed) + strlen (neighbour) + strlen (kind)
                 + (gsize)3 * SAVED_NAME_BYTES;
  if (*n_bytes + needed > BTS_INTERFERENCE_SAVED_MAX)
    return;
  size_t n_names = saved->n_classes + saved->n_kinds;
  Bts__InterferencePair *message = saved_pair_new (pair);
  message->slowed = index_of (saved->classes, &saved->n_classes, slowed);
  message->neighbour = index_of (saved->classes, &saved->n_classes, neighbour);
  message->kind = index_of (saved->kinds, &saved->n_kinds, kind);
  saved->pairs[saved->n_pairs++] = message;
  gboolean has_new_names = saved->n_classes + saved->n_kinds > n_names;
  *n_bytes += has_new_names ? needed : SAVED_PAIR_BYTES;
}

/**
 * bts_interference_save() - what the next owner should know
 * @interference: the state, or NULL
 * @now_us: the time
 *
 * Return: the message, to be freed with bts__interference__free_unpacked(), of at most
 * %BTS_INTERFERENCE_SAVED_MAX bytes; NULL if interference isn't learned.
 */
Bts__Interference *
bts_interference_save (bts_interference_t *interference, gint64 now_us)
{
  if (interference == NULL)
    return NULL;
  interference->changed = FALSE;
  interference->n_unsaved = 0;
  gint64 due_us = MAX (interference->save_next_us, now_us) + SAVE_INTERVAL_US;
  interference->save_next_us = MIN (due_us, now_us + (1 + SAVES_AHEAD) * SAVE_INTERVAL_US);
  Bts__Interference *saved = malloc (sizeof *saved);
  bts__interference__init (saved);
  saved->number = ++interference->number;
  saved->classes = calloc (CLASSES_MAX, sizeof *saved->classes);
  saved->kinds = calloc (KINDS_MAX, sizeof *saved->kinds);
  saved->pairs = calloc (PAIRS_MAX, sizeof *saved->pairs);
  gsize n_bytes = 0;
  g_ptr_array_sort (interference->pairs, compare_pairs);
  for (guint i = 0; i < interference->pairs->len; i++)
    save_pair (interference, interference->pairs->pdata[i], saved, &n_bytes);
  return saved;
}

static void
load_mean (mean_t *mean, double weight, double value, double variance)
{
  mean->weight = weight;
  mean->mean = value;
  mean->squares = variance * weight;
}

/* Whether a number of a record may be used; a NaN is not. */
static gboolean
is_valid (double value, double least, double most)
{
  return value >= least && value <= most;
}

static gboolean
is_pair_valid (const Bts__Interference *saved, const Bts__InterferencePair *pair)
{
  return pair->slowed < saved->n_classes && pair->neighbour < saved->n_classes
         && pair->kind < saved->n_kinds
         && is_valid (pair->beside_runs, 0, BTS_INTERFERENCE_RUNS_MAX)
         && is_valid (pair->without_runs, 0, BTS_INTERFERENCE_RUNS_MAX)
         && is_valid (pair->beside_mean, -SAVED_VALUE_MAX, SAVED_VALUE_MAX)
         && is_valid (pair->without_mean, -SAVED_VALUE_MAX, SAVED_VALUE_MAX)
         && is_valid (pair->beside_variance, 0, SAVED_VALUE_MAX)
         && is_valid (pair->without_variance, 0, SAVED_VALUE_MAX);
}

static void
load_pair (bts_interference_t *interference, const Bts__Interference *saved,
           const Bts__InterferencePair *message)
{
  const char *slowed_name = saved->classes[message->slowed];
  const char *neighbour_name = saved->classes[message->neighbour];
  if (interference->pairs->len == PAIRS_MAX
      || g_hash_table_size (interference->numbers) > CLASSES_MAX - 2)
    return;
  guint kind = ensure_kind (interference, g_strdup (saved->kinds[message->kind]));
  if (kind == NONE)
    return;
  guint slowed = ensure_class (interference, g_strdup (slowed_name));
  guint neighbour = ensure_class (interference, g_strdup (neighbour_name));
  subject_t *subject = ensure_subject (interference, kind, slowed);
  if (subject->pairs[neighbour] != NULL)
    return;
  pair_t *pair = add_pair (interference, slowed, neighbour, kind);
  load_mean (&pair->beside, message->beside_runs, message->beside_mean, message->beside_variance);
  load_mean (&pair->without, message->without_runs, message->without_mean,
             message->without_variance);
  if (subject->all.weight < pair->without.weight)
    subject->all = pair->without;
  interference->classes[slowed].uses++;
  interference->classes[neighbour].uses++;
  if (!message->found)
    return;
  pair->found = TRUE;
  interference->n_found++;
  update_apart (interference, kind);
}

/**
 * bts_interference_begin_term() - start to lead a term
 * @interference: the state, or NULL
 * @term: the term
 * @saved: the newest record of what an owner has learned; NULL if there is none
 * @saved_term: term of that owner
 *
 * What this process knows from an earlier term of its own is used unless a later owner has written
 * a record: its own memory is newer than its own last record.
 */
void
bts_interference_begin_term (bts_interference_t *interference, guint64 term,
                             const Bts__Interference *saved, guint64 saved_term)
{
  if (interference == NULL)
    return;
  guint64 own_term = interference->term;
  interference->term = term;
  interference->number = 0;
  if (saved == NULL || saved_term <= own_term)
    return;
  clear (interference);
  for (size_t i = 0; i < saved->n_pairs; i++)
    if (is_pair_valid (saved, saved->pairs[i]))
      load_pair (interference, saved, saved->pairs[i]);
  bt_log (BT_LOG_NOTICE, "interference-loaded", "from_term=%" G_GUINT64_FORMAT " pairs=%u known=%u",
          saved_term, interference->pairs->len, interference->n_found);
}
