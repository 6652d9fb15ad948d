#include "run_check_lib.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define KEY_BYTES 64

struct key_record
{
  char key[KEY_BYTES];
  size_t runs;
  size_t responses;
  size_t not_run;
  size_t ran;
  int last_may_have_run;
  UT_hash_handle hh;
};

struct run_check
{
  struct key_record *keys;
};

struct run_check *
run_check_new (void)
{
  return calloc (1, sizeof (struct run_check));
}

void
run_check_free (struct run_check *check)
{
  struct key_record *record;

  if (!check)
    return;
  record = check->keys;
  HASH_CLEAR (hh, check->keys);
  while (record)
    {
      struct key_record *next = record->hh.next;
      free (record);
      record = next;
    }
  free (check);
}

static struct key_record *
find_record (struct run_check *check, const char *key)
{
  struct key_record *record = NULL;

  HASH_FIND_STR (check->keys, key, record);
  if (record)
    return record;
  record = calloc (1, sizeof *record);
  if (!record)
    abort ();
  snprintf (record->key, sizeof record->key, "%s", key);
  HASH_ADD_STR (check->keys, key, record);
  return record;
}

int
run_check_add_log (struct run_check *check, const char *path)
{
  FILE *file = fopen (path, "re");
  char line[256];
  char key[KEY_BYTES];

  if (!file)
    return -1;
  while (fgets (line, sizeof line, file))
    if (sscanf (line, "run %63s", key) == 1 && strcmp (key, "-") != 0)
      find_record (check, key)->runs++;
  fclose (file);
  return 0;
}

static void
add_response (struct key_record *record, const char *verdict)
{
  record->responses++;
  record->not_run += strcmp (verdict, "not-run") == 0;
  record->ran += strcmp (verdict, "ran") == 0;
  record->last_may_have_run = strcmp (verdict, "may-have-run") == 0;
}

int
run_check_add_journal (struct run_check *check, const char *path)
{
  FILE *file = fopen (path, "re");
  char line[256];
  char key[KEY_BYTES];
  char verdict[32];
  unsigned attempt;

  if (!file)
    return -1;
  while (fgets (line, sizeof line, file))
    if (sscanf (line, "%63s %u %31s", key, &attempt, verdict) == 3)
      add_response (find_record (check, key), verdict);
  fclose (file);
  return 0;
}

struct run_check_result
run_check_result (const struct run_check *check)
{
  struct run_check_result result = { .keys = 0 };
  const struct key_record *r;

  for (r = check->keys; r; r = r->hh.next)
    {
      result.keys += r->responses > 0;
      result.ran_twice += r->runs > 1;
      result.not_run_ran
          += r->responses > 0 && r->not_run == r->responses && r->runs > 0;
      result.ran_missing += r->ran > 0 && r->runs == 0;
      result.may_have_run += r->responses > 0 && r->last_may_have_run;
    }
  return result;
}
