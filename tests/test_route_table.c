/* Routes, services and limits of a fleet's bundle.  */

#include <malloc.h>

#include "buf.h"
#include "error.h"
#include "route_table.h"
#include "suite_lib.h"

#define SERVICES                                                              \
  "\"services\":[{\"name\":\"a\",\"probe_path\":\"/h\",\"connections\":9},"   \
  "{\"name\":\"b\"}]"
#define LIMITS                                                                \
  "\"limits\":{\"header_bytes\":1024,\"body_bytes\":2048,"                    \
  "\"header_time_ms\":300,\"idle_time_ms\":1500}"
#define ROUTE(prefix, rest)                                                   \
  "{\"name\":\"r\",\"prefix\":\"" prefix "\",\"kind\":\"idempotent\","        \
  "\"timeout_ms\":1000,\"objective_ms\":500,\"priority\":1," rest "}"
#define KIND(prefix, kind)                                                    \
  "{\"name\":\"r\",\"prefix\":\"" prefix "\",\"kind\":\"" kind "\","          \
  "\"timeout_ms\":1000,\"service\":\"a\"}"
#define TABLE(routes)                                                         \
  "{\"version\":7,\"base_version\":5," SERVICES "," LIMITS                    \
  ",\"hosts\":[{\"host\":\"Shop.example\",\"prefixes\":[" routes "]}]}"

static struct ab_route_table *
parse (const char *text)
{
  struct ab_route_table *table;
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_msg (ab_route_table_parse (ab_chunk_str (text), &table, error)
                     == 0,
                 "%s", error);
  return table;
}

static void
assert_rejected (const char *text, const char *word)
{
  struct ab_route_table *table;
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_int_eq (ab_route_table_parse (ab_chunk_str (text), &table, error),
                    AB_ERR_INVALID);
  ck_assert_ptr_null (table);
  ck_assert_msg (strstr (error, word) != NULL, "%s", error);
}

/* Guards against a route that is shadowed by a shorter prefix, and against
   host names that are compared with their port or case.  */
START_TEST (finds_longest_prefix)
{
  struct ab_route_table *table = parse (TABLE (ROUTE (
      "/x/", "\"service\":\"a\"") "," ROUTE ("/x/y/", "\"service\":\"b\"")));
  const struct ab_fleet_route *route;

  route = ab_route_table_find (table, AB_CHUNK ("shop.EXAMPLE:80"),
                               AB_CHUNK ("/x/y/z"));
  ck_assert_ptr_nonnull (route);
  ck_assert_str_eq (route->prefix.data, "/x/y/");
  route = ab_route_table_find (table, AB_CHUNK ("shop.example"),
                               AB_CHUNK ("/x/yy"));
  ck_assert_str_eq (route->prefix.data, "/x/");
  ck_assert_ptr_null (
      ab_route_table_find (table, AB_CHUNK ("shop.example"), AB_CHUNK ("/x")));
  ck_assert_ptr_null (ab_route_table_find (table, AB_CHUNK ("other.example"),
                                           AB_CHUNK ("/x/")));
  ck_assert_uint_eq (ab_route_table_version (table), 7);
  ck_assert_uint_eq (ab_route_table_base (table), 5);
  ck_assert_uint_eq (ab_route_table_limits (table)->idle_time_ms, 1500);
  ab_route_table_unref (table);
}
END_TEST

/* Guards against shares of requests that differ from their weights.  */
START_TEST (splits_by_weight)
{
  struct ab_route_table *table = parse (
      TABLE (ROUTE ("/x/", "\"split\":[{\"service\":\"a\",\"weight\":90},"
                           "{\"service\":\"b\",\"weight\":10},"
                           "{\"service\":\"b\",\"weight\":0}]")));
  const struct ab_fleet_route *route = ab_route_table_find (
      table, AB_CHUNK ("shop.example"), AB_CHUNK ("/x/1"));
  unsigned counts[2] = { 0 };

  for (uint64_t draw = 0; draw < 1000; draw++)
    counts[ab_fleet_route_choose (route, draw)]++;
  ck_assert_uint_eq (counts[0], 900);
  ck_assert_uint_eq (counts[1], 100);
  ab_route_table_unref (table);
}
END_TEST

