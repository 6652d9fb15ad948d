/* Authentication of operators' requests to the admin listener.

   A request carries the operator's public key, the time, a nonce and an
   Ed25519 signature over method, path, body digest, time, nonce, and the name
   and incarnation of the destination host.  Binding a request to one process
   prevents a captured request from being replayed at another host or after a
   restart; the nonce prevents a replay at the same process.  No I/O.  */

#ifndef AB_OPERATOR_AUTH_H
#define AB_OPERATOR_AUTH_H

#include <stdint.h>

#include "chunk.h"
#include "digest.h"
#include "settings.h"

#define AB_NONCE_BYTES 16

/* Allowed clock skew between operator and host.  */
#define AB_OPERATOR_SKEW_MS 60000

struct ab_operator_request
{
  struct ab_chunk method;
  struct ab_chunk path; /* With the query.  */
  struct ab_chunk body;
  struct ab_chunk host; /* Destination host.  */
  uint64_t incarnation; /* Incarnation of this host.  */
  uint64_t time_ms;     /* Unix milliseconds.  */
  uint8_t nonce[AB_NONCE_BYTES];
};

/* Signs REQUEST with KEY.  Returns 0 or AB_ERR_MEMORY.  */
int ab_operator_sign (const struct ab_operator_request *request,
                      const struct ab_secret_key *key,
                      struct ab_signature *signature);

/* Checks requests and keeps the nonces of the last 2 * AB_OPERATOR_SKEW_MS
   milliseconds.  */
struct ab_operator_auth;

/* Returns null if memory is exhausted.  SETTINGS must outlive the result.  */
struct ab_operator_auth *
ab_operator_auth_new (const struct ab_settings *settings);
void ab_operator_auth_free (struct ab_operator_auth *auth);

/* Verifies REQUEST, records its nonce and sets *NAME to the operator's name.
   NOW_MS is in Unix milliseconds.  Returns 0, AB_ERR_DENIED for an unknown key
   or a wrong signature, AB_ERR_EXPIRED for a time that is off by more than
   AB_OPERATOR_SKEW_MS, AB_ERR_EXISTS for a nonce that was used before,
   AB_ERR_FULL if too many nonces are kept, or AB_ERR_MEMORY.  */
int ab_operator_auth_check (struct ab_operator_auth *auth, uint64_t now_ms,
                            const struct ab_operator_request *request,
                            const struct ab_public_key *key,
                            const struct ab_signature *signature,
                            const char **name);

#endif
