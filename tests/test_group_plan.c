/* Tests of the planned membership changes of a control group.  */

#include "group_plan.h"
#include "suite_lib.h"

static struct ab_group_member
member (const char *host, const char *region, bool learner)
{
  struct ab_group_member m = { .learner = learner, .caught_up = true };

  ab_chunk_copy_bounded (ab_chunk_str (host), m.host, sizeof m.host);
  ab_chunk_copy_bounded (ab_chunk_str (region), m.region, sizeof m.region);
  return m;
}

/* Sets MEMBERS to COUNT members called "a", "b" and so on, of which the first
   is the leader and the first VOTERS vote.  */
static void
letter_members (struct ab_group_member *members, int count, int voters)
{
  for (int i = 0; i < count; i++)
    {
      const char name[] = { (char)('a' + i), '\0' };
      members[i] = member (name, "1", i >= voters);
    }
  members[0].self = true;
}

static struct ab_group_request
request (const char *host, uint64_t age_ms)
{
  struct ab_group_request r = { .age_ms = age_ms, .disk_id = { 1 } };

  ab_chunk_copy_bounded (ab_chunk_str (host), r.host, sizeof r.host);
  return r;
}

static void
assert_step (const struct ab_group_step *step, enum ab_group_change change,
             const char *host)
{
  ck_assert_int_eq (step->change, change);
  ck_assert_str_eq (step->host, host);
}

#define TOLERATED 1

#define PLAN(members, requests, wanted)                                       \
  ab_group_plan (members, sizeof (members) / sizeof *(members), requests,     \
                 sizeof (requests) / sizeof *(requests), wanted, TOLERATED)

/* Guards against having no learner that can replace a lost voter.  */
START_TEST (adds_requesting_hosts)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false) };
  struct ab_group_request requests[]
      = { request ("b", 0), request ("old", AB_GROUP_REQUEST_TTL_MS + 1),
          request ("d", 10) };
  struct ab_group_step step;

  members[0].self = true;
  step = PLAN (members, requests, 3);
  assert_step (&step, AB_GROUP_ADD, "d");
  ck_assert_uint_eq (step.disk_id[0], 1);
}
END_TEST

/* Guards against a removal that leaves the group with fewer voters, and
   against a replacement in the region that already has the most voters.  */
START_TEST (replaces_unresponsive_voter)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false), member ("d", "1", true),
          member ("e", "3", true) };
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  members[0].self = true;
  members[2].unresponsive_ms = AB_GROUP_VOTER_TIMEOUT_MS + 1;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_PROMOTE, "e");
  members[4].learner = false;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_REMOVE, "c");
}
END_TEST

/* Guards against votes from a disk that lost entries it had acknowledged.  */
START_TEST (removes_an_emptied_disk)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false) };
  struct ab_group_request requests[] = { request ("c", 0) };
  struct ab_group_step step;

  members[0].self = true;
  members[2].disk_mismatch = true;
  step = PLAN (members, requests, 3);
  assert_step (&step, AB_GROUP_REMOVE, "c");
  step = ab_group_plan (members, 2, requests, 1, 3, TOLERATED);
  assert_step (&step, AB_GROUP_ADD, "c");
}
END_TEST

/* Guards against promoting a learner that lags or is unresponsive: the group
   could not commit when another voter is lost.  */
START_TEST (promotes_only_ready_learners)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", true), member ("d", "3", true),
          member ("e", "3", true) };
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  members[0].self = true;
  members[2].caught_up = false;
  members[3].unresponsive_ms = AB_GROUP_RESPONSIVE_MS + 1;
  members[4].disk_mismatch = true;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_REMOVE, "e");
  step = ab_group_plan (members, 4, none, 1, 3, TOLERATED);
  assert_step (&step, AB_GROUP_NONE, "");
  members[2].caught_up = true;
  step = ab_group_plan (members, 4, none, 1, 3, TOLERATED);
  assert_step (&step, AB_GROUP_PROMOTE, "c");
}
END_TEST

