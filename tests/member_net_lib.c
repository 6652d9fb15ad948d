#include "member_net_lib.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "error.h"

#define SAME_REGION_MS 1
#define CROSS_REGION_MS 20
#define HOST_PORT 10000
#define FIRST_INCARNATION 1000
#define SEEDS 3

struct net_message
{
  struct net_message *next;
  size_t from;
  size_t to;
  enum ab_frame_type type;
  uint64_t incarnation;
  size_t len;
  char body[];
};

static struct net_node *
node_of (struct ab_membership_env *env)
{
  return (struct net_node *)env;
}

static size_t
port_of (const char *address)
{
  const char *colon = strrchr (address, ':');
  unsigned long long port = 0;

  ab_chunk_to_u64 (ab_chunk_str (colon + 1), &port);
  return (size_t)port;
}

static void
send_address (struct ab_membership_env *env, const char *address,
              enum ab_frame_type type, struct ab_chunk body)
{
  struct net_node *node = node_of (env);
  struct net *net = node->net;
  size_t to = port_of (address) - HOST_PORT;
  bool same_region = to % NET_REGIONS == node->index % NET_REGIONS;
  struct net_message *message;
  struct net_message **slot;

  if (ab_rng_unit (&net->rng) < net->loss
      || (net->cut && net->cut (net, node->index, to)))
    return;
  message = malloc (sizeof *message + body.len);
  message->from = node->index;
  message->to = to;
  message->type = type;
  message->incarnation = node->incarnation;
  message->len = body.len;
  if (body.len > 0)
    memcpy (message->body, body.data, body.len);
  slot = &net->slots[(net->now_ms
                      + (same_region ? SAME_REGION_MS : CROSS_REGION_MS))
                     % NET_SLOTS];
  message->next = *slot;
  *slot = message;
}

static void
send_host (struct ab_membership_env *env, const struct ab_host_view *host,
           enum ab_frame_type type, struct ab_chunk body)
{
  send_address (env, host->peers, type, body);
}

static void
host_changed (struct ab_membership_env *env, const struct ab_host_view *host)
{
  (void)env;
  (void)host;
}

static void
target_changed (struct ab_membership_env *env,
                const struct ab_target_view *target)
{
  struct net_node *node = node_of (env);
  size_t index = port_of (target->address);
  char name[AB_NAME_BYTES];

  /* Like a real registrar, drop the lease of a target that has moved.  */
  snprintf (name, sizeof name, "host-%zu", node->index);
  if (strcmp (target->registrar, name) != 0 && index < node->net->target_count)
    node->held[index] = 0;
}

static bool
holds_lease (struct ab_membership_env *env,
             const struct ab_target_view *target)
{
  return node_of (env)->held[port_of (target->address)];
}

static const struct ab_membership_ops ops = {
  .send = send_host,
  .send_address = send_address,
  .host_changed = host_changed,
  .target_changed = target_changed,
  .holds_lease = holds_lease,
};

void
net_start (struct net *net, size_t host)
{
  struct net_node *node = &net->nodes[host];
  struct ab_membership_config config = { .probe_interval_ms = 1000,
                                         .probe_timeout_ms = 300,
                                         .suspicion_ms = 3000,
                                         .seed_count = SEEDS };
  char seeds[SEEDS][AB_ADDRESS_BYTES];
  struct ab_host_view *self = &config.self;

  node->env.ops = &ops;
  node->net = net;
  node->index = host;
  node->stopped = false;
  node->incarnation++;
  ab_rng_init_seeded (&node->rng, ab_rng_next (&net->rng));
  for (size_t i = 0; i < SEEDS; i++)
    snprintf (seeds[i], sizeof seeds[i], "127.0.0.1:%zu", HOST_PORT + i);
  config.seeds = (const char (*)[AB_ADDRESS_BYTES])seeds;
  snprintf (self->name, sizeof self->name, "host-%zu", host);
  snprintf (self->region, sizeof self->region, "region-%zu",
            host % NET_REGIONS);
  snprintf (self->failure_domain, sizeof self->failure_domain, "domain-%zu",
            host % NET_DOMAINS);
  snprintf (self->callers, sizeof self->callers, "10.0.0.1:%zu",
            HOST_PORT + host);
  snprintf (self->admin, sizeof self->admin, "10.0.0.1:%zu", HOST_PORT + host);
  snprintf (self->peers, sizeof self->peers, "127.0.0.1:%zu",
            HOST_PORT + host);
  self->incarnation = node->incarnation;
  node->m = ab_membership_new (&node->env, &node->rng, &config, net->now_ms);
}

