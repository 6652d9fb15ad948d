/* Detector: verdicts for unhealthy and healthy targets, and for patterns that
   look like an unhealthy one.  */

#include <math.h>
#include <stdlib.h>

#include "detector.h"
#include "rng.h"
#include "suite_lib.h"

#define TARGETS 4
#define PATHS 5
#define FEWEST_EJECTIONS 0.0
#define FASTEST_DETECTION 1.0

struct fixture
{
  struct ab_detector *detector;
  struct ab_rng rng;
  int targets[TARGETS];
  int class_id;
  uint64_t now_ms;
  uint64_t gap_ms; /* Time between two requests of the service.  */
};

static void
fixture_init (struct fixture *fixture, double weight, uint64_t seed)
{
  fixture->detector = ab_detector_new (weight);
  ab_rng_init_seeded (&fixture->rng, seed);
  fixture->now_ms = 1000;
  fixture->gap_ms = 20;
  for (uint32_t i = 0; i < TARGETS; i++)
    fixture->targets[i]
        = ab_detector_add (fixture->detector, i, 0, fixture->now_ms);
  fixture->class_id
      = ab_detector_class (fixture->detector, AB_CHUNK ("lookup"));
}

static double
normal_sample (struct ab_rng *rng)
{
  return sqrt (-2 * log (1 - ab_rng_unit (rng)))
         * cos (2 * 3.14159265358979 * ab_rng_unit (rng));
}

/* Records a request to TARGET through PATH that ends now and took MS.  */
static void
request (struct fixture *fixture, int target, uint32_t path, double ms,
         enum ab_outcome_kind kind)
{
  struct ab_outcome outcome
      = { .kind = kind, .latency_us = (uint64_t)(ms * 1000) };
  int ticket = ab_detector_start (fixture->detector, fixture->targets[target],
                                  fixture->class_id, path,
                                  fixture->now_ms - (uint64_t)ms);

  ab_detector_finish (fixture->detector, fixture->targets[target], ticket,
                      &outcome, fixture->now_ms);
}

/* Sends ROUNDS requests to each target, with log-normal latencies.  The median
   is 40 ms times COMMON_FACTOR, and for target 0 also times FACTOR.  SIGMA is
   the standard deviation of the log latency.  */
static void
run (struct fixture *fixture, int rounds, double factor, double common_factor,
     double sigma)
{
  for (int i = 0; i < rounds; i++)
    for (int t = 0; t < TARGETS; t++)
      {
        double ms
            = 40 * exp (sigma * normal_sample (&fixture->rng)) * common_factor;

        fixture->now_ms += fixture->gap_ms;
        request (fixture, t, (uint32_t)ab_rng_below (&fixture->rng, PATHS),
                 t == 0 ? ms * factor : ms, AB_OUTCOME_OK);
      }
}

static enum ab_health
health_of (struct fixture *fixture, int target, struct ab_evidence *evidence)
{
  ab_detector_assess (fixture->detector, fixture->targets[target],
                      fixture->now_ms, evidence);
  return evidence->health;
}

/* Guards against detecting a slow target later than 3 s (weight 0) or 1 s
   (weight 1) at 20% utilisation, and against a verdict on other targets.  */
START_TEST (finds_slow_target)
{
  static const uint64_t gaps_ms[] = { 25, 8 };
  static const int rounds[] = { 30, 31 };
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, _i ? FASTEST_DETECTION : FEWEST_EJECTIONS, 1);
  fixture.gap_ms = gaps_ms[_i];
  run (&fixture, 200, 1, 1, 0.5);
  ck_assert_int_ne (health_of (&fixture, 0, &evidence), AB_HEALTH_UNHEALTHY);
  for (int i = 0; i < rounds[_i] && evidence.health != AB_HEALTH_UNHEALTHY;
       i++)
    {
      run (&fixture, 1, 10, 1, 0.5);
      health_of (&fixture, 0, &evidence);
    }
  ck_assert_msg (evidence.health == AB_HEALTH_UNHEALTHY,
                 "%s, score %.1f of %.1f", ab_cause_name (evidence.cause),
                 evidence.score, evidence.threshold);
  ck_assert_int_eq (evidence.cause, AB_CAUSE_LATENCY);
  for (int t = 1; t < TARGETS; t++)
    ck_assert_int_ne (health_of (&fixture, t, &evidence), AB_HEALTH_UNHEALTHY);
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against ejections because of heavy-tailed latency: 200,000 requests
   with a log-normal standard deviation of 1.2, assessed after each round.  */
