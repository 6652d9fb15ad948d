/* Structures shared by the files of the scheduler; see scheduler.h.

   scheduler_targets.c keeps what is known of targets, scheduler_choice.c
   chooses one for a request, scheduler_queue.c orders those that wait and
   tells when their turn comes, scheduler_budget.c bounds repeated attempts,
   scheduler_trouble.c tells whether many requests are not served, scheduler.c
   takes asks and outcomes.  */

#ifndef AB_SCHEDULER_IMPL_H
#define AB_SCHEDULER_IMPL_H

#include <uthash.h>

#include "scheduler.h"

#define AB_SCHED_PATHS_MAX 8
#define AB_SCHED_BUCKETS 32
/* Ranks of priority whose arrivals are counted apart.  */
#define AB_SCHED_RANKS 4
/* Slices of the time over which trouble is judged, and their length.  */
#define AB_SCHED_SLICES 8
#define AB_SCHED_SLICE_MS 250
/* Of the time that is left, kept for the way to the caller.  */
#define AB_SCHED_REPLY_MARGIN_MS 30

struct ab_sched_service;

/* A host that could not reach a target lately.  */
struct ab_sched_path
{
  uint64_t host;
  uint64_t until_ms;
};

struct ab_sched_target
{
  struct ab_fleet_target known;
  struct ab_target_health health;
  struct ab_sched_service *service;
  struct ab_sched_target *prev; /* Among the service's.  */
  struct ab_sched_target *next;
  uint64_t in_flight;
  uint64_t trials; /* Of them, while not proven.  */
  uint64_t joined_ms;
  uint64_t cold_until_ms;
  uint64_t done_ms;    /* When a request ended last.  */
  uint64_t granted_ms; /* When one was granted last.  */
  bool used;           /* Got a request.  */
  struct ab_sched_path paths[AB_SCHED_PATHS_MAX];
  UT_hash_handle hh;
};

struct ab_sched_request
{
  struct ab_sched_ask ask;
  struct ab_sched_request *prev; /* Among the service's.  */
  struct ab_sched_request *next;
  struct ab_sched_service *service;
  struct ab_sched_target *target; /* Null while it waits.  */
  uint64_t asked_ms;
  uint64_t granted_ms;
  bool trial;
  bool outlasted;   /* Counted as evidence that its target works.  */
  bool late;        /* Counted as evidence that it does not.  */
  bool in_time;     /* As of the last look at the queue.  */
  uint64_t left_ms; /* Of the objective, or of all its time.  */
  UT_hash_handle hh;
};

struct ab_sched_bucket
{
  uint64_t second;
  uint64_t first;
  uint64_t repeats;
};

/* How requests ended lately.  */
struct ab_sched_slice
{
  uint64_t number; /* Of the slice of time.  */
  unsigned ended;
  unsigned failed; /* Of them, not served.  */
};

struct ab_sched_trouble
{
  struct ab_sched_slice slices[AB_SCHED_SLICES];
};

/* The targets of a service in one area, and the requests for them.  */
struct ab_sched_service
{
  char key[2 * AB_NAME_BYTES]; /* Name, line feed, area.  */
  struct ab_sched_target *targets;
  struct ab_sched_request *waiting;
  size_t waiting_count;
  struct ab_sched_request *granted;
  double latency_ms;
  struct ab_sched_trouble trouble;
  double rates[AB_SCHED_RANKS]; /* Arrivals a millisecond.  */
  uint64_t rates_ms;            /* When they were updated.  */
  struct ab_sched_bucket buckets[AB_SCHED_BUCKETS];
  UT_hash_handle hh;
};

struct ab_scheduler
{
  struct ab_scheduler_config config;
  const struct ab_scheduler_ops *ops;
  void *ctx;
  struct ab_sched_service *services;
  struct ab_sched_target *targets;
  struct ab_sched_request *requests;
};

/* Services.  */

struct ab_sched_service *ab_sched_get_service (struct ab_scheduler *scheduler,
                                               const char *name,
                                               const char *area);
/* The usual time of a response, in milliseconds.  */
double ab_sched_usual_ms (const struct ab_sched_service *service);

/* Targets.  */

void ab_sched_forget_target (struct ab_scheduler *scheduler,
                             struct ab_sched_target *target);
