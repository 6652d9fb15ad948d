/* A network of membership state machines in one process, with a fake clock.

   Messages within a region take 1 ms, between regions 20 ms.  Hosts are
   numbered; host I is in region I % 3, failure domain I % 6.  Targets are
   numbered too.  */

#ifndef MEMBER_NET_LIB_H
#define MEMBER_NET_LIB_H

#include "membership.h"

#define NET_REGIONS 3
#define NET_DOMAINS 6
#define NET_SLOTS 64 /* Longer than the longest latency, in ms.  */
#define NET_TICK_MS 50
#define NET_WALL_MS 1800000000000ULL
#define NET_LEASE_MS 3000

struct net;
struct net_message;

struct net_node
{
  struct ab_membership_env env;
  struct net *net;
  struct ab_membership *m;
  struct ab_rng rng;
  size_t index;
  bool frozen;  /* Gets and does nothing; messages wait.  */
  bool stopped; /* Messages are lost.  */
  uint64_t incarnation;
  uint64_t cpu_us;
  uint8_t *held; /* By target: whether its lease is here.  */
  struct net_message *backlog;
};

struct net
{
  size_t count;
  size_t target_count;
  struct net_node *nodes;
  struct net_message *slots[NET_SLOTS];
  struct ab_rng rng;
  uint64_t now_ms;
  double loss;
  /* Whether messages between the two are lost.  */
  bool (*cut) (const struct net *net, size_t from, size_t to);
};

void net_init (struct net *net, size_t hosts, size_t targets, uint64_t seed);
void net_free (struct net *net);
void net_run (struct net *net, uint64_t ms);

/* Gives every host the whole view of hosts and targets, as after a long time
   without changes.  Target I is leased from host I modulo the hosts.  */
void net_preload (struct net *net);

/* Stops a host for good, and starts a new process in its place.  */
void net_stop (struct net *net, size_t host);
void net_start (struct net *net, size_t host);

struct ab_target_view net_target (size_t target, uint64_t incarnation);
void net_announce (struct net *net, size_t host, size_t target,
                   uint64_t incarnation);

/* How many running hosts see host OTHER in STATE.  */
size_t net_seen_as (const struct net *net, size_t other,
                    enum ab_host_state state);
/* How many running hosts see TARGET in STATE.  */
size_t net_target_seen (const struct net *net, size_t target,
                        enum ab_target_state state);
size_t net_running (const struct net *net);
/* Whether all running hosts have the same view.  */
bool net_converged (const struct net *net);
/* Runs until it has, at most LIMIT_MS; returns how long it took.  */
uint64_t net_converge (struct net *net, uint64_t limit_ms);

#endif