static const struct ab_fleet_route *
find_kind (const struct ab_route_table *table, const char *path)
{
  return ab_route_table_find (table, AB_CHUNK ("shop.example"),
                              ab_chunk_str (path));
}

/* Guards against a kind of route that is rejected, or one that is retried when
   it must not be.  */
START_TEST (accepts_all_kinds)
{
  struct ab_route_table *table
      = parse (TABLE (KIND ("/i/", "idempotent") "," KIND (
          "/d/", "download") "," KIND ("/o/", "once")));

  ck_assert (find_kind (table, "/i/1")->idempotent);
  ck_assert (!find_kind (table, "/i/1")->large);
  ck_assert (find_kind (table, "/d/1")->idempotent);
  ck_assert (find_kind (table, "/d/1")->large);
  ck_assert (!find_kind (table, "/o/1")->idempotent);
  ck_assert (!find_kind (table, "/o/1")->large);
  ab_route_table_unref (table);
}
END_TEST

/* Guards against accepting a bundle that no host can serve.  */
START_TEST (rejects_invalid)
{
  assert_rejected ("{\"version\":7", "JSON");
  assert_rejected ("[]", "JSON");
  assert_rejected (TABLE (ROUTE ("/x/", "\"service\":\"c\"")), "'c'");
  assert_rejected (TABLE ("{\"name\":\"r\",\"prefix\":\"/x/\",\"kind\":"
                          "\"often\",\"timeout_ms\":1,\"service\":\"a\"}"),
                   "often");
  assert_rejected (TABLE ("{\"name\":\"r\",\"prefix\":\"/x/\",\"kind\":"
                          "\"once\",\"timeout_ms\":0,\"service\":\"a\"}"),
                   "timeout_ms");
  assert_rejected (
      TABLE ("{\"name\":\"r\",\"prefix\":\"/x/\",\"kind\":\"once\","
             "\"timeout_ms\":10,\"objective_ms\":60010,\"service\":\"a\"}"),
      "objective_ms");
  assert_rejected (TABLE (ROUTE ("/x/", "\"service\":\"a\"") "," ROUTE (
                       "/x/", "\"service\":\"b\"")),
                   "twice");
  assert_rejected (TABLE (ROUTE ("/x/", "\"split\":[{\"service\":\"a\","
                                        "\"weight\":0}]")),
                   "weights");
  assert_rejected (TABLE (ROUTE ("x", "\"service\":\"a\"")), "slash");
  assert_rejected ("{\"version\":0,\"base_version\":0," SERVICES
                   ",\"hosts\":[]}",
                   "version");
}
END_TEST

/* Guards against rejecting an objective that is less than
   AB_OBJECTIVE_OVER_TIMEOUT_MS above the timeout, and unknown members of later
   versions.  */
START_TEST (accepts_unusual_but_valid)
{
  struct ab_route_table *table = parse (
      TABLE ("{\"name\":\"r\",\"prefix\":\"/\",\"kind\":\"once\",\"later\":{},"
             "\"timeout_ms\":10,\"objective_ms\":60009,\"service\":\"a\"}"));

  ck_assert_uint_eq (ab_route_table_route_count (table), 1);
  ck_assert (ab_route_table_has_host (table, AB_CHUNK ("shop.example")));
  ab_route_table_unref (table);
}
END_TEST

#define TEAMS(list)                                                           \
  "{\"version\":7,\"base_version\":5," SERVICES                               \
  ",\"hosts\":[{\"host\":\"h\",\"prefixes\":["                                \
  "{\"name\":\"r\",\"prefix\":\"/x/\",\"kind\":\"once\","                     \
  "\"timeout_ms\":9,\"service\":\"a\",\"no_key\":true}]}],"                   \
  "\"teams\":[" list "]}"

