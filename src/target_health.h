/* What outcomes of requests say about one target.

   Some targets turn gray: for seconds they fail most of their requests while
   their health checks pass.  Healthy targets fail about one request in a
   hundred.  The record is the probability that the target is gray, by Bayes'
   rule from its outcomes; between outcomes it moves towards the share of gray
   targets that is usual, since gray targets recover and others turn gray.
   Healthy targets fail after they worked; a failure that comes far sooner than
   a response is strong evidence of a gray one.  No I/O.  */

#ifndef AB_TARGET_HEALTH_H
#define AB_TARGET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* How far a target is trusted; a smaller one is trusted more.  */
enum ab_target_trust
{
  AB_TRUST_PROVEN, /* The last requests went well.  */
  AB_TRUST_NEW,    /* Little is known.  */
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
  double gray;       /* Probability, as of NOTED_MS.  */
  uint64_t noted_ms; /* 0: nothing is known.  */
  uint64_t failed_ms;
  unsigned failures; /* Since it was trusted last.  */
  unsigned sheds;    /* In a row.  */
  double shed_rate;  /* Moving average of shed responses, 0 to 1.  */
  uint64_t out_until_ms;
  uint64_t busy_until_ms; /* It shed; its slots are in use.  */
  double latency_ms;      /* Moving average; 0: none yet.  */
};

/* Takes an outcome after LATENCY_MS, where responses take USUAL_MS.  */
void ab_target_health_note (struct ab_target_health *health,
                            enum ab_target_event event, uint64_t latency_ms,
                            double usual_ms, uint64_t now_ms);

/* Whether a request that has been under way for AGE_MS has outlasted the quick
   failures of a gray target.  */
bool ab_target_health_outlasted (uint64_t age_ms, double usual_ms);
/* A request has outlasted quick failures; once for each request.  */
void ab_target_health_note_working (struct ab_target_health *health,
                                    uint64_t now_ms);

/* A request has been under way longer than most; once for each request.  */
void ab_target_health_note_late (struct ab_target_health *health,
                                 uint64_t now_ms);
/* A request has been under way so long that no further one is sent until one
   ends.  */
void ab_target_health_note_stuck (struct ab_target_health *health,
                                  uint64_t now_ms);

/* The probability that the target is gray.  */
double ab_target_health_risk (const struct ab_target_health *health,
                              uint64_t now_ms);

enum ab_target_trust
ab_target_health_trust (const struct ab_target_health *health,
                        uint64_t now_ms);

const char *ab_target_event_name (enum ab_target_event event);
const char *ab_target_trust_name (enum ab_target_trust trust);

#endif
