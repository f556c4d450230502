#ifndef BT_BASE_SCHEMA_H
#define BT_BASE_SCHEMA_H

#include <json-glib/json-glib.h>

typedef struct bt_schema_t bt_schema_t;

/**
 * enum bt_field_kind_t - type of a field in its struct
 * @BT_FIELD_STRING: GRefString pointer, valid UTF-8 of @min to @max bytes
 * @BT_FIELD_INT: gint64 between @min and @max
 * @BT_FIELD_DOUBLE: double between @min and @max
 * @BT_FIELD_BOOL: gboolean
 * @BT_FIELD_ENUM: gint, an index into @names
 * @BT_FIELD_STRINGS: GPtrArray of @min to @max GRefStrings
 * @BT_FIELD_OBJECT: pointer to a struct that @schema describes
 * @BT_FIELD_OBJECTS: GPtrArray of @min to @max such structs
 */
typedef enum
{
  BT_FIELD_STRING,
  BT_FIELD_INT,
  BT_FIELD_DOUBLE,
  BT_FIELD_BOOL,
  BT_FIELD_ENUM,
  BT_FIELD_STRINGS,
  BT_FIELD_OBJECT,
  BT_FIELD_OBJECTS,
} bt_field_kind_t;

/**
 * struct bt_field_t - a member of a JSON object and the struct member that holds it
 * @name: its JSON key
 * @offset: offset of the struct member, in bytes
 * @required: whether the JSON object must have the key
 * @max: 0 stands for 255 bytes in a STRING field and for no limit in an array
 * @default_value: value of an INT, BOOL, ENUM or DOUBLE field if the key is absent; in a
 *   STRINGS field, the maximum length of an element in bytes, where 0 stands for 255
 * @names: names of the values of an ENUM field, NULL-terminated
 */
typedef struct
{
  const char *name;
  bt_field_kind_t kind;
  gsize offset;
  gboolean required;
  gint64 min;
  gint64 max;
  gint64 default_value;
  const char *const *names;
  const bt_schema_t *schema;
} bt_field_t;

/**
 * struct bt_schema_t - the members of a JSON object and the struct that holds it
 * @size: size of the struct, in bytes
 */
struct bt_schema_t
{
  const bt_field_t *fields;
  gsize n_fields;
  gsize size;
};

#define BT_SCHEMA(fields, type)                                                                    \
  {                                                                                                \
    fields, G_N_ELEMENTS (fields), sizeof (type)                                                   \
  }

/**
 * struct bt_issue_t - a validation error in a document
 * @path: JSON path of the invalid value, for instance $.pools[2].vms[0].cpus
 * @expected: what is valid there
 * @found: what the document has there
 */
typedef struct
{
  char *path;
  char *expected;
  char *found;
} bt_issue_t;

/**
 * struct bt_report_t - all validation errors in a document
 * @issues: array of bt_issue_t
 */
typedef struct
{
  GPtrArray *issues;
} bt_report_t;

void bt_report_init (bt_report_t *report);
void bt_report_clear (bt_report_t *report);
gboolean bt_report_is_empty (const bt_report_t *report);
void bt_report_add (bt_report_t *report, const char *path, const char *expected, const char *found);
char *bt_report_to_text (const bt_report_t *report, const char *file);

gpointer bt_schema_read (const bt_schema_t *schema, JsonNode *node, const char *path,
                         bt_report_t *report);
gpointer bt_schema_parse (const bt_schema_t *schema, const char *data, gsize len, GError **error);
JsonNode *bt_schema_to_json (const bt_schema_t *schema, gconstpointer object);
GBytes *bt_schema_to_bytes (const bt_schema_t *schema, gconstpointer object);
gpointer bt_schema_copy (const bt_schema_t *schema, gconstpointer object);
void bt_schema_free (const bt_schema_t *schema, gpointer object);

JsonNode *bt_json_parse (const char *data, gsize len, GError **error);
GBytes *bt_json_to_bytes (JsonNode *node, gboolean pretty);

#endif
