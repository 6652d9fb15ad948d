/* Error messages and defaults of bundles.  A message must name the file, the
   line and what was expected.  */

#include <check.h>
#include <stdlib.h>

#include "bundle.h"
#include "error.h"

#define DIGEST                                                                \
  "0000000000000000000000000000000000000000000000000000000000000001"
#define SERVICE                                                               \
  "services:\n  - name: shop\n    floor: 75%\n    credentials: [" DIGEST "]"  \
  "\n"
#define ROUTE                                                                 \
  "routes:\n  - prefix: /a\n    service: shop\n    idempotent: true\n"

static const struct
{
  const char *text;
  const char *expected; /* Substring of the message.  */
} invalid_bundles[] = {
  { "", "empty" },
  { "version: 1\nservices: [\n", "b.yaml:" },
  { "version: 0\n" SERVICE ROUTE, "b.yaml:1: 'version' is 0" },
  { "version: 1\n" ROUTE, "key 'services' is missing" },
  { "version: 1\nversion: 2\n" SERVICE ROUTE, "key 'version' is given twice" },
  { "version: 1\nretentoin: 1h\n" SERVICE ROUTE, "did you mean 'retention'" },
  { "version: 1\nretention: 10\n" SERVICE ROUTE, "b.yaml:2: 'retention'" },
  { "version: 1\n" SERVICE "    floor: 80%\n" ROUTE,
    "key 'floor' is given twice" },
  { "version: 1\n" SERVICE
    "routes:\n  - prefix: a\n    service: shop\n    idempotent: true\n",
    "does not start with '/'" },
  { "version: 1\n" SERVICE
    "routes:\n  - prefix: /a\n    service: shpo\n    idempotent: true\n",
    "no service 'shpo'" },
  { "version: 1\n" SERVICE
    "  - name: shop\n    floor: 1%\n    credentials: [" DIGEST "]\n" ROUTE,
    "service 'shop' is given twice" },
};

/* Guards against an invalid bundle that is accepted, or rejected without the
   cause and its place.  */
START_TEST (errors_name_line_and_cause)
{
  char error[AB_CONF_ERROR_BYTES];
  struct ab_bundle *bundle = NULL;

  ck_assert_int_lt (ab_bundle_parse ("b.yaml",
                                     ab_chunk_str (invalid_bundles[_i].text),
                                     &bundle, error),
                    0);
  ck_assert_ptr_null (bundle);
  ck_assert_msg (strstr (error, invalid_bundles[_i].expected) != NULL,
                 "expected \"%s\" in \"%s\"", invalid_bundles[_i].expected,
                 error);
}
END_TEST

/* Guards against defaults that differ from docs/bundle.md, and against a
   prefix that matches a part of a path segment.  */
START_TEST (defaults)
{
  char error[AB_CONF_ERROR_BYTES];
  struct ab_bundle *bundle;

  ck_assert_msg (ab_bundle_parse ("b.yaml",
                                  AB_CHUNK ("version: 1\n" SERVICE ROUTE),
                                  &bundle, error)
                     == 0,
                 "%s", error);
  ck_assert_uint_eq (ab_bundle_retention_ms (bundle), 24ULL * 3600 * 1000);
  ck_assert_uint_eq (ab_bundle_service (bundle, 0)->slots, 1);
  ck_assert_double_eq_tol (ab_bundle_service (bundle, 0)->floor, 0.75, 1e-9);
  ck_assert_ptr_nonnull (
      ab_bundle_find_route (bundle, AB_METHOD_GET, AB_CHUNK ("/a/b")));
  ck_assert_ptr_null (
      ab_bundle_find_route (bundle, AB_METHOD_GET, AB_CHUNK ("/ab")));
  ab_bundle_unref (bundle);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bundle");
  TCase *tcase = tcase_create ("bundle");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, errors_name_line_and_cause, 0,
                       sizeof invalid_bundles / sizeof invalid_bundles[0]);
  tcase_add_test (tcase, defaults);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
