/* Stand-ins for the platform, clients and servers, around the project's own
   programs as separate processes on loopback addresses.

   Machine N (from 1) has the address 127.X.Y.N and runs a control process and
   a gateway process with the commands and the templates of deploy/.  Server N
   has the address 127.X.Y.(N + 130).  Names on the wire are those of
   deploy/wire.toml.  */

#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MACHINES 3
#define RIG_SERVERS_MAX 16
#define RIG_FRONT 8161
#define RIG_DIRECTORY 8164
#define RIG_CONTROL 8166
#define RIG_READY 8167
#define RIG_HEAD_BYTES 70000
#define RIG_BODY_BYTES 4096

/* Exit codes of a script.  */
enum
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2
};

/* A request or an answer.  */
struct rig_message
{
  char head[RIG_HEAD_BYTES];
  char body[RIG_BODY_BYTES];
  size_t body_len;
  char id[512];
  int status;
};

struct rig_server;

/* Answers REQUEST on FD.  Returns false to close the connection.  */
typedef bool (*rig_handler) (struct rig_server *server, int fd,
                             const struct rig_message *request);

struct rig_server
{
  int number;
  char id[32];
  char address[32];
  rig_handler handle;
  void (*opened) (int fd); /* Called for each new connection, or null.  */
  uint64_t born_ms;
  uint64_t sequence;
  int listener;
};

/* Whether the disruption is to be brought about (TROUBLE is not 0).  */
extern bool rig_trouble;
extern uint64_t rig_memory_mb;

uint64_t rig_now_ms (void);
void rig_sleep_ms (uint64_t ms);
/* Adds a line to record.txt in the folder of the case.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all processes and exits with CODE, after a line that says why.  */
void rig_exit (int code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));

/* Starts all machines, and a thread that kills a process that uses more than
   rig_memory_mb (DEPLOY.md) and starts it again.  */
void rig_start (const char *case_folder);
/* Puts the first configuration: one host x.example with the idempotent route
   /look/ and the route /order/ whose requests may run once, both to the
   service "shop".  */
void rig_put_config (uint64_t timeout_ms, uint64_t latency_ms);
/* Writes configuration VERSION, made from BASE, with these routes to OUT;
   returns its length.  */
int rig_print_config (char *out, int version, int base, uint64_t timeout_ms,
                      uint64_t latency_ms);
/* Calls the control address of MACHINE.  Returns the status, or 0.  */
int rig_control (int machine, const char *method, const char *path,
                 const char *body);
void rig_start_server (struct rig_server *server, int number,
                       rig_handler handle);
/* Waits until each gateway serves a request.  */
void rig_wait_served (void);
/* Writes the address of machine MACHINE to OUT.  */
void rig_address (int machine, char out[32]);
/* How often a process of MACHINE used more memory than allowed.  */
int rig_memory_ends (int machine);
/* Largest memory of the gateway of MACHINE since its start, in MB.  */
uint64_t rig_gateway_peak_mb (int machine);
bool rig_gateway_runs (int machine);

/* Returns a connection, or -1.  */
int rig_connect (const char *ip, int port);
bool rig_send (int fd, const void *data, size_t len);
/* Reads one message.  Returns false if none came whole within MS.  */
bool rig_read (int fd, uint64_t ms, struct rig_message *message);
/* Sends one request on a connection of its own and reads the answer.  Returns
   its status, or 0 if there was none in MS.  */
int rig_request (int machine, const char *method, const char *path,
                 const char *id, const char *extra, const char *body,
                 uint64_t ms, struct rig_message *answer);
/* Sends an answer with the headers that a sound server sends.  */
bool rig_answer (int fd, const struct rig_message *request, int status,
                 const char *extra, const char *body);
/* Fills OUT with LEN random hexadecimal digits.  */
void rig_new_id (char *out, size_t len);

#endif
