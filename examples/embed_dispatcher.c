/* Example: the detector and the dispatcher without the daemon, using only the
   installed header.

   On a simulated clock, a request is sent every 10 ms to one of four simulated
   targets.  One target becomes ten times slower after five seconds and
   recovers after twenty.  The program prints the decisions of the dispatcher.

   Build it with
   "cc embed_dispatcher.c $(pkg-config --cflags --libs almondbridge)".  */

#include <almondbridge/almondbridge.h>
#include <stdio.h>
#include <stdlib.h>

#define TARGETS 4
#define SLOTS 4
#define IN_FLIGHT_MAX 64
#define STEP_MS 10
#define SLOW_FROM_MS 5000
#define SLOW_TO_MS 20000
#define END_MS 40000
#define SLOW_TARGET "192.0.2.3:80"

struct request
{
  bool used;
  uint64_t grant;
  uint64_t start_ms;
  uint64_t end_ms;
};

struct program
{
  /* First member, so that callbacks can cast a pointer to it back.  */
  struct ab_dispatcher_env env;
  struct ab_rng rng;
  struct request requests[IN_FLIGHT_MAX];
  uint64_t now_ms;
  uint64_t served;
  uint64_t slow;
  bool permit_requested;
  char probed[AB_DISPATCHER_NAME_BYTES]; /* Empty: no probe requested.  */
};

static bool
is_slow (const struct program *program, const char *target)
{
  return strcmp (target, SLOW_TARGET) == 0 && program->now_ms >= SLOW_FROM_MS
         && program->now_ms < SLOW_TO_MS;
}

static void
on_grant (struct ab_dispatcher_env *env,
          const struct ab_dispatcher_grant *grant)
{
  struct program *program = (struct program *)env;
  uint64_t took_ms = 20 + ab_rng_below (&program->rng, 40);

  if (is_slow (program, grant->target))
    took_ms *= 10;
  for (size_t i = 0; i < IN_FLIGHT_MAX; i++)
    if (!program->requests[i].used)
      {
        program->requests[i]
            = (struct request){ .used = true,
                                .grant = grant->id,
                                .start_ms = program->now_ms,
                                .end_ms = program->now_ms + took_ms };
        return;
      }
}

static void
on_refuse (struct ab_dispatcher_env *env, uint64_t slot_request_id,
           const char *requester, int rc, bool spill, const char *reason)
{
  struct program *program = (struct program *)env;

  (void)requester;
  (void)spill;
  printf ("%6.2f s  request %llu refused: %s (%s); the verdict is %s\n",
          (double)program->now_ms / 1000, (unsigned long long)slot_request_id,
          reason, ab_strerror (rc), ab_verdict_name (AB_VERDICT_NOT_RUN));
}

/* Callbacks may not call the dispatcher, so the main loop replies.  */
static void
on_acquire (struct ab_dispatcher_env *env)
{
  ((struct program *)env)->permit_requested = true;
}

static void
on_release (struct ab_dispatcher_env *env)
{
  printf ("%6.2f s  permit given back\n",
          (double)((struct program *)env)->now_ms / 1000);
}

static void
on_probe (struct ab_dispatcher_env *env, const char *target)
{
  struct program *program = (struct program *)env;

  ab_chunk_copy_bounded (ab_chunk_str (target), program->probed,
                         sizeof program->probed);
}

static void
on_event (struct ab_dispatcher_env *env, const struct ab_dispatch_event *event)
{
  struct program *program = (struct program *)env;

  printf ("%6.2f s  %s %s, cause %s, score %.1f of %.1f\n",
          (double)program->now_ms / 1000, event->target,
          ab_dispatch_event_name (event->kind),
          ab_cause_name (event->evidence.cause), event->evidence.score,
          event->evidence.threshold);
}

static const struct ab_dispatcher_ops ops = { .grant = on_grant,
                                              .refuse = on_refuse,
                                              .acquire_permit = on_acquire,
                                              .release_permit = on_release,
                                              .probe = on_probe,
                                              .event = on_event };

static void
send_request (struct program *program, struct ab_dispatcher *dispatcher,
              uint64_t number)
{
  struct ab_dispatcher_slot_request slot_request
      = { .id = number,
          .requester = "example",
          .class_name = AB_CHUNK ("lookup"),
          .deadline_ms = program->now_ms + 2000 };

  ab_dispatcher_request_slot (dispatcher, &slot_request, program->now_ms);
}

static void
end_requests (struct program *program, struct ab_dispatcher *dispatcher)
{
  for (size_t i = 0; i < IN_FLIGHT_MAX; i++)
    {
      struct request *request = &program->requests[i];
      uint64_t took_ms = request->end_ms - request->start_ms;
      struct ab_outcome outcome
          = { .kind = AB_OUTCOME_OK, .latency_us = took_ms * 1000 };

      if (!request->used || program->now_ms < request->end_ms)
        continue;
      request->used = false;
      program->served++;
      program->slow += took_ms > 100;
      ab_dispatcher_outcome (dispatcher, request->grant, &outcome,
                             program->now_ms);
    }
}

static void
answer_callbacks (struct program *program, struct ab_dispatcher *dispatcher)
{
  char target[AB_DISPATCHER_NAME_BYTES];

  if (program->permit_requested)
    {
      program->permit_requested = false;
      ab_dispatcher_permit_reply (dispatcher, true, program->now_ms);
    }
  if (program->probed[0])
    {
      memcpy (target, program->probed, sizeof target);
      program->probed[0] = '\0';
      ab_dispatcher_probed (dispatcher, target, true, program->now_ms);
    }
}

static int
add_targets (struct ab_dispatcher *dispatcher)
{
  char address[32];
  struct ab_dispatcher_target target
      = { .address = address, .slots = SLOTS, .incarnation = 1 };
  int rc = 0;

  for (int i = 1; i <= TARGETS && rc == 0; i++)
    {
      snprintf (address, sizeof address, "192.0.2.%d:80", i);
      rc = ab_dispatcher_set_target (dispatcher, &target, true, 0);
    }
  return rc;
}

int
main (void)
{
  static const struct ab_dispatcher_options options
      = { .detection_weight = 1, .floor = 0.5, .queue = 100 };
  struct program program = { .env = { .ops = &ops } };
  struct ab_dispatcher *dispatcher;
  uint64_t number = 0;
  int rc;

  ab_rng_init_seeded (&program.rng, 1);
  dispatcher = ab_dispatcher_new (&program.env, &options, &program.rng);
  if (!dispatcher)
    return EXIT_FAILURE;
  rc = add_targets (dispatcher);
  for (; rc == 0 && program.now_ms < END_MS; program.now_ms += STEP_MS)
    {
      send_request (&program, dispatcher, ++number);
      end_requests (&program, dispatcher);
      answer_callbacks (&program, dispatcher);
      ab_dispatcher_tick (dispatcher, program.now_ms);
    }
  printf ("%llu requests served, %llu of them slow\n",
          (unsigned long long)program.served,
          (unsigned long long)program.slow);
  ab_dispatcher_free (dispatcher);
  return rc == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
