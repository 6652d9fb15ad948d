/* Choice of the host that schedules, as one host sees it.  */

#include "schedule_hosts.h"

#include "suite_lib.h"

static struct ab_domain domains[] = { { "a", "r" }, { "b", "r" } };
static const struct ab_fleet_settings settings
    = { .domains = domains, .domain_count = 2 };
static const struct ab_shard shard_a
    = { .region = "r", .failure_domain = "a" };
static const struct ab_shard rest_of_region = { .region = "r" };
static struct ab_schedule_hosts *hosts;

static struct ab_fleet_host
make_host (const char *peer, const char *domain, uint64_t link_mbps)
{
  struct ab_fleet_host result
      = { .link_mbps = link_mbps, .may_schedule = true };

  ab_chunk_copy_bounded (ab_chunk_str (peer), result.peer, sizeof result.peer);
  ab_chunk_copy_bounded (ab_chunk_str (domain), result.failure_domain,
                         sizeof result.failure_domain);
  return result;
}

#define CHOOSE(list, shard, now)                                              \
  ab_schedule_hosts_choose (hosts, list, sizeof (list) / sizeof (list)[0],    \
                            &(shard), "s", now)

/* Guards against slot requests that are queued behind large bodies on a narrow
   link while there is a wide one.  */
START_TEST (hosts_with_wide_links_schedule)
{
  const struct ab_fleet_host list[]
      = { make_host ("1", "a", 2), make_host ("2", "a", 100),
          make_host ("3", "a", 2), make_host ("4", "b", 1000) };

  hosts = ab_schedule_hosts_new (&settings, 0);
  ck_assert_str_eq (CHOOSE (list, shard_a, 1000), "2");
  ck_assert_str_eq (CHOOSE (list, rest_of_region, 1000), "4");
  /* A narrow link is better than none.  */
  ab_schedule_hosts_unresponsive (hosts, "2", 1000);
  ck_assert_str_ne (CHOOSE (list, shard_a, 1001), "2");
  ck_assert_ptr_nonnull (CHOOSE (list, shard_a, 1001));
  ab_schedule_hosts_free (hosts);
}
END_TEST

/* Guards against two schedulers for the same targets: the choice depends on
   the list alone, not on its order.  */
START_TEST (hosts_agree)
{
  const struct ab_fleet_host list[]
      = { make_host ("1", "a", 0), make_host ("2", "a", 0),
          make_host ("3", "a", 0) };
  const struct ab_fleet_host reversed[] = { list[2], list[1], list[0] };

  hosts = ab_schedule_hosts_new (&settings, 0);
  ck_assert_str_eq (CHOOSE (list, shard_a, 1), CHOOSE (reversed, shard_a, 1));
  ab_schedule_hosts_free (hosts);
}
END_TEST

/* Guards against all requests waiting for a host that does not answer, and
   against a host that is skipped permanently.  */
START_TEST (unresponsive_host_is_skipped_temporarily)
{
  const struct ab_fleet_host list[] = { make_host ("1", "a", 0) };

  hosts = ab_schedule_hosts_new (&settings, 0);
  ck_assert_str_eq (CHOOSE (list, shard_a, 1000), "1");
  ab_schedule_hosts_unresponsive (hosts, "1", 1000);
  ck_assert_ptr_null (CHOOSE (list, shard_a, 1100));
  ck_assert_str_eq (CHOOSE (list, shard_a, 3000), "1");
  ab_schedule_hosts_free (hosts);
}
END_TEST

/* Entry hosts are cut off from the host with the wide link for many seconds.
   Guards against all requests waiting for that host whenever it is tried
   again: one request probes it, at growing intervals, and one reply restores
   it.  */
START_TEST (one_request_probes_an_unresponsive_host)
{
  const struct ab_fleet_host list[]
      = { make_host ("1", "a", 2), make_host ("2", "a", 100) };
  uint64_t now = 1000;
  unsigned probes = 0;

  hosts = ab_schedule_hosts_new (&settings, 0);
  for (; now < 15000; now += 10)
    {
      if (strcmp (CHOOSE (list, shard_a, now), "1") == 0)
        continue;
      probes++;
      ab_schedule_hosts_requested (hosts, "2", now);
      /* The next request, before the first one has a reply.  */
      if (probes > 1)
        ck_assert_str_eq (CHOOSE (list, shard_a, now), "1");
      ab_schedule_hosts_unresponsive (hosts, "2", now + 80);
    }
  ck_assert_uint_le (probes, 6);
  ab_schedule_hosts_answered (hosts, "2");
  ck_assert_str_eq (CHOOSE (list, shard_a, now), "2");
  ab_schedule_hosts_free (hosts);
}
END_TEST

/* Guards against slot requests that are abandoned while connections come up
   after a start: each host would then schedule for itself.  */
START_TEST (first_answer_has_more_time)
{
  uint64_t first;

  hosts = ab_schedule_hosts_new (&settings, 0);
  first = ab_schedule_hosts_answer_timeout_ms (hosts, "1", false, 1000);
  ck_assert_uint_lt (
      ab_schedule_hosts_answer_timeout_ms (hosts, "1", true, 60000), first);
  ck_assert_uint_lt (
      ab_schedule_hosts_answer_timeout_ms (hosts, "1", false, 60000), first);
  ab_schedule_hosts_answered (hosts, "1");
  ck_assert_uint_lt (
      ab_schedule_hosts_answer_timeout_ms (hosts, "1", false, 1000),
      ab_schedule_hosts_answer_timeout_ms (hosts, "1", true, 1000));
  ab_schedule_hosts_free (hosts);
}
END_TEST

SUITE_MAIN ("schedule_hosts", 10, hosts_with_wide_links_schedule, hosts_agree,
            unresponsive_host_is_skipped_temporarily,
            one_request_probes_an_unresponsive_host,
            first_answer_has_more_time)
