/* Estimates the health of one target from the outcomes of its requests.

   Some targets turn gray: for seconds they fail most of their requests while
   their health checks pass.  Healthy targets fail about one request in a
   hundred.  The record holds the probability that the target is gray, updated
   by Bayes' rule with each outcome.  Between outcomes it decays towards the
   usual share of gray targets, since gray targets recover and others turn
   gray.  Healthy targets fail after they did some work; a failure that comes
   far sooner than a response is strong evidence of a gray target.  No I/O.  */

#ifndef AB_TARGET_HEALTH_H
#define AB_TARGET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Health state of a target; a smaller value is better.  */
enum ab_target_health_state
{
  AB_TARGET_HEALTHY,  /* Recent requests succeeded.  */
  AB_TARGET_UNTESTED, /* Too few recent outcomes to decide.  */
  AB_TARGET_SUSPECT,  /* Failed; takes trial requests.  */
  /* Failed just now or does not answer; takes no requests.  */
  AB_TARGET_EJECTED
};

enum ab_target_event
{
  AB_TARGET_OK,
  AB_TARGET_ERROR, /* An error response: the request ran and failed.  */
  AB_TARGET_LOST,  /* The connection was lost, or the response was broken.  */
  AB_TARGET_REFUSED,     /* Connection refused; the request was not sent.  */
  AB_TARGET_UNREACHABLE, /* No response to a connection attempt.  */
  AB_TARGET_TIMEOUT,     /* No response in time.  */
  AB_TARGET_SHED, /* The target answered that it did not run the request.  */
  AB_TARGET_REPLACED, /* Another incarnation has the address.  */
  /* No evidence: never sent, or the caller disconnected.  */
  AB_TARGET_UNUSED,
  /* Notices, which come before the end of a request: the target takes no
     requests any more, or none from the requesting host for some time.  */
  AB_TARGET_LEAVING,
  AB_TARGET_PAUSED,
  AB_TARGET_EVENTS /* Number of events.  */
};

struct ab_target_health
{
  /* Probability that the target is gray, at UPDATED_MS.  */
  double gray_probability;
  /* Time of the last update of GRAY_PROBABILITY; 0 if no outcome has updated
     it yet.  */
  uint64_t updated_ms;
  uint64_t failed_ms;
  unsigned failures; /* Since the target was last healthy.  */
  unsigned consecutive_sheds;
  double shed_rate; /* Moving average of shed responses, 0 to 1.  */
  uint64_t ejected_until_ms;
  enum ab_target_event ejected_by; /* Outcome that set EJECTED_UNTIL_MS.  */
  uint64_t busy_until_ms; /* After a shed response: all slots are in use.  */
  double latency_ms;      /* Moving average; 0: none yet.  */
};

/* Records an outcome after LATENCY_MS, where the service's typical latency is
   TYPICAL_MS.  */
void ab_target_health_record (struct ab_target_health *health,
                              enum ab_target_event event, uint64_t latency_ms,
                              double typical_ms, uint64_t now_ms);

/* Returns whether a request in flight for AGE_MS has lasted longer than a
   quick failure of a gray target.  */
bool ab_target_health_outlasts_quick_failure (uint64_t age_ms,
                                              double typical_ms);
/* Records that a request has lasted longer than a quick failure.  To be called
   at most once per request.  */
void ab_target_health_record_progress (struct ab_target_health *health,
                                       uint64_t now_ms);

/* Records that a request has been in flight longer than most.  To be called at
   most once per request.  */
void ab_target_health_record_overdue (struct ab_target_health *health,
                                      uint64_t now_ms);
/* Records that a request has been in flight so long that no further one is to
   be sent until one ends.  */
void ab_target_health_record_stalled (struct ab_target_health *health,
                                      uint64_t now_ms);

/* Returns the probability that the target is gray.  */
double ab_target_health_risk (const struct ab_target_health *health,
                              uint64_t now_ms);

enum ab_target_health_state
ab_target_health_state (const struct ab_target_health *health,
                        uint64_t now_ms);

const char *ab_target_event_name (enum ab_target_event event);
const char *ab_target_health_state_name (enum ab_target_health_state state);

#endif
