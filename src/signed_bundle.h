/* A bundle's text with its approval and, once accepted, its certificate.

   The approval is an approver's signature over the text's digest.  The
   certificate is the signature of a control host that has applied the
   committed acceptance; it proves to a host that cannot reach the control
   group that the bundle was accepted.  */

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
  uint64_t log_index; /* 0 before acceptance.  */
  struct ab_public_key certifier;
  struct ab_signature certificate;
};

void ab_signed_bundle_free (struct ab_signed_bundle *bundle);

/* Copies SRC into the uninitialised DST.  */
int ab_signed_bundle_copy (struct ab_signed_bundle *dst,
                           const struct ab_signed_bundle *src);

/* Fill the approval of BUNDLE, whose text and version are set.  */
void ab_signed_bundle_approve (struct ab_signed_bundle *bundle,
                               const struct ab_secret_key *key);

/* Fills the certificate for the acceptance at LOG_INDEX.  */
void ab_signed_bundle_certify (struct ab_signed_bundle *bundle,
                               uint64_t log_index,
                               const struct ab_secret_key *key);

/* 0, or AB_ERR_DENIED when the key is not listed in SETTINGS or the signature
   does not match.  */
int ab_signed_bundle_check_approval (const struct ab_signed_bundle *bundle,
                                     const struct ab_settings *settings);
int ab_signed_bundle_check_certificate (const struct ab_signed_bundle *bundle,
                                        const struct ab_settings *settings);

/* Appends the msgpack form to OUT.  */
int ab_signed_bundle_encode (const struct ab_signed_bundle *bundle,
                             struct ab_buf *out);

/* Reads it into the uninitialised BUNDLE, which owns its text; the digest is
   computed from the text.  */
int ab_signed_bundle_decode (struct ab_chunk input,
                             struct ab_signed_bundle *bundle);

#endif
