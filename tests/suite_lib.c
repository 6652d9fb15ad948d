#include "suite_lib.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

int
suite_main (const char *name, const TTest *const *tests, size_t count,
            double timeout_s)
{
  Suite *suite = suite_create (name);
  TCase *tcase = tcase_create (name);
  SRunner *runner = srunner_create (suite);
  const char *only = getenv ("AB_TEST");
  int failed;

  tcase_set_timeout (tcase, timeout_s);
  for (size_t i = 0; i < count; i++)
    if (!only || strstr (tests[i]->name, only))
      tcase_add_test (tcase, tests[i]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

void
suite_raise_descriptor_limit (size_t least)
{
  struct rlimit limit;

  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  ck_assert_uint_ge (limit.rlim_max, least);
  limit.rlim_cur = limit.rlim_max;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
}