START_TEST (heavy_tail_gives_no_verdict)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FEWEST_EJECTIONS, 7);
  for (int i = 0; i < 50000; i++)
    {
      run (&fixture, 1, 1, 1, 1.2);
      for (int t = 0; t < TARGETS; t++)
        ck_assert_int_ne (health_of (&fixture, t, &evidence),
                          AB_HEALTH_UNHEALTHY);
    }
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against ejecting targets when all slow down at the same time.  */
START_TEST (common_slowness_gives_no_verdict)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FASTEST_DETECTION, 3);
  run (&fixture, 200, 1, 1, 0.5);
  for (int i = 0; i < 100; i++)
    {
      run (&fixture, 1, 1, 10, 0.5);
      for (int t = 0; t < TARGETS; t++)
        ck_assert_int_ne (health_of (&fixture, t, &evidence),
                          AB_HEALTH_UNHEALTHY);
    }
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against a verdict that waits for requests that hang to end.  */
START_TEST (overdue_requests_count)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FASTEST_DETECTION, 4);
  run (&fixture, 100, 1, 1, 0.5);
  for (uint32_t i = 0; i < 4; i++)
    ab_detector_start (fixture.detector, fixture.targets[0], fixture.class_id,
                       i, fixture.now_ms);
  for (int i = 0; i < 75; i++)
    {
      fixture.now_ms += 20;
      request (&fixture, 1 + i % 3, 0, 40, AB_OUTCOME_OK);
      health_of (&fixture, 0, &evidence);
    }
  ck_assert_int_eq (evidence.health, AB_HEALTH_UNHEALTHY);
  ck_assert_uint_eq (evidence.overdue, 4);
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against a verdict on a target because of one request that never
   ends.  */
START_TEST (one_hung_request_gives_no_verdict)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FASTEST_DETECTION, 5);
  run (&fixture, 100, 1, 1, 0.5);
  ab_detector_start (fixture.detector, fixture.targets[0], fixture.class_id, 0,
                     fixture.now_ms);
  for (int i = 0; i < 300; i++)
    {
      fixture.now_ms += 100;
      request (&fixture, i % TARGETS, 1, 40, AB_OUTCOME_OK);
      ck_assert_int_ne (health_of (&fixture, 0, &evidence),
                        AB_HEALTH_UNHEALTHY);
    }
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against ejecting a target that fails for some hosts only, and against
   still sending it the requests of those hosts.  */
