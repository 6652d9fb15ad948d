#include "path_score.h"

/* Exponential backoff: first period in which a path is avoided, and how often
   the period doubles.  */
#define AVOID_MS 2000
#define AVOID_LEVEL_MAX 4
/* After this time without being avoided, a path starts again with the first
   period.  */
#define AVOID_EXPIRY_MS 60000
/* Scores up to this count as good.  */
#define GOOD_SCORE 0.5
/* Minimum number of failed requests on a path before it is marked; overdue
   requests count as one.  */
#define BAD_REQUESTS_MIN 2
/* A score is reset after this time without evidence.  */
#define IDLE_MS 10000

struct ab_path_score *
ab_path_find (struct ab_path_table *table, uint32_t path, uint64_t now_ms)
{
  struct ab_path_score *oldest = &table->paths[0];

  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    {
      struct ab_path_score *entry = &table->paths[i];

      if (entry->used && entry->path == path)
        return entry;
      if (!entry->used || (oldest->used && entry->last_ms < oldest->last_ms))
        oldest = entry;
    }
  *oldest = (struct ab_path_score){ .path = path,
                                    .used = true,
                                    .last_ms = now_ms };
  return oldest;
}

void
ab_path_add (struct ab_path_score *path, double llr, uint64_t start_ms,
             uint64_t now_ms)
{
  if (now_ms > path->last_ms + IDLE_MS)
    path->score = 0;
  if (path->score <= 0)
    {
      path->bad = 0;
      path->bad_since_ms = start_ms;
    }
  path->bad += llr > 0;
  path->score += llr;
  if (path->score < 0)
    path->score = 0;
  if (llr < 0)
    {
      path->good_ms[1] = path->good_ms[0];
      path->good_ms[0] = start_ms;
    }
  path->last_ms = now_ms;
}

/* Returns whether any path is good and had two good requests that started
   after SINCE_MS.  */
static bool
any_path_is_good (const struct ab_path_table *table, uint64_t since_ms)
{
  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    {
      const struct ab_path_score *entry = &table->paths[i];

      if (entry->used && entry->score <= GOOD_SCORE && entry->overdue <= 0
          && entry->good_ms[1] > since_ms)
        return true;
    }
  return false;
}

/* Returns whether any path that is not good had a good request since its score
   left 0.  */
static bool
has_mixed_path (const struct ab_path_table *table)
{
  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    {
      const struct ab_path_score *entry = &table->paths[i];

      if (entry->used && entry->score > GOOD_SCORE
          && entry->good_ms[0] > entry->bad_since_ms)
        return true;
    }
  return false;
}

static void
avoid (struct ab_path_score *path, uint64_t now_ms)
{
  if (now_ms > path->avoid_until_ms + AVOID_EXPIRY_MS)
    path->avoid_level = 0;
  path->avoid_until_ms = now_ms + ((uint64_t)AVOID_MS << path->avoid_level);
  if (path->avoid_level < AVOID_LEVEL_MAX)
    path->avoid_level++;
  path->score = 0;
}

double
ab_path_mark_avoided (struct ab_path_table *table, double limit,
                      uint64_t now_ms)
{
  double sum = 0;

  if (has_mixed_path (table))
    return 0;
  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    {
      struct ab_path_score *entry = &table->paths[i];
      unsigned bad = entry->bad + (entry->overdue > 0);

      if (!entry->used || entry->score + entry->overdue < limit
          || bad < BAD_REQUESTS_MIN
          || !any_path_is_good (table, entry->bad_since_ms))
        continue;
      sum += entry->score;
      avoid (entry, now_ms);
    }
  return sum;
}

bool
ab_path_avoided (const struct ab_path_table *table, uint32_t path,
                 uint64_t now_ms)
{
  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    {
      const struct ab_path_score *entry = &table->paths[i];

      if (entry->used && entry->path == path)
        return now_ms < entry->avoid_until_ms;
    }
  return false;
}
