/* Signatures of a bundle (approval and certificate), and its saved copy.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bundle_file.h"
#include "error.h"

#define NAME "bundle.saved"

static struct ab_signed_bundle bundle;
static struct ab_secret_key approver;
static struct ab_secret_key certifier;
static struct ab_secret_key unlisted_key;
static struct ab_signer approvers[1];
static struct ab_control_member control[1];
static const struct ab_settings settings = { .approvers = approvers,
                                             .approver_count = 1,
                                             .control = control,
                                             .control_count = 1 };

static void
setup (void)
{
  struct ab_public_key unused;

  ck_assert_int_eq (ab_crypto_init (), 0);
  ab_key_pair_new (&approvers[0].key, &approver);
  ab_key_pair_new (&control[0].key, &certifier);
  ab_key_pair_new (&unused, &unlisted_key);
  bundle = (struct ab_signed_bundle){ .version = 3 };
  ab_buf_append_str (&bundle.text, "version: 3\n");
  ab_signed_bundle_approve (&bundle, &approver);
  ab_signed_bundle_certify (&bundle, 17, &certifier);
}

static void
teardown (void)
{
  ab_signed_bundle_free (&bundle);
}

/* Guards against putting a bundle in force without the signatures of a listed
   approver and a control host.  */
START_TEST (only_listed_keys_count)
{
  ck_assert_int_eq (ab_signed_bundle_check_approval (&bundle, &settings), 0);
  ck_assert_int_eq (ab_signed_bundle_check_certificate (&bundle, &settings),
                    0);
  ab_signed_bundle_approve (&bundle, &unlisted_key);
  ck_assert_int_eq (ab_signed_bundle_check_approval (&bundle, &settings),
                    AB_ERR_DENIED);
  /* An approver's key is not valid for a certificate.  */
  ab_signed_bundle_certify (&bundle, 17, &approver);
  ck_assert_int_eq (ab_signed_bundle_check_certificate (&bundle, &settings),
                    AB_ERR_DENIED);
}
END_TEST

/* Guards against a signature that is accepted for another version, log index
   or kind of statement than was signed.  */
START_TEST (signatures_cover_version_text_and_index)
{
  struct ab_signature approval = bundle.approval;

  bundle.version++;
  ck_assert_int_lt (ab_signed_bundle_check_approval (&bundle, &settings), 0);
  ck_assert_int_lt (ab_signed_bundle_check_certificate (&bundle, &settings),
                    0);
  bundle.version--;
  bundle.log_index++;
  ck_assert_int_eq (ab_signed_bundle_check_approval (&bundle, &settings), 0);
  ck_assert_int_lt (ab_signed_bundle_check_certificate (&bundle, &settings),
                    0);
  bundle.log_index = 0;
  ck_assert_int_lt (ab_signed_bundle_check_certificate (&bundle, &settings),
                    0);
  /* The approval is signed before there is a log index, so it is not valid as
     a certificate either.  */
  bundle.log_index = 17;
  bundle.certificate = approval;
  ck_assert_int_lt (ab_signed_bundle_check_certificate (&bundle, &settings),
                    0);
}
END_TEST

/* Guards against a text that was changed in transit: the receiver computes the
   digest from the text and does not trust one from the message.  */
START_TEST (digest_is_computed_from_the_text)
{
  struct ab_signed_bundle read;
  struct ab_buf data = AB_BUF_INIT;

  ck_assert_int_eq (ab_signed_bundle_encode (&bundle, &data), 0);
  ck_assert_int_eq (ab_signed_bundle_decode (ab_buf_chunk (&data), &read), 0);
  ck_assert_int_eq (ab_signed_bundle_check_certificate (&read, &settings), 0);
  ab_signed_bundle_free (&read);
  *(char *)memchr (data.data, '3', data.len) = '4';
  ck_assert_int_eq (ab_signed_bundle_decode (ab_buf_chunk (&data), &read), 0);
  ck_assert_int_lt (ab_signed_bundle_check_approval (&read, &settings), 0);
  ab_signed_bundle_free (&read);
  ab_buf_free (&data);
}
END_TEST

/* Guards against a restart that loads a truncated copy, or that finds the
   earlier copy lost because a new one could not be written.  */
START_TEST (saved_copy)
{
  char folder[] = "/tmp/ab_test_bundle_XXXXXX";
  char path[64];
  struct ab_signed_bundle read;

  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/%s", folder, NAME);
  ck_assert_int_eq (ab_bundle_file_load (folder, NAME, &read),
                    AB_ERR_NOT_FOUND);
  ck_assert_int_eq (ab_bundle_file_save (folder, NAME, &bundle), 0);
  ck_assert_int_eq (ab_bundle_file_load (folder, NAME, &read), 0);
  ck_assert_int_eq (ab_signed_bundle_check_certificate (&read, &settings), 0);
  ab_signed_bundle_free (&read);
  ck_assert_int_eq (ab_bundle_file_save ("/nonexistent", NAME, &bundle),
                    AB_ERR_IO);
  ck_assert_int_eq (truncate (path, 40), 0);
  ck_assert_int_eq (ab_bundle_file_load (folder, NAME, &read), AB_ERR_CORRUPT);
  ck_assert_int_eq (ab_bundle_file_set_aside (folder, NAME), 0);
  ck_assert_int_eq (ab_bundle_file_load (folder, NAME, &read),
                    AB_ERR_NOT_FOUND);
  snprintf (path, sizeof path, "%s/%s.unusable", folder, NAME);
  ck_assert_int_eq (unlink (path), 0);
  ck_assert_int_eq (rmdir (folder), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("signed_bundle");
  TCase *tcase = tcase_create ("signed_bundle");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, only_listed_keys_count);
  tcase_add_test (tcase, signatures_cover_version_text_and_index);
  tcase_add_test (tcase, digest_is_computed_from_the_text);
  tcase_add_test (tcase, saved_copy);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
