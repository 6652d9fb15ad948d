/* Targets that send without end, and gateways that must live with it.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_process.h"
#include "gateway_fleet_lib.h"
#include "suite_lib.h"

#define READY_MS 10000
#define TEST_S 120
#define CALLERS 16
#define TARGETS 4
/* The users' smallest hosts.  */
#define HOST_KB (160 * 1024)
/* The route's timeout, and what a failure may come later.  */
#define ROUTE_MS 3000
#define LATE_MS 500

/* Most memory that the process PID has used, in KB.  */
static long
peak_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long peak = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file))
    if (sscanf (line, "VmHWM: %ld", &peak) == 1)
      break;
  fclose (file);
  return peak;
}

/* A caller's process: its request must end as a failure in time.  */
static void
call (struct gf_fleet *fleet, const char *path, int n)
{
  uint64_t begin = ab_clock_monotonic_ms (ab_clock_system ());
  char id[32];
  int status;

  snprintf (id, sizeof id, "endless-%d", n);
  status = gf_request (fleet, 1, "GET", path, id, NULL);
  _exit (status >= 500
                 && ab_clock_monotonic_ms (ab_clock_system ()) - begin
                        < ROUTE_MS + LATE_MS
             ? EXIT_SUCCESS
             : EXIT_FAILURE);
}

/* Waits until a target has had a request.  */
static bool
wait_failure (struct gf_fleet *fleet, const char *path)
{
  uint64_t end = ab_clock_monotonic_ms (ab_clock_system ()) + READY_MS;
  int status = 0;

  while (status != 502 && status != 504
         && ab_clock_monotonic_ms (ab_clock_system ()) < end)
    status = gf_request (fleet, 1, "GET", path, "first", NULL);
  return status == 502 || status == 504;
}

static void
assert_bounded (const char *path)
{
  struct gf_fleet fleet;
  int failed = 0;

  gf_start (&fleet, "gf_endless", 3, 1);
  for (int n = 1; n <= TARGETS; n++)
    gf_start_target (&fleet, n, GF_ENDLESS);
  ck_assert (wait_failure (&fleet, path));
  for (int n = 0; n < CALLERS; n++)
    if (fork () == 0)
      call (&fleet, path, n);
  for (int n = 0; n < CALLERS; n++)
    {
      int status;
      if (wait (&status) < 0 || status != 0)
        failed++;
    }
  ck_assert_int_lt (peak_kb (fleet.gateway_pids[1]), HOST_KB);
  ck_assert_int_eq (kill (fleet.gateway_pids[1], 0), 0);
  ck_assert_int_eq (failed, 0);
  gf_stop (&fleet);
}

/* Guards against memory that grows with what a target sends, against failures
   that come late, and against taking an endless response for a success.  */
START_TEST (endless_body) { assert_bounded ("/look/body"); }
END_TEST

START_TEST (endless_chunks) { assert_bounded ("/look/chunk"); }
END_TEST

START_TEST (endless_head) { assert_bounded ("/look/head"); }
END_TEST

START_TEST (endless_slow_body) { assert_bounded ("/look/slow"); }
END_TEST

START_TEST (endless_slow_head) { assert_bounded ("/look/slow-head"); }
END_TEST

SUITE_MAIN ("fleet_endless", TEST_S, endless_body, endless_chunks,
            endless_head, endless_slow_body, endless_slow_head)
