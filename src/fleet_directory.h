/* The entry hosts of a fleet, as a control host tells them to others.

   An entry host needs all hosts of its own failure domain, which it names to
   callers, and those of the others that may schedule requests.  So each
   failure domain has a list of its own, which grows with the hosts of a domain
   and the number of domains, not with all hosts; it is packed once for all
   hosts of the domain.  No I/O.

   The hosts of a domain that may schedule are its AB_DIRECTORY_SCHEDULERS with
   the widest links; ties are broken by name, so that every control host that
   knows the same hosts marks the same ones.  */

#ifndef AB_FLEET_DIRECTORY_H
#define AB_FLEET_DIRECTORY_H

#include "fleet_watch.h"

#define AB_DIRECTORY_SCHEDULERS 8

struct ab_directory;

struct ab_directory *ab_directory_new (void);
void ab_directory_free (struct ab_directory *directory);

/* The hosts are replaced: those added between begin and end are known then.
   A host that is added twice counts once.  AB_ERR_MEMORY: a host is missing
   until the next time.  */
void ab_directory_begin (struct ab_directory *directory);
int ab_directory_add (struct ab_directory *directory,
                      const struct ab_fleet_host *host);
/* Returns whether any list has changed.  */
bool ab_directory_end (struct ab_directory *directory);

/* Whether the host PEER may schedule.  */
bool ab_directory_schedules (const struct ab_directory *directory,
                             const char *peer);
size_t ab_directory_count (const struct ab_directory *directory);

/* Names the content of the list for FAILURE_DOMAIN.  */
uint64_t ab_directory_version (const struct ab_directory *directory,
                               const char *failure_domain);
/* Appends that list, an array of hosts.  */
void ab_directory_pack (const struct ab_directory *directory,
                        const char *failure_domain, struct ab_buf *out);

#endif
