/* Model check of the planned membership changes: walks all orders of losses,
   replacements, emptied disks, cuts, changes of leader and steps of the plan
   up to a depth, for groups of several sizes and tolerances.

   The promise that is checked after each single event: when as many further
   disks are lost as the tolerance still leaves, the voters whose disks remain
   are a majority.  A lost disk counts against the tolerance until the host
   that replaces it, or that lost it, has been back for long enough that the
   leader could notice the loss and the plan came to rest.  Hosts that are cut
   off count as well.  Losses beyond the tolerance may overlap with cuts, as
   long as no more disks are lost than tolerated from the first loss until all
   hosts are back.

   AB_MODEL_EXTRA in the environment is added to the depth of each walk, for
   longer runs by hand, with CK_TIMEOUT_MULTIPLIER=10.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "group_plan.h"
#include "suite_lib.h"

#define TEST_S 60
#define HOSTS_MAX 14
#define VACANCIES_MAX 4
#define CUTS_MAX 2
#define SPARES_MAX 2
#define VISITED_BITS 22
#define PLAN_STEPS_MAX 40

enum role
{
  ROLE_NONE, /* Asks to join while it is reachable.  */
  ROLE_LEARNER,
  ROLE_VOTER
};

enum disk
{
  DISK_KEPT,
  DISK_REPLACED, /* The host is back with another disk than its member's.  */
  DISK_GONE      /* The host is gone for good.  */
};

/* Time since the leader heard a host: the last of these bounds that has
   passed.  */
enum silence
{
  SILENCE_NONE,
  SILENCE_VOTER,
  SILENCE_REMOVAL
};

static const uint64_t silence_ms[]
    = { 0, AB_GROUP_VOTER_TIMEOUT_MS + 1, AB_GROUP_REMOVAL_TIMEOUT_MS + 1 };

/* Bytes only, so that states can be compared and hashed as memory.  */
struct host
{
  uint8_t role;
  uint8_t disk;
  uint8_t cut;
  uint8_t returned; /* It was cut off and has not caught up yet.  */
  uint8_t silence;
  uint8_t leads;
  uint8_t recent;  /* Lost disks that count until this host has caught up.  */
  uint8_t overlap; /* Likewise, and no host is cut off.  */
  uint8_t spare;   /* Started before the host that it will replace ends.  */
};

/* A host that is gone and whose successor has not started yet, with the lost
   disks that the successor will count.  */
struct vacancy
{
  uint8_t recent; /* 0: free.  */
  uint8_t overlap;
};

struct state
{
  struct host hosts[HOSTS_MAX];
  uint8_t count;
  uint8_t formed; /* The group once had enough voters to acknowledge.  */
  struct vacancy vacancies[VACANCIES_MAX]; /* In descending order.  */
};

enum event_kind
{
  EVENT_STEP,   /* The leader makes the planned change, if it can.  */
  EVENT_TICK,   /* The silence of unreachable hosts grows.  */
  EVENT_REST,   /* All is noticed and the plan comes to rest.  */
  EVENT_LOSE,   /* A host is gone for good.  */
  EVENT_EMPTY,  /* A host loses its disk and is back.  */
  EVENT_CUT,    /* A host is unreachable, frozen or slow.  */
  EVENT_HEAL,   /* It is back with its disk.  */
  EVENT_ELECT,  /* Another leader, which has heard nobody yet.  */
  EVENT_RETIRE, /* A host is gone whose successor started before.  */
  EVENT_JOIN,   /* The successor of a host that is gone starts.  */
  EVENT_SPARE,  /* A successor starts first.  */
  EVENT_KINDS
};

static const char *const event_names[]
    = { "step", "tick",  "rest",   "lose", "empty", "cut",
        "heal", "elect", "retire", "join", "spare" };

struct visited
{
  uint64_t hash; /* 0: free.  */
  uint8_t depth; /* Events that were walked from the state.  */
};

struct walk
{
  size_t tolerated;
  struct visited *visited;
  size_t visited_count;
  char path[64][24]; /* The events so far.  */
  size_t path_length;
  char problem[1024]; /* First broken promise; empty when there is none.  */
};

