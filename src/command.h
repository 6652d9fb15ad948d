/* Commands of the replicated state machine, requests of control clients, and
   their encodings.

   A client's request is encoded as the command that it requests.  The leader
   replaces the time and the sender by the values that it knows and proposes
   the command.  No I/O.  */

#ifndef AB_COMMAND_H
#define AB_COMMAND_H

#include "ledger.h"
#include "permit.h"
#include "signed_bundle.h"

#define AB_OPERATOR_BYTES AB_NAME_BYTES
#define AB_CONTROL_MESSAGE_BYTES 256

enum ab_command_type
{
  AB_COMMAND_CLAIM = 1,
  AB_COMMAND_COMPLETE,
  AB_COMMAND_RELEASE,
  AB_COMMAND_PERMIT_SET,
  AB_COMMAND_BUNDLE,
  AB_COMMAND_CAPACITY,    /* Sets the number of a service's targets.  */
  AB_COMMAND_HOST_SEEN,   /* A host runs in a newer incarnation.  */
  AB_COMMAND_HOST_REMOVE, /* An operator has removed a host.  */
  AB_COMMAND_QUERY,       /* Requests only: reads a ledger record.  */
  AB_COMMAND_MEMBER,      /* Requests only: changes the control group.  */
  AB_COMMAND_TYPE_COUNT
};

/* Floor of one service, which the state machine needs from a bundle's text.
   The leader extracts the floors once and puts them into the command, so that
   replicas of different releases do not depend on equal parsers.  */
struct ab_floor
{
  char service[AB_NAME_BYTES];
  double floor;
};

struct ab_command
{
  enum ab_command_type type;
  uint64_t time_ms; /* Wall clock of the leader, Unix milliseconds.  */
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t request; /* Unique within the sending process.  */
  /* Ledger.  */
  struct ab_ledger_key key;
  struct ab_digest content;
  uint64_t attempt; /* For a release without a token.  */
  uint64_t token;
  struct ab_chunk response;
  /* Permits.  */
  char service[AB_NAME_BYTES];
  uint64_t sequence;
  uint64_t count;
  /* Bundle.  */
  char operator_name[AB_OPERATOR_BYTES];
  struct ab_chunk bundle; /* An encoded struct ab_signed_bundle.  */
  uint64_t retention_ms;
  struct ab_floor *floors; /* Owned by the command.  */
  size_t floor_count;
  /* Control group members.  */
  char action[AB_NAME_BYTES];
  char member[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
};

/* Appends COMMAND to OUT in its msgpack form.  Returns 0 or the error that OUT
   holds.  */
int ab_command_encode (const struct ab_command *command, struct ab_buf *out);

/* Decodes INPUT into COMMAND, whose chunks point into INPUT.  Returns 0,
   AB_ERR_CORRUPT, AB_ERR_TOO_LARGE, AB_ERR_MEMORY, or AB_ERR_VERSION for an
   unknown type.  The caller frees COMMAND after an error as well.  */
int ab_command_decode (struct ab_chunk input, struct ab_command *command);

/* Frees what COMMAND owns, not COMMAND itself.  */
void ab_command_free (struct ab_command *command);

/* Sets COMMAND's retention and floors from BUNDLE.  Returns 0 or
   AB_ERR_MEMORY.  */
int ab_command_set_bundle_parameters (struct ab_command *command,
                                      const struct ab_bundle *bundle);

/* Reply of a control host to a client's request.  */
struct ab_control_reply
{
  uint64_t request;
  uint64_t incarnation; /* Incarnation of the requesting process.  */
  /* 0; AB_ERR_NOT_LEADER, with the leader's name if it is known; AB_ERR_FULL
     if the request had no effect and will have none; or the result of a
     permit, bundle or member request.  */
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

/* Appends REPLY to OUT in its msgpack form.  Returns 0 or an error of OUT.  */
int ab_control_reply_encode (const struct ab_control_reply *reply,
                             struct ab_buf *out);

/* Decodes INPUT into REPLY, whose chunks point into INPUT.  Returns 0 or an
   error.  */
int ab_control_reply_decode (struct ab_chunk input,
                             struct ab_control_reply *reply);

#endif