/* Guards against sending the log forever to members that are permanently lost,
   and against changes while nothing is wrong.  */
START_TEST (removes_unresponsive_learners)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false), member ("d", "1", true) };
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  members[0].self = true;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_NONE, "");
  members[3].unresponsive_ms = AB_GROUP_REMOVAL_TIMEOUT_MS + 1;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_REMOVE, "d");
}
END_TEST

/* Guards against a minority of the control hosts that holds most votes: with
   nine hosts split four to five, only the five may continue.  */
START_TEST (all_hosts_vote)
{
  struct ab_group_member members[9];
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;
  size_t promoted = 3;

  letter_members (members, 9, 3);
  for (;;)
    {
      size_t wanted = ab_group_voters_wanted (members, 9, 5);
      ck_assert_uint_eq (wanted, 9);
      step = PLAN (members, none, wanted);
      if (step.change == AB_GROUP_NONE)
        break;
      ck_assert_int_eq (step.change, AB_GROUP_PROMOTE);
      members[step.host[0] - 'a'].learner = false;
      promoted++;
    }
  ck_assert_uint_eq (promoted, 9);
  /* A permanently lost member no longer counts.  */
  members[4].unresponsive_ms = AB_GROUP_REMOVAL_TIMEOUT_MS + 1;
  step = PLAN (members, none, ab_group_voters_wanted (members, 9, 5));
  assert_step (&step, AB_GROUP_REMOVE, "e");
}
END_TEST

/* Guards against removing voters because the leader itself was suspended and
   has heard nobody since.  */
START_TEST (suspended_leader_removes_nobody)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false), member ("d", "1", false) };
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  members[0].self = true;
  for (int i = 1; i < 4; i++)
    members[i].unresponsive_ms = 10 * AB_GROUP_VOTER_TIMEOUT_MS;
  step = PLAN (members, none, 4);
  assert_step (&step, AB_GROUP_NONE, "");
  members[1].unresponsive_ms = 0;
  members[2].unresponsive_ms = 0;
  step = PLAN (members, none, 4);
  assert_step (&step, AB_GROUP_REMOVE, "d");
}
END_TEST

/* Guards against a group that shrinks, because hosts are cut off for a short
   time, further than the tolerated losses need.  */
START_TEST (cut_removes_few)
{
  struct ab_group_member members[6];
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  letter_members (members, 6, 6);
  members[5].unresponsive_ms = AB_GROUP_VOTER_TIMEOUT_MS + 1;
  step = ab_group_plan (members, 6, none, 1, 6, 1);
  assert_step (&step, AB_GROUP_NONE, "");
  step = ab_group_plan (members, 6, none, 1, 6, 2);
  assert_step (&step, AB_GROUP_REMOVE, "f");
  members[4].unresponsive_ms = AB_GROUP_VOTER_TIMEOUT_MS + 1;
  step = ab_group_plan (members, 5, none, 1, 6, 2);
  assert_step (&step, AB_GROUP_NONE, "");
}
END_TEST

/* Guards against a replaced voter that stays because its successor is lost
   too: a replaced disk never votes again, so nothing is gained by waiting.  */
START_TEST (replaced_disk_goes_first)
{
  struct ab_group_member members[]
      = { member ("a", "1", false), member ("b", "2", false),
          member ("c", "3", false), member ("d", "1", true) };
  struct ab_group_request none[1] = { request ("a", 0) };
  struct ab_group_step step;

  members[0].self = true;
  members[1].unresponsive_ms = AB_GROUP_VOTER_TIMEOUT_MS + 1;
  members[2].disk_mismatch = true;
  step = PLAN (members, none, 3);
  assert_step (&step, AB_GROUP_REMOVE, "c");
}
END_TEST

SUITE_MAIN ("group_plan", 10, all_hosts_vote, adds_requesting_hosts,
            replaces_unresponsive_voter, removes_an_emptied_disk,
            promotes_only_ready_learners, removes_unresponsive_learners,
            suspended_leader_removes_nobody, cut_removes_few,
            replaced_disk_goes_first)