void
net_init (struct net *net, size_t hosts, size_t targets, uint64_t seed)
{
  memset (net, 0, sizeof *net);
  net->count = hosts;
  net->target_count = targets;
  net->now_ms = 1000;
  ab_rng_init_seeded (&net->rng, seed);
  net->nodes = calloc (hosts, sizeof *net->nodes);
  for (size_t i = 0; i < hosts; i++)
    {
      net->nodes[i].held = calloc (targets + 1, 1);
      net->nodes[i].incarnation = FIRST_INCARNATION;
      net_start (net, i);
    }
}

static void
free_messages (struct net_message **list)
{
  struct net_message *message = *list;

  *list = NULL;
  while (message)
    {
      struct net_message *next = message->next;
      free (message);
      message = next;
    }
}

void
net_free (struct net *net)
{
  for (size_t i = 0; i < NET_SLOTS; i++)
    free_messages (&net->slots[i]);
  for (size_t i = 0; i < net->count; i++)
    {
      free_messages (&net->nodes[i].backlog);
      ab_membership_free (net->nodes[i].m);
      free (net->nodes[i].held);
    }
  free (net->nodes);
}

void
net_stop (struct net *net, size_t host)
{
  struct net_node *node = &net->nodes[host];

  node->stopped = true;
  ab_membership_free (node->m);
  node->m = NULL;
  memset (node->held, 0, net->target_count);
}

static uint64_t
cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static void
deliver (struct net *net, struct net_message *message)
{
  struct net_node *node = &net->nodes[message->to];
  char name[AB_NAME_BYTES];
  struct ab_frame frame = { .type = message->type,
                            .incarnation = message->incarnation,
                            .body = ab_chunk (message->body, message->len) };
  uint64_t start_us;

  snprintf (name, sizeof name, "host-%zu", message->from);
  frame.sender = ab_chunk_str (name);
  start_us = cpu_us ();
  if (!node->stopped)
    ab_membership_receive (node->m, &frame, net->now_ms);
  node->cpu_us += cpu_us () - start_us;
}

static void
deliver_slot (struct net *net)
{
  struct net_message **slot = &net->slots[net->now_ms % NET_SLOTS];
  struct net_message *message = *slot;

  *slot = NULL;
  while (message)
    {
      struct net_message *next = message->next;
      struct net_node *node = &net->nodes[message->to];
      if (node->frozen)
        {
          message->next = node->backlog;
          node->backlog = message;
        }
      else
        {
          deliver (net, message);
          free (message);
        }
      message = next;
    }
}

static void
tick (struct net *net, struct net_node *node)
{
  uint64_t start_us = cpu_us ();

  ab_membership_tick (node->m, net->now_ms, NET_WALL_MS + net->now_ms);
  node->cpu_us += cpu_us () - start_us;
  while (node->backlog)
    {
      struct net_message *message = node->backlog;
      node->backlog = message->next;
      deliver (net, message);
      free (message);
    }
}

void
net_run (struct net *net, uint64_t ms)
{
  uint64_t end_ms = net->now_ms + ms;

  while (net->now_ms < end_ms)
    {
      net->now_ms++;
      deliver_slot (net);
      for (size_t i = net->now_ms % NET_TICK_MS; i < net->count;
           i += NET_TICK_MS)
        if (!net->nodes[i].frozen && !net->nodes[i].stopped)
          tick (net, &net->nodes[i]);
    }
}

struct ab_target_view
net_target (size_t target, uint64_t incarnation)
{
  struct ab_target_view view
      = { .slots = 2, .incarnation = incarnation, .state = AB_TARGET_ACTIVE };

  snprintf (view.service, sizeof view.service, "%s",
            target % 3 ? "workroom" : "counter");
  snprintf (view.address, sizeof view.address, "10.9.0.1:%zu", target);
  snprintf (view.region, sizeof view.region, "region-%zu",
            target % NET_REGIONS);
  snprintf (view.failure_domain, sizeof view.failure_domain, "domain-%zu",
            target % NET_DOMAINS);
  return view;
}

