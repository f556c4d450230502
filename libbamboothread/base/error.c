#include "libbamboothread/base/error.h"

/**
 * bt_error_quark() - error domain of the library
 *
 * Return: the quark.
 */
GQuark
bt_error_quark (void)
{
  return g_quark_from_static_string ("bt-error-quark");
}

static const char *const error_names[] = {
  "invalid", "io", "unavailable", "timeout", "conflict", "not-found", "too-large", "expired",
};

/**
 * bt_error_name() - name of an error code, for log lines and replies
 * @code: a &enum bt_error_t
 *
 * Return: a static string, "unknown" if the code is out of range.
 */
const char *
bt_error_name (int code)
{
  if (code < 0 || code >= (int)G_N_ELEMENTS (error_names))
    return "unknown";
  return error_names[code];
}
