/* Integration tests with gateways, a control group and targets as real
   processes: the guarantees for callers, targets and operators when processes
   are killed, disks are lost and targets fail.  */

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet_lib.h"
#include "clock.h"
#include "fleet_process.h"
#include "gateway_fleet_lib.h"
#include "suite_lib.h"

#define READY_MS 10000
/* Time after which a group that lost a member accepts changes again: the
   election and the operator's next attempt.  */
#define RECOVERY_MS 8000
#define TEST_S 120

/* Guards against a fleet that does not start unattended, and against routes
   that are not in force at every gateway.  */
START_TEST (serves_and_follows_bundles)
{
  struct gf_fleet fleet;
  char *body = NULL;

  gf_start (&fleet, "gf_path", 4, 2);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  for (int i = 1; i <= 2; i++)
    ck_assert (gf_wait_status (&fleet, i, "/look/1", 200, READY_MS));
  ck_assert_int_eq (
      gf_request (&fleet, 1, "POST", "/shop/1", "order-1", &body), 200);
  ck_assert_str_eq (body, "target 1");
  free (body);
  ck_assert_int_eq (gf_runs (&fleet, "order-1"), 1);
  ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/none/", "x", NULL), 404);
  ck_assert_int_eq (gf_put_bundle (&fleet, 2, 5, 2, "2"), 200);
  for (int i = 1; i <= 2; i++)
    {
      ck_assert (gf_wait_status (&fleet, i, "/look2/1", 200, 2000));
      ck_assert_int_eq (gf_request (&fleet, i, "GET", "/look/1", "x", NULL),
                        404);
    }
  for (int i = 1; i <= 4; i++)
    ck_assert (gf_wait_bundle (&fleet, i, 5, 2000));
  gf_stop (&fleet);
}
END_TEST

/* Guards against two bundles that are accepted on one base version, against a
   resent bundle that is rejected, and against invalid bundles in force.  */
START_TEST (one_bundle_accepted_per_base)
{
  struct gf_fleet fleet;
  const char *broken = "{\"version\":9,\"base_version\":4";

  gf_start (&fleet, "gf_base", 3, 1);
  ck_assert_int_eq (gf_put_bundle (&fleet, 1, 4, 2, "a"), 200);
  ck_assert_int_eq (gf_put_bundle (&fleet, 2, 4, 2, "b"), 412);
  ck_assert_int_eq (gf_put_bundle (&fleet, 3, 6, 2, "b"), 412);
  ck_assert_int_eq (gf_put_bundle (&fleet, 3, 4, 2, "a"), 200);
  ck_assert_int_eq (gf_put_bundle (&fleet, 2, 2, 0, ""), 200);
  ck_assert_int_eq (gf_put_bundle (&fleet, 2, 3, 4, "c"), 409);
  ck_assert_int_eq (fleet_http (gf_admin (&fleet, 1), "POST", "/v1/bundle",
                                NULL, broken, NULL),
                    400);
  for (int i = 1; i <= 3; i++)
    ck_assert (gf_wait_bundle (&fleet, i, 4, 2000));
  gf_stop (&fleet);
}
END_TEST

/* Guards against a request that must run at most once and is sent to a second
   target after it may have run, and against a request that ran although its
   response says that it did not.  */
START_TEST (runs_at_most_once)
{
  struct gf_fleet fleet;
  char id[32];
  int lost = 0;

  gf_start (&fleet, "gf_once", 3, 1);
  gf_start_target (&fleet, 1, GF_RESETS);
  gf_start_target (&fleet, 2, GF_SHEDS);
  gf_start_target (&fleet, 3, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 0; i < 60; i++)
    {
      int status;
      int runs;
      snprintf (id, sizeof id, "once-%d", i);
      status = gf_request (&fleet, 1, "POST", "/shop/1", id, NULL);
      runs = gf_runs (&fleet, id);
      ck_assert_int_le (runs, 1);
      if (status == 503 || status == 429)
        ck_assert_int_eq (runs, 0);
      if (status == 200)
        ck_assert_int_eq (gf_runs_at (&fleet, 3, id), 1);
      lost += status == 502;
      fleet_sleep_ms (20);
    }
  /* A few requests suffice to detect the target that loses them.  */
  ck_assert_int_le (lost, 12);
  for (int i = 0; i < 30; i++)
    {
      snprintf (id, sizeof id, "look-%d", i);
      ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/look/1", id, NULL),
                        200);
      ck_assert_int_le (gf_runs (&fleet, id), 2);
    }
  gf_stop (&fleet);
}
END_TEST

