/* Tests with real processes that the retry budget holds for all schedulers of
   a service together, when they are replaced within a window.

   The fleet has the shape AB_BUDGET_SHAPE: "standard" (the default), "grown"
   or "large".  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "budget_load_lib.h"
#include "fleet_lib.h"
#include "suite_lib.h"

#define TEST_S 200
/* Gateways that are disturbed at a time.  */
#define GROUP 8
#define ROUNDS 10
#define ROUND_MS 1500
#define JOINING 15
#define FREEZE_MS 1000
#define BURST 4
/* Time beyond a window for which all requests are served, and time in which
   the schedulers may spend what they saved.  */
#define CALM_MS 4000
#define SPEND_MS 1000

struct shape
{
  const char *name;
  int controls;
  int gateways;
  int targets;
  int retry_extra;
};

static const struct shape shapes[] = {
  { "standard", 6, 30, 36, 64 },
  { "grown", 6, 90, 48, 216 },
  { "large", 9, 90, 48, 640 },
};

static struct budget_load
make_load (const char *name)
{
  const char *wanted = getenv ("AB_BUDGET_SHAPE");
  const struct shape *shape = &shapes[0];

  for (size_t i = 0; wanted && i < sizeof shapes / sizeof *shapes; i++)
    if (strcmp (shapes[i].name, wanted) == 0)
      shape = &shapes[i];
  return (struct budget_load){ .name = name,
                               .regions = 3,
                               .services = 2,
                               .controls = shape->controls,
                               .gateways = shape->gateways,
                               .targets = shape->targets,
                               .retry_extra = shape->retry_extra,
                               .retry_fraction = 0.2,
                               .callers = 46,
                               .pause_ms = 200,
                               .reject_percent = 70,
                               .share_max = 0.85,
                               .used_min = 10 };
}

static void
run_load (const char *name, void (*disturb) (struct gf_fleet *))
{
  const struct budget_load load = make_load (name);

  budget_run (&load, disturb);
}

/* Calls VISIT for each gateway of group ROUND.  */
static void
for_group (struct gf_fleet *fleet, int round,
           void (*visit) (struct gf_fleet *fleet, int gateway))
{
  for (int i = 0; i < GROUP; i++)
    visit (fleet, 1 + (round * GROUP + i) % fleet->gateways);
}

static void
kill_gateway (struct gf_fleet *fleet, int gateway)
{
  gf_kill (&fleet->gateway_pids[gateway]);
}

static void
stop_gateway (struct gf_fleet *fleet, int gateway)
{
  kill (fleet->gateway_pids[gateway], SIGTERM);
}

static void
await_gateway (struct gf_fleet *fleet, int gateway)
{
  waitpid (fleet->gateway_pids[gateway], NULL, 0);
  gf_start_gateway (fleet, gateway);
}

static void
freeze_gateway (struct gf_fleet *fleet, int gateway)
{
  kill (fleet->gateway_pids[gateway], SIGSTOP);
}

static void
thaw_gateway (struct gf_fleet *fleet, int gateway)
{
  kill (fleet->gateway_pids[gateway], SIGCONT);
}

static void
restart_group (struct gf_fleet *fleet, int round)
{
  for_group (fleet, round, kill_gateway);
  for_group (fleet, round, gf_start_gateway);
}

static void
restart_control (struct gf_fleet *fleet, int control)
{
  gf_kill (&fleet->control_pids[control]);
  gf_start_control (fleet, control, false);
}

/* Lets the schedulers save what they may while all requests are served, then
   lets targets reject requests.  */
static void
reject_after_calm (struct gf_fleet *fleet)
{
  budget_set_calm (fleet, true);
  fleet_sleep_ms (BUDGET_WINDOW_MS + CALM_MS);
  budget_set_calm (fleet, false);
  fleet_sleep_ms (SPEND_MS);
}

static void
disturb_nothing (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  fleet_sleep_ms (BUDGET_WINDOW_MS + CALM_MS);
}

/* The share of a fleet that nothing disturbs, to compare with.  */
START_TEST (undisturbed_schedulers_keep_budget)
{
  run_load ("gf_quiet", disturb_nothing);
}
END_TEST

static void
wait_only (struct gf_fleet *fleet)
{
  (void)fleet;
  fleet_sleep_ms (3 * BUDGET_WINDOW_MS);
}

/* Guards against a budget that is hardly used while nothing is disturbed.  */
START_TEST (lasting_rejections_use_budget)
{
  struct budget_load load = make_load ("gf_lasting");

  load.used_min = load.retry_extra;
  budget_run (&load, wait_only);
}
END_TEST

static void
kill_in_turn (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  for (int i = 0; i < ROUNDS; i++)
    {
      restart_group (fleet, i);
      fleet_sleep_ms (ROUND_MS);
    }
}

/* Guards against successors that spend the budget of a window again after
   killed schedulers.  */
START_TEST (killed_schedulers_share_one_budget)
{
  run_load ("gf_killed", kill_in_turn);
}
END_TEST

