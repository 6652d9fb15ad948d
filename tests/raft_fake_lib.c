#include "raft_fake_lib.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "raft_internal.h"

#define LOG_CHECK_ENTRIES 64

/* Keeps the first problem only.  */
#define problem(group, ...)                                                   \
  do                                                                          \
    {                                                                         \
      if ((group)->problem[0] == '\0')                                        \
        snprintf ((group)->problem, sizeof (group)->problem, __VA_ARGS__);    \
    }                                                                         \
  while (0)

static void *
grown (void *items, size_t *cap, size_t need, size_t size)
{
  size_t old = *cap;

  if (need <= old)
    return items;
  *cap = need * 2;
  items = realloc (items, *cap * size);
  if (!items)
    abort ();
  memset ((char *)items + old * size, 0, (*cap - old) * size);
  return items;
}

static struct fake_member *
member_of (struct ab_raft_io *io)
{
  return (struct fake_member *)io;
}

static int
number_of (const char *host)
{
  return host[1] - '0';
}

static void
add_packet (struct fake_group *group, int from, int to,
            struct ab_chunk message)
{
  struct fake_packet *packet;

  group->packets = grown (group->packets, &group->packet_cap,
                          group->packet_count + 1, sizeof *group->packets);
  packet = &group->packets[group->packet_count++];
  memset (packet, 0, sizeof *packet);
  packet->at_ms
      = group->now_ms + 1 + ab_rng_below (&group->rng, group->delay_ms);
  packet->from = from;
  packet->to = to;
  ab_buf_append_chunk (&packet->data, message);
}

static void
io_send (struct ab_raft_io *io, const char *to, struct ab_chunk message)
{
  struct fake_member *member = member_of (io);
  struct fake_group *group = member->group;
  int from = number_of (member->host);
  unsigned copies = 1;

  if (message.len > 1024 * 1024)
    problem (group, "a message of %zu bytes does not fit a frame",
             message.len);
  if (ab_rng_below (&group->rng, 100) < group->drop_percent)
    copies = 0;
  else if (ab_rng_below (&group->rng, 100) < group->duplicate_percent)
    copies = 2;
  for (; copies > 0; copies--)
    add_packet (group, from, number_of (to), message);
}

static int
io_save_vote (struct ab_raft_io *io, const struct ab_raft_hard_state *state)
{
  return ab_storage_save_vote (member_of (io)->storage, state);
}

static int
io_append (struct ab_raft_io *io, const struct ab_raft_entry *entries,
           size_t count)
{
  return ab_storage_append (member_of (io)->storage, entries, count);
}

static int
io_truncate (struct ab_raft_io *io, uint64_t first_index)
{
  return ab_storage_truncate (member_of (io)->storage, first_index);
}

static int
io_sync (struct ab_raft_io *io)
{
  member_of (io)->syncs++;
  return ab_storage_sync (member_of (io)->storage);
}

/* Checks the state at INDEX against the first that applied it.  */
static void
check_state (struct fake_member *member, uint64_t index, uint64_t term)
{
  struct fake_group *group = member->group;
  struct fake_committed *c;

  group->committed = grown (group->committed, &group->committed_cap,
                            (size_t)index + 1, sizeof *group->committed);
  c = &group->committed[index];
  if (index > group->committed_count)
    {
      if (index != group->committed_count + 1)
        problem (group, "%s applied %" PRIu64 " after %" PRIu64, member->host,
                 index, group->committed_count);
      group->committed_count = index;
      group->last_committed_ms = group->now_ms;
      c->term = term;
      c->chain = member->state.chain;
    }
  else if (c->term != term || c->chain != member->state.chain)
    problem (group, "%s applied another entry at %" PRIu64, member->host,
             index);
}

static uint64_t
mix (uint64_t chain, const void *data, size_t len)
{
  const uint8_t *bytes = data;

  for (size_t i = 0; i < len; i++)
    chain = (chain ^ bytes[i]) * 0x100000001b3ULL;
  return chain;
}

