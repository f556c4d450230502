#include "libbamboothread/scheduler/outbox.h"

/* The window grows by one for so many orders that wait. */
#define WAITING_PER_WINDOW 8

/**
 * struct box_t - the orders to one worker
 * @worker: its id
 * @waiting: order_t by their turns
 * @flows: flow to the turn (guint) of its last order in @waiting
 * @turn: the turn of the order that was taken last
 * @n_on_way: orders that await their reply
 * @window_max: most of these; halved when an order isn't answered
 * @is_ready: it is in the queue of boxes that may send one
 */
typedef struct
{
  char *worker;
  GSequence *waiting;
  GHashTable *flows;
  guint turn;
  guint n_on_way;
  guint window_max;
  gboolean is_ready;
} box_t;

/**
 * struct order_t - an order that waits or is on its way
 * @priority: the lowest goes first
 * @turn: among those of one priority, the lowest goes first
 */
typedef struct
{
  bts_order_kind_t kind;
  guint64 serial;
  box_t *box;
  guint priority;
  guint turn;
} order_t;

/**
 * struct bts_outbox_t - the orders to all workers
 * @boxes: id of a worker to its box_t; those without orders are removed
 * @ready: box_t that may send an order, each of them once
 * @on_way: set of order_t that await their reply
 * @n_waiting: orders that wait
 */
struct bts_outbox_t
{
  bts_outbox_send_f send;
  void *context;
  GHashTable *boxes;
  GQueue ready;
  GHashTable *on_way;
  guint n_waiting;
};

static guint
order_hash (gconstpointer data)
{
  const order_t *order = data;
  return g_int64_hash (&order->serial) ^ (guint)order->kind;
}

static gboolean
order_equal (gconstpointer a, gconstpointer b)
{
  const order_t *left = a;
  const order_t *right = b;
  return left->serial == right->serial && left->kind == right->kind;
}

static gint
compare_turns (gconstpointer a, gconstpointer b, gpointer context)
{
  const order_t *left = a;
  const order_t *right = b;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  return left->turn < right->turn ? -1 : left->turn > right->turn;
}

static box_t *
box_new (const char *worker)
{
  box_t *box = g_new0 (box_t, 1);
  box->worker = g_strdup (worker);
  box->waiting = g_sequence_new (g_free);
  box->flows = g_hash_table_new (g_direct_hash, g_direct_equal);
  box->window_max = BTS_OUTBOX_WINDOW_MAX;
  return box;
}

static void
box_free (gpointer data)
{
  box_t *box = data;
  g_sequence_free (box->waiting);
  g_hash_table_unref (box->flows);
  g_free (box->worker);
  g_free (box);
}

/**
 * bts_outbox_new() - create an empty outbox
 * @send: sends an order
 * @context: passed to @send
 */
bts_outbox_t *
bts_outbox_new (bts_outbox_send_f send, void *context)
{
  bts_outbox_t *outbox = g_new0 (bts_outbox_t, 1);
  outbox->send = send;
  outbox->context = context;
  outbox->boxes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, box_free);
  g_queue_init (&outbox->ready);
  outbox->on_way = g_hash_table_new_full (order_hash, order_equal, g_free, NULL);
  return outbox;
}

void
bts_outbox_free (bts_outbox_t *outbox)
{
  g_queue_clear (&outbox->ready);
  g_hash_table_unref (outbox->on_way);
  g_hash_table_unref (outbox->boxes);
  g_free (outbox);
}

/**
 * bts_outbox_clear() - drop all orders, and the replies that are awaited
 * @outbox: the outbox
 */
void
bts_outbox_clear (bts_outbox_t *outbox)
{
  g_queue_clear (&outbox->ready);
  g_hash_table_remove_all (outbox->on_way);
  g_hash_table_remove_all (outbox->boxes);
  outbox->n_waiting = 0;
}

static guint
window (const box_t *box)
{
  guint n_waiting = (guint)g_sequence_get_length (box->waiting);
  return CLAMP (n_waiting / WAITING_PER_WINDOW, BTS_OUTBOX_WINDOW_MIN, box->window_max);
}

static order_t *
take_first (bts_outbox_t *outbox, box_t *box)
{
  GSequenceIter *first = g_sequence_get_begin_iter (box->waiting);
  order_t *order = g_memdup2 (g_sequence_get (first), sizeof (order_t));
  g_sequence_remove (first);
  box->turn = MAX (box->turn, order->turn);
  outbox->n_waiting--;
  return order;
}

