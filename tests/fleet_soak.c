/* Soak test: injects random faults into a fleet of real processes under load,
   and checks the guarantees for callers, targets and operators.

   Environment variables, with defaults in parentheses: AB_SOAK_SEED is the
   first seed (1), AB_SOAK_SEEDS the number of seeds (1), AB_SOAK_SECONDS the
   duration of the faults for each seed (10).  At most one control host is lost
   at a time, which is what the settings tolerate.

   Seeds that failed before:
   47: SIGTERM reached a gateway before it handled signals; handlers are now
   set before anything else starts.
   439: the order that all callers send was quarantined, as it was in flight at
   two targets that ended; answers between the losses and their confirmation
   did not count.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "rng.h"
#include "suite_lib.h"

#define CONTROLS 4
#define GATEWAYS 3
#define TARGETS 4
#define CALLERS 3
#define READY_MS 15000
#define RECOVERY_MS 12000
#define PAUSE_MS 15
#define STARTED_MS 100
#define TEST_S 1200
/* Minimum share of requests that succeed after the faults.  */
#define SERVED_PERCENT 90
/* Target that names a rate limit of LIMIT requests per second all the time,
   and target that names changing ones.  */
#define LIMITED_TARGET 1
#define LIMIT 2
#define CHANGING_TARGET 2
/* The stated rule for a request that ends its targets.  */
#define CRASHES_ALLOWED 3
#define CRASHES_SETTLE_MS 3000
#define CRASHES_LATE 3
#define CRASHES_MAX 256

struct soak
{
  struct gf_fleet fleet;
  struct ab_rng rng;
  pid_t callers[CALLERS];
  int version;  /* Version of the newest acknowledged bundle.  */
  int proposed; /* Version of the newest bundle that was sent; it may be in
                   force without having been acknowledged.  */
  int down;     /* Number of the control host that is down; 0 if none.  */
  int cut;      /* Number of the control host that is cut off; 0 if none.  */
  bool cutting; /* Some host is cut off.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static long
env_number (const char *name, long value)
{
  const char *text = getenv (name);

  return text ? strtol (text, NULL, 10) : value;
}

static int
random_below (struct soak *soak, int bound)
{
  return (int)ab_rng_below (&soak->rng, (uint64_t)bound);
}

/* Callers.  */

static void
print_caller_path (const struct soak *soak, int caller, char *out, size_t size)
{
  snprintf (out, size, "%s/caller%d.log", soak->fleet.folder, caller);
}

/* Main function of a caller process: sends one request after the other and
   logs the status of each.  Does not return.  */
static void
run_caller (struct soak *soak, int caller)
{
  char path[256];
  char id[32];
  FILE *file;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGPIPE, SIG_IGN);
  print_caller_path (soak, caller, path, sizeof path);
  file = fopen (path, "w");
  for (int n = 0; file; n++)
    {
      bool order = n % 2 == 0;
      int gateway = (caller + n) % GATEWAYS + 1;
      int status;
      snprintf (id, sizeof id, "c%d-%d", caller, n);
      status = gf_request (&soak->fleet, gateway, order ? "POST" : "GET",
                           order ? "/shop/1" : "/look/1", id, NULL);
      fprintf (file, "%s %d %d %llu\n", id, order, status,
               (unsigned long long)now_ms ());
      fflush (file);
      fleet_sleep_ms (PAUSE_MS);
    }
  _exit (EXIT_FAILURE);
}

static void
start_callers (struct soak *soak)
{
  for (int i = 0; i < CALLERS; i++)
    {
      soak->callers[i] = fork ();
      ck_assert_int_ge (soak->callers[i], 0);
      if (soak->callers[i] == 0)
        run_caller (soak, i);
    }
}

/* Faults.  */

