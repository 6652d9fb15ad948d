#include "fleet_test_lib.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "settings.h"

#define POLL_MS 50
#define APPLY_TRIES 100

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

struct fleet *
test_fleet_start_with (const char *name, struct fleet_options options,
                       int targets)
{
  static const char *const arguments[]
      = { "--work-ms", "5", "--lease-ms", "3000", NULL };
  char folder[AB_PATH_BYTES];
  struct fleet *fleet;
  int status = -1;

  options.build = getenv ("AB_BUILD");
  if (!options.build)
    options.build = "build";
  snprintf (folder, sizeof folder, "%s/%s", options.build, name);
  options.folder = folder;
  fleet = fleet_new (&options);
  ck_assert_ptr_nonnull (fleet);
  ck_assert (fleet_start_hosts (fleet));
  for (int i = 0; i < APPLY_TRIES && status != 0; i++)
    {
      status = fleet_apply_bundle (fleet, test_entry_host (fleet, 1), 1, NULL);
      if (status != 0)
        fleet_sleep_ms (200);
    }
  ck_assert_int_eq (status, 0);
  for (int i = 1; i <= targets; i++)
    ck_assert (fleet_start_target (fleet, i, arguments));
  for (int i = 1; i <= options.entries; i++)
    ck_assert (fleet_wait_targets (fleet, test_entry_host (fleet, i), targets,
                                   TEST_START_MS));
  ck_assert (fleet_wait_ready (fleet, 1, TEST_START_MS));
  return fleet;
}

struct fleet *
test_fleet_start (const char *name, int entries, int targets, bool proxies)
{
  struct fleet_options options = { .controls = TEST_CONTROLS,
                                   .entries = entries,
                                   .regions = 3,
                                   .proxies = proxies };

  return test_fleet_start_with (name, options, targets);
}

int
test_entry_host (const struct fleet *fleet, int n)
{
  (void)fleet;
  return TEST_CONTROLS + n;
}

int
test_leader (struct fleet *fleet)
{
  const char *query[] = { "state", NULL };
  uint64_t end_ms = now_ms () + 10000;

  do
    {
      for (int i = 1; i <= TEST_CONTROLS; i++)
        {
          json_t *state = fleet_query (fleet, i, query);
          bool leader = json_is_true (
              json_object_get (json_object_get (state, "control"), "leads"));
          json_decref (state);
          if (leader)
            return i;
        }
      fleet_sleep_ms (POLL_MS);
    }
  while (now_ms () < end_ms);
  return 0;
}

pid_t
test_load_start (struct fleet *fleet, const char *name, int entries,
                 int lookups, int orders, int rate, int duration_ms)
{
  char lookup_class[64];
  char order_class[64];
  char rate_text[16];
  char duration_text[16];
  char journal[AB_PATH_BYTES];
  const char *arguments[96]
      = { "--service", "shop",    "--token",       NULL,
          "--rate",    rate_text, "--duration-ms", duration_text,
          "--resend",  "3",       "--journal",     journal };
  int used = 12;

  arguments[3] = fleet_team_token (fleet);
  snprintf (lookup_class, sizeof lookup_class,
            "lookup:GET:/stock/racks:idempotent:%d", lookups);
  snprintf (order_class, sizeof order_class, "order:POST:/orders:keyed:%d",
            orders);
  snprintf (rate_text, sizeof rate_text, "%d", rate);
  snprintf (duration_text, sizeof duration_text, "%d", duration_ms);
  snprintf (journal, sizeof journal, "%s/%s.journal", fleet_folder (fleet),
            name);
  if (lookups > 0)
    {
      arguments[used++] = "--class";
      arguments[used++] = lookup_class;
    }
  if (orders > 0)
    {
      arguments[used++] = "--class";
      arguments[used++] = order_class;
    }
  for (int i = 1; i <= entries; i++)
    {
      arguments[used++] = "--entry";
      arguments[used++] = fleet_callers (fleet, test_entry_host (fleet, i));
    }
  return fleet_spawn (fleet, name, "standins/load", arguments);
}

static long
json_number (const json_t *object, const char *key)
{
  return (long)json_integer_value (json_object_get (object, key));
}

struct test_load_result
test_load_end (struct fleet *fleet, const char *name, pid_t load, int targets)
{
  struct test_load_result result = { .sent = 0 };
  struct run_check *check = run_check_new ();
  char journal[AB_PATH_BYTES];
  json_t *report;
  json_t *failed;

  fleet_wait_process (load, 60000);
  report = fleet_output (fleet, name);
  failed = json_object_get (report, "failed");
  result.sent = json_number (report, "sent");
  result.ok = json_number (report, "ok");
  result.cut = json_number (report, "cut");
  result.wrong = json_number (report, "wrong");
  result.not_run = json_number (failed, "not-run");
  result.may_have_run = json_number (failed, "may-have-run");
  result.p99_us = json_number (json_object_get (report, "latency_us"), "p99");
  snprintf (journal, sizeof journal, "%s/%s.journal", fleet_folder (fleet),
            name);
  for (int i = 1; i <= targets; i++)
    run_check_add_log (check, fleet_target_log (fleet, i));
  run_check_add_journal (check, journal);
  result.runs = run_check_result (check);
  run_check_free (check);
  printf ("%s: sent %ld ok %ld cut %ld wrong %ld not-run %ld may-have-run %ld"
          " keys %zu twice %zu not-run-ran %zu missing %zu\n",
          name, result.sent, result.ok, result.cut, result.wrong,
          result.not_run, result.may_have_run, result.runs.keys,
          result.runs.ran_twice, result.runs.not_run_ran,
          result.runs.ran_missing);
  json_decref (report);
  return result;
}

void
test_assert_guarantees (const struct test_load_result *result)
{
  ck_assert_int_gt (result->sent, 0);
  ck_assert_int_eq (result->wrong, 0);
  ck_assert_uint_eq (result->runs.ran_twice, 0);
  ck_assert_uint_eq (result->runs.not_run_ran, 0);
  ck_assert_uint_eq (result->runs.ran_missing, 0);
}

void
test_idempotency_key_header (struct fleet *fleet, char *header, size_t size)
{
  const char *arguments[] = { "idempotency-key", NULL };
  char *key = NULL;

  ck_assert_int_eq (fleet_ctl (fleet, 1, arguments, &key), 0);
  ck_assert_ptr_nonnull (key);
  snprintf (header, size, "Idempotency-Key: %.36s", key);
  free (key);
}

long
test_bundle_version (struct fleet *fleet, int host)
{
  const char *query[] = { "bundle", "status", NULL };
  json_t *bundle = fleet_query (fleet, host, query);
  long version = bundle ? json_number (bundle, "version") : -1;

  json_decref (bundle);
  return version;
}

bool
test_wait_version (struct fleet *fleet, int host, long version, int timeout_ms)
{
  uint64_t end_ms = now_ms () + (uint64_t)timeout_ms;

  while (test_bundle_version (fleet, host) != version)
    {
      if (now_ms () > end_ms)
        return false;
      fleet_sleep_ms (POLL_MS);
    }
  return true;
}

long
test_target_stat (struct fleet *fleet, int target, const char *key)
{
  char *reply = NULL;
  json_t *stats;
  long value;

  fleet_http (fleet_target (fleet, target), "GET", "/stats", NULL, NULL,
              &reply);
  stats = reply ? json_loads (reply, 0, NULL) : NULL;
  value = stats ? json_number (stats, key) : -1;
  json_decref (stats);
  free (reply);
  return value;
}
