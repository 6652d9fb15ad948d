/* The bundle: services, routes, teams and rules for retries.

   The reference is docs/bundle.md.  A bundle is immutable once parsed and is
   shared by reference count.  Durations are in milliseconds.  */

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
#define AB_PREFIX_BYTES 128 /* Route prefixes, with null.  */
#define AB_SERVICES_MAX 4096
#define AB_ROUTES_MAX 16384
#define AB_TEAMS_MAX 131072
#define AB_CREDENTIALS_MAX 16
#define AB_PRIORITY_MAX 3

/* Bits of struct ab_route's METHODS.  */
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
  uint64_t slots;       /* Of a target that announces none.  */
  uint64_t connections; /* To one target, over the whole fleet.  */
  double floor;         /* Fraction of announced capacity kept in service.  */
  double detection_weight;       /* 0: fewest false ejections; 1: fastest.  */
  uint64_t queue;                /* Requests that wait in one dispatcher.  */
  uint64_t slow_start_ms;        /* From announcement to full share.  */
  struct ab_digest *credentials; /* Of the tokens that targets present.  */
  size_t credential_count;
};

struct ab_route
{
  char prefix[AB_PREFIX_BYTES]; /* Matches whole path segments.  */
  unsigned methods;             /* Of enum ab_method; 0 for all.  */
  char service_name[AB_NAME_BYTES];
  size_t service;                 /* Index into the bundle's services.  */
  char class_name[AB_NAME_BYTES]; /* Requests of one cost.  */
  uint64_t priority;   /* 0 is served last, AB_PRIORITY_MAX first.  */
  bool idempotent;     /* False: runs at most once, needs a key.  */
  uint64_t timeout_ms; /* Deadline of a request that gives none.  */
};

struct ab_team
{
  char name[AB_NAME_BYTES];
  struct ab_digest credential; /* Of the token that callers present.  */
  double rate;                 /* Requests a second; 0 for no bound.  */
  uint64_t concurrency;        /* Requests in flight; 0 for no bound.  */
};

struct ab_retry_rules
{
  double budget;     /* Retries as a fraction of requests.  */
  uint64_t attempts; /* For one request, the first included.  */
};

struct ab_bundle;

/* Parses and checks TEXT, named NAME in messages, into a new *BUNDLE.  On
   failure ERROR holds "FILE:LINE: ...".  */
int ab_bundle_parse (const char *name, struct ab_chunk text,
                     struct ab_bundle **bundle,
                     char error[AB_CONF_ERROR_BYTES]);

/* Reference count; ab_bundle_unref of null does nothing.  */
struct ab_bundle *ab_bundle_ref (struct ab_bundle *bundle);
void ab_bundle_unref (struct ab_bundle *bundle);

/* Queries.  */
uint64_t ab_bundle_version (const struct ab_bundle *bundle);
const struct ab_digest *ab_bundle_digest (const struct ab_bundle *bundle);
uint64_t ab_bundle_retention_ms (const struct ab_bundle *bundle);
const struct ab_retry_rules *ab_bundle_retry (const struct ab_bundle *bundle);
bool ab_bundle_anonymous (const struct ab_bundle *bundle);

size_t ab_bundle_service_count (const struct ab_bundle *bundle);
const struct ab_service *ab_bundle_service (const struct ab_bundle *bundle,
                                            size_t index);
size_t ab_bundle_route_count (const struct ab_bundle *bundle);
const struct ab_route *ab_bundle_route (const struct ab_bundle *bundle,
                                        size_t index);
size_t ab_bundle_team_count (const struct ab_bundle *bundle);
const struct ab_team *ab_bundle_team (const struct ab_bundle *bundle,
                                      size_t index);

/* The service called NAME, or null.  */
const struct ab_service *
ab_bundle_find_service (const struct ab_bundle *bundle, struct ab_chunk name);

/* The route with the longest prefix of PATH (without query) that allows
   METHOD, or null.  */
const struct ab_route *ab_bundle_find_route (const struct ab_bundle *bundle,
                                             enum ab_method method,
                                             struct ab_chunk path);

/* The team whose credential is the digest of TOKEN, or null.  */
const struct ab_team *ab_bundle_find_team (const struct ab_bundle *bundle,
                                           struct ab_chunk token);

/* Whether TOKEN lets a target announce itself for SERVICE.  */
bool ab_service_admits (const struct ab_service *service,
                        struct ab_chunk token);

/* The bit of a method's name, as "GET"; 0 when it is unknown.  */
unsigned ab_method_parse (struct ab_chunk name);
const char *ab_method_name (enum ab_method method);

#endif
