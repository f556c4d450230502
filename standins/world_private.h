#ifndef BT_STANDINS_WORLD_PRIVATE_H
#define BT_STANDINS_WORLD_PRIVATE_H

#include "standins/world.h"

/*
 * What the two parts of the world share: world.c builds it and brings faults
 * about, world_wire.c carries messages.
 */

/**
 * enum bt_event_kind_t - what happens at a time
 */
typedef enum
{
  EVENT_TICK,
  EVENT_PEER,
  EVENT_LEASE,
  EVENT_LEASE_REPLY,
  EVENT_START,
  EVENT_START_REPLY,
  EVENT_STOP,
  EVENT_STOP_REPLY,
  EVENT_RELEASE,
  EVENT_APPEND,
  EVENT_APPEND_REPLY,
  EVENT_READ,
  EVENT_READ_REPLY,
  EVENT_READ_TIMEOUT,
} bt_event_kind_t;

/**
 * struct bt_event_t - a message on its way, or a timer
 * @call: names the call that a reply belongs to; calls are answered once
 */
typedef struct
{
  gint64 at;
  guint64 order;
  bt_event_kind_t kind;
  bt_node_t *node;
  guint64 incarnation;
  bt_host_t *host;
  guint64 call;
  GBytes *bytes;
  char *name;
  gpointer object;
  const bt_schema_t *schema;
  gint64 from;
  GPtrArray *records;
  gboolean failed;
  gboolean expired;
  gint64 first_kept;
} bt_event_t;

void bt_world_event_free (gpointer data);
gint bt_world_event_compare (gconstpointer a, gconstpointer b, gpointer data);
bt_event_t *bt_world_event_new (bt_world_t *world, bt_event_kind_t kind, bt_node_t *node,
                                gint64 delay_us);
void bt_world_event_post (bt_world_t *world, bt_event_t *event);
gboolean bt_world_chance (bt_world_t *world, guint percent);
gint64 bt_world_delay (bt_world_t *world);
gboolean bt_world_host_reachable (const bt_node_t *node, const bt_host_t *host);
char *bt_world_cut_key (const char *a, const char *b);
gboolean bt_world_dispatch (bt_world_t *world, bt_event_t *event);
void bt_world_wake_log_readers (bt_world_t *world, const char *stream);
void bt_world_fail_reader (bt_world_t *world, bt_event_t *reader);
void bt_world_post_tick (bt_node_t *node);

extern const bt_core_ops_t bt_world_node_ops;

#endif
