#include "libbamboothread/base/schema.h"

#include <string.h>

#include "libbamboothread/base/error.h"

#define JSON_DEPTH_MAX 16
#define STRING_DEFAULT_MAX_BYTES 255

#define FIELD_AT(object, field, type) (*(type *)(void *)((char *)(object) + (field)->offset))

static void
issue_free (gpointer data)
{
  bt_issue_t *issue = data;
  g_free (issue->path);
  g_free (issue->expected);
  g_free (issue->found);
  g_free (issue);
}

/**
 * bt_report_init() - initialize an empty report
 * @report: the report
 */
void
bt_report_init (bt_report_t *report)
{
  report->issues = g_ptr_array_new_with_free_func (issue_free);
}

/**
 * bt_report_clear() - free the contents of a report
 * @report: the report
 */
void
bt_report_clear (bt_report_t *report)
{
  g_clear_pointer (&report->issues, g_ptr_array_unref);
}

/**
 * bt_report_is_empty() - whether a document is valid
 * @report: the report
 *
 * Return: TRUE if no validation errors were added.
 */
gboolean
bt_report_is_empty (const bt_report_t *report)
{
  return report->issues->len == 0;
}

/**
 * bt_report_add() - add a validation error
 * @report: the report
 * @path: JSON path of the invalid value
 * @expected: what is valid there
 * @found: what the document has there
 */
void
bt_report_add (bt_report_t *report, const char *path, const char *expected, const char *found)
{
  bt_issue_t *issue = g_new0 (bt_issue_t, 1);
  issue->path = g_strdup (path);
  issue->expected = g_strdup (expected);
  issue->found = g_strdup (found);
  g_ptr_array_add (report->issues, issue);
}

/**
 * bt_report_to_text() - format all validation errors, one per line
 * @report: the report
 * @file: name of the document, which starts each line
 *
 * Return: a new string, empty if there are no errors.
 */
char *
bt_report_to_text (const bt_report_t *report, const char *file)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < report->issues->len; i++)
    {
      const bt_issue_t *issue = report->issues->pdata[i];
      g_string_append_printf (text, "%s: %s: expected %s, found %s\n", file, issue->path,
                              issue->expected, issue->found);
    }
  return g_string_free (text, FALSE);
}

/* Return: the JSON text of a node, truncated to 60 bytes. */
static char *
summarize_node (JsonNode *node)
{
  g_autofree char *text = json_to_string (node, FALSE);
  if (strlen (text) <= 60)
    return g_steal_pointer (&text);
  const char *end = g_utf8_find_prev_char (text, text + 58);
  return g_strdup_printf ("%.*s...", (int)(end - text), text);
}

static void
report_mismatch (bt_report_t *report, const char *path, const char *expected, JsonNode *node)
{
  g_autofree char *found = summarize_node (node);
  bt_report_add (report, path, expected, found);
}

