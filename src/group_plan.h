/* Which change a control group's leader makes next, so that the group heals
   without an operator.

   Every control host belongs to the group, at first as a learner, and votes
   once it holds the log.  All of them vote up to a bound, so that whichever
   side of a partition has more than half of the control hosts is the only one
   that can decide; with fewer voters a side with few hosts could hold most
   votes.  One change is made at a time.  No I/O.  */

#ifndef AB_GROUP_PLAN_H
#define AB_GROUP_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "raft.h"

/* A voter that has not answered for so long is replaced by a learner.  */
#define AB_GROUP_SILENT_MS 1200
/* A learner that answered within this time may be promoted.  */
#define AB_GROUP_RESPONSIVE_MS 600
/* A silent learner, or a replaced voter, leaves the group after this.  */
#define AB_GROUP_FORGET_MS 15000
/* Each commit waits for half of the voters; further hosts are learners that
   take a lost voter's place.  */
#define AB_GROUP_VOTERS_MAX 9
/* A host whose request to join is older has gone.  */
#define AB_GROUP_REQUEST_MS 3000

struct ab_group_member
{
  char host[AB_NAME_BYTES];
  char region[AB_NAME_BYTES]; /* Empty when not known.  */
  bool self;
  bool learner;
  bool caught_up;  /* Holds all that is committed.  */
  bool other_disk; /* Answers from a disk that the group does not know.  */
  uint64_t silent_ms;
};

/* A host that asks to belong to the group.  */
struct ab_group_request
{
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  uint64_t age_ms;
};

enum ab_group_change
{
  AB_GROUP_NONE,
  AB_GROUP_ADD, /* As a learner.  */
  AB_GROUP_PROMOTE,
  AB_GROUP_REMOVE
};

struct ab_group_step
{
  enum ab_group_change change;
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES]; /* Of a host to add.  */
  const char *reason;
};

/* How many members should vote: those that are not gone, at least LEAST.  */
size_t ab_group_voters_wanted (const struct ab_group_member *members,
                               size_t count, size_t least);

struct ab_group_step ab_group_plan (const struct ab_group_member *members,
                                    size_t member_count,
                                    const struct ab_group_request *requests,
                                    size_t request_count,
                                    size_t voters_wanted);

#endif
