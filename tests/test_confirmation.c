/* Unit tests of confirmations: hosts with clocks of their own and messages
   that are held up.  */

#include "confirmation.h"

#include "rng.h"
#include "suite_lib.h"

#define SECOND 1000
#define DELAY_MS 6000
#define ROUNDS 20000

START_TEST (keys_expire_before_their_lifetime)
{
  struct ab_confirmation none = { 0 };

  ck_assert (!ab_confirmation_expired (4500, 5000));
  ck_assert (ab_confirmation_expired (4501, 5000));
  ck_assert (
      ab_confirmation_expired (ab_confirmation_age_ms (&none, 9), 5000));
  ck_assert (!ab_confirmation_expired (UINT64_MAX, 0));
}
END_TEST

/* Guards against echoes of a clock that was started anew, and against
   confirmations that go back.  */
START_TEST (impossible_echoes_are_ignored)
{
  struct ab_confirmation confirmation = { 0 };

  ck_assert (!ab_confirmation_echoed (&confirmation, 500, 1000, 1001, 0));
  ck_assert (!ab_confirmation_echoed (&confirmation, 500, 1000, 499, 0));
  ck_assert (!ab_confirmation_echoed (&confirmation, 500, 1000, 900, 900));
  ck_assert (
      !ab_confirmation_echoed (&confirmation, 500, 1000, 900, UINT64_MAX));
  ck_assert_uint_eq (ab_confirmation_age_ms (&confirmation, 1000), UINT64_MAX);
  ck_assert (ab_confirmation_echoed (&confirmation, 500, 1000, 900, 300));
  ck_assert_uint_eq (ab_confirmation_age_ms (&confirmation, 1000), 400);
  ck_assert (!ab_confirmation_echoed (&confirmation, 500, 1000, 800, 300));
  ck_assert_uint_eq (ab_confirmation_age_ms (&confirmation, 1000), 400);
}
END_TEST

/* One read of the control host, then a watch frame and the view that answers
   it, each of which is held up at random.  Times are those of an observer; the
   control host's clock differs by CONTROL_OFFSET, the gateway's by
   GATEWAY_OFFSET.  Guards against a gateway that believes its copy complete as
   of a time at which the control host's copy was not.  */
START_TEST (delays_only_age_a_copy)
{
  const uint64_t control_offset = 777 * SECOND;
  const uint64_t gateway_offset = 12 * SECOND;
  struct ab_rng rng;
  uint64_t kept = 0;

  ab_rng_init_seeded (&rng, 11);
  for (int i = 0; i < ROUNDS; i++)
    {
      struct ab_confirmation control = { 0 };
      struct ab_confirmation gateway = { 0 };
      uint64_t read_ms = 100 * SECOND + ab_rng_below (&rng, DELAY_MS);
      uint64_t watch_ms = read_ms + ab_rng_below (&rng, DELAY_MS);
      uint64_t view_ms = watch_ms + ab_rng_below (&rng, DELAY_MS);
      uint64_t arrival_ms = view_ms + ab_rng_below (&rng, DELAY_MS);
      uint64_t age_ms;
      /* The copy of the control host has all that was acknowledged before
         READ_MS, and nothing else.  */
      ab_confirmation_advance (&control, read_ms + control_offset);
      ab_confirmation_echoed (
          &gateway, gateway_offset, arrival_ms + gateway_offset,
          watch_ms + gateway_offset,
          ab_confirmation_age_ms (&control, view_ms + control_offset));
      age_ms = ab_confirmation_age_ms (&gateway, arrival_ms + gateway_offset);
      ck_assert_uint_ge (age_ms, arrival_ms - read_ms);
      kept += !ab_confirmation_expired (age_ms, 5 * SECOND);
    }
  /* Some copies are recent enough, or nothing was tested.  */
  ck_assert_uint_gt (kept, 0);
  ck_assert_uint_lt (kept, ROUNDS);
}
END_TEST

SUITE_MAIN ("confirmation", 10, keys_expire_before_their_lifetime,
            impossible_echoes_are_ignored, delays_only_age_a_copy)