/* Slots that are of use now: a cold target works at half its speed.  */
uint64_t ab_sched_slots (const struct ab_sched_target *target,
                         uint64_t now_ms);
bool ab_sched_path_broken (const struct ab_sched_target *target, uint64_t host,
                           uint64_t now_ms);
/* Remembers that HOST could not reach TARGET; returns how many hosts could not
   lately.  */
size_t ab_sched_note_broken_path (struct ab_sched_target *target,
                                  uint64_t host, uint64_t now_ms);

/* Trouble.  */

void ab_sched_trouble_note (struct ab_sched_trouble *trouble, bool failed,
                            uint64_t now_ms);
/* Whether so many requests are not served that trust in few targets must not
   leave most of a service idle.  */
bool ab_sched_in_trouble (const struct ab_sched_trouble *trouble,
                          uint64_t now_ms);

/* Choice.  */

/* The targets of a service at a moment, by how far they are trusted.  */
struct ab_sched_summary
{
  size_t ready;
  size_t trusted;     /* Proven or new, free or not.  */
  size_t trials;      /* Not proven, with a request under way.  */
  size_t proven_free; /* With a free slot.  */
  size_t new_free;
  size_t trial_free;
};

/* Targets with a free slot that are not out.  */
static inline size_t
ab_sched_free_targets (const struct ab_sched_summary *summary)
{
  return summary->proven_free + summary->new_free + summary->trial_free;
}

void ab_sched_summarise (const struct ab_sched_service *service,
                         uint64_t now_ms, struct ab_sched_summary *summary);
/* Whether any target may be free for an ask that has waited for WAITED_MS;
   cheaper than a choice.  */
bool ab_sched_may_choose (const struct ab_sched_service *service,
                          const struct ab_sched_summary *summary,
                          const struct ab_sched_ask *ask, uint64_t waited_ms,
                          uint64_t now_ms);
/* The best target with a free slot for an ask that has waited for WAITED_MS,
   or null; in the asker's failure domain only if NEAR.  */
struct ab_sched_target *
ab_sched_choose_target (const struct ab_sched_service *service,
                        const struct ab_sched_summary *summary,
                        const struct ab_sched_ask *ask, uint64_t waited_ms,
                        bool near, uint64_t now_ms);
/* Slots of targets that are not out, each by the probability that its target
   is healthy.  */
double ab_sched_usable_slots (const struct ab_sched_service *service,
                              uint64_t now_ms);
/* Whether a busy target near the asker is worth waiting for.  */
bool ab_sched_near_is_busy (const struct ab_sched_service *service,
                            const struct ab_sched_ask *ask, uint64_t now_ms);

/* Waiting.  */

/* What is left of TIME_MS, which REQUEST had when it was asked.  */
uint64_t ab_sched_left (uint64_t time_ms,
                        const struct ab_sched_request *request,
                        uint64_t now_ms);
/* Whether there is not time enough for a response.  */
bool ab_sched_too_late (const struct ab_sched_request *request,
                        uint64_t now_ms);
/* The waiting requests in the order in which they are served; to be freed.  */
struct ab_sched_request **
ab_sched_list_waiting (const struct ab_sched_service *service,
                       uint64_t now_ms);
void ab_sched_count_arrival (struct ab_sched_service *service,
                             const struct ab_sched_ask *ask, uint64_t now_ms);
/* Milliseconds until it is the turn of a request with AHEAD others before it,
   given SLOTS: what arrives with a higher priority takes its part first.  */
double ab_sched_turn_ms (struct ab_sched_service *service,
                         const struct ab_sched_ask *ask, size_t ahead,
                         double slots, uint64_t now_ms);
/* How many waiting requests are served before REQUEST.  */
size_t ab_sched_ahead (const struct ab_sched_request *request,
                       uint64_t now_ms);

/* The budget.  */

size_t ab_sched_rank (const struct ab_sched_ask *ask);
void ab_sched_count_first (struct ab_sched_service *service, uint64_t now_ms);
/* Takes one repeated attempt; false when none is left.  */
bool ab_sched_take_repeat (const struct ab_scheduler *scheduler,
                           struct ab_sched_service *service,
                           const struct ab_sched_ask *ask, uint64_t now_ms);

#endif
