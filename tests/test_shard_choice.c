/* Choice among other shards by hosts that know the same at the same moment. */

#include <stdio.h>

#include "schedule_frame.h"
#include "shard_choice.h"
#include "suite_lib.h"

#define HOSTS 60
#define SHARDS 3

static const struct ab_shard shards[SHARDS]
    = { { .region = "r", .failure_domain = "a", .targets = 20 },
        { .region = "r", .failure_domain = "b", .targets = 20 },
        { .region = "r", .failure_domain = "c", .targets = 20 } };

/* Guards against hosts that all move to the same shard while others have free
   slots, and against a host that sends more than was free.  */
START_TEST (hosts_divide_by_free_slots)
{
  static const uint64_t free_slots[SHARDS] = { 45, 15, 0 };
  static const bool skip[SHARDS] = { false };
  unsigned sent[SHARDS + 1] = { 0 };

  for (unsigned host = 0; host < HOSTS; host++)
    {
      struct ab_shard_choice *choice = ab_shard_choice_new ();
      struct ab_rng rng;
      ab_rng_init_seeded (&rng, host);
      for (size_t i = 0; i < SHARDS; i++)
        ab_shard_choice_record (choice, "s", &shards[i], free_slots[i], 1000);
      sent[ab_shard_choice_pick (choice, "s", shards, skip, SHARDS, &rng,
                                 1010)]++;
      for (unsigned i = 0; i < 60; i++)
        {
          size_t picked = ab_shard_choice_pick (choice, "s", shards, skip,
                                                SHARDS, &rng, 1020);
          ck_assert_uint_lt (picked, 2);
          ab_shard_choice_sent (choice, "s", &shards[picked]);
        }
      ck_assert_uint_eq (
          ab_shard_choice_pick (choice, "s", shards, skip, SHARDS, &rng, 1020),
          SHARDS);
      ab_shard_choice_free (choice);
    }
  printf ("%d requests, 45, 15 and 0 free: %u, %u and %u sent\n", HOSTS,
          sent[0], sent[1], sent[2]);
  /* Bound: three standard deviations of 60 choices.  */
  ck_assert_uint_ge (sent[0], 35);
  ck_assert_uint_ge (sent[1], 5);
  ck_assert_uint_eq (sent[2], 0);
}
END_TEST

/* Guards against a shard that is never tried again after it was full.  */
START_TEST (old_statements_are_not_relied_on)
{
  static const bool skip[SHARDS] = { true, true, false };
  struct ab_shard_choice *choice = ab_shard_choice_new ();
  struct ab_rng rng;

  ab_rng_init_seeded (&rng, 1);
  ab_shard_choice_record (choice, "s", &shards[2], 0, 1000);
  ck_assert_uint_eq (
      ab_shard_choice_pick (choice, "s", shards, skip, SHARDS, &rng, 1200),
      SHARDS);
  ck_assert_uint_eq (
      ab_shard_choice_pick (choice, "s", shards, skip, SHARDS, &rng, 1300), 2);
  ab_shard_choice_free (choice);
}
END_TEST

/* Guards against replies that hosts of an earlier version, which read at most
   eight fields, cannot read.  */
START_TEST (free_slots_are_sent_on_request)
{
  struct ab_sched_reply reply = { .decision = AB_SCHED_FULL, .free_slots = 7 };
  struct ab_sched_reply copy;
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_reply (&body, &reply);
  ck_assert_uint_eq ((unsigned char)body.data[0], 0x98);
  ck_assert_int_eq (ab_sched_read_reply (ab_buf_chunk (&body), &copy), 0);
  ck_assert (!copy.has_free);
  ab_buf_free (&body);
  reply.has_free = true;
  ab_sched_pack_reply (&body, &reply);
  ck_assert_int_eq (ab_sched_read_reply (ab_buf_chunk (&body), &copy), 0);
  ck_assert (copy.has_free);
  ck_assert_uint_eq (copy.free_slots, 7);
  ab_buf_free (&body);
}
END_TEST

SUITE_MAIN ("shard_choice", 10, hosts_divide_by_free_slots,
            old_statements_are_not_relied_on, free_slots_are_sent_on_request)
