#include "libbamboothread/scheduler/read_window.h"
#include "tests/suite.h"

/*
 * Processes that start at once and read a log over one link that they share with small messages.
 * The link works through what it is given in order.
 */

#define READERS_MAX 512
#define STEP_US 500
/* Time within which a small message has to cross the link whatever is read over it. */
#define MESSAGE_MAX_US (200 * 1000)
/* Longest time that the replies may take, as a multiple of what the link needs for their bytes. */
#define TIME_FACTOR 2.0
#define GIVE_UP_US (600 * G_USEC_PER_SEC)
#define SEEDS 5
/* Bytes of a reply beside its records. */
#define HEADER_BYTES 150

/**
 * struct case - a herd of starts
 * @n_readers: processes that start
 * @start_ms: time in which they start
 * @history_kb: what each of them has to read
 * @link_kbps: rate of the link in kilobits a second
 * @round_trip_ms: time from a read to the first part of the reply over an idle link
 * @slow_ms: time that the store takes beyond that
 * @slow_from_ms: when it begins to
 * @other_percent: part of the link that is in use for something else
 * @extra_ms: time that is allowed beside that of the bytes
 */
typedef struct
{
  const char *name;
  guint n_readers;
  guint start_ms;
  guint history_kb;
  guint link_kbps;
  gint64 round_trip_ms;
  gint64 slow_ms;
  gint64 slow_from_ms;
  guint other_percent;
  gint64 extra_ms;
} case_t;

/**
 * struct reader_t - a process that reads
 * @next_us: when it sends its next read, or when its reply has arrived
 * @begin_us: time until the first part of that reply
 * @reply_bytes: size of the reply on the way; 0 if there is none
 */
typedef struct
{
  bts_read_window_t window;
  gint64 left_bytes;
  gint64 next_us;
  gint64 begin_us;
  gint64 reply_bytes;
  gboolean is_done;
} reader_t;

/**
 * struct scene_t - the link and its readers
 * @link_free_us: when the link has worked through what it was given
 * @queue_max_us: the longest time that anything had to wait for the link
 */
typedef struct
{
  const case_t *c;
  GRand *random;
  gint64 link_free_us;
  gint64 queue_max_us;
  reader_t readers[READERS_MAX];
} scene_t;

/* What the link has left for the reads. */
static double
link_kbps (const case_t *c)
{
  return c->link_kbps * (100.0 - c->other_percent) / 100;
}

static void
send_read (scene_t *scene, reader_t *reader, gint64 now_us)
{
  const case_t *c = scene->c;
  gboolean is_slow = c->slow_ms > 0 && now_us >= c->slow_from_ms * 1000;
  gint64 way_us = (c->round_trip_ms + (is_slow ? c->slow_ms : 0)) * 1000;
  gint64 bytes = MIN ((gint64)bts_read_window_kb (&reader->window) * 1024, reader->left_bytes);
  reader->reply_bytes = bytes;
  gint64 sent_us = now_us + way_us;
  gint64 starts_us = MAX (sent_us, scene->link_free_us);
  gint64 takes_us = (gint64)((double)(bytes + HEADER_BYTES) * 8000 / link_kbps (c));
  scene->queue_max_us = MAX (scene->queue_max_us, starts_us - sent_us);
  scene->link_free_us = starts_us + takes_us;
  reader->begin_us = starts_us - now_us;
  reader->next_us = starts_us + takes_us;
}

static void
receive (scene_t *scene, reader_t *reader, gint64 now_us)
{
  reader->left_bytes -= reader->reply_bytes;
  reader->reply_bytes = 0;
  bts_read_window_on_reply (&reader->window, reader->begin_us);
  reader->is_done = reader->left_bytes <= 0;
  reader->next_us = now_us + bts_read_window_pause_us (&reader->window);
}