static void
io_apply (struct ab_raft_io *io, const struct ab_raft_entry *entry)
{
  struct fake_member *member = member_of (io);
  uint64_t kind = entry->kind;

  if (entry->index != member->state.applied + 1)
    problem (member->group, "%s applied %" PRIu64 " after %" PRIu64,
             member->host, entry->index, member->state.applied);
  member->state.applied = entry->index;
  member->state.chain = mix (member->state.chain, &entry->term, 8);
  member->state.chain = mix (member->state.chain, &kind, 8);
  member->state.chain
      = mix (member->state.chain, entry->data.data, entry->data.len);
  member->state.commands += entry->kind == AB_RAFT_ENTRY_COMMAND;
  check_state (member, entry->index, entry->term);
}

static int
io_install_snapshot (struct ab_raft_io *io, uint64_t index, uint64_t term,
                     const struct ab_raft_member *members, size_t count,
                     struct ab_chunk data)
{
  struct fake_member *member = member_of (io);
  int rc = ab_storage_save_snapshot (member->storage, index, term, members,
                                     count, data);

  if (rc == 0)
    rc = ab_storage_reset_log (member->storage, index + 1);
  if (rc < 0)
    return rc;
  memcpy (&member->state, data.data, sizeof member->state);
  member->snapshot_index = index;
  if (member->state.applied != index)
    problem (member->group, "%s installed a wrong snapshot", member->host);
  check_state (member, index, term);
  return 0;
}

static int
io_load_snapshot (struct ab_raft_io *io, uint64_t *index, uint64_t *term,
                  struct ab_buf *data)
{
  return ab_storage_load_snapshot (member_of (io)->storage, index, term, data);
}

static void
io_read_ready (struct ab_raft_io *io, uint64_t request, int rc)
{
  struct fake_member *member = member_of (io);
  struct fake_group *group = member->group;

  if (rc < 0)
    {
      member->reads_failed++;
      return;
    }
  member->reads_done++;
  if (member->state.applied < group->reads[request].floor)
    problem (group, "a read at %s saw %" PRIu64 ", %" PRIu64 " was committed",
             member->host, member->state.applied, group->reads[request].floor);
}

static const struct ab_raft_io_ops io_ops = {
  .send = io_send,
  .save_vote = io_save_vote,
  .append = io_append,
  .truncate = io_truncate,
  .sync = io_sync,
  .install_snapshot = io_install_snapshot,
  .load_snapshot = io_load_snapshot,
  .apply = io_apply,
  .read_ready = io_read_ready,
};

void
fake_start (struct fake_group *group, int i)
{
  struct fake_member *member = &group->members[i];
  struct ab_storage_content content;
  struct ab_raft_config config = { .host = member->host,
                                   .heartbeat_ms = FAKE_HEARTBEAT_MS,
                                   .election_ms = FAKE_ELECTION_MS,
                                   .rng = &member->rng,
                                   .io = &member->io };
  char error[AB_CONF_ERROR_BYTES];
  int rc;

  if (member->raft)
    return;
  member->restart_at_ms = 0;
  rc = ab_storage_open_with (&member->disk->files, "d", group->first,
                             (size_t)group->count, &member->storage, &content,
                             error);
  if (rc < 0)
    {
      if (!member->disk->crashed && !member->disk->sync_failed
          && rc != AB_ERR_FULL)
        problem (group, "%s cannot open its disk: %.150s", member->host,
                 error);
      fake_disk_restart (member->disk, &group->rng);
      member->restart_at_ms = group->now_ms + 500;
      return;
    }
  memset (&member->state, 0, sizeof member->state);
  if (content.start.snapshot_index > 0)
    memcpy (&member->state, content.snapshot_data.data, sizeof member->state);
  memcpy (member->disk_id, content.disk_id, AB_DISK_ID_BYTES);
  memcpy (config.disk_id, content.disk_id, AB_DISK_ID_BYTES);
  member->snapshot_index = content.start.snapshot_index;
  if (ab_raft_new (&config, &content.start, group->now_ms, &member->raft) < 0)
    abort ();
  ab_storage_content_free (&content);
}

