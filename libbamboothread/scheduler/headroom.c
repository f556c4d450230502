#include "libbamboothread/scheduler/headroom.h"

#include <string.h>

/* Length of a slot, in microseconds. A need is remembered for 10 to 12 s: urgent jobs of a tenant
   come seconds apart, and their batch neighbours take seconds to make room again. */
#define SLOT_US (2000 * 1000)

static void
raise_to (bts_resources_t *peak, const bts_resources_t *value)
{
  peak->cpu_millis = MAX (peak->cpu_millis, value->cpu_millis);
  peak->memory_mb = MAX (peak->memory_mb, value->memory_mb);
  peak->gpus = MAX (peak->gpus, value->gpus);
}

/* Empties the slots that have become too old. */
static void
advance_slots (bts_headroom_t *headroom, gint64 now_us)
{
  gint64 slot = now_us / SLOT_US;
  if (slot == headroom->slot)
    return;
  gint64 first = MAX (headroom->slot + 1, slot - BTS_HEADROOM_SLOTS + 1);
  for (gint64 i = first; i <= slot; i++)
    memset (&headroom->peaks[i % BTS_HEADROOM_SLOTS], 0, sizeof headroom->peaks[0]);
  headroom->slot = slot;
  memset (&headroom->peak, 0, sizeof headroom->peak);
  for (guint i = 0; i < BTS_HEADROOM_SLOTS; i++)
    raise_to (&headroom->peak, &headroom->peaks[i]);
}

static void
note_need (bts_headroom_t *headroom)
{
  bts_resources_t need = headroom->used_before;
  bts_resources_add (&need, &headroom->wanted);
  raise_to (&headroom->peaks[headroom->slot % BTS_HEADROOM_SLOTS], &need);
  raise_to (&headroom->peak, &need);
}

/**
 * bts_headroom_begin_pass() - begin a pass over the queue
 * @headroom: the headroom
 * @now_us: the time; never before that of an earlier pass
 */
void
bts_headroom_begin_pass (bts_headroom_t *headroom, gint64 now_us)
{
  advance_slots (headroom, now_us);
  headroom->used_before = headroom->used;
  memset (&headroom->wanted, 0, sizeof headroom->wanted);
  memset (&headroom->asking, 0, sizeof headroom->asking);
  note_need (headroom);
}

/**
 * bts_headroom_want() - count urgent tasks that are to be started, during a pass
 * @headroom: the headroom
 * @demand: resources of the tasks
 *
 * To be called before any of them is started in the pass: what is started counts as wanted until
 * the next pass.
 */
void
bts_headroom_want (bts_headroom_t *headroom, const bts_resources_t *demand)
{
  bts_resources_add (&headroom->wanted, demand);
  note_need (headroom);
}

static gint64
bounded (gint64 peak, gint64 cap, guint percent)
{
  return MIN (peak, cap / 100 * percent + cap % 100 * percent / 100);
}

/**
 * bts_headroom_reserve() - how much of a cap is for urgent work alone, in use or not
 * @headroom: the headroom
 * @cap: the tenant's cap; nothing is kept of a resource without one
 * @percent: largest share of the cap
 */
bts_resources_t
bts_headroom_reserve (const bts_headroom_t *headroom, const bts_resources_t *cap, guint percent)
{
  const bts_resources_t *peak = &headroom->peak;
  bts_resources_t reserve = { bounded (peak->cpu_millis, cap->cpu_millis, percent),
                              bounded (peak->memory_mb, cap->memory_mb, percent),
                              bounded (peak->gpus, cap->gpus, percent) };
  return reserve;
}

/**
 * bts_headroom_left() - the part of the reserve that urgent work doesn't use now
 * @headroom: the headroom
 * @cap: the tenant's cap
 * @percent: largest share of the cap
 */
bts_resources_t
bts_headroom_left (const bts_headroom_t *headroom, const bts_resources_t *cap, guint percent)
{
  bts_resources_t left = bts_headroom_reserve (headroom, cap, percent);
  left.cpu_millis = MAX (left.cpu_millis - headroom->used.cpu_millis, 0);
  left.memory_mb = MAX (left.memory_mb - headroom->used.memory_mb, 0);
  left.gpus = MAX (left.gpus - headroom->used.gpus, 0);
  return left;
}

/**
 * bts_headroom_may_ask() - whether a stage that waits for quota should request advice already
 * @headroom: the headroom
 * @reserve: what is for urgent work alone
 * @demand: resources of the stage
 *
 * Return: TRUE for the first of them, and for those that fit in the reserve beside the stages
 * ahead: these will start soon. The tickets of others would expire unused.
 */
gboolean
bts_headroom_may_ask (const bts_headroom_t *headroom, const bts_resources_t *reserve,
                      const bts_resources_t *demand)
{
  const bts_resources_t *asking = &headroom->asking;
  if (asking->cpu_millis == 0 && asking->memory_mb == 0 && asking->gpus == 0)
    return TRUE;
  return asking->cpu_millis + demand->cpu_millis <= reserve->cpu_millis
         && asking->memory_mb + demand->memory_mb <= reserve->memory_mb
         && asking->gpus + demand->gpus <= reserve->gpus;
}