static void
change_bundle (struct soak *soak)
{
  int control = random_below (soak, CONTROLS) + 1;
  int status;

  if (control == soak->down)
    return;
  soak->proposed = soak->version + 2 + random_below (soak, 3);
  status = gf_put_bundle (&soak->fleet, control, soak->proposed, soak->version,
                          "");
  if (status == 200)
    soak->version = soak->proposed;
  /* Without a definite response the same bundle is resent, to any host.  */
  for (int i = 0; status != 200 && i < 200; i++)
    {
      fleet_sleep_ms (50);
      control = random_below (soak, CONTROLS) + 1;
      if (control == soak->down)
        continue;
      status = gf_put_bundle (&soak->fleet, control, soak->proposed,
                              soak->version, "");
      ck_assert_int_ne (status, 412);
      if (status == 200)
        soak->version = soak->proposed;
    }
  ck_assert_int_eq (status, 200);
}

static void
kill_control (struct soak *soak)
{
  if (soak->down || soak->cut)
    return;
  soak->down = random_below (soak, CONTROLS) + 1;
  gf_kill (&soak->fleet.control_pids[soak->down]);
  if (random_below (soak, 2))
    gf_empty_disk (&soak->fleet, soak->down);
}

static void
restart_control (struct soak *soak)
{
  if (!soak->down)
    return;
  gf_start_control (&soak->fleet, soak->down, false);
  /* The next control host may be lost only once this one counts for the quorum
     again.  */
  ck_assert (
      gf_wait_bundle (&soak->fleet, soak->down, soak->version, RECOVERY_MS));
  fleet_sleep_ms (3000);
  soak->down = 0;
}

static void
pause_process (struct soak *soak, pid_t pid)
{
  kill (pid, SIGSTOP);
  fleet_sleep_ms (200 + random_below (soak, 1500));
  kill (pid, SIGCONT);
}

static void
restart_gateway (struct soak *soak, bool planned)
{
  int number = random_below (soak, GATEWAYS) + 1;
  pid_t *pid = &soak->fleet.gateway_pids[number];

  if (planned)
    {
      kill (*pid, SIGTERM);
      ck_assert_int_eq (fleet_wait_process (*pid, 6000), 0);
      *pid = 0;
    }
  else
    gf_kill (pid);
  gf_start_gateway (&soak->fleet, number);
  /* A signal has its default effect until the program has installed its
     handlers.  */
  fleet_sleep_ms (STARTED_MS);
}

/* Ends target NUMBER, if it runs, and starts it as a new incarnation.  */
static void
restart_target (struct soak *soak, int number)
{
  gf_kill (&soak->fleet.target_pids[number]);
  fleet_sleep_ms (random_below (soak, 500));
  soak->fleet.restarts[number]++;
  gf_start_target (&soak->fleet, number, GF_HEALTHY);
}

/* Sends the request that ends its targets to all gateways, and starts the
   targets again that it ended.  */
static void
send_crashing (struct soak *soak)
{
  static int number;
  char id[32];

  for (int i = 1; i <= GATEWAYS; i++)
    {
      snprintf (id, sizeof id, "crash-%d", number++);
      gf_request (&soak->fleet, i, "POST", "/shop" GF_CRASH_PATH, id, NULL);
    }
  for (int i = 1; i <= TARGETS; i++)
    if (waitpid (soak->fleet.target_pids[i], NULL, WNOHANG) > 0)
      {
        soak->fleet.target_pids[i] = 0;
        restart_target (soak, i);
      }
}

/* Lets a target ask for pauses, or say that it leaves until it is replaced. */
static void
give_notice (struct soak *soak)
{
  int number = random_below (soak, TARGETS) + 1;
  bool leaves = random_below (soak, 2);
  const char *notice = leaves ? "leaving" : "pause";

  gf_set_flag (&soak->fleet, number, notice, true);
  fleet_sleep_ms (200 + random_below (soak, 1500));
  gf_set_flag (&soak->fleet, number, notice, false);
  if (leaves)
    restart_target (soak, number);
}

/* Injects a fault into the network path to one target and removes it after a
   while.  Connections that lost bytes stay open and stalled, or out of
   sync.  */
static void
inject_path_fault (struct soak *soak)
{
  static const char *const faults[] = { "up=drop",           "down=drop",
                                        "up=drop&down=drop", "delay_ms=250",
                                        "up_delay_ms=700",   "mode=reset",
                                        "mode=close",        "bandwidth=300" };
  int number = random_below (soak, TARGETS) + 1;

  gf_set_path_fault (&soak->fleet, number, faults[random_below (soak, 8)]);
  fleet_sleep_ms (200 + random_below (soak, 1800));
  gf_set_path_fault (&soak->fleet, number,
                     "mode=pass&up=pass&down=pass&delay_ms=0&bandwidth=0");
}