static gboolean
node_has_type (JsonNode *node, GType type)
{
  return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

static GRefString *
read_string (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report)
{
  if (!node_has_type (node, G_TYPE_STRING))
    {
      report_mismatch (report, path, "a string", node);
      return NULL;
    }
  const char *text = json_node_get_string (node);
  gsize len = strlen (text);
  if (!g_utf8_validate_len (text, len, NULL))
    {
      bt_report_add (report, path, "valid UTF-8", "invalid UTF-8");
      return NULL;
    }
  gsize min_len = field->min > 0 ? (gsize)field->min : 0;
  gsize max_len = field->max > 0 ? (gsize)field->max : STRING_DEFAULT_MAX_BYTES;
  if (len < min_len || len > max_len)
    {
      g_autofree char *expected
          = g_strdup_printf ("%" G_GSIZE_FORMAT " to %" G_GSIZE_FORMAT " bytes", min_len, max_len);
      g_autofree char *found = g_strdup_printf ("%" G_GSIZE_FORMAT " bytes", len);
      bt_report_add (report, path, expected, found);
      return NULL;
    }
  return g_ref_string_new_len (text, (gssize)len);
}

static void
read_int (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report,
          gpointer object)
{
  gint64 value = node_has_type (node, G_TYPE_INT64) ? json_node_get_int (node) : 0;
  if (node_has_type (node, G_TYPE_INT64) && value >= field->min && value <= field->max)
    {
      FIELD_AT (object, field, gint64) = value;
      return;
    }
  g_autofree char *expected = g_strdup_printf (
      "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, field->min, field->max);
  report_mismatch (report, path, expected, node);
}

static void
read_double (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report,
             gpointer object)
{
  gboolean is_number = node_has_type (node, G_TYPE_INT64) || node_has_type (node, G_TYPE_DOUBLE);
  double value = is_number ? json_node_get_double (node) : 0;
  if (is_number && value >= (double)field->min && value <= (double)field->max)
    {
      FIELD_AT (object, field, double) = value;
      return;
    }
  g_autofree char *expected = g_strdup_printf (
      "a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, field->min, field->max);
  report_mismatch (report, path, expected, node);
}

static void
read_enum (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report,
           gpointer object)
{
  const char *text = node_has_type (node, G_TYPE_STRING) ? json_node_get_string (node) : NULL;
  for (int i = 0; text != NULL && field->names[i] != NULL; i++)
    if (strcmp (field->names[i], text) == 0)
      {
        FIELD_AT (object, field, gint) = i;
        return;
      }
  g_autofree char *joined = g_strjoinv (", ", (char **)field->names);
  g_autofree char *expected = g_strdup_printf ("one of %s", joined);
  report_mismatch (report, path, expected, node);
}

static GPtrArray *
read_array (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report)
{
  GPtrArray *items = g_ptr_array_new ();
  if (!JSON_NODE_HOLDS_ARRAY (node))
    {
      report_mismatch (report, path, "an array", node);
      return items;
    }
  JsonArray *array = json_node_get_array (node);
  guint len = json_array_get_length (array);
  if (len < (guint)field->min || (field->max > 0 && len > (guint)field->max))
    {
      g_autofree char *expected = g_strdup_printf (
          "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " elements", field->min, field->max);
      g_autofree char *found = g_strdup_printf ("%u elements", len);
      bt_report_add (report, path, expected, found);
      return items;
    }
  gint64 element_max_len
      = field->default_value > 0 ? field->default_value : STRING_DEFAULT_MAX_BYTES;
  const bt_field_t element = { "", BT_FIELD_STRING, 0, FALSE, 1, element_max_len };
  for (guint i = 0; i < len; i++)
    {
      g_autofree char *element_path = g_strdup_printf ("%s[%u]", path, i);
      JsonNode *item = json_array_get_element (array, i);
      gpointer value = field->kind == BT_FIELD_STRINGS
                           ? (gpointer)read_string (&element, item, element_path, report)
                           : bt_schema_read (field->schema, item, element_path, report);
      if (value != NULL)
        g_ptr_array_add (items, value);
    }
  return items;
}

static void
read_field (const bt_field_t *field, JsonNode *node, const char *path, bt_report_t *report,
            gpointer object)
{
  switch (field->kind)
    {
    case BT_FIELD_STRING:
      FIELD_AT (object, field, GRefString *) = read_string (field, node, path, report);
      break;
    case BT_FIELD_INT:
      read_int (field, node, path, report, object);
      break;
    case BT_FIELD_DOUBLE:
      read_double (field, node, path, report, object);
      break;
    case BT_FIELD_BOOL:
      if (node_has_type (node, G_TYPE_BOOLEAN))
        FIELD_AT (object, field, gboolean) = json_node_get_boolean (node);
      else
        report_mismatch (report, path, "true or false", node);
      break;
    case BT_FIELD_ENUM:
      read_enum (field, node, path, report, object);
      break;
    case BT_FIELD_STRINGS:
    case BT_FIELD_OBJECTS:
      FIELD_AT (object, field, GPtrArray *) = read_array (field, node, path, report);
      break;
    case BT_FIELD_OBJECT:
      FIELD_AT (object, field, gpointer) = bt_schema_read (field->schema, node, path, report);
      break;
    }
}

static void
set_default (const bt_field_t *field, gpointer object)
{
  switch (field->kind)
    {
    case BT_FIELD_INT:
      FIELD_AT (object, field, gint64) = field->default_value;
      break;
    case BT_FIELD_DOUBLE:
      FIELD_AT (object, field, double) = (double)field->default_value;
      break;
    case BT_FIELD_BOOL:
    case BT_FIELD_ENUM:
      FIELD_AT (object, field, gint) = (gint)field->default_value;
      break;
    case BT_FIELD_STRINGS:
    case BT_FIELD_OBJECTS:
      FIELD_AT (object, field, GPtrArray *) = g_ptr_array_new ();
      break;
    default:
      break;
    }
}

static void
report_unknown_keys (const bt_schema_t *schema, JsonObject *json, const char *path,
                     bt_report_t *report)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;
  json_object_iter_init (&iter, json);
  while (json_object_iter_next (&iter, &name, &node))
    {
      gboolean is_known = FALSE;
      for (gsize i = 0; i < schema->n_fields && !is_known; i++)
        is_known = strcmp (schema->fields[i].name, name) == 0;
      if (is_known)
        continue;
      g_autofree char *key_path = g_strdup_printf ("%s.%s", path, name);
      report_mismatch (report, key_path, "no such key", node);
    }
}

/**
 * bt_schema_read() - read a JSON object into a new struct
 * @schema: schema of the object
 * @node: the JSON node
 * @path: JSON path of @node, for the report
 * @report: receives all validation errors, not only the first
 *
 * Return: a struct to be freed with bt_schema_free(), or NULL if @node is not an
 * object. The struct may be used only if @report is empty.
 */
gpointer
bt_schema_read (const bt_schema_t *schema, JsonNode *node, const char *path, bt_report_t *report)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      report_mismatch (report, path, "an object", node);
      return NULL;
    }
  JsonObject *json = json_node_get_object (node);
  gpointer object = g_malloc0 (schema->size);
  report_unknown_keys (schema, json, path, report);
  for (gsize i = 0; i < schema->n_fields; i++)
    {
      const bt_field_t *field = &schema->fields[i];
      g_autofree char *member_path = g_strdup_printf ("%s.%s", path, field->name);
      JsonNode *member = json_object_get_member (json, field->name);
      if (member != NULL)
        {
          read_field (field, member, member_path, report, object);
          continue;
        }
      set_default (field, object);
      if (field->required)
        bt_report_add (report, member_path, "a value", "nothing");
    }
  return object;
}

/**
 * bt_schema_parse() - parse JSON text into a new struct
 * @schema: schema of the object
 * @data: JSON text
 * @len: its length in bytes
 * @error: BT_ERROR_INVALID, with all validation errors in its message
 *
 * Return: a struct to be freed with bt_schema_free(), or NULL.
 */
gpointer
bt_schema_parse (const bt_schema_t *schema, const char *data, gsize len, GError **error)
{
  g_autoptr (JsonNode) node = bt_json_parse (data, len, error);
  if (node == NULL)
    return NULL;
  bt_report_t report;
  bt_report_init (&report);
  gpointer object = bt_schema_read (schema, node, "$", &report);
  if (!bt_report_is_empty (&report))
    {
      g_autofree char *text = bt_report_to_text (&report, "input");
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "%s", g_strchomp (text));
      bt_schema_free (schema, object);
      object = NULL;
    }
  bt_report_clear (&report);
  return object;
}

