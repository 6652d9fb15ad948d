/* Several daemons' control parts in one process, over a fake of the peer
   sockets and of the membership view.  */

#ifndef CONTROL_FAKE_LIB_H
#define CONTROL_FAKE_LIB_H

#include <stdbool.h>

#include "bundle_task.h"
#include "control_client.h"
#include "control_task.h"
#include "daemon.h"
#include "member_task.h"
#include "peer_task.h"

#define FAKE_CONTROL_HOSTS 3
#define FAKE_HOSTS 5 /* Three control and two entry hosts.  */

struct group_fake_host
{
  struct ab_daemon daemon;
  struct ab_settings settings;
  bool running;
};

struct group_fake_group
{
  struct event_base *base;
  char folder[64];
  struct ab_control_member control[FAKE_CONTROL_HOSTS];
  struct ab_signer approver;
  struct ab_secret_key approver_key;
  struct group_fake_host hosts[FAKE_HOSTS];
  bool cut[FAKE_HOSTS][FAKE_HOSTS]; /* Frames from the first are lost.  */
  uint64_t targets;                 /* Of the service "shop".  */
};

/* The fakes' functions are defined in the test program itself: in a library
   they would come after the real ones.  */
struct ab_peer_task
{
  struct group_fake_group *group;
  size_t host;
  struct
  {
    ab_peer_handler handler;
    void *ctx;
  } handlers[AB_FRAME_TYPE_COUNT];
};

struct ab_member_task
{
  struct group_fake_group *group;
};

/* Starts all hosts.  */
void group_fake_group_open (struct group_fake_group *group);
void group_fake_group_close (struct group_fake_group *group);

void group_fake_start (struct group_fake_group *group, size_t host);
void group_fake_stop (struct group_fake_group *group, size_t host);
/* Cuts HOST off in both directions, or joins it again.  */
void group_fake_isolate (struct group_fake_group *group, size_t host,
                         bool isolated);
/* Removes HOST's files.  */
void group_fake_empty_disk (struct group_fake_group *group, size_t host);

/* Runs the event loop until CONDITION holds; fails the test after 20 s.  */
void group_fake_run_until (struct group_fake_group *group,
                           bool (*condition) (void *ctx), void *ctx);
void group_fake_run_ms (struct group_fake_group *group, uint64_t ms);

/* The control host that leads, or FAKE_HOSTS.  */
size_t group_fake_leader (struct group_fake_group *group);
void group_fake_wait_leader (struct group_fake_group *group);

#endif
