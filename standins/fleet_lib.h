/* A fleet of real processes on loopback addresses, for the demonstration and
   the integration tests.

   Every fleet has its own block of 127.x.y.0/24, derived from the process
   number, so that several can run side by side.  Host number N listens on
   .N; with proxies, other hosts reach its peer listener through a
   fault-injecting proxy on .(N + 100).  */

#ifndef FLEET_LIB_H
#define FLEET_LIB_H

#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#define FLEET_HOSTS_MAX 40
#define FLEET_TARGETS_MAX 64
#define FLEET_ADDRESS_BYTES 64

struct fleet_options
{
  const char *build;  /* Build folder, for the programs.  */
  const char *folder; /* For settings, data and logs; made anew.  */
  int controls;       /* Hosts 1 to CONTROLS.  */
  int entries;        /* The hosts after them.  */
  int regions;        /* Hosts go round over these; two domains in each.  */
  bool proxies;       /* Puts a fault-injecting proxy before peers.  */
  const char *address_ttl; /* Duration; "2s" when null.  */
  const char *log_level;   /* "info" when null.  */
};

struct fleet;

/* Makes keys and settings; starts nothing.  Null on failure, with a message
   on standard error.  */
struct fleet *fleet_new (const struct fleet_options *options);

/* Stops every process that is left and frees FLEET; keeps the folder.  */
void fleet_free (struct fleet *fleet);

/* Starts host N, or all hosts.  */
bool fleet_start_host (struct fleet *fleet, int host);
bool fleet_start_hosts (struct fleet *fleet);

int fleet_host_count (const struct fleet *fleet);
bool fleet_is_control (const struct fleet *fleet, int host);

/* The process of host N, 0 while it does not run.  */
pid_t fleet_host_pid (const struct fleet *fleet, int host);
const char *fleet_folder (const struct fleet *fleet);

/* Sends SIGNAL to host N.  */
void fleet_signal_host (struct fleet *fleet, int host, int signal);

/* Waits at most TIMEOUT_MS for the end of host N; its exit status, 128 + the
   signal that ended it, or -1.  */
int fleet_wait_host (struct fleet *fleet, int host, int timeout_ms);

/* Kills host N and waits for its end.  */
void fleet_kill_host (struct fleet *fleet, int host);

/* Removes everything in the data folder of host N, which must not run.  */
void fleet_empty_disk (struct fleet *fleet, int host);

/* Addresses, valid as long as FLEET.  */
const char *fleet_callers (const struct fleet *fleet, int host);
const char *fleet_admin (const struct fleet *fleet, int host);
const char *fleet_peers (const struct fleet *fleet, int host);

/* The token that targets announce themselves with, and callers'.  */
const char *fleet_target_token (const struct fleet *fleet);
const char *fleet_team_token (const struct fleet *fleet);

/* Writes a bundle of VERSION with service "shop" (TEXT_EXTRA is appended),
   signs it and has it accepted through almondctl on host N.  The exit status
   of almondctl.  */
int fleet_apply_bundle (struct fleet *fleet, int host, int version,
                        const char *text_extra);

/* Waits until every running entry host is ready on host N's view and has
   VERSION in force; false after TIMEOUT_MS.  */
bool fleet_wait_ready (struct fleet *fleet, int version, int timeout_ms);

/* Starts target number N (from 1) in the failure domain of its number, with
   further ARGUMENTS (null at the end) for the stand-in.  */
bool fleet_start_target (struct fleet *fleet, int target,
                         const char *const *arguments);
const char *fleet_target (const struct fleet *fleet, int target);
const char *fleet_target_log (const struct fleet *fleet, int target);
void fleet_signal_target (struct fleet *fleet, int target, int signal);
int fleet_wait_target (struct fleet *fleet, int target, int timeout_ms);

/* Waits until host N sees COUNT active targets.  */
bool fleet_wait_targets (struct fleet *fleet, int host, int count,
                         int timeout_ms);

/* Runs almondctl against host N with ARGUMENTS (null at the end).  The exit
   status; the output goes to *OUTPUT, to be freed.  */
int fleet_ctl (struct fleet *fleet, int host, const char *const *arguments,
               char **output);

/* Like fleet_ctl with --json; null unless it succeeded.  */
json_t *fleet_query (struct fleet *fleet, int host,
                     const char *const *arguments);

/* Starts a program of the build folder in the background; its standard
   output goes to FOLDER/NAME.out.  The process number or -1.  */
pid_t fleet_spawn (struct fleet *fleet, const char *name, const char *program,
                   const char *const *arguments);

/* Waits for a spawned process; its exit status, or -1 after TIMEOUT_MS, when
   it is killed.  */
int fleet_wait_process (pid_t pid, int timeout_ms);

/* The last line of FOLDER/NAME.out as JSON, or null.  */
json_t *fleet_output (struct fleet *fleet, const char *name);

/* An unsigned HTTP request; the status, or -1.  *BODY, unless null, is to be
   freed.  HEADERS are "Name: value" lines, each
   ended by a line feed, or null.  */
int fleet_http (const char *address, const char *method, const char *path,
                const char *headers, const char *body, char **reply);

/* Like fleet_http, as the team of the bundle; HEADER is one line or null.  */
int fleet_http_as (const struct fleet *fleet, const char *address,
                   const char *method, const char *path, const char *header,
                   const char *body, char **reply);

/* Sets the fault of the proxy before host N's peers: "up=drop&down=pass" and
   so on, see faultproxy.  */
bool fleet_fault (struct fleet *fleet, int host, const char *query);

/* Sleeps.  */
void fleet_sleep_ms (int ms);

#endif
