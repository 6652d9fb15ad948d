/* Plans the next membership change of a control group, so that its leader
   repairs the group without an operator.

   Every control host belongs to the group, at first as a learner, and becomes
   a voter once it has caught up with the log.  All hosts vote, up to a bound,
   so that only the side of a partition with more than half of the control
   hosts can decide; with fewer voters, a side with few hosts could hold most
   votes.  One change is made at a time.  No I/O.

   The plan keeps this promise after each single change: when as many further
   disks are lost as the tolerance still leaves, the voters whose disks remain
   are a majority.  A lost host counts against the tolerance only until its
   successor has caught up; its vote must be gone by then.  So

   - a replaced disk is removed at once, as it cannot vote any more;
   - a silent voter is removed before a learner takes its place as long as
     enough voters for the tolerance remain, and after that otherwise;
   - without a learner, a silent voter is removed when the group could not lose
     all silent voters and as many others as are tolerated.  Its successor may
     have come first.

   A silent voter may also be cut off or frozen, with its disk intact.  It is
   never removed below the number of voters that the tolerance needs, so that
   disks of others may be lost while it is away.  When it is back it asks to
   join and becomes a learner, then a voter.  */

#ifndef AB_GROUP_PLAN_H
#define AB_GROUP_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "raft.h"

/* A voter that has not replied for this long may be removed.  */
#define AB_GROUP_VOTER_TIMEOUT_MS 1200
/* A learner that replied within this time may be promoted.  No voter is
   removed for its silence unless a majority replied within this time: a leader
   that was suspended itself has heard nobody for long.  */
#define AB_GROUP_RESPONSIVE_MS 600
/* After this long without a reply, a learner is removed and a voter is no
   longer counted by ab_group_voters_wanted.  */
#define AB_GROUP_REMOVAL_TIMEOUT_MS 15000
/* Bound on the voters, because each commit waits for half of them; further
   hosts are learners that can replace a lost voter.  */
#define AB_GROUP_VOTERS_MAX 9
/* A join request is ignored when it is older than this: its host is not
   running any more.  */
#define AB_GROUP_REQUEST_TTL_MS 3000

struct ab_group_member
{
  char host[AB_NAME_BYTES];
  char region[AB_NAME_BYTES]; /* Empty when the region is not known.  */
  bool self;
  bool learner;
  bool caught_up;     /* Has stored all committed entries.  */
  bool disk_mismatch; /* Replies from another disk than the recorded one.  */
  /* Time since the last reply.  */
  uint64_t unresponsive_ms;
};

/* A host's request to join the group.  */
struct ab_group_request
{
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  /* Time since the request arrived.  */
  uint64_t age_ms;
};

enum ab_group_change
{
  AB_GROUP_NONE,
  AB_GROUP_ADD, /* Add a host as a learner.  */
  AB_GROUP_PROMOTE,
  AB_GROUP_REMOVE
};

struct ab_group_step
{
  enum ab_group_change change;
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES]; /* Disk id of the host to add.  */
  const char *reason;
};

/* Returns how many members should vote: the members that have replied within
   AB_GROUP_REMOVAL_TIMEOUT_MS, at most AB_GROUP_VOTERS_MAX and at least
   VOTERS_MIN.  */
size_t ab_group_voters_wanted (const struct ab_group_member *members,
                               size_t count, size_t voters_min);

/* Returns the number of voters that the group needs to lose
   TOLERATED_LOSSES of them and still have a majority.  */
size_t ab_group_voters_min (size_t tolerated_losses);

/* Returns the next change, or AB_GROUP_NONE, for a group of which
   TOLERATED_LOSSES hosts may be lost at a time.  The REQUESTS to join are
   considered last.  */
struct ab_group_step ab_group_plan (const struct ab_group_member *members,
                                    size_t member_count,
                                    const struct ab_group_request *requests,
                                    size_t request_count, size_t voters_wanted,
                                    size_t tolerated_losses);

#endif
