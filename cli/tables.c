#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/client.h"
#include "cli/commands.h"

/*
 * Commands for the tables of routes and pools.
 */

#define APPEND_MAX_ATTEMPTS 5
#define APPEND_RETRY_DELAY_MS 500

static bt_tables_t *
load_tables (const char *file)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *data = NULL;
  gsize len;
  if (!g_file_get_contents (file, &data, &len, &error))
    {
      fprintf (stderr, "bamboothreadctl: %s\n", error->message);
      return NULL;
    }
  bt_report_t report;
  bt_report_init (&report);
  bt_tables_t *tables = bt_tables_parse (data, len, &report);
  g_autofree char *text = bt_report_to_text (&report, file);
  fputs (text, stderr);
  bt_report_clear (&report);
  return tables;
}

/**
 * ctl_tables_check() - check the tables in a file, without a server
 * @options: options
 * @args: the file
 *
 * Return: exit status.
 */
int
ctl_tables_check (const ctl_options_t *options, const char **args)
{
  bt_tables_t *tables = load_tables (args[0]);
  if (tables == NULL)
    return CTL_EXIT_FAILED;
  printf ("%s: %u routes, %u pools, no faults\n", args[0], tables->routes->len, tables->pools->len);
  bt_tables_free (tables);
  return EXIT_SUCCESS;
}

static gboolean
fold_log (const ctl_options_t *options, bt_fold_t *fold)
{
  g_autoptr (GError) error = NULL;
  if (ctl_fold_log (options->log, fold, &error))
    return TRUE;
  fprintf (stderr, "bamboothreadctl: %s\n", error->message);
  return FALSE;
}

/**
 * ctl_tables_show() - print the newest tables of the log
 * @options: options
 * @args: none
 *
 * The version goes to standard error, so that the tables alone can be saved.
 *
 * Return: exit status.
 */
int
ctl_tables_show (const ctl_options_t *options, const char **args)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  gboolean ok = fold_log (options, &fold);
  if (ok)
    {
      g_autoptr (GBytes) text = bt_tables_to_bytes (fold.tables, TRUE);
      gsize len;
      const char *data = g_bytes_get_data (text, &len);
      printf ("%.*s\n", (int)len, data);
      fprintf (stderr, "version %" G_GINT64_FORMAT "\n", fold.version);
    }
  bt_fold_clear (&fold);
  return ok ? EXIT_SUCCESS : CTL_EXIT_FAILED;
}

static void
print_lines (const char *sign, const bt_schema_t *schema, const GPtrArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    {
      g_autoptr (GBytes) text = bt_schema_to_bytes (schema, lines->pdata[i]);
      gsize len;
      const char *data = g_bytes_get_data (text, &len);
      printf ("%s %.*s\n", sign, (int)len, data);
    }
}

/* Return: the number of lines printed, 0 if the edit changes nothing. */
static guint
print_edit (const bt_edit_t *edit)
{
  print_lines ("put route", &bt_route_schema, edit->put->routes);
  print_lines ("put pool", &bt_pool_schema, edit->put->pools);
  for (guint i = 0; i < edit->route_order->len; i++)
    printf ("route %u is %s\n", i + 1, (const char *)edit->route_order->pdata[i]);
  for (guint i = 0; i < edit->remove->routes->len; i++)
    printf ("remove route %s\n", (const char *)edit->remove->routes->pdata[i]);
  for (guint i = 0; i < edit->remove->pools->len; i++)
    printf ("remove pool %s\n", (const char *)edit->remove->pools->pdata[i]);
  return edit->put->routes->len + edit->put->pools->len + edit->remove->routes->len
         + edit->remove->pools->len + edit->route_order->len;
}

/**
 * ctl_tables_diff() - print what publishing the tables in a file would change
 * @options: options
 * @args: the file
 *
 * Return: exit status.
 */
int
ctl_tables_diff (const ctl_options_t *options, const char **args)
{
  bt_tables_t *wanted = load_tables (args[0]);
  if (wanted == NULL)
    return CTL_EXIT_FAILED;
  bt_fold_t fold;
  bt_fold_init (&fold);
  gboolean ok = fold_log (options, &fold);
  if (ok)
    {
      bt_edit_t *edit = bt_fold_diff (&fold, wanted, "diff", options->author);
      if (print_edit (edit) == 0)
        printf ("no difference to version %" G_GINT64_FORMAT "\n", fold.version);
      bt_schema_free (&bt_edit_schema, edit);
    }
  bt_fold_clear (&fold);
  bt_tables_free (wanted);
  return ok ? EXIT_SUCCESS : CTL_EXIT_FAILED;
}

