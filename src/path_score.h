/* Evidence about the paths from single hosts to one target.

   A target that fails for some hosts while it answers others at the same
   time is not sick; those hosts' requests avoid it for a while.  */

#ifndef AB_PATH_SCORE_H
#define AB_PATH_SCORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Paths kept for a target; the one used least recently makes room.  */
#define AB_PATHS_MAX 8

struct ab_path_score
{
  uint32_t path;
  bool used;
  double score;
  double overdue; /* Evidence of requests in flight; set by the detector.  */
  unsigned bad;   /* Bad requests since the score left 0.  */
  uint64_t bad_since_ms; /* When the score left 0.  */
  uint64_t good_ms[2];   /* Starts of the last two good requests.  */
  uint64_t last_ms;
  uint64_t avoid_until_ms;
  unsigned avoid_level;
};

struct ab_path_table
{
  struct ab_path_score paths[AB_PATHS_MAX];
};

struct ab_path_score *ab_path_find (struct ab_path_table *table, uint32_t path,
                                    uint64_t now_ms);

/* Adds evidence of a request that started at START_MS.  */
void ab_path_add (struct ab_path_score *path, double llr, uint64_t start_ms,
                  uint64_t now_ms);

/* Marks the paths that were only bad, with a score of at least LIMIT, while
   another path was only good.  Marks none when good and bad requests mix on
   some path: then the target itself is unreliable.  Returns the sum of the
   scores of the paths newly marked.  */
double ab_path_mark (struct ab_path_table *table, double limit,
                     uint64_t now_ms);

bool ab_path_avoided (const struct ab_path_table *table, uint32_t path,
                      uint64_t now_ms);

#endif
