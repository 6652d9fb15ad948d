/* Faults of the target stand-in, which are set over HTTP.  No I/O.  */

#ifndef TARGET_FAULT_LIB_H
#define TARGET_FAULT_LIB_H

#include "standin_lib.h"

#define TARGET_MARKER_BYTES 64

/* Rates are fractions of the requests.  */
struct target_faults
{
  double slow_factor;       /* Multiplies the service time; 1 for none.  */
  double error_rate;        /* Runs, then responds with status 500.  */
  double hang_rate;         /* Keeps the slot and never responds.  */
  double reset_rate;        /* Runs, then resets the connection.  */
  double truncate_rate;     /* Sends half the body and closes.  */
  double wrong_length_rate; /* Content-Length is half the body.  */
  uint64_t extra_delay_ms;  /* Added to the service time.  */
  uint64_t flap_period_ms;  /* Faults act in the second half; 0: always.  */
  /* The process exits when it starts a request whose body has this text; empty
     for none.  */
  char crash_marker[TARGET_MARKER_BYTES];
  bool refuse;       /* Refuses connections; resets instead of responding.  */
  uint64_t since_ms; /* When the faults were set; flap periods start.  */
  uint64_t until_ms; /* When all faults end; 0: when they are changed.  */
};

void target_faults_clear (struct target_faults *faults)
    __attribute__ ((nonnull));

/* Applies the query of REQ, PUT /fault?kind=KIND&..., at NOW_MS.  Returns 0,
   or AB_ERR_INVALID for an unknown kind.  */
int target_faults_set (struct target_faults *faults,
                       struct evhttp_request *req, uint64_t now_ms)
    __attribute__ ((nonnull));

/* Returns the faults that act at NOW_MS.  */
struct target_faults target_faults_active (const struct target_faults *faults,
                                           uint64_t now_ms)
    __attribute__ ((nonnull));

json_t *target_faults_json (const struct target_faults *faults);

#endif