static void
print_history (const bt_fold_t *fold, gint64 since)
{
  for (const GList *l = fold->history.head; l != NULL; l = l->next)
    {
      const bt_history_entry_t *entry = l->data;
      if (entry->version <= since)
        continue;
      printf ("version %" G_GINT64_FORMAT " offset %" G_GINT64_FORMAT
              " %s by %s (edit %s, base %" G_GINT64_FORMAT ")%s%s\n",
              entry->version, entry->offset, bt_verdict_names[entry->verdict], entry->author,
              entry->id, entry->base_version, entry->detail[0] != '\0' ? ": " : "", entry->detail);
    }
}

/**
 * ctl_tables_history() - print the edits of the tables with authors and verdicts
 * @options: options
 * @args: none
 *
 * Return: exit status.
 */
int
ctl_tables_history (const ctl_options_t *options, const char **args)
{
  bt_fold_t fold;
  bt_fold_init (&fold);
  gboolean ok = fold_log (options, &fold);
  if (ok)
    print_history (&fold, -1);
  bt_fold_clear (&fold);
  return ok ? EXIT_SUCCESS : CTL_EXIT_FAILED;
}

static const bt_history_entry_t *
find_history_entry (const bt_fold_t *fold, const char *id)
{
  for (const GList *l = fold->history.tail; l != NULL; l = l->prev)
    {
      const bt_history_entry_t *entry = l->data;
      if (strcmp (entry->id, id) == 0)
        return entry;
    }
  return NULL;
}

/*
 * An append whose reply is lost may have taken effect, so the record is appended
 * again under the same id, of which the fold ignores the second copy.
 */
static const bt_history_entry_t *
publish_edit (const ctl_options_t *options, bt_fold_t *fold, const bt_edit_t *edit)
{
  g_autoptr (GBytes) record = bt_schema_to_bytes (&bt_edit_schema, edit);
  for (int i = 0; i < APPEND_MAX_ATTEMPTS; i++)
    {
      g_autoptr (GError) error = NULL;
      if (!ctl_append (options->log, BT_TABLES_STREAM, record, &error))
        {
          fprintf (stderr, "bamboothreadctl: %s; retrying\n", error->message);
          g_usleep (APPEND_RETRY_DELAY_MS * 1000);
        }
      const bt_history_entry_t *entry
          = ctl_fold_log (options->log, fold, NULL) ? find_history_entry (fold, edit->id) : NULL;
      if (entry != NULL)
        return entry;
    }
  return NULL;
}

static int
print_verdict (const bt_fold_t *fold, const bt_history_entry_t *entry, gint64 base)
{
  if (entry == NULL)
    {
      fprintf (stderr, "bamboothreadctl: the log did not confirm the edit, which may have taken "
                       "effect; see \"tables history\"\n");
      return CTL_EXIT_FAILED;
    }
  if (entry->verdict == BT_VERDICT_ACCEPTED)
    {
      printf ("accepted as version %" G_GINT64_FORMAT "\n", entry->version);
      return EXIT_SUCCESS;
    }
  fprintf (stderr,
           "bamboothreadctl: refused as %s: based on version %" G_GINT64_FORMAT
           ", the tables are at %" G_GINT64_FORMAT " %s\n",
           bt_verdict_names[entry->verdict], base, fold->version, entry->detail);
  print_history (fold, base);
  return CTL_EXIT_FAILED;
}

static int
edit_tables (const ctl_options_t *options, bt_fold_t *fold, const bt_tables_t *wanted)
{
  gint64 base = options->base >= 0 ? options->base : fold->version;
  if (options->base < 0 && fold->version > 0)
    {
      fprintf (stderr,
               "bamboothreadctl: --base is needed, the version that the file was made from; "
               "the tables are at version %" G_GINT64_FORMAT "\n",
               fold->version);
      return CTL_EXIT_USAGE;
    }
  g_autofree char *id = g_uuid_string_random ();
  bt_edit_t *edit = bt_fold_diff (fold, wanted, id, options->author);
  edit->base_version = base;
  int result = EXIT_SUCCESS;
  if (print_edit (edit) == 0)
    printf ("no difference to version %" G_GINT64_FORMAT "\n", fold->version);
  else
    result = print_verdict (fold, publish_edit (options, fold, edit), base);
  bt_schema_free (&bt_edit_schema, edit);
  return result;
}

/**
 * ctl_tables_edit() - publish the tables in a file
 * @options: options; @options->base is the version that the file was made from
 * @args: the file
 *
 * Return: exit status.
 */
int
ctl_tables_edit (const ctl_options_t *options, const char **args)
{
  bt_tables_t *wanted = load_tables (args[0]);
  if (wanted == NULL)
    return CTL_EXIT_FAILED;
  bt_fold_t fold;
  bt_fold_init (&fold);
  int result = fold_log (options, &fold) ? edit_tables (options, &fold, wanted) : CTL_EXIT_FAILED;
  bt_fold_clear (&fold);
  bt_tables_free (wanted);
  return result;
}