static JsonNode *
write_array (const bt_field_t *field, const GPtrArray *items)
{
  JsonArray *array = json_array_new ();
  for (guint i = 0; items != NULL && i < items->len; i++)
    if (field->kind == BT_FIELD_STRINGS)
      json_array_add_string_element (array, items->pdata[i]);
    else
      json_array_add_element (array, bt_schema_to_json (field->schema, items->pdata[i]));
  JsonNode *node = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (node, array);
  return node;
}

static void
write_field (const bt_field_t *field, gconstpointer object, JsonObject *json)
{
  switch (field->kind)
    {
    case BT_FIELD_STRING:
      if (FIELD_AT (object, field, GRefString *) != NULL)
        json_object_set_string_member (json, field->name, FIELD_AT (object, field, GRefString *));
      break;
    case BT_FIELD_INT:
      if (field->required || FIELD_AT (object, field, gint64) != field->default_value)
        json_object_set_int_member (json, field->name, FIELD_AT (object, field, gint64));
      break;
    case BT_FIELD_DOUBLE:
      if (field->required || FIELD_AT (object, field, double) != (double)field->default_value)
        json_object_set_double_member (json, field->name, FIELD_AT (object, field, double));
      break;
    case BT_FIELD_BOOL:
      if (field->required || FIELD_AT (object, field, gboolean) != (gboolean)field->default_value)
        json_object_set_boolean_member (json, field->name, FIELD_AT (object, field, gboolean));
      break;
    case BT_FIELD_ENUM:
      if (field->required || FIELD_AT (object, field, gint) != (gint)field->default_value)
        json_object_set_string_member (json, field->name,
                                       field->names[FIELD_AT (object, field, gint)]);
      break;
    case BT_FIELD_STRINGS:
    case BT_FIELD_OBJECTS:
      {
        const GPtrArray *items = FIELD_AT (object, field, GPtrArray *);
        if (field->required || (items != NULL && items->len > 0))
          json_object_set_member (json, field->name, write_array (field, items));
        break;
      }
    case BT_FIELD_OBJECT:
      if (FIELD_AT (object, field, gpointer) != NULL)
        json_object_set_member (
            json, field->name,
            bt_schema_to_json (field->schema, FIELD_AT (object, field, gpointer)));
      break;
    }
}