/* Guards against requests to a target after its drain was acknowledged.  */
START_TEST (acknowledged_drain_binds)
{
  struct gf_fleet fleet;
  char id[32];

  gf_start (&fleet, "gf_drain", 3, 2);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_start_target (&fleet, 2, GF_HEALTHY);
  for (int i = 1; i <= 2; i++)
    ck_assert (gf_wait_status (&fleet, i, "/look/1", 200, READY_MS));
  ck_assert_int_eq (gf_announce (&fleet, 2, 1, "draining", 1000000), 200);
  fleet_sleep_ms (500);
  for (int i = 0; i < 60; i++)
    {
      snprintf (id, sizeof id, "drained-%d", i);
      ck_assert_int_eq (
          gf_request (&fleet, 1 + i % 2, "POST", "/shop/1", id, NULL), 200);
      ck_assert_int_eq (gf_runs_at (&fleet, 1, id), 0);
    }
  gf_stop (&fleet);
}
END_TEST

/* Guards against a group that needs an operator after a member was killed or
   lost its disk, and against an accepted bundle that is lost with it.  */
START_TEST (group_recovers_unattended)
{
  struct gf_fleet fleet;
  int version = 2;

  gf_start (&fleet, "gf_heal", 5, 1);
  for (int lost = 1; lost <= 3; lost++)
    {
      int other = lost % 3 + 1;
      gf_kill (&fleet.control_pids[lost]);
      for (int waited = 0;
           gf_put_bundle (&fleet, other, version + 2, version, "h") != 200;
           waited += 100)
        {
          ck_assert_int_lt (waited, RECOVERY_MS);
          fleet_sleep_ms (100);
        }
      version += 2;
      gf_empty_disk (&fleet, lost);
      gf_start_control (&fleet, lost, false);
      ck_assert (gf_wait_bundle (&fleet, lost, version, RECOVERY_MS));
      /* Wait until the member with the emptied disk counts for the quorum
         again.  */
      fleet_sleep_ms (3000);
    }
  for (int i = 1; i <= 5; i++)
    gf_kill (&fleet.control_pids[i]);
  for (int i = 1; i <= 5; i++)
    gf_start_control (&fleet, i, false);
  for (int i = 1; i <= 5; i++)
    ck_assert (gf_wait_bundle (&fleet, i, version, RECOVERY_MS));
  gf_stop (&fleet);
}
END_TEST

/* Guards against rejecting callers while a whole fleet restarts after a power
   failure, although it can serve them a moment later.  */
START_TEST (requests_wait_for_the_first_bundle)
{
  struct gf_fleet fleet;
  int status;

  gf_start (&fleet, "gf_power", 3, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 1; i <= 3; i++)
    gf_kill (&fleet.control_pids[i]);
  gf_kill (&fleet.gateway_pids[1]);
  gf_start_gateway (&fleet, 1);
  for (int i = 1; i <= 3; i++)
    gf_start_control (&fleet, i, false);
  do
    status = gf_request (&fleet, 1, "POST", "/shop/1", "early", NULL);
  while (status <= 0);
  ck_assert_int_eq (status, 200);
  ck_assert_int_eq (gf_runs (&fleet, "early"), 1);
  gf_stop (&fleet);
}
END_TEST

/* Guards against requests that wait although no bundle can arrive.  */
START_TEST (missing_bundle_is_reported_in_time)
{
  struct gf_fleet fleet;
  uint64_t begin;
  int status;

  gf_start (&fleet, "gf_none", 3, 1);
  for (int i = 1; i <= 3; i++)
    gf_kill (&fleet.control_pids[i]);
  gf_kill (&fleet.gateway_pids[1]);
  gf_start_gateway (&fleet, 1);
  do
    status = gf_request (&fleet, 1, "GET", "/look/1", "held", NULL);
  while (status <= 0);
  ck_assert_int_eq (status, 503);
  begin = ab_clock_monotonic_ms (ab_clock_system ());
  ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/look/1", "told", NULL),
                    503);
  ck_assert_uint_lt (ab_clock_monotonic_ms (ab_clock_system ()) - begin, 500);
  ck_assert (
      gf_logged (&fleet, 1, "request_odd", "id=told", "code=no-bundle"));
  gf_stop (&fleet);
}
END_TEST

#define UNREAD_REQUESTS 400
#define PIPE_BYTES 4096 /* One page, the minimum size of a pipe.  */
#define UNREAD_REQUEST_MS 500