static bool
reachable (const struct host *host)
{
  return host->disk != DISK_GONE && !host->cut;
}

static bool
intact (const struct host *host)
{
  return host->disk == DISK_KEPT;
}

static size_t
count_cuts (const struct state *s)
{
  size_t result = 0;

  for (size_t i = 0; i < s->count; i++)
    result += s->hosts[i].cut;
  return result;
}

/* Returns how many disks may still be lost.  */
static size_t
further_losses (const struct state *s, size_t tolerated)
{
  size_t lost = 0;
  size_t overlap = 0;

  for (size_t i = 0; i < s->count; i++)
    {
      lost += s->hosts[i].recent;
      lost += s->hosts[i].cut || s->hosts[i].returned;
      overlap += s->hosts[i].overlap;
    }
  for (size_t i = 0; i < VACANCIES_MAX; i++)
    {
      lost += s->vacancies[i].recent;
      overlap += s->vacancies[i].overlap;
    }
  lost = lost < overlap ? lost : overlap;
  return lost < tolerated ? tolerated - lost : 0;
}

/* Whether the voters that can be reached are a majority.  */
static bool
has_quorum (const struct state *s)
{
  size_t voters = 0;
  size_t in_reach = 0;

  for (size_t i = 0; i < s->count; i++)
    if (s->hosts[i].role == ROLE_VOTER)
      {
        voters++;
        in_reach += reachable (&s->hosts[i]) && intact (&s->hosts[i]);
      }
  return in_reach > voters / 2;
}

static struct host *
find_leader (struct state *s)
{
  for (size_t i = 0; i < s->count; i++)
    {
      struct host *host = &s->hosts[i];
      if (host->leads && host->role == ROLE_VOTER && reachable (host)
          && intact (host))
        return host;
    }
  return NULL;
}

/* Records the path when the promise is broken in S.  */
static void
check_promise (struct walk *walk, const struct state *s)
{
  size_t voters = 0;
  size_t kept = 0;
  size_t further = further_losses (s, walk->tolerated);
  size_t at = 0;

  for (size_t i = 0; i < s->count; i++)
    if (s->hosts[i].role == ROLE_VOTER)
      {
        voters++;
        kept += intact (&s->hosts[i]);
      }
  if (!s->formed || walk->problem[0] || kept > voters / 2 + further)
    return;
  at += (size_t)snprintf (walk->problem, sizeof walk->problem,
                          "%zu of %zu voters have their disks, %zu more may "
                          "be lost:",
                          kept, voters, further);
  for (size_t i = 0; i < walk->path_length && at < sizeof walk->problem; i++)
    at += (size_t)snprintf (walk->problem + at, sizeof walk->problem - at,
                            " %s", walk->path[i]);
}

/* Returns the change that the leader of S plans.  */
static struct ab_group_step
plan_change (struct state *s, size_t tolerated)
{
  struct ab_group_member members[HOSTS_MAX] = { 0 };
  struct ab_group_request requests[HOSTS_MAX] = { 0 };
  size_t member_count = 0;
  size_t request_count = 0;

  for (size_t i = 0; i < s->count; i++)
    {
      const struct host *host = &s->hosts[i];
      if (host->role == ROLE_NONE)
        {
          if (reachable (host))
            snprintf (requests[request_count++].host, AB_NAME_BYTES, "%zu", i);
          continue;
        }
      members[member_count] = (struct ab_group_member){
        .learner = host->role == ROLE_LEARNER,
        .self = host->leads,
        .caught_up = true,
        .disk_mismatch = host->disk == DISK_REPLACED && reachable (host),
        .unresponsive_ms = reachable (host) ? 0 : silence_ms[host->silence],
      };
      /* Silence that the leader has not noticed yet.  */
      if (!reachable (host) && host->silence == SILENCE_NONE)
        members[member_count].unresponsive_ms = AB_GROUP_RESPONSIVE_MS + 1;
      snprintf (members[member_count++].host, AB_NAME_BYTES, "%zu", i);
    }
  return ab_group_plan (
      members, member_count, requests, request_count,
      ab_group_voters_wanted (members, member_count,
                              ab_group_voters_min (tolerated)),
      tolerated);
}

