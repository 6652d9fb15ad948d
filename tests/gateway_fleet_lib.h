/* A fleet of control hosts and gateways as real processes on loopback
   addresses, with targets that log every request that they run.

   Every fleet has its own block 127.x.y.0/24, derived from the process id.
   Control host N (counted from 1) listens on .N, gateway N on .(N + 20),
   target N on .(N + 130), or on .(N + 180) when it is behind a proxy.  */

#ifndef GATEWAY_FLEET_LIB_H
#define GATEWAY_FLEET_LIB_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define GF_CONTROLS_MAX 12
#define GF_GATEWAYS_MAX 110
#define GF_TARGETS_MAX 50
#define GF_PROXIED_MAX 6
#define GF_DOMAINS 6

/* How a target handles requests.  A path with "/slow" takes GF_SLOW_MS.  */
enum gf_fault
{
  GF_HEALTHY,    /* Responds with 200.  */
  GF_FAILING,    /* Responds with 500.  */
  GF_RESETS,     /* Closes the connection after running the request.  */
  GF_SHEDS,      /* Responds with 503 that it did not run the request.  */
  GF_LARGE,      /* Responds with GF_LARGE_BYTES to paths with "large".  */
  GF_DUPLICATES, /* Responds with the request id.  On every eighth request, a
                 duplicate of the previous response precedes that.  */
  GF_ENDLESS /* Sends bytes until the connection is closed, of a kind that a
                word of the path names (endless_kinds), otherwise a body
                without length.  A path with "slow" gets a few at a time.  */
};

#define GF_SLOW_MS 1500
#define GF_TEAM_SLACK 20 /* team_limit_slack of control hosts.  */
#define GF_LARGE_BYTES 4000000

struct gf_fleet
{
  char folder[128];
  int block[2];
  int controls;
  int gateways;
  pid_t control_pids[GF_CONTROLS_MAX + 1];
  pid_t gateway_pids[GF_GATEWAYS_MAX + 1];
  pid_t target_pids[GF_TARGETS_MAX + 1];
  /* How often a target was started again as a new incarnation, which has an id
     and a start time of its own.  */
  int restarts[GF_TARGETS_MAX + 1];
  pid_t proxy_pid;      /* Proxy in front of the targets; 0 if none.  */
  pid_t peer_proxy_pid; /* Proxy between the hosts; 0 if none.  */
  int proxied_gateways; /* It is in front of all control hosts and of this
                           many gateways.  */
  int tolerated;     /* tolerated_losses of control hosts started from now on;
                        0: the default.  */
  int first_seed;    /* Number of the first of the control hosts that are the
                        seeds of processes started from now on; 0: 1.  */
  int stop_ms;       /* stop_time of gateways started from now on; 0: 4 s.  */
  int regions;       /* 2: even gateways and targets are in a second region,
                        from their next start on.  3: processes are divided
                        among GF_DOMAINS failure domains, two in each region.
                        Otherwise there is one.  */
  int services;      /* 2: each third target is of service "pay".  Otherwise
                        all are of "shop".  */
  int born_ms;       /* Start time that targets started from now on announce;
                        0: 1000.  */
  int idle_ms;       /* idle_time_ms of bundles put from now on; 0: 15 s.  */
  int body_bytes;    /* body_bytes of bundles put from now on; 0: 1 MiB.  */
  const char *teams; /* JSON list of the teams of bundles put from now on,
                        which get the route "/open/" that needs no key; null:
                        no teams.  */
  int key_lifetime_ms; /* key_lifetime of gateways started from now on; 0: not
                          set.  */
  int retry_extra;     /* repeat_extra of gateways started from now on; 0: the
                          default.  */
  double retry_fraction; /* Likewise repeat_fraction.  */
  int memory_mb;         /* memory_mb of hosts started from now on; 0: not
                            set.  Their metrics have an address then.  */
  char address[64];      /* Result of the last gf_admin or gf_callers.  */
};

/* Prepares the folder and the addresses of FLEET and starts no process.  */
void gf_prepare (struct gf_fleet *fleet, const char *name);
/* Like gf_start, with memory_mb set from the start.  */
void gf_start_sized (struct gf_fleet *fleet, const char *name, int controls,
                     int gateways, int memory_mb);