void
fake_crash (struct fake_group *group, int i)
{
  struct fake_member *member = &group->members[i];

  if (!member->raft)
    return;
  ab_raft_free (member->raft);
  member->raft = NULL;
  ab_storage_close (member->storage);
  member->storage = NULL;
  member->frozen_until_ms = 0;
  fake_disk_restart (member->disk, &group->rng);
}

void
fake_empty_disk (struct fake_group *group, int i)
{
  fake_disk_free (group->members[i].disk);
  group->members[i].disk = fake_disk_new ();
}

struct fake_group *
fake_group_new (int count, uint64_t seed)
{
  struct fake_group *group = calloc (1, sizeof *group);

  if (!group)
    abort ();
  ab_rng_init_seeded (&group->rng, seed);
  group->count = count;
  group->now_ms = 1000;
  group->delay_ms = 20;
  group->compact_at = 40;
  for (int i = 0; i < count; i++)
    {
      struct fake_member *member = &group->members[i];
      member->io.ops = &io_ops;
      member->group = group;
      snprintf (member->host, sizeof member->host, "m%d", i);
      snprintf (group->first[i].host, sizeof group->first[i].host, "m%d", i);
      ab_rng_init_seeded (&member->rng, seed * 31 + (uint64_t)i);
      member->disk = fake_disk_new ();
    }
  for (int i = 0; i < count; i++)
    fake_start (group, i);
  return group;
}

void
fake_group_free (struct fake_group *group)
{
  for (int i = 0; i < group->count; i++)
    {
      ab_raft_free (group->members[i].raft);
      ab_storage_close (group->members[i].storage);
      fake_disk_free (group->members[i].disk);
    }
  for (size_t i = 0; i < group->packet_count; i++)
    ab_buf_free (&group->packets[i].data);
  free (group->packets);
  free (group->committed);
  free (group->leader_of_term);
  free (group->reads);
  free (group);
}

static bool
runs (const struct fake_group *group, int i)
{
  const struct fake_member *member = &group->members[i];

  return member->raft && member->frozen_until_ms <= group->now_ms;
}

static void
check_leader (struct fake_group *group, int i)
{
  const struct ab_raft *raft = group->members[i].raft;
  uint64_t term = raft->hard.term;
  uint64_t last = group->committed_count;
  uint64_t found;

  if (raft->role != AB_RAFT_LEADER)
    return;
  group->leader_of_term
      = grown (group->leader_of_term, &group->term_cap, (size_t)term + 1,
               sizeof *group->leader_of_term);
  if (group->leader_of_term[term] != 0 && group->leader_of_term[term] != i + 1)
    problem (group, "m%d and m%d both led in term %" PRIu64, i,
             group->leader_of_term[term] - 1, term);
  group->leader_of_term[term] = i + 1;
  /* A leader of a later term than the last entry's holds all of it.  */
  if (last > 0 && term > group->committed[last].term
      && last > raft->log.base_index
      && (!ab_raft_log_term (&raft->log, last, &found)
          || found != group->committed[last].term))
    problem (group, "leader m%d lacks the committed entry %" PRIu64, i, last);
}

