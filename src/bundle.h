/* The bundle: the fleet's configuration of services, routes, teams and retry
   rules.

   docs/bundle.md is the reference of the format.  A parsed bundle is immutable
   and reference-counted; the count is not atomic.  Durations are in
   milliseconds.  No I/O.  */

#ifndef AB_BUNDLE_H
#define AB_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "conf.h"
#include "digest.h"
#include "settings.h"

#define AB_BUNDLE_BYTES_MAX (512 * 1024)
#define AB_PREFIX_BYTES 128 /* Route prefix with its null byte.  */
#define AB_SERVICES_MAX 4096
#define AB_ROUTES_MAX 16384
#define AB_TEAMS_MAX 131072
#define AB_CREDENTIALS_MAX 16
#define AB_PRIORITY_MAX 3

/* HTTP methods as bits of the METHODS member of struct ab_route.  */
enum ab_method
{
  AB_METHOD_GET = 1 << 0,
  AB_METHOD_HEAD = 1 << 1,
  AB_METHOD_POST = 1 << 2,
  AB_METHOD_PUT = 1 << 3,
  AB_METHOD_DELETE = 1 << 4,
  AB_METHOD_PATCH = 1 << 5
};

struct ab_service
{
  char name[AB_NAME_BYTES];
  /* Slots (concurrent requests) of a target that announces no number.  */
  uint64_t slots;
  /* Limit on connections to one target, over the whole fleet.  */
  uint64_t connections;
  /* Fraction of the announced capacity that ejection must leave in service,
     0 to 1.  */
  double floor;
  /* Trade-off of outlier detection: 0 for the fewest false ejections, 1 for
     the shortest detection time.  */
  double detection_weight;
  uint64_t queue; /* Requests that may wait in one dispatcher.  */
  /* Time from a target's announcement to its full share of the load.  */
  uint64_t slow_start_ms;
  /* Digests of the tokens that the service's targets present.  */
  struct ab_digest *credentials;
  size_t credential_count;
};

struct ab_route
{
  char prefix[AB_PREFIX_BYTES]; /* Matches whole path segments.  */
  unsigned methods;             /* Bits of enum ab_method; 0 for all.  */
  char service_name[AB_NAME_BYTES];
  size_t service; /* Index into the bundle's services.  */
  /* Cost class: latencies are compared within a class.  */
  char class_name[AB_NAME_BYTES];
  uint64_t priority; /* 0 is served last, AB_PRIORITY_MAX first.  */
  /* If false, a request runs at most once and needs an idempotency key.  */
  bool idempotent;
  uint64_t timeout_ms; /* Timeout of a request that states none.  */
};

struct ab_team
{
  char name[AB_NAME_BYTES];
  struct ab_digest credential; /* Digest of the token of its callers.  */
  double rate;                 /* Requests per second; 0 for no limit.  */
  uint64_t concurrency;        /* Requests in flight; 0 for no limit.  */
};

struct ab_retry_rules
{
  double budget;     /* Limit on retries, as a fraction of requests.  */
  uint64_t attempts; /* Limit for one request, the first included.  */
};

struct ab_bundle;

/* Parses and validates TEXT into a new *BUNDLE with one reference.  Messages
   call the text NAME.  Returns 0, AB_ERR_INVALID, AB_ERR_TOO_LARGE
   or AB_ERR_MEMORY.  After an error *BUNDLE is null and ERROR holds the
   message "NAME:LINE: ...", or is empty for AB_ERR_MEMORY.  */
int ab_bundle_parse (const char *name, struct ab_chunk text,
                     struct ab_bundle **bundle,
                     char error[AB_CONF_ERROR_BYTES]);

/* Take and drop a reference.  Null is allowed; ab_bundle_ref returns
   BUNDLE.  */
struct ab_bundle *ab_bundle_ref (struct ab_bundle *bundle);
void ab_bundle_unref (struct ab_bundle *bundle);

/* Accessors.  The pointers are valid as long as the bundle.  */
uint64_t ab_bundle_version (const struct ab_bundle *bundle);
const struct ab_digest *ab_bundle_digest (const struct ab_bundle *bundle);
uint64_t ab_bundle_retention_ms (const struct ab_bundle *bundle);
const struct ab_retry_rules *ab_bundle_retry (const struct ab_bundle *bundle);
/* Returns whether callers without a token are served.  */
bool ab_bundle_allows_anonymous (const struct ab_bundle *bundle);

size_t ab_bundle_service_count (const struct ab_bundle *bundle);
const struct ab_service *ab_bundle_service (const struct ab_bundle *bundle,
                                            size_t index);
size_t ab_bundle_route_count (const struct ab_bundle *bundle);
const struct ab_route *ab_bundle_route (const struct ab_bundle *bundle,
                                        size_t index);
size_t ab_bundle_team_count (const struct ab_bundle *bundle);
const struct ab_team *ab_bundle_team (const struct ab_bundle *bundle,
                                      size_t index);

/* Returns the service called NAME, or null.  */
const struct ab_service *
ab_bundle_find_service (const struct ab_bundle *bundle, struct ab_chunk name);

/* Returns the route that allows METHOD and has the longest matching prefix of
   PATH, or null.  PATH has no query.  */
const struct ab_route *ab_bundle_find_route (const struct ab_bundle *bundle,
                                             enum ab_method method,
                                             struct ab_chunk path);

/* Returns the team whose credential is the digest of TOKEN, or null.  */
const struct ab_team *ab_bundle_find_team (const struct ab_bundle *bundle,
                                           struct ab_chunk token);

/* Returns whether a target that presents TOKEN may announce itself for
   SERVICE.  */
bool ab_service_accepts_token (const struct ab_service *service,
                               struct ab_chunk token);

/* Returns the bit of a method's name such as "GET"; 0 if it is unknown.  */
unsigned ab_method_parse (struct ab_chunk name);
/* Returns the name of METHOD, or "unknown".  */
const char *ab_method_name (enum ab_method method);

#endif