/* Makes the planned change.  Returns false when there is none, or when it
   cannot be committed.  */
static bool
take_step (struct walk *walk, struct state *s)
{
  struct state changed = *s;
  struct ab_group_step step;
  struct host *host;
  size_t voters = 0;

  if (!find_leader (s) || !has_quorum (s))
    return false;
  step = plan_change (s, walk->tolerated);
  if (step.change == AB_GROUP_NONE)
    return false;
  host = &changed.hosts[atoi (step.host)];
  if (step.change == AB_GROUP_ADD)
    {
      host->role = ROLE_LEARNER;
      host->disk = DISK_KEPT;
    }
  else if (step.change == AB_GROUP_PROMOTE)
    host->role = ROLE_VOTER;
  else
    host->role = ROLE_NONE;
  if (!has_quorum (&changed))
    return false;
  *s = changed;
  for (size_t i = 0; i < s->count; i++)
    voters += s->hosts[i].role == ROLE_VOTER;
  if (voters >= ab_group_voters_min (walk->tolerated))
    s->formed = 1;
  check_promise (walk, s);
  return true;
}

static void
grow_silence (struct state *s)
{
  for (size_t i = 0; i < s->count; i++)
    if (!reachable (&s->hosts[i]) && s->hosts[i].silence < SILENCE_REMOVAL)
      s->hosts[i].silence++;
}

static void
elect (struct state *s, size_t leader)
{
  for (size_t i = 0; i < s->count; i++)
    {
      s->hosts[i].leads = i == leader;
      s->hosts[i].silence = SILENCE_NONE;
    }
}

/* Lets the leader notice all silent hosts and finish its plan; then lost disks
   whose hosts or successors are back count no longer.  Returns false without
   a leader.  */
static bool
come_to_rest (struct walk *walk, struct state *s)
{
  size_t steps = 0;

  if (!find_leader (s) || !has_quorum (s))
    return false;
  for (size_t i = 0; i < s->count; i++)
    if (!reachable (&s->hosts[i]) && s->hosts[i].silence < SILENCE_VOTER)
      s->hosts[i].silence = SILENCE_VOTER;
  while (take_step (walk, s) && !walk->problem[0])
    if (++steps > PLAN_STEPS_MAX)
      {
        snprintf (walk->problem, sizeof walk->problem,
                  "the plan does not come to rest");
        return false;
      }
  for (size_t i = 0; i < s->count; i++)
    {
      if (reachable (&s->hosts[i]))
        {
          s->hosts[i].recent = 0;
          s->hosts[i].returned = 0;
        }
      if (count_cuts (s) == 0)
        s->hosts[i].overlap = 0;
    }
  check_promise (walk, s);
  return true;
}

static bool
add_host (struct state *s, struct host host)
{
  if (s->count == HOSTS_MAX)
    return false;
  s->hosts[s->count++] = host;
  return true;
}

/* Ends HOST for good; its successor is a spare that has started if
   RETIRED.  */
static bool
end_host (struct state *s, struct host *host, bool retired)
{
  struct vacancy lost = { .recent = (uint8_t)(host->recent + 1),
                          .overlap = (uint8_t)(host->overlap + 1) };

  host->disk = DISK_GONE;
  host->recent = 0;
  host->overlap = 0;
  host->cut = 0;
  host->returned = 0;
  if (!retired)
    {
      for (size_t i = 0; i < VACANCIES_MAX; i++)
        if (!s->vacancies[i].recent)
          {
            s->vacancies[i] = lost;
            return true;
          }
      return false;
    }
  for (size_t i = 0; i < s->count; i++)
    if (s->hosts[i].spare && s->hosts[i].disk != DISK_GONE)
      {
        s->hosts[i].spare = 0;
        s->hosts[i].recent = (uint8_t)(s->hosts[i].recent + lost.recent);
        s->hosts[i].overlap = (uint8_t)(s->hosts[i].overlap + lost.overlap);
        return true;
      }
  return false;
}

