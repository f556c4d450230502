#ifndef BT_BASE_ERROR_H
#define BT_BASE_ERROR_H

#include <glib.h>

/**
 * enum bt_error_t - codes of the BT_ERROR domain
 * @BT_ERROR_INVALID: input that breaks its schema or contract
 * @BT_ERROR_IO: a socket or file failed
 * @BT_ERROR_UNAVAILABLE: the other side can't serve now; a retry may help
 * @BT_ERROR_TIMEOUT: no answer in time; the effect is unknown
 * @BT_ERROR_CONFLICT: the state has moved on (stale base, lease held by another)
 * @BT_ERROR_NOT_FOUND: no such object
 * @BT_ERROR_TOO_LARGE: input over its limit
 * @BT_ERROR_EXPIRED: the log no longer keeps the offset asked for
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