/* Two logs that agree on an entry's term agree on all before it.  */
static void
check_logs (struct fake_group *group, int i, int j)
{
  const struct ab_raft_log *a = &group->members[i].raft->log;
  const struct ab_raft_log *b = &group->members[j].raft->log;
  uint64_t index = ab_raft_log_last_index (a);
  bool agree = false;

  if (index > ab_raft_log_last_index (b))
    index = ab_raft_log_last_index (b);
  for (int n = 0; n < LOG_CHECK_ENTRIES; n++, index--)
    {
      const struct ab_raft_entry *x = ab_raft_log_get (a, index);
      const struct ab_raft_entry *y = ab_raft_log_get (b, index);
      if (!x || !y)
        return;
      if (x->term == y->term && ab_chunk_equal (x->data, y->data))
        agree = true;
      else if (agree || x->term == y->term)
        problem (group, "the logs of m%d and m%d differ at %" PRIu64, i, j,
                 index);
    }
}

static void
check_all (struct fake_group *group)
{
  for (int i = 0; i < group->count; i++)
    {
      if (!group->members[i].raft)
        continue;
      check_leader (group, i);
      for (int j = 0; j < i; j++)
        if (group->members[j].raft)
          check_logs (group, i, j);
    }
}

static void
deliver (struct fake_group *group)
{
  for (size_t i = 0; i < group->packet_count;)
    {
      struct fake_packet packet = group->packets[i];
      const struct fake_member *to = &group->members[packet.to];
      if (packet.at_ms > group->now_ms
          || (to->raft && !runs (group, packet.to)))
        {
          i++;
          continue;
        }
      group->packets[i] = group->packets[--group->packet_count];
      if (to->raft && !group->cut[packet.from][packet.to])
        ab_raft_receive (to->raft, group->now_ms,
                         group->members[packet.from].host,
                         ab_buf_chunk (&packet.data));
      ab_buf_free (&packet.data);
    }
}

static void
take_snapshot (struct fake_group *group, struct fake_member *member)
{
  struct ab_raft_point point;
  struct ab_buf data = AB_BUF_INIT;
  int rc;

  if (member->state.applied < member->snapshot_index + group->compact_at
      || ab_raft_applied_point (member->raft, &point) < 0)
    return;
  ab_buf_append (&data, &member->state, sizeof member->state);
  for (size_t i = 0; i < group->pad_bytes; i += 8)
    ab_buf_append (&data, &member->state.chain, 8);
  rc = ab_storage_save_snapshot (member->storage, point.index, point.term,
                                 point.members, point.member_count,
                                 ab_buf_chunk (&data));
  ab_buf_free (&data);
  if (rc < 0)
    return;
  member->snapshot_index = point.index;
  ab_raft_compacted (member->raft, point.index, point.term);
}

static void
run_member (struct fake_group *group, int i)
{
  struct fake_member *member = &group->members[i];

  if (!member->raft && member->restart_at_ms
      && member->restart_at_ms <= group->now_ms)
    fake_start (group, i);
  if (!runs (group, i))
    return;
  ab_raft_tick (member->raft, group->now_ms);
  if (ab_raft_flush (member->raft, group->now_ms) == 0)
    take_snapshot (group, member);
  if (member->raft->failed || member->disk->crashed)
    {
      fake_crash (group, i);
      member->restart_at_ms
          = group->now_ms + 1 + ab_rng_below (&group->rng, 2000);
    }
}

void
fake_step (struct fake_group *group)
{
  group->now_ms += 1 + ab_rng_below (&group->rng, 10);
  group->steps++;
  deliver (group);
  for (int i = 0; i < group->count; i++)
    run_member (group, i);
  check_all (group);
}

void
fake_run (struct fake_group *group, uint64_t ms)
{
  uint64_t end = group->now_ms + ms;

  while (group->now_ms < end && group->problem[0] == '\0')
    fake_step (group);
}

int
fake_leader (struct fake_group *group)
{
  int leader = -1;
  uint64_t term = 0;

  for (int i = 0; i < group->count; i++)
    {
      const struct ab_raft *raft = group->members[i].raft;
      if (raft && raft->role == AB_RAFT_LEADER && raft->hard.term > term)
        {
          leader = i;
          term = raft->hard.term;
        }
    }
  return leader;
}

