/* Compares the detector and dispatcher with simpler policies in a simulation.
   Prints Markdown tables; every figure is over the given number of seeds.

   usage: bench_policy [SEEDS [CASE [trust|hrimgrind]]]  */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baseline.h"
#include "policy_simulation_lib.h"

#define SECONDS 40
#define FAULT_FROM_S 10
#define FAULT_TO_S 30
#define SEEDS_MAX 32
#define FIRST_SEED 101

struct deployment
{
  const char *name;
  size_t slots;
  double weight;
};

static const struct deployment deployments[]
    = { { .name = "trust", .slots = 2, .weight = 0 },
        { .name = "hrimgrind", .slots = 6, .weight = 1 } };
static const size_t services[] = { 24, 12 };
static const double floor_fraction = 0.7;

struct row
{
  double detection[2 * SEEDS_MAX];
  size_t detections;
  size_t missed;
  double false_ejections;
  double requests;
  double failed;
  double refused;
  double slow;
  double retries;
  double goodput;
  double goodput_before;
  double recovery_ms;
  unsigned violations;
  double bytes_per_host_s;
};

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
add_result (struct row *row, const struct policy_result *result)
{
  if (result->detection_ms >= 0)
    row->detection[row->detections++] = result->detection_ms;
  else
    row->missed++;
  row->false_ejections += result->false_ejections;
  row->requests += (double)result->requests;
  row->failed += (double)result->failed;
  row->refused += (double)result->refused;
  row->slow += (double)result->slow;
  row->retries += (double)result->retries;
  row->goodput += policy_goodput (result, FAULT_FROM_S + 2, FAULT_TO_S);
  row->goodput_before += policy_goodput (result, 2, FAULT_FROM_S);
  row->recovery_ms = fmax (row->recovery_ms, result->recovery_ms);
  row->violations += result->floor_violations;
  row->bytes_per_host_s
      += (double)result->control_bytes / SECONDS / POLICY_HOSTS;
}

static void
print_detection (const struct row *row, double q)
{
  size_t all = row->detections + row->missed;
  size_t at = (size_t)(q * (double)(all - 1) + 0.5);

  if (row->detections == 0 || at >= row->detections)
    printf (" %8s |", "-");
  else
    printf (" %8.0f |", row->detection[at]);
}

static void
print_row (const struct policy_setup *setup, struct row *row, unsigned seeds)
{
  qsort (row->detection, row->detections, sizeof row->detection[0], compare);
  printf ("| %-10s | %2.0f%% | %-11s |", policy_fault_name (setup->fault),
          setup->utilisation * 100, policy_kind_name (setup->policy));
  print_detection (row, 0.5);
  print_detection (row, 0.99);
  printf (" %5.1f | %5.2f%% | %5.2f%% | %7.0f | %5.1f%% | %3u | %6.0f |\n",
          row->false_ejections, 100 * row->failed / row->requests,
          100 * row->slow / row->requests, row->goodput / seeds,
          100 * row->retries / row->requests, row->violations,
          row->bytes_per_host_s / seeds / 2);
  fflush (stdout);
}

static void
run_row (const struct deployment *deployment, enum policy_kind policy,
         enum policy_fault fault, double utilisation, unsigned seeds)
{
  struct row row = { .detections = 0 };
  struct policy_setup setup = { .policy = policy,
                                .fault = fault,
                                .slots = deployment->slots,
                                .detection_weight = deployment->weight,
                                .floor = floor_fraction,
                                .utilisation = utilisation,
                                .seconds = SECONDS,
                                .fault_from_s = FAULT_FROM_S,
                                .fault_to_s = FAULT_TO_S };

  for (unsigned s = 0; s < seeds; s++)
    for (size_t i = 0; i < sizeof services / sizeof services[0]; i++)
      {
        struct policy_result result;

        setup.targets = services[i];
        setup.seed = FIRST_SEED + s;
        policy_run (&setup, &result);
        add_result (&row, &result);
      }
  print_row (&setup, &row, seeds);
}

