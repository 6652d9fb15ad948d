#include <stdio.h>
#include <string.h>

#include "raft_fake_lib.h"
#include "raft_internal.h"

bool
fake_repair_members (struct fake_group *group)
{
  int leader = fake_leader (group);
  struct ab_raft *raft;

  if (leader < 0)
    return false;
  raft = group->members[leader].raft;
  if (raft->members.index > raft->commit)
    return false;
  for (int i = 0; i < group->count; i++)
    {
      struct fake_member *member = &group->members[i];
      struct ab_raft_member *known
          = ab_raft_find_member (&raft->members, member->host);
      struct ab_raft_member added = { .learner = true };
      if (i == leader || !member->raft)
        continue;
      if (!known)
        {
          snprintf (added.host, sizeof added.host, "%s", member->host);
          ab_raft_add_learner (raft, group->now_ms, &added);
          return false;
        }
      if (ab_raft_disk_known (known->disk_id)
          && memcmp (known->disk_id, member->disk_id, AB_DISK_ID_BYTES) != 0)
        {
          ab_raft_remove (raft, group->now_ms, member->host);
          return false;
        }
      if (known->learner)
        {
          ab_raft_promote (raft, group->now_ms, member->host);
          return false;
        }
    }
  return true;
}

static bool
all_applied (const struct fake_group *group, uint64_t index)
{
  for (int i = 0; i < group->count; i++)
    if (group->members[i].raft && fake_applied (group, i) < index)
      return false;
  return true;
}

bool
fake_run_until_converged (struct fake_group *group, uint64_t max_ms)
{
  uint64_t end = group->now_ms + max_ms;
  uint64_t target = 0;

  while (group->now_ms < end && group->problem[0] == '\0')
    {
      int leader = fake_leader (group);
      if (leader >= 0 && target == 0 && fake_repair_members (group)
          && fake_propose (group, leader, 0) == 0)
        target = ab_raft_log_last_index (&group->members[leader].raft->log);
      fake_step (group);
      if (target > 0 && group->committed_count >= target
          && all_applied (group, target))
        return true;
      if (target > 0 && leader != fake_leader (group))
        target = 0;
    }
  return false;
}

static bool
all_up (const struct fake_group *group)
{
  for (int i = 0; i < group->count; i++)
    if (!group->members[i].raft)
      return false;
  return true;
}

/* Starts or ends a random fault.  */
static void
random_fault (struct fake_group *group)
{
  int i = (int)ab_rng_below (&group->rng, (uint64_t)group->count);
  int j = (int)ab_rng_below (&group->rng, (uint64_t)group->count);
  struct fake_member *member = &group->members[i];
  int leader = fake_leader (group);

  switch (ab_rng_below (&group->rng, 12))
    {
    case 0:
    case 1:
      fake_cut (group, i, j, true);
      break;
    case 2:
      fake_isolate (group, i, true);
      break;
    case 3:
    case 4:
      fake_heal (group);
      break;
    case 5:
      fake_crash (group, i);
      break;
    case 6:
      member->disk->crash_at
          = member->disk->changes + 1 + ab_rng_below (&group->rng, 40);
      break;
    case 7:
      member->disk->fail_sync_at
          = member->disk->changes + 1 + ab_rng_below (&group->rng, 40);
      break;
    case 8:
      member->frozen_until_ms
          = group->now_ms + ab_rng_below (&group->rng, 3000);
      break;
    case 9:
      member->disk->full_at
          = member->disk->bytes + 1 + ab_rng_below (&group->rng, 2000);
      break;
    case 10:
      group->drop_percent = (unsigned)ab_rng_below (&group->rng, 20);
      group->duplicate_percent = (unsigned)ab_rng_below (&group->rng, 20);
      break;
    default:
      /* Only while all members are up and no repair is pending: the loss of
         two disks may lose data.  */
      if (leader >= 0 && leader != i && all_up (group)
          && fake_repair_members (group))
        {
          fake_crash (group, i);
          fake_empty_disk (group, i);
        }
    }
  if (!member->raft && !member->restart_at_ms)
    member->restart_at_ms
        = group->now_ms + 1 + ab_rng_below (&group->rng, 3000);
}

static void
random_inputs (struct fake_group *group)
{
  for (int i = 0; i < group->count; i++)
    {
      const struct ab_raft *raft = group->members[i].raft;
      if (!fake_is_running (group, i) || raft->role != AB_RAFT_LEADER)
        continue;
      for (uint64_t n = ab_rng_below (&group->rng, 3); n > 0; n--)
        fake_propose (group, i, 0);
      if (ab_rng_below (&group->rng, 4) == 0)
        fake_read (group, i);
    }
}

static void
end_faults (struct fake_group *group)
{
  fake_heal (group);
  group->drop_percent = 0;
  group->duplicate_percent = 0;
  for (int i = 0; i < group->count; i++)
    {
      struct fake_member *member = &group->members[i];
      member->frozen_until_ms = 0;
      member->disk->full_at = 0;
      member->disk->crash_at = 0;
      member->disk->fail_sync_at = 0;
      if (!member->raft)
        fake_start (group, i);
    }
}

const char *
fake_random_run (uint64_t seed, uint64_t steps, uint64_t *step, char text[256])
{
  struct fake_group *group = fake_group_new (seed % 3 == 2 ? 5 : 3, seed);
  const char *found = NULL;

  group->delay_ms = 1 + (unsigned)ab_rng_below (&group->rng, 60);
  if (seed % 8 == 7)
    group->snapshot_padding_bytes = 400000;
  fake_run_until_leader (group, 10000);
  while (group->steps < steps && group->problem[0] == '\0')
    {
      random_inputs (group);
      if (ab_rng_below (&group->rng, 60) == 0)
        random_fault (group);
      if (ab_rng_below (&group->rng, 10) == 0)
        fake_repair_members (group);
      for (int i = 0; i < group->count; i++)
        if (group->members[i].disk->full_at > 0
            && ab_rng_below (&group->rng, 200) == 0)
          group->members[i].disk->full_at = 0;
      fake_step (group);
    }
  end_faults (group);
  if (group->problem[0] == '\0' && !fake_run_until_converged (group, 60000))
    fake_problem (group, "the group does not recover after the faults end");
  *step = group->steps;
  if (group->problem[0] != '\0')
    {
      memcpy (text, group->problem, sizeof group->problem);
      found = text;
    }
  fake_group_free (group);
  return found;
}
