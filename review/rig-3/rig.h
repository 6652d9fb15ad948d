/* Rig for the cases 11 to 15: starts the daemons on loopback addresses of a
   block of its own, and plays the operator and the clients.

   A driver calls rig_start first and rig_end last.  Every failure of the rig
   itself ends the process with status 2 after the daemons are killed.  */

#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define RIG_HOSTS_MAX 12
#define RIG_TEXT 65536

struct rig_response
{
  int status; /* -1: no response.  */
  size_t len;
  char text[RIG_TEXT]; /* Head and body.  */
  const char *body;
};

/* Opens record.txt in FOLDER, makes a temporary folder and chooses a block of
   addresses whose ports are free.  LOSSES is tolerated_losses.  */
void rig_start (const char *folder, int losses);
/* Kills all daemons, removes the temporary folder and exits with STATUS.  */
void rig_end (int status) __attribute__ ((noreturn));

/* Appends a line with the time since the start to record.txt.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Whether the disruption is wanted: TROUBLE is not 0.  */
bool rig_trouble (void);
double rig_now (void);
void rig_sleep (double seconds);

/* Control hosts N from 1 on; the first three are the seeds.  */
void rig_start_control (int n, bool first_start);
void rig_start_gateway (int n);
/* Kills the control hosts FIRST to LAST at the same moment and removes their
   data folders.  */
void rig_lose_controls (int first, int last);
bool rig_control_runs (int n);

/* Returns the resident memory of gateway N in MiB.  */
double rig_gateway_memory (int n);
void rig_kill_gateway (int n);
/* Waits until gateway N serves requests; ends the run if it does not.  */
void rig_wait_served (int n);
/* Opens a connection, with a time limit for each of its calls.  Returns the
   descriptor, or -1.  */
int rig_connect (const char *address, double timeout_s);
/* Sends LEN bytes.  Returns false on an error.  */
bool rig_send (int fd, const char *data, size_t len);
/* Reads from FD until TEXT has come or END is reached.  Returns whether it
   came.  */
bool rig_await (int fd, const char *text, double end);

/* Writes the address of control host, gateway or server N to OUT.  */
void rig_control_address (int n, char out[64]);
void rig_gateway_address (int n, int port, char out[64]);
void rig_server_address (int n, char out[64]);

#define RIG_CALLERS 8161
#define RIG_READY 8167

/* Starts server N of the service "shop" as a process that announces itself to
   the control hosts, runs every request at once and answers 200; requests
   with "/slow" in their path take RIG_SLOW_S.  */
#define RIG_SLOW_S 2.9
void rig_start_server (int n);
/* Return how many requests server N has run, and how often it ran ID.  */
int rig_runs (int n);
int rig_runs_of (int n, const char *id);

/* Sends a request on a connection of its own and reads the response.  LINES
   are further header lines, each with CR LF.  Returns the status, or -1.  */
int rig_http (const char *address, const char *method, const char *path,
              const char *lines, const char *body, double timeout_s,
              struct rig_response *response);
/* Puts a bundle with the routes /look/ (idempotent) and /buy/ (once) of the
   service "shop".  */
int rig_put_bundle (int control, int version, int base, double timeout_s);
/* Returns the version that control host N returns, 0 for a 5xx or no
   response.  */
int rig_read_bundle (int control, double timeout_s);

#endif
