/* A fleet of control hosts and gateways as real processes on loopback, with
   targets that write down every request that they run.

   Every fleet has its own block of 127.x.y.0/24.  Control host N (from 1)
   listens on .N, gateway N on .(N + 20), target N on .(N + 40); behind a proxy
   a target listens on .(N + 60).  */

#ifndef GATEWAY_FLEET_LIB_H
#define GATEWAY_FLEET_LIB_H

#include <stdbool.h>
#include <sys/types.h>

#define GF_CONTROLS_MAX 6
#define GF_GATEWAYS_MAX 4
#define GF_TARGETS_MAX 6

/* How a target treats requests; the path "/shop/slow" takes GF_SLOW_MS.  */
enum gf_fault
{
  GF_SOUND,
  GF_FAILING, /* Answers 500.  */
  GF_RESETS,  /* Closes the connection after it ran the request.  */
  GF_SHEDS,   /* Answers that it did not run it.  */
  GF_LARGE,   /* Answers GF_LARGE_BYTES to paths with "large".  */
  GF_REPEATS, /* Answers with the request's id, behind a copy of the response
                 to the request before, on every eighth request.  */
  GF_ENDLESS  /* Sends bytes until the connection is closed: header lines for
                 a path with "head", chunks with "chunk", a body without length
                 otherwise.  A path with "slow" gets a few at a time.  */
};

#define GF_SLOW_MS 1500
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
  pid_t proxy_pid;  /* Before the targets; 0: none.  */
  int stop_ms;      /* Of gateways started from now on; 0: 4 s.  */
  char address[64]; /* Of the last gf_address.  */
};

/* Writes settings and starts everything; the first three control hosts are
   the seeds.  Fails the test on an error.  */
void gf_start (struct gf_fleet *fleet, const char *name, int controls,
               int gateways);
void gf_stop (struct gf_fleet *fleet);

void gf_start_control (struct gf_fleet *fleet, int number, bool first_start);
void gf_start_gateway (struct gf_fleet *fleet, int number);
/* Kills the process and waits for its end.  */
void gf_kill (pid_t *pid);
void gf_empty_disk (struct gf_fleet *fleet, int number);

/* Puts a proxy before the targets that are started afterwards; it alone is
   announced.  */
void gf_start_proxy (struct gf_fleet *fleet);
/* Sets the fault of the path to target NUMBER, "up=drop&delay_ms=20" and so
   on; see faultproxy.  */
void gf_fault_path (struct gf_fleet *fleet, int number, const char *query);

/* Starts target NUMBER of service "shop"; it announces itself until it is
   killed.  */
void gf_start_target (struct gf_fleet *fleet, int number, enum gf_fault fault);
/* Announces target NUMBER by hand; the status.  */
int gf_announce (struct gf_fleet *fleet, int control, int number,
                 const char *state, int sequence);
/* How often all targets, or just NUMBER, ran the request ID.  */
int gf_runs (const struct gf_fleet *fleet, const char *id);
int gf_runs_at (const struct gf_fleet *fleet, int number, const char *id);

const char *gf_admin (struct gf_fleet *fleet, int control);
const char *gf_callers (struct gf_fleet *fleet, int gateway);

/* Puts a bundle of VERSION made from BASE; EXTRA is added to the prefix of its
   second route, "/look".  A third one, "/large/", is of downloads.  The
   status.  */
int gf_put_bundle (struct gf_fleet *fleet, int control, int version, int base,
                   const char *extra);
/* Waits until the bundle can be read at CONTROL and has VERSION.  */
bool gf_wait_bundle (struct gf_fleet *fleet, int control, int version,
                     int timeout_ms);

/* A request to a gateway with the request id ID; the status.  *BODY, unless
   null, is to be freed.  */
int gf_request (struct gf_fleet *fleet, int gateway, const char *method,
                const char *path, const char *id, char **body);
/* Waits until requests through GATEWAY to PATH end with STATUS.  */
bool gf_wait_status (struct gf_fleet *fleet, int gateway, const char *path,
                     int status, int timeout_ms);

/* Whether the log of gateway NUMBER has a line with all of EVENT, ID and
   FIELD.  */
bool gf_logged (const struct gf_fleet *fleet, int number, const char *event,
                const char *id, const char *field);

#endif
