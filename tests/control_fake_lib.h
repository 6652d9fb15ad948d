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
#include "rng.h"

#define FAKE_CONTROL_HOSTS 3
#define FAKE_HOSTS 5 /* Three control and two entry hosts.  */

struct fake_host
{
  struct ab_daemon daemon;
  struct ab_settings settings;
  bool running;
};

/* First member of a frame that is under way, so that the group can free those
   that never arrive.  */
struct fake_transit
{
  struct fake_transit *next;
  struct fake_transit **link;
};

struct fake_group
{
  struct event_base *base;
  struct fake_transit *under_way;
  char folder[64];
  struct ab_control_member control[FAKE_CONTROL_HOSTS];
  struct ab_signer approver;
  struct ab_secret_key approver_key;
  struct fake_host hosts[FAKE_HOSTS];
  bool cut[FAKE_HOSTS][FAKE_HOSTS]; /* Frames from the first are lost.  */
  bool chaos; /* Frames are lost, repeated and delayed.  */
  struct ab_rng rng;
  uint64_t targets; /* Of the service "shop".  */
};

/* The fakes' functions are defined in the test program itself: in a library
   they would come after the real ones.  */
struct ab_peer_task
{
  struct fake_group *group;
  size_t host;
  struct
  {
    ab_peer_handler handler;
    void *ctx;
  } handlers[AB_FRAME_TYPE_COUNT];
};

struct ab_member_task
{
  struct fake_group *group;
};

/* Starts all hosts.  */
void group_open (struct fake_group *group);
void group_close (struct fake_group *group);

void group_start (struct fake_group *group, size_t host);
void group_stop (struct fake_group *group, size_t host);
/* Cuts HOST off in both directions, or joins it again.  */
void group_isolate (struct fake_group *group, size_t host, bool isolated);
/* Removes HOST's files.  */
void group_empty_disk (struct fake_group *group, size_t host);

/* Runs the event loop until CONDITION holds; fails the test after 20 s.  */
void group_run_until (struct fake_group *group, bool (*condition) (void *ctx),
                      void *ctx);
void group_run_ms (struct fake_group *group, uint64_t ms);

/* The control host that leads, or FAKE_HOSTS.  */
size_t group_leader (struct fake_group *group);
void group_wait_leader (struct fake_group *group);

/* Records in the leader's ledger; 0 without leader.  */
size_t group_ledger_records (struct fake_group *group);

/* A key of the service "shop", made now.  */
struct ab_ledger_key group_make_key (uint8_t number);

#endif
