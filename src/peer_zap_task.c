#include "peer_zap_task.h"

#include <stdlib.h>
#include <sodium.h>
#include <zmq.h>

#include "error.h"
#include "log.h"
#include "peer_socket_task.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define KEY_RAW_BYTES 32 /* Binary key; in Z85 it is 40 characters.  */
#define PART_BYTES 256

/* Message parts of a ZAP request, in order.  */
enum zap_part
{
  ZAP_VERSION_PART,
  ZAP_REQUEST_ID,
  ZAP_DOMAIN,
  ZAP_ADDRESS,
  ZAP_IDENTITY,
  ZAP_MECHANISM,
  ZAP_CREDENTIAL,
  ZAP_PARTS
};

struct zap_request
{
  char parts[ZAP_PARTS][PART_BYTES];
  size_t lens[ZAP_PARTS];
  size_t count; /* Parts received; those after ZAP_PARTS are not kept.  */
};

struct ab_peer_zap
{
  struct ab_peer_socket socket;
  uint8_t keys[AB_PEER_KEYS_MAX][KEY_RAW_BYTES];
  size_t key_count;
  uint64_t refused;
};

/* Receives a complete request into REQUEST.  Returns false when none is
   pending.  The caller zeroes REQUEST first; a part that is too long stays
   empty.  */
static bool
receive_request (struct ab_peer_zap *zap, struct zap_request *request)
{
  int more = 1;
  size_t size = sizeof more;

  request->count = 0;
  while (more)
    {
      char part[PART_BYTES];
      int len = zmq_recv (zap->socket.zmq, part, sizeof part, ZMQ_DONTWAIT);
      if (len < 0)
        return false;
      if (request->count < ZAP_PARTS && len <= PART_BYTES)
        {
          memcpy (request->parts[request->count], part, (size_t)len);
          request->lens[request->count] = (size_t)len;
        }
      request->count++;
      if (zmq_getsockopt (zap->socket.zmq, ZMQ_RCVMORE, &more, &size) < 0)
        return false;
    }
  return true;
}

static struct ab_chunk
request_part (const struct zap_request *request, enum zap_part part)
{
  return ab_chunk (request->parts[part], request->lens[part]);
}

static bool
is_accepted (const struct ab_peer_zap *zap, const struct zap_request *request)
{
  if (request->count != ZAP_PARTS
      || !ab_chunk_equal (request_part (request, ZAP_MECHANISM),
                          AB_CHUNK ("CURVE"))
      || request->lens[ZAP_CREDENTIAL] != KEY_RAW_BYTES)
    return false;
  for (size_t i = 0; i < zap->key_count; i++)
    if (sodium_memcmp (zap->keys[i], request->parts[ZAP_CREDENTIAL],
                       KEY_RAW_BYTES)
        == 0)
      return true;
  return false;
}

static void
send_reply (struct ab_peer_zap *zap, const struct zap_request *request,
            bool accepted)
{
  void *zmq = zap->socket.zmq;
  const char *status = accepted ? "200" : "400";
  const char *text = accepted ? "OK" : "key is not accepted";
  size_t id_len
      = request->count > ZAP_REQUEST_ID ? request->lens[ZAP_REQUEST_ID] : 0;

  zmq_send (zmq, ZAP_VERSION, strlen (ZAP_VERSION), ZMQ_SNDMORE);
  zmq_send (zmq, request->parts[ZAP_REQUEST_ID], id_len, ZMQ_SNDMORE);
  zmq_send (zmq, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (zmq, text, strlen (text), ZMQ_SNDMORE);
  zmq_send (zmq, "", 0, ZMQ_SNDMORE);
  zmq_send (zmq, "", 0, 0);
}

void
ab_peer_zap_poll (struct ab_peer_zap *zap)
{
  struct zap_request request;

  memset (&request, 0, sizeof request);
  while (receive_request (zap, &request))
    {
      bool accepted = is_accepted (zap, &request);
      if (!accepted)
        {
          zap->refused++;
          AB_LOG (
              AB_LOG_WARN, "peer_refused",
              ab_log_chunk ("address", request_part (&request, ZAP_ADDRESS)),
              ab_log_str ("reason", "the CURVE key is not accepted"));
        }
      send_reply (zap, &request, accepted);
      memset (&request, 0, sizeof request);
    }
}

static void
on_ready (void *ctx)
{
  ab_peer_zap_poll (ctx);
}

int
ab_peer_zap_new (void *context, struct event_base *base,
                 struct ab_peer_zap **zap)
{
  struct ab_peer_zap *result = calloc (1, sizeof *result);
  int rc;

  *zap = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->socket.ready = on_ready;
  result->socket.ctx = result;
  rc = ab_peer_socket_open (&result->socket, context, ZMQ_REP, base);
  if (rc < 0)
    goto out;
  if (zmq_bind (result->socket.zmq, ZAP_ENDPOINT) < 0)
    {
      rc = AB_ERR_UNAVAILABLE;
      goto out;
    }
  *zap = result;
  result = NULL;
out:
  ab_peer_zap_free (result);
  return rc;
}

void
ab_peer_zap_free (struct ab_peer_zap *zap)
{
  if (!zap)
    return;
  ab_peer_socket_close (&zap->socket);
  free (zap);
}

int
ab_peer_zap_accept (struct ab_peer_zap *zap,
                    const char (*keys)[AB_CURVE_KEY_BYTES], size_t count)
{
  uint8_t raw[AB_PEER_KEYS_MAX][KEY_RAW_BYTES];

  if (count > AB_PEER_KEYS_MAX)
    return AB_ERR_TOO_LARGE;
  for (size_t i = 0; i < count; i++)
    if (!zmq_z85_decode (raw[i], keys[i]))
      return AB_ERR_INVALID;
  memcpy (zap->keys, raw, sizeof raw[0] * count);
  zap->key_count = count;
  return 0;
}

uint64_t
ab_peer_zap_refused (const struct ab_peer_zap *zap)
{
  return zap->refused;
}