/* Lets a box send its next order, if it has one and room in its window. */
static void
make_ready (bts_outbox_t *outbox, box_t *box)
{
  if (box->is_ready || g_sequence_is_empty (box->waiting) || box->n_on_way >= window (box))
    return;
  box->is_ready = TRUE;
  g_queue_push_tail (&outbox->ready, box);
}

static void
remove_if_idle (bts_outbox_t *outbox, box_t *box)
{
  if (!g_sequence_is_empty (box->waiting))
    return;
  g_hash_table_remove_all (box->flows);
  box->turn = 0;
  if (box->n_on_way == 0 && !box->is_ready)
    g_hash_table_remove (outbox->boxes, box->worker);
}

/* Sends the next order of a box; one that isn't sent any more is dropped. */
static gboolean
send_first (bts_outbox_t *outbox, box_t *box)
{
  order_t *order = take_first (outbox, box);
  if (g_hash_table_contains (outbox->on_way, order)
      || !outbox->send (outbox->context, order->kind, order->serial))
    {
      g_free (order);
      return FALSE;
    }
  box->n_on_way++;
  g_hash_table_add (outbox->on_way, order);
  return TRUE;
}

/**
 * bts_outbox_send_next() - send one order
 * @outbox: the outbox
 *
 * The workers to which orders wait take turns.
 *
 * Return: FALSE if all orders that wait have to wait for replies.
 */
gboolean
bts_outbox_send_next (bts_outbox_t *outbox)
{
  gboolean sent = FALSE;
  box_t *box;
  while (!sent && (box = g_queue_pop_head (&outbox->ready)) != NULL)
    {
      box->is_ready = FALSE;
      while (!sent && !g_sequence_is_empty (box->waiting) && box->n_on_way < window (box))
        sent = send_first (outbox, box);
      make_ready (outbox, box);
      remove_if_idle (outbox, box);
    }
  return sent;
}

/* The turn of a flow's next order: behind its last one, and not before the orders that are being
   sent now. */
static guint
next_turn (box_t *box, gconstpointer flow)
{
  guint last = GPOINTER_TO_UINT (g_hash_table_lookup (box->flows, flow));
  guint turn = MAX (last, box->turn) + 1;
  g_hash_table_insert (box->flows, (gpointer)flow, GUINT_TO_POINTER (turn));
  return turn;
}

/**
 * bts_outbox_add() - add an order, which bts_outbox_send_next() sends when its turn has come
 * @outbox: the outbox
 * @added: the order
 */
void
bts_outbox_add (bts_outbox_t *outbox, const bts_order_t *added)
{
  box_t *box = g_hash_table_lookup (outbox->boxes, added->worker);
  if (box == NULL)
    {
      box = box_new (added->worker);
      g_hash_table_insert (outbox->boxes, box->worker, box);
    }
  order_t *order = g_new0 (order_t, 1);
  order->kind = added->kind;
  order->serial = added->serial;
  order->box = box;
  order->priority = added->priority;
  order->turn = next_turn (box, added->flow);
  g_sequence_insert_sorted (box->waiting, order, compare_turns, NULL);
  outbox->n_waiting++;
  make_ready (outbox, box);
}

/**
 * bts_outbox_on_reply() - an order was answered, or its time limit has passed
 * @outbox: the outbox
 * @kind: the order; ignored unless its reply is awaited
 * @serial: serial number of the run
 * @answered: whether there was an answer
 */
void
bts_outbox_on_reply (bts_outbox_t *outbox, bts_order_kind_t kind, guint64 serial, gboolean answered)
{
  const order_t key = { .kind = kind, .serial = serial };
  const order_t *order = g_hash_table_lookup (outbox->on_way, &key);
  if (order == NULL)
    return;
  box_t *box = order->box;
  box->n_on_way--;
  box->window_max = answered ? MIN (box->window_max + 1, BTS_OUTBOX_WINDOW_MAX)
                             : MAX (box->window_max / 2, BTS_OUTBOX_WINDOW_MIN);
  g_hash_table_remove (outbox->on_way, &key);
  make_ready (outbox, box);
  remove_if_idle (outbox, box);
}

/**
 * bts_outbox_count_waiting() - number of orders that wait for their turn
 * @outbox: the outbox
 */
guint
bts_outbox_count_waiting (const bts_outbox_t *outbox)
{
  return outbox->n_waiting;
}

/**
 * bts_outbox_count_on_way() - number of orders that await their reply
 * @outbox: the outbox
 */
guint
bts_outbox_count_on_way (const bts_outbox_t *outbox)
{
  return g_hash_table_size (outbox->on_way);
}