/* Starts CONTROLS control hosts, of which the first three are the seeds, and
   GATEWAYS gateways, and waits until the first bundle is accepted.  Fails the
   test on an error.  */
void gf_start (struct gf_fleet *fleet, const char *name, int controls,
               int gateways);
/* Likewise, with REGIONS and SERVICES as in struct gf_fleet and without
   gateways.  With PROXIED_GATEWAYS above 0, hosts may be cut from one
   another.  */
void gf_start_wide (struct gf_fleet *fleet, const char *name, int controls,
                    int regions, int services, int proxied_gateways);
/* Cuts control host or gateway NUMBER off from connections that the other
   hosts open to it, or heals that.  What it sends on its own connections
   arrives, and so do replies on these.  */
void gf_cut_control (const struct gf_fleet *fleet, int number, bool cut);
void gf_cut_gateway (const struct gf_fleet *fleet, int number, bool cut);
/* Kills all processes and, unless AB_KEEP_LOGS is set in the environment,
   removes the files.  */
void gf_stop (struct gf_fleet *fleet);

void gf_start_control (struct gf_fleet *fleet, int number, bool first_start);
void gf_start_gateway (struct gf_fleet *fleet, int number);
/* Kills the process and waits for its end.  */
void gf_kill (pid_t *pid);
/* Removes the data of control host NUMBER, which must not run.  */
void gf_empty_disk (struct gf_fleet *fleet, int number);

/* Returns the memory that a gateway may use, in KB.  Must be called before the
   gateway starts, as it may set ASAN_OPTIONS.  */
long gf_memory_bound_kb (void);
/* Returns the number of open descriptors of the process PID.  */
int gf_descriptors (pid_t pid);
/* Returns the peak resident memory of the process PID, in KB.  */
long gf_peak_memory_kb (pid_t pid);
/* Returns the processor time that the process PID has used.  */
uint64_t gf_processor_ms (pid_t pid);

/* Puts a fault-injecting proxy in front of the targets that are started
   afterwards.  They announce the address of the proxy.  */
void gf_start_proxy (struct gf_fleet *fleet);
/* Sets the fault of the network path to target NUMBER, for example
   "up=drop&delay_ms=20"; see faultproxy for the syntax of QUERY.  */
void gf_set_path_fault (struct gf_fleet *fleet, int number, const char *query);

/* Starts target NUMBER of service "shop", which announces itself until it is
   killed.  A request with GF_CRASH_PATH in its path ends it; the time goes to
   its file "crashes".  While its file "leaving" exists, its responses say that
   it leaves; while "pause" exists, it rejects requests with Retry-After; while
   "record" exists, it appends the headers of requests to its file "heads".  */
#define GF_CRASH_PATH "/crash"
void gf_start_target (struct gf_fleet *fleet, int number, enum gf_fault fault);
/* Addresses of targets; those behind a proxy listen at GF_PROXIED_OFFSET.  */
#define GF_TARGET_PORT 8080
#define GF_TARGET_OFFSET 130
#define GF_PROXIED_OFFSET 180

/* Writes to OUT the address of PORT on HOST of the fleet's block.  */
void gf_print_address (const struct gf_fleet *fleet, int host, int port,
                       char *out, size_t size);
/* Writes to OUT the failure domain of process or target NUMBER.  */
void gf_print_domain (const struct gf_fleet *fleet, int number, char *out,
                      size_t size);
/* Returns the service of target NUMBER.  */
const char *gf_service (const struct gf_fleet *fleet, int number);
/* Writes to OUT the address that target NUMBER listens on when there is no
   proxy.  */
void gf_print_target_address (const struct gf_fleet *fleet, int number,
                              char *out, size_t size);
/* Writes to OUT the path of a file of target NUMBER: its "runs", its
   "arrivals" or its "limit".  */
void gf_print_target_path (const struct gf_fleet *fleet, int number,
                           const char *kind, char *out, size_t size);
/* Returns whether the file KIND of target NUMBER exists, and creates or
   removes it.  */
bool gf_has_flag (const struct gf_fleet *fleet, int number, const char *kind);
void gf_set_flag (const struct gf_fleet *fleet, int number, const char *kind,
                  bool on);
/* Returns the value of the header NAME that target NUMBER recorded with the
   request ID, which the caller frees; null if there is none.  */
