/* Health of the network paths from hosts to one target.

   A target that fails for some hosts while it responds to others at the same
   time is healthy: the paths from the failing hosts are bad, and requests of
   those hosts avoid the target for a while.  The score of a path is a sum of
   log-likelihood ratios: positive values are evidence that it is bad.  No
   I/O.  */

#ifndef AB_PATH_SCORE_H
#define AB_PATH_SCORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Paths kept for a target; a new one replaces the least recently used.  */
#define AB_PATHS_MAX 8

struct ab_path_score
{
  uint32_t path; /* Identifies the host that sends.  */
  bool used;     /* False: a free entry.  */
  double score;
  double overdue; /* Evidence of overdue requests; set by the detector.  */
  unsigned bad;   /* Failed requests since the score left 0.  */
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

/* Returns the entry of PATH; when there is none, a new one.  */
struct ab_path_score *ab_path_find (struct ab_path_table *table, uint32_t path,
                                    uint64_t now_ms);

/* Adds the log-likelihood ratio LLR of a request that started at START_MS;
   above 0 the request counts as failed.  */
void ab_path_add (struct ab_path_score *path, double llr, uint64_t start_ms,
                  uint64_t now_ms);

/* Marks as avoided the paths on which all requests failed, with a score of at
   least LIMIT, while another path was good.  Marks none when any path has both
   good and failed requests: then the target itself is unreliable.  Returns the
   sum of the scores of the newly marked paths.  */
double ab_path_mark_avoided (struct ab_path_table *table, double limit,
                             uint64_t now_ms);

bool ab_path_avoided (const struct ab_path_table *table, uint32_t path,
                      uint64_t now_ms);

#endif
