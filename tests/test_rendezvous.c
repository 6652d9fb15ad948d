/* Rendezvous hashing.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "rendezvous.h"

#define NODES 10
#define SUBJECTS 10000
#define NONE NODES

static uint64_t nodes[NODES];

static void
setup (void)
{
  char name[32];

  for (size_t i = 0; i < NODES; i++)
    {
      snprintf (name, sizeof name, "entry-%zu", i);
      nodes[i] = ab_rendezvous_hash (ab_chunk_str (name));
    }
}

static size_t
choose (unsigned number, size_t without)
{
  char name[32];
  uint64_t subject;
  size_t best = NONE;

  snprintf (name, sizeof name, "service-%u", number);
  subject
      = ab_rendezvous_hash_pair (ab_chunk_str (name), AB_CHUNK ("domain-1"));
  for (size_t i = 0; i < NODES; i++)
    if (i != without
        && (best == NONE
            || ab_rendezvous_score (subject, nodes[i])
                   > ab_rendezvous_score (subject, nodes[best])))
      best = i;
  return best;
}

/* Guards against hashing that gives some nodes many more subjects than others:
   each must get within 15% of an equal share.  */
START_TEST (choice_is_even)
{
  size_t counts[NODES] = { 0 };

  for (unsigned i = 0; i < SUBJECTS; i++)
    counts[choose (i, NONE)]++;
  for (size_t i = 0; i < NODES; i++)
    {
      ck_assert_uint_ge (counts[i], SUBJECTS / NODES * 85 / 100);
      ck_assert_uint_le (counts[i], SUBJECTS / NODES * 115 / 100);
    }
}
END_TEST

/* Guards against moving subjects whose node stays to another node.  */
START_TEST (only_lost_subjects_move)
{
  for (unsigned i = 0; i < SUBJECTS; i++)
    if (choose (i, NONE) != 3)
      ck_assert_uint_eq (choose (i, NONE), choose (i, 3));
}
END_TEST

/* Guards against equal hashes of pairs whose concatenations are equal: ("ab",
   "c") and ("a", "bc").  */
START_TEST (pairs_differ)
{
  ck_assert (ab_rendezvous_hash_pair (AB_CHUNK ("ab"), AB_CHUNK ("c"))
             != ab_rendezvous_hash_pair (AB_CHUNK ("a"), AB_CHUNK ("bc")));
  ck_assert (ab_rendezvous_hash_pair (AB_CHUNK ("a"), AB_CHUNK ("b"))
             != ab_rendezvous_hash_pair (AB_CHUNK ("b"), AB_CHUNK ("a")));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rendezvous");
  TCase *tcase = tcase_create ("rendezvous");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, choice_is_even);
  tcase_add_test (tcase, only_lost_subjects_move);
  tcase_add_test (tcase, pairs_differ);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