/**
 * bt_schema_to_json() - convert a struct to JSON
 * @schema: its schema
 * @object: the struct; absent values, and default values of optional fields, are
 *   omitted
 *
 * Return: a new node.
 */
JsonNode *
bt_schema_to_json (const bt_schema_t *schema, gconstpointer object)
{
  JsonObject *json = json_object_new ();
  for (gsize i = 0; i < schema->n_fields; i++)
    write_field (&schema->fields[i], object, json);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, json);
  return node;
}

/**
 * bt_schema_to_bytes() - convert a struct to JSON text
 * @schema: its schema
 * @object: the struct
 *
 * Return: the text; its size excludes the terminating NUL.
 */
GBytes *
bt_schema_to_bytes (const bt_schema_t *schema, gconstpointer object)
{
  g_autoptr (JsonNode) node = bt_schema_to_json (schema, object);
  return bt_json_to_bytes (node, FALSE);
}

/**
 * bt_schema_copy() - make a deep copy of a struct
 * @schema: its schema
 * @object: the struct
 *
 * Return: a struct to be freed with bt_schema_free().
 */
gpointer
bt_schema_copy (const bt_schema_t *schema, gconstpointer object)
{
  gpointer copy = g_memdup2 (object, schema->size);
  for (gsize i = 0; i < schema->n_fields; i++)
    {
      const bt_field_t *field = &schema->fields[i];
      if (field->kind == BT_FIELD_STRING && FIELD_AT (copy, field, GRefString *) != NULL)
        g_ref_string_acquire (FIELD_AT (copy, field, GRefString *));
      if (field->kind == BT_FIELD_OBJECT && FIELD_AT (copy, field, gpointer) != NULL)
        FIELD_AT (copy, field, gpointer)
            = bt_schema_copy (field->schema, FIELD_AT (object, field, gpointer));
      if (field->kind != BT_FIELD_STRINGS && field->kind != BT_FIELD_OBJECTS)
        continue;
      const GPtrArray *from = FIELD_AT (object, field, GPtrArray *);
      GPtrArray *to = g_ptr_array_new ();
      for (guint k = 0; from != NULL && k < from->len; k++)
        g_ptr_array_add (to, field->kind == BT_FIELD_STRINGS
                                 ? (gpointer)g_ref_string_acquire (from->pdata[k])
                                 : bt_schema_copy (field->schema, from->pdata[k]));
      FIELD_AT (copy, field, GPtrArray *) = to;
    }
  return copy;
}

