/* HTTP over plain sockets, for callers and targets that break the protocol or
   depend on when bytes are sent.  Calls block.  */

#ifndef RAW_HTTP_LIB_H
#define RAW_HTTP_LIB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway_fleet_lib.h"

#define RAW_HEAD_BYTES 8192
#define RAW_BODY_BYTES 65536
#define RAW_ID_BYTES 64

/* A request or a response.  */
struct raw_message
{
  char head[RAW_HEAD_BYTES]; /* With the empty line that ends it.  */
  char body[RAW_BODY_BYTES];
  size_t body_len;
  bool complete; /* Head and body have arrived as the head frames them.  */
  int status;    /* Of a response; 0: none.  */
  char id[RAW_ID_BYTES]; /* Of X-Request-Id; empty: none.  */
};

/* Connects to ADDRESS ("IP:PORT").  Returns a descriptor or -1.  */
int raw_connect (const char *address);
/* Returns whether all of DATA was sent.  */
bool raw_send (int fd, const void *data, size_t len);
bool raw_send_str (int fd, const char *text);
/* Reads one message.  Stops after TIMEOUT_MS without a byte and at the end of
   the connection; returns MESSAGE->complete.  */
bool raw_read (int fd, int timeout_ms, struct raw_message *message);
/* Copies the value of header NAME to VALUE; returns false if there is
   none.  */
bool raw_header (const struct raw_message *message, const char *name,
                 char *value, size_t size);

/* Handles REQUEST, the NUMBER-th one (from 1) of its connection, which is
   closed afterwards when the function returns false.  */
struct raw_target;
typedef bool (*raw_handler) (struct raw_target *target, int fd,
                             const struct raw_message *request, int number);

/* Starts target NUMBER, whose requests HANDLER handles in a thread for each
   connection.  It announces itself as gf_start_target does.  */
void raw_target_start (struct gf_fleet *fleet, int number,
                       raw_handler handler);
/* Returns whether the test has set the flag KIND of the target.  */
bool raw_target_flag (const struct raw_target *target, const char *kind);
/* Likewise, the flag KIND of target 0, which stands for all.  */
bool raw_target_fleet_flag (const struct raw_target *target, const char *kind);
/* Records a run of the request ID, for gf_runs.  */
void raw_target_run (struct raw_target *target, const char *id);
/* Records an arrival of the request ID, for raw_arrivals.  */
void raw_target_arrival (struct raw_target *target, const char *id);
/* Sends a response with a stamp and the request's id.  */
bool raw_reply (int fd, const struct raw_message *request, int status,
                const char *extra_headers, const char *body);
/* Sends the response of a target that rejects a request without running
   it.  */
bool raw_reject (int fd, const struct raw_message *request);

struct raw_arrival
{
  uint64_t at_ms; /* On the monotonic clock.  */
  char id[RAW_ID_BYTES];
};

/* Sets *ARRIVALS, which the caller frees, to the arrivals that target NUMBER
   recorded, and returns their number.  */
size_t raw_list_arrivals (const struct gf_fleet *fleet, int number,
                          struct raw_arrival **arrivals);
/* Returns how often the request ID arrived at target NUMBER.  */
int raw_arrivals (const struct gf_fleet *fleet, int number, const char *id);

#endif
