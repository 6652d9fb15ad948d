/* Declarations shared by the source files of the rate limits of teams at a
   control host.

   fleet_teams_task.c serves gateways and asks the leader,
   fleet_team_leader_task.c is the leader's part.  */

#ifndef AB_FLEET_TEAMS_INTERNAL_H
#define AB_FLEET_TEAMS_INTERNAL_H

#include "fleet_control_internal.h"
#include "team_frame.h"

struct pool;
struct held_ask;

struct ab_fleet_teams
{
  struct ab_fleet_control *control;
  struct ab_team_limits *limits;
  struct event *timer;
  struct event *wait_timer; /* Ends the wait for the pool.  */
  struct pool *pools;
  size_t waiting_count;
  uint64_t life;
  uint64_t next_number;
  uint64_t table_index;
  size_t hosts;
  uint64_t used_ms;
  /* As a control host.  */
  uint64_t reported_ms;
  uint64_t first_number;          /* Of the last report's messages.  */
  struct ab_team_contact pending; /* Awaits that the log is applied.  */
  uint64_t pending_as_of_ms;
  /* As the leader.  */
  struct held_ask *held; /* Wait for the read that is under way.  */
  size_t held_count;
  uint64_t read_token; /* Zero while no read is under way.  */
  uint64_t read_term;
  uint64_t read_ms;
  uint64_t confirmed_index;
  bool serves;
};

/* Makes the decisions follow the group: its members, its leader, the bundle.
   To be called before each decision.  */
void ab_fleet_teams_follow_group (struct ab_fleet_teams *teams, uint64_t now);
uint64_t *ab_fleet_teams_counter (const struct ab_fleet_teams *teams,
                                  const char *name);

/* fleet_team_leader_task.c */
void ab_fleet_team_leader_start (struct ab_fleet_teams *teams);
void ab_fleet_team_leader_free (struct ab_fleet_teams *teams);
/* Starts a read that confirms this host as the leader, when one is due.  */
void ab_fleet_team_leader_confirm (struct ab_fleet_teams *teams, uint64_t now);

#endif
