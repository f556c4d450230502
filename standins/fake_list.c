#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/connection/vm_list_client.h"
#include "standins/standin.h"

/*
 * A stand-in for the platform's list of VMs. What is put shows after a lag.
 */

#define EXIT_USAGE 2

typedef struct
{
  GHashTable *shown;
  guint lag_ms;
} fake_list_t;

typedef struct
{
  fake_list_t *list;
  char *name;
  char *state;
} change_t;

static gboolean
on_lag_over (gpointer data)
{
  change_t *change = data;
  g_hash_table_replace (change->list->shown, change->name, change->state);
  g_free (change);
  return G_SOURCE_REMOVE;
}

/* GET gives the list; POST /v1/vms?name=N&state=leaving changes it. */
static void
on_vms (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *params,
        gpointer data)
{
  fake_list_t *list = data;
  if (strcmp (soup_server_message_get_method (message), "POST") == 0)
    {
      const char *name = params != NULL ? g_hash_table_lookup (params, "name") : NULL;
      const char *state = params != NULL ? g_hash_table_lookup (params, "state") : NULL;
      gboolean valid = name != NULL && state != NULL
                       && (strcmp (state, "live") == 0 || strcmp (state, "leaving") == 0);
      bt_standin_respond (message, valid ? SOUP_STATUS_OK : SOUP_STATUS_BAD_REQUEST, NULL);
      if (!valid)
        return;
      change_t *change = g_new0 (change_t, 1);
      change->list = list;
      change->name = g_strdup (name);
      change->state = g_strdup (state);
      g_timeout_add (list->lag_ms, on_lag_over, change);
      /* cppcheck-suppress memleak ; the timeout frees it */
      return;
    }
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  const char *name;
  const char *state;
  g_hash_table_iter_init (&iter, list->shown);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&state))
    {
      JsonObject *item = json_object_new ();
      json_object_set_string_member (item, "name", name);
      json_object_set_string_member (item, "state", state);
      json_array_add_object_element (array, item);
    }
  JsonObject *json = json_object_new ();
  json_object_set_array_member (json, "vms", array);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  g_autoptr (GBytes) body = bt_json_to_bytes (node, FALSE);
  bt_standin_respond (message, SOUP_STATUS_OK, body);
}

int
main (int argc, const char **argv)
{
  char *listen = NULL;
  int lag_ms = 2000;
  int version = 0;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT" },
    { "lag-ms", 'g', POPT_ARG_INT, &lag_ms, 0, "how late changes show", "MS" },
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext ("bamboothread-fake-list", argc, argv, options, 0);
  int parsed = poptGetNextOpt (popt);
  poptFreeContext (popt);
  if (version)
    {
      printf ("bamboothread-fake-list %s\n", BT_VERSION);
      return EXIT_SUCCESS;
    }
  if (parsed < -1 || listen == NULL || lag_ms < 0)
    {
      fprintf (stderr, "bamboothread-fake-list: --listen is needed\n");
      return EXIT_USAGE;
    }
  bt_log_set_ident ("bamboothread-fake-list");
  fake_list_t list
      = { g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free), (guint)lag_ms };
  g_autoptr (GError) error = NULL;
  g_autoptr (SoupServer) server = bt_standin_listen (listen, &error);
  if (server == NULL)
    {
      bt_log (BT_LOG_ERROR, "start-failed", "cause=\"%s\"", error->message);
      return EXIT_FAILURE;
    }
  soup_server_add_handler (server, "/v1/vms", on_vms, &list, NULL);
  bt_standin_run ();
  free (listen);
  return EXIT_SUCCESS;
}
