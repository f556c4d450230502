#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "libbamboothread/base/log.h"
#include "libbamboothread/base/metrics.h"
#include "tests/suite.h"

/* Log lines and metrics: what a reader that stopped reading doesn't stop. */

#define LINES 20000

/* Lines of 100 bytes into a pipe that nobody reads, then read again. */
START_TEST (stopped_reader_blocks_nothing)
{
  int ends[2];
  ck_assert_int_eq (pipe (ends), 0);
  bt_log_set_fd (ends[1]);
  bt_log_set_level (BT_LOG_INFO);
  for (guint i = 0; i < LINES; i++)
    bt_log (BT_LOG_INFO, "test", "number=%u padding=%.60d", i, 0);
  bt_log (BT_LOG_NOTICE, "kept", "this line is kept for the end");
  ck_assert_uint_gt (bt_metrics_get_count (BT_COUNT_LOG_DROPPED), 0);
  ck_assert_int_eq (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  GString *seen = g_string_new (NULL);
  char buffer[65536];
  for (guint turn = 0; turn < 100; turn++)
    {
      ssize_t got = read (ends[0], buffer, sizeof buffer);
      if (got > 0)
        g_string_append_len (seen, buffer, got);
      bt_log_flush ();
    }
  ck_assert_ptr_nonnull (strstr (seen->str, "event=kept"));
  ck_assert_ptr_nonnull (strstr (seen->str, "event=log-dropped lines="));
  g_string_free (seen, TRUE);
}
END_TEST

static const char *const lines[] = {
  "# TYPE bamboothread_submissions_total counter\n",
  "bamboothread_submissions_total{answer=\"ok\"} 2\n",
  "bamboothread_starts_total 0\n",
  "bamboothread_term 7\n",
  "bamboothread_job_ms_bucket{le=\"5\"} 1\n",
  "bamboothread_job_ms_bucket{le=\"250\"} 2\n",
  "bamboothread_job_ms_bucket{le=\"+Inf\"} 3\n",
  "bamboothread_job_ms_sum 100204\n",
  "bamboothread_job_ms_count 3\n",
};

START_TEST (metrics_are_written_out)
{
  bt_metrics_count (BT_COUNT_SUBMIT_OK);
  bt_metrics_add (BT_COUNT_SUBMIT_OK, 1);
  bt_metrics_set (BT_GAUGE_TERM, 7);
  bt_metrics_observe (BT_HIST_JOB_MS, 4);
  bt_metrics_observe (BT_HIST_JOB_MS, 200);
  bt_metrics_observe (BT_HIST_JOB_MS, 100000);
  g_autofree char *text = bt_metrics_to_text ();
  ck_assert_msg (strstr (text, lines[_i]) != NULL, "no line %s", lines[_i]);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("log");
  tcase_add_test (tests, stopped_reader_blocks_nothing);
  tcase_add_loop_test (tests, metrics_are_written_out, 0, G_N_ELEMENTS (lines));
  return suite_run ("log", tests);
}
