#include "control_fake_lib.h"

#include <check.h>
#include <event2/event.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock.h"
#include "error.h"
#include "keys.h"

#define WAIT_MAX_MS 20000
#define STEP_MS 5
#define NFTW_FILES 16

static struct ab_member_task members;

/* Hosts.  */

void
group_start (struct fake_group *group, size_t number)
{
  struct fake_host *host = &group->hosts[number];
  struct ab_daemon *daemon = &host->daemon;
  char error[AB_CONF_ERROR_BYTES];

  daemon->settings = &host->settings;
  daemon->base = group->base;
  daemon->incarnation++;
  daemon->member = &members;
  daemon->peer = calloc (1, sizeof *daemon->peer);
  daemon->peer->group = group;
  daemon->peer->host = number;
  host->running = true;
  if (host->settings.role == AB_ROLE_CONTROL)
    ck_assert_msg (ab_control_task_new (daemon, &daemon->control, error) == 0,
                   "%s", error);
  ck_assert_int_eq (ab_bundle_task_new (daemon, &daemon->bundle, error), 0);
  ck_assert_int_eq (ab_control_client_new (daemon, &daemon->control_client),
                    0);
}

void
group_stop (struct fake_group *group, size_t number)
{
  struct fake_host *host = &group->hosts[number];

  host->running = false;
  ab_control_client_free (host->daemon.control_client);
  ab_control_task_free (host->daemon.control);
  ab_bundle_task_free (host->daemon.bundle);
  free (host->daemon.peer);
  host->daemon = (struct ab_daemon){ .incarnation = host->daemon.incarnation };
}

void
group_isolate (struct fake_group *group, size_t host, bool isolated)
{
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    if (i != host)
      group->cut[i][host] = group->cut[host][i] = isolated;
}

static void
make_settings (struct fake_group *group, size_t number)
{
  struct ab_settings *settings = &group->hosts[number].settings;
  struct ab_buf public_text = AB_BUF_INIT;
  char error[AB_CONF_ERROR_BYTES];

  *settings = (struct ab_settings){ .role = number < FAKE_CONTROL_HOSTS
                                                ? AB_ROLE_CONTROL
                                                : AB_ROLE_ENTRY,
                                    .control = group->control,
                                    .control_count = FAKE_CONTROL_HOSTS,
                                    .approvers = &group->approver,
                                    .approver_count = 1,
                                    .raft_heartbeat_ms = 20,
                                    .raft_election_ms = 150 };
  snprintf (settings->host, sizeof settings->host, "host%zu", number);
  snprintf (settings->data_folder, sizeof settings->data_folder, "%s/%zu",
            group->folder, number);
  snprintf (settings->keys.host_file, sizeof settings->keys.host_file,
            "%s/key%zu", group->folder, number);
  ck_assert_int_eq (mkdir (settings->data_folder, 0700), 0);
  if (number >= FAKE_CONTROL_HOSTS)
    return;
  ck_assert_int_eq (ab_key_file_create ("host", settings->keys.host_file,
                                        &public_text, error),
                    0);
  snprintf (group->control[number].host, AB_NAME_BYTES, "host%zu", number);
  snprintf (group->control[number].address, AB_ADDRESS_BYTES, "127.0.0.1:%zu",
            1000 + number);
  ck_assert_int_eq (ab_hex_decode (ab_buf_chunk (&public_text),
                                   group->control[number].key.bytes,
                                   AB_PUBLIC_KEY_BYTES),
                    0);
  ab_buf_free (&public_text);
}

void
group_open (struct fake_group *group)
{
  ck_assert_int_eq (ab_crypto_init (), 0);
  ab_log_open (NULL, AB_LOG_ERROR, "test");
  memset (group, 0, sizeof *group);
  strcpy (group->folder, "/tmp/ab_test_control_XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (group->folder));
  group->base = event_base_new ();
  members.group = group;
  ab_rng_init_seeded (&group->rng, 1);
  ab_key_pair_new (&group->approver.key, &group->approver_key);
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    make_settings (group, i);
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    group_start (group, i);
}

static int
remove_file (const char *path, const struct stat *status, int kind,
             struct FTW *position)
{
  (void)status;
  (void)kind;
  (void)position;
  return remove (path);
}

static void
remove_files (const char *folder)
{
  ck_assert_int_eq (
      nftw (folder, remove_file, NFTW_FILES, FTW_DEPTH | FTW_PHYS), 0);
}

void
group_erase_disk (struct fake_group *group, size_t host)
{
  const char *folder = group->hosts[host].settings.data_folder;

  remove_files (folder);
  ck_assert_int_eq (mkdir (folder, 0700), 0);
}

void
group_close (struct fake_group *group)
{
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    if (group->hosts[i].running)
      group_stop (group, i);
  /* Delivers the frames that are due, which frees them.  */
  group_run_ms (group, 2 * STEP_MS);
  while (group->in_flight)
    {
      struct fake_frame_in_flight *lost = group->in_flight;
      group->in_flight = lost->next;
      free (lost);
    }
  event_base_free (group->base);
  remove_files (group->folder);
}

/* Event loop.  */

static void
step (struct fake_group *group)
{
  const struct timeval interval = { .tv_usec = STEP_MS * 1000 };

  event_base_loopexit (group->base, &interval);
  event_base_dispatch (group->base);
}

void
group_run_until (struct fake_group *group, bool (*condition) (void *ctx),
                 void *ctx)
{
  for (int i = 0; i < WAIT_MAX_MS / STEP_MS; i++)
    {
      if (condition (ctx))
        return;
      step (group);
    }
  ck_abort_msg ("the condition did not hold within %d ms", WAIT_MAX_MS);
}

void
group_run_ms (struct fake_group *group, uint64_t ms)
{
  for (uint64_t i = 0; i < ms; i += STEP_MS)
    step (group);
}

size_t
group_leader (struct fake_group *group)
{
  for (size_t i = 0; i < FAKE_CONTROL_HOSTS; i++)
    {
      json_t *state;
      bool leads;
      if (!group->hosts[i].running)
        continue;
      state = ab_control_task_state (group->hosts[i].daemon.control);
      leads = json_is_true (json_object_get (state, "leads"));
      json_decref (state);
      if (leads)
        return i;
    }
  return FAKE_HOSTS;
}

static bool
has_leader (void *ctx)
{
  return group_leader (ctx) != FAKE_HOSTS;
}

void
group_wait_leader (struct fake_group *group)
{
  group_run_until (group, has_leader, group);
}

size_t
group_ledger_records (struct fake_group *group)
{
  size_t leader = group_leader (group);
  json_t *state;
  size_t count;

  if (leader == FAKE_HOSTS)
    return 0;
  state = ab_control_task_state (group->hosts[leader].daemon.control);
  count = (size_t)json_integer_value (
      json_object_get (json_object_get (state, "ledger"), "records"));
  json_decref (state);
  return count;
}

struct ab_ledger_key
group_make_key (uint8_t number)
{
  uint64_t time_ms = ab_clock_wall_ms (ab_clock_system ());
  struct ab_ledger_key key = { "team", "shop", { 0 } };

  for (size_t i = 0; i < 6; i++)
    key.key[i] = (uint8_t)(time_ms >> (8 * (5 - i)));
  key.key[15] = number;
  return key;
}
