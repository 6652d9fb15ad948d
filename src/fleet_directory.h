/* The directory of a fleet's entry hosts that a control host sends to them.

   An entry host needs all hosts of its own failure domain, whose addresses it
   gives to callers, and from every other domain the hosts that may schedule
   requests.  So each failure domain has a list of its own, whose length grows
   with the hosts of that domain and the number of domains, not with all hosts
   of the fleet.  The list is encoded once for all hosts of the domain.  No
   I/O.

   The AB_DIRECTORY_SCHEDULERS hosts of a domain with the widest links may
   schedule requests.  Ties are broken by a hash of the name, so that all
   control hosts that know the same hosts mark the same ones.  */

#ifndef AB_FLEET_DIRECTORY_H
#define AB_FLEET_DIRECTORY_H

#include "fleet_watch.h"

#define AB_DIRECTORY_SCHEDULERS 8

struct ab_directory;

struct ab_directory *ab_directory_new (void);
void ab_directory_free (struct ab_directory *directory);

/* Replace all hosts by those that are added between ab_directory_begin and
   ab_directory_end.  A host that is added twice counts once.  ab_directory_add
   returns 0, AB_ERR_MEMORY or AB_ERR_FULL; on an error the host is missing
   until the directory is filled again.  */
void ab_directory_begin (struct ab_directory *directory);
int ab_directory_add (struct ab_directory *directory,
                      const struct ab_fleet_host *host);
/* Returns whether the list of any failure domain has changed.  */
bool ab_directory_end (struct ab_directory *directory);

/* Returns whether the host with the peer address PEER may schedule
   requests.  */
bool ab_directory_may_schedule (const struct ab_directory *directory,
                                const char *peer);
/* Returns the number of entry hosts in all domains.  */
size_t ab_directory_count (const struct ab_directory *directory);

/* Returns a hash of the content of the list for FAILURE_DOMAIN.  */
uint64_t ab_directory_version (const struct ab_directory *directory,
                               const char *failure_domain);
/* Appends the list for FAILURE_DOMAIN to OUT, as an array of hosts.  */
void ab_directory_pack (const struct ab_directory *directory,
                        const char *failure_domain, struct ab_buf *out);

#endif
