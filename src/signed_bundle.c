#include "signed_bundle.h"

#include "error.h"
#include "pack.h"

#define BUNDLE_FIELDS 7
#define BUNDLE_FIELDS_MAX 16
#define STATEMENT_BYTES 128

void
ab_signed_bundle_free (struct ab_signed_bundle *bundle)
{
  ab_buf_free (&bundle->text);
}

int
ab_signed_bundle_copy (struct ab_signed_bundle *dst,
                       const struct ab_signed_bundle *src)
{
  *dst = *src;
  dst->text = (struct ab_buf)AB_BUF_INIT;
  return ab_buf_append_chunk (&dst->text, ab_buf_chunk (&src->text));
}

/* Builds the bytes that an approval signs: a purpose, the version and the
   digest.  The purpose (domain separation) prevents the signature from being
   reused for another kind of statement.  */
static int
approval_statement (const struct ab_signed_bundle *bundle,
                    struct ab_buf *statement)
{
  ab_buf_append_str (statement, "almondbridge bundle approval 1\n");
  ab_pack_u64 (statement, bundle->version);
  return ab_buf_append (statement, bundle->digest.bytes,
                        sizeof bundle->digest.bytes);
}

/* Builds the bytes that a certificate signs: a purpose, the version, the log
   index and the digest.  */
static int
certificate_statement (const struct ab_signed_bundle *bundle,
                       struct ab_buf *statement)
{
  ab_buf_append_str (statement, "almondbridge bundle acceptance 1\n");
  ab_pack_u64 (statement, bundle->version);
  ab_pack_u64 (statement, bundle->log_index);
  return ab_buf_append (statement, bundle->digest.bytes,
                        sizeof bundle->digest.bytes);
}

void
ab_signed_bundle_approve (struct ab_signed_bundle *bundle,
                          const struct ab_secret_key *key)
{
  struct ab_buf statement = AB_BUF_INIT;

  bundle->digest = ab_digest_of (ab_buf_chunk (&bundle->text));
  bundle->approver = ab_secret_key_public (key);
  if (approval_statement (bundle, &statement) == 0)
    ab_sign (key, ab_buf_chunk (&statement), &bundle->approval);
  ab_buf_free (&statement);
}

void
ab_signed_bundle_certify (struct ab_signed_bundle *bundle, uint64_t log_index,
                          const struct ab_secret_key *key)
{
  struct ab_buf statement = AB_BUF_INIT;

  bundle->log_index = log_index;
  bundle->certifier = ab_secret_key_public (key);
  if (certificate_statement (bundle, &statement) == 0)
    ab_sign (key, ab_buf_chunk (&statement), &bundle->certificate);
  ab_buf_free (&statement);
}

static bool
key_equal (const struct ab_public_key *a, const struct ab_public_key *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

int
ab_signed_bundle_check_approval (const struct ab_signed_bundle *bundle,
                                 const struct ab_settings *settings)
{
  struct ab_buf statement = AB_BUF_INIT;
  int rc = AB_ERR_DENIED;

  for (size_t i = 0; i < settings->approver_count; i++)
    {
      if (!key_equal (&settings->approvers[i].key, &bundle->approver))
        continue;
      rc = approval_statement (bundle, &statement);
      if (rc == 0)
        rc = ab_verify (&bundle->approver, ab_buf_chunk (&statement),
                        &bundle->approval);
      break;
    }
  ab_buf_free (&statement);
  return rc;
}

int
ab_signed_bundle_check_certificate (const struct ab_signed_bundle *bundle,
                                    const struct ab_settings *settings)
{
  struct ab_buf statement = AB_BUF_INIT;
  int rc = AB_ERR_DENIED;

  if (bundle->log_index == 0)
    return AB_ERR_DENIED;
  for (size_t i = 0; i < settings->control_count; i++)
    {
      if (!key_equal (&settings->control[i].key, &bundle->certifier))
        continue;
      rc = certificate_statement (bundle, &statement);
      if (rc == 0)
        rc = ab_verify (&bundle->certifier, ab_buf_chunk (&statement),
                        &bundle->certificate);
      break;
    }
  ab_buf_free (&statement);
  return rc;
}

int
ab_signed_bundle_encode (const struct ab_signed_bundle *bundle,
                         struct ab_buf *out)
{
  ab_pack_array (out, BUNDLE_FIELDS);
  ab_pack_bytes (out, ab_buf_chunk (&bundle->text));
  ab_pack_u64 (out, bundle->version);
  ab_pack_bytes (
      out, ab_chunk (bundle->approver.bytes, sizeof bundle->approver.bytes));
  ab_pack_bytes (
      out, ab_chunk (bundle->approval.bytes, sizeof bundle->approval.bytes));
  ab_pack_u64 (out, bundle->log_index);
  ab_pack_bytes (
      out, ab_chunk (bundle->certifier.bytes, sizeof bundle->certifier.bytes));
  ab_pack_bytes (out, ab_chunk (bundle->certificate.bytes,
                                sizeof bundle->certificate.bytes));
  return out->error;
}

int
ab_signed_bundle_decode (struct ab_chunk input,
                         struct ab_signed_bundle *bundle)
{
  struct ab_reader reader;
  struct ab_chunk text;
  int rc;

  *bundle = (struct ab_signed_bundle){ .text = AB_BUF_INIT };
  rc = ab_reader_init (&reader, input);
  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, BUNDLE_FIELDS_MAX);
  text = ab_reader_bytes (&reader, AB_BUNDLE_BYTES_MAX);
  bundle->version = ab_reader_u64 (&reader);
  ab_reader_fixed_bytes (&reader, bundle->approver.bytes,
                         sizeof bundle->approver.bytes);
  ab_reader_fixed_bytes (&reader, bundle->approval.bytes,
                         sizeof bundle->approval.bytes);
  bundle->log_index = ab_reader_u64 (&reader);
  ab_reader_fixed_bytes (&reader, bundle->certifier.bytes,
                         sizeof bundle->certifier.bytes);
  ab_reader_fixed_bytes (&reader, bundle->certificate.bytes,
                         sizeof bundle->certificate.bytes);
  rc = ab_reader_error (&reader);
  if (rc == 0)
    rc = ab_buf_append_chunk (&bundle->text, text);
  if (rc == 0)
    bundle->digest = ab_digest_of (ab_buf_chunk (&bundle->text));
out:
  ab_reader_free (&reader);
  if (rc < 0)
    ab_signed_bundle_free (bundle);
  return rc;
}
