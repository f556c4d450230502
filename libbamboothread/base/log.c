#include "libbamboothread/base/log.h"

#include <stdio.h>
#include <unistd.h>

static const char *log_ident = "bamboothread";
static bt_log_level_t log_level = BT_LOG_INFO;

/**
 * bt_log_set_ident() - name the process in its log lines
 * @ident: a string that lives as long as the process
 */
void
bt_log_set_ident (const char *ident)
{
  log_ident = ident;
}

/**
 * bt_log_set_level() - drop lines less severe than a level
 * @level: the least severe level that is written
 */
void
bt_log_set_level (bt_log_level_t level)
{
  log_level = level;
}

/**
 * bt_log() - write one event as a syslog-style line of key=value pairs
 * @level: its severity
 * @event: the event's name, one word
 * @format: printf-style key=value pairs; line breaks in values become spaces
 */
void
bt_log (bt_log_level_t level, const char *event, const char *format, ...)
{
  if (level > log_level)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  for (char *c = text; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  gint64 wall_ms = g_get_real_time () / 1000;
  fprintf (stderr, "<%d>%s[%d]: ts=%" G_GINT64_FORMAT ".%03d event=%s %s\n", level, log_ident,
           (int)getpid (), wall_ms / 1000, (int)(wall_ms % 1000), event, text);
}
