/* Tests of the peer task: real ZeroMQ sockets on loopback, both sides in one
   process.  */

#include <check.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include "error.h"
#include "keys.h"
#include "peer_link_task.h"
#include "peer_task.h"

#define FOLDER_TEMPLATE "/tmp/ab-test-peer-XXXXXX"
#define STEP_MS 10
#define STEPS_MAX 1000
#define FLOOD_FRAMES 20000
#define FLOOD_BYTES 1024

struct side
{
  struct ab_settings settings;
  struct ab_daemon daemon;
  char key_file[AB_PATH_BYTES];
  char public_key[AB_CURVE_KEY_BYTES];
  size_t received;
  uint64_t incarnation;
  char last[64];
};

static struct event_base *base;
static char folder[sizeof FOLDER_TEMPLATE];
static struct side one;
static struct side two;

static void
make_key_file (const char *name, char path[AB_PATH_BYTES],
               char public_key[AB_CURVE_KEY_BYTES])
{
  struct ab_buf text = AB_BUF_INIT;
  char error[AB_CONF_ERROR_BYTES];

  snprintf (path, AB_PATH_BYTES, "%s/%s", folder, name);
  ck_assert_int_eq (ab_key_file_create ("fleet", path, &text, error), 0);
  ck_assert (
      ab_chunk_copy (ab_buf_chunk (&text), public_key, AB_CURVE_KEY_BYTES));
  ab_buf_free (&text);
}

static void
on_frame (void *ctx, const struct ab_frame *frame)
{
  struct side *side = ctx;

  side->received++;
  side->incarnation = frame->incarnation;
  if (!ab_chunk_copy (frame->body, side->last, sizeof side->last))
    side->last[0] = '\0';
}

static void
start_side (struct side *side, const char *name, uint64_t incarnation)
{
  char error[AB_CONF_ERROR_BYTES];

  snprintf (side->settings.host, sizeof side->settings.host, "%s", name);
  snprintf (side->settings.listen.peers, sizeof side->settings.listen.peers,
            "127.0.0.1:0");
  ab_chunk_copy_bounded (ab_chunk_str (side->key_file),
                         side->settings.keys.fleet_file, AB_PATH_BYTES);
  side->daemon.settings = &side->settings;
  side->daemon.base = base;
  side->daemon.incarnation = incarnation;
  if (!side->daemon.counters)
    side->daemon.counters = ab_counters_new ();
  ck_assert_int_eq (
      ab_peer_task_new (&side->daemon, &side->daemon.peer, error), 0);
  ab_peer_task_set_handler (side->daemon.peer, AB_FRAME_PING, on_frame, side);
}

static void
setup (void)
{
  memset (&one, 0, sizeof one);
  memset (&two, 0, sizeof two);
  snprintf (folder, sizeof folder, FOLDER_TEMPLATE);
  ck_assert_ptr_nonnull (mkdtemp (folder));
  ck_assert_int_eq (ab_crypto_init (), 0);
  base = event_base_new ();
  make_key_file ("fleet", one.key_file, one.public_key);
  memcpy (two.key_file, one.key_file, sizeof two.key_file);
}

static void
stop_side (struct side *side)
{
  ab_peer_task_free (side->daemon.peer);
  side->daemon.peer = NULL;
  ab_counters_free (side->daemon.counters);
  side->daemon.counters = NULL;
  unlink (side->key_file);
}

static void
teardown (void)
{
  stop_side (&one);
  stop_side (&two);
  event_base_free (base);
  rmdir (folder);
}

static void
run_loop (void)
{
  const struct timeval step = { .tv_usec = STEP_MS * 1000 };

  event_base_loopexit (base, &step);
  event_base_dispatch (base);
}

static uint64_t
counter (const struct side *side, const char *name)
{
  return *ab_counter (side->daemon.counters, name);
}

static uint64_t
state_number (const struct side *side, const char *name)
{
  json_t *state = ab_peer_task_state (side->daemon.peer);
  uint64_t value
      = (uint64_t)json_integer_value (json_object_get (state, name));

  json_decref (state);
  return value;
}

static int
send_to_two (const char *text)
{
  return ab_peer_task_send (one.daemon.peer, AB_CHUNK ("two"), AB_FRAME_PING,
                            ab_chunk_str (text));
}

static void
start_both (void)
{
  start_side (&one, "one", 10);
  start_side (&two, "two", 20);
  ab_peer_task_set_address (one.daemon.peer, AB_CHUNK ("two"),
                            ab_peer_task_address (two.daemon.peer));
}

/* Guards against losing the first frame, which is sent before the connection
   is up, and against using a socket for a frame to the host itself.  */
