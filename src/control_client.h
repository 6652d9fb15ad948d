/* Requests from any host to the control group's leader.

   Finds the leader (a follower's refusal names it), repeats requests that got
   no answer, and drops answers that come too late.  All callbacks run from
   the event loop, exactly once for each request that was not cancelled.  */

#ifndef AB_CONTROL_CLIENT_H
#define AB_CONTROL_CLIENT_H

#include <jansson.h>

#include "daemon.h"
#include "ledger_key.h"
#include "signed_bundle.h"
#include "verdict.h"

enum ab_claim_result
{
  AB_CLAIM_GRANTED,      /* The caller of this function may send it.  */
  AB_CLAIM_RECORDED,     /* It ran before; the response is given.  */
  AB_CLAIM_MAY_HAVE_RUN, /* An earlier attempt's end is not known.  */
  AB_CLAIM_MISMATCH,     /* The key was used with other content.  */
  AB_CLAIM_EXPIRED,      /* Older than the retention: may have run.  */
  AB_CLAIM_FUTURE,       /* The key's time is ahead: not run.  */
  AB_CLAIM_UNAVAILABLE   /* The group did not answer in time: not run.  */
};

struct ab_claim;

/* TOKEN is the fencing token of a granted claim.  RESPONSE is null unless the
   result is AB_CLAIM_RECORDED and valid during the call.  HOLDER names the
   host that claimed the key first, for explanations; may be empty.  */
typedef void (*ab_claim_callback) (void *ctx, enum ab_claim_result result,
                                   uint64_t token,
                                   const struct ab_recorded_response *response,
                                   struct ab_chunk holder);

int ab_control_client_new (struct ab_daemon *daemon,
                           struct ab_control_client **client);
void ab_control_client_free (struct ab_control_client *client);

/* Claims KEY for a request whose content has the digest CONTENT.  While
   another attempt is in progress, waits for its end.  At DEADLINE_MS
   (monotonic) the result is AB_CLAIM_UNAVAILABLE when nothing is known, or
   AB_CLAIM_MAY_HAVE_RUN when another attempt is in progress.  A grant that
   comes later is released in the background.  */
struct ab_claim *ab_control_client_claim (struct ab_control_client *client,
                                          const struct ab_ledger_key *key,
                                          const struct ab_digest *content,
                                          uint64_t deadline_ms,
                                          ab_claim_callback callback,
                                          void *ctx);

/* Gives CLAIM up before its callback ran; releases a late grant.  */
void ab_control_client_cancel (struct ab_claim *claim);

/* Records the end of a granted request; repeated in the background until the
   group has stored it.  RESPONSE is copied; null records "may have run" (a
   response over AB_RECORDED_BYTES_MAX is recorded without its body and a
   repeat is told so).  */
void ab_control_client_complete (struct ab_control_client *client,
                                 const struct ab_ledger_key *key,
                                 uint64_t token,
                                 const struct ab_recorded_response *response);

/* Gives a granted claim back: the request was not run.  */
void ab_control_client_release (struct ab_control_client *client,
                                const struct ab_ledger_key *key,
                                uint64_t token);

/* Completions and releases that the group has not confirmed yet; a planned
   stop waits until this is 0.  */
size_t ab_control_client_pending (const struct ab_control_client *client);

/* Ejection permits.  The callback tells whether the permit is held.  A
   permit that the group takes back comes through the revocation handler; the
   holder readmits the target, then calls release.  */
typedef void (*ab_permit_callback) (void *ctx, int rc);
typedef void (*ab_permit_revoked) (void *ctx, struct ab_chunk service);

/* Asks for one more permit of SERVICE for this host.  AB_ERR_FULL in the
   callback: none is left above the floor.  */
void ab_control_client_permit_acquire (struct ab_control_client *client,
                                       struct ab_chunk service,
                                       uint64_t deadline_ms,
                                       ab_permit_callback callback, void *ctx);
void ab_control_client_permit_release (struct ab_control_client *client,
                                       struct ab_chunk service);
void ab_control_client_on_revoke (struct ab_control_client *client,
                                  ab_permit_revoked handler, void *ctx);

/* Asks the group to accept a signed bundle.  RC: 0 accepted (also when it was
   accepted before), AB_ERR_CONFLICT with the winner's version and digest,
   AB_ERR_STALE, AB_ERR_DENIED, AB_ERR_INVALID, AB_ERR_TIMEOUT (the outcome is
   not known; send it again).  MESSAGE is a sentence for the operator.  */
typedef void (*ab_apply_callback) (void *ctx, int rc, struct ab_chunk message);
void ab_control_client_apply (struct ab_control_client *client,
                              const struct ab_signed_bundle *bundle,
                              const char *operator_name, uint64_t deadline_ms,
                              ab_apply_callback callback, void *ctx);

/* Changes the control group's members.  ACTION is "add", "remove" or
   "replace".  */
void ab_control_client_change_member (struct ab_control_client *client,
                                      struct ab_chunk action, const char *host,
                                      const char *address,
                                      uint64_t deadline_ms,
                                      ab_apply_callback callback, void *ctx);

/* State dump: leader as known, requests in flight, when it answered last.  */
json_t *ab_control_client_state (const struct ab_control_client *client);

#endif