static void
change_rate_limit (struct soak *soak)
{
  static const char *const limits[] = { NULL, "0", "0.7", "5", "80" };

  gf_set_rate_limit (&soak->fleet, CHANGING_TARGET,
                     limits[random_below (soak, 5)]);
}

static void inject_fault (struct soak *soak);

/* Cuts a host off from what other hosts send it, while other faults occur.  */
static void
cut_host (struct soak *soak, bool control)
{
  int number = random_below (soak, control ? CONTROLS : GATEWAYS) + 1;

  if (soak->cutting || (control && soak->down))
    return;
  soak->cutting = true;
  if (control)
    {
      soak->cut = number;
      gf_cut_control (&soak->fleet, number, true);
    }
  else
    gf_cut_gateway (&soak->fleet, number, true);
  fleet_sleep_ms (random_below (soak, 2500));
  inject_fault (soak);
  fleet_sleep_ms (random_below (soak, 2500));
  if (control)
    gf_cut_control (&soak->fleet, number, false);
  else
    gf_cut_gateway (&soak->fleet, number, false);
  soak->cut = 0;
  soak->cutting = false;
}

static void
inject_fault (struct soak *soak)
{
  switch (random_below (soak, 18))
    {
    case 15:
    case 16:
      cut_host (soak, false);
      break;
    case 17:
      cut_host (soak, true);
      break;
    case 12:
    case 13:
      send_crashing (soak);
      break;
    case 14:
      give_notice (soak);
      break;
    case 11:
      change_rate_limit (soak);
      break;
    case 9:
    case 10:
      inject_path_fault (soak);
      break;
    case 0:
    case 1:
      change_bundle (soak);
      break;
    case 2:
      kill_control (soak);
      break;
    case 3:
      restart_control (soak);
      break;
    case 4:
      if (!soak->down && !soak->cut)
        pause_process (
            soak, soak->fleet.control_pids[random_below (soak, CONTROLS) + 1]);
      break;
    case 5:
      pause_process (
          soak, soak->fleet.gateway_pids[random_below (soak, GATEWAYS) + 1]);
      break;
    case 6:
      restart_gateway (soak, true);
      break;
    case 7:
      restart_gateway (soak, false);
      break;
    default:
      restart_target (soak, random_below (soak, TARGETS) + 1);
    }
}

/* Checks.  */

/* Checks the log of CALLER: no order ran twice, no order ran that was
   rejected, every order that succeeded ran, and the requests that ended after
   RECOVERED_MS, when the faults were over, were served.  */
static void
check_caller (const struct soak *soak, int caller, uint64_t recovered_ms)
{
  char path[256];
  char id[32];
  int order;
  int status;
  unsigned long long ended_ms;
  int requests = 0;
  int served = 0;
  FILE *file;

  print_caller_path (soak, caller, path, sizeof path);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fscanf (file, "%31s %d %d %llu", id, &order, &status, &ended_ms) == 4)
    {
      int runs = order ? gf_runs (&soak->fleet, id) : 0;
      ck_assert_msg (runs <= 1, "%s ran %d times", id, runs);
      ck_assert_msg (runs == 0 || (status != 503 && status != 429),
                     "%s was rejected with %d but ran", id, status);
      ck_assert_msg (!order || status != 200 || runs == 1,
                     "%s succeeded but did not run", id);
      ck_assert_msg (status != 404, "%s got status 404", id);
      if (ended_ms < recovered_ms)
        continue;
      requests++;
      served += status == 200;
    }
  fclose (file);
  ck_assert_msg (served * 100 >= requests * SERVED_PERCENT,
                 "%d of %d served after the faults", served, requests);
}

static void
check_bundles (struct soak *soak)
{
  for (int i = 1; i <= CONTROLS; i++)
    ck_assert_msg (
        gf_wait_bundle (&soak->fleet, i, soak->version, RECOVERY_MS),
        "control host %d does not answer with version %d", i, soak->version);
}

