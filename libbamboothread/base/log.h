#ifndef BT_BASE_LOG_H
#define BT_BASE_LOG_H

#include <glib.h>

/*
 * Logger. Writes each event as a line of key=value pairs, by default to standard output.
 * Writing never blocks: if the reader is too slow, lines are dropped and counted.
 */

/**
 * enum bt_log_level_t - log levels, with the values of the syslog severities
 */
typedef enum
{
  BT_LOG_ERROR = 3,
  BT_LOG_WARNING = 4,
  BT_LOG_NOTICE = 5,
  BT_LOG_INFO = 6,
  BT_LOG_DEBUG = 7,
} bt_log_level_t;

void bt_log_set_ident (const char *ident);
void bt_log_set_level (bt_log_level_t level);
void bt_log_set_buffered (gboolean buffered);
void bt_log_set_fd (int fd);
void bt_log_flush (void);
void bt_log (bt_log_level_t level, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

#endif