START_TEST (bad_path_is_avoided)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FEWEST_EJECTIONS, 6);
  run (&fixture, 100, 1, 1, 0.5);
  for (uint32_t i = 0; i < 200; i++)
    {
      uint32_t path = i % PATHS;

      fixture.now_ms += 20;
      if (!ab_detector_path_bad (fixture.detector, fixture.targets[0], path,
                                 fixture.now_ms))
        request (&fixture, 0, path, 40,
                 path < 2 ? AB_OUTCOME_RESET : AB_OUTCOME_OK);
      request (&fixture, 1 + (int)(i % 3), path, 40, AB_OUTCOME_OK);
      ck_assert_int_ne (health_of (&fixture, 0, &evidence),
                        AB_HEALTH_UNHEALTHY);
    }
  for (uint32_t path = 0; path < PATHS; path++)
    ck_assert_int_eq (ab_detector_path_bad (fixture.detector,
                                            fixture.targets[0], path,
                                            fixture.now_ms),
                      path < 2);
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against mistaking random errors of a target for bad paths.  */
START_TEST (errors_on_all_paths_are_unhealthy)
{
  struct ab_evidence evidence = { .health = AB_HEALTH_UNKNOWN };
  struct fixture fixture;
  int rounds = 0;

  fixture_init (&fixture, FEWEST_EJECTIONS, 8);
  run (&fixture, 100, 1, 1, 0.5);
  for (; rounds < 200 && evidence.health != AB_HEALTH_UNHEALTHY; rounds++)
    for (int t = 0; t < TARGETS; t++)
      {
        bool error = t == 0 && ab_rng_unit (&fixture.rng) < 0.3;

        fixture.now_ms += 10;
        request (&fixture, t, (uint32_t)ab_rng_below (&fixture.rng, PATHS), 40,
                 error ? AB_OUTCOME_ERROR : AB_OUTCOME_OK);
        health_of (&fixture, 0, &evidence);
      }
  ck_assert_int_eq (evidence.health, AB_HEALTH_UNHEALTHY);
  ck_assert_int_eq (evidence.cause, AB_CAUSE_ERRORS);
  ab_detector_free (fixture.detector);
}
END_TEST

/* Guards against a verdict on a target that has just started.  */
START_TEST (cold_target_gives_no_verdict)
{
  struct ab_evidence evidence;
  struct fixture fixture;

  fixture_init (&fixture, FASTEST_DETECTION, 9);
  run (&fixture, 100, 1, 1, 0.5);
  ab_detector_reset (fixture.detector, fixture.targets[0], false, 5000,
                     fixture.now_ms);
  for (int i = 0; i < 50; i++)
    {
      run (&fixture, 1, 10, 1, 0.5);
      ck_assert_int_ne (health_of (&fixture, 0, &evidence),
                        AB_HEALTH_UNHEALTHY);
    }
  ck_assert_int_eq (evidence.cause, AB_CAUSE_COLD);
  ab_detector_free (fixture.detector);
}
END_TEST

static void
import_report (void *ctx, const struct ab_peer_evidence *report)
{
  ab_detector_import (ctx, report, 20000);
}

/* Guards against a dispatcher with a single target that has no other target to
   compare it with: it must use the reports of other dispatchers.  */
START_TEST (reports_of_others_serve_as_peers)
{
  struct ab_evidence evidence;
  struct fixture others;
  struct fixture lone;

  fixture_init (&others, FASTEST_DETECTION, 10);
  fixture_init (&lone, FASTEST_DETECTION, 11);
  for (int t = 1; t < TARGETS; t++)
    ab_detector_remove (lone.detector, lone.targets[t]);
  run (&others, 100, 1, 1, 0.5);
  lone.now_ms = 20000;
  ab_detector_export (others.detector, others.now_ms, import_report,
                      lone.detector);
  for (int i = 0; i < 200; i++)
    {
      lone.now_ms += 15;
      request (&lone, 0, 0, 400 * exp (0.5 * normal_sample (&lone.rng)),
               AB_OUTCOME_OK);
    }
  health_of (&lone, 0, &evidence);
  ck_assert (evidence.slowdown > 5);
  ab_detector_free (others.detector);
  ab_detector_free (lone.detector);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("detector");
  TCase *tcase = tcase_create ("detector");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, finds_slow_target, 0, 2);
  tcase_add_test (tcase, heavy_tail_gives_no_verdict);
  tcase_add_test (tcase, common_slowness_gives_no_verdict);
  tcase_add_test (tcase, overdue_requests_count);
  tcase_add_test (tcase, one_hung_request_gives_no_verdict);
  tcase_add_test (tcase, bad_path_is_avoided);
  tcase_add_test (tcase, errors_on_all_paths_are_unhealthy);
  tcase_add_test (tcase, cold_target_gives_no_verdict);
  tcase_add_test (tcase, reports_of_others_serve_as_peers);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
