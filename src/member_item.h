/* Items of the membership view and their form on the wire.

   An item is ordered by incarnation, then version, then rank of its state;
   the greater one wins wherever two meet, so late news never wins.  Only its
   owner raises the version: a host its own, a registrar its targets'.  Others
   may only raise the rank of a host's state (suspected, gone).  */

#ifndef AB_MEMBER_ITEM_H
#define AB_MEMBER_ITEM_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "digest.h"
#include "pack.h"
#include "settings.h"

/* Hosts that must have missed a host's answers before it may be declared
   gone.  */
#define AB_ACCUSERS_MAX 2
/* Largest encoding of one item.  */
#define AB_ITEM_BYTES_MAX 768

enum ab_host_state
{
  AB_HOST_ALIVE,
  AB_HOST_SUSPECT,
  AB_HOST_LEAVING,
  AB_HOST_GONE
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
  bool ready; /* Has an accepted bundle and a view of targets.  */
};

enum ab_target_state
{
  AB_TARGET_ACTIVE,
  AB_TARGET_DRAINING,
  AB_TARGET_GONE
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
  uint64_t since_ms; /* Monotonic time when this host learned of it.  */
};

/* A request that crashed targets.  With a TARGET it has crashed that one only
   and is let through; a host that sees it crash another one makes it refused.
   Without, requests with this content are refused.  */
struct ab_quarantine_view
{
  struct ab_digest content;
  uint64_t until_wall_ms;     /* 0 once released.  */
  char reason[AB_NAME_BYTES]; /* The targets' service.  */
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
  uint64_t key; /* Hash of kind and name.  */
  uint64_t incarnation;
  uint64_t version;
  uint32_t check;  /* Hash of the content.  */
  uint64_t age_ms; /* Of a state that is kept only for a while.  */
  /* Hosts.  */
  char accusers[AB_ACCUSERS_MAX][AB_NAME_BYTES]; /* In order of names.  */
  size_t accuser_count;
  /* Targets.  */
  uint64_t lease_ms;
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

/* Sets KEY and CHECK after a change of the content.  */
void ab_item_seal (struct ab_item *item);

/* Whether the two are versions of the same thing; keys are only hashes.  */
bool ab_item_same (const struct ab_item *a, const struct ab_item *b);

/* Below 0, 0 or above 0 as A is older than, equal to or newer than B.  */
int ab_item_compare (const struct ab_item *a, const struct ab_item *b);

/* Whether the item only tells that something has ended.  */
bool ab_item_gone (const struct ab_item *item);

/* Adds NAME to the accusers of a suspected host; false when it is there or
   enough with smaller names are.  */
bool ab_item_accuse (struct ab_item *item, const char *name);

/* Encoding; readers check READER's error at the end.  */
void ab_item_pack (const struct ab_item *item, struct ab_buf *out);
void ab_item_read (struct ab_reader *reader, struct ab_item *item);

#endif