static void
print_head (const struct deployment *deployment, unsigned seeds)
{
  printf ("\n## %s: %zu+%zu targets of %zu slots, detection weight %.1f, "
          "floor %.0f%%, seeds %u to %u\n\n",
          deployment->name, services[0], services[1], deployment->slots,
          deployment->weight, floor_fraction * 100, FIRST_SEED,
          FIRST_SEED + seeds - 1);
  puts ("| case | load | policy | detection median ms | 99th ms | false "
        "ejections | failed | slow | goodput/s | retries | floor violations | "
        "control B/s per host |");
  puts ("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

static void
run_deployment (const struct deployment *deployment, unsigned seeds,
                const char *only_case)
{
  static const double loads[] = { 0.2, 0.6 };

  print_head (deployment, seeds);
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    for (size_t i = 0; i < 2; i++)
      for (int policy = 0; policy < POLICY_COUNT; policy++)
        {
          if (only_case && *only_case
              && strcmp (only_case,
                         policy_fault_name ((enum policy_fault)fault))
                     != 0)
            continue;
          run_row (deployment, (enum policy_kind)policy,
                   (enum policy_fault)fault, loads[i], seeds);
        }
}

/* Prints the goodput at capacity and at three times the capacity, and the
   recovery time after the overload.  */
static void
run_overload (const struct deployment *deployment, unsigned seeds)
{
  printf ("\n### Overload, %s: 100%% of capacity, then 300%% from second %d "
          "to %d, then 60%%\n\n",
          deployment->name, FAULT_FROM_S, FAULT_TO_S);
  puts ("| policy | goodput at capacity | at 3 times | share | back to normal "
        "ms | retries |");
  puts ("|---|---|---|---|---|---|");
  for (int policy = 0; policy < POLICY_COUNT; policy++)
    {
      struct row full = { .detections = 0 };
      struct row over = { .detections = 0 };
      struct policy_setup setup = { .policy = (enum policy_kind)policy,
                                    .slots = deployment->slots,
                                    .detection_weight = deployment->weight,
                                    .floor = floor_fraction,
                                    .seconds = SECONDS,
                                    .fault_from_s = FAULT_FROM_S,
                                    .fault_to_s = FAULT_TO_S,
                                    .targets = services[0] };

      for (unsigned s = 0; s < seeds; s++)
        {
          struct policy_result result;

          setup.seed = FIRST_SEED + s;
          setup.fault = FAULT_NONE;
          setup.utilisation = 1;
          policy_run (&setup, &result);
          add_result (&full, &result);
          setup.fault = FAULT_OVERLOAD;
          setup.utilisation = 0.6;
          policy_run (&setup, &result);
          add_result (&over, &result);
        }
      printf ("| %-11s | %6.0f | %6.0f | %5.1f%% | %6.0f | %5.1f%% |\n",
              policy_kind_name ((enum policy_kind)policy),
              full.goodput / seeds, over.goodput / seeds,
              100 * over.goodput / full.goodput, over.recovery_ms,
              100 * over.retries / over.requests);
    }
}

int
main (int argc, char **argv)
{
  unsigned seeds = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 5;
  const char *only_case = argc > 2 ? argv[2] : NULL;
  const char *name = argc > 3 ? argv[3] : NULL;

  if (seeds == 0 || seeds > SEEDS_MAX)
    seeds = SEEDS_MAX;
  printf ("Service time: log-normal, mean %.0f ms; deadline %d ms; slow means "
          "over %d ms; fault from second %d to %d of %d.\n",
          POLICY_SERVICE_MEAN_MS, POLICY_DEADLINE_MS, POLICY_SLOW_MS,
          FAULT_FROM_S, FAULT_TO_S, SECONDS);
  for (size_t i = 0; i < sizeof deployments / sizeof deployments[0]; i++)
    {
      if (name && strcmp (name, deployments[i].name) != 0)
        continue;
      run_deployment (&deployments[i], seeds, only_case);
      if (!only_case || !*only_case || strcmp (only_case, "overload") == 0)
        run_overload (&deployments[i], seeds);
    }
  return EXIT_SUCCESS;
}
