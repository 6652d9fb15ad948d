/* Test rig for the review cases: starts control hosts and gateways of the
   deploy file as separate processes on loopback addresses, and plays the
   platform, the operator, the servers and the clients.

   Every run has its own block 127.x.y.0/24.  Machine N (counted from 1) has
   the address .N and runs one control host and one gateway, like a machine
   with a disk; server N listens on .(N + 40).  */

#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MACHINES_MAX 6
#define RIG_SERVERS_MAX 8
#define RIG_ADDRESS_BYTES 32

/* Exit statuses of a case.  */
enum rig_verdict
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2
};

struct rig_server
{
  char id[32];
  const char *service;
  char address[RIG_ADDRESS_BYTES];
  int slots;
  int answer_bytes; /* Size of the body of its answers; 0: the request's id. */
  bool unframed;    /* Answers without a length, and closes.  */
  /* Answers in a thousand in which one byte of the head is a wrong one.  */
  volatile int spoilt_per_thousand;
  volatile bool draining;
  volatile bool stopped; /* Sends no heartbeats any more.  */
};

/* Whether the disruption is left out: TROUBLE=0 in the environment.  */
bool rig_calm (void);

/* Opens FOLDER/record.txt and creates a temporary folder.  Ends the process
   with RIG_NOT_RUN on any error, like the other functions without a
   result.  */
void rig_begin (const char *folder);
/* Kills all processes of the run, removes the temporary folder and exits.  */
void rig_end (enum rig_verdict verdict) __attribute__ ((noreturn));
/* Ends the run: the case could not run.  */
void rig_fail (const char *format, ...)
    __attribute__ ((noreturn, format (printf, 1, 2)));
/* Appends a line with the time since the start to the record.  */
void rig_note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Milliseconds of the monotonic clock.  */
int64_t rig_now_ms (void);
void rig_sleep_ms (int ms);

/* Starts MACHINES machines, waits until the first configuration is accepted
   and the servers that were added before are acknowledged, and until every
   gateway is ready.  */
void rig_start (int machines);
/* Settings with other than the usual values.  */
extern int rig_header_timeout_ms;
extern int rig_route_timeout_ms;

/* Adds a server of SERVICE and starts it.  It runs a request for as many
   milliseconds as the last number in its path says, answers with status 200
   and drops a request whose connection closes.  */
struct rig_server *rig_add_server (const char *service);
/* Number of answers that servers have spoilt.  */
int rig_spoilt_answers (void);
/* Number of runs that servers began of the request ID, and of all
   requests.  */
int rig_runs (const char *id);
int rig_all_runs (void);
/* Waits until a server has begun to run ID.  */
bool rig_wait_run (const char *id, int timeout_ms);
/* Number of runs of ID for which the server got another body than the one of
   SIZE bytes with the hash HASH.  */
int rig_changed_runs (const char *id, size_t size, uint32_t hash);
uint32_t rig_hash (const void *data, size_t size);

pid_t rig_gateway_pid (int machine);
pid_t rig_control_pid (int machine);
/* Sends SIGNAL to the gateway of MACHINE, or to both of its processes.  */
void rig_signal_gateway (int machine, int signal);
void rig_signal_machine (int machine, int signal);
/* Returns whether the gateway's process has ended by itself.  */
bool rig_gateway_ended (int machine);
/* Resident memory of the gateway in bytes; 0 when it cannot be read.  */
size_t rig_gateway_memory (int machine);

/* HTTP of clients.  A connection is a blocking socket.  */
int rig_connect (int machine);
bool rig_send (int fd, const void *data, size_t size);
/* Prints the head of a request for HOST_NAME into OUT.  LENGTH is the body's,
   or -1 for none.  */
size_t rig_head (char *out, size_t size, const char *method, const char *path,
                 const char *id, int deadline_ms, long length);
struct rig_answer
{
  int status; /* 0: the connection ended without a whole answer;
                 -1: nothing came in time.  */
  char head[2048];
  char body[65536];
  size_t body_bytes;
  bool close;
};
/* Reads one answer.  */
void rig_read_answer (int fd, int timeout_ms, struct rig_answer *answer);
/* Returns the value of the header NAME in HEAD, copied to VALUE, or null.  */
const char *rig_find_header (const char *head, const char *name, char *value,
                             size_t size);
/* Whether ANSWER has the stamp of a server for the request ID, and the whole
   body that the stamp names.  */
bool rig_is_genuine (const struct rig_answer *answer, const char *id);

#endif
