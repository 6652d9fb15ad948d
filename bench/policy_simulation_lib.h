/* Discrete-event simulation of hosts and targets for the comparison of
   policies: the real detector, dispatcher and retry budget, and some simpler
   policies.

   30 entry hosts and the targets of one service are spread evenly over 6
   failure domains.  Requests arrive as a Poisson process at random hosts.
   Targets have slots, a short queue, a distribution of service times and a
   fault.  The result depends only on the setup, which has the seed of all
   random numbers.  No I/O.  */

#ifndef POLICY_SIMULATION_LIB_H
#define POLICY_SIMULATION_LIB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define POLICY_HOSTS 30
#define POLICY_DOMAINS 6
#define POLICY_TARGETS_MAX 24
#define POLICY_SLOTS_MAX 6
#define POLICY_SECONDS_MAX 60
#define POLICY_SERVICE_MEAN_MS 40.0
#define POLICY_DEADLINE_MS 2000
#define POLICY_SLOW_MS 500 /* Responses that take longer count as slow.  */

enum policy_kind
{
  /* One dispatcher for each failure domain.  */
  POLICY_DISPATCHER,
  /* Round robin by each host, which ejects a target after 5 consecutive
     failures.  */
  POLICY_ROUND_ROBIN,
  /* Target with the fewest outstanding requests of the host; ejects as round
     robin does.  */
  POLICY_LEAST_OUTSTANDING,
  /* Slots are leased to hosts and reassigned every second.  */
  POLICY_LEASES,
  /* Better of two random targets; targets shed load.  */
  POLICY_TWO_CHOICES,
  POLICY_COUNT
};

enum policy_fault
{
  FAULT_NONE,
  FAULT_SLOW_10,
  FAULT_SLOW_3,
  /* 30% of the target's responses are errors.  */
  FAULT_ERRORS,
  /* The target never responds.  */
  FAULT_HANG,
  /* The target never responds to two of five hosts of each domain.  */
  FAULT_HANG_FOR_SOME_HOSTS,
  /* 10x slower for 2 s, healthy for 2 s, and so on.  */
  FAULT_FLAP,
  /* 10x slower, but its probes succeed.  */
  FAULT_SLOW_PROBES_PASS,
  /* 10x slower for 3 s, but its probes always fail.  */
  FAULT_SLOW_PROBES_FAIL,
  /* Hosts of other failure domains cannot reach failure domain 0.  */
  FAULT_PARTITION,
  /* Resets connections, refuses them for 5 s, then starts cold.  */
  FAULT_CRASH,
  /* Restarts at once and is 5x slower for 3 s.  */
  FAULT_COLD_RESTART,
  /* Every 3 s a request crashes up to 2 targets.  */
  FAULT_CRASHING_REQUESTS,
  /* Failure domain 0 is 10x slower.  */
  FAULT_DOMAIN_SLOW,
  /* The load is 3 times the capacity.  */
  FAULT_OVERLOAD,
  /* Heavy-tailed latency, no unhealthy target.  */
  FAULT_HEAVY_TAIL,
  FAULT_COUNT
};

struct policy_setup
{
  enum policy_kind policy;
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
  uint64_t arrived[POLICY_SECONDS_MAX];
  uint64_t good[POLICY_SECONDS_MAX];
};

/* Runs one simulation; aborts when out of memory.  */
void policy_run (const struct policy_setup *setup,
                 struct policy_result *result);

/* Returns the mean number of successful requests per second from second FROM
   to second TO, exclusive.  */
double policy_goodput (const struct policy_result *result, unsigned from,
                       unsigned to);

const char *policy_kind_name (enum policy_kind policy);
const char *policy_fault_name (enum policy_fault fault);

#endif
