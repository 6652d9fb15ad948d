/* Demonstration: starts a small fleet on loopback addresses, sends requests
   through it while a target slows down and a host stops, and prints for each
   guarantee whether it held.  The exit status is 0 when all of them held.  */

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_lib.h"
#include "run_check_lib.h"

#define CONTROLS 3
#define ENTRIES 6
#define TARGETS 4
#define SLOW_TARGET 1
#define STOPPED_HOST (CONTROLS + 2)
#define START_TIMEOUT_MS 20000
#define LOAD_MS "9000"
#define SLOW_SETTLE_MS 3000
#define SLOW_WINDOW_MS 2000

struct demo
{
  struct fleet *fleet;
  int failed;
};

static void
report_check (struct demo *demo, bool held, const char *statement)
{
  printf ("%s  %s\n", held ? "held  " : "BROKEN", statement);
  fflush (stdout);
  if (!held)
    demo->failed++;
}

static void
start_fleet (struct demo *demo)
{
  static const char *const target_arguments[]
      = { "--work-ms", "10", "--lease-ms", "3000", NULL };
  struct fleet *fleet = demo->fleet;
  bool good = fleet_start_hosts (fleet);
  int status = -1;

  /* The group needs a moment to elect its first leader.  */
  for (int i = 0; i < 50 && status != 0; i++)
    {
      status = fleet_apply_bundle (fleet, CONTROLS + 1, 1, NULL);
      if (status != 0)
        fleet_sleep_ms (200);
    }
  report_check (demo, good && status == 0,
                "3 control hosts accepted a signed bundle");
  for (int i = 1; i <= TARGETS; i++)
    good = good && fleet_start_target (fleet, i, target_arguments);
  for (int i = CONTROLS + 1; i <= CONTROLS + ENTRIES; i++)
    good = good && fleet_wait_targets (fleet, i, TARGETS, START_TIMEOUT_MS);
  report_check (demo, good,
                "4 targets announced themselves to all entry hosts");
  report_check (demo, fleet_wait_ready (fleet, 1, START_TIMEOUT_MS),
                "the bundle is in force on all 9 hosts, which accept callers");
}

static void
query_addresses (struct demo *demo)
{
  char *reply = NULL;
  int status
      = fleet_http (fleet_callers (demo->fleet, CONTROLS + 1), "GET",
                    "/v1/addresses?service=shop&failure_domain=region-1a",
                    NULL, NULL, &reply);

  printf ("       addresses: %s\n", reply ? reply : "none");
  report_check (demo, status == 200 && reply && strstr (reply, "8080"),
                "a caller can look up the addresses to use");
  free (reply);
}

/* Starts a load of lookups and orders through all entry hosts and returns the
   process id.  */
static pid_t
start_load (struct demo *demo, const char *journal)
{
  struct fleet *fleet = demo->fleet;
  const char *arguments[40]
      = { "--service",     "shop",
          "--token",       fleet_team_token (fleet),
          "--class",       "lookup:GET:/stock/racks:idempotent:10",
          "--class",       "order:POST:/orders:keyed:1",
          "--rate",        "100",
          "--duration-ms", LOAD_MS,
          "--resend",      "2",
          "--journal",     journal };
  int used = 16;

  for (int i = CONTROLS + 1; i <= CONTROLS + ENTRIES; i++)
    {
      arguments[used++] = "--entry";
      arguments[used++] = fleet_callers (fleet, i);
    }
  return fleet_spawn (fleet, "load", "standins/load", arguments);
}

static long
target_runs (struct demo *demo, int target)
{
  char *reply = NULL;
  json_t *stats;
  long runs;

  fleet_http (fleet_target (demo->fleet, target), "GET", "/stats", NULL, NULL,
              &reply);
  stats = reply ? json_loads (reply, 0, NULL) : NULL;
  runs = (long)json_integer_value (json_object_get (stats, "runs"));
  json_decref (stats);
  free (reply);
  return runs;
}

static long
total_runs (struct demo *demo)
{
  long runs = 0;

  for (int i = 1; i <= TARGETS; i++)
    runs += target_runs (demo, i);
  return runs;
}

/* Makes a target 20 times slower and checks that it then gets at most 5% of
   the requests.  */
static void
check_slow_target (struct demo *demo)
{
  long slow_runs;
  long total;

  fleet_http (fleet_target (demo->fleet, SLOW_TARGET), "PUT",
              "/fault?kind=slow&factor=20", NULL, NULL, NULL);
  fleet_sleep_ms (SLOW_SETTLE_MS);
  slow_runs = target_runs (demo, SLOW_TARGET);
  total = total_runs (demo);
  fleet_sleep_ms (SLOW_WINDOW_MS);
  slow_runs = target_runs (demo, SLOW_TARGET) - slow_runs;
  total = total_runs (demo) - total;
  printf ("       the slow target ran %ld of %ld requests in 2 s\n", slow_runs,
          total);
  report_check (
      demo, total > 0 && slow_runs * 100 <= total * 5,
      "a target that became 20 times slower lost its load within 3 s");
}

