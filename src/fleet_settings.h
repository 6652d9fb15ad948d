/* Settings of a process of a fleet whose targets, operators and callers are
   known to a platform, read from a YAML file.

   The reference is docs/fleet.md.  Durations are in milliseconds.  Addresses
   are an IP address, a colon and a port.  */

#ifndef AB_FLEET_SETTINGS_H
#define AB_FLEET_SETTINGS_H

#include "settings.h"

#define AB_HEADER_NAME_BYTES 64
#define AB_DOMAINS_MAX 256

enum ab_fleet_role
{
  AB_FLEET_GATEWAY, /* Takes callers' requests; runs on every entry host.  */
  AB_FLEET_CONTROL  /* Keeps bundles and targets; has a disk.  */
};

/* Names of the headers that are exchanged with callers and targets.  */
struct ab_header_names
{
  char request_id[AB_HEADER_NAME_BYTES];
  char deadline[AB_HEADER_NAME_BYTES];    /* Milliseconds that are left.  */
  char incarnation[AB_HEADER_NAME_BYTES]; /* The target that must answer.  */
  char not_run[AB_HEADER_NAME_BYTES];     /* The target did not run it.  */
  char answered_by[AB_HEADER_NAME_BYTES]; /* Set by the target that ran it.  */
};

struct ab_fleet_listen
{
  char callers[AB_ADDRESS_BYTES];
  char ready[AB_ADDRESS_BYTES];
  char addresses[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES]; /* Targets and operators.  */
  char peers[AB_ADDRESS_BYTES];
  char metrics[AB_ADDRESS_BYTES];
};

struct ab_domain
{
  char name[AB_NAME_BYTES];
  char region[AB_NAME_BYTES];
};

struct ab_fleet_settings
{
  /* What the tasks shared with other roles read.  Its host is the address of
     the peer listener, which names the process towards its peers.  */
  struct ab_settings base;
  char name[AB_NAME_BYTES]; /* Of the host, for logs.  */
  enum ab_fleet_role role;
  struct ab_fleet_listen listen;
  uint64_t control_port; /* Peer port of every control host.  */
  char (*seeds)[AB_ADDRESS_BYTES];
  size_t seed_count;
  struct ab_domain *domains;
  size_t domain_count;
  struct ab_header_names headers;
  bool first_start;            /* The whole fleet starts with empty disks.  */
  uint64_t tolerated_losses;   /* Control hosts lost at once.  */
  uint64_t answer_lifetime_ms; /* Longest life of an address answer.  */
  uint64_t stop_time_ms;       /* From SIGTERM to SIGKILL.  */
  double repeat_fraction;      /* Repeated attempts by request, fleet-wide.  */
  uint64_t repeat_extra;       /* Added to it in each window.  */
  uint64_t repeat_window_ms;
  double link_mbps; /* Of the host's link, each way; 0: not known.  */
};

/* Reads the file PATH; ERROR holds "FILE:LINE: ..." on failure.  */
int ab_fleet_settings_load (const char *path,
                            struct ab_fleet_settings **settings,
                            char error[AB_CONF_ERROR_BYTES]);
int ab_fleet_settings_parse (const char *name, struct ab_chunk text,
                             struct ab_fleet_settings **settings,
                             char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_settings_free (struct ab_fleet_settings *settings);

const char *ab_fleet_role_name (enum ab_fleet_role role);

/* The region of the failure domain NAME; empty when it is not known.  */
const char *ab_fleet_region (const struct ab_fleet_settings *settings,
                             const char *name);

#endif
