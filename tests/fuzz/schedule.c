#include "tests/fuzz/schedule.h"

#include <stdio.h>
#include <string.h>

#define CHAOS_MIN_MS 20000
#define CHAOS_MAX_MS 60000
/* Daemons need a while to find their leaders before anything else happens. */
#define WARM_UP_MS 3000
#define HOST_NUMBERS 64

const char *const fuzz_kind_names[] = { "submit",
                                        "repeat",
                                        "gone",
                                        "cancel",
                                        "edit",
                                        "edit-race",
                                        "edit-stale",
                                        "edit-again",
                                        "kill",
                                        "start",
                                        "leave",
                                        "pause",
                                        "resume",
                                        "host-kill",
                                        "host-boot",
                                        "host-pause",
                                        "host-resume",
                                        "host-cut",
                                        "host-join",
                                        "host-leaving",
                                        "host-listed-leaving",
                                        "host-failing",
                                        "host-sound",
                                        "links",
                                        "cut",
                                        "join",
                                        "isolate",
                                        "unisolate",
                                        "log-down",
                                        "log-up",
                                        "log-slow",
                                        "log-cut",
                                        "log-uncut",
                                        "log-lose",
                                        NULL };

/**
 * struct weight_t - how often a kind of action comes, and what ends it
 * @weight: share under faults
 * @calm: share in a calm schedule
 * @undo: kind that ends it, or FUZZ_N_KINDS
 * @short_ms: longest span until it is undone, in half of the cases
 * @long_ms: longest span otherwise
 */
typedef struct
{
  fuzz_kind_t kind;
  guint weight;
  guint calm;
  fuzz_kind_t undo;
  guint short_ms;
  guint long_ms;
} weight_t;

static const weight_t weights[] = {
  { FUZZ_SUBMIT, 60, 60, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_REPEAT, 14, 14, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_GONE, 4, 4, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_CANCEL, 5, 5, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_EDIT, 4, 4, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_EDIT_RACE, 2, 2, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_EDIT_STALE, 1, 1, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_EDIT_AGAIN, 1, 1, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_KILL, 6, 0, FUZZ_START, 1000, 15000 },
  { FUZZ_LEAVE, 4, 8, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_PAUSE, 5, 0, FUZZ_RESUME, 2500, 14000 },
  { FUZZ_HOST_KILL, 4, 0, FUZZ_HOST_BOOT, 1500, 15000 },
  { FUZZ_HOST_PAUSE, 4, 0, FUZZ_HOST_RESUME, 2500, 14000 },
  { FUZZ_HOST_CUT, 4, 0, FUZZ_HOST_JOIN, 3000, 14000 },
  { FUZZ_HOST_LEAVING, 1, 1, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_HOST_LISTED_LEAVING, 1, 1, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_HOST_FAILING, 1, 0, FUZZ_HOST_SOUND, 3000, 15000 },
  { FUZZ_LINKS, 4, 0, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_CUT, 4, 0, FUZZ_JOIN, 3000, 25000 },
  { FUZZ_ISOLATE, 3, 0, FUZZ_UNISOLATE, 3000, 15000 },
  { FUZZ_LOG_DOWN, 2, 0, FUZZ_LOG_UP, 3000, 25000 },
  { FUZZ_LOG_SLOW, 2, 0, FUZZ_N_KINDS, 0, 0 },
  { FUZZ_LOG_CUT, 4, 0, FUZZ_LOG_UNCUT, 3000, 25000 },
  { FUZZ_LOG_LOSE, 4, 0, FUZZ_N_KINDS, 0, 0 },
};

static guint
pick (GRand *rand, guint below)
{
  return (guint)g_rand_int_range (rand, 0, (gint32)below);
}

static const weight_t *
pick_kind (GRand *rand, gboolean calm)
{
  guint total = 0;
  for (guint i = 0; i < G_N_ELEMENTS (weights); i++)
    total += calm ? weights[i].calm : weights[i].weight;
  guint at = pick (rand, total);
  for (guint i = 0;; i++)
    {
      guint share = calm ? weights[i].calm : weights[i].weight;
      if (at < share)
        return &weights[i];
      at -= share;
    }
}

static void
add_action (fuzz_schedule_t *schedule, guint at_ms, fuzz_kind_t kind, guint a, guint b, guint c)
{
  fuzz_action_t action = { at_ms, schedule->actions->len + 1, kind, a, b, c };
  g_array_append_val (schedule->actions, action);
}

/* Refers mostly to the latest requests. */
static guint
pick_request (const fuzz_schedule_t *schedule, GRand *rand)
{
  guint back = pick (rand, 24);
  for (guint i = schedule->actions->len; i > 0; i--)
    {
      const fuzz_action_t *action = &g_array_index (schedule->actions, fuzz_action_t, i - 1);
      if (action->kind == FUZZ_SUBMIT && back-- == 0)
        return action->id;
    }
  return 0;
}

static void
add_random (fuzz_schedule_t *schedule, GRand *rand, guint at_ms)
{
  const weight_t *weight = pick_kind (rand, schedule->calm);
  guint a = pick (rand, HOST_NUMBERS);
  guint b = g_rand_int (rand) & 0xffff;
  guint c = g_rand_int (rand) & 0xffff;
  if (weight->kind == FUZZ_REPEAT || weight->kind == FUZZ_GONE || weight->kind == FUZZ_CANCEL)
    b = pick_request (schedule, rand);
  add_action (schedule, at_ms, weight->kind, a, b, c);
  if (weight->undo == FUZZ_N_KINDS)
    return;
  guint span = 200 + pick (rand, pick (rand, 2) ? weight->short_ms : weight->long_ms);
  add_action (schedule, at_ms + span, weight->undo, a, b, c);
}