/* Guards against requests that block on writing the log: it goes to a pipe
   that nobody reads, and is longer than the capacity of the pipe.  */
START_TEST (unread_log_delays_no_request)
{
  struct gf_fleet fleet;
  char path[256];
  char id[32];
  int pipe_fd;
  int unread = 0;

  gf_start (&fleet, "gf_pipe", 3, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_kill (&fleet.gateway_pids[1]);
  snprintf (path, sizeof path, "%s/gateway1.log", fleet.folder);
  ck_assert_int_eq (unlink (path), 0);
  ck_assert_int_eq (mkfifo (path, 0600), 0);
  pipe_fd = open (path, O_RDWR);
  ck_assert_int_ge (pipe_fd, 0);
  ck_assert_int_ge (fcntl (pipe_fd, F_SETPIPE_SZ, PIPE_BYTES), 0);
  gf_start_gateway (&fleet, 1);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 0; i < UNREAD_REQUESTS; i++)
    {
      uint64_t begin = ab_clock_monotonic_ms (ab_clock_system ());
      snprintf (id, sizeof id, "unread-%d", i);
      ck_assert_int_eq (gf_request (&fleet, 1, "POST", "/shop/1", id, NULL),
                        200);
      ck_assert_uint_lt (ab_clock_monotonic_ms (ab_clock_system ()) - begin,
                         UNREAD_REQUEST_MS);
    }
  ck_assert_int_eq (ioctl (pipe_fd, FIONREAD, &unread), 0);
  ck_assert_int_gt (unread, PIPE_BYTES / 2);
  close (pipe_fd);
  gf_stop (&fleet);
}
END_TEST

/* Guards against a graceful shutdown that aborts a request in progress.  */
START_TEST (planned_stop_interrupts_no_request)
{
  struct gf_fleet fleet;
  int status;
  pid_t caller;

  gf_start (&fleet, "gf_stop", 3, 2);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  caller = fork ();
  if (caller == 0)
    _exit (gf_request (&fleet, 1, "POST", "/shop/slow", "slow", NULL) == 200
               ? 0
               : 1);
  fleet_sleep_ms (300);
  kill (fleet.gateway_pids[1], SIGTERM);
  ck_assert_int_eq (waitpid (caller, &status, 0), caller);
  ck_assert_int_eq (status, 0);
  ck_assert_int_eq (fleet_wait_process (fleet.gateway_pids[1], 6000), 0);
  fleet.gateway_pids[1] = 0;
  ck_assert_int_eq (gf_runs (&fleet, "slow"), 1);
  gf_stop (&fleet);
}
END_TEST

#define SHORT_STOP_MS 1000
#define SLOTS 4

/* Guards against a graceful shutdown that ends while a request still waits for
   a slot, so that its caller gets a closed connection instead of a
   response.  */
START_TEST (planned_stop_answers_those_that_wait)
{
  struct gf_fleet fleet;
  int status;
  pid_t busy[SLOTS];
  pid_t caller;

  gf_start (&fleet, "gf_wait", 3, 2);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 2, "/look/1", 200, READY_MS));
  gf_kill (&fleet.gateway_pids[1]);
  fleet.stop_ms = SHORT_STOP_MS;
  gf_start_gateway (&fleet, 1);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 0; i < SLOTS; i++)
    {
      busy[i] = fork ();
      if (busy[i] == 0)
        _exit (gf_request (&fleet, 2, "POST", "/shop/slow", "busy", NULL)
                       == 200
                   ? 0
                   : 1);
    }
  fleet_sleep_ms (300);
  caller = fork ();
  if (caller == 0)
    {
      int response_status
          = gf_request (&fleet, 1, "POST", "/shop/1", "waits", NULL);
      _exit (response_status == 503 || response_status == 200 ? 0 : 1);
    }
  fleet_sleep_ms (100);
  kill (fleet.gateway_pids[1], SIGTERM);
  ck_assert_int_eq (waitpid (caller, &status, 0), caller);
  ck_assert_int_eq (status, 0);
  ck_assert_int_eq (fleet_wait_process (fleet.gateway_pids[1], 6000), 0);
  fleet.gateway_pids[1] = 0;
  for (int i = 0; i < SLOTS; i++)
    {
      ck_assert_int_eq (waitpid (busy[i], &status, 0), busy[i]);
      ck_assert_int_eq (status, 0);
    }
  gf_stop (&fleet);
}
END_TEST

