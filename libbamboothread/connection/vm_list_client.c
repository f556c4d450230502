#include "libbamboothread/connection/vm_list_client.h"

#include "libbamboothread/connection/http.h"

#define POLL_INTERVAL_S 1
#define CALL_TIMEOUT_MS 3000

static const char *const state_names[] = { "live", "leaving", NULL };

static const bt_field_t vm_fields[] = {
  { "name", BT_FIELD_STRING, offsetof (bt_listed_vm_t, name), TRUE, 1, 64 },
  { "state", BT_FIELD_ENUM, offsetof (bt_listed_vm_t, state), TRUE, 0, 0, 0, state_names },
};

static const bt_schema_t vm_schema = BT_SCHEMA (vm_fields, bt_listed_vm_t);

static const bt_field_t list_fields[] = {
  { "vms", BT_FIELD_OBJECTS, offsetof (bt_vm_list_t, vms), TRUE, 0, 65536, 0, NULL, &vm_schema },
};

const bt_schema_t bt_vm_list_schema = BT_SCHEMA (list_fields, bt_vm_list_t);

struct bt_vm_list_client_t
{
  char *address;
  bt_http_client_t *http;
  GCancellable *cancel;
  guint timer;
  gboolean poll_in_flight;
  bt_vm_list_handler_t handler;
  void *context;
};

static void
on_list_response (gpointer data, guint status, GBytes *body)
{
  bt_vm_list_client_t *client = data;
  if (g_cancellable_is_cancelled (client->cancel))
    return;
  client->poll_in_flight = FALSE;
  if (status != SOUP_STATUS_OK)
    return;
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  bt_vm_list_t *list = bt_schema_parse (&bt_vm_list_schema, text, len, NULL);
  if (list == NULL)
    return;
  g_autoptr (GPtrArray) leaving = g_ptr_array_new ();
  for (guint i = 0; i < list->vms->len; i++)
    {
      const bt_listed_vm_t *vm = list->vms->pdata[i];
      if (vm->state == BT_LISTED_LEAVING)
        g_ptr_array_add (leaving, vm->name);
    }
  client->handler (client->context, leaving);
  bt_schema_free (&bt_vm_list_schema, list);
}

static gboolean
on_poll_timer (gpointer data)
{
  bt_vm_list_client_t *client = data;
  if (client->poll_in_flight)
    return G_SOURCE_CONTINUE;
  client->poll_in_flight = TRUE;
  bt_http_call (client->http, "GET", client->address, "/v1/vms", NULL, client->cancel,
                on_list_response, client);
  return G_SOURCE_CONTINUE;
}

/**
 * bt_vm_list_client_new() - start to poll the list of VMs
 * @address: IP:port of the platform's list service
 * @handler: called each time the list has been read
 * @context: passed to @handler
 *
 * Return: a client for bt_vm_list_client_free().
 */
bt_vm_list_client_t *
bt_vm_list_client_new (const char *address, bt_vm_list_handler_t handler, void *context)
{
  bt_vm_list_client_t *client = g_new0 (bt_vm_list_client_t, 1);
  client->address = g_strdup (address);
  client->http = bt_http_client_new (CALL_TIMEOUT_MS, 1);
  client->cancel = g_cancellable_new ();
  client->handler = handler;
  client->context = context;
  client->timer = g_timeout_add_seconds (POLL_INTERVAL_S, on_poll_timer, client);
  return client;
}

/**
 * bt_vm_list_client_free() - stop polling
 * @client: the client
 */
void
bt_vm_list_client_free (bt_vm_list_client_t *client)
{
  g_source_remove (client->timer);
  g_cancellable_cancel (client->cancel);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  bt_http_client_free (client->http);
  g_object_unref (client->cancel);
  g_free (client->address);
  g_free (client);
}
