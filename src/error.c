#include "error.h"

const char *
ab_strerror (int error)
{
  switch (error)
    {
    case AB_OK:
      return "success";
    case AB_ERR_MEMORY:
      return "out of memory";
    case AB_ERR_IO:
      return "input/output error";
    case AB_ERR_INVALID:
      return "invalid input";
    case AB_ERR_TOO_LARGE:
      return "length exceeds its limit";
    case AB_ERR_NOT_FOUND:
      return "not found";
    case AB_ERR_EXISTS:
      return "already exists";
    case AB_ERR_CORRUPT:
      return "data is corrupt";
    case AB_ERR_DENIED:
      return "credential not accepted";
    case AB_ERR_NOT_LEADER:
      return "not the leader";
    case AB_ERR_UNAVAILABLE:
      return "unavailable";
    case AB_ERR_TIMEOUT:
      return "deadline exceeded";
    case AB_ERR_FULL:
      return "no capacity";
    case AB_ERR_CONFLICT:
      return "conflicts with an accepted value";
    case AB_ERR_STALE:
      return "older than the value in force";
    case AB_ERR_EXPIRED:
      return "retention period has ended";
    case AB_ERR_BUSY:
      return "operation already in progress";
    case AB_ERR_VERSION:
      return "unknown version";
    default:
      return "unknown error";
    }
}
