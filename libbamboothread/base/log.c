#include "libbamboothread/base/log.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "libbamboothread/base/metrics.h"

/* Lines that wait for the reader, in bytes; more are dropped. Some seconds of the
   busiest process. */
#define BUFFER_MAX (256 * 1024)
/* Of these, kept for lines of notice and above, so that refusals and errors are the
   last to be dropped. */
#define BUFFER_KEPT (64 * 1024)
/* Lines of lower levels in one second. */
#define LINES_PER_S 3000
/* A pipe that is ready takes this much without blocking (PIPE_BUF). */
#define WRITE_MAX 4096

static const char *log_ident = "bamboothread";
static bt_log_level_t log_level = BT_LOG_INFO;
static gboolean log_buffered;
static int log_fd = STDOUT_FILENO;
static GString *waiting;
static guint64 dropped;
static gint64 second;
static guint lines;

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
 * bt_log_set_buffered() - gather lines until bt_log_flush()
 * @buffered: whether lines wait for bt_log_flush(); errors never do
 */
void
bt_log_set_buffered (gboolean buffered)
{
  log_buffered = buffered;
}

/**
 * bt_log_set_fd() - write elsewhere than to standard output
 * @fd: an open file
 */
void
bt_log_set_fd (int fd)
{
  log_fd = fd;
}

/**
 * bt_log_flush() - write what the reader takes without blocking
 */
void
bt_log_flush (void)
{
  gsize done = 0;
  while (waiting != NULL && done < waiting->len)
    {
      struct pollfd ready = { log_fd, POLLOUT, 0 };
      if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        break;
      ssize_t written = write (log_fd, waiting->str + done, MIN (waiting->len - done, WRITE_MAX));
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      done += (gsize)written;
    }
  if (done > 0)
    g_string_erase (waiting, 0, (gssize)done);
}

static gboolean
may_add (bt_log_level_t level, gint64 now_us, gsize len)
{
  if (now_us / G_USEC_PER_SEC != second)
    {
      second = now_us / G_USEC_PER_SEC;
      lines = 0;
    }
  lines++;
  gboolean kept = level <= BT_LOG_NOTICE;
  return waiting->len + len <= (kept ? BUFFER_MAX : BUFFER_MAX - BUFFER_KEPT)
         && (kept || lines <= LINES_PER_S);
}

static void
add_line (bt_log_level_t level, const char *event, const char *text)
{
  gint64 now_us = g_get_real_time ();
  if (waiting == NULL)
    waiting = g_string_new (NULL);
  if (!may_add (level, now_us, strlen (text)))
    {
      dropped++;
      bt_metrics_count (BT_COUNT_LOG_DROPPED);
      return;
    }
  gint64 ms = now_us / 1000;
  if (dropped > 0)
    g_string_append_printf (
        waiting,
        "<%d>%s[%d]: ts=%" G_GINT64_FORMAT ".%03d event=log-dropped lines=%" G_GUINT64_FORMAT "\n",
        BT_LOG_WARNING, log_ident, (int)getpid (), ms / 1000, (int)(ms % 1000), dropped);
  dropped = 0;
  g_string_append_printf (waiting, "<%d>%s[%d]: ts=%" G_GINT64_FORMAT ".%03d event=%s %s\n", level,
                          log_ident, (int)getpid (), ms / 1000, (int)(ms % 1000), event, text);
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
  add_line (level, event, text);
  if (!log_buffered || level <= BT_LOG_ERROR)
    bt_log_flush ();
}
