/* Discrete-event simulation of hosts and targets for the comparison of
   policies: the real detector, dispatcher and retry budget, and some simpler
   policies.

   30 entry hosts and the targets of one service are spread evenly over 6
   failure domains.  Requests arrive as a Poisson process at random hosts.
   Targets have slots, a short queue, a distribution of service times and a
   fault.  The result depends only on the setup, which has the seed of all
   random numbers.  No I/O.  */

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
#define FAKE_SLOW_MS 500 /* Responses that take longer count as slow.  */

enum policy_policy
{
  FAKE_DISPATCHER,  /* One dispatcher for each failure domain.  */
  FAKE_ROUND_ROBIN, /* Per host; ejects after 5 failures in a row.  */
  FAKE_LEAST,       /* Fewest requests of the host; ejects like that too.  */
  FAKE_LEASES,      /* Slots are leased to hosts, again every second.  */
  FAKE_TWO_CHOICES, /* Better of two random targets, which shed load.  */
  FAKE_POLICY_COUNT
};

enum policy_fault
{
  FAKE_HEALTHY,
  FAKE_SLOW_10,
  FAKE_SLOW_3,
  FAKE_ERRORS,       /* 30% of the target's responses are errors.  */
  FAKE_HANG,         /* The target never responds.  */
  FAKE_SOME_CALLERS, /* No response to two of five hosts of each domain.  */
  FAKE_FLAP,         /* 10x slower for 2 s, healthy for 2 s, and so on.  */
  FAKE_LIE_GOOD,     /* 10x slower, but its probes succeed.  */
  FAKE_LIE_BAD,      /* 10x slower for 3 s, but its probes always fail.  */
  FAKE_PARTITION,    /* Other domains do not reach failure domain 0.  */
  FAKE_CRASH,        /* Resets, refuses for 5 s, then starts cold.  */
  FAKE_COLD,         /* Restarts at once and is 5x slower for 3 s.  */
  FAKE_DEATH,        /* Every 3 s a request crashes up to 2 targets.  */
  FAKE_DOMAIN_SLOW,  /* Failure domain 0 is 10x slower.  */
  FAKE_OVERLOAD,     /* Load of 3 times the capacity.  */
  FAKE_TAIL,         /* Heavy-tailed latency, no unhealthy target.  */
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
  /* From the first request that the fault affects; -1: not detected.  */
  double detection_ms;
  double false_ejections; /* An ejection by one host counts as 1/30.  */
  unsigned ejections;
  unsigned floor_violations;
  uint64_t requests;
  uint64_t failed; /* Errors, timeouts and rejections.  */
  uint64_t refused;
  uint64_t slow;
  uint64_t retries;
  uint64_t control_bytes;
  double recovery_ms; /* From the end of the fault until 99% succeed.  */
  /* Requests by second of arrival, and successful ones by second of their
     response.  */
  uint64_t arrived[FAKE_SECONDS_MAX];
  uint64_t good[FAKE_SECONDS_MAX];
};

/* Runs one simulation; aborts when memory is full.  */
void policy_run (const struct policy_setup *setup,
                 struct policy_result *result);

/* Returns the mean number of successful requests a second from second FROM up
   to, but without, second TO.  */
double policy_goodput (const struct policy_result *result, unsigned from,
                       unsigned to);

const char *policy_policy_name (enum policy_policy policy);
const char *policy_fault_name (enum policy_fault fault);

#endif