char *gf_recorded (const struct gf_fleet *fleet, int number, const char *id,
                   const char *name);
/* Makes target NUMBER name the rate limit TEXT, in requests per second, in its
   responses from now on; none if TEXT is null.  */
void gf_set_rate_limit (const struct gf_fleet *fleet, int number,
                        const char *text);
/* Sets *TIMES to the times at which target NUMBER got requests, in
   milliseconds of the monotonic clock, and returns their number.  The caller
   frees *TIMES.  */
size_t gf_arrivals (const struct gf_fleet *fleet, int number,
                    uint64_t **times);
/* Compares two times, for qsort.  */
int gf_compare_times (const void *a, const void *b);
/* The stated rule of rate limits: from GF_SETTLE_MS after a target first named
   its limit, it may get at most gf_allowed_arrivals in any GF_WINDOW_MS.  */
#define GF_SETTLE_MS 3000
#define GF_WINDOW_MS 4000
/* Returns the allowed number for LIMIT, in requests per second.  */
size_t gf_allowed_arrivals (double limit);
/* Returns the largest number of requests that target NUMBER got in any
   GF_WINDOW_MS after FROM_MS.  */
size_t gf_most_arrivals (const struct gf_fleet *fleet, int number,
                         uint64_t from_ms);
/* Sends one announcement for target NUMBER to CONTROL.  Returns the HTTP
   status.  */
int gf_announce (struct gf_fleet *fleet, int control, int number,
                 const char *state, int sequence);
/* Return how often all targets, or just target NUMBER, ran the request ID.  */
int gf_runs (const struct gf_fleet *fleet, const char *id);
int gf_runs_at (const struct gf_fleet *fleet, int number, const char *id);

/* Writes to OUT the address at which GATEWAY accepts callers.  */
void gf_print_callers (const struct gf_fleet *fleet, int gateway, char *out,
                       size_t size);
/* Writes to OUT the address of a listener of GATEWAY.  */
#define GF_READY_PORT 8167
#define GF_ADDRESSES_PORT 8164
#define GF_METRICS_PORT 8169
void gf_print_gateway (const struct gf_fleet *fleet, int gateway, int port,
                       char *out, size_t size);
/* Return the address of a listener, valid until the next call of either.  */
const char *gf_admin (struct gf_fleet *fleet, int control);
const char *gf_callers (struct gf_fleet *fleet, int gateway);

/* Returns the state dump of a control host, which the caller frees; null if it
   does not run or answer.  */
json_t *gf_read_state (struct gf_fleet *fleet, int control);
bool gf_is_leader (struct gf_fleet *fleet, int control);
/* Waits until a control host leads and returns its number.  Fails the test
   after TIMEOUT_MS.  */
int gf_find_leader (struct gf_fleet *fleet, int timeout_ms);

/* Sends CONTROL a bundle of VERSION with the base version BASE.  EXTRA is
   appended to the prefix of its second route, "/look"; the third route,
   "/large/", is for downloads.  With two services, "/pay/" is for requests to
   "pay" that run once.  Returns the HTTP status.  */
int gf_put_bundle (struct gf_fleet *fleet, int control, int version, int base,
                   const char *extra);
/* Waits until the bundle that CONTROL returns has VERSION.  Returns false
   after TIMEOUT_MS.  */
bool gf_wait_bundle (struct gf_fleet *fleet, int control, int version,
                     int timeout_ms);

/* Sends a request with the request id ID to a gateway.  Returns the HTTP
   status, or -1.  Sets *BODY, which the caller frees, unless BODY is null.  */
int gf_request (struct gf_fleet *fleet, int gateway, const char *method,
                const char *path, const char *id, char **body);
/* Likewise, a GET with the further header LINES, each of which ends in a
   newline.  */
int gf_get_with (struct gf_fleet *fleet, int gateway, const char *path,
                 const char *id, const char *lines);
/* Waits until a request to PATH through GATEWAY gets STATUS.  Returns false
   after TIMEOUT_MS.  */
bool gf_wait_status (struct gf_fleet *fleet, int gateway, const char *path,
                     int status, int timeout_ms);

/* Returns whether the log of gateway NUMBER has a line with all of EVENT, ID
   and FIELD.  */
bool gf_logged (const struct gf_fleet *fleet, int number, const char *event,
                const char *id, const char *field);

#endif
