/* Items of the membership view and their encoding in messages.  No I/O.

   Items are ordered by incarnation, then version, then rank of the state; of
   two versions of an item the greater one wins on every host, so that a late
   update never overrides a newer one.  Only an item's owner raises its
   version: the host itself, or the registrar of a target.
   Other hosts may only raise the rank of a host's state (suspected, dead).  */

#ifndef AB_MEMBER_ITEM_H
#define AB_MEMBER_ITEM_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "digest.h"
#include "pack.h"
#include "settings.h"

/* Number of hosts that must suspect a host before it may be declared dead.  */
#define AB_SUSPECTING_HOSTS_MAX 2
/* Size of the largest encoded item.  */
#define AB_ITEM_BYTES_MAX 768

enum ab_host_state
{
  AB_HOST_ALIVE,
  AB_HOST_SUSPECT,
  AB_HOST_LEAVING,
  AB_HOST_DEAD
};

struct ab_host_view
{
  char name[AB_NAME_BYTES];
  enum ab_role role;
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  char callers[AB_ADDRESS_BYTES]; /* Empty for control hosts.  */
  char peers[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES];
  uint64_t incarnation;
  enum ab_host_state state;
  bool ready; /* It has an accepted bundle and a view of targets.  */
};

enum ab_target_state
{
  AB_TARGET_ACTIVE,
  AB_TARGET_DRAINING,
  AB_TARGET_REMOVED
};

struct ab_target_view
{
  char service[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES]; /* Identifies the target in the service.  */
  uint64_t slots;
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  uint64_t incarnation;
  enum ab_target_state state;
  char registrar[AB_NAME_BYTES];
  uint64_t since_ms; /* When this host learned of it, monotonic.  */
};

/* A request that crashed targets.  With TARGET set, the request has crashed
   that target only and is still admitted; when a host sees it crash a second
   target, it is refused.  With TARGET empty, requests with this content are
   refused.  */
struct ab_quarantine_view
{
  struct ab_digest content;
  /* End of the quarantine, wall-clock time; 0 once released.  */
  uint64_t until_wall_ms;
  char service[AB_NAME_BYTES]; /* Service of the crashed targets.  */
  char target[AB_ADDRESS_BYTES];
};

enum ab_item_kind
{
  AB_ITEM_HOST = 1,
  AB_ITEM_TARGET,
  AB_ITEM_QUARANTINE
};

struct ab_item
{
  enum ab_item_kind kind;
  uint64_t key; /* Hash of the kind and the identity.  */
  uint64_t incarnation;
  uint64_t version;
  uint32_t content_hash; /* Breaks ties of versions.  */
  uint64_t age_ms;       /* Time since an ended item ended; 0 otherwise.  */
  /* Hosts only.  */
  char suspecting_hosts[AB_SUSPECTING_HOSTS_MAX][AB_NAME_BYTES]; /* Sorted.  */
  size_t suspecting_count;
  uint64_t lease_ms; /* Targets only.  */
  union
  {
    struct ab_host_view host;
    struct ab_target_view target;
    struct ab_quarantine_view quarantine;
  };
};

uint64_t ab_item_host_key (struct ab_chunk name);
uint64_t ab_item_target_key (struct ab_chunk service, struct ab_chunk address);
uint64_t ab_item_quarantine_key (const struct ab_digest *content);

/* Updates the key, the content hash and the copy of the incarnation in the
   view; must be called after each change of the content.  */
void ab_item_update_hashes (struct ab_item *item);

/* Whether A and B describe the same host, target or request.  Equal keys do
   not prove it, as they are hashes.  */
bool ab_item_same_identity (const struct ab_item *a, const struct ab_item *b);

/* Returns a number below, equal to or above 0 when A is older than, equal to
   or newer than B.  */
int ab_item_compare (const struct ab_item *a, const struct ab_item *b);

/* Whether ITEM is a tombstone: a dead host, a removed target or a released
   quarantine.  */
bool ab_item_ended (const struct ab_item *item);

/* Adds NAME to the hosts that suspect the host of ITEM.  Returns false when
   it is listed already, or the list is full of names that sort before it.  */
bool ab_item_add_suspecting_host (struct ab_item *item, const char *name);

/* Appends the encoded ITEM to OUT.  */
void ab_item_pack (const struct ab_item *item, struct ab_buf *out);
/* Decodes an item.  Errors are set in READER (AB_ERR_CORRUPT), which the
   caller checks at the end.  */
void ab_item_read (struct ab_reader *reader, struct ab_item *item);

#endif
