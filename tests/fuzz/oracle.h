#ifndef BT_FUZZ_ORACLE_H
#define BT_FUZZ_ORACLE_H

#include "standins/world.h"

/*
 * What must always hold, checked from the outside: by what the workers do and
 * what the callers are told. It never asks a core what is true, but for the
 * version and content of its tables.
 */

/**
 * enum oracle_invariant_t - what can be violated
 * @ORACLE_CAPACITY: a VM is given more than it has
 * @ORACLE_TWICE: a task runs in two places at once
 * @ORACLE_ANSWER: an answer is doubled, crossed, cut short or untrue
 * @ORACLE_NOT_RUN: a request told not run did run
 * @ORACLE_ONCE: a task of a non-idempotent request starts a second time
 * @ORACLE_LEAVING: a leaving VM gets a new task after a few seconds
 * @ORACLE_STOP: a planned stop cuts off a request or stops a task
 * @ORACLE_TABLES: a version goes backward, differs, or is late
 * @ORACLE_END: after healing, accepted work does not end or a service is not up
 */
typedef enum
{
  ORACLE_NONE,
  ORACLE_CAPACITY,
  ORACLE_TWICE,
  ORACLE_ANSWER,
  ORACLE_NOT_RUN,
  ORACLE_ONCE,
  ORACLE_LEAVING,
  ORACLE_STOP,
  ORACLE_TABLES,
  ORACLE_END,
  ORACLE_N_INVARIANTS,
} oracle_invariant_t;

extern const char *const oracle_invariant_names[];

/**
 * struct oracle_task_t - what is known of a task
 * @starts: how often it started
 * @done: whether an attempt at it ended well
 */
typedef struct
{
  guint starts;
  guint done;
} oracle_task_t;

/**
 * struct oracle_request_t - a request and what became of it
 * @number: stands in its payload
 * @accepted: whether a caller was told that it is recorded
 * @cancelling: whether a cancel was sent
 * @cancelled: whether a cancel was confirmed
 * @failed: whether an attempt failed
 * @status: what its status query told last, or NULL
 */
typedef struct
{
  guint number;
  bt_request_t *request;
  gboolean idempotent;
  gboolean accepted;
  gboolean cancelling;
  gboolean cancelled;
  gboolean failed;
  guint starts;
  char *job;
  char *status;
  oracle_task_t *tasks;
  GPtrArray *exchanges;
} oracle_request_t;

/**
 * struct oracle_exchange_t - a caller that waits at a daemon
 * @lost: whether its daemon died, or it went away itself
 */
typedef struct
{
  guint64 id;
  oracle_request_t *request;
  bt_node_t *node;
  gboolean answered;
  gboolean lost;
  bt_status_t status;
} oracle_exchange_t;

/**
 * struct oracle_stats_t - what happened, for the report
 */
typedef struct
{
  guint64 starts;
  guint64 ends[BT_ATTEMPT_CHECKPOINTED + 1];
  guint64 answers[BT_STATUS_RETRY + 1];
  guint64 edits;
  guint64 lost_exchanges;
} oracle_stats_t;

typedef struct oracle_t oracle_t;

oracle_t *oracle_new (gboolean calm, gboolean verbose);
void oracle_free (oracle_t *oracle);
void oracle_watch (oracle_t *oracle, bt_world_t *world);
const bt_world_observer_t *oracle_observer (void);

oracle_request_t *oracle_add_request (oracle_t *oracle, guint number, const bt_request_t *request,
                                      gboolean idempotent);
oracle_request_t *oracle_request (oracle_t *oracle, guint number);
guint64 oracle_submit (oracle_t *oracle, oracle_request_t *request, bt_node_t *node);
void oracle_caller_gone (oracle_t *oracle, oracle_request_t *request);
void oracle_query (oracle_t *oracle, oracle_request_t *request, bt_node_t *node, bt_query_t what);
void oracle_publish (oracle_t *oracle, const bt_edit_t *edit);
void oracle_node_killed (oracle_t *oracle, bt_node_t *node, gboolean planned);
void oracle_host_killed (oracle_t *oracle, bt_host_t *host);
void oracle_host_leaving (oracle_t *oracle, bt_host_t *host, gboolean listed);
void oracle_note (oracle_t *oracle, const char *format, ...) G_GNUC_PRINTF (2, 3);

void oracle_step (oracle_t *oracle);
gboolean oracle_all_ended (oracle_t *oracle);
void oracle_check_end (oracle_t *oracle);
void oracle_ask_all (oracle_t *oracle);

oracle_invariant_t oracle_violation (const oracle_t *oracle, const char **what);
const oracle_stats_t *oracle_stats (const oracle_t *oracle);
const bt_tables_t *oracle_tables (const oracle_t *oracle);
gint64 oracle_version (const oracle_t *oracle);

#endif
