/* Runs the tests of one program.  */

#ifndef SUITE_LIB_H
#define SUITE_LIB_H

#include <check.h>
#include <stddef.h>

/* Runs COUNT tests as suite NAME, each for at most TIMEOUT_S seconds.  Returns
   the exit status for main.  If AB_TEST is set in the environment, only tests
   with that in their names run.  */
int suite_main (const char *name, const TTest *const *tests, size_t count,
                double timeout_s);

/* Raises the limit on open descriptors to the largest allowed.  Fails the test
   if that is below LEAST.  */
void suite_raise_descriptor_limit (size_t least);

/* Defines a main that runs the listed tests with suite_main.  */
#define SUITE_MAIN(name, timeout_s, ...)                                      \
  int main (void)                                                             \
  {                                                                           \
    const TTest *const tests[] = { __VA_ARGS__ };                             \
    return suite_main (name, tests, sizeof tests / sizeof tests[0],           \
                       timeout_s);                                            \
  }

#endif