static void
join_at_once (struct gf_fleet *fleet)
{
  int before = fleet->gateways;

  reject_after_calm (fleet);
  for (int i = 1; i <= JOINING; i++)
    gf_start_gateway (fleet, before + i);
  fleet_sleep_ms (2 * ROUND_MS);
  fleet->gateways = before + JOINING;
  fleet_sleep_ms (BUDGET_WINDOW_MS);
}

/* Guards against gateways that join, become schedulers and spend what their
   predecessors have spent.  */
START_TEST (joining_schedulers_share_one_budget)
{
  run_load ("gf_joining", join_at_once);
}
END_TEST

static void
stop_in_turn (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  for (int i = 0; i < ROUNDS / 2; i++)
    {
      for_group (fleet, i, stop_gateway);
      for_group (fleet, i, await_gateway);
      fleet_sleep_ms (ROUND_MS / 2);
    }
}

/* Guards against the same after planned stops.  */
START_TEST (stopped_schedulers_share_one_budget)
{
  run_load ("gf_stopped", stop_in_turn);
}
END_TEST

static void
freeze_in_turn (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  for (int i = 0; i < ROUNDS; i++)
    {
      for_group (fleet, i, freeze_gateway);
      fleet_sleep_ms (FREEZE_MS);
      for_group (fleet, i, thaw_gateway);
      fleet_sleep_ms (ROUND_MS - FREEZE_MS);
    }
}

/* Guards against stand-ins for frozen schedulers that spend the budget
   again.  */
START_TEST (frozen_schedulers_share_one_budget)
{
  run_load ("gf_frozen", freeze_in_turn);
}
END_TEST

#define CUT_MS 5000
#define PROXIED_GATEWAYS 30

/* Cuts two control hosts and a third of the gateways off from what others send
   them, for longer than the control hosts keep them in their lists.  */
static void
cut_in_turn (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  for (int i = 0; i < 3; i++)
    {
      int control = 2 + 2 * (i % 2);
      int gateway = i * (PROXIED_GATEWAYS / 3);
      gf_cut_control (fleet, control, true);
      gf_cut_control (fleet, control + 1, true);
      for (int j = 1; j <= PROXIED_GATEWAYS / 3; j++)
        gf_cut_gateway (fleet, gateway + j, true);
      fleet_sleep_ms (CUT_MS);
      gf_cut_control (fleet, control, false);
      gf_cut_control (fleet, control + 1, false);
      for (int j = 1; j <= PROXIED_GATEWAYS / 3; j++)
        gf_cut_gateway (fleet, gateway + j, false);
      fleet_sleep_ms (ROUND_MS);
    }
}

/* Guards against a budget on each side of a fleet whose hosts are cut from one
   another.  */
START_TEST (cut_schedulers_share_one_budget)
{
  struct budget_load load = make_load ("gf_cut");

  load.proxied_gateways = PROXIED_GATEWAYS;
  budget_run (&load, cut_in_turn);
}
END_TEST

/* Kills, joins, freezes, restarts of control hosts and new bundles, which
   overlap.  */
static void
overlap (struct gf_fleet *fleet)
{
  int before = fleet->gateways;

  reject_after_calm (fleet);
  for (int i = 0; i < ROUNDS; i++)
    {
      for_group (fleet, 2 * i, freeze_gateway);
      restart_group (fleet, 2 * i + 1);
      gf_put_bundle (fleet, 2, 3 + i, 2 + i, "");
      if (i % 3 == 0)
        restart_control (fleet, 3 + i % 2);
      if (i == ROUNDS / 2)
        for (int j = 1; j <= JOINING; j++)
          gf_start_gateway (fleet, before + j);
      fleet_sleep_ms (FREEZE_MS);
      for_group (fleet, 2 * i, thaw_gateway);
      fleet_sleep_ms (ROUND_MS - FREEZE_MS);
    }
}

/* Guards against any sum over holders that a single fault does not show.  */
START_TEST (overlapping_faults_share_one_budget)
{
  run_load ("gf_overlap", overlap);
}
END_TEST

static void
send_bursts (struct gf_fleet *fleet)
{
  reject_after_calm (fleet);
  for (int i = 0; i < ROUNDS; i++)
    {
      budget_set_burst (i % 3 == 0 ? BURST : 1);
      restart_group (fleet, i);
      fleet_sleep_ms (ROUND_MS);
    }
  budget_set_burst (1);
}

/* Guards against requests of a burst that allow retries in two windows.  */
START_TEST (bursts_share_one_budget) { run_load ("gf_bursts", send_bursts); }
END_TEST

/* Guards against a bound that holds for many requests only.  */
START_TEST (few_requests_keep_budget)
{
  struct budget_load load = make_load ("gf_few");

  load.callers = 4;
  load.pause_ms = 1000;
  load.used_min = 1;
  budget_run (&load, kill_in_turn);
}
END_TEST

SUITE_MAIN ("fleet_budget_holders", TEST_S, undisturbed_schedulers_keep_budget,
            lasting_rejections_use_budget, killed_schedulers_share_one_budget,
            joining_schedulers_share_one_budget,
            stopped_schedulers_share_one_budget,
            frozen_schedulers_share_one_budget,
            cut_schedulers_share_one_budget,
            overlapping_faults_share_one_budget, bursts_share_one_budget,
            few_requests_keep_budget)
