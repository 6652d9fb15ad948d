/* Routes, services, limits and teams of a fleet's bundle.

   The text is a JSON object; docs/fleet.md describes it.  A table is immutable
   once parsed and is shared by reference count.  Requests keep the table that
   they began with, so that several may be in memory: a table takes memory in
   proportion to its text.  Durations are in milliseconds.  No I/O.  */

#ifndef AB_ROUTE_TABLE_H
#define AB_ROUTE_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chunk.h"
#include "conf.h"
#include "settings.h"
#include "team_table.h"

#define AB_ROUTE_PATH_BYTES 512
#define AB_ROUTE_HOST_BYTES 256
#define AB_ROUTE_SHARES_MAX 16
/* A latency objective that exceeds the timeout by this much is rejected as a
   mistake.  */
#define AB_OBJECTIVE_OVER_TIMEOUT_MS 60000

/* A share of a route's requests that goes to one service.  WEIGHT is relative
   to the sum of the route's weights.  */
struct ab_route_share
{
  size_t service; /* Index into the table's services.  */
  uint64_t weight;
};

/* Texts are followed by a null byte.  */
struct ab_fleet_route
{
  struct ab_chunk name;
  struct ab_chunk host; /* In lower case, without a port.  */
  struct ab_chunk prefix;
  bool idempotent;
  /* Responses are large: targets in the gateway's failure domain are
     preferred.  */
  bool large;
  uint64_t priority; /* 0 is served first.  */
  uint64_t timeout_ms;
  uint64_t objective_ms; /* Latency objective.  */
  uint64_t attempts;     /* Maximum number of targets that one request is sent
                            to.  */
  struct ab_route_share *shares;
  size_t share_count;
  uint64_t weight_sum;
  bool no_key; /* Requests need no key of a team.  */
};

struct ab_fleet_service
{
  char name[AB_NAME_BYTES];
  struct ab_chunk probe_path; /* Empty: none.  */
  /* Limit of a target's connections from all hosts together.  */
  uint64_t connections;
};

struct ab_caller_limits
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  uint64_t header_time_ms;
  uint64_t idle_time_ms;
};

struct ab_route_table;

/* Parses and validates TEXT into a new *TABLE.  Returns 0, AB_ERR_INVALID with
   the reason in ERROR, or AB_ERR_MEMORY.  */
int ab_route_table_parse (struct ab_chunk text, struct ab_route_table **table,
                          char error[AB_CONF_ERROR_BYTES]);

struct ab_route_table *ab_route_table_ref (struct ab_route_table *table);
void ab_route_table_unref (struct ab_route_table *table);

uint64_t ab_route_table_version (const struct ab_route_table *table);
/* Returns the version that this one was derived from; 0 for the first.  */
uint64_t ab_route_table_base (const struct ab_route_table *table);
const struct ab_caller_limits *
ab_route_table_limits (const struct ab_route_table *table);

size_t ab_route_table_route_count (const struct ab_route_table *table);
const struct ab_fleet_service *
ab_route_table_service (const struct ab_route_table *table, size_t index);
/* Returns the service NAME, or null.  */
const struct ab_fleet_service *
ab_route_table_find_service (const struct ab_route_table *table,
                             struct ab_chunk name);

/* Returns the route of HOST with the longest prefix of PATH, or null.  The
   port and the case of HOST are ignored.  */
const struct ab_fleet_route *
ab_route_table_find (const struct ab_route_table *table, struct ab_chunk host,
                     struct ab_chunk path);

/* Returns whether any route names HOST.  */
bool ab_route_table_has_host (const struct ab_route_table *table,
                              struct ab_chunk host);

/* Returns whether callers need the key of a team.  */
bool ab_route_table_has_teams (const struct ab_route_table *table);
size_t ab_route_table_team_count (const struct ab_route_table *table);
/* Return the team with that name or key, or null.  */
const struct ab_fleet_team *
ab_route_table_find_team (const struct ab_route_table *table,
                          struct ab_chunk name);
const struct ab_fleet_team *
ab_route_table_find_key (const struct ab_route_table *table,
                         struct ab_chunk key);

/* Returns the index of the service for a request on ROUTE.  DRAW is a random
   number; each share is chosen in proportion to its weight.  */
size_t ab_fleet_route_choose (const struct ab_fleet_route *route,
                              uint64_t draw);

#endif
