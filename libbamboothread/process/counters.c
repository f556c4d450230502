#include "libbamboothread/process/counters.h"

/**
 * bt_counters_to_json() - convert the counters to a JSON object
 * @counters: the counters
 *
 * Return: a new node, with one integer member per counter.
 */
JsonNode *
bt_counters_to_json (const bt_counters_t *counters)
{
  JsonObject *json = json_object_new ();
#define BT_COUNTER_MEMBER(name) json_object_set_int_member (json, #name, (gint64)counters->name);
  BT_COUNTERS (BT_COUNTER_MEMBER)
#undef BT_COUNTER_MEMBER
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}
