/* Control hosts that divide the limit of one team, on fake clocks, with
   messages that are delayed, held up and lost, and an oracle in place of the
   consensus group.  */

#ifndef TEAM_LIMIT_SIM_LIB_H
#define TEAM_LIMIT_SIM_LIB_H

#include "rng.h"
#include "team_limit.h"

#define HOSTS_MAX 9
#define WINDOW_MS 5000
#define STEP_MS 10
#define TEAM "ferries"

struct message;

struct host
{
  struct ab_team_limits *limits; /* Null while it does not run.  */
  struct sim *sim;
  bool member;
  uint64_t life;
  uint64_t start_ms; /* When a killed host starts again.  */
  uint64_t frozen_until_ms;
  uint64_t cut_until_ms;
  double clock_offset;
  double clock_rate;
  uint64_t clock_base_ms;
  int version; /* Index of the limit that it knows.  */
  uint64_t version_due_ms;
  size_t known_hosts;
  int follows; /* The host that it takes for the leader; -1: none.  */
  uint64_t follows_due_ms;
  bool believes_leader;
  uint64_t believed_term;
  uint64_t deposed_ms; /* When an earlier leader learns of it.  */
  uint64_t next_report_ms;
  uint64_t next_number;
};

struct grant
{
  uint64_t at_ms;
  bool sent;
};

struct limit_change
{
  uint64_t at_ms;
  struct ab_team_rate rate;
};

struct sim
{
  struct ab_rng rng;
  uint64_t now_ms;
  struct host hosts[HOSTS_MAX];
  int leader; /* The one that the group elected last.  */
  uint64_t term;
  struct limit_change changes[32];
  int change_count;
  struct message *messages;
  size_t message_count;
  size_t message_room;
  struct grant *grants;
  size_t grant_count;
  unsigned asked;
  unsigned refused;
  uint64_t delay_ms;
  uint64_t slack;
  double return_share;
  uint64_t fault_interval_ms;
  int hot;      /* The host that gets most requests.  */
  int last_hot; /* The one before, which still gets many.  */
  bool calm;
};

struct sim *sim_new (uint64_t seed, int members, struct ab_team_rate rate,
                     uint64_t slack);
void sim_free (struct sim *sim);
/* Advances the time by STEP_MS.  */
void sim_step (struct sim *sim);
/* Causes a fault now and then; MEMBER_MS is the time of the last change of a
   member.  */
void sim_disturb (struct sim *sim, uint64_t *member_ms);
/* One request at the host INDEX, which asks the leader that it believes in. */
void sim_request (struct sim *sim, int index);
/* Fails the test if more was sent in any window than the limits allow.  */
void sim_check_windows (const struct sim *sim, uint64_t seed);
uint64_t sim_below (struct sim *sim, uint64_t bound);
uint64_t sim_clock (const struct host *host);

#endif
