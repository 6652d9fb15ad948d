/* Common parts of the integration tests, which run real processes.  */

#ifndef FLEET_TEST_LIB_H
#define FLEET_TEST_LIB_H

#include "fleet_lib.h"
#include "run_check_lib.h"
#include "suite_lib.h"

#define TEST_CONTROLS 3
#define TEST_START_MS 30000

/* A running fleet of 3 control hosts and ENTRIES entry hosts, with bundle
   version 1 in force and TARGETS targets announced.  NAME is the folder's
   name in the build folder.  Fails the test when it does not come up.  */
struct fleet *test_fleet_start (const char *name, int entries, int targets,
                                bool proxies);

/* As above, from OPTIONS whose build and folder are filled in.  */
struct fleet *test_fleet_start_with (const char *name,
                                     struct fleet_options options,
                                     int targets);

/* Number of the N-th entry host, from 1.  */
int test_entry (const struct fleet *fleet, int n);

/* The control host that leads now; 0 when none is known after 10 s.  */
int test_leader (struct fleet *fleet);

/* Starts a load of lookups and orders in ratio LOOKUPS to ORDERS at RATE a
   second for DURATION_MS on the first ENTRIES entry hosts; its journal is
   FOLDER/NAME.journal.  */
pid_t test_load_start (struct fleet *fleet, const char *name, int entries,
                       int lookups, int orders, int rate, int duration_ms);

struct test_load_result
{
  long sent;
  long ok;
  long cut;
  long wrong;
  long not_run;
  long may_have_run;
  long p99_us;
  struct run_check_result runs;
};

/* Waits for the load and compares its journal with the logs of targets 1 to
   TARGETS.  */
struct test_load_result test_load_end (struct fleet *fleet, const char *name,
                                       pid_t load, int targets);

/* Asserts what must hold in every case: nothing ran twice, nothing ran that
   was told not to have run, and no wrong answer.  */
void test_assert_promises (const struct test_load_result *result);

/* A new idempotency key in a header line.  */
void test_key_header (struct fleet *fleet, char *header, size_t size);

/* Version in force on host N, or -1.  */
long test_bundle_version (struct fleet *fleet, int host);

/* Waits until VERSION is in force on host N.  */
bool test_wait_version (struct fleet *fleet, int host, long version,
                        int timeout_ms);

/* The number KEY of a target's /stats.  */
long test_target_stat (struct fleet *fleet, int target, const char *key);

#endif
