#include "libbamboothread/base/log.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "libbamboothread/base/metrics.h"

/* Maximum size of the buffered lines; further lines are dropped. Enough for a few
   seconds of output of the busiest process. */
#define BUFFER_MAX_BYTES (256 * 1024)
/* Part of the buffer reserved for lines of level notice and above, so that refusals
   and errors are dropped last. */
#define BUFFER_RESERVED_BYTES (64 * 1024)
/* Lines per second after which lines of a lower level than notice are dropped. */
#define LINES_PER_S_MAX 3000
/* Lines up to this size are formatted without an allocation. */
#define SHORT_TEXT_BYTES 512
/* PIPE_BUF: a pipe that polls as writable accepts this much without blocking. */
#define WRITE_MAX_BYTES 4096

static const char *log_ident = "bamboothread";
static bt_log_level_t log_level = BT_LOG_INFO;
static gboolean is_buffered;
static int log_fd = STDOUT_FILENO;
static GString *buffer;
static guint64 n_dropped;
static gint64 current_second;
static guint n_lines_in_second;

/**
 * bt_log_set_ident() - set the program name in log lines
 * @ident: the name; must stay valid while the process runs
 */
void
bt_log_set_ident (const char *ident)
{
  log_ident = ident;
}

/**
 * bt_log_set_level() - set the level below which lines are discarded
 * @level: the least severe level that is written
 */
void
bt_log_set_level (bt_log_level_t level)
{
  log_level = level;
}

/**
 * bt_log_set_buffered() - set whether lines are buffered until bt_log_flush()
 * @buffered: whether to buffer; a line of level error also triggers a flush, which may
 *   leave lines in the buffer since it does not block
 */
void
bt_log_set_buffered (gboolean buffered)
{
  is_buffered = buffered;
}

/**
 * bt_log_set_fd() - set the output, standard output by default
 * @fd: an open file descriptor
 */
void
bt_log_set_fd (int fd)
{
  log_fd = fd;
}

/**
 * bt_log_flush() - write as many buffered lines as possible without blocking
 */
void
bt_log_flush (void)
{
  gsize flushed = 0;
  while (buffer != NULL && flushed < buffer->len)
    {
      struct pollfd ready = { log_fd, POLLOUT, 0 };
      if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        break;
      ssize_t written
          = write (log_fd, buffer->str + flushed, MIN (buffer->len - flushed, WRITE_MAX_BYTES));
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      flushed += (gsize)written;
    }
  if (flushed > 0)
    g_string_erase (buffer, 0, (gssize)flushed);
}

/* Counts a line; returns whether the buffer has room for another one and the rate limit allows it.
 */
static gboolean
test_and_count_line (bt_log_level_t level, gint64 now_us)
{
  if (now_us / G_USEC_PER_SEC != current_second)
    {
      current_second = now_us / G_USEC_PER_SEC;
      n_lines_in_second = 0;
    }
  n_lines_in_second++;
  gboolean is_important = level <= BT_LOG_NOTICE;
  return buffer->len < (is_important ? BUFFER_MAX_BYTES : BUFFER_MAX_BYTES - BUFFER_RESERVED_BYTES)
         && (is_important || n_lines_in_second <= LINES_PER_S_MAX);
}

/* Formats the pairs of a line at the end of the buffer. */
static void
append_pairs (const char *format, va_list args)
{
  char text[SHORT_TEXT_BYTES];
  va_list again;
  va_copy (again, args);
  int len = vsnprintf (text, sizeof text, format, args);
  gsize begin = buffer->len;
  if (len >= 0 && (gsize)len < sizeof text)
    g_string_append_len (buffer, text, len);
  else
    g_string_append_vprintf (buffer, format, again);
  va_end (again);
  for (gsize i = begin; i < buffer->len; i++)
    if (g_ascii_iscntrl (buffer->str[i]))
      buffer->str[i] = ' ';
}

static void
append_head (bt_log_level_t level, const char *event, gint64 now_us)
{
  gint64 now_ms = now_us / 1000;
  g_string_append_printf (buffer, "<%d>%s[%d]: ts=%" G_GINT64_FORMAT ".%03d event=%s ", level,
                          log_ident, (int)getpid (), now_ms / 1000, (int)(now_ms % 1000), event);
}

/**
 * bt_log() - log an event as a syslog-style line of key=value pairs
 * @level: its level
 * @event: name of the event, one word
 * @format: printf-style format of the key=value pairs; control characters, such as
 *   line breaks, are replaced by spaces
 */
void
bt_log (bt_log_level_t level, const char *event, const char *format, ...)
{
  if (level > log_level)
    return;
  gint64 now_us = g_get_real_time ();
  if (buffer == NULL)
    buffer = g_string_new (NULL);
  /* A line that is dropped isn't formatted: the busiest processes drop most. */
  if (!test_and_count_line (level, now_us))
    {
      n_dropped++;
      bt_metrics_count (BT_COUNT_LOG_DROPPED);
      return;
    }
  if (n_dropped > 0)
    {
      append_head (BT_LOG_WARNING, "log-dropped", now_us);
      g_string_append_printf (buffer, "lines=%" G_GUINT64_FORMAT "\n", n_dropped);
    }
  n_dropped = 0;
  append_head (level, event, now_us);
  va_list args;
  va_start (args, format);
  append_pairs (format, args);
  va_end (args);
  g_string_append_c (buffer, '\n');
  if (!is_buffered || level <= BT_LOG_ERROR)
    bt_log_flush ();
}
