/* A simulated network of membership state machines in one process, with a fake
   clock.

   Messages within a region take 1 ms, between regions 20 ms.  Hosts and
   targets are numbered; host or target I is in region I % 3 and failure domain
   I % 6.  */

#ifndef MEMBER_NET_LIB_H
#define MEMBER_NET_LIB_H

#include "membership.h"

#define NET_REGIONS 3
#define NET_DOMAINS 6
#define NET_SLOTS 64 /* One for each ms; more than the longest delay.  */
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
  bool frozen;  /* Does not run; messages to it wait.  */
  bool stopped; /* Messages to it are lost.  */
  uint64_t incarnation;
  uint64_t cpu_us;
  uint8_t *held; /* By target: whether this host holds its lease.  */
  struct net_message *backlog; /* Messages that wait while frozen.  */
};

struct net
{
  size_t count;
  size_t target_count;
  struct net_node *nodes;
  struct net_message *slots[NET_SLOTS];
  struct ab_rng rng;
  uint64_t now_ms;
  double loss; /* Share of messages that is lost.  */
  /* Whether messages FROM one host TO another are lost.  May be null.  */
  bool (*cut) (const struct net *net, size_t from, size_t to);
};

void net_init (struct net *net, size_t hosts, size_t targets, uint64_t seed);
void net_free (struct net *net);
void net_run (struct net *net, uint64_t ms);

/* Gives every host the whole view of hosts and targets, as after a long time
   without changes.  Target I has its lease from host I modulo the number of
   hosts.  */
void net_preload (struct net *net);

/* Ends the process of a host.  */
void net_stop (struct net *net, size_t host);
/* Starts a new process of a host, with the next incarnation.  */
void net_start (struct net *net, size_t host);

struct ab_target_view net_target (size_t target, uint64_t incarnation);
void net_announce (struct net *net, size_t host, size_t target,
                   uint64_t incarnation);

/* Returns how many running hosts, except OTHER, have host OTHER in STATE.  */
size_t net_host_seen (const struct net *net, size_t other,
                      enum ab_host_state state);
/* Returns how many running hosts have TARGET in STATE.  */
size_t net_target_seen (const struct net *net, size_t target,
                        enum ab_target_state state);
/* Returns how many hosts are neither stopped nor frozen.  */
size_t net_running (const struct net *net);
/* Whether all running hosts have the same view.  */
bool net_converged (const struct net *net);
/* Runs until all running hosts have the same view, for at most about LIMIT_MS.
   Returns the time taken in ms.  */
uint64_t net_converge (struct net *net, uint64_t limit_ms);

#endif
