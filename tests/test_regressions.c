#include "tests/fuzz/run.h"
#include "tests/suite.h"

/*
 * Schedules that once violated what must always hold, shrunk to the actions
 * that matter. Each failed before its fault was mended. Where a fault needs a
 * certain outcome to show, the case asks for it.
 */

typedef struct
{
  const char *name;
  const char *schedule;
  bt_status_t reached;
  guint64 times;
} regression_t;

static const regression_t cases[] = {
  { "a new owner tells the whole answer of a job of several tasks",
    "world seed=6 calm=1 data_centres=2 daemons=3 workers=6 ms=43000\n"
    "14186 17 submit 5 40239 14461\n"
    "35206 24 leave 10 59130 9914\n"
    "41541 55 repeat 58 17 24640\n",
    BT_STATUS_DONE, 1 },
  { "a leaving entry does not say not run of a key that ran elsewhere",
    "world seed=18 calm=0 data_centres=2 daemons=3 workers=3 ms=8000\n"
    "4068 4 submit 63 33719 61604\n"
    "4305 6 leave 6 19285 34428\n"
    "4306 7 repeat 18 4 64093\n",
    BT_STATUS_UNKNOWN, 1 },
  { "an acceptance on its way to the log is no proof that a job was not run",
    "world seed=13 calm=0 data_centres=2 daemons=2 workers=5 ms=20976\n"
    "14634 131 log-lose 39 46930 25507\n"
    "16725 154 log-cut 53 19132 30082\n"
    "16791 157 submit 10 36328 42472\n"
    "19212 187 submit 36 34392 55489\n"
    "19666 193 submit 29 45922 6432\n"
    "20498 204 leave 20 5556 55043\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a daemon that reads a job before the tables places it all the same",
    "world seed=5 calm=0 data_centres=3 daemons=2 workers=6 ms=25885\n"
    "12766 148 host-pause 51 11294 48965\n"
    "12779 150 host-kill 58 17633 49532\n"
    "12960 153 kill 56 39884 59271\n"
    "13262 157 kill 6 54042 17924\n"
    "13295 159 host-pause 63 53607 22628\n"
    "13321 161 submit 11 30962 27326\n"
    "13389 151 host-boot 58 17633 49532\n"
    "13400 162 submit 32 9235 65519\n"
    "13443 163 host-kill 2 18872 21240\n"
    "13490 166 submit 12 43002 50363\n"
    "13645 169 submit 20 62315 12502\n"
    "13670 170 submit 6 8444 3376\n"
    "13967 174 host-pause 50 32447 63866\n"
    "15080 192 submit 60 64881 10047\n"
    "15561 197 host-pause 36 51463 23640\n"
    "15687 199 links 35 44298 29295\n"
    "15770 80 start 20 64692 26698\n"
    "22517 304 log-cut 22 15001 35525\n"
    "39312 345 resume 54 42799 34339\n",
    BT_STATUS_DONE, 1 },
  { "an owner that lost the lead and has it again asks what runs",
    "world seed=40 calm=0 data_centres=2 daemons=3 workers=6 ms=29637\n"
    "122 2 submit 31 47946 10295\n"
    "1434 7 submit 58 63178 37910\n"
    "2637 8 kill 35 52935 35383\n"
    "3608 9 start 35 52935 35383\n"
    "3937 11 submit 3 39454 22588\n"
    "10626 21 submit 1 44449 65460\n"
    "10962 22 links 34 34062 245\n"
    "12692 24 submit 27 15628 9946\n"
    "13770 25 submit 58 33911 57459\n"
    "13901 26 pause 0 24341 43102\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a request that failed is not told not run when its caller leaves",
    "world seed=33 calm=0 data_centres=2 daemons=3 workers=3 ms=40610\n"
    "4877 11 submit 26 49824 13232\n"
    "4925 12 host-cut 25 31054 24434\n"
    "5629 16 submit 15 10126 46286\n"
    "6081 20 links 13 30743 62778\n"
    "6349 22 submit 59 34411 20735\n"
    "6704 23 submit 46 1339 32059\n"
    "7178 25 pause 60 62512 43804\n"
    "8779 39 submit 55 47381 29376\n"
    "9343 42 submit 51 17507 60091\n"
    "10119 51 cut 32 29034 32698\n"
    "10441 53 submit 63 55627 43897\n"
    "11761 64 submit 28 7541 38413\n"
    "12365 69 host-cut 63 30190 10047\n"
    "14963 81 gone 4 64 49139\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a request that only failed until its deadline is told failed",
    "world seed=24 calm=1 data_centres=2 daemons=3 workers=3 ms=28855\n"
    "24788 69 submit 30 2379 45313\n",
    BT_STATUS_FAILED, 1 },
  { "a task that the journal says has ended keeps its share until its newer attempt stops",
    "world seed=183 calm=0 data_centres=3 daemons=2 workers=4 ms=56229\n"
    "13607 72 isolate 54 23078 43447\n"
    "14138 76 log-lose 62 43626 62913\n"
    "15830 86 submit 22 9530 8303\n"
    "16692 90 log-lose 54 23003 55372\n"
    "21483 73 unisolate 54 23078 43447\n"
    "24181 138 submit 21 6710 2013\n"
    "26832 155 submit 12 31460 52607\n"
    "28333 162 log-down 31 60176 40173\n"
    "35333 201 pause 49 19443 33159\n"
    "37218 202 resume 49 19443 33159\n"
    "46141 257 cut 38 39356 48272\n"
    "46646 260 log-slow 43 57580 726\n"
    "48330 273 submit 37 27022 17053\n"
    "49123 280 repeat 10 273 16705\n"
    "50250 284 isolate 3 19878 57014\n"
    "50512 286 log-lose 44 11463 23100\n"
    "52677 300 kill 60 44058 52580\n"
    "53159 303 isolate 34 44966 54373\n"
    "53249 301 start 60 44058 52580\n"
    "56032 258 join 38 39356 48272\n"
    "59147 323 log-up 37 57081 24315\n"
    "60873 304 unisolate 34 44966 54373\n"
    "66518 319 log-up 37 25134 34281\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a job known from a report alone is not done before its request is known",
    "world seed=415 calm=0 data_centres=3 daemons=2 workers=5 ms=47875\n"
    "14706 21 pause 0 1880 45710\n"
    "15766 22 resume 0 1880 45710\n"
    "15863 23 submit 13 65218 27003\n"
    "16756 24 pause 22 47117 19787\n"
    "18689 27 links 43 14599 62940\n"
    "18794 25 resume 22 47117 19787\n"
    "18809 29 kill 9 53622 24701\n"
    "19653 31 submit 29 27824 59979\n"
    "19852 32 kill 20 12132 59417\n"
    "20778 34 leave 49 31576 49446\n"
    "20969 33 start 20 12132 59417\n"
    "24652 39 submit 34 29755 55994\n"
    "25148 40 submit 33 34750 1958\n"
    "25547 41 cut 56 27467 52284\n"
    "25799 43 submit 32 50708 9519\n"
    "29875 47 log-cut 3 26521 62405\n"
    "31272 50 submit 62 46804 29604\n"
    "33327 30 start 9 53622 24701\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a late copy of a refused request with a key is not taken",
    "world seed=58 calm=0 data_centres=3 daemons=2 workers=6 ms=34553\n"
    "3000 1 host-cut 52 63385 30881\n"
    "3532 4 leave 0 35075 23854\n"
    "3543 5 submit 52 39240 1137\n"
    "3936 6 submit 29 39262 18272\n"
    "4003 7 submit 56 25634 41277\n"
    "4178 8 submit 2 47220 8186\n"
    "4725 9 submit 0 30413 44655\n"
    "6230 13 submit 54 20533 31539\n"
    "7015 15 links 58 58173 55993\n"
    "7088 16 submit 41 52771 51479\n"
    "7557 17 submit 54 9746 30715\n"
    "8114 18 submit 10 8220 31127\n",
    BT_STATUS_NOT_RUN, 1 },
  { "a job whose tasks have all ended in the journal ends too",
    "world seed=266 calm=0 data_centres=2 daemons=3 workers=6 ms=42295\n"
    "2066 25 submit 37 17227 43185\n"
    "2219 26 submit 40 51759 50591\n"
    "2571 31 submit 33 64186 21702\n"
    "2584 32 log-cut 30 4892 24731\n"
    "2937 36 submit 51 26132 62840\n"
    "3430 39 submit 62 48742 20518\n"
    "4267 46 kill 61 49772 3517\n"
    "4494 48 cut 4 60776 5220\n"
    "4999 52 submit 40 54998 33224\n"
    "5214 53 links 10 55439 57341\n"
    "5474 54 isolate 41 27687 11424\n"
    "5653 56 isolate 42 44284 50605\n"
    "5682 58 submit 52 48793 7535\n"
    "5897 59 repeat 4 25 42918\n"
    "6567 57 unisolate 42 44284 50605\n"
    "6768 67 edit-race 34 10419 9323\n"
    "7123 70 host-pause 12 4691 24786\n"
    "24577 197 isolate 6 31874 50138\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a service does not keep its worker on probation for ever",
    "world seed=672 calm=1 data_centres=3 daemons=3 workers=3 ms=44613\n"
    "0 1 submit 43 36630 5009\n"
    "1313 5 submit 15 60235 65297\n"
    "10493 31 repeat 48 1 6251\n"
    "12905 36 submit 42 3610 9587\n"
    "13364 38 submit 15 2119 21140\n"
    "35338 84 host-listed-leaving 59 35050 46637\n"
    "41312 98 submit 54 6948 39835\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a worker that nothing probes is trusted again",
    "world seed=721 calm=0 data_centres=3 daemons=3 workers=3 ms=39554\n"
    "1390 6 submit 31 17310 19830\n"
    "3076 12 host-kill 9 40451 22003\n"
    "5107 21 log-down 37 11401 2197\n"
    "5530 22 log-up 37 11401 2197\n"
    "5667 23 leave 43 17916 3468\n"
    "6380 24 edit 4 52855 33840\n"
    "7382 27 leave 13 42335 31647\n"
    "7452 28 kill 15 53525 53443\n"
    "7501 30 submit 14 27940 57018\n"
    "8454 29 start 15 53525 53443\n"
    "9609 37 links 51 2981 43922\n"
    "20868 73 host-kill 47 21729 40586\n"
    "21341 75 submit 62 48038 53092\n"
    "21610 76 submit 0 62671 60881\n"
    "21851 77 submit 35 54991 63446\n"
    "21865 78 submit 37 44766 61414\n"
    "25157 94 host-listed-leaving 30 17813 11415\n",
    BT_STATUS_ACCEPTED, 1 },
  { "a start that was sent in an earlier lead does not hold its task's place",
    "world seed=865 calm=0 data_centres=2 daemons=2 workers=6 ms=54795\n"
    "3000 1 host-cut 4 64635 834\n"
    "3278 3 submit 18 16258 27935\n"
    "4045 4 pause 35 46475 31936\n"
    "4291 2 host-join 4 64635 834\n"
    "6656 5 resume 35 46475 31936\n"
    "8301 12 leave 58 3522 40663\n",
    BT_STATUS_ACCEPTED, 1 },
  { "work waits for ever after its only worker died and came back",
    "world seed=1035 calm=0 data_centres=2 daemons=3 workers=3 ms=37152\n"
    "4788 24 host-leaving 43 61006 49975\n"
    "8857 63 submit 38 42183 35332\n"
    "11080 83 submit 3 9557 2271\n"
    "11317 85 submit 1 8601 36529\n"
    "11809 90 host-kill 0 41029 61080\n",
    BT_STATUS_ACCEPTED, 1 },
};

START_TEST (schedule_violates_nothing)
{
  const regression_t *regression = &cases[_i];
  fuzz_schedule_t *schedule = fuzz_schedule_parse (regression->schedule);
  ck_assert_ptr_nonnull (schedule);
  fuzz_result_t result = { 0 };
  fuzz_run (schedule, FALSE, &result);
  ck_assert_msg (result.violated == ORACLE_NONE, "%s: %s: %s", regression->name,
                 oracle_invariant_names[result.violated], result.what);
  ck_assert_msg (result.stats.answers[regression->reached] >= regression->times,
                 "%s: told %s less than %d times", regression->name,
                 bt_status_names[regression->reached], (int)regression->times);
  fuzz_result_clear (&result);
  fuzz_schedule_free (schedule);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("regressions");
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, schedule_violates_nothing, 0, G_N_ELEMENTS (cases));
  return suite_run ("regressions", tests);
}