/* Checks that LIMITED_TARGET, which named its limit at NAMED_MS, never got
   more requests than the rule allows.  */
static void
check_rate_limit (const struct soak *soak, uint64_t named_ms)
{
  size_t most = gf_most_arrivals (&soak->fleet, LIMITED_TARGET,
                                  named_ms + GF_SETTLE_MS);

  ck_assert_msg (most <= gf_allowed_arrivals (LIMIT),
                 "%zu requests in %d ms to a target with a limit of %d/s",
                 most, GF_WINDOW_MS, LIMIT);
}

/* Checks that the crashing request ended at most CRASHES_LATE targets later
   than CRASHES_SETTLE_MS after the third.  */
static void
check_crashes (const struct soak *soak)
{
  uint64_t times[CRASHES_MAX];
  size_t count = 0;
  size_t late = 0;

  for (int i = 1; i <= TARGETS; i++)
    {
      char path[256];
      unsigned long long at_ms;
      FILE *file;
      gf_print_target_path (&soak->fleet, i, "crashes", path, sizeof path);
      file = fopen (path, "r");
      while (file && count < CRASHES_MAX && fscanf (file, "%llu", &at_ms) == 1)
        times[count++] = at_ms;
      if (file)
        fclose (file);
    }
  qsort (times, count, sizeof *times, gf_compare_times);
  for (size_t i = CRASHES_ALLOWED; i < count; i++)
    late += times[i] > times[CRASHES_ALLOWED - 1] + CRASHES_SETTLE_MS;
  printf ("%zu targets ended under one request, %zu of them late\n", count,
          late);
  ck_assert_uint_le (late, CRASHES_LATE);
}

static void
run_seed (uint64_t seed)
{
  struct soak soak = { .version = 2 };
  uint64_t end_ms;
  uint64_t recovered_ms;
  uint64_t named_ms;
  char limit[16];

  printf ("soak seed %llu\n", (unsigned long long)seed);
  fflush (stdout);
  ab_rng_init_seeded (&soak.rng, seed);
  gf_start_wide (&soak.fleet, "gf_soak", CONTROLS, 1, 1, GATEWAYS);
  soak.fleet.gateways = GATEWAYS;
  for (int i = 1; i <= GATEWAYS; i++)
    gf_start_gateway (&soak.fleet, i);
  gf_start_proxy (&soak.fleet);
  for (int i = 1; i <= TARGETS; i++)
    gf_start_target (&soak.fleet, i, GF_HEALTHY);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert (gf_wait_status (&soak.fleet, i, "/look/1", 200, READY_MS));
  start_callers (&soak);
  snprintf (limit, sizeof limit, "%d", LIMIT);
  gf_set_rate_limit (&soak.fleet, LIMITED_TARGET, limit);
  named_ms = now_ms ();
  end_ms = now_ms () + (uint64_t)env_number ("AB_SOAK_SECONDS", 10) * 1000;
  while (now_ms () < end_ms)
    {
      inject_fault (&soak);
      fleet_sleep_ms (random_below (&soak, 600));
    }
  restart_control (&soak);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert (gf_wait_status (&soak.fleet, i, "/look/1", 200, READY_MS));
  fleet_sleep_ms (1500);
  recovered_ms = now_ms ();
  fleet_sleep_ms (1500);
  check_bundles (&soak);
  for (int i = 0; i < CALLERS; i++)
    gf_kill (&soak.callers[i]);
  for (int i = 0; i < CALLERS; i++)
    check_caller (&soak, i, recovered_ms);
  check_rate_limit (&soak, named_ms);
  check_crashes (&soak);
  gf_stop (&soak.fleet);
}

/* Guards against guarantees that hold only while nothing fails.  */
START_TEST (guarantees_hold_under_faults)
{
  uint64_t first = (uint64_t)env_number ("AB_SOAK_SEED", 1);
  uint64_t count = (uint64_t)env_number ("AB_SOAK_SEEDS", 1);

  for (uint64_t seed = first; seed < first + count; seed++)
    run_seed (seed);
}
END_TEST

SUITE_MAIN ("fleet_soak", TEST_S, guarantees_hold_under_faults)
