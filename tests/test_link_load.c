/* Large responses on a narrow link.  */

#include "link_load.h"

#include "suite_lib.h"

#define BYTES 90000

/* A burst of large responses on a link of 4.1 Mbit/s, some of which are still
   to be written when a graceful shutdown begins.  Guards against sending on a
   request whose response cannot pass the link before the process ends.  */
START_TEST (burst_fills_the_link)
{
  struct ab_link_load load;
  uint64_t before;

  ab_link_load_init (&load, 4.1);
  for (int i = 0; i < 60; i++)
    {
      ab_link_load_begin (&load);
      ab_link_load_end (&load, BYTES);
    }
  before = ab_link_load_wait_ms (&load, 0);
  ck_assert_uint_ge (before, 150);
  ck_assert_uint_le (before, 200);
  for (int i = 0; i < 30; i++)
    ab_link_load_begin (&load);
  ck_assert_uint_ge (ab_link_load_wait_ms (&load, 0), 5000);
  ck_assert_uint_ge (ab_link_load_wait_ms (&load, 1000000), 7000);
  for (int i = 0; i < 30; i++)
    ab_link_load_end (&load, 0);
  ck_assert_uint_eq (ab_link_load_wait_ms (&load, 0), before);
}
END_TEST

/* Guards against rejections on a host whose link capacity is not known.  */
START_TEST (unknown_link_is_never_full)
{
  struct ab_link_load load;

  ab_link_load_init (&load, 0);
  for (int i = 0; i < 1000; i++)
    ab_link_load_begin (&load);
  ck_assert_uint_eq (ab_link_load_wait_ms (&load, 1 << 30), 0);
}
END_TEST

SUITE_MAIN ("link_load", 10, burst_fills_the_link, unknown_link_is_never_full)