static void
check_load (struct demo *demo, pid_t load, const char *journal)
{
  int status = fleet_wait_process (load, 30000);
  json_t *result = fleet_output (demo->fleet, "load");
  json_int_t sent = json_integer_value (json_object_get (result, "sent"));
  json_int_t ok = json_integer_value (json_object_get (result, "ok"));
  struct run_check *check = run_check_new ();
  struct run_check_result runs;

  for (int i = 1; i <= TARGETS; i++)
    run_check_add_log (check, fleet_target_log (demo->fleet, i));
  run_check_add_journal (check, journal);
  runs = run_check_result (check);
  run_check_free (check);
  printf ("       load: %lld sent, %lld succeeded, %zu orders\n",
          (long long)sent, (long long)ok, runs.keys);
  report_check (demo,
                status == 0 && sent > 0
                    && json_integer_value (json_object_get (result, "cut"))
                           == 0,
                "no request was cut while a host was stopped");
  report_check (demo,
                json_integer_value (json_object_get (result, "wrong")) == 0,
                "every caller got the complete response to its own request");
  report_check (demo, sent > 0 && ok * 100 >= sent * 99,
                "at least 99 in 100 requests succeeded");
  report_check (demo,
                runs.keys > 0 && runs.ran_twice == 0 && runs.not_run_ran == 0
                    && runs.ran_missing == 0,
                "every order ran at most once, and as its verdict said");
  json_decref (result);
}

static void
check_order_replay (struct demo *demo)
{
  const char *key_command[] = { "idempotency-key", NULL };
  const char *entry = fleet_callers (demo->fleet, CONTROLS + 1);
  const char *other = fleet_callers (demo->fleet, CONTROLS + 4);
  long before = total_runs (demo);
  char header[256];
  char *key = NULL;
  char *first = NULL;
  char *second = NULL;
  int status;

  fleet_ctl (demo->fleet, 1, key_command, &key);
  snprintf (header, sizeof header, "Idempotency-Key: %.36s", key ? key : "");
  free (key);
  status = fleet_http_as_team (demo->fleet, entry, "POST", "/orders", header,
                               "racks=1", &first);
  report_check (demo, status == 200 && first, "an order ran once");
  status = fleet_http_as_team (demo->fleet, other, "POST", "/orders", header,
                               "racks=1", &second);
  report_check (
      demo,
      status == 200 && first && second && strcmp (first, second) == 0
          && total_runs (demo) == before + 1,
      "the same order sent again to another host got the first response");
  free (first);
  free (second);
}

static void
check_lookup (struct demo *demo)
{
  char *reply = NULL;
  int status = fleet_http_as_team (demo->fleet,
                                   fleet_callers (demo->fleet, CONTROLS + 1),
                                   "GET", "/stock/racks", NULL, NULL, &reply);

  report_check (demo, status == 200 && reply, "a lookup was answered");
  free (reply);
}

static void
stop_all (struct demo *demo)
{
  struct fleet *fleet = demo->fleet;
  bool good = true;

  for (int i = 1; i <= TARGETS; i++)
    fleet_signal_target (fleet, i, SIGTERM);
  for (int i = 1; i <= TARGETS; i++)
    good = fleet_wait_target (fleet, i, 10000) == 0 && good;
  for (int i = CONTROLS + 1; i <= CONTROLS + ENTRIES; i++)
    if (i != STOPPED_HOST)
      fleet_signal_host (fleet, i, SIGTERM);
  for (int i = CONTROLS + 1; i <= CONTROLS + ENTRIES; i++)
    if (i != STOPPED_HOST)
      good = fleet_wait_host (fleet, i, 15000) == 0 && good;
  /* The last control hosts are a majority of the control group and complete
     their shutdown only when a third signal forces it.  */
  for (int signals = 0; signals < 3; signals++)
    {
      for (int i = CONTROLS; i >= 1; i--)
        fleet_signal_host (fleet, i, SIGTERM);
      fleet_sleep_ms (400);
    }
  for (int i = CONTROLS; i >= 1; i--)
    good = fleet_wait_host (fleet, i, 10000) == 0 && good;
  report_check (demo, good, "everything stopped with exit status 0");
}

int
main (int argc, char **argv)
{
  static const struct option names[]
      = { { "build", required_argument, NULL, 'b' },
          { "folder", required_argument, NULL, 'f' },
          { NULL, 0, NULL, 0 } };
  struct fleet_options options = { .build = "build",
                                   .folder = "demo-data",
                                   .controls = CONTROLS,
                                   .entries = ENTRIES,
                                   .regions = 3 };
  struct demo demo = { .failed = 0 };
  char journal[512];
  pid_t load;
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    if (option == 'b')
      options.build = optarg;
    else if (option == 'f')
      options.folder = optarg;
    else
      return 2;
  demo.fleet = fleet_new (&options);
  if (!demo.fleet)
    return EXIT_FAILURE;
  snprintf (journal, sizeof journal, "%s/journal", options.folder);
  start_fleet (&demo);
  query_addresses (&demo);
  check_lookup (&demo);
  check_order_replay (&demo);
  load = start_load (&demo, journal);
  fleet_sleep_ms (1000);
  check_slow_target (&demo);
  fleet_signal_host (demo.fleet, STOPPED_HOST, SIGTERM);
  report_check (&demo, fleet_wait_host (demo.fleet, STOPPED_HOST, 15000) == 0,
                "one entry host shut down gracefully");
  check_load (&demo, load, journal);
  stop_all (&demo);
  fleet_free (demo.fleet);
  printf ("%s; logs and settings are in %s\n",
          demo.failed ? "something did not hold" : "everything held",
          options.folder);
  return demo.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
