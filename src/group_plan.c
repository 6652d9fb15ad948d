#include "group_plan.h"

#include <string.h>

static struct ab_group_step
step (enum ab_group_change change, const char *host, const char *reason)
{
  struct ab_group_step result = { .change = change, .reason = reason };

  ab_chunk_copy (ab_chunk_str (host), result.host, sizeof result.host);
  return result;
}

static bool
ready_to_vote (const struct ab_group_member *member)
{
  return member->learner && member->caught_up && !member->other_disk
         && member->silent_ms <= AB_GROUP_RESPONSIVE_MS;
}

static bool
lost (const struct ab_group_member *member)
{
  return !member->self
         && (member->other_disk || member->silent_ms > AB_GROUP_SILENT_MS);
}

/* Voters in the region of MEMBER that are not lost.  */
static size_t
voters_beside (const struct ab_group_member *members, size_t count,
               const struct ab_group_member *member)
{
  size_t voters = 0;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && !lost (&members[i]) && members[i].region[0]
        && strcmp (members[i].region, member->region) == 0)
      voters++;
  return voters;
}

/* The learner whose region has the fewest voters, so that the loss of a region
   costs few votes.  */
static const struct ab_group_member *
best_learner (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *best = NULL;

  for (size_t i = 0; i < count; i++)
    if (ready_to_vote (&members[i])
        && (!best
            || voters_beside (members, count, &members[i])
                   < voters_beside (members, count, best)))
      best = &members[i];
  return best;
}

static const struct ab_group_member *
lost_voter (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *found = NULL;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && lost (&members[i])
        && (!found || members[i].other_disk))
      found = &members[i];
  return found;
}

/* A voter to spare: one whose region has the most others.  */
static const struct ab_group_member *
spare_voter (const struct ab_group_member *members, size_t count)
{
  const struct ab_group_member *found = NULL;

  for (size_t i = 0; i < count; i++)
    if (!members[i].learner && !members[i].self
        && (!found
            || voters_beside (members, count, &members[i])
                   > voters_beside (members, count, found)))
      found = &members[i];
  return found;
}

size_t
ab_group_voters_wanted (const struct ab_group_member *members, size_t count,
                        size_t least)
{
  size_t wanted = 0;

  for (size_t i = 0; i < count && wanted < AB_GROUP_VOTERS_MAX; i++)
    wanted += members[i].silent_ms <= AB_GROUP_FORGET_MS;
  return wanted > least ? wanted : least;
}

static struct ab_group_step
plan_voters (const struct ab_group_member *members, size_t count,
             size_t wanted)
{
  const struct ab_group_member *gone = lost_voter (members, count);
  const struct ab_group_member *next = best_learner (members, count);
  size_t voters = 0;

  for (size_t i = 0; i < count; i++)
    voters += !members[i].learner;
  if (next && (voters < wanted || (gone && voters <= wanted)))
    return step (AB_GROUP_PROMOTE, next->host,
                 gone ? "a voter is lost" : "voters are missing");
  if (voters > wanted)
    {
      if (!gone)
        gone = spare_voter (members, count);
      if (gone)
        return step (AB_GROUP_REMOVE, gone->host, "more voters than wanted");
    }
  /* Its old disk is lost for good: it can only come back as a learner.  */
  if (gone && gone->other_disk)
    return step (AB_GROUP_REMOVE, gone->host, "its disk was replaced");
  return step (AB_GROUP_NONE, "", "");
}

static struct ab_group_step
plan_learners (const struct ab_group_member *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (members[i].learner && members[i].other_disk)
      return step (AB_GROUP_REMOVE, members[i].host, "its disk was replaced");
  for (size_t i = 0; i < count; i++)
    if (members[i].learner && members[i].silent_ms > AB_GROUP_FORGET_MS)
      return step (AB_GROUP_REMOVE, members[i].host, "it has been silent");
  return step (AB_GROUP_NONE, "", "");
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
               size_t voters_wanted)
{
  struct ab_group_step result
      = plan_voters (members, member_count, voters_wanted);

  if (result.change == AB_GROUP_NONE)
    result = plan_learners (members, member_count);
  for (size_t i = 0; i < request_count && result.change == AB_GROUP_NONE; i++)
    {
      const struct ab_group_request *request = &requests[i];
      if (request->age_ms > AB_GROUP_REQUEST_MS
          || is_member (members, member_count, request->host))
        continue;
      result = step (AB_GROUP_ADD, request->host, "it asked to join");
      memcpy (result.disk_id, request->disk_id, AB_DISK_ID_BYTES);
    }
  return result;
}