static size_t
count_spares (const struct state *s)
{
  size_t result = 0;

  for (size_t i = 0; i < s->count; i++)
    result += s->hosts[i].spare;
  return result;
}

/* Applies an event at host I.  Returns false when it cannot happen in S.  */
static bool
apply_event (struct walk *walk, struct state *s, enum event_kind kind,
             size_t i)
{
  struct host *host = &s->hosts[i];
  bool loss_allowed = s->formed && host->disk != DISK_GONE
                      && further_losses (s, walk->tolerated) > 0;

  switch (kind)
    {
    case EVENT_STEP:
      return take_step (walk, s);
    case EVENT_TICK:
      grow_silence (s);
      return true;
    case EVENT_REST:
      return come_to_rest (walk, s);
    case EVENT_LOSE:
      return loss_allowed && !host->spare && end_host (s, host, false);
    case EVENT_RETIRE:
      return loss_allowed && !host->spare && end_host (s, host, true);
    case EVENT_EMPTY:
      if (!loss_allowed)
        return false;
      if (host->role != ROLE_NONE)
        host->disk = DISK_REPLACED;
      host->cut = 0;
      host->recent++;
      host->overlap++;
      return true;
    case EVENT_CUT:
      if (!reachable (host) || count_cuts (s) >= CUTS_MAX)
        return false;
      host->cut = 1;
      host->silence = SILENCE_NONE;
      return true;
    case EVENT_HEAL:
      if (!host->cut)
        return false;
      host->cut = 0;
      host->returned = 1;
      return true;
    case EVENT_ELECT:
      if (host->role != ROLE_VOTER || !reachable (host) || !intact (host)
          || host->leads || !has_quorum (s))
        return false;
      elect (s, i);
      return true;
    case EVENT_JOIN:
      for (size_t v = 0; v < VACANCIES_MAX; v++)
        if (s->vacancies[v].recent)
          {
            struct vacancy lost = s->vacancies[v];
            s->vacancies[v] = (struct vacancy){ 0 };
            return add_host (s, (struct host){ .recent = lost.recent,
                                               .overlap = lost.overlap });
          }
      return false;
    case EVENT_SPARE:
      return s->formed && count_spares (s) < SPARES_MAX
             && add_host (s, (struct host){ .spare = 1 });
    case EVENT_KINDS:
      break;
    }
  return false;
}

static int
compare_hosts (const void *a, const void *b)
{
  return memcmp (b, a, sizeof (struct host));
}

static int
compare_vacancies (const void *a, const void *b)
{
  return memcmp (b, a, sizeof (struct vacancy));
}

/* Drops hosts that are gone and no members, and sorts the rest: states that
   differ only in the order of hosts are the same.  */
static void
normalise (struct state *s)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->count; i++)
    {
      struct host *host = &s->hosts[i];
      if (reachable (host))
        host->silence = SILENCE_NONE;
      if (host->disk == DISK_GONE)
        host->leads = 0;
      if (host->disk != DISK_GONE || host->role != ROLE_NONE)
        s->hosts[kept++] = *host;
    }
  memset (&s->hosts[kept], 0, (s->count - kept) * sizeof *s->hosts);
  s->count = (uint8_t)kept;
  qsort (s->hosts, kept, sizeof *s->hosts, compare_hosts);
  qsort (s->vacancies, VACANCIES_MAX, sizeof *s->vacancies, compare_vacancies);
}

/* FNV-1a.  */
static uint64_t
hash_state (const struct state *s)
{
  const uint8_t *bytes = (const uint8_t *)s;
  uint64_t hash = 1469598103934665603ULL;

  for (size_t i = 0; i < sizeof *s; i++)
    hash = (hash ^ bytes[i]) * 1099511628211ULL;
  return hash ? hash : 1;
}

