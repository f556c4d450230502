#ifndef BT_FUZZ_SCHEDULE_H
#define BT_FUZZ_SCHEDULE_H

#include <glib.h>

/*
 * What happens to a world, and when: an explicit list of actions that follows
 * from a seed, so that a failing run can be replayed and shrunk.
 */

/**
 * enum fuzz_kind_t - what an action does
 *
 * The meaning of the numbers of an action is given by the table in schedule.c.
 */
typedef enum
{
  FUZZ_SUBMIT,
  FUZZ_REPEAT,
  FUZZ_GONE,
  FUZZ_CANCEL,
  FUZZ_EDIT,
  FUZZ_EDIT_RACE,
  FUZZ_EDIT_STALE,
  FUZZ_EDIT_AGAIN,
  FUZZ_KILL,
  FUZZ_START,
  FUZZ_LEAVE,
  FUZZ_PAUSE,
  FUZZ_RESUME,
  FUZZ_HOST_KILL,
  FUZZ_HOST_BOOT,
  FUZZ_HOST_PAUSE,
  FUZZ_HOST_RESUME,
  FUZZ_HOST_CUT,
  FUZZ_HOST_JOIN,
  FUZZ_HOST_LEAVING,
  FUZZ_HOST_LISTED_LEAVING,
  FUZZ_HOST_FAILING,
  FUZZ_HOST_SOUND,
  FUZZ_LINKS,
  FUZZ_CUT,
  FUZZ_JOIN,
  FUZZ_ISOLATE,
  FUZZ_UNISOLATE,
  FUZZ_LOG_DOWN,
  FUZZ_LOG_UP,
  FUZZ_LOG_SLOW,
  FUZZ_LOG_CUT,
  FUZZ_LOG_UNCUT,
  FUZZ_LOG_LOSE,
  FUZZ_N_KINDS,
} fuzz_kind_t;

extern const char *const fuzz_kind_names[];

/**
 * struct fuzz_action_t - one action
 * @at_ms: when, in milliseconds from the start
 * @id: names the action; a submitted request has the id of its action
 */
typedef struct
{
  guint at_ms;
  guint id;
  fuzz_kind_t kind;
  guint a;
  guint b;
  guint c;
} fuzz_action_t;

/**
 * struct fuzz_schedule_t - a world and what happens to it
 * @calm: whether there are no faults, only requests, edits and planned stops
 * @actions: array of &struct fuzz_action_t, in the order of time
 */
typedef struct
{
  guint32 seed;
  gboolean calm;
  guint data_centres;
  guint daemons;
  guint workers;
  guint length_ms;
  GArray *actions;
} fuzz_schedule_t;

fuzz_schedule_t *fuzz_schedule_new (guint32 seed);
fuzz_schedule_t *fuzz_schedule_copy (const fuzz_schedule_t *schedule);
void fuzz_schedule_free (fuzz_schedule_t *schedule);
char *fuzz_schedule_text (const fuzz_schedule_t *schedule);
fuzz_schedule_t *fuzz_schedule_parse (const char *text);

#endif
