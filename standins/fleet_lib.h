/* A fleet of real processes on loopback addresses, for the demonstration and
   the integration tests.

   Every fleet has its own block 127.x.y.0/24, derived from the process id, so
   that several can run side by side.  Host number N listens on .N; with
   proxies, other hosts reach its peer listener through a fault-injecting proxy
   on .(N + 100).  */

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
  const char *build;  /* Build folder, which has the programs.  */
  const char *folder; /* For settings, data and logs; emptied first.  */
  int controls;       /* Number of control hosts, numbered from 1.  */
  int entries;  /* Number of entry hosts, numbered after the control hosts.  */
  int regions;  /* Number of regions, each with two failure domains.  Hosts are
                   distributed round robin.  */
  bool proxies; /* Puts a fault-injecting proxy in front of peer listeners.  */
  const char *address_ttl; /* Duration; "2s" if null.  */
  const char *log_level;   /* "info" if null.  */
};

struct fleet;

/* Writes keys and settings, and starts the proxy if there is one, but no host.
   Returns null on failure, usually with a message on standard error.  */
struct fleet *fleet_new (const struct fleet_options *options);

/* Kills all remaining processes and frees FLEET; keeps the folder.  */
void fleet_free (struct fleet *fleet);

/* Start host HOST, or all hosts.  Return whether that succeeded.  */
bool fleet_start_host (struct fleet *fleet, int host);
bool fleet_start_hosts (struct fleet *fleet);

int fleet_host_count (const struct fleet *fleet);
bool fleet_is_control (const struct fleet *fleet, int host);

/* Returns the process id of host HOST, 0 while it is not running.  */
pid_t fleet_host_pid (const struct fleet *fleet, int host);
const char *fleet_folder (const struct fleet *fleet);

/* Sends SIGNAL to host HOST if it runs.  */
void fleet_signal_host (struct fleet *fleet, int host, int signal);

/* Waits at most TIMEOUT_MS for host HOST to exit, and kills it on a timeout.
   Returns its exit status, 128 + the signal that ended it, or -1 on a
   timeout.  */
int fleet_wait_host (struct fleet *fleet, int host, int timeout_ms);

/* Kills host HOST and waits for it to exit.  */
void fleet_kill_host (struct fleet *fleet, int host);

/* Empties the data folder of host HOST, which must not be running.  */
void fleet_empty_disk (struct fleet *fleet, int host);

/* Return addresses of host HOST, valid as long as FLEET.  fleet_peers returns
   the advertised one, which may be a proxy's.  */
const char *fleet_callers (const struct fleet *fleet, int host);
const char *fleet_admin (const struct fleet *fleet, int host);
const char *fleet_peers (const struct fleet *fleet, int host);

/* Return the credentials of targets, for announcements, and of callers.  */
const char *fleet_target_token (const struct fleet *fleet);
const char *fleet_team_token (const struct fleet *fleet);

/* Writes a bundle of VERSION with the service "shop" and TEXT_EXTRA, if not
   null, signs it and applies it with almondctl on host HOST.  Returns the exit
   status of almondctl, or -1.  */
int fleet_apply_bundle (struct fleet *fleet, int host, int version,
                        const char *text_extra);

/* Waits until every running host has VERSION or a later one in force, and
   entry hosts report that they are ready.  Returns false after
   TIMEOUT_MS.  */
bool fleet_wait_ready (struct fleet *fleet, int version, int timeout_ms);

/* Starts target number TARGET, counted from 1, in the failure domain that
   follows from its number.  ARGUMENTS, terminated by null, are passed on to
   the target stand-in.  Returns whether that succeeded.  */
bool fleet_start_target (struct fleet *fleet, int target,
                         const char *const *arguments);
const char *fleet_target (const struct fleet *fleet, int target);
const char *fleet_target_log (const struct fleet *fleet, int target);
void fleet_signal_target (struct fleet *fleet, int target, int signal);
int fleet_wait_target (struct fleet *fleet, int target, int timeout_ms);

/* Waits until host HOST knows exactly COUNT active targets.  Returns false
   after TIMEOUT_MS.  */
bool fleet_wait_targets (struct fleet *fleet, int host, int count,
                         int timeout_ms);

/* Runs almondctl against host HOST with ARGUMENTS, terminated by null.
   Returns the exit status.  Sets *OUTPUT, which the caller frees, to its
   standard output unless OUTPUT is null.  */
int fleet_ctl (struct fleet *fleet, int host, const char *const *arguments,
               char **output);

/* Like fleet_ctl with --json.  Returns the output, or null on failure.  */
json_t *fleet_query (struct fleet *fleet, int host,
                     const char *const *arguments);

/* Starts PROGRAM from the build folder in the background, with standard output
   and error appended to FOLDER/NAME.out.  Returns the process id or -1.  */
pid_t fleet_spawn (struct fleet *fleet, const char *name, const char *program,
                   const char *const *arguments);

/* Waits for a spawned process, which is killed after TIMEOUT_MS.  Returns its
   exit status, 128 + the signal that ended it, or -1 on a timeout.  */
int fleet_wait_process (pid_t pid, int timeout_ms);

/* Returns the last line of FOLDER/NAME.out, parsed as JSON, or null.  */
json_t *fleet_output (struct fleet *fleet, const char *name);

/* Sends an unsigned HTTP request.  HEADERS are "Name: value" lines, separated
   by line feeds, or null.  Returns the status, or -1.  Sets *REPLY, which the
   caller frees, to the response body unless REPLY is null.  */
int fleet_http (const char *address, const char *method, const char *path,
                const char *headers, const char *body, char **reply);

/* Like fleet_http, with the credential of the bundle's team.  HEADER is one
   line or null.  */
int fleet_http_as_team (const struct fleet *fleet, const char *address,
                        const char *method, const char *path,
                        const char *header, const char *body, char **reply);

/* Sets the fault of the proxy in front of host HOST's peer listener, for
   example "up=drop&down=pass"; see faultproxy for the syntax of QUERY.
   Returns whether that succeeded.  */
bool fleet_set_fault (struct fleet *fleet, int host, const char *query);

void fleet_sleep_ms (int ms);

#endif
