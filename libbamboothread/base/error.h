#ifndef BT_BASE_ERROR_H
#define BT_BASE_ERROR_H

#include <glib.h>

/**
 * enum bt_error_t - codes of the BT_ERROR domain
 * @BT_ERROR_INVALID: the input violates its schema or the protocol
 * @BT_ERROR_IO: an operation on a socket or file failed
 * @BT_ERROR_UNAVAILABLE: the peer can't serve the request now; a retry may succeed
 * @BT_ERROR_TIMEOUT: no reply before the timeout; the request may have taken effect
 * @BT_ERROR_CONFLICT: the state has changed since the caller read it (stale base version,
 *   lease held by another owner)
 * @BT_ERROR_NOT_FOUND: the object doesn't exist
 * @BT_ERROR_TOO_LARGE: the input exceeds its size limit
 * @BT_ERROR_EXPIRED: the log has deleted the requested offset
 */
typedef enum
{
  BT_ERROR_INVALID,
  BT_ERROR_IO,
  BT_ERROR_UNAVAILABLE,
  BT_ERROR_TIMEOUT,
  BT_ERROR_CONFLICT,
  BT_ERROR_NOT_FOUND,
  BT_ERROR_TOO_LARGE,
  BT_ERROR_EXPIRED,
} bt_error_t;

#define BT_ERROR (bt_error_quark ())

GQuark bt_error_quark (void);
const char *bt_error_name (int code);

#endif
