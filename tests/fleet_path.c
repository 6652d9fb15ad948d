/* Integration tests of single requests through real processes.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_test_lib.h"

static int
send_order (struct fleet *fleet, int entry, const char *header,
            const char *body, char **reply)
{
  return fleet_http_as_team (
      fleet, fleet_callers (fleet, test_entry_host (fleet, entry)), "POST",
      "/orders", header, body, reply);
}

static void
assert_contains (char *reply, const char *text)
{
  ck_assert_ptr_nonnull (reply);
  ck_assert_msg (strstr (reply, text) != NULL, "'%s' is not in: %s", text,
                 reply);
  free (reply);
}

/* Guards against running an order twice that its caller resends to another
   host, and against reuse of an idempotency key for another order.  */
START_TEST (order_resent_elsewhere)
{
  struct fleet *fleet = test_fleet_start ("fleet_path_order", 3, 3, false);
  char header[128];
  char *first = NULL;
  char *second = NULL;
  char *reply = NULL;
  long runs = 0;

  test_idempotency_key_header (fleet, header, sizeof header);
  ck_assert_int_eq (send_order (fleet, 1, header, "racks=1", &first), 200);
  ck_assert_int_eq (send_order (fleet, 3, header, "racks=1", &second), 200);
  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_nonnull (second);
  ck_assert_str_eq (first, second);
  for (int i = 1; i <= 3; i++)
    runs += test_target_stat (fleet, i, "runs");
  ck_assert_int_eq (runs, 1);
  ck_assert_int_ge (send_order (fleet, 2, header, "racks=2", &reply), 400);
  assert_contains (reply, "\"verdict\":\"not-run\"");
  free (first);
  free (second);
  fleet_free (fleet);
}
END_TEST

/* Guards against missing or wrong verdicts for invalid requests.  */
START_TEST (bad_requests)
{
  static const char *const bad_keys[] = {
    NULL,
    "Idempotency-Key: abc",
    /* A version 4 UUID holds no timestamp.  */
    "Idempotency-Key: 7d444840-9dc0-41d1-b245-5ffdce74fad2",
  };
  struct fleet *fleet = test_fleet_start ("fleet_path_bad", 1, 1, false);
  const char *entry = fleet_callers (fleet, test_entry_host (fleet, 1));
  char *reply = NULL;

  for (size_t i = 0; i < sizeof bad_keys / sizeof bad_keys[0]; i++)
    {
      ck_assert_int_eq (send_order (fleet, 1, bad_keys[i], "x", &reply), 400);
      assert_contains (reply, "\"verdict\":\"not-run\"");
    }
  /* A key from 2020 is older than any retention period, so the order may have
     run.  */
  ck_assert_int_ge (
      send_order (fleet, 1,
                  "Idempotency-Key: 0170da56-1800-7000-8000-000000000001", "x",
                  &reply),
      400);
  assert_contains (reply, "\"verdict\":\"may-have-run\"");
  ck_assert_int_eq (
      fleet_http_as_team (fleet, entry, "GET", "/nowhere", NULL, NULL, &reply),
      404);
  assert_contains (reply, "\"verdict\":\"not-run\"");
  ck_assert_int_eq (fleet_http (entry, "GET", "/stock/1",
                                "Authorization: Bearer wrong", NULL, &reply),
                    401);
  assert_contains (reply, "\"verdict\":\"not-run\"");
  ck_assert_int_eq (test_target_stat (fleet, 1, "runs"), 0);
  fleet_free (fleet);
}
END_TEST

/* Guards against explanations that leave an operator guessing: the explanation
   of a request names the host, the target and the verdict.  */
START_TEST (request_explained)
{
  struct fleet *fleet = test_fleet_start ("fleet_path_explain", 3, 2, false);
  const char *query[] = { "explain", "request-under-test", NULL };
  const char *unknown[] = { "explain", "never-seen", NULL };
  const char *target[]
      = { "explain", "target", fleet_target (fleet, 1), NULL };
  char *reply = NULL;
  char *output = NULL;

  ck_assert_int_eq (
      fleet_http_as_team (
          fleet, fleet_callers (fleet, test_entry_host (fleet, 2)), "GET",
          "/stock/1", "X-Request-Id: request-under-test", NULL, &reply),
      200);
  free (reply);
  ck_assert_int_eq (fleet_ctl (fleet, 1, query, &output), 0);
  ck_assert_ptr_nonnull (output);
  ck_assert_ptr_nonnull (strstr (output, "entry-2"));
  ck_assert_ptr_nonnull (strstr (output, ":8090"));
  free (output);
  ck_assert_int_eq (fleet_ctl (fleet, 1, unknown, &output), 4);
  free (output);
  ck_assert_int_eq (fleet_ctl (fleet, 1, target, &output), 0);
  free (output);
  fleet_free (fleet);
}
END_TEST

SUITE_MAIN ("fleet_path", 120, order_resent_elsewhere, bad_requests,
            request_explained)
