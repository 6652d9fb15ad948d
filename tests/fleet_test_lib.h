/* Helpers of the integration tests, which run real processes.  */

#ifndef FLEET_TEST_LIB_H
#define FLEET_TEST_LIB_H

#include "fleet_lib.h"
#include "run_check_lib.h"
#include "suite_lib.h"

#define TEST_CONTROLS 3
#define TEST_START_MS 30000

/* Starts a fleet of 3 control hosts and ENTRIES entry hosts, and waits until
   bundle version 1 is in force and TARGETS targets are announced.  Its files
   are in the folder NAME of the build folder.  Fails the test when the fleet
   does not become ready.  */
struct fleet *test_fleet_start (const char *name, int entries, int targets,
                                bool proxies);

/* Like test_fleet_start, with OPTIONS, whose build and folder are set by this
   function.  */
struct fleet *test_fleet_start_with (const char *name,
                                     struct fleet_options options,
                                     int targets);

/* Returns the host number of the N-th entry host, counted from 1.  */
int test_entry_host (const struct fleet *fleet, int n);

/* Waits for a leader of the control group.  Returns its host number, or 0
   after 10 s.  */
int test_leader (struct fleet *fleet);

/* Starts the load generator: RATE requests per second for DURATION_MS to the
   first ENTRIES entry hosts, lookups and orders in the ratio LOOKUPS to
   ORDERS.  The journal is FOLDER/NAME.journal.  Returns the process id.  */
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

/* Waits for the end of the load generator and compares its journal with the
   logs of targets 1 to TARGETS.  */
struct test_load_result test_load_end (struct fleet *fleet, const char *name,
                                       pid_t load, int targets);

/* Asserts what must hold in every case: no request ran twice, no request ran
   that was reported as not run, all that were reported as run did, and no
   response was wrong.  */
void test_assert_guarantees (const struct test_load_result *result);

/* Writes a header line with a new idempotency key to HEADER.  */
void test_idempotency_key_header (struct fleet *fleet, char *header,
                                  size_t size);

/* Returns the bundle version in force on host HOST, or -1.  */
long test_bundle_version (struct fleet *fleet, int host);

/* Waits until the bundle VERSION is in force on host HOST.  Returns false
   after TIMEOUT_MS.  */
bool test_wait_version (struct fleet *fleet, int host, long version,
                        int timeout_ms);

/* Returns the number KEY from /stats of target TARGET, or -1.  */
long test_target_stat (struct fleet *fleet, int target, const char *key);

#endif
