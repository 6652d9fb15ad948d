/* Commands of the replicated state machine, and requests of control clients.

   A client's request has the form of the command that it asks for; the leader
   puts in the time and the sender as it knows them and proposes it.  */

#ifndef AB_COMMAND_H
#define AB_COMMAND_H

#include "ledger.h"
#include "permit.h"
#include "signed_bundle.h"

#define AB_OPERATOR_BYTES AB_NAME_BYTES
#define AB_MESSAGE_BYTES 256

enum ab_command_type
{
  AB_COMMAND_CLAIM = 1,
  AB_COMMAND_COMPLETE,
  AB_COMMAND_RELEASE,
  AB_COMMAND_PERMIT_SET,
  AB_COMMAND_BUNDLE,
  AB_COMMAND_CAPACITY,    /* Number of a service's targets.  */
  AB_COMMAND_HOST_SEEN,   /* A host runs in a newer incarnation.  */
  AB_COMMAND_HOST_FORGET, /* An operator says that a host is gone.  */
  AB_COMMAND_QUERY,       /* Requests only: reads a ledger record.  */
  AB_COMMAND_MEMBER,      /* Requests only: changes the group.  */
  AB_COMMAND_TYPE_COUNT
};

/* What the state machine needs to know of a bundle's text.  The leader reads
   it once, so that replicas of different releases do not depend on their
   parsers being equal.  */
struct ab_floor
{
  char service[AB_NAME_BYTES];
  double floor;
};

struct ab_command
{
  enum ab_command_type type;
  uint64_t time_ms; /* The leader's wall clock.  */
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t request; /* Unique in the sending process.  */
  /* Ledger.  */
  struct ab_ledger_key key;
  struct ab_digest content;
  uint64_t attempt; /* Of a release without token.  */
  uint64_t token;
  struct ab_chunk response;
  /* Permits.  */
  char service[AB_NAME_BYTES];
  uint64_t sequence;
  uint64_t count;
  /* Bundle.  */
  char operator_name[AB_OPERATOR_BYTES];
  struct ab_chunk bundle; /* Encoded struct ab_signed_bundle.  */
  uint64_t retention_ms;
  struct ab_floor *floors; /* Owned.  */
  size_t floor_count;
  /* Members.  */
  char action[AB_NAME_BYTES];
  char member[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
};

/* Appends the msgpack form.  */
int ab_command_encode (const struct ab_command *command, struct ab_buf *out);

/* Reads it; chunks point into INPUT.  Free the command also after failure.
   AB_ERR_CORRUPT, AB_ERR_TOO_LARGE, AB_ERR_VERSION for an unknown type.  */
int ab_command_decode (struct ab_chunk input, struct ab_command *command);
void ab_command_free (struct ab_command *command);

/* Fills retention and floors from BUNDLE; AB_ERR_MEMORY.  */
int ab_command_set_bundle_facts (struct ab_command *command,
                                 const struct ab_bundle *bundle);

/* The leader's answer to a request.  */
struct ab_control_reply
{
  uint64_t request;
  uint64_t incarnation; /* Of the process that asked.  */
  /* 0, or AB_ERR_NOT_LEADER with the leader's name where it is known,
     AB_ERR_FULL when the request had no effect and will have none, or the
     outcome of a permit, bundle or member request.  */
  int rc;
  char leader[AB_NAME_BYTES];
  char leader_address[AB_ADDRESS_BYTES];
  struct ab_ledger_key key;
  enum ab_ledger_status status;
  uint64_t token;
  uint64_t held;
  struct ab_chunk holder;
  struct ab_chunk response;
  struct ab_chunk message;
};

int ab_control_reply_encode (const struct ab_control_reply *reply,
                             struct ab_buf *out);

/* Chunks point into INPUT.  */
int ab_control_reply_decode (struct ab_chunk input,
                             struct ab_control_reply *reply);

#endif
