#include <string.h>

#include "libbamboothread/base/error.h"
#include "libbamboothread/request/request.h"
#include "tests/suite.h"

/* Brackets that overflow a stack of 8 MB if each of them is a call, and fit into a record. */
#define HIDDEN_DEPTH 100000

/* Requests as callers may send them, and the path that the first fault names. */
static const struct
{
  const char *text;
  const char *path;
} request_cases[] = {
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"request\"}", NULL },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"gang\",\"tasks\":4,\"gpus\":2}", NULL },
  { "{\"work\":\"w\",\"kind\":\"request\"}", "$.caller" },
  { "{\"caller\":1,\"work\":\"w\",\"kind\":\"request\"}", "$.caller" },
  { "{\"caller\":\"\",\"work\":\"w\",\"kind\":\"request\"}", "$.caller" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"other\"}", "$.kind" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"batch\",\"tasks\":0}", "$.tasks" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"batch\",\"tasks\":1.5}", "$.tasks" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"batch\",\"mcpus\":-1}", "$.mcpus" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"batch\",\"extra\":1}", "$.extra" },
  { "{\"caller\":\"a\",\"work\":\"w\",\"kind\":\"batch\",\"gpus\":99999}", "$.gpus" },
  { "[]", "$" },
  { "null", "$" },
  { "", "UTF-8" },
  { "{\"caller\":\"a\",", "" },
  { "{\"caller\":\"\xff\xfe\"}", "UTF-8" },
  { "[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]", "nested" },
};

START_TEST (request_is_checked)
{
  const char *text = request_cases[_i].text;
  GError *error = NULL;
  bt_request_t *request = bt_schema_parse (&bt_request_schema, text, strlen (text), &error);
  if (request_cases[_i].path == NULL)
    {
      ck_assert_ptr_nonnull (request);
      bt_request_t *copy = bt_schema_copy (&bt_request_schema, request);
      GBytes *first = bt_schema_to_bytes (&bt_request_schema, request);
      GBytes *second = bt_schema_to_bytes (&bt_request_schema, copy);
      ck_assert (g_bytes_equal (first, second));
      g_bytes_unref (first);
      g_bytes_unref (second);
      bt_schema_free (&bt_request_schema, copy);
    }
  else
    {
      ck_assert_ptr_null (request);
      ck_assert_ptr_nonnull (strstr (error->message, request_cases[_i].path));
    }
  bt_schema_free (&bt_request_schema, request);
  g_clear_error (&error);
}
END_TEST

START_TEST (all_faults_are_reported)
{
  const char *text = "{\"caller\":7,\"kind\":\"x\",\"tasks\":0,\"bad\":1}";
  GError *error = NULL;
  ck_assert_ptr_null (bt_schema_parse (&bt_request_schema, text, strlen (text), &error));
  static const char *const paths[] = { "$.caller", "$.work", "$.kind", "$.tasks", "$.bad" };
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    ck_assert_msg (strstr (error->message, paths[i]) != NULL, "%s", paths[i]);
  g_clear_error (&error);
}
END_TEST

/* Texts that the parser takes, with nesting where a check that knows only JSON sees a string. */
static const struct
{
  const char *before;
  const char *after;
} hidden_cases[] = {
  { "/*\"*/", "" },  { "{\"a\":/*\"*/", "}" }, { "/* \\\"*/", "" },  { "//\"\n//\"\n/*\"*/", "" },
  { "['\"',", "]" }, { "{'\"':", "}" },        { "['\\'\"',", "]" },
};

/* Guards against a text whose nesting is hidden and that overflows the stack of the process. */
START_TEST (hidden_nesting_is_refused)
{
  g_autoptr (GString) text = g_string_new (hidden_cases[_i].before);
  for (guint i = 0; i < HIDDEN_DEPTH; i++)
    g_string_append_c (text, '[');
  for (guint i = 0; i < HIDDEN_DEPTH; i++)
    g_string_append_c (text, ']');
  g_string_append (text, hidden_cases[_i].after);
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) node = bt_json_parse (text->str, text->len, &error);
  ck_assert_ptr_null (node);
  ck_assert (g_error_matches (error, BT_ERROR, BT_ERROR_INVALID));
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("schema");
  tcase_add_loop_test (tests, request_is_checked, 0, G_N_ELEMENTS (request_cases));
  tcase_add_test (tests, all_faults_are_reported);
  tcase_add_loop_test (tests, hidden_nesting_is_refused, 0, G_N_ELEMENTS (hidden_cases));
  return suite_run ("schema", tests);
}
