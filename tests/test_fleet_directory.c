/* Unit tests of the directory: one list of entry hosts per failure domain.  */

#include "fleet_directory.h"

#include <stdio.h>

#include "suite_lib.h"

#define DOMAINS 9
#define DOMAIN_HOSTS 50

static struct ab_directory *directory;

static void
add_host (int domain, int n, uint64_t link_mbps)
{
  struct ab_fleet_host host = { .link_mbps = link_mbps };

  snprintf (host.peer, sizeof host.peer, "10.%d.0.%d:7000", domain, n);
  snprintf (host.callers, sizeof host.callers, "10.%d.0.%d:8000", domain, n);
  snprintf (host.failure_domain, sizeof host.failure_domain, "d%d", domain);
  ck_assert_int_eq (ab_directory_add (directory, &host), 0);
}

/* Fills the directory with a fleet of 450 hosts, of which one in each domain
   has a wide link, without the host MISSING of domain 1.  Returns whether the
   directory has changed.  */
static bool
fill_directory (int missing)
{
  ab_directory_begin (directory);
  for (int domain = 1; domain <= DOMAINS; domain++)
    for (int n = 1; n <= DOMAIN_HOSTS; n++)
      if (domain != 1 || n != missing)
        add_host (domain, n, n == 7 ? 100 : 2);
  return ab_directory_end (directory);
}

/* Reads the list for DOMAIN.  Returns the number of hosts; sets *SCHEDULERS to
   the number of hosts that may schedule, and *WIDE to the number of these with
   wide links.  */
static size_t
read_list (const char *domain, size_t *schedulers, size_t *wide)
{
  struct ab_buf packed = AB_BUF_INIT;
  struct ab_reader reader;
  size_t count;

  ab_directory_pack (directory, domain, &packed);
  ck_assert_int_eq (ab_reader_init (&reader, ab_buf_chunk (&packed)), 0);
  count = ab_reader_enter (&reader, AB_FLEET_HOSTS_MAX);
  *schedulers = 0;
  *wide = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct ab_fleet_host host;
      ab_fleet_read_host (&reader, &host);
      *schedulers += host.may_schedule;
      *wide += host.may_schedule && host.link_mbps == 100;
    }
  ck_assert_int_eq (ab_reader_error (&reader), 0);
  ab_reader_free (&reader);
  ab_buf_free (&packed);
  return count;
}

/* Guards against lists that grow with the number of hosts in the fleet: an
   entry host gets the hosts of its own domain and the schedulers of the
   others.  */
START_TEST (list_grows_with_the_domain)
{
  size_t schedulers;
  size_t wide;

  directory = ab_directory_new ();
  ck_assert (fill_directory (0));
  ck_assert_uint_eq (ab_directory_count (directory), DOMAINS * DOMAIN_HOSTS);
  ck_assert_uint_eq (read_list ("d3", &schedulers, &wide),
                     DOMAIN_HOSTS + (DOMAINS - 1) * AB_DIRECTORY_SCHEDULERS);
  ck_assert_uint_eq (schedulers, DOMAINS * AB_DIRECTORY_SCHEDULERS);
  ck_assert_uint_eq (wide, DOMAINS);
  ab_directory_free (directory);
}
END_TEST

/* Guards against sending a list to hosts for which nothing has changed: a host
   that may not schedule is only in the list of its own domain.  */
START_TEST (other_domains_keep_their_version)
{
  uint64_t own;
  uint64_t other;
  int ordinary = 0;

  directory = ab_directory_new ();
  fill_directory (0);
  own = ab_directory_version (directory, "d1");
  other = ab_directory_version (directory, "d2");
  ck_assert (!fill_directory (0));
  for (int n = 1; n <= DOMAIN_HOSTS && !ordinary; n++)
    {
      ck_assert (fill_directory (n));
      ck_assert_uint_ne (ab_directory_version (directory, "d1"), own);
      if (ab_directory_version (directory, "d2") == other)
        ordinary = n;
    }
  ck_assert_int_gt (ordinary, 0);
  ab_directory_free (directory);
}
END_TEST

/* Guards against control hosts that mark different schedulers because the
   hosts were added in another order, and against a host that is listed twice
   while it changes from one control host to another.  */
START_TEST (order_and_repetition_do_not_matter)
{
  uint64_t version;

  directory = ab_directory_new ();
  ab_directory_begin (directory);
  for (int n = 1; n <= DOMAIN_HOSTS; n++)
    add_host (1, n, 2);
  ab_directory_end (directory);
  version = ab_directory_version (directory, "d1");
  ab_directory_begin (directory);
  for (int n = DOMAIN_HOSTS; n >= 1; n--)
    add_host (1, n, 2);
  add_host (1, 5, 2);
  ck_assert (!ab_directory_end (directory));
  ck_assert_uint_eq (ab_directory_version (directory, "d1"), version);
  ck_assert_uint_eq (ab_directory_count (directory), DOMAIN_HOSTS);
  ab_directory_free (directory);
}
END_TEST

SUITE_MAIN ("fleet_directory", 10, list_grows_with_the_domain,
            other_domains_keep_their_version,
            order_and_repetition_do_not_matter)
