#ifndef BT_CONNECTION_PEER_H
#define BT_CONNECTION_PEER_H

#include <gio/gio.h>

#include "proto/peer.pb-c.h"

/*
 * Messages between daemons over TCP. Each frame is a 4-byte length in network byte order
 * and one Envelope. A daemon sends over the connections that it opened and receives over
 * those that others opened.
 */

#define BT_FRAME_MAX_BYTES (8 * 1024 * 1024)

/**
 * struct bt_peer_handler_t - callbacks for what peers send
 * @received: a valid envelope was received; it is valid during the callback
 * @malformed: invalid input was received, and its connection is closed; @cause is a bt_error_t
 */
typedef struct
{
  void (*received) (void *context, const Bt__Envelope *envelope);
  void (*malformed) (void *context, int cause);
} bt_peer_handler_t;

typedef struct bt_peers_t bt_peers_t;

bt_peers_t *bt_peers_new (const char *listen, const bt_peer_handler_t *handler, void *context,
                          GError **error);
void bt_peers_free (bt_peers_t *peers);
void bt_peers_send (bt_peers_t *peers, const char *address, const Bt__Envelope *envelope);
guint16 bt_peers_port (const bt_peers_t *peers);
guint64 bt_peers_bytes_sent (const bt_peers_t *peers);
guint64 bt_peers_bytes_received (const bt_peers_t *peers);

#endif