void
net_announce (struct net *net, size_t host, size_t target,
              uint64_t incarnation)
{
  struct ab_target_view view = net_target (target, incarnation);

  net->nodes[host].held[target] = 1;
  ab_membership_announce (net->nodes[host].m, &view, NET_LEASE_MS,
                          net->now_ms);
}

#define PRELOAD_BYTES (512 * 1024)

static void
deliver_to_all (struct net *net, struct ab_buf *items, size_t *count)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_frame frame
      = { .type = AB_FRAME_REPAIR, .sender = AB_CHUNK ("host-0") };

  ab_pack_array (&body, *count);
  ab_buf_append_chunk (&body, ab_buf_chunk (items));
  frame.body = ab_buf_chunk (&body);
  for (size_t i = 0; i < net->count; i++)
    ab_membership_receive (net->nodes[i].m, &frame, net->now_ms);
  ab_buf_free (&body);
  ab_buf_clear (items);
  *count = 0;
}

void
net_preload (struct net *net)
{
  struct ab_buf items = AB_BUF_INIT;
  size_t count = 0;

  for (size_t i = 0; i < net->count; i++, count++)
    ab_item_pack (ab_membership_self (net->nodes[i].m), &items);
  for (size_t i = 0; i < net->target_count; i++)
    {
      struct ab_item item = { .kind = AB_ITEM_TARGET,
                              .version = 1,
                              .incarnation = 1,
                              .lease_ms = NET_LEASE_MS };
      size_t host = net->count > 0 ? i % net->count : 0;
      item.target = net_target (i, 1);
      snprintf (item.target.registrar, sizeof item.target.registrar,
                "host-%zu", host);
      net->nodes[host].held[i] = 1;
      ab_item_update_hashes (&item);
      ab_item_pack (&item, &items);
      count++;
      if (items.len > PRELOAD_BYTES)
        deliver_to_all (net, &items, &count);
    }
  deliver_to_all (net, &items, &count);
  ab_buf_free (&items);
}

static bool
is_running (const struct net_node *node)
{
  return !node->stopped && !node->frozen;
}

size_t
net_running (const struct net *net)
{
  size_t count = 0;

  for (size_t i = 0; i < net->count; i++)
    count += is_running (&net->nodes[i]);
  return count;
}

size_t
net_host_seen (const struct net *net, size_t other, enum ab_host_state state)
{
  char name[AB_NAME_BYTES];
  size_t count = 0;

  snprintf (name, sizeof name, "host-%zu", other);
  for (size_t i = 0; i < net->count; i++)
    {
      const struct ab_item *item;
      if (!is_running (&net->nodes[i]) || i == other)
        continue;
      item = ab_membership_find_host (net->nodes[i].m, ab_chunk_str (name));
      count += item && item->host.state == state;
    }
  return count;
}

size_t
net_target_seen (const struct net *net, size_t target,
                 enum ab_target_state state)
{
  struct ab_target_view view = net_target (target, 0);
  size_t count = 0;

  for (size_t i = 0; i < net->count; i++)
    {
      const struct ab_item *item;
      if (!is_running (&net->nodes[i]))
        continue;
      item = ab_membership_find_target (net->nodes[i].m,
                                        ab_chunk_str (view.service),
                                        ab_chunk_str (view.address));
      count += (item ? item->target.state : AB_TARGET_REMOVED) == state;
    }
  return count;
}

bool
net_converged (const struct net *net)
{
  const struct net_node *first = NULL;

  for (size_t i = 0; i < net->count; i++)
    {
      const struct net_node *node = &net->nodes[i];
      if (!is_running (node))
        continue;
      if (!first)
        first = node;
      if (ab_membership_digest (node->m) != ab_membership_digest (first->m))
        return false;
    }
  return true;
}

uint64_t
net_converge (struct net *net, uint64_t limit_ms)
{
  uint64_t start_ms = net->now_ms;

  while (net->now_ms - start_ms < limit_ms)
    {
      net_run (net, 10);
      if (net_converged (net))
        break;
    }
  return net->now_ms - start_ms;
}
