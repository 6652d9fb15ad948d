/* Several hosts that place requests at the same targets at the same moment,
   without knowing of one another.  */

#include <stdio.h>

#include "rendezvous.h"
#include "scheduler.h"
#include "stand_in.h"
#include "suite_lib.h"

#define HOSTS 60
#define TARGETS 40
#define SLOTS 2

static unsigned in_flight[TARGETS];
static unsigned granted;

static void
on_decide (void *ctx, const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_reply *reply)
{
  (void)ctx;
  (void)slot_request;
  if (reply->decision != AB_SCHED_GRANTED)
    return;
  in_flight[strtoul (reply->target, NULL, 10)]++;
  granted++;
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static struct ab_scheduler *
make_scheduler (void)
{
  const struct ab_scheduler_config config
      = { .retry_fraction = 0.2, .retry_extra = 8, .retry_window_ms = 10000 };
  struct ab_scheduler *scheduler = ab_scheduler_new (&config, &ops, NULL);

  for (unsigned i = 0; i < TARGETS; i++)
    {
      struct ab_fleet_target target = { .service = "s",
                                        .failure_domain = "d",
                                        .started_ms = 1,
                                        .slots = SLOTS,
                                        .state = AB_FLEET_TARGET_READY };
      snprintf (target.id, sizeof target.id, "%u", i);
      ab_scheduler_set_target (scheduler, &target, "d", 1000);
    }
  return scheduler;
}

/* How hosts begin among the targets: each believes to be the only one, all
   agree on the list of hosts, or their lists have nothing in common.  */
enum positions
{
  ALONE,
  EVEN,
  RANDOM
};

static const char *const names[] = { "alone", "even", "random" };

static double
position_of (unsigned host, enum positions positions)
{
  return positions == EVEN
             ? (double)host / HOSTS
             : (double)(ab_rendezvous_mix (host + 1) >> 11) / 0x1p53;
}

/* Lets each host place REQUESTS requests of its own at the same moment.
   Stores the most requests at one target and the number of idle targets.  */
static void
place (unsigned requests, bool idempotent, enum positions positions,
       unsigned *most, unsigned *idle)
{
  memset (in_flight, 0, sizeof in_flight);
  granted = 0;
  for (unsigned host = 0; host < HOSTS; host++)
    {
      struct ab_scheduler *scheduler = make_scheduler ();
      for (unsigned i = 0; i < requests; i++)
        {
          struct ab_sched_slot_request slot_request
              = { .id = i + 1,
                  .failure_domain = "d",
                  .service = "s",
                  .shard = "d",
                  .idempotent = idempotent,
                  .last_resort = true,
                  .placers = positions == ALONE ? 1 : HOSTS,
                  .position = position_of (host, positions),
                  .may_wait = true,
                  .objective_ms = 800,
                  .timeout_ms = 2500 };
          snprintf (slot_request.host, sizeof slot_request.host, "h%u", host);
          ab_scheduler_request_slot (scheduler, &slot_request, 5000);
        }
      ab_scheduler_free (scheduler);
    }
  *most = *idle = 0;
  for (unsigned i = 0; i < TARGETS; i++)
    {
      *most = in_flight[i] > *most ? in_flight[i] : *most;
      *idle += in_flight[i] == 0;
    }
  printf ("%u requests of each host, %s, %s: %u granted, most at a target %u, "
          "idle %u of %u\n",
          requests, idempotent ? "idempotent" : "once", names[positions],
          granted, *most, *idle, TARGETS);
}

/* Guards against hosts that all choose the same targets when each places its
   own requests because no scheduler answers.  */
START_TEST (hosts_choose_different_targets)
{
  unsigned most;
  unsigned idle;

  for (int idempotent = 0; idempotent < 2; idempotent++)
    {
      place (1, idempotent, ALONE, &most, &idle);
      ck_assert_uint_eq (most, HOSTS);
      place (1, idempotent, EVEN, &most, &idle);
      ck_assert_uint_le (most, SLOTS);
      ck_assert_uint_le (idle, TARGETS / 10);
      /* Bound: 60 random choices of 40 targets rarely put more than 6 at
         one.  */
      place (1, idempotent, RANDOM, &most, &idle);
      ck_assert_uint_le (most, 6);
      ck_assert_uint_le (idle, TARGETS / 2);
    }
}
END_TEST

/* Guards against hosts that each fill all slots when each has more requests
   than its part of the targets serves: together they may place twice as many
   requests as there are slots.  */
START_TEST (hosts_keep_to_their_share)
{
  unsigned most;
  unsigned idle;

  place (4, false, ALONE, &most, &idle);
  ck_assert_uint_eq (granted, 4 * HOSTS);
  place (4, false, EVEN, &most, &idle);
  ck_assert_uint_le (granted, 2 * TARGETS * SLOTS);
  ck_assert_uint_le (most, 2 * SLOTS);
  ck_assert_uint_eq (idle, 0);
}
END_TEST

/* Makes a request of host number HOST to host 3 of 24 at NOW_MS.  */
static struct ab_stand_in_share
request_from (struct ab_stand_in *stand_in, unsigned host, bool is_regular,
              uint64_t now_ms)
{
  static const struct ab_shard shard = { .failure_domain = "d" };
  struct ab_fleet_host list[24] = { 0 };
  char name[AB_ADDRESS_BYTES];
  struct ab_stand_in_request request = { .service = "s",
                                         .shard = &shard,
                                         .host = name,
                                         .failure_domain = "d",
                                         .own_host = list[3].peer,
                                         .is_regular = is_regular };

  for (unsigned i = 0; i < 24; i++)
    {
      snprintf (list[i].peer, sizeof list[i].peer, "h%02u", i);
      ab_chunk_copy_bounded (AB_CHUNK ("d"), list[i].failure_domain,
                             AB_NAME_BYTES);
    }
  snprintf (name, sizeof name, "h%02u", host);
  return ab_stand_in_share (stand_in, &request, list, 24, now_ms);
}

/* Guards against a stand-in that keeps to a small share although all hosts ask
   it, and against a replaced scheduler that grants nothing while hosts change
   over.  */
START_TEST (share_follows_requesters)
{
  static const struct ab_fleet_settings settings = { 0 };
  struct ab_stand_in *stand_in = ab_stand_in_new (&settings);
  struct ab_stand_in_share share = request_from (stand_in, 3, false, 1000);

  ck_assert_uint_eq (share.placers, 24);
  ck_assert (share.is_new);
  ck_assert_double_eq (share.position, 3.0 / 24);
  for (unsigned i = 4; i < 16; i++)
    share = request_from (stand_in, i, false, 1100);
  ck_assert_uint_eq (share.placers, 1);
  ck_assert_uint_eq (request_from (stand_in, 3, false, 9000).placers, 24);

  /* It becomes the regular scheduler.  */
  ck_assert_uint_eq (request_from (stand_in, 3, true, 15000).placers, 24);
  ck_assert_uint_eq (request_from (stand_in, 3, true, 15400).placers, 1);
  for (unsigned i = 0; i < 24; i++)
    share = request_from (stand_in, i, true, 20000);
  ck_assert_uint_eq (share.placers, 1);
  ck_assert_uint_eq (request_from (stand_in, 3, false, 20500).placers, 1);
  ck_assert_uint_eq (request_from (stand_in, 3, false, 23000).placers, 24);
  ab_stand_in_free (stand_in);
}
END_TEST

SUITE_MAIN ("scheduler_share", 30, hosts_choose_different_targets,
            hosts_keep_to_their_share, share_follows_requesters)
