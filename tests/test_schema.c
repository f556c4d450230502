#include <string.h>

#include "libbamboothread/request/request.h"
#include "tests/suite.h"

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

int
main (void)
{
  TCase *tests = tcase_create ("schema");
  tcase_add_loop_test (tests, request_is_checked, 0, G_N_ELEMENTS (request_cases));
  tcase_add_test (tests, all_faults_are_reported);
  return suite_run ("schema", tests);
}