/* Plays the reads in the order of time. Returns when the last reader was done. */
static gint64
play (scene_t *scene)
{
  gint64 now_us = 0;
  guint n_done = 0;
  while (n_done < scene->c->n_readers && now_us < GIVE_UP_US)
    {
      for (guint i = 0; i < scene->c->n_readers; i++)
        {
          reader_t *reader = &scene->readers[i];
          if (reader->is_done || reader->next_us > now_us)
            continue;
          if (reader->reply_bytes > 0)
            receive (scene, reader, now_us);
          else
            send_read (scene, reader, now_us);
          n_done += reader->is_done;
        }
      now_us += STEP_US;
    }
  return now_us;
}

/* Over a distant link, or while the store is slow, history has to be read in half of the time that
   it covers: 20 s. */
static const case_t cases[] = {
  { "one_process_of_a_region", 1, 0, 800, 150000, 20, 0, 0, 0, 400 },
  { "processes_killed_at_once", 22, 500, 800, 150000, 20, 0, 0, 10, 400 },
  { "all_lose_power", 74, 300, 800, 150000, 20, 0, 0, 10, 400 },
  { "all_lose_power_near_the_store", 74, 300, 800, 4000000, 4, 0, 0, 0, 400 },
  { "starts_one_after_the_other", 74, 4000, 800, 150000, 20, 0, 0, 10, 400 },
  { "many_processes", 500, 300, 800, 150000, 20, 0, 0, 10, 400 },
  { "long_history", 74, 300, 20000, 150000, 20, 0, 0, 30, 400 },
  { "narrow_link", 16, 300, 800, 10000, 20, 0, 0, 10, 400 },
  { "narrow_link_of_many", 74, 300, 400, 10000, 20, 0, 0, 10, 400 },
  { "wide_link", 74, 300, 800, 1000000, 20, 0, 0, 0, 400 },
  { "distant_store", 74, 300, 800, 150000, 250, 0, 0, 0, 10000 },
  { "slow_store", 74, 300, 800, 150000, 20, 240, 0, 0, 10000 },
  { "store_turns_slow", 74, 300, 4000, 150000, 20, 240, 500, 0, 10000 },
  { "few_processes_and_a_store_that_turns_slow", 6, 300, 800, 30000, 20, 240, 150, 10, 10000 },
  { "few_processes_and_a_store_a_little_slow", 6, 300, 800, 30000, 20, 46, 150, 10, 10000 },
};

static void
start_readers (scene_t *scene)
{
  for (guint i = 0; i < scene->c->n_readers; i++)
    {
      reader_t *reader = &scene->readers[i];
      bts_read_window_init (&reader->window);
      reader->left_bytes = (gint64)scene->c->history_kb * 1024;
      reader->next_us = g_rand_int_range (scene->random, 0, (gint)scene->c->start_ms * 1000 + 1);
    }
}

static gint64
allowed_us (const case_t *c)
{
  double bytes = (double)c->n_readers * c->history_kb * 1024;
  return (gint64)(bytes * 8000 / link_kbps (c) * TIME_FACTOR)
         + (gint64)(c->start_ms + c->extra_ms) * 1000;
}

/* Guards against orders, advice and submissions that stand behind the reads of processes that have
   started (SHORT on ravi-hq-large). */
START_TEST (herd_of_starts_leaves_the_link_to_messages)
{
  const case_t *c = &cases[_i];
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      scene_t scene = { .c = c, .random = g_rand_new_with_seed (seed) };
      start_readers (&scene);
      gint64 took_us = play (&scene);
      g_rand_free (scene.random);
      ck_assert_msg (scene.queue_max_us <= MESSAGE_MAX_US,
                     "%s, seed %u: a message waits %" G_GINT64_FORMAT " ms", c->name, seed,
                     scene.queue_max_us / 1000);
      ck_assert_msg (took_us <= allowed_us (c), "%s, seed %u: read after %" G_GINT64_FORMAT " ms",
                     c->name, seed, took_us / 1000);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("read_window");
  tcase_add_loop_test (tests, herd_of_starts_leaves_the_link_to_messages, 0, G_N_ELEMENTS (cases));
  return suite_run ("read_window", tests);
}
