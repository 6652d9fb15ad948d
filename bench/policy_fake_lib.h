/* Fakes of targets and callers on a fake clock, around the real detector,
   dispatcher and retry budget and some simpler policies.

   30 entry hosts and the targets of one service are spread evenly over 6
   failure domains.  Requests arrive as a Poisson process at random hosts.
   Targets have slots, a short queue, a distribution of service times and a
   fault.  Everything depends on the seed alone.  */

#ifndef POLICY_FAKE_LIB_H
#define POLICY_FAKE_LIB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAKE_HOSTS 30
#define FAKE_DOMAINS 6
#define FAKE_TARGETS_MAX 24
#define FAKE_SLOTS_MAX 6
#define FAKE_SECONDS_MAX 60
#define FAKE_MEAN_MS 40.0
#define FAKE_DEADLINE_MS 2000
#define FAKE_SLOW_MS 500 /* Answers later than this count as slow.  */

enum policy_policy
{
  FAKE_DISPATCHER,  /* Dispatcher per service and failure domain.  */
  FAKE_ROUND_ROBIN, /* Each host for itself; ejects after 5 errors.  */
  FAKE_LEAST,       /* Least outstanding of the host; ejects likewise.  */
  FAKE_LEASES,      /* Hosts hold slots, divided anew every second.  */
  FAKE_TWO_CHOICES, /* Better of two random targets; targets shed.  */
  FAKE_POLICY_COUNT
};

enum policy_fault
{
  FAKE_HEALTHY,
  FAKE_SLOW_10,
  FAKE_SLOW_3,
  FAKE_ERRORS,       /* 30% of the responses.  */
  FAKE_HANG,         /* No response at all.  */
  FAKE_SOME_CALLERS, /* No response to two of five hosts.  */
  FAKE_FLAP,         /* Slow 10x for 2 s, healthy for 2 s, and so on.  */
  FAKE_LIE_GOOD,     /* Slow 10x; its health endpoint says healthy.  */
  FAKE_LIE_BAD,      /* Slow 10x for 3 s; the endpoint never recovers.  */
  FAKE_PARTITION,    /* Other domains do not reach failure domain 0.  */
  FAKE_CRASH,        /* Resets, refuses for 5 s, then starts cold.  */
  FAKE_COLD,         /* Restarts at once and is 5x slower for 3 s.  */
  FAKE_DEATH,        /* Every 3 s a request crashes up to 2 targets.  */
  FAKE_DOMAIN_SLOW,  /* All targets of failure domain 0, 10x.  */
  FAKE_OVERLOAD,     /* 3 times the capacity.  */
  FAKE_TAIL,         /* Heavy tail, no sick target.  */
  FAKE_FAULT_COUNT
};

struct policy_setup
{
  enum policy_policy policy;
  enum policy_fault fault;
  size_t targets;
  size_t slots;
  double detection_weight;
  double floor;
  double utilisation;
  unsigned seconds;
  unsigned fault_from_s;
  unsigned fault_to_s;
  uint64_t seed;
};

struct policy_result
{
  double detection_ms; /* -1: not within the run.  */
  double false_ejections;
  unsigned ejections;
  unsigned floor_violations;
  uint64_t requests;
  uint64_t failed; /* Errors, timeouts and refusals.  */
  uint64_t refused;
  uint64_t slow;
  uint64_t retries;
  uint64_t control_bytes;
  double recovery_ms; /* After the fault until 99% succeed again.  */
  uint64_t arrived[FAKE_SECONDS_MAX];
  uint64_t good[FAKE_SECONDS_MAX];
};

void policy_run (const struct policy_setup *setup,
                 struct policy_result *result);

/* Mean good requests a second from second FROM up to second TO.  */
double policy_goodput (const struct policy_result *result, unsigned from,
                       unsigned to);

const char *policy_policy_name (enum policy_policy policy);
const char *policy_fault_name (enum policy_fault fault);

#endif