#define LONG_STOP_MS 4000
#define REFUSED_MS 300

/* Guards against connections that stay in the listen queue of a host that no
   longer accepts them, so that callers get no response until its process
   ends.  */
START_TEST (planned_stop_refuses_late_callers)
{
  struct gf_fleet fleet;
  uint64_t begin;
  int status;
  pid_t caller;

  gf_start (&fleet, "gf_late", 3, 1);
  gf_kill (&fleet.gateway_pids[1]);
  fleet.stop_ms = LONG_STOP_MS;
  gf_start_gateway (&fleet, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  kill (fleet.gateway_pids[1], SIGTERM);
  fleet_sleep_ms (LONG_STOP_MS * 45 / 100);
  caller = fork ();
  if (caller == 0)
    _exit (gf_request (&fleet, 1, "POST", "/shop/slow", "slow", NULL) == 200
               ? 0
               : 1);
  fleet_sleep_ms (LONG_STOP_MS * 20 / 100);
  /* The process still runs, for the slow request.  */
  ck_assert_int_eq (kill (fleet.gateway_pids[1], 0), 0);
  begin = ab_clock_monotonic_ms (ab_clock_system ());
  ck_assert_int_le (gf_request (&fleet, 1, "GET", "/look/1", "late", NULL), 0);
  ck_assert_uint_lt (ab_clock_monotonic_ms (ab_clock_system ()) - begin,
                     REFUSED_MS);
  ck_assert_int_eq (waitpid (caller, &status, 0), caller);
  ck_assert_int_eq (status, 0);
  ck_assert_int_eq (fleet_wait_process (fleet.gateway_pids[1], 6000), 0);
  fleet.gateway_pids[1] = 0;
  gf_stop (&fleet);
}
END_TEST

/* Runs "almondctl explain log ID" on the logs of the gateway and the control
   hosts.  Returns the exit status.  */
static int
explain_log (const struct gf_fleet *fleet, const char *id, char **output)
{
  const char *build = getenv ("AB_BUILD");
  char program[256];
  char files[4][256];
  const char *const arguments[]
      = { "explain", "log", id, files[0], files[1], files[2], files[3], NULL };

  snprintf (program, sizeof program, "%s/almondctl", build ? build : "build");
  snprintf (files[0], sizeof files[0], "%s/gateway1.log", fleet->folder);
  for (int i = 1; i <= 3; i++)
    snprintf (files[i], sizeof files[i], "%s/control%d.log", fleet->folder, i);
  return fleet_run_program (program, arguments, output);
}

/* Guards against failures that cannot be explained from the logs alone.  */
START_TEST (logs_explain_failures)
{
  struct gf_fleet fleet;
  char *output = NULL;

  gf_start (&fleet, "gf_logs", 3, 1);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 503, READY_MS));
  ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/look/1", "no-one", NULL),
                    503);
  ck_assert (gf_logged (&fleet, 1, "request_odd", "id=no-one", "code=none"));
  ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/gone/", "lost-way", NULL),
                    404);
  ck_assert (gf_logged (&fleet, 1, "request_odd", "id=lost-way", "bundle=2"));
  gf_start_target (&fleet, 1, GF_RESETS);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 502, READY_MS));
  fleet_sleep_ms (2000);
  ck_assert_int_eq (gf_request (&fleet, 1, "POST", "/shop/1", "cut", NULL),
                    502);
  ck_assert (gf_logged (&fleet, 1, "attempt_failed", "id=cut", "end=lost"));
  ck_assert (
      gf_logged (&fleet, 1, "request_odd", "id=cut", "verdict=may-have-run"));
  ck_assert_int_eq (explain_log (&fleet, "cut", &output), 0);
  ck_assert_ptr_nonnull (strstr (output, "event=attempt_failed id=cut"));
  ck_assert_ptr_nonnull (strstr (output, "target t1:"));
  ck_assert_ptr_nonnull (strstr (output, "event=target_change target=t1"));
  free (output);
  ck_assert_int_eq (explain_log (&fleet, "never-sent", NULL), 4);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_gateway", TEST_S, serves_and_follows_bundles,
            one_bundle_accepted_per_base, runs_at_most_once,
            acknowledged_drain_binds, group_recovers_unattended,
            unread_log_delays_no_request, requests_wait_for_the_first_bundle,
            missing_bundle_is_reported_in_time,
            planned_stop_interrupts_no_request,
            planned_stop_answers_those_that_wait,
            planned_stop_refuses_late_callers, logs_explain_failures)
