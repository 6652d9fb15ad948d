/* Settings of a fleet process, read from a YAML file.  The fleet's targets,
   operators and callers are authenticated by a surrounding platform.

   docs/fleet.md is the reference.  Members with the suffix _ms are in
   milliseconds.  Addresses are an IP address, a colon and a port.  */

#ifndef AB_FLEET_SETTINGS_H
#define AB_FLEET_SETTINGS_H

#include "settings.h"

#define AB_HEADER_NAME_BYTES 64
#define AB_DOMAINS_MAX 256
/* Seeds of a fleet that has as many control hosts or more; a shorter list
   names all its control hosts.  */
#define AB_FLEET_SEEDS 3

enum ab_fleet_role
{
  AB_FLEET_GATEWAY, /* Accepts callers' requests; runs on every entry host.  */
  AB_FLEET_CONTROL  /* Stores bundles and targets; has a disk.  */
};

/* Names of the HTTP headers exchanged with callers and targets.  */
struct ab_header_names
{
  char request_id[AB_HEADER_NAME_BYTES];
  char deadline[AB_HEADER_NAME_BYTES];    /* Remaining time in ms.  */
  char incarnation[AB_HEADER_NAME_BYTES]; /* The target that must answer.  */
  char not_run[AB_HEADER_NAME_BYTES];     /* Set when the target rejected the
                                             request without running it.  */
  char answered_by[AB_HEADER_NAME_BYTES]; /* Names the target that ran the
                                             request.  */
  char leaving[AB_HEADER_NAME_BYTES];     /* "1": the target leaves.  */
  char rate_limit[AB_HEADER_NAME_BYTES];  /* Requests per second that the
                                             target takes from all hosts.  */
  char key[AB_HEADER_NAME_BYTES];         /* Key of the caller's team.  */
  char team[AB_HEADER_NAME_BYTES]; /* Name of the team, set for targets.  */
};

struct ab_fleet_listen
{
  char callers[AB_ADDRESS_BYTES];
  char ready[AB_ADDRESS_BYTES];
  char addresses[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES]; /* For targets and operators.  */
  char peers[AB_ADDRESS_BYTES];
  char peers_bind[AB_ADDRESS_BYTES]; /* Address to listen on for peers when
                                        they reach this process through a
                                        forwarder at PEERS; empty: PEERS.  */
  char metrics[AB_ADDRESS_BYTES];
};

struct ab_domain
{
  char name[AB_NAME_BYTES];
  char region[AB_NAME_BYTES];
};

struct ab_fleet_settings
{
  /* Settings read by the tasks that other roles use too.  BASE.HOST is the
     address of the peer listener, which identifies the process to its
     peers.  */
  struct ab_settings base;
  char name[AB_NAME_BYTES]; /* Host name for logs.  */
  enum ab_fleet_role role;
  struct ab_fleet_listen listen;
  uint64_t control_port; /* Peer port, the same on all control hosts.  */
  char (*seeds)[AB_ADDRESS_BYTES];
  size_t seed_count;
  struct ab_domain *domains;
  size_t domain_count;
  struct ab_header_names headers;
  bool first_start;            /* The whole fleet starts with empty disks.  */
  uint64_t tolerated_losses;   /* Control hosts that may fail at once.  */
  uint64_t answer_lifetime_ms; /* Maximum lifetime of an address response.  */
  uint64_t stop_time_ms;       /* Time from SIGTERM to SIGKILL.  */
  double retry_fraction;       /* Retry budget: retries per request,
                                   fleet-wide.  */
  uint64_t retry_extra;        /* Further retries allowed in each window.  */
  uint64_t retry_window_ms;    /* Window of the retry budget.  */
  /* Longest time for which a key is honoured after the acknowledgement of a
     bundle without it; 0: no limit.  */
  uint64_t key_lifetime_ms;
  /* In each window a team may exceed its limit by this fraction and by this
     many requests.  */
  uint64_t team_limit_window_ms;
  double team_limit_overshoot;
  uint64_t team_limit_slack;
  uint64_t memory_mb; /* Memory limit of the process; 0: not known.  */
  double link_mbps;   /* Bandwidth of the host's link in each direction; 0 if
                         unknown.  */
};

/* Reads the settings file PATH.  Returns 0 or a negative code, with a message
   "FILE:LINE: ..." in ERROR.  */
int ab_fleet_settings_load (const char *path,
                            struct ab_fleet_settings **settings,
                            char error[AB_CONF_ERROR_BYTES]);
/* Like ab_fleet_settings_load, from TEXT; messages use NAME in place of the
   file name.  */
int ab_fleet_settings_parse (const char *name, struct ab_chunk text,
                             struct ab_fleet_settings **settings,
                             char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_settings_free (struct ab_fleet_settings *settings);

const char *ab_fleet_role_name (enum ab_fleet_role role);

/* Returns the region of the failure domain NAME; empty if the domain is not
   configured.  */
const char *ab_fleet_region (const struct ab_fleet_settings *settings,
                             const char *name);

#endif