static gint
compare_actions (gconstpointer a, gconstpointer b)
{
  const fuzz_action_t *left = a;
  const fuzz_action_t *right = b;
  if (left->at_ms != right->at_ms)
    return left->at_ms < right->at_ms ? -1 : 1;
  return left->id < right->id ? -1 : left->id > right->id;
}

/* A calm cell has one planned stop at a time, so that each finds a successor. */
static void
space_stops (fuzz_schedule_t *schedule)
{
  guint next = 0;
  for (guint i = 0; i < schedule->actions->len; i++)
    {
      fuzz_action_t *action = &g_array_index (schedule->actions, fuzz_action_t, i);
      if (action->kind != FUZZ_LEAVE)
        continue;
      action->at_ms = MAX (action->at_ms, next);
      next = action->at_ms + 12000;
    }
}

/**
 * fuzz_schedule_new() - the schedule of a seed
 * @seed: the seed
 *
 * Return: a schedule for fuzz_schedule_free().
 */
fuzz_schedule_t *
fuzz_schedule_new (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  fuzz_schedule_t *schedule = g_new0 (fuzz_schedule_t, 1);
  schedule->seed = seed;
  schedule->calm = seed % 6 == 0;
  schedule->data_centres = 2 + pick (rand, 2);
  schedule->daemons = 2 + pick (rand, 2);
  schedule->workers = 3 + pick (rand, 4);
  schedule->length_ms = CHAOS_MIN_MS + pick (rand, CHAOS_MAX_MS - CHAOS_MIN_MS);
  schedule->actions = g_array_new (FALSE, FALSE, sizeof (fuzz_action_t));
  guint gap_ms = 80 + pick (rand, 700);
  guint at_ms = pick (rand, 4) == 0 ? 0 : WARM_UP_MS;
  while (at_ms < schedule->length_ms)
    {
      add_random (schedule, rand, at_ms);
      at_ms += pick (rand, 2 * gap_ms);
    }
  g_array_sort (schedule->actions, compare_actions);
  if (schedule->calm)
    space_stops (schedule);
  g_array_sort (schedule->actions, compare_actions);
  g_rand_free (rand);
  return schedule;
}

/**
 * fuzz_schedule_copy() - a copy
 * @schedule: the schedule
 *
 * Return: a schedule for fuzz_schedule_free().
 */
fuzz_schedule_t *
fuzz_schedule_copy (const fuzz_schedule_t *schedule)
{
  fuzz_schedule_t *copy = g_memdup2 (schedule, sizeof *schedule);
  copy->actions = g_array_copy (schedule->actions);
  return copy;
}

/**
 * fuzz_schedule_free() - free a schedule
 * @schedule: the schedule
 */
void
fuzz_schedule_free (fuzz_schedule_t *schedule)
{
  g_array_unref (schedule->actions);
  g_free (schedule);
}

/**
 * fuzz_schedule_text() - a schedule as lines of text
 * @schedule: the schedule
 *
 * Return: text that fuzz_schedule_parse() reads, to be freed.
 */
char *
fuzz_schedule_text (const fuzz_schedule_t *schedule)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "world seed=%u calm=%d data_centres=%u daemons=%u workers=%u ms=%u\n",
                          schedule->seed, schedule->calm, schedule->data_centres, schedule->daemons,
                          schedule->workers, schedule->length_ms);
  for (guint i = 0; i < schedule->actions->len; i++)
    {
      const fuzz_action_t *action = &g_array_index (schedule->actions, fuzz_action_t, i);
      g_string_append_printf (text, "%u %u %s %u %u %u\n", action->at_ms, action->id,
                              fuzz_kind_names[action->kind], action->a, action->b, action->c);
    }
  return g_string_free (text, FALSE);
}

static void
parse_action (fuzz_schedule_t *schedule, const char *line)
{
  fuzz_action_t action;
  char name[32];
  if (sscanf (line, "%u %u %31s %u %u %u", &action.at_ms, &action.id, name, &action.a, &action.b,
              &action.c)
      != 6)
    return;
  for (int kind = 0; kind < FUZZ_N_KINDS; kind++)
    if (strcmp (fuzz_kind_names[kind], name) == 0)
      {
        action.kind = (fuzz_kind_t)kind;
        g_array_append_val (schedule->actions, action);
      }
}

/**
 * fuzz_schedule_parse() - read a schedule
 * @text: as fuzz_schedule_text() writes it
 *
 * Return: a schedule for fuzz_schedule_free(), or NULL if it has no first line.
 */
fuzz_schedule_t *
fuzz_schedule_parse (const char *text)
{
  fuzz_schedule_t *schedule = g_new0 (fuzz_schedule_t, 1);
  schedule->actions = g_array_new (FALSE, FALSE, sizeof (fuzz_action_t));
  if (sscanf (text, "world seed=%u calm=%d data_centres=%u daemons=%u workers=%u ms=%u",
              &schedule->seed, &schedule->calm, &schedule->data_centres, &schedule->daemons,
              &schedule->workers, &schedule->length_ms)
      != 6)
    {
      fuzz_schedule_free (schedule);
      return NULL;
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 1; lines[i] != NULL; i++)
    parse_action (schedule, lines[i]);
  return schedule;
}