int
fake_run_until_leader (struct fake_group *group, uint64_t max_ms)
{
  uint64_t end = group->now_ms + max_ms;

  while (group->now_ms < end && group->problem[0] == '\0')
    {
      int leader = fake_leader (group);
      fake_step (group);
      if (leader >= 0 && leader == fake_leader (group)
          && group->members[leader].raft->commit
                 >= group->members[leader].raft->term_start_index)
        return leader;
    }
  return -1;
}

void
fake_cut (struct fake_group *group, int from, int to, bool cut)
{
  group->cut[from][to] = cut;
}

void
fake_isolate (struct fake_group *group, int i, bool cut)
{
  for (int j = 0; j < group->count; j++)
    {
      group->cut[i][j] = cut;
      group->cut[j][i] = cut;
    }
}

void
fake_heal (struct fake_group *group)
{
  memset (group->cut, 0, sizeof group->cut);
}

int
fake_propose (struct fake_group *group, int i)
{
  char data[64];
  uint64_t index;
  int len
      = snprintf (data, sizeof data, "command %" PRIu64, ++group->proposals);
  int rc = ab_raft_propose (group->members[i].raft, group->now_ms,
                            ab_chunk (data, (size_t)len), &index);

  group->refused_full += rc == AB_ERR_FULL;
  return rc;
}

int
fake_read (struct fake_group *group, int i)
{
  group->reads = grown (group->reads, &group->read_cap, group->read_count + 1,
                        sizeof *group->reads);
  group->reads[group->read_count].floor = group->committed_count;
  return ab_raft_read (group->members[i].raft, group->now_ms,
                       group->read_count++);
}

uint64_t
fake_applied (const struct fake_group *group, int i)
{
  return group->members[i].state.applied;
}

bool
fake_repair (struct fake_group *group)
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
fake_settle (struct fake_group *group, uint64_t max_ms)
{
  uint64_t end = group->now_ms + max_ms;
  uint64_t target = 0;

  while (group->now_ms < end && group->problem[0] == '\0')
    {
      int leader = fake_leader (group);
      if (leader >= 0 && target == 0 && fake_repair (group)
          && fake_propose (group, leader) == 0)
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

/* One random fault, or the end of one.  */
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
      member->disk->room
          = member->disk->bytes + 1 + ab_rng_below (&group->rng, 2000);
      break;
    case 10:
      group->drop_percent = (unsigned)ab_rng_below (&group->rng, 20);
      group->duplicate_percent = (unsigned)ab_rng_below (&group->rng, 20);
      break;
    default:
      /* Only while every other member is whole: the loss of two disks may
         lose data.  */
      if (leader >= 0 && leader != i && all_up (group) && fake_repair (group))
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
      if (!runs (group, i) || raft->role != AB_RAFT_LEADER)
        continue;
      for (uint64_t n = ab_rng_below (&group->rng, 3); n > 0; n--)
        fake_propose (group, i);
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
      member->disk->room = 0;
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
    group->pad_bytes = 400000;
  fake_run_until_leader (group, 10000);
  while (group->steps < steps && group->problem[0] == '\0')
    {
      random_inputs (group);
      if (ab_rng_below (&group->rng, 60) == 0)
        random_fault (group);
      if (ab_rng_below (&group->rng, 10) == 0)
        fake_repair (group);
      for (int i = 0; i < group->count; i++)
        if (group->members[i].disk->room > 0
            && ab_rng_below (&group->rng, 200) == 0)
          group->members[i].disk->room = 0;
      fake_step (group);
    }
  end_faults (group);
  if (group->problem[0] == '\0' && !fake_settle (group, 60000))
    problem (group, "the group does not recover after the faults end");
  *step = group->steps;
  if (group->problem[0] != '\0')
    {
      memcpy (text, group->problem, sizeof group->problem);
      found = text;
    }
  fake_group_free (group);
  return found;
}