START_TEST (frame_arrives)
{
  start_both ();
  ck_assert_int_eq (ab_peer_task_send (one.daemon.peer, AB_CHUNK ("three"),
                                       AB_FRAME_PING, AB_CHUNK ("x")),
                    AB_ERR_NOT_FOUND);
  ck_assert_int_eq (send_to_two ("first"), 0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    run_loop ();
  ck_assert_str_eq (two.last, "first");
  ck_assert_uint_eq (two.incarnation, 10);
  ck_assert_int_eq (ab_peer_task_send (one.daemon.peer, AB_CHUNK ("one"),
                                       AB_FRAME_PING, AB_CHUNK ("own")),
                    0);
  ck_assert_uint_eq (one.received, 0);
  run_loop ();
  ck_assert_str_eq (one.last, "own");
}
END_TEST

/* Guards against accepting a process that does not have the fleet's key.  */
START_TEST (peer_without_fleet_key_is_refused)
{
  make_key_file ("stranger", one.key_file, one.public_key);
  start_side (&two, "two", 20);
  start_side (&one, "one", 10);
  ab_peer_task_set_address (one.daemon.peer, AB_CHUNK ("two"),
                            ab_peer_task_address (two.daemon.peer));
  for (int i = 0; i < 50; i++)
    {
      send_to_two ("x");
      run_loop ();
    }
  ck_assert_uint_eq (two.received, 0);
}
END_TEST

static void
make_curve_pair (char public_key[AB_CURVE_KEY_BYTES],
                 char secret_key[AB_CURVE_KEY_BYTES])
{
  ck_assert_int_eq (zmq_curve_keypair (public_key, secret_key), 0);
}

/* Returns a DEALER socket with the given keys, connected to side two.  */
static void *
open_dealer (void *context, const char *public_key, const char *secret_key)
{
  void *dealer = zmq_socket (context, ZMQ_DEALER);
  char endpoint[128];
  int zero = 0;

  snprintf (endpoint, sizeof endpoint, "tcp://%s",
            ab_peer_task_address (two.daemon.peer));
  zmq_setsockopt (dealer, ZMQ_LINGER, &zero, sizeof zero);
  zmq_setsockopt (dealer, ZMQ_CURVE_SERVERKEY, one.public_key,
                  AB_CURVE_KEY_BYTES);
  zmq_setsockopt (dealer, ZMQ_CURVE_PUBLICKEY, public_key, AB_CURVE_KEY_BYTES);
  zmq_setsockopt (dealer, ZMQ_CURVE_SECRETKEY, secret_key, AB_CURVE_KEY_BYTES);
  ck_assert_int_eq (zmq_connect (dealer, endpoint), 0);
  return dealer;
}

/* Guards against accepting a key that is not the fleet's from a process that
   knows the fleet's public key.  */
START_TEST (unknown_key_is_refused)
{
  char public_key[AB_CURVE_KEY_BYTES];
  char secret_key[AB_CURVE_KEY_BYTES];
  void *context = zmq_ctx_new ();
  void *dealer;

  start_both ();
  make_curve_pair (public_key, secret_key);
  dealer = open_dealer (context, public_key, secret_key);
  zmq_send (dealer, "x", 1, ZMQ_DONTWAIT);
  for (int i = 0;
       i < STEPS_MAX && state_number (&two, "strangers_refused") == 0; i++)
    run_loop ();
  ck_assert_uint_gt (state_number (&two, "strangers_refused"), 0);
  ck_assert_uint_eq (counter (&two, "ab_peer_frames_unusable_total"), 0);
  zmq_close (dealer);
  zmq_ctx_term (context);
}
END_TEST

/* Guards against a corrupt or unknown frame that stops or blocks the
   receiver.  */
START_TEST (corrupt_frame_is_counted)
{
  struct ab_curve_pair pair;
  char error[AB_CONF_ERROR_BYTES];
  void *context = zmq_ctx_new ();
  void *dealer;

  start_both ();
  ck_assert_int_eq (ab_curve_pair_load (one.key_file, &pair, error), 0);
  dealer = open_dealer (context, pair.public_key, pair.secret_key);
  zmq_send (dealer, "\xc1garbage", 8, 0);
  zmq_send (dealer, "", 0, 0);
  zmq_send (dealer, "part", 4, ZMQ_SNDMORE);
  zmq_send (dealer, "part", 4, 0);
  ck_assert_int_eq (send_to_two ("good"), 0);
  for (int i = 0; i < STEPS_MAX
                  && (two.received == 0
                      || counter (&two, "ab_peer_frames_unusable_total") < 3);
       i++)
    run_loop ();
  ck_assert_str_eq (two.last, "good");
  ck_assert_uint_eq (counter (&two, "ab_peer_frames_unusable_total"), 3);
  zmq_close (dealer);
  zmq_ctx_term (context);
}
END_TEST

/* Guards against queues that grow without bound, whose stale frames would
   reach a peer after it has come up.  */
START_TEST (full_queue_drops)
{
  static char body[FLOOD_BYTES];
  struct ab_chunk chunk = ab_chunk (body, sizeof body);
  size_t full = 0;

  start_both ();
  /* The event loop, and with it the receiver, does not run while the frames
     are sent.  */
  for (int i = 0; i < FLOOD_FRAMES; i++)
    full += ab_peer_task_send (one.daemon.peer, AB_CHUNK ("two"),
                               AB_FRAME_PING, chunk)
            == AB_ERR_FULL;
  /* The receiver's queue and the kernel's buffers take some as well.  */
  ck_assert_uint_ge (full, FLOOD_FRAMES - AB_PEER_PENDING_FRAMES_MAX
                               - AB_PEER_SEND_QUEUE_FRAMES - 8192);
  ck_assert_uint_eq (state_number (&one, "dropped"), full);
  ck_assert_uint_gt (full, 0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    run_loop ();
  ck_assert_uint_gt (two.received, 0);
}
END_TEST

/* Guards against holding frames for a peer that is down, which would get all
   the stale frames when it restarts.  */
START_TEST (frames_to_a_down_peer_expire)
{
  char address[AB_ADDRESS_BYTES];

  start_both ();
  snprintf (address, sizeof address, "%s",
            ab_peer_task_address (two.daemon.peer));
  ab_peer_task_free (two.daemon.peer);
  two.daemon.peer = NULL;
  ck_assert_int_eq (send_to_two ("stale"), 0);
  for (int i = 0; i < STEPS_MAX && state_number (&one, "dropped") == 0; i++)
    run_loop ();
  ck_assert_uint_eq (state_number (&one, "dropped"), 1);
}
END_TEST

/* Guards against accepting a delayed frame of a process that a newer one has
   replaced.  */
START_TEST (older_incarnation_is_dropped)
{
  start_both ();
  ck_assert_int_eq (send_to_two ("new"), 0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    run_loop ();
  one.daemon.incarnation = 9;
  ck_assert_int_eq (send_to_two ("old"), 0);
  for (int i = 0;
       i < STEPS_MAX && counter (&two, "ab_peer_frames_stale_total") == 0; i++)
    run_loop ();
  ck_assert_uint_eq (counter (&two, "ab_peer_frames_stale_total"), 1);
  ck_assert_str_eq (two.last, "new");
}
END_TEST

/* Guards against a fleet that is partitioned by a key rotation: the hosts have
   different keys, and each accepts the other's.  */
START_TEST (hosts_communicate_during_key_rotation)
{
  make_key_file ("next", two.key_file, two.public_key);
  start_both ();
  ck_assert_int_eq (ab_peer_task_accept_keys (
                        one.daemon.peer,
                        (const char (*)[AB_CURVE_KEY_BYTES]) & two.public_key,
                        1),
                    0);
  ck_assert_int_eq (ab_peer_task_accept_keys (
                        two.daemon.peer,
                        (const char (*)[AB_CURVE_KEY_BYTES]) & one.public_key,
                        1),
                    0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    {
      send_to_two ("hello");
      run_loop ();
    }
  ck_assert_str_eq (two.last, "hello");
}
END_TEST

static size_t
link_count (const struct side *side)
{
  json_t *state = ab_peer_task_state (side->daemon.peer);
  size_t count = json_array_size (json_object_get (state, "links"));

  json_decref (state);
  return count;
}

/* Guards against opening a connection to each peer that sends a request: a
   process with hundreds of requesters has neither the memory nor the time for
   that.  */
START_TEST (reply_uses_incoming_connection)
{
  start_both ();
  ck_assert_int_eq (send_to_two ("question"), 0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    run_loop ();
  ck_assert_int_eq (ab_peer_task_reply (two.daemon.peer, AB_CHUNK ("one"),
                                        AB_FRAME_PING, AB_CHUNK ("answer")),
                    0);
  for (int i = 0; i < STEPS_MAX && one.received == 0; i++)
    run_loop ();
  ck_assert_str_eq (one.last, "answer");
  ck_assert_uint_eq (one.incarnation, 20);
  ck_assert_uint_eq (link_count (&one), 1);
  ck_assert_uint_eq (link_count (&two), 0);
}
END_TEST

/* Guards against replies on a connection that the peer has closed: they must
   reach a peer that has restarted.  */
START_TEST (restarted_peer_is_reached)
{
  start_both ();
  ck_assert_int_eq (send_to_two ("question"), 0);
  for (int i = 0; i < STEPS_MAX && two.received == 0; i++)
    run_loop ();
  ab_peer_task_free (one.daemon.peer);
  start_side (&one, "one", 11);
  ab_peer_task_set_address (two.daemon.peer, AB_CHUNK ("one"),
                            ab_peer_task_address (one.daemon.peer));
  for (int i = 0; i < STEPS_MAX && one.received == 0; i++)
    {
      ab_peer_task_reply (two.daemon.peer, AB_CHUNK ("one"), AB_FRAME_PING,
                          AB_CHUNK ("again"));
      run_loop ();
    }
  ck_assert_str_eq (one.last, "again");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer");
  TCase *tcase = tcase_create ("peer");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, frame_arrives);
  tcase_add_test (tcase, peer_without_fleet_key_is_refused);
  tcase_add_test (tcase, unknown_key_is_refused);
  tcase_add_test (tcase, corrupt_frame_is_counted);
  tcase_add_test (tcase, full_queue_drops);
  tcase_add_test (tcase, frames_to_a_down_peer_expire);
  tcase_add_test (tcase, older_incarnation_is_dropped);
  tcase_add_test (tcase, hosts_communicate_during_key_rotation);
  tcase_add_test (tcase, reply_uses_incoming_connection);
  tcase_add_test (tcase, restarted_peer_is_reached);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
