/* Requests from any host to the control group's leader.

   The client finds the leader (a follower's refusal names it), retries
   requests that got no reply, and drops replies that come too late.  All
   callbacks run from the event loop, exactly once for each request that was
   not cancelled.  */

#ifndef AB_CONTROL_CLIENT_H
#define AB_CONTROL_CLIENT_H

#include <jansson.h>

#include "daemon.h"
#include "ledger_key.h"
#include "signed_bundle.h"
#include "verdict.h"

enum ab_claim_result
{
  AB_CLAIM_GRANTED,      /* The claimant may send the request.  */
  AB_CLAIM_RECORDED,     /* Already run; the response is given.  */
  AB_CLAIM_MAY_HAVE_RUN, /* An earlier attempt's outcome is unknown.  */
  AB_CLAIM_MISMATCH,     /* The key was used with other content.  */
  AB_CLAIM_EXPIRED,      /* Key older than the retention: may have run.  */
  AB_CLAIM_FUTURE,       /* Key's time is in the future: not run.  */
  AB_CLAIM_UNAVAILABLE   /* The group did not answer in time: not run.  */
};

struct ab_claim;

/* Receives the RESULT of a claim.  TOKEN is the fencing token of a granted
   claim.  RESPONSE is null unless the result is AB_CLAIM_RECORDED; it is valid
   during the call.  HOLDER names the host that claimed the key first, for
   explanations; it may be empty.  */
typedef void (*ab_claim_callback) (void *ctx, enum ab_claim_result result,
                                   uint64_t token,
                                   const struct ab_recorded_response *response,
                                   struct ab_chunk holder);

/* Returns 0, AB_ERR_MEMORY, or AB_ERR_INVALID without control hosts in the
   settings.  */
int ab_control_client_new (struct ab_daemon *daemon,
                           struct ab_control_client **client);
void ab_control_client_free (struct ab_control_client *client);

/* Claims KEY for a request whose content has the digest CONTENT.  While
   another attempt is in progress, waits for its end.  At DEADLINE_MS
   (monotonic) the result is AB_CLAIM_MAY_HAVE_RUN if another attempt was in
   progress at the last reply, else AB_CLAIM_UNAVAILABLE.  A grant that arrives
   later is released in the background.  Returns null if out of memory.  */
struct ab_claim *ab_control_client_claim (struct ab_control_client *client,
                                          const struct ab_ledger_key *key,
                                          const struct ab_digest *content,
                                          uint64_t deadline_ms,
                                          ab_claim_callback callback,
                                          void *ctx);

/* Cancels CLAIM, whose callback must not have run yet; a grant that arrives
   later is released.  */
void ab_control_client_cancel (struct ab_claim *claim);

/* Records the outcome of a granted request; retried in the background until
   the group has stored it.  RESPONSE is copied; null records "may have run".
   A response over AB_RECORDED_BYTES_MAX is recorded without its body, and the
   response to a retried request says so.  */
void ab_control_client_complete (struct ab_control_client *client,
                                 const struct ab_ledger_key *key,
                                 uint64_t token,
                                 const struct ab_recorded_response *response);

/* Releases a granted claim: the request was not run.  */
void ab_control_client_release (struct ab_control_client *client,
                                const struct ab_ledger_key *key,
                                uint64_t token);

/* Returns the number of completions and releases that the group has not
   confirmed yet; a graceful shutdown waits until it is 0.  */
size_t ab_control_client_unconfirmed (const struct ab_control_client *client);

/* Ejection permits.  RC is 0 if the permit is held, else an error.  When the
   group revokes a permit, the handler of revocations is called; the holder
   readmits a target of SERVICE, then releases the permit.  */
typedef void (*ab_permit_callback) (void *ctx, int rc);
typedef void (*ab_permit_revoke_handler) (void *ctx, struct ab_chunk service);

/* Requests one more permit of SERVICE for this host.  The callback gets
   AB_ERR_FULL if no permit is left without violating the floor,
   AB_ERR_TIMEOUT at DEADLINE_MS (monotonic).  */
void ab_control_client_permit_acquire (struct ab_control_client *client,
                                       struct ab_chunk service,
                                       uint64_t deadline_ms,
                                       ab_permit_callback callback, void *ctx);
/* Releases one permit of SERVICE.  */
void ab_control_client_permit_release (struct ab_control_client *client,
                                       struct ab_chunk service);
/* Sets the handler of revocations.  */
void ab_control_client_on_revoke (struct ab_control_client *client,
                                  ab_permit_revoke_handler handler, void *ctx);

/* Requests that the group accept a signed bundle.  RC is 0 if it is accepted
   (also if it was accepted before), AB_ERR_CONFLICT if another bundle of this
   version was accepted, AB_ERR_STALE if a newer one was, AB_ERR_DENIED if no
   approver has signed it, AB_ERR_INVALID, or AB_ERR_TIMEOUT if the outcome is
   not known; the bundle may then be sent again.  MESSAGE is a sentence for the
   operator, which names the version and digest of the bundle that conflicts or
   is newer.  */
typedef void (*ab_change_callback) (void *ctx, int rc,
                                    struct ab_chunk message);
void ab_control_client_apply_bundle (struct ab_control_client *client,
                                     const struct ab_signed_bundle *bundle,
                                     const char *operator_name,
                                     uint64_t deadline_ms,
                                     ab_change_callback callback, void *ctx);

/* Changes the control group's members.  ACTION is "add", "remove" or
   "replace"; ADDRESS is that of HOST's peer listener.  */
void ab_control_client_change_member (struct ab_control_client *client,
                                      struct ab_chunk action, const char *host,
                                      const char *address,
                                      uint64_t deadline_ms,
                                      ab_change_callback callback, void *ctx);

/* Returns the state dump: the leader as far as known, the ms since it last
   answered, requests in flight, and permits.  */
json_t *ab_control_client_state (const struct ab_control_client *client);

#endif
