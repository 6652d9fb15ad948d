/* Cost of membership for each host, over the simulated network of the tests:
   control bytes, processor time and memory while nothing changes, and the
   bytes and the time of one change.  Usage: bench_membership [HOSTS
   TARGETS]...  */

#include <stdio.h>
#include <stdlib.h>

#include "member_net_lib.h"

#define SETTLE_MS 15000
#define IDLE_MS 60000
#define SPREAD_LIMIT_MS 60000
#define CHANGE_MS 15000
#define CHANGES 3
#define SECOND_MS 1000
/* Bound of hosts times targets: 300 hosts with 30,000 targets take more memory
   than a benchmark on a shared computer should.  */
#define ITEMS_MAX 4000000ULL

struct totals
{
  uint64_t bytes;
  uint64_t cross_region_bytes;
  uint64_t cpu_us;
  size_t memory;
};

static struct totals
sum (const struct net *net)
{
  struct totals totals = { .bytes = 0 };

  for (size_t i = 0; i < net->count; i++)
    {
      struct ab_membership_stats stats = ab_membership_stats (net->nodes[i].m);
      totals.bytes += stats.bytes_sent;
      totals.cross_region_bytes += stats.bytes_cross_region;
      totals.cpu_us += net->nodes[i].cpu_us;
      totals.memory += stats.memory_bytes;
    }
  return totals;
}

/* Runs until all hosts have TARGET in STATE.  Returns the time in ms.  */
static uint64_t
measure_spread (struct net *net, size_t target, enum ab_target_state state)
{
  uint64_t start_ms = net->now_ms;

  while (net_target_seen (net, target, state) < net->count
         && net->now_ms - start_ms < SPREAD_LIMIT_MS)
    net_run (net, 5);
  return net->now_ms - start_ms;
}

/* Drains targets one after the other, and announces them again.  */
static void
measure_changes (struct net *net, double idle_bytes_s)
{
  uint64_t drain_ms = 0;
  uint64_t announce_ms = 0;
  uint64_t start_ms = net->now_ms;
  uint64_t before = sum (net).bytes;
  double bytes;

  for (size_t t = 0; t < CHANGES; t++)
    {
      struct ab_target_view view = net_target (t, 1);
      ab_membership_set_target_state (net->nodes[t % net->count].m, &view,
                                      AB_TARGET_DRAINING, net->now_ms);
      drain_ms += measure_spread (net, t, AB_TARGET_DRAINING);
      net_run (net, CHANGE_MS);
      net_announce (net, t % net->count, t, 2);
      announce_ms += measure_spread (net, t, AB_TARGET_ACTIVE);
      net_run (net, CHANGE_MS);
    }
  bytes = (double)(sum (net).bytes - before)
          - idle_bytes_s * (double)net->count
                * (double)(net->now_ms - start_ms) / SECOND_MS;
  printf (" %8.0f %9llu %9llu\n", bytes / (double)net->count / (2.0 * CHANGES),
          (unsigned long long)(drain_ms / CHANGES),
          (unsigned long long)(announce_ms / CHANGES));
}

static void
measure (size_t hosts, size_t targets)
{
  static struct net net;
  struct totals before;
  struct totals after;
  double scale = (double)SECOND_MS / IDLE_MS / (double)hosts;
  double bytes_s;

  net_init (&net, hosts, targets, hosts * 100000 + targets);
  net_preload (&net);
  net_run (&net, SETTLE_MS);
  before = sum (&net);
  net_run (&net, IDLE_MS);
  after = sum (&net);
  bytes_s = (double)(after.bytes - before.bytes) * scale;
  printf ("%6zu %8zu %8.0f %8.0f %8.3f %9.2f", hosts, targets, bytes_s,
          (double)(after.cross_region_bytes - before.cross_region_bytes)
              * scale,
          (double)(after.cpu_us - before.cpu_us) * scale / 10000.0,
          (double)after.memory / (double)hosts / (1024.0 * 1024.0));
  measure_changes (&net, bytes_s);
  fflush (stdout);
  net_free (&net);
}

int
main (int argc, char **argv)
{
  static const size_t hosts[] = { 10, 30, 100, 300 };
  static const size_t targets[] = { 36, 360, 3600, 30000 };

  printf ("%6s %8s %8s %8s %8s %9s %8s %9s %9s\n", "hosts", "targets", "B/s",
          "far B/s", "core %", "MiB", "B/change", "drain ms", "announce");
  for (int i = 1; i + 1 < argc; i += 2)
    measure (strtoul (argv[i], NULL, 10), strtoul (argv[i + 1], NULL, 10));
  for (size_t t = 0; argc < 3 && t < sizeof targets / sizeof targets[0]; t++)
    for (size_t h = 0; h < sizeof hosts / sizeof hosts[0]; h++)
      if (hosts[h] * targets[t] < ITEMS_MAX)
        measure (hosts[h], targets[t]);
  return EXIT_SUCCESS;
}
