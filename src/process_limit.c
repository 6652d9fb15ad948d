#include "process_limit.h"

#include <sys/resource.h>

#include "log.h"

void
ab_raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) < 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) < 0)
    AB_LOG (AB_LOG_WARN, "descriptor_limit_not_raised");
}
