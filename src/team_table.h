/* Teams of a fleet's bundle and the keys by which callers name theirs.

   A table is built from the member "teams" of a bundle's JSON text
   (docs/fleet.md) and is not changed after that.  Keys are kept and compared
   as keyed digests under a secret of the table, so that the time of a lookup
   says nothing about a key.  No I/O.  */

#ifndef AB_TEAM_TABLE_H
#define AB_TEAM_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chunk.h"
#include "conf.h"
#include "settings.h"

#define AB_FLEET_TEAMS_MAX 131072
#define AB_TEAM_KEY_BYTES_MAX 255

struct ab_fleet_team
{
  char name[AB_NAME_BYTES];
  uint64_t priority;   /* Precedes the priority of routes; 0 is first.  */
  uint64_t rate_per_s; /* Requests per second over all hosts; 0: no limit.  */
  uint64_t burst;      /* Requests beyond RATE_PER_S at once.  */
};

struct ab_team_table;

/* Reads LIST into a new *TABLE.  Returns 0, AB_ERR_INVALID with the reason,
   which names no key, in ERROR, AB_ERR_MEMORY or AB_ERR_UNAVAILABLE.  */
int ab_team_table_read (const json_t *list, struct ab_team_table **table,
                        char error[AB_CONF_ERROR_BYTES]);
void ab_team_table_free (struct ab_team_table *table);

size_t ab_team_table_count (const struct ab_team_table *table);
/* Return the team, or null.  */
const struct ab_fleet_team *
ab_team_table_find (const struct ab_team_table *table, struct ab_chunk name);
const struct ab_fleet_team *
ab_team_table_find_key (const struct ab_team_table *table,
                        struct ab_chunk key);

#endif
