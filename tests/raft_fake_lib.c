#include "raft_fake_lib.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "raft_internal.h"
#include "wal.h"

#define LOG_CHECK_ENTRIES 64

static void *
ensure_capacity (void *items, size_t *cap, size_t need, size_t size)
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
member_number (const char *host)
{
  return host[1] - '0';
}

static void
add_packet (struct fake_group *group, int from, int to,
            struct ab_chunk message)
{
  struct fake_packet *packet;

  group->packets
      = ensure_capacity (group->packets, &group->packet_cap,
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
  int from = member_number (member->host);
  unsigned copies = 1;

  if (message.len > 1024 * 1024)
    fake_problem (group, "a message of %zu bytes does not fit a frame",
                  message.len);
  if (ab_rng_below (&group->rng, 100) < group->drop_percent)
    copies = 0;
  else if (ab_rng_below (&group->rng, 100) < group->duplicate_percent)
    copies = 2;
  for (; copies > 0; copies--)
    add_packet (group, from, member_number (to), message);
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

/* Checks the state at INDEX against that of the first member that applied
   it.  */
static void
check_state (struct fake_member *member, uint64_t index, uint64_t term)
{
  struct fake_group *group = member->group;
  struct fake_committed *c;

  group->committed
      = ensure_capacity (group->committed, &group->committed_cap,
                         (size_t)index + 1, sizeof *group->committed);
  c = &group->committed[index];
  if (index > group->committed_count)
    {
      if (index != group->committed_count + 1)
        fake_problem (group, "%s applied %" PRIu64 " after %" PRIu64,
                      member->host, index, group->committed_count);
      group->committed_count = index;
      group->last_committed_ms = group->now_ms;
      c->term = term;
      c->digest = member->state.digest;
    }
  else if (c->term != term || c->digest != member->state.digest)
    fake_problem (group, "%s applied another entry at %" PRIu64, member->host,
                  index);
}

static uint64_t
mix_digest (uint64_t digest, const void *data, size_t len)
{
  const uint8_t *bytes = data;

  for (size_t i = 0; i < len; i++)
    digest = (digest ^ bytes[i]) * 0x100000001b3ULL;
  return digest;
}

static void
io_apply (struct ab_raft_io *io, const struct ab_raft_entry *entry)
{
  struct fake_member *member = member_of (io);
  uint64_t kind = entry->kind;

  if (entry->index != member->state.applied + 1)
    fake_problem (member->group, "%s applied %" PRIu64 " after %" PRIu64,
                  member->host, entry->index, member->state.applied);
  member->state.applied = entry->index;
  member->state.digest = mix_digest (member->state.digest, &entry->term, 8);
  member->state.digest = mix_digest (member->state.digest, &kind, 8);
  member->state.digest
      = mix_digest (member->state.digest, entry->data.data, entry->data.len);
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
    fake_problem (member->group, "%s installed a wrong snapshot",
                  member->host);
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
  if (member->state.applied < group->reads[request].committed_index)
    fake_problem (group,
                  "a read at %s saw %" PRIu64 ", %" PRIu64 " was committed",
                  member->host, member->state.applied,
                  group->reads[request].committed_index);
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
  rc = ab_storage_open_with (&member->disk->files, group->segment_bytes, "d",
                             group->first,
                             member->is_late ? 0 : (size_t)group->count,
                             &member->storage, &content, error);
  if (rc < 0)
    {
      if (!member->disk->crashed && !member->disk->sync_failed
          && rc != AB_ERR_FULL)
        fake_problem (group, "%s cannot open its disk: %.150s", member->host,
                      error);
      fake_disk_restart (member->disk, &group->rng);
      member->restart_at_ms = group->now_ms + 500;
      return;
    }
  memset (&member->state, 0, sizeof member->state);
  if (content.initial_state.snapshot_index > 0)
    memcpy (&member->state, content.snapshot_data.data, sizeof member->state);
  memcpy (member->disk_id, content.disk_id, AB_DISK_ID_BYTES);
  memcpy (config.disk_id, content.disk_id, AB_DISK_ID_BYTES);
  member->snapshot_index = content.initial_state.snapshot_index;
  if (ab_raft_new (&config, &content.initial_state, group->now_ms,
                   &member->raft)
      < 0)
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
  group->snapshot_interval = 40;
  group->segment_bytes = seed % 2 ? 2000 : AB_WAL_SEGMENT_BYTES;
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

bool
fake_is_running (const struct fake_group *group, int i)
{
  const struct fake_member *member = &group->members[i];

  return member->raft && member->frozen_until_ms <= group->now_ms;
}

static void
check_leader (struct fake_group *group, int i)
{
  const struct ab_raft *raft = group->members[i].raft;
  uint64_t term = raft->hard_state.term;
  uint64_t last = group->committed_count;
  uint64_t found;

  if (raft->role != AB_RAFT_LEADER)
    return;
  group->leader_of_term
      = ensure_capacity (group->leader_of_term, &group->term_cap,
                         (size_t)term + 1, sizeof *group->leader_of_term);
  if (group->leader_of_term[term] != 0 && group->leader_of_term[term] != i + 1)
    fake_problem (group, "m%d and m%d both led in term %" PRIu64, i,
                  group->leader_of_term[term] - 1, term);
  group->leader_of_term[term] = i + 1;
  /* A leader of a later term than the last committed entry's holds that
     entry.  */
  if (last > 0 && term > group->committed[last].term
      && last > raft->log.base_index
      && (!ab_raft_log_term (&raft->log, last, &found)
          || found != group->committed[last].term))
    fake_problem (group, "leader m%d lacks the committed entry %" PRIu64, i,
                  last);
}

/* Checks that two logs that agree on an entry agree on all entries before
   it.  */
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
        fake_problem (group, "the logs of m%d and m%d differ at %" PRIu64, i,
                      j, index);
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
          || (to->raft && !fake_is_running (group, packet.to)))
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
  struct ab_raft_snapshot_metadata metadata;
  struct ab_buf data = AB_BUF_INIT;
  int rc;

  if (member->state.applied < member->snapshot_index + group->snapshot_interval
      || ab_raft_get_snapshot_metadata (member->raft, &metadata) < 0)
    return;
  ab_buf_append (&data, &member->state, sizeof member->state);
  for (size_t i = 0; i < group->snapshot_padding_bytes; i += 8)
    ab_buf_append (&data, &member->state.digest, 8);
  rc = ab_storage_save_snapshot (member->storage, metadata.index,
                                 metadata.term, metadata.members,
                                 metadata.member_count, ab_buf_chunk (&data));
  ab_buf_free (&data);
  if (rc < 0)
    return;
  member->snapshot_index = metadata.index;
  ab_raft_compact_log (member->raft, metadata.index, metadata.term);
}

static void
run_member (struct fake_group *group, int i)
{
  struct fake_member *member = &group->members[i];

  if (!member->raft && member->restart_at_ms
      && member->restart_at_ms <= group->now_ms)
    fake_start (group, i);
  if (!fake_is_running (group, i))
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
      if (raft && raft->role == AB_RAFT_LEADER && raft->hard_state.term > term)
        {
          leader = i;
          term = raft->hard_state.term;
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
fake_propose (struct fake_group *group, int i, size_t bytes)
{
  struct ab_buf data = AB_BUF_INIT;
  uint64_t index;
  int rc;

  ab_buf_printf (&data, "command %" PRIu64, ++group->proposals);
  while (data.len < bytes)
    ab_buf_append (&data, "................................", 32);
  rc = ab_raft_propose (group->members[i].raft, group->now_ms,
                        ab_buf_chunk (&data), &index);
  ab_buf_free (&data);
  group->refused_full += rc == AB_ERR_FULL;
  return rc;
}

int
fake_read (struct fake_group *group, int i)
{
  group->reads = ensure_capacity (group->reads, &group->read_cap,
                                  group->read_count + 1, sizeof *group->reads);
  group->reads[group->read_count].committed_index = group->committed_count;
  return ab_raft_read (group->members[i].raft, group->now_ms,
                       group->read_count++);
}

uint64_t
fake_applied (const struct fake_group *group, int i)
{
  return group->members[i].state.applied;
}
