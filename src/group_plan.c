#include "group_plan.h"

#include <string.h>

static struct ab_group_step
make_step (enum ab_group_change change, const char *host, const char *reason)
{
  struct ab_group_step result = { .change = change, .reason = reason };

  ab_chunk_copy_bounded (ab_chunk_str (host), result.host, sizeof result.host);
  return result;
}

static bool
ready_to_vote (const struct ab_group_member *member)
{
  return member->learner && member->caught_up && !member->disk_mismatch
         && member->unresponsive_ms <= AB_GROUP_RESPONSIVE_MS;
}

static bool
is_lost (const struct ab_group_member *member)
{
  return !member->self
         && (member->disk_mismatch
             || member->unresponsive_ms > AB_GROUP_VOTER_TIMEOUT_MS);
}

/* Returns the number of voters in the region of MEMBER that are not lost.  */
static size_t
voters_in_region_of (const struct ab_group_member *members, size_t count,
                     const struct ab_group_member *member)
{
  size_t voters = 0;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && !is_lost (&members[i]) && members[i].region[0]
        && strcmp (members[i].region, member->region) == 0)
      voters++;
  return voters;
}

/* Returns the learner whose region has the fewest voters, so that the loss of
   a region costs few votes; null when none is ready.  */
static const struct ab_group_member *
learner_to_promote (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *best = NULL;

  for (size_t i = 0; i < count; i++)
    if (ready_to_vote (&members[i])
        && (!best
            || voters_in_region_of (members, count, &members[i])
                   < voters_in_region_of (members, count, best)))
      best = &members[i];
  return best;
}

/* Returns the lost voter to remove first: one whose disk was replaced, else
   the one that has been silent for the longest time; null when no voter is
   lost.  */
static const struct ab_group_member *
find_lost_voter (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *found = NULL;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && is_lost (&members[i])
        && (!found || (members[i].disk_mismatch && !found->disk_mismatch)
            || (members[i].disk_mismatch == found->disk_mismatch
                && members[i].unresponsive_ms > found->unresponsive_ms)))
      found = &members[i];
  return found;
}

/* Returns the voter to remove when there are too many: one in the region with
   the most voters.  */
static const struct ab_group_member *
surplus_voter (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *found = NULL;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && !members[i].self
        && (!found
            || voters_in_region_of (members, count, &members[i])
                   > voters_in_region_of (members, count, found)))
      found = &members[i];
  return found;
}

size_t
ab_group_voters_wanted (const struct ab_group_member *members, size_t count,
                        size_t voters_min)
{
  size_t wanted = 0;

  for (size_t i = 0; i < count && wanted < AB_GROUP_VOTERS_MAX; i++)
    wanted += members[i].unresponsive_ms <= AB_GROUP_REMOVAL_TIMEOUT_MS;
  return wanted > voters_min ? wanted : voters_min;
}

size_t
ab_group_voters_min (size_t tolerated_losses)
{
  return 2 * tolerated_losses + 1;
}

struct voter_counts
{
  size_t all;
  size_t lost;
  size_t responsive;
};

static struct voter_counts
count_voters (const struct ab_group_member *members, size_t count)
{
  struct voter_counts result = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      if (members[i].learner)
        continue;
      result.all++;
      result.lost += is_lost (&members[i]);
      result.responsive
          += members[i].self
             || (!members[i].disk_mismatch
                 && members[i].unresponsive_ms <= AB_GROUP_RESPONSIVE_MS);
    }
  return result;
}

/* Whether LOST may be removed: its disk is gone, or its silence is conclusive
   and enough voters remain to lose TOLERATED_LOSSES more.  */
static bool
may_remove_lost (const struct ab_group_member *lost,
                 const struct voter_counts *voters, size_t tolerated_losses)
{
  return lost->disk_mismatch
         || (voters->all > ab_group_voters_min (tolerated_losses)
             && voters->responsive > voters->all / 2);
}

/* Whether the group keeps a majority when all silent voters are gone and
   TOLERATED_LOSSES others are lost.  */
static bool
tolerates_losses (const struct voter_counts *voters, size_t tolerated_losses)
{
  return voters->all > 2 * (voters->lost + tolerated_losses);
}

static struct ab_group_step
plan_voters (const struct ab_group_member *members, size_t count,
             size_t wanted, size_t tolerated_losses)
{
  const struct ab_group_member *lost = find_lost_voter (members, count);
  const struct ab_group_member *next = learner_to_promote (members, count);
  const struct voter_counts voters = count_voters (members, count);

  if (lost && may_remove_lost (lost, &voters, tolerated_losses))
    {
      /* The host of a replaced disk can only return as a learner.  */
      if (lost->disk_mismatch)
        return make_step (AB_GROUP_REMOVE, lost->host,
                          "its disk was replaced");
      if (next)
        return make_step (AB_GROUP_REMOVE, lost->host,
                          "a learner replaces it");
      if (voters.all > wanted)
        return make_step (AB_GROUP_REMOVE, lost->host,
                          "more voters than wanted");
      if (!tolerates_losses (&voters, tolerated_losses))
        return make_step (AB_GROUP_REMOVE, lost->host,
                          "its vote may be lost for good");
    }
  if (next && (voters.all < wanted || (lost && voters.all <= wanted)))
    return make_step (AB_GROUP_PROMOTE, next->host,
                      lost ? "a voter is lost" : "voters are missing");
  if (!lost && voters.all > wanted)
    {
      const struct ab_group_member *surplus = surplus_voter (members, count);
      if (surplus)
        return make_step (AB_GROUP_REMOVE, surplus->host,
                          "more voters than wanted");
    }
  return make_step (AB_GROUP_NONE, "", "");
}

static struct ab_group_step
plan_learners (const struct ab_group_member *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (members[i].learner && members[i].disk_mismatch)
      return make_step (AB_GROUP_REMOVE, members[i].host,
                        "its disk was replaced");
  for (size_t i = 0; i < count; i++)
    if (members[i].learner
        && members[i].unresponsive_ms > AB_GROUP_REMOVAL_TIMEOUT_MS)
      return make_step (AB_GROUP_REMOVE, members[i].host,
                        "it is unresponsive");
  return make_step (AB_GROUP_NONE, "", "");
}

static bool
is_member (const struct ab_group_member *members, size_t count,
           const char *host)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, host) == 0)
      return true;
  return false;
}

struct ab_group_step
ab_group_plan (const struct ab_group_member *members, size_t member_count,
               const struct ab_group_request *requests, size_t request_count,
               size_t voters_wanted, size_t tolerated_losses)
{
  struct ab_group_step result
      = plan_voters (members, member_count, voters_wanted, tolerated_losses);

  if (result.change == AB_GROUP_NONE)
    result = plan_learners (members, member_count);
  for (size_t i = 0; i < request_count && result.change == AB_GROUP_NONE; i++)
    {
      const struct ab_group_request *request = &requests[i];
      if (request->age_ms > AB_GROUP_REQUEST_TTL_MS
          || is_member (members, member_count, request->host))
        continue;
      result = make_step (AB_GROUP_ADD, request->host, "it asked to join");
      memcpy (result.disk_id, request->disk_id, AB_DISK_ID_BYTES);
    }
  return result;
}