static void
free_array (const bt_field_t *field, GPtrArray *items)
{
  if (items == NULL)
    return;
  for (guint i = 0; i < items->len; i++)
    if (field->kind == BT_FIELD_STRINGS)
      g_ref_string_release (items->pdata[i]);
    else
      bt_schema_free (field->schema, items->pdata[i]);
  g_ptr_array_unref (items);
}

/**
 * bt_schema_free() - free a struct and everything in it
 * @schema: its schema
 * @object: the struct, or NULL
 */
void
bt_schema_free (const bt_schema_t *schema, gpointer object)
{
  if (object == NULL)
    return;
  for (gsize i = 0; i < schema->n_fields; i++)
    {
      const bt_field_t *field = &schema->fields[i];
      if (field->kind == BT_FIELD_STRING)
        g_clear_pointer (&FIELD_AT (object, field, GRefString *), g_ref_string_release);
      else if (field->kind == BT_FIELD_OBJECT)
        bt_schema_free (field->schema, FIELD_AT (object, field, gpointer));
      else if (field->kind == BT_FIELD_STRINGS || field->kind == BT_FIELD_OBJECTS)
        free_array (field, FIELD_AT (object, field, GPtrArray *));
    }
  g_free (object);
}

static gboolean
is_outside_strings (char c)
{
  return c != '\0' && (g_ascii_isalnum (c) || strchr ("{}[],:+-. \t\r\n", c) != NULL);
}

/* Bounds the recursion of the parser. It would also take comments and strings in single quotes, in
   which a quote hides the brackets that follow, so only characters of JSON may stand outside
   strings. */
static gboolean
check_nesting (const char *data, gsize len, GError **error)
{
  guint depth = 0;
  gboolean in_string = FALSE;
  for (gsize i = 0; i < len; i++)
    {
      char c = data[i];
      if (in_string && c == '\\')
        i++;
      else if (c == '"')
        in_string = !in_string;
      else if (in_string)
        continue;
      else if (!is_outside_strings (c))
        {
          g_set_error (
              error, BT_ERROR, BT_ERROR_INVALID,
              "expected JSON, found character 0x%02x outside a string at byte %" G_GSIZE_FORMAT,
              (guchar)c, i);
          return FALSE;
        }
      else if (c == '{' || c == '[')
        depth++;
      else if ((c == '}' || c == ']') && depth > 0)
        depth--;
      if (depth > JSON_DEPTH_MAX)
        {
          g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "JSON nested deeper than %d",
                       JSON_DEPTH_MAX);
          return FALSE;
        }
    }
  return TRUE;
}

/**
 * bt_json_parse() - parse untrusted JSON text
 * @data: the text
 * @len: its length in bytes
 * @error: BT_ERROR_INVALID if it isn't UTF-8 JSON or is nested too deeply
 *
 * Return: a new node, or NULL.
 */
JsonNode *
bt_json_parse (const char *data, gsize len, GError **error)
{
  if (len == 0 || !g_utf8_validate_len (data, len, NULL))
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "expected UTF-8 JSON text");
      return NULL;
    }
  if (!check_nesting (data, len, error))
    return NULL;
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  g_autoptr (GError) inner = NULL;
  if (!json_parser_load_from_data (parser, data, (gssize)len, &inner)
      || json_parser_get_root (parser) == NULL)
    {
      g_set_error (error, BT_ERROR, BT_ERROR_INVALID, "%s",
                   inner != NULL ? inner->message : "expected a JSON value, found nothing");
      return NULL;
    }
  return json_node_copy (json_parser_get_root (parser));
}

/**
 * bt_json_to_bytes() - convert a JSON node to text
 * @node: the node
 * @pretty: whether to add line breaks and indentation
 *
 * Return: the text; its size excludes the terminating NUL.
 */
GBytes *
bt_json_to_bytes (JsonNode *node, gboolean pretty)
{
  char *text = json_to_string (node, pretty);
  return g_bytes_new_take (text, strlen (text));
}