/* Guards against a key that names another team than its own, and against a
   limit that is lost in parsing.  */
START_TEST (finds_teams_by_key)
{
  struct ab_route_table *table
      = parse (TEAMS ("{\"name\":\"zeta\",\"keys\":[\"k1\",\"k2\"],"
                      "\"priority\":1,\"rate_per_s\":425,\"burst\":0.5},"
                      "{\"name\":\"alpha\",\"keys\":[\"k3\"]},"
                      "{\"name\":\"none\",\"keys\":[]}"));
  const struct ab_fleet_team *team
      = ab_route_table_find_key (table, AB_CHUNK ("k2"));

  ck_assert (ab_route_table_has_teams (table));
  ck_assert_uint_eq (ab_route_table_team_count (table), 3);
  ck_assert_ptr_nonnull (team);
  ck_assert_str_eq (team->name, "zeta");
  ck_assert_uint_eq (team->priority, 1);
  ck_assert_uint_eq (team->rate_per_s, 425);
  ck_assert_uint_eq (team->burst, 1);
  ck_assert_ptr_eq (ab_route_table_find_team (table, AB_CHUNK ("zeta")), team);
  team = ab_route_table_find_key (table, AB_CHUNK ("k3"));
  ck_assert_ptr_nonnull (team);
  ck_assert_str_eq (team->name, "alpha");
  ck_assert_uint_eq (team->rate_per_s, 0);
  ck_assert_ptr_null (ab_route_table_find_key (table, AB_CHUNK ("k")));
  ck_assert_ptr_null (ab_route_table_find_key (table, AB_CHUNK ("")));
  ck_assert_ptr_null (ab_route_table_find_team (table, AB_CHUNK ("k3")));
  ck_assert (
      ab_route_table_find (table, AB_CHUNK ("h"), AB_CHUNK ("/x/"))->no_key);
  ab_route_table_unref (table);
}
END_TEST

/* Guards against bundles in which a key or a name belongs to two teams.  */
START_TEST (rejects_invalid_teams)
{
  assert_rejected (TEAMS ("{\"name\":\"a\",\"keys\":[\"k\"]},"
                          "{\"name\":\"b\",\"keys\":[\"k\"]}"),
                   "key");
  assert_rejected (TEAMS ("{\"name\":\"a\"},{\"name\":\"a\"}"), "name");
  assert_rejected (TEAMS ("{\"name\":\"\"}"), "name");
  assert_rejected (TEAMS ("{\"name\":\"a\\r\\nB: c\"}"), "name");
  assert_rejected (TEAMS ("{\"name\":\"a\",\"keys\":\"k\"}"), "keys");
  assert_rejected (TEAMS ("{\"name\":\"a\",\"keys\":[7]}"), "key");
  assert_rejected (TEAMS ("{\"name\":\"a\",\"burst\":-1}"), "burst");
  assert_rejected (TEAMS ("7"), "name");
  ab_route_table_unref (
      parse (TEAMS ("{\"name\":\"a\",\"keys\":[\"k\",\"k\"]}")));
}
END_TEST

/* Guards against a key in the log: the reason why a bundle is invalid is
   logged and sent to the operator.  */
START_TEST (reasons_hold_no_key)
{
  static const char *const texts[]
      = { "{\"teams\":[{\"keys\":[\"hidden-1\" \"hidden-2\"]}]}",
          "{\"teams\":[{\"keys\":[\"hidden-1\\q\"]}]}",
          "{\"teams\":[{\"keys\":{\"hidden-1\":1,\"hidden-1\":2}}]}",
          "{\"teams\":[{\"keys\":[hidden-1]}]}",
          "{\"teams\":[{\"keys\":[\"hidden-1" };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct ab_route_table *table;
      char error[AB_CONF_ERROR_BYTES];
      ck_assert_int_eq (
          ab_route_table_parse (ab_chunk_str (texts[i]), &table, error),
          AB_ERR_INVALID);
      ck_assert_msg (!strstr (error, "hidden"), "%s", error);
      ck_assert_ptr_nonnull (strstr (error, "line 1"));
    }
}
END_TEST

