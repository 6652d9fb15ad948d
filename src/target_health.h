/* What outcomes of requests say about one target.

   Some targets fail most of their requests for seconds while their health
   checks pass, and healthy targets fail about one in a hundred.  A single
   failure of a target that has just worked is more often of the second kind:
   the target is a suspect until the next success or failure.  Any other
   failure makes it sick.  A sick target is left alone for a while, then tried
   with requests that may be repeated, and is trusted with others only after
   several successes in a row.  No I/O.  */

#ifndef AB_TARGET_HEALTH_H
#define AB_TARGET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* How far a target is trusted; a smaller one is trusted more.  */
enum ab_target_trust
{
  AB_TRUST_PROVEN, /* The last requests went well.  */
  AB_TRUST_NEW,    /* Nothing is known.  */
  AB_TRUST_TRIAL,  /* It failed and may be tried again.  */
  AB_TRUST_OUT     /* It failed just now, or does not answer.  */
};

enum ab_target_event
{
  AB_TARGET_OK,
  AB_TARGET_ERROR,       /* It ran the request and failed.  */
  AB_TARGET_LOST,        /* The connection ended, or a broken response.  */
  AB_TARGET_REFUSED,     /* No connection; the request was not sent.  */
  AB_TARGET_UNREACHABLE, /* No answer to a connection attempt.  */
  AB_TARGET_TIMEOUT,     /* No response in time.  */
  AB_TARGET_SHED,        /* It says that it did not run the request.  */
  AB_TARGET_REPLACED,    /* Another incarnation has the address.  */
  AB_TARGET_UNUSED       /* Says nothing: never sent, or the caller left.  */
};

struct ab_target_health
{
  bool sick;
  bool proven;
  unsigned failures;  /* In a row, without a success.  */
  unsigned successes; /* In a row, since the last failure.  */
  unsigned needed;    /* Successes in a row that make it trusted again.  */
  unsigned sheds;     /* In a row.  */
  double shed_rate;   /* Moving average of shed responses, 0 to 1.  */
  uint64_t out_until_ms;
  uint64_t busy_until_ms; /* It shed; its slots are in use.  */
  uint64_t ok_ms;         /* Of the last success.  */
  double latency_ms;      /* Moving average; 0: none yet.  */
};

void ab_target_health_note (struct ab_target_health *health,
                            enum ab_target_event event, uint64_t latency_ms,
                            uint64_t now_ms);

/* A request has been under way far longer than usual.  */
void ab_target_health_note_stuck (struct ab_target_health *health,
                                  uint64_t now_ms);

enum ab_target_trust
ab_target_health_trust (const struct ab_target_health *health,
                        uint64_t now_ms);

const char *ab_target_event_name (enum ab_target_event event);
const char *ab_target_trust_name (enum ab_target_trust trust);

#endif
