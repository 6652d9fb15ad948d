/* A bundle's text with its approval and, once accepted, its certificate.

   The approval is an approver's signature over the version and the digest of
   the text.  The certificate is the signature of a control host that has
   applied the committed acceptance; it proves to a host that cannot reach the
   control group that the bundle was accepted.  No I/O.  */

#ifndef AB_SIGNED_BUNDLE_H
#define AB_SIGNED_BUNDLE_H

#include "buf.h"
#include "bundle.h"
#include "digest.h"

struct ab_signed_bundle
{
  struct ab_buf text;
  uint64_t version;
  struct ab_digest digest;
  struct ab_public_key approver;
  struct ab_signature approval;
  uint64_t log_index; /* Log entry of the acceptance; 0 before it.  */
  struct ab_public_key certifier;
  struct ab_signature certificate;
};

/* Frees what BUNDLE owns, not BUNDLE itself.  */
void ab_signed_bundle_free (struct ab_signed_bundle *bundle);

/* Copies SRC into the uninitialised DST.  Returns 0 or AB_ERR_MEMORY.  */
int ab_signed_bundle_copy (struct ab_signed_bundle *dst,
                           const struct ab_signed_bundle *src);

/* Computes the digest of BUNDLE, whose text and version are set, and fills in
   the approver and the approval, signed with KEY.  */
void ab_signed_bundle_approve (struct ab_signed_bundle *bundle,
                               const struct ab_secret_key *key);

/* Fills in the log index, the certifier and the certificate for the acceptance
   at LOG_INDEX, signed with KEY.  */
void ab_signed_bundle_certify (struct ab_signed_bundle *bundle,
                               uint64_t log_index,
                               const struct ab_secret_key *key);

/* Verify the approval against SETTINGS' approvers, and the certificate against
   the control hosts.  Return 0, or AB_ERR_DENIED if the key is not listed or
   the signature does not match; a bundle without a log index has no valid
   certificate.  */
int ab_signed_bundle_check_approval (const struct ab_signed_bundle *bundle,
                                     const struct ab_settings *settings);
int ab_signed_bundle_check_certificate (const struct ab_signed_bundle *bundle,
                                        const struct ab_settings *settings);

/* Appends BUNDLE to OUT in its msgpack form.  */
int ab_signed_bundle_encode (const struct ab_signed_bundle *bundle,
                             struct ab_buf *out);

/* Decodes INPUT into the uninitialised BUNDLE, which owns a copy of the text.
   The digest is computed from the text.  Returns 0 or an error; after an error
   BUNDLE owns nothing.  */
int ab_signed_bundle_decode (struct ab_chunk input,
                             struct ab_signed_bundle *bundle);

#endif
