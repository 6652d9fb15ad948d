/* Encoding of the frames that almondbridge processes send to each other.

   A frame is the msgpack array [version, type, sender, incarnation, body].
   The layout of the body is defined by the module that handles the type.
   No I/O.  */

#ifndef AB_FRAME_H
#define AB_FRAME_H

#include <stdint.h>

#include "buf.h"
#include "chunk.h"

#define AB_FRAME_VERSION 1
#define AB_FRAME_BYTES_MAX (1024 * 1024)
#define AB_HOST_NAME_BYTES 64 /* Including the null byte.  */

enum ab_frame_type
{
  AB_FRAME_RAFT = 1,
  AB_FRAME_PING,
  AB_FRAME_ACK,
  AB_FRAME_PING_REQUEST, /* Requests a probe of a third host.  */
  AB_FRAME_DELTA,
  AB_FRAME_DIGEST,
  AB_FRAME_REPAIR,
  AB_FRAME_BUNDLE_HAVE,
  AB_FRAME_BUNDLE_GET,
  AB_FRAME_BUNDLE_DATA,
  AB_FRAME_BUNDLE_APPLY,
  AB_FRAME_BUNDLE_REPLY,
  AB_FRAME_LEDGER_CLAIM,
  AB_FRAME_LEDGER_COMPLETE,
  AB_FRAME_LEDGER_RELEASE,
  AB_FRAME_LEDGER_QUERY,
  AB_FRAME_LEDGER_REPLY,
  AB_FRAME_PERMIT_ACQUIRE,
  AB_FRAME_PERMIT_RELEASE,
  AB_FRAME_PERMIT_GRANT,
  AB_FRAME_PERMIT_REVOKE,
  AB_FRAME_DISPATCH_SLOT_REQUEST,
  AB_FRAME_DISPATCH_GRANT,
  AB_FRAME_DISPATCH_REFUSE,
  AB_FRAME_DISPATCH_OUTCOME,
  AB_FRAME_EVIDENCE,
  AB_FRAME_LIMIT_DEMAND,
  AB_FRAME_LIMIT_SHARE,
  AB_FRAME_MEMBER_CHANGE, /* Adds, removes or replaces a control member.  */
  AB_FRAME_MEMBER_REPLY,
  AB_FRAME_GROUP_HELLO,  /* A control host requests to join the group.  */
  AB_FRAME_GROUP_INFO,   /* The group's members and leader.  */
  AB_FRAME_FLEET_CHANGE, /* Requests a fleet state change from the leader.  */
  AB_FRAME_FLEET_RESULT,
  AB_FRAME_FLEET_READ,  /* Requests a confirmed log index from the leader.  */
  AB_FRAME_FLEET_HOSTS, /* Entry hosts connected to a control host.  */
  AB_FRAME_FLEET_WATCH, /* An entry host requests missing updates.  */
  AB_FRAME_FLEET_VIEW,
  AB_FRAME_SCHED_SLOT_REQUEST,
  AB_FRAME_SCHED_REPLY,
  AB_FRAME_SCHED_OUTCOME,
  AB_FRAME_FLEET_HEARTBEAT, /* The list in FLEET_HOSTS is unchanged.  */
  AB_FRAME_RATE_LIMIT,      /* What a host knows of a target's limit.  */
  AB_FRAME_FLEET_REPORTS,   /* Requests that crashed targets.  */
  AB_FRAME_FLEET_REPORTS_ACK,
  AB_FRAME_TEAM_TOKENS, /* A gateway asks for tokens of a team.  */
  AB_FRAME_TEAM_TOKENS_REPLY,
  AB_FRAME_TEAM_RETURN, /* Tokens of requests that were never sent.  */
  AB_FRAME_TEAM_POOL,   /* A control host asks the leader for tokens.  */
  AB_FRAME_TEAM_POOL_REPLY,
  AB_FRAME_TEAM_DEMAND, /* A control host asks the leader for leases.  */
  AB_FRAME_TEAM_LEASES,
  AB_FRAME_SCHED_IN_FLIGHT, /* Attempts that another scheduler granted.  */
  AB_FRAME_TYPE_COUNT
};

struct ab_frame
{
  enum ab_frame_type type;
  struct ab_chunk sender; /* Name of the sending host.  */
  uint64_t incarnation;   /* Incarnation of the sending process.  */
  struct ab_chunk body;
};

/* Appends the encoding of FRAME to OUT.  Returns 0, AB_ERR_TOO_LARGE when the
   encoding exceeds AB_FRAME_BYTES_MAX, or AB_ERR_MEMORY.  */
int ab_frame_encode (const struct ab_frame *frame, struct ab_buf *out);

/* Decodes INPUT into FRAME, whose chunks point into INPUT.  Returns 0,
   AB_ERR_VERSION for an unknown protocol version or frame type,
   AB_ERR_CORRUPT, or AB_ERR_TOO_LARGE.  */
int ab_frame_decode (struct ab_chunk input, struct ab_frame *frame);

/* Returns the name of TYPE as used in logs and metrics; "unknown" for a value
   that is no type.  */
const char *ab_frame_type_name (enum ab_frame_type type);

#endif
