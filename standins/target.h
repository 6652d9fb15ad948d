/* Faults of the target stand-in, switched over HTTP.  */

#ifndef TARGET_H
#define TARGET_H

#include "standin_lib.h"

#define TARGET_MARKER_BYTES 64

struct target_faults
{
  double slow_factor;   /* Service time is multiplied by it; 1 for none.  */
  double error_rate;    /* Answers 500.  */
  double hang_rate;     /* Keeps the slot and never answers.  */
  double reset_rate;    /* Runs, then resets the connection.  */
  double truncate_rate; /* Sends half of the body and closes.  */
  double wrong_length_rate; /* Announces fewer bytes than it sends.  */
  uint64_t late_ms;         /* Added to the service time.  */
  uint64_t flap_period_ms;  /* Other faults act in the second half only.  */
  char crash_marker[TARGET_MARKER_BYTES];
  bool refuse;
  uint64_t since_ms;
  uint64_t until_ms; /* 0: until changed.  */
};

void target_faults_clear (struct target_faults *faults)
    __attribute__ ((nonnull));

/* Applies PUT /fault?kind=KIND&...; AB_ERR_INVALID for an unknown kind.  */
int target_faults_set (struct target_faults *faults,
                       struct evhttp_request *req, uint64_t now_ms)
    __attribute__ ((nonnull));

/* The faults that act now.  */
struct target_faults target_faults_now (const struct target_faults *faults,
                                        uint64_t now_ms)
    __attribute__ ((nonnull));

json_t *target_faults_json (const struct target_faults *faults);

#endif