#define PREFIX_LEN 100

/* Of AddressSanitizer, whose heap mallinfo2 does not see.  */
extern size_t
sanitizer_heap_bytes (void) __asm__("__sanitizer_get_current_allocated_bytes")
    __attribute__ ((weak));

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return sanitizer_heap_bytes ? sanitizer_heap_bytes ()
                              : info.uordblks + info.hblkhd;
}

/* Returns the bytes of heap that a table of COUNT routes takes, each with a
   host of its own.  */
static size_t
heap_of_routes (int count)
{
  struct ab_buf text = AB_BUF_INIT;
  struct ab_route_table *table;
  size_t before;
  size_t taken;

  ab_buf_append_str (&text, "{\"version\":7,\"base_version\":5," SERVICES
                            "," LIMITS ",\"hosts\":[");
  for (int i = 0; i < count; i++)
    ab_buf_printf (&text,
                   "%s{\"host\":\"host-%d.example\",\"prefixes\":["
                   "{\"name\":\"r%d\",\"prefix\":\"/%0*d/\",\"kind\":"
                   "\"once\",\"timeout_ms\":1000,\"service\":\"a\"}]}",
                   i ? "," : "", i, i, PREFIX_LEN, i);
  ab_buf_append_str (&text, "]}");
  before = heap_bytes ();
  table = parse (text.data);
  taken = heap_bytes () - before;
  ck_assert_uint_eq (ab_route_table_route_count (table), count);
  ck_assert_uint_gt (taken, 0);
  ck_assert_uint_lt (taken, 4 * text.len);
  ab_route_table_unref (table);
  ab_buf_free (&text);
  return taken;
}

/* Guards against a table whose memory grows with the product of its routes and
   hosts.  */
START_TEST (memory_grows_with_routes)
{
  size_t least = heap_of_routes (500);

  for (int factor = 2; factor <= 8; factor *= 2)
    ck_assert_uint_lt (heap_of_routes (500 * factor),
                       least * (size_t)factor * 5 / 4);
}
END_TEST

/* Guards against routes that are never found because their host is written
   with a port, and against IPv6 addresses that are taken for each other.  */
START_TEST (finds_hosts_with_ports)
{
  struct ab_route_table *table = parse (
      "{\"version\":7,\"base_version\":5," SERVICES "," LIMITS
      ",\"hosts\":[{\"host\":\"a.example:80\",\"prefixes\":[" ROUTE (
          "/x/", "\"service\":\"a\"") "]},"
                                      "{\"host\":\"[2001:db8::1]\","
                                      "\"prefixes\":[" ROUTE (
                                          "/x/", "\"service\":\"b\"") "]}]"
                                                                      "}");

  ck_assert_ptr_nonnull (
      ab_route_table_find (table, AB_CHUNK ("A.example"), AB_CHUNK ("/x/1")));
  ck_assert_ptr_nonnull (ab_route_table_find (
      table, AB_CHUNK ("[2001:db8::1]:8080"), AB_CHUNK ("/x/1")));
  ck_assert_ptr_null (ab_route_table_find (table, AB_CHUNK ("[2001:db8::2]"),
                                           AB_CHUNK ("/x/1")));
  ck_assert (ab_route_table_has_host (table, AB_CHUNK ("a.example:443")));
  ck_assert (!ab_route_table_has_host (table, AB_CHUNK ("a.exampl")));
  ab_route_table_unref (table);
}
END_TEST

SUITE_MAIN ("route_table", 10, memory_grows_with_routes,
            finds_hosts_with_ports, finds_longest_prefix, splits_by_weight,
            accepts_all_kinds, rejects_invalid, accepts_unusual_but_valid,
            finds_teams_by_key, rejects_invalid_teams, reasons_hold_no_key)
