#ifndef BT_STANDINS_WORLD_H
#define BT_STANDINS_WORLD_H

#include "libbamboothread/process/core.h"
#include "standins/log_model.h"
#include "standins/worker_model.h"

/*
 * Several cores, workers and a log on one paused clock, joined by links that
 * can be late, lossy or cut. Tests, fuzzer and benchmarks drive it. Everything
 * follows from the seed.
 */

/**
 * struct bt_world_config_t - a world
 * @tables: the tables published at the start, or NULL
 * @daemons: daemons in each data centre that the tables name
 * @tick_us: time between ticks of a daemon
 * @delay_min_us: shortest delay of a message
 * @delay_max_us: longest delay of a message without faults
 * @call_timeout_us: how long a caller of a worker or the log waits for a reply
 * @snapshot_us: time in which all that the log keeps is written again, or 0 for the usual
 * @lease_us: lease of a worker, or 0 for the usual one
 * @task_lease_us: lease of tasks, or 0 for the usual one
 * @region_of: region of a data centre, or NULL for one region each
 * @seed: of everything random
 */
typedef struct
{
  const bt_tables_t *tables;
  guint daemons;
  gint64 tick_us;
  gint64 delay_min_us;
  gint64 delay_max_us;
  gint64 call_timeout_us;
  gint64 lease_us;
  gint64 task_lease_us;
  gint64 snapshot_us;
  const char *(*region_of) (const char *data_centre);
  guint32 seed;
} bt_world_config_t;

typedef struct bt_world_t bt_world_t;

/**
 * struct bt_node_t - a daemon's place in the world
 * @core: the daemon, or NULL while it is dead
 * @paused: whether it stands still; what reaches it waits
 * @log_cut: whether it can't reach the log
 */
typedef struct
{
  bt_world_t *world;
  char *name;
  char *address;
  char *data_centre;
  char *region;
  bt_core_t *core;
  guint64 incarnation;
  gboolean paused;
  gboolean log_cut;
  gboolean isolated;
  gint64 next_tick;
  GQueue waiting;
  guint64 bytes_sent;
  guint64 messages_sent;
} bt_node_t;

/**
 * struct bt_host_t - a worker's place in the world
 * @dead: whether it answers nothing
 * @paused: whether it stands still; what reaches it waits
 * @cut: whether no daemon reaches it
 */
typedef struct
{
  bt_world_t *world;
  bt_worker_model_t model;
  char *data_centre;
  char *pool;
  char *rack;
  gboolean dead;
  gboolean paused;
  gboolean cut;
  GQueue waiting;
  GHashTable *held_replies;
  gint64 left_at;
} bt_host_t;

/**
 * struct bt_world_observer_t - what happens, for checks; any may be NULL
 * @started: a worker began to run an attempt
 * @ended: an attempt on a worker ended
 * @answered: a daemon answered a caller
 * @queried: a daemon answered a query
 */
typedef struct
{
  void (*started) (void *context, bt_host_t *host, const bt_start_request_t *request);
  void (*ended) (void *context, bt_host_t *host, const bt_attempt_report_t *report);
  void (*answered) (void *context, bt_node_t *node, guint64 exchange, const char *job,
                    const bt_outcome_t *outcome);
  void (*queried) (void *context, bt_node_t *node, guint64 exchange, gboolean known, GBytes *body);
} bt_world_observer_t;

/**
 * struct bt_world_t - the world
 * @loss_percent: how many messages of a hundred are lost
 * @repeat_percent: how many messages between daemons come twice
 * @late_percent: how many messages are late by up to @late_max_us
 * @log_down: whether the log answers nothing
 * @log_delay_us: delay that the log adds
 * @lose_append_answers: how many answers to appends are lost from now on
 */
struct bt_world_t
{
  bt_world_config_t config;
  bt_clock_t clock;
  GRand *rand;
  GSequence *events;
  GHashTable *open_calls;
  guint64 event_counter;
  guint64 exchange_counter;
  guint64 incarnation_counter;
  GPtrArray *nodes;
  GPtrArray *hosts;
  GPtrArray *seeds;
  GHashTable *cuts;
  bt_log_model_t log;
  GPtrArray *log_readers;
  guint loss_percent;
  guint repeat_percent;
  guint late_percent;
  gint64 late_max_us;
  gboolean log_down;
  gint64 log_delay_us;
  guint lose_append_answers;
  guint64 region_bytes;
  guint64 steps;
  bt_world_observer_t observer;
  void *context;
};

void bt_world_config_init (bt_world_config_t *config);
bt_world_t *bt_world_new (const bt_world_config_t *config, const bt_world_observer_t *observer,
                          void *context);
void bt_world_free (bt_world_t *world);

gboolean bt_world_step (bt_world_t *world);
void bt_world_run (bt_world_t *world, gint64 for_us);
gboolean bt_world_run_until (bt_world_t *world, gint64 at_most_us,
                             gboolean (*done) (bt_world_t *world, void *context), void *context);

bt_node_t *bt_world_node (bt_world_t *world, const char *name);
bt_host_t *bt_world_host (bt_world_t *world, const char *name);
bt_node_t *bt_world_leader (bt_world_t *world, const char *data_centre);

guint64 bt_world_submit (bt_world_t *world, bt_node_t *node, const bt_request_t *request);
guint64 bt_world_query (bt_world_t *world, bt_node_t *node, bt_query_t what, const char *argument);
void bt_world_caller_gone (bt_world_t *world, bt_node_t *node, guint64 exchange);
void bt_world_publish (bt_world_t *world, const bt_edit_t *edit);

void bt_world_kill (bt_world_t *world, bt_node_t *node);
void bt_world_start (bt_world_t *world, bt_node_t *node);
void bt_world_pause (bt_world_t *world, bt_node_t *node, gboolean paused);
void bt_world_host_kill (bt_world_t *world, bt_host_t *host);
void bt_world_host_boot (bt_world_t *world, bt_host_t *host);
void bt_world_host_pause (bt_world_t *world, bt_host_t *host, gboolean paused);
void bt_world_cut (bt_world_t *world, const char *a, const char *b, gboolean cut);
void bt_world_log_set_down (bt_world_t *world, gboolean down);
void bt_world_heal (bt_world_t *world);

#endif