/* Whether S was walked DEPTH events deep before; notes that it is now.  */
static bool
walked_before (struct walk *walk, const struct state *s, uint8_t depth)
{
  const size_t mask = ((size_t)1 << VISITED_BITS) - 1;
  uint64_t hash = hash_state (s);
  size_t at = hash & mask;

  while (walk->visited[at].hash && walk->visited[at].hash != hash)
    at = (at + 1) & mask;
  if (walk->visited[at].hash == hash && walk->visited[at].depth >= depth)
    return true;
  if (!walk->visited[at].hash)
    walk->visited_count++;
  ck_assert_msg (walk->visited_count < mask, "the table of states is full");
  walk->visited[at] = (struct visited){ .hash = hash, .depth = depth };
  return false;
}

static bool
concerns_host (enum event_kind kind)
{
  return kind >= EVENT_LOSE && kind <= EVENT_RETIRE;
}

static void
explore (struct walk *walk, const struct state *s, uint8_t depth)
{
  if (depth == 0 || walk->problem[0] || walked_before (walk, s, depth))
    return;
  for (int kind = 0; kind < EVENT_KINDS; kind++)
    for (size_t i = 0; i < s->count; i++)
      {
        struct state next = *s;
        if (i > 0
            && (!concerns_host (kind)
                || compare_hosts (&s->hosts[i], &s->hosts[i - 1]) == 0))
          continue;
        snprintf (walk->path[walk->path_length++], sizeof *walk->path,
                  concerns_host (kind) ? "%s:%zu" : "%s", event_names[kind],
                  i);
        if (apply_event (walk, &next, kind, i))
          {
            check_promise (walk, &next);
            normalise (&next);
            explore (walk, &next, (uint8_t)(depth - 1));
          }
        walk->path_length--;
      }
}

/* Walks all orders of DEPTH events from a group of HOSTS, of which the first
   VOTERS vote and the others ask to join.  */
static void
walk_group (size_t hosts, size_t voters, size_t tolerated, uint8_t depth)
{
  struct walk walk = { .tolerated = tolerated };
  struct state s = { .formed = voters >= ab_group_voters_min (tolerated) };

  walk.visited = calloc ((size_t)1 << VISITED_BITS, sizeof *walk.visited);
  ck_assert_ptr_nonnull (walk.visited);
  for (size_t i = 0; i < hosts; i++)
    add_host (&s, (struct host){ .role = i < voters ? ROLE_VOTER : ROLE_NONE,
                                 .leads = i == 0 });
  normalise (&s);
  check_promise (&walk, &s);
  explore (&walk, &s, depth);
  printf ("%zu hosts, %zu voters, %zu tolerated, %u events: %zu states\n",
          hosts, voters, tolerated, depth, walk.visited_count);
  free (walk.visited);
  ck_assert_msg (!walk.problem[0], "%zu hosts, %zu tolerated: %s", hosts,
                 tolerated, walk.problem);
}

struct group
{
  size_t hosts;
  size_t voters;
  size_t tolerated;
  uint8_t depth;
};

static const struct group groups[] = {
  { 3, 3, 1, 9 }, { 4, 4, 1, 9 }, { 5, 5, 1, 8 }, { 5, 5, 2, 8 },
  { 6, 6, 1, 8 }, { 6, 6, 2, 8 }, { 7, 7, 2, 7 }, { 7, 7, 3, 7 },
  { 9, 9, 2, 7 }, { 9, 9, 3, 7 }, { 9, 9, 4, 7 }, { 11, 9, 2, 6 },
  { 6, 3, 1, 8 }, { 6, 3, 2, 8 }, { 9, 3, 2, 7 },
};

/* Guards against voters that are gone for good and keep the group from a
   majority at the next losses.  */
START_TEST (losses_leave_majority)
{
  const struct group *group = &groups[_i];
  const char *extra = getenv ("AB_MODEL_EXTRA");

  walk_group (group->hosts, group->voters, group->tolerated,
              (uint8_t)(group->depth + (extra ? atoi (extra) : 0)));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("group_model");
  TCase *tcase = tcase_create ("group_model");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, TEST_S);
  tcase_add_loop_test (tcase, losses_leave_majority, 0,
                       (int)(sizeof groups / sizeof *groups));
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
